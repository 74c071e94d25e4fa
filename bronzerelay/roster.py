"""The roster, stored in the platform's key-value service: joining, leaving, removal.

A daemon joins the roster only when the platform's list of VMs shows its VM. The list
lags, but a VM that was in it and is missing from a later one is gone for good. Its
shares may then go to the other members.
"""

from collections.abc import Callable
from typing import Any

import msgspec
from expression import Ok, Result

from bronzerelay.codes import Code
from bronzerelay.gossip import Gossip
from bronzerelay.membership import Membership, read_addresses
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from bronzerelay.types import MemberEntry, Roster, StoredValue

ROSTER_KEY = "roster"
JOIN_RETRY_MS = 300
CLEANUP_INTERVAL_MS = 1000
# How long an answer of the platform counts as recent: the time between two answers to
# a watcher, for the heartbeats that report them, and for one lost heartbeat.
RECENT_ANSWER_MS = 3000
MAX_CAS_ATTEMPTS = 8
EMPTY_ROSTER: Roster = {"epoch": 0, "members": []}


def add_member(roster: Roster, entry: MemberEntry) -> Roster | None:
    """Return the roster with `entry` in it, or None if it has the entry already."""
    if entry in roster["members"]:
        return None
    others = [member for member in roster["members"] if member["name"] != entry["name"]]
    if len(others) < len(roster["members"]):
        # A VM with a new address keeps its shares, so the roster stays settled.
        return {**roster, "epoch": roster["epoch"] + 1, "members": [*others, entry]}
    return {"epoch": roster["epoch"] + 1, "members": [*others, entry]}


def remove_members(roster: Roster, names: set[str]) -> Roster | None:
    """Return the roster without `names`, or None if it has none of them."""
    others = [member for member in roster["members"] if member["name"] not in names]
    if len(others) == len(roster["members"]):
        return None
    return {"epoch": roster["epoch"] + 1, "members": others}


def mark_settled(roster: Roster, epoch: int) -> Roster | None:
    """Return the roster marked as settled, or None if there is nothing to mark.

    A roster is settled when all of its members have applied it. `epoch` is the epoch
    that they have applied.
    """
    if roster["epoch"] != epoch or roster.get("settled"):
        return None
    return {**roster, "settled": True}


class RosterKeeper:
    """Adds this daemon to the roster, and removes VMs that are gone."""

    def __init__(
        self,
        runtime: Runtime,
        entry: MemberEntry,
        key_value: Any,
        membership: Membership,
        gossip: Gossip,
        log: Any,
    ):
        self._runtime = runtime
        self._entry = entry
        self._key_value = key_value
        self._membership = membership
        self._gossip = gossip
        self._log = log
        self._stopping = False
        self._missing_before: set[str] = set()

    def update(self, edit: Callable[[Roster], Roster | None]) -> bool:
        """Store the roster that `edit` returns; return whether it is stored.

        If another daemon stores one in between, the roster is read and edited again.
        A stored value that is no roster stays as it is.
        """
        for _ in range(MAX_CAS_ATTEMPTS):
            stored = self._read()
            if not stored.is_ok():
                return False
            try:
                roster = msgspec.convert(stored.ok.value, Roster)
                read_addresses(roster)
            except (msgspec.ValidationError, ValueError) as error:
                self._log.warning(
                    "The stored roster can't be used.", extra={"why": str(error)}
                )
                return False
            self._gossip.accept_roster(roster)
            edited = edit(roster)
            if edited is None:
                return True
            put = self._key_value.put(ROSTER_KEY, edited, stored.ok.revision)
            if put.is_ok():
                self._gossip.accept_roster(edited)
                return True
            if put.error.code != Code.COMPARE_FAILED:
                return False
        return False

    def _read(self) -> Result[StoredValue, Any]:
        stored = self._key_value.get(ROSTER_KEY)
        if not stored.is_ok() and stored.error.code == Code.NOT_FOUND:
            return Ok(StoredValue(EMPTY_ROSTER, 0))
        return stored

    def join(self) -> None:
        """Wait until the platform lists this VM, then add this daemon to the roster."""
        while not self._stopping:
            if self._is_listed() and self.update(self._add_self):
                self._log.info("This daemon is in the roster.")
                return
            if not self._runtime.sleep_ms(JOIN_RETRY_MS):
                return

    def _add_self(self, roster: Roster) -> Roster | None:
        return add_member(roster, self._entry)

    def _is_listed(self) -> bool:
        listed = self._key_value.list_vms()
        return listed.is_ok() and any(
            vm.name == self._entry["name"] for vm in listed.ok
        )

    def leave(self) -> bool:
        """Remove this daemon from the roster; it must not admit requests any more."""
        self._stopping = True
        name = self._entry["name"]
        return self.update(lambda roster: remove_members(roster, {name}))

    def clean(self) -> None:
        """Remove VMs that are gone from the roster, and mark settled epochs."""
        while self._runtime.sleep_ms(CLEANUP_INTERVAL_MS):
            if self._is_cleaner():
                self._remove_gone()
                self._mark_settled()

    def _is_cleaner(self) -> bool:
        """Return whether this daemon ranks first of those that the platform answers."""
        alive = self._membership.alive_names()
        answered = self._membership.filter_answered(alive, RECENT_ANSWER_MS)
        return rank("roster", answered or alive)[:1] == [self._entry["name"]]

    def _remove_gone(self) -> None:
        members = set(self._membership.member_names())
        if all(self._membership.is_alive(name) for name in members):
            return
        listed = self._key_value.list_vms()
        if not listed.is_ok():
            return
        missing = members - {vm.name for vm in listed.ok}
        # Tokens that a VM lent before it ended may be spent for `LOAN_LIFE_MS`, and
        # the others must not grow their shares before. So a VM is removed only at the
        # second check, `CLEANUP_INTERVAL_MS` later.
        gone = missing & self._missing_before
        self._missing_before = missing
        if gone:
            self._log.info("VMs are gone.", extra={"vms": sorted(gone)})
            self.update(lambda roster: remove_members(roster, gone))

    def _mark_settled(self) -> None:
        roster = self._membership.roster
        epoch = roster["epoch"]
        if roster.get("settled") or not self._membership.all_applied(roster):
            return
        self.update(lambda current: mark_settled(current, epoch))
