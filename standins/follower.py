"""The task by which an endpoint stand-in pulls the log of its primary."""

from typing import Any, Protocol, TypedDict

import msgspec

from bronzerelay.runtime import Address, Connection, Runtime
from standins.instance import Entry

DIAL_MS = 500
PULL_WAIT_MS = 200
# A primary that is silent for longer than a whole pull is asked anew.
ANSWER_MS = PULL_WAIT_MS + 200
PAUSE_MS = (20, 50)


class PullAnswer(TypedDict, total=False):
    """The primary's answer to `hello` or `pull`."""

    ok: bool
    instance: str
    entries: list[Entry]
    rewind: bool
    position: int


class Puller(Protocol):
    """What the task needs of the endpoint."""

    runtime: Runtime
    lag_ms: float
    stopped: bool
    settings: Any
    instance: Any
    faults: Any

    def keep_pull_connection(self, connection: Connection) -> None:
        """Remember the connection to the primary, to close it at a fence."""

    def await_thaw(self) -> None:
        """Wait, the condition held, while the instance is frozen."""


class Upstream:
    """A connection to the primary; one question at a time."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.name = ""
        self._decoder = msgspec.json.Decoder(PullAnswer)
        connection.set_timeout(ANSWER_MS)

    def ask(self, question: dict) -> PullAnswer:
        """Return the answer, or raise OSError or msgspec's error."""
        self.connection.send(msgspec.json.encode(question) + b"\n")
        parts = []
        while not parts or not parts[-1].endswith(b"\n"):
            part = self.connection.receive()
            if not part:
                raise OSError("the primary closed the connection")
            parts.append(part)
        return self._decoder.decode(b"".join(parts))


def pull_from_primary(
    server: Puller, term: int, primary: Address, generation: int
) -> None:
    """Pull from `primary` until the instance's generation changes."""
    runtime = server.runtime
    while not server.stopped and server.instance.generation == generation:
        try:
            connection = runtime.dial(primary, DIAL_MS)
        except OSError:
            runtime.sleep_ms(runtime.random.uniform(*PAUSE_MS))
            continue
        try:
            _pull(server, Upstream(connection), term, generation)
        except (OSError, msgspec.MsgspecError):
            pass
        finally:
            connection.close()
        runtime.sleep_ms(runtime.random.uniform(*PAUSE_MS))


def _pull(server: Puller, upstream: Upstream, term: int, generation: int) -> None:
    """Ask over one connection for as long as the answers can be applied."""
    instance = server.instance
    with instance.condition:
        if server.stopped or instance.generation != generation:
            return
        server.keep_pull_connection(upstream.connection)
    hello = {"op": "hello", "caller": server.settings.name, "kind": "monitor"}
    upstream.name = upstream.ask({"id": 0, **hello}).get("instance", "")
    question = {"id": 1, "op": "pull", "term": term, "follower": server.settings.name}
    question["wait_ms"] = PULL_WAIT_MS
    applied = True
    while applied:
        with instance.condition:
            question["log_term"] = instance.log_term
            question["position"] = instance.position
        question["lag_ms"] = server.lag_ms
        answer = upstream.ask(question)
        applied = _apply(server, upstream.name, generation, answer)


def _apply(server: Puller, name: str, generation: int, answer: PullAnswer) -> bool:
    """Take over what the primary sent; return whether to go on with it.

    The check is made after any freeze and under the condition: entries that a
    fence has made void would otherwise slip in behind it.
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
