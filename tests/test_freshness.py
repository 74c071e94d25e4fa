"""The polls that bound how far a mirror may lag behind the store."""

import math

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
from bronzerelay.pooler.primaryguard import (
    LEASE_MS,
    STORE_PROOF_INTERVAL_MS,
    PrimaryGuard,
)
from tests.builders_pooler import ManualClock, make_log, make_runtime, pack_mirror

APPLY_WITHIN_MS = 3_000
FIRST_MS = APPLY_WITHIN_MS * POLL_PART
FIRST = Turn(0, 0.0)


class PolledStore:
    """Answers polls with its revision, or not at all."""

    def __init__(self):
        self.revision = 7
        self.answers = True
        self.polls = 0
        self.interrupts = 0

    def read_revision(self, timeout_ms):
        self.polls += 1
        if not self.answers:
            raise StoreError("silent")
        return self.revision

    def interrupt(self):
        self.interrupts += 1


class PollerHarness:
    """A poller on a set clock, with a mirror that is current."""

    def __init__(self, turn=FIRST):
        self.clock = ManualClock()
        runtime = make_runtime(self.clock)
        runtime.sleep_ms = self.sleep_ms
        self.turn = turn
        self.store = PolledStore()
        self.on_sleep = lambda: None
        self.proof_due_ms = lambda: math.inf
        self.mirror = Mirror(runtime, self.store, lambda item: None, make_log(runtime))
        self.mirror._replace([Item("a", b"1", 1)], self.store.revision)
        self.mirror.confirm_current(self.store.revision, self.clock.now_ms())
        self.poller = StorePoller(
            runtime,
            self.store,
            self.mirror,
            APPLY_WITHIN_MS,
            lambda: self.turn,
            lambda: self.proof_due_ms(),
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
    def test_each_daemon_polls_when_those_before_it_havent(self, turn):
        harness = PollerHarness(turn)
        limit_ms = FIRST_MS + turn.lag_ms + turn.place * STEP_MS
        harness.run(limit_ms - 10)
        assert harness.store.polls == 0
        harness.run(20)
        assert harness.store.polls == 1

    def test_daemon_that_hears_of_other_polls_doesnt_poll(self):
        harness = PollerHarness(Turn(1, 700.0))
        harness.on_sleep = lambda: harness.mirror.confirm_current(
            7, harness.clock.now_ms() - FIRST_MS
        )
        harness.run(20_000)
        assert harness.store.polls == 0

    def test_answer_counts_until_the_next_turn(self):
        harness = PollerHarness()
        harness.run(10 * FIRST_MS + 100)
        assert harness.store.polls == 10
        assert harness.mirror.store_age_ms() <= FIRST_MS

    @pytest.mark.parametrize("turn", [FIRST, Turn(3, 700.0)])
    def test_few_checks_are_needed(self, turn):
        # Guards against a loop whose wake-ups use most of the processor budget of
        # control traffic.
        harness = PollerHarness(turn)
        harness.checks = 0
        end_ms = harness.clock.now_ms() + 30_000

        def check():
            harness.checks += 1
            if turn.place:
                harness.mirror.confirm_current(7, harness.clock.now_ms() - FIRST_MS)

        harness.on_sleep = check
        while harness.clock.now_ms() < end_ms:
            harness.sleep_ms(harness.poller.poll_if_due())
        assert harness.checks <= 30_000 / FIRST_MS + 1


class TestUpdates:
    def test_store_is_loaded_again_when_the_watch_misses_updates(self):
        # Guards against waiting until a lost watch times out.
        harness = PollerHarness()
        harness.store.revision = 9
        harness.run(FIRST_MS + BEHIND_MS + 100)
        assert harness.store.interrupts == 1
        assert harness.mirror._must_load
        assert harness.mirror.store_age_ms() > FIRST_MS

    def test_watch_that_brings_updates_isnt_interrupted(self):
        harness = PollerHarness()
        harness.store.revision = 9

        def deliver():
            if harness.store.polls:
                harness.mirror._replace([Item("a", b"2", 9)], 9)

        harness.on_sleep = deliver
        harness.run(FIRST_MS + BEHIND_MS + 100)
        assert harness.store.interrupts == 0

    def test_daemon_behind_a_relay_that_lags_watches_the_store(self):
        # Guards against following a relay that is behind the store.
        harness = PollerHarness()
        harness.mirror.follows_relay = lambda: True
        assert harness.mirror._should_follow()
        harness.store.revision = 9
        harness.run(FIRST_MS + BEHIND_MS + 100)
        assert not harness.mirror._should_follow()


class TestProofs:
    def make(self):
        """Return a daemon that hears no other, with a low rank in polling."""
        harness = PollerHarness(Turn(100, 1000.0))
        guard = PrimaryGuard(harness.mirror._runtime, None)
        guard.add_store_proof(harness.clock.now_ms())
        harness.mirror.on_proof = guard.add_store_proof
        harness.proof_due_ms = guard.store_proof_due_ms
        return harness, guard

    def test_daemon_that_hears_too_few_others_keeps_a_proof(self):
        # Guards against waiting for the poll of a daemon that isn't heard.
        harness, guard = self.make()
        ages = []
        harness.on_sleep = lambda: ages.append(guard.proof_age_ms())
        harness.run(20_000)
        assert max(ages) <= LEASE_MS
        assert harness.store.polls <= 20_000 / STORE_PROOF_INTERVAL_MS + 1

    def test_poll_is_no_proof_while_the_mirror_lacks_updates(self):
        # Guards against a proof for a primary whose replacement the watch misses.
        harness, guard = self.make()
        harness.store.revision = 9
        harness.run(3000)
        assert not guard.has_proof()
        harness.mirror._replace([Item("a", b"2", 9)], 9)
        harness.run(2 * RETRY_MS)
        assert guard.has_proof()

    def test_polls_for_proofs_go_on_in_an_outage(self):
        # Guards against a daemon alone with the store that gets its next proof only
        # after the pause of its low rank.
        harness, guard = self.make()
        harness.store.answers = False
        harness.run(8000)
        harness.store.answers = True
        harness.run(2 * RETRY_MS)
        assert guard.has_proof()


class TestOutage:
    def test_failed_polls_are_rarer_at_lower_ranks(self):
        def count_polls(place):
            harness = PollerHarness(Turn(place, 0.0))
            harness.store.answers = False
            harness.run(20_000)
            return harness.store.polls

        first, tenth = count_polls(0), count_polls(9)
        assert first <= 20_000 / RETRY_MS * 1.5
        assert tenth <= first / 5

    def test_first_answer_after_an_outage_counts(self):
        harness = PollerHarness()
        harness.store.answers = False
        harness.run(8_000)
        assert harness.mirror.store_age_ms() > 7_000
        harness.store.answers = True
        harness.run(1.5 * RETRY_MS)
        assert harness.mirror.store_age_ms() < FIRST_MS


class TestAge:
    def test_mirror_of_a_peer_doesnt_count_as_current(self):
        # Guards against a restarted daemon that treats the mirror of a partitioned peer
        # as current.
        runtime = make_runtime(ManualClock())
        mirror = Mirror(runtime, None, lambda item: None, make_log(runtime))
        mirror.unpack(pack_mirror(PeerMirror(7, [("a", b"1", 1)])), "peer")
        assert mirror.loaded
        assert mirror.store_age_ms() > 60_000

    def test_confirmation_of_a_newer_revision_doesnt_count(self):
        harness = PollerHarness()
        harness.clock.sleep_ms(500)
        assert not harness.mirror.confirm_current(8, harness.clock.now_ms())
        assert harness.mirror.store_age_ms() == 500
