"""The daemon's main: builds the parts, runs them, and stops them in order."""

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

# Imported for what they register.
PLUGINS = (dialect, front, keyvalue)
# Tasks besides those of callers: peers' links, watches of instances, own loops.
EXTRA_TASKS = 600
END_MS = 2000
# Peers learn from heartbeats that this daemon is stopping before it refuses.
ANNOUNCE_BEATS = 2
SEED_RETRY_MS = 300


class Parts(NamedTuple):
    """The parts of a running daemon that its main touches again."""

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
    """A whole daemon in one process."""

    def __init__(self, runtime: Runtime, settings: DaemonSettings):
        self._runtime = runtime
        self._settings = settings
        self._log = logs.open_log("daemon")
        self.metrics = Metrics(runtime)
        self.parts = self._build()
        self._connect()

    def _build(self) -> Parts:
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
        return Parts(
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

    def _connect(self) -> None:
        parts = self.parts

        def apply_configuration(configuration: Any) -> None:
            parts.groups.set_configuration(configuration)
            parts.share_keeper.apply_configuration(configuration)
            self._log.info(
                "A configuration is in force.", extra={"version": configuration.version}
            )

        parts.store.call_on_change(apply_configuration)
        parts.gossip.call_on_roster(parts.share_keeper.apply_roster)

    def _confirm_shares(self) -> None:
        """Let the shares grow once every member is known to have shrunk."""
        while self._runtime.sleep_ms(self._settings.heartbeat_ms):
            self.parts.share_keeper.confirm()

    # What the pages show

    def show_status(self) -> dict[str, Any]:
        """Return what `GET /status` shows."""
        parts = self.parts
        record = parts.store.record
        roster = parts.membership.roster
        return {
            "name": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "config_version": parts.store.version,
            "digest": record["digest"] if record else "",
            "roster_epoch": roster["epoch"],
            "roster_settled": bool(roster.get("settled")),
            "members": {
                name: parts.membership.is_alive(name)
                for name in parts.membership.member_names()
            },
            "groups": parts.groups.describe(),
            "standby_groups": parts.groups.list_standby(),
            "transactions": parts.transactions.count(),
            "isolated": parts.membership.is_isolated(),
            "stopping": parts.kernel.stopping,
        }

    def render_metrics(self) -> bytes:
        """Return what `GET /metrics` shows."""
        parts = self.parts
        self.metrics.set_gauge("config_version", parts.store.version)
        self.metrics.set_gauge("tasks", self._runtime.running_tasks())
        self.metrics.set_gauge("transactions", parts.transactions.count())
        return self.metrics.render()

    # The life of the daemon

    def start(self) -> None:
        """Start every part."""
        parts = self.parts
        parts.server.start()
        parts.gossip.start()
        parts.watch.start()
        self._runtime.start(parts.roster.join)
        self._runtime.start(parts.roster.clean)
        self._runtime.start(parts.groups.maintain)
        self._runtime.start(parts.transactions.sweep)
        self._runtime.start(self._confirm_shares)
        self._runtime.start(self._ask_seeds)
        parts.front.start()

    def _ask_seeds(self) -> None:
        """Ask the seeds until there is a configuration, from them or the platform."""
        while self.parts.store.version == 0 and not self._runtime.stopping:
            for address in self._settings.seeds:
                self.parts.gossip.fetch_from_seed(address)
            self._runtime.sleep_ms(SEED_RETRY_MS)

    def stop(self) -> bool:
        """Stop without cutting a request; return whether all of them ended.

        Peers learn first that this daemon is stopping, so that they serve its groups
        elsewhere; then callers' requests end, then those of peers.
        """
        parts = self.parts
        self._log.info("The daemon is stopping.")
        parts.membership.note_stopping()
        lent_until_ms = parts.kernel.shares.stop_lending()
        beats_ms = ANNOUNCE_BEATS * self._settings.heartbeat_ms
        self._runtime.sleep_ms(beats_ms)
        callers_ended = parts.front.drain(self._settings.drain_ms)
        parts.kernel.stopping = True
        self._end_transactions()
        peers_ended = parts.server.drain(self._settings.drain_ms)
        # The others take over this daemon's part, which its loans still belong to.
        self._runtime.sleep_ms(lent_until_ms - self._runtime.clock.now_ms())
        parts.roster.leave()
        return callers_ended and peers_ended

    def _end_transactions(self) -> None:
        end_ms = self._runtime.clock.now_ms() + self._settings.drain_ms
        while self.parts.transactions.count():
            if self._runtime.clock.now_ms() >= end_ms:
                return
            self._runtime.sleep_ms(20)


def catch_end_signals(runtime: Runtime) -> Signal:
    """Return what SIGTERM and SIGINT set from now on."""
    end_wanted = runtime.make_signal()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: end_wanted.set())
    return end_wanted


def run(settings: DaemonSettings) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code."""
    sys.setswitchinterval(ADVISED_SWITCH_INTERVAL_S)
    logs.set_level(settings.log_level)
    log = logs.open_log("daemon")
    runtime = Runtime(task_limit=settings.max_connections * 2 + EXTRA_TASKS)
    runtime.report_failure = lambda text: log.error("A task failed: %s", text)
    end_wanted = catch_end_signals(runtime)
    try:
        daemon = Daemon(runtime, settings)
        daemon.start()
    except OSError as error:
        log.error("The daemon can't start: %s.", error)
        runtime.close(END_MS)
        return 1
    end_wanted.wait()
    ended = daemon.stop()
    runtime.close(END_MS)
    log.info("The daemon has stopped.", extra={"cut_nothing": ended})
    # A task stuck in a call of a library would hold up the end of the interpreter,
    # which joins all tasks; everything that matters has ended.
    sys.stderr.flush()
    os._exit(0 if ended else 1)


main = daemon_command(run)

if __name__ == "__main__":
    main()
