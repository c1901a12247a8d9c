"""Input events of the scheduler.

The first field `at` is in milliseconds of a monotonic clock that includes the
time in which the machine was suspended.
"""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from skylarklug.scheduler import records

# Reason of an `OrderAnswered` if the host of the worker has answered that no
# process listens at the address.
NOT_LISTENING = "nothing listens at the address"


class Tick(NamedTuple):
    """Time has passed. `wall_ms` is wall-clock time in Unix milliseconds."""

    at: int
    wall_ms: int


class SettingsChanged(NamedTuple):
    """The process has reloaded its settings, and they have changed."""

    at: int
    cfg: records.Settings


class StopRequested(NamedTuple):
    """The process has been asked to shut down gracefully."""

    at: int


class ConnectionsCounted(NamedTuple):
    """Idle client connections have been closed; `busy` ones are left."""

    at: int
    busy: int


class JobSubmitted(NamedTuple):
    """A client submits a job.

    `body` is None if the request is malformed; `problem` then says why. The
    fields of `body` that depend on the queue (`queue`, `service`) are empty.
    """

    at: int
    req: str
    host: str
    path: str
    body: records.JobSpec | None
    problem: str
    deadline_ms: int


class StatusRequested(NamedTuple):
    """A client requests a job's state or a queue's length."""

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
    """A row in one of the scheduler's tables; `value` is None if absent."""

    table: str
    key: str
    version: int
    value: Mapping[str, Any] | None


class StoreAnswered(NamedTuple):
    """Result of a `Commit` or `ReadRows` effect.

    `status` is "ok", "conflict" (with the rows whose check failed), "refused"
    (nothing was done) or "unknown" (a commit may still take effect).
    `sent_at` is when the call was sent. `store_ms` is the store's steady clock
    at the answer; 0 if the answer does not tell it.
    """

    at: int
    sent_at: int
    op: str
    status: str
    version: int
    rows: tuple[Row, ...]
    store_ms: int = 0


class RowsChanged(NamedTuple):
    """Rows of a watched table changed. `whole` marks a full snapshot."""

    at: int
    table: str
    whole: bool
    rows: tuple[Row, ...]


class LeaderExited(NamedTuple):
    """Nothing listens at the watch address of the leader of `epoch` any more.

    The leader may still run if a link refuses connections.
    """

    at: int
    epoch: int


class FeedFailed(NamedTuple):
    """A watched table could not be read; the read is repeated."""

    at: int
    table: str


class ConfigurationRead(NamedTuple):
    """A version of the operator's configuration was read.

    `source` is "store" or the address of the peer that has told it.
    """

    at: int
    cfg: records.Configuration
    source: str = "store"


class ConfigurationUnreadable(NamedTuple):
    """The newest version of the operator's configuration is not readable."""

    at: int


class OperatorRowsRead(NamedTuple):
    """The store has told all changes of the operator's rows up to a time.

    Comes after the events of the rows.
    """

    at: int
    current_at: int


class OperatorRowsUnread(NamedTuple):
    """A `ReadOperatorRows` has failed."""

    at: int


class PeerAnswered(NamedTuple):
    """Result of an `AskPeer`; comes after the events of the peer's rows.

    `current_at` is up to when the peer knows all changes of the operator's
    rows; -1 if it has told none. `addresses` are those of other peers. `ok` is
    false if there was no answer.
    """

    at: int
    address: str
    ok: bool
    current_at: int = -1
    addresses: tuple[str, ...] = ()


class PeerCalled(NamedTuple):
    """A node that answers at `address` has asked this one."""

    at: int
    address: str


class WaveRequested(NamedTuple):
    """The operator requests a wave of maintenance."""

    at: int
    wave: records.Wave


class WorkersChanged(NamedTuple):
    """Worker entries were read. `whole` marks a full snapshot.

    There is an event for each answer, also for one without changes. The next
    read is sent after it.
    """

    at: int
    whole: bool
    entries: tuple[records.WorkerEntry, ...]
    removed: tuple[str, ...]


class WorkerPolled(NamedTuple):
    """A worker answered a `PollWorker`. `clock_ms` is its clock.

    `has_unreadable_run` says that it also lists runs that could not be read.
    Ends from the number `unreadable_end` on, unless 0, may be missing from
    `ended`, so that the worker must not forget them. `has_more_ends` says that
    the list of ends has reached its greatest length, so that later ends may be
    missing too.
    """

    at: int
    sent_at: int
    worker: str
    incarnation: int
    clock_ms: int
    running: tuple[records.RunReport, ...]
    ended: tuple[records.EndReport, ...]
    has_unreadable_run: bool = False
    unreadable_end: int = 0
    has_more_ends: bool = False


class OrderAnswered(NamedTuple):
    """A worker answered an order, or a poll failed.

    `op` is "look" for a poll, "start", "stop" or "pace". `result` is "ok",
    "refused" (nothing was done), "rejected" with a reason, "reborn" (another
    instance answered at this address) or "unknown". `address` is where a poll
    was sent; empty for an order. `clock_ms` is the worker's clock in the answer
    to a start; -1 if the answer does not tell it.
    """

    at: int
    sent_at: int
    worker: str
    op: str
    key: records.TaskKey | None
    attempt: int
    result: str
    reason: str
    address: str = ""
    clock_ms: int = -1


class AdviceAnswered(NamedTuple):
    """Answer to `RequestAdvice`: tickets for a step, by allowed worker.

    `ok` is false when there is no answer.
    """

    at: int
    job: str
    occurrence: int
    step: int
    ok: bool
    asked: tuple[str, ...]
    tickets: Mapping[str, str]
    valid_ms: int


class MachinesListed(NamedTuple):
    """The list of machines. `ok` is false when it could not be read."""

    at: int
    ok: bool
    machines: tuple[records.Machine, ...]


class MaintenanceAnswered(NamedTuple):
    """Result of `BeginMaintenance`.

    `result` is "ok", "rejected", "refused" or "unknown".
    """

    at: int
    machine: str
    wave: int
    result: str
    reason: str


class WaveReported(NamedTuple):
    """A `ReportWave` has been performed.

    `state` is what the operator is told now: "running" or "done".
    """

    at: int
    wave: int
    state: str
