"""The kernel: authenticates, admits and runs a caller's request."""

import functools
from typing import Any

import msgspec
from expression import Ok, Result

from bronzerelay import logs
from bronzerelay.borrowing import Loan
from bronzerelay.buckets import LoanRequest
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.gossip import Gossip
from bronzerelay.groups import Groups
from bronzerelay.membership import Membership
from bronzerelay.peerlink.ttypes import (
    LoanCall,
    LoanReply,
    Record,
    StatementCall,
    StatementReply,
)
from bronzerelay.peers import PeerLinks, make_wanted_check
from bronzerelay.policies import make_policy
from bronzerelay.refusallog import RefusalLog, RefusedRequest
from bronzerelay.replies import pack_reply
from bronzerelay.router import NO_WORKSPACE, UNAUTHENTICATED_CODES
from bronzerelay.routing import Router, is_write
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import Session, decode_session
from bronzerelay.shares import Shares
from bronzerelay.transactions import Transactions
from bronzerelay.types import StatementAnswer, StatementRequest
from bronzerelay.work import Work

LOAN_TIMEOUT_MS = 150
WRITE_ID_BYTES = 12
STOPPING_RETRY_AFTER_MS = 50
ISOLATED_RETRY_AFTER_MS = 1000
# How long after a daemon finds itself isolated requests wait for news, and how often
# they look. After a pause of its own the next replies to heartbeats bring the news.
ISOLATION_WAIT_MS = 400
ISOLATION_CHECK_MS = 5

_request_decoder = msgspec.json.Decoder(StatementRequest)


class Kernel:
    """Admits requests, charges the workspace's rate, and routes to the group."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Any,
        store: ConfigurationStore,
        membership: Membership,
        links: PeerLinks,
        gossip: Gossip,
        groups: Groups,
        transactions: Transactions,
        metrics: Any,
    ):
        self._runtime = runtime
        self._settings = settings
        self._store = store
        self._membership = membership
        self._links = links
        self._gossip = gossip
        self._groups = groups
        self._transactions = transactions
        self._metrics = metrics
        policy = make_policy(settings.policy)
        self.shares = Shares(runtime, settings.name, self._ask_for_loan, policy)
        self._router = Router(
            runtime,
            membership,
            links,
            groups,
            metrics,
            self.run_here,
            lambda workspace: self.shares.spend(workspace),
        )
        self.stopping = False
        self._isolated_since_ms: float | None = None
        self._log = logs.open_log("kernel")
        self._refusals = RefusalLog(runtime, self._log)

    # Admission

    def check_admission(self) -> Result[None, Refusal]:
        """Return Ok if this daemon may run requests now."""
        if self.stopping:
            message = "The daemon is stopping."
            return refuse(Code.STOPPING, message, STOPPING_RETRY_AFTER_MS)
        if self._store.current is None:
            message = "No configuration is in force yet."
            return refuse(Code.NO_CONFIGURATION, message, ISOLATED_RETRY_AFTER_MS)
        if self._membership.is_isolated():
            message = "Neither the platform nor most daemons can be reached."
            return refuse(Code.ISOLATED, message, ISOLATED_RETRY_AFTER_MS)
        return Ok(None)

    def _await_admission(self, end_ms: float) -> Result[None, Refusal]:
        """Return Ok if requests may run; wait a short time if that is likely to help.

        A daemon that was paused can't know whether keys were withdrawn meanwhile until
        it hears of its peers again. One that stays isolated refuses at once.
        """
        clock = self._runtime.clock
        while True:
            admitted = self.check_admission()
            if admitted.is_ok() or admitted.error.code != Code.ISOLATED:
                self._isolated_since_ms = None
                return admitted
            now_ms = clock.now_ms()
            since_ms = self._isolated_since_ms
            if since_ms is None:
                since_ms = self._isolated_since_ms = now_ms
            if now_ms >= min(end_ms, since_ms + ISOLATION_WAIT_MS):
                return admitted
            self._runtime.sleep_ms(ISOLATION_CHECK_MS)

    def check_ready(self) -> Result[None, Refusal]:
        """Return Ok if the load balancer should send callers here.

        A daemon that is about to stop still runs the requests that it receives, but
        it reports that it isn't ready.
        """
        if not self._membership.is_alive(self._membership.name):
            return refuse(
                Code.STOPPING, "The daemon is stopping.", STOPPING_RETRY_AFTER_MS
            )
        name = self._membership.name
        in_roster = name in self._membership.member_names()
        if not in_roster or not self.shares.are_ready():
            message = "The daemon has no share of the rates yet."
            return refuse(Code.NO_CONFIGURATION, message, ISOLATED_RETRY_AFTER_MS)
        return self.check_admission()

    def run_statement(
        self, workspace: str, key: str, request: StatementRequest, request_id: str
    ) -> Result[StatementAnswer, Refusal]:
        """Run a caller's request; a refusal says whether the request ran."""
        started_ms = self._runtime.clock.now_ms()
        result = self._admit_and_run(workspace, key, request, request_id)
        self._log_result("A request ended.", workspace, request_id, result)
        if result.is_ok():
            duration_ms = self._runtime.clock.now_ms() - started_ms
            self._metrics.record_latency(workspace, request["group"], duration_ms)
        else:
            # Whoever has no key could use up the log's lines with invented names.
            is_known = result.error.code not in UNAUTHENTICATED_CODES
            name = workspace if is_known else NO_WORKSPACE
            refused = RefusedRequest(request_id, name, started_ms)
            message = "A caller was refused."
            self._log_refusal(message, refused, request["group"], result.error)
        return result

    def _log_refusal(
        self, message: str, request: RefusedRequest, group: str, refusal: Refusal
    ) -> None:
        describe = functools.partial(
            self._groups.describe_service, group, request.workspace
        )
        self._refusals.record(message, request, refusal, describe)

    def _log_result(
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
        deadline_ms = self._find_deadline(request)
        # An open transaction may still run and end while the daemon stops.
        admitted = self._await_admission(deadline_ms)
        if not admitted.is_ok() and not self._may_continue(admitted.error, request):
            return admitted
        checked = self._store.check_key(workspace, key)
        if not checked.is_ok():
            return checked
        group = self._store.find_group(checked.ok, request["group"])
        if not group.is_ok():
            return group
        session = decode_session(request.get("session", ""))
        if not session.is_ok():
            return session
        # A commit or rollback costs no token: a refusal would only make the
        # transaction hold its connection longer.
        if request.get("action") not in ("commit", "rollback"):
            spent = self.shares.spend(workspace)
            if not spent.is_ok():
                return spent
        work = self._make_work(workspace, request, session.ok, deadline_ms)
        return self._router.route(work._replace(trace_id=trace_id))

    def _may_continue(self, refusal: Refusal, request: StatementRequest) -> bool:
        return refusal.code == Code.STOPPING and "transaction" in request

    def _find_deadline(self, request: StatementRequest) -> float:
        limit_ms = self._settings.max_deadline_ms
        requested_ms = request.get("deadline_ms", self._settings.default_deadline_ms)
        return self._runtime.clock.now_ms() + min(requested_ms, limit_ms)

    def _make_work(
        self,
        workspace: str,
        request: StatementRequest,
        session: Session,
        deadline_ms: float,
    ) -> Work:
        # Callers may reuse a request id, so each write gets an id of its own.
        write_id = self._runtime.random.randbytes(WRITE_ID_BYTES).hex()
        return Work(write_id, workspace, request, session, deadline_ms)

    # Serving

    def run_here(self, work: Work, settle: bool) -> Result[StatementAnswer, Refusal]:
        """Run `work` on the group from this daemon.

        With `settle`, only determine the outcome of a write whose daemon was lost.
        """
        group = self._groups.find(work.group)
        if group is None:
            message = f"{self._membership.name} doesn't know group {work.group!r}."
            return refuse(Code.GROUP_UNKNOWN, message)
        group.components.budget.count_request()
        if settle:
            return group.settle(work, 1)
        if "transaction" in work.request:
            return self._transactions.run(work)
        if work.request.get("action") == "begin":
            return self._transactions.begin(group, work)
        if is_write(work):
            return group.write(work)
        return group.read(work)

    # Calls from peers

    def beat(self, beat: Any) -> Any:
        """Answer a heartbeat with what this daemon knows."""
        return self._gossip.make_beat()

    def run_statement_call(self, call: StatementCall) -> StatementReply:
        """Run a statement that a peer forwarded; it is never forwarded again."""
        request = _request_decoder.decode(call.request)
        session = decode_session(request.get("session", "")).ok
        received_ms = self._runtime.clock.now_ms()
        deadline_ms = received_ms + call.budget_ms
        work = Work(
            call.request_id,
            call.workspace,
            request,
            session,
            deadline_ms,
            call.trace_id or "",
            make_wanted_check(),
        )
        result = self.run_here(work, bool(call.settle))
        message = "A forwarded request ended."
        self._log_result(message, work.workspace, work.trace_id, result)
        if not result.is_ok():
            refused = RefusedRequest(work.trace_id, work.workspace, received_ms)
            message = "A forwarded request was refused."
            self._log_refusal(message, refused, work.group, result.error)
        return pack_reply(result)

    def lend(self, call: LoanCall) -> LoanReply:
        """Lend a peer tokens of a workspace's rate."""
        request = LoanRequest(
            call.workspace, call.amount, call.process, call.number, call.held
        )
        loan = self.shares.lend(request)
        return LoanReply(amount=loan.amount, spare=loan.spare)

    def fetch_config(self, known_version: int) -> Record:
        """Return the configuration in force, if it is newer than the peer's."""
        return self._gossip.make_config_record(known_version)

    def fetch_roster(self, known_epoch: int) -> Record:
        """Return the roster, if it is newer than the peer's."""
        return self._gossip.make_roster_record(known_epoch)

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


class PeerHandler:
    """Exposes the kernel's methods under the names of the thrift service."""

    def __init__(self, kernel: Kernel):
        self.beat = kernel.beat
        self.run_statement = kernel.run_statement_call
        self.lend = kernel.lend
        self.fetch_config = kernel.fetch_config
        self.fetch_roster = kernel.fetch_roster
