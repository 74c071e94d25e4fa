"""A daemon that sends every read to the primary: the baseline of lab.reads."""

from expression import Result

from bronzerelay import daemon
from bronzerelay.codes import Refusal
from bronzerelay.reads import Reader
from bronzerelay.types import Position
from bronzerelay.work import Work


def choose_primary(reader: Reader, work: Work, need: Position) -> Result[str, Refusal]:
    """Return the primary, with one of its slots taken."""
    return reader._instances.acquire_primary(work).map(lambda found: found[0])


if __name__ == "__main__":
    Reader._acquire_slot = choose_primary
    daemon.main()
