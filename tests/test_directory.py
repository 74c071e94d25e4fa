"""What a daemon believes of configuration, instances and primaries."""

import pytest

from bronzerelay.pooler.directory import GONE_AFTER_MS
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


def leader_id(directory):
    leader = directory.find_primary(SERVICE)
    return leader.id if leader else None


class TestConfig:
    def test_versions_never_go_back(self, directory):
        # A held-up answer brings an old version after a newer one; a key that was
        # withdrawn in between would work again.
        assert directory.set_config(make_config(5), "store")
        assert not directory.set_config(make_config(4), "store")
        assert not directory.set_config(make_config(5), "store")
        assert directory.version == 5


class TestInstances:
    def test_missing_instance_stays_for_a_while(self, directory, clock):
        directory.set_instance(make_instance("a"))
        directory.unlist_instance("a")
        directory.forget_unlisted()
        assert "a" in directory.instances
        clock.sleep_ms(GONE_AFTER_MS + 1)
        directory.forget_unlisted()
        assert "a" not in directory.instances

    def test_instance_that_comes_back_stays(self, directory, clock):
        directory.set_instance(make_instance("a"))
        directory.unlist_instance("a")
        directory.set_instance(make_instance("a"))
        clock.sleep_ms(GONE_AFTER_MS + 1)
        directory.forget_unlisted()
        assert "a" in directory.instances

    def test_restarted_instance_is_another_one(self, directory):
        old = make_instance("a", born_ms=1)
        directory.set_instance(old)
        directory.set_instance(make_instance("a", born_ms=2))
        assert not directory.is_listed(old)


class TestLeads:
    def test_claim_counts_without_a_record(self, directory):
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        assert leader_id(directory) == "orders-0"

    def test_record_goes_before_claims(self, directory):
        # The old primary lives on behind a cut and still says that it leads.
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        directory.set_instance(make_instance("orders-1"))
        directory.set_primary_record(make_primary_record(3))
        assert leader_id(directory) == "orders-1"

    def test_deposed_primary_doesnt_lead_again(self, directory):
        directory.set_instance(make_instance("orders-0", claims_primary=True))
        directory.set_primary_record(make_primary_record(3))
        assert leader_id(directory) is None

    def test_successor_of_the_recorded_one_leads(self, directory):
        directory.set_instance(make_instance("orders-7", claims_primary=True))
        directory.set_primary_record(make_primary_record(3))
        assert leader_id(directory) == "orders-7"

    def test_older_record_changes_nothing(self, directory):
        assert directory.set_primary_record(make_primary_record(3))
        assert not directory.set_primary_record(make_primary_record(2, settled=False))
        assert not directory.set_primary_record(make_primary_record(3, settled=False))
        assert directory.primary_records[SERVICE].settled

    def test_primary_that_leaves_is_used_for_a_part_of_its_time(self, directory, clock):
        # It says that it leaves and nobody can replace it. Requests that reach it when
        # its time is over are cut with it.
        directory.set_instance(
            make_instance("orders-0", claims_primary=True, leaving=True)
        )
        assert leader_id(directory) == "orders-0"
        clock.sleep_ms(5000)
        assert leader_id(directory) is None
