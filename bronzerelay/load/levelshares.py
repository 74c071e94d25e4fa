"""Decides which operations of a workspace have its tokens while it is beyond its rate.

The load: callers of a workspace ask for several times its rate, at all daemons, for
urgent and less urgent operations alike. The daemons together may admit a fraction of
them; each admits that fraction of its own, the more urgent first. Level 0 is the most
urgent level.
"""

import math
from collections.abc import Mapping

# The part of what a less urgent level would get without levels that it keeps.
KEPT_SHARE = 0.1
# The others leave the tokens that more urgent operations ask for in this time, in
# milliseconds: that long it takes until all daemons know what was spent.
RESERVE_MS = 300
# The part of a workspace's burst that may be held back at the most.
RESERVE_LIMIT = 0.5
# The time constant with which the demand of a level decays, in milliseconds.
LEVEL_WINDOW_MS = 2000


def divide_fraction(fraction: float, demands: Mapping[int, float]) -> dict[int, float]:
    """Return the fraction of the operations of each level that is admitted.

    `fraction` is that of all operations. The sum over the levels is the same as if it
    held for each level, so that the limit of the workspace doesn't change.
    """
    fraction = min(1.0, max(0.0, fraction))
    kept = dict.fromkeys(demands, KEPT_SHARE * fraction)
    left = (1 - KEPT_SHARE) * fraction * sum(demands.values())
    for level in sorted(demands):
        if demands[level] > 0:
            added = min(1 - kept[level], left / demands[level])
            kept[level] += added
            left -= added * demands[level]
    return kept


class LevelShares:
    """The demand of one workspace at this daemon by level, and what is due to each."""

    def __init__(self, credit: float):
        self._first_credit = credit
        # Accumulates the fractions of operations while only a fraction is admitted.
        self._credits: dict[int, float] = {}
        self._demands: dict[int, float] = {}
        self._at_ms = 0.0

    def record(self, level: int, now_ms: float) -> None:
        """Record that an operation of a level was asked for."""
        decay = math.exp((self._at_ms - now_ms) / LEVEL_WINDOW_MS)
        self._at_ms = now_ms
        for known in self._demands:
            self._demands[known] *= decay
        self._demands[level] = self._demands.get(level, 0.0) + 1

    def find_reserve(self, level: int, asked_per_s: float, burst: float) -> float:
        """Return how many tokens are held back for more urgent operations.

        `asked_per_s` is how many operations the whole fleet is asked for in a second.
        """
        total = sum(self._demands.values())
        more_urgent = sum(
            demand for other, demand in self._demands.items() if other < level
        )
        if not more_urgent:
            return 0.0
        reserve = asked_per_s * RESERVE_MS / 1000 * more_urgent / total
        return min(reserve, RESERVE_LIMIT * burst)

    def find_part(self, level: int) -> float:
        """Return which part of the operations is as urgent or more urgent."""
        as_urgent = sum(
            demand for other, demand in self._demands.items() if other <= level
        )
        return as_urgent / sum(self._demands.values())

    def admit(self, level: int, fraction: float, has_reserve: bool) -> bool:
        """Return whether to admit the operation just recorded.

        `fraction` of all operations may be admitted. Without a reserve for more urgent
        ones, a level gets no more than it keeps in any case.
        """
        fractions = divide_fraction(fraction, self._demands)
        share = fractions[level] if has_reserve else KEPT_SHARE * min(1.0, fraction)
        credit = self._credits.get(level, self._first_credit) + max(0.0, share)
        is_due = credit >= 1
        self._credits[level] = credit - is_due
        return is_due
