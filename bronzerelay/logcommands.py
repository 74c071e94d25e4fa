"""The commands that read daemons' logs: a request's story, and changes of primary."""

import sys
from collections.abc import Iterable
from typing import Any, NamedTuple, TextIO

import click
import msgspec

from bronzerelay.codes import Code, refuse
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


class LogLine(NamedTuple):
    """One line of a daemon's log."""

    time_ms: int
    node: str
    part: str
    message: str
    fields: dict[str, Any]


def read_lines(files: Iterable[TextIO]) -> list[LogLine]:
    """Return the log lines of all files by time; what is no log line is left out.

    Clocks of two VMs may differ: between VMs the order is good to that difference.
    """
    lines = []
    for file in files:
        for text in file:
            line = _read_line(text)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time_ms)


def _read_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip().encode())
        head = [fields.pop(name) for name in ("time_ms", "node", "part", "message")]
    except (msgspec.DecodeError, KeyError, AttributeError, TypeError):
        return None
    return LogLine(*head, fields)


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
