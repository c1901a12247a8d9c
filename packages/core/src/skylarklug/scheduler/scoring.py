"""Scores workers for a waiting task.

Load pattern: all workers are nearly full, of long-running tasks that earn
little for their CPU, while short tasks arrive in bursts and best-effort tasks
use what the others leave idle. Short tasks fill the smallest gaps, long-running
ones leave a reserve for them and gather by image and job, and best-effort tasks
go where serving tasks allow them their full speed.
"""

import heapq

from skylarklug.scheduler import crashes
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import order
from skylarklug.scheduler import restarts

# Average share of its reserved CPU that a task uses. The rest is offered to
# best-effort tasks, which reserve none.
RESERVED_CPU_UTILIZATION = 0.55
# Short tasks earn several times what long-running ones earn for the same CPU,
# and arrive in bursts. Long-running tasks leave this multiple of the average
# demand of short tasks free on each worker.
SHORT_RESERVE_FACTOR = 1.3
# Upper limit of that reserve, as a share of a worker's CPU.
MAX_SHORT_RESERVE_SHARE = 0.2
# A reserve below this share of a worker is too small for any task and is
# dropped.
MIN_SHORT_RESERVE_SHARE = 0.02
# Time constant of the moving average of the demand of short tasks.
SHORT_DEMAND_WINDOW_MS = 8_000
# A long-running task may use the reserve after waiting this long. The platform
# allows it to be without a run for three seconds while it would fit.
LONG_RUNNING_WAIT_MS = 2_000
# A best-effort job with no running task starts one after this time on the
# worker that allows it the highest speed, however low, while the utilization is
# below LOW_UTILIZATION.
STARVED_MS = 1_200
# Reserved share of the CPU of all workers below which they count as idle.
LOW_UTILIZATION = 0.6
# A task avoids workers on which it failed, and workers in quarantine, until it
# has waited this long.
AVOID_MS = 1_500
# Share of a worker's memory that best-effort tasks leave to tasks that reserve
# CPU.
MEMORY_RESERVE_SHARE = 0.15
# Share of its full speed at which a best-effort task must be able to run on a
# worker.
MIN_INITIAL_SPEED = 0.95
# The same once the task has waited for SPEED_WAIT_MS.
MIN_SPEED_AFTER_WAIT = 0.5
# Wait after which a best-effort task accepts a lower speed.
SPEED_WAIT_MS = 1_000


def fits(worker, step, key=None) -> bool:
    """Returns whether a worker has the resources that a task requests.

    What is reserved there for other tasks than that with the key counts as
    used.
    """
    if worker.has_unknown_run:
        return False
    used = worker.used
    if worker.reservations:
        used = used_beside(worker, key)
        if step.best_effort:
            # Reserved CPU is not in use.
            used[0] = worker.used[0]
    return fits_beside(used, worker.entry.capacity, step)


def used_beside(worker, key) -> list[int]:
    """Returns what is used, or reserved for other tasks, on a worker."""
    used = list(worker.used)
    for owner, need in worker.reservations.items():
        if owner == key or owner in worker.runs:
            continue
        for index, amount in enumerate(need):
            used[index] += amount
    return used


def fits_beside(used, capacity, step) -> bool:
    """Returns whether a task fits beside used resources into a capacity."""
    need = step.resources
    if used[1] + need.memory_mb > capacity.memory_mb:
        return False
    if used[2] + need.accelerators > capacity.accelerators:
        return False
    if step.best_effort:
        if used[0] > capacity.cpu:
            return False
        memory = capacity.memory_mb - used[1] - need.memory_mb
        return memory >= MEMORY_RESERVE_SHARE * capacity.memory_mb
    return used[0] + need.cpu <= capacity.cpu


def _spare_cpu(worker):
    """Returns the CPU of a worker that is available to best-effort tasks."""
    spare = (
        worker.entry.capacity.cpu - RESERVED_CPU_UTILIZATION * worker.used[0]
    )
    for task in worker.runs.values():
        if task.step.best_effort:
            spare -= task.full_speed_cpu * task.pace / 100
    return spare


def count_tasks_of_step(worker, task) -> int:
    """Returns how many tasks of the task's step are on a worker."""
    count = 0
    for key in worker.runs:
        if key[:3] == task.key[:3]:
            count += 1
    return count


def _count_other_long_running_jobs(worker, task):
    """Returns how many other jobs have long-running tasks on a worker."""
    found = set()
    for key, other in worker.runs.items():
        if other.step.runs_until_cancelled and key.job != task.key.job:
            found.add(key.job)
    return len(found)


def _respects_reserve(state, task, candidates):
    """Returns whether a task must leave the reserve for short tasks free.

    This holds for short tasks of jobs that are too late to earn anything, and
    for long-running tasks. A long-running task may use the reserve once it has
    waited and would fit twice, because the platform then reports it as a task
    that the scheduler has forgotten.
    """
    if not task.step.runs_until_cancelled:
        return is_short(task.step) and is_expired(state, task)
    if restarts.is_overdue(state, task):
        return False
    if restarts.idle_ms(state, task) < LONG_RUNNING_WAIT_MS:
        return True
    places = 0
    for worker in candidates:
        if fits(worker, task.step, task.key):
            free = worker.entry.capacity.cpu - worker.used[0]
            places += max(1, free // max(1, task.step.resources.cpu))
    return places < 2


def is_starved(state, task):
    """Returns whether a job waits with no running task while CPU is idle."""
    if state.leader.reserved_cpu_share >= LOW_UTILIZATION:
        return False
    if state.now - task.speed_wanted_since < STARVED_MS:
        return False
    return not any(other.worker for other in task.job.tasks.values())


def is_short(step) -> bool:
    """Returns whether a step reserves CPU and ends by itself."""
    return not step.runs_until_cancelled and not step.best_effort


def is_expired(state, task) -> bool:
    """Returns whether a task's job is too late to earn anything."""
    return jobs.lateness(state, task.job) == order.EXPIRED


def _short_reserve(leader):
    """Returns the share of a worker's CPU that is reserved for short tasks."""
    reserve = SHORT_RESERVE_FACTOR * leader.short_task_demand
    if reserve < MIN_SHORT_RESERVE_SHARE:
        return 0.0
    return min(MAX_SHORT_RESERVE_SHARE, reserve)


def update_utilization(state):
    """Updates the reserved share of all CPU and the demand of short tasks."""
    leader = state.leader
    reserved = 0
    capacity = 0
    short_cpu = 0
    for worker in leader.workers.values():
        if not worker.listed:
            continue
        reserved += worker.used[0]
        capacity += worker.entry.capacity.cpu
        short_cpu += worker.short_cpu
    for group in leader.ready.values():
        task = next(iter(group.values()))
        if is_short(task.step) and not is_expired(state, task):
            short_cpu += len(group) * task.step.resources.cpu
    leader.reserved_cpu_share = reserved / capacity if capacity else 1.0
    weight = (
        min(SHORT_DEMAND_WINDOW_MS, state.now - leader.demand_updated_at)
        / SHORT_DEMAND_WINDOW_MS
    )
    leader.demand_updated_at = state.now
    if capacity:
        leader.short_task_demand += weight * (
            short_cpu / capacity - leader.short_task_demand
        )


def is_unreliable(state, worker, task) -> bool:
    """Returns whether a task is likely to fail on a worker."""
    if worker.quarantined_until > state.now:
        return True
    return worker.name in task.avoided_workers


def _waited_ms(state, task):
    """Returns how long a task has waited, over all starts if it lasts."""
    if task.step.runs_until_cancelled:
        return restarts.idle_ms(state, task)
    return state.now - task.waiting_since


def _score(state, worker, task, reserve, is_bound=False):
    """Returns a sort key, lowest best, or None if the task does not fit.

    With `is_bound`, it is a lower bound of that key, which takes a fraction of
    the time: it leaves out the interference with serving tasks, unless that is
    known already.
    """
    step = task.step
    if not fits(worker, step, task.key):
        return None
    if step.max_per_worker:
        if count_tasks_of_step(worker, task) >= step.max_per_worker:
            return None
    rack_mismatch = 0 if not step.rack or step.rack == worker.entry.rack else 1
    unreliable = is_unreliable(state, worker, task)
    if unreliable and _waited_ms(state, task) < AVOID_MS:
        return None
    prefix = (unreliable, crashes.trial_risk(task, worker), rack_mismatch)
    if step.best_effort:
        return _score_best_effort(state, worker, task, prefix, is_bound)
    capacity = worker.entry.capacity.cpu
    free = capacity - worker.used[0] - step.resources.cpu
    if step.runs_until_cancelled:
        if reserve and free < _short_reserve(state.leader) * capacity:
            return None
        # The highest load on a worker limits its best-effort tasks. Tasks of
        # one job peak at the same time, so placing them together leaves the
        # most CPU to best-effort tasks. Tasks of one image are the next best
        # neighbours, because fewer best-effort images interfere with them.
        same_step = count_tasks_of_step(worker, task)
        other_images = interference.count_other_images(worker, step.image)
        other_jobs = _count_other_long_running_jobs(worker, task)
        return (
            *prefix,
            other_images,
            other_jobs,
            -same_step,
            -free,
        )
    if reserve and free < _short_reserve(state.leader) * capacity:
        return None
    # Best fit keeps large gaps free for the tasks that request the most CPU.
    return (*prefix, free)


def _score_best_effort(state, worker, task, prefix, is_bound):
    spare = _spare_cpu(worker)
    speed = min(1.0, spare / max(1, task.step.resources.cpu))
    if not is_bound or interference.is_headroom_known(worker, task):
        speed = min(speed, interference.headroom(state, worker, task))
    needed = MIN_INITIAL_SPEED
    if state.now - task.speed_wanted_since >= SPEED_WAIT_MS:
        needed = MIN_SPEED_AFTER_WAIT
    if speed < needed and not is_starved(state, task):
        if not restarts.is_overdue(state, task):
            return None
    return (*prefix, -round(speed, 1), -spare)


def best_worker(state, task, candidates):
    """Returns the best of the candidates for a task, or None."""
    search = Search(state, task, candidates)
    return search.best_worker(state, task)


class Search:
    """Candidate workers by their score for the tasks of one step.

    Starting a task only changes the score of its worker, so the others need
    not be scored again for the next task. A worker first counts with the lower
    bound of its score; only the first of them are scored in full.
    """

    def __init__(self, state, task, candidates):
        self._profile = _search_profile(state, task)
        self._reserve = _respects_reserve(state, task, candidates)
        self._candidates = candidates
        self._excluded = set()
        self._heap = []
        for number, worker in enumerate(candidates):
            score = _score(state, worker, task, self._reserve, is_bound=True)
            if score is not None:
                self._heap.append((score, number))
        heapq.heapify(self._heap)

    def serves(self, state, task) -> bool:
        """Returns whether the scores hold for another task of the step."""
        return self._profile == _search_profile(state, task)

    def exclude(self, worker):
        """Removes a worker from the candidates."""
        self._excluded.add(worker.name)

    def best_worker(self, state, task):
        """Returns the best worker, which stays a candidate, or None."""
        while self._heap:
            _, number = self._heap[0]
            worker = self._candidates[number]
            score = None
            if worker.name not in self._excluded:
                score = _score(state, worker, task, self._reserve)
            if score is None:
                heapq.heappop(self._heap)
            elif score == self._heap[0][0]:
                return worker
            else:
                heapq.heapreplace(self._heap, (score, number))
        return None


def _search_profile(state, task):
    """Returns what decides, besides its step, where a task may run."""
    waited_ms = _waited_ms(state, task)
    return (
        frozenset(task.avoided_workers),
        crashes.is_suspect(task),
        waited_ms >= AVOID_MS,
        state.now - task.speed_wanted_since >= SPEED_WAIT_MS,
        waited_ms >= LONG_RUNNING_WAIT_MS,
        restarts.is_overdue(state, task),
        is_starved(state, task),
    )
