"""Decides how soon a long-running task must be at work again.

Load pattern: a long-running task loses its run for many reasons: it fails, its
worker crashes, falls silent or drains, a short task takes its place. Workers
that are full of short tasks then leave no room for it for as long as the load
lasts, and delays, refused starts and runs of a moment add up.

So its time without a run counts from the end of the latest run that lasted, in
`Task.idle_since`, however that and later runs ended. After `OVERDUE_MS` the
task is overdue: it goes before all others and gets a reservation of a worker.
Once it runs again, it is not stopped for a short task before it has been at
work for as long as it had been idle.
"""

# Time without a run after which a task that has had one is overdue. The
# platform counts a task as lost nine seconds after its last run.
OVERDUE_MS = 3_000
# The same for a task that has not run yet, on which nobody relies.
FIRST_RUN_OVERDUE_MS = 30_000
# Time without a run after which a task gets a reservation beyond their limit. A
# short task ends within three seconds.
URGENT_MS = 5_000
# Time without a run after which batch tasks that can resume are stopped on the
# reserved worker, and after which a task starts on workers that it avoids.
LAST_RESORT_MS = 6_000
# Longest delay before a start, whatever happened to the runs before.
MAX_DELAY_MS = 2_000
# Shortest time at work after which a run that follows another one may be
# stopped for a short task.
MIN_RUN_MS = 3_000
# Longest time at work that an earlier wait requires before that.
MAX_PROTECTED_MS = 20_000


def idle_ms(state, task) -> int:
    """Returns how long a task without a run has been idle, in ms."""
    return state.now - task.idle_since


def is_overdue(state, task) -> bool:
    """Returns whether a task without a run must start before all others."""
    if not task.step.runs_until_cancelled:
        return False
    limit = OVERDUE_MS if task.last_end else FIRST_RUN_OVERDUE_MS
    return idle_ms(state, task) >= limit


def is_last_resort(state, task) -> bool:
    """Returns whether a task must start even if that costs other work."""
    return is_overdue(state, task) and idle_ms(state, task) >= LAST_RESORT_MS


def earliest_start(state, task, ended_at: int, delay_ms: int) -> int:
    """Returns when a task may start again after a run that ended.

    Args:
        state: The node's state.
        task: The task.
        ended_at: When its run ended, which may have been noticed later.
        delay_ms: Delay that the ends of its runs call for, in ms.
    """
    if not task.step.runs_until_cancelled:
        return state.now + delay_ms
    return ended_at + min(delay_ms, MAX_DELAY_MS)


def may_preempt(state, task) -> bool:
    """Returns whether a run has been at work long enough to be preempted."""
    required = min(task.idle_before_ms, MAX_PROTECTED_MS)
    if task.last_end:
        required = max(required, MIN_RUN_MS)
    return state.now - task.running_since >= required
