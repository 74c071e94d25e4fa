"""What this process believes: the configuration, the instances and who leads."""

from typing import NamedTuple

from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import FleetConfig, InstanceEntry, Route
from bronzerelay.runtime import Runtime

# An instance that is listed no more is used for this long still, in milliseconds: its
# entry may have lapsed while the store was away, and comes back within two seconds of
# the store's return. Dropped at once, all instances would be gone for that time.
GONE_AFTER_MS = 2_500


class PrimaryRecord(NamedTuple):
    """Who was last made primary of a service, as the platform's store holds it.

    `term` is the term at which it leads. While `settled` is False the change is under
    way and nobody may use a primary of the service. `deposed` is who led before.
    `epoch` is the fencing token of the change and `holder` the daemon that makes it.
    """

    service: str
    instance: str
    term: int
    epoch: int
    holder: str
    settled: bool
    deposed: str
    # A planned change leaves what runs at the old primary time to end.
    planned: bool


class Directory:
    """The newest configuration, the listed instances and the records of who leads.

    Readers see whole objects that are replaced and never changed, so that no lock is
    taken for a request.
    """

    def __init__(self, runtime: Runtime, log: EventLog, leave_within_ms: float):
        # How long after it said that it was leaving an instance may be used.
        self._leave_within_ms = leave_within_ms
        self._leaving_since_ms: dict[str, float] = {}
        self._lock = runtime.make_lock()
        self._clock = runtime.clock
        self._log = log
        self.config: FleetConfig | None = None
        self.instances: dict[str, InstanceEntry] = {}
        self.primary_records: dict[str, PrimaryRecord] = {}
        self._unlisted_ms: dict[str, float] = {}
        # Instances of each service, derived from `instances`.
        self._by_service: dict[str, tuple[InstanceEntry, ...]] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 before the first."""
        return self.config.version if self.config else 0

    def set_config(self, config: FleetConfig, source: str) -> bool:
        """Put a configuration in force unless it is older; return whether it was put.

        An answer that was held up may bring an old version after a newer one. A
        withdrawn key would work again, so that versions never go back here.
        """
        with self._lock:
            known = self.version
            if config.version <= known:
                return False
            self.config = config
        self._log.write(
            "config",
            "A configuration is in force.",
            version=config.version,
            before=known,
            source=source,
            routes=len(config.routes),
            workspaces=len(config.workspaces),
        )
        return True

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database, or None when the configuration has none."""
        config = self.config
        return config.routes.get(database) if config else None

    # Instances

    def set_instance(self, entry: InstanceEntry) -> None:
        """Take over what an instance says of itself."""
        with self._lock:
            self._unlisted_ms.pop(entry.id, None)
            known = self.instances.get(entry.id)
            if known == entry:
                return
            self.instances = {**self.instances, entry.id: entry}
            self._regroup()
            if entry.leaving:
                self._leaving_since_ms.setdefault(entry.id, self._clock.now_ms())
            else:
                self._leaving_since_ms.pop(entry.id, None)
        self._log.write(
            "instances",
            "An instance changed.",
            instance=entry.id,
            service=entry.service,
            leads=entry.claims_primary,
            leaving=entry.leaving,
            born_ms=entry.born_ms,
        )

    def unlist_instance(self, instance_id: str) -> None:
        """Note that an instance is listed no more; it is forgotten after a while."""
        with self._lock:
            if instance_id in self.instances:
                now_ms = self._clock.now_ms()
                self._unlisted_ms.setdefault(instance_id, now_ms)

    def forget_unlisted(self) -> None:
        """Forget the instances that have been missing for long enough."""
        oldest_ms = self._clock.now_ms() - GONE_AFTER_MS
        missing = [
            key for key, since_ms in self._unlisted_ms.items() if since_ms < oldest_ms
        ]
        for instance_id in missing:
            self._forget(instance_id)

    def _forget(self, instance_id: str) -> None:
        with self._lock:
            known = self.instances.get(instance_id)
            if self._unlisted_ms.pop(instance_id, None) is None or known is None:
                return
            self.instances = {
                key: entry
                for key, entry in self.instances.items()
                if key != instance_id
            }
            self._regroup()
        self._log.write(
            "instances",
            "An instance is gone.",
            instance=instance_id,
            service=known.service,
        )

    def _regroup(self) -> None:
        groups: dict[str, list[InstanceEntry]] = {}
        for entry in self.instances.values():
            groups.setdefault(entry.service, []).append(entry)
        self._by_service = {name: tuple(group) for name, group in groups.items()}

    def list_instances(self, service: str) -> tuple[InstanceEntry, ...]:
        """Return the listed instances of a service."""
        return self._by_service.get(service, ())

    def is_listed(self, entry: InstanceEntry) -> bool:
        """Return whether the same start of the instance is still listed."""
        known = self.instances.get(entry.id)
        return (
            known is not None
            and known.born_ms == entry.born_ms
            and known.address == entry.address
        )

    # Who leads

    def set_primary_record(self, record: PrimaryRecord) -> bool:
        """Take over the record of a change of primary; return whether it is new."""
        with self._lock:
            known = self.primary_records.get(record.service)
            if known is not None and not _is_newer(record, known):
                return False
            self.primary_records = {**self.primary_records, record.service: record}
        self._log.write(
            "leads",
            "A change of primary is settled."
            if record.settled
            else "A change of primary is under way.",
            service=record.service,
            instance=record.instance,
            term=record.term,
            epoch=record.epoch,
            holder=record.holder,
            deposed=record.deposed,
        )
        return True

    def find_primary(self, service: str) -> InstanceEntry | None:
        """Return the primary of a service, or None while there is none to be used."""
        record = self.primary_records.get(service)
        if record is not None:
            if not record.settled:
                return None
            named = self.instances.get(record.instance)
            if named is not None and named.service == service:
                return None if self.is_past_leaving(named) else named
        for entry in self.list_instances(service):
            deposed = record is not None and entry.id == record.deposed
            if entry.claims_primary and not deposed and not self.is_past_leaving(entry):
                return entry
        return None

    def is_past_leaving(self, entry: InstanceEntry) -> bool:
        """Return whether an instance has been leaving for so long that it is gone."""
        since_ms = self._leaving_since_ms.get(entry.id)
        if not entry.leaving or since_ms is None:
            return False
        return self._clock.now_ms() - since_ms > self._leave_within_ms


def _is_newer(record: PrimaryRecord, known: PrimaryRecord) -> bool:
    if record.epoch == known.epoch:
        return record.settled and not known.settled
    return record.epoch > known.epoch
