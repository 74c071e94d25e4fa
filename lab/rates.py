"""Measures wrongful refusals and calls of three ways to enforce a workspace's rate.

Requests arrive in an open loop on a simulated clock, so the same seed always gives the
same result. Run it with `python -m lab.rates`.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec
from rich.console import Console
from rich.table import Table

from bronzerelay.buckets import Bucket, Share
from bronzerelay.holders import list_holders
from bronzerelay.runtime import Random
from bronzerelay.types import WorkspaceSpec
from lab.accountant import CALL_TIMEOUT_MS, Accountant, find_accountant
from standins.layout import LAYOUTS, WorkspaceLayout, name_daemons
from standins.rates import Bucket as NaiveBucket
from standins.rates import RateLimit
from tests.fleet import WORKSPACE, Fate, Fleet, make_spec

RESULT_PATH = Path(__file__).resolve().parent.parent / "docs/measurements/rates.json"
# One-way delay of a call between daemons, whose round trip is about 1 ms.
ONE_WAY_MS = 0.5
WARM_UP_MS = 2000
MOVE_MS = 1000
# The fractions of the run between which a daemon is dead.
DEAD_FROM = 0.4
DEAD_UNTIL = 0.6
# How long the others keep calling a dead daemon before they consider it dead.
SUSPECT_MS = 700
# Wrongful refusals are counted per this many requests.
PER_REQUESTS = 10_000
KINDS = ("balanced", "one daemon", "moving", "holder dies")
POLICIES = ("loans", "even split", "accountant")


class Case(NamedTuple):
    """One workspace under one kind of traffic, with its rate enforced by one policy.

    `load` is how much it sends, as a multiple of its rate.
    """

    layout: str
    workspace: WorkspaceLayout
    kind: str
    policy: str
    load: float
    duration_ms: float
    seed: int


class Figures(NamedTuple):
    """The results of a case.

    `inside` counts the requests that a single token bucket would have admitted, and
    `wrongful` those of them that were refused.
    """

    requests: int
    inside: int
    wrongful: int
    spent: int
    calls: int
    excess: float


class Simulation(NamedTuple):
    """A simulated fleet; `spend` spends a token at a daemon under the policy."""

    fleet: Fleet
    spend: Callable[[str], bool]
    calls: list[str]


def make_simulation(case: Case, daemons: list[str]) -> Simulation:
    """Return a fleet that enforces the workspace's rate by the policy of the case."""
    spec = make_spec(case.workspace.rate, case.workspace.burst)
    fleet = Fleet(daemons, spec, case.seed)
    fleet.beat_all()
    calls: list[str] = []
    if case.policy == "accountant":
        return Simulation(fleet, make_accountant_spend(fleet, spec, calls), calls)
    if case.policy == "even split":
        return Simulation(fleet, make_even_split_spend(fleet, spec, daemons), calls)

    def count_call() -> Fate:
        calls.append("loan")
        return Fate(ONE_WAY_MS, ONE_WAY_MS)

    fleet.fates = count_call
    # No other requests are simulated while a loan is in transit: they have their own
    # arrival times.
    fleet.spend = lambda name, count: 0

    def spend(daemon: str) -> bool:
        return fleet.spend_one(daemon)

    return Simulation(fleet, spend, calls)


def make_even_split_spend(
    fleet: Fleet, spec: WorkspaceSpec, daemons: list[str]
) -> Callable:
    """Return a function that spends from each daemon's fixed equal share."""
    start_ms = fleet.clock.now_ms()
    share = Share(spec.rate / len(daemons), spec.burst / len(daemons))
    buckets = {name: Bucket(start_ms) for name in daemons}
    for bucket in buckets.values():
        bucket.set_share(share, start_ms)

    def spend(daemon: str) -> bool:
        is_spent = buckets[daemon].try_spend(fleet.clock.now_ms())
        if is_spent:
            fleet.spent_ms.append(fleet.clock.now_ms())
        return is_spent

    return spend


def make_accountant_spend(
    fleet: Fleet, spec: WorkspaceSpec, calls: list[str]
) -> Callable:
    """Return a function that spends from a bucket at a single accountant."""
    last_alive_ms: dict[str, float] = {}

    def find_alive() -> list[str]:
        now_ms = fleet.clock.now_ms()
        for name in fleet.members:
            if name not in fleet.frozen:
                last_alive_ms[name] = now_ms
        return [
            name
            for name, time_ms in last_alive_ms.items()
            if now_ms - time_ms <= SUSPECT_MS
        ]

    def call(daemon: str, holder: str) -> bool:
        calls.append(holder)
        is_answered = holder not in fleet.frozen
        fleet.pass_time(2 * ONE_WAY_MS if is_answered else CALL_TIMEOUT_MS)
        return is_answered

    accountant = Accountant(spec, fleet.clock.now_ms, find_alive, call)

    def spend(daemon: str) -> bool:
        result = accountant.spend(daemon)
        if result.is_ok():
            fleet.spent_ms.append(fleet.clock.now_ms())
        return result.is_ok()

    spend("vm-1")
    return spend


def pick_daemon(draw: Random, kind: str, daemons: list[str], due_ms: float) -> str:
    """Return the daemon to which a request is sent."""
    if kind in ("balanced", "holder dies"):
        return draw.choice(daemons)
    if kind == "moving":
        return daemons[int(due_ms // MOVE_MS) % len(daemons)]
    return daemons[0]


def run_case(case: Case) -> Figures:
    """Send the requests of a case and return the results."""
    daemons = name_daemons(LAYOUTS[case.layout])
    simulation = make_simulation(case, daemons)
    fleet, draw = simulation.fleet, Random(case.seed)
    fleet.pass_time(WARM_UP_MS)
    simulation.calls.clear()
    start_ms = fleet.clock.now_ms()
    limit = RateLimit(WORKSPACE, case.workspace.rate, case.workspace.burst)
    single_bucket = NaiveBucket([limit])
    gap_ms = 1000 / (case.workspace.rate * case.load)
    due_ms = draw.expovariate(1 / gap_ms)
    requests = inside = wrongful = spent = 0
    while due_ms < case.duration_ms:
        # Each request starts when it is due, however long the previous one waited.
        fleet.clock.time_ms = start_ms + due_ms
        alive = daemons
        if case.kind == "holder dies":
            alive = freeze_holder(fleet, case, due_ms, daemons)
        daemon = pick_daemon(draw, case.kind, alive, due_ms)
        requests += 1
        is_admitted = simulation.spend(daemon)
        spent += is_admitted
        single_bucket.advance(start_ms + due_ms)
        if single_bucket.take():
            inside += 1
            wrongful += not is_admitted
        due_ms += draw.expovariate(1 / gap_ms)
    fleet.record_limit()
    excess = fleet.find_excess()
    return Figures(requests, inside, wrongful, spent, len(simulation.calls), excess)


def freeze_holder(
    fleet: Fleet, case: Case, due_ms: float, daemons: list[str]
) -> list[str]:
    """Freeze a daemon in the middle of the run; return the daemons that are alive.

    It is the first holder of the workspace's rate, or its accountant. Callers are sent
    to the other daemons at once, as by a load balancer that sees it refuse connections.
    """
    spec = make_spec(case.workspace.rate, case.workspace.burst)
    dead = list_holders(spec, daemons)[0]
    if case.policy == "accountant":
        dead = find_accountant(spec, daemons)
    progress = due_ms / case.duration_ms
    if DEAD_FROM <= progress < DEAD_UNTIL:
        fleet.frozen.add(dead)
        return [name for name in daemons if name != dead]
    fleet.frozen.discard(dead)
    return daemons


def list_cases(load: float, duration_ms: float, seed: int) -> list[Case]:
    """Return a case for each workspace, kind of traffic and policy."""
    return [
        Case(name, workspace, kind, policy, load, duration_ms, seed)
        for name in ("vianda", "returns")
        for kind in KINDS
        for policy in POLICIES
        for workspace in LAYOUTS[name].workspaces
    ]


def summarise(cases: list[Case], results: list[Figures]) -> list[dict[str, Any]]:
    """Return one row for each deployment, kind and policy."""
    rows: dict[tuple, list[Figures]] = {}
    for case, figures in zip(cases, results, strict=True):
        rows.setdefault((case.layout, case.kind, case.policy), []).append(figures)
    return [
        {
            "layout": layout,
            "traffic": kind,
            "policy": policy,
            "requests": sum(figures.requests for figures in own),
            "inside": sum(figures.inside for figures in own),
            "wrongful": sum(figures.wrongful for figures in own),
            "wrongful_per_10000": round(
                PER_REQUESTS
                * sum(figures.wrongful for figures in own)
                / max(1, sum(figures.inside for figures in own)),
                2,
            ),
            "calls_per_request": round(
                sum(figures.calls for figures in own)
                / sum(figures.requests for figures in own),
                3,
            ),
            "worst_excess_tokens": round(max(figures.excess for figures in own), 6),
        }
        for (layout, kind, policy), own in rows.items()
    ]


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print the rows as a table."""
    table = Table()
    for title in rows[0]:
        table.add_column(title)
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console(width=140).print(table)


@click.command()
@click.option("--load", default=0.9, show_default=True, help="Multiple of the rate.")
@click.option("--seconds", type=click.FloatRange(1, 600), default=30)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", is_flag=True, help="Write the result to docs/measurements.")
def main(load: float, seconds: float, seed: int, keep: bool) -> None:
    """Measure wrongful refusals by loans, an even split, and an accountant."""
    cases = list_cases(load, seconds * 1000, seed)
    rows = summarise(cases, [run_case(case) for case in cases])
    print_rows(rows)
    if keep:
        result = {"load": load, "seconds": seconds, "seed": seed, "rows": rows}
        RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
        RESULT_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


if __name__ == "__main__":
    main()
