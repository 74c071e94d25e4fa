"""Tests of the deployment on stand-ins: its start, its control and its end."""

import itertools
import os

import pytest

from bronzerelay.bundle import check_bundle
from bronzerelay.runtime import Runtime
from standins import processes
from standins.cluster import DEMO, RETURNS, VIANDA, Cluster, ClusterError
from standins.processes import FIRST_PORT, reserve_addresses

TINY = DEMO._replace(groups=("orders",), instances=1, daemons=1, connect_ms=0)
NAMES = ["platform", "orders-1", "vm-1"]
END_MS = 2000


@pytest.fixture
def runtime():
    runtime = Runtime(task_limit=20)
    yield runtime
    assert runtime.close(END_MS)


def exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def list_pids(cluster):
    return [cluster.pid(name) for name in NAMES if cluster.pid(name)]


@pytest.mark.parametrize("layout", [DEMO, VIANDA, RETURNS])
def test_the_bundle_of_each_layout_is_valid(runtime, layout):
    cluster = Cluster(runtime, layout)
    try:
        assert check_bundle(cluster.build_bundle(version=1)) == []
        addresses = set(cluster.addresses.values())
        assert len(addresses) == 1 + 3 * layout.instances + 2 * layout.daemons
    finally:
        cluster.close()


def test_each_process_is_frozen_stopped_and_started_by_name(runtime):
    """Tests freeze, stop and kill single processes. If the deployment signalled another
    process, or left one running, it would spoil every later run.
    """
    with Cluster(runtime, TINY) as cluster:
        cluster.wait_ready(cluster.put_bundle())
        assert cluster.find_primary("orders") == "orders-1"
        cluster.freeze("vm-1")
        with pytest.raises(OSError):
            cluster.fetch("vm-1", "/health", timeout_ms=200)
        cluster.thaw("vm-1")
        assert cluster.fetch("vm-1", "/health")[0] == 200
        assert cluster.put_bundle() == 2
        cluster.wait_ready(2)
        assert cluster.stop("vm-1") == 0
        assert not cluster.is_ready("vm-1")
        cluster.start("vm-1")
        cluster.wait_until(lambda: cluster.fetch("vm-1", "/health")[0] == 200, "health")
        cluster.freeze("orders-1")
        pids = list_pids(cluster)
        assert len(pids) == len(NAMES)
    assert not any(exists(pid) for pid in pids)
    assert not cluster.folder.exists()


def test_an_endpoint_that_lost_its_data_cannot_restart(runtime):
    """An endpoint that was killed and started again would have an empty log. The choice
    of a new primary would not see the entries that it had acknowledged, and changes
    would be lost that no failure of the real system loses.
    """
    with Cluster(runtime, TINY) as cluster:
        cluster.kill("orders-1")
        with pytest.raises(ClusterError, match="lost its data"):
            cluster.start("orders-1")


def test_every_process_ends_when_the_run_is_interrupted(runtime):
    """Ctrl-C interrupts a run. Processes that were left behind would keep their ports
    and load the machine during later runs.
    """
    pids = []
    with pytest.raises(KeyboardInterrupt), Cluster(runtime, TINY) as cluster:
        pids += list_pids(cluster)
        raise KeyboardInterrupt
    assert len(pids) == len(NAMES)
    assert not any(exists(pid) for pid in pids)
    # The logs are kept, since they explain the failed run.
    assert "listens" in cluster.read_log("orders-1")
    cluster.remove_logs()


def test_a_process_that_does_not_start_is_named_with_its_log(runtime):
    """A daemon rejects its settings and ends at once. The error must say which one and
    why, and no other process may be left behind.
    """
    cluster = Cluster(runtime, TINY, daemon_flags=["--no-such-flag"])
    with pytest.raises(ClusterError, match=r"(?s)vm-1 does not listen.*no-such-flag"):
        cluster.__enter__()
    assert list_pids(cluster) == []
    cluster.remove_logs()


def test_the_port_of_a_stopped_daemon_stays_reserved(runtime, monkeypatch):
    """Guards against mistaking a process of another run for a restarted daemon."""
    with Cluster(runtime, TINY) as cluster:
        cluster.stop("vm-1")
        port = cluster.addresses["vm-1"].port
        monkeypatch.setattr(processes, "_ports", itertools.count(port - FIRST_PORT))
        (taken,) = reserve_addresses(runtime, 1)
        taken.close()
        assert taken.address.port != port
        cluster.start("vm-1")
        assert cluster.fetch("vm-1", "/health")[0] == 200
    (taken,) = reserve_addresses(runtime, 1)
    taken.close()
