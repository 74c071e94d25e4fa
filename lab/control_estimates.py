"""What control takes in all, with the mechanisms that the page names."""

from lab import estimates, group_estimates, letter, spread_estimates
from lab.arithmetic import Figure, Slopes, add, pick
from lab.estimates import BYTES, CPU, LONG_POLL_MS, STATUS_WAIT_MS, Role

BYTES_PARTS = (
    ("bytes with polls of 5 s", "polls"),
    ("a graph: bytes of beats, one a second", "beats"),
    ("a graph: bytes of deaths, joins and leaves", "members' changes"),
    ("a graph: bytes of the platform's last answer", "platform's answer"),
    ("in parts: bytes of announcements", "versions"),
    ("in parts: bytes of the changed part", "parts"),
    ("changes sent alone: bytes", "roster"),
)
CPU_PARTS = (
    ("one hash a group at each join", "joins"),
    ("ranking only the leaver's groups", "leaves"),
    ("a graph: processor of beats", "beats"),
    ("in parts: processor to accept", "parts"),
    ("splitting only what a change touches", "shares"),
)
MEMORY_PARTS = (
    ("a daemon that has nothing to do", "process"),
    ("memory of views and roster", "views"),
    ("memory, held accounts alone", "accounts"),
)


def work_out_control(slopes: Slopes) -> Role:
    """Return the sums over all roles, without what isn't measured."""
    figures: list[Figure] = [
        *group_estimates.work_out_watching(slopes),
        *group_estimates.work_out_shares(slopes),
        *spread_estimates.work_out_configuration(slopes),
        *spread_estimates.work_out_membership(slopes),
        *spread_estimates.work_out_roster(slopes),
        *estimates.work_out_base(slopes),
    ]

    def take(parts: tuple[tuple[str, str], ...]) -> list[tuple[float, str]]:
        return [(pick(figures, what).value, label) for what, label in parts]

    polls = pick(figures, "processor").value * STATUS_WAIT_MS / LONG_POLL_MS
    watch = pick(group_estimates.work_out_watching(slopes), "memory").value
    cpu = [(polls, "polls"), *take(CPU_PARTS)]
    return [
        add("bytes", BYTES, letter.CONTROL_BYTES, *take(BYTES_PARTS)),
        add("processor", CPU, letter.CONTROL_CPU_MS, *cpu),
        add(
            "memory, without the configuration",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (watch, "watches"),
            *take(MEMORY_PARTS),
        ),
    ]
