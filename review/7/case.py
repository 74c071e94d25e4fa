"""A primary crashes while one replica is deaf and the other one's slots are taken."""

import threading
import time

from review.fleet import (
    BROKEN,
    HELD,
    CannotRunError,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from review.service import Instance, Service

DAEMONS = 4
WRITERS = 4
READERS = 32
DEAF_AT_S, CRASH_AT_S, DEAF_FOR_S = 3.0, 5.0, 6.5
PLAY_S = 14.0


def build(record: Record):
    """Return the fleet, and the function that plays the case."""
    service = Service("orders", record.note, work_ms=40.0, sync_replicas=1)
    fleet = Fleet(service, record, DAEMONS)
    fleet.first = DAEMONS
    return fleet, lambda: play(fleet, service, record)


def play(fleet: Fleet, service: Service, record: Record) -> int:
    """Play the case; return whether LOST was broken."""
    acknowledged: list[str] = []
    lost: list[str] = []
    promoted: list[str] = []
    stop = threading.Event()

    def check(chosen: Instance) -> None:
        held = {entry.statement for entry in chosen.log}
        promoted.append(chosen.name)
        for statement in list(acknowledged):
            if statement not in held:
                lost.append(statement)
                record.note(f"LOST {statement}: {chosen.name} was promoted without it")

    service.on_promote = check

    def write(name: str) -> None:
        number = 0
        while not stop.is_set():
            try:
                caller = fleet.connect(name, "strict")
                while not stop.is_set():
                    number += 1
                    sent = caller.ask(f"STORE item{name}{number % 9} v{number}")
                    if sent.reply is None:
                        break
                    if not sent.reply.error:
                        acknowledged.append(sent.id)
                    time.sleep(0.1)
            except OSError:
                time.sleep(0.1)

    def read(name: str) -> None:
        while not stop.is_set():
            try:
                caller = fleet.connect(name, "own")
                while not stop.is_set():
                    if caller.ask("FETCH item1").reply is None:
                        break
                    time.sleep(0.005)
            except OSError:
                time.sleep(0.1)

    names = list(fleet.daemons)
    tasks = [(write, names[i % len(names)]) for i in range(WRITERS)]
    tasks += [(read, names[i % len(names)]) for i in range(READERS)]
    for task, name in tasks:
        threading.Thread(target=task, args=(name,), daemon=True).start()
    primary, _, deaf = service.instances.values()
    time.sleep(DEAF_AT_S)
    if not acknowledged:
        raise CannotRunError("no write was served before the disruption")
    if has_trouble():
        record.note(f"DEAF {deaf.name}")
        deaf.deaf = True
    time.sleep(CRASH_AT_S - DEAF_AT_S)
    if has_trouble():
        fleet.put_out(primary, "crash")
    time.sleep(DEAF_FOR_S - (CRASH_AT_S - DEAF_AT_S))
    deaf.deaf = False
    time.sleep(PLAY_S - DEAF_AT_S - DEAF_FOR_S)
    stop.set()
    print(f"acknowledged {len(acknowledged)}, promoted {promoted}, lost {len(lost)}")
    if has_trouble() and not promoted:
        raise CannotRunError("no instance was promoted")
    return BROKEN if lost else HELD


run_case(build, __file__)
