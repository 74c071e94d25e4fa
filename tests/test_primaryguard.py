"""The checks before and after each use of a primary."""

import pytest

from bronzerelay.codes import Code
from bronzerelay.pooler.primaryguard import (
    LEASE_MS,
    STORE_PROOF_AFTER_MS,
    STORE_PROOF_INTERVAL_MS,
    PrimaryGuard,
)
from standins.lineplatform import SERVICE
from tests.builders_pooler import (
    ManualClock,
    make_directory,
    make_instance,
    make_primary_record,
    make_runtime,
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(clock):
    directory = make_directory(make_runtime(clock))
    directory.set_instance(make_instance("orders-0", claims_primary=True))
    directory.set_instance(make_instance("orders-1"))
    return directory


@pytest.fixture
def guard(clock, directory):
    guard = PrimaryGuard(make_runtime(clock), directory)
    guard.add_store_proof(clock.now_ms())
    return guard


class TestProof:
    def test_without_a_proof_the_primary_isnt_used(self, guard, clock):
        # A daemon is partitioned and its primary is replaced meanwhile. What it reads
        # there is old, and what it writes there is lost.
        assert guard.begin_use(SERVICE, "orders-0") is None
        clock.sleep_ms(LEASE_MS + 1)
        assert guard.begin_use(SERVICE, "orders-0").code is Code.ISOLATED

    def test_time_while_the_process_is_frozen_counts(self, guard, clock):
        clock.sleep_ms(5000)
        assert not guard.has_proof()

    def test_most_members_are_a_proof(self, guard, clock):
        clock.sleep_ms(5000)
        now_ms = clock.now_ms()
        guard.add_member_proof([now_ms, now_ms, 0, 0])
        assert guard.has_proof()

    def test_no_proof_counts_once_the_guard_is_closed(self, guard, clock):
        """Guards against a use of the primary by a daemon that is off the list."""
        guard.close()
        now_ms = clock.now_ms()
        guard.add_member_proof([now_ms, now_ms])
        guard.add_peer_proof(now_ms)
        guard.add_store_proof(now_ms)
        assert not guard.has_proof()
        assert guard.begin_use(SERVICE, "orders-0") is not None
        assert not guard.is_still_primary(SERVICE, "orders-0")

    def test_half_of_the_members_are_no_proof(self, guard, clock):
        # Four daemons are split in half: each half could count the other as dead.
        clock.sleep_ms(5000)
        guard.add_member_proof([clock.now_ms(), 0, 0])
        assert not guard.has_proof()

    def test_proof_counts_from_when_it_was_asked_for(self, guard, clock):
        clock.sleep_ms(5000)
        guard.add_member_proof([clock.now_ms() - LEASE_MS - 1] * 3)
        assert not guard.has_proof()


class TestChanges:
    def test_change_under_way_stops_all_use(self, guard, directory):
        directory.set_primary_record(make_primary_record(1, settled=False))
        assert guard.begin_use(SERVICE, "orders-0").code is Code.PRIMARY_REPLACED

    def test_answer_that_came_during_a_change_isnt_trusted(self, guard, directory):
        # A write was sent before the change and answered after it started. The
        # instance that is promoted may lack the write.
        assert guard.begin_use(SERVICE, "orders-0") is None
        directory.set_primary_record(make_primary_record(1, settled=False))
        assert not guard.is_still_primary(SERVICE, "orders-0")

    def test_idle_once_all_uses_have_ended(self, guard):
        guard.begin_use(SERVICE, "orders-0")
        assert not guard.is_idle(SERVICE)
        guard.end_use(SERVICE)
        assert guard.is_idle(SERVICE)

    def test_settled_change_names_the_new_primary(self, guard, directory):
        directory.set_primary_record(make_primary_record(1))
        assert guard.begin_use(SERVICE, "orders-0").code is Code.PRIMARY_REPLACED
        assert guard.begin_use(SERVICE, "orders-1") is None

    def test_use_that_begins_as_a_change_is_acknowledged_is_refused(
        self, guard, directory
    ):
        # A change becomes known, and is acknowledged as nothing is in progress, between
        # the look-up of the primary and the count of the use. The lock holder doesn't
        # wait for the statement, and a read from the old primary is old.
        real = directory.find_primary
        acknowledged = []

        def find_primary(service):
            primary = real(service)
            directory.set_primary_record(make_primary_record(1, settled=False))
            acknowledged.append(guard.is_idle(service))
            return primary

        directory.find_primary = find_primary
        refusal = guard.begin_use(SERVICE, "orders-0")
        assert refusal is not None or acknowledged == [False]


class TestStoreProofs:
    def test_store_is_asked_before_the_lease_runs_out(self, guard, clock):
        # A daemon hears few others and gets its proofs from the store. Had the store
        # been asked only after the last proof expired, the daemon would be without one
        # for a third of the time.
        guard.add_member_proof([clock.now_ms()] * 3)
        assert guard.store_proof_due_ms() > 0
        clock.sleep_ms(STORE_PROOF_AFTER_MS + 1)
        assert guard.has_proof()
        assert guard.store_proof_due_ms() <= 0
        guard.add_store_proof(clock.now_ms())
        assert guard.store_proof_due_ms() == STORE_PROOF_INTERVAL_MS
        clock.sleep_ms(STORE_PROOF_INTERVAL_MS)
        assert guard.has_proof()
        assert guard.store_proof_due_ms() <= 0

    def test_store_gives_no_proof_to_a_daemon_that_isnt_a_member(self, guard, clock):
        # Guards against callers that lose their sessions at a daemon that has just
        # started, and against a replaced primary that it uses meanwhile.
        clock.sleep_ms(5000)
        assert guard.check_use(SERVICE, "orders-0").code is Code.ISOLATED
        guard.add_store_proof(clock.now_ms(), is_member=False)
        assert guard.check_use(SERVICE, "orders-0").code is Code.NO_PRIMARY
        assert guard.refuse_if_isolated() is None
        assert guard.store_proof_due_ms() == STORE_PROOF_INTERVAL_MS

    def test_proof_of_a_member_outlasts_its_removal_by_a_lease(self, guard, clock):
        guard.add_store_proof(clock.now_ms(), is_member=False)
        assert guard.has_proof()
        clock.sleep_ms(LEASE_MS + 1)
        guard.add_store_proof(clock.now_ms(), is_member=False)
        assert not guard.has_proof()


class TestIdle:
    def test_end_of_the_last_use_is_announced(self, guard):
        # A primary change waits for statements in progress at the old primary. When
        # their end was announced only with the next heartbeat, the service was without
        # a primary for longer.
        announced = []
        guard.on_idle = announced.append
        guard.begin_use(SERVICE, "orders-0")
        guard.begin_use(SERVICE, "orders-0")
        guard.end_use(SERVICE)
        assert (guard.is_idle(SERVICE), announced) == (False, [])
        guard.end_use(SERVICE)
        assert (guard.is_idle(SERVICE), announced) == (True, [SERVICE])

    def test_end_of_a_use_that_is_refused_once_counted_is_announced(
        self, guard, directory
    ):
        # A change becomes known as a use is counted, and isn't acknowledged meanwhile.
        # If nobody announced that the primary is idle again, the change would wait for
        # the next heartbeat.
        announced = []
        guard.on_idle = announced.append
        real = directory.find_primary
        counted = []

        def find_primary(service):
            counted.append(not guard.is_idle(service))
            if counted[-1]:
                directory.set_primary_record(make_primary_record(1, settled=False))
            return real(service)

        directory.find_primary = find_primary
        assert guard.begin_use(SERVICE, "orders-0").code is Code.PRIMARY_REPLACED
        assert (guard.is_idle(SERVICE), announced) == (True, [SERVICE])
        # A refusal before the count announces nothing.
        guard.begin_use(SERVICE, "orders-0")
        assert announced == [SERVICE]
