"""Tests of who has the tokens of a workspace that is beyond its rate."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzerelay.load.levelshares import KEPT_SHARE, LevelShares, divide_fraction
from bronzerelay.pooler.fleetrates import PROPAGATION_MS
from bronzerelay.runtime import Random
from tests.test_fleetrates import MANY, STEP_MS, Fleet, count_most

RATE = 100.0
WINDOW_S = 5
# What the users allow in a window beyond the rate and the burst.
OVERAGE, TOLERANCE = 0.1, 20
DURATION_MS = 8000
# The most callers in a step.
DRAWS = 10
# The least fraction of urgent operations within the rate that callers need admitted.
NEEDED = 0.95


@given(
    st.floats(0, 2),
    st.dictionaries(st.integers(0, 4), st.floats(0.01, 1000), min_size=1),
)
def test_the_sum_over_the_levels_is_as_without_them(fraction, demands):
    """Guards against a limit that isn't kept because levels share it."""
    fractions = divide_fraction(fraction, demands)
    admitted = sum(fractions[level] * demands[level] for level in demands)
    limited = min(1.0, fraction)
    assert admitted == pytest.approx(limited * sum(demands.values()))
    in_order = [fractions[level] for level in sorted(demands)]
    assert in_order == sorted(in_order, reverse=True)
    assert all(KEPT_SHARE * limited <= each <= 1 + 1e-9 for each in in_order)


def test_one_level_gets_the_fraction():
    shares = LevelShares(0.0)
    admitted = 0
    for now_ms in range(1000):
        shares.record(0, now_ms)
        admitted += shares.admit(0, 0.25, True)
    assert admitted == 250


class Play:
    """A fleet whose callers come at random times at random daemons."""

    def __init__(self):
        self._fleet = Fleet(MANY, RATE, RATE)
        self._chance = Random(3)
        self._turn = 0.0

    def run(self, duration_ms, demands):
        """Return admission times by level; `demands` holds operations a second."""
        admitted = {level: [] for level in demands}
        clock = self._fleet.clock
        end_ms = clock.now_ms() + duration_ms
        while clock.now_ms() < end_ms:
            clock.sleep_ms(STEP_MS)
            self._report()
            for level, per_s in demands.items():
                for _ in range(DRAWS):
                    if self._chance.random() < per_s * STEP_MS / 1000 / DRAWS:
                        rates = self._fleet.rates[self._chance.choice(self._names)]
                        if rates.spend("north", 0.0, level).admitted:
                            admitted[level].append(clock.now_ms())
        return admitted

    def list_rates(self):
        return list(self._fleet.rates.values())

    def find_return_ms(self, rates, level):
        """Return when a refused caller may return; ask until one is refused."""
        while True:
            decision = rates.spend("north", 0.0, level)
            if not decision.admitted:
                return decision.wait_ms

    @property
    def _names(self):
        return self._fleet.names

    def _report(self):
        """Let the daemons report in turn, each once in a propagation time."""
        self._turn += MANY * STEP_MS / PROPAGATION_MS
        while self._turn >= 1:
            self._turn -= 1
            self._fleet.report_of(self._names[0])
            self._names.append(self._names.pop(0))


def play(demands):
    """Return admission times by level of a flood that follows calm callers."""
    fleet = Play()
    fleet.run(3000, {0: RATE / 2})
    return fleet.run(DURATION_MS, demands)


def test_urgent_operations_have_the_tokens_and_the_rate_holds():
    """Guards against bookings refused for the queries of their workspace."""
    demands = {0: 40, 1: 100, 2: 360}
    admitted = play(demands)
    parts = {
        level: len(times) / (demands[level] * DURATION_MS / 1000)
        for level, times in admitted.items()
    }
    assert parts[0] >= NEEDED
    assert parts[0] > parts[1] > parts[2] > 0
    times = [time_ms for each in admitted.values() for time_ms in each]
    limit = RATE * WINDOW_S * (1 + OVERAGE) + RATE + TOLERANCE
    assert count_most(times) <= limit


def test_urgent_callers_return_first():
    """Guards against less urgent callers that are back before there are tokens."""
    means_ms = []
    for level in (0, 1, 2):
        # The same flood each time, as asking changes what is due next.
        fleet = Play()
        fleet.run(2000, {0: 40, 1: 100, 2: 360})
        returns_ms = [
            fleet.find_return_ms(rates, level) for rates in fleet.list_rates()
        ]
        means_ms.append(sum(returns_ms) / len(returns_ms))
    assert means_ms == sorted(set(means_ms))


def test_a_flood_of_the_most_urgent_stays_inside_the_rate():
    """Guards against a limit that urgent operations exceed."""
    admitted = play({0: 400, 2: 50})
    times = admitted[0] + admitted[2]
    assert count_most(times) <= RATE * WINDOW_S * (1 + OVERAGE) + RATE + TOLERANCE
    assert admitted[2]


def test_levels_make_no_difference_within_the_rate():
    """Guards against tokens that are held back while nobody needs them."""
    admitted = play({0: 20, 2: 50})
    assert len(admitted[2]) >= NEEDED * 50 * DURATION_MS / 1000
