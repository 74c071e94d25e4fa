"""The daemon's view of the configuration, the instances and the primaries."""

import pytest

from bronzerelay.pooler.directory import KEEP_UNLISTED_MS
from standins.lineplatform import SERVICE
from tests.builders_pooler import (
    ManualClock,
    make_config,
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
    return make_directory(make_runtime(clock))


def primary_id(directory):
    primary = directory.find_primary(SERVICE)
    return primary.id if primary else None


class TestConfig:
    def test_versions_never_go_back(self, directory):
        # A delayed answer brings an old version after a newer one. A key that was
        # withdrawn in between would be accepted again.
        assert directory.set_config(make_config(5), "store")
        assert not directory.set_config(make_config(4), "store")
        assert not directory.set_config(make_config(5), "store")
        assert directory.version == 5


class TestInstances:
    def test_unlisted_instance_stays_for_a_while(self, directory, clock):
        directory.set_instance(make_instance("a"))
        directory.unlist_instance("a")
        directory.forget_unlisted()
        assert "a" in directory.instances
        clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        directory.forget_unlisted()
        assert "a" not in directory.instances

    def test_instance_that_is_listed_again_stays(self, directory, clock):
        directory.set_instance(make_instance("a"))
        directory.unlist_instance("a")
        directory.set_instance(make_instance("a"))
        clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        directory.forget_unlisted()
        assert "a" in directory.instances

    def test_restarted_instance_counts_as_another_one(self, directory):
        old = make_instance("a", born_ms=1)
        directory.set_instance(old)
        directory.set_instance(make_instance("a", born_ms=2))
        assert not directory.is_listed(old)


class TestPrimaries:
    def test_claim_counts_without_a_record(self, directory):
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        assert primary_id(directory) == "orders-0"

    def test_record_takes_precedence_over_claims(self, directory):
        # The old primary still runs behind a partition and claims to be primary.
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        directory.set_instance(make_instance("orders-1"))
        directory.set_primary_record(make_primary_record(3))
        assert primary_id(directory) == "orders-1"

    def test_deposed_primary_isnt_used_again(self, directory):
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        directory.set_primary_record(make_primary_record(3))
        assert primary_id(directory) is None

    def test_claim_doesnt_count_while_the_recorded_primary_isnt_listed(
        self, directory, clock
    ):
        # Guards against using an instance again that an earlier change replaced.
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        directory.set_instance(make_instance("orders-1", claims_primary=True))
        directory.set_instance(make_instance("orders-2", claims_primary=True))
        directory.set_primary_record(make_primary_record(3))
        record = make_primary_record(4, instance="orders-2", deposed="orders-1")
        directory.set_primary_record(record)
        directory.unlist_instance("orders-2")
        assert primary_id(directory) == "orders-2"
        clock.sleep_ms(KEEP_UNLISTED_MS + 1)
        directory.forget_unlisted()
        assert primary_id(directory) is None

    def test_older_record_is_ignored(self, directory):
        assert directory.set_primary_record(make_primary_record(3))
        assert not directory.set_primary_record(make_primary_record(2, settled=False))
        assert not directory.set_primary_record(make_primary_record(3, settled=False))
        assert directory.primary_records[SERVICE].settled

    def test_leaving_primary_is_used_for_a_part_of_its_time(self, directory, clock):
        # A primary is leaving and there is no replica to replace it. Requests that are
        # still running when it stops would be cut off.
        directory.set_instance(
            make_instance("orders-0", claims_primary=True, leaving=True)
        )
        assert primary_id(directory) == "orders-0"
        clock.sleep_ms(5000)
        assert primary_id(directory) is None
