"""What the endpoints ran, read from their logs and their records of executions."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from standins.record import Entry

# In the request ids that endpoints record, this separates the name of a change from the
# number of the daemon's attempt.
ATTEMPT_MARK = "#"
WRITE = "write"


class Effect(NamedTuple):
    """A change in a group's log; `added` holds the items that it appended, by row.

    `change` is its name, as `get_change_name` returns it.
    """

    group: str
    position: int
    term: int
    change: str
    added: dict[str, list[Any]]


class Execution(NamedTuple):
    """One attempt to run an op at an instance, with any outcome."""

    group: str
    instance: str
    time_ms: float
    op: str
    workspace: str
    change: str
    endpoint_id: str
    outcome: str


class Evidence(NamedTuple):
    """The effects in all groups, and the executions at all instances that answer."""

    effects: list[Effect]
    executions: list[Execution]


def get_change_name(entry: Entry) -> str:
    """Return the name of a request's change in the log.

    It is empty without an idempotency key: the daemon then makes up a name, which the
    caller doesn't see.
    """
    if entry.idempotency_key:
        return f"{entry.workspace}/{entry.idempotency_key}"
    return ""


def strip_attempt(endpoint_id: str) -> str:
    """Return the name of the change in a request id that an endpoint recorded."""
    return endpoint_id.rpartition(ATTEMPT_MARK)[0] or endpoint_id


def read_log(group: str, entries: Iterable[dict[str, Any]]) -> list[Effect]:
    """Return the effects of a log's entries, in the order of the log."""
    rows: dict[str, Any] = {}
    effects = []
    for position, entry in enumerate(entries, start=1):
        added = {}
        for row, value in entry["changes"].items():
            added[row] = find_appended(rows.get(row), value)
            rows[row] = value
        if entry["kind"] == WRITE:
            change = strip_attempt(entry["request_id"])
            effects.append(Effect(group, position, entry["term"], change, added))
    return effects


def find_appended(before: Any, after: Any) -> list[Any]:
    """Return the items appended to a list; none if the row doesn't hold a list."""
    if not isinstance(after, list):
        return []
    known = before if isinstance(before, list) else []
    return after[len(known) :] if after[: len(known)] == known else after


def read_executions(
    group: str, instance: str, executions: Iterable[dict[str, Any]]
) -> list[Execution]:
    """Return the executions that an instance recorded."""
    return [
        Execution(
            group=group,
            instance=instance,
            time_ms=execution["time_ms"],
            op=execution["op"],
            workspace=execution["workspace"],
            change=strip_attempt(execution["request_id"]),
            endpoint_id=execution["request_id"],
            outcome=execution["outcome"],
        )
        for execution in executions
    ]
