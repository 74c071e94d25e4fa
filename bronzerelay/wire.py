"""HTTP/1.1 towards callers: parses requests and formats answers."""

import math
from collections import deque
from http import HTTPStatus
from typing import NamedTuple

import httptools

from bronzerelay.codes import Code, Refusal, refuse

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
JSON = "application/json"
# Each chunk of a chunked body has a header line, which doesn't count towards the body's
# size. This factor, times the largest body, bounds the raw bytes of a request, so that
# a caller can't send an endless request of mostly chunk headers.
FRAMING_FACTOR = 8
# The bytes of a header line besides its name and value: ": " and CRLF.
HEADER_OVERHEAD_BYTES = 4
# Headers that may occur only once: a proxy in front might use another of two values
# than the daemon does.
SINGLE_HEADERS = frozenset({"authorization", "host", "content-type"})


class CallerRequest(NamedTuple):
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class Answer(NamedTuple):
    """An answer to a caller; `headers` are sent in addition to the standard ones."""

    status: int
    body: bytes
    content_type: str = JSON
    retry_after_ms: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class RefusedError(Exception):
    """Raised in the parser's callbacks to refuse a request."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class RequestParser:
    """Parses a connection's bytes into requests, up to the first fault.

    `requests` holds the complete requests in order; `fault` is the refusal for the
    bytes after them. `has_partial_request` is set while a request is incomplete.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.requests: deque[CallerRequest] = deque()
        self.fault: Refusal | None = None
        self.has_partial_request = False
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._max_raw_bytes = max_header_bytes + FRAMING_FACTOR * max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._clear()

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection."""
        if self.fault is not None:
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_raw_bytes()
        except RefusedError as error:
            self.fault = error.refusal
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, RefusedError):
                raise
            self.fault = error.__context__.refusal
        except httptools.HttpParserUpgrade:
            self.fault = _refuse_malformed("The daemon changes to no other protocol.")
        except httptools.HttpParserError as error:
            self.fault = _refuse_malformed(f"The request is not HTTP/1.1: {error}.")

    def consume_expect_continue(self) -> bool:
        """Return whether the caller expects `100 Continue`; True once per request."""
        expects, self._expects_continue = self._expects_continue, False
        return expects

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.has_partial_request = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._count_header(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Store a header; a trailer only counts towards the limit and is discarded."""
        value = value or b""
        self._count_header(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if self._in_body:
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1").strip()
        if key in self._headers:
            if key in SINGLE_HEADERS:
                raise RefusedError(_refuse_malformed(f"The header {key} came twice."))
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_headers_complete(self) -> None:
        """Check the declared body length, and whether `100 Continue` is expected."""
        self._in_body = True
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            raise RefusedError(self._refuse_body())
        self._expects_continue = (
            self._headers.get("expect", "").lower() == "100-continue"
        )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise RefusedError(self._refuse_body())
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Append the complete request to `requests`."""
        if self._parser.should_upgrade():
            message = "The daemon changes to no other protocol."
            raise RefusedError(_refuse_malformed(message))
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            _parse_path(self._url),
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self.requests.append(request)
        self._clear()

    def _clear(self) -> None:
        self.has_partial_request = False
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._raw_bytes = 0
        self._in_body = False
        self._expects_continue = False

    def _count_header(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._max_header_bytes:
            raise RefusedError(self._refuse_headers())

    def _check_raw_bytes(self) -> None:
        # httptools reports a header only once its line is complete. An endless line
        # would fill the memory without any callback, so the raw bytes are counted too.
        if not self._in_body and self._raw_bytes > self._max_header_bytes:
            raise RefusedError(self._refuse_headers())
        if self._raw_bytes > self._max_raw_bytes:
            raise RefusedError(self._refuse_body())

    def _refuse_headers(self) -> Refusal:
        limit = self._max_header_bytes
        message = f"Request line and headers are larger than {limit} bytes."
        return refuse(Code.HEADERS_TOO_LARGE, message).error

    def _refuse_body(self) -> Refusal:
        message = f"The body is larger than {self._max_body_bytes} bytes."
        return refuse(Code.BODY_TOO_LARGE, message).error


def format_answer(
    answer: Answer, request_id: str, keep_alive: bool, method: str = ""
) -> bytes:
    """Return the bytes of an answer to a request of `method`."""
    lines = [
        f"HTTP/1.1 {answer.status} {HTTPStatus(answer.status).phrase}",
        f"Content-Type: {answer.content_type}",
        f"Content-Length: {len(answer.body)}",
        f"X-Request-Id: {request_id}",
    ]
    if answer.retry_after_ms > 0:
        lines.append(f"Retry-After: {math.ceil(answer.retry_after_ms / 1000)}")
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines.append("Connection: keep-alive" if keep_alive else "Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    # The caller expects no body after HEAD, and would take one for its next answer.
    return head if method == "HEAD" else head + answer.body


def _refuse_malformed(message: str) -> Refusal:
    return refuse(Code.MALFORMED_REQUEST, message).error


def _parse_path(url: bytes) -> str:
    try:
        path = httptools.parse_url(url).path
    except httptools.HttpParserInvalidURLError:
        path = None
    if not path:
        raise RefusedError(_refuse_malformed("The target of the request is malformed."))
    return path.decode("latin-1")
