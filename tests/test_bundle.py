"""Tests of reading, checking, comparing and compiling bundles."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.bundle import (
    Change,
    check_bundle,
    check_record,
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

ENDPOINT = "groups[0:orders].endpoints[0:orders-1]"
NORTH = "workspaces[0:north]"
SOUTH = "workspaces[1:south]"
PUBLIC_KEY = "ed25519:" + "0" * 64


def change(path, value):
    """Return a bundle with the value at `path` replaced, or deleted for None."""
    bundle = copy.deepcopy(make_bundle())
    place = bundle
    for step in path[:-1]:
        place = place[step]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return bundle


def endpoint_path(field):
    return ("groups", 0, "endpoints", 0, field)


@pytest.mark.parametrize(
    ("path", "value", "mistaken"),
    [
        (("format",), 2, "format"),
        (("format",), None, "format"),
        (("version",), 0, "version"),
        (("version",), True, "version"),
        (("version",), "1", "version"),
        (("comment",), "x", "comment"),
        (("groups",), {}, "groups"),
        (("groups", 0, "endpoints"), [], "groups[0:orders].endpoints"),
        (("groups", 0, "max_age_ms"), -1, "groups[0:orders].max_age_ms"),
        (("groups", 0, "name"), ["orders"], "groups[0].name"),
        (endpoint_path("address"), "localhost:5001", f"{ENDPOINT}.address"),
        (endpoint_path("address"), "127.0.0.1:05001", f"{ENDPOINT}.address"),
        (endpoint_path("address"), "127.0.0.1:0", f"{ENDPOINT}.address"),
        (endpoint_path("address"), "127.0.0.1:5002", None),
        (endpoint_path("name"), "orders-2", None),
        (endpoint_path("slots"), 21, f"{ENDPOINT}.slots"),
        (endpoint_path("slots"), 0, f"{ENDPOINT}.slots"),
        (endpoint_path("leaving"), 1, f"{ENDPOINT}.leaving"),
        (("workspaces", 0, "rate"), 0, f"{NORTH}.rate"),
        (("workspaces", 0, "rate"), float("nan"), f"{NORTH}.rate"),
        (("workspaces", 0, "rate"), float("inf"), f"{NORTH}.rate"),
        (("workspaces", 0, "rate"), 10**400, f"{NORTH}.rate"),
        (("workspaces", 0, "rate"), True, f"{NORTH}.rate"),
        (("workspaces", 0, "burst"), 0.5, f"{NORTH}.burst"),
        (("workspaces", 0, "groups"), ["returns"], f"{NORTH}.groups[0]"),
        (("workspaces", 0, "groups"), ["orders"] * 2, f"{NORTH}.groups[1]"),
        (("workspaces", 1, "name"), "north", "workspaces[1:north].name"),
        (("workspaces", 1, "name"), "South", "workspaces[1:South].name"),
        (("workspaces", 0, "keys", 0, "hash"), "secret", None),
        (("workspaces", 0, "keys", 0, "hash"), hash_key("a").upper(), None),
        (
            ("workspaces", 1, "keys"),
            [make_key_entry("north-key")],
            f"{SOUTH}.keys[0:{make_key_entry('north-key')['id']}].hash",
        ),
        (("operators",), make_operators(ana=PUBLIC_KEY), "operators"),
        (
            ("operators",),
            make_operators(ana=PUBLIC_KEY, bo=PUBLIC_KEY),
            "operators[1:bo].public_key",
        ),
    ],
)
def test_a_mistake_is_reported_at_its_path(path, value, mistaken):
    """An operator writes one wrong value. In force, it would stop daemons or let a
    caller in; the check names the place and says what is allowed there.
    """
    mistakes = check_bundle(change(path, value))
    assert len(mistakes) == 1
    assert mistakes[0].allowed
    assert mistaken in (None, mistakes[0].path)


def test_all_mistakes_come_at_once():
    """An operator who is told of one mistake at a time runs the check ten times."""
    bundle = change(("workspaces", 0, "rate"), 0)
    bundle["groups"][0]["endpoints"][1]["slots"] = 99
    bundle["workspaces"][1]["keys"] = bundle["workspaces"][0]["keys"]
    bundle["workspaces"][1]["groups"] = ["nowhere"]
    bundle["version"] = -1
    paths = [mistake.path for mistake in parse_bundle(write_toml(bundle)).error]
    key = make_key_entry("north-key")["id"]
    assert paths == [
        "version",
        f"{NORTH}.rate",
        f"{SOUTH}.keys[0:{key}].hash",
        "groups[0:orders].endpoints[1:orders-2].slots",
        f"{SOUTH}.groups[0]",
    ]


def test_a_group_keeps_an_endpoint():
    """Each endpoint of a group is marked as leaving, one after the other. The last one
    would leave callers without anything to serve them.
    """
    endpoints = [make_endpoint("orders-1", 5001, leaving=True)]
    bundle = make_bundle(groups=[{"name": "orders", "endpoints": endpoints}])
    assert [m.message for m in check_bundle(bundle)] == ["are all leaving"]


def test_a_bundle_larger_than_a_value_of_the_platform_is_a_mistake():
    """A bundle outgrows the 1 MiB of the platform. The check says so, not the rollout
    after two operators have signed.
    """
    keys = [make_key_entry(f"key {number}") for number in range(10_000)]
    bundle = make_bundle(workspaces=[make_workspace("north", keys=keys)])
    assert "bytes long" in check_bundle(bundle)[0].message


@pytest.mark.parametrize(
    "text",
    ["format = ", "a = 1\na = 2", "x = " + "[" * 5000, f"version = {'9' * 5000}", "\0"],
)
def test_text_that_is_no_toml_is_a_mistake(text):
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
    place, step = None, bundle
    while isinstance(step, dict | list) and step:
        keys = list(step) if isinstance(step, dict) else list(range(len(step)))
        place, key = step, data.draw(st.sampled_from(keys))
        step = place[key]
        if data.draw(st.booleans()):
            break
    place[key] = data.draw(TOML_VALUES)
    text = write_toml(bundle)
    result = parse_bundle(text)
    assert result.is_ok() or all(mistake.allowed for mistake in result.error)
    assert check_record({**make_record(make_bundle()), "bundle": bundle}).is_error()


def test_a_bundle_survives_toml_json_and_back():
    bundle = make_bundle(
        operators=make_operators(ana=PUBLIC_KEY, bo=PUBLIC_KEY[:-1] + "1")
    )
    parsed = parse_bundle(write_toml(bundle)).ok
    assert parsed == bundle
    assert digest_bundle(json.loads(json.dumps(parsed))) == digest_bundle(bundle)


def test_the_digest_sees_values_and_not_how_they_are_written():
    """An operator reorders fields, and another writes 5 for 5.0: the signatures hold.
    Any change of a value breaks them.
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
def test_a_record_that_is_not_whole_is_refused(changes):
    """A record is written by hand or by an older tool. Taken unread, it would stop a
    daemon half-way through putting it in force.
    """
    record = {**make_record(make_bundle()), **changes}
    assert check_record(record).error.code is Code.BUNDLE_INVALID
    assert check_record(None).error.code is Code.BUNDLE_INVALID


def test_a_diff_names_what_changed():
    old = make_bundle()
    new = make_bundle(2, workspaces=[make_workspace("north", rate=50.0)])
    south = make_workspace("south")
    key = south["keys"][0]
    assert diff_bundles(old, new) == [
        Change("version", 1, 2),
        Change("workspaces[north].rate", 100.0, 50.0),
        Change("workspaces[south].burst", 20.0, None),
        Change("workspaces[south].groups", ["orders"], None),
        Change(f"workspaces[south].keys[{key['id']}].hash", key["hash"], None),
        Change(f"workspaces[south].keys[{key['id']}].id", key["id"], None),
        Change("workspaces[south].name", "south", None),
        Change("workspaces[south].rate", 100.0, None),
    ]
    assert diff_bundles(old, old) == []
    assert diff_bundles(None, old)[0] == Change("format", None, 1)


def test_compiling_fills_in_what_was_left_out():
    groups = [make_group("orders", 5001, max_age_ms=500), make_group("returns", 5101)]
    groups[0]["endpoints"][2]["leaving"] = True
    record = check_record(make_record(make_bundle(groups=groups))).ok
    configuration = compile_bundle(record)
    orders = configuration.groups["orders"]
    assert (configuration.version, configuration.digest) == (1, record["digest"])
    assert [endpoint.leaving for endpoint in orders.endpoints] == [False, False, True]
    assert orders.endpoints[0].address == Address("127.0.0.1", 5001)
    assert (orders.max_age_ms, configuration.groups["returns"].max_age_ms) == (500, 0)
    north = configuration.workspaces["north"]
    assert north.key_hashes == {
        hash_key("north-key"): make_key_entry("north-key")["id"]
    }
    assert (north.rate, north.burst, north.groups) == (100.0, 20.0, {"orders"})
