"""Taking a peer's mirror of the store, where this daemon's own is behind."""

from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.httpcalls import CallLostError, HttpClient
from bronzerelay.pooler.mirror import Mirror, Store
from bronzerelay.runtime import Address, Runtime

MIRROR_PATH = "/mirror"
# How long a peer may be ahead of this mirror before the peer is asked, in
# milliseconds: a watch that works brings the change within a few.
BEHIND_MS = 400
PEER_CALL_MS = 600


class CatchUp:
    """Looks whether peers are ahead, and asks one of them."""

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
        # Where this daemon itself serves its mirror.
        self._own = own
        self._log = log
        self._behind_since_ms: float | None = None

    def tend(self) -> None:
        """Take a peer's mirror when it has been ahead of this one for a while."""
        ahead = [
            view
            for view in self._gossip.views.values()
            if view.mirror_at > self._mirror.at
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
        # The watch may hang on a connection that has fallen silent.
        self._store.interrupt()
        addresses = [view.address for view in ahead] or list(self._seeds)
        if addresses:
            address = self._runtime.random.choice(addresses)
            if address not in self._own:
                self._fetch_mirror(address)

    def _fetch_mirror(self, address: Address) -> None:
        client = HttpClient(self._runtime, address)
        try:
            answer = client.call("GET", MIRROR_PATH, b"", PEER_CALL_MS)
            if answer.status == 200:
                self._mirror.unpack(answer.body, str(address))
        except (CallLostError, ValueError) as error:
            self._log.write_request(
                "store", "A peer gave no mirror.", peer=str(address), error=str(error)
            )
        finally:
            client.interrupt()
