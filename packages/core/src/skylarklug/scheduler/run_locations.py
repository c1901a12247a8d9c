"""Where long-running tasks run, in a row for later leaders.

A worker that does not answer a new leader may run any task that no other worker
reports, so that each silent worker holds all of them. The leader records on
which worker each long-running task runs; a later leader then holds the task for
that worker only. A recorded task starts elsewhere only after a commit that has
removed its record, and that records the worker on which it is to start.
"""

from typing import Any

from skylarklug.scheduler import records

KEY = "runs"
# Most tasks that are recorded. Each takes about 45 bytes of 64 KiB.
MAX_TASKS = 600
# Minimum time between two commits that only record locations.
INTERVAL_MS = 700


def to_record(leader) -> dict[records.TaskKey, str]:
    """Returns the worker of each long-running task that has one.

    A task that a former leader had on a worker that has not answered yet is
    still there for all that is known.
    """
    found = {}
    for key, name in leader.former_locations.items():
        task = _find_task(leader, key)
        if name in leader.former_workers and task is not None:
            if not task.worker:
                found[key] = name
    for key, name in list(leader.intended_workers.items()):
        task = _find_task(leader, key)
        if task is None or task.worker or key not in leader.idle_released:
            del leader.intended_workers[key]
            continue
        found[key] = name
    for worker in leader.workers.values():
        for key, task in worker.runs.items():
            if task.step.runs_until_cancelled:
                found[key] = worker.name
    if len(found) <= MAX_TASKS:
        return found
    return {key: found[key] for key in sorted(found)[:MAX_TASKS]}


def _find_task(leader, key):
    job = leader.jobs.get(key.job)
    return None if job is None else job.tasks.get(key)


def may_start(leader, task, worker) -> bool:
    """Returns whether no stored record may say that a task is elsewhere.

    Otherwise the next commit removes it.
    """
    names = leader.located.get(task.key)
    if not names or names == {worker.name}:
        return True
    leader.roster_changed = True
    leader.location_awaited = True
    return False


def note_commit(leader, recorded):
    """Notes that a commit with these locations has been sent."""
    leader.locations_saved = None
    for key, name in recorded.items():
        leader.located.setdefault(key, set()).add(name)


def note_committed(leader, recorded):
    """Notes that a commit with these locations has succeeded."""
    leader.locations_saved = recorded
    leader.located = {key: {name} for key, name in recorded.items()}
    leader.location_awaited = False


def encode(epoch: int, recorded) -> dict[str, Any]:
    """Returns the value of the row."""
    runs = {}
    for key, name in recorded.items():
        runs.setdefault(name, []).append(list(key))
    return {"epoch": epoch, "runs": runs}


def decode(
    value: Any, epoch: int, since_epoch: int
) -> dict[records.TaskKey, str]:
    """Returns the recorded worker by task, for the leader of `epoch`.

    Args:
        value: The row's value.
        epoch: The leader's epoch.
        since_epoch: Since which epoch all leaders have kept the row.

    Raises:
        AttributeError: The value is malformed.
        KeyError: The value is malformed.
        TypeError: The value is malformed.
    """
    if not since_epoch <= value["epoch"] < epoch:
        return {}
    found = {}
    for name, keys in value["runs"].items():
        for fields in keys:
            found[records.TaskKey(*fields)] = name
    return found
