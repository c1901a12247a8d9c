"""Interference between tasks and services on one worker."""

HANDLERS = {}


def new_state():
    """Returns the state without measurements."""
    return {}


def penalty(state, klass, account) -> float:
    """Returns the expected cost of adding a task of the class."""
    return 0.0


def measured(state, effects, worker, usage):
    """Takes a measurement."""


def arrived(state, worker, task):
    """Notes that the task runs on the worker from now on."""


def departed(state, worker, task_id):
    """Notes that the task no longer runs on the worker."""
