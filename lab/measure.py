"""Measures processor time and memory, and fits lines through the results."""

import os
import resource
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bronzerelay.runtime import Address, Connection, Runtime

PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
TICK_MS = 1000 / os.sysconf("SC_CLK_TCK")
# Indexes in /proc/PID/stat, counted after the program's name, which may hold spaces.
USER_FIELD = 11
SYSTEM_FIELD = 12


class Line(NamedTuple):
    """A straight line through measured points: `base + slope * size`."""

    slope: float
    base: float


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through (size, value) pairs."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    variance = sum((size - mean_size) ** 2 for size, _ in points)
    covariance = sum(
        (size - mean_size) * (value - mean_value) for size, value in points
    )
    slope = covariance / variance
    return Line(slope, mean_value - slope * mean_size)


def own_cpu_ms() -> float:
    """Return the processor time of this process so far, in milliseconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1000


def process_cpu_ms(pid: int) -> float:
    """Return the processor time of a process so far, in ticks of about 10 ms."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) * TICK_MS


def resident_kb(pid: int | None = None) -> float:
    """Return the resident memory of a process, this one by default, in KiB."""
    text = Path(f"/proc/{pid or 'self'}/statm").read_text()
    return int(text.split()[1]) * PAGE_KB


def cpu_us_per_call(function: Callable[[], object], least_ms: float = 150) -> float:
    """Return the processor time of one call, in microseconds.

    The function is called until it has used `least_ms` of processor time.
    """
    calls = 0
    started_ms = own_cpu_ms()
    spent_ms = 0.0
    while spent_ms < least_ms:
        function()
        calls += 1
        spent_ms = own_cpu_ms() - started_ms
    return spent_ms * 1000 / calls


def held_kb(build: Callable[[], object]) -> float:
    """Return the memory that the objects built by `build` hold, in KiB.

    Allocations are traced: the growth of the resident memory is less when pages that
    were freed before are reused.
    """
    tracemalloc.start()
    built = build()
    held = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del built
    return held


class CountedConnection(Connection):
    """A connection that counts its messages and bytes."""

    counts: dict[str, int]

    def send(self, data: bytes) -> None:
        """Send and count `data`."""
        self.counts["sent_bytes"] += len(data)
        self.counts["messages"] += 1
        super().send(data)

    def receive(self, limit: int = 65536) -> bytes:
        """Receive and count the next bytes."""
        data = super().receive(limit)
        self.counts["received_bytes"] += len(data)
        return data


class CountedRuntime(Runtime):
    """A runtime that counts messages and bytes of the connections it opens."""

    def __init__(self, task_limit: int):
        super().__init__(task_limit, seed=1)
        self.counts = {"messages": 0, "sent_bytes": 0, "received_bytes": 0}

    def dial(self, address: Address, timeout_ms: float, **options) -> Connection:
        """Return a counted connection."""
        connection = super().dial(address, timeout_ms, **options)
        connection.__class__ = CountedConnection
        connection.counts = self.counts
        return connection

    def total_bytes(self) -> int:
        """Return all bytes sent and received so far, without TCP headers."""
        return self.counts["sent_bytes"] + self.counts["received_bytes"]
