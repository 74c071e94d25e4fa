"""Transactions: each bound to one connection of one instance at one term."""

from collections import Counter
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.codes import NOT_RUN, Code, Refusal, refuse
from bronzerelay.dialect import CommitAnswer, EndpointError, EndpointLink
from bronzerelay.group import GroupServer
from bronzerelay.instances import LEND_TIMEOUT_MS
from bronzerelay.pool import ConnectionPool
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import advance_session, encode_session
from bronzerelay.types import Position, StatementAnswer
from bronzerelay.work import Work

# A transaction that nobody touches for this long is rolled back; it holds one of the
# few connections of an instance.
IDLE_MS = 10_000
# Where transactions take all the connections that they may, one that is idle for this
# long makes room for a new one. Callers that vanish would shut out all others else.
CROWDED_IDLE_MS = 1_000
SWEEP_MS = 500
# The part of an instance's connections that transactions may hold.
CONNECTION_PART = 0.4
ID_BYTES = 12
# Stands between the daemon's name and the transaction's number in its id.
MARK = "~"


def daemon_of(transaction: str) -> str:
    """Return the name of the daemon that holds the transaction; "" if malformed."""
    return transaction.rpartition(MARK)[0]


def name_commit(work: Work) -> Work:
    """Return `work` under the name that every commit of its transaction has.

    A caller that lost the answer to a commit sends it again, and only under the same
    name can anybody find out what became of the first.
    """
    token = work.request["transaction"]
    return work._replace(request_id=f"{work.workspace}{MARK}{token}")


def explain_commit(settled: Result[StatementAnswer, Refusal]) -> Result:
    """Return what a commit's caller is told after its outcome was found out."""
    if settled.is_ok() or settled.error.ran != NOT_RUN:
        return settled
    message = "The commit was lost before it ran, and nothing is kept."
    if settled.error.code == Code.IDEMPOTENCY_CONFLICT:
        message = f"{message} Its idempotency key is given up on."
    return Error(settled.error._replace(code=Code.TRANSACTION_LOST, message=message))


def refuse_unknown() -> Result:
    """Return the refusal of a request whose transaction is not open here."""
    message = "This daemon holds no such transaction of the workspace."
    return refuse(Code.TRANSACTION_UNKNOWN, message)


class Transaction(NamedTuple):
    """An open transaction; a lock keeps its statements one after the other."""

    id: str
    workspace: str
    group: GroupServer
    endpoint: str
    term: int
    link: EndpointLink
    pool: ConnectionPool
    lock: Any


class Transactions:
    """The open transactions of this daemon."""

    def __init__(self, runtime: Runtime, daemon: str, timeout_ms: int):
        self._runtime = runtime
        self._daemon = daemon
        self._timeout_ms = timeout_ms
        self._lock = runtime.make_lock()
        self._open: dict[str, Transaction] = {}
        self._touched_ms: dict[str, float] = {}

    def count(self) -> int:
        """Return how many transactions are open."""
        with self._lock:
            return len(self._open)

    def begin(self, group: GroupServer, work: Work) -> Result[StatementAnswer, Refusal]:
        """Open a transaction on the group's primary."""
        found = group.acquire_primary(work)
        if not found.is_ok():
            return found
        name, term = found.ok
        try:
            return self._begin_at(group, work, name, term)
        finally:
            group.components.slots.release(name)

    def _begin_at(
        self, group: GroupServer, work: Work, name: str, term: int
    ) -> Result[StatementAnswer, Refusal]:
        spec = next(one for one in group.spec.endpoints if one.name == name)
        limit = max(1, int(spec.connections * CONNECTION_PART))
        if self._count_at(name) >= limit and not self._make_room(name):
            message = f"{name} has as many open transactions as it may have."
            return refuse(Code.TRANSACTION_LIMIT, message, 500)
        pool = group.components.pools[name]
        lent = pool.lend(LEND_TIMEOUT_MS)
        if not lent.is_ok():
            message = f"No connection to {name}: {lent.error.message}."
            return refuse(Code.ENDPOINT_UNREACHABLE, message, 300)
        begun = lent.ok.begin(work.workspace, term, self._timeout_ms)
        if not begun.is_ok():
            lent.ok.close()
            pool.give_back(lent.ok)
            return refuse(Code.NO_PRIMARY, begun.error.message, 300)
        transaction = Transaction(
            f"{self._daemon}{MARK}{self._runtime.random.randbytes(ID_BYTES).hex()}",
            work.workspace,
            group,
            name,
            term,
            lent.ok,
            pool,
            self._runtime.make_lock(),
        )
        with self._lock:
            self._open[transaction.id] = transaction
            self._touched_ms[transaction.id] = self._runtime.clock.now_ms()
        return Ok({"transaction": transaction.id, "served_by": name})

    def _count_at(self, endpoint: str) -> int:
        with self._lock:
            return sum(one.endpoint == endpoint for one in self._open.values())

    def _make_room(self, endpoint: str) -> bool:
        """Roll back an idle transaction of the workspace that has most open there."""
        oldest_ms = self._runtime.clock.now_ms() - CROWDED_IDLE_MS
        with self._lock:
            here = [one for one in self._open.values() if one.endpoint == endpoint]
            idle = [one for one in here if self._touched_ms[one.id] < oldest_ms]
            touched_ms = dict(self._touched_ms)
        if not idle:
            return False
        held = Counter(one.workspace for one in here)
        chosen = max(idle, key=lambda one: (held[one.workspace], -touched_ms[one.id]))
        return self._end_idle(chosen, oldest_ms)

    def _end_idle(self, transaction: Transaction, limit_ms: float) -> bool:
        """End a transaction unless a request has touched it since `limit_ms`."""
        if not transaction.lock.acquire(blocking=False):
            return False
        try:
            with self._lock:
                if self._touched_ms.get(transaction.id, limit_ms) >= limit_ms:
                    return False
            self._end(transaction)
            return True
        finally:
            transaction.lock.release()

    def run(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a statement, a commit or a rollback of an open transaction."""
        transaction = self._find(work)
        if transaction is None:
            return refuse_unknown()
        action = work.request.get("action", "statement")
        with transaction.lock:
            # It may have ended while this request waited for the lock. Its link then
            # serves somebody else, whose work would mix with this statement.
            if not self._is_open(transaction):
                return refuse_unknown()
            if action == "commit":
                return self._commit(transaction, work)
            if action == "rollback":
                return self._roll_back(transaction)
            return self._run_statement(transaction, work)

    def _is_open(self, transaction: Transaction) -> bool:
        with self._lock:
            return transaction.id in self._open

    def _find(self, work: Work) -> Transaction | None:
        """Return the transaction if it is this workspace's own, in this group."""
        with self._lock:
            transaction = self._open.get(work.request["transaction"])
            if transaction is None or transaction.workspace != work.workspace:
                return None
            if transaction.group.spec.name != work.group:
                return None
            self._touched_ms[transaction.id] = self._runtime.clock.now_ms()
            return transaction

    def _run_statement(
        self, transaction: Transaction, work: Work
    ) -> Result[StatementAnswer, Refusal]:
        statement = work.request["statement"]
        held = self._hold_slot(transaction, work)
        if not held.is_ok():
            return held
        try:
            if statement["verb"] == "get":
                result = transaction.link.read(
                    work.workspace, statement, self._timeout_ms
                )
            else:
                result = transaction.link.write(
                    work.workspace, transaction.term, statement, "", self._timeout_ms
                )
        finally:
            transaction.group.components.slots.release(transaction.endpoint)
        if not result.is_ok():
            return self._fail(transaction, result.error)
        seen = Position(result.ok.log_term, result.ok.position)
        if seen < work.session.get(work.group, Position(0, 0)):
            # A primary that was replaced lacks what the session has written since,
            # and would not be able to commit.
            self._end(transaction)
            message = "The transaction is lost: its primary was replaced."
            return refuse(Code.TRANSACTION_LOST, message)
        return Ok(
            {
                "value": result.ok.value,
                "transaction": transaction.id,
                "served_by": transaction.endpoint,
                "role": "primary",
            }
        )

    def _hold_slot(self, transaction: Transaction, work: Work) -> Result:
        slots = transaction.group.components.slots
        return slots.acquire(work.workspace, (transaction.endpoint,), work.deadline_ms)

    def _fail(self, transaction: Transaction, error: EndpointError) -> Result:
        if error.kind == "invalid_statement":
            return refuse(Code.STATEMENT_FAILED, error.message)
        if error.kind == "busy":
            message = f"{transaction.endpoint} has no slot free."
            return refuse(Code.QUEUE_FULL, message, 50)
        # The connection or the term is gone, and the endpoint kept nothing.
        self._end(transaction)
        message = f"The transaction is lost: {error.message}."
        return refuse(Code.TRANSACTION_LOST, message)

    def _commit(
        self, transaction: Transaction, work: Work
    ) -> Result[StatementAnswer, Refusal]:
        held = self._hold_slot(transaction, work)
        if not held.is_ok():
            return held
        try:
            result = transaction.link.commit(
                transaction.term, work.write_id(1), self._timeout_ms
            )
        finally:
            transaction.group.components.slots.release(transaction.endpoint)
        if not result.is_ok() and result.error.kind == "busy":
            return refuse(Code.QUEUE_FULL, "The endpoint has no slot free.", 50)
        self._end(transaction)
        if result.is_ok():
            return self._finish_commit(transaction, work, result.ok)
        # Cancelled by whom, and whether for good, only a majority can tell.
        if result.error.may_have_run or result.error.kind == "cancelled":
            return self._settle_commit(transaction, work)
        message = f"Nothing was committed: {result.error.message}."
        return refuse(Code.TRANSACTION_LOST, message)

    def _finish_commit(
        self, transaction: Transaction, work: Work, answer: CommitAnswer
    ) -> Result[StatementAnswer, Refusal]:
        group = transaction.group
        at = Position(transaction.term, answer.position)
        if not group.wait_acknowledged(work, at):
            return self._settle_commit(transaction, work)
        session = advance_session(work.session, work.group, at)
        return Ok(
            {
                "session": encode_session(session),
                "served_by": transaction.endpoint,
                "role": "primary",
                "duplicate": answer.duplicate,
            }
        )

    def _settle_commit(
        self, transaction: Transaction, work: Work
    ) -> Result[StatementAnswer, Refusal]:
        """Find out what became of a commit; a cancelled one is a lost transaction."""
        # A commit can't be sent again, since its statements went with the connection.
        request = {**work.request, "repeatable": False}
        settled = transaction.group.settle(work._replace(request=request), 1)
        return explain_commit(settled)

    def _roll_back(self, transaction: Transaction) -> Result[StatementAnswer, Refusal]:
        transaction.link.rollback(self._timeout_ms)
        self._end(transaction)
        return Ok({"served_by": transaction.endpoint, "role": "primary"})

    def _end(self, transaction: Transaction) -> None:
        """Close the transaction, once; its link may be lent to others from then on."""
        with self._lock:
            if self._open.pop(transaction.id, None) is None:
                return
            self._touched_ms.pop(transaction.id, None)
        # The pool closes a link that is still inside the transaction, which ends
        # what is left of it at the endpoint.
        transaction.pool.give_back(transaction.link)

    def sweep(self) -> None:
        """Roll back idle transactions until the daemon stops."""
        while self._runtime.sleep_ms(SWEEP_MS):
            limit_ms = self._runtime.clock.now_ms() - IDLE_MS
            with self._lock:
                idle = [
                    transaction
                    for name, transaction in self._open.items()
                    if self._touched_ms[name] < limit_ms
                ]
            for transaction in idle:
                self._end_idle(transaction, limit_ms)
