"""Tests of counters, gauges and latencies."""

from prometheus_client.parser import text_string_to_metric_families

from bronzerelay.codes import Code
from bronzerelay.metrics import LABEL_LIMIT, OTHER, Metrics
from bronzerelay.runtime import Runtime


def read_samples(metrics: Metrics) -> dict[tuple, float]:
    """Return the samples of the page, by name and label values."""
    families = text_string_to_metric_families(metrics.render().decode())
    samples = (sample for family in families for sample in family.samples)
    return {(s.name, *sorted(s.labels.values())): s.value for s in samples}


def test_counts_from_many_tasks_are_complete():
    """Guards against lost updates when several tasks count at the same time."""
    runtime = Runtime(task_limit=8)
    metrics = Metrics(runtime)

    def count():
        for number in range(1000):
            metrics.count_refusal(Code.RATE_EXCEEDED, "shop")
            metrics.count_retry("lost")
            metrics.count_event("promotion")
            metrics.record_latency("shop", "orders", number)

    tasks = [runtime.start(count) for _ in range(8)]
    assert [task.result() for task in tasks] == [None] * 8
    samples = read_samples(metrics)
    refusal = ("bronzerelay_refusals_total", "301", "rate_exceeded", "shop")
    assert samples[refusal] == 8000
    assert samples["bronzerelay_retries_total", "lost"] == 8000
    assert samples["bronzerelay_events_total", "promotion"] == 8000
    assert samples["bronzerelay_requests_total", "orders", "shop"] == 8000
    expected = {"p50": 499, "p99": 989, "p999": 998, "max": 999}
    for quantile, value in expected.items():
        labels = sorted(["orders", "shop", quantile])
        shown = samples["bronzerelay_latency_ms", *labels]
        assert abs(shown - value) <= value / 50
    assert runtime.close(1000)


def test_gauges_and_out_of_range_latencies():
    metrics = Metrics(Runtime(1))
    metrics.set_gauge("connections", 4)
    metrics.set_gauge("connections", 3)
    for ms in (-1, 0, 10**9):
        metrics.record_latency("shop", "orders", ms)
    samples = read_samples(metrics)
    assert samples["bronzerelay_requests_total", "orders", "shop"] == 3
    assert samples["bronzerelay_latency_ms", "max", "orders", "shop"] >= 590_000
    assert samples["bronzerelay_connections",] == 3


def test_invented_names_add_labels_only_up_to_the_limit():
    """A caller sends a new workspace name with each request. Without a limit, the
    daemon's memory and its /metrics page would grow without bound.
    """
    metrics = Metrics(Runtime(1))
    for number in range(LABEL_LIMIT + 50):
        metrics.count_refusal(Code.QUEUE_FULL, f"shop-{number}")
        metrics.record_latency(f"shop-{number}", "orders", 1)
    samples = read_samples(metrics)
    refusals = [key for key in samples if key[0] == "bronzerelay_refusals_total"]
    assert len(refusals) == LABEL_LIMIT + 1
    assert samples["bronzerelay_refusals_total", "302", OTHER, "queue_full"] == 50
    latencies = [key for key in samples if key[0] == "bronzerelay_latency_ms"]
    assert len(latencies) == 4 * (LABEL_LIMIT + 1)
    assert samples["bronzerelay_requests_total", OTHER, OTHER] == 50
