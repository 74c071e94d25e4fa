"""Tests under load of where reads go when instances lie in several failure domains."""

import itertools
import math

from bronzerelay.load.nearness import (
    PRESSURE_FADE_MS,
    PRESSURE_FADES,
    SPILL_SMOOTHING_MS,
    AnswerTimes,
    Option,
    Spread,
    fade_pressure,
)
from tests.builders_pooler import make_runtime

OBJECTIVE_MS = 150.0
# One way inside a failure domain and between two, and the work of a read.
NEAR_MS, FAR_MS, WORK_MS = 1.0, 5.0, 10.0
SLOTS = 2
# How many reads a second an instance can run.
ROOM = SLOTS * 1000 / WORK_MS
DAEMONS = 10
STEP_MS = 5.0


class FakeInstance:
    """Runs reads in order; `backlog_ms` is the work that waits for its slots."""

    def __init__(self, name, domain, is_primary=False):
        self.name, self.domain, self.is_primary = name, domain, is_primary
        self.backlog_ms = 0.0
        self.reads = dict.fromkeys("abc", 0)

    def run(self, domain):
        """Return how long the answer to a read from a failure domain takes."""
        way_ms = 2 * (NEAR_MS if domain == self.domain else FAR_MS)
        took_ms = way_ms + WORK_MS + self.backlog_ms / SLOTS
        self.backlog_ms += WORK_MS
        self.reads[domain] += 1
        return took_ms


class FakeDaemon:
    """Sends reads by its own observations; answers arrive after their time."""

    def __init__(self, domain, instances, draw):
        self.domain, self.instances = domain, instances
        self.spread = Spread(draw)
        self.times = {one.name: AnswerTimes() for one in instances}
        self.answers = []

    def read(self, now_ms):
        self.collect(now_ms)
        options = [
            Option(
                one.name,
                one.domain == self.domain,
                one.is_primary,
                self.times[one.name].estimate(0.0, now_ms),
                self.times[one.name].calm_ms,
                2.0 if one.is_primary else 1.0,
                sum(name == one.name for _, name, _ in self.answers),
                SLOTS,
            )
            for one in self.instances
        ]
        name = self.spread.order(options, OBJECTIVE_MS, now_ms)[0]
        chosen = next(one for one in self.instances if one.name == name)
        took_ms = chosen.run(self.domain)
        self.answers.append((now_ms + took_ms, name, took_ms))
        return took_ms

    def collect(self, now_ms):
        due = [answer for answer in self.answers if answer[0] <= now_ms]
        self.answers = [answer for answer in self.answers if answer[0] > now_ms]
        for at_ms, name, took_ms in due:
            self.times[name].record(took_ms, at_ms)


class Fleet:
    """Daemons in the failure domains a, b and c, and the instances of one service."""

    def __init__(self, *instances):
        self.instances = instances
        self.random = make_runtime().make_random(1)
        self.daemons = {
            domain: [
                FakeDaemon(domain, instances, self.random.random)
                for _ in range(DAEMONS)
            ]
            for domain in "abc"
        }
        self.now_ms = 0.0

    def run(self, duration_ms, rates):
        """Play reads a second by domain, some of them functions of the time.

        Return, for each domain, the times that its reads took.
        """
        took = {domain: [] for domain in "abc"}
        due = dict.fromkeys("abc", 0.0)
        for one in self.instances:
            one.reads = dict.fromkeys("abc", 0)
        for _ in range(int(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            for one in self.instances:
                one.backlog_ms = max(0.0, one.backlog_ms - SLOTS * STEP_MS)
            for domain, rate in rates.items():
                now_rate = rate(self.now_ms) if callable(rate) else rate
                due[domain] += now_rate * STEP_MS / 1000
                while due[domain] >= 1:
                    due[domain] -= 1
                    daemon = self.random.choice(self.daemons[domain])
                    took[domain].append(daemon.read(self.now_ms))
        return took

    def find_near_share(self, domain):
        """Return which part of a domain's reads stayed in it, in the last run."""
        near = sum(one.reads[domain] for one in self.instances if one.domain == domain)
        return near / sum(one.reads[domain] for one in self.instances)

    def list_near_shares(self, rounds, rates, domain="a", window_ms=500):
        shares = []
        for _ in range(rounds):
            self.run(window_ms, rates)
            shares.append(self.find_near_share(domain))
        return shares


def count_turns(shares, least):
    """Return how often the shares change their direction by at least so much."""
    steps = [after - before for before, after in itertools.pairwise(shares)]
    moves = [step for step in steps if abs(step) >= least]
    return sum(one * other < 0 for one, other in itertools.pairwise(moves))


def make_fleet():
    return Fleet(FakeInstance("i-a", "a"), FakeInstance("i-b", "b"))


class TestNear:
    def test_near_instance_takes_all_at_light_load(self):
        """Guards against bytes between failure domains that nobody needs."""
        fleet = make_fleet()
        fleet.run(1000, {"a": 0.5 * ROOM, "b": 0.3 * ROOM})
        assert fleet.find_near_share("a") >= 0.98
        assert fleet.find_near_share("b") >= 0.98

    def test_full_near_instance_spills_gradually(self):
        """Guards against moving the whole load of a domain at once."""
        fleet = make_fleet()
        rates = {"a": 1.4 * ROOM, "b": 0.2 * ROOM}
        shares = fleet.list_near_shares(16, rates)
        assert max(abs(b - a) for a, b in itertools.pairwise(shares)) <= 0.15
        assert min(shares) >= 0.6
        took = fleet.run(2000, rates)["a"]
        assert fleet.find_near_share("a") <= 0.8
        assert sum(one <= OBJECTIVE_MS for one in took) >= 0.95 * len(took)

    def test_reads_return_without_flapping(self):
        fleet = make_fleet()
        fleet.run(4000, {"a": 1.4 * ROOM, "b": 0.2 * ROOM})
        shares = fleet.list_near_shares(12, {"a": 0.5 * ROOM, "b": 0.2 * ROOM})
        assert min(shares[6:]) >= 0.95
        assert count_turns(shares, 0.1) == 0

    def test_demand_that_swings_out_of_step_is_served_in_time(self):
        """Guards against a wait in one domain while another one has room."""
        fleet = make_fleet()

        def swing(sign):
            def find_rate(now_ms):
                return ROOM * (0.8 + sign * 0.5 * math.sin(2 * math.pi * now_ms / 8000))

            return find_rate

        rates = {"a": swing(1), "b": swing(-1)}
        fleet.run(8000, rates)
        took = fleet.run(16000, rates)
        for domain in "ab":
            in_time = sum(one <= OBJECTIVE_MS for one in took[domain])
            assert in_time >= 0.97 * len(took[domain])
            assert fleet.find_near_share(domain) >= 0.75

    def test_domain_without_an_instance_spreads_evenly(self):
        """Guards against all daemons of a domain at one instance."""
        fleet = make_fleet()
        fleet.run(3000, {"a": 0.1 * ROOM, "b": 0.1 * ROOM, "c": 0.6 * ROOM})
        counts = [one.reads["c"] for one in fleet.instances]
        assert min(counts) >= 0.9 * max(counts)

    def test_domain_without_an_instance_goes_where_there_is_room(self):
        fleet = make_fleet()
        rates = {"a": 0.9 * ROOM, "b": 0.1 * ROOM, "c": 0.5 * ROOM}
        fleet.run(3000, rates)
        took = fleet.run(3000, rates)["c"]
        busy, idle = fleet.instances
        assert idle.reads["c"] > busy.reads["c"]
        assert sum(one <= OBJECTIVE_MS for one in took) >= 0.95 * len(took)


class TestPrimary:
    def order(self, near_primary_ms, far_ms):
        """Return the order of a near primary and a far replica by answer times."""
        spread = Spread(lambda: 0.0)
        options = [
            Option("i-a", True, True, near_primary_ms, near_primary_ms, 2.0, 0, SLOTS),
            Option("i-b", False, False, far_ms, far_ms, 1.0, 0, SLOTS),
        ]
        return [spread.order(options, OBJECTIVE_MS, 0.0)[0] for _ in range(20)]

    def test_near_primary_serves_reads_only_if_the_way_is_long(self):
        """Guards against reads that take the slots which writes need."""
        assert set(self.order(12.0, 20.0)) == {"i-b"}
        assert set(self.order(12.0, 30.0)) == {"i-a"}

    def test_far_primary_gets_reads_only_if_the_others_are_slow(self):
        """Guards against reads that take the slots which writes need."""
        primary = FakeInstance("i-a", "a", is_primary=True)
        fleet = Fleet(primary, FakeInstance("i-b", "b"))
        fleet.run(3000, {"c": 0.5 * ROOM})
        assert primary.reads["c"] <= 0.1 * fleet.instances[1].reads["c"]


class TestPressure:
    def test_old_pressure_has_no_influence(self):
        """Guards against avoiding an instance for what it was told of long ago."""
        values = [fade_pressure(100.0, age_ms) for age_ms in range(0, 5000, 100)]
        assert values[0] == 100
        assert values == sorted(values, reverse=True)
        assert fade_pressure(100.0, PRESSURE_FADE_MS) < 50
        assert fade_pressure(100.0, PRESSURE_FADES * PRESSURE_FADE_MS) == 0

    def test_reads_leave_by_degrees_as_pressure_grows(self):
        parts = [self.find_spill(pressure_ms) for pressure_ms in range(0, 240, 10)]
        assert parts[0] == 0
        assert parts[-1] > 0.8
        assert max(b - a for a, b in itertools.pairwise(parts)) < 0.2
        assert parts == sorted(parts)

    def find_spill(self, pressure_ms):
        """Return which part of the reads leaves once it has followed a pressure."""
        spread, near, far = Spread(lambda: 0.0), AnswerTimes(), AnswerTimes()
        near.record(12.0, 0.0)
        far.record(20.0, 0.0)
        for now_ms in (0.0, 10 * SPILL_SMOOTHING_MS):
            options = [
                Option(
                    "i-a", True, False, near.estimate(pressure_ms, 0), 12, 1.0, 0, 2
                ),
                Option("i-b", False, False, far.estimate(0, 0), 20, 1.0, 0, 2),
            ]
            spread.order(options, OBJECTIVE_MS, now_ms)
        return spread.spill

    def test_refusals_count_as_long_answers(self):
        """Guards against staying at an instance that refuses quickly."""
        times = AnswerTimes()
        times.record(10.0, 0.0)
        for now_ms in range(0, 200, 10):
            times.record_refusal(float(now_ms))
        assert times.estimate(0.0, 200.0) > 100

    def test_answer_time_that_nothing_confirms_fades(self):
        """Guards against a domain that never returns to an instance it has left."""
        times = AnswerTimes()
        times.record(10.0, 0.0)
        for now_ms in range(0, 1000, 10):
            times.record(100.0, float(now_ms))
        assert times.estimate(0.0, 1000.0) > 80
        assert times.estimate(0.0, 6000.0) < 11
