"""Runs statements at an instance over this daemon's own links, each in a slot."""

import math
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.load.linkholders import LOCAL, Choice, LinkHolders
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import InstanceEntry, Regions, Route
from bronzerelay.pooler.lines import MAX_LINE_BYTES
from bronzerelay.pooler.links import (
    IDLE_CLOSE_MS,
    POOLER_STATEMENT_ID,
    InstanceLink,
    LinkError,
    LinkPool,
)
from bronzerelay.pooler.messages import (
    Answer,
    Fault,
    InstanceStatus,
    LineCodec,
    Position,
    Prepared,
    Statement,
    TransactionState,
    Verb,
)
from bronzerelay.pooler.placement import Placement, ReadRequirement
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.refusals import (
    NO_PRIMARY_RETRY_MS,
    refuse_lost_transaction,
    refuse_no_primary,
)
from bronzerelay.pooler.retrypolicy import find_busy_pause_ms, find_pause_ms
from bronzerelay.runtime import Runtime
from bronzerelay.slots import COUNTED_WAIT_MS, SlotQueue

# How many statements of one workspace may be queued for slots of one service at this
# daemon.
MAX_QUEUED_STATEMENTS = 64
# How many statements of all workspaces may be queued so where routes differ in
# priority. Beyond it the more urgent ones displace the others.
MAX_QUEUED_IN_ALL = 512
# How many statements all daemons together may have at an instance, per slot of the
# instance. Statements beyond its slots wait in the instance's queue, and those beyond
# the queue are refused. When each of 70 daemons used all five slots of an instance for
# itself, 350 statements competed for a queue of 40, and the instance spent most of its
# time refusing connections. With this value, up to eight daemons may each use all
# slots, which keeps the slots busy and the queue short.
STATEMENTS_PER_SLOT = 8
# The fraction of an instance's connections that its link holder opens at most, and the
# one that it keeps while they are idle. The others are for the stand-by, daemons that
# go direct, and connections of killed daemons that the instance hasn't closed yet.
HELD_LINKS_FRACTION = 0.8
HELD_IDLE_FRACTION = 0.65
# The fraction of an instance's connections that a stand-by keeps while they are idle.
STANDBY_IDLE_FRACTION = 0.15
# How many idle links are closed when the instance has no free connection.
CLOSED_IF_FULL = 8
# How long a link holder keeps an idle link, in milliseconds. The least recently used
# ones are closed first, so the time needs to limit only links that nobody uses.
HELD_IDLE_CLOSE_MS = 45_000
# How much of a prepared statement's shape a log line holds, in characters.
LOGGED_SHAPE_LENGTH = 100
# Statements of more characters than this are measured before they are sent. A character
# takes up to four bytes; the rest is for what the pooler adds to a line.
MEASURED_LENGTH = MAX_LINE_BYTES // 4 - 100
# A name as long as any under which a link prepares a statement.
LONGEST_NAME = "p" * 12
# Faults of a new link that say that the instance doesn't run at its address.
ABSENT_FAULTS = frozenset([Fault.UNREACHABLE, Fault.WRONG_INSTANCE])
# Consecutive failures after which an instance gets only one statement at a time.
UNRESPONSIVE_FAILURES = 2
# Why an instance under evacuation gets nothing.
EVACUATED_DETAIL = "its failure domain was evacuated"
# The workspace under which the pooler itself asks instances for their status.
STATUS_WORKSPACE = "bronzerelay"

Outcome = TypeVar("Outcome")
# A link with an open transaction, or the answer of the instance that opened none.
BeginOutcome = InstanceLink | tuple[Answer, InstanceEntry]


class Job(NamedTuple):
    """One statement on its way to an instance.

    `deadline_ms` limits the whole statement, `slot_deadline_ms` its wait for a slot;
    both are times on the clock.
    """

    statement: Statement
    route: Route
    workspace: str
    # The session values set by the caller.
    values: dict[str, str]
    prepared: Prepared | None
    deadline_ms: float
    slot_deadline_ms: float
    # Where the statement may run.
    regions: Regions
    # The rank of the route's priority among those configured; 0 is the most urgent.
    level: int = 0

    @property
    def writes(self) -> bool:
        """Return whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.verb is Verb.WRITE


def limit_statements(slots: int, daemons: int) -> int:
    """Return how many statements one daemon may have at an instance at once."""
    return min(slots, max(1, math.ceil(STATEMENTS_PER_SLOT * slots / daemons)))


class AcquiredSlot(NamedTuple):
    """A slot of an instance; `as_primary` if the instance is used as the primary.

    `waited_ms` is how long the statement waited for it.
    """

    service: str
    instance: str
    as_primary: bool
    waited_ms: float = 0.0


class Target(NamedTuple):
    """Where a statement may run: instances, best first, and what it requires there.

    `choice` says why this daemon sends it itself.
    """

    candidates: tuple[str, ...]
    requirement: ReadRequirement
    choice: Choice = LOCAL


class Executor:
    """Runs statements at instances for this daemon's sessions and for other daemons."""

    def __init__(
        self,
        runtime: Runtime,
        codec: LineCodec,
        directory: Directory,
        placement: Placement,
        pool: LinkPool,
        guard: PrimaryGuard,
        holders: LinkHolders,
        counters: Counters,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._codec = codec
        self._directory = directory
        self._placement = placement
        self._pool = pool
        self._guard = guard
        self._holders = holders
        self._counters = counters
        self._log = log
        self._lock = runtime.make_lock()
        self._queues: dict[str, SlotQueue] = {}
        # The instances from which the slots of each queue were computed.
        self._queue_instances: dict[str, tuple[InstanceEntry, ...]] = {}
        self._daemons = 1

    # Slots

    def set_daemon_count(self, count: int) -> None:
        """Set how many daemons share the instances, including this one."""
        self._daemons = count
        self._queue_instances = {}

    def queue_of(self, service: str) -> SlotQueue:
        """Return the queue of a service after updating its slots."""
        group = self._directory.list_instances(service)
        # The directory replaces the tuple whenever one of the instances changes, so the
        # slots are recomputed only then and not for each statement.
        if self._queue_instances.get(service) is not group:
            self._set_slots(service, group)
        return self._queues[service]

    def _set_slots(self, service: str, group: tuple[InstanceEntry, ...]) -> None:
        with self._lock:
            queue = self._queues.get(service)
            if queue is None:
                queue = self._queues[service] = SlotQueue(
                    self._runtime,
                    MAX_QUEUED_STATEMENTS,
                    total_limit=MAX_QUEUED_IN_ALL,
                )
            queue.set_endpoints({entry.id: self._limit(entry) for entry in group})
            self._queue_instances[service] = group

    def _limit(self, entry: InstanceEntry) -> int:
        """Return how many statements this daemon may have at an instance at once."""
        if self.holds_links(entry):
            return entry.slots
        return limit_statements(entry.slots, self._daemons)

    def _acquire_slot(
        self, job: Job, candidates: tuple[str, ...]
    ) -> tuple[str, float] | Refusal:
        """Return the first candidate with a free slot, waiting if there is none.

        The second value is how many milliseconds that took.
        """
        queue = self.queue_of(job.route.service)
        began_ms = self._clock.now_ms()
        outcome = queue.acquire_endpoint(
            job.workspace, candidates, job.slot_deadline_ms, level=job.level
        )
        waited_ms = self._clock.now_ms() - began_ms
        level = str(job.level)
        if isinstance(outcome, Refusal):
            reason = outcome.code.name.lower()
            self._counters.count("slot_refusals", level=level, reason=reason)
            return outcome
        self._counters.count("slot_grants", level=level)
        if waited_ms >= COUNTED_WAIT_MS:
            self._counters.count("slot_waits", level=level)
            self._counters.record_ms(f"slot_wait_level_{level}", waited_ms)
        return outcome, waited_ms

    def describe_wait(self, service: str, level: int) -> dict[str, float]:
        """Return what a new statement of a level finds in the queue, for the log."""
        queue = self.queue_of(service)
        return {
            "ahead": queue.count_ahead(level),
            "expected_wait_ms": round(queue.estimate_wait_ms(level), 1),
        }

    def _choose_slot(self, job: Job, target: Target) -> AcquiredSlot | Refusal:
        service = job.route.service
        acquired = self._acquire_slot(job, target.candidates)
        if isinstance(acquired, Refusal):
            return acquired
        instance_id, waited_ms = acquired
        as_primary = self.is_used_as_primary(service, instance_id, target.requirement)
        refusal = self._guard.check_use(service, instance_id) if as_primary else None
        if refusal is not None:
            self.queue_of(service).release(instance_id)
            return refusal
        self._placement.view_of(instance_id).outstanding += 1
        return AcquiredSlot(service, instance_id, as_primary, waited_ms)

    def is_used_as_primary(
        self, service: str, instance_id: str, requirement: ReadRequirement
    ) -> bool:
        """Return whether a statement at the instance needs it to be the primary."""
        if requirement.primary_only:
            return True
        primary = self._directory.find_primary(service)
        return primary is not None and primary.id == instance_id

    def _release_slot(self, slot: AcquiredSlot) -> None:
        self._placement.view_of(slot.instance).outstanding -= 1
        self.queue_of(slot.service).release(slot.instance)

    def _with_slot(
        self,
        job: Job,
        target: Target,
        action: Callable[[AcquiredSlot, InstanceEntry], Outcome],
    ) -> Outcome | Refusal:
        """Call `action` with a slot of a suitable instance and return its result."""
        slot = self._choose_slot(job, target)
        if isinstance(slot, Refusal):
            return slot
        entry = self._directory.instances.get(slot.instance)
        try:
            return refuse_no_primary() if entry is None else action(slot, entry)
        finally:
            self._release_slot(slot)

    def is_failing(self, entry: InstanceEntry) -> bool:
        """Return whether the instance didn't answer the last statement from here."""
        return self._placement.view_of(entry.id).failures > 0

    def is_unresponsive(self, instance_id: str) -> bool:
        """Return whether an instance doesn't respond and is being tested.

        One statement at a time tests whether the instance responds again. Any further
        statement would hold a slot until its timeout, and a write would end with an
        unknown outcome instead of not being run.
        """
        view = self._placement.view_of(instance_id)
        return view.failures >= UNRESPONSIVE_FAILURES and view.outstanding > 0

    # Idle links

    def shares_links(self, service: str) -> bool:
        """Return whether link holders keep the links to a service's instances.

        They do if the instances accept too few connections for each daemon to keep one.
        """
        config = self._directory.config
        if config is None or service not in config.services:
            return False
        return self._share_of_links(service) < 1 and self._holders.count > 1

    def holds_links(self, entry: InstanceEntry) -> bool:
        """Return whether this daemon keeps the links to an instance for the others."""
        return self.shares_links(entry.service) and self._holders.may_hold(
            entry.id, entry.domain
        )

    def _share_of_links(self, service: str) -> int:
        return self._max_links(service) // (2 * self._daemons)

    def _max_links(self, service: str) -> int:
        config = self._directory.config
        spec = config.services.get(service) if config else None
        return spec.max_links if spec else 0

    def max_idle_links(self, entry: InstanceEntry) -> int:
        """Return how many idle links to one instance this daemon may keep.

        Half of the instance's connections are divided evenly between the daemons. The
        other half is for running statements, and for connections of killed daemons
        that the instance hasn't closed yet. If a daemon's share is less than one, only
        the link holder keeps any: otherwise the idle links of many daemons would take
        all connections of an instance, and each statement would wait for one.
        """
        if not self.holds_links(entry):
            return self._share_of_links(entry.service)
        is_first = self._holders.is_first(entry.id, entry.domain)
        fraction = HELD_IDLE_FRACTION if is_first else STANDBY_IDLE_FRACTION
        return int(self._max_links(entry.service) * fraction)

    def _max_open_links(self, entry: InstanceEntry) -> int | None:
        """Return how many links may be open before idle ones are closed, or None."""
        if not self.holds_links(entry):
            return None
        return int(self._max_links(entry.service) * HELD_LINKS_FRACTION)

    def find_idle_close_ms(self, entry: InstanceEntry) -> float:
        """Return how long a link to the instance may be idle, in milliseconds."""
        is_holder = self.holds_links(entry) and self._holders.is_first(
            entry.id, entry.domain
        )
        return HELD_IDLE_CLOSE_MS if is_holder else IDLE_CLOSE_MS

    # Long statements

    def refuse_if_too_long(self, job: Job, floor: Position | None) -> Refusal | None:
        """Return the refusal for a statement that is too long to be sent, or None.

        An instance closes the connection when a line is too long, and would look as if
        it had failed.
        """
        statement = job.statement
        if len(statement.id) + len(statement.text) <= MEASURED_LENGTH:
            return None
        text = statement.text
        if job.prepared is not None:
            text = self._codec.format_execute(LONGEST_NAME, statement.arguments)
        if len(self._codec.encode_query(statement.id, text, floor)) <= MAX_LINE_BYTES:
            return None
        message = "The statement is too long to be sent to an instance."
        return Refusal(Code.INVALID_STATEMENT, message, NOT_RUN)

    # Single statements

    def run_single(
        self, job: Job, target: Target
    ) -> tuple[Answer, InstanceEntry] | Refusal:
        """Run a statement once at one of the candidates."""

        def run(
            slot: AcquiredSlot, entry: InstanceEntry
        ) -> tuple[Answer, InstanceEntry] | Refusal:
            answer = self._run_at(job, slot, entry, target.requirement)
            if isinstance(answer, Refusal):
                return answer
            if slot.as_primary and job.writes:
                answer = self.check_still_primary(answer, entry)
            self.log_attempt(job, entry, target, answer, slot.waited_ms)
            return answer, entry

        return self._with_slot(job, target, run)

    def check_still_primary(self, answer: Answer, entry: InstanceEntry) -> Answer:
        """Return the answer to a write, or a fault if the primary may be replaced.

        A primary behind a network partition still commits after it was replaced, and
        these commits are rolled back when the partition heals. So the caller is told
        that the outcome is unknown.
        """
        if answer.fault is not None:
            return answer
        if self._guard.is_still_primary(entry.service, entry.id):
            return answer
        return Answer(fault=Fault.LOST, detail="the primary may have been replaced")

    def _use_instance(
        self, entry: InstanceEntry, as_primary: bool, action: Callable[[], Outcome]
    ) -> Outcome | Refusal:
        """Return the result of `action`, guarded if the instance is used as primary.

        Only sending a statement counts as a use of the primary. Opening a link doesn't:
        it can't be interrupted, and a primary change would have to wait for it.
        """
        if not as_primary:
            return action()
        refusal = self._guard.begin_use(entry.service, entry.id)
        if refusal is not None:
            return refusal
        try:
            return action()
        finally:
            self._guard.end_use(entry.service)

    def _call_with_busy_retries(
        self,
        job: Job,
        slot: AcquiredSlot,
        entry: InstanceEntry,
        call: Callable[[], Answer],
    ) -> Answer | Refusal:
        """Retry a call to a busy primary on the same link until the deadline.

        No other instance can serve the statement.
        """
        refused = 0
        while True:
            if self._directory.is_closed(entry):
                return Answer(fault=Fault.UNREACHABLE, detail=EVACUATED_DETAIL)
            answer = self._use_instance(entry, slot.as_primary, call)
            if isinstance(answer, Refusal) or answer.fault is not Fault.BUSY:
                return answer
            refused += 1
            left_ms = job.deadline_ms - self._clock.now_ms()
            pause_ms = find_busy_pause_ms(refused, left_ms) if slot.as_primary else None
            if pause_ms is None:
                return answer
            count_retry(self._counters, answer)
            self._runtime.sleep_ms(pause_ms)

    def _run_at(
        self,
        job: Job,
        slot: AcquiredSlot,
        entry: InstanceEntry,
        requirement: ReadRequirement,
    ) -> Answer | Refusal:
        began_ms = self._clock.now_ms()
        try:
            link = self._acquire_link(job, entry)
        except LinkError as error:
            return self._handle_link_error(entry, error, began_ms)
        try:
            return self._call_with_busy_retries(
                job, slot, entry, lambda: self._call(link, job, requirement.floor)
            )
        finally:
            self._pool.release(link, self.max_idle_links(entry))

    def _acquire_link(self, job: Job, entry: InstanceEntry) -> InstanceLink:
        link = self._pool.acquire(
            entry,
            job.workspace,
            job.values,
            job.deadline_ms,
            self._max_open_links(entry),
        )
        try:
            self._apply_session_state(link, job)
        except LinkError:
            self._pool.release(link, 0)
            raise
        return link

    def _apply_session_state(self, link: InstanceLink, job: Job) -> None:
        """Set the job's session state on a link, and log a newly prepared statement."""
        name = link.apply_session_state(job.values, job.prepared)
        if name is None or job.prepared is None:
            return
        self._counters.count("statements_prepared")
        self._log.write_request(
            "links",
            "A statement was prepared.",
            request=job.statement.id,
            workspace=job.workspace,
            service=link.entry.service,
            instance=link.entry.id,
            connection=link.number,
            name=name,
            writes=job.prepared.writes,
            shape=job.prepared.shape[:LOGGED_SHAPE_LENGTH],
        )

    def _handle_link_error(
        self, entry: InstanceEntry, error: LinkError, began_ms: float
    ) -> Answer:
        self._placement.record_fault(entry, error.fault)
        if error.fault in ABSENT_FAULTS:
            self._placement.record_failure(entry, began_ms)
        if error.fault is Fault.TOO_MANY_LINKS:
            self._pool.close_idle(entry.id, CLOSED_IF_FULL)
        return Answer(fault=error.fault, detail=error.detail)

    def _call(self, link: InstanceLink, job: Job, floor: Position | None) -> Answer:
        """Run the job's statement on a link and record the outcome for placement."""
        text = job.statement.text
        if job.prepared is not None:
            name = link.find_name(job.prepared)
            text = self._codec.format_execute(name, job.statement.arguments)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(job.statement.id, text, floor, job.deadline_ms)
        if answer.fault is Fault.UNPREPARED:
            link.forget_prepared()
        self._record_outcome(link.entry, job, answer, sent_at_ms)
        return answer

    def _record_outcome(
        self, entry: InstanceEntry, job: Job, answer: Answer, sent_at_ms: float
    ) -> None:
        took_ms = self._clock.now_ms() - sent_at_ms
        if answer.fault in (Fault.LOST, Fault.TIMED_OUT):
            self._placement.record_fault(entry, answer.fault)
            self._placement.record_failure(entry, sent_at_ms)
            return
        if answer.fault is None:
            # The objective of a statement of another daemon isn't known here.
            is_late = 0 < job.route.objective_ms < took_ms
            self._placement.record_answer(entry, took_ms, is_late)
        else:
            self._placement.record_error(entry, answer.fault)
        self._placement.record_position(entry, answer.position, sent_at_ms)

    # Transactions

    def begin(
        self, job: Job, read_only: bool, target: Target
    ) -> BeginOutcome | Refusal:
        """Open a transaction at one of the candidates; return its link if it is open.

        Otherwise return the instance's answer, after which it isn't open.
        """

        def begin(slot: AcquiredSlot, entry: InstanceEntry) -> BeginOutcome | Refusal:
            outcome = self._begin_at(job, slot, entry, read_only, target.requirement)
            if isinstance(outcome, Refusal):
                return outcome
            answer = Answer() if isinstance(outcome, InstanceLink) else outcome[0]
            self.log_attempt(job, entry, target, answer, slot.waited_ms, begins=True)
            return outcome

        return self._with_slot(job, target, begin)

    def _begin_at(
        self,
        job: Job,
        slot: AcquiredSlot,
        entry: InstanceEntry,
        read_only: bool,
        requirement: ReadRequirement,
    ) -> BeginOutcome | Refusal:
        began_ms = self._clock.now_ms()
        try:
            link = self._acquire_link(job, entry)
        except LinkError as error:
            return self._handle_link_error(entry, error, began_ms), entry
        answer = self._call_with_busy_retries(
            job,
            slot,
            entry,
            lambda: self._send_begin(link, job, read_only, requirement.floor),
        )
        if isinstance(answer, Answer) and answer.fault is None and link.in_transaction:
            return link
        self._pool.release(link, self.max_idle_links(entry))
        return answer if isinstance(answer, Refusal) else (answer, entry)

    def _send_begin(
        self, link: InstanceLink, job: Job, read_only: bool, floor: Position | None
    ) -> Answer:
        text = self._codec.format_begin(read_only)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(POOLER_STATEMENT_ID, text, floor, job.deadline_ms)
        self._record_outcome(link.entry, job, answer, sent_at_ms)
        return answer

    def run_in_transaction(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        """Run one statement, or the commit, of the transaction on `link`.

        A statement for which the instance had no slot leaves the transaction unchanged,
        so it is retried until the deadline.
        """
        if not link.usable:
            return refuse_lost_transaction("its connection has ended")
        while True:
            answer = self._try_in_transaction(link, job, as_primary)
            if isinstance(answer, Refusal) or answer.fault is None:
                return answer
            is_open = answer.state is TransactionState.OPEN
            may_retry = answer.fault in (Fault.BUSY, Fault.UNPREPARED) and is_open
            if not may_retry or self._clock.now_ms() >= job.deadline_ms:
                return answer
            self._runtime.sleep_ms(find_pause_ms(answer.fault))

    def _try_in_transaction(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        entry = link.entry
        acquired = self._acquire_slot(job, (entry.id,))
        if isinstance(acquired, Refusal):
            return acquired
        instance_id, waited_ms = acquired
        self._placement.view_of(instance_id).outstanding += 1
        slot = AcquiredSlot(entry.service, instance_id, as_primary, waited_ms)
        try:
            outcome = self._call_in_transaction(link, job, as_primary)
            if isinstance(outcome, Answer):
                target = Target((entry.id,), ReadRequirement(None, as_primary))
                self.log_attempt(job, entry, target, outcome, waited_ms)
            return outcome
        finally:
            self._release_slot(slot)

    def _call_in_transaction(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        if self._directory.is_closed(link.entry):
            link.close()
            return refuse_lost_transaction(EVACUATED_DETAIL)
        try:
            self._apply_session_state(link, job)
        except LinkError as error:
            return refuse_lost_transaction(error.detail)
        answer = self._use_instance(
            link.entry, as_primary, lambda: self._call(link, job, None)
        )
        if isinstance(answer, Refusal):
            link.close()
            return refuse_lost_transaction("its primary is being replaced")
        if as_primary and job.statement.verb is Verb.COMMIT:
            return self.check_still_primary(answer, link.entry)
        return answer

    def roll_back(self, link: InstanceLink) -> None:
        """Roll the transaction back and release the link; close it if that fails."""
        may_send = link.usable and not self._directory.is_closed(link.entry)
        if may_send and link.in_transaction:
            deadline_ms = self._clock.now_ms() + NO_PRIMARY_RETRY_MS
            link.call(
                POOLER_STATEMENT_ID, self._codec.format_rollback(), None, deadline_ms
            )
        self.release_link(link)

    def release_link(self, link: InstanceLink) -> None:
        """Return the link of a transaction that has ended to the pool."""
        self._pool.release(link, self.max_idle_links(link.entry))

    # Instance status

    def ask_status(
        self, entry: InstanceEntry, timeout_ms: float
    ) -> InstanceStatus | None:
        """Return the status of an instance, or None if it can't be asked in time."""
        if self._directory.is_closed(entry):
            return None
        deadline_ms = self._clock.now_ms() + timeout_ms
        try:
            link = self._pool.acquire(entry, STATUS_WORKSPACE, {}, deadline_ms)
        except LinkError as error:
            self._log_status_failure(entry, str(error))
            return None
        try:
            text = self._codec.format_status()
            answer = link.call(POOLER_STATEMENT_ID, text, None, deadline_ms)
        finally:
            self._pool.release(link, self.max_idle_links(entry))
        if answer.fault is not None or not answer.rows:
            self._log_status_failure(entry, answer.detail)
            return None
        return self._codec.parse_status(answer.rows[0])

    def _log_status_failure(self, entry: InstanceEntry, detail: str) -> None:
        # A primary is chosen by the instances that tell their status, and lines that
        # requests cause are dropped beside a load.
        self._log.write(
            "runner",
            "An instance didn't report its status.",
            service=entry.service,
            instance=entry.id,
            detail=detail,
        )

    # Logs

    def log_attempt(
        self,
        job: Job,
        entry: InstanceEntry,
        target: Target,
        answer: Answer,
        waited_ms: float = 0.0,
        begins: bool = False,
    ) -> None:
        """Log where a statement was sent, why, and its outcome.

        `waited_ms` is how long it waited for a slot of this daemon.
        """
        view = self._placement.view_of(entry.id)
        primary_record = self._directory.primary_records.get(entry.service)
        self._log.write_request(
            "runner",
            "A transaction was opened." if begins else "A statement was sent.",
            request=job.statement.id,
            workspace=job.workspace,
            database=job.route.database,
            verb=job.statement.verb.name,
            shape=job.prepared.shape[:LOGGED_SHAPE_LENGTH] if job.prepared else "",
            level=job.level,
            waited_ms=round(waited_ms, 1),
            service=entry.service,
            instance=entry.id,
            as_primary=self.is_used_as_primary(
                entry.service, entry.id, target.requirement
            ),
            way=target.choice.way.name.lower(),
            holder=target.choice.holder,
            reason=target.choice.reason,
            floor=target.requirement.floor,
            instance_log_end=view.position,
            proof_age_ms=round(self._guard.proof_age_ms()),
            lead_epoch=primary_record.epoch if primary_record else 0,
            config_version=self._directory.version,
            answer_ms=round(view.answer_ms, 1),
            left_ms=round(job.deadline_ms - self._clock.now_ms()),
            outcome=answer.fault.name.lower() if answer.fault else "done",
            detail=answer.detail,
            position=answer.position,
            **self._placement.describe(entry.service, entry.id),
        )


def count_retry(counters: Counters, answer: Answer) -> None:
    """Count that a statement is sent again after this answer."""
    fault = answer.fault.name.lower() if answer.fault else "none"
    counters.count("retries", reason=fault)
