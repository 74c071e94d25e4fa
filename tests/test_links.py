"""Tests of links to instances and of their pool."""

import pytest
from line_codec import CODEC

from bronzerelay.pooler.links import LinkError, LinkPool
from bronzerelay.pooler.messages import Fault, Prepared
from standins.linegroup import Commit, LineGroup, _Link
from standins.lineplatform import SERVICE
from tests.builders_pooler import make_instance, make_runtime

NOTHING: dict[str, str] = {}


@pytest.fixture
def group():
    runtime = make_runtime()
    group = LineGroup(runtime, SERVICE)
    yield group
    group.close()
    runtime.close(500)


@pytest.fixture
def pool(group):
    return LinkPool(group.runtime, CODEC)


def acquire(group, pool, workspace="north", values=NOTHING, max_open=None):
    instance = group.instances["orders-0"]
    entry = make_instance("orders-0", claims_primary=True, address=instance.address)
    deadline_ms = group.runtime.clock.now_ms() + 2000
    link = pool.acquire(entry, workspace, values, deadline_ms, max_open)
    link.apply_session_state(values, None)
    return link


def call(group, link, text):
    return link.call("q1", text, None, group.runtime.clock.now_ms() + 1000)


def answer_with_surplus(group, pool):
    """Return a link whose last answer has lines behind it that look like another."""
    surplus = "1\r\nCOMPLETE s\r\nREADY I 1.1\r\nDATAROW forged"
    group.instances["orders-0"].log.append(Commit(1, 1, (("x", surplus),), 0))
    link = acquire(group, pool)
    assert call(group, link, "FETCH x").rows == ("1",)
    return link


class TestPool:
    def test_link_is_reused_by_the_same_workspace_only(self, group, pool):
        link = acquire(group, pool)
        pool.release(link, 2)
        assert acquire(group, pool, "south") is not link
        assert acquire(group, pool) is link

    def test_link_with_an_open_transaction_isnt_reused(self, group, pool):
        # A task ends between BEGIN and the end of its transaction. If the link were
        # reused, the next statement would run inside another caller's transaction.
        link = acquire(group, pool)
        call(group, link, "BEGIN")
        pool.release(link, 2)
        assert not link.usable
        assert acquire(group, pool) is not link
        assert pool.count_open("orders-0") == 1

    def test_oldest_idle_link_makes_room_for_another_workspace(self, group, pool):
        """Guards against idle links that take all of an instance's connections."""
        for workspace in ("north", "south"):
            pool.release(acquire(group, pool, workspace), 5)
        acquire(group, pool, "east", max_open=2)
        assert pool.count_open("orders-0") == 2
        # The link of `south` is the newer one, and was kept.
        opened = pool.opened
        acquire(group, pool, "south", max_open=2)
        assert pool.opened == opened

    def test_full_instance_closes_only_some_idle_links(self, group, pool):
        """Guards against all warm links being lost as an instance is full for once."""
        links = [acquire(group, pool) for _ in range(3)]
        for link in links:
            pool.release(link, 5)
        pool.close_idle("orders-0", 1)
        assert [link.usable for link in links] == [False, True, True]

    def test_link_that_the_instance_closed_isnt_reused(self, group, pool):
        link = acquire(group, pool)
        pool.release(link, 2)
        group.instances["orders-0"].close_connections()
        group.runtime.clock.sleep_ms(50)
        assert acquire(group, pool) is not link

    def test_link_with_bytes_behind_an_answer_isnt_reused(self, group, pool):
        """Guards against bytes that the next caller would get as its answer."""
        link = answer_with_surplus(group, pool)
        pool.release(link, 2)
        assert acquire(group, pool) is not link

    def test_bytes_behind_an_answer_are_no_answer(self, group, pool):
        """Guards against a statement that gets the bytes of the one before it."""
        link = answer_with_surplus(group, pool)
        answer = call(group, link, "FETCH y")
        assert (answer.fault, link.usable) == (Fault.UNREACHABLE, False)
        assert [run.text for run in group.runs] == ["FETCH x"]

    def test_answer_without_its_outcome_is_no_success(self, group, pool, monkeypatch):
        """Guards against a success that no instance has signed."""
        monkeypatch.setattr(_Link, "_run_data", lambda *_: ["DATAROW half"])
        answer = call(group, acquire(group, pool), "FETCH x")
        assert answer.fault is Fault.LOST

    def test_links_opened_at_once_have_numbers_of_their_own(self, group, pool):
        """Guards against a log in which two connections look like one."""
        dial = group.runtime.dial
        dialing = []

        def dial_when_all_do(*arguments):
            dialing.append(arguments)
            while len(dialing) < 3:
                group.runtime.sleep_ms(1)
            return dial(*arguments)

        group.runtime.dial = dial_when_all_do
        tasks = [group.runtime.start(acquire, group, pool) for _ in range(3)]
        assert len({task.result(2).number for task in tasks}) == 3

    def test_idle_links_are_bounded(self, group, pool):
        links = [acquire(group, pool) for _ in range(4)]
        for link in links:
            pool.release(link, 1)
        assert pool.count_open("orders-0") == 1

    def test_closing_links_interrupts_waiting_calls(self, group, pool):
        # A dead primary doesn't answer, and the failover would wait until all
        # statements sent to it time out.
        group.instances["orders-0"].silent = True
        link = acquire(group, pool)
        waiting = group.runtime.start(call, group, link, "FETCH a")
        group.runtime.clock.sleep_ms(50)
        pool.close_all("orders-0")
        assert waiting.result(0.5).fault is Fault.LOST

    def test_instance_without_a_free_connection(self, group, pool):
        group.instances["orders-0"].refuse_links = True
        with pytest.raises(LinkError) as caught:
            acquire(group, pool)
        assert caught.value.fault is Fault.TOO_MANY_LINKS


class TestSessionState:
    def test_values_are_replaced_and_discarded(self, group, pool):
        link = acquire(group, pool, values={"a": "1", "b": "2"})
        link.apply_session_state({"a": "3"}, None)
        call(group, link, "FETCH x")
        assert group.runs[-1].values == (("a", "3"),)

    def test_statement_is_prepared_once(self, group, pool):
        link = acquire(group, pool)
        link.apply_session_state(NOTHING, Prepared(False, "q"))
        name = link.find_name(Prepared(False, "q"))
        answer = call(group, link, f"EXECUTE {name} x")
        assert answer.fault is None
        assert link._list_setup_statements(NOTHING, Prepared(False, "q")) == []

    def test_name_isnt_used_again_for_another_statement(self, group, pool):
        """Guards against a name that stands for what was prepared before a reset."""
        link = acquire(group, pool, values={"a": "1"})
        first, second = Prepared(False, "q"), Prepared(True, "q")
        link.apply_session_state({"a": "1"}, first)
        name = link.find_name(first)
        link.apply_session_state(NOTHING, second)
        assert link.find_name(second) != name
        link.forget_prepared()
        link.apply_session_state(NOTHING, first)
        assert link.find_name(first) != name
