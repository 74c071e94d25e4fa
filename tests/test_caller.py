"""Tests of the caller and of the load."""

import msgspec
import pytest

from bronzerelay.runtime import Address, Runtime
from standins.caller import Caller, CallerSettings
from standins.exchange import LinkPool
from standins.load import Load
from standins.record import NO_ANSWER, UNREACHABLE, load_record, save_record
from standins.schedule import LoadSettings, build_schedule

LOOPBACK = Address("127.0.0.1", 0)
TIMEOUT_MS = 2000
OK_ANSWER = {"code": 0, "ran": "ran", "request_id": "r", "value": 1}


def frame_answer(body: dict, close: bool = False) -> bytes:
    data = msgspec.json.encode(body)
    end = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n{end}\r\n"
    return head.encode() + data


class FakeDaemon:
    """Answers each request with the next of `answers`; None closes the connection."""

    def __init__(self, runtime, answers, delay_ms=0):
        self.received = []
        self.connections = []
        self._runtime = runtime
        self._answers = iter(answers)
        self._delay_ms = delay_ms
        self.listener = runtime.listen(LOOPBACK)
        runtime.start(self._accept)

    def _accept(self):
        while True:
            try:
                connection = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            self._runtime.start(self._serve, connection)

    def _serve(self, connection):
        while data := connection.receive():
            while not data.endswith(b"}"):
                data += connection.receive()
            self.received.append(msgspec.json.decode(data.split(b"\r\n\r\n", 1)[1]))
            answer = next(self._answers, None)
            if answer is None:
                connection.close()
                return
            self._runtime.clock.sleep_ms(self._delay_ms)
            connection.send(answer)


@pytest.fixture
def runtime():
    runtime = Runtime(task_limit=100, seed=1)
    yield runtime
    assert runtime.close(TIMEOUT_MS)


def make_caller(runtime, **daemons):
    addresses = {name: fake.listener.address for name, fake in daemons.items()}
    settings = CallerSettings("one", "caterer-1", "key", TIMEOUT_MS)
    return Caller(runtime, settings, LinkPool(runtime, addresses))


def read_row(caller, daemon):
    return caller.run("orders", {"verb": "get", "row": "tray"}, daemon)


def test_the_session_token_is_sent_to_another_daemon_too(runtime):
    first = FakeDaemon(runtime, [frame_answer({**OK_ANSWER, "session": "t1"})])
    second = FakeDaemon(runtime, [frame_answer(OK_ANSWER)] * 2)
    caller = make_caller(runtime, first=first, second=second)
    assert read_row(caller, "first").session_after == "t1"
    entry = read_row(caller, "second")
    assert (entry.session_before, entry.session_after) == ("t1", "t1")
    assert second.received[0]["session"] == "t1"
    read_row(caller, "second")
    assert len(second.connections) == 1


def test_a_missing_answer_leaves_the_outcome_unknown(runtime):
    """A daemon dies before it has answered a request. The caller can't know whether the
    request ran, and a record that said "not run" would hide a lost write.
    """
    fake = FakeDaemon(runtime, [None])
    entry = read_row(make_caller(runtime, first=fake), "first")
    assert (entry.code, entry.ran, entry.was_answered) == (NO_ANSWER, "unknown", False)


def test_a_refused_connection_means_not_run(runtime):
    """Nothing listens on the daemon's address any more. The request was not sent, so
    the caller may record that it did not run.
    """
    fake = FakeDaemon(runtime, [])
    fake.listener.close()
    entry = read_row(make_caller(runtime, first=fake), "first")
    assert (entry.code, entry.ran) == (UNREACHABLE, "not_run")


def test_a_connection_closed_while_idle_is_replaced(runtime):
    """A daemon that stops closes its idle connections. If a caller sent its next
    request over one of them, the request would be recorded as cut off by the stop.
    """
    fake = FakeDaemon(runtime, [frame_answer(OK_ANSWER)] * 2)
    caller = make_caller(runtime, first=fake)
    read_row(caller, "first")
    fake.connections[0].close()
    assert read_row(caller, "first").ran == "ran"
    assert len(fake.connections) == 2


def test_a_body_without_code_is_no_valid_answer(runtime):
    fake = FakeDaemon(runtime, [frame_answer({"hello": 1}), frame_answer(OK_ANSWER)])
    caller = make_caller(runtime, first=fake)
    entry = read_row(caller, "first")
    assert (entry.code, entry.ran, entry.fields) == (NO_ANSWER, "unknown", ("hello",))
    assert read_row(caller, "first").value == 1


def test_a_doubled_answer_is_rejected(runtime):
    """A daemon answers one request twice. The second answer must not be taken for the
    answer to the next request.
    """
    twice = frame_answer(OK_ANSWER) * 2
    fake = FakeDaemon(runtime, [twice, frame_answer({**OK_ANSWER, "value": 2})])
    caller = make_caller(runtime, first=fake)
    assert read_row(caller, "first").code == NO_ANSWER
    assert read_row(caller, "first").value == 2


def make_settings(**changes):
    settings = LoadSettings(
        rates={"large": 200, "small": 20}, groups=("orders",), seed=5, duration_ms=300
    )
    return settings._replace(**changes)


def test_one_seed_gives_one_schedule(runtime):
    settings = make_settings(duration_ms=10_000, spread="moving")
    daemons = ["vm-1", "vm-2"]
    schedule = build_schedule(runtime.make_random(5), settings, daemons)
    assert schedule == build_schedule(runtime.make_random(5), settings, daemons)
    large = [arrival for arrival in schedule if arrival.workspace == "large"]
    assert 1700 < len(large) < 2300
    assert len({arrival.daemon for arrival in large if arrival.due_ms < 1000}) == 1
    assert {arrival.daemon for arrival in large} == set(daemons)


def test_latency_includes_the_wait_behind_a_stall(runtime, tmp_path):
    """A daemon stalls. A load that measures latency from the sending of each request
    would miss the time that requests wait behind the stalled one. Latency counts from
    the time at which a request was due.
    """
    fake = FakeDaemon(runtime, [frame_answer(OK_ANSWER)] * 100, delay_ms=30)
    settings = make_settings(rates={"large": 100}, workers=1, arrivals="even")
    addresses = {"vm-1": fake.listener.address}
    load = Load(runtime, settings, addresses, {"large": "key"})
    load.start()
    record = load.wait()
    assert len(record) == len(load.schedule) == 30
    assert all(entry.answered_ms - entry.sent_ms < 300 for entry in record[:3])
    assert record[-1].latency_ms > 400
    assert record[-1].latency_ms > 5 * (record[-1].answered_ms - record[-1].sent_ms)
    save_record(record, tmp_path / "record")
    assert load_record(tmp_path / "record") == record


def test_a_write_with_unknown_outcome_is_sent_again_with_its_key(runtime):
    """The answer to a write is lost. The load sends the write again with the same
    idempotency key, unless the write must not be repeated.
    """
    for once_share, expected in ((0.0, 3), (1.0, 1)):
        fake = FakeDaemon(runtime, [])
        settings = make_settings(
            rates={"large": 10}, duration_ms=100, arrivals="even", write_share=1.0
        )._replace(once_share=once_share)
        addresses = {"vm-1": fake.listener.address}
        load = Load(runtime, settings, addresses, {"large": "key"})
        load.start()
        record = load.wait()
        assert len(record) == expected
        assert len({entry.idempotency_key for entry in record}) == 1


def test_a_transaction_is_rolled_back_when_a_statement_is_refused(runtime):
    """The second statement of a transaction is refused. If the load committed the first
    one alone, half of the transaction would be applied.
    """
    begun = frame_answer({**OK_ANSWER, "transaction": "vm-1~1"})
    refused = frame_answer({**OK_ANSWER, "code": 301, "ran": "not_run"})
    done = frame_answer(OK_ANSWER)
    for answers, end in (([done, done], "commit"), ([done, refused], "rollback")):
        fake = FakeDaemon(runtime, [begun, *answers, done])
        settings = make_settings(
            rates={"large": 10}, duration_ms=100, arrivals="even", write_share=1.0
        )._replace(transaction_share=1.0)
        addresses = {"vm-1": fake.listener.address}
        load = Load(runtime, settings, addresses, {"large": "key"})
        load.start()
        record = load.wait()
        assert [entry.action for entry in record][-1] == end
        assert {entry.transaction for entry in record} == {"vm-1~1"}
        assert len(fake.received) == 4
