"""Tests of callers' keys."""

from bronzerelay.keys import hash_key, make_key


def test_any_text_has_a_hash():
    """A caller sends bytes that aren't valid Unicode as its key. The request must be
    refused like one with any wrong key, without a traceback.
    """
    assert hash_key("\ud800").startswith("sha256:")
    assert hash_key("\udc80") != hash_key("\udc81")


def test_the_hash_is_sha256():
    digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    assert hash_key("abc") == f"sha256:{digest}"


def test_keys_differ_and_fit_into_a_header():
    keys = {make_key() for _ in range(100)}
    assert len(keys) == 100
    assert all(key.startswith("brk_") and len(key) == 47 for key in keys)
    assert all(key.isascii() and " " not in key for key in keys)
