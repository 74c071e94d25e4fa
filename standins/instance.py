"""The state of one database instance: its log, rows, term and transactions."""

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
    """An entry of the log; a row that changes to None is deleted."""

    term: int
    kind: Literal["promote", "write", "cancel"]
    request_id: str
    changes: dict[str, Any]
    value: Any


class Undo(NamedTuple):
    """What a row held before an entry changed it."""

    row: str
    value: Any
    version: int


class Execution(NamedTuple):
    """One attempt to run something, for the record; `time_ms` is steady time."""

    time_ms: float
    op: str
    workspace: str
    request_id: str
    term: int
    outcome: str


class Transaction:
    """An open transaction; it keeps its changes until the commit."""

    def __init__(self, workspace: str):
        self.workspace = workspace
        self.versions: dict[str, int] = {}
        self.changes: dict[str, Any] = {}
        self.aborted = False


def name_row(statement: dict) -> str:
    """Return the row that a statement names."""
    row = statement.get("row")
    if not isinstance(row, str):
        raise RefusedError("invalid_statement", "'row' must be a string")
    return row


def compute(statement: dict, current: Any) -> tuple[Any, Any]:
    """Return what a writing statement answers and what its row holds afterwards."""
    match statement:
        case {"verb": "put", "value": value}:
            return value, value
        case {"verb": "add", "amount": int() | float() as amount}:
            if not isinstance(current, int | float | None):
                raise RefusedError("invalid_statement", "the row holds no number")
            total = (current or 0) + amount
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
        # Grows with each change of term, role or primary: what a pull brings is
        # dropped when it was asked for under an earlier generation.
        self.generation = 0
        self.primary: Address | None = None
        self.entries: list[Entry] = []
        self.rows: dict[str, Any] = {}
        self.executions: list[Execution] = []
        self._undo: list[list[Undo]] = []
        self._written_ms: list[float] = []
        self._versions: dict[str, int] = {}
        self._by_request: dict[str, int] = {}
        self._promoted_at = 0
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
        """Add an entry to the log and change the rows as it says."""
        undo = []
        self.entries.append(entry)
        for row, value in entry["changes"].items():
            undo.append(Undo(row, self.rows.get(row), self._versions.get(row, 0)))
            self._set_row(row, value, self.position)
        self._undo.append(undo)
        self._written_ms.append(self.clock.now_ms())
        if entry["request_id"]:
            self._by_request[entry["request_id"]] = self.position - 1
        self.condition.notify_all()

    def cut_log(self, position: int) -> None:
        """Drop the entries after `position` and undo what they changed."""
        while self.position > position:
            entry = self.entries.pop()
            self._written_ms.pop()
            for row, value, version in self._undo.pop():
                self._set_row(row, value, version)
            self._by_request.pop(entry["request_id"], None)
        self.condition.notify_all()

    def _set_row(self, row: str, value: Any, version: int) -> None:
        self._versions[row] = version
        if value is None:
            self.rows.pop(row, None)
        else:
            self.rows[row] = value

    def find_rewind(self, log_term: int, position: int) -> int | None:
        """Return where a follower should cut its log, or None when it matches.

        No entry of the follower after that place can be in this log: terms never
        fall along a log, and from there on this log's terms are higher.
        """
        if position == 0:
            return None
        common = min(position, self.position)
        if common == position and self.entries[position - 1]["term"] == log_term:
            return None
        by_term = itemgetter("term")
        place = bisect_right(self.entries, log_term, hi=common, key=by_term)
        return min(place, position - 1)

    def list_due(self, position: int, lag_ms: float) -> tuple[list[Entry], float]:
        """Return the entries after `position` old enough, and the wait for more.

        The wait is in milliseconds, 0 when nothing further is in the log.
        """
        end = position
        stop = min(self.position, position + PULL_ENTRIES)
        limit_ms = self.clock.now_ms() - lag_ms
        while end < stop and self._written_ms[end] <= limit_ms:
            end += 1
        wait_ms = self._written_ms[end] - limit_ms if end < self.position else 0
        return self.entries[position:end], wait_ms

    # Terms

    def show_status(self) -> dict:
        """Return what `status` answers."""
        return {
            "term": self.term,
            "role": self.role,
            "log_term": self.log_term,
            "position": self.position,
        }

    def fence(self, term: int) -> dict:
        """Accept a greater term; stop being primary and following."""
        if term <= self.term:
            raise self._stale("a term as great was accepted before")
        self._change_role(term, REPLICA, None)
        return {"term": term, "log_term": self.log_term, "position": self.position}

    def promote(self, term: int) -> dict:
        """Become primary of the accepted term; a second call changes nothing."""
        if term != self.term:
            raise self._stale("another term is accepted")
        if self.role != PRIMARY:
            self._change_role(term, PRIMARY, None)
            entry = Entry(
                term=term, kind="promote", request_id="", changes={}, value=None
            )
            self.append(entry)
            self._promoted_at = self.position
        return {"term": term, "position": self._promoted_at}

    def follow(self, term: int, primary: Address) -> dict:
        """Follow `primary` under a term not below the accepted one."""
        if term < self.term:
            raise self._stale("a greater term is accepted")
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

    def _stale(self, message: str) -> RefusedError:
        return RefusedError("stale_term", message, self.term)

    def check_primary(self, term: int) -> None:
        """Raise RefusedError unless this is the primary of `term`."""
        if self.role != PRIMARY:
            raise RefusedError("not_primary", "this instance is a replica", self.term)
        if term != self.term:
            raise self._stale("another term is accepted")

    # Slots

    def take_slot(self) -> None:
        """Take a slot or raise RefusedError."""
        if self.slots_used >= self.slots:
            raise RefusedError("busy", "all slots are taken")
        self.slots_used += 1

    def free_slot(self) -> None:
        """Give a slot back."""
        self.slots_used -= 1

    # Statements

    def _end_of_log(self) -> dict:
        return {"log_term": self.log_term, "position": self.position}

    def read(self, statement: dict, transaction: Transaction | None) -> dict:
        """Answer a `get`, within the transaction if there is one."""
        if statement.get("verb") != "get":
            raise RefusedError("invalid_statement", "a read takes only 'get'")
        value = self._read_row(name_row(statement), transaction)
        return {"value": value, **self._end_of_log()}

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
        """Run a writing statement once, or hold it in the transaction."""
        if transaction is not None:
            return self._hold(term, statement, transaction)
        self.check_primary(term)
        recorded = self._find_recorded(request_id)
        if recorded is not None:
            value, duplicate = recorded["value"], True
        else:
            row = name_row(statement)
            value, new_value = compute(statement, self.rows.get(row))
            self._append_write(request_id, {row: new_value}, value)
            duplicate = False
        return {"value": value, "duplicate": duplicate, **self._end_of_log()}

    def _hold(self, term: int, statement: dict, transaction: Transaction) -> dict:
        row = name_row(statement)
        current = self._read_row(row, transaction)
        self.check_primary(term)
        value, transaction.changes[row] = compute(statement, current)
        return {"value": value, "duplicate": False, **self._end_of_log()}

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
        place = self._by_request.get(request_id)
        if place is None:
            return None
        entry = self.entries[place]
        if entry["kind"] == "cancel":
            raise RefusedError("cancelled", "this request id was cancelled")
        return entry

    def settle(self, term: int, request_id: str) -> dict:
        """Say whether the request ran; when it didn't, see that it never will."""
        self.check_primary(term)
        try:
            recorded = self._find_recorded(request_id)
        except RefusedError:
            return self._settled("cancelled", None, True)
        if recorded is not None:
            return self._settled("ran", recorded["value"], True)
        entry = Entry(
            term=self.term,
            kind="cancel",
            request_id=request_id,
            changes={},
            value=None,
        )
        self.append(entry)
        return self._settled("cancelled", None, False)

    def _settled(self, outcome: str, value: Any, duplicate: bool) -> dict:
        answer = {"outcome": outcome, "value": value, "duplicate": duplicate}
        return {**answer, **self._end_of_log()}

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
        """Apply the transaction's changes all together, or raise RefusedError."""
        self.check_primary(term)
        recorded = self._find_recorded(request_id)
        if recorded is None:
            self._apply(request_id, transaction)
        return {"duplicate": recorded is not None, **self._end_of_log()}

    def _apply(self, request_id: str, transaction: Transaction | None) -> None:
        if transaction is None or transaction.aborted:
            raise RefusedError("no_transaction", "no transaction is open")
        for row, version in transaction.versions.items():
            if self._versions.get(row, 0) != version:
                raise RefusedError("conflict", f"row {row!r} was changed meanwhile")
        self._append_write(request_id, transaction.changes, None)

    def drop(self, transaction: Transaction | None) -> None:
        """Forget a transaction that has ended."""
        if transaction is not None:
            self._transactions.discard(transaction)
