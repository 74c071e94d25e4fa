"""Tests of the log of refused requests."""

import io
import json

from bronzerelay import logs
from bronzerelay.codes import NOT_RUN, Code, Refusal
from bronzerelay.refusallog import (
    PERIOD_MS,
    REASON_LENGTH,
    TOTAL_LINES,
    WORKSPACE_LINES,
    RefusalLog,
    RefusedRequest,
)

REFUSAL = Refusal(Code.DEADLINE_PASSED, "no slot came free in time", NOT_RUN, 20)


class Trial:
    """A log of refusals, and the lines that it wrote."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.stream = io.StringIO()
        self.log = RefusalLog(runtime, logs.open_log("kernel", self.stream))

    def record(self, workspace, count=1):
        for number in range(count):
            began_ms = self.runtime.clock.now_ms()
            request = RefusedRequest(f"{workspace}-{number}", workspace, began_ms)
            self.log.record("Refused.", request, REFUSAL, lambda: {"waiting": 3})

    def read_lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]


def test_a_flood_of_refusals_hides_none_of_another_workspace(runtime):
    """Guards against a refusal whose cause nobody logged, as a flood used all lines."""
    trial = Trial(runtime)
    trial.record("flood", 500)
    trial.record("small")
    lines = trial.read_lines()
    assert [line["workspace"] for line in lines] == ["flood"] * WORKSPACE_LINES + [
        "small"
    ]
    assert lines[-1]["request_id"] == "small-0"
    assert lines[-1]["waiting"] == 3
    assert lines[-1]["omitted"] == 500 - WORKSPACE_LINES


def test_refusals_of_many_workspaces_write_a_bounded_number_of_lines(runtime):
    """Guards against a log that costs more than the requests that it reports."""
    trial = Trial(runtime)
    for number in range(10 * TOTAL_LINES):
        trial.record(f"workspace-{number}")
    assert len(trial.read_lines()) == TOTAL_LINES
    runtime.sleep_ms(PERIOD_MS)
    trial.record("late")
    assert trial.read_lines()[-1]["workspace"] == "late"


def test_a_huge_text_of_a_caller_makes_no_huge_line(runtime):
    """Guards against a caller that fills the log and memory with a name it made up."""
    trial = Trial(runtime)
    refusal = REFUSAL._replace(message="no group '" + "x" * 1_000_000 + "'")
    request = RefusedRequest("r1", "north", runtime.clock.now_ms())
    trial.log.record("Refused.", request, refusal, dict)
    trial.record("small")
    first, second = trial.read_lines()
    assert first["reason"] == refusal.message[:REASON_LENGTH] + "..."
    assert second["reason"] == REFUSAL.message
