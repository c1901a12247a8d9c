"""Finds workers that were lost together.

Load pattern: a rack loses its power, with a third of all runs, and again some
seconds later. Workers that are lost at the same time have a common cause, and
that says nothing about the tasks that ran there; unless each of them had a task
that may have been the cause.
"""

from typing import NamedTuple

# A run that has been started this long before is new.
NEW_RUN_MS = 500
# The end of a worker's process is noticed up to this much later.
NOTICE_MS = 400
# A connection that the end of a process has broken is noticed this soon.
BREAK_NOTICE_MS = 100
# Time after which an outage is forgotten. It exceeds the time until the runs of
# a silent worker are lost.
MEMORY_MS = 30_000


class Outage(NamedTuple):
    """A worker that has stopped to answer.

    Times are in ms of the clock of events.

    Attributes:
        answered_at: When it last answered.
        noticed_at: When a call to it first failed, or its restart was seen. It
            may still have been running then.
        jobs: The jobs whose tasks it had.
        has_new_run: Whether one of them had just been started.
        ended_at: When its process was known to have ended; 0 if it is not.
        is_refusing: Whether its host went on, and refused connections from then
            on. A host without power does not answer.
    """

    answered_at: int
    noticed_at: int
    jobs: frozenset[str]
    has_new_run: bool
    ended_at: int = 0
    is_refusing: bool = False


def run_began_at(task) -> int:
    """Returns when the current run was confirmed, or else ordered."""
    return task.running_since or task.ordered_at


def note(state, worker):
    """Notes that a call to a worker has failed, or that it has restarted."""
    leader = state.leader
    if not worker.answered_at or worker.entry.draining or worker.cordoned:
        return
    key = (worker.name, worker.incarnation)
    known = leader.outages.get(key)
    if known is not None and known.noticed_at >= worker.answered_at:
        return
    for other, outage in list(leader.outages.items()):
        if outage.noticed_at < state.now - MEMORY_MS:
            del leader.outages[other]
    names = set()
    has_new_run = False
    for task in worker.runs.values():
        names.add(task.key.job)
        if not task.adopted and state.now - run_began_at(task) < NEW_RUN_MS:
            has_new_run = True
    leader.outages[key] = Outage(
        worker.answered_at, state.now, frozenset(names), has_new_run
    )


def note_end(state, worker, refused=False):
    """Notes that the process of a worker is known to have ended.

    Args:
        state: State of the node, which leads.
        worker: The worker.
        refused: Whether its host has refused a connection.
    """
    key = (worker.name, worker.incarnation)
    outage = state.leader.outages.get(key)
    if outage is None or outage.ended_at:
        return
    is_refusing = refused and state.now - outage.noticed_at <= NOTICE_MS
    state.leader.outages[key] = outage._replace(
        ended_at=state.now, is_refusing=is_refusing
    )


def _began_at(outage) -> int:
    """Returns from when on the worker may have been lost."""
    if outage.is_refusing:
        return max(outage.answered_at, outage.noticed_at - BREAK_NOTICE_MS)
    return outage.answered_at


def jobs_beside(leader, outage) -> list[frozenset[str]]:
    """Returns what ran on the workers that were lost together with one.

    Args:
        leader: State of the leader.
        outage: The outage of the worker; None if it is not known.

    Returns:
        The names of the jobs on each of the others, without those on which a
        task had just started. That task may be the cause there.
    """
    if outage is None:
        return []
    began_at = _began_at(outage)
    found = []
    for other in leader.outages.values():
        if other is outage or other.has_new_run:
            continue
        if other.is_refusing != outage.is_refusing:
            continue
        if other.noticed_at < began_at or _began_at(other) > outage.noticed_at:
            continue
        found.append(other.jobs)
    return found


def is_shared(beside, job) -> bool:
    """Returns whether a cause other than a job took workers down together.

    A job that had tasks on all of them may be the cause.

    Args:
        beside: What `jobs_beside` has returned for a worker that was lost.
        job: Name of a job that had a task there.
    """
    return any(job not in names for names in beside)
