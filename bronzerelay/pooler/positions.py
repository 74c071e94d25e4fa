"""How far a primary's log was at known times, so that replicas can be judged by it."""

import math
from collections import deque
from typing import NamedTuple

from bronzerelay.pooler.messages import Position
from bronzerelay.runtime import Runtime

# Samples kept for a service. A bound of seconds is met by any of the last ones, and one
# every SPACING_MS is enough to choose from.
MAX_SAMPLES = 64
MIN_SPACING_MS = 40
# Taken off every stated age, in milliseconds: for a read that is judged by when it
# reached the instance and not by when it was sent from here.
AGE_MARGIN_MS = 150


class Sample(NamedTuple):
    """The primary's log held all commits acknowledged before `at_ms`."""

    at_ms: float
    position: Position


class LogPositions:
    """The samples of one service; any task may call it.

    A sample counts from when its request was sent, never from when its answer came:
    the instance may have looked at its log at any time between.
    """

    def __init__(self, runtime: Runtime):
        self._clock = runtime.clock
        self._lock = runtime.make_lock()
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        # Since when another instance leads, as far as this daemon has seen it.
        self.reset_at_ms = -math.inf
        # The newest one that this daemon has from the primary itself.
        self.newest_own: Sample | None = None

    def reset(self) -> None:
        """Forget all samples, since another instance leads now.

        Its log lacks what only its predecessor had. A replica never reaches such a
        position, and reads that wait for it would be refused until the samples age.
        """
        with self._lock:
            self._samples.clear()
            self.newest_own = None
            self.reset_at_ms = self._clock.now_ms()

    def add_own_sample(self, at_ms: float, position: Position) -> None:
        """Note what the primary itself has told this daemon."""
        if self.newest_own is None or at_ms > self.newest_own.at_ms:
            self.newest_own = Sample(at_ms, position)
        self.add_sample(at_ms, position)

    def add_sample(self, at_ms: float, position: Position) -> None:
        """Note that the primary's log ended at `position` at `at_ms` or later."""
        with self._lock:
            last = self._samples[-1] if self._samples else None
            if last is None or at_ms - last.at_ms >= MIN_SPACING_MS:
                self._samples.append(Sample(at_ms, position))

    def newest(self) -> Sample | None:
        """Return the newest sample, whoever had it from the primary."""
        with self._lock:
            return self._samples[-1] if self._samples else None

    def last_seen_ms(self) -> float:
        """Return when the primary was last heard of, or began to lead."""
        with self._lock:
            return self._samples[-1].at_ms if self._samples else self.reset_at_ms

    def find_floor(self, max_age_ms: float) -> Position | None:
        """Return the least position that a log must hold to be young enough.

        None says that no sample is young enough and only the primary may be read.
        """
        oldest_ms = self._clock.now_ms() - max_age_ms + AGE_MARGIN_MS
        with self._lock:
            for sample in self._samples:
                if sample.at_ms >= oldest_ms:
                    return sample.position
        return None
