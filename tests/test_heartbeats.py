"""Heartbeats in small fleets, where all exchange them, and through relays."""

import pytest

from bronzerelay.pooler.heartbeats import MESH_LAG_MS, RELAY_LAG_MS
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.pooler.sources import SILENT_MS
from bronzerelay.runtime import Random
from tests.builders_heartbeats import HeartbeatFleet
from tests.builders_pooler import make_primary_record
from tests.test_fleetrates import count_most

LARGE = 30
SETTLING_MS = 3000


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
