"""Serves the statements that other daemons pass on to this one as a link holder."""

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.load.linkholders import Choice, Way
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.execution import Executor, Job, Target
from bronzerelay.pooler.fleetconfig import Consistency, InstanceEntry, Route
from bronzerelay.pooler.links import InstanceLink
from bronzerelay.pooler.messages import Answer, Fault, Statement, TransactionState, Verb
from bronzerelay.pooler.passing import (
    FrameReader,
    Kind,
    Outcome,
    Reply,
    Request,
    encode_frame,
    encode_reply,
    make_answer_reply,
    make_refusal_reply,
)
from bronzerelay.pooler.placement import ReadRequirement
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.refusals import NO_PRIMARY_RETRY_MS, refuse_lost_transaction
from bronzerelay.runtime import (
    Address,
    Connection,
    Listener,
    Runtime,
    Signal,
    TaskLimitError,
)

# The most connections of other daemons; each takes a task.
MAX_CONNECTIONS = 300
# How long the rest of a frame, and sending a reply, may take, in milliseconds.
FRAME_TIMEOUT_MS = 2_000
# How long a connection may be idle, in milliseconds; origins close them earlier.
IDLE_MS = 60_000
# A transaction that rests for this many times the idle limit of callers is rolled back:
# the origin would have ended it if it could reach this daemon.
REST_FACTOR = 3
DEFAULT_REST_MS = 10_000
ACCEPT_RETRY_MS = 50
# How long a transaction may stay open without a request once the process ends, in
# milliseconds. A statement of it may be on its way here.
LAST_REQUEST_MS = 250
# Refusals after which the origin is told to try again: the primary is being replaced.
REPLACED_CODES = (Code.PRIMARY_REPLACED,)
# Refusals that come from what this daemon lacks, so that the origin goes direct.
LACKING_CODES = (Code.NO_PRIMARY, Code.ISOLATED, Code.ENDPOINT_UNREACHABLE)


class PassingServer:
    """Accepts connections of other daemons and runs what they pass on."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        directory: Directory,
        executor: Executor,
        guard: PrimaryGuard,
        log: EventLog,
        ended: Signal,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._directory = directory
        self._executor = executor
        self._guard = guard
        self._log = log
        self._ended = ended
        self._lock = runtime.make_lock()
        self._listener: Listener = runtime.listen(address)
        self._sessions: set[PassedSession] = set()
        self.is_stopping = False

    def count_sessions(self) -> int:
        """Return the number of connections of other daemons."""
        return len(self._sessions)

    def count_busy(self) -> int:
        """Return how many connections have a call in progress or a transaction."""
        return sum(session.is_busy for session in list(self._sessions))

    def run(self) -> None:
        """Accept connections until the daemon has ended."""
        while self._listener.wait_readable(self._ended):
            try:
                connection = self._listener.accept()
            except OSError as error:
                if self._runtime.stopping:
                    return
                self._log.write("passing", "Accepting failed.", error=str(error))
                self._runtime.sleep_ms(ACCEPT_RETRY_MS)
                continue
            self._admit(connection)
        self._listener.close()

    def _admit(self, connection: Connection) -> None:
        """Serve a connection in a task of its own, or refuse it in its first frame."""
        session = PassedSession(self, connection)
        if len(self._sessions) >= MAX_CONNECTIONS:
            self._refuse(connection, "it serves too many daemons already")
            return
        with self._lock:
            self._sessions.add(session)
        try:
            self._runtime.start(self._run_session, session)
        except TaskLimitError as error:
            self._remove(session)
            self._refuse(connection, str(error))

    def _refuse(self, connection: Connection, reason: str) -> None:
        self._log.write_request("passing", "A daemon was refused.", reason=reason)
        try:
            connection.set_timeout(FRAME_TIMEOUT_MS)
            connection.send(encode_frame(Reply(Outcome.ELSEWHERE, detail=reason)))
        except OSError:
            # The origin sees the end of the connection.
            pass
        finally:
            connection.close()

    def _run_session(self, session: "PassedSession") -> None:
        try:
            session.run(self._ended)
        except (OSError, ValueError) as error:
            self._log.write_request(
                "passing", "A daemon's connection has ended.", error=str(error)
            )
        finally:
            session.close()
            self._remove(session)

    def _remove(self, session: "PassedSession") -> None:
        with self._lock:
            self._sessions.discard(session)

    # Requests

    def has_ended(self) -> bool:
        """Return whether the process is about to end, so that nothing new may run."""
        return self._ended.is_set

    def find_rest_ms(self) -> float:
        """Return how long a passed-on transaction may rest."""
        config = self._directory.config
        return config.idle_transaction_ms * REST_FACTOR if config else DEFAULT_REST_MS

    def find_instance(self, request: Request) -> InstanceEntry | str:
        """Return the instance that a request is for, or why it isn't served here."""
        entry = self._directory.instances.get(request.instance)
        if self._directory.config is None:
            return "it has no configuration yet"
        if entry is None or entry.born_ms != request.born_ms:
            return "it doesn't know this run of the instance"
        if not self._executor.holds_links(entry):
            return "it doesn't hold the instance's links"
        if self._directory.is_closed(entry):
            return "the instance is evacuated"
        return entry

    def make_job(self, request: Request, service: str, workspace: str) -> Job:
        """Return the job for a request that has just arrived."""
        now_ms = self._clock.now_ms()
        prepared = request.find_prepared()
        # What the caller's route requires was settled by the origin.
        route = Route("", service, Consistency.PRIMARY, 0, 0, 0, False)
        statement = Statement(
            request.id, Verb(request.verb), request.text, arguments=request.text
        )
        return Job(
            statement,
            route,
            workspace,
            request.values,
            prepared,
            now_ms + request.left_ms,
            now_ms + request.slot_left_ms,
            None,
            request.level,
        )

    def run_single(self, request: Request) -> Reply:
        """Run a single statement."""
        entry = self.find_instance(request)
        if isinstance(entry, str):
            return Reply(Outcome.ELSEWHERE, detail=entry)
        job = self.make_job(request, entry.service, request.workspace)
        target = self._make_target(request, entry)
        refusal = self._check(entry, target)
        if refusal is not None:
            return self._reply_refusal(refusal, entry)
        outcome = self._executor.run_single(job, target)
        if isinstance(outcome, Refusal):
            return self._reply_refusal(outcome, entry)
        if not job.writes and self._may_have_diverged(entry):
            return self._complete(Reply(Outcome.REPLACED), entry)
        return self._reply_answer(outcome[0], entry)

    def begin(self, request: Request) -> tuple[Reply, InstanceLink | None]:
        """Open a transaction; also return its link if it is open."""
        entry = self.find_instance(request)
        if isinstance(entry, str):
            return Reply(Outcome.ELSEWHERE, detail=entry), None
        job = self.make_job(request, entry.service, request.workspace)
        target = self._make_target(request, entry)
        refusal = self._check(entry, target)
        if refusal is not None:
            return self._reply_refusal(refusal, entry), None
        read_only = request.kind == Kind.BEGIN_READ_ONLY
        outcome = self._executor.begin(job, read_only, target)
        if isinstance(outcome, Refusal):
            return self._reply_refusal(outcome, entry), None
        if isinstance(outcome, InstanceLink):
            answer = Answer(state=TransactionState.OPEN)
            return self._reply_answer(answer, entry), outcome
        return self._reply_answer(outcome[0], entry), None

    def run_in_transaction(
        self, link: InstanceLink, request: Request, as_primary: bool
    ) -> Reply:
        """Run a statement, or the commit, in an open transaction."""
        entry = link.entry
        job = self.make_job(request, entry.service, link.workspace)
        outcome = self._executor.run_in_transaction(link, job, as_primary)
        if isinstance(outcome, Refusal):
            return self._complete(make_refusal_reply(outcome), entry)
        return self._reply_answer(outcome, entry)

    def roll_back(self, link: InstanceLink) -> Reply:
        """Roll a transaction back."""
        self._executor.roll_back(link)
        return self._complete(Reply(), link.entry)

    def release(self, link: InstanceLink) -> None:
        """Release the link of a transaction that has ended."""
        self._executor.release_link(link)

    def _make_target(self, request: Request, entry: InstanceEntry) -> Target:
        requirement = ReadRequirement(request.floor, bool(request.needs_primary))
        return Target((entry.id,), requirement, Choice(Way.SERVED))

    def _check(self, entry: InstanceEntry, target: Target) -> Refusal | None:
        """Return why a statement isn't even queued: it could only be refused later.

        An instance that doesn't respond to this daemon may respond to the origin.
        """
        if self._executor.is_unresponsive(entry.id):
            return Refusal(
                Code.ENDPOINT_UNREACHABLE,
                "The instance doesn't respond.",
                NOT_RUN,
                NO_PRIMARY_RETRY_MS,
            )
        if not self._executor.is_used_as_primary(
            entry.service, entry.id, target.requirement
        ):
            return _refuse_diverged() if self._may_have_diverged(entry) else None
        return self._guard.check_use(entry.service, entry.id)

    def _may_have_diverged(self, entry: InstanceEntry) -> bool:
        """Return whether an instance claims to be the primary, and isn't.

        The origin may know less of a primary change and take it for the primary; a read
        there could see commits that are rolled back.
        """
        known = self._directory.instances.get(entry.id, entry)
        primary = self._directory.find_primary(entry.service)
        return known.claims_primary and (primary is None or primary.id != entry.id)

    def _reply_refusal(self, refusal: Refusal, entry: InstanceEntry) -> Reply:
        """Return the reply to a statement that wasn't sent to the instance."""
        if refusal.code in REPLACED_CODES:
            return self._complete(Reply(Outcome.REPLACED), entry)
        if refusal.code in LACKING_CODES:
            reply = Reply(Outcome.ELSEWHERE, detail=refusal.message)
            return self._complete(reply, entry)
        return self._complete(make_refusal_reply(refusal), entry)

    def _reply_answer(self, answer: Answer, entry: InstanceEntry) -> Reply:
        if answer.fault is Fault.UNREACHABLE:
            reply = Reply(Outcome.ELSEWHERE, detail=answer.detail)
        else:
            is_lost = answer.fault in (Fault.LOST, Fault.TIMED_OUT)
            # An answer also counts as lost if the primary may have been replaced.
            is_silent = is_lost and self._executor.is_failing(entry)
            reply = make_answer_reply(answer, is_silent)
        return self._complete(reply, entry)

    def _complete(self, reply: Reply, entry: InstanceEntry) -> Reply:
        queue = self._executor.queue_of(entry.service)
        reply.wait_ms = round(queue.estimate_endpoint_wait(entry.id))
        reply.is_stopping = int(self.is_stopping)
        return reply


def _refuse_diverged() -> Refusal:
    message = "The instance isn't the primary, though it claims to be."
    return Refusal(Code.PRIMARY_REPLACED, message, NOT_RUN, NO_PRIMARY_RETRY_MS)


class PassedSession:
    """One connection of another daemon, and the transaction that is open on it."""

    def __init__(self, server: PassingServer, connection: Connection):
        self._server = server
        self._connection = connection
        self._link: InstanceLink | None = None
        self._as_primary = False
        self._in_call = False

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in progress or a transaction open."""
        return self._in_call or self._link is not None

    def run(self, ended: Signal) -> None:
        """Serve requests until the connection ends or the daemon has ended."""
        clock = self._server._clock
        reader = FrameReader(self._connection, clock, Request)
        self._send(Reply())
        arrived_ms = clock.now_ms()
        while reader.has_data() or self._wait(ended):
            if not reader.has_data():
                arrived_ms = clock.now_ms()
            request = reader.read(clock.now_ms() + FRAME_TIMEOUT_MS)
            # A statement that came along with BEGIN has waited for it.
            waited_ms = int(clock.now_ms() - arrived_ms)
            request.left_ms = max(0, request.left_ms - waited_ms)
            self._in_call = True
            self._send(self._answer(request))
            self._in_call = False

    def _wait(self, ended: Signal) -> bool:
        idle_ms = IDLE_MS if self._link is None else self._server.find_rest_ms()
        if self._connection.wait_readable(idle_ms, ended):
            return True
        is_last = ended.is_set and self._link is not None
        return is_last and self._connection.wait_readable(LAST_REQUEST_MS)

    def _send(self, reply: Reply) -> None:
        self._connection.set_timeout(FRAME_TIMEOUT_MS)
        self._connection.send(encode_reply(reply))

    def _answer(self, request: Request) -> Reply:
        if self._server.has_ended() and request.kind != Kind.ROLLBACK:
            return self._refuse_stopping()
        if request.kind == Kind.SINGLE:
            if self._link is not None:
                raise ValueError("a transaction is open")
            return self._server.run_single(request)
        if request.kind in (Kind.BEGIN, Kind.BEGIN_READ_ONLY):
            return self._begin(request)
        if self._link is None:
            return make_refusal_reply(refuse_lost_transaction("it isn't open"))
        if request.kind == Kind.ROLLBACK:
            link, self._link = self._link, None
            return self._server.roll_back(link)
        return self._run_in_transaction(self._link, request)

    def _refuse_stopping(self) -> Reply:
        """Refuse a request that may not end before the process does."""
        link, self._link = self._link, None
        if link is None:
            return Reply(Outcome.ELSEWHERE, detail="it is stopping")
        self._server.roll_back(link)
        return make_refusal_reply(refuse_lost_transaction("its holder is stopping"))

    def _begin(self, request: Request) -> Reply:
        if self._link is not None:
            raise ValueError("a transaction is open already")
        reply, self._link = self._server.begin(request)
        self._as_primary = request.kind == Kind.BEGIN
        return reply

    def _run_in_transaction(self, link: InstanceLink, request: Request) -> Reply:
        reply = self._server.run_in_transaction(link, request, self._as_primary)
        # As after a commit; the origin sends a rollback in all other cases.
        if not link.usable or not link.in_transaction:
            self._link = None
            self._server.release(link)
        return reply

    def close(self) -> None:
        """Roll an open transaction back and close the connection."""
        link, self._link = self._link, None
        if link is not None:
            self._server.roll_back(link)
        self._connection.close()
