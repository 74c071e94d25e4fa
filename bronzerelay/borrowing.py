"""Borrowing tokens from other daemons, one round for all requests that wait."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.buckets import LOAN_LIFE_MS, SUM_ERROR, Bucket, LoanRequest
from bronzerelay.runtime import Runtime
from bronzerelay.types import WorkspaceSpec

# After a round that found no token, refuse for a while without asking again. An
# overloaded workspace would otherwise send every refusal around the whole fleet.
DRY_MS = 40
BORROW_WAIT_MS = 250
PROCESS_BYTES = 8


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


class Borrower:
    """Borrows for all workspaces of this daemon."""

    def __init__(self, runtime: Runtime, name: str, ask_peer: AskPeer):
        self._runtime = runtime
        self._ask_peer = ask_peer
        # A restarted daemon is another borrower: what the process before it held says
        # nothing about the new one.
        self._process = f"{name}/{runtime.random.randbytes(PROCESS_BYTES).hex()}"

    def spend(self, account: Account) -> bool:
        """Spend a borrowed token; return False when there is none to be had."""
        end_ms = self._runtime.clock.now_ms() + BORROW_WAIT_MS
        with account.condition:
            account.waiting += 1
        try:
            while self._runtime.clock.now_ms() < end_ms:
                if self._join_round(account, end_ms):
                    self._borrow(account)
                with account.condition:
                    now_ms = self._runtime.clock.now_ms()
                    if account.bucket.try_spend(now_ms):
                        return True
                    if now_ms < account.dry_until_ms:
                        break
            return False
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
