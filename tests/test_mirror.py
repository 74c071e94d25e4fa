"""The mirror of the platform's store, and how it follows the store or a relay."""

import zlib

import msgspec
import pytest

from bronzerelay.pooler.mirror import (
    START_MS,
    START_PAUSE_MS,
    HistoryLostError,
    Item,
    Mirror,
    PeerMirror,
    StoreError,
    StoreItems,
)
from tests.builders_pooler import ManualClock, make_log, make_runtime, pack_mirror


class ScriptedStore:
    """Answers each load and watch with the next step of a script, then stops."""

    def __init__(self, runtime, steps):
        self._runtime = runtime
        self._steps = list(steps)
        self.waits = []

    def _next(self):
        if not self._steps:
            self._runtime._stopping.set()
            raise StoreError("the script has ended")
        step = self._steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def load(self, prefix, timeout_ms):
        return self._next()

    def watch(self, prefix, after, wait_ms):
        self.waits.append((after, wait_ms))
        return self._next()

    def read_revision(self, timeout_ms):
        return self.waits[-1][0]

    def interrupt(self):
        pass


def run_script(*steps):
    runtime = make_runtime()
    store = ScriptedStore(runtime, steps)
    handled = []
    mirror = Mirror(runtime, store, handled.append, make_log(runtime))
    mirror.run()
    return mirror, store, handled


A1, A2 = Item("a", b"1", 1), Item("a", b"2", 2)
B1 = Item("b", b"1", 1)


class TestFollowing:
    def test_load_then_watch(self):
        mirror, store, handled = run_script(StoreItems([A1], 1), StoreItems([A2], 2))
        assert mirror.get("a") == A2
        assert handled == [A1, A2]
        assert [after for after, _ in store.waits] == [1, 2]

    def test_removed_key(self):
        removed = Item("a", None, 2)
        mirror, _, handled = run_script(StoreItems([A1], 1), StoreItems([removed], 2))
        assert mirror.get("a") is None
        assert handled[-1] == removed

    def test_lost_history_is_reloaded_and_missing_keys_count_as_removed(self):
        # The store drops its history, in which a key was removed. The removal is never
        # sent, and an instance that is gone would be used for good.
        mirror, _, handled = run_script(
            StoreItems([A1, B1], 1), HistoryLostError("gone"), StoreItems([A2], 5)
        )
        assert mirror.get("b") is None
        assert handled[-1].key == "b" and handled[-1].data is None

    def test_failed_load_is_retried(self):
        mirror, _, _ = run_script(StoreError("down"), StoreItems([A1], 1))
        assert mirror.get("a") == A1

    def test_older_item_is_ignored(self):
        # A delayed answer brings an earlier revision of a key.
        mirror, _, handled = run_script(StoreItems([A2], 2), StoreItems([A1], 3))
        assert mirror.get("a") == A2
        assert handled == [A2]

    def test_watches_wait_after_a_load_for_what_other_starting_daemons_write(self):
        # Guards against a call of each daemon for each of the others that joins, when
        # hundreds of them start at once.
        clock = ManualClock()
        runtime = make_runtime(clock)
        updates = [StoreItems([Item("a", b"1", n)], n) for n in range(2, 40)]
        store = ScriptedStore(runtime, [StoreItems([A1], 1), *updates])
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        runtime.wait_for = lambda condition, test, wait_ms: clock.sleep_ms(wait_ms)
        started_ms = clock.now_ms()
        times = []
        mirror.on_change = lambda: times.append(clock.now_ms() - started_ms)
        mirror.run()
        early = [time_ms for time_ms in times if time_ms < START_MS]
        assert len(early) == START_MS / START_PAUSE_MS
        assert len(times) == 39

    def test_age_counts_from_when_the_answered_call_was_sent(self):
        clock = ManualClock()
        runtime = make_runtime(clock)
        mirror = Mirror(runtime, None, lambda item: None, make_log(runtime))
        sent_at_ms = clock.now_ms()
        clock.sleep_ms(700)
        mirror._note_answer(sent_at_ms)
        clock.sleep_ms(300)
        assert mirror.store_age_ms() == 1000


class TestMissedUpdates:
    def test_an_empty_watch_is_no_proof(self):
        """Guards against a proof for a primary whose replacement the watch misses."""
        runtime = make_runtime(ManualClock())
        empty = StoreItems([], 1)
        store = ScriptedStore(runtime, [StoreItems([A1], 1), empty, empty])
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        proofs = []
        mirror.on_proof = proofs.append
        mirror.run()
        assert len(store.waits) == 3
        assert len(proofs) == 1

    def test_updates_that_a_watch_misses_come_with_a_load(self):
        """Guards against another watch that misses the same updates."""
        runtime = make_runtime(ManualClock())
        update = Item("lead", b"next", 9)
        steps = [StoreItems([A1], 1), StoreItems([], 1), StoreItems([A1, update], 9)]
        store = ScriptedStore(runtime, steps)
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        proofs = []
        mirror.on_proof = lambda as_of_ms: proofs.append(mirror.get("lead"))
        watch = store.watch

        def watch_and_find_missing(prefix, after, wait_ms):
            if not store.waits:
                mirror.load_again()
            return watch(prefix, after, wait_ms)

        store.watch = watch_and_find_missing
        mirror.run()
        assert proofs == [None, update]


class TestPeers:
    def make(self):
        mirror, _, handled = run_script(StoreItems([A1], 4))
        return mirror, handled

    def test_mirror_of_a_peer_that_is_ahead_is_applied(self):
        mirror, _ = self.make()
        ahead, _, _ = run_script(StoreItems([A2, B1], 9))
        mirror.unpack(ahead.pack(), "peer")
        assert (mirror.get("a"), mirror.get("b"), mirror.revision) == (A2, B1, 9)

    def test_mirror_of_a_peer_that_is_behind_is_ignored(self):
        mirror, _ = self.make()
        mirror.unpack(pack_mirror(PeerMirror(3, [("z", b"1", 2)])), "peer")
        assert mirror.get("z") is None

    def test_malformed_mirror_is_rejected(self):
        with pytest.raises(ValueError, match="can't be read"):
            self.make()[0].unpack(b"\xc1", "peer")

    def test_peer_gets_the_updates_after_its_revision(self):
        removed = Item("b", None, 8)
        ahead, _, _ = run_script(StoreItems([A1, B1], 4), StoreItems([A2, removed], 9))
        encoded = zlib.decompress(ahead.pack(4))
        packed = msgspec.msgpack.decode(encoded, type=PeerMirror)
        assert packed == PeerMirror(9, [("b", None, 8)], 4)
        mirror, _, _ = run_script(StoreItems([A1, B1], 4))
        mirror.unpack(ahead.pack(4), "peer")
        assert (mirror.get("b"), mirror.revision) == (None, 9)

    def test_peer_that_is_too_far_behind_gets_all_items(self):
        # A relay reloads the store and doesn't know when the missing keys were removed.
        # If it sent only updates, a peer would keep an instance that is gone.
        ahead, _, _ = run_script(
            StoreItems([A1, B1], 4), HistoryLostError("gone"), StoreItems([A2], 9)
        )
        mirror, _, _ = run_script(StoreItems([A1, B1], 4))
        mirror.unpack(ahead.pack(4), "peer")
        assert (mirror.get("b"), mirror.revision) == (None, 9)

    def test_updates_that_begin_after_this_mirrors_revision_are_ignored(self):
        # An answer is late, or a peer sends a wrong one. The updates in between would
        # be missing for good.
        mirror, _ = self.make()
        mirror.unpack(pack_mirror(PeerMirror(9, [("z", b"1", 8)], 6)), "peer")
        assert (mirror.get("z"), mirror.revision) == (None, 4)


class TestRelays:
    def make(self, *steps):
        runtime = make_runtime()
        store = ScriptedStore(runtime, [StoreItems([A1], 1), *steps])
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        mirror.follows_relay = lambda: True
        return runtime, store, mirror

    def test_updates_are_fetched_from_a_relay_and_not_from_the_store(self):
        runtime, store, mirror = self.make()
        relay, _, _ = run_script(StoreItems([A2], 9))
        fetched = []

        def fetch(address):
            fetched.append(address)
            mirror.unpack(relay.pack(mirror.revision), "relay")
            runtime._stopping.set()
            return True

        mirror.fetch = fetch
        mirror.update_relay_revision(9, "relay")
        mirror.run()
        assert (fetched, store.waits) == (["relay"], [])
        assert (mirror.get("a"), mirror.revision) == (A2, 9)

    def test_daemon_whose_relay_sends_no_mirror_watches_the_store(self):
        # The heartbeats of a relay arrive, but its link is too slow for a mirror. A key
        # that was withdrawn would still be accepted behind it.
        _, store, mirror = self.make(StoreItems([A2], 9))
        mirror.fetch = lambda address: False
        mirror.update_relay_revision(9, "relay")
        mirror.run()
        assert store.waits[0][0] == 1
        assert mirror.get("a") == A2
