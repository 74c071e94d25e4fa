"""The pooler daemon: builds and runs its components, and stops gracefully."""

import os
import signal
import sys
import traceback
from collections.abc import Callable
from typing import NamedTuple, Protocol

from bronzerelay.env import ADVISED_SWITCH_INTERVAL_S
from bronzerelay.load.linkholders import LinkHolders
from bronzerelay.load.outliers import STEPS, AnswerRecord
from bronzerelay.pooler.catchup import MIRROR_PATH, CatchUp, read_after
from bronzerelay.pooler.contacts import Peer
from bronzerelay.pooler.counters import Counters
from bronzerelay.pooler.directory import (
    Directory,
    PrimaryRecord,
    decode_primary_record,
)
from bronzerelay.pooler.evacuations import Evacuations
from bronzerelay.pooler.events import EventLog
from bronzerelay.pooler.execution import Executor
from bronzerelay.pooler.fleetconfig import FleetConfig, InstanceEntry
from bronzerelay.pooler.fleetrates import FleetRates
from bronzerelay.pooler.freshness import StorePoller
from bronzerelay.pooler.gossip import Gossip
from bronzerelay.pooler.heartbeats import Heartbeats
from bronzerelay.pooler.httpcalls import (
    HttpResponse,
    PageServer,
)
from bronzerelay.pooler.links import LinkPool
from bronzerelay.pooler.members import Members
from bronzerelay.pooler.messages import LineCodec
from bronzerelay.pooler.mirror import Item, Mirror, Store
from bronzerelay.pooler.passingclient import PassingClient
from bronzerelay.pooler.passingserver import MAX_CONNECTIONS, PassingServer
from bronzerelay.pooler.placement import Placement
from bronzerelay.pooler.primarychanges import (
    PRIMARY_RECORD_PREFIX,
    FleetView,
    PrimaryChangeCoordinator,
    Promoter,
)
from bronzerelay.pooler.primaryguard import PrimaryGuard
from bronzerelay.pooler.runner import Passing, Runner
from bronzerelay.pooler.session import CallerSession, Services, StopSignals
from bronzerelay.runtime import (
    Address,
    Connection,
    Listener,
    Runtime,
    Signal,
    TaskLimitError,
)

# The time between two rounds of upkeep, in milliseconds.
UPKEEP_MS = 250
METRICS_PATH = "/metrics"
# The fraction of the drain time, or of the time for an evacuation, during which a
# leaving instance is still used as the primary. Statements that are sent at the end of
# it still have to arrive in time.
LEAVING_USE_FRACTION = 0.7
# The most tasks besides those of callers' sessions.
BACKGROUND_TASKS = 80
# Fractions of the grace period between the stop signal and the kill. Until the first
# one callers are served as usual, since the load balancer sends them elsewhere only
# after two failed health checks, a second apart. After that, sessions are closed as
# they are answered. From the second one on nothing new is accepted. By the third one
# statements that are still running are given up, and by the last one the process exits.
SERVE_FRACTION = 0.42
END_FRACTION = 0.75
EXIT_FRACTION = 0.9
LEAVE_FRACTION = 0.95
STOP_POLL_MS = 50


class PoolerSettings(NamedTuple):
    """The addresses, names and limits of a daemon; times are in milliseconds."""

    name: str
    frontend: Address
    ready: Address
    # For peers: heartbeats over UDP and pages over TCP, on the same port.
    peer: Address
    metrics: Address | None
    # Addresses of peers to contact before any peer is known.
    seeds: tuple[Address, ...]
    # The address at which this daemon serves as a seed.
    admin: Address | None
    grace_ms: float
    # How long a leaving instance may still get requests.
    drain_ms: float
    # How soon after the store acknowledged a configuration it must be in force.
    apply_within_ms: float
    # How soon after the store acknowledged an evacuation nothing may arrive there.
    evacuate_within_ms: float
    max_sessions: int
    # The failure domain of the VM.
    domain: str = ""
    # For statements that other daemons pass on, on the same port of each VM; without it
    # none are passed on.
    passing: Address | None = None


class RecordReader(Protocol):
    """Decodes the platform's store items."""

    def read_config(self, item: Item) -> FleetConfig | None:
        """Return the configuration, None if it was removed; or raise ValueError."""

    def read_instance(self, item: Item) -> InstanceEntry | None:
        """Return the instance, None if it was removed; or raise ValueError."""

    def is_config(self, key: str) -> bool:
        """Return whether the key is that of the configuration."""

    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that the key orders to evacuate, or None.

        Raise ValueError if the key names none.
        """

    def find_instance_id(self, key: str) -> str | None:
        """Return the id of the instance that the key belongs to, or None."""


class Plugins(NamedTuple):
    """What a platform adapter provides."""

    codec: LineCodec
    store: Store
    records: RecordReader
    promote: Promoter
    # The path at which the load balancer asks whether to send callers here.
    ready_path: str
    # Returns the settings if they have changed, else None; raises ValueError.
    read_changed_settings: Callable[[], PoolerSettings | None]


class PoolerDaemon:
    """A complete daemon with all its components."""

    def __init__(self, runtime: Runtime, settings: PoolerSettings, plugins: Plugins):
        self._runtime = runtime
        self._clock = runtime.clock
        self._settings = settings
        self._plugins = plugins
        self.log = EventLog(runtime, settings.name)
        self.counters = Counters(runtime)
        self.evacuations = Evacuations(
            runtime, self.log, settings.evacuate_within_ms * LEAVING_USE_FRACTION
        )
        self.directory = Directory(
            runtime,
            self.log,
            settings.drain_ms * LEAVING_USE_FRACTION,
            self.evacuations,
        )
        self.placement = Placement(runtime, self.directory, settings.domain)
        self.placement.on_share_change = self._report_share
        self.pool = LinkPool(runtime, plugins.codec)
        self.rates = FleetRates(runtime, settings.name)
        self.mirror = Mirror(runtime, plugins.store, self._apply_item, self.log)
        own = Peer(settings.peer, settings.domain)
        self.gossip = Gossip(runtime, settings.name, own, self.log)
        self.members = Members(
            runtime,
            settings.name,
            own,
            self.mirror,
            self.gossip,
            self.log,
        )
        self.guard = PrimaryGuard(runtime, self.directory)
        self.heartbeats = Heartbeats(
            runtime,
            settings.name,
            settings.domain,
            self.gossip,
            self.mirror,
            self.directory,
            self.placement,
            self.rates,
            self.guard,
            self._apply_primary_record,
        )
        self.catch_up = CatchUp(
            runtime,
            plugins.store,
            self.mirror,
            self.gossip,
            settings.seeds,
            (settings.admin, settings.peer),
            self.log,
        )
        self.poller = StorePoller(
            runtime,
            plugins.store,
            self.mirror,
            min(settings.apply_within_ms, settings.evacuate_within_ms),
            self.heartbeats.find_turn,
            self.guard.store_proof_due_ms,
            self.counters,
            self.log,
        )
        self.holders = LinkHolders(settings.name, runtime)
        self.holders.is_leaving = self.heartbeats.is_leaving
        self.executor = Executor(
            runtime,
            plugins.codec,
            self.directory,
            self.placement,
            self.pool,
            self.guard,
            self.holders,
            self.counters,
            self.log,
        )
        self.passing_client = PassingClient(
            runtime,
            self.holders,
            self._find_passing_address,
            self.placement,
            self.counters,
            self.log,
        )
        self.runner = Runner(
            runtime,
            self.directory,
            self.placement,
            self.guard,
            self.executor,
            Passing(self.holders, self.passing_client),
            self.counters,
        )
        self.changes = PrimaryChangeCoordinator(
            runtime,
            settings.name,
            self.directory,
            self.mirror,
            self.placement,
            FleetView(
                self.members.list_names,
                self.heartbeats.list_acknowledged,
                self.members.explain_no_quorum,
                self.members.is_current,
                self.members.may_have_outsiders,
                self.heartbeats.list_silent_since,
            ),
            self.executor.ask_status,
            plugins.promote,
            self._apply_primary_record,
            self.counters,
            self.log,
        )
        self.mirror.on_proof = self._add_store_proof
        self.mirror.follows_relay = self.heartbeats.has_relay
        self.mirror.on_change = self._handle_store_change
        self.mirror.fetch = self.catch_up.fetch
        self.guard.on_idle = self.heartbeats.announce_idle
        self._count_bytes()
        self.reload_requested = False
        self._stop_signals = StopSignals(
            runtime.make_signal(), runtime.make_signal(), runtime.make_signal()
        )
        self._ended: Signal = self._stop_signals.ended
        self.is_stopping = False
        self._sessions: set[CallerSession] = set()
        self._lock = runtime.make_lock()
        self._members_lock = runtime.make_lock()
        self._listener: Listener = runtime.listen(settings.frontend)
        self._servers = self._open_pages()
        self._passing_server = self._open_passing()

    def _count_bytes(self) -> None:
        """Have the bytes counted by kind and by whether they leave the domain."""
        count = self.counters.count_bytes
        own = self._settings.domain

        def count_exchange(entry: InstanceEntry, kind: str, size: int) -> None:
            count(kind, not own or entry.domain != own, size)

        self.pool.count_bytes = count_exchange
        self.gossip.count_bytes = lambda is_remote, size: count(
            "heartbeats", not own or is_remote, size
        )
        # The store's failure domain isn't known.
        self._plugins.store.count_bytes_with(lambda size: count("store", True, size))

    def _open_pages(self) -> list[PageServer]:
        settings = self._settings
        addresses = {settings.ready, settings.peer, settings.metrics, settings.admin}
        return [
            PageServer(self._runtime, address, self.get_page, self._ended)
            for address in addresses
            if address is not None
        ]

    def _open_passing(self) -> PassingServer | None:
        if self._settings.passing is None:
            return None
        return PassingServer(
            self._runtime,
            self._settings.passing,
            self.directory,
            self.executor,
            self.guard,
            self.log,
            self._ended,
        )

    def _find_passing_address(self, name: str) -> Address | None:
        """Return where a member serves statements that are passed on, if it is known.

        All VMs use the same port.
        """
        own = self._settings.passing
        view = self.gossip.views.get(name)
        return (
            None
            if own is None or view is None
            else view.address._replace(port=own.port)
        )

    # Pages

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return (
            not self.is_stopping
            and self.directory.config is not None
            # An isolated daemon could serve little, and one that isn't a member no
            # writes; others can serve their callers.
            and self.guard.refuse_if_isolated() is None
            and self.members.is_listed()
            and bool(self.directory.instances)
        )

    def get_page(self, path: str) -> HttpResponse:
        """Return the response for a path."""
        path, _, query = path.partition("?")
        if path == self._plugins.ready_path:
            return HttpResponse(200 if self.is_ready() else 503, b"")
        if path == MIRROR_PATH:
            return HttpResponse(200, self.mirror.pack(read_after(query)))
        if path == METRICS_PATH:
            return HttpResponse(200, self.counters.render(self._list_gauges()))
        return HttpResponse(404, b"")

    def _list_gauges(self) -> dict[str, float]:
        server = self._passing_server
        return {
            "config_version": self.directory.version,
            "instances": len(self.directory.instances),
            "evacuated_domains": len(self.evacuations.list_domains()),
            "members": len(self.members.list_names()),
            "sessions": len(self._sessions),
            "store_revision": self.mirror.revision,
            "store_age_ms": round(self.mirror.store_age_ms()),
            "watching": self.mirror.is_watching,
            "links_opened": self.pool.opened,
            "links_idle": self.pool.count_idle(),
            "instances_held": self._count_held(),
            "holder_connections_idle": self.passing_client.count_idle(),
            "daemons_served": server.count_sessions() if server else 0,
            "heartbeat_bytes": self.gossip.bytes_sent,
            "relaying": self.heartbeats.is_relaying(),
            "log_lines_dropped": self.log.dropped,
            "tasks": self._runtime.running_tasks(),
            "tasks_restarted": self._runtime.restarts,
        }

    def _count_held(self) -> int:
        instances = self.directory.instances.values()
        return sum(self.executor.holds_links(entry) for entry in instances)

    # Applying changes from the store

    def _apply_item(self, item: Item) -> None:
        records = self._plugins.records
        try:
            if records.is_config(item.key):
                self._apply_config(records.read_config(item))
                return
            if item.key.startswith(PRIMARY_RECORD_PREFIX) and item.data is not None:
                service = item.key.removeprefix(PRIMARY_RECORD_PREFIX)
                self._apply_primary_record(decode_primary_record(service, item.data))
                return
            domain = records.find_evacuated_domain(item.key)
            if domain is not None:
                self._apply_evacuation(domain, item)
                return
            instance_id = records.find_instance_id(item.key)
            if instance_id is not None:
                self._apply_instance(instance_id, item)
        except ValueError as error:
            # Other programs may write invalid items; the remaining ones still apply.
            self.log.write(
                "records", "An item can't be used.", key=item.key, error=str(error)
            )
        except Exception:
            # The task that follows the store must go on with the items after this one.
            self.log.write(
                "records",
                "An item couldn't be applied.",
                key=item.key,
                trace=traceback.format_exc(),
            )

    def _apply_config(self, config: FleetConfig | None) -> None:
        if config is None or not self.directory.set_config(config, "store"):
            return
        self.rates.set_workspaces(config.workspaces.values())

    def _apply_evacuation(self, domain: str, item: Item) -> None:
        if item.data is None:
            self.evacuations.end(domain)
            return
        # All updates up to that time were known, and this one wasn't.
        ordered_after_ms = self._clock.now_ms() - self.mirror.store_age_ms()
        self.evacuations.begin(domain, ordered_after_ms)

    def _apply_instance(self, instance_id: str, item: Item) -> None:
        try:
            entry = self._plugins.records.read_instance(item)
        except ValueError:
            # Another writer has overwritten the instance's own entry.
            self.directory.unlist_instance(instance_id)
            raise
        if entry is None:
            self.directory.unlist_instance(instance_id)
        else:
            self.directory.set_instance(entry)

    def _apply_primary_record(self, record: PrimaryRecord) -> None:
        if not self.directory.set_primary_record(record):
            return
        if record.settled:
            self.placement.begin_primary(record)
        elif not record.planned:
            # A dead primary doesn't answer, and the failover would wait until all
            # statements sent to it time out.
            self.pool.close_all(record.deposed)
        self.gossip.send_now()

    def _report_share(self, entry: InstanceEntry, record: AnswerRecord) -> None:
        shares = record.measure(self._clock.now_ms())
        share = STEPS[record.step]
        self.counters.count("read_shares", service=entry.service, share=f"{share:g}")
        self.log.write_request(
            "placement",
            "The share of the reads that an instance gets has changed.",
            service=entry.service,
            instance=entry.id,
            share=share,
            answers=round(shares.answers, 1),
            failed_share=round(shares.failed, 2),
            bad_share=round(shares.bad, 2),
        )

    # The other daemons

    def _add_store_proof(self, read_at_ms: float) -> None:
        self.guard.add_store_proof(read_at_ms, self.members.is_listed())

    def _handle_store_change(self) -> None:
        # Before others hear that this daemon has the new revision: a removed member
        # must get no more heartbeats from here by then.
        self._update_members()
        self.heartbeats.announce_store_change()

    def _update_members(self) -> None:
        with self._members_lock:
            members = self.members.update()
            if members is not None:
                self._apply_members(members)

    def _apply_members(self, members: dict[str, Peer]) -> None:
        self.gossip.set_members(members)
        self.heartbeats.contacts.set_peers(members)
        if self._settings.passing is not None:
            domains = {name: peer.domain for name, peer in members.items()}
            own = {self._settings.name: self._settings.domain}
            self.holders.set_members({**own, **domains})
        self.executor.set_daemon_count(len(members) + 1)
        # Until the relays are known, this daemon has to watch the store itself.
        self.gossip.send_now()

    def _run_upkeep_loop(self) -> None:
        while self._runtime.sleep_ms(UPKEEP_MS):
            try:
                self._run_upkeep()
            except Exception:
                # A failed round must not end the loop: members, primary changes and
                # idle links would silently stop being maintained.
                self.log.write(
                    "daemon", "A round of upkeep failed.", trace=traceback.format_exc()
                )

    def _run_upkeep(self) -> None:
        self._update_members()
        # Once a member that announced its stop is silent it admits nothing, so no part
        # of the rates is set aside for it.
        serving = self.members.list_serving()
        self.rates.set_sources(self.heartbeats.list_sources(serving))
        self.catch_up.check_peers()
        self._reload()
        if not self.is_stopping:
            if self.heartbeats.may_remove_members():
                self.members.remove_silent()
            if self.guard.has_proof():
                self.changes.start_due_changes()
        self.directory.forget_unlisted()
        self.placement.drop_unlisted()
        self.pool.close_unused(
            self.directory.may_keep_links, self.executor.find_idle_close_ms
        )
        self.passing_client.close_unused()

    def _reload(self) -> None:
        """Apply changed settings; keep the old ones if the new ones are invalid."""
        requested, self.reload_requested = self.reload_requested, False
        try:
            settings = self._plugins.read_changed_settings()
        except (OSError, ValueError) as error:
            if requested:
                self.log.write(
                    "daemon", "The settings can't be used.", error=str(error)
                )
            return
        if settings is not None:
            self._settings = settings
        if settings is not None or requested:
            self.log.write(
                "daemon", "The settings were read again.", changed=settings is not None
            )

    # Callers

    def _accept(self) -> None:
        services = Services(
            self._runtime,
            self._plugins.codec,
            self.directory,
            self.rates,
            self.guard,
            self.runner,
            self.counters,
            self.log,
            self._stop_signals,
        )
        while self._listener.wait_readable(self._ended):
            try:
                connection = self._listener.accept()
            except OSError as error:
                if self._runtime.stopping:
                    return
                self.log.write("front", "Accepting failed.", error=str(error))
                self._runtime.sleep_ms(STOP_POLL_MS)
                continue
            self._serve(services, connection)
        # Callers that still come are refused by the kernel and connect elsewhere.
        self._listener.close()

    def _serve(self, services: Services, connection: Connection) -> None:
        if len(self._sessions) >= self._settings.max_sessions:
            self.counters.count("refusals", code="connection_limit", ran="not_run")
            connection.close()
            return
        session = CallerSession(services, connection)
        with self._lock:
            self._sessions.add(session)
        try:
            self._runtime.start(self._run_session, session)
        except TaskLimitError as error:
            self.log.write_request(
                "front", "No task is free for a new session.", error=str(error)
            )
            self._remove_session(session)
            connection.close()

    def _run_session(self, session: CallerSession) -> None:
        try:
            session.run()
        finally:
            self._remove_session(session)

    def _remove_session(self, session: CallerSession) -> None:
        with self._lock:
            self._sessions.discard(session)

    # Lifecycle

    def start(self) -> None:
        """Start all components."""
        self.log.write(
            "daemon", "The daemon starts.", incarnation=self.gossip.incarnation
        )
        run = self._runtime.keep_running
        run(self.log.run)
        for server in self._servers:
            run(server.run)
        run(self.mirror.run)
        run(self.poller.run)
        run(self.members.maintain)
        run(
            self.gossip.run_sender,
            self.heartbeats.begin_round,
            self.heartbeats.complete_beat,
        )
        run(self.gossip.run_receiver, self.heartbeats.handle_beat)
        run(self._run_upkeep_loop)
        run(self._accept)
        if self._passing_server is not None:
            run(self._passing_server.run)

    def stop(self) -> None:
        """Drain: keep serving at first, close sessions, stop in the grace period.

        Statements that run when the time for callers is over are still answered: their
        callers couldn't tell whether a statement has run that gets no answer.
        """
        started_ms = self._clock.now_ms()
        grace_ms = self._settings.grace_ms
        self.log.write(
            "daemon", "The daemon is stopping.", sessions=len(self._sessions)
        )
        self.is_stopping = True
        self.members.is_stopping = True
        self.heartbeats.is_stopping = True
        if self._passing_server is not None:
            self._passing_server.is_stopping = True
        self._stop_signals.stopping.set()
        while self._clock.now_ms() < started_ms + SERVE_FRACTION * grace_ms:
            self._runtime.sleep_ms(STOP_POLL_MS)
        self._stop_signals.closing.set()
        self._wait_until_unused(started_ms + END_FRACTION * grace_ms)
        self._stop_signals.ended.set()
        self._wait_until_unused(started_ms + EXIT_FRACTION * grace_ms)
        try:
            self._leave(started_ms + LEAVE_FRACTION * grace_ms)
        except Exception:
            # The process has to end in the grace period, whatever fails here.
            self.log.write(
                "daemon", "Leaving the list failed.", trace=traceback.format_exc()
            )
        self.log.write(
            "daemon",
            "The daemon has stopped.",
            cut=len(self._sessions),
            passed_on_cut=self._count_passed_on(),
            took_ms=round(self._clock.now_ms() - started_ms),
        )
        self.log.flush()

    def _leave(self, deadline_ms: float) -> None:
        """Leave the member list, so that no primary change waits for this daemon.

        The last heartbeat tells what has been admitted here.
        """
        self.guard.close()
        self.gossip.run_round(
            self.heartbeats.begin_round, self.heartbeats.complete_beat, urgent=True
        )
        self.gossip.fall_silent()
        self.members.leave(deadline_ms)

    def _wait_until_unused(self, deadline_ms: float) -> None:
        while self._is_in_use() and self._clock.now_ms() < deadline_ms:
            self._runtime.sleep_ms(STOP_POLL_MS)

    def _is_in_use(self) -> bool:
        return bool(self._sessions) or self._count_passed_on() > 0

    def _count_passed_on(self) -> int:
        """Return how many statements or transactions of other daemons are open here."""
        server = self._passing_server
        return server.count_busy() if server else 0


def run_daemon(runtime: Runtime, settings: PoolerSettings, plugins: Plugins) -> int:
    """Run a daemon until SIGTERM or SIGINT; return its exit code."""
    sys.setswitchinterval(ADVISED_SWITCH_INTERVAL_S)
    stop_requested = runtime.make_signal()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    # Ignored until the daemon exists: the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    daemon = PoolerDaemon(runtime, settings, plugins)

    def request_reload(*_: object) -> None:
        daemon.reload_requested = True

    signal.signal(signal.SIGHUP, request_reload)

    def report_failure(text: str) -> None:
        daemon.log.write("daemon", "A task failed.", trace=text)

    runtime.report_failure = report_failure
    daemon.start()
    stop_requested.wait()
    daemon.stop()
    # A normal exit would join all tasks, and some wait for data that never arrives.
    os._exit(0)


def max_tasks(settings: PoolerSettings) -> int:
    """Return the most tasks that a daemon with these settings may run."""
    served = MAX_CONNECTIONS if settings.passing is not None else 0
    return settings.max_sessions + served + BACKGROUND_TASKS
