"""Promotion: fence a majority of a group at a new term, promote the longest log.

The instances themselves decide. Each accepts a term only once, so of two daemons that
fence with the same term at most one gets a majority; and for each acknowledged write,
any majority contains an instance that holds it. No record of the platform is needed, so
a primary that fails while the platform is unavailable is replaced just as quickly.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from bronzerelay.dialect import EndpointError, EndpointLink
from bronzerelay.runtime import Runtime, TaskLimitError
from bronzerelay.types import EndpointSpec, GroupSpec, Position
from bronzerelay.watch import (
    CONNECT_TIMEOUT_MS,
    GroupWatch,
    InstanceState,
    Opener,
    find_highest_term,
)

CALL_TIMEOUT_MS = 400
# How long to leave a group without a primary alone when another daemon seems to be
# promoting: two daemons that fence in turn would keep each other from succeeding.
COMPETITOR_PAUSE_MS = (120, 360)
# The backoff after each failed promotion in a row; the last entry repeats.
RETRY_BACKOFF_MS = (30, 60, 120, 240, 480)
CHECK_INTERVAL_MS = 25
# How often an instance that doesn't follow the primary yet is pointed to it again.
REPOINT_INTERVAL_MS = 200
# A primary counts as cut off from its replicas when a majority needs this many times
# longer than usual to catch up, and never sooner than the floor. `INITIAL_CATCH_UP_MS`
# is the assumed usual time at the start, and `CATCH_UP_DECAY` is how much of the usual
# time remains when catching up took less.
STALL_FACTOR = 3.0
STALL_FLOOR_MS = 600.0
INITIAL_CATCH_UP_MS = 400.0
CATCH_UP_DECAY = 0.9
# If this much time lies between two checks, this daemon was paused, and its view of the
# replicas is as old.
PAUSED_CHECK_MS = 250.0
# How long a switchover waits for a replica to catch up.
CATCH_UP_TIMEOUT_MS = 1000


class Outcome(NamedTuple):
    """The outcome of a promotion; `primary` is empty if it failed."""

    primary: str
    term: int
    reason: str


class FencedInstance(NamedTuple):
    """An instance that accepted the new term, and the end of its log."""

    endpoint: EndpointSpec
    link: EndpointLink
    end: Position


def run_concurrently(
    runtime: Runtime, function: Callable[..., Any], items: list
) -> list[Any]:
    """Call `function` for each item in a task of its own; return the results.

    An item for which no task can be started is left out.
    """
    futures = []
    for item in items:
        try:
            futures.append(runtime.start(function, item))
        except TaskLimitError:
            futures.append(None)
    return [future.result() for future in futures if future is not None]


class Promoter:
    """Changes the primary of a group."""

    def __init__(self, runtime: Runtime, opener: Opener):
        self._runtime = runtime
        self._opener = opener

    def promote(
        self, spec: GroupSpec, term: int, endpoints: list[EndpointSpec]
    ) -> Outcome:
        """Fence `endpoints` at `term` and promote the one with the longest log.

        Nothing is promoted without a majority of the group in `spec`.
        """
        fenced = run_concurrently(
            self._runtime, lambda endpoint: self._fence(endpoint, term), endpoints
        )
        accepted = [item for item in fenced if isinstance(item, FencedInstance)]
        failures = [item for item in fenced if isinstance(item, str)]
        try:
            return self._promote_best(spec, term, accepted, failures)
        finally:
            for item in accepted:
                item.link.close()

    def _fence(self, endpoint: EndpointSpec, term: int) -> FencedInstance | str:
        """Return the fenced instance, or why it didn't accept the term."""
        opened = self._opener(endpoint, "monitor", CONNECT_TIMEOUT_MS)
        if not opened.is_ok():
            return f"{endpoint.name} can't be opened: {opened.error.message}"
        result = opened.ok.fence(term, CALL_TIMEOUT_MS)
        if not result.is_ok():
            opened.ok.close()
            return f"{endpoint.name} isn't fenced: {result.error.message}"
        end = Position(result.ok.log_term, result.ok.position)
        return FencedInstance(endpoint, opened.ok, end)

    def _promote_best(
        self,
        spec: GroupSpec,
        term: int,
        accepted: list[FencedInstance],
        failures: list[str],
    ) -> Outcome:
        needed = len(spec.endpoints) // 2 + 1
        if len(accepted) < needed:
            reason = f"{len(accepted)} of {len(spec.endpoints)} accepted the term"
            return Outcome("", term, "; ".join([reason, *failures]))
        # Among equal logs an endpoint that isn't leaving is preferred.
        best = max(accepted, key=lambda item: (item.end, not item.endpoint.leaving))
        result = best.link.promote(term, CALL_TIMEOUT_MS)
        if not result.is_ok():
            return Outcome("", term, f"{best.endpoint.name}: {result.error.message}")
        followers = [item for item in accepted if item is not best]
        run_concurrently(
            self._runtime,
            lambda item: item.link.follow(
                term, str(best.endpoint.address), CALL_TIMEOUT_MS
            ),
            followers,
        )
        return Outcome(best.endpoint.name, term, "promoted")


class StallDetector:
    """Detects that a primary's log grows while no majority of instances follows.

    A primary that is cut off from its replicas, but not from this daemon, runs writes
    that can never be acknowledged, and looks healthy otherwise. The usual time to catch
    up is measured, so that replicas with a constant long lag don't count as cut off.
    """

    def __init__(self, runtime: Runtime):
        self._runtime = runtime
        self._usual_ms = INITIAL_CATCH_UP_MS
        self._awaited: Position | None = None
        self._since_ms = 0.0
        self._checked_at_ms = 0.0

    def reset(self) -> None:
        """Drop the awaited position, as the primary changes."""
        self._awaited = None

    def is_stalled(self, watch: GroupWatch, primary: str) -> bool:
        """Return whether a majority has been behind for far longer than usual."""
        state = watch.states.get(primary)
        if state is None:
            return False
        now_ms = self._runtime.clock.now_ms()
        if now_ms - self._checked_at_ms > PAUSED_CHECK_MS:
            self.reset()
        self._checked_at_ms = now_ms
        if self._awaited is not None and watch.is_held_by_majority(self._awaited):
            self._update_usual(now_ms - self._since_ms)
            self._awaited = None
        end = Position(state.log_term, state.position)
        if self._awaited is None or self._awaited.term != end.term:
            self._awaited = None if watch.is_held_by_majority(end) else end
            self._since_ms = now_ms
            return False
        limit_ms = max(STALL_FLOOR_MS, STALL_FACTOR * self._usual_ms)
        return now_ms - self._since_ms > limit_ms

    def _update_usual(self, took_ms: float) -> None:
        """Raise the usual time at once to a longer one; lower it slowly."""
        self._usual_ms = max(took_ms, self._usual_ms * CATCH_UP_DECAY)


class FailoverManager:
    """Runs one group's failovers and switchovers, and points replicas to the primary.

    The terms make it safe for any daemon to do this at any time. It does so only while
    `may_promote` returns true, normally at the serving daemon alone, as competing
    daemons would delay each other. `report_outcome` is called with the outcome of each
    promotion and the reason for the promotion.
    """

    def __init__(
        self,
        runtime: Runtime,
        watch: GroupWatch,
        opener: Opener,
        may_promote: Callable[[], bool],
        report_outcome: Callable[[Outcome, str], None],
    ):
        self._runtime = runtime
        self._watch = watch
        self._opener = opener
        self._promoter = Promoter(runtime, opener)
        self._may_promote = may_promote
        self._report_outcome = report_outcome
        self._failures = 0
        self._repoint_at_ms = 0.0
        self._stall_detector = StallDetector(runtime)
        # While true, no write may start, as a switchover is under way.
        self.writes_paused = False
        self._stopped = False

    def stop(self) -> None:
        """End the task after its current step."""
        self._stopped = True

    def run(self) -> None:
        """Check the group regularly until stopped."""
        while not self._stopped and self._runtime.sleep_ms(CHECK_INTERVAL_MS):
            if not self._may_promote():
                continue
            primary = self._watch.primary()
            if primary is None:
                self._replace_primary()
            elif self._stall_detector.is_stalled(self._watch, primary):
                self._replace_stalled(primary)
            else:
                self._failures = 0
                self._repoint_replicas(primary)
                self._switch_over_leaving(primary)

    def _replace_stalled(self, primary: str) -> None:
        """Replace a primary that this daemon reaches and its replicas don't.

        It isn't fenced: its log is the longest, so it would be promoted again. The
        other instances must be a majority, so that they hold every acknowledged write.
        """
        spec = self._watch.spec
        others = [
            endpoint
            for endpoint in self._list_reachable(spec)
            if endpoint.name != primary
        ]
        if len(others) >= self._watch.majority_size():
            self._stall_detector.reset()
            term = self._watch.highest_term() + 1
            self._promote(term, others, f"{primary} is cut off from its replicas")

    def _replace_primary(self) -> None:
        # An instance that hasn't been polled yet may be the primary.
        if not self._watch.has_majority() or not self._watch.has_polled_all():
            return
        known_term = self._watch.highest_term()
        if self._is_other_promoting():
            self._runtime.sleep_ms(self._runtime.random.uniform(*COMPETITOR_PAUSE_MS))
        else:
            self._back_off_after_failure()
        term_changed = self._watch.highest_term() != known_term
        if term_changed or self._watch.primary() is not None:
            return
        self._promote(
            known_term + 1,
            self._list_reachable(self._watch.spec),
            "no primary answers",
        )

    def _is_other_promoting(self) -> bool:
        """Return whether the instances are at a term that has no primary yet."""
        term = self._watch.highest_term()
        states = list(self._watch.states.values())
        at_term = [state for state in states if state.term == term]
        has_primary = any(state.role == "primary" for state in at_term)
        has_entries = any(state.log_term == term for state in at_term)
        return not has_primary and not has_entries

    def _back_off_after_failure(self) -> None:
        if self._failures:
            step = min(self._failures, len(RETRY_BACKOFF_MS)) - 1
            jitter = self._runtime.random.uniform(0.5, 1.5)
            self._runtime.sleep_ms(RETRY_BACKOFF_MS[step] * jitter)

    def _promote(self, term: int, endpoints: list[EndpointSpec], why: str) -> None:
        outcome = self._promoter.promote(self._watch.spec, term, endpoints)
        self._failures = 0 if outcome.primary else self._failures + 1
        self._report_outcome(outcome, why)
        if outcome.primary:
            self._watch.wait_primary(CALL_TIMEOUT_MS)

    def _list_reachable(self, spec: GroupSpec) -> list[EndpointSpec]:
        """Return the endpoints that answer; a frozen one would only cost time.

        It is safe to leave some out: an instance that isn't fenced learns the new term
        when it is reachable again, and can't get a majority until then.
        """
        states = self._watch.states
        return [
            endpoint
            for endpoint in spec.endpoints
            if endpoint.name in states and states[endpoint.name].reachable
        ]

    def _repoint_replicas(self, primary: str) -> None:
        """Make instances that don't follow the primary follow it.

        They came back with an older term after a failure, or the daemon that fenced
        them failed before it pointed them to the new primary.
        """
        now_ms = self._runtime.clock.now_ms()
        if now_ms < self._repoint_at_ms:
            return
        states = self._watch.states
        term = self._watch.highest_term()
        for endpoint in self._watch.spec.endpoints:
            state = states.get(endpoint.name)
            if state is None or not state.reachable or state.log_term >= term:
                continue
            self._repoint_at_ms = now_ms + REPOINT_INTERVAL_MS
            self._follow(endpoint, term, primary)

    def _follow(self, endpoint: EndpointSpec, term: int, primary: str) -> None:
        addresses = {spec.name: spec.address for spec in self._watch.spec.endpoints}
        address = addresses.get(primary)
        if address is None:
            return
        opened: Result[EndpointLink, EndpointError] = self._opener(
            endpoint, "monitor", CONNECT_TIMEOUT_MS
        )
        if opened.is_ok():
            opened.ok.follow(term, str(address), CALL_TIMEOUT_MS)
            opened.ok.close()

    def _switch_over_leaving(self, primary: str) -> None:
        """Switch over to another primary if the present one's endpoint is leaving.

        Writes wait meanwhile. Otherwise the leaving primary's log would always be
        ahead of its replicas' logs, and it would be promoted again.
        """
        spec = self._watch.spec
        leaving = {endpoint.name for endpoint in spec.endpoints if endpoint.leaving}
        if primary not in leaving or not self._list_successors(leaving):
            return
        self.writes_paused = True
        try:
            if self._wait_until_caught_up(primary, leaving):
                term = self._watch.highest_term() + 1
                self._promote(term, self._list_reachable(spec), f"{primary} is leaving")
        finally:
            self.writes_paused = False

    def _list_successors(self, leaving: set[str]) -> list[InstanceState]:
        """Return the states of the instances that follow, answer and stay.

        While there is none, as the instances that stay are silent or were just lost as
        primaries, a switchover would only hold up the writes.
        """
        states = self._watch.states
        term = find_highest_term(states)
        return [
            state
            for name, state in states.items()
            if name not in leaving and state.reachable and state.log_term == term
        ]

    def _wait_until_caught_up(self, primary: str, leaving: set[str]) -> bool:
        """Wait until a successor has the primary's log; return whether one has it."""
        watch = self._watch

        def find_missing() -> int | None:
            """Return how many entries the best successor lacks, None without one."""
            states = watch.states
            successors = self._list_successors(leaving)
            if not successors:
                return None
            end = states[primary].position if primary in states else 0
            return max(0, end - max(state.position for state in successors))

        with watch.condition:
            self._runtime.wait_for(
                watch.condition, lambda: not find_missing(), CATCH_UP_TIMEOUT_MS
            )
            return find_missing() == 0
