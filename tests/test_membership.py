"""Tests of what a daemon knows of the others: heartbeats, epochs, isolation."""

import pytest

from bronzerelay.membership import Membership, MembershipSettings
from tests.fleet import SimulatedRuntime, make_roster

NAMES = ("vm-1", "vm-2", "vm-3")
SUSPECT_MS = 700
ISOLATION_MS = 3000


class Trio:
    """Three daemons on one clock; `hear` is one heartbeat with its reply."""

    def __init__(self):
        self.runtime = SimulatedRuntime()
        self.members = {name: self.make(name) for name in NAMES}

    def make(self, name):
        settings = MembershipSettings(name, SUSPECT_MS, ISOLATION_MS)
        member = Membership(self.runtime, settings)
        member.accept_roster(make_roster(1, NAMES))
        return member

    def wait(self, duration_ms):
        self.runtime.clock.time_ms += duration_ms

    def hear(self, name, other, delay_ms=0):
        sent_at_ms = self.runtime.clock.now_ms()
        views = self.members[other].make_views()
        self.wait(delay_ms)
        self.members[name].merge_reply(views, sent_at_ms)

    def hear_all(self):
        for name in NAMES:
            for other in NAMES:
                if name != other:
                    self.hear(name, other)


@pytest.fixture
def trio():
    trio = Trio()
    trio.hear_all()
    return trio


def test_a_silent_daemon_is_taken_for_dead(trio):
    assert trio.members["vm-1"].alive_names() == list(NAMES)
    trio.wait(SUSPECT_MS + 1)
    trio.hear("vm-1", "vm-2")
    assert trio.members["vm-1"].alive_names() == ["vm-1", "vm-2"]


def test_a_daemon_that_was_paused_takes_nobody_for_silent_by_that(trio):
    """Guards against a pause of one daemon that cuts its calls to all others."""
    member = trio.members["vm-1"]
    trio.wait(SUSPECT_MS + 1)
    trio.hear("vm-1", "vm-2")
    began_ms = trio.runtime.clock.now_ms()
    trio.wait(3 * SUSPECT_MS)
    member.note_pause(began_ms, trio.runtime.clock.now_ms())
    assert member.alive_names() == ["vm-1", "vm-2"]
    trio.wait(SUSPECT_MS + 1)
    assert member.alive_names() == ["vm-1"]


def test_a_frozen_daemon_that_reads_an_old_reply_does_not_take_it_for_new(trio):
    """A daemon is frozen between its heartbeat and the reply. Taken as of its arrival,
    the reply would show a dead peer alive and an old contact with the platform fresh.
    """
    trio.members["vm-2"].note_platform(trio.runtime.clock.now_ms())
    trio.hear("vm-1", "vm-2", delay_ms=60_000)
    member = trio.members["vm-1"]
    assert member.alive_names() == ["vm-1"]
    assert member.platform_age_ms() > ISOLATION_MS
    assert member.is_isolated()


def test_an_old_view_by_a_detour_changes_nothing(trio):
    """vm-3 passes on what it last knew of vm-2, after vm-1 has heard newer."""
    trio.members["vm-2"].note_applied(5)
    trio.wait(100)
    trio.hear("vm-1", "vm-2")
    trio.hear("vm-1", "vm-3")
    assert trio.members["vm-1"].view_of("vm-2").applied_epoch == 5


def test_a_restarted_daemon_counts_from_its_new_start(trio):
    """A restarted daemon begins with no epoch applied. If the view of the process
    before it stayed, others would take its share for shrunk when it isn't.
    """
    trio.members["vm-2"].note_applied(1)
    trio.hear("vm-1", "vm-2")
    trio.wait(200)
    trio.members["vm-2"] = trio.make("vm-2")
    trio.hear("vm-1", "vm-2")
    assert trio.members["vm-1"].view_of("vm-2").applied_epoch == 0


def test_an_epoch_is_applied_when_every_member_of_that_roster_says_so(trio):
    member = trio.members["vm-1"]
    for name in NAMES[:2]:
        trio.members[name].note_applied(1)
    trio.hear_all()
    assert not member.all_applied(member.roster)
    trio.members["vm-3"].note_applied(1)
    trio.hear("vm-1", "vm-3")
    assert member.all_applied(member.roster)


def test_a_roster_that_came_meanwhile_confirms_nothing_of_the_one_before(trio):
    """A task looks at a roster while another task brings the next, without vm-3. The
    members of the next must not stand for those of the first.
    """
    member = trio.members["vm-1"]
    first = member.roster
    for name in NAMES[:2]:
        trio.members[name].note_applied(1)
    trio.hear_all()
    member.accept_roster(make_roster(2, NAMES[:2]))
    assert not member.all_applied(first)


def test_a_settled_roster_needs_no_word_of_a_daemon_that_died_since():
    trio = Trio()
    member = trio.members["vm-1"]
    assert not member.all_applied(member.roster)
    assert member.accept_roster(make_roster(1, NAMES, settled=True))
    assert member.all_applied(member.roster)
    assert not member.accept_roster(make_roster(1, NAMES))
    assert member.roster["settled"]


def test_an_older_roster_and_epoch_never_come_back(trio):
    member = trio.members["vm-1"]
    member.accept_roster(make_roster(3, NAMES[:2]))
    member.note_applied(3)
    assert not member.accept_roster(make_roster(2, NAMES))
    member.note_applied(2)
    assert member.member_names() == ["vm-1", "vm-2"]
    assert member.applied_epoch == 3


@pytest.mark.parametrize(
    ("heard", "isolated"), [((), True), (("vm-2",), False), (("vm-2", "vm-3"), False)]
)
def test_who_hears_of_a_minority_is_isolated(trio, heard, isolated):
    """A daemon is cut from the platform. On the small side of the cut it would go on
    honouring keys that were withdrawn; with most daemons the platform itself is out.
    """
    trio.wait(ISOLATION_MS + 1)
    for other in heard:
        trio.hear("vm-1", other)
    assert trio.members["vm-1"].is_isolated() == isolated


def test_one_daemon_with_the_platform_is_enough_for_those_that_hear_of_it(trio):
    trio.wait(ISOLATION_MS + 1)
    trio.members["vm-3"].note_platform(trio.runtime.clock.now_ms())
    trio.hear("vm-2", "vm-3")
    trio.hear("vm-1", "vm-2")
    assert not trio.members["vm-1"].is_isolated()


def test_a_stopping_daemon_is_not_alive_for_others(trio):
    trio.members["vm-2"].note_stopping()
    trio.hear("vm-1", "vm-2")
    assert "vm-2" not in trio.members["vm-1"].alive_names()
    assert trio.members["vm-2"].alive_names() == ["vm-1", "vm-3"]
