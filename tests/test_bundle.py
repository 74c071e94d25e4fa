"""Tests of reading, checking, comparing and compiling bundles."""

import copy
import functools
import json
import operator
import pathlib
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.bundle import (
    DEFAULT_MAX_AGE_MS,
    Change,
    check_bundle,
    check_record,
    check_transition,
    compile_bundle,
    diff_bundles,
    digest_bundle,
    parse_bundle,
)
from bronzerelay.codes import Code
from bronzerelay.keys import hash_key
from bronzerelay.runtime import Address
from tests.builders_config import (
    make_bundle,
    make_endpoint,
    make_group,
    make_key_entry,
    make_operators,
    make_record,
    make_workspace,
    write_toml,
)

PUBLIC_KEY = "ed25519:" + "0" * 64
ENDPOINT = "groups[0].endpoints[0]"
NORTH = "workspaces[0]"


def change(path, value):
    """Return a bundle with the value at `path` replaced, or deleted for None."""
    bundle = copy.deepcopy(make_bundle())
    *steps, last = [int(p) if p.isdigit() else p for p in re.findall(r"\w+", path)]
    place = functools.reduce(operator.getitem, steps, bundle)
    place[last] = value
    if value is None:
        del place[last]
    return bundle


def list_paths(mistakes):
    """Return the paths of the mistakes, with list items by index only."""
    return [re.sub(r":[^]]*", "", mistake.path) for mistake in mistakes]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("format", 2),
        ("format", None),
        ("version", 0),
        ("version", True),
        ("version", "1"),
        ("comment", "x"),
        ("groups", {}),
        ("groups[0].endpoints", []),
        ("groups[0].max_age_ms", -1),
        ("groups[0].name", ["orders"]),
        (f"{ENDPOINT}.address", "localhost:5001"),
        (f"{ENDPOINT}.address", "127.0.0.1:05001"),
        (f"{ENDPOINT}.address", "127.0.0.1:0"),
        ("groups[0].endpoints[1].address", "127.0.0.1:5001"),
        ("groups[0].endpoints[1].name", "orders-1"),
        (f"{ENDPOINT}.slots", 21),
        (f"{ENDPOINT}.slots", 0),
        (f"{ENDPOINT}.leaving", 1),
        (f"{NORTH}.rate", 0),
        (f"{NORTH}.rate", float("nan")),
        (f"{NORTH}.rate", float("inf")),
        (f"{NORTH}.rate", 10**400),
        (f"{NORTH}.rate", True),
        (f"{NORTH}.burst", 0.5),
        (f"{NORTH}.groups[0]", "returns"),
        (f"{NORTH}.groups", ["orders"] * 2),
        ("workspaces[1].name", "north"),
        ("workspaces[1].name", "South"),
        (f"{NORTH}.keys[0].hash", "secret"),
        (f"{NORTH}.keys[0].hash", hash_key("a").upper()),
        ("workspaces[1].keys[0].hash", hash_key("north-key")),
        ("operators", make_operators(ana=PUBLIC_KEY)),
        ("operators", make_operators(ana=PUBLIC_KEY, bo=PUBLIC_KEY)),
    ],
)
def test_a_mistake_is_reported_at_its_path(path, value):
    """A bundle has one wrong value, which could stop daemons or admit a caller once in
    force. The check reports its path and what is allowed there.
    """
    mistakes = check_bundle(change(path, value))
    assert len(mistakes) == 1
    assert mistakes[0].allowed
    assert list_paths(mistakes)[0].startswith(path)


def test_all_mistakes_are_reported_at_once():
    """If only the first mistake were reported, an operator would have to run the check
    once per mistake.
    """
    bundle = change(f"{NORTH}.rate", 0)
    bundle["groups"][0]["endpoints"][1]["slots"] = 99
    bundle["workspaces"][1]["keys"] = bundle["workspaces"][0]["keys"]
    bundle["workspaces"][1]["groups"] = ["nowhere"]
    bundle["version"] = -1
    mistakes = parse_bundle(write_toml(bundle)).error
    assert mistakes[1].path == "workspaces[0:north].rate"
    assert sorted(list_paths(mistakes)) == [
        "groups[0].endpoints[1].slots",
        "version",
        "workspaces[0].rate",
        "workspaces[1].groups[0]",
        "workspaces[1].keys[0].hash",
    ]


def test_a_group_needs_an_endpoint_that_is_not_leaving():
    """All endpoints of a group are marked as leaving one by one, until none is left to
    serve callers.
    """
    endpoints = [make_endpoint("orders-1", 5001, leaving=True)]
    bundle = make_bundle(groups=[{"name": "orders", "endpoints": endpoints}])
    assert [m.message for m in check_bundle(bundle)] == ["are all leaving"]


def test_a_bundle_over_the_platforms_size_limit_is_a_mistake():
    """A bundle exceeds the platform's limit of 1 MiB per value. The check must report
    that, rather than the rollout after two operators have signed.
    """
    keys = [make_key_entry(f"key {number}") for number in range(10_000)]
    bundle = make_bundle(workspaces=[make_workspace("north", keys=keys)])
    assert "bytes long" in check_bundle(bundle)[0].message


@pytest.mark.parametrize(
    "text",
    ["format = ", "a = 1\na = 2", "x = " + "[" * 5000, f"version = {'9' * 5000}", "\0"],
)
def test_invalid_toml_is_a_mistake(text):
    assert parse_bundle(text).is_error()


TOML_VALUES = st.recursive(
    st.one_of(
        st.integers(),
        st.floats(),
        st.booleans(),
        st.text(max_size=5),
        st.sampled_from(["orders", "north", "127.0.0.1:5001", hash_key("a")]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["name", "id", "keys", "hash"]), inner),
    ),
    max_leaves=6,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text())
def test_any_text_is_read_or_reported(text):
    result = parse_bundle(text)
    assert result.is_ok() or result.error


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.data())
def test_any_value_anywhere_is_read_or_reported(data):
    """A bundle is edited by hand, and one place of it holds anything at all. A check
    that raised would show a traceback, and would stop a daemon that got the bundle.
    """
    bundle = copy.deepcopy(make_bundle(operators=make_operators(a="x", b="y")))
    step = bundle
    while isinstance(step, dict | list) and step:
        keys = list(step) if isinstance(step, dict) else range(len(step))
        place, key = step, data.draw(st.sampled_from(keys))
        step = place[key]
        if data.draw(st.booleans()):
            break
    place[key] = data.draw(TOML_VALUES)
    result = parse_bundle(write_toml(bundle))
    assert result.is_ok() or all(mistake.allowed for mistake in result.error)
    assert check_record({**make_record(make_bundle()), "bundle": bundle}).is_error()


def test_toml_and_json_preserve_a_bundle():
    bundle = make_bundle(
        operators=make_operators(ana=PUBLIC_KEY, bo=PUBLIC_KEY[:-1] + "1")
    )
    parsed = parse_bundle(write_toml(bundle)).ok
    assert parsed == bundle
    assert digest_bundle(json.loads(json.dumps(parsed))) == digest_bundle(bundle)


def test_the_digest_depends_on_values_only():
    """Reordered fields or 5 instead of 5.0 must not invalidate signatures. A changed
    value must.
    """
    bundle = make_bundle()
    turned = dict(reversed(bundle.items()))
    turned["workspaces"] = [{**entry, "rate": 100} for entry in bundle["workspaces"]]
    assert digest_bundle(turned) == digest_bundle(bundle)
    assert digest_bundle(make_bundle(2)) != digest_bundle(bundle)
    assert digest_bundle(bundle).startswith("sha256:")


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 2},
        {"digest": "sha256:" + "0" * 64},
        {"bundle": make_bundle(workspaces=[make_workspace("x", rate=0)])},
        {"bundle": {**make_bundle(), "extra": 1}},
        {"signatures": None},
        {"author": 3},
    ],
)
def test_an_invalid_record_is_refused(changes):
    """A record was written by hand or by an older tool. Accepted unchecked, it would
    make a daemon fail half-way through putting it in force.
    """
    record = {**make_record(make_bundle()), **changes}
    assert check_record(record).error.code is Code.BUNDLE_INVALID
    assert check_record(None).error.code is Code.BUNDLE_INVALID


def test_a_diff_lists_changed_values():
    old = make_bundle()
    new = make_bundle(2, workspaces=[make_workspace("north", rate=50.0)])
    changes = diff_bundles(old, new)
    assert changes[:2] == [
        Change("version", 1, 2),
        Change("workspaces[north].rate", 100.0, 50.0),
    ]
    assert Change("workspaces[south].groups", ["orders"], None) in changes[2:]
    assert all(c.path.startswith("workspaces[south].") for c in changes[2:])
    assert diff_bundles(old, old) == []
    assert diff_bundles(None, old)[0] == Change("format", None, 1)


@pytest.mark.parametrize(
    ("names", "allowed"),
    [("abc", True), ("abcd", True), ("ab", True), ("abd", False), ("a", False)],
)
def test_old_and_new_majorities_must_overlap(names, allowed):
    """An operator replaces one of three endpoints in one version. A majority of the new
    endpoints may be the empty one and one that lags, which loses acknowledged writes.
    """

    def make(version, names):
        endpoints = [make_endpoint(name, 5000 + ord(name)) for name in names]
        return make_bundle(version, groups=[{"name": "orders", "endpoints": endpoints}])

    old = make(1, "abc")
    assert list_paths(check_transition(old, make(2, names))) == (
        [] if allowed else ["groups[0].endpoints"]
    )
    assert list_paths(check_transition(old, make(1, "abc"))) == ["version"]
    assert check_transition(None, old) == []


def test_compiling_fills_in_defaults():
    groups = [make_group("orders", 5001, max_age_ms=500), make_group("returns", 5101)]
    groups[0]["endpoints"][2]["leaving"] = True
    record = check_record(make_record(make_bundle(groups=groups))).ok
    configuration = compile_bundle(record)
    orders = configuration.groups["orders"]
    assert (configuration.version, configuration.digest) == (1, record["digest"])
    assert [endpoint.leaving for endpoint in orders.endpoints] == [False, False, True]
    assert orders.endpoints[0].address == Address("127.0.0.1", 5001)
    ages = (orders.max_age_ms, configuration.groups["returns"].max_age_ms)
    assert ages == (500, DEFAULT_MAX_AGE_MS)
    north = configuration.workspaces["north"]
    assert north.key_hashes == {
        hash_key("north-key"): make_key_entry("north-key")["id"]
    }
    assert (north.rate, north.burst, north.groups) == (100.0, 20.0, {"orders"})


def test_the_example_in_the_docs_is_valid():
    page = pathlib.Path(__file__).parent.parent / "docs" / "CONFIGURATION.md"
    text = page.read_text().partition("```toml\n")[2].partition("```")[0]
    assert parse_bundle(text).ok["version"] == 7
