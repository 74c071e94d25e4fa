"""Tests of configuration, keys and leaving endpoints, on real processes."""

import base64

import pytest

from bronzerelay.codes import NOT_RUN, RAN, Code
from bronzerelay.keys import hash_key, make_key
from bronzerelay.platformwatch import WATCH_MS, WATCHERS
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from standins.caller import Caller, CallerSettings
from standins.checks import check_keys, run_checks
from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.exchange import LinkPool
from standins.load import Load, LoadSettings

LAYOUT = Layout(
    groups=("orders",),
    workspaces=(
        WorkspaceLayout("shop", rate=400, burst=400),
        WorkspaceLayout("rival", rate=400, burst=400),
    ),
    daemons=4,
    service_ms=1,
    vm_lag_ms=100,
)
SEEDED = "vm-4"
IN_FORCE_MS = 5000
ISOLATION_MS = 1000
READ = {"verb": "get", "row": "shop/list-1"}


def make_cluster(runtime):
    """Return a cluster in which the daemon SEEDED has the others as --seeds."""
    flags = ["--isolation-ms", str(ISOLATION_MS)]
    cluster = Cluster(runtime, LAYOUT, daemon_flags=flags, keep_logs=False)
    seeds = ",".join(
        str(cluster.addresses[f"vm-{number}/peer"]) for number in (1, 2, 3)
    )
    cluster._daemon_flags = [*flags, "--seeds", seeds]
    cluster._add(SEEDED, "bronzerelay.daemon", cluster._list_flags(3, SEEDED))
    cluster._daemon_flags = flags
    return cluster


@pytest.fixture
def cluster():
    runtime = Runtime(task_limit=300)
    with make_cluster(runtime) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        yield cluster
    runtime.close(1000)


def open_caller(cluster, links, workspace="shop", key=""):
    key = key or cluster.keys[workspace]
    settings = CallerSettings(f"{workspace}/1", workspace, key, 4000)
    return Caller(cluster.runtime, settings, links)


def open_links(cluster):
    daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
    return LinkPool(cluster.runtime, daemons)


def start_load(cluster, duration_ms, **fields):
    settings = LoadSettings(
        rates={"shop": 80},
        groups=LAYOUT.groups,
        seed=3,
        duration_ms=duration_ms,
        write_share=0.5,
        workers=60,
        **fields,
    )
    daemons = {name: cluster.addresses[name] for name in cluster.daemon_names}
    load = Load(cluster.runtime, settings, daemons, cluster.keys)
    load.start()
    return load


def replace_key(cluster, workspace="shop"):
    """Put a version in force in which the workspace has a different key."""
    bundle = cluster.build_bundle()
    for entry in bundle["workspaces"]:
        if entry["name"] == workspace:
            entry["keys"] = [{"id": "second", "hash": hash_key(make_key())}]
    return cluster.put_bundle(bundle)


def ask(caller, daemon):
    return caller.run("orders", READ, daemon).code


def list_versions(cluster):
    return {
        name: cluster.fetch_status(name)["config_version"]
        for name in cluster.daemon_names
    }


def test_a_withdrawn_key_stops_on_open_connections_of_every_daemon(cluster):
    """A workspace's key is withdrawn while its callers are connected to all daemons. If
    keys were checked only when a connection opens, it would go on working there.
    """
    links = open_links(cluster)
    caller = open_caller(cluster, links)
    rival = open_caller(cluster, links, "rival")
    for name in cluster.daemon_names:
        assert ask(caller, name) == Code.OK
    replace_key(cluster)
    for name in cluster.daemon_names:
        cluster.wait_until(
            lambda name=name: (
                caller.run("orders", READ, name).code == Code.KEY_REJECTED
            ),
            f"{name} to refuse the withdrawn key",
            IN_FORCE_MS,
        )
        refused = caller.run("orders", READ, name)
        assert (refused.code, refused.ran) == (Code.KEY_REJECTED, NOT_RUN)
        assert ask(rival, name) == Code.OK
    links.close()


def test_versions_are_in_force_everywhere_and_never_go_back(cluster):
    """Several versions are put in force while the platform is slow for one daemon and
    loses its answers to another one; then it goes down. A daemon restarted meanwhile
    gets its configuration from its peers alone. No daemon may go back to an older
    version.
    """
    cluster.set_platform_fault("slow", delay_ms=700, callers=["vm-1"])
    cluster.set_platform_fault("lose_answers", callers=["vm-2"])
    highest = {}
    for _ in range(4):
        version = cluster.put_bundle()
        cluster.wait_until(
            lambda version=version: min(list_versions(cluster).values()) >= version,
            f"version {version} on all daemons",
            IN_FORCE_MS,
        )
        for name, seen in list_versions(cluster).items():
            assert seen >= highest.get(name, 0)
            highest[name] = seen
    cluster.set_platform_fault("down")
    cluster.restart(SEEDED)
    cluster.wait_until(
        lambda: cluster.fetch_status(SEEDED)["config_version"] == version,
        "the version in force from a peer",
        IN_FORCE_MS,
    )
    assert set(list_versions(cluster).values()) == {version}


def test_a_version_arrives_although_the_platform_refuses_all_watchers(cluster):
    """Only some daemons watch the platform. If it refuses just these, others must take
    over, or new versions would never arrive.
    """
    watchers = rank("platform", cluster.daemon_names)[:WATCHERS]
    cluster.set_platform_fault("down", callers=watchers)
    cluster.runtime.clock.sleep_ms(2 * WATCH_MS)
    version = cluster.put_bundle()
    cluster.wait_until(
        lambda: min(list_versions(cluster).values()) >= version,
        f"version {version} on all daemons",
        IN_FORCE_MS,
    )


def test_a_thawed_daemon_admits_nothing_on_stale_configuration(cluster):
    """A daemon is frozen, a key is withdrawn, and the daemon is thawed with a request
    with that key in its socket. Its configuration is older than its own timers show.
    """
    links = open_links(cluster)
    caller = open_caller(cluster, links)
    assert ask(caller, "vm-2") == Code.OK
    cluster.freeze("vm-2")
    replace_key(cluster)
    cluster.runtime.clock.sleep_ms(ISOLATION_MS + 300)
    task = cluster.runtime.start(caller.run, "orders", READ, "vm-2")
    cluster.runtime.clock.sleep_ms(100)
    cluster.thaw("vm-2")
    entry = task.result()
    assert entry.code in (Code.ISOLATED, Code.KEY_REJECTED)
    assert entry.ran == NOT_RUN
    links.close()


def test_a_daemon_cut_from_platform_and_peers_stops_admitting(cluster):
    """A daemon is alone on its side of a network partition. It can't learn of a
    withdrawal and would accept withdrawn keys for as long as the partition lasts.
    """
    links = open_links(cluster)
    caller = open_caller(cluster, links)
    cluster.set_platform_fault("down", callers=["vm-1"])
    for name in ("vm-2", "vm-3", "vm-4"):
        cluster.freeze(name)
    cluster.wait_until(
        lambda: ask(caller, "vm-1") == Code.ISOLATED,
        "vm-1 to stop admitting",
        IN_FORCE_MS,
    )
    for name in ("vm-2", "vm-3", "vm-4"):
        cluster.thaw(name)
    cluster.wait_until(
        lambda: ask(caller, "vm-1") == Code.OK,
        "vm-1 to admit again",
        IN_FORCE_MS,
    )
    links.close()


def test_an_outage_of_the_platform_stops_no_request(cluster):
    """The platform is down for a long time. No new version can be put in force, and all
    daemons go on serving with the current one.
    """
    cluster.set_platform_fault("down")
    cluster.runtime.clock.sleep_ms(ISOLATION_MS + 500)
    record = start_load(cluster, 1000).wait()
    assert record and all(entry.ran == RAN for entry in record)


def test_no_endpoint_and_no_log_sees_a_key(cluster):
    """Callers present valid and invalid keys, and one key is withdrawn meanwhile. A key
    that reached an endpoint or a log could be used by anybody who reads it there.
    """
    links = open_links(cluster)
    wrong = make_key()
    record = start_load(cluster, 1000).wait()
    for name in cluster.daemon_names:
        refused = open_caller(cluster, links, "shop", wrong).run("orders", READ, name)
        assert refused.code == Code.KEY_REJECTED
    replace_key(cluster, "rival")
    places = {}
    for name in cluster.endpoint_names:
        answer = cluster.ask_endpoint(name, "received")
        assert answer["complete"]
        places[name] = base64.b64decode(answer["bytes"])
        places[f"log of {name}"] = cluster.read_log(name).encode()
    assert any(b"shop" in data for data in places.values())
    for name in cluster.daemon_names:
        places[f"log of {name}"] = cluster.read_log(name).encode()
        for path in ("/metrics", "/status"):
            places[f"{path} of {name}"] = cluster.fetch(name, path)[1]
    assert check_keys({**cluster.keys, "wrong": wrong}, places) == []
    assert all(entry.ran == RAN for entry in record)
    links.close()


def test_leaving_endpoints_get_no_new_work(cluster):
    """The primary and a replica are marked as leaving under load. Statements that they
    still get after a few seconds would be aborted when their VMs are removed.
    """
    leaving = cluster.endpoint_names[:2]
    load = start_load(cluster, 5000)
    cluster.runtime.clock.sleep_ms(500)
    bundle = cluster.build_bundle()
    for endpoint in bundle["groups"][0]["endpoints"][:2]:
        endpoint["leaving"] = True
    marked_ms = cluster.runtime.clock.now_ms()
    cluster.put_bundle(bundle)
    record = load.wait()
    evidence = cluster.collect_evidence()
    late = [
        execution
        for execution in evidence.executions
        if execution.instance in leaving and execution.time_ms > marked_ms + 3000
    ]
    assert late == []
    assert {one.instance for one in evidence.executions} == set(cluster.endpoint_names)
    assert cluster.find_primary("orders") not in leaving
    assert not run_checks(record, evidence)
    after = [entry for entry in record if entry.sent_ms > marked_ms + 3000]
    assert after and all(entry.ran == RAN for entry in after)
