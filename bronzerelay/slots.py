"""The queue for a group's slots, fair between workspaces."""

# Annotations stay text, so that `expression` is imported by `acquire` alone: the pooler
# takes slots without it.
from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.runtime import Runtime

if TYPE_CHECKING:
    from expression import Result

# What a workspace's turn adds to its credit, and what a slot costs.
QUANTUM = 1
SLOT_COST = 1
# Turns that a workspace may save up while no free endpoint suits its waiters.
CREDIT_LIMIT = 4
# A waiter that refused all free endpoints is asked again after this time at the
# latest, as its choice may depend on the time.
CHOICE_AGE_MS = 5
# The assumed time in a slot before any was measured, and the weight of a new one.
FIRST_HOLD_MS = 5
HOLD_WEIGHT = 0.05
# A measured time counts as at most this many times the estimate. The few timeouts
# of one frozen endpoint would otherwise make all waits look lost for a while, and
# requests that the other endpoints could serve would be turned away.
TIME_GROWTH = 4
TIME_FLOOR_MS = 0.1
# The weight of a new sample of a lane's pace.
PACE_WEIGHT = 0.2
# A deadline is plainly lost when the best case alone is this many times too long.
SURE_FACTOR = 2

# The endpoints that suit a waiter: a fixed list, best first, or a function that gets
# those with a free slot and returns one or None.
Suits = tuple[str, ...] | Callable[[list[str]], str | None]


def name_own_queue(workspace: str) -> str:
    """Return the name of the line in which a workspace waits: one for each."""
    return workspace


class Waiter:
    """A task that waits for a slot; `number` tells who came first."""

    def __init__(self, suits: Suits, number: int, event):
        self.suits = suits
        self.number = number
        self.event = event
        self.endpoint: str | None = None
        self.failure: Exception | None = None
        self.refused: frozenset[str] = frozenset()
        self.refused_version = -1
        self.refused_ms = -math.inf


def pick(suits: Suits, free: list[str]) -> str | None:
    """Return which of the free endpoints is taken, or None."""
    if not callable(suits):
        return next((name for name in suits if name in free), None)
    endpoint = suits(list(free)) if free else None
    return endpoint if endpoint in free else None


def limit_growth(estimate_ms: float) -> float:
    """Return how much a measured time may count at most beside its estimate."""
    return TIME_GROWTH * max(estimate_ms, TIME_FLOOR_MS)


# Waiters in their order; a dict lets one leave from the middle.
Waiters = dict[Waiter, None]


class Lane:
    """Waiters of a line that the same fixed endpoints suit, and their pace."""

    def __init__(self):
        self.waiters: Waiters = {}
        # From one grant to the next, as lately seen; 0 while that isn't known.
        self.pace_ms = 0.0
        self._granted_ms: float | None = None

    def foresee_wait(self) -> float:
        """Return how long a newcomer would wait."""
        return (len(self.waiters) + 1) * self.pace_ms

    def note_grant(self, now_ms: float, hold_ms: float) -> None:
        """Learn the pace from a grant; `hold_ms` is how long a slot is held."""
        if self._granted_ms is not None:
            limit_ms = limit_growth(self.pace_ms) if self.pace_ms else hold_ms
            passed_ms = min(now_ms - self._granted_ms, limit_ms)
            weight = PACE_WEIGHT if self.pace_ms else 1
            self.pace_ms += weight * (passed_ms - self.pace_ms)
        self._granted_ms = now_ms


class Line:
    """A workspace's waiters, first come first, and its credit.

    Of those that the same fixed endpoints suit only the first is looked at when a slot
    comes free. A flood of writes is as quick to look at as a single one.
    """

    def __init__(self):
        self.count = 0
        self.credit = 0
        self.lanes: dict[tuple[str, ...], Lane] = {}
        self.choosing: Waiters = {}

    def join(self, waiter: Waiter) -> None:
        """Add a waiter at the end."""
        self.count += 1
        if callable(waiter.suits):
            self.choosing[waiter] = None
            return
        self.lanes.setdefault(waiter.suits, Lane()).waiters[waiter] = None

    def leave(self, waiter: Waiter) -> bool:
        """Take a waiter out; return whether it was in line still."""
        lane = None if callable(waiter.suits) else self.lanes.get(waiter.suits)
        waiters = self.choosing if lane is None else lane.waiters
        if waiter not in waiters:
            return False
        del waiters[waiter]
        self.count -= 1
        if lane is not None and not waiters:
            del self.lanes[waiter.suits]
        return True

    def note_grant(self, waiter: Waiter, now_ms: float, hold_ms: float) -> None:
        """Note that a waiter gets a slot, just before it leaves."""
        if not callable(waiter.suits):
            self.lanes[waiter.suits].note_grant(now_ms, hold_ms)

    def find_fixed(self, free: list[str]) -> Waiter | None:
        """Return the first waiter with a fixed list that has a free endpoint."""
        firsts = [
            next(iter(lane.waiters))
            for suits, lane in self.lanes.items()
            if pick(suits, free) is not None
        ]
        return min(firsts, key=lambda waiter: waiter.number, default=None)


class SlotQueue:
    """Hands out the slots of a group's endpoints by deficit round robin."""

    def __init__(
        self,
        runtime: Runtime,
        workspace_limit: int,
        name_line: Callable[[str], str] = name_own_queue,
    ):
        self._runtime = runtime
        self._name_line = name_line
        self._clock = runtime.clock
        self._workspace_limit = workspace_limit
        self._lock = runtime.make_lock()
        self._slots: dict[str, int] = {}
        self._granted_ms: dict[str, deque[float]] = {}
        self._lines: dict[str, Line] = {}
        self._ring: deque[str] = deque()
        # The workspace whose turn has begun, so that it gets its quantum once.
        self._turn: str | None = None
        self._hold_ms: float = FIRST_HOLD_MS
        self._version = 0
        self._numbers = itertools.count()
        # Tasks in `acquire_endpoint` whose choice may change with the endpoints' state.
        self._choosing = 0

    def set_endpoints(self, slots: dict[str, int]) -> None:
        """Replace the endpoints; slots held on one that is left out stay held."""
        with self._lock:
            self._slots = dict(slots)
            self._version += 1
            self._hand_out()

    def acquire(
        self, workspace: str, suits: Suits, deadline_ms: float, foresee: bool = True
    ) -> Result[str, Refusal]:
        """Return what `acquire_endpoint` returns, as a result."""
        from expression import Error, Ok

        taken = self.acquire_endpoint(workspace, suits, deadline_ms, foresee)
        return Error(taken) if isinstance(taken, Refusal) else Ok(taken)

    def acquire_endpoint(
        self, workspace: str, suits: Suits, deadline_ms: float, foresee: bool = True
    ) -> str | Refusal:
        """Return the endpoint on which a slot was taken; the caller releases it.

        A function that chooses is called under the queue's lock. `deadline_ms` is a
        point on the clock. With `foresee` a task is refused at once if its turn would
        come too late by the pace of those before it; without, it waits all the same.
        """
        workspace = self._name_line(workspace)
        if foresee:
            refused = self._foresee(workspace, suits, deadline_ms)
            if refused is not None:
                return refused
        with self._lock:
            # Before the choice: who wakes the queue from then on asks again.
            if callable(suits):
                self._choosing += 1
            entered = self._enter(workspace, suits, deadline_ms)
            if not isinstance(entered, Waiter):
                self._forget_choice(suits)
                return entered
        return self._wait(workspace, entered, deadline_ms)

    def _foresee(
        self, workspace: str, suits: Suits, deadline_ms: float
    ) -> Refusal | None:
        """Return a refusal when those in the same lane leave no time.

        It goes without the lock, so that a flood is refused without holding anybody
        up. While somebody is in the lane no endpoint that suits is free.
        """
        line = self._lines.get(workspace)
        lane = None if line is None or callable(suits) else line.lanes.get(suits)
        if lane is None:
            return None
        wait_ms = lane.foresee_wait()
        if line.count >= self._workspace_limit:
            return _refuse_full(line.count, wait_ms)
        if wait_ms > deadline_ms - self._clock.now_ms():
            return _refuse_late("no slot can come free in time", wait_ms)
        return None

    def _wait(
        self, workspace: str, waiter: Waiter, deadline_ms: float
    ) -> str | Refusal:
        left_ms = deadline_ms - self._clock.now_ms()
        # Who was granted a slot has left the line already.
        if not waiter.event.wait(max(0, left_ms) / 1000):
            with self._lock:
                self._leave(workspace, waiter)
        if waiter.failure is not None:
            raise waiter.failure
        if waiter.endpoint is not None:
            return waiter.endpoint
        return _refuse_late("no slot came free in time", self._estimate_wait(workspace))

    @property
    def hold_ms(self) -> float:
        """Return how long a slot is held, as lately measured."""
        return self._hold_ms

    def release(self, endpoint: str) -> None:
        """Give a slot back and hand it to the next waiter that it suits."""
        with self._lock:
            held_ms = self._clock.now_ms() - self._granted_ms[endpoint].popleft()
            held_ms = min(held_ms, limit_growth(self._hold_ms))
            self._hold_ms += HOLD_WEIGHT * (held_ms - self._hold_ms)
            self._hand_out()

    def wake(self) -> None:
        """Ask the waiters again: their choices may have changed."""
        # Each answer of an instance comes here, and each pass of the lock counts.
        if not self._choosing:
            return
        with self._lock:
            self._version += 1
            self._hand_out()

    def count_waiting(self) -> dict[str, int]:
        """Return how many wait, by workspace; those with none are left out."""
        with self._lock:
            return {name: line.count for name, line in self._lines.items()}

    def count_used(self) -> dict[str, int]:
        """Return how many slots are taken, by endpoint."""
        with self._lock:
            return {name: len(taken) for name, taken in self._granted_ms.items()}

    # All below: the lock is held.

    def _list_free(self) -> list[str]:
        return [
            name
            for name, slots in self._slots.items()
            if len(self._granted_ms.get(name, ())) < slots
        ]

    def _occupy(self, endpoint: str) -> None:
        granted = self._granted_ms.setdefault(endpoint, deque())
        granted.append(self._clock.now_ms())

    def _enter(
        self, workspace: str, suits: Suits, deadline_ms: float
    ) -> str | Refusal | Waiter:
        """Return the endpoint taken, why waiting is of no use, or who waits."""
        # Whoever waits has refused every endpoint that is free now, so taking one
        # passes nobody over.
        endpoint = pick(suits, self._list_free())
        if endpoint is not None:
            self._occupy(endpoint)
            return endpoint
        refused = self._turn_away(workspace, deadline_ms)
        if refused is not None:
            return refused
        waiter = Waiter(suits, next(self._numbers), self._runtime.make_event())
        self._join(workspace, waiter)
        return waiter

    def _turn_away(self, workspace: str, deadline_ms: float) -> Refusal | None:
        """Return a refusal when waiting is not allowed or plainly of no use."""
        wait_ms = self._estimate_wait(workspace)
        line = self._lines.get(workspace)
        if line is not None and line.count >= self._workspace_limit:
            return _refuse_full(line.count, wait_ms)
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms <= 0 or wait_ms > SURE_FACTOR * left_ms:
            return _refuse_late("no slot can come free in time", wait_ms)
        return None

    def _estimate_wait(self, workspace: str) -> float:
        """Return the milliseconds until a newcomer's turn, in the best case.

        Each workspace gets one slot a round, so of the others only as many come
        before as the newcomer has of its own workspace before it, and one.
        """
        line = self._lines.get(workspace)
        ahead = line.count if line is not None else 0
        turns = ahead + 1
        for name, other in list(self._lines.items()):
            if name != workspace:
                turns += min(other.count, ahead + 1)
        return turns * self._hold_ms / max(1, sum(self._slots.values()))

    def _join(self, workspace: str, waiter: Waiter) -> None:
        line = self._lines.get(workspace)
        if line is None:
            line = self._lines[workspace] = Line()
            self._ring.append(workspace)
        line.join(waiter)
        self._note_refusal(waiter, frozenset(self._list_free()))

    def _forget_choice(self, suits: Suits) -> None:
        if callable(suits):
            self._choosing -= 1

    def _leave(self, workspace: str, waiter: Waiter) -> None:
        line = self._lines.get(workspace)
        if line is None:
            return
        if line.leave(waiter):
            self._forget_choice(waiter.suits)
        if not line.count:
            # Credit ends with the line: saved up while idle, it would let the
            # workspace pass the others later.
            del self._lines[workspace]
            self._ring.remove(workspace)
            if self._turn == workspace:
                self._turn = None

    def _hand_out(self) -> None:
        free = self._list_free()
        while free and self._ring and self._grant_one(free):
            free = self._list_free()

    def _grant_one(self, free: list[str]) -> bool:
        """Grant a slot to the next workspace in turn that one suits."""
        free_set = frozenset(free)
        for passed, workspace in enumerate(self._ring):
            line = self._lines[workspace]
            waiter = self._find_suited(line, free, free_set)
            if waiter is not None:
                self._pass_turns(passed)
                self._begin_turn(workspace, line)
                self._grant(workspace, line, waiter)
                return True
        return False

    def _pass_turns(self, count: int) -> None:
        """Let the first `count` workspaces, which nothing free suits, make it up later.

        Their turns pass only when somebody else gets a slot. Counted at each look at
        endpoints that suit nobody, as idle replicas do while all wait for the primary,
        turns would be saved up without end: whoever stands first would keep the primary
        for itself, and the others would get nothing at all.
        """
        for workspace in list(self._ring)[:count]:
            line = self._lines[workspace]
            line.credit = min(line.credit + QUANTUM, CREDIT_LIMIT)
        self._ring.rotate(-count)

    def _begin_turn(self, workspace: str, line: Line) -> None:
        if self._turn != workspace:
            self._turn = workspace
            line.credit = min(line.credit + QUANTUM, CREDIT_LIMIT)

    def _end_turn(self) -> None:
        self._ring.rotate(-1)
        self._turn = None

    def _grant(self, workspace: str, line: Line, waiter: Waiter) -> None:
        if waiter.endpoint is not None:
            self._occupy(waiter.endpoint)
            line.note_grant(waiter, self._clock.now_ms(), self._hold_ms)
            line.credit -= SLOT_COST
        if line.credit < SLOT_COST:
            self._end_turn()
        self._leave(workspace, waiter)
        waiter.event.set()

    def _find_suited(
        self, line: Line, free: list[str], free_set: frozenset[str]
    ) -> Waiter | None:
        """Return the first waiter that takes one of the free endpoints."""
        now_ms = self._clock.now_ms()
        fixed = line.find_fixed(free)
        for waiter in line.choosing:
            if fixed is not None and fixed.number < waiter.number:
                break
            if self._has_refused(waiter, free_set, now_ms):
                continue
            try:
                waiter.endpoint = pick(waiter.suits, free)
            except Exception as error:
                # Raised here it would hit the task that releases, and every one
                # after it, while the waiter that caused it never learned of it.
                waiter.failure = error
                return waiter
            if waiter.endpoint is not None:
                return waiter
            self._note_refusal(waiter, free_set)
        if fixed is not None:
            fixed.endpoint = pick(fixed.suits, free)
        return fixed

    def _has_refused(
        self, waiter: Waiter, free_set: frozenset[str], now_ms: float
    ) -> bool:
        return (
            waiter.refused_version == self._version
            and now_ms - waiter.refused_ms < CHOICE_AGE_MS
            and free_set <= waiter.refused
        )

    def _note_refusal(self, waiter: Waiter, free_set: frozenset[str]) -> None:
        waiter.refused = free_set
        waiter.refused_version = self._version
        waiter.refused_ms = self._clock.now_ms()


def _refuse_full(waiting: int, wait_ms: float) -> Refusal:
    message = f"{waiting} requests of the workspace wait already"
    return Refusal(Code.QUEUE_FULL, message, NOT_RUN, math.ceil(wait_ms))


def _refuse_late(message: str, wait_ms: float) -> Refusal:
    return Refusal(Code.DEADLINE_PASSED, message, NOT_RUN, math.ceil(wait_ms))
