"""Lines over a connection, bounded in length and time."""

from bronzerelay.runtime import Clock, Connection, ConnectionLostError

LINE_END = b"\r\n"
# The longest line that either side may send, in bytes: the size of one message.
MAX_LINE_BYTES = 1024 * 1024
# How long the rest of a line may take once its first byte is here, in milliseconds.
# Without it a caller that sends half a line holds a task for ever.
LINE_TIMEOUT_MS = 10_000


class LineTooLongError(ConnectionLostError):
    """The other side sent a line over the limit; the connection is of no more use."""


class LineReader:
    """Reads lines from one connection; bytes behind a line wait for the next call."""

    def __init__(self, connection: Connection, clock: Clock):
        self._connection = connection
        self._clock = clock
        self._buffer = bytearray()
        self._searched = 0

    def has_line(self) -> bool:
        """Return whether a whole line is here already."""
        return self._find_end() >= 0

    def _find_end(self) -> int:
        end = self._buffer.find(LINE_END, max(0, self._searched - 1))
        if end < 0:
            self._searched = len(self._buffer)
        return end

    def read_line(self, deadline_ms: float) -> bytes:
        """Return the next line without its end.

        Raise TimeoutError after `deadline_ms` (a point on the clock), LineTooLongError
        or ConnectionLostError.
        """
        while True:
            end = self._find_end()
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(LINE_END)]
                self._searched = 0
                return line
            if len(self._buffer) > MAX_LINE_BYTES:
                raise LineTooLongError(f"a line is over {MAX_LINE_BYTES} bytes")
            self._receive(deadline_ms)

    def _receive(self, deadline_ms: float) -> None:
        # A process that was paused until the deadline finds here what came meanwhile.
        left_ms = max(0, deadline_ms - self._clock.now_ms())
        self._connection.set_timeout(left_ms)
        try:
            data = self._connection.receive()
        except BlockingIOError:
            raise TimeoutError("no whole line in time") from None
        if not data:
            raise ConnectionLostError("the other side closed the connection")
        self._buffer += data
