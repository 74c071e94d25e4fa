"""Tests of the membership: liveness, roster epochs, isolation."""

import pytest

from tests.builders_membership import ISOLATION_MS, NAMES, SUSPECT_MS, Trio
from tests.fleet import make_roster


@pytest.fixture
def trio():
    trio = Trio()
    trio.exchange_heartbeats()
    return trio


def test_a_silent_daemon_counts_as_dead(trio):
    assert trio.members["vm-1"].alive_names() == list(NAMES)
    trio.wait(SUSPECT_MS + 1)
    trio.send_heartbeat("vm-1", "vm-2")
    assert trio.members["vm-1"].alive_names() == ["vm-1", "vm-2"]


def test_a_paused_daemon_counts_no_peer_as_dead_for_its_own_pause(trio):
    """Guards against a daemon whose own pause makes its peers count as dead."""
    member = trio.members["vm-1"]
    trio.wait(SUSPECT_MS + 1)
    trio.send_heartbeat("vm-1", "vm-2")
    began_ms = trio.runtime.clock.now_ms()
    trio.wait(3 * SUSPECT_MS)
    member.note_pause(began_ms, trio.runtime.clock.now_ms())
    assert member.alive_names() == ["vm-1", "vm-2"]
    trio.wait(SUSPECT_MS + 1)
    assert member.alive_names() == ["vm-1"]


def test_a_frozen_daemon_does_not_treat_an_old_reply_as_new(trio):
    """A daemon is frozen between its heartbeat and the reply. If the views' ages
    counted from the reply's arrival, a dead peer would look alive, and an old answer of
    the platform recent.
    """
    trio.members["vm-2"].note_platform_answer(trio.runtime.clock.now_ms())
    trio.send_heartbeat("vm-1", "vm-2", delay_ms=60_000)
    member = trio.members["vm-1"]
    assert member.alive_names() == ["vm-1"]
    assert member.platform_age_ms() > ISOLATION_MS
    assert member.is_isolated()


def test_an_old_view_through_another_member_is_ignored(trio):
    """vm-3 forwards its view of vm-2 after vm-1 has got a newer one from vm-2."""
    trio.members["vm-2"].note_applied_epoch(5)
    trio.wait(100)
    trio.send_heartbeat("vm-1", "vm-2")
    trio.send_heartbeat("vm-1", "vm-3")
    assert trio.members["vm-1"].view_of("vm-2").applied_epoch == 5


def test_the_view_of_a_restarted_daemon_replaces_the_previous_one(trio):
    """A restarted daemon has applied no epoch yet. If the view of its previous process
    stayed, others would assume that its share has shrunk.
    """
    trio.members["vm-2"].note_applied_epoch(1)
    trio.send_heartbeat("vm-1", "vm-2")
    trio.wait(200)
    trio.members["vm-2"] = trio.make("vm-2")
    trio.send_heartbeat("vm-1", "vm-2")
    assert trio.members["vm-1"].view_of("vm-2").applied_epoch == 0


def test_an_epoch_is_applied_when_every_member_of_that_roster_reports_it(trio):
    member = trio.members["vm-1"]
    for name in NAMES[:2]:
        trio.members[name].note_applied_epoch(1)
    trio.exchange_heartbeats()
    assert not member.all_applied(member.roster)
    trio.members["vm-3"].note_applied_epoch(1)
    trio.send_heartbeat("vm-1", "vm-3")
    assert member.all_applied(member.roster)


def test_a_newer_roster_does_not_confirm_the_previous_one(trio):
    """One task checks a roster while another puts the next one in force, without vm-3.
    The members of the new roster must not stand for those of the first.
    """
    member = trio.members["vm-1"]
    first = member.roster
    for name in NAMES[:2]:
        trio.members[name].note_applied_epoch(1)
    trio.exchange_heartbeats()
    member.accept_roster(make_roster(2, NAMES[:2]))
    assert not member.all_applied(first)


def test_a_settled_roster_counts_as_applied_without_views_of_its_members():
    trio = Trio()
    member = trio.members["vm-1"]
    assert not member.all_applied(member.roster)
    assert member.accept_roster(make_roster(1, NAMES, settled=True))
    assert member.all_applied(member.roster)
    assert not member.accept_roster(make_roster(1, NAMES))
    assert member.roster["settled"]


def test_an_older_roster_or_epoch_is_ignored(trio):
    member = trio.members["vm-1"]
    member.accept_roster(make_roster(3, NAMES[:2]))
    member.note_applied_epoch(3)
    assert not member.accept_roster(make_roster(2, NAMES))
    member.note_applied_epoch(2)
    assert member.member_names() == ["vm-1", "vm-2"]
    assert member.applied_epoch == 3


@pytest.mark.parametrize(
    ("heard", "isolated"), [((), True), (("vm-2",), False), (("vm-2", "vm-3"), False)]
)
def test_a_daemon_that_hears_from_a_minority_is_isolated(trio, heard, isolated):
    """The platform doesn't answer a daemon. In the minority of a network partition it
    would go on accepting withdrawn keys. If it hears from most daemons, the platform
    itself is down.
    """
    trio.wait(ISOLATION_MS + 1)
    for other in heard:
        trio.send_heartbeat("vm-1", other)
    assert trio.members["vm-1"].is_isolated() == isolated


def test_one_member_that_the_platform_answers_is_enough(trio):
    trio.wait(ISOLATION_MS + 1)
    trio.members["vm-3"].note_platform_answer(trio.runtime.clock.now_ms())
    trio.send_heartbeat("vm-2", "vm-3")
    trio.send_heartbeat("vm-1", "vm-2")
    assert not trio.members["vm-1"].is_isolated()


def test_a_stopping_daemon_is_not_alive_for_others(trio):
    trio.members["vm-2"].note_stopping()
    trio.send_heartbeat("vm-1", "vm-2")
    assert "vm-2" not in trio.members["vm-1"].alive_names()
    assert trio.members["vm-2"].alive_names() == ["vm-1", "vm-3"]


@pytest.mark.parametrize(
    "changes",
    [
        {"epoch": 2**63},
        {"members": [{"name": "vm-9", "address": "10.0.0.1", "failure_domain": "a"}]},
    ],
)
def test_a_roster_that_cannot_be_used_changes_nothing(trio, changes):
    """Guards against a daemon that can send no heartbeat with the roster's epoch, or
    knows the epoch of one roster and the addresses of another.
    """
    member = trio.members["vm-1"]
    with pytest.raises(ValueError, match="roster|address"):
        member.accept_roster({**make_roster(3, NAMES[:2]), **changes})
    assert member.roster["epoch"] == 1
    assert member.member_names() == list(NAMES)
    trio.exchange_heartbeats()
