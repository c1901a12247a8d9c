"""Driver traces: timed inputs for a deployment and their expected outcomes.

A trace is a JSON Lines file. Every line has `kind`; all but `outcome` have
`at`, in milliseconds from the start of the run. The kinds are:

- `request`: `count` requests, one every `every_ms`, and their limits for
  errors and latency.
- `submit`: a job. A job that ends gives the number of tasks that must finish;
  a job that runs indefinitely gives the number of tasks that must be alive at
  the end of the run.
- `command`: a command in the operator language and the expected status.
- `event`: a fault or planned change, such as a killed worker.
- `outcome`: bounds of one measure over the whole run.
"""

import json
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

from skylarklug import exceptions

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)
_Positive = Annotated[int, pydantic.Field(gt=0)]
_NonNegative = Annotated[int, pydantic.Field(ge=0)]
_Amount = Annotated[float, pydantic.Field(ge=0)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class RequestExpect(TypedDict):
    """Limits of a burst: fraction of failed requests, and latency."""

    __pydantic_config__ = _STRICT
    errors_at_most: _Fraction
    p99_ms_at_most: NotRequired[_Amount]


class RequestLine(TypedDict):
    """A burst of requests to one service."""

    __pydantic_config__ = _STRICT
    kind: Literal["request"]
    at: _NonNegative
    name: str
    service: str
    path: str
    method: Literal["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]
    count: _Positive
    every_ms: _Amount
    callers: NotRequired[_Positive]
    service_ms: NotRequired[_Amount]
    answer_bytes: NotRequired[_NonNegative]
    body_bytes: NotRequired[_NonNegative]
    deadline_ms: NotRequired[_Positive]
    expect: RequestExpect


class JobSize(TypedDict):
    """Declared size of each task."""

    __pydantic_config__ = _STRICT
    cpus: _Amount
    memory_mb: _NonNegative
    accelerators: _NonNegative


class JobSpec(TypedDict):
    """A job specification, with the field names of section 7."""

    __pydantic_config__ = _STRICT
    team: str
    kind: Literal["batch", "watcher", "service"]
    tasks: _Positive
    size: JobSize
    run_time_ms: _NonNegative
    priority: Annotated[int, pydantic.Field(ge=0, le=9)]
    deadline_ms: _Positive | None
    data_centre: str | None
    spread: Literal["rack", "none"]
    retries: _NonNegative
    checkpoint_ms: _NonNegative
    payload: dict[str, Any]


class SubmitExpect(TypedDict):
    """Number of tasks that finish exactly once, or that run at the end."""

    __pydantic_config__ = _STRICT
    finished: NotRequired[_NonNegative]
    alive: NotRequired[_NonNegative]


class SubmitLine(TypedDict):
    """A job submission; the job id becomes `<team>.<key>`."""

    __pydantic_config__ = _STRICT
    kind: Literal["submit"]
    at: _NonNegative
    key: str
    spec: JobSpec
    expect: SubmitExpect


class CommandExpect(TypedDict):
    """The expected status of the answer."""

    __pydantic_config__ = _STRICT
    status: Literal[
        "done",
        "not-met",
        "bad-input",
        "conflict",
        "unavailable",
        "not-allowed",
    ]


class CommandLine(TypedDict):
    """An operator command."""

    __pydantic_config__ = _STRICT
    kind: Literal["command"]
    at: _NonNegative
    text: str
    expect: CommandExpect


class EventLine(TypedDict):
    """A fault or planned change of one worker or node.

    If `job` is given instead of `worker`, the event applies to the first
    worker in name order that runs a task of that job.
    """

    __pydantic_config__ = _STRICT
    kind: Literal["event"]
    at: _NonNegative
    op: Literal["kill-worker", "leave-worker", "stop-node", "kill-node"]
    node: NotRequired[str]
    worker: NotRequired[str]
    job: NotRequired[str]


class OutcomeLine(TypedDict):
    """Lower bound, upper bound or both of a measure over the whole run."""

    __pydantic_config__ = _STRICT
    kind: Literal["outcome"]
    measure: Literal["evicted", "repeated", "redone_units", "failed_attempts"]
    at_least: NotRequired[_NonNegative]
    at_most: NotRequired[_NonNegative]


Line = RequestLine | SubmitLine | CommandLine | EventLine | OutcomeLine

_LINE = pydantic.TypeAdapter(
    Annotated[Line, pydantic.Field(discriminator="kind")]
)


def read(
    path: str | pathlib.Path, nodes=(), workers=(), services=(), teams=()
) -> list[Line]:
    """Returns the validated lines of a trace, in file order.

    Lines may refer only to the given names, and to jobs that the trace
    submits.

    Raises:
        exceptions.SettingsError: With one line per error, each giving the
            file, the line and the key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise _settings_error([f"{path}: {exc}"]) from exc
    lines = []
    problems = []
    for number, source in enumerate(text.splitlines(), 1):
        if not source.strip():
            continue
        location = f"{path}:{number}"
        try:
            lines.append((location, _LINE.validate_python(json.loads(source))))
        except pydantic.ValidationError as exc:
            for error in exc.errors():
                key = ".".join(str(part) for part in error["loc"])
                problems.append(f"{location}: {key}: {error['msg']}")
        except ValueError as exc:
            problems.append(f"{location}: not JSON: {exc}")
    names = {
        "node": set(nodes),
        "worker": set(workers),
        "service": set(services),
        "team": set(teams),
        "job": {job_id(line) for _, line in lines if line["kind"] == "submit"},
    }
    for location, line in lines:
        problems += [
            f"{location}: {problem}" for problem in _check_line(line, names)
        ]
    if not lines and not problems:
        problems.append(f"{path}: trace is empty")
    if problems:
        raise _settings_error(problems)
    return [line for _, line in lines]


def job_id(line: SubmitLine) -> str:
    """Returns the id of a submitted job (section 15)."""
    return f"{line['spec']['team']}.{line['key']}"


def task_ids(line: SubmitLine) -> list[str]:
    """Returns the ids of a job's tasks, as they are sent to workers."""
    return [f"{job_id(line)}/{n}" for n in range(line["spec"]["tasks"])]


def _settings_error(problems):
    return exceptions.SettingsError("\n".join(problems), step="load trace")


def _check_line(line, names):
    kind = line["kind"]
    if kind == "request":
        yield from _check_name("service", line["service"], names)
        return
    if kind == "submit":
        yield from _check_name("team", line["spec"]["team"], names)
        expect, tasks = line["expect"], line["spec"]["tasks"]
        if not expect:
            yield "expect: requires finished or alive"
        for key, value in expect.items():
            if value > tasks:
                yield f"expect.{key}: {value} is more than the {tasks} tasks"
        return
    if kind == "event":
        yield from _check_event(line, names)
        return
    if kind == "outcome" and not {"at_least", "at_most"} & line.keys():
        yield "outcome: requires at_least or at_most"


def _check_event(line, names):
    targets_node = line["op"] in ("stop-node", "kill-node")
    allowed = {"node"} if targets_node else {"worker", "job"}
    given = {"node", "worker", "job"} & line.keys()
    if len(given) != 1 or not given <= allowed:
        yield f"{line['op']}: requires one of {', '.join(sorted(allowed))}"
    for key in sorted(given):
        yield from _check_name(key, line[key], names)


def _check_name(key, name, names):
    if name not in names[key]:
        yield f"{key}: unknown {key} {name}"
