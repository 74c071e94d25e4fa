"""Tests of the HTTP front."""

import json
from collections import Counter

import pytest
from expression import Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay.codes import Code
from bronzerelay.runtime import Connection, Runtime
from tests.builders_front import KEY, build_request, run_front

HEALTH = b"GET /health HTTP/1.1\r\nHost: front\r\n\r\n"


def assert_refused(answer, code: Code) -> None:
    """Check that an answer is a complete refusal with this code, and did not run."""
    assert answer.json["code"] == code
    assert answer.json["ran"] == "not_run"
    assert answer.json["request_id"] == answer.headers["x-request-id"]


@pytest.mark.parametrize("part", [build_request()[:30], build_request()[:-3]])
def test_a_slow_sender_is_refused(part):
    """Guards against connections that stay open forever because their caller stalled in
    the middle of a request; they would use up the connection limit.
    """
    with run_front(request_timeout_ms=50) as running:
        caller = running.call()
        answer = caller.ask(part)
        assert answer.status == 408
        assert_refused(answer, Code.CALLER_TOO_SLOW)
        assert caller.read_to_end() == b""


def test_an_idle_connection_gets_a_refusal_before_it_is_closed():
    """Guards against an idle connection that is closed without an answer: a caller may
    send a request at that moment and has to learn that it did not run.
    """
    with run_front(idle_timeout_ms=50) as running:
        caller = running.call()
        assert caller.ask(HEALTH).status == 200
        assert_refused(caller.read_answer(), Code.CALLER_TOO_SLOW)


CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET / HTTP/1.1\r\nX-Long: " + b"a" * 600, Code.HEADERS_TOO_LARGE),
        (b"GET /" + b"a" * 600, Code.HEADERS_TOO_LARGE),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 100, Code.HEADERS_TOO_LARGE),
        (CHUNKED + b"0\r\n" + b"X-Trailer: b\r\n" * 60, Code.HEADERS_TOO_LARGE),
        (build_request(body=b"a" * 2000)[:-2000], Code.BODY_TOO_LARGE),
        (CHUNKED + b"200\r\n" + b"a" * 512 + b"\r\n200\r\nb", Code.BODY_TOO_LARGE),
        (CHUNKED + b"1;x=yyyyyyyyyyyyyyyy\r\na\r\n" * 250, Code.BODY_TOO_LARGE),
        (b"nonsense\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED[:-2] + b"Content-Length: 4\r\n\r\n", Code.MALFORMED_REQUEST),
        (build_request(headers="Content-Length: 0\r\n"), Code.MALFORMED_REQUEST),
        (
            build_request(headers="Transfer-Encoding: chunked\r\n"),
            Code.MALFORMED_REQUEST,
        ),
        (CHUNKED.replace(b"chunked", b"identity"), Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b"chunked", b"chunked, identity"), Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b": chunked", b" : chunked"), Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b": chunked", b":\x0bchunked"), Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b"\r\n", b"\n"), Code.MALFORMED_REQUEST),
        (CHUNKED[:-2] + b"A: b\n C: d\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED[:-2] + b"A: b\rC: d\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED[:-2] + b"A: b\r\n C: d\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED[:-2] + b"A: b\x00\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED + b"1 \r\na\r\n0\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED + b"1\na\r\n0\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED + b"1;a\nb\r\na\r\n0\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED + b"1\r\nab\r\n0\r\n\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED + b"f" * 17 + b"\r\n", Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b"/ ", b"/\x00 "), Code.MALFORMED_REQUEST),
        (CHUNKED.replace(b"/ ", b"/a b "), Code.MALFORMED_REQUEST),
        (build_request(headers="Authorization: Bearer b\r\n"), Code.MALFORMED_REQUEST),
        (
            build_request(headers="Upgrade: h2c\r\nConnection: Upgrade\r\n"),
            Code.MALFORMED_REQUEST,
        ),
    ],
)
def test_an_oversized_or_malformed_request_is_refused(data, code):
    """Guards against endless input that fills the daemon's memory, and against request
    smuggling: input that two HTTP parsers read differently, so that one caller's bytes
    are taken for another's request.
    """
    limits = {"max_header_bytes": 512, "max_body_bytes": 512}
    with run_front(**limits) as running:
        caller = running.call()
        answer = caller.ask(data)
        assert_refused(answer, code)
        assert answer.headers["connection"] == "close"
        assert caller.read_to_end() == b""


def test_a_caller_can_send_its_whole_body_and_still_read_that_it_is_too_large():
    """Guards against a reset of the connection: many clients read the answer only after
    they have sent the whole body, and would see a broken pipe instead of 413.
    """
    with run_front(max_body_bytes=512) as running:
        answer = running.call().ask(build_request(body=b"a" * 20_000_000))
        assert_refused(answer, Code.BODY_TOO_LARGE)


def test_a_connection_over_the_limit_gets_a_refusal_with_retry_after():
    """Guards against a connection over the limit that gets no answer until its caller's
    own timeout.
    """
    with run_front(max_connections=2) as running:
        held = [running.call() for _ in range(2)]
        assert all(caller.ask(HEALTH).status == 200 for caller in held)
        refused = running.call().ask(HEALTH)
        assert refused.status == 503
        assert refused.headers["retry-after"] == "1"
        assert_refused(refused, Code.CONNECTION_LIMIT)
        held.pop().connection.close()
        wait_until(running, lambda: running.call().ask(HEALTH).status == 200)


def test_a_connection_without_a_free_task_is_refused():
    """The runtime has no free task although the connection limit isn't reached."""
    with run_front(runtime=Runtime(task_limit=3)) as running:
        held = running.call()
        assert held.ask(HEALTH).status == 200
        assert_refused(running.call().ask(HEALTH), Code.CONNECTION_LIMIT)


def wait_until(running, predicate) -> None:
    """Wait until `predicate` is true, for five seconds at most."""
    for _ in range(500):
        if predicate():
            return
        running.runtime.sleep_ms(10)
    raise AssertionError("it did not become true")


def test_a_drain_under_load_cuts_no_request():
    """The daemon is replaced while callers send one request after another. Each
    request that was sent has to get its own whole answer.
    """
    answered = []

    def run_slowly(workspace, key, request, request_id):
        running.runtime.sleep_ms(2)
        return Ok({"value": request["statement"]["row"]})

    def send_until_told_to_go(name):
        caller, number = running.call(), 0
        while True:
            row = f"{name}-{number}"
            answer = caller.ask(build_request(row))
            if answer.status == 200:
                assert answer.json["value"] == row
            else:
                assert_refused(answer, Code.STOPPING)
            number += 1
            answered.append(row)
            if answer.headers["connection"] == "close":
                caller.connection.close()
                return number

    with run_front(run_slowly) as running:
        idle = running.call()
        assert idle.ask(HEALTH).status == 200
        tasks = [running.runtime.start(send_until_told_to_go, n) for n in range(8)]
        wait_until(running, lambda: len(answered) > 50)
        drained = running.runtime.start(running.front.drain, 5000)
        assert_refused(idle.read_answer(), Code.STOPPING)
        idle.connection.close()
        assert sum(task.result() for task in tasks) == len(answered)
        assert drained.result()


def test_a_drain_of_many_connections_wakes_a_few_at_a_time(monkeypatch):
    """Guards against a drain that wakes thousands of idle connections at once: their
    tasks would contend for the GIL until the drain's deadline has passed, and requests
    would be cut.
    """
    count, waiting = 200, {}
    wait_readable = Connection.wait_readable

    def record_signal(connection, timeout_ms, signal=None):
        if signal is not None:
            waiting[connection] = signal
        return wait_readable(connection, timeout_ms, signal)

    monkeypatch.setattr(Connection, "wait_readable", record_signal)
    runtime = Runtime(task_limit=count + 20)
    with run_front(runtime=runtime, max_connections=count) as running:
        callers = [running.call() for _ in range(count)]
        wait_until(running, lambda: len(waiting) == count)
        shared = Counter(waiting.values())
        drained = running.runtime.start(running.front.drain, 5000)
        for caller in callers:
            assert_refused(caller.read_answer(), Code.STOPPING)
            caller.connection.close()
        assert drained.result()
    assert max(shared.values()) <= 64
    assert min(shared.values()) <= 2


def test_a_drain_answers_running_requests_and_ends_at_its_deadline():
    """A statement takes longer than the drain's deadline. The drain has to report that
    a request is still running, and the caller still gets its answer.
    """
    with run_front(lambda *_: go_on.wait() and Ok({})) as running:
        go_on = running.runtime.make_event()
        caller = running.call()
        caller.send(build_request() + build_request())
        wait_until(running, lambda: b"connections 1.0" in running.metrics.render())
        assert not running.front.drain(20)
        with pytest.raises(ConnectionRefusedError):
            running.call()
        go_on.set()
        assert caller.read_answer().headers["connection"] == "keep-alive"
        assert caller.read_answer().headers["connection"] == "close"
        caller.connection.close()
        assert running.front.drain(5000)


def test_a_caller_that_disconnects_early_causes_no_traceback():
    """A caller disconnects while its request is running, so that the answer can't be
    sent. The daemon has to keep serving.
    """
    with run_front(lambda *_: go_on.wait() and Ok({"value": "a" * 10**6})) as running:
        go_on = running.runtime.make_event()
        for _ in range(3):
            caller = running.call()
            caller.send(build_request() * 3)
            caller.connection.close()
        go_on.set()
        assert running.call().ask(HEALTH).status == 200
        wait_until(running, lambda: b"caller_disconnected" in running.metrics.render())
        assert "Traceback" not in running.log.getvalue()


def test_pipelined_requests_get_their_own_answers_in_order():
    """A caller pipelines several requests, in pieces that end at arbitrary bytes. Each
    answer has to belong to its request.
    """
    rows = [f"row-{number}" for number in range(20)]
    data = b"".join(build_request(row, f"X-Request-Id: {row}\r\n") for row in rows)
    with run_front() as running:
        caller = running.call()
        for start in range(0, len(data), 700):
            caller.send(data[start : start + 700])
        caller.send(b"broken\r\n\r\n")
        for row in rows:
            answer = caller.read_answer()
            assert (answer.json["value"], answer.json["request_id"]) == (row, row)
        assert_refused(caller.read_answer(), Code.MALFORMED_REQUEST)


def test_an_exception_in_a_handler_is_answered_and_logged_without_the_key():
    """A handler raises an exception whose text contains the caller's key."""

    def fail(workspace, key, request, request_id):
        raise KeyError(key)

    with run_front(fail) as running:
        caller = running.call()
        answer = caller.ask(build_request(headers="X-Request-Id: till-7\r\n"))
        assert answer.status == 500
        assert answer.json["code"] == Code.INTERNAL_ERROR
        assert answer.json["ran"] == "unknown"
        assert caller.ask(HEALTH).status == 200
        line = json.loads(running.log.getvalue().splitlines()[-1])
        assert line["request_id"] == "till-7"
        assert "KeyError" in line["exc_info"]
        assert KEY not in running.log.getvalue()


@pytest.mark.parametrize("sent", ["", "a b", "a" * 65, f"x-{KEY}"])
def test_an_invalid_request_id_is_replaced(sent):
    """Guards against arbitrary text, or even the caller's key, in the logs: the request
    id comes from a header of the caller.
    """
    with run_front() as running:
        answer = running.call().ask(build_request(headers=f"X-Request-Id: {sent}\r\n"))
        assert answer.json["request_id"] != sent
        assert len(answer.json["request_id"]) == 16


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", Code.UNKNOWN_PATH),
        (build_request().replace(b"POST", b"PUT"), Code.WRONG_METHOD),
        (HEALTH.replace(b"GET", b"POST"), Code.WRONG_METHOD),
        (build_request().replace(b"Bearer", b"Basic"), Code.KEY_MISSING),
        (build_request(body=b"{"), Code.MALFORMED_JSON),
        (build_request(body=b"{}"), Code.INVALID_STATEMENT),
    ],
)
def test_a_refused_request_leaves_the_connection_open(data, code):
    with run_front() as running:
        caller = running.call()
        assert_refused(caller.ask(data), code)
        assert caller.ask(HEALTH).status == 200


def test_the_answer_to_head_has_no_body():
    with run_front() as running:
        caller = running.call()
        caller.send(HEALTH.replace(b"GET", b"HEAD") + HEALTH)
        caller.connection.finish_sending()
        assert caller.read_to_end().count(b'{"alive":true}') == 1


def test_expect_continue_and_chunked_bodies_work():
    whole = build_request("b")
    head, _, body = whole.partition(b"\r\n\r\n")
    head = head.rpartition(b"\r\n")[0] + b"\r\nTransfer-Encoding: chunked"
    with run_front() as running:
        caller = running.call()
        assert caller.ask(head + b"\r\nExpect: 100-continue\r\n\r\n").status == 100
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        assert caller.ask(chunks).json["value"] == "b"


HEADERS = b"Content-Length: 5|Content-Length: -1|Expect: 100-continue|A: b|"
LINES = HEADERS + b"5|hello|0||GET http://[::1/ HTTP/1.1|CONNECT a:1 HTTP/1.1|SM"
LINES += b"|POST /v1/workspaces/%ff%00/statements HTTP/1.1|PRI * HTTP/2.0"
LINES += b"|Authorization: Bearer x"
WHOLE = [build_request(), build_request()[:-5], HEALTH, CHUNKED, b"\x16\x03\x01"]
PIECES = st.sampled_from([*WHOLE, *(line + b"\r\n" for line in LINES.split(b"|"))])


def test_any_bytes_get_an_answer_or_a_close():
    """Something other than an HTTP client connects: a port scanner, another protocol or
    a faulty client. The next caller must not be affected.
    """
    with run_front(max_header_bytes=512, max_body_bytes=512) as running:

        @settings(derandomize=True, max_examples=300, deadline=None)
        @given(st.lists(st.one_of(PIECES, st.binary(max_size=40)), max_size=6))
        def check(pieces):
            caller = running.call()
            caller.send(b"".join(pieces))
            caller.connection.finish_sending()
            answers = caller.read_to_end()
            caller.connection.close()
            assert not answers or answers.startswith(b"HTTP/1.1 ")
            assert b" 500 " not in answers
            following = running.call()
            assert following.ask(HEALTH).status == 200
            following.connection.close()

        check()
        assert "Traceback" not in running.log.getvalue()
