"""The dialect of the endpoints: one JSON object a line, over TCP."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple, Required, TypedDict, TypeVar

import msgspec
from expression import Error, Ok, Result

from bronzerelay import registry
from bronzerelay.nesting import ANSWER_NESTING, check_nesting
from bronzerelay.runtime import Connection, Runtime
from bronzerelay.types import EndpointSpec, Statement

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

# Kinds of error that the client itself finds; the others are the endpoint's words.
UNREACHABLE = "unreachable"  # nothing was sent
LOST = "lost"  # the request may have run; the link is closed

# What a commit can be answered that leaves no transaction on the link.
ENDED_BY_COMMIT = frozenset(
    ["conflict", "cancelled", "no_transaction", "stale_term", "not_primary"]
)


class EndpointError(NamedTuple):
    """Why an endpoint gave no result; `term` is the one it names, if any."""

    kind: str
    message: str
    term: int = 0
    may_have_run: bool = False


class StatusAnswer(NamedTuple):
    """Where an instance stands."""

    term: int
    role: Literal["primary", "replica"]
    log_term: int
    position: int


class FenceAnswer(NamedTuple):
    """The end of the log of an instance that accepted a fence."""

    term: int
    log_term: int
    position: int


class PromoteAnswer(NamedTuple):
    """The position of the first entry of the new term."""

    term: int
    position: int


class FollowAnswer(NamedTuple):
    """The term under which the instance follows."""

    term: int


class ReadAnswer(NamedTuple):
    """A row's value, and the end of the log that it was read at."""

    value: Any
    log_term: int
    position: int


class WriteAnswer(NamedTuple):
    """A write's result, and the end of the log that holds it."""

    value: Any
    log_term: int
    position: int
    duplicate: bool


class SettleAnswer(NamedTuple):
    """Whether a request ran; a cancelled one never will.

    `duplicate` says that the outcome stood in the log before this call.
    """

    outcome: Literal["ran", "cancelled"]
    value: Any
    log_term: int
    position: int
    duplicate: bool


class BeginAnswer(NamedTuple):
    """A transaction is open."""


class CommitAnswer(NamedTuple):
    """The end of the log that holds the transaction."""

    log_term: int
    position: int
    duplicate: bool


class RollbackAnswer(NamedTuple):
    """No transaction is open any more."""


class WireAnswer(TypedDict, total=False):
    """Any answer, as it comes over the wire."""

    id: Required[int]
    ok: Required[bool]
    error: str
    message: str
    instance: str
    term: int
    role: Literal["primary", "replica"]
    log_term: int
    position: int
    value: Any
    duplicate: bool
    outcome: Literal["ran", "cancelled"]


AnswerType = TypeVar("AnswerType", bound=NamedTuple)

_decoder = msgspec.json.Decoder(WireAnswer)
_encoder = msgspec.json.Encoder()


class BrokenLinkError(Exception):
    """The link's state is in doubt, so it can't be used any more."""


class EndpointLink:
    """A connection to an endpoint; one task at a time may use it.

    A link in doubt is closed and never read again. Otherwise an answer that comes
    after its timeout, or one that belongs to another request, would be handed to
    the next caller as the answer to theirs.
    """

    def __init__(self, runtime: Runtime, connection: Connection):
        self.instance = ""
        self.closed = False
        self.in_transaction = False
        self._clock = runtime.clock
        self._connection = connection
        self._last_id = 0
        # An answer to an earlier request came once more.
        self._in_doubt = False

    def close(self) -> None:
        """Close the connection; the endpoint ends its transaction."""
        self.closed = True
        self._connection.close()

    def is_usable(self) -> bool:
        """Return whether the link is open and nothing unasked for has arrived."""
        if not self.closed and not self._connection.is_quiet():
            self.close()
        return not self.closed

    # For monitors

    def status(
        self, known_term: int, known_position: int, wait_ms: float, timeout_ms: float
    ) -> Result[StatusAnswer, EndpointError]:
        """Return the status once it differs from the known one or `wait_ms` passed.

        With `wait_ms` 0 it is returned at once.
        """
        fields = {
            "op": "status",
            "known_term": known_term,
            "known_position": known_position,
            "wait_ms": wait_ms,
        }
        return self._call(fields, timeout_ms, StatusAnswer)

    def fence(self, term: int, timeout_ms: float) -> Result[FenceAnswer, EndpointError]:
        """Let the instance accept a greater term and nothing below it."""
        return self._call({"op": "fence", "term": term}, timeout_ms, FenceAnswer)

    def promote(
        self, term: int, timeout_ms: float
    ) -> Result[PromoteAnswer, EndpointError]:
        """Make the instance primary of the term that it has accepted."""
        return self._call({"op": "promote", "term": term}, timeout_ms, PromoteAnswer)

    def follow(
        self, term: int, primary: str, timeout_ms: float
    ) -> Result[FollowAnswer, EndpointError]:
        """Let the instance follow the primary at `primary`, as HOST:PORT."""
        fields = {"op": "follow", "term": term, "primary": primary}
        return self._call(fields, timeout_ms, FollowAnswer)

    # For work

    def read(
        self, workspace: str, statement: Statement, timeout_ms: float
    ) -> Result[ReadAnswer, EndpointError]:
        """Run a reading statement."""
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
        """Run a writing statement, once for each `request_id`."""
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
        """Find out whether a request ran, and else see that it never will."""
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
        """Commit the transaction; any refusal but `busy` ends it too."""
        fields = {"op": "commit", "term": term, "request_id": request_id}
        result = self._call(fields, timeout_ms, CommitAnswer)
        if result.is_ok() or result.error.kind in ENDED_BY_COMMIT:
            self.in_transaction = False
        return result

    def rollback(self, timeout_ms: float) -> Result[RollbackAnswer, EndpointError]:
        """Give the transaction up."""
        result = self._call({"op": "rollback"}, timeout_ms, RollbackAnswer)
        self.in_transaction = self.in_transaction and result.is_error()
        return result

    # One question and its answer

    def greet(
        self, caller: str, kind: str, timeout_ms: float
    ) -> Result[None, EndpointError]:
        """Say hello as `caller`; the link is closed when that fails."""
        fields = {"op": "hello", "caller": caller, "kind": kind}
        answer = self._ask(fields, timeout_ms)
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
        answer = self._ask(fields, timeout_ms)
        if isinstance(answer, EndpointError):
            return Error(answer)
        try:
            return Ok(answer_type(*[answer[name] for name in answer_type._fields]))
        except KeyError as error:
            self.close()
            return Error(_lose(f"the answer to {fields['op']} lacks {error}"))

    def _ask(
        self, fields: dict[str, Any], timeout_ms: float
    ) -> WireAnswer | EndpointError:
        """Return the answer that carries the id of this very request."""
        # Bytes that wait before anything was asked are an answer to an earlier
        # request, or the end of the connection: found out here, the request is
        # certain not to have run.
        if not self.is_usable():
            return EndpointError(UNREACHABLE, "the link was closed before the request")
        self._last_id += 1
        question = _encoder.encode({"id": self._last_id, **fields}) + b"\n"
        try:
            answer = self._exchange(question, timeout_ms)
        except (OSError, BrokenLinkError, msgspec.MsgspecError) as error:
            self.close()
            return _lose(f"no sound answer to {fields['op']}: {error}")
        if self._in_doubt:
            self.close()
        if answer["ok"]:
            return answer
        return EndpointError(
            answer["error"], answer.get("message", ""), answer.get("term", 0)
        )

    def _exchange(self, question: bytes, timeout_ms: float) -> WireAnswer:
        end_ms = self._clock.now_ms() + timeout_ms
        self._connection.set_timeout(max(timeout_ms, 1))
        self._connection.send(question)
        while True:
            *earlier, line = self._receive_lines(end_ms).splitlines(keepends=True)
            # Which of two answers to this request is the right one can't be known.
            if any(self._read_answer(one)["id"] == self._last_id for one in earlier):
                raise BrokenLinkError("two answers came at once")
            answer = self._read_answer(line)
            if answer["id"] == self._last_id:
                return answer

    def _read_answer(self, line: bytes) -> WireAnswer:
        """Return the answer to this request, or to an earlier one of this link.

        An answer may come again when the next request is under way already. Taken for
        the next one's it would leave that in doubt; the link is closed afterwards.
        """
        if not check_nesting(line, ANSWER_NESTING):
            raise BrokenLinkError("its answer nests too deep")
        answer = _decoder.decode(line)
        if answer["id"] > self._last_id:
            raise BrokenLinkError("it answers another request")
        if answer["id"] < self._last_id:
            self._in_doubt = True
        if not answer["ok"] and "error" not in answer:
            raise BrokenLinkError("it refuses without an error word")
        return answer

    def _receive(self) -> bytes:
        try:
            return self._connection.receive()
        except BlockingIOError:
            raise TimeoutError("timed out") from None

    def _receive_lines(self, end_ms: float) -> bytes:
        """Return what was received once it ends a line."""
        line = b""
        while not line.endswith(b"\n"):
            left_ms = end_ms - self._clock.now_ms()
            # A process that was paused looks once: its answer may be there.
            if left_ms <= 0 and line:
                raise TimeoutError("timed out")
            self._connection.set_timeout(max(left_ms, 0))
            part = self._receive()
            if not part:
                raise BrokenLinkError("the endpoint closed the connection")
            line += part
            if len(line) > ANSWER_LIMIT_BYTES:
                raise BrokenLinkError("the answer is too long")
        return line


def _lose(message: str) -> EndpointError:
    return EndpointError(LOST, message, may_have_run=True)


@registry.register(registry.DIALECT, "json-lines")
def open_link(
    runtime: Runtime, spec: EndpointSpec, caller: str, kind: str, timeout_ms: float
) -> Result[EndpointLink, EndpointError]:
    """Return a link that has said hello, within `timeout_ms`.

    `kind` is `work` or `monitor`. A failure is `unreachable`, or a word of the
    endpoint's such as `too_many_connections`; either way nothing ran.
    """
    end_ms = runtime.clock.now_ms() + timeout_ms
    try:
        connection = runtime.dial(spec.address, max(timeout_ms, 1))
    except OSError as error:
        return Error(EndpointError(UNREACHABLE, f"{spec.name}: {error}"))
    link = EndpointLink(runtime, connection)
    greeted = link.greet(caller, kind, end_ms - runtime.clock.now_ms())
    if greeted.is_ok():
        return Ok(link)
    error = greeted.error
    if error.kind == LOST:
        error = EndpointError(UNREACHABLE, f"{spec.name}: {error.message}")
    return Error(error)
