"""Tests of operators' signatures, failures first."""

import pytest

from bronzerelay.bundle import check_bundle, digest_bundle
from bronzerelay.codes import Code
from bronzerelay.signing import check_signatures, make_operator_key, sign_digest
from tests.builders_config import make_bundle, make_operators, make_record

KEYS = {name: make_operator_key() for name in ("ana", "bo", "cleo", "mallory")}


def make_signed(bundle, *signers, author="ana", keys=KEYS):
    """Return the record of a bundle that these operators have signed."""
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
def test_one_operator_alone_changes_nothing(signers):
    """An operator rolls out a bundle that nobody else has reviewed, or others sign one
    that its author hasn't. A slip would be in force everywhere within seconds.
    """
    assert is_refused(make_signed(NEXT, *signers))


def test_signatures_of_another_bundle_do_not_count():
    """Somebody puts a new bundle under the digest and signatures of one that two
    operators did sign. Daemons must look at the bundle itself.
    """
    signed = make_signed(NEXT, "ana", "bo")
    swapped = {**signed, "bundle": make_operated(3, "ana", "bo", "mallory")}
    assert is_refused(swapped)


def test_a_newcomer_cannot_sign_for_himself():
    """A new bundle names a new operator, who signs it. Were he counted, anybody who
    can write to the platform could take over.
    """
    bundle = make_operated(2, "ana", "mallory")
    assert is_refused(make_signed(bundle, "ana", "mallory"))
    assert is_refused(make_signed(bundle, "mallory", "ana", author="mallory"))


def test_operators_cannot_be_dropped_unsigned():
    """A bundle without operators needs no signatures, and would be a way around them
    if the operators in force weren't asked.
    """
    assert is_refused(make_record(make_bundle(2)))
    assert check_signatures(make_signed(make_bundle(2), "ana", "bo"), IN_FORCE).is_ok()


def test_a_stolen_name_is_not_a_signature():
    """Mallory signs with her own key under the name of another operator."""
    keys = {**KEYS, "bo": KEYS["mallory"]}
    assert is_refused(make_signed(NEXT, "ana", "bo", keys=keys))


@pytest.mark.parametrize("signature", ["", "zz", "00", "00" * 64, "\ud800"])
def test_a_malformed_signature_is_none(signature):
    """A signature is cut short on its way, or isn't one; the check says it is missing
    and doesn't fall over.
    """
    record = make_signed(NEXT, "ana", "bo")
    record["signatures"][1]["signature"] = signature
    assert is_refused(record)


@pytest.mark.parametrize(
    "private", ["", "ed25519:" + "0" * 64, KEYS["ana"].private[:-1]]
)
def test_a_wrong_private_key_is_named_and_not_shown(private):
    """An operator gives the wrong file. The error goes to a terminal or a log, where a
    private key must never appear.
    """
    with pytest.raises(ValueError, match="64 digits") as caught:
        sign_digest(private, "sha256:0")
    assert KEYS["ana"].private[-20:-1] not in str(caught.value)


def test_two_operators_put_a_bundle_in_force():
    assert check_bundle(NEXT) == []
    assert check_signatures(make_signed(NEXT, "ana", "bo"), IN_FORCE).is_ok()
    assert check_signatures(make_signed(NEXT, "cleo", "bo", "ana"), IN_FORCE).is_ok()


def test_the_first_operators_sign_for_themselves():
    assert is_refused(make_signed(IN_FORCE, "ana"), in_force=None)
    assert check_signatures(make_signed(IN_FORCE, "ana", "bo"), None).is_ok()
    assert is_refused(make_signed(IN_FORCE, "ana"), in_force=make_bundle())
    assert check_signatures(make_signed(IN_FORCE, "ana", "bo"), make_bundle()).is_ok()


def test_without_operators_no_signature_is_needed():
    assert check_signatures(make_record(make_bundle(2)), make_bundle()).is_ok()
    assert check_signatures(make_record(make_bundle()), None).is_ok()
