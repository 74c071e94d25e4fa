"""Tests of the fleet-wide rate limits, with reports between simulated daemons."""

import pytest

from bronzerelay.pooler.fleetrates import INITIAL_TOKENS, PROPAGATION_MS, FleetRates
from bronzerelay.pooler.sources import SILENT_MS, Report, Scope, SourceGroup, Tally
from bronzerelay.runtime import Random
from tests.builders_pooler import ManualClock, make_runtime, make_workspace
from tests.builders_rates import ExactBucket

RATE, BURST = 50.0, 50.0
STEP_MS = 10.0
DAEMONS = 8
MANY = 40


class Fleet:
    """The rate limiters of several daemons on one clock, with reports between them."""

    def __init__(self, count=DAEMONS, rate=RATE, burst=BURST, max_wait_ms=0.0):
        self.clock = ManualClock()
        # How long an operation may wait at a daemon until the rate admits it.
        self.max_wait_ms = max_wait_ms
        runtime = make_runtime(self.clock)
        self.names = [f"d{number}" for number in range(count)]
        self.rates = {name: FleetRates(runtime, name) for name in self.names}
        self.cut: set[str] = set()
        for rates in self.rates.values():
            rates.set_workspaces([make_workspace(rate=rate, burst=burst)])
            rates.set_members(self.names)
        self._reported_ms = 0.0
        # When each daemon last reported to each other one.
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

        Callers arrive at random times at random daemons, which report in turn. A
        refused caller retries at a random daemon 50 ms later, up to `retries` times.
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
        """Return admission times and refusals; `demand(name)` is a rate a second."""
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
    """Return the highest number of operations in any window."""
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
        # Three of eight daemons are isolated, each on its own. Without setting shares
        # aside, each part of the fleet would spend the whole rate.
        fleet = Fleet()
        fleet.play(2000, lambda name: 0)
        admitted, _ = fleet.play(2000, lambda name: 5 * RATE / DAEMONS)
        fleet.cut = {"d0", "d1", "d2"}
        more, _ = fleet.play(10_000, lambda name: 5 * RATE / DAEMONS)
        fleet.cut = set()
        last, _ = fleet.play(4000, lambda name: 5 * RATE / DAEMONS)
        assert count_most(admitted + more + last) <= (RATE * 5 + BURST) * 1.1 + 20

    def test_lowered_rate_is_enforced(self):
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
        # A small workspace's callers spread over forty daemons. With a fixed share per
        # daemon, far below one operation, four of five callers were refused although
        # the workspace was below its rate.
        fleet = Fleet(MANY, rate, rate)
        fleet.play_callers(3000, 0)
        admitted, given_up = fleet.play_callers(12_000, 0.6 * rate)
        # Even a single bucket has to refuse some of the callers, which come at random.
        alone = Fleet(1, rate, rate)
        alone.play_callers(3000, 0)
        _, due = alone.play_callers(12_000, 0.6 * rate)
        assert given_up <= due + 0.02 * len(admitted) + 1

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_with_retries_stays_inside_the_rate(self, rate):
        # A workspace sends five times its rate through forty daemons, and refused
        # callers retry twice. For the first third of a second no daemon knows of the
        # others' callers.
        fleet = Fleet(MANY, rate, rate)
        fleet.play_callers(6000, 0.6 * rate)
        admitted, _ = fleet.play_callers(12_000, 5 * rate, retries=2)
        assert count_most(admitted) <= (rate * 5 + rate) * 1.1 + 20
        assert len(admitted) >= 0.85 * rate * 12

    def test_flood_is_served_evenly(self):
        # A workspace floods forty daemons. If all of them see the same few tokens at
        # once, they spend each token many times and then refuse until the bucket has
        # recovered: callers got 164 operations in one second and 58 in another.
        fleet = Fleet(MANY, 100, 100)
        fleet.play_callers(4000, 60)
        fleet.play_callers(2000, 800, retries=2)
        for _ in range(6):
            admitted, _ = fleet.play_callers(1000, 800, retries=2)
            assert 75 <= len(admitted) <= 125

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_across_a_restart_of_all_daemons_stays_inside_the_rate(self, rate):
        # All processes are killed during a flood. None knows what its predecessor
        # spent, and if each admitted one operation, the fleet would admit forty.
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
    def test_report_omits_what_the_receiver_knows(self):
        # Forty daemons report on eighty workspaces to each other three times a second,
        # most of which weren't used since the last report.
        fleet = Fleet(2)
        rates = fleet.rates["d0"]
        fleet.clock.sleep_ms(1000)
        assert rates.spend("north").admitted
        used_ms = fleet.clock.now_ms()
        fleet.clock.sleep_ms(100)
        assert list(rates.make_report(None).tallies) == ["north"]
        assert list(rates.make_report(used_ms).tallies) == ["north"]
        assert rates.make_report(used_ms + 1).tallies == {}

    def test_operations_before_this_process_started_arent_counted(self):
        # A daemon starts next to one that has admitted thousands of operations. If
        # these counted as spent now, the workspace would get nothing for a minute.
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

    def test_first_full_report_after_a_partial_one_isnt_counted(self):
        # A peer doesn't know yet that this process is new, and sends only what changed.
        # Its next report holds what it admitted for the other workspaces in hours.
        clock = ManualClock()
        rates = FleetRates(make_runtime(clock), "d1")
        rates.set_workspaces([make_workspace("north"), make_workspace("south")])
        rates.set_members(["d1", "d2"])
        clock.sleep_ms(SILENT_MS / 2)
        before = rates._buckets["south"].demand
        partial = Report(False, {"north": Tally(900, 900)})
        rates.apply_report("d2", 1, clock.now_ms(), partial)
        tallies = {"north": Tally(900, 900), "south": Tally(500, 500)}
        rates.apply_report("d2", 1, clock.now_ms(), Report(True, tallies))
        assert rates._buckets["south"].demand == before


class TestBurst:
    def test_a_burst_at_one_daemon_gets_what_an_exact_bucket_gives(self):
        """Guards against refusing operations of one caller as if all daemons were
        flooded: "2.8 of 6 operations left, 6 a second due, 8.7 asked for".
        """
        clock = ManualClock()
        rates = FleetRates(make_runtime(clock), "d1")
        rates.set_workspaces([make_workspace(rate=6, burst=6)])
        rates.set_sources({"fleet": SourceGroup(Scope.FLEET, ("r1",), 40)})
        exact = ExactBucket(6, 6, clock.now_ms())
        report = Report(True, {}, Scope.FLEET, 40, 40)
        for number in range(80):
            clock.sleep_ms(100)
            rates.apply_report("r1", 1, clock.now_ms(), report)
            if number >= 60:
                decision = rates.spend("north")
                assert decision.admitted == exact.spend(clock.now_ms())

    def test_many_daemons_dont_give_the_same_tokens(self):
        """Guards against a burst that each daemon takes for its own alone."""
        fleet = Fleet(MANY, 50, 100)
        fleet.play_callers(6000, 25)
        admitted, _ = fleet.play_callers(8000, 200, retries=2)
        assert count_most(admitted) <= (50 * 5 + 100) * 1.1 + 20


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

    def test_operation_that_wasnt_run_is_refunded(self):
        # The primary is unavailable for a while and all writes are refused. If they
        # counted as run, the retrying callers would be refused for exceeding their
        # rate.
        fleet = Fleet(2)
        fleet.play(1500, lambda name: 0)
        for _ in range(200):
            if fleet.rates["d0"].spend("north").admitted:
                fleet.rates["d0"].refund("north")
        fleet.report()
        admitted, refused = fleet.play(500, lambda name: 0.4 * RATE)
        assert (len(admitted) > 0, refused) == (True, 0)

    def test_restarted_daemon_starts_with_a_nearly_empty_bucket(self):
        # A process doesn't know what its predecessor spent. With a full bucket each
        # restart would give the workspace another burst.
        fleet = Fleet(1)
        rates = fleet.rates["d0"]
        admitted = sum(rates.spend("north").admitted for _ in range(50))
        assert admitted == INITIAL_TOKENS

    def test_resumed_daemon_doesnt_spend_what_the_others_spent(self):
        # A daemon is paused for a long time. Its bucket would fill with the whole rate
        # of that time, which the others have already spent.
        fleet = Fleet(4)
        fleet.play(2000, lambda name: RATE / 4)
        fleet.clock.sleep_ms(10 * SILENT_MS)
        admitted = sum(fleet.rates["d0"].spend("north").admitted for _ in range(100))
        assert admitted <= BURST / 4 + 2

    def test_operation_due_soon_waits_instead_of_being_refused(self):
        # A daemon has just started and its bucket has earned nine tenths of a token. A
        # caller at a fiftieth of its rate was told to retry in a millisecond, and had
        # to start its transaction again.
        fleet = Fleet(2, 500, 500)
        rates = fleet.rates["d0"]
        assert rates.spend("north").admitted
        fleet.clock.sleep_ms(1)
        decision = rates.spend("north", 40)
        assert decision.admitted
        assert 0 < decision.wait_ms <= 2
        # A token that is spent before it is due is owed, so a third caller waits
        # longer.
        assert rates.spend("north", 40).wait_ms > decision.wait_ms

    @pytest.mark.parametrize("rate", [2, 10, 100])
    def test_flood_that_waits_for_tokens_stays_inside_the_rate(self, rate):
        # Callers of a flood may wait for tokens that are due soon. Each of forty
        # daemons would promise the same token before it hears from the others.
        fleet = Fleet(MANY, rate, rate, max_wait_ms=80)
        fleet.play_callers(6000, 0.6 * rate)
        admitted, _ = fleet.play_callers(12_000, 5 * rate, retries=2)
        assert count_most(admitted) <= (rate * 5 + rate) * 1.1 + 20
        assert len(admitted) >= 0.85 * rate * 12
