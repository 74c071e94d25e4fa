"""Runs statements at instances: acquires a slot and a link, and retries."""

import math
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from bronzerelay.codes import NOT_RUN, Refusal
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import InstanceEntry, Regions, Route
from bronzerelay.pooler.links import (
    POOLER_STATEMENT_ID,
    InstanceLink,
    LinkError,
    LinkPool,
    prepared_name,
)
from bronzerelay.pooler.messages import (
    NOT_RUN_FAULTS,
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
    refuse_fault,
    refuse_lost_transaction,
    refuse_no_primary,
)
from bronzerelay.pooler.retrypolicy import (
    MAX_ATTEMPTS,
    find_busy_pause_ms,
    find_pause_ms,
)
from bronzerelay.runtime import Runtime
from bronzerelay.slots import COUNTED_WAIT_MS, SlotQueue

# How many statements of one workspace may be queued for slots of one service at this
# daemon.
MAX_QUEUED_STATEMENTS = 64
# How many statements of all workspaces may be queued so where routes differ in
# priority. Beyond it the more urgent ones displace the others.
MAX_QUEUED_IN_ALL = 512
# The fraction of an operation's latency objective that it may wait for a slot. After
# that the objective is missed anyway, and the caller does better to ask another daemon.
SLOT_WAIT_FRACTION = 0.5
# How many statements all daemons together may have at an instance, per slot of the
# instance. Statements beyond its slots wait in the instance's queue, and those beyond
# the queue are refused. When each of 70 daemons used all five slots of an instance for
# itself, 350 statements competed for a queue of 40, and the instance spent most of its
# time refusing connections. With this value, up to eight daemons may each use all
# slots, which keeps the slots busy and the queue short.
STATEMENTS_PER_SLOT = 8
# Consecutive failures after which an instance gets only one statement at a time.
UNRESPONSIVE_FAILURES = 2
# The interval at which a statement looks for a primary during a switchover, in
# milliseconds.
SWITCHOVER_POLL_MS = 12
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
    # How urgent it is among the routes of the configuration; 0 is the most urgent.
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


class Runner:
    """Runs the statements of all sessions of one daemon."""

    def __init__(
        self,
        runtime: Runtime,
        codec: LineCodec,
        directory: Directory,
        placement: Placement,
        pool: LinkPool,
        guard: PrimaryGuard,
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

    def _queue_of(self, service: str) -> SlotQueue:
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
            queue.set_endpoints(
                {
                    entry.id: limit_statements(entry.slots, self._daemons)
                    for entry in group
                }
            )
            self._queue_instances[service] = group

    def _acquire_slot(
        self, job: Job, candidates: list[str]
    ) -> tuple[str, float] | Refusal:
        """Return the first candidate with a free slot, waiting if there is none.

        The second value is how many milliseconds that took.
        """
        queue = self._queue_of(job.route.service)
        began_ms = self._clock.now_ms()
        outcome = queue.acquire_endpoint(
            job.workspace, tuple(candidates), job.slot_deadline_ms, level=job.level
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
        queue = self._queue_of(service)
        return {
            "ahead": queue.count_ahead(level),
            "expected_wait_ms": round(queue.estimate_wait_ms(level), 1),
        }

    def max_idle_links(self, service: str) -> int:
        """Return how many idle links to one instance this daemon may keep.

        Half of the instance's connections are divided evenly between the daemons. The
        other half is for running statements, and for connections of killed daemons
        that the instance hasn't closed yet. If a daemon's share is less than one, it
        keeps none: otherwise the idle links of many daemons would take all connections
        of an instance, and each statement would wait for one.
        """
        config = self._directory.config
        spec = config.services.get(service) if config else None
        return spec.max_links // (2 * self._daemons) if spec else 0

    # Single statements

    def run_single(self, job: Job, own_commit: Position | None) -> Answer | Refusal:
        """Run a statement outside a transaction and return its answer."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            requirement = self._find_requirement(job, own_commit)
            outcome = self._try_single(job, requirement, tried)
            if isinstance(outcome, Refusal):
                return failure or outcome
            answer, entry = outcome
            if answer.fault is None:
                return answer
            may_repeat = answer.fault in NOT_RUN_FAULTS or not job.writes
            self._count_retry(answer)
            failure = refuse_fault(answer, job.writes)
            if not may_repeat or answer.fault in (Fault.FAILED, Fault.REJECTED):
                return failure
            if not self._has_time_left(job):
                return failure
            if entry.id != self._primary_id(job.route.service):
                tried = tried | {entry.id}
            self._pause_before_retry(answer.fault)
        return failure or refuse_no_primary()

    def _find_requirement(
        self, job: Job, own_commit: Position | None
    ) -> ReadRequirement:
        if job.writes:
            return ReadRequirement(None, True)
        return self._placement.find_requirement(job.route, own_commit)

    def _with_slot(
        self,
        job: Job,
        requirement: ReadRequirement,
        tried: frozenset[str],
        action: Callable[[AcquiredSlot, InstanceEntry], Outcome],
    ) -> Outcome | Refusal:
        """Call `action` with a slot of a suitable instance and return its result."""
        slot = self._choose_slot(job, requirement, tried)
        if isinstance(slot, Refusal):
            return slot
        entry = self._directory.instances.get(slot.instance)
        try:
            return refuse_no_primary() if entry is None else action(slot, entry)
        finally:
            self._release_slot(slot)

    def _try_single(
        self, job: Job, requirement: ReadRequirement, tried: frozenset[str]
    ) -> tuple[Answer, InstanceEntry] | Refusal:
        def run(
            slot: AcquiredSlot, entry: InstanceEntry
        ) -> tuple[Answer, InstanceEntry] | Refusal:
            answer = self._run_at(job, slot, entry, requirement)
            if isinstance(answer, Refusal):
                return answer
            if slot.as_primary and job.writes:
                answer = self._check_still_primary(answer, entry)
            self._log_attempt(job, slot, requirement, answer)
            return answer, entry

        return self._with_slot(job, requirement, tried, run)

    def _check_still_primary(self, answer: Answer, entry: InstanceEntry) -> Answer:
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

    def _choose_slot(
        self, job: Job, requirement: ReadRequirement, tried: frozenset[str]
    ) -> AcquiredSlot | Refusal:
        service = job.route.service
        candidates = self._wait_for_candidates(job, requirement, tried)
        if not candidates or self._is_unresponsive(candidates):
            return refuse_no_primary()
        acquired = self._acquire_slot(job, candidates)
        if isinstance(acquired, Refusal):
            return acquired
        instance_id, waited_ms = acquired
        as_primary = requirement.primary_only or instance_id == self._primary_id(
            service
        )
        refusal = self._guard.check_use(service, instance_id) if as_primary else None
        if refusal is not None:
            self._queue_of(service).release(instance_id)
            return refusal
        self._placement.view_of(instance_id).outstanding += 1
        return AcquiredSlot(service, instance_id, as_primary, waited_ms)

    def _is_unresponsive(self, candidates: list[str]) -> bool:
        """Return whether the only candidate doesn't respond and is being tested.

        One statement at a time tests whether the instance responds again. Any further
        statement would hold a slot until its timeout, and a write would end with an
        unknown outcome instead of not being run.
        """
        if len(candidates) > 1:
            return False
        view = self._placement.view_of(candidates[0])
        return view.failures >= UNRESPONSIVE_FAILURES and view.outstanding > 0

    def _wait_for_candidates(
        self, job: Job, requirement: ReadRequirement, tried: frozenset[str]
    ) -> list[str]:
        """Return the instances that may serve the job, waiting during a switchover.

        A switchover takes a few round trips. Callers that were refused meanwhile would
        use up their retries, and some would give up.
        """
        service = job.route.service
        while True:
            has_proof = self._guard.has_proof()
            candidates = self._placement.list_candidates(
                service, requirement, tried, has_proof, job.regions
            )
            record = self._directory.primary_records.get(service)
            planned = record is not None and record.planned and not record.settled
            if (
                candidates
                or not planned
                or self._clock.now_ms() >= job.slot_deadline_ms
            ):
                return candidates
            self._runtime.sleep_ms(SWITCHOVER_POLL_MS)

    def _release_slot(self, slot: AcquiredSlot) -> None:
        self._placement.view_of(slot.instance).outstanding -= 1
        self._queue_of(slot.service).release(slot.instance)

    def _primary_id(self, service: str) -> str | None:
        primary = self._directory.find_primary(service)
        return primary.id if primary else None

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
            self._count_retry(answer)
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
            self._pool.release(link, self.max_idle_links(entry.service))

    def _acquire_link(self, job: Job, entry: InstanceEntry) -> InstanceLink:
        link = self._pool.acquire(entry, job.workspace, job.values, job.deadline_ms)
        try:
            link.apply_session_state(job.values, job.prepared)
        except LinkError:
            self._pool.release(link, 0)
            raise
        return link

    def _handle_link_error(
        self, entry: InstanceEntry, error: LinkError, began_ms: float
    ) -> Answer:
        if error.fault is Fault.UNREACHABLE:
            self._placement.record_failure(entry, began_ms)
        if error.fault is Fault.TOO_MANY_LINKS:
            self._pool.close_idle(entry.id)
        return Answer(fault=error.fault, detail=error.detail)

    def _call(self, link: InstanceLink, job: Job, floor: Position | None) -> Answer:
        """Run the job's statement on a link and record the outcome for placement."""
        text = job.statement.text
        if job.prepared is not None:
            name = prepared_name(job.prepared)
            text = self._codec.format_execute(name, job.statement.arguments)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(job.statement.id, text, floor, job.deadline_ms)
        if answer.fault is Fault.UNPREPARED:
            link.forget_prepared()
        self._record_outcome(link.entry, answer, sent_at_ms)
        return answer

    def _record_outcome(
        self, entry: InstanceEntry, answer: Answer, sent_at_ms: float
    ) -> None:
        took_ms = self._clock.now_ms() - sent_at_ms
        if answer.fault in (Fault.LOST, Fault.TIMED_OUT):
            self._placement.record_failure(entry, sent_at_ms)
            return
        self._placement.record_answer(entry, took_ms)
        self._placement.record_position(entry, answer.position, sent_at_ms)

    def _has_time_left(self, job: Job) -> bool:
        return self._clock.now_ms() < job.deadline_ms

    def _pause_before_retry(self, fault: Fault) -> None:
        self._runtime.sleep_ms(find_pause_ms(fault))

    # Transactions

    def begin(
        self, job: Job, read_only: bool, own_commit: Position | None
    ) -> InstanceLink | Refusal:
        """Return a link with an open transaction, or the refusal for the caller."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            requirement = ReadRequirement(None, True)
            if read_only:
                requirement = self._placement.find_requirement(job.route, own_commit)
            outcome = self._try_begin(job, read_only, requirement, tried)
            if isinstance(outcome, InstanceLink):
                return outcome
            if isinstance(outcome, Refusal):
                return failure or outcome
            answer, entry = outcome
            self._count_retry(answer)
            # Only BEGIN was sent, and the transaction that it opened is rolled back.
            failure = refuse_fault(answer, False)._replace(ran=NOT_RUN)
            if not self._has_time_left(job):
                return failure
            if entry.id != self._primary_id(job.route.service):
                tried = tried | {entry.id}
            self._pause_before_retry(answer.fault or Fault.BUSY)
        return failure or refuse_no_primary()

    def _try_begin(
        self,
        job: Job,
        read_only: bool,
        requirement: ReadRequirement,
        tried: frozenset[str],
    ) -> BeginOutcome | Refusal:
        def begin(slot: AcquiredSlot, entry: InstanceEntry) -> BeginOutcome | Refusal:
            outcome = self._begin_at(job, slot, entry, read_only, requirement)
            if isinstance(outcome, Refusal):
                return outcome
            answer = Answer() if isinstance(outcome, InstanceLink) else outcome[0]
            self._log_attempt(job, slot, requirement, answer, begins=True)
            return outcome

        return self._with_slot(job, requirement, tried, begin)

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
        self._pool.release(link, self.max_idle_links(entry.service))
        return answer if isinstance(answer, Refusal) else (answer, entry)

    def _send_begin(
        self, link: InstanceLink, job: Job, read_only: bool, floor: Position | None
    ) -> Answer:
        text = self._codec.format_begin(read_only)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(POOLER_STATEMENT_ID, text, floor, job.deadline_ms)
        self._record_outcome(link.entry, answer, sent_at_ms)
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
            if not may_retry or not self._has_time_left(job):
                return answer
            self._pause_before_retry(answer.fault)

    def _try_in_transaction(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        entry = link.entry
        acquired = self._acquire_slot(job, [entry.id])
        if isinstance(acquired, Refusal):
            return acquired
        instance_id, waited_ms = acquired
        self._placement.view_of(instance_id).outstanding += 1
        slot = AcquiredSlot(entry.service, instance_id, as_primary, waited_ms)
        try:
            outcome = self._call_in_transaction(link, job, as_primary)
            if isinstance(outcome, Answer):
                self._log_attempt(job, slot, ReadRequirement(None, as_primary), outcome)
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
            link.apply_session_state(job.values, job.prepared)
        except LinkError as error:
            return refuse_lost_transaction(error.detail)
        answer = self._use_instance(
            link.entry, as_primary, lambda: self._call(link, job, None)
        )
        if isinstance(answer, Refusal):
            link.close()
            return refuse_lost_transaction("its primary is being replaced")
        if as_primary and job.statement.verb is Verb.COMMIT:
            return self._check_still_primary(answer, link.entry)
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
        self._pool.release(link, self.max_idle_links(link.entry.service))

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
            self._pool.release(link, self.max_idle_links(entry.service))
        if answer.fault is not None or not answer.rows:
            self._log_status_failure(entry, answer.detail)
            return None
        return self._codec.parse_status(answer.rows[0])

    def _log_status_failure(self, entry: InstanceEntry, detail: str) -> None:
        self._log.write_request(
            "runner",
            "An instance didn't report its status.",
            service=entry.service,
            instance=entry.id,
            detail=detail,
        )

    # Counters and logs

    def _count_retry(self, answer: Answer) -> None:
        fault = answer.fault.name.lower() if answer.fault else "none"
        self._counters.count("retries", reason=fault)

    def _log_attempt(
        self,
        job: Job,
        slot: AcquiredSlot,
        requirement: ReadRequirement,
        answer: Answer,
        begins: bool = False,
    ) -> None:
        """Log where a statement was sent, why, and its outcome."""
        view = self._placement.view_of(slot.instance)
        primary_record = self._directory.primary_records.get(slot.service)
        self._log.write_request(
            "runner",
            "A transaction was opened." if begins else "A statement was sent.",
            request=job.statement.id,
            workspace=job.workspace,
            database=job.route.database,
            verb=job.statement.verb.name,
            level=job.level,
            waited_ms=round(slot.waited_ms, 1),
            service=slot.service,
            instance=slot.instance,
            as_primary=slot.as_primary,
            floor=requirement.floor,
            instance_log_end=view.position,
            proof_age_ms=round(self._guard.proof_age_ms()),
            lead_epoch=primary_record.epoch if primary_record else 0,
            config_version=self._directory.version,
            answer_ms=round(view.answer_ms, 1),
            left_ms=round(job.deadline_ms - self._clock.now_ms()),
            outcome=answer.fault.name.lower() if answer.fault else "done",
            detail=answer.detail,
            position=answer.position,
        )
