"""Starts processes that listen on loopback, and ends each one by its pid."""

import contextlib
import itertools
import os
import signal
import subprocess
import sys
from pathlib import Path

from bronzerelay.runtime import Address, Listener, Runtime

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
# Below the kernel's ephemeral ports. An outgoing connection can take a port of that
# range while its daemon is down, and the daemon could then not restart: "address
# already in use".
FIRST_PORT = 12000
LAST_PORT = 31000
PORT_STRIDE = 131
POLL_MS = 20
LOG_TAIL_LINES = 15

# Each test process begins at another port and tries every port only once per round. If
# two test runs began at the same port, both would find it free and one would lose it.
_ports = itertools.count(os.getpid() * PORT_STRIDE)


class ClusterError(Exception):
    """A process of the deployment did not start, stop or answer as it should."""


class Process:
    """One process with its log file; signals are sent to its pid."""

    def __init__(self, name: str, module: str, flags: list[str], folder: Path):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._command = [sys.executable, "-m", module, *flags]
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int | None:
        """The pid, or None while the process isn't running."""
        return self._child.pid if self.is_running() else None

    def is_running(self) -> bool:
        """Return whether the process has been started and hasn't ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; it appends to its log."""
        if self.is_running():
            raise ClusterError(f"{self.name} is running already")
        with self.log_path.open("ab") as log:
            # In a session of its own, since Ctrl-C at the terminal would otherwise end
            # the children too, which a test would take for a crash of each of them.
            self._child = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                start_new_session=True,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, or raise ClusterError when it has ended."""
        if not self.is_running():
            raise ClusterError(f"{self.name} is not running\n{self.read_tail()}")
        os.kill(self._child.pid, number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, and return once it has stopped.

        The signal takes effect some time after it is sent. Without the wait, a test
        could still get an answer from a process that it assumes to be frozen.
        """
        self.send_signal(signal.SIGSTOP)
        # WNOWAIT leaves the state to be collected by Popen later.
        os.waitid(os.P_PID, self._child.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def wait(self, timeout_ms: float) -> int | None:
        """Return the exit code, or None if the process still runs after the timeout."""
        if self._child is None:
            return None
        try:
            return self._child.wait(timeout_ms / 1000)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process with SIGKILL, if it is running."""
        if not self.is_running():
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._child.pid, signal.SIGKILL)
        self._child.wait()

    def read_log(self) -> str:
        """Return everything that the process has written to its log."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(errors="replace")

    def read_tail(self) -> str:
        """Return the last lines of the log, for an error message."""
        lines = self.read_log().splitlines()[-LOG_TAIL_LINES:]
        return "\n".join(f"    {self.name}: {line}" for line in lines)


def reserve_addresses(runtime: Runtime, count: int) -> list[Listener]:
    """Return `count` loopback ports, reserved for processes that will listen on them.

    Close the listener of a port only when its process has ended for good. Otherwise
    another test run could get the port during a restart, and its process would be taken
    for the restarted one.
    """
    listeners: list[Listener] = []
    while len(listeners) < count:
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with contextlib.suppress(OSError):
            listeners.append(runtime.reserve_port(Address(HOST, port)))
    return listeners


def wait_until_listening(
    runtime: Runtime, process: Process, address: Address, timeout_ms: float
) -> None:
    """Return once `address` accepts connections.

    If it doesn't, raise a ClusterError that holds the end of the process's log.
    """
    end_ms = runtime.clock.now_ms() + timeout_ms
    while runtime.clock.now_ms() < end_ms:
        if not process.is_running():
            break
        try:
            runtime.dial(address, timeout_ms).close()
            return
        except OSError:
            runtime.clock.sleep_ms(POLL_MS)
    message = f"{process.name} does not listen on {address}"
    raise ClusterError(f"{message}; its log ends with\n{process.read_tail()}")
