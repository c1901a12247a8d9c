"""Tests of the validation of settings files and traces."""

import json
import pathlib

import pytest

from skylarklug import exceptions
from skylarklug_standins import run
from skylarklug_standins import settings
from skylarklug_standins import trace

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def edited(tmp_path, *replacements):
    """Returns the path of an edited copy of the CASVA example."""
    text = (EXAMPLES / "casva.toml").read_text()
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "casva.toml"
    path.write_text(text)
    (tmp_path / "casva-trace.jsonl").write_text(
        (EXAMPLES / "casva-trace.jsonl").read_text()
    )
    return path


class TestExamples:
    @pytest.mark.parametrize("name", ["casva", "ile-reboot"])
    def test_example_and_trace_load(self, name):
        """Guards against examples that fail validation."""
        cfg, lines = run.load(EXAMPLES / f"{name}.toml")
        assert len(settings.worker_locations(cfg)) == 24
        assert len(settings.node_locations(cfg)) == 9
        kinds = {line["kind"] for line in lines}
        assert kinds == {"request", "submit", "command", "event", "outcome"}
        assert 15_000 <= max(line.get("at", 0) for line in lines) <= 20_000


class TestSettings:
    def test_all_errors_are_reported_and_nothing_starts(self, tmp_path, capsys):
        """Guards against reporting only the first error, or a partial start."""
        path = edited(
            tmp_path,
            ("seed = 7", 'seed = "7"'),
            ("queue = 200", "queue = -1\nqueues = 3"),
            ("partitions = 1", "partitions = 2"),
            ("latency = 0.7", "latency = 0.8"),
            ("casva-trace.jsonl", "none.jsonl"),
        )
        assert run.main([str(path)]) == run.EXIT_BAD_INPUT
        report = capsys.readouterr().err.splitlines()
        assert all(line.startswith(f"{path}: ") for line in report)
        for key in (
            "seed",
            "services.certvault.queue",
            "services.certvault.queues",
            "partitions",
            "weights",
            "trace",
        ):
            assert any(f"{path}: {key}: " in line for line in report), key

    def test_inconsistent_values_are_rejected(self, tmp_path):
        """Guards against inconsistent settings that fail only at run time."""
        path = edited(
            tmp_path,
            ('services = ["certvault"]', 'services = ["certvaults"]'),
            ("partitions = 1", 'partitions = 1\ndrained = ["w-99"]'),
            ('name = "palmira"', 'name = "yumbo"'),
            ("connections = 64\ntimeout", "connections = 65\ntimeout"),
        )
        with pytest.raises(exceptions.SettingsError) as caught:
            settings.load(path)
        reason = caught.value.reason
        for problem in ("certvaults", "w-99", "yumbo is listed twice", "65"):
            assert problem in reason


class TestTrace:
    def test_errors_give_the_line_number(self, tmp_path):
        """Guards against mistyped keys that silently disable a check."""
        event = {"kind": "event", "at": 0, "op": "kill-worker"}
        lines = [
            event | {"worker": "w-99"},
            event | {"job": "sealing.none"},
            event | {"node": "yumbo-1"},
            {"kind": "outcome", "measure": "evicted"},
            {"kind": "outcome", "measure": "evicted", "most": 1},
            {"kind": "sleep"},
        ]
        path = tmp_path / "t.jsonl"
        path.write_text("".join(json.dumps(x) + "\n" for x in lines) + "{")
        with pytest.raises(exceptions.SettingsError) as caught:
            trace.read(path, nodes=["yumbo-1"], workers=["w-01"])
        for number in range(1, 8):
            assert f"{path}:{number}: " in caught.value.reason
