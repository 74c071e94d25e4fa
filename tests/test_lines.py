"""Tests of reading lines that come late or in parts."""

import pytest

from bronzerelay.pooler.lines import LineReader, LineTooLongError
from bronzerelay.runtime import Address
from tests.endpoints import open_runtime

LONG_MS = 1000


@pytest.fixture(name="ends")
def fixture_ends():
    """Yield both ends of a connection, and the runtime."""
    with open_runtime() as runtime:
        listener = runtime.listen(Address("127.0.0.1", 0))
        near = runtime.dial(listener.address, LONG_MS)
        far = listener.accept()
        listener.close()
        yield near, far, runtime
        near.close()
        far.close()


def test_a_line_that_is_there_is_read_though_its_deadline_has_passed(ends):
    """Guards against losing an instance's answer because the daemon was paused."""
    near, far, runtime = ends
    far.send(b"row\r\nend\r\n")
    assert near.wait_readable(LONG_MS)
    reader = LineReader(near, runtime.clock)
    passed_ms = runtime.clock.now_ms() - 1
    assert reader.read_line(passed_ms) == b"row"
    assert reader.read_line(passed_ms) == b"end"


def test_a_deadline_ends_the_wait_for_the_rest_of_a_line(ends):
    near, far, runtime = ends
    far.send(b"half")
    assert near.wait_readable(LONG_MS)
    reader = LineReader(near, runtime.clock)
    with pytest.raises(TimeoutError):
        reader.read_line(runtime.clock.now_ms() + 20)


def test_a_line_over_the_limit_is_refused_though_its_end_has_come(ends, monkeypatch):
    """Guards against a limit that holds only for lines whose end comes later."""
    monkeypatch.setattr("bronzerelay.pooler.lines.MAX_LINE_BYTES", 100)
    near, far, runtime = ends
    far.send(b"x" * 100 + b"\r\n" + b"x" * 101 + b"\r\n")
    assert near.wait_readable(LONG_MS)
    reader = LineReader(near, runtime.clock)
    deadline_ms = runtime.clock.now_ms() + LONG_MS
    assert reader.read_line(deadline_ms) == b"x" * 100
    with pytest.raises(LineTooLongError):
        reader.read_line(deadline_ms)
