"""Measurements of watching groups, of finding the served ones, and of promotion."""

from bronzerelay import dialect
from bronzerelay.failover import Promoter
from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.logs import open_log
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.runtime import Address, Runtime
from bronzerelay.settings import DaemonSettings
from bronzerelay.types import Configuration, EndpointSpec
from lab.layouts import build_group_spec
from lab.measure import CountedRuntime, cpu_us_per_call, own_cpu_ms, resident_kb
from lab.members import OWN_NAME
from standins.endpoint import EndpointServer
from standins.messages import EndpointSettings

TASKS = 1000
SETTLE_MS = 1500
WATCH_MS = 3000
PROMOTIONS = 8
CONNECT_MS = 10
STATUS_WAIT_MS = DaemonSettings._field_defaults["status_wait_ms"]


def build_groups(runtime: Runtime) -> Groups:
    """Return the groups of a daemon that is the only one, and so serves all of them."""
    membership = Membership(runtime, MembershipSettings(OWN_NAME))
    settings = GroupSettings(OWN_NAME, 100, STATUS_WAIT_MS, 1000)
    metrics = Metrics(runtime)
    log = open_log("group")
    return Groups(runtime, settings, membership, dialect.open_link, metrics, log)


def build_configuration(count: int, addresses: list[Address]) -> Configuration:
    """Return a configuration of `count` groups on the same instances."""
    names = [f"group-{number:05}" for number in range(count)]
    specs = {name: build_group_spec(name, addresses) for name in names}
    return Configuration(1, "", specs, {})


def measure_watching(size: int, addresses: list[Address]) -> dict[str, float]:
    """Return the cost of watching `size` groups without callers.

    The groups share three instances, each a process of its own.
    """
    runtime = CountedRuntime(TASKS)
    before_kb = resident_kb()
    groups = build_groups(runtime)
    groups.set_configuration(build_configuration(size, addresses))
    runtime.start(groups.maintain)
    runtime.sleep_ms(SETTLE_MS)
    memory_kb = resident_kb() - before_kb
    started_cpu_ms, before = own_cpu_ms(), runtime.total_bytes()
    messages = runtime.counts["messages"]
    runtime.sleep_ms(WATCH_MS)
    watched_s = WATCH_MS / 1000
    figures = {
        "cpu_ms_per_s": (own_cpu_ms() - started_cpu_ms) / watched_s,
        "bytes_per_s": (runtime.total_bytes() - before) / watched_s,
        "messages_per_s": (runtime.counts["messages"] - messages) / watched_s,
        "memory_kb": memory_kb,
    }
    runtime.close(SETTLE_MS)
    return figures


def measure_tending(size: int) -> dict[str, float]:
    """Return the time to check once for `size` groups whether this daemon serves them.

    None of them is served here.
    """
    runtime = Runtime(task_limit=4, seed=1)
    groups = build_groups(runtime)
    names = [f"group-{number:05}" for number in range(size)]

    def rank_all() -> None:
        for name in names:
            groups.rank_daemons(name)

    rank_all()
    return {"us": cpu_us_per_call(rank_all)}


def measure_promotion(size: int) -> dict[str, float]:
    """Return the time to fence a group of `size` instances and promote one of them.

    Opening a connection takes 10 ms, as with a real database. The instances run in
    this process, so the processor time includes theirs.
    """
    runtime = Runtime(task_limit=TASKS, seed=1)
    servers = []
    role: dict = {"primary_term": 1}
    for number in range(1, size + 1):
        settings = EndpointSettings(
            f"orders-{number}", "orders", connect_ms=CONNECT_MS, lag_ms=0, **role
        )
        server = EndpointServer(runtime, settings)
        server.start()
        servers.append(server)
        role = {"follow": servers[0].address}
    addresses = [server.address for server in servers]
    spec = build_group_spec("orders", addresses)

    def open_connection(endpoint: EndpointSpec, kind: str, timeout_ms: float):
        return dialect.open_link(runtime, endpoint, OWN_NAME, kind, timeout_ms)

    promoter = Promoter(runtime, open_connection)
    started_ms, started_cpu_ms = runtime.clock.now_ms(), own_cpu_ms()
    for term in range(2, PROMOTIONS + 2):
        outcome = promoter.promote(spec, term, list(spec.endpoints))
        if not outcome.primary:
            raise ValueError(f"the promotion failed: {outcome.reason}")
    figures = {
        "ms": (runtime.clock.now_ms() - started_ms) / PROMOTIONS,
        "cpu_ms": (own_cpu_ms() - started_cpu_ms) / PROMOTIONS,
    }
    for server in servers:
        server.stop()
    runtime.close(SETTLE_MS)
    return figures
