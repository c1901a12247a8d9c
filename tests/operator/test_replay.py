"""Tests of the command `replay`."""

import json

import pytest

from skylarklug import events
from skylarklug import trace
from skylarklug_operator import main

EVENTS = [
    events.NodeStarted(0, "yumbo-1", "yumbo", "valle", 1, 7, {}),
    *(events.Tick(at) for at in range(50, 1000, 50)),
    events.RequestArrived(
        1000, "r", "certvault", "GET", "/", True, "c", 1000, 0
    ),
]


@pytest.fixture
def recorded(tmp_path):
    path = tmp_path / "node.trace"
    items = [trace.encode_event(event) for event in EVENTS]
    path.write_bytes(trace.encode_header() + b"".join(items))
    return path


@pytest.fixture
def replay(recorded, tmp_path, capsys):
    """Returns a function that replays the trace and compares outcomes.

    It returns the exit code, the JSON output and the error output.
    """

    def run(outcomes=None):
        args = ["--output", "json", "replay", str(recorded)]
        if outcomes is not None:
            outcomes_file = tmp_path / "outcomes.toml"
            outcomes_file.write_text(outcomes)
            args += ["--outcomes", str(outcomes_file)]
        code = main.main(args)
        captured = capsys.readouterr()
        return code, json.loads(captured.out or "null"), captured.err

    return run


class TestReplay:
    def test_equal_outcomes(self, replay):
        """Guards against a replay that never succeeds."""
        _, first, _ = replay()
        digest = first["digest"]
        code, result, _ = replay(
            f'digest = "{digest}"\n[counts]\nrequests = 1\ntasks_started = 0\n'
        )
        assert code == 0
        assert result["events"] == len(EVENTS)
        assert all(row["met"] for row in result["outcomes"])
        assert len(result["outcomes"]) == 3

    @pytest.mark.parametrize(
        "outcomes",
        [
            "[counts]\nrequests = 2\n",
            "[counts]\nno_such_count = 0\n",
            'digest = "00"\n',
            "[violations]\nI4 = 1\n",
        ],
    )
    def test_difference(self, replay, outcomes):
        """Guards against a replay that never fails."""
        code, result, _ = replay(outcomes)
        assert code == 1
        assert [row["met"] for row in result["outcomes"]] == [False]

    @pytest.mark.parametrize("outcomes", ["[counts", "count = 1\n"])
    def test_wrong_outcomes_file(self, replay, outcomes):
        """Guards against a misspelt outcome that is never compared."""
        code, _, error = replay(outcomes)
        assert code == 2
        assert "outcomes.toml" in error

    def test_damaged_trace(self, replay, recorded):
        """Guards against a traceback for a damaged trace."""
        data = recorded.read_bytes()
        recorded.write_bytes(data + b"\x1c")
        code, _, error = replay()
        assert code == 2
        assert f"item {len(EVENTS) + 1} is damaged" in error

    def test_trace_without_header(self, replay, recorded):
        """Guards against replaying a file that is not a trace."""
        recorded.write_bytes(trace.encode_event(EVENTS[0]))
        code, _, error = replay()
        assert code == 2
        assert "header" in error

    def test_trace_cut_off_in_its_last_item(self, replay, recorded):
        """Guards against rejecting the trace of a node that crashed while
        writing an item."""
        recorded.write_bytes(recorded.read_bytes()[:-1])
        code, result, _ = replay("[counts]\nrequests = 0\n")
        assert code == 0
        assert result["events"] == len(EVENTS) - 1

    def test_table_output(self, recorded, capsys):
        """Guards against a table without the digest and the counts."""
        assert main.main(["replay", str(recorded)]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith(f"events: {len(EVENTS)}, effects: ")
        assert lines[1].startswith("digest: ")
        assert ["requests", "1"] in [line.split() for line in lines]
