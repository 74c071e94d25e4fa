"""Tests of a group at its serving daemon and at standbys."""

from bronzerelay.codes import NOT_RUN, Code
from bronzerelay.retries import MAX_ATTEMPTS
from tests.builders_group import make_server, make_work
from tests.endpoints import add, get, open_group, put, wait_until
from tests.nodes import open_deployment

SERVICE_MS = 900
# The writes that wait at each of two daemons, and how long one of them holds a slot.
QUEUED_WRITES = 25
SHARED_SERVICE_MS = 20


def test_a_write_to_a_busy_primary_is_retried_a_few_times_only():
    """Something other than the proxies occupies the slots of the primary.

    Each write was retried every few milliseconds until its deadline, and the instance
    sent more refusals than it ran statements.
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


def test_a_read_that_accepts_data_of_any_age_is_served():
    """Guards against a read that fails because no float holds its age."""
    with open_group() as group:
        server = make_server(group.runtime, group)
        work = make_work(group.runtime, get("tray"), max_age_ms=10**400)
        assert server.read(work).is_ok()


def test_two_daemons_that_serve_a_group_refuse_no_write_as_busy():
    """Guards against queues that are refused while another daemon uses the slots."""
    with open_group(slots=2, service_ms=SHARED_SERVICE_MS) as group:
        servers = [make_server(group.runtime, group, name) for name in ("vm-1", "vm-2")]
        writes = [
            group.runtime.start(server.write, make_work(group.runtime, add("count", 1)))
            for _ in range(QUEUED_WRITES)
            for server in servers
        ]
        refused = [
            write.result().error for write in writes if write.result().is_error()
        ]
        assert refused == []


def test_a_group_is_listed_by_its_serving_daemon_and_by_no_standby():
    """Guards against a status in which a standby looks like the serving daemon."""
    with open_deployment(3) as deployment:
        # Each daemon sets up the group, as a standby does.
        deployment.warm_up()
        serving, *others = deployment.ranked
        listed = {node.name: list(node.groups.describe()) for node in deployment.nodes}
        assert listed == {
            serving.name: ["orders"],
            **{node.name: [] for node in others},
        }
        assert [node.groups.list_standby() for node in others] == [["orders"]] * 2
