"""Tests of the roster in the platform: who joins, who leaves, who is gone."""

import pytest

from bronzerelay import logs
from bronzerelay.membership import Membership, MembershipSettings, names_of
from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.rendezvous import rank
from bronzerelay.roster import (
    ROSTER_KEY,
    RosterKeeper,
    add_member,
    remove_members,
    settle_epoch,
)
from tests.builders_platform import run_platform
from tests.fleet import SimulatedRuntime, make_roster

NAMES = ("vm-1", "vm-2", "vm-3")


class Relay:
    """Takes the place of the gossip: it only hands rosters to the membership."""

    def __init__(self, membership):
        self.accept_roster = membership.accept_roster


class Trial:
    """A keeper on a platform stand-in; the membership's clock moves by hand."""

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
            Relay(self.membership),
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


def test_each_change_is_a_new_epoch_and_no_change_is_none():
    roster = make_roster(4, NAMES[:2], settled=True)
    third = make_roster(1, NAMES)["members"][2]
    joined = add_member(roster, third)
    assert joined["epoch"] == 5 and not joined.get("settled")
    assert add_member(joined, third) is None
    assert remove_members(joined, {"vm-9"}) is None
    assert remove_members(joined, {"vm-3"})["epoch"] == 6


@pytest.mark.parametrize("settled", [True, False])
def test_a_vm_with_another_address_is_the_same_holder(settled):
    """A restarted daemon listens elsewhere. All parts stay as they were, so that the
    new epoch is settled just when the one before was.
    """
    roster = make_roster(4, NAMES, settled)
    moved = {**roster["members"][0], "address": "127.0.0.1:2"}
    changed = add_member(roster, moved)
    assert sorted(names_of(changed)) == list(NAMES)
    assert changed["epoch"] == 5
    assert bool(changed.get("settled")) == settled


def test_only_the_epoch_that_was_applied_is_settled():
    roster = make_roster(4, NAMES)
    assert settle_epoch(roster, 3) is None
    assert settle_epoch(roster, 4)["settled"]
    assert settle_epoch(settle_epoch(roster, 4), 4) is None


def test_two_daemons_that_join_at_once_are_both_in(platform):
    """Two daemons read the same roster, and one of them writes first."""
    first, second = Trial(platform, "vm-1"), Trial(platform, "vm-2")

    def add_second_meanwhile(roster):
        if "vm-2" not in names_of(roster):
            assert second.keeper.change(second.keeper._add_self)
        return first.keeper._add_self(roster)

    assert first.keeper.change(add_second_meanwhile)
    assert sorted(names_of(first.stored())) == ["vm-1", "vm-2"]
    assert first.stored()["epoch"] == 2


def test_a_daemon_joins_only_when_its_vm_is_listed(platform):
    """The list lags. A VM that joined before it is listed would be taken for gone, and
    its share given to others while it spends it.
    """
    trial = Trial(platform)
    assert not trial.keeper._is_listed()
    trial.list_vms("vm-1")
    trial.keeper.join()
    assert names_of(trial.stored()) == ["vm-1"]


def test_a_dead_vm_keeps_its_share_while_it_is_listed(platform):
    """A daemon is silent but its VM is listed: it may be frozen and go on spending."""
    trial = Trial(platform)
    trial.list_vms(*NAMES)
    trial.put(make_roster(1, NAMES))
    for _ in range(3):
        trial.keeper._remove_gone()
    assert names_of(trial.stored()) == list(NAMES)


def test_a_vm_that_is_gone_is_taken_out_at_the_second_look(platform):
    """A VM goes while tokens that it lent can be spent. They have lapsed from one look
    to the next; at the first the others would grow into them.
    """
    trial = Trial(platform)
    trial.put(make_roster(1, NAMES))
    trial.list_vms("vm-1", "vm-3")
    trial.keeper._remove_gone()
    assert names_of(trial.stored()) == list(NAMES)
    trial.keeper._remove_gone()
    assert names_of(trial.stored()) == ["vm-1", "vm-3"]
    assert trial.stored()["epoch"] == 2


def test_a_daemon_that_gets_answers_cleans_the_roster(platform):
    """Guards against leaving it to one that the platform turns away."""
    first, second, third = rank("roster", NAMES)
    trial = Trial(platform, second)
    trial.put(make_roster(1, NAMES))
    now_ms = trial.clock.clock.now_ms()
    views = [MemberView(name, 1, 1, 1, 0, 60_000, False) for name in (first, third)]
    trial.membership.merge_reply(views, now_ms)
    assert not trial.keeper._is_janitor()
    trial.membership.note_platform(now_ms)
    assert trial.keeper._is_janitor()


def test_a_roster_is_settled_only_when_every_member_applied_it(platform):
    trial = Trial(platform)
    trial.put(make_roster(1, ["vm-1", "vm-2"]))
    trial.membership.note_applied(1)
    trial.keeper._settle()
    assert not trial.stored().get("settled")
    other = Membership(trial.clock, MembershipSettings("vm-2"))
    other.note_applied(1)
    trial.membership.merge_reply(other.make_views(), trial.clock.clock.now_ms())
    trial.keeper._settle()
    assert trial.stored()["settled"]


def test_a_daemon_that_leaves_does_not_come_back_by_itself(platform):
    trial = Trial(platform)
    trial.list_vms("vm-1", "vm-2")
    trial.put(make_roster(1, ["vm-1", "vm-2"]))
    assert trial.keeper.leave()
    trial.keeper.join()
    assert names_of(trial.stored()) == ["vm-2"]
