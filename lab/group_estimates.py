"""Estimates the cost of watching groups, promotion and rates at the required scale."""

from lab import letter
from lab.arithmetic import Slopes, add, divide, multiply
from lab.estimates import (
    BYTES,
    CHANGES,
    CHANGES_PER_S,
    CHECKS_PER_S,
    CPU,
    GROUP_CHECKS_PER_S,
    HEADER_BYTES,
    KB_PER_MB,
    LONG_POLL_MS,
    MS_PER_S,
    REDIAL_MS,
    STATUS_MARGIN_MS,
    STATUS_WAIT_MS,
    SUSPECT_MS,
    RoleFigures,
)


def estimate_watching(slopes: Slopes) -> RoleFigures:
    """Return the cost of watching a daemon's groups."""
    groups = (letter.GROUPS / letter.DAEMONS, "groups")
    messages = slopes.slope("watching.messages_per_s")
    payload = slopes.slope("watching.bytes_per_s")
    headers = 2 * messages * HEADER_BYTES
    long_poll_ratio = STATUS_WAIT_MS / LONG_POLL_MS
    cpu = slopes.slope("watching.cpu_ms_per_s")
    tending = slopes.slope("tending.us") / MS_PER_S
    ranking = slopes.value_at_largest("ranking.us") / 1e6
    hash_ms = slopes.value_at_largest("ranking.us") / letter.DAEMONS / MS_PER_S
    served = letter.GROUPS / letter.DAEMONS * 4
    return [
        multiply(
            "processor", CPU, letter.CONTROL_CPU_MS, groups, (cpu, "ms/s a group")
        ),
        multiply("messages out", "/s", None, groups, (messages, "polls/s a group")),
        multiply(
            "bytes",
            BYTES,
            letter.CONTROL_BYTES,
            groups,
            (payload + headers, "B/s a group, headers too"),
        ),
        multiply(
            "memory",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            groups,
            (slopes.slope("watching.memory_kb") / KB_PER_MB, "MiB"),
        ),
        multiply(
            "bytes with polls of 5 s",
            BYTES,
            letter.CONTROL_BYTES,
            groups,
            (payload + headers, "B/s a group"),
            (long_poll_ratio, "as many polls"),
        ),
        multiply(
            "going over all groups for own ones",
            CPU,
            letter.CONTROL_CPU_MS,
            (letter.GROUPS, "groups"),
            (tending, "ms"),
            (GROUP_CHECKS_PER_S, "times/s"),
        ),
        multiply(
            "ranking all groups anew after a change",
            CPU,
            letter.CONTROL_CPU_MS,
            (letter.GROUPS, "groups"),
            (ranking * MS_PER_S, "ms for 3,100 members"),
            CHANGES,
        ),
        multiply(
            "one hash a group at each join",
            CPU,
            letter.CONTROL_CPU_MS,
            (letter.GROUPS, "groups"),
            (hash_ms, "ms a hash"),
            (CHANGES_PER_S / 2, "joins/s"),
        ),
        multiply(
            "ranking only the leaver's groups",
            CPU,
            letter.CONTROL_CPU_MS,
            (served, "groups that list it"),
            (ranking * MS_PER_S, "ms"),
            (CHANGES_PER_S / 2, "leaves/s"),
        ),
    ]


def estimate_promotion(slopes: Slopes) -> RoleFigures:
    """Return the duration and the cost of a primary change."""
    promotion = slopes.value_at("promotion.ms", letter.INSTANCES)
    return [
        add(
            "a change of primary today",
            "ms",
            letter.PRIMARY_CHANGE_MS,
            (STATUS_WAIT_MS + STATUS_MARGIN_MS, "ms for a lost poll"),
            (REDIAL_MS, "ms for a refused redial"),
            (MS_PER_S / CHECKS_PER_S, "ms to the next check"),
            (promotion, "ms to fence and promote"),
        ),
        add(
            "with polls of 5 s, and the serving daemon lost too",
            "ms",
            letter.PRIMARY_CHANGE_MS,
            (SUSPECT_MS, "ms until the daemon is suspected"),
            (LONG_POLL_MS + STATUS_MARGIN_MS, "ms for a lost poll"),
            (REDIAL_MS, "ms for a refused redial"),
            (promotion, "ms to fence and promote"),
        ),
        multiply(
            "processor",
            CPU,
            letter.CONTROL_CPU_MS,
            (letter.PRIMARY_CHANGES_PER_DAY / letter.DAY_S, "changes/s in the fleet"),
            (
                slopes.value_at("promotion.cpu_ms", letter.INSTANCES),
                "ms, instances' part too",
            ),
        ),
        divide(
            "promotions of a daemon when a failure domain goes",
            "at once",
            None,
            (letter.GROUPS / letter.FAILURE_DOMAINS, "groups"),
            (letter.DAEMONS * (1 - 1 / letter.FAILURE_DOMAINS), "daemons left"),
        ),
    ]


def estimate_shares(slopes: Slopes) -> RoleFigures:
    """Return the cost of the workspaces' rates."""
    accounts = (letter.WORKSPACES, "workspaces")
    memory = slopes.slope("accounts.memory_kb") / KB_PER_MB
    held = letter.WORKSPACES * letter.HOLDERS / letter.DAEMONS
    split = slopes.value_at_largest("splits.us") / MS_PER_S
    loan = slopes.slope("calls.loan_ms")
    loan_bytes = slopes.slope("calls.loan_bytes") + 2 * HEADER_BYTES
    statements = letter.STATEMENTS_PER_S / letter.DAEMONS
    # An account is split among the members when the roster changes, and again when the
    # change is confirmed.
    splits = 2 * CHANGES_PER_S
    return [
        multiply("memory", "MiB", letter.CONTROL_MEMORY_MB, accounts, (memory, "MiB")),
        multiply(
            "splitting all accounts",
            CPU,
            letter.CONTROL_CPU_MS,
            accounts,
            (split, "ms for 3,100 members"),
            (splits, "times/s"),
        ),
        divide(
            "statements of a workspace at one daemon",
            "/s",
            None,
            (letter.STATEMENTS_PER_S, "statements/s"),
            accounts,
            (letter.DAEMONS, "daemons"),
        ),
        multiply(
            "bytes, a loan for each statement",
            BYTES,
            letter.CONTROL_BYTES,
            (statements, "loans/s"),
            (loan_bytes, "B"),
        ),
        multiply(
            "processor, a loan for each statement",
            CPU,
            letter.CONTROL_CPU_MS,
            (statements, "loans/s"),
            (loan, "ms, both ends"),
        ),
        divide(
            "accounts held with 16 holders for each",
            "",
            None,
            (letter.WORKSPACES * letter.HOLDERS, "parts"),
            (letter.DAEMONS, "daemons"),
        ),
        multiply(
            "memory, held accounts alone",
            "MiB",
            letter.CONTROL_MEMORY_MB,
            (held, "accounts"),
            (memory, "MiB"),
        ),
        multiply(
            "splitting only what a change touches",
            CPU,
            letter.CONTROL_CPU_MS,
            (held, "accounts held"),
            (split, "ms"),
            (splits, "times/s"),
            (letter.HOLDERS / letter.DAEMONS, "of them with the changed member"),
        ),
    ]
