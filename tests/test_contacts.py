"""Which peers a daemon exchanges heartbeats with."""

from bronzerelay.pooler.contacts import MAX_MESH_SIZE, RELAYS_PER_DOMAIN, Contacts, Peer
from bronzerelay.runtime import Address

DOMAINS = 3


def make_contacts(own=0, count=30, domains=DOMAINS):
    peers = {
        f"d{number}": Peer(Address("host", number), f"z{number % domains}")
        for number in range(count)
        if number != own
    }
    contacts = Contacts(f"d{own}", f"z{own % domains}")
    contacts.set_peers(peers)
    return contacts


def find_plans(count=30, silent=()):
    return {
        f"d{own}": make_contacts(own, count).plan(lambda name: name in silent, False)
        for own in range(count)
    }


def find_domain(name):
    return int(name[1:]) % DOMAINS


class TestSmallFleet:
    def test_all_daemons_contact_each_other(self):
        plan = make_contacts(0, MAX_MESH_SIZE).plan(lambda name: False, False)
        assert len(plan.contacts) == MAX_MESH_SIZE - 1
        assert not plan.relaying


class TestLargeFleet:
    def test_each_domain_has_its_relays_and_the_others_contact_them(self):
        plans = find_plans()
        relays = {name for name, plan in plans.items() if plan.relaying}
        assert len(relays) == DOMAINS * RELAYS_PER_DOMAIN
        for name, plan in plans.items():
            if name not in relays:
                assert plan.contacts < relays
                assert len(plan.contacts) == RELAYS_PER_DOMAIN

    def test_relay_contacts_its_domain_and_one_relay_of_each_other_domain(self):
        plans = find_plans()
        relays = {name for name, plan in plans.items() if plan.relaying}
        for name in relays:
            domain = find_domain(name)
            same_domain = {other for other in plans if find_domain(other) == domain}
            assert same_domain - {name} <= plans[name].contacts
            others = plans[name].contacts - same_domain
            assert others <= relays
            assert len(others) == DOMAINS - 1
            assert {find_domain(other) for other in others} == set(range(3)) - {domain}
            # Both ends contact each other.
            assert all(name in plans[other].contacts for other in others)

    def test_each_relay_is_contacted_from_each_domain(self):
        # Guards against domains that are connected by a single pair of relays.
        plans = find_plans()
        relays = {name for name, plan in plans.items() if plan.relaying}
        for name in relays:
            callers = {other for other in relays if name in plans[other].contacts}
            assert {find_domain(one) for one in callers} == set(range(3))

    def test_relay_whose_partner_is_silent_contacts_the_other_one_as_well(self):
        # Guards against a failure domain that isn't heard of because one relay is gone.
        plans = find_plans()
        name = next(one for one, plan in plans.items() if plan.relaying)
        partners = {
            other
            for other in plans[name].contacts
            if find_domain(other) != find_domain(name)
        }
        silent = partners.pop()
        again = find_plans(silent={silent})[name]
        domain = find_domain(silent)
        contacts = {one for one in again.contacts if find_domain(one) == domain}
        assert silent in contacts
        assert len(contacts) == 2

    def test_silent_relay_is_replaced_and_still_contacted(self):
        # A relay is killed. Daemons that switch to the next one must still contact the
        # first, or a relay that is back would have no daemons to relay for.
        first = find_plans()
        silent = next(name for name, plan in first.items() if plan.relaying)
        plans = find_plans(silent={silent})
        relays = {name for name, plan in plans.items() if plan.relaying}
        assert len(relays - {silent}) == DOMAINS * RELAYS_PER_DOMAIN
        domain = int(silent[1:]) % 3
        for number in range(domain, 30, 3):
            if f"d{number}" != silent:
                assert silent in plans[f"d{number}"].contacts

    def test_daemon_that_hears_no_other_contacts_all(self):
        plan = make_contacts().plan(lambda name: True, False)
        assert len(plan.contacts) == 29

    def test_lock_holder_contacts_the_relays_of_all_domains(self):
        relays = {name for name, plan in find_plans().items() if plan.relaying}
        own = next(number for number in range(30) if f"d{number}" not in relays)
        assert make_contacts(own).plan(lambda name: False, True).contacts == relays
