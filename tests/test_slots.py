"""Tests of the slot queue."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.codes import NOT_RUN, Code
from bronzerelay.slots import BUSY_PERIOD_MS, CREDIT_LIMIT, WINDOW_MS, SlotQueue
from tests.endpoints import open_runtime, wait_until
from tests.fleet import Clock

LONG_MS = 5000
SHORT_MS = 50
HOLD_MS = 10


def take_any(free):
    return free[0]


def prefer(*names):
    return lambda free: next((name for name in names if name in free), None)


class Trial:
    """A queue and the tasks that wait in it; `served` lists them in order of grant."""

    def __init__(self, runtime, slots, workspace_limit=100):
        self.runtime = runtime
        self.queue = SlotQueue(runtime, workspace_limit)
        self.queue.set_endpoints(slots)
        self.served = []
        self.waiting = 0

    def deadline(self, timeout_ms=LONG_MS):
        return self.queue._clock.now_ms() + timeout_ms

    def acquire(self, workspace="a", selector=take_any, timeout_ms=LONG_MS):
        return self.queue.acquire(workspace, selector, self.deadline(timeout_ms))

    def start_waiter(self, workspace, selector=take_any, label=None):
        """Start a task that waits for a slot; return once it waits."""

        def wait():
            result = self.acquire(workspace, selector)
            self.served.append(label or workspace)
            return result

        self.waiting += 1
        future = self.runtime.start(wait)
        wait_until(self.runtime, lambda: self.count() == self.waiting)
        return future

    def count(self):
        return sum(self.queue.count_waiting().values())

    def serve(self, endpoint="x"):
        """Release a slot and return the label of the task that gets it."""
        before = len(self.served)
        self.queue.release(endpoint)
        self.waiting -= 1
        wait_until(self.runtime, lambda: len(self.served) > before)
        return self.served[-1]


class CountingLock:
    """A lock that counts how often it is acquired."""

    def __init__(self, lock):
        self._lock = lock
        self.acquisitions = 0

    def __enter__(self):
        self._lock.acquire()
        self.acquisitions += 1

    def __exit__(self, *_):
        self._lock.release()


@pytest.fixture(name="runtime")
def fixture_runtime():
    with open_runtime() as runtime:
        yield runtime


def test_a_workspace_with_many_waiting_gets_no_more_than_the_others(runtime):
    """One workspace queues several times as many requests as the others. Served first
    come first served, the others' requests would wait behind all of them.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    labels = ["a1", "a2", "a3", "a4", "a5", "b1", "b2", "c1", "c2"]
    for label in labels:
        trial.start_waiter(label[0], label=label)
    served = [trial.serve() for _ in labels]
    assert served == ["a1", "b1", "c1", "a2", "b2", "c2", "a3", "a4", "a5"]


def test_a_waiter_that_can_use_no_free_endpoint_blocks_nobody(runtime):
    """A write waits for the primary, which has no free slot, while a replica has one.
    Reads queued behind the write, of any workspace, must still be served.
    """
    trial = Trial(runtime, {"primary": 1, "replica": 1})
    trial.acquire(selector=prefer("primary"))
    write = trial.start_waiter("a", prefer("primary"), "write")
    assert trial.acquire("a", prefer("replica")).ok == "replica"
    trial.start_waiter("a", prefer("replica"), "own read")
    trial.start_waiter("b", prefer("replica"), "other read")
    served = {trial.serve("replica"), trial.serve("replica")}
    assert served == {"own read", "other read"}
    assert trial.serve("primary") == "write"
    assert write.result().ok == "primary"


def test_idle_endpoints_that_nobody_can_use_add_no_credit(runtime):
    """All workspaces write and wait for the primary, while its replicas are idle. One
    workspace floods. Each check of the idle replicas once counted as a skipped turn,
    so that the flood kept the primary and the others starved.
    """
    trial = Trial(runtime, {"primary": 1, "replica-1": 2, "replica-2": 2})
    trial.acquire(selector=prefer("primary"))
    for _ in range(20):
        trial.start_waiter("flood", prefer("primary"))
    for _ in range(4):
        trial.start_waiter("a", prefer("primary"))
        trial.start_waiter("b", prefer("primary"))
    got = [trial.serve("primary") for _ in range(12)]
    assert got == ["flood", "a", "b"] * 4
    trial.queue.set_endpoints({"primary": 100})


def test_skipped_turns_are_made_up_within_the_credit_limit(runtime):
    """A workspace's turns are skipped while it can use no free endpoint. It makes up
    for a few of them only, so that it can't starve the others after a long wait.
    """
    trial = Trial(runtime, {"x": 1, "y": 1})
    trial.acquire(selector=prefer("x"))
    trial.acquire(selector=prefer("y"))
    for _ in range(8):
        trial.start_waiter("late", prefer("y"))
    for _ in range(20):
        trial.start_waiter("b", prefer("x"))
    for _ in range(10):
        trial.serve("x")
    for _ in range(5):
        trial.start_waiter("b", prefer("y"), "b on y")
    got = [trial.serve("y") for _ in range(CREDIT_LIMIT + 2)]
    assert got == ["late"] * CREDIT_LIMIT + ["b on y", "late"]
    trial.queue.set_endpoints({"x": 100, "y": 100})


def test_wake_calls_the_selectors_again(runtime):
    """A read waits until a replica has caught up with its session. The read must then
    get its slot without waiting for a release.
    """
    trial = Trial(runtime, {"x": 1})
    caught_up = []
    future = trial.start_waiter("a", lambda free: free[0] if caught_up else None)
    caught_up.append(1)
    trial.queue.wake()
    assert future.result().ok == "x"


def test_a_full_queue_refuses_at_once_with_a_retry_time(runtime):
    """A workspace has as many requests queued as allowed. One more is refused at once,
    and requests of other workspaces are still queued.
    """
    trial = Trial(runtime, {"x": 1}, workspace_limit=2)
    trial.acquire()
    trial.start_waiter("a")
    trial.start_waiter("a")
    refusal = trial.acquire("a").error
    assert (refusal.code, refusal.ran) == (Code.QUEUE_FULL, NOT_RUN)
    assert refusal.retry_after_ms > 0
    trial.start_waiter("b")
    assert trial.queue.count_waiting() == {"a": 2, "b": 1}
    for _ in range(3):
        trial.serve()


def test_a_deadline_ends_the_wait_and_removes_the_waiter(runtime):
    """No slot comes free in time. The caller gets a refusal at the deadline, and a slot
    released later goes to a task that still waits.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    refusal = trial.acquire("a", timeout_ms=SHORT_MS).error
    assert (refusal.code, refusal.ran) == (Code.DEADLINE_PASSED, NOT_RUN)
    assert refusal.retry_after_ms > 0
    assert trial.queue.count_waiting() == {}
    trial.start_waiter("b")
    assert trial.serve() == "b"


def test_a_hopeless_deadline_is_refused_without_waiting(runtime):
    """Slots are held for long and many tasks wait. A request that can't be served in
    time must be refused at once, not at its deadline.
    """
    trial = Trial(runtime, {"x": 1})
    for _ in range(3):
        trial.acquire()
        runtime.sleep_ms(SHORT_MS)
        trial.queue.release("x")
    trial.acquire()
    for _ in range(20):
        trial.start_waiter("a")
    selections = []

    def select(free):
        selections.append(free)

    refusal = trial.acquire("a", select, timeout_ms=5).error
    assert refusal.message == "no slot can come free in time"
    assert refusal.retry_after_ms > 5
    assert not selections
    for _ in range(20):
        trial.serve()


def test_a_flood_that_gets_its_turn_too_late_is_refused_at_once(runtime):
    """Guards against callers that wait until their deadline and are refused anyway."""
    trial = Trial(runtime, {"x": 1})
    refusals = []

    def send():
        result = trial.acquire("flood", ("x",), timeout_ms=10 * HOLD_MS)
        if result.is_ok():
            runtime.sleep_ms(HOLD_MS)
            trial.queue.release("x")
        else:
            refusals.append(result.error)

    senders = []
    for _ in range(80):
        senders.append(runtime.start(send))
        runtime.sleep_ms(HOLD_MS / 4)
    for sender in senders:
        sender.result()
    late = [
        refusal
        for refusal in refusals
        if refusal.message == "no slot came free in time"
    ]
    assert len(refusals) > 20
    assert len(late) < 0.5 * len(refusals)
    assert min(refusal.retry_after_ms for refusal in refusals) > 0


def test_a_known_grant_interval_admits_what_can_be_served(runtime):
    """Guards against a known grant interval that refuses callers beside idle slots."""
    trial = Trial(runtime, {"x": 1})
    futures = []
    for _ in range(3):
        trial.acquire("a", ("x",))
        futures += [trial.start_waiter("a", ("x",)) for _ in range(4)]
        for _ in range(4):
            runtime.sleep_ms(HOLD_MS)
            trial.serve("x")
        trial.queue.release("x")
        assert trial.acquire("a", ("x",), timeout_ms=HOLD_MS).ok == "x"
        trial.queue.release("x")
    assert all(future.result().is_ok() for future in futures)


def test_a_slowed_queue_refuses_no_workspace_within_its_fair_share(runtime):
    """Guards against refusals of what fits, because pauses slowed the last grants."""
    clock = Clock()
    trial = Trial(runtime, {"x": 1})
    trial.queue._clock = clock

    def serve(count, hold_ms):
        for _ in range(count):
            clock.time_ms += hold_ms
            trial.serve("x")

    trial.acquire("a", ("x",))
    for _ in range(2 * WINDOW_MS // HOLD_MS):
        trial.start_waiter("b", ("x",))
        trial.start_waiter("a", ("x",))
        serve(2, HOLD_MS / 2)
    for _ in range(12):
        trial.start_waiter("a", ("x",))
        trial.start_waiter("b", ("x",))
    serve(12, 20 * HOLD_MS)
    newcomer = runtime.start(trial.acquire, "a", ("x",), 20 * HOLD_MS)
    wait_until(runtime, lambda: newcomer.done() or trial.count() == trial.waiting + 1)
    serve(12, HOLD_MS)
    trial.queue.release("x")
    assert newcomer.result().is_ok()


def test_a_selector_that_raises_fails_its_own_request_only(runtime):
    """The selector of a queued request raises while another request releases its slot.
    Neither that request nor any other in the queue may fail.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()

    def select(free):
        raise ZeroDivisionError

    broken = runtime.start(trial.acquire, "a", select)
    wait_until(runtime, lambda: trial.count() == 1)
    trial.waiting = 1
    trial.start_waiter("b")
    trial.queue.release("x")
    with pytest.raises(ZeroDivisionError):
        broken.result()
    wait_until(runtime, lambda: trial.served == ["b"])


def test_released_slots_of_a_removed_endpoint_are_not_granted(runtime):
    """An endpoint is removed while requests run on it. The slots that they release must
    not be granted again.
    """
    trial = Trial(runtime, {"x": 1})
    trial.acquire()
    future = trial.start_waiter("a")
    trial.queue.set_endpoints({"y": 1})
    assert future.result().ok == "y"
    trial.queue.release("x")
    assert trial.acquire(timeout_ms=SHORT_MS).error.code == Code.DEADLINE_PASSED
    assert trial.queue.count_used() == {"x": 0, "y": 1}


def test_writes_take_the_lock_twice_however_often_replicas_report(runtime):
    """Guards against a flood that delays the daemon at the lock of its slot queue."""
    waiting = 32
    trial = Trial(runtime, {"primary": 1, "replica": 2})
    lock = trial.queue._lock = CountingLock(trial.queue._lock)
    trial.acquire(selector=("primary",))
    futures = [trial.start_waiter("flood", ("primary",)) for _ in range(waiting)]
    # `count_waiting` has acquired the lock, too.
    lock.acquisitions = 1 + waiting
    for _ in range(waiting):
        trial.queue.wake()
        trial.serve("primary")
    trial.queue.release("primary")
    assert all(future.result().ok == "primary" for future in futures)
    assert lock.acquisitions == 2 * (1 + waiting)


def test_a_busy_endpoint_gets_fewer_requests_for_a_while(runtime):
    """Guards against waiters that are granted slots which others hold."""
    trial = Trial(runtime, {"x": 2})
    for _ in range(2):
        assert trial.acquire().is_ok()
    waiters = [trial.start_waiter("b", ("x",)) for _ in range(2)]
    trial.queue.note_busy("x")
    trial.queue.release("x", was_busy=True)
    assert trial.count() == 2
    trial.serve()
    assert trial.queue.count_used() == {"x": 1}
    runtime.sleep_ms(BUSY_PERIOD_MS)
    newcomer = runtime.start(trial.acquire, "c", ("x",))
    wait_until(runtime, lambda: trial.queue.count_used() == {"x": 2})
    assert all(waiter.result().is_ok() for waiter in waiters)
    trial.queue.release("x")
    assert newcomer.result().is_ok()


def test_a_newcomer_doesnt_overtake_waiters_when_the_busy_limit_grows(runtime):
    """Guards against a slot that comes free with time and goes to who asks next."""
    trial = Trial(runtime, {"x": 2})
    for _ in range(2):
        assert trial.acquire().is_ok()
    waiter = trial.start_waiter("b", ("x",))
    trial.queue.note_busy("x")
    trial.queue.release("x", was_busy=True)
    runtime.sleep_ms(BUSY_PERIOD_MS)
    newcomer = trial.acquire("c", ("x",), SHORT_MS)
    trial.queue.release("x")
    assert waiter.result().is_ok()
    assert not newcomer.is_ok()


def test_the_wait_for_a_busy_endpoint_is_no_hold_time(runtime):
    """Guards against waits that grow with the estimate that they are derived from."""
    trial = Trial(runtime, {"x": 1})
    before_ms = trial.queue.hold_ms
    assert trial.acquire().is_ok()
    runtime.sleep_ms(HOLD_MS)
    trial.queue.note_busy("x")
    trial.queue.release("x", was_busy=True)
    assert trial.queue.hold_ms == before_ms


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
