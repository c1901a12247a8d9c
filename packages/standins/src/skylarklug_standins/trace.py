"""Driver traces: what to send to a deployment, when, and what must come.

A trace is a file of JSON lines. Every line has `kind`; all but `outcome` have
`at`, in milliseconds from the start of the drive. Lines are:

- `request`: `count` requests every `every_ms`, with what must be observed.
- `submit`: a job; a job whose tasks end states how many must finish, a job
  without end states how many tasks must be alive when the drive ends.
- `command`: a command in the operator language and the expected status.
- `event`: something that happens to the deployment.
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
_NotNegative = Annotated[int, pydantic.Field(ge=0)]
_Amount = Annotated[float, pydantic.Field(ge=0)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class RequestExpect(TypedDict):
    """Bounds of a burst; errors as a fraction of its requests."""

    __pydantic_config__ = _STRICT
    errors_at_most: _Fraction
    p99_ms_at_most: NotRequired[_Amount]


class RequestLine(TypedDict):
    """A burst of requests to one service."""

    __pydantic_config__ = _STRICT
    kind: Literal["request"]
    at: _NotNegative
    name: str
    service: str
    path: str
    method: Literal["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]
    count: _Positive
    every_ms: _Amount
    callers: NotRequired[_Positive]
    service_ms: NotRequired[_Amount]
    answer_bytes: NotRequired[_NotNegative]
    body_bytes: NotRequired[_NotNegative]
    deadline_ms: NotRequired[_Positive]
    expect: RequestExpect


class JobSize(TypedDict):
    """Declared size of each task."""

    __pydantic_config__ = _STRICT
    cpus: _Amount
    memory_mb: _NotNegative
    accelerators: _NotNegative


class JobSpec(TypedDict):
    """A job specification as section 7 names its fields."""

    __pydantic_config__ = _STRICT
    team: str
    kind: Literal["batch", "watcher", "service"]
    tasks: _Positive
    size: JobSize
    run_time_ms: _NotNegative
    priority: Annotated[int, pydantic.Field(ge=0, le=9)]
    deadline_ms: _Positive | None
    data_centre: str | None
    spread: Literal["rack", "none"]
    retries: _NotNegative
    checkpoint_ms: _NotNegative
    payload: dict[str, Any]


class SubmitExpect(TypedDict):
    """Tasks that finish exactly once, or that run at the end."""

    __pydantic_config__ = _STRICT
    finished: NotRequired[_NotNegative]
    alive: NotRequired[_NotNegative]


class SubmitLine(TypedDict):
    """A job submission; the job id becomes `<team>.<key>`."""

    __pydantic_config__ = _STRICT
    kind: Literal["submit"]
    at: _NotNegative
    key: str
    spec: JobSpec
    expect: SubmitExpect


class CommandExpect(TypedDict):
    """The status that the answer must have."""

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
    """A command of an operator."""

    __pydantic_config__ = _STRICT
    kind: Literal["command"]
    at: _NotNegative
    text: str
    expect: CommandExpect


class EventLine(TypedDict):
    """An injected event.

    `job` instead of `worker` picks the first worker by name that runs a task
    of that job.
    """

    __pydantic_config__ = _STRICT
    kind: Literal["event"]
    at: _NotNegative
    op: Literal["kill-worker", "leave-worker", "stop-node", "kill-node"]
    node: NotRequired[str]
    worker: NotRequired[str]
    job: NotRequired[str]


class OutcomeLine(TypedDict):
    """Bounds of a measure over the whole run; both ends may be given."""

    __pydantic_config__ = _STRICT
    kind: Literal["outcome"]
    measure: Literal["evicted", "repeated", "redone_units", "failed_attempts"]
    at_least: NotRequired[_NotNegative]
    at_most: NotRequired[_NotNegative]


Line = RequestLine | SubmitLine | CommandLine | EventLine | OutcomeLine

_LINE = pydantic.TypeAdapter(
    Annotated[Line, pydantic.Field(discriminator="kind")]
)


def read(
    path: str | pathlib.Path, nodes=(), workers=(), services=(), teams=()
) -> list[Line]:
    """Returns the checked lines of a trace, in order of the file.

    The names are those of the deployment; lines may only refer to them.

    Raises:
        exceptions.SettingsError: With one line per mistake, each naming the
            file, the line and the key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as exc:
        raise _error([f"{path}: {exc}"]) from exc
    lines = []
    problems = []
    for number, source in enumerate(text.splitlines(), 1):
        if not source.strip():
            continue
        where = f"{path}:{number}"
        try:
            lines.append((where, _LINE.validate_python(json.loads(source))))
        except pydantic.ValidationError as exc:
            for error in exc.errors():
                key = ".".join(str(part) for part in error["loc"])
                problems.append(f"{where}: {key}: {error['msg']}")
        except ValueError as exc:
            problems.append(f"{where}: not JSON: {exc}")
    names = {
        "node": set(nodes),
        "worker": set(workers),
        "service": set(services),
        "team": set(teams),
        "job": {job_id(line) for _, line in lines if line["kind"] == "submit"},
    }
    for where, line in lines:
        problems += [f"{where}: {why}" for why in _impossible(line, names)]
    if not lines and not problems:
        problems.append(f"{path}: no lines")
    if problems:
        raise _error(problems)
    return [line for _, line in lines]


def job_id(line: SubmitLine) -> str:
    """Returns the id of a submitted job (section 15)."""
    return f"{line['spec']['team']}.{line['key']}"


def task_ids(line: SubmitLine) -> list[str]:
    """Returns the ids of a job's tasks, as workers see them."""
    return [f"{job_id(line)}/{n}" for n in range(line["spec"]["tasks"])]


def _error(problems):
    return exceptions.SettingsError("\n".join(problems), step="load trace")


def _impossible(line, names):
    kind = line["kind"]
    if kind == "request":
        yield from _unknown("service", line["service"], names)
        return
    if kind == "submit":
        yield from _unknown("team", line["spec"]["team"], names)
        expect, tasks = line["expect"], line["spec"]["tasks"]
        if not expect:
            yield "expect: neither finished nor alive"
        for key, value in expect.items():
            if value > tasks:
                yield f"expect.{key}: {value} of {tasks} tasks"
        return
    if kind == "event":
        yield from _event_problems(line, names)
        return
    if kind == "outcome" and not {"at_least", "at_most"} & line.keys():
        yield "outcome: neither at_least nor at_most"


def _event_problems(line, names):
    on_node = line["op"] in ("stop-node", "kill-node")
    allowed = {"node"} if on_node else {"worker", "job"}
    given = {"node", "worker", "job"} & line.keys()
    if len(given) != 1 or not given <= allowed:
        yield f"{line['op']}: needs one of {', '.join(sorted(allowed))}"
    for key in sorted(given):
        yield from _unknown(key, line[key], names)


def _unknown(key, name, names):
    if name not in names[key]:
        yield f"{key}: no {key} {name}"
