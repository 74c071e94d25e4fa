"""A version gives a key to another tenant while a transaction of it is open.

The check is the rule UNASKED: an instance runs no request whose tenant isn't the one
that holds the consumer's key, here later than `config_apply_ms` after the
acknowledgement.
"""

import os
import sys
import tempfile
import time
from pathlib import Path

from review.deployment import (
    CONFIG_APPLY_MS,
    STABLE_WINDOW_MS,
    Consumer,
    Deployment,
    Record,
    now_s,
)

from standins.lineplatform import NORTH, OWN

KEY = NORTH.keys[0]
NEW_NAME = "northern"
# Pauses between the statements of a transaction; `tx_idle_ms` is 3,000.
PAUSE_S = 0.8
# Statements after the change; a transaction has at most 12 in all.
STATEMENTS = 8
REQUEST_TIMEOUT_S = 2.0


class Session:
    """A consumer's session that keeps when each request was sent."""

    def __init__(self, deployment: Deployment, record: Record, prefix: str):
        daemon = deployment.daemons[0]
        self._consumer = Consumer(daemon.frontend, OWN, KEY)
        self._record = record
        self._prefix = prefix
        self.sent_s: dict[str, float] = {}
        self.is_open = True

    def ask(self, text: str) -> str:
        """Send a statement and return the first line of the answer."""
        request = f"{self._prefix}{len(self.sent_s) + 1}"
        self.sent_s[request] = now_s()
        self._record.write("sent", request=request, text=text)
        lines = self._consumer.query(request, text, REQUEST_TIMEOUT_S)
        self._record.write("answered", request=request, lines=lines)
        self.is_open = lines[-1].startswith("READY T")
        return lines[0]


def run(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Return the exit code of the case."""
    platform = deployment.platform
    if not deployment.start():
        return 2
    time.sleep(STABLE_WINDOW_MS / 1000)
    session = Session(deployment, record, "t")
    for text in ("BEGIN", "FETCH i1"):
        if session.ask(text).startswith("ERROR"):
            return 2
    if trouble:
        platform.tenants = [NORTH._replace(name=NEW_NAME)]
    version = platform.configure()
    acked_s = now_s()
    holder = platform.tenants[0].name
    record.write("acknowledged", version=version, key=KEY, tenant=holder)
    for number in range(STATEMENTS):
        time.sleep(PAUSE_S)
        if session.is_open:
            session.ask(f"STORE i{number} v{number}")
    if session.is_open:
        session.ask("COMMIT")
    # A single statement, to show that the daemon knows the version.
    single = Session(deployment, record, "s")
    single.ask("FETCH i1")
    bound_s = acked_s + CONFIG_APPLY_MS / 1000
    sent_s = {**session.sent_s, **single.sent_s}
    broken = 0
    late = 0
    for one in platform.group.runs:
        record.write(
            "ran", request=one.statement_id, tenant=one.workspace, text=one.text
        )
        if sent_s.get(one.statement_id, 0) > bound_s:
            late += 1
            if one.workspace != holder:
                broken += 1
                record.write("UNASKED", request=one.statement_id, tenant=one.workspace)
    record.write("result", run_after_bound=late, with_another_tenant=broken)
    sys.stdout.write(f"run after the bound {late}, with another tenant {broken}\n")
    return 1 if broken else 0


def main() -> None:
    """Run the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory(prefix="review-3-") as folder:
        deployment = Deployment(Path(folder), ["vm-1", "vm-2"])
        code = 2
        try:
            code = run(deployment, record, trouble)
        finally:
            deployment.close()
            record.close()
    os._exit(code)


if __name__ == "__main__":
    main()
