"""Applies rosters and configurations to this daemon's shares of the rates."""

from typing import NamedTuple

from bronzerelay.membership import Membership, names_of
from bronzerelay.runtime import Runtime
from bronzerelay.shares import Shares
from bronzerelay.types import Configuration


class AppliedRoster(NamedTuple):
    """A roster epoch, and whether all members are known to have applied it."""

    epoch: int
    confirmed: bool


class ShareKeeper:
    """Shrinks shares at once, and grows them when all members have shrunk theirs."""

    def __init__(self, runtime: Runtime, membership: Membership, shares: Shares):
        # Several tasks apply rosters. Without the lock, a task that was delayed between
        # reading the roster and applying it could put an old roster back in force.
        self._lock = runtime.make_lock()
        self._membership = membership
        self._shares = shares
        self._applied = AppliedRoster(0, False)
        self._config_version = 0
        self._confirmed_config_version = 0

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the workspaces of a configuration."""
        with self._lock:
            self._shares.set_workspaces(list(configuration.workspaces.values()))
            self._config_version = configuration.version
            self._membership.note_config_version(configuration.version)

    def apply_roster(self) -> None:
        """Apply the roster in force."""
        with self._lock:
            self._apply_roster()

    def confirm(self) -> None:
        """Grow the shares if all members allow it; must be called periodically."""
        with self._lock:
            self._apply_roster()
            self._confirm_workspaces()

    def _apply_roster(self) -> None:
        roster = self._membership.roster
        current = AppliedRoster(roster["epoch"], self._membership.all_applied(roster))
        if current != self._applied:
            self._shares.set_members(names_of(roster), current.confirmed)
            self._applied = current
        # While loans from a larger share may still be spent, others must not grow.
        if self._membership.applied_epoch < current.epoch and self._shares.loans_fit():
            self._membership.note_applied_epoch(current.epoch)

    def _confirm_workspaces(self) -> None:
        version = self._config_version
        if version == self._confirmed_config_version:
            return
        if self._membership.all_configured(version):
            self._shares.confirm_workspaces()
            self._confirmed_config_version = version
