"""When the leases of silent workers end, in a row for later leaders.

A leader renews leases all the time, so its successor only knows that each of
them ends at most a lease's length after the take-over. If several leaders stop
in a row, each of them would wait that long for a worker that does not answer.
So a leader records when the last lease of such a worker ends and which tasks
may still run there. It renews no lease of the worker and starts nothing on it
until the record has been removed. A leader that stops as planned also records
when all the leases that it has granted end.

The times are on the store's clock, which all nodes can read.
"""

import math
from typing import Any
from typing import NamedTuple

from skylarklug.scheduler import records

TABLE = "handover"
KEY = "leases"
# How a leader knows when a lease ends: it has granted it, a former leader has
# recorded it for this worker, a former leader has recorded it for all of its
# leases as it stopped, or with its heartbeats, or it is the end of the longest
# lease that there may be.
GRANTED = "granted"
RECORDED = "recorded"
RELEASED = "released"
HORIZON = "horizon"
LONGEST = "longest"
SOURCES = (GRANTED, RECORDED, RELEASED, HORIZON, LONGEST)
# Maximum relative rate difference of two clocks, from the platform's protocol.
CLOCK_DRIFT = 0.02
# Most tasks that the row names; each takes about 40 bytes of 64 KiB. Workers
# beyond this limit may run any task.
MAX_TASKS = 400
# Most unsaved jobs that the row names; each takes about 20 bytes.
MAX_UNSAVED_JOBS = 400


class ClockReading(NamedTuple):
    """The store's clock at some time between a request and its answer.

    Attributes:
        store_ms: The store's clock in ms; 0 if it is not known.
        sent_at: When the request was sent, in ms of this node's clock.
        answered_at: When the answer arrived, in ms of this node's clock.
    """

    store_ms: int
    sent_at: int
    answered_at: int


class Expiry(NamedTuple):
    """The end of the last lease of a worker.

    Attributes:
        at: When the lease ends, in ms of this node's clock.
        tasks: The tasks that may run there; None if any may.
        store_ms: The same time on the store's clock, if a former leader has
            recorded it; 0 otherwise.
        source: How it is known, one of `SOURCES`, for the log.
    """

    at: int
    tasks: frozenset[records.TaskKey] | None
    store_ms: int = 0
    source: str = LONGEST


class FormerWorker(NamedTuple):
    """A worker that a former leader may have used.

    Attributes:
        address: Its address, "host:port".
        service: Name of its service.
        zone: Its zone.
        expiry: The end of its last lease.
    """

    address: str
    service: str
    zone: str
    expiry: Expiry


class Release(NamedTuple):
    """What a leader records when it stops as planned.

    Attributes:
        expiry: The end of all leases that it has granted.
        unsaved_jobs: The jobs whose rows did not show all ends of their runs;
            None if any may be one.
        waiting: Tasks that run nowhere, or only on a silent worker.
    """

    expiry: Expiry
    unsaved_jobs: frozenset[str] | None
    waiting: frozenset[records.TaskKey]


def limit_tasks(expiries: dict[str, Expiry]) -> dict[str, Expiry]:
    """Returns the expiries with at most `MAX_TASKS` tasks named in total."""
    limited = {}
    task_count = 0
    for name, expiry in expiries.items():
        if expiry.tasks is not None:
            task_count += len(expiry.tasks)
            if task_count > MAX_TASKS:
                expiry = expiry._replace(tasks=None)
        limited[name] = expiry
    return limited


def latest_store_ms(reading: ClockReading, at: int) -> int:
    """Returns the latest time of the store's clock at our time `at`."""
    elapsed = max(0, at - reading.sent_at)
    return reading.store_ms + math.ceil(elapsed * (1 + CLOCK_DRIFT))


def reached_at(reading: ClockReading, store_ms: int) -> int:
    """Returns our time from which on the store's clock is past `store_ms`."""
    remaining = max(0, store_ms - reading.store_ms)
    return reading.answered_at + math.ceil(remaining * (1 + CLOCK_DRIFT))


def encode(
    reading: ClockReading,
    epoch: int,
    expiries: dict[str, Expiry],
    release: Release | None = None,
) -> dict[str, Any]:
    """Returns the row's value.

    Args:
        reading: A reading of the store's clock.
        epoch: The leader's epoch.
        expiries: Ends of leases by worker.
        release: Given if the leader stops.
    """
    workers = {}
    for name, expiry in expiries.items():
        tasks = None
        if expiry.tasks is not None:
            tasks = _encode_tasks(expiry.tasks)
        workers[name] = [_store_ms(reading, expiry), tasks]
    value = {"epoch": epoch, "workers": workers}
    if release is not None:
        value["released_until"] = _store_ms(reading, release.expiry)
        if release.unsaved_jobs is not None:
            unsaved = sorted(release.unsaved_jobs)
            if len(unsaved) <= MAX_UNSAVED_JOBS:
                value["unsaved_jobs"] = unsaved
        value["waiting"] = _encode_tasks(release.waiting)
    return value


def _encode_tasks(tasks):
    return [list(key) for key in sorted(tasks)]


def _decode_tasks(rows):
    return frozenset(records.TaskKey(*fields) for fields in rows)


def _store_ms(reading, expiry):
    return expiry.store_ms or latest_store_ms(reading, expiry.at)


def decode(
    reading: ClockReading, value: Any, epoch: int, since_epoch: int
) -> tuple[dict[str, Expiry], Release | None]:
    """Decodes the row's value for the leader of `epoch`.

    Args:
        reading: A reading of the store's clock.
        value: The row's value.
        epoch: The leader's epoch.
        since_epoch: Since which epoch all leaders have kept the row.

    Returns:
        (expiries by worker, the release of the former leader or None).

    Raises:
        ValueError: The store's clock is not known.
    """
    if not reading.store_ms:
        raise ValueError("the store's clock is not known")
    written_in = value["epoch"]
    if not since_epoch <= written_in < epoch:
        return {}, None
    expiries = {}
    for name, (store_ms, tasks) in value["workers"].items():
        keys = None
        if tasks is not None:
            keys = _decode_tasks(tasks)
        at = reached_at(reading, store_ms)
        expiries[name] = Expiry(at, keys, store_ms, RECORDED)
    if written_in != epoch - 1 or "released_until" not in value:
        # A later leader may have granted leases.
        return expiries, None
    store_ms = value["released_until"]
    expiry = Expiry(reached_at(reading, store_ms), None, store_ms, RELEASED)
    unsaved = value.get("unsaved_jobs")
    if unsaved is not None:
        unsaved = frozenset(unsaved)
    waiting = _decode_tasks(value.get("waiting", ()))
    return expiries, Release(expiry, unsaved, waiting)
