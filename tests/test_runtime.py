"""Tests of the runtime."""

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
)
from standins.linegroup import LOCAL


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


WAIT_S = 5.0
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
