"""The start of a daemon at the store: who loads it and who takes a member's mirror."""

import pytest

from bronzerelay.load.storepace import FIRST_LOADERS, MEMBER_PATIENCE_MS
from bronzerelay.pooler.contacts import Contacts, Peer
from bronzerelay.pooler.mirror import (
    Item,
    Mirror,
    PeerMirror,
    StoreError,
    StoreItems,
    StoreTooLargeError,
)
from bronzerelay.pooler.storestart import StoreStart
from bronzerelay.runtime import Address
from tests.builders_pooler import ManualClock, make_log, make_runtime, pack_mirror

RELAY = Address("127.0.0.1", 1)
LARGE = 100
PREFIX = "members/"


class MemberStore:
    """A store that answers loads with its items, and counts the whole ones."""

    def __init__(self):
        self.items = [Item("config", b"new", 40), Item(f"{PREFIX}d0", b"d0", 12)]
        self.revision = 40
        self.whole_loads = 0
        self.part_loads = 0
        self.fails = False
        self.is_large = True

    def load(self, prefix, timeout_ms, max_bytes=0):
        if self.fails:
            raise StoreError("silent")
        if max_bytes and self.is_large:
            raise StoreTooLargeError("large")
        self.part_loads += bool(prefix)
        self.whole_loads += not prefix
        found = [item for item in self.items if item.key.startswith(prefix)]
        return StoreItems(found, self.revision)

    def interrupt(self):
        pass


class StartHarness:
    """The start of one daemon on a set clock, at a place in its failure domain."""

    def __init__(self, place, size=LARGE):
        self.clock = ManualClock()
        self.runtime = make_runtime(self.clock)
        self.runtime.sleep_ms = lambda pause_ms: self.clock.sleep_ms(pause_ms) or True
        self.runtime.wait_for = self.wait_for
        self.store = MemberStore()
        self.mirror = Mirror(
            self.runtime, self.store, lambda item: None, make_log(self.runtime)
        )
        self.contacts = Contacts("own", "z1")
        names = [f"d{number}" for number in range(size - 1)]
        self.contacts.set_peers({name: Peer(RELAY, "z1") for name in names})
        self.contacts.find_place = lambda: place
        self.has_relay = False
        self.mirror.follows_relay = lambda: self.has_relay
        # What the relay's mirror is fetched as; None stands for no answer.
        self.answer = None
        self.fetches = 0
        self.mirror.fetch = self.fetch
        self.start = StoreStart(
            self.runtime,
            self.mirror,
            self.contacts,
            lambda: self.mirror.load_part(PREFIX),
            lambda: len(self.mirror.list_prefix(PREFIX)),
            make_log(self.runtime),
        )
        self.started_ms = self.clock.now_ms()

    def wait_for(self, condition, test, wait_ms):
        if not test():
            self.clock.sleep_ms(wait_ms)
        return test()

    def fetch(self, address):
        self.fetches += 1
        try:
            self.mirror.unpack(self.answer or b"", "relay")
        except ValueError:
            return False
        return True

    def hear_relay(self, revision):
        self.has_relay = True
        self.mirror.update_relay_revision(revision, RELAY)

    def run(self):
        """Return when the daemon loads the store; None if it takes a mirror first."""
        while not self.mirror.loaded:
            if self.start.prepare_load():
                return self.clock.now_ms() - self.started_ms
        return None


def test_the_first_daemons_load_the_store_at_once():
    assert StartHarness(FIRST_LOADERS - 1).run() == 0


def test_a_daemon_of_a_small_fleet_loads_the_store_at_once():
    assert StartHarness(9, size=10).run() == 0


def test_a_small_store_is_loaded_at_once_with_one_call():
    """Guards against more calls or a later start than a small store needs."""
    harness = StartHarness(50)
    harness.store.is_large = False
    assert harness.run() is None
    assert harness.mirror._loaded_at_ms == harness.started_ms
    assert (harness.store.whole_loads, harness.store.part_loads) == (1, 0)
    assert harness.mirror.get("config").data == b"new"
    assert not harness.mirror._must_load


def test_a_daemon_takes_a_members_mirror_in_place_of_a_load():
    """Guards against one answer of the store for each daemon that starts."""
    harness = StartHarness(50)
    harness.answer = pack_mirror(PeerMirror(40, [("config", b"new", 40)]))
    harness.hear_relay(40)
    assert harness.run() is None
    assert harness.store.whole_loads == 0
    assert harness.mirror.get("config").data == b"new"
    assert not harness.mirror._must_load
    # Should the relay be lost now, the store is watched at once.
    assert harness.start.prepare_watch()


def test_the_member_list_alone_is_no_store_revision():
    """Guards against a mirror that claims to have all of what it read a part."""
    harness = StartHarness(50)
    proofs = []
    harness.mirror.on_proof = proofs.append
    harness.start.prepare_load()
    assert harness.mirror.get(f"{PREFIX}d0") is not None
    assert harness.mirror.has_part
    assert (harness.mirror.revision, harness.mirror.loaded) == (0, False)
    assert not harness.mirror.confirm_current(40, harness.clock.now_ms())
    assert proofs == []


def test_a_daemon_without_a_member_loads_the_store_itself():
    """Guards against a fleet that waits for members that are all dead."""
    delays = [StartHarness(place).run() for place in (20, 60, 99)]
    assert MEMBER_PATIENCE_MS <= delays[0] < delays[1] < delays[2]
    assert delays[2] < MEMBER_PATIENCE_MS + 2_000


@pytest.mark.parametrize(
    "answer",
    [None, b"\xc1", pack_mirror(PeerMirror(40, [("config", b"new", 40)]))[:20]],
    ids=["none", "wrong", "halfway"],
)
def test_an_answer_that_cannot_be_used_leads_to_a_load(answer):
    """Guards against a daemon that waits for a member which dies while it answers."""
    harness = StartHarness(50)
    harness.answer = answer
    harness.hear_relay(40)
    loaded_after_ms = harness.run()
    assert harness.fetches == 1
    assert loaded_after_ms < MEMBER_PATIENCE_MS
    assert harness.mirror.revision == 0


def test_a_stale_answer_keeps_the_members_that_joined_since():
    """Guards against a member that drops out of the list by another's old mirror."""
    harness = StartHarness(50)
    harness.store.items.append(Item(f"{PREFIX}d7", b"d7", 39))
    harness.answer = pack_mirror(PeerMirror(30, [(f"{PREFIX}d0", b"d0", 12)]))
    harness.hear_relay(30)
    assert harness.run() is None
    assert harness.mirror.get(f"{PREFIX}d7") is not None
    # What the store had since isn't known here, so nothing proves it.
    assert not harness.mirror.confirm_current(40, harness.clock.now_ms())


def test_a_key_withdrawn_before_the_start_comes_with_the_relays_next_revision():
    """Guards against a withdrawn key that a daemon takes over with an old mirror."""
    harness = StartHarness(50)
    harness.answer = pack_mirror(PeerMirror(30, [("config", b"old", 30)]))
    harness.hear_relay(30)
    assert harness.run() is None
    harness.answer = pack_mirror(PeerMirror(40, [("config", b"new", 40)], 30))
    harness.hear_relay(40)
    harness.mirror._follow()
    assert harness.mirror.get("config").data == b"new"
    assert harness.mirror.confirm_current(40, harness.clock.now_ms())


def test_a_silent_store_is_asked_for_the_member_list_again():
    harness = StartHarness(50)
    harness.store.fails = True
    with pytest.raises(StoreError):
        harness.start.prepare_load()
    harness.store.fails = False
    harness.start.prepare_load()
    assert harness.store.part_loads == 1


def test_daemons_that_start_for_the_first_time_give_relays_time_before_a_watch():
    """Guards against an answer for each daemon to what is written at a first start."""
    harness = StartHarness(50)
    harness.store.items = []
    assert harness.run() == 0
    harness.has_relay = False
    started_ms = harness.clock.now_ms()
    while not harness.start.prepare_watch():
        pass
    assert harness.store.part_loads == 2
    assert harness.clock.now_ms() - started_ms >= MEMBER_PATIENCE_MS


def test_only_a_first_start_puts_the_watch_off():
    """Guards against a daemon without relays that gets no updates for seconds."""
    harness = StartHarness(FIRST_LOADERS - 1)
    assert harness.run() == 0
    assert harness.start.prepare_watch()
    assert harness.store.part_loads == 1
