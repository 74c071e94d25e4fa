"""Builders of daemons inside the test's process, in front of endpoint stand-ins."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from expression import Ok, Result

from bronzerelay import dialect
from bronzerelay.bundle import digest_bundle
from bronzerelay.codes import RAN, UNKNOWN
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.kernel import Kernel, PeerHandler
from bronzerelay.logs import open_log
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.peers import PeerLinks, PeerServer
from bronzerelay.runtime import Address
from bronzerelay.transactions import Transactions
from bronzerelay.types import ConfigRecord
from bronzerelay.work import Work
from standins.faultrelay import FaultRelay
from standins.instance import Execution
from tests.builders_config import make_endpoint, make_workspace
from tests.endpoints import NAMES, Group, open_runtime, wait_until

SECRET = "peer-secret-of-the-tests"
WORKSPACE = "shop"
KEY = "shop-key"
NEVER_MS = 10**9
DEADLINE_MS = 1500


class KernelSettings(NamedTuple):
    """The part of a daemon's settings that the kernel uses."""

    name: str
    default_deadline_ms: int = DEADLINE_MS
    max_deadline_ms: int = 30_000
    policy: str = "fair"


class FreeShares:
    """Shares without a limit: every request gets its token."""

    def spend(self, workspace: str) -> Result:
        return Ok(None)


class Node:
    """A daemon without front end and platform; its peers reach it through `cutter`."""

    def __init__(self, group: Group, name: str, statement_timeout_ms: int):
        self.runtime = runtime = group.runtime
        self.name = name
        # Only this daemon's connections to the instances go through these.
        self.relays = {
            instance: FaultRelay(runtime, group.servers[instance].address)
            for instance in NAMES
        }
        for relay in self.relays.values():
            relay.start()
        self.membership = Membership(
            runtime, MembershipSettings(name, NEVER_MS, NEVER_MS)
        )
        self.metrics = Metrics(runtime)
        self.store = ConfigurationStore(runtime)
        self.links = PeerLinks(runtime, SECRET)
        self.groups = Groups(
            runtime,
            GroupSettings(name, 200, 100, statement_timeout_ms),
            self.membership,
            dialect.open_link,
            self.metrics,
            open_log("group"),
        )
        self.transactions = Transactions(runtime, name, statement_timeout_ms)
        self.kernel = Kernel(
            runtime,
            KernelSettings(name),
            self.store,
            self.membership,
            self.links,
            None,
            self.groups,
            self.transactions,
            self.metrics,
        )
        self.kernel.shares = FreeShares()
        self.server = PeerServer(
            runtime,
            Address("127.0.0.1", 0),
            SECRET,
            PeerHandler(self.kernel),
            self.metrics.count_event,
        )
        self.server.start()
        self.cutter = FaultRelay(runtime, self.server.address)
        self.cutter.start()
        self.store.call_on_change(self.groups.set_configuration)

    def join(self, nodes: list["Node"]) -> None:
        """Make all `nodes` members that stay alive without heartbeats."""
        members = [
            {
                "name": node.name,
                "address": str(node.cutter.address),
                "failure_domain": "",
            }
            for node in nodes
        ]
        self.membership.accept_roster({"epoch": 1, "members": members})
        views = [MemberView(node.name, 1, 1, 1, 0, 0, False) for node in nodes]
        self.membership.merge_reply(views, self.runtime.clock.now_ms())
        self.membership.note_platform_answer(self.runtime.clock.now_ms())

    def send(self, action: str = "", key: str = "", **fields: Any) -> Result:
        """Run a request as a caller would; `key` is its idempotency key."""
        request = {"group": "orders", **fields}
        if key:
            request["idempotency_key"] = key
        if action:
            request["action"] = action
        return self.kernel.run_statement(WORKSPACE, KEY, request, "request")


def build_record(node: Node) -> ConfigRecord:
    """Return a configuration with the instances' addresses as `node` reaches them."""
    endpoints = [
        make_endpoint(name, relay.address.port) for name, relay in node.relays.items()
    ]
    bundle = {
        "format": 1,
        "version": 1,
        "groups": [{"name": "orders", "endpoints": endpoints}],
        "workspaces": [make_workspace(WORKSPACE), make_workspace("rival")],
    }
    return ConfigRecord(
        version=1,
        digest=digest_bundle(bundle),
        bundle=bundle,
        author="test",
        signatures=[],
    )


class Deployment:
    """A group of three instances, and the daemons in front of it."""

    def __init__(self, group: Group, count: int, statement_timeout_ms: int):
        self.group = group
        self.runtime = group.runtime
        self.nodes = [
            Node(group, f"vm-{number + 1}", statement_timeout_ms)
            for number in range(count)
        ]
        for node in self.nodes:
            node.join(self.nodes)
            assert node.store.accept(build_record(node))
        # The daemons in the order in which they serve the group.
        ranked = self.nodes[0].groups.rank_daemons("orders")
        by_name = {node.name: node for node in self.nodes}
        self.ranked = [by_name[name] for name in ranked]

    def warm_up(self) -> None:
        """Open the links that the tests cut, so that no fault strikes a handshake."""
        for node in self.nodes:
            server = node.groups.find("orders")
            wait_until(self.runtime, lambda s=server: s.components.watch.primary())
        for node in self.nodes:
            assert node.send(statement={"verb": "add", "row": "warm", "amount": 1})

    def find_primary(self) -> str:
        """Return the name of the primary of the highest term."""
        instances = {name: self.group.instance(name) for name in NAMES}
        primaries = [
            (state.term, name)
            for name, state in instances.items()
            if state.role == "primary"
        ]
        return max(primaries)[1]

    def read_row(self, row: str) -> Any:
        """Return the value of a row at the primary."""
        return self.group.instance(self.find_primary()).rows.get(row)

    def count_writes(self, row: str) -> int:
        """Return how many entries of the primary's log change the row."""
        entries = self.group.instance(self.find_primary()).entries
        return sum(row in entry["changes"] for entry in entries)

    def list_executions(self, *ops: str) -> list[Execution]:
        """Return the executions at all instances of these ops."""
        return [
            execution
            for name in NAMES
            for execution in self.group.instance(name).executions
            if execution.op in ops
        ]


@contextlib.contextmanager
def open_deployment(
    count: int = 2, statement_timeout_ms: int = 250, **changes: Any
) -> Iterator[Deployment]:
    """Yield a deployment of `count` daemons; `changes` go to the instances."""
    with open_runtime(task_limit=800) as runtime:
        group = Group(runtime, **changes)
        deployment = Deployment(group, count, statement_timeout_ms)
        try:
            yield deployment
        finally:
            for node in deployment.nodes:
                for cutter in [node.cutter, *node.relays.values()]:
                    cutter.stop()
            for server in group.servers.values():
                server.stop()


def make_work(node: Node, statement: dict, name: str = "", **fields: Any) -> Work:
    """Return work as the serving daemon receives it; `name` is its request id."""
    request = {"group": "orders", "statement": statement, **fields}
    deadline_ms = node.runtime.clock.now_ms() + DEADLINE_MS
    name = name or node.runtime.random.randbytes(8).hex()
    return Work(name, WORKSPACE, request, {}, deadline_ms)


def hold_all_slots(node: Node) -> Callable[[], None]:
    """Acquire all slots of the primary at a daemon; return how to release them."""
    server = node.groups.find("orders")
    primary = server.components.watch.primary()
    count = server.spec.endpoints[0].slots
    for _ in range(count):
        work = make_work(node, {"verb": "put", "row": "held", "value": 1})
        assert server.acquire_primary(work).is_ok()

    def release() -> None:
        for _ in range(count):
            server.components.slots.release(primary)

    return release


def wait_until_idle(deployment: Deployment) -> None:
    """Wait until no daemon runs a peer's request."""
    servers = [node.server for node in deployment.nodes]
    wait_until(
        deployment.runtime, lambda: not any(server._active for server in servers)
    )


def outcome_of(result) -> str:
    """Return what the caller is told: whether its request ran."""
    return RAN if result.is_ok() else result.error.ran


def check_outcome(deployment: Deployment, outcome: str, row: str) -> None:
    """Check the outcome that a caller was told against the effects at the endpoint."""
    effects = deployment.count_writes(row)
    assert effects <= 1
    if outcome != UNKNOWN:
        assert effects == (outcome == RAN), f"told {outcome}, {effects} effects"
