"""Lets the suite pass over the tests that KNOWN-RED.txt names, and says so."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def _names():
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line[6:].strip() for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(items):
    """Marks known red tests: they run, and their failure does not count."""
    names = _names()
    for item in items:
        if item.nodeid in names:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )


def pytest_terminal_summary(terminalreporter):
    """Prints the known red tests."""
    for name in _names():
        terminalreporter.write_line(f"known red: {name}")
