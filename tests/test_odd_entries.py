"""Odd entries of other writers: callers of the other instances are served."""

import json
import math

import msgspec
import pytest
from records import decode_config, decode_instance

from bronzerelay.pooler.daemon import UPKEEP_MS
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.heartbeats import SILENT_PEER_MS
from bronzerelay.pooler.members import MEMBER_PREFIX, Member
from bronzerelay.pooler.primarychanges import DEAD_AFTER_MS, PRIMARY_RECORD_PREFIX
from standins.linegroup import LOCAL
from standins.lineplatform import AGED, SERVICE, STRICT, make_route
from tests.builders_odd import (
    LONG_LABEL,
    MEBIBYTE,
    ODD_ENTRIES,
    ODD_FAMILIES,
    ODD_IDS,
    make_odd,
)
from tests.builders_pooler import (
    PoolerFleet,
    make_primary_record,
    open_session,
    run_ok,
)

# How soon after its acknowledgement a configuration must be in force, in milliseconds,
# by the users' requirements.
APPLY_WITHIN_MS = 3_000
OWN_IDS = [f"{SERVICE}-{number}" for number in range(3)]
READS = 12
# How long a primary that answers nobody is used at most, in milliseconds, with time
# for the change.
APPEARS_DEAD_MS = DEAD_AFTER_MS + 3_000


@pytest.fixture
def fleet():
    fleet = PoolerFleet()
    yield fleet
    fleet.close()


@pytest.fixture
def traces(monkeypatch):
    """Return the traces that daemons log, instead of ending or skipping something."""
    found = []
    write = EventLog.write

    def collect(log, part, message, **fields):
        if "trace" in fields:
            found.append(fields["trace"])
        write(log, part, message, **fields)

    monkeypatch.setattr(EventLog, "write", collect)
    return found


def collect_failures(daemon, traces):
    daemon._runtime.report_failure = traces.append


def check_serving(fleet, daemon, traces):
    """Check that callers are served, and that later changes are followed."""
    version = fleet.platform.configure()
    fleet.wait(lambda: daemon.directory.version == version, "the next configuration")
    fleet.platform.register(fleet.platform.group.instances[OWN_IDS[1]])
    revision = fleet.store.revision
    fleet.wait(lambda: daemon.mirror.revision >= revision, "the next entry")
    name = daemon._settings.name
    writer, reader = (
        open_session(fleet, database, name=name) for database in (STRICT, AGED)
    )
    run_ok(writer, "STORE a 1")
    for number in range(READS):
        run_ok(reader, "FETCH a")
        run_ok(writer, f"STORE a {number}")
    assert traces == []
    assert daemon._runtime.restarts == 0
    assert sorted(daemon.directory.instances) == OWN_IDS


# What another writer may leave under a key of a member or of a primary's record.
ODD_MEMBERS = {
    "odd-1": Member("odd-1", f"{LONG_LABEL}.example:80"),
    "odd-2": Member("odd-2", "localhost:80"),
    "odd-3": Member("odd-3", f"{LOCAL}\0:80"),
    "odd-4": Member("odd-4", f"{LOCAL}:0"),
    "odd-5": Member("odd-5", f"{LOCAL}:1", "z" * MEBIBYTE),
    "odd-6": Member("other", f"{LOCAL}:1"),
}
RECORD = make_primary_record(1, service="odd")
NUMBER = 777
ODD_RECORDS = [
    RECORD._replace(epoch=NUMBER),
    RECORD._replace(epoch=2**63),
    RECORD._replace(epoch=-1),
    RECORD._replace(term=NUMBER),
    RECORD._replace(instance="i" * MEBIBYTE),
    RECORD._replace(holder="h" * MEBIBYTE),
    RECORD._replace(service="other"),
    RECORD._replace(service="other x"),
]


class TestOddEntries:
    @pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
    def test_odd_entry_is_refused(self, data):
        with pytest.raises(ValueError):
            decode_instance("odd", data, {})

    @pytest.mark.parametrize("odd_id", ODD_IDS, ids=ascii)
    def test_id_that_isnt_one_word_is_refused(self, odd_id):
        with pytest.raises(ValueError):
            decode_instance(odd_id, make_odd(), {})

    def test_entry_of_the_same_form_is_read(self):
        assert decode_instance("odd", make_odd(), {}).slots == 3

    @pytest.mark.parametrize("family", ODD_FAMILIES, ids=lambda one: next(iter(one)))
    def test_odd_entries_name_no_instance(self, fleet, traces, family):
        # Sessions of the whole service ended without an answer.
        daemon = fleet.start_ready("d1")[0]
        collect_failures(daemon, traces)
        for number, data in enumerate(family.values()):
            fleet.store.put(f"servers/odd-{number}", data)
        check_serving(fleet, daemon, traces)

    def test_ids_that_arent_one_word_name_no_instance(self, fleet, traces):
        # The id of an entry ended up as a line of its own on a connection.
        daemon = fleet.start_ready("d1")[0]
        collect_failures(daemon, traces)
        for odd_id in ODD_IDS:
            fleet.store.put(f"servers/{odd_id}", make_odd())
        check_serving(fleet, daemon, traces)

    @pytest.mark.parametrize("owner", [None, *OWN_IDS])
    def test_entry_at_the_address_of_another_is_no_primary_for_long(self, fleet, owner):
        # The answer "another instance" counted as one of a running primary, and
        # callers of the service were refused for as long as the entry was there.
        instances = fleet.platform.group.instances
        address = str(instances[owner].address) if owner else f"{LOCAL}:1"
        odd = make_odd(address=address, current_role="primary")
        fleet.store.put("servers/a", odd)
        daemon = fleet.start_ready("d1")[0]

        def is_served():
            caller = open_session(fleet, STRICT)
            error = caller.query("STORE a 1").error
            caller.connection.close()
            return error == ""

        fleet.wait(is_served, "a write", APPEARS_DEAD_MS)
        assert daemon.directory.find_primary(SERVICE).id in OWN_IDS

    def test_many_odd_entries_at_start_leave_the_others_in_use(self, fleet, traces):
        for number, data in enumerate(ODD_ENTRIES.values()):
            fleet.store.put(f"servers/odd-{number}", data)
        daemon = fleet.start_ready("d1")[0]
        collect_failures(daemon, traces)
        check_serving(fleet, daemon, traces)

    def test_entry_that_turns_odd_and_back_is_used_again(self, fleet, traces):
        daemon = fleet.start_ready("d1")[0]
        collect_failures(daemon, traces)
        for data in ODD_ENTRIES.values():
            fleet.store.put(f"servers/{OWN_IDS[2]}", data)
        fleet.wait(lambda: OWN_IDS[2] not in daemon.directory.instances, "not used")
        fleet.platform.register(fleet.platform.group.instances[OWN_IDS[2]])
        check_serving(fleet, daemon, traces)


def make_config(route, tenant, **fields):
    """Return a configuration with a route, a tenant and limits that may be odd."""
    config = {
        "version": 1,
        "routes": [make_route(STRICT, "primary", **route)],
        "services": [{"name": SERVICE, "max_conns": 21}],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {
                "name": "north",
                "api_keys": ["north-key"],
                "rate_per_s": 50,
                "burst": 50,
                **tenant,
            }
        ],
        **fields,
    }
    return json.dumps(config).encode()


class TestOddConfiguration:
    def test_configuration_of_the_same_form_is_read(self):
        assert decode_config(make_config({}, {})).version == 1

    @pytest.mark.parametrize(
        ("route", "tenant", "fields"),
        [
            ({}, {}, {"version": 2**63}),
            ({}, {}, {"version": -1}),
            ({}, {}, {"limits": {"tx_idle_ms": 1e300}}),
            ({}, {}, {"services": [{"name": SERVICE, "max_conns": 10**30}]}),
            ({"timeout_ms": 1e300}, {}, {}),
            ({"timeout_ms": -1}, {}, {}),
            ({"target_latency_ms": 1e300}, {}, {}),
            ({"max_staleness_ms": 1e300}, {}, {}),
            ({}, {"rate_per_s": 1e300}, {}),
            ({}, {"burst": math.inf}, {}),
        ],
    )
    def test_odd_configuration_is_refused(self, route, tenant, fields):
        # No task can wait for such a time, and each statement of the route failed.
        with pytest.raises(ValueError):
            decode_config(make_config(route, tenant, **fields))


class TestOddRecords:
    def test_many_long_entries_hold_up_nothing(self, fleet):
        """Guards against changes that no daemon sees behind a watch's long answer."""
        daemon = fleet.start_ready("d1")[0]
        fleet.wait(lambda: daemon.mirror.is_watching, "the daemon watches the store")
        with fleet.store.condition:
            for number in range(10):
                fleet.store.put(f"servers/long-{number}", b"x" * MEBIBYTE)
            version = fleet.platform.configure()
        fleet.wait(
            lambda: daemon.directory.version == version,
            "the configuration behind the entries",
            APPLY_WITHIN_MS,
        )

    def test_odd_members_arent_on_the_list(self, fleet, traces):
        # One address that couldn't be used ended each round of heartbeats.
        daemon = fleet.start_ready("d1")[0]
        collect_failures(daemon, traces)
        for name, member in ODD_MEMBERS.items():
            fleet.store.put(MEMBER_PREFIX + name, msgspec.json.encode(member))
        check_serving(fleet, daemon, traces)
        fleet.runtime.clock.sleep_ms(2 * UPKEEP_MS)
        assert daemon.members.list_names() == ["d1"]
        assert traces == []

    def test_odd_member_is_logged_once(self, fleet, monkeypatch):
        # A line for each entry was logged several times a second.
        daemon = fleet.start_ready("d1")[0]
        logged = []
        monkeypatch.setattr(
            daemon.log, "write", lambda *given, **_: logged.append(given)
        )
        for name, member in ODD_MEMBERS.items():
            fleet.store.put(MEMBER_PREFIX + name, msgspec.json.encode(member))
        fleet.runtime.clock.sleep_ms(6 * UPKEEP_MS)
        assert logged.count(("members", "A member's entry can't be read.")) == len(
            ODD_MEMBERS
        )

    def test_odd_primary_records_arent_passed_on(self, fleet, traces):
        # A record that fits in no heartbeat kept all heartbeats from being sent.
        daemons = fleet.start_ready("d1", "d2")
        for daemon in daemons:
            collect_failures(daemon, traces)
        for record in ODD_RECORDS:
            data = msgspec.json.encode(record).replace(b"%d" % NUMBER, b"9" * 30)
            fleet.store.put(f"{PRIMARY_RECORD_PREFIX}odd", data)
        for daemon in daemons:
            check_serving(fleet, daemon, traces)
            assert daemon.directory.primary_records == {}
        fleet.runtime.clock.sleep_ms(2 * SILENT_PEER_MS)
        assert not daemons[0].heartbeats.is_leaving("d2")
        assert traces == []
