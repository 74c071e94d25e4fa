"""Passes statements on to link holders, over connections that are kept for a while."""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.codes import Refusal
from bronzerelay.load.linkholders import LinkHolders
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.execution import Job
from bronzerelay.pooler.fleetconfig import InstanceEntry
from bronzerelay.pooler.messages import Answer, Fault, Position, TransactionState
from bronzerelay.pooler.passing import (
    MAX_REPLY_BYTES,
    FrameReader,
    Kind,
    Outcome,
    Reply,
    Request,
    encode_frame,
)
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.refusals import refuse_lost_transaction
from bronzerelay.runtime import Address, Clock, Connection, Runtime

# How long connecting to a holder, and its first frame, may take, in milliseconds. A
# frozen holder's kernel still accepts connections.
CONNECT_TIMEOUT_MS = 150
GREETING_TIMEOUT_MS = 150
# How much longer than the statement the origin waits, in milliseconds: the holder's own
# timeout has to arrive.
ANSWER_GRACE_MS = 40
# Idle connections that are kept for each holder, and for how long, in milliseconds.
KEPT_CONNECTIONS = 2
KEPT_MS = 20_000


class NotTaken(NamedTuple):
    """A holder didn't take a statement, which hasn't run, for this reason."""

    reason: str


class Replaced(NamedTuple):
    """A holder didn't send a statement, as the primary is being replaced."""


# What became of a statement that was passed on.
PassedOutcome = Answer | Refusal | NotTaken | Replaced


class PassingError(Exception):
    """A holder can't be reached; nothing was sent."""


class HolderConnection:
    """A connection to a holder, used by one task at a time."""

    def __init__(
        self, connection: Connection, clock: Clock, holder: str, address: Address
    ):
        self.connection = connection
        self.reader = FrameReader(connection, clock, Reply, MAX_REPLY_BYTES)
        self.holder = holder
        self.address = address
        self.idle_since_ms = 0.0
        self.usable = True

    def close(self) -> None:
        """Close the connection; the holder rolls back an open transaction."""
        if self.usable:
            self.usable = False
            self.connection.close()


class PassedLink:
    """An open transaction at a holder; it has what a session needs of a link."""

    def __init__(self, connection: HolderConnection, entry: InstanceEntry):
        self.connection = connection
        self.entry = entry
        self.in_transaction = True
        # The job that was sent together with BEGIN, until its reply is read, and when.
        self.sent: Job | None = None
        self.sent_at_ms = 0.0

    @property
    def usable(self) -> bool:
        """Return whether the connection to the holder is open."""
        return self.connection.usable

    def is_open(self) -> bool:
        """Return whether the holder hasn't ended it, as far as is known."""
        return self.usable and self.connection.connection.is_quiet()

    def close(self) -> None:
        """End the transaction by closing the connection."""
        self.connection.close()


class PassingClient:
    """Sends statements to holders and notes what it sees of them."""

    def __init__(
        self,
        runtime: Runtime,
        holders: LinkHolders,
        find_address: Callable[[str], Address | None],
        placement: Placement,
        counters: Counters,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._holders = holders
        self._find_address = find_address
        self._placement = placement
        self._counters = counters
        self._log = log
        self._lock = runtime.make_lock()
        self._idle: dict[str, list[HolderConnection]] = {}

    # Statements

    def run_single(
        self, job: Job, entry: InstanceEntry, holder: str, request: Request
    ) -> PassedOutcome:
        """Pass a single statement on and return what became of it."""
        connection = self._acquire(holder)
        if isinstance(connection, NotTaken):
            return connection
        data = encode_frame(request)
        outcome = self._exchange(
            connection,
            data,
            entry,
            job.deadline_ms,
            job.route.objective_ms,
            may_repeat=not job.writes,
        )
        self._release(connection)
        return outcome

    def begin(
        self,
        job: Job,
        entry: InstanceEntry,
        holder: str,
        request: Request,
        first: Request,
    ) -> PassedOutcome | PassedLink:
        """Open a transaction at a holder; return its link if it is open.

        The job's statement, `first`, is sent along, which spares a round trip; it runs
        only inside the transaction. `run_in_transaction` reads its reply.
        """
        connection = self._acquire(holder)
        if isinstance(connection, NotTaken):
            return connection
        sent_at_ms = self._clock.now_ms()
        data = encode_frame(request) + encode_frame(first)
        outcome = self._exchange(
            connection, data, entry, job.deadline_ms, job.route.objective_ms
        )
        if isinstance(outcome, Answer) and outcome.state is TransactionState.OPEN:
            link = PassedLink(connection, entry)
            link.sent, link.sent_at_ms = job, sent_at_ms
            return link
        if isinstance(outcome, Answer) and not connection.usable:
            # The holder may still run the statement, and then rolls it back. If it were
            # sent again, it could run in two transactions.
            return refuse_lost_transaction(outcome.detail)
        self._skip_reply(connection)
        self._release(connection)
        return outcome

    def _skip_reply(self, connection: HolderConnection) -> None:
        """Read the refusal of a statement whose transaction wasn't opened."""
        if not connection.usable:
            return
        try:
            reply = connection.reader.read(self._clock.now_ms() + GREETING_TIMEOUT_MS)
        except (OSError, ValueError):
            connection.close()
            return
        if reply.outcome != Outcome.REFUSED:
            connection.close()

    def run_in_transaction(
        self, link: PassedLink, job: Job, request: Request
    ) -> PassedOutcome:
        """Run a statement, or the commit, of an open transaction."""
        if link.sent is job:
            # The instance may have run it before now, so the time of sending counts
            # for what the answer tells of the instance.
            data, sent_at_ms = b"", link.sent_at_ms
        else:
            data, sent_at_ms = encode_frame(request), None
        link.sent = None
        outcome = self._exchange(
            link.connection,
            data,
            link.entry,
            job.deadline_ms,
            job.route.objective_ms,
            sent_at_ms=sent_at_ms,
        )
        is_idle = isinstance(outcome, Answer) and outcome.state is TransactionState.IDLE
        link.in_transaction = not is_idle
        return outcome

    def end(self, link: PassedLink, timeout_ms: float) -> None:
        """Roll the transaction back unless it has ended, and release the connection."""
        if link.sent is not None:
            link.close()
        if link.usable and link.in_transaction:
            deadline_ms = self._clock.now_ms() + timeout_ms
            data = encode_frame(Request(Kind.ROLLBACK, left_ms=round(timeout_ms)))
            # The reply tells nothing of the instance, which may not have been asked.
            call = self._holders.begin_call(link.connection.holder)
            reply = self._call(link.connection, data, deadline_ms, None)
            self._holders.end_call(call, isinstance(reply, Reply))
        self._release(link.connection)

    def _exchange(
        self,
        connection: HolderConnection,
        data: bytes,
        entry: InstanceEntry,
        deadline_ms: float,
        objective_ms: float = 0,
        may_repeat: bool = False,
        sent_at_ms: float | None = None,
    ) -> PassedOutcome:
        """Send a request, unless it was sent before, and return what became of it.

        A request that `may_repeat` is given up once the holder is silent.
        """
        holder = connection.holder
        call = self._holders.begin_call(holder)
        answered = False
        patience_ms = call.view.patience_ms if may_repeat else None
        try:
            reply = self._call(connection, data, deadline_ms, patience_ms)
            answered = isinstance(reply, Reply)
        finally:
            is_used_again = self._holders.end_call(call, answered)
        if is_used_again:
            self._log.write_request("passing", "A holder is used again.", holder=holder)
        if isinstance(reply, Reply):
            sent_at_ms = call.began_ms if sent_at_ms is None else sent_at_ms
            return self._read_reply(holder, reply, entry, sent_at_ms, objective_ms)
        fault = reply.fault.name.lower() if reply.fault else ""
        self._counters.count("passes", outcome=fault)
        self._close_idle(holder)
        self._avoid(holder, "", reply.detail)
        return reply

    def _call(
        self,
        connection: HolderConnection,
        data: bytes,
        deadline_ms: float,
        patience_ms: float | None,
    ) -> Reply | Answer:
        """Return the holder's reply, or the fault if the outcome isn't known."""
        holder = connection.holder
        try:
            left_ms = deadline_ms - self._clock.now_ms()
            connection.connection.set_timeout(max(1.0, left_ms))
            # Part of the frame may arrive even if sending fails.
            if data:
                connection.connection.send(data)
            return self._read_patiently(connection, deadline_ms, patience_ms)
        except TimeoutError:
            connection.close()
            has_time = self._clock.now_ms() < deadline_ms
            fault = Fault.LOST if has_time else Fault.TIMED_OUT
            return Answer(fault=fault, detail=f"no answer from {holder}")
        except (OSError, ValueError) as error:
            connection.close()
            detail = f"the connection to {holder} has ended: {error}"
            return Answer(fault=Fault.LOST, detail=detail)

    def _read_patiently(
        self,
        connection: HolderConnection,
        deadline_ms: float,
        patience_ms: float | None,
    ) -> Reply:
        """Return the reply; raise TimeoutError once the holder is silent, if it may."""
        last_ms = deadline_ms + ANSWER_GRACE_MS
        while True:
            now_ms = self._clock.now_ms()
            until_ms = last_ms if patience_ms is None else now_ms + patience_ms
            try:
                return connection.reader.read(min(until_ms, last_ms))
            except TimeoutError:
                view = self._holders.view_of(connection.holder)
                now_ms = self._clock.now_ms()
                if now_ms >= last_ms or view.is_silent(now_ms):
                    raise

    def _read_reply(
        self,
        holder: str,
        reply: Reply,
        entry: InstanceEntry,
        sent_at_ms: float,
        objective_ms: float,
    ) -> PassedOutcome:
        self._placement.record_pressure(entry.id, float(reply.wait_ms))
        self._counters.count("passes", outcome=Outcome(reply.outcome).name.lower())
        if reply.is_stopping:
            self._avoid(holder, "", "it is stopping")
        if reply.outcome == Outcome.ANSWERED:
            answer = reply.find_answer()
            if reply.is_silent:
                self._placement.record_fault(entry, answer.fault or Fault.LOST)
                self._placement.record_failure(entry, sent_at_ms)
                # The instance may be reachable from here and not from the holder.
                self._avoid(holder, entry.id, "the instance gave it no answer")
            else:
                self._record_answer(entry, answer, sent_at_ms, objective_ms)
            return answer
        if reply.outcome == Outcome.REFUSED:
            return reply.find_refusal()
        if reply.outcome == Outcome.REPLACED:
            return Replaced()
        self._avoid(holder, entry.id, reply.detail)
        return NotTaken(reply.detail)

    def _record_answer(
        self,
        entry: InstanceEntry,
        answer: Answer,
        sent_at_ms: float,
        objective_ms: float,
    ) -> None:
        """Record for placement what the holder has found of the instance."""
        if answer.fault in (Fault.TOO_MANY_LINKS, Fault.UNREACHABLE):
            self._placement.record_fault(entry, answer.fault)
            return
        if answer.fault is None:
            took_ms = self._clock.now_ms() - sent_at_ms
            is_late = 0 < objective_ms < took_ms
            self._placement.record_answer(entry, took_ms, is_late)
        elif answer.fault is not Fault.LOST:
            # The holder also answers LOST when the primary may have been replaced.
            self._placement.record_error(entry, answer.fault)
        self._placement.record_position(entry, answer.position, sent_at_ms)

    def _avoid(self, holder: str, instance_id: str, reason: str) -> None:
        if self._holders.avoid(holder, instance_id, reason):
            self._log_avoided(holder, instance_id, reason)

    def _log_avoided(self, holder: str, instance_id: str, reason: str) -> None:
        self._log.write_request(
            "passing",
            "A holder is avoided.",
            holder=holder,
            instance=instance_id,
            reason=reason,
        )

    # Connections

    def _acquire(self, holder: str) -> HolderConnection | NotTaken:
        """Return a connection to a holder, or why there is none."""
        try:
            return self._open(holder)
        except PassingError as error:
            self._counters.count("passes", outcome="unreachable")
            if self._holders.note_unreached(holder, str(error)):
                self._log_avoided(holder, "", str(error))
            return NotTaken(str(error))

    def _open(self, holder: str) -> HolderConnection:
        address = self._find_address(holder)
        if address is None:
            raise PassingError("its address isn't known")
        while True:
            connection = self._take_idle(holder)
            if connection is None:
                return self._connect(holder, address)
            if connection.address == address and connection.connection.is_quiet():
                return connection
            connection.close()

    def _take_idle(self, holder: str) -> HolderConnection | None:
        with self._lock:
            idle = self._idle.get(holder)
            return idle.pop() if idle else None

    def _connect(self, holder: str, address: Address) -> HolderConnection:
        try:
            raw = self._runtime.dial(address, CONNECT_TIMEOUT_MS)
        except OSError as error:
            raise PassingError(f"it can't be reached: {error}") from None
        connection = HolderConnection(raw, self._clock, holder, address)
        try:
            greeting = connection.reader.read(
                self._clock.now_ms() + GREETING_TIMEOUT_MS
            )
        except (OSError, ValueError) as error:
            connection.close()
            raise PassingError(f"it gives no first frame: {error}") from None
        if greeting.outcome != Outcome.ANSWERED:
            connection.close()
            raise PassingError(greeting.detail)
        return connection

    def _release(self, connection: HolderConnection) -> None:
        if not connection.usable:
            return
        connection.idle_since_ms = self._clock.now_ms()
        with self._lock:
            idle = self._idle.setdefault(connection.holder, [])
            if len(idle) < KEPT_CONNECTIONS:
                idle.append(connection)
                return
        connection.close()

    def _close_idle(self, holder: str) -> None:
        with self._lock:
            idle = self._idle.pop(holder, [])
        for connection in idle:
            connection.close()

    def count_idle(self) -> int:
        """Return how many connections to holders are idle."""
        return sum(len(idle) for idle in list(self._idle.values()))

    def close_unused(self) -> None:
        """Close connections that were idle for too long."""
        oldest_ms = self._clock.now_ms() - KEPT_MS
        surplus = []
        with self._lock:
            for holder, idle in list(self._idle.items()):
                fresh = [one for one in idle if one.idle_since_ms >= oldest_ms]
                surplus += [one for one in idle if one.idle_since_ms < oldest_ms]
                self._idle[holder] = fresh
        for connection in surplus:
            connection.close()


def make_request(
    job: Job,
    kind: Kind,
    now_ms: float,
    entry: InstanceEntry | None = None,
    floor: Position | None = None,
    needs_primary: bool = False,
) -> Request:
    """Return the request for a job; without an instance it is in a transaction."""
    prepared = job.prepared
    statement = job.statement
    return Request(
        kind,
        statement.id,
        statement.text if prepared is None else statement.arguments,
        statement.verb.value,
        max(0, int(job.deadline_ms - now_ms)),
        max(0, int(job.slot_deadline_ms - now_ms)),
        int(needs_primary),
        entry.id if entry else "",
        entry.born_ms if entry else 0,
        job.workspace if entry else "",
        floor.term + 1 if floor else 0,
        floor.position if floor else 0,
        job.level,
        0 if prepared is None else 2 if prepared.writes else 1,
        prepared.shape if prepared else "",
        job.values,
    )
