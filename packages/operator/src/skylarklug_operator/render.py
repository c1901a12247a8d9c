"""Formatting of answers as tables or JSON."""

import json

import tabulate

from skylarklug_operator import client


def render(answer: client.Answer, output: str) -> str:
    """Returns the answer as text.

    Args:
        answer: The node's answer.
        output: "table" or "json".
    """
    if output == "json":
        return json.dumps(
            {"status": answer.status, **answer.body}, indent=2, default=str
        )
    lines = []
    rows = answer.body.get("rows")
    if rows and _has_nested_rows(rows):
        lines.extend(_render_nested(rows))
    elif rows:
        lines.append(_render_table(rows, answer.body.get("columns")))
    elif rows is not None:
        lines.append("(no rows)")
    if answer.body.get("message"):
        lines.append(answer.body["message"])
    lines.extend(_render_notes(answer.body))
    if not lines:
        lines.extend(
            f"{name}: {_format_value(answer.body[name])}"
            for name in answer.body
        )
    return "\n".join(lines) or answer.status


def _has_nested_rows(rows):
    """Returns whether a value in a row is a list of rows, as for `why`."""
    for row in rows:
        for value in row.values():
            if isinstance(value, list) and value and isinstance(value[0], dict):
                return True
    return False


def _render_nested(rows):
    """Returns one line for each field, and one for each entry of a list."""
    lines = []
    for row in rows:
        for name, value in row.items():
            if not isinstance(value, list):
                lines.append(f"{name}: {_format_value(value)}")
                continue
            lines.append(f"{name}:")
            for entry in value:
                lines.append(f"  {_format_entry(entry)}")
    return lines


def _format_entry(entry):
    if not isinstance(entry, dict):
        return entry
    return " ".join(f"{name}={_format_value(entry[name])}" for name in entry)


def _render_table(rows, columns):
    columns = columns or list(rows[0])
    cells = [[_format_value(row.get(name)) for name in columns] for row in rows]
    return tabulate.tabulate(cells, headers=columns, disable_numparse=True)


def _format_value(value):
    if value is None:
        return "-"
    if isinstance(value, (dict, list)):
        return json.dumps(value, separators=(",", ":"))
    return value


def _render_notes(body):
    """Returns lines on the cause of a failure and on missing or old parts."""
    notes = []
    for name in ("step", "peer", "suggestion"):
        if body.get(name):
            notes.append(f"{name}: {body[name]}")
    if body.get("winner"):
        notes.append(f"winner: {json.dumps(body['winner'])}")
    if body.get("missing"):
        notes.append("no answer from: " + ", ".join(body["missing"]))
    if body.get("age_ms"):
        notes.append(f"oldest part: {body['age_ms']} ms")
    return notes
