"""The commands that read daemons' logs: `story`, `changes` and `summary`."""

import json
import re
import sys
from pathlib import Path
from typing import Any, TextIO

import click

from bronzerelay.codes import Code, refuse
from bronzerelay.loglines import LogLine, read_lines
from bronzerelay.logsummary import (
    GROUPINGS,
    describe,
    format_table,
    summarize,
    write_plot,
)
from bronzerelay.options import Session, with_options, write_examples
from bronzerelay.printing import DONE, show, show_refusal

# A request's story also includes context: what its daemons logged about their state
# within this time before its first line or after its last one.
CONTEXT_MS = 5_000
# Parts whose lines report a daemon's view of configuration, primaries and members.
CONTEXT_PARTS = ("config", "leads", "changes", "store", "members", "daemon")
PRIMARY_CHANGE_PARTS = ("leads", "changes")
# Fields that a printed line doesn't list: those at its beginning, and the steady clock.
OMITTED_FIELDS = ("time_ms", "steady_ms", "node", "part", "message")
# Text that is printed without quotes: it can't be taken for other fields.
PLAIN_TEXT = re.compile(r"[^\s\"=]+")


def select_story(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return a request's lines, and the lines on its daemons' state around them."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    services = {line.fields.get("service") for line in own}
    first_ms, last_ms = own[0].time_ms - CONTEXT_MS, own[-1].time_ms + CONTEXT_MS

    def belongs(line: LogLine) -> bool:
        if line in own:
            return True
        if line.part not in CONTEXT_PARTS or not first_ms <= line.time_ms <= last_ms:
            return False
        service = line.fields.get("service")
        return line.node in nodes if service is None else service in services

    return [line for line in lines if belongs(line)]


def select_changes(lines: list[LogLine], service: str | None) -> list[LogLine]:
    """Return the lines on primary changes, of one service or of all."""
    return [
        line
        for line in lines
        if line.part in PRIMARY_CHANGE_PARTS
        and (service is None or line.fields.get("service") == service)
    ]


def format_line(line: LogLine, start_ms: int) -> str:
    """Return a log line as text, its time relative to `start_ms`."""
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if name not in OMITTED_FIELDS and value not in (None, "")
    )
    return f"{line.time_ms - start_ms:+7d} ms  {line.node}  {line.message} {fields}"


def _format_value(value: Any) -> str:
    if not isinstance(value, str) or PLAIN_TEXT.fullmatch(value):
        return str(value)
    return json.dumps(value, ensure_ascii=False)


def _show(session: Session, lines: list[LogLine], empty_message: str) -> int:
    if not lines:
        return show_refusal(session.output, refuse(Code.NOT_FOUND, empty_message).error)
    start_ms = lines[0].time_ms
    data = [line._asdict() for line in lines]
    show(session.output, data, [format_line(line, start_ms) for line in lines])
    return DONE


def _open_logs(logs: tuple[TextIO, ...]) -> list[LogLine]:
    return read_lines(logs or [sys.stdin])


@click.command(
    epilog=write_examples("bronzerelay story 5c0e7a21d94b36f8 vm1.log vm2.log")
)
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@with_options()
def story(session: Session, request: str, logs: tuple[TextIO, ...]) -> int:
    """Show from LOGS (or standard input) what happened to REQUEST, and why.

    Besides its own lines it shows the daemons' changes of state within five seconds.
    """
    selected = select_story(_open_logs(logs), request)
    return _show(session, selected, f"no line names the request {request}")


@click.command(epilog=write_examples("bronzerelay changes --service orders *.log"))
@click.option("--service", help="Only primary changes of this service.")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@with_options()
def changes(session: Session, service: str | None, logs: tuple[TextIO, ...]) -> int:
    """Show the primary changes that LOGS (or standard input) report, in order."""
    selected = select_changes(_open_logs(logs), service)
    return _show(session, selected, "no line is on a change of primary")


@click.command(
    epilog=write_examples(
        "bronzerelay summary *.log",
        "bronzerelay summary --by workspace --every 5 *.log",
    )
)
@click.option(
    "--by", type=click.Choice(GROUPINGS), default=GROUPINGS[0], show_default=True
)
@click.option(
    "--every",
    type=click.IntRange(1, 3600),
    default=2,
    show_default=True,
    help="Seconds per row of the table.",
)
@click.option(
    "--most",
    type=click.IntRange(1, 20),
    default=6,
    show_default=True,
    help="Maximum number of columns, for the most frequent refusals and retries.",
)
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="PNG file to plot the counts into; needs matplotlib.",
)
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@with_options()
def summary(
    session: Session,
    by: str,
    every: int,
    most: int,
    plot: Path | None,
    logs: tuple[TextIO, ...],
) -> int:
    """Count served, refused and retried statements in LOGS (or standard input).

    The counts are per interval, and by reason, workspace, service, daemon or level. A
    second table tells who waited for a slot, and who got none, at each level.
    """
    log_summary = summarize(_open_logs(logs), every, by)
    if not log_summary.totals:
        message = "no line tells what became of a statement"
        return show_refusal(session.output, refuse(Code.NOT_FOUND, message).error)
    if plot is not None:
        try:
            write_plot(log_summary, plot, most)
        except ImportError:
            message = "--plot needs the library matplotlib, which isn't installed"
            return show_refusal(session.output, refuse(Code.NOT_FOUND, message).error)
    show(session.output, describe(log_summary), format_table(log_summary, most))
    return DONE
