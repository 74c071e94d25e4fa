"""Calls at a group's instances, each with a slot and a pooled link."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.dialect import EndpointError, EndpointLink
from bronzerelay.failover import FailoverManager
from bronzerelay.policies import Policy
from bronzerelay.pool import ConnectionPool
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import Session, encode_session
from bronzerelay.slots import SlotQueue
from bronzerelay.types import StatementAnswer
from bronzerelay.watch import GroupWatch
from bronzerelay.work import Work

LEND_TIMEOUT_MS = 300
# How long a caller is told to wait when a group has no primary.
NO_PRIMARY_RETRY_MS = 300
# How many times as long as a slot is usually held a write is left to run and to be
# acknowledged.
START_MARGIN = 3


def refuse_unwanted() -> Result:
    """Return the refusal of work whose asker has hung up while it waited.

    The asker lets another daemon find out what became of it. Run all the same, what a
    daemon had in hand when its peers took it for silent would use up the slots.
    """
    return refuse(Code.PEER_UNREACHABLE, "The daemon that asked has hung up.")


class GroupComponents(NamedTuple):
    """What a group is served with."""

    watch: GroupWatch
    failover_manager: FailoverManager
    slots: SlotQueue
    pools: dict[str, ConnectionPool]
    budget: RetryBudget
    policy: Policy


class Instances:
    """The instances of one group, as reads and writes call them."""

    def __init__(self, runtime: Runtime, components: GroupComponents, timeout_ms: int):
        self._runtime = runtime
        self._components = components
        self._timeout_ms = timeout_ms

    def latest_start_ms(self, work: Work) -> float:
        """Return until when it is of use to wait for a slot.

        A write that begins with no time left is broken off while it runs: its outcome
        is unknown, the endpoint's slot is taken still when the next one comes, and
        under load most of the slots' time goes into such writes.
        """
        left_ms = self.left_ms(work)
        needed_ms = min(START_MARGIN * self._components.slots.hold_ms, left_ms / 2)
        return work.deadline_ms - needed_ms

    def left_ms(self, work: Work) -> float:
        """Return how much time `work` has left."""
        return work.deadline_ms - self._runtime.clock.now_ms()

    def timeout_ms(self, work: Work) -> float:
        """Return how long one call for `work` may take."""
        return min(self._timeout_ms, max(1.0, self.left_ms(work)))

    def acquire_primary(
        self, work: Work, refuse_early: bool = True
    ) -> Result[tuple[str, int], Refusal]:
        """Return the primary and its term, with one of its slots taken.

        With `refuse_early` work that would get a slot too late is refused at once.
        """
        while self.left_ms(work) > 0:
            if self._components.failover_manager.writes_paused:
                self._runtime.sleep_ms(2)
                continue
            found = self._components.watch.wait_primary(self.left_ms(work))
            if found is None:
                break
            name, term = found
            slot = self._components.slots.acquire(
                work.workspace, (name,), self.latest_start_ms(work), refuse_early
            )
            if not slot.is_ok():
                return slot
            if not work.is_wanted():
                self._components.slots.release(name)
                return refuse_unwanted()
            if (
                self._components.watch.primary() == name
                and not self._components.failover_manager.writes_paused
            ):
                return Ok((name, term))
            self._components.slots.release(name)
        if not self._components.watch.has_majority():
            message = f"Most endpoints of {work.group} can't be reached from here."
            return refuse(Code.ENDPOINT_UNREACHABLE, message, NO_PRIMARY_RETRY_MS)
        message = f"{work.group} has no primary just now."
        return refuse(Code.NO_PRIMARY, message, NO_PRIMARY_RETRY_MS)

    def run_at(self, name: str, call: Any) -> Result:
        """Run `call` on a pooled link to `name`, whose slot is held, and free both."""
        try:
            pool = self._components.pools.get(name)
            if pool is None:
                error = EndpointError("unreachable", f"{name} is no longer listed")
                return Error(error)
            lent = pool.lend(LEND_TIMEOUT_MS)
            if not lent.is_ok():
                return lent
            return self._call_link(pool, lent.ok, call)
        finally:
            self._components.slots.release(name)

    def _call_link(self, pool: ConnectionPool, link: EndpointLink, call: Any) -> Result:
        try:
            return call(link)
        finally:
            pool.give_back(link)

    def make_answer(self, name: str, session: Session, value: Any) -> StatementAnswer:
        """Return the answer of what `name` has run."""
        state = self._components.watch.states.get(name)
        return {
            "value": value,
            "session": encode_session(session),
            "served_by": name,
            "role": state.role if state else "",
        }
