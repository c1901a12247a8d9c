"""Preempts long-running tasks to free resources for other tasks.

Short tasks earn several times what long-running ones earn for the same CPU,
but cannot wait. A long-running job loses little while one of its many tasks is
stopped. An overdue long-running task may preempt one of a newer job.
"""

from skylarklug.scheduler import jobs
from skylarklug.scheduler import maintenance
from skylarklug.scheduler import orders
from skylarklug.scheduler import restarts
from skylarklug.scheduler import scoring
from skylarklug.scheduler import state as state_lib

# Minimum wait of a short task before it preempts. Tasks that are about to end
# would have freed CPU for it within this time.
MIN_WAIT_MS = 300
# Minimum time between two preemptions. A stop takes up to 400 ms to free CPU,
# so stops in closer succession would free more than the waiting tasks can use.
MIN_INTERVAL_MS = 250
# A task that has failed this often soon after its start preempts nothing.
MAX_FAILURES = 3
# Largest share of a step's tasks that may be unavailable after a preemption.
MAX_UNAVAILABLE_SHARE = 0.25


def preempt_for(state, effects, task, candidates) -> None:
    """Stops a long-running task if that frees enough CPU for a short one.

    Args:
        state: The node's state.
        effects: Receives the orders to workers.
        task: A short task that fits on no worker.
        candidates: Workers that may run it, even if they are full.
    """
    leader = state.leader
    if (
        state.now - task.waiting_since < MIN_WAIT_MS
        or state.now < leader.preemption_due_at
    ):
        return
    if jobs.lateness(state, task.job):
        return

    def is_dispensable(other):
        if not restarts.may_preempt(state, other):
            return False
        return _unavailable_share(other) <= MAX_UNAVAILABLE_SHARE

    _preempt(state, effects, task, candidates, is_dispensable)


def preempt_newer_for(state, effects, task, candidates) -> bool:
    """Stops a task of a newer job if that frees enough for an overdue task.

    Where long-running tasks take up all workers for good, those of the oldest
    jobs run. The arguments are those of `preempt_for`.

    Returns:
        Whether a task was stopped.
    """
    if state.now < state.leader.preemption_due_at:
        return False
    if len(task.failures) >= MAX_FAILURES:
        return False

    def is_newer(other):
        if state.now - other.running_since < restarts.MIN_RUN_MS:
            return False
        return other.job.spec.accepted_ms > task.job.spec.accepted_ms

    return _preempt(state, effects, task, candidates, is_newer)


def suspend_for(state, effects, task, worker) -> None:
    """Stops batch tasks on a worker that can resume, to make room for a task.

    Called for an overdue task that has a reservation of the worker, if what
    runs there does not end in time.
    """
    missing = _missing_resources(worker, task)
    if max(missing) <= 0:
        return
    victims = []
    for other in worker.runs.values():
        step = other.step
        if other.status != state_lib.WORKING or step.gang:
            continue
        if step.checkpoints and not step.runs_until_cancelled:
            victims.append(other)
    victims.sort(key=lambda other: (-other.step.resources.cpu, other.key))
    chosen = []
    for other in victims:
        if max(missing) <= 0:
            break
        freed = orders.counted_resources(other.step)
        for index, amount in enumerate(freed):
            missing[index] -= amount
        chosen.append(other)
    if max(missing) > 0:
        return
    for other in chosen:
        orders.stop(state, effects, other, f"room for {task.key}")


def _preempt(state, effects, task, candidates, allows):
    victim = _choose_victim(state, task, candidates, allows)
    if victim is None:
        return False
    state.leader.preemption_due_at = state.now + MIN_INTERVAL_MS
    victim.preemptions += 1
    orders.stop(state, effects, victim, f"room for {task.key}")
    return True


def _choose_victim(state, task, candidates, allows):
    """Returns the long-running task to stop, or None.

    `allows` returns whether a task may be stopped for this one.
    """
    best = None
    chosen = None
    priority = jobs.priority_of(state, task.job)
    for worker in candidates:
        missing = _missing_resources(worker, task)
        if max(missing) <= 0:
            # A stop in progress already frees enough.
            return None
        for other in worker.runs.values():
            if not _is_preemptible(other):
                continue
            pairs = zip(other.step.resources, missing, strict=True)
            if any(freed < needed for freed, needed in pairs):
                continue
            if jobs.priority_of(state, other.job) < priority:
                continue
            if not allows(other):
                continue
            score = (
                _unavailable_share(other),
                other.step.resources.cpu,
                other.key,
            )
            if best is None or score < best:
                best = score
                chosen = other
    return chosen


def _missing_resources(worker, task):
    """Returns what a task lacks on a worker after the stops in progress."""
    missing = []
    used = scoring.used_beside(worker, task.key)
    for index, need in enumerate(task.step.resources):
        free = worker.entry.capacity[index] - used[index]
        missing.append(need - free)
    stopping = list(worker.unwanted_runs)
    for other in worker.runs.values():
        if other.status == state_lib.STOPPING:
            stopping.append(orders.counted_resources(other.step))
    for need in stopping:
        for index, amount in enumerate(need):
            missing[index] -= amount
    return missing


def _is_preemptible(task):
    step = task.step
    if not step.runs_until_cancelled or step.best_effort or step.gang:
        return False
    if task.status != state_lib.WORKING:
        return False
    return maintenance.allows_disruption(task)


def _unavailable_share(task):
    """Returns the unavailable share of the step if the task is stopped."""
    unavailable = 1
    for other in task.job.tasks.values():
        if other is task or other.key[:3] != task.key[:3]:
            continue
        if other.status != state_lib.WORKING:
            unavailable += 1
    return unavailable / task.step.count
