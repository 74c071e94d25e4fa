"""The watches on the platform, kept by a few daemons for all.

Those few may be the ones that the platform gives no answer, which looks to the others
like an outage of the platform. So the others ask, one after another, when no daemon
that they hear of has got an answer for long.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from bronzerelay.codes import Code
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.gossip import Gossip
from bronzerelay.membership import Membership
from bronzerelay.rendezvous import rank
from bronzerelay.roster import ROSTER_KEY
from bronzerelay.runtime import Runtime
from bronzerelay.types import Roster

CONFIG_KEY = "config/current"
# This many daemons watch; the others learn from heartbeats. The calls at the
# platform so stay the same however many daemons there are.
WATCHERS = 3
WATCH_MS = 1000
IDLE_MS = 200
RETRY_MS = 250
# How old the newest answer of the platform may be before others than the watchers ask,
# in milliseconds: two watches, and the heartbeats that tell of them.
LATE_MS = 2 * WATCH_MS + 500
# How much longer each further daemon waits, in milliseconds.
STEP_MS = 50


class PlatformWatch:
    """Watches configuration and roster while this daemon is one of the few."""

    def __init__(
        self,
        runtime: Runtime,
        key_value: Any,
        membership: Membership,
        store: ConfigurationStore,
        gossip: Gossip,
        log: Any,
    ):
        self._runtime = runtime
        self._key_value = key_value
        self._membership = membership
        self._store = store
        self._gossip = gossip
        self._log = log

    def start(self) -> None:
        """Start both watches, each as a task of its own."""
        self._runtime.start(
            self._watch,
            CONFIG_KEY,
            self._accept_config,
            self._membership.note_platform_answer,
        )
        # Only an answer about the configuration proves that no key was withdrawn.
        self._runtime.start(
            self._watch, ROSTER_KEY, self._accept_roster, lambda sent_at_ms: None
        )

    def _accept_config(self, value: Any) -> None:
        self._store.accept(value)

    def _accept_roster(self, value: Any) -> None:
        self._gossip.accept_roster(msgspec.convert(value, Roster))

    def _find_place(self) -> int:
        """Return how many daemons ask before this one does; 0 for a watcher."""
        if self._store.version == 0:
            return 0
        order = rank("platform", self._membership.alive_names())
        name = self._membership.name
        place = order.index(name) if name in order else len(order)
        return max(0, place - WATCHERS + 1)

    def _is_turn(self, place: int) -> bool:
        late_ms = self._membership.platform_age_ms() - LATE_MS
        return place == 0 or late_ms > place * STEP_MS

    def _watch(
        self,
        key: str,
        accept: Callable[[Any], None],
        note_answer: Callable[[float], None],
    ) -> None:
        revision = 0
        while not self._runtime.stopping:
            place = self._find_place()
            if not self._is_turn(place):
                self._runtime.sleep_ms(IDLE_MS)
                continue
            sent_at_ms = self._runtime.clock.now_ms()
            result = self._key_value.watch(key, revision, WATCH_MS)
            if not result.is_ok() and result.error.code != Code.NOT_FOUND:
                # In proportion, so that an outage costs a large fleet few calls.
                spread = self._runtime.random.uniform(0.5, 1.5) * (1 + place)
                self._runtime.sleep_ms(RETRY_MS * spread)
                continue
            note_answer(sent_at_ms)
            if not result.is_ok():
                self._runtime.sleep_ms(RETRY_MS)
            elif result.ok is not None:
                revision = result.ok.revision
                self._take(key, accept, result.ok.value)

    def _take(self, key: str, accept: Callable[[Any], None], value: Any) -> None:
        """Accept `value`; a fault in it or in us must not end the watch for good.

        The daemon would hear of no withdrawn key any more, and nobody would notice
        until it counted as isolated.
        """
        try:
            accept(value)
        except Exception as error:
            self._log.exception(
                "A value can't be put in force.", extra={"key": key, "why": str(error)}
            )
