"""Effects that leave the scheduler as data; adapters perform them."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from skylarklug import effects
from skylarklug.scheduler import records

# Both reducers leave these effects alike.
Log = effects.Log
Measure = effects.Measure
SetReady = effects.SetReady


class Answer(NamedTuple):
    """Answer a client. `retry_after_s` is 0 when absent."""

    req: str
    status: int
    body: Mapping[str, Any]
    retry_after_s: int


class Check(NamedTuple):
    """The row must have this version; 0 means that it must be absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it when `value` is None."""

    table: str
    key: str
    value: Mapping[str, Any] | None


class Commit(NamedTuple):
    """Apply all writes if all checks hold, else nothing."""

    op: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    timeout_ms: int


class ReadRows(NamedTuple):
    """Read one row, or the whole table when `key` is empty."""

    op: str
    table: str
    key: str
    timeout_ms: int


class WatchTable(NamedTuple):
    """Read a table and report its changes from then on."""

    table: str


class UnwatchTable(NamedTuple):
    """Stop following a table."""

    table: str


class PollWorker(NamedTuple):
    """Renew a worker's lease and ask what runs and what ended there.

    `lease_until` is on the worker's clock in milliseconds; 0 renews nothing.
    `acknowledged` ends are forgotten. The answer waits up to `wait_ms` for an
    end.
    """

    worker: str
    address: str
    epoch: int
    acknowledged: int
    lease_until: int
    wait_ms: int
    timeout_ms: int


class StartRun(NamedTuple):
    """Start a task on a worker under a lease until `lease_until`."""

    worker: str
    address: str
    incarnation: int
    epoch: int
    key: records.TaskKey
    attempt: int
    payload: str
    checkpoint: str
    ticket: str
    lease_until: int
    timeout_ms: int


class StopRun(NamedTuple):
    """Stop a run on a worker; it saves its progress where it can."""

    worker: str
    address: str
    epoch: int
    key: records.TaskKey
    attempt: int
    timeout_ms: int


class SetPace(NamedTuple):
    """Let a run work at `pace` percent of its full speed."""

    worker: str
    address: str
    epoch: int
    key: records.TaskKey
    attempt: int
    pace: int
    timeout_ms: int


class RequestAdvice(NamedTuple):
    """Ask which of these workers may run a step."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    timeout_ms: int


class ListMachines(NamedTuple):
    """Read the list of machines."""


class BeginMaintenance(NamedTuple):
    """Take a machine down for its upkeep; what runs there ends."""

    machine: str
    wave: int
    epoch: int


class ReportWave(NamedTuple):
    """Tell the operator how a wave stands: "running" or "done"."""

    wave: int
    state: str


class Exit(NamedTuple):
    """End the process."""

    reason: str
