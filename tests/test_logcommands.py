"""Tests of the commands that read daemons' logs."""

import json

import pytest
from click.testing import CliRunner

from bronzerelay.cli import main
from bronzerelay.logcommands import select_changes, select_story
from bronzerelay.loglines import read_lines
from bronzerelay.logsummary import Waits, describe, format_table, summarize


def make_line(time_ms, node="d1", part="session", **fields):
    head = {"time_ms": time_ms, "steady_ms": 1.0, "node": node, "part": part}
    return json.dumps({**head, "message": f"{part}: Something.", **fields}) + "\n"


LOG = [
    make_line(1000, part="config", version=3),
    make_line(2000, part="runner", request="r1", service="s1", outcome="lost"),
    make_line(2500, node="d2", part="leads", service="s1", epoch=4),
    make_line(2600, node="d2", part="leads", service="s2", epoch=1),
    make_line(3000, request="r1", reason="outcome_unknown"),
    make_line(3100, request="r2", reason="rate_exceeded"),
    make_line(90000, part="config", version=4),
    "Traceback: no log line\n",
    "{broken\n",
]


class TestStory:
    def test_request_with_context_lines(self):
        story = select_story(read_lines([LOG]), "r1")
        assert [line.time_ms for line in story] == [1000, 2000, 2500, 3000]

    def test_lines_of_several_files_are_sorted_by_time(self):
        lines = read_lines([LOG[4:6], LOG[:4]])
        assert [line.time_ms for line in lines] == sorted(
            line.time_ms for line in lines
        )

    def test_unknown_request(self):
        assert select_story(read_lines([LOG]), "r9") == []

    def test_changes_of_one_service(self):
        lines = read_lines([LOG])
        assert len(select_changes(lines, None)) == 2
        assert [line.fields["epoch"] for line in select_changes(lines, "s1")] == [4]


class TestCommands:
    def test_story(self, tmp_path):
        path = tmp_path / "d1.log"
        path.write_text("".join(LOG))
        result = CliRunner().invoke(main, ["story", "r1", str(path)])
        assert result.exit_code == 0
        assert "reason=outcome_unknown" in result.output
        assert "r2" not in result.output

    def test_story_from_standard_input(self):
        result = CliRunner().invoke(main, ["story", "r9"], input="".join(LOG))
        assert result.exit_code == 1
        assert "no line names the request r9" in result.output

    def test_text_of_a_caller_stays_in_its_field(self):
        """Guards against a caller's text that looks like other lines or fields."""
        text = "a\n+0 ms  d1  \x1b[31m reason=done\u202e\x9b"
        log = [make_line(3000, request="r1", reason=text, shape='q1 "r')]
        result = CliRunner().invoke(main, ["story", "r1"], input="".join(log))
        assert result.output.count("\n") == 1
        assert '"a\\n+0 ms  d1  \\u001b[31m reason=done\\u202e\\x9b"' in result.output
        assert 'shape="q1 \\"r"' in result.output

    @pytest.mark.parametrize(
        "text",
        [
            '{"a": ' * 5000 + "1" + "}" * 5000,
            make_line("now"),
            make_line(1.5),
            make_line(1000, node=None),
            make_line(1000, part=[]),
            make_line(1000, fields="\ud800"),
            '{"a": "\udcff"}',
        ],
        ids=["deep", "text", "float", "node", "part", "surrogate", "binary"],
    )
    def test_lines_of_another_program_are_skipped(self, text):
        """Guards against one line that ends the reading of all logs."""
        assert len(read_lines([[*LOG, text]])) == len(read_lines([LOG]))

    def test_changes(self):
        result = CliRunner().invoke(main, ["changes"], input="".join(LOG))
        assert result.exit_code == 0
        assert result.output.count("epoch=") == 2


def make_refusal(time_ms, reason, **fields):
    line = json.loads(make_line(time_ms, reason=reason, **fields))
    return json.dumps({**line, "message": "session: A caller was refused."})


def make_attempt(time_ms, outcome, **fields):
    line = json.loads(make_line(time_ms, part="runner", outcome=outcome, **fields))
    return json.dumps({**line, "message": "runner: A statement was sent."})


OUTCOME_LOG = [
    make_attempt(1000, "done", workspace="north"),
    make_refusal(1500, "rate_exceeded", workspace="north"),
    make_attempt(4100, "busy", workspace="south"),
    make_refusal(4200, "rate_exceeded", workspace="south", node="d2"),
]


class TestSummary:
    def test_counts_by_reason_and_interval(self):
        summary = summarize(read_lines([OUTCOME_LOG]), 2, "reason")
        assert summary.totals == {
            ("served", "done"): 1,
            ("refused", "rate_exceeded"): 2,
            ("tried again", "busy"): 1,
        }
        assert sorted(summary.intervals) == [0, 2]
        assert summary.intervals[2][("refused", "rate_exceeded")] == 1

    def test_counts_by_workspace(self):
        summary = summarize(read_lines([OUTCOME_LOG]), 2, "workspace")
        assert summary.totals[("refused", "north")] == 1
        assert summary.totals[("tried again", "south")] == 1

    def test_dropped_lines_are_counted(self):
        lines = [*OUTCOME_LOG, make_line(5000, part="log", count=7)]
        lines[-1] = lines[-1].replace("log: Something.", "log: Lines were dropped.")
        assert summarize(read_lines([lines]), 2, "reason").dropped == 7

    def test_waits_by_level(self):
        lines = [
            make_attempt(1000, "done", level=0, workspace="a", waited_ms=0.2),
            make_attempt(1100, "busy", level=2, workspace="a", waited_ms=30.0),
            make_attempt(1200, "done", level=2, workspace="a", waited_ms=50.0),
            make_refusal(1300, "deadline_passed", level=2, workspace="b"),
            make_refusal(1400, "rate_exceeded", level=2, workspace="b"),
        ]
        summary = summarize(read_lines([lines]), 2, "level")
        assert summary.waits == {
            (0, "a"): Waits(sent=1),
            (2, "a"): Waits(2, 2, 80.0, 50.0),
            (2, "b"): Waits(refused=1),
        }
        assert summary.totals[("refused", "2")] == 2
        table = format_table(summary, 6)
        assert "    2        2        2        1     40.0     50.0  all" in table
        assert describe(summary)["waits"][2]["workspace"] == "b"

    def test_command_prints_a_table_and_plots_it(self, tmp_path):
        path, plot = tmp_path / "d1.log", tmp_path / "day.png"
        path.write_text("\n".join(OUTCOME_LOG))
        arguments = ["summary", "--plot", str(plot), str(path)]
        result = CliRunner().invoke(main, arguments)
        assert result.exit_code == 0, result.output
        assert "2  refused, rate_exceeded" in result.output
        assert plot.stat().st_size > 0

    def test_command_without_any_statement(self):
        result = CliRunner().invoke(main, ["summary"], input="no log\n")
        assert result.exit_code == 1
        assert "no line tells" in result.output
