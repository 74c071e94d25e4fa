"""The queue for the slots of a group's endpoints, fair between workspaces."""

# Annotations stay text, so that only `acquire` imports `expression`: the pooler uses
# this queue without that package.
from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.runtime import Runtime

if TYPE_CHECKING:
    from expression import Result

# The deficit round robin: what a turn adds to a workspace's credit, and what a slot
# costs.
QUANTUM = 1
SLOT_COST = 1
# The credit that a workspace can save up while no free endpoint is usable for any of
# its waiters.
CREDIT_LIMIT = 4
# How long it counts that a waiter declined all free endpoints. Its selector is called
# again after that, as the selection may depend on the time.
DECLINE_VALID_MS = 5
# The assumed time for which a slot is held before any is measured, and the weight of a
# new measurement in the moving average.
INITIAL_HOLD_MS = 5
HOLD_WEIGHT = 0.05
# A measured time counts as at most this many times the estimate. Otherwise a few
# timeouts of one frozen endpoint would make all waits look hopeless for a while, and
# requests that the other endpoints could serve would be refused.
SAMPLE_GROWTH_LIMIT = 4
ESTIMATE_FLOOR_MS = 0.1
# The length of a window of service, and how many windows are kept. They have to reach
# back to before a disturbance.
WINDOW_MS = 1000
WINDOW_COUNT = 5
# The weight of a new sample in the average interval between two grants.
INTERVAL_WEIGHT = 0.2
# After an endpoint has answered that it is busy, others hold some of its slots. This
# daemon then grants fewer; their number doubles each time this period has passed.
BUSY_PERIOD_MS = 100
# After so many doublings the limit counts as grown beyond any endpoint's slots.
MAX_DOUBLINGS = 20
# Waiting is hopeless when even the best-case wait is this many times the time left.
HOPELESS_FACTOR = 2

# Selects an endpoint: a fixed list of endpoints, best first, or a function that gets
# the endpoints with a free slot and returns one of them or None.
Selector = tuple[str, ...] | Callable[[list[str]], str | None]


def name_own_queue(workspace: str) -> str:
    """Return the name of the queue in which a workspace waits: one for each."""
    return workspace


class Waiter:
    """A task that waits for a slot; the lower its `number`, the earlier it came.

    `declined` holds the endpoints that were free when it last declined all of them.
    """

    def __init__(self, selector: Selector, number: int, event):
        self.selector = selector
        self.number = number
        self.event = event
        self.endpoint: str | None = None
        self.failure: Exception | None = None
        self.declined: frozenset[str] = frozenset()
        self.declined_version = -1
        self.declined_at_ms = -math.inf


def select_endpoint(selector: Selector, free: list[str]) -> str | None:
    """Return the free endpoint that the selector selects, or None."""
    if not callable(selector):
        return next((name for name in selector if name in free), None)
    endpoint = selector(list(free)) if free else None
    return endpoint if endpoint in free else None


def limit_sample(estimate_ms: float) -> float:
    """Return the most that one measured time may count, given the estimate."""
    return SAMPLE_GROWTH_LIMIT * max(estimate_ms, ESTIMATE_FLOOR_MS)


# Waiters in order of arrival; a dict, as any of them may be removed.
Waiters = dict[Waiter, None]


class BusyLimit(NamedTuple):
    """How many slots of an endpoint are granted at most, from `since_ms` on."""

    slots: int
    since_ms: float

    def at(self, now_ms: float) -> float:
        """Return the limit at a later time; it grows until it limits nothing."""
        doublings = (now_ms - self.since_ms) // BUSY_PERIOD_MS
        return self.slots * 2.0 ** min(doublings, MAX_DOUBLINGS)


class Service(NamedTuple):
    """How long slots were held on average, and how many workspaces got one."""

    hold_ms: float
    workspaces: int


class RecentService:
    """The service of the last windows in which slots were released.

    `best` has the shortest hold of a window and the most workspaces of one; it is None
    while no window has ended. After a long time without use the windows are dropped.
    """

    def __init__(self):
        self.best: Service | None = None
        self._windows: deque[Service] = deque(maxlen=WINDOW_COUNT)
        self._restart(-math.inf)

    def _restart(self, now_ms: float) -> None:
        self._began_ms = now_ms
        self._holds = 0
        self._held_ms = 0.0
        self._workspaces: set[str] = set()

    def record_grant(self, workspace: str, now_ms: float) -> None:
        """Record that a workspace was granted a slot."""
        self._advance(now_ms)
        self._workspaces.add(workspace)

    def record_hold(self, held_ms: float, now_ms: float) -> None:
        """Record how long a slot was held that is released now."""
        self._advance(now_ms)
        self._holds += 1
        self._held_ms += held_ms

    def _advance(self, now_ms: float) -> None:
        """End the window if it is over."""
        age_ms = now_ms - self._began_ms
        if age_ms < WINDOW_MS:
            return
        if age_ms > WINDOW_COUNT * WINDOW_MS:
            self._windows.clear()
        elif self._holds:
            hold_ms = self._held_ms / self._holds
            self._windows.append(Service(hold_ms, len(self._workspaces)))
        self._restart(now_ms)
        self.best = self._find_best()

    def _find_best(self) -> Service | None:
        if not self._windows:
            return None
        return Service(
            min(window.hold_ms for window in self._windows),
            max(window.workspaces for window in self._windows),
        )


class EndpointQueue:
    """The waiters of one workspace for one fixed list of endpoints."""

    def __init__(self):
        self.waiters: Waiters = {}
        # The average time between two grants; 0 while it isn't known.
        self.interval_ms = 0.0
        self._last_grant_ms: float | None = None

    def estimate_wait(self) -> float:
        """Return how many milliseconds a new waiter would wait."""
        return (len(self.waiters) + 1) * self.interval_ms

    def record_grant(self, now_ms: float, hold_ms: float) -> None:
        """Update the interval; `hold_ms` is how long a slot is held on average."""
        if self._last_grant_ms is not None:
            limit_ms = limit_sample(self.interval_ms) if self.interval_ms else hold_ms
            sample_ms = min(now_ms - self._last_grant_ms, limit_ms)
            weight = INTERVAL_WEIGHT if self.interval_ms else 1
            self.interval_ms += weight * (sample_ms - self.interval_ms)
        self._last_grant_ms = now_ms


class WorkspaceQueue:
    """The waiters of one workspace, first come first served, and its credit.

    Waiters with the same fixed list of endpoints share a subqueue, of which only the
    first is considered when a slot comes free: a flood of writes takes no longer to
    handle than a single one. `dynamic_waiters` are those with a selector function.
    """

    def __init__(self):
        self.count = 0
        self.credit = 0
        self.subqueues: dict[tuple[str, ...], EndpointQueue] = {}
        self.dynamic_waiters: Waiters = {}

    def enqueue(self, waiter: Waiter) -> None:
        """Append a waiter."""
        self.count += 1
        if callable(waiter.selector):
            self.dynamic_waiters[waiter] = None
            return
        self.subqueues.setdefault(waiter.selector, EndpointQueue()).waiters[waiter] = (
            None
        )

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was still queued."""
        subqueue = (
            None if callable(waiter.selector) else self.subqueues.get(waiter.selector)
        )
        waiters = self.dynamic_waiters if subqueue is None else subqueue.waiters
        if waiter not in waiters:
            return False
        del waiters[waiter]
        self.count -= 1
        if subqueue is not None and not waiters:
            del self.subqueues[waiter.selector]
        return True

    def record_grant(self, waiter: Waiter, now_ms: float, hold_ms: float) -> None:
        """Record that a waiter gets a slot; called just before its removal."""
        if not callable(waiter.selector):
            self.subqueues[waiter.selector].record_grant(now_ms, hold_ms)

    def find_first_fixed(self, free: list[str]) -> Waiter | None:
        """Return the first waiter whose fixed list contains a free endpoint."""
        firsts = [
            next(iter(subqueue.waiters))
            for selector, subqueue in self.subqueues.items()
            if select_endpoint(selector, free) is not None
        ]
        return min(firsts, key=lambda waiter: waiter.number, default=None)


class SlotQueue:
    """Grants the slots of a group's endpoints by deficit round robin.

    `name_queue` maps a workspace to the name of the queue in which it waits.
    """

    def __init__(
        self,
        runtime: Runtime,
        workspace_limit: int,
        name_queue: Callable[[str], str] = name_own_queue,
    ):
        self._runtime = runtime
        self._name_queue = name_queue
        self._clock = runtime.clock
        self._workspace_limit = workspace_limit
        self._lock = runtime.make_lock()
        self._slots: dict[str, int] = {}
        self._grant_times_ms: dict[str, deque[float]] = {}
        self._busy_limits: dict[str, BusyLimit] = {}
        # The slots held by requests that were refused as busy and are sent again.
        self._refused_counts: dict[str, int] = {}
        self._queues: dict[str, WorkspaceQueue] = {}
        self._ring: deque[str] = deque()
        # The workspace whose turn it is; it has got its quantum for this turn.
        self._turn: str | None = None
        self._hold_ms: float = INITIAL_HOLD_MS
        self._recent = RecentService()
        # Increased when waiters that have declined all free endpoints may decide anew.
        self._version = 0
        self._numbers = itertools.count()
        # Tasks in `acquire_endpoint` with a selector function, whose result may change
        # with the endpoints' state.
        self._dynamic_count = 0

    def set_endpoints(self, slots: dict[str, int]) -> None:
        """Replace the endpoints; slots held on a removed endpoint stay held."""
        with self._lock:
            self._slots = dict(slots)
            for endpoint in set(self._busy_limits) - set(slots):
                del self._busy_limits[endpoint]
            self._version += 1
            self._grant_slots()

    def acquire(
        self,
        workspace: str,
        selector: Selector,
        deadline_ms: float,
        refuse_early: bool = True,
    ) -> Result[str, Refusal]:
        """Do what `acquire_endpoint` does, but return a `Result`."""
        from expression import Error, Ok

        outcome = self.acquire_endpoint(workspace, selector, deadline_ms, refuse_early)
        return Error(outcome) if isinstance(outcome, Refusal) else Ok(outcome)

    def acquire_endpoint(
        self,
        workspace: str,
        selector: Selector,
        deadline_ms: float,
        refuse_early: bool = True,
    ) -> str | Refusal:
        """Acquire a slot and return its endpoint; the caller has to release the slot.

        A selector function is called under the queue's lock. `deadline_ms` is a point
        on the clock. With `refuse_early` a task is refused at once if, at the present
        rate of grants, its turn would come after the deadline; without it, it waits.
        """
        workspace = self._name_queue(workspace)
        if refuse_early:
            refusal = self._refuse_early(workspace, selector, deadline_ms)
            if refusal is not None:
                return refusal
        with self._lock:
            # Counted before the first selection, so that a `wake` from now on has the
            # selector called again.
            if callable(selector):
                self._dynamic_count += 1
            outcome = self._grant_or_enqueue(workspace, selector, deadline_ms)
            if not isinstance(outcome, Waiter):
                self._uncount_dynamic(selector)
                return outcome
        return self._wait(workspace, outcome, deadline_ms)

    def _refuse_early(
        self, workspace: str, selector: Selector, deadline_ms: float
    ) -> Refusal | None:
        """Return a refusal if the waiters for the same endpoints leave no time.

        It takes no lock, so that refusing a flood delays nobody else. While the
        subqueue has waiters, none of its endpoints is free.
        """
        queue = self._queues.get(workspace)
        subqueue = (
            None
            if queue is None or callable(selector)
            else queue.subqueues.get(selector)
        )
        if subqueue is None:
            return None
        wait_ms = subqueue.estimate_wait()
        if queue.count >= self._workspace_limit:
            return _refuse_full(queue.count, wait_ms)
        left_ms = deadline_ms - self._clock.now_ms()
        if wait_ms > left_ms and not self._has_fair_turn(subqueue, selector, left_ms):
            return _refuse_deadline("no slot can come free in time", wait_ms)
        return None

    def _has_fair_turn(
        self, subqueue: EndpointQueue, selector: tuple[str, ...], left_ms: float
    ) -> bool:
        """Return whether its fair share could give a new waiter a slot in time.

        Each workspace gets a slot in each round. The endpoints count as being as fast
        as in the best of the last windows: after a short disturbance, such as a pause
        of this daemon, the intervals between grants stay long for a while.
        """
        best = self._recent.best or Service(self._hold_ms, 1)
        workspaces = max(len(self._queues), best.workspaces)
        turns = (len(subqueue.waiters) + 1) * workspaces
        slots = sum(self._slots.get(name, 0) for name in selector)
        return turns * best.hold_ms <= left_ms * max(1, slots)

    def _wait(
        self, workspace: str, waiter: Waiter, deadline_ms: float
    ) -> str | Refusal:
        left_ms = deadline_ms - self._clock.now_ms()
        # A waiter that was granted a slot has been removed from the queue already.
        if not waiter.event.wait(max(0, left_ms) / 1000):
            with self._lock:
                self._remove(workspace, waiter)
        if waiter.failure is not None:
            raise waiter.failure
        if waiter.endpoint is not None:
            return waiter.endpoint
        return _refuse_deadline(
            "no slot came free in time", self._estimate_wait(workspace)
        )

    @property
    def hold_ms(self) -> float:
        """Return how long a slot is held, as a moving average."""
        return self._hold_ms

    def release(self, endpoint: str, was_busy: bool = False) -> None:
        """Release a slot and grant it to the next waiter that can use it.

        With `was_busy` the endpoint had none free at first: the time that it was held
        tells nothing about how long a request takes.
        """
        with self._lock:
            held_ms = self._clock.now_ms() - self._grant_times_ms[endpoint].popleft()
            if was_busy:
                self._refused_counts[endpoint] -= 1
            else:
                self._recent.record_hold(held_ms, self._clock.now_ms())
                held_ms = min(held_ms, limit_sample(self._hold_ms))
                self._hold_ms += HOLD_WEIGHT * (held_ms - self._hold_ms)
            self._grant_slots()

    def note_busy(self, endpoint: str) -> None:
        """Grant fewer slots of an endpoint that refused a request in a slot as busy.

        Otherwise all waiters would get the slot in turn, and be refused one by one,
        while others hold it. The caller still holds the slot of the refused request. It
        calls this once, and releases the slot with `was_busy`.
        """
        with self._lock:
            refused = self._refused_counts.get(endpoint, 0) + 1
            self._refused_counts[endpoint] = refused
            running = len(self._grant_times_ms.get(endpoint, ())) - refused
            limit = BusyLimit(max(1, running), self._clock.now_ms())
            self._busy_limits[endpoint] = limit

    def wake(self) -> None:
        """Call the selectors again, as their results may have changed."""
        # Called for each answer of an instance, so the lock is avoided if possible.
        if not self._dynamic_count:
            return
        with self._lock:
            self._version += 1
            self._grant_slots()

    def count_waiting(self) -> dict[str, int]:
        """Return how many tasks wait, by workspace; those with none are left out."""
        with self._lock:
            return {name: queue.count for name, queue in self._queues.items()}

    def describe(self, workspace: str) -> dict[str, Any]:
        """Return what decides about a workspace's waiters, for the log."""
        with self._lock:
            queue = self._queues.get(self._name_queue(workspace)) or WorkspaceQueue()
            return {
                "waiting": queue.count,
                "waiting_in_all": sum(other.count for other in self._queues.values()),
                "in_use": sum(len(times) for times in self._grant_times_ms.values()),
                "hold_ms": round(self._hold_ms, 1),
                "grant_intervals_ms": [
                    round(subqueue.interval_ms, 1)
                    for subqueue in queue.subqueues.values()
                ],
            }

    def count_used(self) -> dict[str, int]:
        """Return how many slots are in use, by endpoint."""
        with self._lock:
            return {name: len(times) for name, times in self._grant_times_ms.items()}

    def estimate_endpoint_wait(self, endpoint: str) -> float:
        """Return how many milliseconds a new waiter for one endpoint would wait."""
        with self._lock:
            slots = self._slots.get(endpoint, 0)
            if self._is_free(endpoint, slots):
                return 0.0
            waiting = sum(
                len(subqueue.waiters)
                for queue in self._queues.values()
                for selector, subqueue in queue.subqueues.items()
                if endpoint in selector
            )
            return (waiting + 1) * self._hold_ms / max(1, slots)

    # The methods below require that the lock is held.

    def _list_free(self) -> list[str]:
        return [
            name for name, slots in self._slots.items() if self._is_free(name, slots)
        ]

    def _is_free(self, endpoint: str, slots: int) -> bool:
        """Return whether a slot of the endpoint may be granted now."""
        used = len(self._grant_times_ms.get(endpoint, ()))
        busy_limit = self._busy_limits.get(endpoint)
        if used >= slots or busy_limit is None:
            return used < slots
        limit = busy_limit.at(self._clock.now_ms())
        if limit >= slots:
            del self._busy_limits[endpoint]
        return used - self._refused_counts.get(endpoint, 0) < limit

    def _occupy(self, workspace: str, endpoint: str) -> None:
        now_ms = self._clock.now_ms()
        self._grant_times_ms.setdefault(endpoint, deque()).append(now_ms)
        self._recent.record_grant(workspace, now_ms)

    def _grant_or_enqueue(
        self, workspace: str, selector: Selector, deadline_ms: float
    ) -> str | Refusal | Waiter:
        """Return the endpoint granted, a refusal, or the queued waiter."""
        if self._busy_limits:
            # A slot may have come free as time passed, which wakes nobody.
            self._grant_slots()
        # All queued waiters have declined every endpoint that is free now, so granting
        # one here overtakes nobody.
        endpoint = select_endpoint(selector, self._list_free())
        if endpoint is not None:
            self._occupy(workspace, endpoint)
            return endpoint
        refusal = self._refuse_wait(workspace, deadline_ms)
        if refusal is not None:
            return refusal
        waiter = Waiter(selector, next(self._numbers), self._runtime.make_event())
        self._enqueue(workspace, waiter)
        return waiter

    def _refuse_wait(self, workspace: str, deadline_ms: float) -> Refusal | None:
        """Return a refusal if the queue is full or waiting is hopeless."""
        wait_ms = self._estimate_wait(workspace)
        queue = self._queues.get(workspace)
        if queue is not None and queue.count >= self._workspace_limit:
            return _refuse_full(queue.count, wait_ms)
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0 or wait_ms > HOPELESS_FACTOR * left_ms:
            return _refuse_deadline("no slot can come free in time", wait_ms)
        return None

    def _estimate_wait(self, workspace: str) -> float:
        """Return the milliseconds until a new waiter's turn, in the best case.

        Each workspace gets one slot per round. With n waiters of its own workspace
        ahead of it, a new waiter waits for at most n + 1 waiters of each other one.
        """
        queue = self._queues.get(workspace)
        ahead = queue.count if queue is not None else 0
        turns = ahead + 1
        for name, other in list(self._queues.items()):
            if name != workspace:
                turns += min(other.count, ahead + 1)
        return turns * self._hold_ms / max(1, sum(self._slots.values()))

    def _enqueue(self, workspace: str, waiter: Waiter) -> None:
        queue = self._queues.get(workspace)
        if queue is None:
            queue = self._queues[workspace] = WorkspaceQueue()
            self._ring.append(workspace)
        queue.enqueue(waiter)
        self._record_declined(waiter, frozenset(self._list_free()))

    def _uncount_dynamic(self, selector: Selector) -> None:
        if callable(selector):
            self._dynamic_count -= 1

    def _remove(self, workspace: str, waiter: Waiter) -> None:
        queue = self._queues.get(workspace)
        if queue is None:
            return
        if queue.remove(waiter):
            self._uncount_dynamic(waiter.selector)
        if not queue.count:
            # Credit is dropped with the queue. Kept while idle, it would let the
            # workspace overtake the others later.
            del self._queues[workspace]
            self._ring.remove(workspace)
            if self._turn == workspace:
                self._turn = None

    def _grant_slots(self) -> None:
        free = self._list_free()
        while free and self._ring and self._grant_next(free):
            free = self._list_free()

    def _grant_next(self, free: list[str]) -> bool:
        """Grant a slot to the next workspace in turn that can use one."""
        free_set = frozenset(free)
        for skipped, workspace in enumerate(self._ring):
            queue = self._queues[workspace]
            waiter = self._find_grantable(queue, free, free_set)
            if waiter is not None:
                self._skip_turns(skipped)
                self._begin_turn(workspace, queue)
                self._grant(workspace, queue, waiter)
                return True
        return False

    def _skip_turns(self, count: int) -> None:
        """Skip the first `count` workspaces, which can use no free endpoint.

        They keep the credit for the skipped turn. It is given only when somebody else
        gets a slot. Given at each check of endpoints that nobody can use, such as idle
        replicas while everybody waits for the primary, credit would always be at its
        limit: the first workspace would keep the primary, and the others would starve.
        """
        for workspace in list(self._ring)[:count]:
            queue = self._queues[workspace]
            queue.credit = min(queue.credit + QUANTUM, CREDIT_LIMIT)
        self._ring.rotate(-count)

    def _begin_turn(self, workspace: str, queue: WorkspaceQueue) -> None:
        if self._turn != workspace:
            self._turn = workspace
            queue.credit = min(queue.credit + QUANTUM, CREDIT_LIMIT)

    def _end_turn(self) -> None:
        self._ring.rotate(-1)
        self._turn = None

    def _grant(self, workspace: str, queue: WorkspaceQueue, waiter: Waiter) -> None:
        if waiter.endpoint is not None:
            self._occupy(workspace, waiter.endpoint)
            queue.record_grant(waiter, self._clock.now_ms(), self._hold_ms)
            queue.credit -= SLOT_COST
        if queue.credit < SLOT_COST:
            self._end_turn()
        self._remove(workspace, waiter)
        waiter.event.set()

    def _find_grantable(
        self, queue: WorkspaceQueue, free: list[str], free_set: frozenset[str]
    ) -> Waiter | None:
        """Return the first waiter that can use a free endpoint."""
        now_ms = self._clock.now_ms()
        fixed = queue.find_first_fixed(free)
        for waiter in queue.dynamic_waiters:
            if fixed is not None and fixed.number < waiter.number:
                break
            if self._has_declined(waiter, free_set, now_ms):
                continue
            try:
                waiter.endpoint = select_endpoint(waiter.selector, free)
            except Exception as error:
                # Raised in the waiter's own task. Raised here, it would fail the task
                # that releases a slot and every later one, but not the faulty waiter.
                waiter.failure = error
                return waiter
            if waiter.endpoint is not None:
                return waiter
            self._record_declined(waiter, free_set)
        if fixed is not None:
            fixed.endpoint = select_endpoint(fixed.selector, free)
        return fixed

    def _has_declined(
        self, waiter: Waiter, free_set: frozenset[str], now_ms: float
    ) -> bool:
        return (
            waiter.declined_version == self._version
            and now_ms - waiter.declined_at_ms < DECLINE_VALID_MS
            and free_set <= waiter.declined
        )

    def _record_declined(self, waiter: Waiter, free_set: frozenset[str]) -> None:
        waiter.declined = free_set
        waiter.declined_version = self._version
        waiter.declined_at_ms = self._clock.now_ms()


def _refuse_full(waiting: int, wait_ms: float) -> Refusal:
    message = f"{waiting} requests of the workspace wait already"
    return Refusal(Code.QUEUE_FULL, message, NOT_RUN, math.ceil(wait_ms))


def _refuse_deadline(message: str, wait_ms: float) -> Refusal:
    return Refusal(Code.DEADLINE_PASSED, message, NOT_RUN, math.ceil(wait_ms))
