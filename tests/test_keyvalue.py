"""Tests of the key-value client, mostly of its handling of failures."""

import contextlib

import pytest
from expression import Ok

from bronzerelay import registry
from bronzerelay.codes import NOT_RUN, UNKNOWN, Code
from bronzerelay.keyvalue import KeyValueClient, KeyValueSettings
from bronzerelay.runtime import Address, Runtime
from bronzerelay.types import StoredValue, Vm
from standins.platform import DOWN, LOSE_ANSWERS, REFUSE, SLOW, UP
from standins.store import Store
from tests.builders_platform import find_free_address, run_platform

SHORT_MS = 250


class RecordingStore(Store):
    """A store that records the outcome of each PUT."""

    def __init__(self, *args):
        super().__init__(*args)
        self.outcomes = []

    def put(self, *args):
        answer = super().put(*args)
        self.outcomes.append(answer[0])
        return answer


class RacingStore(Store):
    """A store in which another writer writes just before the first read."""

    raced = False

    def get(self, key):
        found = super().get(key)
        if not self.raced:
            self.raced = True
            self.put(key, "theirs", found.revision)
        return super().get(key)


@pytest.fixture
def platform():
    with run_platform() as running:
        yield running


def outcome(result):
    return (result.error.code, result.error.ran)


def test_a_put_whose_answer_is_lost_succeeds_once(platform):
    """The platform stores a bundle and the connection breaks before its answer. If the
    operator were told "failed", they would roll out the same bundle again. If the
    client sent it again, it would be refused because of its own first PUT.
    """
    losing = platform.add_server()
    losing.set_fault(LOSE_ANSWERS)
    client = platform.make_client(losing.address)
    assert client.put("config/current", {"members": ("a", "b")}, 0) == Ok(1)
    assert client.get("config/current") == Ok(StoredValue({"members": ["a", "b"]}, 1))
    losing.stop()


def test_a_lost_put_that_was_replaced_since_is_unknown():
    """A write takes effect, its answer is lost, and another operator writes before the
    read back. "Not run" would be false: the first value was in force for a moment.
    """
    with run_platform(RacingStore) as platform:
        platform.server.set_fault(LOSE_ANSWERS, count=1)
        result = platform.make_client().put("config/current", "ours", 0)
        assert outcome(result) == (Code.COMPARE_FAILED, UNKNOWN)


def test_a_put_that_arrives_late_takes_effect_once():
    """The platform is slow, and the client gives up before the PUT runs. It reads the
    old value, and the PUT runs later. The value must not be stored twice.
    """
    with run_platform(RecordingStore) as platform:
        assert platform.make_client().put("roster", "old", 0) == Ok(1)
        platform.server.set_fault(SLOW, delay_ms=3 * SHORT_MS, count=1)
        client = platform.make_client(timeout_ms=SHORT_MS)
        assert client.put("roster", "new", 1) == Ok(2)
        outcomes = platform.server.store.outcomes
        while len(outcomes) < 3 and platform.runtime.sleep_ms(10):
            pass
        assert outcomes == [True, True, False]
        assert client.get("roster") == Ok(StoredValue("new", 2))


def test_a_late_put_of_an_absent_key_is_unknown(platform):
    """The key is absent when the client reads back, and appears a moment later. A
    second PUT could restore a key that was deleted in between.
    """
    platform.server.set_fault(SLOW, delay_ms=3 * SHORT_MS, count=1)
    client = platform.make_client(timeout_ms=SHORT_MS)
    result = client.put("config/current", "new", 0)
    assert outcome(result) == (Code.PLATFORM_UNAVAILABLE, UNKNOWN)
    patient = platform.make_client()
    assert patient.watch("config/current", 0, 5000) == Ok(StoredValue("new", 1))


@pytest.mark.parametrize(
    ("mode", "ran"), [(REFUSE, NOT_RUN), (DOWN, UNKNOWN), (LOSE_ANSWERS, UNKNOWN)]
)
def test_a_put_during_an_outage_reports_whether_it_may_have_run(platform, mode, ran):
    """The platform refuses every call, doesn't answer, or breaks off its answers. The
    error must say whether the change may still come into force, and no call may hang.
    """
    client = platform.make_client(timeout_ms=SHORT_MS)
    platform.server.set_fault(mode)
    result = client.put("roster", "new", 7)
    assert outcome(result) == (Code.PLATFORM_UNAVAILABLE, ran)
    assert result.error.retry_after_ms > 0
    assert sum(platform.server.count_calls()["by_caller"].values()) <= 3


def test_a_put_without_a_server_has_not_run():
    """No server listens at the address, so nothing was sent, and the error says so."""
    runtime = Runtime(task_limit=2)
    settings = KeyValueSettings((find_free_address(runtime),), "vm-1")
    result = KeyValueClient(runtime, settings).put("roster", "new", 0)
    assert outcome(result) == (Code.PLATFORM_UNAVAILABLE, NOT_RUN)
    runtime.close(1000)


def test_of_racing_puts_one_wins(platform):
    """Eight daemons change the roster from the same revision at the same time. If two
    succeeded, one of them would act on a roster that the other one has replaced.
    """
    clients = [platform.make_client(caller=f"vm-{n}") for n in range(8)]
    tasks = [
        platform.runtime.start(client.put, "roster", index, 0)
        for index, client in enumerate(clients)
    ]
    results = [task.result(10) for task in tasks]
    assert sum(result.is_ok() for result in results) == 1
    losers = {outcome(result) for result in results if result.is_error()}
    assert losers == {(Code.COMPARE_FAILED, NOT_RUN)}


def test_a_lease_expires_while_its_holder_is_paused(platform):
    """A daemon is paused for longer than its lease. When it resumes, its key has been
    deleted, a renewal is refused, and nothing more can be stored under the lease.
    """
    client = platform.make_client()
    lease = client.grant_lease(SHORT_MS).ok
    revision = client.put("holder", "vm-1", 0, lease).ok
    watcher = platform.make_client(caller="vm-2")
    expired = platform.runtime.start(watcher.watch, "holder", revision, 60_000)
    assert expired.result(20).error.code is Code.NOT_FOUND
    assert client.renew_lease(lease).error.code is Code.NOT_FOUND
    assert client.put("holder", "vm-1", 0, lease).is_error()


def test_a_watch_over_an_outage_gets_the_newest_value(platform):
    """An outage begins while a watch waits, and two versions come into force before
    the watch can be renewed. The daemon must see the second one.
    """
    client = platform.make_client(timeout_ms=SHORT_MS)
    assert client.put("config/current", "v1", 0) == Ok(1)
    watch = platform.runtime.start(client.watch, "config/current", 1, SHORT_MS)
    platform.server.set_fault(DOWN, callers=("vm-1",))
    assert outcome(watch.result(10))[0] is Code.PLATFORM_UNAVAILABLE
    operator = platform.make_client(caller="operator")
    assert operator.put("config/current", "v2", 1) == Ok(2)
    assert operator.put("config/current", "v3", 2) == Ok(3)
    platform.server.set_fault(UP)
    assert client.watch("config/current", 1, 5000) == Ok(StoredValue("v3", 3))


def test_the_next_address_is_tried(platform):
    """One address of the platform is unreachable. Calls use the other one, even those
    that change values, because nothing was sent to the first.
    """
    client = platform.make_client(find_free_address(platform.runtime))
    assert client.put("roster", "new", 0) == Ok(1)
    assert client.get("roster") == Ok(StoredValue("new", 1))


def test_a_hanging_address_is_avoided(platform):
    """One address of the platform accepts calls and never answers. The outcome of a
    change is determined through the other address, and later calls don't wait for the
    first one.
    """
    hanging = platform.add_server()
    hanging.set_fault(DOWN)
    platform.make_client().put("roster", "old", 0)
    client = platform.make_client(hanging.address, timeout_ms=SHORT_MS)
    assert client.put("roster", "new", 1) == Ok(2)
    assert client.get("roster") == Ok(StoredValue("new", 2))
    assert hanging.count_calls()["by_caller"] == {"vm-1": 1}
    hanging.stop()


def ask_raw_server(runtime, parts):
    """Return the result of a read if the platform sends `parts`, with pauses."""
    listener = runtime.listen(Address("127.0.0.1", 0))

    def serve():
        connection = listener.accept()
        connection.receive()
        with contextlib.suppress(OSError):
            for part in parts:
                connection.send(part)
                runtime.sleep_ms(10)
        connection.close()

    runtime.start(serve)
    settings = KeyValueSettings((listener.address,), "vm-1", SHORT_MS)
    return KeyValueClient(runtime, settings).get("roster")


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xfe",
        b'HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{"value":1,"revision":"one"}',
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000024\r\n\r\n"
        b'{"value":1,"revision":1}' + b" " * 3_000_000,
        b"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
    ],
)
def test_a_broken_answer_is_no_answer(answer):
    """A load balancer in front of the platform sends malformed answers. The client
    reports an outage; it doesn't crash or return a value.
    """
    runtime = Runtime(task_limit=4)
    result = ask_raw_server(runtime, [answer])
    assert outcome(result)[0] is Code.PLATFORM_UNAVAILABLE
    runtime.close(1000)


def test_an_answer_in_single_bytes_ends_at_the_timeout():
    """The platform sends single bytes, each within a timeout that restarts with every
    byte. Without a timeout for the whole answer the daemon would wait forever.
    """
    runtime = Runtime(task_limit=4)
    trickle = iter([b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", *[b" "] * 9999])
    result = ask_raw_server(runtime, trickle)
    assert outcome(result)[0] is Code.PLATFORM_UNAVAILABLE
    assert len(list(trickle)) > 0
    runtime.close(1000)


def test_closing_the_runtime_ends_a_watch():
    """A daemon stops while its watch may wait for another half minute. The process
    joins all tasks when it ends, so the watch would delay its end.
    """
    with run_platform() as platform:
        client_runtime = Runtime(task_limit=2)
        settings = KeyValueSettings((platform.server.address,), "vm-1")
        client = KeyValueClient(client_runtime, settings)
        watch = client_runtime.start(client.watch, "roster", 0, 30_000)
        while not platform.server.count_calls()["watches"]:
            platform.runtime.sleep_ms(5)
        assert client_runtime.close(5000)
        assert watch.result(0).is_error()


def test_a_watch_ends_empty_when_nothing_changes(platform):
    client = platform.make_client()
    client.put("roster", "one", 0)
    assert client.watch("roster", 1, 20) == Ok(None)


def test_delete_compares_and_survives_a_lost_answer(platform):
    """The answer to a delete is lost after the key was deleted, and the client reads
    back. A key at another revision isn't deleted.
    """
    client = platform.make_client()
    client.put("groups/orders", 1, 0)
    assert outcome(client.delete("groups/orders", 9)) == (Code.COMPARE_FAILED, NOT_RUN)
    platform.server.set_fault(LOSE_ANSWERS, count=1)
    assert client.delete("groups/orders", 1) == Ok(None)
    assert client.get("groups/orders").error.code is Code.NOT_FOUND


def test_keys_vms_and_limits(platform):
    client = platform.make_client()
    client.put("config/proposals/sha256:b c?", 1, 0)
    client.put("config/current", 2, 0)
    assert client.list_keys("config/p") == Ok(["config/proposals/sha256:b c?"])
    platform.server.store.set_vm("vm-1", "leaving")
    assert client.list_vms() == Ok([Vm("vm-1", "leaving")])
    assert client.put("roster", "x" * 2**20, 0).error.code is Code.BODY_TOO_LARGE
    lease = client.grant_lease(60_000).ok
    client.put("holder", 1, 0, lease)
    assert client.renew_lease(lease) == Ok(None)
    assert client.end_lease(lease) == Ok(None)
    assert client.get("holder").is_error()


def test_the_client_is_a_plugin():
    assert registry.find(registry.KEY_VALUE, "http") is KeyValueClient
