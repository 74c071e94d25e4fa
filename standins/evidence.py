"""What the endpoints ran, read from the records of their logs."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from standins.record import Entry

# A daemon numbers its attempts behind this mark in the ids that endpoints record.
ATTEMPT_MARK = "#"
WRITE = "write"


class Effect(NamedTuple):
    """A change in a group's log; `added` is what it appended to lists, by row.

    `change` names it as `name_change` does; `position` is its place in the log.
    """

    group: str
    position: int
    term: int
    change: str
    added: dict[str, list[Any]]


class Execution(NamedTuple):
    """One attempt to run something at an instance, whatever came of it."""

    group: str
    instance: str
    time_ms: float
    op: str
    workspace: str
    change: str
    endpoint_id: str
    outcome: str


class Evidence(NamedTuple):
    """What all groups hold, and what all instances that answer were asked."""

    effects: list[Effect]
    executions: list[Execution]


def name_change(entry: Entry) -> str:
    """Return the name under which a request's change stands in the log.

    It is empty without an idempotency key: a daemon then takes a name of its own,
    which the caller doesn't see.
    """
    if entry.idempotency_key:
        return f"{entry.workspace}/{entry.idempotency_key}"
    return ""


def strip_attempt(endpoint_id: str) -> str:
    """Return the name of the change from the id that an endpoint recorded."""
    return endpoint_id.rpartition(ATTEMPT_MARK)[0] or endpoint_id


def read_log(group: str, entries: Iterable[dict[str, Any]]) -> list[Effect]:
    """Return the effects in a log, in its order."""
    rows: dict[str, Any] = {}
    effects = []
    for position, entry in enumerate(entries, start=1):
        added = {}
        for row, value in entry["changes"].items():
            added[row] = find_added(rows.get(row), value)
            rows[row] = value
        if entry["kind"] == WRITE:
            change = strip_attempt(entry["request_id"])
            effects.append(Effect(group, position, entry["term"], change, added))
    return effects


def find_added(before: Any, after: Any) -> list[Any]:
    """Return what was appended to a list; nothing where the rows are no lists."""
    if not isinstance(after, list):
        return []
    known = before if isinstance(before, list) else []
    return after[len(known) :] if after[: len(known)] == known else after


def read_executions(
    group: str, instance: str, executions: Iterable[dict[str, Any]]
) -> list[Execution]:
    """Return what an instance was asked to run."""
    return [
        Execution(
            group=group,
            instance=instance,
            time_ms=one["time_ms"],
            op=one["op"],
            workspace=one["workspace"],
            change=strip_attempt(one["request_id"]),
            endpoint_id=one["request_id"],
            outcome=one["outcome"],
        )
        for one in executions
    ]
