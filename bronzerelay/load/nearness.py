"""Where reads go when the instances of a service lie in several failure domains.

The load that it answers: a message between failure domains takes longer and costs more
than one inside, but the instance in the own domain may be full. A growing part of the
reads then goes to the other domains, and returns as the near instance has room again.
A domain without an instance spreads its reads over the others by their room.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

# The weight of a new answer time in the moving mean.
MEAN_WEIGHT = 0.2
# The smallest mean of the last one or two windows of this length counts as the mean of
# an instance without load, in milliseconds.
CALM_WINDOW_MS = 10_000
# The time constant with which a mean that no answer has confirmed since returns to that
# of an instance without load, in milliseconds: an instance that gets no reads because
# it was full shows nobody that it has room again.
MEAN_FADE_MS = 1_000
# The time constant with which a reported wait loses its weight, in milliseconds, and
# after how many of them it has none.
PRESSURE_FADE_MS = 1_000
PRESSURE_FADES = 4
# How much longer than another domain's the near instance may take before reads leave
# it, and from when on nearly all do, as fractions of the route's latency objective.
SPILL_FROM = 0.05
SPILL_ALL = 0.5
# A refusal for want of room counts as an answer that took this many times the mean.
REFUSAL_FACTOR = 2
# The largest part of the reads that leaves a near instance; the others show how it is.
MAX_SPILL = 0.9
# The least cost of an instance, in milliseconds; it divides.
MIN_COST_MS = 0.1
# The time constant with which that part follows what is observed, in milliseconds. A
# longer one makes the part swing, as it lags behind the queue that it acts on.
SPILL_SMOOTHING_MS = 100


class AnswerTimes:
    """The answer times of one instance as this daemon sees them, the way included."""

    def __init__(self):
        self._mean_ms: float | None = None
        self._answered_at_ms = 0.0
        # The smallest mean of the current window and of the one before.
        self._calm_ms = math.inf
        self._calm_before_ms = math.inf
        self._window_began_ms = -math.inf

    def record(self, took_ms: float, now_ms: float) -> None:
        """Add the time that an answer took."""
        mean_ms = took_ms
        if self._mean_ms is not None:
            faded_ms = self._find_mean(now_ms)
            mean_ms = faded_ms + MEAN_WEIGHT * (took_ms - faded_ms)
        if now_ms - self._window_began_ms > CALM_WINDOW_MS:
            self._calm_before_ms, self._calm_ms = self._calm_ms, mean_ms
            self._window_began_ms = now_ms
        self._calm_ms = min(self._calm_ms, mean_ms)
        self._answered_at_ms = now_ms
        # Last, as other tasks read without a lock and take None for no answer yet.
        self._mean_ms = mean_ms

    def record_refusal(self, now_ms: float) -> None:
        """Take note that the instance had no room."""
        if self._mean_ms is not None:
            self.record(REFUSAL_FACTOR * self._find_mean(now_ms), now_ms)

    @property
    def calm_ms(self) -> float | None:
        """Return the mean without load, or None before the first answer."""
        if self._mean_ms is None:
            return None
        return min(self._calm_ms, self._calm_before_ms)

    def _find_mean(self, now_ms: float) -> float:
        calm_ms = self.calm_ms
        rest = math.exp(-max(0.0, now_ms - self._answered_at_ms) / MEAN_FADE_MS)
        return calm_ms + (self._mean_ms - calm_ms) * rest

    def estimate(self, pressure_ms: float, now_ms: float) -> float | None:
        """Return the time until an answer, given the reported wait; None if unknown."""
        if self._mean_ms is None:
            return None
        return max(self._find_mean(now_ms), self.calm_ms + pressure_ms)


def fade_pressure(wait_ms: float, age_ms: float) -> float:
    """Return what a wait that was reported some time ago still counts for."""
    if age_ms >= PRESSURE_FADES * PRESSURE_FADE_MS:
        return 0.0
    return wait_ms * math.exp(-max(0.0, age_ms) / PRESSURE_FADE_MS)


class Option(NamedTuple):
    """An instance that may serve a read.

    `expected_ms` is the time until its answer without the statements that this daemon
    has there already, `calm_ms` the same without load; None if unknown. `factor` is a
    weight on them. `slots` are those of the whole instance.
    """

    id: str
    is_near: bool
    is_primary: bool
    expected_ms: float | None
    calm_ms: float | None
    factor: float
    outstanding: int
    slots: int


class Choice(NamedTuple):
    """An option with its cost in milliseconds, which orders the choices."""

    cost_ms: float
    id: str
    slots: int
    is_primary: bool
    is_near: bool


class Spread:
    """Which instance of one service the reads of this daemon go to first."""

    def __init__(self, draw: Callable[[], float]):
        # Draws a number from 0 to 1, so that daemons don't choose in step.
        self._draw = draw
        self.spill = 0.0
        self._updated_ms = -math.inf
        # The part of the next read to another domain that was earned so far.
        self._earned = draw()
        # The turns that instances of other domains were due and didn't get.
        self._turns: dict[str, float] = {}

    def order(
        self, options: list[Option], objective_ms: float, now_ms: float
    ) -> list[str]:
        """Return the ids of all options, the one for the next read first.

        The primary isn't preferred for being near: writes need its slots.
        """
        choices = _find_costs(options)
        near = [one for one in choices if one.is_near and not one.is_primary]
        far = [one for one in choices if not one.is_near or one.is_primary]
        if near and far:
            excess_ms = near[0].cost_ms - far[0].cost_ms
            self._follow(find_spill(excess_ms, objective_ms), now_ms)
        if far and (not near or self._goes_far()):
            first = self._choose_far(far)
            ordered = [first, *near, *(one for one in far if one is not first)]
        else:
            ordered = near + far
        return [choice.id for choice in ordered]

    def _follow(self, target: float, now_ms: float) -> None:
        """Move the part of the reads that leaves towards its target."""
        rest = math.exp(-max(0.0, now_ms - self._updated_ms) / SPILL_SMOOTHING_MS)
        self.spill = target + (self.spill - target) * rest
        self._updated_ms = now_ms

    def _goes_far(self) -> bool:
        self._earned += self.spill
        if self._earned < 1:
            return False
        self._earned -= 1
        return True

    def _choose_far(self, far: list[Choice]) -> Choice:
        """Return a replica whose turn it is, or the primary if that is far better."""
        best = far[0]
        if best.is_primary and best.is_near:
            return best
        if best.is_primary:
            return self._take_turn(far)
        return self._take_turn([choice for choice in far if not choice.is_primary])

    def _take_turn(self, choices: list[Choice]) -> Choice:
        """Return the choice whose turn it is; turns are due by the room of each."""
        rooms = [choice.slots / choice.cost_ms for choice in choices]
        total = sum(rooms)
        for choice, room in zip(choices, rooms, strict=True):
            if choice.id not in self._turns:
                self._turns[choice.id] = self._draw()
            self._turns[choice.id] = min(1.0, self._turns[choice.id] + room / total)
        first = max(choices, key=lambda choice: self._turns[choice.id])
        self._turns[first.id] -= 1
        return first


def find_spill(excess_ms: float, objective_ms: float) -> float:
    """Return which part of the reads is to leave a near instance.

    `excess_ms` is how much longer it takes than the best instance elsewhere.
    """
    ramp_ms = (SPILL_ALL - SPILL_FROM) * objective_ms
    part = (excess_ms - SPILL_FROM * objective_ms) / ramp_ms
    return min(MAX_SPILL, max(0.0, part))


def _find_costs(options: list[Option]) -> list[Choice]:
    """Return the choices, the best first; an unknown one counts as free of load."""
    known = [one.calm_ms for one in options if one.calm_ms is not None]
    assumed_ms = min(known, default=MIN_COST_MS)
    choices = []
    for one in options:
        expected_ms = assumed_ms if one.expected_ms is None else one.expected_ms
        queue = 1 + one.outstanding / max(1, one.slots)
        cost_ms = max(MIN_COST_MS, expected_ms * queue * one.factor)
        choices.append(Choice(cost_ms, one.id, one.slots, one.is_primary, one.is_near))
    return sorted(choices)
