"""Runs random schedules of faults under load and checks every promise after each.

A schedule is a few faults at random times during a short load. Faults may overlap and
repeat. The seed determines everything but the timing of the machine.
"""

import json
from pathlib import Path
from typing import NamedTuple

import click

from bronzerelay.runtime import Runtime
from lab import faults
from lab.faults import Scene, Undo
from standins.checks import run_checks
from standins.cluster import DEMO, Cluster, ClusterError, Layout
from standins.layout import WorkspaceLayout
from standins.load import Load, LoadSettings, end_on_sigterm
from standins.platformadmin import AdminError
from standins.rates import RateLimit
from standins.record import Entry

OUTPUT = Path("docs/measurements/soak.json")
FAULTS = (
    faults.freeze_primary,
    faults.freeze_primary,
    faults.freeze_replica,
    faults.cut_primary_off,
    faults.cut_half,
    faults.freeze_serving_daemon,
    faults.freeze_daemon,
    faults.kill_serving_daemon,
    faults.kill_daemon,
    faults.restart_daemon,
    faults.lose_answers,
    faults.delay_answers,
    faults.cross_answers,
    faults.raise_lag,
    faults.stop_platform,
    faults.slow_platform,
    faults.lose_platform_answers,
    faults.change_configuration,
)
LAYOUT = DEMO._replace(
    groups=("orders", "diets"),
    daemons=4,
    vm_lag_ms=300,
    service_ms=2,
    workspaces=(
        WorkspaceLayout("caterer-1", rate=60, burst=60),
        WorkspaceLayout("caterer-2", rate=40, burst=40),
        WorkspaceLayout("schools", rate=20, burst=20),
    ),
)
# Requests a second; one workspace sends far more than its rate.
SENT = {"caterer-1": 50.0, "caterer-2": 30.0, "schools": 60.0}
LOAD_MS = 2200
FAULTS_PER_SCHEDULE = (1, 4)
FAULT_WINDOW_MS = 900.0
FAULT_LENGTH_MS = (200.0, 1400.0)
SETTLE_MS = 900
# A cluster's logs grow with each schedule, and so does the time to check them.
SCHEDULES_PER_CLUSTER = 10
LIMITS = [RateLimit(spec.name, spec.rate, spec.burst) for spec in LAYOUT.workspaces]


class PlannedFault(NamedTuple):
    """A fault of a schedule: its index in `FAULTS`, and its begin and end."""

    begin_ms: float
    end_ms: float
    number: int
    group: str


class Tally(NamedTuple):
    """The outcome of a schedule: its faults, counts of requests, and violations."""

    seed: int
    faults: list[str]
    answered: int
    not_run: int
    unknown: int
    violations: list[str]


def plan_faults(runtime: Runtime, seed: int, layout: Layout) -> list[PlannedFault]:
    """Return the faults of the schedule with this seed, by their begin."""
    draw = runtime.make_random(seed)
    planned = []
    for _ in range(draw.randint(*FAULTS_PER_SCHEDULE)):
        begin_ms = draw.uniform(200.0, FAULT_WINDOW_MS)
        end_ms = begin_ms + draw.uniform(*FAULT_LENGTH_MS)
        number = draw.randrange(len(FAULTS))
        planned.append(
            PlannedFault(begin_ms, end_ms, number, draw.choice(layout.groups))
        )
    return sorted(planned)


def cause_faults(
    cluster: Cluster, planned: list[PlannedFault], record: list[Entry]
) -> list[str]:
    """Cause the faults at their times and undo each at its end.

    Return the names of the faults that could be caused.
    """
    started_ms = cluster.runtime.clock.now_ms()
    pending_undos: list[tuple[float, Undo]] = []
    names = []
    pending_faults = [(fault.begin_ms, fault) for fault in planned]
    while pending_faults or pending_undos:
        next_begin = pending_faults[0][0] if pending_faults else float("inf")
        next_end = min((end for end, _ in pending_undos), default=float("inf"))
        due_ms = started_ms + min(next_begin, next_end)
        cluster.runtime.sleep_ms(due_ms - cluster.runtime.clock.now_ms())
        if next_begin <= next_end:
            fault = pending_faults.pop(0)[1]
            name = FAULTS[fault.number].__name__
            undo = cause_fault(Scene(cluster, fault.group, record), fault.number)
            if undo is not None:
                names.append(name)
                pending_undos.append((fault.end_ms, undo))
        else:
            pending_undos.sort(key=lambda pair: pair[0])
            pending_undos.pop(0)[1]()
    return names


def cause_fault(scene: Scene, number: int) -> Undo | None:
    """Cause one fault; return None when an earlier one makes it impossible."""
    try:
        return FAULTS[number](scene)
    except (OSError, ClusterError, AdminError):
        # The process is already frozen or stopped, or the platform is already down.
        return None


def run_schedule(cluster: Cluster, record: list[Entry], seed: int) -> Tally:
    """Run one schedule, let the cluster recover, and check its whole record so far."""
    settings = LoadSettings(
        rates=SENT,
        groups=cluster.layout.groups,
        seed=seed,
        duration_ms=LOAD_MS,
        write_share=0.4,
        once_share=0.4,
        transaction_share=0.2,
        age_share=0.3,
        rows=12,
    )
    load = Load(cluster.runtime, settings, cluster.daemon_addresses, cluster.keys)
    planned = plan_faults(cluster.runtime, seed, cluster.layout)
    load.start()
    names = cause_faults(cluster, planned, record)
    entries = load.wait()
    record.extend(entries)
    cluster.runtime.sleep_ms(SETTLE_MS)
    cluster.wait_ready()
    violations = run_checks(record, cluster.collect_evidence(), LIMITS)
    return Tally(
        seed,
        names,
        sum(entry.ran == "ran" for entry in entries),
        sum(entry.ran == "not_run" for entry in entries),
        sum(entry.ran not in ("ran", "not_run") for entry in entries),
        [f"{type(violation).__name__}: {violation}" for violation in violations],
    )


def run_cluster(seed: int, count: int) -> list[Tally]:
    """Run `count` schedules one after the other on one cluster."""
    tallies = []
    record: list[Entry] = []
    runtime = Runtime(700, seed=seed)
    with Cluster(runtime, LAYOUT) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.sleep_ms(500)
        for number in range(count):
            tally = run_schedule(cluster, record, seed + number)
            tallies.append(tally)
            if tally.violations:
                # The next schedules would report the same violations again.
                break
    runtime.close(2000)
    return tallies


def print_tally(tally: Tally) -> None:
    """Print the outcome of a schedule in a line, and its first violations."""
    click.echo(
        f"seed {tally.seed}: {tally.answered} ran, {tally.not_run} not run, "
        f"{tally.unknown} unknown; {', '.join(tally.faults)}"
    )
    for violation in tally.violations[:5]:
        click.echo(f"    BROKEN {violation}"[:300])


@click.command()
@click.option("--schedules", default=20, show_default=True)
@click.option("--seed", default=None, type=int, help="Random by default; printed.")
@click.option("--output", default=str(OUTPUT), show_default=True)
def main(schedules: int, seed: int | None, output: str) -> None:
    """Run random fault schedules and exit with 1 if a promise was broken."""
    # Without this, SIGTERM would leave the deployment's processes running.
    end_on_sigterm()
    if seed is None:
        seed = Runtime(1).random.randrange(1_000_000_000)
    click.echo(f"first seed {seed}")
    tallies: list[Tally] = []
    while len(tallies) < schedules:
        count = min(SCHEDULES_PER_CLUSTER, schedules - len(tallies))
        new = run_cluster(seed + len(tallies), count)
        for tally in new:
            print_tally(tally)
        tallies.extend(new)
        write_result(seed, tallies, output)
    broken = sum(bool(tally.violations) for tally in tallies)
    click.echo(f"{len(tallies)} schedules, {broken} with a broken promise")
    raise SystemExit(1 if broken else 0)


def write_result(seed: int, tallies: list[Tally], output: str) -> None:
    """Write the totals so far, so that an interrupted run leaves its results."""
    result = {
        "first_seed": seed,
        "schedules": len(tallies),
        "with_violations": [tally.seed for tally in tallies if tally.violations],
        "ran": sum(tally.answered for tally in tallies),
        "not_run": sum(tally.not_run for tally in tallies),
        "unknown": sum(tally.unknown for tally in tallies),
    }
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    Path(output).write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
