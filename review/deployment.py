"""A small deployment for the review's scripts: the platform stand-in and real daemons.

Each daemon is a process of its own, started by the command of the deploy file, with a
loopback address of its own, as each VM has one.
"""

import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

from bronzerelay.runtime import Runtime
from standins.lineplatform import LinePlatform

ROOT = Path(__file__).resolve().parent.parent
READY_WAIT_S = 15
# Bounds of the small site `vianda-core`.
GRACE_S = 6
CONFIG_APPLY_MS = 3000
STABLE_WINDOW_MS = 4000


def now_s() -> float:
    """Return the time of the steady clock in seconds."""
    return time.monotonic()


class Record:
    """The file with what was sent, answered and run, in order of time."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start_s = now_s()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line with the time since the start."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s() - self._start_s:9.4f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def find_ports(host: str, count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(12000, 31000)
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Daemon:
    """One daemon on a loopback address of its own."""

    def __init__(self, platform: LinePlatform, name: str, host: str, folder: Path):
        self.name = name
        self.host = host
        ports = find_ports(host, 3)
        self.frontend = (host, ports[0])
        self.ready = (host, ports[1])
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        store = platform.store.address
        self._settings.write_text(
            f"""node_name = "{name}"
role = "proxy"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{host}"
zone = "z1"
region = "r1"
internal_ports = [{ports[2]}, {ports[2] + 15}]
seeds = []
bootstrap = true
[zones]
z1 = "r1"
[bind_addrs]
frontend = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
[limits]
memory_mb = 300
max_fds = 4200
[bounds]
stable_window_ms = {STABLE_WINDOW_MS}
drain_ms = 7000
grace_s = {GRACE_S}
loss_slack_ms = 200
config_apply_ms = {CONFIG_APPLY_MS}
recovery_s = 12
fencing = false
[platform]
address = "{store}"
form = "kv"
[provider]
address = "{store}"
"""
        )

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRONZERELAY_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.wait(10)

    def is_ready(self) -> bool:
        """Return whether the daemon answers the ready probe with 200."""
        try:
            with socket.create_connection(self.ready, 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(200).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def read_tail(self) -> list[str]:
        """Return the last lines of the log."""
        return self._log.read_text(errors="replace").splitlines()[-5:]

    def read_events(self) -> list[dict[str, Any]]:
        """Return the log lines of the process."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """The platform stand-in and some daemons."""

    def __init__(self, folder: Path, names: list[str]):
        self.runtime = Runtime(task_limit=600)
        self.platform = LinePlatform(self.runtime)
        # Each run has loopback addresses of its own, so that several may run at once.
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.daemons = [
            Daemon(self.platform, name, f"{net}.{number + 1}", folder)
            for number, name in enumerate(names)
        ]

    def start(self, record: Record) -> bool:
        """Start all daemons; return whether all became ready, and record why not."""
        for daemon in self.daemons:
            daemon.start()
        if wait_until(
            lambda: all(daemon.is_ready() for daemon in self.daemons), READY_WAIT_S
        ):
            return True
        for daemon in self.daemons:
            record.write(
                "not started",
                daemon=daemon.name,
                ready=daemon.is_ready(),
                exit_code=daemon.wait(0),
                log=daemon.read_tail(),
            )
        return False

    def close(self) -> None:
        """End all processes."""
        for daemon in self.daemons:
            daemon.kill()
        self.platform.close()


def run_case(
    number: int,
    folder: Path,
    names: list[str],
    run: Callable[[Deployment, Record, bool], int],
) -> NoReturn:
    """Run a case and end the process with its exit code, 2 if the case itself fails."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = 2
    try:
        with tempfile.TemporaryDirectory(prefix=f"review-{number}-") as temporary:
            deployment = Deployment(Path(temporary), names)
            try:
                code = run(deployment, record, trouble)
            finally:
                deployment.close()
    except Exception:
        code = 2
        text = traceback.format_exc()
        sys.stderr.write(text)
        record.write("failed", trace=text.splitlines())
    record.close()
    sys.stdout.flush()
    os._exit(code)


def wait_until(predicate: Any, timeout_s: float) -> bool:
    """Wait until the predicate holds; return whether it did."""
    end_s = now_s() + timeout_s
    while not predicate():
        if now_s() > end_s:
            return False
        time.sleep(0.1)
    return True


class Consumer:
    """One session of a consumer; it tells how each request ended."""

    def __init__(self, address: tuple[str, int], database: str, key: str):
        self._sock = socket.create_connection(address, 2)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self._sock.settimeout(2)
        self._sock.sendall(f"STARTUP {database} {key}\r\n".encode())
        self.greeting = self._read_line()

    def _read_line(self) -> str:
        while b"\r\n" not in self._buffer:
            data = self._sock.recv(65536)
            if not data:
                raise ConnectionError("the connection ended")
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line.decode()

    def is_closed(self) -> bool:
        """Return whether the daemon has closed the session while it was idle."""
        self._sock.setblocking(False)
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self._sock.settimeout(2)

    def query(self, request: str, text: str, timeout_s: float) -> list[str]:
        """Return all lines of the answer; raise OSError if it isn't complete."""
        self._sock.settimeout(timeout_s)
        self._sock.sendall(f"QUERY {request} {text}\r\n".encode())
        lines = [self._read_line()]
        while not lines[-1].startswith("READY"):
            lines.append(self._read_line())
        return lines

    def close(self) -> None:
        """Close the session."""
        self._sock.close()
