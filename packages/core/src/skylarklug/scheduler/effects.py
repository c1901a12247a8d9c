"""Effects of the scheduler, as data that adapters execute."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from skylarklug import effects
from skylarklug.scheduler import records

# Effects that `skylarklug.reducer` uses too.
Log = effects.Log
Measure = effects.Measure
SetReady = effects.SetReady


class Answer(NamedTuple):
    """Answer a client. `retry_after_s` is 0 for no Retry-After.

    Unless `valid_until` is 0, the answer holds until then, in ms of the clock
    of events. If it is sent later, because the process was suspended, the
    request is rejected instead.
    """

    req: str
    status: int
    body: Mapping[str, Any]
    retry_after_s: int
    valid_until: int = 0


class Check(NamedTuple):
    """Require a version of a row; 0 means that the row is absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it when `value` is None."""

    table: str
    key: str
    value: Mapping[str, Any] | None


class Commit(NamedTuple):
    """Apply all writes atomically if all checks hold."""

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
    """Read a table and report its changes from then on.

    A read without changes returns after `wait_ms`. This bounds how long a dead
    connection goes undetected.
    """

    table: str
    wait_ms: int = 2_000


class UnwatchTable(NamedTuple):
    """Stop watching a table."""

    table: str


class WatchLeader(NamedTuple):
    """Report the exit of the process that leads in `epoch`.

    `address` is its watch address, "host:port"; empty for no process. Replaces
    the former effect.
    """

    address: str
    epoch: int


class ReadOperatorRows(NamedTuple):
    """Read the changes of the operator's rows now, beside the open poll."""


class AskPeer(NamedTuple):
    """Ask another node for newer rows of the operator.

    Rows that the peer does not know as of `oldest_at` or later are ignored.
    """

    address: str
    oldest_at: int


class PollWorker(NamedTuple):
    """Renew a worker's lease and fetch its runs and the ends of runs.

    `lease_until` is in milliseconds of the worker's clock; 0 does not renew
    the lease. The worker forgets ends up to number `acknowledged`, and waits
    up to `wait_ms` for a new end before it answers. A poll that is sent after
    `acknowledge_until`, in milliseconds of the clock of events, acknowledges
    nothing: a later incarnation may have ends by then.
    """

    worker: str
    address: str
    epoch: int
    acknowledged: int
    lease_until: int
    wait_ms: int
    timeout_ms: int
    acknowledge_until: int = 0


class StartRun(NamedTuple):
    """Start a task on a worker and renew its lease until `lease_until`.

    Like every order, it must not be sent after `valid_until`, in milliseconds
    of the clock of events: by then another node may lead.
    """

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
    valid_until: int


class StopRun(NamedTuple):
    """Stop a run on a worker, which saves a checkpoint if it can."""

    worker: str
    address: str
    epoch: int
    key: records.TaskKey
    attempt: int
    timeout_ms: int
    valid_until: int


class SetPace(NamedTuple):
    """Limit a run to `pace` percent of its full speed."""

    worker: str
    address: str
    epoch: int
    key: records.TaskKey
    attempt: int
    pace: int
    timeout_ms: int
    valid_until: int


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
    """Take a machine down for maintenance. All runs on it end."""

    machine: str
    wave: int
    epoch: int
    valid_until: int


class ReportWave(NamedTuple):
    """Report the state of a wave to the operator: "running" or "done".

    A wave that is reported as done is not reported as running any more.
    """

    wave: int
    state: str


class StopKeepAlive(NamedTuple):
    """Close each client connection after the answer to its next request."""


class StopAccepting(NamedTuple):
    """Accept the connections that clients have opened, then no others."""


class CloseIdleConnections(NamedTuple):
    """Close the client connections without a request or a part of one.

    `ConnectionsCounted` reports how many are left.
    """


class CloseConnections(NamedTuple):
    """Close all client connections.

    Requests that have not been received completely are answered with 503.
    """

    retry_after_s: int


class Exit(NamedTuple):
    """End the process."""

    reason: str
