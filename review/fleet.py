"""Daemons in processes of their own, the platform's store, callers and the record."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from bronzerelay.runtime import Address, Runtime
from review.service import STEP_DOWN_S, Instance, Service
from standins.kvstore import KvStore
from standins.linecaller import LineCaller, LineReply

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_PATH = "/-/readyz"
# The deploy file gives the port to the program.
METRICS_PORT = 9464
START_S = 20.0
HEARTBEAT_S = 1.2
KEY = "north-key"
# The settings of the small site vianda-core.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "partition_slack_ms": 12000,
    "recovery_s": 12,
    "thaw_ms": 300,
}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class CannotRunError(Exception):
    """The case couldn't run; it says nothing about the rule."""


class Daemon:
    """One daemon on a loopback address of its own."""

    def __init__(self, name: str, host: str, folder: Path, ports: list[int]):
        self.name = name
        self.host = host
        self.folder = folder
        # Frontend, ready, admin, and the two internal ones.
        self.ports = ports
        self.frontend = Address(host, self.ports[0])
        self.process: subprocess.Popen | None = None

    def write_settings(self, fleet: "Fleet") -> None:
        """Write the settings file, with the fields that DEPLOY.md names."""
        front, ready, admin, first, last = self.ports
        seeds = [f"{one.host}:{one.ports[2]}" for one in fleet.daemons.values()]
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        text = f"""node_name = "{self.name}"
role = "proxy"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{self.host}"
zone = "z1"
region = "r1"
internal_ports = [{first}, {last}]
seeds = {seeds!r}
bootstrap = true
heartbeat_ms = 1200
[zones]
z1 = "r1"
[bind_addrs]
frontend = "{self.host}:{front}"
ready = "{self.host}:{ready}"
admin = "{self.host}:{admin}"
[limits]
cpu_quota = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{fleet.store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[provider]
address = "{fleet.provider}"
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
"""
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Start the program as the deploy file does."""
        settings = self.folder / f"{self.name}.toml"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/main.py", str(METRICS_PORT)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BRONZERELAY_SETTINGS": str(settings),
                },
            )

    def is_ready(self) -> bool:
        """Ask the ready probe as the platform does."""
        request = f"GET {READY_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.host, self.ports[1]), 1) as probe:
                probe.sendall(request.encode())
                return b" 200 " in probe.recv(100)
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


def _find_hosts(count: int) -> list[str]:
    """Return loopback addresses on which the port of the metrics is free."""
    while True:
        net = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        hosts = [f"{net}.{number}" for number in range(1, count + 1)]
        try:
            for host in hosts:
                socket.create_server((host, METRICS_PORT)).close()
        except OSError:
            continue
        return hosts


def _find_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts; they are the same on all VMs."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.create_server((hosts[0], 0)) as first:
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    socket.create_server((host, port)).close()
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Sent(NamedTuple):
    """A statement that a caller sent, and its answer if there was one."""

    id: str
    text: str
    sent: float
    answered: float | None
    reply: LineReply | None


class Caller(LineCaller):
    """A caller that records what it sends and gets."""

    numbers = iter(range(1, 10**9))
    record: Record

    def ask(self, text: str, hidden: str = "") -> Sent:
        """Run one statement; without an answer the reply is None.

        The record shows only the length of the hidden part.
        """
        statement = f"c{next(Caller.numbers)}"
        sent = self.record.now()
        shown = text.replace(hidden, f"<{len(hidden)} bytes>") if hidden else text
        self.record.note(f"SENT {statement} {shown}")
        reply: LineReply | None = None
        try:
            self.send(f"QUERY {statement} {text}")
            reply = self.read_reply()
            outcome = reply.error or f"ok {reply.signature}"
            self.record.note(f"ANSWERED {statement} {outcome} {reply.state}")
        except OSError as error:
            self.record.note(f"NO ANSWER {statement} {error}")
        answered = None if reply is None else self.record.now()
        return Sent(statement, shown, sent, answered, reply)


class Fleet:
    """The platform's store, one service and some daemons."""

    def __init__(self, service: Service, record: Record, count: int = 2):
        self.record = record
        self.runtime = Runtime(task_limit=400)
        self.store = KvStore(self.runtime)
        # A daemon that is killed resets its connections; that isn't worth a traceback.
        self.store._server.handle_error = lambda *_: None  # type: ignore[method-assign]
        self.service = service
        self.provider = str(self.store.address)
        self.store.groups[service.name] = service  # type: ignore[assignment]
        self.max_conns = 21
        self.rate = 2000
        self.version = 0
        # How many daemons are started at first.
        self.first = 2
        self._folder = tempfile.TemporaryDirectory(prefix="bronzerelay-review-")
        path = Path(self._folder.name)
        hosts = _find_hosts(count)
        ports = _find_ports(hosts, 5)
        self.daemons = {
            f"vm-{number}": Daemon(f"vm-{number}", host, path, ports)
            for number, host in enumerate(hosts, 1)
        }
        self.routes: list[dict[str, Any]] = [
            self.make_route("strict", "primary", 1000, 200),
            self.make_route("aged", "bounded_staleness", 2000, 600, 1500),
            self.make_route("own", "read_your_writes", 1000, 400, 2500),
        ]
        for instance in service.instances.values():
            self.register(instance)
        service.on_change = self.register
        self.configure()

    def make_route(
        self, host: str, kind: str, timeout: int, target: int, stale: int = 0
    ) -> dict[str, Any]:
        """Return a route to the service."""
        route = {
            "name": f"r-{host}",
            "host": host,
            "prefix": "/",
            "type": kind,
            "timeout_ms": timeout,
            "target_latency_ms": target,
            "priority": 1,
            "service": self.service.name,
            "attempts": 2,
            "public": False,
        }
        return {**route, "max_staleness_ms": stale} if stale else route

    def put_out(self, instance: Instance, how: str) -> None:
        """Crash an instance, or make it dark; its entry expires some seconds later."""
        self.record.note(f"{how.upper()} {instance.name}")
        if how == "crash":
            instance.crash()
        else:
            instance.dark = True

        def expire() -> None:
            if instance.dark or instance.crashed:
                self.store.remove(f"servers/{instance.name}")

        self._later(3 * HEARTBEAT_S, expire)

    def bring_back(self, instance: Instance) -> None:
        """End the darkness of an instance; a replaced primary steps down."""
        self.record.note(f"BACK {instance.name}")
        instance.dark = False
        self.register(instance)
        self._later(STEP_DOWN_S, lambda: self.service.step_down(instance))

    def _later(self, after_s: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        timer.start()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        service = {
            "name": self.service.name,
            "health_check": "/healthz",
            "max_conns": self.max_conns,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": self.service.sync_replicas,
        }
        tenant = {
            "name": "north",
            "api_keys": [KEY],
            "priority": 1,
            "rate_per_s": self.rate,
            "burst": self.rate,
        }
        self.store.put_json(
            "op/config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": [service],
                "limits": {"tx_idle_ms": 3000},
                "tenants": [tenant],
            },
        )

    def register(self, instance: Instance) -> None:
        """Write the entry of an instance."""
        self.store.put_json(
            f"servers/{instance.name}",
            {
                "service": self.service.name,
                "address": instance.address,
                "zone": "z1",
                "version": "v1",
                "capacity": self.service.slots,
                "state": "draining" if instance.leaving else "ready",
                "warmup_left_ms": 0,
                "current_role": "primary" if instance.is_primary else "replica",
                "seq": 1,
                "born": 1,
            },
        )

    def start(self) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons.values():
            daemon.write_settings(self)
        first = list(self.daemons.values())[: self.first]
        for daemon in first:
            daemon.start()
        for daemon in first:
            self.wait(daemon.is_ready, START_S, f"{daemon.name} isn't ready")

    def wait(self, predicate: Callable[[], bool], for_s: float, what: str) -> None:
        """Wait until the predicate holds, or raise CannotRunError."""
        end = time.monotonic() + for_s
        while not predicate():
            if time.monotonic() > end:
                raise CannotRunError(what)
            time.sleep(0.05)

    def connect(self, name: str, database: str) -> Caller:
        """Return a session with a daemon, or raise OSError."""
        caller = Caller(self.runtime, self.daemons[name].frontend)
        caller.record = self.record
        first = caller.start(database, KEY)
        if not first.startswith("READY"):
            raise ConnectionError(first)
        return caller

    def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons.values():
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons.values():
                log = daemon.folder / f"{daemon.name}.log"
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def run_case(case: Callable[[Record], tuple[Fleet, Callable[[], int]]], file: str):
    """Run a case and exit with its code; end all processes before."""
    record = Record(Path(file).resolve().parent)
    # So that the processes are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    fleet = None
    try:
        fleet, play = case(record)
        fleet.start()
        code = play()
    except (CannotRunError, OSError) as error:
        record.note(f"NOT RUN {error!r}")
        print(f"couldn't run: {error!r}")
    finally:
        if fleet is not None:
            fleet.close()
    record.note(f"EXIT {code}")
    sys.stdout.flush()
    # Threads of the stand-ins still wait on connections.
    os._exit(code)


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"
