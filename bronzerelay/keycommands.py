"""The commands for keys: operators' signing keys and callers' API keys."""

import os

import click

from bronzerelay import edits
from bronzerelay.codes import Code, refuse
from bronzerelay.filecommands import check_entry, edit_file
from bronzerelay.following import wait_and_report
from bronzerelay.keys import hash_key, make_key
from bronzerelay.options import (
    FLEET_OPTIONS,
    OPERATOR,
    SIGNING_OPTIONS,
    WAIT,
    Session,
    with_options,
    write_examples,
)
from bronzerelay.outcomes import RolloutError
from bronzerelay.printing import DONE, show, show_error
from bronzerelay.signing import make_operator_key

PRIVATE_MODE = 0o600


@click.group()
def key() -> None:
    """Make operators' keys; grant and withdraw callers' keys."""


@key.command(
    epilog=write_examples(
        "bronzerelay key make --operator ana",
        "bronzerelay key make --operator ana --file ~/.bronzerelay-ana.key",
    )
)
@click.option(
    "--file", help="The file to write the private key to; OPERATOR.key by default."
)
@with_options(OPERATOR)
def make(session: Session, file: str | None) -> int:
    """Make an operator's key pair for signing bundles."""
    name = session.settings.operator
    path = file or f"{name}.key"
    pair = make_operator_key()
    try:
        _write_private_key(path, pair.private)
    except OSError as error:
        message = f"{path} can't be written: {error.strerror}"
        refused = refuse(Code.NOT_FOUND, message).map_error(RolloutError)
        return show_error(session.output, refused.error)
    data = {"operator": name, "public_key": pair.public, "private_key_file": path}
    lines = [
        f"the private key is in {path}; keep it to yourself",
        f"public key: {pair.public}",
        "for the bundle:",
        "[[operators]]",
        f'name = "{name}"',
        f'public_key = "{pair.public}"',
    ]
    show(session.output, data, lines)
    return DONE


def _write_private_key(path: str, private_key: str) -> None:
    """Write a new file that only its owner may read.

    An existing file is an error: replacing an operator's only key by mistake would
    lock the operator out.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    descriptor = os.open(path, flags, PRIVATE_MODE)
    with os.fdopen(descriptor, "w", encoding="ascii") as file:
        os.fchmod(descriptor, PRIVATE_MODE)
        file.write(private_key + "\n")


@key.command(epilog=write_examples("bronzerelay key grant bundle.toml north till-7"))
@click.argument("file")
@click.argument("workspace")
@click.argument("key_id", metavar="ID")
@with_options()
def grant(session: Session, file: str, workspace: str, key_id: str) -> int:
    """Add a key ID for WORKSPACE to FILE and print the key, which isn't stored."""
    exit_code = check_entry(session, file, "workspace", workspace)
    if exit_code:
        return exit_code
    secret = make_key()
    edit = edits.add_key(workspace, {"id": key_id, "hash": hash_key(secret)})
    return edit_file(
        session,
        file,
        edit,
        f"key {key_id} of workspace {workspace}; it is shown only now:",
        secret,
        workspace=workspace,
        id=key_id,
        key=secret,
    )


@key.command(
    epilog=write_examples(
        "bronzerelay key withdraw north till-7",
        "bronzerelay key withdraw north till-7 --wait-ms 30000 --output json",
    )
)
@click.argument("workspace")
@click.argument("key_id", metavar="ID")
@with_options(*SIGNING_OPTIONS, *FLEET_OPTIONS, WAIT)
def withdraw(session: Session, workspace: str, key_id: str) -> int:
    """Withdraw the key ID of WORKSPACE and wait until every daemon rejects it.

    This puts a new version in force, for which one operator's signature is enough.
    """
    fleet = session.open_fleet()
    result = session.open_rollout().withdraw(workspace, key_id)
    if result.is_error():
        return show_error(session.output, result.error)
    note = f"take key {key_id} out of your bundle file as well"
    in_force = result.ok._replace(notes=(*result.ok.notes, note))
    success_message = (
        f"key {key_id} of workspace {workspace} has stopped on every daemon"
    )
    return wait_and_report(session, fleet, in_force, success_message)
