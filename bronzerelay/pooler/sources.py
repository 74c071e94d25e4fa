"""Reports of admitted operations between daemons, and which reports are applied.

In a small fleet each daemon reports to all others. In a large one relays aggregate: a
relay reports the operations of its own failure domain to the relays of other domains,
and the operations of the whole fleet to the daemons of its domain.
"""

import enum
from typing import NamedTuple

# How long without a report until a source counts as silent, in milliseconds. It may be
# behind a network partition and admit operations that aren't reported here. Up to three
# reports may be lost before.
SILENT_MS = 1_000


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


class SourceGroup(NamedTuple):
    """Daemons of which one at a time reports the operations of `members` daemons."""

    scope: Scope
    names: tuple[str, ...]
    members: int = 1


class Source:
    """The state of one group: its current reporter and how many members it reaches."""

    def __init__(self, group: SourceGroup, now_ms: float):
        self.group = group
        # A new source counts as not silent: its daemons start with next to no tokens.
        self.last_report_ms = now_ms
        self.current: str | None = None
        self.reachable = group.members
        self.members = group.members

    def is_silent(self, now_ms: float) -> bool:
        """Return whether it may admit operations that aren't reported here."""
        return now_ms - self.last_report_ms > SILENT_MS

    def accepts(self, peer: str, now_ms: float) -> bool:
        """Return whether a peer's reports are applied.

        Two relays report the same operations, which must not be counted twice. So only
        the first peer that reports is accepted until the group is silent.
        """
        if self.current is None or (self.current != peer and self.is_silent(now_ms)):
            self.current = peer
        return self.current == peer

    def add_report(self, report: Report, as_of_ms: float) -> None:
        """Record a report that was made at `as_of_ms` or later."""
        self.last_report_ms = max(self.last_report_ms, as_of_ms)
        if self.group.scope is not Scope.OWN:
            self.reachable = report.reachable
            self.members = report.members


class PeerReports:
    """What one peer's process has reported in one scope."""

    def __init__(self, incarnation: int, complete: bool):
        self.incarnation = incarnation
        # Whether a workspace that wasn't reported yet counts as unused so far.
        self.complete = complete
        self.tallies: dict[str, Tally] = {}
        # The part of the tallies that was applied here.
        self.applied: dict[str, Tally] = {}


class TallySum(NamedTuple):
    """The sum of the applied tallies of several peers, and when it last changed."""

    tally: Tally
    changed_at_ms: float
