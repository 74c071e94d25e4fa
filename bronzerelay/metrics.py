"""Counters, gauges and latencies, rendered in the Prometheus text format."""

from hdrh.histogram import HdrHistogram
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    disable_created_metrics,
    generate_latest,
)

from bronzerelay.codes import Code
from bronzerelay.runtime import Runtime

# Latency histograms: values in microseconds, from 1 µs to 10 minutes.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9, "max": 100.0}

# The `_created` series hold when a counter was first used, which no operator needs.
disable_created_metrics()

CODE_LABELS = {code: (str(int(code)), code.name.lower()) for code in Code}

# Some label values come from callers. Without a limit, a caller that invents names
# would make the daemon's memory and its /metrics page grow without bound.
LABEL_LIMIT = 2048
OTHER = "other"


class Metrics:
    """The metrics of one daemon; every method may be called from any task."""

    def __init__(self, runtime: Runtime):
        self._registry = CollectorRegistry()
        self._lock = runtime.make_lock()
        self._refusals = self._make_counter(
            "refusals", "Requests refused.", ["code", "name", "workspace"]
        )
        self._retries = self._make_counter(
            "retries", "Requests sent again.", ["reason"]
        )
        self._events = self._make_counter("events", "Events of the daemon.", ["event"])
        self._requests = self._make_counter(
            "requests", "Requests answered.", ["workspace", "group"]
        )
        self._latency = Gauge(
            "bronzerelay_latency_ms",
            "Latency of answered requests since the start, in milliseconds.",
            ["workspace", "group", "quantile"],
            registry=self._registry,
        )
        counters = (self._refusals, self._retries, self._events, self._requests)
        self._children: dict[Counter, dict[tuple, Counter]] = {
            counter: {} for counter in counters
        }
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count_refusal(self, code: Code, workspace: str) -> None:
        """Count a request of `workspace` that was refused with `code`."""
        labels = CODE_LABELS[code]
        self._increment(self._refusals, (*labels, workspace), (*labels, OTHER))

    def count_retry(self, reason: str) -> None:
        """Count a request that was retried for `reason`."""
        self._increment(self._retries, (reason,), (OTHER,))

    def count_event(self, name: str) -> None:
        """Count an event of this `name`."""
        self._increment(self._events, (name,), (OTHER,))

    def record_latency(self, workspace: str, group: str, ms: float) -> None:
        """Count an answered request and record its latency of `ms` milliseconds."""
        value_us = min(max(LOWEST_US, int(ms * 1000)), HIGHEST_US)
        with self._lock:
            histogram = self._get_histogram(workspace, group)
            histogram.record_value(value_us)
        self._increment(self._requests, (workspace, group), (OTHER, OTHER))

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge `bronzerelay_NAME`."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._make_gauge(name)
        gauge.set(value)

    def render(self) -> bytes:
        """Return the page for /metrics."""
        with self._lock:
            for (workspace, group), histogram in self._histograms.items():
                self._set_latency_gauges(workspace, group, histogram)
        return generate_latest(self._registry)

    def _make_counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(f"bronzerelay_{name}", text, labels, registry=self._registry)

    def _increment(
        self, counter: Counter, labels: tuple[str, ...], fallback: tuple[str, ...]
    ) -> None:
        """Increment the child of `labels`, or of `fallback` at the label limit."""
        children = self._children[counter]
        child = children.get(labels)
        if child is None:
            child = self._make_child(counter, labels, fallback)
        child.inc()

    def _make_child(
        self, counter: Counter, labels: tuple[str, ...], fallback: tuple[str, ...]
    ) -> Counter:
        children = self._children[counter]
        with self._lock:
            if labels not in children and len(children) >= LABEL_LIMIT:
                labels = fallback
            return children.setdefault(labels, counter.labels(*labels))

    def _make_gauge(self, name: str) -> Gauge:
        with self._lock:
            if name not in self._gauges:
                self._gauges[name] = Gauge(
                    f"bronzerelay_{name}",
                    f"The daemon's {name.replace('_', ' ')}.",
                    registry=self._registry,
                )
            return self._gauges[name]

    def _get_histogram(self, workspace: str, group: str) -> HdrHistogram:
        histogram = self._histograms.get((workspace, group))
        if histogram is None:
            if len(self._histograms) >= LABEL_LIMIT:
                workspace, group = OTHER, OTHER
            histogram = self._histograms.setdefault(
                (workspace, group),
                HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS),
            )
        return histogram

    def _set_latency_gauges(
        self, workspace: str, group: str, histogram: HdrHistogram
    ) -> None:
        for name, percentile in QUANTILES.items():
            value_ms = histogram.get_value_at_percentile(percentile) / 1000
            self._latency.labels(workspace, group, name).set(value_ms)
