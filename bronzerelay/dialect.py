"""The endpoints' protocol, called dialect: one JSON object per line, over TCP."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple, Required, TypedDict, TypeVar

import msgspec
from expression import Error, Ok, Result

from bronzerelay import registry
from bronzerelay.decoding import Whole
from bronzerelay.nesting import ANSWER_NESTING, check_nesting
from bronzerelay.runtime import Connection, Runtime
from bronzerelay.types import EndpointSpec, Statement

LINE_END = b"\n"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# How long to wait for the rest of a repeated answer, in milliseconds.
REPEATED_ANSWER_MS = 100

# Kinds of errors detected by this client; all other kinds are sent by the endpoint.
UNREACHABLE = "unreachable"  # nothing was sent
BUSY = "busy"  # the endpoint has no slot free; nothing ran
LOST = "lost"  # the request may have run; the link is closed

# Kinds of errors of a commit after which no transaction is open on the link.
TRANSACTION_ENDING_ERRORS = frozenset(
    ["conflict", "cancelled", "no_transaction", "stale_term", "not_primary"]
)


class EndpointError(NamedTuple):
    """Why an endpoint gave no result; `term` is the term in its answer, if any."""

    kind: str
    message: str
    term: int = 0
    may_have_run: bool = False


class StatusAnswer(NamedTuple):
    """An instance's term, its role and the end of its log."""

    term: int
    role: Literal["primary", "replica"]
    log_term: int
    position: int


class FenceAnswer(NamedTuple):
    """The end of the log of an instance that accepted the term."""

    term: int
    log_term: int
    position: int


class PromoteAnswer(NamedTuple):
    """The position of the first entry of the new term."""

    term: int
    position: int


class FollowAnswer(NamedTuple):
    """The term at which the instance follows the primary."""

    term: int


class ReadAnswer(NamedTuple):
    """A row's value, and the end of the log when it was read."""

    value: Any
    log_term: int
    position: int


class WriteAnswer(NamedTuple):
    """A write's result, and the end of the log that contains the write."""

    value: Any
    log_term: int
    position: int
    duplicate: bool


class SettleAnswer(NamedTuple):
    """Whether a request ran; a cancelled one will never run.

    `duplicate` is true if the outcome was in the log before this call.
    """

    outcome: Literal["ran", "cancelled"]
    value: Any
    log_term: int
    position: int
    duplicate: bool


class BeginAnswer(NamedTuple):
    """A transaction is open."""


class CommitAnswer(NamedTuple):
    """The end of the log that contains the transaction."""

    log_term: int
    position: int
    duplicate: bool


class RollbackAnswer(NamedTuple):
    """The transaction is rolled back."""


class WireAnswer(TypedDict, total=False):
    """Any answer, as it is received."""

    id: Required[Whole]
    ok: Required[bool]
    error: str
    message: str
    instance: str
    term: Whole
    role: Literal["primary", "replica"]
    log_term: Whole
    position: Whole
    value: Any
    duplicate: bool
    outcome: Literal["ran", "cancelled"]


AnswerType = TypeVar("AnswerType", bound=NamedTuple)

_decoder = msgspec.json.Decoder(WireAnswer)
_encoder = msgspec.json.Encoder()


class BrokenLinkError(Exception):
    """The link's state is in doubt, so it can't be used any more."""


class EndpointLink:
    """A connection to an endpoint that speaks its protocol, for one task at a time.

    A link whose state is in doubt is closed and never read again. Otherwise a late
    answer, or one that belongs to another request, would be returned to the next caller
    as the answer to theirs.
    """

    def __init__(self, runtime: Runtime, connection: Connection):
        self.instance = ""
        self.closed = False
        self.in_transaction = False
        self._clock = runtime.clock
        self._connection = connection
        self._last_id = 0
        # Whether an earlier request was answered a second time.
        self._got_repeated_answer = False

    def close(self) -> None:
        """Close the connection; the endpoint rolls back an open transaction."""
        self.closed = True
        self._connection.close()

    def is_usable(self) -> bool:
        """Return whether the link is open and no unexpected bytes have arrived.

        After a repeated answer it is used only until its transaction has ended.
        """
        must_close = self._got_repeated_answer and not self.in_transaction
        if not self.closed and (must_close or not self._connection.is_quiet()):
            self.close()
        return not self.closed

    # Operations of monitor links

    def status(
        self, known_term: int, known_position: int, wait_ms: float, timeout_ms: float
    ) -> Result[StatusAnswer, EndpointError]:
        """Return the status once it differs from the known one or after `wait_ms`."""
        fields = {
            "op": "status",
            "known_term": known_term,
            "known_position": known_position,
            "wait_ms": wait_ms,
        }
        return self._call(fields, timeout_ms, StatusAnswer)

    def fence(self, term: int, timeout_ms: float) -> Result[FenceAnswer, EndpointError]:
        """Make the instance accept a higher term and reject lower ones."""
        return self._call({"op": "fence", "term": term}, timeout_ms, FenceAnswer)

    def promote(
        self, term: int, timeout_ms: float
    ) -> Result[PromoteAnswer, EndpointError]:
        """Make the instance the primary of the term that it has accepted."""
        return self._call({"op": "promote", "term": term}, timeout_ms, PromoteAnswer)

    def follow(
        self, term: int, primary: str, timeout_ms: float
    ) -> Result[FollowAnswer, EndpointError]:
        """Make the instance follow the primary at address `primary`, as HOST:PORT."""
        fields = {"op": "follow", "term": term, "primary": primary}
        return self._call(fields, timeout_ms, FollowAnswer)

    # Operations of work links

    def read(
        self, workspace: str, statement: Statement, timeout_ms: float
    ) -> Result[ReadAnswer, EndpointError]:
        """Run a statement that reads."""
        fields = {"op": "read", "workspace": workspace, "statement": statement}
        return self._call(fields, timeout_ms, ReadAnswer)

    def write(
        self,
        workspace: str,
        term: int,
        statement: Statement,
        request_id: str,
        timeout_ms: float,
    ) -> Result[WriteAnswer, EndpointError]:
        """Run a statement that writes, once for each `request_id`."""
        fields = {
            "op": "write",
            "workspace": workspace,
            "term": term,
            "statement": statement,
            "request_id": request_id,
        }
        return self._call(fields, timeout_ms, WriteAnswer)

    def settle(
        self, term: int, request_id: str, timeout_ms: float
    ) -> Result[SettleAnswer, EndpointError]:
        """Determine whether a request ran; if it didn't, cancel it for good."""
        fields = {"op": "settle", "term": term, "request_id": request_id}
        return self._call(fields, timeout_ms, SettleAnswer)

    def begin(
        self, workspace: str, term: int, timeout_ms: float
    ) -> Result[BeginAnswer, EndpointError]:
        """Open a transaction on this link."""
        fields = {"op": "begin", "workspace": workspace, "term": term}
        result = self._call(fields, timeout_ms, BeginAnswer)
        self.in_transaction = self.in_transaction or result.is_ok()
        return result

    def commit(
        self, term: int, request_id: str, timeout_ms: float
    ) -> Result[CommitAnswer, EndpointError]:
        """Commit; any error that the endpoint sends except `busy` ends it as well."""
        fields = {"op": "commit", "term": term, "request_id": request_id}
        result = self._call(fields, timeout_ms, CommitAnswer)
        if result.is_ok() or result.error.kind in TRANSACTION_ENDING_ERRORS:
            self.in_transaction = False
        return result

    def rollback(self, timeout_ms: float) -> Result[RollbackAnswer, EndpointError]:
        """Roll the transaction back."""
        result = self._call({"op": "rollback"}, timeout_ms, RollbackAnswer)
        self.in_transaction = self.in_transaction and result.is_error()
        return result

    # One request and its answer

    def shake_hands(
        self, caller: str, kind: str, timeout_ms: float
    ) -> Result[None, EndpointError]:
        """Do the handshake as `caller`; close the link if that fails."""
        fields = {"op": "hello", "caller": caller, "kind": kind}
        answer = self._request(fields, timeout_ms)
        if isinstance(answer, EndpointError):
            self.close()
            return Error(answer)
        self.instance = answer.get("instance", "")
        return Ok(None)

    def _call(
        self,
        fields: dict[str, Any],
        timeout_ms: float,
        answer_type: Callable[..., AnswerType],
    ) -> Result[AnswerType, EndpointError]:
        answer = self._request(fields, timeout_ms)
        if isinstance(answer, EndpointError):
            return Error(answer)
        try:
            return Ok(answer_type(*[answer[name] for name in answer_type._fields]))
        except KeyError as error:
            self.close()
            return Error(
                _make_lost_error(f"the answer to {fields['op']} lacks {error}")
            )

    def _request(
        self, fields: dict[str, Any], timeout_ms: float
    ) -> WireAnswer | EndpointError:
        """Send a request and return the answer that has the request's id."""
        # Bytes received before the request is sent are an answer to an earlier request,
        # or the end of the connection. Detected here, the request certainly hasn't run.
        if self.in_transaction:
            self._discard_repeated_answers()
        if not self.is_usable():
            return EndpointError(UNREACHABLE, "the link was closed before the request")
        self._last_id += 1
        request = _encoder.encode({"id": self._last_id, **fields}) + LINE_END
        try:
            answer = self._exchange(request, timeout_ms)
        except (OSError, BrokenLinkError, msgspec.MsgspecError) as error:
            self.close()
            return _make_lost_error(f"no sound answer to {fields['op']}: {error}")
        if self._got_repeated_answer and not self.in_transaction:
            self.close()
        if answer["ok"]:
            return answer
        return EndpointError(
            answer["error"], answer.get("message", ""), answer.get("term", 0)
        )

    def _discard_repeated_answers(self) -> None:
        """Read the answers to earlier requests that have arrived a second time.

        Closing the link for one would lose an open transaction, although its statements
        ran and the ids of the answers tell the repeated one apart.
        """
        try:
            while not self.closed and not self._connection.is_quiet():
                end_ms = self._clock.now_ms() + REPEATED_ANSWER_MS
                for line in self._receive_lines(end_ms):
                    self._read_answer(line)
                self._got_repeated_answer = True
        except (OSError, BrokenLinkError, msgspec.MsgspecError):
            self.close()

    def _exchange(self, request: bytes, timeout_ms: float) -> WireAnswer:
        end_ms = self._clock.now_ms() + timeout_ms
        self._connection.set_timeout(max(timeout_ms, 1))
        self._connection.send(request)
        while True:
            *previous, last = self._receive_lines(end_ms)
            # With two answers to this request, the right one can't be determined.
            if any(self._read_answer(line)["id"] == self._last_id for line in previous):
                raise BrokenLinkError("two answers came at once")
            answer = self._read_answer(last)
            if answer["id"] == self._last_id:
                return answer

    def _read_answer(self, line: bytes) -> WireAnswer:
        """Return the answer to this request, or to an earlier one of this link.

        An earlier answer may be repeated while this request is under way. That must not
        make the outcome of this request unknown; the link is closed afterwards, or when
        its transaction has ended.
        """
        if not check_nesting(line, ANSWER_NESTING):
            raise BrokenLinkError("its answer nests too deep")
        answer = _decoder.decode(line)
        if answer["id"] > self._last_id:
            raise BrokenLinkError("it answers another request")
        if answer["id"] < self._last_id:
            self._got_repeated_answer = True
        if not answer["ok"] and "error" not in answer:
            raise BrokenLinkError("it refuses without an error word")
        return answer

    def _receive(self) -> bytes:
        try:
            return self._connection.receive()
        except BlockingIOError:
            raise TimeoutError("timed out") from None

    def _receive_lines(self, end_ms: float) -> list[bytes]:
        """Return the received lines once the bytes end with a line feed.

        A carriage return ends no line: JSON allows it between values.
        """
        data = b""
        while not data.endswith(LINE_END):
            left_ms = end_ms - self._clock.now_ms()
            # Receives at least once, as the answer may have come while this process
            # was paused.
            if left_ms <= 0 and data:
                raise TimeoutError("timed out")
            self._connection.set_timeout(max(left_ms, 0))
            chunk = self._receive()
            if not chunk:
                raise BrokenLinkError("the endpoint closed the connection")
            data += chunk
            if len(data) > MAX_ANSWER_BYTES:
                raise BrokenLinkError("the answer is too long")
        return data.split(LINE_END)[:-1]


def _make_lost_error(message: str) -> EndpointError:
    return EndpointError(LOST, message, may_have_run=True)


@registry.register(registry.DIALECT, "json-lines")
def open_link(
    runtime: Runtime, spec: EndpointSpec, caller: str, kind: str, timeout_ms: float
) -> Result[EndpointLink, EndpointError]:
    """Return a link after its handshake, within `timeout_ms`.

    `kind` is `work` or `monitor`. The kind of the error is `unreachable`, or one that
    the endpoint sent, such as `too_many_connections`; in either case nothing ran.
    """
    end_ms = runtime.clock.now_ms() + timeout_ms
    try:
        connection = runtime.dial(spec.address, max(timeout_ms, 1))
    except OSError as error:
        return Error(EndpointError(UNREACHABLE, f"{spec.name}: {error}"))
    link = EndpointLink(runtime, connection)
    handshake = link.shake_hands(caller, kind, end_ms - runtime.clock.now_ms())
    if handshake.is_ok():
        return Ok(link)
    error = handshake.error
    if error.kind == LOST:
        error = EndpointError(UNREACHABLE, f"{spec.name}: {error.message}")
    return Error(error)
