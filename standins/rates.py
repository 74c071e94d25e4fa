"""Replays requests through a token bucket, to check what was admitted and refused."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

from bronzerelay.codes import RAN
from standins.evidence import Evidence, get_change_name
from standins.record import Entry
from standins.violations import RateExceeded

SECOND_MS = 1000
STATEMENT = "statement"
# Actions that take a token; ending a transaction takes none.
COUNTED_ACTIONS = frozenset({STATEMENT, "begin"})
# Upper bound of the rounding errors in sums of tokens.
TOLERANCE = 1e-6
# HTTP statuses that a request within its rate should not get: "too many requests" and
# "service unavailable".
REFUSED_STATUSES = frozenset({429, 503})


class RateLimit(NamedTuple):
    """A workspace's rate and burst, in force everywhere from `from_ms` on."""

    workspace: str
    rate: float
    burst: float
    from_ms: float = float("-inf")


class Admission(NamedTuple):
    """A request that was admitted at some time between `sent_ms` and `latest_ms`."""

    latest_ms: float
    sent_ms: float
    request_id: str


class Bucket:
    """A token bucket that starts full and follows changes of its limit."""

    def __init__(self, limits: Iterable[RateLimit]):
        self._limits = sorted(limits, key=lambda limit: limit.from_ms)
        self._now_ms = float("-inf")
        self.limit = self._limits.pop(0)
        self.tokens = self.limit.burst

    def advance(self, now_ms: float) -> None:
        """Advance to `now_ms` and add the tokens that accrued meanwhile."""
        while self._limits and self._limits[0].from_ms <= now_ms:
            self._refill(self._limits[0].from_ms)
            self.limit = self._limits.pop(0)
            self.tokens = min(self.tokens, self.limit.burst)
        self._refill(now_ms)

    def _refill(self, now_ms: float) -> None:
        if self._now_ms != float("-inf"):
            passed_ms = max(0.0, now_ms - self._now_ms)
            self.tokens += self.limit.rate * passed_ms / SECOND_MS
        self.tokens = min(self.tokens, self.limit.burst)
        self._now_ms = max(self._now_ms, now_ms)

    def take(self) -> bool:
        """Take a token; return False when there is none."""
        if self.tokens < 1 - TOLERANCE:
            return False
        self.tokens -= 1
        return True


def check_rates(
    record: Iterable[Entry], limits: Iterable[RateLimit], evidence: Evidence
) -> list[RateExceeded]:
    """Return the requests that ran beyond their workspace's rate and burst.

    The time at which a daemon admitted a request is unknown, except that it lies
    between the sending and the answer, and before the endpoint ran the request. A
    workspace exceeded its limit if some time window certainly contains more admissions
    than the burst plus the tokens that the rate gives in it. So no delay can cause a
    false violation, and every window that certainly exceeds the limit is found.
    """
    limits = list(limits)
    by_workspace = collect_admissions(record, evidence)
    violations = []
    for workspace, admissions in by_workspace.items():
        own = [limit for limit in limits if limit.workspace == workspace]
        if own:
            violations += find_excess_admissions(admissions, own)
    return violations


def collect_admissions(
    record: Iterable[Entry], evidence: Evidence
) -> dict[str, list[Admission]]:
    """Return the requests of each workspace that were certainly admitted."""
    first_execution_ms: dict[str, float] = {}
    for execution in evidence.executions:
        # Executions of reads have no name, and a settle takes no token.
        if not execution.change or execution.op != "write":
            continue
        known_ms = first_execution_ms.get(execution.change, float("inf"))
        first_execution_ms[execution.change] = min(known_ms, execution.time_ms)
    admissions: dict[str, list[Admission]] = {}
    for entry in record:
        executed_ms = first_execution_ms.get(get_change_name(entry), float("inf"))
        # An execution outside of the request's time may belong to an earlier attempt;
        # then only the request's own answer counts.
        executed = entry.sent_ms <= executed_ms <= entry.answered_ms
        if entry.action not in COUNTED_ACTIONS or not (entry.ran == RAN or executed):
            continue
        latest_ms = executed_ms if executed else entry.answered_ms
        admission = Admission(latest_ms, entry.sent_ms, entry.request_id)
        admissions.setdefault(entry.workspace, []).append(admission)
    return admissions


def find_excess_admissions(
    admissions: list[Admission], limits: list[RateLimit]
) -> list[RateExceeded]:
    """Return the admissions of one workspace that exceed its limit in some window.

    They are checked in the order of their latest times, each against all windows that
    begin when it or an earlier one was sent. An admission that exceeds a window is left
    out from then on, as otherwise all later ones would exceed that window too.
    """
    limits = sorted(limits, key=lambda limit: limit.from_ms)
    sent_ms: list[float] = []
    # For each window's start: the burst at that time, less the tokens given before it.
    bases: list[float] = []
    violations = []
    for admission in sorted(admissions):
        index = bisect.bisect_right(sent_ms, admission.sent_ms)
        burst = find_limit(limits, admission.sent_ms).burst
        base = burst - sum_tokens(limits, admission.sent_ms) + TOLERANCE
        given = sum_tokens(limits, admission.latest_ms)
        counts = range(len(sent_ms) + 1, len(sent_ms) - index, -1)
        pairs = zip([*bases[:index], base], counts, strict=True)
        if all(count <= given + window_base for window_base, count in pairs):
            sent_ms.insert(index, admission.sent_ms)
            bases.insert(index, base)
        else:
            violations.append(
                make_violation(admission, find_limit(limits, admission.latest_ms))
            )
    return violations


def find_limit(limits: list[RateLimit], time_ms: float) -> RateLimit:
    """Return the limit in force at `time_ms`, or the first one before that begins."""
    in_force = [limit for limit in limits if limit.from_ms <= time_ms]
    return in_force[-1] if in_force else limits[0]


def sum_tokens(limits: list[RateLimit], time_ms: float) -> float:
    """Return the tokens that the rates give from time zero to `time_ms`."""
    ends_ms = [limit.from_ms for limit in limits[1:]] + [float("inf")]
    tokens = 0.0
    for limit, end_ms in zip(limits, ends_ms, strict=True):
        length_ms = min(time_ms, end_ms) - max(0.0, limit.from_ms)
        tokens += max(0.0, length_ms) * limit.rate / SECOND_MS
    return tokens


def make_violation(admission: Admission, limit: RateLimit) -> RateExceeded:
    """Return the violation for an admission for which no token was left."""
    return RateExceeded(
        admission.request_id,
        limit.workspace,
        limit.rate,
        limit.burst,
        admission.latest_ms,
    )


def find_wrongful_refusals(
    record: Iterable[Entry], limits: Iterable[RateLimit]
) -> list[Entry]:
    """Return the refused requests that a single token bucket would have admitted.

    Their number is a measurement: the product doesn't promise that there are none.
    """
    within_rate = find_within_rate(record, limits)
    return [entry for entry in within_rate if entry.status in REFUSED_STATUSES]


def find_within_rate(
    record: Iterable[Entry], limits: Iterable[RateLimit]
) -> list[Entry]:
    """Return the requests that a single token bucket per workspace would admit.

    The bucket gets the requests in the order in which they were sent, without delays.
    """
    limits = list(limits)
    within_rate = []
    entries = sorted(record, key=lambda entry: entry.sent_ms)
    for workspace in sorted({entry.workspace for entry in entries}):
        own = [limit for limit in limits if limit.workspace == workspace]
        if not own:
            continue
        bucket = Bucket(own)
        for entry in entries:
            if entry.workspace != workspace or entry.action not in COUNTED_ACTIONS:
                continue
            bucket.advance(entry.sent_ms)
            if bucket.take():
                within_rate.append(entry)
    return within_rate
