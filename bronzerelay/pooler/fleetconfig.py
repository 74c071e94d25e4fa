"""The types of the pooler's configuration and of the instance list."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from bronzerelay.runtime import Address

# The regions in which statements may run; None stands for all.
Regions = frozenset[str] | None


def intersect_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class Consistency(enum.Enum):
    """Which commits a route's reads must include."""

    PRIMARY = enum.auto()  # every acknowledged commit
    STATED_AGE = enum.auto()  # every commit older than the route's `max_age_ms`
    READ_YOUR_WRITES = enum.auto()  # the same, and the session's own commits


class Route(NamedTuple):
    """The service of the sessions of one database, and its time limits.

    `timeout_ms` limits one statement, `objective_ms` is the latency objective of an
    operation, `max_age_ms` bounds the age of what reads see. A `priority` of 0 is the
    most urgent.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_ms: float
    objective_ms: float
    max_age_ms: float
    public: bool
    regions: Regions = None
    priority: int = 0


def rank_priorities(routes: Iterable[Route]) -> dict[int, int]:
    """Return the level of each priority of the routes; 0 is the most urgent level."""
    priorities = sorted({route.priority for route in routes})
    return {priority: level for level, priority in enumerate(priorities)}


class Service(NamedTuple):
    """A group of instances, and how many links each of them accepts.

    A commit is acknowledged once `sync_replicas` replicas have received it.
    """

    name: str
    max_links: int
    sync_replicas: int = 0


class Workspace(NamedTuple):
    """A workspace's rate (operations a second) and burst (operations)."""

    name: str
    rate: float
    burst: float
    regions: Regions = None


class FleetConfig(NamedTuple):
    """One complete version of the configuration."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    # The workspace of each key.
    keys: dict[str, str]
    idle_transaction_ms: float
    # The level of each priority, see `rank_priorities`.
    levels: dict[int, int] = {}

    def find_level(self, route: Route) -> int:
        """Return how urgent a route's statements are; 0 is the most urgent."""
        return self.levels.get(route.priority, 0)


class InstanceEntry(NamedTuple):
    """The state that an instance last registered."""

    id: str
    service: str
    address: Address
    slots: int
    leaving: bool
    claims_primary: bool
    # When it started, by its own clock. A restarted instance keeps its id but loses the
    # state of its connections.
    born_ms: int
    # Its failure domain, and the region of that; empty if the platform names none.
    domain: str
    region: str = ""
