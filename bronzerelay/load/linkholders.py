"""Chooses the daemon that keeps the links to an instance, and the way to it.

It answers a load of many short statements of many workspaces, sent through so many
daemons that each meets an instance's few connections too seldom to keep any.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Runtime

# The places of the ranking whose daemons serve statements that are passed on to them.
# One more than are used at a time, since one of them may be stopping.
HELD_PLACES = 3
# How many of the serving daemons are used: the link holder and its stand-by.
USED_PLACES = 2
# How long a holder that couldn't be reached or took nothing is avoided, in
# milliseconds: about as long as the failure of a network path is worth testing again.
AVOID_MS = 1_000
# The longest time is this many times as long: it doubles with each failure in a row,
# since every test of a holder that is cut off delays a statement.
MAX_AVOID_FACTOR = 4
# A holder counts as silent when it has answered nothing for this long while calls to it
# are in progress, beyond twice its usual time to answer, in milliseconds.
SILENT_MS = 250
# The weight of a new measurement in the moving average of a holder's answer time.
ANSWER_WEIGHT = 0.1


class Way(enum.Enum):
    """How a statement gets to its instance."""

    LOCAL = enum.auto()  # over a link that this daemon keeps
    PASSED = enum.auto()  # through another daemon, which keeps the links
    DIRECT = enum.auto()  # over a link of its own, as no holder can be used
    SERVED = enum.auto()  # for another daemon, over a link that this daemon keeps


class Choice(NamedTuple):
    """The way of a statement, the daemon that it is passed on to, and why."""

    way: Way
    holder: str = ""
    reason: str = ""


LOCAL = Choice(Way.LOCAL)


class HolderView:
    """What this daemon has seen of one other daemon as a holder."""

    def __init__(self):
        # Calls in progress, and since when the holder owes an answer to any of them.
        self.calls = 0
        self.waiting_since_ms = 0.0
        self.answer_ms = 0.0
        # Consecutive calls without an answer, and attempts that reached nobody.
        self.failures = 0
        self.unreached = 0
        # Until when it isn't used, by instance; "" stands for all instances.
        self.avoid_until_ms: dict[str, float] = {}
        self.reason = ""

    @property
    def patience_ms(self) -> float:
        """Return how long a call may lack an answer before the holder is silent."""
        return SILENT_MS + 2 * self.answer_ms

    def is_silent(self, now_ms: float) -> bool:
        """Return whether calls are in progress for too long without any answer."""
        return self.calls > 0 and now_ms - self.waiting_since_ms > self.patience_ms

    def is_avoided(self, instance_id: str, now_ms: float) -> bool:
        """Return whether the holder isn't to be used for an instance now.

        After a call without an answer, one call at a time tests the holder.
        """
        if self.failures > 0 and self.calls > 0:
            return True
        until_ms = max(
            self.avoid_until_ms.get("", 0.0), self.avoid_until_ms.get(instance_id, 0.0)
        )
        return now_ms < until_ms


class Call(NamedTuple):
    """A call to a holder in progress. The view may be dropped while it lasts."""

    view: HolderView
    began_ms: float


class LinkHolders:
    """The ranking of the daemons for each instance, and the view of each as a holder.

    Each daemon ranks by its own member list. While the lists differ, two daemons may
    hold links to one instance, which only costs connections.
    """

    def __init__(self, name: str, runtime: Runtime):
        self._name = name
        self._clock = runtime.clock
        self._lock = runtime.make_lock()
        # The failure domain of each member, including this daemon.
        self._domains: dict[str, str] = {name: ""}
        self._rankings: dict[tuple[str, str], tuple[str, ...]] = {}
        self._views: dict[str, HolderView] = {}
        # Returns whether a member, possibly this daemon, has announced its stop or
        # isn't heard of any more.
        self.is_leaving: Callable[[str], bool] = lambda _: False

    @property
    def count(self) -> int:
        """Return the number of members, including this daemon."""
        return len(self._domains)

    def set_members(self, domains: dict[str, str]) -> None:
        """Set the failure domain of each member, including this daemon."""
        self._domains = domains
        self._rankings = {}
        self._views = {name: self.view_of(name) for name in domains}

    def rank(self, instance_id: str, domain: str) -> tuple[str, ...]:
        """Return the daemons that may hold the links to an instance, in order."""
        key = (instance_id, domain)
        ranking = self._rankings.get(key)
        if ranking is None:
            near = [name for name, at in self._domains.items() if at == domain]
            order = rank(f"links/{instance_id}", near or self._domains)
            ranking = self._rankings[key] = tuple(order[:HELD_PLACES])
        return ranking

    def may_hold(self, instance_id: str, domain: str) -> bool:
        """Return whether others may pass statements for the instance on to here."""
        return self._name in self.rank(instance_id, domain)

    def is_first(self, instance_id: str, domain: str) -> bool:
        """Return whether this daemon is the link holder, not only its stand-by."""
        serving = self._list_serving(instance_id, domain)
        return bool(serving) and serving[0] == self._name

    def _list_serving(self, instance_id: str, domain: str) -> list[str]:
        ranking = self.rank(instance_id, domain)
        return [name for name in ranking if not self.is_leaving(name)]

    def view_of(self, name: str) -> HolderView:
        """Return what was seen of a daemon as a holder."""
        view = self._views.get(name)
        if view is None:
            with self._lock:
                view = self._views.setdefault(name, HolderView())
        return view

    def choose(self, instance_id: str, domain: str) -> Choice:
        """Return the way of a statement to an instance."""
        now_ms = self._clock.now_ms()
        serving = self._list_serving(instance_id, domain)
        reason = "no daemon serves as a holder"
        for name in serving[:USED_PLACES]:
            if name == self._name:
                return Choice(Way.LOCAL, name, reason if name != serving[0] else "")
            view = self.view_of(name)
            if view.is_avoided(instance_id, now_ms):
                reason = f"{name} is avoided: {view.reason}"
            elif view.is_silent(now_ms):
                reason = f"{name} is silent"
            else:
                return Choice(Way.PASSED, name, "" if name == serving[0] else reason)
        return Choice(Way.DIRECT, "", reason)

    # What was seen of holders

    def avoid(self, name: str, instance_id: str, reason: str) -> bool:
        """Avoid a holder for an instance, or for all if empty; return whether newly."""
        view = self.view_of(name)
        now_ms = self._clock.now_ms()
        is_new = not view.is_avoided(instance_id, now_ms)
        factor = min(2**view.unreached, MAX_AVOID_FACTOR)
        view.avoid_until_ms[instance_id] = now_ms + factor * AVOID_MS
        view.reason = reason
        return is_new

    def note_unreached(self, name: str, reason: str) -> bool:
        """Avoid a holder that nothing could be sent to; return whether newly."""
        is_new = self.avoid(name, "", reason)
        if is_new:
            # Not for each of several statements that tried at the same time.
            self.view_of(name).unreached += 1
        return is_new

    def begin_call(self, name: str) -> Call:
        """Note that a call to a holder begins; the caller must end it."""
        view = self.view_of(name)
        now_ms = self._clock.now_ms()
        with self._lock:
            if view.calls == 0:
                view.waiting_since_ms = now_ms
            view.calls += 1
        return Call(view, now_ms)

    def end_call(self, call: Call, answered: bool) -> bool:
        """Note the end of a call; return whether the holder is used again by it."""
        view = call.view
        now_ms = self._clock.now_ms()
        with self._lock:
            view.calls -= 1
            if not answered:
                view.failures += 1
                return False
            view.failures = view.unreached = 0
            view.waiting_since_ms = now_ms
            view.answer_ms += ANSWER_WEIGHT * (now_ms - call.began_ms - view.answer_ms)
            return view.avoid_until_ms.pop("", None) is not None
