"""A request, as the daemons pass it on and the serving daemon runs it."""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.sessions import Session
from bronzerelay.types import StatementRequest

# Separates the request's id from the number of the attempt, in ids at the endpoint.
ATTEMPT_MARK = "#"


class Work(NamedTuple):
    """One request; `deadline_ms` is on this daemon's clock.

    `request_id` identifies the write at the endpoints and is never reused. `trace_id`
    is the id that the caller knows, for the logs of each daemon that handles the
    request. `is_wanted` tells whether anybody still waits for the answer.
    """

    request_id: str
    workspace: str
    request: StatementRequest
    session: Session
    deadline_ms: float
    trace_id: str = ""
    is_wanted: Callable[[], bool] = lambda: True

    @property
    def group(self) -> str:
        """Return the name of the database group."""
        return self.request["group"]

    def write_id(self, attempt: int) -> str:
        """Return the id under which the endpoint records this attempt.

        A caller's idempotency key takes the place of the request's own id, because it
        identifies the same write at whatever daemon the request arrives.
        """
        key = self.request.get("idempotency_key")
        base = f"{self.workspace}/{key}" if key else self.request_id
        return f"{base}{ATTEMPT_MARK}{attempt}"
