"""Tests of operators' signatures; failures come first."""

import pytest

from bronzerelay.bundle import check_bundle, digest_bundle
from bronzerelay.codes import Code
from bronzerelay.signing import check_signatures, make_operator_key, sign_digest
from tests.builders_config import make_bundle, make_operators, make_record

KEYS = {name: make_operator_key() for name in ("ana", "bo", "cleo", "mallory")}


def make_signed(bundle, *signers, author="ana", keys=KEYS):
    """Return the record of the bundle with the signatures of `signers`."""
    signatures = [
        {
            "operator": name,
            "signature": sign_digest(keys[name].private, digest_bundle(bundle)),
        }
        for name in signers
    ]
    return make_record(bundle, author, signatures)


def make_operated(version, *names):
    """Return a bundle that names these operators."""
    keys = {name: KEYS[name].public for name in names}
    return make_bundle(version, operators=make_operators(**keys))


IN_FORCE = make_operated(1, "ana", "bo", "cleo")
NEXT = make_operated(2, "ana", "bo", "cleo")


def is_refused(record, in_force=IN_FORCE):
    result = check_signatures(record, in_force)
    return result.is_error() and result.error.code is Code.SIGNATURE_MISSING


@pytest.mark.parametrize("signers", [(), ("ana",), ("bo", "cleo"), ("ana", "ana")])
def test_one_operator_alone_is_not_enough(signers):
    """An operator rolls out a bundle that nobody else has reviewed, or one whose author
    hasn't signed it. An error would be in force everywhere within seconds.
    """
    assert is_refused(make_signed(NEXT, *signers))


def test_signatures_of_another_bundle_do_not_count():
    """A record holds a new bundle with the digest and signatures of another one, which
    two operators signed. Daemons must compute the digest of the bundle itself.
    """
    signed = make_signed(NEXT, "ana", "bo")
    swapped = {**signed, "bundle": make_operated(3, "ana", "bo", "mallory")}
    assert is_refused(swapped)


def test_a_new_operator_cannot_sign_their_own_addition():
    """A new bundle names a new operator, who signs it. If that signature counted,
    anybody who can write to the platform could take over.
    """
    bundle = make_operated(2, "ana", "mallory")
    assert is_refused(make_signed(bundle, "ana", "mallory"))
    assert is_refused(make_signed(bundle, "mallory", "ana", author="mallory"))


def test_removing_all_operators_needs_signatures():
    """A bundle without operators needs no signatures. Unless the operators in force
    had to sign it, it would bypass the signatures.
    """
    assert is_refused(make_record(make_bundle(2)))
    assert check_signatures(make_signed(make_bundle(2), "ana", "bo"), IN_FORCE).is_ok()


def test_a_signature_by_another_key_does_not_count():
    """An attacker signs with their own key under another operator's name."""
    keys = {**KEYS, "bo": KEYS["mallory"]}
    assert is_refused(make_signed(NEXT, "ana", "bo", keys=keys))


@pytest.mark.parametrize("signature", ["", "zz", "00", "00" * 64, "\ud800"])
def test_a_malformed_signature_counts_as_missing(signature):
    """A signature is truncated or malformed. The check must report it as missing and
    not raise.
    """
    record = make_signed(NEXT, "ana", "bo")
    record["signatures"][1]["signature"] = signature
    assert is_refused(record)


@pytest.mark.parametrize(
    "private", ["", "ed25519:" + "0" * 64, KEYS["ana"].private[:-1]]
)
def test_the_error_for_a_wrong_private_key_does_not_contain_it(private):
    """An operator passes the wrong key file. The error goes to a terminal or a log,
    where a private key must never appear.
    """
    with pytest.raises(ValueError, match="64 digits") as caught:
        sign_digest(private, "sha256:0")
    assert KEYS["ana"].private[-20:-1] not in str(caught.value)


def test_author_and_second_operator_are_enough():
    assert check_bundle(NEXT) == []
    assert check_signatures(make_signed(NEXT, "ana", "bo"), IN_FORCE).is_ok()
    assert check_signatures(make_signed(NEXT, "cleo", "bo", "ana"), IN_FORCE).is_ok()


def test_the_first_operators_sign_their_own_bundle():
    assert is_refused(make_signed(IN_FORCE, "ana"), in_force=None)
    assert check_signatures(make_signed(IN_FORCE, "ana", "bo"), None).is_ok()
    assert is_refused(make_signed(IN_FORCE, "ana"), in_force=make_bundle())
    assert check_signatures(make_signed(IN_FORCE, "ana", "bo"), make_bundle()).is_ok()


def test_without_operators_no_signature_is_needed():
    assert check_signatures(make_record(make_bundle(2)), make_bundle()).is_ok()
    assert check_signatures(make_record(make_bundle()), None).is_ok()
