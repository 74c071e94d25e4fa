"""Tests of the endpoint stand-in's ops, faults and replication."""

import signal
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.instance import Entry, Instance
from tests.endpoints import (
    TIMEOUT_MS,
    add,
    get,
    open_group,
    open_runtime,
    put,
    wait_until,
)

T = TIMEOUT_MS
SHORT_MS = 100
LONG_SERVICE_MS = 300


def write(link, request_id, statement, term=1):
    return link.write("kitchens", term, statement, request_id, T)


def start_write(group, link, request_id, statement):
    """Return the future of a write once the write occupies a slot."""
    future = group.runtime.start(write, link, request_id, statement)
    wait_until(group.runtime, lambda: group.instance("orders-1").slots_used == 1)
    return future


def read_value(link, row):
    return link.read("kitchens", get(row), T).ok.value


def test_a_write_reaches_the_replicas_and_wakes_a_status_poll():
    with open_group() as group:
        monitor = group.link("orders-2", "monitor")
        wait_until(group.runtime, lambda: group.instance("orders-2").position == 1)
        assert write(group.link("orders-1"), "w1", put("tray", 4)).ok.position == 2
        status = monitor.status(1, 1, T, 2 * T).ok
        assert (status.role, status.log_term, status.position) == ("replica", 1, 2)
        assert read_value(group.link("orders-2"), "tray") == 4
        again = write(group.link("orders-1"), "w1", put("tray", 5)).ok
        assert (again.value, again.duplicate) == (4, True)


@pytest.mark.parametrize(
    ("value", "amount"), [(1e308, 1e308), (10**400, 0.5), (10**308, 1e308)]
)
def test_a_sum_that_no_number_holds_is_refused(value, amount):
    """Guards against a sum that is answered as `null`, or that ends a connection."""
    with open_group() as group:
        link = group.link("orders-1")
        assert write(link, "w1", put("count", value)).is_ok()
        error = write(link, "w2", add("count", amount)).error
        assert (error.kind, link.closed) == ("invalid_statement", False)
        assert read_value(link, "count") == value


def test_only_one_of_two_fences_with_one_term_is_accepted():
    """Two daemons suspect the primary at the same time and fence with the same term.
    If both fences were accepted, both would promote, and writes would be lost.
    """
    with open_group() as group:
        first = group.link("orders-2", "monitor")
        second = group.link("orders-2", "monitor")
        assert first.fence(2, T).ok.term == 2
        refused = second.fence(2, T).error
        assert (refused.kind, refused.term) == ("stale_term", 2)
        promoted = first.promote(2, T).ok
        assert first.promote(2, T).ok == promoted
        assert group.instance("orders-2").log_term == 2
        assert second.promote(1, T).error.kind == "stale_term"


def test_a_fence_rejects_a_write_that_is_in_progress():
    """A primary is replaced while a write occupies one of its slots. If the write were
    acknowledged, the caller would find it lost after the failover.
    """
    with open_group(service_ms=LONG_SERVICE_MS) as group:
        link = group.link("orders-1")
        future = start_write(group, link, "w1", put("tray", 4))
        group.link("orders-1", "monitor").fence(2, T)
        assert future.result().error.kind == "not_primary"
        assert [entry["kind"] for entry in group.entries("orders-1")] == ["promote"]


def test_a_replaced_primary_drops_its_unreplicated_entries():
    """A primary that is cut off goes on writing while another is promoted. When it
    follows the new one, its unreplicated entries must go, or its readers would see rows
    that no other instance has.
    """
    with open_group() as group:
        old = group.link("orders-1")
        write(old, "w1", put("tray", 1))
        group.wait_equal_logs("orders-1", "orders-2", "orders-3")
        group.admin("orders-1", "cut", names=["orders-2", "orders-3"])
        write(old, "w2", put("tray", 2))
        write(old, "w3", put("gluten", "none"))
        write(old, "w4", add("lunches", 1))
        new = group.link("orders-2", "monitor")
        third = group.link("orders-3", "monitor")
        assert [new.fence(2, T).ok.position, third.fence(2, T).ok.position] == [2, 2]
        new.promote(2, T)
        address = str(group.servers["orders-2"].address)
        third.follow(2, address, T)
        write(group.link("orders-2"), "w5", put("tray", 5), term=2)
        group.admin("orders-1", "heal", names=["orders-2", "orders-3"])
        group.link("orders-1", "monitor").follow(2, address, T)
        group.wait_equal_logs("orders-1", "orders-2", "orders-3")
        assert read_value(old, "tray") == 5
        assert read_value(old, "gluten") is None
        assert write(old, "w2", put("tray", 2), 2).error.kind == "not_primary"


def test_a_pull_answered_before_the_fence_is_dropped_after_it():
    """A replica freezes while a pull is in progress and is fenced when it thaws. If it
    appended the pulled entries after the fence, its log would no longer end at the
    position that it reported to the fence.
    """
    with open_group() as group:
        group.wait_equal_logs("orders-1", "orders-2")
        group.admin("orders-2", "freeze")
        write(group.link("orders-1"), "w1", put("tray", 1))
        instance = group.instance("orders-2")
        with instance.condition:
            instance.fence(2)
        group.admin("orders-2", "thaw")
        status = group.link("orders-2", "monitor").status(0, 0, 0, T).ok
        assert (status.term, status.position) == (2, 1)
        group.runtime.sleep_ms(SHORT_MS)
        assert instance.position == 1


def test_a_frozen_instance_answers_only_admins_and_runs_the_rest_after_the_thaw():
    """An instance freezes, and runs the requests that it has received after the thaw.
    A caller that timed out meanwhile can't know whether its write ran.
    """
    with open_group() as group:
        link = group.link("orders-1")
        group.admin("orders-1", "freeze")
        lost = link.write("kitchens", 1, put("tray", 4), "w1", SHORT_MS).error
        assert (lost.kind, lost.may_have_run) == ("lost", True)
        assert not group.try_link("orders-1", timeout_ms=SHORT_MS).is_ok()
        assert len(group.entries("orders-1")) == 1
        group.admin("orders-1", "thaw")
        wait_until(group.runtime, lambda: len(group.entries("orders-1")) == 2)
        assert group.link("orders-1").settle(1, "w1", T).ok.outcome == "ran"


def test_messages_from_a_cut_caller_have_no_effect():
    """A network partition separates one daemon from the instance. The daemon gets no
    answer, and nothing that it sent takes effect after the partition has healed.
    """
    with open_group() as group:
        link = group.link("orders-1")
        group.admin("orders-1", "cut", names=["vm-1"])
        error = link.write("kitchens", 1, put("tray", 4), "w1", SHORT_MS).error
        assert error.kind == "lost"
        group.admin("orders-1", "heal", names=["vm-1"])
        assert read_value(group.link("orders-1"), "tray") is None


def test_a_settle_tells_whether_a_write_without_an_answer_ran():
    """A connection closes without an answer, once after the write has run and once
    before. Only the endpoint knows which, and a settle has to report it.
    """
    with open_group() as group:
        for request_id, outcome in (("after", "ran"), ("before", "cancelled")):
            fault = {"ops": ["write"], "count": 1, "before": request_id == "before"}
            group.admin("orders-1", "drop_answers", **fault)
            error = write(group.link("orders-1"), request_id, add("n", 1)).error
            assert error.kind == "lost"
            assert group.link("orders-1").settle(1, request_id, T).ok.outcome == outcome
        late = write(group.link("orders-1"), "before", add("n", 1))
        assert late.error.kind == "cancelled"
        assert read_value(group.link("orders-1"), "n") == 1


def test_a_write_that_ends_after_its_settle_does_not_run():
    """A write is still being served when a settle cancels it. If it ran nevertheless,
    a caller that was told "not run" would send it again and it would run twice.
    """
    with open_group(service_ms=LONG_SERVICE_MS) as group:
        late, prompt = group.link("orders-1"), group.link("orders-1")
        future = start_write(group, late, "w1", add("n", 1))
        group.admin("orders-1", "set", service_ms=0)
        assert prompt.settle(1, "w1", T).ok.outcome == "cancelled"
        assert future.result().error.kind == "cancelled"
        assert read_value(prompt, "n") is None
        group.wait_equal_logs("orders-1", "orders-2", "orders-3")


def test_a_connection_over_the_limit_is_refused_until_another_closes():
    """Daemons open more work connections than the instance allows. The surplus is
    refused at once, but monitor connections are not limited: without them no daemon
    could promote the instance.
    """
    with open_group(connections=2) as group:
        links = [group.link("orders-1"), group.link("orders-1")]
        assert group.try_link("orders-1").error.kind == "too_many_connections"
        assert group.try_link("orders-1", "monitor").is_ok()
        links[0].close()
        wait_until(group.runtime, lambda: group.try_link("orders-1").is_ok())


def test_a_request_without_a_slot_is_busy_and_does_not_run():
    """All slots are taken when another write arrives. It is refused as busy, does not
    run and is not recorded.
    """
    with open_group(slots=1, service_ms=LONG_SERVICE_MS) as group:
        links = [group.link("orders-1"), group.link("orders-1")]
        future = start_write(group, links[0], "w1", add("n", 1))
        assert write(links[1], "w2", add("n", 1)).error.kind == "busy"
        assert future.result().ok.value == 1
        outcomes = [
            e["outcome"] for e in group.admin("orders-1", "record")["executions"]
        ]
        assert outcomes == ["ran"]


def test_a_transaction_is_atomic_and_ends_with_its_connection():
    """A daemon dies between begin and commit. None of its transaction's changes may
    become visible, while a committed transaction becomes visible as a whole.
    """
    with open_group() as group:
        closing, link, other = (group.link("orders-1") for _ in range(3))
        for in_transaction in (closing, link):
            in_transaction.begin("kitchens", 1, T)
        write(closing, "", put("soup", 1))
        closing.close()
        write(link, "", put("tray", 1))
        write(link, "", add("tray", 1))
        assert read_value(link, "tray") == 2
        assert read_value(other, "tray") is None
        assert link.commit(1, "c1", T).ok.position == 2
        assert read_value(other, "tray") == 2
        assert other.commit(1, "c1", T).ok.duplicate
        assert read_value(other, "soup") is None


def test_a_commit_after_another_write_to_its_rows_is_a_conflict():
    """Two callers change the same row, one of them in a transaction. If its commit
    succeeded, it would overwrite the other caller's change.
    """
    with open_group() as group:
        link, other = group.link("orders-1"), group.link("orders-1")
        link.begin("kitchens", 1, T)
        write(link, "", add("tray", 1))
        write(link, "", put("soup", 1))
        write(other, "w1", add("tray", 5))
        assert link.commit(1, "c1", T).error.kind == "conflict"
        assert (read_value(link, "tray"), read_value(link, "soup")) == (5, None)


def test_a_fence_aborts_an_open_transaction_as_a_whole():
    """The primary is fenced and promoted again while a transaction is open. If a later
    write of the transaction ran on its own, half of the transaction would be applied.
    """
    with open_group() as group:
        link = group.link("orders-1")
        monitor = group.link("orders-1", "monitor")
        link.begin("kitchens", 1, T)
        write(link, "", put("tray", 1))
        monitor.fence(2, T)
        monitor.promote(2, T)
        assert write(link, "", put("soup", 1), 2).error.kind == "no_transaction"
        assert link.commit(2, "c1", T).error.kind == "no_transaction"
        assert group.instance("orders-1").rows == {}


def find_rewind(source, target):
    return source.find_rewind(target.log_term, target.position)


def make_instance(runtime, terms, prefix):
    instance = Instance(runtime, slots=1)
    for place, term in enumerate(terms):
        changes = {f"row-{place % 3}": (place, term if place >= prefix else 0)}
        with instance.condition:
            instance.append(Entry(term=term, request_id="", changes=changes))
    return instance


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    common=st.lists(st.integers(1, 3), max_size=5).map(sorted),
    own=st.lists(st.sampled_from([4, 6]), max_size=6).map(sorted),
    primary=st.lists(st.sampled_from([5, 7]), min_size=1, max_size=6).map(sorted),
)
def test_any_two_logs_become_equal_by_rewinding(common, own, primary):
    """Two instances each wrote under terms of their own after a split. Following
    must leave exactly the primary's log and rows, whatever the two hold.
    """
    with open_runtime(1) as runtime:
        source = make_instance(runtime, common + primary, len(common))
        target = make_instance(runtime, common + own, len(common))
        with target.condition:
            while (place := find_rewind(source, target)) is not None:
                assert place < target.position
                target.cut_log(place)
            assert target.position >= len(common)
            for entry in source.entries[target.position :]:
                target.append(entry)
        assert (target.entries, target.rows) == (source.entries, source.rows)


def test_sigterm_ends_the_process_with_status_0():
    command = [sys.executable, "-m", "standins.endpoint", "--name", "orders-1"]
    command += ["--group", "orders", "--listen", "127.0.0.1:0", "--primary-term", "1"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert "orders-1 listens on 127.0.0.1:" in process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
