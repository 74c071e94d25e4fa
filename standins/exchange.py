"""HTTP requests over a pool of keep-alive connections."""

import contextlib
from typing import NamedTuple

import httptools

from bronzerelay.runtime import Address, Connection, ConnectionLostError, Runtime


class HttpAnswer(NamedTuple):
    """A complete answer; the names of its headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class AnswerReader:
    """Collects one answer; its methods are the callbacks of the parser."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.keep_alive = False
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False

    def on_message_begin(self) -> None:
        """Reject a second answer, which would be mixed up with the first."""
        if self.is_complete:
            raise ValueError("more than one answer came")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the answer as complete.

        Only in this callback does the parser know whether the connection stays open.
        Later it expects the next answer, and `should_keep_alive` is always false.
        """
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()
        self.is_complete = True

    def feed(self, data: bytes) -> None:
        """Parse the next bytes; raise ConnectionLostError if that fails."""
        if not data:
            raise ConnectionLostError("the daemon closed the connection")
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ConnectionLostError(f"the answer is invalid: {error}") from error

    def make_answer(self) -> HttpAnswer:
        """Return the answer, which must be complete."""
        return HttpAnswer(self.status, self.headers, bytes(self.body), self.keep_alive)


class HttpLink:
    """One connection to a daemon, for one request at a time."""

    def __init__(self, runtime: Runtime, connection: Connection):
        self._clock = runtime.clock
        self._connection = connection

    def exchange(self, request: bytes, timeout_ms: float) -> HttpAnswer:
        """Send a request and return its answer; raise OSError when none comes."""
        end_ms = self._clock.now_ms() + timeout_ms
        self._connection.set_timeout(timeout_ms)
        self._connection.send(request)
        reader = AnswerReader()
        while not reader.is_complete:
            remaining_ms = end_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                raise TimeoutError(f"no complete answer within {timeout_ms:.0f} ms")
            self._connection.set_timeout(remaining_ms)
            reader.feed(self._connection.receive())
        return reader.make_answer()

    def is_open(self) -> bool:
        """Return whether an idle connection can be used again.

        A daemon that stops closes its idle connections. A request sent over one of them
        would be lost, and would be recorded as cut off by a planned stop.
        """
        self._connection.set_timeout(0)
        try:
            self._connection.receive(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class LinkPool:
    """Idle connections to the daemons, shared by all callers of a process."""

    def __init__(self, runtime: Runtime, addresses: dict[str, Address]):
        self.addresses = addresses
        self._runtime = runtime
        self._lock = runtime.make_lock()
        self._idle: dict[str, list[HttpLink]] = {name: [] for name in addresses}

    def take(self, daemon: str, timeout_ms: float) -> HttpLink:
        """Return a connection that is open, or raise OSError."""
        while link := self._pop(daemon):
            if link.is_open():
                return link
            link.close()
        connection = self._runtime.dial(self.addresses[daemon], timeout_ms)
        return HttpLink(self._runtime, connection)

    def _pop(self, daemon: str) -> HttpLink | None:
        with self._lock:
            idle = self._idle[daemon]
            return idle.pop() if idle else None

    def give_back(self, daemon: str, link: HttpLink) -> None:
        """Return a connection to the pool; its last answer must be complete."""
        with self._lock:
            self._idle[daemon].append(link)

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            for idle in self._idle.values():
                idle.clear()
        for link in links:
            with contextlib.suppress(OSError):
                link.close()


def build_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of an HTTP/1.1 request that keeps the connection open."""
    lines = [f"{method} {path} HTTP/1.1", "Host: bronzerelay"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
