"""Tests of which instance becomes primary among several."""

from bronzerelay.load.successors import Successor, choose_successor
from bronzerelay.pooler.messages import Position


def make_successors(*ends):
    return [
        Successor(f"i{number}", domain, Position(1, end))
        for number, (domain, end) in enumerate(ends)
    ]


class TestSuccessors:
    def test_longest_log_counts_before_the_domain(self):
        """Guards against losing commits for the sake of a failure domain."""
        successors = make_successors(("z1", 8), ("z2", 9))
        assert choose_successor(successors, ["z2", "z2"]).id == "i1"

    def test_domain_with_few_primaries_is_preferred_among_equals(self):
        """Guards against gathering all primaries in one failure domain."""
        successors = make_successors(("z1", 9), ("z2", 9), ("z3", 9))
        assert choose_successor(successors, ["z1", "z2", "z1"]).id == "i2"

    def test_first_of_equals_is_chosen(self):
        successors = make_successors(("z1", 9), ("z1", 9))
        assert choose_successor(successors, []).id == "i0"

    def test_nobody_is_chosen_of_nobody(self):
        assert choose_successor([], ["z1"]) is None
