"""With whom a daemon exchanges heartbeats."""

from bronzerelay.pooler.contacts import FULL_MESH, RELAYS, Contacts, Peer
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


class TestSmallFleet:
    def test_everybody_addresses_everybody(self):
        plan = make_contacts(0, FULL_MESH).plan(lambda name: False, False)
        assert len(plan.contacts) == FULL_MESH - 1
        assert not plan.relaying


class TestLargeFleet:
    def test_each_domain_has_its_relays_and_the_others_address_them(self):
        plans = find_plans()
        relays = {name for name, plan in plans.items() if plan.relaying}
        assert len(relays) == DOMAINS * RELAYS
        for name, plan in plans.items():
            if name not in relays:
                assert plan.contacts < relays
                assert len(plan.contacts) == RELAYS

    def test_relay_addresses_its_domain_and_the_other_relays(self):
        plans = find_plans()
        relays = {name for name, plan in plans.items() if plan.relaying}
        for name in relays:
            near = {one for one in plans if int(one[1:]) % 3 == int(name[1:]) % 3}
            assert plans[name].contacts == (near | relays) - {name}

    def test_next_one_takes_the_place_of_a_silent_relay_which_is_addressed_still(self):
        # A relay is killed. Who goes on to the next one must go on asking the first,
        # or a relay that is back would have nobody to relay for.
        first = find_plans()
        gone = next(name for name, plan in first.items() if plan.relaying)
        plans = find_plans(silent={gone})
        relays = {name for name, plan in plans.items() if plan.relaying}
        assert len(relays - {gone}) == DOMAINS * RELAYS
        domain = int(gone[1:]) % 3
        for number in range(domain, 30, 3):
            if f"d{number}" != gone:
                assert gone in plans[f"d{number}"].contacts

    def test_who_hears_of_nobody_addresses_all(self):
        plan = make_contacts().plan(lambda name: True, False)
        assert len(plan.contacts) == 29

    def test_maker_of_a_change_addresses_the_relays_of_all_domains(self):
        relays = {name for name, plan in find_plans().items() if plan.relaying}
        own = next(number for number in range(30) if f"d{number}" not in relays)
        assert make_contacts(own).plan(lambda name: False, True).contacts == relays
