"""Events that enter the scheduler.

The first field `at` is in milliseconds of a steady clock that also counts the
time in which the machine was suspended.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from skylarklug.scheduler import records


class Tick(NamedTuple):
    """Time has passed; `wall_ms` is the time of day in Unix milliseconds."""

    at: int
    wall_ms: int


class SettingsChanged(NamedTuple):
    """The process has read its settings again, and they have changed."""

    at: int
    cfg: records.Settings


class StopRequested(NamedTuple):
    """The process has been asked to stop gracefully."""

    at: int


class JobSubmitted(NamedTuple):
    """A client hands in a job; `body` is the job or None if malformed.

    `body` lacks the fields that the queue decides (`queue`, `service`).
    """

    at: int
    req: str
    host: str
    path: str
    body: records.JobSpec | None
    problem: str
    deadline_ms: int


class StatusRequested(NamedTuple):
    """A client asks for a job's state, or for a queue's length."""

    at: int
    req: str
    host: str
    path: str
    deadline_ms: int


class CancelRequested(NamedTuple):
    """A client cancels a job."""

    at: int
    req: str
    host: str
    path: str
    deadline_ms: int


class Row(NamedTuple):
    """One of the scheduler's own rows; `value` is None when it is absent."""

    table: str
    key: str
    version: int
    value: Mapping[str, Any] | None


class StoreAnswered(NamedTuple):
    """Result of a `Commit` or `ReadRows` effect.

    `status` is "ok", "conflict" (with the rows whose check failed), "refused"
    (nothing was done) or "unknown" (a commit may still take effect).
    `sent_at` is when the call left.
    """

    at: int
    sent_at: int
    op: str
    status: str
    version: int
    rows: tuple[Row, ...]


class RowsChanged(NamedTuple):
    """Rows of a followed table changed; `whole` when they are all of it."""

    at: int
    table: str
    whole: bool
    rows: tuple[Row, ...]


class ConfigurationRead(NamedTuple):
    """The operator's configuration, as the platform has it."""

    at: int
    cfg: records.Configuration


class WaveRequested(NamedTuple):
    """The operator asks for a wave of upkeep."""

    at: int
    wave: records.Wave


class WorkersChanged(NamedTuple):
    """Entries of workers changed; `whole` when these are all entries."""

    at: int
    whole: bool
    entries: tuple[records.WorkerEntry, ...]
    removed: tuple[str, ...]


class WorkerPolled(NamedTuple):
    """A worker answered a `Look`. `clock_ms` is its clock at the answer."""

    at: int
    sent_at: int
    worker: str
    incarnation: int
    clock_ms: int
    running: tuple[records.RunReport, ...]
    ended: tuple[records.EndReport, ...]


class OrderAnswered(NamedTuple):
    """A worker answered an order (`op` is "look", "start", "stop" or "pace").

    `result` is "ok", "refused" (nothing was done), "rejected" with a reason,
    "reborn" (another life of the worker answered) or "unknown".
    """

    at: int
    sent_at: int
    worker: str
    op: str
    key: records.TaskKey | None
    attempt: int
    result: str
    reason: str


class AdviceAnswered(NamedTuple):
    """Tickets for a step, by worker; `ok` is false when there is no answer."""

    at: int
    job: str
    occurrence: int
    step: int
    ok: bool
    asked: tuple[str, ...]
    tickets: Mapping[str, str]
    valid_ms: int


class MachinesListed(NamedTuple):
    """All machines, or `ok` false when the list could not be read."""

    at: int
    ok: bool
    machines: tuple[records.Machine, ...]


class MaintenanceAnswered(NamedTuple):
    """Result of `BeginUpkeep`: "ok", "rejected", "refused" or "unknown"."""

    at: int
    machine: str
    result: str
    reason: str
