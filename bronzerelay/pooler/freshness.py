"""Bounds how old the fleet's knowledge of the platform's store may become.

A watch that waits and one that was lost look alike until it times out. So some daemon
asks the store for its revision now and then. If the mirror has reached it, all earlier
changes are known, which heartbeats tell the others; if not, the watch is sent anew.
The daemons ask in an order, each only once those before it should have told it.
"""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.mirror import BEHIND_MS, Mirror, Store, StoreError
from bronzerelay.runtime import Runtime

# The part of the time within which a change has to be in force, after which the first
# daemon in the order asks.
POLL_PART = 0.25
# How much longer each further daemon in the order waits, in milliseconds.
STEP_MS = 50
# The time that one poll may take, in milliseconds.
POLL_TIMEOUT_MS = 1_000
# The pause after a poll without an answer or with news, in milliseconds. Further down
# the order it is longer in proportion, so that an outage costs a large fleet few calls.
RETRY_MS = 500
# The least time between two looks at the age, in milliseconds.
LOOK_MS = 50
# Time between two looks whether the mirror has been loaded, in milliseconds.
LOADING_MS = 250


class Turn(NamedTuple):
    """A daemon's place in the order, and how late it learns what others know."""

    place: int
    lag_ms: float


class StorePoller:
    """Asks the store for its revision when nothing newer is known here."""

    def __init__(
        self,
        runtime: Runtime,
        store: Store,
        mirror: Mirror,
        apply_within_ms: float,
        find_turn: Callable[[], Turn],
        counters: Counters,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store
        self._mirror = mirror
        self._apply_within_ms = apply_within_ms
        self._find_turn = find_turn
        self._counters = counters
        self._log = log
        self._next_ms = runtime.clock.now_ms()
        self._failures = 0

    def run(self) -> None:
        """Poll the store when it is due, until the runtime stops."""
        while self._runtime.sleep_ms(self.poll_if_due()):
            pass

    def poll_if_due(self) -> float:
        """Poll the store if it is this daemon's turn; return when to look again."""
        if not self._mirror.loaded:
            return LOADING_MS
        pause_ms = self._next_ms - self._clock.now_ms()
        if pause_ms > 0:
            return pause_ms
        turn = self._find_turn()
        if self._find_left_ms(turn) <= 0:
            self._poll(turn)
        return max(LOOK_MS, self._find_left_ms(turn))

    def _find_left_ms(self, turn: Turn) -> float:
        """Return for how long nothing is due, whatever is heard until then."""
        return self.find_limit_ms(turn) - self._mirror.store_age_ms()

    def find_limit_ms(self, turn: Turn) -> float:
        """Return how old what is known may be before this daemon asks."""
        first_ms = self._apply_within_ms * POLL_PART
        return first_ms + turn.lag_ms + turn.place * STEP_MS

    def _poll(self, turn: Turn) -> None:
        sent_at_ms = self._clock.now_ms()
        try:
            at = self._store.read_revision(POLL_TIMEOUT_MS)
        except StoreError as error:
            self._note_failure(error, sent_at_ms, turn)
            return
        self._note_answer()
        if self._mirror.note_known(at, sent_at_ms):
            self._counters.count("store_polls", outcome="known")
            return
        self._counters.count("store_polls", outcome="behind")
        self._wait_for_watch(at, self._clock.now_ms() - sent_at_ms)

    def _wait_for_watch(self, at: int, took_ms: float) -> None:
        """Give the watch time to bring what the store has; send it anew if it fails.

        News take as long as the poll took, and the watch may not have been sent yet.
        """
        end_ms = self._clock.now_ms() + BEHIND_MS + took_ms
        while self._mirror.revision < at and self._clock.now_ms() < end_ms:
            if not self._runtime.sleep_ms(LOOK_MS):
                return
        if self._mirror.revision >= at:
            return
        self._log.write(
            "store",
            "The watch doesn't bring what the store has.",
            at=at,
            before=self._mirror.revision,
            age_ms=round(self._mirror.store_age_ms()),
        )
        self._mirror.renew()
        self._pause(1)

    def _note_answer(self) -> None:
        if self._failures:
            self._log.write(
                "store",
                "The store answers polls again.",
                failed=self._failures,
                age_ms=round(self._mirror.store_age_ms()),
            )
        self._failures = 0

    def _note_failure(self, error: StoreError, sent_at_ms: float, turn: Turn) -> None:
        self._counters.count("store_polls", outcome="lost")
        self._failures += 1
        if self._failures == 1:
            self._log.write(
                "store",
                "A poll of the store got no answer.",
                error=str(error),
                waited_ms=round(self._clock.now_ms() - sent_at_ms),
                age_ms=round(self._mirror.store_age_ms()),
                place=turn.place,
            )
        self._pause(1 + turn.place)

    def _pause(self, times: int) -> None:
        jitter = self._runtime.random.uniform(0.7, 1.3)
        self._next_ms = self._clock.now_ms() + times * RETRY_MS * jitter
