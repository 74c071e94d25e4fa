"""Primary changes: when one is due, and what the lock holder waits for."""

from itertools import pairwise

import msgspec
import pytest

from bronzerelay.pooler.directory import KEEP_UNLISTED_MS
from bronzerelay.pooler.messages import InstanceStatus, Position
from bronzerelay.pooler.mirror import Item, StoreError
from bronzerelay.pooler.primarychanges import (
    DEAD_AFTER_MS,
    LOCK_RECHECK_MS,
    NO_PRIMARY_MS,
    PROMOTE_TIMEOUT_MS,
    TAKEOVER_MS,
    Promotion,
)
from bronzerelay.pooler.primaryguard import LEASE_MS
from standins.lineplatform import SERVICE
from tests.builders_coordinator import (
    FIRST,
    KEY,
    PRIMARY,
    SECOND,
    CoordinatorHarness,
)
from tests.builders_pooler import make_instance, make_primary_record


@pytest.fixture
def harness():
    return CoordinatorHarness()


class TestWhen:
    def test_healthy_primary_stays(self, harness):
        harness.run_for(5000)
        assert harness.promotions == []

    def test_primary_that_is_dead_to_peers_alone_is_replaced(self, harness):
        # The first daemon in the ranking has sent the primary nothing since it died. If
        # it ignored its peers, each daemon after it would wait half a second longer.
        harness.silent_since_ms[PRIMARY] = [harness.clock.now_ms()] * 2
        harness.run_for(DEAD_AFTER_MS + 1500)
        assert [promotion[0] for promotion in harness.promotions] == [SECOND]

    def test_primary_that_one_peer_misses_stays(self, harness):
        # One peer is partitioned from a primary that serves all other daemons.
        harness.silent_since_ms[PRIMARY] = [harness.clock.now_ms()]
        harness.run_for(5000)
        assert harness.promotions == []

    def test_dead_primary_is_replaced_by_the_replica_with_the_longest_log(
        self, harness
    ):
        harness.kill_primary()
        harness.run_for(DEAD_AFTER_MS + 2000)
        assert harness.promotions == [(SECOND, 1)]
        assert harness.directory.find_primary(SERVICE).id == SECOND

    def test_equal_replica_in_a_domain_without_primaries_is_preferred(self, harness):
        """Guards against gathering primaries in one failure domain."""
        directory = harness.directory
        for name, domain in ((FIRST, "z2"), (SECOND, "z3")):
            directory.set_instance(make_instance(name, domain=domain))
        other = make_instance("stock-0", service="stock", domain="z2")
        directory.set_instance(other._replace(claims_primary=True))
        harness.received = {FIRST: Position(1, 9), SECOND: Position(1, 9)}
        found = harness.changes.find_best(SERVICE, frozenset([PRIMARY]))
        assert found[0].id == SECOND

    def test_primary_that_a_peer_still_reaches_stays(self, harness):
        # The primary is partitioned from this daemon only. Promoting a replica would
        # roll back what was acknowledged meanwhile.
        harness.kill_primary()
        for _ in range(40):
            now_ms = harness.clock.now_ms()
            harness.placement.positions_of(SERVICE).add_sample(
                now_ms - 300, Position(1, 3)
            )
            harness.run_for(100)
        assert harness.promotions == []

    def test_failures_before_a_promotion_dont_count(self, harness):
        # The primary was unreachable while it was a replica. If failures of that time
        # counted, it would be replaced as soon as it is promoted.
        entry = harness.directory.instances[SECOND]
        for _ in range(3):
            harness.placement.record_failure(entry, harness.clock.now_ms())
        harness.clock.sleep_ms(5000)
        harness.directory.set_primary_record(make_primary_record(1, instance=SECOND))
        positions = harness.placement.positions_of(SERVICE)
        positions.reset(1, 2)
        harness.run_for(DEAD_AFTER_MS - 100)
        assert harness.promotions == []

    def test_primary_that_nobody_has_tried_since_it_leads_stays(self, harness):
        # A partition kept this daemon and its peer from a replica. Others promote it,
        # and the partition heals. Nobody here has sent it anything since, and those who
        # use it don't report to this daemon yet, because it has to join again.
        entry = harness.directory.instances[SECOND]
        for _ in range(3):
            harness.placement.record_failure(entry, harness.clock.now_ms())
        harness.silent_since_ms[SECOND] = [harness.clock.now_ms()]
        harness.clock.sleep_ms(5000)
        harness.directory.set_primary_record(make_primary_record(1, instance=SECOND))
        harness.placement.positions_of(SERVICE).reset(1, 2)
        harness.run_for(DEAD_AFTER_MS + 1500)
        assert harness.promotions == []

    def test_change_whose_record_is_written_again_isnt_taken_over(self, harness):
        # The lock holder waits for daemons behind a partition. A second daemon that
        # took the change over couldn't know whether the first requested a promotion.
        harness.directory.set_primary_record(
            make_primary_record(1, settled=False, holder="d9")
        )
        for revision in range(1, 12):
            harness.mirror.items[KEY] = Item(KEY, b"", revision)
            harness.run_for(TAKEOVER_MS / 3)
        assert harness.mirror.writes == []

    def test_service_without_a_primary_gets_one(self, harness):
        harness.directory.set_instance(make_instance(PRIMARY, claims_primary=False))
        harness.run_for(NO_PRIMARY_MS + 2000)
        assert harness.promotions == [(SECOND, 1)]

    def test_service_that_isnt_configured_gets_none(self, harness):
        # An entry of another writer named it, and each change wrote to the store.
        odd = make_instance("odd", service="ghost")
        harness.directory.set_instance(odd)
        harness.run_for(2 * NO_PRIMARY_MS)
        assert "ghost" not in harness.directory.primary_records

    def test_unlisted_primary_is_recorded_as_the_replaced_one(self, harness):
        # Guards against a record that names the primary before the last one as
        # replaced, so that the last one seems usable again.
        harness.directory.set_primary_record(
            make_primary_record(3, instance=FIRST, deposed=PRIMARY)
        )
        harness.mirror.items[KEY] = Item(KEY, b"[]", 3)
        harness.clock.sleep_ms(KEEP_UNLISTED_MS)
        harness.directory.unlist_instance(FIRST)
        harness.clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        harness.directory.forget_unlisted()
        harness.run_for(NO_PRIMARY_MS + 2000)
        record = harness.directory.primary_records[SERVICE]
        assert (record.instance, record.deposed) == (SECOND, FIRST)

    def test_claiming_instance_leads_again_once_a_change_has_recorded_it(self, harness):
        # Guards against a service without a primary when the recorded one is gone and
        # another one has its log and leads.
        harness.directory.set_primary_record(make_primary_record(3, instance="gone"))
        harness.mirror.items[KEY] = Item(KEY, b"[]", 3)
        harness.directory.set_instance(make_instance(SECOND, claims_primary=True))
        harness.primaries.add(SECOND)
        harness.run_for(NO_PRIMARY_MS + 2000)
        assert harness.promotions == [(SECOND, 4)]
        assert harness.directory.find_primary(SERVICE).id == SECOND

    def test_change_of_an_active_lock_holder_isnt_taken_over(self, harness):
        harness.directory.set_primary_record(
            make_primary_record(4, settled=False, holder="d2")
        )
        harness.run_for(TAKEOVER_MS - 200)
        assert harness.promotions == []

    def test_only_instance_leads_again_after_an_abandoned_change(self, harness):
        # Guards against a service that never has a primary again: its only instance
        # crashes, no other can be promoted, and it comes back with its log as primary.
        harness.received = {}
        harness.kill_primary()
        harness.run_for(DEAD_AFTER_MS + 2000)
        harness.received = {PRIMARY: Position(1, 9)}
        harness.primaries = {PRIMARY}
        harness.run_for(10 * TAKEOVER_MS)
        primary = harness.directory.find_primary(SERVICE)
        assert primary is not None
        assert primary.id == PRIMARY

    def test_stalled_change_is_taken_over_under_a_higher_epoch(self, harness):
        harness.directory.set_primary_record(
            make_primary_record(4, settled=False, holder="d2")
        )
        harness.run_for(TAKEOVER_MS + 2000)
        assert [epoch for _, epoch in harness.promotions] == [5]


class TestSafety:
    def start(self, harness):
        harness.kill_primary()
        harness.run_for(DEAD_AFTER_MS + 2000)

    def test_daemon_that_doesnt_acknowledge_delays_by_the_lease(self, harness):
        # One daemon is partitioned and may still use the old primary.
        harness.acknowledged = {"d1", "d2"}
        waited = []
        harness.on_sleep = lambda: waited.append(harness.clock.now_ms())
        self.start(harness)
        assert harness.promotions
        assert waited[-1] - waited[0] >= LEASE_MS

    def test_daemon_that_isnt_listed_delays_by_the_lease(self, harness):
        # Guards against promoting at once while a removed daemon that still runs has a
        # proof and uses the old primary.
        harness.has_outsiders = True
        waited = []
        harness.on_sleep = lambda: waited.append(harness.clock.now_ms())
        self.start(harness)
        assert harness.promotions
        assert waited[-1] - waited[0] >= LEASE_MS

    @pytest.mark.parametrize("acknowledged", [{"d1", "d2", "d3"}, {"d1", "d2"}])
    def test_member_list_from_before_the_change_doesnt_count(
        self, harness, acknowledged
    ):
        # Guards against promoting while a daemon that joined before the change, unknown
        # to the lock holder, has a proof and uses the old primary.
        harness.list_revision = 0
        harness.acknowledged = acknowledged
        self.start(harness)
        assert harness.promotions == []
        harness.list_revision = 100
        harness.run_for(3 * TAKEOVER_MS)
        assert harness.promotions

    def test_lease_starts_anew_when_the_quorum_is_lost_in_between(self, harness):
        # A daemon that knew of the change restarts and has forgotten it for a moment.
        # A partitioned daemon that hears it then gets a new proof for the old primary.
        quorum_regained_ms = []

        def forget_for_a_while():
            now_ms = harness.clock.now_ms()
            if 600 < now_ms - started_ms < 1000:
                harness.acknowledged = {"d1"}
            elif harness.acknowledged == {"d1"}:
                harness.acknowledged = {"d1", "d2"}
                quorum_regained_ms.append(now_ms)

        harness.acknowledged = {"d1", "d2"}
        harness.kill_primary()
        harness.clock.sleep_ms(DEAD_AFTER_MS)
        started_ms = harness.clock.now_ms() + 1000
        harness.on_sleep = forget_for_a_while
        promoted_ms = []
        harness.on_promote = lambda: promoted_ms.append(harness.clock.now_ms())
        harness.run_for(4000)
        assert promoted_ms[0] - quorum_regained_ms[-1] >= LEASE_MS

    def test_without_a_quorum_nothing_is_promoted(self, harness):
        # This daemon is on the smaller side of a partition. The others may still use
        # the old primary, or carry out a change of their own.
        harness.acknowledged = {"d1"}
        self.start(harness)
        assert harness.promotions == []

    def test_primary_that_was_unreachable_only_from_here_stays(self, harness):
        # The lock holder is on the smaller side of a partition, the primary and most
        # daemons on the other. A change after it heals would lose the commits that were
        # acknowledged there meanwhile. The primary's entry was dropped and is listed
        # again a second later.
        harness.kill_primary()
        harness.acknowledged = {"d1"}
        started_ms = harness.clock.now_ms()
        entry = harness.directory.instances[PRIMARY]

        def heal():
            now_ms = harness.clock.now_ms()
            if now_ms < started_ms + 4500:
                harness.directory.unlist_instance(PRIMARY)
                harness.directory.forget_unlisted()
                return
            harness.acknowledged = {"d1", "d2", "d3"}
            harness.received[PRIMARY] = Position(1, 30)
            harness.primaries.add(PRIMARY)
            if now_ms > started_ms + 5500:
                harness.directory.set_instance(entry)

        harness.on_sleep = heal
        harness.run_for(DEAD_AFTER_MS + 1500)
        assert harness.promotions == []
        record = harness.directory.primary_records[SERVICE]
        assert (record.settled, record.instance, record.deposed) == (True, PRIMARY, "")
        assert harness.directory.find_primary(SERVICE).id == PRIMARY

    def start_without_a_quorum(self, harness):
        """Begin a change that too few daemons acknowledge, and be in it for a while."""
        harness.acknowledged = {"d1"}
        self.start(harness)
        assert not harness.directory.primary_records[SERVICE].settled

    def bring_primary_back(self, harness):
        harness.received[PRIMARY] = Position(1, 30)
        harness.primaries.add(PRIMARY)
        harness.terms[PRIMARY] = 1

    def test_primary_that_is_back_is_used_though_too_few_daemons_are(self, harness):
        """Guards against a service whose healthy primary nobody may use for ever."""
        self.start_without_a_quorum(harness)
        self.bring_primary_back(harness)
        harness.run_for(3 * TAKEOVER_MS)
        assert harness.promotions == []
        record = harness.directory.primary_records[SERVICE]
        assert (record.settled, record.instance, record.deposed) == (True, PRIMARY, "")
        assert harness.directory.find_primary(SERVICE).id == PRIMARY

    def test_primary_that_another_instance_may_replace_isnt_used(self, harness):
        """Guards against a primary that an earlier request for promotion replaces."""
        harness.outcome = Promotion.UNKNOWN
        harness.on_promote = lambda: setattr(harness, "acknowledged", {"d1"})
        real = harness.changes._promote

        def lose(service, instance, *args):
            outcome = real(service, instance, *args)
            harness.primaries.discard(instance)
            return outcome

        harness.changes._promote = lose
        self.start(harness)
        assert harness.promotions
        self.bring_primary_back(harness)
        harness.run_for(6 * TAKEOVER_MS)
        assert not harness.directory.primary_records[SERVICE].settled

    @pytest.mark.parametrize("obstacle", ["term", "leaving", "replica"])
    def test_primary_that_doesnt_lead_any_more_isnt_taken_back(self, harness, obstacle):
        """Guards against settling a change with an instance that doesn't lead."""
        record = make_primary_record(3, instance=PRIMARY, term=1, deposed="")
        harness.directory.set_primary_record(record)
        harness.mirror.items[KEY] = Item(KEY, msgspec.json.encode(record), 3)
        self.start_without_a_quorum(harness)
        self.bring_primary_back(harness)
        if obstacle == "term":
            harness.terms[PRIMARY] = 2
        elif obstacle == "leaving":
            harness.directory.set_instance(make_instance(PRIMARY, leaving=True))
        else:
            harness.primaries.discard(PRIMARY)
        harness.run_for(6 * TAKEOVER_MS)
        assert not harness.directory.primary_records[SERVICE].settled

    def test_lost_answer_of_the_store_is_read_back(self, harness):
        harness.mirror.lost_answers = 1
        self.start(harness)
        assert harness.promotions == [(SECOND, 1)]

    def test_lock_of_another_daemon_is_respected(self, harness):
        harness.mirror.items[KEY] = Item(KEY, b"[]", 3)
        real = harness.mirror.compare_and_swap

        def lose_race(expected, puts, removed):
            harness.mirror.items[KEY] = Item(KEY, b"other", 9)
            harness.directory.set_primary_record(
                make_primary_record(9, settled=False, holder="d2")
            )
            return real(expected, puts, removed)

        harness.mirror.compare_and_swap = lose_race
        self.start(harness)
        assert harness.promotions == []

    @pytest.mark.parametrize("holder_is_new", [True, False])
    def test_record_written_since_the_decision_is_respected(
        self, harness, holder_is_new
    ):
        # Guards against taking the lock over from a daemon that has begun a change, or
        # has gone on with its own, between the decision and the compare-and-swap.
        record = make_primary_record(4, settled=False, holder="d2")
        if not holder_is_new:
            harness.directory.set_primary_record(record)
            harness.mirror.items[KEY] = Item(KEY, b"[]", 3)
            harness.run_for(TAKEOVER_MS - 200)

        def write_first(function, *args):
            harness.mirror.items[KEY] = Item(KEY, b"other", 9)
            harness.directory.set_primary_record(record)
            function(*args)

        harness.runtime.start = write_first
        harness.kill_primary()
        harness.run_for(DEAD_AFTER_MS + 1500)
        assert harness.mirror.items[KEY].data == b"other"
        assert harness.promotions == []

    def test_lock_holder_that_was_frozen_checks_its_lock_before_it_promotes(
        self, harness
    ):
        # The process is frozen after it took the lock, and another daemon takes the
        # change over and promotes. When the first one resumes, it would promote under
        # an older epoch.
        harness.acknowledged = {"d1", "d2"}
        state = {"frozen": False}

        def freeze():
            if not state["frozen"]:
                state["frozen"] = True
                harness.clock.sleep_ms(LOCK_RECHECK_MS + TAKEOVER_MS)
                harness.mirror.items[KEY] = Item(KEY, b"other", 9)

        harness.on_sleep = freeze
        harness.announce = lambda record: None
        harness.changes._announce = lambda record: None
        harness.kill_primary()
        for _ in range(60):
            if not state["frozen"]:
                harness.run_for(100)
        assert state["frozen"]
        assert harness.promotions == []

    @pytest.mark.parametrize("step", ["lock", "connect"])
    def test_lock_holder_that_was_frozen_before_the_request_doesnt_send_it(
        self, harness, step
    ):
        # Guards against a promotion by a daemon that is frozen while its lock is
        # verified, or while it connects to the platform, after another one has taken
        # the change over and promoted.
        frozen = []

        def freeze():
            if not frozen:
                frozen.append(step)
                harness.clock.sleep_ms(TAKEOVER_MS + LOCK_RECHECK_MS)
                harness.mirror.items[KEY] = Item(KEY, b"other", 9)

        def freeze_once_chosen():
            if harness.mirror.writes[-1].instance != PRIMARY:
                freeze()

        if step == "connect":
            harness.on_connect = freeze
        else:
            harness.mirror.on_written = freeze_once_chosen
        harness.kill_primary()
        for _ in range(40):
            if not frozen:
                harness.run_for(100)
        assert frozen
        assert harness.promotions == []

    def test_instance_that_isnt_running_is_skipped(self, harness):
        harness.outcome = Promotion.NOT_RUNNING
        self.start(harness)
        assert {instance for instance, _ in harness.promotions} == {FIRST, SECOND}

    def test_new_primary_is_announced_while_the_store_is_down(self, harness):
        # The store fails between the promotion and the write of its outcome. Callers
        # would have to wait for the store although there is a primary.
        real = harness.mirror.compare_and_swap

        def fail_second(expected, puts, removed):
            if harness.promotions:
                raise StoreError("down")
            return real(expected, puts, removed)

        harness.mirror.compare_and_swap = fail_second
        self.start(harness)
        assert harness.directory.find_primary(SERVICE).id == SECOND

    def test_record_that_arrives_before_the_lock_is_taken_isnt_overwritten(
        self, harness
    ):
        # Another daemon's change becomes known between the choice of the epoch and the
        # look-up of the record's revision. Two changes would have one epoch, and a
        # daemon that knows the outcome of one would ignore the other.
        first = make_primary_record(1, instance=PRIMARY, deposed="")
        other = make_primary_record(2, settled=False, holder="d2", deposed=PRIMARY)
        harness.directory.set_primary_record(first)
        harness.mirror.items[KEY] = Item(KEY, msgspec.json.encode(first), 1)
        real = harness.mirror.get

        def learn_first(key):
            if harness.mirror.items[KEY].revision == 1:
                harness.mirror.items[KEY] = Item(KEY, msgspec.json.encode(other), 2)
                harness.directory.set_primary_record(other)
            return real(key)

        harness.mirror.get = learn_first
        harness.kill_primary()
        harness.run_for(DEAD_AFTER_MS + 1000)
        assert harness.promotions == []
        assert harness.mirror.writes == []

    def test_unanswered_promotion_isnt_followed_by_one_of_another_instance(
        self, harness
    ):
        # The request is held up on the way and arrives seconds later. If another
        # instance leads by then, it is replaced without any daemon knowing.
        harness.outcome = Promotion.UNKNOWN
        harness.on_promote = lambda: harness.received.update({FIRST: Position(1, 20)})
        real = harness.changes._promote

        def lose_first(service, instance, *args):
            outcome = real(service, instance, *args)
            if len(harness.promotions) == 1:
                harness.primaries.discard(instance)
            return outcome

        harness.changes._promote = lose_first
        self.start(harness)
        assert len(harness.promotions) > 1
        assert {instance for instance, _ in harness.promotions} == {SECOND}

    def test_lock_isnt_taken_over_from_a_holder_whose_promotion_is_slow(self, harness):
        # The platform gives no answer and the instance takes long to become primary. If
        # the change were taken over meanwhile, two daemons would promote in turns.
        written_ms = []
        real = harness.mirror.compare_and_swap

        def write(expected, puts, removed):
            written_ms.append(harness.clock.now_ms())
            return real(expected, puts, removed)

        harness.mirror.compare_and_swap = write
        harness.on_promote = lambda: harness.clock.sleep_ms(PROMOTE_TIMEOUT_MS)
        harness.outcome = Promotion.UNKNOWN
        harness.changes._ask_status = lambda entry, timeout_ms: InstanceStatus(
            False, 1, Position(1, 5)
        )
        self.start(harness)
        assert len(harness.promotions) > 1
        gaps_ms = [after - before for before, after in pairwise(written_ms)]
        assert max(gaps_ms) < TAKEOVER_MS

    def test_instance_that_led_before_has_to_reach_a_new_term(self, harness):
        # The last instance that answers is one that was replaced behind a partition and
        # still calls itself primary. The request to promote it is lost. If its old term
        # counted, it would be used while the platform takes another for the primary.
        harness.directory.set_instance(make_instance(SECOND))
        harness.directory.set_primary_record(
            make_primary_record(1, instance=SECOND, term=2, deposed=PRIMARY)
        )
        harness.directory.unlist_instance(SECOND)
        harness.clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        harness.directory.forget_unlisted()
        harness.outcome = Promotion.UNKNOWN
        harness.received = {PRIMARY: Position(1, 9)}
        harness.changes._ask_status = lambda entry, timeout_ms: (
            InstanceStatus(True, 1, Position(1, 9)) if entry.id == PRIMARY else None
        )
        harness.run_for(NO_PRIMARY_MS + 2000)
        assert harness.promotions
        assert harness.directory.find_primary(SERVICE) is None

    def test_unanswered_promotion_counts_after_the_change_was_abandoned(self, harness):
        # The platform carries out the request late, and the store's answer fails while
        # the lock holder waits, so that the change begins anew. If another instance is
        # promoted then, the first request replaces it without any daemon knowing.
        real = harness.mirror.compare_and_swap

        def refuse_once(expected, puts, removed):
            if harness.promotions and not refused:
                refused.append(True)
                raise StoreError("the store is busy")
            return real(expected, puts, removed)

        def lose(service, instance, *args):
            outcome = promote(service, instance, *args)
            if len(harness.promotions) == 1:
                harness.primaries.discard(instance)
                # Replicas still receive from the old primary.
                harness.received[FIRST] = Position(1, 20)
            return outcome

        refused: list[bool] = []
        promote = harness.changes._promote
        harness.mirror.compare_and_swap = refuse_once
        harness.changes._promote = lose
        harness.outcome = Promotion.UNKNOWN
        self.start(harness)
        harness.run_for(2 * TAKEOVER_MS)
        assert refused
        assert len(harness.promotions) > 1
        assert {instance for instance, _ in harness.promotions} == {SECOND}


class TestReceipt:
    """Each acknowledged commit was received by one replica, and maybe by one only."""

    @pytest.fixture
    def harness(self):
        harness = CoordinatorHarness()
        harness.require_receipt()
        # Since the primary failed, one replica has told its log. The other one may have
        # the last commits.
        harness.received = {FIRST: Position(1, 5)}
        harness.kill_primary()
        return harness

    def unlist(self, harness, name):
        harness.directory.unlist_instance(name)
        harness.clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        harness.directory.forget_unlisted()

    def test_short_log_isnt_promoted_while_another_isnt_known(self, harness):
        """Guards against losing commits that only a busy replica has received."""
        harness.run_for(4 * TAKEOVER_MS)
        assert harness.promotions == []
        harness.received[SECOND] = Position(1, 9)
        harness.run_for(TAKEOVER_MS)
        assert [instance for instance, _ in harness.promotions] == [SECOND]

    def test_instance_that_is_gone_isnt_waited_for(self, harness):
        """Guards against a service without a primary after the loss of a replica."""
        self.unlist(harness, SECOND)
        harness.run_for(DEAD_AFTER_MS + 2000)
        assert [instance for instance, _ in harness.promotions] == [FIRST]

    def test_leaving_replica_with_the_longest_log_is_promoted(self, harness):
        """Guards against losing commits that only a leaving replica has received."""
        harness.directory.set_instance(make_instance(SECOND, leaving=True))
        harness.run_for(2 * TAKEOVER_MS)
        assert harness.promotions == []
        harness.received[SECOND] = Position(1, 9)
        harness.run_for(TAKEOVER_MS)
        assert [instance for instance, _ in harness.promotions] == [SECOND]

    def test_replica_that_stays_is_preferred_to_a_leaving_one(self, harness):
        harness.directory.set_instance(make_instance(FIRST, leaving=True))
        harness.received[SECOND] = Position(1, 5)
        harness.run_for(DEAD_AFTER_MS + 2000)
        assert [instance for instance, _ in harness.promotions] == [SECOND]

    def test_shorter_log_isnt_promoted_instead_of_one_that_isnt_running(self, harness):
        """Guards against losing the commits of a replica that starts again."""
        harness.received[SECOND] = Position(1, 9)
        harness.outcome = Promotion.NOT_RUNNING
        harness.run_for(2 * TAKEOVER_MS)
        assert {instance for instance, _ in harness.promotions} == {SECOND}

    def test_primary_that_is_back_is_used(self, harness):
        """Guards against waiting for a replica while the primary has all commits."""
        harness.run_for(DEAD_AFTER_MS + 1000)
        harness.received[PRIMARY] = Position(1, 9)
        harness.primaries.add(PRIMARY)
        harness.run_for(2 * TAKEOVER_MS)
        assert harness.promotions == []
        assert harness.directory.find_primary(SERVICE).id == PRIMARY

    @pytest.mark.parametrize("reason", ["restarted", "stalled"])
    def test_change_that_goes_on_waits_as_well(self, harness, reason):
        """Guards against losing commits in a change that another process began."""
        holder = "d1" if reason == "restarted" else "d2"
        record = make_primary_record(
            4, settled=False, holder=holder, instance=PRIMARY, deposed=PRIMARY
        )
        harness.directory.set_primary_record(record)
        harness.mirror.items[KEY] = Item(KEY, msgspec.json.encode(record), 3)
        harness.run_for(3 * TAKEOVER_MS)
        assert harness.promotions == []
        harness.received[SECOND] = Position(1, 9)
        harness.run_for(TAKEOVER_MS)
        assert [instance for instance, _ in harness.promotions] == [SECOND]

    @pytest.mark.parametrize(("received", "promoted"), [(9, [FIRST]), (8, [])])
    def test_planned_change_needs_only_the_log_of_the_primary(self, received, promoted):
        """Guards against a planned change that waits for a replica without need."""
        harness = CoordinatorHarness()
        harness.require_receipt()
        harness.directory.set_instance(
            make_instance(PRIMARY, claims_primary=True, leaving=True)
        )
        harness.received = {PRIMARY: Position(1, 9), FIRST: Position(1, received)}
        harness.run_for(3000)
        assert [instance for instance, _ in harness.promotions] == promoted
