"""Sums up the record of a run for people to read."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from bronzerelay.codes import RAN, Code
from standins.record import NO_ANSWER, UNREACHABLE, Entry

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
FILE_WIDTH = 120
CALLER_CODES = {NO_ANSWER: "NO_ANSWER", UNREACHABLE: "UNREACHABLE"}


class Summary(NamedTuple):
    """What a workspace, or all of them, got; latencies count from the due time."""

    requests: int
    ran: int
    p50_ms: float
    p99_ms: float
    worst_ms: float
    replica_share: float
    codes: Counter


def summarise(entries: Iterable[Entry]) -> Summary:
    """Return the figures of these entries; latencies are those of what ran."""
    entries = list(entries)
    ran = [entry for entry in entries if entry.ran == RAN]
    reads = [entry for entry in ran if not entry.is_write]
    replica_reads = sum(entry.role == "replica" for entry in reads)
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for entry in ran:
        histogram.record_value(max(LOWEST_US, int(entry.latency_ms * 1000)))
    return Summary(
        requests=len(entries),
        ran=len(ran),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        worst_ms=histogram.get_max_value() / 1000 if ran else 0,
        replica_share=replica_reads / len(reads) if reads else 0,
        codes=Counter(entry.code for entry in entries),
    )


def name_code(code: int) -> str:
    """Return the name of a result code, the caller's own included."""
    if code in CALLER_CODES:
        return CALLER_CODES[code]
    try:
        return Code(code).name
    except ValueError:
        return str(code)


def print_summary(entries: Iterable[Entry], console: Console | None = None) -> None:
    """Print a line for each workspace and one for all together."""
    entries = list(entries)
    table = Table()
    for title in ("workspace", "requests", "ran", "p50 ms", "p99 ms", "worst ms"):
        table.add_column(title, justify="left" if title == "workspace" else "right")
    table.add_column("replica reads", justify="right")
    table.add_column("codes")
    names = sorted({entry.workspace for entry in entries})
    for name in names:
        own = [entry for entry in entries if entry.workspace == name]
        table.add_row(name, *list_cells(summarise(own)))
    table.add_row("all", *list_cells(summarise(entries)))
    (console or make_console()).print(table)


def make_console() -> Console:
    """Return a console that is wide enough for the table, also in a file."""
    console = Console()
    return console if console.is_terminal else Console(width=FILE_WIDTH)


def list_cells(summary: Summary) -> list[str]:
    """Return the cells of a summary's row."""
    codes = ", ".join(
        f"{name_code(code)} {count}" for code, count in summary.codes.most_common()
    )
    return [
        str(summary.requests),
        str(summary.ran),
        f"{summary.p50_ms:.1f}",
        f"{summary.p99_ms:.1f}",
        f"{summary.worst_ms:.1f}",
        f"{summary.replica_share:.0%}",
        codes,
    ]
