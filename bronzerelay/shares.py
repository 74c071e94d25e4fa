"""A workspace's rate, split over the daemons, with loans between them.

Each holder owns an even part of the rate and of the burst for good, so that no
lease, clock of another VM or answer of the platform is needed to spend it. Where
traffic is uneven, a daemon borrows tokens: they leave the lender's bucket before they
are sent, keep their place in the lender's burst until they have lapsed, and lapse
at the borrower after `LOAN_LIFE_MS` from the time it asked. So the tokens of the
fleet never pass the burst, whatever is cut, frozen, lost or restarted.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from bronzerelay.types import WorkspaceSpec

# While a loan may be spent its lender can't refill its place, unless the borrower asks
# again: the life has to be well below burst / rate, a second at today's sizes. It must
# be longer than the call that brings the loan.
LOAN_LIFE_MS = 200
# Parts of a token that stand about at many holders are missing where they are wanted,
# so that each is to hold some ten. But a holder's part is lost while its VM is dead
# and still listed: a small workspace has a few holders, of two tokens at least. And a
# borrower should not have to ask hundreds.
GOOD_HOLDER_BURST = 10.0
LEAST_HOLDER_BURST = 2.0
FEW_HOLDERS = 3
MAX_HOLDERS = 16
# How much of its own demand a lender keeps, and a borrower asks for in advance.
DEMAND_WINDOW_MS = 100
# After a round that found no token, refuse for a while without asking again. An
# overloaded workspace would otherwise send every refusal around the whole fleet.
DRY_MS = 40
BORROW_WAIT_MS = 250
# Fractions that were lent by several daemons add up to a little less than the whole.
# What is taken too much stays as a debt.
SUM_ERROR = 1e-9
PROCESS_BYTES = 8
# How long a fresh process puts off its readiness for members whose configuration it
# doesn't know. After that it lives on loans: a VM may be dead and listed for long.
SPECS_WAIT_MS = 2000
# How fast the estimate of the own demand follows a change.
DEMAND_MEMORY_MS = 500


class Holding(NamedTuple):
    """A daemon's part of a workspace: tokens a second, and tokens at most."""

    rate: float
    burst: float


def list_holders(
    workspace: WorkspaceSpec, members: list[str], limit: int = MAX_HOLDERS
) -> list[str]:
    """Return which of `members` hold parts of the workspace's rate."""
    few = min(FEW_HOLDERS, int(workspace.burst // LEAST_HOLDER_BURST))
    by_burst = max(1, few, int(workspace.burst // GOOD_HOLDER_BURST))
    count = min(len(members), limit, by_burst)
    return rank(f"share/{workspace.name}", members)[:count]


def list_lenders(holders: list[str], name: str) -> list[str]:
    """Return which of the `holders` daemon `name` may borrow from: all others."""
    return [holder for holder in holders if holder != name]


def work_out_part(holders: list[str], name: str) -> float:
    """Return the fraction of a workspace that daemon `name` holds; it may be 0."""
    return 1 / len(holders) if name in holders else 0.0


class Lot(NamedTuple):
    """Tokens that count until `until_ms`; `party` is whose they are on the other side.

    That is the borrowing process at the lender, and the lender at the borrower.
    """

    amount: float
    until_ms: float
    party: str


class LoanRequest(NamedTuple):
    """What a borrower asks for, and how many tokens of this lender it holds still.

    `process` is a new name at each start, and `number` grows with each request of it.
    """

    workspace: str
    amount: float
    process: str
    number: int
    held: float


class Bucket:
    """The tokens of one workspace at one daemon; the owner holds the lock."""

    def __init__(self, now_ms: float):
        self.holding = Holding(0.0, 0.0)
        self._tokens = 0.0
        self._filled_at_ms = now_ms
        self._lent: list[Lot] = []
        self._borrowed: list[Lot] = []
        # The highest number heard of each borrowing process.
        self._heard: dict[str, int] = {}
        self._demand = 0.0
        self._demand_at_ms = now_ms

    def set_holding(self, holding: Holding, now_ms: float) -> None:
        """Take a new part; tokens above a smaller one are gone at once."""
        self._fill(now_ms)
        self.holding = holding
        room = max(0.0, holding.burst - self._sum_lent())
        self._tokens = min(self._tokens, room)

    def empty(self, now_ms: float, from_ms: float) -> None:
        """Begin with no tokens, and fill up only from `from_ms` on."""
        self._tokens = 0.0
        self._filled_at_ms = max(now_ms, from_ms)

    def _fill(self, now_ms: float) -> None:
        self._lent = [lot for lot in self._lent if lot.until_ms > now_ms]
        self._borrowed = [lot for lot in self._borrowed if lot.until_ms > now_ms]
        elapsed_ms = now_ms - self._filled_at_ms
        if elapsed_ms <= 0:
            return
        room = self.holding.burst - self._sum_lent()
        grown = self._tokens + elapsed_ms * self.holding.rate / 1000
        self._tokens = max(0.0, min(room, grown))
        self._filled_at_ms = now_ms

    def _sum_lent(self) -> float:
        return sum(lot.amount for lot in self._lent)

    def fits_holding(self, now_ms: float) -> bool:
        """Return whether the loans that may be spent still are within the burst."""
        self._fill(now_ms)
        return self._sum_lent() <= self.holding.burst

    def lent_until_ms(self) -> float:
        """Return when the last loan lapses; one that has lapsed counts too."""
        return max((lot.until_ms for lot in self._lent), default=0.0)

    def note_demand(self, now_ms: float) -> None:
        """Count one request towards the demand, in requests a second."""
        elapsed_ms = now_ms - self._demand_at_ms
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_MEMORY_MS)
        self._demand = self._demand * kept + 1000 / DEMAND_MEMORY_MS
        self._demand_at_ms = now_ms

    def expected_demand(self, now_ms: float) -> float:
        """Return how many requests to expect within `DEMAND_WINDOW_MS`."""
        kept = max(0.0, 1.0 - (now_ms - self._demand_at_ms) / DEMAND_MEMORY_MS)
        return self._demand * kept * DEMAND_WINDOW_MS / 1000

    def take(self, now_ms: float) -> bool:
        """Spend one token, borrowed ones first; return whether there was one."""
        self._fill(now_ms)
        available = self._tokens + sum(lot.amount for lot in self._borrowed)
        if available < 1.0 - SUM_ERROR:
            return False
        missing = 1.0
        while missing > 0 and self._borrowed:
            lot = self._borrowed.pop(0)
            used = min(missing, lot.amount)
            missing -= used
            if lot.amount > used:
                self._borrowed.insert(0, lot._replace(amount=lot.amount - used))
        self._tokens -= missing
        return True

    def lend(self, request: LoanRequest, now_ms: float) -> tuple[float, float]:
        """Take up to the amount out for a peer; return it and what is left to lend."""
        self._fill(now_ms)
        self._release(request)
        lent = self._offer(request.amount, now_ms)
        if lent <= 0:
            return 0.0, max(0.0, self._tokens)
        self._tokens -= lent
        self._lent.append(Lot(lent, now_ms + LOAN_LIFE_MS, request.process))
        return lent, max(0.0, self._tokens)

    def _offer(self, amount: float, now_ms: float) -> float:
        """Return how many tokens to lend of `amount`.

        A part of a token is lent only to who asks for one: what it can't make up to a
        whole lapses there and is lost to the workspace.
        """
        if amount < 1.0 - SUM_ERROR:
            return min(amount, self._tokens)
        whole = math.floor(self._tokens + SUM_ERROR)
        reserved = min(self.expected_demand(now_ms), self._tokens / 2)
        # A request that waits at the borrower goes before those expected here.
        spare = max(min(whole, 1), math.floor(self._tokens - reserved))
        return min(math.ceil(amount - SUM_ERROR), spare)

    def _release(self, request: LoanRequest) -> None:
        """Give up the places of loans that the borrower has spent or never got.

        It asks again only when the answer before has come or is given up for good. A
        request that was overtaken by a later one would release what that one got.
        """
        if request.number <= self._heard.get(request.process, 0):
            return
        self._heard[request.process] = request.number
        kept = []
        held = request.held
        for lot in reversed(self._lent):
            if lot.party == request.process:
                lot = lot._replace(amount=min(lot.amount, held))
                held -= lot.amount
            if lot.amount > 0:
                kept.append(lot)
        self._lent = kept[::-1]

    def receive(self, amount: float, until_ms: float, lender: str) -> None:
        """Add borrowed tokens that may be spent until `until_ms`."""
        self._borrowed.append(Lot(amount, until_ms, lender))

    def held_of(self, lender: str, now_ms: float) -> float:
        """Return how many tokens of a lender could be spent now."""
        self._fill(now_ms)
        return sum(lot.amount for lot in self._borrowed if lot.party == lender)

    def available(self, now_ms: float) -> float:
        """Return how many tokens could be spent now."""
        self._fill(now_ms)
        return self._tokens + sum(lot.amount for lot in self._borrowed)


class Loan(NamedTuple):
    """What a peer lent, and what it could lend still."""

    amount: float
    spare: float


# Ask a peer (by name) for tokens of a workspace; None when it gave no answer.
AskPeer = Callable[[str, LoanRequest], Loan | None]


class Spare(NamedTuple):
    """What a lender had left at a time."""

    amount: float
    at_ms: float


class Account:
    """One workspace's bucket with its lock and what is known of the lenders."""

    def __init__(self, runtime: Runtime, spec: WorkspaceSpec):
        self.condition = runtime.make_condition()
        self.bucket = Bucket(runtime.clock.now_ms())
        self.spec = spec
        # The bursts that some member may still go by; none while that is unknown.
        self.bursts_in_use: set[float] = set()
        self.holders = 1
        self.lenders: list[str] = []
        # What each lender had left when it was last asked, and when that was.
        self.spare: dict[str, Spare] = {}
        self.waiting = 0
        self.borrowing = False
        self.rounds = 0
        self.requests = 0
        self.dry_until_ms = 0.0


class Shares:
    """All workspaces' accounts at this daemon."""

    def __init__(self, runtime: Runtime, name: str, ask_peer: AskPeer, policy: Any):
        self._runtime = runtime
        self._name = name
        self._policy = policy
        self._ask_peer = ask_peer
        self._process = f"{name}/{runtime.random.randbytes(PROCESS_BYTES).hex()}"
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
            account.bucket.empty(now_ms, self._begin_ms)
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
        account.bucket.set_holding(Holding(part * spec.rate, part * spec.burst), now_ms)
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
                if not account.bucket.fits_holding(now_ms):
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
            if account.bucket.take(now_ms):
                return Ok(None)
            if now_ms < account.dry_until_ms or not account.lenders:
                return self._refuse(account)
        return self._spend_borrowed(account)

    def _refuse(self, account: Account) -> Result[None, Refusal]:
        if not self.has_begun():
            # No part of its own and perhaps nobody known who could lend: "over the
            # rate" would be false, and callers would hold back for no reason.
            message = "The daemon has no share of the rates yet."
            return refuse(Code.NO_CONFIGURATION, message, DRY_MS)
        return _refuse_rate(account)

    def _spend_borrowed(self, account: Account) -> Result[None, Refusal]:
        end_ms = self._runtime.clock.now_ms() + BORROW_WAIT_MS
        with account.condition:
            account.waiting += 1
        try:
            while self._runtime.clock.now_ms() < end_ms:
                if self._join_round(account, end_ms):
                    self._borrow(account)
                with account.condition:
                    now_ms = self._runtime.clock.now_ms()
                    if account.bucket.take(now_ms):
                        return Ok(None)
                    if now_ms < account.dry_until_ms:
                        break
            return self._refuse(account)
        finally:
            with account.condition:
                account.waiting -= 1

    def _join_round(self, account: Account, end_ms: float) -> bool:
        """Return True when the caller is to borrow, else wait for a loan to come.

        One request borrows for all that wait; each for itself would send many
        times the calls and leave the lenders' tokens unused with the slowest.
        """
        with account.condition:
            if not account.borrowing:
                account.borrowing = True
                return True
            rounds = account.rounds
            self._runtime.wait_for(
                account.condition,
                lambda: account.rounds != rounds,
                end_ms - self._runtime.clock.now_ms(),
            )
        return False

    def _borrow(self, account: Account) -> None:
        """Ask lenders, the one with most to spare first, until all are served."""
        try:
            for lender in self._order_lenders(account):
                self._borrow_from(account, lender, self._count_wanted(account))
                if not self._still_wanted(account):
                    break
            self._borrow_parts(account)
        finally:
            with account.condition:
                account.borrowing = False
                account.rounds += 1
                now_ms = self._runtime.clock.now_ms()
                # Crumbs of a token don't count as found. Lenders that refill have
                # some at any time, and the next round would begin at once.
                if account.bucket.available(now_ms) < 1.0 - SUM_ERROR:
                    account.dry_until_ms = now_ms + DRY_MS
                account.condition.notify_all()

    def _order_lenders(self, account: Account) -> list[str]:
        with account.condition:
            lenders = list(account.lenders)
            spare = self._estimate_spare(account)
        self._runtime.random.shuffle(lenders)
        return sorted(lenders, key=lambda name: -spare[name])

    def _estimate_spare(self, account: Account) -> dict[str, float]:
        """Return what each lender should have by now.

        Each refills at the same rate. Were the last known amounts compared as they
        are, one that was empty when it was asked would be left aside until it is
        full, and what it gets after that is lost to the workspace.
        """
        now_ms = self._runtime.clock.now_ms()
        spec = account.spec
        holders = account.holders
        spare = {}
        for name in account.lenders:
            known = account.spare.get(name, Spare(0.0, 0.0))
            grown = known.amount + (now_ms - known.at_ms) * spec.rate / holders / 1000
            spare[name] = min(spec.burst / holders, grown)
        return spare

    def _still_wanted(self, account: Account) -> bool:
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            return account.bucket.available(now_ms) < account.waiting - SUM_ERROR

    def _count_wanted(self, account: Account) -> float:
        """Return how many whole tokens are missing, those expected soon included.

        What isn't spent lapses and is lost to the workspace, so that no more is asked
        of the next lender than the ones before left to be wished for.
        """
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            expected = account.bucket.expected_demand(now_ms)
            wanted = max(1, account.waiting, math.floor(expected))
            return max(1.0, wanted - account.bucket.available(now_ms))

    def _borrow_parts(self, account: Account) -> None:
        """Make up one token out of parts, if the lenders have enough of them.

        Each lender may hold nearly a token that it can't lend as a whole. All of them
        together would else refuse a request for which there is room.
        """
        missing = self._missing_part(account)
        spare = self._estimate_spare(account)
        if missing <= 0 or sum(spare.values()) < missing:
            return
        for lender in self._order_lenders(account):
            part = min(missing, spare.get(lender, 0.0))
            if part <= 0:
                return
            self._borrow_from(account, lender, part)
            missing = self._missing_part(account)

    def _missing_part(self, account: Account) -> float:
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            return max(0.0, 1.0 - account.bucket.available(now_ms))

    def _borrow_from(self, account: Account, lender: str, amount: float) -> None:
        asked_at_ms = self._runtime.clock.now_ms()
        with account.condition:
            account.requests += 1
            held = account.bucket.held_of(lender, asked_at_ms)
            request = LoanRequest(
                account.spec.name, amount, self._process, account.requests, held
            )
        loan = self._ask_peer(lender, request)
        with account.condition:
            if loan is None:
                account.spare[lender] = Spare(0.0, asked_at_ms)
                return
            account.spare[lender] = Spare(loan.spare, asked_at_ms)
            # The lender counts the loan for its whole life from a later moment, so
            # an answer that was held up is thrown away before the lender refills.
            until_ms = asked_at_ms + LOAN_LIFE_MS
            if loan.amount > 0:
                account.bucket.receive(loan.amount, until_ms, lender)
                account.rounds += 1
                account.condition.notify_all()

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
