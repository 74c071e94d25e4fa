"""A workspace's rate, split over the daemons, with loans between them.

Each holder owns an even part of the rate and of the burst for good, so that no
lease, clock of another VM or answer of the platform is needed to spend it. Where
traffic is uneven, a daemon borrows tokens: they leave the lender's bucket before they
are sent, keep their place in the lender's burst until they have lapsed, and lapse
at the borrower after `LOAN_LIFE_MS` from the time it asked. So the tokens of the
fleet never pass the burst, whatever is cut, frozen, lost or restarted.
"""

from typing import Any

from expression import Ok, Result

from bronzerelay.borrowing import DRY_MS, Account, AskPeer, Borrower, Loan
from bronzerelay.buckets import LOAN_LIFE_MS, LoanRequest, Share
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.holders import work_out_part
from bronzerelay.runtime import Runtime
from bronzerelay.types import WorkspaceSpec

# How long a fresh process puts off its readiness for members whose configuration it
# doesn't know. After that it lives on loans: a VM may be dead and listed for long.
SPECS_WAIT_MS = 2000


class Shares:
    """All workspaces' accounts at this daemon."""

    def __init__(self, runtime: Runtime, name: str, ask_peer: AskPeer, policy: Any):
        self._runtime = runtime
        self._name = name
        self._policy = policy
        self._borrower = Borrower(runtime, name, ask_peer)
        self._lock = runtime.make_lock()
        self._accounts: dict[str, Account] = {}
        # Workspaces that were removed while loans of theirs could be spent.
        self._removed: dict[str, Account] = {}
        self._members: list[str] = []
        # The members of the last roster that all are known to have applied.
        self._confirmed: list[str] = []
        self._knows_specs = False
        self._wait_specs_until_ms = float("inf")
        self._lends = True
        # Until then tokens that a process before this one lent may still be spent.
        self._begin_ms = runtime.clock.now_ms() + LOAN_LIFE_MS

    def has_begun(self) -> bool:
        """Return whether this daemon's parts are known and may fill up by now."""
        now_ms = self._runtime.clock.now_ms()
        if not self._confirmed or now_ms < self._begin_ms:
            return False
        return self._knows_specs or now_ms >= self._wait_specs_until_ms

    def set_workspaces(self, specs: list[WorkspaceSpec]) -> None:
        """Take over the workspaces of a configuration, with the members as set."""
        with self._lock:
            now_ms = self._runtime.clock.now_ms()
            wait_until_ms = now_ms + SPECS_WAIT_MS
            self._wait_specs_until_ms = min(self._wait_specs_until_ms, wait_until_ms)
            names = {spec.name for spec in specs}
            for gone in set(self._accounts) - names:
                self._removed[gone] = self._accounts.pop(gone)
            for spec in specs:
                self._set_workspace(spec, now_ms)
            self._forget_removed(now_ms)

    def _set_workspace(self, spec: WorkspaceSpec, now_ms: float) -> None:
        account = self._accounts.get(spec.name)
        if account is None:
            account = self._add_account(spec, now_ms)
        with account.condition:
            account.spec = spec
            # A fresh process doesn't know what the others go by.
            if self._knows_specs:
                account.bursts_in_use.add(spec.burst)
            self._apply_members(account, now_ms)

    def _add_account(self, spec: WorkspaceSpec, now_ms: float) -> Account:
        # A workspace that comes back must not forget its loans: they could be spent
        # beside the tokens that grow in their place.
        account = self._removed.pop(spec.name, None)
        if account is None:
            account = Account(self._runtime, spec)
            account.bucket.start_empty(now_ms, self._begin_ms)
        self._accounts[spec.name] = account
        return account

    def _forget_removed(self, now_ms: float) -> None:
        for name, account in list(self._removed.items()):
            if account.bucket.lent_until_ms() <= now_ms:
                del self._removed[name]

    def confirm_workspaces(self) -> None:
        """Note that every member goes by the workspaces as they are set here.

        How many daemons hold a workspace depends on its burst. Two versions that
        differ in it would give out more than the whole together, so that until all
        have the same one, each holds the smallest part that any of them gives it.
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

        Until it is confirmed that every one of them does the same, a part only
        shrinks. A daemon that grew its part at once would spend what another one,
        which hasn't heard of the new roster, still takes for its own.
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
        parts = [
            work_out_part(list_holders(spec._replace(burst=burst), members), self._name)
            for burst in account.bursts_in_use
            for members in (self._members, self._confirmed)
        ]
        part = min(parts, default=0.0)
        account.bucket.set_share(Share(part * spec.rate, part * spec.burst), now_ms)
        holders = list_holders(spec, self._members)
        account.holders = max(1, len(holders))
        account.lenders = self._policy.list_lenders(holders, self._name)

    def has_shrunk(self) -> bool:
        """Return whether no loan from a larger part than today's can be spent.

        Only then may others grow into what this daemon gave up.
        """
        with self._lock:
            now_ms = self._runtime.clock.now_ms()
            accounts = list(self._accounts.values())
        for account in accounts:
            with account.condition:
                if not account.bucket.fits_share(now_ms):
                    return False
        return True

    def stop_lending(self) -> float:
        """Lend nothing any more; return when the last loan lapses."""
        with self._lock:
            self._lends = False
            accounts = [*self._accounts.values(), *self._removed.values()]
        until_ms = 0.0
        for account in accounts:
            with account.condition:
                until_ms = max(until_ms, account.bucket.lent_until_ms())
        return until_ms

    def spend(self, workspace: str) -> Result[None, Refusal]:
        """Spend one token of the workspace, or say when to come back."""
        account = self._accounts.get(workspace)
        if account is None:
            return refuse(Code.WORKSPACE_UNKNOWN, f"{workspace} has no rate here.")
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            account.bucket.note_demand(now_ms)
            if account.bucket.try_spend(now_ms):
                return Ok(None)
            if now_ms < account.dry_until_ms or not account.lenders:
                return self._refuse(account)
        if self._borrower.spend(account):
            return Ok(None)
        return self._refuse(account)

    def _refuse(self, account: Account) -> Result[None, Refusal]:
        if not self.has_begun():
            # No part of its own and perhaps nobody known who could lend: "over the
            # rate" would be false, and callers would hold back for no reason.
            message = "The daemon has no share of the rates yet."
            return refuse(Code.NO_CONFIGURATION, message, DRY_MS)
        return _refuse_rate(account)

    def lend(self, request: LoanRequest) -> Loan:
        """Lend a peer what can be spared of a workspace."""
        account = self._accounts.get(request.workspace)
        if account is None or not self._lends:
            return Loan(0.0, 0.0)
        with account.condition:
            now_ms = self._runtime.clock.now_ms()
            return Loan(*account.bucket.lend(request, now_ms))


def _refuse_rate(account: Account) -> Result[None, Refusal]:
    spec = account.spec
    retry_after_ms = max(DRY_MS, int(1000 / spec.rate))
    message = f"{spec.name} is over its rate of {spec.rate:g} requests a second."
    return refuse(Code.RATE_EXCEEDED, message, retry_after_ms)
