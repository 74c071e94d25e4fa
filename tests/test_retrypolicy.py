"""Pauses before a statement is sent again."""

import pytest

from bronzerelay.pooler.messages import Fault
from bronzerelay.pooler.retrypolicy import (
    BUSY_PAUSE_MS,
    MAX_BUSY_PAUSE_MS,
    find_busy_pause_ms,
    find_pause_ms,
)


def list_busy_pauses(left_ms):
    """Return the pauses of a statement that a primary never has a slot for."""
    pauses = []
    while (pause_ms := find_busy_pause_ms(len(pauses) + 1, left_ms)) is not None:
        pauses.append(pause_ms)
        left_ms -= pause_ms
    return pauses


class TestBusyPause:
    def test_pauses_double_up_to_a_limit(self):
        assert list_busy_pauses(250) == [12, 24, 48, MAX_BUSY_PAUSE_MS, 50, 50]

    def test_nothing_is_sent_when_the_answer_would_come_too_late(self):
        assert list_busy_pauses(BUSY_PAUSE_MS) == []

    def test_statement_asks_until_its_deadline(self):
        assert 800 - sum(list_busy_pauses(800)) <= MAX_BUSY_PAUSE_MS


@pytest.mark.parametrize(
    ("fault", "pauses"),
    [(Fault.BUSY, True), (Fault.TOO_MANY_LINKS, True), (Fault.LAGGING, False)],
)
def test_only_what_takes_time_to_change_is_paused_for(fault, pauses):
    assert (find_pause_ms(fault) > 0) is pauses
