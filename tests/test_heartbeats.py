"""What daemons learn from heartbeats, in small fleets and through relays."""

import pytest

from bronzerelay.pooler.heartbeats import MESH_LAG_MS, RELAY_LAG_MS
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.pooler.sources import SILENT_MS
from bronzerelay.runtime import Random
from tests.builders_heartbeats import HeartbeatFleet
from tests.builders_pooler import make_primary_record
from tests.test_fleetrates import count_most

LARGE = 30
CALM_MS = 3000


class TestAcknowledging:
    def test_change_counts_as_known_once_nothing_is_under_way(self):
        # A daemon knows of a change and has a statement under way at the old primary.
        # Taken to have acknowledged it, its statement would run beside the new one.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        lead = make_primary_record(4, settled=False)
        first.directory.set_primary_record(lead)
        first.guard.is_idle = lambda service: False
        fleet.run(1000)
        assert second.gossip.views["d0"].acknowledged == {}
        first.guard.is_idle = lambda service: True
        fleet.run(1000)
        assert second.gossip.views["d0"].acknowledged == {lead.service: 4}

    def test_change_that_a_peer_knows_is_told_no_more(self):
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.take_lead(make_primary_record(4))
        fleet.run(1500)
        assert (
            second.directory.primary_records[make_primary_record(4).service].epoch == 4
        )
        beat = first.heartbeats.build_beat()
        view = first.gossip.views["d1"]
        assert first.heartbeats.complete_beat(beat, view, 0.0).leads == []
        # Its process may be another one by then, which knows of nothing.
        assert first.heartbeats.complete_beat(beat, view, None).leads != []

    @pytest.mark.parametrize("count", [2, LARGE])
    def test_end_of_a_change_is_told_to_who_knows_that_it_is_under_way(self, count):
        # Guards against services without a primary while the store is out, which alone
        # told that a change was settled.
        fleet = HeartbeatFleet(count)
        fleet.run(CALM_MS)
        first, *others = fleet.daemons.values()
        first.take_lead(make_primary_record(4, settled=False))
        fleet.run(CALM_MS)
        first.take_lead(make_primary_record(4))
        fleet.run(CALM_MS)
        leads = [
            one.directory.primary_records[make_primary_record(4).service]
            for one in others
        ]
        assert all(lead.settled for lead in leads)

    def test_heartbeat_without_room_for_all_changes_proves_nothing(self):
        # Ten primaries are changed at once and a heartbeat holds eight of the records.
        # Its receiver would have a proof and not know of the other two changes.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.directory.set_primary_record(make_primary_record(1, service="before"))
        for number in range(10):
            first.directory.set_primary_record(
                make_primary_record(4, settled=False, service=f"s{number}")
            )
        second.heartbeats._take_lead = lambda record: None
        fleet.run(2000)
        assert not second.guard.has_proof()


class TestSilentInstances:
    @pytest.mark.parametrize("count", [2, LARGE])
    def test_instance_that_answers_a_peer_nothing_is_known_everywhere(
        self, count, monkeypatch
    ):
        # A primary goes dark. The daemon that has to act had no statement for it, and
        # would hear of it from nobody.
        fleet = HeartbeatFleet(count)
        fleet.run(CALM_MS)
        first, *others = fleet.daemons.values()
        since_ms = fleet.clock.now_ms()
        first.placement.list_silent = lambda: {"orders-0": since_ms}
        fleet.run(1500)
        for other in others:
            found = other.heartbeats.list_silent_since("orders-0")
            assert len(found) == 1
            assert abs(found[0] - since_ms) < 1500
        first.placement.list_silent = lambda: {}
        fleet.run(1500 + LEASE_MS)
        assert not [
            other for other in others if other.heartbeats.list_silent_since("orders-0")
        ]


class TestStoreAge:
    @pytest.mark.parametrize("count", [8, LARGE])
    def test_what_one_knows_of_the_store_all_know_soon(self, count):
        fleet = HeartbeatFleet(count)
        fleet.run(CALM_MS)
        for daemon in fleet.daemons.values():
            daemon.mirror.age_ms = 60_000.0
        (fleet.list_relays() or fleet.list_alive())[0].mirror.age_ms = 0.0
        fleet.run(CALM_MS)
        lag_ms = MESH_LAG_MS if count < LARGE else 2 * RELAY_LAG_MS
        ages = [one.mirror.store_age_ms() for one in fleet.daemons.values()]
        assert max(ages) <= lag_ms

    def test_what_is_passed_back_and_forth_gets_old(self):
        # Guards against daemons that keep each other's old knowledge young.
        fleet = HeartbeatFleet(3)
        known_ms = fleet.clock.now_ms()
        for daemon in fleet.daemons.values():
            daemon.mirror.age_ms = 60_000.0
            daemon.mirror.note_known(7, known_ms)
        fleet.run(5000)
        ages = [one.mirror.store_age_ms() for one in fleet.daemons.values()]
        assert min(ages) >= 5000

    def test_it_counts_from_the_heartbeat_that_is_answered(self):
        # Guards against news that waited in a queue while the process was frozen.
        fleet = HeartbeatFleet(2)
        first, second = fleet.daemons.values()
        first.mirror.age_ms = 60_000.0
        fleet.run(CALM_MS)
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
        fleet.run(CALM_MS)
        turns = [one.heartbeats.find_turn() for one in fleet.daemons.values()]
        assert sorted(turn.place for turn in turns) == list(range(count))
        assert [turn.lag_ms for turn in turns if turn.place == 0] == [0.0]

    def test_place_of_a_silent_daemon_is_taken(self):
        fleet = HeartbeatFleet(8)
        fleet.run(CALM_MS)
        first = next(
            one
            for one in fleet.daemons.values()
            if not one.heartbeats.find_turn().place
        )
        first.is_alive = False
        fleet.run(CALM_MS)
        places = [one.heartbeats.find_turn().place for one in fleet.list_alive()]
        assert sorted(places) == list(range(7))

    def test_in_a_large_fleet_one_relay_is_first(self):
        # Guards against as many polls as there are daemons.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(CALM_MS)
        relays = fleet.list_relays()
        turns = {
            name: one.heartbeats.find_turn() for name, one in fleet.daemons.items()
        }
        places = sorted(turns[one.name].place for one in relays)
        assert places == list(range(len(relays)))
        behind = [turns[one] for one in turns if one not in {r.name for r in relays}]
        assert min(turn.place for turn in behind) >= 2
        assert {turn.lag_ms for turn in behind} == {2 * RELAY_LAG_MS}


class TestProof:
    @pytest.mark.parametrize("count", [3, 8, LARGE, 81])
    def test_every_daemon_has_a_proof_all_the_time(self, count):
        fleet = HeartbeatFleet(count)
        fleet.run(CALM_MS)
        ages = []

        def look():
            ages.extend(one.guard.proof_age_ms() for one in fleet.daemons.values())

        fleet.run(3000, look)
        assert max(ages) <= LEASE_MS

    def test_daemon_that_hears_of_nobody_has_none(self):
        fleet = HeartbeatFleet(LARGE)
        fleet.run(CALM_MS)
        fleet.network.is_cut = lambda one, two: "d4" in (one, two)
        fleet.run(LEASE_MS + 50)
        assert not fleet.daemons["d4"].guard.has_proof()

    def test_proof_that_two_pass_to_each_other_still_ends(self):
        # Two of five daemons hear of nobody else, and one had word from the store a
        # moment ago. Passed back and forth without its age, its proof would never run
        # out, and both would use a primary that the others have replaced.
        fleet = HeartbeatFleet(5)
        pair = [fleet.daemons["d0"], fleet.daemons["d1"]]
        fleet.network.is_cut = lambda one, two: {one, two} != {"d0", "d1"}
        fleet.run(CALM_MS)
        assert not any(one.guard.has_proof() for one in pair)
        pair[0].guard.add_store_proof(fleet.clock.now_ms())
        fleet.run(700)
        assert all(one.guard.has_proof() for one in pair)
        fleet.run(LEASE_MS - 700 + 50)
        assert not any(one.guard.has_proof() for one in pair)

    def test_daemons_whose_relays_are_killed_have_one_again(self):
        # Both relays of a failure domain are killed at once. The others of it go on to
        # the next ones in the order.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(CALM_MS)
        for daemon in fleet.list_relays():
            if daemon.peer.domain == "z1":
                daemon.is_alive = False
        fleet.run(3000)
        assert all(one.guard.has_proof() for one in fleet.list_alive())

    @pytest.mark.parametrize("seed", range(12))
    def test_nobody_unaware_of_a_change_has_a_proof_once_it_is_made(self, seed):
        # A daemon replaces a primary while random cuts come and go, and waits until
        # all say that they know of it, or most do and the lease has run out. Whoever
        # doesn't know by then and has a proof would use the old primary beside the new.
        fleet = HeartbeatFleet(24, seed=seed)
        fleet.run(CALM_MS)
        chance = Random(seed)
        names = list(fleet.daemons)
        record = make_primary_record(4, settled=False, holder=chance.choice(names))
        holder = fleet.daemons[record.holder]
        cut = set()

        def change_cuts():
            if chance.random() < 0.03:
                side = frozenset(chance.sample(names, chance.randint(1, 14)))
                cut.clear()
                cut.add(side)
            if chance.random() < 0.01:
                cut.clear()

        fleet.network.is_cut = lambda one, two: any(
            (one in side) != (two in side) for side in cut
        )
        holder.take_lead(record)
        enough_ms = None
        is_made = False
        checked = 0
        end_ms = fleet.clock.now_ms() + 12_000
        while fleet.clock.now_ms() < end_ms:
            fleet.step()
            change_cuts()
            known = holder.heartbeats.list_acknowledged(record.service, record.epoch)
            now_ms = fleet.clock.now_ms()
            if len(known) == len(names):
                is_made = True
            elif len(known) * 2 > len(names):
                enough_ms = now_ms if enough_ms is None else enough_ms
                is_made = is_made or now_ms - enough_ms > LEASE_MS + LEASE_MARGIN_MS
            else:
                enough_ms = None
            if not is_made:
                continue
            for daemon in fleet.daemons.values():
                checked += 1
                if record.service not in daemon.directory.primary_records:
                    assert not daemon.guard.has_proof(), daemon.name
        assert checked

    def test_change_is_acknowledged_by_all_within_a_second(self):
        # The maker of a change is no relay, and waits for all daemons' word. A second
        # of it is a second in which the service has no primary.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(CALM_MS)
        relays = {daemon.name for daemon in fleet.list_relays()}
        holder = next(one for one in fleet.daemons.values() if one.name not in relays)
        record = make_primary_record(4, settled=False, holder=holder.name)
        holder.take_lead(record)
        fleet.run(1000)
        known = holder.heartbeats.list_acknowledged(record.service, 4)
        assert known == set(fleet.daemons)


class TestListsBehindRelays:
    def list_behind(self, fleet, at):
        """Return who knows less than `at`, as relays of other domains hear."""
        return {
            name
            for relay in fleet.list_relays()
            for name, view in relay.gossip.views.items()
            if fleet.daemons[name].peer.domain != relay.peer.domain
            and view.told_at_ms >= fleet.clock.now_ms() - LEASE_MS
            and view.knew_at < at
        }

    def test_relays_tell_what_the_members_behind_them_know_of_the_store(self):
        """Guards against removals by a list that far members have not heard of."""
        fleet = HeartbeatFleet(LARGE)
        fleet.run(CALM_MS)
        assert self.list_behind(fleet, 7) == set()
        late = next(
            one for one in fleet.daemons.values() if one not in fleet.list_relays()
        )
        for daemon in fleet.daemons.values():
            daemon.mirror.revision = 7 if daemon is late else 9
        fleet.run(CALM_MS)
        assert late.name in self.list_behind(fleet, 9)
        late.mirror.revision = 9
        fleet.run(CALM_MS)
        assert self.list_behind(fleet, 9) == set()


class TestRelayedRates:
    RATE = 100.0

    def play(self, fleet, duration_ms, rate):
        """Return when operations were admitted, and how many were refused."""
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

    def test_flood_stays_inside_the_rate_and_gets_it(self):
        # A workspace floods a large fleet, whose daemons hear of each other only
        # through relays and up to a second late.
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, 4000, 6)
        admitted, _ = self.play(fleet, 10_000, 50)
        assert count_most(admitted) <= (self.RATE * 5 + self.RATE) * 1.1 + 20
        assert len(admitted) >= 0.85 * self.RATE * 10

    def test_flood_while_relays_are_killed_stays_inside_the_rate(self):
        # The relays of a domain go in a flood. What they had told isn't told again by
        # those that follow, and nothing of it may be spent twice.
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
        domain = {n for n, one in fleet.daemons.items() if one.peer.domain == "z1"}
        fleet.network.is_cut = lambda one, two: (one in domain) != (two in domain)
        more, _ = self.play(fleet, 6000, 50)
        fleet.network.is_cut = lambda one, two: False
        last, _ = self.play(fleet, 5000, 50)
        times = admitted + more + last
        assert count_most(times) <= (self.RATE * 5 + self.RATE) * 1.1 + 20

    def test_callers_inside_the_rate_are_not_refused(self):
        fleet = HeartbeatFleet(LARGE, rate=self.RATE, burst=self.RATE)
        self.play(fleet, CALM_MS + SILENT_MS, 0)
        admitted, refused = self.play(fleet, 10_000, 6)
        assert refused <= 0.02 * len(admitted)


class TestSize:
    def test_relays_take_a_fifth_of_the_bytes_between_domains(self):
        # Heartbeats from everybody to everybody: of 81 daemons each sends 80 a round,
        # most of them to other failure domains.
        fleet = HeartbeatFleet(LARGE)
        fleet.run(3000)
        relayed = fleet.network.count_between_domains()
        mesh = HeartbeatFleet(LARGE)
        for daemon in mesh.daemons.values():
            daemon.heartbeats.contacts.is_mesh = lambda: True
        mesh.run(3000)
        assert relayed <= mesh.network.count_between_domains() / 5
