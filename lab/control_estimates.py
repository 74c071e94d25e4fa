"""Estimates the total cost of control, with the mechanisms that the page proposes."""

from lab import estimates, group_estimates, letter, spread_estimates
from lab.arithmetic import Figure, Slopes, add, find_figure
from lab.estimates import BYTES, CPU, LONG_POLL_MS, STATUS_WAIT_MS, RoleFigures

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


def estimate_control(slopes: Slopes) -> RoleFigures:
    """Return the sums over all roles, as far as they are measured."""
    figures: list[Figure] = [
        *group_estimates.estimate_watching(slopes),
        *group_estimates.estimate_shares(slopes),
        *spread_estimates.estimate_configuration(slopes),
        *spread_estimates.estimate_membership(slopes),
        *spread_estimates.estimate_roster(slopes),
        *estimates.estimate_base(slopes),
    ]

    def list_terms(parts: tuple[tuple[str, str], ...]) -> list[tuple[float, str]]:
        return [(find_figure(figures, what).value, label) for what, label in parts]

    polls = find_figure(figures, "processor").value * STATUS_WAIT_MS / LONG_POLL_MS
    watch = find_figure(group_estimates.estimate_watching(slopes), "memory").value
    cpu = [(polls, "polls"), *list_terms(CPU_PARTS)]
    return [
        add("bytes", BYTES, letter.CONTROL_BYTES, *list_terms(BYTES_PARTS)),
        add("processor", CPU, letter.CONTROL_CPU_MS, *cpu),
        add(
            "memory, without the configuration",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (watch, "watches"),
            *list_terms(MEMORY_PARTS),
        ),
    ]
