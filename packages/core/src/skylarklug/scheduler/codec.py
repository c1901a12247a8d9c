"""Conversion of stored rows: jobs and their progress."""

from collections.abc import Mapping
from typing import Any

from skylarklug import exceptions
from skylarklug.scheduler import records

_STEP_DEFAULTS = records.Step(0, records.Resources(0, 0, 0), 0)
# Stored names of the fields of a step that have another name in the code.
# Rows outlive the build that wrote them, so stored names never change.
_STORED_NAMES = {
    "resources": "need",
    "runs_until_cancelled": "lasting",
    "best_effort": "fills",
    "max_unavailable": "may_miss",
}
_FIELD_NAMES = {stored: name for name, stored in _STORED_NAMES.items()}


def _encode_step(step: records.Step) -> dict[str, Any]:
    fields = {}
    for name, value in step._asdict().items():
        stored = _STORED_NAMES.get(name, name)
        if name == "resources":
            fields[stored] = list(value)
        elif value != getattr(_STEP_DEFAULTS, name):
            fields[stored] = list(value) if isinstance(value, tuple) else value
    return fields


def _decode_step(fields) -> records.Step:
    values = {
        _FIELD_NAMES.get(name, name): value
        for name, value in dict(fields).items()
    }
    values["resources"] = records.Resources(*values["resources"])
    values["after"] = tuple(values.get("after", ()))
    return _STEP_DEFAULTS._replace(**values)


def _encode_terms(terms: records.QueueTerms) -> dict[str, Any]:
    fields = terms._asdict()
    if terms.advice is not None:
        fields["advice"] = list(terms.advice)
    return fields


def decode_terms(value: Any) -> records.QueueTerms:
    """Returns stored terms; `UNKNOWN_TERMS` if they are missing or malformed.

    A later build may have stored further fields.
    """
    if not isinstance(value, dict):
        return records.UNKNOWN_TERMS
    fields = [value.get(name) for name in records.QueueTerms._fields]
    *numbers, advice = fields
    for number in numbers:
        if type(number) not in (int, float):
            return records.UNKNOWN_TERMS
    try:
        if advice is not None:
            advice = records.Advice(*advice)
    except TypeError:
        return records.UNKNOWN_TERMS
    return records.QueueTerms(*numbers, advice)


def encode_job(spec: records.JobSpec) -> dict[str, Any]:
    """Returns the row value of a job."""
    fields = spec._asdict()
    fields["steps"] = [_encode_step(step) for step in spec.steps]
    del fields["job"], fields["terms"]
    if spec.terms != records.UNKNOWN_TERMS:
        fields["terms"] = _encode_terms(spec.terms)
    return fields


def decode_job(job: str, value: Mapping[str, Any]) -> records.JobSpec:
    """Returns the job that is stored in a row.

    Raises:
        ProtocolError: The value is not a valid job.
    """
    try:
        fields = dict(value)
        fields["steps"] = tuple(_decode_step(s) for s in fields["steps"])
        fields["terms"] = decode_terms(fields.get("terms"))
        return records.JobSpec(job=job, **fields)
    except (KeyError, TypeError, ValueError) as exc:
        raise exceptions.ProtocolError(
            f"row is not a valid job: {exc!r}", step="decode job", request=job
        ) from exc


def pack_indices(indices) -> str:
    """Returns a set of small integers as a hexadecimal bitmap."""
    bits = 0
    for index in indices:
        bits |= 1 << index
    return f"{bits:x}"


def unpack_indices(text: str) -> set[int]:
    """Returns the integers in a hexadecimal bitmap."""
    bits = int(text, 16)
    found = set()
    index = 0
    while bits:
        if bits & 1:
            found.add(index)
        bits >>= 1
        index += 1
    return found
