"""Gang scheduling: tasks of a step that can only run together."""

from skylarklug.scheduler import orders
from skylarklug.scheduler import records


def members(task):
    """Returns the unfinished tasks of the gang that `task` belongs to."""
    unfinished = []
    for index in range(task.step.count):
        key = task.key._replace(index=index)
        member = task.job.tasks.get(key)
        if member is not None:
            unfinished.append(member)
    return unfinished


def stop_other_members(state, effects, task, reason):
    """Stops the other members so that the whole gang restarts together."""
    if not task.step.gang or task.job.state in records.FINAL_STATES:
        return
    for member in members(task):
        if member is not task and member.worker:
            orders.stop(state, effects, member, reason)
