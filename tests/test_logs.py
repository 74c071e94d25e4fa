"""Tests of the log."""

import io
import json
import subprocess
import sys

import pytest

from bronzerelay.logs import hide_key, open_log, redact_keys

KEY = "br-7Qz.k_3~9+/="


def test_an_event_is_one_line_prefixed_with_its_part():
    stream = io.StringIO()
    open_log("pool", stream).warning("A link\nis %s.", "closed", extra={"endpoint": 1})
    open_log("pool", stream).info("Another one.")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first["message"] == "pool: A link\nis closed."
    assert (first["part"], first["level"], first["endpoint"]) == ("pool", "WARNING", 1)
    assert second["message"] == "pool: Another one."


@pytest.mark.parametrize(
    "text",
    [
        f"Authorization: Bearer {KEY}",
        f"authorization:Basic {KEY}",
        f"sent bearer\t{KEY} twice: BEARER  {KEY}",
        f"{{'Authorization': 'Bearer {KEY}'}}",
        json.dumps({"authorization": KEY}),
    ],
)
def test_a_logged_header_never_contains_its_key(text):
    """Guards against a key in the log when a caller's headers are logged for debugging:
    anybody who reads the log could then send statements as that caller.
    """
    stream = io.StringIO()
    log = open_log("front", stream)
    log.info(text)
    log.info("%s", text, extra={"headers": {"sent": [text]}, "more": text})
    try:
        raise ValueError(text)
    except ValueError:
        log.exception("A fault.")
    assert KEY not in stream.getvalue()
    assert all(json.loads(line) for line in stream.getvalue().splitlines())


def test_the_key_of_the_running_request_is_redacted_anywhere():
    """A library puts the bare key into the text of its exception, without a prefix such
    as "Bearer" that identifies it.
    """
    with hide_key(KEY):
        assert KEY not in redact_keys(f"no such entry: {KEY!r}")
    assert redact_keys("plain text, authorization is missing") == (
        "plain text, authorization is missing"
    )


@pytest.mark.parametrize("key", ["1", "n", "e", "level"])
def test_a_short_key_leaves_a_line_readable(key):
    """Guards against a caller whose invented key makes its own log lines no JSON."""
    stream = io.StringIO()
    extra = {"request_id": "e1n", "code": 101, "reason": f"a\nb {key}", "omitted": 0}
    with hide_key(key):
        open_log("kernel", stream).info("A line.", extra=extra)
    line = json.loads(stream.getvalue())
    assert line["reason"].endswith(" [hidden]")
    assert line["time"].startswith("2")
    assert (line["level"], line["part"]) == ("INFO", "kernel")
    assert (line["request_id"], line["code"], line["omitted"]) == ("e1n", 101, 0)


def test_an_authorization_field_is_redacted_whatever_it_holds():
    """Guards against a line that is cut up where a value looks like a header."""
    stream = io.StringIO()
    headers = {"Proxy-Authorization": f"Basic {KEY}", "more": ["authorization:"]}
    fields = {"authorization": {"scheme": KEY}}
    extra = {"headers": headers, "fields": fields}
    with hide_key(KEY):
        open_log("front", stream).info("authorization: x\nNext line.", extra=extra)
    assert KEY not in stream.getvalue()
    line = json.loads(stream.getvalue())
    assert line["headers"]["more"] == ["authorization:"]
    assert line["message"].endswith("\nNext line.")


LIBRARY = """
import logging
from bronzerelay import logs
logs.set_level("info")
try:
    raise ValueError('bearer KEY\\n{"level": "INFO", "message": "forged"}')
except ValueError:
    logging.exception("Unexpected exception in handler")
logging.getLogger("urllib3").warning("A pool is full.")
logging.getLogger("urllib3").debug("Nobody needs this.")
logs.open_log("pool").info("A line of the daemon.")
"""


def test_what_a_library_logs_is_a_redacted_line_too():
    """Guards against a traceback whose text looks like lines of the daemon's log."""
    command = [sys.executable, "-c", LIBRARY]
    ended = subprocess.run(command, capture_output=True, text=True, check=True)
    lines = [json.loads(line) for line in ended.stderr.splitlines()]
    assert [line["message"] for line in lines] == [
        "library: Unexpected exception in handler",
        "library: A pool is full.",
        "pool: A line of the daemon.",
    ]
    assert "bearer [hidden]\n{" in lines[0]["exc_info"]
