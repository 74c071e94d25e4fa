"""Starts a whole deployment as processes on loopback, and ends every one of them."""

import atexit
import contextlib
import shutil
import signal
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from bronzerelay.bundle import digest_bundle
from bronzerelay.keys import hash_key, make_key
from bronzerelay.runtime import Address, Runtime
from bronzerelay.types import Bundle, ConfigRecord
from standins.endpointadmin import AdminClient, open_admin
from standins.evidence import Evidence, read_executions, read_log
from standins.layout import (
    DEMO,
    FIRST_TERM,
    LAYOUTS,
    RETURNS,
    VIANDA,
    Layout,
    WorkspaceLayout,
    build_bundle,
    name_daemons,
    name_endpoints,
    pick_domain,
)
from standins.platformadmin import PlatformAdmin
from standins.processes import (
    POLL_MS,
    ClusterError,
    Process,
    reserve_addresses,
    wait_until_listening,
)
from standins.rates import RateLimit

__all__ = [
    "DEMO",
    "LAYOUTS",
    "RETURNS",
    "VIANDA",
    "Cluster",
    "ClusterError",
    "Layout",
    "WorkspaceLayout",
]

PLATFORM = "platform"
CONFIG_KEY = "config/current"
AUTHOR = "lab"
START_TIMEOUT_MS = 15_000
STOP_TIMEOUT_MS = 15_000
READY_TIMEOUT_MS = 15_000
HTTP_TIMEOUT_MS = 2000


class Cluster:
    """A deployment on stand-ins: the platform, the groups' instances and the daemons.

    It is a context manager: at the end of the block, also after an error, every process
    is ended by its pid. `keys` holds a key for each workspace, `folder` the logs.
    """

    def __init__(
        self,
        runtime: Runtime,
        layout: Layout,
        daemon_flags: Iterable[str] = (),
        keep_logs: bool = False,
        daemon_module: str = "bronzerelay.daemon",
    ):
        self.runtime = runtime
        self.layout = layout
        self.keys = {workspace.name: make_key() for workspace in layout.workspaces}
        self.folder = Path(tempfile.mkdtemp(prefix="bronzerelay-"))
        self.endpoint_names = [
            name for group in layout.groups for name in name_endpoints(layout, group)
        ]
        self.daemon_names = name_daemons(layout)
        self._daemon_flags = list(daemon_flags)
        self._daemon_module = daemon_module
        self._keep_logs = keep_logs
        self._peer_secret = make_key()
        self._processes: dict[str, Process] = {}
        names = [PLATFORM, *self.endpoint_names, *self.daemon_names]
        peers = [_name_peer(name) for name in self.daemon_names]
        self._reserved = reserve_addresses(runtime, len(names) + len(peers))
        addresses = [listener.address for listener in self._reserved]
        self.addresses = dict(zip(names + peers, addresses, strict=True))
        self.platform = PlatformAdmin(runtime, self.addresses[PLATFORM])
        self._add_processes()

    # Start and end

    def __enter__(self) -> "Cluster":
        atexit.register(self.close)
        try:
            self.start_all()
        except BaseException:
            self._keep_logs = True
            self.close()
            raise
        return self

    def __exit__(self, kind: Any, error: Any, traceback: Any) -> None:
        # The logs of a failed run are needed to explain the failure.
        self._keep_logs = self._keep_logs or kind is not None
        self.close()

    def start_all(self) -> None:
        """Start platform, endpoints and daemons, and wait until each one listens."""
        self._start_together([PLATFORM])
        for name in self.daemon_names:
            self.set_vm(name, "live")
        # They may start in any order: replicas retry until their primary listens, and
        # daemons connect to no endpoint before a bundle is in force.
        self._start_together([*self.endpoint_names, *self.daemon_names])

    def close(self) -> None:
        """End every process by its pid, frozen ones too, and remove the logs."""
        atexit.unregister(self.close)
        for process in self._processes.values():
            process.kill()
        for listener in self._reserved:
            listener.close()
        if not self._keep_logs:
            self.remove_logs()

    def remove_logs(self) -> None:
        """Remove the logs, which are kept after a failed run."""
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def groups(self) -> tuple[str, ...]:
        """The names of the database groups."""
        return self.layout.groups

    @property
    def daemon_addresses(self) -> dict[str, Address]:
        """The addresses on which the daemons serve callers."""
        return {name: self.addresses[name] for name in self.daemon_names}

    @property
    def rate_limits(self) -> list[RateLimit]:
        """The workspaces' limits in the layout, for the checks."""
        return [
            RateLimit(workspace.name, workspace.rate, workspace.burst)
            for workspace in self.layout.workspaces
        ]

    # One process

    def start(self, name: str) -> None:
        """Start a daemon that was stopped, and wait until it listens.

        Endpoints and the platform keep their data in memory. One that restarted empty
        would break promises that only a lost disk can break in a real deployment, so
        they can't be restarted. Use `freeze` or a fault for an outage that ends.
        """
        if name not in self.daemon_names:
            raise ClusterError(f"{name} lost its data when it ended; it can't restart")
        self._start_together([name])

    def stop(self, name: str, timeout_ms: float = STOP_TIMEOUT_MS) -> int:
        """Send a process SIGTERM, wait for its end and return its exit code."""
        self._get_process(name).send_signal(signal.SIGTERM)
        return self.wait_stopped(name, timeout_ms)

    def begin_stop(self, name: str) -> None:
        """Send a process SIGTERM, and return without waiting for its end."""
        self._get_process(name).send_signal(signal.SIGTERM)

    def wait_stopped(self, name: str, timeout_ms: float = STOP_TIMEOUT_MS) -> int:
        """Return the exit code of a process that was sent SIGTERM."""
        process = self._get_process(name)
        code = process.wait(timeout_ms)
        if code is None:
            tail = process.read_tail()
            raise ClusterError(f"{name} did not end in {timeout_ms} ms\n{tail}")
        return code

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._get_process(name).kill()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP; its connections stay open."""
        self._get_process(name).freeze()

    def thaw(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        self._get_process(name).send_signal(signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Stop a daemon with SIGTERM if it is running, and start it again."""
        if self._get_process(name).is_running():
            self.stop(name)
        self.start(name)

    def is_running(self, name: str) -> bool:
        """Return whether a process is running; a frozen one counts as running."""
        return self._get_process(name).is_running()

    def pid(self, name: str) -> int | None:
        """Return the pid of a process, or None when it isn't running."""
        return self._get_process(name).pid

    def read_log(self, name: str) -> str:
        """Return everything that a process has written to its log."""
        return self._get_process(name).read_log()

    # The platform

    def set_vm(self, name: str, state: str) -> None:
        """Make a VM `live`, `leaving` or `gone`; the list shows it after its lag."""
        self.platform.set_vm(name, state)

    def set_platform_fault(self, mode: str, **fields: Any) -> None:
        """Set a fault of the platform; `up` ends it."""
        self.platform.set_fault(mode, **fields)

    # Endpoints

    def ask_endpoint(self, name: str, op: str, **fields: Any) -> dict[str, Any]:
        """Return an endpoint's answer to an op on an admin connection."""
        with contextlib.closing(self.open_admin(name)) as admin:
            return admin.ask(op, **fields)

    def open_admin(self, name: str) -> AdminClient:
        """Return an admin connection to an endpoint; the caller closes it."""
        return open_admin(self.runtime, self.addresses[name])

    def find_primary(self, group: str) -> str:
        """Return the name of the group's primary with the highest term."""
        primaries = []
        for name in name_endpoints(self.layout, group):
            with contextlib.suppress(OSError):
                status = self.ask_endpoint(name, "status")
                if status["role"] == "primary":
                    primaries.append((status["term"], name))
        if not primaries:
            raise ClusterError(f"{group} has no primary that answers")
        return max(primaries)[1]

    def collect_evidence(self) -> Evidence:
        """Return the effects in the groups' logs and the executions at the instances.

        The log of a group is that of its primary. An instance that doesn't answer,
        because it was killed or is frozen, is left out.
        """
        evidence = Evidence([], [])
        for group in self.groups:
            primary = self.find_primary(group)
            for name in name_endpoints(self.layout, group):
                try:
                    record = self.ask_endpoint(name, "record")
                except OSError:
                    continue
                executions = read_executions(group, name, record["executions"])
                evidence.executions.extend(executions)
                if name == primary:
                    evidence.effects.extend(read_log(group, record["entries"]))
        return evidence

    # Configuration

    def build_bundle(self, version: int = 0) -> Bundle:
        """Return the layout's bundle with the hashes of `keys`."""
        hashes = {name: hash_key(key) for name, key in self.keys.items()}
        return build_bundle(self.layout, version, self.addresses, hashes)

    def put_bundle(self, bundle: Bundle | None = None) -> int:
        """Put `bundle`, or the layout's, in force as the next version; return that.

        It is written to the platform directly, without the review and the signatures
        that the command line requires.
        """
        current, revision = self.platform.read_value(CONFIG_KEY)
        version = current["version"] + 1 if current else 1
        bundle = Bundle(**{**(bundle or self.build_bundle()), "version": version})
        record = ConfigRecord(
            version=version,
            digest=digest_bundle(bundle),
            bundle=bundle,
            author=AUTHOR,
            signatures=[],
        )
        self.platform.write_value(CONFIG_KEY, record, revision)
        return version

    # Daemons

    def fetch(
        self, name: str, path: str, timeout_ms: float = HTTP_TIMEOUT_MS
    ) -> tuple[int, bytes]:
        """Return the status and body of a GET; raise OSError when no answer comes."""
        pool = self.runtime.open_http_pool(self.addresses[name], pool_size=1)
        try:
            response = pool.request("GET", path, timeout=timeout_ms / 1000)
        except urllib3.exceptions.HTTPError as error:
            raise OSError(f"{name} did not answer {path}: {error}") from None
        finally:
            pool.close()
        return response.status, response.data

    def fetch_status(self, name: str) -> dict[str, Any]:
        """Return a daemon's /status; raise OSError when it doesn't answer."""
        return msgspec.json.decode(self.fetch(name, "/status")[1])

    def is_ready(self, name: str, version: int = 0) -> bool:
        """Return whether a daemon is ready and has `version` or a later one."""
        try:
            if self.fetch(name, "/ready")[0] != 200:
                return False
            return (self.fetch_status(name).get("config_version") or 0) >= version
        except OSError:
            return False

    def wait_ready(
        self,
        version: int = 0,
        names: Iterable[str] | None = None,
        timeout_ms: float = READY_TIMEOUT_MS,
    ) -> None:
        """Wait until `names`, or all running daemons, are ready with `version`."""
        if names is None:
            names = [name for name in self.daemon_names if self.is_running(name)]
        for name in names:
            self.wait_until(
                lambda name=name: self.is_ready(name, version),
                f"{name} to be ready with configuration {version}",
                timeout_ms,
                name,
            )

    def wait_until(
        self,
        predicate: Callable[[], bool],
        what: str,
        timeout_ms: float = READY_TIMEOUT_MS,
        name: str = "",
    ) -> None:
        """Poll until `predicate` holds, or raise a ClusterError that names `what`.

        With the `name` of a process, the wait also fails when that process ends, and
        the error shows the end of its log.
        """
        clock = self.runtime.clock
        end_ms = clock.now_ms() + timeout_ms
        while not predicate():
            ended = bool(name) and not self.is_running(name)
            if ended or clock.now_ms() >= end_ms:
                tail = self._get_process(name).read_tail() if name else ""
                reason = f"{name} ended" if ended else f"{timeout_ms:.0f} ms passed"
                raise ClusterError(f"waiting for {what}: {reason}\n{tail}")
            clock.sleep_ms(POLL_MS)

    # Processes by name

    def _get_process(self, name: str) -> Process:
        if name not in self._processes:
            known = ", ".join(self._processes)
            raise ClusterError(f"no process is named {name!r}; there are: {known}")
        return self._processes[name]

    def _start_together(self, names: list[str]) -> None:
        for name in names:
            self._get_process(name).start()
        for name in names:
            wait_until_listening(
                self.runtime,
                self._get_process(name),
                self.addresses[name],
                START_TIMEOUT_MS,
            )

    def _add_processes(self) -> None:
        self._add(PLATFORM, "standins.platform", self._list_platform_flags())
        for group in self.groups:
            names = name_endpoints(self.layout, group)
            for name in names:
                flags = self._list_endpoint_flags(group, name, names[0])
                self._add(name, "standins.endpoint", flags)
        for number, name in enumerate(self.daemon_names):
            self._add(name, self._daemon_module, self._list_flags(number, name))

    def _add(self, name: str, module: str, flags: list[str]) -> None:
        self._processes[name] = Process(name, module, flags, self.folder)

    def _list_platform_flags(self) -> list[str]:
        listen = str(self.addresses[PLATFORM])
        lag = str(self.layout.vm_lag_ms)
        return ["--listen", listen, "--vm-lag-ms", lag]

    def _list_endpoint_flags(self, group: str, name: str, primary: str) -> list[str]:
        layout = self.layout
        flags = ["--name", name, "--group", group]
        flags += ["--listen", str(self.addresses[name])]
        flags += ["--slots", str(layout.slots)]
        flags += ["--connections", str(layout.connections)]
        flags += ["--connect-ms", str(layout.connect_ms)]
        flags += ["--service-ms", str(layout.service_ms)]
        flags += ["--lag-ms", str(layout.lag_ms)]
        if name == primary:
            return [*flags, "--primary-term", str(FIRST_TERM)]
        return [*flags, "--follow", str(self.addresses[primary])]

    def _list_flags(self, number: int, name: str) -> list[str]:
        flags = ["--name", name]
        flags += ["--failure-domain", pick_domain(self.layout, number)]
        flags += ["--listen", str(self.addresses[name])]
        flags += ["--peer-listen", str(self.addresses[_name_peer(name)])]
        flags += ["--platform", str(self.addresses[PLATFORM])]
        flags += ["--peer-secret", self._peer_secret]
        return [*flags, *self._daemon_flags]


def _name_peer(name: str) -> str:
    return f"{name}/peer"
