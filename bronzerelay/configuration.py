"""The configuration in force at this daemon; its version never goes back."""

from collections.abc import Callable
from typing import Any

from expression import Ok, Result

from bronzerelay.bundle import check_record, compile_bundle
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.keys import hash_key
from bronzerelay.runtime import Runtime
from bronzerelay.types import ConfigRecord, Configuration, GroupSpec, WorkspaceSpec


class ConfigurationStore:
    """Holds the record in force and tells others when it changes."""

    def __init__(self, runtime: Runtime):
        self._lock = runtime.make_lock()
        self._record: ConfigRecord | None = None
        self._current: Configuration | None = None
        self._applied_version = 0
        self._on_change: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._current

    @property
    def record(self) -> ConfigRecord | None:
        """Return the record in force as peers pass it on, or None."""
        return self._record

    @property
    def version(self) -> int:
        """Return the version that is wholly in force; 0 before the first."""
        return self._applied_version

    def call_on_change(self, function: Callable[[Configuration], None]) -> None:
        """Call `function` with each configuration that comes into force."""
        self._on_change.append(function)

    def accept(self, data: Any) -> bool:
        """Put the record in `data` in force if its version is higher.

        Return whether it was; a malformed record, or one whose digest isn't that of
        its bundle, never is.

        An old watch may answer late, and a peer may be behind. Taking their word
        would bring a withdrawn key back, so that only a higher version counts.
        """
        checked = check_record(data)
        if not checked.is_ok():
            return False
        record = checked.ok
        compiled = compile_bundle(record)
        with self._lock:
            if compiled.version <= self._known_version():
                return False
            # The keys are checked against the new version from here on.
            self._record = record
            self._current = compiled
            for function in self._on_change:
                function(compiled)
            # Told to peers and operators only now: a version that is shown as in
            # force while its groups or rates aren't would end a rollout too early.
            self._applied_version = compiled.version
        return True

    def _known_version(self) -> int:
        return self._current.version if self._current else 0

    # What a request needs

    def check_key(self, workspace: str, key: str) -> Result[WorkspaceSpec, Refusal]:
        """Return the workspace if `key` is one of its own in force."""
        current = self._current
        if current is None:
            return refuse(Code.NO_CONFIGURATION, "No configuration is in force.", 1000)
        if not key:
            return refuse(Code.KEY_MISSING, "The request carries no key.")
        spec = current.workspaces.get(workspace)
        if spec is None:
            return refuse(Code.WORKSPACE_UNKNOWN, f"There is no {workspace!r}.")
        if hash_key(key) not in spec.key_hashes:
            message = f"The key is not one of workspace {workspace!r}, or no longer."
            return refuse(Code.KEY_REJECTED, message)
        return Ok(spec)

    def find_group(self, workspace: WorkspaceSpec, group: str) -> Result:
        """Return the GroupSpec of `group` if the workspace may use it."""
        current = self._current
        if current is None or group not in workspace.groups:
            message = f"Workspace {workspace.name!r} may use no group {group!r}."
            return refuse(Code.GROUP_UNKNOWN, message)
        spec: GroupSpec = current.groups[group]
        return Ok(spec)
