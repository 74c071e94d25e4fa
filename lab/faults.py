"""Faults that an experiment causes in a running deployment, each with its undoing."""

from collections.abc import Callable
from typing import Any, NamedTuple

from bronzerelay.rendezvous import rank
from standins.cluster import Cluster
from standins.record import Entry


class Scene(NamedTuple):
    """What a fault needs to know; `record` holds all that callers saw so far."""

    cluster: Cluster
    group: str
    record: list[Entry]


Undo = Callable[[], None]


def kill_primary(scene: Scene) -> Undo:
    """Kill the group's primary; it doesn't come back."""
    scene.cluster.kill(scene.cluster.find_primary(scene.group))
    return lambda: None


def freeze_primary(scene: Scene) -> Undo:
    """Freeze the group's primary, as a paused VM is."""
    name = scene.cluster.find_primary(scene.group)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def cut_primary_off(scene: Scene) -> Undo:
    """Cut the primary from its replicas, but not from the daemons."""
    name = scene.cluster.find_primary(scene.group)
    others = [
        f"{scene.group}-{number}"
        for number in (1, 2, 3)
        if f"{scene.group}-{number}" != name
    ]
    scene.cluster.ask_endpoint(name, "cut", names=others)
    return lambda: ask_thawed(scene.cluster, name, "heal", names=others)


def cut_half(scene: Scene) -> Undo:
    """Cut the primary from half of the daemons, the serving one among them."""
    name = scene.cluster.find_primary(scene.group)
    daemons = rank(f"group/{scene.group}", scene.cluster.daemon_names)
    half = daemons[: len(daemons) // 2]
    scene.cluster.ask_endpoint(name, "cut", names=half)
    return lambda: ask_thawed(scene.cluster, name, "heal", names=half)


def freeze_serving_daemon(scene: Scene) -> Undo:
    """Freeze the daemon that serves the group."""
    name = serving_daemon(scene)
    scene.cluster.freeze(name)
    return lambda: thaw(scene.cluster, name)


def kill_serving_daemon(scene: Scene) -> Undo:
    """Kill the daemon that serves the group, and start it again later."""
    name = serving_daemon(scene)
    scene.cluster.kill(name)
    return lambda: start_again(scene.cluster, name)


def freeze_primary_without_platform(scene: Scene) -> Undo:
    """Freeze the primary while the platform is out."""
    scene.cluster.set_platform_fault("down")
    undo = freeze_primary(scene)

    def heal() -> None:
        undo()
        scene.cluster.set_platform_fault("up")

    return heal


def freeze_two_primaries(scene: Scene) -> Undo:
    """Freeze the primaries of two groups at once."""
    other = next(name for name in scene.cluster.groups if name != scene.group)
    undone = [freeze_primary(scene), freeze_primary(scene._replace(group=other))]

    def heal() -> None:
        for undo in undone:
            undo()

    return heal


def start_again(cluster: Cluster, name: str) -> None:
    """Start a daemon unless another fault's undoing has done so already."""
    if not cluster.is_running(name):
        cluster.start(name)


def thaw(cluster: Cluster, name: str) -> None:
    """Let a frozen process go on, if another fault hasn't killed it since."""
    if cluster.is_running(name):
        cluster.thaw(name)


def ask_thawed(cluster: Cluster, name: str, op: str, **fields: Any) -> None:
    """Ask an instance, which may have been frozen by another fault meanwhile."""
    thaw(cluster, name)
    cluster.ask_endpoint(name, op, **fields)


def serving_daemon(scene: Scene) -> str:
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
    """Stop a random daemon in order, and start it again."""
    name = pick_daemon(scene)
    stopped_pid = scene.cluster.pid(name)
    scene.cluster.begin_stop(name)

    def start() -> None:
        # One that another fault has frozen would never come to its end.
        thaw(scene.cluster, name)
        # Another restart may have brought a new process, which nobody has stopped.
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
    """Let an instance lose answers, after the effect or before it."""
    before = scene.cluster.runtime.random.choice((True, False))
    ops = ["write", "commit", "settle", "read"]
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "drop_answers", ops=ops, count=4, before=before)
    return lambda: None


def delay_answers(scene: Scene) -> Undo:
    """Let an instance answer late, past the statements' timeout."""
    ops = ["write", "commit", "read"]
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "delay_answers", ops=ops, count=3, delay_ms=1300)
    return lambda: None


def cross_answers(scene: Scene) -> Undo:
    """Let an instance give one request's answer to the next."""
    name = pick_instance(scene)
    scene.cluster.ask_endpoint(name, "cross_answers", ops=["write", "read"], count=3)
    return lambda: None


def raise_lag(scene: Scene) -> Undo:
    """Let the replicas fall behind."""
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
    """Let the platform answer nobody."""
    scene.cluster.set_platform_fault("down")
    return lambda: scene.cluster.set_platform_fault("up")


def slow_platform(scene: Scene) -> Undo:
    """Let the platform answer slowly."""
    scene.cluster.set_platform_fault("slow", delay_ms=800)
    return lambda: scene.cluster.set_platform_fault("up")


def lose_platform_answers(scene: Scene) -> Undo:
    """Let changes at the platform take effect without an answer."""
    scene.cluster.set_platform_fault("lose_answers")
    return lambda: scene.cluster.set_platform_fault("up")


def change_configuration(scene: Scene) -> Undo:
    """Put the same bundle in force as a new version."""
    scene.cluster.put_bundle()
    return lambda: None
