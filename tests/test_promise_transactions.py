"""Transactions are isolated and atomic, and answers reach only their own callers."""

import pytest

from bronzerelay import transactions
from bronzerelay.codes import NOT_RUN, RAN, UNKNOWN, Code
from bronzerelay.transactions import holder_of
from standins.caller import Caller, CallerSettings
from standins.checks import run_checks
from standins.cluster import Cluster
from standins.exchange import LinkPool
from standins.faultrelay import (
    CUT_HALF_REPLY,
    CUT_REPLY,
    CUT_REQUEST,
    HOLD_REQUEST,
    REPEAT_REPLY,
)
from standins.schedule import LoadSettings
from tests.breakages import LAYOUT, find_serving, run_and_break
from tests.endpoints import NAMES, add, get, open_runtime, put, wait_until
from tests.nodes import (
    Deployment,
    Node,
    check_outcome,
    open_deployment,
    outcome_of,
    wait_until_idle,
)

FAULTS = (CUT_REQUEST, CUT_REPLY, CUT_HALF_REPLY, REPEAT_REPLY, HOLD_REQUEST)


def begin(node: Node) -> str:
    return node.send("begin").ok["transaction"]


def run(node: Node, token: str, statement: dict):
    return node.send(statement=statement, transaction=token)


def commit(node: Node, token: str, **fields):
    return node.send("commit", transaction=token, **fields)


def check_pools(deployment: Deployment) -> None:
    """Check that no link is pooled twice, or inside a transaction."""
    for node in deployment.nodes:
        for pool in node.groups.find("orders").components.pools.values():
            assert len(set(map(id, pool._idle))) == len(pool._idle)
            assert not any(link.in_transaction for link in pool._idle)


# Isolation


def test_transaction_through_several_daemons():
    """The load balancer spreads the statements of one transaction over all daemons.

    Its changes must be invisible until the commit, and all be visible afterwards.
    """
    with open_deployment(3) as deployment:
        deployment.warm_up()
        first, second, third = deployment.nodes
        token = begin(first)
        assert run(second, token, add("stock", -1)).ok["value"] == -1
        assert run(third, token, get("stock")).ok["value"] == -1
        assert run(first, token, add("returns", 1)).is_ok()
        assert deployment.read_row("stock") is None
        session = commit(second, token).ok["session"]
        for row, value in (("stock", -1), ("returns", 1)):
            answer = third.send(statement=get(row), session=session)
            assert answer.ok["value"] == value
        check_pools(deployment)


def test_concurrent_transactions_are_isolated():
    """Several transactions run at the same time, with interleaved statements.

    If they were mixed up, a change could be committed with another transaction.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        tokens = [begin(node) for node in deployment.nodes for _ in range(2)]
        for step in range(3):
            for number, token in enumerate(tokens):
                node = deployment.nodes[(number + step) % 2]
                assert (
                    run(node, token, add(f"till-{number}", 1)).ok["value"] == step + 1
                )
        assert commit(deployment.nodes[0], tokens[0]).is_ok()
        assert deployment.nodes[0].send("rollback", transaction=tokens[1]).is_ok()
        assert commit(deployment.nodes[1], tokens[2]).is_ok()
        rows = [deployment.read_row(f"till-{number}") for number in range(4)]
        assert rows == [3, None, 3, None]
        changed = [
            set(entry["changes"])
            for entry in deployment.group.instance(deployment.find_primary()).entries
        ]
        assert changed.count({"till-0"}) == changed.count({"till-2"}) == 1


def test_token_of_another_workspace():
    """Another workspace uses a transaction's token to read or commit."""
    with open_deployment(2) as deployment:
        deployment.warm_up()
        node = deployment.nodes[0]
        token = begin(node)
        assert run(node, token, put("diet", "celiac")).is_ok()
        for request in (
            {"statement": get("diet"), "transaction": token},
            {"action": "commit", "transaction": token},
        ):
            result = node.kernel.run_statement(
                "rival", "rival-key", {"group": "orders", **request}, "request"
            )
            assert result.error.ran == NOT_RUN
        assert deployment.read_row("diet") is None
        assert commit(node, token).is_ok()
        assert deployment.read_row("diet") == "celiac"


@pytest.mark.parametrize("second", ["statement", "commit", "rollback"])
def test_request_behind_a_commit(second):
    """A caller sends another request of a transaction while its commit is slow.

    The request waits until the commit has ended. By then the connection may serve
    another caller, and the statement would run outside of the transaction.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        node = deployment.ranked[0]
        token = begin(node)
        assert run(node, token, add("row", 1)).is_ok()
        delay = {"ops": ["commit"], "count": 1, "delay_ms": 100}
        deployment.group.admin(deployment.find_primary(), "delay_answers", **delay)
        committing = deployment.runtime.start(lambda: commit(node, token))
        deployment.runtime.sleep_ms(40)
        fields = {"statement": add("stray", 1)} if second == "statement" else {}
        late = node.send(second, transaction=token, **fields)
        assert committing.result().is_ok()
        assert deployment.read_row("stray") is None
        if second != "commit":
            assert late.error.code == Code.TRANSACTION_UNKNOWN
        check_pools(deployment)
        check_outcome(deployment, RAN, "row")


def test_idle_transaction_ends_once():
    """An idle transaction is rolled back just when its own rollback arrives.

    If its connection were returned to the pool twice, it would serve two callers at
    once.
    """
    with open_deployment(1) as deployment:
        deployment.warm_up()
        node = deployment.nodes[0]
        token = begin(node)
        transaction = node.transactions._open[token]
        node.transactions._end(transaction)
        node.transactions._end(transaction)
        pool = transaction.pool
        assert pool.open_count == len(pool._idle)
        check_pools(deployment)


def test_vanished_callers_make_room(monkeypatch):
    """Callers open transactions and vanish.

    Each transaction holds a connection. If idle ones weren't rolled back early, no
    workspace could open a transaction for 10 s.
    """
    with open_deployment(1) as deployment:
        deployment.warm_up()
        node = deployment.nodes[0]
        tokens = []
        monkeypatch.setattr(transactions, "CROWDED_IDLE_MS", transactions.IDLE_MS)
        while (opened := node.send("begin")).is_ok():
            tokens.append(opened.ok["transaction"])
        monkeypatch.setattr(transactions, "CROWDED_IDLE_MS", 150)
        assert opened.error.code == Code.TRANSACTION_LIMIT
        assert opened.error.retry_after_ms > 0
        deployment.runtime.sleep_ms(160)
        # Only the first one is in use.
        assert run(node, tokens[0], add("row", 1)).is_ok()
        rival = {"group": "orders", "action": "begin"}
        result = node.kernel.run_statement("rival", "rival-key", rival, "request")
        assert result.is_ok()
        assert commit(node, tokens[0]).is_ok()
        assert commit(node, tokens[1]).error.code == Code.TRANSACTION_UNKNOWN
        check_pools(deployment)


# Unknown outcomes


@pytest.mark.parametrize("before", [False, True])
@pytest.mark.parametrize("key", ["", "sale-1"])
def test_answer_to_commit_lost(before, key):
    """The connection to the endpoint breaks just before or after a commit runs."""
    with open_deployment(2) as deployment:
        deployment.warm_up()
        node = deployment.nodes[0]
        token = begin(node)
        assert run(node, token, add("row", 1)).is_ok()
        fault = {"ops": ["commit"], "count": 1, "before": before}
        deployment.group.admin(deployment.find_primary(), "drop_answers", **fault)
        outcome = outcome_of(commit(node, token, key=key))
        assert outcome == (NOT_RUN if before else RAN)
        check_outcome(deployment, outcome, "row")
        check_pools(deployment)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("key", ["", "sale-1"])
def test_commit_between_daemons_cut(fault, key):
    """The link between two daemons breaks during a commit.

    The caller must learn whether it was committed, and a commit that was delayed must
    not run after the caller was told "not run".
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        holder, other = deployment.ranked
        token = begin(other)
        assert run(other, token, add("row", 1)).is_ok()
        holder.cutter.arm(fault)
        outcome = outcome_of(commit(other, token, key=key))
        assert holder.cutter.struck == 1
        assert outcome != UNKNOWN
        count = len(deployment.list_executions("commit"))
        holder.cutter.release()
        if fault == HOLD_REQUEST:
            wait_until(
                deployment.runtime,
                lambda: len(deployment.list_executions("commit")) > count,
            )
        wait_until_idle(deployment)
        check_outcome(deployment, outcome, "row")


@pytest.mark.parametrize("key", ["", "sale-1"])
def test_commit_sent_again(key):
    """A caller loses the answer to its commit and sends it again to another daemon.

    The transaction has ended, and "not run" would make the caller repeat it.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        first, second = deployment.nodes
        token = begin(first)
        assert run(first, token, add("row", 1)).is_ok()
        assert commit(first, token, key=key).is_ok()
        assert outcome_of(commit(second, token, key=key)) == RAN
        check_outcome(deployment, RAN, "row")


def test_commit_of_no_transaction():
    """A commit with an invalid token or after a rollback commits nothing."""
    with open_deployment(2) as deployment:
        deployment.warm_up()
        first, second = deployment.nodes
        token = begin(first)
        assert run(first, token, add("row", 1)).is_ok()
        assert second.send("rollback", transaction=token).is_ok()
        for name in (token, f"{first.name}~00", "vm-9~00", "nonsense"):
            assert outcome_of(commit(second, name)) == NOT_RUN
        check_outcome(deployment, NOT_RUN, "row")


@pytest.mark.parametrize("fault", FAULTS)
def test_statement_between_daemons_cut(fault):
    """The link between two daemons breaks during a statement of a transaction.

    If the caller is told that the transaction is lost, a commit with the same token
    must not commit anything.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        holder, other = deployment.ranked
        token = begin(other)
        assert run(other, token, add("row", 1)).is_ok()
        holder.cutter.arm(fault)
        result = run(other, token, add("row", 1))
        assert holder.cutter.struck == 1
        holder.cutter.release()
        outcome = outcome_of(commit(other, token))
        if result.is_ok():
            assert outcome == RAN
        else:
            assert result.error.code == Code.TRANSACTION_LOST
            assert outcome == NOT_RUN
        wait_until_idle(deployment)
        check_outcome(deployment, outcome, "row")


@pytest.mark.parametrize("fault", FAULTS)
def test_statement_to_endpoint_cut(fault):
    """The connection of a transaction breaks during a statement."""
    with open_deployment(2) as deployment:
        deployment.warm_up()
        holder = deployment.ranked[0]
        relay = holder.relays[deployment.find_primary()]
        token = begin(holder)
        assert run(holder, token, add("row", 1)).is_ok()
        relay.arm(fault)
        result = run(holder, token, add("row", 1))
        assert relay.struck == 1
        relay.release()
        outcome = outcome_of(commit(holder, token))
        assert outcome == (RAN if result.is_ok() else NOT_RUN)
        check_outcome(deployment, outcome, "row")
        check_pools(deployment)


# Failover


@pytest.mark.parametrize("when", ["before the commit", "in the commit"])
def test_failover_in_a_transaction(when):
    """The primary freezes during a transaction and is replaced.

    When it resumes, it runs the requests it had received, but its log is discarded.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        node = deployment.nodes[0]
        token = begin(node)
        assert run(node, token, add("row", 1)).is_ok()
        former = deployment.find_primary()
        watch = node.groups.find("orders").components.watch
        deployment.group.admin(former, "freeze")
        if when == "before the commit":
            wait_until(
                deployment.runtime, lambda: watch.primary() not in (None, former)
            )
        outcome = outcome_of(commit(node, token, deadline_ms=5000))
        assert outcome == NOT_RUN
        deployment.group.admin(former, "thaw")
        wait_until(
            deployment.runtime,
            lambda: deployment.group.instance(former).term > 1,
        )
        deployment.group.wait_equal_logs(*NAMES)
        check_outcome(deployment, outcome, "row")
        token = begin(node)
        assert run(node, token, add("row", 1)).ok["value"] == 1
        assert commit(node, token).is_ok()


def test_transaction_on_former_primary():
    """A daemon that reaches only the former primary opens a transaction there.

    Its reads would lack the session's own writes.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        cut_off, other = deployment.ranked
        names = ["orders-2", "orders-3", other.name]
        deployment.group.admin("orders-1", "cut", names=names)
        for name in NAMES[1:]:
            cut_off.relays[name].refuse()
        server = other.groups.find("orders")
        wait_until(
            deployment.runtime,
            lambda: server.components.watch.primary() not in (None, "orders-1"),
        )
        other.groups.rank_daemons = lambda group: [other.name]
        session = other.send(statement=add("stock", 5)).ok["session"]
        token = cut_off.send("begin", session=session).ok["transaction"]
        result = cut_off.send(
            statement=get("stock"), transaction=token, session=session
        )
        assert result.error.code == Code.TRANSACTION_LOST
        check_pools(deployment)


# Answers to the right callers


@pytest.mark.parametrize("fault", ["cross", "delay", *FAULTS])
def test_answers_reach_their_own_callers(fault):
    """Answers are delayed, swapped, truncated or duplicated while many callers read.

    No caller may get the answer to another caller's request.
    """
    with open_deployment(2, statement_timeout_ms=60) as deployment:
        deployment.warm_up()
        rows = [f"row-{number}" for number in range(4)]
        node = deployment.ranked[0]
        for row in rows:
            assert node.send(statement=put(row, row)).is_ok()
        deployment.group.wait_equal_logs(*NAMES)

        def read_all(first: int) -> int:
            count = 0
            for step in range(40):
                row = rows[(first + step) % len(rows)]
                result = node.send(statement=get(row))
                if result.is_ok():
                    assert result.ok["value"] == row
                    count += 1
            return count

        readers = [deployment.runtime.start(read_all, first) for first in range(4)]
        for number in range(12):
            apply_fault(deployment, node, fault, NAMES[number % 3])
            deployment.runtime.sleep_ms(3)
        for reader in readers:
            assert reader.result() >= 30
        check_pools(deployment)


def apply_fault(deployment: Deployment, node: Node, fault: str, name: str) -> None:
    """Apply a fault to the next answer of an instance."""
    if fault == "cross":
        deployment.group.admin(name, "cross_answers", ops=["read"], count=1)
    elif fault == "delay":
        fields = {"ops": ["read"], "count": 1, "delay_ms": 80}
        deployment.group.admin(name, "delay_answers", **fields)
    else:
        node.relays[name].arm(fault)
        node.relays[name].release()


# With real processes


def test_killed_daemon_commits_nothing():
    """The daemon that holds a transaction is killed before the commit.

    The caller must learn that nothing was committed.
    """
    with open_runtime(task_limit=800) as runtime, Cluster(runtime, LAYOUT) as cluster:
        cluster.put_bundle()
        cluster.wait_ready(1)
        links = LinkPool(
            runtime, {n: cluster.addresses[n] for n in cluster.daemon_names}
        )
        settings = CallerSettings("till", "caterer", cluster.keys["caterer"])
        caller = Caller(runtime, settings, links)
        serving = find_serving(cluster)
        other = next(name for name in cluster.daemon_names if name != serving)
        token = caller.send({"group": "orders", "action": "begin"}, other).transaction
        changed_stock = caller.run("orders", add("stock", -1), other, transaction=token)
        assert changed_stock.value == -1
        cluster.kill(serving)
        commit_request = {"group": "orders", "action": "commit", "transaction": token}
        entry = caller.send({**commit_request, "idempotency_key": "sale-1"}, other)
        assert (entry.ran, entry.code) == (NOT_RUN, Code.TRANSACTION_LOST)
        assert caller.run("orders", get("stock"), other).value is None
        evidence = cluster.collect_evidence()
        assert run_checks(caller.record, evidence) == []
        links.close()


def open_transaction(cluster: Cluster, caller: Caller, daemon: str) -> str:
    """Open a transaction through `daemon` and run a statement; return its token."""
    begin = {"group": "orders", "action": "begin"}
    token = caller.send(begin, daemon).transaction
    changed_stock = caller.run("orders", add("stock", -1), daemon, transaction=token)
    assert changed_stock.value == -1
    return token


@pytest.mark.parametrize("victim", ["holder", "bystander"])
def test_commit_after_a_kill_reports_its_outcome(victim):
    """Guards against a wrong answer to a commit after a daemon was killed."""
    with open_runtime(task_limit=800) as runtime, Cluster(runtime, LAYOUT) as cluster:
        cluster.put_bundle()
        cluster.wait_ready(1)
        links = LinkPool(runtime, cluster.daemon_addresses)
        settings = CallerSettings("till", "caterer", cluster.keys["caterer"])
        caller = Caller(runtime, settings, links)
        through = cluster.daemon_names[0]
        token = open_transaction(cluster, caller, through)
        holder = holder_of(token)
        bystanders = set(cluster.daemon_names) - {holder}
        killed = holder if victim == "holder" else max(bystanders - {through})
        asked = through if through != killed else max(bystanders)
        cluster.kill(killed)
        commit_request = {"group": "orders", "action": "commit", "transaction": token}
        entry = caller.send({**commit_request, "idempotency_key": "sale-1"}, asked)
        outcome = (entry.ran, entry.code)
        stock = caller.run("orders", get("stock"), asked).value
        assert run_checks(caller.record, cluster.collect_evidence()) == []
        links.close()
    lost = (NOT_RUN, Code.TRANSACTION_LOST)
    expected = {"holder": (lost, None), "bystander": ((RAN, Code.OK), -1)}
    assert (outcome, stock) == expected[victim]


def test_transactions_while_everything_fails():
    """Transactions run while daemons die and freeze and the primary is replaced.

    Each must stand whole in one entry of the log, or nowhere, as its caller was told.
    """
    load = LoadSettings(
        rates={"caterer": 60.0},
        groups=("orders",),
        seed=7,
        duration_ms=6000,
        write_share=0.8,
        transaction_share=0.8,
    )
    with open_runtime(task_limit=800) as runtime, Cluster(runtime, LAYOUT) as cluster:
        run = run_and_break(cluster, load)
        assert run.struck >= 10
        assert run_checks(run.record, cluster.collect_evidence()) == []
        commits = [entry for entry in run.record if entry.action == "commit"]
        answered = [entry for entry in commits if entry.code >= 0]
        committed = sum(entry.ran == RAN for entry in answered)
        assert committed >= len(answered) * 0.9
        assert committed >= 20
