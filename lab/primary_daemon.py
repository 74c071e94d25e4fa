"""A daemon that sends every read to the primary: the baseline of lab.reads."""

from expression import Result

from bronzerelay import daemon
from bronzerelay.codes import Refusal
from bronzerelay.group import GroupServer, Work
from bronzerelay.types import Position


def choose_primary(
    server: GroupServer, work: Work, need: Position
) -> Result[str, Refusal]:
    """Return the primary, with one of its slots taken."""
    return server.acquire_primary(work).map(lambda found: found[0])


if __name__ == "__main__":
    GroupServer._choose_reader = choose_primary
    daemon.main()
