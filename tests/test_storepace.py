"""When daemons call the store, and who hands its items on to whom."""

import pytest

from bronzerelay.load.storepace import (
    DOMAIN_BYTES,
    FANOUT,
    FIRST_LOADERS,
    MAX_RELOAD_DELAY_MS,
    MAX_RETRY_MS,
    MEMBER_PATIENCE_MS,
    ROOTS,
    find_direct_bytes,
    find_load_delay_ms,
    find_parent_place,
    find_reload_delay_ms,
    find_retry_pause_ms,
)

SIZES = (1, 12, 100, 148, 1_000)


def count_levels(place):
    levels = 0
    while (parent := find_parent_place(place)) is not None:
        place, levels = parent, levels + 1
    return levels


def test_few_daemons_of_a_failure_domain_load_the_store_at_their_start():
    """Guards against a store's link that is full of one answer for each daemon."""
    for size in SIZES:
        delays = [find_load_delay_ms(place, is_mesh=False) for place in range(size)]
        assert sum(delay == 0 for delay in delays) == min(size, FIRST_LOADERS)
        assert all(delay == 0 or delay >= MEMBER_PATIENCE_MS for delay in delays)
        assert delays == sorted(delays)


def test_a_daemon_of_a_small_fleet_loads_the_store_at_once():
    """Guards against a small fleet that starts later than it could."""
    assert {find_load_delay_ms(place, is_mesh=True) for place in range(12)} == {0.0}


def test_each_daemon_hands_on_few_copies_over_few_levels():
    """Guards against a relay whose link is full of copies for its failure domain."""
    for size in SIZES:
        parents = [find_parent_place(place) for place in range(size)]
        assert parents.count(None) == min(size, ROOTS)
        copies = [parents.count(place) for place in range(size)]
        assert max(copies) <= FANOUT
        assert all(
            parent < place for place, parent in enumerate(parents) if parent is not None
        )
    assert count_levels(147) <= 5
    assert count_levels(999) <= 7


def test_the_daemons_that_load_ask_a_relay_directly():
    assert {find_parent_place(place) for place in range(ROOTS, FIRST_LOADERS)} == {0, 1}


def test_a_relay_sends_a_bounded_sum_itself():
    for size in SIZES:
        assert find_direct_bytes(size) * size <= DOMAIN_BYTES


@pytest.mark.parametrize("waited_ms", [0.0, 1_500.0])
def test_a_failing_store_sees_fewer_calls_of_a_large_fleet(waited_ms):
    """Guards against retries that keep a busy store busy."""

    def count_calls(places, failures):
        pauses = [
            find_retry_pause_ms(failures, place, waited_ms, 0.5) + waited_ms
            for place in places
        ]
        return sum(1_000 / pause for pause in pauses)

    for failures in (1, 2, 4, 9):
        if_all_were_first = count_calls([0] * 100, failures)
        assert count_calls(range(100), failures) < 0.6 * if_all_were_first


def test_the_first_daemon_retries_as_soon_from_a_slow_store():
    """Guards against a small fleet that notices late that the store is back."""
    assert find_retry_pause_ms(1, 0, 1_500.0, 0.5) == pytest.approx(100)
    assert find_retry_pause_ms(9, 0, 1_500.0, 0.5) == pytest.approx(700)


def test_pauses_are_spread_and_bounded():
    pauses = [find_retry_pause_ms(4, 500, 9_000.0, part) for part in (0.0, 0.5, 1.0)]
    assert pauses == pytest.approx(
        [0.7 * MAX_RETRY_MS, MAX_RETRY_MS, 1.3 * MAX_RETRY_MS]
    )


def test_a_reload_for_missed_updates_is_put_off_by_a_bounded_time():
    """Guards against a load of each daemon for one update that a relay brings late."""
    assert find_reload_delay_ms(0) == 0
    delays = [find_reload_delay_ms(place) for place in range(1_000)]
    assert delays == sorted(delays)
    assert delays[-1] == MAX_RELOAD_DELAY_MS
