"""Waits until a configuration version is in force on every daemon."""

from typing import Any

from bronzerelay.fleet import Fleet, RolloutStatus
from bronzerelay.options import Session
from bronzerelay.outcomes import RolloutResult
from bronzerelay.printing import (
    DONE,
    NOT_EVERYWHERE,
    Progress,
    describe_rollout_status,
    list_rollout_status_lines,
    show,
)


def wait_and_report(
    session: Session, fleet: Fleet | None, in_force: RolloutResult, done: str = ""
) -> int:
    """Wait until the version is in force on all daemons; return the exit code.

    Prints the outcome, and also the sentence `done` if the version is in force
    everywhere. Without a fleet it doesn't wait.
    """
    record = in_force.record
    data: dict[str, Any] = {
        "version": record["version"],
        "digest": record["digest"],
        "author": record["author"],
        "notes": list(in_force.notes),
    }
    lines = [f"version {record['version']} is in force, {record['digest']}"]
    lines += [f"note: {note}" for note in in_force.notes]
    if fleet is None:
        show(session.output, data, lines)
        return DONE
    arrival = _wait(session, fleet, in_force)
    data.update(describe_rollout_status(arrival))
    lines += list_rollout_status_lines(arrival)
    if done and arrival.is_complete:
        lines.append(done)
    show(session.output, data, lines)
    return DONE if arrival.is_complete else NOT_EVERYWHERE


def _wait(session: Session, fleet: Fleet, in_force: RolloutResult) -> RolloutStatus:
    record = in_force.record
    with Progress(session.output) as progress:
        return fleet.wait_in_force(
            record["version"],
            record["digest"],
            session.settings.wait_ms,
            progress.report,
        )
