"""Changes of primary: when one is due, and what its maker waits for."""

import msgspec
import pytest

from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import PrimaryRecord
from bronzerelay.pooler.messages import InstanceStatus, Position
from bronzerelay.pooler.mirror import ConflictError, Item, StoreError
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primarychanges import (
    DEAD_AFTER_MS,
    HOLD_MS,
    LEADERLESS_MS,
    PRIMARY_RECORD_PREFIX,
    TAKEOVER_MS,
    FleetView,
    PrimaryChangeCoordinator,
    Promotion,
)
from bronzerelay.pooler.primaryguard import LEASE_MS
from standins.lineplatform import SERVICE
from tests.builders_pooler import (
    ManualClock,
    make_directory,
    make_instance,
    make_log,
    make_primary_record,
    make_runtime,
)

PRIMARY, FIRST, SECOND = "orders-0", "orders-1", "orders-2"
KEY = PRIMARY_RECORD_PREFIX + SERVICE


class FakeMirror:
    """A store with one writer at a time, which may lose answers."""

    def __init__(self):
        self.items = {}
        self.lose = 0
        self.writes = []

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
        if self.lose:
            self.lose -= 1
            raise StoreError("the answer was lost", True)
        return revision


class Scene:
    """One daemon's changes on a clock that moves when anybody waits."""

    def __init__(self):
        self.clock = ManualClock()
        self.runtime = make_runtime(self.clock)
        self.runtime.sleep_ms = self.sleep_ms
        self.runtime.start = lambda function, *args: function(*args)
        self.directory = make_directory(self.runtime)
        self.placement = Placement(self.runtime, self.directory)
        self.mirror = FakeMirror()
        self.names = ["d1", "d2", "d3"]
        self.known = {"d1", "d2", "d3"}
        self.received = {FIRST: Position(1, 5), SECOND: Position(1, 9)}
        self.leads: set[str] = set()
        # Since when an instance has given no answer to peers.
        self.silent_since_ms: dict[str, list[float]] = {}
        self.orders = []
        self.outcome = Promotion.DONE
        self.on_sleep = lambda: None
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
                lambda service, epoch: self.known,
                lambda known: len(known) * 2 > len(self.names),
                lambda instance_id: self.silent_since_ms.get(instance_id, []),
            ),
            self.ask_status,
            self.promote,
            self.announce,
            Counters(self.runtime),
            make_log(self.runtime),
        )

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
        leads = entry.id in self.leads
        return InstanceStatus(leads, 2 if leads else 1, received)

    def promote(self, service, instance, holder, epoch, timeout_ms):
        self.orders.append((instance, epoch))
        self.on_promote()
        if self.outcome is not Promotion.NOT_RUNNING:
            self.leads.add(instance)
        return self.outcome

    def kill_primary(self):
        entry = self.directory.instances[PRIMARY]
        for _ in range(3):
            self.placement.record_failure(entry, self.clock.now_ms())

    def tend_for(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.changes.start_due_changes()
            self.clock.sleep_ms(100)


@pytest.fixture
def scene():
    return Scene()


class TestWhen:
    def test_healthy_primary_stays(self, scene):
        scene.tend_for(5000)
        assert scene.orders == []

    def test_primary_that_is_dead_to_peers_alone_is_replaced(self, scene):
        # The daemon that has to act is one of many and has sent the primary nothing
        # since it died. Each daemon further down would wait half a second longer.
        scene.silent_since_ms[PRIMARY] = [scene.clock.now_ms()] * 2
        scene.tend_for(DEAD_AFTER_MS + 1500)
        assert [order[0] for order in scene.orders] == [SECOND]

    def test_primary_that_one_peer_misses_stays(self, scene):
        # One daemon is cut off from a primary that serves all others.
        scene.silent_since_ms[PRIMARY] = [scene.clock.now_ms()]
        scene.tend_for(5000)
        assert scene.orders == []

    def test_dead_primary_is_replaced_by_the_one_with_most(self, scene):
        scene.kill_primary()
        scene.tend_for(DEAD_AFTER_MS + 2000)
        assert scene.orders == [(SECOND, 1)]
        assert scene.directory.find_primary(SERVICE).id == SECOND

    def test_primary_that_a_peer_still_reaches_stays(self, scene):
        # The primary is cut from this daemon only. Promoting another one would roll
        # back what was acknowledged meanwhile.
        scene.kill_primary()
        for _ in range(40):
            now_ms = scene.clock.now_ms()
            scene.placement.positions_of(SERVICE).add_sample(
                now_ms - 300, Position(1, 3)
            )
            scene.tend_for(100)
        assert scene.orders == []

    def test_new_primary_that_was_missed_before_stays(self, scene):
        # The instance that leads now was cut off while it was a replica. Judged by what
        # was missed then, it would be replaced as soon as it leads.
        entry = scene.directory.instances[SECOND]
        for _ in range(3):
            scene.placement.record_failure(entry, scene.clock.now_ms())
        scene.clock.sleep_ms(5000)
        scene.directory.set_primary_record(make_primary_record(1, instance=SECOND))
        positions = scene.placement.positions_of(SERVICE)
        positions.reset()
        scene.tend_for(DEAD_AFTER_MS - 100)
        assert scene.orders == []

    def test_change_whose_holder_writes_its_record_again_is_left_to_it(self, scene):
        # The holder waits for daemons behind a cut. A second one that begins the change
        # anew doesn't know whether the first has ordered a promotion.
        scene.directory.set_primary_record(
            make_primary_record(1, settled=False, holder="d9")
        )
        for revision in range(1, 12):
            scene.mirror.items[KEY] = Item(KEY, b"", revision)
            scene.tend_for(TAKEOVER_MS / 3)
        assert scene.mirror.writes == []

    def test_service_without_a_primary_gets_one(self, scene):
        scene.directory.set_instance(make_instance(PRIMARY, claims_primary=False))
        scene.tend_for(LEADERLESS_MS + 2000)
        assert scene.orders == [(SECOND, 1)]

    def test_change_of_a_living_holder_is_left_to_it(self, scene):
        scene.directory.set_primary_record(
            make_primary_record(4, settled=False, holder="d2")
        )
        scene.tend_for(TAKEOVER_MS - 200)
        assert scene.orders == []

    def test_stalled_change_is_taken_over_under_a_higher_epoch(self, scene):
        scene.directory.set_primary_record(
            make_primary_record(4, settled=False, holder="d2")
        )
        scene.tend_for(TAKEOVER_MS + 2000)
        assert [epoch for _, epoch in scene.orders] == [5]


class TestSafety:
    def start(self, scene):
        scene.kill_primary()
        scene.tend_for(DEAD_AFTER_MS + 2000)

    def test_unheard_daemon_delays_by_the_lease(self, scene):
        # One daemon is cut off and may still use the old primary.
        scene.known = {"d1", "d2"}
        waited = []
        scene.on_sleep = lambda: waited.append(scene.clock.now_ms())
        self.start(scene)
        assert scene.orders
        assert waited[-1] - waited[0] >= LEASE_MS

    def test_lease_counts_from_when_most_knew_of_the_change_for_good(self, scene):
        # A daemon that knew of the change restarts and knows nothing of it for a
        # moment. With it, one behind a cut proves the old primary's lead once more.
        most_known_ms = []

        def forget_for_a_while():
            now_ms = scene.clock.now_ms()
            if 600 < now_ms - begun_ms < 1000:
                scene.known = {"d1"}
            elif scene.known == {"d1"}:
                scene.known = {"d1", "d2"}
                most_known_ms.append(now_ms)

        scene.known = {"d1", "d2"}
        scene.kill_primary()
        scene.clock.sleep_ms(DEAD_AFTER_MS)
        begun_ms = scene.clock.now_ms() + 1000
        scene.on_sleep = forget_for_a_while
        ordered_ms = []
        scene.on_promote = lambda: ordered_ms.append(scene.clock.now_ms())
        scene.tend_for(4000)
        assert ordered_ms[0] - most_known_ms[-1] >= LEASE_MS

    def test_without_most_daemons_nothing_is_promoted(self, scene):
        # This daemon is on the small side of a cut. The others may hear of the old
        # primary, or make a change of their own.
        scene.known = {"d1"}
        self.start(scene)
        assert scene.orders == []

    def test_primary_that_was_only_cut_off_from_here_stays(self, scene):
        # The maker of the change is in the smaller half of a cut, the primary and most
        # daemons in the other. When the cut heals, a change would cost the commits that
        # were acknowledged there meanwhile. The primary's entry has lapsed and comes
        # back a second later.
        scene.kill_primary()
        scene.known = {"d1"}
        begun_ms = scene.clock.now_ms()
        entry = scene.directory.instances[PRIMARY]

        def heal():
            now_ms = scene.clock.now_ms()
            if now_ms < begun_ms + 4500:
                scene.directory.unlist_instance(PRIMARY)
                scene.directory.forget_unlisted()
                return
            scene.known = {"d1", "d2", "d3"}
            scene.received[PRIMARY] = Position(1, 30)
            scene.leads.add(PRIMARY)
            if now_ms > begun_ms + 5500:
                scene.directory.set_instance(entry)

        scene.on_sleep = heal
        scene.tend_for(DEAD_AFTER_MS + 1500)
        assert scene.orders == []
        record = scene.directory.primary_records[SERVICE]
        assert (record.settled, record.instance, record.deposed) == (True, PRIMARY, "")
        assert scene.directory.find_primary(SERVICE).id == PRIMARY

    def test_lost_answer_of_the_store_is_read_back(self, scene):
        scene.mirror.lose = 1
        self.start(scene)
        assert scene.orders == [(SECOND, 1)]

    def test_duty_of_another_daemon_is_respected(self, scene):
        scene.mirror.items[KEY] = Item(KEY, b"[]", 3)
        real = scene.mirror.compare_and_swap

        def lose_race(expected, puts, removed):
            scene.mirror.items[KEY] = Item(KEY, b"other", 9)
            scene.directory.set_primary_record(
                make_primary_record(9, settled=False, holder="d2")
            )
            return real(expected, puts, removed)

        scene.mirror.compare_and_swap = lose_race
        self.start(scene)
        assert scene.orders == []

    def test_holder_that_was_frozen_finds_out_before_it_promotes(self, scene):
        # The holder is frozen after it took the duty; another daemon takes it over and
        # promotes. Woken up, the first one would promote under an older epoch.
        scene.known = {"d1", "d2"}
        state = {"frozen": False}

        def freeze():
            if not state["frozen"]:
                state["frozen"] = True
                scene.clock.sleep_ms(HOLD_MS + TAKEOVER_MS)
                scene.mirror.items[KEY] = Item(KEY, b"other", 9)

        scene.on_sleep = freeze
        scene.announce = lambda record: None
        scene.changes._announce = lambda record: None
        scene.kill_primary()
        for _ in range(60):
            if not state["frozen"]:
                scene.tend_for(100)
        assert state["frozen"]
        assert scene.orders == []

    def test_instance_that_isnt_running_is_passed_over(self, scene):
        scene.outcome = Promotion.NOT_RUNNING
        self.start(scene)
        assert {instance for instance, _ in scene.orders} == {FIRST, SECOND}

    def test_outcome_is_told_though_the_store_is_out(self, scene):
        # The store goes out between the promotion and the note of it. Callers would
        # wait for the store though a primary leads.
        real = scene.mirror.compare_and_swap

        def fail_second(expected, puts, removed):
            if scene.orders:
                raise StoreError("down")
            return real(expected, puts, removed)

        scene.mirror.compare_and_swap = fail_second
        self.start(scene)
        assert scene.directory.find_primary(SERVICE).id == SECOND
