"""The promise that each workspace gets its fair share of the endpoints' slots."""

from statistics import median

import pytest

from bronzerelay.codes import RAN, UNKNOWN
from bronzerelay.runtime import Runtime
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.load import Load, LoadSettings
from standins.summary import print_refused, summarise

SMALL = ("caterer-1", "caterer-2", "caterer-3", "caterer-4")
FLOODING = "caterer-5"
# Writes go to the primary: two slots of 20 ms give about 100 requests a second.
LAYOUT = Layout(
    groups=("orders",),
    workspaces=(
        *(WorkspaceLayout(name, rate=100, burst=100) for name in SMALL),
        WorkspaceLayout(FLOODING, rate=500, burst=500),
    ),
    daemons=3,
    slots=2,
    service_ms=20,
    vm_lag_ms=100,
)
FLOOD_RATE = 250
SMALL_RATE = 12
DURATION_MS = 4000
SLOTS_RATE = 100
# Longer than the silence after which a daemon counts as dead.
PAUSE_MS = 1300


@pytest.fixture(scope="module")
def cluster():
    runtime = Runtime(task_limit=900)
    with Cluster(runtime, LAYOUT) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        runtime.clock.sleep_ms(1500)
        yield cluster
    runtime.close(1000)


def run_load(cluster, rates, deadline_ms):
    settings = LoadSettings(
        rates=rates,
        groups=LAYOUT.groups,
        seed=5,
        duration_ms=DURATION_MS,
        write_share=1.0,
        arrivals="even",
        workers=500,
        resends=0,
        deadline_ms=deadline_ms,
        timeout_ms=8000,
    )
    daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
    load = Load(cluster.runtime, settings, daemons, cluster.keys)
    load.start()
    record = load.wait()
    print_account(cluster, record)
    return record


def print_account(cluster, record):
    """Print what tells why a request was refused; pytest shows it if the test fails."""
    print_refused(entry for entry in record if entry.workspace != FLOODING)
    for name in cluster.daemon_names:
        for line in cluster.read_log(name).splitlines():
            if FLOODING not in line:
                print(name, line)


def list_served_fractions(record, names):
    """Return the fraction of each workspace's requests that ran."""
    fractions = []
    for name in names:
        own = [entry for entry in record if entry.workspace == name]
        fractions.append(sum(entry.ran == RAN for entry in own) / len(own))
    return fractions


def test_a_flood_inside_its_own_rate_takes_no_slots_from_the_others(cluster):
    """One workspace sends 2.5 times the load that the primary's slots can serve, and
    its rate allows that. If requests were served in the order of arrival, the other
    workspaces would wait behind its whole queue and be refused too.
    """
    rates = dict.fromkeys(SMALL, SMALL_RATE) | {FLOODING: FLOOD_RATE}
    record = run_load(cluster, rates, deadline_ms=1000)
    fractions = list_served_fractions(record, SMALL)
    assert min(fractions) >= 0.95 * median(fractions)
    assert min(fractions) >= 0.95
    p99_ms = [
        summarise([entry for entry in record if entry.workspace == name]).p99_ms
        for name in SMALL
    ]
    assert max(p99_ms) <= 3 * median(p99_ms)
    flood = [entry for entry in record if entry.workspace == FLOODING]
    assert sum(entry.ran == RAN for entry in flood) < 0.7 * len(flood)
    # The slots that the others don't use go to the flood.
    assert sum(entry.ran == RAN for entry in record) >= 0.7 * SLOTS_RATE * 4


def test_equal_floods_get_equal_shares_of_the_slots(cluster):
    """Four workspaces send the same load, together twice what the slots can serve.
    Writes that get their slot just before their deadline must not be broken off while
    they run: the outcome would be unknown, and the slots' time wasted.
    """
    rates = dict.fromkeys(SMALL, 50)
    record = run_load(cluster, rates, deadline_ms=400)
    fractions = list_served_fractions(record, SMALL)
    assert max(fractions) < 0.9
    assert min(fractions) >= 0.95 * median(fractions)
    assert sum(entry.ran == RAN for entry in record) >= 0.7 * SLOTS_RATE * 4
    unknown = [entry for entry in record if entry.ran == UNKNOWN]
    assert len(unknown) <= 0.02 * len(record)


def find_serving_daemons(cluster):
    """Return the daemons that report that they serve the group."""
    group = LAYOUT.groups[0]
    return [
        name
        for name in cluster.daemon_names
        if group in cluster.fetch_status(name)["groups"]
    ]


def test_a_paused_daemon_leaves_its_group_to_the_one_that_took_it(cluster):
    """Guards against two daemons that grant the same slots after a pause of one."""
    cluster.wait_until(
        lambda: len(find_serving_daemons(cluster)) == 1, "one daemon to serve the group"
    )
    (paused,) = find_serving_daemons(cluster)
    cluster.freeze(paused)
    cluster.runtime.clock.sleep_ms(PAUSE_MS)
    cluster.thaw(paused)
    seen = [find_serving_daemons(cluster) for _ in range(50)]
    assert paused not in seen[-1]
    assert seen == 50 * [seen[-1]]
