"""A small HTTP/1.1 client and page server on the runtime's connections.

The parser is `httptools`, because importing `urllib3` or `http.client` adds 12 MB or 5
MB to the resident size of a process (measured on Linux with Python 3.11).
"""

import math
import re
from collections.abc import Callable
from typing import NamedTuple

import httptools

from bronzerelay.runtime import (
    Address,
    Connection,
    ConnectionLostError,
    Listener,
    Runtime,
    Signal,
    TaskLimitError,
)

# The longest body that is accepted, in bytes. It has room for a page of items of the
# platform's store, whose values are encoded in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024
# How long an idle connection to a page server stays open, in milliseconds.
SERVER_IDLE_MS = 15_000
CONNECT_TIMEOUT_MS = 500
# The longest path of a request to a page server, in bytes.
MAX_PATH_BYTES = 4096
# What would end a part of a request's head or isn't read as a part of it, such as
# blanks around a header's value.
UNSAFE_IN_PATH = re.compile(r"[^!-~]")
UNSAFE_IN_HEADER = re.compile(r"[\x00-\x1f\x7f]|^ | $")
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpResponse(NamedTuple):
    """A response: its status and its whole body."""

    status: int
    body: bytes


class HttpCallError(Exception):
    """A call got no complete response; `may_have_run` if it may have been executed."""

    def __init__(self, message: str, may_have_run: bool):
        super().__init__(message)
        self.may_have_run = may_have_run


class _Collector:
    """Collects one message from httptools' callbacks.

    They raise ValueError for a message that is too long, and for one that follows
    before it was asked for. Its parts would be added to those of the first one.
    """

    def __init__(self):
        self.body = bytearray()
        self.url = b""
        self.complete = False

    def on_message_begin(self) -> None:
        if self.complete:
            raise ValueError("a second message follows at once")

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_PATH_BYTES:
            raise ValueError(f"a path is over {MAX_PATH_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError(f"a body is over {MAX_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        self.complete = True


class HttpClient:
    """Calls one server over one connection, which is kept open between calls."""

    def __init__(self, runtime: Runtime, address: Address):
        self._runtime = runtime
        self._clock = runtime.clock
        self._address = address
        self._lock = runtime.make_lock()
        self._connection: Connection | None = None
        # Counts the bytes of each call, sent and received.
        self.count_bytes: Callable[[int], None] = lambda count: None

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: float,
        headers: dict[str, str] | None = None,
        send_by_ms: float = math.inf,
    ) -> HttpResponse:
        """Return the response, or raise HttpCallError within `timeout_ms`.

        The request isn't sent after `timeout_ms`, or after `send_by_ms` of the clock,
        for instance because the process was frozen while it connected.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        request = self._encode(method, path, body, headers or {})
        with self._lock:
            connection = self._connect(timeout_ms)
            if self._clock.now_ms() > min(deadline_ms, send_by_ms):
                raise HttpCallError(f"{self._address}: too late to send", False)
            try:
                connection.set_timeout(timeout_ms)
                connection.send(request)
                self.count_bytes(len(request))
                answer, keep_alive = self._receive(connection, deadline_ms)
            except (OSError, ValueError, httptools.HttpParserError) as error:
                # A late response would be taken for the response to the next call, and
                # a request that is held up would be executed when nobody expects it.
                connection.abort()
                self._connection = None
                raise HttpCallError(f"{self._address}: {error}", True) from None
            if not keep_alive:
                self._close_connection()
            return answer

    def _connect(self, timeout_ms: float) -> Connection:
        if self._connection is not None and not self._connection.is_quiet():
            self._close_connection()
        if self._connection is None:
            limit_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
            try:
                self._connection = self._runtime.dial(self._address, limit_ms)
            except OSError as error:
                message = f"{self._address} can't be reached: {error}"
                raise HttpCallError(message, False) from None
        return self._connection

    def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _encode(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Return the request; raise HttpCallError if its head would be misread."""
        if UNSAFE_IN_PATH.search(path):
            raise HttpCallError(f"{path!r} can't be a path", False)
        for name, value in headers.items():
            if UNSAFE_IN_HEADER.search(value):
                raise HttpCallError(f"{value!r} can't be the value of {name}", False)
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body:
            head += "Content-Type: application/json\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    def _receive(
        self, connection: Connection, deadline_ms: float
    ) -> tuple[HttpResponse, bool]:
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.complete:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise TimeoutError("no whole response in time")
            connection.set_timeout(left_ms)
            data = connection.receive()
            if not data:
                raise ConnectionLostError("the connection ended before the response")
            self.count_bytes(len(data))
            parser.feed_data(data)
        answer = HttpResponse(parser.get_status_code(), bytes(collector.body))
        return answer, parser.should_keep_alive()

    def interrupt(self) -> None:
        """Interrupt a call that another task is waiting for."""
        connection = self._connection
        if connection is not None:
            connection.close()


# Returns the response for a path.
Page = Callable[[str], HttpResponse]


# The pause after a connection couldn't be accepted, in milliseconds.
ACCEPT_RETRY_MS = 50


class PageServer:
    """Serves GET requests on one address with the responses of `page`."""

    def __init__(self, runtime: Runtime, address: Address, page: Page, ending: Signal):
        self._runtime = runtime
        self._page = page
        self._ending = ending
        self._listener: Listener = runtime.listen(address)

    @property
    def address(self) -> Address:
        """Return where the server listens."""
        return self._listener.address

    def run(self) -> None:
        """Accept connections until the daemon ends."""
        while self._listener.wait_readable(self._ending):
            try:
                connection = self._listener.accept()
            except OSError:
                if not self._runtime.sleep_ms(ACCEPT_RETRY_MS):
                    return
                continue
            try:
                self._runtime.start(self._serve, connection)
            except TaskLimitError:
                connection.close()

    def _serve(self, connection: Connection) -> None:
        try:
            while connection.wait_readable(SERVER_IDLE_MS, self._ending):
                if not self._serve_one(connection):
                    return
        except (OSError, ValueError, httptools.HttpParserError):
            # The client disconnected or didn't send HTTP; it gets no response.
            return
        finally:
            connection.close()

    def _serve_one(self, connection: Connection) -> bool:
        collector = _Collector()
        parser = httptools.HttpRequestParser(collector)
        connection.set_timeout(SERVER_IDLE_MS)
        while not collector.complete:
            data = connection.receive()
            if not data:
                return False
            parser.feed_data(data)
        answer = self._page(collector.url.decode("latin-1"))
        reason = REASONS.get(answer.status, "")
        head = (
            f"HTTP/1.1 {answer.status} {reason}\r\n"
            f"Content-Length: {len(answer.body)}\r\n\r\n"
        )
        connection.send(head.encode() + answer.body)
        return parser.should_keep_alive()
