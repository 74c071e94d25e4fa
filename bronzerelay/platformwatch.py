"""Watches configuration and roster at the platform, on behalf of all daemons.

Only a few daemons watch. If the platform doesn't answer just these, that looks like an
outage of the platform to the others. So the others start to ask too, one after another,
when no daemon that they know about has got an answer for some time.
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
# This many daemons watch, and the others learn from their heartbeats. So the platform's
# load doesn't grow with the number of daemons.
WATCHERS = 3
WATCH_MS = 1000
TURN_CHECK_MS = 200
RETRY_MS = 250
# How old the latest answer of the platform may be before daemons besides the watchers
# ask: the time of two watches, and of the heartbeats that report them.
OVERDUE_MS = 2 * WATCH_MS + 500
# How much longer each further daemon waits.
OVERDUE_STEP_MS = 50


class PlatformWatch:
    """Watches configuration and roster while it is this daemon's turn."""

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
        self._runtime.keep_running(
            self._watch,
            CONFIG_KEY,
            self._accept_config,
            self._membership.note_platform_answer,
        )
        # Only an answer about the configuration proves that no key was withdrawn.
        self._runtime.keep_running(
            self._watch, ROSTER_KEY, self._accept_roster, lambda sent_at_ms: None
        )

    def _accept_config(self, value: Any) -> None:
        self._store.accept(value)

    def _accept_roster(self, value: Any) -> None:
        self._gossip.accept_roster(msgspec.convert(value, Roster))

    def _find_place(self) -> int:
        """Return 0 for a watcher, else this daemon's place behind the watchers."""
        if self._store.version == 0:
            return 0
        ranked = rank("platform", self._membership.alive_names())
        name = self._membership.name
        place = ranked.index(name) if name in ranked else len(ranked)
        return max(0, place - WATCHERS + 1)

    def _is_turn(self, place: int) -> bool:
        overdue_ms = self._membership.platform_age_ms() - OVERDUE_MS
        return place == 0 or overdue_ms > place * OVERDUE_STEP_MS

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
                self._runtime.sleep_ms(TURN_CHECK_MS)
                continue
            sent_at_ms = self._runtime.clock.now_ms()
            result = self._key_value.watch(key, revision, WATCH_MS)
            if not result.is_ok() and result.error.code != Code.NOT_FOUND:
                # The backoff grows with the place, so that during an outage even a
                # large fleet makes few calls.
                factor = self._runtime.random.uniform(0.5, 1.5) * (1 + place)
                self._runtime.sleep_ms(RETRY_MS * factor)
                continue
            note_answer(sent_at_ms)
            if not result.is_ok():
                self._runtime.sleep_ms(RETRY_MS)
            elif result.ok is not None:
                revision = result.ok.revision
                self._accept(key, accept, result.ok.value)

    def _accept(self, key: str, accept: Callable[[Any], None], value: Any) -> None:
        """Accept `value`, and log any exception instead of ending the watch.

        Without the watch the daemon would no longer learn of withdrawn keys, and that
        would go unnoticed until it counted as isolated.
        """
        try:
            accept(value)
        except Exception as error:
            self._log.exception(
                "A value can't be put in force.", extra={"key": key, "why": str(error)}
            )
