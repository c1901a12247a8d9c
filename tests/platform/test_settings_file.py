"""Values in the settings file that the platform did not write so."""

import json

import platform_standin as standin
import pytest
from skylarklug_platform import settings


class TestWatchAddress:
    @pytest.mark.parametrize(
        "ports, address",
        [
            ([7_720, 7_735], "127.0.0.1:7721"),
            ([7_720, 7_721], "127.0.0.1:7721"),
            ([7_720, 7_720], ""),
            ([7_720, 7_719], ""),
        ],
    )
    def test_second_port(self, ports, address):
        """Guards against a port outside the range, or that of the metrics."""
        content = standin.settings("a:1", "b:2", "c:3", ports)
        cfg = settings.parse(json.dumps(content), 5)
        assert cfg.core.watch_address == address


class TestSettingsFile:
    @pytest.mark.parametrize(
        "section, fields",
        [
            ("bounds", {"grace_s": float("inf")}),
            ("bounds", {"status_s": float("nan")}),
            ("bounds", {"max_hold_ms": 10**30}),
            ("bounds", {"lease_ms": -1}),
            ("bounds", {"contact_ms": [[[]]]}),
            ("limits", {"link_mbps": 0}),
            ("limits", {"cores": float("nan")}),
            ("platform", {"addr": "10.0.0.1:99999"}),
            ("platform", {"addr": "10.0.0.1"}),
            ("listen", {"front": 5}),
        ],
    )
    def test_odd_value_is_a_problem(self, section, fields):
        """Guards against a process that does not follow its settings any more,
        because a changed file ended the task that reads it."""
        content = standin.settings("a:1", "b:2", "c:3", [7_720, 7_735])
        content[section] = {**content.get(section, {}), **fields}
        with pytest.raises(ExceptionGroup):
            settings.parse(json.dumps(content), 5)

    @pytest.mark.parametrize("text", ["[" * 100_000, "5", "null", "[]", ""])
    def test_odd_text_is_a_problem(self, text):
        """Guards against a process that does not follow its settings any more,
        because a changed file ended the task that reads it."""
        with pytest.raises(ExceptionGroup):
            settings.parse(text, 5)
