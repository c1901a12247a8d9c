"""Tests of settings validation, the command line and the reference."""

import pathlib

import pytest

from skylarklugd import main
from skylarklugd import reference
from skylarklugd import settings

VALID = {
    "node": "yumbo-1",
    "data_centre": "yumbo",
    "region": "valle",
    "caller": {"host": "127.0.0.1", "port": 0},
    "operator": {"host": "127.0.0.1", "port": 0},
    "peer": {"host": "127.0.0.1", "port": 0, "secret": "0123456789abcdef"},
    "platform": {
        "table": "http://127.0.0.1:1",
        "objects": "http://127.0.0.1:2",
        "vm_list": "http://127.0.0.1:3",
    },
}


def validation_problems(raw):
    with pytest.raises(ExceptionGroup) as caught:
        settings.check(raw, "node.toml")
    return [str(problem) for problem in caught.value.exceptions]


class TestCheck:
    def test_valid_settings_get_defaults(self):
        """Guards against defaults that do not pass validation themselves."""
        cfg = settings.check(VALID, "node.toml")
        assert cfg["lease_ms"] == 30_000
        assert settings.check(cfg, "node.toml") == cfg

    def test_all_problems_are_reported_together(self):
        """Guards against reporting only the first of several errors."""
        raw = {
            **VALID,
            "nodde": "x",
            "caller": {"host": "not-an-ip", "port": 70_000},
            "partitions": "two",
            "lease_ms": 0,
        }
        problems = validation_problems(raw)
        for key in (
            "nodde",
            "caller.host",
            "caller.port",
            "partitions",
            "lease_ms",
        ):
            assert any(f"node.toml: {key}:" in text for text in problems), key

    def test_missing_keys_are_reported(self):
        """Guards against starting without the platform's addresses."""
        raw = {key: VALID[key] for key in VALID if key != "platform"}
        assert any("platform" in text for text in validation_problems(raw))

    def test_conflicting_values_are_rejected(self):
        """Guards against a lease that expires before it can be renewed."""
        problems = validation_problems(
            {**VALID, "lease_ms": 6000, "node_lease_ms": 7000}
        )
        assert any("lease_ms" in text for text in problems)
        assert any("node_lease_ms" in text for text in problems)

    def test_a_node_listed_twice_is_rejected(self):
        """Guards against two nodes with the same name."""
        peer = {
            "node": "yumbo-2",
            "data_centre": "yumbo",
            "region": "valle",
            "address": "127.0.0.1:1",
            "forward": "127.0.0.1:2",
        }
        problems = validation_problems({**VALID, "nodes": [peer, peer]})
        assert any("yumbo-2 is listed twice" in text for text in problems)


class TestBinary:
    def test_invalid_settings_exit_with_status_2(self, tmp_path, capsys):
        """Guards against a node that starts with invalid settings."""
        path = tmp_path / "node.toml"
        path.write_text('node = "a"\nunknown = 1\n')
        assert main.main(["--settings", str(path)]) == 2
        stderr = capsys.readouterr().err
        assert str(path) in stderr
        assert "unknown" in stderr
        assert "platform" in stderr

    def test_unreadable_file_exits_with_status_2(self, tmp_path, capsys):
        """Guards against a traceback instead of an error message."""
        path = tmp_path / "node.toml"
        assert main.main(["--settings", str(path)]) == 2
        path.write_text("node = \n")
        assert main.main(["--settings", str(path)]) == 2
        assert "step=read settings" in capsys.readouterr().err


class TestReference:
    def test_the_committed_page_matches_the_schema(self):
        """Guards against a reference page that is out of date."""
        page = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"
        assert page.read_text(encoding="utf-8") == reference.render()
