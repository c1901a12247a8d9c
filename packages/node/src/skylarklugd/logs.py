"""Log lines: one key=value line for each event."""

import json
from typing import Any

from absl import logging

# Repeats of the same warning within this time are counted, not printed.
REPEAT_INTERVAL_MS = 1000
MAX_REMEMBERED = 1024
SECRET_FIELDS = frozenset({"token", "secret", "authorization", "password"})
# Each of these concerns another request or task.
UNLIMITED_EVENTS = frozenset(
    {"place", "request-failed", "route", "run-lost", "start-failed"}
)

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def format_value(value: Any) -> str:
    """Formats a value so that the line splits at spaces outside quotes."""
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, (list, tuple)):
        value = ",".join(format_value(item) for item in value)
    text = str(value)
    if not text or any(char in text for char in ' "=\n\r\t'):
        return json.dumps(text)
    return text


def format_line(node: str, event: str, fields) -> str:
    """Returns `event=... node=...` followed by the fields in their order."""
    parts = [f"event={event}", f"node={node}"]
    for name, value in fields.items():
        if name in SECRET_FIELDS:
            continue
        parts.append(f"{name}={format_value(value)}")
    return " ".join(parts)


class Logger:
    """Writes log lines of one node and limits repeated warnings."""

    def __init__(self, node: str, clock, write=logging.log):
        self._node = node
        self._clock = clock
        self._write = write
        self._last = {}

    def log(self, level: str, event: str, fields) -> None:
        """Writes one line unless it repeats a recent warning."""
        if level in ("warning", "error") and event not in UNLIMITED_EVENTS:
            fields = self._count_repeat(event, fields)
            if fields is None:
                return
        line = format_line(self._node, event, fields)
        self._write(_LEVELS[level], "%s", line)

    def _count_repeat(self, event, fields):
        key = (event, fields.get("step"), fields.get("peer"))
        now = self._clock()
        last, skipped = self._last.get(key, (None, 0))
        if last is not None and now - last < REPEAT_INTERVAL_MS:
            self._last[key] = (last, skipped + 1)
            return None
        if len(self._last) >= MAX_REMEMBERED:
            self._last.clear()
        self._last[key] = (now, 0)
        if skipped:
            return {**fields, "repeats": skipped}
        return fields


def set_level(level: str) -> None:
    """Sets the lowest level that is written."""
    logging.set_verbosity(_LEVELS[level])
