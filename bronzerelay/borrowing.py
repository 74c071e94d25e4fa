"""Borrowing tokens from other daemons, in rounds shared by all waiting requests."""

import math
from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.buckets import LOAN_LIFE_MS, ROUNDING_ERROR, Bucket, LoanRequest
from bronzerelay.runtime import Runtime
from bronzerelay.types import WorkspaceSpec

# After a round that brought no whole token, refuse for this long without asking again.
# Otherwise each refused request of an overloaded workspace would ask the whole fleet.
BORROW_BACKOFF_MS = 40
BORROW_WAIT_MS = 250
PROCESS_BYTES = 8


class Loan(NamedTuple):
    """The tokens that a peer lent, and those that it could still lend."""

    amount: float
    spare: float


# Asks the named peer for tokens of a workspace; returns None if it gave no answer.
AskPeer = Callable[[str, LoanRequest], Loan | None]


class Spare(NamedTuple):
    """The tokens that a lender had left at a point in time."""

    amount: float
    at_ms: float


class Account:
    """One workspace's bucket and its lock, and the known state of its lenders."""

    def __init__(self, runtime: Runtime, spec: WorkspaceSpec):
        self.condition = runtime.make_condition()
        self.bucket = Bucket(runtime.clock.now_ms())
        self.spec = spec
        # The bursts that some member may still use; empty while they are unknown.
        self.bursts_in_use: set[float] = set()
        self.holders = 1
        self.lenders: list[str] = []
        # What each lender had left when it was last asked.
        self.spare: dict[str, Spare] = {}
        self.waiting = 0
        self.borrowing = False
        # Counts received loans and finished rounds, to wake the waiting requests.
        self.progress = 0
        self.last_request_number = 0
        self.backoff_until_ms = 0.0


class Borrower:
    """Borrows for all workspaces of this daemon."""

    def __init__(self, runtime: Runtime, name: str, ask_peer: AskPeer):
        self._runtime = runtime
        self._ask_peer = ask_peer
        # A restarted daemon is a new borrower, because the tokens that its previous
        # process held are lost.
        self._process = f"{name}/{runtime.random.randbytes(PROCESS_BYTES).hex()}"

    def spend(self, account: Account) -> bool:
        """Spend a borrowed token; return False if no lender has one."""
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
                    if now_ms < account.backoff_until_ms:
                        break
            return False
        finally:
            with account.condition:
                account.waiting -= 1

    def _join_round(self, account: Account, end_ms: float) -> bool:
        """Return True if this task must borrow, else wait for the next loan.

        One task borrows for all waiting requests. If each borrowed for itself, there
        would be many times more calls, and borrowed tokens would expire unused with
        the slowest ones.
        """
        with account.condition:
            if not account.borrowing:
                account.borrowing = True
                return True
            progress = account.progress
            self._runtime.wait_for(
                account.condition,
                lambda: account.progress != progress,
                end_ms - self._runtime.clock.now_ms(),
            )
        return False

    def _borrow(self, account: Account) -> None:
        """Borrow until all are served, from the lender with the most to spare first."""
        try:
            for lender in self._order_lenders(account):
                self._borrow_from(account, lender, self._count_needed(account))
                if not self._needs_more(account):
                    break
            self._borrow_fractions(account)
        finally:
            with account.condition:
                account.borrowing = False
                account.progress += 1
                now_ms = self._runtime.clock.now_ms()
                # Fractions of a token don't count. Lenders that refill have some at
                # any time, so the next round would start at once.
                if account.bucket.available(now_ms) < 1.0 - ROUNDING_ERROR:
                    account.backoff_until_ms = now_ms + BORROW_BACKOFF_MS
                account.condition.notify_all()

    def _order_lenders(self, account: Account) -> list[str]:
        with account.condition:
            lenders = list(account.lenders)
            spare = self._estimate_spare(account)
        self._runtime.random.shuffle(lenders)
        return sorted(lenders, key=lambda name: -spare[name])

    def _estimate_spare(self, account: Account) -> dict[str, float]:
        """Return how many tokens each lender should have by now.

        All lenders refill at the same rate. If their last known amounts were compared
        without that, a lender that was empty when asked wouldn't be asked again. Its
        bucket would fill up, and the tokens beyond its burst would be lost to the
        workspace.
        """
        now_ms = self._runtime.clock.now_ms()
        spec = account.spec
        holders = account.holders
        spare = {}
        for name in account.lenders:
            last = account.spare.get(name, Spare(0.0, 0.0))
            refilled = last.amount + (now_ms - last.at_ms) * spec.rate / holders / 1000
            spare[name] = min(spec.burst / holders, refilled)
        return spare

    def _needs_more(self, account: Account) -> bool:
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            return account.bucket.available(now_ms) < account.waiting - ROUNDING_ERROR

    def _count_needed(self, account: Account) -> float:
        """Return how many tokens to ask the next lender for.

        They are for the waiting requests and those expected soon, less the tokens that
        are already there: borrowed tokens that aren't spent expire and are lost to the
        workspace.
        """
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            expected = account.bucket.expected_demand(now_ms)
            needed = max(1, account.waiting, math.floor(expected))
            return max(1.0, needed - account.bucket.available(now_ms))

    def _borrow_fractions(self, account: Account) -> None:
        """Combine one token from fractions, if the lenders together have enough.

        Each lender may have almost a token, which it can't lend as a whole one.
        Otherwise the fleet would refuse a request for which it has tokens.
        """
        missing = self._missing_fraction(account)
        spare = self._estimate_spare(account)
        if missing <= 0 or sum(spare.values()) < missing:
            return
        for lender in self._order_lenders(account):
            fraction = min(missing, spare.get(lender, 0.0))
            if fraction <= 0:
                return
            self._borrow_from(account, lender, fraction)
            missing = self._missing_fraction(account)

    def _missing_fraction(self, account: Account) -> float:
        now_ms = self._runtime.clock.now_ms()
        with account.condition:
            return max(0.0, 1.0 - account.bucket.available(now_ms))

    def _borrow_from(self, account: Account, lender: str, amount: float) -> None:
        sent_at_ms = self._runtime.clock.now_ms()
        with account.condition:
            account.last_request_number += 1
            held = account.bucket.held_from(lender, sent_at_ms)
            request = LoanRequest(
                account.spec.name,
                amount,
                self._process,
                account.last_request_number,
                held,
            )
        loan = self._ask_peer(lender, request)
        with account.condition:
            if loan is None:
                account.spare[lender] = Spare(0.0, sent_at_ms)
                return
            account.spare[lender] = Spare(loan.spare, sent_at_ms)
            # The lender counts `LOAN_LIFE_MS` from a later moment, so that a delayed
            # answer expires here before the lender refills.
            until_ms = sent_at_ms + LOAN_LIFE_MS
            if loan.amount > 0:
                account.bucket.receive(loan.amount, until_ms, lender)
                account.progress += 1
                account.condition.notify_all()
