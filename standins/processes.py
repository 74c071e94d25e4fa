"""Starts processes on loopback, and ends every one of them by its pid."""

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
# Below the ports that the kernel hands to outgoing connections. A port out of that
# range can be taken by a connection while its daemon is down, and the daemon would
# then not come back: "address already in use".
FIRST_PORT = 12000
LAST_PORT = 31000
PORT_STRIDE = 131
POLL_MS = 20
LOG_TAIL_LINES = 15

# Each process begins somewhere else and never looks at a port twice in a row. Two
# test runs that began alike would find the same port free, and one would lose it.
_ports = itertools.count(os.getpid() * PORT_STRIDE)


class ClusterError(Exception):
    """A process of the deployment did not do what was asked of it."""


class Process:
    """One process with its log file; `start` and the others act on its pid."""

    def __init__(self, name: str, module: str, flags: list[str], folder: Path):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._command = [sys.executable, "-m", module, *flags]
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int | None:
        """The pid, or None while it isn't running."""
        return self._child.pid if self.is_running() else None

    def is_running(self) -> bool:
        """Return whether the process was started and hasn't ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; its log goes on where it was."""
        if self.is_running():
            raise ClusterError(f"{self.name} is running already")
        with self.log_path.open("ab") as log:
            # A session of its own: Ctrl-C at the terminal would else reach the
            # children at once, and look to a test like a crash of each of them.
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
        """Stop the process where it is, and return once it has stopped.

        The signal is delivered some time after it is sent; a test that went on at
        once would still be answered, and take the frozen process for a live one.
        """
        self.send_signal(signal.SIGSTOP)
        # Neither a stop nor an end is taken away from Popen here.
        os.waitid(os.P_PID, self._child.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def wait(self, timeout_ms: float) -> int | None:
        """Return the exit code, or None when it still runs after the timeout."""
        if self._child is None:
            return None
        try:
            return self._child.wait(timeout_ms / 1000)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """End the process without warning; one that has ended stays so."""
        if not self.is_running():
            return
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._child.pid, signal.SIGKILL)
        self._child.wait()

    def read_log(self) -> str:
        """Return all that the process has written."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(errors="replace")

    def read_tail(self) -> str:
        """Return the last lines of the log, for an error message."""
        lines = self.read_log().splitlines()[-LOG_TAIL_LINES:]
        return "\n".join(f"    {self.name}: {line}" for line in lines)


def reserve_addresses(runtime: Runtime, count: int) -> list[Listener]:
    """Return `count` loopback ports, held for processes that are started on them.

    Whoever starts a process closes its listener after that has ended for good. The port
    of a process that is restarted would go to another test run meanwhile, whose process
    would be taken for the restarted one.
    """
    held: list[Listener] = []
    while len(held) < count:
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with contextlib.suppress(OSError):
            held.append(runtime.reserve_port(Address(HOST, port)))
    return held


def wait_until_listening(
    runtime: Runtime, process: Process, address: Address, timeout_ms: float
) -> None:
    """Return once `address` accepts; raise ClusterError with the log's end if not."""
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
