"""Handles the ends of runs that workers report."""

from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# If tasks of this many jobs fail on a worker with no success in between, the
# worker is considered faulty rather than the jobs.
QUARANTINE_FAILED_JOBS = 3
# Older failures are not counted.
FAILURE_WINDOW_MS = 6_000
# A faulty worker gets no tasks for this long.
QUARANTINE_MS = 8_000
# Maximum share of the workers in quarantine at once.
MAX_QUARANTINED_SHARE = 0.3


def handle_ends(state, effects, worker, event):
    """Handles the ends that are new; the worker numbers them in order."""
    for report in event.ended:
        number = report.number
        if number <= worker.last_end_number or number in worker.later_ends:
            continue
        worker.later_ends.add(number)
        unsaved = _handle_end(state, effects, worker, report)
        if unsaved:
            worker.unsaved_ends[number] = unsaved
    worker.has_unreadable_end = event.unreadable_end > 0
    worker.has_more_ends = event.has_more_ends
    for number in sorted(worker.later_ends):
        if worker.has_unreadable_end and number >= event.unreadable_end:
            break
        worker.last_end_number = max(worker.last_end_number, number)
        worker.later_ends.discard(number)
    update_acknowledged(worker)


def update_acknowledged(worker):
    """Updates the number up to which the worker may discard reported ends."""
    worker.acknowledged = worker.last_end_number
    if worker.unsaved_ends:
        oldest = min(worker.unsaved_ends)
        worker.acknowledged = min(worker.acknowledged, oldest - 1)


def _handle_end(state, effects, worker, report):
    """Handles the end of a run.

    Returns the job whose row must be saved before the end is acknowledged, or
    "" if there is none.
    """
    leader = state.leader
    key = report.key
    effects.append(fx.Measure("skylarklug.ends", 1, {"how": report.outcome}))
    job = leader.jobs.get(key.job)
    task = jobs.find_reported_task(state, key)
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
        return _unsaved_job(leader, job)
    is_current = task.worker == worker.name and task.attempt == report.attempt
    if is_current:
        for changed in crashes.forget_outlasted(task):
            jobs.mark_dirty(leader, changed)
    if report.checkpoint and (is_current or not task.worker):
        task.checkpoint = report.checkpoint
    if report.outcome == "done" and not task.step.runs_until_cancelled:
        return _handle_done(state, effects, worker, task, is_current)
    if report.outcome == "failed":
        return _handle_failed(state, effects, worker, task, report, is_current)
    if is_current:
        _requeue(state, effects, worker, task, 0, report.outcome)
    return ""


def must_keep_ends(worker) -> bool:
    """Returns whether a worker may not forget all of the ends it reported.

    A poll that does not acknowledge all of them returns at once.
    """
    return worker.has_unreadable_end or bool(worker.unsaved_ends)


def _unsaved_job(leader, job):
    """Returns the job if its row is not committed yet, or "".

    A new leader that reads the former row would start the task again, so the
    worker must still report the end then.
    """
    if job is None:
        return ""
    name = job.spec.job
    return name if name in leader.dirty or name in leader.saving else ""


def _handle_done(state, effects, worker, task, is_current):
    worker.recent_failures.clear()
    if is_current:
        orders.free_resources(worker, task)
        interference.record_run_change(state, worker, task)
        state.leader.unconfirmed.pop(task.key, None)
        state.leader.placement_requested = True
        worker.record_change(state.leader)
    job = task.job
    orders.mark_started(state.leader, job)
    if job.state in records.FINAL_STATES:
        if is_current:
            jobs.remove_task(job, task)
            jobs.remove_closed(state, job)
        return _unsaved_job(state.leader, job)
    if task.step.gang:
        for member in gangs.members(task):
            jobs.finish_task(state, effects, member)
    else:
        jobs.finish_task(state, effects, task)
    return _unsaved_job(state.leader, job)


def _handle_failed(state, effects, worker, task, report, is_current):
    job = task.job
    _record_failure(state, effects, worker, job)
    if (
        task.step.runs_until_cancelled
        and is_current
        and task.survived_ms() >= state_lib.LASTING_RUN_MS
    ):
        # It may fail at any time, which says nothing about the next start.
        task.failures.clear()
        task.avoided_workers.clear()
    task.avoided_workers.add(worker.name)
    if task.step.runs_until_cancelled or job.state in records.FINAL_STATES:
        if is_current:
            restart_delay_ms = orders.FAILED_RETRY_MS * min(
                10, len(task.failures)
            )
            task.failures.add(report.attempt)
            _requeue(state, effects, worker, task, restart_delay_ms, "failed")
        return _unsaved_job(state.leader, job)
    if report.attempt not in task.failures:
        task.failures.add(report.attempt)
        if task.step.gang:
            for member in gangs.members(task):
                member.failures.add(report.attempt)
        jobs.mark_dirty(state.leader, job)
    if is_current:
        _requeue(state, effects, worker, task, 0, "failed")
    if len(task.failures) >= jobs.max_attempts(state, job):
        reason = f"task {task.key} failed {len(task.failures)} times"
        jobs.fail_job(state, effects, job, reason)
    return _unsaved_job(state.leader, job)


def _requeue(state, effects, worker, task, delay_ms, outcome):
    orders.requeue(state, effects, task, worker, delay_ms, outcome=outcome)
    gangs.stop_other_members(
        state, effects, task, f"gang member ended: {outcome}"
    )


def _record_failure(state, effects, worker, job):
    limit = state.now - FAILURE_WINDOW_MS
    for name, at in list(worker.recent_failures.items()):
        if at < limit:
            del worker.recent_failures[name]
    worker.recent_failures[job.spec.job] = state.now
    if len(worker.recent_failures) < QUARANTINE_FAILED_JOBS:
        return
    worker.recent_failures.clear()
    workers = state.leader.workers.values()
    quarantined = 0
    for other in workers:
        if other.quarantined_until > state.now:
            quarantined += 1
    if quarantined + 1 > MAX_QUARANTINED_SHARE * len(workers):
        return
    worker.quarantined_until = state.now + QUARANTINE_MS
    fields = {"worker": worker.name, "for_ms": QUARANTINE_MS}
    effects.append(fx.Log("warning", "quarantine", fields))
