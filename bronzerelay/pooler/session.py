"""One caller's session: a connection, what it has set, and its open transaction."""

from typing import Any, NamedTuple

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import FleetConfig, Route
from bronzerelay.pooler.fleetrates import FleetRates
from bronzerelay.pooler.lines import LINE_TIMEOUT_MS, LineReader
from bronzerelay.pooler.links import InstanceLink
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
from bronzerelay.pooler.refusals import lose_transaction, refuse_fault
from bronzerelay.pooler.runner import SLOT_WAIT_PART, Job, Runner
from bronzerelay.runtime import Connection, Runtime, Signal

# Values and prepared names of one session; more are refused to bound its memory.
STATE_LIMIT = 500
# How long a caller may take to read an answer, in milliseconds.
SEND_TIMEOUT_MS = 5_000
# While the daemon stops, a session that is silent for this long ends. Milliseconds;
# longer than a caller pauses within a burst of operations.
QUIET_MS = 250
# How long a caller waits for the first configuration of a daemon that has just started,
# in milliseconds. It is there some 20 after the start, and a caller that is refused has
# to try elsewhere; where it isn't there by then, the store is out and others do better.
FIRST_CONFIG_MS = 300
FIRST_CONFIG_POLL_MS = 10
# The part of an operation's latency objective that it may wait until its workspace's
# rate allows it. The rest is for the instance; who would wait longer comes back.
RATE_WAIT_PART = 0.2
# Who a caller of a public route without a key of its own is to the instances.
ANONYMOUS = "public"


class Services(NamedTuple):
    """What every session of a daemon works with."""

    runtime: Runtime
    codec: LineCodec
    directory: Directory
    rates: FleetRates
    guard: PrimaryGuard
    runner: Runner
    counters: Counters
    log: EventLog
    stopping: Signal


class Transaction:
    """An open transaction; the link is there from its first statement on.

    A caller that opens a transaction and thinks would hold one of the few connections
    of an instance for nothing, so that BEGIN is sent together with what follows.
    """

    def __init__(self, route: Route, workspace: str, read_only: bool):
        self.route = route
        self.workspace = workspace
        self.read_only = read_only
        self.link: InstanceLink | None = None
        self.wrote = False
        self.failed: Refusal | None = None


class Reply(NamedTuple):
    """What the caller is told, and where its session stands then."""

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
        self._own_commits: dict[str, Position] = {}
        self._transaction: Transaction | None = None

    # The connection

    def run(self) -> None:
        """Serve the caller until it leaves, breaks the protocol or must move on."""
        try:
            if self._start():
                while self._serve_one():
                    pass
        except (OSError, UnicodeDecodeError) as error:
            self._services.log.write_request(
                "session", "A caller's connection ended.", error=str(error)
            )
        finally:
            self._abandon()
            self._connection.close()

    def _abandon(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.link is not None:
            self._services.runner.roll_back(transaction.link)

    def _read_message(self, started: bool) -> Any:
        line = self._reader.read_line(self._clock.now_ms() + LINE_TIMEOUT_MS)
        return self._codec.decode_caller(line, started)

    def _send(self, data: bytes) -> None:
        self._connection.set_timeout(SEND_TIMEOUT_MS)
        self._connection.send(data)

    def _start(self) -> bool:
        message = self._read_message(False)
        if not isinstance(message, Startup):
            self._send(self._codec.encode_refusal(_refuse_protocol("no STARTUP")))
            return False
        self._database, self._key = message.database, message.key
        self._wait_for_config()
        admitted = self._admit()
        if isinstance(admitted, Refusal):
            self._count_refusal("startup", "-", "", admitted)
            self._send(self._codec.encode_refusal(admitted))
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
        if isinstance(message, Statement):
            reply = self._answer(message)
        else:
            reason = message.reason if isinstance(message, Malformed) else "unexpected"
            reply = Reply(_refuse_protocol(reason))
        self._send_reply(reply)
        return not self._should_move(reply)

    def _should_move(self, reply: Reply) -> bool:
        """Return whether the caller does better to connect again.

        A long session would come back to a daemon that is cut off for as long as the
        cut lasts, and use up its retries there. The balancer sends it elsewhere.
        """
        outcome = reply.outcome
        is_isolated = isinstance(outcome, Refusal) and outcome.code is Code.ISOLATED
        is_idle = self._state() is TransactionState.IDLE
        return is_isolated and is_idle and not self._reader.has_line()

    def _wait_for_statement(self) -> bool:
        """Wait for the caller; return False when the session is to end.

        While the daemon stops, a session ends between two operations: the caller
        connects again elsewhere and nothing of it is cut.
        """
        if self._reader.has_line():
            return True
        if self._transaction is None:
            return self._wait_between_operations()
        config = self._services.directory.config
        idle_ms = config.idle_transaction_ms if config else None
        if not self._connection.wait_readable(idle_ms):
            self._end_idle_transaction()
            return self._wait_between_operations()
        return True

    def _wait_between_operations(self) -> bool:
        """Wait for an operation; return False when the caller should move on.

        A session that was used a moment ago is likely to be used again, and what the
        caller sends while this side closes would be lost on its way.
        """
        if self._connection.wait_readable(None, self._services.stopping):
            return True
        return self._connection.wait_readable(QUIET_MS)

    def _end_idle_transaction(self) -> None:
        transaction = self._transaction
        if transaction is None or transaction.failed is not None:
            return
        self._services.log.write_request(
            "session",
            "An idle transaction was ended.",
            workspace=transaction.workspace,
            service=transaction.route.service,
        )
        self._fail(lose_transaction("it was idle for too long"))

    def _fail(self, refusal: Refusal) -> None:
        transaction = self._transaction
        if transaction is None:
            return
        transaction.failed = refusal
        link, transaction.link = transaction.link, None
        if link is not None:
            self._services.runner.roll_back(link)

    def _state(self) -> TransactionState:
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.failed is not None:
            return TransactionState.FAILED
        return TransactionState.OPEN

    def _send_reply(self, reply: Reply) -> None:
        state = self._state()
        if isinstance(reply.outcome, Refusal):
            data = self._codec.encode_refusal(reply.outcome)
            data += self._codec.encode_ready(state, reply.position)
        else:
            data = self._codec.encode_answer(reply.outcome, state, reply.position)
        self._send(data)

    # Admission

    def _admit(self) -> tuple[Route, str] | Refusal:
        """Return the session's route and workspace by the configuration in force.

        Keys are withdrawn while sessions stand open, so that each operation asks.
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
            return ANONYMOUS
        return workspace

    def _spend(self, workspace: str, route: Route) -> Refusal | None:
        patience_ms = route.objective_ms * RATE_WAIT_PART
        grant = self._services.rates.spend(workspace, patience_ms)
        if grant.admitted:
            if grant.wait_ms > 0:
                self._services.runtime.sleep_ms(grant.wait_ms)
            return None
        inputs = self._services.rates.describe(workspace)
        message = f"The workspace {workspace} is over its rate: {inputs}."
        return Refusal(Code.RATE_EXCEEDED, message, NOT_RUN, round(grant.wait_ms))

    # Statements

    def _answer(self, statement: Statement) -> Reply:
        local = self._answer_locally(statement)
        if local is not None:
            return local
        started_ms = self._clock.now_ms()
        if self._transaction is not None:
            reply = self._continue(statement)
        else:
            reply = self._run_alone(statement)
        if isinstance(reply.outcome, Refusal):
            self._log_refusal(statement, reply.outcome, started_ms)
        else:
            took_ms = self._clock.now_ms() - started_ms
            self._services.counters.record_ms(self._database, took_ms)
        return reply

    def _answer_locally(self, statement: Statement) -> Reply | None:
        """Answer what concerns the session alone; return None for all else."""
        verb = statement.verb
        if self._state() is TransactionState.FAILED:
            if verb not in (Verb.COMMIT, Verb.ROLLBACK):
                return Reply(_refuse_protocol("the transaction has failed"))
            return self._end_failed(verb)
        if verb is Verb.SET:
            return self._keep(self._values, statement.name, statement.value)
        if verb is Verb.PREPARE:
            return self._keep(self._prepared, statement.name, statement.prepared)
        if verb is Verb.DEALLOCATE:
            self._prepared.pop(statement.name, None)
            return Reply(Answer())
        return None

    def _keep(self, table: dict[str, Any], name: str, value: Any) -> Reply:
        if name not in table and len(table) >= STATE_LIMIT:
            return Reply(_refuse_protocol(f"more than {STATE_LIMIT} names"))
        table[name] = value
        return Reply(Answer())

    def _end_failed(self, verb: Verb) -> Reply:
        transaction, self._transaction = self._transaction, None
        if verb is Verb.ROLLBACK:
            return Reply(Answer())
        refusal = transaction.failed if transaction else None
        if refusal is None or refusal.ran != NOT_RUN:
            refusal = lose_transaction("a statement of it failed")
        return Reply(refusal)

    def _run_alone(self, statement: Statement) -> Reply:
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
        refusal = refusal or self._spend(workspace, route)
        if refusal is not None:
            return Reply(refusal)
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            read_only = verb is Verb.BEGIN_READ_ONLY
            self._transaction = Transaction(route, workspace, read_only)
            return Reply(Answer())
        job = self._make_job(statement, route, workspace)
        own = self._own_commits.get(route.service)
        outcome = self._services.runner.run_single(job, own)
        if isinstance(outcome, Refusal) and outcome.ran == NOT_RUN:
            self._services.rates.give_back(workspace)
        position = outcome.position if isinstance(outcome, Answer) else None
        if job.writes and position is not None:
            self._note_commit(route.service, position)
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
            now_ms + min(route.timeout_ms, route.objective_ms * SLOT_WAIT_PART),
        )

    def _note_commit(self, service: str, position: Position) -> None:
        known = self._own_commits.get(service)
        self._own_commits[service] = max(known, position) if known else position

    # Transactions

    def _continue(self, statement: Statement) -> Reply:
        transaction = self._transaction
        assert transaction is not None
        verb = statement.verb
        if verb in (Verb.BEGIN, Verb.BEGIN_READ_ONLY):
            return Reply(_refuse_protocol("a transaction is open already"))
        if verb is Verb.ROLLBACK:
            self._abandon()
            return Reply(Answer())
        admitted = self._admit()
        if isinstance(admitted, Refusal):
            self._fail(admitted)
            return Reply(admitted)
        if verb is Verb.EXECUTE and statement.name not in self._prepared:
            refusal = _refuse_protocol(f"nothing is prepared as {statement.name}")
            self._fail(refusal)
            return Reply(refusal)
        job = self._make_job(statement, transaction.route, transaction.workspace)
        refusal = self._open(transaction, job)
        if refusal is not None:
            self._services.rates.give_back(transaction.workspace)
            self._fail(refusal)
            return self._end_with_commit(verb, Reply(refusal))
        return self._run_inside(transaction, job)

    def _open(self, transaction: Transaction, job: Job) -> Refusal | None:
        """Open the transaction at an instance unless it is open there."""
        if transaction.link is not None:
            return None
        own = self._own_commits.get(transaction.route.service)
        began = self._services.runner.begin(job, transaction.read_only, own)
        if isinstance(began, Refusal):
            return began
        transaction.link = began
        return None

    def _run_inside(self, transaction: Transaction, job: Job) -> Reply:
        link = transaction.link
        assert link is not None
        verb = job.statement.verb
        transaction.wrote = transaction.wrote or job.writes
        as_primary = not transaction.read_only
        outcome = self._services.runner.run_inside(link, job, as_primary)
        if isinstance(outcome, Answer) and outcome.fault is None:
            if verb is Verb.COMMIT:
                self._finish(transaction, outcome)
            return Reply(outcome, outcome.position)
        if isinstance(outcome, Answer):
            in_doubt = verb is Verb.COMMIT and transaction.wrote
            outcome = self._describe_fault(outcome, in_doubt)
        self._fail(outcome)
        return self._end_with_commit(verb, Reply(outcome))

    def _describe_fault(self, answer: Answer, in_doubt: bool) -> Refusal:
        refusal = refuse_fault(answer, in_doubt)
        # Before its commit was sent nothing of a transaction can be kept.
        if refusal.code is Code.OUTCOME_UNKNOWN and not in_doubt:
            return lose_transaction(answer.detail)
        return refusal

    def _finish(self, transaction: Transaction, answer: Answer) -> None:
        if transaction.wrote and answer.position is not None:
            self._note_commit(transaction.route.service, answer.position)
        self._transaction = None
        if transaction.link is not None:
            self._services.runner.end(transaction.link)

    def _end_with_commit(self, verb: Verb, reply: Reply) -> Reply:
        """End a failed transaction at once when it was the commit that failed."""
        if verb is Verb.COMMIT:
            self._transaction = None
        return reply

    # Records

    def _log_refusal(
        self, statement: Statement, refusal: Refusal, started_ms: float
    ) -> None:
        took_ms = self._clock.now_ms() - started_ms
        self._count_refusal("statement", statement.id, statement.verb.name, refusal)
        self._services.counters.record_ms("refused", took_ms)

    def _count_refusal(
        self, kind: str, request: str, verb: str, refusal: Refusal
    ) -> None:
        directory = self._services.directory
        config = directory.config
        workspace = config.keys.get(self._key, "") if config else ""
        route = directory.find_route(self._database)
        service = route.service if route else ""
        leader = directory.find_primary(service)
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
            primary=leader.id if leader else "none",
            code=int(refusal.code),
            reason=refusal.code.name.lower(),
            ran=refusal.ran,
            detail=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            version=directory.version,
        )


def _refuse_protocol(reason: str) -> Refusal:
    return Refusal(Code.INVALID_STATEMENT, f"Not understood: {reason}.", NOT_RUN)
