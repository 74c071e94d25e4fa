"""The configuration in force at this daemon; its version never decreases."""

from collections.abc import Callable
from typing import Any

from expression import Ok, Result

from bronzerelay.bundle import check_record, compile_bundle
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.keys import hash_key
from bronzerelay.runtime import Runtime
from bronzerelay.types import ConfigRecord, Configuration, GroupSpec, WorkspaceSpec


class ConfigurationStore:
    """Holds the record in force and notifies callbacks when it changes."""

    def __init__(self, runtime: Runtime):
        self._lock = runtime.make_lock()
        self._record: ConfigRecord | None = None
        self._current: Configuration | None = None
        self._applied_version = 0
        self._callbacks: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._current

    @property
    def record(self) -> ConfigRecord | None:
        """Return the record in force, as exchanged with peers, or None."""
        return self._record

    @property
    def version(self) -> int:
        """Return the version that is completely in force; 0 before the first."""
        return self._applied_version

    def call_on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each configuration that comes into force."""
        self._callbacks.append(callback)

    def accept(self, data: Any) -> bool:
        """Put the record in `data` in force if its version is higher than the current.

        Return whether it was put in force. A malformed record, or one whose digest
        doesn't match its bundle, never is.

        Only a higher version is accepted because the answer to an old watch may arrive
        late, and a peer may be behind; an older version could restore a withdrawn key.
        """
        checked = check_record(data)
        if not checked.is_ok():
            return False
        record = checked.ok
        configuration = compile_bundle(record)
        with self._lock:
            if configuration.version <= self._current_version():
                return False
            # From here on, keys are checked against the new version.
            self._record = record
            self._current = configuration
            for callback in self._callbacks:
                callback(configuration)
            # Peers and operators see the version only now: if it were reported before
            # its groups and rates are in force, a rollout would end too early.
            self._applied_version = configuration.version
        return True

    def _current_version(self) -> int:
        return self._current.version if self._current else 0

    # Checks of a request

    def check_key(self, workspace: str, key: str) -> Result[WorkspaceSpec, Refusal]:
        """Return the workspace if `key` is one of its keys in force."""
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
