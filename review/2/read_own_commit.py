"""Primaries are replaced one after the other while replicas apply commits late.

At each change another daemon is frozen for a third of a second. The check is the rule
STALE for `read_your_writes`: a read sees each commit that was acknowledged to its
session before, unless a promotion has rolled the commit back.
"""

import json
import random
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from review.deployment import Consumer, Daemon, Deployment, Record, now_s, run_case

from bronzerelay.rendezvous import rank
from standins.lineplatform import (
    AGED,
    NORTH,
    OWN,
    SERVICE,
    STRICT,
    LinePlatform,
    make_route,
)

DAEMONS = [f"vm-{number}" for number in range(1, 9)]
# Consumers at each daemon that only write, and such that also read what they wrote. The
# daemon that is frozen has few.
WRITERS = 3
READERS = 2
WRITERS_AT_FROZEN = 2
# How late replicas apply a commit: 60 ms, and 13 times as late while they fall behind.
USUAL_LAG_MS = 60.0
LAG_MS = 800.0
PROMOTE_S = 0.3
# How long after the new primary is recorded the frozen daemon wakes.
THAW_S = (0.01, 0.05)
MAX_STALENESS_MS = 2500
RUN_S = 45.0
# In each round a session writes an item at any time of this span, and reads it again
# some times, until a replica that falls behind has applied it.
WRITE_WITHIN_S = 0.35
READERS_WRITE_FROM_S = 0.1
READ_FROM_S = 0.74
READ_UNTIL_S = 0.85
READ_PAUSE_S = 0.03
REQUEST_TIMEOUT_S = 2.0
DRAIN_S = 1.2
BETWEEN_S = 0.6
# The primary begins to drain this long after a round has begun.
DRAIN_AFTER_S = 0.1
CHANGE_WAIT_S = 6.0
LEAD_PREFIX = "bronzerelay/leads/"


class Stale(NamedTuple):
    """A read that lacks a commit of its own session."""

    request: str
    daemon: str
    item: str
    commit: str
    position: str
    after_s: float


class Changes:
    """Carries promotions out, and freezes a daemon meanwhile."""

    def __init__(self, deployment: Deployment, record: Record, trouble: bool):
        self._deployment = deployment
        self._platform: LinePlatform = deployment.platform
        self._record = record
        self._trouble = trouble
        self._frozen: Daemon | None = None
        self._lock = threading.Lock()
        self._promote_now = self._platform.group.promote
        self._apply_now = self._platform.store._apply
        # The stand-in calls these through its own attributes.
        setattr(self._platform.group, "promote", self.promote)  # noqa: B010
        setattr(self._platform.store, "_apply", self.apply)  # noqa: B010

    def promote(self, name: str, holder: str, epoch: int) -> bool:
        """Promote an instance after the usual time."""
        if name not in self._platform.group.instances:
            return False
        self._record.write("promote", instance=name, holder=holder, epoch=epoch)
        if self._trouble:
            self._freeze(holder)
        threading.Thread(
            target=self._finish, args=(name, holder, epoch), daemon=True
        ).start()
        return True

    def _finish(self, name: str, holder: str, epoch: int) -> None:
        time.sleep(PROMOTE_S)
        self._promote_now(name, holder, epoch)
        for instance in self._platform.group.instances.values():
            self._platform.register(instance)

    def _freeze(self, holder: str) -> None:
        with self._lock:
            if self._frozen is not None:
                return
            name = find_frozen()
            if name == holder:
                return
            daemons = self._deployment.daemons
            self._frozen = next(one for one in daemons if one.name == name)
            self._frozen.send_signal(signal.SIGSTOP)
        self._record.write("freeze", daemon=self._frozen.name)

    def apply(self, puts: dict[str, bytes], removed: list[str]) -> int:
        """Apply a change of the store; a settled primary change ends a freeze."""
        revision = self._apply_now(puts, removed)
        for key, data in puts.items():
            if key.startswith(LEAD_PREFIX) and json.loads(data)[5]:
                threading.Thread(target=self.thaw, daemon=True).start()
        return revision

    def thaw(self) -> None:
        """Wake the frozen daemon."""
        time.sleep(random.uniform(*THAW_S))
        with self._lock:
            frozen, self._frozen = self._frozen, None
            if frozen is not None:
                frozen.send_signal(signal.SIGCONT)
                self._record.write("thaw", daemon=frozen.name)


class Sessions:
    """Consumers that write an item and read it again."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment = deployment
        self._record = record
        self._lock = threading.Lock()
        self._round = threading.Condition()
        self._rounds = 0
        self.stopped = threading.Event()
        self.stale: list[Stale] = []
        self.writes = 0
        self.reads = 0

    def begin_round(self) -> None:
        """Let each session write and read an item."""
        with self._round:
            self._rounds += 1
            self._round.notify_all()

    def _wait_for_round(self, last: int) -> int:
        with self._round:
            self._round.wait_for(lambda: self._rounds > last, 1.0)
            return self._rounds

    def run(self, number: int, daemon: Daemon, reads: bool) -> None:
        """Write and read in each round until the end; connect again after an error."""
        round_number = 0
        while not self.stopped.is_set():
            try:
                consumer = Consumer(daemon.frontend, OWN, NORTH.keys[0])
                while not self.stopped.is_set():
                    last, round_number = (
                        round_number,
                        self._wait_for_round(round_number),
                    )
                    if round_number > last:
                        from_s = READERS_WRITE_FROM_S if reads else 0.0
                        time.sleep(random.uniform(from_s, WRITE_WITHIN_S))
                        item = f"s{number}r{round_number}"
                        self._run_round(consumer, daemon, item, reads)
            except OSError as error:
                self._write("error", session=number, error=error)
                time.sleep(0.1)

    def _run_round(
        self, consumer: Consumer, daemon: Daemon, item: str, reads: bool
    ) -> None:
        lines = self._ask(consumer, daemon, f"{item}w", f"STORE {item} new")
        if not lines[0].startswith("COMPLETE"):
            return
        acked_s = now_s()
        commit = lines[-1].split()[2]
        self._write("committed", item=item, daemon=daemon.name, position=commit)
        with self._lock:
            self.writes += 1
        if not reads:
            return
        count = 0
        time.sleep(READ_FROM_S)
        while now_s() < acked_s + READ_UNTIL_S and not self.stopped.is_set():
            time.sleep(READ_PAUSE_S)
            count += 1
            request = f"{item}f{count}"
            sent_s = now_s()
            lines = self._ask(consumer, daemon, request, f"FETCH {item}")
            if not lines[0].startswith("DATAROW"):
                continue
            with self._lock:
                self.reads += 1
            if lines[0] != "DATAROW new" and self._is_kept(item):
                position = lines[-1].split()[2]
                after_s = round(sent_s - acked_s, 3)
                found = Stale(request, daemon.name, item, commit, position, after_s)
                self._write("STALE", **found._asdict(), lines=lines)
                with self._lock:
                    self.stale.append(found)

    def _ask(
        self, consumer: Consumer, daemon: Daemon, request: str, text: str
    ) -> list[str]:
        self._write("sent", request=request, daemon=daemon.name, text=text)
        lines = consumer.query(request, text, REQUEST_TIMEOUT_S)
        self._write("answered", request=request, lines=lines)
        return lines

    def _is_kept(self, item: str) -> bool:
        """Return whether the primary's log has the commit of an item."""
        group = self._deployment.platform.group
        with group.condition:
            return any(
                (item, "new") in commit.changes
                for instance in group.instances.values()
                if instance.is_primary
                for commit in instance.log
            )

    def _write(self, event: str, **fields: Any) -> None:
        with self._lock:
            self._record.write(event, **fields)


def find_frozen() -> str:
    """Return the daemon that is the last to carry out a primary change."""
    return rank(f"lead/{SERVICE}", DAEMONS)[-1]


def replace_primary(platform: LinePlatform, record: Record) -> bool:
    """Drain the primary until another one leads; return whether that happened."""
    group = platform.group
    primary = next(one for one in group.instances.values() if one.is_primary)
    primary.leaving = True
    platform.register(primary)
    record.write("draining", instance=primary.name)
    end_s = now_s() + CHANGE_WAIT_S
    while primary.is_primary and now_s() < end_s:
        time.sleep(0.02)
    replaced = not primary.is_primary
    time.sleep(DRAIN_S)
    # The instance that takes its place has its log.
    primary.leaving = False
    platform.register(primary)
    return replaced


def run(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Return the exit code of the case."""
    platform = deployment.platform
    platform.group.lag_ms = LAG_MS if trouble else USUAL_LAG_MS
    platform.routes = [
        make_route(STRICT, "primary"),
        make_route(AGED, "bounded_staleness"),
        make_route(OWN, "read_your_writes", max_staleness_ms=MAX_STALENESS_MS),
    ]
    platform.tenants = [NORTH._replace(rate=1000.0, burst=1000.0)]
    platform.configure()
    changes = Changes(deployment, record, trouble)
    if not deployment.start(record):
        return 2
    sessions = Sessions(deployment, record)
    frozen = find_frozen()
    places = [
        (daemon, reads)
        for daemon in deployment.daemons
        for reads in (
            [False] * WRITERS_AT_FROZEN
            if daemon.name == frozen
            else [False] * WRITERS + [True] * READERS
        )
    ]
    threads = [
        threading.Thread(target=sessions.run, args=(number, *place), daemon=True)
        for number, place in enumerate(places)
    ]
    for thread in threads:
        thread.start()
    end_s = now_s() + RUN_S
    replaced = 0
    while now_s() < end_s:
        time.sleep(BETWEEN_S)
        sessions.begin_round()
        time.sleep(DRAIN_AFTER_S)
        replaced += replace_primary(platform, record)
    sessions.stopped.set()
    time.sleep(0.5)
    changes.thaw()
    for one in platform.group.runs:
        record.write("ran", request=one.statement_id, instance=one.instance)
    stale = len(sessions.stale)
    record.write(
        "result",
        primaries_replaced=replaced,
        writes=sessions.writes,
        reads=sessions.reads,
        stale=stale,
    )
    sys.stdout.write(
        f"primaries replaced {replaced}, writes {sessions.writes}, "
        f"reads {sessions.reads}, stale {stale}\n"
    )
    if not sessions.reads or not replaced:
        return 2
    return 1 if stale else 0


if __name__ == "__main__":
    run_case(2, Path(__file__).resolve().parent, DAEMONS, run)
