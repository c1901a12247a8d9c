"""Distinguishes failing jobs from failing workers.

Recent outcomes are kept in a matrix of jobs and workers. A worker is at fault
if several jobs fail on it that succeed on other workers. A job is at fault if
it fails on several workers on which other jobs succeed. Either is put in
quarantine and probed with one attempt at a time, with exponential backoff.
"""

import collections
import heapq

from skylarklug import events
from skylarklug import tasks

# Age at which outcomes are removed from the matrix.
WINDOW_MS = 600_000
# Failing jobs that put a worker in quarantine, or failing workers that do so
# with a job.
MIN_EVIDENCE = 3
# Fraction of a partition's workers that may be in quarantine, so that a fault
# elsewhere cannot exclude all of them.
MAX_WORKER_FRACTION = 0.2
# The delay before a probe doubles after each failure, up to the maximum.
INITIAL_PROBE_DELAY_MS = 30_000
MAX_PROBE_DELAY_MS = 1_800_000


class Quarantine:
    """Reason and probe state of one job or worker in quarantine.

    `active` blocks starts; it is cleared while `probing` waits for the one
    attempt of the probe.
    """

    __slots__ = ("reason", "delay_ms", "probing", "active", "partition")

    def __init__(self, partition):
        self.reason = ""
        self.delay_ms = INITIAL_PROBE_DELAY_MS
        self.probing = False
        self.active = True
        self.partition = partition


class QuarantineState:
    """The matrix of recent outcomes, quarantines, and the queue of probes.

    Each cell is a list [successes, failures], shared by the index by worker
    and the index by job.
    """

    def __init__(self):
        self.samples = collections.deque()
        self.by_worker: dict[str, dict[str, list[int]]] = {}
        self.by_job: dict[str, dict[str, list[int]]] = {}
        self.workers: dict[str, Quarantine] = {}
        self.jobs: dict[str, Quarantine] = {}
        self.probes = []


def new_state() -> QuarantineState:
    """Returns a state without outcomes."""
    return QuarantineState()


def failures_by_worker(state, job_id) -> dict:
    """Returns [successes, failures] of the job by worker."""
    return state.domains["quarantine"].by_job.get(job_id, {})


def blocks(state, job_id) -> bool:
    """Returns whether a quarantine blocks starts of the job."""
    entry = state.domains["quarantine"].jobs.get(job_id)
    return entry is not None and entry.active


def reason(state, kind, name) -> str:
    """Returns why a "job" or "worker" is in quarantine, or ""."""
    domain = state.domains["quarantine"]
    entry = (domain.jobs if kind == "job" else domain.workers).get(name)
    return entry.reason if entry is not None and entry.active else ""


def record_start(state, job_id, worker):
    """Records a start; during a probe it blocks all further starts."""
    from skylarklug import placement

    domain = state.domains["quarantine"]
    for kind, entries, name in (
        ("job", domain.jobs, job_id),
        ("worker", domain.workers, worker),
    ):
        entry = entries.get(name)
        if entry is None or not entry.probing:
            continue
        entry.active = True
        # The attempt may end without an outcome, for example by an eviction;
        # the probe is then repeated.
        probe_at = state.now + entry.delay_ms
        heapq.heappush(domain.probes, (probe_at, kind, name))
        if kind == "worker":
            placement.exclude(state, worker, "quarantine")


def record_outcome(state, effects, partition, job_id, worker, succeeded):
    """Records the outcome of an attempt and updates quarantines."""
    domain = state.domains["quarantine"]
    _expire_samples(domain, state.now - WINDOW_MS)
    cell = domain.by_worker.setdefault(worker, {}).setdefault(job_id, [0, 0])
    domain.by_job.setdefault(job_id, {})[worker] = cell
    column = 0 if succeeded else 1
    cell[column] += 1
    domain.samples.append((state.now, job_id, worker, column, cell))
    _handle_probe_outcome(
        state, effects, domain.workers, "worker", worker, succeeded
    )
    _handle_probe_outcome(state, effects, domain.jobs, "job", job_id, succeeded)
    if succeeded:
        # The success may be evidence against workers where the job failed.
        for name, other in domain.by_job.get(job_id, {}).items():
            if other[1] and not other[0]:
                _check_worker(state, effects, domain, partition, name)
        return
    _check_worker(state, effects, domain, partition, worker)
    _check_job(state, effects, domain, partition, job_id)


def _expire_samples(domain, cutoff):
    while domain.samples and domain.samples[0][0] < cutoff:
        _, job_id, worker, column, cell = domain.samples.popleft()
        cell[column] -= 1
        current = domain.by_worker.get(worker, {}).get(job_id)
        if not any(cell) and current is cell:
            _remove_cell(domain.by_worker, worker, job_id)
            _remove_cell(domain.by_job, job_id, worker)


def _remove_cell(matrix, row, column):
    del matrix[row][column]
    if not matrix[row]:
        del matrix[row]


def _check_worker(state, effects, domain, partition, worker):
    if worker in domain.workers:
        return
    failing_jobs = [
        job_id
        for job_id, cell in sorted(domain.by_worker.get(worker, {}).items())
        if cell[1]
        and not cell[0]
        and any(
            other[0]
            for name, other in domain.by_job[job_id].items()
            if name != worker
        )
    ]
    if len(failing_jobs) < MIN_EVIDENCE:
        return
    from skylarklug import placement

    count = sum(q.partition == partition for q in domain.workers.values())
    if count + 1 > MAX_WORKER_FRACTION * len(
        placement.workers_of(state, partition)
    ):
        return
    names = ",".join(failing_jobs[:MIN_EVIDENCE])
    entry = domain.workers[worker] = Quarantine(partition)
    entry.reason = f"jobs {names} fail here and succeed elsewhere"
    placement.exclude(state, worker, "quarantine")
    _log_and_schedule_probe(state, effects, domain, "worker", worker, entry)


def _check_job(state, effects, domain, partition, job_id):
    if job_id in domain.jobs:
        return
    cells = domain.by_job[job_id]
    failing_workers = [
        worker
        for worker, cell in sorted(cells.items())
        if cell[1]
        and not cell[0]
        and any(
            other[0]
            for name, other in domain.by_worker[worker].items()
            if name != job_id
        )
    ]
    if len(failing_workers) < MIN_EVIDENCE:
        return
    entry = domain.jobs[job_id] = Quarantine(partition)
    names = ",".join(failing_workers[:MIN_EVIDENCE])
    entry.reason = f"fails on {names}, where other jobs succeed"
    _log_and_schedule_probe(state, effects, domain, "job", job_id, entry)


def _log_and_schedule_probe(state, effects, domain, kind, name, entry):
    tasks.log(
        effects, "quarantine", "warning", kind=kind, name=name,
        partition=entry.partition, reason=entry.reason,
        probe_ms=entry.delay_ms,
    )  # fmt: skip
    probe_at = state.now + entry.delay_ms
    heapq.heappush(domain.probes, (probe_at, kind, name))


def _handle_probe_outcome(state, effects, entries, kind, name, succeeded):
    """Ends a quarantine after a successful probe, or doubles the delay."""
    from skylarklug import placement

    entry = entries.get(name)
    if entry is None or not entry.probing:
        return
    domain = state.domains["quarantine"]
    if not succeeded:
        entry.probing, entry.active = False, True
        entry.delay_ms = min(2 * entry.delay_ms, MAX_PROBE_DELAY_MS)
        _log_and_schedule_probe(state, effects, domain, kind, name, entry)
        return
    del entries[name]
    tasks.log(effects, "quarantine-over", kind=kind, name=name)
    if kind == "worker":
        # The recorded failures would put it back in quarantine at once.
        for job_id in list(domain.by_worker.get(name, ())):
            _remove_cell(domain.by_worker, name, job_id)
            _remove_cell(domain.by_job, job_id, name)
        placement.clear_exclusion(state, name, "quarantine")
    else:
        placement.retry(state, entry.partition, name)


def _on_tick(state, event, effects):
    from skylarklug import placement

    domain = state.domains["quarantine"]
    while domain.probes and domain.probes[0][0] <= state.now:
        _, kind, name = heapq.heappop(domain.probes)
        entry = (domain.jobs if kind == "job" else domain.workers).get(name)
        if entry is None or not entry.active:
            continue
        entry.probing, entry.active = True, False
        tasks.log(effects, "quarantine-probe", kind=kind, name=name)
        if kind == "worker":
            placement.clear_exclusion(state, name, "quarantine")
        else:
            placement.retry(state, entry.partition, name)


def _on_lost(state, event, effects):
    domain = state.domains["quarantine"]
    for entries in (domain.workers, domain.jobs):
        for name, entry in list(entries.items()):
            if entry.partition == event.partition:
                del entries[name]


HANDLERS = {
    events.Tick: _on_tick,
    events.PartitionLost: _on_lost,
}
