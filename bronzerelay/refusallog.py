"""Logs refused requests with what decided them, a bounded number in each period."""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from bronzerelay.codes import Refusal
from bronzerelay.runtime import Runtime

PERIOD_MS = 1000
# Lines in a period, for each workspace and in all. The limit of a workspace leaves room
# for the others while one of them is refused hundreds of requests a second.
WORKSPACE_LINES = 4
TOTAL_LINES = 40
# How much of a reason is logged. It may hold a name that a caller made up, or an
# endpoint's message.
REASON_LENGTH = 400


class RefusedRequest(NamedTuple):
    """A refused request; `began_ms` is when this daemon received it, on its clock."""

    trace_id: str
    workspace: str
    began_ms: float


class RefusalLog:
    """Writes a line for a refused request, unless too many were written lately."""

    def __init__(self, runtime: Runtime, log: Any):
        self._clock = runtime.clock
        self._log = log
        self._lock = runtime.make_lock()
        self._began_ms = self._clock.now_ms()
        self._lines: Counter[str] = Counter()
        self._omitted = 0

    def record(
        self,
        message: str,
        request: RefusedRequest,
        refusal: Refusal,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        """Log a refusal, with the fields that `describe` returns, if there is room.

        A line says how many refusals before it weren't logged.
        """
        workspace = request.workspace
        with self._lock:
            if not self._has_room(workspace):
                self._omitted += 1
                return
            omitted, self._omitted = self._omitted, 0
        extra = {
            "request_id": request.trace_id,
            "workspace": workspace,
            "waited_ms": round(self._clock.now_ms() - request.began_ms),
            "code": int(refusal.code),
            "ran": refusal.ran,
            "reason": _cut(refusal.message),
            "retry_after_ms": refusal.retry_after_ms,
            **describe(),
            "omitted": omitted,
        }
        self._log.info(message, extra=extra)

    def _has_room(self, workspace: str) -> bool:
        """Count a line and return True, or return False; the lock is held."""
        now_ms = self._clock.now_ms()
        if now_ms - self._began_ms >= PERIOD_MS:
            self._began_ms = now_ms
            self._lines.clear()
        if self._lines.total() >= TOTAL_LINES:
            return False
        if self._lines[workspace] >= WORKSPACE_LINES:
            return False
        self._lines[workspace] += 1
        return True


def _cut(text: str) -> str:
    return text if len(text) <= REASON_LENGTH else text[:REASON_LENGTH] + "..."
