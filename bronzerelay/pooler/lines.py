"""Reads lines from a connection, with limits on their length and time."""

from bronzerelay.runtime import Clock, Connection, ConnectionLostError

LINE_END = b"\r\n"
# The longest line that either side may send, in bytes. Each message is one line. One
# without its end may be read, but none with its end may be sent that is longer.
MAX_LINE_BYTES = 1024 * 1024
# How long the rest of a line may take after its first byte has arrived, in
# milliseconds. Without a limit, a caller that sends half a line would occupy a task
# forever.
LINE_TIMEOUT_MS = 10_000


class LineTooLongError(ConnectionLostError):
    """The other side sent a line over the limit; the connection can't be reused."""


class LineReader:
    """Reads lines from one connection and buffers the bytes that follow a line."""

    def __init__(self, connection: Connection, clock: Clock):
        self._connection = connection
        self._clock = clock
        self._buffer = bytearray()
        self._searched = 0
        # How many bytes have been received in all.
        self.received = 0

    def has_line(self) -> bool:
        """Return whether a complete line is buffered."""
        return self._find_end() >= 0

    def has_data(self) -> bool:
        """Return whether at least a part of the next line is buffered."""
        return bool(self._buffer)

    def _find_end(self) -> int:
        end = self._buffer.find(LINE_END, max(0, self._searched - 1))
        if end < 0:
            self._searched = len(self._buffer)
        return end

    def read_line(self, deadline_ms: float) -> bytes:
        """Return the next line without its end.

        Raise TimeoutError after `deadline_ms` (a time on the clock), LineTooLongError
        or ConnectionLostError.
        """
        while True:
            end = self._find_end()
            length = end if end >= 0 else len(self._buffer)
            if length > MAX_LINE_BYTES:
                raise LineTooLongError(f"a line is over {MAX_LINE_BYTES} bytes")
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(LINE_END)]
                self._searched = 0
                return line
            self._receive(deadline_ms)

    def _receive(self, deadline_ms: float) -> None:
        # With no time left, still read what has arrived: the process may have been
        # paused until after the deadline.
        left_ms = max(0, deadline_ms - self._clock.now_ms())
        self._connection.set_timeout(left_ms)
        try:
            data = self._connection.receive()
        except BlockingIOError:
            raise TimeoutError("no whole line in time") from None
        if not data:
            raise ConnectionLostError("the other side closed the connection")
        self._buffer += data
        self.received += len(data)
