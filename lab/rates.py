"""Measures wrongful refusals and calls of three ways to keep a workspace's rate.

Arrivals are those of an open loop, and time is a clock of its own, so that one seed
gives one result. Run it with `python -m lab.rates`.
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
# A call between daemons about 1 ms apart.
WAY_MS = 0.5
WARM_UP_MS = 2000
MOVE_MS = 1000
DEAD_FROM_PART = 0.4
DEAD_TO_PART = 0.6
# How long the others go on asking a dead daemon before they take it for dead.
SUSPECT_MS = 700
PER = 10_000
KINDS = ("balanced", "one daemon", "moving", "holder dies")
POLICIES = ("loans", "even split", "accountant")


class Case(NamedTuple):
    """One workspace under one kind of traffic, kept in one way.

    `load` is what it sends, as a multiple of its rate.
    """

    layout: str
    workspace: WorkspaceLayout
    kind: str
    policy: str
    load: float
    duration_ms: float
    seed: int


class Figures(NamedTuple):
    """What came of a case; wrongful refusals are those that one bucket admits."""

    requests: int
    inside: int
    wrongful: int
    spent: int
    calls: int
    excess: float


class Setting(NamedTuple):
    """A fleet with the way to spend a token at one of its daemons."""

    fleet: Fleet
    spend: Callable[[str], bool]
    calls: list[str]


def open_setting(case: Case, daemons: list[str]) -> Setting:
    """Return a fleet whose buckets are full, and the way to spend that is measured."""
    spec = make_spec(case.workspace.rate, case.workspace.burst)
    fleet = Fleet(daemons, spec, case.seed)
    fleet.beat_all()
    calls: list[str] = []
    if case.policy == "accountant":
        return Setting(fleet, open_accountant(fleet, spec, calls), calls)
    if case.policy == "even split":
        return Setting(fleet, open_even_split(fleet, spec, daemons), calls)

    def count_call() -> Fate:
        calls.append("loan")
        return Fate(WAY_MS, WAY_MS)

    fleet.fates = count_call
    # A loan on its way takes no part in what others do: they have their own turns.
    fleet.spend = lambda name, count: 0

    def spend(daemon: str) -> bool:
        return fleet.spend_one(daemon)

    return Setting(fleet, spend, calls)


def open_even_split(fleet: Fleet, spec: WorkspaceSpec, daemons: list[str]) -> Callable:
    """Return the way to spend when each daemon has its part and nothing else."""
    start_ms = fleet.clock.now_ms()
    holding = Share(spec.rate / len(daemons), spec.burst / len(daemons))
    buckets = {name: Bucket(start_ms) for name in daemons}
    for bucket in buckets.values():
        bucket.set_share(holding, start_ms)

    def spend(daemon: str) -> bool:
        taken = buckets[daemon].try_spend(fleet.clock.now_ms())
        if taken:
            fleet.spent_ms.append(fleet.clock.now_ms())
        return taken

    return spend


def open_accountant(fleet: Fleet, spec: WorkspaceSpec, calls: list[str]) -> Callable:
    """Return the way to spend by a single accountant."""
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
        answers = holder not in fleet.frozen
        fleet.pass_time(2 * WAY_MS if answers else CALL_TIMEOUT_MS)
        return answers

    accountant = Accountant(spec, fleet.clock.now_ms, find_alive, call)

    def spend(daemon: str) -> bool:
        ended = accountant.spend(daemon)
        if ended.is_ok():
            fleet.spent_ms.append(fleet.clock.now_ms())
        return ended.is_ok()

    spend("vm-1")
    return spend


def pick_daemon(draw: Random, kind: str, daemons: list[str], due_ms: float) -> str:
    """Return the daemon that a request goes to."""
    if kind in ("balanced", "holder dies"):
        return draw.choice(daemons)
    if kind == "moving":
        return daemons[int(due_ms // MOVE_MS) % len(daemons)]
    return daemons[0]


def run_case(case: Case) -> Figures:
    """Send the requests of a case and return what came of them."""
    daemons = name_daemons(LAYOUTS[case.layout])
    setting = open_setting(case, daemons)
    fleet, draw = setting.fleet, Random(case.seed)
    fleet.pass_time(WARM_UP_MS)
    setting.calls.clear()
    start_ms = fleet.clock.now_ms()
    limit = RateLimit(WORKSPACE, case.workspace.rate, case.workspace.burst)
    naive = NaiveBucket([limit])
    gap_ms = 1000 / (case.workspace.rate * case.load)
    due_ms = draw.expovariate(1 / gap_ms)
    requests = inside = wrongful = spent = 0
    while due_ms < case.duration_ms:
        # Each request begins when it is due, whatever the one before it waited for.
        fleet.clock.time_ms = start_ms + due_ms
        living = daemons
        if case.kind == "holder dies":
            living = kill_for_a_while(fleet, case, due_ms, daemons)
        daemon = pick_daemon(draw, case.kind, living, due_ms)
        requests += 1
        got_in = setting.spend(daemon)
        spent += got_in
        naive.advance(start_ms + due_ms)
        if naive.take():
            inside += 1
            wrongful += not got_in
        due_ms += draw.expovariate(1 / gap_ms)
    fleet.record_limit()
    excess = fleet.find_excess()
    return Figures(requests, inside, wrongful, spent, len(setting.calls), excess)


def kill_for_a_while(
    fleet: Fleet, case: Case, due_ms: float, daemons: list[str]
) -> list[str]:
    """Keep a daemon down for the middle of the run; return those that live.

    It is the one that the policy needs most. Callers are sent to the others at once,
    as by a balancer that sees it refuse.
    """
    spec = make_spec(case.workspace.rate, case.workspace.burst)
    dead = list_holders(spec, daemons)[0]
    if case.policy == "accountant":
        dead = find_accountant(spec, daemons)
    part = due_ms / case.duration_ms
    if DEAD_FROM_PART <= part < DEAD_TO_PART:
        fleet.frozen.add(dead)
        return [name for name in daemons if name != dead]
    fleet.frozen.discard(dead)
    return daemons


def list_cases(load: float, duration_ms: float, seed: int) -> list[Case]:
    """Return each workspace of today's sizes under each kind, kept in each way."""
    return [
        Case(name, workspace, kind, policy, load, duration_ms, seed)
        for name in ("vianda", "returns")
        for kind in KINDS
        for policy in POLICIES
        for workspace in LAYOUTS[name].workspaces
    ]


def sum_up(cases: list[Case], found: list[Figures]) -> list[dict[str, Any]]:
    """Return one row for each deployment, kind and policy."""
    rows: dict[tuple, list[Figures]] = {}
    for case, figures in zip(cases, found, strict=True):
        rows.setdefault((case.layout, case.kind, case.policy), []).append(figures)
    return [
        {
            "layout": layout,
            "traffic": kind,
            "policy": policy,
            "requests": sum(one.requests for one in own),
            "inside": sum(one.inside for one in own),
            "wrongful": sum(one.wrongful for one in own),
            "wrongful_per_10000": round(
                PER
                * sum(one.wrongful for one in own)
                / max(1, sum(one.inside for one in own)),
                2,
            ),
            "calls_per_request": round(
                sum(one.calls for one in own) / sum(one.requests for one in own), 3
            ),
            "worst_excess_tokens": round(max(one.excess for one in own), 6),
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
    rows = sum_up(cases, [run_case(case) for case in cases])
    print_rows(rows)
    if keep:
        result = {"load": load, "seconds": seconds, "seed": seed, "rows": rows}
        RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
        RESULT_PATH.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


if __name__ == "__main__":
    main()
