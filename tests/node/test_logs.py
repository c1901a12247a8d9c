"""Tests of the log lines."""

import shlex

from skylarklugd import logs


class TestLogger:
    def test_line_splits_into_key_value_pairs(self):
        """Guards against values that break the line format."""
        fields = {"reason": 'a "b" = c', "score": 1.25, "against": ["x", "y"]}
        line = logs.format_line("yumbo-1", "route", fields)
        pairs = dict(part.split("=", 1) for part in shlex.split(line))
        assert pairs["reason"] == 'a "b" = c'
        assert pairs["score"] == "1.25"
        assert pairs["against"] == "x,y"

    def test_secrets_are_left_out(self):
        """Guards against credentials in log files."""
        line = logs.format_line("n", "peer", {"secret": "s3", "token": "t0"})
        assert "s3" not in line
        assert "t0" not in line

    def test_repeated_warnings_are_counted(self):
        """Guards against an outage that fills the log."""
        now = [0]
        lines = []
        logger = logs.Logger(
            "n", lambda: now[0], lambda level, form, line: lines.append(line)
        )
        fields = {"step": "read", "peer": "table"}
        for _ in range(100):
            logger.log("warning", "table-failed", fields)
        now[0] = 2000
        logger.log("warning", "table-failed", fields)
        assert len(lines) == 2
        assert "repeats=99" in lines[1]

    def test_routing_lines_are_never_dropped(self):
        """Guards against a decision without a line."""
        lines = []
        logger = logs.Logger(
            "n", lambda: 0, lambda level, form, line: lines.append(line)
        )
        for _ in range(5):
            logger.log("warning", "route", {"worker": "w"})
        assert len(lines) == 5
