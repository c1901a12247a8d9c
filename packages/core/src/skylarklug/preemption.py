"""Capacity for urgent tasks and for tasks that have waited long."""


def claim(state, effects, name, part, task, level) -> bool:
    """Claims a worker for a task that fits nowhere; says if it could."""
    return False


def freed(state, effects, account):
    """Gives capacity that was freed to the claim on the worker."""
