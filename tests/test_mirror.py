"""The mirror of the platform's store."""

import zlib

import msgspec
import pytest

from bronzerelay.pooler.mirror import (
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
    taken = []
    mirror = Mirror(runtime, store, taken.append, make_log(runtime))
    mirror.run()
    return mirror, store, taken


A1, A2 = Item("a", b"1", 1), Item("a", b"2", 2)
B1 = Item("b", b"1", 1)


class TestFollowing:
    def test_load_then_watch(self):
        mirror, store, taken = run_script(StoreItems([A1], 1), StoreItems([A2], 2))
        assert mirror.get("a") == A2
        assert taken == [A1, A2]
        assert [after for after, _ in store.waits] == [1, 2]

    def test_removed_key(self):
        gone = Item("a", None, 2)
        mirror, _, taken = run_script(StoreItems([A1], 1), StoreItems([gone], 2))
        assert mirror.get("a") is None
        assert taken[-1] == gone

    def test_lost_history_is_loaded_and_what_is_missing_counts_as_removed(self):
        # The store forgets its history while a key is removed. Nobody will ever send
        # that removal, and an instance that is gone would be used for good.
        mirror, _, taken = run_script(
            StoreItems([A1, B1], 1), HistoryLostError("gone"), StoreItems([A2], 5)
        )
        assert mirror.get("b") is None
        assert taken[-1].key == "b" and taken[-1].data is None

    def test_failure_is_tried_again(self):
        mirror, _, _ = run_script(StoreError("down"), StoreItems([A1], 1))
        assert mirror.get("a") == A1

    def test_old_item_changes_nothing(self):
        # An answer that was held up brings a key as it was before.
        mirror, _, taken = run_script(StoreItems([A2], 2), StoreItems([A1], 3))
        assert mirror.get("a") == A2
        assert taken == [A2]

    def test_watches_are_short_while_a_proof_is_wanted(self):
        runtime = make_runtime()
        store = ScriptedStore(runtime, [StoreItems([], 1), StoreItems([], 1)])
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        mirror.wants_proof = lambda: True
        mirror.run()
        assert store.waits[0][1] < 1000

    def test_age_counts_from_when_the_answered_call_was_sent(self):
        clock = ManualClock()
        runtime = make_runtime(clock)
        mirror = Mirror(runtime, None, lambda item: None, make_log(runtime))
        sent_at_ms = clock.now_ms()
        clock.sleep_ms(700)
        mirror._note_answer(sent_at_ms)
        clock.sleep_ms(300)
        assert mirror.store_age_ms() == 1000


class HoldingStore:
    """Holds back from its watches what a read shows; the script ends after some."""

    def __init__(self, runtime, item, watches=3):
        self._runtime = runtime
        self._item = item
        self._watches = watches
        self.calls = []

    def load(self, prefix, timeout_ms):
        self.calls.append("load")
        at = self._item.revision if len(self.calls) > 1 else 1
        return StoreItems([self._item] if len(self.calls) > 1 else [], at)

    def watch(self, prefix, after, wait_ms):
        self.calls.append("watch")
        self._runtime.clock.sleep_ms(wait_ms)
        if self.calls.count("watch") == self._watches:
            self._runtime._stopping.set()
        return StoreItems([], after)

    def read_revision(self, timeout_ms):
        self.calls.append("poll")
        return self._item.revision

    def interrupt(self):
        pass


class TestHeldBack:
    def make(self, item):
        runtime = make_runtime(ManualClock())
        store = HoldingStore(runtime, item)
        mirror = Mirror(runtime, store, lambda item: None, make_log(runtime))
        mirror.wants_proof = lambda: True
        proven = []
        mirror.on_proof = lambda ms: proven.append((ms, mirror.get("lead")))
        mirror.run()
        return store, proven

    def test_an_empty_watch_proves_nothing_while_the_store_has_more(self):
        """Guards against a proof for a primary whose change is held back."""
        change = Item("lead", b"next", 9)
        store, proven = self.make(change)
        assert store.calls[:6] == ["load", "watch", "poll", "watch", "poll", "load"]
        assert [known for _, known in proven[1:]] == [change] * (len(proven) - 1)

    def test_an_empty_watch_proves_what_a_read_behind_it_confirms(self):
        store, proven = self.make(Item("lead", b"same", 1))
        assert store.calls == ["load", *["watch", "poll"] * 3]
        assert len(proven) == 4


class TestPeers:
    def make(self):
        mirror, _, taken = run_script(StoreItems([A1], 4))
        return mirror, taken

    def test_peer_that_is_ahead_is_taken_over(self):
        mirror, _ = self.make()
        ahead, _, _ = run_script(StoreItems([A2, B1], 9))
        mirror.unpack(ahead.pack(), "peer")
        assert (mirror.get("a"), mirror.get("b"), mirror.revision) == (A2, B1, 9)

    def test_peer_that_is_behind_changes_nothing(self):
        mirror, _ = self.make()
        mirror.unpack(pack_mirror(PeerMirror(3, [("z", b"1", 2)])), "peer")
        assert mirror.get("z") is None

    def test_nonsense_is_refused(self):
        with pytest.raises(ValueError, match="can't be read"):
            self.make()[0].unpack(b"\xc1", "peer")

    def test_peer_gets_what_changed_after_its_revision(self):
        gone = Item("b", None, 8)
        ahead, _, _ = run_script(StoreItems([A1, B1], 4), StoreItems([A2, gone], 9))
        encoded = zlib.decompress(ahead.pack(4))
        packed = msgspec.msgpack.decode(encoded, type=PeerMirror)
        assert packed == PeerMirror(9, [("b", None, 8)], 4)
        mirror, _, _ = run_script(StoreItems([A1, B1], 4))
        mirror.unpack(ahead.pack(4), "peer")
        assert (mirror.get("b"), mirror.revision) == (None, 9)

    def test_peer_that_is_too_far_behind_gets_all(self):
        # A relay loads the store anew and can't tell when the keys that it lacks were
        # removed. Told only what changed, a peer would keep an instance that is gone.
        ahead, _, _ = run_script(
            StoreItems([A1, B1], 4), HistoryLostError("gone"), StoreItems([A2], 9)
        )
        mirror, _, _ = run_script(StoreItems([A1, B1], 4))
        mirror.unpack(ahead.pack(4), "peer")
        assert (mirror.get("b"), mirror.revision) == (None, 9)

    def test_changes_that_begin_after_this_mirrors_revision_are_left_aside(self):
        # The answer to an earlier question comes late, or a peer answers nonsense. What
        # changed in between would be missing for good.
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

    def test_news_of_a_relay_are_fetched_and_the_store_isnt_asked(self):
        runtime, store, mirror = self.make()
        relay, _, _ = run_script(StoreItems([A2], 9))
        fetched = []

        def fetch(address):
            fetched.append(address)
            mirror.unpack(relay.pack(mirror.revision), "relay")
            runtime._stopping.set()
            return True

        mirror.fetch = fetch
        mirror.note_told(9, "relay")
        mirror.run()
        assert (fetched, store.waits) == (["relay"], [])
        assert (mirror.get("a"), mirror.revision) == (A2, 9)

    def test_daemon_whose_relay_gives_nothing_goes_by_the_store(self):
        # A relay is heard, but its link is too narrow to send its mirror in time. A key
        # that was withdrawn would go on working behind it.
        _, store, mirror = self.make(StoreItems([A2], 9))
        mirror.fetch = lambda address: False
        mirror.note_told(9, "relay")
        mirror.run()
        assert store.waits[0][0] == 1
        assert mirror.get("a") == A2
