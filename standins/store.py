"""The contents of the platform stand-in: values, leases and the VM list."""

from typing import Any, NamedTuple

import msgspec

from bronzerelay.runtime import Runtime

MAX_VALUE_BYTES = 1024 * 1024


class Entry(NamedTuple):
    """A stored value; an absent key reads as `ABSENT`."""

    value: Any
    revision: int
    lease: str | None = None


class Lease(NamedTuple):
    """A lease that expires at `end_ms` unless it is renewed."""

    ttl_ms: float
    end_ms: float


class VmChange(NamedTuple):
    """A change of the VM list that becomes visible at `visible_ms`."""

    visible_ms: float
    name: str
    state: str


ABSENT = Entry(None, 0)


class ValueTooLargeError(ValueError):
    """The value is larger than MAX_VALUE_BYTES."""


class LeaseExpiredError(LookupError):
    """The lease has expired or never existed."""


class Store:
    """Values with revisions, leases and VMs; several servers may share one.

    It runs no task of its own: each call removes the leases that have expired by then,
    and a watch wakes up when the next lease expires.
    """

    def __init__(self, runtime: Runtime, vm_lag_ms: float):
        self._runtime = runtime
        self._vm_lag_ms = vm_lag_ms
        self._changed = runtime.make_condition()
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._vm_changes: list[VmChange] = []
        self._revision = 0
        self._lease_count = 0
        self._closed = False

    def close(self) -> None:
        """Wake every watch."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    # Values

    def get(self, key: str) -> Entry:
        """Return the entry of `key`, or ABSENT."""
        with self._changed:
            self._expire_leases()
            return self._entries.get(key, ABSENT)

    def watch(self, key: str, after: int, wait_ms: float) -> Entry | None:
        """Return the entry once its revision differs from `after`, or None.

        The entry is ABSENT when the key was deleted after revision `after`. A watch
        after revision 0 waits for the key to appear.
        """
        end_ms = self._runtime.clock.now_ms() + wait_ms
        with self._changed:
            while True:
                self._expire_leases()
                entry = self._entries.get(key, ABSENT)
                if entry.revision > after or (entry is ABSENT and after > 0):
                    return entry
                now_ms = self._runtime.clock.now_ms()
                if now_ms >= end_ms or self._closed:
                    return None
                ends = [lease.end_ms for lease in self._leases.values()]
                self._changed.wait((min([end_ms, *ends]) - now_ms) / 1000)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the sorted keys that start with `prefix`."""
        with self._changed:
            self._expire_leases()
            return sorted(key for key in self._entries if key.startswith(prefix))

    def put(
        self, key: str, value: Any, expected: int, lease: str | None = None
    ) -> tuple[bool, Entry]:
        """Store `value` if the revision of `key` is `expected`.

        Return whether it was stored, and the entry of the key after the call.
        """
        if len(msgspec.json.encode(value)) > MAX_VALUE_BYTES:
            raise ValueTooLargeError
        with self._changed:
            self._expire_leases()
            current = self._entries.get(key, ABSENT)
            if current.revision != expected:
                return False, current
            if lease is not None and lease not in self._leases:
                raise LeaseExpiredError
            self._revision += 1
            entry = Entry(value, self._revision, lease)
            self._entries[key] = entry
            self._changed.notify_all()
            return True, entry

    def delete(self, key: str, expected: int) -> tuple[bool, Entry]:
        """Delete `key` if its revision is `expected`; return the same as `put`."""
        with self._changed:
            self._expire_leases()
            current = self._entries.get(key, ABSENT)
            if current.revision != expected or current is ABSENT:
                return False, current
            self._delete_entry(key)
            return True, ABSENT

    # Leases

    def grant_lease(self, ttl_ms: float) -> str:
        """Return the id of a new lease."""
        with self._changed:
            self._lease_count += 1
            lease = f"lease-{self._lease_count}"
            end_ms = self._runtime.clock.now_ms() + ttl_ms
            self._leases[lease] = Lease(ttl_ms, end_ms)
            # A watch sleeps until the end of the leases that it has seen.
            self._changed.notify_all()
            return lease

    def renew_lease(self, lease: str) -> None:
        """Extend the lease by its full TTL from now, or raise LeaseExpiredError."""
        with self._changed:
            self._expire_leases()
            if lease not in self._leases:
                raise LeaseExpiredError
            ttl_ms = self._leases[lease].ttl_ms
            end_ms = self._runtime.clock.now_ms() + ttl_ms
            self._leases[lease] = Lease(ttl_ms, end_ms)

    def end_lease(self, lease: str) -> None:
        """End the lease, and delete the keys that are bound to it."""
        with self._changed:
            self._delete_lease(lease)

    def _expire_leases(self) -> None:
        now_ms = self._runtime.clock.now_ms()
        expired = [
            name for name, lease in self._leases.items() if lease.end_ms <= now_ms
        ]
        for lease in expired:
            self._delete_lease(lease)

    def _delete_lease(self, lease: str) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, e in self._entries.items() if e.lease == lease]:
            self._delete_entry(key)

    def _delete_entry(self, key: str) -> None:
        del self._entries[key]
        self._revision += 1
        self._changed.notify_all()

    # VMs

    def set_vm(self, name: str, state: str) -> None:
        """Set a VM to `live`, `leaving` or `gone`; the list shows it after its lag."""
        with self._changed:
            visible_ms = self._runtime.clock.now_ms() + self._vm_lag_ms
            self._vm_changes.append(VmChange(visible_ms, name, state))

    def list_vms(self) -> tuple[int, dict[str, str]]:
        """Return the revision of the VM list and each VM's state, both with the lag."""
        now_ms = self._runtime.clock.now_ms()
        states: dict[str, str] = {}
        revision = 0
        with self._changed:
            for change in self._vm_changes:
                if change.visible_ms > now_ms:
                    break
                revision += 1
                states[change.name] = change.state
        return revision, {n: s for n, s in states.items() if s != "gone"}
