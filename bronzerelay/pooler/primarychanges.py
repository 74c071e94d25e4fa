"""Changes of primary: when one is due, who makes it, and its steps.

One daemon at a time makes a change. It takes the duty by a compare-and-swap on the
service's record in the platform's store, which also gives the fencing token. The steps:
write that a change is under way; wait until nobody can use the old primary; choose the
replica that has received most; let the platform promote it; write who leads.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import Directory, PrimaryRecord
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetconfig import InstanceEntry
from bronzerelay.pooler.messages import InstanceStatus
from bronzerelay.pooler.mirror import Mirror, StoreError
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime, TaskLimitError

PRIMARY_RECORD_PREFIX = "bronzerelay/leads/"
# A primary that answered nobody for this long is taken for dead, in milliseconds. What
# peers see of it is up to two heartbeats old; a slow statement takes less.
DEAD_AFTER_MS = 1_000
# Failures that this daemon and its peers must have seen of it. Each daemon of many has
# little traffic of its own, and the one that has to act may have had none.
DEAD_FAILURES = 2
# A service without any primary gets one after this time, in milliseconds: entries come
# one by one, and that of the primary may be the last.
LEADERLESS_MS = 1_500
# Each daemon further down the ranking waits this much longer, in milliseconds, so that
# one is usually done before the next one begins.
STAGGER_MS = 500
# The holder goes by its last write to the record for this long, in milliseconds. After
# that it proves anew that nobody has taken the duty over, as it may have been frozen.
HOLD_MS = 900
# A change whose record hasn't moved for this long is taken over, in milliseconds: what
# the holder goes by, and its longest call to the platform.
TAKEOVER_MS = 2_600
# How long a change that was planned waits for a replica to catch up, in milliseconds.
CATCH_UP_MS = 1_500
# How long the promoted instance may take to lead, in milliseconds; after that it is
# chosen again.
PROMOTE_MS = 2_000
# A planned change begins once a replica lacks no more than this many entries of the
# log: while it catches up with the rest nobody can write, and it takes milliseconds.
CLOSE_ENTRIES = 20
# A change that had to wait this long for daemons looks once more whether the primary is
# dead, in milliseconds: it is what a cut takes that heals, not what a crash takes.
LONG_WAIT_MS = 2 * LEASE_MS
# How long the entry of an instance that was cut off may take to be listed again, in
# milliseconds: the platform promises about two seconds.
RELISTED_MS = 2_500
STATUS_TIMEOUT_MS = 400
POLL_MS = 40
PROMOTE_TIMEOUT_MS = 900
TRIES = 8
RETRY_MS = 250


class Promotion(enum.Enum):
    """What the platform made of an order to promote."""

    DONE = enum.auto()
    NOT_RUNNING = enum.auto()
    UNKNOWN = enum.auto()


class Promoter(Protocol):
    """The platform's call that promotes an instance."""

    def __call__(
        self, service: str, instance: str, holder: str, epoch: int, timeout_ms: float
    ) -> Promotion:
        """Order the promotion; the holder and the epoch fence it."""


class FleetView(NamedTuple):
    """What a change needs to know of the other daemons."""

    # All members, this daemon included.
    names: Callable[[], list[str]]
    # The members that know of a change and have nothing under way at the old primary.
    acknowledged: Callable[[str, int], set[str]]
    # Whether no other members than these can prove to each other that a primary leads.
    is_quorum: Callable[[set[str]], bool]
    # Since when an instance has given no answer to each of the peers that miss one.
    silent_since_ms: Callable[[str], list[float]]


AskStatus = Callable[[InstanceEntry, float], InstanceStatus | None]


class PrimaryChangeCoordinator:
    """Looks after the primaries of all services, for one daemon."""

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
        # Since when a change of a service has looked due, and why.
        self._due: dict[str, tuple[str, float]] = {}
        # The record last seen of a service, at which revision, and since when.
        self._seen: dict[str, tuple[PrimaryRecord, int, float]] = {}

    # When a change is due

    def start_due_changes(self) -> None:
        """Look at all services, and start the changes that are due here."""
        services = {entry.service for entry in self._directory.instances.values()}
        for service in services:
            reason = self._find_reason(service)
            if reason is None:
                self._due.pop(service, None)
            elif self._is_turn(service, reason):
                self._start(service, reason)

    def _find_reason(self, service: str) -> str | None:
        now_ms = self._clock.now_ms()
        record = self._directory.primary_records.get(service)
        if record is not None and not record.settled:
            return self._find_takeover(record, now_ms)
        leader = self._directory.find_primary(service)
        if leader is None:
            return "no primary"
        if leader.leaving:
            return "planned"
        return "dead" if self._looks_dead(leader, now_ms) else None

    def _find_takeover(self, record: PrimaryRecord, now_ms: float) -> str | None:
        # The process that began it is gone, as this one has its name; nobody has to
        # wait whether it comes back.
        if record.holder == self._name and record.service not in self._busy:
            return "restarted"
        # A holder that waits for long writes the same record again, so that nobody
        # takes the change over from it.
        item = self._mirror.get(PRIMARY_RECORD_PREFIX + record.service)
        revision = item.revision if item else 0
        seen = self._seen.get(record.service)
        if seen is None or seen[:2] != (record, revision):
            self._seen[record.service] = (record, revision, now_ms)
            return None
        return "stalled" if now_ms - seen[2] > TAKEOVER_MS else None

    def _looks_dead(self, leader: InstanceEntry, now_ms: float) -> bool:
        """Return whether the primary answers neither this daemon nor any peer."""
        view = self._placement.view_of(leader.id)
        since_ms = self._fleet.silent_since_ms(leader.id)
        since_ms += [view.failing_since_ms] * min(view.failures, DEAD_FAILURES)
        if len(since_ms) < DEAD_FAILURES or now_ms - min(since_ms) < DEAD_AFTER_MS:
            return False
        # What was missed of it before it led says nothing about the new primary.
        last_ms = self._placement.positions_of(leader.service).last_seen_ms()
        return now_ms - last_ms > DEAD_AFTER_MS

    def _is_turn(self, service: str, reason: str) -> bool:
        now_ms = self._clock.now_ms()
        known, since_ms = self._due.get(service, ("", 0.0))
        if known != reason:
            self._due[service] = (reason, now_ms)
            since_ms = now_ms
        order = rank(f"lead/{service}", self._fleet.names())
        place = order.index(self._name) if self._name in order else len(order)
        first_ms = LEADERLESS_MS if reason == "no primary" else 0
        return now_ms - since_ms >= first_ms + place * STAGGER_MS

    def _start(self, service: str, reason: str) -> None:
        with self._lock:
            if service in self._busy:
                return
            self._busy.add(service)
        try:
            self._runtime.start(self._run, service, reason)
        except TaskLimitError as error:
            # Left among the busy ones, the service would never be looked at again.
            with self._lock:
                self._busy.discard(service)
            self._log.write("changes", "No task for a change.", error=str(error))

    def _run(self, service: str, reason: str) -> None:
        try:
            if self._is_replaceable(service, reason):
                _Change(self, service, reason).make()
        finally:
            with self._lock:
                self._busy.discard(service)
                self._due.pop(service, None)

    def _is_replaceable(self, service: str, reason: str) -> bool:
        """Return whether a change now would lose nothing that can still be kept.

        A primary that leaves serves on for some seconds, and its log goes on to an
        instance that comes after it. A replica that lags behind it would be promoted
        without what was acknowledged meanwhile.
        """
        if reason not in ("planned", "no primary"):
            return True
        leaving = [
            entry
            for entry in self._directory.list_instances(service)
            if entry.leaving and entry.claims_primary
        ]
        ended = [self._ask_status(entry, STATUS_TIMEOUT_MS) for entry in leaving]
        ends = [status.received for status in ended if status is not None]
        if not ends:
            return True
        best = self.find_best(service, frozenset(entry.id for entry in leaving))
        if best is None:
            return False
        end = max(ends)
        received = best[1].received
        behind = end.position - received.position
        close = received.term == end.term and behind <= CLOSE_ENTRIES
        if not close:
            self._log.write(
                "changes",
                "A replica has to catch up before a change.",
                service=service,
                reason=reason,
                received=received,
                wanted=end,
            )
        return close or received > end

    def find_best(
        self, service: str, refused: frozenset[str]
    ) -> tuple[InstanceEntry, InstanceStatus] | None:
        """Return the instance to promote: the one that has received most."""
        found = []
        for entry in self._directory.list_instances(service):
            if entry.leaving or entry.id in refused:
                continue
            status = self._ask_status(entry, STATUS_TIMEOUT_MS)
            if status is not None:
                found.append((entry, status))
        return max(found, key=lambda pair: pair[1].received, default=None)


class _LostDutyError(Exception):
    """Another daemon has the duty now, or nobody can tell."""


class _Change:
    """One change of one service's primary, made by this daemon."""

    def __init__(self, parts: PrimaryChangeCoordinator, service: str, reason: str):
        self._parts = parts
        self._clock = parts._clock
        self._service = service
        self._reason = reason
        self._key = PRIMARY_RECORD_PREFIX + service
        self._revision = 0
        self._proved_ms = 0.0
        leader = parts._directory.find_primary(service)
        known = parts._directory.primary_records.get(service)
        self._old = leader.id if leader else (known.deposed if known else "")
        # Its entry, which lapses when it is cut off from the store for long.
        self._old_entry = leader
        epoch = known.epoch if known else 0
        self._record = PrimaryRecord(
            service,
            known.instance if known else self._old,
            known.term if known else 0,
            epoch + 1,
            parts._name,
            False,
            self._old,
            reason == "planned",
        )

    def make(self) -> None:
        """Make the change, or leave it to whoever has the duty."""
        started_ms = self._clock.now_ms()
        self._say("A change of primary begins.", reason=self._reason, old=self._old)
        try:
            self._take_duty()
            waited_ms = self._wait_for_daemons()
            found = self._find_alive(waited_ms)
            chosen, term = found or self._promote_one()
            self._settle(chosen, term)
        except (_LostDutyError, StoreError) as error:
            self._say("A change of primary was given up.", error=str(error))
            return
        self._parts._counters.count("primary_changes", reason=self._reason)
        took_ms = round(self._clock.now_ms() - started_ms)
        self._say("A change of primary is done.", instance=chosen.id, took_ms=took_ms)

    def _say(self, message: str, **fields: object) -> None:
        self._parts._log.write(
            "changes",
            message,
            service=self._service,
            epoch=self._record.epoch,
            **fields,
        )

    # The duty

    def _take_duty(self) -> None:
        item = self._parts._mirror.get(self._key)
        self._revision = item.revision if item else 0
        self._write()

    def _write(self) -> None:
        """Write the record if nobody else has since; raise when that is in doubt."""
        sent_at_ms = self._clock.now_ms()
        data = msgspec.json.encode(self._record)
        mirror = self._parts._mirror
        try:
            self._revision = mirror.compare_and_swap(
                {self._key: self._revision}, {self._key: data}, []
            )
        except StoreError as error:
            if not error.may_have_run:
                raise
            self._read_back(data, error)
        self._proved_ms = sent_at_ms
        self._parts._announce(self._record)

    def _read_back(self, data: bytes, error: StoreError) -> None:
        """Find out whether a write whose answer was lost has gone through."""
        item = self._parts._mirror.read(self._key)
        if item is None or item.data != data:
            raise error
        self._revision = item.revision

    def _prove(self) -> None:
        """Make sure that the duty is still this daemon's."""
        if self._clock.now_ms() - self._proved_ms > HOLD_MS:
            self._write()

    # The other daemons

    def _wait_for_daemons(self) -> float:
        """Wait until no daemon can still use the old primary; return for how long."""
        began_ms = self._clock.now_ms()
        enough_ms = None
        while True:
            names = set(self._parts._fleet.names())
            known = self._parts._fleet.acknowledged(self._service, self._record.epoch)
            now_ms = self._clock.now_ms()
            if names <= known:
                waited_ms = now_ms - began_ms
                self._say("All daemons know of the change.", waited_ms=round(waited_ms))
                return waited_ms
            if not self._parts._fleet.is_quorum(known):
                # Whoever forgot the change since may have let a lease begin anew.
                enough_ms = None
            elif enough_ms is None:
                enough_ms = now_ms
            elif now_ms - enough_ms > LEASE_MS + LEASE_MARGIN_MS:
                missing = sorted(names - known)
                self._say("Not all daemons were heard of.", missing=missing)
                return now_ms - began_ms
            if now_ms - began_ms > 2 * TAKEOVER_MS:
                raise _LostDutyError("most daemons don't know of the change")
            self._prove()
            self._pause()

    def _pause(self) -> None:
        if not self._parts._runtime.sleep_ms(POLL_MS):
            raise _LostDutyError("the daemon ends")

    # The new primary

    def _find_alive(self, waited_ms: float) -> tuple[InstanceEntry, int] | None:
        """Return the old primary and its term if it lives on, None if it doesn't.

        While the maker was cut off from most daemons, these may have used the primary
        all along. Replaced when the cut heals, it would lose what it acknowledged.
        """
        if self._reason != "dead" or waited_ms < LONG_WAIT_MS:
            return None
        status = self._ask(self._old_entry) if self._old_entry else None
        if status is None or not status.is_primary:
            return None
        entry = self._wait_for_entry()
        if entry is None or entry.leaving:
            return None
        self._say("The primary lives on and stays.", instance=entry.id)
        return entry, status.term

    def _wait_for_entry(self) -> InstanceEntry | None:
        """Return the old primary's entry, waiting for it if it has lapsed."""
        until_ms = self._clock.now_ms() + RELISTED_MS
        while self._clock.now_ms() < until_ms:
            entry = self._parts._directory.instances.get(self._old)
            if entry is not None:
                return entry
            self._prove()
            self._pause()
        return None

    def _promote_one(self) -> tuple[InstanceEntry, int]:
        refused: set[str] = set()
        for _ in range(TRIES):
            chosen = self._choose(refused)
            if chosen is None:
                refused.clear()
                self._parts._runtime.sleep_ms(RETRY_MS)
                self._prove()
                continue
            entry, status = chosen
            self._prove()
            outcome = self._parts._promote(
                self._service,
                entry.id,
                self._parts._name,
                self._record.epoch,
                PROMOTE_TIMEOUT_MS,
            )
            self._say(
                "A promotion was ordered.",
                instance=entry.id,
                received=status.received,
                outcome=outcome.name.lower(),
            )
            if outcome is Promotion.NOT_RUNNING:
                refused.add(entry.id)
                continue
            term = self._wait_for_lead(entry)
            if term is not None:
                return entry, term
        raise _LostDutyError("no instance could be promoted")

    def _choose(self, refused: set[str]) -> tuple[InstanceEntry, InstanceStatus] | None:
        """Return the replica that has received most, and all of it if planned."""
        end_ms = self._clock.now_ms() + CATCH_UP_MS
        while True:
            best = self._find_best(refused)
            if best is None or self._reason != "planned":
                return best
            old = self._parts._directory.instances.get(self._old)
            ended = self._ask(old) if old else None
            if ended is None or best[1].received >= ended.received:
                return best
            if self._clock.now_ms() > end_ms:
                self._say("A replica didn't catch up.", instance=best[0].id)
                return best
            self._pause()

    def _find_best(
        self, refused: set[str]
    ) -> tuple[InstanceEntry, InstanceStatus] | None:
        skipped = refused if self._reason == "no primary" else refused | {self._old}
        return self._parts.find_best(self._service, frozenset(skipped))

    def _ask(self, entry: InstanceEntry) -> InstanceStatus | None:
        return self._parts._ask_status(entry, STATUS_TIMEOUT_MS)

    def _wait_for_lead(self, entry: InstanceEntry) -> int | None:
        """Return the term at which the instance leads, None when it doesn't in time."""
        end_ms = self._clock.now_ms() + PROMOTE_MS
        while self._clock.now_ms() < end_ms:
            self._pause()
            status = self._ask(entry)
            if status is not None and status.is_primary:
                return status.term
        self._say("The promoted instance doesn't lead yet.", instance=entry.id)
        return None

    def _settle(self, chosen: InstanceEntry, term: int) -> None:
        deposed = "" if chosen.id == self._old else self._old
        self._record = self._record._replace(
            instance=chosen.id, term=term, settled=True, deposed=deposed
        )
        for _ in range(TRIES):
            try:
                self._write()
                return
            except StoreError as error:
                self._say("The outcome isn't written yet.", error=str(error))
                item = self._parts._mirror.get(self._key)
                if item is not None and item.revision > self._revision:
                    raise
                # It leads whether that is written or not, and heartbeats tell it.
                self._parts._announce(self._record)
                self._parts._runtime.sleep_ms(RETRY_MS)
