"""Settings file of a local deployment.

One TOML file describes the region, the data centres with their racks and
workers, the services, the teams with their quotas, the objective weights and
the trace to drive. Every mistake in the file is reported at once.
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
_NotNegative = Annotated[int, pydantic.Field(ge=0)]
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


class WorkerShape(TypedDict):
    """What every worker offers; connections and slots are its guard."""

    __pydantic_config__ = _STRICT
    cpus: _PositiveAmount
    memory_mb: _Positive
    accelerators: _NotNegative
    slots: _Positive
    connections: _Positive
    services: Annotated[list[_Name], pydantic.Field(min_length=1)]


class Service(TypedDict):
    """Limits of a service; `service_ms` is its simulated service time."""

    __pydantic_config__ = _STRICT
    slots: _Positive
    connections: _Positive
    timeout_ms: _Positive
    queue: _NotNegative
    service_ms: _Amount


class Team(TypedDict):
    """Quota of a team and its weight in fair share."""

    __pydantic_config__ = _STRICT
    cpus: _Amount
    memory_mb: _NotNegative
    accelerators: _NotNegative
    weight: _PositiveAmount


class Weights(TypedDict):
    """Objective weights."""

    __pydantic_config__ = _STRICT
    latency: _Fraction
    throughput: _Fraction
    evictions: _Fraction


class Stop(TypedDict):
    """Graceful stop of a node, in milliseconds."""

    __pydantic_config__ = _STRICT
    notice_ms: _NotNegative
    drain_ms: _NotNegative


class Settings(TypedDict):
    """The whole file."""

    __pydantic_config__ = _STRICT
    region: _Name
    seed: _NotNegative
    nodes_per_data_centre: _Positive
    partitions: _Positive
    vm_list_lag_ms: _NotNegative
    trace: str
    settle_ms: _NotNegative
    stop: Stop
    data_centres: Annotated[list[DataCentre], pydantic.Field(min_length=1)]
    workers: WorkerShape
    services: dict[_Name, Service]
    teams: dict[_Name, Team]
    weights: Weights
    drained: NotRequired[list[_Name]]
    limits: NotRequired[dict[str, int | float]]


_SETTINGS = pydantic.TypeAdapter(Settings)


def load(path: str | pathlib.Path) -> Settings:
    """Returns the checked settings.

    Raises:
        exceptions.SettingsError: With one line per mistake, each naming the
            file and the key.
    """
    path = pathlib.Path(path)
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise _error([f"{path}: {exc}"]) from exc
    problems = []
    broken = set()
    try:
        cfg = _SETTINGS.validate_python(raw)
    except pydantic.ValidationError as exc:
        cfg = raw
        for error in exc.errors():
            key = ".".join(str(part) for part in error["loc"])
            broken.add(error["loc"][0])
            problems.append(f"{path}: {key}: {error['msg']}")
    # Checks across sections look only at sections that are valid themselves,
    # so that one mistake does not hide another or cause a false report.
    for check, sections in _CHECKS:
        if broken.intersection(sections):
            continue
        problems += [f"{path}: {problem}" for problem in check(cfg)]
    if "trace" not in broken and not trace_path(path, cfg).is_file():
        problems.append(f"{path}: trace: no file {cfg['trace']}")
    if problems:
        raise _error(problems)
    return cfg


def _error(problems):
    return exceptions.SettingsError("\n".join(problems), step="load settings")


def trace_path(path: str | pathlib.Path, cfg: Settings) -> pathlib.Path:
    """Returns the trace's path, which is relative to the settings file."""
    return pathlib.Path(path).parent / cfg["trace"]


def worker_places(cfg: Settings) -> list[tuple[str, str, str]]:
    """Returns worker, data centre and rack of every worker, in order."""
    places = []
    for data_centre in cfg["data_centres"]:
        for rack in data_centre["racks"]:
            for _ in range(rack["workers"]):
                name = f"w-{len(places) + 1:02d}"
                places.append((name, data_centre["name"], rack["name"]))
    return places


def node_places(cfg: Settings) -> list[tuple[str, str]]:
    """Returns node and data centre of every node, in order."""
    return [
        (f"{data_centre['name']}-{index}", data_centre["name"])
        for data_centre in cfg["data_centres"]
        for index in range(1, cfg["nodes_per_data_centre"] + 1)
    ]


def document(cfg: Settings) -> dict:
    """Returns the first configuration document (section 15)."""
    services = {
        name: {key: value for key, value in service.items() if key != _TIME}
        for name, service in cfg["services"].items()
    }
    return {
        "services": services,
        "teams": {name: dict(team) for name, team in cfg["teams"].items()},
        "weights": dict(cfg["weights"]),
        "drained": list(cfg.get("drained", [])),
        "limits": dict(cfg.get("limits", {})),
    }


_TIME = "service_ms"


def _unique_names(cfg):
    names = [dc["name"] for dc in cfg["data_centres"]]
    racks = [rack["name"] for dc in cfg["data_centres"] for rack in dc["racks"]]
    for kind, listed in (("data centre", names), ("rack", racks)):
        for name in sorted(set(listed)):
            if listed.count(name) > 1:
                yield f"data_centres: {kind} {name} is listed twice"


def _enough_racks(cfg):
    for data_centre in cfg["data_centres"]:
        racks = len(data_centre["racks"])
        if cfg["partitions"] > racks:
            yield (
                f"partitions: {cfg['partitions']} is more than the "
                f"{racks} racks of {data_centre['name']}"
            )


def _known_services(cfg):
    for name in cfg["workers"]["services"]:
        if name not in cfg["services"]:
            yield f"workers.services: no section services.{name}"


def _service_limits(cfg):
    for name, service in cfg["services"].items():
        for key in ("slots", "connections"):
            if service[key] > cfg["workers"][key]:
                yield (
                    f"services.{name}.{key}: {service[key]} is more than "
                    f"workers.{key}, {cfg['workers'][key]}"
                )


def _enough_connections(cfg):
    connections = cfg["workers"]["connections"]
    if connections < cfg["nodes_per_data_centre"]:
        yield "workers.connections: fewer than nodes_per_data_centre"


def _weights_sum(cfg):
    total = sum(cfg["weights"].values())
    if abs(total - 1.0) > 1e-6:
        yield f"weights: the sum is {total:g}, not 1"


def _known_drained(cfg):
    known = {worker for worker, _, _ in worker_places(cfg)}
    for name in cfg.get("drained", []):
        if name not in known:
            yield f"drained: no worker {name}"


_CHECKS = (
    (_unique_names, ("data_centres",)),
    (_enough_racks, ("data_centres", "partitions")),
    (_known_services, ("workers", "services")),
    (_service_limits, ("workers", "services")),
    (_enough_connections, ("workers", "nodes_per_data_centre")),
    (_weights_sum, ("weights",)),
    (_known_drained, ("data_centres", "drained")),
)
