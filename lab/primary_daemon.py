"""A daemon that sends every read to the primary, as the baseline for lab.reads."""

from expression import Result

from bronzerelay import daemon
from bronzerelay.codes import Refusal
from bronzerelay.reads import Reader
from bronzerelay.types import Position
from bronzerelay.work import Work


def choose_primary(reader: Reader, work: Work, need: Position) -> Result[str, Refusal]:
    """Acquire a slot of the primary, and return the primary's name."""
    return reader._instances.acquire_primary(work).map(lambda slot: slot[0])


if __name__ == "__main__":
    Reader._acquire_slot = choose_primary
    daemon.main()
