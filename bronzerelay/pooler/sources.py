"""Reports of admitted operations between daemons, and which reports are applied.

In a small fleet each daemon reports to all others. In a large one relays aggregate: a
relay reports the operations of its own failure domain to the relays of other domains,
and the operations of the whole fleet to the daemons of its domain.
"""

import enum
import math
from collections import deque
from typing import NamedTuple

from bronzerelay.load.apart import HISTORY_MS, Loss

# How long without a report until a source counts as silent, in milliseconds. It may be
# behind a network partition and admit operations that aren't reported here. Up to three
# reports may be lost before.
SILENT_MS = 1_000
# How long without a report until another reporter of the same group replaces the
# current one, in milliseconds. It is longer than two lost reports take, and shorter
# than SILENT_MS, so that a group doesn't count as silent because one relay died.
REPORTER_SILENT_MS = 700
# How long without a report until a source counts as late, in milliseconds: one and a
# half reports. A lost report makes it late for a moment.
LATE_MS = 450
# How long reports go on holding operations of daemons that a relay doesn't reach any
# more, in milliseconds, after the time from which it didn't hear them.
TRAVEL_MS = 600


class Tally(NamedTuple):
    """The total operations of a workspace: admitted ones, and requested ones."""

    admitted: int
    requested: int

    def minus(self, other: "Tally") -> "Tally":
        """Return what was added since `other`."""
        return Tally(self.admitted - other.admitted, self.requested - other.requested)

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(self.admitted + other.admitted, self.requested + other.requested)


ZERO_TALLY = Tally(0, 0)


class Scope(enum.IntEnum):
    """Whose operations a report covers."""

    OWN = 0  # those of the sender
    DOMAIN = 1  # those of all daemons in the sender's failure domain
    FLEET = 2  # those of all daemons but the receiver


class Report(NamedTuple):
    """A daemon's report: all tallies if `full`, else those that changed lately.

    It covers `members` daemons, of which the sender currently hears from `reachable`.
    """

    full: bool
    tallies: dict[str, Tally]
    scope: Scope = Scope.OWN
    reachable: int = 1
    members: int = 1


EMPTY_REPORT = Report(False, {})


# The key of a group: a daemon's name for its own operations, else the scope and the
# failure domain. As one text, a daemon's name could be the key of a domain.
SourceKey = str | tuple[Scope, str]


class SourceGroup(NamedTuple):
    """Daemons of which one at a time reports the operations of `members` daemons."""

    scope: Scope
    names: tuple[str, ...]
    members: int = 1


class Source:
    """The state of one group: its current reporter and how many members it reaches."""

    def __init__(self, group: SourceGroup, now_ms: float):
        self.group = group
        self.current: str | None = None
        self.reachable = group.members
        self.members = group.members
        # A new source counts as not silent: its daemons start with next to no tokens.
        self._last_report_ms = now_ms
        # By reporter, the time up to which its reports are known here.
        self._reported_ms: dict[str, float] = {}
        # When the last report arrived here, which may be long after it was made.
        self._arrived_ms = now_ms
        # How many members counted as reachable when the fraction was last computed.
        self.counted = group.members
        # What its reports of the last HISTORY_MS added, and when they arrived.
        self._recent: deque[tuple[float, dict[str, Tally]]] = deque()

    def set_group(self, group: SourceGroup) -> None:
        """Update the daemons that may report; one that may not isn't current."""
        self.group = group
        if self.current not in group.names:
            self.current = None

    def is_silent(self, now_ms: float) -> bool:
        """Return whether it may admit operations that aren't reported here."""
        return now_ms - self._last_report_ms > SILENT_MS

    def is_late(self, now_ms: float) -> bool:
        """Return whether a report should have arrived, though it isn't silent yet."""
        return now_ms - self._arrived_ms > LATE_MS

    def count_reachable(self, now_ms: float) -> int:
        """Return how many of its members can't admit operations unreported here."""
        return 0 if self.is_silent(now_ms) else self.reachable

    def record(self, now_ms: float, added: dict[str, Tally]) -> None:
        """Keep what a report added until the source can't turn out silent since."""
        while self._recent and self._recent[0][0] < now_ms - HISTORY_MS:
            self._recent.popleft()
        if added:
            self._recent.append((now_ms, added))

    def find_last_news(self, now_ms: float, relay_lag_ms: float) -> float | None:
        """Return from when on members admit operations unreported here, or None.

        A relay that reaches fewer members than before noticed it after SILENT_MS, and
        its report was on its way.
        """
        if self.is_silent(now_ms):
            # One that is silent for longer has been set aside before.
            is_known = self.counted == 0 and self._last_report_ms < now_ms - HISTORY_MS
            return None if is_known else self._last_report_ms
        if self.reachable < self.counted:
            return now_ms - SILENT_MS - relay_lag_ms
        return None

    def list_losses(self, workspace: str, now_ms: float) -> list[Loss]:
        """Return what its recent reports held of members that are silent now.

        How much of a relay's report was of these members isn't known; it is taken to be
        their part of all until the reports can't hold operations of theirs any more.
        """
        if self.is_silent(now_ms):
            part, until_ms = 1.0, now_ms
        elif self.reachable < self.counted:
            part = 1 - self.reachable / self.counted
            until_ms = now_ms - SILENT_MS + TRAVEL_MS
        else:
            return []
        return [
            Loss(at_ms, part * tally.admitted, part * tally.requested)
            for at_ms, added in self._recent
            if at_ms <= until_ms and (tally := added.get(workspace)) is not None
        ]

    def accepts(self, peer: str, now_ms: float) -> bool:
        """Return whether a peer's reports are applied.

        Two relays report the same operations, which must not be counted twice. So only
        one reporter is current, and another one replaces it when it has been silent.
        """
        reported_ms = self._reported_ms.get(self.current or "", -math.inf)
        if self.current is None or now_ms - reported_ms > REPORTER_SILENT_MS:
            self.current = peer
        return self.current == peer

    def add_report(
        self, peer: str, report: Report, as_of_ms: float, now_ms: float
    ) -> None:
        """Record a report that was made at `as_of_ms` or later and arrives now.

        Only the current reporter tells how many members are reachable. In a network
        partition two relays reach different ones, and each change to a smaller number
        takes tokens from the bucket.
        """
        self._last_report_ms = max(self._last_report_ms, as_of_ms)
        self._arrived_ms = now_ms
        self._reported_ms[peer] = max(self._reported_ms.get(peer, -math.inf), as_of_ms)
        if self.group.scope is not Scope.OWN and peer == self.current:
            self.reachable = report.reachable
            self.members = report.members


class PeerReports:
    """What one peer's process has reported in one scope.

    A tally is covered when the operations in it have been taken out of the buckets, or
    needn't be: another reporter has reported them too, or they were admitted while the
    peer was silent.
    """

    def __init__(self, incarnation: int, previous: "PeerReports | None"):
        self.incarnation = incarnation
        # Whether a workspace that wasn't reported yet counts as unused so far.
        self._complete = previous is not None
        # The time up to which the peer's reports are known here.
        self._reported_ms = -math.inf if previous is None else previous._reported_ms
        self._tallies: dict[str, Tally] = {}
        self._covered: dict[str, Tally] = {}
        # The workspaces whose tally isn't covered.
        self._uncovered: set[str] = set()
        # The part of the tallies that was applied here.
        self.applied: dict[str, Tally] = {}

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the peer's last report in this scope is too old to go on from.

        The operations since then were reported by others or set aside.
        """
        return now_ms - self._reported_ms > SILENT_MS

    def add_report(self, report: Report, as_of_ms: float) -> None:
        """Record a report that was made at `as_of_ms` or later."""
        for name, tally in report.tallies.items():
            self._tallies[name] = tally
            if name in self._covered or self._complete:
                self._uncovered.add(name)
            else:
                self._covered[name] = tally
        self._complete = self._complete or report.full
        self._reported_ms = max(self._reported_ms, as_of_ms)

    def cover(self) -> None:
        """Count all tallies as covered, without taking them from the buckets."""
        self.take_uncovered()

    def take_uncovered(self) -> dict[str, Tally]:
        """Return by workspace what isn't covered yet, and count it as covered."""
        added = {}
        for name in self._uncovered:
            covered = self._covered.get(name, ZERO_TALLY)
            added[name] = self._tallies[name].minus(covered)
            self._covered[name] = self._tallies[name]
        self._uncovered.clear()
        return added


class TallySum(NamedTuple):
    """The sum of the applied tallies of several peers, and when it last changed."""

    tally: Tally
    changed_at_ms: float
