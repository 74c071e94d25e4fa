"""Tests of invalid answers of the platform and endpoints, especially deep nesting."""

import contextlib

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bronzerelay.fleet import Fleet
from bronzerelay.keyvalue import KeyValueClient, KeyValueSettings
from bronzerelay.nesting import MAX_NESTING, check_nesting
from bronzerelay.runtime import Address
from tests.endpoints import get, open_runtime, open_scripted_endpoint

TIMEOUT_MS = 2000
LEVELS = 50_000
DEEP = b"[" * LEVELS + b"]" * LEVELS
ANY_PORT = Address("127.0.0.1", 0)


class FakePlatform:
    """A server that answers each HTTP request with the same bytes."""

    def __init__(self, runtime):
        self.listener = runtime.listen(ANY_PORT)
        self.answer = b""
        runtime.start(self._serve)

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection = self.listener.accept()
                connection.receive()
                with contextlib.suppress(OSError):
                    connection.send(self.answer)
                connection.close()


@pytest.fixture(scope="module")
def platform():
    with open_runtime() as runtime:
        speaker = FakePlatform(runtime)
        address = speaker.listener.address
        client = KeyValueClient(
            runtime, KeyValueSettings((address,), "vm-1", TIMEOUT_MS)
        )
        yield runtime, speaker, client


def frame(body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_brackets_in_strings_do_not_count_as_levels():
    assert check_nesting(b'{"a": "' + b"[" * LEVELS + b'"}')
    assert not check_nesting(b"[" * (MAX_NESTING + 1))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.booleans(), st.binary(max_size=300))
@example(True, DEEP)
@example(True, b'{"value": ' + DEEP + b', "revision": 1}')
@example(True, b"\xff\xfe{}")
def test_no_answer_of_the_platform_fells_a_daemon(platform, framed, data):
    """A broken service, or something else at its address, answers with nonsense.

    Deeply nested JSON ended the whole process, since a task's stack is small. A watch
    that ended by an error would let the daemon go on with withdrawn keys.
    """
    runtime, speaker, client = platform
    speaker.answer = frame(data) if framed else data
    # In a task of the runtime, as the daemon's watches are.
    results = [
        runtime.start(client.get, "config/current").result(),
        runtime.start(client.watch, "roster", 1, 10).result(),
        runtime.start(client.list_vms).result(),
    ]
    assert all(result.is_ok() or result.error.message for result in results)


def test_a_deep_answer_of_an_endpoint_closes_its_link_only():
    """A row holds a value nested thousands of levels deep, not written by a daemon.

    Reading it would crash the serving daemon, and then the next serving daemon.
    """

    def reply(connection, line):
        connection.send(b'{"id":2,"ok":true,"value":' + DEEP + b"}\n")

    with open_scripted_endpoint(reply) as (runtime, link):
        read = runtime.start(link.read, "north", get("tray"), TIMEOUT_MS)
        result = read.result()
        assert result.error.kind == "lost"
        assert link.closed


def test_nested_status_of_a_daemon_doesnt_end_the_command(platform):
    """The command that asks all daemons ended with a segmentation fault."""
    runtime, speaker, _ = platform
    speaker.answer = frame(b'{"name": ' + DEEP + b"}")
    (state,) = Fleet(runtime, [speaker.listener.address]).read_states()
    assert (state.status, state.problem) == (None, "its status nests too deep")
