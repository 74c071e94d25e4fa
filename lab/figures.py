"""Works out the figures of a benchmark from the records of its loads."""

import statistics
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bronzerelay.codes import RAN
from standins.rates import RateLimit, find_within_rate, find_wrongful_refusals
from standins.record import Entry
from standins.summary import summarise

LOWER = "lower"
HIGHER = "higher"
PER = 10_000
GAP_MEDIAN_MS = 1000
GAP_WORST_MS = 3000


class Measure(NamedTuple):
    """A figure of the table.

    `better` is the direction; `floor` is a difference too small to count; `target`
    is the bound that is expected. A `share` is a fraction of one.
    """

    name: str
    title: str
    unit: str
    better: str
    floor: float
    target: float | None = None


MEASURES = (
    Measure(
        "replica_reads", "reads on replicas, 50 ms lag", "share", HIGHER, 0.02, 0.9
    ),
    Measure("gap_median_ms", "failover gap, median", "ms", LOWER, 300, GAP_MEDIAN_MS),
    Measure("gap_worst_ms", "failover gap, worst", "ms", LOWER, 600, GAP_WORST_MS),
    Measure("broken_promises", "broken promises in all of it", "count", LOWER, 0, 0),
    Measure(
        "worst_served", "worst-served workspace / median", "share", HIGHER, 0.02, 0.95
    ),
    Measure("worst_p99_ms", "p99 of the worst-served one", "ms", LOWER, 40),
    Measure("median_p99_ms", "p99 of the median one", "ms", LOWER, 40),
    Measure("wrongful", "wrongful refusals, 5 times", "per 10,000", LOWER, 2, 0),
    Measure("roaming", "wrongful refusals, roaming", "per 10,000", LOWER, 2, 0),
    Measure("p50_ms", "p50 at today's rates", "ms", LOWER, 5),
    Measure("p99_ms", "p99 at today's rates", "ms", LOWER, 40),
    Measure("rush_per_s", "throughput in a rush", "per s", HIGHER, 50),
    Measure("rush_p50_ms", "p50 in a rush", "ms", LOWER, 10),
    Measure("rush_p99_ms", "p99 in a rush", "ms", LOWER, 100),
)
# What each of our users weighs most comes first in its table.
WEIGHED = {
    "vianda": ("worst_served", "gap_median_ms", "gap_worst_ms"),
    "returns": ("wrongful", "roaming", "replica_reads"),
}


class Service(NamedTuple):
    """What a workspace got: requests inside its rate, and how many were served."""

    workspace: str
    due: int
    served: int
    p99_ms: float

    @property
    def share(self) -> float:
        """Return the share served of what was due; all of it when nothing was."""
        return self.served / self.due if self.due else 1.0


def order_measures(deployment: str) -> list[Measure]:
    """Return the measures, with those first that the deployment's users weigh most."""
    weighed = WEIGHED.get(deployment, ())
    return sorted(MEASURES, key=lambda measure: measure.name not in weighed)


def list_services(record: list[Entry], limits: list[RateLimit]) -> list[Service]:
    """Return what each workspace got of what it was due, in the order of names.

    Which requests of a workspace above its rate are admitted is up to the system; only
    their number counts.
    """
    inside = find_within_rate(record, limits)
    services = []
    for workspace in sorted({entry.workspace for entry in record}):
        own = [entry for entry in record if entry.workspace == workspace]
        due = sum(entry.workspace == workspace for entry in inside)
        ran = sum(entry.ran == RAN for entry in own)
        p99_ms = summarise(own).p99_ms
        services.append(Service(workspace, due, min(ran, due), p99_ms))
    return services


def judge_services(services: list[Service]) -> dict[str, float]:
    """Return how the worst-served workspace fared against the median one.

    Of several with the same share, the one with the longest p99 is the worst.
    """
    worst = min(services, key=lambda one: (one.share, -one.p99_ms))
    median_share = statistics.median(one.share for one in services)
    return {
        "worst_served": worst.share / median_share if median_share else 0.0,
        "worst_p99_ms": worst.p99_ms,
        "median_p99_ms": statistics.median(one.p99_ms for one in services),
    }


def count_wrongful(
    record: Iterable[Entry], limits: Iterable[RateLimit], left_out: str = ""
) -> float:
    """Return the wrongful refusals for each 10,000 requests inside the rate.

    A workspace that is far above its rate is left out: which of its requests are
    admitted is up to the system, so that one refused for another is none.
    """
    limits = list(limits)
    entries = [entry for entry in record if entry.workspace != left_out]
    inside = len(find_within_rate(entries, limits))
    wrongful = len(find_wrongful_refusals(entries, limits))
    return PER * wrongful / inside if inside else 0.0


def count_throughput(record: list[Entry]) -> float:
    """Return the statements that ran for each second of the run."""
    ran_ms = [entry.answered_ms for entry in record if entry.ran == RAN]
    first_ms = min((entry.due_ms for entry in record), default=0.0)
    if not ran_ms or max(ran_ms) <= first_ms:
        return 0.0
    return len(ran_ms) * 1000 / (max(ran_ms) - first_ms)


def measure_steady(record: list[Entry]) -> dict[str, float]:
    """Return the figures of a load inside all rates."""
    summary = summarise(record)
    return {
        "replica_reads": summary.replica_share,
        "p50_ms": summary.p50_ms,
        "p99_ms": summary.p99_ms,
    }


def measure_rush(record: list[Entry]) -> dict[str, float]:
    """Return the figures of a load above what the groups can take."""
    summary = summarise(record)
    return {
        "rush_per_s": count_throughput(record),
        "rush_p50_ms": summary.p50_ms,
        "rush_p99_ms": summary.p99_ms,
    }


def measure_gaps(gaps_ms: list[float]) -> dict[str, float]:
    """Return the median and the worst of the failover gaps."""
    return {"gap_median_ms": statistics.median(gaps_ms), "gap_worst_ms": max(gaps_ms)}


def round_figures(figures: Mapping[str, float]) -> dict[str, float]:
    """Return the figures in the order of the measures, with three digits."""
    return {
        measure.name: round(figures[measure.name], 3)
        for measure in MEASURES
        if measure.name in figures
    }
