"""A client for the values, the VM list and the faults of the platform stand-in."""

from typing import Any

import msgspec
import urllib3

from bronzerelay.runtime import Address, Runtime

ADMIN_NAME = "lab"
TIMEOUT_MS = 5000


class AdminError(Exception):
    """The platform refused a call or gave no answer."""


class PlatformAdmin:
    """Reads and changes what the platform holds, and sets its faults.

    Its calls have a caller name of their own, so faults for named daemons spare them.
    """

    def __init__(self, runtime: Runtime, address: Address):
        self._pool = runtime.open_http_pool(address, pool_size=2)

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Return status and decoded body; raise AdminError when no answer comes."""
        try:
            response = self._pool.request(
                method,
                path,
                body=None if body is None else msgspec.json.encode(body),
                headers={"X-Caller": ADMIN_NAME, "Content-Type": "application/json"},
                timeout=TIMEOUT_MS / 1000,
            )
        except urllib3.exceptions.HTTPError as error:
            raise AdminError(f"{method} {path}: {error}") from None
        data = response.data
        return response.status, msgspec.json.decode(data) if data else None

    def check_call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded body; raise AdminError on another status than 200."""
        status, answer = self.call(method, path, body)
        if status != 200:
            raise AdminError(f"{method} {path} was answered {status}: {answer}")
        return answer

    def set_vm(self, name: str, state: str) -> None:
        """Make a VM `live`, `leaving` or `gone`; the list shows it after its lag."""
        self.check_call("POST", "/admin/vms", {"name": name, "state": state})

    def set_fault(self, mode: str, **fields: Any) -> None:
        """Set a fault; PLATFORM.md describes `delay_ms`, `callers` and `count`."""
        self.check_call("POST", "/admin/faults", {"mode": mode, **fields})

    def count_calls(self) -> dict[str, Any]:
        """Return how many calls the platform has had, by kind and by caller."""
        return self.check_call("GET", "/admin/calls")

    def read_value(self, key: str) -> tuple[Any, int]:
        """Return value and revision of a key; None and 0 when it is absent."""
        status, answer = self.call("GET", f"/v1/values/{key}")
        if status == 404:
            return None, 0
        if status != 200:
            raise AdminError(f"reading {key} was answered {status}: {answer}")
        return answer["value"], answer["revision"]

    def write_value(self, key: str, value: Any, expected_revision: int) -> int:
        """Write a value and return its new revision.

        Raise AdminError when the key isn't at `expected_revision`.
        """
        body = {"value": value, "expected_revision": expected_revision}
        return self.check_call("PUT", f"/v1/values/{key}", body)["revision"]
