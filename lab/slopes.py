"""Measures how costs grow with size, and writes capacity.json and the page's tables.

`python -m lab.slopes` measures all roles, and `python -m lab.slopes beats idle` only
some. `python -m lab.slopes --tables` only rewrites the tables from the file.
"""

import contextlib
import json
import os
import platform
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click

from bronzerelay.runtime import Address, Runtime
from lab.deployments import measure_fleet, measure_paths
from lab.measure import fit_line
from lab.tables import rewrite_page
from standins.processes import Process, reserve_addresses, wait_until_listening

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs/measurements/capacity.json"
PAGE = ROOT / "docs/CAPACITY.md"
WORKER_TIMEOUT_S = 60
START_TIMEOUT_MS = 15_000
SIGNIFICANT_DIGITS = 4


class Experiment(NamedTuple):
    """A role that is measured at several sizes; `size` names what the sizes count."""

    role: str
    size: str
    sizes: tuple[int, ...]


EXPERIMENTS = (
    Experiment("idle", "idle connections", (250, 1000, 4000, 9700)),
    Experiment("active", "busy connections", (1, 16, 64, 256)),
    Experiment("paths", "statements", (400, 800, 1600)),
    Experiment("routing", "members", (9, 100, 1000, 3100)),
    Experiment("ranking", "members", (100, 1000, 3100)),
    Experiment("watching", "groups", (5, 10, 20, 40)),
    Experiment("tending", "groups", (1000, 4000, 16000)),
    Experiment("promotion", "instances", (3, 5, 7)),
    Experiment("accounts", "workspaces", (1000, 2000, 4000)),
    Experiment("splits", "members", (100, 1000, 3100)),
    Experiment("spending", "workspaces", (100, 1000, 4000)),
    Experiment("calls", "calls", (500, 1000, 2000)),
    Experiment("slots", "contending tasks", (3, 16, 64)),
    Experiment("bundle", "groups", (200, 400, 800)),
    Experiment("beats", "members", (9, 100, 1000, 3100)),
    Experiment("graph", "members", (100, 400, 1600, 3100)),
    Experiment("roster", "members", (9, 100, 1000, 3100)),
    Experiment("fleet", "daemons", (3, 6, 9, 12)),
)


@contextlib.contextmanager
def run_instances() -> Iterator[list[Address]]:
    """Run three instances of a group, each a process, and yield their addresses."""
    runtime = Runtime(task_limit=4)
    addresses = [reservation.address for reservation in reserve_addresses(runtime, 3)]
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        role = ["--primary-term", "1"]
        for number, address in enumerate(addresses, start=1):
            flags = ["--name", f"orders-{number}", "--group", "orders"]
            flags += ["--listen", str(address), *role]
            process = Process(
                f"orders-{number}", "standins.endpoint", flags, Path(folder)
            )
            process.start()
            processes.append(process)
            role = ["--follow", str(addresses[0])]
        try:
            for process, address in zip(processes, addresses, strict=True):
                wait_until_listening(runtime, process, address, START_TIMEOUT_MS)
            yield addresses
        finally:
            for process in processes:
                process.kill()


def ask_worker(role: str, size: int, addresses: list[Address]) -> dict[str, float]:
    """Measure the role at one size in a process of its own, and return its figures."""
    command = [sys.executable, "-m", "lab.worker", role, str(size)]
    result = subprocess.run(
        [*command, *map(str, addresses)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WORKER_TIMEOUT_S,
    )
    if result.returncode:
        raise click.ClickException(f"{role} {size}: {result.stderr[-800:]}")
    return json.loads(result.stdout.splitlines()[-1])


def measure_sizes(experiment: Experiment) -> dict[int, dict[str, float]]:
    """Return the metrics of a role at each of its sizes."""
    role, sizes = experiment.role, experiment.sizes
    if role == "paths":
        return measure_paths(list(sizes))
    if role == "fleet":
        return {size: measure_fleet(size) for size in sizes}
    if role == "watching":
        with run_instances() as addresses:
            return {size: ask_worker(role, size, addresses) for size in sizes}
    return {size: ask_worker(role, size, []) for size in sizes}


def round_number(value: float) -> float:
    """Return `value` with four significant digits."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def fit_slopes(
    experiment: Experiment, results: dict[int, dict[str, float]]
) -> dict[str, Any]:
    """Return a line through the points of each metric, with its points and command."""
    slopes = {}
    for metric in next(iter(results.values())):
        points = [(size, round_number(results[size][metric])) for size in results]
        line = fit_line(points)
        slopes[f"{experiment.role}.{metric}"] = {
            "size": experiment.size,
            "points": points,
            "slope": round_number(line.slope),
            "base": round_number(line.base),
            "command": f"python -m lab.slopes {experiment.role}",
        }
    return slopes


def describe_machine() -> dict[str, Any]:
    """Return the machine on which the figures are measured."""
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(memory / 1e9),
        "python": platform.python_version(),
    }


def read_results() -> dict[str, Any]:
    """Return the content of the results file, or empty results if there is none."""
    if not RESULTS.exists():
        return {"machine": {}, "slopes": {}}
    return json.loads(RESULTS.read_text())


def save_results(results: dict[str, Any]) -> None:
    """Write the results file."""
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


@click.command()
@click.option(
    "--tables", is_flag=True, help="Only rewrite the tables; measure nothing."
)
@click.argument("roles", nargs=-1)
def main(tables: bool, roles: tuple[str, ...]) -> None:
    """Measure ROLES, or all, and rewrite the tables of docs/CAPACITY.md."""
    known = [experiment.role for experiment in EXPERIMENTS]
    if unknown := sorted(set(roles) - set(known)):
        raise click.BadParameter(f"{unknown} not among {known}")
    results = read_results()
    clock = Runtime(task_limit=1).clock
    for experiment in () if tables else EXPERIMENTS:
        if roles and experiment.role not in roles:
            continue
        began_ms = clock.now_ms()
        sizes = measure_sizes(experiment)
        results["machine"] = describe_machine()
        results["slopes"].update(fit_slopes(experiment, sizes))
        save_results(results)
        click.echo(f"{experiment.role}: {(clock.now_ms() - began_ms) / 1000:.1f} s")
    PAGE.write_text(rewrite_page(PAGE.read_text(), results))


if __name__ == "__main__":
    main()
