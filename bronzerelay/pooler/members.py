"""The member list in the platform's store, to which each daemon adds itself."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from bronzerelay.decoding import Label, Whole, decode
from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.mirror import Item, Mirror, StoreError
from bronzerelay.pooler.primaryguard import LEASE_MARGIN_MS, LEASE_MS
from bronzerelay.pooler.texts import list_some
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime, parse_ip_address

MEMBER_PREFIX = "bronzerelay/members/"
# Holds as of when all members are known to have known the list. Daemons that restart
# have heard of nobody, and members that are gone for good tell them nothing.
CONFIRMED_KEY = "bronzerelay/known-members"
# How long all members must have known the list until that is recorded, in milliseconds.
# Daemons join and leave in series, and each record costs calls.
CONFIRM_AFTER_MS = 1_000
# Each daemon further down the ranking waits this much longer, in milliseconds, so that
# one usually writes for all.
CONFIRM_STAGGER_MS = 500
# The interval of checks that this daemon is on the list, in milliseconds.
JOIN_CHECK_MS = 300
# The timeout of a stopping daemon's call to take itself off the list, and the pause
# before it tries again, in milliseconds.
LEAVE_TIMEOUT_MS = 700
LEAVE_RETRY_MS = 100
# A member that hasn't been heard for this long is removed from the list, in
# milliseconds; if it still runs, it adds itself again. While it is listed, primary
# changes may wait for it and its share of each rate is reserved. Once it is removed,
# others spend its share, so it must have stopped admitting before (ISOLATED_AFTER_MS).
MEMBER_TIMEOUT_MS = 5_000
# The same where only half of the members are heard, in milliseconds. Of two halves that
# both reach the store each would otherwise remove members of the other one soon.
HALF_TIMEOUT_MS = 30_000
# How long a member that has announced its stop must be silent until it counts as
# stopped, in milliseconds: two heartbeats and some delay, and less than the silence
# after which its part of the rates would be set aside.
STOPPED_AFTER_MS = 450


class Member(NamedTuple):
    """A daemon's entry in the list, with its address for peers as HOST:PORT."""

    name: Label
    address: Label
    # Its failure domain.
    domain: Label = ""


class ConfirmedList(NamedTuple):
    """A store revision as of which each member knew the list, or a later one.

    `count` is the number of members that it had.
    """

    revision: Whole
    count: Whole


NOTHING_CONFIRMED = ConfirmedList(0, 0)
_member_decoder = msgspec.json.Decoder(Member)
_confirmed_decoder = msgspec.json.Decoder(ConfirmedList)


class Members:
    """Reads the member list and maintains it for this daemon."""

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
        own_member = Member(name, str(own.address), own.domain)
        self._own = own_member
        self._own_data = msgspec.json.encode(own_member)
        self._mirror = mirror
        self._gossip = gossip
        self._log = log
        self._others: dict[str, Peer] = {}
        # The store revisions of all entries, as last read.
        self._joined: list[int] = []
        # What was recorded of the list at that time.
        self._confirmed = NOTHING_CONFIRMED
        # Since when all members have known a list for which that isn't recorded.
        self._unconfirmed_since_ms: float | None = None
        # The store revision as of which the list was last read, and the one at which it
        # last changed here.
        self._read_revision = 0
        self._changed_revision = 0
        # The store revision at which the list last lost a member here, and since when
        # all others have known it. Removals from before the first reading aren't known.
        self._removal_revision = 0
        self._removal_known_since_ms: float | None = None
        # Why silent members stay on the list, as last logged.
        self._kept_because = ""
        # The revision of each entry that couldn't be read.
        self._unreadable: dict[str, int] = {}
        self.is_stopping = False

    def list_names(self) -> list[str]:
        """Return the names of all members, this daemon's first."""
        return [self._own.name, *self._others]

    def list_serving(self) -> list[str]:
        """Return the names of the other members that may admit operations.

        One that has announced its stop serves its callers until it falls silent.
        """
        return [name for name in self._others if not self._has_stopped(name)]

    def _has_stopped(self, name: str) -> bool:
        view = self._gossip.views.get(name)
        if view is None or not view.stopping:
            return False
        return self._clock.now_ms() - view.received_at_ms > STOPPED_AFTER_MS

    def is_quorum(self, members: set[str]) -> bool:
        """Return whether the daemons outside `members` can't be a majority."""
        return not self.explain_no_quorum(members)

    def explain_no_quorum(self, members: set[str]) -> str:
        """Return why the daemons outside `members` may be a majority, "" if they can't.

        Exactly half of all members are enough while the others have the same list: no
        majority of it is without one of `members`. With a list from before a member
        joined or was removed, the others could still be a majority of that list. More
        than half aren't enough either if others know a list from before several joins,
        of which they are a majority.
        """
        names = self.list_names()
        if len(members) * 2 < len(names):
            return "they are less than half of the members"
        if self._are_majority_of_earlier_list(members):
            return "the other members may be a majority of an earlier list"
        if len(members) * 2 > len(names):
            return ""
        if self._know_current_list(set(names) - members):
            return ""
        return "the other half of the members may know another list"

    def _know_current_list(self, members: set[str]) -> bool:
        """Return whether none of these members can know another list than this one."""
        items = self._mirror.list_prefix(MEMBER_PREFIX)
        joined_revision = max(item.revision for item in items)
        changed_revision = max(joined_revision, self._changed_revision)
        if self._confirmed.revision >= changed_revision:
            return True
        views = self._gossip.views
        return all(
            name in views and views[name].store_revision >= changed_revision
            for name in members
        )

    def _are_majority_of_earlier_list(self, members: set[str]) -> bool:
        """Return whether daemons outside `members` may be a majority that they know of.

        Each knows the list as of the revision that it last told, or a later one; one
        that was never heard knows it as of its own entry, or as of when all members are
        recorded to have known it.
        """
        joined = {
            item.key.removeprefix(MEMBER_PREFIX): item.revision
            for item in self._mirror.list_prefix(MEMBER_PREFIX)
        }
        outside = joined.keys() - members
        oldest = min((self._find_told(name, joined) for name in outside), default=None)
        if oldest is None:
            return False
        for revision in {oldest, *joined.values()}:
            listed = {name for name, at in joined.items() if at <= revision}
            # A daemon that knows no other gets no proof from members.
            if revision < oldest or len(listed) < 2:
                continue
            if len(listed - members) * 2 > len(listed):
                return True
        return False

    def _find_told(self, name: str, joined: dict[str, int]) -> int:
        """Return the newest store revision that a member is known to have had.

        A daemon behind relays hears few members itself. If those that it never heard
        counted by their entries alone, the first ones to have joined could be a
        majority of the list at that time. When their failure domain loses its power,
        no primary could be changed until they are back.

        What a relay has told of all members stays true: a mirror never goes back, and
        a daemon that restarts loads that of the store or of a member.
        """
        views = self._gossip.views
        told = [one.known_by_all for one in views.values()]
        view = views.get(name)
        if view is not None:
            told += [view.store_revision, view.known_revision]
        return max([joined[name], self._confirmed.revision, *told])

    def is_current(self, revision: int) -> bool:
        """Return whether the list here is as of a store revision or a later one."""
        return self._read_revision >= revision

    def may_have_outsiders(self) -> bool:
        """Return whether a daemon that isn't listed may have a primary proof.

        A removed daemon that still runs may get proofs from members that don't know of
        the removal, and each proof is valid for a lease.
        """
        since_ms = self._removal_known_since_ms
        if since_ms is None:
            return True
        return self._clock.now_ms() - since_ms <= LEASE_MS + LEASE_MARGIN_MS

    # This daemon's entry

    def is_listed(self) -> bool:
        """Return whether this daemon is on the list, by all that is known of it.

        An item that is newer than the mirror's revision comes from a load whose pages
        are no snapshot, and other updates may be missing.
        """
        known = self._mirror.get(MEMBER_PREFIX + self._own.name)
        return (
            known is not None
            and known.data == self._own_data
            and known.revision <= self._mirror.revision
        )

    def maintain(self) -> None:
        """Keep this daemon listed until it stops, and record who knows the list."""
        key = MEMBER_PREFIX + self._own.name
        while not self._runtime.stopping:
            if self._mirror.loaded and not self.is_stopping:
                known = self._mirror.get(key)
                if known is None or known.data != self._own_data:
                    self._put(key, self._own_data, known)
                else:
                    self._confirm()
            self._runtime.sleep_ms(JOIN_CHECK_MS)

    def _put(self, key: str, data: bytes, known: Item | None) -> None:
        revision = known.revision if known else 0
        try:
            self._mirror.compare_and_swap({key: revision}, {key: data}, [])
        except StoreError as error:
            # The watch shows whether it took effect; if not, it is tried again.
            self._log.write(
                "members",
                "This daemon couldn't add itself to the member list.",
                error=str(error),
            )
        self._runtime.sleep_ms(JOIN_CHECK_MS)

    def leave(self, deadline_ms: float) -> None:
        """Take this daemon off the list before it ends, trying until `deadline_ms`.

        Nothing waits for it any more once it is off the list. So before the call it
        must have given up its proof, and sent its last heartbeat.
        """
        key = MEMBER_PREFIX + self._own.name
        error_text = ""
        # A try without an answer may have removed it, which the mirror shows.
        while (item := self._mirror.get(key)) is not None:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                self._log.write(
                    "members",
                    "This daemon couldn't take itself off the member list.",
                    error=error_text,
                )
                return
            try:
                self._mirror.compare_and_swap(
                    {key: item.revision}, {}, [key], min(left_ms, LEAVE_TIMEOUT_MS)
                )
                break
            except StoreError as error:
                error_text = str(error)
                self._runtime.sleep_ms(LEAVE_RETRY_MS)
        self._log.write("members", "This daemon has left the member list.")

    # The others

    def update(self) -> dict[str, Peer] | None:
        """Read the list; return the other members if they changed, else None."""
        listed = self._mirror.snapshot(MEMBER_PREFIX)
        others = self._decode(listed.items)
        self._note_removals(others, listed.revision)
        self._joined = [item.revision for item in listed.items]
        self._read_confirmed(listed.revision)
        changed = others != self._others
        if changed:
            self._log.write(
                "members", "The member list changed.", members=sorted(others)
            )
            is_first = self._read_revision == 0
            self._changed_revision = (
                self._confirmed.revision
                if is_first and self._is_confirmed()
                else listed.revision
            )
            self._others = others
        self._read_revision = listed.revision
        return others if changed else None

    # What is recorded of the list

    def _confirm(self) -> None:
        """Record that all members know the list, once they have for a while."""
        if self._joined and not self._is_confirmed():
            revision = max(*self._joined, self._changed_revision)
            if self._is_known_by_all(revision, self._others):
                self._confirm_in_turn(ConfirmedList(revision, len(self._joined)))
                return
        self._unconfirmed_since_ms = None

    def _confirm_in_turn(self, confirmed: ConfirmedList) -> None:
        now_ms = self._clock.now_ms()
        if self._unconfirmed_since_ms is None:
            self._unconfirmed_since_ms = now_ms
        place = rank("confirm", self.list_names()).index(self._own.name)
        wait_ms = CONFIRM_AFTER_MS + place * CONFIRM_STAGGER_MS
        if now_ms - self._unconfirmed_since_ms < wait_ms:
            return
        self._unconfirmed_since_ms = None
        known = self._mirror.get(CONFIRMED_KEY)
        data = msgspec.json.encode(confirmed)
        try:
            self._mirror.compare_and_swap(
                {CONFIRMED_KEY: known.revision if known else 0},
                {CONFIRMED_KEY: data},
                [],
            )
            self._log.write(
                "members",
                "All members know the list.",
                at=confirmed.revision,
                members=confirmed.count,
            )
        except StoreError as error:
            self._log.write(
                "members",
                "It couldn't be recorded that all members know the list.",
                error=str(error),
            )

    def _read_confirmed(self, list_revision: int) -> None:
        """Read what is recorded of the list, as far as it is as old as the list read.

        What can't be read says nothing.
        """
        item = self._mirror.get(CONFIRMED_KEY)
        if item is None or item.revision > list_revision:
            return
        try:
            confirmed = decode(_confirmed_decoder, item.data or b"")
            if confirmed.revision >= item.revision:
                raise ValueError("it names a revision that is no earlier one")
            self._confirmed = confirmed
        except ValueError as error:
            message = "What is recorded of the member list can't be read."
            self._note_unreadable(item, message, error)

    def _is_confirmed(self) -> bool:
        """Return whether the list is the one that all members are recorded to know.

        A member that has joined since is newer, and a removal makes the list shorter.
        """
        return (
            len(self._joined) == self._confirmed.count
            and max(self._joined, default=0) <= self._confirmed.revision
        )

    def _note_removals(self, others: dict[str, Peer], revision: int) -> None:
        if self._removal_revision == 0 or self._others.keys() - others.keys():
            self._removal_revision = revision
            self._removal_known_since_ms = None
        if not self._is_known_by_all(self._removal_revision, others):
            self._removal_known_since_ms = None
        elif self._removal_known_since_ms is None:
            self._removal_known_since_ms = self._clock.now_ms()

    def _is_known_by_all(self, revision: int, others: Iterable[str]) -> bool:
        """Return whether all others have a store revision, or a relay says so."""
        views = self._gossip.views
        if all(
            name in views and views[name].known_revision >= revision for name in others
        ):
            return True
        oldest_ms = self._clock.now_ms() - LEASE_MS
        return revision > 0 and any(
            view.known_by_all >= revision and view.received_at_ms >= oldest_ms
            for view in views.values()
        )

    def _decode(self, items: list[Item]) -> dict[str, Peer]:
        others = {}
        for item in items:
            try:
                member = decode(_member_decoder, item.data or b"")
                address = parse_ip_address(member.address)
                if item.key != MEMBER_PREFIX + member.name:
                    raise ValueError(f"it is the entry of {member.name!r}")
                others[member.name] = Peer(address, member.domain)
            except ValueError as error:
                self._note_unreadable(item, "A member's entry can't be read.", error)
        others.pop(self._own.name, None)
        return others

    def _note_unreadable(self, item: Item, message: str, error: ValueError) -> None:
        """Log that an entry can't be read, once for each of its revisions."""
        if self._unreadable.get(item.key) == item.revision:
            return
        self._unreadable[item.key] = item.revision
        self._log.write("members", message, key=item.key, error=str(error))

    def _list_heard(self) -> set[str]:
        """Return the members that know the current list and were heard lately."""
        oldest_ms = self._clock.now_ms() - LEASE_MS
        heard = {
            name
            for name, view in self._gossip.views.items()
            if view.heard_up_to_ms >= oldest_ms
            and view.known_revision >= self._changed_revision
        }
        return heard | {self._own.name}

    def _explain_no_removal(self, silent: set[str], silent_ms: float) -> str:
        """Return why silent members have to stay on the list, "" if they haven't.

        Majorities of two lists that differ by one member have a member in common. If
        lists differed more, the others could be a majority of the list that they know,
        and use a primary that this side replaces. The same holds for half of a list and
        a majority of the next one while the other half has no other list.
        """
        heard = self._list_heard()
        count = len(self.list_names())
        is_half = len(heard) * 2 == count and silent_ms > HALF_TIMEOUT_MS
        if is_half and not self._know_current_list(set(self.list_names()) - heard):
            return "the other half of the members may know another list"
        if len(heard) * 2 <= count and not is_half:
            return "most members aren't heard, or don't know the current list"
        # Off the list, nothing would wait for their proofs any more.
        if self._are_majority_of_earlier_list(set(self.list_names()) - silent):
            return "they may be a majority of an earlier list"
        return ""

    def _note_kept(self, silent: list[str], obstacle: str) -> None:
        """Log that silent members stay on the list, once for each reason."""
        if obstacle and obstacle != self._kept_because:
            self._log.write(
                "members",
                "Silent members stay on the list.",
                obstacle=obstacle,
                count=len(silent),
                silent=list_some(silent),
                members=len(self.list_names()),
            )
        self._kept_because = obstacle

    def remove_silent(self) -> None:
        """Remove from the list one contact that has been silent for too long."""
        now_ms = self._clock.now_ms()
        views = self._gossip.views
        silent_ms = {
            name: now_ms
            - max(view.received_at_ms, view.listed_at_ms, view.contact_since_ms)
            for name, view in views.items()
            if view.contact_since_ms is not None
        }
        silent = [name for name, one in silent_ms.items() if one > MEMBER_TIMEOUT_MS]
        if not silent:
            self._kept_because = ""
            return
        name = max(silent, key=lambda one: silent_ms[one])
        obstacle = self._explain_no_removal(set(silent), silent_ms[name])
        self._note_kept(silent, obstacle)
        if obstacle:
            return
        views[name].listed_at_ms = self._clock.now_ms()
        item = self._mirror.get(MEMBER_PREFIX + name)
        if item is None:
            return
        try:
            self._mirror.compare_and_swap({item.key: item.revision}, {}, [item.key])
            self._log.write("members", "A silent member was removed.", peer=name)
        except StoreError as error:
            self._log.write(
                "members",
                "A silent member couldn't be removed.",
                peer=name,
                error=str(error),
            )
