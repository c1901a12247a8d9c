"""Gangs: tasks of a step that only work together."""

from skylarklug.scheduler import orders
from skylarklug.scheduler import records


def members(task):
    """Returns the unfinished tasks of the gang that `task` belongs to."""
    found = []
    for index in range(task.step.count):
        key = task.key._replace(index=index)
        member = task.job.tasks.get(key)
        if member is not None:
            found.append(member)
    return found


def stop_other_members(state, effects, task, reason):
    """Stops the other members, so that the gang starts again as a whole."""
    if not task.step.gang or task.job.state in records.FINAL_STATES:
        return
    for member in members(task):
        if member is not task and member.worker:
            orders.stop(state, effects, member, reason)
