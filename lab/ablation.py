"""What each mechanism of the pooler is worth: the same days with and without it.

For each mechanism a copy of the tree is made in which it is switched off, and a command
plays a day there that prints its worth. Run it with `python -m lab.ablation --help`.
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

WHOLE = "nothing switched off"
COPIED = ("bronzerelay", "platform", "deploy")
# What a play prints that broke a rule.
BROKEN = "rules broken"
# How long one play may take, in seconds.
PLAY_LIMIT_S = 900


class Play(NamedTuple):
    """One play of a day: its worth, and whether a rule was broken."""

    day: str
    worth: float
    broken: bool


class Run(NamedTuple):
    """A play that is under way."""

    mechanism: str
    day: str
    process: subprocess.Popen


def make_tree(folder: Path, mutation: Mutation | None) -> Path:
    """Write the tree without a mechanism into `folder`; raise ValueError when stale."""
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


def read_play(day: str, output: str) -> Play | None:
    """Return what a play printed: a row that begins with the day, its worth fourth."""
    for line in output.splitlines():
        fields = line.split()
        if len(fields) > 3 and fields[0] == day:
            try:
                worth = float(fields[3])
            except ValueError:
                continue
            return Play(day, worth, BROKEN in output)
    return None


def start(command: str, tree: Path, mechanism: str, day: str, seed: str) -> Run:
    """Start one play in a tree; the command's words name {day}, {seed}, {why}."""
    why = f"Ablation: without '{mechanism}'"
    words = [word.format(day=day, seed=seed, why=why) for word in shlex.split(command)]
    process = subprocess.Popen(
        words, cwd=tree, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    return Run(mechanism, day, process)


def finish(run: Run, plays: dict[str, list[Play]]) -> None:
    """Wait for a play and add what it gave."""
    output, _ = run.process.communicate(timeout=PLAY_LIMIT_S)
    play = read_play(run.day, output)
    if play is None:
        click.echo(f"{run.mechanism}, {run.day}: no result\n{output[-400:]}", err=True)
    else:
        plays.setdefault(run.mechanism, []).append(play)


def show_table(plays: dict[str, list[Play]], days: list[str]) -> None:
    """Print the mean worth by day, and what each mechanism adds to it."""
    table = Table("switched off", *days, "mean", "worth of it", "rule broken")
    whole = _mean(plays.get(WHOLE, []))
    for mechanism, found in plays.items():
        by_day = [_mean([one for one in found if one.day == day]) for day in days]
        mean = _mean(found)
        table.add_row(
            mechanism,
            *[f"{value:.4f}" for value in by_day],
            f"{mean:.4f}",
            f"{whole - mean:+.4f}",
            str(sum(one.broken for one in found)),
        )
    Console(width=160).print(table)


def _mean(plays: list[Play]) -> float:
    return sum(one.worth for one in plays) / len(plays) if plays else float("nan")


@click.command()
@click.option(
    "--command", required=True, help="Plays {day} with {seed}; {why} says why."
)
@click.option("--days", required=True, help="Names of days, divided by commas.")
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option(
    "--only", multiple=True, help="Only mechanisms that contain this text; repeatable."
)
@click.option("--jobs", default=3, show_default=True, help="Plays at a time.")
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(
    command: str, days: str, seeds: str, only: tuple[str, ...], jobs: int, out: Path
) -> None:
    """Play days in a tree for each mechanism that is switched off, and one as it is."""
    chosen = [
        one
        for one in POOLER_MUTATIONS
        if not only or any(text in one.mechanism for text in only)
    ]
    trees = {WHOLE: make_tree(out / "whole", None)}
    for number, mutation in enumerate(chosen):
        try:
            tree = make_tree(out / f"without-{number}", mutation)
        except ValueError as error:
            click.echo(f"left out: {error}", err=True)
            continue
        trees[mutation.mechanism] = tree
    plays: dict[str, list[Play]] = {}
    running: list[Run] = []
    for mechanism, tree in trees.items():
        for day in days.split(","):
            for seed in seeds.split(","):
                if len(running) >= jobs:
                    finish(running.pop(0), plays)
                running.append(start(command, tree, mechanism, day, seed))
    for run in running:
        finish(run, plays)
    show_table(plays, days.split(","))


if __name__ == "__main__":
    main()
