"""The groups that this daemon serves, made when they are first needed."""

import functools
from typing import Any, NamedTuple

from bronzerelay.failover import GroupKeeper, Outcome
from bronzerelay.group import GroupServer
from bronzerelay.instances import GroupComponents
from bronzerelay.membership import Membership
from bronzerelay.policies import DEFAULT, make_policy
from bronzerelay.pool import ConnectionPool
from bronzerelay.rendezvous import rank
from bronzerelay.retries import RetryBudget
from bronzerelay.runtime import Runtime
from bronzerelay.slots import SlotQueue
from bronzerelay.types import Configuration, EndpointSpec, GroupSpec
from bronzerelay.watch import ContactLoss, GroupWatch

# A daemon that got a group's statement as a stand-in keeps the group this long.
KEEP_MS = 10_000
# For this long after such a statement it also promotes, as the serving daemon does.
SERVE_MS = 2_000
TEND_MS = 200
# How many groups a line of the log names at most.
LOGGED_GROUPS = 8
# How many daemons are kept for a group; a request tries fewer. All of 3,100 for each
# of 23,000 groups would take 570 MB.
RANKED_KEPT = 4
# The part of an instance's connections that one serving daemon opens. Two daemons may
# take themselves for the serving one while they see the fleet differently.
CONNECTION_PART = 0.5
# What the status page shows of a group that this daemon is just about to serve.
NOTHING_SEEN: dict[str, Any] = {"primary": None, "term": 0, "endpoints": {}}


class GroupSettings(NamedTuple):
    """How groups are served; times are milliseconds, `policy` a registered name."""

    name: str
    queue_limit: int
    status_wait_ms: int
    statement_timeout_ms: int
    policy: str = DEFAULT


class Served(NamedTuple):
    """A group with the time of its last use, in a list so that it can change."""

    server: GroupServer
    used_at_ms: list[float]


class Ranking(NamedTuple):
    """The first daemons for each group, as long as `alive` are the live ones."""

    alive: list[str]
    first: dict[str, list[str]]


class Groups:
    """All groups that this daemon has made a server for."""

    def __init__(
        self,
        runtime: Runtime,
        settings: GroupSettings,
        membership: Membership,
        open_link: Any,
        metrics: Any,
        log: Any,
    ):
        self._runtime = runtime
        self._settings = settings
        self._membership = membership
        self._open_link = open_link
        self._metrics = metrics
        self._log = log
        self._lock = runtime.make_lock()
        self._served: dict[str, Served] = {}
        self._specs: dict[str, GroupSpec] = {}
        self._ranking = Ranking([], {})

    def rank_daemons(self, group: str) -> list[str]:
        """Return the first few live daemons for `group`; the very first serves it."""
        alive = self._membership.alive_names()
        ranking = self._ranking
        if ranking.alive is not alive:
            ranking = self._ranking = Ranking(alive, {})
        first = ranking.first.get(group)
        if first is None:
            first = rank(f"group/{group}", alive)[:RANKED_KEPT]
            ranking.first[group] = first
        return first

    def _is_first(self, group: str) -> bool:
        return self.rank_daemons(group)[:1] == [self._settings.name]

    def set_configuration(self, configuration: Configuration) -> None:
        """Take over the groups of a new configuration."""
        with self._lock:
            self._specs = configuration.groups
            for name in set(self._served) - set(self._specs):
                self._stop(name)
            for name, served in self._served.items():
                self._apply_spec(served.server.components, self._specs[name])

    def find(self, group: str, now_used: bool = True) -> GroupServer | None:
        """Return the server of `group`, made if need be; None if it isn't known."""
        now_ms = self._runtime.clock.now_ms()
        with self._lock:
            served = self._served.get(group)
            if served is None:
                spec = self._specs.get(group)
                if spec is None:
                    return None
                served = Served(self._make(spec), [0.0])
                self._served[group] = served
            if now_used:
                served.used_at_ms[0] = now_ms
            return served.server

    def maintain(self) -> None:
        """Make the groups that this daemon is to serve, and drop unused ones."""
        served: set[str] = set()
        while self._runtime.sleep_ms(TEND_MS):
            first = {group for group in list(self._specs) if self._is_first(group)}
            for group in first:
                self.find(group)
            if first != served:
                self._log_served(first, served)
            served = first
            self._drop_unused()

    def _log_served(self, first: set[str], before: set[str]) -> None:
        extra = {
            "served": len(first),
            "began": sorted(first - before)[:LOGGED_GROUPS],
            "ended": sorted(before - first)[:LOGGED_GROUPS],
            "live_daemons": len(self._membership.alive_names()),
        }
        self._log.info("The groups that this daemon serves changed.", extra=extra)

    def _drop_unused(self) -> None:
        oldest_ms = self._runtime.clock.now_ms() - KEEP_MS
        with self._lock:
            for name, served in list(self._served.items()):
                if served.used_at_ms[0] < oldest_ms:
                    self._stop(name)

    def _stop(self, name: str) -> None:
        components = self._served.pop(name).server.components
        components.keeper.stop()
        components.watch.stop()
        for pool in components.pools.values():
            pool.close()

    def _is_serving(self, group: str) -> bool:
        if self._is_first(group):
            return True
        served = self._served.get(group)
        now_ms = self._runtime.clock.now_ms()
        return served is not None and now_ms - served.used_at_ms[0] < SERVE_MS

    def _make(self, spec: GroupSpec) -> GroupServer:
        watch = GroupWatch(
            self._runtime, spec, self._open_watched, self._settings.status_wait_ms
        )

        def is_serving() -> bool:
            return self._is_serving(spec.name)

        def note_outcome(outcome: Outcome, why: str) -> None:
            self._note_outcome(spec.name, outcome, why)

        keeper = GroupKeeper(
            self._runtime, watch, self._open_watched, is_serving, note_outcome
        )
        policy = make_policy(self._settings.policy)
        slots = SlotQueue(self._runtime, self._settings.queue_limit, policy.name_queue)
        budget = RetryBudget(self._runtime)
        components = GroupComponents(watch, keeper, slots, {}, budget, policy)
        self._apply_spec(components, spec)
        watch.call_on_change(slots.wake)
        watch.call_on_silence(lambda silence: self._note_silence(components, silence))
        watch.call_on_connection_loss(lambda loss: self._note_loss(spec.name, loss))
        watch.call_on_recovery(lambda name: self._note_return(spec.name, name))
        self._runtime.start(keeper.run)
        return GroupServer(
            self._runtime,
            components,
            self._metrics,
            self._settings.statement_timeout_ms,
        )

    def _open_watched(self, spec: EndpointSpec, kind: str, timeout_ms: float) -> Any:
        return self._open_link(
            self._runtime, spec, self._settings.name, kind, timeout_ms
        )

    def _apply_spec(self, components: GroupComponents, spec: GroupSpec) -> None:
        components.watch.set_spec(spec)
        components.slots.set_endpoints({one.name: one.slots for one in spec.endpoints})
        wanted = {one.name: one for one in spec.endpoints}
        for name, pool in list(components.pools.items()):
            if name not in wanted or not _fits(pool.spec, wanted[name]):
                components.pools.pop(name).close()
        for name, endpoint in wanted.items():
            if name not in components.pools:
                limit = max(1, int(endpoint.connections * CONNECTION_PART))
                open_link = functools.partial(self._open_watched, endpoint, "work")
                components.pools[name] = ConnectionPool(
                    self._runtime, endpoint, open_link, limit
                )

    def _note_silence(self, components: GroupComponents, silence: ContactLoss) -> None:
        self._metrics.count_event("endpoint_silent")
        group = components.watch.spec.name
        extra = {"group": group, **silence._asdict()}
        self._log.warning("An endpoint is silent.", extra=extra)
        pool = components.pools.get(silence.endpoint)
        if pool is not None:
            pool.drop()

    def _note_loss(self, group: str, loss: ContactLoss) -> None:
        self._metrics.count_event("endpoint_link_lost")
        extra = {"group": group, **loss._asdict()}
        self._log.info("A connection to an endpoint was renewed.", extra=extra)

    def _note_return(self, group: str, endpoint: str) -> None:
        extra = {"group": group, "endpoint": endpoint}
        self._log.info("An endpoint answers again.", extra=extra)

    def _note_outcome(self, group: str, outcome: Outcome, why: str) -> None:
        event = "promotion_done" if outcome.primary else "promotion_failed"
        self._metrics.count_event(event)
        extra = {**outcome._asdict(), "group": group, "why": why}
        self._log.warning("A promotion was tried.", extra=extra)

    def describe(self) -> dict[str, Any]:
        """Return what is known of each group that this daemon serves now.

        One that it keeps from when it stood in for another daemon isn't among them:
        whoever looks for the daemon that serves a group would find two.
        """
        with self._lock:
            kept = dict(self._served)
        return {
            name: _show_group(kept[name].server) if name in kept else NOTHING_SEEN
            for name in list(self._specs)
            if self._is_first(name)
        }

    def list_standby(self) -> list[str]:
        """Return the groups that are kept here and served by another daemon."""
        with self._lock:
            kept = list(self._served)
        return sorted(name for name in kept if not self._is_first(name))


def _fits(known: EndpointSpec, wanted: EndpointSpec) -> bool:
    """Return whether a pool made for `known` serves `wanted` as well."""
    same_place = known.address == wanted.address
    return same_place and known.connections == wanted.connections


def _show_group(server: GroupServer) -> dict[str, Any]:
    watch = server.components.watch
    return {
        "primary": watch.primary(),
        "term": watch.highest_term(),
        "endpoints": {
            name: {
                "role": state.role,
                "term": state.term,
                "position": state.position,
                "reachable": state.reachable,
            }
            for name, state in dict(watch.states).items()
        },
    }
