"""Heartbeats between daemons: small datagrams that carry what all must know.

A datagram says nothing about its own age: one that waited in a queue while this
process was frozen reads like a new one. So each heartbeat repeats the number of the
last one that it got from its receiver, and what it says counts from when that one was
sent, by the receiver's own clock.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from bronzerelay.pooler.directory import LeadRecord
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.fleetrates import Report
from bronzerelay.runtime import Address, Datagrams, Runtime

# Time between two heartbeats, in milliseconds. A daemon counts as silent after three
# lost ones; at eight daemons they cost each about 2 KB a second.
BEAT_MS = 300
# The least time between two heartbeats, in milliseconds.
HURRY_MS = 15
# Heartbeats whose sending time is remembered, to match the numbers that come back.
REMEMBERED = 32
# Peers that one round reaches; with more of them the rounds take turns.
FANOUT = 128
MAX_DATAGRAM_BYTES = 8192
NEVER_MS = -1e15


class Beat(NamedTuple):
    """One heartbeat.

    `echo` is the number of the last heartbeat that the sender got from the receiver's
    incarnation `echo_incarnation`. `mirror_at` is the revision of the platform's store
    that the sender knows. `report` is what it was asked for and has admitted.
    `positions` holds the end of the log (term, number) and its age in milliseconds for
    each service, `leads` the changes of primary that the sender knows of, and
    `quiet` the services at whose old primary it has nothing under way. `silent` holds
    the instances that give the sender no answer, and for how many milliseconds.
    """

    sender: str
    incarnation: int
    number: int
    echo: int
    echo_incarnation: int
    stopping: bool
    mirror_at: int
    report: Report
    positions: dict[str, tuple[int, int, float]]
    leads: list[LeadRecord]
    quiet: list[str]
    silent: dict[str, float]


class PeerView:
    """What was last heard of one peer; times are of the own clock."""

    def __init__(self, address: Address, listed_at_ms: float):
        self.address = address
        self.listed_at_ms = listed_at_ms
        self.incarnation = 0
        self.number = -1
        self.heard_at_ms = NEVER_MS
        self.received_at_ms = NEVER_MS
        self.stopping = False
        self.mirror_at = 0
        # For each service the epoch of the change that the peer has acknowledged.
        self.acknowledged: dict[str, int] = {}
        # The instances that give the peer no answer, and since when.
        self.silent_since_ms: dict[str, float] = {}
        # The last of this process's heartbeats that the peer has got.
        self.echoed = -1


# Makes the part of a heartbeat that doesn't depend on its receiver.
Describe = Callable[[], Beat]
# Makes a report of what has changed since a moment, or of all when that is None.
MakeReport = Callable[[float | None], Report]
# Takes a heartbeat and the moment from which what it says counts.
TakeBeat = Callable[[Beat, float], None]


class Gossip:
    """Sends heartbeats to all members and keeps a view of each."""

    def __init__(self, runtime: Runtime, name: str, address: Address, log: EventLog):
        self._runtime = runtime
        self._clock = runtime.clock
        self._name = name
        self._log = log
        self._lock = runtime.make_lock()
        self._sock: Datagrams = runtime.open_datagrams(address)
        self.incarnation = runtime.random.getrandbits(48)
        self._sent: deque[tuple[int, float]] = deque(maxlen=REMEMBERED)
        self._number = 0
        self._turn = 0
        self._condition = runtime.make_condition()
        self._hurried = False
        self._decoder = msgspec.msgpack.Decoder(Beat)
        self._encoder = msgspec.msgpack.Encoder()
        self.views: dict[str, PeerView] = {}

    def set_members(self, addresses: dict[str, Address]) -> None:
        """Take over who the others are and where they listen."""
        with self._lock:
            views = {}
            for name, address in addresses.items():
                if name == self._name:
                    continue
                view = self.views.get(name)
                if view is None or view.address != address:
                    view = PeerView(address, self._clock.now_ms())
                views[name] = view
            self.views = views

    def run_sender(self, describe: Describe, make_report: MakeReport) -> None:
        """Send heartbeats until the runtime stops."""
        while not self._runtime.stopping:
            with self._condition:
                hurried = self._runtime.wait_for(
                    self._condition, lambda: self._hurried, BEAT_MS
                )
                self._hurried = False
            self.send_round(describe(), make_report)
            if hurried:
                self._runtime.sleep_ms(HURRY_MS)

    def hurry(self) -> None:
        """Send the next heartbeat at once: it holds what others wait for."""
        with self._condition:
            self._hurried = True
            self._condition.notify()

    def send_round(self, beat: Beat, make_report: MakeReport) -> None:
        """Send one heartbeat to the next members in turn.

        Each gets what has changed since the last one that it has got. A report in full
        takes 12 bytes a workspace, and a heartbeat without one 55.
        """
        self._number += 1
        self._sent.append((self._number, self._clock.now_ms()))
        reports: dict[float | None, Report] = {}
        views = list(self.views.values())
        if len(views) > FANOUT:
            start = self._turn % len(views)
            views = (views + views)[start : start + FANOUT]
            self._turn += FANOUT
        for view in views:
            since_ms = self._find_sent(view.echoed)
            if since_ms not in reports:
                reports[since_ms] = make_report(since_ms)
            packed = self._encoder.encode(
                beat._replace(
                    report=reports[since_ms],
                    number=self._number,
                    echo=view.number,
                    echo_incarnation=view.incarnation,
                )
            )
            try:
                self._sock.send_to(packed, view.address)
            except OSError as error:
                self._log.write_request(
                    "gossip",
                    "A heartbeat couldn't be sent.",
                    peer=str(view.address),
                    error=str(error),
                )

    def run_receiver(self, take: TakeBeat) -> None:
        """Take heartbeats in until the runtime stops."""
        while not self._runtime.stopping:
            try:
                data = self._sock.receive(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                if not self._runtime.stopping:
                    self._log.write("gossip", "Receiving failed.", error=str(error))
                    self._runtime.sleep_ms(BEAT_MS)
                continue
            self._take(data, take)

    def _take(self, data: bytes, take: TakeBeat) -> None:
        try:
            beat = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            self._log.write_request(
                "gossip", "A heartbeat can't be read.", error=str(error)
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
                    "A peer is heard of for the first time.",
                    peer=beat.sender,
                    incarnation=beat.incarnation,
                )
            view.incarnation = beat.incarnation
            view.number = beat.number
            view.received_at_ms = self._clock.now_ms()
            view.stopping = beat.stopping
            view.mirror_at = beat.mirror_at
            view.acknowledged = {
                record.service: record.epoch
                for record in beat.leads
                if record.settled or record.service in beat.quiet
            }
            view.silent_since_ms = {
                instance_id: view.received_at_ms - for_ms
                for instance_id, for_ms in beat.silent.items()
            }
            view.echoed = -1
            if beat.echo_incarnation == self.incarnation:
                view.echoed = beat.echo
            sent_at_ms = self._find_sent(view.echoed)
            proven_ms = NEVER_MS if sent_at_ms is None else sent_at_ms
            view.heard_at_ms = max(view.heard_at_ms, proven_ms)
        take(beat, proven_ms)

    def _find_sent(self, wanted: int) -> float | None:
        """Return when a heartbeat was sent, None when that is long ago or never."""
        for number, sent_at_ms in reversed(self._sent):
            if number == wanted:
                return sent_at_ms
        return None

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()
