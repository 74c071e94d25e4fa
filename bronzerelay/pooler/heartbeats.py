"""What a daemon tells its peers in heartbeats, and what it learns from theirs.

A proof that a primary still leads is passed on: who has one, and has told all changes
that it knows of, proves as much to the receiver. So only relays have to hear of most
members, and the others of one relay.
"""

from collections.abc import Callable

from bronzerelay.pooler.contacts import Contacts, Plan
from bronzerelay.pooler.directory import Directory, PrimaryRecord
from bronzerelay.pooler.fleetrates import FleetRates
from bronzerelay.pooler.freshness import Turn
from bronzerelay.pooler.gossip import BEAT_MS, Beat, Gossip, PeerView, Relayed
from bronzerelay.pooler.messages import Position
from bronzerelay.pooler.mirror import Mirror
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primaryguard import LEASE_MS, PrimaryGuard
from bronzerelay.pooler.sources import EMPTY_REPORT, Scope, SourceGroup
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime

# How old the end of a primary's log may be that heartbeats tell, in milliseconds: two
# heartbeats, of which one may be lost.
SAMPLE_AGE_MS = 600
# The same for what a relay passes on, which has come two ways by then.
RELAYED_SAMPLE_AGE_MS = 1_000
# Changes of primary that one heartbeat tells.
LEADS_IN_BEAT = 8
# A peer that is addressed and wasn't heard of for this long is silent, in milliseconds.
SILENT_PEER_MS = 1_000
# Observers whose word on silent instances a relay passes on.
OBSERVERS = 8
# Who tells of the fleet where relays do.
FLEET = "fleet"
# How much later a daemon learns what another one knows, in milliseconds. Where all hear
# of all, it counts from the heartbeat before the last one; relays answer at once.
MESH_LAG_MS = 2 * BEAT_MS + 100
RELAY_LAG_MS = BEAT_MS + 100
# What the order is named by in which daemons ask the store.
STORE = "store"


class Heartbeats:
    """Fills heartbeats from a daemon's parts, and hands what others say to these."""

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
        take_lead: Callable[[PrimaryRecord], None],
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
        self._take_lead = take_lead
        self.contacts = Contacts(name, domain)
        self._plan = Plan(frozenset())
        self.is_stopping = False

    # Whom to address, and who tells of whom

    def update_plan(self) -> None:
        """Choose the contacts anew, by who is silent now."""
        makes_change = any(
            record.holder == self._name and not record.settled
            for record in list(self._directory.primary_records.values())
        )
        self._plan = self.contacts.plan(self._is_silent, makes_change)
        self._gossip.set_contacts(self._plan.contacts)

    def _is_silent(self, name: str) -> bool:
        view = self._gossip.views.get(name)
        if view is None or view.addressed_since_ms is None:
            return False
        heard_ms = max(view.received_at_ms, view.addressed_since_ms)
        return self._clock.now_ms() - heard_ms > SILENT_PEER_MS

    def is_relaying(self) -> bool:
        """Return whether this daemon is a relay of its failure domain."""
        return self._plan.relaying

    def may_remove_members(self) -> bool:
        """Return whether this daemon hears of enough to take silent ones for gone."""
        return self._plan.relaying or self.contacts.is_mesh()

    def has_relay(self) -> bool:
        """Return whether a relay tells this daemon what changes in the store."""
        if self.contacts.is_mesh() or self._plan.relaying:
            return False
        views = self._gossip.views
        return any(
            name in views
            and views[name].store_revision > 0
            and not self._is_silent(name)
            for name in self._plan.relays.get(self._domain, ())
        )

    def find_turn(self) -> Turn:
        """Return when it is this daemon's turn to ask the store, were nothing heard."""
        if not (self.contacts.is_mesh() or self._plan.relaying):
            return Turn(self.contacts.find_place(), 2 * RELAY_LAG_MS)
        lag_ms = RELAY_LAG_MS
        names = {name for names in self._plan.relays.values() for name in names}
        if self.contacts.is_mesh():
            lag_ms = MESH_LAG_MS
            names = set(self._gossip.views)
        views = self._gossip.views
        heard = [
            name
            for name in names
            if name in views
            and views[name].store_revision > 0
            and not self._is_silent(name)
        ]
        place = rank(STORE, [*heard, self._name]).index(self._name)
        return Turn(place, lag_ms if place else 0.0)

    def announce_store_change(self) -> None:
        """Tell at once that something has changed in the store, where others wait."""
        if self._plan.relaying:
            self._gossip.send_now()

    def list_sources(self, serving: list[str]) -> dict[str, SourceGroup]:
        """Return who tells of the operations of the other members that serve."""
        if self.contacts.is_mesh():
            return {name: SourceGroup(Scope.OWN, (name,)) for name in serving}
        plan = self._plan
        if not plan.relaying:
            relays = plan.relays.get(self._domain, ())
            return {FLEET: SourceGroup(Scope.FLEET, relays, len(serving))}
        near = set(self.contacts.list_domain(self._domain))
        groups = {
            name: SourceGroup(Scope.OWN, (name,)) for name in serving if name in near
        }
        for domain, relays in plan.relays.items():
            members = len(set(serving) & set(self.contacts.list_domain(domain)))
            if domain != self._domain and members:
                key = f"{Scope.DOMAIN.name} {domain}"
                groups[key] = SourceGroup(Scope.DOMAIN, relays, members)
        return groups

    # Telling

    def begin_round(self) -> Beat:
        """Choose the contacts anew and return what to tell them."""
        self.update_plan()
        return self.build_beat()

    def build_beat(self) -> Beat:
        """Return the part of a heartbeat that doesn't depend on its receiver."""
        now_ms = self._clock.now_ms()
        relaying = self._plan.relaying
        # Where all hear of all, what peers have told comes to the others from them.
        age_ms = RELAYED_SAMPLE_AGE_MS if relaying else SAMPLE_AGE_MS
        samples = self._placement.list_samples(now_ms - age_ms, own=not relaying)
        positions = {
            service: (*sample.position, round(now_ms - sample.at_ms))
            for service, sample in samples.items()
        }
        proof_age_ms = self._guard.proof_age_ms()
        # Before the revision: an age that is read later may be for a later one.
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
            self._list_under_way(),
            self._list_own_acknowledged(),
            proof_age_ms if proof_age_ms <= LEASE_MS else None,
            relaying,
            None,
        )

    def _list_under_way(self) -> dict[str, int]:
        return {
            record.service: record.epoch
            for record in list(self._directory.primary_records.values())
            if not record.settled
        }

    def _list_own_acknowledged(self) -> dict[str, int]:
        return {
            record.service: record.epoch
            for record in list(self._directory.primary_records.values())
            if record.settled or self._guard.is_idle(record.service)
        }

    def _describe_silent(
        self, scope: Scope, now_ms: float
    ) -> dict[str, dict[str, float]]:
        """Return which instances give whom no answer, and for how long.

        A relay passes on to others what it was told itself, and to the daemons behind
        it all that it knows. Told on and on, it would never be forgotten.
        """
        silent = {self._name: self._placement.list_silent()}
        if self._plan.relaying:
            for name, view in self._gossip.views.items():
                fresh = view.silent_at_ms >= now_ms - LEASE_MS
                passed_on = view.silent_directly or scope is Scope.FLEET
                if not view.silent_since_ms:
                    continue
                if fresh and passed_on and len(silent) < OBSERVERS:
                    silent[name] = view.silent_since_ms
        return {
            name: {one: round(now_ms - since_ms) for one, since_ms in instances.items()}
            for name, instances in silent.items()
            if instances
        }

    def complete_beat(self, beat: Beat, view: PeerView, since_ms: float | None) -> Beat:
        """Add to a heartbeat what is for the peer that gets it.

        What it is known to know already is left out, so that heartbeats stay small.
        """
        missing = [
            record
            for record in list(self._directory.primary_records.values())
            if since_ms is None
            or view.acknowledged.get(record.service, 0) < record.epoch
            or (record.settled and view.under_way.get(record.service) == record.epoch)
        ]
        scope = self._find_scope(view)
        return beat._replace(
            report=self._rates.make_report(since_ms, scope, view.name),
            silent=self._describe_silent(scope, self._clock.now_ms()),
            leads=missing[:LEADS_IN_BEAT],
            all_told=len(missing) <= LEADS_IN_BEAT,
            relayed=self._relay_to(view) if self._plan.relaying else None,
            # News from behind a relay would else wait for the timers of all on its way.
            asks=not self.contacts.is_mesh() and view.name in self._plan.contacts,
        )

    def _find_scope(self, view: PeerView) -> Scope:
        if not self._plan.relaying:
            return Scope.OWN
        if view.peer.domain != self._domain:
            return Scope.DOMAIN
        return Scope.OWN if view.relaying else Scope.FLEET

    def _relay_to(self, view: PeerView) -> Relayed | None:
        """Return what a relay or the maker of a change needs to hear of the others."""
        unsettled = [
            record
            for record in list(self._directory.primary_records.values())
            if not record.settled
        ]
        makes_change = any(record.holder == view.name for record in unsettled)
        if not (view.relaying or makes_change):
            return None
        now_ms = self._clock.now_ms()
        near = self.contacts.list_domain(self._domain)
        views = {name: self._gossip.views.get(name) for name in near}
        fresh = {
            name: one
            for name, one in views.items()
            if one is not None and one.told_at_ms >= now_ms - LEASE_MS
        }
        heard = {name: round(now_ms - one.told_at_ms) for name, one in fresh.items()}
        known_at = min((one.knew_at for one in fresh.values()), default=0)
        acknowledged = {}
        for record in unsettled:
            names = [
                name
                for name, one in views.items()
                if one is not None
                and one.acknowledged.get(record.service, 0) >= record.epoch
            ]
            acknowledged[record.service] = (record.epoch, names)
        return Relayed(heard, known_at, acknowledged)

    # Learning

    def handle_beat(self, beat: Beat, view: PeerView, proven_ms: float) -> None:
        """Take a peer's heartbeat, which counts from `proven_ms`."""
        self._rates.apply_report(beat.sender, beat.incarnation, proven_ms, beat.report)
        for record in beat.leads:
            self._take_lead(record)
        if view.relaying and not self._plan.relaying:
            self._mirror.note_told(beat.store_revision, view.address)
        if beat.store_revision > 0:
            self._mirror.note_known(beat.store_revision, proven_ms - beat.store_age_ms)
        if beat.relayed is not None:
            self._take_relayed(beat.relayed, proven_ms)
        self._take_proof(beat, proven_ms)
        self._take_silent(beat)
        for service, (term, number, age_ms) in beat.positions.items():
            known = self._directory.primary_records.get(service)
            if beat.acknowledged.get(service) == (known.epoch if known else None):
                positions = self._placement.positions_of(service)
                positions.add_sample(proven_ms - age_ms, Position(term, number))
        if self._plan.relaying and self._tells_of_change(view):
            self._gossip.send_now()
        if beat.asks:
            self._gossip.answer(self.build_beat(), view, self.complete_beat)

    def _take_relayed(self, relayed: Relayed, proven_ms: float) -> None:
        views = self._gossip.views
        for name, age_ms in relayed.heard.items():
            view = views.get(name)
            if view is not None and view.told_at_ms < proven_ms - age_ms:
                view.told_at_ms = proven_ms - age_ms
                view.knew_at = relayed.known_at
        for service, (epoch, names) in relayed.acknowledged.items():
            for name in names:
                if name in views:
                    known = views[name].acknowledged.get(service, 0)
                    views[name].acknowledged[service] = max(known, epoch)

    def _take_proof(self, beat: Beat, proven_ms: float) -> None:
        if beat.store_revision <= 0 or not beat.all_told:
            return
        if beat.proof_age_ms is not None:
            self._guard.note_passed_on(proven_ms - beat.proof_age_ms)
        self._guard.note_members(
            view.told_at_ms for view in self._gossip.views.values()
        )

    def _take_silent(self, beat: Beat) -> None:
        now_ms = self._clock.now_ms()
        # Who tells of none has none any more.
        told = {beat.sender: {}, **beat.silent}
        for name, instances in told.items():
            view = self._gossip.views.get(name)
            if view is None:
                continue
            view.silent_at_ms = now_ms
            view.silent_directly = name == beat.sender
            view.silent_since_ms = {
                one: now_ms - for_ms for one, for_ms in instances.items()
            }

    def _tells_of_change(self, view: PeerView) -> bool:
        """Return whether a peer has just acknowledged a change that is under way."""
        before = view.acknowledged_before
        view.acknowledged_before = dict(view.acknowledged)
        return before != view.acknowledged_before

    # What changes of primary go by

    def list_acknowledged(self, service: str, epoch: int) -> set[str]:
        """Return the daemons that can't use the primary before a change any more."""
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
        """Return since when an instance has given no answer to peers heard lately."""
        oldest_ms = self._clock.now_ms() - LEASE_MS
        return [
            view.silent_since_ms[instance_id]
            for view in self._gossip.views.values()
            if view.silent_at_ms >= oldest_ms and instance_id in view.silent_since_ms
        ]

    def announce_idle(self, service: str) -> None:
        """Tell at once that nothing is under way, where a change waits for it."""
        record = self._directory.primary_records.get(service)
        if record is not None and not record.settled:
            self._gossip.send_now()
