"""Tests of the daemon's main module."""

import signal
import sys

import pytest

from bronzerelay.daemon import Daemon, handle_stop_signals
from bronzerelay.runtime import Address, Runtime
from bronzerelay.settings import DaemonSettings
from tests.endpoints import open_runtime

STEPS = 60
ALARM_DELAY_S = 0.1


@pytest.fixture
def signal_handlers():
    """Make SIGALRM raise SIGTERM, and restore the signal handlers after the test."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGALRM)
    before = {number: signal.getsignal(number) for number in numbers}
    signal.signal(signal.SIGALRM, lambda *_: signal.raise_signal(signal.SIGTERM))
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.parametrize("step", range(1, STEPS))
@pytest.mark.timeout(10, method="thread")
def test_a_signal_at_any_moment_of_the_wait_ends_it(signal_handlers, step):
    """SIGTERM arrives at the moment at which the daemon starts to wait for it.

    With `threading.Event` the handler deadlocked on a lock that its own thread held:
    the daemon kept serving, and neither this SIGTERM nor a later one stopped it.
    """
    stop_requested = handle_stop_signals(Runtime(1))
    steps_left = step

    def trace(frame, event, argument):
        nonlocal steps_left
        steps_left -= 1
        if steps_left == 0:
            signal.raise_signal(signal.SIGTERM)
        return trace

    # If the wait has fewer steps, SIGALRM interrupts it while it sleeps.
    signal.setitimer(signal.ITIMER_REAL, ALARM_DELAY_S)
    sys.settrace(trace)
    try:
        stop_requested.wait()
    finally:
        sys.settrace(None)
        signal.setitimer(signal.ITIMER_REAL, 0)


def test_a_daemon_that_is_starting_refuses_callers_and_peers():
    """Guards against connections that hang because the process can't answer yet."""
    any_port = Address("127.0.0.1", 0)
    settings = DaemonSettings(
        name="vm-1",
        failure_domain="a",
        listen=any_port,
        peer_listen=any_port,
        platform=(any_port,),
        peer_secret="secret",
    )
    with open_runtime() as runtime:
        components = Daemon(runtime, settings).components
        for address in (components.front.address, components.server.address):
            with pytest.raises(ConnectionRefusedError):
                runtime.dial(address, 1000)
