"""A workspace's rate over the whole fleet, from counts that daemons tell each other.

Every daemon keeps the bucket of the whole fleet: what it admits and what the others
report as admitted leaves it. Between two reports each daemon may spend only its part
of what is left, by its part of the workspace's recent traffic. What a daemon that
isn't heard of may admit is set aside at once, so that a cut splits the rate instead
of doubling it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bronzerelay.pooler.fleetconfig import Workspace
from bronzerelay.runtime import Runtime

# The time that reports need to reach everybody, in milliseconds: what is spent within
# it is spent without knowing of the others.
ROUND_MS = 300
# A daemon that wasn't heard of for this long may be cut off and spend its part without
# anybody being told. Milliseconds; three reports may be lost before.
SILENT_MS = 1_000
# What a process begins with, in operations. What its predecessor spent isn't known to
# it, so that it begins with next to nothing; with nothing at all the first caller of
# each workspace would be refused.
FIRST_TOKENS = 1.0
# How long recent traffic counts for a daemon's part, in milliseconds.
RECENT_MS = 2_000
# What each daemon's part starts from, in operations: one without traffic gets a few.
BASE_PART = 3.0
# What daemons may spend in a round beyond their parts. Parts follow where traffic was,
# and a caller that moves would be refused inside its rate; what is spent too much is
# missing in the next round, so that no more than this part of a burst is ever ahead.
PART_FACTOR = 1.5


class PeerCount(NamedTuple):
    """What a process said last: its incarnation and all that it has admitted."""

    incarnation: int
    admitted: int


class Bucket:
    """The fleet's bucket of one workspace, as this daemon sees it."""

    def __init__(self, spec: Workspace, now_ms: float):
        self.spec = spec
        self.tokens = min(FIRST_TOKENS, spec.burst)
        self.filled_at_ms = now_ms
        # All that this process has admitted, as it is reported.
        self.admitted = 0
        self.recent_own = 0.0
        self.recent_all = 0.0
        # What may be spent until the next round, and when that round ends.
        self.allowance = 0.0
        self.round_until_ms = now_ms
        self.peers: dict[str, PeerCount] = {}
        self.part = 1.0


class FleetRates:
    """All workspaces' buckets at this daemon."""

    def __init__(self, runtime: Runtime, name: str):
        self._clock = runtime.clock
        self._lock = runtime.make_lock()
        self._name = name
        self._buckets: dict[str, Bucket] = {}
        # When each other member was last heard of; all that may admit operations.
        self._heard_ms: dict[str, float] = {}

    def set_workspaces(self, specs: Iterable[Workspace]) -> None:
        """Take over the rates of a configuration."""
        now_ms = self._clock.now_ms()
        with self._lock:
            kept = {}
            for spec in specs:
                bucket = self._buckets.get(spec.name) or Bucket(spec, now_ms)
                bucket.spec = spec
                bucket.tokens = min(bucket.tokens, spec.burst)
                kept[spec.name] = bucket
            self._buckets = kept

    def set_members(self, names: Iterable[str]) -> None:
        """Take over who else may admit operations."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._heard_ms = {
                # A new one counts as heard of: it begins with nothing.
                name: self._heard_ms.get(name, now_ms)
                for name in names
                if name != self._name
            }

    # Reports

    def list_counts(self) -> dict[str, int]:
        """Return what this process has admitted, for each workspace it served."""
        with self._lock:
            return {
                name: bucket.admitted
                for name, bucket in self._buckets.items()
                if bucket.admitted
            }

    def note_report(
        self, peer: str, incarnation: int, heard_at_ms: float, counts: dict[str, int]
    ) -> None:
        """Take what a peer has admitted out of the buckets.

        What it admitted while it wasn't heard of was set aside already.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            was_silent = self._is_silent(peer, now_ms)
            for name, admitted in counts.items():
                bucket = self._buckets.get(name)
                if bucket is None:
                    continue
                known = bucket.peers.get(peer)
                bucket.peers[peer] = PeerCount(incarnation, admitted)
                if known is None or was_silent:
                    continue
                if known.incarnation != incarnation:
                    known = PeerCount(incarnation, 0)
                self._fill(bucket, now_ms)
                # Less than before where more was given back than spent.
                spent = admitted - known.admitted
                bucket.tokens = min(bucket.spec.burst, bucket.tokens - spent)
                bucket.recent_all = max(0.0, bucket.recent_all + spent)
            if peer in self._heard_ms:
                self._heard_ms[peer] = max(self._heard_ms[peer], heard_at_ms)

    # Spending

    def spend(self, workspace: str) -> float:
        """Spend one operation; return 0, or the milliseconds until one may be had."""
        now_ms = self._clock.now_ms()
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is None:
                return 0.0
            self._fill(bucket, now_ms)
            if now_ms >= bucket.round_until_ms:
                self._begin_round(bucket, now_ms)
            if bucket.tokens >= 1 and bucket.allowance >= 1:
                bucket.tokens -= 1
                bucket.allowance -= 1
                bucket.admitted += 1
                bucket.recent_own += 1
                bucket.recent_all += 1
                return 0.0
            return self._estimate_wait(bucket, now_ms)

    def give_back(self, workspace: str) -> None:
        """Take back an operation that no instance has run.

        Kept, each refusal for another reason would use up the workspace's rate, and a
        caller that comes back as it was told would be refused over it.
        """
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is not None and bucket.admitted > 0:
                bucket.tokens = min(bucket.spec.burst, bucket.tokens + 1)
                bucket.allowance += 1
                bucket.admitted -= 1

    def _estimate_wait(self, bucket: Bucket, now_ms: float) -> float:
        missing = max(0.0, 1 - bucket.tokens)
        refill_ms = missing / max(bucket.spec.rate * bucket.part, 0.001) * 1000
        if bucket.allowance >= 1:
            return max(1.0, refill_ms)
        return max(1.0, refill_ms, bucket.round_until_ms - now_ms)

    def _begin_round(self, bucket: Bucket, now_ms: float) -> None:
        """Work out what this daemon may spend until the others hear of it."""
        share = min(1.0, PART_FACTOR * self._work_out_share(bucket))
        coming = bucket.spec.rate * bucket.part * ROUND_MS / 1000
        bucket.allowance = max(0.0, bucket.tokens) * share + coming * share
        # A part below one operation would refuse a quiet workspace for ever.
        if bucket.tokens >= self._count_members():
            bucket.allowance = max(bucket.allowance, 1.0)
        bucket.round_until_ms = now_ms + ROUND_MS

    def _work_out_share(self, bucket: Bucket) -> float:
        own = bucket.recent_own + BASE_PART
        everyone = bucket.recent_all + BASE_PART * self._count_members()
        return min(1.0, own / everyone)

    def _count_members(self) -> int:
        return len(self._heard_ms) + 1

    def _fill(self, bucket: Bucket, now_ms: float) -> None:
        """Refill the bucket with the part of the rate that this side may spend."""
        elapsed_ms = now_ms - bucket.filled_at_ms
        if elapsed_ms <= 0:
            return
        part = self._work_out_part(now_ms)
        if part < bucket.part:
            # The silent ones may spend their part of what is saved up, too, and have
            # spent unheard since they fell silent, as this side has.
            lost = bucket.part - part
            bucket.tokens = min(bucket.tokens, bucket.tokens * part / bucket.part)
            bucket.tokens -= bucket.spec.rate * lost * SILENT_MS / 1000
        bucket.part = part
        spec = bucket.spec
        earned = spec.rate * part * elapsed_ms / 1000
        bucket.tokens = min(spec.burst * part, bucket.tokens + earned)
        bucket.filled_at_ms = now_ms
        keep = max(0.0, 1 - elapsed_ms / RECENT_MS)
        bucket.recent_own *= keep
        bucket.recent_all *= keep

    def _work_out_part(self, now_ms: float) -> float:
        members = self._count_members()
        silent = sum(1 for name in self._heard_ms if self._is_silent(name, now_ms))
        return (members - silent) / members

    def _is_silent(self, name: str, now_ms: float) -> bool:
        heard_ms = self._heard_ms.get(name)
        return heard_ms is None or now_ms - heard_ms > SILENT_MS
