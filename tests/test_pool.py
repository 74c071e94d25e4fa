"""Tests of the connection pool."""

from expression import Error, Ok

from bronzerelay import dialect
from bronzerelay.pool import POOL_EXHAUSTED, ConnectionPool
from bronzerelay.runtime import Address
from tests.endpoints import (
    TIMEOUT_MS,
    make_spec,
    open_runtime,
    wait_until,
)

T = TIMEOUT_MS
SHORT_MS = 50


class FakeLink:
    def __init__(self):
        self.closed = False
        self.in_transaction = False

    def is_usable(self):
        return not self.closed

    def close(self):
        self.closed = True


def make_pool(runtime, limit, opened):
    def open_link(timeout_ms):
        opened.append(FakeLink())
        return Ok(opened[-1])

    spec = make_spec(Address("127.0.0.1", 1))
    return ConnectionPool(runtime, spec, open_link, limit)


def test_a_link_in_doubt_or_in_a_transaction_is_not_lent_again():
    """A link is given back closed, or with an open transaction. If it were lent again,
    the next caller's statements would fail or run in somebody else's transaction.
    """
    with open_runtime() as runtime:
        pool = make_pool(runtime, 1, opened := [])
        pool.lend(T).ok.closed = True
        pool.give_back(opened[0])
        pool.lend(T).ok.in_transaction = True
        pool.give_back(opened[1])
        assert opened[1].closed
        reusable = pool.lend(T).ok
        pool.give_back(reusable)
        assert pool.lend(T).ok is reusable is opened[2]
        assert pool.open_count == 1


def test_a_link_lost_while_idle_is_replaced():
    """The endpoint closed an idle link. Detected when it is lent, that has no effect on
    the caller; detected after sending, the outcome would be unknown.
    """
    with open_runtime() as runtime:
        listener = runtime.listen(Address("127.0.0.1", 0))
        spec = make_spec(listener.address)
        accepted = []

        def accept():
            accepted.append(listener.accept())
            accepted[-1].receive()
            accepted[-1].send(b'{"id":1,"ok":true}\n')

        def open_link(timeout_ms):
            runtime.start(accept)
            return dialect.open_link(runtime, spec, "vm-1", "work", timeout_ms)

        pool = ConnectionPool(runtime, spec, open_link, 1)
        link = pool.lend(T).ok
        pool.give_back(link)
        accepted[0].close()
        replaced = pool.lend(T).ok
        assert link.closed and not replaced.closed
        assert pool.open_count == 1


def test_a_borrower_waits_for_a_link_and_fails_at_the_timeout():
    """All links are lent. A borrower waits for one to be given back; at its timeout it
    gets an error that says that nothing was sent.
    """
    with open_runtime() as runtime:
        pool = make_pool(runtime, 1, opened := [])
        link = pool.lend(T).ok
        error = pool.lend(SHORT_MS).error
        assert (error.kind, error.may_have_run) == (POOL_EXHAUSTED, False)
        future = runtime.start(pool.lend, T)
        pool.give_back(link)
        assert future.result().ok is link
        assert len(opened) == 1


def test_a_link_that_could_not_be_opened_does_not_count():
    """The endpoint is unreachable for a while. Failed attempts to connect must not
    count against the limit, or the pool would stay exhausted for ever.
    """
    with open_runtime() as runtime:
        failure = Error(dialect.EndpointError(dialect.UNREACHABLE, "away"))
        answers = [failure, failure, Ok(FakeLink())]
        spec = make_spec(Address("127.0.0.1", 1))
        pool = ConnectionPool(runtime, spec, lambda timeout_ms: answers.pop(0), 1)
        for _ in range(2):
            assert pool.lend(T).error.kind == dialect.UNREACHABLE
        assert pool.lend(T).is_ok()


def test_no_more_links_than_the_limit_are_ever_open():
    """Many tasks borrow at once while links keep failing. Links above the limit would
    use up another daemon's share of the endpoint's connections.
    """
    with open_runtime() as runtime:
        pool = make_pool(runtime, 3, opened := [])
        most_open = []

        def borrow(task):
            for turn in range(40):
                link = pool.lend(T).ok
                most_open.append(sum(not link.closed for link in list(opened)))
                link.closed = (task + turn) % 3 == 0
                pool.give_back(link)

        for future in [runtime.start(borrow, task) for task in range(12)]:
            future.result()
        assert max(most_open) <= 3
        assert pool.open_count <= 3


def test_a_closed_pool_lends_nothing_and_closes_what_comes_back():
    """An endpoint is removed from the configuration while links are lent. The work on
    them may end, then every link is closed.
    """
    with open_runtime() as runtime:
        pool = make_pool(runtime, 2, opened := [])
        lent, idle = pool.lend(T).ok, pool.lend(T).ok
        pool.give_back(idle)
        pool.close()
        assert (idle.closed, lent.closed) == (True, False)
        assert pool.lend(T).error.kind == dialect.UNREACHABLE
        pool.give_back(lent)
        wait_until(runtime, lambda: pool.open_count == 0)
        assert all(link.closed for link in opened)
