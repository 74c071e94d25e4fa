"""One database group as the daemon that serves it sees it: reads and writes."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.dialect import EndpointError, EndpointLink
from bronzerelay.failover import GroupKeeper
from bronzerelay.policies import Policy
from bronzerelay.pool import ConnectionPool
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import Session, advance_session, encode_session
from bronzerelay.slots import SlotQueue
from bronzerelay.types import (
    GroupSpec,
    Position,
    StatementAnswer,
    StatementRequest,
)
from bronzerelay.watch import CUT_OFF_WAIT_MS, PRIMARY, GroupWatch

# A read waits this long for a replica that has what it needs, then the primary may
# serve it too.
REPLICA_WAIT_MS = 25
# How long a caller is told to wait when a group has no primary.
NO_PRIMARY_RETRY_MS = 300
# What a replica holds its primary holds too, and that is a majority of up to three.
REPLICA_MAJORITY = 2
LEND_TIMEOUT_MS = 300
SETTLE_TIMEOUT_MS = 300
# How many times as long as a slot is usually held a write is left to run and to be
# acknowledged.
START_MARGIN = 3
SETTLE_PAUSE_MS = 20.0
# The endpoint keeps an attempt's number behind the request's own id.
ATTEMPT_MARK = "#"


class Work(NamedTuple):
    """One request at the serving daemon; `deadline_ms` is of the own clock.

    `request_id` names the change at the endpoints and never repeats. `trace_id` is the
    id that the caller knows, for the logs of each daemon on the way.
    """

    request_id: str
    workspace: str
    request: StatementRequest
    session: Session
    deadline_ms: float
    trace_id: str = ""

    @property
    def group(self) -> str:
        """Return the name of the database group."""
        return self.request["group"]

    def write_id(self, attempt: int) -> str:
        """Return the id under which the endpoint records this attempt.

        A caller's idempotency key names the same change through whatever daemon it
        comes, so it takes the place of the request's own id.
        """
        key = self.request.get("idempotency_key")
        name = f"{self.workspace}/{key}" if key else self.request_id
        return f"{name}{ATTEMPT_MARK}{attempt}"


class Written(NamedTuple):
    """A change that the primary has in its log, not yet known to be safe."""

    value: Any
    at: Position
    duplicate: bool
    served_by: str


class Settled(NamedTuple):
    """What became of an attempt, as a majority holds it.

    `was_cancelled_before` says that it had been given up on earlier already.
    """

    ran: bool
    was_cancelled_before: bool
    value: Any
    at: Position
    name: str


class GroupParts(NamedTuple):
    """What a group is served with."""

    watch: GroupWatch
    keeper: GroupKeeper
    slots: SlotQueue
    pools: dict[str, ConnectionPool]
    budget: RetryBudget
    policy: Policy


class GroupServer:
    """Runs statements on one group: picks instances, retries, settles doubts."""

    def __init__(
        self, runtime: Runtime, parts: GroupParts, metrics: Any, timeout_ms: int
    ):
        self._runtime = runtime
        self.parts = parts
        self._watch = parts.watch
        self._metrics = metrics
        self._timeout_ms = timeout_ms

    @property
    def spec(self) -> GroupSpec:
        """Return the group's part of the configuration."""
        return self._watch.spec

    def latest_start_ms(self, work: Work) -> float:
        """Return until when it is of use to wait for a slot.

        A write that begins with no time left is broken off while it runs: its outcome
        is unknown, the endpoint's slot is taken still when the next one comes, and
        under load most of the slots' time goes into such writes.
        """
        left_ms = self.left_ms(work)
        needed_ms = min(START_MARGIN * self.parts.slots.hold_ms, left_ms / 2)
        return work.deadline_ms - needed_ms

    def left_ms(self, work: Work) -> float:
        """Return how much time `work` has left."""
        return work.deadline_ms - self._runtime.clock.now_ms()

    # Reads

    def read(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a read on a replica that has seen enough, or on the primary."""
        need = work.session.get(work.group, Position(0, 0))
        attempt = 1
        while True:
            result = self._try_read(work, need)
            if result.is_ok() or not isinstance(result.error, EndpointError):
                return result
            if self.left_ms(work) <= 0 or not self.parts.budget.allow(attempt):
                message = f"No endpoint answered the read: {result.error.message}."
                return refuse(Code.ENDPOINT_UNREACHABLE, message, NO_PRIMARY_RETRY_MS)
            self._metrics.count_retry(f"read_{result.error.kind}")
            self.parts.budget.pause(attempt, self.left_ms(work))
            attempt += 1

    def _try_read(self, work: Work, need: Position) -> Result:
        chosen = self._choose_reader(work, need)
        if not chosen.is_ok():
            return chosen
        name = chosen.ok
        started_ms = self._runtime.clock.now_ms()
        timeout_ms = min(self._timeout_ms, max(1.0, self.left_ms(work)))
        result = self._run_at(
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
        return Ok(self._make_answer(name, session, result.ok.value))

    def _check_read(
        self,
        work: Work,
        name: str,
        need: Position,
        seen: Position,
        started_ms: float,
    ) -> Result:
        """Return Ok when what was read at `seen` may be shown to the caller."""
        if seen < need:
            # The instance was put back between its last report and this read, as
            # a former primary is when it drops what nobody acknowledged.
            return Error(EndpointError("behind", f"{name} is behind the session"))
        by_primary = name == self._watch.primary()
        # What only a minority holds is gone when the primary fails now, and the
        # session would miss what it has seen.
        in_doubt = by_primary or self._watch.majority() > REPLICA_MAJORITY
        wait_ms = self._proof_wait_ms(work)
        policy = self.parts.policy
        if in_doubt and not policy.wait_acknowledged(self._watch, seen, wait_ms):
            return self._refuse_unproven(work, f"{name} holds what may be lost")
        since_ms = started_ms - self._max_age_ms(work)
        wait_ms = self._proof_wait_ms(work) if by_primary else 0
        if policy.wait_proven(self._watch, seen, since_ms, by_primary, wait_ms):
            return Ok(None)
        return self._refuse_unproven(work, f"the age of {name} can't be proved")

    def _proof_wait_ms(self, work: Work) -> float:
        """Return how long to wait for a proof: not for long where none can come."""
        left_ms = self.left_ms(work)
        return left_ms if self._watch.has_majority() else min(left_ms, CUT_OFF_WAIT_MS)

    def _refuse_unproven(self, work: Work, why: str) -> Result:
        """Return the refusal of a read in vain, or the error that lets it retry."""
        if self.left_ms(work) > 0 and self._watch.has_majority():
            return Error(EndpointError("unproven", why))
        message = f"No endpoint could prove how old its data is: {why}."
        return refuse(Code.TOO_STALE, message, NO_PRIMARY_RETRY_MS)

    def _max_age_ms(self, work: Work) -> float:
        return work.request.get("max_age_ms", self.spec.max_age_ms)

    def _choose_reader(self, work: Work, need: Position) -> Result[str, Refusal]:
        max_age_ms = self._max_age_ms(work)
        short_ms = min(work.deadline_ms, self._runtime.clock.now_ms() + REPLICA_WAIT_MS)

        def choose_replica(free: list[str]) -> str | None:
            return self._pick(free, need, max_age_ms, with_primary=False)

        def choose_any(free: list[str]) -> str | None:
            return self._pick(free, need, max_age_ms, with_primary=True)

        if self._has_fit_replica(need, max_age_ms, short_ms):
            found = self.parts.slots.acquire(work.workspace, choose_replica, short_ms)
            if found.is_ok() or found.error.code == Code.QUEUE_FULL:
                return found
        until_ms = self.latest_start_ms(work)
        return self.parts.slots.acquire(work.workspace, choose_any, until_ms)

    def _has_fit_replica(
        self, need: Position, max_age_ms: float, until_ms: float
    ) -> bool:
        if not self.parts.policy.list_replicas(list(self._watch.states)):
            return False

        def has_one() -> bool:
            names = list(self._watch.states)
            return self._pick(names, need, max_age_ms, with_primary=False) is not None

        with self._watch.condition:
            left_ms = until_ms - self._runtime.clock.now_ms()
            return self._runtime.wait_for(self._watch.condition, has_one, left_ms)

    def _pick(
        self, free: list[str], need: Position, max_age_ms: float, with_primary: bool
    ) -> str | None:
        """Return a random one of the `free` instances that may serve the read."""
        primary = self._watch.primary()
        leaving = {one.name for one in self.spec.endpoints if one.leaving}
        fit = []
        for name in self.parts.policy.list_replicas(free):
            state = self._watch.states.get(name)
            if state is None or not state.reachable or name in leaving:
                continue
            if name == primary:
                continue
            if state.role == PRIMARY or not state.holds(need):
                continue
            if self._watch.proven_age_ms(name) <= max_age_ms:
                fit.append(name)
        if fit:
            return self._runtime.random.choice(fit)
        if with_primary and primary in free:
            return primary
        return None

    # Writes

    def write(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a write once, and answer when a majority holds it."""
        attempt = 1
        while True:
            tried = self._try_write(work, attempt)
            if tried.is_ok():
                return self._finish_write(work, attempt, tried.ok)
            error = tried.error
            if not isinstance(error, EndpointError):
                return tried
            if error.may_have_run:
                return self.settle(work, attempt)
            if error.kind == "cancelled":
                # Another daemon gave up this very request, frozen here meanwhile, and
                # has told its caller "not run"; or an earlier request with the same
                # idempotency key was given up on. The two can't be told apart, and
                # under the next number a request given up on would run after all.
                return self.settle(work, attempt)
            final = self._judge_refused(work, error, attempt)
            if final is not None:
                return final

    def _try_write(self, work: Work, attempt: int) -> Result:
        found = self.acquire_primary(work)
        if not found.is_ok():
            return found
        name, term = found.ok
        timeout_ms = min(self._timeout_ms, max(1.0, self.left_ms(work)))
        result = self._run_at(
            name,
            lambda link: link.write(
                work.workspace,
                term,
                work.request["statement"],
                work.write_id(attempt),
                timeout_ms,
            ),
        )
        if not result.is_ok():
            return result
        answer = result.ok
        # A duplicate may stand in the log since an older term. It is safe once a
        # majority holds that place in the log of the present term.
        at = Position(term, answer.position)
        return Ok(Written(answer.value, at, answer.duplicate, name))

    def _judge_refused(
        self, work: Work, error: EndpointError, attempt: int
    ) -> Result | None:
        """Return the final refusal of a write that didn't run, or None to retry."""
        if error.kind in ("invalid_statement", "conflict"):
            return refuse(Code.STATEMENT_FAILED, error.message)
        if self.left_ms(work) <= 0 or not self.parts.budget.allow(attempt):
            message = f"The primary didn't take the write: {error.message}."
            return refuse(Code.NO_PRIMARY, message, NO_PRIMARY_RETRY_MS)
        self._metrics.count_retry(f"write_{error.kind}")
        self.parts.budget.pause(attempt, self.left_ms(work))
        return None

    def acquire_primary(self, work: Work) -> Result[tuple[str, int], Refusal]:
        """Return the primary and its term, with one of its slots taken."""
        while self.left_ms(work) > 0:
            if self.parts.keeper.holds_writes:
                self._runtime.sleep_ms(2)
                continue
            found = self._watch.wait_primary(self.left_ms(work))
            if found is None:
                break
            name, term = found
            slot = self.parts.slots.acquire(
                work.workspace,
                lambda free, name=name: name if name in free else None,
                self.latest_start_ms(work),
            )
            if not slot.is_ok():
                return slot
            if self._watch.primary() == name and not self.parts.keeper.holds_writes:
                return Ok((name, term))
            self.parts.slots.release(name)
        if not self._watch.has_majority():
            message = f"Most endpoints of {work.group} can't be reached from here."
            return refuse(Code.ENDPOINT_UNREACHABLE, message, NO_PRIMARY_RETRY_MS)
        message = f"{work.group} has no primary just now."
        return refuse(Code.NO_PRIMARY, message, NO_PRIMARY_RETRY_MS)

    def _finish_write(
        self, work: Work, attempt: int, written: Written
    ) -> Result[StatementAnswer, Refusal]:
        if self.is_acknowledged(work, written.at):
            session = advance_session(work.session, work.group, written.at)
            answer = self._make_answer(written.served_by, session, written.value)
            answer["duplicate"] = written.duplicate
            return Ok(answer)
        # The primary was replaced, or the replicas are too far behind.
        return self.settle(work, attempt)

    def is_acknowledged(self, work: Work, at: Position) -> bool:
        """Return whether a change at this place is safe, waiting until it is."""
        wait_acknowledged = self.parts.policy.wait_acknowledged
        return wait_acknowledged(self._watch, at, self.left_ms(work))

    # Doubts

    def settle(self, work: Work, attempt: int) -> Result[StatementAnswer, Refusal]:
        """Find out what became of a write that may have run; never send it again.

        The primary either has the attempt in its log, or records it as cancelled,
        after which it can't run any more. Both count only once a majority holds them.
        Whoever records an attempt as cancelled, and nobody else, may send the next
        one: any other daemon that did could do so after the caller heard "not run".
        """
        self._metrics.count_retry("settle")
        first = attempt
        while self.left_ms(work) > 0:
            settled = self._try_settle(work, attempt)
            if settled is None:
                self._runtime.sleep_ms(min(SETTLE_PAUSE_MS, self.left_ms(work)))
            elif settled.ran:
                session = advance_session(work.session, work.group, settled.at)
                return Ok(self._make_answer(settled.name, session, settled.value))
            elif settled.was_cancelled_before:
                # Whoever gave this attempt up may have sent the next one since.
                attempt += 1
            else:
                return self._give_up_attempt(work, attempt, attempt == first)
        message = "The answer was lost, and the outcome can't be told in time."
        return refuse(Code.OUTCOME_UNKNOWN, message, NO_PRIMARY_RETRY_MS, UNKNOWN)

    def _try_settle(self, work: Work, attempt: int) -> Settled | None:
        found = self.acquire_primary(work)
        if not found.is_ok():
            return None
        name, term = found.ok
        timeout_ms = min(SETTLE_TIMEOUT_MS, max(1.0, self.left_ms(work)))
        result = self._run_at(
            name, lambda link: link.settle(term, work.write_id(attempt), timeout_ms)
        )
        if not result.is_ok():
            return None
        answer = result.ok
        at = Position(term, answer.position)
        if not self._watch.wait_majority(at, self.left_ms(work)):
            return None
        return Settled(
            answer.outcome == "ran", answer.duplicate, answer.value, at, name
        )

    def _give_up_attempt(
        self, work: Work, attempt: int, may_repeat: bool
    ) -> Result[StatementAnswer, Refusal]:
        """Repeat the write if it may be, or refuse it; no attempt can run any more."""
        repeatable = may_repeat and work.request.get("repeatable")
        if repeatable and self.parts.budget.allow(attempt):
            return self._repeat(work, attempt + 1)
        if "idempotency_key" in work.request:
            message = "The request didn't run, and its idempotency key is given up on."
            return refuse(Code.IDEMPOTENCY_CONFLICT, message, 1, NOT_RUN)
        message = "The primary was lost before the request ran."
        return refuse(Code.PRIMARY_REPLACED, message, 1, NOT_RUN)

    def _repeat(self, work: Work, attempt: int) -> Result:
        """Send a repeatable write again, after its last attempt was cancelled."""
        self._metrics.count_retry("repeat_after_cancel")
        tried = self._try_write(work, attempt)
        if tried.is_ok():
            return self._finish_write(work, attempt, tried.ok)
        if isinstance(tried.error, EndpointError) and tried.error.may_have_run:
            return self.settle(work, attempt)
        # The attempt was refused for certain, and nobody else may send a later one.
        return self._give_up_attempt(work, attempt, may_repeat=False)

    # Links

    def _run_at(self, name: str, call: Any) -> Result:
        """Run `call` on a pooled link to `name`, whose slot is held, and free both."""
        try:
            pool = self.parts.pools.get(name)
            if pool is None:
                error = EndpointError("unreachable", f"{name} is no longer listed")
                return Error(error)
            lent = pool.lend(LEND_TIMEOUT_MS)
            if not lent.is_ok():
                return lent
            return self._call_link(pool, lent.ok, call)
        finally:
            self.parts.slots.release(name)

    def _call_link(self, pool: ConnectionPool, link: EndpointLink, call: Any) -> Result:
        try:
            return call(link)
        finally:
            pool.give_back(link)

    def _make_answer(self, name: str, session: Session, value: Any) -> StatementAnswer:
        state = self._watch.states.get(name)
        return {
            "value": value,
            "session": encode_session(session),
            "served_by": name,
            "role": state.role if state else "",
        }
