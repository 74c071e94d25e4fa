"""Tests of the queue for slots where requests differ in urgency."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.load.urgency import (
    LEAD_LIMIT,
    LESS_URGENT_SHARE,
    Pace,
    Precedence,
    count_turns,
    find_displaced,
)
from bronzerelay.slotwaiters import Waiter
from tests.builders_urgency import (
    LONG,
    URGENT,
    USUAL,
    Kind,
    Play,
    Request,
    make_mix,
    make_queue,
    make_steady,
    select,
)

# The least fraction of urgent requests that callers need within their objective.
NEEDED_IN_TIME = 0.95
BURST_MS = (1000, 3000)
ALL_MS = (0, 4000)
WORKSPACES = 20
# The fraction of all requests that each workspace sends: a few are large.
EVEN = [1 / WORKSPACES] * WORKSPACES
UNEVEN = [0.2, 0.15, 0.1, 0.1] + [0.45 / 16] * 16
ONE_LARGE = [0.41, 0.2] + [0.39 / 38] * 38


def count_turns_taken(waiting, count):
    """Return how many grants each level and each workspace gets while all wait."""
    precedence = Precedence()
    levels, workspaces = {}, {}
    for _ in range(count):
        turn = precedence.find_turn(waiting)
        names = [name for name in waiting[turn.level] if name not in turn.barred]
        workspace = min(names, key=lambda name: workspaces.get(name, 0))
        precedence.record_grant(waiting, turn, workspace)
        levels[turn.level] = levels.get(turn.level, 0) + 1
        workspaces[workspace] = workspaces.get(workspace, 0) + 1
    return levels, workspaces


class TestPrecedence:
    def test_the_most_urgent_level_goes_first(self):
        levels, _ = count_turns_taken({0: ["a", "b"], 2: ["a", "b"]}, 1000)
        assert levels[0] == 1000 * (1 - LESS_URGENT_SHARE)

    def test_no_level_starves(self):
        """Guards against less urgent callers that get nothing for seconds."""
        names = ["a", "b", "c"]
        levels, _ = count_turns_taken({0: names, 1: names, 2: names}, 1000)
        assert levels[1] + levels[2] >= 1000 * LESS_URGENT_SHARE - 2
        assert min(levels[1], levels[2]) >= 1000 * LESS_URGENT_SHARE / 2 - 2

    def test_a_workspace_ahead_of_the_others_has_no_precedence(self):
        """Guards against a flood of urgent requests that takes the others' turns."""
        _, workspaces = count_turns_taken({0: ["flood"], 1: ["b", "c"]}, 900)
        assert workspaces["flood"] <= 300 + LEAD_LIMIT
        assert min(workspaces["b"], workspaces["c"]) >= 300 - LEAD_LIMIT

    def test_a_lead_outlasts_an_empty_queue(self):
        precedence = Precedence()
        precedence.enter("a")
        precedence.enter("b")
        waiting = {0: ["a"], 1: ["b"]}
        for _ in range(LEAD_LIMIT + 1):
            turn = precedence.find_turn(waiting)
            assert turn.level == 0
            precedence.record_grant(waiting, turn, "a")
            precedence.leave("a")
            precedence.enter("a")
        assert precedence.find_turn(waiting).level == 1

    def test_what_was_left_unused_is_not_made_up_for(self):
        precedence = Precedence()
        precedence.enter("a")
        for _ in range(100):
            precedence.record_grant({0: ["a"]}, precedence.find_turn({0: ["a"]}), "a")
        precedence.enter("late")
        waiting = {0: ["late"], 1: ["a"]}
        got = 0
        while precedence.find_turn(waiting).level == 0:
            precedence.record_grant(waiting, precedence.find_turn(waiting), "late")
            got += 1
        assert got <= 2 * LEAD_LIMIT


class TestDisplaced:
    @pytest.mark.parametrize(
        ("level", "expected"), [(0, (2, "b")), (1, (2, "b")), (2, None), (3, None)]
    )
    def test_least_urgent_of_the_workspace_with_most(self, level, expected):
        waiting = {0: {"a": 9}, 2: {"a": 1, "b": 3}}
        assert find_displaced(waiting, level) == expected

    def test_nobody_waits(self):
        assert find_displaced({}, 0) is None


def test_turns_ahead_are_bounded_by_the_lead_of_others():
    assert count_turns(0, []) == 1
    assert count_turns(2, [(0, 1), (0, 100)]) == 3 + 1 + 3
    assert count_turns(0, [(100, 100)]) == 1 + 1 + LEAD_LIMIT


def test_pace_is_forgotten_and_limits_a_pause():
    pace = Pace()
    pace.add(0)
    for now_ms in range(10, 110, 10):
        pace.record_grant(now_ms)
    assert pace.estimate_wait(100) == 20
    pace.record_grant(900)
    assert pace.estimate_wait(900) <= 2 * 16
    assert pace.estimate_wait(2000) == 0


def rate_in_time(outcomes):
    return sum(outcome.in_time for outcome in outcomes) / len(outcomes)


def list_served(outcomes):
    return [outcome for outcome in outcomes if outcome.refusal is None]


def list_refused(outcomes):
    return [outcome for outcome in outcomes if outcome.refusal is not None]


def play_burst(sizes, kind, per_s, ignore_levels=False):
    """Return the outcomes of the requests that come while one kind has a burst."""
    requests = make_mix(sizes, {URGENT: 60, USUAL: 120, LONG: 50}, *ALL_MS)
    requests += make_mix(sizes, {kind: per_s}, *BURST_MS, seed=500)
    play = Play(make_queue({"x": 4}), ignore_levels)
    return select(play.run(requests), *BURST_MS)


class TestBurstOfTheLeastUrgent:
    """The least urgent and longest kind comes at 2.5 times its usual rate."""

    @pytest.mark.parametrize("sizes", [EVEN, UNEVEN, ONE_LARGE])
    def test_urgent_requests_are_served_within_their_objective(self, sizes):
        """Guards against urgent callers that pay for a burst of others."""
        outcomes = play_burst(sizes, LONG, 75)
        urgent = select(outcomes, *BURST_MS, kind=URGENT)
        assert rate_in_time(urgent) >= NEEDED_IN_TIME
        alike = play_burst(sizes, LONG, 75, ignore_levels=True)
        assert rate_in_time(select(alike, *BURST_MS, kind=URGENT)) < NEEDED_IN_TIME

    @pytest.mark.parametrize("sizes", [EVEN, UNEVEN, ONE_LARGE])
    def test_the_least_urgent_keep_their_share(self, sizes):
        """Guards against a level that starves behind the more urgent ones."""
        served = list_served(play_burst(sizes, LONG, 75))
        least = select(served, *BURST_MS, kind=LONG)
        assert len(least) >= LESS_URGENT_SHARE * len(served)

    def test_most_refusals_come_at_once_and_the_urgent_return_first(self):
        """Guards against callers that wait for what can't come in time."""
        refused = list_refused(play_burst(UNEVEN, LONG, 75))
        late = [outcome for outcome in refused if outcome.waited_ms > 1]
        assert len(late) < 0.5 * len(refused)
        assert all(outcome.refusal.ran == NOT_RUN for outcome in refused)
        assert min(outcome.refusal.retry_after_ms for outcome in refused) > 0


def test_a_burst_of_the_most_urgent_leaves_the_others_their_share():
    """Guards against a level that starves while the most urgent one floods."""
    outcomes = play_burst(EVEN, URGENT, 600)
    served = list_served(outcomes)
    for kind in (USUAL, LONG):
        share = len(select(served, *BURST_MS, kind=kind)) / len(served)
        assert share >= LESS_URGENT_SHARE / 2
    alike = play_burst(EVEN, URGENT, 600, ignore_levels=True)
    urgent = select(outcomes, *BURST_MS, kind=URGENT)
    assert rate_in_time(urgent) > rate_in_time(select(alike, *BURST_MS, kind=URGENT))


def test_a_workspace_that_floods_with_urgent_requests_takes_nothing():
    """Guards against a workspace that gains by calling all its requests urgent."""
    requests = make_mix(EVEN, {URGENT: 60, USUAL: 120, LONG: 50}, *ALL_MS)
    requests += make_steady("w5", URGENT, 800, *BURST_MS, seed=9)
    outcomes = Play(make_queue({"x": 4})).run(requests)
    others = [
        outcome
        for outcome in select(outcomes, *BURST_MS)
        if outcome.request.workspace != "w5"
    ]
    assert rate_in_time(others) >= NEEDED_IN_TIME


@pytest.mark.parametrize("waiting", [(0, 0), (2, 2), (0, 1, 2, 0, 1, 2)])
def test_return_times_are_ordered_by_level(waiting):
    """Guards against less urgent callers that come back before more urgent ones."""
    queue = make_queue({"x": 1}, workspace_limit=6)
    now_ms = queue._clock.now_ms()
    assert queue.request("a", ("x",), now_ms + 1000, level=2) == "x"
    for level in waiting:
        queue.request("a", ("x",), now_ms + 1000, level=level)
    returns = []
    for level in (0, 1, 2):
        refusal = queue.request("b", ("x",), now_ms, level=level)
        assert refusal.code is Code.DEADLINE_PASSED
        returns.append(refusal.retry_after_ms)
    assert returns == sorted(set(returns))


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abc")), max_size=40))
def test_nothing_is_refused_for_its_level_while_a_slot_is_free(arrivals):
    """Guards against refusals from figures of the past beside an idle slot."""
    queue = make_queue({"x": 2, "y": 1})
    for at, (level, workspace) in enumerate(arrivals):
        queue._clock.time_ms += 7
        endpoints = ("x", "y") if at % 2 else ("x",)
        used = queue.count_used()
        is_free = used.get("x", 0) < 2 or (at % 2 and not used.get("y"))
        deadline_ms = queue._clock.now_ms() + 5
        outcome = queue.request(workspace, endpoints, deadline_ms, level=level)
        assert isinstance(outcome, str) == bool(is_free)
        if isinstance(outcome, Waiter):
            queue._clock.time_ms = deadline_ms
            assert isinstance(queue.end_wait(outcome), Refusal)
        if at % 5 == 4:
            queue.release("x")


class TestFullQueue:
    def test_an_urgent_request_displaces_the_last_of_the_least_urgent(self):
        """Guards against urgent callers refused for the many who came earlier."""
        queue = make_queue({"x": 1}, workspace_limit=3)
        deadline_ms = queue._clock.now_ms() + 1000
        assert queue.request("a", ("x",), deadline_ms, level=2) == "x"
        waiters = [
            queue.request("a", ("x",), deadline_ms, level=level) for level in (2, 2, 1)
        ]
        refusal = queue.request("a", ("x",), deadline_ms, level=2)
        assert refusal.code is Code.QUEUE_FULL
        urgent = queue.request("a", ("x",), deadline_ms, level=0)
        assert [waiter.event.is_set() for waiter in waiters] == [False, True, False]
        displaced = queue.end_wait(waiters[1])
        assert (displaced.code, displaced.ran) == (Code.QUEUE_FULL, NOT_RUN)
        assert displaced.retry_after_ms > 0
        queue.release("x")
        assert queue.end_wait(urgent) == "x"

    def test_the_workspace_with_most_waiters_makes_room(self):
        """Guards against a small workspace that gives way to a large one."""
        queue = make_queue({"x": 1}, total_limit=4)
        deadline_ms = queue._clock.now_ms() + 1000
        queue.request("a", ("x",), deadline_ms, level=1)
        small = queue.request("small", ("x",), deadline_ms, level=1)
        large = [queue.request("b", ("x",), deadline_ms, level=1) for _ in range(3)]
        queue.request("c", ("x",), deadline_ms, level=0)
        assert large[2].displaced is not None
        assert small.displaced is None
        assert queue.count_waiting() == {"small": 1, "b": 2, "c": 1}


def test_wait_estimates_grow_with_what_is_ahead():
    queue = make_queue({"x": 1})
    assert queue.estimate_wait_ms(0) == 0
    deadline_ms = queue._clock.now_ms() + 1000
    queue.request("a", ("x",), deadline_ms, level=2)
    for level in (0, 1, 2):
        queue.request("a", ("x",), deadline_ms, level=level)
    waits = [queue.estimate_wait_ms(level) for level in (0, 1, 2)]
    assert waits == [count * queue.hold_ms for count in (2, 3, 4)]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 100),
            st.sampled_from("abcd"),
            st.sampled_from([("x",), ("y",), ("x", "y")]),
        ),
        max_size=60,
    )
)
def test_equal_levels_are_served_as_without_levels(arrivals):
    """Guards against a change of the fair turns where urgency doesn't differ."""

    def play(level):
        queue = make_queue({"x": 1, "y": 2})
        if level:
            queue.request("e", ("x",), queue._clock.now_ms(), level=level)
            queue.release("x")
        requests = [
            Request(at_ms, workspace, Kind(level, 5, 5000), endpoints)
            for at_ms, workspace, endpoints in arrivals
        ]
        return [
            (outcome.request[:2], outcome.waited_ms)
            for outcome in Play(queue).run(requests)
            if outcome.refusal is None
        ]

    assert play(1) == play(0)
