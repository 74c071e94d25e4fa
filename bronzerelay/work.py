"""A request as the daemon that serves its group holds it."""

from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.sessions import Session
from bronzerelay.types import StatementRequest

# The endpoint keeps an attempt's number behind the request's own id.
ATTEMPT_MARK = "#"


class Work(NamedTuple):
    """One request at the serving daemon; `deadline_ms` is of the own clock.

    `request_id` names the change at the endpoints and never repeats. `trace_id` is the
    id that the caller knows, for the logs of each daemon on the way. `is_wanted` tells
    whether anybody still waits for the answer.
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

        A caller's idempotency key names the same change through whatever daemon it
        comes, so it takes the place of the request's own id.
        """
        key = self.request.get("idempotency_key")
        name = f"{self.workspace}/{key}" if key else self.request_id
        return f"{name}{ATTEMPT_MARK}{attempt}"
