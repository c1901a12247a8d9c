"""Distinguishes failing jobs from failing workers.

Recent outcomes form a matrix of jobs and workers. A worker on which jobs fail
that succeed elsewhere is at fault; a job that fails where others succeed is
at fault itself.
"""

import collections
import heapq

from skylarklug import events
from skylarklug import tasks

WINDOW_MS = 600_000
EVIDENCE = 3
WORKER_CAP = 0.2
INITIAL_PROBE_DELAY_MS = 30_000
LAST_PROBE_MS = 1_800_000


class Quarantine:
    """Why a job or a worker gets nothing, and when it is probed."""

    __slots__ = ("reason", "delay_ms", "probing", "active", "partition")

    def __init__(self, partition):
        self.reason = ""
        self.delay_ms = INITIAL_PROBE_DELAY_MS
        self.probing = False
        self.active = True
        self.partition = partition


class QuarantineState:
    """The matrix of recent outcomes and what follows from it.

    Each cell is [successes, failures]; it is kept under the worker and
    under the job.
    """

    def __init__(self):
        self.samples = collections.deque()
        self.by_worker: dict[str, dict[str, list[int]]] = {}
        self.by_job: dict[str, dict[str, list[int]]] = {}
        self.workers: dict[str, Quarantine] = {}
        self.jobs: dict[str, Quarantine] = {}
        self.probes = []


def new_state() -> QuarantineState:
    """Returns the state without samples."""
    return QuarantineState()


def failures_by_worker(state, job_id) -> dict:
    """Returns [successes, failures] of the job for each worker."""
    return state.domains["quarantine"].by_job.get(job_id, {})


def blocks(state, job_id) -> bool:
    """Says whether the job may not start now."""
    entry = state.domains["quarantine"].jobs.get(job_id)
    return entry is not None and entry.active


def reason(state, kind, name) -> str:
    """Returns why a "job" or "worker" is in quarantine, or ""."""
    mine = state.domains["quarantine"]
    entry = (mine.jobs if kind == "job" else mine.workers).get(name)
    return entry.reason if entry is not None and entry.active else ""


def record_start(state, job_id, worker):
    """Notes a start; while probing, one attempt is enough."""
    from skylarklug import placement

    mine = state.domains["quarantine"]
    for kind, entries, name in (
        ("job", mine.jobs, job_id),
        ("worker", mine.workers, worker),
    ):
        entry = entries.get(name)
        if entry is None or not entry.probing:
            continue
        entry.active = True
        # The attempt may end without an outcome, such as an eviction.
        at = state.now + entry.delay_ms
        heapq.heappush(mine.probes, (at, kind, name))
        if kind == "worker":
            placement.exclude(state, worker, "quarantine")


def record_outcome(state, effects, partition, job_id, worker, succeeded):
    """Takes the outcome of an attempt."""
    mine = state.domains["quarantine"]
    _forget(mine, state.now - WINDOW_MS)
    cell = mine.by_worker.setdefault(worker, {}).setdefault(job_id, [0, 0])
    mine.by_job.setdefault(job_id, {})[worker] = cell
    column = 0 if succeeded else 1
    cell[column] += 1
    mine.samples.append((state.now, job_id, worker, column, cell))
    _probed(state, effects, mine.workers, "worker", worker, succeeded)
    _probed(state, effects, mine.jobs, "job", job_id, succeeded)
    if succeeded:
        # This success may be the evidence against workers where it failed.
        for name, other in mine.by_job.get(job_id, {}).items():
            if other[1] and not other[0]:
                _check_worker(state, effects, mine, partition, name)
        return
    _check_worker(state, effects, mine, partition, worker)
    _check_job(state, effects, mine, partition, job_id)


def _forget(mine, before):
    while mine.samples and mine.samples[0][0] < before:
        _, job_id, worker, column, cell = mine.samples.popleft()
        cell[column] -= 1
        current = mine.by_worker.get(worker, {}).get(job_id)
        if not any(cell) and current is cell:
            _remove(mine.by_worker, worker, job_id)
            _remove(mine.by_job, job_id, worker)


def _remove(matrix, row, column):
    del matrix[row][column]
    if not matrix[row]:
        del matrix[row]


def _check_worker(state, effects, mine, partition, worker):
    if worker in mine.workers:
        return
    failing = [
        job_id
        for job_id, cell in sorted(mine.by_worker.get(worker, {}).items())
        if cell[1]
        and not cell[0]
        and any(
            other[0]
            for name, other in mine.by_job[job_id].items()
            if name != worker
        )
    ]
    if len(failing) < EVIDENCE:
        return
    from skylarklug import placement

    count = sum(q.partition == partition for q in mine.workers.values())
    if count + 1 > WORKER_CAP * len(placement.workers_of(state, partition)):
        return
    names = ",".join(failing[:EVIDENCE])
    entry = mine.workers[worker] = Quarantine(partition)
    entry.reason = f"jobs {names} fail here and succeed elsewhere"
    placement.exclude(state, worker, "quarantine")
    _announce(state, effects, mine, "worker", worker, entry)


def _check_job(state, effects, mine, partition, job_id):
    if job_id in mine.jobs:
        return
    cells = mine.by_job[job_id]
    places = [
        worker
        for worker, cell in sorted(cells.items())
        if cell[1]
        and not cell[0]
        and any(
            other[0]
            for name, other in mine.by_worker[worker].items()
            if name != job_id
        )
    ]
    if len(places) < EVIDENCE:
        return
    entry = mine.jobs[job_id] = Quarantine(partition)
    names = ",".join(places[:EVIDENCE])
    entry.reason = f"fails on {names}, where other jobs succeed"
    _announce(state, effects, mine, "job", job_id, entry)


def _announce(state, effects, mine, kind, name, entry):
    tasks.log(
        effects, "quarantine", "warning", kind=kind, name=name,
        partition=entry.partition, reason=entry.reason,
        probe_ms=entry.delay_ms,
    )  # fmt: skip
    at = state.now + entry.delay_ms
    heapq.heappush(mine.probes, (at, kind, name))


def _probed(state, effects, entries, kind, name, succeeded):
    """Ends a quarantine after a good probe, or doubles the delay."""
    from skylarklug import placement

    entry = entries.get(name)
    if entry is None or not entry.probing:
        return
    mine = state.domains["quarantine"]
    if not succeeded:
        entry.probing, entry.active = False, True
        entry.delay_ms = min(2 * entry.delay_ms, LAST_PROBE_MS)
        _announce(state, effects, mine, kind, name, entry)
        return
    del entries[name]
    tasks.log(effects, "quarantine-over", kind=kind, name=name)
    if kind == "worker":
        # The old failures would quarantine it again at once.
        for job_id in list(mine.by_worker.get(name, ())):
            _remove(mine.by_worker, name, job_id)
            _remove(mine.by_job, job_id, name)
        placement.include(state, name, "quarantine")
    else:
        placement.retry(state, entry.partition, name)


def _on_tick(state, event, effects):
    from skylarklug import placement

    mine = state.domains["quarantine"]
    while mine.probes and mine.probes[0][0] <= state.now:
        _, kind, name = heapq.heappop(mine.probes)
        entry = (mine.jobs if kind == "job" else mine.workers).get(name)
        if entry is None or not entry.active:
            continue
        entry.probing, entry.active = True, False
        tasks.log(effects, "quarantine-probe", kind=kind, name=name)
        if kind == "worker":
            placement.include(state, name, "quarantine")
        else:
            placement.retry(state, entry.partition, name)


def _on_lost(state, event, effects):
    mine = state.domains["quarantine"]
    for entries in (mine.workers, mine.jobs):
        for name, entry in list(entries.items()):
            if entry.partition == event.partition:
                del entries[name]


HANDLERS = {
    events.Tick: _on_tick,
    events.PartitionLost: _on_lost,
}
