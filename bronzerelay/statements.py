"""Decodes and checks the body of a caller's request to run a statement."""

import sys
from typing import Any, get_type_hints

import msgspec
from expression import Error, Ok, Result

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.nesting import MAX_NESTING, check_nesting
from bronzerelay.types import Statement, StatementRequest

IDEMPOTENCY_KEY_LENGTH = 200
# No group of a bundle has a longer name.
GROUP_NAME_LENGTH = 63
# The fields that each verb requires, besides `row`.
VERB_FIELDS = {
    "get": set(),
    "delete": set(),
    "put": {"value"},
    "append": {"value"},
    "add": {"amount"},
}
ACTION_FIELDS = {
    "statement": {"statement"},
    "begin": set(),
    "commit": {"transaction"},
    "rollback": {"transaction"},
}
EXCLUDED_FIELDS = {
    "statement": set(),
    "begin": {"statement", "transaction"},
    "commit": {"statement"},
    "rollback": {"statement"},
}
REQUEST_FIELDS = frozenset(get_type_hints(StatementRequest))
STATEMENT_FIELDS = frozenset(get_type_hints(Statement))


def decode_request(body: bytes) -> Result[StatementRequest, Refusal]:
    """Return the checked request in `body`.

    Refuse a body that isn't JSON with MALFORMED_JSON, and one with an invalid, missing
    or unknown field with INVALID_STATEMENT.
    """
    if not check_nesting(body):
        message = f"The body nests deeper than {MAX_NESTING} levels."
        return refuse(Code.MALFORMED_JSON, message)
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(Code.MALFORMED_JSON, f"The body is not JSON: {error}.")
    try:
        request = msgspec.convert(decoded, StatementRequest)
    except msgspec.ValidationError as error:
        return refuse(Code.INVALID_STATEMENT, f"{error}.")
    mistake = find_mistake(decoded)
    if mistake:
        return Error(refuse(Code.INVALID_STATEMENT, mistake).error)
    return Ok(request)


def find_mistake(request: dict[str, Any]) -> str:
    """Return a message about the first mistake in a decoded request, or ""."""
    # Unknown fields are refused: if a misspelt `idempotency_key` were ignored, a
    # repeated write could run twice.
    unknown = set(request) - REQUEST_FIELDS
    if unknown:
        return f"Unknown field `{min(unknown)}`."
    action = request.get("action", "statement")
    missing = ACTION_FIELDS[action] - set(request)
    if missing:
        return f"The action `{action}` needs the field `{min(missing)}`."
    excluded = EXCLUDED_FIELDS[action] & set(request)
    if excluded:
        return f"The action `{action}` takes no field `{min(excluded)}`."
    if "statement" in request:
        mistake = _find_statement_mistake(request["statement"])
        if mistake:
            return mistake
    return _find_range_mistake(request)


def _find_statement_mistake(statement: dict[str, Any]) -> str:
    unknown = set(statement) - STATEMENT_FIELDS
    if unknown:
        return f"Unknown field `{min(unknown)}` - at `$.statement`."
    verb = statement["verb"]
    missing = VERB_FIELDS[verb] - set(statement)
    if missing:
        return f"The verb `{verb}` needs the field `{min(missing)}` - at `$.statement`."
    if not statement["row"]:
        return "The row has no name - at `$.statement.row`."
    # The endpoint may have to add the amount to a float.
    if abs(statement.get("amount", 0)) > sys.float_info.max:
        return "The amount is out of range - at `$.statement.amount`."
    return ""


def _find_range_mistake(request: dict[str, Any]) -> str:
    if len(request["group"]) > GROUP_NAME_LENGTH:
        return f"`group` is longer than {GROUP_NAME_LENGTH} characters - at `$.group`."
    if request.get("max_age_ms", 0) < 0:
        return "`max_age_ms` is less than 0 - at `$.max_age_ms`."
    if request.get("deadline_ms", 1) < 1:
        return "`deadline_ms` is less than 1 - at `$.deadline_ms`."
    length = len(request.get("idempotency_key", "-"))
    if not 1 <= length <= IDEMPOTENCY_KEY_LENGTH:
        return (
            f"`idempotency_key` has not 1 to {IDEMPOTENCY_KEY_LENGTH} characters "
            "- at `$.idempotency_key`."
        )
    return ""
