"""Fetches a peer's mirror of the store when this daemon's own is behind."""

from typing import NamedTuple
from urllib.parse import parse_qs

from bronzerelay.load.storepace import find_direct_bytes
from bronzerelay.pooler.contacts import Contacts
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.httpcalls import HttpCallError, HttpClient, HttpResponse
from bronzerelay.pooler.mirror import BEHIND_MS, HOLD_MS, Mirror, Store
from bronzerelay.runtime import Address, Runtime

MIRROR_PATH = "/mirror"
# Fields of the query for a mirror: the revision after which updates are requested, the
# revision that the answer should wait for, and the largest answer in bytes.
AFTER = "after"
UNTIL = "until"
LIMIT = "limit"
# The status of an answer over the limit; its body is the mirror's revision.
OVER_LIMIT = 303
PEER_TIMEOUT_MS = 600
# How long after its last byte a peer's answer counts as stalled, in milliseconds.
PEER_STALL_MS = 600


class MirrorQuery(NamedTuple):
    """A peer's query for a mirror; a field that is 0 wasn't set."""

    after: int = 0
    until: int = 0
    limit: int = 0


def read_query(query: str) -> MirrorQuery:
    """Return the fields of a query for a mirror; those that can't be read are 0."""
    values = parse_qs(query)

    def read(name: str) -> int:
        value = values.get(name, ["0"])[0]
        return int(value) if value.isdecimal() else 0

    return MirrorQuery(read(AFTER), read(UNTIL), read(LIMIT))


def answer_query(mirror: Mirror, query: str) -> HttpResponse:
    """Return the answer to a peer's query for a mirror."""
    asked = read_query(query)
    if asked.until:
        mirror.wait_for_revision(asked.until)
    data = mirror.pack(asked.after)
    if asked.limit and len(data) > asked.limit:
        return HttpResponse(OVER_LIMIT, str(mirror.revision).encode())
    return HttpResponse(200, data)


class CatchUp:
    """Checks whether peers are ahead, and fetches the mirror of one of them."""

    def __init__(
        self,
        runtime: Runtime,
        store: Store,
        mirror: Mirror,
        gossip: Gossip,
        seeds: tuple[Address, ...],
        own: tuple[Address | None, ...],
        contacts: Contacts,
        log: EventLog,
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store
        self._mirror = mirror
        self._gossip = gossip
        self._seeds = seeds
        # The addresses at which this daemon itself serves its mirror.
        self._own = own
        self._contacts = contacts
        self._log = log
        # Whether an answer of a peer is under way.
        self._is_fetching = False
        self._behind_since_ms: float | None = None

    def check_peers(self) -> None:
        """Fetch a peer's mirror if one has been ahead of this mirror for a while."""
        ahead = [
            view
            for view in self._gossip.views.values()
            if view.store_revision > self._mirror.revision
        ]
        now_ms = self._clock.now_ms()
        # An answer that is under way would only be asked for again.
        is_busy = self._is_fetching or self._mirror.is_receiving()
        if is_busy or (self._mirror.loaded and not ahead):
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms < BEHIND_MS:
            return
        self._behind_since_ms = None
        # The watch may be waiting on a connection that is dead.
        self._store.interrupt()
        addresses = [view.address for view in ahead] or list(self._seeds)
        if addresses:
            address = self._runtime.random.choice(addresses)
            if address not in self._own:
                self.fetch(address)

    def fetch_from_relay(self, address: Address) -> bool:
        """Fetch and apply updates that a relay has; return whether that succeeded.

        A large answer comes from the member that hands it on to this daemon, or from
        the relay after all if that member doesn't answer.
        """
        limit = find_direct_bytes(self._contacts.count_domain())
        return self._fetch(address, MirrorQuery(limit=limit))

    def fetch(self, address: Address) -> bool:
        """Fetch and apply a peer's updates; return whether that succeeded."""
        return self._fetch(address, MirrorQuery())

    def _fetch(self, address: Address, query: MirrorQuery) -> bool:
        self._is_fetching = True
        try:
            answer = self._call(address, query)
            if answer is None or answer.status != OVER_LIMIT:
                return answer is not None and self._apply(answer, address)
            parent = self._contacts.find_parent()
            if parent not in (None, address) and answer.body.isdigit():
                until = int(answer.body)
                answer = self._call(parent, MirrorQuery(until=until))
                if answer is not None and self._apply(answer, parent):
                    return True
            answer = self._call(address, MirrorQuery())
            return answer is not None and self._apply(answer, address)
        finally:
            self._is_fetching = False

    def _apply(self, answer: HttpResponse, address: Address) -> bool:
        if answer.status != 200:
            return False
        try:
            self._mirror.unpack(answer.body, str(address))
        except ValueError as error:
            self._note_failure(address, error)
            return False
        return True

    def _call(self, address: Address, query: MirrorQuery) -> HttpResponse | None:
        """Return a peer's answer, or None if it gave none."""
        client = HttpClient(self._runtime, address)
        path = f"{MIRROR_PATH}?{AFTER}={self._mirror.revision}"
        path += f"&{UNTIL}={query.until}&{LIMIT}={query.limit}"
        timeout_ms = PEER_TIMEOUT_MS + (HOLD_MS if query.until else 0)
        try:
            return client.call("GET", path, b"", timeout_ms, stall_ms=PEER_STALL_MS)
        except HttpCallError as error:
            self._note_failure(address, error)
            return None
        finally:
            client.interrupt()

    def _note_failure(self, address: Address, error: Exception) -> None:
        self._log.write_request(
            "store",
            "A peer's mirror couldn't be fetched.",
            peer=str(address),
            error=str(error),
        )
