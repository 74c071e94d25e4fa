"""Tests, with real processes, that a planned stop cuts no request."""

import pytest

from bronzerelay.codes import RAN, UNKNOWN, Code
from bronzerelay.runtime import Runtime
from standins.caller import Caller, CallerSettings
from standins.checks import run_checks
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.exchange import LinkPool
from standins.load import Load, LoadSettings
from standins.record import NO_ANSWER

# Three groups for four daemons, so that most requests are forwarded to another daemon.
LAYOUT = Layout(
    groups=("orders", "diets", "kitchens"),
    workspaces=(WorkspaceLayout("shop", rate=600, burst=600),),
    daemons=4,
    slots=10,
    service_ms=5,
    vm_lag_ms=100,
)
RATE = 120


@pytest.fixture
def cluster():
    runtime = Runtime(task_limit=400)
    with Cluster(runtime, LAYOUT) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        yield cluster
    runtime.close(1000)


def start_load(cluster, duration_ms):
    settings = LoadSettings(
        rates={"shop": RATE},
        groups=LAYOUT.groups,
        seed=11,
        duration_ms=duration_ms,
        write_share=0.5,
        workers=100,
        resends=0,
    )
    daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
    load = Load(cluster.runtime, settings, daemons, cluster.keys)
    load.start()
    return load


def test_a_rolling_restart_under_load_cuts_no_request(cluster):
    """All daemons are restarted, one after the other, while callers write and read
    through all of them. A stopping daemon is forwarding requests to others and running
    requests that others forwarded to it. If one of these is cut, its caller doesn't
    know whether its write was applied.
    """
    load = start_load(cluster, 15_000)
    cluster.runtime.clock.sleep_ms(500)
    codes = []
    unavailable = {}
    now_ms = cluster.runtime.clock.now_ms
    for name in cluster.daemon_names:
        stopped_ms = now_ms()
        codes.append(cluster.stop(name))
        cluster.start(name)
        cluster.wait_ready(names=[name])
        unavailable[name] = (stopped_ms, now_ms())
    load.stop()
    record = load.wait()
    assert codes == [0] * len(cluster.daemon_names)
    assert len(record) > 100
    assert [entry for entry in record if entry.code == NO_ANSWER] == []
    assert [entry for entry in record if entry.ran == UNKNOWN] == []
    assert not run_checks(record, cluster.collect_evidence())
    refused = [entry for entry in record if entry.was_answered and entry.ran != RAN]
    # The load doesn't check readiness before it sends, as a load balancer does.
    unexpected = [
        entry
        for entry in refused
        if not is_expected_refusal(entry, *unavailable[entry.daemon])
    ]
    assert [(entry.daemon, entry.code, entry.message) for entry in unexpected] == []


def is_expected_refusal(entry, stopped_ms, ready_ms):
    """Return whether a daemon refused because it was stopping or not ready yet."""
    while_unavailable = stopped_ms <= entry.sent_ms <= ready_ms
    return while_unavailable and entry.code in (Code.STOPPING, Code.NO_CONFIGURATION)


def test_a_stopping_daemon_finishes_forwarded_requests():
    """A daemon gets SIGTERM while it runs slow writes that other daemons forwarded to
    it. If it cut them, their callers would not know whether they were applied.
    """
    runtime = Runtime(task_limit=100)
    layout = LAYOUT._replace(service_ms=1500, groups=("orders",), daemons=3)
    flags = ["--statement-timeout-ms", "4000", "--default-deadline-ms", "8000"]
    with Cluster(runtime, layout, daemon_flags=flags) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        cluster.wait_until(
            lambda: find_serving_daemon(cluster), "a daemon to serve the group"
        )
        serving_daemon = find_serving_daemon(cluster)
        daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
        links = LinkPool(runtime, daemons)
        settings = CallerSettings("shop/1", "shop", cluster.keys["shop"])
        callers = {
            name: Caller(runtime, settings, links)
            for name in daemons
            if name != serving_daemon
        }
        write = {"verb": "append", "row": "shop/list-1", "value": "one"}
        tasks = [
            runtime.start(caller.run, "orders", write, name)
            for name, caller in callers.items()
        ]
        runtime.clock.sleep_ms(300)
        code = cluster.stop(serving_daemon)
        entries = [task.result() for task in tasks]
        links.close()
    runtime.close(1000)
    assert code == 0
    assert [entry.ran for entry in entries] == [RAN, RAN]
    assert max(entry.latency_ms for entry in entries) < 3000


def find_serving_daemon(cluster):
    """Return the daemon that serves the first group, or an empty string."""
    for name in cluster.daemon_names:
        if cluster.groups[0] in cluster.fetch_status(name)["groups"]:
            return name
    return ""
