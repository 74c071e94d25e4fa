"""Plays requests of several levels through a slot queue, on a clock of its own."""

import heapq
import itertools
from typing import NamedTuple

from bronzerelay.codes import Refusal
from bronzerelay.runtime import Random
from bronzerelay.slots import SlotQueue, Waiter
from tests.fleet import SimulatedRuntime

# A part of the latency objective, as in the pooler.
WAIT_FRACTION = 0.5


class Kind(NamedTuple):
    """A kind of request: its level, how long it holds a slot, and its objective."""

    level: int
    hold_ms: float
    objective_ms: float


URGENT = Kind(0, 5, 150)
USUAL = Kind(1, 15, 250)
LONG = Kind(2, 25, 800)


class Request(NamedTuple):
    """A request that comes at `at_ms` since the beginning."""

    at_ms: float
    workspace: str
    kind: Kind
    endpoints: tuple[str, ...] = ("x",)


class Outcome(NamedTuple):
    """What became of a request: its wait, and why it was refused if it was."""

    request: Request
    waited_ms: float
    refusal: Refusal | None

    @property
    def in_time(self) -> bool:
        """Return whether it was served within its objective."""
        kind = self.request.kind
        took_ms = self.waited_ms + kind.hold_ms
        return self.refusal is None and took_ms <= kind.objective_ms


class Event:
    """An event that is set or not; nobody waits for it."""

    def __init__(self):
        self._is_set = False

    def set(self):
        self._is_set = True

    def is_set(self):
        return self._is_set

    def wait(self, timeout):
        return self._is_set


class QueueRuntime(SimulatedRuntime):
    """A runtime for a slot queue whose tasks don't block."""

    def make_event(self):
        return Event()


def make_queue(slots: dict[str, int], workspace_limit: int = 64, **fields) -> SlotQueue:
    queue = SlotQueue(QueueRuntime(), workspace_limit, **fields)
    queue.set_endpoints(slots)
    return queue


def make_steady(
    workspace: str, kind: Kind, per_s: float, from_ms: float, to_ms: float, seed: int
) -> list[Request]:
    """Return requests that come at random at a mean rate."""
    random = Random(seed)
    requests = []
    at_ms = from_ms
    while True:
        at_ms += 2 * random.random() * 1000 / per_s
        if at_ms >= to_ms:
            return requests
        requests.append(Request(at_ms, workspace, kind))


def make_mix(
    sizes: list[float],
    rates: dict[Kind, float],
    from_ms: float,
    to_ms: float,
    seed: int = 0,
) -> list[Request]:
    """Return requests of several kinds; `sizes` is the part of each workspace."""
    requests = []
    for number, size in enumerate(sizes):
        for kind, per_s in rates.items():
            seed += 1
            requests += make_steady(
                f"w{number}", kind, per_s * size, from_ms, to_ms, seed
            )
    return requests


def select(
    outcomes: list[Outcome], from_ms: float, to_ms: float, kind: Kind | None = None
) -> list[Outcome]:
    """Return the outcomes of the requests of a time, of one kind or of all."""
    return [
        outcome
        for outcome in outcomes
        if from_ms <= outcome.request.at_ms < to_ms
        and kind in (None, outcome.request.kind)
    ]


class Play:
    """The events of a queue in order of time; `outcomes` collects what callers get."""

    def __init__(self, queue: SlotQueue, ignore_levels: bool = False):
        self.queue = queue
        self.clock = queue._clock
        self.outcomes: list[Outcome] = []
        self._ignore_levels = ignore_levels
        self._events: list = []
        self._numbers = itertools.count()
        self._waiting: dict[Waiter, Request] = {}
        self._began_ms = self.clock.now_ms()

    def run(self, requests: list[Request]) -> list[Outcome]:
        """Return the outcomes, in the order in which they were known."""
        for request in requests:
            self._add(self._began_ms + request.at_ms, self._arrive, request)
        while self._events:
            self.clock.time_ms, _, action, argument = heapq.heappop(self._events)
            action(argument)
            for waiter in [each for each in self._waiting if each.event.is_set()]:
                self._finish(self._waiting.pop(waiter), self.queue.end_wait(waiter))
        return self.outcomes

    def _add(self, at_ms, action, argument):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, argument))

    def _arrive(self, request):
        deadline_ms = self.clock.now_ms() + WAIT_FRACTION * request.kind.objective_ms
        level = 0 if self._ignore_levels else request.kind.level
        outcome = self.queue.request(
            request.workspace, request.endpoints, deadline_ms, level=level
        )
        if isinstance(outcome, Waiter):
            self._waiting[outcome] = request
            self._add(deadline_ms, self._expire, outcome)
        else:
            self._finish(request, outcome)

    def _expire(self, waiter):
        request = self._waiting.pop(waiter, None)
        if request is not None:
            self._finish(request, self.queue.end_wait(waiter))

    def _finish(self, request, outcome):
        waited_ms = self.clock.now_ms() - self._began_ms - request.at_ms
        refusal = outcome if isinstance(outcome, Refusal) else None
        self.outcomes.append(Outcome(request, waited_ms, refusal))
        if refusal is None:
            at_ms = self.clock.now_ms() + request.kind.hold_ms
            self._add(at_ms, self.queue.release, outcome)
