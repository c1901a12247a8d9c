"""Settings file of a local deployment.

A TOML file describes the region, the data centres with their racks and
workers, the services, the teams with their quotas, the objective weights and
the trace to run. All errors in the file are reported together.
"""

import pathlib
import tomllib
from typing import Annotated
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

from skylarklug import exceptions

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)
_Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
_Positive = Annotated[int, pydantic.Field(gt=0)]
_NonNegative = Annotated[int, pydantic.Field(ge=0)]
_Amount = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]
_PositiveAmount = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class Rack(TypedDict):
    """A rack and its number of workers."""

    __pydantic_config__ = _STRICT
    name: _Name
    workers: _Positive


class DataCentre(TypedDict):
    """A data centre and its racks."""

    __pydantic_config__ = _STRICT
    name: _Name
    racks: Annotated[list[Rack], pydantic.Field(min_length=1)]


class WorkerSettings(TypedDict):
    """Capacity and services of every worker.

    A worker refuses work beyond its slots and connections.
    """

    __pydantic_config__ = _STRICT
    cpus: _PositiveAmount
    memory_mb: _Positive
    accelerators: _NonNegative
    slots: _Positive
    connections: _Positive
    services: Annotated[list[_Name], pydantic.Field(min_length=1)]


class Service(TypedDict):
    """Limits of a service; `service_ms` is its simulated processing time."""

    __pydantic_config__ = _STRICT
    slots: _Positive
    connections: _Positive
    timeout_ms: _Positive
    queue: _NonNegative
    service_ms: _Amount


class Team(TypedDict):
    """Quota of a team and its weight in fair sharing."""

    __pydantic_config__ = _STRICT
    cpus: _Amount
    memory_mb: _NonNegative
    accelerators: _NonNegative
    weight: _PositiveAmount


class Weights(TypedDict):
    """Weights of the scheduling objectives; their sum is 1."""

    __pydantic_config__ = _STRICT
    latency: _Fraction
    throughput: _Fraction
    evictions: _Fraction


class Stop(TypedDict):
    """Durations of the phases of a graceful node stop."""

    __pydantic_config__ = _STRICT
    notice_ms: _NonNegative
    drain_ms: _NonNegative


class Settings(TypedDict):
    """The complete settings file."""

    __pydantic_config__ = _STRICT
    region: _Name
    seed: _NonNegative
    nodes_per_data_centre: _Positive
    partitions: _Positive
    vm_list_lag_ms: _NonNegative
    trace: str
    settle_ms: _NonNegative
    stop: Stop
    data_centres: Annotated[list[DataCentre], pydantic.Field(min_length=1)]
    workers: WorkerSettings
    services: dict[_Name, Service]
    teams: dict[_Name, Team]
    weights: Weights
    drained: NotRequired[list[_Name]]
    limits: NotRequired[dict[str, int | float]]


_SETTINGS = pydantic.TypeAdapter(Settings)


def load(path: str | pathlib.Path) -> Settings:
    """Returns the validated settings.

    Raises:
        exceptions.SettingsError: With one line per error, each giving the
            file and the key.
    """
    path = pathlib.Path(path)
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise _settings_error([f"{path}: {exc}"]) from exc
    problems = []
    invalid_sections = set()
    try:
        cfg = _SETTINGS.validate_python(raw)
    except pydantic.ValidationError as exc:
        cfg = raw
        for error in exc.errors():
            key = ".".join(str(part) for part in error["loc"])
            invalid_sections.add(error["loc"][0])
            problems.append(f"{path}: {key}: {error['msg']}")
    # Checks across sections run only if these sections are valid themselves,
    # so that one error neither hides another nor causes a misleading one.
    for check, sections in _CHECKS:
        if invalid_sections.intersection(sections):
            continue
        problems += [f"{path}: {problem}" for problem in check(cfg)]
    if "trace" not in invalid_sections and not trace_path(path, cfg).is_file():
        problems.append(f"{path}: trace: file not found: {cfg['trace']}")
    if problems:
        raise _settings_error(problems)
    return cfg


def _settings_error(problems):
    return exceptions.SettingsError("\n".join(problems), step="load settings")


def trace_path(path: str | pathlib.Path, cfg: Settings) -> pathlib.Path:
    """Returns the path of the trace, relative to the settings file."""
    return pathlib.Path(path).parent / cfg["trace"]


def worker_locations(cfg: Settings) -> list[tuple[str, str, str]]:
    """Returns name, data centre and rack of every worker, in file order."""
    locations = []
    for data_centre in cfg["data_centres"]:
        for rack in data_centre["racks"]:
            for _ in range(rack["workers"]):
                name = f"w-{len(locations) + 1:02d}"
                locations.append((name, data_centre["name"], rack["name"]))
    return locations


def node_locations(cfg: Settings) -> list[tuple[str, str]]:
    """Returns name and data centre of every node, in file order."""
    return [
        (f"{data_centre['name']}-{index}", data_centre["name"])
        for data_centre in cfg["data_centres"]
        for index in range(1, cfg["nodes_per_data_centre"] + 1)
    ]


def initial_document(cfg: Settings) -> dict:
    """Returns the initial configuration document (section 15)."""
    services = {
        name: {
            key: value
            for key, value in service.items()
            if key != _SERVICE_TIME_KEY
        }
        for name, service in cfg["services"].items()
    }
    return {
        "services": services,
        "teams": {name: dict(team) for name, team in cfg["teams"].items()},
        "weights": dict(cfg["weights"]),
        "drained": list(cfg.get("drained", [])),
        "limits": dict(cfg.get("limits", {})),
    }


# Only the simulated workers use this key; the configuration omits it.
_SERVICE_TIME_KEY = "service_ms"


def _check_unique_names(cfg):
    names = [dc["name"] for dc in cfg["data_centres"]]
    racks = [rack["name"] for dc in cfg["data_centres"] for rack in dc["racks"]]
    for kind, listed in (("data centre", names), ("rack", racks)):
        for name in sorted(set(listed)):
            if listed.count(name) > 1:
                yield f"data_centres: {kind} {name} is listed twice"


def _check_rack_count(cfg):
    for data_centre in cfg["data_centres"]:
        racks = len(data_centre["racks"])
        if cfg["partitions"] > racks:
            yield (
                f"partitions: {cfg['partitions']} is more than the "
                f"{racks} racks of {data_centre['name']}"
            )


def _check_worker_services(cfg):
    for name in cfg["workers"]["services"]:
        if name not in cfg["services"]:
            yield f"workers.services: missing section services.{name}"


def _check_service_limits(cfg):
    for name, service in cfg["services"].items():
        for key in ("slots", "connections"):
            if service[key] > cfg["workers"][key]:
                yield (
                    f"services.{name}.{key}: {service[key]} is more than "
                    f"workers.{key}, {cfg['workers'][key]}"
                )


def _check_connection_count(cfg):
    connections = cfg["workers"]["connections"]
    if connections < cfg["nodes_per_data_centre"]:
        yield "workers.connections: fewer than nodes_per_data_centre"


def _check_weights(cfg):
    total = sum(cfg["weights"].values())
    if abs(total - 1.0) > 1e-6:
        yield f"weights: the sum is {total:g}, not 1"


def _check_drained_workers(cfg):
    known = {worker for worker, _, _ in worker_locations(cfg)}
    for name in cfg.get("drained", []):
        if name not in known:
            yield f"drained: unknown worker {name}"


# Each check with the sections that it reads.
_CHECKS = (
    (_check_unique_names, ("data_centres",)),
    (_check_rack_count, ("data_centres", "partitions")),
    (_check_worker_services, ("workers", "services")),
    (_check_service_limits, ("workers", "services")),
    (_check_connection_count, ("workers", "nodes_per_data_centre")),
    (_check_weights, ("weights",)),
    (_check_drained_workers, ("data_centres", "drained")),
)
