"""HTTP/1.1 as callers send it: bytes to requests, answers to bytes."""

import math
from collections import deque
from http import HTTPStatus
from typing import NamedTuple

import httptools

from bronzerelay.codes import Code, Refusal, refuse

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
JSON = "application/json"
# Each chunk of a chunked body has a line of its own. A caller could send mostly such
# lines, which count as no body; this bounds how much of it a request may carry.
FRAMING_FACTOR = 8
# What a header takes on the wire besides its name and value.
HEADER_FRAME_BYTES = 4
# Two different values would let a proxy in front judge by another one than we do.
SINGLE_HEADERS = frozenset({"authorization", "host", "content-type"})


class CallerRequest(NamedTuple):
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool


class Answer(NamedTuple):
    """What a caller gets; `headers` come on top of the usual ones."""

    status: int
    body: bytes
    content_type: str = JSON
    retry_after_ms: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class RefusedError(Exception):
    """Carries a refusal out of the parser's callbacks."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class RequestParser:
    """Turns a connection's bytes into requests, until a fault ends it.

    `requests` holds those that came whole, in order; `fault` is what is wrong with
    the bytes after them. `begun` says that a request has come in part.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.requests: deque[CallerRequest] = deque()
        self.fault: Refusal | None = None
        self.begun = False
        self._max_header_bytes = max_header_bytes
        self._max_body_bytes = max_body_bytes
        self._max_raw_bytes = max_header_bytes + FRAMING_FACTOR * max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._clear()

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the connection."""
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
            self.fault = _refuse_request("The daemon changes to no other protocol.")
        except httptools.HttpParserError as error:
            self.fault = _refuse_request(f"The request is not HTTP/1.1: {error}.")

    def take_continue(self) -> bool:
        """Return whether the caller waits for a `100 Continue`; True only once."""
        waits, self._waits = self._waits, False
        return waits

    # What httptools calls.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.begun = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._count_header(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Take a header, or a trailer, which is counted and dropped."""
        value = value or b""
        self._count_header(len(name) + len(value) + HEADER_FRAME_BYTES)
        if self._in_body:
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1").strip()
        if key in self._headers:
            if key in SINGLE_HEADERS:
                raise RefusedError(_refuse_request(f"The header {key} came twice."))
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_headers_complete(self) -> None:
        """Judge by the headers alone what can be judged."""
        self._in_body = True
        length = self._headers.get("content-length", "0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            raise RefusedError(self._refuse_body())
        self._waits = self._headers.get("expect", "").lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise RefusedError(self._refuse_body())
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Put the request into the queue."""
        if self._parser.should_upgrade():
            message = "The daemon changes to no other protocol."
            raise RefusedError(_refuse_request(message))
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            _read_path(self._url),
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        self.requests.append(request)
        self._clear()

    def _clear(self) -> None:
        self.begun = False
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._raw_bytes = 0
        self._in_body = False
        self._waits = False

    def _count_header(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self._max_header_bytes:
            raise RefusedError(self._refuse_headers())

    def _check_raw_bytes(self) -> None:
        # The parser reports a header only when its line is whole. One endless line
        # would fill the memory unreported, hence the count of the bytes themselves.
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
    # A caller of HEAD reads no body; one that came would count as its next answer.
    return head if method == "HEAD" else head + answer.body


def _refuse_request(message: str) -> Refusal:
    return refuse(Code.MALFORMED_REQUEST, message).error


def _read_path(url: bytes) -> str:
    try:
        path = httptools.parse_url(url).path
    except httptools.HttpParserInvalidURLError:
        path = None
    if not path:
        raise RefusedError(_refuse_request("The target of the request is malformed."))
    return path.decode("latin-1")
