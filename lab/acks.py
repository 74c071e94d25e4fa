"""Measures the cost of waiting for a majority's acknowledgement, at several lags."""

import json
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from bronzerelay import dialect, logs
from bronzerelay.group import GroupServer
from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.runtime import Runtime
from bronzerelay.types import Configuration, EndpointSpec, GroupSpec
from bronzerelay.work import Work
from standins.endpoint import EndpointServer
from standins.messages import EndpointSettings

OUTPUT = Path("docs/measurements/acks.json")
LAGS_MS = (0, 5, 50, 500)
WRITES = 40
WRITERS = 3
DEADLINE_MS = 5000
# The highest latency that the histogram can record.
HIGHEST_US = 60_000_000


def start_group(runtime: Runtime, lag_ms: int) -> list[EndpointServer]:
    """Start three instances, the first as primary."""
    servers = []
    role: dict = {"primary_term": 1}
    for number in (1, 2, 3):
        settings = EndpointSettings(
            f"orders-{number}", "orders", lag_ms=lag_ms, service_ms=1, **role
        )
        server = EndpointServer(runtime, settings)
        server.start()
        servers.append(server)
        role = {"follow": servers[0].address}
    return servers


def serve_group(runtime: Runtime, servers: list[EndpointServer]) -> GroupServer:
    """Return the server of the group once it has found the primary."""
    endpoints = tuple(
        EndpointSpec(f"orders-{number}", server.address, "a", 3, 20, False)
        for number, server in enumerate(servers, start=1)
    )
    groups = Groups(
        runtime,
        GroupSettings("vm-1", 200, 150, 1000),
        Membership(runtime, MembershipSettings("vm-1")),
        dialect.open_link,
        Metrics(runtime),
        logs.open_log("group"),
    )
    spec = GroupSpec("orders", endpoints, 10_000)
    groups.set_configuration(Configuration(1, "", {"orders": spec}, {}))
    server = groups.find("orders")
    server.components.watch.wait_primary(DEADLINE_MS)
    return server


def time_writes(runtime: Runtime, server: GroupServer, histogram: HdrHistogram) -> int:
    """Run writes one after the other; return how many were acknowledged."""
    acknowledged = 0
    for _ in range(WRITES):
        started_ms = runtime.clock.now_ms()
        request_id = runtime.random.randbytes(8).hex()
        statement = {"verb": "add", "row": request_id[:1], "amount": 1}
        request = {"group": "orders", "statement": statement}
        deadline_ms = started_ms + DEADLINE_MS
        result = server.write(Work(request_id, "north", request, {}, deadline_ms))
        acknowledged += result.is_ok()
        histogram.record_value(int((runtime.clock.now_ms() - started_ms) * 1000))
    return acknowledged


def measure(lag_ms: int, with_majority: bool) -> dict:
    """Return the latencies of writes at one lag."""
    runtime = Runtime(100, seed=1)
    servers = start_group(runtime, lag_ms)
    server = serve_group(runtime, servers)
    if not with_majority:
        server.components.watch.wait_majority = lambda need, timeout_ms: True
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    tasks = [
        runtime.start(time_writes, runtime, server, histogram) for _ in range(WRITERS)
    ]
    acknowledged = sum(task.result() for task in tasks)
    for endpoint in servers:
        endpoint.stop()
    runtime.close(2000)
    return {
        "lag_ms": lag_ms,
        "acknowledged_by": "majority" if with_majority else "primary alone",
        "writes": WRITES * WRITERS,
        "acknowledged": acknowledged,
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 1),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 1),
    }


@click.command()
@click.option("--output", default=str(OUTPUT), show_default=True)
def main(output: str) -> None:
    """Measure the latency of writes with and without a majority's acknowledgement."""
    results = []
    for lag_ms in LAGS_MS:
        for with_majority in (True, False):
            results.append(measure(lag_ms, with_majority))
            click.echo(json.dumps(results[-1]))
    Path(output).parent.mkdir(parents=True, exist_ok=True)
    Path(output).write_text(json.dumps({"lines": results}, indent=2) + "\n")


if __name__ == "__main__":
    main()
