"""Calls to a group's instances, each with a slot and a pooled link."""

from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.dialect import BUSY, EndpointError, EndpointLink
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
# The retry-after time of a refusal because a group has no primary.
NO_PRIMARY_RETRY_MS = 300
# The time reserved for a write to run and be acknowledged, as a multiple of the average
# time for which a slot is held.
START_MARGIN = 3
# After the endpoint refused a request as busy, it is asked again for a while, each time
# after a pause. Both are multiples of the average time for which a slot is held; with a
# longer pause the others that hold the slots would always come first.
BUSY_PATIENCE = 2
BUSY_PAUSE = (0.15, 0.45)
BUSY_PAUSE_FLOOR_MS = 3.0


def refuse_abandoned() -> Result:
    """Return the refusal of work whose sender closed its connection meanwhile.

    The sender lets another daemon determine the outcome. If such work were run anyway,
    the requests queued at a daemon that its peers consider silent would use up slots.
    """
    return refuse(Code.PEER_UNREACHABLE, "The daemon that asked has hung up.")


def run_in_slot(
    runtime: Runtime, slots: SlotQueue, name: str, call: Callable[[], Result]
) -> Result:
    """Return what `call` returns, and release the slot of `name` that it ran in.

    If the endpoint has no slot free, because others use it too, it is asked again for a
    short time. The slot stays taken meanwhile, so that the other waiters aren't refused
    one after another.
    """
    was_busy = False
    try:
        end_ms = runtime.clock.now_ms() + BUSY_PATIENCE * slots.hold_ms
        while True:
            result = call()
            if result.is_ok() or result.error.kind != BUSY:
                return result
            if not was_busy:
                was_busy = True
                slots.note_busy(name)
            factor = runtime.random.uniform(*BUSY_PAUSE)
            runtime.sleep_ms(max(BUSY_PAUSE_FLOOR_MS, factor * slots.hold_ms))
            if runtime.clock.now_ms() >= end_ms:
                return result
    finally:
        slots.release(name, was_busy)


class GroupComponents(NamedTuple):
    """The components that serve one group."""

    watch: GroupWatch
    failover_manager: FailoverManager
    slots: SlotQueue
    pools: dict[str, ConnectionPool]
    budget: RetryBudget
    policy: Policy


class Instances:
    """Calls to the instances of one group, for reads and writes."""

    def __init__(self, runtime: Runtime, components: GroupComponents, timeout_ms: int):
        self._runtime = runtime
        self._components = components
        self._timeout_ms = timeout_ms

    def latest_start_ms(self, work: Work) -> float:
        """Return the time until which it is useful to wait for a slot.

        A write that starts with too little time left times out while it runs: its
        outcome is unknown, it still occupies the endpoint's slot when the next one
        starts, and under load most of the slots' time is spent on such writes.
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
        """Acquire a slot of the primary; return the primary's name and its term.

        With `refuse_early` work that would get its slot too late is refused at once.
        """
        while self.left_ms(work) > 0:
            if self._components.failover_manager.writes_paused:
                self._runtime.sleep_ms(2)
                continue
            primary = self._components.watch.wait_primary(self.left_ms(work))
            if primary is None:
                break
            name, term = primary
            slot = self._components.slots.acquire(
                work.workspace, (name,), self.latest_start_ms(work), refuse_early
            )
            if not slot.is_ok():
                return slot
            if not work.is_wanted():
                self._components.slots.release(name)
                return refuse_abandoned()
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
        """Run `call` on a pooled link to `name`, then release the link and the slot.

        The caller has acquired the slot.
        """
        slots = self._components.slots
        return run_in_slot(
            self._runtime, slots, name, lambda: self._call_pooled(name, call)
        )

    def _call_pooled(self, name: str, call: Any) -> Result:
        pool = self._components.pools.get(name)
        if pool is None:
            error = EndpointError("unreachable", f"{name} is no longer listed")
            return Error(error)
        lent = pool.lend(LEND_TIMEOUT_MS)
        if not lent.is_ok():
            return lent
        return self._call_link(pool, lent.ok, call)

    def _call_link(self, pool: ConnectionPool, link: EndpointLink, call: Any) -> Result:
        try:
            return call(link)
        finally:
            pool.give_back(link)

    def make_answer(self, name: str, session: Session, value: Any) -> StatementAnswer:
        """Return the answer to a statement that ran on instance `name`."""
        state = self._components.watch.states.get(name)
        return {
            "value": value,
            "session": encode_session(session),
            "served_by": name,
            "role": state.role if state else "",
        }
