"""Builders of a daemon's group server over in-process endpoints."""

from typing import Any

from bronzerelay import dialect, logs
from bronzerelay.group import GroupServer
from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.runtime import Runtime
from bronzerelay.sessions import decode_session
from bronzerelay.types import Configuration, EndpointSpec, GroupSpec, Position
from bronzerelay.work import Work
from tests.endpoints import Group, put

QUEUE_LIMIT = 200
STATUS_WAIT_MS = 100
STATEMENT_TIMEOUT_MS = 400
DEADLINE_MS = 4000


def make_group_spec(group: Group, leaving: tuple[str, ...] = ()) -> GroupSpec:
    """Return the group's part of a configuration."""
    endpoints = tuple(
        EndpointSpec(name, server.address, "a", 3, 20, name in leaving)
        for name, server in group.servers.items()
    )
    return GroupSpec("orders", endpoints, 10_000)


def make_configuration(spec: GroupSpec, version: int = 1) -> Configuration:
    return Configuration(version, "", {spec.name: spec}, {})


def make_groups(
    runtime: Runtime,
    spec: GroupSpec,
    name: str = "vm-1",
    policy: str = "fair",
    open_link: Any = dialect.open_link,
) -> Groups:
    """Return the groups of a daemon that knows no other, and so serves all groups."""
    groups = Groups(
        runtime,
        GroupSettings(name, QUEUE_LIMIT, STATUS_WAIT_MS, STATEMENT_TIMEOUT_MS, policy),
        Membership(runtime, MembershipSettings(name)),
        open_link,
        Metrics(runtime),
        logs.open_log("group"),
    )
    groups.set_configuration(make_configuration(spec))
    return groups


def make_server(runtime: Runtime, group: Group, name: str = "vm-1") -> GroupServer:
    """Return the group's server at daemon `name`, once it knows the primary."""
    server = make_groups(runtime, make_group_spec(group), name).find("orders")
    assert server.components.watch.wait_primary(DEADLINE_MS)
    return server


def make_work(
    runtime: Runtime,
    statement: dict | None = None,
    session: str = "",
    deadline_ms: float = DEADLINE_MS,
    **request,
) -> Work:
    """Return work on the group with a unique request id."""
    request = {"group": "orders", "statement": statement or put("tray", 1), **request}
    request_id = runtime.random.randbytes(8).hex()
    end_ms = runtime.clock.now_ms() + deadline_ms
    return Work(request_id, "north", request, decode_session(session).ok, end_ms)


def position_of(session: str) -> Position:
    """Return the position of `session` in the group."""
    return decode_session(session).ok["orders"]
