"""Shortens what goes into the log: callers' texts, and names of many daemons."""

from collections.abc import Iterable

OMISSION = "..."
# The most names that a list in a line of the log holds.
MAX_LISTED = 20


def shorten(text: str, limit: int) -> str:
    """Return the text, or its beginning and its end if it is over `limit` characters.

    The result is longer than `limit` by the dots for what is left out.
    """
    if len(text) <= limit:
        return text
    end = limit // 2
    return text[: limit - end] + OMISSION + text[len(text) - end :]


def list_some(names: Iterable[str]) -> list[str]:
    """Return the first names in order, as many as a line of the log may hold."""
    return sorted(names)[:MAX_LISTED]
