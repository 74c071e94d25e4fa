"""A workspace's rate over the whole fleet, by the daemons' reports."""

import pytest

from bronzerelay.pooler.fleetrates import FIRST_TOKENS, ROUND_MS, SILENT_MS, FleetRates
from tests.builders_pooler import SetClock, make_runtime, make_workspace

RATE, BURST = 50.0, 50.0
STEP_MS = 10.0
DAEMONS = 8


class Fleet:
    """Daemons' rates on one clock, with reports that a test can hold back."""

    def __init__(self, count=DAEMONS):
        self.clock = SetClock()
        runtime = make_runtime(self.clock)
        self.names = [f"d{number}" for number in range(count)]
        self.rates = {name: FleetRates(runtime, name) for name in self.names}
        self.cut: set[str] = set()
        for rates in self.rates.values():
            rates.set_workspaces([make_workspace(rate=RATE, burst=BURST)])
            rates.set_members(self.names)
        self._reported_ms = 0.0

    def report(self):
        for sender in self.names:
            counts = self.rates[sender].list_counts()
            for receiver in self.names:
                if sender != receiver and not {sender, receiver} & self.cut:
                    now_ms = self.clock.now_ms()
                    self.rates[receiver].note_report(sender, 1, now_ms, counts)

    def play(self, duration_ms, demand):
        """Return when operations were admitted; `demand(name)` is a rate a second."""
        admitted, refused = [], 0
        owed = dict.fromkeys(self.names, 0.0)
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(STEP_MS)
            if self.clock.now_ms() - self._reported_ms >= ROUND_MS:
                self._reported_ms = self.clock.now_ms()
                self.report()
            for name in self.names:
                owed[name] += demand(name) * STEP_MS / 1000
                while owed[name] >= 1:
                    owed[name] -= 1
                    if self.rates[name].spend("north") == 0:
                        admitted.append(self.clock.now_ms())
                    else:
                        refused += 1
        return admitted, refused


def count_most(times, window_ms=5000.0):
    """Return the most operations in any window."""
    most = first = 0
    for last, time_ms in enumerate(times):
        while times[first] <= time_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


class TestFlood:
    def test_flood_over_all_daemons_stays_inside_the_rate(self):
        # One workspace sends five times its rate through all daemons at once.
        fleet = Fleet()
        fleet.play(2000, lambda name: 0)
        admitted, _ = fleet.play(12_000, lambda name: 5 * RATE / DAEMONS)
        assert count_most(admitted) <= (RATE * 5 + BURST) * 1.1 + 20
        assert len(admitted) >= 0.9 * RATE * 12

    def test_flood_while_daemons_are_cut_off_stays_inside_the_rate(self):
        # Three of eight daemons hear of nobody. Each side would spend the whole rate.
        fleet = Fleet()
        fleet.play(2000, lambda name: 0)
        admitted, _ = fleet.play(2000, lambda name: 5 * RATE / DAEMONS)
        fleet.cut = {"d0", "d1", "d2"}
        more, _ = fleet.play(10_000, lambda name: 5 * RATE / DAEMONS)
        fleet.cut = set()
        last, _ = fleet.play(4000, lambda name: 5 * RATE / DAEMONS)
        assert count_most(admitted + more + last) <= (RATE * 5 + BURST) * 1.1 + 20

    def test_lowered_rate_binds(self):
        fleet = Fleet()
        fleet.play(3000, lambda name: RATE / DAEMONS)
        for rates in fleet.rates.values():
            rates.set_workspaces([make_workspace(rate=10, burst=10)])
        fleet.play(1000, lambda name: RATE / DAEMONS)
        admitted, _ = fleet.play(8000, lambda name: RATE / DAEMONS)
        assert count_most(admitted) <= (10 * 5 + 10) * 1.1 + 20


class TestInsideTheRate:
    @pytest.mark.parametrize("daemons", [1, 3, 8])
    def test_even_traffic_is_not_refused(self, daemons):
        fleet = Fleet(daemons)
        fleet.play(1500, lambda name: 0)
        _, refused = fleet.play(10_000, lambda name: 0.8 * RATE / daemons)
        assert refused == 0

    def test_traffic_of_one_daemon_is_not_refused(self):
        fleet = Fleet()
        fleet.play(1500, lambda name: 0)
        _, refused = fleet.play(10_000, lambda name: 0.6 * RATE * (name == "d0"))
        assert refused <= 5

    def test_operation_that_wasnt_run_is_given_back(self):
        # The primary is away for a while and all writes are refused. Counted as if they
        # had run, the callers that come back would be refused over their rate.
        fleet = Fleet(2)
        fleet.play(1500, lambda name: 0)
        for _ in range(200):
            if fleet.rates["d0"].spend("north") == 0:
                fleet.rates["d0"].give_back("north")
        fleet.report()
        admitted, refused = fleet.play(500, lambda name: 0.4 * RATE)
        assert (len(admitted) > 0, refused) == (True, 0)

    def test_restarted_daemon_begins_nearly_empty(self):
        # What the process before it spent isn't known to it. With a full bucket each
        # restart would give the workspace its burst once more.
        fleet = Fleet(1)
        rates = fleet.rates["d0"]
        admitted = sum(rates.spend("north") == 0 for _ in range(50))
        assert admitted == FIRST_TOKENS

    def test_thawed_daemon_doesnt_spend_what_the_others_spent(self):
        # A daemon is frozen for long. Its bucket would fill with the whole rate of that
        # time, which the others have spent already.
        fleet = Fleet(4)
        fleet.play(2000, lambda name: RATE / 4)
        fleet.clock.sleep_ms(10 * SILENT_MS)
        admitted = sum(fleet.rates["d0"].spend("north") == 0 for _ in range(100))
        assert admitted <= BURST / 4 + 2
