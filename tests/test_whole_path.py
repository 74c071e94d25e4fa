"""Tests of the whole path: real processes under load, verified by the checks."""

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


def test_killed_primary_and_planned_stop_break_no_promise(cluster):
    """Under load, the primary of one group is killed and one of three daemons is
    stopped with SIGTERM. Callers may have to wait, but no change may be lost or
    doubled, no answer cut off, and no session may read less than it wrote.
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


def test_killed_daemon_and_frozen_primary_break_no_promise(cluster):
    """Under load, one of three daemons is killed while it serves requests, and the
    primary of a group is frozen and thawed after another one has replaced it. Nothing
    that the old primary does after the thaw may reach a caller.
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
