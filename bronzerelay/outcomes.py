"""What the operators' commands come to: a version in force, or why not."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.bundle import Change, check_transition, diff_bundles
from bronzerelay.codes import NOT_RUN, Code, Refusal, refuse
from bronzerelay.schema import Mistake
from bronzerelay.types import Bundle, ConfigRecord


class Current(NamedTuple):
    """The record in force with its revision; None and 0 before the first."""

    record: ConfigRecord | None
    revision: int

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.record["version"] if self.record else 0

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force, or None."""
        return self.record["bundle"] if self.record else None

    @property
    def digest(self) -> str:
        """Return the digest in force, or nothing."""
        return self.record["digest"] if self.record else ""


class Rival(NamedTuple):
    """The version that came first, and how the refused bundle differs from it."""

    version: int
    author: str
    digest: str
    changes: list[Change]


class RolloutError(NamedTuple):
    """Why a command failed; `rival` tells who won, `mistakes` what to correct."""

    refusal: Refusal
    rival: Rival | None = None
    mistakes: tuple[Mistake, ...] = ()


class RolloutResult(NamedTuple):
    """A version that is in force, or was until `replaced_by`; notes are for people."""

    record: ConfigRecord
    notes: tuple[str, ...] = ()
    replaced_by: int = 0


class RolledBack(NamedTuple):
    """The proposal of a rollback, and the withdrawn keys that it leaves out."""

    record: ConfigRecord
    left_out: tuple[str, ...]


def tell_replaced(record: ConfigRecord, by: ConfigRecord) -> RolloutResult:
    """Return that the record was in force until `by` replaced it."""
    note = f"version {by['version']} of {by['author']} has replaced it since"
    return RolloutResult(record, (note,), by["version"])


def check_version(bundle: Bundle, current: Current) -> Result[None, RolloutError]:
    """Return Ok when the bundle may follow the one in force as its next version.

    A bundle written against an older version would undo what has changed since.
    """
    wanted = current.version + 1
    if bundle["version"] == wanted:
        mistakes = check_transition(current.bundle, bundle)
        return refuse_mistakes(mistakes) if mistakes else Ok(None)
    if bundle["version"] < wanted:
        return refuse_rival(bundle, current)
    message = (
        f"the bundle is version {bundle['version']}; with version {current.version} "
        f"in force the next one is {wanted}"
    )
    return refuse_command(Code.BUNDLE_INVALID, message)


def refuse_rival(bundle: Bundle, current: Current) -> Result[Any, RolloutError]:
    """Return the error that tells who won and how `bundle` differs."""
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


def fail_before(refusal: Refusal) -> Result[Any, RolloutError]:
    """Return the refusal of a step before the change itself, which hasn't run."""
    return fail(refusal._replace(ran=NOT_RUN))
