"""Replays requests through a token bucket, to judge what was admitted and refused."""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

from bronzerelay.codes import RAN
from standins.evidence import Evidence, name_change
from standins.record import Entry
from standins.violations import RateExceeded

SECOND_MS = 1000
STATEMENT = "statement"
# Ending a transaction takes no token.
COUNTED_ACTIONS = frozenset({STATEMENT, "begin"})
# Sums of fractions of tokens are off by less than this.
TOLERANCE = 1e-6
# Too many requests, and service unavailable: what a request inside its rate must
# not be told.
REFUSED_STATUSES = frozenset({429, 503})


class RateLimit(NamedTuple):
    """A workspace's rate and burst, in force everywhere from `from_ms` on."""

    workspace: str
    rate: float
    burst: float
    from_ms: float = float("-inf")


class Admission(NamedTuple):
    """A request that was admitted at some time from `sent_ms` to `latest_ms`."""

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
        """Move on to `now_ms` and add the tokens that came meanwhile."""
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

    When a daemon admitted a request is not seen, only that it did so between the
    sending and the answer, and before the endpoint ran it. A workspace got too much
    when some window certainly holds more admissions than the burst and what the rate
    gives in it. So no delay on the way can make a false finding, and every window in
    which too much must have passed is found.
    """
    limits = list(limits)
    by_workspace = collect_admissions(record, evidence)
    found = []
    for workspace, admissions in by_workspace.items():
        own = [limit for limit in limits if limit.workspace == workspace]
        if own:
            found += replay_admissions(admissions, own)
    return found


def collect_admissions(
    record: Iterable[Entry], evidence: Evidence
) -> dict[str, list[Admission]]:
    """Return for each workspace the requests that certainly were admitted."""
    first_ms: dict[str, float] = {}
    for execution in evidence.executions:
        # Reads stand there without a name, and a settle runs without a token.
        if not execution.change or execution.op != "write":
            continue
        known_ms = first_ms.get(execution.change, float("inf"))
        first_ms[execution.change] = min(known_ms, execution.time_ms)
    admissions: dict[str, list[Admission]] = {}
    for entry in record:
        executed_ms = first_ms.get(name_change(entry), float("inf"))
        # One that was sent again is judged by its own answer: the execution may
        # belong to an earlier attempt.
        executed = entry.sent_ms <= executed_ms <= entry.answered_ms
        if entry.action not in COUNTED_ACTIONS or not (entry.ran == RAN or executed):
            continue
        latest_ms = executed_ms if executed else entry.answered_ms
        admission = Admission(latest_ms, entry.sent_ms, entry.request_id)
        admissions.setdefault(entry.workspace, []).append(admission)
    return admissions


def replay_admissions(
    admissions: list[Admission], limits: list[RateLimit]
) -> list[RateExceeded]:
    """Return the admissions of one workspace that some window had no room for.

    Each is tried in the order of the latest times, against all windows that begin
    with an earlier one's sending; one without room is found and left out after that,
    or all that come after would be found too.
    """
    limits = sorted(limits, key=lambda limit: limit.from_ms)
    sent_ms: list[float] = []
    # For each window's beginning: the burst then, less what the rate gave before.
    bases: list[float] = []
    found = []
    for one in sorted(admissions):
        place = bisect.bisect_right(sent_ms, one.sent_ms)
        burst = find_limit(limits, one.sent_ms).burst
        base = burst - sum_rate(limits, one.sent_ms) + TOLERANCE
        given = sum_rate(limits, one.latest_ms)
        counts = range(len(sent_ms) + 1, len(sent_ms) - place, -1)
        pairs = zip([*bases[:place], base], counts, strict=True)
        if all(count <= given + room for room, count in pairs):
            sent_ms.insert(place, one.sent_ms)
            bases.insert(place, base)
        else:
            found.append(exceed(one, find_limit(limits, one.latest_ms)))
    return found


def find_limit(limits: list[RateLimit], time_ms: float) -> RateLimit:
    """Return the limit in force at `time_ms`; the first one before any is."""
    in_force = [limit for limit in limits if limit.from_ms <= time_ms]
    return in_force[-1] if in_force else limits[0]


def sum_rate(limits: list[RateLimit], time_ms: float) -> float:
    """Return the tokens that the rates have given from time zero to `time_ms`."""
    ends_ms = [limit.from_ms for limit in limits[1:]] + [float("inf")]
    tokens = 0.0
    for limit, end_ms in zip(limits, ends_ms, strict=True):
        length_ms = min(time_ms, end_ms) - max(0.0, limit.from_ms)
        tokens += max(0.0, length_ms) * limit.rate / SECOND_MS
    return tokens


def exceed(admission: Admission, limit: RateLimit) -> RateExceeded:
    """Return the violation for an admission that no token was left for."""
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
    """Return the requests refused for want of room that one bucket would have let in.

    It is a measure, not a promise.
    """
    inside = find_within_rate(record, limits)
    return [entry for entry in inside if entry.status in REFUSED_STATUSES]


def find_within_rate(
    record: Iterable[Entry], limits: Iterable[RateLimit]
) -> list[Entry]:
    """Return the requests inside their workspace's rate: those one bucket would admit.

    The bucket sees the requests in the order in which they were sent, as a single
    accountant without any delay would.
    """
    limits = list(limits)
    inside = []
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
                inside.append(entry)
    return inside
