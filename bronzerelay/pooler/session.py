"""One caller's session: its connection, its state and its open transaction."""

import contextlib
import math
from typing import Any, NamedTuple

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.execution import Job
from bronzerelay.pooler.fleetconfig import (
    FleetConfig,
    Regions,
    Route,
    intersect_regions,
)
from bronzerelay.pooler.fleetrates import FleetRates
from bronzerelay.pooler.lines import LINE_TIMEOUT_MS, LineReader
from bronzerelay.pooler.messages import (
    Answer,
    LineCodec,
    Malformed,
    Position,
    Prepared,
    Startup,
    Statement,
    Terminate,
    TransactionState,
    Verb,
)
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.refusals import (
    refuse_fault,
    refuse_lost_transaction,
    refuse_stopping,
)
from bronzerelay.pooler.runner import SLOT_WAIT_FRACTION, Runner, TransactionLink
from bronzerelay.pooler.texts import shorten
from bronzerelay.runtime import Connection, Runtime, Signal

# The most session values, and the most prepared names, of one session. More are refused
# to bound its memory.
MAX_SESSION_NAMES = 500
# The most bytes of texts that one session may keep: its database and key, its names,
# values and shapes. All sessions of a daemon together keep about 60 MB at most, and
# the values fit into one frame with a statement that is passed on.
MAX_SESSION_BYTES = 64 * 1024
# The longest text of a refusal, in characters. It may repeat what the caller has sent,
# or what an instance has answered.
MAX_REFUSAL_LENGTH = 600
# How long sending an answer to a slow caller may take, in milliseconds.
SEND_TIMEOUT_MS = 5_000
# How long a session must be idle before it is closed while the daemon stops, in
# milliseconds. Callers pause for less than that within a burst of operations.
DRAIN_IDLE_MS = 250
# A caller that has begun an operation sooner than this after the one before, in
# milliseconds, may send the next one before it sees that its session is closed.
MIN_PAUSE_MS = 10
# How long a closed session waits for its caller to close it too, in milliseconds.
LINGER_MS = 200
# How long a new session waits for the configuration of a daemon that has just started,
# in milliseconds. It is usually loaded about 20 ms after the start, and a refused
# caller would have to retry at another daemon. If it takes longer than this, the store
# is unavailable and other daemons can serve the caller better.
FIRST_CONFIG_MS = 300
FIRST_CONFIG_POLL_MS = 10
# The fraction of an operation's latency objective that it may wait until the rate of
# its workspace admits it. The rest is left for the instance; an operation that would
# have to wait longer is refused with a time to retry.
RATE_WAIT_FRACTION = 0.2
# The refusals of statements that got no slot. Their log line tells what waits.
SLOT_REFUSALS = (Code.QUEUE_FULL, Code.DEADLINE_PASSED)
# The workspace under which instances see callers of public routes whose key is unknown.
ANONYMOUS_WORKSPACE = "public"


class StopSignals(NamedTuple):
    """The phases of a daemon's stop; each signal is set when its phase begins."""

    # Sessions that have been idle for a moment are closed.
    stopping: Signal
    # Sessions are closed after their next answer, as far as their callers can see that
    # before they send another statement.
    closing: Signal
    # Nothing new is sent to instances; what runs there is answered.
    ended: Signal


class Services(NamedTuple):
    """The components that all sessions of a daemon share."""

    runtime: Runtime
    codec: LineCodec
    directory: Directory
    rates: FleetRates
    guard: PrimaryGuard
    runner: Runner
    counters: Counters
    log: EventLog
    stop: StopSignals


class Transaction:
    """An open transaction; it has a link from its first statement on.

    BEGIN is sent to an instance only when the first statement comes. Otherwise a caller
    that pauses after BEGIN would occupy one of the few connections of an instance.
    """

    def __init__(self, route: Route, workspace: str, read_only: bool):
        self.route = route
        self.workspace = workspace
        self.read_only = read_only
        self.link: TransactionLink | None = None
        self.wrote = False
        self.failure: Refusal | None = None


class Reply(NamedTuple):
    """The answer or refusal for the caller, and the position to report with it."""

    outcome: Answer | Refusal
    position: Position | None = None


class CallerSession:
    """Serves one caller's connection in one task, from its first line to its end."""

    def __init__(self, services: Services, connection: Connection):
        self._services = services
        self._clock = services.runtime.clock
        self._codec = services.codec
        self._connection = connection
        self._reader = LineReader(connection, self._clock)
        self._key = ""
        self._database = ""
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepared] = {}
        # How many bytes of the caller's texts the session keeps.
        self._kept_bytes = 0
        self._own_commits: dict[str, Position] = {}
        self._transaction: Transaction | None = None
        # When the last statement's answer was sent, if it ended an operation.
        self._operation_ended_ms: float | None = None
        # The shortest time between two operations.
        self._shortest_pause_ms = math.inf

    # The connection

    def run(self) -> None:
        """Serve the caller until it leaves, fails to start, or has to reconnect."""
        try:
            if self._start():
                while self._serve_one():
                    pass
                if self._services.stop.stopping.is_set:
                    self._linger()
        except (OSError, UnicodeDecodeError) as error:
            self._services.log.write_request(
                "session", "A caller's connection ended.", error=str(error)
            )
        finally:
            self._roll_back_transaction()
            self._connection.close()

    def _roll_back_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.link is not None:
            self._services.runner.roll_back(transaction.link)

    def _read_message(self, started: bool) -> Any:
        line = self._reader.read_line(self._clock.now_ms() + LINE_TIMEOUT_MS)
        return self._codec.decode_caller(line, started)

    def _send(self, data: bytes) -> None:
        self._connection.set_timeout(SEND_TIMEOUT_MS)
        self._connection.send(data)

    def _encode_refusal(self, refusal: Refusal) -> bytes:
        message = shorten(refusal.message, MAX_REFUSAL_LENGTH)
        return self._codec.encode_refusal(refusal._replace(message=message))

    def _linger(self) -> None:
        """Let the caller receive the last answer before the connection is closed.

        Closing a connection with unread bytes resets it, and the answer could be lost.
        """
        with contextlib.suppress(OSError):
            self._connection.finish_sending()
            self._connection.wait_readable(LINGER_MS)

    def _start(self) -> bool:
        message = self._read_message(False)
        if not isinstance(message, Startup):
            self._send(self._encode_refusal(_refuse_protocol("no STARTUP")))
            return False
        self._kept_bytes = _count_bytes(message.database, message.key)
        if self._kept_bytes > MAX_SESSION_BYTES:
            refusal = _refuse_protocol("the database and the key are too long")
            self._send(self._encode_refusal(refusal))
            return False
        self._database, self._key = message.database, message.key
        self._wait_for_config()
        admitted = self._admit()
        if isinstance(admitted, Refusal):
            self._count_refusal("startup", "-", "", admitted, 0)
            self._send(self._encode_refusal(admitted))
            return False
        self._send(self._codec.encode_ready(TransactionState.IDLE, None))
        return True

    def _wait_for_config(self) -> None:
        runtime = self._services.runtime
        until_ms = self._clock.now_ms() + FIRST_CONFIG_MS
        while self._services.directory.config is None:
            if self._clock.now_ms() >= until_ms:
                return
            if not runtime.sleep_ms(FIRST_CONFIG_POLL_MS):
                return

    def _serve_one(self) -> bool:
        if not self._wait_for_statement():
            return False
        message = self._read_message(True)
        if isinstance(message, Terminate):
            return False
        self._operation_ended_ms = None
        if isinstance(message, Statement):
            reply = self._answer(message)
        else:
            reason = message.reason if isinstance(message, Malformed) else "unexpected"
            reply = Reply(_refuse_protocol(reason))
        self._send_reply(reply)
        return not (self._should_reconnect(reply) or self._should_close(reply))

    def _should_reconnect(self, reply: Reply) -> bool:
        """Return whether to close the connection so that the caller reconnects.

        A caller that keeps its session with an isolated daemon would use up its retries
        there. When it reconnects, the load balancer sends it to another daemon.
        """
        outcome = reply.outcome
        is_isolated = isinstance(outcome, Refusal) and outcome.code is Code.ISOLATED
        is_idle = self._transaction_state() is TransactionState.IDLE
        return is_isolated and is_idle and not self._reader.has_line()

    def _should_close(self, reply: Reply) -> bool:
        """Return whether to close the connection because the daemon is stopping.

        What the caller may have sent already is refused rather than cut, since it
        couldn't tell whether a statement has run that gets no answer.
        """
        stop = self._services.stop
        if not stop.closing.is_set or self._reader.has_line():
            return False
        if stop.ended.is_set and isinstance(reply.outcome, Refusal):
            return True
        has_ended = self._operation_ended_ms is not None
        return has_ended and self._shortest_pause_ms >= MIN_PAUSE_MS

    def _wait_for_statement(self) -> bool:
        """Wait for the next statement; return False when the session is to end.

        While the daemon stops, a session ends between two operations, so that no
        operation is interrupted when the caller reconnects to another daemon.
        """
        if self._reader.has_line():
            self._shortest_pause_ms = 0.0
            return True
        if not self._wait_readable():
            return False
        if self._operation_ended_ms is not None:
            pause_ms = self._clock.now_ms() - self._operation_ended_ms
            self._shortest_pause_ms = min(self._shortest_pause_ms, pause_ms)
        return True

    def _wait_readable(self) -> bool:
        if self._transaction is None:
            return self._wait_between_operations()
        config = self._services.directory.config
        idle_ms = config.idle_transaction_ms if config else None
        ended = self._services.stop.ended
        if self._connection.wait_readable(idle_ms, ended):
            return True
        if ended.is_set:
            return self._connection.wait_readable(DRAIN_IDLE_MS)
        self._end_idle_transaction()
        return self._wait_between_operations()

    def _wait_between_operations(self) -> bool:
        """Wait for an operation; return False when the session should be closed.

        A session that was used recently is likely to be used again soon, and a
        statement sent while this side closes the connection would be lost.
        """
        if self._connection.wait_readable(None, self._services.stop.stopping):
            return True
        return self._connection.wait_readable(DRAIN_IDLE_MS)

    def _end_idle_transaction(self) -> None:
        transaction = self._transaction
        if transaction is None or transaction.failure is not None:
            return
        self._services.log.write_request(
            "session",
            "An idle transaction was rolled back.",
            workspace=transaction.workspace,
            service=transaction.route.service,
        )
        self._fail_transaction(refuse_lost_transaction("it was idle for too long"))

    def _fail_transaction(self, refusal: Refusal) -> None:
        transaction = self._transaction
        if transaction is None:
            return
        transaction.failure = refusal
        link, transaction.link = transaction.link, None
        if link is not None:
            self._services.runner.roll_back(link)

    def _transaction_state(self) -> TransactionState:
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.failure is not None:
            return TransactionState.FAILED
        return TransactionState.OPEN

    def _send_reply(self, reply: Reply) -> None:
        state = self._transaction_state()
        if isinstance(reply.outcome, Refusal):
            data = self._encode_refusal(reply.outcome)
            data += self._codec.encode_ready(state, reply.position)
        else:
            data = self._codec.encode_answer(reply.outcome, state, reply.position)
        self._send(data)

    # Admission

    def _admit(self) -> tuple[Route, str] | Refusal:
        """Return the session's route and workspace in the current configuration.

        This is checked for each operation, since keys may be withdrawn while their
        sessions are open.
        """
        config = self._services.directory.config
        if config is None:
            message = "No configuration is in force yet."
            return Refusal(Code.NO_CONFIGURATION, message, NOT_RUN, 1000)
        route = config.routes.get(self._database)
        if route is None:
            message = f"No route leads to the database {self._database!r}."
            return Refusal(Code.GROUP_UNKNOWN, message, NOT_RUN)
        workspace = self._find_workspace(config, route)
        if workspace is None:
            message = "The key belongs to no workspace."
            return Refusal(Code.KEY_REJECTED, message, NOT_RUN)
        return route, workspace

    def _find_workspace(self, config: FleetConfig, route: Route) -> str | None:
        workspace = config.keys.get(self._key)
        if workspace is None and route.public:
            return ANONYMOUS_WORKSPACE
        return workspace

    def _apply_rate_limit(self, workspace: str, route: Route) -> Refusal | None:
        max_wait_ms = route.objective_ms * RATE_WAIT_FRACTION
        level = self._find_level(route)
        decision = self._services.rates.spend(workspace, max_wait_ms, level)
        if decision.admitted:
            if decision.wait_ms > 0:
                self._services.runtime.sleep_ms(decision.wait_ms)
            return None
        due = "above" if decision.is_above_due else "below"
        self._services.counters.count("rate_refusals", due=due)
        inputs = self._services.rates.describe(workspace)
        message = f"The workspace {workspace} is over its rate: {inputs}."
        return Refusal(Code.RATE_EXCEEDED, message, NOT_RUN, round(decision.wait_ms))

    # Statements

    def _answer(self, statement: Statement) -> Reply:
        local = self._answer_locally(statement)
        if local is not None:
            return local
        started_ms = self._clock.now_ms()
        has_ended = self._services.stop.ended.is_set
        if has_ended and statement.verb is not Verb.ROLLBACK:
            reply = self._refuse_stopping(statement.verb)
        elif self._transaction is not None:
            reply = self._continue_transaction(statement)
        else:
            reply = self._run_outside_transaction(statement)
        if isinstance(reply.outcome, Refusal):
            self._log_refusal(statement, reply.outcome, started_ms)
        else:
            took_ms = self._clock.now_ms() - started_ms
            self._services.counters.record_ms(self._database, took_ms)
        if self._transaction is None:
            self._operation_ended_ms = self._clock.now_ms()
        return reply

    def _refuse_stopping(self, verb: Verb) -> Reply:
        """Refuse a statement that may not end before the process does."""
        refusal = refuse_stopping()
        self._fail_transaction(refusal)
        return self._end_if_commit(verb, Reply(refusal))

    def _answer_locally(self, statement: Statement) -> Reply | None:
        """Answer a statement that needs no instance; return None for all others."""
        verb = statement.verb
        if self._transaction_state() is TransactionState.FAILED:
            if verb not in (Verb.COMMIT, Verb.ROLLBACK):
                return Reply(_refuse_protocol("the transaction has failed"))
            return self._end_failed_transaction(verb)
        if verb is Verb.SET:
            return self._store_name(self._values, statement.name, statement.value)
        if verb is Verb.PREPARE:
            return self._store_name(self._prepared, statement.name, statement.prepared)
        if verb is Verb.DEALLOCATE:
            self._kept_bytes -= _count_kept(self._prepared, statement.name)
            self._prepared.pop(statement.name, None)
            return Reply(Answer())
        return None

    def _store_name(self, table: dict[str, Any], name: str, value: Any) -> Reply:
        if name not in table and len(table) >= MAX_SESSION_NAMES:
            return Reply(_refuse_protocol(f"more than {MAX_SESSION_NAMES} names"))
        added = _count_kept({name: value}, name) - _count_kept(table, name)
        if self._kept_bytes + added > MAX_SESSION_BYTES:
            reason = f"the session would keep more than {MAX_SESSION_BYTES} bytes"
            return Reply(_refuse_protocol(reason))
        self._kept_bytes += added
        table[name] = value
        return Reply(Answer())

    def _end_failed_transaction(self, verb: Verb) -> Reply:
        transaction, self._transaction = self._transaction, None
        if verb is Verb.ROLLBACK:
            return Reply(Answer())
        refusal = transaction.failure if transaction else None
        if refusal is None or refusal.ran != NOT_RUN:
            refusal = refuse_lost_transaction("a statement of it failed")
        return Reply(refusal)

    def _run_outside_transaction(self, statement: Statement) -> Reply:
        verb = statement.verb
        if verb in (Verb.COMMIT, Verb.ROLLBACK):
            return Reply(_refuse_protocol("no transaction is open"))
        prepared = self._prepared.get(statement.name)
        if verb is Verb.EXECUTE and prepared is None:
            return Reply(_refuse_protocol(f"nothing is prepared as {statement.name}"))
        admitted = self._admit()
        if isinstance(admitted, Refusal):
            return Reply(admitted)
        route, workspace = admitted
        refusal = self._services.guard.refuse_if_isolated()
        refusal = refusal or self._apply_rate_limit(workspace, route)
        if refusal is not None:
            return Reply(refusal)
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            read_only = verb is Verb.BEGIN_READ_ONLY
            self._transaction = Transaction(route, workspace, read_only)
            return Reply(Answer())
        job = self._make_job(statement, route, workspace)
        own_commit = self._own_commits.get(route.service)
        outcome = self._services.runner.run_single(job, own_commit)
        if isinstance(outcome, Refusal) and outcome.ran == NOT_RUN:
            self._services.rates.refund(workspace)
        position = outcome.position if isinstance(outcome, Answer) else None
        if job.writes and position is not None:
            self._record_own_commit(route.service, position)
        return Reply(outcome, position)

    def _make_job(self, statement: Statement, route: Route, workspace: str) -> Job:
        now_ms = self._clock.now_ms()
        prepared = None
        if statement.verb is Verb.EXECUTE:
            prepared = self._prepared.get(statement.name)
        return Job(
            statement,
            route,
            workspace,
            self._values,
            prepared,
            now_ms + route.timeout_ms,
            now_ms + min(route.timeout_ms, route.objective_ms * SLOT_WAIT_FRACTION),
            self._find_regions(route, workspace),
            self._find_level(route),
        )

    def _find_level(self, route: Route | None) -> int:
        config = self._services.directory.config
        return config.find_level(route) if config and route else 0

    def _find_regions(self, route: Route, workspace: str) -> Regions:
        """Return the regions that both the route and the workspace allow."""
        config = self._services.directory.config
        known = config.workspaces.get(workspace) if config else None
        return intersect_regions(route.regions, known.regions if known else None)

    def _record_own_commit(self, service: str, position: Position) -> None:
        known = self._own_commits.get(service)
        self._own_commits[service] = max(known, position) if known else position

    # Transactions

    def _continue_transaction(self, statement: Statement) -> Reply:
        transaction = self._transaction
        assert transaction is not None
        verb = statement.verb
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            return Reply(_refuse_protocol("a transaction is open already"))
        if verb is Verb.ROLLBACK:
            self._roll_back_transaction()
            return Reply(Answer())
        admitted = self._admit()
        if isinstance(admitted, Refusal):
            self._fail_transaction(admitted)
            return Reply(admitted)
        _, workspace = admitted
        if workspace != transaction.workspace:
            # Its link was opened in the name of the workspace that had the key before.
            refusal = refuse_lost_transaction("its key was given to another workspace")
            self._fail_transaction(refusal)
            return self._end_if_commit(verb, Reply(refusal))
        if verb is Verb.EXECUTE and statement.name not in self._prepared:
            refusal = _refuse_protocol(f"nothing is prepared as {statement.name}")
            self._fail_transaction(refusal)
            return Reply(refusal)
        job = self._make_job(statement, transaction.route, transaction.workspace)
        refusal = self._open_transaction(transaction, job)
        if refusal is not None:
            self._services.rates.refund(transaction.workspace)
            self._fail_transaction(refusal)
            return self._end_if_commit(verb, Reply(refusal))
        return self._run_in_transaction(transaction, job)

    def _open_transaction(self, transaction: Transaction, job: Job) -> Refusal | None:
        """Open the transaction at an instance unless it is open there."""
        if transaction.link is not None:
            return None
        own_commit = self._own_commits.get(transaction.route.service)
        opened = self._services.runner.begin(job, transaction.read_only, own_commit)
        if isinstance(opened, Refusal):
            return opened
        transaction.link = opened
        return None

    def _run_in_transaction(self, transaction: Transaction, job: Job) -> Reply:
        link = transaction.link
        assert link is not None
        verb = job.statement.verb
        transaction.wrote = transaction.wrote or job.writes
        as_primary = not transaction.read_only
        outcome = self._services.runner.run_in_transaction(link, job, as_primary)
        if isinstance(outcome, Answer) and outcome.fault is None:
            if verb is Verb.COMMIT:
                self._finish_commit(transaction, outcome)
            return Reply(outcome, outcome.position)
        if isinstance(outcome, Answer):
            in_doubt = verb is Verb.COMMIT and transaction.wrote
            outcome = self._refuse_fault_in_transaction(outcome, in_doubt)
        self._fail_transaction(outcome)
        return self._end_if_commit(verb, Reply(outcome))

    def _refuse_fault_in_transaction(self, answer: Answer, in_doubt: bool) -> Refusal:
        refusal = refuse_fault(answer, in_doubt)
        # A transaction can't have committed before its commit was sent.
        if refusal.code is Code.OUTCOME_UNKNOWN and not in_doubt:
            return refuse_lost_transaction(answer.detail)
        return refusal

    def _finish_commit(self, transaction: Transaction, answer: Answer) -> None:
        if transaction.wrote and answer.position is not None:
            self._record_own_commit(transaction.route.service, answer.position)
        self._transaction = None
        if transaction.link is not None:
            self._services.runner.release_link(transaction.link)

    def _end_if_commit(self, verb: Verb, reply: Reply) -> Reply:
        """End the failed transaction if the statement was its commit."""
        if verb is Verb.COMMIT:
            self._transaction = None
        return reply

    # Logs and counters

    def _log_refusal(
        self, statement: Statement, refusal: Refusal, started_ms: float
    ) -> None:
        took_ms = self._clock.now_ms() - started_ms
        verb = statement.verb.name
        self._count_refusal("statement", statement.id, verb, refusal, took_ms)
        self._services.counters.record_ms("refused", took_ms)

    def _count_refusal(
        self, kind: str, request: str, verb: str, refusal: Refusal, took_ms: float
    ) -> None:
        directory = self._services.directory
        config = directory.config
        workspace = config.keys.get(self._key, "") if config else ""
        route = directory.find_route(self._database)
        service = route.service if route else ""
        primary = directory.find_primary(service)
        level = self._find_level(route)
        queue = {}
        if service and refusal.code in SLOT_REFUSALS:
            queue = self._services.runner.describe_wait(service, level)
        self._services.counters.count(
            "refusals", code=refusal.code.name.lower(), ran=refusal.ran
        )
        self._services.log.write_request(
            "session",
            "A caller was refused.",
            kind=kind,
            request=request,
            verb=verb,
            workspace=workspace,
            database=self._database,
            service=service,
            primary=primary.id if primary else "none",
            code=int(refusal.code),
            reason=refusal.code.name.lower(),
            ran=refusal.ran,
            detail=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            version=directory.version,
            level=level,
            waited_ms=round(took_ms, 1),
            **queue,
        )


def _count_bytes(*texts: str) -> int:
    return sum(len(text.encode()) for text in texts)


def _count_kept(table: dict[str, Any], name: str) -> int:
    """Return how many bytes of texts a table keeps for a name; 0 without it."""
    value = table.get(name)
    if value is None:
        return 0
    text = value.shape if isinstance(value, Prepared) else value
    return _count_bytes(name, text)


def _refuse_protocol(reason: str) -> Refusal:
    return Refusal(Code.INVALID_STATEMENT, f"Not understood: {reason}.", NOT_RUN)
