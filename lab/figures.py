"""Computes the figures of a benchmark from the records of its loads."""

import statistics
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bronzerelay.codes import RAN
from standins.rates import RateLimit, find_within_rate, find_wrongful_refusals
from standins.record import Entry
from standins.summary import summarise

LOWER = "lower"
HIGHER = "higher"
# Wrongful refusals are counted per this many requests.
PER_REQUESTS = 10_000
GAP_MEDIAN_MS = 1000
GAP_WORST_MS = 3000


class Measure(NamedTuple):
    """A figure of the table.

    `better` says whether lower or higher figures are better. A difference up to `floor`
    is too small to count. `target` is the expected bound. The unit `share` stands for a
    fraction of one.
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
# The measures that matter most to each user come first in its table.
MOST_IMPORTANT = {
    "vianda": ("worst_served", "gap_median_ms", "gap_worst_ms"),
    "returns": ("wrongful", "roaming", "replica_reads"),
}


class Service(NamedTuple):
    """What a workspace got: the requests inside its rate, and how many were served."""

    workspace: str
    due: int
    served: int
    p99_ms: float

    @property
    def share(self) -> float:
        """Return the fraction of due requests that was served; 1 if none was due."""
        return self.served / self.due if self.due else 1.0


def order_measures(deployment: str) -> list[Measure]:
    """Return the measures, starting with those that matter most to the users."""
    first = MOST_IMPORTANT.get(deployment, ())
    return sorted(MEASURES, key=lambda measure: measure.name not in first)


def list_services(record: list[Entry], limits: list[RateLimit]) -> list[Service]:
    """Return what each workspace was due and got, sorted by name.

    When a workspace exceeds its rate, the system chooses which of its requests it
    admits, so only their number counts.
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


def measure_worst_served(services: list[Service]) -> dict[str, float]:
    """Return the figures of the worst-served workspace and of the median one.

    Of several with the same share, the one with the longest p99 is the worst.
    """
    worst = min(services, key=lambda service: (service.share, -service.p99_ms))
    median_share = statistics.median(service.share for service in services)
    return {
        "worst_served": worst.share / median_share if median_share else 0.0,
        "worst_p99_ms": worst.p99_ms,
        "median_p99_ms": statistics.median(service.p99_ms for service in services),
    }


def count_wrongful(
    record: Iterable[Entry], limits: Iterable[RateLimit], left_out: str = ""
) -> float:
    """Return the wrongful refusals per 10,000 requests inside the rate.

    A workspace that is far above its rate can be left out: the system chooses which of
    its requests it admits, so none of its refusals is wrongful.
    """
    limits = list(limits)
    entries = [entry for entry in record if entry.workspace != left_out]
    inside = len(find_within_rate(entries, limits))
    wrongful = len(find_wrongful_refusals(entries, limits))
    return PER_REQUESTS * wrongful / inside if inside else 0.0


def count_throughput(record: list[Entry]) -> float:
    """Return the statements that ran per second of the load."""
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
    """Return the figures of a load above the capacity of the groups."""
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
    """Return the figures in the order of the measures, with three decimals."""
    return {
        measure.name: round(figures[measure.name], 3)
        for measure in MEASURES
        if measure.name in figures
    }
