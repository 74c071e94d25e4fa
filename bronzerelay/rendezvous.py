"""Rendezvous hashing: which daemons stand first for a name."""

from collections.abc import Iterable

import xxhash


def rank(name: str, members: Iterable[str]) -> list[str]:
    """Return `members`, the one that serves `name` first at the front.

    When a member leaves, only the names that it served move.
    """
    return sorted(
        members,
        key=lambda member: xxhash.xxh64_intdigest(f"{name}\0{member}".encode()),
        reverse=True,
    )
