"""Replay of recorded traces, compared with expected outcomes."""

import json
import pathlib
import tomllib

import tabulate

from skylarklug import api
from skylarklug import exceptions


def load_outcomes(path: str) -> dict:
    """Reads expected outcomes: TOML with `counts`, `violations`, `digest`.

    Raises:
        BadInput: The file cannot be read, is not TOML or has unknown keys.
    """
    try:
        expected_outcomes = tomllib.loads(
            pathlib.Path(path).read_text(encoding="utf-8")
        )
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise exceptions.BadInput(
            f"{path}: {exc}", step="read outcomes"
        ) from exc
    unknown = sorted(
        set(expected_outcomes) - {"counts", "violations", "digest"}
    )
    if unknown:
        raise exceptions.BadInput(
            f"{path}: unknown key {unknown[0]}", step="read outcomes"
        )
    return expected_outcomes


def compare(expected_outcomes: dict, result: api.Replay) -> list[tuple]:
    """Returns rows (outcome, expected, observed, whether they are equal)."""
    rows = []
    for name, expected in expected_outcomes.get("counts", {}).items():
        observed = result.counts.get(name, "absent")
        rows.append((name, expected, observed, observed == expected))
    by_invariant = {}
    for violation in result.violations:
        count = by_invariant.get(violation.invariant, 0)
        by_invariant[violation.invariant] = count + 1
    expected_violations = expected_outcomes.get("violations", {})
    names = sorted(set(by_invariant) | set(expected_violations))
    for name in names:
        expected = expected_violations.get(name, 0)
        observed = by_invariant.get(name, 0)
        label = f"violations of {name}"
        rows.append((label, expected, observed, observed == expected))
    if "digest" in expected_outcomes:
        met = expected_outcomes["digest"] == result.digest
        rows.append(("digest", expected_outcomes["digest"], result.digest, met))
    return rows


def run(trace_path: str, outcomes_path: str, output: str, write=print) -> int:
    """Replays a trace; returns 0 if all expected outcomes are met, else 1.

    Raises:
        BadInput: The trace or the file of outcomes cannot be read.
    """
    expected_outcomes = load_outcomes(outcomes_path) if outcomes_path else {}
    try:
        with open(trace_path, "rb") as stream:
            result = api.replay(stream)
    except OSError as exc:
        raise exceptions.BadInput(
            f"{trace_path}: {exc}", step="read trace"
        ) from exc
    rows = compare(expected_outcomes, result)
    if output == "json":
        write(_as_json(result, rows))
    else:
        headers = ("outcome", "stated", "observed", "met")
        write(f"events: {result.events}, effects: {result.effects}")
        write(f"digest: {result.digest}")
        counts = list(result.counts.items())
        write(tabulate.tabulate(counts, headers=("count", "observed")))
        if rows:
            write(tabulate.tabulate(rows, headers=headers))
        for violation in result.violations:
            write(
                f"{violation.invariant} at {violation.at}: {violation.detail}"
            )
    return 0 if all(row[-1] for row in rows) else 1


def _as_json(result, rows):
    return json.dumps(
        {
            "events": result.events,
            "effects": result.effects,
            "digest": result.digest,
            "counts": result.counts,
            "violations": [v._asdict() for v in result.violations],
            "outcomes": [
                {"outcome": r[0], "stated": r[1], "observed": r[2], "met": r[3]}
                for r in rows
            ],
        },
        indent=2,
    )
