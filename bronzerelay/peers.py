"""Links between daemons: authenticated connections that carry thrift calls."""

import contextlib
import hashlib
import hmac
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TFramedTransport, TTransportBase

from bronzerelay.peerlink import Peer
from bronzerelay.runtime import (
    Address,
    Connection,
    Listener,
    Runtime,
    TaskLimitError,
)

NONCE_BYTES = 16
PROOF_BYTES = 32
HANDSHAKE_TIMEOUT_MS = 1000
# The pause after a link couldn't be accepted, in milliseconds.
ACCEPT_RETRY_MS = 50
# How many idle links to one peer are kept open; concurrent calls may open more.
MAX_IDLE_LINKS = 64
# Sequence numbers of calls stay below this, because thrift has signed 32-bit numbers.
SEQUENCE_LIMIT = 2**31


# The connection of the call that the current task runs; each task has its own value.
_call_connection: ContextVar[Connection | None] = ContextVar("calling", default=None)


def make_wanted_check() -> Callable[[], bool]:
    """Return a function that tells whether the calling peer still waits.

    It refers to the call that the current task runs, and returns True outside of a
    call. A peer sends nothing while it waits, and closes the link when it gives up.
    """
    connection = _call_connection.get()
    if connection is None:
        return lambda: True

    def is_wanted() -> bool:
        still_waits = connection.is_quiet()
        with contextlib.suppress(OSError):
            connection.set_timeout(None)
        return still_waits

    return is_wanted


class LinkDroppedError(OSError):
    """A link was dropped while it was being opened."""


class PeerError(NamedTuple):
    """Why a call to a peer gave no reply.

    `may_have_run` says whether the call may have reached the peer and run there.
    `is_unreachable` says that the peer can't be up, because the connection was refused
    or failed; a peer that was merely slow to accept it, or from which all links were
    dropped meanwhile, may be up.
    """

    message: str
    may_have_run: bool
    is_unreachable: bool = False


class ConnectionTransport(TTransportBase):
    """A thrift transport over a connection of the runtime."""

    def __init__(self, connection: Connection):
        self._connection = connection

    def isOpen(self) -> bool:  # noqa: N802 (thrift's name)
        """Return True; a closed connection is detected by the next call."""
        return True

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes; raise EOFError when the peer has closed."""
        data = self._connection.receive(size)
        if not data:
            raise EOFError("the peer closed the link")
        return data

    def write(self, data: bytes) -> None:
        """Send `data`."""
        self._connection.send(data)

    def flush(self) -> None:
        """Do nothing; each write is sent at once."""

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def make_protocol(connection: Connection) -> TBinaryProtocolAccelerated:
    """Return the protocol of a link, as its serving end speaks it."""
    return TBinaryProtocolAccelerated(TFramedTransport(ConnectionTransport(connection)))


class NumberedProtocol(TBinaryProtocolAccelerated):
    """Numbers the calls of a link, and skips answers to earlier calls.

    The generated client gives all calls the number 0 and checks none. If an answer
    arrived twice, the second time after the link's check for unread data, it would be
    taken for the answer to the next call: a commit would count as done before it ran.
    """

    def __init__(self, transport: TTransportBase):
        super().__init__(transport)
        self._number = 0

    def writeMessageBegin(self, name: str, kind: int, seqid: int) -> None:  # noqa: N802
        """Write the header of a call, with the next number."""
        self._number = (self._number + 1) % SEQUENCE_LIMIT
        super().writeMessageBegin(name, kind, self._number)

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802
        """Return the header of the answer to the last call."""
        while True:
            name, kind, seqid = super().readMessageBegin()
            if seqid == self._number:
                return name, kind, seqid
            self.skip(TType.STRUCT)
            self.readMessageEnd()


def make_proof(secret: str, role: str, nonces: bytes) -> bytes:
    """Return the proof that its sender knows `secret`, for its role and the nonces."""
    return hmac.digest(secret.encode(), role.encode() + nonces, hashlib.sha256)


def greet_server(runtime: Runtime, connection: Connection, secret: str) -> None:
    """Run the client's side of the handshake; raise OSError on a wrong proof.

    Both sides contribute a nonce against replay of a recorded handshake. The role is
    part of the proof, so that a proof can't be reflected to its sender.
    """
    own_nonce = runtime.random.randbytes(NONCE_BYTES)
    nonces = connection.receive_exactly(NONCE_BYTES) + own_nonce
    connection.send(own_nonce + make_proof(secret, "client", nonces))
    proof = connection.receive_exactly(PROOF_BYTES)
    if not hmac.compare_digest(proof, make_proof(secret, "server", nonces)):
        raise ConnectionRefusedError("the peer doesn't know the peer secret")


def greet_client(runtime: Runtime, connection: Connection, secret: str) -> bool:
    """Run the server's side of the handshake; return False on a wrong proof."""
    own_nonce = runtime.random.randbytes(NONCE_BYTES)
    connection.send(own_nonce)
    nonces = own_nonce + connection.receive_exactly(NONCE_BYTES)
    proof = connection.receive_exactly(PROOF_BYTES)
    if not hmac.compare_digest(proof, make_proof(secret, "client", nonces)):
        return False
    connection.send(make_proof(secret, "server", nonces))
    return True


class PeerServer:
    """Serves the calls of peers, one task for each link."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        secret: str,
        handler: Any,
        count_event: Callable[[str], None],
    ):
        self._runtime = runtime
        self._secret = secret
        self._processor = Peer.Processor(handler)
        self._count_event = count_event
        self._listener: Listener = runtime.bind(address)
        self._active = 0
        self._idle: set[Connection] = set()
        self._lock = runtime.make_lock()
        self._draining = False

    @property
    def address(self) -> Address:
        """Return the address that peers connect to."""
        return self._listener.address

    def start(self) -> None:
        """Start accepting links."""
        self._listener.open()
        self._runtime.keep_running(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                connection = self._listener.accept()
            except OSError:
                if self._draining or not self._runtime.sleep_ms(ACCEPT_RETRY_MS):
                    return
                continue
            try:
                self._runtime.start(self._serve, connection)
            except (TaskLimitError, RuntimeError):
                self._count_event("peer_link_refused")
                connection.close()

    def _serve(self, connection: Connection) -> None:
        try:
            connection.set_timeout(HANDSHAKE_TIMEOUT_MS)
            if not greet_client(self._runtime, connection, self._secret):
                self._count_event("peer_rejected")
                return
            self._answer_calls(connection)
        except (OSError, EOFError, TException):
            # The peer disconnected or violated the protocol. The link is closed, and
            # the peer sees that as a lost call.
            return
        finally:
            with self._lock:
                self._idle.discard(connection)
            connection.close()

    def _answer_calls(self, connection: Connection) -> None:
        connection.set_timeout(None)
        protocol = make_protocol(connection)
        while self._wait_for_call(connection, protocol):
            token = _call_connection.set(connection)
            try:
                self._processor.process(protocol, protocol)
            finally:
                _call_connection.reset(token)
                with self._lock:
                    self._active -= 1

    def _wait_for_call(self, connection: Connection, protocol: Any) -> bool:
        """Wait for a call and count it as active; return False while draining."""
        with self._lock:
            if self._draining:
                return False
            self._idle.add(connection)
        protocol.trans.readFrame()
        with self._lock:
            self._idle.discard(connection)
            self._active += 1
        return True

    def drain(self, deadline_ms: float) -> bool:
        """Wait for running calls, then close idle links; return whether all ended.

        A link that is closed here carries no call, so the peer loses nothing.
        """
        self._listener.close()
        end_ms = self._runtime.clock.now_ms() + deadline_ms
        while self._runtime.clock.now_ms() < end_ms:
            with self._lock:
                if not self._active:
                    break
            self._runtime.clock.sleep_ms(5)
        with self._lock:
            self._draining = True
            idle = list(self._idle)
            ended = self._active == 0
        for connection in idle:
            connection.close()
        return ended


class PeerLink(NamedTuple):
    """An authenticated link with its thrift client."""

    connection: Connection
    client: Peer.Client


class PeerLinks:
    """A pool of links to all peers; a link carries one call at a time."""

    def __init__(self, runtime: Runtime, secret: str):
        self._runtime = runtime
        self._secret = secret
        self._lock = runtime.make_lock()
        self._idle_links: dict[Address, list[PeerLink]] = {}
        self._active: dict[Address, set[Connection]] = {}

    def call(
        self, address: Address, method: str, argument: Any, timeout_ms: float
    ) -> Result[Any, PeerError]:
        """Call `method` of the peer; return its reply, or why there is none."""
        try:
            link = self._acquire(address, timeout_ms)
        except (OSError, EOFError) as error:
            message = f"{address} can't be reached: {error}"
            is_unreachable = not isinstance(error, TimeoutError | LinkDroppedError)
            return Error(
                PeerError(message, may_have_run=False, is_unreachable=is_unreachable)
            )
        self._mark_active(address, link.connection)
        try:
            link.connection.set_timeout(max(1.0, timeout_ms))
            reply = getattr(link.client, method)(argument)
        except (OSError, EOFError, TException) as error:
            link.connection.close()
            return Error(
                PeerError(f"{address} gave no reply: {error}", may_have_run=True)
            )
        finally:
            self._mark_inactive(address, link.connection)
        self._release(address, link)
        return Ok(reply)

    def _mark_active(self, address: Address, connection: Connection) -> None:
        with self._lock:
            self._active.setdefault(address, set()).add(connection)

    def _mark_inactive(self, address: Address, connection: Connection) -> bool:
        """Return whether the connection was still active, and not dropped."""
        with self._lock:
            active = self._active.get(address, set())
            was_active = connection in active
            active.discard(connection)
        return was_active

    def drop(self, address: Address) -> int:
        """Close all links to a peer that is suspected dead; return how many had a call.

        A frozen peer keeps its connections open, and the kernel accepts new ones for
        it. Calls to it, also those that still open their link, would wait until their
        deadlines, though another daemon could settle their outcome earlier.
        """
        with self._lock:
            connections = list(self._active.pop(address, ()))
            idle = self._idle_links.pop(address, [])
        for connection in connections + [link.connection for link in idle]:
            connection.close()
        return len(connections)

    def _acquire(self, address: Address, timeout_ms: float) -> PeerLink:
        while True:
            with self._lock:
                idle = self._idle_links.get(address)
                link = idle.pop() if idle else None
            if link is None:
                return self._open(address, timeout_ms)
            # A link to a peer that has restarted is dead, and a call sent on it would
            # count as one that may have run. Checking the link first avoids that.
            if link.connection.is_quiet():
                return link
            link.connection.close()

    def _open(self, address: Address, timeout_ms: float) -> PeerLink:
        wait_ms = min(timeout_ms, HANDSHAKE_TIMEOUT_MS)
        connection = self._runtime.dial(address, max(1.0, wait_ms))
        self._mark_active(address, connection)
        try:
            connection.set_timeout(wait_ms)
            greet_server(self._runtime, connection, self._secret)
        except OSError as error:
            connection.close()
            if not self._mark_inactive(address, connection):
                raise LinkDroppedError("the peer is silent") from error
            raise
        transport = TFramedTransport(ConnectionTransport(connection))
        return PeerLink(connection, Peer.Client(NumberedProtocol(transport)))

    def _release(self, address: Address, link: PeerLink) -> None:
        with self._lock:
            idle = self._idle_links.setdefault(address, [])
            if len(idle) < MAX_IDLE_LINKS:
                idle.append(link)
                return
        link.connection.close()
