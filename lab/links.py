"""Measurements of calls between peers, of slots, and of callers' connections."""

import subprocess
import sys
from types import SimpleNamespace
from typing import Any

from expression import Ok

from bronzerelay.env import ADVISED_SWITCH_INTERVAL_S
from bronzerelay.front import FrontSettings, Handlers, HttpFront
from bronzerelay.logs import open_log
from bronzerelay.metrics import Metrics
from bronzerelay.peerlink.ttypes import Beat, LoanCall, LoanReply
from bronzerelay.peers import PeerLinks, PeerServer
from bronzerelay.runtime import Address, Runtime
from bronzerelay.slots import SlotQueue
from lab.layouts import SLOTS
from lab.measure import CountedRuntime, own_cpu_ms, resident_kb

ANY_PORT = Address("127.0.0.1", 0)
SECRET = "secret-of-the-lab"
CALL_TIMEOUT_MS = 2000
SLOT_ROUNDS = 400
HOLD_MS = 0.2
DEADLINE_MS = 60_000
IDLE_MS = 1500
ACTIVE_MS = 2000
DRAIN_MS = 60_000


def measure_calls(size: int) -> dict[str, float]:
    """Return the total cost of `size` heartbeats without views, and of `size` loans.

    Both ends run in this process, so the processor time is that of both together.
    """
    runtime = CountedRuntime(task_limit=16)
    handler = SimpleNamespace(
        beat=lambda beat: beat,
        lend=lambda call: LoanReply(amount=call.amount, spare=2.0),
        run_statement=None,
        fetch_config=None,
        fetch_roster=None,
    )
    server = PeerServer(runtime, ANY_PORT, SECRET, handler, lambda name: None)
    server.start()
    links = PeerLinks(runtime, SECRET)
    beat = Beat(sender="vm-000001", roster_epoch=1, config_version=1, views=[])
    loan = LoanCall(borrower="vm-000001", workspace="workspace-00001", amount=2.0)
    beats = _measure_calls(runtime, links, server.address, "beat", beat, size)
    loans = _measure_calls(runtime, links, server.address, "lend", loan, size)
    server.drain(CALL_TIMEOUT_MS)
    runtime.close(CALL_TIMEOUT_MS)
    return {
        "beat_ms": beats[0],
        "beat_bytes": beats[1],
        "loan_ms": loans[0],
        "loan_bytes": loans[1],
    }


def _measure_calls(
    runtime: CountedRuntime,
    links: PeerLinks,
    address: Address,
    method: str,
    argument: Any,
    count: int,
) -> tuple[float, float]:
    links.call(address, method, argument, CALL_TIMEOUT_MS)
    started_cpu_ms = own_cpu_ms()
    before = runtime.total_bytes()
    for _ in range(count):
        links.call(address, method, argument, CALL_TIMEOUT_MS)
    return own_cpu_ms() - started_cpu_ms, runtime.total_bytes() - before


def measure_slots(size: int) -> dict[str, float]:
    """Return the time to acquire and release a slot with `size` tasks contending.

    Each task belongs to its own workspace, and holds a slot for `HOLD_MS`.
    """
    runtime = Runtime(task_limit=size + 1, seed=1)
    slots = SlotQueue(runtime, SLOT_ROUNDS)
    slots.set_endpoints({"orders-1": SLOTS})
    rounds = max(1, SLOT_ROUNDS // size)

    def work(workspace: str) -> None:
        for _ in range(rounds):
            deadline_ms = runtime.clock.now_ms() + DEADLINE_MS
            slots.acquire(workspace, lambda free: free[0], deadline_ms)
            runtime.clock.sleep_ms(HOLD_MS)
            slots.release("orders-1")

    started_cpu_ms = own_cpu_ms()
    tasks = [runtime.start(work, f"workspace-{number}") for number in range(size)]
    for task in tasks:
        task.result()
    return {"us": (own_cpu_ms() - started_cpu_ms) * 1000 / (rounds * size)}


class MeasuredFront:
    """A front in this process, with callers in another process."""

    def __init__(self, connections: int):
        # The same interval as in the daemon's main function.
        sys.setswitchinterval(ADVISED_SWITCH_INTERVAL_S)
        self.runtime = Runtime(task_limit=connections + 16)
        handlers = Handlers(_answer, lambda: Ok(None), dict, lambda: b"")
        self.front = HttpFront(
            self.runtime,
            FrontSettings(ANY_PORT, max_connections=connections + 8),
            handlers,
            Metrics(self.runtime),
            open_log("front"),
        )
        self.front.start()

    def start_callers(self, idle: int, active: int) -> subprocess.Popen:
        """Start callers that open idle connections, and active ones that they use."""
        address = str(self.front.address)
        command = [sys.executable, "-m", "lab.callers", address, str(idle), str(active)]
        return subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def close(self) -> None:
        """Stop the front and its tasks."""
        self.front.drain(0)
        self.runtime.close(CALL_TIMEOUT_MS)


def wait_until_ready(callers: subprocess.Popen) -> None:
    """Wait until the callers are connected; raise ChildProcessError if they fail."""
    if callers.stdout.readline().strip() != "ready":
        raise ChildProcessError("the callers couldn't connect")


def _answer(workspace: str, key: str, request: dict, request_id: str) -> Any:
    return Ok({"value": request["statement"]["row"], "session": "x" * 40})


def measure_idle(size: int) -> dict[str, float]:
    """Return memory and processor time of `size` idle connections.

    Each connection has run one statement before. Then the front is drained, as at a
    planned stop, while the callers stay connected until the front closes.
    """
    front = MeasuredFront(size)
    before_kb, before_cpu_ms = resident_kb(), own_cpu_ms()
    callers = front.start_callers(size, 0)
    wait_until_ready(callers)
    figures = {
        "memory_kb": resident_kb() - before_kb,
        "opening_cpu_ms": own_cpu_ms() - before_cpu_ms,
    }
    started_cpu_ms = own_cpu_ms()
    front.runtime.sleep_ms(IDLE_MS)
    figures["cpu_ms_per_s"] = (own_cpu_ms() - started_cpu_ms) * 1000 / IDLE_MS
    started_cpu_ms, began_ms = own_cpu_ms(), front.runtime.clock.now_ms()
    front.front.drain(DRAIN_MS)
    figures["drain_cpu_ms"] = own_cpu_ms() - started_cpu_ms
    figures["drain_ms"] = front.runtime.clock.now_ms() - began_ms
    callers.kill()
    return figures


def measure_active(size: int) -> dict[str, float]:
    """Return the front's processor time per statement with `size` busy connections."""
    front = MeasuredFront(size)
    callers = front.start_callers(0, size)
    try:
        wait_until_ready(callers)
        started_cpu_ms = own_cpu_ms()
        callers.stdin.write("run\n")
        callers.stdin.flush()
        statements = int(callers.stdout.readline())
        cpu_ms = own_cpu_ms() - started_cpu_ms
    finally:
        callers.communicate("end\n")
        front.close()
    return {
        "us": cpu_ms * 1000 / statements,
        "statements_per_s": statements * 1000 / ACTIVE_MS,
    }
