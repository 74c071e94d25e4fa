"""Measures the cost of heartbeats for a daemon in fleets of growing size.

It runs real senders and receivers on a simulated clock, with callers of a few
workspaces, and counts bytes and processor time. Run it with `python -m lab.heartbeats`.
"""

import resource
import sys

import click
from rich.console import Console
from rich.table import Table

from lab.mutations import ROOT

# The test builders import modules from the adapter's folder, which isn't a package.
sys.path.append(str(ROOT / "platform"))

from tests.builders_heartbeats import HeartbeatFleet  # noqa: E402
from tests.builders_pooler import make_workspace  # noqa: E402

WARM_UP_MS = 3_000
MEASURED_MS = 3_000
# Operations a second that callers send to each daemon.
OPERATIONS_PER_S = 8


def count_cpu_ms() -> float:
    """Return the processor time of this process so far, in milliseconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1000


def make_fleet(daemons: int, domains: int, workspaces: int) -> HeartbeatFleet:
    """Return a fleet whose daemons all know the same workspaces."""
    fleet = HeartbeatFleet(daemons, domains)
    specs = [make_workspace(f"w{number}", 50, 50) for number in range(workspaces)]
    for daemon in fleet.daemons.values():
        daemon.rates.set_workspaces(specs)
    return fleet


def run_callers(fleet: HeartbeatFleet, duration_ms: float, workspaces: int) -> None:
    """Advance the clock while callers send operations to random daemons."""
    names = list(fleet.daemons)
    due = 0.0

    def send_due() -> None:
        nonlocal due
        due += len(names) * OPERATIONS_PER_S / 100
        while due >= 1:
            due -= 1
            workspace = f"w{fleet.chance.randrange(workspaces)}"
            fleet.daemons[fleet.chance.choice(names)].rates.spend(workspace)

    fleet.run(duration_ms, send_due)


def measure(daemons: int, domains: int, workspaces: int) -> list[str]:
    """Return a row of the table."""
    fleet = make_fleet(daemons, domains, workspaces)
    run_callers(fleet, WARM_UP_MS, workspaces)
    relays = {daemon.name for daemon in fleet.list_relays()}
    before = {name: daemon.gossip.bytes_sent for name, daemon in fleet.daemons.items()}
    across_domains = fleet.network.count_between_domains()
    cpu_ms = count_cpu_ms()
    run_callers(fleet, MEASURED_MS, workspaces)
    cpu_ms = count_cpu_ms() - cpu_ms
    across_domains = fleet.network.count_between_domains() - across_domains
    seconds = MEASURED_MS / 1000
    sent = {
        name: (daemon.gossip.bytes_sent - before[name]) / seconds
        for name, daemon in fleet.daemons.items()
    }
    others = [rate for name, rate in sent.items() if name not in relays]
    relaying = [rate for name, rate in sent.items() if name in relays]
    return [
        str(daemons),
        f"{sum(others) / max(1, len(others)):,.0f}",
        f"{sum(relaying) / max(1, len(relaying)):,.0f}",
        f"{across_domains / seconds / daemons:,.0f}",
        f"{cpu_ms / seconds / daemons:.2f}",
    ]


@click.command()
@click.option("--sizes", default="8,30,81,300", show_default=True)
@click.option("--domains", default=3, show_default=True)
@click.option("--workspaces", default=83, show_default=True)
def main(sizes: str, domains: int, workspaces: int) -> None:
    """Print bytes and processor time of heartbeats for fleets of several sizes."""
    table = Table(
        "daemons",
        "sent by a daemon, B/s",
        "by a relay, B/s",
        "between domains, B/s a daemon",
        "processor, ms/s a daemon",
    )
    for size in sizes.split(","):
        table.add_row(*measure(int(size), domains, workspaces))
    Console(width=120).print(table)


if __name__ == "__main__":
    main()
