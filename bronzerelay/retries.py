"""A budget for retries, so that they never multiply a failure."""

from bronzerelay.runtime import Runtime

# Retries may add a fifth to the work of the last seconds, and always a few.
RETRY_RATIO = 0.2
RETRY_FLOOR = 20.0
MAX_ATTEMPTS = 4
PAUSE_MS = (5, 15, 40)


class RetryBudget:
    """Counts work and retries; a retry is allowed while it stays a small part."""

    def __init__(self, runtime: Runtime):
        self._runtime = runtime
        self._lock = runtime.make_lock()
        self._tokens = RETRY_FLOOR

    def count_request(self) -> None:
        """Earn a part of a retry with each request."""
        with self._lock:
            self._tokens = min(self._tokens + RETRY_RATIO, RETRY_FLOOR * 5)

    def allow(self, attempt: int) -> bool:
        """Spend one retry; return False when the budget or the attempts are over."""
        if attempt >= MAX_ATTEMPTS:
            return False
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
        return True

    def back_off(self, attempt: int, left_ms: float) -> None:
        """Wait before attempt number `attempt`, with jitter, within `left_ms`."""
        step = min(attempt, len(PAUSE_MS)) - 1
        wait_ms = PAUSE_MS[max(0, step)] * self._runtime.random.uniform(0.5, 1.5)
        self._runtime.sleep_ms(min(wait_ms, max(0.0, left_ms)))
