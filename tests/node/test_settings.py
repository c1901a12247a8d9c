"""Tests of the settings check."""

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


def problems_of(raw):
    with pytest.raises(ExceptionGroup) as caught:
        settings.check(raw, "node.toml")
    return [str(problem) for problem in caught.value.exceptions]


class TestCheck:
    def test_valid_settings_get_defaults(self):
        """Guards against a default that the check itself would refuse."""
        cfg = settings.check(VALID, "node.toml")
        assert cfg["lease_ms"] == 30_000
        assert settings.check(cfg, "node.toml") == cfg

    def test_all_problems_are_reported_together(self):
        """Guards against fixing one error only to meet the next."""
        raw = {
            **VALID,
            "nodde": "x",
            "caller": {"host": "not-an-ip", "port": 70_000},
            "partitions": "two",
            "lease_ms": 0,
        }
        problems = problems_of(raw)
        for key in (
            "nodde",
            "caller.host",
            "caller.port",
            "partitions",
            "lease_ms",
        ):
            assert any(f"node.toml: {key}:" in text for text in problems), key

    def test_missing_keys_are_named(self):
        """Guards against a start with no platform."""
        raw = {key: VALID[key] for key in VALID if key != "platform"}
        assert any("platform" in text for text in problems_of(raw))

    def test_impossible_relation_is_refused(self):
        """Guards against a lease that ends before its renewal."""
        problems = problems_of(
            {**VALID, "lease_ms": 6000, "node_lease_ms": 7000}
        )
        assert any("lease_ms" in text for text in problems)
        assert any("node_lease_ms" in text for text in problems)

    def test_a_node_listed_twice_is_refused(self):
        """Guards against two processes with one name."""
        peer = {
            "node": "yumbo-2",
            "data_centre": "yumbo",
            "region": "valle",
            "address": "127.0.0.1:1",
            "forward": "127.0.0.1:2",
        }
        problems = problems_of({**VALID, "nodes": [peer, peer]})
        assert any("yumbo-2 is listed twice" in text for text in problems)


class TestBinary:
    def test_bad_settings_exit_with_2(self, tmp_path, capsys):
        """Guards against a node that starts with settings it misread."""
        path = tmp_path / "node.toml"
        path.write_text('node = "a"\nunknown = 1\n')
        assert main.main(["--settings", str(path)]) == 2
        stderr = capsys.readouterr().err
        assert str(path) in stderr
        assert "unknown" in stderr
        assert "platform" in stderr

    def test_unreadable_file_exits_with_2(self, tmp_path, capsys):
        """Guards against a traceback in place of a message."""
        path = tmp_path / "node.toml"
        assert main.main(["--settings", str(path)]) == 2
        path.write_text("node = \n")
        assert main.main(["--settings", str(path)]) == 2
        assert "step=read settings" in capsys.readouterr().err


class TestReference:
    def test_the_committed_page_matches_the_schema(self):
        """Guards against a settings page that the code has left behind."""
        page = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"
        assert page.read_text(encoding="utf-8") == reference.render()
