"""Who the other daemons are: a list in the platform's store that each joins itself."""

from typing import NamedTuple

import msgspec

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.mirror import Item, Mirror, StoreError
from bronzerelay.pooler.primaryguard import LEASE_MS
from bronzerelay.runtime import Runtime, parse_address

MEMBER_PREFIX = "bronzerelay/members/"
# Time between two looks whether this daemon is on the list, in milliseconds.
JOIN_RETRY_MS = 300
# A member that nobody here has heard of for this long is taken off the list, in
# milliseconds. One that lives on puts itself back. While it is listed a change of
# primary may wait for it, and its part of each rate is set aside for it; off the list
# its part is spent by others, so that it must have stopped before (CUT_OFF_MS).
GONE_MEMBER_MS = 5_000


class Member(NamedTuple):
    """A daemon as the list has it, with its address for peers as HOST:PORT."""

    name: str
    address: str
    # Its failure domain.
    domain: str = ""


class Members:
    """The list of members, as this daemon knows and keeps it."""

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        own: Peer,
        mirror: Mirror,
        gossip: Gossip,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._own = Member(name, str(own.address), own.domain)
        self._mirror = mirror
        self._gossip = gossip
        self._log = log
        self._others: dict[str, Peer] = {}
        # The store's revision when the list last changed here.
        self._changed_at = 0
        self.is_stopping = False

    def list_names(self) -> list[str]:
        """Return the names of all members, this daemon's first."""
        return [self._own.name, *self._others]

    def list_serving(self) -> list[str]:
        """Return the names of the other members that didn't say they were stopping."""
        views = self._gossip.views
        return [
            name
            for name in self._others
            if not (name in views and views[name].stopping)
        ]

    def is_quorum(self, known: set[str]) -> bool:
        """Return whether no other daemons than `known` can be most of all members.

        Exactly half of them are enough while the others have the same list: most of
        it can't be found without one of `known`. With a list from before somebody
        joined, or was removed, they could still be most of theirs.
        """
        names = self.list_names()
        if len(known) * 2 != len(names):
            return len(known) * 2 > len(names)
        joined_at = max(item.revision for item in self._list_items())
        changed_at = max(joined_at, self._changed_at)
        views = self._gossip.views
        others = [views.get(name) for name in names if name not in known]
        return all(
            view is not None and view.store_revision >= changed_at for view in others
        )

    # The own entry

    def join(self) -> None:
        """Put this daemon on the list, and keep it there, until the runtime stops."""
        key = MEMBER_PREFIX + self._own.name
        data = msgspec.json.encode(self._own)
        while not self._runtime.stopping:
            if self._mirror.loaded and not self.is_stopping:
                known = self._mirror.get(key)
                if known is None or known.data != data:
                    self._put(key, data, known)
            self._runtime.sleep_ms(JOIN_RETRY_MS)

    def _put(self, key: str, data: bytes, known: Item | None) -> None:
        revision = known.revision if known else 0
        try:
            self._mirror.compare_and_swap({key: revision}, {key: data}, [])
        except StoreError as error:
            # The watch shows what became of it; it is tried again if need be.
            self._log.write("members", "Joining failed.", error=str(error))
        self._runtime.sleep_ms(JOIN_RETRY_MS)

    # The others

    def update(self) -> dict[str, Peer] | None:
        """Read the list; return the others when they changed, else None."""
        others = self._read()
        if others == self._others:
            return None
        self._changed_at = self._mirror.revision
        self._log.write("members", "The members changed.", members=sorted(others))
        self._others = others
        return others

    def _read(self) -> dict[str, Peer]:
        others = {}
        for item in self._list_items():
            try:
                member = msgspec.json.decode(item.data or b"", type=Member)
                address = parse_address(member.address)
                others[member.name] = Peer(address, member.domain)
            except (msgspec.DecodeError, ValueError) as error:
                self._log.write(
                    "members", "A member can't be read.", key=item.key, error=str(error)
                )
        others.pop(self._own.name, None)
        return others

    def _list_items(self) -> list[Item]:
        return self._mirror.list_prefix(MEMBER_PREFIX)

    def _hears_most(self) -> bool:
        """Return whether most members were just heard of and know the list as it is.

        Most of a list and most of the list before it have a member in common. Without
        one, the others could still be most of a list that they know, and use a primary
        that this side replaces.
        """
        oldest_ms = self._clock.now_ms() - LEASE_MS
        heard = [
            view
            for view in self._gossip.views.values()
            if view.told_at_ms >= oldest_ms and view.knew_at >= self._changed_at
        ]
        return (1 + len(heard)) * 2 > len(self.list_names())

    def remove_silent(self) -> None:
        """Take one member off the list that is addressed and silent for very long."""
        oldest_ms = self._clock.now_ms() - GONE_MEMBER_MS
        views = {
            name: view
            for name, view in self._gossip.views.items()
            if view.addressed_since_ms is not None
        }
        gone = [
            name
            for name, view in views.items()
            if max(view.received_at_ms, view.listed_at_ms, view.addressed_since_ms)
            < oldest_ms
        ]
        if not gone or not self._hears_most():
            return
        name = gone[0]
        views[name].listed_at_ms = self._clock.now_ms()
        item = self._mirror.get(MEMBER_PREFIX + name)
        if item is None:
            return
        try:
            self._mirror.compare_and_swap({item.key: item.revision}, {}, [item.key])
            self._log.write("members", "A silent member was removed.", peer=name)
        except StoreError as error:
            self._log.write("members", "Removing failed.", peer=name, error=str(error))
