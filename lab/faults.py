"""Faults that experiments cause in a running deployment, and how each is undone."""

from collections.abc import Callable
from typing import Any, NamedTuple

from bronzerelay.rendezvous import rank
from standins.cluster import Cluster
from standins.record import Entry


class Scene(NamedTuple):
    """Where a fault is caused; `record` holds all requests of callers so far."""

    cluster: Cluster
    group: str
    record: list[Entry]


Undo = Callable[[], None]


def kill_primary(scene: Scene) -> Undo:
    """Kill the group's primary; it doesn't come back."""
    scene.cluster.kill(scene.cluster.find_primary(scene.group))
    return lambda: None


def freeze_primary(scene: Scene) -> Undo:
    """Freeze the group's primary, like a VM that is paused."""
    name = scene.cluster.find_primary(scene.group)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def cut_primary_off(scene: Scene) -> Undo:
    """Cut the primary from its replicas; the daemons still reach it."""
    name = scene.cluster.find_primary(scene.group)
    others = [
        f"{scene.group}-{number}"
        for number in (1, 2, 3)
        if f"{scene.group}-{number}" != name
    ]
    scene.cluster.ask_endpoint(name, "cut", names=others)
    return lambda: ask_thawed(scene.cluster, name, "heal", names=others)


def cut_half(scene: Scene) -> Undo:
    """Cut the primary from half of the daemons, including the serving daemon."""
    name = scene.cluster.find_primary(scene.group)
    daemons = rank(f"group/{scene.group}", scene.cluster.daemon_names)
    half = daemons[: len(daemons) // 2]
    scene.cluster.ask_endpoint(name, "cut", names=half)
    return lambda: ask_thawed(scene.cluster, name, "heal", names=half)


def freeze_serving_daemon(scene: Scene) -> Undo:
    """Freeze the daemon that serves the group."""
    name = find_serving_daemon(scene)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def kill_serving_daemon(scene: Scene) -> Undo:
    """Kill the daemon that serves the group, and start it again later."""
    name = find_serving_daemon(scene)
    scene.cluster.kill(name)
    return lambda: start_again(scene.cluster, name)


def freeze_primary_without_platform(scene: Scene) -> Undo:
    """Freeze the primary while the platform is down."""
    scene.cluster.set_platform_fault("down")
    undo = freeze_primary(scene)

    def heal() -> None:
        undo()
        scene.cluster.set_platform_fault("up")

    return heal


def freeze_two_primaries(scene: Scene) -> Undo:
    """Freeze the primaries of two groups at once."""
    other = next(name for name in scene.cluster.groups if name != scene.group)
    undos = [freeze_primary(scene), freeze_primary(scene._replace(group=other))]

    def heal() -> None:
        for undo in undos:
            undo()

    return heal


def start_again(cluster: Cluster, name: str) -> None:
    """Start a daemon unless undoing another fault has already started it."""
    if not cluster.is_running(name):
        cluster.start(name)


def thaw(cluster: Cluster, name: str) -> None:
    """Resume a frozen process unless another fault has killed it since."""
    if cluster.is_running(name):
        cluster.thaw(name)


def ask_thawed(cluster: Cluster, name: str, op: str, **fields: Any) -> None:
    """Send a request to an instance that another fault may have frozen meanwhile."""
    thaw(cluster, name)
    cluster.ask_endpoint(name, op, **fields)


def find_serving_daemon(scene: Scene) -> str:
    """Return the daemon that serves the group while all are alive."""
    return rank(f"group/{scene.group}", scene.cluster.daemon_names)[0]


def pick_daemon(scene: Scene) -> str:
    """Return a random daemon."""
    return scene.cluster.runtime.random.choice(scene.cluster.daemon_names)


def pick_instance(scene: Scene) -> str:
    """Return a random instance of the group."""
    number = scene.cluster.runtime.random.randint(1, scene.cluster.layout.instances)
    return f"{scene.group}-{number}"


def freeze_daemon(scene: Scene) -> Undo:
    """Freeze a random daemon."""
    name = pick_daemon(scene)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def restart_daemon(scene: Scene) -> Undo:
    """Stop a random daemon gracefully, and start it again."""
    name = pick_daemon(scene)
    stopped_pid = scene.cluster.pid(name)
    scene.cluster.begin_stop(name)

    def start() -> None:
        # A daemon that another fault has frozen would never stop.
        thaw(scene.cluster, name)
        # Another restart may have started a new process, which nothing stops.
        if scene.cluster.pid(name) == stopped_pid:
            scene.cluster.wait_stopped(name)
        start_again(scene.cluster, name)

    return start


def kill_daemon(scene: Scene) -> Undo:
    """Kill a random daemon, and start it again."""
    name = pick_daemon(scene)
    scene.cluster.kill(name)
    return lambda: start_again(scene.cluster, name)


def freeze_replica(scene: Scene) -> Undo:
    """Freeze a random instance of the group."""
    name = pick_instance(scene)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def lose_answers(scene: Scene) -> Undo:
    """Make an instance drop answers, either after or before it runs the request."""
    before = scene.cluster.runtime.random.choice((True, False))
    ops = ["write", "commit", "settle", "read"]
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "drop_answers", ops=ops, count=4, before=before)
    return lambda: None


def delay_answers(scene: Scene) -> Undo:
    """Make an instance answer later than the timeout of statements."""
    ops = ["write", "commit", "read"]
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "delay_answers", ops=ops, count=3, delay_ms=1300)
    return lambda: None


def cross_answers(scene: Scene) -> Undo:
    """Make an instance send the answer to one request as the answer to the next."""
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "cross_answers", ops=["write", "read"], count=3)
    return lambda: None


def raise_lag(scene: Scene) -> Undo:
    """Raise the replication lag of all instances of the group."""
    names = [
        f"{scene.group}-{number + 1}"
        for number in range(scene.cluster.layout.instances)
    ]
    for name in names:
        scene.cluster.ask_endpoint(name, "set", lag_ms=300)

    def restore() -> None:
        for name in names:
            lag_ms = scene.cluster.layout.lag_ms
            ask_thawed(scene.cluster, name, "set", lag_ms=lag_ms)

    return restore


def stop_platform(scene: Scene) -> Undo:
    """Make the platform answer no requests."""
    scene.cluster.set_platform_fault("down")
    return lambda: scene.cluster.set_platform_fault("up")


def slow_platform(scene: Scene) -> Undo:
    """Make the platform answer slowly."""
    scene.cluster.set_platform_fault("slow", delay_ms=800)
    return lambda: scene.cluster.set_platform_fault("up")


def lose_platform_answers(scene: Scene) -> Undo:
    """Make the platform apply changes without answering them."""
    scene.cluster.set_platform_fault("lose_answers")
    return lambda: scene.cluster.set_platform_fault("up")


def change_configuration(scene: Scene) -> Undo:
    """Publish the same bundle as a new version."""
    scene.cluster.put_bundle()
    return lambda: None
