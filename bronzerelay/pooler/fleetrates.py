"""Fleet-wide rate limits of workspaces, from counts that daemons report to each other.

Every daemon keeps a token bucket per workspace for the whole fleet. It takes tokens for
the operations that it admits itself and for those that the others report as admitted.
What the others admit before their next report isn't known, so daemons also report how
many operations callers request: if the others may take more than the bucket holds, each
daemon admits the same fraction of its own requests. The share of a daemon that isn't
heard from is set aside as of its last news, so that a network partition splits the rate
instead of doubling it.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from bronzerelay.load.apart import Apart, History, Limit, Loss, find_joint_debt
from bronzerelay.load.levelshares import LevelShares
from bronzerelay.pooler.fleetconfig import Workspace
from bronzerelay.pooler.sources import (
    ZERO_TALLY,
    PeerReports,
    Report,
    Scope,
    Source,
    SourceGroup,
    SourceKey,
    Tally,
    TallySum,
)
from bronzerelay.runtime import Runtime

# How long a report takes to reach all daemons, in milliseconds. Operations within this
# time are admitted without knowing of those of the other daemons.
PROPAGATION_MS = 300
# The same through relays: from a daemon to its relay, to the relay of another failure
# domain, and to the daemons there.
RELAYED_PROPAGATION_MS = 3 * PROPAGATION_MS
# The tokens of a new bucket. A process doesn't know what its predecessor spent, so it
# starts with next to none; with none at all the first caller of each workspace would be
# refused.
INITIAL_TOKENS = 1.0
# The time constant with which the demand decays, in milliseconds. It covers two
# reports, so that a flood is noticed at once but a single caller isn't taken for one.
DEMAND_WINDOW_MS = 600
# The fraction of the saved tokens that may be spent before the next reports arrive. If
# all were spent, the fleet would alternate between overspending and refusing.
SAVED_FRACTION = 0.5


class RateDecision(NamedTuple):
    """Whether an operation is admitted, and after how long to run or to retry it."""

    admitted: bool
    wait_ms: float = 0.0
    # Whether the workspace asks for more than is due to the daemons heard from.
    is_above_due: bool = False


class Bucket:
    """The fleet's token bucket of one workspace, as seen by this daemon."""

    def __init__(self, spec: Workspace, now_ms: float, credit: float):
        self.spec = spec
        self.tokens = min(INITIAL_TOKENS, spec.burst)
        self.filled_at_ms = now_ms
        # The totals of this process, which it reports to its peers.
        self.admitted = 0
        self.requested = 0
        self.changed_at_ms = 0.0
        # The operations that the whole fleet was recently asked for, decaying with
        # time.
        self.demand = 0.0
        # The part of it that callers asked of this daemon.
        self.own_demand = 0.0
        self.levels = LevelShares(credit)
        # The fraction of all daemons that are heard from, which is the fraction of the
        # rate that they may spend.
        self.fraction = 1.0
        self.history = History()
        # The last division, what the other sides admitted from then until they were
        # heard again, and what of that was taken out here.
        self.apart: Apart | None = None
        self.admitted_apart = 0
        self.charged = 0

    def make_limit(self) -> Limit:
        """Return the rate and burst of the daemons that are heard from."""
        return Limit(self.spec.rate, self.spec.burst, self.fraction)

    def take(self, count: float, now_ms: float) -> None:
        """Take tokens out; a negative count returns them."""
        self.history.record(now_ms, self.tokens, self.fraction, count)
        self.tokens = min(self.make_limit().find_capacity(), self.tokens - count)

    def admit(self, now_ms: float) -> None:
        """Take the token of an operation that is admitted here."""
        self.take(1, now_ms)
        self.admitted += 1

    def forget_demand(self, losses: list[Loss], now_ms: float) -> None:
        """Leave out the demand of callers who ask on another side."""
        for loss in losses:
            left = math.exp((loss.at_ms - now_ms) / DEMAND_WINDOW_MS)
            self.demand = max(0.0, self.demand - loss.requested * left)

    def divide(
        self, fraction: float, since_ms: float, now_ms: float, losses: list[Loss]
    ) -> None:
        """Leave this side the fraction of the tokens since the last news of others."""
        previous, self.fraction = self.fraction, fraction
        division = self.history.divide(
            self.tokens, self.make_limit(), previous, since_ms, now_ms, losses
        )
        self.tokens = division.tokens
        if self.apart is None or previous == 1.0:
            self.apart = Apart(since_ms, fraction, division.saved)
            self.admitted_apart = self.charged = 0
        else:
            self.apart = self.apart._replace(fraction=fraction)


class FleetRates:
    """The buckets of all workspaces at this daemon."""

    def __init__(self, runtime: Runtime, name: str):
        self._clock = runtime.clock
        self._random = runtime.random
        self._lock = runtime.make_lock()
        self._name = name
        self._buckets: dict[str, Bucket] = {}
        self._reports: dict[tuple[str, Scope], PeerReports] = {}
        self._sources: dict[SourceKey, Source] = {}
        # The applied tallies of the other daemons of this failure domain, and of the
        # other domains.
        self._sums: dict[Scope, dict[str, TallySum]] = {Scope.OWN: {}, Scope.DOMAIN: {}}
        self._propagation_ms = PROPAGATION_MS
        # The fraction of all daemons that are heard from.
        self._fraction = 1.0

    def set_workspaces(self, specs: Iterable[Workspace]) -> None:
        """Apply the rates of a configuration."""
        now_ms = self._clock.now_ms()
        with self._lock:
            updated = {}
            for spec in specs:
                bucket = self._buckets.get(spec.name)
                if bucket is None:
                    # A random start, or all daemons would admit and refuse in step.
                    bucket = Bucket(spec, now_ms, self._random.random())
                    bucket.fraction = self._fraction
                bucket.spec = spec
                bucket.tokens = min(bucket.tokens, spec.burst)
                updated[spec.name] = bucket
            self._buckets = updated

    def set_members(self, names: Iterable[str]) -> None:
        """Set the other daemons that admit operations, each reporting its own."""
        others = [name for name in names if name != self._name]
        self.set_sources({name: SourceGroup(Scope.OWN, (name,)) for name in others})

    def set_sources(self, groups: dict[SourceKey, SourceGroup]) -> None:
        """Set who reports for whom; each other member belongs to exactly one group."""
        now_ms = self._clock.now_ms()
        with self._lock:
            updated = {}
            for key, group in groups.items():
                source = self._sources.get(key)
                if source is None or source.group.scope is not group.scope:
                    source = Source(group, now_ms)
                source.set_group(group)
                updated[key] = source
            self._sources = updated
            is_relayed = any(group.scope is not Scope.OWN for group in groups.values())
            self._propagation_ms = (
                RELAYED_PROPAGATION_MS if is_relayed else PROPAGATION_MS
            )
            self._update_fraction(now_ms)

    # Reports

    def make_report(
        self, since_ms: float | None, scope: Scope = Scope.OWN, receiver: str = ""
    ) -> Report:
        """Return the tallies that changed since a time, or all if it is None."""
        oldest_ms = -math.inf if since_ms is None else since_ms
        now_ms = self._clock.now_ms()
        with self._lock:
            names = set(self._buckets)
            if scope is not Scope.OWN:
                names.update(*self._sums.values())
            tallies = {}
            for name in names:
                tally, changed_at_ms = self._sum_tallies(name, scope, receiver)
                if tally.requested and changed_at_ms >= oldest_ms:
                    tallies[name] = tally
            reachable, members = self._count_members(scope, receiver, now_ms)
        return Report(since_ms is None, tallies, scope, reachable, members)

    def _sum_tallies(self, workspace: str, scope: Scope, receiver: str) -> TallySum:
        """Return the tally of a workspace for a report with this scope and receiver."""
        bucket = self._buckets.get(workspace)
        total, changed_at_ms = ZERO_TALLY, -math.inf
        if bucket is not None:
            total = Tally(bucket.admitted, bucket.requested)
            changed_at_ms = bucket.changed_at_ms
        other_scopes = {
            Scope.OWN: (),
            Scope.DOMAIN: (Scope.OWN,),
            Scope.FLEET: (Scope.OWN, Scope.DOMAIN),
        }[scope]
        for other_scope in other_scopes:
            other = self._sums[other_scope].get(workspace)
            if other is not None:
                total = total.plus(other.tally)
                changed_at_ms = max(changed_at_ms, other.changed_at_ms)
        if scope is Scope.FLEET:
            reports = self._reports.get((receiver, Scope.OWN))
            if reports is not None:
                total = total.minus(reports.applied.get(workspace, ZERO_TALLY))
        return TallySum(total, changed_at_ms)

    def _count_members(
        self, scope: Scope, receiver: str, now_ms: float
    ) -> tuple[int, int]:
        """Return how many reachable members, and members, a report covers."""
        reachable = members = 1
        if scope is Scope.OWN:
            return reachable, members
        for source in self._sources.values():
            if scope is Scope.DOMAIN and source.group.scope is not Scope.OWN:
                continue
            if source.group.names == (receiver,):
                continue
            members += source.members
            reachable += source.count_reachable(now_ms)
        return reachable, members

    def apply_report(
        self, peer: str, incarnation: int, as_of_ms: float, report: Report
    ) -> None:
        """Take what a peer reports as admitted out of the buckets.

        Operations that it admitted while it was silent aren't taken out unless they
        exceed its share, which was set aside already. Nor are those from before it
        began to report in this scope again: another reporter covered them.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            reports = self._find_reports(peer, incarnation, report.scope)
            source = self._find_source(peer, report.scope)
            was_silent = reports.is_silent(now_ms)
            reports.add_report(report, as_of_ms)
            if source is None or was_silent or source.is_silent(now_ms):
                admitted = reports.take_uncovered()
                if source is not None and report.scope is Scope.OWN:
                    for name, added in admitted.items():
                        self._charge_excess(reports, name, added, now_ms)
            elif source.accepts(peer, now_ms):
                uncovered = reports.take_uncovered()
                for name, added in uncovered.items():
                    self._apply_tally(reports, report.scope, name, added, now_ms)
                source.record(now_ms, uncovered)
                self._cover_others(source, peer)
            if source is not None:
                source.add_report(peer, report, as_of_ms, now_ms)
            self._update_fraction(now_ms)

    def _cover_others(self, source: Source, peer: str) -> None:
        """Count what the other reporters of a group have reported as covered."""
        for name in source.group.names:
            reports = self._reports.get((name, source.group.scope))
            if reports is not None and name != peer:
                reports.cover()

    def _find_reports(self, peer: str, incarnation: int, scope: Scope) -> PeerReports:
        """Return what the peer's process has reported so far.

        A process that replaces a known one counts from zero. For any other one it is
        unknown when it admitted the operations of its first report, so these aren't
        counted.
        """
        reports = self._reports.get((peer, scope))
        if reports is None or reports.incarnation != incarnation:
            reports = PeerReports(incarnation, reports)
            self._reports[peer, scope] = reports
        return reports

    def _find_source(self, peer: str, scope: Scope) -> Source | None:
        """Return the group that this peer may report for, or None."""
        for source in self._sources.values():
            if source.group.scope is scope and peer in source.group.names:
                return source
        return None

    def _charge_excess(
        self, reports: PeerReports, workspace: str, added: Tally, now_ms: float
    ) -> None:
        """Take out what others admitted beyond their share while they were silent.

        They owe it, but this side knows only now, and no longer spends apart from them.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None or bucket.apart is None:
            return
        bucket.admitted_apart += added.admitted
        share = bucket.apart.find_share_elsewhere(bucket.spec.rate, now_ms)
        excess = math.floor(bucket.admitted_apart - share - bucket.charged)
        if excess > 0:
            bucket.charged += excess
            self._apply_tally(reports, Scope.OWN, workspace, Tally(excess, 0), now_ms)

    def _apply_tally(
        self,
        reports: PeerReports,
        scope: Scope,
        workspace: str,
        added: Tally,
        now_ms: float,
    ) -> None:
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            self._fill(bucket, now_ms)
            # The number is negative if the peer refunded more than it spent.
            bucket.take(added.admitted, now_ms)
            bucket.demand = max(0.0, bucket.demand + added.requested)
        sums = self._sums.get(scope)
        if sums is None:
            return
        applied = reports.applied.get(workspace, ZERO_TALLY)
        reports.applied[workspace] = applied.plus(added)
        previous = sums.get(workspace)
        total = previous.tally.plus(added) if previous else added
        sums[workspace] = TallySum(total, now_ms)

    # Admitting

    def spend(
        self, workspace: str, max_wait_ms: float = 0.0, level: int = 0
    ) -> RateDecision:
        """Spend one token, or one that is due within `max_wait_ms`.

        While more is requested than the rate, operations of more urgent levels are
        admitted first; level 0 is the most urgent.

        A bucket that is nearly empty, such as that of a process that has just started,
        earns its next token in a few milliseconds. A caller far below its rate that was
        refused for so little would have to start again at another daemon. While callers
        request more than the rate, nobody waits: waiting would only delay all of them
        without admitting more.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is None:
                return RateDecision(True)
            self._fill(bucket, now_ms)
            bucket.requested += 1
            bucket.changed_at_ms = now_ms
            bucket.demand += 1
            bucket.own_demand += 1
            bucket.levels.record(level, now_ms)
            rate = max(bucket.spec.rate * bucket.fraction, 0.001)
            due_ms = max(0.0, (1 - bucket.tokens) / rate * 1000)
            recent = bucket.demand * 1000 / DEMAND_WINDOW_MS
            is_over_rate = recent > rate
            reserve = 0.0
            if is_over_rate:
                reserve = bucket.levels.find_reserve(level, recent, bucket.spec.burst)
            reserved_ms = (1 + reserve - bucket.tokens) / rate * 1000
            if due_ms > (0.0 if is_over_rate else max_wait_ms):
                wait_ms = max(1.0, reserved_ms)
                return RateDecision(False, wait_ms, is_over_rate)
            has_reserve = not reserve or bucket.tokens >= 1 + reserve
            if has_reserve and self._covers_others(bucket, is_over_rate, now_ms):
                bucket.admit(now_ms)
                return RateDecision(True)
            expected = bucket.demand * self._propagation_ms / DEMAND_WINDOW_MS
            budget = bucket.tokens * SAVED_FRACTION + rate * self._propagation_ms / 1000
            if is_over_rate:
                budget *= self._find_heard_part(now_ms)
            # In simulations of a flood through 40 daemons at a rate of 100 a second,
            # 79 to 105 operations a second were admitted, and 58 to 164 if tokens alone
            # decided.
            if not bucket.levels.admit(level, budget / expected, has_reserve):
                # How long the rate takes to earn what is requested beyond the budget,
                # as urgently or more urgently.
                expected *= bucket.levels.find_part(level)
                wait_ms = max(1.0, (expected - budget) / rate * 1000, reserved_ms)
                return RateDecision(False, wait_ms, is_over_rate)
            bucket.admit(now_ms)
            return RateDecision(True, due_ms)

    def _covers_others(self, bucket: Bucket, is_over_rate: bool, now_ms: float) -> bool:
        """Return whether tokens are left even if all requests elsewhere take theirs.

        What this daemon admits it knows at once, so only the requests that the others
        get before their next reports can take the same token.
        """
        elsewhere = max(0.0, bucket.demand - bucket.own_demand)
        expected = elsewhere * self._propagation_ms / DEMAND_WINDOW_MS
        rate = bucket.spec.rate * bucket.fraction
        taken = max(0.0, expected - rate * self._propagation_ms / 1000)
        if is_over_rate and self._find_heard_part(now_ms) < 1:
            # What late daemons are asked for isn't known.
            return False
        return (bucket.tokens - 1) * SAVED_FRACTION >= taken

    def describe(self, workspace: str) -> str:
        """Return the inputs of a decision about a workspace as readable text."""
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is None:
                return "it has no rate"
            recent = bucket.demand * 1000 / DEMAND_WINDOW_MS
            return (
                f"{bucket.tokens:.1f} of {bucket.spec.burst:g} operations left, "
                f"{bucket.spec.rate:g} a second due, {recent:.1f} a second asked for, "
                f"{bucket.fraction:.0%} of the daemons heard of, "
                f"{max(0.0, -bucket.tokens):.1f} owed"
            )

    def refund(self, workspace: str) -> None:
        """Return the token of an operation that no instance has run.

        Otherwise each refusal for another reason would use up the workspace's rate, and
        a caller that retries as it was told would be refused for exceeding it.
        """
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is not None and bucket.admitted > 0:
                now_ms = self._clock.now_ms()
                bucket.take(-1, now_ms)
                bucket.admitted -= 1
                bucket.requested -= 1
                bucket.demand = max(0.0, bucket.demand - 1)
                bucket.own_demand = max(0.0, bucket.own_demand - 1)
                bucket.changed_at_ms = now_ms

    def _fill(self, bucket: Bucket, now_ms: float) -> None:
        """Refill the bucket with the fraction of the rate for the reachable daemons."""
        self._update_fraction(now_ms)
        self._earn(bucket, now_ms)

    def _earn(self, bucket: Bucket, now_ms: float) -> None:
        elapsed_ms = now_ms - bucket.filled_at_ms
        if elapsed_ms <= 0:
            return
        bucket.tokens = bucket.make_limit().earn(bucket.tokens, elapsed_ms)
        bucket.filled_at_ms = now_ms
        left = math.exp(-elapsed_ms / DEMAND_WINDOW_MS)
        bucket.demand *= left
        bucket.own_demand *= left

    def _update_fraction(self, now_ms: float) -> None:
        """Divide all buckets if daemons have fallen silent since the last call."""
        fraction = self._find_reachable_fraction(now_ms)
        previous, self._fraction = self._fraction, fraction
        if fraction < previous:
            self._divide(fraction, now_ms)
        elif fraction > previous:
            self._join(fraction, now_ms)
        for source in self._sources.values():
            source.counted = source.count_reachable(now_ms)

    def _join(self, fraction: float, now_ms: float) -> None:
        # Relays don't tell what their members admitted while they were silent.
        relayed = [
            source
            for source in self._sources.values()
            if source.group.scope is not Scope.OWN
        ]
        counts = (source.count_reachable(now_ms) - source.counted for source in relayed)
        members = 1 + sum(source.members for source in self._sources.values())
        added = max(0.0, sum(counts) / members)
        for bucket in self._buckets.values():
            self._earn(bucket, now_ms)
            limit = bucket.make_limit()
            bucket.tokens = find_joint_debt(bucket.tokens, limit, added)
            bucket.fraction = fraction

    def _divide(self, fraction: float, now_ms: float) -> None:
        news = {
            source: source.find_last_news(now_ms, PROPAGATION_MS)
            for source in self._sources.values()
        }
        lost = [source for source, last_ms in news.items() if last_ms is not None]
        since_ms = min((news[source] for source in lost), default=now_ms)
        for name, bucket in self._buckets.items():
            self._earn(bucket, now_ms)
            losses = []
            for source in lost:
                added = source.list_losses(name, now_ms)
                losses += added
                if source.counted:
                    bucket.forget_demand(added, now_ms)
            bucket.divide(fraction, since_ms, now_ms, losses)

    def _find_heard_part(self, now_ms: float) -> float:
        """Return the part of the reachable daemons whose reports aren't late.

        Daemons whose reports are late may be behind a partition and spend the same
        tokens.
        """
        reachable = heard = 1
        for source in self._sources.values():
            count = source.count_reachable(now_ms)
            reachable += count
            heard += 0 if source.is_late(now_ms) else count
        return heard / reachable

    def _find_reachable_fraction(self, now_ms: float) -> float:
        reachable = members = 1
        for source in self._sources.values():
            members += source.members
            reachable += source.count_reachable(now_ms)
        return reachable / members
