"""Tests of the page of counters and latencies."""

from bronzerelay.pooler.counters import LABEL_LIMIT, Counters
from tests.builders_pooler import make_runtime


class TestCounters:
    def test_page(self):
        counters = Counters(make_runtime())
        counters.count("refusals", code="rate_exceeded")
        counters.count("refusals", code="rate_exceeded")
        for _ in range(10):
            counters.record_ms("orders", 20.0)
        page = counters.render({"tasks": 7}).decode()
        assert "bronzerelay_tasks 7" in page
        assert 'bronzerelay_refusals_total{code="rate_exceeded"} 2' in page
        assert 'bronzerelay_latency_ms_count{route="orders"} 10' in page
        assert 'bronzerelay_latency_ms{route="orders",quantile="0.5"} 20' in page

    def test_bytes_by_kind(self):
        counters = Counters(make_runtime())
        for size in (100, 20):
            counters.count_bytes("statements", True, size)
        counters.count_bytes("statements", False, 3)
        lines = counters.render({}).decode().splitlines()
        assert lines == [
            'bronzerelay_bytes_total{kind="statements",remote="no"} 3',
            'bronzerelay_bytes_total{kind="statements",remote="yes"} 120',
        ]

    def test_labels_are_bounded_and_escaped(self):
        counters = Counters(make_runtime())
        for number in range(LABEL_LIMIT + 50):
            counters.count("refusals", code=f'a"{number}\n')
        lines = counters.render({}).decode().splitlines()
        assert len(lines) == LABEL_LIMIT + 1
        assert all(line.startswith("bronzerelay_refusals_total{") for line in lines)
