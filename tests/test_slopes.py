"""Tests that the capacity page matches capacity.json, and of its arithmetic."""

import copy
import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab import estimates, letter
from lab.arithmetic import Slopes, add, divide, format_number, multiply
from lab.measure import fit_line
from lab.slopes import EXPERIMENTS, PAGE, RESULTS, fit_slopes
from lab.summary import format_verdict, list_rows
from lab.tables import SECTIONS, build_blocks, rewrite_page

MIN_SIZES = 3


@pytest.fixture
def results() -> dict:
    return json.loads(RESULTS.read_text())


def list_figures(results: dict) -> list:
    slopes = Slopes(results)
    figures = [
        figure for section in SECTIONS.values() for figure in section.estimate(slopes)
    ]
    return figures + estimates.estimate_sizes() + estimates.estimate_base(slopes)


@given(st.integers(-1000, 1000), st.integers(-1000, 1000))
def test_points_on_a_line_give_that_line(slope, base):
    line = fit_line([(size, base + slope * size) for size in (1, 5, 9, 40)])
    assert line.slope == pytest.approx(slope, abs=1e-6)
    assert line.base == pytest.approx(base, abs=1e-6)


def test_the_line_is_a_least_squares_fit():
    line = fit_line([(0, 0), (1, 2), (2, 1)])
    assert line == (pytest.approx(0.5), pytest.approx(0.5))


def test_the_arithmetic_text_matches_the_value():
    product = multiply("", "", 10, (3, "daemons"), (4.5, "B"))
    assert (product.arithmetic, product.value) == ("3.00 daemons x 4.50 B", 13.5)
    quotient = divide("", "", 10, (30, "B"), (3, "s"))
    assert (quotient.arithmetic, quotient.value) == ("30.0 B / 3.00 s", 10)
    total = add("", "", None, (1, "ms here"), (2, "ms there"))
    assert (total.arithmetic, total.value) == ("1.00 ms here + 2.00 ms there", 3)


def test_a_result_past_its_limit_is_never_reported_as_met():
    over, within = multiply("", "", 10, (20, "B")), multiply("", "", 10, (10, "B"))
    assert (over.is_met(), within.is_met()) == (False, True)
    assert format_verdict(within) == "yes"
    assert format_verdict(within, over) == "**no**, 2.00 times too much"


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"),
        (0.01234, "0.0123"),
        (9.996, "10.00"),
        (123.4, "123"),
        (9677.4, "9,677"),
    ],
)
def test_numbers_have_three_significant_digits(value, text):
    assert format_number(value) == text


def test_the_size_for_one_daemon_matches_the_letter():
    values = {figure.what: figure.value for figure in estimates.estimate_sizes()}
    assert values["connections"] == pytest.approx(9677, abs=1)
    assert values["statements"] == pytest.approx(5161, abs=1)
    assert values["instances watched"] == pytest.approx(22.3, abs=0.1)


def test_each_slope_is_fitted_to_three_sizes_or_more(results):
    known = {experiment.role: experiment for experiment in EXPERIMENTS}
    measured_roles = set()
    for name, entry in results["slopes"].items():
        role, metric = name.split(".")
        experiment = known[role]
        measured_roles.add(role)
        assert len(entry["points"]) >= MIN_SIZES
        assert [size for size, _ in entry["points"]] == list(experiment.sizes)
        results_by_size = {size: {metric: value} for size, value in entry["points"]}
        refitted = fit_slopes(experiment, results_by_size)[name]
        assert refitted["command"] == entry["command"]
        scale = max(abs(value) for _, value in entry["points"]) or 1
        span = max(experiment.sizes)
        assert abs(refitted["slope"] - entry["slope"]) * span <= 0.01 * scale
    assert measured_roles == set(known)


def test_the_tables_of_the_page_match_the_file(results):
    page = PAGE.read_text()
    assert rewrite_page(page, results) == page


def test_each_slope_is_shown_with_its_command(results):
    page = PAGE.read_text()
    for name, entry in results["slopes"].items():
        assert re.search(rf"\| `{re.escape(name)}` \|.*`{entry['command']}` \|", page)


def test_other_measurements_change_the_tables(results):
    changed = copy.deepcopy(results)
    for entry in changed["slopes"].values():
        entry["slope"] *= 3
        entry["points"] = [[size, value * 3] for size, value in entry["points"]]
    before, after = build_blocks(results), build_blocks(changed)
    same = {name for name in before if before[name] == after[name]}
    assert same == {"machine", "sizes"}


def test_a_page_without_markers_for_a_table_is_rejected(results):
    text = PAGE.read_text().replace("<!-- table roster -->", "")
    with pytest.raises(ValueError, match="roster"):
        rewrite_page(text, results)


def test_the_summary_says_no_if_a_budget_is_missed(results):
    rows = list_rows(Slopes(results))
    assert {row.role: row.met.split(",")[0] for row in rows}["membership"] == "**no**"
    limits = {figure.limit for figure in list_figures(results)}
    assert {letter.CONTROL_CPU_MS, letter.CONTROL_BYTES} <= limits
