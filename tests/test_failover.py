"""Tests of promotions: one primary per term, and no acknowledged write is lost."""

import pytest

from bronzerelay import dialect
from bronzerelay.failover import (
    CATCH_UP_TIMEOUT_MS,
    CHECK_INTERVAL_MS,
    INITIAL_CATCH_UP_MS,
    STALL_FACTOR,
    Promoter,
    StallDetector,
)
from bronzerelay.watch import InstanceState
from tests.builders_group import (
    make_configuration,
    make_group_spec,
    make_groups,
    make_server,
    make_work,
)
from tests.endpoints import add, get, wait_until
from tests.fleet import SimulatedRuntime

SLOW_MS = 150


def write_until_acknowledged(runtime, server):
    """Return the answer of the first acknowledged write, within ten tries."""
    for _ in range(10):
        result = server.write(make_work(runtime, add("count", 1)))
        if result.is_ok():
            return result.ok
    raise AssertionError(f"no write was acknowledged: {result.error}")


def read_count(runtime, server, session=""):
    work = make_work(runtime, get("count"), session=session)
    return server.read(work).ok["value"]


def primaries(group):
    return {name for name in group.servers if group.instance(name).role == "primary"}


def test_a_killed_primary_is_replaced_and_its_writes_are_kept(runtime, group):
    """The primary's process is killed just after it acknowledged writes.

    Whether replicas were behind or not, a caller that reads after the failover must
    see the writes that were acknowledged to it.
    """
    server = make_server(runtime, group)
    before = [write_until_acknowledged(runtime, server) for _ in range(5)]
    group.servers["orders-1"].stop()
    answer = write_until_acknowledged(runtime, server)
    assert answer["served_by"] != "orders-1"
    assert answer["value"] == len(before) + 1
    assert read_count(runtime, server, answer["session"]) == len(before) + 1


@pytest.mark.parametrize("slow", [False, True])
def test_a_primary_whose_first_answer_is_slow_isnt_replaced(runtime, group, slow):
    """Guards against a failover whenever a daemon starts to serve a group."""

    def open_slowly(runtime, spec, caller, kind, timeout_ms):
        if slow and spec.name == "orders-1":
            runtime.sleep_ms(SLOW_MS)
        return dialect.open_link(runtime, spec, caller, kind, timeout_ms)

    groups = make_groups(runtime, make_group_spec(group), open_link=open_slowly)
    watch = groups.find("orders").components.watch
    wait_until(runtime, watch.primary)
    assert (watch.primary(), watch.highest_term()) == ("orders-1", 1)


def test_a_frozen_primary_that_thaws_acknowledges_no_more_writes(runtime, group):
    """The primary freezes, is replaced, and later resumes where it was.

    It still has the role of primary and runs the writes in its buffers. If these were
    acknowledged, their callers would see them vanish.
    """
    server = make_server(runtime, group)
    write_until_acknowledged(runtime, server)
    group.admin("orders-1", "freeze")
    answer = write_until_acknowledged(runtime, server)
    assert answer["served_by"] != "orders-1"
    stale = group.link("orders-2", "monitor").status(0, 0, 0, 1000).ok.term
    group.admin("orders-1", "thaw")
    link = group.link("orders-1")
    late = link.write("north", stale - 1, add("count", 1), "late#1", 1000)
    wait_until(runtime, lambda: group.instance("orders-1").role == "replica")
    final = write_until_acknowledged(runtime, server)
    assert not late.is_ok() or final["value"] == answer["value"] + 1
    wait_until(
        runtime, lambda: group.instance("orders-1").rows.get("count") == final["value"]
    )


def test_a_primary_cut_off_from_its_replicas_is_replaced(runtime, group):
    """The primary answers the daemon, but its replicas can't reach it.

    It runs writes that no majority can ever hold. Unless it is replaced, every write of
    the group waits until its deadline, for as long as the partition lasts.
    """
    server = make_server(runtime, group)
    first = write_until_acknowledged(runtime, server)
    group.admin("orders-1", "cut", names=["orders-2", "orders-3"])
    answer = write_until_acknowledged(runtime, server)
    assert answer["served_by"] != "orders-1"
    assert answer["value"] == first["value"] + 1


def test_a_primary_cut_off_from_the_daemon_is_replaced(runtime, group):
    """The daemon can't reach the primary any more, but the replicas can.

    The old primary has followers until these are fenced. Without the fence, other
    daemons' writes could still be acknowledged on it while there is a new primary.
    """
    server = make_server(runtime, group, "vm-9")
    write_until_acknowledged(runtime, server)
    group.admin("orders-1", "cut", names=["vm-9"])
    answer = write_until_acknowledged(runtime, server)
    assert answer["served_by"] != "orders-1"
    old = group.link("orders-1").write("north", 1, add("count", 1), "other#1", 1000)
    if old.is_ok():
        position = old.ok.position
        others = [group.instance(name) for name in ("orders-2", "orders-3")]
        holders = [
            instance
            for instance in others
            if instance.log_term == 1 and instance.position >= position
        ]
        assert not holders


@pytest.mark.parametrize("step", ["fenced", "promoted"])
def test_an_interrupted_promotion_is_completed(runtime, group, step):
    """The promoting daemon fails after the fence, or before it pointed the replicas.

    The group then has no primary, or one without followers. The next daemon has to
    complete the promotion, or the group acknowledges no write until an operator acts.
    """
    server = make_server(runtime, group, "vm-2")
    write_until_acknowledged(runtime, server)
    links = {name: group.link(name, "monitor") for name in group.servers}
    ends = {name: link.fence(2, 1000).ok for name, link in links.items()}
    if step == "promoted":
        best = max(ends, key=lambda name: (ends[name].log_term, ends[name].position))
        assert links[best].promote(2, 1000).is_ok()
    answer = write_until_acknowledged(runtime, server)
    assert answer["value"] == 2
    if step == "promoted":
        assert answer["served_by"] == best


def test_of_two_daemons_with_the_same_term_at_most_one_promotes(runtime, group):
    """Two daemons suspect the primary at the same time and use the same term.

    If both succeeded, two primaries would run writes at one term, and each caller
    would see only some of them.
    """
    spec = make_group_spec(group)

    def open_as(name):
        def opener(endpoint, kind, timeout_ms):
            return group.try_link(endpoint.name, kind, timeout_ms)

        return opener

    futures = [
        runtime.start(
            Promoter(runtime, open_as(name)).promote, spec, 2, list(spec.endpoints)
        )
        for name in ("vm-1", "vm-2")
    ]
    promoted = [future.result() for future in futures]
    assert len([outcome for outcome in promoted if outcome.primary]) <= 1
    assert len(primaries(group)) <= 1


def test_a_daemon_without_a_majority_of_fences_promotes_nothing(runtime, group):
    """Another daemon has just fenced two instances at the same term.

    The last instance still accepts this daemon's fence. If one fence were enough, there
    would be two primaries of one term.
    """
    spec = make_group_spec(group)
    for name in ("orders-1", "orders-2"):
        assert group.link(name, "monitor").fence(2, 1000).is_ok()

    def opener(endpoint, kind, timeout_ms):
        return group.try_link(endpoint.name, kind, timeout_ms)

    outcome = Promoter(runtime, opener).promote(spec, 2, list(spec.endpoints))
    assert outcome.primary == ""
    assert not primaries(group)


def test_without_a_reachable_majority_nothing_is_promoted(runtime, group):
    """Two of the three instances have failed.

    The last one may lack acknowledged writes that only the others hold; promoting it
    would lose them silently.
    """
    server = make_server(runtime, group)
    write_until_acknowledged(runtime, server)
    group.servers["orders-1"].stop()
    group.servers["orders-3"].stop()
    result = server.write(make_work(runtime, add("count", 1), deadline_ms=1500))
    assert not result.is_ok()
    assert result.error.ran != "ran"
    assert "orders-2" not in primaries(group)


def test_the_new_primary_fails_at_once_and_the_old_one_thaws(runtime, group):
    """The primary freezes, its successor is killed, and the first primary thaws.

    The thawed instance and the last replica are a majority. The writes acknowledged on
    the successor are in the replica's log and must be kept.
    """
    server = make_server(runtime, group)
    write_until_acknowledged(runtime, server)
    group.admin("orders-1", "freeze")
    second = write_until_acknowledged(runtime, server)
    group.admin("orders-1", "thaw")
    group.servers[second["served_by"]].stop()
    third = write_until_acknowledged(runtime, server)
    assert third["value"] == second["value"] + 1


def test_a_switchover_from_a_leaving_primary_refuses_no_write(runtime, group):
    """An operator marks the primary's endpoint as leaving while writes run.

    Each write has to be acknowledged, before the switchover or after it, and no more of
    them may run on the leaving endpoint.
    """
    groups = make_groups(runtime, make_group_spec(group))
    server = groups.find("orders")
    write_until_acknowledged(runtime, server)
    spec = make_group_spec(group, leaving=("orders-1",))
    groups.set_configuration(make_configuration(spec, 2))
    answers = []
    wait_until(
        runtime,
        lambda: (
            answers.append(server.write(make_work(runtime, add("count", 1))))
            or answers[-1].ok["served_by"] != "orders-1"
        ),
    )
    assert all(answer.is_ok() for answer in answers)
    assert answers[-1].ok["value"] == len(answers) + 1


def test_a_leaving_primary_serves_while_its_only_successor_is_silent(runtime, group):
    """Guards against writes that are paused for a switchover that can't happen."""
    groups = make_groups(runtime, make_group_spec(group))
    server = groups.find("orders")
    write_until_acknowledged(runtime, server)
    group.admin("orders-3", "freeze")
    watch = server.components.watch
    wait_until(runtime, lambda: not watch.states["orders-3"].reachable)
    spec = make_group_spec(group, leaving=("orders-1", "orders-2"))
    groups.set_configuration(make_configuration(spec, 2))
    end_ms = runtime.clock.now_ms() + CATCH_UP_TIMEOUT_MS
    while runtime.clock.now_ms() < end_ms:
        work = make_work(runtime, add("count", 1), deadline_ms=CATCH_UP_TIMEOUT_MS / 2)
        assert server.write(work).is_ok()
        runtime.sleep_ms(CHECK_INTERVAL_MS)
    group.admin("orders-3", "thaw")
    wait_until(runtime, lambda: primaries(group) == {"orders-3"})


def test_a_write_that_only_the_primary_holds_is_not_acknowledged(runtime, group):
    """The primary ran a write, and both replicas are cut off before they have it.

    If the primary fails then, no other instance has the write. If it had been
    acknowledged, its caller would never see it again.
    """
    server = make_server(runtime, group)
    for name in ("orders-2", "orders-3"):
        group.admin(name, "cut", names=["orders-1"])
    wait_until(runtime, lambda: group.instance("orders-1").role == "primary")
    result = server.write(make_work(runtime, add("count", 1), deadline_ms=500))
    assert not result.is_ok()
    assert result.error.ran == "unknown"


def test_the_replica_with_the_longest_log_is_promoted(runtime, group):
    """One replica lags behind when the primary fails.

    The other one holds acknowledged writes; promoting the lagging one would lose them.
    """
    server = make_server(runtime, group)
    write_until_acknowledged(runtime, server)
    group.admin("orders-2", "cut", names=["orders-1"])
    latest = [write_until_acknowledged(runtime, server) for _ in range(3)][-1]
    group.servers["orders-1"].stop()
    group.admin("orders-2", "heal", names=["orders-1"])
    answer = write_until_acknowledged(runtime, server)
    assert answer["value"] == latest["value"] + 1


class StalledWatch:
    """A group whose primary's last entries no replica holds."""

    states = {"orders-1": InstanceState(term=1, role="primary", log_term=1, position=5)}

    def is_held_by_majority(self, need):
        return False


def test_a_pause_of_the_daemon_is_no_stall_of_the_replicas():
    """Guards against a promotion by a daemon that has just ended a pause."""
    runtime = SimulatedRuntime()
    detector = StallDetector(runtime)
    stall_ms = STALL_FACTOR * INITIAL_CATCH_UP_MS

    def check_for(duration_ms):
        for _ in range(int(duration_ms / CHECK_INTERVAL_MS)):
            runtime.clock.time_ms += CHECK_INTERVAL_MS
            if detector.is_stalled(StalledWatch(), "orders-1"):
                return True
        return False

    assert not check_for(stall_ms / 2)
    runtime.clock.time_ms += 2 * stall_ms
    assert not check_for(stall_ms / 2)
    assert check_for(stall_ms)
