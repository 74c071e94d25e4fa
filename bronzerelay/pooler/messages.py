"""The messages between callers, pooler and instances, independent of a wire format."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.codes import Refusal
from bronzerelay.types import Position

__all__ = ["Position"]


class Verb(enum.Enum):
    """The kind of a statement."""

    BEGIN = enum.auto()
    BEGIN_READ_ONLY = enum.auto()
    COMMIT = enum.auto()
    ROLLBACK = enum.auto()
    READ = enum.auto()
    WRITE = enum.auto()
    SET = enum.auto()
    PREPARE = enum.auto()
    EXECUTE = enum.auto()
    DEALLOCATE = enum.auto()


class TransactionState(enum.Enum):
    """The transaction state of a session after an answer."""

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class Startup(NamedTuple):
    """A caller's first message: the database to use and the caller's key."""

    database: str
    key: str


class Prepared(NamedTuple):
    """A prepared statement: whether it writes, and the shape of its query."""

    writes: bool
    shape: str


class Statement(NamedTuple):
    """One statement of a caller.

    `text` goes to an instance unchanged. `name` is the name of the session value in
    SET, and of the prepared statement in PREPARE, EXECUTE and DEALLOCATE. `value` is
    the value that SET assigns, `prepared` the statement that PREPARE defines, and
    `arguments` the arguments of EXECUTE.
    """

    id: str
    verb: Verb
    text: str
    name: str = ""
    value: str = ""
    prepared: Prepared | None = None
    arguments: str = ""


class Terminate(NamedTuple):
    """The caller ends its session."""


class Malformed(NamedTuple):
    """A line that can't be decoded; `id` is empty if the line has no readable id."""

    id: str
    reason: str


CallerMessage = Startup | Statement | Terminate | Malformed


class Fault(enum.Enum):
    """Why a statement got no result from an instance or from the link to it."""

    BUSY = enum.auto()  # not run: no slot
    UNPREPARED = enum.auto()  # not run: the prepared name is unknown
    LAGGING = enum.auto()  # not run: the log hasn't reached the required position
    READ_ONLY = enum.auto()  # not run: the instance isn't the primary
    WRONG_INSTANCE = enum.auto()  # not run: the address belongs to another one
    TOO_MANY_LINKS = enum.auto()  # not run: no connection is free
    ABORTED = enum.auto()  # the transaction was rolled back
    UNREACHABLE = enum.auto()  # nothing was sent
    FAILED = enum.auto()  # ran and failed
    TIMED_OUT = enum.auto()  # may have run
    LOST = enum.auto()  # may have run: the link ended before the answer
    REJECTED = enum.auto()  # any other error; unknown whether it ran
    UNSENDABLE = enum.auto()  # not run: the protocol has no way to write it


# Faults after which the statement has certainly not run.
NOT_RUN_FAULTS = frozenset(
    [
        Fault.BUSY,
        Fault.UNPREPARED,
        Fault.LAGGING,
        Fault.READ_ONLY,
        Fault.WRONG_INSTANCE,
        Fault.TOO_MANY_LINKS,
        Fault.UNREACHABLE,
        Fault.UNSENDABLE,
    ]
)


class Answer(NamedTuple):
    """An instance's complete answer to one statement.

    `position` is the end of the instance's log, None if the answer doesn't give it.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: Fault | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class AnswerPart(enum.Enum):
    """The kind of a line within an answer."""

    ROW = enum.auto()
    DONE = enum.auto()
    FAULT = enum.auto()
    READY = enum.auto()


class AnswerLine(NamedTuple):
    """One line of an answer; fields that this kind of line lacks are empty."""

    part: AnswerPart
    text: str = ""
    fault: Fault | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class InstanceStatus(NamedTuple):
    """An instance's role, its term and the end of the log that it has received."""

    is_primary: bool
    term: int
    received: Position


class LineCodec(NamedTuple):
    """The functions that encode and decode a platform's line protocol.

    Decoders get lines without their line end, encoders return lines with it. The
    `format_` functions return the text of a statement for `encode_query`.
    """

    decode_caller: Callable[[bytes, bool], CallerMessage]
    encode_ready: Callable[[TransactionState, Position | None], bytes]
    encode_answer: Callable[[Answer, TransactionState, Position | None], bytes]
    encode_refusal: Callable[[Refusal], bytes]
    encode_startup: Callable[[str, str, str], bytes]
    encode_query: Callable[[str, str, Position | None], bytes]
    decode_instance: Callable[[bytes], AnswerLine]
    format_begin: Callable[[bool], str]
    format_set: Callable[[str, str], str]
    format_prepare: Callable[[str, Prepared], str]
    format_execute: Callable[[str, str], str]
    format_discard: Callable[[], str]
    format_rollback: Callable[[], str]
    format_status: Callable[[], str]
    parse_status: Callable[[str], InstanceStatus | None]
