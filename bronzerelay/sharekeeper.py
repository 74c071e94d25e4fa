"""Carries rosters and configurations over to the shares of the rates."""

from typing import NamedTuple

from bronzerelay.membership import Membership, names_of
from bronzerelay.runtime import Runtime
from bronzerelay.shares import Shares
from bronzerelay.types import Configuration


class RosterStep(NamedTuple):
    """A roster's epoch, and whether all members are known to have applied it."""

    epoch: int
    confirmed: bool


class ShareKeeper:
    """Lets parts shrink at once, and grow when all members are known to have shrunk."""

    def __init__(self, runtime: Runtime, membership: Membership, shares: Shares):
        # Rosters come in through several tasks. One that was held up between reading
        # the roster and setting it would put an old one back in force.
        self._lock = runtime.make_lock()
        self._membership = membership
        self._shares = shares
        self._set = RosterStep(0, False)
        self._version = 0
        self._confirmed_version = 0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Take over the workspaces of a configuration."""
        with self._lock:
            self._shares.set_workspaces(list(configuration.workspaces.values()))
            self._version = configuration.version
            self._membership.note_config(configuration.version)

    def apply_roster(self) -> None:
        """Take over the roster in force."""
        with self._lock:
            self._apply_roster()

    def confirm(self) -> None:
        """Grow into what others gave up; call it again and again."""
        with self._lock:
            self._apply_roster()
            self._confirm_workspaces()

    def _apply_roster(self) -> None:
        roster = self._membership.roster
        step = RosterStep(roster["epoch"], self._membership.all_applied(roster))
        if step != self._set:
            self._shares.set_members(names_of(roster), step.confirmed)
            self._set = step
        # Loans from the larger part of before may be out: nobody may grow yet.
        if self._membership.applied_epoch < step.epoch and self._shares.has_shrunk():
            self._membership.note_applied(step.epoch)

    def _confirm_workspaces(self) -> None:
        version = self._version
        if version == self._confirmed_version:
            return
        if self._membership.all_configured(version):
            self._shares.confirm_workspaces()
            self._confirmed_version = version
