"""Who is alive: views of all daemons, spread by heartbeats between peers."""

from typing import NamedTuple

from bronzerelay.peerlink.ttypes import MemberView
from bronzerelay.runtime import Address, Runtime, parse_address
from bronzerelay.types import Roster

# An age that says "never"; it stays below the i64 of the heartbeat.
NEVER_MS = 10**12


class View(NamedTuple):
    """What this daemon knows of another one; times are of the own clock."""

    beat: int = -1
    applied_epoch: int = 0
    config_version: int = 0
    heard_at_ms: float = -NEVER_MS
    platform_at_ms: float = -NEVER_MS
    stopping: bool = False


class Pause(NamedTuple):
    """A time during which this daemon didn't run, by the own clock."""

    began_ms: float = -NEVER_MS
    ended_ms: float = -NEVER_MS


class MembershipSettings(NamedTuple):
    """How fast silence is taken for death, and for being cut off."""

    name: str
    suspect_ms: int = 700
    isolation_ms: int = 3000


class Membership:
    """The roster in force and the freshest view of each member.

    A view is fresh only by the own clock: it counts from the moment at which the
    request was sent whose reply brought it. A beat that comes in says nothing about
    its age; a daemon that was frozen reads old ones and would take them for new.
    """

    def __init__(self, runtime: Runtime, settings: MembershipSettings):
        self._runtime = runtime
        self._settings = settings
        self._lock = runtime.make_lock()
        self._views: dict[str, View] = {}
        # Why each member that couldn't be reached counts as dead.
        self._unreachable: dict[str, str] = {}
        self._roster: Roster = {"epoch": 0, "members": []}
        self._addresses: dict[str, Address] = {}
        self._own = View(beat=0)
        self._pause = Pause()
        self._platform_at_ms: float = -NEVER_MS
        # The live members, for as long as nothing but time can change them.
        self._alive: list[str] = []
        self._alive_until_ms: float = -NEVER_MS

    @property
    def name(self) -> str:
        """Return the daemon's own name."""
        return self._settings.name

    # The own view

    def note_platform_answer(self, sent_at_ms: float) -> None:
        """Note that a request sent to the platform at `sent_at_ms` was answered."""
        with self._lock:
            latest = max(self._own.platform_at_ms, sent_at_ms)
            self._own = self._own._replace(platform_at_ms=latest)
            self._platform_at_ms = max(self._platform_at_ms, latest)

    def note_config_version(self, version: int) -> None:
        """Note the version of the configuration that is in force here."""
        with self._lock:
            self._own = self._own._replace(config_version=version)

    def note_applied_epoch(self, epoch: int) -> None:
        """Note the roster epoch whose shares are in force here."""
        with self._lock:
            applied = max(self._own.applied_epoch, epoch)
            self._own = self._own._replace(applied_epoch=applied)

    @property
    def applied_epoch(self) -> int:
        """Return the roster epoch whose shares are in force here."""
        return self._own.applied_epoch

    def note_stopping(self) -> None:
        """Tell peers from now on that this daemon is stopping."""
        with self._lock:
            self._own = self._own._replace(stopping=True)
            self._forget_alive()

    # Heartbeats

    def make_views(self) -> list[MemberView]:
        """Return the own view and all known ones, ages counted from now."""
        now_ms = self._runtime.clock.now_ms()
        with self._lock:
            self._own = self._own._replace(beat=self._own.beat + 1, heard_at_ms=now_ms)
            views = {**self._views, self.name: self._own}
        return [_pack_view(name, view, now_ms) for name, view in views.items()]

    def merge_reply(self, views: list[MemberView], sent_at_ms: float) -> None:
        """Take over what a reply says, as of the time its request was sent."""
        with self._lock:
            for packed in views:
                if packed.name == self.name:
                    continue
                known = self._views.get(packed.name, View())
                view = _merge_view(known, packed, sent_at_ms)
                self._views[packed.name] = view
                self._note_merged(packed.name, known, view)

    def _note_merged(self, name: str, known: View, view: View) -> None:
        self._platform_at_ms = max(self._platform_at_ms, view.platform_at_ms)
        oldest_ms = self._runtime.clock.now_ms() - self._settings.suspect_ms
        was_silent = known.heard_at_ms < oldest_ms <= view.heard_at_ms
        if was_silent or known.stopping != view.stopping:
            self._forget_alive()

    def clear_unreachable(self, name: str) -> None:
        """Trust `name` again, since it replied."""
        with self._lock:
            if self._unreachable.pop(name, None) is not None:
                self._forget_alive()

    def mark_unreachable(self, name: str, reason: str = "") -> None:
        """Distrust `name` at once, since it refused a connection."""
        with self._lock:
            self._unreachable[name] = reason
            self._forget_alive()

    def why_unreachable(self, name: str) -> str:
        """Return why `name` was marked; empty when it is silent or alive."""
        return self._unreachable.get(name, "")

    def note_pause(self, began_ms: float, ended_ms: float) -> None:
        """Note that this daemon didn't run and can't tell who was silent meanwhile.

        Whoever was alive before counts as alive until it could have answered. All the
        others would look dead otherwise, and every call on its way would be cut.
        """
        with self._lock:
            self._pause = Pause(began_ms, ended_ms)
            self._forget_alive()

    # The roster

    @property
    def roster(self) -> Roster:
        """Return the roster with the highest epoch seen."""
        return self._roster

    def accept_roster(self, roster: Roster) -> bool:
        """Take over `roster` if its epoch is higher, or newly settled.

        Return whether it was.
        """
        with self._lock:
            known = self._roster
            if roster["epoch"] < known["epoch"]:
                return False
            newly_settled = roster.get("settled") and not known.get("settled")
            if roster["epoch"] == known["epoch"] and not newly_settled:
                return False
            self._roster = roster
            members = roster["members"]
            self._addresses = {
                member["name"]: parse_address(member["address"]) for member in members
            }
            for gone in set(self._views) - set(self._addresses):
                del self._views[gone]
            self._forget_alive()
        return True

    def member_names(self) -> list[str]:
        """Return the names in the roster."""
        return list(self._addresses)

    def peer_addresses(self) -> dict[str, Address]:
        """Return where the other members are reached."""
        addresses = dict(self._addresses)
        addresses.pop(self.name, None)
        return addresses

    def address_of(self, name: str) -> Address | None:
        """Return where `name` is reached, or None when the roster lacks it."""
        return self._addresses.get(name)

    def view_of(self, name: str) -> View:
        """Return the view of `name`; one never heard of is as old as can be."""
        with self._lock:
            if name == self.name:
                return self._own._replace(heard_at_ms=self._runtime.clock.now_ms())
            return self._views.get(name, View())

    # Judgements

    def is_alive(self, name: str) -> bool:
        """Return whether `name` was heard of lately and isn't stopping."""
        if name == self.name:
            return not self._own.stopping
        view = self.view_of(name)
        if view.stopping or name in self._unreachable:
            return False
        return self._is_heard(view, self._runtime.clock.now_ms())

    def _is_heard(self, view: View, now_ms: float) -> bool:
        return now_ms <= self._trusted_until_ms(view)

    def _trusted_until_ms(self, view: View) -> float:
        """Return until when a member counts as alive that isn't heard of again."""
        until_ms = view.heard_at_ms + self._settings.suspect_ms
        if view.heard_at_ms <= self._pause.began_ms <= until_ms:
            return self._pause.ended_ms + self._settings.suspect_ms
        return until_ms

    def alive_names(self) -> list[str]:
        """Return the members that are alive; always itself unless it is stopping.

        It is the same list until that changes; nobody may edit it. Each request asks
        for it, and judging all members anew is slow in a large fleet.
        """
        with self._lock:
            now_ms = self._runtime.clock.now_ms()
            if now_ms > self._alive_until_ms:
                self._judge_alive(now_ms)
            return self._alive

    def _forget_alive(self) -> None:
        self._alive_until_ms = -NEVER_MS

    def _judge_alive(self, now_ms: float) -> None:
        """Judge all members, and note when silence could next change the outcome."""
        suspect_ms = self._settings.suspect_ms
        until_ms = now_ms + suspect_ms
        names = set() if self._own.stopping else {self.name}
        for name in self._addresses:
            view = self._views.get(name)
            if view is None or view.stopping or name in self._unreachable:
                continue
            if name != self.name and self._is_heard(view, now_ms):
                names.add(name)
                until_ms = min(until_ms, self._trusted_until_ms(view))
        alive = sorted(names)
        if alive != self._alive:
            self._alive = alive
        self._alive_until_ms = until_ms

    def platform_age_ms(self) -> float:
        """Return how long ago the platform answered any daemon that we heard of."""
        return self._runtime.clock.now_ms() - self._platform_at_ms

    def list_answered(self, names: list[str], within_ms: float) -> list[str]:
        """Return those of `names` that the platform has answered within a time."""
        oldest_ms = self._runtime.clock.now_ms() - within_ms
        return [
            name for name in names if self.view_of(name).platform_at_ms >= oldest_ms
        ]

    def is_isolated(self) -> bool:
        """Return whether a key could be withdrawn without this daemon learning it.

        It is safe when the platform answered somebody that we hear of, or when we
        hear of most of the roster and none of them gets an answer: then the platform
        itself is out and nothing new can be accepted. A daemon that hears of fewer
        may be on the small side of a cut and would go on honouring withdrawn keys.
        """
        limit_ms = self._settings.isolation_ms
        if self.platform_age_ms() <= limit_ms:
            return False
        names = self.member_names()
        if not names:
            return True
        oldest_ms = self._runtime.clock.now_ms() - limit_ms
        heard = [name for name in names if self.view_of(name).heard_at_ms >= oldest_ms]
        return len(heard) * 2 <= len(names)

    def all_applied(self, roster: Roster) -> bool:
        """Return whether each member of `roster` is known to have applied it.

        The names are those of the roster that was handed in: another one may come
        into force meanwhile, and its members say nothing about this one.
        """
        if roster.get("settled"):
            return True
        epoch = roster["epoch"]
        return all(
            self.view_of(name).applied_epoch >= epoch for name in names_of(roster)
        )

    def all_configured(self, version: int) -> bool:
        """Return whether each member is known to go by `version` or a later one."""
        names = self.member_names()
        return bool(names) and all(
            self.view_of(name).config_version >= version for name in names
        )


def names_of(roster: Roster) -> list[str]:
    """Return the names of a roster's members."""
    return [member["name"] for member in roster["members"]]


def _pack_view(name: str, view: View, now_ms: float) -> MemberView:
    return MemberView(
        name=name,
        beat=view.beat,
        applied_epoch=view.applied_epoch,
        config_version=view.config_version,
        heard_age_ms=int(min(NEVER_MS, now_ms - view.heard_at_ms)) + 1,
        platform_age_ms=int(min(NEVER_MS, now_ms - view.platform_at_ms)) + 1,
        stopping=view.stopping,
    )


def _merge_view(known: View, packed: MemberView, sent_at_ms: float) -> View:
    heard_at_ms = max(known.heard_at_ms, sent_at_ms - packed.heard_age_ms)
    platform_at_ms = max(known.platform_at_ms, sent_at_ms - packed.platform_age_ms)
    ages = known._replace(heard_at_ms=heard_at_ms, platform_at_ms=platform_at_ms)
    # A restarted daemon counts its beats from zero again, and its newer age tells
    # it from an old view that took a detour.
    is_newer = packed.beat > known.beat or (
        sent_at_ms - packed.heard_age_ms > known.heard_at_ms + 1
    )
    if not is_newer:
        return ages
    return ages._replace(
        beat=packed.beat,
        applied_epoch=packed.applied_epoch,
        config_version=packed.config_version,
        stopping=packed.stopping,
    )
