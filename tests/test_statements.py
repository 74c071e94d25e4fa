"""Tests of the decoding and checks of a request's body."""

import json

import msgspec
import pytest

from bronzerelay.codes import Code
from bronzerelay.runtime import Runtime
from bronzerelay.statements import MAX_NESTING, decode_request
from bronzerelay.types import StatementRequest

GET = {"verb": "get", "row": "a"}
PUT = {"verb": "put", "row": "a", "value": 1}


def decode(**fields):
    return decode_request(json.dumps({"group": "orders", **fields}).encode())


@pytest.mark.parametrize(
    "fields",
    [
        {"statement": GET, "max_age_ms": 0, "session": "t", "deadline_ms": 1},
        {"statement": PUT, "idempotency_key": "k" * 200, "repeatable": False},
        {"statement": {"verb": "add", "row": "a", "amount": -1.5}},
        {"statement": {"verb": "put", "row": "a", "value": None}, "transaction": "t"},
        {"action": "begin"},
        {"action": "commit", "transaction": "t"},
    ],
)
def test_a_valid_request_is_decoded(fields):
    assert decode(**fields).ok == {"group": "orders", **fields}


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({}, "needs the field `statement`"),
        ({"statement": GET, "group": 1}, "Expected `str`, got `int` - at `$.group`"),
        ({"statement": GET, "group": "g" * 64}, "`group` is longer than 63 characters"),
        ({"statement": {"verb": "get"}}, "missing required field `row`"),
        ({"statement": {"verb": "drop", "row": "a"}}, "Invalid enum value 'drop'"),
        ({"statement": {**GET, "verb": "put"}}, "`put` needs the field `value`"),
        ({"statement": {**PUT, "verb": "add"}}, "`add` needs the field `amount`"),
        ({"statement": {**GET, "row": ""}}, "row has no name"),
        ({"statement": {**GET, "rows": 1}}, "Unknown field `rows`"),
        ({"statement": GET, "idempotencyKey": "k"}, "Unknown field `idempotencyKey`"),
        ({"statement": GET, "idempotency_key": ""}, "1 to 200 characters"),
        ({"statement": GET, "deadline_ms": 0}, "less than 1"),
        ({"statement": GET, "max_age_ms": -1}, "less than 0"),
        ({"statement": GET, "repeatable": 1}, "Expected `bool`"),
        ({"action": "commit"}, "needs the field `transaction`"),
        ({"action": "begin", "statement": GET}, "takes no field `statement`"),
    ],
)
def test_a_mistake_is_reported(fields, message):
    refusal = decode(**fields).error
    assert refusal.code == Code.INVALID_STATEMENT
    assert message in refusal.message


@pytest.mark.parametrize(
    "body", [b"", b"{", b"{'a': 1}", b'"\xff"', b"1e999", b"{} {}", b"\x00"]
)
def test_a_broken_body_is_refused(body):
    assert decode_request(body).error.code == Code.MALFORMED_JSON


def test_a_deeply_nested_body_does_not_end_the_process():
    """A hostile caller sends thousands of nested brackets. The recursive decoder would
    overflow the small stack of the task, and the whole daemon would crash.
    """
    runtime = Runtime(task_limit=1)
    body = b"[" * 100_000 + b"]" * 100_000
    refusal = runtime.start(decode_request, body).result().error
    assert refusal.code == Code.MALFORMED_JSON
    assert runtime.close(1000)


@pytest.mark.parametrize("number", [2**53 + 1, -(2**64) - 1, 10**300 + 1, 0.1, 1])
def test_numbers_reach_the_endpoint_as_they_were_sent(number):
    """Guards against an addition that adds another amount than the caller sent."""
    statement = {"verb": "add", "row": "a", "amount": number, "value": number}
    decoded = decode(statement=statement).ok
    for received in (
        decoded,
        msgspec.json.Decoder(StatementRequest).decode(msgspec.json.encode(decoded)),
    ):
        amounts = (received["statement"]["amount"], received["statement"]["value"])
        assert [repr(amount) for amount in amounts] == [repr(number)] * 2


@pytest.mark.parametrize("number", ["9" * 400, "-" + "9" * 400])
def test_an_amount_that_no_float_holds_is_refused(number):
    """Guards against an endpoint that fails when it adds the amount to a float."""
    body = b'{"group":"g","statement":{"verb":"add","row":"a","amount":%s}}'
    refusal = decode_request(body % number.encode()).error
    assert refusal.code == Code.INVALID_STATEMENT


def test_brackets_that_do_not_nest_are_accepted():
    value = ["[{" * 200, '\\"[[' * 50, *[[{}]] * 200]
    statement = {**PUT, "value": value}
    assert decode(statement=statement).ok["statement"]["value"] == value
    deepest = json.loads("[" * (MAX_NESTING - 2) + "]" * (MAX_NESTING - 2))
    assert decode(statement={**PUT, "value": deepest}).is_ok()
    assert decode(statement={**PUT, "value": [deepest]}).is_error()
