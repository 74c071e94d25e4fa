"""The structured log: one JSON line an event, bounded, and never waited for."""

import os
import sys
from collections import deque
from typing import Any

import msgspec

from bronzerelay.runtime import Runtime

# Lines that may wait for the writer. A reader of the log that stalls must not hold up
# a caller, so that what doesn't fit is dropped and counted.
QUEUE_LINES = 2_000
# Lines a second that requests may cause, with the same number saved up. The fault of a
# moment would else write thousands of equal lines and cost the callers' processor time.
REQUEST_LINES_PER_S = 120
# Time between two looks of the writer, in milliseconds.
FLUSH_MS = 200
STDOUT = 1


class EventLog:
    """Takes events from any task; its own task writes them to standard output."""

    def __init__(self, runtime: Runtime, node: str, descriptor: int = STDOUT):
        self._runtime = runtime
        self._node = node
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._encoder = msgspec.json.Encoder()
        self._allowance = float(REQUEST_LINES_PER_S)
        self._allowance_at_ms = runtime.clock.now_ms()
        self.dropped = 0
        self._reported = 0

    def write(self, part: str, message: str, **fields: Any) -> None:
        """Queue one event of a part, with its fields."""
        if len(self._lines) >= QUEUE_LINES:
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
        """Queue an event that a request caused, within the allowance for these."""
        now_ms = self._runtime.clock.now_ms()
        earned = (now_ms - self._allowance_at_ms) * REQUEST_LINES_PER_S / 1000
        self._allowance_at_ms = now_ms
        self._allowance = min(REQUEST_LINES_PER_S, self._allowance + earned)
        if self._allowance < 1:
            self.dropped += 1
            return
        self._allowance -= 1
        self.write(part, message, **fields)

    def run(self) -> None:
        """Write what is queued until the runtime stops."""
        while self._runtime.sleep_ms(FLUSH_MS):
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Write all queued lines now."""
        if self.dropped > self._reported:
            dropped = self.dropped - self._reported
            self._reported = self.dropped
            self.write("log", "Lines were dropped.", count=dropped)
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        data = b"".join(lines)
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError as error:
                # Standard output is gone; nothing else could tell anybody.
                sys.stderr.write(f"log: lines were lost: {error}\n")
                return
