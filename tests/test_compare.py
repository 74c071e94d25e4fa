"""Tests of the comparison of two benchmark runs, on invented results."""

import json

import pytest
from click.testing import CliRunner

from lab.compare import main


def compare(folder, old, new, *flags):
    """Return what the command printed, and its exit code."""
    paths = []
    for name, figures in (("old.json", old), ("new.json", new)):
        path = folder / name
        run = {"deployments": {"vianda": {"fair": {"figures": figures}}}}
        path.write_text(json.dumps(run))
        paths.append(str(path))
    result = CliRunner().invoke(main, [*paths, *flags])
    return result.output, result.exit_code


@pytest.mark.parametrize(
    ("name", "old", "new", "code"),
    [
        ("gap_worst_ms", 1000, 1000, 0),
        ("gap_worst_ms", 3000, 3700, 0),
        ("gap_worst_ms", 3000, 3800, 1),
        ("gap_worst_ms", 3800, 3000, 0),
        # Three times as long, but the difference is below the floor.
        ("p50_ms", 2, 6, 0),
        ("rush_per_s", 1000, 850, 0),
        ("rush_per_s", 1000, 700, 1),
        ("rush_per_s", 700, 1000, 0),
        ("broken_promises", 0, 1, 1),
        ("wrongful", 0, 1.5, 0),
        ("wrongful", 0, 2.5, 1),
        # For a share, its complement is compared.
        ("worst_served", 0.99, 0.98, 0),
        ("worst_served", 0.99, 0.9, 1),
        ("replica_reads", 0.5, 0.99, 0),
    ],
)
def test_a_figure_fails_only_if_worse_than_ratio_and_floor(
    tmp_path, name, old, new, code
):
    assert compare(tmp_path, {name: old}, {name: new})[1] == code


def test_the_ratio_can_be_stated(tmp_path):
    runs = {"gap_worst_ms": 1000}, {"gap_worst_ms": 1900}
    assert compare(tmp_path, *runs, "--ratio", "2")[1] == 0
    output, code = compare(tmp_path, *runs, "--ratio", "1.5")
    assert code == 1
    assert "1 of 1 figures are worse past 1.5 times" in output
    assert compare(tmp_path, *runs, "--ratio", "0.5")[1] == 2


def test_a_figure_that_is_missing_in_the_new_run_fails(tmp_path):
    """A phase of the benchmark broke, so its figure is missing in the new run.

    If that counted as "not worse", the comparison would hide the breakage.
    """
    old = {"gap_worst_ms": 1000, "p50_ms": 5}
    output, code = compare(tmp_path, old, {"p50_ms": 5})
    assert code == 1
    assert "missing" in output
    assert compare(tmp_path, {"p50_ms": 5}, old)[1] == 0
    assert compare(tmp_path, {}, {})[1] == 1
