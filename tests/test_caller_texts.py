"""Tests that what instances run is what callers have sent, whatever its words are."""

import pytest

from standins.lineplatform import STRICT
from tests.builders_passing import PassingFleet
from tests.builders_pooler import PoolerFleet, open_session
from tests.builders_texts import list_differences, play

STEPS = 150


def check_texts(fleet, names, seed):
    sessions = [open_session(fleet, STRICT, name=name) for name in names]
    callers = play(sessions, STEPS, seed)
    assert list_differences(fleet.platform.group, callers) == []
    assert [text for caller in callers for text in caller.refused] == []


@pytest.mark.parametrize("seed", range(1, 5))
def test_sessions_that_share_links_run_what_they_sent(seed):
    """Guards against words of a text that are taken for fields of its line."""
    fleet = PoolerFleet()
    try:
        fleet.start_ready("d1")
        check_texts(fleet, ["d1"] * 4, seed)
    finally:
        fleet.close()


@pytest.mark.parametrize("seed", (11, 12))
def test_statements_that_are_passed_on_run_as_they_were_sent(seed):
    """Guards against words of a text that change its meaning at a link holder."""
    fleet = PassingFleet()
    try:
        fleet.start_sharing("d1", "d2", "d3")
        check_texts(fleet, ["d1", "d2", "d3", "d2"], seed)
    finally:
        fleet.close()
