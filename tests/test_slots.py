"""Tests of the queue for slots."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.codes import NOT_RUN, Code
from bronzerelay.slots import CREDIT_LIMIT, SlotQueue
from tests.endpoints import open_runtime, wait_until

LONG_MS = 5000
SHORT_MS = 50
HOLD_MS = 10


def take_any(free):
    return free[0]


def prefer(*names):
    return lambda free: next((name for name in names if name in free), None)


class Trial:
    """A queue, and the tasks that wait in it; `served` lists them as they got in."""

    def __init__(self, runtime, slots, workspace_limit=100):
        self.runtime = runtime
        self.queue = SlotQueue(runtime, workspace_limit)
        self.queue.set_endpoints(slots)
        self.served = []
        self.waiting = 0

    def deadline(self, timeout_ms=LONG_MS):
        return self.runtime.clock.now_ms() + timeout_ms

    def acquire(self, workspace="a", choose=take_any, timeout_ms=LONG_MS):
        return self.queue.acquire(workspace, choose, self.deadline(timeout_ms))

    def join(self, workspace, choose=take_any, label=None):
        """Start a task that waits; return once it does."""

        def wait():
            result = self.acquire(workspace, choose)
            self.served.append(label or workspace)
            return result

        self.waiting += 1
        future = self.runtime.start(wait)
        wait_until(self.runtime, lambda: self.count() == self.waiting)
        return future

    def count(self):
        return sum(self.queue.count_waiting().values())

    def serve(self, endpoint="x"):
        """Release a slot and return who got it."""
        before = len(self.served)
        self.queue.release(endpoint)
        self.waiting -= 1
        wait_until(self.runtime, lambda: len(self.served) > before)
        return self.served[-1]


class CountingLock:
    """A lock that counts how often it is taken."""

    def __init__(self, lock):
        self._lock = lock
        self.passes = 0

    def __enter__(self):
        self._lock.acquire()
        self.passes += 1

    def __exit__(self, *_):
        self._lock.release()


@pytest.fixture(name="runtime")
def fixture_runtime():
    with open_runtime() as runtime:
        yield runtime


def test_a_workspace_with_many_waiting_gets_no_more_than_the_others(runtime):
    """One caterer sends five times what the others do before dawn. Served first
    come first, the others' prep lists would wait behind all of it.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    labels = ["a1", "a2", "a3", "a4", "a5", "b1", "b2", "c1", "c2"]
    for label in labels:
        trial.join(label[0], label=label)
    served = [trial.serve() for _ in labels]
    assert served == ["a1", "b1", "c1", "a2", "b2", "c2", "a3", "a4", "a5"]


def test_a_waiter_that_no_free_endpoint_suits_holds_up_nobody(runtime):
    """A write waits for the primary, which is frozen, while replicas are free.
    Reads behind it, of any workspace, must still be served.
    """
    trial = Trial(runtime, {"primary": 1, "replica": 1})
    trial.acquire(choose=prefer("primary"))
    write = trial.join("a", prefer("primary"), "write")
    assert trial.acquire("a", prefer("replica")).ok == "replica"
    trial.join("a", prefer("replica"), "own read")
    trial.join("b", prefer("replica"), "other read")
    served = {trial.serve("replica"), trial.serve("replica")}
    assert served == {"own read", "other read"}
    assert trial.serve("primary") == "write"
    assert write.result().ok == "primary"


def test_idle_endpoints_that_suit_nobody_save_up_no_turns(runtime):
    """All workspaces write, so that they wait for the primary while its replicas are
    idle. One of them floods. Each look at the idle replicas once counted as a missed
    turn, so that the flood kept the primary and the others got nothing.
    """
    trial = Trial(runtime, {"primary": 1, "replica-1": 2, "replica-2": 2})
    trial.acquire(choose=prefer("primary"))
    for _ in range(20):
        trial.join("flood", prefer("primary"))
    for _ in range(4):
        trial.join("a", prefer("primary"))
        trial.join("b", prefer("primary"))
    got = [trial.serve("primary") for _ in range(12)]
    assert got == ["flood", "a", "b"] * 4
    trial.queue.set_endpoints({"primary": 100})


def test_missed_turns_are_made_up_within_bounds(runtime):
    """A workspace's turns pass while nothing free suits it. It catches up by a
    few, and can't lock the others out by having waited long.
    """
    trial = Trial(runtime, {"x": 1, "y": 1})
    trial.acquire(choose=prefer("x"))
    trial.acquire(choose=prefer("y"))
    for _ in range(8):
        trial.join("late", prefer("y"))
    for _ in range(20):
        trial.join("b", prefer("x"))
    for _ in range(10):
        trial.serve("x")
    for _ in range(5):
        trial.join("b", prefer("y"), "b on y")
    got = [trial.serve("y") for _ in range(CREDIT_LIMIT + 2)]
    assert got == ["late"] * CREDIT_LIMIT + ["b on y", "late"]
    trial.queue.set_endpoints({"x": 100, "y": 100})


def test_a_wake_asks_the_waiters_again(runtime):
    """A read waits until a replica has caught up with its session. When it has,
    the read must not wait for somebody to release a slot.
    """
    trial = Trial(runtime, {"x": 1})
    level = []
    future = trial.join("a", lambda free: free[0] if level else None)
    level.append(1)
    trial.queue.wake()
    assert future.result().ok == "x"


def test_a_full_line_is_refused_at_once_with_a_time_to_come_back(runtime):
    """A workspace has as much waiting as it may. One request more is refused
    straight away, and other workspaces still get in line.
    """
    trial = Trial(runtime, {"x": 1}, workspace_limit=2)
    trial.acquire()
    trial.join("a")
    trial.join("a")
    refusal = trial.acquire("a").error
    assert (refusal.code, refusal.ran) == (Code.QUEUE_FULL, NOT_RUN)
    assert refusal.retry_after_ms > 0
    trial.join("b")
    assert trial.queue.count_waiting() == {"a": 2, "b": 1}
    for _ in range(3):
        trial.serve()


def test_a_deadline_ends_the_wait_and_frees_the_place(runtime):
    """No slot comes free in time. The caller gets a final answer at the deadline,
    and a slot that comes free later goes to somebody who still waits.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    refusal = trial.acquire("a", timeout_ms=SHORT_MS).error
    assert (refusal.code, refusal.ran) == (Code.DEADLINE_PASSED, NOT_RUN)
    assert refusal.retry_after_ms > 0
    assert trial.queue.count_waiting() == {}
    trial.join("b")
    assert trial.serve() == "b"


def test_a_deadline_that_is_plainly_lost_is_refused_without_waiting(runtime):
    """Slots are held long and many wait. Who can't be served in time is told so
    at once, instead of after a wait for nothing.
    """
    trial = Trial(runtime, {"x": 1})
    for _ in range(3):
        trial.acquire()
        runtime.sleep_ms(SHORT_MS)
        trial.queue.release("x")
    trial.acquire()
    for _ in range(20):
        trial.join("a")
    asked = []

    def choose(free):
        asked.append(free)

    refusal = trial.acquire("a", choose, timeout_ms=5).error
    assert refusal.message == "no slot can come free in time"
    assert refusal.retry_after_ms > 5
    assert not asked
    for _ in range(20):
        trial.serve()


def test_a_flood_that_gets_its_turn_too_late_is_refused_at_once(runtime):
    """Guards against callers that wait until their deadline for a certain refusal."""
    trial = Trial(runtime, {"x": 1})
    refusals = []

    def send():
        taken = trial.acquire("flood", ("x",), timeout_ms=10 * HOLD_MS)
        if taken.is_ok():
            runtime.sleep_ms(HOLD_MS)
            trial.queue.release("x")
        else:
            refusals.append(taken.error)

    senders = []
    for _ in range(80):
        senders.append(runtime.start(send))
        runtime.sleep_ms(HOLD_MS / 4)
    for sender in senders:
        sender.result()
    late = [one for one in refusals if one.message == "no slot came free in time"]
    assert len(refusals) > 20
    assert len(late) < 0.5 * len(refusals)
    assert min(one.retry_after_ms for one in refusals) > 0


def test_a_lane_with_a_pace_still_lets_in_what_can_be_served(runtime):
    """Guards against a pace that turns callers away beside idle slots."""
    trial = Trial(runtime, {"x": 1})
    futures = []
    for _ in range(3):
        trial.acquire("a", ("x",))
        futures += [trial.join("a", ("x",)) for _ in range(4)]
        for _ in range(4):
            runtime.sleep_ms(HOLD_MS)
            trial.serve("x")
        trial.queue.release("x")
        assert trial.acquire("a", ("x",), timeout_ms=HOLD_MS).ok == "x"
        trial.queue.release("x")
    assert all(future.result().is_ok() for future in futures)


def test_a_choice_that_raises_hits_its_own_request_only(runtime):
    """A fault in the choice for one request shows up while another releases its
    slot. The other must not fail, nor anybody else in line.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()

    def choose(free):
        raise ZeroDivisionError

    broken = runtime.start(trial.acquire, "a", choose)
    wait_until(runtime, lambda: trial.count() == 1)
    trial.waiting = 1
    trial.join("b")
    trial.queue.release("x")
    with pytest.raises(ZeroDivisionError):
        broken.result()
    wait_until(runtime, lambda: trial.served == ["b"])


def test_an_endpoint_that_left_gets_nobody_though_its_slots_come_back(runtime):
    """An operator drains an endpoint while requests run on it. What they release
    must not be handed out again.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    future = trial.join("a")
    trial.queue.set_endpoints({"y": 1})
    assert future.result().ok == "y"
    trial.queue.release("x")
    assert trial.acquire(timeout_ms=SHORT_MS).error.code == Code.DEADLINE_PASSED
    assert trial.queue.count_used() == {"x": 0, "y": 1}


def test_writes_pass_the_lock_twice_however_often_replicas_report(runtime):
    """Guards against a flood that holds up the daemon at the lock of its queue."""
    waiting = 32
    trial = Trial(runtime, {"primary": 1, "replica": 2})
    lock = trial.queue._lock = CountingLock(trial.queue._lock)
    trial.acquire(choose=("primary",))
    futures = [trial.join("flood", ("primary",)) for _ in range(waiting)]
    # Counting the waiters took the lock, too.
    lock.passes = 1 + waiting
    for _ in range(waiting):
        trial.queue.wake()
        trial.serve("primary")
    trial.queue.release("primary")
    assert all(future.result().ok == "primary" for future in futures)
    assert lock.passes == 2 * (1 + waiting)


@settings(derandomize=True, max_examples=10, deadline=None)
@given(
    slots=st.dictionaries(
        st.sampled_from("xyz"), st.integers(1, 3), min_size=1, max_size=3
    ),
    tasks=st.integers(2, 20),
)
def test_slots_are_never_overdrawn_and_none_stays_unused(slots, tasks):
    """Many tasks come and go at once. One slot too many would make the endpoint
    refuse work, and one forgotten would be lost until a restart.
    """
    with open_runtime() as runtime:
        trial = Trial(runtime, slots)
        lock = runtime.make_lock()
        held = dict.fromkeys(slots, 0)
        overdrawn = []

        def work(task):
            for turn in range(15):
                wanted = sorted(slots)[(task + turn) % len(slots)]
                endpoint = trial.acquire(str(task % 4), prefer(wanted)).ok
                with lock:
                    held[endpoint] += 1
                    overdrawn.append(held[endpoint] > slots[endpoint])
                runtime.sleep_ms(0)
                with lock:
                    held[endpoint] -= 1
                trial.queue.release(endpoint)

        for future in [runtime.start(work, task) for task in range(tasks)]:
            future.result()
        assert not any(overdrawn)
        assert set(trial.queue.count_used().values()) <= {0}
        assert trial.queue.count_waiting() == {}
