"""The configuration bundle: reading, checking, comparing and compiling it."""

import hashlib
import json
import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.runtime import parse_ip_address
from bronzerelay.schema import (
    Field,
    Mistake,
    check_boolean,
    check_integer,
    check_list,
    check_number,
    check_parsed_text,
    check_table,
    check_text,
    join_field,
    join_item,
)
from bronzerelay.types import (
    Bundle,
    ConfigRecord,
    Configuration,
    EndpointEntry,
    EndpointSpec,
    GroupEntry,
    GroupSpec,
    WorkspaceEntry,
    WorkspaceSpec,
)

FORMAT = 1
DIGEST_PREFIX = "sha256:"
DEFAULT_MAX_AGE_MS = 10_000
MAX_VERSION = 2**53 - 1
MAX_RATE = 1_000_000
MAX_AGE_LIMIT_MS = 24 * 60 * 60 * 1000
MAX_SLOTS = 10_000
# The platform stores values of up to 1 MiB, and the record adds signatures and fields.
MAX_BUNDLE_BYTES = 1000 * 1024
MIN_OPERATORS = 2
MAX_LISTED_MISTAKES = 20


class Change(NamedTuple):
    """A difference between two bundles; None stands for a missing value."""

    path: str
    old: Any
    new: Any


NAME = check_text(
    r"[a-z0-9][a-z0-9._-]{0,62}",
    "1 to 63 of a-z, 0-9, '.', '_', '-', the first a letter or a digit",
)
KEY_HASH = check_text(r"sha256:[0-9a-f]{64}", "sha256: and 64 digits of 0-9a-f")
PUBLIC_KEY = check_text(r"ed25519:[0-9a-f]{64}", "ed25519: and 64 digits of 0-9a-f")
ADDRESS = check_parsed_text(
    parse_ip_address, "an IPv4 number and a port, as 10.0.0.1:5432"
)
COUNT = check_integer(1, MAX_SLOTS)
RATE = check_number(
    lambda rate: 0 < rate <= MAX_RATE, f"requests a second above 0, up to {MAX_RATE}"
)
BURST = check_number(
    lambda burst: 1 <= burst <= MAX_RATE, f"requests from 1 to {MAX_RATE}"
)

ENDPOINT = check_table(
    {
        "name": Field(NAME),
        "address": Field(ADDRESS),
        "failure_domain": Field(NAME),
        "slots": Field(COUNT),
        "connections": Field(COUNT),
        "leaving": Field(check_boolean, required=False),
    }
)
GROUP = check_table(
    {
        "name": Field(NAME),
        "endpoints": Field(check_list(ENDPOINT, low=1)),
        "max_age_ms": Field(check_integer(0, MAX_AGE_LIMIT_MS), required=False),
    }
)
KEY = check_table({"id": Field(NAME), "hash": Field(KEY_HASH)})
WORKSPACE = check_table(
    {
        "name": Field(NAME),
        "rate": Field(RATE),
        "burst": Field(BURST),
        "groups": Field(check_list(NAME)),
        "keys": Field(check_list(KEY)),
    }
)
OPERATOR = check_table({"name": Field(NAME), "public_key": Field(PUBLIC_KEY)})
BUNDLE = check_table(
    {
        "format": Field(check_integer(FORMAT, FORMAT, f"{FORMAT}, the only format")),
        "version": Field(check_integer(1, MAX_VERSION)),
        "groups": Field(check_list(GROUP)),
        "workspaces": Field(check_list(WORKSPACE)),
        "operators": Field(check_list(OPERATOR, low=MIN_OPERATORS), required=False),
    }
)


# Reading and checking


def parse_bundle(text: str) -> Result[Bundle, list[Mistake]]:
    """Return the bundle that the TOML text holds, or every mistake in it."""
    allowed = "TOML 1.0, as docs/CONFIGURATION.md shows"
    try:
        data = tomllib.loads(text)
    # tomllib's own error is a ValueError. It also raises a plain ValueError for a
    # number with too many digits and a RecursionError for thousands of nested brackets.
    except ValueError as error:
        return Error([Mistake("", f"can't be read: {error}", allowed)])
    except RecursionError:
        return Error([Mistake("", "is nested too deeply", allowed)])
    mistakes = check_bundle(data)
    if mistakes:
        return Error(mistakes)
    return Ok(normalize_bundle(data))


def check_bundle(data: Any) -> list[Mistake]:
    """Return every mistake of a decoded bundle; without mistakes it is a Bundle."""
    mistakes: list[Mistake] = []
    BUNDLE("", data, mistakes)
    _check_unique_values(data, mistakes)
    _check_endpoints(data, mistakes)
    _check_workspaces(data, mistakes)
    if not mistakes:
        _check_size(data, mistakes)
    return mistakes


def _list_tables(path: str, table: Any, name: str) -> Iterator[tuple[str, dict]]:
    """Yield the path and table of each item of a list, skipping malformed items."""
    where = join_field(path, name)
    items = table.get(name) if isinstance(table, dict) else None
    for index, item in enumerate(items if isinstance(items, list) else ()):
        if isinstance(item, dict):
            yield join_item(where, index, item), item


def _list_endpoints(data: Any) -> Iterator[tuple[str, dict]]:
    for path, group in _list_tables("", data, "groups"):
        yield from _list_tables(path, group, "endpoints")


def _list_keys(data: Any) -> Iterator[tuple[str, dict]]:
    for path, workspace in _list_tables("", data, "workspaces"):
        yield from _list_tables(path, workspace, "keys")


def _check_unique(
    items: Iterator[tuple[str, dict]], field: str, mistakes: list[Mistake]
) -> None:
    """Report each text in `field` that an earlier item already has."""
    seen: dict[str, str] = {}
    for path, item in items:
        value = item.get(field)
        if not isinstance(value, str):
            continue
        if value in seen:
            message = f"is the same as that of {seen[value]}"
            where = join_field(path, field)
            mistakes.append(Mistake(where, message, f"each {field} once"))
        seen.setdefault(value, path)


def _check_unique_values(data: Any, mistakes: list[Mistake]) -> None:
    _check_unique(_list_tables("", data, "groups"), "name", mistakes)
    _check_unique(_list_endpoints(data), "name", mistakes)
    # An endpoint listed twice in a group would count twice towards its majority, and
    # one listed in two groups would mix their rows.
    _check_unique(_list_endpoints(data), "address", mistakes)
    _check_unique(_list_tables("", data, "workspaces"), "name", mistakes)
    for path, workspace in _list_tables("", data, "workspaces"):
        _check_unique(_list_tables(path, workspace, "keys"), "id", mistakes)
    # A key in two workspaces wouldn't tell which workspace a request belongs to.
    _check_unique(_list_keys(data), "hash", mistakes)
    _check_unique(_list_tables("", data, "operators"), "name", mistakes)
    # One person with two names could give both signatures that a bundle needs.
    _check_unique(_list_tables("", data, "operators"), "public_key", mistakes)


def _check_endpoints(data: Any, mistakes: list[Mistake]) -> None:
    for path, endpoint in _list_endpoints(data):
        slots = endpoint.get("slots")
        connections = endpoint.get("connections")
        are_integers = isinstance(slots, int) and isinstance(connections, int)
        if are_integers and slots > connections:
            where = join_field(path, "slots")
            message = "is more than the endpoint's connections"
            mistakes.append(Mistake(where, message, "at most its connections"))
    for path, group in _list_tables("", data, "groups"):
        endpoints = [item for _, item in _list_tables(path, group, "endpoints")]
        if endpoints and all(item.get("leaving") is True for item in endpoints):
            where = join_field(path, "endpoints")
            allowed = "at least one endpoint that isn't leaving"
            mistakes.append(Mistake(where, "are all leaving", allowed))


def _list_group_names(data: Any) -> set[str] | None:
    """Return the names of the groups; None if any of them is malformed.

    None disables the check that workspaces name existing groups. Otherwise a mistake in
    a group's name would be reported again at each workspace that uses the group.
    """
    groups = data.get("groups") if isinstance(data, dict) else None
    if not isinstance(groups, list):
        return None
    names = [group.get("name") for _, group in _list_tables("", data, "groups")]
    if len(names) < len(groups) or not all(isinstance(name, str) for name in names):
        return None
    return set(names)


def _check_workspaces(data: Any, mistakes: list[Mistake]) -> None:
    group_names = _list_group_names(data)
    for path, workspace in _list_tables("", data, "workspaces"):
        groups = workspace.get("groups")
        names = groups if isinstance(groups, list) else []
        seen = set()
        for index, name in enumerate(names):
            if not isinstance(name, str):
                continue
            where = f"{join_field(path, 'groups')}[{index}]"
            if group_names is not None and name not in group_names:
                allowed = "the name of a group of this bundle"
                mistakes.append(Mistake(where, "names no group", allowed))
            if name in seen:
                mistakes.append(Mistake(where, "is there twice", "each group once"))
            seen.add(name)


def _check_size(data: Any, mistakes: list[Mistake]) -> None:
    size = len(encode_bundle(data))
    if size > MAX_BUNDLE_BYTES:
        allowed = f"up to {MAX_BUNDLE_BYTES} bytes as JSON; the platform holds no more"
        mistakes.append(Mistake("", f"is {size} bytes long", allowed))


# Digest


def normalize_bundle(bundle: Bundle) -> Bundle:
    """Return the bundle with rates and bursts as floats.

    TOML distinguishes 5 from 5.0, which would change the digest but nothing else.
    """
    workspaces = [
        {**entry, "rate": float(entry["rate"]), "burst": float(entry["burst"])}
        for entry in bundle["workspaces"]
    ]
    return {**bundle, "workspaces": workspaces}


def encode_bundle(bundle: Bundle) -> bytes:
    """Return the canonical JSON: keys sorted, no spaces, rates as floats."""
    normal = normalize_bundle(bundle)
    return json.dumps(normal, sort_keys=True, separators=(",", ":")).encode("utf-8")


def digest_bundle(bundle: Bundle) -> str:
    """Return `sha256:HEX` of the canonical JSON."""
    return DIGEST_PREFIX + hashlib.sha256(encode_bundle(bundle)).hexdigest()


# Comparing


def diff_bundles(old: Bundle | None, new: Bundle) -> list[Change]:
    """Return each difference, sorted by path; items of lists are matched by name."""
    before = dict(_flatten("", old or {}))
    after = dict(_flatten("", new))
    paths = sorted(before.keys() | after.keys())
    return [
        Change(path, before.get(path), after.get(path))
        for path in paths
        if before.get(path) != after.get(path)
    ]


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each leaf."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from _flatten(join_field(path, name), part)
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        for item in value:
            name = item.get("name") or item["id"]
            yield from _flatten(f"{path}[{name}]", item)
    else:
        yield path, value


def check_transition(old: Bundle | None, new: Bundle) -> list[Mistake]:
    """Return the mistakes that keep `new` from being the version after `old`.

    A write is acknowledged once a majority of its group's endpoints holds it, and a
    promotion finds it because any two majorities share an endpoint. If too many
    endpoints change in one version, a majority of the new ones may lack the group's
    last writes, which would be lost without an error. So each majority of the old
    endpoints must overlap each majority of the new ones.
    """
    if old is None:
        return []
    mistakes: list[Mistake] = []
    if new["version"] <= old["version"]:
        allowed = f"more than {old['version']}, the version in force"
        mistakes.append(Mistake("version", "doesn't grow", allowed))
    groups = {group["name"]: group for group in old["groups"]}
    for index, group in enumerate(new["groups"]):
        before = groups.get(group["name"])
        if before is not None and not _majorities_overlap(before, group):
            path = join_field(join_item("groups", index, group), "endpoints")
            allowed = "one endpoint more or less with each version"
            mistakes.append(Mistake(path, "change too much at once", allowed))
    return mistakes


def _majorities_overlap(old: GroupEntry, new: GroupEntry) -> bool:
    # An endpoint whose address has changed may be a new, empty instance.
    before = {(item["name"], item["address"]) for item in old["endpoints"]}
    after = {(item["name"], item["address"]) for item in new["endpoints"]}
    majorities = (len(before) // 2 + 1) + (len(after) // 2 + 1)
    return majorities > len(before | after)


# Compiling


def check_record(data: Any) -> Result[ConfigRecord, Refusal]:
    """Return the record if its bundle has no mistakes and its digest is correct.

    Records come from the platform and from peers. A daemon that accepted one
    unchecked could fail half-way through putting it in force.
    """
    try:
        record = msgspec.convert(data, ConfigRecord)
    except msgspec.ValidationError as error:
        return refuse(Code.BUNDLE_INVALID, f"the record is malformed: {error}")
    mistakes = check_bundle(data["bundle"])
    if mistakes:
        summary = "; ".join(
            f"{m.path} {m.message}" for m in mistakes[:MAX_LISTED_MISTAKES]
        )
        return refuse(Code.BUNDLE_INVALID, f"the bundle has mistakes: {summary}")
    if record["digest"] != digest_bundle(record["bundle"]):
        return refuse(Code.BUNDLE_INVALID, "the digest isn't that of the bundle")
    if record["version"] != record["bundle"]["version"]:
        return refuse(Code.BUNDLE_INVALID, "the version isn't that of the bundle")
    return Ok(record)


def compile_bundle(record: ConfigRecord) -> Configuration:
    """Return the configuration of a record that `check_record` has passed."""
    bundle = record["bundle"]
    return Configuration(
        version=record["version"],
        digest=record["digest"],
        groups={entry["name"]: _compile_group(entry) for entry in bundle["groups"]},
        workspaces={
            entry["name"]: _compile_workspace(entry) for entry in bundle["workspaces"]
        },
    )


def _compile_group(entry: GroupEntry) -> GroupSpec:
    return GroupSpec(
        name=entry["name"],
        endpoints=tuple(_compile_endpoint(item) for item in entry["endpoints"]),
        max_age_ms=entry.get("max_age_ms", DEFAULT_MAX_AGE_MS),
    )


def _compile_endpoint(entry: EndpointEntry) -> EndpointSpec:
    return EndpointSpec(
        name=entry["name"],
        address=parse_ip_address(entry["address"]),
        failure_domain=entry["failure_domain"],
        slots=entry["slots"],
        connections=entry["connections"],
        leaving=entry.get("leaving", False),
    )


def _compile_workspace(entry: WorkspaceEntry) -> WorkspaceSpec:
    return WorkspaceSpec(
        name=entry["name"],
        rate=float(entry["rate"]),
        burst=float(entry["burst"]),
        groups=frozenset(entry["groups"]),
        key_hashes={key["hash"]: key["id"] for key in entry["keys"]},
    )
