"""What callers, instances and the pooler say to each other, free of any wire format."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.codes import Refusal
from bronzerelay.types import Position

__all__ = ["Position"]


class Verb(enum.Enum):
    """What a statement asks for."""

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
    """Where a session stands after an answer."""

    IDLE = enum.auto()
    OPEN = enum.auto()
    FAILED = enum.auto()


class Startup(NamedTuple):
    """A caller's first message: the database it wants and the key it presents."""

    database: str
    key: str


class Prepared(NamedTuple):
    """What a prepared name stands for: a read or a write of a shape."""

    writes: bool
    shape: str


class Statement(NamedTuple):
    """One statement of a caller.

    `text` goes to an instance unchanged. `name` is the session value or the prepared
    name that SET, PREPARE, EXECUTE and DEALLOCATE concern, `value` what SET gives it,
    `prepared` what PREPARE gives it, `arguments` what EXECUTE passes on.
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
    """A line that is no message; `id` is empty when even that can't be read."""

    id: str
    reason: str


CallerMessage = Startup | Statement | Terminate | Malformed


class Fault(enum.Enum):
    """Why an instance or the link to it gave no result."""

    BUSY = enum.auto()  # not run: no slot
    UNPREPARED = enum.auto()  # not run: the prepared name is unknown
    LAGGING = enum.auto()  # not run: the log lacks the asked position
    READ_ONLY = enum.auto()  # not run: the instance doesn't lead
    WRONG_INSTANCE = enum.auto()  # not run: another instance stands at the address
    TOO_MANY_LINKS = enum.auto()  # not run: no connection is free
    ABORTED = enum.auto()  # nothing of the transaction is kept
    UNREACHABLE = enum.auto()  # nothing was sent
    FAILED = enum.auto()  # ran, without success
    TIMED_OUT = enum.auto()  # may have run
    LOST = enum.auto()  # may have run: the link ended before the answer
    REJECTED = enum.auto()  # any other error; nothing is known of it


# Faults after which nothing of the statement can have run.
NOT_RUN_FAULTS = frozenset(
    [
        Fault.BUSY,
        Fault.UNPREPARED,
        Fault.LAGGING,
        Fault.READ_ONLY,
        Fault.WRONG_INSTANCE,
        Fault.TOO_MANY_LINKS,
        Fault.UNREACHABLE,
    ]
)


class Answer(NamedTuple):
    """An instance's whole answer to one statement.

    `position` is the end of the log that the instance had, None when it named none.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: Fault | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class AnswerPart(enum.Enum):
    """Which part of an answer a line is."""

    ROW = enum.auto()
    DONE = enum.auto()
    FAULT = enum.auto()
    READY = enum.auto()


class AnswerLine(NamedTuple):
    """One line of an answer; the fields that its part doesn't have are empty."""

    part: AnswerPart
    text: str = ""
    fault: Fault | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class InstanceStatus(NamedTuple):
    """Where an instance stands: its role, its term and what it has received."""

    is_primary: bool
    term: int
    received: Position


class LineCodec(NamedTuple):
    """The functions that turn messages into lines and back; `platform` registers one.

    Lines are passed without their end. Encoders return whole lines with their end.
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
