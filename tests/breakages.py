"""A sequence of failures in a whole deployment under load."""

from typing import NamedTuple

from standins.cluster import Cluster, Layout, WorkspaceLayout
from standins.faultrelay import CUT_HALF_REPLY, CUT_REPLY, CUT_REQUEST, FaultRelay
from standins.load import Load
from standins.record import Entry
from standins.schedule import LoadSettings

LAYOUT = Layout(
    groups=("orders",),
    daemons=4,
    vm_lag_ms=100,
    service_ms=1,
    workspaces=(WorkspaceLayout("caterer", rate=500, burst=500),),
)


class BrokenRun(NamedTuple):
    """The record of a load under failures.

    `scheduled` counts the requests of the schedule, `struck` the faults that the relay
    applied. Requests to the daemons in `cut_off` may lack answers.
    """

    record: list[Entry]
    scheduled: int
    struck: int
    cut_off: set[str]


def run_and_break(cluster: Cluster, settings: LoadSettings) -> BrokenRun:
    """Run a load while daemons, a primary and callers' connections fail in turn."""
    cluster.put_bundle()
    cluster.wait_ready(1)
    addresses = {name: cluster.addresses[name] for name in cluster.daemon_names}
    serving = find_serving(cluster)
    relayed = next(name for name in addresses if name != serving)
    relay = FaultRelay(cluster.runtime, addresses[relayed])
    relay.start()
    addresses[relayed] = relay.address
    load = Load(cluster.runtime, settings, addresses, cluster.keys)
    load.start()
    break_in_turn(cluster, relay, serving)
    record = load.wait()
    relay.stop()
    return BrokenRun(record, len(load.schedule), relay.struck, {serving, relayed})


def find_serving(cluster: Cluster) -> str:
    """Return the name of the group's serving daemon."""
    running = [name for name in cluster.daemon_names if cluster.is_running(name)]
    return next(name for name in running if cluster.fetch_status(name)["groups"])


def break_in_turn(cluster: Cluster, relay: FaultRelay, serving: str) -> None:
    """Kill the serving daemon, then freeze the primary, then the new serving daemon.

    Connections of callers are cut off all the while.
    """
    cut_for_a_while(cluster, relay)
    cluster.kill(serving)
    cut_for_a_while(cluster, relay)
    primary = cluster.find_primary("orders")
    cluster.ask_endpoint(primary, "freeze")
    cut_for_a_while(cluster, relay)
    cluster.ask_endpoint(primary, "thaw")
    frozen = find_serving(cluster)
    cluster.freeze(frozen)
    cut_for_a_while(cluster, relay)
    cluster.thaw(frozen)


def cut_for_a_while(cluster: Cluster, relay: FaultRelay) -> None:
    """Cut off callers' requests and answers for about a second."""
    for _ in range(6):
        for fault in (CUT_REPLY, CUT_REQUEST, CUT_HALF_REPLY):
            relay.arm(fault)
            cluster.runtime.sleep_ms(60)
