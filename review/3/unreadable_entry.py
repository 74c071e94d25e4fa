"""Another writer registers an entry that can't be read, then a key is withdrawn.

The entry is to be skipped, and the configuration has to apply in time. The check is the
rule CONFIG: a request with a dropped key, sent later than `config_apply_ms` after the
acknowledgement, is not run any more.
"""

import sys
import time
from pathlib import Path

from review.deployment import (
    CONFIG_APPLY_MS,
    STABLE_WINDOW_MS,
    Consumer,
    Daemon,
    Deployment,
    Record,
    now_s,
    run_case,
)

from standins.lineplatform import AGED, NORTH, SOUTH

# The entry of another writer: nested text that breaks off. The store takes 1 MiB.
LEVELS = 2000
ENTRY = b'{"labels":' * LEVELS
REQUEST_TIMEOUT_S = 2.0
# How long requests go on after the bound, and the pause between two.
AFTER_S = 5.0
PAUSE_S = 0.25


def ask(
    consumer: Consumer, daemon: Daemon, request: str, record: Record
) -> tuple[float, str]:
    """Send a read; return when, and the first line of the answer."""
    sent_s = now_s()
    record.write("sent", request=request, daemon=daemon.name, text="FETCH i1")
    lines = consumer.query(request, "FETCH i1", REQUEST_TIMEOUT_S)
    record.write("answered", request=request, lines=lines)
    return sent_s, lines[0]


def run(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Return the exit code of the case."""
    platform = deployment.platform
    if not deployment.start(record):
        return 2
    time.sleep(STABLE_WINDOW_MS / 1000)
    sessions = [
        (daemon, Consumer(daemon.frontend, AGED, SOUTH.keys[0]))
        for daemon in deployment.daemons
    ]
    for number, (daemon, consumer) in enumerate(sessions):
        _, first = ask(consumer, daemon, f"before-{number}", record)
        if first.startswith("ERROR"):
            return 2
    if trouble:
        record.write("entry", key="servers/other-1", size=len(ENTRY))
        platform.store.put("servers/other-1", ENTRY)
    time.sleep(1.0)
    platform.tenants = [NORTH, SOUTH._replace(keys=())]
    version = platform.configure()
    acked_s = now_s()
    record.write("acknowledged", version=version, dropped_key=SOUTH.keys[0])
    late: dict[str, str] = {}
    count = 0
    while now_s() < acked_s + CONFIG_APPLY_MS / 1000 + AFTER_S:
        time.sleep(PAUSE_S)
        for daemon, consumer in sessions:
            count += 1
            request = f"after-{count}"
            sent_s, _ = ask(consumer, daemon, request, record)
            if sent_s > acked_s + CONFIG_APPLY_MS / 1000:
                late[request] = daemon.name
    runs = {one.statement_id: one for one in platform.group.runs}
    for one in runs.values():
        record.write(
            "ran",
            request=one.statement_id,
            instance=one.instance,
            tenant=one.workspace,
        )
    broken = {request: name for request, name in late.items() if request in runs}
    for request, name in broken.items():
        record.write("CONFIG", request=request, daemon=name, ran_late=True)
    record.write("result", sent_after_bound=len(late), run_after_bound=len(broken))
    sys.stdout.write(f"sent after the bound {len(late)}, run {len(broken)}\n")
    record_failures(deployment, record)
    if not late:
        return 2
    return 1 if broken else 0


def record_failures(deployment: Deployment, record: Record) -> None:
    """Record the tasks that failed, as the daemons' logs tell it."""
    for daemon in deployment.daemons:
        for event in daemon.read_events():
            if event.get("message", "").endswith("A task failed."):
                last = event.get("trace", "").strip().splitlines()[-1:]
                record.write("log", daemon=daemon.name, task_failed=last)


if __name__ == "__main__":
    run_case(3, Path(__file__).resolve().parent, ["vm-1", "vm-2"], run)
