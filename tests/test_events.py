"""The structured log and the bounds of its queue."""

import json
import os

import pytest

from bronzerelay.pooler.events import (
    MAX_FIELD_LENGTH,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_LINES,
    REQUEST_LINES_PER_S,
    EventLog,
)
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

    def test_long_text_is_cut_in_the_middle(self):
        """Guards against lines of several MiB that hold a caller's text."""
        log, _ = make_pipe_log(ManualClock())
        log.write("session", "A caller was refused.", detail="a" * 1_000_000 + "z")
        line = json.loads(log._lines[0])
        assert len(line["detail"]) < 2 * MAX_FIELD_LENGTH
        assert (line["detail"][0], line["detail"][-1]) == ("a", "z")

    def test_long_lines_are_bounded_in_sum(self):
        """Guards against a queue that takes the memory of the process."""
        log, _ = make_pipe_log(ManualClock())
        fields = {f"field{n}": "x" * MAX_FIELD_LENGTH for n in range(10)}
        for _ in range(MAX_QUEUED_LINES):
            log.write("session", "A caller was refused.", **fields)
        queued = sum(len(line) for line in log._lines)
        assert queued < MAX_QUEUED_BYTES + 30 * MAX_FIELD_LENGTH
        assert log.dropped == MAX_QUEUED_LINES - len(log._lines)

    def test_written_lines_leave_room(self):
        """Guards against a log that ends once its first bytes are written."""
        log, _ = make_pipe_log(ManualClock())
        log._descriptor = os.open(os.devnull, os.O_WRONLY)
        fields = {f"field{n}": "x" * MAX_FIELD_LENGTH for n in range(10)}
        for _ in range(3 * MAX_QUEUED_BYTES // (10 * MAX_FIELD_LENGTH)):
            log.write("session", "A caller was refused.", **fields)
            log.flush()
        assert log.dropped == 0

    @pytest.mark.parametrize("value", ["\ud800 no file", object()])
    def test_value_that_cant_be_encoded_ends_no_task(self, value):
        """Guards against a log line that ends the task which writes it."""
        log, reading = make_pipe_log(ManualClock())
        log.write("config", "Something happened.", error=value, version=3)
        log.flush()
        (line,) = read_lines(reading)
        assert line["message"] == "config: Something happened."
        assert line["error"] in ("\\ud800 no file", repr(value))
