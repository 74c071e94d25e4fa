"""Tests of the gossip between daemons: replies to heartbeats, pauses, silent peers."""

import io
import json

import pytest
from expression import Error, Ok

from bronzerelay.gossip import PAUSE_MS, Gossip, GossipSettings
from bronzerelay.logs import open_log
from bronzerelay.membership import Membership, MembershipSettings, View
from bronzerelay.peerlink.ttypes import Beat, Record
from bronzerelay.peers import PeerError
from bronzerelay.runtime import Address
from tests.endpoints import open_runtime, wait_until

PEER = Address("127.0.0.1", 1)


class FakeStore:
    """A store that holds only a version."""

    def __init__(self):
        self.version = 1

    def accept(self, record):
        self.version = record["version"]


class FakeMembership:
    """Records which version was in force when a peer's views were merged."""

    name = "vm-1"
    roster = {"epoch": 1, "members": []}

    def __init__(self, store):
        self._store = store
        self.merged_at = []

    def make_views(self):
        return []

    def clear_unreachable(self, name):
        pass

    def merge_reply(self, views, sent_at_ms, sender):
        self.merged_at.append(self._store.version)


class FakeLinks:
    """Links to a peer with version 2 and epoch 1, which may let nobody fetch these."""

    def __init__(self, serves_config, value=b'{"version": 2}'):
        self._serves_config = serves_config
        self._value = value

    def call(self, address, method, argument, timeout_ms):
        if method == "beat":
            return Ok(Beat("vm-2", 1, 2, []))
        if not self._serves_config:
            return Error(None)
        return Ok(Record(version=2, value=self._value))


@pytest.mark.parametrize(("serves_config", "merged_at"), [(True, [2]), (False, [])])
def test_a_reply_is_merged_only_with_the_configuration_that_it_announces(
    serves_config, merged_at
):
    """A daemon was frozen while a key was withdrawn. The first reply that it gets
    reports that the platform answers others, and that there is a newer version. If its
    views were merged at once, the daemon would accept the withdrawn key until it has
    fetched that version.
    """
    with open_runtime(10) as runtime:
        store = FakeStore()
        membership = FakeMembership(store)
        links = FakeLinks(serves_config)
        settings = GossipSettings()
        gossip = Gossip(runtime, settings, membership, store, links, None)
        assert gossip.send_heartbeat("vm-2", PEER)
    assert membership.merged_at == merged_at


@pytest.mark.parametrize("value", [b"[" * 50_000 + b"]" * 50_000, b"{", b"\xff"])
def test_a_configuration_that_cannot_be_read_is_not_put_in_force(value):
    """Guards against a daemon that ends because of what a peer has sent."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        store = FakeStore()
        membership = FakeMembership(store)
        links = FakeLinks(True, value)
        log = open_log("gossip", stream)
        gossip = Gossip(runtime, GossipSettings(), membership, store, links, log)
        assert runtime.start(gossip.send_heartbeat, "vm-2", PEER).result()
    assert (store.version, membership.merged_at) == (1, [])
    assert "can't be read" in stream.getvalue()


@pytest.mark.parametrize("value", [b'{"x":' * 50_000, b"{", b"\xff", b"[]"])
def test_a_roster_that_cannot_be_read_is_not_put_in_force(value):
    """Guards against heartbeats that end because of what a peer has sent."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        membership = Membership(runtime, MembershipSettings("vm-1"))
        store = FakeStore()
        store.version = 2
        links, log = FakeLinks(True, value), open_log("gossip", stream)
        gossip = Gossip(runtime, GossipSettings(), membership, store, links, log)
        assert runtime.start(gossip.send_heartbeat, "vm-2", PEER).result()
        assert membership.roster["epoch"] == 0
    assert "can't be read" in stream.getvalue()


def test_a_roster_that_cannot_be_used_is_logged():
    """Guards against heartbeats that end because of one malformed roster."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        membership = Membership(runtime, MembershipSettings("vm-1"))
        log = open_log("gossip", stream)
        gossip = Gossip(runtime, GossipSettings(), membership, None, None, log)
        gossip.accept_roster({"epoch": 2**63, "members": []})
        assert membership.roster["epoch"] == 0
    assert "can't be put in force" in stream.getvalue()


class MarkingMembership(FakeMembership):
    """Records which members are marked as unreachable."""

    def __init__(self):
        super().__init__(FakeStore())
        self.marked = []

    def mark_unreachable(self, name, reason=""):
        self.marked.append(name)


@pytest.mark.parametrize(("is_unreachable", "marked"), [(False, []), (True, ["vm-2"])])
def test_a_heartbeat_that_times_out_marks_no_peer_unreachable(is_unreachable, marked):
    """Guards against a peer that counts as dead because of one slow handshake."""
    membership = MarkingMembership()
    with open_runtime(10) as runtime:
        links = FakeLinks(serves_config=False)
        error = PeerError(
            "vm-2 can't be reached", may_have_run=False, is_unreachable=is_unreachable
        )
        links.call = lambda *_: Error(error)
        settings = GossipSettings()
        gossip = Gossip(runtime, settings, membership, FakeStore(), links, None)
        assert not gossip.send_heartbeat("vm-2", PEER)
    assert membership.marked == marked


class SilentMembership:
    """A member that was alive and has fallen silent."""

    name = "vm-1"

    def __init__(self):
        self.alive = [["vm-1", "vm-2"], ["vm-1"]]

    def alive_names(self):
        return self.alive.pop(0) if len(self.alive) > 1 else self.alive[0]

    def address_of(self, name):
        return PEER

    def view_of(self, name):
        return View(heard_at_ms=0.0)

    def note_pause(self, began_ms, ended_ms):
        pass

    def note_running(self, now_ms):
        pass

    def why_unreachable(self, name):
        return "refused"


def test_a_late_liveness_check_is_a_pause_of_this_daemon():
    """Guards against a daemon whose own pause makes its peers count as dead."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        membership = Membership(runtime, MembershipSettings("vm-1"))
        log = open_log("spread", stream)
        settings = GossipSettings()
        gossip = Gossip(runtime, settings, membership, None, None, log)
        now_ms = runtime.clock.now_ms()
        gossip._note_pause(now_ms)
        assert not stream.getvalue()
        gossip._note_pause(now_ms - 2 * PAUSE_MS)
    assert json.loads(stream.getvalue())["paused_ms"] >= 2 * PAUSE_MS


class LiveMembership(SilentMembership):
    """A membership in which this daemon and its peer are alive."""

    name = "vm-1"

    def alive_names(self):
        return ["vm-1", "vm-2"]


def test_a_daemon_is_no_peer_of_its_own_in_the_log():
    """Guards against a log that reports the daemon itself as a peer that came back."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        log = open_log("spread", stream)
        membership, settings = LiveMembership(), GossipSettings()
        gossip = Gossip(runtime, settings, membership, None, FakeLinks(True), log)
        gossip.start()
        wait_until(runtime, lambda: "vm-2" in stream.getvalue())
        runtime.sleep_ms(100)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    alive = [line["peer"] for line in lines if "alive" in line["message"]]
    assert alive == ["vm-2"]


def test_the_log_line_of_a_silent_peer_has_its_inputs():
    """Guards against a log without the age of the view and the calls that were cut."""
    stream = io.StringIO()
    with open_runtime(10) as runtime:
        links = FakeLinks(serves_config=True)
        links.drop = lambda address: 7
        log = open_log("spread", stream)
        settings = GossipSettings()
        gossip = Gossip(runtime, settings, SilentMembership(), None, links, log)
        gossip.start()
        wait_until(runtime, lambda: "silent" in stream.getvalue())
    line = json.loads(stream.getvalue().splitlines()[-1])
    assert (line["peer"], line["unreachable"], line["calls_cut"]) == (
        "vm-2",
        "refused",
        7,
    )
    assert line["heard_age_ms"] > 0
