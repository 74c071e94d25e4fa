"""Tests of the platform adapter: its folder, its clients, and the daemon process."""

import contextlib
import math
import platform
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from failover_call import FailoverCall
from store_client import StoreClient

from bronzerelay.pooler.httpcalls import (
    HttpCallError,
    HttpClient,
    HttpResponse,
    PageServer,
)
from bronzerelay.pooler.mirror import ConflictError, HistoryLostError, StoreError
from bronzerelay.pooler.primarychanges import Promotion
from bronzerelay.runtime import Address
from standins.kvstore import PAGE_ITEMS, KvStore
from standins.linecaller import LineCaller
from standins.linegroup import LOCAL
from standins.lineplatform import OWN, SERVICE, read_events
from standins.processes import reserve_addresses
from tests.builders_pooler import ManualClock, PoolerFleet, make_runtime

ROOT = Path(__file__).parent.parent
# Words of the platform's protocol, which must not occur in the product's own code.
FOREIGN_WORDS = [
    "kv-",
    "readyz",
    "op/config",
    "op/evacuate",
    "servers/",
    "WAITLSN",
    "STEPDOWN",
    "DATAROW",
]
FOREIGN_WORDS += ["max_staleness_ms", "rate_per_s", "api_keys", "X-Fencing-Token"]
# Limit of a daemon's resident memory after its start.
MAX_RESIDENT_KB = 45 * 1024


@pytest.fixture
def runtime():
    runtime = make_runtime()
    yield runtime
    runtime.close(500)


@pytest.fixture
def store(runtime):
    store = KvStore(runtime)
    yield store
    store.close()


class TestFolder:
    def test_standard_module_is_found_beside_the_folder(self):
        assert platform.python_version()
        assert not (ROOT / "platform" / "__init__.py").exists()

    def test_product_is_free_of_the_platforms_words(self):
        for path in (ROOT / "bronzerelay").rglob("*.py"):
            text = path.read_text()
            assert [word for word in FOREIGN_WORDS if word in text] == [], path


class TestStoreClient:
    def test_load_reads_all_pages(self, runtime, store):
        for number in range(PAGE_ITEMS + 3):
            store.put(f"a/{number:04}", b"x")
        client = StoreClient(runtime, store.address)
        assert len(client.load("a/", 1000).items) == PAGE_ITEMS + 3

    def test_change_and_conflict(self, runtime, store):
        client = StoreClient(runtime, store.address)
        revision = client.compare_and_swap({"k": 0}, {"k": b"one"}, [], 1000)
        assert store.items["k"].data == b"one"
        with pytest.raises(ConflictError):
            client.compare_and_swap({"k": 0}, {"k": b"two"}, [], 1000)
        client.compare_and_swap({"k": revision}, {}, ["k"], 1000)
        assert "k" not in store.items

    def test_watch(self, runtime, store):
        client = StoreClient(runtime, store.address)
        at = store.revision
        store.put("k", b"one")
        store.remove("k")
        changes = client.watch("", at, 100)
        assert [item.data for item in changes.items] == [b"one", None]
        assert client.watch("", changes.revision, 50).items == []

    def test_revision(self, runtime, store):
        client = StoreClient(runtime, store.address)
        assert client.read_revision(1000) == store.revision
        revision = store.put("k", b"one")
        assert client.read_revision(1000) == revision

    def test_lost_history(self, runtime, store):
        store.forget_history()
        with pytest.raises(HistoryLostError):
            StoreClient(runtime, store.address).watch("", 1, 100)

    def test_lost_answer_may_have_run(self, runtime, store):
        store.lose_answers = 1
        with pytest.raises(StoreError) as caught:
            StoreClient(runtime, store.address).compare_and_swap(
                {"k": 0}, {"k": b"x"}, [], 1000
            )
        assert caught.value.may_have_run
        assert store.items["k"].data == b"x"

    @pytest.mark.parametrize("status", [429, 503])
    def test_refused_call_had_no_effect(self, runtime, store, status):
        store.status = status
        with pytest.raises(StoreError) as caught:
            StoreClient(runtime, store.address).compare_and_swap(
                {"k": 0}, {"k": b"x"}, [], 1000
            )
        assert not caught.value.may_have_run

    def test_call_to_a_silent_store_times_out(self, runtime, store):
        store.silent = True
        started_ms = runtime.clock.now_ms()
        with pytest.raises(StoreError):
            StoreClient(runtime, store.address).load("", 200)
        assert runtime.clock.now_ms() - started_ms < 2000
        store.silent = False

    def test_key_with_a_blank_is_read_alike_by_all_servers(self, runtime):
        """Guards against a name whose record isn't found, as a "+" stays a "+"."""
        listener = runtime.listen(Address(LOCAL, 0))
        client = StoreClient(runtime, listener.address)
        with pytest.raises(StoreError):
            client.load("bronzerelay/leads/a b+c&d=\u00e9", 100)
        head = listener.accept().receive().split(b"\r\n")[0]
        assert head.endswith(b"%2Fa%20b%2Bc%26d%3D%C3%A9 HTTP/1.1")
        listener.close()


class TestHttpClient:
    def test_call_to_a_closed_port_has_not_run(self, runtime):
        (closed,) = reserve_addresses(runtime, 1)
        with pytest.raises(HttpCallError) as caught:
            HttpClient(runtime, closed.address).call("GET", "/", b"", 500)
        assert not caught.value.may_have_run

    @pytest.mark.parametrize("path", ["/a b", "/a\r\nX: 1", "/\u00e9", "/a\x00"])
    def test_path_that_would_be_misread_isnt_sent(self, runtime, path):
        """Guards against a path that ends the request's head."""
        listener = runtime.listen(Address(LOCAL, 0))
        with pytest.raises(HttpCallError) as caught:
            HttpClient(runtime, listener.address).call("GET", path, b"", 200)
        assert not caught.value.may_have_run
        listener.close()

    def test_two_responses_at_once_arent_joined(self, runtime):
        """Guards against a body that is put together from two responses."""
        listener = runtime.listen(Address(LOCAL, 0))
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"

        def answer():
            accepted = listener.accept()
            accepted.receive()
            accepted.send(response + b"1" + response + b"2")

        runtime.start(answer)
        with pytest.raises(HttpCallError) as caught:
            HttpClient(runtime, listener.address).call("GET", "/", b"", 2000)
        assert caught.value.may_have_run
        listener.close()


class TestPageServer:
    def ask(self, runtime, data):
        """Return the paths that a server was asked for by the data of a client."""
        paths = []

        def page(path):
            paths.append(path)
            return HttpResponse(200, b"")

        ending = runtime.make_signal()
        server = PageServer(runtime, Address(LOCAL, 0), page, ending)
        runtime.start(server.run)
        client = runtime.dial(server.address, 1000)
        client.set_timeout(2000)
        client.send(data)
        with contextlib.suppress(OSError):
            client.finish_sending()
            while client.receive():
                pass
        client.close()
        ending.set()
        return paths

    def test_paths_of_two_requests_arent_joined(self, runtime):
        """Guards against a daemon that counts as unready for a path nobody asked."""
        request = b"GET /-/readyz HTTP/1.1\r\n\r\n"
        assert "/-/readyz/-/readyz" not in self.ask(runtime, request * 2)
        assert self.ask(runtime, request) == ["/-/readyz"]

    def test_endless_path_is_refused(self, runtime):
        """Guards against a path that takes the memory of the process."""
        data = b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n"
        assert self.ask(runtime, data) == []


class TestFailoverCall:
    def test_outcomes(self):
        fleet = PoolerFleet()
        try:
            call = FailoverCall(fleet.runtime, fleet.store.address)
            limits = (1000, math.inf)
            assert call(SERVICE, "orders-1", "d1", 3, *limits) is Promotion.DONE
            assert call(SERVICE, "gone", "d1", 4, *limits) is Promotion.NOT_RUNNING
            unreachable = FailoverCall(fleet.runtime, Address(LOCAL, 1))
            outcome = unreachable(SERVICE, "orders-1", "d1", 5, *limits)
            assert outcome is Promotion.NOT_SENT
            assert fleet.platform.group.promotions[0] == ("orders-1", "d1", 3)
        finally:
            fleet.close()

    @pytest.mark.parametrize("name", ["d1\r\nX-Fencing-Token: 99", "d1 ", "d\x001"])
    def test_holder_that_would_be_misread_isnt_sent(self, runtime, name):
        """Guards against a daemon's name that adds a header or reads as another."""
        listener = runtime.listen(Address(LOCAL, 0))
        call = FailoverCall(runtime, listener.address)
        outcome = call(SERVICE, "orders-1", name, 3, 300, math.inf)
        assert outcome is Promotion.NOT_SENT
        listener.close()

    def test_holder_may_have_blanks_and_other_letters(self, runtime):
        """Guards against a daemon that can never promote because of its name."""
        listener = runtime.listen(Address(LOCAL, 0))
        call = FailoverCall(runtime, listener.address)
        call(SERVICE, "orders-1", "d\u00e9 1", 3, 100, math.inf)
        sent = listener.accept().receive()
        assert "X-Lock-Holder: d\u00e9 1\r\n".encode() in sent
        listener.close()

    def test_request_without_an_answer_is_withdrawn(self, runtime):
        # The request is held up by a partition. Unless the connection is reset, it
        # arrives when the partition heals, and replaces a primary that is in use.
        listener = runtime.listen(Address(LOCAL, 0))
        call = FailoverCall(runtime, listener.address)
        outcome = call(SERVICE, "orders-1", "d1", 3, 100, math.inf)
        assert outcome is Promotion.UNKNOWN
        accepted = listener.accept()
        assert accepted.receive().startswith(b"POST /failover")
        with pytest.raises(ConnectionResetError):
            accepted.receive()
        listener.close()

    @pytest.mark.parametrize(
        ("timeout_ms", "send_by_ms"), [(900, math.inf), (6000, 1700)]
    )
    def test_nothing_is_requested_after_the_timeout(self, timeout_ms, send_by_ms):
        # The process stands still after it has connected, and another daemon takes the
        # change over. The request would replace the primary that the other promoted.
        clock = ManualClock()
        runtime = make_runtime(clock)
        listener = runtime.listen(Address(LOCAL, 0))
        dial = runtime.dial

        def dial_slowly(*args):
            connection = dial(*args)
            clock.sleep_ms(5000)
            return connection

        runtime.dial = dial_slowly
        call = FailoverCall(runtime, listener.address)
        limits = (timeout_ms, clock.now_ms() + send_by_ms)
        assert call(SERVICE, "orders-1", "d1", 3, *limits) is Promotion.NOT_SENT
        accepted = listener.accept()
        with contextlib.suppress(ConnectionResetError):
            assert accepted.receive() == b""
        runtime.close(500)


class TestProcess:
    def start(self, fleet, path):
        listeners = reserve_addresses(fleet.runtime, 3)
        ports = [listener.address for listener in listeners]
        fleet.platform.write_settings(path, "d1", ports)
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "main.py")],
            env={"BRONZERELAY_SETTINGS": str(path), "PATH": "/usr/bin:/bin"},
            stdout=subprocess.PIPE,
            text=True,
        )
        return process, ports[0]

    def connect(self, fleet, address):
        sessions = []

        def try_start():
            try:
                caller = LineCaller(fleet.runtime, address)
                if caller.start(OWN, "north-key") == "READY I -":
                    sessions.append(caller)
            except OSError:
                return False
            return bool(sessions)

        fleet.wait(try_start, "a session", 10_000)
        return sessions[0]

    def test_process_from_start_to_stop(self, tmp_path):
        # The platform sends SIGHUP when the settings change and SIGTERM to stop the
        # daemon. A signal without a handler would end the process and its sessions.
        fleet = PoolerFleet()
        process, address = self.start(fleet, tmp_path / "settings.toml")
        try:
            caller = self.connect(fleet, address)
            fleet.wait(lambda: caller.query("STORE a 1").error == "", "a write")
            process.send_signal(signal.SIGHUP)
            fleet.runtime.clock.sleep_ms(400)
            assert caller.query("FETCH a").rows == ["1"]
            status = Path(f"/proc/{process.pid}/status").read_text()
            resident_kb = int(status.partition("VmRSS:")[2].split()[0])
            assert resident_kb < MAX_RESIDENT_KB
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=10)
        finally:
            process.kill()
            process.wait()
            fleet.close()
        assert process.returncode == 0
        messages = [event["message"] for event in read_events(output)]
        assert "daemon: The daemon starts." in messages
        assert "daemon: The settings were read again." in messages
        assert "daemon: The daemon has stopped." in messages

    def test_error_in_the_settings_is_named(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text("node_name = 3\n")
        result = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "main.py")],
            env={"BRONZERELAY_SETTINGS": str(path), "PATH": "/usr/bin:/bin"},
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert result.returncode == 2
        assert "node_name" in result.stderr
