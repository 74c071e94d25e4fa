"""The commands for bundles: from a file to a version in force, and back."""

from typing import Any

import click
from expression import Ok, Result

from bronzerelay.bundle import DIGEST_PREFIX, diff_bundles, digest_bundle
from bronzerelay.bundlefile import write_bundle
from bronzerelay.codes import Code
from bronzerelay.following import wait_and_report
from bronzerelay.options import (
    FLEET_OPTIONS,
    PLATFORM,
    SIGNING_OPTIONS,
    WAIT,
    Session,
    read_bundle,
    read_target,
    with_options,
    write_examples,
)
from bronzerelay.outcomes import RolloutError, RolloutResult
from bronzerelay.printing import DONE, list_changes, show, show_error
from bronzerelay.rollout import Rollout
from bronzerelay.types import Bundle, ConfigRecord

HISTORY_LIMIT = 20
NO_WAIT = click.option(
    "--no-wait", is_flag=True, help="Don't wait for the daemons, as before the first."
)


@click.group()
def bundle() -> None:
    """Check, review, sign and roll out configuration bundles."""


@bundle.command(epilog=write_examples("bronzerelay bundle check bundle.toml"))
@click.argument("file")
@with_options()
def check(session: Session, file: str) -> int:
    """Check FILE and list every mistake in it."""
    found = read_bundle(file)
    if found.is_error():
        return show_error(session.output, found.error)
    digest = digest_bundle(found.ok)
    data = {"version": found.ok["version"], "digest": digest, "mistakes": []}
    line = f"{file} has no mistakes: version {found.ok['version']}, {digest}"
    show(session.output, data, [line])
    return DONE


@bundle.command(
    epilog=write_examples(
        "bronzerelay bundle diff bundle.toml",
        "bronzerelay bundle diff sha256:3f...  (a proposal, before signing it)",
        "bronzerelay bundle diff bundle.toml --against 41",
    )
)
@click.argument("target", metavar="FILE|DIGEST")
@click.option("--against", type=int, help="A version; by default the one in force.")
@with_options(PLATFORM)
def diff(session: Session, target: str, against: int | None) -> int:
    """Show how a bundle differs from what is in force."""
    rollout = session.open_rollout()
    new = read_target(rollout, target)
    if new.is_error():
        return show_error(session.output, new.error)
    old = _read_old(rollout, against)
    if old.is_error():
        return show_error(session.output, old.error)
    changes = diff_bundles(old.ok, new.ok)
    data = {"changes": [change._asdict() for change in changes]}
    show(session.output, data, list_changes(changes) or ["no difference"])
    return DONE


def _read_old(
    rollout: Rollout, version: int | None
) -> Result[Bundle | None, RolloutError]:
    if version is None:
        return rollout.records.read_current().map(lambda current: current.bundle)
    return rollout.records.read_version(version).map(lambda record: record["bundle"])


@bundle.command(epilog=write_examples("bronzerelay bundle propose bundle.toml"))
@click.argument("file")
@with_options(*SIGNING_OPTIONS)
def propose(session: Session, file: str) -> int:
    """Store the bundle of FILE for review, signed by you."""
    rollout = session.open_rollout()
    proposed = read_bundle(file).bind(rollout.propose)
    if proposed.is_error():
        return show_error(session.output, proposed.error)
    return _show_proposal(session, rollout, proposed.ok)


@bundle.command(epilog=write_examples("bronzerelay bundle sign sha256:3f..."))
@click.argument("digest")
@with_options(*SIGNING_OPTIONS)
def sign(session: Session, digest: str) -> int:
    """Add your signature to the proposal with this DIGEST."""
    rollout = session.open_rollout()
    signed = rollout.sign(digest)
    if signed.is_error():
        return show_error(session.output, signed.error)
    return _show_proposal(session, rollout, signed.ok)


def _show_proposal(session: Session, rollout: Rollout, record: ConfigRecord) -> int:
    current = rollout.records.read_current()
    if current.is_error():
        return show_error(session.output, current.error)
    changes = diff_bundles(current.ok.bundle, record["bundle"])
    signers = [entry["operator"] for entry in record["signatures"]]
    data: dict[str, Any] = {
        "version": record["version"],
        "digest": record["digest"],
        "author": record["author"],
        "signers": signers,
        "changes": [change._asdict() for change in changes],
    }
    lines = [
        f"version {record['version']} of {record['author']}, {record['digest']}",
        f"signed by: {', '.join(signers) or 'nobody, as no operators are named'}",
        f"what it changes in version {current.ok.version}:",
        *(list_changes(changes) or ["  nothing"]),
        f"next: bronzerelay bundle sign {record['digest']}  (another operator)",
        f"then: bronzerelay bundle rollout {record['digest']}",
    ]
    show(session.output, data, lines)
    return DONE


@bundle.command(
    epilog=write_examples(
        "bronzerelay bundle rollout sha256:3f...",
        "bronzerelay bundle rollout bundle.toml --wait-ms 30000 --output json",
        "bronzerelay bundle rollout first.toml --no-wait",
    )
)
@click.argument("target", metavar="FILE|DIGEST")
@NO_WAIT
@with_options(*SIGNING_OPTIONS, *FLEET_OPTIONS, WAIT)
def rollout(session: Session, target: str, no_wait: bool) -> int:
    """Put a bundle in force and wait until every daemon has it.

    A FILE is proposed first, if it isn't yet.
    """
    fleet = None if no_wait else session.open_fleet()
    control = session.open_rollout()
    digest = Ok(target)
    if not target.startswith(DIGEST_PREFIX):
        digest = read_bundle(target).bind(control.propose).map(lambda r: r["digest"])
    result = digest.bind(lambda found: _put_in_force(control, found))
    if result.is_error():
        return show_error(session.output, result.error)
    return wait_and_report(session, fleet, result.ok)


def _put_in_force(control: Rollout, digest: str) -> Result[RolloutResult, RolloutError]:
    return control.put_in_force(digest).map_error(
        lambda error: _add_next_step(error, digest)
    )


def _add_next_step(error: RolloutError, digest: str) -> RolloutError:
    """Return the error with the command that helps, if a signature is missing."""
    refusal = error.refusal
    if refusal.code is not Code.SIGNATURE_MISSING:
        return error
    message = (
        f"{refusal.message}; the proposal is stored, so let another operator run "
        f"'bronzerelay bundle sign {digest}', then run "
        f"'bronzerelay bundle rollout {digest}'"
    )
    return error._replace(refusal=refusal._replace(message=message))


@bundle.command(
    "show",
    epilog=write_examples(
        "bronzerelay bundle show",
        "bronzerelay bundle show 41 > bundle.toml",
        "bronzerelay bundle show sha256:3f...",
    ),
)
@click.argument("version", default="", metavar="[VERSION|DIGEST]")
@with_options(PLATFORM)
def show_version(session: Session, version: str) -> int:
    """Print a version as TOML, by default the one in force."""
    control = session.open_rollout()
    found = _find_record(control, version)
    if found.is_error():
        return show_error(session.output, found.error)
    record = found.ok
    signers = ", ".join(entry["operator"] for entry in record["signatures"])
    lines = [
        f"# version {record['version']} of {record['author']}, {record['digest']}",
        f"# signed by: {signers or 'nobody'}",
        write_bundle(record["bundle"]).rstrip(),
    ]
    show(session.output, record, lines)
    return DONE


def _find_record(control: Rollout, version: str) -> Result[ConfigRecord, RolloutError]:
    if version.startswith(DIGEST_PREFIX):
        return control.records.read_proposal(version)
    if version:
        if not version.isdigit():
            raise click.BadParameter("VERSION is a whole number or a digest.")
        return control.records.read_version(int(version))
    return control.records.read_in_force()


@bundle.command(epilog=write_examples("bronzerelay bundle history --limit 5"))
@click.option(
    "--limit",
    type=click.IntRange(1, 1000),
    default=HISTORY_LIMIT,
    show_default=True,
    help="How many versions.",
)
@with_options(PLATFORM)
def history(session: Session, limit: int) -> int:
    """List the latest versions, the one in force first."""
    found = session.open_rollout().records.list_history(limit)
    if found.is_error():
        return show_error(session.output, found.error)
    data = [
        {name: record[name] for name in ("version", "digest", "author", "signatures")}
        for record in found.ok
    ]
    lines = [f"{one['version']}  {one['author']}  {one['digest']}" for one in data]
    show(session.output, {"versions": data}, lines or ["nothing is in force yet"])
    return DONE


@bundle.command(epilog=write_examples("bronzerelay bundle rollback 41"))
@click.argument("version", type=click.IntRange(min=1))
@NO_WAIT
@with_options(*SIGNING_OPTIONS, *FLEET_OPTIONS, WAIT)
def rollback(session: Session, version: int, no_wait: bool) -> int:
    """Make a new version with the content of an old VERSION.

    Keys that were withdrawn since stay withdrawn, and the operators stay those in
    force. It needs the signatures that every bundle needs.
    """
    fleet = None if no_wait else session.open_fleet()
    control = session.open_rollout()
    made = control.rollback(version)
    if made.is_error():
        return show_error(session.output, made.error)
    result = _put_in_force(control, made.ok.record["digest"])
    if result.is_error():
        return show_error(session.output, result.error)
    notes = result.ok.notes
    if made.ok.omitted_keys:
        names = ", ".join(made.ok.omitted_keys)
        notes = (*notes, f"withdrawn since, so not brought back: {names}")
    return wait_and_report(session, fleet, result.ok._replace(notes=notes))
