"""Compares two runs of the benchmark, and fails where the later one is worse."""

import sys
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from rich.console import Console
from rich.table import Table

from lab.figures import LOWER, MEASURES, Measure
from lab.pages import WIDTH, format_figure

POLICY = "fair"
DEFAULT_RATIO = 1.25
SAME = "same"
BETTER = "better"
WORSE = "worse"
MISSING = "missing"
FAILING = (WORSE, MISSING)


class Line(NamedTuple):
    """One measure of one deployment in both runs, and the verdict."""

    deployment: str
    measure: Measure
    old: float | None
    new: float | None
    verdict: str


def judge(
    measure: Measure, old: float | None, new: float | None, ratio: float
) -> str | None:
    """Return the verdict on a figure, or None where neither run has it.

    A difference within the measure's floor is none, whatever its ratio. Of a share,
    what is missing to the whole is compared: from 99% to 90% the callers that got
    nothing are ten times as many.
    """
    if new is None:
        return None if old is None else MISSING
    if old is None:
        return SAME
    if measure.unit == "share":
        low, high = 1 - old, 1 - new
    elif measure.better == LOWER:
        low, high = old, new
    else:
        low, high = new, old
    if abs(high - low) <= measure.floor:
        return SAME
    if high > low * ratio:
        return WORSE
    return BETTER if low > high * ratio else SAME


def compare_runs(old: Any, new: Any, ratio: float) -> list[Line]:
    """Return a line for each measure of each deployment that either run has."""
    lines = []
    names = dict.fromkeys([*old["deployments"], *new["deployments"]])
    for deployment in names:
        before = read_figures(old, deployment)
        after = read_figures(new, deployment)
        for measure in MEASURES:
            figures = before.get(measure.name), after.get(measure.name)
            verdict = judge(measure, *figures, ratio)
            if verdict is not None:
                lines.append(Line(deployment, measure, *figures, verdict))
    return lines


def read_figures(run: Any, deployment: str) -> dict[str, float]:
    """Return a deployment's figures; none where the run left it out."""
    results = run["deployments"].get(deployment, {})
    return results.get(POLICY, {}).get("figures", {})


def print_lines(lines: list[Line]) -> None:
    """Print the lines as a table."""
    table = Table()
    for title in ("deployment", "measure", "old", "new", "verdict"):
        table.add_column(title, justify="right" if title in ("old", "new") else "left")
    for line in lines:
        old = format_figure(line.measure, line.old)
        new = format_figure(line.measure, line.new)
        table.add_row(line.deployment, line.measure.title, old, new, line.verdict)
    Console(width=WIDTH).print(table)


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--ratio",
    type=click.FloatRange(1.0),
    default=DEFAULT_RATIO,
    show_default=True,
    help="How many times worse a figure may be.",
)
def main(old: Path, new: Path, ratio: float) -> None:
    """Compare the runs OLD and NEW; end with 1 where NEW is worse past the ratio."""
    runs = [msgspec.json.decode(path.read_bytes()) for path in (old, new)]
    lines = compare_runs(*runs, ratio)
    print_lines(lines)
    failing = [line for line in lines if line.verdict in FAILING]
    click.echo(f"{len(failing)} of {len(lines)} figures are worse past {ratio:g} times")
    sys.exit(1 if failing or not lines else 0)


if __name__ == "__main__":
    main()
