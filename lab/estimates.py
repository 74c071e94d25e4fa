"""Constants of the estimates, and what the required scale means for one daemon."""

from lab import letter
from lab.arithmetic import Figure, Slopes, divide, multiply

MS_PER_S = 1000
KB_PER_MB = 1024
# TCP and IP headers of each message, with TCP timestamps.
HEADER_BYTES = 52
# Today's rates per second, and today's waits.
BEATS_PER_S = 5
GROUP_CHECKS_PER_S = 5
STATUS_WAIT_MS = 150
STATUS_MARGIN_MS = 250
CHECKS_PER_S = 40
# How often a daemon checks whether it's its turn: two watches every 200 ms each, and
# the janitor once a second.
TURNS_PER_S = 11
# Parameters of the proposed mechanisms.
PROCESS_LOAD = 0.6
LONG_POLL_MS = 5000
PART_GROUPS = 4
SUSPECT_MS = 3000
REDIAL_MS = 300
GRAPH_DEGREE = 6
EVENT_BYTES = 76
# The announcement of a version with its part's number, and what proves a part: digests
# and two signatures.
ANNOUNCED_BYTES = 20
SIGNED_BYTES = 250
EVENTS_PER_RESTART = 2
JOIN_CALLS = 13
MEMBERS = (letter.DAEMONS, "members")
CHANGES_PER_S = (
    (letter.VM_FAILURES_PER_DAY + letter.RESTARTS_PER_DAY)
    * EVENTS_PER_RESTART
    / letter.DAY_S
)
VERSIONS_PER_S = letter.VERSIONS_PER_DAY / letter.DAY_S
CPU = "ms/s"
BYTES = "B/s"
CHANGES = (CHANGES_PER_S, "roster changes/s")
VERSIONS = (VERSIONS_PER_S, "versions/s")

RoleFigures = list[Figure]


def estimate_sizes() -> RoleFigures:
    """Return what the required scale means for one daemon."""
    daemons = (letter.DAEMONS, "daemons")
    changed = letter.VM_FAILURES_PER_DAY + letter.RESTARTS_PER_DAY
    return [
        divide(
            "connections",
            "",
            None,
            (letter.CONNECTIONS, "connections"),
            daemons,
        ),
        divide(
            "statements", "/s", None, (letter.STATEMENTS_PER_S, "statements/s"), daemons
        ),
        divide("groups served", "", None, (letter.GROUPS, "groups"), daemons),
        multiply(
            "instances watched",
            "",
            None,
            (letter.GROUPS / letter.DAEMONS, "groups"),
            (letter.INSTANCES, "instances"),
        ),
        divide(
            "roster changes in the fleet",
            "/s",
            None,
            (changed * EVENTS_PER_RESTART, "leaves and joins a day"),
            (letter.DAY_S, "s"),
        ),
        divide(
            "versions",
            "/s",
            None,
            (letter.VERSIONS_PER_DAY, "versions a day"),
            (letter.DAY_S, "s"),
        ),
        divide(
            "groups with their primary in one failure domain",
            "",
            None,
            (letter.GROUPS, "groups"),
            (letter.FAILURE_DOMAINS, "failure domains"),
        ),
    ]


def estimate_base(slopes: Slopes) -> RoleFigures:
    """Return the memory of an idle daemon."""
    return [
        multiply(
            "a daemon that has nothing to do",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (slopes.value_at("fleet.memory_kb", 3) / KB_PER_MB, "MiB measured"),
        )
    ]
