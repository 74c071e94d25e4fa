"""Finds the changes because of which an endpoint refused a transaction's commit."""

from collections.abc import Iterable

from bronzerelay.codes import NOT_RUN, Code
from standins.record import Entry

COMMIT = "commit"


def list_conflicting(record: Iterable[Entry], commit: Entry) -> list[Entry]:
    """Return the changes that explain why a commit was refused; none if nothing does.

    The refusal names a row of the transaction, and another request that changed the
    row may have taken effect since the transaction's first statement. A statement of
    another transaction takes effect with its commit.
    """
    if commit.code != Code.TRANSACTION_LOST:
        return []
    record = list(record)
    own = [entry for entry in record if entry.transaction == commit.transaction]
    rows = {
        entry.statement["row"]
        for entry in own
        if entry.statement and f"row {entry.statement['row']!r} was" in commit.message
    }
    first_ms = min(entry.sent_ms for entry in own)
    commits = {entry.transaction: entry for entry in record if entry.action == COMMIT}
    conflicting = []
    for entry in record:
        if not entry.is_write or entry.statement["row"] not in rows or entry in own:
            continue
        effect = commits.get(entry.transaction) if entry.transaction else entry
        if effect is None or effect.ran == NOT_RUN:
            continue
        if effect.sent_ms < commit.answered_ms and effect.answered_ms > first_ms:
            conflicting.append(effect)
    return conflicting
