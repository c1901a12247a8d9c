"""Reserves room on workers for overdue tasks that fit nowhere.

Load pattern: short tasks wait in excess, and each takes the resources that
another one frees, so that the larger request of a long-running task never fits
although it comes first. A reservation keeps all that becomes free on one worker
until the task fits. It is made where that is expected soonest, and while the
worker of a run is silent, before the run counts as lost.
"""

import heapq
from typing import NamedTuple

from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import restarts
from skylarklug.scheduler import scoring
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import waiting

# Maximum share of the resources of all workers that reservations hold, except
# for tasks that have been idle for `restarts.URGENT_MS`. One is always allowed.
MAX_RESERVED_SHARE = 0.1
# Interval at which a reservation may move to a worker that is free sooner.
REVIEW_INTERVAL_MS = 500
# Number of workers, those with the smallest shortage, that a review compares by
# when their runs end.
MAX_CANDIDATES = 64
# Maximum number of reservations that are made or reviewed in one pass.
MAX_REVIEWS = 4
# Time for which a reservation may stay on a worker that refuses its task.
MAX_REFUSED_MS = 2_200
# Expected remaining time of a run that has outlasted its estimate.
MIN_REMAINING_MS = 200
# The tasks of a worker that has been silent for this long get reservations. Its
# leases end two to three seconds later.
SILENCE_MS = 4_000


class Reservation(NamedTuple):
    """Room on a worker that is kept for a task.

    Attributes:
        task: The task.
        worker: Name of the worker.
        share: Largest share of a resource of all workers that it takes.
        reviewed_at: When the worker was chosen.
    """

    task: state_lib.Task
    worker: str
    share: float
    reviewed_at: int


def update(state):
    """Removes the reservations that are not needed or cannot be used."""
    leader = state.leader
    for key, reservation in list(leader.reservations.items()):
        worker = leader.workers.get(reservation.worker)
        if worker is not None and worker.reservations.get(key) is not None:
            # A worker that fails a poll or two goes on.
            is_kept = _is_open(worker) and worker.is_responsive(state.now)
            if is_kept and _is_needed(state, reservation.task):
                continue
        release(leader, key)


def _is_needed(state, task):
    if task.job.state in records.FINAL_STATES:
        return False
    if task.status == state_lib.WAITING:
        leader = state.leader
        if task.key in leader.idle_released or leader.location_awaited:
            # It starts after the next commit.
            return True
        return restarts.is_overdue(state, task)
    if task.status == state_lib.STARTING:
        # The worker may still refuse the start.
        return True
    worker = state.leader.workers.get(task.worker)
    return worker is not None and _is_silent(state, worker)


def _is_open(worker):
    """Returns whether a worker that answers may get tasks."""
    if not worker.listed or worker.cordoned:
        return False
    return not worker.entry.draining


def _is_silent(state, worker):
    if not worker.failed_polls:
        return False
    return state.now - worker.answered_at >= SILENCE_MS


def release(leader, key):
    """Removes the reservation of a task, if there is one."""
    reservation = leader.reservations.pop(key, None)
    if reservation is None:
        return
    worker = leader.workers.get(reservation.worker)
    if worker is not None:
        worker.reservations.pop(key, None)
        worker.record_change(leader)


def overdue_tasks(state) -> list:
    """Returns the waiting tasks that are overdue.

    Those with a reservation come first, then those whose last run ended first,
    so that tasks that fail at each start take turns with the others.
    """
    reservations = state.leader.reservations
    found = []
    for group in state.leader.ready.values():
        first = next(iter(group.values()))
        if not first.step.runs_until_cancelled:
            continue
        for task in group.values():
            if restarts.is_overdue(state, task):
                found.append(task)
    found.sort(
        key=lambda task: (
            task.key not in reservations,
            task.last_run_at,
            task.key,
        )
    )
    return found


def tasks_of_silent_workers(state) -> list:
    """Returns the long-running tasks whose runs are probably lost."""
    found = []
    for worker in state.leader.workers.values():
        if not worker.runs or not _is_silent(state, worker):
            continue
        for task in worker.runs.values():
            if task.job.state in records.FINAL_STATES or task.step.gang:
                continue
            if task.step.runs_until_cancelled:
                found.append(task)
    for group in state.leader.ready.values():
        first = next(iter(group.values()))
        if not first.step.runs_until_cancelled or first.step.gang:
            continue
        for task in group.values():
            # A former leader may have started it on a worker that is silent.
            if not task.held or task.wait_reason != waiting.NOT_SETTLED:
                continue
            if restarts.idle_ms(state, task) >= SILENCE_MS:
                found.append(task)
    return found


def reserve(state, task, candidates) -> bool:
    """Reserves room for a task on the worker that is expected to have it first.

    Args:
        state: The node's state.
        task: A task that fits on none of the candidates now, or that does not
            wait for its start yet.
        candidates: Workers that may run it, even if they are full.

    Returns:
        Whether there is a reservation for the task.
    """
    return reserve_all(state, [task], candidates)


def reserve_all(state, tasks, candidates) -> bool:
    """Reserves room for all of the tasks of a step, or for none of them.

    The arguments are those of `reserve`.
    """
    leader = state.leader
    if all(keeps_reservation(state, task) for task in tasks):
        return True
    for task in tasks:
        release(leader, task.key)
    if is_limited(state, tasks):
        return False
    leader.reviews_left = max(0, leader.reviews_left - len(tasks))
    for task in tasks:
        if not _reserve_worker(state, task, candidates):
            for other in tasks:
                release(leader, other.key)
            return False
    return True


def hold(state, task, worker):
    """Keeps the room of a worker on which a task fits until it may start."""
    leader = state.leader
    reservation = leader.reservations.get(task.key)
    if reservation is not None and reservation.worker == worker.name:
        return
    release(leader, task.key)
    _add(state, task, worker)


def _add(state, task, worker):
    leader = state.leader
    leader.reservations[task.key] = Reservation(
        task, worker.name, _largest_share(leader, task), state.now
    )
    worker.reservations[task.key] = orders.counted_resources(task.step)


def keeps_reservation(state, task) -> bool:
    """Returns whether the reservation of a task need not be reviewed now."""
    reservation = state.leader.reservations.get(task.key)
    if reservation is None:
        return False
    if state.now - reservation.reviewed_at < REVIEW_INTERVAL_MS:
        return True
    if state.leader.reviews_left <= MAX_REVIEWS // 2:
        # The rest is for tasks that have no reservation yet.
        return True
    worker = state.leader.workers[reservation.worker]
    if worker.failed_polls or worker.name in state.leader.expiring:
        # It gets no starts for a moment, but `update` has kept it.
        return True
    return _is_refused_only(state, task, reservation)


def _reserve_worker(state, task, candidates):
    usable = []
    for worker in candidates:
        if _is_open(worker) and not worker.failed_polls:
            usable.append(worker)
    nearest = usable
    if len(usable) > MAX_CANDIDATES:
        nearest = heapq.nsmallest(
            MAX_CANDIDATES,
            usable,
            key=lambda worker: _shortage(worker, task),
        )
    worker = _first_ready(state, task, nearest)
    if worker is None and nearest is not usable:
        worker = _first_ready(state, task, usable)
    if worker is None:
        return False
    _add(state, task, worker)
    return True


def _shortage(worker, task):
    """Returns the largest share of a worker's resources that a task lacks."""
    shortage = 0.0
    need = orders.counted_resources(task.step)
    capacity = worker.entry.capacity
    for used, amount, limit in zip(worker.used, need, capacity, strict=True):
        if limit:
            shortage = max(shortage, (used + amount - limit) / limit)
    return shortage


def _first_ready(state, task, workers):
    """Returns the worker that is expected to have room first, or None."""
    best = None
    for worker in workers:
        ready_in_ms = _ready_in_ms(state, worker, task)
        if ready_in_ms is None:
            continue
        unreliable = scoring.is_unreliable(state, worker, task)
        key = (unreliable, ready_in_ms, worker.name)
        if best is None or key < best[0]:
            best = key, worker
    return None if best is None else best[1]


def _is_refused_only(state, task, reservation):
    """Returns whether a task fits on its worker, which has just refused it."""
    worker = state.leader.workers[reservation.worker]
    if state.now >= worker.backoff_until or not _is_open(worker):
        return False
    if state.now - reservation.reviewed_at >= MAX_REFUSED_MS:
        return False
    return scoring.fits(worker, task.step, task.key)


def is_limited(state, tasks) -> bool:
    """Returns whether the limit leaves no room for reservations of tasks."""
    leader = state.leader
    first = tasks[0]
    if first.worker:
        idle_ms = state.now - leader.workers[first.worker].answered_at
    else:
        idle_ms = restarts.idle_ms(state, first)
    if idle_ms >= restarts.URGENT_MS:
        return False
    reserved = sum(other.share for other in leader.reservations.values())
    added = len(tasks) * _largest_share(leader, tasks[0])
    return reserved > 0 and reserved + added > MAX_RESERVED_SHARE


def _largest_share(leader, task):
    total = [0, 0, 0]
    for worker in leader.workers.values():
        if not worker.listed:
            continue
        for index, amount in enumerate(worker.entry.capacity):
            total[index] += amount
    need = orders.counted_resources(task.step)
    shares = [0.0]
    for amount, available in zip(need, total, strict=True):
        if available:
            shares.append(amount / available)
    return max(shares)


def _ready_in_ms(state, worker, task):
    """Returns when a worker is expected to have room, in ms from now.

    Returns None if it does not have room even once all runs that end by
    themselves have ended.
    """
    limit = task.step.max_per_worker
    if limit and _count_step(worker, task) >= limit:
        return None
    if worker.has_unknown_run:
        return None
    capacity = worker.entry.capacity
    used = scoring.used_beside(worker, task.key)
    ends = [(0, need) for need in worker.unwanted_runs]
    for other in worker.runs.values():
        remaining_ms = _remaining_ms(state, other)
        if remaining_ms is not None:
            ends.append((remaining_ms, orders.counted_resources(other.step)))
    ends.sort()
    ready_in_ms = 0
    for remaining_ms, freed in ends:
        if scoring.fits_beside(used, capacity, task.step):
            break
        ready_in_ms = remaining_ms
        used = [amount - part for amount, part in zip(used, freed, strict=True)]
    if scoring.fits_beside(used, capacity, task.step):
        return ready_in_ms
    return None


def _count_step(worker, task):
    """Returns how many tasks of a step a worker has or is reserved for."""
    count = scoring.count_tasks_of_step(worker, task)
    for key in worker.reservations:
        if key[:3] != task.key[:3] or key == task.key:
            continue
        if key not in worker.runs:
            count += 1
    return count


def _remaining_ms(state, task):
    """Returns when a run is expected to end, or None if it does not end."""
    if task.status == state_lib.STOPPING:
        return 0
    if task.step.runs_until_cancelled:
        return None
    ran_ms = orders.ran_ms(task, state.now)
    return max(MIN_REMAINING_MS, task.step.estimate_ms - ran_ms)
