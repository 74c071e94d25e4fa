"""Heartbeats, and what spreads with them: configuration and roster."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from bronzerelay.configuration import ConfigurationStore
from bronzerelay.membership import Membership
from bronzerelay.peerlink.ttypes import Beat, Record
from bronzerelay.peers import PeerLinks
from bronzerelay.runtime import Address, Runtime
from bronzerelay.types import Roster

FETCH_TIMEOUT_MS = 2000
# How often the liveness of peers is judged, to drop links to a silent one.
JUDGE_MS = 50
# A look that comes this much after the last one tells that the daemon didn't run.
PAUSE_MS = 250

_roster_decoder = msgspec.json.Decoder(Roster)


class GossipSettings(NamedTuple):
    """How often heartbeats go out, and how long one may take."""

    heartbeat_ms: int = 200
    beat_timeout_ms: int = 500


class Gossip:
    """Exchanges heartbeats with each peer, one task for each."""

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
        """Call `function` when a new roster was accepted."""
        self._on_roster.append(function)

    def start(self) -> None:
        """Start judging peers; heartbeats begin with the first roster."""
        self._runtime.start(self._judge_peers)

    def accept_roster(self, roster: Roster) -> None:
        """Take over a roster, from the platform or a peer, if it is newer."""
        if not self._membership.accept_roster(roster):
            return
        self._log.info("The roster changed.", extra={"epoch": roster["epoch"]})
        self._follow_roster()
        for function in self._on_roster:
            function()

    def _follow_roster(self) -> None:
        addresses = self._membership.peer_addresses()
        with self._lock:
            fresh = [
                name
                for name, address in addresses.items()
                if self._targets.get(name) != address
            ]
            self._targets = addresses
        for name in fresh:
            self._runtime.start(self._beat_peer, name, addresses[name])

    # One task for each peer

    def _beat_peer(self, name: str, address: Address) -> None:
        while self._targets.get(name) == address and not self._runtime.stopping:
            self.send_heartbeat(name, address)
            spread = self._runtime.random.uniform(0.9, 1.1)
            self._runtime.sleep_ms(self._settings.heartbeat_ms * spread)

    def send_heartbeat(self, name: str, address: Address) -> bool:
        """Send one heartbeat and learn from the reply; return whether it came."""
        sent_at_ms = self._runtime.clock.now_ms()
        timeout_ms = self._settings.beat_timeout_ms
        result = self._links.call(address, "beat", self.make_beat(), timeout_ms)
        if not result.is_ok():
            if result.error.is_unreachable:
                self._membership.mark_unreachable(name, result.error.message)
            return False
        self._membership.clear_unreachable(name)
        self._fetch_news(address, result.ok)
        # A daemon that was frozen is isolated until it hears of others. Counted before
        # the version that the reply announces is here, it would admit requests with a
        # key that this version withdraws.
        if result.ok.config_version <= self._store.version:
            self._membership.merge_reply(result.ok.views, sent_at_ms)
        return True

    def make_beat(self) -> Beat:
        """Return what this daemon knows, as a heartbeat or its reply."""
        return Beat(
            sender=self._membership.name,
            roster_epoch=self._membership.roster["epoch"],
            config_version=self._store.version,
            views=self._membership.make_views(),
        )

    def _fetch_news(self, address: Address, beat: Beat) -> None:
        if beat.config_version > self._store.version:
            self._fetch_config(address)
        roster = self._membership.roster
        if beat.roster_epoch > roster["epoch"]:
            self._fetch_roster(address)

    def _fetch_config(self, address: Address) -> None:
        version = self._store.version
        result = self._links.call(address, "fetch_config", version, FETCH_TIMEOUT_MS)
        if result.is_ok() and result.ok.value:
            self._store.accept(msgspec.json.decode(result.ok.value))

    def _fetch_roster(self, address: Address) -> None:
        epoch = self._membership.roster["epoch"]
        result = self._links.call(address, "fetch_roster", epoch, FETCH_TIMEOUT_MS)
        if result.is_ok() and result.ok.value:
            self.accept_roster(_roster_decoder.decode(result.ok.value))

    def fetch_from_seed(self, address: Address) -> bool:
        """Learn roster and configuration from a peer that settings name.

        A daemon that starts while the platform is out knows nobody else.
        """
        result = self._links.call(address, "beat", self.make_beat(), FETCH_TIMEOUT_MS)
        if not result.is_ok():
            return False
        self._fetch_news(address, result.ok)
        return True

    def _judge_peers(self) -> None:
        alive: set[str] = set()
        looked_ms = self._runtime.clock.now_ms()
        while self._runtime.sleep_ms(JUDGE_MS):
            looked_ms = self._note_pause(looked_ms)
            now_alive = set(self._membership.alive_names())
            for name in alive - now_alive:
                self._part_from(name)
            for name in now_alive - alive:
                self._log.info("A peer is heard of.", extra={"peer": name})
            alive = now_alive

    def _note_pause(self, looked_ms: float) -> float:
        """Note a pause of this daemon since the last look; return the time of this."""
        now_ms = self._runtime.clock.now_ms()
        if now_ms - looked_ms > PAUSE_MS:
            self._membership.note_pause(looked_ms, now_ms)
            extra = {"paused_ms": round(now_ms - looked_ms)}
            self._log.warning("This daemon was paused.", extra=extra)
        return now_ms

    def _part_from(self, name: str) -> None:
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

    # The other side of a fetch

    def make_config_record(self, known_version: int) -> Record:
        """Return the record in force if it is newer than `known_version`."""
        record = self._store.record
        if record is None or record["version"] <= known_version:
            return Record(version=self._store.version, value=b"")
        return Record(version=record["version"], value=msgspec.json.encode(record))

    def make_roster_record(self, known_epoch: int) -> Record:
        """Return the roster if it is newer than `known_epoch`."""
        roster = self._membership.roster
        if roster["epoch"] <= known_epoch:
            return Record(version=roster["epoch"], value=b"")
        return Record(version=roster["epoch"], value=msgspec.json.encode(roster))
