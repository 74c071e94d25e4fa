"""One database group at the daemon that serves it: writes and their outcomes."""

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


class LoggedWrite(NamedTuple):
    """A write that is in the primary's log, but not yet known to be replicated."""

    value: Any
    position: Position
    duplicate: bool
    served_by: str


class SettledAttempt(NamedTuple):
    """The outcome of an attempt, as held by a majority.

    `was_cancelled_before` is true if it had already been cancelled by an earlier call.
    """

    ran: bool
    was_cancelled_before: bool
    value: Any
    position: Position
    name: str


class GroupServer:
    """Runs statements on one group: selects instances, retries, settles lost writes."""

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
        """Run a read on a replica that is recent enough, or on the primary."""
        return self._reader.read(work)

    def write(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a write at most once, and answer when a majority holds it."""
        attempt = 1
        tries = 1
        while True:
            result = self._try_write(work, attempt)
            if result.is_ok():
                return self._finish_write(work, attempt, result.ok)
            error = result.error
            if not isinstance(error, EndpointError):
                return result
            if error.may_have_run:
                return self.settle(work, attempt)
            if error.kind == "cancelled":
                # Either another daemon cancelled this very request while this daemon
                # was frozen, and answered "not run"; or an earlier request with the
                # same idempotency key was cancelled. The two can't be distinguished,
                # and under the next number a cancelled request would run after all.
                return self.settle(work, attempt)
            refusal = self._refuse_or_back_off(work, error, tries)
            if refusal is not None:
                return refusal
            tries += 1

    def _try_write(self, work: Work, attempt: int) -> Result:
        acquired = self.acquire_primary(work)
        if not acquired.is_ok():
            return acquired
        name, term = acquired.ok
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
        # A duplicate may have been in the log since an older term. It is safe once a
        # majority holds its position in the log of the present term.
        position = Position(term, answer.position)
        return Ok(LoggedWrite(answer.value, position, answer.duplicate, name))

    def _refuse_or_back_off(
        self, work: Work, error: EndpointError, tries: int
    ) -> Result | None:
        """Return the refusal of a write that didn't run, or back off and return None.

        A write that certainly didn't run is retried under the same attempt number.
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
        self, work: Work, attempt: int, written: LoggedWrite
    ) -> Result[StatementAnswer, Refusal]:
        if self.wait_acknowledged(work, written.position):
            session = advance_session(work.session, work.group, written.position)
            answer = self._instances.make_answer(
                written.served_by, session, written.value
            )
            answer["duplicate"] = written.duplicate
            return Ok(answer)
        # The primary was replaced, or the replicas lag too far behind.
        return self.settle(work, attempt)

    def wait_acknowledged(self, work: Work, position: Position) -> bool:
        """Wait until the write at this position may be acknowledged.

        Return whether it may be, within the work's deadline.
        """
        wait_acknowledged = self.components.policy.wait_acknowledged
        return wait_acknowledged(self._watch, position, self.left_ms(work))

    # Unknown outcomes

    def settle(self, work: Work, attempt: int) -> Result[StatementAnswer, Refusal]:
        """Determine the outcome of a write that may have run; never resend it.

        The primary either has the attempt in its log, or records it as cancelled,
        after which it can't run any more. Both count only once a majority holds them.
        Only the daemon that cancelled an attempt may send the next one: another daemon
        could send it after the caller was answered "not run".
        """
        self._metrics.count_retry("settle")
        first = attempt
        while self.left_ms(work) > 0 and work.is_wanted():
            settled = self._try_settle(work, attempt)
            if settled is None:
                self._runtime.sleep_ms(min(SETTLE_PAUSE_MS, self.left_ms(work)))
            elif settled.ran:
                session = advance_session(work.session, work.group, settled.position)
                return Ok(
                    self._instances.make_answer(settled.name, session, settled.value)
                )
            elif settled.was_cancelled_before:
                # The daemon that cancelled this attempt may have sent the next one.
                attempt += 1
            else:
                return self._repeat_or_refuse(work, attempt, attempt == first)
        message = "The answer was lost, and the outcome can't be told in time."
        return refuse(Code.OUTCOME_UNKNOWN, message, NO_PRIMARY_RETRY_MS, UNKNOWN)

    def _try_settle(self, work: Work, attempt: int) -> SettledAttempt | None:
        # An early refusal would be of no use, as the settle call is retried anyway.
        acquired = self.acquire_primary(work, refuse_early=False)
        if not acquired.is_ok():
            return None
        name, term = acquired.ok
        timeout_ms = min(SETTLE_TIMEOUT_MS, max(1.0, self.left_ms(work)))
        result = self._instances.run_at(
            name, lambda link: link.settle(term, work.write_id(attempt), timeout_ms)
        )
        if not result.is_ok():
            return None
        answer = result.ok
        position = Position(term, answer.position)
        if not self._watch.wait_majority(position, self.left_ms(work)):
            return None
        return SettledAttempt(
            answer.outcome == "ran", answer.duplicate, answer.value, position, name
        )

    def _repeat_or_refuse(
        self, work: Work, attempt: int, may_repeat: bool
    ) -> Result[StatementAnswer, Refusal]:
        """Repeat a cancelled write if that is allowed, or refuse it.

        None of the attempts so far can run any more.
        """
        repeatable = may_repeat and work.request.get("repeatable")
        if repeatable and self.components.budget.allow(attempt):
            return self._repeat(work, attempt + 1)
        if "idempotency_key" in work.request:
            message = "The request didn't run, and its idempotency key is given up on."
            return refuse(Code.IDEMPOTENCY_CONFLICT, message, 1, NOT_RUN)
        message = "The primary was lost before the request ran."
        return refuse(Code.PRIMARY_REPLACED, message, 1, NOT_RUN)

    def _repeat(self, work: Work, attempt: int) -> Result:
        """Send a repeatable write again after its last attempt was cancelled."""
        self._metrics.count_retry("repeat_after_cancel")
        result = self._try_write(work, attempt)
        if result.is_ok():
            return self._finish_write(work, attempt, result.ok)
        if isinstance(result.error, EndpointError) and result.error.may_have_run:
            return self.settle(work, attempt)
        # The attempt certainly didn't run, and no other daemon may send a later one.
        return self._repeat_or_refuse(work, attempt, may_repeat=False)
