"""Polls the platform's store to bound how far the fleet's mirrors may lag behind it.

A waiting watch can't be told from a lost one until it times out. So one of the daemons
polls the store's revision now and then. If its mirror has reached that revision, the
mirror is current, and heartbeats tell the other daemons; if not, the watch is
restarted. The daemons take turns by rank: each polls only when those before it should
have reported a poll and haven't.
"""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.mirror import BEHIND_MS, Mirror, Store, StoreError
from bronzerelay.runtime import Runtime

# The first daemon in rank polls once the mirror's age has reached this part of the time
# within which a new configuration has to be in force.
POLL_PART = 0.25
# How much longer each further daemon in rank waits, in milliseconds.
STEP_MS = 50
# The timeout of one poll, in milliseconds.
POLL_TIMEOUT_MS = 1_000
# The pause after a poll that failed or found updates, in milliseconds. After a failure
# it grows with the rank, so that an outage costs a large fleet few calls.
RETRY_MS = 500
# The shortest interval between checks of the mirror's age, in milliseconds.
MIN_CHECK_MS = 50
# The interval of checks until the mirror has been loaded, in milliseconds.
LOADING_CHECK_MS = 250


class Turn(NamedTuple):
    """A daemon's rank among those that poll, and how late it learns of their polls."""

    place: int
    lag_ms: float


class StorePoller:
    """Polls the store's revision when the mirror hasn't been confirmed lately."""

    def __init__(
        self,
        runtime: Runtime,
        store: Store,
        mirror: Mirror,
        apply_within_ms: float,
        find_turn: Callable[[], Turn],
        proof_due_ms: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store
        self._mirror = mirror
        self._apply_within_ms = apply_within_ms
        self._find_turn = find_turn
        # In how long this daemon needs a primary proof from the store.
        self._proof_due_ms = proof_due_ms
        self._counters = counters
        self._log = log
        self._next_ms = runtime.clock.now_ms()
        self._failures = 0

    def run(self) -> None:
        """Poll the store when it is due, until the runtime stops."""
        while self._runtime.sleep_ms(self.poll_if_due()):
            pass

    def poll_if_due(self) -> float:
        """Poll the store if it is this daemon's turn; return the time to wait."""
        if not self._mirror.loaded:
            return LOADING_CHECK_MS
        pause_ms = self._next_ms - self._clock.now_ms()
        if pause_ms > 0:
            return pause_ms
        turn = self._find_turn()
        if self._time_to_poll_ms(turn) <= 0:
            self._poll(turn)
        return max(MIN_CHECK_MS, self._time_to_poll_ms(turn))

    def _time_to_poll_ms(self, turn: Turn) -> float:
        """Return the time until a poll is due if no other daemon's is heard of."""
        turn_due_ms = self.poll_age_ms(turn) - self._mirror.store_age_ms()
        return min(turn_due_ms, self._proof_due_ms())

    def poll_age_ms(self, turn: Turn) -> float:
        """Return the age of the mirror from which on this daemon polls."""
        first_ms = self._apply_within_ms * POLL_PART
        return first_ms + turn.lag_ms + turn.place * STEP_MS

    def _poll(self, turn: Turn) -> None:
        sent_at_ms = self._clock.now_ms()
        try:
            revision = self._store.read_revision(POLL_TIMEOUT_MS)
        except StoreError as error:
            self._note_failure(error, sent_at_ms, turn)
            return
        self._note_answer()
        if self._mirror.confirm_current(revision, sent_at_ms):
            self._counters.count("store_polls", outcome="known")
            return
        self._counters.count("store_polls", outcome="behind")
        self._wait_for_update(revision, self._clock.now_ms() - sent_at_ms)
        self._mirror.confirm_current(revision, sent_at_ms)

    def _wait_for_update(self, revision: int, took_ms: float) -> None:
        """Give the mirror time to reach a revision, and load it if it doesn't.

        An update may take as long as the poll did, and the watch may not have been sent
        yet.
        """
        end_ms = self._clock.now_ms() + BEHIND_MS + took_ms
        while self._mirror.revision < revision and self._clock.now_ms() < end_ms:
            if not self._runtime.sleep_ms(MIN_CHECK_MS):
                return
        if self._mirror.revision >= revision:
            return
        self._log.write(
            "store",
            "The watch misses updates that the store has.",
            at=revision,
            before=self._mirror.revision,
            age_ms=round(self._mirror.store_age_ms()),
        )
        self._mirror.load_again()
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
                "A poll of the store failed.",
                error=str(error),
                waited_ms=round(self._clock.now_ms() - sent_at_ms),
                age_ms=round(self._mirror.store_age_ms()),
                place=turn.place,
            )
        # What others learn from the store helps nobody who lacks a proof.
        is_for_proof = self._proof_due_ms() <= 0
        self._pause(1 if is_for_proof else 1 + turn.place)

    def _pause(self, times: int) -> None:
        jitter = self._runtime.random.uniform(0.7, 1.3)
        self._next_ms = self._clock.now_ms() + times * RETRY_MS * jitter
