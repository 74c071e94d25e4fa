"""Tests of daemons that serve no groups for a while, as their peers missed them."""

import pytest

from bronzerelay.membership import PAUSE_MS
from bronzerelay.standdown import ASK_MS, STAND_DOWN_MS
from tests.builders_membership import NAMES, SUSPECT_MS, Trio
from tests.endpoints import put
from tests.nodes import open_deployment

BEAT_MS = SUSPECT_MS / 2
OTHERS = ["vm-2", "vm-3"]


@pytest.fixture
def trio():
    trio = Trio()
    trio.exchange_heartbeats()
    return trio


def run_without(trio, duration_ms, absent="vm-1"):
    """Let time pass in which all but `absent` exchange heartbeats and requests."""
    present = [name for name in NAMES if name != absent]
    for _ in range(int(duration_ms / BEAT_MS)):
        trio.wait(BEAT_MS)
        for name in present:
            for other in present:
                if name != other:
                    trio.send_heartbeat(name, other)
            trio.members[name].serving_names()


def pause(trio, duration_ms):
    """Pause vm-1, which then notes its pause; return vm-1."""
    member = trio.members["vm-1"]
    began_ms = trio.runtime.clock.now_ms()
    run_without(trio, duration_ms)
    member.note_pause(began_ms, trio.runtime.clock.now_ms())
    return member


@pytest.mark.parametrize("duration_ms", [3 * SUSPECT_MS, 2 * STAND_DOWN_MS])
def test_a_daemon_that_was_missed_leaves_its_groups_to_the_others(trio, duration_ms):
    """Guards against two daemons that grant the same slots after a pause of one."""
    member = pause(trio, duration_ms)
    assert member.is_asking()
    for other in OTHERS:
        trio.send_heartbeat(other, "vm-1")
        assert trio.members[other].alive_names() == list(NAMES)
        assert trio.members[other].serving_names() == OTHERS
        trio.send_heartbeat("vm-1", other)
    assert not member.is_asking()
    assert member.is_standing_down()
    assert member.alive_names() == list(NAMES)
    trio.exchange_heartbeats()
    assert [trio.members[name].serving_names() for name in NAMES] == 3 * [OTHERS]


def test_a_daemon_serves_again_after_it_stood_down(trio):
    """Guards against a daemon that never serves again, or only as some see it."""
    member = pause(trio, 3 * SUSPECT_MS)
    for _ in range(int(STAND_DOWN_MS / BEAT_MS) + 3):
        trio.wait(BEAT_MS)
        trio.exchange_heartbeats()
    assert not member.is_standing_down()
    views = [trio.members[name].serving_names() for name in NAMES]
    assert views == 3 * [list(NAMES)]


def test_a_daemon_that_nobody_missed_goes_on_serving(trio):
    """Guards against groups that move because of a pause that nobody noticed."""
    member = pause(trio, SUSPECT_MS / 2)
    assert member.is_asking()
    for other in OTHERS:
        trio.send_heartbeat(other, "vm-1")
        assert trio.members[other].serving_names() == list(NAMES)
        trio.send_heartbeat("vm-1", other)
    assert not member.is_asking()
    assert member.serving_names() == list(NAMES)


def test_a_single_peer_moves_no_groups(trio):
    """Guards against a peer that is paused itself and takes all others for dead."""
    run_without(trio, 2 * SUSPECT_MS, "vm-3")
    assert trio.members["vm-3"].serving_names() == ["vm-3"]
    for _ in range(2):
        trio.exchange_heartbeats()
    assert not trio.members["vm-1"].is_standing_down()
    for name in NAMES:
        assert trio.members[name].serving_names() == ["vm-1", "vm-2"]


def test_a_single_peer_moves_no_groups_while_another_is_dead(trio):
    """Guards against groups that go from one paused daemon to the next."""
    for _ in range(3):
        trio.wait(BEAT_MS)
        trio.send_heartbeat("vm-1", "vm-2")
        assert trio.members["vm-1"].alive_names()[0] == "vm-1"
    assert trio.members["vm-2"].alive_names() == ["vm-2"]
    trio.send_heartbeat("vm-1", "vm-2")
    assert trio.members["vm-1"].alive_names() == ["vm-1", "vm-2"]
    assert not trio.members["vm-1"].is_standing_down()


def test_daemons_that_all_missed_each_other_serve_all(trio):
    """Guards against groups that nobody serves after a pause of the whole fleet."""
    trio.wait(SUSPECT_MS + 1)
    for name in NAMES:
        assert trio.members[name].serving_names() == [name]
    for _ in range(2):
        trio.exchange_heartbeats()
    for name in NAMES:
        assert trio.members[name].is_standing_down()
        assert trio.members[name].serving_names() == list(NAMES)


def test_requests_that_waited_out_a_pause_are_held_until_the_peers_answer(trio):
    """Guards against requests that are handled before the pause was noticed."""
    member = trio.members["vm-1"]
    member.note_running(trio.runtime.clock.now_ms())
    run_without(trio, 3 * SUSPECT_MS)
    assert member.is_asking()
    assert member.serving_names() == OTHERS
    began_ms = trio.runtime.clock.now_ms()
    member.wait_for_answers(2 * ASK_MS)
    assert trio.runtime.clock.now_ms() - began_ms == ASK_MS
    assert not member.is_asking()


def test_a_short_delay_of_the_check_is_no_pause(trio):
    """Guards against requests that wait because a task was late."""
    member = trio.members["vm-1"]
    member.note_running(trio.runtime.clock.now_ms())
    trio.wait(PAUSE_MS)
    assert not member.is_asking()


def test_a_request_after_a_pause_goes_to_who_serves_its_group_now(monkeypatch):
    """Guards against requests that a paused daemon serves beside its successor."""
    with open_deployment() as deployment:
        deployment.warm_up()
        first, other = deployment.ranked
        served = []
        run_here = other.kernel.run_here
        monkeypatch.setattr(
            other.kernel,
            "run_here",
            lambda *args: served.append(args) or run_here(*args),
        )

        def wait_for_answers(timeout_ms):
            monkeypatch.setattr(
                first.membership, "serving_names", lambda names=[other.name]: names
            )

        monkeypatch.setattr(first.membership, "wait_for_answers", wait_for_answers)
        assert first.send(statement=put("row", 1)).is_ok()
        assert len(served) == 1
