"""The daemon's view of the configuration, the instances and the primaries."""

from typing import NamedTuple

import msgspec

from bronzerelay.decoding import Label, Whole, Word, decode
from bronzerelay.pooler.evacuations import Evacuations
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import FleetConfig, InstanceEntry, Route
from bronzerelay.runtime import Runtime

# How long an instance that is no longer listed is still used, in milliseconds: its
# entry may have expired while the store was down, and is listed again within two
# seconds of the store's recovery. If entries were dropped at once, there would be no
# instances for that time.
KEEP_UNLISTED_MS = 2_500


class PrimaryRecord(NamedTuple):
    """The last primary change of a service, as recorded in the platform's store.

    `instance` is the primary and `term` its term. While `settled` is False the change
    is under way, no daemon may use a primary of the service, and `instance` may be the
    one that was asked to become primary. `deposed` is the primary before the change.
    `epoch` is the change's fencing token and `holder` the daemon that holds its lock.
    """

    service: Word
    instance: Label
    term: Whole
    epoch: Whole
    holder: Label
    settled: bool
    deposed: Label
    # A switchover gives statements that run at the old primary time to end.
    planned: bool


_record_decoder = msgspec.json.Decoder(PrimaryRecord)


def decode_primary_record(service: str, data: bytes) -> PrimaryRecord:
    """Return the record in a service's item of the store, or raise ValueError."""
    record = decode(_record_decoder, data)
    if record.service != service:
        raise ValueError(f"it is a record of {record.service!r}")
    return record


class Directory:
    """The newest configuration, the listed instances and the primary records.

    Its dictionaries are replaced and never modified, so that requests read them without
    a lock.
    """

    def __init__(
        self,
        runtime: Runtime,
        log: EventLog,
        leave_within_ms: float,
        evacuations: Evacuations,
    ):
        # How long an instance may be used after it announced that it is leaving.
        self._leave_within_ms = leave_within_ms
        self._leaving_since_ms: dict[str, float] = {}
        self._lock = runtime.make_lock()
        self._clock = runtime.clock
        self._log = log
        self.evacuations = evacuations
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
        """Apply a configuration if its version is newer; return whether it was applied.

        A delayed answer may bring an old version after a newer one. Versions never go
        back here, or a withdrawn key would be accepted again.
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

    def find_sync_replicas(self, service: str) -> int:
        """Return how many replicas have received each acknowledged commit."""
        known = self.config.services.get(service) if self.config else None
        return known.sync_replicas if known else 0

    # Instances

    def set_instance(self, entry: InstanceEntry) -> None:
        """Add or update an instance by its entry in the store."""
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
            domain=entry.domain,
        )

    def unlist_instance(self, instance_id: str) -> None:
        """Note that an instance is no longer listed; it is removed after a while."""
        with self._lock:
            if instance_id in self.instances:
                now_ms = self._clock.now_ms()
                self._unlisted_ms.setdefault(instance_id, now_ms)

    def forget_unlisted(self) -> None:
        """Remove the instances that have been unlisted for long enough."""
        oldest_ms = self._clock.now_ms() - KEEP_UNLISTED_MS
        missing = [
            key for key, since_ms in self._unlisted_ms.items() if since_ms < oldest_ms
        ]
        for instance_id in missing:
            self._remove(instance_id)

    def _remove(self, instance_id: str) -> None:
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
            "An instance was removed.",
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

    def list_services(self) -> list[str]:
        """Return the services of the configuration that have listed instances."""
        configured = self.config.services if self.config else {}
        return [name for name in self._by_service if name in configured]

    def is_listed(self, entry: InstanceEntry) -> bool:
        """Return whether the same run of the instance is still listed."""
        known = self.instances.get(entry.id)
        return (
            known is not None
            and known.born_ms == entry.born_ms
            and known.address == entry.address
        )

    def is_leaving(self, entry: InstanceEntry) -> bool:
        """Return whether an instance is to get no new work.

        It has announced that it leaves, or its failure domain is under evacuation.
        """
        return entry.leaving or self.evacuations.includes(entry.domain)

    def is_closed(self, entry: InstanceEntry) -> bool:
        """Return whether nothing at all may be sent to an instance any more."""
        return self.evacuations.has_closed(entry.domain)

    def may_keep_links(self, entry: InstanceEntry) -> bool:
        """Return whether unused links to this run of an instance are worth keeping."""
        return self.is_listed(entry) and not self.evacuations.includes(entry.domain)

    # Primaries

    def set_primary_record(self, record: PrimaryRecord) -> bool:
        """Apply the record of a primary change; return whether it is new."""
        with self._lock:
            known = self.primary_records.get(record.service)
            if known is not None and not _is_newer(record, known):
                return False
            self.primary_records = {**self.primary_records, record.service: record}
        self._log.write(
            "leads",
            "A primary change is settled."
            if record.settled
            else "A primary change is under way.",
            service=record.service,
            instance=record.instance,
            term=record.term,
            epoch=record.epoch,
            holder=record.holder,
            deposed=record.deposed,
        )
        return True

    def find_primary(self, service: str) -> InstanceEntry | None:
        """Return the primary of a service, or None while there is no usable one."""
        primary = self.find_listed_primary(service)
        return None if primary is None or self.has_left(primary) else primary

    def find_listed_primary(self, service: str) -> InstanceEntry | None:
        """Return the primary of a service even if it may not be used any more.

        Once a change is recorded, only its instance is the primary, even while it isn't
        listed. Any other instance that claims to be primary may be one that was
        replaced by this change or by an earlier one.
        """
        record = self.primary_records.get(service)
        if record is None:
            return self._find_claiming(service)
        recorded = self.instances.get(record.instance)
        if not record.settled or recorded is None or recorded.service != service:
            return None
        return recorded

    def _find_claiming(self, service: str) -> InstanceEntry | None:
        """Return the instance that claims to be primary, a usable one if there is."""
        claiming = [
            entry for entry in self.list_instances(service) if entry.claims_primary
        ]
        return min(claiming, key=self.has_left, default=None)

    def has_left(self, entry: InstanceEntry) -> bool:
        """Return whether the time in which a leaving instance may be used is over."""
        if self.is_closed(entry):
            return True
        since_ms = self._leaving_since_ms.get(entry.id)
        if not entry.leaving or since_ms is None:
            return False
        return self._clock.now_ms() - since_ms > self._leave_within_ms


def _is_newer(record: PrimaryRecord, known: PrimaryRecord) -> bool:
    if record.epoch == known.epoch:
        return record.settled and not known.settled
    return record.epoch > known.epoch
