"""Tests of the stored roster: joining, leaving, and removal of VMs that are gone."""

import pytest

from bronzerelay import logs
from bronzerelay.membership import Membership, MembershipSettings, names_of
from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.rendezvous import rank
from bronzerelay.roster import (
    ROSTER_KEY,
    RosterKeeper,
    add_member,
    mark_settled,
    remove_members,
)
from tests.builders_platform import run_platform
from tests.fleet import SimulatedRuntime, make_roster

NAMES = ("vm-1", "vm-2", "vm-3")


class RosterSink:
    """A stand-in for the gossip that only passes rosters to the membership."""

    def __init__(self, membership):
        self.accept_roster = membership.accept_roster


class KeeperSetup:
    """A keeper on a platform stand-in; the test moves the membership's clock."""

    def __init__(self, platform, name="vm-1"):
        self.platform = platform
        self.name = name
        self.client = platform.make_client(caller=name)
        self.clock = SimulatedRuntime()
        self.membership = Membership(self.clock, MembershipSettings(name))
        entry = make_roster(1, [name])["members"][0]
        self.keeper = RosterKeeper(
            platform.runtime,
            entry,
            self.client,
            self.membership,
            RosterSink(self.membership),
            logs.open_log("roster"),
        )

    def put(self, roster):
        stored = self.client.get(ROSTER_KEY)
        revision = stored.ok.revision if stored.is_ok() else 0
        assert self.client.put(ROSTER_KEY, roster, revision).is_ok()
        self.membership.accept_roster(roster)

    def stored(self):
        return self.client.get(ROSTER_KEY).ok.value

    def list_vms(self, *names):
        for name in NAMES:
            state = "live" if name in names else "gone"
            self.platform.server.store.set_vm(name, state)


@pytest.fixture
def platform():
    with run_platform() as platform:
        yield platform


def test_each_change_of_members_gets_a_new_epoch():
    roster = make_roster(4, NAMES[:2], settled=True)
    third = make_roster(1, NAMES)["members"][2]
    joined = add_member(roster, third)
    assert joined["epoch"] == 5 and not joined.get("settled")
    assert add_member(joined, third) is None
    assert remove_members(joined, {"vm-9"}) is None
    assert remove_members(joined, {"vm-3"})["epoch"] == 6


@pytest.mark.parametrize("settled", [True, False])
def test_a_vm_with_another_address_keeps_its_shares(settled):
    """A restarted daemon listens at another address. All shares stay the same, so the
    new epoch is settled if the previous one was.
    """
    roster = make_roster(4, NAMES, settled)
    moved = {**roster["members"][0], "address": "127.0.0.1:2"}
    changed = add_member(roster, moved)
    assert sorted(names_of(changed)) == list(NAMES)
    assert changed["epoch"] == 5
    assert bool(changed.get("settled")) == settled


def test_only_the_epoch_that_was_applied_is_settled():
    roster = make_roster(4, NAMES)
    assert mark_settled(roster, 3) is None
    assert mark_settled(roster, 4)["settled"]
    assert mark_settled(mark_settled(roster, 4), 4) is None


def test_two_daemons_can_join_at_once(platform):
    """Two daemons read the same roster, and one of them writes first."""
    first, second = KeeperSetup(platform, "vm-1"), KeeperSetup(platform, "vm-2")

    def add_second_meanwhile(roster):
        if "vm-2" not in names_of(roster):
            assert second.keeper.update(second.keeper._add_self)
        return first.keeper._add_self(roster)

    assert first.keeper.update(add_second_meanwhile)
    assert sorted(names_of(first.stored())) == ["vm-1", "vm-2"]
    assert first.stored()["epoch"] == 2


def test_a_daemon_joins_only_when_its_vm_is_listed(platform):
    """The list of VMs lags. A VM that joined before it is listed would count as gone,
    and others would get its share while it still spends it.
    """
    setup = KeeperSetup(platform)
    assert not setup.keeper._is_listed()
    setup.list_vms("vm-1")
    setup.keeper.join()
    assert names_of(setup.stored()) == ["vm-1"]


def test_a_dead_vm_keeps_its_share_while_it_is_listed(platform):
    """A daemon is silent but its VM is listed: it may be frozen and resume spending."""
    setup = KeeperSetup(platform)
    setup.list_vms(*NAMES)
    setup.put(make_roster(1, NAMES))
    for _ in range(3):
        setup.keeper._remove_gone()
    assert names_of(setup.stored()) == list(NAMES)


def test_a_vm_that_is_gone_is_removed_at_the_second_check(platform):
    """A VM ends while tokens that it lent may still be spent. If it were removed at the
    first check, other shares would grow before the tokens expire. By the second check
    they have expired.
    """
    setup = KeeperSetup(platform)
    setup.put(make_roster(1, NAMES))
    setup.list_vms("vm-1", "vm-3")
    setup.keeper._remove_gone()
    assert names_of(setup.stored()) == list(NAMES)
    setup.keeper._remove_gone()
    assert names_of(setup.stored()) == ["vm-1", "vm-3"]
    assert setup.stored()["epoch"] == 2


def test_the_cleaner_is_a_daemon_that_the_platform_answers(platform):
    """Guards against a cleaner that the platform doesn't answer."""
    first, second, third = rank("roster", NAMES)
    setup = KeeperSetup(platform, second)
    setup.put(make_roster(1, NAMES))
    now_ms = setup.clock.clock.now_ms()
    views = [MemberView(name, 1, 1, 1, 0, 60_000, False) for name in (first, third)]
    setup.membership.merge_reply(views, now_ms)
    assert not setup.keeper._is_cleaner()
    setup.membership.note_platform_answer(now_ms)
    assert setup.keeper._is_cleaner()


def test_a_roster_is_settled_only_when_every_member_applied_it(platform):
    setup = KeeperSetup(platform)
    setup.put(make_roster(1, ["vm-1", "vm-2"]))
    setup.membership.note_applied_epoch(1)
    setup.keeper._mark_settled()
    assert not setup.stored().get("settled")
    other = Membership(setup.clock, MembershipSettings("vm-2"))
    other.note_applied_epoch(1)
    setup.membership.merge_reply(other.make_views(), setup.clock.clock.now_ms())
    setup.keeper._mark_settled()
    assert setup.stored()["settled"]


def test_a_daemon_that_left_does_not_join_again(platform):
    setup = KeeperSetup(platform)
    setup.list_vms("vm-1", "vm-2")
    setup.put(make_roster(1, ["vm-1", "vm-2"]))
    assert setup.keeper.leave()
    setup.keeper.join()
    assert names_of(setup.stored()) == ["vm-2"]


ODD_ROSTERS = [
    "no roster",
    {"epoch": 2**63, "members": []},
    {"epoch": 9, "members": [{"name": "vm-2"}]},
    {"epoch": 9, "members": [{"name": "x", "address": "x", "failure_domain": ""}]},
]


@pytest.mark.parametrize("odd", ODD_ROSTERS)
def test_odd_stored_roster_is_left_out(platform, odd):
    """It ended the tasks that join and clean the roster, again and again."""
    setup = KeeperSetup(platform)
    setup.put(make_roster(4, NAMES))
    revision = setup.client.get(ROSTER_KEY).ok.revision
    assert setup.client.put(ROSTER_KEY, odd, revision).is_ok()
    assert not setup.keeper.leave()
    assert setup.stored() == odd
    assert setup.membership.roster == make_roster(4, NAMES)
    assert setup.membership.member_names() == list(NAMES)
