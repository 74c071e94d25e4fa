"""Putting bundles in force: proposals, signatures, compare-and-swap, history."""

from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Ok, Result

from bronzerelay.bundle import check_bundle, digest_bundle
from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal
from bronzerelay.outcomes import (
    Current,
    RolledBack,
    RolloutError,
    RolloutResult,
    check_version,
    fail,
    fail_before,
    refuse_command,
    refuse_mistakes,
    refuse_rival,
    tell_replaced,
)
from bronzerelay.records import CURRENT_KEY, HISTORY_PREFIX, PROPOSAL_PREFIX, Records
from bronzerelay.signing import (
    check_signatures,
    find_signers,
    list_operators,
    sign_digest,
)
from bronzerelay.types import Bundle, ConfigRecord, SignatureEntry
from bronzerelay.withdrawal import (
    check_withdrawal,
    find_workspace,
    list_hashes,
    list_key_names,
    rebuild_bundle,
    remove_key,
)

# Each lost race means that somebody else got through, so a few tries are plenty.
TRIES = 8
# How far back withdrawals are looked for.
WITHDRAWAL_VERSIONS = 50


class Operator(NamedTuple):
    """Who gives the commands; without a private key nothing can be signed."""

    name: str
    private_key: str = ""


class Rollout:
    """The operators' changes to the configuration; any number may race each other.

    The platform's `config/current` alone says what is in force, and it changes by
    compare-and-swap only, so that nothing is ever half in force.
    """

    def __init__(self, key_value: Any, operator: Operator):
        self.records = Records(key_value)
        self._key_value = key_value
        self._operator = operator

    # Proposing and signing

    def propose(self, bundle: Bundle) -> Result[ConfigRecord, RolloutError]:
        """Store the bundle for review, with the author's signature.

        The same bundle proposed before, by whomever, gets the signature added.
        """
        mistakes = check_bundle(bundle)
        if mistakes:
            return refuse_mistakes(mistakes)
        current = self.records.read_current()
        if current.is_error():
            return current
        if current.ok.record and current.ok.digest == digest_bundle(bundle):
            return Ok(current.ok.record)
        return (
            check_version(bundle, current.ok)
            .bind(lambda _: self._check_withdrawn(bundle, current.ok))
            .bind(lambda _: self._store_proposal(bundle, current.ok))
        )

    def _check_withdrawn(
        self, bundle: Bundle, current: Current
    ) -> Result[None, RolloutError]:
        """Return Ok unless the bundle brings back a key withdrawn of late.

        A withdrawal makes a version that no file knows of. Whoever then only raises
        the version in his file would let a leaked key in again.
        """
        if current.record is None:
            return Ok(None)
        known = set().union(*list_hashes(current.record["bundle"]).values())
        hashes = set().union(*list_hashes(bundle).values())
        if hashes <= known:
            return Ok(None)
        oldest = max(1, current.version - WITHDRAWAL_VERSIONS)
        withdrawn = self._list_withdrawn(oldest, current)
        if withdrawn.is_error():
            return withdrawn
        names = list_key_names(bundle, withdrawn.ok)
        if not names:
            return Ok(None)
        message = (
            f"the bundle brings back withdrawn keys: {', '.join(names)}; "
            "take them out, and grant new ones where they are needed"
        )
        return refuse_command(Code.BUNDLE_INVALID, message)

    def _store_proposal(
        self, bundle: Bundle, current: Current
    ) -> Result[ConfigRecord, RolloutError]:
        record = self._make_record(bundle)
        signed = self._add_signature(record, current.bundle)
        if signed.is_error():
            return signed
        stored = self._key_value.put(
            PROPOSAL_PREFIX + record["digest"], signed.ok, expected_revision=0
        )
        if stored.is_ok():
            return signed
        if stored.error.code is Code.COMPARE_FAILED:
            return self.sign(record["digest"])
        return fail(stored.error)

    def sign(self, digest: str) -> Result[ConfigRecord, RolloutError]:
        """Add the operator's signature to a proposal; doing it twice does no harm."""
        current = self.records.read_current()
        if current.is_error():
            return current
        for _ in range(TRIES):
            found = self.records.find_proposal(digest)
            if found.is_error():
                return found
            record, revision = found.ok
            # A signature under what can't come into force any more is a wasted review.
            fits = check_version(record["bundle"], current.ok)
            if fits.is_error() and record["digest"] != current.ok.digest:
                return fits
            signed = self._add_signature(record, current.ok.bundle)
            if signed.is_error() or signed.ok == record:
                return signed
            key = PROPOSAL_PREFIX + digest
            stored = self._key_value.put(key, signed.ok, revision)
            if stored.is_ok():
                return signed
            if stored.error.code is not Code.COMPARE_FAILED:
                return fail(stored.error)
        return fail(stored.error)

    def _make_record(self, bundle: Bundle) -> ConfigRecord:
        return {
            "version": bundle["version"],
            "digest": digest_bundle(bundle),
            "bundle": bundle,
            "author": self._operator.name,
            "signatures": [],
        }

    def _add_signature(
        self, record: ConfigRecord, in_force: Bundle | None
    ) -> Result[ConfigRecord, RolloutError]:
        """Return the record with the operator's signature, if one is needed.

        A signature that won't count is refused here: its operator would otherwise
        learn of it only when the bundle is rolled out, maybe in a hurry.
        """
        needed = list_operators(record, in_force)
        if not self._operator.private_key and not needed:
            return Ok(record)
        if not self._operator.private_key:
            return refuse_command(
                Code.SIGNATURE_MISSING,
                "bundles are signed here; give your private key by --operator-key",
            )
        try:
            signature = sign_digest(self._operator.private_key, record["digest"])
        except ValueError as error:
            return refuse_command(
                Code.SIGNATURE_MISSING, f"the operator's key: {error}"
            )
        name = self._operator.name
        own: SignatureEntry = {"operator": name, "signature": signature}
        others = [entry for entry in record["signatures"] if entry["operator"] != name]
        signed = record
        if own not in record["signatures"]:
            signed = {**record, "signatures": [*others, own]}
        if needed and name not in find_signers(signed, in_force):
            message = (
                f"{name!r} is no operator of the bundle in force, "
                "or the private key isn't that of the public key there"
            )
            return refuse_command(Code.SIGNATURE_MISSING, message)
        return Ok(signed)

    # Putting in force

    def put_in_force(self, digest: str) -> Result[RolloutResult, RolloutError]:
        """Put a proposal in force when it is signed and next in version."""
        current = self.records.read_current()
        if current.is_error():
            return current
        if current.ok.record and current.ok.digest == digest:
            self.records.fill_history(current.ok)
            author = current.ok.record["author"]
            return Ok(
                RolloutResult(current.ok.record, (f"in force already, by {author}",))
            )
        return self.records.read_proposal(digest).bind(
            lambda record: self._replace(record, current.ok, check_signatures)
        )

    def _replace(
        self,
        record: ConfigRecord,
        current: Current,
        check: Callable[[ConfigRecord, Bundle | None], Result[None, Refusal]],
    ) -> Result[RolloutResult, RolloutError]:
        """Swap the record for what is in force, then write it into the history."""
        fits = check_version(record["bundle"], current)
        if fits.is_error():
            return fits
        signed = check(record, current.bundle)
        if signed.is_error():
            return fail(signed.error)
        # An operator's command may have ended between its two writes. Its version is
        # in force and the history lacks it; once replaced it would be lost for good.
        # As every command fills this gap before the swap, there is never a second.
        filled = self.records.fill_history(current)
        if filled.is_error():
            return fail_before(filled.error.refusal)
        swapped = self._key_value.put(CURRENT_KEY, record, current.revision)
        if swapped.is_error():
            return self._resolve(record, swapped.error)
        return self._record_history(record)

    def _record_history(
        self, record: ConfigRecord, *notes: str
    ) -> Result[RolloutResult, RolloutError]:
        filled = self.records.fill_history(Current(record, 0))
        if filled.is_error():
            late = "the history lacks this version; the next command adds it"
            return Ok(RolloutResult(record, (*notes, late)))
        return Ok(RolloutResult(record, notes))

    def _resolve(
        self, record: ConfigRecord, refusal: Refusal
    ) -> Result[RolloutResult, RolloutError]:
        """Find out what became of a swap that was refused or got no answer.

        Told "failed" while the bundle is in force, an operator would write the next
        one against an older version; told "in force" when a rival's is, he would go
        home. Digest and author tell the two apart.
        """
        if refusal.code is Code.PLATFORM_UNAVAILABLE and refusal.ran == NOT_RUN:
            return fail(refusal)
        current = self.records.read_current()
        if current.is_error():
            return fail(refusal)
        if current.ok.record and current.ok.digest == record["digest"]:
            return self._tell_equal(record, current.ok.record)
        if current.ok.version < record["version"]:
            return fail(refusal)
        if current.ok.version > record["version"]:
            was = self.records.read_record(f"{HISTORY_PREFIX}{record['version']}")
            if was.is_error():
                return fail(refusal._replace(ran=UNKNOWN))
            if was.ok["digest"] == record["digest"]:
                return Ok(tell_replaced(was.ok, current.ok.record))
        return refuse_rival(record["bundle"], current.ok)

    def _tell_equal(
        self, record: ConfigRecord, found: ConfigRecord
    ) -> Result[RolloutResult, RolloutError]:
        if found["author"] == record["author"]:
            return self._record_history(found)
        note = f"{found['author']} has put the same bundle in force"
        return self._record_history(found, note)

    # Rolling back

    def rollback(self, version: int) -> Result[RolledBack, RolloutError]:
        """Propose a new version with the groups and workspaces of an older one.

        Keys withdrawn since then stay withdrawn, and the operators stay those in
        force: going back must bring back no right that was taken away.
        """
        current = self.records.read_current()
        if current.is_error():
            return current
        if current.ok.version <= version:
            message = f"version {version} isn't older than {current.ok.version}"
            return refuse_command(Code.NOT_FOUND, f"{message}, the version in force")
        old = self.records.read_version(version)
        if old.is_error():
            return old
        withdrawn = self._list_withdrawn(version, current.ok)
        if withdrawn.is_error():
            return withdrawn
        bundle, left_out = rebuild_bundle(
            old.ok["bundle"], current.ok.bundle, withdrawn.ok
        )
        return self.propose(bundle).map(lambda record: RolledBack(record, left_out))

    def _list_withdrawn(
        self, version: int, current: Current
    ) -> Result[set[str], RolloutError]:
        """Return the hashes that a workspace of `version` or later has lost.

        Keys that went away together with their workspace don't count: a rollback is
        the way to get a workspace back that was removed by mistake.
        """
        withdrawn: set[str] = set()
        before: dict[str, set[str]] = {}
        for number in range(version, current.version + 1):
            key = f"{HISTORY_PREFIX}{number}"
            latest = number == current.version
            found = Ok(current.record) if latest else self.records.read_record(key)
            if found.is_error():
                return found
            after = list_hashes(found.ok["bundle"])
            for name in before.keys() & after.keys():
                withdrawn |= before[name] - after[name]
            before = after
        return Ok(withdrawn - set().union(*before.values()))

    # Withdrawing a key

    def withdraw(
        self, workspace: str, key_id: str
    ) -> Result[RolloutResult, RolloutError]:
        """Put a version in force that lacks the key and is otherwise the same.

        It only takes a right away, so one operator's signature is enough, and a lost
        race is run again: what the rival changed stays.
        """
        for _ in range(TRIES):
            current = self.records.read_current()
            if current.is_error():
                return current
            entry = find_workspace(current.ok.bundle, workspace)
            ids = [key["id"] for key in entry["keys"]] if entry else []
            if key_id not in ids:
                return self._find_withdrawal(workspace, key_id, current.ok)
            result = self._swap_without(workspace, key_id, current.ok)
            if result.is_ok() or result.error.refusal.code is not Code.COMPARE_FAILED:
                return result
        return result

    def _swap_without(
        self, workspace: str, key_id: str, current: Current
    ) -> Result[RolloutResult, RolloutError]:
        bundle = remove_key(current.bundle, workspace, key_id)
        signed = self._add_signature(self._make_record(bundle), current.bundle)
        return signed.bind(
            lambda record: self._replace(record, current, check_withdrawal)
        )

    def _find_withdrawal(
        self, workspace: str, key_id: str, current: Current
    ) -> Result[RolloutResult, RolloutError]:
        """Return the version that withdrew the key, by whomever it was.

        A command whose answer was lost, or that has waited in vain for a daemon, is
        run again; it must find its own work done, and yet not take a mistyped name
        for a withdrawn key.
        """
        after = current.record
        oldest = max(0, current.version - WITHDRAWAL_VERSIONS)
        for version in range(current.version - 1, oldest, -1):
            found = self.records.read_record(f"{HISTORY_PREFIX}{version}")
            if found.is_error():
                return found
            entry = find_workspace(found.ok["bundle"], workspace)
            if entry and key_id in [key["id"] for key in entry["keys"]]:
                note = f"version {after['version']} of {after['author']} withdrew it"
                return Ok(RolloutResult(after, (note,)))
            after = found.ok
        entry = find_workspace(current.bundle, workspace)
        if entry is None:
            return refuse_command(
                Code.NOT_FOUND, f"there is no workspace {workspace!r}"
            )
        ids = ", ".join(key["id"] for key in entry["keys"]) or "none"
        message = f"workspace {workspace!r} has no key {key_id!r}; its keys: {ids}"
        return refuse_command(Code.NOT_FOUND, message)
