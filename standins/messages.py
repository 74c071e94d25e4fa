"""The requests of the endpoint protocol, and the state of a connection."""

from typing import Any, Literal, NamedTuple, TypedDict

from bronzerelay.runtime import Address, Connection
from standins.faults import CROSS, DELAY, DROP
from standins.instance import Transaction

WORK_OPS = frozenset(
    ["status", "read", "write", "settle", "begin", "commit", "rollback"]
)
MONITOR_OPS = frozenset(["status", "fence", "promote", "follow", "pull"])
ADMIN_OPS = frozenset(
    ["status", "freeze", "thaw", "cut", "heal", DROP, DELAY, CROSS]
    + ["set", "record", "received"]
)
OPS = {"work": WORK_OPS, "monitor": MONITOR_OPS, "admin": ADMIN_OPS}


class EndpointSettings(NamedTuple):
    """How an endpoint starts.

    Without `primary_term` and `follow` it has no part in the group until it is fenced.
    """

    name: str
    group: str
    listen: Address = Address("127.0.0.1", 0)
    slots: int = 3
    connections: int = 20
    connect_ms: float = 10
    service_ms: float = 1
    lag_ms: float = 5
    primary_term: int = 0
    follow: Address | None = None


class Request(TypedDict, total=False):
    """The fields of all requests, as they come over the wire."""

    id: int
    op: str
    caller: str
    kind: Literal["work", "monitor", "admin"]
    known_term: int
    known_position: int
    wait_ms: float
    term: int
    primary: str
    workspace: str
    statement: dict[str, Any]
    request_id: str
    follower: str
    log_term: int
    position: int
    names: list[str]
    ops: list[str]
    count: int
    before: bool
    delay_ms: float
    lag_ms: float
    service_ms: float
    after: int
    after_execution: int


class Session:
    """The endpoint's state of one connection."""

    def __init__(self, connection: Connection):
        self.connection = connection
        self.caller = ""
        self.kind = ""
        self.transaction: Transaction | None = None
        self.last_status: dict | None = None
        self.previous_id = 0
        self.previous_value: Any = None
