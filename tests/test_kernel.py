"""Tests of the kernel: the log lines of a request."""

import logging

import pytest

from tests.endpoints import get
from tests.nodes import KEY, WORKSPACE, open_deployment

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
