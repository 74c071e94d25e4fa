"""Whether this daemon may use the primary of a service now.

A primary is replaced only through the platform, and the old one may live on behind a
cut and know nothing of it. So a change is written to the platform's store first, and
its maker waits until no daemon can still use the old primary: each one either says
that it knows of the change and has nothing under way, or its proof has run out.

The proof is what a daemon hears: from most members, none of whom knows of a change, or
from the store itself. The maker needs most members to know of its change, and any two
majorities have a member in common.
"""

from collections.abc import Callable, Iterable

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.pooler.directory import Directory
from bronzerelay.runtime import Runtime

# How long a daemon may go by what it heard, in milliseconds. Three heartbeats may be
# lost before; a longer time would lengthen each change that an unheard daemon delays.
LEASE_MS = 1_000
# What the maker of a change waits beyond the lease, in milliseconds, for what a daemon
# had just sent when its proof ran out.
LEASE_MARGIN_MS = 150
# The store has to give proofs once most members were last heard this long ago, in
# milliseconds. Heartbeats that work keep it at some 450. Put off until the lease has
# run out, a daemon that hears of few would have no proof for a third of the time.
LATE_MS = 700
# A daemon that has had no proof of any primary for this long is cut off, in
# milliseconds: a few heartbeats more than it takes to lose the proof.
CUT_OFF_MS = 2_500
UNDER_CHANGE_RETRY_MS = 300
NO_PROOF_RETRY_MS = 400
NEVER_MS = -1e15


class PrimaryGuard:
    """Judges before and after each use of a primary, and counts uses under way."""

    def __init__(self, runtime: Runtime, directory: Directory):
        self._clock = runtime.clock
        self._directory = directory
        self._lock = runtime.make_lock()
        self._under_way: dict[str, int] = {}
        # Takes the service at whose primary the last use under way has ended.
        self.on_idle: Callable[[str], None] = lambda _: None
        # Up to when most members were heard of, and up to when they or the store were.
        self._heard_ms = NEVER_MS
        self._proven_ms = NEVER_MS

    # The proof

    def note_members(self, heard_ms: Iterable[float]) -> None:
        """Take over when each other member was last heard of."""
        times = sorted(heard_ms, reverse=True)
        needed = (len(times) + 1) // 2
        with self._lock:
            if needed == 0:
                return
            self._heard_ms = max(self._heard_ms, times[needed - 1])
            self._proven_ms = max(self._proven_ms, self._heard_ms)

    def note_passed_on(self, proven_ms: float) -> None:
        """Take over the proof of a peer that has told all changes that it knows of.

        It was no later than the heartbeat which brings it, so that no change that the
        proof rules out can have come into effect without this daemon knowing of it.
        """
        with self._lock:
            self._heard_ms = max(self._heard_ms, proven_ms)
            self._proven_ms = max(self._proven_ms, proven_ms)

    def add_store_proof(self, read_at_ms: float) -> None:
        """Note that all changes in the store up to `read_at_ms` are known here."""
        with self._lock:
            self._proven_ms = max(self._proven_ms, read_at_ms)

    def needs_store_proof(self) -> bool:
        """Return whether the store has to give proofs, as most members don't."""
        return self._clock.now_ms() - self._heard_ms > LATE_MS

    def has_proof(self) -> bool:
        """Return whether no change can have come into effect unheard of."""
        return self.proof_age_ms() <= LEASE_MS

    def proof_age_ms(self) -> float:
        """Return how old the newest proof is."""
        return self._clock.now_ms() - self._proven_ms

    def refuse_if_isolated(self) -> Refusal | None:
        """Return why nothing may run here while this daemon is cut off, or None.

        The others take it for gone after a while and spend its part of each rate. Who
        still went on reading old data at replicas here would spend that part again.
        """
        if self.proof_age_ms() <= CUT_OFF_MS:
            return None
        message = "This daemon hears of no other and not of the platform's store."
        return Refusal(Code.ISOLATED, message, NOT_RUN, NO_PROOF_RETRY_MS)

    # Use of a primary

    def begin_use(self, service: str, instance_id: str) -> Refusal | None:
        """Begin to use the primary of a service, or say why it may not be used.

        Who got None calls `end_use` afterwards.
        """
        with self._lock:
            refusal = self.check_use(service, instance_id)
            if refusal is None:
                self._under_way[service] = self._under_way.get(service, 0) + 1
            return refusal

    def end_use(self, service: str) -> None:
        """End a use of the primary."""
        with self._lock:
            self._under_way[service] -= 1
            quiet = self._under_way[service] == 0
        if quiet:
            self.on_idle(service)

    def is_still_primary(self, service: str, instance_id: str) -> bool:
        """Return whether what the primary has just answered may be believed."""
        return self.check_use(service, instance_id) is None

    def is_idle(self, service: str) -> bool:
        """Return whether no use of the service's primary is under way."""
        return self._under_way.get(service, 0) == 0

    def check_use(self, service: str, instance_id: str) -> Refusal | None:
        """Return why the primary of the service may not be used now, or None."""
        leader = self._directory.find_primary(service)
        if leader is None or leader.id != instance_id:
            message = "The primary of the service is being replaced."
            return Refusal(
                Code.PRIMARY_REPLACED, message, NOT_RUN, UNDER_CHANGE_RETRY_MS
            )
        if not self.has_proof():
            message = "This daemon can't tell whether the primary still leads."
            return Refusal(Code.ISOLATED, message, NOT_RUN, NO_PROOF_RETRY_MS)
        return None
