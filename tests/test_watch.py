"""Tests of what a daemon concludes from the answers of a group's instances."""

import pytest

from bronzerelay.runtime import Address, Runtime
from bronzerelay.types import EndpointSpec, GroupSpec, Position
from bronzerelay.watch import GroupWatch, InstanceState, Sample
from tests.builders_group import STATUS_WAIT_MS, make_group_spec
from tests.endpoints import NAMES, open_group, wait_until

NOW_MS = 10_000.0


class FixedClock:
    """A clock that stands still."""

    def now_ms(self):
        return NOW_MS


@pytest.fixture
def watch():
    """A watch without tasks; the tests set its states."""
    runtime = Runtime(4)
    runtime.start = lambda *_: None
    runtime.clock = FixedClock()
    endpoints = tuple(
        EndpointSpec(name, Address("127.0.0.1", 1), "a", 1, 1, False) for name in NAMES
    )
    return GroupWatch(runtime, GroupSpec("orders", endpoints, 1000), None, 100)


def set_states(watch, *states):
    watch.states = dict(zip(NAMES, states, strict=True))


def make_state(term, log_term, position, sent_at_ms=NOW_MS, role="replica"):
    return InstanceState(term, role, log_term, position, sent_at_ms, reachable=True)


def test_a_replaced_primary_gathers_no_majority(watch):
    """The primary was replaced after it ran a write, by fencing the other instances.

    These may reach the same position with entries of the new primary. Counting them
    would acknowledge a write that the new log doesn't hold.
    """
    set_states(
        watch,
        make_state(1, 1, 8, role="primary"),
        make_state(2, 2, 9, role="primary"),
        make_state(2, 2, 9),
    )
    assert not watch.is_held_by_majority(Position(1, 8))
    assert watch.is_held_by_majority(Position(2, 9))
    assert watch.primary() == "orders-2"


def test_a_cut_off_primary_proves_no_age(watch):
    """The daemon reaches only a primary that may have been replaced long ago.

    Its position is recent but proves nothing, as writes may run on a new primary. A
    read would return data far older than the caller allowed.
    """
    set_states(
        watch,
        make_state(1, 1, 8, role="primary"),
        make_state(1, 1, 8, sent_at_ms=NOW_MS - 5000),
        make_state(1, 1, 8, sent_at_ms=NOW_MS - 6000),
    )
    watch._samples = (Sample(NOW_MS, 1, 8),)
    assert watch.proven_age_ms("orders-1") == 5000


def test_the_age_counts_from_sending_the_poll_not_from_its_answer(watch):
    """A long poll is sent long before it is answered.

    Writes may have run in between, so only the time of sending proves anything.
    """
    fresh = make_state(1, 1, 9, role="primary")
    set_states(watch, fresh, make_state(1, 1, 8), make_state(1, 1, 9))
    watch._samples = (Sample(NOW_MS - 300, 1, 8), Sample(NOW_MS - 20, 1, 9))
    assert watch.proven_age_ms("orders-2") == 300
    assert watch.proven_age_ms("orders-3") == 20


def test_a_silence_reports_its_reason_and_duration():
    """Guards against logs that don't tell a lost connection from a missing answer."""
    with open_group() as group:
        runtime = group.runtime
        spec = make_group_spec(group)
        watch = GroupWatch(runtime, spec, group.open_endpoint, STATUS_WAIT_MS)
        losses, recovered = [], []
        watch.call_on_silence(losses.append)
        watch.call_on_recovery(recovered.append)
        wait_until(runtime, lambda: watch.count_reachable() == len(NAMES))
        group.admin("orders-2", "freeze")
        wait_until(runtime, lambda: losses)
        group.admin("orders-2", "thaw")
        wait_until(runtime, lambda: recovered)
        watch.stop()
    assert (losses[0].endpoint, recovered[0]) == ("orders-2", "orders-2")
    assert "timed out" in losses[0].reason
    assert losses[0].silent_ms >= STATUS_WAIT_MS
