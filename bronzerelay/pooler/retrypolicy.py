"""When a statement that no instance has run is sent again, and after which pause."""

from bronzerelay.pooler.messages import Fault

# How often one statement is attempted, as long as no instance has run it.
MAX_ATTEMPTS = 6
# The shortest and the longest pause after an instance had no free slot, in
# milliseconds.
BUSY_PAUSE_MS = 12
MAX_BUSY_PAUSE_MS = 50
# The pause after an instance had no free connection, in milliseconds. Connections of a
# killed daemon are freed after seconds, idle ones of other daemons after a statement or
# two.
NO_CONNECTION_PAUSE_MS = 40


def find_pause_ms(fault: Fault) -> float:
    """Return the pause before another attempt on another link, in milliseconds."""
    if fault is Fault.TOO_MANY_LINKS:
        return NO_CONNECTION_PAUSE_MS
    return BUSY_PAUSE_MS if fault in (Fault.BUSY, Fault.READ_ONLY) else 0


def find_busy_pause_ms(refused: int, left_ms: float) -> float | None:
    """Return the pause before a busy primary is asked again on the same link.

    `refused` is how often it has refused the statement, `left_ms` the time until the
    statement's deadline. None means that no time is left for another attempt.

    Opening the link has taken a slot of the primary. Giving it up earlier would waste
    that slot, and the caller would come back and have another link opened. A primary
    that many daemons use then spends its slots on links for statements that it never
    runs, and stays overloaded when the load that began it has ended.
    """
    pause_ms = min(BUSY_PAUSE_MS * 2 ** (refused - 1), MAX_BUSY_PAUSE_MS)
    return pause_ms if pause_ms < left_ms else None
