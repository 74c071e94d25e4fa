"""A retry budget, so that retries never amplify an overload."""

from bronzerelay.runtime import Runtime

# Retries add at most a fifth to the load of the last seconds, and a few more: the
# budget starts with some retries and holds at most five times as many.
RETRY_RATIO = 0.2
INITIAL_RETRIES = 20.0
MAX_ATTEMPTS = 4
BACKOFF_MS = (5, 15, 40)


class RetryBudget:
    """A token bucket that is filled by requests and spent by retries."""

    def __init__(self, runtime: Runtime):
        self._runtime = runtime
        self._lock = runtime.make_lock()
        self._tokens = INITIAL_RETRIES

    def count_request(self) -> None:
        """Add a request's fraction of a retry to the budget."""
        with self._lock:
            self._tokens = min(self._tokens + RETRY_RATIO, INITIAL_RETRIES * 5)

    def allow(self, attempt: int) -> bool:
        """Spend one retry; return False if the budget or the attempts are exhausted."""
        if attempt >= MAX_ATTEMPTS:
            return False
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
        return True

    def back_off(self, attempt: int, left_ms: float) -> None:
        """Wait after attempt number `attempt`, with jitter, for at most `left_ms`."""
        step = min(attempt, len(BACKOFF_MS)) - 1
        wait_ms = BACKOFF_MS[max(0, step)] * self._runtime.random.uniform(0.5, 1.5)
        self._runtime.sleep_ms(min(wait_ms, max(0.0, left_ms)))
