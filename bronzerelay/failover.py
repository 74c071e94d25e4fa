"""Promotion: fence a majority of a group at a new term, then promote the best log.

The instances themselves decide. Each accepts a term once, so of two daemons that
fence with the same term at most one gets a majority; and any majority contains an
instance that holds each acknowledged write. No record of the platform is needed, so
that a primary that fails while the platform is out is replaced as quickly as ever.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from bronzerelay.dialect import EndpointError, EndpointLink
from bronzerelay.runtime import Runtime, TaskLimitError
from bronzerelay.types import EndpointSpec, GroupSpec, Position
from bronzerelay.watch import CONNECT_TIMEOUT_MS, GroupWatch, Opener

CALL_TIMEOUT_MS = 400
# A group without a primary is left alone for this long when somebody else seems to
# be promoting: two daemons that fence by turns would keep each other from ending.
RIVAL_PAUSE_MS = (120, 360)
# After a failed try the next one waits, longer each time, up to the last entry.
RETRY_PAUSE_MS = (30, 60, 120, 240, 480)
CHECK_MS = 25
# How often an instance that lags behind a change of primary is pointed to it again.
REDIRECT_MS = 200
# A primary is taken for cut from its replicas when these need this many times longer
# than usual, and never sooner than the floor. The first is a guess of the usual time.
STALL_FACTOR = 3.0
STALL_FLOOR_MS = 600.0
FIRST_CATCH_UP_MS = 400.0
CATCH_UP_MEMORY = 0.9
# A planned change of primary waits this long for a replica to catch up.
CATCH_UP_MS = 1000


class Outcome(NamedTuple):
    """How a try to promote ended; `primary` is empty when it failed."""

    primary: str
    term: int
    reason: str


class Fenced(NamedTuple):
    """An instance that accepted the new term, with its log's end."""

    endpoint: EndpointSpec
    link: EndpointLink
    end: Position


def run_together(
    runtime: Runtime, function: Callable[..., Any], items: list
) -> list[Any]:
    """Return `function(item)` for each item, each run as a task of its own."""
    futures = []
    for item in items:
        try:
            futures.append(runtime.start(function, item))
        except TaskLimitError:
            futures.append(None)
    return [future.result() for future in futures if future is not None]


class Promoter:
    """Changes the primary of one group."""

    def __init__(self, runtime: Runtime, opener: Opener):
        self._runtime = runtime
        self._opener = opener

    def promote(
        self, spec: GroupSpec, term: int, endpoints: list[EndpointSpec]
    ) -> Outcome:
        """Fence `endpoints` at `term` and promote the one with the best log.

        Nothing is promoted without a majority of the group in `spec`.
        """
        fenced = run_together(
            self._runtime, lambda one: self._fence(one, term), endpoints
        )
        accepted = [item for item in fenced if item is not None]
        try:
            return self._promote_best(spec, term, accepted)
        finally:
            for item in accepted:
                item.link.close()

    def _fence(self, endpoint: EndpointSpec, term: int) -> Fenced | None:
        opened = self._opener(endpoint, "monitor", CONNECT_TIMEOUT_MS)
        if not opened.is_ok():
            return None
        result = opened.ok.fence(term, CALL_TIMEOUT_MS)
        if not result.is_ok():
            opened.ok.close()
            return None
        end = Position(result.ok.log_term, result.ok.position)
        return Fenced(endpoint, opened.ok, end)

    def _promote_best(
        self, spec: GroupSpec, term: int, accepted: list[Fenced]
    ) -> Outcome:
        needed = len(spec.endpoints) // 2 + 1
        if len(accepted) < needed:
            reason = f"{len(accepted)} of {len(spec.endpoints)} accepted the term"
            return Outcome("", term, reason)
        # Among equal logs an endpoint that is leaving comes last.
        best = max(accepted, key=lambda item: (item.end, not item.endpoint.leaving))
        result = best.link.promote(term, CALL_TIMEOUT_MS)
        if not result.is_ok():
            return Outcome("", term, f"{best.endpoint.name}: {result.error.message}")
        followers = [item for item in accepted if item is not best]
        run_together(
            self._runtime,
            lambda item: item.link.follow(
                term, str(best.endpoint.address), CALL_TIMEOUT_MS
            ),
            followers,
        )
        return Outcome(best.endpoint.name, term, "promoted")


class StallDetector:
    """Notices that a primary's log grows and no majority follows.

    A primary that is cut from its replicas, but not from us, takes writes that can
    never be acknowledged, and looks healthy otherwise. How long replicas usually need
    is measured, so that a long lag alone isn't taken for a cut.
    """

    def __init__(self, runtime: Runtime):
        self._runtime = runtime
        self._usual_ms = FIRST_CATCH_UP_MS
        self._awaited: Position | None = None
        self._since_ms = 0.0

    def restart(self) -> None:
        """Forget what is awaited; the primary changes."""
        self._awaited = None

    def is_stalled(self, watch: GroupWatch, primary: str) -> bool:
        """Return whether the majority has been behind for far longer than usual."""
        state = watch.states.get(primary)
        if state is None:
            return False
        now_ms = self._runtime.clock.now_ms()
        if self._awaited is not None and watch.is_held_by_majority(self._awaited):
            self._learn(now_ms - self._since_ms)
            self._awaited = None
        end = Position(state.log_term, state.position)
        if self._awaited is None or self._awaited.term != end.term:
            self._awaited = None if watch.is_held_by_majority(end) else end
            self._since_ms = now_ms
            return False
        limit_ms = max(STALL_FLOOR_MS, STALL_FACTOR * self._usual_ms)
        return now_ms - self._since_ms > limit_ms

    def _learn(self, took_ms: float) -> None:
        """Follow a longer time at once and a shorter one slowly."""
        self._usual_ms = max(took_ms, self._usual_ms * CATCH_UP_MEMORY)


class GroupKeeper:
    """Keeps one group served: promotes when needed, and points strays to the primary.

    Any daemon may do this for any group at any time; the terms keep it safe, and
    only the daemon that serves the group does, to keep it calm. `note_outcome` is told
    each outcome, and why the change was tried.
    """

    def __init__(
        self,
        runtime: Runtime,
        watch: GroupWatch,
        opener: Opener,
        is_serving: Callable[[], bool],
        note_outcome: Callable[[Outcome, str], None],
    ):
        self._runtime = runtime
        self._watch = watch
        self._opener = opener
        self._promoter = Promoter(runtime, opener)
        self._is_serving = is_serving
        self._note_outcome = note_outcome
        self._failures = 0
        self._redirect_at_ms = 0.0
        self._stall = StallDetector(runtime)
        # While true, no write may start: the primary is being changed on purpose.
        self.holds_writes = False
        self._stopped = False

    def stop(self) -> None:
        """End the task after its current step."""
        self._stopped = True

    def run(self) -> None:
        """Look after the group until stopped."""
        while not self._stopped and self._runtime.sleep_ms(CHECK_MS):
            if not self._is_serving():
                continue
            primary = self._watch.primary()
            if primary is None:
                self._replace_primary()
            elif self._stall.is_stalled(self._watch, primary):
                self._replace_stalled(primary)
            else:
                self._failures = 0
                self._redirect_strays(primary)
                self._move_off_leaving(primary)

    def _replace_stalled(self, primary: str) -> None:
        """Replace a primary that we reach and its replicas don't.

        It is left out of the fence, for its log is the longest: it would be chosen
        again. The others are a majority by themselves, so they hold every
        acknowledged write.
        """
        spec = self._watch.spec
        others = [one for one in self._list_reachable(spec) if one.name != primary]
        if len(others) >= self._watch.majority_size():
            self._stall.restart()
            term = self._watch.highest_term() + 1
            self._promote(term, others, f"{primary} is cut from its replicas")

    def _replace_primary(self) -> None:
        # The primary may be the one whose first answer is still on its way.
        if not self._watch.has_majority() or not self._watch.has_polled_all():
            return
        known_term = self._watch.highest_term()
        if self._rival_is_at_work():
            self._runtime.sleep_ms(self._runtime.random.uniform(*RIVAL_PAUSE_MS))
        else:
            self._pause_after_failure()
        moved_on = self._watch.highest_term() != known_term
        if moved_on or self._watch.primary() is not None:
            return
        self._promote(
            known_term + 1,
            self._list_reachable(self._watch.spec),
            "no primary answers",
        )

    def _rival_is_at_work(self) -> bool:
        """Return whether the instances stand at a term that has no primary yet."""
        term = self._watch.highest_term()
        states = list(self._watch.states.values())
        at_term = [state for state in states if state.term == term]
        had_primary = any(state.role == "primary" for state in at_term)
        logs_begun = any(state.log_term == term for state in at_term)
        return not had_primary and not logs_begun

    def _pause_after_failure(self) -> None:
        if self._failures:
            step = min(self._failures, len(RETRY_PAUSE_MS)) - 1
            spread = self._runtime.random.uniform(0.5, 1.5)
            self._runtime.sleep_ms(RETRY_PAUSE_MS[step] * spread)

    def _promote(self, term: int, endpoints: list[EndpointSpec], why: str) -> None:
        outcome = self._promoter.promote(self._watch.spec, term, endpoints)
        self._failures = 0 if outcome.primary else self._failures + 1
        self._note_outcome(outcome, why)
        if outcome.primary:
            self._watch.wait_primary(CALL_TIMEOUT_MS)

    def _list_reachable(self, spec: GroupSpec) -> list[EndpointSpec]:
        """Return the endpoints that answer; a frozen one would only cost time.

        It is safe to leave some out: whoever isn't fenced now learns the new term
        when it comes back, and can't gather a majority meanwhile.
        """
        states = self._watch.states
        return [
            endpoint
            for endpoint in spec.endpoints
            if endpoint.name in states and states[endpoint.name].reachable
        ]

    def _redirect_strays(self, primary: str) -> None:
        """Let instances that don't follow the primary follow it.

        They came back after a failure with an older term, or the daemon that fenced
        them died before it told them whom to follow.
        """
        now_ms = self._runtime.clock.now_ms()
        if now_ms < self._redirect_at_ms:
            return
        states = self._watch.states
        term = self._watch.highest_term()
        for endpoint in self._watch.spec.endpoints:
            state = states.get(endpoint.name)
            if state is None or not state.reachable or state.log_term >= term:
                continue
            self._redirect_at_ms = now_ms + REDIRECT_MS
            self._follow(endpoint, term, primary)

    def _follow(self, endpoint: EndpointSpec, term: int, primary: str) -> None:
        addresses = {one.name: one.address for one in self._watch.spec.endpoints}
        address = addresses.get(primary)
        if address is None:
            return
        opened: Result[EndpointLink, EndpointError] = self._opener(
            endpoint, "monitor", CONNECT_TIMEOUT_MS
        )
        if opened.is_ok():
            opened.ok.follow(term, str(address), CALL_TIMEOUT_MS)
            opened.ok.close()

    def _move_off_leaving(self, primary: str) -> None:
        """Change the primary on purpose when its endpoint is leaving.

        Writes wait meanwhile. Without that the leaving primary's log would always
        be ahead of its replicas', and it would be chosen again.
        """
        spec = self._watch.spec
        leaving = {endpoint.name for endpoint in spec.endpoints if endpoint.leaving}
        if primary not in leaving or len(leaving) == len(spec.endpoints):
            return
        self.holds_writes = True
        try:
            if self._wait_until_caught_up(primary, leaving):
                term = self._watch.highest_term() + 1
                self._promote(term, self._list_reachable(spec), f"{primary} is leaving")
        finally:
            self.holds_writes = False

    def _wait_until_caught_up(self, primary: str, leaving: set[str]) -> bool:
        watch = self._watch

        def is_caught_up() -> bool:
            states = watch.states
            others = [
                state.position
                for name, state in states.items()
                if name not in leaving and state.term == watch.highest_term()
            ]
            end = states[primary].position if primary in states else 0
            return max(others, default=-1) >= end

        with watch.condition:
            return self._runtime.wait_for(watch.condition, is_caught_up, CATCH_UP_MS)
