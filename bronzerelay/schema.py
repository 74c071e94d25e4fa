"""Checks of decoded TOML tables that report every mistake, each with its path."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

MAX_QUOTED_CHARACTERS = 40


class Mistake(NamedTuple):
    """What is wrong at a path, and what is allowed there."""

    path: str
    message: str
    allowed: str


# Checks the value at a path and appends its mistakes to a list.
Check = Callable[[str, Any, list[Mistake]], None]


class Field(NamedTuple):
    """A field of a table: the check of its value, and whether it must be there."""

    check: Check
    required: bool = True


def check_text(pattern: str, allowed: str) -> Check:
    """Return a check for text that matches `pattern` from start to end."""
    expression = re.compile(pattern)

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, str):
            mistakes.append(
                Mistake(path, f"is {describe_type(value)}, not text", allowed)
            )
        elif not expression.fullmatch(value):
            mistakes.append(Mistake(path, f"{quote(value)} isn't allowed", allowed))

    return check


def check_parsed_text(parse: Callable[[str], Any], allowed: str) -> Check:
    """Return a check for text that `parse` accepts without a ValueError."""

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, str):
            mistakes.append(
                Mistake(path, f"is {describe_type(value)}, not text", allowed)
            )
            return
        try:
            parse(value)
        except ValueError:
            mistakes.append(Mistake(path, f"{quote(value)} isn't allowed", allowed))

    return check


def check_integer(low: int, high: int, allowed: str = "") -> Check:
    """Return a check for an integer from `low` to `high`."""
    allowed = allowed or f"an integer from {low} to {high}"

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, int) or isinstance(value, bool):
            message = f"is {describe_type(value)}, not an integer"
            mistakes.append(Mistake(path, message, allowed))
        elif not low <= value <= high:
            mistakes.append(Mistake(path, "is out of range", allowed))

    return check


def check_number(in_range: Callable[[float], bool], allowed: str) -> Check:
    """Return a check for an integer or a float for which `in_range` is true.

    `in_range` must compare with a lower and an upper bound, so that it rejects nan and
    infinity, which TOML allows.
    """

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, int | float) or isinstance(value, bool):
            message = f"is {describe_type(value)}, not a number"
            mistakes.append(Mistake(path, message, allowed))
        elif not in_range(value):
            mistakes.append(Mistake(path, "is out of range", allowed))

    return check


def check_boolean(path: str, value: Any, mistakes: list[Mistake]) -> None:
    """Check that the value is a boolean."""
    if not isinstance(value, bool):
        message = f"is {describe_type(value)}, not a boolean"
        mistakes.append(Mistake(path, message, "true or false"))


def check_list(check_item: Check, low: int = 0, high: int = 100_000) -> Check:
    """Return a check for a list of `low` to `high` items, each passing `check_item`."""
    allowed = f"a list of {low} to {high} items"

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, list):
            message = f"is {describe_type(value)}, not a list"
            mistakes.append(Mistake(path, message, allowed))
            return
        if not low <= len(value) <= high:
            mistakes.append(Mistake(path, f"has {len(value)} items", allowed))
        for index, element in enumerate(value):
            check_item(join_item(path, index, element), element, mistakes)

    return check


def check_table(fields: dict[str, Field]) -> Check:
    """Return a check for a table with these fields and no others."""
    field_names = ", ".join(fields)

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, dict):
            message = f"is {describe_type(value)}, not a table"
            mistakes.append(Mistake(path, message, f"a table with {field_names}"))
            return
        for name in value:
            if name not in fields:
                where = join_field(path, quote(name).strip("'\""))
                mistakes.append(Mistake(where, "is an unknown field", field_names))
        for name, field in fields.items():
            where = join_field(path, name)
            if name in value:
                field.check(where, value[name], mistakes)
            elif field.required:
                mistakes.append(Mistake(where, "is missing", "the field is required"))

    return check


def join_field(path: str, name: str) -> str:
    """Return the path of a field of the table at `path`."""
    return f"{path}.{name}" if path else name


def join_item(path: str, index: int, value: Any) -> str:
    """Return the path of an item of a list, counted from 0, with its name or id."""
    label = ""
    if isinstance(value, dict):
        label = value.get("name") or value.get("id")
    if not isinstance(label, str) or not label:
        return f"{path}[{index}]"
    return f"{path}[{index}:{quote(label)[1:-1]}]"


def quote(value: str) -> str:
    """Return the text in quotes and in printable ASCII, cut off when it is long."""
    if len(value) <= MAX_QUOTED_CHARACTERS:
        return ascii(value)
    return ascii(value[:MAX_QUOTED_CHARACTERS] + "...")


def describe_type(value: Any) -> str:
    """Return the value's type with an article, as messages name it."""
    if isinstance(value, bool):
        return "a boolean"
    names = {
        str: "text",
        int: "an integer",
        float: "a float",
        list: "a list",
        dict: "a table",
        type(None): "empty",
    }
    return names.get(type(value), "a date or time")
