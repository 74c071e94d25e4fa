"""Compares two runs of the benchmark, and fails if the later one is worse."""

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


class Comparison(NamedTuple):
    """One measure of one deployment in both runs, and the verdict."""

    deployment: str
    measure: Measure
    old: float | None
    new: float | None
    verdict: str


def compare_figure(
    measure: Measure, old: float | None, new: float | None, ratio: float
) -> str | None:
    """Return the verdict on a figure, or None if neither run has it.

    Differences up to the measure's floor are ignored, whatever their ratio. For a
    share, its complement is compared: from 99% to 90%, ten times as many callers got
    nothing.
    """
    if new is None:
        return None if old is None else MISSING
    if old is None:
        return SAME
    # Ordered so that an increase from `before` to `after` is for the worse.
    if measure.unit == "share":
        before, after = 1 - old, 1 - new
    elif measure.better == LOWER:
        before, after = old, new
    else:
        before, after = new, old
    if abs(after - before) <= measure.floor:
        return SAME
    if after > before * ratio:
        return WORSE
    return BETTER if before > after * ratio else SAME


def compare_runs(old: Any, new: Any, ratio: float) -> list[Comparison]:
    """Compare each measure of each deployment that either run has."""
    comparisons = []
    names = dict.fromkeys([*old["deployments"], *new["deployments"]])
    for deployment in names:
        before = read_figures(old, deployment)
        after = read_figures(new, deployment)
        for measure in MEASURES:
            figures = before.get(measure.name), after.get(measure.name)
            verdict = compare_figure(measure, *figures, ratio)
            if verdict is not None:
                comparisons.append(Comparison(deployment, measure, *figures, verdict))
    return comparisons


def read_figures(run: Any, deployment: str) -> dict[str, float]:
    """Return a deployment's figures, which are empty if the run left it out."""
    results = run["deployments"].get(deployment, {})
    return results.get(POLICY, {}).get("figures", {})


def print_table(comparisons: list[Comparison]) -> None:
    """Print the comparisons as a table."""
    table = Table()
    for title in ("deployment", "measure", "old", "new", "verdict"):
        table.add_column(title, justify="right" if title in ("old", "new") else "left")
    for one in comparisons:
        old = format_figure(one.measure, one.old)
        new = format_figure(one.measure, one.new)
        table.add_row(one.deployment, one.measure.title, old, new, one.verdict)
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
    """Compare the runs OLD and NEW; exit with 1 if NEW is worse by over the ratio."""
    runs = [msgspec.json.decode(path.read_bytes()) for path in (old, new)]
    comparisons = compare_runs(*runs, ratio)
    print_table(comparisons)
    failing = [one for one in comparisons if one.verdict in FAILING]
    click.echo(
        f"{len(failing)} of {len(comparisons)} figures are worse past {ratio:g} times"
    )
    sys.exit(1 if failing or not comparisons else 0)


if __name__ == "__main__":
    main()
