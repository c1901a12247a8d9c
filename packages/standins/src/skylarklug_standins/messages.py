"""Schemas of the worker's control protocol.

Unknown fields are ignored, so that a worker can be controlled by an owner that
runs a newer version.
"""

from typing import Annotated
from typing import Any
from typing import Literal
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict


class StartBody(TypedDict):
    """Starts an attempt, from a checkpoint if one is given."""

    op: Literal["start"]
    task: str
    attempt: int
    size: dict[str, float]
    kind: NotRequired[str]
    run_time_ms: NotRequired[float]
    checkpoint: NotRequired[str | None]
    payload: NotRequired[Any]


class StopBody(TypedDict):
    """Stops an attempt; by default saves a checkpoint within `grace_ms`."""

    op: Literal["stop"]
    task: str
    attempt: int
    checkpoint: NotRequired[bool]
    grace_ms: NotRequired[int]


class CheckpointBody(TypedDict):
    """Saves a checkpoint of an attempt, which continues to run."""

    op: Literal["checkpoint"]
    task: str
    attempt: int


class ThrottleBody(TypedDict):
    """Limits an attempt to a fraction of its full speed."""

    op: Literal["throttle"]
    task: str
    attempt: int
    share: Annotated[float, pydantic.Field(ge=0, le=1)]


class AckBody(TypedDict):
    """Acknowledges the report of an ended attempt, which is then dropped.

    `accepted` tells whether the output of a finished attempt is published.
    """

    op: Literal["ack"]
    task: str
    attempt: int
    accepted: NotRequired[bool]


CommandBody = Annotated[
    StartBody | StopBody | CheckpointBody | ThrottleBody | AckBody,
    pydantic.Field(discriminator="op"),
]


class SyncBody(TypedDict):
    """Body of `POST /sync`."""

    node: str
    partition: str
    epoch: int
    seq: int
    lease_until: int
    known_revision: int
    commands: list[CommandBody]


SYNC_ADAPTER = pydantic.TypeAdapter(SyncBody)
