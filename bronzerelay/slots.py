"""The queue for the slots of a group's endpoints, fair between workspaces.

Requests may differ in urgency: level 0 is the most urgent. Without other levels the
workspaces take turns; with them `bronzerelay.load.urgency` decides whose turn it is.
"""

# Annotations stay text, so that only `acquire` imports `expression`: the pooler uses
# this queue without that package.
from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.load.urgency import (
    Pace,
    Precedence,
    count_turns,
    find_displaced,
    find_return_ms,
)
from bronzerelay.runtime import Runtime
from bronzerelay.slotwaiters import (
    EndpointQueue,
    Endpoints,
    Selector,
    Waiter,
    WorkspaceQueue,
    limit_sample,
    list_endpoints,
    select_endpoint,
)

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
# The length of a window of service, and how many windows are kept. They have to reach
# back to before a disturbance.
WINDOW_MS = 1000
WINDOW_COUNT = 5
# After an endpoint has answered that it is busy, others hold some of its slots. This
# daemon then grants fewer; their number doubles each time this period has passed.
BUSY_PERIOD_MS = 100
# After so many doublings the limit counts as grown beyond any endpoint's slots.
MAX_DOUBLINGS = 20
# Waits for a slot below this are not counted as waits, in milliseconds.
COUNTED_WAIT_MS = 1.0
# Waiting is hopeless when even the best-case wait is this many times the time left.
HOPELESS_FACTOR = 2

# The paces kept at each level. Beyond it those without waiters are dropped.
PACE_LIMIT = 2000
# The ring of a queue without levels passes over nobody.
NOBODY: frozenset[str] = frozenset()


def name_own_queue(workspace: str) -> str:
    """Return the name of the queue in which a workspace waits: one for each."""
    return workspace


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


class Ring:
    """The queues of the workspaces that have waiters of one level, in turn."""

    def __init__(self):
        self.queues: dict[str, WorkspaceQueue] = {}
        self.order: deque[str] = deque()
        # The workspace whose turn it is; it has got its quantum for this turn.
        self.turn: str | None = None
        # The number of waiters for each fixed list, and of those with a function.
        self.counts: dict[tuple[str, ...], int] = {}
        self.dynamic_count = 0
        self._paces: dict[tuple[str, Endpoints], Pace] = {}

    def count(self, workspace: str) -> int:
        """Return how many waiters a workspace has here."""
        queue = self.queues.get(workspace)
        return 0 if queue is None else queue.count

    def skip_turns(self, count: int, barred: frozenset[str]) -> None:
        """Skip the first `count` workspaces, which can use no free endpoint.

        They keep the credit for the skipped turn, but for the barred ones, which had
        more than their share. It is given only when somebody else gets a slot. Given
        at each check of endpoints that nobody can use, such as idle replicas while
        everybody waits for the primary, credit would always be at its limit: the first
        workspace would keep the primary, and the others would starve.
        """
        for workspace in list(self.order)[:count]:
            if workspace not in barred:
                queue = self.queues[workspace]
                queue.credit = min(queue.credit + QUANTUM, CREDIT_LIMIT)
        self.order.rotate(-count)

    def begin_turn(self, workspace: str, queue: WorkspaceQueue) -> None:
        """Give a workspace its quantum unless its turn has begun already."""
        if self.turn != workspace:
            self.turn = workspace
            queue.credit = min(queue.credit + QUANTUM, CREDIT_LIMIT)

    def end_turn(self) -> None:
        """End the turn of the first workspace."""
        self.order.rotate(-1)
        self.turn = None

    def enqueue(self, waiter: Waiter, now_ms: float) -> None:
        """Append a waiter to its workspace's queue."""
        queue = self.queues.get(waiter.workspace)
        if queue is None:
            queue = self.queues[waiter.workspace] = WorkspaceQueue()
            self.order.append(waiter.workspace)
        queue.enqueue(waiter)
        self._count(waiter.selector, 1)
        self._keep_pace(waiter).add(now_ms)

    def record_grant(self, waiter: Waiter, now_ms: float) -> None:
        """Record that a waiter gets a slot; called just before its removal."""
        self._keep_pace(waiter).record_grant(now_ms)

    def record_failure(self, waiter: Waiter, now_ms: float) -> None:
        """Record that a waiter gets none in time; called just before its removal."""
        self._keep_pace(waiter).record_failure(now_ms)

    def _count(self, selector: Selector, change: int) -> None:
        if callable(selector):
            self.dynamic_count += change
            return
        count = self.counts.get(selector, 0) + change
        if count:
            self.counts[selector] = count
        else:
            del self.counts[selector]

    def find_pace(self, workspace: str, selector: Selector) -> Pace | None:
        """Return the pace of a workspace's waiters for the same endpoints, if known."""
        return self._paces.get((workspace, list_endpoints(selector)))

    def _keep_pace(self, waiter: Waiter) -> Pace:
        key = (waiter.workspace, list_endpoints(waiter.selector))
        if key not in self._paces and len(self._paces) >= PACE_LIMIT:
            self._paces = {
                known: pace for known, pace in self._paces.items() if pace.waiting
            }
        return self._paces.setdefault(key, Pace())

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was still queued."""
        workspace = waiter.workspace
        queue = self.queues.get(workspace)
        if queue is None or not queue.remove(waiter):
            return False
        self._count(waiter.selector, -1)
        self._keep_pace(waiter).remove()
        if not queue.count:
            # Credit is dropped with the queue. Kept while idle, it would let the
            # workspace overtake the others later.
            del self.queues[workspace]
            self.order.remove(workspace)
            if self.turn == workspace:
                self.turn = None
        return True


class SlotQueue:
    """Grants the slots of a group's endpoints by deficit round robin.

    `name_queue` maps a workspace to the name of the queue in which it waits. A
    workspace may have `workspace_limit` waiters. Where requests differ in urgency, all
    together may have `total_limit`, and a more urgent request displaces a waiter.
    """

    def __init__(
        self,
        runtime: Runtime,
        workspace_limit: int,
        name_queue: Callable[[str], str] = name_own_queue,
        total_limit: float = math.inf,
    ):
        self._runtime = runtime
        self._name_queue = name_queue
        self._clock = runtime.clock
        self._workspace_limit = workspace_limit
        self._total_limit = total_limit
        self._lock = runtime.make_lock()
        self._slots: dict[str, int] = {}
        self._grant_times_ms: dict[str, deque[float]] = {}
        self._busy_limits: dict[str, BusyLimit] = {}
        # The slots held by requests that were refused as busy and are sent again.
        self._refused_counts: dict[str, int] = {}
        # The rings by level; all but the first are made when they are needed.
        self._rings: dict[int, Ring] = {0: Ring()}
        # The number of waiters by workspace, over all levels.
        self._counts: dict[str, int] = {}
        # None until a request of another level than 0 comes.
        self._precedence: Precedence | None = None
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
        level: int = 0,
    ) -> str | Refusal:
        """Acquire a slot and return its endpoint; the caller has to release the slot.

        A selector function is called under the queue's lock. `deadline_ms` is a point
        on the clock. With `refuse_early` a task is refused at once if, at the present
        rate of grants, its turn would come after the deadline; without it, it waits.
        """
        outcome = self.request(workspace, selector, deadline_ms, refuse_early, level)
        if not isinstance(outcome, Waiter):
            return outcome
        left_ms = deadline_ms - self._clock.now_ms()
        outcome.event.wait(max(0, left_ms) / 1000)
        return self.end_wait(outcome)

    def request(
        self,
        workspace: str,
        selector: Selector,
        deadline_ms: float,
        refuse_early: bool = True,
        level: int = 0,
    ) -> str | Refusal | Waiter:
        """Do what `acquire_endpoint` does, but return the waiter instead of waiting.

        The caller waits for its event and then calls `end_wait`.
        """
        workspace = self._name_queue(workspace)
        if refuse_early:
            refusal = self._refuse_early(workspace, selector, deadline_ms, level)
            if refusal is not None:
                return refusal
        with self._lock:
            # Counted before the first selection, so that a `wake` from now on has the
            # selector called again.
            if callable(selector):
                self._dynamic_count += 1
            outcome = self._grant_or_enqueue(workspace, selector, deadline_ms, level)
            if not isinstance(outcome, Waiter):
                self._uncount_dynamic(selector)
        return outcome

    def _refuse_early(
        self, workspace: str, selector: Selector, deadline_ms: float, level: int
    ) -> Refusal | None:
        """Return a refusal if the waiters for the same endpoints leave no time.

        It takes no lock, so that refusing a flood delays nobody else. While the
        subqueue has waiters, none of its endpoints is free.
        """
        if self._precedence is not None:
            return self._refuse_for_pace(workspace, selector, deadline_ms, level)
        queue = self._rings[0].queues.get(workspace)
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

    def _refuse_for_pace(
        self, workspace: str, selector: Selector, deadline_ms: float, level: int
    ) -> Refusal | None:
        """Return a refusal if its waiters for the same endpoints leave no time."""
        ring = self._rings.get(level)
        if ring is None or callable(selector):
            return None
        pace = ring.find_pace(workspace, selector)
        if pace is None or not pace.waiting:
            return None
        now_ms = self._clock.now_ms()
        if pace.estimate_wait(now_ms) <= deadline_ms - now_ms:
            return None
        wait_ms = self._find_return(workspace, selector, level)
        return _refuse_deadline("no slot can come free in time", wait_ms)

    def _has_fair_turn(
        self, subqueue: EndpointQueue, selector: tuple[str, ...], left_ms: float
    ) -> bool:
        """Return whether its fair share could give a new waiter a slot in time.

        Each workspace gets a slot in each round. The endpoints count as being as fast
        as in the best of the last windows: after a short disturbance, such as a pause
        of this daemon, the intervals between grants stay long for a while.
        """
        best = self._recent.best or Service(self._hold_ms, 1)
        workspaces = max(len(self._counts), best.workspaces)
        turns = (len(subqueue.waiters) + 1) * workspaces
        slots = sum(self._slots.get(name, 0) for name in selector)
        return turns * best.hold_ms <= left_ms * max(1, slots)

    def end_wait(self, waiter: Waiter) -> str | Refusal:
        """Return the endpoint that a waiter was granted, or why it gets none.

        Raise what its selector raised.
        """
        # A waiter that was granted a slot has been removed from the queue already.
        if not waiter.event.is_set():
            with self._lock:
                self._give_up(waiter)
        if waiter.failure is not None:
            raise waiter.failure
        if waiter.endpoint is not None:
            return waiter.endpoint
        if waiter.displaced is not None:
            return waiter.displaced
        wait_ms = self._find_return(waiter.workspace, waiter.selector, waiter.level)
        return _refuse_deadline("no slot came free in time", wait_ms)

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
            return dict(self._counts)

    def count_ahead(self, level: int) -> int:
        """Return how many tasks wait that are as urgent as `level` or more urgent."""
        return sum(
            queue.count
            for other, ring in list(self._rings.items())
            if other <= level
            for queue in list(ring.queues.values())
        )

    def estimate_wait_ms(self, level: int) -> float:
        """Return how long a new request of a level would wait for any endpoint.

        It is 0 while a slot is free.
        """
        with self._lock:
            if self._list_free():
                return 0.0
            return (self.count_ahead(level) + 1) * self._find_interval()

    def _find_interval(self) -> float:
        """Return the average time between two grants, in milliseconds."""
        return self._hold_ms / max(1, sum(self._slots.values()))

    def describe(self, workspace: str) -> dict[str, Any]:
        """Return what decides about a workspace's waiters, for the log."""
        with self._lock:
            workspace = self._name_queue(workspace)
            queues = [
                ring.queues[workspace]
                for ring in self._rings.values()
                if workspace in ring.queues
            ]
            return {
                "waiting": self._counts.get(workspace, 0),
                "waiting_in_all": sum(self._counts.values()),
                "in_use": sum(len(times) for times in self._grant_times_ms.values()),
                "hold_ms": round(self._hold_ms, 1),
                "grant_intervals_ms": [
                    round(subqueue.interval_ms, 1)
                    for queue in queues
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
                for ring in self._rings.values()
                for queue in ring.queues.values()
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
        self, workspace: str, selector: Selector, deadline_ms: float, level: int
    ) -> str | Refusal | Waiter:
        """Return the endpoint granted, a refusal, or the queued waiter."""
        if level not in self._rings:
            self._rings[level] = Ring()
        if level and self._precedence is None:
            self._precedence = Precedence()
        if self._busy_limits:
            # A slot may have come free as time passed, which wakes nobody.
            self._grant_slots()
        # All queued waiters have declined every endpoint that is free now, so granting
        # one here overtakes nobody.
        endpoint = select_endpoint(selector, self._list_free())
        if endpoint is not None:
            self._occupy(workspace, endpoint)
            return endpoint
        refusal = self._refuse_wait(workspace, selector, deadline_ms, level)
        if refusal is not None:
            return refusal
        number, event = next(self._numbers), self._runtime.make_event()
        waiter = Waiter(workspace, selector, level, number, event)
        self._enqueue(waiter)
        return waiter

    def _refuse_wait(
        self, workspace: str, selector: Selector, deadline_ms: float, level: int
    ) -> Refusal | None:
        """Return a refusal if the queue is full or waiting is hopeless."""
        displaced = self._find_displaced(workspace, level)
        if displaced is None and self._is_full(workspace):
            wait_ms = self._find_return(workspace, selector, level)
            return _refuse_full(self._counts.get(workspace, 0), wait_ms)
        wait_ms = self._estimate_wait(workspace, level)
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0 or wait_ms > HOPELESS_FACTOR * left_ms:
            wait_ms = self._find_return(workspace, selector, level)
            return _refuse_deadline("no slot can come free in time", wait_ms)
        if displaced is not None:
            self._displace(displaced)
        return None

    def _is_full(self, workspace: str) -> bool:
        if self._counts.get(workspace, 0) >= self._workspace_limit:
            return True
        return self._precedence is not None and self._is_full_in_all()

    def _is_full_in_all(self) -> bool:
        return sum(self._counts.values()) >= self._total_limit

    def _find_displaced(self, workspace: str, level: int) -> Waiter | None:
        """Return the waiter that has to make room for a more urgent one, if any."""
        if self._precedence is None:
            return None
        if self._counts.get(workspace, 0) >= self._workspace_limit:
            counts = {
                other: {workspace: ring.count(workspace)}
                for other, ring in self._rings.items()
                if workspace in ring.queues
            }
        elif self._is_full_in_all():
            counts = {
                other: {name: queue.count for name, queue in ring.queues.items()}
                for other, ring in self._rings.items()
                if ring.queues
            }
        else:
            return None
        found = find_displaced(counts, level)
        if found is None:
            return None
        return self._rings[found[0]].queues[found[1]].find_last()

    def _displace(self, waiter: Waiter) -> None:
        """Remove a waiter and refuse its request."""
        self._remove(waiter)
        wait_ms = self._find_return(waiter.workspace, waiter.selector, waiter.level)
        waiter.displaced = _refuse_displaced(wait_ms)
        waiter.event.set()

    def _find_return(self, workspace: str, selector: Selector, level: int) -> float:
        """Return after how many milliseconds a refused caller may return.

        With levels it depends on the level and on how many wait, so that the callers of
        a workspace return in the order of their urgency.
        """
        wait_ms = self._estimate_wait(workspace, level)
        if self._precedence is None:
            return wait_ms
        now_ms = self._clock.now_ms()
        for other, ring in list(self._rings.items()):
            pace = ring.find_pace(workspace, selector)
            if other <= level and pace is not None:
                wait_ms = max(wait_ms, pace.estimate_wait(now_ms))
        ahead = self.count_ahead(level)
        return max(wait_ms, find_return_ms(level, ahead, self._find_interval()))

    def _estimate_wait(self, workspace: str, level: int) -> float:
        """Return the milliseconds until a new waiter's turn, in the best case.

        Each workspace gets one slot per round. With n waiters of its own workspace
        ahead of it, a new waiter waits for at most n + 1 waiters of each other one, and
        for a few more that are more urgent.
        """
        if self._precedence is None:
            turns = self._count_turns(workspace)
        else:
            turns = self._count_turns_of_levels(workspace, level)
        return turns * self._find_interval()

    def _count_turns(self, workspace: str) -> int:
        ahead = self._counts.get(workspace, 0)
        turns = ahead + 1
        for name, count in list(self._counts.items()):
            if name != workspace:
                turns += min(count, ahead + 1)
        return turns

    def _count_turns_of_levels(self, workspace: str, level: int) -> int:
        rings = list(self._rings.items())
        more_urgent: dict[str, int] = {}
        for other_level, ring in rings:
            if other_level < level:
                for name, queue in list(ring.queues.items()):
                    more_urgent[name] = more_urgent.get(name, 0) + queue.count
        as_urgent = {
            name: queue.count for name, queue in list(self._rings[level].queues.items())
        }
        own = more_urgent.pop(workspace, 0) + as_urgent.pop(workspace, 0)
        others = [
            (more_urgent.get(name, 0), as_urgent.get(name, 0))
            for name in more_urgent.keys() | as_urgent.keys()
        ]
        return count_turns(own, others)

    def _enqueue(self, waiter: Waiter) -> None:
        workspace = waiter.workspace
        count = self._counts.get(workspace, 0)
        if not count and self._precedence is not None:
            self._precedence.enter(workspace)
        self._counts[workspace] = count + 1
        self._rings[waiter.level].enqueue(waiter, self._clock.now_ms())
        self._record_declined(waiter, frozenset(self._list_free()))

    def _uncount_dynamic(self, selector: Selector) -> None:
        if callable(selector):
            self._dynamic_count -= 1

    def _remove(self, waiter: Waiter) -> None:
        ring = self._rings[waiter.level]
        if not ring.remove(waiter):
            return
        self._uncount_dynamic(waiter.selector)
        self._counts[waiter.workspace] -= 1
        if not self._counts[waiter.workspace]:
            del self._counts[waiter.workspace]
            if self._precedence is not None:
                self._precedence.leave(waiter.workspace)
        if not ring.queues and self._precedence is not None:
            self._precedence.clear_level(waiter.level)

    def _give_up(self, waiter: Waiter) -> None:
        """Remove a waiter that got no slot in time, unless it has got one now."""
        if not waiter.event.is_set():
            self._rings[waiter.level].record_failure(waiter, self._clock.now_ms())
            self._remove(waiter)

    def _grant_slots(self) -> None:
        free = self._list_free()
        while free and self._counts and self._grant_next(free):
            free = self._list_free()

    def _grant_next(self, free: list[str]) -> bool:
        """Grant a slot to the next waiter; return False if none can use one."""
        if self._precedence is None:
            return self._grant_in_turn(self._rings[0], free, NOBODY) is not None
        while waiting := self._list_usable(free):
            turn = self._precedence.find_turn(waiting)
            ring = self._rings[turn.level]
            waiter = self._grant_in_turn(ring, free, turn.barred)
            if waiter is not None:
                if waiter.endpoint is not None:
                    self._precedence.record_grant(waiting, turn, waiter.workspace)
                return True
        return False

    def _list_usable(self, free: list[str]) -> dict[int, list[str]]:
        """Return the workspaces with a waiter that can use a free endpoint, by level.

        A waiter with a selector function counts until it has declined what is free.
        """
        free_set = frozenset(free)
        now_ms = self._clock.now_ms()
        usable = {}
        for level, ring in self._rings.items():
            names = self._list_usable_of(ring, free_set, now_ms)
            if names:
                usable[level] = names
        return usable

    def _list_usable_of(
        self, ring: Ring, free_set: frozenset[str], now_ms: float
    ) -> list[str]:
        # In most cases all fixed lists are usable or none is, and no queue needs to be
        # looked at.
        fixed = [not free_set.isdisjoint(each) for each in ring.counts]
        if not ring.dynamic_count and (all(fixed) or not any(fixed)):
            return list(ring.queues) if any(fixed) else []
        return [
            name
            for name, queue in ring.queues.items()
            if self._is_usable(queue, free_set, now_ms)
        ]

    def _is_usable(
        self, queue: WorkspaceQueue, free_set: frozenset[str], now_ms: float
    ) -> bool:
        for selector in queue.subqueues:
            if not free_set.isdisjoint(selector):
                return True
        return any(
            not self._has_declined(waiter, free_set, now_ms)
            for waiter in queue.dynamic_waiters
        )

    def _grant_in_turn(
        self, ring: Ring, free: list[str], barred: frozenset[str]
    ) -> Waiter | None:
        """Grant a slot to the next workspace of a ring that can use one."""
        free_set = frozenset(free)
        for skipped, workspace in enumerate(ring.order):
            if workspace in barred:
                continue
            queue = ring.queues[workspace]
            waiter = self._find_grantable(queue, free, free_set)
            if waiter is not None:
                ring.skip_turns(skipped, barred)
                ring.begin_turn(workspace, queue)
                self._grant(ring, queue, waiter)
                return waiter
        return None

    def _grant(self, ring: Ring, queue: WorkspaceQueue, waiter: Waiter) -> None:
        if waiter.endpoint is not None:
            self._occupy(waiter.workspace, waiter.endpoint)
            now_ms = self._clock.now_ms()
            queue.record_grant(waiter, now_ms, self._hold_ms)
            ring.record_grant(waiter, now_ms)
            queue.credit -= SLOT_COST
        if queue.credit < SLOT_COST:
            ring.end_turn()
        self._remove(waiter)
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


def _refuse_displaced(wait_ms: float) -> Refusal:
    message = "a more urgent request took the place in the queue"
    return Refusal(Code.QUEUE_FULL, message, NOT_RUN, math.ceil(wait_ms))


def _refuse_deadline(message: str, wait_ms: float) -> Refusal:
    return Refusal(Code.DEADLINE_PASSED, message, NOT_RUN, math.ceil(wait_ms))
