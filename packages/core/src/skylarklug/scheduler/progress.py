"""Group commits of the jobs' progress."""

from skylarklug.scheduler import codec
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import intake
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records
from skylarklug.scheduler import store
from skylarklug.scheduler import workers

# A job takes up to four of the 100 entries that one transaction may have.
MAX_JOBS = 24
RETRY_MS = 150
# Ends that come within this time share a commit.
GATHER_MS = 20


def _work_value(job, epoch):
    done = {}
    for (occurrence, step), indices in job.done.items():
        if indices:
            name = f"{occurrence}.{step}"
            done[name] = codec.pack_indices(indices)
    failed = {}
    for key, attempts in job.failures.items():
        if attempts:
            name = f"{key.occurrence}.{key.step}.{key.index}"
            failed[name] = sorted(attempts)
    value = {"state": job.state, "queue": job.spec.queue, "epoch": epoch}
    if job.state in records.FINAL_STATES:
        return value
    return {**value, "done": done, "failed": failed}


def _writes(job, epoch):
    name = job.spec.job
    writes = [fx.Write("work", name, _work_value(job, epoch))]
    if job.state in records.FINAL_STATES:
        writes.append(fx.Write("jobs", name, None))
        if job.has_marker:
            marker = name + intake.CANCEL_SUFFIX
            writes.append(fx.Write("jobs", marker, None))
    return writes


def _save(state, effects):
    shard = state.shard
    names = []
    for name in shard.dirty:
        if name in shard.jobs:
            names.append(name)
        if len(names) == MAX_JOBS:
            break
    for name in list(shard.dirty):
        if name not in shard.jobs:
            del shard.dirty[name]
    if not names:
        return
    checks = [leadership.owner_check(shard)]
    writes = []
    written = []
    for name in names:
        job = shard.jobs[name]
        del shard.dirty[name]
        checks.append(fx.Check("work", name, job.version))
        writes.extend(_writes(job, shard.epoch))
        written.append((job, job.state))
    shard.saving = frozenset(names)

    def done(state, effects, answer):
        if state.shard is shard:
            _on_saved(state, effects, shard, written, answer)

    store.commit(state, effects, checks, writes, done)


def _on_saved(state, effects, shard, written, answer):
    names = shard.saving
    shard.saving = frozenset()
    if answer.status == "ok":
        leadership.confirm(state, answer)
        # Ends that came after the rows were written wait for the next commit.
        workers.on_jobs_committed(state, names - shard.dirty.keys())
        for job, job_state in written:
            _on_job_saved(state, shard, job, job_state, answer.version)
        shard.save_at = state.now
        return
    for job, _ in written:
        shard.dirty.setdefault(job.spec.job)
    shard.save_at = state.now + RETRY_MS
    if answer.status != "conflict":
        return
    shard.save_at = state.now
    if not leadership.check_conflict(state, effects, answer):
        return
    for row in answer.rows:
        job = shard.jobs.get(row.key) if row.table == "work" else None
        if job is not None:
            job.version = row.version


def _on_job_saved(state, shard, job, job_state, version):
    job.version = version
    if not job.begun:
        job.begun = True
        shard.place_soon = True
    if job_state in records.FINAL_STATES:
        job.final_saved = True
        jobs.forget_closed(state, job)


def flush(state, effects):
    """Commits what is dirty unless a commit is in flight."""
    shard = state.shard
    if shard is None or not shard.dirty or shard.saving:
        return
    if not leadership.may_act(state) or not leadership.is_loaded(shard):
        return
    if state.now < shard.save_at + GATHER_MS:
        return
    _save(state, effects)


def _on_any(state, event, effects):
    flush(state, effects)


HANDLERS = {
    events.Tick: _on_any,
    events.StoreAnswered: _on_any,
    events.WorkerLooked: _on_any,
    events.RowsChanged: _on_any,
}
