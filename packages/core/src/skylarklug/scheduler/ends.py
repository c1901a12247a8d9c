"""Runs that ended, as workers report them."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import orders
from skylarklug.scheduler import records

# Failures of this many jobs in a row, with no success between, are blamed on
# the worker rather than on the jobs.
BLAME_JOBS = 3
BLAME_WINDOW_MS = 6_000
QUARANTINE_MS = 8_000
# At most this share of the workers is in quarantine at once.
QUARANTINE_SHARE = 0.3


def handle_end(state, effects, worker, report):
    """Handles one end; returns the job whose row must be saved, or ""."""
    leader = state.leader
    key = report.key
    effects.append(fx.Measure("skylarklug.ends", 1, {"how": report.outcome}))
    job = leader.jobs.get(key.job)
    task = None if job is None else job.tasks.get(key)
    fields = {
        "task": str(key),
        "attempt": report.attempt,
        "worker": worker.name,
        "how": report.outcome,
        "number": report.number,
        "known": task is not None,
    }
    effects.append(fx.Log("info", "end", fields))
    if task is None:
        return ""
    ours = task.worker == worker.name and task.attempt == report.attempt
    if report.checkpoint and (ours or not task.worker):
        task.checkpoint = report.checkpoint
    if report.outcome == "done" and not task.step.runs_until_cancelled:
        return _take_done(state, effects, worker, task, ours)
    if report.outcome == "failed":
        return _take_failed(state, effects, worker, task, report, ours)
    if ours:
        _free(state, effects, worker, task, 0, report.outcome)
    return ""


def _take_done(state, effects, worker, task, ours):
    worker.recent_failures.clear()
    if ours:
        orders.free_resources(worker, task)
        interference.note_change(state, worker, task)
        state.leader.unconfirmed.pop(task.key, None)
        state.leader.placement_requested = True
    job = task.job
    orders.mark_started(state.leader, job)
    if job.state in records.FINAL_STATES:
        if ours:
            jobs.remove_task(job, task)
            jobs.remove_closed(state, job)
        return ""
    if task.step.gang:
        for member in gangs.members(task):
            jobs.finish_task(state, effects, member)
    else:
        jobs.finish_task(state, effects, task)
    return job.spec.job


def _take_failed(state, effects, worker, task, report, ours):
    job = task.job
    _blame(state, effects, worker, job)
    task.avoided_workers.add(worker.name)
    if task.step.runs_until_cancelled or job.state in records.FINAL_STATES:
        if ours:
            rest = orders.FAILED_RETRY_MS * min(10, len(task.failures))
            task.failures.add(report.attempt)
            _free(state, effects, worker, task, rest, "failed")
        return ""
    if report.attempt not in task.failures:
        task.failures.add(report.attempt)
        if task.step.gang:
            for member in gangs.members(task):
                member.failures.add(report.attempt)
        jobs.mark_dirty(state.leader, job)
    if ours:
        _free(state, effects, worker, task, 0, "failed")
    if len(task.failures) >= jobs.max_attempts(state, job):
        jobs.fail_job(state, effects, job, task)
    return job.spec.job


def _free(state, effects, worker, task, delay_ms, outcome):
    orders.requeue(state, effects, task, worker, delay_ms)
    gangs.break_up(state, effects, task, f"a member ended: {outcome}")


def _blame(state, effects, worker, job):
    limit = state.now - BLAME_WINDOW_MS
    for name, at in list(worker.recent_failures.items()):
        if at < limit:
            del worker.recent_failures[name]
    worker.recent_failures[job.spec.job] = state.now
    if len(worker.recent_failures) < BLAME_JOBS:
        return
    worker.recent_failures.clear()
    workers = state.leader.workers.values()
    faulty = 0
    for other in workers:
        if other.quarantined_until > state.now:
            faulty += 1
    if faulty + 1 > QUARANTINE_SHARE * len(workers):
        return
    worker.quarantined_until = state.now + QUARANTINE_MS
    fields = {"worker": worker.name, "for_ms": QUARANTINE_MS}
    effects.append(fx.Log("warning", "quarantine", fields))
