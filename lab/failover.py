"""Measures the gap in service when a primary or its serving daemon fails."""

import json
import statistics
from pathlib import Path
from typing import NamedTuple

import click

from bronzerelay.runtime import Runtime
from lab.faults import (
    Scene,
    cut_half,
    cut_primary_off,
    freeze_primary,
    freeze_primary_without_platform,
    freeze_serving_daemon,
    freeze_two_primaries,
    kill_primary,
    kill_serving_daemon,
)
from standins.checks import run_checks
from standins.cluster import VIANDA, Cluster
from standins.layout import Layout
from standins.load import Load, LoadSettings
from standins.record import Entry

RATE = 60.0
BEFORE_MS = 700
AFTER_MS = 4000
HEAL_MS = 1500
OUTPUT = Path("docs/measurements/failover.json")


class Round(NamedTuple):
    """One failure: the gap in service, the slowest request, and counts of outcomes."""

    kind: str
    gap_ms: float
    slowest_ms: float
    answered: int
    refused: int
    unknown: int
    violations: int


FAILURES = {
    "primary frozen": freeze_primary,
    "primary cut from its replicas": cut_primary_off,
    "primary cut from half the daemons": cut_half,
    "primary frozen, platform out": freeze_primary_without_platform,
    "two primaries frozen": freeze_two_primaries,
    "serving daemon frozen": freeze_serving_daemon,
    "serving daemon killed": kill_serving_daemon,
    "primary killed": kill_primary,
}


def find_gap(record: list[Entry], from_ms: float) -> float:
    """Return the longest time without an acknowledged write from `from_ms` on."""
    acknowledged_ms = sorted(
        entry.answered_ms for entry in record if entry.ran == "ran"
    )
    before = [time_ms for time_ms in acknowledged_ms if time_ms <= from_ms]
    points = [before[-1] if before else from_ms]
    points += [time_ms for time_ms in acknowledged_ms if time_ms > from_ms]
    gaps = [later - earlier for earlier, later in zip(points, points[1:], strict=False)]
    return max(gaps, default=float(AFTER_MS))


def run_round(scene: Scene, kind: str, seed: int) -> Round:
    """Cause one failure, heal it, check all records, and return the results."""
    record, failed_at_ms = cause_failure(scene, kind, seed)
    scene.cluster.wait_ready()
    scene.record.extend(record)
    return count_round(scene, kind, record, failed_at_ms)


def cause_failure(scene: Scene, kind: str, seed: int) -> tuple[list[Entry], float]:
    """Cause one failure under a steady load of writes, and heal it.

    Return the record of the load, and the time of the failure.
    """
    cluster = scene.cluster
    settings = LoadSettings(
        rates={cluster.layout.workspaces[0].name: RATE},
        groups=(scene.group,),
        seed=seed,
        duration_ms=BEFORE_MS + AFTER_MS,
        write_share=1.0,
        arrivals="even",
    )
    addresses = {name: cluster.addresses[name] for name in cluster.daemon_names}
    load = Load(cluster.runtime, settings, addresses, cluster.keys)
    load.start()
    cluster.runtime.sleep_ms(BEFORE_MS)
    failed_at_ms = cluster.runtime.clock.now_ms()
    undo = FAILURES[kind](scene)
    cluster.runtime.sleep_ms(AFTER_MS)
    undo()
    record = load.wait()
    cluster.runtime.sleep_ms(HEAL_MS)
    return record, failed_at_ms


def count_round(
    scene: Scene, kind: str, record: list[Entry], failed_at_ms: float
) -> Round:
    """Check the records of all rounds so far; return the results of this one."""
    violations = run_checks(scene.record, scene.cluster.collect_evidence())
    for violation in violations[:5]:
        click.echo(f"    {violation}")
    return Round(
        kind,
        find_gap(record, failed_at_ms),
        max(entry.latency_ms for entry in record),
        sum(entry.ran == "ran" for entry in record),
        sum(entry.ran == "not_run" for entry in record),
        sum(entry.ran not in ("ran", "not_run") for entry in record),
        len(violations),
    )


def measure(layout: Layout, kinds: list[str], runs: int, seed: int) -> list[Round]:
    """Return `runs` rounds of each kind, with the groups in turn."""
    rounds: list[Round] = []
    record: list[Entry] = []
    runtime = Runtime(600, seed=seed)
    with Cluster(runtime, layout) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.sleep_ms(1000)
        for kind in kinds:
            # A killed instance doesn't come back, so each group can lose one at most.
            count = min(runs, len(cluster.groups)) if "killed" in kind else runs
            for number in range(count):
                group = cluster.groups[number % len(cluster.groups)]
                result = run_round(Scene(cluster, group, record), kind, seed + number)
                click.echo(f"  {result.kind}: {result.gap_ms:.0f} ms")
                rounds.append(result)
    runtime.close(2000)
    return rounds


def summarise(rounds: list[Round]) -> list[dict]:
    """Return one entry for each kind of failure."""
    lines = []
    for kind in dict.fromkeys(run.kind for run in rounds):
        own = [run for run in rounds if run.kind == kind]
        gaps = [run.gap_ms for run in own]
        lines.append(
            {
                "kind": kind,
                "runs": len(own),
                "median_ms": round(statistics.median(gaps)),
                "worst_ms": round(max(gaps)),
                "slowest_ms": round(max(run.slowest_ms for run in own)),
                "answered": sum(run.answered for run in own),
                "not_run": sum(run.refused for run in own),
                "unknown": sum(run.unknown for run in own),
                # Each round checks all earlier ones, too: the last count is the total.
                "violations_so_far": own[-1].violations,
            }
        )
    return lines


@click.command()
@click.option("--runs", default=5, show_default=True, help="Rounds of each kind.")
@click.option("--kind", "kinds", multiple=True, help="Only these kinds of failure.")
@click.option("--seed", default=1, show_default=True)
@click.option("--lag-ms", default=5, show_default=True, help="Replication lag.")
@click.option("--output", default=str(OUTPUT), show_default=True)
def main(runs: int, kinds: tuple[str, ...], seed: int, lag_ms: int, output: str):
    """Measure the failover gap, and check that no write is lost or applied twice."""
    layout = VIANDA._replace(lag_ms=lag_ms, vm_lag_ms=200)
    rounds = measure(layout, list(kinds) or list(FAILURES), runs, seed)
    lines = summarise(rounds)
    for line in lines:
        click.echo(json.dumps(line))
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    result = {"runs": runs, "seed": seed, "lag_ms": lag_ms, "lines": lines}
    Path(output).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
