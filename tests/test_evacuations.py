"""Evacuated failure domains: what instances there still get, and who takes over."""

import pytest

from bronzerelay.pooler.evacuations import Evacuations
from bronzerelay.pooler.messages import Position
from bronzerelay.pooler.mirror import Item
from bronzerelay.pooler.placement import Placement, ReadRequirement
from bronzerelay.pooler.primarychanges import MAX_LAG_ENTRIES, TAKEOVER_MS, Promotion
from standins.lineplatform import AGED, SERVICE, STRICT
from tests.builders_coordinator import FIRST, KEY, PRIMARY, SECOND, CoordinatorHarness
from tests.builders_pooler import (
    EVACUATE_WITHIN_MS,
    EVACUATION_USE_MS,
    ManualClock,
    PoolerFleet,
    make_directory,
    make_instance,
    make_log,
    make_primary_record,
    make_runtime,
    open_session,
    run_ok,
)

DOMAINS = {PRIMARY: "z1", FIRST: "z2", SECOND: "z3"}
FAR_PAST_MS = -1e15


@pytest.fixture
def clock():
    return ManualClock()


class TestUse:
    @pytest.fixture
    def evacuations(self, clock):
        runtime = make_runtime(clock)
        return Evacuations(runtime, make_log(runtime), EVACUATION_USE_MS)

    def test_use_ends_a_while_after_the_order(self, evacuations, clock):
        evacuations.begin("z1", clock.now_ms() - 500)
        clock.sleep_ms(EVACUATION_USE_MS - 500)
        assert not evacuations.has_closed("z1")
        clock.sleep_ms(1)
        assert evacuations.has_closed("z1")
        assert not evacuations.has_closed("z2")

    def test_daemon_that_starts_under_an_evacuation_uses_nothing_there(
        self, evacuations
    ):
        # Guards against a daemon that gives an old order the time of a new one.
        evacuations.begin("z1", FAR_PAST_MS)
        assert evacuations.has_closed("z1")

    def test_order_that_arrives_twice_gives_no_more_time(self, evacuations, clock):
        evacuations.begin("z1", clock.now_ms())
        clock.sleep_ms(EVACUATION_USE_MS)
        evacuations.begin("z1", clock.now_ms())
        clock.sleep_ms(1)
        assert evacuations.has_closed("z1")

    def test_domain_is_in_use_again_and_can_be_evacuated_again(
        self, evacuations, clock
    ):
        evacuations.begin("z1", FAR_PAST_MS)
        evacuations.end("z1")
        assert evacuations.list_domains() == []
        assert not evacuations.has_closed("z1")
        evacuations.begin("z1", clock.now_ms())
        assert evacuations.includes("z1")
        assert not evacuations.has_closed("z1")


class TestPlacement:
    @pytest.fixture
    def directory(self, clock):
        directory = make_directory(make_runtime(clock))
        for name, domain in DOMAINS.items():
            directory.set_instance(
                make_instance(name, claims_primary=name == PRIMARY, domain=domain)
            )
        return directory

    def list_readers(self, directory, clock):
        placement = Placement(make_runtime(clock), directory)
        requirement = ReadRequirement(Position(1, 1), False)
        return set(placement.list_candidates(SERVICE, requirement, frozenset(), True))

    def test_reads_leave_a_domain_at_once(self, directory, clock):
        directory.evacuations.begin("z2", clock.now_ms())
        assert self.list_readers(directory, clock) == {PRIMARY, SECOND}

    def test_primary_serves_what_only_it_can_until_the_use_ends(self, directory, clock):
        directory.evacuations.begin("z1", clock.now_ms())
        assert self.list_readers(directory, clock) == {FIRST, SECOND}
        assert directory.find_primary(SERVICE).id == PRIMARY
        clock.sleep_ms(EVACUATION_USE_MS + 1)
        assert directory.find_primary(SERVICE) is None

    def test_nothing_is_left_when_all_domains_are_evacuated(self, directory, clock):
        for domain in DOMAINS.values():
            directory.evacuations.begin(domain, FAR_PAST_MS)
        assert self.list_readers(directory, clock) == set()

    def test_unknown_domain_changes_nothing(self, directory, clock):
        directory.evacuations.begin("nowhere", FAR_PAST_MS)
        assert self.list_readers(directory, clock) == set(DOMAINS)

    def test_instance_that_comes_up_there_gets_nothing(self, directory, clock):
        directory.evacuations.begin("z2", clock.now_ms())
        directory.set_instance(make_instance("orders-9", domain="z2"))
        assert "orders-9" not in self.list_readers(directory, clock)


class TestPrimaryChange:
    @pytest.fixture
    def harness(self):
        harness = CoordinatorHarness()
        for name, domain in DOMAINS.items():
            harness.directory.set_instance(
                make_instance(name, claims_primary=name == PRIMARY, domain=domain)
            )
        harness.received[PRIMARY] = Position(1, 9)
        harness.primaries.add(PRIMARY)
        return harness

    def evacuate(self, harness, *domains, after_ms=None):
        for domain in domains:
            now_ms = harness.clock.now_ms()
            harness.directory.evacuations.begin(
                domain, now_ms if after_ms is None else after_ms
            )

    def list_promoted(self, harness):
        return [instance for instance, _ in harness.promotions]

    def test_primary_moves_out_of_the_domain(self, harness):
        self.evacuate(harness, "z1")
        harness.run_for(EVACUATION_USE_MS)
        assert self.list_promoted(harness) == [SECOND]
        assert harness.mirror.writes[0].planned

    def test_no_instance_of_an_evacuated_domain_takes_over(self, harness):
        # Guards against promoting the longest log where nothing may be sent.
        self.evacuate(harness, "z1", "z3")
        harness.received[FIRST] = Position(1, 8)
        harness.run_for(2 * EVACUATION_USE_MS)
        assert self.list_promoted(harness) == [FIRST]

    def test_no_change_begins_while_nobody_can_take_over(self, harness):
        # Guards against a change that is under way for as long as the evacuation.
        self.evacuate(harness, *DOMAINS.values())
        harness.run_for(2 * EVACUATION_USE_MS)
        assert harness.mirror.writes == []
        harness.directory.evacuations.end("z1")
        assert harness.directory.find_primary(SERVICE).id == PRIMARY

    def test_replica_has_all_that_was_committed_before_the_use_ended(self, harness):
        # Guards against losing acknowledged commits when replicas receive nothing until
        # the primary may not even be asked for the end of its log.
        self.evacuate(harness, "z1")
        positions = harness.placement.positions_of(SERVICE)
        log_end = Position(1, 9 + MAX_LAG_ENTRIES + 5)
        harness.received[PRIMARY] = log_end
        positions.add_sample(harness.clock.now_ms(), log_end)
        harness.run_for(EVACUATION_USE_MS + 3000)
        assert harness.promotions == []
        harness.received[FIRST] = log_end
        harness.run_for(3000)
        assert self.list_promoted(harness) == [FIRST]

    def test_closed_primary_isnt_asked_for_its_status(self, harness):
        asked = []
        ask = harness.changes._ask_status
        harness.changes._ask_status = lambda entry, timeout_ms: (
            asked.append(entry.id) or ask(entry, timeout_ms)
        )
        self.evacuate(harness, "z1", after_ms=FAR_PAST_MS)
        harness.run_for(EVACUATION_USE_MS)
        assert self.list_promoted(harness) == [SECOND]
        assert PRIMARY not in asked

    def test_change_whose_successor_is_evacuated_meanwhile_goes_on(self, harness):
        # The platform may still carry out the request that named the successor. It is
        # made primary first, and replaced by an instance elsewhere at once.
        harness.outcome = Promotion.UNKNOWN
        harness.kill_primary()
        harness.received.pop(PRIMARY)

        def evacuate_successor():
            self.evacuate(harness, "z3", after_ms=FAR_PAST_MS)
            harness.directory.set_instance(
                make_instance(SECOND, claims_primary=True, domain="z3")
            )
            harness.outcome = Promotion.DONE

        harness.on_promote = evacuate_successor
        harness.run_for(2 * TAKEOVER_MS)
        assert list(dict.fromkeys(self.list_promoted(harness))) == [SECOND, FIRST]
        assert harness.directory.find_primary(SERVICE).id == FIRST

    def test_recorded_primary_that_returns_there_isnt_used(self, harness):
        # Guards against a primary that comes back into an evacuated domain as it was.
        record = make_primary_record(3, instance=PRIMARY, deposed=FIRST)
        harness.directory.set_primary_record(record)
        harness.mirror.items[KEY] = Item(KEY, b"[]", 3)
        self.evacuate(harness, "z1", after_ms=FAR_PAST_MS)
        assert harness.directory.find_primary(SERVICE) is None
        harness.run_for(EVACUATION_USE_MS)
        assert harness.directory.find_primary(SERVICE).id == SECOND


class TestWholePath:
    @pytest.fixture
    def fleet(self):
        fleet = PoolerFleet()
        fleet.platform.zones = dict(DOMAINS)
        for instance in fleet.platform.group.instances.values():
            fleet.platform.register(instance)
        yield fleet
        fleet.close()

    def wait_for_domains(self, fleet, *domains):
        def all_know():
            return all(
                one.evacuations.list_domains() == sorted(domains)
                for one in fleet.daemons.values()
            )

        fleet.wait(all_know, f"evacuations of {domains}")

    def test_reads_and_the_primary_move_and_no_commit_is_lost(self, fleet):
        fleet.start_ready("d1", "d2")
        caller = open_session(fleet)
        for number in range(5):
            run_ok(caller, f"STORE row{number} {number}")
        instance = fleet.platform.group.instances[PRIMARY]
        fleet.platform.evacuate("z1")
        ordered_ms = fleet.runtime.clock.now_ms()
        self.wait_for_domains(fleet, "z1")
        reader = open_session(fleet, AGED, name="d2")
        while fleet.runtime.clock.now_ms() < ordered_ms + EVACUATE_WITHIN_MS + 1000:
            assert caller.query_with_retries("STORE row5 5").error == ""
            run_ok(reader, "FETCH row5")
            fleet.runtime.clock.sleep_ms(10)
        rows = [run_ok(caller, f"FETCH row{number}").rows for number in range(6)]
        assert rows == [[str(number)] for number in range(6)]
        assert instance.last_query_ms <= ordered_ms + EVACUATE_WITHIN_MS
        assert all(
            daemon.pool.count_open(PRIMARY) == 0 for daemon in fleet.daemons.values()
        )

    def test_daemon_that_starts_later_sends_nothing_there(self, fleet):
        # Guards against giving an order found at the start the time of a new one.
        fleet.platform.evacuate("z1")
        fleet.start_ready("d1")
        caller = open_session(fleet, STRICT)
        fleet.wait(lambda: caller.query("STORE a 1").error == "", "a write")
        assert fleet.platform.group.instances[PRIMARY].last_query_ms == 0

    def test_open_transaction_ends_before_the_bound(self, fleet):
        # A caller rests inside a transaction. Its commit would arrive after the bound.
        daemon = fleet.start_ready("d1")[0]
        daemon.changes.start_due_changes = lambda: None
        caller = open_session(fleet, STRICT)
        run_ok(caller, "BEGIN")
        run_ok(caller, "STORE a 1")
        fleet.platform.evacuate("z1")
        primary = fleet.platform.group.instances[PRIMARY]
        entry = daemon.directory.instances[PRIMARY]
        fleet.wait(lambda: daemon.directory.is_closed(entry), "the end of the use")
        asked_ms = primary.last_query_ms
        assert caller.query("COMMIT").error == "ABORTED"
        assert primary.last_query_ms == asked_ms
        assert primary.log == []

    def test_reading_transaction_that_rests_gets_nothing_more_there(self, fleet):
        # A caller rests inside a transaction at a replica. Its next read, or the
        # rollback, would arrive after the bound.
        daemon = fleet.start_ready("d1")[0]
        fleet.platform.evacuate("z1")
        self.wait_for_domains(fleet, "z1")
        caller = open_session(fleet, AGED)
        fleet.wait(lambda: caller.query("FETCH a").signature, "a read at a replica")
        run_ok(caller, "BEGIN FETCH")
        run_ok(caller, "FETCH a")
        replica = fleet.platform.group.instances[fleet.platform.group.runs[-1].instance]
        domain = DOMAINS[replica.name]
        daemon.evacuations.begin(domain, FAR_PAST_MS)
        asked_ms = replica.last_query_ms
        assert caller.query("FETCH a").error == "ABORTED"
        assert caller.query("ROLLBACK").error == ""
        assert replica.last_query_ms == asked_ms

    def test_what_only_the_primary_can_run_is_refused_at_once(self, fleet):
        # Guards against callers that wait for an instance that nobody may use.
        daemon = fleet.start_ready("d1")[0]
        for domain in DOMAINS.values():
            fleet.platform.evacuate(domain)
        entry = daemon.directory.instances[PRIMARY]
        fleet.wait(lambda: daemon.directory.is_closed(entry), "the end of the use")
        caller = open_session(fleet, STRICT)
        before_ms = fleet.runtime.clock.now_ms()
        assert caller.query("STORE a 1").error == "RETRY"
        assert fleet.runtime.clock.now_ms() - before_ms < 200
        for domain in DOMAINS.values():
            fleet.platform.end_evacuation(domain)
        fleet.wait(lambda: caller.query("STORE a 1").error == "", "a write")

    def test_evacuation_is_known_without_the_store_and_after_lost_history(self, fleet):
        # Guards against an order that a daemon misses because its watch lost it.
        daemon = fleet.start_ready("d1")[0]
        fleet.platform.evacuate("z2")
        fleet.store.forget_history()
        self.wait_for_domains(fleet, "z2")
        fleet.store.status = 503
        caller = open_session(fleet, AGED)
        for _ in range(10):
            run_ok(caller, "FETCH a")
        assert {run.instance for run in fleet.platform.group.runs} <= {PRIMARY, SECOND}
        fleet.store.status = 0
        fleet.platform.end_evacuation("z2")
        fleet.store.forget_history()
        fleet.wait(lambda: not daemon.evacuations.list_domains(), "the end")

    def test_order_without_a_name_is_skipped(self, fleet):
        fleet.store.put("op/evacuate/", b"\xff")
        fleet.store.put("op/evacuate/z2", b"\xff")
        fleet.start_ready("d1")
        self.wait_for_domains(fleet, "z2")
        run_ok(open_session(fleet, AGED), "FETCH a")
