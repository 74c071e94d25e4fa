"""Estimates the cost of callers' connections and statements at the required scale."""

from lab import letter
from lab.arithmetic import Slopes, add, divide, multiply
from lab.estimates import (
    CPU,
    KB_PER_MB,
    MS_PER_S,
    PROCESS_LOAD,
    RoleFigures,
)


def estimate_connections(slopes: Slopes) -> RoleFigures:
    """Return the cost of a daemon's connections."""
    count = (letter.CONNECTIONS / letter.DAEMONS, "connections")
    memory = slopes.slope("idle.memory_kb")
    idle = slopes.slope("idle.cpu_ms_per_s")
    return [
        multiply(
            "memory",
            "MiB",
            None,
            count,
            (memory / KB_PER_MB, "MiB"),
        ),
        multiply("processor, all idle", CPU, None, count, (idle, CPU)),
        divide(
            "opening 9,700 after a restart",
            "s of a core",
            None,
            (slopes.value_at_largest("idle.opening_cpu_ms"), "ms measured at 9,700"),
            (MS_PER_S, "ms"),
        ),
        divide(
            "draining 9,700 at a planned stop",
            "s",
            10,
            (slopes.value_at_largest("idle.drain_ms"), "ms measured at 9,700"),
            (MS_PER_S, "ms"),
        ),
    ]


def estimate_statements(slopes: Slopes) -> RoleFigures:
    """Return the cost of a daemon's statements."""
    count = letter.STATEMENTS_PER_S / letter.DAEMONS
    rate = (count, "statements/s")
    read = slopes.slope("paths.forwarding_ms") + slopes.slope("paths.forwarded_read_ms")
    write = slopes.slope("paths.forwarding_write_ms") + slopes.slope(
        "paths.forwarded_write_ms"
    )
    front = slopes.value_at("active.us", 64) / MS_PER_S
    cores = count * read / MS_PER_S
    return [
        add(
            "one forwarded read",
            "ms",
            None,
            (slopes.slope("paths.forwarding_ms"), "ms at the edge"),
            (slopes.slope("paths.forwarded_read_ms"), "ms at the serving daemon"),
        ),
        add(
            "one forwarded write",
            "ms",
            None,
            (slopes.slope("paths.forwarding_write_ms"), "ms at the edge"),
            (slopes.slope("paths.forwarded_write_ms"), "ms at the serving daemon"),
        ),
        add(
            "one read where the caller is at the serving daemon",
            "ms",
            None,
            (slopes.slope("paths.local_read_ms"), "ms"),
        ),
        add(
            "one write there",
            "ms",
            None,
            (slopes.slope("paths.local_write_ms"), "ms"),
        ),
        multiply("all reads", "cores", 1, rate, (read / MS_PER_S, "s")),
        multiply("all writes", "cores", 1, rate, (write / MS_PER_S, "s")),
        multiply("the front alone", "cores", 1, rate, (front / MS_PER_S, "s")),
        divide(
            "processes on a VM, all reads",
            "",
            None,
            (cores, "cores"),
            (PROCESS_LOAD, "of a core used"),
        ),
        multiply(
            "admission and routing",
            CPU,
            None,
            rate,
            (slopes.value_at_largest("routing.request_us") / MS_PER_S, "ms"),
        ),
    ]


def estimate_slots(slopes: Slopes) -> RoleFigures:
    """Return the cost of slots and of connections to the instances."""
    rate = letter.STATEMENTS_PER_S / letter.DAEMONS
    return [
        multiply(
            "taking and giving back slots",
            CPU,
            None,
            (rate, "statements/s"),
            (slopes.value_at("slots.us", 16) / MS_PER_S, "ms with 16 contending"),
        ),
        divide(
            "statements of a group",
            "/s",
            None,
            (letter.STATEMENTS_PER_S, "statements/s"),
            (letter.GROUPS, "groups"),
        ),
        multiply(
            "connections to instances",
            "",
            None,
            (letter.GROUPS / letter.DAEMONS * letter.INSTANCES, "instances"),
            (20 / 2, "links at most, half of 20"),
        ),
    ]
