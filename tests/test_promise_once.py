"""Every change runs at most once, and what its caller was told about it is true."""

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
def test_answer_of_endpoint_lost(repeatable):
    """A connection breaks just before a write runs, or just after.

    The caller would send the order again and get it twice, or never again and lose
    it, if the daemon guessed.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        for before in (False, True):
            row = f"row-{before}"
            fault = {"ops": ["write"], "count": 1, "before": before}
            deployment.group.admin(primary, "drop_answers", **fault)
            result = send_add(deployment.ranked[0], row, repeatable=repeatable)
            lost = before and not repeatable
            assert outcome_of(result) == (NOT_RUN if lost else RAN)
            check_outcome(deployment, outcome_of(result), row)


@pytest.mark.parametrize("before", [False, True])
@pytest.mark.parametrize("settle_before", [False, True])
@pytest.mark.parametrize("repeatable", [False, True])
def test_answer_lost_while_finding_out(before, settle_before, repeatable):
    """The connection breaks again while the daemon finds out about a lost answer.

    A second guess would be as bad as the first.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        primary = deployment.find_primary()
        for ops, first in ((["write"], before), (["settle"], settle_before)):
            fault = {"ops": ops, "count": 1, "before": first}
            deployment.group.admin(primary, "drop_answers", **fault)
        result = send_add(deployment.ranked[0], "row", repeatable=repeatable)
        assert outcome_of(result) != UNKNOWN
        check_outcome(deployment, outcome_of(result), "row")


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("repeatable", [False, True])
def test_link_to_endpoint_cut(fault, repeatable):
    """The network between daemon and endpoint cuts a request or an answer anywhere.

    A request that is held up runs when nobody waits for it any more, unless it was
    given up on for good before its caller heard "not run".
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


# What requests and answers of an exchange with an endpoint hold, and no others.
EXCHANGES = {
    "write": (b'"op":"write"', b'"duplicate"'),
    "status": (b'"op":"status"', b'"role"'),
}


@pytest.mark.parametrize("exchange", EXCHANGES)
@pytest.mark.parametrize("fault", FAULTS)
def test_lost_connection_replaces_no_primary(fault, exchange):
    """Guards against taking one lost connection for the silence of its endpoint."""
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


@pytest.mark.parametrize("fault", [one for one in FAULTS if one != HOLD_REQUEST])
@pytest.mark.parametrize("repeatable", [False, True])
def test_link_between_daemons_cut(fault, repeatable):
    """The link between two daemons breaks around a forwarded write.

    The daemon that took the request can't see whether the serving one had begun.
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


def test_queued_work_of_a_peer_that_hung_up_takes_no_slot():
    """Guards against slots spent on writes that others find out about already."""
    with open_deployment(2, service_ms=100) as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        slots = serving.groups.find("orders").components.slots
        release = hold_all_slots(serving)
        sent = deployment.runtime.start(send_add, other, "row")
        wait_until(deployment.runtime, lambda: slots.count_waiting() == {WORKSPACE: 1})
        other.links.drop(serving.cutter.address)
        told = outcome_of(sent.result())
        release()
        wait_until_idle(deployment)
        check_outcome(deployment, told, "row")
        tried = [one.op for one in deployment.list_executions("write", "settle")]
        assert tried.count("write") == len(deployment.nodes)
        assert tried.count("settle") == 1


@pytest.mark.parametrize("key", ["", "order-7"])
@pytest.mark.parametrize("repeatable", [False, True])
def test_thawed_daemon_runs_nothing_given_up(key, repeatable):
    """The serving daemon freezes before it has read a request, and goes on later.

    Its peer finds out that the write hasn't run and tells the caller so. The thawed
    daemon then runs it: forty lunches that nobody ordered.
    """
    with open_deployment(3) as deployment:
        deployment.warm_up()
        serving = deployment.ranked[0]
        serving.cutter.arm(HOLD_REQUEST)
        result = send_add(deployment.ranked[1], "row", key=key, repeatable=repeatable)
        told = outcome_of(result)
        assert told == (RAN if repeatable else NOT_RUN)
        count = len(deployment.list_executions("write"))
        serving.cutter.release()
        wait_until(
            deployment.runtime,
            lambda: len(deployment.list_executions("write")) > count,
        )
        wait_until_idle(deployment)
        check_outcome(deployment, told, "row")


def test_giving_up_needs_a_majority():
    """A write is given up on at a primary that its replicas can't reach any more.

    The next primary knows nothing of it. There the daemon that had frozen with the
    write in hand would run it, after its caller had heard "not run".
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        first_primary, *replicas = NAMES
        deployment.group.admin(first_primary, "cut", names=replicas)
        serving.cutter.arm(HOLD_REQUEST)
        told = outcome_of(send_add(other, "row", deadline_ms=5000))
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
        assert told == NOT_RUN
        check_outcome(deployment, told, "row")


def test_late_finder_repeats_nothing():
    """Two daemons find out about one lost write, one long after the other.

    The first gives it up, and the caller hears "not run". The second, frozen since it
    sent the write, must not take its turn to repeat it.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        first, late = deployment.ranked
        work = make_work(first, add("row", 1), "request-1")
        told = outcome_of(first.kernel.run_here(work, settle=True))
        assert told == NOT_RUN
        again = make_work(late, add("row", 1), "request-1", repeatable=True)
        assert outcome_of(late.groups.find("orders").settle(again, 1)) == NOT_RUN
        check_outcome(deployment, told, "row")


@pytest.mark.parametrize("first_repeats", [False, True])
def test_two_daemons_settle_together(first_repeats):
    """A peer link and the link to the endpoint break at once.

    Two daemons find out about the same write, and one of them may send it again.
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
            told = [outcome_of(future.result()) for future in futures]
            effects = deployment.count_writes(row)
            assert effects <= 1
            # Whoever said "not run" had seen each number given up that was tried.
            if effects:
                assert RAN in told
            else:
                assert told == [NOT_RUN, NOT_RUN]


def test_unknown_group_is_not_proof_of_not_run():
    """The daemon that should find out about a lost write lacks the configuration.

    It refuses because it doesn't know the group. That says nothing about the write.
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
    """A daemon thaws and finds that its peer's answer to a read never came.

    A read has no effect, so its caller may send it again without a second thought.
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
    """The primary freezes with a write in hand, is replaced, and goes on later.

    It then runs the write into its own log. Were that log to count, the order would
    be there twice, or after its caller had heard "not run".
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


# The same change sent several times


def test_same_key_through_all_daemons_at_once():
    """A caller loses patience and sends the same refund through every daemon.

    Connections to the endpoint break meanwhile, before and after the effect. Two
    effects would pay the refund out twice.
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
            told = [outcome_of(future.result()) for future in futures]
            effects = deployment.count_writes(row)
            assert effects <= 1
            assert UNKNOWN not in told
            assert (RAN in told) == (effects == 1), (told, effects)


def test_key_given_up_stays_given_up():
    """A refund was given up on, and its caller sends it again under the same key.

    The daemon can't tell this request from one that a frozen daemon still holds, so
    it says that nothing ran and asks for a new key. With that the refund runs.
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


def test_key_answers_the_recorded_result():
    """A caller that lost its answer sends the refund again through another daemon."""
    with open_deployment() as deployment:
        deployment.warm_up()
        first, second = deployment.nodes
        assert send_add(first, "row", key="refund-1").ok["value"] == 1
        again = send_add(second, "row", key="refund-1").ok
        assert (again["value"], again["duplicate"]) == (1, True)
        check_outcome(deployment, RAN, "row")


# Retries


def test_not_repeatable_is_sent_once():
    """Answers get lost again and again, each before its write ran.

    A request that may not be repeated must reach an endpoint under one name only.
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
    """Every instance refuses all work, while callers go on sending.

    Each layer that retried by itself would multiply the work of the failing group.
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
        sent = sum(len(one) for one in tries)
        # The serving daemon and the one that took the request may each add a fifth,
        # and what their budgets hold at the start.
        assert total <= sent <= total * 1.5 + 130


def count_tries(node: Node) -> list[str]:
    """Return a list to which each try at an endpoint adds its name."""
    server = node.groups.find("orders")
    wait_until(node.runtime, server.components.watch.primary)
    tries = []
    run_at = server._instances.run_at

    def note_and_run(name, call):
        tries.append(name)
        return run_at(name, call)

    server._instances.run_at = note_and_run
    return tries


def send_refused(node: Node, count: int) -> None:
    """Send reads and writes by turns, none of which can run."""
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


def test_load_while_everything_fails():
    """Under load the serving daemon dies, the primary freezes and is replaced, the
    next serving daemon freezes, and callers lose their connections all the while.

    Whatever a caller was told must agree with what the group holds at the end. Hardly
    anybody should be left without knowing.
    """
    with open_runtime(task_limit=800) as runtime, Cluster(runtime, LAYOUT) as cluster:
        run = run_and_break(cluster, LOAD)
        assert run.struck >= 10
        assert run_checks(run.record, cluster.collect_evidence()) == []
        assert check_all_answered(run.record, run.cut_off) == []
        unknown = [one for one in run.record if one.code == Code.OUTCOME_UNKNOWN]
        assert len(unknown) <= len(run.record) * 0.01
        ran = sum(entry.ran == RAN for entry in run.record)
        assert ran >= (run.scheduled - run.struck) * 0.9
