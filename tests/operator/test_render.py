"""Tests of the formatting of answers."""

import json

from skylarklug_operator import client
from skylarklug_operator import render


def table(**body):
    return render.render(client.Answer("done", body), "table")


class TestTable:
    def test_columns_in_the_stated_order(self):
        """Guards against columns that depend on the first row."""
        rows = [{"b": 1}, {"b": 2, "a": "x"}]
        lines = table(rows=rows, columns=["a", "b"]).splitlines()
        assert [line.split() for line in lines if "--" not in line] == [
            ["a", "b"],
            ["-", "1"],
            ["x", "2"],
        ]

    def test_numeric_names_are_not_reformatted(self):
        """Guards against a name such as 1e3 shown as 1000."""
        lines = table(rows=[{"worker": "1e3", "tasks": 0}]).splitlines()
        assert lines[-1].split() == ["1e3", "0"]

    def test_nested_values_are_compact_json(self):
        """Guards against Python syntax in the output."""
        text = table(rows=[{"value": {"a": [1, None]}}])
        assert '{"a":[1,null]}' in text

    def test_no_rows(self):
        """Guards against an empty result that looks like a failure."""
        assert table(rows=[], columns=["a"]) == "(no rows)"
        assert table(message="drained w-1") == "drained w-1"

    def test_notes_on_failure_and_missing_parts_are_shown(self):
        """Guards against a partial answer that looks complete."""
        lines = table(
            rows=[],
            message="lost the race",
            step="commit",
            peer="table",
            suggestion="tasks",
            winner={"version": 4},
            missing=["palmira", "jamundi"],
            age_ms=1200,
        ).splitlines()
        assert lines == [
            "(no rows)",
            "lost the race",
            "step: commit",
            "peer: table",
            "suggestion: tasks",
            'winner: {"version": 4}',
            "no answer from: palmira, jamundi",
            "oldest part: 1200 ms",
        ]


class TestJson:
    def test_status_and_all_fields(self):
        """Guards against fields that appear in tables but not in JSON."""
        body = {"rows": [{"a": None}], "missing": ["palmira"]}
        answer = client.Answer("not-met", body)
        text = render.render(answer, "json")
        assert json.loads(text) == {"status": "not-met", **body}
