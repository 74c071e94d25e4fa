"""The policies: what a daemon may decide in one way or another, as plain functions.

"fair" keeps every promise of the system and is what a daemon uses. "naive" is the
baseline of the benchmarks: the least that a proxy could do. It breaks promises, for it
acknowledges writes that a failover loses and lets one workspace crowd out the others,
so that it must never serve anyone.
"""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay import registry
from bronzerelay.holders import list_holders, list_lenders
from bronzerelay.slots import name_own_queue
from bronzerelay.types import Position, WorkspaceSpec
from bronzerelay.watch import GroupWatch

DEFAULT = "fair"


class Policy(NamedTuple):
    """The behaviour that varies.

    `list_replicas` returns which of the instances may serve reads as replicas;
    `wait_acknowledged` returns whether a write may be acknowledged, or be shown by a
    primary, and `wait_proven` whether the age of what was read is proved, both given
    how long they may wait; `list_holders` which daemons hold a part of a workspace's
    rate, and `list_lenders` which of these a daemon borrows from; `name_queue` the line
    in which a workspace's requests wait for a slot.
    """

    list_replicas: Callable[[list[str]], list[str]]
    wait_acknowledged: Callable[[GroupWatch, Position, float], bool]
    wait_proven: Callable[[GroupWatch, Position, float, bool, float], bool]
    list_holders: Callable[[WorkspaceSpec, list[str]], list[str]]
    list_lenders: Callable[[list[str], str], list[str]]
    name_queue: Callable[[str], str]


@registry.register(registry.POLICY, "fair")
def make_fair_policy() -> Policy:
    """Return the policy that keeps the promises."""
    return Policy(
        list_replicas=lambda names: names,
        wait_acknowledged=GroupWatch.wait_majority,
        wait_proven=GroupWatch.wait_proven,
        list_holders=list_holders,
        list_lenders=list_lenders,
        name_queue=name_own_queue,
    )


@registry.register(registry.POLICY, "naive")
def make_naive_policy() -> Policy:
    """Return the baseline of the benchmarks, which breaks promises.

    Reads go to the primary alone, whose word is enough for them and for a write; a
    rate is split evenly over all daemons without loans; slots go to whoever came first.
    """
    return Policy(
        list_replicas=lambda names: [],
        wait_acknowledged=lambda watch, at, timeout_ms: True,
        wait_proven=lambda watch, seen, since_ms, by_primary, timeout_ms: True,
        list_holders=lambda workspace, members: members,
        list_lenders=lambda holders, name: [],
        name_queue=lambda workspace: "",
    )


def make_policy(name: str) -> Policy:
    """Return the policy registered as `name`; raise LookupError with the choices."""
    return registry.find(registry.POLICY, name)()
