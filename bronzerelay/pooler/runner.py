"""Chooses an instance for each statement, and the way to it, and retries."""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.load.linkholders import Choice, LinkHolders, Way
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory
from bronzerelay.pooler.execution import (
    BeginOutcome,
    Executor,
    Job,
    Target,
    count_retry,
)
from bronzerelay.pooler.fleetconfig import InstanceEntry
from bronzerelay.pooler.links import InstanceLink
from bronzerelay.pooler.messages import (
    NOT_RUN_FAULTS,
    Answer,
    Fault,
    Position,
    Verb,
)
from bronzerelay.pooler.passing import Kind
from bronzerelay.pooler.passingclient import (
    NotTaken,
    PassedLink,
    PassingClient,
    Replaced,
    make_request,
)
from bronzerelay.pooler.placement import Placement, ReadRequirement
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.refusals import (
    NO_PRIMARY_RETRY_MS,
    refuse_fault,
    refuse_lost_transaction,
    refuse_no_primary,
)
from bronzerelay.pooler.retrypolicy import MAX_ATTEMPTS, find_pause_ms
from bronzerelay.runtime import Runtime

# The fraction of an operation's latency objective that it may wait for a slot. After
# that the objective is missed anyway, and the caller does better to ask another daemon.
SLOT_WAIT_FRACTION = 0.5
# The interval at which a statement looks for a primary during a switchover, in
# milliseconds.
SWITCHOVER_POLL_MS = 12
# Faults of a single statement after which another attempt is of no use.
FINAL_FAULTS = (Fault.FAILED, Fault.REJECTED, Fault.UNSENDABLE)
# Refusals of one instance after which a read tries the next one.
SPILLING_CODES = (
    Code.QUEUE_FULL,
    Code.DEADLINE_PASSED,
    Code.ENDPOINT_UNREACHABLE,
)

# A link with an open transaction, of this daemon or at a holder.
TransactionLink = InstanceLink | PassedLink
SingleOutcome = tuple[Answer, InstanceEntry] | Refusal
OpenOutcome = PassedLink | BeginOutcome | Refusal


class Passing(NamedTuple):
    """What passing statements on needs."""

    holders: LinkHolders
    client: PassingClient


class Runner:
    """Runs the statements of all sessions of one daemon."""

    def __init__(
        self,
        runtime: Runtime,
        directory: Directory,
        placement: Placement,
        guard: PrimaryGuard,
        executor: Executor,
        passing: Passing,
        counters: Counters,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._directory = directory
        self._placement = placement
        self._guard = guard
        self._executor = executor
        self._passing = passing
        self._counters = counters

    def describe_wait(self, service: str, level: int) -> dict[str, float]:
        """Return what a new statement of a level finds in the queue, for the log."""
        return self._executor.describe_wait(service, level)

    # Single statements

    def run_single(self, job: Job, own_commit: Position | None) -> Answer | Refusal:
        """Run a statement outside a transaction and return its answer."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        # The refusal for a read that ran and failed, and is being repeated.
        failed: Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            requirement = self._find_requirement(job, own_commit)
            outcome = self._try_single(job, requirement, tried)
            if isinstance(outcome, Refusal):
                return failed or failure or outcome
            answer, entry = outcome
            if answer.fault is None:
                if not job.writes:
                    self._placement.budget_of(entry.service).earn()
                return answer
            may_repeat = answer.fault in NOT_RUN_FAULTS or not job.writes
            count_retry(self._counters, answer)
            failure = failed or refuse_fault(answer, job.writes)
            if answer.fault is Fault.FAILED and failed is None:
                tried = tried | {entry.id}
                if self._may_repeat_failed(job, requirement, tried):
                    failed = failure
                    continue
            if not may_repeat or answer.fault in FINAL_FAULTS:
                return failure
            if not self._has_time_left(job):
                return failure
            if entry.id != self._primary_id(job.route.service):
                tried = tried | {entry.id}
            self._pause_before_retry(answer.fault)
        return failure or refuse_no_primary()

    def _may_repeat_failed(
        self, job: Job, requirement: ReadRequirement, tried: frozenset[str]
    ) -> bool:
        """Return whether a read that ran and failed may run at another instance."""
        if job.writes:
            return False
        service = job.route.service
        others = self._placement.list_candidates(
            service, requirement, tried, self._guard.has_proof(), job.regions
        )
        if tried.issuperset(others) or not self._has_time_left(job):
            outcome = "no_other"
        elif self._placement.budget_of(service).take():
            outcome = "repeated"
        else:
            outcome = "no_budget"
        self._counters.count("failed_reads", outcome=outcome)
        return outcome == "repeated"

    def _find_requirement(
        self, job: Job, own_commit: Position | None
    ) -> ReadRequirement:
        if job.writes:
            return ReadRequirement(None, True)
        return self._placement.find_requirement(job.route, own_commit)

    def _try_single(
        self, job: Job, requirement: ReadRequirement, tried: frozenset[str]
    ) -> SingleOutcome:
        def run(target: Target) -> SingleOutcome:
            return self._executor.run_single(job, target)

        def pass_on(entry: InstanceEntry, target: Target) -> SingleOutcome | NotTaken:
            return self._pass_single(job, entry, target)

        return self._try_candidates(job, requirement, tried, run, pass_on)

    def _try_candidates(
        self,
        job: Job,
        requirement: ReadRequirement,
        tried: frozenset[str],
        run: Callable[[Target], OpenOutcome],
        pass_on: Callable[[InstanceEntry, Target], OpenOutcome | NotTaken],
    ) -> OpenOutcome:
        """Run a job here or pass it on, at the best candidate that takes it."""
        too_long = self._executor.refuse_if_too_long(job, requirement.floor)
        if too_long is not None:
            return too_long
        candidates = self._wait_for_candidates(job, requirement, tried)
        if not candidates or self._is_unresponsive(candidates):
            return refuse_no_primary()
        if not self._executor.shares_links(job.route.service):
            return run(Target(tuple(candidates), requirement))
        refusal: Refusal | None = None
        for instance_id in candidates:
            outcome = self._try_instance(instance_id, requirement, run, pass_on)
            if not isinstance(outcome, Refusal) or outcome.code not in SPILLING_CODES:
                return outcome
            refusal = refusal or outcome
        return refusal or refuse_no_primary()

    def _try_instance(
        self,
        instance_id: str,
        requirement: ReadRequirement,
        run: Callable[[Target], OpenOutcome],
        pass_on: Callable[[InstanceEntry, Target], OpenOutcome | NotTaken],
    ) -> OpenOutcome:
        entry = self._directory.instances.get(instance_id)
        if entry is None:
            return refuse_no_primary()
        choice = self._passing.holders.choose(entry.id, entry.domain)
        target = Target((instance_id,), requirement, choice)
        if choice.way is Way.PASSED:
            outcome = self._with_use(entry, requirement, lambda: pass_on(entry, target))
            if not isinstance(outcome, NotTaken):
                return outcome
            choice = Choice(Way.DIRECT, choice.holder, outcome.reason)
        self._counters.count("ways", way=choice.way.name.lower())
        return run(target._replace(choice=choice))

    def _with_use(
        self,
        entry: InstanceEntry,
        requirement: ReadRequirement,
        action: Callable[[], OpenOutcome | NotTaken],
    ) -> OpenOutcome | NotTaken:
        """Pass a statement on unless this daemon knows better than to use the primary.

        The holder's guard decides; the check here spares the way.
        """
        if self._executor.is_used_as_primary(entry.service, entry.id, requirement):
            refusal = self._guard.check_use(entry.service, entry.id)
            if refusal is not None:
                return refusal
        self._counters.count("ways", way=Way.PASSED.name.lower())
        view = self._placement.view_of(entry.id)
        view.outstanding += 1
        try:
            return action()
        finally:
            view.outstanding -= 1

    def _pass_single(
        self, job: Job, entry: InstanceEntry, target: Target
    ) -> SingleOutcome | NotTaken:
        request = make_request(
            job,
            Kind.SINGLE,
            self._clock.now_ms(),
            entry,
            target.requirement.floor,
            target.requirement.primary_only,
        )
        outcome = self._passing.client.run_single(
            job, entry, target.choice.holder, request
        )
        if isinstance(outcome, Refusal | NotTaken):
            return outcome
        answer = _read_answer(outcome)
        if job.writes:
            answer = self._executor.check_still_primary(answer, entry)
        self._executor.log_attempt(job, entry, target, answer)
        return answer, entry

    def _is_unresponsive(self, candidates: list[str]) -> bool:
        """Return whether the only candidate doesn't respond and is being tested."""
        return len(candidates) == 1 and self._executor.is_unresponsive(candidates[0])

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
                service,
                requirement,
                tried,
                has_proof,
                job.regions,
                job.route.objective_ms,
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

    def _primary_id(self, service: str) -> str | None:
        primary = self._directory.find_primary(service)
        return primary.id if primary else None

    def _has_time_left(self, job: Job) -> bool:
        return self._clock.now_ms() < job.deadline_ms

    def _pause_before_retry(self, fault: Fault) -> None:
        self._runtime.sleep_ms(find_pause_ms(fault))

    # Transactions

    def begin(
        self, job: Job, read_only: bool, own_commit: Position | None
    ) -> TransactionLink | Refusal:
        """Return a link with an open transaction, or the refusal for the caller."""
        tried: frozenset[str] = frozenset()
        failure: Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            requirement = ReadRequirement(None, True)
            if read_only:
                requirement = self._placement.find_requirement(job.route, own_commit)
            outcome = self._try_begin(job, read_only, requirement, tried)
            if isinstance(outcome, InstanceLink | PassedLink):
                return outcome
            if isinstance(outcome, Refusal):
                return failure or outcome
            answer, entry = outcome
            count_retry(self._counters, answer)
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
    ) -> OpenOutcome:
        def run(target: Target) -> OpenOutcome:
            return self._executor.begin(job, read_only, target)

        def pass_on(entry: InstanceEntry, target: Target) -> OpenOutcome | NotTaken:
            return self._pass_begin(job, entry, read_only, target)

        return self._try_candidates(job, requirement, tried, run, pass_on)

    def _pass_begin(
        self, job: Job, entry: InstanceEntry, read_only: bool, target: Target
    ) -> OpenOutcome | NotTaken:
        request = make_request(
            job,
            Kind.BEGIN_READ_ONLY if read_only else Kind.BEGIN,
            self._clock.now_ms(),
            entry,
            target.requirement.floor,
            target.requirement.primary_only,
        )
        first = make_request(job, Kind.STATEMENT, self._clock.now_ms())
        outcome = self._passing.client.begin(
            job, entry, target.choice.holder, request, first
        )
        if isinstance(outcome, Refusal | NotTaken):
            return outcome
        is_open = isinstance(outcome, PassedLink)
        answer = Answer() if is_open else _read_answer(outcome)
        self._executor.log_attempt(job, entry, target, answer, begins=True)
        return outcome if is_open else (answer, entry)

    def run_in_transaction(
        self, link: TransactionLink, job: Job, as_primary: bool
    ) -> Answer | Refusal:
        """Run one statement, or the commit, of the transaction on `link`."""
        too_long = self._executor.refuse_if_too_long(job, None)
        if too_long is not None:
            return too_long
        if isinstance(link, InstanceLink):
            return self._executor.run_in_transaction(link, job, as_primary)
        if link.sent is not job and not link.is_open():
            link.close()
            return refuse_lost_transaction("its connection has ended")
        request = make_request(job, Kind.STATEMENT, self._clock.now_ms())
        outcome = self._passing.client.run_in_transaction(link, job, request)
        if isinstance(outcome, NotTaken | Replaced):
            link.close()
            return refuse_lost_transaction("its holder can't go on with it")
        if isinstance(outcome, Answer):
            is_commit = job.statement.verb is Verb.COMMIT
            if not link.usable and not is_commit:
                # Without its connection the holder rolls the transaction back.
                return refuse_lost_transaction(outcome.detail)
            if as_primary and is_commit:
                outcome = self._executor.check_still_primary(outcome, link.entry)
            choice = Choice(Way.PASSED, link.connection.holder)
            target = Target((link.entry.id,), ReadRequirement(None, as_primary), choice)
            self._executor.log_attempt(job, link.entry, target, outcome)
        return outcome

    def roll_back(self, link: TransactionLink) -> None:
        """Roll the transaction back and release the link; close it if that fails."""
        if isinstance(link, InstanceLink):
            self._executor.roll_back(link)
        else:
            self._passing.client.end(link, NO_PRIMARY_RETRY_MS)

    def release_link(self, link: TransactionLink) -> None:
        """Release the link of a transaction that has ended."""
        if isinstance(link, InstanceLink):
            self._executor.release_link(link)
        else:
            self._passing.client.end(link, NO_PRIMARY_RETRY_MS)


def _read_answer(outcome: Answer | Replaced) -> Answer:
    """Return the answer; a primary that is being replaced takes no statement."""
    if isinstance(outcome, Answer):
        return outcome
    return Answer(fault=Fault.READ_ONLY, detail="the primary is being replaced")
