"""Routing: forwards requests to the serving daemons, and handles lost replies."""

from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Result

from bronzerelay import logs
from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.groups import Groups
from bronzerelay.membership import Membership
from bronzerelay.peerlink.ttypes import StatementCall
from bronzerelay.peers import PeerLinks
from bronzerelay.replies import unpack_reply
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.transactions import (
    explain_lost_commit,
    holder_of,
    refuse_unknown_transaction,
    with_commit_id,
)
from bronzerelay.types import StatementAnswer
from bronzerelay.work import Work

# At most this many daemons are tried for a request that hasn't run yet.
MAX_DAEMONS_TRIED = 3
LOST_RETRY_AFTER_MS = 50
NO_DAEMON_RETRY_AFTER_MS = 1000
# How long to wait for a reply beyond the time budget of the serving daemon.
REPLY_MARGIN_MS = 100
# Refusals after which another daemon may succeed: nothing ran, and the cause lies
# with the daemon or its view of the group.
RETRYABLE_CODES = {
    Code.ENDPOINT_UNREACHABLE,
    Code.TOO_STALE,
    Code.STOPPING,
    Code.GROUP_UNKNOWN,
}
# Of these, the refusals that may come after the daemon has tried the endpoints.
ENDPOINT_TRIED_CODES = {Code.ENDPOINT_UNREACHABLE, Code.TOO_STALE}
# Refusals that prove that a lost write has not run.
SETTLED_CODES = {Code.PRIMARY_REPLACED, Code.IDEMPOTENCY_CONFLICT}
# How long one daemon may take to settle a lost write before the next one is asked.
SETTLE_TIMEOUT_MS = 600
SETTLE_RETRY_MS = 10
# After these refusals of a commit its transaction has ended, committed or not.
ENDED_CODES = {Code.PEER_UNREACHABLE, Code.TRANSACTION_UNKNOWN}
ROLL_BACK_TIMEOUT_MS = 300
# How many tries to determine an outcome a log line lists at most.
LOGGED_TRIES_LIMIT = 8
# A longer transaction token can't have been issued by a daemon.
MAX_TOKEN_LENGTH = 128


class Router:
    """Forwards requests to the daemons that serve their groups.

    `run_here` runs a request at this daemon or, if its second argument is true, only
    determines its outcome; `spend` spends a token of a workspace's rate.
    """

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        links: PeerLinks,
        groups: Groups,
        metrics: Any,
        run_here: Callable[[Work, bool], Result[StatementAnswer, Refusal]],
        spend: Callable[[str], Result[None, Refusal]],
    ):
        self._runtime = runtime
        self._membership = membership
        self._links = links
        self._groups = groups
        self._metrics = metrics
        self._run_here = run_here
        self._spend = spend
        self._budget = RetryBudget(runtime)
        self._log = logs.open_log("routing")

    def route(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run `work` at its group's serving daemon, or the next one that can."""
        if "transaction" in work.request:
            return self._run_in_transaction(work)
        self._budget.count_request()
        result: Result = refuse(
            Code.PEER_UNREACHABLE,
            "No daemon serves the group.",
            NO_DAEMON_RETRY_AFTER_MS,
        )
        self._membership.wait_for_answers(self._left_ms(work))
        ranked = self._groups.rank_daemons(work.group)[:MAX_DAEMONS_TRIED]
        for number, daemon in enumerate(ranked, start=1):
            result = self._run_at(daemon, work, False)
            if result.is_ok():
                return result
            if is_write(work) and _was_reply_lost(result.error):
                # A read may run twice, a write may not: from here on the other
                # daemons only determine its outcome.
                self._metrics.count_retry("peer_lost")
                return self._settle(work, daemon)
            if not self._may_try_next(result.error, number):
                return result
            if self._is_past_deadline(work):
                break
        # A read or a begin whose answer is lost has no effect, even if it ran.
        return Error(result.error._replace(ran=NOT_RUN))

    def _may_try_next(self, refusal: Refusal, attempt: int) -> bool:
        if refusal.code == Code.PEER_UNREACHABLE:
            if _was_reply_lost(refusal):
                self._metrics.count_retry("peer_lost")
            return True
        if refusal.code not in RETRYABLE_CODES:
            return False
        # The daemon has already spent its own retries on the endpoints. Without a
        # retry budget each further daemon would do the same and multiply the load on
        # a failing group.
        endpoint_tried = refusal.code in ENDPOINT_TRIED_CODES
        if endpoint_tried and not self._budget.allow(attempt):
            return False
        self._metrics.count_retry("elsewhere")
        return True

    def _left_ms(self, work: Work) -> float:
        return work.deadline_ms - self._runtime.clock.now_ms()

    def _is_past_deadline(self, work: Work) -> bool:
        return self._left_ms(work) <= 0

    def _settle(self, work: Work, lost: str) -> Result[StatementAnswer, Refusal]:
        """Determine the outcome of a write that was sent to daemon `lost`.

        Only success or a code of `SETTLED_CODES` is an outcome. Any other refusal,
        such as one from a daemon that doesn't know the group yet, proves nothing about
        the write. Each daemon gets only a part of the time, because one that can't
        reach the group must leave time for the next.
        """
        began_ms = self._runtime.clock.now_ms()
        tried: list[str] = []
        while not self._is_past_deadline(work):
            # The lost daemon may be frozen and use up the time, so it is asked last.
            ranked = sorted(
                self._groups.rank_daemons(work.group),
                key=lambda daemon: daemon == lost,
            )
            for daemon in ranked[:MAX_DAEMONS_TRIED]:
                attempt_end_ms = self._runtime.clock.now_ms() + SETTLE_TIMEOUT_MS
                deadline_ms = min(work.deadline_ms, attempt_end_ms)
                attempt = work._replace(deadline_ms=deadline_ms)
                result = self._run_at(daemon, attempt, True)
                if result.is_ok() or result.error.code in SETTLED_CODES:
                    return result
                tried.append(f"{daemon}: {result.error.code.name}")
                if self._is_past_deadline(work):
                    break
            self._runtime.sleep_ms(SETTLE_RETRY_MS)
        extra = {
            "request_id": work.trace_id,
            "group": work.group,
            "lost": lost,
            "tried": tried[:LOGGED_TRIES_LIMIT],
            "tries": len(tried),
            "settled_for_ms": round(self._runtime.clock.now_ms() - began_ms),
        }
        self._log.warning("The outcome of a lost write isn't known.", extra=extra)
        message = "The serving daemon was lost, and the outcome isn't known."
        return refuse(Code.OUTCOME_UNKNOWN, message, LOST_RETRY_AFTER_MS, UNKNOWN)

    def _run_at(
        self, daemon: str, work: Work, settle: bool
    ) -> Result[StatementAnswer, Refusal]:
        if daemon == self._membership.name:
            return self._run_here(work, settle)
        address = self._membership.address_of(daemon)
        if address is None:
            return refuse(Code.PEER_UNREACHABLE, f"{daemon} isn't known here.")
        sent_at_ms = self._runtime.clock.now_ms()
        budget_ms = int(work.deadline_ms - sent_at_ms)
        call = StatementCall(
            request_id=work.request_id,
            workspace=work.workspace,
            group=work.group,
            request=msgspec.json.encode(work.request),
            budget_ms=max(1, budget_ms),
            settle=settle,
            trace_id=work.trace_id,
        )
        timeout_ms = max(1, budget_ms) + REPLY_MARGIN_MS
        reply = self._links.call(address, "run_statement", call, timeout_ms)
        if reply.is_ok():
            return unpack_reply(reply.ok)
        error = reply.error
        if error.may_have_run:
            extra = {
                "request_id": work.trace_id,
                "peer": daemon,
                "settle": settle,
                "waited_ms": round(self._runtime.clock.now_ms() - sent_at_ms),
                "left_ms": round(work.deadline_ms - self._runtime.clock.now_ms()),
                "reason": error.message,
            }
            self._log.info("A peer's reply was lost.", extra=extra)
        if error.is_unreachable:
            self._membership.mark_unreachable(daemon, error.message)
        ran = UNKNOWN if error.may_have_run else NOT_RUN
        return refuse(
            Code.PEER_UNREACHABLE, f"{error.message}.", LOST_RETRY_AFTER_MS, ran
        )

    # Transactions

    def _run_in_transaction(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a request at the daemon that holds its transaction open."""
        if len(work.request["transaction"]) > MAX_TOKEN_LENGTH:
            return refuse_unknown_transaction()
        holder = holder_of(work.request["transaction"])
        if work.request.get("action") == "commit":
            return self._commit(holder, with_commit_id(work))
        result = self._run_at(holder, work, False)
        if result.is_ok() or result.error.code != Code.PEER_UNREACHABLE:
            return result
        if _was_reply_lost(result.error):
            self._roll_back(holder, work)
        message = (
            f"The daemon that held the transaction is lost: {result.error.message}"
        )
        return refuse(Code.TRANSACTION_LOST, message)

    def _roll_back(self, holder: str, work: Work) -> None:
        """Roll back a transaction that the caller is about to be told is lost.

        The holder may still be up with the transaction open. A later commit with the
        same token would then store changes that were reported as lost.
        """
        request = {"group": work.group, "transaction": work.request["transaction"]}
        deadline_ms = self._runtime.clock.now_ms() + ROLL_BACK_TIMEOUT_MS
        rollback = work._replace(
            request={**request, "action": "rollback"}, deadline_ms=deadline_ms
        )
        self._run_at(holder, rollback, False)

    def _commit(self, holder: str, work: Work) -> Result[StatementAnswer, Refusal]:
        """Commit at the holder; if its reply is lost, determine the outcome.

        A holder that no longer knows the transaction may have committed it for an
        earlier request whose answer never reached the caller.
        """
        result = self._run_at(holder, work, False)
        if result.is_ok() or result.error.code not in ENDED_CODES:
            return result
        if not _was_reply_lost(result.error):
            # Commits cost no token, but settling a made-up transaction token must
            # not cause load on the group beyond the workspace's rate.
            spent = self._spend(work.workspace)
            if not spent.is_ok():
                message = "The workspace's rate leaves no room to find the outcome."
                retry_after_ms = spent.error.retry_after_ms
                return refuse(Code.OUTCOME_UNKNOWN, message, retry_after_ms, UNKNOWN)
        request = {**work.request, "repeatable": False}
        settled = self._settle(work._replace(request=request), holder)
        if result.error.code == Code.TRANSACTION_UNKNOWN and _has_not_run(settled):
            return result
        return explain_lost_commit(settled)


def is_write(work: Work) -> bool:
    """Return whether the request is a statement that changes a row."""
    statement = work.request.get("statement")
    return statement is not None and statement["verb"] != "get"


def _was_reply_lost(refusal: Refusal) -> bool:
    return refusal.code == Code.PEER_UNREACHABLE and refusal.ran == UNKNOWN


def _has_not_run(result: Result[StatementAnswer, Refusal]) -> bool:
    return not result.is_ok() and result.error.ran == NOT_RUN
