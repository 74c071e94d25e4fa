"""Tests under load of the share of the reads that a failing instance gets."""

import itertools

from bronzerelay.load.outliers import (
    FULL_STEP,
    MAX_TOKENS,
    TOKENS_PER_SUCCESS,
    AnswerRecord,
    Quality,
    RetryBudget,
    Use,
)
from tests.builders_pooler import make_runtime

NAMES = ("a", "b", "c")
# The interval between two reads, in milliseconds.
READ_MS = 10


class Group:
    """Three instances that get reads in turn, each by the step of its record."""

    def __init__(self, seed=1):
        self.records = {name: AnswerRecord() for name in NAMES}
        self.random = make_runtime().make_random(seed)
        self.now_ms = 0.0
        self.turn = 0
        self.read_ms = READ_MS

    def choose(self):
        order = NAMES[self.turn :] + NAMES[: self.turn]
        self.turn = (self.turn + 1) % len(NAMES)
        uses = {
            name: self.records[name].choose_use(0, len(NAMES), self.now_ms)
            for name in order
        }
        for wanted in (Use.TEST, Use.NORMAL):
            chosen = [name for name in order if uses[name] is wanted]
            if chosen:
                return chosen[0]
        return order[0]

    def run(self, reads, bad_shares, quality=Quality.FAILED):
        """Return how many reads each instance got; the others answer well."""
        counts = dict.fromkeys(NAMES, 0)
        for _ in range(reads):
            name = self.choose()
            counts[name] += 1
            is_bad = self.random.random() < bad_shares.get(name, 0)
            self.answer(name, quality if is_bad else Quality.GOOD)
            self.now_ms += self.read_ms
        return counts

    def answer(self, name, quality):
        peers = [self.records[other] for other in NAMES if other != name]
        return self.records[name].record(quality, peers, self.now_ms)


class TestShares:
    def test_instance_that_fails_everything_is_only_tested(self):
        """Guards against an instance that fails fast and attracts reads."""
        group = Group()
        assert group.run(40, {"a": 1})["a"] <= 8
        assert group.run(400, {"a": 1})["a"] <= 400 / 50

    def test_instance_that_fails_is_seldom_tested_by_a_daemon_with_few_reads(self):
        """Guards against many daemons that each test it as often as a busy one."""
        group = Group()
        group.read_ms = 200
        group.run(60, {"a": 1})
        assert group.run(600, {"a": 1})["a"] <= 600 / 3 / 6

    def test_instance_that_fails_half_is_limited(self):
        """Guards against readmitting an instance for a single good answer."""
        for seed in range(5):
            group = Group(seed)
            group.run(200, {"a": 0.5})
            assert group.run(800, {"a": 0.5})["a"] <= 800 / 10

    def test_instance_that_is_well_again_comes_back_by_steps(self):
        group = Group()
        group.run(200, {"a": 1})
        shares = [group.run(25, {})["a"] for _ in range(8)]
        assert shares[0] <= 4
        assert group.records["a"].step == FULL_STEP
        assert group.run(90, {})["a"] == 30

    def test_nobody_is_put_aside_while_all_fail_alike(self):
        """Guards against all load on one of several equally bad instances."""
        group = Group()
        group.run(600, dict.fromkeys(NAMES, 1))
        assert not any(one.is_limited for one in group.records.values())
        group = Group()
        counts = group.run(600, dict.fromkeys(NAMES, 0.5))
        assert min(counts.values()) > 150

    def test_limited_instance_is_used_again_when_the_others_fail_too(self):
        group = Group()
        group.run(200, {"a": 1})
        group.run(400, dict.fromkeys(NAMES, 1))
        assert group.run(90, dict.fromkeys(NAMES, 1))["a"] >= 25

    def test_one_error_puts_nobody_aside(self):
        group = Group()
        group.run(30, {})
        assert not group.answer("a", Quality.FAILED)
        fresh = Group()
        assert not fresh.answer("a", Quality.FAILED)
        assert not any(one.is_limited for one in group.records.values())

    def test_instance_that_refuses_is_cut_by_steps(self):
        """Guards against moving the whole load of a full instance to the others."""
        group = Group()
        group.run(60, {})
        steps = []
        for _ in range(10):
            group.run(12, {"a": 1}, Quality.WEAK)
            steps.append(group.records["a"].step)
        assert all(before - after <= 1 for before, after in itertools.pairwise(steps))
        assert steps[-1] == 0

    def test_old_failures_are_forgotten(self):
        group = Group()
        group.run(60, {"b": 0.3})
        group.now_ms += 60_000
        assert group.records["b"].measure(group.now_ms).answers < 0.1


class TestBudget:
    def test_repetitions_never_multiply_a_load_that_fails(self):
        budget = RetryBudget()
        assert sum(budget.take() for _ in range(1000)) == MAX_TOKENS

    def test_repetitions_are_a_share_of_the_successes(self):
        budget = RetryBudget()
        for _ in range(100):
            budget.take()
        repeated = 0
        for _ in range(1000):
            budget.earn()
            repeated += budget.take()
        assert abs(repeated - 1000 * TOKENS_PER_SUCCESS) <= 1
