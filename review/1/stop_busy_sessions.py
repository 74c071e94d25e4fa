"""A daemon gets SIGTERM while consumers send one operation after the other.

A daemon that stops has to finish each request that it has passed on to an instance. It
may close a session between two operations. The check is the rule LOST.
"""

import random
import signal
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

from review.deployment import GRACE_S, Consumer, Deployment, Record, now_s, run_case

from standins.lineplatform import NORTH, OWN

SESSIONS = 8
# The work of a statement at an instance, and the pause between two operations.
WORK_MS = 24
PAUSE_S = (0.01, 0.03)
# The time limit of the consumers and the route's timeout, in seconds.
TIME_LIMIT_S = 2.0
ROUTE_TIMEOUT_S = 1.0
LOSS_SLACK_S = 0.2
BEFORE_S = 2.0


class Attempt(NamedTuple):
    """A request that got no complete answer."""

    request: str
    daemon: str
    sent_s: float
    ended_s: float
    text: str


class Consumers:
    """Sessions that each send operation after operation."""

    def __init__(self, deployment: Deployment, record: Record):
        self._deployment = deployment
        self._record = record
        self._lock = threading.Lock()
        self.stopped = threading.Event()
        self.unanswered: list[Attempt] = []
        self.answered = 0

    def run(self, number: int) -> None:
        """Send operations, first at the first daemon, until the end."""
        first, *others = self._deployment.daemons
        daemon, count = first, 0
        consumer = Consumer(daemon.frontend, OWN, NORTH.keys[0])
        while not self.stopped.is_set():
            time.sleep(random.uniform(*PAUSE_S))
            if consumer.is_closed():
                # The ingress sends a consumer that reconnects to a ready daemon.
                daemon = daemon if daemon.is_ready() else others[0]
                consumer.close()
                consumer = Consumer(daemon.frontend, OWN, NORTH.keys[0])
            count += 1
            request = f"c{number}n{count}"
            text = f"STORE i{number} v{count}" if count % 8 == 0 else f"FETCH i{number}"
            sent_s = now_s()
            self._write("sent", request=request, daemon=daemon.name, text=text)
            try:
                lines = consumer.query(request, text, TIME_LIMIT_S)
            except OSError as error:
                self._write("unanswered", request=request, error=error)
                attempt = Attempt(request, daemon.name, sent_s, now_s(), text)
                with self._lock:
                    self.unanswered.append(attempt)
                consumer.close()
                daemon = others[0]
                consumer = Consumer(daemon.frontend, OWN, NORTH.keys[0])
                continue
            self._write("answered", request=request, lines=lines)
            with self._lock:
                self.answered += 1
        consumer.close()

    def _write(self, event: str, **fields: object) -> None:
        with self._lock:
            self._record.write(event, **fields)


def find_lost(
    consumers: Consumers, daemon: str, term_s: float, ran: set[str]
) -> list[Attempt]:
    """Return the attempts that break LOST.

    Each statement works for 24 ms and is cut before five sixths of the grace period, so
    that no instance was still at work in the last sixth of it.
    """
    return [
        attempt
        for attempt in consumers.unanswered
        if attempt.daemon == daemon
        and term_s <= attempt.sent_s <= term_s + GRACE_S + 1
        and attempt.ended_s - attempt.sent_s < ROUTE_TIMEOUT_S
        and attempt.ended_s < term_s + GRACE_S * 5 / 6
        and (attempt.request in ran or attempt.ended_s - attempt.sent_s > LOSS_SLACK_S)
    ]


def run(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Return the exit code of the case."""
    group = deployment.platform.group
    for instance in group.instances.values():
        instance.work_ms = WORK_MS
    if not deployment.start(record):
        return 2
    consumers = Consumers(deployment, record)
    threads = [
        threading.Thread(target=consumers.run, args=(number,), daemon=True)
        for number in range(SESSIONS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(BEFORE_S)
    first = deployment.daemons[0]
    term_s = now_s()
    if trouble:
        record.write("SIGTERM", daemon=first.name)
        first.send_signal(signal.SIGTERM)
    time.sleep(GRACE_S + 1)
    consumers.stopped.set()
    for thread in threads:
        thread.join(5)
    if trouble:
        record.write("exit", daemon=first.name, code=first.wait(1))
    runs = {one.statement_id: one.instance for one in group.runs}
    for request, instance in runs.items():
        record.write("ran", request=request, instance=instance)
    lost = find_lost(consumers, first.name, term_s, set(runs))
    record.write("result", answered=consumers.answered, lost=len(lost))
    for attempt in lost:
        record.write(
            "LOST",
            request=attempt.request,
            text=attempt.text,
            sent_after_sigterm_s=round(attempt.sent_s - term_s, 3),
            cut_after_sigterm_s=round(attempt.ended_s - term_s, 3),
            ran_at=runs.get(attempt.request),
        )
    sys.stdout.write(f"answered {consumers.answered}, lost {len(lost)}\n")
    if consumers.answered < 100:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(1, Path(__file__).resolve().parent, ["vm-1", "vm-2"], run)
