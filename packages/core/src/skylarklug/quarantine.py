"""Distinguishes failing jobs from failing workers."""

AVOID_AFTER = 3

HANDLERS = {}


def new_state():
    """Returns the state without samples."""
    return {}


def failures(state, job_id, worker) -> int:
    """Returns the number of recent failures of the job on the worker."""
    return 0


def record(state, effects, job_id, worker, succeeded):
    """Takes the outcome of an attempt."""
