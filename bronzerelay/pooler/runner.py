"""Runs statements at instances: waits for a slot, lends a link, and tries again."""

import math
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from bronzerelay.codes import NOT_RUN, Refusal
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import InstanceEntry, Route
from bronzerelay.pooler.links import (
    OWN_ID,
    InstanceLink,
    LinkError,
    LinkPool,
    name_prepared,
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
from bronzerelay.pooler.placement import Placement, ReadNeed
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.refusals import (
    NO_PRIMARY_RETRY_MS,
    lose_transaction,
    refuse_fault,
    refuse_no_primary,
)
from bronzerelay.runtime import Runtime
from bronzerelay.slots import SlotQueue

# Statements of one workspace that may wait for slots of one service at this daemon.
WAITING_LIMIT = 64
# The part of an operation's latency objective that it may wait for a slot. What waits
# longer is late anyway, and the caller does better to ask another daemon.
SLOT_WAIT_PART = 0.5
# Statements that all daemons together may have at an instance, for each of its slots.
# What is beyond the slots waits in the instance's queue, and beyond that is refused: 70
# daemons that each take all of five slots for theirs had 350 statements at an instance
# whose queue holds 40, and most of its time went into connections that it turned away.
# With eight daemons each may use all slots, which keeps them busy and the queue short.
STATEMENTS_A_SLOT = 8
# Tries of one statement at instances, while none of them has run it.
MAX_TRIES = 6
# Failures in a row after which an instance gets one statement at a time.
DARK_FAILURES = 2
# The pause after a try that an instance refused for want of a slot, in milliseconds.
RETRY_PAUSE_MS = 12
# The pause after an instance had no connection left, in milliseconds. What a killed
# daemon held is free after seconds, what others hold idle after a statement or two.
FULL_PAUSE_MS = 40
# Who the pooler itself is to the instances when it asks for their status.
STATUS_WORKSPACE = "bronzerelay"

Outcome = TypeVar("Outcome")
# A link with an open transaction, or who began none and what it answered.
Began = InstanceLink | tuple[Answer, InstanceEntry]


class Job(NamedTuple):
    """One statement on its way to an instance.

    `deadline_ms` ends the statement, `slot_by_ms` its wait for a slot; both are points
    on the clock.
    """

    statement: Statement
    route: Route
    workspace: str
    # The values that the session has set.
    values: dict[str, str]
    prepared: Prepared | None
    deadline_ms: float
    slot_by_ms: float

    @property
    def writes(self) -> bool:
        """Return whether the statement changes data."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.verb is Verb.WRITE


def share_slots(slots: int, daemons: int) -> int:
    """Return how many statements one of the daemons may have at an instance at once."""
    return min(slots, max(1, math.ceil(STATEMENTS_A_SLOT * slots / daemons)))


class Place(NamedTuple):
    """A slot of an instance; `as_primary` when it is used for its lead."""

    service: str
    instance: str
    as_primary: bool


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
        # The instances that the queues' slots are those of.
        self._groups: dict[str, tuple[InstanceEntry, ...]] = {}
        self._daemons = 1

    # Slots

    def set_daemons(self, count: int) -> None:
        """Take over how many daemons share the instances, this one included."""
        self._daemons = count
        self._groups = {}

    def _queue_of(self, service: str) -> SlotQueue:
        """Return the queue of a service, its slots brought up to date."""
        group = self._directory.list_instances(service)
        # The directory replaces a group whenever one of its instances changes, so that
        # the slots are worked out then and not for each statement.
        if self._groups.get(service) is not group:
            self._set_slots(service, group)
        return self._queues[service]

    def _set_slots(self, service: str, group: tuple[InstanceEntry, ...]) -> None:
        with self._lock:
            queue = self._queues.get(service)
            if queue is None:
                queue = self._queues[service] = SlotQueue(self._runtime, WAITING_LIMIT)
            queue.set_endpoints(
                {entry.id: share_slots(entry.slots, self._daemons) for entry in group}
            )
            self._groups[service] = group

    def _acquire(self, job: Job, readers: list[str]) -> str | Refusal:
        """Return the first of `readers` with a free slot, waiting for one."""
        queue = self._queue_of(job.route.service)
        return queue.acquire_endpoint(job.workspace, tuple(readers), job.slot_by_ms)

    def keep_links(self, service: str) -> int:
        """Return how many idle links to one instance this daemon may keep.

        Half of the connections are divided evenly. The other half is for what runs,
        and for what a daemon that was killed holds until the instance notices. Where
        that leaves none to a daemon none is kept: idle links of many daemons would
        take all connections of an instance, and each statement would wait for one.
        """
        config = self._directory.config
        spec = config.services.get(service) if config else None
        return spec.max_links // (2 * self._daemons) if spec else 0

    # Single statements

    def run_single(self, job: Job, own_commit: Position | None) -> Answer | Refusal:
        """Run a statement outside a transaction and return its answer."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        for _ in range(MAX_TRIES):
            need = self._work_out_need(job, own_commit)
            outcome = self._try_single(job, need, tried)
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
            if not self._has_time(job):
                return failure
            if entry.id != self._leader_id(job.route.service):
                tried = tried | {entry.id}
            self._pause(answer.fault)
        return failure or refuse_no_primary()

    def _work_out_need(self, job: Job, own_commit: Position | None) -> ReadNeed:
        if job.writes:
            return ReadNeed(None, True)
        return self._placement.work_out_need(job.route, own_commit)

    def _visit(
        self,
        job: Job,
        need: ReadNeed,
        tried: frozenset[str],
        act: Callable[[Place, InstanceEntry], Outcome],
    ) -> Outcome | Refusal:
        """Return what `act` makes of a slot of an instance that suits the job."""
        place = self._choose(job, need, tried)
        if isinstance(place, Refusal):
            return place
        entry = self._directory.instances.get(place.instance)
        try:
            return refuse_no_primary() if entry is None else act(place, entry)
        finally:
            self._release(place)

    def _try_single(
        self, job: Job, need: ReadNeed, tried: frozenset[str]
    ) -> tuple[Answer, InstanceEntry] | Refusal:
        def run(
            place: Place, entry: InstanceEntry
        ) -> tuple[Answer, InstanceEntry] | Refusal:
            answer = self._run_at(job, place, entry, need)
            if isinstance(answer, Refusal):
                return answer
            if place.as_primary and job.writes:
                answer = self._confirm(answer, entry)
            self._log_attempt(job, place, need, answer)
            return answer, entry

        return self._visit(job, need, tried, run)

    def _confirm(self, answer: Answer, entry: InstanceEntry) -> Answer:
        """Return the answer to a write unless another instance may lead by now.

        A primary behind a cut commits though it was replaced, and what it commits is
        rolled back when the cut heals. Its caller is told that nobody knows.
        """
        if answer.fault is not None:
            return answer
        if self._guard.is_still_primary(entry.service, entry.id):
            return answer
        return Answer(fault=Fault.LOST, detail="the primary may have been replaced")

    def _choose(
        self, job: Job, need: ReadNeed, tried: frozenset[str]
    ) -> Place | Refusal:
        service = job.route.service
        readers = self._find_readers(job, need, tried)
        if not readers or self._is_dark(readers):
            return refuse_no_primary()
        chosen = self._acquire(job, readers)
        if isinstance(chosen, Refusal):
            return chosen
        as_primary = need.primary_only or chosen == self._leader_id(service)
        refusal = self._guard.check_use(service, chosen) if as_primary else None
        if refusal is not None:
            self._queue_of(service).release(chosen)
            return refusal
        self._placement.view_of(chosen).outstanding += 1
        return Place(service, chosen, as_primary)

    def _is_dark(self, readers: list[str]) -> bool:
        """Return whether the only instance that may serve answers nobody.

        One statement at a time finds out whether it is back. Each other one would hold
        a slot until its timeout, and a write would end in doubt instead of not run.
        """
        if len(readers) > 1:
            return False
        view = self._placement.view_of(readers[0])
        return view.failures >= DARK_FAILURES and view.outstanding > 0

    def _find_readers(
        self, job: Job, need: ReadNeed, tried: frozenset[str]
    ) -> list[str]:
        """Return who may serve the job, waiting while a planned change is made.

        Such a change takes a few round trips. Callers that were refused meanwhile
        would come back as often as they may, and some would give up.
        """
        service = job.route.service
        while True:
            has_proof = self._guard.has_proof()
            readers = self._placement.list_readers(service, need, tried, has_proof)
            record = self._directory.primary_records.get(service)
            planned = record is not None and record.planned and not record.settled
            if readers or not planned or self._clock.now_ms() >= job.slot_by_ms:
                return readers
            self._runtime.sleep_ms(RETRY_PAUSE_MS)

    def _release(self, place: Place) -> None:
        self._placement.view_of(place.instance).outstanding -= 1
        self._queue_of(place.service).release(place.instance)

    def _leader_id(self, service: str) -> str | None:
        leader = self._directory.find_primary(service)
        return leader.id if leader else None

    def _use(
        self, entry: InstanceEntry, as_primary: bool, act: Callable[[], Outcome]
    ) -> Outcome | Refusal:
        """Return what `act` makes of an instance, which still leads if it has to.

        Only what is sent to the primary counts as a use of it. A link that is still
        being opened can't be broken off, and a change of primary would wait for it.
        """
        if not as_primary:
            return act()
        refusal = self._guard.begin_use(entry.service, entry.id)
        if refusal is not None:
            return refusal
        try:
            return act()
        finally:
            self._guard.end_use(entry.service)

    def _call_patiently(
        self, job: Job, place: Place, entry: InstanceEntry, call: Callable[[], Answer]
    ) -> Answer | Refusal:
        """Call a primary again on the same link while it has no slot.

        Nobody else can serve the statement, and a new link would take a slot itself.
        """
        while True:
            answer = self._use(entry, place.as_primary, call)
            if isinstance(answer, Refusal) or answer.fault is not Fault.BUSY:
                return answer
            if not place.as_primary or self._clock.now_ms() >= job.slot_by_ms:
                return answer
            self._count_retry(answer)
            self._pause(Fault.BUSY)

    def _run_at(
        self, job: Job, place: Place, entry: InstanceEntry, need: ReadNeed
    ) -> Answer | Refusal:
        began_ms = self._clock.now_ms()
        try:
            link = self._borrow(job, entry)
        except LinkError as error:
            return self._note_no_link(entry, error, began_ms)
        try:
            return self._call_patiently(
                job, place, entry, lambda: self._call(link, job, need.floor)
            )
        finally:
            self._pool.give_back(link, self.keep_links(entry.service))

    def _borrow(self, job: Job, entry: InstanceEntry) -> InstanceLink:
        link = self._pool.lend(entry, job.workspace, job.values, job.deadline_ms)
        try:
            link.adopt(job.values, job.prepared)
        except LinkError:
            self._pool.give_back(link, 0)
            raise
        return link

    def _note_no_link(
        self, entry: InstanceEntry, error: LinkError, began_ms: float
    ) -> Answer:
        if error.fault is Fault.UNREACHABLE:
            self._placement.record_failure(entry, began_ms)
        if error.fault is Fault.TOO_MANY_LINKS:
            self._pool.make_room(entry.id)
        return Answer(fault=error.fault, detail=error.detail)

    def _call(self, link: InstanceLink, job: Job, floor: Position | None) -> Answer:
        """Run the job's statement on a link and learn from the answer."""
        text = job.statement.text
        if job.prepared is not None:
            name = name_prepared(job.prepared)
            text = self._codec.format_execute(name, job.statement.arguments)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(job.statement.id, text, floor, job.deadline_ms)
        if answer.fault is Fault.UNPREPARED:
            link.forget_prepared()
        self._learn(link.entry, answer, sent_at_ms)
        return answer

    def _learn(self, entry: InstanceEntry, answer: Answer, sent_at_ms: float) -> None:
        took_ms = self._clock.now_ms() - sent_at_ms
        if answer.fault in (Fault.LOST, Fault.TIMED_OUT):
            self._placement.record_failure(entry, sent_at_ms)
            return
        self._placement.record_answer(entry, took_ms)
        self._placement.record_position(entry, answer.position, sent_at_ms)

    def _has_time(self, job: Job) -> bool:
        return self._clock.now_ms() < job.deadline_ms

    def _pause(self, fault: Fault) -> None:
        if fault is Fault.TOO_MANY_LINKS:
            self._runtime.sleep_ms(FULL_PAUSE_MS)
        elif fault in (Fault.BUSY, Fault.READ_ONLY):
            self._runtime.sleep_ms(RETRY_PAUSE_MS)

    # Transactions

    def begin(
        self, job: Job, read_only: bool, own_commit: Position | None
    ) -> InstanceLink | Refusal:
        """Return a link with a transaction open on it, or say why there is none."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        for _ in range(MAX_TRIES):
            need = ReadNeed(None, True)
            if read_only:
                need = self._placement.work_out_need(job.route, own_commit)
            outcome = self._try_begin(job, read_only, need, tried)
            if isinstance(outcome, InstanceLink):
                return outcome
            if isinstance(outcome, Refusal):
                return failure or outcome
            answer, entry = outcome
            self._count_retry(answer)
            # Nothing but BEGIN was sent, and what it began rolls back.
            failure = refuse_fault(answer, False)._replace(ran=NOT_RUN)
            if not self._has_time(job):
                return failure
            if entry.id != self._leader_id(job.route.service):
                tried = tried | {entry.id}
            self._pause(answer.fault or Fault.BUSY)
        return failure or refuse_no_primary()

    def _try_begin(
        self, job: Job, read_only: bool, need: ReadNeed, tried: frozenset[str]
    ) -> Began | Refusal:
        def begin(place: Place, entry: InstanceEntry) -> Began | Refusal:
            outcome = self._begin_at(job, place, entry, read_only, need)
            if isinstance(outcome, Refusal):
                return outcome
            answer = Answer() if isinstance(outcome, InstanceLink) else outcome[0]
            self._log_attempt(job, place, need, answer, begins=True)
            return outcome

        return self._visit(job, need, tried, begin)

    def _begin_at(
        self,
        job: Job,
        place: Place,
        entry: InstanceEntry,
        read_only: bool,
        need: ReadNeed,
    ) -> Began | Refusal:
        began_ms = self._clock.now_ms()
        try:
            link = self._borrow(job, entry)
        except LinkError as error:
            return self._note_no_link(entry, error, began_ms), entry
        answer = self._call_patiently(
            job,
            place,
            entry,
            lambda: self._send_begin(link, job, read_only, need.floor),
        )
        if isinstance(answer, Answer) and answer.fault is None and link.in_transaction:
            return link
        self._pool.give_back(link, self.keep_links(entry.service))
        return answer if isinstance(answer, Refusal) else (answer, entry)

    def _send_begin(
        self, link: InstanceLink, job: Job, read_only: bool, floor: Position | None
    ) -> Answer:
        text = self._codec.format_begin(read_only)
        sent_at_ms = self._clock.now_ms()
        answer = link.call(OWN_ID, text, floor, job.deadline_ms)
        self._learn(link.entry, answer, sent_at_ms)
        return answer

    def run_inside(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        """Run one statement, or the commit, of the transaction on `link`.

        What the instance had no slot for leaves the transaction as it was, and is
        sent again while there is time.
        """
        if not link.usable:
            return lose_transaction("its connection has ended")
        while True:
            answer = self._try_inside(link, job, as_primary)
            if isinstance(answer, Refusal) or answer.fault is None:
                return answer
            is_open = answer.state is TransactionState.OPEN
            again = answer.fault in (Fault.BUSY, Fault.UNPREPARED) and is_open
            if not again or not self._has_time(job):
                return answer
            self._pause(answer.fault)

    def _try_inside(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        entry = link.entry
        chosen = self._acquire(job, [entry.id])
        if isinstance(chosen, Refusal):
            return chosen
        self._placement.view_of(chosen).outstanding += 1
        place = Place(entry.service, chosen, as_primary)
        try:
            outcome = self._call_inside(link, job, as_primary)
            if isinstance(outcome, Answer):
                self._log_attempt(job, place, ReadNeed(None, as_primary), outcome)
            return outcome
        finally:
            self._release(place)

    def _call_inside(
        self, link: InstanceLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        try:
            link.adopt(job.values, job.prepared)
        except LinkError as error:
            return lose_transaction(error.detail)
        answer = self._use(link.entry, as_primary, lambda: self._call(link, job, None))
        if isinstance(answer, Refusal):
            link.close()
            return lose_transaction("its primary is being replaced")
        if as_primary and job.statement.verb is Verb.COMMIT:
            return self._confirm(answer, link.entry)
        return answer

    def roll_back(self, link: InstanceLink) -> None:
        """Roll the transaction back and take the link back; a link in doubt closes."""
        if link.usable and link.in_transaction:
            deadline_ms = self._clock.now_ms() + NO_PRIMARY_RETRY_MS
            link.call(OWN_ID, self._codec.format_rollback(), None, deadline_ms)
        self.end(link)

    def end(self, link: InstanceLink) -> None:
        """Take back the link of a transaction that has ended."""
        self._pool.give_back(link, self.keep_links(link.entry.service))

    # The instances themselves

    def ask_status(
        self, entry: InstanceEntry, timeout_ms: float
    ) -> InstanceStatus | None:
        """Return where an instance stands, or None when it doesn't say in time."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        try:
            link = self._pool.lend(entry, STATUS_WORKSPACE, {}, deadline_ms)
        except LinkError as error:
            self._log_status(entry, str(error))
            return None
        try:
            text = self._codec.format_status()
            answer = link.call(OWN_ID, text, None, deadline_ms)
        finally:
            self._pool.give_back(link, self.keep_links(entry.service))
        if answer.fault is not None or not answer.rows:
            self._log_status(entry, answer.detail)
            return None
        return self._codec.parse_status(answer.rows[0])

    def _log_status(self, entry: InstanceEntry, detail: str) -> None:
        self._log.write_request(
            "runner",
            "An instance didn't say where it stands.",
            service=entry.service,
            instance=entry.id,
            detail=detail,
        )

    # Records of what happened

    def _count_retry(self, answer: Answer) -> None:
        fault = answer.fault.name.lower() if answer.fault else "none"
        self._counters.count("retries", reason=fault)

    def _log_attempt(
        self,
        job: Job,
        place: Place,
        need: ReadNeed,
        answer: Answer,
        begins: bool = False,
    ) -> None:
        """Write where a statement went, by what, and what came of it."""
        view = self._placement.view_of(place.instance)
        lead = self._directory.primary_records.get(place.service)
        self._log.write_request(
            "runner",
            "A transaction was opened." if begins else "A statement was sent.",
            request=job.statement.id,
            workspace=job.workspace,
            database=job.route.database,
            verb=job.statement.verb.name,
            service=place.service,
            instance=place.instance,
            as_primary=place.as_primary,
            floor=need.floor,
            instance_log_end=view.position,
            proof_age_ms=round(self._guard.proof_age_ms()),
            lead_epoch=lead.epoch if lead else 0,
            config_version=self._directory.version,
            answer_ms=round(view.answer_ms, 1),
            left_ms=round(job.deadline_ms - self._clock.now_ms()),
            outcome=answer.fault.name.lower() if answer.fault else "done",
            detail=answer.detail,
            position=answer.position,
        )
