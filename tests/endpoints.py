"""Builders of endpoint stand-ins, links to them and scripted endpoints."""

import contextlib
from collections.abc import Callable, Iterator

from bronzerelay import dialect
from bronzerelay.runtime import Address, Connection, Runtime
from bronzerelay.types import EndpointSpec
from standins.endpoint import EndpointServer
from standins.endpointadmin import AdminClient, open_admin
from standins.messages import EndpointSettings

TIMEOUT_MS = 5000
WAIT_LIMIT_MS = 5000
NAMES = ("orders-1", "orders-2", "orders-3")


def make_spec(address: Address, name: str = "orders-1") -> EndpointSpec:
    return EndpointSpec(name, address, "a", slots=3, connections=20, leaving=False)


def put(row: str, value) -> dict:
    return {"verb": "put", "row": row, "value": value}


def add(row: str, amount) -> dict:
    return {"verb": "add", "row": row, "amount": amount}


def get(row: str) -> dict:
    return {"verb": "get", "row": row}


@contextlib.contextmanager
def open_runtime(task_limit: int = 100) -> Iterator[Runtime]:
    """Yield a runtime; check at the end that all its tasks have ended."""
    runtime = Runtime(task_limit, seed=1)
    try:
        yield runtime
    finally:
        assert runtime.close(WAIT_LIMIT_MS), runtime.describe_tasks()


def wait_until(runtime: Runtime, predicate: Callable[[], object]) -> None:
    end_ms = runtime.clock.now_ms() + WAIT_LIMIT_MS
    while not predicate():
        assert runtime.clock.now_ms() < end_ms, "it never came about"
        runtime.sleep_ms(2)


class Group:
    """Three instances; the first one starts as primary of term 1."""

    def __init__(self, runtime: Runtime, **changes):
        self.runtime = runtime
        self.servers: dict[str, EndpointServer] = {}
        self._admins: dict[str, AdminClient] = {}
        changes = {"connect_ms": 0, "service_ms": 0, "lag_ms": 0, **changes}
        role = {"primary_term": 1}
        for name in NAMES:
            settings = EndpointSettings(name, "orders", **role, **changes)
            server = self.servers[name] = EndpointServer(runtime, settings)
            server.start()
            role = {"follow": self.servers[NAMES[0]].address}

    def admin(self, name: str, op: str, **fields) -> dict:
        if name not in self._admins:
            address = self.servers[name].address
            self._admins[name] = open_admin(self.runtime, address)
        return self._admins[name].ask(op, **fields)

    def try_link(self, name: str, kind: str = "work", timeout_ms: float = TIMEOUT_MS):
        spec = make_spec(self.servers[name].address, name)
        return dialect.open_link(self.runtime, spec, "vm-1", kind, timeout_ms)

    def open_endpoint(self, spec: EndpointSpec, kind: str, timeout_ms: float):
        """Return a link as a daemon opens it; an `Opener` for a `GroupWatch`."""
        return self.try_link(spec.name, kind, timeout_ms)

    def link(self, name: str, kind: str = "work") -> dialect.EndpointLink:
        return self.try_link(name, kind).ok

    def instance(self, name: str):
        return self.servers[name].instance

    def entries(self, name: str) -> list[dict]:
        return self.admin(name, "record")["entries"]

    def wait_equal_logs(self, *names: str) -> None:
        """Wait until the logs of these instances are equal."""
        logs = [self.instance(name).entries for name in names]
        wait_until(self.runtime, lambda: all(log == logs[0] for log in logs))


@contextlib.contextmanager
def open_group(**changes) -> Iterator[Group]:
    with open_runtime() as runtime:
        group = Group(runtime, **changes)
        try:
            yield group
        finally:
            for server in group.servers.values():
                server.stop()


@contextlib.contextmanager
def open_scripted_endpoint(reply: Callable[[Connection, bytes], None]) -> Iterator:
    """Yield a runtime and a link to an endpoint that answers by calling `reply`."""
    with open_runtime() as runtime:
        listener = runtime.listen(Address("127.0.0.1", 0))

        def serve() -> None:
            connection = listener.accept()
            connection.receive()
            connection.send(b'{"id":1,"ok":true,"instance":"x"}\n')
            with contextlib.suppress(OSError):
                while line := connection.receive():
                    reply(connection, line)

        runtime.start(serve)
        spec = make_spec(listener.address)
        link = dialect.open_link(runtime, spec, "vm-1", "work", TIMEOUT_MS).ok
        yield runtime, link
