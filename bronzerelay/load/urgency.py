"""Decides whose turn a free slot is where requests differ in urgency.

The load: more requests than slots for seconds at a time. Most of them are of the least
urgent and longest kind, a burst of the most urgent kind follows, and some workspaces
send several times what they usually send. Level 0 is the most urgent level.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# While less urgent levels wait, one of so many grants is theirs.
LESS_URGENT_PERIOD = 10
LESS_URGENT_SHARE = 1 / LESS_URGENT_PERIOD
# How many grants a workspace may be ahead of the one that is furthest behind. Until
# then its urgent requests go before less urgent ones of other workspaces.
LEAD_LIMIT = 8
# How many grants a waiting workspace may fall behind and still make up for. It has to
# be less than LEAD_LIMIT, so that a workspace that has just arrived isn't barred.
LAG_LIMIT = 4

# The weight of a new measurement in a workspace's pace, and how long a measurement is
# used, in milliseconds. After that a request may wait, which measures the pace anew.
PACE_WEIGHT = 0.2
PACE_VALID_MS = 1000
# A measurement counts as at most this many times the pace: a pause of this process
# mustn't make waiting look hopeless.
PACE_GROWTH_LIMIT = 4

# The workspaces with a waiter that can use a free slot, by level; no list is empty.
Waiting = Mapping[int, list[str]]


class Turn(NamedTuple):
    """The level whose turn it is, and the workspaces that are too far ahead.

    `lowest` is the position of the workspace that is furthest behind.
    """

    level: int
    barred: frozenset[str]
    lowest: int


class Precedence:
    """Whose turn it is: the most urgent level's, within each workspace's fair share.

    A workspace's position is the number of grants that it has had while others waited.
    Each grant goes to a workspace that is at most LEAD_LIMIT grants ahead of the one
    furthest behind, whatever the levels of its requests.
    """

    def __init__(self):
        self._positions: dict[str, int] = {}
        # The highest position that was the lowest of all waiting workspaces. Those that
        # start to wait begin there: what they left unused earlier isn't made up for.
        self._start = 0
        # How many grants went to other levels since a less urgent level's last one.
        self._passed_over: dict[int, int] = {}

    def enter(self, workspace: str) -> None:
        """Record that a workspace without waiters has got one."""
        self._positions[workspace] = max(
            self._start, self._positions.get(workspace, self._start)
        )

    def leave(self, workspace: str) -> None:
        """Record that a workspace has no waiters left; its lead stays known."""
        if self._positions.get(workspace, self._start) <= self._start:
            self._positions.pop(workspace, None)

    def clear_level(self, level: int) -> None:
        """Record that nobody waits in a level: its share isn't saved up."""
        self._passed_over.pop(level, None)

    def find_turn(self, waiting: Waiting) -> Turn:
        """Return whose turn it is; some workspace of that level isn't barred."""
        find, start = self._positions.get, self._start
        names = set().union(*waiting.values())
        positions = {name: find(name, start) for name in names}
        lowest = max(min(positions.values()), start - LAG_LIMIT)
        limit = lowest + LEAD_LIMIT
        barred = frozenset(name for name, at in positions.items() if at > limit)
        for level in self._order_levels(waiting):
            if not barred or not barred.issuperset(waiting[level]):
                return Turn(level, barred, lowest)
        raise AssertionError("the workspace furthest behind is never barred")

    def record_grant(self, waiting: Waiting, turn: Turn, workspace: str) -> None:
        """Record that a workspace got a slot in this turn."""
        known = self._positions.get(workspace, self._start)
        self._positions[workspace] = max(known, self._start - LAG_LIMIT) + 1
        self._start = max(self._start, turn.lowest)
        most_urgent = min(waiting)
        for other in waiting:
            if other not in (turn.level, most_urgent):
                self._passed_over[other] = self._passed_over.get(other, 0) + 1
        self._passed_over.pop(turn.level, None)

    def _order_levels(self, waiting: Waiting) -> list[int]:
        """Return the levels, those that were passed over for long enough first."""
        levels = sorted(waiting)
        less_urgent = levels[1:]
        enough = LESS_URGENT_PERIOD * len(less_urgent) - 1
        due = [
            level for level in less_urgent if self._passed_over.get(level, 0) >= enough
        ]
        due.sort(key=lambda level: -self._passed_over[level])
        return due + [level for level in levels if level not in due]


class Pace:
    """How many wait in a queue, and how long it lately took until the next had a slot.

    The queue is that of a workspace's requests of one level for the same endpoints. Its
    pace includes what more urgent requests and other workspaces got in between.
    """

    def __init__(self):
        self.waiting = 0
        self._interval_ms = 0.0
        self._measured_at_ms = -math.inf
        self._since_ms = 0.0

    def add(self, now_ms: float) -> None:
        """Record that a waiter came."""
        if not self.waiting:
            self._since_ms = now_ms
        self.waiting += 1

    def remove(self) -> None:
        """Record that a waiter left."""
        self.waiting -= 1

    def record_grant(self, now_ms: float) -> None:
        """Record that a waiter got a slot."""
        self._record(now_ms)
        self._since_ms = now_ms

    def record_failure(self, now_ms: float) -> None:
        """Record that a waiter got none in time."""
        if now_ms - self._since_ms > self._interval_ms:
            self._record(now_ms)

    def _record(self, now_ms: float) -> None:
        sample_ms = now_ms - self._since_ms
        if now_ms - self._measured_at_ms > PACE_VALID_MS:
            self._interval_ms = sample_ms
        else:
            limit_ms = PACE_GROWTH_LIMIT * max(self._interval_ms, 1)
            change_ms = min(sample_ms, limit_ms) - self._interval_ms
            self._interval_ms += PACE_WEIGHT * change_ms
        self._measured_at_ms = now_ms

    def estimate_wait(self, now_ms: float) -> float:
        """Return how long a new waiter would wait; 0 if nothing was measured lately."""
        if now_ms - self._measured_at_ms > PACE_VALID_MS:
            return 0.0
        return (self.waiting + 1) * self._interval_ms


def find_displaced(
    waiting: Mapping[int, Mapping[str, int]], level: int
) -> tuple[int, str] | None:
    """Return the level and workspace whose last waiter makes room for a new one.

    `waiting` holds the number of waiters by level and workspace. It is the workspace
    with the most waiters in the least urgent level; None if nobody who waits is less
    urgent than `level`.
    """
    least_urgent = max(waiting, default=level)
    if least_urgent <= level:
        return None
    counts = waiting[least_urgent]
    return least_urgent, max(counts, key=lambda name: (counts[name], name))


def count_turns(own: int, others: Iterable[tuple[int, int]]) -> int:
    """Return how many grants it takes, at least, until a new waiter has its turn.

    `own` is how many waiters of its workspace are as urgent or more urgent; `others`
    holds for each other workspace how many are more urgent, and how many as urgent.
    """
    limit = own + 1 + LEAD_LIMIT
    return (
        own
        + 1
        + sum(
            min(more_urgent + min(as_urgent, own + 1), limit)
            for more_urgent, as_urgent in others
        )
    )


def find_return_ms(level: int, ahead: int, interval_ms: float) -> float:
    """Return when a refused caller may return, in milliseconds.

    `ahead` is how many waiters are as urgent or more urgent, and `interval_ms` the time
    between two grants. Callers of a more urgent level may return earlier.
    """
    return (ahead + 1 + level) * interval_ms
