"""The pool of links to one endpoint."""

from collections.abc import Callable

from expression import Error, Ok, Result

from bronzerelay.dialect import UNREACHABLE, EndpointError, EndpointLink
from bronzerelay.runtime import Runtime
from bronzerelay.types import EndpointSpec

# The kind of error when no link came free in time; nothing was sent.
POOL_EXHAUSTED = "pool_exhausted"

OpenLink = Callable[[float], Result[EndpointLink, EndpointError]]


class ConnectionPool:
    """Links to one endpoint, lent to one task at a time.

    Every link counts against the limit from before it is opened until after it is
    closed. Counted later or less long, a burst of lost links would take more
    connections than this daemon's part, and the endpoint would turn others away.
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
        """How many links are open or being opened, lent and idle ones alike."""
        return self._open_count

    def lend(self, timeout_ms: float) -> Result[EndpointLink, EndpointError]:
        """Return an idle link or a new one, within `timeout_ms`.

        The link used last is lent first, so that links not needed stay idle. With
        all links lent and none back in time the error is `pool_exhausted`.
        """
        end_ms = self._runtime.clock.now_ms() + timeout_ms
        with self._condition:
            self._runtime.wait_for(self._condition, self._has_room, timeout_ms)
            if self._closed:
                return self._fail(UNREACHABLE, "the pool is closed")
            link = self._take_idle()
            if link is not None:
                self._lent.add(link)
                return Ok(link)
            late = self._runtime.clock.now_ms() >= end_ms
            if late or self._open_count >= self._limit:
                return self._fail(
                    POOL_EXHAUSTED, f"no free link of {self._limit} in time"
                )
            self._open_count += 1
        return self._open(end_ms)

    def _fail(self, kind: str, message: str) -> Result[EndpointLink, EndpointError]:
        return Error(EndpointError(kind, f"{self.spec.name}: {message}"))

    def _has_room(self) -> bool:
        return bool(self._closed or self._idle or self._open_count < self._limit)

    def _take_idle(self) -> EndpointLink | None:
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
                self._forget_one()

    def _forget_one(self) -> None:
        with self._condition:
            self._open_count -= 1
            self._condition.notify()

    def give_back(self, link: EndpointLink) -> None:
        """Take back a lent link; keep it only when nothing about it is in doubt."""
        # A link with an open transaction would run the next borrower's statements
        # inside it; closing it makes the endpoint drop the transaction.
        sound = not link.in_transaction and link.is_usable()
        with self._condition:
            self._lent.discard(link)
            if sound and not self._closed:
                self._idle.append(link)
                self._condition.notify()
                return
        link.close()
        self._forget_one()

    def drop(self) -> None:
        """Close all links, also the lent ones: the endpoint has fallen silent.

        A frozen instance keeps its connections open. A write on one of them would
        wait for the statement's timeout before it is settled at the new primary.
        """
        with self._condition:
            lent = list(self._lent)
            idle, self._idle = self._idle, []
        for link in lent:
            link.close()
        for link in idle:
            link.close()
            self._forget_one()

    def close(self) -> None:
        """Close the idle links now, and each lent one when it is given back."""
        with self._condition:
            self._closed = True
            idle, self._idle = self._idle, []
            self._condition.notify_all()
        for link in idle:
            link.close()
            self._forget_one()
