"""Decides whether this daemon may use the primary of a service now.

A primary is replaced only through the platform, and the old one may still run behind a
network partition without knowing. So a primary change is recorded in the platform's
store first, and the lock holder waits until no daemon can use the old primary: each
daemon has either acknowledged the change, with no statement in progress at the old
primary, or has lost its primary proof.

The primary proof is a lease: a daemon renews it by hearing from most members, none of
which knows of a change, or by reading the store. The lock holder needs a quorum that
has acknowledged its change, and any two majorities have a member in common.
"""

import math
from collections.abc import Callable, Iterable

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.pooler.directory import Directory
from bronzerelay.runtime import Runtime

# How long a primary proof is valid, in milliseconds. Three heartbeats may be lost
# before it expires. A longer lease would delay each change in which a daemon isn't
# heard.
LEASE_MS = 1_000
# How long the lock holder waits beyond the lease, in milliseconds, for statements that
# a daemon sent just before its proof expired.
LEASE_MARGIN_MS = 150
# Proofs are requested from the store once the last one from most members is this old,
# in milliseconds. While heartbeats work it is seldom that old, also behind relays. If
# the store were asked only after the lease expired, a daemon that hears few others
# would be without a proof for a third of the time.
STORE_PROOF_AFTER_MS = 850
# How old the newest proof is before the store is asked for another one, in
# milliseconds: the answer comes before the lease expires, also from a slow store.
STORE_PROOF_INTERVAL_MS = 500
# A daemon without a primary proof for this long counts as isolated, in milliseconds: a
# few heartbeats more than it takes to lose the proof.
ISOLATED_AFTER_MS = 2_500
PRIMARY_CHANGE_RETRY_MS = 300
NO_PROOF_RETRY_MS = 400
NEVER_MS = -1e15


class PrimaryGuard:
    """Checks each use of a primary before and after, and counts uses in progress."""

    def __init__(self, runtime: Runtime, directory: Directory):
        self._clock = runtime.clock
        self._directory = directory
        self._lock = runtime.make_lock()
        self._in_progress: dict[str, int] = {}
        # Called with a service when the last use of its primary in progress has ended.
        self.on_idle: Callable[[str], None] = lambda _: None
        # The times as of which the newest proof from members counts, and the newest
        # proof from either members or the store.
        self._member_proof_ms = NEVER_MS
        self._proof_ms = NEVER_MS
        # The newest time as of which the store is known here, also without a proof.
        self._store_known_ms = NEVER_MS
        self._is_closed = False

    # The proof

    def add_member_proof(
        self, heard_ms: Iterable[float], counts_itself: bool = True
    ) -> None:
        """Renew the proof by the times at which the other members were last heard.

        This daemon is one of the majority that is needed if it `counts_itself`.
        """
        times = sorted(heard_ms, reverse=True)
        needed = (len(times) + 1) // 2
        if not counts_itself:
            needed += 1
        with self._lock:
            if not 0 < needed <= len(times):
                return
            self._member_proof_ms = max(self._member_proof_ms, times[needed - 1])
            self._proof_ms = max(self._proof_ms, self._member_proof_ms)

    def add_peer_proof(self, proven_ms: float) -> None:
        """Adopt the proof of a peer that has sent all primary changes that it knows.

        The proof is no newer than the heartbeat that carries it, so no change that the
        proof excludes can complete without this daemon knowing of it.
        """
        with self._lock:
            self._member_proof_ms = max(self._member_proof_ms, proven_ms)
            self._proof_ms = max(self._proof_ms, proven_ms)

    def add_store_proof(self, read_at_ms: float, is_member: bool = True) -> None:
        """Note that all store updates up to `read_at_ms` are known here.

        For a member that is a proof. A primary change doesn't wait for other daemons.
        """
        with self._lock:
            self._store_known_ms = max(self._store_known_ms, read_at_ms)
            if is_member:
                self._proof_ms = max(self._proof_ms, read_at_ms)

    def close(self) -> None:
        """Allow no use of any primary any more, whatever proof comes.

        Answers that come later aren't trusted.
        """
        self._is_closed = True

    def store_proof_due_ms(self) -> float:
        """Return in how long a proof from the store is due; negative if overdue.

        It is due when neither enough members nor the store have given one lately.
        """
        due_at_ms = max(
            self._member_proof_ms + STORE_PROOF_AFTER_MS,
            max(self._proof_ms, self._store_known_ms) + STORE_PROOF_INTERVAL_MS,
        )
        return due_at_ms - self._clock.now_ms()

    def has_proof(self) -> bool:
        """Return whether no primary change can have completed unknown here."""
        return self.proof_age_ms() <= LEASE_MS

    def proof_age_ms(self) -> float:
        """Return the age of the newest proof."""
        if self._is_closed:
            return math.inf
        return self._clock.now_ms() - self._proof_ms

    def refuse_if_isolated(self) -> Refusal | None:
        """Return the refusal for all statements while this daemon is isolated, or None.

        The other daemons count an isolated one as gone after a while and spend its
        share of each rate. Callers that went on reading old data from replicas here
        would spend that share a second time.
        """
        known_ms = max(self._proof_ms, self._store_known_ms)
        if self._clock.now_ms() - known_ms <= ISOLATED_AFTER_MS:
            return None
        message = "This daemon hears of no other and not of the platform's store."
        return Refusal(Code.ISOLATED, message, NOT_RUN, NO_PROOF_RETRY_MS)

    # Use of a primary

    def begin_use(self, service: str, instance_id: str) -> Refusal | None:
        """Register a use of the primary of a service, or return why it is refused.

        When this returns None, the caller must call `end_use` afterwards.
        """
        # Most refusals come here, without a count whose end would be announced.
        refusal = self.check_use(service, instance_id)
        if refusal is not None:
            return refusal
        with self._lock:
            self._in_progress[service] = self._in_progress.get(service, 0) + 1
        # Checked again once counted: a change that became known before may have been
        # acknowledged as nothing was in progress.
        refusal = self.check_use(service, instance_id)
        if refusal is not None:
            self.end_use(service)
        return refusal

    def end_use(self, service: str) -> None:
        """End a use of the primary."""
        with self._lock:
            self._in_progress[service] -= 1
            idle = self._in_progress[service] == 0
        if idle:
            self.on_idle(service)

    def is_still_primary(self, service: str, instance_id: str) -> bool:
        """Return whether an answer that the instance has just given may be trusted."""
        return self.check_use(service, instance_id) is None

    def is_idle(self, service: str) -> bool:
        """Return whether no use of the service's primary is in progress."""
        return self._in_progress.get(service, 0) == 0

    def check_use(self, service: str, instance_id: str) -> Refusal | None:
        """Return why the instance may not be used as the primary now, or None."""
        primary = self._directory.find_primary(service)
        if primary is None or primary.id != instance_id:
            message = "The primary of the service is being replaced."
            return Refusal(
                Code.PRIMARY_REPLACED, message, NOT_RUN, PRIMARY_CHANGE_RETRY_MS
            )
        if self.has_proof():
            return None
        if self._clock.now_ms() - self._store_known_ms <= LEASE_MS:
            message = "This daemon isn't on the member list."
            return Refusal(Code.NO_PRIMARY, message, NOT_RUN, NO_PROOF_RETRY_MS)
        message = "This daemon can't tell whether the primary still leads."
        return Refusal(Code.ISOLATED, message, NOT_RUN, NO_PROOF_RETRY_MS)
