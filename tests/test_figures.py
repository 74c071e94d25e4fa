"""Tests of how the figures of a benchmark are worked out."""

from bronzerelay.codes import Code
from lab.figures import count_wrongful, list_services, measure_worst_served
from lab.pages import is_missed, list_rows, order_measures
from standins.rates import RateLimit
from tests.record_builders import build_entry, build_refusal

LIMITS = [RateLimit("small", rate=10, burst=2), RateLimit("big", rate=10, burst=2)]


def build_record():
    """Return a record: `small` is refused one of two, `big` gets two of four."""
    small = [build_entry(sent_ms=0), build_refusal(Code.RATE_EXCEEDED)]
    big = [build_entry(sent_ms=0)] * 2 + [build_refusal(Code.RATE_EXCEEDED)] * 2
    return [
        *(entry._replace(workspace="small", sent_ms=1) for entry in small),
        *(entry._replace(workspace="big", sent_ms=1) for entry in big),
    ]


def test_what_is_due_ends_at_the_rate():
    services = list_services(build_record(), LIMITS)
    assert [(one.workspace, one.due, one.served) for one in services] == [
        ("big", 2, 2),
        ("small", 2, 1),
    ]
    assert measure_worst_served(services)["worst_served"] == 0.5 / 0.75


def test_a_refusal_inside_the_rate_is_wrongful():
    assert count_wrongful(build_record(), LIMITS) == 2500
    assert count_wrongful(build_record(), LIMITS, left_out="small") == 0


def test_the_table_begins_with_what_the_users_weigh_most():
    measures = order_measures("vianda")
    assert {one.name for one in measures[:3]} == {
        "worst_served",
        "gap_median_ms",
        "gap_worst_ms",
    }
    figures = {"worst_served": 0.9, "gap_median_ms": 1.0}
    results = {policy: {"figures": figures} for policy in ("fair", "naive")}
    rows = {row[0]: row for row in list_rows("vianda", results)}
    served = next(one for one in measures if one.name == "worst_served")
    assert is_missed(served, 0.9) and not is_missed(served, 0.95)
    assert rows[served.title][1:] == ["90.0%", "90.0%", "at least 95.0% (missed)"]
