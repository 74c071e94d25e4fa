"""Tests of the kernel: the log lines of a request, and requests while isolated."""

import logging

import pytest

from bronzerelay.codes import Code
from bronzerelay.kernel import ISOLATION_WAIT_MS
from bronzerelay.refusallog import PERIOD_MS, WORKSPACE_LINES
from tests.endpoints import get, put
from tests.nodes import (
    KEY,
    WORKSPACE,
    hold_all_slots,
    open_deployment,
    wait_until_idle,
)

REQUEST_ID = "till-7"


class RecordingHandler(logging.Handler):
    """Collects the log records that it handles."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@pytest.fixture
def records():
    """Yield the records of the kernel's log, debug records included."""
    logger = logging.getLogger("bronzerelay.kernel")
    handler = RecordingHandler()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    yield handler.records
    logger.setLevel(level)
    logger.removeHandler(handler)


def test_a_request_id_follows_a_request_across_daemons(records):
    """Guards against a forwarded request whose id is missing in a daemon's log.

    Operators search the logs for the id that a caller reports, to find the daemon that
    served the request.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        _, other = deployment.ranked
        request = {"group": "orders", "statement": get("row")}
        answer = other.kernel.run_statement(WORKSPACE, KEY, request, REQUEST_ID)
        assert answer.is_ok()
    ids = [getattr(record, "request_id", "") for record in records]
    assert ids.count(REQUEST_ID) == 2


def test_a_refusal_is_logged_with_what_decided_it(records):
    """Guards against a refused request whose cause can't be found by its id."""
    with open_deployment() as deployment:
        deployment.warm_up()
        serving, other = deployment.ranked
        release = hold_all_slots(serving)
        request = {"group": "orders", "statement": put("row", 1), "deadline_ms": 50}
        answer = other.kernel.run_statement(WORKSPACE, KEY, request, REQUEST_ID)
        release()
        assert answer.error.code == Code.DEADLINE_PASSED
        wait_until_idle(deployment)
    lines = [record for record in records if "refused" in record.msg]
    assert {line.request_id for line in lines} == {REQUEST_ID}
    forwarded = next(line for line in lines if "forwarded" in line.msg)
    assert forwarded.code == Code.DEADLINE_PASSED
    assert forwarded.served_by == serving.name
    assert forwarded.in_use == 3
    assert any("caller" in line.msg for line in lines)


def test_callers_without_a_key_use_up_few_lines_of_the_log(records):
    """Guards against invented names of workspaces that crowd out other refusals."""
    with open_deployment(1) as deployment:
        deployment.warm_up()
        (node,) = deployment.nodes
        clock = deployment.runtime.clock
        began_ms = clock.now_ms()
        request = {"group": "orders", "statement": get("row")}
        for number in range(20 * WORKSPACE_LINES):
            answer = node.kernel.run_statement(f"{number}", "no key", request, "id")
            assert not answer.is_ok()
        periods = (clock.now_ms() - began_ms) // PERIOD_MS + 2
    lines = [record for record in records if "refused" in record.msg]
    assert len(lines) <= periods * WORKSPACE_LINES


def test_a_request_after_a_pause_waits_for_the_next_heartbeats(monkeypatch):
    """Guards against refusals by a daemon that hears of its peers a moment later."""
    with open_deployment(1) as deployment:
        deployment.warm_up()
        (node,) = deployment.nodes
        clock = deployment.runtime.clock
        heard_ms = clock.now_ms() + ISOLATION_WAIT_MS / 4
        monkeypatch.setattr(
            node.membership, "is_isolated", lambda: clock.now_ms() < heard_ms
        )
        assert node.send(statement=get("row")).is_ok()


def test_a_daemon_that_stays_isolated_refuses_at_once(monkeypatch):
    """Guards against requests that wait for a certain refusal."""
    with open_deployment(1) as deployment:
        deployment.warm_up()
        (node,) = deployment.nodes
        monkeypatch.setattr(node.membership, "is_isolated", lambda: True)
        assert node.send(statement=get("row")).error.code == Code.ISOLATED
        begun_ms = deployment.runtime.clock.now_ms()
        assert node.send(statement=get("row")).error.code == Code.ISOLATED
        assert deployment.runtime.clock.now_ms() - begun_ms < ISOLATION_WAIT_MS / 2
