"""Heartbeats in small fleets, where all exchange them, and through relays."""

import math

import msgspec
import pytest

from bronzerelay.pooler.fleetrates import DEMAND_WINDOW_MS, FleetRates
from bronzerelay.pooler.gossip import Relayed
from bronzerelay.pooler.heartbeats import (
    MAX_RECORDS_PER_BEAT,
    MESH_LAG_MS,
    RELAY_LAG_MS,
    STORE_WATCHERS,
)
from bronzerelay.pooler.messages import Position
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.pooler.sources import (
    SILENT_MS,
    Report,
    Scope,
    SourceGroup,
    Tally,
)
from bronzerelay.runtime import Random
from standins.lineplatform import SERVICE
from tests.builders_heartbeats import STEP_MS, HeartbeatFleet
from tests.builders_pooler import (
    ManualClock,
    make_primary_record,
    make_runtime,
    make_workspace,
)
from tests.test_fleetrates import count_most

LARGE = 30
SETTLING_MS = 3000
# The age of a mirror that a daemon has got from a peer after its start.
OLD_MIRROR_MS = 60_000.0
# How long an operation waits for its token at most, as in the daemon.
MAX_WAIT_MS = 100.0


RECORD = make_primary_record(1)
ODD_FIELDS = [
    *(
        fields
        for odd in (math.nan, math.inf, -math.inf)
        for fields in (
            {"store_age_ms": odd},
            {"positions": {SERVICE: (1, 1, odd)}},
            {"silent": {"d0": {"orders-0": odd}}},
            {"proof_age_ms": odd},
            {"relayed": Relayed({"d1": odd}, 1, {})},
        )
    ),
    {"positions": {SERVICE: (2**64 - 1, 1, 0.0)}},
    {"primary_records": [RECORD._replace(epoch=2**64 - 1)]},
    {"primary_records": [RECORD._replace(instance="i" * 10_000)]},
]


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=str)
def test_heartbeat_that_cant_be_passed_on_is_refused(fields):
    """Guards against heartbeats that fail at each daemon that has applied one."""
    fleet = HeartbeatFleet(2)
    fleet.run(1000)
    sender, receiver = fleet.daemons.values()
    beat = sender.heartbeats.build_beat()._replace(number=1_000_000, **fields)
    handled = []
    receiver.gossip._handle(
        msgspec.msgpack.encode(beat), lambda *given: handled.append(given)
    )
    assert handled == []


class TestLogSamples:
    @pytest.fixture
    def daemons(self):
        """Return a daemon that knows a change only as under way, and one that is done.

        The first one has a sample of the former primary.
        """
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        before = make_primary_record(3, term=1)
        for daemon in (first, second):
            daemon.apply_record(before)
        fleet.run(1000)
        positions = first.placement.positions_of(before.service)
        positions.add_own_sample(fleet.clock.now_ms(), Position(1, 71))
        first.apply_record(make_primary_record(4, settled=False, term=1))
        second.apply_record(make_primary_record(4, term=2))
        return first, second

    def newest(self, daemon):
        return daemon.placement.positions_of(SERVICE).newest()

    def send(self, first, second, beat):
        """Have the second daemon handle a heartbeat of the first one."""
        view = second.gossip.views[first.name]
        second.heartbeats.handle_beat(beat, view, second.gossip._clock.now_ms())

    def test_sample_of_a_former_primary_isnt_taken_from_a_peer(self, daemons):
        """Guards against sessions that miss their own commit after a change."""
        first, second = daemons
        self.send(first, second, first.heartbeats.build_beat())
        assert self.newest(second) is None

    def test_sample_isnt_taken_from_a_peer_that_doesnt_know_the_change(self, daemons):
        """Guards against a heartbeat from before the change that comes late."""
        first, second = daemons
        beat = first.heartbeats.build_beat()
        before = beat._replace(
            acknowledged={SERVICE: 3},
            unsettled={},
            positions={SERVICE: (1, 71, 0.0)},
        )
        self.send(first, second, before)
        assert self.newest(second) is None

    def test_sample_isnt_taken_for_one_of_a_change_that_comes_meanwhile(
        self, daemons, monkeypatch
    ):
        """Guards against a peer that is paused while it builds a heartbeat."""
        first, second = daemons
        list_samples = first.placement.list_samples

        def list_and_settle(*arguments, **named):
            samples = list_samples(*arguments, **named)
            first.apply_record(make_primary_record(4, term=2))
            return samples

        monkeypatch.setattr(first.placement, "list_samples", list_and_settle)
        self.send(first, second, first.heartbeats.build_beat())
        assert self.newest(second) is None

    def test_sample_of_the_present_primary_is_taken_from_a_peer(self, daemons):
        first, second = daemons
        first.apply_record(make_primary_record(4, term=2))
        now_ms = first.gossip._clock.now_ms()
        positions = first.placement.positions_of(SERVICE)
        positions.add_own_sample(now_ms, Position(2, 72))
        self.send(first, second, first.heartbeats.build_beat())
        assert self.newest(second).position == Position(2, 72)


class TestAcknowledging:
    def test_change_is_acknowledged_once_the_old_primary_is_idle(self):
        # A daemon knows of a change and has a statement in progress at the old primary.
        # If that counted as acknowledged, the statement would run while the new primary
        # is in use.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        record = make_primary_record(4, settled=False)
        first.directory.set_primary_record(record)
        first.guard.is_idle = lambda service: False
        fleet.run(1000)
        assert second.gossip.views["d0"].acknowledged == {}
        first.guard.is_idle = lambda service: True
        fleet.run(1000)
        assert second.gossip.views["d0"].acknowledged == {record.service: 4}

    def test_record_that_a_peer_has_isnt_sent_again(self):
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.apply_record(make_primary_record(4))
        fleet.run(1500)
        assert (
            second.directory.primary_records[make_primary_record(4).service].epoch == 4
        )
        beat = first.heartbeats.build_beat()
        view = first.gossip.views["d1"]
        assert first.heartbeats.complete_beat(beat, view, 0.0).primary_records == []
        # The peer may have restarted since and know nothing.
        assert first.heartbeats.complete_beat(beat, view, None).primary_records != []

    @pytest.mark.parametrize("count", [2, LARGE])
    def test_peers_that_know_of_a_change_learn_that_it_is_settled(self, count):
        # Guards against services without a primary while the store is down, because
        # only the store told that the change was settled.
        fleet = HeartbeatFleet(count)
        fleet.run(SETTLING_MS)
        first, *others = fleet.daemons.values()
        first.apply_record(make_primary_record(4, settled=False))
        fleet.run(SETTLING_MS)
        first.apply_record(make_primary_record(4))
        fleet.run(SETTLING_MS)
        records = [
            daemon.directory.primary_records[make_primary_record(4).service]
            for daemon in others
        ]
        assert all(record.settled for record in records)

    def test_heartbeat_without_all_records_is_no_proof(self):
        # Ten primaries are changed at once and a heartbeat holds eight of the records.
        # If it counted as a proof, its receiver wouldn't know of the other two changes.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.directory.set_primary_record(make_primary_record(1, service="before"))
        for number in range(10):
            first.directory.set_primary_record(
                make_primary_record(4, settled=False, service=f"s{number}")
            )
        second.heartbeats._apply_record = lambda record: None
        fleet.run(2000)
        assert not second.guard.has_proof()


class TestSilentInstances:
    @pytest.mark.parametrize("count", [2, LARGE])
    def test_instance_that_doesnt_answer_a_peer_is_known_everywhere(
        self, count, monkeypatch
    ):
        # A primary stops answering. The daemon that has to act sent it no statement and
        # learns of it only from its peers.
        fleet = HeartbeatFleet(count)
        fleet.run(SETTLING_MS)
        first, *others = fleet.daemons.values()
        since_ms = fleet.clock.now_ms()
        first.placement.list_silent = lambda: {"orders-0": since_ms}
        fleet.run(1500)
        for other in others:
            times_ms = other.heartbeats.list_silent_since("orders-0")
            assert len(times_ms) == 1
            assert abs(times_ms[0] - since_ms) < 1500
        first.placement.list_silent = lambda: {}
        fleet.run(1500 + LEASE_MS)
        assert not [
            other for other in others if other.heartbeats.list_silent_since("orders-0")
        ]


class TestStoreAge:
    @pytest.mark.parametrize("count", [8, LARGE])
    def test_store_age_spreads_from_one_daemon_to_all(self, count):
        fleet = HeartbeatFleet(count)
        fleet.run(SETTLING_MS)
        for daemon in fleet.daemons.values():
            daemon.mirror.age_ms = 60_000.0
        (fleet.list_relays() or fleet.list_alive())[0].mirror.age_ms = 0.0
        fleet.run(SETTLING_MS)
        lag_ms = MESH_LAG_MS if count < LARGE else 2 * RELAY_LAG_MS
        ages = [daemon.mirror.store_age_ms() for daemon in fleet.daemons.values()]
        assert max(ages) <= lag_ms

    def test_store_age_that_is_passed_back_and_forth_grows(self):
        # Guards against daemons that confirm each other's old mirrors as current.
        fleet = HeartbeatFleet(3)
        known_ms = fleet.clock.now_ms()
        for daemon in fleet.daemons.values():
            daemon.mirror.age_ms = 60_000.0
            daemon.mirror.confirm_current(7, known_ms)
        fleet.run(5000)
        ages = [daemon.mirror.store_age_ms() for daemon in fleet.daemons.values()]
        assert min(ages) >= 5000

    def test_store_age_counts_from_the_heartbeat_that_is_echoed(self):
        # Guards against a heartbeat that was queued while the process was frozen.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.mirror.age_ms = 60_000.0
        fleet.run(SETTLING_MS)
        late = first.gossip._sock.arrived
        second.beat(second.next_beat_ms)
        fleet.network.deliver()
        assert late
        fleet.clock.sleep_ms(10_000)
        first.receive()
        assert first.mirror.store_age_ms() >= 10_000

    @pytest.mark.parametrize("count", [1, 8])
    def test_each_daemon_has_a_place_of_its_own_in_the_order(self, count):
        fleet = HeartbeatFleet(count)
        fleet.run(SETTLING_MS)
        turns = [daemon.heartbeats.find_turn() for daemon in fleet.daemons.values()]
        assert sorted(turn.place for turn in turns) == list(range(count))
        assert [turn.lag_ms for turn in turns if turn.place == 0] == [0.0]

    def test_next_daemon_takes_the_place_of_a_silent_one(self):
        fleet = HeartbeatFleet(8)
        fleet.run(SETTLING_MS)
        first = next(
            daemon
            for daemon in fleet.daemons.values()
            if not daemon.heartbeats.find_turn().place
        )
        first.is_alive = False
        fleet.run(SETTLING_MS)
        places = [daemon.heartbeats.find_turn().place for daemon in fleet.list_alive()]
        assert sorted(places) == list(range(7))

    def test_in_a_large_fleet_one_relay_is_first(self):
        # Guards against one poll of the store by each daemon.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        relays = fleet.list_relays()
        turns = {
            name: daemon.heartbeats.find_turn()
            for name, daemon in fleet.daemons.items()
        }
        places = sorted(turns[daemon.name].place for daemon in relays)
        assert places == list(range(len(relays)))
        behind = [
            turns[name]
            for name in turns
            if name not in {relay.name for relay in relays}
        ]
        assert min(turn.place for turn in behind) >= 2
        assert {turn.lag_ms for turn in behind} == {2 * RELAY_LAG_MS}


class TestProof:
    @pytest.mark.parametrize("count", [3, 8, LARGE, 81])
    def test_every_daemon_has_a_proof_all_the_time(self, count):
        fleet = HeartbeatFleet(count)
        fleet.run(SETTLING_MS)
        ages = []

        def look():
            ages.extend(
                daemon.guard.proof_age_ms() for daemon in fleet.daemons.values()
            )

        fleet.run(3000, look)
        assert max(ages) <= LEASE_MS

    def test_daemon_that_hears_no_other_has_no_proof(self):
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        fleet.network.is_cut = lambda sender, receiver: "d4" in (sender, receiver)
        fleet.run(LEASE_MS + 50)
        assert not fleet.daemons["d4"].guard.has_proof()

    def test_proof_that_two_daemons_pass_to_each_other_expires(self):
        # Two of five daemons hear only each other, and one has just had a proof from
        # the store. If it were passed back and forth without its age, it would never
        # expire, and both would use a primary that the others have replaced.
        fleet = HeartbeatFleet(5)
        pair = [fleet.daemons["d0"], fleet.daemons["d1"]]
        fleet.network.is_cut = lambda sender, receiver: (
            {sender, receiver} != {"d0", "d1"}
        )
        fleet.run(SETTLING_MS)
        assert not any(daemon.guard.has_proof() for daemon in pair)
        pair[0].guard.add_store_proof(fleet.clock.now_ms())
        fleet.run(700)
        assert all(daemon.guard.has_proof() for daemon in pair)
        fleet.run(LEASE_MS - 700 + 50)
        assert not any(daemon.guard.has_proof() for daemon in pair)

    def test_daemons_whose_relays_are_killed_get_a_proof_again(self):
        # Both relays of a failure domain are killed at once. Its other daemons switch
        # to the next ones in the order.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        for daemon in fleet.list_relays():
            if daemon.peer.domain == "z1":
                daemon.is_alive = False
        fleet.run(3000)
        assert all(daemon.guard.has_proof() for daemon in fleet.list_alive())

    @pytest.mark.parametrize("seed", range(12))
    def test_no_daemon_unaware_of_a_change_has_a_proof_once_it_is_made(self, seed):
        # A daemon replaces a primary during random partitions, and waits until all
        # others acknowledge it, or most do and the lease has expired. A daemon that
        # doesn't know by then and has a proof would use the old primary as well.
        fleet = HeartbeatFleet(24, seed=seed)
        fleet.run(SETTLING_MS)
        chance = Random(seed)
        names = list(fleet.daemons)
        record = make_primary_record(4, settled=False, holder=chance.choice(names))
        holder = fleet.daemons[record.holder]
        partitions = set()

        def change_partitions():
            if chance.random() < 0.03:
                side = frozenset(chance.sample(names, chance.randint(1, 14)))
                partitions.clear()
                partitions.add(side)
            if chance.random() < 0.01:
                partitions.clear()

        fleet.network.is_cut = lambda sender, receiver: any(
            (sender in side) != (receiver in side) for side in partitions
        )
        holder.apply_record(record)
        quorum_since_ms = None
        is_made = False
        checked = 0
        end_ms = fleet.clock.now_ms() + 12_000
        while fleet.clock.now_ms() < end_ms:
            fleet.step()
            change_partitions()
            known = holder.heartbeats.list_acknowledged(record.service, record.epoch)
            now_ms = fleet.clock.now_ms()
            if len(known) == len(names):
                is_made = True
            elif len(known) * 2 > len(names):
                quorum_since_ms = now_ms if quorum_since_ms is None else quorum_since_ms
                is_made = (
                    is_made or now_ms - quorum_since_ms > LEASE_MS + LEASE_MARGIN_MS
                )
            else:
                quorum_since_ms = None
            if not is_made:
                continue
            for daemon in fleet.daemons.values():
                checked += 1
                if record.service not in daemon.directory.primary_records:
                    assert not daemon.guard.has_proof(), daemon.name
        assert checked

    def test_change_is_acknowledged_by_all_within_a_second(self):
        # The lock holder isn't a relay and waits until all daemons have acknowledged.
        # Meanwhile the service has no primary.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        relays = {daemon.name for daemon in fleet.list_relays()}
        holder = next(
            daemon for daemon in fleet.daemons.values() if daemon.name not in relays
        )
        record = make_primary_record(4, settled=False, holder=holder.name)
        holder.apply_record(record)
        fleet.run(1000)
        known = holder.heartbeats.list_acknowledged(record.service, 4)
        assert known == set(fleet.daemons)

    def lose_store(self, fleet):
        """Let all daemons know the store as of now, and no more from here on."""
        for daemon in fleet.daemons.values():
            daemon.mirror.confirm_current(7, fleet.clock.now_ms())
            daemon.mirror.age_ms = OLD_MIRROR_MS

    def restart(self, fleet, names):
        """Restart daemons, which get an old mirror from a peer."""
        for name in names:
            fleet.restart(name)
            fleet.daemons[name].mirror.age_ms = OLD_MIRROR_MS

    @pytest.mark.parametrize("restarted", ["relays", "others"])
    def test_restarted_daemons_get_proofs_while_the_store_is_out(self, restarted):
        # Guards against an outage of the store during which a restarted daemon has no
        # proof, or none of the daemons behind a restarted relay.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        self.lose_store(fleet)
        relays = {daemon.name for daemon in fleet.list_relays()}
        others = set(fleet.daemons) - relays
        names = sorted(relays if restarted == "relays" else others)
        for name in names[: LARGE // 2 - 1]:
            self.restart(fleet, [name])
            fleet.run(200)
        for _ in range(3):
            fleet.run(SETTLING_MS)
            lacking = [
                name
                for name, daemon in fleet.daemons.items()
                if not daemon.guard.has_proof()
            ]
            assert not lacking

    def test_daemons_that_all_restarted_get_proofs_from_the_store_only(self):
        # All machines lose power while the store is out. Nobody knows any more which
        # changes were acknowledged, until one daemon has had an answer of the store.
        fleet = HeartbeatFleet(5)
        fleet.run(SETTLING_MS)
        self.lose_store(fleet)
        self.restart(fleet, list(fleet.daemons))
        fleet.run(SETTLING_MS)
        assert not any(daemon.guard.has_proof() for daemon in fleet.list_alive())
        mirror = fleet.daemons["d0"].mirror
        mirror.confirm_current(7, fleet.clock.now_ms())
        fleet.run(SETTLING_MS)
        assert all(daemon.guard.has_proof() for daemon in fleet.list_alive())

    def test_restarted_daemon_recovers_once_all_others_have_told_what_they_know(self):
        # Guards against a fleet without a primary until the store is back, as most of
        # the daemons were killed during its outage and all are running again.
        fleet = HeartbeatFleet(5)
        fleet.run(SETTLING_MS)
        self.lose_store(fleet)
        fleet.network.is_cut = lambda sender, receiver: "d4" in (sender, receiver)
        self.restart(fleet, ["d0", "d1", "d2"])
        fleet.run(SETTLING_MS)
        restarted = [fleet.daemons[name] for name in ("d0", "d1", "d2")]
        assert not any(one.heartbeats.has_recovered() for one in restarted)
        assert not any(daemon.guard.has_proof() for daemon in fleet.list_alive())
        fleet.network.is_cut = lambda sender, receiver: False
        fleet.run(SETTLING_MS)
        assert all(one.heartbeats.has_recovered() for one in restarted)
        assert all(daemon.guard.has_proof() for daemon in fleet.list_alive())

    def test_restarted_daemon_counts_in_no_majority(self):
        # One of two daemons that acknowledged a change restarts, and hears only the one
        # that doesn't know of it: neither may have a proof.
        fleet = HeartbeatFleet(3)
        fleet.run(SETTLING_MS)
        self.lose_store(fleet)
        fleet.network.is_cut = lambda sender, receiver: "d0" in (sender, receiver)
        self.restart(fleet, ["d1"])
        fleet.run(SETTLING_MS)
        assert not fleet.daemons["d1"].guard.has_proof()
        assert not fleet.daemons["d2"].guard.has_proof()

    def test_restarted_daemons_give_each_other_no_proof(self):
        # Two of three daemons have acknowledged a change and restart with a mirror from
        # a peer, from before the change. The lock holder counts their acknowledgements;
        # they are a majority, and none of them knows of the change any more.
        fleet = HeartbeatFleet(3)
        fleet.run(SETTLING_MS)
        holder = fleet.daemons["d0"]
        record = make_primary_record(4, settled=False, holder="d0")
        holder.apply_record(record)
        fleet.run(SETTLING_MS)
        fleet.network.is_cut = lambda sender, receiver: "d0" in (sender, receiver)
        for name in ("d1", "d2"):
            fleet.restart(name)
            fleet.daemons[name].mirror.age_ms = OLD_MIRROR_MS
        wrong = []

        def look():
            known = holder.heartbeats.list_acknowledged(record.service, 4)
            wrong.extend(
                daemon.name
                for daemon in fleet.daemons.values()
                if record.service not in daemon.directory.primary_records
                and daemon.guard.has_proof()
                and len(known) == len(fleet.daemons)
            )

        fleet.run(SETTLING_MS, look)
        assert not wrong

    def test_restarted_daemon_has_no_proof_before_it_has_all_records(self):
        # All daemons have acknowledged a change, and one of them restarts at once with
        # a mirror from before it. More records than fit into a heartbeat are new to
        # it. What its peers knew of the store just before the change is no proof yet.
        fleet = HeartbeatFleet(3)
        fleet.run(SETTLING_MS)
        records = [
            make_primary_record(1, service=f"orders{number}")
            for number in range(MAX_RECORDS_PER_BEAT)
        ]
        change = make_primary_record(4, settled=False, holder="d0")
        for daemon in fleet.daemons.values():
            daemon.mirror.age_ms = OLD_MIRROR_MS
            daemon.mirror.confirm_current(7, fleet.clock.now_ms())
            for record in [*records, change]:
                daemon.apply_record(record)
        fleet.run(100)
        fleet.restart("d1")
        restarted = fleet.daemons["d1"]
        restarted.mirror.age_ms = OLD_MIRROR_MS
        # It is heard before it hears a peer, so that these send all their records.
        restarted.next_beat_ms = 0.0
        # As the mirror tells the guard.
        restarted.mirror.confirm_current = lambda revision, as_of_ms: (
            restarted.guard.add_store_proof(as_of_ms)
        )
        unaware = []

        def look():
            if change.service not in restarted.directory.primary_records:
                unaware.append(restarted.guard.has_proof())

        fleet.run(SETTLING_MS, look)
        assert unaware
        assert not any(unaware)

    def test_relay_that_has_heard_a_member_sends_the_change_it_told(self):
        # A member's heartbeat is handled while one to another relay is built. If that
        # one said that the member was heard, and lacked the change that the member
        # told, it would be a proof to a daemon that doesn't know of the change.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        relay = fleet.list_relays()[0]
        view = next(view for view in relay.gossip.views.values() if view.relaying)
        relays = {daemon.name for daemon in fleet.list_relays()}
        same_domain = relay.heartbeats.contacts.list_domain(relay.peer.domain)
        name = next(name for name in same_domain if name not in relays)
        record = make_primary_record(4, settled=False)
        now_ms = fleet.clock.now_ms()
        real = relay.heartbeats.contacts.list_domain

        def hear_member(domain):
            relay.gossip.views[name].heard_up_to_ms = now_ms
            relay.apply_record(record)
            return real(domain)

        beat = relay.heartbeats.build_beat()
        relay.heartbeats.contacts.list_domain = hear_member
        completed = relay.heartbeats.complete_beat(beat, view, now_ms)
        is_told = record in completed.primary_records
        assert is_told or completed.relayed.heard[name] > 0

    def test_members_heard_by_a_relay_are_no_proof_without_its_records(self):
        # A relay knows of more changes than fit into a heartbeat. Who hears it doesn't
        # know all that the members behind it have announced.
        fleet = HeartbeatFleet(5)
        fleet.network.is_cut = lambda sender, receiver: True
        receiver, relay, member = list(fleet.daemons.values())[:3]
        now_ms = fleet.clock.now_ms()
        heard = Relayed({"d2": 0.0, "d3": 0.0, "d4": 0.0}, 7, {})
        beat = relay.heartbeats.build_beat()
        receiver.heartbeats.handle_beat(
            beat._replace(has_all_records=False, relayed=heard),
            receiver.gossip.views["d1"],
            now_ms,
        )
        assert not receiver.guard.has_proof()
        receiver.heartbeats.handle_beat(
            member.heartbeats.build_beat(), receiver.gossip.views["d2"], now_ms
        )
        assert not receiver.guard.has_proof()

    def test_relay_tells_nothing_of_a_process_before_a_restart(self):
        # A member that has acknowledged a change restarts, and one of two relays hasn't
        # heard that yet. If the other one believed it, it would leave the change out of
        # its heartbeats, and the member would have a proof without knowing of it.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        first = fleet.list_relays()[0]
        second = next(
            daemon
            for daemon in fleet.list_relays()
            if daemon.peer.domain == first.peer.domain and daemon is not first
        )
        name = next(
            name
            for name in first.heartbeats.contacts.list_domain(first.peer.domain)
            if name != second.name
        )
        record = make_primary_record(4, settled=False, holder=first.name)
        first.apply_record(record)
        fleet.run(SETTLING_MS)
        fleet.network.is_cut = lambda sender, receiver: (
            name in (sender, receiver) and first.name not in (sender, receiver)
        )
        fleet.restart(name)
        fleet.daemons[name].mirror.age_ms = OLD_MIRROR_MS
        unaware = []

        def look():
            daemon = fleet.daemons[name]
            if record.service not in daemon.directory.primary_records:
                unaware.append(daemon.guard.has_proof())

        fleet.run(SETTLING_MS, look)
        assert not any(unaware)


class TestRevisionsBehindRelays:
    def list_behind(self, fleet, revision):
        """Return the members below a revision, as relays of other domains know it."""
        return {
            name
            for relay in fleet.list_relays()
            for name, view in relay.gossip.views.items()
            if fleet.daemons[name].peer.domain != relay.peer.domain
            and view.heard_up_to_ms >= fleet.clock.now_ms() - LEASE_MS
            and view.known_revision < revision
        }

    def test_relays_pass_on_the_store_revision_of_the_members_behind_them(self):
        """Guards against removals from a member list that others don't have yet."""
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        assert self.list_behind(fleet, 7) == set()
        late = next(
            daemon
            for daemon in fleet.daemons.values()
            if daemon not in fleet.list_relays()
        )
        for daemon in fleet.daemons.values():
            daemon.mirror.revision = 7 if daemon is late else 9
        fleet.run(SETTLING_MS)
        assert late.name in self.list_behind(fleet, 9)
        late.mirror.revision = 9
        fleet.run(SETTLING_MS)
        assert self.list_behind(fleet, 9) == set()


class TestStoreWatchers:
    """Which daemons of a large fleet watch the store, and whom the others follow."""

    def list_watchers(self, fleet):
        return {
            daemon.name
            for daemon in fleet.list_alive()
            if not daemon.heartbeats.has_relay()
        }

    def test_two_relays_watch_and_all_others_follow(self):
        # Guards against a call of each relay for each update: with five failure domains
        # ten calls instead of two.
        fleet = HeartbeatFleet(LARGE, domains=5)
        fleet.run(SETTLING_MS)
        watchers = self.list_watchers(fleet)
        assert len(watchers) == STORE_WATCHERS
        assert watchers <= {daemon.name for daemon in fleet.list_relays()}

    def test_others_watch_when_the_watchers_are_killed(self):
        fleet = HeartbeatFleet(LARGE, domains=5)
        fleet.run(SETTLING_MS)
        killed = self.list_watchers(fleet)
        for name in killed:
            fleet.daemons[name].is_alive = False
        fleet.run(SETTLING_MS)
        watchers = self.list_watchers(fleet)
        assert len(watchers) == STORE_WATCHERS
        assert not watchers & killed

    def test_relay_that_is_no_contact_any_more_isnt_followed(self):
        # Guards against waiting for the updates of a relay that sends none here.
        fleet = HeartbeatFleet(LARGE, domains=5)
        fleet.run(SETTLING_MS)
        first = next(iter(self.list_watchers(fleet)))
        fleet.daemons[first].is_alive = False
        fleet.run(SETTLING_MS)
        fleet.daemons[first].is_alive = True
        fleet.run(SETTLING_MS)
        for daemon in fleet.list_alive():
            upstream = daemon.heartbeats._upstream
            assert all(name in daemon.heartbeats._plan.contacts for name in upstream)

    def test_updates_reach_all_daemons_through_the_watchers(self):
        fleet = HeartbeatFleet(LARGE, domains=5)
        fleet.run(SETTLING_MS)
        for name in self.list_watchers(fleet):
            fleet.daemons[name].mirror.revision = 9
            fleet.daemons[name].heartbeats.announce_store_change()
        for _ in range(3):
            # Each daemon that hears of the update fetches it, and a relay announces it.
            fleet.run(SETTLING_MS / 3)
            for daemon in fleet.list_alive():
                if 9 in daemon.mirror.relay_revisions:
                    daemon.mirror.revision = 9
                    daemon.heartbeats.announce_store_change()
        assert {daemon.mirror.revision for daemon in fleet.list_alive()} == {9}


class TestSources:
    def test_name_of_a_member_is_no_key_of_a_domain(self):
        """Guards against a member whose operations aren't counted at its relay."""
        fleet = HeartbeatFleet(LARGE)
        fleet.run(SETTLING_MS)
        relay = fleet.list_relays()[0]
        peers = {name: one.peer for name, one in fleet.daemons.items()}
        del peers[relay.name]
        renamed, other = (
            next(
                one.name
                for one in fleet.daemons.values()
                if one not in fleet.list_relays()
                and (one.peer.domain == relay.peer.domain) is is_same
            )
            for is_same in (True, False)
        )
        peers[f"DOMAIN {peers[other].domain}"] = peers.pop(renamed)
        relay.heartbeats.contacts.set_peers(peers)
        groups = relay.heartbeats.list_sources(list(peers))
        assert sum(group.members for group in groups.values()) == len(peers)


class TestRelayedRates:
    RATE = 100.0

    def play(self, fleet, duration_ms, rate):
        """Return the times of admitted operations and the number of refused ones."""
        admitted, refused = [], []

        def ask():
            if fleet.chance.random() >= rate / 100:
                return
            daemon = fleet.chance.choice(fleet.list_alive())
            if daemon.rates.spend("north").admitted:
                admitted.append(fleet.clock.now_ms())
            else:
                refused.append(fleet.clock.now_ms())

        def ask_often():
            for _ in range(10):
                ask()

        fleet.run(duration_ms, ask_often)
        return admitted, len(refused)

    def test_flood_gets_its_rate_and_no_more(self):
        # A workspace floods a large fleet, whose daemons hear each other's reports only
        # through relays and up to a second late.
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, 4000, 6)
        admitted, _ = self.play(fleet, 10_000, 50)
        assert count_most(admitted) <= (self.RATE * 5 + self.RATE) * 1.1 + 20
        assert len(admitted) >= 0.85 * self.RATE * 10

    def test_flood_while_relays_are_killed_stays_inside_the_rate(self):
        # The relays of a domain are killed during a flood. Their successors don't
        # report the same operations again, and these must not be admitted twice.
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, 4000, 6)
        admitted, _ = self.play(fleet, 3000, 50)
        for daemon in fleet.list_relays():
            if daemon.peer.domain == "z1":
                daemon.is_alive = False
        more, _ = self.play(fleet, 8000, 50)
        assert count_most(admitted + more) <= (self.RATE * 5 + self.RATE) * 1.1 + 20

    def test_flood_while_a_domain_is_cut_off_stays_inside_the_rate(self):
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, 4000, 6)
        admitted, _ = self.play(fleet, 2000, 50)
        domain = {
            name for name, daemon in fleet.daemons.items() if daemon.peer.domain == "z1"
        }
        fleet.network.is_cut = lambda sender, receiver: (
            (sender in domain) != (receiver in domain)
        )
        more, _ = self.play(fleet, 6000, 50)
        fleet.network.is_cut = lambda sender, receiver: False
        last, _ = self.play(fleet, 5000, 50)
        times = admitted + more + last
        assert count_most(times) <= (self.RATE * 5 + self.RATE) * 1.1 + 20

    def test_callers_inside_the_rate_are_not_refused(self):
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, SETTLING_MS + SILENT_MS, 0)
        admitted, refused = self.play(fleet, 10_000, 6)
        assert refused <= 0.02 * len(admitted)


class TestRatesAfterFailures:
    """A workspace that asks for half of its rate, in a fleet that fails and recovers.

    A bucket of its rate and burst at one place would admit every operation.
    """

    RATE = 26.0
    ASKED = 13.0
    # How long after a failure a workspace may pay for what unheard daemons could have
    # spent: until its rate has earned its burst once.
    RECOVERY_MS = 1000.0 + SETTLING_MS

    def play(self, fleet, duration_ms):
        """Return how many operations were asked for, and how many refused."""
        asked, refused = [], []

        def ask():
            if fleet.chance.random() < self.ASKED * STEP_MS / 1000:
                daemon = fleet.chance.choice(fleet.list_alive())
                asked.append(daemon.name)
                if not daemon.rates.spend("north", MAX_WAIT_MS).admitted:
                    refused.append(daemon.name)

        fleet.run(duration_ms, ask)
        return len(asked), len(refused)

    def start(self, count, domains, seed):
        fleet = HeartbeatFleet(count, domains, seed, rate=self.RATE, burst=self.RATE)
        self.play(fleet, SETTLING_MS + SILENT_MS)
        return fleet

    def split(self, fleet, share):
        """Separate a random share of the daemons from the others."""
        side = {name for name in fleet.daemons if fleet.chance.random() < share}
        fleet.network.is_cut = lambda sender, receiver: (
            (sender in side) != (receiver in side)
        )

    def heal(self, fleet):
        fleet.network.is_cut = lambda sender, receiver: False

    def find_greatest_demand(self, fleet):
        """Return the greatest demand that any daemon believes in, a second."""
        return max(
            daemon.rates._buckets["north"].demand * 1000 / DEMAND_WINDOW_MS
            for daemon in fleet.list_alive()
        )

    @pytest.mark.parametrize("seed", range(1, 5))
    @pytest.mark.parametrize("count, domains", [(18, 5), (40, 3)])
    def test_operations_during_a_split_are_counted_once(self, count, domains, seed):
        # Guards against daemons that begin to relay, or stop, and count once more what
        # another relay has reported to them meanwhile.
        fleet = self.start(count, domains, seed)
        self.split(fleet, 0.65)
        self.play(fleet, 7000)
        self.heal(fleet)
        demands = []
        for _ in range(20):
            self.play(fleet, 100)
            demands.append(self.find_greatest_demand(fleet))
        assert max(demands) <= 3 * self.ASKED

    @pytest.mark.parametrize("seed", [1, 2, 3, 12])
    def test_nobody_inside_the_rate_is_refused_after_failures(self, seed):
        # Guards against paying off operations that were never admitted: refusals for
        # as long as ten seconds after a split was over.
        fleet = self.start(24, 4, seed)
        for _ in range(2):
            self.split(fleet, 0.65)
            self.play(fleet, 3000)
            for daemon in fleet.list_relays()[:2]:
                fleet.restart(daemon.name)
            self.play(fleet, 2000)
            self.heal(fleet)
            stopped = fleet.chance.choice(fleet.list_relays())
            stopped.is_alive = False
            self.play(fleet, 2000)
            stopped.is_alive = True
            self.play(fleet, self.RECOVERY_MS)
            asked, refused = self.play(fleet, 4000)
            assert asked > 30
            assert refused == 0


class TestReporters:
    """Two relays that report the same operations to the daemons of their domain."""

    NAMES = ("r1", "r2")

    def make(self):
        clock = ManualClock()
        rates = FleetRates(make_runtime(clock), "d1")
        rates.set_workspaces([make_workspace(rate=100.0, burst=100.0)])
        group = SourceGroup(Scope.FLEET, self.NAMES, 10)
        rates.set_sources({"fleet": group})
        clock.sleep_ms(SILENT_MS)
        return clock, rates

    def report(self, clock, rates, name, total, reachable=10):
        tallies = {"north": Tally(total, total)}
        report = Report(False, tallies, Scope.FLEET, reachable, 10)
        rates.apply_report(name, 1, clock.now_ms(), report)

    def demand(self, rates):
        return rates._buckets["north"].demand

    def test_a_relay_that_takes_over_goes_on_where_the_other_one_ended(self):
        # Guards against operations that are lost or counted twice when the relay that
        # reports changes.
        clock, rates = self.make()
        for total in (0, 5, 10):
            self.report(clock, rates, "r1", total)
            self.report(clock, rates, "r2", total)
            clock.sleep_ms(300)
        before = self.demand(rates)
        # r1 is silent from now on, and what r2 alone has reported counts.
        for total in (20, 30, 40):
            self.report(clock, rates, "r2", total)
            clock.sleep_ms(300)
        assert 28 <= self.demand(rates) - before <= 30

    def test_only_the_current_relay_tells_how_many_members_it_reaches(self):
        # Guards against tokens that are taken each time when the relay that reaches
        # fewer members reports, though the other one reaches all.
        clock, rates = self.make()
        for total in (0, 1):
            self.report(clock, rates, "r1", total)
            self.report(clock, rates, "r2", total, reachable=2)
            clock.sleep_ms(300)
        rates.spend("north")
        assert rates._buckets["north"].fraction == 1.0

    def test_a_relay_that_was_silent_goes_on_from_its_next_report(self):
        # Guards against counting, all at once, what another relay has reported while
        # this one didn't report to this daemon.
        clock, rates = self.make()
        self.report(clock, rates, "r1", 0)
        self.report(clock, rates, "r2", 0)
        for total in range(10, 100, 10):
            clock.sleep_ms(300)
            self.report(clock, rates, "r1", total)
        rates.set_sources({"fleet": SourceGroup(Scope.FLEET, ("r2",), 10)})
        before = self.demand(rates)
        self.report(clock, rates, "r2", 90)
        assert self.demand(rates) <= before


class TestSize:
    def test_relays_need_a_fifth_of_the_bytes_between_domains(self):
        # In a full mesh of 81 daemons each sends 80 heartbeats a round, most of them to
        # other failure domains.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(3000)
        relayed = fleet.network.count_between_domains()
        mesh = HeartbeatFleet(LARGE)
        for daemon in mesh.daemons.values():
            daemon.heartbeats.contacts.is_mesh = lambda: True
        mesh.run(3000)
        assert relayed <= mesh.network.count_between_domains() / 5
