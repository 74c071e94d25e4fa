"""Transactions: each runs on one connection to one instance, within one term."""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay import logs
from bronzerelay.codes import NOT_RUN, Code, Refusal, refuse
from bronzerelay.dialect import CommitAnswer, EndpointError, EndpointLink
from bronzerelay.group import GroupServer
from bronzerelay.instances import LEND_TIMEOUT_MS, run_in_slot
from bronzerelay.pool import ConnectionPool
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import advance_session, encode_session
from bronzerelay.types import Position, StatementAnswer
from bronzerelay.work import Work

# A transaction that gets no request for this long is rolled back, since it occupies
# one of the few connections to an instance.
IDLE_MS = 10_000
# When open transactions use all the connections that they may, one that has been idle
# for this long is rolled back for a new one. Otherwise callers that vanished would
# block all others until `IDLE_MS`.
CROWDED_IDLE_MS = 1_000
SWEEP_MS = 500
# The fraction of an instance's connections that transactions may hold.
CONNECTION_FRACTION = 0.4
ID_BYTES = 12
# Separates the daemon's name from the random part of a transaction's id.
ID_MARK = "~"


def holder_of(transaction: str) -> str:
    """Return the name of the daemon that holds the transaction; "" if malformed."""
    return transaction.rpartition(ID_MARK)[0]


def with_commit_id(work: Work) -> Work:
    """Return `work` with the request id shared by all commits of its transaction.

    A caller that lost the answer to a commit sends it again. Only with the same id
    can the outcome of the first commit be determined.
    """
    token = work.request["transaction"]
    return work._replace(request_id=f"{work.workspace}{ID_MARK}{token}")


def explain_lost_commit(settled: Result[StatementAnswer, Refusal]) -> Result:
    """Return the answer for the caller of a commit whose outcome was settled."""
    if settled.is_ok() or settled.error.ran != NOT_RUN:
        return settled
    message = "The commit was lost before it ran, and nothing is kept."
    if settled.error.code == Code.IDEMPOTENCY_CONFLICT:
        message = f"{message} Its idempotency key is given up on."
    return Error(settled.error._replace(code=Code.TRANSACTION_LOST, message=message))


def refuse_unknown_transaction() -> Result:
    """Return the refusal for a request whose transaction isn't open here."""
    message = "This daemon holds no such transaction of the workspace."
    return refuse(Code.TRANSACTION_UNKNOWN, message)


class Transaction(NamedTuple):
    """An open transaction; its lock serializes its statements."""

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
        self._used_at_ms: dict[str, float] = {}
        self._log = logs.open_log("transactions")

    def count(self) -> int:
        """Return how many transactions are open."""
        with self._lock:
            return len(self._open)

    def begin(self, group: GroupServer, work: Work) -> Result[StatementAnswer, Refusal]:
        """Open a transaction on the group's primary."""
        acquired = group.acquire_primary(work)
        if not acquired.is_ok():
            return acquired
        name, term = acquired.ok
        try:
            return self._begin_at(group, work, name, term)
        finally:
            group.components.slots.release(name)

    def _begin_at(
        self, group: GroupServer, work: Work, name: str, term: int
    ) -> Result[StatementAnswer, Refusal]:
        spec = next(
            endpoint for endpoint in group.spec.endpoints if endpoint.name == name
        )
        limit = max(1, int(spec.connections * CONNECTION_FRACTION))
        if self._count_at(name) >= limit and not self._evict_idle(name):
            message = f"{name} has as many open transactions as it may have."
            return refuse(Code.TRANSACTION_LIMIT, message, 500)
        pool = group.components.pools[name]
        lent = pool.lend(LEND_TIMEOUT_MS)
        if not lent.is_ok():
            message = f"No connection to {name}: {lent.error.message}."
            return refuse(Code.ENDPOINT_UNREACHABLE, message, 300)
        opened = lent.ok.begin(work.workspace, term, self._timeout_ms)
        if not opened.is_ok():
            lent.ok.close()
            pool.give_back(lent.ok)
            return refuse(Code.NO_PRIMARY, opened.error.message, 300)
        transaction = Transaction(
            f"{self._daemon}{ID_MARK}{self._runtime.random.randbytes(ID_BYTES).hex()}",
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
            self._used_at_ms[transaction.id] = self._runtime.clock.now_ms()
        return Ok({"transaction": transaction.id, "served_by": name})

    def _count_at(self, endpoint: str) -> int:
        with self._lock:
            return sum(item.endpoint == endpoint for item in self._open.values())

    def _evict_idle(self, endpoint: str) -> bool:
        """Roll back an idle transaction of the workspace with the most open ones.

        Return whether one was rolled back.
        """
        oldest_ms = self._runtime.clock.now_ms() - CROWDED_IDLE_MS
        with self._lock:
            here = [item for item in self._open.values() if item.endpoint == endpoint]
            idle = [item for item in here if self._used_at_ms[item.id] < oldest_ms]
            used_at_ms = dict(self._used_at_ms)
        if not idle:
            return False
        open_counts = Counter(item.workspace for item in here)
        victim = max(
            idle, key=lambda item: (open_counts[item.workspace], -used_at_ms[item.id])
        )
        return self._end_idle(victim, oldest_ms)

    def _end_idle(self, transaction: Transaction, limit_ms: float) -> bool:
        """End a transaction unless a request has used it since `limit_ms`."""
        if not transaction.lock.acquire(blocking=False):
            return False
        try:
            with self._lock:
                if self._used_at_ms.get(transaction.id, limit_ms) >= limit_ms:
                    return False
            self._end(transaction)
            return True
        finally:
            transaction.lock.release()

    def _report_lost(self, transaction: Transaction, work: Work, reason: str) -> None:
        """Log why a transaction ended without a commit or a rollback.

        The endpoint's message is left out, as it may name a row.
        """
        extra = {
            "request_id": work.trace_id,
            "workspace": work.workspace,
            "group": work.group,
            "endpoint": transaction.endpoint,
            "term": transaction.term,
            "action": work.request.get("action", "statement"),
            "reason": reason,
        }
        self._log.info("A transaction was lost.", extra=extra)

    def run(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a statement, a commit or a rollback of an open transaction."""
        transaction = self._find(work)
        if transaction is None:
            return refuse_unknown_transaction()
        action = work.request.get("action", "statement")
        with transaction.lock:
            # The transaction may have ended while this request waited for the lock.
            # Its connection may then serve another caller, and this statement would
            # run within that caller's work.
            if not self._is_open(transaction):
                return refuse_unknown_transaction()
            if action == "commit":
                return self._commit(transaction, work)
            if action == "rollback":
                return self._roll_back(transaction)
            return self._run_statement(transaction, work)

    def _is_open(self, transaction: Transaction) -> bool:
        with self._lock:
            return transaction.id in self._open

    def _find(self, work: Work) -> Transaction | None:
        """Return the transaction if it belongs to this workspace and group."""
        with self._lock:
            transaction = self._open.get(work.request["transaction"])
            if transaction is None or transaction.workspace != work.workspace:
                return None
            if transaction.group.spec.name != work.group:
                return None
            self._used_at_ms[transaction.id] = self._runtime.clock.now_ms()
            return transaction

    def _run_statement(
        self, transaction: Transaction, work: Work
    ) -> Result[StatementAnswer, Refusal]:
        statement = work.request["statement"]
        acquired = self._acquire_slot(transaction, work)
        if not acquired.is_ok():
            return acquired
        link, workspace = transaction.link, work.workspace
        if statement["verb"] == "get":
            result = self._run_in_slot(
                transaction, lambda: link.read(workspace, statement, self._timeout_ms)
            )
        else:
            result = self._run_in_slot(
                transaction,
                lambda: link.write(
                    workspace, transaction.term, statement, "", self._timeout_ms
                ),
            )
        if not result.is_ok():
            return self._handle_failure(transaction, work, result.error)
        seen = Position(result.ok.log_term, result.ok.position)
        if seen < work.session.get(work.group, Position(0, 0)):
            # A replaced primary lacks the session's later writes, and couldn't
            # commit.
            self._end(transaction)
            self._report_lost(transaction, work, "behind")
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

    def _acquire_slot(self, transaction: Transaction, work: Work) -> Result:
        slots = transaction.group.components.slots
        return slots.acquire(work.workspace, (transaction.endpoint,), work.deadline_ms)

    def _run_in_slot(
        self, transaction: Transaction, call: Callable[[], Result]
    ) -> Result:
        slots = transaction.group.components.slots
        return run_in_slot(self._runtime, slots, transaction.endpoint, call)

    def _handle_failure(
        self, transaction: Transaction, work: Work, error: EndpointError
    ) -> Result:
        if error.kind == "invalid_statement":
            return refuse(Code.STATEMENT_FAILED, error.message)
        if error.kind == "busy":
            message = f"{transaction.endpoint} has no slot free."
            return refuse(Code.QUEUE_FULL, message, 50)
        # The connection broke or the term ended, and the endpoint rolled back.
        self._end(transaction)
        self._report_lost(transaction, work, error.kind)
        message = f"The transaction is lost: {error.message}."
        return refuse(Code.TRANSACTION_LOST, message)

    def _commit(
        self, transaction: Transaction, work: Work
    ) -> Result[StatementAnswer, Refusal]:
        acquired = self._acquire_slot(transaction, work)
        if not acquired.is_ok():
            return acquired
        result = self._run_in_slot(
            transaction,
            lambda: transaction.link.commit(
                transaction.term, work.write_id(1), self._timeout_ms
            ),
        )
        if not result.is_ok() and result.error.kind == "busy":
            return refuse(Code.QUEUE_FULL, "The endpoint has no slot free.", 50)
        self._end(transaction)
        if result.is_ok():
            return self._finish_commit(transaction, work, result.ok)
        # Only a majority of the instances can tell whether a cancelled commit stays
        # cancelled.
        if result.error.may_have_run or result.error.kind == "cancelled":
            return self._settle_commit(transaction, work)
        self._report_lost(transaction, work, result.error.kind)
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
        """Determine a commit's outcome; a cancelled one is a lost transaction."""
        # A commit can't be sent again: its statements were lost with the connection.
        request = {**work.request, "repeatable": False}
        settled = transaction.group.settle(work._replace(request=request), 1)
        return explain_lost_commit(settled)

    def _roll_back(self, transaction: Transaction) -> Result[StatementAnswer, Refusal]:
        transaction.link.rollback(self._timeout_ms)
        self._end(transaction)
        return Ok({"served_by": transaction.endpoint, "role": "primary"})

    def _end(self, transaction: Transaction) -> None:
        """Close the transaction; do nothing if it was closed before.

        Afterwards its connection may serve other callers.
        """
        with self._lock:
            if self._open.pop(transaction.id, None) is None:
                return
            self._used_at_ms.pop(transaction.id, None)
        # The pool closes a connection that is still inside the transaction, so that
        # the endpoint rolls the transaction back.
        transaction.pool.give_back(transaction.link)

    def sweep(self) -> None:
        """Roll back idle transactions until the daemon stops."""
        while self._runtime.sleep_ms(SWEEP_MS):
            limit_ms = self._runtime.clock.now_ms() - IDLE_MS
            with self._lock:
                idle = [
                    transaction
                    for transaction_id, transaction in self._open.items()
                    if self._used_at_ms[transaction_id] < limit_ms
                ]
            for transaction in idle:
                self._end_idle(transaction, limit_ms)
