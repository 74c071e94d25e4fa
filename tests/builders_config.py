"""Builders of configuration bundles and records."""

import json
from typing import Any

from bronzerelay.bundle import digest_bundle
from bronzerelay.keys import hash_key
from bronzerelay.types import (
    Bundle,
    ConfigRecord,
    EndpointEntry,
    GroupEntry,
    KeyEntry,
    OperatorEntry,
    SignatureEntry,
    WorkspaceEntry,
)


def make_endpoint(name: str, port: int, **changes: Any) -> EndpointEntry:
    """Return an endpoint on the loopback interface."""
    entry = {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "failure_domain": "a",
        "slots": 3,
        "connections": 20,
    }
    return {**entry, **changes}


def make_group(name: str, first_port: int, size: int = 3, **changes: Any) -> GroupEntry:
    """Return a group of `size` endpoints in failure domains a, b, c and so on."""
    endpoints = [
        make_endpoint(
            f"{name}-{index + 1}",
            first_port + index,
            failure_domain=chr(ord("a") + index),
        )
        for index in range(size)
    ]
    return {"name": name, "endpoints": endpoints, **changes}


def make_key_entry(key: str) -> KeyEntry:
    """Return the entry of a key, with an id made from its hash."""
    digest = hash_key(key)
    return {"id": f"key-{digest[-8:]}", "hash": digest}


def make_workspace(name: str, *keys: str, **changes: Any) -> WorkspaceEntry:
    """Return a workspace for the group `orders`; its key is `NAME-key` by default."""
    entry = {
        "name": name,
        "rate": 100.0,
        "burst": 20.0,
        "groups": ["orders"],
        "keys": [make_key_entry(key) for key in keys or (f"{name}-key",)],
    }
    return {**entry, **changes}


def make_bundle(version: int = 1, **changes: Any) -> Bundle:
    """Return a bundle with the group `orders` and two workspaces."""
    bundle = {
        "format": 1,
        "version": version,
        "groups": [make_group("orders", 5001)],
        "workspaces": [make_workspace("north"), make_workspace("south")],
    }
    return {**bundle, **changes}


def make_operators(**public_keys: str) -> list[OperatorEntry]:
    """Return operator entries from names and public keys."""
    return [{"name": name, "public_key": key} for name, key in public_keys.items()]


def make_record(
    bundle: Bundle, author: str = "ana", signatures: list[SignatureEntry] | None = None
) -> ConfigRecord:
    """Return the record of a bundle, with its correct digest."""
    return {
        "version": bundle["version"],
        "digest": digest_bundle(bundle),
        "bundle": bundle,
        "author": author,
        "signatures": signatures or [],
    }


def write_toml(table: dict[str, Any]) -> str:
    """Return the table as TOML, one line per field, with nested tables inline."""
    lines = [f"{json.dumps(name)} = {_write(value)}" for name, value in table.items()]
    return "\n".join(lines) + "\n"


def _write(value: Any) -> str:
    if isinstance(value, dict):
        parts = [f"{json.dumps(name)} = {_write(part)}" for name, part in value.items()]
        return "{" + ", ".join(parts) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_write(part) for part in value) + "]"
    if isinstance(value, float):
        return repr(value)
    return json.dumps(value)
