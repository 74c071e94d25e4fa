"""Tests of rates while daemons don't hear each other, against one exact bucket."""

import pytest

from bronzerelay.pooler.sources import LATE_MS
from tests.builders_heartbeats import STEP_MS, HeartbeatFleet
from tests.builders_rates import PartedFleet
from tests.test_fleetrates import count_most

# The rates, bursts, and daemons of the fleets; a burst may last for long or be short.
SIZES = [(4, 50, 50), (10, 400, 100), (8, 100, 300)]
SHARES = [(0.5,), (0.15,), (0.3, 0.3), (0.8,)]
FILL_MS = 6000
# How long callers may wait for a token.
MAX_WAIT_MS = 50


def find_bound(rate, burst):
    """Return the most operations that may run in five seconds."""
    return (rate * 5 + burst) * 1.1 + 20


def start(count, rate, burst, seed):
    fleet = PartedFleet(count, rate, burst, seed)
    fleet.play(FILL_MS, lambda name: 0)
    return fleet


class TestBelowTheFraction:
    @pytest.mark.parametrize("count, rate, burst", SIZES)
    @pytest.mark.parametrize("seed", range(1, 5))
    def test_nobody_is_refused_while_sides_split_and_join(
        self, count, rate, burst, seed
    ):
        """Guards against debts for what the silent ones could have spent: 1,335 of
        1,890 refusals of a cut were of workspaces that asked for less than was due.
        """
        fleet = start(count, rate, burst, seed)
        refused = []
        for shares in SHARES:
            for duration_ms in (fleet.chance.uniform(400, 3000), 1500):
                # Callers may wait for a token for a moment, as they do at a daemon.
                refused += fleet.play(
                    duration_ms, lambda _: 0.8 * rate / count, MAX_WAIT_MS
                )[1]
                fleet.split(*shares)
            fleet.join()
        assert refused == []

    def test_a_workspace_of_a_few_operations_is_served_on_a_small_side(self):
        """Guards against a side whose part of the burst is less than one operation."""
        fleet = start(10, 6, 6, 1)
        fleet.split(0.1)
        small = next(name for name, side in fleet.sides.items() if side == 1)
        fleet.play(2000, lambda name: 0)
        admitted, refused, _ = fleet.play(
            10_000, lambda name: 0.5 * (name == small), MAX_WAIT_MS
        )
        assert (len(admitted), refused) == (5, [])


class TestFlood:
    @pytest.mark.parametrize("count, rate, burst", SIZES)
    @pytest.mark.parametrize("shares", SHARES)
    @pytest.mark.parametrize("cut_ms", [700, 1050, 3000])
    def test_a_flood_that_begins_with_the_cut_stays_inside_the_rate(
        self, count, rate, burst, shares, cut_ms
    ):
        """Guards against a full bucket spent on each side before these notice, and
        against forgetting on joining what the other side owes.
        """
        fleet = start(count, rate, burst, 3)
        fleet.split(*shares)
        admitted = fleet.play(cut_ms, lambda _: 8 * rate / count)[0]
        fleet.join()
        admitted += fleet.play(4000, lambda _: 3 * rate / count)[0]
        assert count_most(admitted) <= find_bound(rate, burst)

    def test_a_flood_gets_less_while_reports_are_late(self):
        """Guards against spending the burst on each side until silence is certain."""
        admitted = []
        for shares in ((), (0.8,)):
            fleet = start(5, 100, 300, 1)
            fleet.split(*shares)
            small = next(name for name in fleet.names if not fleet.sides[name])
            fleet.play(LATE_MS, lambda name: 0)
            demands = {**dict.fromkeys(fleet.names, 0), small: 2000}
            times = fleet.play(100, demands.get)[0]
            admitted.append(len(times))
        assert admitted[1] < 0.7 * admitted[0]

    @pytest.mark.parametrize("count, rate, burst", SIZES)
    @pytest.mark.parametrize("seed", range(1, 4))
    def test_loads_that_come_and_go_in_a_series_of_cuts_stay_inside_the_rate(
        self, count, rate, burst, seed
    ):
        fleet = start(count, rate, burst, seed)
        admitted = []
        for _ in range(10):
            shares = fleet.chance.choice([*SHARES, ()])
            fleet.split(*shares)
            loads = [fleet.chance.choice([0, 0.5, 4]) for _ in range(3)]
            duration_ms = fleet.chance.uniform(400, 2500)
            demands = {
                name: loads[side] * rate / count for name, side in fleet.sides.items()
            }
            admitted += fleet.play(duration_ms, demands.get)[0]
        assert count_most(admitted) <= find_bound(rate, burst)

    @pytest.mark.parametrize("count, rate, burst", SIZES)
    @pytest.mark.parametrize("shares", SHARES)
    def test_a_flood_on_all_sides_gets_its_rate_during_a_cut(
        self, count, rate, burst, shares
    ):
        """Guards against refusing on each side more than that side owes."""
        fleet = start(count, rate, burst, 5)
        fleet.play(3000, lambda _: 3 * rate / count)
        fleet.split(*shares)
        admitted, _, exact = fleet.play(8000, lambda _: 3 * rate / count)
        assert len(admitted) >= 0.9 * exact


class TestBehindRelays:
    """Daemons that know of most others only how many their relays reach."""

    RATE = 100.0

    def start(self):
        fleet = HeartbeatFleet(18, 3, 3, rate=self.RATE, burst=self.RATE)
        fleet.run(5000)
        return fleet

    def play(self, fleet, duration_ms, part):
        """Return when operations were admitted, and refused; all daemons are asked."""
        owed = dict.fromkeys(fleet.daemons, 0.0)
        admitted, refused = [], []

        def ask():
            for name, daemon in fleet.daemons.items():
                owed[name] += part * self.RATE / len(owed) * STEP_MS / 1000
                while owed[name] >= 1:
                    owed[name] -= 1
                    decision = daemon.rates.spend("north", MAX_WAIT_MS)
                    outcome = admitted if decision.admitted else refused
                    outcome.append(fleet.clock.now_ms())

        fleet.run(duration_ms, ask)
        return admitted, refused

    def test_nobody_below_the_fraction_is_refused_in_a_cut_across_domains(self):
        """Guards against a debt on each side that loses its relays."""
        fleet = self.start()
        self.play(fleet, 3000, 0.6)
        side = {name for name in fleet.daemons if fleet.chance.random() < 0.6}
        fleet.network.is_cut = lambda one, other: (one in side) != (other in side)
        assert self.play(fleet, 5000, 0.6)[1] == []

    def test_a_flood_that_begins_as_a_domain_is_cut_off_stays_inside_the_rate(self):
        """Guards against forgetting what the relays of the other side don't tell."""
        fleet = self.start()
        daemons = fleet.daemons.values()
        side = {daemon.name for daemon in daemons if daemon.peer.domain == "z1"}
        fleet.network.is_cut = lambda one, other: (one in side) != (other in side)
        admitted = self.play(fleet, 1100, 8)[0]
        fleet.network.is_cut = lambda one, other: False
        admitted += self.play(fleet, 4000, 3)[0]
        assert count_most(admitted) <= find_bound(self.RATE, self.RATE)
