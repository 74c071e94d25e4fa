"""Tests of decoding the platform's items into the pooler's types."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from records import PlatformRecords, decode_config
from records import decode_instance as decode_with_regions

from bronzerelay.pooler.fleetconfig import Consistency
from bronzerelay.pooler.mirror import Item

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmup_left_ms": 0,
    "current_role": "replica",
    "seq": 4,
    "born": 77,
}
ROUTE = {
    "name": "r",
    "host": "db",
    "prefix": "/",
    "type": "read_your_writes",
    "timeout_ms": 1000,
    "target_latency_ms": 400,
    "priority": 2,
    "service": "s",
    "max_staleness_ms": 2500,
    "public": False,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "max_conns": 21, "sync_replicas": 0}],
    "limits": {"tx_idle_ms": 3000},
    "tenants": [{"name": "t", "api_keys": ["k1"], "rate_per_s": 66, "burst": 66}],
}


def encode(value, **fields):
    return json.dumps({**value, **fields}).encode()


def decode_instance(instance_id, data):
    return decode_with_regions(instance_id, data, {"z": "north"})


class TestConfig:
    def test_config(self):
        config = decode_config(encode(CONFIG))
        assert config.version == 7
        assert config.routes["db"].consistency is Consistency.READ_YOUR_WRITES
        assert config.routes["db"].max_age_ms == 2500
        assert config.keys == {"k1": "t"}
        assert config.workspaces["t"].rate == 66
        assert config.routes["db"].regions is config.workspaces["t"].regions is None

    @pytest.mark.parametrize("count", [0, 1, 2])
    def test_replicas_that_acknowledge_commits(self, count):
        """Guards against changes of primary that lose commits that replicas hold."""
        service = {**CONFIG["services"][0], "sync_replicas": count}
        config = decode_config(encode(CONFIG, services=[service]))
        assert config.services["s"].sync_replicas == count

    def test_regions(self):
        tenant = {**CONFIG["tenants"][0], "allowed_regions": ["north"]}
        route = {**ROUTE, "allowed_regions": ["north", "south"]}
        config = decode_config(encode(CONFIG, routes=[route], tenants=[tenant]))
        assert config.routes["db"].regions == {"north", "south"}
        assert config.workspaces["t"].regions == {"north"}

    def test_levels_rank_the_priorities(self):
        routes = [
            {**ROUTE, "host": host, "priority": priority}
            for host, priority in (("a", 7), ("b", 2), ("c", 7))
        ]
        routes.append({name: ROUTE[name] for name in ROUTE if name != "priority"})
        config = decode_config(encode(CONFIG, routes=routes))
        levels = {name: config.find_level(at) for name, at in config.routes.items()}
        assert levels == {"db": 0, "b": 1, "a": 2, "c": 2}
        assert decode_config(encode(CONFIG)).levels == {2: 0}

    @pytest.mark.parametrize(
        "data",
        [b"", b"{", b"\xff", encode(CONFIG, version="x"), encode(CONFIG, routes=3)],
    )
    def test_unreadable_config(self, data):
        with pytest.raises(ValueError):
            decode_config(data)

    def test_route_of_an_unknown_type(self):
        with pytest.raises(ValueError, match="unknown types"):
            decode_config(encode(CONFIG, routes=[{**ROUTE, "type": "psychic"}]))


class TestInstances:
    def test_entry(self):
        entry = decode_instance("i-1", encode(ENTRY))
        assert (entry.id, entry.slots, entry.born_ms) == ("i-1", 3, 77)
        assert (entry.domain, entry.region) == ("z", "north")
        assert decode_instance("i-1", encode(ENTRY, zone="other")).region == ""
        assert not entry.leaving
        assert decode_instance("i-1", encode(ENTRY, state="draining")).leaving
        assert decode_instance(
            "i-1", encode(ENTRY, current_role="primary")
        ).claims_primary

    @pytest.mark.parametrize(
        "fields",
        [
            {"state": "asleep"},
            {"current_role": "king"},
            {"capacity": "3"},
            {"capacity": 0},
            {"address": "nowhere"},
            {"service": None},
        ],
    )
    def test_bad_entry(self, fields):
        with pytest.raises(ValueError):
            decode_instance("i-1", encode(ENTRY, **fields))

    def test_missing_field(self):
        with pytest.raises(ValueError):
            decode_instance("i-1", encode({k: ENTRY[k] for k in ENTRY if k != "zone"}))

    @given(st.binary(max_size=300))
    def test_any_bytes_are_decoded_or_refused(self, data):
        for read in (lambda: decode_instance("i", data), lambda: decode_config(data)):
            with pytest.raises(ValueError):
                read()

    def test_keys(self):
        records = PlatformRecords({})
        assert records.is_config("op/config")
        assert records.find_instance_id("servers/i-1") == "i-1"
        assert records.find_instance_id("op/config") is None
        assert records.find_evacuated_domain("op/config") is None
        assert records.find_evacuated_domain("op/evacuate/z1") == "z1"
        assert records.read_instance(Item("servers/i-1", None, 3)) is None
