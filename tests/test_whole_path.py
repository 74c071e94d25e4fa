"""Tests of the whole path: real processes under load, judged by the checks."""

import pytest

from bronzerelay.codes import RAN
from bronzerelay.runtime import Runtime
from standins.checks import check_all_answered, check_keys, run_checks
from standins.cluster import DEMO, Cluster
from standins.layout import WorkspaceLayout
from standins.load import Load
from standins.schedule import LoadSettings

WORKSPACES = (
    WorkspaceLayout("caterer-1", rate=80, burst=80),
    WorkspaceLayout("caterer-2", rate=30, burst=30),
)
LAYOUT = DEMO._replace(workspaces=WORKSPACES, lag_ms=20)
END_MS = 2000


@pytest.fixture(scope="module")
def cluster():
    runtime = Runtime(task_limit=300)
    with Cluster(runtime, LAYOUT) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        yield cluster
    assert runtime.close(END_MS)


def start_load(cluster, label):
    rates = {workspace.name: workspace.rate / 2 for workspace in WORKSPACES}
    settings = LoadSettings(
        rates=rates,
        groups=cluster.groups,
        seed=1,
        label=label,
        duration_ms=1800,
        write_share=0.4,
        transaction_share=0.2,
        age_share=0.2,
    )
    load = Load(cluster.runtime, settings, cluster.daemon_addresses, cluster.keys)
    load.start()
    return load


def list_violations(cluster, record):
    evidence = cluster.collect_evidence()
    assert evidence.effects
    return run_checks(record, evidence, cluster.rate_limits)


def test_a_lost_primary_and_a_planned_stop_break_nothing(cluster):
    """Under load the primary of one group is killed, and one proxy of three is asked
    to stop. Callers may wait for a moment; no change is lost or doubled, no answer is
    cut, and nobody reads less than what he wrote.
    """
    load = start_load(cluster, "first")
    cluster.runtime.sleep_ms(300)
    cluster.kill(cluster.find_primary("orders"))
    cluster.runtime.sleep_ms(300)
    assert cluster.stop("vm-3") == 0
    record = load.wait()
    last = [entry for entry in record if entry.group == "orders"][-20:]
    assert any(entry.is_write and entry.ran == RAN for entry in last)
    assert list_violations(cluster, record) == []
    assert check_all_answered(record) == []
    logs = {name: cluster.read_log(name).encode() for name in cluster.daemon_names}
    assert check_keys(cluster.keys, logs) == []
    cluster.start("vm-3")
    cluster.wait_ready(1, ["vm-3"])


def test_a_killed_proxy_and_a_frozen_primary_break_nothing(cluster):
    """Under load one proxy of three dies with requests in its hands, and the primary
    of a group stops without a word, to wake up when another has its place. What it
    then still does must reach nobody.
    """
    load = start_load(cluster, "second")
    cluster.runtime.sleep_ms(300)
    cluster.kill("vm-2")
    primary = cluster.find_primary("diets")
    cluster.freeze(primary)
    cluster.runtime.sleep_ms(900)
    cluster.thaw(primary)
    record = load.wait()
    assert list_violations(cluster, record) == []
    assert check_all_answered(record, killed=["vm-2"]) == []
