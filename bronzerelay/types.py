"""The types that several modules share."""

from typing import Any, Literal, NamedTuple, NotRequired, TypedDict

from bronzerelay.decoding import Whole
from bronzerelay.runtime import Address

# Configuration that operators write: the bundle, as decoded from TOML.


class KeyEntry(TypedDict):
    """A caller's key; only its SHA-256 hash is stored, as `sha256:HEX`."""

    id: str
    hash: str


class WorkspaceEntry(TypedDict):
    """A workspace; `rate` is in requests per second, `burst` in requests."""

    name: str
    rate: float
    burst: float
    groups: list[str]
    keys: list[KeyEntry]


class EndpointEntry(TypedDict):
    """One instance of a database group; no new work is sent to a leaving instance."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    leaving: NotRequired[bool]


class GroupEntry(TypedDict):
    """A database group; `max_age_ms` is the default bound on the age of read data."""

    name: str
    endpoints: list[EndpointEntry]
    max_age_ms: NotRequired[int]


class OperatorEntry(TypedDict):
    """An operator who may sign bundles, with a public key as `ed25519:HEX`."""

    name: str
    public_key: str


class Bundle(TypedDict):
    """A complete configuration, as it is reviewed, signed and rolled out."""

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
    """A bundle as stored in the platform, with its digest, author and signatures."""

    version: int
    digest: str
    bundle: Bundle
    author: str
    signatures: list[SignatureEntry]


# Data that daemons store in the platform.


class MemberEntry(TypedDict):
    """A daemon in the roster; `address` is where peers reach it."""

    name: str
    address: str
    failure_domain: str


class Roster(TypedDict):
    """The daemons that share the workspaces' rates; each change starts a new epoch.

    `settled` means that every member has applied this epoch. A reader then needs no
    other proof that no member still uses a larger share from an older epoch.
    """

    epoch: Whole
    members: list[MemberEntry]
    settled: NotRequired[bool]


class StoredValue(NamedTuple):
    """A value of the key-value service with its revision."""

    value: Any
    revision: int


class Vm(NamedTuple):
    """An entry of the platform's list of VMs."""

    name: str
    state: Literal["live", "leaving"]


# Requests of callers, and their answers.


class Statement(TypedDict):
    """One statement for a database group; docs/PROTOCOL.md lists the verbs."""

    verb: Literal["get", "put", "add", "append", "delete"]
    row: str
    value: NotRequired[Any]
    amount: NotRequired[int | float]


class StatementRequest(TypedDict):
    """The body of a request to run a statement, or to begin or end a transaction.

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
    """The result of a statement; `served_by` names the endpoint, `role` its role."""

    value: NotRequired[Any]
    session: NotRequired[str]
    transaction: NotRequired[str]
    served_by: NotRequired[str]
    role: NotRequired[str]
    duplicate: NotRequired[bool]


class Position(NamedTuple):
    """A position in a group's replication log; positions compare in log order."""

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
    """A bundle compiled for use by the daemon."""

    version: int
    digest: str
    groups: dict[str, GroupSpec]
    workspaces: dict[str, WorkspaceSpec]
