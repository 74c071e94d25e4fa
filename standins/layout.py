"""The layout of a deployment on stand-ins, and the layouts of our two users."""

from typing import NamedTuple

from bronzerelay.runtime import Address
from bronzerelay.types import Bundle, EndpointEntry, GroupEntry, WorkspaceEntry

BUNDLE_FORMAT = 1
FIRST_TERM = 1


class WorkspaceLayout(NamedTuple):
    """A workspace's rate in requests a second and its burst in requests."""

    name: str
    rate: float
    burst: float


class Layout(NamedTuple):
    """A deployment: its groups, daemons, failure domains and workspaces.

    `slots` and `connections` are per instance. Times are in milliseconds.
    """

    groups: tuple[str, ...]
    workspaces: tuple[WorkspaceLayout, ...]
    failure_domains: tuple[str, ...] = ("a", "b", "c")
    daemons: int = 3
    instances: int = 3
    slots: int = 3
    connections: int = 20
    connect_ms: int = 10
    service_ms: int = 5
    lag_ms: int = 5
    vm_lag_ms: int = 2000
    seed: int = 1


# The deployment that `make demo` starts: three daemons and three groups.
DEMO = Layout(
    groups=("orders", "diets", "kitchens"),
    workspaces=(WorkspaceLayout("caterer-1", rate=50, burst=50),),
    service_ms=1,
)

# The consortium's orders database.
VIANDA = Layout(
    groups=("orders", "diets", "kitchens"),
    failure_domains=("a", "b", "c"),
    daemons=8,
    slots=3,
    connections=20,
    workspaces=(
        WorkspaceLayout("caterer-1", rate=100, burst=100),
        WorkspaceLayout("caterer-2", rate=100, burst=100),
        WorkspaceLayout("caterer-3", rate=80, burst=80),
        WorkspaceLayout("caterer-4", rate=30, burst=30),
        WorkspaceLayout("schools", rate=30, burst=30),
        WorkspaceLayout("parents", rate=20, burst=20),
        WorkspaceLayout("kitchens", rate=20, burst=20),
        WorkspaceLayout("ministry", rate=10, burst=10),
    ),
)

# The software house's returns index.
RETURNS = Layout(
    groups=("returns", "stock", "reports"),
    failure_domains=("a", "b", "c", "d"),
    daemons=9,
    slots=2,
    connections=35,
    workspaces=(
        WorkspaceLayout("chain-1", rate=120, burst=120),
        WorkspaceLayout("chain-2", rate=90, burst=90),
        WorkspaceLayout("chain-3", rate=60, burst=60),
        WorkspaceLayout("shop-1", rate=20, burst=20),
        WorkspaceLayout("shop-2", rate=20, burst=20),
        WorkspaceLayout("shop-3", rate=20, burst=20),
        WorkspaceLayout("accounts", rate=30, burst=30),
        WorkspaceLayout("statistics", rate=30, burst=30),
    ),
)

LAYOUTS = {"demo": DEMO, "vianda": VIANDA, "returns": RETURNS}


def name_endpoints(layout: Layout, group: str) -> list[str]:
    """Return the names of a group's instances; the first starts as primary."""
    return [f"{group}-{number}" for number in range(1, layout.instances + 1)]


def name_daemons(layout: Layout) -> list[str]:
    """Return the names of the daemons; each one is also the name of its VM."""
    return [f"vm-{number}" for number in range(1, layout.daemons + 1)]


def pick_domain(layout: Layout, number: int) -> str:
    """Return the failure domain of the instance or daemon with this number."""
    return layout.failure_domains[number % len(layout.failure_domains)]


def build_bundle(
    layout: Layout,
    version: int,
    addresses: dict[str, Address],
    key_hashes: dict[str, str],
) -> Bundle:
    """Return the bundle of a layout; each workspace has one key and all groups."""
    groups = [build_group(layout, group, addresses) for group in layout.groups]
    workspaces = [
        build_workspace(layout, workspace, key_hashes[workspace.name])
        for workspace in layout.workspaces
    ]
    return Bundle(
        format=BUNDLE_FORMAT, version=version, groups=groups, workspaces=workspaces
    )


def build_group(
    layout: Layout, group: str, addresses: dict[str, Address]
) -> GroupEntry:
    """Return a bundle's entry for a group."""
    endpoints = [
        EndpointEntry(
            name=name,
            address=str(addresses[name]),
            failure_domain=pick_domain(layout, number),
            slots=layout.slots,
            connections=layout.connections,
        )
        for number, name in enumerate(name_endpoints(layout, group))
    ]
    return GroupEntry(name=group, endpoints=endpoints)


def build_workspace(
    layout: Layout, workspace: WorkspaceLayout, key_hash: str
) -> WorkspaceEntry:
    """Return a bundle's entry for a workspace."""
    return WorkspaceEntry(
        name=workspace.name,
        rate=workspace.rate,
        burst=workspace.burst,
        groups=list(layout.groups),
        keys=[{"id": f"{workspace.name}-1", "hash": key_hash}],
    )
