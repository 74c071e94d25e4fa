"""What the command line prints, as text or as JSON, and its exit codes."""

import sys
from collections.abc import Iterable
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from bronzerelay.bundle import Change
from bronzerelay.codes import CODES, Code, Refusal
from bronzerelay.fleet import DaemonState, RolloutStatus, has_version
from bronzerelay.outcomes import Rival, RolloutError
from bronzerelay.schema import Mistake

# docs/OPERATIONS.md lists these for scripts.
DONE = 0
FAILED = 1
USAGE = 2
COMPARE_LOST = 3
PLATFORM_AWAY = 4
NOT_EVERYWHERE = 5

EXIT_CODES = {
    Code.COMPARE_FAILED: COMPARE_LOST,
    Code.PLATFORM_UNAVAILABLE: PLATFORM_AWAY,
}

TEXT = "text"
JSON = "json"


def show(output: str, data: Any, lines: Iterable[str]) -> None:
    """Print `data` as JSON, or `lines` as text."""
    if output == JSON:
        click.echo(msgspec.json.format(msgspec.json.encode(data), indent=2))
        return
    for line in lines:
        click.echo(line)


def show_error(output: str, error: RolloutError) -> int:
    """Print why a command failed; return its exit code."""
    if output == JSON:
        show(output, _describe_error(error), ())
    else:
        for line in _list_error_lines(error):
            click.echo(line, err=True)
    return EXIT_CODES.get(error.refusal.code, FAILED)


def show_refusal(output: str, refusal: Refusal) -> int:
    """Print a refusal; return the exit code."""
    return show_error(output, RolloutError(refusal))


def list_changes(changes: Iterable[Change]) -> list[str]:
    """Return a line for each difference."""
    return [f"  {one.path}: {_show(one.old)} -> {_show(one.new)}" for one in changes]


def list_mistakes(mistakes: Iterable[Mistake]) -> list[str]:
    """Return a line for each mistake, with what is allowed."""
    return [
        f"  {one.path or 'the file'} {one.message}; allowed: {one.allowed}"
        for one in mistakes
    ]


def _show(value: Any) -> str:
    return "(absent)" if value is None else msgspec.json.encode(value).decode()


def _describe_error(error: RolloutError) -> dict[str, Any]:
    refusal = error.refusal
    described: dict[str, Any] = {
        "code": int(refusal.code),
        "name": refusal.code.name.lower(),
        "ran": refusal.ran,
        "message": refusal.message,
        "advice": CODES[refusal.code].advice,
    }
    if error.rival:
        described["rival"] = describe_rival(error.rival)
    if error.mistakes:
        described["mistakes"] = [one._asdict() for one in error.mistakes]
    return described


def describe_rival(rival: Rival) -> dict[str, Any]:
    """Return the rival as JSON shows it."""
    changes = [change._asdict() for change in rival.changes]
    return {**rival._asdict(), "changes": changes}


def _list_error_lines(error: RolloutError) -> list[str]:
    refusal = error.refusal
    lines = [
        f"error: {refusal.message}",
        f"code {int(refusal.code)} {refusal.code.name.lower()}, {refusal.ran}: "
        f"{CODES[refusal.code].advice}",
    ]
    lines += list_mistakes(error.mistakes)
    if error.rival:
        winner = f"version {error.rival.version} of {error.rival.author}"
        lines.append(f"How yours differs from {winner}, {error.rival.digest}:")
        lines += list_changes(error.rival.changes) or ["  in nothing"]
    return lines


# Daemons


def describe_state(state: DaemonState) -> dict[str, Any]:
    """Return a daemon as JSON shows it."""
    if state.shown is None:
        return {"address": str(state.address), "problem": state.problem}
    return {"address": str(state.address), **state.shown}


def list_state_lines(states: Iterable[DaemonState]) -> list[str]:
    """Return a line for each daemon."""
    return [_show_state(state) for state in states]


def _show_state(state: DaemonState) -> str:
    if state.status is None:
        return f"  {state.address}: no version known; {state.problem}"
    parts = [f"  {state.name} ({state.address}): version {state.version}"]
    if state.status["isolated"]:
        parts.append("isolated, admits nothing")
    if state.status["stopping"]:
        parts.append("stopping")
    return ", ".join(parts)


def describe_rollout_status(arrival: RolloutStatus) -> dict[str, Any]:
    """Return how far a version has come, as JSON shows it."""
    return {
        "version": arrival.version,
        "in_force_everywhere": arrival.is_complete,
        "daemons": [
            {
                "address": str(state.address),
                "name": state.name,
                "version": state.version,
                "in_force": has_version(state, arrival.version),
                "problem": state.problem,
            }
            for state in arrival.states
        ],
        "unasked": list(arrival.unasked),
    }


def list_rollout_status_lines(arrival: RolloutStatus) -> list[str]:
    """Return where the version is in force and where it isn't."""
    count = len(arrival.states) - len(arrival.lacking)
    lines = [
        f"version {arrival.version} is in force on {count} of "
        f"{len(arrival.states)} daemons"
    ]
    if arrival.lacking:
        lines += ["not there:", *list_state_lines(arrival.lacking)]
    if arrival.unasked:
        names = ", ".join(arrival.unasked)
        lines.append(f"alive but not in --daemons, so not asked: {names}")
    return lines


class Progress:
    """Shows how far a version has come: a table at a terminal, plain lines else."""

    def __init__(self, output: str):
        self._output = output
        self._console = Console(stderr=True)
        self._live: Live | None = None
        self._shown: set[str] = set()

    def __enter__(self) -> "Progress":
        if self._output == TEXT and sys.stderr.isatty():
            self._live = Live(console=self._console, auto_refresh=False)
            self._live.start()
        return self

    def __exit__(self, *error: object) -> None:
        if self._live:
            self._live.stop()

    def report(self, arrival: RolloutStatus) -> None:
        """Show one round of questions."""
        if self._output == JSON:
            return
        if self._live:
            self._live.update(draw_rollout_status(arrival), refresh=True)
            return
        for state in arrival.states:
            if has_version(state, arrival.version) and state.name not in self._shown:
                self._shown.add(state.name)
                click.echo(f"{state.name}: version {state.version}", err=True)


def draw_rollout_status(arrival: RolloutStatus) -> Table:
    """Return the table of a rollout."""
    count = len(arrival.states) - len(arrival.lacking)
    title = f"version {arrival.version}: {count} of {len(arrival.states)} daemons"
    table = Table("daemon", "address", "version", "", title=title)
    for state in arrival.states:
        done = has_version(state, arrival.version)
        version = "?" if state.version is None else str(state.version)
        word = "in force" if done else state.problem or "waiting"
        table.add_row(state.name, str(state.address), version, word)
    return table
