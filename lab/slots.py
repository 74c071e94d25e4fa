"""Compares ways to share the few slots of an instance among nine daemons."""

import functools
import json
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click
from hdrh.histogram import HdrHistogram

from bronzerelay.dialect import open_link
from bronzerelay.pool import ConnectionPool
from bronzerelay.runtime import Runtime
from bronzerelay.slots import SlotQueue
from bronzerelay.types import EndpointSpec
from standins.cluster import DEMO, Cluster

OUTPUT = Path("docs/measurements/slots.json")
DAEMONS = 9
SLOTS = 3
CONNECTIONS = 20
SERVICE_MS = 10
DURATION_MS = 4000
DEADLINE_MS = 2000
TIMEOUT_MS = 1000
LOADS = (0.5, 0.8, 0.95)
BUSY_PAUSE_MS = (5.0, 15.0)
HIGHEST_US = 60_000_000
STATEMENT = {"verb": "get", "row": "tray"}

# Runs one read at a daemon, given by its number, until a deadline; returns whether it
# was served.
Send = Callable[[int, float], bool]


class Tally(NamedTuple):
    """The counts of a run, and the pools to close after it."""

    histogram: HdrHistogram
    refused: list[float]
    busy: list[float]
    pools: list[ConnectionPool]


def make_split_send(runtime: Runtime, spec: EndpointSpec, tally: Tally) -> Send:
    """Return a `Send` with which each daemon has its own share of the connections."""
    pools = [make_pool(runtime, spec, CONNECTIONS // DAEMONS) for _ in range(DAEMONS)]

    tally.pools.extend(pools)

    def send(daemon: int, deadline_ms: float) -> bool:
        while runtime.clock.now_ms() < deadline_ms:
            link = pools[daemon].lend(max(1.0, deadline_ms - runtime.clock.now_ms()))
            if not link.is_ok():
                return False
            result = link.ok.read("north", STATEMENT, TIMEOUT_MS)
            pools[daemon].give_back(link.ok)
            if result.is_ok():
                return True
            tally.busy.append(0.0)
            runtime.sleep_ms(runtime.random.uniform(*BUSY_PAUSE_MS))
        return False

    return send


def make_queued_send(runtime: Runtime, spec: EndpointSpec, tally: Tally) -> Send:
    """Return a `Send` with which one daemon queues the reads of all daemons."""
    pool = make_pool(runtime, spec, CONNECTIONS // 2)
    tally.pools.append(pool)
    slots = SlotQueue(runtime, 500)
    slots.set_endpoints({spec.name: SLOTS})

    def send(daemon: int, deadline_ms: float) -> bool:
        slot = slots.acquire(
            f"daemon-{daemon}", lambda free: free[0] if free else None, deadline_ms
        )
        if not slot.is_ok():
            return False
        link = pool.lend(TIMEOUT_MS)
        result = link.ok.read("north", STATEMENT, TIMEOUT_MS)
        pool.give_back(link.ok)
        slots.release(spec.name)
        if not result.is_ok():
            tally.busy.append(0.0)
        return result.is_ok()

    return send


def make_pool(runtime: Runtime, spec: EndpointSpec, limit: int) -> ConnectionPool:
    """Return a pool of `limit` connections to the instance."""
    opener = functools.partial(open_link, runtime, spec, "lab", "work")
    return ConnectionPool(runtime, spec, opener, limit)


WAYS = {"each daemon a part": make_split_send, "one serving daemon": make_queued_send}


def run_load(runtime: Runtime, way: str, spec: EndpointSpec, load: float) -> dict:
    """Return the latencies at a load that is a fraction of what the slots can serve."""
    tally = Tally(HdrHistogram(1, HIGHEST_US, 3), [], [], [])
    send = WAYS[way](runtime, spec, tally)
    rate = load * SLOTS * 1000 / (SERVICE_MS + 1)
    started_ms = due_ms = runtime.clock.now_ms() + 50
    tasks = []

    def run_read(daemon: int, due_ms: float) -> None:
        if not send(daemon, due_ms + DEADLINE_MS):
            tally.refused.append(due_ms)
        latency_us = int((runtime.clock.now_ms() - due_ms) * 1000)
        tally.histogram.record_value(max(1, latency_us))

    while due_ms < started_ms + DURATION_MS:
        due_ms += runtime.random.expovariate(rate) * 1000
        runtime.sleep_ms(due_ms - runtime.clock.now_ms())
        daemon = runtime.random.randrange(DAEMONS)
        tasks.append(runtime.start(run_read, daemon, due_ms))
    for task in tasks:
        task.result()
    for pool in tally.pools:
        pool.close()
    return {
        "way": way,
        "load": load,
        "requests": len(tasks),
        "refused": len(tally.refused),
        "busy_answers": len(tally.busy),
        "p50_ms": round(tally.histogram.get_value_at_percentile(50) / 1000, 1),
        "p99_ms": round(tally.histogram.get_value_at_percentile(99) / 1000, 1),
    }


@click.command()
@click.option("--output", default=str(OUTPUT), show_default=True)
def main(output: str) -> None:
    """Compare the ways at several loads."""
    results = []
    runtime = Runtime(1000, seed=1)
    layout = DEMO._replace(
        groups=("orders",),
        daemons=1,
        slots=SLOTS,
        connections=CONNECTIONS,
        service_ms=SERVICE_MS,
    )
    with Cluster(runtime, layout) as cluster:
        address = cluster.addresses["orders-1"]
        spec = EndpointSpec("orders-1", address, "a", SLOTS, CONNECTIONS, False)
        for load in LOADS:
            for way in WAYS:
                results.append(run_load(runtime, way, spec, load))
                click.echo(json.dumps(results[-1]))
                runtime.sleep_ms(500)
    runtime.close(2000)
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    Path(output).write_text(json.dumps({"lines": results}, indent=2) + "\n")


if __name__ == "__main__":
    main()
