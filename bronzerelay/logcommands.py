"""The commands that read daemons' logs: a request's story, changes, a summary."""

import sys
from pathlib import Path
from typing import TextIO

import click

from bronzerelay.codes import Code, refuse
from bronzerelay.loglines import LogLine, read_lines
from bronzerelay.logsummary import (
    GROUPINGS,
    describe,
    summarize,
    write_plot,
    write_table,
)
from bronzerelay.options import Session, takes, write_examples
from bronzerelay.printing import DONE, show, show_refusal

# What belongs to a request's story beside its own lines, when it happened this long
# before or after them, in milliseconds.
AROUND_MS = 5_000
# Parts whose lines tell what a daemon believed.
BELIEF_PARTS = ("config", "leads", "changes", "store", "members", "daemon")
CHANGE_PARTS = ("leads", "changes")
# Fields that each printed line begins with, or that say nothing to a reader.
HEAD_FIELDS = ("time_ms", "steady_ms", "node", "part", "message")


def select_story(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return a request's lines, and what its daemons came to believe around them."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    services = {line.fields.get("service") for line in own}
    first_ms, last_ms = own[0].time_ms - AROUND_MS, own[-1].time_ms + AROUND_MS

    def belongs(line: LogLine) -> bool:
        if line in own:
            return True
        if line.part not in BELIEF_PARTS or not first_ms <= line.time_ms <= last_ms:
            return False
        service = line.fields.get("service")
        return line.node in nodes if service is None else service in services

    return [line for line in lines if belongs(line)]


def select_changes(lines: list[LogLine], service: str | None) -> list[LogLine]:
    """Return the lines on changes of primary, of one service or of all."""
    return [
        line
        for line in lines
        if line.part in CHANGE_PARTS
        and (service is None or line.fields.get("service") == service)
    ]


def write_line(line: LogLine, start_ms: int) -> str:
    """Return a line for people, its time counted from `start_ms`."""
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HEAD_FIELDS and value not in (None, "")
    )
    return f"{line.time_ms - start_ms:+7d} ms  {line.node}  {line.message} {fields}"


def _show(session: Session, lines: list[LogLine], missing: str) -> int:
    if not lines:
        return show_refusal(session.output, refuse(Code.NOT_FOUND, missing).error)
    start_ms = lines[0].time_ms
    data = [line._asdict() for line in lines]
    show(session.output, data, [write_line(line, start_ms) for line in lines])
    return DONE


def _open_logs(logs: tuple[TextIO, ...]) -> list[LogLine]:
    return read_lines(logs or [sys.stdin])


@click.command(
    epilog=write_examples("bronzerelay story 5c0e7a21d94b36f8 vm1.log vm2.log")
)
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@takes()
def story(session: Session, request: str, logs: tuple[TextIO, ...]) -> int:
    """Tell from LOGS (or standard input) what became of REQUEST, and why.

    Beside its own lines it shows what the daemons came to believe within five seconds.
    """
    found = select_story(_open_logs(logs), request)
    return _show(session, found, f"no line names the request {request}")


@click.command(epilog=write_examples("bronzerelay changes --service orders *.log"))
@click.option("--service", help="Only changes of this service.")
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@takes()
def changes(session: Session, service: str | None, logs: tuple[TextIO, ...]) -> int:
    """Show the changes of primary that LOGS (or standard input) hold, in order."""
    found = select_changes(_open_logs(logs), service)
    return _show(session, found, "no line is on a change of primary")


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
    help="Seconds that a row of the table is for.",
)
@click.option(
    "--most",
    type=click.IntRange(1, 20),
    default=6,
    show_default=True,
    help="Columns of the table: the most frequent refusals and retries.",
)
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="A PNG file to draw the table into; needs matplotlib.",
)
@click.argument("logs", nargs=-1, type=click.File("r", errors="replace"))
@takes()
def summary(
    session: Session,
    by: str,
    every: int,
    most: int,
    plot: Path | None,
    logs: tuple[TextIO, ...],
) -> int:
    """Count in LOGS (or standard input) what was served, refused and tried again.

    It shows when, and by reason, workspace, service or daemon.
    """
    found = summarize(_open_logs(logs), every, by)
    if not found.totals:
        missing = "no line tells what became of a statement"
        return show_refusal(session.output, refuse(Code.NOT_FOUND, missing).error)
    if plot is not None:
        try:
            write_plot(found, plot, most)
        except ImportError:
            missing = "--plot needs the library matplotlib, which isn't installed"
            return show_refusal(session.output, refuse(Code.NOT_FOUND, missing).error)
    show(session.output, describe(found), write_table(found, most))
    return DONE
