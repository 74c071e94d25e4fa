"""Chooses the instance for a read: up to date enough, and the fastest to answer."""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.load.nearness import AnswerTimes, Option, Spread, fade_pressure
from bronzerelay.load.outliers import STEPS, AnswerRecord, Quality, RetryBudget, Use
from bronzerelay.pooler.directory import Directory, PrimaryRecord
from bronzerelay.pooler.fleetconfig import (
    Consistency,
    InstanceEntry,
    Regions,
    Route,
)
from bronzerelay.pooler.messages import Fault, Position
from bronzerelay.pooler.positions import LogPositions, Sample
from bronzerelay.runtime import Runtime

# The assumed answer time of an instance before any was measured, in milliseconds, and
# the weight of a new measurement in the moving average. The assumed time is short, so
# that each instance is tried: if it were longer than the answer time of an instance in
# use, the other instances would never be used.
INITIAL_ANSWER_MS = 1.0
ANSWER_WEIGHT = 0.1
# How long an instance that gave no answer is avoided, unless there is no other, in
# milliseconds. Each failed attempt costs its caller the whole timeout.
AVOID_MS = 700
# How long the log position in a replica's answer is used to exclude the replica, in
# milliseconds. After that the replica may have caught up.
POSITION_VALID_MS = 300
# The factor on the primary's cost. Only the primary can serve writes, so a read goes
# there only if a replica would take this many times as long.
PRIMARY_COST_FACTOR = 2.0
# The latency objective that is assumed where no route is given, in milliseconds.
DEFAULT_OBJECTIVE_MS = 400
# What a fault says about its instance. The others say nothing: the caller's statement
# was wrong, or the instance's state or role wasn't what was assumed.
FAULT_QUALITIES = {
    Fault.FAILED: Quality.FAILED,
    Fault.TIMED_OUT: Quality.FAILED,
    Fault.LOST: Quality.FAILED,
    Fault.UNREACHABLE: Quality.FAILED,
    Fault.BUSY: Quality.WEAK,
    Fault.TOO_MANY_LINKS: Quality.WEAK,
}


class InstanceView:
    """What this daemon has observed of one instance."""

    def __init__(self):
        self.answer_ms = INITIAL_ANSWER_MS
        # Statements of this daemon that are in progress at the instance.
        self.outstanding = 0
        self.avoid_until_ms = 0.0
        # Consecutive failures since the last answer, and when the first one began.
        self.failures = 0
        self.failing_since_ms = 0.0
        self.position: Position | None = None
        self.position_at_ms = 0.0
        self.answers = AnswerRecord()
        self.times = AnswerTimes()
        # The wait of a new statement for a slot, as its link holder last told.
        self.pressure_ms = 0.0
        self.pressure_at_ms = 0.0


class ReadRequirement(NamedTuple):
    """What a read requires: a log up to the position `floor`, or the primary."""

    floor: Position | None
    primary_only: bool


class Candidate(NamedTuple):
    """An instance that may serve a read; the lowest in this order is the best."""

    is_avoided: bool
    # Whether the read is to test the instance: such a read goes there first.
    isnt_test: bool
    cost: float
    id: str
    entry: InstanceEntry
    is_primary: bool


# Called when the share of the reads that an instance gets has changed.
ReportShare = Callable[[InstanceEntry, AnswerRecord], None]


class Placement:
    """Chooses instances by what this daemon's own statements have shown of them."""

    def __init__(self, runtime: Runtime, directory: Directory, domain: str = ""):
        self._runtime = runtime
        self._clock = runtime.clock
        self._directory = directory
        # The failure domain of this daemon, empty if it isn't known.
        self._domain = domain
        self._lock = runtime.make_lock()
        self._views: dict[str, InstanceView] = {}
        self._positions: dict[str, LogPositions] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._spreads: dict[str, Spread] = {}
        self.on_share_change: ReportShare = lambda entry, record: None

    def positions_of(self, service: str) -> LogPositions:
        """Return the known log positions of a service's primary."""
        positions = self._positions.get(service)
        if positions is None:
            with self._lock:
                positions = self._positions.setdefault(
                    service, LogPositions(self._runtime)
                )
        return positions

    def view_of(self, instance_id: str) -> InstanceView:
        """Return the observations of an instance."""
        view = self._views.get(instance_id)
        if view is None:
            with self._lock:
                view = self._views.setdefault(instance_id, InstanceView())
        return view

    def drop_unlisted(self) -> None:
        """Drop the views of instances that are no longer listed."""
        listed = self._directory.instances
        with self._lock:
            for instance_id in set(self._views) - set(listed):
                del self._views[instance_id]

    def list_samples(self, since_ms: float, own: bool) -> dict[str, Sample]:
        """Return each primary's newest log sample since a time, by service.

        With `own`, only samples that this daemon took from the primary itself.
        """
        samples = {}
        for service, positions in list(self._positions.items()):
            sample = positions.newest_own if own else positions.newest()
            if sample is not None and sample.at_ms >= since_ms:
                samples[service] = sample
        return samples

    def list_silent(self) -> dict[str, float]:
        """Return the instances that don't answer, and since when."""
        return {
            instance_id: view.failing_since_ms
            for instance_id, view in list(self._views.items())
            if view.failures > 0
        }

    # Recording answers

    def record_answer(
        self, entry: InstanceEntry, took_ms: float, is_late: bool = False
    ) -> None:
        """Record how long an instance took to return a result."""
        view = self.view_of(entry.id)
        view.answer_ms += ANSWER_WEIGHT * (took_ms - view.answer_ms)
        view.times.record(took_ms, self._clock.now_ms())
        self._record_contact(view)
        self._record_quality(entry, Quality.WEAK if is_late else Quality.GOOD)

    def record_error(self, entry: InstanceEntry, fault: Fault) -> None:
        """Record that an instance answered with an error.

        An error often comes faster than a result would, so its time doesn't count.
        """
        view = self.view_of(entry.id)
        self._record_contact(view)
        if fault is Fault.BUSY:
            view.times.record_refusal(self._clock.now_ms())
        self.record_fault(entry, fault)

    def _record_contact(self, view: InstanceView) -> None:
        view.avoid_until_ms = 0.0
        view.failures = 0

    def record_fault(self, entry: InstanceEntry, fault: Fault) -> None:
        """Count a fault against an instance if it says something about the instance."""
        quality = FAULT_QUALITIES.get(fault)
        if quality is not None:
            self._record_quality(entry, quality)

    def _record_quality(self, entry: InstanceEntry, quality: Quality) -> None:
        record = self.view_of(entry.id).answers
        peers = [
            self.view_of(peer.id).answers
            for peer in self._directory.list_instances(entry.service)
            if peer.id != entry.id
        ]
        with self._lock:
            changed = record.record(quality, peers, self._clock.now_ms())
        if changed:
            self.on_share_change(entry, record)

    def record_pressure(self, instance_id: str, wait_ms: float) -> None:
        """Record the wait that a new statement would have at an instance, as told."""
        view = self.view_of(instance_id)
        view.pressure_ms = wait_ms
        view.pressure_at_ms = self._clock.now_ms()

    def budget_of(self, service: str) -> RetryBudget:
        """Return the budget for repeating failed reads of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            with self._lock:
                budget = self._budgets.setdefault(service, RetryBudget())
        return budget

    def record_failure(self, entry: InstanceEntry, sent_at_ms: float) -> None:
        """Record that an instance didn't answer a request sent at `sent_at_ms`.

        A request from before the last primary change says nothing of the primary.
        """
        view = self.view_of(entry.id)
        now_ms = self._clock.now_ms()
        view.avoid_until_ms = now_ms + AVOID_MS
        if sent_at_ms < self.positions_of(entry.service).reset_at_ms:
            return
        if view.failures == 0:
            view.failing_since_ms = sent_at_ms
        view.failures += 1

    def begin_primary(self, record: PrimaryRecord) -> None:
        """Drop what was recorded before a primary change, given its settled record."""
        self.positions_of(record.service).reset(record.epoch, record.term)
        self.view_of(record.instance).failures = 0

    def record_position(
        self, entry: InstanceEntry, position: Position | None, sent_at_ms: float
    ) -> None:
        """Record the end of an instance's log, as of a request sent at `sent_at_ms`."""
        if position is None:
            return
        view = self.view_of(entry.id)
        view.position = position
        view.position_at_ms = sent_at_ms
        primary = self._directory.find_primary(entry.service)
        if primary is not None and primary.id == entry.id:
            self.positions_of(entry.service).add_own_sample(sent_at_ms, position)

    # Choosing

    def find_requirement(
        self, route: Route, own_commit: Position | None
    ) -> ReadRequirement:
        """Return what a read on `route` requires after the session's own commit."""
        if route.consistency is Consistency.PRIMARY:
            return ReadRequirement(None, True)
        sample = self.positions_of(route.service).find_sample(route.max_age_ms)
        if sample is None:
            return ReadRequirement(None, True)
        floor = sample.position
        reads_own = route.consistency is Consistency.READ_YOUR_WRITES
        # A sample includes every commit of an earlier term that survived the primary
        # change before it. A lost commit is in no log any more, and a read that
        # requires it would never be served.
        if reads_own and own_commit and own_commit.term >= sample.primary_term:
            floor = max(floor, own_commit)
        return ReadRequirement(floor, False)

    def list_candidates(
        self,
        service: str,
        requirement: ReadRequirement,
        tried: frozenset[str],
        has_proof: bool,
        regions: Regions = None,
        objective_ms: float = DEFAULT_OBJECTIVE_MS,
    ) -> list[str]:
        """Return the ids of the instances in `regions` that may serve, best first.

        Where the instances of the service lie in several failure domains, those of the
        own domain come first, as far as `objective_ms` allows the wait for them.
        Without a proof that it is still the primary, the primary is used only if the
        read requires it or no other instance is left.
        """
        primary = self._directory.find_primary(service)
        if primary is not None and not _is_inside(primary, regions):
            primary = None
        if requirement.primary_only:
            return [primary.id] if primary else []
        now_ms = self._clock.now_ms()
        usable: list[Candidate] = []
        # Instances that get only a share of the reads, and this one isn't in it.
        limited: list[Candidate] = []
        group = self._directory.list_instances(service)
        for entry in group:
            if self._directory.is_leaving(entry) or entry.id in tried:
                continue
            if not _is_inside(entry, regions):
                continue
            is_primary = primary is not None and primary.id == entry.id
            if is_primary and not has_proof:
                continue
            if not is_primary and entry.claims_primary:
                # Two instances claim to be primary. The log of this one may have
                # diverged from the log of the primary in use.
                continue
            view = self.view_of(entry.id)
            if not is_primary and not self._may_have_reached(
                view, requirement.floor, now_ms
            ):
                continue
            cost = (view.outstanding + 1) * view.answer_ms
            if is_primary:
                cost *= PRIMARY_COST_FACTOR
            use = self._choose_use(view, bool(tried), len(group), now_ms)
            candidate = Candidate(
                view.avoid_until_ms > now_ms,
                use is not Use.TEST,
                cost,
                entry.id,
                entry,
                is_primary,
            )
            (limited if use is Use.NONE else usable).append(candidate)
        if not any(not candidate.is_avoided for candidate in usable):
            usable += limited
        if not usable and primary is not None:
            return [primary.id]
        usable.sort()
        if len(usable) > 1 and self._has_several_domains(service):
            return self._order_by_domain(service, usable, objective_ms, now_ms)
        return [candidate.id for candidate in usable]

    def _has_several_domains(self, service: str) -> bool:
        """Return whether the service's instances lie in several failure domains."""
        if not self._domain:
            return False
        group = self._directory.list_instances(service)
        return len({entry.domain for entry in group if entry.domain}) > 1

    def _order_by_domain(
        self,
        service: str,
        candidates: list[Candidate],
        objective_ms: float,
        now_ms: float,
    ) -> list[str]:
        """Return the ids of sorted candidates with the near ones first.

        Reads that test an instance still go there first, and those that didn't answer
        come last.
        """
        tests, options, avoided = [], [], []
        for candidate in candidates:
            if candidate.is_avoided:
                avoided.append(candidate.id)
            elif not candidate.isnt_test:
                tests.append(candidate.id)
            else:
                options.append(self._make_option(candidate, now_ms))
        with self._lock:
            spread = self._spreads.get(service)
            if spread is None:
                spread = self._spreads[service] = Spread(self._runtime.random.random)
            ordered = spread.order(options, objective_ms, now_ms) if options else []
        return [*tests, *ordered, *avoided]

    def describe(self, service: str, instance_id: str) -> dict[str, object]:
        """Return what decided about reads at an instance, for the log."""
        now_ms = self._clock.now_ms()
        view = self.view_of(instance_id)
        spread = self._spreads.get(service)
        entry = self._directory.instances.get(instance_id)
        fields: dict[str, object] = {"read_share": STEPS[view.answers.step]}
        if entry is not None and self._domain:
            fields["near"] = entry.domain == self._domain
        if spread is not None:
            fields["spill"] = round(spread.spill, 2)
        if view.pressure_at_ms:
            fields["pressure_ms"] = round(view.pressure_ms)
            fields["pressure_age_ms"] = round(now_ms - view.pressure_at_ms)
        return fields

    def _make_option(self, candidate: Candidate, now_ms: float) -> Option:
        entry = candidate.entry
        view = self.view_of(candidate.id)
        pressure_ms = fade_pressure(view.pressure_ms, now_ms - view.pressure_at_ms)
        return Option(
            candidate.id,
            entry.domain == self._domain,
            candidate.is_primary,
            view.times.estimate(pressure_ms, now_ms),
            view.times.calm_ms,
            PRIMARY_COST_FACTOR if candidate.is_primary else 1.0,
            view.outstanding,
            entry.slots,
        )

    def _choose_use(
        self, view: InstanceView, is_retry: bool, instances: int, now_ms: float
    ) -> Use:
        record = view.answers
        if not record.is_limited:
            return Use.NORMAL
        if is_retry:
            return Use.NONE
        with self._lock:
            return record.choose_use(view.outstanding, instances, now_ms)

    def _may_have_reached(
        self, view: InstanceView, floor: Position | None, now_ms: float
    ) -> bool:
        if floor is None or view.position is None or view.position >= floor:
            return True
        return now_ms - view.position_at_ms > POSITION_VALID_MS


def _is_inside(entry: InstanceEntry, regions: Regions) -> bool:
    return regions is None or entry.region in regions
