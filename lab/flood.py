"""Measures what other workspaces get while one sends far more than its rate."""

from pathlib import Path
from statistics import median
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from bronzerelay.codes import RAN
from bronzerelay.runtime import Runtime
from standins.cluster import Cluster
from standins.layout import LAYOUTS
from standins.load import SPREADS, Load, LoadSettings
from standins.rates import RateLimit, check_rates, find_wrongful_refusals
from standins.summary import summarise

RESULT_FOLDER = Path(__file__).resolve().parent.parent / "docs/measurements"
WARM_UP_MS = 2500
# Wrongful refusals are counted per this many requests.
PER_REQUESTS = 10_000
FLOOD_FACTOR = 5.0


def measure(
    name: str, load: float, seconds: float, spread: str, seed: int
) -> dict[str, Any]:
    """Return the figures of one run; the first workspace sends five times its rate."""
    layout = LAYOUTS[name]
    flooding = layout.workspaces[0].name
    rates = {spec.name: spec.rate * load for spec in layout.workspaces}
    rates[flooding] = layout.workspaces[0].rate * FLOOD_FACTOR
    runtime = Runtime(task_limit=1200)
    with Cluster(runtime, layout) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.clock.sleep_ms(WARM_UP_MS)
        daemons = {daemon: cluster.addresses[daemon] for daemon in cluster.daemon_names}
        settings = LoadSettings(
            rates=rates,
            groups=layout.groups,
            seed=seed,
            duration_ms=int(seconds * 1000),
            spread=spread,
        )
        flood = Load(runtime, settings, daemons, cluster.keys)
        flood.start()
        record = flood.wait()
        limits = [
            RateLimit(spec.name, spec.rate, spec.burst) for spec in layout.workspaces
        ]
        violations = check_rates(record, limits, cluster.collect_evidence())
    runtime.close(1000)
    rows = [summarise_workspace(workspace, record, limits) for workspace in rates]
    others = [row for row in rows if row["workspace"] != flooding]
    return {
        "layout": name,
        "load": load,
        "spread": spread,
        "seed": seed,
        "flooding": flooding,
        "rate_violations": len(violations),
        "wrongful_per_10000": round(
            PER_REQUESTS
            * sum(row["wrongful"] for row in others)
            / sum(row["requests"] for row in others),
            2,
        ),
        "worst_share_to_median": round(
            min(row["served"] for row in others)
            / median(row["served"] for row in others),
            4,
        ),
        "worst_p99_to_median": round(
            max(row["p99_ms"] for row in others)
            / median(row["p99_ms"] for row in others),
            2,
        ),
        "rows": rows,
    }


def summarise_workspace(
    name: str, record: list, limits: list[RateLimit]
) -> dict[str, Any]:
    """Return one workspace's figures; `served` is the fraction of requests that ran."""
    own = [entry for entry in record if entry.workspace == name]
    summary = summarise(own)
    return {
        "workspace": name,
        "requests": len(own),
        "served": round(sum(entry.ran == RAN for entry in own) / len(own), 4),
        "wrongful": len(find_wrongful_refusals(own, limits)),
        "p50_ms": round(summary.p50_ms, 1),
        "p99_ms": round(summary.p99_ms, 1),
    }


def print_run(run: dict[str, Any]) -> None:
    """Print the figures of a run."""
    console = Console(width=120)
    console.print({key: value for key, value in run.items() if key != "rows"})
    table = Table()
    for title in run["rows"][0]:
        table.add_column(title)
    for row in run["rows"]:
        table.add_row(*map(str, row.values()))
    console.print(table)


@click.command()
@click.option("--layout", type=click.Choice(["vianda", "returns"]), default="vianda")
@click.option("--load", default=0.8, show_default=True, help="Multiple of the rate.")
@click.option("--seconds", type=click.FloatRange(1, 120), default=8)
@click.option("--spread", type=click.Choice(SPREADS), default="random")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", is_flag=True, help="Write the result to docs/measurements.")
def main(
    layout: str, load: float, seconds: float, spread: str, seed: int, keep: bool
) -> None:
    """Measure the other workspaces while one sends five times its rate."""
    run = measure(layout, load, seconds, spread, seed)
    print_run(run)
    if keep:
        path = RESULT_FOLDER / f"flood-{layout}-{spread}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(run)))


if __name__ == "__main__":
    main()
