"""The configuration that the pooler goes by, and the list of instances."""

import enum
from typing import NamedTuple

from bronzerelay.runtime import Address


class Consistency(enum.Enum):
    """What a route's reads must have seen."""

    PRIMARY = enum.auto()  # every acknowledged commit
    STATED_AGE = enum.auto()  # every commit older than a stated age
    READ_YOUR_WRITES = enum.auto()  # that, and the session's own commits


class Route(NamedTuple):
    """Where the sessions of one database go, and within which times.

    `timeout_ms` limits one statement, `objective_ms` is the latency objective of an
    operation, `max_age_ms` bounds the age of what reads see.
    """

    database: str
    service: str
    consistency: Consistency
    timeout_ms: float
    objective_ms: float
    max_age_ms: float
    public: bool


class Service(NamedTuple):
    """A group of instances, and how many links each of them takes."""

    name: str
    max_links: int


class Workspace(NamedTuple):
    """A workspace's rate (operations a second) and burst (operations)."""

    name: str
    rate: float
    burst: float


class FleetConfig(NamedTuple):
    """One version of the configuration, whole."""

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    # Which workspace holds a key.
    keys: dict[str, str]
    idle_transaction_ms: float


class InstanceEntry(NamedTuple):
    """What an instance last said of itself."""

    id: str
    service: str
    address: Address
    slots: int
    leaving: bool
    claims_primary: bool
    # When it started, by its own clock: an id may start again and know nothing.
    born_ms: int
