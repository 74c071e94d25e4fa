"""Tests of a group's writes at the daemon that serves it."""

from bronzerelay.codes import NOT_RUN, Code
from bronzerelay.retries import MAX_ATTEMPTS
from tests.builders_group import make_server, make_work
from tests.endpoints import add, open_group, put, wait_until
from tests.nodes import open_deployment

SERVICE_MS = 900


def test_a_busy_primary_is_asked_a_few_times_only():
    """Something beside the proxies holds the slots of the primary.

    Each write came back to ask every few milliseconds until its deadline, and the
    instance had more refusals to write than statements to run.
    """
    with open_group(slots=1, service_ms=SERVICE_MS) as group:
        server = make_server(group.runtime, group)
        link = group.link("orders-1")
        other = group.runtime.start(
            link.write, "north", 1, put("tray", 1), "other#1", SERVICE_MS * 5
        )
        wait_until(group.runtime, lambda: group.admin("orders-1", "status")["ok"])
        group.runtime.sleep_ms(50)
        server.components.budget.back_off = lambda tries, left_ms: pauses.append(tries)
        pauses = []
        result = server.write(make_work(group.runtime, add("count", 1)))
        assert (result.error.code, result.error.ran) == (Code.NO_PRIMARY, NOT_RUN)
        assert pauses == list(range(1, MAX_ATTEMPTS))
        assert other.result().is_ok()


def test_a_group_is_shown_by_the_daemon_that_serves_it_and_by_no_stand_in():
    """Guards against taking a daemon that stood in for the one that serves a group."""
    with open_deployment(3) as deployment:
        # Each daemon makes the group, as one does that stands in for another.
        deployment.warm_up()
        serving, *others = deployment.ranked
        shown = {node.name: list(node.groups.describe()) for node in deployment.nodes}
        assert shown == {serving.name: ["orders"], **{one.name: [] for one in others}}
        assert [one.groups.list_standby() for one in others] == [["orders"]] * 2
