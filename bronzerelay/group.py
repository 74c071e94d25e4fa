"""One database group at the daemon that serves it: writes, and doubts about them."""

from typing import Any, NamedTuple

from expression import Ok, Result

from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.dialect import EndpointError
from bronzerelay.instances import NO_PRIMARY_RETRY_MS, GroupComponents, Instances
from bronzerelay.reads import Reader
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import advance_session
from bronzerelay.types import GroupSpec, Position, StatementAnswer
from bronzerelay.work import Work

SETTLE_TIMEOUT_MS = 300
SETTLE_PAUSE_MS = 20.0


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


class GroupServer:
    """Runs statements on one group: picks instances, retries, settles doubts."""

    def __init__(
        self,
        runtime: Runtime,
        components: GroupComponents,
        metrics: Any,
        timeout_ms: int,
    ):
        self._runtime = runtime
        self.components = components
        self._watch = components.watch
        self._metrics = metrics
        self._instances = Instances(runtime, components, timeout_ms)
        self._reader = Reader(runtime, components, self._instances, metrics)

    @property
    def spec(self) -> GroupSpec:
        """Return the group's part of the configuration."""
        return self._watch.spec

    def left_ms(self, work: Work) -> float:
        """Return how much time `work` has left."""
        return self._instances.left_ms(work)

    def read(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a read on a replica that has seen enough, or on the primary."""
        return self._reader.read(work)

    def write(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a write once, and answer when a majority holds it."""
        attempt = 1
        tries = 1
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
            final = self._judge_refused(work, error, tries)
            if final is not None:
                return final
            tries += 1

    def _try_write(self, work: Work, attempt: int) -> Result:
        found = self.acquire_primary(work)
        if not found.is_ok():
            return found
        name, term = found.ok
        timeout_ms = self._instances.timeout_ms(work)
        result = self._instances.run_at(
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
        self, work: Work, error: EndpointError, tries: int
    ) -> Result | None:
        """Return the final refusal of a write that didn't run, or None to retry.

        What certainly didn't run is sent again under the same attempt's number.
        """
        if error.kind in ("invalid_statement", "conflict"):
            return refuse(Code.STATEMENT_FAILED, error.message)
        if self.left_ms(work) <= 0 or not self.components.budget.allow(tries):
            message = f"The primary didn't take the write: {error.message}."
            return refuse(Code.NO_PRIMARY, message, NO_PRIMARY_RETRY_MS)
        self._metrics.count_retry(f"write_{error.kind}")
        self.components.budget.back_off(tries, self.left_ms(work))
        return None

    def acquire_primary(
        self, work: Work, refuse_early: bool = True
    ) -> Result[tuple[str, int], Refusal]:
        """Return what `Instances.acquire_primary` returns."""
        return self._instances.acquire_primary(work, refuse_early)

    def _finish_write(
        self, work: Work, attempt: int, written: Written
    ) -> Result[StatementAnswer, Refusal]:
        if self.wait_acknowledged(work, written.at):
            session = advance_session(work.session, work.group, written.at)
            answer = self._instances.make_answer(
                written.served_by, session, written.value
            )
            answer["duplicate"] = written.duplicate
            return Ok(answer)
        # The primary was replaced, or the replicas are too far behind.
        return self.settle(work, attempt)

    def wait_acknowledged(self, work: Work, at: Position) -> bool:
        """Return whether a change at this place is safe, waiting until it is."""
        wait_acknowledged = self.components.policy.wait_acknowledged
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
        while self.left_ms(work) > 0 and work.is_wanted():
            settled = self._try_settle(work, attempt)
            if settled is None:
                self._runtime.sleep_ms(min(SETTLE_PAUSE_MS, self.left_ms(work)))
            elif settled.ran:
                session = advance_session(work.session, work.group, settled.at)
                return Ok(
                    self._instances.make_answer(settled.name, session, settled.value)
                )
            elif settled.was_cancelled_before:
                # Whoever gave this attempt up may have sent the next one since.
                attempt += 1
            else:
                return self._give_up_attempt(work, attempt, attempt == first)
        message = "The answer was lost, and the outcome can't be told in time."
        return refuse(Code.OUTCOME_UNKNOWN, message, NO_PRIMARY_RETRY_MS, UNKNOWN)

    def _try_settle(self, work: Work, attempt: int) -> Settled | None:
        # A refusal would only be followed by the next try.
        found = self.acquire_primary(work, refuse_early=False)
        if not found.is_ok():
            return None
        name, term = found.ok
        timeout_ms = min(SETTLE_TIMEOUT_MS, max(1.0, self.left_ms(work)))
        result = self._instances.run_at(
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
        if repeatable and self.components.budget.allow(attempt):
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
