"""Tests of the endpoints' dialect."""

import pytest

from bronzerelay import dialect, registry
from bronzerelay.runtime import Address
from tests.endpoints import (
    TIMEOUT_MS,
    get,
    make_spec,
    open_group,
    open_runtime,
    open_scripted_endpoint,
    put,
    wait_until,
)

T = TIMEOUT_MS
SHORT_MS = 100
SOUND = b'{"id":2,"ok":true,"value":7,"log_term":1,"position":3}\n'


def read(link, timeout_ms=T):
    return link.read("kitchens", get("tray"), timeout_ms)


def check_lost(link, result):
    assert (result.error.kind, result.error.may_have_run) == (dialect.LOST, True)
    assert link.closed
    again = read(link).error
    assert (again.kind, again.may_have_run) == (dialect.UNREACHABLE, False)


def test_each_op_gets_its_typed_answer():
    with open_group() as group:
        monitor, link = group.link("orders-1", "monitor"), group.link("orders-1")
        assert link.instance == "orders-1"
        assert registry.find(registry.DIALECT, "json-lines") is dialect.open_link
        assert monitor.fence(5, T).ok == dialect.FenceAnswer(5, 1, 1)
        assert monitor.promote(5, T).ok == dialect.PromoteAnswer(5, 2)
        assert monitor.status(0, 0, T, T).ok == dialect.StatusAnswer(5, "primary", 5, 2)
        written = link.write("kitchens", 5, put("tray", 7), "w1", T).ok
        assert written == dialect.WriteAnswer(7, 5, 3, False)
        assert read(link).ok == dialect.ReadAnswer(7, 5, 3)
        settled = link.settle(5, "w1", T).ok
        assert settled == dialect.SettleAnswer("ran", 7, 5, 3, True)
        assert link.begin("kitchens", 5, T).is_ok() and link.in_transaction
        assert link.rollback(T).is_ok() and not link.in_transaction
        assert link.begin("kitchens", 5, T).is_ok()
        assert link.commit(5, "c1", T).ok == dialect.CommitAnswer(5, 4, False)
        assert not link.in_transaction
        follower = group.link("orders-2", "monitor")
        primary = str(group.servers["orders-1"].address)
        assert follower.follow(5, primary, T).ok == dialect.FollowAnswer(5)


def test_a_refusal_names_the_term_and_leaves_the_link_open():
    """A daemon that learned of a new term too late writes with the old one. The
    write did not run, and the term in the answer says what to use.
    """
    with open_group() as group:
        group.link("orders-2", "monitor").fence(6, T)
        link = group.link("orders-2")
        error = link.write("kitchens", 1, put("tray", 1), "w1", T).error
        assert (error.kind, error.term, error.may_have_run) == ("not_primary", 6, False)
        assert read(link).is_ok()


def test_a_conflict_ends_the_transaction_and_busy_does_not():
    """A commit is refused. After a conflict nothing is open on the link; after
    `busy` the transaction still is, and a lender must not get the link.
    """
    with open_group(slots=1) as group:
        link, other = group.link("orders-1"), group.link("orders-1")
        link.begin("kitchens", 1, T)
        read(link)
        other.write("shops", 1, put("tray", 1), "w1", T)
        instance = group.instance("orders-1")
        with instance.condition:
            instance.slots_used += 1
        assert link.commit(1, "c1", T).error.kind == "busy"
        assert link.in_transaction
        with instance.condition:
            instance.slots_used -= 1
        assert link.commit(1, "c1", T).error.kind == "conflict"
        assert not link.in_transaction


def test_a_crossed_answer_never_reaches_the_request():
    """The endpoint answers with the id and value of the request before. A caller
    who got it would read another workspace's row.
    """
    with open_group() as group:
        link = group.link("orders-1")
        link.write("shops", 1, put("secret", "theirs"), "w1", T)
        group.admin("orders-1", "cross_answers", ops=["read"], count=1)
        check_lost(link, read(link))


def test_a_late_answer_never_reaches_the_next_request():
    """An answer comes after its timeout. The link is closed, so that the next
    request can't take it for its own.
    """
    with open_group() as group:
        group.admin(
            "orders-1", "delay_answers", ops=["read"], count=1, delay_ms=2 * SHORT_MS
        )
        link = group.link("orders-1")
        check_lost(link, read(link, SHORT_MS))


def test_an_answer_that_arrives_unasked_is_found_before_the_next_request():
    """An answer is sent twice and the second one waits on an idle link. The next
    request is not sent at all, so "not run" is certain.
    """
    asked = []
    sent = []

    def reply(connection, line):
        asked.append(line)
        connection.send(SOUND)
        runtime.sleep_ms(SHORT_MS)
        connection.send(SOUND)
        sent.append(SOUND)

    with open_scripted_endpoint(reply) as (runtime, link):
        assert read(link).ok.value == 7
        wait_until(runtime, lambda: sent)
        error = read(link).error
        assert (error.kind, error.may_have_run) == (dialect.UNREACHABLE, False)
        assert len(asked) == 1


@pytest.mark.parametrize("pause_ms", [0, SHORT_MS])
def test_an_answer_that_comes_again_leaves_the_next_request_in_no_doubt(pause_ms):
    """Guards against taking a repeated answer for that of the request under way."""
    asked = []

    def reply(connection, line):
        asked.append(line)
        if len(asked) == 2:
            connection.send(SOUND)
            runtime.sleep_ms(pause_ms)
        answer_id = b'"id":%d' % (len(asked) + 1)
        connection.send(SOUND.replace(b'"id":2', answer_id))

    with open_scripted_endpoint(reply) as (runtime, link):
        assert read(link).ok.value == 7
        assert read(link).ok.value == 7
        assert len(asked) == 2
        assert not link.is_usable()


@pytest.mark.parametrize(
    "answer",
    [
        SOUND + SOUND,
        SOUND[:-1],
        SOUND[:20],
        b"\xff\n",
        b"[]\n",
        b'{"ok":true,"value":7,"log_term":1,"position":3}\n',
        b'{"id":1,"ok":true,"value":7,"log_term":1,"position":3}\n',
        b'{"id":3,"ok":true,"value":7,"log_term":1,"position":3}\n',
        b'{"id":2,"ok":true,"value":7,"log_term":"1","position":3}\n',
        b'{"id":2,"ok":true,"value":7,"log_term":1}\n',
        b'{"id":2,"ok":false}\n',
    ],
)
def test_an_unsound_answer_closes_the_link(answer):
    """An answer is doubled, cut short, garbled, or belongs to another request.
    The caller is told that the request may have run and nothing of the answer.
    """

    def reply(connection, line):
        connection.send(answer)
        connection.close()

    with open_scripted_endpoint(reply) as (_, link):
        check_lost(link, read(link))


def test_bytes_that_trickle_in_do_not_stretch_the_timeout():
    """The endpoint sends a byte now and then and never a whole answer. The caller
    still gets an answer at the timeout, not minutes later.
    """
    sent = []

    def reply(connection, line):
        while runtime.sleep_ms(SHORT_MS / 5) and len(sent) < 500:
            connection.send(b" ")
            sent.append(1)

    with open_scripted_endpoint(reply) as (runtime, link):
        check_lost(link, read(link, SHORT_MS))
        assert len(sent) < 250


def test_an_endpoint_that_is_away_is_unreachable_and_nothing_ran():
    """Nobody listens at the address, or somebody accepts and stays silent."""
    with open_runtime() as runtime:
        listener = runtime.listen(Address("127.0.0.1", 0))
        spec = make_spec(listener.address)
        for _ in range(2):
            error = dialect.open_link(runtime, spec, "vm-1", "work", SHORT_MS).error
            assert (error.kind, error.may_have_run) == (dialect.UNREACHABLE, False)
            listener.close()
