"""Heartbeats between daemons: small datagrams that carry what all must know.

A datagram says nothing about its own age: one that waited in a queue while this
process was frozen reads like a new one. So each heartbeat repeats the number of the
last one that it got from its receiver, and what it says counts from when that one was
sent, by the receiver's own clock.
"""

from collections.abc import Callable, Container
from typing import NamedTuple

import msgspec

from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.directory import PrimaryRecord
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.sources import Report
from bronzerelay.runtime import Address, DatagramSocket, Runtime

# Time between two heartbeats, in milliseconds. A daemon counts as silent after three
# lost ones.
BEAT_MS = 300
# The least time between two heartbeats, in milliseconds.
HURRY_MS = 15
# How long the sending time of a heartbeat is remembered, to match the numbers that
# come back, in milliseconds. What is older than a lease proves nothing.
REMEMBERED_MS = 3_000
# Peers that one round reaches; with more of them the rounds take turns.
FANOUT = 128
# Who was heard within this time gets news at once, in milliseconds: as long as proofs
# last.
ANSWER_MS = 1_000
MAX_DATAGRAM_BYTES = 8192
NEVER_MS = -1e15


class Relayed(NamedTuple):
    """What a relay has heard of the members that it exchanges heartbeats with.

    `heard` says for how many milliseconds all that a member had told is known to the
    relay, and `known_at` a revision of the store that all of these know. `acknowledged`
    holds for a service whose primary is being changed the epoch and the members that
    can't use the old primary any more.
    """

    heard: dict[str, float]
    known_at: int
    acknowledged: dict[str, tuple[int, list[str]]]


class Beat(NamedTuple):
    """One heartbeat.

    `echo` is the number of the last heartbeat that the sender got from the receiver's
    incarnation `echo_incarnation`. `store_revision` is the revision of the platform's
    store that the sender knows. `report` is what was asked for and admitted.
    `positions` holds the end of the log (term, number) and its age in milliseconds for
    each service, and `silent` by observer the instances that give it no answer, and for
    how many milliseconds. `leads` are the changes of primary that the sender knows of
    and the receiver may not; `all_told` says that none was left out for want of room.
    `under_way` holds the epochs of those that aren't settled for all that it knows.
    `acknowledged` is the epoch of each change that the sender knows of and has nothing
    under way before. `proof_age_ms` is the age of the sender's proof, None without one.
    All changes of the store up to `store_age_ms` ago have revisions up to
    `store_revision`.
    """

    sender: str
    incarnation: int
    number: int
    echo: int
    echo_incarnation: int
    stopping: bool
    store_revision: int
    store_age_ms: float
    report: Report
    positions: dict[str, tuple[int, int, float]]
    silent: dict[str, dict[str, float]]
    leads: list[PrimaryRecord]
    all_told: bool
    under_way: dict[str, int]
    acknowledged: dict[str, int]
    proof_age_ms: float | None
    relaying: bool
    relayed: Relayed | None
    # Whether the receiver is to answer at once, and not when it is due to send.
    asks: bool = False


class Echo(NamedTuple):
    """The last heartbeat that was got of a peer, which the next one to it answers."""

    number: int
    incarnation: int


NO_ECHO = Echo(-1, 0)


class PeerView:
    """What was last heard of one peer; times are of the own clock."""

    def __init__(self, name: str, peer: Peer, listed_at_ms: float):
        self.name = name
        self.peer = peer
        self.listed_at_ms = listed_at_ms
        # Since when it is addressed of this daemon's own accord, None when it isn't.
        self.addressed_since_ms: float | None = None
        self.incarnation = 0
        self.number = -1
        self.received_at_ms = NEVER_MS
        self.stopping = False
        self.relaying = False
        self.store_revision = 0
        # All that it had told anybody up to then is known here, by itself or a relay.
        self.told_at_ms = NEVER_MS
        # The revision of the store that it knew when it told that, or a later time.
        self.knew_at = 0
        # For each service the epoch of the change that the peer has acknowledged.
        self.acknowledged: dict[str, int] = {}
        # For each service the epoch of the change that it doesn't know the end of.
        self.under_way: dict[str, int] = {}
        # What it had acknowledged when it was last looked at for news.
        self.acknowledged_before: dict[str, int] = {}
        # The instances that give the peer no answer, since when, and when it said so.
        self.silent_since_ms: dict[str, float] = {}
        self.silent_at_ms = NEVER_MS
        # Whether it said so here itself, and not through a relay.
        self.silent_directly = False
        # The last of this process's heartbeats that the peer has got.
        self.echoed = -1

    @property
    def address(self) -> Address:
        """Return where the peer listens."""
        return self.peer.address


# Makes the part of a heartbeat that doesn't depend on its receiver.
Describe = Callable[[], Beat]
# Adds what is for one receiver, which has got all that was told up to a moment.
Complete = Callable[[Beat, PeerView, float | None], Beat]
# Takes a heartbeat, its sender, and the moment from which what it says counts.
TakeBeat = Callable[[Beat, PeerView, float], None]


class Gossip:
    """Exchanges heartbeats with other members and keeps a view of each."""

    def __init__(self, runtime: Runtime, name: str, address: Address, log: EventLog):
        self._runtime = runtime
        self._clock = runtime.clock
        self._name = name
        self._log = log
        self._lock = runtime.make_lock()
        self._sock: DatagramSocket = runtime.open_datagram_socket(address)
        self.incarnation = runtime.random.getrandbits(48)
        # When the heartbeats of the last seconds were sent, by number.
        self._sent: dict[int, float] = {}
        self._number = 0
        self._turn = 0
        self._condition = runtime.make_condition()
        self._hurried = False
        self._decoder = msgspec.msgpack.Decoder(Beat)
        self._encoder = msgspec.msgpack.Encoder()
        self.views: dict[str, PeerView] = {}
        self.bytes_sent = 0

    def set_members(self, peers: dict[str, Peer]) -> None:
        """Take over who the others are and where they listen."""
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
        """Take over whom to address of this daemon's own accord."""
        now_ms = self._clock.now_ms()
        for name, view in self.views.items():
            if name not in names:
                view.addressed_since_ms = None
            elif view.addressed_since_ms is None:
                view.addressed_since_ms = now_ms

    def run_sender(self, describe: Describe, complete: Complete) -> None:
        """Send heartbeats until the runtime stops."""
        while not self._runtime.stopping:
            with self._condition:
                hurried = self._runtime.wait_for(
                    self._condition, lambda: self._hurried, BEAT_MS
                )
                self._hurried = False
            self.run_round(describe, complete, hurried)
            if hurried:
                self._runtime.sleep_ms(HURRY_MS)

    def send_now(self) -> None:
        """Send the next heartbeat at once: it holds what others wait for."""
        with self._condition:
            self._hurried = True
            self._condition.notify()

    def run_round(
        self, describe: Describe, complete: Complete, hurried: bool = False
    ) -> None:
        """Describe this daemon and send the round.

        Which heartbeats are answered is noted before. While this process is frozen
        between the two, newer ones arrive; answered with what was described before the
        freeze, that would count as told after it, and an old proof as a new one.
        """
        echoes = self._list_echoes()
        self.send_round(describe(), complete, hurried, echoes)

    def _list_echoes(self) -> dict[str, Echo]:
        with self._lock:
            return {
                name: Echo(view.number, view.incarnation)
                for name, view in self.views.items()
            }

    def send_round(
        self,
        beat: Beat,
        complete: Complete,
        hurried: bool = False,
        echoes: dict[str, Echo] | None = None,
    ) -> None:
        """Send one heartbeat to all contacts, or to the next ones in turn.

        One that holds news goes to those, too, who address this daemon. Each gets what
        has changed since the last one that it has got, as a report in full grows with
        the workspaces.
        """
        if echoes is None:
            echoes = self._list_echoes()
        number = self._take_number()
        views = self._list_receivers(hurried)
        if len(views) > FANOUT:
            start = self._turn % len(views)
            views = (views + views)[start : start + FANOUT]
            self._turn += FANOUT
        for view in views:
            completed = complete(beat, view, self._find_sent(view.echoed))
            self._send(completed, view, number, echoes.get(view.name, NO_ECHO))

    def answer(self, beat: Beat, view: PeerView, complete: Complete) -> None:
        """Send one heartbeat to a peer that has asked for it."""
        number = self._take_number()
        completed = complete(beat, view, self._find_sent(view.echoed))
        echo = Echo(view.number, view.incarnation)
        self._send(completed._replace(asks=False), view, number, echo)

    def _take_number(self) -> int:
        """Return the number of the next heartbeat, which is sent now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._number += 1
            self._sent[self._number] = now_ms
            for number in list(self._sent):
                if self._sent[number] >= now_ms - REMEMBERED_MS:
                    break
                del self._sent[number]
            return self._number

    def _list_receivers(self, hurried: bool) -> list[PeerView]:
        """Return the contacts, and where there is news all who were heard lately."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - ANSWER_MS if hurried else now_ms
        return [
            view
            for view in self.views.values()
            if view.addressed_since_ms is not None or view.received_at_ms > oldest_ms
        ]

    def _send(self, beat: Beat, view: PeerView, number: int, echo: Echo) -> None:
        packed = self._encoder.encode(
            beat._replace(
                number=number, echo=echo.number, echo_incarnation=echo.incarnation
            )
        )
        self.bytes_sent += len(packed)
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
            view.relaying = beat.relaying
            view.store_revision = beat.store_revision
            view.under_way = beat.under_way
            view.acknowledged = dict(beat.acknowledged)
            view.echoed = -1
            if beat.echo_incarnation == self.incarnation:
                view.echoed = beat.echo
            sent_at_ms = self._find_sent(view.echoed)
            proven_ms = NEVER_MS if sent_at_ms is None else sent_at_ms
            # Who knows nothing of the store yet may not know of a change either.
            if beat.store_revision > 0 and beat.all_told:
                view.told_at_ms = max(view.told_at_ms, proven_ms)
                view.knew_at = beat.store_revision
        take(beat, view, proven_ms)

    def _find_sent(self, wanted: int) -> float | None:
        """Return when a heartbeat was sent, None when that is long ago or never."""
        return self._sent.get(wanted)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()
