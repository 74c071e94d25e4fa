"""Routing: which daemon runs a request, and what follows when it is lost."""

from collections.abc import Callable
from typing import Any

import msgspec
from expression import Error, Result

from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.groups import Groups
from bronzerelay.membership import Membership
from bronzerelay.peerlink.ttypes import StatementCall
from bronzerelay.peers import PeerLinks
from bronzerelay.replies import unpack_reply
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.transactions import (
    daemon_of,
    explain_commit,
    name_commit,
    refuse_unknown,
)
from bronzerelay.types import StatementAnswer
from bronzerelay.work import Work

# How many daemons are tried for a request that the first ones didn't run.
DAEMONS_TRIED = 3
STOP_RETRY_MS = 50
NOBODY_RETRY_MS = 1000
# A reply needs this long on top of what the serving daemon may take.
REPLY_MARGIN_MS = 100
# Refusals after which another daemon may do better: nothing ran, and the cause lies
# with the daemon or its view of the group.
ELSEWHERE_CODES = {
    Code.ENDPOINT_UNREACHABLE,
    Code.TOO_STALE,
    Code.STOPPING,
    Code.GROUP_UNKNOWN,
}
# Of these, the ones after which the daemon has spent work on the endpoints.
WORKED_CODES = {Code.ENDPOINT_UNREACHABLE, Code.TOO_STALE}
# What a daemon that finds out about a lost write may say that it has not run.
SETTLED_CODES = {Code.PRIMARY_REPLACED, Code.IDEMPOTENCY_CONFLICT}
# How long one daemon may take for that before the next one is asked.
FIND_OUT_MS = 600
FIND_OUT_PAUSE_MS = 10
# After these a commit's transaction is not open any more, committed or not.
ENDED_CODES = {Code.PEER_UNREACHABLE, Code.TRANSACTION_UNKNOWN}
ROLL_BACK_MS = 300
# A longer token is not one of ours.
TRANSACTION_LENGTH = 128


class Router:
    """Passes requests on to the daemons that serve their groups.

    `run_here` runs a request at this daemon, or only finds out what became of it;
    `spend` takes a token of a workspace's rate.
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

    def route(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run `work` at the daemon that serves its group, or the next that can."""
        if "transaction" in work.request:
            return self._run_in_transaction(work)
        self._budget.count_request()
        result: Result = refuse(
            Code.PEER_UNREACHABLE, "No daemon serves the group.", NOBODY_RETRY_MS
        )
        ranked = self._groups.rank_daemons(work.group)[:DAEMONS_TRIED]
        for number, daemon in enumerate(ranked, start=1):
            result = self._run_at(daemon, work, False)
            if result.is_ok():
                return result
            if is_write(work) and _was_lost(result.error):
                # A read may run twice. A write may not: from now on the other
                # daemons only find out what became of it.
                self._metrics.count_retry("peer_lost")
                return self._find_out(work, daemon)
            if not self._may_try_elsewhere(result.error, number):
                return result
            if self._is_late(work):
                break
        # A read or a begin whose answer is lost has had no effect, wherever it ran.
        return Error(result.error._replace(ran=NOT_RUN))

    def _may_try_elsewhere(self, refusal: Refusal, attempt: int) -> bool:
        if refusal.code == Code.PEER_UNREACHABLE:
            if _was_lost(refusal):
                self._metrics.count_retry("peer_lost")
            return True
        if refusal.code not in ELSEWHERE_CODES:
            return False
        # The daemon has spent its own retries on the endpoints. Without a budget the
        # next ones would spend theirs too, and multiply the work of a failing group.
        did_work = refusal.code in WORKED_CODES
        if did_work and not self._budget.allow(attempt):
            return False
        self._metrics.count_retry("elsewhere")
        return True

    def _is_late(self, work: Work) -> bool:
        return work.deadline_ms <= self._runtime.clock.now_ms()

    def _find_out(self, work: Work, lost: str) -> Result[StatementAnswer, Refusal]:
        """Let other daemons find out what became of a write that `lost` was given.

        Only their finding counts. A refusal for any other reason, as from a daemon
        that doesn't know the group yet, says nothing about the write. One that can't
        reach the group gets a part of the time, so that the next one still has some.
        """
        while not self._is_late(work):
            ranked = self._groups.rank_daemons(work.group)
            # The lost one may be frozen and would cost time; it is asked last.
            ranked.sort(key=lambda daemon: daemon == lost)
            for daemon in ranked[:DAEMONS_TRIED]:
                slice_end_ms = self._runtime.clock.now_ms() + FIND_OUT_MS
                deadline_ms = min(work.deadline_ms, slice_end_ms)
                part = work._replace(deadline_ms=deadline_ms)
                result = self._run_at(daemon, part, True)
                if result.is_ok() or result.error.code in SETTLED_CODES:
                    return result
                if self._is_late(work):
                    break
            self._runtime.sleep_ms(FIND_OUT_PAUSE_MS)
        message = "The serving daemon was lost, and the outcome isn't known."
        return refuse(Code.OUTCOME_UNKNOWN, message, STOP_RETRY_MS, UNKNOWN)

    def _run_at(
        self, daemon: str, work: Work, settle: bool
    ) -> Result[StatementAnswer, Refusal]:
        if daemon == self._membership.name:
            return self._run_here(work, settle)
        address = self._membership.address_of(daemon)
        if address is None:
            return refuse(Code.PEER_UNREACHABLE, f"{daemon} isn't known here.")
        budget_ms = int(work.deadline_ms - self._runtime.clock.now_ms())
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
        if error.is_unreachable:
            self._membership.mark_unreachable(daemon, error.message)
        ran = UNKNOWN if error.may_have_run else NOT_RUN
        return refuse(Code.PEER_UNREACHABLE, f"{error.message}.", STOP_RETRY_MS, ran)

    # Transactions

    def _run_in_transaction(self, work: Work) -> Result[StatementAnswer, Refusal]:
        """Run a request at the daemon that holds its transaction."""
        if len(work.request["transaction"]) > TRANSACTION_LENGTH:
            return refuse_unknown()
        holder = daemon_of(work.request["transaction"])
        if work.request.get("action") == "commit":
            return self._commit(holder, name_commit(work))
        result = self._run_at(holder, work, False)
        if result.is_ok() or result.error.code != Code.PEER_UNREACHABLE:
            return result
        if _was_lost(result.error):
            self._roll_back(holder, work)
        message = (
            f"The daemon that held the transaction is lost: {result.error.message}"
        )
        return refuse(Code.TRANSACTION_LOST, message)

    def _roll_back(self, holder: str, work: Work) -> None:
        """End a transaction whose caller is about to hear that it is lost.

        The holder may live on with the transaction open. A commit with its token
        would then keep what the caller was told is gone.
        """
        request = {"group": work.group, "transaction": work.request["transaction"]}
        deadline_ms = self._runtime.clock.now_ms() + ROLL_BACK_MS
        ending = work._replace(
            request={**request, "action": "rollback"}, deadline_ms=deadline_ms
        )
        self._run_at(holder, ending, False)

    def _commit(self, holder: str, work: Work) -> Result[StatementAnswer, Refusal]:
        """Commit at the holder, or find out what became of the commit.

        A holder that knows the transaction no more may have committed it for an
        earlier request, the answer to which the caller has lost.
        """
        result = self._run_at(holder, work, False)
        if result.is_ok() or result.error.code not in ENDED_CODES:
            return result
        if not _was_lost(result.error):
            # Ending a transaction is free, but a token that somebody made up must
            # not cost the group work beyond the workspace's rate.
            spent = self._spend(work.workspace)
            if not spent.is_ok():
                message = "The workspace's rate leaves no room to find the outcome."
                retry_after_ms = spent.error.retry_after_ms
                return refuse(Code.OUTCOME_UNKNOWN, message, retry_after_ms, UNKNOWN)
        request = {**work.request, "repeatable": False}
        found = self._find_out(work._replace(request=request), holder)
        if result.error.code == Code.TRANSACTION_UNKNOWN and _has_not_run(found):
            return result
        return explain_commit(found)


def is_write(work: Work) -> bool:
    """Return whether the request is a statement that changes a row."""
    statement = work.request.get("statement")
    return statement is not None and statement["verb"] != "get"


def _was_lost(refusal: Refusal) -> bool:
    return refusal.code == Code.PEER_UNREACHABLE and refusal.ran == UNKNOWN


def _has_not_run(result: Result[StatementAnswer, Refusal]) -> bool:
    return not result.is_ok() and result.error.ran == NOT_RUN
