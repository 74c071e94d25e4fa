"""Builds a daemon's heartbeats, and applies what its peers report in theirs.

Primary proofs are passed on: a heartbeat from a daemon that has a proof, and that has
sent all primary changes it knows, is a proof to the receiver too. So only relays have
to hear most members, and every other daemon one relay.

A daemon that has restarted while the store is out may have forgotten a change that it
acknowledged. Until it has recovered it passes proofs on, but counts in no majority.
"""

from collections.abc import Callable

from bronzerelay.pooler.contacts import Contacts, Plan
from bronzerelay.pooler.directory import Directory, PrimaryRecord
from bronzerelay.pooler.fleetrates import FleetRates
from bronzerelay.pooler.freshness import Turn
from bronzerelay.pooler.gossip import (
    BEAT_MS,
    NEVER_MS,
    Beat,
    Gossip,
    PeerView,
    Relayed,
)
from bronzerelay.pooler.messages import Position
from bronzerelay.pooler.mirror import Mirror
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primaryguard import LEASE_MS, PrimaryGuard
from bronzerelay.pooler.sources import EMPTY_REPORT, Scope, SourceGroup, SourceKey
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime

# The greatest age of a log position that a heartbeat carries, in milliseconds: two
# heartbeats, of which one may be lost.
SAMPLE_AGE_MS = 600
# The same for a position that a relay passes on, which has travelled two hops by then.
RELAYED_SAMPLE_AGE_MS = 1_000
# The most primary records that one heartbeat carries.
MAX_RECORDS_PER_BEAT = 8
# A contact that hasn't been heard for this long counts as silent, in milliseconds.
SILENT_PEER_MS = 1_000
# The most observers whose reports on silent instances a relay passes on.
MAX_OBSERVERS = 8
# How much later a daemon learns what another one knows, in milliseconds. In a full mesh
# information counts from the heartbeat before the last one; relays answer at once.
MESH_LAG_MS = 2 * BEAT_MS + 100
RELAY_LAG_MS = BEAT_MS + 100
# The ranking key of the order in which daemons poll the store, and by which relays are
# chosen to watch it.
STORE = "store"
# How many relays of the whole fleet watch the store. The others follow these, since an
# update costs one call for each watch.
STORE_WATCHERS = 2


class Heartbeats:
    """Builds heartbeats from the state of a daemon's parts, and updates these."""

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        domain: str,
        gossip: Gossip,
        mirror: Mirror,
        directory: Directory,
        placement: Placement,
        rates: FleetRates,
        guard: PrimaryGuard,
        apply_record: Callable[[PrimaryRecord], None],
    ):
        self._clock = runtime.clock
        self._name = name
        self._domain = domain
        self._gossip = gossip
        self._mirror = mirror
        self._directory = directory
        self._placement = placement
        self._rates = rates
        self._guard = guard
        self._apply_record = apply_record
        self.contacts = Contacts(name, domain)
        self._plan = Plan(frozenset())
        # The relays that this daemon gets store updates from, none if it watches.
        self._upstream: tuple[str, ...] = ()
        self.is_stopping = False
        self._started_ms = runtime.clock.now_ms()
        self._has_recovered = False

    # Contacts and relays

    def update_plan(self) -> None:
        """Choose the contacts again, given the members that are silent now."""
        holds_lock = any(
            record.holder == self._name and not record.settled
            for record in list(self._directory.primary_records.values())
        )
        self._plan = self.contacts.plan(self._is_silent, holds_lock)
        self._gossip.set_contacts(self._plan.contacts)
        self._upstream = self._choose_upstream()

    def _choose_upstream(self) -> tuple[str, ...]:
        if self.contacts.is_mesh():
            return ()
        plan = self._plan
        if not plan.relaying:
            return plan.relays.get(self._domain, ())
        watchers = rank(STORE, [*self._list_informed(), self._name])[:STORE_WATCHERS]
        if self._name in watchers:
            return ()
        # A relay doesn't contact all others, and each passes on what it learns.
        return tuple(name for name in self._list_relays() if name in plan.contacts)

    def _list_relays(self) -> list[str]:
        return [name for names in self._plan.relays.values() for name in names]

    def _list_informed(self) -> list[str]:
        """Return the other relays that know the store and are heard of lately.

        In a full mesh there are no relays, and all daemons count.
        """
        views = self._gossip.views
        oldest_ms = self._clock.now_ms() - SILENT_PEER_MS
        names = views if self.contacts.is_mesh() else self._list_relays()
        return [
            name
            for name in names
            if name in views
            and views[name].known_revision > 0
            and max(views[name].received_at_ms, views[name].heard_up_to_ms) >= oldest_ms
        ]

    def _is_silent(self, name: str) -> bool:
        view = self._gossip.views.get(name)
        if view is None or view.contact_since_ms is None:
            return False
        since_ms = max(view.received_at_ms, view.contact_since_ms)
        return self._clock.now_ms() - since_ms > SILENT_PEER_MS

    def is_leaving(self, name: str) -> bool:
        """Return whether a member stops, as far as is known here, or isn't heard."""
        if name == self._name:
            return self.is_stopping
        view = self._gossip.views.get(name)
        return view is not None and (view.stopping or self._is_silent(name))

    def is_relaying(self) -> bool:
        """Return whether this daemon is a relay of its failure domain."""
        return self._plan.relaying

    def may_remove_members(self) -> bool:
        """Return whether this daemon hears enough members to remove silent ones."""
        return self._plan.relaying or self.contacts.is_mesh()

    def has_relay(self) -> bool:
        """Return whether a relay informs this daemon of store updates."""
        views = self._gossip.views
        oldest_ms = self._clock.now_ms() - SILENT_PEER_MS
        return any(
            name in views
            and views[name].store_revision > 0
            and views[name].received_at_ms >= oldest_ms
            for name in self._upstream
        )

    def find_turn(self) -> Turn:
        """Return this daemon's turn to poll the store if no other daemon has."""
        if not (self.contacts.is_mesh() or self._plan.relaying):
            return Turn(self.contacts.find_place(), 2 * RELAY_LAG_MS)
        lag_ms = MESH_LAG_MS if self.contacts.is_mesh() else RELAY_LAG_MS
        place = rank(STORE, [*self._list_informed(), self._name]).index(self._name)
        return Turn(place, lag_ms if place else 0.0)

    def announce_store_change(self) -> None:
        """Announce a store update at once if this daemon is a relay."""
        if self._plan.relaying:
            self._gossip.send_now()

    def list_sources(self, serving: list[str]) -> dict[SourceKey, SourceGroup]:
        """Return which peers report the operations of the `serving` members."""
        if self.contacts.is_mesh():
            return {name: SourceGroup(Scope.OWN, (name,)) for name in serving}
        plan = self._plan
        if not plan.relaying:
            relays = plan.relays.get(self._domain, ())
            group = SourceGroup(Scope.FLEET, relays, len(serving))
            return {(Scope.FLEET, ""): group}
        same_domain = set(self.contacts.list_domain(self._domain))
        groups: dict[SourceKey, SourceGroup] = {
            name: SourceGroup(Scope.OWN, (name,))
            for name in serving
            if name in same_domain
        }
        for domain, relays in plan.relays.items():
            members = len(set(serving) & set(self.contacts.list_domain(domain)))
            if domain != self._domain and members:
                groups[Scope.DOMAIN, domain] = SourceGroup(
                    Scope.DOMAIN, relays, members
                )
        return groups

    # Sending

    def begin_round(self) -> Beat:
        """Choose the contacts again and return the heartbeat for them."""
        self.update_plan()
        return self.build_beat()

    def build_beat(self) -> Beat:
        """Return the part of a heartbeat that doesn't depend on its receiver."""
        now_ms = self._clock.now_ms()
        relaying = self._plan.relaying
        # Only a relay passes on its peers' samples; elsewhere each peer sends its own.
        age_ms = RELAYED_SAMPLE_AGE_MS if relaying else SAMPLE_AGE_MS
        # Read before the samples: one that was taken since is of a later primary.
        acknowledged = self._list_acknowledged()
        samples = self._placement.list_samples(now_ms - age_ms, own=not relaying)
        positions = {
            service: (*sample.position, round(now_ms - sample.at_ms))
            for service, sample in samples.items()
            if sample.epoch == acknowledged.get(service, 0)
        }
        proof_age_ms = self._guard.proof_age_ms()
        # Read before the revision: an age read after it may belong to a newer one.
        store_age_ms = self._mirror.store_age_ms()
        return Beat(
            self._name,
            self._gossip.incarnation,
            0,
            0,
            0,
            self.is_stopping,
            self._mirror.revision,
            int(store_age_ms) + 1,
            EMPTY_REPORT,
            positions,
            {},
            [],
            True,
            self._list_unsettled(),
            acknowledged,
            proof_age_ms if proof_age_ms <= LEASE_MS else None,
            relaying,
            None,
            self.has_recovered(),
            known_by_all=self._find_known_by_all() if relaying else 0,
        )

    def _find_known_by_all(self) -> int:
        """Return the newest store revision that all members are known to have."""
        views = list(self._gossip.views.values())
        return min([self._mirror.revision, *(view.known_revision for view in views)])

    def has_recovered(self) -> bool:
        """Return whether the changes acknowledged before a restart are known here.

        They are once the store is known as of a time after the start, as a change is
        recorded before anyone acknowledges it; a mirror from a peer may be older. They
        also are once all other members have told what they know since the start, and
        one of them has recovered or never restarted.
        """
        if not self._has_recovered:
            known_ms = self._clock.now_ms() - self._mirror.store_age_ms()
            since_ms = max(known_ms, self._find_all_told_ms())
            self._has_recovered = since_ms >= self._started_ms
        return self._has_recovered

    def _find_all_told_ms(self) -> float:
        views = list(self._gossip.views.values())
        if not views:
            return NEVER_MS
        told_ms = min(view.told_up_to_ms for view in views)
        return min(told_ms, max(view.heard_up_to_ms for view in views))

    def _list_unsettled(self) -> dict[str, int]:
        return {
            record.service: record.epoch
            for record in list(self._directory.primary_records.values())
            if not record.settled
        }

    def _list_acknowledged(self) -> dict[str, int]:
        return {
            record.service: record.epoch
            for record in list(self._directory.primary_records.values())
            if record.settled or self._guard.is_idle(record.service)
        }

    def _list_silent(self, scope: Scope, now_ms: float) -> dict[str, dict[str, float]]:
        """Return by observer the instances that don't answer it, and for how long.

        To other relays a relay passes on only what observers reported to it directly,
        and to the daemons behind it all that it knows. If relays passed on each other's
        reports, these would never expire.
        """
        silent = {self._name: self._placement.list_silent()}
        if self._plan.relaying:
            for name, view in self._gossip.views.items():
                is_fresh = view.silent_reported_at_ms >= now_ms - LEASE_MS
                is_passed_on = view.silent_reported_directly or scope is Scope.FLEET
                if not view.silent_since_ms:
                    continue
                if is_fresh and is_passed_on and len(silent) < MAX_OBSERVERS:
                    silent[name] = view.silent_since_ms
        return {
            name: {
                instance_id: round(now_ms - since_ms)
                for instance_id, since_ms in instances.items()
            }
            for name, instances in silent.items()
            if instances
        }

    def complete_beat(self, beat: Beat, view: PeerView, since_ms: float | None) -> Beat:
        """Add to a heartbeat what depends on its receiver.

        What the receiver already has is left out to keep heartbeats small.
        """
        # Read before the records: a change that a member tells meanwhile is among these
        # or the member wasn't heard.
        relayed = self._build_relayed(view) if self._plan.relaying else None
        missing_records = self._list_missing(view, since_ms)
        scope = self._find_scope(view)
        return beat._replace(
            report=self._rates.make_report(since_ms, scope, view.name),
            silent=self._list_silent(scope, self._clock.now_ms()),
            primary_records=missing_records[:MAX_RECORDS_PER_BEAT],
            has_all_records=len(missing_records) <= MAX_RECORDS_PER_BEAT,
            relayed=relayed,
            # Otherwise updates through a relay would wait for a timer at each hop.
            wants_reply=not self.contacts.is_mesh()
            and view.name in self._plan.contacts,
        )

    def _list_missing(
        self, view: PeerView, since_ms: float | None
    ) -> list[PrimaryRecord]:
        return [
            record
            for record in list(self._directory.primary_records.values())
            if since_ms is None
            or view.acknowledged.get(record.service, 0) < record.epoch
            or (record.settled and view.unsettled.get(record.service) == record.epoch)
        ]

    def _find_scope(self, view: PeerView) -> Scope:
        if not self._plan.relaying:
            return Scope.OWN
        if view.peer.domain != self._domain:
            return Scope.DOMAIN
        return Scope.OWN if view.relaying else Scope.FLEET

    def _build_relayed(self, view: PeerView) -> Relayed | None:
        """Return what a relay or lock holder needs to know of this domain's members."""
        unsettled = [
            record
            for record in list(self._directory.primary_records.values())
            if not record.settled
        ]
        holds_lock = any(record.holder == view.name for record in unsettled)
        if not (view.relaying or holds_lock):
            return None
        now_ms = self._clock.now_ms()
        same_domain = self.contacts.list_domain(self._domain)
        views = {name: self._gossip.views.get(name) for name in same_domain}
        fresh = {
            name: member
            for name, member in views.items()
            if member is not None and member.heard_up_to_ms >= now_ms - LEASE_MS
        }
        heard = {
            name: round(now_ms - member.heard_up_to_ms)
            for name, member in fresh.items()
        }
        known_revision = min(
            (member.known_revision for member in fresh.values()), default=0
        )
        # Read before what they have acknowledged: a process that is heard for the first
        # time meanwhile must not pass for the one that has.
        processes = {
            name: member.acknowledged_by
            for name, member in views.items()
            if member is not None
        }
        acknowledged = {}
        for record in unsettled:
            known = {
                name: process
                for name, process in processes.items()
                if views[name].acknowledged.get(record.service, 0) >= record.epoch
            }
            acknowledged[record.service] = (record.epoch, known)
        return Relayed(heard, known_revision, acknowledged)

    # Receiving

    def handle_beat(self, beat: Beat, view: PeerView, proven_ms: float) -> None:
        """Apply a peer's heartbeat, whose content counts as of `proven_ms`."""
        self._rates.apply_report(beat.sender, beat.incarnation, proven_ms, beat.report)
        for record in beat.primary_records:
            self._apply_record(record)
        if view.relaying and view.name in self._upstream:
            self._mirror.update_relay_revision(beat.store_revision, view.address)
        if beat.store_revision > 0 and beat.has_all_records:
            self._mirror.confirm_current(
                beat.store_revision, proven_ms - beat.store_age_ms
            )
        if beat.relayed is not None:
            if beat.has_all_records:
                self._apply_heard(beat.relayed, proven_ms)
            self._apply_relayed_acknowledgements(beat.relayed)
        self._apply_proof(beat, proven_ms)
        self._apply_silent(beat)
        self._apply_positions(beat, proven_ms)
        if self._plan.relaying and self._has_new_acknowledgement(view):
            self._gossip.send_now()
        if beat.wants_reply:
            self._gossip.reply(self.build_beat(), view, self.complete_beat)

    def _apply_positions(self, beat: Beat, proven_ms: float) -> None:
        """Take the samples of primaries that both daemons know as settled."""
        for service, (term, number, age_ms) in beat.positions.items():
            known = self._directory.primary_records.get(service)
            is_settled = service not in beat.unsettled and (
                known is None or known.settled
            )
            if is_settled:
                self._placement.positions_of(service).add_peer_sample(
                    proven_ms - age_ms,
                    Position(term, number),
                    beat.acknowledged.get(service, 0),
                )

    def _apply_heard(self, relayed: Relayed, proven_ms: float) -> None:
        """Note up to when all that a relay's members announced is known here.

        That holds only if the relay's heartbeat has all records that it knows.
        """
        views = self._gossip.views
        for name, age_ms in relayed.heard.items():
            view = views.get(name)
            if view is not None and view.heard_up_to_ms < proven_ms - age_ms:
                view.heard_up_to_ms = proven_ms - age_ms
                view.known_revision = relayed.known_revision

    def _apply_relayed_acknowledgements(self, relayed: Relayed) -> None:
        """Note what members have told a relay, unless they have restarted since.

        A restarted member may have forgotten a change. If it passed for known there,
        it would be left out of heartbeats to the member that are a proof.
        """
        views = self._gossip.views
        oldest_ms = self._clock.now_ms() - LEASE_MS
        for service, (epoch, processes) in relayed.acknowledged.items():
            for name, process in processes.items():
                view = views.get(name)
                if view is None:
                    continue
                if process != view.acknowledged_by:
                    if view.received_at_ms >= oldest_ms:
                        continue
                    view.acknowledged = {}
                    view.acknowledged_by = process
                known = view.acknowledged.get(service, 0)
                view.acknowledged[service] = max(known, epoch)

    def _apply_proof(self, beat: Beat, proven_ms: float) -> None:
        if beat.store_revision <= 0 or not beat.has_all_records:
            return
        if beat.proof_age_ms is not None:
            self._guard.add_peer_proof(proven_ms - beat.proof_age_ms)
        heard_ms = [view.heard_up_to_ms for view in self._gossip.views.values()]
        self._guard.add_member_proof(heard_ms, self.has_recovered())

    def _apply_silent(self, beat: Beat) -> None:
        now_ms = self._clock.now_ms()
        # A sender that reports no silent instance has none any more.
        reported = {beat.sender: {}, **beat.silent}
        for name, instances in reported.items():
            view = self._gossip.views.get(name)
            if view is None:
                continue
            view.silent_reported_at_ms = now_ms
            view.silent_reported_directly = name == beat.sender
            view.silent_since_ms = {
                instance_id: now_ms - silent_ms
                for instance_id, silent_ms in instances.items()
            }

    def _has_new_acknowledgement(self, view: PeerView) -> bool:
        """Return whether a peer's acknowledged changes differ from the last check."""
        before = view.acknowledged_at_last_check
        view.acknowledged_at_last_check = dict(view.acknowledged)
        return before != view.acknowledged_at_last_check

    # What primary changes need

    def list_acknowledged(self, service: str, epoch: int) -> set[str]:
        """Return the daemons that can't use the old primary of a change any more."""
        names = {
            name
            for name, view in self._gossip.views.items()
            if view.acknowledged.get(service, 0) >= epoch
        }
        record = self._directory.primary_records.get(service)
        known = record is not None and record.epoch >= epoch
        if known and self._guard.is_idle(service):
            names.add(self._name)
        return names

    def list_silent_since(self, instance_id: str) -> list[float]:
        """Return since when an instance hasn't answered each recently heard peer."""
        oldest_ms = self._clock.now_ms() - LEASE_MS
        return [
            view.silent_since_ms[instance_id]
            for view in self._gossip.views.values()
            if view.silent_reported_at_ms >= oldest_ms
            and instance_id in view.silent_since_ms
        ]

    def announce_idle(self, service: str) -> None:
        """Announce at once that the primary is idle if a change waits for that."""
        record = self._directory.primary_records.get(service)
        if record is not None and not record.settled:
            self._gossip.send_now()
