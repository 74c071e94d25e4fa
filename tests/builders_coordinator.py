"""A primary change coordinator on fakes, on a clock that code moves when it sleeps."""

import msgspec

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import PrimaryRecord
from bronzerelay.pooler.fleetconfig import Service
from bronzerelay.pooler.messages import InstanceStatus, Position
from bronzerelay.pooler.mirror import ConflictError, Item, StoreError
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primarychanges import (
    PRIMARY_RECORD_PREFIX,
    FleetView,
    PrimaryChangeCoordinator,
    Promotion,
)
from standins.lineplatform import SERVICE
from tests.builders_pooler import (
    ManualClock,
    make_config,
    make_directory,
    make_instance,
    make_log,
    make_runtime,
)

PRIMARY, FIRST, SECOND = "orders-0", "orders-1", "orders-2"
KEY = PRIMARY_RECORD_PREFIX + SERVICE


class FakeMirror:
    """A store of one key that checks revisions and may lose answers."""

    def __init__(self):
        self.items = {}
        self.lost_answers = 0
        self.writes = []
        self.on_written = lambda: None

    def get(self, key):
        return self.items.get(key)

    read = get

    def compare_and_swap(self, expected, puts, removed):
        known = self.items.get(KEY)
        if expected[KEY] != (known.revision if known else 0):
            raise ConflictError("another revision")
        revision = expected[KEY] + 1
        self.items[KEY] = Item(KEY, puts[KEY], revision)
        self.writes.append(msgspec.json.decode(puts[KEY], type=PrimaryRecord))
        self.on_written()
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreError("the answer was lost", True)
        return revision


class CoordinatorHarness:
    """The coordinator of one daemon, on a clock that advances when code sleeps."""

    def __init__(self):
        self.clock = ManualClock()
        self.runtime = make_runtime(self.clock)
        self.runtime.sleep_ms = self.sleep_ms
        self.runtime.start = lambda function, *args: function(*args)
        self.directory = make_directory(self.runtime)
        self.directory.set_config(make_config(1), "store")
        self.placement = Placement(self.runtime, self.directory)
        self.mirror = FakeMirror()
        self.names = ["d1", "d2", "d3"]
        self.acknowledged = {"d1", "d2", "d3"}
        # The store revision as of which `names` is known.
        self.list_revision = 100
        self.has_outsiders = False
        self.received = {FIRST: Position(1, 5), SECOND: Position(1, 9)}
        self.primaries: set[str] = set()
        # The terms of instances that aren't those that a promotion brings.
        self.terms: dict[str, int] = {}
        # By instance, since when it hasn't answered each peer.
        self.silent_since_ms: dict[str, list[float]] = {}
        self.promotions = []
        self.outcome = Promotion.DONE
        self.on_sleep = lambda: None
        self.on_connect = lambda: None
        self.on_promote = lambda: None
        for name in (PRIMARY, FIRST, SECOND):
            self.directory.set_instance(
                make_instance(name, claims_primary=name == PRIMARY)
            )
        self.changes = PrimaryChangeCoordinator(
            self.runtime,
            "d1",
            self.directory,
            self.mirror,
            self.placement,
            FleetView(
                lambda: self.names,
                lambda service, epoch: self.acknowledged,
                self.explain_no_quorum,
                lambda revision: self.list_revision >= revision,
                lambda: self.has_outsiders,
                lambda instance_id: self.silent_since_ms.get(instance_id, []),
            ),
            self.ask_status,
            self.promote,
            self.announce,
            Counters(self.runtime),
            make_log(self.runtime),
        )

    def require_receipt(self):
        """Let commits be acknowledged only once one replica has received them."""
        services = {SERVICE: Service(SERVICE, 21, sync_replicas=1)}
        self.directory.set_config(make_config(2, services=services), "store")

    def explain_no_quorum(self, known):
        return "" if len(known) * 2 > len(self.names) else "too few"

    def sleep_ms(self, duration_ms):
        self.clock.sleep_ms(duration_ms)
        self.on_sleep()
        return True

    def announce(self, record):
        self.directory.set_primary_record(record)

    def ask_status(self, entry, timeout_ms):
        received = self.received.get(entry.id)
        if received is None:
            return None
        is_primary = entry.id in self.primaries
        term = self.terms.get(entry.id, 2 if is_primary else 1)
        return InstanceStatus(is_primary, term, received)

    def promote(self, service, instance, holder, epoch, timeout_ms, send_by_ms):
        self.on_connect()
        if self.clock.now_ms() > send_by_ms:
            return Promotion.NOT_SENT
        self.promotions.append((instance, epoch))
        self.on_promote()
        if self.outcome is not Promotion.NOT_RUNNING:
            self.primaries.add(instance)
        return self.outcome

    def kill_primary(self):
        entry = self.directory.instances[PRIMARY]
        for _ in range(3):
            self.placement.record_failure(entry, self.clock.now_ms())

    def run_for(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.changes.start_due_changes()
            self.clock.sleep_ms(100)
