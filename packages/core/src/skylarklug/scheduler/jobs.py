"""Lifecycle of a job at the leader: loading, occurrences, steps, end."""

import heapq

from skylarklug import exceptions
from skylarklug.scheduler import codec
from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import idle_records
from skylarklug.scheduler import intake
from skylarklug.scheduler import interference_model
from skylarklug.scheduler import order
from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

TABLE = "jobs"
# What a leader has to read before it creates the tasks of jobs.
PROGRESS_TABLES = frozenset({"work", "leases"})
# A commit records the start of a timed job this long before it is due, so that
# its tasks can start on time.
RECORD_AHEAD_MS = 1_000
# Timed tasks start this much after they are due, because clocks differ
# slightly and a task must not start early.
START_MARGIN_MS = 30


def terms_of(state, job) -> records.Queue | records.QueueTerms:
    """Returns the terms by which a job is run.

    They are those of its acceptance if the queue has been removed, which ends
    no job, or if this node does not know so recent a configuration yet.
    """
    cfg = state.configuration
    accepted = job.spec.terms
    if cfg.version < accepted.version:
        return accepted
    return cfg.queues.get(job.spec.queue, accepted)


def service_of(state, job) -> str:
    """Returns the service whose workers run the job's tasks."""
    queue = state.configuration.queues.get(job.spec.queue)
    return job.spec.service if queue is None else queue.service


def max_attempts(state, job) -> int:
    """Returns how many failed attempts of one task fail the job."""
    return max(1, terms_of(state, job).max_attempts)


def priority_of(state, job) -> int:
    """Returns the job's priority; 0 is the highest."""
    return terms_of(state, job).priority


def urgency_of(state, job, has_deadline=True) -> order.Urgency:
    """Returns what decides when waiting tasks of the job are placed."""
    return order.Urgency(
        priority_of(state, job),
        job.spec.accepted_ms,
        job.deadline,
        has_deadline and not job.spec.repeats,
    )


def lateness(state, job) -> int:
    """Returns how late the job is, as `order.lateness` does."""
    return order.lateness(urgency_of(state, job), state.wall_ms)


def mark_dirty(leader, job):
    """Includes the job's `work` row in the next commit."""
    leader.dirty[job.spec.job] = None


# ------------------------------------------------------------------ loading


def _on_rows(state, event, effects):
    leader = state.leader
    if leader is None or event.table != TABLE:
        return
    if event.whole:
        leader.loaded.add(TABLE)
    leader.job_rows.extend(event.rows)
    _process_rows(state, effects)


def _process_rows(state, effects):
    leader = state.leader
    if not leader.loaded >= PROGRESS_TABLES:
        return
    rows, leader.job_rows = leader.job_rows, []
    for row in rows:
        if row.value is None:
            continue
        if row.key.endswith(intake.CANCEL_SUFFIX):
            _on_cancel_row(
                state, effects, row.key[: -len(intake.CANCEL_SUFFIX)]
            )
            continue
        if row.key in leader.jobs or row.key in leader.closed_jobs:
            continue
        try:
            _load(state, effects, row)
        except Exception as exc:
            # The other jobs must still be loaded.
            leader.jobs.pop(row.key, None)
            fields = {"job": row.key, "step": "load", "reason": repr(exc)}
            effects.append(fx.Log("error", "job-unreadable", fields))


def _load(state, effects, row):
    leader = state.leader
    try:
        spec = codec.decode_job(row.key, row.value)
    except exceptions.ProtocolError as exc:
        fields = {"job": row.key, "step": exc.step, "reason": exc.reason}
        effects.append(fx.Log("error", "job-unreadable", fields))
        return
    work = leader.work_rows.pop(row.key, None)
    version = row.version if work is None else work.version
    job = state_lib.Job(spec, version)
    if work is not None:
        try:
            _restore(job, work.value)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            fields = {"job": row.key, "step": "work", "reason": repr(exc)}
            effects.append(fx.Log("error", "job-unreadable", fields))
            return
    leader.jobs[spec.job] = job
    terms = terms_of(state, job)
    job.deadline = int(
        spec.accepted_ms
        + terms.objective_ms
        + terms.stretch * critical_path_ms(spec.steps)
    )
    if job.state in records.FINAL_STATES:
        mark_dirty(leader, job)
        return
    if spec.repeats:
        for occurrence in range(spec.repeats):
            due = spec.first_due_ms + occurrence * spec.interval_ms
            heapq.heappush(leader.due_occurrences, (due, spec.job, occurrence))
        return
    heapq.heappush(leader.due_occurrences, (0, spec.job, 0))
    _expand_due(state, effects)


def _restore(job, work):
    job.state = work["state"]
    job.start_recorded = bool(work.get("epoch"))
    job.started = job.state != records.PENDING
    for name, bitmap in work.get("done", {}).items():
        occurrence, step = name.split(".")
        indices = codec.unpack_indices(bitmap)
        job.done[int(occurrence), int(step)] = indices
    for name, attempts in work.get("failed", {}).items():
        job.failures[_parse_key(job, name)] = set(attempts)
    for name, rows in work.get("crashed", {}).items():
        crashed = _restore_crashes(rows)
        if crashed:
            job.crashes[_parse_key(job, name)] = crashed


def _restore_crashes(rows) -> dict[int, records.Crash]:
    """Returns the crashes of a task by attempt; skips malformed ones.

    A later build may have stored further fields.
    """
    crashed = {}
    for row in rows:
        attempt, worker, incarnation, address, survived_ms, proven = row[:6]
        # Earlier builds have stored six fields.
        ended_ms, shared = row[6:8] if len(row) >= 8 else (-1, False)
        numbers = (attempt, incarnation, survived_ms)
        if all(isinstance(number, int) for number in numbers):
            crashed[attempt] = records.Crash(
                str(worker),
                incarnation,
                str(address),
                survived_ms,
                bool(proven),
                ended_ms if isinstance(ended_ms, int) else -1,
                shared is True,
            )
    return crashed


def _parse_key(job, name) -> records.TaskKey:
    """Returns the key of a task that is named in a `work` row."""
    occurrence, step, index = name.split(".")
    return records.TaskKey(job.spec.job, int(occurrence), int(step), int(index))


def critical_path_ms(steps) -> int:
    """Returns the sum of estimates on the critical path of the steps."""
    ends: list[int] = []
    for step in steps:
        dependency_ends = [ends[i] for i in step.after if i < len(ends)]
        ends.append(step.estimate_ms + max(dependency_ends, default=0))
    return max(ends, default=0)


# -------------------------------------------------------------- occurrences


def _expand_due(state, effects):
    leader = state.leader
    while leader.due_occurrences:
        due, name, occurrence = leader.due_occurrences[0]
        if due - RECORD_AHEAD_MS > state.wall_ms:
            return
        heapq.heappop(leader.due_occurrences)
        job = leader.jobs.get(name)
        if job is None or job.state in records.FINAL_STATES:
            continue
        if not job.start_recorded:
            mark_dirty(leader, job)
        _expand_occurrence(state, job, occurrence, due)


def find_reported_task(state, key):
    """Returns the task of a run that a worker reports; None if there is none.

    A former leader, whose clock was ahead, may have started an occurrence that
    is not due here yet.
    """
    job = state.leader.jobs.get(key.job)
    if job is None:
        return None
    if (
        key.occurrence < job.spec.repeats
        and key.occurrence not in job.expanded
        and job.state not in records.FINAL_STATES
    ):
        due = job.spec.first_due_ms + key.occurrence * job.spec.interval_ms
        _expand_occurrence(state, job, key.occurrence, due)
    return job.tasks.get(key)


def _expand_occurrence(state, job, occurrence, due):
    """Creates the tasks of one occurrence."""
    if occurrence in job.expanded:
        return
    job.expanded.add(occurrence)
    not_before = 0
    if due:
        not_before = due + START_MARGIN_MS - state.wall_offset
    leader = state.leader
    for number, step in enumerate(job.spec.steps):
        done = job.done.setdefault((occurrence, number), set())
        job.remaining[occurrence, number] = step.count - len(done)
        held = _may_have_begun(leader, job, occurrence, step)
        for index in range(step.count):
            if index in done:
                continue
            key = records.TaskKey(job.spec.job, occurrence, number, index)
            task = state_lib.Task(job, key, step)
            task.failures = job.failures.setdefault(key, set())
            if key in job.crashes:
                task.crashes = job.crashes[key]
                crashes.watch(leader, task)
            task.not_before = not_before
            task.held = held
            task.waiting_since = _accepted_at(state, job, due)
            task.speed_wanted_since = task.waiting_since
            task.idle_since = task.waiting_since
            task.last_run_at = task.waiting_since
            if job.started:
                task.last_end = state_lib.UNKNOWN_END
                if step.runs_until_cancelled:
                    idle_records.restore(leader, task, leader.former_run_at)
            job.tasks[key] = task
    for number, step in enumerate(job.spec.steps):
        if _is_ready(job, occurrence, step):
            _enqueue_step(leader, job, occurrence, number)


def _may_have_begun(leader, job, occurrence, step):
    """Returns whether a former leader may have started tasks of a step."""
    if leader.settled or not job.start_recorded:
        return False
    if leader.unsaved_jobs is None or job.spec.job in leader.unsaved_jobs:
        # It may have started the step before the end of an earlier one was
        # saved.
        return True
    return _is_ready(job, occurrence, step)


def must_wait_for_save(leader, job) -> bool:
    """Returns whether the job's row must be saved before its tasks start."""
    name = job.spec.job
    if name not in leader.dirty and name not in leader.saving:
        job.awaits_save = False
    return job.awaits_save


def release_later_steps(job, key):
    """Lets the steps that wait for a task start once it is done.

    Called for a run that a new leader has found. A former leader has started
    later steps beside it only if the row shows that the task is done.
    """
    waiting = {key.step}
    for number, step in enumerate(job.spec.steps):
        if waiting.isdisjoint(step.after):
            continue
        waiting.add(number)
        for index in range(step.count):
            later = records.TaskKey(key.job, key.occurrence, number, index)
            task = job.tasks.get(later)
            if task is None:
                continue
            if not task.held:
                break
            task.held = False


def _is_ready(job, occurrence, step):
    for dependency in step.after:
        if job.remaining.get((occurrence, dependency), 0):
            return False
    return True


def _accepted_at(state, job, due):
    """Returns when an occurrence began to wait, on the clock of events.

    The stored time of acceptance survives a take-over.
    """
    since = due or job.spec.accepted_ms
    return min(state.now, since - state.wall_offset)


def _enqueue_step(leader, job, occurrence, number, since=None):
    """Enqueues the tasks of a step, which have waited since then if given."""
    for index in range(job.spec.steps[number].count):
        key = records.TaskKey(job.spec.job, occurrence, number, index)
        task = job.tasks.get(key)
        if task is not None and task.status == state_lib.WAITING:
            if since is not None:
                task.waiting_since = since
                task.idle_since = since
                task.last_run_at = since
            enqueue(leader, task)


def enqueue(leader, task):
    """Adds a task to the tasks that wait for placement."""
    group = leader.ready.setdefault(task.key[:3], {})
    group[task.key] = task
    leader.placement_requested = True


def dequeue(leader, task):
    """Removes a task from the tasks that wait for placement."""
    group = leader.ready.get(task.key[:3])
    if group is None:
        return
    group.pop(task.key, None)
    if not group:
        del leader.ready[task.key[:3]]


# --------------------------------------------------------------------- ends


def finish_task(state, effects, task):
    """Marks a task as done and enqueues the steps that waited for it."""
    job = task.job
    leader = state.leader
    key = task.key
    done = job.done[key.occurrence, key.step]
    if key.index in done:
        return
    done.add(key.index)
    dequeue(leader, task)
    if task.worker:
        # Another run of the task still exists and is not needed any more. A new
        # leader that finds it takes it for a proof that later steps have not
        # begun, unless the row shows that the task is done.
        job.awaits_save = True
        orders.stop(state, effects, task, "already done")
    else:
        remove_task(job, task)
    mark_dirty(leader, job)
    job.remaining[key.occurrence, key.step] -= 1
    if job.remaining[key.occurrence, key.step]:
        return
    for number, step in enumerate(job.spec.steps):
        if key.step not in step.after:
            continue
        if _is_ready(job, key.occurrence, step):
            _enqueue_step(leader, job, key.occurrence, number, state.now)
    if _is_complete(job):
        _end_job(state, effects, job, records.DONE, "all tasks done")


def remove_task(job, task):
    """Removes a task that has ended and has no runs left."""
    task.status = state_lib.FINISHED
    job.tasks.pop(task.key, None)
    job.failures.pop(task.key, None)
    job.crashes.pop(task.key, None)


def _is_complete(job):
    occurrences = max(1, job.spec.repeats)
    if len(job.expanded) < occurrences:
        return False
    return not any(job.remaining.values())


def fail_job(state, effects, job, reason):
    """Fails a job because one of its tasks cannot be done."""
    _end_job(state, effects, job, records.FAILED, reason)


def _end_job(state, effects, job, final, reason):
    if job.state in records.FINAL_STATES:
        return
    job.state = final
    leader = state.leader
    mark_dirty(leader, job)
    fields = {
        "job": job.spec.job,
        "state": final,
        "reason": reason,
        "late_ms": state.wall_ms - job.deadline,
        "age_ms": state.wall_ms - job.spec.accepted_ms,
    }
    effects.append(fx.Log("info", "job-ended", fields))
    effects.append(fx.Measure("skylarklug.jobs.ended", 1, {"state": final}))
    for task in list(job.tasks.values()):
        dequeue(leader, task)
        if task.worker:
            orders.stop(state, effects, task, f"job {final}")
        else:
            remove_task(job, task)


def _on_cancel_row(state, effects, name):
    job = state.leader.jobs.get(name)
    if job is None:
        return
    job.has_cancel_row = True
    _end_job(state, effects, job, records.CANCELLED, "cancelled by client")


def remove_closed(state, job):
    """Removes a job once its final state is saved and no run is left."""
    leader = state.leader
    name = job.spec.job
    if not job.final_saved or job.tasks:
        return
    if name in leader.dirty or name in leader.saving:
        # Ends of its runs wait for the commit.
        return
    leader.jobs.pop(name, None)
    leader.dirty.pop(name, None)
    interference_model.remove_job(state, job)
    leader.closed_jobs[name] = state.now


# --------------------------------------------------------------------- tick


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    _process_rows(state, effects)
    _expand_due(state, effects)
    _expire_closed(state, leader)


def _expire_closed(state, leader):
    limit = state.now - state.cfg.status_ms
    while leader.closed_jobs:
        name, at = next(iter(leader.closed_jobs.items()))
        if at > limit:
            return
        del leader.closed_jobs[name]


HANDLERS = {
    events.RowsChanged: _on_rows,
    events.Tick: _on_tick,
}
