"""Checks of decoded tables that report every mistake, each with its path."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

SHOWN_CHARACTERS = 40


class Mistake(NamedTuple):
    """What is wrong at a path, and what is allowed there."""

    path: str
    message: str
    allowed: str


# Adds the mistakes of the value at a path to a list.
Check = Callable[[str, Any, list[Mistake]], None]


class Field(NamedTuple):
    """A field of a table."""

    check: Check
    required: bool = True


def check_text(pattern: str, allowed: str) -> Check:
    """Return a check for text that matches the whole of `pattern`."""
    expression = re.compile(pattern)

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, str):
            mistakes.append(Mistake(path, f"is {name_type(value)}, not text", allowed))
        elif not expression.fullmatch(value):
            mistakes.append(Mistake(path, f"{show(value)} isn't allowed", allowed))

    return check


def check_text_by(read: Callable[[str], Any], allowed: str) -> Check:
    """Return a check for text that `read` takes without a ValueError."""

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, str):
            mistakes.append(Mistake(path, f"is {name_type(value)}, not text", allowed))
            return
        try:
            read(value)
        except ValueError:
            mistakes.append(Mistake(path, f"{show(value)} isn't allowed", allowed))

    return check


def check_integer(low: int, high: int, allowed: str = "") -> Check:
    """Return a check for an integer from `low` to `high`."""
    allowed = allowed or f"an integer from {low} to {high}"

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, int) or isinstance(value, bool):
            message = f"is {name_type(value)}, not an integer"
            mistakes.append(Mistake(path, message, allowed))
        elif not low <= value <= high:
            mistakes.append(Mistake(path, "is out of range", allowed))

    return check


def check_number(in_range: Callable[[float], bool], allowed: str) -> Check:
    """Return a check for an integer or a float that `in_range` takes.

    `in_range` compares with two bounds, so that it is false of nan and infinity, which
    TOML can write.
    """

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, int | float) or isinstance(value, bool):
            message = f"is {name_type(value)}, not a number"
            mistakes.append(Mistake(path, message, allowed))
        elif not in_range(value):
            mistakes.append(Mistake(path, "is out of range", allowed))

    return check


def check_flag(path: str, value: Any, mistakes: list[Mistake]) -> None:
    """Check that the value is a boolean."""
    if not isinstance(value, bool):
        message = f"is {name_type(value)}, not a boolean"
        mistakes.append(Mistake(path, message, "true or false"))


def check_list(item: Check, low: int = 0, high: int = 100_000) -> Check:
    """Return a check for a list of `low` to `high` items that `item` checks."""
    allowed = f"a list of {low} to {high} items"

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, list):
            message = f"is {name_type(value)}, not a list"
            mistakes.append(Mistake(path, message, allowed))
            return
        if not low <= len(value) <= high:
            mistakes.append(Mistake(path, f"has {len(value)} items", allowed))
        for index, part in enumerate(value):
            item(join_item(path, index, part), part, mistakes)

    return check


def check_table(fields: dict[str, Field]) -> Check:
    """Return a check for a table with these fields and no others."""
    known = ", ".join(fields)

    def check(path: str, value: Any, mistakes: list[Mistake]) -> None:
        if not isinstance(value, dict):
            message = f"is {name_type(value)}, not a table"
            mistakes.append(Mistake(path, message, f"a table with {known}"))
            return
        for name in value:
            if name not in fields:
                where = join_field(path, show(name).strip("'\""))
                mistakes.append(Mistake(where, "is an unknown field", known))
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
    return f"{path}[{index}:{show(label)[1:-1]}]"


def show(value: str) -> str:
    """Return the beginning of a text in quotes, in printable ASCII."""
    if len(value) <= SHOWN_CHARACTERS:
        return ascii(value)
    return ascii(value[:SHOWN_CHARACTERS] + "...")


def name_type(value: Any) -> str:
    """Return what TOML calls the value's type."""
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
