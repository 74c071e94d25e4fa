"""The commands that edit the bundle file: workspaces and endpoints."""

from typing import Any

import click

from bronzerelay import edits
from bronzerelay.bundlefile import Edit, edit_text, write_text
from bronzerelay.codes import Code, refuse
from bronzerelay.options import (
    Session,
    read_bundle,
    read_file,
    with_options,
    write_examples,
)
from bronzerelay.outcomes import RolloutError, refuse_mistakes
from bronzerelay.printing import DONE, show, show_error
from bronzerelay.types import Bundle, EndpointEntry, WorkspaceEntry

NEXT_STEP = (
    "The file alone has changed; set its version to the next one and roll it out "
    "with 'bronzerelay bundle'."
)
FILE = click.argument("file")


def edit_file(
    session: Session, file: str, edit: Edit, done: str, *secrets: str, **data: Any
) -> int:
    """Edit the file, print the outcome and return the exit code.

    What is in `secrets` is printed only after the file has been written.
    """
    text = read_file(file)
    if text.is_error():
        return show_error(session.output, text.error)
    edited = edit_text(text.ok, edit)
    if edited.is_error():
        return show_error(session.output, refuse_mistakes(edited.error).error)
    try:
        write_text(file, edited.ok.text)
    except OSError as error:
        return _show_missing(session, f"{file} can't be written: {error.strerror}")
    lines = [done, *secrets]
    if edited.ok.rewritten:
        lines.append("note: the file was written afresh; its comments are gone")
    rewritten = edited.ok.rewritten
    show(session.output, {**data, "rewritten": rewritten}, [*lines, NEXT_STEP])
    return DONE


def _show_missing(session: Session, message: str) -> int:
    refused = refuse(Code.NOT_FOUND, message).map_error(RolloutError)
    return show_error(session.output, refused.error)


def check_entry(session: Session, file: str, kind: str, name: str) -> int:
    """Return 0 when the file has the entry; else say so and return an exit code."""
    found = read_bundle(file)
    if found.is_error():
        return show_error(session.output, found.error)
    names = _list_names(found.ok, kind)
    if name in names:
        return DONE
    message = f"{file} has no {kind} {name!r}; it has: {', '.join(names) or 'none'}"
    return _show_missing(session, message)


def _list_names(bundle: Bundle, kind: str) -> list[str]:
    if kind == "workspace":
        return [entry["name"] for entry in bundle["workspaces"]]
    if kind == "group":
        return [entry["name"] for entry in bundle["groups"]]
    return [e["name"] for group in bundle["groups"] for e in group["endpoints"]]


# Workspaces


@click.group()
def workspace() -> None:
    """List and change the workspaces of a bundle file."""


@workspace.command(
    "list", epilog=write_examples("bronzerelay workspace list bundle.toml")
)
@FILE
@with_options()
def list_workspaces(session: Session, file: str) -> int:
    """List the workspaces of FILE."""
    found = read_bundle(file)
    if found.is_error():
        return show_error(session.output, found.error)
    entries = found.ok["workspaces"]
    lines = [_show_workspace(entry) for entry in entries]
    show(session.output, {"workspaces": entries}, lines or ["no workspaces"])
    return DONE


def _show_workspace(entry: WorkspaceEntry) -> str:
    groups = ", ".join(entry["groups"]) or "none"
    keys = ", ".join(key["id"] for key in entry["keys"]) or "none"
    return (
        f"{entry['name']}: {entry['rate']:g} a second, burst {entry['burst']:g}, "
        f"groups {groups}, keys {keys}"
    )


@workspace.command(
    "add",
    epilog=write_examples(
        "bronzerelay workspace add bundle.toml north --rate 100 --burst 20 "
        "--group orders"
    ),
)
@FILE
@click.argument("name")
@click.option("--rate", type=float, required=True, help="Requests a second.")
@click.option("--burst", type=float, required=True, help="Requests at once.")
@click.option("--group", "groups", multiple=True, help="A group; give several so.")
@with_options()
def add_workspace(
    session: Session,
    file: str,
    name: str,
    rate: float,
    burst: float,
    groups: tuple[str, ...],
) -> int:
    """Add the workspace NAME to FILE."""
    entry: WorkspaceEntry = {
        "name": name,
        "rate": rate,
        "burst": burst,
        "groups": list(groups),
        "keys": [],
    }
    done = f"workspace {name} is added; it has no key yet"
    return edit_file(session, file, edits.add_workspace(entry), done, workspace=name)


@workspace.command(
    "set-rate",
    epilog=write_examples(
        "bronzerelay workspace set-rate bundle.toml north 150 --burst 30"
    ),
)
@FILE
@click.argument("name")
@click.argument("rate", type=float)
@click.option("--burst", type=float, help="Requests at once; unchanged by default.")
@with_options()
def set_rate(
    session: Session, file: str, name: str, rate: float, burst: float | None
) -> int:
    """Set the RATE of the workspace NAME in FILE."""
    missing = check_entry(session, file, "workspace", name)
    if missing:
        return missing
    edit = edits.set_rate(name, rate, burst)
    return edit_file(session, file, edit, f"workspace {name} is set", workspace=name)


@workspace.command(
    "remove", epilog=write_examples("bronzerelay workspace remove bundle.toml north")
)
@FILE
@click.argument("name")
@with_options()
def remove_workspace(session: Session, file: str, name: str) -> int:
    """Remove the workspace NAME with its keys from FILE."""
    missing = check_entry(session, file, "workspace", name)
    if missing:
        return missing
    edit = edits.remove_workspace(name)
    done = f"workspace {name} is removed with its keys"
    return edit_file(session, file, edit, done, workspace=name)


# Endpoints


@click.group()
def endpoint() -> None:
    """List and change the endpoints of a bundle file."""


@endpoint.command(
    "list", epilog=write_examples("bronzerelay endpoint list bundle.toml")
)
@FILE
@with_options()
def list_endpoints(session: Session, file: str) -> int:
    """List the endpoints of FILE by group."""
    found = read_bundle(file)
    if found.is_error():
        return show_error(session.output, found.error)
    lines = [
        _show_endpoint(group["name"], entry)
        for group in found.ok["groups"]
        for entry in group["endpoints"]
    ]
    show(session.output, {"groups": found.ok["groups"]}, lines or ["no endpoints"])
    return DONE


def _show_endpoint(group: str, entry: EndpointEntry) -> str:
    leaving = ", leaving" if entry.get("leaving") else ""
    return (
        f"{group}/{entry['name']}: {entry['address']}, domain "
        f"{entry['failure_domain']}, {entry['slots']} slots, "
        f"{entry['connections']} connections{leaving}"
    )


@endpoint.command(
    "add",
    epilog=write_examples(
        "bronzerelay endpoint add bundle.toml orders orders-4 "
        "--address 10.0.0.4:5432 --failure-domain a --slots 3 --connections 20"
    ),
)
@FILE
@click.argument("group")
@click.argument("name")
@click.option("--address", required=True, help="IPv4 number and port.")
@click.option("--failure-domain", required=True, help="Where it runs.")
@click.option("--slots", type=int, required=True, help="Statements at a time.")
@click.option("--connections", type=int, required=True, help="Connections it takes.")
@with_options()
def add_endpoint(
    session: Session, file: str, group: str, name: str, **fields: Any
) -> int:
    """Add the endpoint NAME to a GROUP of FILE."""
    missing = check_entry(session, file, "group", group)
    if missing:
        return missing
    entry: EndpointEntry = {"name": name, **fields}
    edit = edits.add_endpoint(group, entry)
    done = f"endpoint {name} is added to group {group}"
    return edit_file(session, file, edit, done, endpoint=name)


@endpoint.command(
    "drain", epilog=write_examples("bronzerelay endpoint drain bundle.toml orders-2")
)
@FILE
@click.argument("name")
@with_options()
def drain_endpoint(session: Session, file: str, name: str) -> int:
    """Mark the endpoint NAME of FILE as leaving, so that it gets no new work."""
    missing = check_entry(session, file, "endpoint", name)
    if missing:
        return missing
    edit = edits.drain_endpoint(name)
    done = f"endpoint {name} is marked as leaving"
    return edit_file(session, file, edit, done, endpoint=name)


@endpoint.command(
    "remove", epilog=write_examples("bronzerelay endpoint remove bundle.toml orders-2")
)
@FILE
@click.argument("name")
@with_options()
def remove_endpoint(session: Session, file: str, name: str) -> int:
    """Remove the endpoint NAME from FILE; drain it first."""
    missing = check_entry(session, file, "endpoint", name)
    if missing:
        return missing
    edit = edits.remove_endpoint(name)
    return edit_file(session, file, edit, f"endpoint {name} is removed", endpoint=name)
