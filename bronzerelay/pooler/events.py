"""The structured log: one JSON line per event, with a bounded queue."""

import os
import sys
from collections import deque
from typing import Any

import msgspec

from bronzerelay.runtime import Runtime

# The most lines that may wait to be written. A reader of the log that stalls must not
# delay callers, so lines beyond this are dropped and counted.
MAX_QUEUED_LINES = 2_000
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
        self._encoder = msgspec.json.Encoder()
        self._tokens = float(REQUEST_LINES_PER_S)
        self._refilled_at_ms = runtime.clock.now_ms()
        self.dropped = 0
        self._reported_drops = 0

    def write(self, part: str, message: str, **fields: Any) -> None:
        """Queue one event of a part of the daemon, with its fields."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        event = {
            "time_ms": round(self._runtime.clock.wall_ms()),
            "steady_ms": round(self._runtime.clock.now_ms(), 1),
            "node": self._node,
            "part": part,
            "message": f"{part}: {message}",
            **fields,
        }
        self._lines.append(self._encoder.encode(event) + b"\n")

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
        data = b"".join(lines)
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError as error:
                # Standard output is closed, so standard error is all that is left.
                sys.stderr.write(f"log: lines couldn't be written: {error}\n")
                return
