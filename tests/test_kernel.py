"""Tests of the kernel: what a request leaves behind on its way."""

import logging

import pytest

from tests.endpoints import get
from tests.nodes import KEY, WORKSPACE, open_deployment

REQUEST_ID = "till-7"


class Keeper(logging.Handler):
    """Keeps the records that it is given."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@pytest.fixture
def kept():
    """Give the records of the kernel's log, the detailed ones too."""
    logger = logging.getLogger("bronzerelay.kernel")
    keeper = Keeper()
    level = logger.level
    logger.addHandler(keeper)
    logger.setLevel(logging.DEBUG)
    yield keeper.records
    logger.setLevel(level)
    logger.removeHandler(keeper)


def test_a_request_id_follows_a_request_across_daemons(kept):
    """A caller reports an id, and operators look for it in the logs of two daemons.

    Without it in both, nobody finds which daemon served the request.
    """
    with open_deployment() as deployment:
        deployment.warm_up()
        _, other = deployment.ranked
        request = {"group": "orders", "statement": get("row")}
        answer = other.kernel.run_statement(WORKSPACE, KEY, request, REQUEST_ID)
        assert answer.is_ok()
    ids = [getattr(record, "request_id", "") for record in kept]
    assert ids.count(REQUEST_ID) == 2
