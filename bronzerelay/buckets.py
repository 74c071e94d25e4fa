"""A token bucket of one workspace at one daemon, with loans to and from peers."""

import math
from typing import NamedTuple

# How long a loan may be spent. Until then the lender can't refill the lent tokens,
# unless the borrower asks again and so reports what it has spent. So the time must be
# well below burst / rate, which is a second at today's sizes, and longer than the call
# that brings the loan.
LOAN_LIFE_MS = 200
# How far ahead a lender reserves tokens for its own demand, and a borrower borrows.
DEMAND_WINDOW_MS = 100
# How long a request counts in the estimated demand, with a weight that falls to zero.
DEMAND_AVERAGING_MS = 500
# Fractions of a token from several lenders may add up to a little less than a whole
# one. Such a sum counts as a whole token, and the bucket may fall below zero by it.
ROUNDING_ERROR = 1e-9


class Share(NamedTuple):
    """A daemon's share of a workspace's rate: tokens per second, and tokens at most."""

    rate: float
    burst: float


class LoanedTokens(NamedTuple):
    """Tokens on loan until `until_ms`; `party` is the other side of the loan.

    At the lender that is the borrowing process, at the borrower it is the lender.
    """

    amount: float
    until_ms: float
    party: str


class LoanRequest(NamedTuple):
    """The tokens that a borrower asks for, and those of this lender that it still has.

    `process` is a name that is new at each start of the borrowing daemon; `number`
    increases with each request of that process.
    """

    workspace: str
    amount: float
    process: str
    number: int
    held: float


class Bucket:
    """One workspace's tokens at one daemon; the account's lock must be held."""

    def __init__(self, now_ms: float):
        self.share = Share(0.0, 0.0)
        self._tokens = 0.0
        self._filled_at_ms = now_ms
        self._lent: list[LoanedTokens] = []
        self._borrowed: list[LoanedTokens] = []
        # The highest request number received from each borrowing process.
        self._last_numbers: dict[str, int] = {}
        self._demand = 0.0
        self._demand_at_ms = now_ms

    def set_share(self, share: Share, now_ms: float) -> None:
        """Set a new share, and drop the tokens that exceed a smaller burst."""
        self._fill(now_ms)
        self.share = share
        room = max(0.0, share.burst - self._sum_lent())
        self._tokens = min(self._tokens, room)

    def start_empty(self, now_ms: float, from_ms: float) -> None:
        """Start without tokens, and fill up only from `from_ms` on."""
        self._tokens = 0.0
        self._filled_at_ms = max(now_ms, from_ms)

    def _fill(self, now_ms: float) -> None:
        self._lent = [loan for loan in self._lent if loan.until_ms > now_ms]
        self._borrowed = [loan for loan in self._borrowed if loan.until_ms > now_ms]
        elapsed_ms = now_ms - self._filled_at_ms
        if elapsed_ms <= 0:
            return
        room = self.share.burst - self._sum_lent()
        filled = self._tokens + elapsed_ms * self.share.rate / 1000
        self._tokens = max(0.0, min(room, filled))
        self._filled_at_ms = now_ms

    def _sum_lent(self) -> float:
        return sum(loan.amount for loan in self._lent)

    def loans_fit(self, now_ms: float) -> bool:
        """Return whether the loans that may still be spent are within the burst."""
        self._fill(now_ms)
        return self._sum_lent() <= self.share.burst

    def lent_until_ms(self) -> float:
        """Return when the last loan expires, which may be in the past."""
        return max((loan.until_ms for loan in self._lent), default=0.0)

    def note_demand(self, now_ms: float) -> None:
        """Count one request in the estimated demand, in requests per second."""
        elapsed_ms = now_ms - self._demand_at_ms
        weight = max(0.0, 1.0 - elapsed_ms / DEMAND_AVERAGING_MS)
        self._demand = self._demand * weight + 1000 / DEMAND_AVERAGING_MS
        self._demand_at_ms = now_ms

    def expected_demand(self, now_ms: float) -> float:
        """Return how many requests are expected within `DEMAND_WINDOW_MS`."""
        weight = max(0.0, 1.0 - (now_ms - self._demand_at_ms) / DEMAND_AVERAGING_MS)
        return self._demand * weight * DEMAND_WINDOW_MS / 1000

    def try_spend(self, now_ms: float) -> bool:
        """Spend one token, borrowed ones first; return False if there is none."""
        self._fill(now_ms)
        available = self._tokens + sum(loan.amount for loan in self._borrowed)
        if available < 1.0 - ROUNDING_ERROR:
            return False
        missing = 1.0
        while missing > 0 and self._borrowed:
            loan = self._borrowed.pop(0)
            used = min(missing, loan.amount)
            missing -= used
            if loan.amount > used:
                self._borrowed.insert(0, loan._replace(amount=loan.amount - used))
        self._tokens -= missing
        return True

    def lend(self, request: LoanRequest, now_ms: float) -> tuple[float, float]:
        """Lend a peer up to the requested amount.

        Return the lent amount and what is left to lend.
        """
        self._fill(now_ms)
        self._end_spent_loans(request)
        lent = self._limit_loan(request.amount, now_ms)
        if lent <= 0:
            return 0.0, max(0.0, self._tokens)
        self._tokens -= lent
        self._lent.append(LoanedTokens(lent, now_ms + LOAN_LIFE_MS, request.process))
        return lent, max(0.0, self._tokens)

    def _limit_loan(self, amount: float, now_ms: float) -> float:
        """Return how many of `amount` tokens to lend.

        A fraction of a token is lent only to a borrower that asks for a fraction.
        Another borrower may not be able to complete it to a whole token, and it would
        expire there unused.
        """
        if amount < 1.0 - ROUNDING_ERROR:
            return min(amount, self._tokens)
        whole = math.floor(self._tokens + ROUNDING_ERROR)
        reserved = min(self.expected_demand(now_ms), self._tokens / 2)
        # A request that waits at the borrower has priority over expected ones here.
        spare = max(min(whole, 1), math.floor(self._tokens - reserved))
        return min(math.ceil(amount - ROUNDING_ERROR), spare)

    def _end_spent_loans(self, request: LoanRequest) -> None:
        """End the loans whose tokens the borrower has spent or never received.

        The borrower asks again only after the previous answer has arrived or has been
        given up. A request that was overtaken by a later one must be ignored: it would
        end the loan made for the later one.
        """
        if request.number <= self._last_numbers.get(request.process, 0):
            return
        self._last_numbers[request.process] = request.number
        remaining = []
        held = request.held
        for loan in reversed(self._lent):
            if loan.party == request.process:
                loan = loan._replace(amount=min(loan.amount, held))
                held -= loan.amount
            if loan.amount > 0:
                remaining.append(loan)
        self._lent = remaining[::-1]

    def receive(self, amount: float, until_ms: float, lender: str) -> None:
        """Add borrowed tokens that may be spent until `until_ms`."""
        self._borrowed.append(LoanedTokens(amount, until_ms, lender))

    def held_from(self, lender: str, now_ms: float) -> float:
        """Return how many borrowed tokens of a lender can be spent now."""
        self._fill(now_ms)
        return sum(loan.amount for loan in self._borrowed if loan.party == lender)

    def available(self, now_ms: float) -> float:
        """Return how many tokens can be spent now."""
        self._fill(now_ms)
        return self._tokens + sum(loan.amount for loan in self._borrowed)
