"""Heartbeats between daemons."""

import pytest

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.gossip import NEVER_MS, Beat, Gossip
from bronzerelay.pooler.sources import EMPTY_REPORT
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
    )
    return beat._replace(**fields)


class Pair:
    """Two daemons on one clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.taken = []
        # Since when each report was wanted.
        self.reported_since = []
        self.first, self.second = self.make("a"), self.make("b")
        self.first.set_members({"b": Peer(self.second._sock.address)})
        self.second.set_members({"a": Peer(self.first._sock.address)})
        self.first.set_contacts("b")
        self.second.set_contacts("a")

    def make(self, name):
        runtime = make_runtime(self.clock)
        return Gossip(runtime, name, Address(LOCAL, 0), make_log(runtime))

    def send(self, sender, receiver, name, **fields):
        sender.send_round(make_beat(sender, name, **fields), self.complete)
        self.receive(receiver)

    def complete(self, beat, view, since_ms):
        self.reported_since.append(since_ms)
        return beat

    def receive(self, receiver):
        data = receiver._sock.receive(8192)
        receiver._take(data, lambda beat, view, proven_ms: self.taken.append(proven_ms))


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    pair.first.close()
    pair.second.close()


class TestProof:
    def test_beat_counts_from_when_the_one_it_answers_was_sent(self, pair):
        sent_ms = pair.clock.now_ms()
        pair.send(pair.first, pair.second, "a")
        assert pair.taken == [NEVER_MS]
        pair.clock.sleep_ms(100)
        pair.send(pair.second, pair.first, "b")
        assert pair.taken[-1] == sent_ms
        assert pair.first.views["b"].told_at_ms == sent_ms

    def test_beat_that_waited_while_this_process_was_frozen_is_old(self, pair):
        # A heartbeat lies in the queue while the process is frozen. Taken for new after
        # it woke up, it would prove that a primary leads that was replaced since.
        sent_ms = pair.clock.now_ms()
        pair.send(pair.first, pair.second, "a")
        pair.second.send_round(make_beat(pair.second, "b"), pair.complete)
        pair.clock.sleep_ms(8000)
        pair.receive(pair.first)
        assert pair.first.views["b"].told_at_ms == sent_ms

    def test_what_was_described_before_a_freeze_answers_no_later_heartbeat(self, pair):
        # A daemon is frozen just after it has written down its proof and before it
        # sends it. Newer heartbeats are in its queue when it wakes up; if it answered
        # these, their sender would take a proof of seconds ago for a new one and use a
        # primary that was replaced since.
        pair.send(pair.first, pair.second, "a")
        sent_ms = pair.clock.now_ms()
        pair.clock.sleep_ms(300)

        def describe():
            beat = make_beat(pair.second, "b")
            pair.clock.sleep_ms(2000)
            pair.send(pair.first, pair.second, "a")
            return beat

        pair.second.run_round(describe, pair.complete)
        pair.receive(pair.first)
        assert pair.first.views["b"].told_at_ms == sent_ms

    def test_echo_of_a_process_before_this_one_proves_nothing(self, pair):
        pair.send(pair.first, pair.second, "a")
        pair.first.incarnation += 1
        pair.send(pair.second, pair.first, "b")
        assert pair.taken[-1] == NEVER_MS

    def test_late_beat_is_left_aside(self, pair):
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        early = pair.second._sock.receive(8192)
        pair.send(pair.first, pair.second, "a", store_revision=9)
        count = len(pair.taken)
        pair.second._take(early, lambda *_: pair.taken.append(0))
        assert len(pair.taken) == count
        assert pair.second.views["a"].store_revision == 9

    def test_nonsense_is_left_aside(self, pair):
        pair.first._take(b"\xc1nonsense", lambda *_: pair.taken.append(0))
        assert pair.taken == []


class TestReports:
    def test_report_holds_what_changed_since_the_last_one_that_was_got(self, pair):
        # A heartbeat is lost. What it told would be missing at the peer for good, and
        # the workspace would be given that much more than its rate.
        pair.send(pair.first, pair.second, "a")
        got_ms = pair.clock.now_ms()
        pair.send(pair.second, pair.first, "b")
        pair.clock.sleep_ms(300)
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        pair.clock.sleep_ms(300)
        pair.first.send_round(make_beat(pair.first, "a"), pair.complete)
        assert pair.reported_since == [None, None, got_ms, got_ms]
