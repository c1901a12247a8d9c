"""Output effects of the reducer: plain data that adapters carry out."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

# ----------------------------------------------------------------- requests


class SendAttempt(NamedTuple):
    """Send the request to a worker. `timeout_ms` covers the whole attempt."""

    req_id: str
    attempt: int
    worker: str
    address: str
    timeout_ms: int


class ForwardAttempt(NamedTuple):
    """Send the request to a node of another data centre."""

    req_id: str
    attempt: int
    node: str
    address: str
    timeout_ms: int


class CancelAttempt(NamedTuple):
    """Close the attempt's connection; its answer is no longer needed."""

    req_id: str
    attempt: int


class RelayAnswer(NamedTuple):
    """Relay the attempt's answer to the caller, starting with its head."""

    req_id: str
    attempt: int


class AnswerError(NamedTuple):
    """Answer the caller with an error that this system generated.

    `outcome` is "not run" or "unknown". `retry_after_s` is 0 for none.
    """

    req_id: str
    status: int
    outcome: str
    step: str
    peer: str
    reason: str
    retry_after_s: int


# ----------------------------------------------------------------- platform


class Check(NamedTuple):
    """The row must have this version; 0 means that it must be absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or delete it when `value` is None."""

    key: str
    value: Mapping[str, Any] | None


class CommitTable(NamedTuple):
    """Run one conditional transaction against the table."""

    op_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    timeout_ms: int


class ReadTable(NamedTuple):
    """Read the rows of these keys and prefixes that changed after a version."""

    op_id: str
    keys: tuple[str, ...]
    prefixes: tuple[str, ...]
    after_version: int
    timeout_ms: int


class PutObject(NamedTuple):
    """Store an object."""

    op_id: str
    key: str
    body: bytes


class GetObject(NamedTuple):
    """Fetch an object."""

    op_id: str
    key: str


class Command(NamedTuple):
    """A command to a worker: start, stop, checkpoint, throttle or ack.

    `fields` holds what the operation needs besides task and attempt.
    """

    op: str
    task: str
    attempt: int
    fields: Mapping[str, Any]


class SyncWorker(NamedTuple):
    """One exchange with a worker's control endpoint.

    `lease_until` is in the worker's clock in milliseconds, 0 when that clock
    is not known yet. `valid_until` is in the node's monotonic milliseconds:
    the adapter discards the effect instead of sending it after that time.
    """

    worker: str
    control: str
    partition: str
    epoch: int
    seq: int
    lease_until: int
    known_revision: int
    commands: tuple[Command, ...]
    valid_until: int
    timeout_ms: int


# -------------------------------------------------------- peers and process


class ConnectPeer(NamedTuple):
    """Open a link to another node."""

    peer: str
    address: str


class ClosePeer(NamedTuple):
    """Close the link to another node."""

    peer: str
    reason: str


class SendPeer(NamedTuple):
    """Send one message to another node; dropped when no link is open."""

    peer: str
    body: Mapping[str, Any]


class AnswerCommand(NamedTuple):
    """Answer an operator's command.

    `status` is "done", "not-met", "bad-input", "conflict", "unavailable" or
    "not-allowed".
    """

    op_id: str
    status: str
    body: Mapping[str, Any]


class SetReady(NamedTuple):
    """Set what `/ready` answers."""

    ready: bool
    reason: str


class StopAccepting(NamedTuple):
    """Close the listener for callers; exchanges in flight continue."""


class Exit(NamedTuple):
    """End the process with this status."""

    status: int
    reason: str


class Log(NamedTuple):
    """One log line; `level` is "info", "warning" or "error"."""

    level: str
    event: str
    fields: Mapping[str, Any]


class Measure(NamedTuple):
    """Add `value` to the metric `name` with these attributes."""

    name: str
    value: float
    attributes: Mapping[str, str]
