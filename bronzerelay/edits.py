"""Edits of a bundle file: workspaces, endpoints and callers' keys."""

from collections.abc import Callable
from typing import Any

from bronzerelay.bundlefile import (
    Block,
    Edit,
    find_span,
    insert_block,
    remove_line,
    set_line,
    write_table,
    write_workspace,
)
from bronzerelay.types import Bundle, EndpointEntry, KeyEntry, WorkspaceEntry


def add_workspace(entry: WorkspaceEntry) -> Edit:
    """Return the edit that adds a workspace after all others."""

    def change_bundle(bundle: Bundle) -> Bundle:
        return {**bundle, "workspaces": [*bundle["workspaces"], entry]}

    def change_blocks(blocks: list[Block]) -> list[Block]:
        return insert_block(blocks, len(blocks), write_workspace(entry))

    return Edit(change_bundle, change_blocks)


def set_rate(name: str, rate: float, burst: float | None) -> Edit:
    """Return the edit that sets a workspace's rate, and its burst unless None."""
    changes = {"rate": rate} if burst is None else {"rate": rate, "burst": burst}
    return _change_entry("workspaces", name, changes)


def remove_workspace(name: str) -> Edit:
    """Return the edit that removes a workspace with its keys."""

    def change_bundle(bundle: Bundle) -> Bundle:
        remaining = [entry for entry in bundle["workspaces"] if entry["name"] != name]
        return {**bundle, "workspaces": remaining}

    return Edit(change_bundle, _remove_span("workspaces", name))


def add_key(workspace: str, entry: KeyEntry) -> Edit:
    """Return the edit that adds a key to a workspace."""

    def change_bundle(bundle: Bundle) -> Bundle:
        return _map_workspace(
            bundle,
            workspace,
            lambda workspace_entry: {
                **workspace_entry,
                "keys": [*workspace_entry["keys"], entry],
            },
        )

    def change_blocks(blocks: list[Block]) -> list[Block]:
        first, end = find_span(blocks, "workspaces", workspace)
        if first == end:
            return blocks
        blocks = list(blocks)
        if end == first + 1:
            # TOML doesn't allow both a line `keys = []` and tables of keys.
            blocks[first] = remove_line(blocks[first], "keys")
        text = write_table("workspaces.keys", entry, KeyEntry)
        return insert_block(blocks, end, text)

    return Edit(change_bundle, change_blocks)


def add_endpoint(group: str, entry: EndpointEntry) -> Edit:
    """Return the edit that adds an endpoint to a group."""

    def change_bundle(bundle: Bundle) -> Bundle:
        groups = [
            {**group_entry, "endpoints": [*group_entry["endpoints"], entry]}
            if group_entry["name"] == group
            else group_entry
            for group_entry in bundle["groups"]
        ]
        return {**bundle, "groups": groups}

    def change_blocks(blocks: list[Block]) -> list[Block]:
        _, end = find_span(blocks, "groups", group)
        text = write_table("groups.endpoints", entry, EndpointEntry)
        return insert_block(blocks, end, text)

    return Edit(change_bundle, change_blocks)


def drain_endpoint(name: str) -> Edit:
    """Return the edit that marks an endpoint as leaving."""
    return _change_entry("groups.endpoints", name, {"leaving": True})


def remove_endpoint(name: str) -> Edit:
    """Return the edit that removes an endpoint."""

    def change_bundle(bundle: Bundle) -> Bundle:
        groups = [
            {
                **group,
                "endpoints": [
                    entry for entry in group["endpoints"] if entry["name"] != name
                ],
            }
            for group in bundle["groups"]
        ]
        return {**bundle, "groups": groups}

    return Edit(change_bundle, _remove_span("groups.endpoints", name))


def _remove_span(header: str, name: str) -> Callable[[list[Block]], list[Block]]:
    def change_blocks(blocks: list[Block]) -> list[Block]:
        first, end = find_span(blocks, header, name)
        return [*blocks[:first], *blocks[end:]]

    return change_blocks


def _change_entry(header: str, name: str, changes: dict[str, Any]) -> Edit:
    """Return the edit that sets fields of one entry."""

    def change_bundle(bundle: Bundle) -> Bundle:
        if header == "workspaces":
            return _map_workspace(bundle, name, lambda entry: {**entry, **changes})
        groups = [
            {
                **group,
                "endpoints": [
                    {**entry, **changes} if entry["name"] == name else entry
                    for entry in group["endpoints"]
                ],
            }
            for group in bundle["groups"]
        ]
        return {**bundle, "groups": groups}

    def change_blocks(blocks: list[Block]) -> list[Block]:
        first, end = find_span(blocks, header, name)
        if first == end:
            return blocks
        blocks = list(blocks)
        for field, value in changes.items():
            blocks[first] = set_line(blocks[first], field, value)
        return blocks

    return Edit(change_bundle, change_blocks)


def _map_workspace(
    bundle: Bundle, name: str, change: Callable[[WorkspaceEntry], WorkspaceEntry]
) -> Bundle:
    workspaces = [
        change(entry) if entry["name"] == name else entry
        for entry in bundle["workspaces"]
    ]
    return {**bundle, "workspaces": workspaces}
