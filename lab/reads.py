"""Measures the share of reads on replicas, against a daemon that uses none."""

import json
import statistics
from pathlib import Path
from typing import NamedTuple

import click

from bronzerelay.runtime import Runtime
from standins.checks import run_checks
from standins.cluster import VIANDA, Cluster
from standins.layout import Layout
from standins.load import Load, LoadSettings
from standins.record import Entry

LAGS_MS = (5, 50, 500)
WRITE_SHARE = 0.1
# The fraction of each workspace's rate that the load uses.
RATE_FRACTION = 0.5
DAEMONS = {"replicas": "bronzerelay.daemon", "primary only": "lab.primary_daemon"}
SETTLE_MS = 1000
OUTPUT = Path("docs/measurements/reads.json")


class RunFigures(NamedTuple):
    """The results of a run; latencies are those of requests that ran."""

    policy: str
    lag_ms: int
    reads: int
    replica_share: float
    read_median_ms: float
    read_p99_ms: float
    write_median_ms: float
    refused: int
    unknown: int
    violations: int


def run_load(layout: Layout, module: str, seed: int, duration_ms: int) -> tuple:
    """Return the record of a load and the violations found in it."""
    runtime = Runtime(600, seed=seed)
    with Cluster(runtime, layout, daemon_module=module) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.sleep_ms(SETTLE_MS)
        rates = {spec.name: spec.rate * RATE_FRACTION for spec in layout.workspaces}
        settings = LoadSettings(
            rates=rates,
            groups=layout.groups,
            seed=seed,
            duration_ms=duration_ms,
            write_share=WRITE_SHARE,
        )
        addresses = {name: cluster.addresses[name] for name in cluster.daemon_names}
        load = Load(runtime, settings, addresses, cluster.keys)
        load.start()
        record = load.wait()
        violations = run_checks(record, cluster.collect_evidence())
    runtime.close(SETTLE_MS)
    return record, violations


def summarise(
    policy: str, lag_ms: int, record: list[Entry], violations: list
) -> RunFigures:
    """Return the figures of a run."""
    ran = [entry for entry in record if entry.ran == "ran"]
    reads = [entry for entry in ran if not entry.is_write]
    writes = [entry.latency_ms for entry in ran if entry.is_write]
    latencies = [entry.latency_ms for entry in reads]
    on_replicas = sum(entry.role == "replica" for entry in reads)
    return RunFigures(
        policy,
        lag_ms,
        len(reads),
        round(on_replicas / len(reads), 4),
        round(statistics.median(latencies), 1),
        round(statistics.quantiles(latencies, n=100)[98], 1),
        round(statistics.median(writes), 1),
        sum(entry.ran == "not_run" for entry in record),
        sum(entry.ran == "unknown" for entry in record),
        len(violations),
    )


@click.command()
@click.option("--seconds", default=8, show_default=True, help="Length of each run.")
@click.option("--seed", default=1, show_default=True)
@click.option("--output", default=str(OUTPUT), show_default=True)
def main(seconds: int, seed: int, output: str) -> None:
    """Measure each policy at each lag, with one write in ten requests."""
    results = []
    for lag_ms in LAGS_MS:
        layout = VIANDA._replace(lag_ms=lag_ms, vm_lag_ms=200)
        for policy, module in DAEMONS.items():
            record, violations = run_load(layout, module, seed, seconds * 1000)
            figures = summarise(policy, lag_ms, record, violations)
            click.echo(json.dumps(figures._asdict()))
            for violation in violations[:3]:
                click.echo(f"    {violation}")
            results.append(figures._asdict())
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    result = {"seconds": seconds, "seed": seed, "layout": "vianda", "lines": results}
    Path(output).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
