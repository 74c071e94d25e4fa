"""What a daemon tells its peers in heartbeats, and what it learns from theirs."""

from collections.abc import Callable

from bronzerelay.pooler.directory import Directory, LeadRecord
from bronzerelay.pooler.fleetrates import NO_REPORT, FleetRates
from bronzerelay.pooler.gossip import NEVER_MS, Beat, Gossip
from bronzerelay.pooler.leadership import LEASE_MS, LeadGuard
from bronzerelay.pooler.messages import Position
from bronzerelay.pooler.mirror import Mirror
from bronzerelay.pooler.placement import Placement
from bronzerelay.runtime import Runtime

# How old the end of a primary's log may be that heartbeats tell, in milliseconds: two
# heartbeats, of which one may be lost.
SAMPLE_AGE_MS = 600
# Changes of primary that heartbeats repeat.
LEADS_IN_BEAT = 8


class Heartbeats:
    """Fills heartbeats from a daemon's parts, and hands what others say to these."""

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        gossip: Gossip,
        mirror: Mirror,
        directory: Directory,
        placement: Placement,
        rates: FleetRates,
        guard: LeadGuard,
        take_lead: Callable[[LeadRecord], None],
    ):
        self._clock = runtime.clock
        self._name = name
        self._gossip = gossip
        self._mirror = mirror
        self._directory = directory
        self._placement = placement
        self._rates = rates
        self._guard = guard
        self._take_lead = take_lead
        self.is_stopping = False

    def describe(self) -> Beat:
        """Return the part of a heartbeat that doesn't depend on its receiver."""
        now_ms = self._clock.now_ms()
        # What peers have told reaches all others from themselves.
        samples = self._placement.list_own_samples(now_ms - SAMPLE_AGE_MS)
        positions = {
            service: (*sample.position, round(now_ms - sample.at_ms, 1))
            for service, sample in samples.items()
        }
        leads = list(self._directory.leads.values())[-LEADS_IN_BEAT:]
        return Beat(
            self._name,
            self._gossip.incarnation,
            0,
            0,
            0,
            self.is_stopping,
            self._mirror.at,
            NO_REPORT,
            positions,
            leads,
            [
                record.service
                for record in leads
                if self._guard.is_quiet(record.service)
            ],
            {
                instance_id: round(now_ms - since_ms, 1)
                for instance_id, since_ms in self._placement.list_silent().items()
            },
        )

    def take(self, beat: Beat, proven_ms: float) -> None:
        """Take a peer's heartbeat, which counts from `proven_ms`."""
        self._rates.note_report(beat.sender, beat.incarnation, proven_ms, beat.report)
        epochs = {}
        for record in beat.leads:
            epochs[record.service] = record.epoch
            self._take_lead(record)
        if beat.mirror_at > 0:
            self._note_heard()
        for service, (term, number, age_ms) in beat.positions.items():
            known = self._directory.leads.get(service)
            if epochs.get(service) == (known.epoch if known else None):
                positions = self._placement.positions_of(service)
                positions.note(proven_ms - age_ms, Position(term, number))

    def _note_heard(self) -> None:
        self._guard.note_members(
            view.heard_at_ms if view.mirror_at > 0 else NEVER_MS
            for view in self._gossip.views.values()
        )

    # What changes of primary go by

    def list_acknowledged(self, service: str, epoch: int) -> set[str]:
        """Return the daemons that can't use the primary before a change any more."""
        names = {
            name
            for name, view in self._gossip.views.items()
            if view.acknowledged.get(service, 0) >= epoch
        }
        record = self._directory.leads.get(service)
        known = record is not None and record.epoch >= epoch
        if known and self._guard.is_quiet(service):
            names.add(self._name)
        return names

    def list_silent_since(self, instance_id: str) -> list[float]:
        """Return since when an instance has given no answer to peers heard lately."""
        oldest_ms = self._clock.now_ms() - LEASE_MS
        return [
            view.silent_since_ms[instance_id]
            for view in self._gossip.views.values()
            if view.received_at_ms >= oldest_ms and instance_id in view.silent_since_ms
        ]

    def tell_quiet(self, service: str) -> None:
        """Tell at once that nothing is under way, where a change waits for it."""
        record = self._directory.leads.get(service)
        if record is not None and not record.settled:
            self._gossip.hurry()
