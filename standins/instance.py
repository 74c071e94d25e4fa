"""The state of one database instance: its log, rows, term and transactions."""

import math
from bisect import bisect_right
from operator import itemgetter
from typing import Any, Literal, NamedTuple, TypedDict

from bronzerelay.runtime import Address, Runtime

PRIMARY = "primary"
REPLICA = "replica"
PULL_ENTRIES = 500


class RefusedError(Exception):
    """The endpoint refuses a request; nothing of it ran."""

    def __init__(self, error: str, message: str, term: int = 0):
        super().__init__(message)
        self.error = error
        self.message = message
        self.term = term


class Entry(TypedDict):
    """An entry of the log; a row whose new value is None is deleted."""

    term: int
    kind: Literal["promote", "write", "cancel"]
    request_id: str
    changes: dict[str, Any]
    value: Any


class Undo(NamedTuple):
    """The value and version of a row before an entry changed it."""

    row: str
    value: Any
    version: int


class Execution(NamedTuple):
    """The record of one attempt to run an op; `time_ms` is of the steady clock."""

    time_ms: float
    op: str
    workspace: str
    request_id: str
    term: int
    outcome: str


class Transaction:
    """An open transaction; it buffers its changes until the commit."""

    def __init__(self, workspace: str):
        self.workspace = workspace
        self.versions: dict[str, int] = {}
        self.changes: dict[str, Any] = {}
        self.aborted = False


def get_row_name(statement: dict) -> str:
    """Return the row that a statement names."""
    row = statement.get("row")
    if not isinstance(row, str):
        raise RefusedError("invalid_statement", "'row' must be a string")
    return row


def add_numbers(first: float, second: float) -> float:
    """Return the sum; refuse one that is too large for its type."""
    try:
        total = first + second
    except OverflowError:
        total = math.inf
    if isinstance(total, float) and not math.isfinite(total):
        raise RefusedError("invalid_statement", "the sum is out of range")
    return total


def compute_write(statement: dict, current: Any) -> tuple[Any, Any]:
    """Return the answer to a write statement and the new value of its row."""
    match statement:
        case {"verb": "put", "value": value}:
            return value, value
        case {"verb": "add", "amount": int() | float() as amount}:
            if not isinstance(current, int | float | None):
                raise RefusedError("invalid_statement", "the row holds no number")
            total = add_numbers(current or 0, amount)
            return total, total
        case {"verb": "append", "value": value}:
            if not isinstance(current, list | None):
                raise RefusedError("invalid_statement", "the row holds no list")
            items = [*(current or []), value]
            return items, items
        case {"verb": "delete"}:
            return None, None
    raise RefusedError("invalid_statement", "no such statement for a write")


class Instance:
    """One instance; the caller holds `condition` around every method."""

    def __init__(self, runtime: Runtime, slots: int):
        self.condition = runtime.make_condition()
        self.clock = runtime.clock
        self.slots = slots
        self.slots_used = 0
        self.term = 0
        self.role = REPLICA
        # Incremented with each change of term, role or primary. The answer to a pull
        # that was sent under an earlier generation is dropped.
        self.generation = 0
        self.primary: Address | None = None
        self.entries: list[Entry] = []
        self.rows: dict[str, Any] = {}
        self.executions: list[Execution] = []
        self._undo: list[list[Undo]] = []
        self._append_times_ms: list[float] = []
        self._versions: dict[str, int] = {}
        self._index_by_request: dict[str, int] = {}
        self._promotion_position = 0
        self._transactions: set[Transaction] = set()

    # The log

    @property
    def log_term(self) -> int:
        """The term of the last entry, 0 for an empty log."""
        return self.entries[-1]["term"] if self.entries else 0

    @property
    def position(self) -> int:
        """The number of entries."""
        return len(self.entries)

    def append(self, entry: Entry) -> None:
        """Add an entry to the log and apply its changes to the rows."""
        undo = []
        self.entries.append(entry)
        for row, value in entry["changes"].items():
            undo.append(Undo(row, self.rows.get(row), self._versions.get(row, 0)))
            self._set_row(row, value, self.position)
        self._undo.append(undo)
        self._append_times_ms.append(self.clock.now_ms())
        if entry["request_id"]:
            self._index_by_request[entry["request_id"]] = self.position - 1
        self.condition.notify_all()

    def cut_log(self, position: int) -> None:
        """Drop the entries after `position` and undo what they changed."""
        while self.position > position:
            entry = self.entries.pop()
            self._append_times_ms.pop()
            for row, value, version in self._undo.pop():
                self._set_row(row, value, version)
            self._index_by_request.pop(entry["request_id"], None)
        self.condition.notify_all()

    def _set_row(self, row: str, value: Any, version: int) -> None:
        self._versions[row] = version
        if value is None:
            self.rows.pop(row, None)
        else:
            self.rows[row] = value

    def find_rewind(self, log_term: int, position: int) -> int | None:
        """Return the position to which a follower must cut its log, None if it matches.

        None of the follower's entries after that position can be in this log: terms
        never decrease along a log, and from there on this log's terms are higher.
        """
        if position == 0:
            return None
        common = min(position, self.position)
        if common == position and self.entries[position - 1]["term"] == log_term:
            return None
        by_term = itemgetter("term")
        cut = bisect_right(self.entries, log_term, hi=common, key=by_term)
        return min(cut, position - 1)

    def list_due(self, position: int, lag_ms: float) -> tuple[list[Entry], float]:
        """Return the entries after `position` that are due, and the wait for the next.

        An entry is due when it is older than `lag_ms`. The wait is in milliseconds, 0
        when the log has no further entry.
        """
        end = position
        stop = min(self.position, position + PULL_ENTRIES)
        limit_ms = self.clock.now_ms() - lag_ms
        while end < stop and self._append_times_ms[end] <= limit_ms:
            end += 1
        wait_ms = self._append_times_ms[end] - limit_ms if end < self.position else 0
        return self.entries[position:end], wait_ms

    # Terms

    def make_status(self) -> dict:
        """Return the fields of the answer to `status`."""
        return {
            "term": self.term,
            "role": self.role,
            "log_term": self.log_term,
            "position": self.position,
        }

    def fence(self, term: int) -> dict:
        """Accept a higher term; stop being primary, or following one."""
        if term <= self.term:
            raise self._make_stale_term_error("a term as great was accepted before")
        self._change_role(term, REPLICA, None)
        return {"term": term, "log_term": self.log_term, "position": self.position}

    def promote(self, term: int) -> dict:
        """Become primary of the accepted term; a second call changes nothing."""
        if term != self.term:
            raise self._make_stale_term_error("another term is accepted")
        if self.role != PRIMARY:
            self._change_role(term, PRIMARY, None)
            entry = Entry(
                term=term, kind="promote", request_id="", changes={}, value=None
            )
            self.append(entry)
            self._promotion_position = self.position
        return {"term": term, "position": self._promotion_position}

    def follow(self, term: int, primary: Address) -> dict:
        """Follow `primary` under a term that is not below the accepted one."""
        if term < self.term:
            raise self._make_stale_term_error("a greater term is accepted")
        if (term, primary) != (self.term, self.primary):
            self._change_role(term, REPLICA, primary)
        return {"term": term}

    def _change_role(self, term: int, role: str, primary: Address | None) -> None:
        self.term = term
        self.role = role
        self.primary = primary
        self.generation += 1
        for transaction in self._transactions:
            transaction.aborted = True
        self._transactions.clear()
        self.condition.notify_all()

    def _make_stale_term_error(self, message: str) -> RefusedError:
        return RefusedError("stale_term", message, self.term)

    def check_primary(self, term: int) -> None:
        """Raise RefusedError unless this is the primary of `term`."""
        if self.role != PRIMARY:
            raise RefusedError("not_primary", "this instance is a replica", self.term)
        if term != self.term:
            raise self._make_stale_term_error("another term is accepted")

    # Slots

    def take_slot(self) -> None:
        """Take a slot or raise RefusedError."""
        if self.slots_used >= self.slots:
            raise RefusedError("busy", "all slots are taken")
        self.slots_used += 1

    def free_slot(self) -> None:
        """Release a slot."""
        self.slots_used -= 1

    # Statements

    def _log_end(self) -> dict:
        return {"log_term": self.log_term, "position": self.position}

    def read(self, statement: dict, transaction: Transaction | None) -> dict:
        """Answer a `get`, within the transaction if there is one."""
        if statement.get("verb") != "get":
            raise RefusedError("invalid_statement", "a read takes only 'get'")
        value = self._read_row(get_row_name(statement), transaction)
        return {"value": value, **self._log_end()}

    def _read_row(self, row: str, transaction: Transaction | None) -> Any:
        if transaction is None:
            return self.rows.get(row)
        if transaction.aborted:
            raise RefusedError("no_transaction", "the transaction was aborted")
        transaction.versions.setdefault(row, self._versions.get(row, 0))
        if row in transaction.changes:
            return transaction.changes[row]
        return self.rows.get(row)

    def write(
        self,
        term: int,
        statement: dict,
        request_id: str,
        transaction: Transaction | None,
    ) -> dict:
        """Run a write once for each request id, or buffer it in the transaction."""
        if transaction is not None:
            return self._buffer_write(term, statement, transaction)
        self.check_primary(term)
        recorded = self._find_recorded(request_id)
        if recorded is not None:
            value, duplicate = recorded["value"], True
        else:
            row = get_row_name(statement)
            value, new_value = compute_write(statement, self.rows.get(row))
            self._append_write(request_id, {row: new_value}, value)
            duplicate = False
        return {"value": value, "duplicate": duplicate, **self._log_end()}

    def _buffer_write(
        self, term: int, statement: dict, transaction: Transaction
    ) -> dict:
        row = get_row_name(statement)
        current = self._read_row(row, transaction)
        self.check_primary(term)
        value, transaction.changes[row] = compute_write(statement, current)
        return {"value": value, "duplicate": False, **self._log_end()}

    def _append_write(self, request_id: str, changes: dict, value: Any) -> None:
        entry = Entry(
            term=self.term,
            kind="write",
            request_id=request_id,
            changes=changes,
            value=value,
        )
        self.append(entry)

    def _find_recorded(self, request_id: str) -> Entry | None:
        index = self._index_by_request.get(request_id)
        if index is None:
            return None
        entry = self.entries[index]
        if entry["kind"] == "cancel":
            raise RefusedError("cancelled", "this request id was cancelled")
        return entry

    def settle(self, term: int, request_id: str) -> dict:
        """Return whether the request ran; if not, cancel it so that it never will."""
        self.check_primary(term)
        try:
            recorded = self._find_recorded(request_id)
        except RefusedError:
            return self._make_settle_answer("cancelled", None, True)
        if recorded is not None:
            return self._make_settle_answer("ran", recorded["value"], True)
        entry = Entry(
            term=self.term,
            kind="cancel",
            request_id=request_id,
            changes={},
            value=None,
        )
        self.append(entry)
        return self._make_settle_answer("cancelled", None, False)

    def _make_settle_answer(self, outcome: str, value: Any, duplicate: bool) -> dict:
        answer = {"outcome": outcome, "value": value, "duplicate": duplicate}
        return {**answer, **self._log_end()}

    # Transactions

    def begin(self, workspace: str, term: int) -> Transaction:
        """Return a new transaction."""
        self.check_primary(term)
        transaction = Transaction(workspace)
        self._transactions.add(transaction)
        return transaction

    def commit(
        self, term: int, request_id: str, transaction: Transaction | None
    ) -> dict:
        """Apply the transaction's changes atomically, or raise RefusedError."""
        self.check_primary(term)
        recorded = self._find_recorded(request_id)
        if recorded is None:
            self._apply(request_id, transaction)
        return {"duplicate": recorded is not None, **self._log_end()}

    def _apply(self, request_id: str, transaction: Transaction | None) -> None:
        if transaction is None or transaction.aborted:
            raise RefusedError("no_transaction", "no transaction is open")
        for row, version in transaction.versions.items():
            if self._versions.get(row, 0) != version:
                raise RefusedError("conflict", f"row {row!r} was changed meanwhile")
        self._append_write(request_id, transaction.changes, None)

    def discard_transaction(self, transaction: Transaction | None) -> None:
        """Remove a transaction that has ended."""
        if transaction is not None:
            self._transactions.discard(transaction)
