"""The tokens of one workspace at one daemon, lent and borrowed ones among them."""

import math
from typing import NamedTuple

# While a loan may be spent its lender can't refill its place, unless the borrower asks
# again: the life has to be well below burst / rate, a second at today's sizes. It must
# be longer than the call that brings the loan.
LOAN_LIFE_MS = 200
# How much of its own demand a lender keeps, and a borrower asks for in advance.
DEMAND_WINDOW_MS = 100
# How fast the estimate of the own demand follows a change.
DEMAND_MEMORY_MS = 500
# Fractions that were lent by several daemons add up to a little less than the whole.
# What is taken too much stays as a debt.
SUM_ERROR = 1e-9


class Share(NamedTuple):
    """A daemon's part of a workspace: tokens a second, and tokens at most."""

    rate: float
    burst: float


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
        self.share = Share(0.0, 0.0)
        self._tokens = 0.0
        self._filled_at_ms = now_ms
        self._lent: list[Lot] = []
        self._borrowed: list[Lot] = []
        # The highest number heard of each borrowing process.
        self._heard: dict[str, int] = {}
        self._demand = 0.0
        self._demand_at_ms = now_ms

    def set_share(self, share: Share, now_ms: float) -> None:
        """Take a new part; tokens above a smaller one are gone at once."""
        self._fill(now_ms)
        self.share = share
        room = max(0.0, share.burst - self._sum_lent())
        self._tokens = min(self._tokens, room)

    def start_empty(self, now_ms: float, from_ms: float) -> None:
        """Begin with no tokens, and fill up only from `from_ms` on."""
        self._tokens = 0.0
        self._filled_at_ms = max(now_ms, from_ms)

    def _fill(self, now_ms: float) -> None:
        self._lent = [lot for lot in self._lent if lot.until_ms > now_ms]
        self._borrowed = [lot for lot in self._borrowed if lot.until_ms > now_ms]
        elapsed_ms = now_ms - self._filled_at_ms
        if elapsed_ms <= 0:
            return
        room = self.share.burst - self._sum_lent()
        grown = self._tokens + elapsed_ms * self.share.rate / 1000
        self._tokens = max(0.0, min(room, grown))
        self._filled_at_ms = now_ms

    def _sum_lent(self) -> float:
        return sum(lot.amount for lot in self._lent)

    def fits_share(self, now_ms: float) -> bool:
        """Return whether the loans that may be spent still are within the burst."""
        self._fill(now_ms)
        return self._sum_lent() <= self.share.burst

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

    def try_spend(self, now_ms: float) -> bool:
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
