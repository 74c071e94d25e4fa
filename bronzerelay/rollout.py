"""Putting bundles in force: proposals, signatures, compare-and-swap, history."""

from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Ok, Result

from bronzerelay.bundle import check_bundle, digest_bundle
from bronzerelay.codes import NOT_RUN, UNKNOWN, Code, Refusal
from bronzerelay.outcomes import (
    CurrentRecord,
    RollbackProposal,
    RolloutError,
    RolloutResult,
    check_version,
    fail,
    fail_not_run,
    refuse_command,
    refuse_mistakes,
    refuse_outdated,
    report_replaced,
)
from bronzerelay.records import CURRENT_KEY, HISTORY_PREFIX, PROPOSAL_PREFIX, Records
from bronzerelay.signing import (
    check_signatures,
    find_valid_signers,
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

# Each lost race means that another command succeeded, so a few attempts are enough.
MAX_ATTEMPTS = 8
# How many of the latest versions are searched for withdrawn keys.
WITHDRAWAL_SEARCH_VERSIONS = 50


class Operator(NamedTuple):
    """The operator who runs a command. Without a private key, nothing can be signed."""

    name: str
    private_key: str = ""


class Rollout:
    """The operators' changes to the configuration; safe against concurrent commands.

    The platform's key `config/current` alone decides which version is in force. It is
    changed by compare-and-swap only, so that no version is ever partly in force.
    """

    def __init__(self, key_value: Any, operator: Operator):
        self.records = Records(key_value)
        self._key_value = key_value
        self._operator = operator

    # Proposing and signing

    def propose(self, bundle: Bundle) -> Result[ConfigRecord, RolloutError]:
        """Store the bundle for review, with the author's signature.

        If anybody has proposed the same bundle before, the signature is added to it.
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
            .bind(lambda _: self._check_withdrawn_keys(bundle, current.ok))
            .bind(lambda _: self._store_proposal(bundle, current.ok))
        )

    def _check_withdrawn_keys(
        self, bundle: Bundle, current: CurrentRecord
    ) -> Result[None, RolloutError]:
        """Return Ok unless the bundle brings back a recently withdrawn key.

        A withdrawal makes a new version without changing any bundle file. An operator
        who then only raises the version in a file would bring a leaked key back.
        """
        if current.record is None:
            return Ok(None)
        hashes_in_force = set().union(*list_hashes(current.record["bundle"]).values())
        hashes = set().union(*list_hashes(bundle).values())
        if hashes <= hashes_in_force:
            return Ok(None)
        oldest = max(1, current.version - WITHDRAWAL_SEARCH_VERSIONS)
        withdrawn = self._list_withdrawn_hashes(oldest, current)
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
        self, bundle: Bundle, current: CurrentRecord
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
        """Add the operator's signature to a proposal; idempotent."""
        current = self.records.read_current()
        if current.is_error():
            return current
        for _ in range(MAX_ATTEMPTS):
            proposal = self.records.read_proposal_with_revision(digest)
            if proposal.is_error():
                return proposal
            record, revision = proposal.ok
            # A signature on a proposal that can't come into force any more is useless.
            allowed = check_version(record["bundle"], current.ok)
            if allowed.is_error() and record["digest"] != current.ok.digest:
                return allowed
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
        """Return the record with the operator's signature, if signatures are needed.

        A signature that wouldn't count is refused here. Otherwise the error would come
        only at the rollout, which may be urgent.
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
        own_entry: SignatureEntry = {"operator": name, "signature": signature}
        others = [entry for entry in record["signatures"] if entry["operator"] != name]
        signed = record
        if own_entry not in record["signatures"]:
            signed = {**record, "signatures": [*others, own_entry]}
        if needed and name not in find_valid_signers(signed, in_force):
            message = (
                f"{name!r} is no operator of the bundle in force, "
                "or the private key isn't that of the public key there"
            )
            return refuse_command(Code.SIGNATURE_MISSING, message)
        return Ok(signed)

    # Putting in force

    def put_in_force(self, digest: str) -> Result[RolloutResult, RolloutError]:
        """Put a proposal in force if it is signed and has the next version."""
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
            lambda record: self._swap(record, current.ok, check_signatures)
        )

    def _swap(
        self,
        record: ConfigRecord,
        current: CurrentRecord,
        check: Callable[[ConfigRecord, Bundle | None], Result[None, Refusal]],
    ) -> Result[RolloutResult, RolloutError]:
        """Put the record in force by compare-and-swap, then add it to the history."""
        allowed = check_version(record["bundle"], current)
        if allowed.is_error():
            return allowed
        signed = check(record, current.bundle)
        if signed.is_error():
            return fail(signed.error)
        # An earlier command may have ended between its two writes, so that its version
        # is in force but missing from the history; once replaced, it would be lost for
        # good. Every command adds the missing version before its swap, so at most one
        # version is missing at any time.
        recorded = self.records.fill_history(current)
        if recorded.is_error():
            return fail_not_run(recorded.error.refusal)
        swapped = self._key_value.put(CURRENT_KEY, record, current.revision)
        if swapped.is_error():
            return self._resolve_failed_swap(record, swapped.error)
        return self._record_history(record)

    def _record_history(
        self, record: ConfigRecord, *notes: str
    ) -> Result[RolloutResult, RolloutError]:
        recorded = self.records.fill_history(CurrentRecord(record, 0))
        if recorded.is_error():
            warning = "the history lacks this version; the next command adds it"
            return Ok(RolloutResult(record, (*notes, warning)))
        return Ok(RolloutResult(record, notes))

    def _resolve_failed_swap(
        self, record: ConfigRecord, refusal: Refusal
    ) -> Result[RolloutResult, RolloutError]:
        """Find out whether a swap that was refused or got no answer has taken effect.

        If the command reported a failure while the bundle is in force, the operator
        would write the next bundle against an older version; if it reported success
        while a rival's bundle is in force, the operator wouldn't notice. Digest and
        author distinguish the two cases.
        """
        if refusal.code is Code.PLATFORM_UNAVAILABLE and refusal.ran == NOT_RUN:
            return fail(refusal)
        current = self.records.read_current()
        if current.is_error():
            return fail(refusal)
        if current.ok.record and current.ok.digest == record["digest"]:
            return self._report_same_bundle(record, current.ok.record)
        if current.ok.version < record["version"]:
            return fail(refusal)
        if current.ok.version > record["version"]:
            stored = self.records.read_record(f"{HISTORY_PREFIX}{record['version']}")
            if stored.is_error():
                return fail(refusal._replace(ran=UNKNOWN))
            if stored.ok["digest"] == record["digest"]:
                return Ok(report_replaced(stored.ok, current.ok.record))
        return refuse_outdated(record["bundle"], current.ok)

    def _report_same_bundle(
        self, record: ConfigRecord, in_force: ConfigRecord
    ) -> Result[RolloutResult, RolloutError]:
        if in_force["author"] == record["author"]:
            return self._record_history(in_force)
        note = f"{in_force['author']} has put the same bundle in force"
        return self._record_history(in_force, note)

    # Rolling back

    def rollback(self, version: int) -> Result[RollbackProposal, RolloutError]:
        """Propose a new version with the groups and workspaces of an older one.

        Keys withdrawn since then stay withdrawn, and the operators are those of the
        version in force: a rollback must not restore a right that was revoked.
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
        withdrawn = self._list_withdrawn_hashes(version, current.ok)
        if withdrawn.is_error():
            return withdrawn
        bundle, omitted_keys = rebuild_bundle(
            old.ok["bundle"], current.ok.bundle, withdrawn.ok
        )
        return self.propose(bundle).map(
            lambda record: RollbackProposal(record, omitted_keys)
        )

    def _list_withdrawn_hashes(
        self, version: int, current: CurrentRecord
    ) -> Result[set[str], RolloutError]:
        """Return the hashes of keys removed from a workspace since `version`.

        Keys removed together with their workspace don't count: a rollback is how a
        workspace that was removed by mistake is restored.
        """
        withdrawn: set[str] = set()
        before: dict[str, set[str]] = {}
        for number in range(version, current.version + 1):
            key = f"{HISTORY_PREFIX}{number}"
            latest = number == current.version
            stored = Ok(current.record) if latest else self.records.read_record(key)
            if stored.is_error():
                return stored
            after = list_hashes(stored.ok["bundle"])
            for name in before.keys() & after.keys():
                withdrawn |= before[name] - after[name]
            before = after
        return Ok(withdrawn - set().union(*before.values()))

    # Withdrawing a key

    def withdraw(
        self, workspace: str, key_id: str
    ) -> Result[RolloutResult, RolloutError]:
        """Put a version in force that lacks the key and is otherwise the same.

        A withdrawal only revokes a right, so one operator's signature is enough. After
        a lost race it is repeated on top of the rival's version, which keeps the
        rival's changes.
        """
        for _ in range(MAX_ATTEMPTS):
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
        self, workspace: str, key_id: str, current: CurrentRecord
    ) -> Result[RolloutResult, RolloutError]:
        bundle = remove_key(current.bundle, workspace, key_id)
        signed = self._add_signature(self._make_record(bundle), current.bundle)
        return signed.bind(lambda record: self._swap(record, current, check_withdrawal))

    def _find_withdrawal(
        self, workspace: str, key_id: str, current: CurrentRecord
    ) -> Result[RolloutResult, RolloutError]:
        """Return the version, by any author, that withdrew the key.

        A command is run again when its answer was lost or when it timed out waiting for
        a daemon. The second run must recognize that the key is already withdrawn, but
        must not take a mistyped id for a withdrawn key.
        """
        after = current.record
        oldest = max(0, current.version - WITHDRAWAL_SEARCH_VERSIONS)
        for version in range(current.version - 1, oldest, -1):
            stored = self.records.read_record(f"{HISTORY_PREFIX}{version}")
            if stored.is_error():
                return stored
            entry = find_workspace(stored.ok["bundle"], workspace)
            if entry and key_id in [key["id"] for key in entry["keys"]]:
                note = f"version {after['version']} of {after['author']} withdrew it"
                return Ok(RolloutResult(after, (note,)))
            after = stored.ok
        entry = find_workspace(current.bundle, workspace)
        if entry is None:
            return refuse_command(
                Code.NOT_FOUND, f"there is no workspace {workspace!r}"
            )
        ids = ", ".join(key["id"] for key in entry["keys"]) or "none"
        message = f"workspace {workspace!r} has no key {key_id!r}; its keys: {ids}"
        return refuse_command(Code.NOT_FOUND, message)
