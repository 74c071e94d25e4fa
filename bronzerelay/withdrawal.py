"""Withdrawal of keys: bundles that only remove keys, and rollbacks that omit them."""

from expression import Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.signing import find_valid_signers, list_operators
from bronzerelay.types import Bundle, ConfigRecord, WorkspaceEntry


def remove_key(bundle: Bundle, workspace: str, key_id: str) -> Bundle:
    """Return the next version of the bundle without the key."""
    workspaces = [
        {**entry, "keys": [key for key in entry["keys"] if key["id"] != key_id]}
        if entry["name"] == workspace
        else entry
        for entry in bundle["workspaces"]
    ]
    return {**bundle, "version": bundle["version"] + 1, "workspaces": workspaces}


def rebuild_bundle(
    old: Bundle, in_force: Bundle, withdrawn: set[str]
) -> tuple[Bundle, tuple[str, ...]]:
    """Return the next version with the content of `old`, and the names of omitted keys.

    The operators are those in force. Keys whose hash is in `withdrawn` are omitted.
    """
    bundle: Bundle = {**old, "version": in_force["version"] + 1}
    bundle.pop("operators", None)
    if "operators" in in_force:
        bundle["operators"] = in_force["operators"]
    bundle["workspaces"] = [
        {
            **entry,
            "keys": [key for key in entry["keys"] if key["hash"] not in withdrawn],
        }
        for entry in old["workspaces"]
    ]
    return bundle, list_key_names(old, withdrawn)


def check_withdrawal(
    record: ConfigRecord, in_force: Bundle | None
) -> Result[None, Refusal]:
    """Return Ok if the record only removes keys and its author has signed it."""
    if not _only_removes_keys(record["bundle"], in_force):
        return refuse(Code.SIGNATURE_MISSING, "this changes more than keys withdrawn")
    if not list_operators(record, in_force):
        return Ok(None)
    if record["author"] not in find_valid_signers(record, in_force):
        message = f"there is no valid signature of {record['author']!r}"
        return refuse(Code.SIGNATURE_MISSING, message)
    return Ok(None)


def _only_removes_keys(bundle: Bundle, in_force: Bundle | None) -> bool:
    if in_force is None:
        return False
    next_version = in_force["version"] + 1
    remaining_hashes = list_hashes(bundle)
    expected_workspaces = [
        {
            **entry,
            "keys": [
                key
                for key in entry["keys"]
                if key["hash"] in remaining_hashes.get(entry["name"], set())
            ],
        }
        for entry in in_force["workspaces"]
    ]
    return bundle == {
        **in_force,
        "version": next_version,
        "workspaces": expected_workspaces,
    }


def list_key_names(bundle: Bundle, hashes: set[str]) -> tuple[str, ...]:
    """Return `WORKSPACE/ID` of each key whose hash is one of `hashes`."""
    return tuple(
        f"{entry['name']}/{key['id']}"
        for entry in bundle["workspaces"]
        for key in entry["keys"]
        if key["hash"] in hashes
    )


def list_hashes(bundle: Bundle) -> dict[str, set[str]]:
    """Return the hashes of each workspace's keys."""
    return {
        entry["name"]: {key["hash"] for key in entry["keys"]}
        for entry in bundle["workspaces"]
    }


def find_workspace(bundle: Bundle | None, name: str) -> WorkspaceEntry | None:
    """Return the entry of a workspace, or None."""
    entries = bundle["workspaces"] if bundle else []
    return next((entry for entry in entries if entry["name"] == name), None)
