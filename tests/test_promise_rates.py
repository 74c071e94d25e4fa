"""The promise that no workspace exceeds its rate and burst, with real processes."""

import pytest

from bronzerelay.buckets import LOAN_LIFE_MS
from bronzerelay.codes import RAN, Code
from bronzerelay.runtime import Runtime
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.load import Load, LoadSettings
from standins.rates import RateLimit, check_rates, find_wrongful_refusals

# There are enough slots that requests are refused only because of rates.
LAYOUT = Layout(
    groups=("orders",),
    workspaces=(
        WorkspaceLayout("flooding", rate=30, burst=15),
        WorkspaceLayout("steady", rate=60, burst=60),
        WorkspaceLayout("moving", rate=60, burst=60),
        WorkspaceLayout("failing", rate=30, burst=15),
        WorkspaceLayout("changing", rate=60, burst=30),
    ),
    daemons=5,
    slots=10,
    service_ms=1,
    vm_lag_ms=100,
)
FLOOD_RATE = 150
DURATION_MS = 2500


@pytest.fixture(scope="module")
def cluster():
    runtime = Runtime(task_limit=600)
    with Cluster(runtime, LAYOUT) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        # Buckets start empty, and the tests need them full.
        runtime.clock.sleep_ms(1500)
        yield cluster
    runtime.close(1000)


def list_limits(name):
    workspace = next(layout for layout in LAYOUT.workspaces if layout.name == name)
    return [RateLimit(workspace.name, workspace.rate, workspace.burst)]


def start_load(cluster, rates, spread="random", duration_ms=DURATION_MS):
    settings = LoadSettings(
        rates=rates,
        groups=LAYOUT.groups,
        seed=7,
        duration_ms=duration_ms,
        spread=spread,
        move_ms=400,
        arrivals="even",
        workers=60,
        resends=0,
        timeout_ms=4000,
    )
    daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
    load = Load(cluster.runtime, settings, daemons, cluster.keys)
    load.start()
    return load


def count_ran(record):
    return sum(entry.ran == RAN for entry in record)


def test_five_times_its_rate_gets_the_rate_and_no_more(cluster):
    """A workspace sends five times its rate through all daemons. If each daemon allowed
    the whole rate, the workspace would crowd out the others.
    """
    record = start_load(cluster, {"flooding": FLOOD_RATE}).wait()
    assert not check_rates(record, list_limits("flooding"), cluster.collect_evidence())
    due = 15 + 30 * DURATION_MS / 1000
    assert 0.8 * due <= count_ran(record) <= due + 1
    codes = {entry.code for entry in record} - {Code.OK}
    assert codes == {Code.RATE_EXCEEDED}


def test_callers_inside_their_rate_are_not_refused_beside_a_flood(cluster):
    """One workspace sends five times its rate. Of the others, one has all its callers
    at one daemon, which holds a fraction of the rate, and one moves from daemon to
    daemon.
    """
    flood = start_load(cluster, {"flooding": FLOOD_RATE})
    loads = [
        start_load(cluster, {"steady": 57}, "one"),
        start_load(cluster, {"moving": 57}, "moving"),
    ]
    records = [load.wait() for load in loads]
    record = flood.wait()
    assert not check_rates(record, list_limits("flooding"), cluster.collect_evidence())
    for name, record in zip(("steady", "moving"), records, strict=True):
        assert find_wrongful_refusals(record, list_limits(name)) == []
        assert count_ran(record) == len(record)


def test_a_lowered_rate_holds_once_it_is_in_force(cluster):
    """An operator lowers the rate of a workspace under heavy load. Tokens that were
    lent before may be spent until the loans expire; after that only the new rate
    counts.
    """
    load = start_load(cluster, {"changing": 300}, duration_ms=3500)
    cluster.runtime.clock.sleep_ms(800)
    bundle = cluster.build_bundle()
    for entry in bundle["workspaces"]:
        if entry["name"] == "changing":
            entry["rate"], entry["burst"] = 20.0, 10.0
    cluster.wait_ready(cluster.put_bundle(bundle))
    lowered_ms = cluster.runtime.clock.now_ms() + LOAN_LIFE_MS
    record = load.wait()
    limits = [*list_limits("changing"), RateLimit("changing", 20, 10, lowered_ms)]
    assert not check_rates(record, limits, cluster.collect_evidence())
    after = [request for request in record if request.sent_ms > lowered_ms]
    span_ms = max(request.sent_ms for request in after) - lowered_ms
    assert 0 < count_ran(after) <= 10 + 20 * span_ms / 1000 + 1


def test_the_rate_holds_while_daemons_die_freeze_and_the_platform_is_out(cluster):
    """During a flood one daemon is killed and restarted, one is frozen for longer than
    loans last, and the platform doesn't answer. A daemon that came back with a full
    bucket, or spent expired loans, would exceed the rate.
    """
    load = start_load(cluster, {"failing": FLOOD_RATE}, duration_ms=5000)
    clock = cluster.runtime.clock
    clock.sleep_ms(500)
    cluster.kill("vm-2")
    cluster.freeze("vm-3")
    clock.sleep_ms(6 * LOAN_LIFE_MS)
    cluster.thaw("vm-3")
    cluster.start("vm-2")
    cluster.set_platform_fault("down")
    clock.sleep_ms(1000)
    cluster.freeze("vm-4")
    clock.sleep_ms(4 * LOAN_LIFE_MS)
    cluster.thaw("vm-4")
    record = load.wait()
    cluster.set_platform_fault("up")
    assert not check_rates(record, list_limits("failing"), cluster.collect_evidence())
    assert count_ran(record) >= 0.4 * 30 * 5
