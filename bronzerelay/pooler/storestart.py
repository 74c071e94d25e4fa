"""Decides at a daemon's start whether it loads the store or takes a member's mirror.

A store that holds little is loaded at once. If its answer turns out to be large, it
isn't awaited, and the member list, which is small, is read. In a small fleet each
daemon then loads the store, as do the first daemons of each failure domain in a large
one. The others wait for a relay's mirror, and load the store only if none comes.
"""

from collections.abc import Callable

from bronzerelay.load.storepace import (
    SMALL_STORE_BYTES,
    find_load_delay_ms,
    find_turn_ms,
)
from bronzerelay.pooler.contacts import Contacts
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.mirror import FIRST_RELAY_CHECK_MS, Mirror
from bronzerelay.runtime import Runtime


class StoreStart:
    """The start of one daemon at the store."""

    def __init__(
        self,
        runtime: Runtime,
        mirror: Mirror,
        contacts: Contacts,
        read_members: Callable[[], int],
        count_members: Callable[[], int],
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._mirror = mirror
        self._contacts = contacts
        # Reads the member list and returns its length; raises StoreError.
        self._read_members = read_members
        # Returns the length of the list that is known.
        self._count_members = count_members
        self._log = log
        # When this daemon loads or watches the store if no member informs it.
        self._due_ms: float | None = None
        # Whether the member list was empty, so that all daemons start for the first
        # time.
        self._is_first = False

    def prepare_load(self) -> bool:
        """Return whether to load the store now; False if a mirror was taken or awaited.

        Raise StoreError if the member list can't be read.
        """
        if self._due_ms is None:
            if self._mirror.load_if_small(SMALL_STORE_BYTES):
                self._is_first = self._count_members() == 0
                return False
            self._is_first = self._read_members() == 0
            self._set_due()
        if self._is_first or self._clock.now_ms() >= self._due_ms:
            return True
        if self._mirror.follow_first():
            self._log.write(
                "store",
                "A member's mirror was taken in place of a load.",
                at=self._mirror.revision,
                place=self._contacts.find_place(),
                left_ms=round(self._due_ms - self._clock.now_ms()),
            )
            self._due_ms = self._clock.now_ms()
        elif self._mirror.avoids_relay():
            # Its mirror didn't come, so waiting on is of no use.
            place = self._contacts.find_place()
            self._due_ms = min(self._due_ms, self._clock.now_ms() + find_turn_ms(place))
        return False

    def prepare_watch(self) -> bool:
        """Return whether to watch the store now; False if a relay is awaited.

        Where all daemons start for the first time each has found no other, and what is
        written meanwhile would go to each of them. Raise StoreError if the member list
        can't be read.
        """
        if self._is_first:
            self._read_members()
            self._is_first = False
            self._set_due()
        if self._due_ms is None or self._clock.now_ms() >= self._due_ms:
            return True
        self._runtime.sleep_ms(FIRST_RELAY_CHECK_MS)
        return False

    def _set_due(self) -> None:
        delay_ms = find_load_delay_ms(
            self._contacts.find_place(), self._contacts.is_mesh()
        )
        self._due_ms = self._clock.now_ms() + delay_ms
