"""Reads the daemons' status and metrics over HTTP, for the operators' commands."""

import re
import ssl
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

import msgspec
import urllib3
from expression import Ok, Result
from prometheus_client.parser import text_string_to_metric_families

from bronzerelay.codes import Code, Refusal, refuse
from bronzerelay.nesting import check_nesting
from bronzerelay.runtime import Address, Runtime

STATUS_PATH = "/status"
METRICS_PATH = "/metrics"
# Enough to query every daemon of a large fleet within a few seconds, and few enough to
# leave some of the runtime's tasks free.
MAX_CONCURRENT_REQUESTS = 32
REQUEST_TIMEOUT_MS = 1000
POLL_INTERVAL_MS = 100
REFUSALS_METRIC = "bronzerelay_refusals_total"
RETRIES_METRIC = "bronzerelay_retries_total"
EVENTS_METRIC = "bronzerelay_events_total"
URLLIB3_DETAILS = re.compile(r"^\w+\([^)]*\): | \(read timeout=[^)]*\)$")


class StatusBody(TypedDict):
    """The fields of a daemon's status that the commands use; the others are printed."""

    name: str
    config_version: int
    digest: str
    members: dict[str, bool]
    isolated: bool
    stopping: bool


class DaemonState(NamedTuple):
    """One daemon's answer; without one, `status` is None and `problem` the reason."""

    address: Address
    status: StatusBody | None = None
    raw_status: dict[str, Any] | None = None
    problem: str = ""

    @property
    def name(self) -> str:
        """Return the name of the daemon, or its address while the name is unknown."""
        return self.status["name"] if self.status else str(self.address)

    @property
    def version(self) -> int | None:
        """Return the version in force on the daemon, or None without an answer."""
        return self.status["config_version"] if self.status else None


class RolloutStatus(NamedTuple):
    """Which daemons have a version in force, and which don't have it yet.

    `unasked` holds the names of live daemons missing from the operator's list.
    """

    version: int
    states: tuple[DaemonState, ...]
    pending: tuple[DaemonState, ...]
    unasked: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether every daemon has the version."""
        return not self.pending and not self.unasked


class Counters(NamedTuple):
    """Counters summed over the daemons that answered; `silent` lists the others."""

    refusals: dict[str, float]
    retries: dict[str, float]
    events: dict[str, float]
    silent: tuple[str, ...]


class Fleet:
    """The daemons that an operator lists, with a connection pool for each."""

    def __init__(
        self,
        runtime: Runtime,
        addresses: Iterable[Address],
        tls: ssl.SSLContext | None = None,
    ):
        self._runtime = runtime
        self._pools = {
            address: runtime.open_http_pool(address, pool_size=1, tls=tls)
            for address in addresses
        }

    def read_states(self) -> list[DaemonState]:
        """Return the status of every daemon."""
        return self._query_all(list(self._pools), self._read_state)

    def wait_in_force(
        self,
        version: int,
        digest: str,
        timeout_ms: float,
        report: Callable[[RolloutStatus], None],
    ) -> RolloutStatus:
        """Poll until every daemon has the version or a later one, or until the timeout.

        `report` is called after each round of requests. A daemon that has the version
        with another digest counts as one that lacks it.
        """
        end_ms = self._runtime.clock.now_ms() + timeout_ms
        states = {address: DaemonState(address) for address in self._pools}
        while True:
            pending = [a for a, s in states.items() if not has_version(s, version)]
            for state in self._query_all(pending, self._read_state):
                states[state.address] = check_digest(state, version, digest)
            rollout_status = _make_rollout_status(version, states.values())
            report(rollout_status)
            if not rollout_status.pending or self._runtime.clock.now_ms() >= end_ms:
                return rollout_status
            self._runtime.sleep_ms(POLL_INTERVAL_MS)

    def read_counters(self) -> Counters:
        """Return the sums of the daemons' counters."""
        responses = self._query_all(list(self._pools), self._read_metrics)
        silent = [str(a) for a, response in responses if response.is_error()]
        return _sum_counters(
            [response.ok for _, response in responses if response.is_ok()], silent
        )

    def _query_all(
        self, addresses: list[Address], query: Callable[[Address], Any]
    ) -> list[Any]:
        answers = []
        for start in range(0, len(addresses), MAX_CONCURRENT_REQUESTS):
            batch = addresses[start : start + MAX_CONCURRENT_REQUESTS]
            futures = [self._runtime.start(query, address) for address in batch]
            answers += [future.result() for future in futures]
        return answers

    def _read_state(self, address: Address) -> DaemonState:
        response = self._get(address, STATUS_PATH)
        if response.is_error():
            return DaemonState(address, problem=response.error.message)
        # The decoder of values of any type would end the process.
        if not check_nesting(response.ok):
            return DaemonState(address, problem="its status nests too deep")
        try:
            raw_status = msgspec.json.decode(response.ok, type=dict[str, Any])
            status = msgspec.convert(raw_status, StatusBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return DaemonState(address, problem=f"its status can't be read: {error}")
        return DaemonState(address, status, raw_status)

    def _read_metrics(self, address: Address) -> tuple[Address, Result[bytes, Refusal]]:
        return address, self._get(address, METRICS_PATH)

    def _get(self, address: Address, path: str) -> Result[bytes, Refusal]:
        timeout = urllib3.Timeout(total=REQUEST_TIMEOUT_MS / 1000)
        try:
            response = self._pools[address].urlopen("GET", path, timeout=timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return refuse(
                Code.PEER_UNREACHABLE, f"gave no answer: {_format_reason(error)}"
            )
        if response.status != HTTPStatus.OK:
            return refuse(Code.PEER_UNREACHABLE, f"answered {response.status}")
        return Ok(response.data)


def has_version(state: DaemonState, version: int) -> bool:
    """Return whether the daemon has this version or a later one."""
    return state.version is not None and state.version >= version


def check_digest(state: DaemonState, version: int, digest: str) -> DaemonState:
    """Return the state, without its status if the daemon has another bundle.

    Two bundles with the same version mean that somebody has written to the platform
    without compare-and-swap; counting the daemon as up to date would hide that.
    """
    if state.version != version or state.status["digest"] == digest:
        return state
    problem = f"{state.name} has another bundle under version {version}"
    return DaemonState(state.address, problem=problem)


def _make_rollout_status(version: int, states: Iterable[DaemonState]) -> RolloutStatus:
    states = tuple(states)
    pending = tuple(state for state in states if not has_version(state, version))
    return RolloutStatus(version, states, pending, find_unasked(states))


def find_unasked(states: Iterable[DaemonState]) -> tuple[str, ...]:
    """Return the names of live daemons that the others report but that weren't asked.

    If the operator's list lacked a new VM, "in force everywhere" would be reported too
    early. If a daemon doesn't answer, its name is unknown, and it would be mistaken
    for one that wasn't asked. Then the result is empty, as the version isn't in force
    everywhere anyway.
    """
    statuses = [state.status for state in states]
    if None in statuses:
        return ()
    asked = {status["name"] for status in statuses}
    alive = {
        name
        for status in statuses
        for name, is_alive in status["members"].items()
        if is_alive
    }
    return tuple(sorted(alive - asked))


def _sum_counters(bodies: list[bytes], silent: list[str]) -> Counters:
    sums = Counters({}, {}, {}, tuple(silent))
    for body in bodies:
        for family in text_string_to_metric_families(body.decode()):
            for sample in family.samples:
                _add_sample(sums, sample.name, sample.labels, sample.value)
    return sums


def _add_sample(
    sums: Counters, name: str, labels: dict[str, str], value: float
) -> None:
    if name == REFUSALS_METRIC:
        table, key = sums.refusals, f"{labels['code']} {labels['name']}"
    elif name == RETRIES_METRIC:
        table, key = sums.retries, labels["reason"]
    elif name == EVENTS_METRIC:
        table, key = sums.events, labels["event"]
    else:
        return
    table[key] = table.get(key, 0) + value


def _format_reason(error: Exception) -> str:
    """Return the error's text without the object names that urllib3 adds."""
    return URLLIB3_DETAILS.sub("", str(error))
