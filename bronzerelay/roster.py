"""The roster in the platform's service: joining, leaving, and the proof of death.

A daemon joins only once the platform's list shows its VM. So a listed VM that is
missing from a later list is gone for good, and not one that the lagging list doesn't
show yet; its share may then go to the others.
"""

from collections.abc import Callable
from typing import Any

from expression import Ok, Result

from bronzerelay.codes import Code
from bronzerelay.gossip import Gossip
from bronzerelay.membership import Membership
from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime
from bronzerelay.types import MemberEntry, Roster, StoredValue

ROSTER_KEY = "roster"
JOIN_RETRY_MS = 300
JANITOR_MS = 1000
# How long an answer of the platform counts, in milliseconds: what the watchers' answers
# and the heartbeats that tell of them take, and a lost one.
ANSWERED_MS = 3000
CAS_TRIES = 8
EMPTY_ROSTER: Roster = {"epoch": 0, "members": []}


def add_member(roster: Roster, entry: MemberEntry) -> Roster | None:
    """Return the roster with `entry` in it, or None when it holds it already."""
    if entry in roster["members"]:
        return None
    others = [one for one in roster["members"] if one["name"] != entry["name"]]
    if len(others) < len(roster["members"]):
        # The same VM with a new address is the same holder of the same share.
        return {**roster, "epoch": roster["epoch"] + 1, "members": [*others, entry]}
    return {"epoch": roster["epoch"] + 1, "members": [*others, entry]}


def remove_members(roster: Roster, names: set[str]) -> Roster | None:
    """Return the roster without `names`, or None when it holds none of them."""
    others = [one for one in roster["members"] if one["name"] not in names]
    if len(others) == len(roster["members"]):
        return None
    return {"epoch": roster["epoch"] + 1, "members": others}


def settle_epoch(roster: Roster, epoch: int) -> Roster | None:
    """Return the roster marked as settled, or None when it has moved on."""
    if roster["epoch"] != epoch or roster.get("settled"):
        return None
    return {**roster, "settled": True}


class RosterKeeper:
    """Brings this daemon into the roster, and takes VMs out that are gone."""

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
        self._missing: set[str] = set()

    def change(self, edit: Callable[[Roster], Roster | None]) -> bool:
        """Store what `edit` makes of the roster; return whether it is in the platform.

        Somebody else may be faster: then it is read and edited again.
        """
        for _ in range(CAS_TRIES):
            stored = self._read()
            if not stored.is_ok():
                return False
            self._gossip.accept_roster(stored.ok.value)
            edited = edit(stored.ok.value)
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
        """Join as soon as the platform lists this VM; end when that is done."""
        while not self._stopping:
            if self._is_listed() and self.change(self._add_self):
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
        """Take this daemon out of the roster; it must not admit any more."""
        self._stopping = True
        name = self._entry["name"]
        return self.change(lambda roster: remove_members(roster, {name}))

    def clean(self) -> None:
        """Take VMs that are gone out of the roster, and note settled epochs."""
        while self._runtime.sleep_ms(JANITOR_MS):
            if self._is_janitor():
                self._remove_gone()
                self._settle()

    def _is_janitor(self) -> bool:
        """Return whether this daemon comes first of those whom the platform answers."""
        alive = self._membership.alive_names()
        answered = self._membership.list_answered(alive, ANSWERED_MS)
        return rank("roster", answered or alive)[:1] == [self._entry["name"]]

    def _remove_gone(self) -> None:
        members = set(self._membership.member_names())
        if all(self._membership.is_alive(name) for name in members):
            return
        listed = self._key_value.list_vms()
        if not listed.is_ok():
            return
        missing = members - {vm.name for vm in listed.ok}
        # What a VM lent before it went can be spent for `LOAN_LIFE_MS`, and the
        # others would grow into it. From one look to the next more has passed.
        gone = missing & self._missing
        self._missing = missing
        if gone:
            self._log.info("VMs are gone.", extra={"vms": sorted(gone)})
            self.change(lambda roster: remove_members(roster, gone))

    def _settle(self) -> None:
        roster = self._membership.roster
        epoch = roster["epoch"]
        if roster.get("settled") or not self._membership.all_applied(roster):
            return
        self.change(lambda current: settle_epoch(current, epoch))
