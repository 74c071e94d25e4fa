"""The seam to the outside world."""

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
)
from standins.linegroup import LOCAL


class TestSilentConnections:
    def test_connection_that_falls_silent_ends_within_seconds(self, runtime):
        # All daemons' connections to the platform's store fall silent at once, without
        # a reset. Each waits on its watch until that times out, and a key that is
        # withdrawn meanwhile goes on working for many seconds.
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


HOLD_UP_S = 0.05
LATE_S = 2.0


@pytest.fixture
def usr1_handler():
    before = signal.getsignal(signal.SIGUSR1)
    yield lambda function: signal.signal(signal.SIGUSR1, lambda *_: function())
    signal.signal(signal.SIGUSR1, before)


class TestSignal:
    def test_a_signal_that_interrupts_no_wait_ends_it_all_the_same(
        self, runtime, usr1_handler
    ):
        """Guards against a SIGTERM that is never heeded, so that requests are cut."""
        wanted = runtime.make_signal()
        usr1_handler(wanted.set)
        main = threading.main_thread().ident
        ended = threading.Event()

        def deliver():
            time.sleep(HOLD_UP_S)
            # To this thread: the wait of the main one is not interrupted.
            signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)
            if not ended.wait(LATE_S):
                signal.pthread_kill(main, signal.SIGUSR1)

        thread = threading.Thread(target=deliver)
        thread.start()
        begun_s = time.monotonic()
        wanted.wait()
        took_s = time.monotonic() - begun_s
        ended.set()
        thread.join()
        assert took_s < LATE_S / 2


class TestListener:
    def test_a_port_refuses_connections_until_it_is_opened(self, runtime):
        """Guards against callers that wait for a process that is starting."""
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
