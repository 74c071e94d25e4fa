"""The keys that callers present."""

import hashlib

# A key must not be guessed from other keys, so it comes from the system's
# cryptographic source and not from the runtime's random source, which tests seed.
import secrets

# Lets scanners for leaked secrets tell a key from other text.
KEY_PREFIX = "brk_"
KEY_BYTES = 32
HASH_PREFIX = "sha256:"


def make_key() -> str:
    """Return a new key of 256 random bits; it is shown once and never stored."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash under which a key is kept, as `sha256:HEX`.

    One fast hash is enough: nobody can try out 256 random bits. Any text has a hash,
    also one that isn't valid Unicode, since callers send what they like.
    """
    data = key.encode("utf-8", "surrogatepass")
    return HASH_PREFIX + hashlib.sha256(data).hexdigest()
