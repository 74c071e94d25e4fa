"""Measures what each mechanism of the pooler adds to the score of benchmark days.

A day is a scenario of an external benchmark command, which prints a score for it. For
each mechanism a copy of the tree is made in which it is switched off, and the command
runs the same days there. See `python -m lab.ablation --help`.
"""

import shlex
import shutil
import subprocess
from pathlib import Path
from typing import NamedTuple

import click
from rich.console import Console
from rich.table import Table

from lab.mutations import ROOT
from lab.poolermutations import POOLER_MUTATIONS, Mutation

BASELINE = "nothing switched off"
COPIED = ("bronzerelay", "platform", "deploy")
# The command prints this when a run broke a rule.
BROKEN = "rules broken"
# How long the run of one day may take, in seconds.
RUN_TIMEOUT_S = 900


class DayResult(NamedTuple):
    """The result of one run of a day: its score, and whether a rule was broken."""

    day: str
    score: float
    broken: bool


class Run(NamedTuple):
    """A run of a day that is in progress."""

    mechanism: str
    day: str
    process: subprocess.Popen


def make_tree(folder: Path, mutation: Mutation | None) -> Path:
    """Copy the tree into `folder`, with the mutation applied.

    Raise ValueError if the file no longer contains the text that it replaces.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for name in COPIED:
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, folder / name, ignore=ignore)
    if mutation is not None:
        path = folder / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(f"{mutation.mechanism}: {mutation.file} has changed")
        path.write_text(text.replace(mutation.old, mutation.new))
    return folder


def parse_result(day: str, output: str) -> DayResult | None:
    """Return the result from the output row that starts with the day.

    The fourth field of the row is the score.
    """
    for line in output.splitlines():
        fields = line.split()
        if len(fields) > 3 and fields[0] == day:
            try:
                score = float(fields[3])
            except ValueError:
                continue
            return DayResult(day, score, BROKEN in output)
    return None


def start_run(command: str, tree: Path, mechanism: str, day: str, seed: str) -> Run:
    """Start the command in a tree, with {day}, {seed} and {why} filled in."""
    why = f"Ablation: without '{mechanism}'"
    words = [word.format(day=day, seed=seed, why=why) for word in shlex.split(command)]
    process = subprocess.Popen(
        words, cwd=tree, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    return Run(mechanism, day, process)


def finish_run(run: Run, results: dict[str, list[DayResult]]) -> None:
    """Wait for a run and add its result to those of its mechanism."""
    output, _ = run.process.communicate(timeout=RUN_TIMEOUT_S)
    result = parse_result(run.day, output)
    if result is None:
        click.echo(f"{run.mechanism}, {run.day}: no result\n{output[-400:]}", err=True)
    else:
        results.setdefault(run.mechanism, []).append(result)


def print_table(results: dict[str, list[DayResult]], days: list[str]) -> None:
    """Print the mean score by day, and what each mechanism adds to it."""
    table = Table("switched off", *days, "mean", "score added", "rule broken")
    baseline = _mean(results.get(BASELINE, []))
    for mechanism, own in results.items():
        by_day = [
            _mean([result for result in own if result.day == day]) for day in days
        ]
        mean = _mean(own)
        table.add_row(
            mechanism,
            *[f"{value:.4f}" for value in by_day],
            f"{mean:.4f}",
            f"{baseline - mean:+.4f}",
            str(sum(result.broken for result in own)),
        )
    Console(width=160).print(table)


def _mean(results: list[DayResult]) -> float:
    return (
        sum(result.score for result in results) / len(results)
        if results
        else float("nan")
    )


@click.command()
@click.option(
    "--command", required=True, help="Runs {day} with {seed}; {why} is the reason."
)
@click.option("--days", required=True, help="Names of days, separated by commas.")
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option(
    "--only", multiple=True, help="Only mechanisms that contain this text; repeatable."
)
@click.option("--jobs", default=3, show_default=True, help="Runs at a time.")
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(
    command: str, days: str, seeds: str, only: tuple[str, ...], jobs: int, out: Path
) -> None:
    """Run days in an unchanged tree, and in one for each mechanism switched off."""
    chosen = [
        mutation
        for mutation in POOLER_MUTATIONS
        if not only or any(text in mutation.mechanism for text in only)
    ]
    trees = {BASELINE: make_tree(out / "whole", None)}
    for number, mutation in enumerate(chosen):
        try:
            tree = make_tree(out / f"without-{number}", mutation)
        except ValueError as error:
            click.echo(f"left out: {error}", err=True)
            continue
        trees[mutation.mechanism] = tree
    results: dict[str, list[DayResult]] = {}
    running: list[Run] = []
    for mechanism, tree in trees.items():
        for day in days.split(","):
            for seed in seeds.split(","):
                if len(running) >= jobs:
                    finish_run(running.pop(0), results)
                running.append(start_run(command, tree, mechanism, day, seed))
    for run in running:
        finish_run(run, results)
    print_table(results, days.split(","))


if __name__ == "__main__":
    main()
