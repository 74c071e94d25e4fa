"""A reference store, simple enough to be correct, to compare the whole system with."""

from typing import Any

from bronzerelay.runtime import Runtime
from bronzerelay.types import Statement


class NaiveStore:
    """The rows of one database group in a plain dict, behind one lock.

    It runs statements one at a time, without loss or lag. A session must see through
    the proxy what it would have seen here.
    """

    def __init__(self, runtime: Runtime):
        self._lock = runtime.make_lock()
        self._rows: dict[str, Any] = {}
        self._answers: dict[str, Any] = {}

    def run(self, statement: Statement, idempotency_key: str = "") -> Any:
        """Return the statement's value; raise ValueError when it is invalid.

        A statement whose idempotency key is known changes nothing and gets the answer
        of the first one.
        """
        return self.run_all([statement], idempotency_key)[0]

    def run_all(
        self, statements: list[Statement], idempotency_key: str = ""
    ) -> list[Any]:
        """Return the values of a transaction's statements; run all or none of them."""
        with self._lock:
            if idempotency_key in self._answers:
                return self._answers[idempotency_key]
            rows = dict(self._rows)
            values = [run_statement(rows, statement) for statement in statements]
            self._rows = rows
            if idempotency_key:
                self._answers[idempotency_key] = values
            return values

    def read_rows(self) -> dict[str, Any]:
        """Return a copy of all rows."""
        with self._lock:
            return dict(self._rows)


def run_statement(rows: dict[str, Any], statement: Statement) -> Any:
    """Run a statement on `rows` and return its value; a missing row is None."""
    row = statement["row"]
    current = rows.get(row)
    match statement["verb"]:
        case "get":
            return current
        case "put":
            rows[row] = statement["value"]
        case "add":
            if not isinstance(current, int | float | None):
                raise ValueError(f"{row!r} holds no number")
            rows[row] = (current or 0) + statement["amount"]
        case "append":
            if not isinstance(current, list | None):
                raise ValueError(f"{row!r} holds no list")
            rows[row] = [*(current or []), statement["value"]]
        case "delete":
            rows.pop(row, None)
        case verb:
            raise ValueError(f"there is no verb {verb!r}")
    return rows.get(row)
