"""Decides whether a new transaction may open at an instance, and which one is ended.

The load: callers that rest inside transactions, each of which holds one of an
instance's few connections, while others need connections for single statements. Level 0
is the most urgent level.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# The fraction of an instance's connections that open transactions may hold. The others
# are for single statements.
TRANSACTION_FRACTION = 0.5
# The fraction of that room that only transactions of the most urgent level may use.
URGENT_FRACTION = 0.2
# A workspace may hold this many times as many as are free. Alone it gets two thirds of
# the room, and others that come later always find some.
FREE_FACTOR = 2
# When a refused caller may return while statements run, in milliseconds: most
# transactions end within a few statements.
RUNNING_RETRY_MS = 100


class OpenTransaction(NamedTuple):
    """A transaction that holds a connection of the instance.

    `resting_since_ms` is when its last statement ended, None while one runs.
    """

    id: str
    workspace: str
    level: int
    resting_since_ms: float | None


class Opening(NamedTuple):
    """Whether a transaction may open, and which one has to be ended before, if any.

    If it may not, its caller may return after `retry_after_ms`.
    """

    may_open: bool
    ended: OpenTransaction | None = None
    retry_after_ms: float = 0.0


def find_room(max_links: int, level: int) -> int:
    """Return how many transactions may be open at an instance for one of a level."""
    room = max(1, math.floor(max_links * TRANSACTION_FRACTION))
    if level == 0:
        return room
    return max(1, room - math.ceil(room * URGENT_FRACTION))


def decide_opening(
    max_links: int,
    open_transactions: Sequence[OpenTransaction],
    workspace: str,
    level: int,
    idle_limit_ms: float,
    now_ms: float,
) -> Opening:
    """Return whether a workspace may open a transaction at an instance.

    `max_links` is the number of the instance's connections. What a workspace may hold
    depends on what is free, so that there is room for those that hold fewer. Without
    room, the transaction is ended that has rested the longest beyond `idle_limit_ms`
    of those whose end makes room.
    """
    own = sum(each.workspace == workspace for each in open_transactions)
    free = find_room(max_links, level) - len(open_transactions)
    if _has_room(own, free):
        return Opening(True)
    for each in list_idle(open_transactions, idle_limit_ms, now_ms):
        if _has_room(own - (each.workspace == workspace), free + 1):
            return Opening(True, each)
    return Opening(
        False, None, find_return_ms(open_transactions, idle_limit_ms, now_ms)
    )


def _has_room(own: int, free: int) -> bool:
    return own < FREE_FACTOR * free


def list_idle(
    open_transactions: Iterable[OpenTransaction], idle_limit_ms: float, now_ms: float
) -> list[OpenTransaction]:
    """Return those that have rested beyond the limit, the longest resting first."""
    idle = [
        (each.resting_since_ms, each)
        for each in open_transactions
        if each.resting_since_ms is not None
        and now_ms - each.resting_since_ms > idle_limit_ms
    ]
    return [each for _, each in sorted(idle, key=lambda item: item[0])]


def find_return_ms(
    open_transactions: Iterable[OpenTransaction], idle_limit_ms: float, now_ms: float
) -> float:
    """Return when a refused caller may return, in milliseconds.

    By then the first one has rested beyond the limit; while others run, it is
    RUNNING_RETRY_MS at the latest.
    """
    rests = [each.resting_since_ms for each in open_transactions]
    lefts_ms = [since + idle_limit_ms - now_ms for since in rests if since is not None]
    waits_ms = [left_ms for left_ms in lefts_ms if left_ms > 0]
    if None in rests or not waits_ms:
        waits_ms.append(RUNNING_RETRY_MS)
    return min(waits_ms)
