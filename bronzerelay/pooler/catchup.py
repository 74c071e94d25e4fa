"""Fetches a peer's mirror of the store when this daemon's own is behind."""

from urllib.parse import parse_qs

from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.httpcalls import HttpCallError, HttpClient
from bronzerelay.pooler.mirror import BEHIND_MS, Mirror, Store
from bronzerelay.runtime import Address, Runtime

MIRROR_PATH = "/mirror"
# The query field that holds the revision after which updates are requested.
AFTER = "after"
PEER_TIMEOUT_MS = 600


def read_after(query: str) -> int:
    """Return the revision in a query for a mirror; 0, for all items, without one."""
    value = parse_qs(query).get(AFTER, ["0"])[0]
    return int(value) if value.isdecimal() else 0


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
        self._log = log
        self._behind_since_ms: float | None = None

    def check_peers(self) -> None:
        """Fetch a peer's mirror if one has been ahead of this mirror for a while."""
        ahead = [
            view
            for view in self._gossip.views.values()
            if view.store_revision > self._mirror.revision
        ]
        now_ms = self._clock.now_ms()
        if self._mirror.loaded and not ahead:
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

    def fetch(self, address: Address) -> bool:
        """Fetch and apply a peer's updates; return whether that succeeded."""
        client = HttpClient(self._runtime, address)
        path = f"{MIRROR_PATH}?{AFTER}={self._mirror.revision}"
        try:
            answer = client.call("GET", path, b"", PEER_TIMEOUT_MS)
            if answer.status != 200:
                return False
            self._mirror.unpack(answer.body, str(address))
            return True
        except (HttpCallError, ValueError) as error:
            self._log.write_request(
                "store",
                "A peer's mirror couldn't be fetched.",
                peer=str(address),
                error=str(error),
            )
            return False
        finally:
            client.interrupt()
