"""The requests of a workspace that wait for slots, and where they may run."""

import math
from collections.abc import Callable

from bronzerelay.codes import Refusal

# A measured time counts as at most this many times the estimate. Otherwise a few
# timeouts of one frozen endpoint would make all waits look hopeless for a while, and
# requests that the other endpoints could serve would be refused.
SAMPLE_GROWTH_LIMIT = 4
ESTIMATE_FLOOR_MS = 0.1
# The weight of a new sample in the average interval between two grants.
INTERVAL_WEIGHT = 0.2

# Selects an endpoint: a fixed list of endpoints, best first, or a function that gets
# the endpoints with a free slot and returns one of them or None.
Selector = tuple[str, ...] | Callable[[list[str]], str | None]
# The endpoints that a fixed list names, in any order; empty for a selector function.
Endpoints = frozenset[str]


def list_endpoints(selector: Selector) -> Endpoints:
    """Return the endpoints of a fixed list."""
    return frozenset() if callable(selector) else frozenset(selector)


class Waiter:
    """A task that waits for a slot; the lower its `number`, the earlier it came.

    `declined` holds the endpoints that were free when it last declined all of them.
    """

    def __init__(
        self, workspace: str, selector: Selector, level: int, number: int, event
    ):
        self.workspace = workspace
        self.selector = selector
        self.level = level
        self.number = number
        self.event = event
        self.endpoint: str | None = None
        self.failure: Exception | None = None
        # Why it was removed from the queue to make room for a more urgent one.
        self.displaced: Refusal | None = None
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

    def find_last(self) -> Waiter:
        """Return the waiter that came last; the queue mustn't be empty."""
        queues = [subqueue.waiters for subqueue in self.subqueues.values()]
        lasts = [next(reversed(waiters)) for waiters in queues]
        lasts += list(self.dynamic_waiters)[-1:]
        return max(lasts, key=lambda waiter: waiter.number)
