"""What daemons report of operations to each other, and whose word counts for whom.

In a small fleet each daemon reports to all others. In a large one a relay adds up: it
tells the relays of other failure domains what its own domain has admitted, and the
daemons of its domain what all others have.
"""

import enum
from typing import NamedTuple

# A source that wasn't heard of for this long may be cut off and spend its part without
# anybody being told. Milliseconds; three reports may be lost before.
SILENT_MS = 1_000


class Tally(NamedTuple):
    """Operations of a workspace that were admitted, and asked for, in all."""

    admitted: int
    requested: int

    def minus(self, other: "Tally") -> "Tally":
        """Return what was added since `other`."""
        return Tally(self.admitted - other.admitted, self.requested - other.requested)

    def plus(self, other: "Tally") -> "Tally":
        """Return both together."""
        return Tally(self.admitted + other.admitted, self.requested + other.requested)


ZERO_TALLY = Tally(0, 0)


class Scope(enum.IntEnum):
    """Whose operations a report adds up."""

    OWN = 0  # the sender's
    DOMAIN = 1  # those of all daemons in the sender's failure domain
    FLEET = 2  # those of all daemons but the receiver


class Report(NamedTuple):
    """What a daemon tells: all tallies, or those that changed lately.

    `reachable` of the `members` that it stands for were heard of by the sender.
    """

    full: bool
    tallies: dict[str, Tally]
    scope: Scope = Scope.OWN
    reachable: int = 1
    members: int = 1


EMPTY_REPORT = Report(False, {})


class SourceGroup(NamedTuple):
    """Daemons of which one at a time is the source for `members` members."""

    scope: Scope
    names: tuple[str, ...]
    members: int = 1


class Source:
    """The state of one group: who is believed now, and what it told of its members."""

    def __init__(self, group: SourceGroup, now_ms: float):
        self.group = group
        # A new one counts as heard of: it begins with nothing.
        self.last_report_ms = now_ms
        self.current: str | None = None
        self.reachable = group.members
        self.members = group.members

    def is_silent(self, now_ms: float) -> bool:
        """Return whether it may spend unheard."""
        return now_ms - self.last_report_ms > SILENT_MS

    def accepts(self, peer: str, now_ms: float) -> bool:
        """Return whether a peer's word counts; the first one's does until silence.

        Two relays tell the same operations, and both counted would be twice as many.
        """
        if self.current is None or (self.current != peer and self.is_silent(now_ms)):
            self.current = peer
        return self.current == peer

    def add_report(self, report: Report, last_report_ms: float) -> None:
        """Note a report that counts from `last_report_ms`."""
        self.last_report_ms = max(self.last_report_ms, last_report_ms)
        if self.group.scope is not Scope.OWN:
            self.reachable = report.reachable
            self.members = report.members


class PeerReports:
    """What one peer's process has reported in one scope."""

    def __init__(self, incarnation: int, complete: bool):
        self.incarnation = incarnation
        # Whether a workspace that wasn't named yet counts as one never asked for.
        self.complete = complete
        self.tallies: dict[str, Tally] = {}
        # What of it was counted here.
        self.applied: dict[str, Tally] = {}


class TallySum(NamedTuple):
    """What was counted of several peers, and when it last grew."""

    tally: Tally
    changed_at_ms: float
