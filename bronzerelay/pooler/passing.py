"""The messages with which a daemon passes statements on to a link holder.

Each message is a frame: its length in four bytes, then a msgpack array without the
empty fields at its end. Times are durations, since the clocks of two VMs differ. A
connection carries one request at a time; the holder's first frame on it says whether it
serves it.
"""

import enum
import struct
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from bronzerelay.codes import NOT_RUN, RAN, UNKNOWN, Code, Refusal
from bronzerelay.decoding import Whole, decode
from bronzerelay.pooler.messages import (
    Answer,
    Fault,
    Position,
    Prepared,
    TransactionState,
    Verb,
)
from bronzerelay.runtime import Clock, Connection, ConnectionLostError

# The longest frame of a request, in bytes: that of the longest line of a caller, and
# what is added to it.
MAX_FRAME_BYTES = 2 * 1024 * 1024
# The longest frame of a reply, in bytes. An answer may have several rows of 1 MiB.
MAX_REPLY_BYTES = 16 * 1024 * 1024
LENGTH = struct.Struct(">I")
RAN_WORDS = (NOT_RUN, RAN, UNKNOWN)
STATES = tuple(TransactionState)
# Why the answer of an instance isn't sent to the origin.
TOO_LONG_DETAIL = "its answer is too long to be passed on"


class Kind(enum.IntEnum):
    """What the holder is asked to do."""

    SINGLE = 0
    BEGIN = 1
    BEGIN_READ_ONLY = 2
    STATEMENT = 3  # in the open transaction of the connection
    ROLLBACK = 4


class Outcome(enum.IntEnum):
    """What the holder did."""

    ANSWERED = 0  # the instance has answered, or failed to
    REFUSED = 1  # not sent to the instance; the caller gets the refusal
    ELSEWHERE = 2  # not run, as the holder can't serve it; the origin goes direct
    REPLACED = 3  # not run, as the primary is being replaced


# Numbers of other daemons, which may be of another version, are checked as they are
# decoded. One out of range would mean something else, or end the task that uses it.
VerbNumber = Annotated[int, Meta(ge=0, le=len(Verb))]
StateNumber = Annotated[int, Meta(ge=0, lt=len(STATES))]
FaultNumber = Annotated[int, Meta(ge=0, le=len(Fault))]
RanNumber = Annotated[int, Meta(ge=0, lt=len(RAN_WORDS))]


class Request(Struct, array_like=True):
    """One statement for a holder; fields that are often empty come last.

    `text` holds the arguments if a prepared statement is executed. The floor is the
    position (`floor_term` - 1, `floor_number`), or none if `floor_term` is 0. In a
    transaction the instance and the workspace are those of its first statement.
    """

    kind: Kind
    id: str = ""
    text: str = ""
    verb: VerbNumber = 0
    left_ms: int = 0
    slot_left_ms: int = 0
    needs_primary: int = 0
    instance: str = ""
    born_ms: int = 0
    workspace: str = ""
    floor_term: int = 0
    floor_number: int = 0
    level: int = 0
    # 0 if nothing is prepared, 1 for a statement that reads, 2 for one that writes.
    prepared: Annotated[int, Meta(ge=0, le=2)] = 0
    shape: str = ""
    values: dict[str, str] = {}

    @property
    def floor(self) -> Position | None:
        """Return the position that the instance's log must have reached."""
        if not self.floor_term:
            return None
        return Position(self.floor_term - 1, self.floor_number)

    def find_prepared(self) -> Prepared | None:
        """Return the prepared statement to execute, or None."""
        return Prepared(self.prepared == 2, self.shape) if self.prepared else None


class Reply(Struct, array_like=True):
    """What a holder did with a request; fields that are often empty come last.

    `wait_ms` is how long a new statement would wait for a slot of the instance. The
    position is as in `Request`. `is_silent` says that the instance gave no answer.
    `detail` is the message of a refusal, the reason why the origin has to go direct, or
    what came with the instance's fault.
    """

    outcome: Outcome = Outcome.ANSWERED
    wait_ms: int = 0
    # Whether the holder is about to stop.
    is_stopping: int = 0
    signature: str = ""
    rows: tuple[str, ...] = ()
    term: Whole = 0
    number: Whole = 0
    state: StateNumber = 0
    fault: FaultNumber = 0
    detail: str = ""
    is_silent: int = 0
    code: Code = Code.OK
    ran: RanNumber = 0
    retry_after_ms: Whole = 0

    def find_answer(self) -> Answer:
        """Return the instance's answer."""
        return Answer(
            tuple(self.rows),
            self.signature,
            Fault(self.fault) if self.fault else None,
            self.detail,
            STATES[self.state],
            Position(self.term - 1, self.number) if self.term else None,
        )

    def find_refusal(self) -> Refusal:
        """Return the refusal for the caller."""
        return Refusal(self.code, self.detail, RAN_WORDS[self.ran], self.retry_after_ms)


def make_answer_reply(answer: Answer, is_silent: bool) -> Reply:
    """Return the reply with an instance's answer."""
    position = answer.position
    return Reply(
        signature=answer.signature,
        rows=answer.rows,
        term=position.term + 1 if position else 0,
        number=position.position if position else 0,
        state=STATES.index(answer.state),
        fault=answer.fault.value if answer.fault else 0,
        detail=answer.detail,
        is_silent=int(is_silent),
    )


def make_refusal_reply(refusal: Refusal) -> Reply:
    """Return the reply with a refusal for the caller."""
    return Reply(
        Outcome.REFUSED,
        detail=refusal.message,
        code=refusal.code,
        ran=RAN_WORDS.index(refusal.ran),
        retry_after_ms=refusal.retry_after_ms,
    )


def encode_reply(reply: Reply) -> bytes:
    """Return the frame of a reply; a fault takes the place of rows that are too long.

    The origin would break the connection off, and avoid this daemon.
    """
    frame = encode_frame(reply)
    if len(frame) <= MAX_REPLY_BYTES:
        return frame
    return encode_frame(
        msgspec.structs.replace(
            reply,
            signature="",
            rows=(),
            fault=Fault.REJECTED.value,
            detail=TOO_LONG_DETAIL,
        )
    )


def encode_frame(message: Struct) -> bytes:
    """Return the frame of a message."""
    fields: list[Any] = list(msgspec.structs.astuple(message))
    while len(fields) > 1 and not fields[-1]:
        fields.pop()
    body = msgspec.msgpack.encode(fields)
    return LENGTH.pack(len(body)) + body


class FrameReader:
    """Reads frames of one type from one connection."""

    def __init__(
        self,
        connection: Connection,
        clock: Clock,
        message_type: type,
        max_bytes: int = MAX_FRAME_BYTES,
    ):
        self._max_bytes = max_bytes
        self._connection = connection
        self._clock = clock
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._buffer = bytearray()

    def has_data(self) -> bool:
        """Return whether at least a part of the next frame was received."""
        return bool(self._buffer)

    def read(self, deadline_ms: float) -> Any:
        """Return the next message.

        Raise TimeoutError after `deadline_ms` (a time on the clock), another OSError if
        the connection ends, or ValueError.
        """
        self._fill(LENGTH.size, deadline_ms)
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self._max_bytes:
            raise ConnectionLostError(f"a frame is over {self._max_bytes} bytes")
        end = LENGTH.size + length
        self._fill(end, deadline_ms)
        message = decode(self._decoder, bytes(self._buffer[LENGTH.size : end]))
        del self._buffer[:end]
        return message

    def _fill(self, count: int, deadline_ms: float) -> None:
        while len(self._buffer) < count:
            # With no time left, still read what has arrived: the process may have been
            # paused until after the deadline.
            left_ms = max(0, deadline_ms - self._clock.now_ms())
            self._connection.set_timeout(left_ms)
            try:
                data = self._connection.receive()
            except BlockingIOError:
                raise TimeoutError("no whole frame in time") from None
            if not data:
                raise ConnectionLostError("the other side closed the connection")
            self._buffer += data
