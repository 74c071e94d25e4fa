"""Which of several equally good instances becomes the primary of a service.

The load that it answers: primaries serve all writes, so that several of them in one
failure domain fill its instances, and are lost together with it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bronzerelay.types import Position


class Successor(NamedTuple):
    """An instance that may become primary: its failure domain and its log's end."""

    id: str
    domain: str
    received: Position
    leaving: bool = False


def choose_successor(
    successors: Sequence[Successor], primary_domains: Sequence[str]
) -> Successor | None:
    """Return the successor with the longest log, or None if there are none.

    Among equal ones it is the first of those that stay and whose failure domain has the
    fewest primaries. `primary_domains` holds the domains of the other services'
    primaries.
    """
    return max(
        successors,
        key=lambda one: (
            one.received,
            not one.leaving,
            -primary_domains.count(one.domain),
        ),
        default=None,
    )
