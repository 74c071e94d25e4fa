"""Measurements on whole deployments, whose daemons are real processes."""

from typing import NamedTuple

from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from bronzerelay.types import Statement
from lab.measure import process_cpu_ms, resident_kb
from standins.caller import Caller, CallerSettings
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.exchange import LinkPool

GROUP = "orders"
WORKSPACE = WorkspaceLayout("caterer-1", rate=90_000, burst=90_000)
VM_LAG_MS = 100
CALLERS = 8
IDLE_MS = 2000
SETTLE_MS = 1500
READY_MS = 30_000
POLL_MS = 20
SLOTS = 60
CONNECTIONS = 130
GET: Statement = {"verb": "get", "row": "row-1"}
PUT: Statement = {"verb": "put", "row": "row-1", "value": "no nuts"}


class StatementCost(NamedTuple):
    """Processor time of statements at the daemon called, and at the serving daemon."""

    edge_ms: float
    serving_ms: float


def build_layout(daemons: int) -> Layout:
    """Return a deployment of one group with fast instances."""
    return Layout(
        groups=(GROUP,),
        workspaces=(WORKSPACE,),
        daemons=daemons,
        slots=SLOTS,
        connections=CONNECTIONS,
        service_ms=1,
        lag_ms=1,
        vm_lag_ms=VM_LAG_MS,
    )


def wait_until_in_force(cluster: Cluster, version: int) -> float:
    """Wait until all daemons have `version` in force; return how long that took."""
    clock = cluster.runtime.clock
    began_ms = clock.now_ms()
    pending = list(cluster.daemon_names)
    while pending:
        if clock.now_ms() - began_ms > READY_MS:
            raise TimeoutError(f"{pending} don't have version {version} in force")
        pending = [name for name in pending if not cluster.is_ready(name, version)]
        clock.sleep_ms(POLL_MS)
    return clock.now_ms() - began_ms


def read_cpu_ms(cluster: Cluster, name: str) -> float:
    """Return the processor time of a daemon so far."""
    return process_cpu_ms(cluster.pid(name))


def measure_idle_ms(cluster: Cluster, names: list[str]) -> dict[str, float]:
    """Return the processor time of idle daemons, in milliseconds per second."""
    before = {name: read_cpu_ms(cluster, name) for name in names}
    cluster.runtime.clock.sleep_ms(IDLE_MS)
    return {
        name: (read_cpu_ms(cluster, name) - before[name]) * 1000 / IDLE_MS
        for name in names
    }


def measure_fleet(size: int) -> dict[str, float]:
    """Return the cost of a daemon in a fleet of `size` daemons without callers.

    `platform_calls_per_s` counts the calls of the whole fleet.
    """
    runtime = Runtime(task_limit=64, seed=1)
    with Cluster(runtime, build_layout(size)) as cluster:
        wait_until_in_force(cluster, cluster.put_bundle())
        runtime.clock.sleep_ms(SETTLE_MS)
        before = cluster.platform.count_calls()
        idle = measure_idle_ms(cluster, cluster.daemon_names)
        after = cluster.platform.count_calls()
        resident = [resident_kb(cluster.pid(name)) for name in cluster.daemon_names]
        version_ms = wait_until_in_force(cluster, cluster.put_bundle())
    runtime.close(SETTLE_MS)
    kinds = ("reads", "writes", "watches")
    calls = sum(after[kind] - before[kind] for kind in kinds)
    return {
        "platform_calls_per_s": calls * 1000 / IDLE_MS,
        "cpu_ms_per_s": sum(idle.values()) / size,
        "memory_kb": sum(resident) / size,
        "version_ms": version_ms,
    }


class PathMeter:
    """Runs statements on a deployment and measures their cost at each daemon."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        ranked = rank(f"group/{GROUP}", cluster.daemon_names)
        self.serving, self.edge = ranked[0], ranked[1]
        self._idle = measure_idle_ms(cluster, ranked[:2])
        addresses = {name: cluster.addresses[name] for name in ranked[:2]}
        self._links = LinkPool(cluster.runtime, addresses)

    def measure(self, daemon: str, statement: Statement, count: int) -> StatementCost:
        """Return the cost of `count` statements that are sent to `daemon`."""
        clock = self._cluster.runtime.clock
        names = (self.edge, self.serving)
        before = [read_cpu_ms(self._cluster, name) for name in names]
        began_ms = clock.now_ms()
        self._run(daemon, statement, count)
        elapsed_s = (clock.now_ms() - began_ms) / 1000
        return StatementCost(
            *(
                read_cpu_ms(self._cluster, name) - start - elapsed_s * self._idle[name]
                for name, start in zip(names, before, strict=True)
            )
        )

    def _run(self, daemon: str, statement: Statement, count: int) -> None:
        runtime = self._cluster.runtime
        key = self._cluster.keys[WORKSPACE.name]
        settings = CallerSettings("lab", WORKSPACE.name, key)

        def work() -> None:
            caller = Caller(runtime, settings, self._links)
            for _ in range(count // CALLERS):
                entry = caller.run(GROUP, statement, daemon)
                if entry.code != 0:
                    raise ValueError(f"a statement was refused: {entry['code']}")

        for task in [runtime.start(work) for _ in range(CALLERS)]:
            task.result()


def measure_paths(sizes: list[int]) -> dict[int, dict[str, float]]:
    """Return the cost of statements, forwarded or not, for each number of them."""
    runtime = Runtime(task_limit=64, seed=1)
    figures: dict[int, dict[str, float]] = {}
    with Cluster(runtime, build_layout(3)) as cluster:
        wait_until_in_force(cluster, cluster.put_bundle())
        runtime.clock.sleep_ms(SETTLE_MS)
        meter = PathMeter(cluster)
        meter.measure(meter.edge, PUT, min(sizes))
        for size in sizes:
            local_read = meter.measure(meter.serving, GET, size)
            local_write = meter.measure(meter.serving, PUT, size)
            forwarded_read = meter.measure(meter.edge, GET, size)
            forwarded_write = meter.measure(meter.edge, PUT, size)
            figures[size] = {
                "local_read_ms": local_read.serving_ms,
                "local_write_ms": local_write.serving_ms,
                "forwarding_ms": forwarded_read.edge_ms,
                "forwarded_read_ms": forwarded_read.serving_ms,
                "forwarding_write_ms": forwarded_write.edge_ms,
                "forwarded_write_ms": forwarded_write.serving_ms,
            }
    runtime.close(SETTLE_MS)
    return figures
