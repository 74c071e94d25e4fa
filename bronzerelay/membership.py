"""Membership: which daemons are alive, from views that heartbeats carry."""

import math
from typing import NamedTuple

from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.runtime import Address, Runtime, parse_address
from bronzerelay.standdown import ASK_MS, STAND_DOWN_MS, Answer, StandDown
from bronzerelay.types import Roster

# The age of an event that never happened; it fits into the heartbeat's i64.
NEVER_MS = 10**12
# The highest epoch of a roster; it fits into the heartbeat's i64 with room to grow.
MAX_EPOCH = 2**53
# If this much time lies between two calls of `note_running`, this daemon was paused.
PAUSE_MS = 250
# After a pause of this share of `suspect_ms` peers may have counted this daemon as
# dead, as their last news of it was older than the pause.
MISSED_SHARE = 0.5


class View(NamedTuple):
    """What this daemon knows about a member; times are on this daemon's clock.

    `heard_at_ms` is when the member was known to run, and `platform_at_ms` when the
    platform last answered it. While `standing_down` it serves no groups; None says that
    it doesn't know yet whether it may.
    """

    beat: int = -1
    applied_epoch: int = 0
    config_version: int = 0
    heard_at_ms: float = -NEVER_MS
    platform_at_ms: float = -NEVER_MS
    stopping: bool = False
    standing_down: bool | None = None


class Pause(NamedTuple):
    """A period in which this daemon's process didn't run, on its own clock."""

    began_ms: float = -NEVER_MS
    ended_ms: float = -NEVER_MS


class MembershipSettings(NamedTuple):
    """After how much silence a member counts as dead, and this daemon as isolated."""

    name: str
    suspect_ms: int = 700
    isolation_ms: int = 3000


class Membership:
    """The roster in force and the latest view of each member.

    The age of a view is measured on this daemon's clock, from the time at which it
    sent the heartbeat whose reply brought the view. The time of arrival can't be used:
    a daemon that was frozen reads old replies and would take them for new ones.
    """

    def __init__(self, runtime: Runtime, settings: MembershipSettings):
        self._runtime = runtime
        self._settings = settings
        self._lock = runtime.make_lock()
        self._views: dict[str, View] = {}
        # The connection error of each member that counts as dead because of it.
        self._unreachable: dict[str, str] = {}
        self._roster: Roster = {"epoch": 0, "members": []}
        self._addresses: dict[str, Address] = {}
        self._own_view = View(beat=0)
        self._pause = Pause()
        # When this daemon last noted that it runs; inf until it does so at all.
        self._running_at_ms = math.inf
        # When each member was last found to be dead because of its silence.
        self._missed_at_ms: dict[str, float] = {}
        self._stand_down = StandDown()
        # Notified of answers while `is_asking` is true.
        self._answered = runtime.make_condition()
        self._platform_at_ms: float = -NEVER_MS
        # The live members, those of them that may serve groups, and what this daemon
        # itself does, cached until a view changes or `_alive_until_ms` has passed.
        self._alive: list[str] = []
        self._serving: list[str] = []
        self._is_asking = False
        self._is_standing_down = False
        self._alive_until_ms: float = -NEVER_MS

    @property
    def name(self) -> str:
        """Return the daemon's own name."""
        return self._settings.name

    # The own view

    def note_platform_answer(self, sent_at_ms: float) -> None:
        """Record that the platform answered a request that was sent at `sent_at_ms`."""
        with self._lock:
            latest = max(self._own_view.platform_at_ms, sent_at_ms)
            self._own_view = self._own_view._replace(platform_at_ms=latest)
            self._platform_at_ms = max(self._platform_at_ms, latest)

    def note_config_version(self, version: int) -> None:
        """Record the version of the configuration that is in force here."""
        with self._lock:
            self._own_view = self._own_view._replace(config_version=version)

    def note_applied_epoch(self, epoch: int) -> None:
        """Record the roster epoch whose shares are in force here."""
        with self._lock:
            applied = max(self._own_view.applied_epoch, epoch)
            self._own_view = self._own_view._replace(applied_epoch=applied)

    @property
    def applied_epoch(self) -> int:
        """Return the roster epoch whose shares are in force here."""
        return self._own_view.applied_epoch

    def note_stopping(self) -> None:
        """Report to peers from now on that this daemon is stopping."""
        with self._lock:
            self._own_view = self._own_view._replace(stopping=True)
            self._invalidate_alive()

    # Heartbeats

    def make_views(self) -> list[MemberView]:
        """Return this daemon's view of itself and of all others, with current ages."""
        now_ms = self._runtime.clock.now_ms()
        with self._lock:
            self._update_alive(now_ms)
            self._own_view = self._own_view._replace(
                beat=self._own_view.beat + 1,
                heard_at_ms=now_ms,
                standing_down=None if self._is_asking else self._is_standing_down,
            )
            views = {**self._views, self.name: self._own_view}
            missed_at_ms = dict(self._missed_at_ms)
        return [
            _pack_view(name, view, now_ms, missed_at_ms.get(name, -NEVER_MS))
            for name, view in views.items()
        ]

    def merge_reply(
        self, views: list[MemberView], sent_at_ms: float, sender: str = ""
    ) -> None:
        """Merge the views of a reply, with ages that count from `sent_at_ms`."""
        was_asking = self._is_asking
        with self._lock:
            for packed in views:
                if packed.name == self.name:
                    self._note_answer(sender, packed, sent_at_ms)
                    continue
                known = self._views.get(packed.name, View())
                view = _merge_view(known, packed, sent_at_ms)
                self._views[packed.name] = view
                self._note_merged(packed.name, known, view)
        if was_asking:
            with self._answered:
                self._answered.notify_all()

    def _note_answer(self, sender: str, own: MemberView, sent_at_ms: float) -> None:
        """Record what `sender` reports of this daemon itself."""
        missed_at_ms = -math.inf
        if own.missed_age_ms is not None:
            missed_at_ms = sent_at_ms - own.missed_age_ms
        answer = Answer(sent_at_ms, missed_at_ms)
        if self._stand_down.note_answer(sender, answer, self._runtime.clock.now_ms()):
            self._invalidate_alive()

    def _note_merged(self, name: str, known: View, view: View) -> None:
        self._platform_at_ms = max(self._platform_at_ms, view.platform_at_ms)
        now_ms = self._runtime.clock.now_ms()
        was_silent = not self._is_recent(known, now_ms)
        returned = was_silent and self._is_recent(view, now_ms)
        stop_changed = known.stopping != view.stopping
        stand_down_changed = known.standing_down != view.standing_down
        if returned or stop_changed or stand_down_changed:
            self._invalidate_alive()

    def clear_unreachable(self, name: str) -> None:
        """Let `name` count as alive again, because it has replied."""
        with self._lock:
            if self._unreachable.pop(name, None) is not None:
                self._invalidate_alive()

    def mark_unreachable(self, name: str, reason: str = "") -> None:
        """Let `name` count as dead at once, because it can't be connected to."""
        with self._lock:
            self._unreachable[name] = reason
            self._invalidate_alive()

    def why_unreachable(self, name: str) -> str:
        """Return the reason given to `mark_unreachable`, or "" if not marked."""
        return self._unreachable.get(name, "")

    def note_pause(self, began_ms: float, ended_ms: float) -> None:
        """Record a pause of this daemon, during which it couldn't receive replies.

        Members that were alive before the pause count as alive until they have had
        time to reply after it. Otherwise all of them would look dead, and every call
        in progress would be closed.
        """
        with self._lock:
            self._note_pause(began_ms, ended_ms)

    def _note_pause(self, began_ms: float, ended_ms: float) -> None:
        # A pause may be recorded twice; answers to the first record still count.
        is_known = began_ms < self._pause.ended_ms
        self._pause = Pause(began_ms, ended_ms)
        long_ms = MISSED_SHARE * self._settings.suspect_ms
        if ended_ms - began_ms >= long_ms and not is_known:
            self._stand_down.note_pause(ended_ms)
        self._invalidate_alive()

    def note_running(self, now_ms: float) -> None:
        """Record that this daemon runs; to be called a few times in `PAUSE_MS`."""
        with self._lock:
            self._running_at_ms = now_ms

    def _catch_up_pause(self, now_ms: float) -> None:
        """Record a pause that ended just now; the lock is held.

        Requests that arrived during the pause may be handled before the task that looks
        for pauses runs.
        """
        if now_ms - self._running_at_ms > PAUSE_MS:
            self._note_pause(self._running_at_ms, now_ms)
            self._running_at_ms = now_ms

    # Standing down

    def is_asking(self) -> bool:
        """Return whether the peers have yet to tell what they did during a pause.

        They may have counted this daemon as dead and let others serve its groups.
        """
        with self._lock:
            self._update_alive(self._runtime.clock.now_ms())
            return self._is_asking

    def wait_for_answers(self, timeout_ms: float) -> None:
        """Return once `is_asking` is false, after `timeout_ms` at the latest."""
        if not self.is_asking():
            return
        with self._answered:
            self._runtime.wait_for(
                self._answered, lambda: not self.is_asking(), min(timeout_ms, ASK_MS)
            )

    def is_standing_down(self) -> bool:
        """Return whether this daemon serves no groups, as peers counted it as dead."""
        with self._lock:
            self._update_alive(self._runtime.clock.now_ms())
            return self._is_standing_down

    # The roster

    @property
    def roster(self) -> Roster:
        """Return the roster with the highest epoch seen."""
        return self._roster

    def accept_roster(self, roster: Roster) -> bool:
        """Put `roster` in force if its epoch is higher, or if it is newly settled.

        Return whether it was put in force. Raise ValueError if it can't be used.
        """
        addresses = read_addresses(roster)
        with self._lock:
            known = self._roster
            if roster["epoch"] < known["epoch"]:
                return False
            newly_settled = roster.get("settled") and not known.get("settled")
            if roster["epoch"] == known["epoch"] and not newly_settled:
                return False
            self._roster = roster
            self._addresses = addresses
            for name in set(self._views) - set(self._addresses):
                del self._views[name]
                self._missed_at_ms.pop(name, None)
            self._stand_down.keep_peers(self._addresses)
            self._invalidate_alive()
        return True

    def member_names(self) -> list[str]:
        """Return the names in the roster."""
        return list(self._addresses)

    def peer_addresses(self) -> dict[str, Address]:
        """Return the peer addresses of the other members."""
        addresses = dict(self._addresses)
        addresses.pop(self.name, None)
        return addresses

    def address_of(self, name: str) -> Address | None:
        """Return the peer address of `name`, or None if it isn't in the roster."""
        return self._addresses.get(name)

    def view_of(self, name: str) -> View:
        """Return the view of `name`; without any heartbeat it is of age `NEVER_MS`."""
        with self._lock:
            if name == self.name:
                return self._own_view._replace(heard_at_ms=self._runtime.clock.now_ms())
            return self._views.get(name, View())

    # Liveness

    def is_alive(self, name: str) -> bool:
        """Return whether `name` was known to run recently and isn't stopping."""
        if name == self.name:
            return not self._own_view.stopping
        view = self.view_of(name)
        if view.stopping or name in self._unreachable:
            return False
        return self._is_recent(view, self._runtime.clock.now_ms())

    def _is_recent(self, view: View, now_ms: float) -> bool:
        return now_ms <= self._trusted_until_ms(view)

    def _trusted_until_ms(self, view: View) -> float:
        """Return until when a member counts as alive without any newer view.

        A newer view never shortens it, so a cached list stays valid until then.
        """
        pause = self._pause
        until_ms = view.heard_at_ms + self._settings.suspect_ms
        if pause.began_ms <= until_ms and view.heard_at_ms <= pause.ended_ms:
            return pause.ended_ms + self._settings.suspect_ms
        return until_ms

    def alive_names(self) -> list[str]:
        """Return the live members, this daemon included unless it is stopping.

        The list is cached, and callers must not modify it: each request needs it, and
        to check all members each time is slow in a large fleet.
        """
        with self._lock:
            self._update_alive(self._runtime.clock.now_ms())
            return self._alive

    def serving_names(self) -> list[str]:
        """Return the live members that serve groups.

        Those that stand down are left out, unless all do. The list is cached like that
        of `alive_names`.
        """
        with self._lock:
            self._update_alive(self._runtime.clock.now_ms())
            return self._serving

    def _update_alive(self, now_ms: float) -> None:
        self._catch_up_pause(now_ms)
        if now_ms > self._alive_until_ms:
            self._refresh_alive(now_ms)

    def _invalidate_alive(self) -> None:
        self._alive_until_ms = -NEVER_MS

    def _refresh_alive(self, now_ms: float) -> None:
        """Check all members, and find out when the next one would count as dead."""
        suspect_ms = self._settings.suspect_ms
        until_ms = now_ms + suspect_ms
        names = set() if self._own_view.stopping else {self.name}
        for name in self._addresses:
            view = self._views.get(name)
            if view is None or view.stopping or name in self._unreachable:
                continue
            if name != self.name and self._is_recent(view, now_ms):
                names.add(name)
                until_ms = min(until_ms, self._trusted_until_ms(view))
        self._note_missed(names, now_ms)
        alive = sorted(names)
        if alive != self._alive:
            self._alive = alive
        peers = set(self._addresses) - {self.name}
        self._is_asking = self._stand_down.is_asking(peers & names, now_ms)
        self._is_standing_down = self._stand_down.is_missed(len(peers), now_ms)
        if self._is_asking:
            until_ms = min(until_ms, self._stand_down.asks_until_ms)
        serving = [name for name in alive if not self._stands_down(name, now_ms)]
        serving = serving or alive
        if serving != self._serving:
            self._serving = serving
        self._alive_until_ms = until_ms

    def _note_missed(self, alive: set[str], now_ms: float) -> None:
        """Record which members count as dead because of their silence."""
        for name, view in self._views.items():
            was_heard = view.heard_at_ms > -NEVER_MS / 2
            is_silent = name not in alive and name not in self._unreachable
            if was_heard and is_silent and not view.stopping:
                self._missed_at_ms[name] = now_ms

    def _stands_down(self, name: str, now_ms: float) -> bool:
        """Return whether a live member stands down, as far as is known here.

        One that was missed here takes its groups back only when it says that it may.
        """
        if name == self.name:
            return self._is_asking or self._is_standing_down
        standing_down = self._views[name].standing_down
        if standing_down is None:
            missed_at_ms = self._missed_at_ms.get(name, -NEVER_MS)
            return now_ms < missed_at_ms + STAND_DOWN_MS
        return standing_down

    def platform_age_ms(self) -> float:
        """Return how long ago the platform answered any daemon, as far as known."""
        return self._runtime.clock.now_ms() - self._platform_at_ms

    def filter_answered(self, names: list[str], within_ms: float) -> list[str]:
        """Return those of `names` that the platform has answered recently."""
        since_ms = self._runtime.clock.now_ms() - within_ms
        return [name for name in names if self.view_of(name).platform_at_ms >= since_ms]

    def is_isolated(self) -> bool:
        """Return whether a key could be withdrawn without this daemon learning of it.

        It isn't isolated if the platform has recently answered a daemon whose views
        reach this one. Nor is it if it has recent views of most of the roster and the
        platform answers none of them: then the platform itself is down, and no new
        configuration can be accepted. A daemon with fewer recent views may be in the
        minority of a network partition, and would go on accepting withdrawn keys.
        """
        limit_ms = self._settings.isolation_ms
        if self.platform_age_ms() <= limit_ms:
            return False
        names = self.member_names()
        if not names:
            return True
        since_ms = self._runtime.clock.now_ms() - limit_ms
        heard = [name for name in names if self.view_of(name).heard_at_ms >= since_ms]
        return len(heard) * 2 <= len(names)

    def all_applied(self, roster: Roster) -> bool:
        """Return whether each member of `roster` is known to have applied it.

        Only the members of the given roster count. Another roster may come into force
        meanwhile, and its members say nothing about this one.
        """
        if roster.get("settled"):
            return True
        epoch = roster["epoch"]
        return all(
            self.view_of(name).applied_epoch >= epoch for name in names_of(roster)
        )

    def all_configured(self, version: int) -> bool:
        """Return whether each member is known to use `version` or a later one."""
        names = self.member_names()
        return bool(names) and all(
            self.view_of(name).config_version >= version for name in names
        )


def read_addresses(roster: Roster) -> dict[str, Address]:
    """Return the members' addresses, or raise ValueError if a roster can't be used."""
    if not 0 <= roster["epoch"] <= MAX_EPOCH:
        raise ValueError(f"the roster's epoch {roster['epoch']} is out of range")
    return {
        member["name"]: parse_address(member["address"]) for member in roster["members"]
    }


def names_of(roster: Roster) -> list[str]:
    """Return the names of a roster's members."""
    return [member["name"] for member in roster["members"]]


def _pack_view(name: str, view: View, now_ms: float, missed_at_ms: float) -> MemberView:
    missed_age_ms = int(now_ms - missed_at_ms) + 1
    return MemberView(
        name=name,
        beat=view.beat,
        applied_epoch=view.applied_epoch,
        config_version=view.config_version,
        heard_age_ms=int(min(NEVER_MS, now_ms - view.heard_at_ms)) + 1,
        platform_age_ms=int(min(NEVER_MS, now_ms - view.platform_at_ms)) + 1,
        stopping=view.stopping,
        standing_down=view.standing_down,
        missed_age_ms=missed_age_ms if missed_age_ms < STAND_DOWN_MS else None,
    )


def _merge_view(known: View, packed: MemberView, sent_at_ms: float) -> View:
    heard_at_ms = max(known.heard_at_ms, sent_at_ms - packed.heard_age_ms)
    platform_at_ms = max(known.platform_at_ms, sent_at_ms - packed.platform_age_ms)
    aged = known._replace(heard_at_ms=heard_at_ms, platform_at_ms=platform_at_ms)
    # A restarted daemon counts its heartbeats from zero again. Its newer age tells its
    # view apart from an old one that arrived late through another member.
    is_newer = packed.beat > known.beat or (
        sent_at_ms - packed.heard_age_ms > known.heard_at_ms + 1
    )
    if not is_newer:
        return aged
    return aged._replace(
        beat=packed.beat,
        applied_epoch=packed.applied_epoch,
        config_version=packed.config_version,
        stopping=packed.stopping,
        standing_down=packed.standing_down,
    )
