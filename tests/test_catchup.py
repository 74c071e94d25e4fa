"""Mirrors that daemons hand on to each other, and who is asked for one."""

import pytest

from bronzerelay.load.storepace import find_direct_bytes
from bronzerelay.pooler.catchup import (
    OVER_LIMIT,
    CatchUp,
    MirrorQuery,
    answer_query,
    read_query,
)
from bronzerelay.pooler.contacts import Contacts, Peer
from bronzerelay.pooler.httpcalls import HttpResponse
from bronzerelay.pooler.mirror import Item, Mirror, PeerMirror
from bronzerelay.runtime import Address
from tests.builders_pooler import ManualClock, make_log, make_runtime, pack_mirror

RELAY, PARENT = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
NEWER = HttpResponse(200, pack_mirror(PeerMirror(9, [("a", b"2", 9)])))
REFERRED = HttpResponse(OVER_LIMIT, b"9")


class Views:
    """The views of a gossip in which one peer is ahead."""

    def __init__(self):
        self.views = {"relay": self}
        self.store_revision = 9
        self.address = RELAY


class Harness:
    """A daemon behind a relay, with the answers that its peers give in turn."""

    def __init__(self, *answers):
        self.clock = ManualClock()
        runtime = make_runtime(self.clock)
        self.mirror = Mirror(runtime, self, lambda item: None, make_log(runtime))
        self.mirror._replace([Item("a", b"1", 4)], 4)
        contacts = Contacts("own", "z1")
        contacts.find_parent = lambda: PARENT
        contacts.set_peers({f"d{n}": Peer(RELAY, "z1") for n in range(99)})
        self.catch_up = CatchUp(
            runtime, self, self.mirror, Views(), (), (), contacts, make_log(runtime)
        )
        self.answers = list(answers)
        self.asked = []
        self.interrupts = 0
        self.catch_up._call = self.call

    def interrupt(self):
        self.interrupts += 1

    def call(self, address, query):
        self.asked.append((address, query))
        return self.answers.pop(0)

    def check_for(self, duration_ms):
        for _ in range(round(duration_ms / 100)):
            self.catch_up.check_peers()
            self.clock.sleep_ms(100)


class TestRelays:
    def test_a_small_update_comes_from_the_relay(self):
        harness = Harness(NEWER)
        assert harness.catch_up.fetch_from_relay(RELAY)
        assert harness.asked == [(RELAY, MirrorQuery(limit=find_direct_bytes(100)))]
        assert harness.mirror.revision == 9

    def test_a_large_update_comes_from_the_member_that_hands_it_on(self):
        """Guards against a relay whose link is full of copies for its domain."""
        harness = Harness(REFERRED, NEWER)
        assert harness.catch_up.fetch_from_relay(RELAY)
        assert harness.asked[1:] == [(PARENT, MirrorQuery(until=9))]
        assert harness.mirror.revision == 9

    @pytest.mark.parametrize(
        "answer",
        [None, HttpResponse(200, NEWER.body[:9]), HttpResponse(503, b"")],
        ids=["dead", "halfway", "busy"],
    )
    def test_without_that_member_the_relay_sends_all(self, answer):
        """Guards against a daemon behind a dead one that gets no updates."""
        harness = Harness(REFERRED, answer, NEWER)
        assert harness.catch_up.fetch_from_relay(RELAY)
        assert harness.asked[2:] == [(RELAY, MirrorQuery())]
        assert harness.mirror.revision == 9

    def test_a_relay_that_gives_nothing_usable_is_no_success(self):
        """Guards against a daemon that goes on to follow a relay that sends nothing."""
        wrong = HttpResponse(OVER_LIMIT, b"soon")
        harness = Harness(wrong, HttpResponse(200, b"\xc1"))
        assert not harness.catch_up.fetch_from_relay(RELAY)
        assert harness.mirror.revision == 4


class TestChecks:
    def test_a_mirror_that_stays_behind_asks_the_peer_that_is_ahead(self):
        harness = Harness(NEWER)
        harness.check_for(600)
        assert harness.mirror.revision == 9

    def test_an_answer_that_is_under_way_is_not_asked_for_again(self):
        """Guards against a full link that never empties: each answer that is cut is
        asked for anew.
        """
        harness = Harness()
        harness.mirror.is_receiving = lambda: True
        harness.check_for(3_000)
        assert (harness.asked, harness.interrupts) == ([], 0)


class TestAnswers:
    def make_mirror(self):
        runtime = make_runtime()
        mirror = Mirror(runtime, None, lambda item: None, make_log(runtime))
        mirror._replace([Item("a", bytes(range(256)) * 40, 4)], 4)
        return mirror

    def test_query_fields(self):
        assert read_query("after=3&until=9&limit=77") == MirrorQuery(3, 9, 77)
        assert read_query("after=-1&until=x") == MirrorQuery()

    def test_an_answer_over_the_limit_only_names_the_revision(self):
        mirror = self.make_mirror()
        assert answer_query(mirror, "after=0&limit=50") == HttpResponse(303, b"4")
        assert answer_query(mirror, "after=0&limit=9000000").status == 200

    def test_an_answer_waits_for_the_revision_that_is_on_its_way(self):
        """Guards against a member that hands on what it had before."""
        mirror = self.make_mirror()
        waited = []
        mirror.wait_for_revision = waited.append
        answer_query(mirror, "after=4&until=9")
        assert waited == [9]
