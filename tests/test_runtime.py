"""Tests of the runtime."""

import concurrent.futures
import contextlib
import signal
import socket
import threading
import time

import pytest

from bronzerelay.runtime import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    Address,
    Connection,
    Runtime,
)
from standins.linegroup import LOCAL
from tests.endpoints import open_runtime

# How long a test's task waits for data that never comes.
WAIT_MS = 3000
WAIT_S = 5.0


class UnwokenSocket(socket.socket):
    """A socket whose shutdown wakes nobody."""

    def shutdown(self, how):
        pass


class TestSilentConnections:
    def test_silent_connection_fails_within_seconds(self, runtime):
        # Guards against withdrawn keys that work for many seconds longer: when the
        # daemons' connections to the platform go silent without a reset, each waits
        # until its watch times out.
        listener = runtime.listen(Address(LOCAL, 0))
        connection = runtime.dial(listener.address, 1000)

        def read(level, option):
            return connection._sock.getsockopt(level, option)

        assert read(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == KEEPALIVE_IDLE_S
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == KEEPALIVE_INTERVAL_S
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPCNT) == KEEPALIVE_PROBES
        silent_s = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
        assert silent_s <= 3
        connection.close()
        listener.close()


class WaitingSocket:
    """A socket on which a task waits until `woken` is set."""

    def __init__(self):
        self.entered = threading.Event()
        self.woken = threading.Event()
        self.closed = False

    def recv(self, *args):
        self.entered.set()
        assert self.woken.wait(WAIT_S)
        return b""

    def shutdown(self, how):
        pass

    def close(self):
        self.closed = True


class TestClosing:
    def test_the_descriptor_of_a_waiting_task_isnt_reused(self, runtime):
        """Guards against a task that waits on a newer connection with its number."""
        sock = WaitingSocket()
        connection = Connection(sock, lambda closed: None)
        task = runtime.start(connection.receive)
        assert sock.entered.wait(WAIT_S)
        connection.close()
        assert not sock.closed
        sock.woken.set()
        assert task.result() == b""
        assert sock.closed

    def test_no_call_begins_on_a_connection_that_is_being_closed(self):
        """Guards against a task that waits on a newer connection with its number."""
        sock = WaitingSocket()
        sock.woken.set()
        connection = Connection(sock, lambda closed: None)

        def call_first():
            # Another task calls just before the descriptor is closed.
            sock.close = lambda: None
            with contextlib.suppress(OSError):
                connection.receive()

        sock.close = call_first
        connection.close()
        assert not sock.entered.is_set()

    def test_an_unused_connection_is_closed_at_once(self, runtime):
        sock = WaitingSocket()
        Connection(sock, lambda closed: None).close()
        assert sock.closed


class TestClose:
    @pytest.mark.parametrize("wait", ["receive", "wait_readable"])
    def test_close_ends_the_waits_of_other_tasks(self, wait):
        """Guards against calls to a silent peer that last until their deadlines.

        Each descriptor is taken by a new connection as soon as it is free. A task that
        waits for the old connection must not wait for the new one.
        """
        with open_runtime(task_limit=300) as runtime:
            listener = runtime.listen(Address(LOCAL, 0))
            connections = [runtime.dial(listener.address, 1000) for _ in range(200)]
            waiting = threading.Semaphore(0)

            def read(connection):
                connection.set_timeout(WAIT_MS)
                waiting.release()
                started_ms = runtime.clock.now_ms()
                with contextlib.suppress(OSError):
                    if wait == "receive":
                        connection.receive()
                    else:
                        connection.wait_readable(WAIT_MS)
                return runtime.clock.now_ms() - started_ms

            tasks = [runtime.start(read, connection) for connection in connections]
            for _ in tasks:
                waiting.acquire()
            runtime.sleep_ms(50)
            others = []
            for connection in connections:
                connection.close()
                others.append(runtime.dial(listener.address, 1000))
            waits_ms = [task.result() for task in tasks]
            for other in others:
                other.close()
            listener.close()
        late = [wait_ms for wait_ms in waits_ms if wait_ms >= WAIT_MS]
        assert late == []

    def test_a_descriptor_is_kept_until_the_last_task_has_left(self, runtime):
        """Guards against a task that reads what belongs to another connection."""
        ours, theirs = socket.socketpair()
        # As in the moment before a task that was woken runs on.
        ours = UnwokenSocket(fileno=ours.detach())
        connection = Connection(ours, lambda connection: None)
        task = runtime.start(connection.receive)
        runtime.sleep_ms(20)
        connection.close()
        assert ours.fileno() >= 0
        with pytest.raises(OSError):
            connection.send(b"late")
        theirs.close()
        assert task.result() == b""
        assert ours.fileno() < 0


DELIVERY_DELAY_S = 0.05
FALLBACK_DELAY_S = 2.0


@pytest.fixture
def usr1_handler():
    before = signal.getsignal(signal.SIGUSR1)
    yield lambda function: signal.signal(signal.SIGUSR1, lambda *_: function())
    signal.signal(signal.SIGUSR1, before)


class TestSignal:
    def test_a_signal_delivered_to_another_thread_ends_the_wait(
        self, runtime, usr1_handler
    ):
        """Guards against a SIGTERM that is ignored until the process is killed, which
        cuts requests.
        """
        wanted = runtime.make_signal()
        usr1_handler(wanted.set)
        main = threading.main_thread().ident
        ended = threading.Event()

        def deliver():
            time.sleep(DELIVERY_DELAY_S)
            # Sent to this thread, so that the main thread's wait isn't interrupted.
            signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)
            if not ended.wait(FALLBACK_DELAY_S):
                signal.pthread_kill(main, signal.SIGUSR1)

        thread = threading.Thread(target=deliver)
        thread.start()
        started_s = time.monotonic()
        wanted.wait()
        took_s = time.monotonic() - started_s
        ended.set()
        thread.join()
        assert took_s < FALLBACK_DELAY_S / 2


class TestListener:
    def test_a_port_refuses_connections_until_it_is_opened(self, runtime):
        """Guards against callers that wait for a process that is still starting."""
        listener = runtime.bind(Address(LOCAL, 0))
        with pytest.raises(ConnectionRefusedError):
            runtime.dial(listener.address, 1000)
        listener.open()
        runtime.dial(listener.address, 1000).close()
        listener.close()

    def test_a_port_that_another_process_has_opened_cant_be_opened(self, runtime):
        listener = runtime.bind(Address(LOCAL, 0))
        taken = runtime.listen(listener.address)
        with pytest.raises(OSError):
            listener.open()
        taken.close()
        listener.close()


ODD_ADDRESSES = [
    Address(f"{'a' * 64}.example", 80),
    Address("a..b", 80),
    Address(f"{LOCAL}\0", 80),
    Address(LOCAL, 65536),
    Address(LOCAL, -1),
    Address(LOCAL, 10**30),
]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
class TestOddAddresses:
    def test_connecting_raises_os_error(self, runtime, address):
        """Guards against errors that nobody expects from an unreachable address."""
        with pytest.raises(OSError):
            runtime.dial(address, 1000)

    def test_sending_raises_os_error(self, runtime, address):
        sender = runtime.open_datagram_socket(Address(LOCAL, 0))
        with pytest.raises(OSError):
            sender.send_to(b"x", address)
        sender.close()


class TestTasks:
    def test_task_that_was_cancelled_before_it_began_has_ended(self):
        """Guards against a process that waits at its end for a task that never ran."""
        runtime = Runtime(task_limit=2)
        runtime._executor = concurrent.futures.ThreadPoolExecutor(max_workers=1)
        runtime.start(runtime.sleep_ms, WAIT_MS)
        runtime.start(runtime.sleep_ms, WAIT_MS)
        assert runtime.close(WAIT_MS)

    def test_task_that_has_to_go_on_is_called_again_after_an_error(self):
        """Guards against a daemon that goes on without one of its tasks."""
        runtime = Runtime(task_limit=2)
        failures = []
        runtime.report_failure = failures.append
        results = iter([ValueError("first"), OSError("second"), "done"])

        def fail_twice():
            result = next(results)
            if isinstance(result, Exception):
                raise result
            return result

        assert runtime.keep_running(fail_twice).result(WAIT_S) == "done"
        assert runtime.restarts == len(failures) == 2
        assert "first" in failures[0]
        assert runtime.close(WAIT_MS)

    def test_task_that_ends_with_the_process_isnt_reported(self):
        """Guards against failures in the log that are none."""
        runtime = Runtime(task_limit=2)
        runtime.report_failure = pytest.fail
        listener = runtime.listen(Address(LOCAL, 0))
        task = runtime.keep_running(listener.accept)
        assert runtime.close(WAIT_MS)
        assert task.result(WAIT_S) is None
        assert runtime.restarts == 0

    def test_running_task_is_described_by_its_stack(self):
        runtime = Runtime(task_limit=2)
        runtime.start(runtime.sleep_ms, WAIT_MS)
        while "in sleep_ms" not in runtime.describe_tasks():
            time.sleep(0.01)
        assert runtime.close(WAIT_MS)
        assert "in sleep_ms" not in runtime.describe_tasks()
