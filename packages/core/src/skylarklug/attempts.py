"""Attempts of tasks: their durable start, their durable end, requeueing.

The row of a task is written before an attempt is started and when it has
ended. A conflict means that another writer won; its row is read and the task
goes on from there.
"""

from skylarklug import effects as effects_lib
from skylarklug import jobs
from skylarklug import tasks


def next_pending(job):
    """Returns the task to start next, or None. It is not removed."""
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


def start(state, effects, task, worker, started, why):
    """Makes the next attempt of a pending task durable.

    `started(state, effects, durable)` is called once; with `durable` false
    the attempt does not exist and the caller gives its reservation back.
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

    def done(state, effects, result):
        if not jobs.is_current(state, task) or task.attempt != attempt:
            return
        if result.status != "committed":
            started(state, effects, False)
            task.attempt -= 1
            tasks.transition(
                state, effects, task, tasks.PENDING, "row changed by another"
            )
            task.awaiting_row = True
            _read_again(state, effects, task)
            return
        task.version, task.row_state = result.version, tasks.STARTING
        started(state, effects, True)

    _commit(
        state, effects, task, _task_row(state, task, tasks.STARTING, ""), done
    )


def commit_end(state, effects, task, report, acknowledge):
    """Makes the end of the current attempt durable.

    `report` is the worker's `WorkerTask` with state "finished", "failed" or
    "stopped". `acknowledge(state, effects, accepted)` is called after the
    commit; `accepted` is false when another end is the durable one.
    """
    from skylarklug import quarantine

    if task.awaiting_row:
        return
    task.awaiting_row = True
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    to, reason = _outcome(task, report)
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
    _write_end(state, effects, task, to, reason, acknowledge)


def _write_end(state, effects, task, to, reason, acknowledge):
    attempt = task.attempt

    def done(state, effects, result):
        if not jobs.is_current(state, task) or task.attempt != attempt:
            return
        if result.status != "committed":
            _resolve_end(state, effects, task, to, reason, acknowledge)
            return
        task.version, task.row_state = result.version, to
        task.awaiting_row = False
        acknowledge(state, effects, True)
        _ended(state, effects, task, to, reason)

    _commit(state, effects, task, _task_row(state, task, to, reason), done)


def _resolve_end(state, effects, task, to, reason, acknowledge):
    """Reads the row that won against the end of an attempt."""
    from skylarklug import table

    tasks.log(effects, "end-conflict", "warning", task=task.id)

    def done(state, effects, result):
        if not jobs.is_current(state, task):
            return
        row = next((r for r in result.rows if r.value is not None), None)
        superseded = row is not None and row.value["attempt"] > task.attempt
        if row is not None and row.value["state"] not in tasks.TERMINAL:
            if not superseded or to in tasks.TERMINAL:
                task.version = row.version
                _write_end(state, effects, task, to, reason, acknowledge)
                return
        task.awaiting_row = False
        own = row is not None and row.value["attempt"] == task.attempt
        acknowledge(state, effects, own and row.value["state"] == to)
        if row is None:
            return
        if superseded and task.state in tasks.LIVE:
            tasks.transition(
                state, effects, task, tasks.PENDING, "attempt superseded"
            )
        jobs.apply_task(state, effects, task, row)
        if task.state == tasks.PENDING:
            _ended(state, effects, task, tasks.PENDING, "read again")
        state.domains["jobs"].dropped_finishes += to == tasks.FINISHED

    table.read(state, effects, (task.key,), (), done)


def requeue(state, effects, task, reason):
    """Returns a task to pending after its attempt is proved to have ended.

    Nothing is written: the row of the next attempt replaces this one.
    """
    if task.state not in tasks.LIVE or task.awaiting_row:
        return
    _ended(state, effects, task, tasks.PENDING, reason)


def confirm_running(state, effects, task, report):
    """Takes a worker's report that the current attempt is running."""
    task.progress = report.progress
    fresh = report.checkpoint and report.checkpoint != task.checkpoint
    if fresh:
        task.checkpoint = report.checkpoint
    if task.state == tasks.STARTING:
        tasks.transition(state, effects, task, tasks.RUNNING, "worker reports")
        count_event(effects, "started", task)
    elif task.state == tasks.CHECKPOINTING and fresh:
        tasks.transition(state, effects, task, tasks.RUNNING, "checkpointed")


def mark_checkpointing(state, effects, task):
    """Notes that a checkpoint command is to be sent."""
    if task.state == tasks.RUNNING:
        tasks.transition(
            state, effects, task, tasks.CHECKPOINTING, "interval passed"
        )


def mark_stopping(state, effects, task, reason):
    """Notes that a stop command is to be sent."""
    if task.state in tasks.LIVE and task.state != tasks.STOPPING:
        tasks.transition(state, effects, task, tasks.STOPPING, reason)


def log_dropped_finish(state, effects, task, report):
    """Counts a finish that came after another durable end or attempt."""
    state.domains["jobs"].dropped_finishes += 1
    tasks.log(
        effects, "finish-dropped", "warning", task=task.id,
        attempt=report.attempt, reason=f"attempt {task.attempt} {task.state}",
    )  # fmt: skip


def count_event(effects, what, task):
    """Counts a task event in the metric `skylarklug.tasks.<what>`."""
    attributes = {"team": task.job.team, "kind": task.job.kind}
    name = f"skylarklug.tasks.{what}"
    effects.append(effects_lib.Measure(name, 1, attributes))


def _ended(state, effects, task, to, reason):
    from skylarklug import placement

    if task.state != to:
        tasks.transition(state, effects, task, to, reason)
    task.stop_reason = ""
    if to != tasks.PENDING:
        return
    if task.job.cancelled:
        write_cancelled(state, effects, task)
        return
    task.job.requeued.appendleft(task)
    placement.enqueue(state, task.job, front=True)


def write_cancelled(state, effects, task):
    """Makes the cancellation of a task that runs nowhere durable."""
    task.awaiting_row = True

    def done(state, effects, result):
        if not jobs.is_current(state, task):
            return
        if result.status != "committed":
            _read_again(state, effects, task)
            return
        task.awaiting_row = False
        task.version, task.row_state = result.version, tasks.CANCELLED
        if task.state not in tasks.TERMINAL:
            tasks.transition(
                state, effects, task, tasks.CANCELLED, "job cancelled"
            )

    row = _task_row(state, task, tasks.CANCELLED, "job cancelled")
    _commit(state, effects, task, row, done)


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


def _task_row(state, task, to, reason):
    part = state.domains["jobs"].partitions[task.job.partition]
    return {
        "state": to,
        "attempt": task.attempt,
        "worker": task.worker,
        "epoch": part.epoch,
        "checkpoint": task.checkpoint,
        "failures": task.failures,
        "evictions": task.evictions,
        "reason": reason,
    }


def _commit(state, effects, task, row, done):
    from skylarklug import table

    # Starts also check the job row: a concurrent move or cancellation
    # changes it, and the task must not start on two partitions.
    checks = [effects_lib.Check(task.key, task.version)]
    if row["state"] == tasks.STARTING:
        checks.append(effects_lib.Check(task.job.key, task.job.version))
    writes = (effects_lib.Write(task.key, row),)
    group = task.job.partition
    table.commit(state, effects, tuple(checks), writes, done, group=group)


def _read_again(state, effects, task):
    """Goes on from the table's rows after a conflict on this task."""
    from skylarklug import table

    def done(state, effects, result):
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
        _ended(state, effects, task, tasks.PENDING, "read again")

    table.read(state, effects, (task.job.key, task.key), (), done)
