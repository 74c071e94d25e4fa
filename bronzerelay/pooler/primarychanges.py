"""Primary changes: when one is due, which daemon carries it out, and its steps.

One daemon at a time, the lock holder, carries out the change of a service's primary. It
takes the lock by a compare-and-swap on the service's record in the platform's store;
the record's epoch is the fencing token. The steps: record that a change is under way;
wait until no daemon can use the old primary; choose the replica whose log is longest;
have the platform promote it; record the new primary.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec

from bronzerelay.load.successors import Successor, choose_successor
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import (
    Directory,
    PrimaryRecord,
    decode_primary_record,
)
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import InstanceEntry
from bronzerelay.pooler.messages import InstanceStatus, Position
from bronzerelay.pooler.mirror import Item, Mirror, StoreError
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.pooler.texts import list_some
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime, TaskLimitError

PRIMARY_RECORD_PREFIX = "bronzerelay/leads/"
# A primary that has answered no daemon for this long counts as dead, in milliseconds.
# What peers report of it is up to two heartbeats old; a slow statement takes less.
DEAD_AFTER_MS = 1_000
# Failed requests to the primary that this daemon and its peers must have seen in total.
# In a large fleet each daemon has little traffic, and the one that has to act may have
# sent the primary nothing.
DEAD_FAILURES = 2
# A service without a primary gets one after this time, in milliseconds: the entries of
# its instances arrive one by one, and the primary's may be the last.
NO_PRIMARY_MS = 1_500
# Each daemon further down the ranking waits this much longer, in milliseconds, so that
# one has usually finished before the next one starts.
STAGGER_MS = 500
# For this long after its last write to the record the lock holder assumes that it still
# holds the lock, in milliseconds. After that it writes again to make sure, because its
# process may have been frozen and the lock taken over.
LOCK_RECHECK_MS = 900
# A change whose record hasn't been written for this long is taken over, in
# milliseconds. It covers LOCK_RECHECK_MS and the lock holder's longest call to the
# platform.
TAKEOVER_MS = 2_600
# How long a switchover waits for the replica to catch up, in milliseconds.
CATCH_UP_MS = 1_500
# How long the promoted instance may take to become primary, in milliseconds; after that
# an instance is chosen again.
BECOME_PRIMARY_MS = 2_000
# A switchover starts once a replica lacks no more than this many log entries. Callers
# can't write while it receives the rest, which takes milliseconds.
MAX_LAG_ENTRIES = 20
# A failover that had to wait this long for other daemons checks once more whether the
# primary is dead, in milliseconds. A wait this long points to a network partition that
# has healed, not to a crash.
LONG_WAIT_MS = 2 * LEASE_MS
# How often a lock holder that waits for other daemons asks the old primary whether it
# leads after all, in milliseconds.
ASK_OLD_MS = 1_000
# How long an instance that was partitioned from the store may take to be listed again,
# in milliseconds: the platform promises about two seconds.
RELISTING_MS = 2_500
STATUS_TIMEOUT_MS = 400
POLL_MS = 40
PROMOTE_TIMEOUT_MS = 900
# How long after its lock was verified a lock holder may request a promotion, in
# milliseconds: the request has ended before another daemon may take the change over.
PROMOTE_WITHIN_MS = TAKEOVER_MS - PROMOTE_TIMEOUT_MS
MAX_TRIES = 8
RETRY_MS = 250


class Promotion(enum.Enum):
    """The platform's answer to a request to promote an instance."""

    DONE = enum.auto()
    NOT_RUNNING = enum.auto()
    # The request wasn't sent: the platform couldn't be reached, or it was too late.
    NOT_SENT = enum.auto()
    UNKNOWN = enum.auto()


class Promoter(Protocol):
    """The platform's call that promotes an instance."""

    def __call__(
        self,
        service: str,
        instance: str,
        holder: str,
        epoch: int,
        timeout_ms: float,
        send_by_ms: float,
    ) -> Promotion:
        """Request the promotion, fenced by the lock holder's name and the epoch.

        After `send_by_ms` of the clock the request isn't sent any more.
        """


class FleetView(NamedTuple):
    """What a primary change needs to know of the other daemons."""

    # The names of all members, including this daemon.
    names: Callable[[], list[str]]
    # The members that know of a change and have no statement in progress at the old
    # primary, by service and epoch.
    acknowledged: Callable[[str, int], set[str]]
    # Why the members outside this set may give each other a valid primary proof, "" if
    # they can't.
    explain_no_quorum: Callable[[set[str]], str]
    # Whether the member list is as of a store revision or a later one.
    is_current: Callable[[int], bool]
    # Whether a daemon that isn't a member may have a valid primary proof.
    may_have_outsiders: Callable[[], bool]
    # For each peer that an instance doesn't answer, since when.
    silent_since_ms: Callable[[str], list[float]]


AskStatus = Callable[[InstanceEntry, float], InstanceStatus | None]


class Basis(NamedTuple):
    """The record of a service that a decision rests on, and its store revision.

    The lock is taken by a compare-and-swap on this revision, so that it fails if
    another daemon has written since, be it to begin a change or to go on with one.
    """

    record: PrimaryRecord | None
    revision: int


class PrimaryChangeCoordinator:
    """Detects when a service needs another primary, and starts the change."""

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        directory: Directory,
        mirror: Mirror,
        placement: Placement,
        fleet: FleetView,
        ask_status: AskStatus,
        promote: Promoter,
        announce: Callable[[PrimaryRecord], None],
        counters: Counters,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._announce = announce
        self._name = name
        self._directory = directory
        self._mirror = mirror
        self._placement = placement
        self._fleet = fleet
        self._ask_status = ask_status
        self._promote = promote
        self._counters = counters
        self._log = log
        self._lock = runtime.make_lock()
        self._busy: set[str] = set()
        # By service, why a change looks due, and since when.
        self._due: dict[str, tuple[str, float]] = {}
        # By service, the record last seen, its store revision, and since when.
        self._seen: dict[str, tuple[PrimaryRecord, int, float]] = {}

    # When a change is due

    def start_due_changes(self) -> None:
        """Check all services and start the changes that are due at this daemon."""
        for service in self._directory.list_services():
            basis = self._read_basis(service)
            reason = self._find_reason(service, basis)
            if reason is None:
                self._due.pop(service, None)
            elif self._is_turn(service, reason):
                self._start(service, reason, basis)

    def _read_basis(self, service: str) -> Basis:
        # The revision first: a record that is newer than it makes the lock fail.
        item = self._mirror.get(PRIMARY_RECORD_PREFIX + service)
        record = self._directory.primary_records.get(service)
        if item is None or record is None or record.settled:
            return Basis(record, item.revision if item else 0)
        return Basis(_find_newest_version(record, item), item.revision)

    def _find_reason(self, service: str, basis: Basis) -> str | None:
        now_ms = self._clock.now_ms()
        if basis.record is not None and not basis.record.settled:
            return self._find_takeover_reason(basis.record, basis.revision, now_ms)
        directory = self._directory
        primary = directory.find_listed_primary(service)
        if primary is None:
            return "no primary"
        if directory.is_leaving(primary):
            if all(map(directory.is_leaving, directory.list_instances(service))):
                # Nobody can take over, so the primary serves for as long as it may.
                return None
            is_evacuated = directory.evacuations.includes(primary.domain)
            usable = is_evacuated or not directory.has_left(primary)
            return "planned" if usable else "no primary"
        return "dead" if self._looks_dead(primary, now_ms) else None

    def _find_takeover_reason(
        self, record: PrimaryRecord, revision: int, now_ms: float
    ) -> str | None:
        # An earlier process of this daemon started the change. It is gone, since this
        # process has its name, so there is no need to wait for it.
        if record.holder == self._name and record.service not in self._busy:
            return "restarted"
        # A lock holder that waits for long writes the same record again, which raises
        # its store revision, so that no other daemon takes the change over.
        seen = self._seen.get(record.service)
        if seen is None or seen[:2] != (record, revision):
            self._seen[record.service] = (record, revision, now_ms)
            return None
        return "stalled" if now_ms - seen[2] > TAKEOVER_MS else None

    def _looks_dead(self, primary: InstanceEntry, now_ms: float) -> bool:
        """Return whether the primary has answered neither this daemon nor any peer."""
        view = self._placement.view_of(primary.id)
        positions = self._placement.positions_of(primary.service)
        reported_ms = self._fleet.silent_since_ms(primary.id)
        reported_ms += [view.failing_since_ms] * min(view.failures, DEAD_FAILURES)
        # Answers that it failed to give before it became primary don't count.
        since_ms = [one for one in reported_ms if one >= positions.reset_at_ms]
        if len(since_ms) < DEAD_FAILURES or now_ms - min(since_ms) < DEAD_AFTER_MS:
            return False
        return now_ms - positions.last_seen_ms() > DEAD_AFTER_MS

    def _is_turn(self, service: str, reason: str) -> bool:
        now_ms = self._clock.now_ms()
        known, since_ms = self._due.get(service, ("", 0.0))
        if known != reason:
            self._due[service] = (reason, now_ms)
            since_ms = now_ms
        order = rank(f"lead/{service}", self._fleet.names())
        place = order.index(self._name) if self._name in order else len(order)
        first_ms = NO_PRIMARY_MS if reason == "no primary" else 0
        return now_ms - since_ms >= first_ms + place * STAGGER_MS

    def _start(self, service: str, reason: str, basis: Basis) -> None:
        with self._lock:
            if service in self._busy:
                return
            self._busy.add(service)
        try:
            self._runtime.start(self._run, service, reason, basis)
        except TaskLimitError as error:
            # If it stayed in `_busy`, the service would never be checked again.
            with self._lock:
                self._busy.discard(service)
            self._log.write(
                "changes", "No task is free for a primary change.", error=str(error)
            )

    def _run(self, service: str, reason: str, basis: Basis) -> None:
        try:
            if self._is_safe_now(service, reason):
                _PrimaryChange(self, service, reason, basis).run()
        finally:
            with self._lock:
                self._busy.discard(service)
                self._due.pop(service, None)

    def _is_safe_now(self, service: str, reason: str) -> bool:
        """Return whether a change now wouldn't lose acknowledged writes needlessly.

        A primary that is leaving still serves for some seconds, in which a replica can
        receive the rest of its log. A replica that is promoted before that lacks the
        writes that were acknowledged meanwhile.
        """
        if reason not in ("planned", "no primary"):
            return True
        leaving_primaries = [
            entry
            for entry in self._directory.list_instances(service)
            if entry.claims_primary and self._directory.is_leaving(entry)
        ]
        ends = [self.find_log_end(entry) for entry in leaving_primaries]
        log_ends = [end for end in ends if end is not None]
        if not log_ends:
            return True
        log_end = max(log_ends)
        best = self.find_best(
            service, frozenset(entry.id for entry in leaving_primaries), log_end
        )
        if best is None:
            return False
        received = best[1].received
        lag = log_end.position - received.position
        is_close = received.term == log_end.term and lag <= MAX_LAG_ENTRIES
        if not is_close:
            self._log.write(
                "changes",
                "A replica has to catch up before a primary change.",
                service=service,
                reason=reason,
                received=received,
                wanted=log_end,
            )
        return is_close or received > log_end

    def find_log_end(self, entry: InstanceEntry) -> Position | None:
        """Return the end of a leaving primary's log, or None if it isn't known.

        A primary whose failure domain was evacuated may not be asked any more. Nothing
        has been committed there since, so what was last heard of its log counts.
        """
        if self._directory.is_closed(entry):
            sample = self._placement.positions_of(entry.service).newest()
            return sample.position if sample else None
        status = self._ask_status(entry, STATUS_TIMEOUT_MS)
        return status.received if status else None

    def find_best(
        self, service: str, excluded: frozenset[str], log_end: Position | None = None
    ) -> tuple[InstanceEntry, InstanceStatus] | None:
        """Return the instance to promote: the one whose log is longest.

        Among equal ones it is one that stays, in a failure domain with few primaries.
        Where replicas acknowledge commits, the last ones may be in the log of a single
        replica, also of one that is leaving. So none is returned there while too many
        don't tell their logs, unless one has reached `log_end`.
        """
        directory = self._directory
        sync_replicas = directory.find_sync_replicas(service)
        candidates, silent = {}, []
        for entry in directory.list_instances(service):
            if entry.id in excluded:
                continue
            if directory.is_leaving(entry) and not sync_replicas:
                continue
            status = self._ask_status(entry, STATUS_TIMEOUT_MS)
            if status is None:
                silent.append(entry.id)
            else:
                candidates[entry.id] = (entry, status)
        successors = [
            Successor(
                entry.id, entry.domain, status.received, directory.is_leaving(entry)
            )
            for entry, status in candidates.values()
        ]
        chosen = choose_successor(successors, self._list_primary_domains(service))
        if chosen is None:
            return None
        is_complete = log_end is not None and chosen.received >= log_end
        if len(silent) >= sync_replicas > 0 and not is_complete:
            self._log.write(
                "changes",
                "An acknowledged commit may be in a log that isn't known.",
                service=service,
                silent=list_some(silent),
                sync_replicas=sync_replicas,
                longest=chosen.id,
                received=chosen.received,
            )
            return None
        return candidates[chosen.id]

    def _list_primary_domains(self, service: str) -> list[str]:
        """Return the failure domains of the primaries of all other services."""
        services = {entry.service for entry in self._directory.instances.values()}
        primaries = [
            self._directory.find_listed_primary(other) for other in services - {service}
        ]
        return [primary.domain for primary in primaries if primary is not None]


def _find_newest_version(record: PrimaryRecord, item: Item) -> PrimaryRecord:
    """Return the record as the store has it, which may name a later choice."""
    try:
        stored = decode_primary_record(record.service, item.data or b"")
    except ValueError:
        return record
    return stored if stored.epoch == record.epoch else record


def _find_replaced(record: PrimaryRecord | None) -> str:
    """Return the instance that a change after this record replaces, or ""."""
    if record is None:
        return ""
    return record.instance if record.settled else record.deposed


class _ChangeAbandonedError(Exception):
    """The change can't be completed, or another daemon may hold the lock."""


class _PrimaryChange:
    """One change of one service's primary, carried out by this daemon."""

    def __init__(
        self,
        coordinator: PrimaryChangeCoordinator,
        service: str,
        reason: str,
        basis: Basis,
    ):
        self._coordinator = coordinator
        self._clock = coordinator._clock
        self._service = service
        self._reason = reason
        self._key = PRIMARY_RECORD_PREFIX + service
        self._revision = basis.revision
        self._lock_verified_ms = 0.0
        primary = coordinator._directory.find_listed_primary(service)
        known = basis.record
        self._old_id = primary.id if primary else _find_replaced(known)
        # Kept here because the directory drops the entry when the old primary is
        # partitioned from the store for long.
        self._old_entry = primary
        epoch = known.epoch if known else 0
        self._record = PrimaryRecord(
            service,
            known.instance if known else self._old_id,
            known.term if known else 0,
            epoch + 1,
            coordinator._name,
            False,
            self._old_id,
            reason == "planned",
        )

    def run(self) -> None:
        """Carry out the change, or give up when another daemon holds the lock."""
        started_ms = self._clock.now_ms()
        self._log("A primary change starts.", reason=self._reason, old=self._old_id)
        try:
            self._write()
            survivor = self._wait_for_daemons()
            chosen, term = survivor or self._promote_replica()
            self._settle(chosen, term)
        except (_ChangeAbandonedError, StoreError) as error:
            self._log("A primary change was abandoned.", error=str(error))
            return
        self._coordinator._counters.count("primary_changes", reason=self._reason)
        took_ms = round(self._clock.now_ms() - started_ms)
        self._log("A primary change is complete.", instance=chosen.id, took_ms=took_ms)

    def _log(self, message: str, **fields: object) -> None:
        self._coordinator._log.write(
            "changes",
            message,
            service=self._service,
            epoch=self._record.epoch,
            **fields,
        )

    # The lock

    def _write(self) -> None:
        """Write the record if no other daemon has since; raise when that is unknown."""
        sent_at_ms = self._clock.now_ms()
        data = msgspec.json.encode(self._record)
        mirror = self._coordinator._mirror
        try:
            self._revision = mirror.compare_and_swap(
                {self._key: self._revision}, {self._key: data}, []
            )
        except StoreError as error:
            if not error.may_have_run:
                raise
            self._read_back(data, error)
        self._lock_verified_ms = sent_at_ms
        self._coordinator._announce(self._record)

    def _read_back(self, data: bytes, error: StoreError) -> None:
        """Check that a write whose answer was lost took effect; raise if not."""
        item = self._coordinator._mirror.read(self._key)
        if item is None or item.data != data:
            raise error
        self._revision = item.revision

    def _verify_lock(self) -> None:
        """Make sure that this daemon still holds the lock."""
        if self._clock.now_ms() - self._lock_verified_ms > LOCK_RECHECK_MS:
            self._write()

    # The other daemons

    def _wait_for_daemons(self) -> tuple[InstanceEntry, int] | None:
        """Wait until no daemon can use the old primary any more.

        Return the old primary and its term if it stays, else None. Only a member list
        that is as of the change's record counts: a daemon that joins later has read the
        record.
        """
        started_ms = self._clock.now_ms()
        asked_old_ms = started_ms
        recorded_at = self._revision
        fleet = self._coordinator._fleet
        quorum_since_ms = None
        while True:
            is_current = fleet.is_current(recorded_at)
            names = set(fleet.names())
            known = fleet.acknowledged(self._service, self._record.epoch)
            has_outsiders = fleet.may_have_outsiders()
            now_ms = self._clock.now_ms()
            if is_current and names <= known and not has_outsiders:
                waited_ms = now_ms - started_ms
                self._log(
                    "All daemons have acknowledged the change.",
                    waited_ms=round(waited_ms),
                )
                return self._find_surviving_primary(waited_ms)
            if is_current:
                obstacle = fleet.explain_no_quorum(known)
            else:
                obstacle = "the member list is older than the change"
            if obstacle:
                # A daemon that restarted has forgotten the change, and may have helped
                # another one to a new proof, whose lease starts only now.
                quorum_since_ms = None
            elif quorum_since_ms is None:
                quorum_since_ms = now_ms
            elif now_ms - quorum_since_ms > LEASE_MS + LEASE_MARGIN_MS:
                self._log(
                    "Not all daemons acknowledged the change.",
                    missing=sorted(names - known),
                    has_outsiders=has_outsiders,
                )
                return self._find_surviving_primary(now_ms - started_ms)
            if obstacle and now_ms - asked_old_ms > ASK_OLD_MS:
                asked_old_ms = now_ms
                unreplaced = self._find_unreplaced_primary()
                if unreplaced is not None:
                    return unreplaced
            if now_ms - started_ms > 2 * TAKEOVER_MS:
                self._log(
                    "Too few daemons acknowledged the change.",
                    obstacle=obstacle,
                    members=len(names),
                    missing_count=len(names - known),
                    missing=list_some(names - known),
                    waited_ms=round(now_ms - started_ms),
                )
                raise _ChangeAbandonedError(
                    "most daemons haven't acknowledged the change"
                )
            self._verify_lock()
            self._pause()

    def _pause(self) -> None:
        if not self._coordinator._runtime.sleep_ms(POLL_MS):
            raise _ChangeAbandonedError("the daemon is stopping")

    def _find_unreplaced_primary(self) -> tuple[InstanceEntry, int] | None:
        """Return the old primary and its term if it was never replaced, else None.

        It is the primary for those that know of the change and for those that don't, so
        this needs no acknowledgement. A change that can't be completed would otherwise
        keep a healthy primary out of use.
        """
        if self._record.instance != self._old_id:
            return None
        directory = self._coordinator._directory
        entry = directory.instances.get(self._old_id)
        if entry is None or directory.is_leaving(entry):
            return None
        status = self._ask(entry)
        if status is None or not status.is_primary:
            return None
        if self._record.term not in (0, status.term):
            return None
        self._log("The primary answers again and stays.", instance=entry.id)
        return entry, status.term

    # The new primary

    def _find_surviving_primary(
        self, waited_ms: float
    ) -> tuple[InstanceEntry, int] | None:
        """Return the old primary and its term if it is still primary, else None.

        While this daemon was partitioned from most others, these may have used the
        primary all the time. Replacing it once the partition heals would lose what it
        acknowledged meanwhile.
        """
        if self._reason != "dead" or waited_ms < LONG_WAIT_MS:
            return None
        status = self._ask(self._old_entry) if self._old_entry else None
        if status is None or not status.is_primary:
            return None
        entry = self._wait_for_entry()
        if entry is None or self._coordinator._directory.is_leaving(entry):
            return None
        self._log("The primary is alive and stays.", instance=entry.id)
        return entry, status.term

    def _wait_for_entry(self) -> InstanceEntry | None:
        """Return the old primary's entry, waiting until it is listed again."""
        end_ms = self._clock.now_ms() + RELISTING_MS
        while self._clock.now_ms() < end_ms:
            entry = self._coordinator._directory.instances.get(self._old_id)
            if entry is not None:
                return entry
            self._verify_lock()
            self._pause()
        return None

    def _promote_replica(self) -> tuple[InstanceEntry, int]:
        refused: set[str] = set()
        # The instance whose request got no answer. The platform may still carry it out,
        # so another one could be replaced without any daemon knowing.
        unanswered = self._find_asked_before()
        for _ in range(MAX_TRIES):
            chosen = None if unanswered else self._choose(refused)
            entry = chosen[0] if chosen else unanswered
            if entry is None:
                # Instances that don't answer have taken long by now.
                self._verify_lock()
                unreplaced = self._find_unreplaced_primary()
                if unreplaced is not None:
                    return unreplaced
                refused.clear()
                self._coordinator._runtime.sleep_ms(RETRY_MS)
                self._verify_lock()
                continue
            self._record_choice(entry)
            outcome = self._coordinator._promote(
                self._service,
                entry.id,
                self._coordinator._name,
                self._record.epoch,
                PROMOTE_TIMEOUT_MS,
                self._lock_verified_ms + PROMOTE_WITHIN_MS,
            )
            self._log(
                "A promotion was requested.",
                instance=entry.id,
                received=chosen[1].received if chosen else None,
                outcome=outcome.name.lower(),
            )
            if outcome is Promotion.NOT_SENT:
                self._coordinator._runtime.sleep_ms(RETRY_MS)
                continue
            unanswered = entry if outcome is Promotion.UNKNOWN else None
            if outcome is Promotion.NOT_RUNNING:
                self._note_not_running(entry, refused)
                continue
            term = self._wait_for_promotion(entry)
            if term is not None:
                return entry, term
        raise _ChangeAbandonedError("no instance could be promoted")

    def _note_not_running(self, entry: InstanceEntry, refused: set[str]) -> None:
        """Leave out an instance that isn't running, unless its log may be needed."""
        if self._coordinator._directory.find_sync_replicas(self._service):
            self._coordinator._runtime.sleep_ms(RETRY_MS)
        else:
            refused.add(entry.id)

    def _find_asked_before(self) -> InstanceEntry | None:
        """Return the instance that an earlier holder of this change may have asked."""
        if self._record.instance == self._old_id:
            return None
        return self._coordinator._directory.instances.get(self._record.instance)

    def _record_choice(self, entry: InstanceEntry) -> None:
        """Record the instance before it is asked, for whoever takes the change over."""
        if self._record.instance == entry.id:
            self._verify_lock()
            return
        self._record = self._record._replace(instance=entry.id)
        self._write()

    def _choose(self, refused: set[str]) -> tuple[InstanceEntry, InstanceStatus] | None:
        """Return the replica whose log is longest, or None if none can be chosen.

        A switchover waits until it has the whole log of the old primary, but no longer
        than CATCH_UP_MS.
        """
        end_ms = self._clock.now_ms() + CATCH_UP_MS
        directory = self._coordinator._directory
        while True:
            old = directory.instances.get(self._old_id)
            log_end = None
            if old is not None and self._reason == "planned":
                log_end = self._coordinator.find_log_end(old)
            # What was last heard of a log may lack a commit that others were told of.
            is_asked = old is not None and not directory.is_closed(old)
            best = self._find_best(refused, log_end if is_asked else None)
            if best is None or log_end is None or best[1].received >= log_end:
                return best
            if self._clock.now_ms() > end_ms:
                self._log("A replica didn't catch up in time.", instance=best[0].id)
                return best
            self._pause()

    def _find_best(
        self, refused: set[str], log_end: Position | None
    ) -> tuple[InstanceEntry, InstanceStatus] | None:
        find_best = self._coordinator.find_best
        best = None
        if self._reason != "no primary":
            excluded = frozenset(refused | {self._old_id})
            best = find_best(self._service, excluded, log_end)
        # The old primary may have come back as the only instance.
        return best or find_best(self._service, frozenset(refused))

    def _ask(self, entry: InstanceEntry) -> InstanceStatus | None:
        return self._coordinator._ask_status(entry, STATUS_TIMEOUT_MS)

    def _wait_for_promotion(self, entry: InstanceEntry) -> int | None:
        """Return the instance's term once it is primary, or None after a timeout."""
        end_ms = self._clock.now_ms() + BECOME_PRIMARY_MS
        while self._clock.now_ms() < end_ms:
            # Otherwise another daemon would take the change over meanwhile.
            self._verify_lock()
            self._pause()
            term = self._find_promoted_term(entry)
            if term is not None:
                return term
        self._log("The promoted instance isn't primary yet.", instance=entry.id)
        return None

    def _find_promoted_term(self, entry: InstanceEntry) -> int | None:
        """Return the term of the instance if it has become primary, else None.

        One that was asked before its failure domain was evacuated may not be asked for
        its status any more. It was a replica when it was chosen, and reports the change
        itself.
        """
        directory = self._coordinator._directory
        if directory.is_closed(entry):
            listed = directory.instances.get(entry.id)
            has_changed = listed is not None and listed.claims_primary
            return self._record.term if has_changed else None
        status = self._ask(entry)
        # An instance of an earlier term was replaced and doesn't know it yet.
        if status is None or not status.is_primary or status.term < self._record.term:
            return None
        return status.term

    def _settle(self, chosen: InstanceEntry, term: int) -> None:
        deposed = "" if chosen.id == self._old_id else self._old_id
        self._record = self._record._replace(
            instance=chosen.id, term=term, settled=True, deposed=deposed
        )
        for _ in range(MAX_TRIES):
            try:
                self._write()
                return
            except StoreError as error:
                self._log("The new primary isn't recorded yet.", error=str(error))
                item = self._coordinator._mirror.get(self._key)
                if item is not None and item.revision > self._revision:
                    raise
                # The instance is primary whether the record is written or not, and
                # heartbeats tell the other daemons.
                self._coordinator._announce(self._record)
                self._coordinator._runtime.sleep_ms(RETRY_MS)
