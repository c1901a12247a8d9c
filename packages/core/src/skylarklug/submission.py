"""Job specifications, and the operators' changes to jobs."""

import json
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import typing_extensions
import xxhash

from skylarklug import effects as effects_lib
from skylarklug import tasks

COMMAND_DEADLINE_MS = 5_000
MOVE_TRIES = 3

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


# The functional form because "class" is a keyword.
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
        The specification with defaults filled in, and the list of all
        errors as "field: message"; the specification is None if any.
    """
    errors = _errors(_KEY, key, "key")
    errors.extend(_errors(_SPEC, value, ""))
    if errors:
        return None, errors
    spec = DEFAULTS | dict(value)
    spec["size"] = {"accelerators": 0, **spec["size"]}
    spec.setdefault("class", f"{spec['team']}/{spec['kind']}")
    given = spec.pop("job", None)
    if given not in (None, key, f"{spec['team']}.{key}"):
        errors.append(f"job: does not match the key {key}")
    if spec["kind"] == "service" and "service" not in spec:
        errors.append("service: required for a job of kind service")
    if spec["kind"] != "service" and "service" in spec:
        errors.append("service: only for a job of kind service")
    return (None if errors else spec), errors


def _errors(adapter, value, name):
    try:
        adapter.validate_python(value)
    except pydantic.ValidationError as exc:
        return [
            f"{'.'.join(map(str, error['loc'])) or name}: {error['msg']}"
            for error in exc.errors()
        ]
    return []


def digest(spec) -> str:
    """Returns a digest that is equal for equal specifications."""
    text = json.dumps(spec, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_128_hexdigest(text.encode())


# ------------------------------------------------------- choice of partition


def partition_names(state, data_centre=None) -> list:
    """Returns the names of all partitions, or of one data centre's."""
    count = state.settings.get("partitions", 1)
    nodes = state.settings.get("nodes", ())
    centres = {node["data_centre"] for node in nodes} | {state.data_centre}
    if data_centre is not None:
        centres &= {data_centre}
    names = []
    for centre in sorted(centres):
        here = count.get(centre, 1) if isinstance(count, dict) else count
        names.extend(f"{centre}/{i}" for i in range(here))
    return names


def _room(state, name, size):
    """Sorts partitions: those where the size fits, then the most free."""
    from skylarklug import placement

    room = placement.advertised(state, name)
    if room is None:
        return (0, 0)
    return (int(size.fits(room["largest"])), room["free"][0])


def _best_of_two(state, names, size):
    pair = state.rng.sample(names, min(2, len(names)))
    return max(pair, key=lambda name: _room(state, name, size))


def partition_with_capacity(state, job) -> str:
    """Returns a partition that advertises room for one task, or ""."""
    names = [
        name
        for name in partition_names(state, job.spec["data_centre"])
        if name != job.partition and _room(state, name, job.size)[0]
    ]
    return _best_of_two(state, names, job.size) if names else ""


# ------------------------------------------------------------------- submit


def submit(state, effects, actor, key, spec, done):
    """Creates a job unless its key exists.

    A repeat with the same specification is answered "done" with the job
    that exists; another specification under the key is a conflict.
    """
    from skylarklug import jobs
    from skylarklug import table

    full, errors = validate(key, spec)
    if errors:
        done(state, effects, "bad-input", {"message": errors})
        return
    names = partition_names(state, full["data_centre"])
    if not names:
        message = f"data_centre: no data centre {full['data_centre']}"
        done(state, effects, "bad-input", {"message": [message]})
        return
    job = f"{full['team']}.{key}"
    mark = digest(full)
    name = _best_of_two(state, names, tasks.size_of(full["size"]))
    row = {
        "job": job,
        "spec": full,
        "first": 0,
        "end": full["tasks"],
        "cancelled": False,
        "actor": actor,
    }
    index_row = {"job": job, "digest": mark, "partitions": [name]}
    writes = (
        effects_lib.Write(f"jobkey/{job}", index_row),
        effects_lib.Write(f"job/{name}/{job}", row),
        audit_write(state, actor, "submit", job),
    )

    def committed(state, effects, result):
        if result.status == "committed":
            body = {"job": job, "partitions": [name], "new": True}
            body["version"] = result.version
            done(state, effects, "done", body)
            jobs.notify_owner(state, effects, name)
        elif result.status == "conflict":
            _submitted_before(state, effects, result, job, mark, done)
        else:
            answer_unavailable(state, effects, done)

    checks = (effects_lib.Check(f"jobkey/{job}", 0),)
    table.commit(
        state, effects, checks, writes, committed,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip


def _submitted_before(state, effects, result, job, mark, done):
    found = {row.key: row.value for row in result.rows}
    value = found.get(f"jobkey/{job}") or {}
    body = {"job": job, "partitions": value.get("partitions", [])}
    if value.get("digest") == mark:
        done(state, effects, "done", body | {"new": False})
        return
    message = f"job {job} exists with another specification"
    done(state, effects, "conflict", body | {"message": message})


def audit_write(state, actor, action, job, **fields):
    """Returns the write of an audit row."""
    key = state.new_id("audit/a")
    value = {"actor": actor, "action": action, "job": job, **fields}
    return effects_lib.Write(key, value | {"node": state.node})


def answer_unavailable(state, effects, done):
    """Answers a command whose effect is not known."""
    message = "the table did not answer; the effect is unknown, repeat it"
    done(state, effects, "unavailable", {"message": message})


# ------------------------------------------------------------------- cancel


def cancel(state, effects, actor, key, job, if_version, done):
    """Marks every row of a job as cancelled.

    `if_version` is the table version of the job row, 0 for any.
    """
    with_job_rows(state, effects, job, done, _cancel_rows, actor, if_version)


def with_job_rows(state, effects, job, done, then, *args, tries=MOVE_TRIES):
    """Calls `then` with the rows of a job, again after a lost race."""
    from skylarklug import table

    def rows_read(state, effects, result):
        if result.status != "read":
            answer_unavailable(state, effects, done)
            return
        rows = [row for row in result.rows if row.value is not None]
        then(state, effects, job, rows, done, again, *args)

    def index_read(state, effects, result):
        if result.status != "read":
            answer_unavailable(state, effects, done)
            return
        value = next((r.value for r in result.rows if r.value), None)
        if value is None:
            body = {"message": f"no job {job}"}
            done(state, effects, "not-met", body)
            return
        keys = [f"job/{name}/{job}" for name in value["partitions"]]
        table.read(
            state, effects, (f"jobkey/{job}", *keys), (), rows_read,
            deadline_ms=COMMAND_DEADLINE_MS,
        )  # fmt: skip

    def again(state, effects):
        if not tries:
            body = {"message": f"job {job} is being changed by another"}
            done(state, effects, "conflict", body)
            return
        with_job_rows(state, effects, job, done, then, *args, tries=tries - 1)

    table.read(
        state, effects, (f"jobkey/{job}",), (), index_read,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip


def answer_version_conflict(state, effects, rows, if_version, done):
    """Answers a command that names another version; says if it did."""
    version = max((row.version for row in rows), default=0)
    if not if_version or if_version == version:
        return False
    message = f"the job row has version {version}, not {if_version}"
    body = {"message": message, "version": version}
    done(state, effects, "conflict", body)
    return True


def _cancel_rows(state, effects, job, rows, done, again, actor, if_version):
    from skylarklug import jobs
    from skylarklug import table

    rows = [row for row in rows if row.key.startswith("job/")]
    if answer_version_conflict(state, effects, rows, if_version, done):
        return
    rows = [row for row in rows if not row.value["cancelled"]]
    if not rows:
        done(state, effects, "done", {"job": job, "new": False})
        return
    checks = tuple(effects_lib.Check(row.key, row.version) for row in rows)
    writes = [
        effects_lib.Write(row.key, {**row.value, "cancelled": True})
        for row in rows
    ]
    writes.append(audit_write(state, actor, "cancel", job))

    def committed(state, effects, result):
        if result.status == "conflict":
            again(state, effects)
            return
        if result.status != "committed":
            answer_unavailable(state, effects, done)
            return
        done(state, effects, "done", {"job": job, "version": result.version})
        for row in rows:
            name = row.key[len("job/") : -len(job) - 1]
            jobs.notify_owner(state, effects, name)

    table.commit(
        state, effects, checks, tuple(writes), committed,
        deadline_ms=COMMAND_DEADLINE_MS,
    )  # fmt: skip
