"""The exchange of heartbeats between daemons."""

import pytest

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.gossip import MAX_DATAGRAM_BYTES, NEVER_MS, Beat, Gossip
from bronzerelay.pooler.sources import EMPTY_REPORT, Report, Tally
from bronzerelay.runtime import Address
from standins.linegroup import LOCAL
from tests.builders_pooler import ManualClock, make_log, make_runtime


def make_beat(gossip, name, **fields):
    beat = Beat(
        name,
        gossip.incarnation,
        0,
        0,
        0,
        False,
        7,
        0.0,
        EMPTY_REPORT,
        {},
        {},
        [],
        True,
        {},
        {},
        None,
        False,
        None,
        True,
    )
    return beat._replace(**fields)


class Pair:
    """Two daemons on one clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.handled = []
        # For each heartbeat sent, the time since which its report was requested.
        self.reported_since = []
        self.first, self.second = self.make("a"), self.make("b")
        self.first.set_members({"b": Peer(self.second._sock.address)})
        self.second.set_members({"a": Peer(self.first._sock.address)})
        self.first.set_contacts("b")
        self.second.set_contacts("a")

    def make(self, name):
        runtime = make_runtime(self.clock)
        return Gossip(runtime, name, Peer(Address(LOCAL, 0)), make_log(runtime))

    def send(self, sender, receiver, name, **fields):
        sender.send_round(make_beat(sender, name, **fields), self.complete)
        self.receive(receiver)

    def complete(self, beat, view, since_ms):
        self.reported_since.append(since_ms)
        return beat

    def receive(self, receiver):
        data = receiver._sock.receive(MAX_DATAGRAM_BYTES)
        receiver._handle(
            data, lambda beat, view, proven_ms: self.handled.append(proven_ms)
        )


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    pair.first.close()
    pair.second.close()


class TestProof:
    def test_beat_counts_from_when_the_one_it_echoes_was_sent(self, pair):
        sent_ms = pair.clock.now_ms()
        pair.send(pair.first, pair.second, "a")
        assert pair.handled == [NEVER_MS]
        pair.clock.sleep_ms(100)
        pair.send(pair.second, pair.first, "b")
        assert pair.handled[-1] == sent_ms
        assert pair.first.views["b"].heard_up_to_ms == sent_ms

    def test_beat_that_waited_while_this_process_was_frozen_is_old(self, pair):
        # A heartbeat is queued while the process is frozen. If it counted as new, it
        # would be a proof for a primary that was replaced since.
        sent_ms = pair.clock.now_ms()
        pair.send(pair.first, pair.second, "a")
        pair.second.send_round(make_beat(pair.second, "b"), pair.complete)
        pair.clock.sleep_ms(8000)
        pair.receive(pair.first)
        assert pair.first.views["b"].heard_up_to_ms == sent_ms

    def test_beat_built_before_a_freeze_echoes_no_later_heartbeat(self, pair):
        # A daemon is frozen after it has built a heartbeat with its proof and before it
        # sends it. Newer heartbeats are in its queue when it resumes. If it echoed
        # these, their sender would count an old proof as new and use a primary that was
        # replaced since.
        pair.send(pair.first, pair.second, "a")
        sent_ms = pair.clock.now_ms()
        pair.clock.sleep_ms(300)

        def build_beat():
            beat = make_beat(pair.second, "b")
            pair.clock.sleep_ms(2000)
            pair.send(pair.first, pair.second, "a")
            return beat

        pair.second.run_round(build_beat, pair.complete)
        pair.receive(pair.first)
        assert pair.first.views["b"].heard_up_to_ms == sent_ms

    def test_echo_of_an_earlier_process_is_no_proof(self, pair):
        pair.send(pair.first, pair.second, "a")
        pair.first.incarnation += 1
        pair.send(pair.second, pair.first, "b")
        assert pair.handled[-1] == NEVER_MS

    def test_late_beat_is_ignored(self, pair):
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        early = pair.second._sock.receive(8192)
        pair.send(pair.first, pair.second, "a", store_revision=9)
        count = len(pair.handled)
        pair.second._handle(early, lambda *_: pair.handled.append(0))
        assert len(pair.handled) == count
        assert pair.second.views["a"].store_revision == 9

    def test_malformed_beat_is_ignored(self, pair):
        pair.first._handle(b"\xc1nonsense", lambda *_: pair.handled.append(0))
        assert pair.handled == []

    @pytest.mark.parametrize("data", [b"\x78", b"\x78\x01nonsense"])
    def test_malformed_compression_is_ignored(self, pair, data):
        pair.first._handle(data, lambda *_: pair.handled.append(0))
        assert pair.handled == []


class TestCompression:
    def send(self, pair, domain):
        """Send a heartbeat with many names; return its size and what arrived."""
        peer = Peer(pair.second._sock.address, domain)
        pair.first.set_members({"b": peer})
        pair.first.set_contacts("b")
        tallies = {f"workspace-{n}": Tally(n, n) for n in range(60)}
        report = Report(True, tallies)
        pair.first.send_round(make_beat(pair.first, "a", report=report), pair.complete)
        arrived = []
        data = pair.second._sock.receive(8192)
        pair.second._handle(data, lambda beat, *_: arrived.append(beat.report))
        assert arrived == [report]
        return len(data)

    def test_heartbeats_to_other_failure_domains_are_compressed(self, pair):
        near = self.send(pair, "")
        far = self.send(pair, "z2")
        assert far < near / 2


class TestReports:
    def test_report_holds_what_changed_since_the_last_received_one(self, pair):
        # A heartbeat is lost. If its report weren't sent again, the peer would never
        # count those operations, and the workspace would exceed its rate by them.
        pair.send(pair.first, pair.second, "a")
        received_ms = pair.clock.now_ms()
        pair.send(pair.second, pair.first, "b")
        pair.clock.sleep_ms(300)
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        pair.clock.sleep_ms(300)
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        assert pair.reported_since == [None, None, received_ms, received_ms]


def test_heartbeat_with_many_long_names_is_read(pair):
    """Guards against daemons that fall silent by the names in a configuration."""
    tallies = {f"workspace-{'x' * 100}-{n}": Tally(1, 1) for n in range(300)}
    pair.send(pair.first, pair.second, "a", report=Report(True, tallies))
    assert len(pair.handled) == 1
