"""Measurements on whole deployments of real daemons, as processes."""

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


class Spent(NamedTuple):
    """Processor time of some statements: at the daemon asked, and at the serving."""

    edge_ms: float
    serving_ms: float


def build_layout(daemons: int) -> Layout:
    """Return a deployment of one group, whose instances are quick."""
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
    """Wait until all daemons are ready with `version`; return the milliseconds."""
    clock = cluster.runtime.clock
    began_ms = clock.now_ms()
    waiting = list(cluster.daemon_names)
    while waiting:
        if clock.now_ms() - began_ms > READY_MS:
            raise TimeoutError(f"{waiting} didn't get version {version}")
        waiting = [name for name in waiting if not cluster.is_ready(name, version)]
        clock.sleep_ms(POLL_MS)
    return clock.now_ms() - began_ms


def read_cpu_ms(cluster: Cluster, name: str) -> float:
    """Return the processor time of a daemon so far."""
    return process_cpu_ms(cluster.pid(name))


def measure_idle_ms(cluster: Cluster, names: list[str]) -> dict[str, float]:
    """Return the processor time of idle daemons, in milliseconds a second."""
    before = {name: read_cpu_ms(cluster, name) for name in names}
    cluster.runtime.clock.sleep_ms(IDLE_MS)
    return {
        name: (read_cpu_ms(cluster, name) - before[name]) * 1000 / IDLE_MS
        for name in names
    }


def measure_fleet(size: int) -> dict[str, float]:
    """Return what `size` daemons spend with no callers, each and at the platform."""
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
    """Runs statements on a deployment and splits what they cost between daemons."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster
        ranked = rank(f"group/{GROUP}", cluster.daemon_names)
        self.serving, self.edge = ranked[0], ranked[1]
        self._idle = measure_idle_ms(cluster, ranked[:2])
        addresses = {name: cluster.addresses[name] for name in ranked[:2]}
        self._links = LinkPool(cluster.runtime, addresses)

    def spend(self, daemon: str, statement: Statement, count: int) -> Spent:
        """Return what `count` statements cost that are sent to `daemon`."""
        clock = self._cluster.runtime.clock
        names = (self.edge, self.serving)
        before = [read_cpu_ms(self._cluster, name) for name in names]
        began_ms = clock.now_ms()
        self._run(daemon, statement, count)
        took_s = (clock.now_ms() - began_ms) / 1000
        return Spent(
            *(
                read_cpu_ms(self._cluster, name) - start - took_s * self._idle[name]
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
    """Return for each number of statements what they cost on each way."""
    runtime = Runtime(task_limit=64, seed=1)
    found: dict[int, dict[str, float]] = {}
    with Cluster(runtime, build_layout(3)) as cluster:
        wait_until_in_force(cluster, cluster.put_bundle())
        runtime.clock.sleep_ms(SETTLE_MS)
        meter = PathMeter(cluster)
        meter.spend(meter.edge, PUT, min(sizes))
        for size in sizes:
            here = meter.spend(meter.serving, GET, size)
            here_write = meter.spend(meter.serving, PUT, size)
            far = meter.spend(meter.edge, GET, size)
            far_write = meter.spend(meter.edge, PUT, size)
            found[size] = {
                "local_read_ms": here.serving_ms,
                "local_write_ms": here_write.serving_ms,
                "forwarding_ms": far.edge_ms,
                "forwarded_read_ms": far.serving_ms,
                "forwarding_write_ms": far_write.edge_ms,
                "forwarded_write_ms": far_write.serving_ms,
            }
    runtime.close(SETTLE_MS)
    return found
