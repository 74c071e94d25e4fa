"""The commands for bundles: check, review, sign, roll out and roll back."""

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
    "--no-wait",
    is_flag=True,
    help="Don't wait for the daemons, e.g. when none runs yet.",
)


@click.group()
def bundle() -> None:
    """Check, review, sign and roll out configuration bundles."""


@bundle.command(epilog=write_examples("bronzerelay bundle check bundle.toml"))
@click.argument("file")
@with_options()
def check(session: Session, file: str) -> int:
    """Check FILE and list every mistake in it."""
    parsed = read_bundle(file)
    if parsed.is_error():
        return show_error(session.output, parsed.error)
    digest = digest_bundle(parsed.ok)
    data = {"version": parsed.ok["version"], "digest": digest, "mistakes": []}
    line = f"{file} has no mistakes: version {parsed.ok['version']}, {digest}"
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
    """Show how a bundle differs from the version in force or another one."""
    rollout = session.open_rollout()
    new = read_target(rollout, target)
    if new.is_error():
        return show_error(session.output, new.error)
    old_bundle = _read_old_bundle(rollout, against)
    if old_bundle.is_error():
        return show_error(session.output, old_bundle.error)
    changes = diff_bundles(old_bundle.ok, new.ok)
    data = {"changes": [change._asdict() for change in changes]}
    show(session.output, data, list_changes(changes) or ["no difference"])
    return DONE


def _read_old_bundle(
    rollout: Rollout, version: int | None
) -> Result[Bundle | None, RolloutError]:
    if version is None:
        return rollout.records.read_current().map(lambda current: current.bundle)
    return rollout.records.read_version(version).map(lambda record: record["bundle"])


@bundle.command(epilog=write_examples("bronzerelay bundle propose bundle.toml"))
@click.argument("file")
@with_options(*SIGNING_OPTIONS)
def propose(session: Session, file: str) -> int:
    """Store the bundle of FILE for review, with your signature."""
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

    A FILE is proposed first, unless it has been already.
    """
    fleet = None if no_wait else session.open_fleet()
    rollout = session.open_rollout()
    digest = Ok(target)
    if not target.startswith(DIGEST_PREFIX):
        digest = read_bundle(target).bind(rollout.propose).map(lambda r: r["digest"])
    result = digest.bind(lambda value: _put_in_force(rollout, value))
    if result.is_error():
        return show_error(session.output, result.error)
    return wait_and_report(session, fleet, result.ok)


def _put_in_force(rollout: Rollout, digest: str) -> Result[RolloutResult, RolloutError]:
    return rollout.put_in_force(digest).map_error(
        lambda error: _add_next_step(error, digest)
    )


def _add_next_step(error: RolloutError, digest: str) -> RolloutError:
    """Return the error with the command to run next, if a signature is missing."""
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
    rollout = session.open_rollout()
    stored = _read_record(rollout, version)
    if stored.is_error():
        return show_error(session.output, stored.error)
    record = stored.ok
    signers = ", ".join(entry["operator"] for entry in record["signatures"])
    lines = [
        f"# version {record['version']} of {record['author']}, {record['digest']}",
        f"# signed by: {signers or 'nobody'}",
        *write_bundle(record["bundle"]).rstrip().split("\n"),
    ]
    show(session.output, record, lines)
    return DONE


def _read_record(rollout: Rollout, version: str) -> Result[ConfigRecord, RolloutError]:
    if version.startswith(DIGEST_PREFIX):
        return rollout.records.read_proposal(version)
    if version:
        if not version.isdigit():
            raise click.BadParameter("VERSION is a whole number or a digest.")
        return rollout.records.read_version(int(version))
    return rollout.records.read_in_force()


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
    records = session.open_rollout().records.list_history(limit)
    if records.is_error():
        return show_error(session.output, records.error)
    data = [
        {name: record[name] for name in ("version", "digest", "author", "signatures")}
        for record in records.ok
    ]
    lines = [
        f"{entry['version']}  {entry['author']}  {entry['digest']}" for entry in data
    ]
    show(session.output, {"versions": data}, lines or ["nothing is in force yet"])
    return DONE


@bundle.command(epilog=write_examples("bronzerelay bundle rollback 41"))
@click.argument("version", type=click.IntRange(min=1))
@NO_WAIT
@with_options(*SIGNING_OPTIONS, *FLEET_OPTIONS, WAIT)
def rollback(session: Session, version: int, no_wait: bool) -> int:
    """Make a new version with the content of an old VERSION.

    Keys withdrawn since then stay withdrawn, and the operators stay those in force. The
    new version needs signatures like any other.
    """
    fleet = None if no_wait else session.open_fleet()
    rollout = session.open_rollout()
    proposal = rollout.rollback(version)
    if proposal.is_error():
        return show_error(session.output, proposal.error)
    result = _put_in_force(rollout, proposal.ok.record["digest"])
    if result.is_error():
        return show_error(session.output, result.error)
    notes = result.ok.notes
    if proposal.ok.omitted_keys:
        names = ", ".join(proposal.ok.omitted_keys)
        notes = (*notes, f"withdrawn since, so not brought back: {names}")
    return wait_and_report(session, fleet, result.ok._replace(notes=notes))
