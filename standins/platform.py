"""The platform stand-in: a key-value service over HTTP, with faults on demand."""

import contextlib
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any, Literal, NamedTuple, NotRequired, TypedDict
from urllib.parse import parse_qs, unquote

import click
import httptools
import msgspec

from bronzerelay.runtime import Address, Connection, Runtime, parse_address
from standins.store import ABSENT, Entry, LeaseExpiredError, Store, ValueTooLargeError

MAX_BODY_BYTES = 2 * 1024 * 1024
TASK_LIMIT = 4096
# How often a task that withholds an answer checks that its caller is still connected.
CALLER_CHECK_MS = 50
ALL_CALLERS = ""

UP = "up"
DOWN = "down"
REFUSE = "refuse"
SLOW = "slow"
LOSE_ANSWERS = "lose_answers"

REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class PlatformSettings(NamedTuple):
    """Where the stand-in listens, and how far its VM list lags."""

    listen: Address = Address("127.0.0.1", 0)
    vm_lag_ms: float = 2000


class PutBody(TypedDict):
    """The body of a PUT of a value."""

    value: Any
    expected_revision: int
    lease: NotRequired[str | None]


class LeaseBody(TypedDict):
    """The body of a request for a lease."""

    ttl_ms: float


class VmBody(TypedDict):
    """The body of a change of the VM list."""

    name: str
    state: Literal["live", "leaving", "gone"]


class FaultBody(TypedDict):
    """The body of a request that sets a fault; without `callers` it is for all."""

    mode: Literal["up", "down", "refuse", "slow", "lose_answers"]
    delay_ms: NotRequired[float]
    callers: NotRequired[list[str]]
    count: NotRequired[int]


class Fault(NamedTuple):
    """A fault that applies to the next `count` requests, or until it is changed."""

    mode: str
    delay_ms: float = 0
    count: int | None = None


class Request(NamedTuple):
    """One HTTP request, with its query decoded and its path as it came.

    An encoded slash in the path belongs to a name.
    """

    method: str
    path: str
    query: dict[str, str]
    caller: str
    body: bytes
    keep_alive: bool

    @property
    def is_watch(self) -> bool:
        """Whether the request waits for a change."""
        return self.method == "GET" and "wait_ms" in self.query


class Answer(NamedTuple):
    """A status, and a body that is sent as JSON; None sends no body."""

    status: int
    body: Any = None


class RequestReader:
    """Collects the requests that httptools parses from one connection's bytes."""

    def __init__(self):
        self.requests: list[Request] = []
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    def feed(self, data: bytes) -> None:
        """Parse the next bytes; complete requests are added to `requests`."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._url = b""
        self._caller = ""
        self._body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the caller's name if this header has it."""
        if name.lower() == b"x-caller":
            self._caller = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request to `requests`."""
        url = httptools.parse_url(self._url)
        query = parse_qs((url.query or b"").decode("latin-1"), keep_blank_values=True)
        request = Request(
            method=self._parser.get_method().decode("ascii"),
            path=url.path.decode("latin-1"),
            query={name: values[-1] for name, values in query.items()},
            caller=self._caller,
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
        )
        self.requests.append(request)


class PlatformServer:
    """The HTTP server of the stand-in, with its faults and its counts of calls.

    Give several servers the same `store` to have several addresses of one platform.
    """

    def __init__(
        self, runtime: Runtime, settings: PlatformSettings, store: Store | None = None
    ):
        self.store = store or Store(runtime, settings.vm_lag_ms)
        self._runtime = runtime
        self._lock = runtime.make_lock()
        self._faults = {ALL_CALLERS: Fault(UP)}
        self._fault_changes = 0
        self._calls: Counter[str] = Counter()
        self._callers: Counter[str] = Counter()
        self._connections: set[Connection] = set()
        self._stopping = False
        self._listener = runtime.listen(settings.listen)
        self.address = self._listener.address
        self._routes: tuple[tuple[str, str, Callable[[Request, str], Answer]], ...] = (
            ("GET", "/v1/values/", self._get),
            ("PUT", "/v1/values/", self._put),
            ("DELETE", "/v1/values/", self._delete),
            ("GET", "/v1/keys", self._list_keys),
            ("POST", "/v1/leases/", self._renew_lease),
            ("DELETE", "/v1/leases/", self._end_lease),
            ("POST", "/v1/leases", self._grant_lease),
            ("GET", "/v1/vms", self._list_vms),
            ("POST", "/admin/vms", self._change_vm),
            ("POST", "/admin/faults", self._change_faults),
            ("GET", "/admin/calls", self._answer_calls),
        )

    def start(self) -> None:
        """Begin to accept connections."""
        self._runtime.start(self._accept)

    def stop(self) -> None:
        """Close the listener and every connection."""
        with self._lock:
            self._stopping = True
            connections = list(self._connections)
        self._listener.close()
        self.store.close()
        for connection in connections:
            connection.close()

    def set_fault(
        self,
        mode: str,
        delay_ms: float = 0,
        callers: tuple[str, ...] = (),
        count: int | None = None,
    ) -> None:
        """Set the fault for the named callers, or for all callers without names."""
        with self._lock:
            self._fault_changes += 1
            if not callers:
                self._faults.clear()
            for caller in callers or (ALL_CALLERS,):
                self._faults[caller] = Fault(mode, delay_ms, count)

    def count_calls(self) -> dict[str, Any]:
        """Return the numbers of reads, writes, watches, and of each caller's calls."""
        with self._lock:
            kinds = {kind: self._calls[kind] for kind in ("reads", "writes", "watches")}
            return {**kinds, "by_caller": dict(self._callers)}

    # Connections

    def _accept(self) -> None:
        while True:
            try:
                connection = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(connection)
            self._runtime.start(self._serve, connection)

    def _serve(self, connection: Connection) -> None:
        reader = RequestReader()
        try:
            with contextlib.suppress(OSError, httptools.HttpParserError):
                while self._serve_next(connection, reader):
                    pass
        finally:
            connection.close()
            with self._lock:
                self._connections.discard(connection)

    def _serve_next(self, connection: Connection, reader: RequestReader) -> bool:
        """Serve one request; return whether the connection stays open."""
        while not reader.requests:
            data = connection.receive()
            if not data:
                return False
            reader.feed(data)
        request = reader.requests.pop(0)
        if request.path.startswith("/admin/"):
            answer = self._dispatch(request)
        else:
            answer = self._dispatch_with_faults(request, connection)
        if answer is None:
            return False
        connection.send(encode_answer(answer))
        return request.keep_alive

    # Faults

    def _dispatch_with_faults(
        self, request: Request, connection: Connection
    ) -> Answer | None:
        """Return the answer, or None when the connection is to close without one."""
        self._count_call(request)
        fault = self._take_fault(request.caller)
        if fault.mode == DOWN:
            self._withhold_answer(connection)
            return None
        if fault.mode == REFUSE:
            return Answer(503, {"error": "refused"})
        if fault.mode == SLOW:
            self._runtime.sleep_ms(fault.delay_ms)
        answer = self._dispatch(request)
        # A watch that was waiting when the outage began gets no answer either.
        if request.is_watch and self._peek_fault(request.caller).mode == DOWN:
            self._withhold_answer(connection)
            return None
        return None if fault.mode == LOSE_ANSWERS else answer

    def _count_call(self, request: Request) -> None:
        kind = "watches" if request.is_watch else "writes"
        if kind == "writes" and request.method == "GET":
            kind = "reads"
        with self._lock:
            self._calls[kind] += 1
            self._callers[request.caller] += 1

    def _find_fault(self, caller: str) -> tuple[str, Fault]:
        name = caller if caller in self._faults else ALL_CALLERS
        fault = self._faults.get(name, Fault(UP))
        return name, Fault(UP) if fault.count == 0 else fault

    def _peek_fault(self, caller: str) -> Fault:
        with self._lock:
            return self._find_fault(caller)[1]

    def _take_fault(self, caller: str) -> Fault:
        """Return the fault that applies to this request, and count the request."""
        with self._lock:
            name, fault = self._find_fault(caller)
            if fault.count is not None:
                self._faults[name] = fault._replace(count=fault.count - 1)
            return fault

    def _withhold_answer(self, connection: Connection) -> None:
        """Wait without an answer until the caller disconnects or the faults change.

        Without the check of the connection, each retry of a caller would leave a task
        behind, and a long outage would exhaust the task limit.
        """
        with self._lock:
            changes = self._fault_changes
        connection.set_timeout(CALLER_CHECK_MS)
        while self._fault_changes == changes and not self._stopping:
            try:
                if not connection.receive():
                    return
            except TimeoutError:
                continue

    # Requests

    def _dispatch(self, request: Request) -> Answer:
        for method, prefix, handle in self._routes:
            rest = request.path.removeprefix(prefix)
            matches = rest if prefix.endswith("/") else request.path == prefix
            if method == request.method and request.path.startswith(prefix) and matches:
                return self._handle(handle, request, rest)
        return Answer(404, {"error": "unknown path"})

    def _handle(
        self, handle: Callable[[Request, str], Answer], request: Request, rest: str
    ) -> Answer:
        if len(request.body) > MAX_BODY_BYTES:
            return Answer(413, {"error": "body too large"})
        try:
            return handle(request, rest)
        except ValueTooLargeError:
            return Answer(413, {"error": "value too large"})
        except LeaseExpiredError:
            return Answer(404, {"error": "lease lapsed"})
        except (KeyError, ValueError, msgspec.MsgspecError) as error:
            return Answer(400, {"error": str(error)})

    def _get(self, request: Request, rest: str) -> Answer:
        key = unquote(rest)
        if not request.is_watch:
            entry: Entry | None = self.store.get(key)
        else:
            after = int(request.query.get("after", "0"))
            entry = self.store.watch(key, after, float(request.query["wait_ms"]))
        if entry is None:
            return Answer(204)
        if entry is ABSENT:
            return Answer(404, {"error": "absent"})
        return Answer(200, make_entry_body(entry))

    def _put(self, request: Request, rest: str) -> Answer:
        key = unquote(rest)
        body = msgspec.json.decode(request.body, type=PutBody)
        stored, entry = self.store.put(
            key, body["value"], body["expected_revision"], body.get("lease")
        )
        if not stored:
            return Answer(409, make_entry_body(entry))
        return Answer(200, {"revision": entry.revision})

    def _delete(self, request: Request, rest: str) -> Answer:
        key = unquote(rest)
        expected = int(request.query["expected_revision"])
        deleted, entry = self.store.delete(key, expected)
        return Answer(200, {}) if deleted else Answer(409, make_entry_body(entry))

    def _list_keys(self, request: Request, _: str) -> Answer:
        return Answer(200, {"keys": self.store.list_keys(request.query["prefix"])})

    def _grant_lease(self, request: Request, _: str) -> Answer:
        body = msgspec.json.decode(request.body, type=LeaseBody)
        return Answer(200, {"lease": self.store.grant_lease(body["ttl_ms"])})

    def _renew_lease(self, request: Request, rest: str) -> Answer:
        lease, _, action = rest.partition("/")
        if action != "renew":
            return Answer(404, {"error": "unknown path"})
        self.store.renew_lease(unquote(lease))
        return Answer(200, {})

    def _end_lease(self, request: Request, rest: str) -> Answer:
        self.store.end_lease(unquote(rest))
        return Answer(200, {})

    def _list_vms(self, request: Request, _: str) -> Answer:
        revision, states = self.store.list_vms()
        vms = [{"name": name, "state": state} for name, state in states.items()]
        return Answer(200, {"revision": revision, "vms": vms})

    def _change_vm(self, request: Request, _: str) -> Answer:
        body = msgspec.json.decode(request.body, type=VmBody)
        self.store.set_vm(body["name"], body["state"])
        return Answer(200, {})

    def _change_faults(self, request: Request, _: str) -> Answer:
        body = msgspec.json.decode(request.body, type=FaultBody)
        callers = tuple(body.get("callers", ()))
        self.set_fault(
            body["mode"], body.get("delay_ms", 0), callers, body.get("count")
        )
        return Answer(200, {})

    def _answer_calls(self, request: Request, _: str) -> Answer:
        return Answer(200, self.count_calls())


def make_entry_body(entry: Entry) -> dict[str, Any]:
    """Return the body of an answer that holds the entry."""
    return {"value": entry.value, "revision": entry.revision}


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an HTTP response."""
    body = b"" if answer.body is None else msgspec.json.encode(answer.body)
    lines = [f"HTTP/1.1 {answer.status} {REASONS[answer.status]}"]
    if answer.status != 204:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body


@click.command()
@click.option("--listen", default="127.0.0.1:9000", show_default=True)
@click.option("--vm-lag-ms", default=2000.0, show_default=True)
def main(listen: str, vm_lag_ms: float) -> None:
    """Run the platform stand-in until SIGTERM or Ctrl-C."""
    runtime = Runtime(TASK_LIMIT)
    settings = PlatformSettings(parse_address(listen), vm_lag_ms)
    server = PlatformServer(runtime, settings)
    ended = runtime.make_event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    server.start()
    click.echo(f"platform: listens on {server.address}")
    ended.wait()
    server.stop()
    runtime.close(1000)


if __name__ == "__main__":
    main()
