"""Every write runs at most once, and the answer that its caller gets is true."""

import pytest

from bronzerelay.codes import NOT_RUN, RAN, UNKNOWN, Code
from bronzerelay.watch import ANSWER_MARGIN_MS
from standins.checks import check_all_answered, run_checks
from standins.cluster import Cluster
from standins.faultrelay import (
    CUT_HALF_REPLY,
    CUT_HALF_REQUEST,
    CUT_REPLY,
    CUT_REQUEST,
    HOLD_REQUEST,
    REPEAT_REPLY,
    REQUEST_FAULTS,
)
from standins.schedule import LoadSettings
from tests.breakages import LAYOUT, run_and_break
from tests.endpoints import NAMES, add, get, open_runtime, wait_until
from tests.nodes import (
    WORKSPACE,
    Node,
    check_outcome,
    hold_all_slots,
    make_work,
    open_deployment,
    outcome_of,
    wait_until_idle,
)

FAULTS = (
    CUT_REQUEST,
    CUT_HALF_REQUEST,
    CUT_REPLY,
    CUT_HALF_REPLY,
    REPEAT_REPLY,
    HOLD_REQUEST,
)


def send_add(node: Node, row: str, **fields):
    return node.send(statement=add(row, 1), **fields)


# Answers lost between a daemon and an endpoint


@pytest.mark.parametrize("repeatable", [False, True])
def test_lost_answer_of_an_endpoint(repeatable):
    """A connection is lost just before a write runs, or just after.

    If the daemon guessed the outcome, the caller could repeat a write that ran, or not
    repeat one that was lost.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        for before in (False, True):
            row = f"row-{before}"
            fault = {"ops": ["write"], "count": 1, "before": before}
            deployment.group.admin(primary, "drop_answers", **fault)
            result = send_add(deployment.ranked[0], row, repeatable=repeatable)
            cancelled = before and not repeatable
            assert outcome_of(result) == (NOT_RUN if cancelled else RAN)
            check_outcome(deployment, outcome_of(result), row)


@pytest.mark.parametrize("before", [False, True])
@pytest.mark.parametrize("settle_before", [False, True])
@pytest.mark.parametrize("repeatable", [False, True])
def test_answer_lost_while_settling(before, settle_before, repeatable):
    """The connection is lost again while the daemon settles a write.

    Guards against a guess of the outcome at the second loss.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        for ops, drop_before in ((["write"], before), (["settle"], settle_before)):
            fault = {"ops": ops, "count": 1, "before": drop_before}
            deployment.group.admin(primary, "drop_answers", **fault)
        result = send_add(deployment.ranked[0], "row", repeatable=repeatable)
        assert outcome_of(result) != UNKNOWN
        check_outcome(deployment, outcome_of(result), "row")


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("repeatable", [False, True])
def test_cut_link_to_an_endpoint(fault, repeatable):
    """The network between a daemon and an endpoint cuts a request or an answer.

    A delayed request runs when nobody waits for it any more, unless it was cancelled
    before its caller got the answer "not run".
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        relay = deployment.ranked[0].relays[deployment.find_primary()]
        relay.arm(fault)
        result = send_add(deployment.ranked[0], "row", repeatable=repeatable)
        assert relay.struck == 1
        relay.release()
        assert send_add(deployment.ranked[0], "other").is_ok()
        assert outcome_of(result) != UNKNOWN
        check_outcome(deployment, outcome_of(result), "row")


# The bytes that identify the request and the answer of an exchange with an endpoint.
EXCHANGES = {
    "write": (b'"op":"write"', b'"duplicate"'),
    "status": (b'"op":"status"', b'"role"'),
}


@pytest.mark.parametrize("exchange", EXCHANGES)
@pytest.mark.parametrize("fault", FAULTS)
def test_lost_connection_replaces_no_primary(fault, exchange):
    """Guards against a failover due to a single lost connection to the primary."""
    with open_deployment() as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        relay = deployment.ranked[0].relays[primary]
        watch = deployment.ranked[0].groups.find("orders").components.watch
        relay.arm(fault, EXCHANGES[exchange][fault not in REQUEST_FAULTS])
        result = send_add(deployment.ranked[0], "row")
        wait_until(deployment.runtime, lambda: relay.struck == 1)
        relay.release()
        assert send_add(deployment.ranked[0], "other").is_ok()
        deployment.runtime.sleep_ms(2 * ANSWER_MARGIN_MS)
        assert (deployment.find_primary(), watch.highest_term()) == (primary, 1)
        assert outcome_of(result) != UNKNOWN
        check_outcome(deployment, outcome_of(result), "row")


# Answers lost between daemons


@pytest.mark.parametrize("fault", [fault for fault in FAULTS if fault != HOLD_REQUEST])
@pytest.mark.parametrize("repeatable", [False, True])
def test_cut_link_between_daemons(fault, repeatable):
    """The link between two daemons is lost during a forwarded write.

    The forwarding daemon can't know whether the serving daemon has started the write.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        count = len(deployment.list_executions("write"))
        cutter = deployment.ranked[0].cutter
        cutter.arm(fault)
        result = send_add(deployment.ranked[1], "row", repeatable=repeatable)
        assert cutter.struck == 1
        assert outcome_of(result) != UNKNOWN
        wait_until_idle(deployment)
        sent = len(deployment.list_executions("write")) - count
        assert sent <= 1 + repeatable
        check_outcome(deployment, outcome_of(result), "row")


def test_lost_reply_moves_no_group():
    """Guards against two daemons that serve one group after a single lost reply."""
    with open_deployment(3) as deployment:
        deployment.warm_up()
        serving, other, _ = deployment.ranked
        names = [node.name for node in deployment.ranked]
        serving.cutter.arm(CUT_REPLY)
        assert outcome_of(send_add(other, "row")) == RAN
        assert serving.cutter.struck == 1
        assert list(other.groups.rank_daemons("orders")) == names
        lists = [list(node.groups.describe()) for node in deployment.ranked]
        assert lists == [["orders"], [], []]


def test_queued_work_of_a_closed_peer_link_takes_no_slot():
    """Guards against slots spent on writes that another daemon already settles."""
    with open_deployment(2, service_ms=100) as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        slots = serving.groups.find("orders").components.slots
        release = hold_all_slots(serving)
        sent = deployment.runtime.start(send_add, other, "row")
        wait_until(deployment.runtime, lambda: slots.count_waiting() == {WORKSPACE: 1})
        other.links.drop(serving.cutter.address)
        outcome = outcome_of(sent.result())
        release()
        wait_until_idle(deployment)
        check_outcome(deployment, outcome, "row")
        ops = [run.op for run in deployment.list_executions("write", "settle")]
        assert ops.count("write") == len(deployment.nodes)
        assert ops.count("settle") == 1


@pytest.mark.parametrize("key", ["", "order-7"])
@pytest.mark.parametrize("repeatable", [False, True])
def test_thawed_daemon_runs_no_cancelled_write(key, repeatable):
    """The serving daemon freezes before it has read a request, and resumes later.

    Its peer cancels the write and answers "not run". The thawed daemon must not run it.
    """
    with open_deployment(3) as deployment:
        deployment.warm_up()
        serving = deployment.ranked[0]
        serving.cutter.arm(HOLD_REQUEST)
        result = send_add(deployment.ranked[1], "row", key=key, repeatable=repeatable)
        outcome = outcome_of(result)
        assert outcome == (RAN if repeatable else NOT_RUN)
        count = len(deployment.list_executions("write"))
        serving.cutter.release()
        wait_until(
            deployment.runtime,
            lambda: len(deployment.list_executions("write")) > count,
        )
        wait_until_idle(deployment)
        check_outcome(deployment, outcome, "row")


def test_cancelling_needs_a_majority():
    """A write is cancelled on a primary that its replicas can't reach any more.

    The next primary lacks the cancellation. A daemon that was frozen with the write
    would run it there after its caller got the answer "not run".
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        first_primary, *replicas = NAMES
        deployment.group.admin(first_primary, "cut", names=replicas)
        serving.cutter.arm(HOLD_REQUEST)
        outcome = outcome_of(send_add(other, "row", deadline_ms=5000))
        watch = serving.groups.find("orders").components.watch
        wait_until(
            deployment.runtime, lambda: watch.primary() not in (None, first_primary)
        )
        count = len(deployment.list_executions("write"))
        serving.cutter.release()
        wait_until(
            deployment.runtime,
            lambda: len(deployment.list_executions("write")) > count,
        )
        wait_until_idle(deployment)
        assert outcome == NOT_RUN
        check_outcome(deployment, outcome, "row")


def test_late_settling_daemon_repeats_nothing():
    """Two daemons settle the same lost write, one long after the other.

    The first one cancels it, and the caller gets the answer "not run". The second one,
    frozen since it sent the write, must not repeat it.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        first, late = deployment.ranked
        work = make_work(first, add("row", 1), "request-1")
        outcome = outcome_of(first.kernel.run_here(work, settle=True))
        assert outcome == NOT_RUN
        again = make_work(late, add("row", 1), "request-1", repeatable=True)
        assert outcome_of(late.groups.find("orders").settle(again, 1)) == NOT_RUN
        check_outcome(deployment, outcome, "row")


@pytest.mark.parametrize("first_repeats", [False, True])
def test_two_daemons_settle_together(first_repeats):
    """A peer link and the link to the endpoint are lost at the same time.

    Two daemons settle the same write, and one of them may send it again.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        for number in range(10):
            row = f"row-{number}"
            futures = [
                deployment.runtime.start(
                    node.kernel.run_here,
                    make_work(node, add(row, 1), row, repeatable=first_repeats),
                    True,
                )
                for node in deployment.nodes
            ]
            outcomes = [outcome_of(future.result()) for future in futures]
            effects = deployment.count_writes(row)
            assert effects <= 1
            # A daemon that answers "not run" has seen all attempts so far cancelled.
            if effects:
                assert RAN in outcomes
            else:
                assert outcomes == [NOT_RUN, NOT_RUN]


def test_unknown_group_is_not_proof_of_not_run():
    """The daemon that has to settle a lost write lacks the configuration.

    It refuses because it doesn't know the group. That doesn't prove that the write
    hasn't run.
    """
    with open_deployment(2) as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        other.groups.set_configuration(
            other.store.current._replace(groups={}),
        )
        serving.cutter.arm(CUT_REPLY)
        result = send_add(other, "row")
        wait_until_idle(deployment)
        assert deployment.count_writes("row") == 1
        assert outcome_of(result) != NOT_RUN


def test_lost_read_has_not_run():
    """The answer of a peer to a read is lost.

    A read has no effect, so the answer must be "not run" and let the caller retry.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        other.groups.rank_daemons = lambda group: [serving.name]
        serving.cutter.arm(CUT_REPLY)
        result = other.send(statement=get("row"))
        assert (outcome_of(result), result.error.code) == (
            NOT_RUN,
            Code.PEER_UNREACHABLE,
        )


@pytest.mark.parametrize("repeatable", [False, True])
def test_primary_freezes_with_a_write(repeatable):
    """The primary freezes with an unread write, is replaced, and resumes later.

    It then appends the write to its own log. If that log counted, the write would have
    run twice, or after its caller got the answer "not run".
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        former = deployment.find_primary()
        deployment.group.admin(former, "freeze")
        node = deployment.nodes[0]
        result = send_add(node, "row", repeatable=repeatable, deadline_ms=5000)
        assert outcome_of(result) == (RAN if repeatable else NOT_RUN)
        deployment.group.admin(former, "thaw")
        instance = deployment.group.instance(former)
        wait_until(deployment.runtime, lambda: instance.term > 1)
        deployment.group.wait_equal_logs(*NAMES)
        check_outcome(deployment, outcome_of(result), "row")


# The same write sent several times


def test_same_key_through_all_daemons_at_once():
    """A caller sends the same write with the same key through every daemon at once.

    Meanwhile connections to the endpoint are lost before and after the write runs. It
    must run at most once.
    """
    with open_deployment(3, service_ms=2) as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        for number in range(12):
            row, key = f"row-{number}", f"refund-{number}"
            fault = {"ops": ["write"], "count": number % 3, "before": number % 2 == 0}
            deployment.group.admin(primary, "drop_answers", **fault)
            futures = [
                deployment.runtime.start(
                    lambda node=node, row=row, key=key: send_add(node, row, key=key)
                )
                for node in deployment.nodes
            ]
            outcomes = [outcome_of(future.result()) for future in futures]
            effects = deployment.count_writes(row)
            assert effects <= 1
            assert UNKNOWN not in outcomes
            assert (RAN in outcomes) == (effects == 1), (outcomes, effects)


def test_cancelled_key_stays_cancelled():
    """A write was cancelled, and its caller sends it again with the same key.

    The daemon can't distinguish this request from one that a frozen daemon still holds,
    so it answers "not run" and requires a new key. With that the write runs.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        fault = {"ops": ["write"], "count": 1, "before": True}
        deployment.group.admin(deployment.find_primary(), "drop_answers", **fault)
        first, second = deployment.nodes
        assert outcome_of(send_add(first, "row", key="refund-1")) == NOT_RUN
        again = send_add(second, "row", key="refund-1")
        assert again.error.code == Code.IDEMPOTENCY_CONFLICT
        assert deployment.count_writes("row") == 0
        assert send_add(second, "row", key="refund-2").is_ok()
        check_outcome(deployment, RAN, "row")


def test_repeated_key_returns_the_recorded_result():
    """A caller that lost its answer sends the write again through another daemon."""
    with open_deployment() as deployment:
        deployment.warm_up()
        first, second = deployment.nodes
        assert send_add(first, "row", key="refund-1").ok["value"] == 1
        again = send_add(second, "row", key="refund-1").ok
        assert (again["value"], again["duplicate"]) == (1, True)
        check_outcome(deployment, RAN, "row")


# Retries


def test_not_repeatable_is_sent_once():
    """The answers to many writes are lost after the writes have run.

    A request that isn't repeatable must be sent to an endpoint only once.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        count = len(deployment.list_executions("write"))
        fault = {"ops": ["write"], "count": 100, "before": False}
        deployment.group.admin(deployment.find_primary(), "drop_answers", **fault)
        for number in range(20):
            assert (
                outcome_of(send_add(deployment.nodes[number % 2], f"row-{number}"))
                == RAN
            )
        assert len(deployment.list_executions("write")) == count + 20


def test_retries_stay_within_budget():
    """Every instance refuses all work, while callers keep sending.

    Retries at several layers must not multiply the load of the failing group.
    """
    requests = 140
    with open_deployment(3, slots=0) as deployment:
        tries = [count_tries(node) for node in deployment.nodes]
        futures = [
            deployment.runtime.start(send_refused, node, requests)
            for node in deployment.nodes
        ]
        for future in futures:
            future.result()
        total = 3 * requests
        sent = sum(len(names) for names in tries)
        # The serving daemon and the forwarding daemon may each add a fifth, and the
        # initial retries of their budgets.
        assert total <= sent <= total * 1.5 + 130


def count_tries(node: Node) -> list[str]:
    """Return a list to which each call to an endpoint adds the endpoint's name."""
    server = node.groups.find("orders")
    wait_until(node.runtime, server.components.watch.primary)
    tries = []
    run_at = server._instances.run_at

    def record_and_run(name, call):
        tries.append(name)
        return run_at(name, call)

    server._instances.run_at = record_and_run
    return tries


def send_refused(node: Node, count: int) -> None:
    """Send reads and writes in turn, none of which can run."""
    for number in range(count):
        result = node.send(statement=get("row") if number % 2 else add("row", 1))
        assert outcome_of(result) == NOT_RUN
        assert result.error.retry_after_ms > 0


# The whole path, as processes

LOAD = LoadSettings(
    rates={"caterer": 150.0},
    groups=("orders",),
    seed=5,
    duration_ms=6000,
    write_share=0.6,
    once_share=0.5,
)


def test_load_with_concurrent_failures():
    """Under load the serving daemon is killed, the primary freezes and is replaced,
    the next serving daemon freezes, and callers lose their connections.

    The answers that callers got must agree with the group's data at the end, and at
    most 1 % of the outcomes may be unknown.
    """
    with open_runtime(task_limit=800) as runtime, Cluster(runtime, LAYOUT) as cluster:
        run = run_and_break(cluster, LOAD)
        assert run.struck >= 10
        assert run_checks(run.record, cluster.collect_evidence()) == []
        assert check_all_answered(run.record, run.cut_off) == []
        unknown = [entry for entry in run.record if entry.code == Code.OUTCOME_UNKNOWN]
        assert len(unknown) <= len(run.record) * 0.01
        ran = sum(entry.ran == RAN for entry in run.record)
        assert ran >= (run.scheduled - run.struck) * 0.9
