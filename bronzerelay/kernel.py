"""The kernel: takes a caller's request from its key to its answer."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from bronzerelay import logs
from bronzerelay.codes import CODES, NOT_RUN, RAN, UNKNOWN, Code, Refusal, refuse
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.group import Work
from bronzerelay.groups import Groups
from bronzerelay.membership import Membership
from bronzerelay.peerlink.ttypes import (
    LoanCall,
    LoanReply,
    Record,
    StatementCall,
    StatementReply,
)
from bronzerelay.peers import PeerLinks
from bronzerelay.policies import make_policy
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import Session, decode_session
from bronzerelay.shares import Loan, LoanRequest, Shares
from bronzerelay.spread import Spreader
from bronzerelay.transactions import (
    Transactions,
    daemon_of,
    explain_commit,
    name_commit,
    refuse_unknown,
)
from bronzerelay.types import StatementAnswer, StatementRequest

# How many daemons are tried for a request that the first ones didn't run.
DAEMONS_TRIED = 3
LOAN_TIMEOUT_MS = 150
WRITE_ID_BYTES = 12
STOP_RETRY_MS = 50
ISOLATED_RETRY_MS = 1000
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

_request_decoder = msgspec.json.Decoder(StatementRequest)
_answer_decoder = msgspec.json.Decoder(StatementAnswer)


class Kernel:
    """Admits requests, spends the workspace's rate, and routes to the group."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Any,
        store: ConfigurationStore,
        membership: Membership,
        links: PeerLinks,
        spreader: Spreader,
        groups: Groups,
        transactions: Transactions,
        metrics: Any,
    ):
        self._runtime = runtime
        self._settings = settings
        self._store = store
        self._membership = membership
        self._links = links
        self._spreader = spreader
        self._groups = groups
        self._transactions = transactions
        self._metrics = metrics
        self._budget = RetryBudget(runtime)
        policy = make_policy(settings.policy)
        self.shares = Shares(runtime, settings.name, self._ask_for_loan, policy)
        self.stopping = False
        self._log = logs.open_log("kernel")

    # Admission

    def check_admission(self) -> Result[None, Refusal]:
        """Return Ok when this daemon may run requests now."""
        if self.stopping:
            message = "The daemon is stopping."
            return refuse(Code.STOPPING, message, STOP_RETRY_MS)
        if self._store.current is None:
            message = "No configuration is in force yet."
            return refuse(Code.NO_CONFIGURATION, message, ISOLATED_RETRY_MS)
        if self._membership.is_isolated():
            message = "Neither the platform nor most daemons can be reached."
            return refuse(Code.ISOLATED, message, ISOLATED_RETRY_MS)
        return Ok(None)

    def check_ready(self) -> Result[None, Refusal]:
        """Return Ok when the balancer should send callers here.

        A daemon that is about to stop still runs what comes, but wants no more.
        """
        if not self._membership.is_alive(self._membership.name):
            return refuse(Code.STOPPING, "The daemon is stopping.", STOP_RETRY_MS)
        name = self._membership.name
        in_roster = name in self._membership.member_names()
        if not in_roster or not self.shares.has_begun():
            message = "The daemon has no share of the rates yet."
            return refuse(Code.NO_CONFIGURATION, message, ISOLATED_RETRY_MS)
        return self.check_admission()

    def run_statement(
        self, workspace: str, key: str, request: StatementRequest, request_id: str
    ) -> Result[StatementAnswer, Refusal]:
        """Run a caller's request, or say why not and whether it ran."""
        started_ms = self._runtime.clock.now_ms()
        result = self._admit_and_run(workspace, key, request, request_id)
        self._log_end("A request ended.", workspace, request_id, result)
        if result.is_ok():
            took_ms = self._runtime.clock.now_ms() - started_ms
            self._metrics.record_latency(workspace, request["group"], took_ms)
        return result

    def _log_end(
        self, message: str, workspace: str, trace_id: str, result: Result
    ) -> None:
        if not self._log.isEnabledFor(logs.DEBUG):
            return
        code = Code.OK if result.is_ok() else result.error.code
        extra = {"request_id": trace_id, "workspace": workspace, "code": int(code)}
        self._log.debug(message, extra=extra)

    def _admit_and_run(
        self, workspace: str, key: str, request: StatementRequest, trace_id: str
    ) -> Result[StatementAnswer, Refusal]:
        # A transaction that is open may end while the daemon stops; it cuts none.
        admitted = self.check_admission()
        if not admitted.is_ok() and not self._may_end(admitted.error, request):
            return admitted
        checked = self._store.check_key(workspace, key)
        if not checked.is_ok():
            return checked
        found = self._store.find_group(checked.ok, request["group"])
        if not found.is_ok():
            return found
        session = decode_session(request.get("session", ""))
        if not session.is_ok():
            return session
        # Ending a transaction is free: refusing it would only hold what it holds.
        if request.get("action") not in ("commit", "rollback"):
            spent = self.shares.spend(workspace)
            if not spent.is_ok():
                return spent
        work = self._make_work(workspace, request, session.ok)
        return self._route(work._replace(trace_id=trace_id))

    def _may_end(self, refusal: Refusal, request: StatementRequest) -> bool:
        return refusal.code == Code.STOPPING and "transaction" in request

    def _make_work(
        self, workspace: str, request: StatementRequest, session: Session
    ) -> Work:
        limit_ms = self._settings.max_deadline_ms
        asked_ms = request.get("deadline_ms", self._settings.default_deadline_ms)
        deadline_ms = self._runtime.clock.now_ms() + min(asked_ms, limit_ms)
        # The caller's request id may repeat; the id of a write never does.
        write_id = self._runtime.random.randbytes(WRITE_ID_BYTES).hex()
        return Work(write_id, workspace, request, session, deadline_ms)

    # Routing

    def _route(self, work: Work) -> Result[StatementAnswer, Refusal]:
        if "transaction" in work.request:
            return self._run_in_transaction(work)
        self._budget.note_request()
        result: Result = refuse(
            Code.PEER_UNREACHABLE, "No daemon serves the group.", ISOLATED_RETRY_MS
        )
        ranked = self._groups.rank_daemons(work.group)[:DAEMONS_TRIED]
        for number, daemon in enumerate(ranked, start=1):
            result = self._run_at(daemon, work, False)
            if result.is_ok():
                return result
            if _is_write(work) and _was_lost(result.error):
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
            return self.run_here(work, settle)
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
        if not error.sent:
            self._membership.mark_unreachable(daemon)
        ran = UNKNOWN if error.sent else NOT_RUN
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
            spent = self.shares.spend(work.workspace)
            if not spent.is_ok():
                message = "The workspace's rate leaves no room to find the outcome."
                retry_after_ms = spent.error.retry_after_ms
                return refuse(Code.OUTCOME_UNKNOWN, message, retry_after_ms, UNKNOWN)
        request = {**work.request, "repeatable": False}
        found = self._find_out(work._replace(request=request), holder)
        if result.error.code == Code.TRANSACTION_UNKNOWN and _has_not_run(found):
            return result
        return explain_commit(found)

    # Serving

    def run_here(self, work: Work, settle: bool) -> Result[StatementAnswer, Refusal]:
        """Run `work` on the group from this daemon."""
        group = self._groups.find(work.group)
        if group is None:
            message = f"{self._membership.name} doesn't know group {work.group!r}."
            return refuse(Code.GROUP_UNKNOWN, message)
        group.parts.budget.note_request()
        if settle:
            return group.settle(work, 1)
        if "transaction" in work.request:
            return self._transactions.run(work)
        if work.request.get("action") == "begin":
            return self._transactions.begin(group, work)
        if _is_write(work):
            return group.write(work)
        return group.read(work)

    # What peers call

    def beat(self, beat: Any) -> Any:
        """Answer a heartbeat with what this daemon knows."""
        return self._spreader.make_beat()

    def run_statement_call(self, call: StatementCall) -> StatementReply:
        """Run a statement that a peer forwarded; it is never forwarded again."""
        request = _request_decoder.decode(call.request)
        session = decode_session(request.get("session", "")).ok
        deadline_ms = self._runtime.clock.now_ms() + call.budget_ms
        work = Work(
            call.request_id,
            call.workspace,
            request,
            session,
            deadline_ms,
            call.trace_id or "",
        )
        result = self.run_here(work, bool(call.settle))
        message = "A forwarded request ended."
        self._log_end(message, work.workspace, work.trace_id, result)
        return pack_reply(result)

    def lend(self, call: LoanCall) -> LoanReply:
        """Lend a peer tokens of a workspace."""
        request = LoanRequest(
            call.workspace, call.amount, call.process, call.number, call.held
        )
        loan = self.shares.lend(request)
        return LoanReply(amount=loan.amount, spare=loan.spare)

    def fetch_config(self, known_version: int) -> Record:
        """Give a peer the configuration in force."""
        return self._spreader.give_config(known_version)

    def fetch_roster(self, known_epoch: int) -> Record:
        """Give a peer the roster."""
        return self._spreader.give_roster(known_epoch)

    def _ask_for_loan(self, lender: str, request: LoanRequest) -> Loan | None:
        address = self._membership.address_of(lender)
        if address is None or not self._membership.is_alive(lender):
            return None
        call = LoanCall(borrower=self._membership.name, **request._asdict())
        reply = self._links.call(address, "lend", call, LOAN_TIMEOUT_MS)
        if not reply.is_ok():
            self._metrics.count_retry("loan_lost")
            return None
        return Loan(reply.ok.amount, reply.ok.spare)


def _is_write(work: Work) -> bool:
    statement = work.request.get("statement")
    return statement is not None and statement["verb"] != "get"


def _was_lost(refusal: Refusal) -> bool:
    return refusal.code == Code.PEER_UNREACHABLE and refusal.ran == UNKNOWN


def _has_not_run(result: Result[StatementAnswer, Refusal]) -> bool:
    return not result.is_ok() and result.error.ran == NOT_RUN


class PeerHandler:
    """The kernel under the names of the thrift service."""

    def __init__(self, kernel: Kernel):
        self.beat = kernel.beat
        self.run_statement = kernel.run_statement_call
        self.lend = kernel.lend
        self.fetch_config = kernel.fetch_config
        self.fetch_roster = kernel.fetch_roster


def pack_reply(result: Result[StatementAnswer, Refusal]) -> StatementReply:
    """Return `result` as it travels between daemons."""
    if result.is_ok():
        answer = msgspec.json.encode(result.ok)
        return StatementReply(
            code=Code.OK, ran=RAN, message="", retry_after_ms=0, answer=answer
        )
    refusal = result.error
    return StatementReply(
        code=refusal.code,
        ran=refusal.ran,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
        answer=b"",
    )


def unpack_reply(reply: StatementReply) -> Result[StatementAnswer, Refusal]:
    """Return the result that a peer sent; an unknown code is an internal error."""
    if reply.code == Code.OK:
        return Ok(_answer_decoder.decode(reply.answer))
    code = Code(reply.code) if reply.code in CODES else Code.INTERNAL_ERROR
    return refuse(code, reply.message, reply.retry_after_ms, reply.ran)
