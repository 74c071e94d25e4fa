"""All VMs are replaced; later all processes are killed while the primary is dark."""

import os
import signal
import threading
import time

from review.fleet import (
    BOUNDS,
    BROKEN,
    HELD,
    CannotRunError,
    Fleet,
    Record,
    Sent,
    has_trouble,
    run_case,
)
from review.service import Service

OLD, NEW = ("vm-1", "vm-2"), ("vm-3", "vm-4")
SETTLE_S = 5.0
DOWN_S = 1.2
DARK_S = 7.0
AFTER_S = 20.0
SESSIONS = 6
DATABASES = ("strict", "aged", "own")


def build(record: Record):
    """Return the fleet, and the function that plays the case."""
    service = Service("orders", record.note)
    fleet = Fleet(service, record, 4)
    return fleet, lambda: play(fleet, service, record)


def play(fleet: Fleet, service: Service, record: Record) -> int:
    """Play the case; return whether RECOVER was broken."""
    serving = list(OLD)
    sent: list[Sent] = []
    stop = threading.Event()

    def call(number: int) -> None:
        database = DATABASES[number % len(DATABASES)]
        while not stop.is_set():
            try:
                # The platform sends new connections to VMs that run.
                name = serving[number // len(DATABASES) % len(serving)]
                caller = fleet.connect(name, database)
                while not stop.is_set():
                    writes = database == "strict" and len(sent) % 2
                    text = (
                        f"STORE item{number} v{len(sent)}" if writes else "FETCH item0"
                    )
                    one = caller.ask(text)
                    sent.append(one)
                    if one.reply is None:
                        break
                    time.sleep(0.1)
            except OSError:
                time.sleep(0.2)

    for number in range(SESSIONS):
        threading.Thread(target=call, args=(number,), daemon=True).start()
    time.sleep(SETTLE_S)
    for name in NEW:
        record.note(f"START {name}")
        fleet.daemons[name].start()
    for name in NEW:
        fleet.wait(fleet.daemons[name].is_ready, 20, f"{name} isn't ready")
    time.sleep(SETTLE_S)
    replaces = has_trouble() and not os.environ.get("KEEP_OLD")
    if replaces:
        serving[:] = NEW
        for name in OLD:
            record.note(f"SIGTERM {name}, which is removed for good")
            fleet.daemons[name].signal(signal.SIGTERM)
        for name in OLD:
            process = fleet.daemons[name].process
            fleet.wait(lambda p=process: p.poll() is not None, 10, f"{name} runs on")
    else:
        serving[:] = [*OLD, *NEW]
    time.sleep(3 * SETTLE_S)
    before = record.now()
    primary = next(iter(service.instances.values()))
    if has_trouble():
        record.note(f"{primary.name} is dark for {DARK_S} s, all processes are killed")
        fleet.put_out(primary, "dark")
        for name in serving:
            fleet.daemons[name].kill()
        time.sleep(DOWN_S)
        for name in serving:
            record.note(f"START {name}")
            fleet.daemons[name].start()
        time.sleep(DARK_S - DOWN_S)
        fleet.bring_back(primary)
    back = before + DOWN_S
    time.sleep(AFTER_S + BOUNDS["recovery_s"] - DARK_S)
    stop.set()
    earlier = [one for one in sent if before - SETTLE_S < one.sent < before]
    later = [one for one in sent if one.sent > back + BOUNDS["recovery_s"]]
    share_before, share_after = _find_share(earlier), _find_share(later)
    print(f"served before: {share_before:.0%} of {len(earlier)}")
    print(f"served from {BOUNDS['recovery_s']} s on: {share_after:.0%} of {len(later)}")
    if share_before < 0.25 or not later:
        raise CannotRunError("too little was served before the final fault")
    return BROKEN if share_after < 0.25 else HELD


def _find_share(statements: list[Sent]) -> float:
    served = [one for one in statements if one.reply and not one.reply.error]
    return len(served) / max(1, len(statements))


run_case(build, __file__)
