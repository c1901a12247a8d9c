"""Tests of structured logging."""

import shlex

from skylarklugd import logs


class TestLogger:
    def test_line_can_be_split_into_key_value_pairs(self):
        """Guards against unquoted values that break the key=value format."""
        fields = {"reason": 'a "b" = c', "score": 1.25, "against": ["x", "y"]}
        line = logs.format_line("yumbo-1", "route", fields)
        pairs = dict(part.split("=", 1) for part in shlex.split(line))
        assert pairs["reason"] == 'a "b" = c'
        assert pairs["score"] == "1.25"
        assert pairs["against"] == "x,y"

    def test_secret_fields_are_omitted(self):
        """Guards against credentials that reach the log."""
        line = logs.format_line("n", "peer", {"secret": "s3", "token": "t0"})
        assert "s3" not in line
        assert "t0" not in line

    def test_repeated_warnings_are_counted(self):
        """Guards against an outage that floods the log with one warning."""
        now = [0]
        lines = []
        logger = logs.Logger(
            "n",
            lambda: now[0],
            lambda level, template, line: lines.append(line),
        )
        fields = {"step": "read", "peer": "table"}
        for _ in range(100):
            logger.log("warning", "table-failed", fields)
        now[0] = 2000
        logger.log("warning", "table-failed", fields)
        assert len(lines) == 2
        assert "repeats=99" in lines[1]

    def test_routing_events_are_not_rate_limited(self):
        """Guards against routing decisions that are missing from the log."""
        lines = []
        logger = logs.Logger(
            "n", lambda: 0, lambda level, template, line: lines.append(line)
        )
        for _ in range(5):
            logger.log("warning", "route", {"worker": "w"})
        assert len(lines) == 5
