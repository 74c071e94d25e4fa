"""Tests of the policies: what each decides, and that the daemon follows it."""

import click
import pytest

from bronzerelay import registry
from bronzerelay.borrowing import Loan
from bronzerelay.policies import make_policy
from bronzerelay.settings import DaemonSettings, read_settings
from bronzerelay.shares import Shares
from bronzerelay.slots import SlotQueue
from bronzerelay.types import WorkspaceSpec
from tests.builders_group import make_group_spec, make_groups, make_work
from tests.endpoints import add, get, wait_until
from tests.test_settings import build_arguments

DEADLINE_MS = 4000
MEMBERS = [f"vm-{number}" for number in range(1, 9)]


def make_server(runtime, group, policy):
    """Return the group's server under a policy, once it reaches all instances."""
    groups = make_groups(runtime, make_group_spec(group), policy=policy)
    server = groups.find("orders")
    assert server.components.watch.wait_primary(DEADLINE_MS)
    wait_until(runtime, lambda: server.components.watch.count_reachable() == 3)
    return server


def test_fair_is_the_default_and_an_unknown_policy_is_refused():
    assert registry.names(registry.POLICY) == ["fair", "naive"]
    assert DaemonSettings._field_defaults["policy"] == "fair"
    assert read_settings(build_arguments(policy="naive")).policy == "naive"
    with pytest.raises(click.UsageError, match="must be one of fair, naive"):
        read_settings(build_arguments(policy="quick"))


@pytest.mark.parametrize(
    ("policy", "role"), [("fair", "replica"), ("naive", "primary")]
)
def test_reads_go_to_replicas_only_under_the_fair_policy(runtime, group, policy, role):
    server = make_server(runtime, group, policy)
    results = [server.read(make_work(runtime, get("count"))) for _ in range(5)]
    assert {result.ok["role"] for result in results} == {role}


@pytest.mark.parametrize(("policy", "acknowledged"), [("fair", False), ("naive", True)])
def test_only_the_naive_policy_acknowledges_without_a_majority(
    runtime, group, policy, acknowledged
):
    server = make_server(runtime, group, policy)
    for name in ("orders-2", "orders-3"):
        group.admin(name, "cut", names=["orders-1"])
    result = server.write(make_work(runtime, add("count", 1), deadline_ms=300))
    assert result.is_ok() == acknowledged


@pytest.mark.parametrize(("policy", "admitted"), [("fair", 3), ("naive", 1)])
def test_only_the_fair_policy_borrows_tokens(runtime, policy, admitted):
    asked = []

    def ask_peer(lender, request):
        asked.append(lender)
        return Loan(1.0, 0.0)

    # One token for each of eight daemons, and a rate too slow to refill.
    spec = WorkspaceSpec("shop", 0.001, 8.0, frozenset(), {})
    shares = Shares(runtime, "vm-1", ask_peer, make_policy(policy))
    shares.set_members(MEMBERS, confirmed=True)
    shares.set_workspaces([spec])
    shares.confirm_workspaces()
    account = shares._accounts["shop"]
    account.bucket._tokens = account.bucket.share.burst
    results = [shares.spend("shop") for _ in range(3)]
    assert sum(result.is_ok() for result in results) == admitted
    assert bool(asked) == (policy == "fair")


@pytest.mark.parametrize(
    ("policy", "order"), [("fair", ["a", "b", "a"]), ("naive", ["a", "a", "b"])]
)
def test_only_the_fair_policy_serves_workspaces_in_turn(runtime, policy, order):
    queue = SlotQueue(runtime, 100, make_policy(policy).name_queue)
    queue.set_endpoints({"x": 1})
    end_ms = runtime.clock.now_ms() + DEADLINE_MS
    served = []

    def wait(workspace):
        assert queue.acquire(workspace, lambda free: free[0], end_ms).is_ok()
        served.append(workspace)

    assert queue.acquire("c", lambda free: free[0], end_ms).is_ok()
    for count, workspace in enumerate(("a", "a", "b"), start=1):
        runtime.start(wait, workspace)
        wait_until(
            runtime, lambda count=count: sum(queue.count_waiting().values()) == count
        )
    for count in (1, 2, 3):
        queue.release("x")
        wait_until(runtime, lambda count=count: len(served) == count)
    assert served == order
