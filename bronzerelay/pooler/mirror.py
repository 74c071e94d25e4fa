"""A mirror of the platform's store, loaded once and updated by a watch or a relay.

A watch covers all keys, so each update costs each watching daemon one call. In a large
fleet only relays watch, and the daemons behind them fetch updates from the relays. A
daemon that the store refuses, or whose watch has stalled, fetches the mirror of a peer
that is ahead of it.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from bronzerelay.decoding import decode
from bronzerelay.pooler.events import EventLog
from bronzerelay.runtime import Address, Runtime

# How long a watch may wait at the store, in milliseconds. Updates that a lost watch
# misses are found by polls, so the wait may be long, which saves calls.
WATCH_WAIT_MS = 14_000
# The pause after a watch that brought updates, in milliseconds. Daemons join and
# instances change in bursts, and each separate update would cost each daemon a call.
# Urgent updates travel in heartbeats.
BATCH_PAUSE_MS = 120
# The same pause during the first START_MS after a load, in milliseconds. Daemons often
# start together, and until each knows its relays all of them watch what all write.
START_PAUSE_MS = 500
START_MS = 2_000
# The timeout of any other call, in milliseconds.
CALL_TIMEOUT_MS = 1_500
# How long the store or a peer may be ahead of this mirror before the watch is given up,
# in milliseconds: a working watch brings updates within a few.
BEHIND_MS = 400
# How long a daemon behind a relay waits for updates before it checks again whether it
# should still follow the relay, in milliseconds.
FOLLOW_WAIT_MS = 300
# How long a daemon watches the store itself after a relay failed to give it updates, in
# milliseconds: a relay's heartbeats may arrive while its link is too slow for a mirror.
AVOID_RELAY_MS = 5_000
# The zlib level of a mirror for a peer, 1 (fastest) to 9.
COMPRESSION = 1
# The largest mirror that is accepted from a peer, in bytes after decompression.
MAX_MIRROR_BYTES = 64 * 1024 * 1024
# The most removed keys that are kept, to send a peer the updates since a revision.
MAX_REMOVED_KEYS = 1_000
# Backoff after failed calls, in milliseconds: short at first, as most outages are.
RETRY_PAUSES_MS = (100, 200, 400, 700)
NEVER_MS = -1e15


class Item(NamedTuple):
    """One key of the store; `data` is None when the key was removed."""

    key: str
    data: bytes | None
    revision: int


class StoreItems(NamedTuple):
    """All or only updated items of the store, and its revision at that time."""

    items: list[Item]
    revision: int


class StoreError(Exception):
    """A call of the store failed; it may have taken effect if `may_have_run`."""

    def __init__(self, message: str, may_have_run: bool = False):
        super().__init__(message)
        self.may_have_run = may_have_run


class HistoryLostError(StoreError):
    """The store no longer has the history since the requested revision."""


class ConflictError(StoreError):
    """A key wasn't at the expected revision; the store was not changed."""


class Store(Protocol):
    """The interface to the platform's store, which its adapter implements."""

    def load(self, prefix: str, timeout_ms: float) -> StoreItems:
        """Return all items whose key starts with `prefix`, or raise StoreError."""

    def watch(self, prefix: str, after: int, wait_ms: float) -> StoreItems:
        """Return the updates after a revision, waiting up to `wait_ms` for one."""

    def read_revision(self, timeout_ms: float) -> int:
        """Return the store's current revision, or raise StoreError."""

    def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removed: list[str],
        timeout_ms: float,
    ) -> int:
        """Put and remove keys if the expected revisions hold; return the new one."""

    def interrupt(self) -> None:
        """Interrupt the watch that is waiting now."""

    def count_bytes_with(self, count: Callable[[int], None]) -> None:
        """Have the bytes of all calls counted, sent and received."""


# Called with each item that was put or removed.
HandleItem = Callable[[Item], None]


class PeerMirror(NamedTuple):
    """A mirror as sent between daemons: whole, or the updates after `since`.

    A key without data was removed at its revision.
    """

    revision: int
    items: list[tuple[str, bytes | None, int]]
    since: int = 0


_peer_mirror_decoder = msgspec.msgpack.Decoder(PeerMirror)


class RelayRevision(NamedTuple):
    """The store revision of a relay, and its address."""

    revision: int
    address: Address | None


class Packed(NamedTuple):
    """An encoded mirror for a peer, with the revisions that it begins and ends at."""

    since: int
    revision: int
    data: bytes


class Mirror:
    """Keeps a copy of the items of the store."""

    def __init__(
        self, runtime: Runtime, store: Store, handle_item: HandleItem, log: EventLog
    ):
        self._runtime = runtime
        self._clock = runtime.clock
        self._store = store
        self._handle_item = handle_item
        self._log = log
        self._lock = runtime.make_lock()
        self._items: dict[str, Item] = {}
        # The revisions at which keys were removed, complete after `_removed_from`.
        self._removed: dict[str, int] = {}
        self._removed_from = 0
        self._condition = runtime.make_condition()
        # The newest revision that a relay has announced.
        self._relay = RelayRevision(0, None)
        self._avoid_relay_until_ms = 0.0
        # The last mirror encoded for a peer.
        self._packed = Packed(0, 0, b"")
        self._failures = 0
        # All updates of the store up to this time are known here.
        self._current_as_of_ms = NEVER_MS
        self.revision = 0
        self.loaded = False
        # Whether a watch waits at the store.
        self.is_watching = False
        # Called with the time up to which all updates are known.
        self.on_proof: Callable[[float], None] = lambda _: None
        # Whether this daemon follows a relay instead of watching the store.
        self.follows_relay: Callable[[], bool] = lambda: False
        # Fetches and applies updates from a peer; returns whether that succeeded.
        self.fetch: Callable[[Address], bool] = lambda _: False
        # Called when the mirror has reached a newer revision.
        self.on_change: Callable[[], None] = lambda: None
        # Whether the watch was interrupted on purpose, so that its end is no failure.
        self._interrupted = False
        self._must_load = True
        self._loaded_at_ms = NEVER_MS

    def get(self, key: str) -> Item | None:
        """Return the item of a key once it has been handled, or None."""
        with self._lock:
            return self._items.get(key)

    def store_age_ms(self) -> float:
        """Return the time since this mirror was last known to be current."""
        return self._clock.now_ms() - self._current_as_of_ms

    def confirm_current(self, revision: int, as_of_ms: float) -> bool:
        """Note that all updates up to `as_of_ms` have revisions up to `revision`.

        Return whether this mirror has reached that revision; if not, do nothing.
        """
        if revision > self.revision:
            return False
        self._current_as_of_ms = max(self._current_as_of_ms, as_of_ms)
        self.on_proof(as_of_ms)
        return True

    def list_prefix(self, prefix: str) -> list[Item]:
        """Return the known items whose keys start with `prefix`."""
        return self.snapshot(prefix).items

    def snapshot(self, prefix: str) -> StoreItems:
        """Return the known items whose keys start with `prefix`, and their revision."""
        with self._lock:
            items = [
                item for key, item in self._items.items() if key.startswith(prefix)
            ]
            return StoreItems(items, self.revision)

    # Applying updates

    def _apply(self, update: StoreItems) -> None:
        before = self.revision
        with self._lock:
            for item in update.items:
                self._apply_item(item)
            self.revision = max(self.revision, update.revision)
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
        self._handle_item(item)

    def _remember_removed(self, item: Item) -> None:
        self._removed.pop(item.key, None)
        self._removed[item.key] = item.revision
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = next(iter(self._removed))
            self._removed_from = max(self._removed_from, self._removed.pop(oldest))

    def _replace(self, items: Iterable[Item], revision: int) -> None:
        """Replace all items; keys that are missing count as removed."""
        with self._lock:
            if revision < self.revision:
                return
            present = set()
            for item in items:
                present.add(item.key)
                self._apply_item(item)
            for key in set(self._items) - present:
                # The pages of a load are no snapshot: a key that was put in between is
                # newer than `revision` and not missing.
                if self._items[key].revision <= revision:
                    self._apply_item(Item(key, None, revision + 1))
            self.revision = revision
            self.loaded = True
            # The revisions at which the missing keys were removed aren't known.
            self._removed_from = revision
        self.on_change()

    # Following the store

    def run(self) -> None:
        """Load and then watch the store until the runtime stops."""
        while not self._runtime.stopping:
            sent_at_ms = self._clock.now_ms()
            try:
                if self._must_load:
                    self._load(sent_at_ms)
                elif self._should_follow():
                    self._follow()
                else:
                    self._watch(sent_at_ms)
            except HistoryLostError as error:
                self._log.write(
                    "store",
                    "The store's history is lost; loading again.",
                    error=str(error),
                )
                self._must_load = True
            except StoreError as error:
                self._note_failure(error, sent_at_ms)

    def _load(self, sent_at_ms: float) -> None:
        # Reset first: what a poll finds missing during the load needs another one.
        self._must_load = False
        try:
            snapshot = self._store.load("", CALL_TIMEOUT_MS)
        except StoreError:
            self._must_load = True
            raise
        self._replace(snapshot.items, snapshot.revision)
        self._loaded_at_ms = self._clock.now_ms()
        self._note_answer(sent_at_ms)
        self._pause_for_batch()

    def _watch(self, sent_at_ms: float) -> None:
        self.is_watching = True
        try:
            update = self._store.watch("", self.revision, WATCH_WAIT_MS)
        finally:
            self.is_watching = False
        self._apply(update)
        if not update.items:
            # Before the store drops its history, its watches may miss updates for a
            # while, so an empty watch doesn't show that this mirror is current.
            self._note_success()
            return
        self._note_answer(sent_at_ms)
        self._pause_for_batch()

    def _pause_for_batch(self) -> None:
        """Wait so that further updates come with one call, or through a relay."""
        is_starting = self._clock.now_ms() - self._loaded_at_ms < START_MS
        if not is_starting:
            self._runtime.sleep_ms(BATCH_PAUSE_MS)
            return
        with self._condition:
            self._runtime.wait_for(
                self._condition,
                lambda: self._must_load or self._is_behind_relay(),
                START_PAUSE_MS,
            )

    # Following a relay

    def update_relay_revision(self, revision: int, address: Address) -> None:
        """Note that the relay at an address has all updates up to a revision."""
        with self._condition:
            if revision > self._relay.revision:
                self._relay = RelayRevision(revision, address)
                self._condition.notify()

    def _should_follow(self) -> bool:
        return (
            self._clock.now_ms() >= self._avoid_relay_until_ms and self.follows_relay()
        )

    def _is_behind_relay(self) -> bool:
        return self._relay.revision > self.revision and self._should_follow()

    def _follow(self) -> None:
        """Wait until a relay announces updates, and fetch them."""
        with self._condition:
            self._runtime.wait_for(
                self._condition,
                lambda: (
                    self._must_load
                    or self._relay.revision > self.revision
                    or not self._should_follow()
                ),
                FOLLOW_WAIT_MS,
            )
            relay = self._relay
        if relay.address is None or relay.revision <= self.revision:
            return
        if not self.fetch(relay.address):
            self._avoid_relay_until_ms = self._clock.now_ms() + AVOID_RELAY_MS
            with self._condition:
                self._relay = RelayRevision(self.revision, None)

    def load_again(self) -> None:
        """Load the store anew, for updates that the watch or a relay has missed.

        Another watch could miss them as well, and a relay may not have them.
        """
        with self._condition:
            self._must_load = True
            self._avoid_relay_until_ms = self._clock.now_ms() + AVOID_RELAY_MS
            self._condition.notify()
        self._interrupted = True
        self._store.interrupt()

    def _note_answer(self, sent_at_ms: float) -> None:
        self._note_success()
        self.confirm_current(self.revision, sent_at_ms)

    def _note_success(self) -> None:
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
        interrupted, self._interrupted = self._interrupted, False
        if self._runtime.stopping or interrupted:
            return
        self._failures += 1
        if self._failures == 1:
            self._log.write(
                "store",
                "The store doesn't answer.",
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
        """Encode for a peer the updates after a revision, or all items if it is old."""
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
            # Kept, because after an update all daemons behind a relay fetch the same.
            self._packed = Packed(since, self.revision, data)
            return data

    def unpack(self, data: bytes, source: str) -> None:
        """Apply a peer's mirror if it is ahead; raise ValueError if it is malformed."""
        try:
            encoded = zlib.decompressobj().decompress(data, MAX_MIRROR_BYTES)
            packed = decode(_peer_mirror_decoder, encoded)
        except (zlib.error, ValueError) as error:
            raise ValueError(f"the mirror of {source} can't be read: {error}") from None
        if packed.revision <= self.revision:
            return
        before = self.revision
        items = [Item(key, value, revision) for key, value, revision in packed.items]
        if packed.since == 0:
            self._replace(items, packed.revision)
        elif packed.since <= before:
            self._apply(StoreItems(items, packed.revision))
        self._log.write(
            "store",
            "A peer's mirror was applied.",
            peer=source,
            at=packed.revision,
            before=before,
        )

    def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removed: list[str],
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> int:
        """Put and remove keys of the store; raise StoreError or ConflictError."""
        return self._store.compare_and_swap(expected, puts, removed, timeout_ms)

    def read(self, key: str) -> Item | None:
        """Return the item of a key from the store itself, or raise StoreError."""
        loaded = self._store.load(key, CALL_TIMEOUT_MS)
        return next((item for item in loaded.items if item.key == key), None)
