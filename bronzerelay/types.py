"""The types that several modules share."""

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from bronzerelay.runtime import Address

# What operators write: the bundle, as TOML decodes it.


class KeyEntry(TypedDict):
    """A caller's key; only its SHA-256 hash is kept, as `sha256:HEX`."""

    id: str
    hash: str


class WorkspaceEntry(TypedDict):
    """A workspace: requests a second, burst in requests, the groups it may use."""

    name: str
    rate: float
    burst: float
    groups: list[str]
    keys: list[KeyEntry]


class EndpointEntry(TypedDict):
    """One instance of a database group; a leaving one gets no new work."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    leaving: NotRequired[bool]


class GroupEntry(TypedDict):
    """A database group; reads accept data up to `max_age_ms` old unless they say."""

    name: str
    endpoints: list[EndpointEntry]
    max_age_ms: NotRequired[int]


class OperatorEntry(TypedDict):
    """Somebody who may sign bundles, with a public key as `ed25519:HEX`."""

    name: str
    public_key: str


class Bundle(TypedDict):
    """A whole configuration, as it is reviewed, signed and rolled out."""

    format: int
    version: int
    groups: list[GroupEntry]
    workspaces: list[WorkspaceEntry]
    operators: NotRequired[list[OperatorEntry]]


class SignatureEntry(TypedDict):
    """An operator's signature over the digest, in hexadecimal digits."""

    operator: str
    signature: str


class ConfigRecord(TypedDict):
    """What the platform holds for a bundle."""

    version: int
    digest: str
    bundle: Bundle
    author: str
    signatures: list[SignatureEntry]


# What daemons keep in the platform.


class MemberEntry(TypedDict):
    """A daemon in the roster; `address` is where peers reach it."""

    name: str
    address: str
    failure_domain: str


class Roster(TypedDict):
    """The daemons that share the workspaces' rates; each change is a new epoch.

    `settled` says that every member has applied the epoch: whoever reads it needs no
    other proof that nobody spends a larger share of an older epoch.
    """

    epoch: int
    members: list[MemberEntry]
    settled: NotRequired[bool]


class StoredValue(NamedTuple):
    """A value of the key-value service with its revision."""

    value: Any
    revision: int


class Vm(NamedTuple):
    """A line of the platform's list of VMs."""

    name: str
    state: Literal["live", "leaving"]


# What callers send.


class Statement(TypedDict):
    """One statement for a database group; docs/PROTOCOL.md lists the verbs."""

    verb: Literal["get", "put", "add", "append", "delete"]
    row: str
    value: NotRequired[Any]
    amount: NotRequired[float]


class StatementRequest(TypedDict):
    """The body of a request to run a statement, or to end a transaction.

    `action` is `statement` (the default), `begin`, `commit` or `rollback`.
    """

    group: str
    action: NotRequired[Literal["statement", "begin", "commit", "rollback"]]
    statement: NotRequired[Statement]
    session: NotRequired[str]
    transaction: NotRequired[str]
    max_age_ms: NotRequired[int]
    idempotency_key: NotRequired[str]
    repeatable: NotRequired[bool]
    deadline_ms: NotRequired[int]


class StatementAnswer(TypedDict):
    """What a statement gave; `served_by` names the endpoint and its role."""

    value: NotRequired[Any]
    session: NotRequired[str]
    transaction: NotRequired[str]
    served_by: NotRequired[str]
    role: NotRequired[str]
    duplicate: NotRequired[bool]


class Position(NamedTuple):
    """A place in a group's history; tuples compare as the log orders them."""

    term: int
    position: int


class EndpointSpec(NamedTuple):
    """An endpoint as the configuration in force describes it."""

    name: str
    address: Address
    failure_domain: str
    slots: int
    connections: int
    leaving: bool


class GroupSpec(NamedTuple):
    """A database group as the configuration in force describes it."""

    name: str
    endpoints: tuple[EndpointSpec, ...]
    max_age_ms: int


class WorkspaceSpec(NamedTuple):
    """A workspace as the configuration in force describes it."""

    name: str
    rate: float
    burst: float
    groups: frozenset[str]
    key_hashes: dict[str, str]  # hash to key id


class Configuration(NamedTuple):
    """A configuration ready for use by the daemon."""

    version: int
    digest: str
    groups: dict[str, GroupSpec]
    workspaces: dict[str, WorkspaceSpec]
