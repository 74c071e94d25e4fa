"""The API keys that callers present."""

import hashlib

# Keys must be unpredictable, so they come from the system's cryptographic random
# source and not from the runtime's, which tests seed.
import secrets

# Lets scanners for leaked secrets tell a key from other text.
KEY_PREFIX = "brk_"
KEY_BYTES = 32
HASH_PREFIX = "sha256:"


def make_key() -> str:
    """Return a new key of 256 random bits; only its hash is ever stored."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash of a key as `sha256:HEX`, the form in which keys are stored.

    One fast hash is enough, since 256 random bits can't be found by brute force. Text
    that isn't valid Unicode has a hash too, since callers may send anything.
    """
    data = key.encode("utf-8", "surrogatepass")
    return HASH_PREFIX + hashlib.sha256(data).hexdigest()
