"""The structured log: one JSON line per event, with a bounded queue."""

import os
import sys
from collections import deque
from typing import Any

import msgspec

from bronzerelay.pooler.texts import shorten
from bronzerelay.runtime import Runtime

# The most lines that may wait to be written. A reader of the log that stalls must not
# delay callers, so lines beyond this are dropped and counted.
MAX_QUEUED_LINES = 2_000
# The most bytes of lines that may wait. Lines usually have some hundred bytes, but
# those that hold callers' texts may have many more.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# The longest text of a field, in characters. A traceback has up to a few thousand, and
# a text of a caller up to a million.
MAX_FIELD_LENGTH = 2_000
# The token bucket for lines that requests cause, in lines a second; its burst is the
# same number. Without it a brief fault would write thousands of similar lines and use
# processor time that callers need.
REQUEST_LINES_PER_S = 120
# The interval at which queued lines are written, in milliseconds.
FLUSH_MS = 200
STDOUT = 1


class EventLog:
    """Queues events from any task; its own task writes them to standard output."""

    def __init__(self, runtime: Runtime, node: str, descriptor: int = STDOUT):
        self._runtime = runtime
        self._node = node
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._encoder = msgspec.json.Encoder()
        self._tokens = float(REQUEST_LINES_PER_S)
        self._refilled_at_ms = runtime.clock.now_ms()
        self.dropped = 0
        self._reported_drops = 0

    def write(self, part: str, message: str, **fields: Any) -> None:
        """Queue one event of a part of the daemon, with its fields."""
        is_full = len(self._lines) >= MAX_QUEUED_LINES
        if is_full or self._queued_bytes >= MAX_QUEUED_BYTES:
            self.dropped += 1
            return
        for name, value in fields.items():
            if isinstance(value, str):
                fields[name] = shorten(value, MAX_FIELD_LENGTH)
        event = {
            "time_ms": round(self._runtime.clock.wall_ms()),
            "steady_ms": round(self._runtime.clock.now_ms(), 1),
            "node": self._node,
            "part": part,
            "message": f"{part}: {message}",
            **fields,
        }
        try:
            line = self._encoder.encode(event) + b"\n"
        except (ValueError, TypeError):
            # The task that writes the event must go on.
            event |= {name: _make_encodable(value) for name, value in fields.items()}
            line = self._encoder.encode(event) + b"\n"
        self._lines.append(line)
        self._queued_bytes += len(line)

    def write_request(self, part: str, message: str, **fields: Any) -> None:
        """Queue an event that a request caused, if the token bucket allows it."""
        now_ms = self._runtime.clock.now_ms()
        refill = (now_ms - self._refilled_at_ms) * REQUEST_LINES_PER_S / 1000
        self._refilled_at_ms = now_ms
        self._tokens = min(REQUEST_LINES_PER_S, self._tokens + refill)
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        self.write(part, message, **fields)

    def run(self) -> None:
        """Write what is queued until the runtime stops."""
        while self._runtime.sleep_ms(FLUSH_MS):
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Write all queued lines now."""
        if self.dropped > self._reported_drops:
            dropped = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            self.write("log", "Lines were dropped.", count=dropped)
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        # Set anew each time, since tasks add to it without a lock.
        self._queued_bytes = 0
        data = b"".join(lines)
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError as error:
                # Standard output is closed, so standard error is all that is left.
                sys.stderr.write(f"log: lines couldn't be written: {error}\n")
                return


def _make_encodable(value: Any) -> str:
    """Return a value as text, without the surrogates that UTF-8 can't encode.

    Python uses these for bytes of file names and settings that aren't text.
    """
    text = value if isinstance(value, str) else repr(value)
    return text.encode(errors="backslashreplace").decode()
