"""The ways in which a run can break a promise, each with what identifies the breach."""

from typing import NamedTuple


class LostWrite(NamedTuple):
    """A change was acknowledged, but the group doesn't hold it."""

    request_id: str
    change: str
    group: str

    def __str__(self) -> str:
        return f"{self.request_id}: acknowledged change {self.change} is lost"


class DoubledWrite(NamedTuple):
    """A change took effect more than once."""

    request_id: str
    change: str
    group: str
    effects: int

    def __str__(self) -> str:
        return f"{self.request_id}: change {self.change} took effect {self.effects}x"


class FalseNotRun(NamedTuple):
    """Every answer said "not run", but the change took effect."""

    request_id: str
    change: str
    group: str
    code: int

    def __str__(self) -> str:
        return f"{self.request_id}: code {self.code} said not_run, the change is there"


class RanTwice(NamedTuple):
    """A request that must not be repeated ran at endpoints more than once."""

    request_id: str
    change: str
    instances: tuple[str, ...]

    def __str__(self) -> str:
        where = ", ".join(self.instances)
        return f"{self.request_id}: not repeatable, but ran at {where}"


class SentAgain(NamedTuple):
    """A request that must not be repeated reached endpoints under several ids."""

    request_id: str
    change: str
    endpoint_ids: tuple[str, ...]

    def __str__(self) -> str:
        ids = ", ".join(self.endpoint_ids)
        return f"{self.request_id}: not repeatable, but sent as {ids}"


class StaleRead(NamedTuple):
    """A read lacks what its session had written or read before."""

    request_id: str
    caller: str
    row: str
    missing: tuple[str, ...]
    served_by: str

    def __str__(self) -> str:
        lacks = ", ".join(self.missing)
        return f"{self.request_id}: {self.row} at {self.served_by} lacks {lacks}"


class ForeignAnswer(NamedTuple):
    """An answer that belongs to another request."""

    request_id: str
    found: str

    def __str__(self) -> str:
        return f"{self.request_id}: answer of another request: {self.found}"


class RateExceeded(NamedTuple):
    """A request that exceeds its workspace's limit whenever it was admitted."""

    request_id: str
    workspace: str
    rate: float
    burst: float
    latest_ms: float

    def __str__(self) -> str:
        limit = f"{self.rate:g}/s, burst {self.burst:g}"
        return f"{self.request_id}: {self.workspace} got more than {limit}"


class BrokenRefusal(NamedTuple):
    """A refusal that differs from what docs/CODES.md promises."""

    request_id: str
    code: int
    what: str

    def __str__(self) -> str:
        return f"{self.request_id}: refusal {self.code}: {self.what}"


class Unanswered(NamedTuple):
    """A request that a daemon took and never answered."""

    request_id: str
    daemon: str
    message: str

    def __str__(self) -> str:
        return f"{self.request_id}: no answer from {self.daemon}: {self.message}"


class BrokenTransaction(NamedTuple):
    """A transaction whose changes were not applied as a whole, or were mixed."""

    transaction: str
    what: str

    def __str__(self) -> str:
        return f"transaction {self.transaction}: {self.what}"


class KeyLeaked(NamedTuple):
    """A workspace's key in a place that must not contain keys."""

    workspace: str
    place: str

    def __str__(self) -> str:
        return f"the key of {self.workspace} occurs in {self.place}"


Violation = (
    LostWrite
    | DoubledWrite
    | FalseNotRun
    | RanTwice
    | SentAgain
    | StaleRead
    | ForeignAnswer
    | RateExceeded
    | BrokenRefusal
    | Unanswered
    | BrokenTransaction
    | KeyLeaked
)
