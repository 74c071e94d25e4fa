"""Benchmarks both deployments under the fair policy and the naive baseline."""

import datetime
import json
import os
import platform
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

import click

from bronzerelay.env import ADVISED_SWITCH_INTERVAL_S
from bronzerelay.runtime import Runtime
from lab.failover import Scene, cause_failure, find_gap
from lab.figures import (
    Service,
    count_wrongful,
    list_services,
    measure_gaps,
    measure_rush,
    measure_steady,
    measure_worst_served,
    round_figures,
)
from lab.pages import RESULT, print_tables, write_pages
from standins.checks import run_checks
from standins.cluster import RETURNS, VIANDA, Cluster
from standins.layout import Layout
from standins.load import Load
from standins.rates import RateLimit
from standins.record import Entry
from standins.schedule import LoadSettings

DEPLOYMENTS = {"vianda": VIANDA, "returns": RETURNS}
POLICIES = ("fair", "naive")
ROOT = Path(__file__).resolve().parent.parent
TASK_LIMIT = 1200
CLOSE_MS = 5000

VM_LAG_MS = 200
LONG_LAG_MS = 50
SHORT_LAG_MS = 5
WRITE_SHARE = 0.1
# Slightly below the rate, so that random arrivals hardly ever exceed it.
INSIDE_FACTOR = 0.9
NOISY_FACTOR = 5
# In a rush, rates and load are this many times as high.
RUSH_FACTOR = 3
# Buckets start empty and are full a second after the first loans have lapsed.
FILL_MS = 2500
STEADY_MS = 5000
ROAMING_MS = 6000
NOISY_MS = 6000
RUSH_MS = 4000
# Each batch causes one failure in each group, this long after the one before.
STAGGER_MS = 300
BATCHES = (
    ("primary frozen", "primary frozen", "primary frozen"),
    ("primary cut from its replicas", "primary frozen", "serving daemon frozen"),
    ("primary killed", "serving daemon killed", "primary frozen"),
)


class Bench(NamedTuple):
    """One deployment under one policy; `record` and `limits` grow with each load."""

    cluster: Cluster
    layout: Layout
    seed: int
    record: list[Entry]
    limits: list[RateLimit]


class Gap(NamedTuple):
    """The longest time without an acknowledged write after a failure."""

    kind: str
    group: str
    gap_ms: float


def list_limits(layout: Layout, factor: float, from_ms: float) -> list[RateLimit]:
    """Return the rates of all workspaces, times `factor`, from a time on."""
    return [
        RateLimit(spec.name, spec.rate * factor, spec.burst * factor, from_ms)
        for spec in layout.workspaces
    ]


def run_load(
    bench: Bench, duration_ms: int, factor: float, **changes: Any
) -> list[Entry]:
    """Return the record of a load of all workspaces at `factor` times their rates."""
    rates = {spec.name: spec.rate * factor for spec in bench.layout.workspaces}
    return run_loads(bench, duration_ms, [rates], **changes)


def run_flood(bench: Bench, noisy: str) -> list[Entry]:
    """Return the record of a load in which one workspace sends far above its rate.

    It gets its own load: otherwise its many waiting requests would occupy the workers
    that send the others' requests, which would then go out late.
    """
    rates = {spec.name: spec.rate * INSIDE_FACTOR for spec in bench.layout.workspaces}
    flood = {noisy: rates.pop(noisy) / INSIDE_FACTOR * NOISY_FACTOR}
    return run_loads(bench, NOISY_MS, [rates, flood])


def run_loads(
    bench: Bench, duration_ms: int, all_rates: list[dict[str, float]], **changes: Any
) -> list[Entry]:
    """Return the record of loads that run concurrently, one for each dict of rates."""
    loads = [make_load(bench, duration_ms, rates, **changes) for rates in all_rates]
    for load in loads:
        load.start()
    record = [entry for load in loads for entry in load.wait()]
    bench.record.extend(record)
    return record


def make_load(
    bench: Bench, duration_ms: int, rates: dict[str, float], **changes: Any
) -> Load:
    """Return a load of the workspaces in `rates`."""
    cluster = bench.cluster
    settings = LoadSettings(
        rates=rates,
        groups=cluster.groups,
        seed=bench.seed,
        duration_ms=duration_ms,
        write_share=WRITE_SHARE,
        **changes,
    )
    addresses = {name: cluster.addresses[name] for name in cluster.daemon_names}
    return Load(cluster.runtime, settings, addresses, cluster.keys)


def set_lag(cluster: Cluster, lag_ms: int) -> None:
    """Set the replication lag of all instances."""
    for name in cluster.endpoint_names:
        cluster.ask_endpoint(name, "set", lag_ms=lag_ms)


def raise_rates(bench: Bench, factor: float) -> None:
    """Multiply all rates by `factor`, and wait until the new rates are in force."""
    cluster = bench.cluster
    bundle = cluster.build_bundle()
    for workspace in bundle["workspaces"]:
        workspace["rate"] *= factor
        workspace["burst"] *= factor
    now_ms = cluster.runtime.clock.now_ms()
    bench.limits.extend(list_limits(bench.layout, factor, now_ms))
    cluster.wait_ready(cluster.put_bundle(bundle))
    cluster.runtime.sleep_ms(FILL_MS)


def cause_failures(bench: Bench) -> list[Gap]:
    """Cause all failures, batch by batch, and return the gaps."""
    cluster = bench.cluster
    gaps = []
    for batch in BATCHES:
        tasks = []
        for number, kind in enumerate(batch):
            group = cluster.groups[number]
            scene = Scene(cluster, group, bench.record)
            seed = bench.seed + len(gaps) + number
            task = cluster.runtime.start(cause_failure, scene, kind, seed)
            tasks.append((kind, group, task))
            cluster.runtime.sleep_ms(STAGGER_MS)
        for kind, group, task in tasks:
            record, failed_at_ms = task.result()
            bench.record.extend(record)
            gaps.append(Gap(kind, group, find_gap(record, failed_at_ms)))
        cluster.wait_ready()
    return gaps


def measure_deployment(layout: Layout, policy: str, seed: int) -> dict[str, Any]:
    """Return all figures of a deployment under a policy."""
    layout = layout._replace(vm_lag_ms=VM_LAG_MS, lag_ms=LONG_LAG_MS)
    runtime = Runtime(TASK_LIMIT, seed=seed)
    with Cluster(runtime, layout, ["--policy", policy]) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.sleep_ms(FILL_MS)
        limits = list_limits(layout, 1, float("-inf"))
        bench = Bench(cluster, layout, seed, [], limits)
        result = run_phases(bench)
    runtime.close(CLOSE_MS)
    return result


def run_phases(bench: Bench) -> dict[str, Any]:
    """Run the loads one after the other, then the failures, then the checks."""
    limits = list(bench.limits)
    noisy = bench.layout.workspaces[0].name
    steady = run_load(bench, STEADY_MS, INSIDE_FACTOR)
    set_lag(bench.cluster, SHORT_LAG_MS)
    roaming = run_load(bench, ROAMING_MS, INSIDE_FACTOR, spread="moving")
    bench.cluster.runtime.sleep_ms(FILL_MS)
    flood = run_flood(bench, noisy)
    raise_rates(bench, RUSH_FACTOR)
    rush = run_load(bench, RUSH_MS, RUSH_FACTOR * INSIDE_FACTOR)
    gaps = cause_failures(bench)
    violations = run_checks(
        bench.record, bench.cluster.collect_evidence(), bench.limits
    )
    services = list_services(flood, limits)
    figures = {
        **measure_steady(steady),
        **measure_gaps([gap.gap_ms for gap in gaps]),
        "broken_promises": len(violations),
        **measure_worst_served(services),
        "wrongful": count_wrongful(flood, limits, left_out=noisy),
        "roaming": count_wrongful(roaming, limits),
        **measure_rush(rush),
    }
    return {
        "figures": round_figures(figures),
        "gaps": [gap._asdict() | {"gap_ms": round(gap.gap_ms)} for gap in gaps],
        "services": [describe_service(service) for service in services],
        "violations": count_kinds(violations),
        "requests": len(bench.record),
    }


def describe_service(service: Service) -> dict[str, Any]:
    """Return what a workspace got, as it is written to the JSON."""
    return service._asdict() | {"share": round(service.share, 4)}


def count_kinds(violations: list[Any]) -> dict[str, int]:
    """Return how often each kind of violation was found."""
    kinds = [type(violation).__name__ for violation in violations]
    return {kind: kinds.count(kind) for kind in sorted(set(kinds))}


def describe_run(seed: int) -> dict[str, Any]:
    """Return the date, the commit and the machine of this run."""
    return {
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        "commit": find_commit(),
        "seed": seed,
        "machine": {
            "cores": os.cpu_count(),
            "processor": platform.machine(),
            "system": platform.system(),
            "python": platform.python_version(),
            "load_before": round(os.getloadavg()[0], 1),
        },
    }


def find_commit() -> str:
    """Return the commit, with a plus sign if the working tree differs from it."""
    command = ["git", "describe", "--always", "--dirty=+", "--abbrev=10", "--exclude=*"]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return result.stdout.strip() or "unknown"


@click.command()
@click.option("--deployment", "names", multiple=True, type=click.Choice(DEPLOYMENTS))
@click.option("--seed", default=1, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), default=RESULT)
@click.option(
    "--pages/--no-pages", default=True, help="Also write the plots and the page."
)
def main(names: tuple[str, ...], seed: int, output: Path, pages: bool) -> None:
    """Run the benchmark and print one table for each deployment."""
    # With the default interval, requests of the load go out up to 70 ms late.
    sys.setswitchinterval(ADVISED_SWITCH_INTERVAL_S)
    run = describe_run(seed)
    run["deployments"] = {}
    for name in names or DEPLOYMENTS:
        run["deployments"][name] = {}
        for policy in POLICIES:
            click.echo(f"{name} under the {policy} policy ...")
            result = measure_deployment(DEPLOYMENTS[name], policy, seed)
            run["deployments"][name][policy] = result
    print_tables(run)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(run, indent=1) + "\n")
    if pages:
        write_pages(run, output.parent)


if __name__ == "__main__":
    main()
