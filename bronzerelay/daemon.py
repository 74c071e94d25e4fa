"""The daemon's main module: builds its components, runs and stops them in order."""

import os
import signal
import sys
from typing import Any, NamedTuple

from bronzerelay import dialect, front, keyvalue, logs, registry
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.env import ADVISED_SWITCH_INTERVAL_S
from bronzerelay.gossip import Gossip, GossipSettings
from bronzerelay.groups import Groups, GroupSettings
from bronzerelay.kernel import Kernel, PeerHandler
from bronzerelay.membership import Membership, MembershipSettings
from bronzerelay.metrics import Metrics
from bronzerelay.peers import PeerLinks, PeerServer
from bronzerelay.platformwatch import PlatformWatch
from bronzerelay.roster import RosterKeeper
from bronzerelay.runtime import Runtime, Signal
from bronzerelay.settings import DaemonSettings, daemon_command
from bronzerelay.sharekeeper import ShareKeeper
from bronzerelay.transactions import Transactions

# Imported because importing them registers the plug-ins.
PLUGINS = (dialect, front, keyvalue)
# Tasks besides those for callers' connections: peers' links, watches of instances and
# the daemon's own loops.
EXTRA_TASKS = 600
CLOSE_DEADLINE_MS = 2000
# How many heartbeats announce to the peers that this daemon is stopping, before it
# refuses their requests.
ANNOUNCE_HEARTBEATS = 2
SEED_RETRY_MS = 300


class Components(NamedTuple):
    """The components that the daemon accesses after building them."""

    kernel: Kernel
    share_keeper: ShareKeeper
    groups: Groups
    membership: Membership
    store: ConfigurationStore
    gossip: Gossip
    roster: RosterKeeper
    watch: PlatformWatch
    transactions: Transactions
    server: PeerServer
    front: Any


class Daemon:
    """A complete daemon in one process."""

    def __init__(self, runtime: Runtime, settings: DaemonSettings):
        self._runtime = runtime
        self._settings = settings
        self._log = logs.open_log("daemon")
        self.metrics = Metrics(runtime)
        self.components = self._build()
        self._register_callbacks()

    def _build(self) -> Components:
        runtime, settings = self._runtime, self._settings
        membership = Membership(
            runtime,
            MembershipSettings(
                settings.name, settings.suspect_ms, settings.isolation_ms
            ),
        )
        store = ConfigurationStore(runtime)
        links = PeerLinks(runtime, settings.peer_secret)
        gossip = Gossip(
            runtime,
            GossipSettings(settings.heartbeat_ms, settings.suspect_ms),
            membership,
            store,
            links,
            logs.open_log("spread"),
        )
        groups = self._build_groups(membership)
        transactions = Transactions(
            runtime, settings.name, settings.statement_timeout_ms
        )
        kernel = Kernel(
            runtime,
            settings,
            store,
            membership,
            links,
            gossip,
            groups,
            transactions,
            self.metrics,
        )
        server = PeerServer(
            runtime,
            settings.peer_listen,
            settings.peer_secret,
            PeerHandler(kernel),
            self.metrics.count_event,
        )
        key_value = self._build_key_value()
        return Components(
            kernel,
            ShareKeeper(runtime, membership, kernel.shares),
            groups,
            membership,
            store,
            gossip,
            self._build_roster(key_value, membership, gossip, server),
            PlatformWatch(
                runtime, key_value, membership, store, gossip, logs.open_log("watch")
            ),
            transactions,
            server,
            self._build_front(kernel),
        )

    def _build_groups(self, membership: Membership) -> Groups:
        settings = self._settings
        return Groups(
            self._runtime,
            GroupSettings(
                settings.name,
                settings.queue_limit,
                settings.status_wait_ms,
                settings.statement_timeout_ms,
                settings.policy,
            ),
            membership,
            registry.find(registry.DIALECT, "json-lines"),
            self.metrics,
            logs.open_log("group"),
        )

    def _build_key_value(self) -> Any:
        make_client = registry.find(registry.KEY_VALUE, "http")
        return make_client(
            self._runtime,
            keyvalue.KeyValueSettings(self._settings.platform, self._settings.name),
        )

    def _build_roster(
        self,
        key_value: Any,
        membership: Membership,
        gossip: Gossip,
        server: PeerServer,
    ) -> RosterKeeper:
        entry = {
            "name": self._settings.name,
            "address": str(server.address),
            "failure_domain": self._settings.failure_domain,
        }
        log = logs.open_log("roster")
        return RosterKeeper(self._runtime, entry, key_value, membership, gossip, log)

    def _build_front(self, kernel: Kernel) -> Any:
        make_front = registry.find(registry.FRONT, "http")
        handlers = front.Handlers(
            kernel.run_statement,
            kernel.check_ready,
            self.show_status,
            self.render_metrics,
        )
        return make_front(
            self._runtime,
            front.pick_front_settings(self._settings),
            handlers,
            self.metrics,
            logs.open_log("front"),
        )

    def _register_callbacks(self) -> None:
        components = self.components

        def apply_configuration(configuration: Any) -> None:
            components.groups.set_configuration(configuration)
            components.share_keeper.apply_configuration(configuration)
            self._log.info(
                "A configuration is in force.", extra={"version": configuration.version}
            )

        components.store.call_on_change(apply_configuration)
        components.gossip.call_on_roster(components.share_keeper.apply_roster)

    def _confirm_shares(self) -> None:
        """Raise this daemon's shares once all members have applied their reductions."""
        while self._runtime.sleep_ms(self._settings.heartbeat_ms):
            self.components.share_keeper.confirm()

    # Pages of the front

    def show_status(self) -> dict[str, Any]:
        """Return the content of `GET /status`."""
        components = self.components
        record = components.store.record
        roster = components.membership.roster
        return {
            "name": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "config_version": components.store.version,
            "digest": record["digest"] if record else "",
            "roster_epoch": roster["epoch"],
            "roster_settled": bool(roster.get("settled")),
            "members": {
                name: components.membership.is_alive(name)
                for name in components.membership.member_names()
            },
            "groups": components.groups.describe(),
            "standby_groups": components.groups.list_standby(),
            "transactions": components.transactions.count(),
            "isolated": components.membership.is_isolated(),
            "stopping": components.kernel.stopping,
        }

    def render_metrics(self) -> bytes:
        """Return the content of `GET /metrics`."""
        components = self.components
        self.metrics.set_gauge("config_version", components.store.version)
        self.metrics.set_gauge("tasks", self._runtime.running_tasks())
        self.metrics.set_gauge("tasks_restarted", self._runtime.restarts)
        self.metrics.set_gauge("transactions", components.transactions.count())
        return self.metrics.render()

    # Start and stop

    def start(self) -> None:
        """Start every component."""
        components = self.components
        components.server.start()
        components.gossip.start()
        components.watch.start()
        self._runtime.keep_running(components.roster.join)
        self._runtime.keep_running(components.roster.clean)
        self._runtime.keep_running(components.groups.maintain)
        self._runtime.keep_running(components.transactions.sweep)
        self._runtime.keep_running(self._confirm_shares)
        self._runtime.keep_running(self._ask_seeds)
        components.front.start()

    def _ask_seeds(self) -> None:
        """Ask the seeds until a configuration came from them or from the platform."""
        while self.components.store.version == 0 and not self._runtime.stopping:
            for address in self._settings.seeds:
                self.components.gossip.fetch_from_seed(address)
            self._runtime.sleep_ms(SEED_RETRY_MS)

    def stop(self) -> bool:
        """Stop without cutting requests; return whether all of them ended.

        First peers are told that this daemon is stopping, so that other daemons serve
        its groups. Then callers' requests are drained, and then those of peers.
        """
        components = self.components
        self._log.info("The daemon is stopping.")
        components.membership.note_stopping()
        lent_until_ms = components.kernel.shares.stop_lending()
        announce_ms = ANNOUNCE_HEARTBEATS * self._settings.heartbeat_ms
        self._runtime.sleep_ms(announce_ms)
        callers_ended = components.front.drain(self._settings.drain_ms)
        components.kernel.stopping = True
        self._end_transactions()
        peers_ended = components.server.drain(self._settings.drain_ms)
        # Once this daemon leaves the roster, the others take over its share, which the
        # tokens that it has lent still belong to; so its loans have to expire first.
        self._runtime.sleep_ms(lent_until_ms - self._runtime.clock.now_ms())
        components.roster.leave()
        return callers_ended and peers_ended

    def _end_transactions(self) -> None:
        end_ms = self._runtime.clock.now_ms() + self._settings.drain_ms
        while self.components.transactions.count():
            if self._runtime.clock.now_ms() >= end_ms:
                return
            self._runtime.sleep_ms(20)


def handle_stop_signals(runtime: Runtime) -> Signal:
    """Install handlers for SIGTERM and SIGINT; return the signal that they set."""
    stop_requested = runtime.make_signal()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    return stop_requested


def run(settings: DaemonSettings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code."""
    sys.setswitchinterval(ADVISED_SWITCH_INTERVAL_S)
    logs.set_level(settings.log_level)
    log = logs.open_log("daemon")
    runtime = Runtime(task_limit=settings.max_connections * 2 + EXTRA_TASKS)
    runtime.report_failure = lambda text: log.error("A task failed: %s", text)
    stop_requested = handle_stop_signals(runtime)
    try:
        daemon = Daemon(runtime, settings)
        daemon.start()
    except OSError as error:
        log.error("The daemon can't start: %s.", error)
        runtime.close(CLOSE_DEADLINE_MS)
        return 1
    stop_requested.wait()
    ended = daemon.stop()
    runtime.close(CLOSE_DEADLINE_MS)
    log.info("The daemon has stopped.", extra={"cut_nothing": ended})
    # Interpreter exit joins all threads, so a task stuck in a library call would block
    # it; all work that matters has ended by now.
    sys.stderr.flush()
    os._exit(0 if ended else 1)


main = daemon_command(run)

if __name__ == "__main__":
    main()
