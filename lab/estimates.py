"""The terms of the estimates, and what the letter's size means for one daemon."""

from lab import letter
from lab.arithmetic import Figure, Slopes, divide, multiply

MS_PER_S = 1000
KB_PER_MB = 1024
# Headers of TCP and IP on each message, with time stamps.
HEADER_BYTES = 52
# Today's periods, in each second.
BEATS_PER_S = 5
TENDS_PER_S = 5
STATUS_WAIT_MS = 150
STATUS_MARGIN_MS = 250
CHECKS_PER_S = 40
# Two watches ask each 200 ms, the janitor once a second.
TURNS_PER_S = 11
# What the proposed mechanisms would use.
PROCESS_LOAD = 0.6
LONG_POLL_MS = 5000
PART_GROUPS = 4
SUSPECT_MS = 3000
REDIAL_MS = 300
GRAPH_DEGREE = 6
EVENT_BYTES = 76
# A version with its part's number, and what proves it: digests and two signatures.
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

Role = list[Figure]


def work_out_sizes() -> Role:
    """Return what the letter's size means for one daemon."""
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


def work_out_base(slopes: Slopes) -> Role:
    """Return the memory of a daemon, and what is left for the roles."""
    return [
        multiply(
            "a daemon that has nothing to do",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (slopes.at("fleet.memory_kb", 3) / KB_PER_MB, "MiB measured"),
        )
    ]
