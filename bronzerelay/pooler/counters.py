"""Counters and latency histograms, rendered in the Prometheus text format.

The format is written here because importing `prometheus-client` adds 12 MB to the
resident size of a process (measured on Linux with Python 3.11).
"""

from hdrh.histogram import HdrHistogram

from bronzerelay.runtime import Runtime

PREFIX = "bronzerelay_"
# Latencies are recorded in microseconds, from 1 µs to a minute, with two digits.
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# The most label sets of a counter, and the most histograms. Labels may come from
# callers and would otherwise exhaust the memory.
LABEL_LIMIT = 512
OVERFLOW_LABELS = (("other", "1"),)

Labels = tuple[tuple[str, str], ...]


class Counters:
    """The counters and histograms of one daemon; safe to call from any task."""

    def __init__(self, runtime: Runtime):
        self._lock = runtime.make_lock()
        self._counts: dict[str, dict[Labels, int]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter under its labels."""
        self._add(name, tuple(sorted(labels.items())), 1)

    def count_bytes(self, kind: str, is_remote: bool, count: int) -> None:
        """Add the bytes of a message; `is_remote` if it left its failure domain.

        A message whose other end is in an unknown failure domain counts as remote.
        """
        remote = "yes" if is_remote else "no"
        self._add("bytes", (("kind", kind), ("remote", remote)), count)

    def _add(self, name: str, key: Labels, amount: int) -> None:
        with self._lock:
            counts = self._counts.setdefault(name, {})
            if key not in counts and len(counts) >= LABEL_LIMIT:
                key = OVERFLOW_LABELS
            counts[key] = counts.get(key, 0) + amount

    def record_ms(self, name: str, took_ms: float) -> None:
        """Add a latency in milliseconds to a histogram."""
        value_us = min(max(LOWEST_US, int(took_ms * 1000)), HIGHEST_US)
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                if len(self._histograms) >= LABEL_LIMIT:
                    return
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(value_us)

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return the page, including the current values of `gauges`."""
        lines = [f"{PREFIX}{name} {value:g}" for name, value in gauges.items()]
        with self._lock:
            for name, counts in sorted(self._counts.items()):
                for labels, value in sorted(counts.items()):
                    lines.append(f"{PREFIX}{name}_total{_format(labels)} {value}")
            for name, histogram in sorted(self._histograms.items()):
                lines += _format_histogram(name, histogram)
        return ("\n".join(lines) + "\n").encode()


def _format(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + inner + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _format_histogram(name: str, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value_ms = histogram.get_value_at_percentile(quantile) / 1000
        label = _format((("route", name), ("quantile", f"{quantile / 100:g}")))
        lines.append(f"{PREFIX}latency_ms{label} {value_ms:g}")
    count = _format((("route", name),))
    lines.append(f"{PREFIX}latency_ms_count{count} {histogram.get_total_count()}")
    return lines
