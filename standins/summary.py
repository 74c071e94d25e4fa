"""Prints a summary of a run's record as a table."""

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
SIGNIFICANT_DIGITS = 3
TABLE_WIDTH = 120
CALLER_CODES = {NO_ANSWER: "NO_ANSWER", UNREACHABLE: "UNREACHABLE"}


class Summary(NamedTuple):
    """The figures of one workspace or of all; latencies count from the due time."""

    requests: int
    ran: int
    p50_ms: float
    p99_ms: float
    worst_ms: float
    replica_share: float
    codes: Counter


def summarise(entries: Iterable[Entry]) -> Summary:
    """Return the figures of these entries; latencies are of requests that ran."""
    entries = list(entries)
    ran = [entry for entry in entries if entry.ran == RAN]
    reads = [entry for entry in ran if not entry.is_write]
    replica_reads = sum(entry.role == "replica" for entry in reads)
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
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


def get_code_name(code: int) -> str:
    """Return the name of a result code, which may be one of the caller's own."""
    if code in CALLER_CODES:
        return CALLER_CODES[code]
    try:
        return Code(code).name
    except ValueError:
        return str(code)


def print_summary(entries: Iterable[Entry], console: Console | None = None) -> None:
    """Print one row for each workspace and one for all of them together."""
    entries = list(entries)
    table = Table()
    for title in ("workspace", "requests", "ran", "p50 ms", "p99 ms", "worst ms"):
        table.add_column(title, justify="left" if title == "workspace" else "right")
    table.add_column("replica reads", justify="right")
    table.add_column("codes")
    names = sorted({entry.workspace for entry in entries})
    for name in names:
        own = [entry for entry in entries if entry.workspace == name]
        table.add_row(name, *make_cells(summarise(own)))
    table.add_row("all", *make_cells(summarise(entries)))
    (console or make_console()).print(table)


def make_console() -> Console:
    """Return a console; when the output is a file, it has the width of the table."""
    console = Console()
    return console if console.is_terminal else Console(width=TABLE_WIDTH)


def make_cells(summary: Summary) -> list[str]:
    """Return the cells of the table row for a summary."""
    codes = ", ".join(
        f"{get_code_name(code)} {count}" for code, count in summary.codes.most_common()
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


def print_refused(entries: Iterable[Entry], limit: int = 100) -> None:
    """Print the requests that didn't run: when, where, and what refused them.

    Times count from when the first request was due. With more than `limit` requests
    the last ones are left out.
    """
    entries = list(entries)
    start_ms = min((entry.due_ms for entry in entries), default=0)
    refused = [entry for entry in entries if entry.ran != RAN]
    for entry in sorted(refused, key=lambda entry: entry.due_ms)[:limit]:
        due_ms, answered_ms = entry.due_ms - start_ms, entry.answered_ms - start_ms
        print(
            f"{due_ms:6.0f} to {answered_ms:6.0f} ms  {entry.request_id}"
            f"  {entry.workspace}  {get_code_name(entry.code)} at {entry.daemon}"
            f" ({entry.ran}): {entry.message}"
        )
