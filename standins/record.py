"""The record of a run: each request with its answer, as the caller saw it."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

# Codes that the caller sets for requests that got no answer. The daemons' codes are
# never negative.
NO_ANSWER = -1
UNREACHABLE = -2

READ_VERB = "get"


class Entry(NamedTuple):
    """One request and its answer; times are milliseconds of the steady clock.

    `caller` is the name of the session; `due_ms` is when the request should have been
    sent. `session_before` is the token that was sent with it, `session_after` the
    session's token afterwards. `answered_id` is the request id in the answer,
    `retry_after_s` its Retry-After header, and `fields` the names in its body.
    """

    due_ms: float
    sent_ms: float
    answered_ms: float
    workspace: str
    caller: str
    daemon: str
    request_id: str
    idempotency_key: str
    group: str
    action: str
    statement: dict[str, Any] | None
    repeatable: bool
    max_age_ms: int | None
    session_before: str
    session_after: str
    status: int
    code: int
    ran: str
    message: str
    value: Any
    served_by: str
    role: str
    duplicate: bool
    transaction: str
    retry_after_ms: int
    retry_after_s: str
    answered_id: str
    fields: tuple[str, ...]

    @property
    def latency_ms(self) -> float:
        """Milliseconds from the time at which the request was due to its answer."""
        return self.answered_ms - self.due_ms

    @property
    def is_write(self) -> bool:
        """Whether the statement may change a row."""
        return self.statement is not None and self.statement["verb"] != READ_VERB

    @property
    def was_answered(self) -> bool:
        """Whether a daemon answered at all."""
        return self.status != 0


def save_record(entries: Iterable[Entry], path: Path) -> None:
    """Write the record with one JSON list per line."""
    path.write_bytes(b"".join(msgspec.json.encode(entry) + b"\n" for entry in entries))


def load_record(path: Path) -> list[Entry]:
    """Return a record that `save_record` wrote."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Entry) for line in lines]
