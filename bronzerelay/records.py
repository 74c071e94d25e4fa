"""The records of bundles in the platform: in force, proposed and of old."""

from typing import Any

from expression import Ok, Result

from bronzerelay.bundle import check_record
from bronzerelay.codes import Code
from bronzerelay.outcomes import (
    Current,
    RolloutError,
    fail,
    fail_before,
    refuse_command,
)
from bronzerelay.types import ConfigRecord

CURRENT_KEY = "config/current"
PROPOSAL_PREFIX = "config/proposals/"
HISTORY_PREFIX = "config/history/"


class Records:
    """Reads the records, and fills the gap that a command may have left."""

    def __init__(self, key_value: Any):
        self._key_value = key_value

    def read_current(self) -> Result[Current, RolloutError]:
        """Return what is in force."""
        found = self._key_value.get(CURRENT_KEY)
        if found.is_error() and found.error.code is Code.NOT_FOUND:
            return Ok(Current(None, 0))
        if found.is_error():
            return fail_before(found.error)
        checked = check_record(found.ok.value)
        if checked.is_error():
            return fail(checked.error)
        return Ok(Current(checked.ok, found.ok.revision))

    def read_in_force(self) -> Result[ConfigRecord, RolloutError]:
        """Return the record in force, or NOT_FOUND before the first."""
        current = self.read_current()
        if current.is_ok() and current.ok.record is None:
            return refuse_command(Code.NOT_FOUND, "nothing is in force yet")
        return current.map(lambda found: found.record)

    def read_version(self, version: int) -> Result[ConfigRecord, RolloutError]:
        """Return the record of a version that is or was in force."""
        current = self.read_current()
        if current.is_error():
            return current
        if current.ok.version == version and current.ok.record:
            return Ok(current.ok.record)
        return self.read_record(f"{HISTORY_PREFIX}{version}")

    def list_history(self, limit: int) -> Result[list[ConfigRecord], RolloutError]:
        """Return the records of the `limit` latest versions, the latest first."""
        current = self.read_current()
        if current.is_error():
            return current
        # When this fails, the version in force is listed all the same.
        self.fill_history(current.ok)
        latest = current.ok.version
        records = [current.ok.record] if current.ok.record else []
        for version in range(latest - 1, max(0, latest - limit), -1):
            found = self.read_record(f"{HISTORY_PREFIX}{version}")
            if found.is_error():
                return found
            records.append(found.ok)
        return Ok(records)

    def read_proposal(self, digest: str) -> Result[ConfigRecord, RolloutError]:
        """Return the proposal with this digest."""
        return self.find_proposal(digest).map(lambda found: found[0])

    def find_proposal(
        self, digest: str
    ) -> Result[tuple[ConfigRecord, int], RolloutError]:
        """Return the proposal with its revision."""
        found = self._key_value.get(PROPOSAL_PREFIX + digest)
        if found.is_error():
            return fail_before(found.error)
        checked = check_record(found.ok.value)
        if checked.is_error():
            return fail(checked.error)
        if checked.ok["digest"] != digest:
            message = f"the proposal {digest} holds the bundle of another digest"
            return refuse_command(Code.BUNDLE_INVALID, message)
        return Ok((checked.ok, found.ok.revision))

    def read_record(self, key: str) -> Result[ConfigRecord, RolloutError]:
        """Return the record that a key holds."""
        found = self._key_value.get(key)
        if found.is_error():
            return fail_before(found.error)
        return check_record(found.ok.value).map_error(RolloutError)

    def fill_history(self, current: Current) -> Result[None, RolloutError]:
        """Make sure that the history has the version in force."""
        if current.record is None:
            return Ok(None)
        key = f"{HISTORY_PREFIX}{current.version}"
        found = self._key_value.get(key)
        if found.is_ok():
            return Ok(None)
        if found.error.code is not Code.NOT_FOUND:
            return fail_before(found.error)
        stored = self._key_value.put(key, current.record, expected_revision=0)
        # Somebody who fills the same gap writes the same record.
        if stored.is_ok() or stored.error.code is Code.COMPARE_FAILED:
            return Ok(None)
        return fail(stored.error)
