"""Structured logging with one key=value line per event."""

import json
import re
from typing import Any

from absl import logging

# Repeats of a warning within this interval are counted instead of written.
REPEAT_INTERVAL_MS = 1000
# Bounds the memory for repeats; the table is cleared when it is full.
MAX_TRACKED_WARNINGS = 1024
# Fields that are never written.
SECRET_FIELDS = frozenset({"token", "secret", "authorization", "password"})
# Written without a limit, because each line concerns a different request or
# task.
UNLIMITED_EVENTS = frozenset(
    {
        "long-running-idle",
        "place",
        "request-failed",
        "route",
        "run-lost",
        "start-failed",
        "worker-unreached",
    }
)

# Characters that would break a line's format.
_UNSAFE_CHARACTERS = re.compile(r'[ "=\n\r\t]')

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def format_value(value: Any) -> str:
    """Formats a value, quoted as JSON if it would break the line's format."""
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, (list, tuple)):
        value = ",".join(format_value(item) for item in value)
    text = str(value)
    if not text or _UNSAFE_CHARACTERS.search(text):
        return json.dumps(text)
    return text


def format_line(node: str, event: str, fields) -> str:
    """Returns `event=... node=...` followed by the fields in order."""
    parts = [f"event={event}", f"node={node}"]
    for name, value in fields.items():
        if name in SECRET_FIELDS:
            continue
        parts.append(f"{name}={format_value(value)}")
    return " ".join(parts)


class Logger:
    """Writes log lines of one node and rate-limits repeated warnings.

    Args:
        node: Name of the node.
        clock: Returns monotonic milliseconds.
        write: Called with (level, format, line).
    """

    def __init__(self, node: str, clock, write=logging.log):
        self._node = node
        self._clock = clock
        self._write = write
        self._last_logged = {}

    def log(self, level: str, event: str, fields) -> None:
        """Writes one line unless it repeats a recent warning."""
        if level in ("warning", "error") and event not in UNLIMITED_EVENTS:
            fields = self._suppress_repeat(event, fields)
            if fields is None:
                return
        line = format_line(self._node, event, fields)
        self._write(_LEVELS[level], "%s", line)

    def _suppress_repeat(self, event, fields):
        key = (event, fields.get("step"), fields.get("peer"))
        now = self._clock()
        last_logged_ms, suppressed = self._last_logged.get(key, (None, 0))
        if (
            last_logged_ms is not None
            and now - last_logged_ms < REPEAT_INTERVAL_MS
        ):
            self._last_logged[key] = (last_logged_ms, suppressed + 1)
            return None
        if len(self._last_logged) >= MAX_TRACKED_WARNINGS:
            self._last_logged.clear()
        self._last_logged[key] = (now, 0)
        if suppressed:
            return {**fields, "repeats": suppressed}
        return fields


def set_level(level: str) -> None:
    """Sets the minimum level of the lines that are written."""
    logging.set_verbosity(_LEVELS[level])
