"""Loading and validation of a node's settings from TOML."""

import pathlib
import tomllib
from typing import Any
from typing import Literal

import pydantic
import typing_extensions

from skylarklug import exceptions

Port = pydantic.conint(ge=0, le=65535, strict=True)
PositiveMs = pydantic.conint(gt=0, strict=True)
Host = pydantic.IPvAnyAddress
HostPort = pydantic.constr(pattern=r"^(\[[0-9a-fA-F:]+\]|[0-9.]+):[0-9]{1,5}$")
Url = pydantic.constr(pattern=r"^https?://[^/\s]+(/.*)?$")
Name = pydantic.constr(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$", max_length=64)
FORBID_UNKNOWN_KEYS = pydantic.ConfigDict(extra="forbid")


class Listener(typing_extensions.TypedDict):
    """IP address and port; port 0 lets the operating system choose one."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    host: Host
    port: Port


class CallerListener(Listener, total=False):
    """Listener for callers and its limits, in bytes and milliseconds."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    header_limit: pydantic.conint(ge=1024, le=1048576, strict=True)
    body_limit: pydantic.conint(ge=0, strict=True)
    buffer_limit: pydantic.conint(ge=65536, strict=True)
    prefetch: pydantic.conint(ge=0, strict=True)
    idle_timeout_ms: PositiveMs
    header_timeout_ms: PositiveMs
    connections: pydantic.conint(gt=0, strict=True)


class TlsFiles(typing_extensions.TypedDict):
    """Paths of PEM files, which are reloaded when they change."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    certificate: str
    key: str
    ca: str


class PeerListener(Listener, total=False):
    """Listener for peers and the secret shared by all nodes."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    secret: typing_extensions.Required[pydantic.constr(min_length=16)]
    tls: TlsFiles


class Platform(typing_extensions.TypedDict, total=False):
    """Base URLs of the platform's services and the VM list polling interval."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    table: typing_extensions.Required[Url]
    objects: typing_extensions.Required[Url]
    vm_list: typing_extensions.Required[Url]
    vm_list_interval_ms: PositiveMs


class Peer(typing_extensions.TypedDict):
    """Another node that this node may connect to."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    node: Name
    data_centre: Name
    region: Name
    address: HostPort
    forward: HostPort


class Stop(typing_extensions.TypedDict, total=False):
    """Durations of the phases of a graceful stop, in milliseconds."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    notice_ms: pydantic.conint(ge=0, strict=True)
    drain_ms: pydantic.conint(ge=0, strict=True)


class Metrics(typing_extensions.TypedDict, total=False):
    """Export of metrics; without an endpoint they are only served locally."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    otlp_endpoint: Url
    interval_ms: PositiveMs


class NodeSettings(typing_extensions.TypedDict, total=False):
    """All settings of a node. Durations are in milliseconds."""

    __pydantic_config__ = FORBID_UNKNOWN_KEYS
    node: typing_extensions.Required[Name]
    data_centre: typing_extensions.Required[Name]
    region: typing_extensions.Required[Name]
    seed: pydantic.conint(ge=0, strict=True)
    caller: typing_extensions.Required[CallerListener]
    operator: typing_extensions.Required[Listener]
    peer: typing_extensions.Required[PeerListener]
    platform: typing_extensions.Required[Platform]
    tokens: dict[pydantic.constr(min_length=8), Literal["read", "write"]]
    nodes: list[Peer]
    nodes_per_data_centre: pydantic.conint(ge=1, le=64, strict=True)
    partitions: pydantic.conint(ge=1, le=64, strict=True)
    stop: Stop
    metrics: Metrics
    trace: str
    detach_limit_ms: PositiveMs
    lease_ms: PositiveMs
    renewal_ms: PositiveMs
    node_lease_ms: PositiveMs
    table: dict[str, pydantic.conint(gt=0, strict=True)]
    log_level: Literal["debug", "info", "warning", "error"]


_ADAPTER = pydantic.TypeAdapter(NodeSettings)

DEFAULTS = {
    "seed": 0,
    "tokens": {},
    "nodes": [],
    "nodes_per_data_centre": 1,
    "partitions": 1,
    "stop": {"notice_ms": 5000, "drain_ms": 30000},
    "metrics": {},
    "trace": "",
    "detach_limit_ms": 900_000,
    "lease_ms": 30_000,
    "renewal_ms": 5_000,
    "node_lease_ms": 15_000,
    "table": {},
    "log_level": "info",
}


def _validation_problems(exc: pydantic.ValidationError, file: str) -> list:
    """Converts validation errors to one `SettingsError` per key."""
    problems = []
    for error in exc.errors():
        key = ".".join(str(part) for part in error["loc"]) or "(whole file)"
        reason = f"{file}: {key}: {error['msg']}"
        problems.append(exceptions.SettingsError(reason, step="check settings"))
    return problems


def _conflict_problems(cfg: dict, file: str) -> list:
    """Returns a `SettingsError` for each conflict between valid values."""
    problems = []

    def add_problem(key, reason):
        text = f"{file}: {key}: {reason}"
        problems.append(exceptions.SettingsError(text, step="check settings"))

    if cfg["renewal_ms"] * 3 > cfg["lease_ms"]:
        add_problem("lease_ms", "must be at least three times renewal_ms")
    if cfg["node_lease_ms"] >= cfg["lease_ms"]:
        add_problem("node_lease_ms", "must be shorter than lease_ms")
    names = [peer["node"] for peer in cfg["nodes"]]
    for name in sorted({name for name in names if names.count(name) > 1}):
        add_problem("nodes", f"node {name} is listed twice")
    for peer in cfg["nodes"]:
        if peer["node"] != cfg["node"]:
            continue
        if peer["data_centre"] != cfg["data_centre"]:
            add_problem(
                "nodes", f"{cfg['node']} is listed in another data centre"
            )
    return problems


def check(raw: dict[str, Any], file: str) -> dict[str, Any]:
    """Validates settings and fills in defaults.

    Args:
        raw: The settings as parsed from TOML.
        file: File name for error messages.

    Raises:
        ExceptionGroup: Contains one `SettingsError` for every problem found.
    """
    try:
        cfg = _ADAPTER.validate_python(raw)
    except pydantic.ValidationError as exc:
        raise ExceptionGroup(
            "invalid settings", _validation_problems(exc, file)
        ) from exc
    cfg = {**DEFAULTS, **cfg}
    cfg["stop"] = {**DEFAULTS["stop"], **cfg["stop"]}
    for section in ("caller", "operator", "peer"):
        cfg[section] = {**cfg[section], "host": str(cfg[section]["host"])}
    problems = _conflict_problems(cfg, file)
    if problems:
        raise ExceptionGroup("invalid settings", problems)
    return cfg


def load(path: str) -> dict[str, Any]:
    """Reads and validates a TOML file.

    Raises:
        ExceptionGroup: The file cannot be read or parsed, or is invalid.
    """
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        problem = exceptions.SettingsError(
            f"{path}: {exc}", step="read settings"
        )
        raise ExceptionGroup("invalid settings", [problem]) from exc
    return check(raw, path)


def schema() -> dict[str, Any]:
    """Returns the JSON schema of the settings; used by the reference page."""
    return _ADAPTER.json_schema()


def for_core(cfg: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings that the reducer uses."""
    names = (
        "nodes",
        "nodes_per_data_centre",
        "partitions",
        "table",
        "stop",
        "detach_limit_ms",
        "lease_ms",
        "renewal_ms",
        "node_lease_ms",
    )
    return {name: cfg[name] for name in names}
