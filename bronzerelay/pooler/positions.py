"""Samples of a primary's log position, which decide how current a replica must be."""

import math
from collections import deque
from typing import NamedTuple

from bronzerelay.pooler.messages import Position
from bronzerelay.runtime import Runtime

# The most samples kept of a service, and the least time between two of them, in
# milliseconds. The bounds on the age of reads are seconds, so closer samples would gain
# nothing.
MAX_SAMPLES = 64
MIN_SPACING_MS = 40
# Subtracted from every bound on the age of a read, in milliseconds. It covers the time
# between sending a read and its arrival at the instance, where its age is measured.
AGE_MARGIN_MS = 150


class Sample(NamedTuple):
    """A position that includes all commits acknowledged before `at_ms`.

    `epoch` is that of the last primary change before it, and `primary_term` the term in
    which the primary leads since then. Both are 0 if no change is known.
    """

    at_ms: float
    position: Position
    epoch: int = 0
    primary_term: int = 0


class LogPositions:
    """The samples of one service; safe to call from any task.

    The time of a sample is when its request was sent, not when its answer arrived: the
    instance may have read its log position at any time in between.
    """

    def __init__(self, runtime: Runtime):
        self._clock = runtime.clock
        self._lock = runtime.make_lock()
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        # The last primary change whose primary the samples are of.
        self.epoch = 0
        self._primary_term = 0
        # When this daemon learned of that change.
        self.reset_at_ms = -math.inf
        # The newest sample that this daemon took from the primary itself.
        self.newest_own: Sample | None = None

    def reset(self, epoch: int, primary_term: int) -> None:
        """Drop all samples after a primary change, unless a later one is known.

        The new primary's log may lack entries that only its predecessor had. Replicas
        never reach such a position, and reads that require it would be refused until
        the samples are too old to be used.
        """
        with self._lock:
            if epoch < self.epoch:
                return
            self.epoch = epoch
            self._primary_term = primary_term
            self._samples.clear()
            self.newest_own = None
            self.reset_at_ms = self._clock.now_ms()

    def add_own_sample(self, at_ms: float, position: Position) -> None:
        """Add a sample that this daemon took from the primary itself.

        An answer to a request from before the last primary change may be that of a
        replica or of the former primary, and is left out.
        """
        with self._lock:
            if at_ms < self.reset_at_ms:
                return
            sample = self._make_sample(at_ms, position)
            if self.newest_own is None or at_ms > self.newest_own.at_ms:
                self.newest_own = sample
            self._add(sample)

    def add_peer_sample(self, at_ms: float, position: Position, epoch: int) -> None:
        """Add a peer's sample unless the peer knows another change as the last one.

        Its sample is then of another primary, and may lack commits of this one.
        """
        with self._lock:
            if epoch == self.epoch:
                self._add(self._make_sample(at_ms, position))

    def add_sample(self, at_ms: float, position: Position) -> None:
        """Add a sample: at `at_ms` or later, the primary's log ended at `position`."""
        with self._lock:
            self._add(self._make_sample(at_ms, position))

    def _make_sample(self, at_ms: float, position: Position) -> Sample:
        return Sample(at_ms, position, self.epoch, self._primary_term)

    def _add(self, sample: Sample) -> None:
        last = self._samples[-1] if self._samples else None
        if last is None or sample.at_ms - last.at_ms >= MIN_SPACING_MS:
            self._samples.append(sample)

    def newest(self) -> Sample | None:
        """Return the newest sample, whether taken by this daemon or by a peer."""
        with self._lock:
            return self._samples[-1] if self._samples else None

    def last_seen_ms(self) -> float:
        """Return the time of the newest sample, or of the last primary change."""
        with self._lock:
            return self._samples[-1].at_ms if self._samples else self.reset_at_ms

    def find_floor(self, max_age_ms: float) -> Position | None:
        """Return the lowest log position that satisfies a bound on the age of a read.

        None means that no sample is recent enough, so only the primary may be read.
        """
        sample = self.find_sample(max_age_ms)
        return sample.position if sample else None

    def find_sample(self, max_age_ms: float) -> Sample | None:
        """Return the oldest sample that satisfies a bound on the age of a read."""
        oldest_ms = self._clock.now_ms() - max_age_ms + AGE_MARGIN_MS
        with self._lock:
            for sample in self._samples:
                if sample.at_ms >= oldest_ms:
                    return sample
        return None
