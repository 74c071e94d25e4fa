"""A summary of daemons' logs: served, refused and retried statements over time."""

from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from bronzerelay.loglines import LogLine
from bronzerelay.slots import COUNTED_WAIT_MS

# The ways to group the counts.
GROUPINGS = ("reason", "workspace", "service", "node", "level")
REFUSED = "refused"
RETRIED = "tried again"
SERVED = "served"
# The messages of log lines that report the outcome of a statement or of an attempt.
REFUSAL_MESSAGE = "session: A caller was refused."
ATTEMPT_MESSAGES = (
    "runner: A statement was sent.",
    "runner: A transaction was opened.",
)
# A statement that is passed on is logged by both daemons: the one that has the caller
# knows the outcome, and the one that serves it the wait for a slot.
WAY_PASSED = "passed"
WAY_SERVED = "served"
DROPPED_MESSAGE = "log: Lines were dropped."
DONE = "done"
# The refusals of statements that got no slot.
SLOT_REASONS = ("queue_full", "deadline_passed")
# How many workspaces the text lists at each level.
LISTED_WORKSPACES = 3


class Event(NamedTuple):
    """The outcome of one statement or attempt, with the group it counts under."""

    second: int
    kind: str
    group: str


class Waits(NamedTuple):
    """What statements of one level and workspace found at the queue for slots.

    `sent` got a slot, `waited` of them after `wait_ms` milliseconds in sum, the longest
    after `longest_ms`; `refused` got none.
    """

    sent: int = 0
    waited: int = 0
    wait_ms: float = 0.0
    longest_ms: float = 0.0
    refused: int = 0

    def add(self, other: "Waits") -> "Waits":
        """Return both together."""
        return Waits(
            self.sent + other.sent,
            self.waited + other.waited,
            self.wait_ms + other.wait_ms,
            max(self.longest_ms, other.longest_ms),
            self.refused + other.refused,
        )


class Summary(NamedTuple):
    """Counts by kind and group: totals, and for each interval by its start."""

    every_s: int
    totals: Counter
    intervals: dict[int, Counter]
    # How many lines the daemons dropped to bound the size of their logs.
    dropped: int
    # The waits for slots by level and workspace.
    waits: dict[tuple[int, str], Waits]


def read_event(line: LogLine, start_ms: int, group_by: str) -> Event | None:
    """Return the event that a line reports, or None if it reports none."""
    fields = line.fields
    if line.message == REFUSAL_MESSAGE:
        kind, reason = REFUSED, fields.get("reason", "")
    elif line.message in ATTEMPT_MESSAGES and fields.get("way") != WAY_SERVED:
        reason = fields.get("outcome", "")
        kind = SERVED if reason == DONE else RETRIED
    else:
        return None
    groups = {"reason": reason, "node": line.node}
    group = groups.get(group_by, fields.get(group_by, ""))
    return Event((line.time_ms - start_ms) // 1000, kind, str(group) or "(none)")


def read_waits(line: LogLine) -> Waits | None:
    """Return the wait for a slot that a line reports, or None if it reports none."""
    fields = line.fields
    if line.message == REFUSAL_MESSAGE and fields.get("reason") in SLOT_REASONS:
        return Waits(refused=1)
    if line.message not in ATTEMPT_MESSAGES or fields.get("way") == WAY_PASSED:
        return None
    wait_ms = fields.get("waited_ms", 0.0)
    if wait_ms < COUNTED_WAIT_MS:
        return Waits(sent=1)
    return Waits(1, 1, wait_ms, wait_ms)


def summarize(lines: list[LogLine], every_s: int, group_by: str) -> Summary:
    """Return the summary of lines that are sorted by time."""
    totals: Counter = Counter()
    intervals: dict[int, Counter] = {}
    waits: dict[tuple[int, str], Waits] = {}
    dropped = 0
    start_ms = lines[0].time_ms if lines else 0
    for line in lines:
        if line.message == DROPPED_MESSAGE:
            dropped += line.fields.get("count", 0)
        found = read_waits(line)
        if found is not None:
            at = (line.fields.get("level", 0), line.fields.get("workspace", ""))
            waits[at] = waits.get(at, Waits()).add(found)
        event = read_event(line, start_ms, group_by)
        if event is None:
            continue
        key = (event.kind, event.group)
        totals[key] += 1
        begin_s = event.second // every_s * every_s
        intervals.setdefault(begin_s, Counter())[key] += 1
    return Summary(every_s, totals, intervals, dropped, waits)


def format_table(summary: Summary, max_columns: int) -> list[str]:
    """Return the lines of a text table: totals, then one row per interval.

    The columns are the `max_columns` most frequent groups of refusals and retries.
    """
    lines = [
        f"{count:8d}  {kind}, {group}"
        for (kind, group), count in summary.totals.most_common()
    ]
    if summary.dropped:
        lines.append(f"{summary.dropped:8d}  lines dropped by the daemons, not counted")
    columns = _list_columns(summary, max_columns)
    lines.append("")
    lines.append("from second   served  " + "  ".join(group for _, group in columns))
    for begin_s, counts in sorted(summary.intervals.items()):
        served = _sum_kind(counts, SERVED)
        cells = "  ".join(f"{counts[key]:{len(key[1])}d}" for key in columns)
        lines.append(f"{begin_s:11d} {served:8d}  {cells}")
    return lines + _format_waits(summary)


def _format_waits(summary: Summary) -> list[str]:
    """Return the table of the levels, each with its workspaces that waited most."""
    lines = ["", "level     sent   waited  refused  mean ms   max ms  workspace"]
    for level in sorted({level for level, _ in summary.waits}):
        rows = {
            workspace: waits
            for (other, workspace), waits in summary.waits.items()
            if other == level
        }
        total = Waits()
        for waits in rows.values():
            total = total.add(waits)
        lines.append(_format_row(level, total, "all"))
        most = sorted(rows, key=lambda name: -(rows[name].waited + rows[name].refused))
        lines += [
            _format_row(level, rows[name], name or "(none)")
            for name in most[:LISTED_WORKSPACES]
        ]
    return lines


def _format_row(level: int, waits: Waits, workspace: str) -> str:
    mean_ms = waits.wait_ms / waits.waited if waits.waited else 0.0
    return (
        f"{level:5d} {waits.sent:8d} {waits.waited:8d} {waits.refused:8d} "
        f"{mean_ms:8.1f} {waits.longest_ms:8.1f}  {workspace}"
    )


def _list_columns(summary: Summary, limit: int) -> list[tuple[str, str]]:
    return [key for key, _ in summary.totals.most_common() if key[0] != SERVED][:limit]


def _sum_kind(counts: Counter, kind: str) -> int:
    return sum(count for (key_kind, _), count in counts.items() if key_kind == kind)


def write_plot(summary: Summary, path: Path, max_columns: int) -> None:
    """Plot the rates of served, refused and retried statements into a PNG file.

    Raise ImportError where matplotlib isn't installed, as on entry VMs.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 5), layout="constrained")
    axes = figure.add_subplot()
    starts_s = sorted(summary.intervals)

    def rates(count: Callable[[Counter], int]) -> list[float]:
        return [
            count(summary.intervals[begin_s]) / summary.every_s for begin_s in starts_s
        ]

    axes.plot(starts_s, rates(lambda counts: _sum_kind(counts, SERVED)), label=SERVED)
    for kind, group in _list_columns(summary, max_columns):
        key = (kind, group)
        label = f"{kind}, {group}"
        axes.plot(starts_s, rates(lambda counts, key=key: counts[key]), label=label)
    axes.set_xlabel("seconds since the first line")
    axes.set_ylabel("statements per second")
    axes.legend(fontsize="small")
    figure.savefig(path)


def describe(summary: Summary) -> dict[str, object]:
    """Return the summary as JSON data."""
    return {
        "every_s": summary.every_s,
        "dropped_lines": summary.dropped,
        "totals": _list_rows(summary.totals.items()),
        "intervals": [
            {"from_s": begin_s, "counts": _list_rows(counts.items())}
            for begin_s, counts in sorted(summary.intervals.items())
        ],
        "waits": [
            {"level": level, "workspace": workspace, **waits._asdict()}
            for (level, workspace), waits in sorted(summary.waits.items())
        ],
    }


def _list_rows(
    items: Iterable[tuple[tuple[str, str], int]],
) -> list[dict[str, object]]:
    return [
        {"kind": kind, "group": group, "count": count} for (kind, group), count in items
    ]
