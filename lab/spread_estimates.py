"""Estimates the cost of configuration, membership, roster and platform calls.

All estimates are for the required scale.
"""

from lab import letter
from lab.arithmetic import Slopes, add, divide, multiply
from lab.estimates import (
    ANNOUNCED_BYTES,
    BEATS_PER_S,
    BYTES,
    CHANGES,
    CHANGES_PER_S,
    CPU,
    EVENT_BYTES,
    GRAPH_DEGREE,
    HEADER_BYTES,
    JOIN_CALLS,
    KB_PER_MB,
    MEMBERS,
    MS_PER_S,
    PART_GROUPS,
    SIGNED_BYTES,
    TURNS_PER_S,
    VERSIONS,
    VERSIONS_PER_S,
    RoleFigures,
)


def estimate_configuration(slopes: Slopes) -> RoleFigures:
    """Return the cost of the configuration's versions."""
    size = slopes.slope("bundle.bytes")
    whole = size * letter.GROUPS
    accept = slopes.slope("bundle.accept_ms")
    degree = GRAPH_DEGREE
    announcement = ANNOUNCED_BYTES + HEADER_BYTES
    part = size * PART_GROUPS + SIGNED_BYTES + 2 * HEADER_BYTES
    return [
        multiply(
            "the bundle",
            "MiB",
            1000 / KB_PER_MB,
            (letter.GROUPS, "groups"),
            (size / KB_PER_MB**2, "MiB"),
        ),
        divide(
            "groups that fit into one value today",
            "",
            None,
            (1000 * KB_PER_MB, "B"),
            (size, "B a group"),
        ),
        multiply(
            "bytes received",
            BYTES,
            letter.CONTROL_BYTES,
            (whole, "B"),
            VERSIONS,
        ),
        multiply(
            "processor to accept",
            CPU,
            letter.CONTROL_CPU_MS,
            (letter.GROUPS, "groups"),
            (accept, "ms"),
            VERSIONS,
        ),
        multiply(
            "memory",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (letter.GROUPS, "groups"),
            (slopes.slope("bundle.memory_kb") / KB_PER_MB, "MiB"),
        ),
        multiply(
            "in parts: bytes of announcements",
            BYTES,
            letter.CONTROL_BYTES,
            VERSIONS,
            (2 * degree, "messages, in and out"),
            (announcement, "B"),
        ),
        multiply(
            "in parts: bytes of the changed part",
            BYTES,
            letter.CONTROL_BYTES,
            VERSIONS,
            (2, "times, once in and once out"),
            (part, "B, 4 groups, digests and signatures"),
        ),
        multiply(
            "in parts: processor to accept",
            CPU,
            letter.CONTROL_CPU_MS,
            (PART_GROUPS, "groups a part"),
            (accept, "ms"),
            VERSIONS,
        ),
        multiply(
            "in force after a flood",
            "ms",
            letter.VERSION_MS,
            (slopes.value_at_largest("graph.hops"), "hops"),
            (
                2 * slopes.value_at_largest("fleet.version_ms"),
                "ms, twice 12 daemons' time",
            ),
        ),
    ]


def estimate_membership(slopes: Slopes) -> RoleFigures:
    """Return the cost of heartbeats."""
    beat_bytes = slopes.value_at_largest("beats.bytes")
    write_ms = slopes.value_at_largest("beats.make_us") / MS_PER_S
    read_ms = slopes.value_at_largest("beats.take_us") / MS_PER_S
    empty_ms = slopes.slope("calls.beat_ms")
    empty_bytes = slopes.slope("calls.beat_bytes") + 2 * HEADER_BYTES
    peers = (letter.DAEMONS - 1, "peers")
    return [
        multiply(
            "bytes",
            BYTES,
            letter.CONTROL_BYTES,
            peers,
            (2 * BEATS_PER_S, "exchanges/s, own and theirs"),
            (2, "messages"),
            (beat_bytes, "B"),
        ),
        multiply(
            "processor",
            CPU,
            letter.CONTROL_CPU_MS,
            peers,
            (BEATS_PER_S, "own and their exchanges/s"),
            (2 * write_ms + 2 * read_ms, "ms to write and read both"),
        ),
        multiply(
            "memory of views and roster",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            MEMBERS,
            (slopes.slope("beats.memory_kb") / KB_PER_MB, "MiB, addresses too"),
        ),
        multiply(
            "a graph: bytes of beats, one a second",
            BYTES,
            letter.CONTROL_BYTES,
            (GRAPH_DEGREE, "exchanges/s, half of them answered"),
            (empty_bytes, "B, headers too"),
        ),
        multiply(
            "a graph: processor of beats",
            CPU,
            letter.CONTROL_CPU_MS,
            (GRAPH_DEGREE, "exchanges/s"),
            (empty_ms / 2, "ms, one of two ends"),
        ),
        multiply(
            "a graph: bytes of deaths, joins and leaves",
            BYTES,
            letter.CONTROL_BYTES,
            CHANGES,
            (2 * GRAPH_DEGREE, "messages, in and out"),
            (EVENT_BYTES + HEADER_BYTES, "B"),
        ),
        multiply(
            "a graph: bytes of the platform's last answer",
            BYTES,
            letter.CONTROL_BYTES,
            (1, "/s"),
            (2 * GRAPH_DEGREE, "messages, in and out"),
            (30 + HEADER_BYTES, "B"),
        ),
        multiply(
            "a graph: a failure domain dies",
            "KB at once",
            None,
            (letter.DAEMONS / letter.FAILURE_DOMAINS, "deaths"),
            (2 * GRAPH_DEGREE, "messages"),
            ((EVENT_BYTES + HEADER_BYTES) / 1000, "KB"),
        ),
    ]


def estimate_roster(slopes: Slopes) -> RoleFigures:
    """Return the cost of the roster."""
    size = slopes.value_at_largest("roster.bytes")
    return [
        multiply(
            "the roster",
            "MiB",
            letter.PLATFORM_VALUE_MB,
            MEMBERS,
            (size / letter.DAEMONS / KB_PER_MB**2, "MiB"),
        ),
        multiply(
            "bytes received",
            BYTES,
            letter.CONTROL_BYTES,
            (size, "B"),
            CHANGES,
        ),
        multiply(
            "processor to read it",
            CPU,
            letter.CONTROL_CPU_MS,
            (slopes.value_at_largest("roster.take_us") / MS_PER_S, "ms"),
            CHANGES,
        ),
        divide(
            "time until the next change",
            "s",
            None,
            (1, "s"),
            (CHANGES_PER_S, "changes/s"),
        ),
        multiply(
            "changes sent alone: bytes",
            BYTES,
            letter.CONTROL_BYTES,
            CHANGES,
            (2 * GRAPH_DEGREE, "messages, in and out"),
            (size / letter.DAEMONS + HEADER_BYTES, "B"),
        ),
    ]


def estimate_platform(slopes: Slopes) -> RoleFigures:
    """Return the calls of the whole fleet to the platform."""
    watches = slopes.value_at_largest("fleet.platform_calls_per_s")
    changed = letter.VM_FAILURES_PER_DAY + letter.RESTARTS_PER_DAY
    returning = letter.DAEMONS / letter.FAILURE_DOMAINS
    return [
        add(
            "calls",
            "/s",
            letter.PLATFORM_READS_PER_S,
            (watches, "/s measured, 3 to 12 daemons alike"),
            (
                changed * JOIN_CALLS / letter.DAY_S,
                "/s of restarts, 13 calls each",
            ),
            (1, "/s of the janitor"),
        ),
        multiply(
            "if each daemon watched for itself",
            "/s",
            letter.PLATFORM_READS_PER_S,
            (letter.DAEMONS, "daemons"),
            (2, "watches/s"),
        ),
        add(
            "writes",
            "/s",
            letter.PLATFORM_WRITES_PER_S,
            (3 * VERSIONS_PER_S, "/s of versions, 3 each"),
            (CHANGES_PER_S, "/s of joins and leaves"),
            (CHANGES_PER_S, "/s of settled epochs"),
        ),
        multiply(
            "asking whose turn it is to watch or to clean",
            CPU,
            letter.CONTROL_CPU_MS,
            (TURNS_PER_S, "times/s"),
            (slopes.value_at_largest("ranking.us") / MS_PER_S, "ms for 3,100 members"),
        ),
        multiply(
            "a domain comes back: puts that race on the roster",
            "puts",
            None,
            (returning, "daemons"),
            (returning / 2, "puts each at most, on average"),
        ),
        divide(
            "time for that at the platform's rate",
            "s",
            None,
            (returning * returning / 2, "puts"),
            (letter.PLATFORM_WRITES_PER_S, "/s"),
        ),
    ]
