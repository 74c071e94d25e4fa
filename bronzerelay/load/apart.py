"""Divides a workspace's bucket when daemons fall silent in a network partition.

It answers the load of a cut: callers go on asking on both sides, each of which has the
whole bucket until it notices. A side then gets the bucket that it would have, had the
tokens been divided at the last news of the silent daemons.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

# How long one entry of a history lasts, in milliseconds.
ENTRY_MS = 100.0
# How far back a history reaches, in milliseconds: longer than daemons need, also behind
# relays, to notice that others are silent.
HISTORY_MS = 2_000.0
# How long daemons spend the same tokens before they notice, in milliseconds.
NOTICE_MS = 1_000.0


class Limit(NamedTuple):
    """A rate (operations a second) and a burst (operations) for a part of all daemons.

    `fraction` of both belongs to this part.
    """

    rate: float
    burst: float
    fraction: float

    def earn(self, tokens: float, elapsed_ms: float) -> float:
        """Return the tokens after a time; more than may be saved are lost."""
        earned = tokens + self.rate * self.fraction * elapsed_ms / 1000
        return min(self.find_capacity(), earned)

    def find_capacity(self) -> float:
        """Return the most tokens saved, with which an operation can be admitted."""
        return max(self.burst * self.fraction, min(1.0, self.burst))


class Loss(NamedTuple):
    """Operations that daemons, silent now, reported at `at_ms`."""

    at_ms: float
    admitted: float
    requested: float


class Division(NamedTuple):
    """A divided bucket: its tokens now, and those of all daemons at the last news."""

    tokens: float
    saved: float


class Apart(NamedTuple):
    """Since when a bucket is divided, this side's fraction, and the tokens then."""

    since_ms: float
    fraction: float
    saved: float

    def find_share_elsewhere(self, rate: float, now_ms: float) -> float:
        """Return how many operations were due to the other sides until now."""
        earned = rate * (now_ms - self.since_ms) / 1000
        return (1 - self.fraction) * (self.saved + earned)


def find_joint_debt(tokens: float, limit: Limit, added: float) -> float:
    """Return the tokens once more daemons are heard whose own debts aren't known.

    They are taken to owe as much as these for each `added` fraction, and at most their
    fraction of what one side may spend until it notices.
    """
    if tokens >= 0:
        return tokens
    most = limit.burst + limit.rate * NOTICE_MS / 1000
    return tokens + max(tokens / limit.fraction, -most) * added


class Entry:
    """The tokens and fraction at a time, and the operations admitted from then on."""

    def __init__(self, start_ms: float, tokens: float, fraction: float):
        self.start_ms = start_ms
        self.tokens = tokens
        self.fraction = fraction
        self.spent = 0.0


class History:
    """The recent past of one bucket: only the times at which it was spent from."""

    def __init__(self):
        self._entries: deque[Entry] = deque()

    def record(
        self, now_ms: float, tokens: float, fraction: float, spent: float
    ) -> None:
        """Add operations admitted now; `tokens` is what was there before them."""
        entries = self._entries
        while entries and entries[0].start_ms < now_ms - HISTORY_MS:
            entries.popleft()
        if not entries or entries[-1].start_ms <= now_ms - ENTRY_MS:
            entries.append(Entry(now_ms, tokens, fraction))
        entries[-1].spent += spent

    def divide(
        self,
        tokens: float,
        limit: Limit,
        previous_fraction: float,
        since_ms: float,
        now_ms: float,
        losses: Iterable[Loss] = (),
    ) -> Division:
        """Return the bucket now, had it been divided at `since_ms`.

        `tokens` and `previous_fraction` are those before the division. What the silent
        daemons reported since then is charged by the fraction, all else whole.
        """
        entries = [
            entry for entry in self._entries if entry.start_ms + ENTRY_MS > since_ms
        ]
        if not entries:
            divided = tokens * _find_ratio(limit, previous_fraction)
            divided = min(tokens, limit.find_capacity(), divided)
            return Division(divided, tokens / previous_fraction)
        first = entries[0]
        divided = first.tokens * _find_ratio(limit, first.fraction)
        divided = min(divided, limit.find_capacity())
        at_ms = first.start_ms
        lost = _sum_losses(losses, entries)
        for entry, count in zip(entries, lost, strict=True):
            divided = limit.earn(divided, entry.start_ms - at_ms)
            at_ms = entry.start_ms
            if entry is not first:
                entry.tokens, entry.fraction = divided, limit.fraction
            divided -= entry.spent - count * (1 - limit.fraction)
        divided = min(tokens, limit.earn(divided, now_ms - at_ms))
        return Division(divided, first.tokens / first.fraction)


def _find_ratio(limit: Limit, fraction: float) -> float:
    """Return the part of tokens, saved for `fraction`, that the limit leaves."""
    return min(1.0, limit.fraction / fraction)


def _sum_losses(losses: Iterable[Loss], entries: list[Entry]) -> list[float]:
    """Return by entry the operations reported in it; earlier ones are left out."""
    sums = [0.0] * len(entries)
    for loss in losses:
        for index in reversed(range(len(entries))):
            if entries[index].start_ms <= loss.at_ms:
                sums[index] += loss.admitted
                break
    return sums
