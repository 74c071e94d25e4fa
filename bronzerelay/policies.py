"""The policies: the decisions that can be configured, as plain functions.

"fair" keeps every promise of the system and is the default. "naive" is the baseline of
the benchmarks, a minimal proxy. It must never be used in production: it acknowledges
writes that a failover loses, and lets one workspace crowd out the others.
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
    """The decisions that depend on the policy.

    `list_replicas` returns the instances that may serve reads as replicas.
    `wait_acknowledged` waits up to a timeout, and returns whether a write may be
    acknowledged or returned by a read of the primary. `wait_proven` waits up to a
    timeout, and returns whether the age of the data that was read is proven.
    `list_holders` returns the daemons that hold a share of a workspace's rate, and
    `list_lenders` those of them that a daemon may borrow from. `name_queue` returns the
    name of the queue in which a workspace's requests wait for a slot.
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

    Reads go to the primary only, and the primary's answer alone acknowledges a read or
    a write. A rate is split evenly over all daemons, without loans. Slots are assigned
    in the order of arrival.
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
    """Return the policy registered as `name`; raise LookupError if there is none."""
    return registry.find(registry.POLICY, name)()
