"""What the daemons say about themselves, asked over HTTP by an operator."""

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
from bronzerelay.runtime import Address, Runtime

STATUS_PATH = "/status"
METRICS_PATH = "/metrics"
# Enough to have every daemon of a large fleet answer within a few seconds, and few
# enough to leave tasks over.
QUESTIONS_AT_ONCE = 32
ANSWER_MS = 1000
POLL_MS = 100
REFUSALS = "bronzerelay_refusals_total"
RETRIES = "bronzerelay_retries_total"
EVENTS = "bronzerelay_events_total"
OBJECT_NAME = re.compile(r"^\w+\([^)]*\): | \(read timeout=[^)]*\)$")


class StatusBody(TypedDict):
    """What the tool needs of a daemon's status; the rest is only shown."""

    name: str
    config_version: int
    digest: str
    members: dict[str, bool]
    isolated: bool
    stopping: bool


class DaemonState(NamedTuple):
    """What one daemon answered; without an answer `status` is None."""

    address: Address
    status: StatusBody | None = None
    shown: dict[str, Any] | None = None
    problem: str = ""

    @property
    def name(self) -> str:
        """Return the name of the daemon, its address while that isn't known."""
        return self.status["name"] if self.status else str(self.address)

    @property
    def version(self) -> int | None:
        """Return the version in force there, or None without an answer."""
        return self.status["config_version"] if self.status else None


class RolloutStatus(NamedTuple):
    """How far a version has come; `unasked` names live daemons not in the list."""

    version: int
    states: tuple[DaemonState, ...]
    lacking: tuple[DaemonState, ...]
    unasked: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether every daemon has the version."""
        return not self.lacking and not self.unasked


class Counters(NamedTuple):
    """Counters summed over the daemons that answered."""

    refusals: dict[str, float]
    retries: dict[str, float]
    events: dict[str, float]
    silent: tuple[str, ...]


class Fleet:
    """The daemons that an operator names, with a pool of connections for each."""

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
        """Ask every daemon for its status."""
        return self._ask_all(list(self._pools), self._read_state)

    def wait_in_force(
        self,
        version: int,
        digest: str,
        timeout_ms: float,
        report: Callable[[RolloutStatus], None],
    ) -> RolloutStatus:
        """Ask until every daemon has the version or a later one, or time is up.

        `report` is called after each round. A daemon that has the version with
        another digest counts as one that lacks it.
        """
        end_ms = self._runtime.clock.now_ms() + timeout_ms
        states = {address: DaemonState(address) for address in self._pools}
        while True:
            lacking = [a for a, s in states.items() if not has_version(s, version)]
            for state in self._ask_all(lacking, self._read_state):
                states[state.address] = check_digest(state, version, digest)
            arrival = _judge(version, states.values())
            report(arrival)
            if not arrival.lacking or self._runtime.clock.now_ms() >= end_ms:
                return arrival
            self._runtime.sleep_ms(POLL_MS)

    def read_counters(self) -> Counters:
        """Return the sums of the daemons' counters."""
        pages = self._ask_all(list(self._pools), self._read_page)
        silent = [str(a) for a, page in pages if page.is_error()]
        return _sum_counters([page.ok for _, page in pages if page.is_ok()], silent)

    def _ask_all(
        self, addresses: list[Address], ask: Callable[[Address], Any]
    ) -> list[Any]:
        answers = []
        for start in range(0, len(addresses), QUESTIONS_AT_ONCE):
            part = addresses[start : start + QUESTIONS_AT_ONCE]
            futures = [self._runtime.start(ask, address) for address in part]
            answers += [future.result() for future in futures]
        return answers

    def _read_state(self, address: Address) -> DaemonState:
        page = self._get(address, STATUS_PATH)
        if page.is_error():
            return DaemonState(address, problem=page.error.message)
        try:
            shown = msgspec.json.decode(page.ok, type=dict[str, Any])
            status = msgspec.convert(shown, StatusBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return DaemonState(address, problem=f"its status can't be read: {error}")
        return DaemonState(address, status, shown)

    def _read_page(self, address: Address) -> tuple[Address, Result[bytes, Refusal]]:
        return address, self._get(address, METRICS_PATH)

    def _get(self, address: Address, path: str) -> Result[bytes, Refusal]:
        timeout = urllib3.Timeout(total=ANSWER_MS / 1000)
        try:
            response = self._pools[address].urlopen("GET", path, timeout=timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return refuse(Code.PEER_UNREACHABLE, f"gave no answer: {_shorten(error)}")
        if response.status != HTTPStatus.OK:
            return refuse(Code.PEER_UNREACHABLE, f"answered {response.status}")
        return Ok(response.data)


def has_version(state: DaemonState, version: int) -> bool:
    """Return whether the daemon has this version or a later one."""
    return state.version is not None and state.version >= version


def check_digest(state: DaemonState, version: int, digest: str) -> DaemonState:
    """Return the state as that of a silent daemon when it has another bundle.

    Two bundles under one version mean that somebody has written to the platform past
    the compare-and-swap; to call it in force would hide that.
    """
    if state.version != version or state.status["digest"] == digest:
        return state
    problem = f"{state.name} has another bundle under version {version}"
    return DaemonState(state.address, problem=problem)


def _judge(version: int, states: Iterable[DaemonState]) -> RolloutStatus:
    states = tuple(states)
    lacking = tuple(state for state in states if not has_version(state, version))
    return RolloutStatus(version, states, lacking, find_unasked(states))


def find_unasked(states: Iterable[DaemonState]) -> tuple[str, ...]:
    """Return the live daemons that others know and that weren't asked.

    A list that lacks a new VM would let "in force everywhere" be said too early. When
    a daemon doesn't answer its name isn't known, so it would be taken for one that
    wasn't asked; then nothing is said here, as the answer is "not everywhere" anyway.
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


def _sum_counters(pages: list[bytes], silent: list[str]) -> Counters:
    sums = Counters({}, {}, {}, tuple(silent))
    for page in pages:
        for family in text_string_to_metric_families(page.decode()):
            for sample in family.samples:
                _add_sample(sums, sample.name, sample.labels, sample.value)
    return sums


def _add_sample(
    sums: Counters, name: str, labels: dict[str, str], value: float
) -> None:
    if name == REFUSALS:
        table, line = sums.refusals, f"{labels['code']} {labels['name']}"
    elif name == RETRIES:
        table, line = sums.retries, labels["reason"]
    elif name == EVENTS:
        table, line = sums.events, labels["event"]
    else:
        return
    table[line] = table.get(line, 0) + value


def _shorten(error: Exception) -> str:
    """Return the reason without the object that urllib3 names before it."""
    return OBJECT_NAME.sub("", str(error))
