"""Bodies of the worker's control protocol.

Fields that are not named here are ignored, so that an owner may be newer than
the worker.
"""

from typing import Annotated
from typing import Any
from typing import Literal
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict


class StartBody(TypedDict):
    """Starts an attempt, from a checkpoint when one is named."""

    op: Literal["start"]
    task: str
    attempt: int
    size: dict[str, float]
    kind: NotRequired[str]
    run_time_ms: NotRequired[float]
    checkpoint: NotRequired[str | None]
    payload: NotRequired[Any]


class StopBody(TypedDict):
    """Stops an attempt, by default with a checkpoint within `grace_ms`."""

    op: Literal["stop"]
    task: str
    attempt: int
    checkpoint: NotRequired[bool]
    grace_ms: NotRequired[int]


class CheckpointBody(TypedDict):
    """Stores the progress of an attempt that goes on."""

    op: Literal["checkpoint"]
    task: str
    attempt: int


class ThrottleBody(TypedDict):
    """Limits an attempt to a share of its full speed."""

    op: Literal["throttle"]
    task: str
    attempt: int
    share: Annotated[float, pydantic.Field(ge=0, le=1)]


class AckBody(TypedDict):
    """Drops a terminal report; `accepted` publishes a finished output."""

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
