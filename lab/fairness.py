"""Measures the load of the fairness test while processes of the deployment pause."""

import re
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import click

from bronzerelay.codes import RAN
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from standins.cluster import Cluster
from standins.load import Load, LoadSettings
from standins.record import Entry, save_record
from standins.summary import get_code_name, print_refused
from tests import test_promise_fairness as fairness

SETTLE_MS = 1500
GROUP = fairness.LAYOUT.groups[0]
SERVING = "serving"
PRIMARY = "primary"
OTHER = "other"
# Numbers in messages, such as ports and ages, are left out of the counts.
NUMBER = re.compile(r"\d+(\.\d+)?")


class Pauses(NamedTuple):
    """Which process is paused, when, for how long, how often, and the gap between."""

    target: str
    at_ms: float
    pause_ms: float
    times: int
    gap_ms: float


def find_process(cluster: Cluster, target: str) -> str:
    """Return the name of the process that `target` stands for."""
    ranked = rank(f"group/{GROUP}", cluster.daemon_names)
    names = {
        SERVING: ranked[0],
        OTHER: ranked[1],
        PRIMARY: cluster.find_primary(GROUP),
    }
    return names.get(target, target)


def pause_process(cluster: Cluster, pauses: Pauses) -> None:
    """Pause a process as often as `pauses` says."""
    clock = cluster.runtime.clock
    name = find_process(cluster, pauses.target)
    clock.sleep_ms(pauses.at_ms)
    for _ in range(pauses.times):
        cluster.freeze(name)
        clock.sleep_ms(pauses.pause_ms)
        cluster.thaw(name)
        clock.sleep_ms(pauses.gap_ms)


def run_load(cluster: Cluster, pauses: Pauses | None) -> list[Entry]:
    """Run the load of the fairness test, and return its record."""
    rates = dict.fromkeys(fairness.SMALL, fairness.SMALL_RATE)
    settings = LoadSettings(
        rates=rates | {fairness.FLOODING: fairness.FLOOD_RATE},
        groups=fairness.LAYOUT.groups,
        seed=5,
        duration_ms=fairness.DURATION_MS,
        write_share=1.0,
        arrivals="even",
        workers=500,
        resends=0,
        deadline_ms=1000,
        timeout_ms=8000,
    )
    load = Load(cluster.runtime, settings, cluster.daemon_addresses, cluster.keys)
    load.start()
    if pauses is not None:
        pause_process(cluster, pauses)
    return load.wait()


def count_refusals(record: list[Entry]) -> Counter:
    """Count the requests that didn't run, by code, daemon and message."""
    return Counter(
        (get_code_name(entry.code), entry.daemon, NUMBER.sub("N", entry.message))
        for entry in record
        if entry.ran != RAN
    )


def print_run(number: int, record: list[Entry]) -> None:
    """Print what the small workspaces got, and what refused the rest."""
    small = [entry for entry in record if entry.workspace in fairness.SMALL]
    shares = fairness.list_served_fractions(record, fairness.SMALL)
    ran = sum(entry.ran == RAN for entry in record)
    shown = " ".join(f"{share:.2f}" for share in shares)
    click.echo(f"run {number}: least {min(shares):.2f} ({shown}), {ran} ran in all")
    for reason, count in count_refusals(small).most_common():
        click.echo(f"  {count:4d}  {'  '.join(reason)}")
    print_refused(small)


def measure(
    number: int, pauses: Pauses | None, folder: Path | None, log_level: str
) -> None:
    """Run the load once on a deployment of its own, and print the outcome."""
    runtime = Runtime(task_limit=900)
    flags = ["--log-level", log_level]
    with Cluster(runtime, fairness.LAYOUT, flags) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.clock.sleep_ms(SETTLE_MS)
        record = run_load(cluster, pauses)
        print_run(number, record)
        if folder is not None:
            target = folder / f"run-{number}"
            target.mkdir(parents=True, exist_ok=True)
            save_record(record, target / "record.jsonl")
            for name in cluster.daemon_names:
                (target / f"{name}.log").write_text(cluster.read_log(name))
    runtime.close(1000)


@click.command()
@click.option("--target", help=f"{SERVING}, {OTHER}, {PRIMARY}, or a process's name.")
@click.option("--at-ms", type=float, default=1000.0, show_default=True)
@click.option("--pause-ms", type=float, default=900.0, show_default=True)
@click.option("--times", type=int, default=1, show_default=True)
@click.option("--gap-ms", type=float, default=20.0, show_default=True)
@click.option("--runs", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path), help="Keeps records, logs.")
@click.option("--log-level", default="info", show_default=True)
def main(
    target: str | None,
    at_ms: float,
    pause_ms: float,
    times: int,
    gap_ms: float,
    runs: int,
    folder: Path | None,
    log_level: str,
) -> None:
    """Run the load of the fairness test, and pause a process meanwhile.

    Prints the served share of the small workspaces, and why the others were refused.
    """
    pauses = Pauses(target, at_ms, pause_ms, times, gap_ms) if target else None
    for number in range(1, runs + 1):
        measure(number, pauses, folder, log_level)


if __name__ == "__main__":
    main()
