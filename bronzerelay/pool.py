"""The connection pool of one endpoint."""

from collections.abc import Callable

from expression import Error, Ok, Result

from bronzerelay.dialect import UNREACHABLE, EndpointError, EndpointLink
from bronzerelay.runtime import Runtime
from bronzerelay.types import EndpointSpec

# The kind of the error if no link is available in time; nothing was sent.
POOL_EXHAUSTED = "pool_exhausted"

OpenLink = Callable[[float], Result[EndpointLink, EndpointError]]


class ConnectionPool:
    """Links to one endpoint, each lent to one task at a time.

    Every link counts against the limit from before it is opened until after it is
    closed. Otherwise a burst of lost links would use more connections than this
    daemon's share, and the endpoint would reject other daemons' connections.
    """

    def __init__(
        self, runtime: Runtime, spec: EndpointSpec, open_link: OpenLink, limit: int
    ):
        self._runtime = runtime
        self.spec = spec
        self._open_link = open_link
        self._limit = limit
        self._condition = runtime.make_condition()
        self._idle: list[EndpointLink] = []
        self._lent: set[EndpointLink] = set()
        self._open_count = 0
        self._closed = False

    @property
    def open_count(self) -> int:
        """How many links are open or being opened, both lent and idle ones."""
        return self._open_count

    def lend(self, timeout_ms: float) -> Result[EndpointLink, EndpointError]:
        """Return an idle link or a new one, within `timeout_ms`.

        The most recently used link is lent first, so that surplus links stay idle. If
        all links are lent and none comes back in time, the error is `pool_exhausted`.
        """
        end_ms = self._runtime.clock.now_ms() + timeout_ms
        with self._condition:
            self._runtime.wait_for(self._condition, self._has_room, timeout_ms)
            if self._closed:
                return self._fail(UNREACHABLE, "the pool is closed")
            link = self._pop_idle()
            if link is not None:
                self._lent.add(link)
                return Ok(link)
            timed_out = self._runtime.clock.now_ms() >= end_ms
            if timed_out or self._open_count >= self._limit:
                return self._fail(
                    POOL_EXHAUSTED, f"no free link of {self._limit} in time"
                )
            self._open_count += 1
        return self._open(end_ms)

    def _fail(self, kind: str, message: str) -> Result[EndpointLink, EndpointError]:
        return Error(EndpointError(kind, f"{self.spec.name}: {message}"))

    def _has_room(self) -> bool:
        return bool(self._closed or self._idle or self._open_count < self._limit)

    def _pop_idle(self) -> EndpointLink | None:
        while self._idle:
            link = self._idle.pop()
            if link.is_usable():
                return link
            self._open_count -= 1
            self._condition.notify()
        return None

    def _open(self, end_ms: float) -> Result[EndpointLink, EndpointError]:
        opened = False
        try:
            result = self._open_link(end_ms - self._runtime.clock.now_ms())
            opened = result.is_ok()
            if opened:
                with self._condition:
                    self._lent.add(result.ok)
            return result
        finally:
            if not opened:
                self._uncount_link()

    def _uncount_link(self) -> None:
        with self._condition:
            self._open_count -= 1
            self._condition.notify()

    def give_back(self, link: EndpointLink) -> None:
        """Take back a lent link; close it if its state is in doubt."""
        # On a link with an open transaction the next borrower's statements would run
        # inside that transaction. Closing it makes the endpoint drop the transaction.
        reusable = not link.in_transaction and link.is_usable()
        with self._condition:
            self._lent.discard(link)
            if reusable and not self._closed:
                self._idle.append(link)
                self._condition.notify()
                return
        link.close()
        self._uncount_link()

    def drop(self) -> None:
        """Close all links, including the lent ones, as the endpoint is silent.

        A frozen instance keeps its connections open. A write on one of them would wait
        until its timeout before it is settled on the new primary.
        """
        with self._condition:
            lent = list(self._lent)
            idle, self._idle = self._idle, []
        for link in lent:
            link.close()
        for link in idle:
            link.close()
            self._uncount_link()

    def close(self) -> None:
        """Close the idle links now, and each lent link when it is given back."""
        with self._condition:
            self._closed = True
            idle, self._idle = self._idle, []
            self._condition.notify_all()
        for link in idle:
            link.close()
            self._uncount_link()
