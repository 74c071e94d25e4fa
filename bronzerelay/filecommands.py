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
    session: Session,
    file: str,
    edit: Edit,
    success_message: str,
    *secrets: str,
    **data: Any,
) -> int:
    """Edit the file, print the outcome and return the exit code.

    The lines in `secrets` are printed only after the file has been written. `data` are
    the fields of the JSON output.
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
        return _show_failure(session, f"{file} can't be written: {error.strerror}")
    lines = [success_message, *secrets]
    if edited.ok.rewritten:
        lines.append("note: the file was written afresh; its comments are gone")
    rewritten = edited.ok.rewritten
    show(session.output, {**data, "rewritten": rewritten}, [*lines, NEXT_STEP])
    return DONE


def _show_failure(session: Session, message: str) -> int:
    refused = refuse(Code.NOT_FOUND, message).map_error(RolloutError)
    return show_error(session.output, refused.error)


def check_entry(session: Session, file: str, kind: str, name: str) -> int:
    """Return 0 if the file has the entry; else print an error, return its exit code."""
    parsed = read_bundle(file)
    if parsed.is_error():
        return show_error(session.output, parsed.error)
    names = _list_names(parsed.ok, kind)
    if name in names:
        return DONE
    message = f"{file} has no {kind} {name!r}; it has: {', '.join(names) or 'none'}"
    return _show_failure(session, message)


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
    parsed = read_bundle(file)
    if parsed.is_error():
        return show_error(session.output, parsed.error)
    entries = parsed.ok["workspaces"]
    lines = [_format_workspace(entry) for entry in entries]
    show(session.output, {"workspaces": entries}, lines or ["no workspaces"])
    return DONE


def _format_workspace(entry: WorkspaceEntry) -> str:
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
@click.option("--rate", type=float, required=True, help="Requests per second.")
@click.option("--burst", type=float, required=True, help="Size of a burst in requests.")
@click.option(
    "--group", "groups", multiple=True, help="A group that it may use; repeatable."
)
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
    success_message = f"workspace {name} is added; it has no key yet"
    return edit_file(
        session, file, edits.add_workspace(entry), success_message, workspace=name
    )


@workspace.command(
    "set-rate",
    epilog=write_examples(
        "bronzerelay workspace set-rate bundle.toml north 150 --burst 30"
    ),
)
@FILE
@click.argument("name")
@click.argument("rate", type=float)
@click.option(
    "--burst", type=float, help="Size of a burst in requests; unchanged by default."
)
@with_options()
def set_rate(
    session: Session, file: str, name: str, rate: float, burst: float | None
) -> int:
    """Set the RATE of the workspace NAME in FILE."""
    exit_code = check_entry(session, file, "workspace", name)
    if exit_code:
        return exit_code
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
    exit_code = check_entry(session, file, "workspace", name)
    if exit_code:
        return exit_code
    edit = edits.remove_workspace(name)
    success_message = f"workspace {name} is removed with its keys"
    return edit_file(session, file, edit, success_message, workspace=name)


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
    parsed = read_bundle(file)
    if parsed.is_error():
        return show_error(session.output, parsed.error)
    lines = [
        _format_endpoint(group["name"], entry)
        for group in parsed.ok["groups"]
        for entry in group["endpoints"]
    ]
    show(session.output, {"groups": parsed.ok["groups"]}, lines or ["no endpoints"])
    return DONE


def _format_endpoint(group: str, entry: EndpointEntry) -> str:
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
@click.option("--address", required=True, help="IPv4 address and port.")
@click.option("--failure-domain", required=True, help="The failure domain it runs in.")
@click.option("--slots", type=int, required=True, help="Statements that run at a time.")
@click.option(
    "--connections", type=int, required=True, help="Connections that it accepts."
)
@with_options()
def add_endpoint(
    session: Session, file: str, group: str, name: str, **fields: Any
) -> int:
    """Add the endpoint NAME to a GROUP of FILE."""
    exit_code = check_entry(session, file, "group", group)
    if exit_code:
        return exit_code
    entry: EndpointEntry = {"name": name, **fields}
    edit = edits.add_endpoint(group, entry)
    success_message = f"endpoint {name} is added to group {group}"
    return edit_file(session, file, edit, success_message, endpoint=name)


@endpoint.command(
    "drain", epilog=write_examples("bronzerelay endpoint drain bundle.toml orders-2")
)
@FILE
@click.argument("name")
@with_options()
def drain_endpoint(session: Session, file: str, name: str) -> int:
    """Mark the endpoint NAME of FILE as leaving, so that it gets no new work."""
    exit_code = check_entry(session, file, "endpoint", name)
    if exit_code:
        return exit_code
    edit = edits.drain_endpoint(name)
    success_message = f"endpoint {name} is marked as leaving"
    return edit_file(session, file, edit, success_message, endpoint=name)


@endpoint.command(
    "remove", epilog=write_examples("bronzerelay endpoint remove bundle.toml orders-2")
)
@FILE
@click.argument("name")
@with_options()
def remove_endpoint(session: Session, file: str, name: str) -> int:
    """Remove the endpoint NAME from FILE; drain it first."""
    exit_code = check_entry(session, file, "endpoint", name)
    if exit_code:
        return exit_code
    edit = edits.remove_endpoint(name)
    return edit_file(session, file, edit, f"endpoint {name} is removed", endpoint=name)
