"""A workspace's rate, split into shares that the daemons hold, with loans between them.

Each holder owns an even share of the rate and of the burst permanently, so that it
needs no lease, no clock of another VM and no answer of the platform to spend it. Where
traffic is uneven, a daemon borrows tokens. They leave the lender's bucket before they
are sent and count against the lender's burst until they have expired. At the borrower
they expire `LOAN_LIFE_MS` after it asked for them. So the tokens of the whole fleet
never exceed the burst, whatever is disconnected, frozen, lost or restarted.
"""

from typing import Any

from expression import Ok, Result

from bronzerelay.borrowing import BORROW_BACKOFF_MS, Account, AskPeer, Borrower, Loan
from bronzerelay.buckets import LOAN_LIFE_MS, LoanRequest, Share
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.holders import share_fraction
from bronzerelay.runtime import Runtime
from bronzerelay.types import WorkspaceSpec

# How long a new process delays its readiness until it knows that all members use the
# same configuration. After that it becomes ready without and relies on loans, because
# a dead VM may stay in the roster for long.
SPECS_WAIT_MS = 2000
# The longest retry-after time: a tiny rate gives an infinite one.
MAX_RETRY_AFTER_MS = 24 * 60 * 60 * 1000


class Shares:
    """The token accounts of all workspaces at this daemon."""

    def __init__(self, runtime: Runtime, name: str, ask_peer: AskPeer, policy: Any):
        self._runtime = runtime
        self._name = name
        self._policy = policy
        self._borrower = Borrower(runtime, name, ask_peer)
        self._lock = runtime.make_lock()
        self._accounts: dict[str, Account] = {}
        # Accounts of removed workspaces whose loans may still be spent.
        self._removed: dict[str, Account] = {}
        self._members: list[str] = []
        # The members of the last roster that every one of them has applied.
        self._confirmed: list[str] = []
        self._knows_specs = False
        self._wait_specs_until_ms = float("inf")
        self._may_lend = True
        # Before this time, tokens lent by the daemon's previous process may be spent.
        self._fill_from_ms = runtime.clock.now_ms() + LOAN_LIFE_MS

    def are_ready(self) -> bool:
        """Return whether this daemon's shares are known and may fill up by now."""
        now_ms = self._runtime.clock.now_ms()
        if not self._confirmed or now_ms < self._fill_from_ms:
            return False
        return self._knows_specs or now_ms >= self._wait_specs_until_ms

    def set_workspaces(self, specs: list[WorkspaceSpec]) -> None:
        """Apply the workspaces of a configuration, and keep the members."""
        with self._lock:
            now_ms = self._runtime.clock.now_ms()
            wait_until_ms = now_ms + SPECS_WAIT_MS
            self._wait_specs_until_ms = min(self._wait_specs_until_ms, wait_until_ms)
            names = {spec.name for spec in specs}
            for removed in set(self._accounts) - names:
                self._removed[removed] = self._accounts.pop(removed)
            for spec in specs:
                self._set_workspace(spec, now_ms)
            self._drop_removed(now_ms)

    def _set_workspace(self, spec: WorkspaceSpec, now_ms: float) -> None:
        account = self._accounts.get(spec.name)
        if account is None:
            account = self._add_account(spec, now_ms)
        with account.condition:
            account.spec = spec
            # A new process doesn't know which bursts the other members use.
            if self._knows_specs:
                account.bursts_in_use.add(spec.burst)
            self._apply_members(account, now_ms)

    def _add_account(self, spec: WorkspaceSpec, now_ms: float) -> Account:
        # A workspace that is added again must keep its loans. Otherwise they could be
        # spent in addition to the tokens that replace them.
        account = self._removed.pop(spec.name, None)
        if account is None:
            account = Account(self._runtime, spec)
            account.bucket.start_empty(now_ms, self._fill_from_ms)
        self._accounts[spec.name] = account
        return account

    def _drop_removed(self, now_ms: float) -> None:
        for name, account in list(self._removed.items()):
            if account.bucket.lent_until_ms() <= now_ms:
                del self._removed[name]

    def confirm_workspaces(self) -> None:
        """Record that every member uses the workspaces that are set here.

        The number of daemons that hold a workspace depends on its burst. While members
        use configuration versions with different bursts, their shares could add up to
        more than the whole. So until all members use the same version, each daemon
        holds the smallest share that any of the versions gives it.
        """
        with self._lock:
            self._knows_specs = True
            now_ms = self._runtime.clock.now_ms()
            for account in self._accounts.values():
                with account.condition:
                    account.bursts_in_use = {account.spec.burst}
                    self._apply_members(account, now_ms)

    def set_members(self, members: list[str], confirmed: bool) -> None:
        """Split the rates over `members`.

        Until every member is known to use the same list, a share can only shrink. A
        daemon that grew its share at once would spend tokens that another one, which
        doesn't know the new roster yet, still counts as its own.
        """
        with self._lock:
            self._members = members
            if confirmed:
                self._confirmed = members
            now_ms = self._runtime.clock.now_ms()
            for account in self._accounts.values():
                with account.condition:
                    self._apply_members(account, now_ms)

    def _apply_members(self, account: Account, now_ms: float) -> None:
        spec = account.spec
        list_holders = self._policy.list_holders
        fractions = [
            share_fraction(
                list_holders(spec._replace(burst=burst), members), self._name
            )
            for burst in account.bursts_in_use
            for members in (self._members, self._confirmed)
        ]
        fraction = min(fractions, default=0.0)
        account.bucket.set_share(
            Share(fraction * spec.rate, fraction * spec.burst), now_ms
        )
        holders = list_holders(spec, self._members)
        account.holders = max(1, len(holders))
        account.lenders = self._policy.list_lenders(holders, self._name)

    def loans_fit(self) -> bool:
        """Return whether the outstanding loans fit into this daemon's current shares.

        Other daemons' shares may grow only after that: a loan made from a larger
        share may still be spent.
        """
        with self._lock:
            now_ms = self._runtime.clock.now_ms()
            accounts = list(self._accounts.values())
        for account in accounts:
            with account.condition:
                if not account.bucket.loans_fit(now_ms):
                    return False
        return True

    def stop_lending(self) -> float:
        """Stop lending; return when the last outstanding loan expires."""
        with self._lock:
            self._may_lend = False
            accounts = [*self._accounts.values(), *self._removed.values()]
        until_ms = 0.0
        for account in accounts:
            with account.condition:
                until_ms = max(until_ms, account.bucket.lent_until_ms())
        return until_ms

    def spend(self, workspace: str) -> Result[None, Refusal]:
        """Spend one token of the workspace, or refuse with the time to retry after."""
        account = self._accounts.get(workspace)
        if account is None:
            return refuse(Code.WORKSPACE_UNKNOWN, f"{workspace} has no rate here.")
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            account.bucket.note_demand(now_ms)
            if account.bucket.try_spend(now_ms):
                return Ok(None)
            if now_ms < account.backoff_until_ms or not account.lenders:
                return self._refuse(account)
        if self._borrower.spend(account):
            return Ok(None)
        return self._refuse(account)

    def _refuse(self, account: Account) -> Result[None, Refusal]:
        if not self.are_ready():
            # The daemon has no share of its own and may know no lender. RATE_EXCEEDED
            # would be false and make callers slow down for no reason.
            message = "The daemon has no share of the rates yet."
            return refuse(Code.NO_CONFIGURATION, message, BORROW_BACKOFF_MS)
        return _refuse_rate(account)

    def lend(self, request: LoanRequest) -> Loan:
        """Lend a peer the workspace's tokens that this daemon can spare."""
        account = self._accounts.get(request.workspace)
        if account is None or not self._may_lend:
            return Loan(0.0, 0.0)
        with account.condition:
            now_ms = self._runtime.clock.now_ms()
            return Loan(*account.bucket.lend(request, now_ms))


def _refuse_rate(account: Account) -> Result[None, Refusal]:
    spec = account.spec
    token_ms = min(1000 / spec.rate, MAX_RETRY_AFTER_MS)
    retry_after_ms = max(BORROW_BACKOFF_MS, int(token_ms))
    message = f"{spec.name} is over its rate of {spec.rate:g} requests a second."
    return refuse(Code.RATE_EXCEEDED, message, retry_after_ms)
