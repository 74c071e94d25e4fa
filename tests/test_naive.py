"""Tests of the naive store, and of the endpoint's statements against it."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.runtime import Runtime
from standins.instance import Instance, RefusedError
from standins.naive import NaiveStore

ROWS = st.sampled_from(["trays", "diets"])
VALUES = st.one_of(st.none(), st.integers(-5, 5), st.text(max_size=2))
STATEMENTS = st.one_of(
    st.fixed_dictionaries({"verb": st.just("get"), "row": ROWS}),
    st.fixed_dictionaries({"verb": st.just("put"), "row": ROWS, "value": VALUES}),
    st.fixed_dictionaries({"verb": st.just("append"), "row": ROWS, "value": VALUES}),
    st.fixed_dictionaries(
        {"verb": st.just("add"), "row": ROWS, "amount": st.integers(-3, 3)}
    ),
    st.fixed_dictionaries({"verb": st.just("delete"), "row": ROWS}),
)


@pytest.fixture(scope="module")
def runtime():
    return Runtime(task_limit=1)


def run_naive(store, statement):
    try:
        return store.run(statement)
    except ValueError:
        return "refused"


def run_at_instance(instance, statement, request_id):
    with instance.condition:
        try:
            if statement["verb"] == "get":
                return instance.read(statement, None)["value"]
            return instance.write(1, statement, request_id, None)["value"]
        except RefusedError:
            return "refused"


@settings(derandomize=True, deadline=None)
@given(statements=st.lists(STATEMENTS, max_size=30))
def test_an_endpoint_runs_statements_as_the_naive_store_does(runtime, statements):
    store = NaiveStore(runtime)
    instance = Instance(runtime, slots=1)
    with instance.condition:
        instance.fence(1)
        instance.promote(1)
    for number, statement in enumerate(statements):
        expected = run_naive(store, statement)
        assert run_at_instance(instance, statement, f"r{number}") == expected


def test_a_key_seen_before_changes_nothing(runtime):
    store = NaiveStore(runtime)
    add = {"verb": "add", "row": "cash", "amount": 1}
    assert [store.run(add, "k"), store.run(add, "k"), store.run(add)] == [1, 1, 2]


def test_a_transaction_runs_whole_or_not_at_all(runtime):
    store = NaiveStore(runtime)
    put = {"verb": "put", "row": "trays", "value": "many"}
    with pytest.raises(ValueError, match="holds no number"):
        store.run_all([put, {"verb": "add", "row": "trays", "amount": 1}])
    assert store.read_rows() == {}
