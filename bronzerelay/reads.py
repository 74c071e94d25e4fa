"""Reads of one group: from replicas that are recent enough, or from the primary."""

from typing import Any

from expression import Error, Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.dialect import EndpointError
from bronzerelay.instances import GroupComponents, Instances, refuse_abandoned
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import advance_session
from bronzerelay.types import Position, StatementAnswer
from bronzerelay.watch import NO_MAJORITY_WAIT_MS, PRIMARY
from bronzerelay.work import Work

# How long a read waits for a replica that is recent enough. After that the primary may
# serve it, too.
REPLICA_WAIT_MS = 25
# What a replica holds, its primary holds as well: two instances, which are a majority
# of up to three.
REPLICA_MAJORITY = 2
# The retry-after time of a refusal because no instance can serve the read.
READ_RETRY_MS = 300
# No data is older. A float holds it, which isn't true of every integer in a request.
LONGEST_AGE_MS = 2**53


class Reader:
    """Runs the reads of one group."""

    def __init__(
        self,
        runtime: Runtime,
        components: GroupComponents,
        instances: Instances,
        metrics: Any,
    ):
        self._runtime = runtime
        self._components = components
        self._watch = components.watch
        self._instances = instances
        self._metrics = metrics

    def read(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a read on a replica that is recent enough, or on the primary."""
        need = work.session.get(work.group, Position(0, 0))
        attempt = 1
        while True:
            result = self._try_read(work, need)
            if result.is_ok() or not isinstance(result.error, EndpointError):
                return result
            if self._instances.left_ms(work) <= 0 or not self._components.budget.allow(
                attempt
            ):
                message = f"No endpoint answered the read: {result.error.message}."
                return refuse(Code.ENDPOINT_UNREACHABLE, message, READ_RETRY_MS)
            self._metrics.count_retry(f"read_{result.error.kind}")
            self._components.budget.back_off(attempt, self._instances.left_ms(work))
            attempt += 1

    def _try_read(self, work: Work, need: Position) -> Result:
        acquired = self._acquire_slot(work, need)
        if not acquired.is_ok():
            return acquired
        name = acquired.ok
        if not work.is_wanted():
            self._components.slots.release(name)
            return refuse_abandoned()
        started_ms = self._runtime.clock.now_ms()
        timeout_ms = self._instances.timeout_ms(work)
        result = self._instances.run_at(
            name,
            lambda link: link.read(
                work.workspace, work.request["statement"], timeout_ms
            ),
        )
        if not result.is_ok():
            return result
        seen = Position(result.ok.log_term, result.ok.position)
        checked = self._check_read(work, name, need, seen, started_ms)
        if not checked.is_ok():
            return checked
        session = advance_session(work.session, work.group, seen)
        return Ok(self._instances.make_answer(name, session, result.ok.value))

    def _check_read(
        self,
        work: Work,
        name: str,
        need: Position,
        seen: Position,
        started_ms: float,
    ) -> Result:
        """Return Ok if the value read at position `seen` may be returned."""
        if seen < need:
            # The instance was rewound between its last report and this read, as a
            # former primary is to drop the writes that weren't acknowledged.
            return Error(EndpointError("behind", f"{name} is behind the session"))
        by_primary = name == self._watch.primary()
        # Data that only a minority holds would be lost if the primary failed now, and
        # the session would no longer see what it has seen.
        may_be_lost = by_primary or self._watch.majority_size() > REPLICA_MAJORITY
        wait_ms = self._proof_wait_ms(work)
        policy = self._components.policy
        if may_be_lost and not policy.wait_acknowledged(self._watch, seen, wait_ms):
            return self._refuse_unproven(work, f"{name} holds what may be lost")
        since_ms = started_ms - self._max_age_ms(work)
        wait_ms = self._proof_wait_ms(work) if by_primary else 0
        if policy.wait_proven(self._watch, seen, since_ms, by_primary, wait_ms):
            return Ok(None)
        return self._refuse_unproven(work, f"the age of {name} can't be proved")

    def _proof_wait_ms(self, work: Work) -> float:
        """Return how long to wait for a proof; briefly if no majority is reachable."""
        left_ms = self._instances.left_ms(work)
        return (
            left_ms if self._watch.has_majority() else min(left_ms, NO_MAJORITY_WAIT_MS)
        )

    def _refuse_unproven(self, work: Work, why: str) -> Result:
        """Return an error that leads to a retry, or a refusal if a retry is useless."""
        if self._instances.left_ms(work) > 0 and self._watch.has_majority():
            return Error(EndpointError("unproven", why))
        message = f"No endpoint could prove how old its data is: {why}."
        return refuse(Code.TOO_STALE, message, READ_RETRY_MS)

    def _max_age_ms(self, work: Work) -> float:
        max_age_ms = work.request.get("max_age_ms", self._watch.spec.max_age_ms)
        return min(max_age_ms, LONGEST_AGE_MS)

    def _acquire_slot(self, work: Work, need: Position) -> Result[str, Refusal]:
        max_age_ms = self._max_age_ms(work)
        short_ms = min(work.deadline_ms, self._runtime.clock.now_ms() + REPLICA_WAIT_MS)

        def select_replica(free: list[str]) -> str | None:
            return self._select_instance(free, need, max_age_ms, with_primary=False)

        def select_any(free: list[str]) -> str | None:
            return self._select_instance(free, need, max_age_ms, with_primary=True)

        if self._wait_for_replica(need, max_age_ms, short_ms):
            result = self._components.slots.acquire(
                work.workspace, select_replica, short_ms
            )
            if result.is_ok() or result.error.code == Code.QUEUE_FULL:
                return result
        until_ms = self._instances.latest_start_ms(work)
        return self._components.slots.acquire(work.workspace, select_any, until_ms)

    def _wait_for_replica(
        self, need: Position, max_age_ms: float, until_ms: float
    ) -> bool:
        if not self._components.policy.list_replicas(list(self._watch.states)):
            return False

        def has_replica() -> bool:
            names = list(self._watch.states)
            return (
                self._select_instance(names, need, max_age_ms, with_primary=False)
                is not None
            )

        with self._watch.condition:
            left_ms = until_ms - self._runtime.clock.now_ms()
            return self._runtime.wait_for(self._watch.condition, has_replica, left_ms)

    def _select_instance(
        self, free: list[str], need: Position, max_age_ms: float, with_primary: bool
    ) -> str | None:
        """Return one of the `free` instances that may serve the read, or None.

        That is a random replica, or if none is usable the primary.
        """
        primary = self._watch.primary()
        leaving = {spec.name for spec in self._watch.spec.endpoints if spec.leaving}
        usable = []
        for name in self._components.policy.list_replicas(free):
            state = self._watch.states.get(name)
            if state is None or not state.reachable or name in leaving:
                continue
            if name == primary:
                continue
            if state.role == PRIMARY or not state.holds(need):
                continue
            if self._watch.proven_age_ms(name) <= max_age_ms:
                usable.append(name)
        if usable:
            return self._runtime.random.choice(usable)
        if with_primary and primary in free:
            return primary
        return None
