"""Tests of the links between daemons: handshake, malformed data, and lost peers."""

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from bronzerelay.peerlink.ttypes import LoanCall, LoanReply
from bronzerelay.peers import (
    HANDSHAKE_TIMEOUT_MS,
    PeerLinks,
    PeerServer,
    greet_server,
)
from bronzerelay.runtime import Address, Connection
from standins.faultrelay import REPEAT_REPLY, FaultRelay
from tests.endpoints import open_runtime, wait_until

SECRET = "a secret of peers"
TIMEOUT_MS = 2000
ANY_PORT = Address("127.0.0.1", 0)
CALL = LoanCall(borrower="vm-1", workspace="north", amount=2.0)
# A frame that claims 2 GiB, one of negative length, and one with malformed data.
HUGE_FRAME = b"\x7f\xff\xff\xff" + b"x" * 32
NEGATIVE_FRAME = b"\xff\xff\xff\xff" + b"x" * 32
NONSENSE_FRAME = b"\x00\x00\x00\x04abcd"


class Handler:
    """Lends the requested amount, and counts the calls."""

    def __init__(self):
        self.calls = 0

    def lend(self, call):
        self.calls += 1
        return LoanReply(amount=call.amount, spare=1.0)


class Peer:
    """A peer server with its counted events."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.handler = Handler()
        self.events = []
        self.server = PeerServer(
            runtime, ANY_PORT, SECRET, self.handler, self.events.append
        )
        self.server.start()

    def call(self, secret=SECRET):
        links = PeerLinks(self.runtime, secret)
        return links.call(self.server.address, "lend", CALL, TIMEOUT_MS)


@pytest.fixture
def peer():
    with open_runtime() as runtime:
        yield Peer(runtime)


def test_a_duplicate_answer_isnt_taken_for_the_next_one(peer, monkeypatch):
    """A link delivers an answer twice, the second time after the check for unread data.

    If the next call took it for its own answer, a commit would be reported as done
    before it has run.
    """
    cutter = FaultRelay(peer.runtime, peer.server.address)
    cutter.start()
    links = PeerLinks(peer.runtime, SECRET)
    assert links.call(cutter.address, "lend", CALL, TIMEOUT_MS).is_ok()
    monkeypatch.setattr(Connection, "is_quiet", lambda connection: True)
    cutter.arm(REPEAT_REPLY)
    amounts = []
    for amount in (3.0, 4.0, 5.0):
        call = LoanCall(borrower="vm-1", workspace="north", amount=amount)
        amounts.append(links.call(cutter.address, "lend", call, TIMEOUT_MS).ok.amount)
    assert cutter.struck == 1
    assert amounts == [3.0, 4.0, 5.0]
    cutter.stop()


def test_an_idle_link_is_reused(peer):
    links = PeerLinks(peer.runtime, SECRET)
    replies = [
        links.call(peer.server.address, "lend", CALL, TIMEOUT_MS) for _ in range(3)
    ]
    assert [reply.ok.amount for reply in replies] == [2.0] * 3


def test_a_client_without_the_secret_gets_no_token(peer):
    """A client without the secret connects to a daemon's peer port.

    With a loan it could spend a workspace's rate unnoticed.
    """
    result = peer.call("another secret")
    assert not result.is_ok()
    assert not result.error.may_have_run
    assert peer.handler.calls == 0
    wait_until(peer.runtime, lambda: peer.events == ["peer_rejected"])


def test_a_server_without_the_secret_is_rejected(peer):
    """Another process listens at a daemon's address and answers in its place.

    It could distribute a forged configuration with keys of its own.
    """
    listener = peer.runtime.listen(ANY_PORT)

    def pretend():
        connection = listener.accept()
        connection.send(b"n" * 16)
        connection.receive_exactly(48)
        connection.send(b"p" * 32)

    peer.runtime.start(pretend)
    result = PeerLinks(peer.runtime, SECRET).call(
        listener.address, "lend", CALL, TIMEOUT_MS
    )
    assert not result.is_ok()
    assert not result.error.may_have_run


def test_a_call_to_a_stopped_peer_has_not_run(peer):
    """A daemon ends while another has an idle link to it.

    A call sent on the dead link would count as one that may have run, and its caller
    would get "unknown" for a request that never arrived.
    """
    links = PeerLinks(peer.runtime, SECRET)
    assert links.call(peer.server.address, "lend", CALL, TIMEOUT_MS).is_ok()
    assert peer.server.drain(TIMEOUT_MS)
    wait_until(
        peer.runtime,
        lambda: not links.call(peer.server.address, "lend", CALL, TIMEOUT_MS).is_ok(),
    )
    result = links.call(peer.server.address, "lend", CALL, TIMEOUT_MS)
    assert not result.error.may_have_run


def test_a_slow_peer_isnt_unreachable():
    """Guards against a peer that counts as dead because its handshake is slow."""
    with open_runtime() as runtime:
        listener = runtime.listen(ANY_PORT)
        links = PeerLinks(runtime, SECRET)
        slow = links.call(listener.address, "lend", CALL, 50).error
        listener.close()
        gone = links.call(listener.address, "lend", CALL, 50).error
    assert (slow.may_have_run, slow.is_unreachable) == (False, False)
    assert (gone.may_have_run, gone.is_unreachable) == (False, True)


def test_a_call_to_a_dropped_peer_ends_at_once(peer):
    """A peer freezes during a call and is suspected soon after.

    The call would wait for its whole deadline, though another daemon could settle the
    request.
    """
    listener = peer.runtime.listen(ANY_PORT)
    held = []
    peer.runtime.start(lambda: held.append(listener.accept()))
    links = PeerLinks(peer.runtime, SECRET)
    call = peer.runtime.start(links.call, listener.address, "lend", CALL, 60_000)
    wait_until(peer.runtime, lambda: held)
    links.drop(listener.address)
    held[0].close()
    assert not call.result().is_ok()


def test_a_call_that_still_opens_its_link_is_dropped_too(peer):
    """Guards against calls that wait out a handshake with a peer known to be silent."""
    listener = peer.runtime.listen(ANY_PORT)
    held = []
    peer.runtime.start(lambda: held.append(listener.accept()))
    links = PeerLinks(peer.runtime, SECRET)
    call = peer.runtime.start(
        links.call, listener.address, "lend", CALL, HANDSHAKE_TIMEOUT_MS
    )
    wait_until(peer.runtime, lambda: held)
    begun_ms = peer.runtime.clock.now_ms()
    wait_until(peer.runtime, lambda: links.drop(listener.address) or call.done())
    assert peer.runtime.clock.now_ms() - begun_ms < HANDSHAKE_TIMEOUT_MS / 2
    error = call.result().error
    held[0].close()
    assert (error.may_have_run, error.is_unreachable) == (False, False)


@settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.booleans(), st.binary(max_size=200))
@example(True, HUGE_FRAME)
@example(True, NEGATIVE_FRAME)
@example(True, NONSENSE_FRAME)
def test_nonsense_ends_its_own_link_only(peer, greets, data):
    """A peer of another version, or a stranger, sends bytes that are no call.

    The link may end; the daemon has to go on serving its other peers.
    """
    connection = peer.runtime.dial(peer.server.address, TIMEOUT_MS)
    connection.set_timeout(TIMEOUT_MS)
    if greets:
        greet_server(peer.runtime, connection, SECRET)
    connection.send(data)
    connection.close()
    assert peer.call().is_ok()
