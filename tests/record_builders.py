"""Builders of a run's records and evidence, for the tests of the checks."""

from typing import Any

from bronzerelay.codes import CODES, Code
from standins.checks import REFUSAL_FIELDS
from standins.evidence import Effect, Evidence, Execution
from standins.record import Entry

GROUP = "orders"
WORKSPACE = "caterer-1"
ROW = "trays"


def build_entry(**changes: Any) -> Entry:
    """Return the entry of a read that ran; `changes` replace its fields."""
    request_id = changes.get("request_id", "r1")
    sent_ms = changes.get("sent_ms", 0.0)
    fields = {
        "due_ms": sent_ms,
        "sent_ms": sent_ms,
        "answered_ms": sent_ms + 1,
        "workspace": WORKSPACE,
        "caller": "one",
        "daemon": "vm-1",
        "request_id": request_id,
        "idempotency_key": "",
        "group": GROUP,
        "action": "statement",
        "statement": {"verb": "get", "row": ROW},
        "repeatable": True,
        "max_age_ms": None,
        "session_before": "",
        "session_after": "",
        "status": 200,
        "code": 0,
        "ran": "ran",
        "message": "",
        "value": None,
        "served_by": "orders-1",
        "role": "primary",
        "duplicate": False,
        "transaction": "",
        "retry_after_ms": 0,
        "retry_after_s": "",
        "answered_id": request_id,
        "fields": ("code", "ran", "request_id"),
    }
    return Entry(**{**fields, **changes})


def build_append(token: str, **changes: Any) -> Entry:
    """Return the entry of an append that ran; its request id is the appended token."""
    statement = {"verb": "append", "row": ROW, "value": token}
    fields = {"request_id": token, "statement": statement, "value": [token]}
    return build_entry(**{**fields, **changes})


def build_refusal(refused: Code, /, **changes: Any) -> Entry:
    """Return the entry of an append that was refused as the table of codes says."""
    entry = CODES[refused]
    fields = {
        "status": entry.status,
        "code": int(refused),
        "ran": entry.ran,
        "message": "It was refused.",
        "value": None,
        "fields": tuple(sorted(REFUSAL_FIELDS)),
    }
    return build_append("r1", **{**fields, **changes})


def build_effect(token: str, **changes: Any) -> Effect:
    """Return the effect of an append outside of transactions."""
    fields = {"position": 1, "term": 1, "change": token, "added": {ROW: [token]}}
    return Effect(**{"group": GROUP, **fields, **changes})


def build_evidence(*effects: Effect, executions: list | None = None) -> Evidence:
    """Return evidence that holds these effects."""
    return Evidence(list(effects), executions or [])


def build_execution(change: str, **changes: Any) -> Execution:
    """Return a write that ran at an instance."""
    fields = {
        "group": GROUP,
        "instance": "orders-1",
        "time_ms": 0.5,
        "op": "write",
        "workspace": WORKSPACE,
        "change": change,
        "endpoint_id": f"{change}#1",
        "outcome": "ran",
    }
    return Execution(**{**fields, **changes})
