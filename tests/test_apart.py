"""Tests of how a bucket is divided when daemons fall silent."""

from bronzerelay.load.apart import Apart, History, Limit, Loss, find_joint_debt

HALF = Limit(100.0, 100.0, 0.5)


def make_history(*spent):
    """Return a history of a full bucket that was spent from at these times."""
    history = History()
    for at_ms, count in spent:
        history.record(at_ms, 100.0, 1.0, count)
    return history


class TestDividing:
    def test_an_unused_bucket_keeps_its_fraction(self):
        division = make_history().divide(100.0, HALF, 1.0, 0.0, 1000.0)
        assert division == (50.0, 100.0)

    def test_less_than_the_fraction_leaves_what_was_saved(self):
        # Guards against debts of workspaces that ask for less than is due.
        history = make_history(*((at_ms, 4.0) for at_ms in range(0, 1000, 100)))
        assert history.divide(96.0, HALF, 1.0, 0.0, 1000.0).tokens >= 45

    def test_what_was_spent_beyond_the_fraction_is_owed(self):
        # 100 tokens and what is earned in a second were due to both sides together.
        history = make_history((0.0, 120.0), (500.0, 60.0))
        assert history.divide(20.0, HALF, 1.0, 0.0, 1000.0).tokens == -80

    def test_both_sides_together_have_what_one_bucket_has(self):
        spent = (0.0, 70.0), (30.0, 20.0)
        limits = [HALF._replace(fraction=0.2), HALF._replace(fraction=0.8)]
        tokens = [
            make_history((0.0, count)).divide(99.0, limit, 1.0, 0.0, 100.0).tokens
            for (_, count), limit in zip(spent, limits, strict=True)
        ]
        assert round(sum(tokens), 6) == 100 - 90 + 10

    def test_what_silent_daemons_reported_is_theirs_to_pay(self):
        history = make_history((0.0, 30.0))
        losses = [Loss(10.0, 30.0, 30.0)]
        assert history.divide(80.0, HALF, 1.0, 0.0, 100.0, losses).tokens == 40

    def test_a_second_division_starts_from_the_first(self):
        # Guards against dividing the whole bucket again for the second side lost.
        history = make_history((0.0, 10.0), (200.0, 10.0))
        first = history.divide(90.0, HALF, 1.0, 0.0, 1000.0).tokens
        quarter = HALF._replace(fraction=0.25)
        second = history.divide(first, quarter, 0.5, 150.0, 1000.0).tokens
        assert second <= first / 2

    def test_a_small_burst_still_saves_one_operation(self):
        # Guards against a side that refuses all, as its part of the burst is below one.
        limit = Limit(6.0, 6.0, 0.1)
        assert limit.earn(0.0, 60_000.0) == 1.0


class TestJoining:
    def test_what_a_daemon_owes_stands_for_those_that_return_with_it(self):
        """Guards against spending at once what others on this side have overspent."""
        alone = Limit(100.0, 100.0, 0.1)
        assert find_joint_debt(-5.0, alone, 0.4) == -25
        assert find_joint_debt(-500.0, alone, 0.4) == -580

    def test_without_a_debt_nothing_is_taken(self):
        assert find_joint_debt(5.0, HALF, 0.5) == 5


def test_a_share_elsewhere_grows_with_the_rate():
    apart = Apart(0.0, 0.75, 100.0)
    assert apart.find_share_elsewhere(100.0, 3000.0) == 100
