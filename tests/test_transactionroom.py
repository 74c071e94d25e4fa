"""Tests of the room for open transactions at an instance."""

from bronzerelay.load.transactionroom import (
    FREE_FACTOR,
    RUNNING_RETRY_MS,
    TRANSACTION_FRACTION,
    OpenTransaction,
    decide_opening,
    find_room,
)

MAX_LINKS = 56
# How many connections single statements need at the least.
NEEDED_FOR_SINGLE = 28
IDLE_LIMIT_MS = 3000
NOW_MS = 10_000
ROOM = int(MAX_LINKS * TRANSACTION_FRACTION)


def make_open(workspace, count, rested_ms=None, level=0):
    since_ms = None if rested_ms is None else NOW_MS - rested_ms
    return [
        OpenTransaction(f"{workspace}-{number}", workspace, level, since_ms)
        for number in range(count)
    ]


def decide(held, workspace, level=0):
    return decide_opening(MAX_LINKS, held, workspace, level, IDLE_LIMIT_MS, NOW_MS)


def open_until_refused(workspaces, rested_ms=None, level=0):
    """Return what is held once every workspace has been refused."""
    held = []
    refused = set()
    while refused != set(workspaces):
        for workspace in workspaces:
            if decide(held, workspace, level).may_open:
                number = f"{len(held)}"
                held += [
                    each._replace(id=number)
                    for each in make_open(workspace, 1, rested_ms, level)
                ]
            else:
                refused.add(workspace)
    return held


def count_held(held, workspace):
    return sum(each.workspace == workspace for each in held)


def test_open_transactions_leave_connections_for_single_statements():
    """Guards against an instance whose connections are all held by transactions."""
    held = open_until_refused([f"w{number}" for number in range(80)])
    assert MAX_LINKS - len(held) >= NEEDED_FOR_SINGLE
    assert find_room(1, 2) == 1


def test_a_workspace_that_opens_many_leaves_room_for_others():
    """Guards against one workspace whose transactions keep the others' from opening."""
    held = open_until_refused(["rude"], rested_ms=100)
    assert len(held) >= ROOM / 2
    for number in range(3):
        assert decide(held, f"w{number}").may_open
        held += make_open(f"w{number}", 1)
    assert not decide(held, "rude").may_open


def test_equal_workspaces_hold_equal_parts():
    held = open_until_refused(["a", "b", "c"])
    counts = [count_held(held, name) for name in "abc"]
    assert max(counts) - min(counts) <= 1
    assert len(held) >= ROOM * 3 * FREE_FACTOR / (3 * FREE_FACTOR + 1) - 1


def test_less_urgent_transactions_leave_room_for_urgent_ones():
    """Guards against urgent transactions that find the room full of others."""
    names = [f"w{number}" for number in range(80)]
    held = open_until_refused(names, level=2)
    assert decide(held, "late", level=0).may_open
    assert not decide(held, "late", level=1).may_open


def test_the_longest_resting_beyond_the_limit_is_ended_first():
    """Guards against callers that rest while others have no room."""
    held = [
        *make_open("a", ROOM - 3),
        *make_open("short", 1, rested_ms=IDLE_LIMIT_MS - 1),
        *make_open("long", 1, rested_ms=IDLE_LIMIT_MS + 500),
        *make_open("longer", 1, rested_ms=IDLE_LIMIT_MS + 900),
    ]
    opening = decide(held, "new")
    assert opening.may_open
    assert opening.ended.workspace == "longer"


def test_none_is_ended_while_there_is_room_or_if_it_makes_none():
    idle = make_open("idle", 2, rested_ms=IDLE_LIMIT_MS + 1)
    assert decide(idle, "new") == (True, None, 0)
    held = idle + make_open("a", ROOM - 2)
    opening = decide(held, "a")
    assert not opening.may_open
    assert opening.ended is None


def test_return_time_is_when_the_first_may_be_ended():
    resting = make_open("a", ROOM, rested_ms=IDLE_LIMIT_MS - 700)
    assert decide(resting, "new").retry_after_ms == 700
    running = make_open("b", 1)
    assert decide(resting[1:] + running, "new").retry_after_ms == RUNNING_RETRY_MS
    resting[0] = resting[0]._replace(resting_since_ms=NOW_MS - IDLE_LIMIT_MS + 30)
    assert decide(resting, "new").retry_after_ms == 30
