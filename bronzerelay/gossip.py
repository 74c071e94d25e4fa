"""Gossip between daemons: heartbeats, which also jitter configuration and roster."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from bronzerelay.configuration import ConfigurationStore
from bronzerelay.decoding import decode
from bronzerelay.membership import PAUSE_MS, Membership
from bronzerelay.nesting import ANSWER_NESTING, check_nesting
from bronzerelay.peerlink.ttypes import Beat, Record
from bronzerelay.peers import PeerLinks
from bronzerelay.runtime import Address, Runtime, TaskLimitError
from bronzerelay.types import Roster

FETCH_TIMEOUT_MS = 2000
# How many peers are asked at once after a pause; the others at their next heartbeat.
MAX_ASKED = 16
# How often the liveness of peers is checked, to drop the links to silent ones.
LIVENESS_CHECK_MS = 50

_record_decoder = msgspec.json.Decoder()
_roster_decoder = msgspec.json.Decoder(Roster)


def _decode_record(data: bytes) -> Any:
    """Return the decoded record; raise ValueError if it can't be read."""
    if not check_nesting(data, ANSWER_NESTING):
        raise ValueError("it is nested too deeply")
    return decode(_record_decoder, data)


class GossipSettings(NamedTuple):
    """The interval between heartbeats to a peer, and the timeout of one."""

    heartbeat_ms: int = 200
    beat_timeout_ms: int = 500


class Gossip:
    """Exchanges heartbeats with all peers, with one task for each."""

    def __init__(
        self,
        runtime: Runtime,
        settings: GossipSettings,
        membership: Membership,
        store: ConfigurationStore,
        links: PeerLinks,
        log: Any,
    ):
        self._runtime = runtime
        self._settings = settings
        self._membership = membership
        self._store = store
        self._links = links
        self._log = log
        self._lock = runtime.make_lock()
        self._targets: dict[str, Address] = {}
        self._on_roster: list[Callable[[], None]] = []

    def call_on_roster(self, function: Callable[[], None]) -> None:
        """Call `function` each time a new roster has been accepted."""
        self._on_roster.append(function)

    def start(self) -> None:
        """Start checking the peers' liveness; the first roster starts heartbeats."""
        self._runtime.keep_running(self._check_liveness)

    def accept_roster(self, roster: Roster) -> None:
        """Accept a roster from the platform or a peer, if it is newer."""
        try:
            accepted = self._membership.accept_roster(roster)
        except ValueError as error:
            extra = {"reason": str(error)}
            self._log.warning("A roster can't be put in force.", extra=extra)
            return
        if not accepted:
            return
        self._log.info("The roster changed.", extra={"epoch": roster["epoch"]})
        self._start_heartbeats()
        for function in self._on_roster:
            function()

    def _start_heartbeats(self) -> None:
        addresses = self._membership.peer_addresses()
        with self._lock:
            changed = [
                name
                for name, address in addresses.items()
                if self._targets.get(name) != address
            ]
            self._targets = addresses
        for name in changed:
            self._runtime.keep_running(self._run_heartbeats, name, addresses[name])

    # One task for each peer

    def _run_heartbeats(self, name: str, address: Address) -> None:
        while self._targets.get(name) == address and not self._runtime.stopping:
            self.send_heartbeat(name, address)
            jitter = self._runtime.random.uniform(0.9, 1.1)
            self._runtime.sleep_ms(self._settings.heartbeat_ms * jitter)

    def send_heartbeat(self, name: str, address: Address) -> bool:
        """Send one heartbeat and process its reply; return whether a reply came."""
        sent_at_ms = self._runtime.clock.now_ms()
        timeout_ms = self._settings.beat_timeout_ms
        result = self._links.call(address, "beat", self.make_beat(), timeout_ms)
        if not result.is_ok():
            if result.error.is_unreachable:
                self._membership.mark_unreachable(name, result.error.message)
            return False
        self._membership.clear_unreachable(name)
        self._fetch_newer(address, result.ok)
        # A daemon that was frozen is isolated until it merges recent views. If it did
        # so before it has the configuration version that the reply announces, it would
        # admit requests with keys that this version withdraws.
        if result.ok.config_version <= self._store.version:
            self._membership.merge_reply(result.ok.views, sent_at_ms, name)
        return True

    def make_beat(self) -> Beat:
        """Return this daemon's views and versions, as a heartbeat or its reply."""
        return Beat(
            sender=self._membership.name,
            roster_epoch=self._membership.roster["epoch"],
            config_version=self._store.version,
            views=self._membership.make_views(),
        )

    def _fetch_newer(self, address: Address, beat: Beat) -> None:
        if beat.config_version > self._store.version:
            self._fetch_config(address)
        roster = self._membership.roster
        if beat.roster_epoch > roster["epoch"]:
            self._fetch_roster(address)

    def _fetch_config(self, address: Address) -> None:
        version = self._store.version
        result = self._links.call(address, "fetch_config", version, FETCH_TIMEOUT_MS)
        if not result.is_ok() or not result.ok.value:
            return
        try:
            self._store.accept(_decode_record(result.ok.value))
        except ValueError as error:
            extra = {"peer": str(address), "reason": str(error)}
            self._log.warning("A peer's configuration can't be read.", extra=extra)

    def _fetch_roster(self, address: Address) -> None:
        epoch = self._membership.roster["epoch"]
        result = self._links.call(address, "fetch_roster", epoch, FETCH_TIMEOUT_MS)
        if not result.is_ok() or not result.ok.value:
            return
        try:
            roster = decode(_roster_decoder, result.ok.value)
        except ValueError as error:
            extra = {"peer": str(address), "reason": str(error)}
            self._log.warning("A peer's roster can't be read.", extra=extra)
            return
        self.accept_roster(roster)

    def fetch_from_seed(self, address: Address) -> bool:
        """Fetch roster and configuration from a peer that the settings name.

        A daemon that starts while the platform is down knows no other peers.
        """
        result = self._links.call(address, "beat", self.make_beat(), FETCH_TIMEOUT_MS)
        if not result.is_ok():
            return False
        self._fetch_newer(address, result.ok)
        return True

    def _check_liveness(self) -> None:
        alive: set[str] = set()
        checked_ms = self._runtime.clock.now_ms()
        while self._runtime.sleep_ms(LIVENESS_CHECK_MS):
            checked_ms = self._note_pause(checked_ms)
            now_alive = set(self._membership.alive_names())
            for name in alive - now_alive:
                self._drop_silent(name)
            for name in now_alive - alive - {self._membership.name}:
                self._log.info("A peer is alive.", extra={"peer": name})
            alive = now_alive

    def _note_pause(self, checked_ms: float) -> float:
        """Record a pause of this daemon since the last check; return the time now."""
        now_ms = self._runtime.clock.now_ms()
        if now_ms - checked_ms > PAUSE_MS:
            self._membership.note_pause(checked_ms, now_ms)
            extra = {"paused_ms": round(now_ms - checked_ms)}
            self._log.warning("This daemon was paused.", extra=extra)
            self._ask_peers()
        self._membership.note_running(now_ms)
        return now_ms

    def _ask_peers(self) -> None:
        """Send heartbeats at once, as requests wait for the answers after a pause."""
        for name, address in list(self._targets.items())[:MAX_ASKED]:
            try:
                self._runtime.start(self.send_heartbeat, name, address)
            except TaskLimitError:
                return

    def _drop_silent(self, name: str) -> None:
        address = self._membership.address_of(name)
        view = self._membership.view_of(name)
        if address is None or view.stopping:
            return
        extra = {
            "peer": name,
            "heard_age_ms": round(self._runtime.clock.now_ms() - view.heard_at_ms),
            "unreachable": self._membership.why_unreachable(name),
            "calls_cut": self._links.drop(address),
        }
        self._log.warning("A peer is silent.", extra=extra)

    # Replies to peers that fetch

    def make_config_record(self, known_version: int) -> Record:
        """Return the configuration if newer than `known_version`, else no value."""
        record = self._store.record
        if record is None or record["version"] <= known_version:
            return Record(version=self._store.version, value=b"")
        return Record(version=record["version"], value=msgspec.json.encode(record))

    def make_roster_record(self, known_epoch: int) -> Record:
        """Return the roster if newer than `known_epoch`, else no value."""
        roster = self._membership.roster
        if roster["epoch"] <= known_epoch:
            return Record(version=roster["epoch"], value=b"")
        return Record(version=roster["epoch"], value=msgspec.json.encode(roster))
