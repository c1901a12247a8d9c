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


def take(state, effects, worker, report):
    """Handles one end; returns the job whose row must be saved, or ""."""
    shard = state.shard
    key = report.key
    effects.append(fx.Measure("skylarklug.ends", 1, {"how": report.how}))
    job = shard.jobs.get(key.job)
    task = None if job is None else job.tasks.get(key)
    fields = {
        "task": str(key),
        "attempt": report.attempt,
        "worker": worker.name,
        "how": report.how,
        "number": report.number,
        "known": task is not None,
    }
    effects.append(fx.Log("info", "end", fields))
    if task is None:
        return ""
    ours = task.worker == worker.name and task.attempt == report.attempt
    if report.checkpoint and (ours or not task.worker):
        task.checkpoint = report.checkpoint
    if report.how == "done" and not task.step.lasting:
        return _take_done(state, effects, worker, task, ours)
    if report.how == "failed":
        return _take_failed(state, effects, worker, task, report, ours)
    if ours:
        _free(state, effects, worker, task, 0, report.how)
    return ""


def _take_done(state, effects, worker, task, ours):
    worker.blame.clear()
    if ours:
        orders.vacate(worker, task)
        interference.record_run_change(state, worker, task)
        state.shard.unsettled.pop(task.key, None)
        state.shard.place_soon = True
    job = task.job
    orders.mark_started(state.shard, job)
    if job.state in records.FINAL_STATES:
        if ours:
            jobs.forget_task(job, task)
            jobs.forget_closed(state, job)
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
    task.avoid.add(worker.name)
    if task.step.lasting or job.state in records.FINAL_STATES:
        if ours:
            rest = orders.FAILED_REST_MS * min(10, len(task.failures))
            task.failures.add(report.attempt)
            _free(state, effects, worker, task, rest, "failed")
        return ""
    if report.attempt not in task.failures:
        task.failures.add(report.attempt)
        if task.step.gang:
            for member in gangs.members(task):
                member.failures.add(report.attempt)
        jobs.mark_dirty(state.shard, job)
    if ours:
        _free(state, effects, worker, task, 0, "failed")
    if len(task.failures) >= jobs.max_attempts(state, job):
        jobs.fail_job(state, effects, job, task)
    return job.spec.job


def _free(state, effects, worker, task, rest_ms, how):
    orders.release(state, effects, task, worker, rest_ms)
    gangs.stop_other_members(state, effects, task, f"a member ended: {how}")


def _blame(state, effects, worker, job):
    limit = state.now - BLAME_WINDOW_MS
    for name, at in list(worker.blame.items()):
        if at < limit:
            del worker.blame[name]
    worker.blame[job.spec.job] = state.now
    if len(worker.blame) < BLAME_JOBS:
        return
    worker.blame.clear()
    workers = state.shard.workers.values()
    faulty = 0
    for other in workers:
        if other.faulty_until > state.now:
            faulty += 1
    if faulty + 1 > QUARANTINE_SHARE * len(workers):
        return
    worker.faulty_until = state.now + QUARANTINE_MS
    fields = {"worker": worker.name, "for_ms": QUARANTINE_MS}
    effects.append(fx.Log("warning", "quarantine", fields))
