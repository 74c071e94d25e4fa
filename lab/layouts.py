"""Builds configurations of any number of groups and workspaces for measurements."""

from bronzerelay.bundle import digest_bundle
from bronzerelay.keys import hash_key
from bronzerelay.runtime import Address
from bronzerelay.types import (
    Bundle,
    ConfigRecord,
    EndpointSpec,
    GroupSpec,
    WorkspaceSpec,
)

INSTANCES = 3
# Both users have 8 workspaces for every 3 groups today.
WORKSPACES_TODAY = 8
GROUPS_TODAY = 3
SLOTS = 3
CONNECTIONS = 20
MAX_AGE_MS = 10_000
RATE = 100.0
BURST = 50.0


def build_bundle(groups: int) -> Bundle:
    """Return a bundle of `groups` groups, with workspaces in today's proportion."""
    names = [f"group-{number:05}" for number in range(groups)]
    count = groups * WORKSPACES_TODAY // GROUPS_TODAY
    return {
        "format": 1,
        "version": 1,
        "groups": [_build_group(name, number) for number, name in enumerate(names)],
        "workspaces": [
            _build_workspace(f"workspace-{number:05}", names[number % groups])
            for number in range(count)
        ],
    }


def _build_group(name: str, group: int) -> dict:
    endpoints = [
        {
            "name": f"{name}-{number}",
            "address": f"10.{group // 250}.{group % 250}.{number}:5432",
            "failure_domain": f"region-1-{number}",
            "slots": SLOTS,
            "connections": CONNECTIONS,
        }
        for number in range(1, INSTANCES + 1)
    ]
    return {"name": name, "endpoints": endpoints}


def _build_workspace(name: str, group: str) -> dict:
    keys = [{"id": f"{name}-1", "hash": hash_key(name)}]
    limits = {"rate": RATE, "burst": BURST}
    return {"name": name, **limits, "groups": [group], "keys": keys}


def build_record(groups: int) -> ConfigRecord:
    """Return the configuration record of a bundle of `groups` groups."""
    bundle = build_bundle(groups)
    return {
        "version": 1,
        "digest": digest_bundle(bundle),
        "bundle": bundle,
        "author": "lab",
        "signatures": [],
    }


def build_group_spec(name: str, addresses: list[Address]) -> GroupSpec:
    """Return a group whose instances are reached at `addresses`."""
    endpoints = tuple(
        EndpointSpec(f"{name}-{number}", address, "a", SLOTS, CONNECTIONS, False)
        for number, address in enumerate(addresses, start=1)
    )
    return GroupSpec(name, endpoints, MAX_AGE_MS)


def build_workspace_specs(count: int) -> list[WorkspaceSpec]:
    """Return `count` workspaces with the same rate and burst."""
    return [
        WorkspaceSpec(f"workspace-{number:05}", RATE, BURST, frozenset(), {})
        for number in range(count)
    ]
