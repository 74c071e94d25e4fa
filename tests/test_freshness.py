"""Polls that bound how old what is known of the store may become."""

import pytest

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.freshness import (
    POLL_PART,
    RETRY_MS,
    STEP_MS,
    StorePoller,
    Turn,
)
from bronzerelay.pooler.mirror import BEHIND_MS, Item, Mirror, PeerMirror, StoreError
from tests.builders_pooler import ManualClock, make_log, make_runtime, pack_mirror

APPLY_WITHIN_MS = 3_000
FIRST_MS = APPLY_WITHIN_MS * POLL_PART
FIRST = Turn(0, 0.0)


class PolledStore:
    """Answers polls with its revision, or not at all."""

    def __init__(self):
        self.at = 7
        self.answers = True
        self.polls = 0
        self.interrupts = 0

    def read_revision(self, timeout_ms):
        self.polls += 1
        if not self.answers:
            raise StoreError("silent")
        return self.at

    def interrupt(self):
        self.interrupts += 1


class Parts:
    """A poller on a set clock, with a mirror that knows all up to now."""

    def __init__(self, turn=FIRST):
        self.clock = ManualClock()
        runtime = make_runtime(self.clock)
        runtime.sleep_ms = self.sleep_ms
        self.turn = turn
        self.store = PolledStore()
        self.on_sleep = lambda: None
        self.mirror = Mirror(runtime, self.store, lambda item: None, make_log(runtime))
        self.mirror._replace([Item("a", b"1", 1)], self.store.at)
        self.mirror.note_known(self.store.at, self.clock.now_ms())
        self.poller = StorePoller(
            runtime,
            self.store,
            self.mirror,
            APPLY_WITHIN_MS,
            lambda: self.turn,
            Counters(runtime),
            make_log(runtime),
        )

    def sleep_ms(self, duration_ms):
        self.clock.sleep_ms(duration_ms)
        self.on_sleep()
        return True

    def run(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.sleep_ms(10)
            self.poller.poll_if_due()


class TestTurns:
    @pytest.mark.parametrize("turn", [FIRST, Turn(3, 700.0)])
    def test_each_asks_once_those_before_it_should_have_told(self, turn):
        parts = Parts(turn)
        limit_ms = FIRST_MS + turn.lag_ms + turn.place * STEP_MS
        parts.run(limit_ms - 10)
        assert parts.store.polls == 0
        parts.run(20)
        assert parts.store.polls == 1

    def test_who_hears_of_the_others_polls_doesnt_ask(self):
        parts = Parts(Turn(1, 700.0))
        parts.on_sleep = lambda: parts.mirror.note_known(
            7, parts.clock.now_ms() - FIRST_MS
        )
        parts.run(20_000)
        assert parts.store.polls == 0

    def test_answer_counts_until_the_next_turn(self):
        parts = Parts()
        parts.run(10 * FIRST_MS + 100)
        assert parts.store.polls == 10
        assert parts.mirror.store_age_ms() <= FIRST_MS

    @pytest.mark.parametrize("turn", [FIRST, Turn(3, 700.0)])
    def test_few_looks_are_needed(self, turn):
        # Guards against a loop whose wake-ups take most of what control may cost.
        parts = Parts(turn)
        parts.looks = 0
        end_ms = parts.clock.now_ms() + 30_000

        def look():
            parts.looks += 1
            if turn.place:
                parts.mirror.note_known(7, parts.clock.now_ms() - FIRST_MS)

        parts.on_sleep = look
        while parts.clock.now_ms() < end_ms:
            parts.sleep_ms(parts.poller.poll_if_due())
        assert parts.looks <= 30_000 / FIRST_MS + 1


class TestNews:
    def test_watch_that_misses_news_is_sent_anew(self):
        # Guards against a lost watch that is waited out.
        parts = Parts()
        parts.store.at = 9
        parts.run(FIRST_MS + BEHIND_MS + 100)
        assert parts.store.interrupts == 1
        assert parts.mirror.store_age_ms() > FIRST_MS

    def test_watch_that_brings_news_goes_on(self):
        parts = Parts()
        parts.store.at = 9

        def bring():
            if parts.store.polls:
                parts.mirror._replace([Item("a", b"2", 9)], 9)

        parts.on_sleep = bring
        parts.run(FIRST_MS + BEHIND_MS + 100)
        assert parts.store.interrupts == 0

    def test_daemon_behind_a_relay_goes_by_the_store_then(self):
        # Guards against following a relay that knows less than the store has.
        parts = Parts()
        parts.mirror.follows_relay = lambda: True
        assert parts.mirror._should_follow()
        parts.store.at = 9
        parts.run(FIRST_MS + BEHIND_MS + 100)
        assert not parts.mirror._should_follow()


class TestOutage:
    def test_failed_polls_are_rarer_further_down_the_order(self):
        def count_polls(place):
            parts = Parts(Turn(place, 0.0))
            parts.store.answers = False
            parts.run(20_000)
            return parts.store.polls

        first, tenth = count_polls(0), count_polls(9)
        assert first <= 20_000 / RETRY_MS * 1.5
        assert tenth <= first / 5

    def test_first_answer_after_it_counts(self):
        parts = Parts()
        parts.store.answers = False
        parts.run(8_000)
        assert parts.mirror.store_age_ms() > 7_000
        parts.store.answers = True
        parts.run(1.5 * RETRY_MS)
        assert parts.mirror.store_age_ms() < FIRST_MS


class TestAge:
    def test_mirror_of_a_peer_says_nothing_of_its_age(self):
        # Guards against a restarted daemon that takes a cut-off peer's mirror for new.
        runtime = make_runtime(ManualClock())
        mirror = Mirror(runtime, None, lambda item: None, make_log(runtime))
        mirror.unpack(pack_mirror(PeerMirror(7, [("a", b"1", 1)])), "peer")
        assert mirror.loaded
        assert mirror.store_age_ms() > 60_000

    def test_what_a_peer_that_is_ahead_knows_isnt_known_here(self):
        parts = Parts()
        parts.clock.sleep_ms(500)
        assert not parts.mirror.note_known(8, parts.clock.now_ms())
        assert parts.mirror.store_age_ms() == 500
