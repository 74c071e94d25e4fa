"""Tests of the caller and of its load."""

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
    """Answers each request with the next of `answers`; None closes without one."""

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


def test_the_session_goes_with_the_caller_to_another_daemon(runtime):
    first = FakeDaemon(runtime, [frame_answer({**OK_ANSWER, "session": "t1"})])
    second = FakeDaemon(runtime, [frame_answer(OK_ANSWER)] * 2)
    caller = make_caller(runtime, first=first, second=second)
    assert read_row(caller, "first").session_after == "t1"
    entry = read_row(caller, "second")
    assert (entry.session_before, entry.session_after) == ("t1", "t1")
    assert second.received[0]["session"] == "t1"
    read_row(caller, "second")
    assert len(second.connections) == 1


def test_an_answer_that_never_comes_leaves_the_outcome_unknown(runtime):
    """A daemon dies with a request in its hands. The caller can't know whether the
    request ran, and a record that said "not run" would hide a lost write.
    """
    fake = FakeDaemon(runtime, [None])
    entry = read_row(make_caller(runtime, first=fake), "first")
    assert (entry.code, entry.ran, entry.was_answered) == (NO_ANSWER, "unknown", False)


def test_a_daemon_that_is_gone_ran_nothing(runtime):
    """Nobody listens any more where the daemon was. Nothing was sent, so the caller
    may say that the request did not run.
    """
    fake = FakeDaemon(runtime, [])
    fake.listener.close()
    entry = read_row(make_caller(runtime, first=fake), "first")
    assert (entry.code, entry.ran) == (UNREACHABLE, "not_run")


def test_a_connection_closed_while_idle_is_replaced(runtime):
    """A daemon that stops closes the connections on which nothing runs. A caller
    that sent its next request there would lose it, and blame the stop.
    """
    fake = FakeDaemon(runtime, [frame_answer(OK_ANSWER)] * 2)
    caller = make_caller(runtime, first=fake)
    read_row(caller, "first")
    fake.connections[0].close()
    assert read_row(caller, "first").ran == "ran"
    assert len(fake.connections) == 2


def test_a_body_without_code_is_no_proper_answer(runtime):
    fake = FakeDaemon(runtime, [frame_answer({"hello": 1}), frame_answer(OK_ANSWER)])
    caller = make_caller(runtime, first=fake)
    entry = read_row(caller, "first")
    assert (entry.code, entry.ran, entry.fields) == (NO_ANSWER, "unknown", ("hello",))
    assert read_row(caller, "first").value == 1


def test_a_doubled_answer_is_not_taken_for_two(runtime):
    """A daemon answers one request twice. Read as the answer to the next request, the
    second would give a kitchen the tray of another child.
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


def test_a_stall_shows_in_the_latency_of_what_waited(runtime, tmp_path):
    """A daemon stalls, and a load that waits for each answer before it sends the next
    request would send few of them and find them quick. Counted from the time at which
    each was due, those that had to wait are slow, as they were for the user.
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


def test_a_write_of_unknown_outcome_is_sent_again_with_its_key(runtime):
    """The answer to a write is lost. The caller sends the write again with the same
    idempotency key, and never does so with one that may not be repeated.
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


def test_a_transaction_is_rolled_back_when_a_part_is_refused(runtime):
    """The second half of a transfer is refused. A caller that committed the first one
    by itself would move goods out of one shop and into none.
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
