"""Exchanges heartbeats with other daemons in small UDP datagrams.

The age of a datagram can't be seen from it: one that waited in a socket's queue while
this process was frozen looks like a new one. So each heartbeat echoes the number of the
last one that its sender got from the receiver, and its content counts as of the time at
which the receiver sent that one, by the receiver's own clock.
"""

import zlib
from collections.abc import Callable, Container
from typing import NamedTuple

import msgspec

from bronzerelay.decoding import Finite, Whole, decode
from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.directory import PrimaryRecord
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.sources import Report
from bronzerelay.runtime import Address, DatagramSocket, Runtime

# The interval between heartbeats, in milliseconds. A daemon counts as silent after
# three lost ones.
BEAT_MS = 300
# The shortest interval between heartbeats, in milliseconds.
MIN_INTERVAL_MS = 15
# How long the send time of a heartbeat is kept to match echoed numbers, in
# milliseconds. An echo of a heartbeat that is older than a lease is no proof.
SENT_KEPT_MS = 3_000
# The most receivers of one round; with more of them, rounds alternate between them.
FANOUT = 128
# Urgent heartbeats also go to peers heard within this time, in milliseconds. It is as
# long as a primary proof is valid.
RECENT_PEER_MS = 1_000
# The largest datagram that UDP carries, in bytes. The names of many members, services
# and workspaces take several thousand, and one that is cut can't be read at all.
MAX_DATAGRAM_BYTES = 65_507
# Heartbeats of this size or more are compressed for other failure domains: names of
# members and workspaces make up most of them.
MIN_COMPRESSED_BYTES = 150
# The zlib level, 1 (fastest) to 9.
COMPRESSION = 1
# The first byte of compressed data, with which no encoded heartbeat begins.
ZLIB_MARK = b"\x78"
# The largest heartbeat that is accepted, in bytes after decompression.
MAX_BEAT_BYTES = 256 * 1024
# The bits of an incarnation by which relays name a process. All 48 would take four more
# bytes for each member.
SHORT_INCARNATION = 0xFFFF_FFFF
NEVER_MS = -1e15


class Relayed(NamedTuple):
    """What a relay passes on of the members that it exchanges heartbeats with.

    `heard` holds, by member, how long ago in milliseconds the announcement was sent up
    to which the relay knows all of the member's. `known_revision` is a store revision
    that all of these members have. `acknowledged` holds, by service whose primary is
    being changed, the epoch and the members that can't use the old primary any more,
    each with the shortened incarnation of the process that said so.
    """

    heard: dict[str, Finite]
    known_revision: int
    acknowledged: dict[str, tuple[int, dict[str, int]]]


class Beat(NamedTuple):
    """One heartbeat.

    `echo` is the number of the last heartbeat that the sender got from the receiver's
    incarnation `echo_incarnation`. `store_revision` is the revision of the platform's
    store that the sender has, and all store updates up to `store_age_ms` ago have
    revisions up to it. `report` holds the operations asked for and admitted.
    `positions` holds, by service, the end of the primary's log (term, number) and its
    age in milliseconds. `silent` holds, by observer, the instances that don't answer
    it, and for how many milliseconds. `primary_records` are the records that the
    receiver may lack; `has_all_records` is false when some didn't fit. `unsettled`
    holds, by service, the epoch of each change that isn't settled as far as the sender
    knows. `acknowledged` holds, by service, the epoch of each change that the sender
    knows while it has no statement in progress at the old primary. `proof_age_ms` is
    the age of the sender's primary proof, None without one. `recovered` is false while
    the sender may lack changes that it acknowledged before a restart.
    """

    sender: str
    incarnation: int
    number: int
    echo: int
    echo_incarnation: int
    stopping: bool
    store_revision: int
    store_age_ms: Finite
    report: Report
    positions: dict[str, tuple[Whole, Whole, Finite]]
    silent: dict[str, dict[str, Finite]]
    primary_records: list[PrimaryRecord]
    has_all_records: bool
    unsettled: dict[str, int]
    acknowledged: dict[str, int]
    proof_age_ms: Finite | None
    relaying: bool
    relayed: Relayed | None
    recovered: bool
    # Whether the receiver should reply at once and not with its next round.
    wants_reply: bool = False
    # A store revision that all members have, as far as the sender, a relay, knows.
    known_by_all: int = 0


class Echo(NamedTuple):
    """The last heartbeat from a peer, which the next one to that peer echoes."""

    number: int
    incarnation: int


NO_ECHO = Echo(-1, 0)


class PeerView:
    """What was last heard of one peer; times are of this daemon's clock."""

    def __init__(self, name: str, peer: Peer, listed_at_ms: float):
        self.name = name
        self.peer = peer
        self.listed_at_ms = listed_at_ms
        # Since when the peer is a contact of this daemon, None when it isn't.
        self.contact_since_ms: float | None = None
        self.incarnation = 0
        self.number = -1
        self.received_at_ms = NEVER_MS
        self.stopping = False
        self.relaying = False
        self.store_revision = 0
        # All that the peer had announced up to this time is known here, either from the
        # peer itself or through a relay.
        self.heard_up_to_ms = NEVER_MS
        # A store revision that the peer knew at that time or later.
        self.known_revision = 0
        # A store revision that all members have, by what the peer said as a relay.
        self.known_by_all = 0
        # The same as `heard_up_to_ms`, but only what the peer has told itself, also
        # while it may have forgotten changes.
        self.told_up_to_ms = NEVER_MS
        # By service, the epoch of the primary change that the peer has acknowledged.
        self.acknowledged: dict[str, int] = {}
        # The shortened incarnation of the process that has acknowledged them.
        self.acknowledged_by = 0
        # By service, the epoch of a change that isn't settled as far as the peer knows.
        self.unsettled: dict[str, int] = {}
        # The value of `acknowledged` when it was last checked for updates.
        self.acknowledged_at_last_check: dict[str, int] = {}
        # The instances that don't answer the peer and since when, and the time at which
        # that was reported.
        self.silent_since_ms: dict[str, float] = {}
        self.silent_reported_at_ms = NEVER_MS
        # Whether the peer reported it here itself, not through a relay.
        self.silent_reported_directly = False
        # The number of the last heartbeat of this process that the peer has got.
        self.echoed_number = -1

    @property
    def address(self) -> Address:
        """Return the address that the peer listens at."""
        return self.peer.address


# Builds the part of a heartbeat that doesn't depend on its receiver.
BuildBeat = Callable[[], Beat]
# Adds the part for one receiver, given the time up to which it has all reports.
CompleteBeat = Callable[[Beat, PeerView, float | None], Beat]
# Handles a heartbeat, given its sender and the time as of which its content counts.
HandleBeat = Callable[[Beat, PeerView, float], None]


class Gossip:
    """Exchanges heartbeats with other members and keeps a view of each."""

    def __init__(self, runtime: Runtime, name: str, own: Peer, log: EventLog):
        self._runtime = runtime
        self._clock = runtime.clock
        self._name = name
        self._domain = own.domain
        self._log = log
        self._lock = runtime.make_lock()
        self._sock: DatagramSocket = runtime.open_datagram_socket(own.address)
        self.incarnation = runtime.random.getrandbits(48)
        # By number, when each heartbeat of the last seconds was sent.
        self._sent: dict[int, float] = {}
        self._number = 0
        self._next_receiver = 0
        self._condition = runtime.make_condition()
        self._urgent = False
        self._is_silent = False
        self._decoder = msgspec.msgpack.Decoder(Beat)
        self._encoder = msgspec.msgpack.Encoder()
        self.views: dict[str, PeerView] = {}
        self.bytes_sent = 0
        # Counts the bytes of a heartbeat, and whether it leaves the failure domain.
        self.count_bytes: Callable[[bool, int], None] = lambda is_remote, count: None

    def set_members(self, peers: dict[str, Peer]) -> None:
        """Update the other members and their addresses."""
        with self._lock:
            views = {}
            for name, peer in peers.items():
                if name == self._name:
                    continue
                view = self.views.get(name)
                if view is None or view.peer != peer:
                    view = PeerView(name, peer, self._clock.now_ms())
                views[name] = view
            self.views = views

    def set_contacts(self, names: Container[str]) -> None:
        """Set the members that this daemon sends each of its rounds to."""
        now_ms = self._clock.now_ms()
        for name, view in self.views.items():
            if name not in names:
                view.contact_since_ms = None
            elif view.contact_since_ms is None:
                view.contact_since_ms = now_ms

    def run_sender(self, build: BuildBeat, complete: CompleteBeat) -> None:
        """Send heartbeats until the runtime stops."""
        while not self._runtime.stopping:
            with self._condition:
                urgent = self._runtime.wait_for(
                    self._condition, lambda: self._urgent, BEAT_MS
                )
                self._urgent = False
            self.run_round(build, complete, urgent)
            if urgent:
                self._runtime.sleep_ms(MIN_INTERVAL_MS)

    def fall_silent(self) -> None:
        """Send no heartbeat any more."""
        self._is_silent = True

    def send_now(self) -> None:
        """Send the next heartbeat at once, because others wait for its content."""
        with self._condition:
            self._urgent = True
            self._condition.notify()

    def run_round(
        self, build: BuildBeat, complete: CompleteBeat, urgent: bool = False
    ) -> None:
        """Build one heartbeat and send it to the receivers of this round.

        The numbers to echo are read before the heartbeat is built. If the process is
        frozen in between, newer heartbeats arrive; if the one built before the freeze
        echoed these, its old content, and its old proof, would count as new.
        """
        echoes = self._list_echoes()
        self.send_round(build(), complete, urgent, echoes)

    def _list_echoes(self) -> dict[str, Echo]:
        with self._lock:
            return {
                name: Echo(view.number, view.incarnation)
                for name, view in self.views.items()
            }

    def send_round(
        self,
        beat: Beat,
        complete: CompleteBeat,
        urgent: bool = False,
        echoes: dict[str, Echo] | None = None,
    ) -> None:
        """Send one heartbeat to all contacts, or to the next FANOUT of them.

        An urgent one also goes to the peers that send heartbeats to this daemon. Each
        receiver gets what has changed since the last heartbeat that it has got, because
        a full report grows with the number of workspaces.
        """
        if echoes is None:
            echoes = self._list_echoes()
        number = self._next_number()
        views = self._list_receivers(urgent)
        if len(views) > FANOUT:
            start = self._next_receiver % len(views)
            views = (views + views)[start : start + FANOUT]
            self._next_receiver += FANOUT
        for view in views:
            completed = complete(beat, view, self._find_sent(view.echoed_number))
            self._send(completed, view, number, echoes.get(view.name, NO_ECHO))

    def reply(self, beat: Beat, view: PeerView, complete: CompleteBeat) -> None:
        """Send one heartbeat to a peer that wants a reply."""
        number = self._next_number()
        completed = complete(beat, view, self._find_sent(view.echoed_number))
        echo = Echo(view.number, view.incarnation)
        self._send(completed._replace(wants_reply=False), view, number, echo)

    def _next_number(self) -> int:
        """Return the number of the next heartbeat, and keep now as its send time."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._number += 1
            self._sent[self._number] = now_ms
            for number in list(self._sent):
                if self._sent[number] >= now_ms - SENT_KEPT_MS:
                    break
                del self._sent[number]
            return self._number

    def _list_receivers(self, urgent: bool) -> list[PeerView]:
        """Return the contacts and, when urgent, all recently heard peers."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - RECENT_PEER_MS if urgent else now_ms
        return [
            view
            for view in self.views.values()
            if view.contact_since_ms is not None or view.received_at_ms > oldest_ms
        ]

    def _send(self, beat: Beat, view: PeerView, number: int, echo: Echo) -> None:
        if self._is_silent:
            return
        packed = self._encoder.encode(
            beat._replace(
                number=number, echo=echo.number, echo_incarnation=echo.incarnation
            )
        )
        is_remote = view.peer.domain != self._domain
        if is_remote and len(packed) >= MIN_COMPRESSED_BYTES:
            packed = zlib.compress(packed, COMPRESSION)
        self.bytes_sent += len(packed)
        self.count_bytes(is_remote, len(packed))
        try:
            self._sock.send_to(packed, view.address)
        except OSError as error:
            self._log.write_request(
                "gossip",
                "A heartbeat couldn't be sent.",
                peer=str(view.address),
                error=str(error),
            )

    def run_receiver(self, handle: HandleBeat) -> None:
        """Receive and handle heartbeats until the runtime stops."""
        while not self._runtime.stopping:
            try:
                data = self._sock.receive(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                if not self._runtime.stopping:
                    self._log.write(
                        "gossip", "Heartbeats couldn't be received.", error=str(error)
                    )
                    self._runtime.sleep_ms(BEAT_MS)
                continue
            self._handle(data, handle)

    def _handle(self, data: bytes, handle: HandleBeat) -> None:
        try:
            beat = decode(self._decoder, _decompress(data))
        except (zlib.error, ValueError) as error:
            self._log.write_request(
                "gossip", "A heartbeat couldn't be decoded.", error=str(error)
            )
            return
        view = self.views.get(beat.sender)
        if view is None:
            return
        with self._lock:
            if beat.incarnation == view.incarnation and beat.number <= view.number:
                return
            if beat.incarnation != view.incarnation:
                self._log.write(
                    "gossip",
                    "A peer is heard for the first time.",
                    peer=beat.sender,
                    incarnation=beat.incarnation,
                )
            view.incarnation = beat.incarnation
            view.number = beat.number
            view.received_at_ms = self._clock.now_ms()
            view.stopping = beat.stopping
            view.relaying = beat.relaying
            view.store_revision = beat.store_revision
            view.known_by_all = beat.known_by_all
            view.unsettled = beat.unsettled
            view.acknowledged = dict(beat.acknowledged)
            view.acknowledged_by = beat.incarnation & SHORT_INCARNATION
            view.echoed_number = -1
            if beat.echo_incarnation == self.incarnation:
                view.echoed_number = beat.echo
            sent_at_ms = self._find_sent(view.echoed_number)
            proven_ms = NEVER_MS if sent_at_ms is None else sent_at_ms
            # A peer that hasn't loaded the store yet may not know of a primary change,
            # and one that has restarted may not know of one that it acknowledged.
            if beat.store_revision > 0 and beat.has_all_records:
                view.told_up_to_ms = max(view.told_up_to_ms, proven_ms)
                if beat.recovered:
                    view.heard_up_to_ms = max(view.heard_up_to_ms, proven_ms)
                    view.known_revision = beat.store_revision
        handle(beat, view, proven_ms)

    def _find_sent(self, number: int) -> float | None:
        """Return when a heartbeat was sent, or None if never or too long ago."""
        return self._sent.get(number)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


def _decompress(data: bytes) -> bytes:
    """Return an encoded heartbeat; raise zlib.error if its compression is invalid."""
    if not data.startswith(ZLIB_MARK):
        return data
    return zlib.decompressobj().decompress(data, MAX_BEAT_BYTES)
