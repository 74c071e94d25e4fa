"""Rendezvous hashing: in which order daemons are responsible for a name."""

from collections.abc import Iterable

import xxhash


def rank(name: str, members: Iterable[str]) -> list[str]:
    """Return `members` in the order in which they are responsible for `name`.

    When a member leaves, only the names for which it was the first one move.
    """
    return sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{name}\0{member}".encode()),
        reverse=True,
    )
