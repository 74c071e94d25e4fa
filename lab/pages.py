"""Writes the figures of a benchmark as tables, plots, and the measurements page."""

import json
from pathlib import Path
from typing import Any

import matplotlib
from rich.console import Console
from rich.table import Table

from lab.figures import LOWER, MEASURES, Measure, order_measures

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  The backend must be chosen first.

RESULT = Path("docs/measurements/bench.json")
PAGE = Path("docs/MEASUREMENTS.md")
WIDTH = 100
FIGURE_SIZE = (7, 3.2)
DOTS_PER_INCH = 90
COLOURS = {"fair": "tab:blue", "naive": "tab:orange"}
BAR_WIDTH = 0.38
PLOTS = {
    "replica-reads": ("replica_reads",),
    "failover-gap": ("gap_median_ms", "gap_worst_ms"),
    "worst-served": ("worst_served",),
    "worst-served-p99": ("worst_p99_ms", "median_p99_ms"),
    "wrongful-refusals": ("wrongful", "roaming"),
    "latency": ("p50_ms", "p99_ms"),
    "throughput": ("rush_per_s",),
    "rush-latency": ("rush_p50_ms", "rush_p99_ms"),
}
NAMES = {
    "vianda": "Vianda Core (8 daemons, 3 slots and 20 connections an instance)",
    "returns": "Returns index (9 daemons, 2 slots and 35 connections an instance)",
}
PAGE_HEAD = """# Measurements

Both deployments run as real processes on loopback, on stand-ins for the platform and
the endpoints, under an open-loop load: requests go out at times fixed beforehand, and
latency counts from those times, so that a stall shows. Each figure stands beside its
baseline, the policy `naive` on the same stand-ins in the same run; that policy breaks
promises and serves nobody else ([its cost](OPERATIONS.md#the-policy)).

All figures of this page come from one run of `make bench`, which writes
[bench.json](measurements/bench.json), the plots and this page. For one deployment
alone: `python -m lab.bench --deployment vianda --no-pages --output FILE`.
`make bench-compare` runs it again and compares the figures with the committed ones;
`python -m lab.compare OLD.json NEW.json --ratio 1.25` compares any two runs.
"""
PAGE_METHOD = """## How each is measured

- **Reads on replicas**: all workspaces at 0.9 of their rates, one write in ten, 50 ms
  of replication lag; the p50 and p99 at today's rates are of this load too. All other
  loads have 5 ms of lag.
- **Failover gap**: the longest time without an acknowledged write after a failure, as
  callers see it at 60 writes a second; three failures nearly together, one in each
  group, three times (the kinds are listed in the JSON). `python -m lab.failover` runs
  one kind of failure after the other, as often as asked.
- **Broken promises**: what `standins/checks.py` finds in the record of all loads and
  failures, against what the endpoints hold and ran.
- **Worst-served workspace**: the first workspace sends 5 times its rate, all others 0.9
  of theirs. Of the requests that a single token bucket would have admitted, the share
  that was served, for the worst-served workspace, over the same of the median one.
- **Wrongful refusals**: refused with 429 or 503, although a single token bucket would
  have admitted them; for each 10,000 that it would. "5 times" counts the other
  workspaces under that flood; "roaming" is a load at 0.9 of all rates in which all
  callers of a workspace are at one daemon, and move on to another every second.
- **Rush**: the load at 0.9 of rates three times as high, which the bundle allows.
"""


def format_figure(measure: Measure, value: float | None) -> str:
    """Return a figure with its unit, or a dash if there is none."""
    if value is None:
        return "-"
    if measure.unit == "share":
        return f"{value:.1%}"
    if measure.unit == "ms":
        return f"{value:,.1f} ms" if value < 100 else f"{value:,.0f} ms"
    if measure.unit == "count":
        return f"{value:.0f}"
    return f"{value:,.1f} {measure.unit}"


def format_target(measure: Measure) -> str:
    """Return the expected bound in words."""
    if measure.target is None:
        return ""
    if measure.target == 0:
        return "0"
    bound = "under" if measure.better == LOWER else "at least"
    return f"{bound} {format_figure(measure, measure.target)}"


def misses_target(measure: Measure, value: float | None) -> bool:
    """Return whether a figure misses its target."""
    if measure.target is None or value is None:
        return False
    if measure.better == LOWER:
        return value > measure.target
    return value < measure.target


def list_rows(deployment: str, results: dict[str, Any]) -> list[list[str]]:
    """Return the rows of a deployment's table: measure, fair, naive, target."""
    rows = []
    for measure in order_measures(deployment):
        fair, naive = (
            results[policy]["figures"].get(measure.name) for policy in ("fair", "naive")
        )
        verdict = format_target(measure)
        if misses_target(measure, fair):
            verdict += " (missed)"
        cells = [format_figure(measure, fair), format_figure(measure, naive)]
        rows.append([measure.title, *cells, verdict])
    return rows


def print_tables(run: dict[str, Any], console: Console | None = None) -> None:
    """Print a table with a section for each deployment."""
    table = Table(title="Each measure beside its baseline")
    for title in ("measure", "fair", "naive (baseline)", "target"):
        table.add_column(title, justify="left" if title == "measure" else "right")
    for deployment, results in run["deployments"].items():
        table.add_section()
        table.add_row(f"[bold]{NAMES.get(deployment, deployment)}[/bold]")
        for row in list_rows(deployment, results):
            table.add_row(*row)
    (console or Console(width=WIDTH)).print(table)


def draw_plots(run: dict[str, Any], folder: Path) -> None:
    """Draw all plots into `folder`."""
    for name, measures in PLOTS.items():
        shown = [measure for measure in MEASURES if measure.name in measures]
        draw_plot(run, shown, folder / f"bench-{name}.png")


def draw_plot(run: dict[str, Any], measures: list[Measure], path: Path) -> None:
    """Draw bars of the measures, with the policies side by side."""
    labels = []
    bars: dict[str, list[float]] = {policy: [] for policy in COLOURS}
    for deployment, results in run["deployments"].items():
        for measure in measures:
            labels.append(f"{deployment}\n{measure.title}")
            for policy, values in bars.items():
                values.append(results[policy]["figures"].get(measure.name, 0))
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE)
    for number, (policy, values) in enumerate(bars.items()):
        positions = [
            position + (number - 0.5) * BAR_WIDTH for position in range(len(labels))
        ]
        container = axes.bar(
            positions, values, BAR_WIDTH, label=policy, color=COLOURS[policy]
        )
        axes.bar_label(container, fmt="{:,.4g}", fontsize=7)
    for target in {measure.target for measure in measures} - {None}:
        axes.axhline(target, color="grey", linestyle="--", linewidth=1)
    axes.set_xticks(range(len(labels)), labels, fontsize=7)
    axes.set_ylabel(measures[0].unit)
    axes.margins(y=0.15)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def write_page(run: dict[str, Any], path: Path) -> None:
    """Write the measurements page from the figures of a run."""
    sections = [PAGE_HEAD, format_origin(run)]
    for deployment, results in run["deployments"].items():
        sections.append(format_section(deployment, results))
    sections.append(PAGE_METHOD)
    sections.append("## Plots\n")
    sections += [f"![{name}](measurements/bench-{name}.png)\n" for name in PLOTS]
    path.write_text("\n".join(sections))


def format_origin(run: dict[str, Any]) -> str:
    """Return the date, the commit and the machine of the run."""
    machine = run["machine"]
    return (
        f"Run of {run['date']}, commit `{run['commit']}`, seed {run['seed']}, on "
        f"{machine['cores']} cores ({machine['processor']}), Python "
        f"{machine['python']}, load average before it {machine['load_before']}.\n"
    )


def format_broken(result: dict[str, Any]) -> str:
    """Return how often each kind of promise was broken, in words."""
    kinds = result["violations"].items()
    return ", ".join(f"{kind} {count}" for kind, count in kinds) or "none"


def format_section(deployment: str, results: dict[str, Any]) -> str:
    """Return the section of the page about one deployment."""
    lines = [f"## {NAMES[deployment]}", ""]
    lines += ["| measure | fair | naive | target |", "|---|---:|---:|---|"]
    lines += [f"| {' | '.join(row)} |" for row in list_rows(deployment, results)]
    gaps = ", ".join(
        f"{gap['kind']} {gap['gap_ms']:,}" for gap in results["fair"]["gaps"]
    )
    lines += ["", f"Gaps under `fair`, in milliseconds: {gaps}.", ""]
    lines += ["| workspace | due | served | share | p99 |", "|---|---:|---:|---:|---:|"]
    lines += [
        f"| {service['workspace']} | {service['due']} | {service['served']} "
        f"| {service['share']:.1%} | {service['p99_ms']:.0f} ms |"
        for service in results["fair"]["services"]
    ]
    lines += [
        "",
        f"Promises that `naive` broke: {format_broken(results['naive'])}.",
        "",
    ]
    return "\n".join(lines)


def write_pages(run: dict[str, Any], folder: Path) -> None:
    """Write the plots into `folder`, and the page."""
    draw_plots(run, folder)
    write_page(run, PAGE)


if __name__ == "__main__":
    # Writes the plots and the page from the saved result, without another run.
    write_pages(json.loads(RESULT.read_text()), RESULT.parent)
