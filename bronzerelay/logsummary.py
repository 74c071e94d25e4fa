"""A summary of daemons' logs: what was refused or tried again, and when."""

from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from bronzerelay.loglines import LogLine

# What a line is counted under, by the way it is grouped.
GROUPINGS = ("reason", "workspace", "service", "node")
REFUSED = "refused"
TRIED_AGAIN = "tried again"
SERVED = "served"
# Parts and the messages in them that tell what became of a statement.
REFUSAL_MESSAGE = "session: A caller was refused."
ATTEMPT_MESSAGES = (
    "runner: A statement was sent.",
    "runner: A transaction was opened.",
)
DROPPED_MESSAGE = "log: Lines were dropped."
DONE = "done"


class Event(NamedTuple):
    """One thing that became of a statement."""

    second: int
    kind: str
    group: str


class Summary(NamedTuple):
    """Counts by kind and group, in all and for each interval."""

    every_s: int
    totals: Counter
    intervals: dict[int, Counter]
    # Lines that the daemons dropped to keep their logs bounded.
    dropped: int


def read_event(line: LogLine, start_ms: int, grouping: str) -> Event | None:
    """Return what a line tells of a statement, or None."""
    fields = line.fields
    if line.message == REFUSAL_MESSAGE:
        kind, reason = REFUSED, fields.get("reason", "")
    elif line.message in ATTEMPT_MESSAGES:
        reason = fields.get("outcome", "")
        kind = SERVED if reason == DONE else TRIED_AGAIN
    else:
        return None
    groups = {"reason": reason, "node": line.node}
    group = groups.get(grouping, fields.get(grouping, ""))
    return Event((line.time_ms - start_ms) // 1000, kind, str(group) or "(none)")


def summarize(lines: list[LogLine], every_s: int, grouping: str) -> Summary:
    """Return the summary of lines in order of time."""
    totals: Counter = Counter()
    intervals: dict[int, Counter] = {}
    dropped = 0
    start_ms = lines[0].time_ms if lines else 0
    for line in lines:
        if line.message == DROPPED_MESSAGE:
            dropped += line.fields.get("count", 0)
        event = read_event(line, start_ms, grouping)
        if event is None:
            continue
        key = (event.kind, event.group)
        totals[key] += 1
        begin_s = event.second // every_s * every_s
        intervals.setdefault(begin_s, Counter())[key] += 1
    return Summary(every_s, totals, intervals, dropped)


def write_table(summary: Summary, most: int) -> list[str]:
    """Return the summary for people: totals, then a row an interval.

    The columns are the `most` frequent of what was refused and tried again.
    """
    lines = [
        f"{count:8d}  {kind}, {group}"
        for (kind, group), count in summary.totals.most_common()
    ]
    if summary.dropped:
        lines.append(f"{summary.dropped:8d}  lines dropped by the daemons, not counted")
    columns = _list_columns(summary, most)
    lines.append("")
    lines.append("from second   served  " + "  ".join(group for _, group in columns))
    for begin_s, counts in sorted(summary.intervals.items()):
        served = _sum_kind(counts, SERVED)
        cells = "  ".join(f"{counts[key]:{len(key[1])}d}" for key in columns)
        lines.append(f"{begin_s:11d} {served:8d}  {cells}")
    return lines


def _list_columns(summary: Summary, most: int) -> list[tuple[str, str]]:
    return [key for key, _ in summary.totals.most_common() if key[0] != SERVED][:most]


def _sum_kind(counts: Counter, kind: str) -> int:
    return sum(count for (one, _), count in counts.items() if one == kind)


def write_plot(summary: Summary, path: Path, most: int) -> None:
    """Draw what was served, refused and tried again over time into a PNG file.

    It raises ImportError where matplotlib isn't installed, as on entry VMs.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 5), layout="constrained")
    axes = figure.add_subplot()
    seconds = sorted(summary.intervals)

    def count(pick: Callable[[Counter], int]) -> list[float]:
        return [pick(summary.intervals[one]) / summary.every_s for one in seconds]

    axes.plot(seconds, count(lambda counts: _sum_kind(counts, SERVED)), label=SERVED)
    for kind, group in _list_columns(summary, most):
        key = (kind, group)
        label = f"{kind}, {group}"
        axes.plot(seconds, count(lambda counts, key=key: counts[key]), label=label)
    axes.set_xlabel("seconds since the first line")
    axes.set_ylabel("statements a second")
    axes.legend(fontsize="small")
    figure.savefig(path)


def describe(summary: Summary) -> dict[str, object]:
    """Return the summary as JSON shows it."""
    return {
        "every_s": summary.every_s,
        "dropped_lines": summary.dropped,
        "totals": _list_rows(summary.totals.items()),
        "intervals": [
            {"from_s": begin_s, "counts": _list_rows(counts.items())}
            for begin_s, counts in sorted(summary.intervals.items())
        ],
    }


def _list_rows(
    items: Iterable[tuple[tuple[str, str], int]],
) -> list[dict[str, object]]:
    return [
        {"kind": kind, "group": group, "count": count} for (kind, group), count in items
    ]
