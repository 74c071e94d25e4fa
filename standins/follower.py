"""The task that pulls the primary's log into a replica of the endpoint stand-in."""

from typing import Any, Protocol, TypedDict

import msgspec

from bronzerelay.runtime import Address, Connection, Runtime
from standins.instance import Entry

DIAL_TIMEOUT_MS = 500
PULL_WAIT_MS = 200
# Longer than a pull waits at the primary; after that a new connection is opened.
ANSWER_TIMEOUT_MS = PULL_WAIT_MS + 200
RETRY_PAUSE_MS = (20, 50)


class PullAnswer(TypedDict, total=False):
    """The primary's answer to `hello` or `pull`."""

    ok: bool
    instance: str
    entries: list[Entry]
    rewind: bool
    position: int


class Puller(Protocol):
    """What the task uses of the endpoint."""

    runtime: Runtime
    lag_ms: float
    stopped: bool
    settings: Any
    instance: Any
    faults: Any

    def set_pull_connection(self, connection: Connection) -> None:
        """Store the connection to the primary, which a fence closes."""

    def await_thaw(self) -> None:
        """Wait while the instance is frozen; the caller holds the condition."""


class Upstream:
    """A connection to the primary, for one request at a time."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.name = ""
        self._decoder = msgspec.json.Decoder(PullAnswer)
        connection.set_timeout(ANSWER_TIMEOUT_MS)

    def ask(self, request: dict) -> PullAnswer:
        """Return the answer, or raise OSError or msgspec's error."""
        self.connection.send(msgspec.json.encode(request) + b"\n")
        chunks = []
        while not chunks or not chunks[-1].endswith(b"\n"):
            chunk = self.connection.receive()
            if not chunk:
                raise OSError("the primary closed the connection")
            chunks.append(chunk)
        return self._decoder.decode(b"".join(chunks))


def pull_from_primary(
    server: Puller, term: int, primary: Address, generation: int
) -> None:
    """Pull from `primary` until the instance's generation changes."""
    runtime = server.runtime
    while not server.stopped and server.instance.generation == generation:
        try:
            connection = runtime.dial(primary, DIAL_TIMEOUT_MS)
        except OSError:
            runtime.sleep_ms(runtime.random.uniform(*RETRY_PAUSE_MS))
            continue
        try:
            _pull(server, Upstream(connection), term, generation)
        except (OSError, msgspec.MsgspecError):
            pass
        finally:
            connection.close()
        runtime.sleep_ms(runtime.random.uniform(*RETRY_PAUSE_MS))


def _pull(server: Puller, upstream: Upstream, term: int, generation: int) -> None:
    """Pull over one connection until an answer can't be applied."""
    instance = server.instance
    with instance.condition:
        if server.stopped or instance.generation != generation:
            return
        server.set_pull_connection(upstream.connection)
    hello = {"op": "hello", "caller": server.settings.name, "kind": "monitor"}
    upstream.name = upstream.ask({"id": 0, **hello}).get("instance", "")
    request = {"id": 1, "op": "pull", "term": term, "follower": server.settings.name}
    request["wait_ms"] = PULL_WAIT_MS
    applied = True
    while applied:
        with instance.condition:
            request["log_term"] = instance.log_term
            request["position"] = instance.position
        request["lag_ms"] = server.lag_ms
        answer = upstream.ask(request)
        applied = _apply(server, upstream.name, generation, answer)


def _apply(server: Puller, name: str, generation: int, answer: PullAnswer) -> bool:
    """Apply an answer of the primary; return whether to go on pulling.

    The generation is checked after any freeze and with the condition held. Otherwise
    entries that were pulled before a fence could be appended after it.
    """
    instance = server.instance
    with instance.condition:
        server.await_thaw()
        if server.stopped or instance.generation != generation:
            return False
        if not answer.get("ok") or name in server.faults.cut:
            return False
        if answer.get("rewind"):
            instance.cut_log(answer["position"])
        for entry in answer.get("entries", ()):
            instance.append(entry)
    return True
