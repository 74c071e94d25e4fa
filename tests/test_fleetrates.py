"""A workspace's rate over the whole fleet, by the daemons' reports."""

import pytest

from bronzerelay.pooler.fleetrates import INITIAL_TOKENS, PROPAGATION_MS, FleetRates
from bronzerelay.pooler.sources import SILENT_MS, Report, Tally
from bronzerelay.runtime import Random
from tests.builders_pooler import ManualClock, make_runtime, make_workspace

RATE, BURST = 50.0, 50.0
STEP_MS = 10.0
DAEMONS = 8
MANY = 40


class Fleet:
    """Daemons' rates on one clock, with reports that a test can hold back."""

    def __init__(self, count=DAEMONS, rate=RATE, burst=BURST, max_wait_ms=0.0):
        self.clock = ManualClock()
        # How long callers may wait at a daemon until the rate allows them.
        self.max_wait_ms = max_wait_ms
        runtime = make_runtime(self.clock)
        self.names = [f"d{number}" for number in range(count)]
        self.rates = {name: FleetRates(runtime, name) for name in self.names}
        self.cut: set[str] = set()
        for rates in self.rates.values():
            rates.set_workspaces([make_workspace(rate=rate, burst=burst)])
            rates.set_members(self.names)
        self._reported_ms = 0.0
        # When each daemon last told each other one.
        self._sent_ms = {}

    def report(self):
        for sender in self.names:
            self.report_of(sender)

    def report_of(self, sender):
        now_ms = self.clock.now_ms()
        for receiver in self.names:
            if sender != receiver and not {sender, receiver} & self.cut:
                since_ms = self._sent_ms.get((sender, receiver))
                report = self.rates[sender].make_report(since_ms)
                self._sent_ms[sender, receiver] = now_ms
                self.rates[receiver].apply_report(sender, 1, now_ms, report)

    def play_callers(self, duration_ms, rate, retries=0):
        """Return when operations were admitted, and how many callers gave up.

        Callers come at random to random daemons, which report one after the other. A
        refused caller comes back to another daemon a moment later, `retries` times.
        """
        chance = Random(7)
        admitted, given_up = [], 0
        waiting = []
        end_ms = self.clock.now_ms() + duration_ms
        turn = 0.0
        while self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(STEP_MS)
            now_ms = self.clock.now_ms()
            turn += len(self.names) * STEP_MS / PROPAGATION_MS
            while turn >= 1:
                turn -= 1
                self.report_of(self.names[0])
                self.names.append(self.names.pop(0))
            due = [tries for due_ms, tries in waiting if due_ms <= now_ms]
            waiting = [entry for entry in waiting if entry[0] > now_ms]
            due += [0] * sum(
                chance.random() < rate * STEP_MS / 50_000 for _ in range(50)
            )
            for tries in due:
                daemon = self.rates[chance.choice(self.names)]
                decision = daemon.spend("north", self.max_wait_ms)
                if decision.admitted:
                    admitted.append(now_ms + decision.wait_ms)
                elif tries < retries:
                    waiting.append((now_ms + 50, tries + 1))
                else:
                    given_up += 1
        return admitted, given_up

    def play(self, duration_ms, demand):
        """Return when operations were admitted; `demand(name)` is a rate a second."""
        admitted, refused = [], 0
        owed = dict.fromkeys(self.names, 0.0)
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.sleep_ms(STEP_MS)
            if self.clock.now_ms() - self._reported_ms >= PROPAGATION_MS:
                self._reported_ms = self.clock.now_ms()
                self.report()
            for name in self.names:
                owed[name] += demand(name) * STEP_MS / 1000
                while owed[name] >= 1:
                    owed[name] -= 1
                    if self.rates[name].spend("north").admitted:
                        admitted.append(self.clock.now_ms())
                    else:
                        refused += 1
        return admitted, refused


def count_most(times, window_ms=5000.0):
    """Return the most operations in any window."""
    most = first = 0
    times = sorted(times)
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


class TestManyDaemons:
    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_callers_inside_a_small_rate_are_not_refused(self, rate):
        # A small workspace's callers come to one of forty daemons at a time. Each
        # daemon's part of the rate is far below one operation, and four callers of
        # five were refused on a calm day.
        fleet = Fleet(MANY, rate, rate)
        fleet.play_callers(3000, 0)
        admitted, given_up = fleet.play_callers(12_000, 0.6 * rate)
        # One bucket for the whole fleet has to refuse some of those who come at random.
        alone = Fleet(1, rate, rate)
        alone.play_callers(3000, 0)
        _, due = alone.play_callers(12_000, 0.6 * rate)
        assert given_up <= due + 0.02 * len(admitted) + 1

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_that_comes_back_stays_inside_the_rate(self, rate):
        # A workspace sends five times its rate through forty daemons, and whoever is
        # refused comes back twice. No daemon hears of the others' callers for the
        # first third of a second.
        fleet = Fleet(MANY, rate, rate)
        fleet.play_callers(6000, 0.6 * rate)
        admitted, _ = fleet.play_callers(12_000, 5 * rate, retries=2)
        assert count_most(admitted) <= (rate * 5 + rate) * 1.1 + 20
        assert len(admitted) >= 0.85 * rate * 12

    def test_flood_is_served_evenly(self):
        # A workspace floods forty daemons. All see a few operations come free at the
        # same moment and spend each of them many times over, and then refuse until that
        # is made good: its callers get 164 operations in one second and 58 in another.
        fleet = Fleet(MANY, 100, 100)
        fleet.play_callers(4000, 60)
        fleet.play_callers(2000, 800, retries=2)
        for _ in range(6):
            admitted, _ = fleet.play_callers(1000, 800, retries=2)
            assert 75 <= len(admitted) <= 125

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_upon_a_restart_of_all_daemons_stays_inside_the_rate(self, rate):
        # All processes are killed during a flood. None knows what its predecessor
        # spent, and with one operation for each the fleet would spend forty.
        fleet = Fleet(MANY, rate, rate)
        fleet.play_callers(4000, 0.6 * rate)
        before, _ = fleet.play_callers(3000, 5 * rate, retries=2)
        again = Fleet(MANY, rate, rate)
        again.clock.value_ms = fleet.clock.now_ms() + 500
        for rates in again.rates.values():
            rates.set_workspaces([make_workspace("south")])
            rates.set_workspaces([make_workspace(rate=rate, burst=rate)])
        after, _ = again.play_callers(8000, 5 * rate, retries=2)
        assert count_most(before + after) <= (rate * 5 + rate) * 1.1 + 20


class TestReports:
    def test_what_the_receiver_knows_is_left_out(self):
        # Forty daemons tell each other of eighty workspaces three times a second. Most
        # of these were used by nobody since.
        fleet = Fleet(2)
        rates = fleet.rates["d0"]
        fleet.clock.sleep_ms(1000)
        assert rates.spend("north").admitted
        used_ms = fleet.clock.now_ms()
        fleet.clock.sleep_ms(100)
        assert list(rates.make_report(None).tallies) == ["north"]
        assert list(rates.make_report(used_ms).tallies) == ["north"]
        assert rates.make_report(used_ms + 1).tallies == {}

    def test_what_a_process_spent_before_this_one_began_isnt_counted(self):
        # A daemon starts beside one that has admitted thousands. Counted as spent now,
        # they would leave the workspace nothing for a minute.
        fleet = Fleet(2)
        tallies = {"north": Tally(5000, 6000)}
        rates = fleet.rates["d0"]
        rates.apply_report("d1", 1, fleet.clock.now_ms(), Report(True, tallies))
        fleet.clock.sleep_ms(1000)
        tallies = {"north": Tally(5010, 6010)}
        rates.apply_report("d1", 1, fleet.clock.now_ms(), Report(False, tallies))
        fleet.clock.sleep_ms(500)
        admitted = sum(rates.spend("north").admitted for _ in range(200))
        assert 20 < admitted <= BURST


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
            if fleet.rates["d0"].spend("north").admitted:
                fleet.rates["d0"].refund("north")
        fleet.report()
        admitted, refused = fleet.play(500, lambda name: 0.4 * RATE)
        assert (len(admitted) > 0, refused) == (True, 0)

    def test_restarted_daemon_begins_nearly_empty(self):
        # What the process before it spent isn't known to it. With a full bucket each
        # restart would give the workspace its burst once more.
        fleet = Fleet(1)
        rates = fleet.rates["d0"]
        admitted = sum(rates.spend("north").admitted for _ in range(50))
        assert admitted == INITIAL_TOKENS

    def test_thawed_daemon_doesnt_spend_what_the_others_spent(self):
        # A daemon is frozen for long. Its bucket would fill with the whole rate of that
        # time, which the others have spent already.
        fleet = Fleet(4)
        fleet.play(2000, lambda name: RATE / 4)
        fleet.clock.sleep_ms(10 * SILENT_MS)
        admitted = sum(fleet.rates["d0"].spend("north").admitted for _ in range(100))
        assert admitted <= BURST / 4 + 2

    def test_operation_due_in_a_moment_waits_instead_of_being_refused(self):
        # A daemon has just started and its bucket has earned nine tenths of an
        # operation. A caller at a fiftieth of its rate was told to come back in a
        # millisecond, and its transaction had to begin anew.
        fleet = Fleet(2, 500, 500)
        rates = fleet.rates["d0"]
        assert rates.spend("north").admitted
        fleet.clock.sleep_ms(1)
        decision = rates.spend("north", 40)
        assert decision.admitted
        assert 0 < decision.wait_ms <= 2
        # What it takes before it is due is owed: a third caller waits for it, too.
        assert rates.spend("north", 40).wait_ms > decision.wait_ms

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_that_waits_for_its_turn_stays_inside_the_rate(self, rate):
        # Callers of a flood may wait for what is due. Each of forty daemons would lend
        # out the same operation before it hears of the others.
        fleet = Fleet(MANY, rate, rate, max_wait_ms=80)
        fleet.play_callers(6000, 0.6 * rate)
        admitted, _ = fleet.play_callers(12_000, 5 * rate, retries=2)
        assert count_most(admitted) <= (rate * 5 + rate) * 1.1 + 20
        assert len(admitted) >= 0.85 * rate * 12
