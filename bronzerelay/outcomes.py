"""The results of operators' commands: a version in force, or the reason for failure."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.bundle import Change, check_transition, diff_bundles
from bronzerelay.codes import NOT_RUN, Code, Refusal, refuse
from bronzerelay.schema import Mistake
from bronzerelay.types import Bundle, ConfigRecord


class CurrentRecord(NamedTuple):
    """The record in force with its store revision; None and 0 if there is none yet."""

    record: ConfigRecord | None
    revision: int

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none yet."""
        return self.record["version"] if self.record else 0

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force, or None."""
        return self.record["bundle"] if self.record else None

    @property
    def digest(self) -> str:
        """Return the digest in force, or ""."""
        return self.record["digest"] if self.record else ""


class Rival(NamedTuple):
    """The version in force that a bundle lost to, and the bundle's changes to it."""

    version: int
    author: str
    digest: str
    changes: list[Change]


class RolloutError(NamedTuple):
    """Why a command failed, with the version it lost to and the mistakes to correct."""

    refusal: Refusal
    rival: Rival | None = None
    mistakes: tuple[Mistake, ...] = ()


class RolloutResult(NamedTuple):
    """A version that is in force, or was until version `replaced_by` replaced it.

    `notes` are sentences to print.
    """

    record: ConfigRecord
    notes: tuple[str, ...] = ()
    replaced_by: int = 0


class RollbackProposal(NamedTuple):
    """The proposal that a rollback made, and the withdrawn keys that it omits."""

    record: ConfigRecord
    omitted_keys: tuple[str, ...]


def report_replaced(record: ConfigRecord, by: ConfigRecord) -> RolloutResult:
    """Return the result of a rollout whose record `by` has replaced since."""
    note = f"version {by['version']} of {by['author']} has replaced it since"
    return RolloutResult(record, (note,), by["version"])


def check_version(bundle: Bundle, current: CurrentRecord) -> Result[None, RolloutError]:
    """Return Ok if the bundle may replace the one in force as its next version.

    A bundle written against an older version would revert the changes made since.
    """
    next_version = current.version + 1
    if bundle["version"] == next_version:
        mistakes = check_transition(current.bundle, bundle)
        return refuse_mistakes(mistakes) if mistakes else Ok(None)
    if bundle["version"] < next_version:
        return refuse_outdated(bundle, current)
    message = (
        f"the bundle is version {bundle['version']}; with version {current.version} "
        f"in force the next one is {next_version}"
    )
    return refuse_command(Code.BUNDLE_INVALID, message)


def refuse_outdated(
    bundle: Bundle, current: CurrentRecord
) -> Result[Any, RolloutError]:
    """Return the error that names the version in force and how `bundle` differs."""
    record = current.record
    message = (
        f"version {current.version} of {record['author']} is in force, so that "
        f"version {bundle['version']} can't come into force any more; take over what "
        f"differs and set version = {current.version + 1}"
    )
    rival = Rival(
        current.version,
        record["author"],
        record["digest"],
        diff_bundles(record["bundle"], bundle),
    )
    refusal = Refusal(Code.COMPARE_FAILED, message, NOT_RUN)
    return Error(RolloutError(refusal, rival))


def refuse_mistakes(mistakes: list[Mistake]) -> Result[Any, RolloutError]:
    """Return the error that lists every mistake of a bundle."""
    message = f"the bundle has {len(mistakes)} mistakes"
    refusal = Refusal(Code.BUNDLE_INVALID, message, NOT_RUN)
    return Error(RolloutError(refusal, mistakes=tuple(mistakes)))


def refuse_command(code: Code, message: str) -> Result[Any, RolloutError]:
    """Return the error with a refusal made of `code` and `message`."""
    return refuse(code, message).map_error(RolloutError)


def fail(refusal: Refusal) -> Result[Any, RolloutError]:
    """Return the error that carries a refusal."""
    return Error(RolloutError(refusal))


def fail_not_run(refusal: Refusal) -> Result[Any, RolloutError]:
    """Return the error for a step before the change, so that the change hasn't run."""
    return fail(refusal._replace(ran=NOT_RUN))
