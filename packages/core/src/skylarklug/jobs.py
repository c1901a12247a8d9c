"""Jobs and tasks of the owned partitions, and their rows in the table.

A job row `job/<partition>/<job>` contains a range of task indices. A task gets
a row with its first attempt; a task of the range that has no row is pending.
"""

import collections
from typing import Any

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import tasks
from skylarklug import waits

# Interval at which job rows are read for changes, in case a hint is lost.
POLL_MS = 2_000
# Spreads the stops of cancelled jobs over ticks, so that a burst of
# cancellations does not delay starts.
STOPS_PER_TICK = 16


class Partition:
    """Jobs of a partition that this node owns."""

    def __init__(self, name, epoch):
        self.name = name
        self.epoch = epoch
        self.jobs: dict[str, tasks.Job] = {}
        self.loaded = False
        self.version = 0
        self.read_pending = False
        self.read_again = False
        self.next_poll = 0
        self.cancelling = collections.deque()


class JobsState:
    """Jobs of the partitions that this node owns.

    `owner_observations` maps partitions to the last observed versions of their
    owner's rows and the time of the first observation; see `moves`.
    """

    def __init__(self):
        self.partitions: dict[str, Partition] = {}
        self.owner_observations: dict[str, Any] = {}
        self.dropped_finishes = 0


def new_state() -> JobsState:
    """Returns the state of a node that owns no partition."""
    return JobsState()


def loaded(state, partition) -> bool:
    """Returns whether the rows of the partition have been read."""
    owned = state.domains["jobs"].partitions.get(partition)
    return owned is not None and owned.loaded


def find_job(state, partition, job_id):
    """Returns the `Job`, or None."""
    owned = state.domains["jobs"].partitions.get(partition)
    return owned.jobs.get(job_id) if owned else None


def find_task(state, partition, task_id):
    """Returns the `Task`, or None if it has never been started."""
    job_id, _, index = task_id.rpartition("/")
    job = find_job(state, partition, job_id)
    if job is None or not index.isdecimal():
        return None
    return job.tasks.get(int(index))


def is_owned(state, job) -> bool:
    """Returns whether this record still belongs to an owned partition."""
    return find_job(state, job.partition, job.id) is job


def is_current(state, task) -> bool:
    """Returns whether the task still belongs to an owned partition."""
    return is_owned(state, task.job)


def apply_task(state, effects, task, row):
    """Applies a task row written by another writer or an earlier owner."""
    from skylarklug import lease

    value = row.value
    owned = state.domains["jobs"].partitions[task.job.partition]
    if value["epoch"] > owned.epoch:
        # A newer owner has written the row, so this node has lost the
        # partition. The task is left as it is until ownership reports that.
        task.awaiting_row = True
        return
    task.version, task.row_state = row.version, value["state"]
    task.attempt = value["attempt"]
    task.checkpoint = value["checkpoint"]
    task.failures = value["failures"]
    task.evictions = value["evictions"]
    to_state = value["state"]
    if to_state in tasks.TERMINAL and task.state not in tasks.TERMINAL:
        task.worker = value["worker"]
        tasks.transition(
            state, effects, task, to_state, f"row: {value['reason']}"
        )
    if to_state == tasks.STARTING and task.state == tasks.PENDING:
        task.worker = value["worker"]
        tasks.transition(
            state, effects, task, tasks.STARTING, "row of an earlier start"
        )
        lease.expect_attempt(state, effects, task)


def apply_job(state, effects, partition, row):
    """Applies a new or changed job row of an owned partition."""
    from skylarklug import placement

    owned = state.domains["jobs"].partitions[partition]
    job_id = row.key.rpartition("/")[2]
    job = owned.jobs.get(job_id)
    if row.value is None:
        if job is not None and not any(job.counts[s] for s in tasks.LIVE):
            del owned.jobs[job_id]
        return
    if job is None:
        job = owned.jobs[job_id] = tasks.Job(partition, row, state.now)
        tasks.log(
            effects, "job", job=job.id, partition=partition, reason="new row"
        )
        if row.value.get("moved") and owned.loaded:
            _load_moved(state, effects, job)
        else:
            placement.enqueue(state, job)
        return
    if row.version <= job.version:
        return
    was_cancelled = job.cancelled
    job.update(row)
    if job.cancelled and not was_cancelled:
        _cancel_tasks(state, effects, owned, job)
        return
    placement.enqueue(state, job)


def _cancel_tasks(state, effects, owned, job):
    """Queues stops of live tasks; most pending tasks need no write."""
    from skylarklug import attempts

    for task in job.tasks.values():
        if task.state in tasks.LIVE:
            owned.cancelling.append(task)
        elif task.state != tasks.PENDING or task.awaiting_row:
            continue
        elif task.row_state == tasks.STARTING:
            # The attempt has ended, but the row still says "starting".
            attempts.write_cancelled(state, effects, task)
        else:
            tasks.transition(
                state, effects, task, tasks.CANCELLED, "job cancelled"
            )
    job.requeued.clear()
    tasks.log(
        effects, "job", job=job.id, partition=owned.name, reason="cancelled"
    )


# ------------------------------------------------------------------ loading


def _on_acquired(state, event, effects):
    from skylarklug import placement

    placement.open_partition(state, event.partition)
    owned = Partition(event.partition, event.epoch)
    state.domains["jobs"].partitions[event.partition] = owned
    _read_rows(state, effects, owned)


def _on_lost(state, event, effects):
    from skylarklug import placement

    placement.close_partition(state, event.partition)
    state.domains["jobs"].partitions.pop(event.partition, None)


def _read_rows(state, effects, owned):
    from skylarklug import snapshot
    from skylarklug import table

    if owned.read_pending:
        owned.read_again = True
        return
    owned.read_pending = True
    owned.next_poll = state.now + POLL_MS

    def apply_result(state, effects, result):
        if state.domains["jobs"].partitions.get(owned.name) is not owned:
            return
        owned.read_pending = False
        if result is not None:
            _apply_rows(state, effects, owned, result)
        if owned.read_again or not owned.loaded:
            owned.read_again = False
            _read_rows(state, effects, owned)

    def on_result(state, effects, result):
        apply_result(
            state, effects, result if result.status == "read" else None
        )

    if not owned.loaded:
        snapshot.load(state, effects, owned.name, apply_result)
        return
    prefixes = (f"job/{owned.name}/",)
    table.read(
        state, effects, (), prefixes, on_result, after_version=owned.version
    )


def _apply_rows(state, effects, owned, result):
    from skylarklug import lease

    owned.version = max(owned.version, result.version)
    rows = sorted(result.rows)
    for row in rows:
        if row.key.startswith("job/"):
            apply_job(state, effects, owned.name, row)
    if owned.loaded:
        return
    for row in rows:
        if not row.key.startswith("task/") or row.value is None:
            continue
        _, _, rest = row.key.partition(f"task/{owned.name}/")
        job_id, _, index = rest.rpartition("/")
        job = owned.jobs.get(job_id)
        if job is not None:
            _load_task(state, effects, job, int(index), row)
    owned.loaded = True
    lease.rows_loaded(state, effects, owned.name)
    for job in owned.jobs.values():
        if job.cancelled:
            _cancel_tasks(state, effects, owned, job)


def _load_moved(state, effects, job):
    """Reads the task rows of a job moved from another partition."""
    from skylarklug import placement
    from skylarklug import table

    def on_result(state, effects, result):
        if not is_owned(state, job):
            return
        for row in sorted(result.rows):
            if row.value is not None:
                index = int(row.key.rpartition("/")[2])
                _load_task(state, effects, job, index, row)
        placement.enqueue(state, job)

    prefix = f"task/{job.partition}/{job.id}/"
    table.read(state, effects, (), (prefix,), on_result)


def _load_task(state, effects, job, index, row):
    task = job.tasks[index] = tasks.Task(job, index)
    job.counts[tasks.PENDING] += 1
    apply_task(state, effects, task, row)
    if task.state == tasks.PENDING:
        job.requeued.append(task)


def _on_tick(state, event, effects):
    partitions = state.domains["jobs"].partitions
    if not partitions:
        return
    from skylarklug import lease
    from skylarklug import ownership

    if ownership.mode(state) == "suspended":
        return
    for owned in list(partitions.values()):
        if state.now >= owned.next_poll:
            _read_rows(state, effects, owned)
        for _ in range(min(STOPS_PER_TICK, len(owned.cancelling))):
            task = owned.cancelling.popleft()
            lease.stop(state, effects, task, "job cancelled")


def _on_peer_message(state, event, effects):
    if event.body.get("kind") != "job-hint":
        return
    owned = state.domains["jobs"].partitions.get(event.body.get("partition"))
    if owned is not None:
        _read_rows(state, effects, owned)


def notify_owner(state, effects, partition):
    """Notifies the owner of a partition that its job rows have changed."""
    from skylarklug import ownership

    owned = state.domains["jobs"].partitions.get(partition)
    if owned is not None:
        _read_rows(state, effects, owned)
        return
    owner = ownership.owner_of(state, partition)
    if owner:
        body = {"kind": "job-hint", "partition": partition}
        effects.append(effects_lib.SendPeer(owner, body))


# --------------------------------------------------------------- operators


def submit(state, effects, actor, key, spec, on_done):
    """Creates a job; see `submission.submit`."""
    from skylarklug import submission

    submission.submit(state, effects, actor, key, spec, on_done)


def cancel(state, effects, actor, key, job, if_version, on_done):
    """Cancels a job; see `submission.cancel`."""
    from skylarklug import submission

    submission.cancel(state, effects, actor, key, job, if_version, on_done)


def move(state, effects, actor, key, job, partition, if_version, on_done):
    """Moves a job; see `moves.move`."""
    from skylarklug import moves

    moves.move(state, effects, actor, key, job, partition, if_version, on_done)


# ------------------------------------------------------------------- lists


def list_jobs(state) -> list:
    """Returns a row for each job of the owned partitions."""
    rows = []
    for owned in state.domains["jobs"].partitions.values():
        for job in owned.jobs.values():
            rows.append(_job_row(job))
    return rows


def _job_row(job):
    live = sum(job.counts[name] for name in tasks.LIVE)
    return {
        "job": job.id,
        "partition": job.partition,
        "team": job.team,
        "kind": job.kind,
        "class": job.job_class,
        "priority": job.priority,
        "state": job.state,
        "tasks": job.end - job.first,
        "pending": job.never_started + job.counts[tasks.PENDING],
        "running": live,
        "finished": job.counts[tasks.FINISHED],
        "failed": job.counts[tasks.FAILED],
        "cancelled": job.counts[tasks.CANCELLED],
        "version": job.version,
        "reason": job.unrunnable,
    }


def list_tasks(state) -> list:
    """Returns a row for each task, including those without a table row."""
    rows = []
    for owned in state.domains["jobs"].partitions.values():
        for job in owned.jobs.values():
            for index in range(job.first, job.end):
                rows.append(_list_task(job, index))
    return rows


def _list_task(job, index):
    task = job.tasks.get(index) or tasks.Task(job, index)
    state = task.state
    if state == tasks.PENDING and job.cancelled:
        state = tasks.CANCELLED
    return {
        "task": task.id,
        "job": job.id,
        "partition": job.partition,
        "team": job.team,
        "kind": job.kind,
        "class": job.job_class,
        "state": state,
        "attempt": task.attempt,
        "worker": "" if state == tasks.PENDING else task.worker,
        "progress": 1.0 if state == tasks.FINISHED else task.progress,
        "evictions": task.evictions,
        "failures": task.failures,
        "reason": task.reasons[-1][3] if task.reasons else "",
        "placement": _placement_of(task),
    }


def _placement_of(task):
    """Returns the recorded reason of the last placement, or ""."""
    for _, _, to_state, reason in reversed(task.reasons):
        if to_state == tasks.STARTING:
            return reason
    return ""


def explain(state, kind, name):
    """Returns the state and history of a job or task, or None if unknown.

    `kind` is "job" or "task"; `name` is the id.
    """
    job_id, index = name, ""
    if kind == "task":
        job_id, _, index = name.rpartition("/")
    for owned in state.domains["jobs"].partitions.values():
        job = owned.jobs.get(job_id)
        if job is None:
            continue
        waiting = waits.explain(state, job)
        if kind == "job":
            return {**_job_row(job), "waits": waiting}
        if not index.isdecimal() or not job.first <= int(index) < job.end:
            continue
        task = job.tasks.get(int(index))
        history = task.reasons if task else ()
        return {
            **_list_task(job, int(index)),
            "checkpoint": task.checkpoint if task else None,
            "waits": waiting,
            "history": [
                {"at": at, "was": was, "state": to_state, "reason": reason}
                for at, was, to_state, reason in history
            ],
        }
    return None


HANDLERS = {
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.Tick: _on_tick,
    events.PeerMessage: _on_peer_message,
}
