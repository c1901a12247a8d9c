"""Validation of job specifications, and submission and cancellation of jobs.

The rows of a job are changed by transactions that check the versions read
before; a transaction that loses a race is repeated from the read.
"""

import json
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import typing_extensions
import xxhash

from skylarklug import effects as effects_lib
from skylarklug import tasks

# Deadline of each table operation of a command.
COMMAND_DEADLINE_MS = 5_000
# Repeats of a change that lost a race, before it is answered "conflict".
CONFLICT_RETRIES = 3

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
Key = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9_.-]{1,128}$")]
Millis = Annotated[int, pydantic.Field(ge=0)]
NotRequired = typing_extensions.NotRequired


class SizeSpec(typing_extensions.TypedDict):
    """Declared size of each task."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid", strict=True)

    cpus: Annotated[float, pydantic.Field(gt=0, le=4096)]
    memory_mb: Annotated[int, pydantic.Field(ge=0)]
    accelerators: NotRequired[Annotated[int, pydantic.Field(ge=0)]]


# This uses the functional form because "class" is a keyword.
Spec = typing_extensions.TypedDict(
    "Spec",
    {
        "job": NotRequired[str],
        "team": Name,
        "kind": Literal["batch", "watcher", "service"],
        "tasks": Annotated[int, pydantic.Field(ge=1, le=100_000)],
        "size": SizeSpec,
        "run_time_ms": Millis,
        "priority": NotRequired[Annotated[int, pydantic.Field(ge=0, le=9)]],
        "deadline_ms": NotRequired[Millis | None],
        "data_centre": NotRequired[Name | None],
        "spread": NotRequired[Literal["rack", "none"]],
        "retries": NotRequired[Annotated[int, pydantic.Field(ge=0, le=100)]],
        "checkpoint_ms": NotRequired[Millis],
        "payload": NotRequired[Any],
        "class": NotRequired[str],
        "service": NotRequired[Name],
    },
)
Spec.__pydantic_config__ = pydantic.ConfigDict(extra="forbid", strict=True)

DEFAULTS = {
    "priority": 5,
    "deadline_ms": None,
    "data_centre": None,
    "spread": "none",
    "retries": 3,
    "checkpoint_ms": 0,
    "payload": None,
}

_SPEC = pydantic.TypeAdapter(Spec)
_KEY = pydantic.TypeAdapter(Key)


def validate(key, value):
    """Checks a job specification.

    Returns:
        A tuple of the specification with its defaults filled in, and the
        list of all errors as "field: message". The specification is None
        if there are errors.
    """
    errors = _validation_errors(_KEY, key, "key")
    errors.extend(_validation_errors(_SPEC, value, ""))
    if errors:
        return None, errors
    spec = DEFAULTS | dict(value)
    spec["size"] = {"accelerators": 0, **spec["size"]}
    spec.setdefault("class", f"{spec['team']}/{spec['kind']}")
    declared_job = spec.pop("job", None)
    if declared_job not in (None, key, f"{spec['team']}.{key}"):
        errors.append(f"job: does not match the key {key}")
    if spec["kind"] == "service" and "service" not in spec:
        errors.append("service: required for a job of kind service")
    if spec["kind"] != "service" and "service" in spec:
        errors.append("service: only for a job of kind service")
    return (None if errors else spec), errors


def _validation_errors(adapter, value, name):
    try:
        adapter.validate_python(value)
    except pydantic.ValidationError as exc:
        return [
            f"{'.'.join(map(str, error['loc'])) or name}: {error['msg']}"
            for error in exc.errors()
        ]
    return []


def digest(spec) -> str:
    """Returns a digest that does not depend on the order of the keys."""
    canonical = json.dumps(spec, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(canonical.encode())


# ------------------------------------------------------ partition selection


def partition_names(state, data_centre=None) -> list:
    """Returns the names of the partitions of one or all data centres."""
    configured = state.settings.get("partitions", 1)
    nodes = state.settings.get("nodes", ())
    data_centres = {node["data_centre"] for node in nodes} | {state.data_centre}
    if data_centre is not None:
        data_centres &= {data_centre}
    names = []
    for centre in sorted(data_centres):
        count = (
            configured.get(centre, 1)
            if isinstance(configured, dict)
            else configured
        )
        names.extend(f"{centre}/{i}" for i in range(count))
    return names


def _capacity_rank(state, name, size):
    """Returns a sort key: whether the size fits, then the free CPUs."""
    from skylarklug import placement

    capacity = placement.advertised_capacity(state, name)
    if capacity is None:
        return (0, 0)
    return (int(size.fits(capacity["largest"])), capacity["free"][0])


def _best_of_two(state, names, size):
    """Returns the better of two partitions that are chosen at random.

    The advertised capacity is some time old, so always taking the best
    partition would send all jobs of that time to the same one.
    """
    candidates = state.rng.sample(names, min(2, len(names)))
    return max(candidates, key=lambda name: _capacity_rank(state, name, size))


def partition_with_capacity(state, job) -> str:
    """Returns another partition with capacity for one task, or ""."""
    names = [
        name
        for name in partition_names(state, job.spec["data_centre"])
        if name != job.partition and _capacity_rank(state, name, job.size)[0]
    ]
    return _best_of_two(state, names, job.size) if names else ""


# ------------------------------------------------------------------- submit


def submit(state, effects, actor, key, spec, on_done):
    """Creates a job unless its key exists.

    Submission is idempotent: a repeat with the same specification is
    answered "done" with the existing job. A different specification under
    the same key is answered "conflict".
    """
    from skylarklug import jobs
    from skylarklug import table

    full_spec, errors = validate(key, spec)
    if errors:
        on_done(state, effects, "bad-input", {"message": errors})
        return
    names = partition_names(state, full_spec["data_centre"])
    if not names:
        message = f"data_centre: no data centre {full_spec['data_centre']}"
        on_done(state, effects, "bad-input", {"message": [message]})
        return
    job = f"{full_spec['team']}.{key}"
    spec_digest = digest(full_spec)
    name = _best_of_two(state, names, tasks.size_of(full_spec["size"]))
    row = {
        "job": job,
        "spec": full_spec,
        "first": 0,
        "end": full_spec["tasks"],
        "cancelled": False,
        "actor": actor,
    }
    index_row = {"job": job, "digest": spec_digest, "partitions": [name]}
    writes = (
        effects_lib.Write(f"jobkey/{job}", index_row),
        effects_lib.Write(f"job/{name}/{job}", row),
        audit_write(state, actor, "submit", job),
    )

    def on_committed(state, effects, result):
        if result.status == "committed":
            body = {"job": job, "partitions": [name], "new": True}
            body["version"] = result.version
            on_done(state, effects, "done", body)
            jobs.notify_owner(state, effects, name)
        elif result.status == "conflict":
            _answer_repeat(state, effects, result, job, spec_digest, on_done)
        else:
            answer_unavailable(state, effects, on_done)

    checks = (effects_lib.Check(f"jobkey/{job}", 0),)
    table.commit(
        state, effects, checks, writes, on_committed,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip


def _answer_repeat(state, effects, result, job, spec_digest, on_done):
    values_by_key = {row.key: row.value for row in result.rows}
    value = values_by_key.get(f"jobkey/{job}") or {}
    body = {"job": job, "partitions": value.get("partitions", [])}
    if value.get("digest") == spec_digest:
        on_done(state, effects, "done", body | {"new": False})
        return
    message = f"job {job} exists with another specification"
    on_done(state, effects, "conflict", body | {"message": message})


def audit_write(state, actor, action, job, **fields):
    """Returns the write of an audit row for a change to a job."""
    key = state.new_id("audit/a")
    value = {"actor": actor, "action": action, "job": job, **fields}
    return effects_lib.Write(key, value | {"node": state.node})


def answer_unavailable(state, effects, on_done):
    """Answers a command of which it is unknown whether it took effect."""
    message = "the table did not answer; the effect is unknown, repeat it"
    on_done(state, effects, "unavailable", {"message": message})


# ------------------------------------------------------------------- cancel


def cancel(state, effects, actor, key, job, if_version, on_done):
    """Marks every row of a job as cancelled.

    `if_version` is the expected table version of the job row; 0 accepts
    any version.
    """
    with_job_rows(state, effects, job, on_done, _cancel_rows, actor, if_version)


def with_job_rows(
    state, effects, job, on_done, callback, *args, retries_left=CONFLICT_RETRIES
):
    """Reads the rows of a job and passes them to `callback`.

    The callback also gets a function `retry`, which reads the rows and calls
    it again after a conflict, up to the number of retries.
    """
    from skylarklug import table

    def on_rows_read(state, effects, result):
        if result.status != "read":
            answer_unavailable(state, effects, on_done)
            return
        rows = [row for row in result.rows if row.value is not None]
        callback(state, effects, job, rows, on_done, retry, *args)

    def on_index_read(state, effects, result):
        if result.status != "read":
            answer_unavailable(state, effects, on_done)
            return
        value = next((r.value for r in result.rows if r.value), None)
        if value is None:
            body = {"message": f"no job {job}"}
            on_done(state, effects, "not-met", body)
            return
        keys = [f"job/{name}/{job}" for name in value["partitions"]]
        table.read(
            state, effects, (f"jobkey/{job}", *keys), (), on_rows_read,
            deadline_ms=COMMAND_DEADLINE_MS,
        )  # fmt: skip

    def retry(state, effects):
        if not retries_left:
            body = {"message": f"job {job} is being changed by another"}
            on_done(state, effects, "conflict", body)
            return
        with_job_rows(
            state,
            effects,
            job,
            on_done,
            callback,
            *args,
            retries_left=retries_left - 1,
        )

    table.read(
        state, effects, (f"jobkey/{job}",), (), on_index_read,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip


def answer_version_conflict(state, effects, rows, if_version, on_done):
    """Answers a command whose expected version differs; returns whether."""
    version = max((row.version for row in rows), default=0)
    if not if_version or if_version == version:
        return False
    message = f"the job row has version {version}, not {if_version}"
    body = {"message": message, "version": version}
    on_done(state, effects, "conflict", body)
    return True


def _cancel_rows(state, effects, job, rows, on_done, retry, actor, if_version):
    from skylarklug import jobs
    from skylarklug import table

    rows = [row for row in rows if row.key.startswith("job/")]
    if answer_version_conflict(state, effects, rows, if_version, on_done):
        return
    rows = [row for row in rows if not row.value["cancelled"]]
    if not rows:
        on_done(state, effects, "done", {"job": job, "new": False})
        return
    checks = tuple(effects_lib.Check(row.key, row.version) for row in rows)
    writes = [
        effects_lib.Write(row.key, {**row.value, "cancelled": True})
        for row in rows
    ]
    writes.append(audit_write(state, actor, "cancel", job))

    def on_committed(state, effects, result):
        if result.status == "conflict":
            retry(state, effects)
            return
        if result.status != "committed":
            answer_unavailable(state, effects, on_done)
            return
        on_done(state, effects, "done", {"job": job, "version": result.version})
        for row in rows:
            name = row.key[len("job/") : -len(job) - 1]
            jobs.notify_owner(state, effects, name)

    table.commit(
        state, effects, checks, tuple(writes), on_committed,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip
