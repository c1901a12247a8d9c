"""The schema of the configuration document."""

import json
from typing import Annotated
from typing import Any
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

# A document must fit into one frame of the protocol between nodes.
MAX_DOCUMENT_BYTES = 48 * 1024

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)
_Positive = Annotated[int, pydantic.Field(gt=0)]
_Count = Annotated[int, pydantic.Field(ge=0)]
_Amount = Annotated[float, pydantic.Field(ge=0)]
_Weight = Annotated[float, pydantic.Field(ge=0, le=1)]
_Name = Annotated[str, pydantic.Field(min_length=1)]


class Service(TypedDict):
    """Limits of a service; `timeout_ms` is the default deadline of requests."""

    __pydantic_config__ = _STRICT
    slots: NotRequired[_Positive]
    connections: NotRequired[_Positive]
    timeout_ms: NotRequired[_Positive]
    queue: NotRequired[_Count]


class Team(TypedDict):
    """Quota of a team and its weight in the fair share."""

    __pydantic_config__ = _STRICT
    cpus: NotRequired[_Amount]
    memory_mb: NotRequired[_Count]
    accelerators: NotRequired[_Count]
    weight: NotRequired[Annotated[float, pydantic.Field(gt=0)]]


class Weights(TypedDict):
    """Weights of the three objectives."""

    __pydantic_config__ = _STRICT
    latency: _Weight
    throughput: _Weight
    evictions: _Weight


class Document(TypedDict):
    """A configuration document."""

    __pydantic_config__ = _STRICT
    services: NotRequired[dict[_Name, Service]]
    teams: NotRequired[dict[_Name, Team]]
    weights: NotRequired[Weights]
    drained: NotRequired[list[_Name]]
    limits: NotRequired[dict[_Name, _Amount]]


EMPTY: Document = {
    "services": {},
    "teams": {},
    "weights": {"latency": 0.4, "throughput": 0.3, "evictions": 0.3},
    "drained": [],
    "limits": {},
}

_ADAPTER = pydantic.TypeAdapter(Document)


def check(document: Any) -> list[str]:
    """Returns all errors of a document, each prefixed with its key."""
    try:
        _ADAPTER.validate_python(document)
    except pydantic.ValidationError as exc:
        return [
            f"{'.'.join(str(part) for part in error['loc'])}: {error['msg']}"
            for error in exc.errors()
        ]
    size = len(json.dumps(document).encode())
    if size > MAX_DOCUMENT_BYTES:
        return [f"document: {size} bytes, at most {MAX_DOCUMENT_BYTES} allowed"]
    return []
