"""When a daemon calls the store, so that a large fleet stays inside the store's link.

The load that it answers: hundreds of daemons start within a moment, each needs all that
the store holds, and the store's link carries only some of these answers in a second. If
each loads the store, all get it last; if each begins anew on a timeout, none does. So
the first daemons of each failure domain load the store, and the others take it from
them. The place of a daemon is its rank in its failure domain, which all compute alike.
"""

# The largest answer of the store, in bytes, that each daemon takes at its start without
# asking whose turn it is: hundreds of these are a fraction of a second of its link.
SMALL_STORE_BYTES = 64 * 1024
# Daemons of each failure domain that load the store at their start. They are the relays
# and those that ask the relays directly.
FIRST_LOADERS = 8
# How long a daemon behind them waits for a member before it loads the store itself, in
# milliseconds: a whole answer of the store, and a few copies on slow links.
MEMBER_PATIENCE_MS = 3_000
# How much longer each further daemon waits, in milliseconds.
STEP_MS = 20
# The longest time that a daemon which misses updates waits for others, in milliseconds.
MAX_RELOAD_DELAY_MS = 1_000.0
# Copies that a daemon of a failure domain hands on, and the daemons that nobody in the
# domain hands a copy to, its relays.
FANOUT = 3
ROOTS = 2
# What a relay sends to the daemons of its failure domain itself, in bytes for all of
# them. Beyond it they get it from each other, as its link is no wider than theirs.
DOMAIN_BYTES = 400_000
# Backoff after failed calls, in milliseconds: short at first, as most outages are.
RETRY_PAUSES_MS = (100, 200, 400, 700)
# How much longer each place makes the pause after a failed call, as a fraction of it,
# and of the time for which the call kept the store busy.
PLACE_PART = 0.1
# The longest pause, in milliseconds.
MAX_RETRY_MS = 3_000.0


def find_load_delay_ms(place: int, is_mesh: bool) -> float:
    """Return how long a daemon that starts waits for a member, in milliseconds."""
    if is_mesh or place < FIRST_LOADERS:
        return 0.0
    return MEMBER_PATIENCE_MS + find_turn_ms(place)


def find_turn_ms(place: int) -> float:
    """Return the time between the first daemon's load and that of `place`."""
    return max(0, place - FIRST_LOADERS) * STEP_MS


def find_reload_delay_ms(place: int) -> float:
    """Return how long a daemon that misses updates gives others to bring them."""
    return min(MAX_RELOAD_DELAY_MS, find_turn_ms(place))


def find_parent_place(place: int) -> int | None:
    """Return the place of the daemon that hands its copy to `place`, or None."""
    return None if place < ROOTS else (place - ROOTS) // FANOUT


def find_direct_bytes(domain_members: int) -> int:
    """Return the largest answer that a relay sends to each daemon of its domain."""
    return DOMAIN_BYTES // max(1, domain_members)


def find_retry_pause_ms(
    failures: int, place: int, waited_ms: float, random_part: float
) -> float:
    """Return the pause after a failed call of the store, in milliseconds.

    It grows with the failures in a row, with the place, as all daemons behind others
    ask at the same time, and with the time for which the failed call kept the store
    busy. `random_part`, from 0 to 1, spreads the calls.
    """
    step = min(failures, len(RETRY_PAUSES_MS)) - 1
    spread = 1 + place * PLACE_PART
    pause_ms = RETRY_PAUSES_MS[step] * spread + waited_ms * (spread - 1)
    return min(MAX_RETRY_MS, pause_ms) * (0.7 + 0.6 * random_part)
