"""Group commits of job progress to the store."""

from skylarklug.scheduler import codec
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import intake
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records
from skylarklug.scheduler import store
from skylarklug.scheduler import workers

# A transaction may have 100 entries; a job takes up to four.
MAX_JOBS_PER_COMMIT = 24
# Maximum crash records in one row. A record has about 80 bytes, a row of the
# store 64 KB.
MAX_SAVED_CRASHES = 300
# Delay before a failed commit is repeated.
COMMIT_RETRY_MS = 150
# Delay after each commit, so that the ends of runs that arrive within it share
# the next one.
GROUP_COMMIT_DELAY_MS = 20


def _saved_crashes(job):
    """Returns the crash records that fit into the row, most crashes first."""
    saved = {}
    count = 0
    tasks = sorted(job.crashes.items(), key=lambda item: -len(item[1]))
    for key, crashes in tasks:
        count += len(crashes)
        if count > MAX_SAVED_CRASHES:
            break
        saved[_task_name(key)] = [
            [attempt, *crash] for attempt, crash in crashes.items()
        ]
    return saved


def _task_name(key):
    """Returns the name of a task in the row of its job."""
    return f"{key.occurrence}.{key.step}.{key.index}"


def _work_value(job, epoch):
    done = {}
    for (occurrence, step), indices in job.done.items():
        if indices:
            name = f"{occurrence}.{step}"
            done[name] = codec.pack_indices(indices)
    failed = {}
    for key, attempts in job.failures.items():
        if attempts:
            failed[_task_name(key)] = sorted(attempts)
    value = {"state": job.state, "queue": job.spec.queue, "epoch": epoch}
    if job.state in records.FINAL_STATES:
        return value
    value.update(done=done, failed=failed)
    if job.crashes:
        value["crashed"] = _saved_crashes(job)
    return value


def _writes(job, epoch):
    name = job.spec.job
    writes = [fx.Write("work", name, _work_value(job, epoch))]
    if job.state in records.FINAL_STATES:
        writes.append(fx.Write("jobs", name, None))
        if job.has_cancel_row:
            cancel_key = name + intake.CANCEL_SUFFIX
            writes.append(fx.Write("jobs", cancel_key, None))
    return writes


def _save(state, effects):
    leader = state.leader
    names = []
    for name in leader.dirty:
        if name in leader.jobs:
            names.append(name)
        if len(names) == MAX_JOBS_PER_COMMIT:
            break
    for name in list(leader.dirty):
        if name not in leader.jobs:
            del leader.dirty[name]
    if not names:
        return
    checks = [leadership.owner_check(leader)]
    writes = []
    saved_jobs = []
    for name in names:
        job = leader.jobs[name]
        del leader.dirty[name]
        checks.append(fx.Check("work", name, job.version))
        writes.extend(_writes(job, leader.epoch))
        saved_jobs.append((job, job.state, job.crash_changes))
    leader.saving = frozenset(names)

    def done(state, effects, answer):
        if state.leader is leader:
            _on_saved(state, effects, leader, saved_jobs, answer)

    store.commit(state, effects, checks, writes, done)


def _on_saved(state, effects, leader, saved_jobs, answer):
    names = leader.saving
    leader.saving = frozenset()
    if answer.status == "ok":
        leadership.record_commit(state, answer)
        # Ends that arrived after the commit was sent wait for the next one.
        workers.on_jobs_committed(state, names - leader.dirty.keys())
        for job, job_state, crash_changes in saved_jobs:
            if job.crash_changes_saved < crash_changes:
                job.crash_changes_saved = crash_changes
                leader.placement_requested = True
            _on_job_saved(state, leader, job, job_state, answer.version)
        leader.save_at = state.now
        return
    for job, _, _ in saved_jobs:
        leader.dirty.setdefault(job.spec.job)
    leader.save_at = state.now + COMMIT_RETRY_MS
    if answer.status != "conflict":
        return
    leader.save_at = state.now
    if not leadership.check_conflict(state, effects, answer):
        return
    for row in answer.rows:
        job = leader.jobs.get(row.key) if row.table == "work" else None
        if job is not None:
            job.version = row.version


def _on_job_saved(state, leader, job, job_state, version):
    job.version = version
    if job.awaits_save:
        leader.placement_requested = True
    if not job.start_recorded:
        job.start_recorded = True
        leader.placement_requested = True
    if job_state in records.FINAL_STATES:
        job.final_saved = True
        jobs.remove_closed(state, job)


def flush(state, effects):
    """Commits the rows of dirty jobs unless a commit is in flight."""
    leader = state.leader
    if leader is None or not leader.dirty or leader.saving:
        return
    if not leadership.may_send_orders(state) or not leadership.is_loaded(
        leader
    ):
        return
    if state.now < leader.save_at + GROUP_COMMIT_DELAY_MS:
        return
    _save(state, effects)


def _on_event(state, event, effects):
    flush(state, effects)


HANDLERS = {
    events.Tick: _on_event,
    events.StoreAnswered: _on_event,
    events.WorkerPolled: _on_event,
    events.RowsChanged: _on_event,
}
