"""A mirror of the platform's store: loaded once, then kept by a watch or from a relay.

Who watches, watches everything, so that each change costs each of them one call. In a
large fleet only relays do, and the daemons behind them fetch from them what is new. A
daemon that the store turns away, or whose watch fell silent, takes the mirror of a peer
that is ahead of it.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from bronzerelay.pooler.events import EventLog
from bronzerelay.runtime import Address, Runtime

# How long a watch may wait at the store, in milliseconds. What a lost watch misses is
# found by polls, so that it may be long and calls few.
WATCH_WAIT_MS = 14_000
# How long it waits while the store has to show that nothing has changed.
PROOF_WAIT_MS = 350
# The pause after a watch that brought changes, in milliseconds. All daemons come and
# their instances change in bursts, and each change by itself costs each daemon a call;
# what must be known sooner travels in heartbeats.
BATCH_PAUSE_MS = 120
# The time that any other call may take, in milliseconds.
CALL_TIMEOUT_MS = 1_500
# How long the store or a peer may be ahead of this mirror before something is done, in
# milliseconds: a watch that works brings the change within a few.
BEHIND_MS = 400
# How long a daemon behind a relay waits for news before it looks again whether it
# should still go by the relay, in milliseconds.
FOLLOW_WAIT_MS = 300
# How long a daemon goes by the store itself after a relay gave it nothing, in
# milliseconds: a relay may be heard of and its link be too narrow for a mirror.
DISTRUST_MS = 5_000
# The compression level of a mirror for a peer, 1 (fastest) to 9.
COMPRESSION = 1
# The largest mirror that is taken from a peer, in bytes.
MAX_MIRROR_BYTES = 64 * 1024 * 1024
# Removed keys that are remembered, to tell a peer what has changed since a revision.
REMOVED_LIMIT = 1_000
# Pauses after failed calls, in milliseconds: short at first, since most outages are.
RETRY_PAUSES_MS = (100, 200, 400, 700)
NEVER_MS = -1e15


class Item(NamedTuple):
    """One key of the store; `data` is None when the key was removed."""

    key: str
    data: bytes | None
    revision: int


class StoreItems(NamedTuple):
    """Items as they are or have become, and the store's revision then."""

    items: list[Item]
    revision: int


class StoreError(Exception):
    """The store gave no answer, or refused; `may_have_run` when that is unknown."""

    def __init__(self, message: str, may_have_run: bool = False):
        super().__init__(message)
        self.may_have_run = may_have_run


class HistoryLostError(StoreError):
    """The store has forgotten what came after the revision that was asked for."""


class ConflictError(StoreError):
    """A key was not at the revision that the change was for; nothing was done."""


class Store(Protocol):
    """The platform's store, as its adapter offers it."""

    def load(self, prefix: str, timeout_ms: float) -> StoreItems:
        """Return all items whose key starts with `prefix`, or raise StoreError."""

    def watch(self, prefix: str, after: int, wait_ms: float) -> StoreItems:
        """Return what changed after a revision, waiting for it at most `wait_ms`."""

    def read_revision(self, timeout_ms: float) -> int:
        """Return the revision that the store is at now, or raise StoreError."""

    def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removed: list[str],
        timeout_ms: float,
    ) -> int:
        """Change keys if all expected revisions hold; return the new revision."""

    def interrupt(self) -> None:
        """Break off the watch that waits now."""


# Takes a changed item.
TakeItem = Callable[[Item], None]


class PeerMirror(NamedTuple):
    """A mirror as it travels between daemons: whole, or what changed after `since`.

    A key without data was removed at its revision.
    """

    at: int
    items: list[tuple[str, bytes | None, int]]
    since: int = 0


class Told(NamedTuple):
    """A revision that a relay knows, and where the relay is."""

    at: int
    address: Address | None


class Packed(NamedTuple):
    """A mirror for a peer, with the revisions that it is from and up to."""

    since: int
    at: int
    data: bytes


class Mirror:
    """The items of the store as this daemon knows them."""

    def __init__(self, runtime: Runtime, store: Store, take: TakeItem, log: EventLog):
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store
        self._take = take
        self._log = log
        self._lock = runtime.make_lock()
        self._items: dict[str, Item] = {}
        # The revisions at which keys were removed, all of those after `_removed_from`.
        self._removed: dict[str, int] = {}
        self._removed_from = 0
        self._condition = runtime.make_condition()
        # The newest revision that a relay has told of, and which one it was.
        self._told = Told(0, None)
        self._distrust_until_ms = 0.0
        # The last answer to a peer, with the revisions that it is from and up to.
        self._packed = Packed(0, 0, b"")
        self._failures = 0
        # All changes of the store up to then are known here.
        self._known_ms = NEVER_MS
        self.revision = 0
        self.loaded = False
        # Asks for a sign of life of the store more often than changes alone bring.
        self.wants_proof: Callable[[], bool] = lambda: False
        # Takes the moment up to which all changes are known.
        self.on_proof: Callable[[float], None] = lambda _: None
        # Whether this daemon goes by a relay instead of watching the store.
        self.follows_relay: Callable[[], bool] = lambda: False
        # Fetches from a peer what is new; returns whether it gave an answer.
        self.fetch: Callable[[Address], bool] = lambda _: False
        # Is told that something has changed here.
        self.on_change: Callable[[], None] = lambda: None
        self._hurried = False
        self._waits_long = False
        # Whether the last watch brought nothing though the store had more.
        self._held_back = False

    def get(self, key: str) -> Item | None:
        """Return a key as it is known, or None."""
        return self._items.get(key)

    def store_age_ms(self) -> float:
        """Return how long ago all changes of the store were known here."""
        return self._clock.now_ms() - self._known_ms

    def note_known(self, at: int, known_ms: float) -> bool:
        """Note that all changes up to a moment have revisions up to `at`.

        Return whether this mirror has reached it; else nothing is noted.
        """
        if at > self.revision:
            return False
        self._known_ms = max(self._known_ms, known_ms)
        self.on_proof(known_ms)
        return True

    def list_prefix(self, prefix: str) -> list[Item]:
        """Return the known items whose keys start with `prefix`."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    # Taking changes in

    def _apply(self, changes: StoreItems) -> None:
        before = self.revision
        with self._lock:
            for item in changes.items:
                self._apply_item(item)
            self.revision = max(self.revision, changes.revision)
        if self.revision > before:
            self.on_change()

    def _apply_item(self, item: Item) -> None:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.data is None:
            self._items.pop(item.key, None)
            self._remember_removed(item)
        else:
            self._items[item.key] = item
            self._removed.pop(item.key, None)
        self._take(item)

    def _remember_removed(self, item: Item) -> None:
        self._removed.pop(item.key, None)
        self._removed[item.key] = item.revision
        while len(self._removed) > REMOVED_LIMIT:
            oldest = next(iter(self._removed))
            self._removed_from = max(self._removed_from, self._removed.pop(oldest))

    def _replace(self, items: Iterable[Item], at: int) -> None:
        """Take over a whole state; keys that it lacks count as removed."""
        with self._lock:
            if at < self.revision:
                return
            present = set()
            for item in items:
                present.add(item.key)
                self._apply_item(item)
            for key in set(self._items) - present:
                # Pages are no snapshot: a key put in between is newer than they are.
                if self._items[key].revision <= at:
                    self._apply_item(Item(key, None, at + 1))
            self.revision = at
            self.loaded = True
            # At which revisions the missing keys were removed isn't known.
            self._removed_from = at
        self.on_change()

    # Following the store

    def run(self) -> None:
        """Load and then watch the store until the runtime stops."""
        loaded = False
        while not self._runtime.stopping:
            sent_at_ms = self._clock.now_ms()
            try:
                if not loaded:
                    changes = self._store.load("", CALL_TIMEOUT_MS)
                    self._replace(changes.items, changes.revision)
                    loaded = True
                elif self._should_follow():
                    self._follow()
                    continue
                else:
                    self._watch()
                    continue
            except HistoryLostError as error:
                self._log.write("store", "The history is lost.", error=str(error))
                loaded = False
                continue
            except StoreError as error:
                self._note_failure(error, sent_at_ms)
                continue
            self._note_answer(sent_at_ms)

    def _watch(self) -> None:
        sent_at_ms = self._clock.now_ms()
        wants_proof = self.wants_proof()
        self._waits_long = not wants_proof
        wait_ms = PROOF_WAIT_MS if wants_proof else WATCH_WAIT_MS
        try:
            changes = self._store.watch("", self.revision, wait_ms)
            self._apply(changes)
        finally:
            self._waits_long = False
        if not changes.items:
            self._note_life()
            if wants_proof:
                self._confirm()
            return
        self._held_back = False
        self._note_answer(sent_at_ms)
        if not wants_proof:
            self._runtime.sleep_ms(BATCH_PAUSE_MS)

    def _confirm(self) -> None:
        """Ask the store whether a watch that brought nothing had nothing to bring.

        Before the store drops its history its watches may hear of no change for a
        while. Taken for a proof, such a watch would let a primary be used that has been
        replaced.
        """
        sent_at_ms = self._clock.now_ms()
        at = self._store.read_revision(CALL_TIMEOUT_MS)
        if self.note_known(at, sent_at_ms):
            self._held_back = False
            return
        # What changed just now comes with the next watch.
        if self._held_back:
            self._held_back = False
            raise HistoryLostError("a watch brings nothing of what the store has")
        self._held_back = True

    # Following a relay

    def note_told(self, at: int, address: Address) -> None:
        """Note that a relay at an address knows all changes up to a revision."""
        with self._condition:
            if at > self._told.at:
                self._told = Told(at, address)
                self._condition.notify()

    def _should_follow(self) -> bool:
        return (
            self._clock.now_ms() >= self._distrust_until_ms
            and self.follows_relay()
            and not self.wants_proof()
        )

    def _follow(self) -> None:
        """Wait for news from a relay, and fetch them."""
        with self._condition:
            self._runtime.wait_for(
                self._condition,
                lambda: self._told.at > self.revision or not self._should_follow(),
                FOLLOW_WAIT_MS,
            )
            told = self._told
        if told.address is None or told.at <= self.revision:
            return
        if not self.fetch(told.address):
            self._distrust_until_ms = self._clock.now_ms() + DISTRUST_MS
            with self._condition:
                self._told = Told(self.revision, None)

    def renew(self) -> None:
        """Ask the store anew for what the watch, or a relay, should have brought."""
        with self._condition:
            self._distrust_until_ms = self._clock.now_ms() + DISTRUST_MS
            self._condition.notify()
        self._hurried = True
        self._store.interrupt()

    def interrupt_long_watch(self) -> None:
        """Break off a long watch when the store has to show that nothing changed."""
        if self._waits_long and self.wants_proof():
            self._hurried = True
            self._store.interrupt()

    def _note_answer(self, sent_at_ms: float) -> None:
        self._note_life()
        self.note_known(self.revision, sent_at_ms)

    def _note_life(self) -> None:
        if self._failures:
            self._log.write(
                "store",
                "The store answers again.",
                failed=self._failures,
                age_ms=round(self.store_age_ms()),
                at=self.revision,
            )
        self._failures = 0

    def _note_failure(self, error: StoreError, sent_at_ms: float) -> None:
        hurried, self._hurried = self._hurried, False
        if self._runtime.stopping or hurried:
            return
        self._failures += 1
        if self._failures == 1:
            self._log.write(
                "store",
                "The store gives no answer.",
                error=str(error),
                waited_ms=round(self._clock.now_ms() - sent_at_ms),
                age_ms=round(self.store_age_ms()),
                at=self.revision,
            )
        step = min(self._failures, len(RETRY_PAUSES_MS)) - 1
        jitter = self._runtime.random.uniform(0.7, 1.3)
        self._runtime.sleep_ms(RETRY_PAUSES_MS[step] * jitter)

    # Between daemons

    def pack(self, after: int = 0) -> bytes:
        """Return for a peer what changed after a revision, or all when that is old."""
        with self._lock:
            since = after if after >= self._removed_from and after > 0 else 0
            if self._packed[:2] == (since, self.revision):
                return self._packed.data
            items: list[tuple[str, bytes | None, int]] = [
                (item.key, item.data, item.revision)
                for item in self._items.values()
                if item.revision > since
            ]
            if since:
                items += [
                    (key, None, revision)
                    for key, revision in self._removed.items()
                    if revision > since
                ]
            encoded = msgspec.msgpack.encode(PeerMirror(self.revision, items, since))
            data = zlib.compress(encoded, COMPRESSION)
            # All daemons behind a relay ask for the same after a change.
            self._packed = Packed(since, self.revision, data)
            return data

    def unpack(self, data: bytes, source: str) -> None:
        """Take over a peer's mirror if it is ahead; raise ValueError on nonsense."""
        try:
            encoded = zlib.decompressobj().decompress(data, MAX_MIRROR_BYTES)
            packed = msgspec.msgpack.decode(encoded, type=PeerMirror)
        except (zlib.error, msgspec.DecodeError) as error:
            raise ValueError(f"the mirror of {source} can't be read: {error}") from None
        if packed.at <= self.revision:
            return
        before = self.revision
        items = [Item(key, value, revision) for key, value, revision in packed.items]
        if packed.since == 0:
            self._replace(items, packed.at)
        elif packed.since <= before:
            self._apply(StoreItems(items, packed.at))
        self._log.write(
            "store",
            "A peer's mirror was taken over.",
            peer=source,
            at=packed.at,
            before=before,
        )

    def compare_and_swap(
        self, expected: dict[str, int], puts: dict[str, bytes], removed: list[str]
    ) -> int:
        """Change keys of the store; raise StoreError or ConflictError."""
        return self._store.compare_and_swap(expected, puts, removed, CALL_TIMEOUT_MS)

    def read(self, key: str) -> Item | None:
        """Return a key as the store has it now, or raise StoreError."""
        found = self._store.load(key, CALL_TIMEOUT_MS)
        return next((item for item in found.items if item.key == key), None)
