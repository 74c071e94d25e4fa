"""Output of the command line, as text or as JSON, and its exit codes."""

import re
import sys
from collections.abc import Iterable
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from bronzerelay.bundle import Change
from bronzerelay.codes import CODES, Code, Refusal
from bronzerelay.fleet import DaemonState, RolloutStatus, has_version
from bronzerelay.outcomes import Rival, RolloutError
from bronzerelay.schema import Mistake

# Scripts rely on these values; docs/OPERATIONS.md lists them.
DONE = 0
FAILED = 1
USAGE = 2
COMPARE_FAILED = 3
PLATFORM_UNAVAILABLE = 4
NOT_EVERYWHERE = 5

EXIT_CODES = {
    Code.COMPARE_FAILED: COMPARE_FAILED,
    Code.PLATFORM_UNAVAILABLE: PLATFORM_UNAVAILABLE,
}

# What a terminal or a reader could take for something else than text: control
# characters, line breaks and marks of the writing direction; and what has no encoding.
UNPRINTABLE = re.compile(
    "[\x00-\x08\x0a-\x1f\x7f-\x9f\u200e\u200f\u2028-\u202e\u2066-\u2069\ud800-\udfff]"
)

TEXT = "text"
JSON = "json"


def show(output: str, data: Any, lines: Iterable[str]) -> None:
    """Print `data` as JSON, or `lines` as text, with what is in them on one line each.

    Names, authors and messages come from other processes and operators. A line break in
    one of them would look like a line of the command's own, and `bundle show` writes
    lines that are read as a file.
    """
    if output == JSON:
        click.echo(msgspec.json.format(msgspec.json.encode(data), indent=2))
        return
    for line in lines:
        click.echo(escape_unprintable(line))


def escape_unprintable(text: str) -> str:
    """Return the text with line breaks and other unprintable characters escaped."""
    return UNPRINTABLE.sub(lambda match: ascii(match[0])[1:-1], text)


def show_error(output: str, error: RolloutError) -> int:
    """Print why a command failed; return its exit code."""
    if output == JSON:
        show(output, _describe_error(error), ())
    else:
        for line in _list_error_lines(error):
            click.echo(escape_unprintable(line), err=True)
    return EXIT_CODES.get(error.refusal.code, FAILED)


def show_refusal(output: str, refusal: Refusal) -> int:
    """Print a refusal; return the exit code."""
    return show_error(output, RolloutError(refusal))


def list_changes(changes: Iterable[Change]) -> list[str]:
    """Return a line for each difference."""
    return [
        f"  {change.path}: {_format_value(change.old)} -> {_format_value(change.new)}"
        for change in changes
    ]


def list_mistakes(mistakes: Iterable[Mistake]) -> list[str]:
    """Return a line for each mistake, with what is allowed."""
    return [
        f"  {mistake.path or 'the file'} {mistake.message}; allowed: {mistake.allowed}"
        for mistake in mistakes
    ]


def _format_value(value: Any) -> str:
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
        described["mistakes"] = [mistake._asdict() for mistake in error.mistakes]
    return described


def describe_rival(rival: Rival) -> dict[str, Any]:
    """Return the JSON form of the version that a command lost to."""
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
    """Return the JSON form of a daemon's state."""
    if state.raw_status is None:
        return {"address": str(state.address), "problem": state.problem}
    return {"address": str(state.address), **state.raw_status}


def list_state_lines(states: Iterable[DaemonState]) -> list[str]:
    """Return a line for each daemon."""
    return [_format_state(state) for state in states]


def _format_state(state: DaemonState) -> str:
    if state.status is None:
        return f"  {state.address}: no version known; {state.problem}"
    parts = [f"  {state.name} ({state.address}): version {state.version}"]
    if state.status["isolated"]:
        parts.append("isolated, admits nothing")
    if state.status["stopping"]:
        parts.append("stopping")
    return ", ".join(parts)


def describe_rollout_status(status: RolloutStatus) -> dict[str, Any]:
    """Return the JSON form of a rollout's status."""
    return {
        "version": status.version,
        "in_force_everywhere": status.is_complete,
        "daemons": [
            {
                "address": str(state.address),
                "name": state.name,
                "version": state.version,
                "in_force": has_version(state, status.version),
                "problem": state.problem,
            }
            for state in status.states
        ],
        "unasked": list(status.unasked),
    }


def list_rollout_status_lines(status: RolloutStatus) -> list[str]:
    """Return lines that say on which daemons the version is in force."""
    count = len(status.states) - len(status.pending)
    lines = [
        f"version {status.version} is in force on {count} of "
        f"{len(status.states)} daemons"
    ]
    if status.pending:
        lines += ["not there:", *list_state_lines(status.pending)]
    if status.unasked:
        names = ", ".join(status.unasked)
        lines.append(f"alive but not in --daemons, so not asked: {names}")
    return lines


class Progress:
    """Shows the status of a rollout: as a table on a terminal, otherwise as lines."""

    def __init__(self, output: str):
        self._output = output
        self._console = Console(stderr=True)
        self._live: Live | None = None
        self._reported_names: set[str] = set()

    def __enter__(self) -> "Progress":
        if self._output == TEXT and sys.stderr.isatty():
            self._live = Live(console=self._console, auto_refresh=False)
            self._live.start()
        return self

    def __exit__(self, *error: object) -> None:
        if self._live:
            self._live.stop()

    def report(self, status: RolloutStatus) -> None:
        """Show the status after one round of requests."""
        if self._output == JSON:
            return
        if self._live:
            self._live.update(draw_rollout_status(status), refresh=True)
            return
        for state in status.states:
            if (
                has_version(state, status.version)
                and state.name not in self._reported_names
            ):
                self._reported_names.add(state.name)
                line = f"{state.name}: version {state.version}"
                click.echo(escape_unprintable(line), err=True)


def draw_rollout_status(status: RolloutStatus) -> Table:
    """Return the table that shows a rollout's status."""
    count = len(status.states) - len(status.pending)
    title = f"version {status.version}: {count} of {len(status.states)} daemons"
    table = Table("daemon", "address", "version", "", title=title)
    for state in status.states:
        done = has_version(state, status.version)
        version = "?" if state.version is None else str(state.version)
        state_text = "in force" if done else state.problem or "waiting"
        cells = (state.name, str(state.address), version, state_text)
        # As `Text`, since rich takes brackets in a `str` for markup.
        table.add_row(*(Text(escape_unprintable(cell)) for cell in cells))
    return table
