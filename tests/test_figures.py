"""Tests of how the figures of a benchmark are computed."""

from bronzerelay.codes import Code
from lab.figures import count_wrongful, list_services, measure_worst_served
from lab.pages import list_rows, misses_target, order_measures
from standins.rates import RateLimit
from tests.record_builders import build_entry, build_refusal

LIMITS = [RateLimit("small", rate=10, burst=2), RateLimit("big", rate=10, burst=2)]


def build_record():
    """Return a record: `small` gets one of two requests, `big` two of four."""
    small = [build_entry(sent_ms=0), build_refusal(Code.RATE_EXCEEDED)]
    big = [build_entry(sent_ms=0)] * 2 + [build_refusal(Code.RATE_EXCEEDED)] * 2
    return [
        *(entry._replace(workspace="small", sent_ms=1) for entry in small),
        *(entry._replace(workspace="big", sent_ms=1) for entry in big),
    ]


def test_only_requests_inside_the_rate_are_due():
    services = list_services(build_record(), LIMITS)
    assert [
        (service.workspace, service.due, service.served) for service in services
    ] == [
        ("big", 2, 2),
        ("small", 2, 1),
    ]
    assert measure_worst_served(services)["worst_served"] == 0.5 / 0.75


def test_a_refusal_inside_the_rate_is_wrongful():
    assert count_wrongful(build_record(), LIMITS) == 2500
    assert count_wrongful(build_record(), LIMITS, left_out="small") == 0


def test_the_table_starts_with_the_measures_that_matter_most():
    measures = order_measures("vianda")
    assert {measure.name for measure in measures[:3]} == {
        "worst_served",
        "gap_median_ms",
        "gap_worst_ms",
    }
    figures = {"worst_served": 0.9, "gap_median_ms": 1.0}
    results = {policy: {"figures": figures} for policy in ("fair", "naive")}
    rows = {row[0]: row for row in list_rows("vianda", results)}
    served = next(measure for measure in measures if measure.name == "worst_served")
    assert misses_target(served, 0.9) and not misses_target(served, 0.95)
    assert rows[served.title][1:] == ["90.0%", "90.0%", "at least 95.0% (missed)"]
