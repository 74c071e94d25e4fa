"""The groups that this daemon serves, each set up when it is first needed."""

import functools
from typing import Any, NamedTuple

from bronzerelay.failover import FailoverManager, Outcome
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

# How long a daemon that isn't the serving daemon, but ran a statement of a group as a
# standby, keeps the group.
IDLE_GROUP_MS = 10_000
# For how long after such a statement it also promotes, as the serving daemon does.
STANDBY_MS = 2_000
CHECK_INTERVAL_MS = 200
# How many groups a log line names at most.
LOGGED_GROUP_LIMIT = 8
# How many ranked daemons are stored for a group; a request tries fewer. Storing all of
# 3,100 daemons for each of 23,000 groups would take 570 MB.
RANKED_LIMIT = 4
# The share of an instance's connections that one serving daemon opens. Two daemons may
# both serve a group for a while, when they see different daemons as live.
CONNECTION_SHARE = 0.5
# The status page's entry of a group that this daemon is about to serve.
UNKNOWN_STATE: dict[str, Any] = {"primary": None, "term": 0, "endpoints": {}}


class GroupSettings(NamedTuple):
    """How groups are served; `policy` is the name of a registered policy."""

    name: str
    queue_limit: int
    status_wait_ms: int
    statement_timeout_ms: int
    policy: str = DEFAULT


class ServedGroup(NamedTuple):
    """A group's server and the time of its last use, in a list to be mutable."""

    server: GroupServer
    used_at_ms: list[float]


class Ranking(NamedTuple):
    """The first-ranked daemons of each group, valid while `serving` serve groups."""

    serving: list[str]
    first: dict[str, tuple[str, ...]]


class Groups:
    """All groups that this daemon has set up a server for."""

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
        self._served: dict[str, ServedGroup] = {}
        self._specs: dict[str, GroupSpec] = {}
        self._ranking = Ranking([], {})

    def rank_daemons(self, group: str) -> tuple[str, ...]:
        """Return the first-ranked daemons of `group`; the first one serves it."""
        serving = self._membership.serving_names()
        ranking = self._ranking
        if ranking.serving is not serving:
            ranking = self._ranking = Ranking(serving, {})
        first = ranking.first.get(group)
        if first is None:
            first = tuple(rank(f"group/{group}", serving)[:RANKED_LIMIT])
            ranking.first[group] = first
        return first

    def _is_serving_daemon(self, group: str) -> bool:
        return self._settings.name in self.rank_daemons(group)[:1]

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the groups of a new configuration."""
        with self._lock:
            self._specs = configuration.groups
            for name in set(self._served) - set(self._specs):
                self._stop(name)
            for name, served in self._served.items():
                self._apply_spec(served.server.components, self._specs[name])

    def find(self, group: str, mark_used: bool = True) -> GroupServer | None:
        """Return the server of `group`, set up if necessary; None if it is unknown."""
        now_ms = self._runtime.clock.now_ms()
        with self._lock:
            served = self._served.get(group)
            if served is None:
                spec = self._specs.get(group)
                if spec is None:
                    return None
                served = ServedGroup(self._set_up(spec), [0.0])
                self._served[group] = served
            if mark_used:
                served.used_at_ms[0] = now_ms
            return served.server

    def maintain(self) -> None:
        """Set up the groups that this daemon has to serve, and drop unused ones."""
        previous: set[str] = set()
        while self._runtime.sleep_ms(CHECK_INTERVAL_MS):
            current = {
                group for group in list(self._specs) if self._is_serving_daemon(group)
            }
            for group in current:
                self.find(group)
            if current != previous:
                self._log_change(current, previous)
            previous = current
            self._drop_unused()

    def _log_change(self, current: set[str], previous: set[str]) -> None:
        extra = {
            "served": len(current),
            "began": sorted(current - previous)[:LOGGED_GROUP_LIMIT],
            "ended": sorted(previous - current)[:LOGGED_GROUP_LIMIT],
            "live_daemons": len(self._membership.alive_names()),
            "standing_down": self._membership.is_standing_down(),
        }
        self._log.info("The groups that this daemon serves changed.", extra=extra)

    def _drop_unused(self) -> None:
        oldest_ms = self._runtime.clock.now_ms() - IDLE_GROUP_MS
        with self._lock:
            for name, served in list(self._served.items()):
                if served.used_at_ms[0] < oldest_ms:
                    self._stop(name)

    def _stop(self, name: str) -> None:
        components = self._served.pop(name).server.components
        components.failover_manager.stop()
        components.watch.stop()
        for pool in components.pools.values():
            pool.close()

    def _may_promote(self, group: str) -> bool:
        if self._is_serving_daemon(group):
            return True
        served = self._served.get(group)
        now_ms = self._runtime.clock.now_ms()
        return served is not None and now_ms - served.used_at_ms[0] < STANDBY_MS

    def _set_up(self, spec: GroupSpec) -> GroupServer:
        watch = GroupWatch(
            self._runtime, spec, self._open_group_link, self._settings.status_wait_ms
        )

        def may_promote() -> bool:
            return self._may_promote(spec.name)

        def report_outcome(outcome: Outcome, why: str) -> None:
            self._report_outcome(spec.name, outcome, why)

        failover_manager = FailoverManager(
            self._runtime, watch, self._open_group_link, may_promote, report_outcome
        )
        policy = make_policy(self._settings.policy)
        slots = SlotQueue(self._runtime, self._settings.queue_limit, policy.name_queue)
        budget = RetryBudget(self._runtime)
        components = GroupComponents(watch, failover_manager, slots, {}, budget, policy)
        self._apply_spec(components, spec)
        watch.call_on_change(slots.wake)
        watch.call_on_silence(lambda loss: self._report_silence(components, loss))
        watch.call_on_connection_loss(
            lambda loss: self._report_connection_loss(spec.name, loss)
        )
        watch.call_on_recovery(lambda name: self._report_recovery(spec.name, name))
        self._runtime.keep_running(failover_manager.run)
        return GroupServer(
            self._runtime,
            components,
            self._metrics,
            self._settings.statement_timeout_ms,
        )

    def _open_group_link(self, spec: EndpointSpec, kind: str, timeout_ms: float) -> Any:
        return self._open_link(
            self._runtime, spec, self._settings.name, kind, timeout_ms
        )

    def _apply_spec(self, components: GroupComponents, spec: GroupSpec) -> None:
        components.watch.set_spec(spec)
        components.slots.set_endpoints(
            {endpoint.name: endpoint.slots for endpoint in spec.endpoints}
        )
        wanted = {endpoint.name: endpoint for endpoint in spec.endpoints}
        for name, pool in list(components.pools.items()):
            if name not in wanted or not _can_reuse_pool(pool.spec, wanted[name]):
                components.pools.pop(name).close()
        for name, endpoint in wanted.items():
            if name not in components.pools:
                limit = max(1, int(endpoint.connections * CONNECTION_SHARE))
                open_link = functools.partial(self._open_group_link, endpoint, "work")
                components.pools[name] = ConnectionPool(
                    self._runtime, endpoint, open_link, limit
                )

    def _report_silence(self, components: GroupComponents, loss: ContactLoss) -> None:
        self._metrics.count_event("endpoint_silent")
        group = components.watch.spec.name
        extra = {"group": group, **loss._asdict()}
        self._log.warning("An endpoint is silent.", extra=extra)
        pool = components.pools.get(loss.endpoint)
        if pool is not None:
            pool.drop()

    def _report_connection_loss(self, group: str, loss: ContactLoss) -> None:
        self._metrics.count_event("endpoint_link_lost")
        extra = {"group": group, **loss._asdict()}
        self._log.info("A connection to an endpoint was renewed.", extra=extra)

    def _report_recovery(self, group: str, endpoint: str) -> None:
        extra = {"group": group, "endpoint": endpoint}
        self._log.info("An endpoint answers again.", extra=extra)

    def _report_outcome(self, group: str, outcome: Outcome, why: str) -> None:
        event = "promotion_done" if outcome.primary else "promotion_failed"
        self._metrics.count_event(event)
        extra = {**outcome._asdict(), "group": group, "why": why}
        self._log.warning("A promotion was tried.", extra=extra)

    def describe(self) -> dict[str, Any]:
        """Return the state of each group whose serving daemon this daemon is.

        Groups that it keeps as a standby are left out; otherwise an operator would find
        two serving daemons for one group.
        """
        with self._lock:
            served = dict(self._served)
        return {
            name: _describe_group(served[name].server)
            if name in served
            else UNKNOWN_STATE
            for name in list(self._specs)
            if self._is_serving_daemon(name)
        }

    def describe_service(self, group: str, workspace: str) -> dict[str, Any]:
        """Return what decides at this daemon about a workspace's requests to a group.

        That is who serves the group as far as this daemon knows and how old the news of
        that daemon is and, once this daemon has a queue for the group, its state.
        """
        ranked = self.rank_daemons(group)
        first = ranked[0] if ranked else ""
        heard_at_ms = self._membership.view_of(first).heard_at_ms
        fields: dict[str, Any] = {
            "served_by": first,
            "heard_ms_ago": round(self._runtime.clock.now_ms() - heard_at_ms),
        }
        served = self._served.get(group)
        if served is None:
            return fields
        return fields | served.server.components.slots.describe(workspace)

    def list_standby(self) -> list[str]:
        """Return the groups that this daemon keeps as a standby."""
        with self._lock:
            served = list(self._served)
        return sorted(name for name in served if not self._is_serving_daemon(name))


def _can_reuse_pool(known: EndpointSpec, wanted: EndpointSpec) -> bool:
    """Return whether a pool that was set up for `known` is usable for `wanted`."""
    same_address = known.address == wanted.address
    return same_address and known.connections == wanted.connections


def _describe_group(server: GroupServer) -> dict[str, Any]:
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
