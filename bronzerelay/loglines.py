"""Reads lines of daemons' logs from files."""

from collections.abc import Iterable
from typing import Any, NamedTuple, TextIO

import msgspec

from bronzerelay.nesting import check_nesting

HEAD_FIELDS = ("time_ms", "node", "part", "message")


class LogLine(NamedTuple):
    """One line of a daemon's log."""

    time_ms: int
    node: str
    part: str
    message: str
    fields: dict[str, Any]


def read_lines(files: Iterable[TextIO]) -> list[LogLine]:
    """Return the log lines of all files sorted by time; skip all other lines.

    Clocks of VMs may differ, so between VMs the order is only as accurate as their
    clocks.
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
    # Bytes that aren't UTF-8 are read from standard input as lone surrogates.
    data = text[start:].strip().encode(errors="replace")
    if not check_nesting(data):
        return None
    try:
        fields = msgspec.json.decode(data, type=dict[str, Any])
        time_ms, *names = (fields.pop(name) for name in HEAD_FIELDS)
    except (msgspec.DecodeError, UnicodeDecodeError, KeyError):
        return None
    if type(time_ms) is not int or not all(isinstance(name, str) for name in names):
        return None
    return LogLine(time_ms, *names, fields)
