"""A caller that speaks the users' line protocol."""

import re
from typing import NamedTuple

from bronzerelay.pooler.lines import LineReader
from bronzerelay.runtime import Address, Runtime

# The retry delay in the text of a refusal.
RETRY_DELAY = re.compile(r"Come back in (\d+) ms")
# How often a statement is sent at most while it is refused as not run.
MAX_ATTEMPTS = 5


class LineReply(NamedTuple):
    """The answer to a statement; `error` is empty after a success."""

    rows: list[str]
    signature: str
    error: str
    text: str
    state: str
    position: str


class LineCaller:
    """One session with a daemon."""

    def __init__(self, runtime: Runtime, address: Address, timeout_ms: float = 5000):
        self._runtime = runtime
        self._timeout_ms = timeout_ms
        self.connection = runtime.dial(address, timeout_ms)
        self._reader = LineReader(self.connection, runtime.clock)
        self._count = 0

    def send(self, line: str) -> None:
        """Send one line."""
        self.connection.set_timeout(self._timeout_ms)
        self.connection.send(line.encode() + b"\r\n")

    def read(self) -> str:
        """Return the next line."""
        deadline_ms = self._runtime.clock.now_ms() + self._timeout_ms
        return self._reader.read_line(deadline_ms).decode()

    def start(self, database: str, key: str) -> str:
        """Begin the session; return the first line of the answer."""
        self.send(f"STARTUP {database} {key}")
        return self.read()

    def query(self, text: str) -> LineReply:
        """Run one statement and return the whole answer."""
        self._count += 1
        self.send(f"QUERY q{id(self):x}n{self._count} {text}")
        return self.read_reply()

    def query_with_retries(self, text: str) -> LineReply:
        """Run one statement, and retry it after each refusal with a retry delay.

        Such a refusal says that nothing has run, so that a write may be repeated. Don't
        use it in a transaction, which a refusal ends.
        """
        reply = self.query(text)
        for _ in range(MAX_ATTEMPTS - 1):
            match = RETRY_DELAY.search(reply.text) if reply.error else None
            if match is None:
                break
            self._runtime.clock.sleep_ms(float(match[1]))
            reply = self.query(text)
        return reply

    def read_reply(self) -> LineReply:
        """Return the next whole answer."""
        rows: list[str] = []
        signature = error = detail = ""
        while True:
            word, _, rest = self.read().partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error, _, detail = rest.partition(" ")
            else:
                state, _, position = rest.partition(" ")
                return LineReply(rows, signature, error, detail, state, position)

    def close(self) -> None:
        """Close the connection without sending TERMINATE."""
        self.connection.close()
