"""Long-running tasks without a run, recorded for later leaders.

A later leader sees the runs that workers report. It cannot tell a task that has
been waiting for room from one that runs on a worker that does not answer, nor
how long the task has waited. So the leader records the tasks that have waited
for a while, with the end of their last run, in the row of leases. A task that
is recorded as running nowhere starts only after a commit that has removed this.
"""

from typing import Any
from typing import NamedTuple

from skylarklug.scheduler import leases
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# A task is recorded once it has waited this long. Most start sooner, and do
# not wait for the commit that removes the record.
RECORD_AFTER_MS = 400
# Time for which a task whose record was removed for a start is not recorded
# again.
STARTING_MS = 2_500
# Most tasks that are recorded, those that have waited longest. Each takes about
# 60 bytes of 64 KiB.
MAX_TASKS = 300


class IdleRecord(NamedTuple):
    """How long a task has been without a run.

    Attributes:
        idle_since: Since when it has had no run that lasted, in ms of this
            node's clock.
        last_run_at: When its latest run ended, in ms of this node's clock.
        last_end: How that run ended, for the log.
        runs_nowhere: Whether no worker may run it, even one that does not
            answer.
    """

    idle_since: int
    last_run_at: int
    last_end: str
    runs_nowhere: bool


def tasks_to_record(state, may_run_unseen) -> dict[records.TaskKey, IdleRecord]:
    """Returns the records of the tasks that have waited for a while.

    Args:
        state: State of the node, which leads.
        may_run_unseen: Called with (leader, key); tells whether a worker that
            has not answered this leader may run the task.
    """
    leader = state.leader
    waiting = []
    for group in leader.ready.values():
        first = next(iter(group.values()))
        if not first.step.runs_until_cancelled:
            continue
        for task in group.values():
            if _should_record(state, task):
                waiting.append(task)
    for task in leader.unconfirmed.values():
        # A later leader may not find a run.
        if task.status != state_lib.STARTING:
            continue
        if task.step.runs_until_cancelled and _should_record(state, task):
            waiting.append(task)
    waiting.sort(key=lambda task: (task.idle_since, task.key))
    found = {}
    for task in waiting[:MAX_TASKS]:
        runs_nowhere = not task.worker and not (
            task.held and may_run_unseen(leader, task.key)
        )
        found[task.key] = IdleRecord(
            task.idle_since,
            task.last_run_at,
            task.last_end,
            runs_nowhere and not _is_starting(state, task),
        )
    return found


def keys_that_run_nowhere(recorded) -> frozenset[records.TaskKey]:
    """Returns the tasks of those records that forbid a start."""
    return frozenset(
        key for key, record in recorded.items() if record.runs_nowhere
    )


def _should_record(state, task):
    if task.key in state.leader.idle_saved:
        return True
    return state.now - task.waiting_since >= RECORD_AFTER_MS


def _is_starting(state, task):
    """Returns whether its record was changed so that the task may start."""
    released_at = state.leader.idle_released.get(task.key)
    if released_at is None:
        return False
    return state.now - released_at < STARTING_MS


def may_start(state, task) -> bool:
    """Returns whether no stored record may say that a task runs nowhere.

    Otherwise the next commit removes that.
    """
    leader = state.leader
    if task.key not in leader.idle_recorded:
        leader.idle_released.pop(task.key, None)
        return True
    if task.key in leader.idle_saved:
        leader.idle_released[task.key] = state.now
        leader.roster_changed = True
    return False


def note_commit(leader, recorded):
    """Notes that a commit with these records has been sent."""
    leader.idle_known = frozenset(recorded)
    leader.idle_saved = keys_that_run_nowhere(recorded)
    leader.idle_recorded |= leader.idle_saved


def note_committed(state, recorded):
    """Notes that a commit with these records has succeeded."""
    leader = state.leader
    stored = keys_that_run_nowhere(recorded)
    if leader.idle_recorded - stored:
        leader.overdue_due_at = state.now
    leader.idle_recorded = set(stored)
    for key, released_at in list(leader.idle_released.items()):
        if state.now - released_at >= STARTING_MS:
            del leader.idle_released[key]


# --------------------------------------------------------------------- rows


def encode(reading: leases.ClockReading, recorded) -> list[list[Any]]:
    """Returns the value of records in a row, with times on the store's clock.

    Args:
        reading: A reading of the store's clock.
        recorded: Records by task.
    """
    rows = []
    for key, record in recorded.items():
        times = []
        for at in (record.idle_since, record.last_run_at):
            times.append(reading.store_ms + at - reading.answered_at)
        rows.append([list(key), *times, record.last_end, record.runs_nowhere])
    return rows


def decode(
    reading: leases.ClockReading, value: Any
) -> dict[records.TaskKey, IdleRecord]:
    """Returns stored records by task.

    Raises:
        TypeError: The value is malformed.
        ValueError: The value is malformed.
    """
    found = {}
    for fields, idle_since, last_run_at, last_end, runs_nowhere in value:
        key = records.TaskKey(*fields)
        times = []
        for store_ms in (idle_since, last_run_at):
            at = reading.answered_at + int(store_ms) - reading.store_ms
            times.append(min(at, reading.answered_at))
        found[key] = IdleRecord(*times, str(last_end), runs_nowhere is True)
    return found


def restore(leader, task, former_run_at: int) -> None:
    """Sets since when a task of a begun job has been without a run.

    Args:
        leader: State of the leader, which has read the records.
        task: A long-running task that has just been loaded.
        former_run_at: When a former leader last had a run of each task that it
            had not recorded, in ms of this node's clock.
    """
    record = leader.idle_inherited.get(task.key)
    if record is None:
        record = IdleRecord(
            former_run_at, former_run_at, state_lib.UNKNOWN_END, False
        )
    task.idle_since = record.idle_since
    task.last_run_at = record.last_run_at
    task.waiting_since = record.last_run_at
    task.last_end = record.last_end
