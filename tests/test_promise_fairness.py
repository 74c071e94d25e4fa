"""The promise that each workspace gets its fair share of the endpoints' slots."""

from statistics import median

import pytest

from bronzerelay.codes import RAN, UNKNOWN
from bronzerelay.runtime import Runtime
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.load import Load, LoadSettings
from standins.summary import summarise

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
    return load.wait()


def list_served(record, names):
    """Return the part of each workspace's requests that ran."""
    shares = []
    for name in names:
        own = [entry for entry in record if entry.workspace == name]
        shares.append(sum(entry.ran == RAN for entry in own) / len(own))
    return shares


def test_a_flood_inside_its_own_rate_takes_no_slots_from_the_others(cluster):
    """One caterer's import sends two and a half times what the primary's slots can
    take, and its rate allows it. Served in the order of arrival, the other caterers
    would wait behind its whole queue and be turned away with it.
    """
    rates = dict.fromkeys(SMALL, SMALL_RATE) | {FLOODING: FLOOD_RATE}
    record = run_load(cluster, rates, deadline_ms=1000)
    shares = list_served(record, SMALL)
    assert min(shares) >= 0.95 * median(shares)
    assert min(shares) >= 0.95
    p99_ms = [
        summarise([entry for entry in record if entry.workspace == name]).p99_ms
        for name in SMALL
    ]
    assert max(p99_ms) <= 3 * median(p99_ms)
    flood = [entry for entry in record if entry.workspace == FLOODING]
    assert sum(entry.ran == RAN for entry in flood) < 0.7 * len(flood)
    # What the others leave isn't wasted.
    assert sum(entry.ran == RAN for entry in record) >= 0.7 * SLOTS_RATE * 4


def test_equal_floods_get_equal_shares_of_the_slots(cluster):
    """Four caterers together send twice what the slots can take, all alike. Writes that
    got their slot at the last moment were once broken off while they ran: their callers
    were told "unknown", and the slots' time was lost to all.
    """
    rates = dict.fromkeys(SMALL, 50)
    record = run_load(cluster, rates, deadline_ms=400)
    shares = list_served(record, SMALL)
    assert max(shares) < 0.9
    assert min(shares) >= 0.95 * median(shares)
    assert sum(entry.ran == RAN for entry in record) >= 0.7 * SLOTS_RATE * 4
    unknown = [entry for entry in record if entry.ran == UNKNOWN]
    assert len(unknown) <= 0.02 * len(record)
