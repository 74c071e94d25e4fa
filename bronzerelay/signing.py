"""Operators' signatures over the digest of a bundle."""

from typing import NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from expression import Ok, Result

from bronzerelay.bundle import digest_bundle
from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.types import Bundle, ConfigRecord

PUBLIC_PREFIX = "ed25519:"
PRIVATE_PREFIX = "ed25519-private:"
# Signed together with the digest (domain separation), so that a signature made by
# another program over the same text isn't valid for a bundle.
CONTEXT = b"bronzerelay bundle\n"


class OperatorKey(NamedTuple):
    """An Ed25519 key pair as text; only `public` goes into a bundle."""

    private: str
    public: str


def make_operator_key() -> OperatorKey:
    """Return a new key pair."""
    private_key = Ed25519PrivateKey.generate()
    public = private_key.public_key().public_bytes_raw()
    return OperatorKey(
        PRIVATE_PREFIX + private_key.private_bytes_raw().hex(),
        PUBLIC_PREFIX + public.hex(),
    )


def sign_digest(private_key: str, digest: str) -> str:
    """Return the signature in hexadecimal digits.

    Raise ValueError if `private_key` isn't a private key; the error doesn't contain it.
    """
    data = _decode_hex(private_key, PRIVATE_PREFIX)
    try:
        key = Ed25519PrivateKey.from_private_bytes(data)
    except ValueError:
        raise ValueError(f"a private key is {PRIVATE_PREFIX} and 64 digits") from None
    return key.sign(_encode_message(digest)).hex()


def check_signatures(
    record: ConfigRecord, in_force: Bundle | None
) -> Result[None, Refusal]:
    """Return Ok if the author and a second operator have signed the bundle.

    The operators are those of the bundle in force. If there is none, or it names no
    operators, they are those of the record's own bundle; if that names none either, no
    signatures are needed. Operators that only the new bundle names don't count:
    anybody could add two names with keys of their own and sign.
    """
    operators = list_operators(record, in_force)
    if not operators:
        return Ok(None)
    signers = find_valid_signers(record, in_force)
    author = record["author"]
    if author not in operators:
        return _refuse_missing_signature(
            f"the author {author!r} is no operator", operators
        )
    if author not in signers:
        message = f"there is no valid signature of the author {author!r}"
        return _refuse_missing_signature(message, operators)
    if len(signers) < 2:
        message = f"nobody but the author {author!r} has signed"
        return _refuse_missing_signature(message, operators)
    return Ok(None)


def list_operators(record: ConfigRecord, in_force: Bundle | None) -> dict[str, str]:
    """Return the public key of each operator whose signature counts."""
    return _read_operators(in_force) or _read_operators(record["bundle"])


def find_valid_signers(record: ConfigRecord, in_force: Bundle | None) -> set[str]:
    """Return the operators whose valid signatures the record holds."""
    operators = list_operators(record, in_force)
    # The record's digest field isn't trusted: it may be that of another, signed bundle.
    digest = digest_bundle(record["bundle"])
    return {
        entry["operator"]
        for entry in record["signatures"]
        if entry["operator"] in operators
        and _verify(operators[entry["operator"]], digest, entry["signature"])
    }


def _read_operators(bundle: Bundle | None) -> dict[str, str]:
    """Return the public key of each operator that the bundle names."""
    if bundle is None:
        return {}
    return {entry["name"]: entry["public_key"] for entry in bundle.get("operators", [])}


def _verify(public: str, digest: str, signature: str) -> bool:
    try:
        key = Ed25519PublicKey.from_public_bytes(_decode_hex(public, PUBLIC_PREFIX))
        key.verify(bytes.fromhex(signature), _encode_message(digest))
    except (ValueError, InvalidSignature):
        return False
    return True


def _decode_hex(text: str, prefix: str) -> bytes:
    """Return the bytes after the prefix; no bytes if the text is malformed."""
    digits = text.strip().removeprefix(prefix)
    if not text.strip().startswith(prefix):
        return b""
    try:
        return bytes.fromhex(digits)
    except ValueError:
        return b""


def _encode_message(digest: str) -> bytes:
    return CONTEXT + digest.encode("utf-8", "surrogatepass")


def _refuse_missing_signature(
    message: str, operators: dict[str, str]
) -> Result[None, Refusal]:
    names = ", ".join(sorted(operators))
    return refuse(Code.SIGNATURE_MISSING, f"{message}; operators are {names}")
