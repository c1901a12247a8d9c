"""Commits the start and the end of task attempts, and requeues tasks.

The row of a task is written before an attempt starts and after it has ended.
If a commit fails because the row has changed, the row is read again and the
task continues from the state recorded there.
"""

from skylarklug import effects as effects_lib
from skylarklug import jobs
from skylarklug import tasks


def next_pending(job):
    """Returns the next task to start, or None, without dequeuing it."""
    while job.requeued:
        task = job.requeued[0]
        if task.state == tasks.PENDING and not task.awaiting_row:
            return task
        job.requeued.popleft()
    while job.next_index < job.end and job.next_index in job.tasks:
        job.next_index += 1
    if job.cancelled or job.next_index >= job.end:
        return None
    task = tasks.Task(job, job.next_index)
    return task


def start(state, effects, task, worker, on_committed, why):
    """Commits the start of the next attempt of a pending task.

    `on_committed(state, effects, durable)` is called once. If `durable` is
    false, the attempt does not exist and the caller releases its reservation.
    """
    job = task.job
    if job.requeued and job.requeued[0] is task:
        job.requeued.popleft()
    if task.index not in job.tasks:
        job.tasks[task.index] = task
        job.counts[tasks.PENDING] += 1
        job.next_index = max(job.next_index, task.index + 1)
    task.attempt += 1
    task.worker = worker
    tasks.transition(state, effects, task, tasks.STARTING, why)
    attempt = task.attempt

    def on_result(state, effects, result):
        if not jobs.is_current(state, task) or task.attempt != attempt:
            return
        if result.status != "committed":
            on_committed(state, effects, False)
            task.attempt -= 1
            tasks.transition(
                state, effects, task, tasks.PENDING, "row changed by another"
            )
            task.awaiting_row = True
            _reload_task(state, effects, task)
            return
        task.version, task.row_state = result.version, tasks.STARTING
        on_committed(state, effects, True)

    _commit_row(
        state,
        effects,
        task,
        _task_row(state, task, tasks.STARTING, ""),
        on_result,
    )


def commit_end(state, effects, task, report, acknowledge):
    """Commits the end of the current attempt.

    `report` is the worker's `WorkerTask` with state "finished", "failed" or
    "stopped". `acknowledge(state, effects, accepted)` is called after the
    commit; `accepted` is false if the row records a different end.
    """
    from skylarklug import quarantine

    if task.awaiting_row:
        return
    task.awaiting_row = True
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    new_state, reason = _outcome(task, report)
    if report.state == "failed":
        task.failures += 1
    elif report.state == "stopped" and task.stop_reason:
        task.evictions += 1
        count_event(effects, "evicted", task)
    if report.state == "finished":
        count_event(effects, "finished", task)
    if report.state != "stopped":
        finished = report.state == "finished"
        quarantine.record_outcome(
            state, effects, task.job.partition, task.job.id, task.worker,
            finished,
        )  # fmt: skip
    _commit_end_row(state, effects, task, new_state, reason, acknowledge)


def _commit_end_row(state, effects, task, new_state, reason, acknowledge):
    attempt = task.attempt

    def on_result(state, effects, result):
        if not jobs.is_current(state, task) or task.attempt != attempt:
            return
        if result.status != "committed":
            _resolve_end_conflict(
                state, effects, task, new_state, reason, acknowledge
            )
            return
        task.version, task.row_state = result.version, new_state
        task.awaiting_row = False
        acknowledge(state, effects, True)
        _apply_end(state, effects, task, new_state, reason)

    _commit_row(
        state,
        effects,
        task,
        _task_row(state, task, new_state, reason),
        on_result,
    )


def _resolve_end_conflict(state, effects, task, new_state, reason, acknowledge):
    """Reads the row again after the commit of an end has conflicted.

    The end is written again unless the row is terminal, or belongs to a later
    attempt while this end would only requeue the task.
    """
    from skylarklug import table

    tasks.log(effects, "end-conflict", "warning", task=task.id)

    def on_result(state, effects, result):
        if not jobs.is_current(state, task):
            return
        row = next((r for r in result.rows if r.value is not None), None)
        superseded = row is not None and row.value["attempt"] > task.attempt
        if row is not None and row.value["state"] not in tasks.TERMINAL:
            if not superseded or new_state in tasks.TERMINAL:
                task.version = row.version
                _commit_end_row(
                    state, effects, task, new_state, reason, acknowledge
                )
                return
        task.awaiting_row = False
        is_this_attempt = (
            row is not None and row.value["attempt"] == task.attempt
        )
        acknowledge(
            state, effects, is_this_attempt and row.value["state"] == new_state
        )
        if row is None:
            return
        if superseded and task.state in tasks.LIVE:
            tasks.transition(
                state, effects, task, tasks.PENDING, "attempt superseded"
            )
        jobs.apply_task(state, effects, task, row)
        if task.state == tasks.PENDING:
            _apply_end(state, effects, task, tasks.PENDING, "read again")
        state.domains["jobs"].dropped_finishes += new_state == tasks.FINISHED

    table.read(state, effects, (task.key,), (), on_result)


def requeue(state, effects, task, reason):
    """Returns a task to pending once its attempt is known to have ended.

    Nothing is written, because the next attempt overwrites the row.
    """
    if task.state not in tasks.LIVE or task.awaiting_row:
        return
    _apply_end(state, effects, task, tasks.PENDING, reason)


def confirm_running(state, effects, task, report):
    """Applies a worker's report that the current attempt is running."""
    task.progress = report.progress
    has_new_checkpoint = (
        report.checkpoint and report.checkpoint != task.checkpoint
    )
    if has_new_checkpoint:
        task.checkpoint = report.checkpoint
    if task.state == tasks.STARTING:
        tasks.transition(state, effects, task, tasks.RUNNING, "worker reports")
        count_event(effects, "started", task)
    elif task.state == tasks.CHECKPOINTING and has_new_checkpoint:
        tasks.transition(state, effects, task, tasks.RUNNING, "checkpointed")


def mark_checkpointing(state, effects, task):
    """Moves a running task to checkpointing before the command is sent."""
    if task.state == tasks.RUNNING:
        tasks.transition(
            state, effects, task, tasks.CHECKPOINTING, "interval passed"
        )


def mark_stopping(state, effects, task, reason):
    """Moves a live task to stopping before the command is sent."""
    if task.state in tasks.LIVE and task.state != tasks.STOPPING:
        tasks.transition(state, effects, task, tasks.STOPPING, reason)


def log_dropped_finish(state, effects, task, report):
    """Logs and counts a finish that arrives after another end or attempt."""
    state.domains["jobs"].dropped_finishes += 1
    tasks.log(
        effects, "finish-dropped", "warning", task=task.id,
        attempt=report.attempt, reason=f"attempt {task.attempt} {task.state}",
    )  # fmt: skip


def count_event(effects, event, task):
    """Increments the counter `skylarklug.tasks.<event>`."""
    attributes = {"team": task.job.team, "kind": task.job.kind}
    name = f"skylarklug.tasks.{event}"
    effects.append(effects_lib.Measure(name, 1, attributes))


def _apply_end(state, effects, task, new_state, reason):
    from skylarklug import placement

    if task.state != new_state:
        tasks.transition(state, effects, task, new_state, reason)
    task.stop_reason = ""
    if new_state != tasks.PENDING:
        return
    if task.job.cancelled:
        write_cancelled(state, effects, task)
        return
    task.job.requeued.appendleft(task)
    placement.enqueue(state, task.job, front=True)


def write_cancelled(state, effects, task):
    """Commits the cancellation of a task that has no running attempt."""
    task.awaiting_row = True

    def on_result(state, effects, result):
        if not jobs.is_current(state, task):
            return
        if result.status != "committed":
            _reload_task(state, effects, task)
            return
        task.awaiting_row = False
        task.version, task.row_state = result.version, tasks.CANCELLED
        if task.state not in tasks.TERMINAL:
            tasks.transition(
                state, effects, task, tasks.CANCELLED, "job cancelled"
            )

    row = _task_row(state, task, tasks.CANCELLED, "job cancelled")
    _commit_row(state, effects, task, row, on_result)


def _outcome(task, report):
    if report.state == "finished":
        return tasks.FINISHED, "finished"
    if task.job.cancelled:
        return tasks.CANCELLED, "job cancelled"
    if report.state == "failed":
        if task.failures >= task.job.spec["retries"]:
            return tasks.FAILED, report.reason or "failed"
        return tasks.PENDING, f"failed: {report.reason}"
    return tasks.PENDING, task.stop_reason or report.reason or "stopped"


def _task_row(state, task, new_state, reason):
    owned = state.domains["jobs"].partitions[task.job.partition]
    return {
        "state": new_state,
        "attempt": task.attempt,
        "worker": task.worker,
        "epoch": owned.epoch,
        "checkpoint": task.checkpoint,
        "failures": task.failures,
        "evictions": task.evictions,
        "reason": reason,
    }


def _commit_row(state, effects, task, row, on_result):
    from skylarklug import table

    # A start also checks the version of the job row. A concurrent move or
    # cancellation changes it, and no task may start on two partitions.
    checks = [effects_lib.Check(task.key, task.version)]
    if row["state"] == tasks.STARTING:
        checks.append(effects_lib.Check(task.job.key, task.job.version))
    writes = (effects_lib.Write(task.key, row),)
    group = task.job.partition
    table.commit(state, effects, tuple(checks), writes, on_result, group=group)


def _reload_task(state, effects, task):
    """Reads the rows of the task and its job, and applies them."""
    from skylarklug import table

    def on_result(state, effects, result):
        if not jobs.is_current(state, task):
            return
        task.awaiting_row = False
        for row in sorted(result.rows, reverse=True):
            if row.key == task.key and row.value is not None:
                if row.version > task.version:
                    jobs.apply_task(state, effects, task, row)
            if row.key == task.job.key:
                jobs.apply_job(state, effects, task.job.partition, row)
        if not jobs.is_current(state, task) or task.state != tasks.PENDING:
            return
        job = task.job
        if not task.version and not job.first <= task.index < job.end:
            del job.tasks[task.index]
            job.counts[tasks.PENDING] -= 1
            return
        _apply_end(state, effects, task, tasks.PENDING, "read again")

    table.read(state, effects, (task.job.key, task.key), (), on_result)
