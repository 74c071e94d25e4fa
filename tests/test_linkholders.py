"""Tests of the choice of the daemon that holds the links to an instance."""

import pytest

from bronzerelay.load.linkholders import (
    AVOID_MS,
    HELD_PLACES,
    SILENT_MS,
    LinkHolders,
    Way,
)
from tests.builders_pooler import ManualClock, make_runtime

MEMBERS = {f"d{number}": f"z{number % 3}" for number in range(30)}


def make_holders(name="d0", members=MEMBERS):
    holders = LinkHolders(name, make_runtime(ManualClock()))
    holders.set_members(members)
    return holders


def choose(holders, instance="i1", domain="z1", leaving=()):
    holders.is_leaving = lambda name: name in leaving
    return holders.choose(instance, domain)


class TestRanking:
    def test_holders_are_of_the_instances_domain_and_alike_everywhere(self):
        """Guards against each daemon choosing another holder, or a distant one."""
        rankings = {make_holders(name).rank("i1", "z1") for name in MEMBERS}
        (ranking,) = rankings
        assert len(ranking) == HELD_PLACES
        assert {MEMBERS[name] for name in ranking} == {"z1"}

    def test_a_domain_without_daemons_uses_all(self):
        """Guards against an instance whose links nobody keeps."""
        assert choose(make_holders(), domain="elsewhere").holder in MEMBERS

    def test_instances_spread_over_the_daemons(self):
        """Guards against one daemon that holds the links of most instances."""
        holders = make_holders()
        firsts = [holders.rank(f"i{number}", "z1")[0] for number in range(40)]
        assert max(firsts.count(name) for name in set(firsts)) <= 12
        assert len(set(firsts)) >= 7

    def test_holders_stay_when_an_uninvolved_member_leaves(self):
        """Guards against warm links that are lost at each change of the list."""
        before = make_holders().rank("i1", "z1")
        gone = next(
            name
            for name, domain in MEMBERS.items()
            if domain == "z1" and name not in before
        )
        members = {name: at for name, at in MEMBERS.items() if name != gone}
        assert make_holders(members=members).rank("i1", "z1") == before


class TestChoice:
    def test_the_holder_itself_runs_what_it_gets(self):
        """Guards against a holder that passes its own callers' statements on."""
        first, second, _ = make_holders().rank("i1", "z1")
        assert choose(make_holders(first)).way is Way.LOCAL
        choice = choose(make_holders(second))
        assert (choice.way, choice.holder) == (Way.PASSED, first)

    def test_a_stopping_holder_is_replaced_by_the_next(self):
        """Guards against statements sent to a daemon that is about to exit."""
        holders = make_holders()
        first, second, third = holders.rank("i1", "z1")
        assert choose(holders, leaving=(first,)).holder == second
        holders.avoid(second, "", "test")
        assert choose(holders, leaving=(first,)).holder == third

    def test_an_avoided_holder_is_tried_again_after_a_while(self):
        """Guards against a holder that is never used again after one failure."""
        holders = make_holders()
        first, second, _ = holders.rank("i1", "z1")
        assert holders.avoid(first, "", "test")
        assert not holders.avoid(first, "", "test")
        assert choose(holders).holder == second
        holders._clock.sleep_ms(AVOID_MS)
        assert choose(holders).holder == first

    def test_a_holder_that_stays_cut_off_is_tested_less_and_less(self):
        """Guards against a cut that delays a statement of each daemon every second."""
        holders = make_holders()
        first = holders.rank("i1", "z1")[0]
        tests = 0
        for _ in range(12):
            if choose(holders).holder == first:
                tests += 1
                holders.note_unreached(first, "test")
            holders._clock.sleep_ms(AVOID_MS)
        assert tests <= 5
        holders.end_call(holders.begin_call(first), answered=True)
        holders.note_unreached(first, "test")
        holders._clock.sleep_ms(AVOID_MS)
        assert choose(holders).holder == first

    def test_a_holder_is_avoided_only_for_the_instance_that_it_cant_reach(self):
        """Guards against a holder that is given up for one failed instance."""
        holders = make_holders()
        first = holders.rank("i1", "z1")[0]
        holders.avoid(first, "i1", "test")
        assert choose(holders).holder != first
        assert not holders.view_of(first).is_avoided("i2", holders._clock.now_ms())

    def test_without_a_usable_holder_statements_go_direct(self):
        """Guards against callers that are refused while the instance is well."""
        holders = make_holders()
        for name in holders.rank("i1", "z1"):
            holders.avoid(name, "", "test")
        assert choose(holders).way is Way.DIRECT

    def test_a_silent_holder_gets_nothing_new_until_it_answers(self):
        """Guards against a frozen holder that collects everybody's statements."""
        holders = make_holders()
        first, second, _ = holders.rank("i1", "z1")
        call = holders.begin_call(first)
        holders.begin_call(first)
        assert choose(holders).holder == first
        holders._clock.sleep_ms(SILENT_MS + 1)
        assert choose(holders).holder == second
        holders.end_call(call, answered=True)
        assert choose(holders).holder == first

    def test_one_call_at_a_time_tests_a_holder_that_gave_no_answer(self):
        """Guards against many calls that each wait for a frozen holder."""
        holders = make_holders()
        first = holders.rank("i1", "z1")[0]
        call = holders.begin_call(first)
        holders.end_call(call, answered=False)
        assert choose(holders).holder == first
        call = holders.begin_call(first)
        assert choose(holders).holder != first
        holders.end_call(call, answered=True)
        holders.begin_call(first)
        assert choose(holders).holder == first

    def test_a_call_that_outlives_its_holders_membership_leaves_no_trace(self):
        """Guards against a holder that looks busy or silent for ever."""
        holders = make_holders()
        first = holders.rank("i1", "z1")[0]
        call = holders.begin_call(first)
        holders.set_members({n: at for n, at in MEMBERS.items() if n != first})
        holders.set_members(MEMBERS)
        holders.end_call(call, answered=True)
        assert holders.view_of(first).calls == 0


@pytest.mark.parametrize("name", ["d0", "d1"])
def test_many_origins_agree_while_one_holder_fails(name):
    """Guards against a failed holder whose instances nobody serves by a warm link."""
    origins = [make_holders(one) for one in MEMBERS]
    first, second, _ = origins[0].rank("i1", "z1")
    for origin in origins:
        origin.avoid(first, "", "test")
    chosen = [choose(origin) for origin in origins]
    assert sum(choice.holder == second for choice in chosen) >= len(origins) - 1
