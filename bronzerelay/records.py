"""The records of bundles in the platform: the current one, proposals and history."""

from typing import Any

from expression import Ok, Result

from bronzerelay.bundle import check_record
from bronzerelay.codes import Code
from bronzerelay.outcomes import (
    CurrentRecord,
    RolloutError,
    fail,
    fail_not_run,
    refuse_command,
)
from bronzerelay.types import ConfigRecord

CURRENT_KEY = "config/current"
PROPOSAL_PREFIX = "config/proposals/"
HISTORY_PREFIX = "config/history/"


class Records:
    """Reads the records, and adds the version in force to the history if missing."""

    def __init__(self, key_value: Any):
        self._key_value = key_value

    def read_current(self) -> Result[CurrentRecord, RolloutError]:
        """Return the record in force with its revision."""
        stored = self._key_value.get(CURRENT_KEY)
        if stored.is_error() and stored.error.code is Code.NOT_FOUND:
            return Ok(CurrentRecord(None, 0))
        if stored.is_error():
            return fail_not_run(stored.error)
        checked = check_record(stored.ok.value)
        if checked.is_error():
            return fail(checked.error)
        return Ok(CurrentRecord(checked.ok, stored.ok.revision))

    def read_in_force(self) -> Result[ConfigRecord, RolloutError]:
        """Return the record in force, or NOT_FOUND if there is none yet."""
        current = self.read_current()
        if current.is_ok() and current.ok.record is None:
            return refuse_command(Code.NOT_FOUND, "nothing is in force yet")
        return current.map(lambda current_record: current_record.record)

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
        # A failure is ignored; the version in force is listed anyway.
        self.fill_history(current.ok)
        latest = current.ok.version
        records = [current.ok.record] if current.ok.record else []
        for version in range(latest - 1, max(0, latest - limit), -1):
            stored = self.read_record(f"{HISTORY_PREFIX}{version}")
            if stored.is_error():
                return stored
            records.append(stored.ok)
        return Ok(records)

    def read_proposal(self, digest: str) -> Result[ConfigRecord, RolloutError]:
        """Return the proposal with this digest."""
        return self.read_proposal_with_revision(digest).map(
            lambda proposal: proposal[0]
        )

    def read_proposal_with_revision(
        self, digest: str
    ) -> Result[tuple[ConfigRecord, int], RolloutError]:
        """Return the proposal with its revision."""
        stored = self._key_value.get(PROPOSAL_PREFIX + digest)
        if stored.is_error():
            return fail_not_run(stored.error)
        checked = check_record(stored.ok.value)
        if checked.is_error():
            return fail(checked.error)
        if checked.ok["digest"] != digest:
            message = f"the proposal {digest} holds the bundle of another digest"
            return refuse_command(Code.BUNDLE_INVALID, message)
        return Ok((checked.ok, stored.ok.revision))

    def read_record(self, key: str) -> Result[ConfigRecord, RolloutError]:
        """Return the record stored under a key."""
        stored = self._key_value.get(key)
        if stored.is_error():
            return fail_not_run(stored.error)
        return check_record(stored.ok.value).map_error(RolloutError)

    def fill_history(self, current: CurrentRecord) -> Result[None, RolloutError]:
        """Add the version in force to the history unless it is there."""
        if current.record is None:
            return Ok(None)
        key = f"{HISTORY_PREFIX}{current.version}"
        existing = self._key_value.get(key)
        if existing.is_ok():
            return Ok(None)
        if existing.error.code is not Code.NOT_FOUND:
            return fail_not_run(existing.error)
        stored = self._key_value.put(key, current.record, expected_revision=0)
        # A concurrent command that adds this version writes the same record.
        if stored.is_ok() or stored.error.code is Code.COMPARE_FAILED:
            return Ok(None)
        return fail(stored.error)
