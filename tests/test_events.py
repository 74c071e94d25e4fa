"""The structured log and the bounds of its queue."""

import json
import os

from bronzerelay.pooler.events import MAX_QUEUED_LINES, REQUEST_LINES_PER_S, EventLog
from tests.builders_pooler import ManualClock, make_runtime


def make_pipe_log(clock):
    reading, writing = os.pipe()
    return EventLog(make_runtime(clock), "d1", writing), reading


def read_lines(reading):
    return [json.loads(line) for line in os.read(reading, 1_000_000).splitlines()]


class TestEventLog:
    def test_line(self):
        log, reading = make_pipe_log(ManualClock())
        log.write("front", "Something happened.", request="r1", version=3)
        log.flush()
        (line,) = read_lines(reading)
        assert line["message"] == "front: Something happened."
        assert (line["node"], line["request"], line["version"]) == ("d1", "r1", 3)

    def test_flood_of_requests_is_bounded_and_counted(self):
        # During a fault thousands of requests are refused a second. A line for each
        # would use processor time that other callers need.
        clock = ManualClock()
        log, reading = make_pipe_log(clock)
        for _ in range(1000):
            log.write_request("session", "A caller was refused.")
        assert log.dropped == 1000 - REQUEST_LINES_PER_S
        log.flush()
        assert read_lines(reading)[-1]["count"] == log.dropped
        clock.sleep_ms(1000)
        log.write_request("session", "A caller was refused.")
        log.flush()
        assert len(read_lines(reading)) == 1

    def test_stalled_reader_of_the_log_blocks_no_writer(self):
        log, _ = make_pipe_log(ManualClock())
        for _ in range(MAX_QUEUED_LINES + 10):
            log.write("front", "Something happened.")
        assert log.dropped == 10
