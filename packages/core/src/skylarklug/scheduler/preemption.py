"""Makes room for short tasks by stopping lasting ones.

Short tasks earn several times what lasting ones earn for the same processor,
but cannot wait. A job of lasting tasks loses little with one of many away.
"""

from skylarklug.scheduler import jobs
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import upkeep

# A short task that has waited for this long will not find room by itself: the
# tasks that it could wait for end within the same time.
WAIT_MS = 300
# A stop takes up to 400 ms to free room; stops that are closer together free
# more than the waiting tasks can use.
INTERVAL_MS = 250
# Most of a step's tasks that are away for others at once.
MAX_AWAY_SHARE = 0.25


def make_room(state, effects, task, candidates) -> None:
    """Stops a lasting task, if that makes room for a short one.

    Args:
        state: The node's state.
        effects: Takes the orders.
        task: A short task that found no room.
        candidates: Workers that may run it, regardless of room.
    """
    leader = state.leader
    if (
        state.now - task.waiting_since < WAIT_MS
        or state.now < leader.preemption_due_at
    ):
        return
    if jobs.lateness(state, task.job):
        return
    victim = _choose(state, task, candidates)
    if victim is None:
        return
    leader.preemption_due_at = state.now + INTERVAL_MS
    orders.stop(state, effects, victim, f"room for {task.key}")


def _choose(state, task, candidates):
    """Returns the lasting task to stop, or None."""
    best = None
    chosen = None
    priority = jobs.priority_of(state, task.job)
    for worker in candidates:
        lacking = task.step.resources.cpu
        lacking -= worker.entry.capacity.cpu - worker.used[0]
        for other in worker.runs.values():
            if (
                other.status == state_lib.STOPPING
                and not other.step.uses_idle_cpu
            ):
                lacking -= other.step.resources.cpu
        if lacking <= 0:
            # A stop that is under way makes room already.
            return None
        for other in worker.runs.values():
            if not _may_stop(other) or other.step.resources.cpu < lacking:
                continue
            if jobs.priority_of(state, other.job) < priority:
                continue
            away = _away_share(other)
            if away > MAX_AWAY_SHARE:
                continue
            score = (away, other.step.resources.cpu, other.key)
            if best is None or score < best:
                best = score
                chosen = other
    return chosen


def _may_stop(task):
    step = task.step
    if not step.runs_until_cancelled or step.uses_idle_cpu or step.gang:
        return False
    if task.status != state_lib.WORKING:
        return False
    return upkeep.may_take_away(task)


def _away_share(task):
    """Returns the share of the step that is away once the task is stopped."""
    away = 1
    for other in task.job.tasks.values():
        if other is task or other.key[:3] != task.key[:3]:
            continue
        if other.status != state_lib.WORKING:
            away += 1
    return away / task.step.count
