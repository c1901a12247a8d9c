"""Moves of jobs between partitions.

An owner moves tasks that have never been started. A whole job is moved only
from a partition that has had no owner for so long that none of its tasks can
still run.
"""

from skylarklug import effects as effects_lib
from skylarklug import lease
from skylarklug import submission
from skylarklug import tasks

# Waiting time after which pending tasks are moved to another partition.
MOVE_AFTER_MS = 2_000


def move_unstarted(state, effects, job, target, actor="", on_done=None):
    """Moves tasks that were never started from an owned partition.

    The transaction changes the job row, whose version each start checks, so
    a task cannot start in both partitions.
    """
    from skylarklug import jobs
    from skylarklug import placement
    from skylarklug import table

    on_done = on_done or _ignore_answer
    if job.moving or not job.never_started:
        body = {"message": "no task that has never started can be moved"}
        on_done(state, effects, "not-met", body)
        return
    job.moving = True
    index_key, target_key = f"jobkey/{job.id}", f"job/{target}/{job.id}"

    def on_rows_read(state, effects, result):
        rows_by_key = {row.key: row for row in result.rows}
        index_row = rows_by_key.get(index_key)
        existing = rows_by_key.get(target_key)
        usable = index_row is not None and index_row.value is not None
        usable = usable and (existing is None or existing.value is None)
        count = min(
            job.never_started, _movable_count(state, job, target, actor)
        )
        if not usable or not count or not jobs.is_owned(state, job):
            job.moving = False
            body = {"message": f"{target} holds a part of the job already"}
            on_done(state, effects, "not-met", body)
            return
        first = job.end - count
        names = [*index_row.value["partitions"], target]
        source_row = {**job.row, "end": first}
        target_row = {**job.row, "first": first, "end": job.end}
        writes = (
            effects_lib.Write(
                index_key, {**index_row.value, "partitions": names}
            ),
            effects_lib.Write(job.key, source_row),
            effects_lib.Write(target_key, target_row),
            submission.audit_write(
                state, actor or state.node, "move", job.id, to=target
            ),
        )
        checks = (
            effects_lib.Check(index_key, index_row.version),
            effects_lib.Check(job.key, job.version),
            effects_lib.Check(target_key, 0),
        )
        # Prevents starts of these tasks while the transaction is pending.
        job.end = first

        def on_committed(state, effects, result):
            job.moving = False
            if result.status != "committed":
                job.end = job.row["end"]
                placement.enqueue(state, job)
                body = {"message": "the job changed at the same time"}
                on_done(state, effects, "conflict", body)
                jobs.notify_owner(state, effects, job.partition)
                return
            job.version, job.row = result.version, source_row
            tasks.log(
                effects, "offer", job=job.id, partition=job.partition,
                reason=f"{count} tasks to {target}",
            )  # fmt: skip
            jobs.notify_owner(state, effects, target)
            body = {"job": job.id, "partition": target, "tasks": count}
            on_done(state, effects, "done", body)

        table.commit(state, effects, checks, writes, on_committed)

    table.read(state, effects, (index_key, target_key), (), on_rows_read)


def _ignore_answer(state, effects, status, body):
    pass


def _movable_count(state, job, target, actor):
    """Returns how many tasks fit the target, or all for an operator."""
    from skylarklug import placement

    if actor:
        return job.never_started
    capacity = placement.advertised_capacity(state, target)
    if capacity is None:
        return 0
    return min(
        capacity["free"][i] // job.size[i] for i in range(3) if job.size[i]
    )


def move(state, effects, actor, key, job, partition, if_version, on_done):
    """Moves a job, or its tasks that never started, to another partition.

    From a partition that this node owns it moves the tasks that never
    started. It moves the whole job from a partition whose owner's node row
    has not changed for the sum of the detach limit, the lease and the margin.
    Any other owner has to execute the command itself.
    """
    if partition not in submission.partition_names(state):
        body = {"message": f"no partition {partition}"}
        on_done(state, effects, "bad-input", body)
        return
    submission.with_job_rows(
        state, effects, job, on_done, _move_rows, actor, partition, if_version
    )


def _move_rows(
    state, effects, job, rows, on_done, retry, actor, target, if_version
):
    from skylarklug import jobs
    from skylarklug import ownership

    job_rows = [row for row in rows if row.key.startswith("job/")]
    if submission.answer_version_conflict(
        state, effects, job_rows, if_version, on_done
    ):
        return
    job_rows = [r for r in job_rows if r.key != f"job/{target}/{job}"]
    if not job_rows:
        on_done(state, effects, "done", {"job": job, "new": False})
        return
    source = job_rows[0].key[len("job/") : -len(job) - 1]
    owned = jobs.find_job(state, source, job)
    if owned is not None:
        move_unstarted(state, effects, owned, target, actor, on_done)
        return
    owner = ownership.owner_of(state, source)
    _move_unowned(
        state, effects, job, rows, source, target, owner, actor, on_done, retry
    )


def _move_unowned(
    state, effects, job, rows, source, target, owner, actor, on_done, retry
):
    from skylarklug import jobs
    from skylarklug import table

    keys = (f"partition/{source}", f"node/{owner}")

    def on_owner_read(state, effects, result):
        if result.status != "read":
            submission.answer_unavailable(state, effects, on_done)
            return
        rows_by_key = {row.key: row for row in result.rows}
        versions = tuple(
            rows_by_key[k].version if k in rows_by_key else 0 for k in keys
        )
        remaining_ms = _remaining_wait_ms(state, source, (owner, *versions))
        if remaining_ms > 0:
            message = (
                f"{source} may still have an owner ({owner or 'unknown'});"
                f" repeat in {remaining_ms} ms"
            )
            on_done(state, effects, "not-met", {"message": message})
            return
        prefix = f"task/{source}/{job}/"
        table.read(
            state, effects, (), (prefix,), on_tasks_read,
            deadline_ms=submission.COMMAND_DEADLINE_MS,
        )  # fmt: skip
        owner_checks.extend(
            effects_lib.Check(k, v) for k, v in zip(keys, versions, strict=True)
        )

    owner_checks = []

    def on_tasks_read(state, effects, result):
        if result.status != "read":
            submission.answer_unavailable(state, effects, on_done)
            return
        checks, writes = _move_transaction(
            job, rows, result.rows, source, target
        )
        writes.append(
            submission.audit_write(state, actor, "move", job, to=target)
        )
        table.commit(
            state, effects, (*owner_checks, *checks), tuple(writes),
            on_committed, deadline_ms=submission.COMMAND_DEADLINE_MS,
        )  # fmt: skip

    def on_committed(state, effects, result):
        if result.status == "conflict":
            retry(state, effects)
            return
        if result.status != "committed":
            submission.answer_unavailable(state, effects, on_done)
            return
        on_done(state, effects, "done", {"job": job, "partition": target})
        jobs.notify_owner(state, effects, target)

    table.read(
        state,
        effects,
        keys,
        (),
        on_owner_read,
        deadline_ms=submission.COMMAND_DEADLINE_MS,
    )


def _remaining_wait_ms(state, partition, observation):
    """Returns the milliseconds until an unchanged owner is presumed stopped."""
    observations = state.domains["jobs"].owner_observations
    first_seen = observations.get(partition)
    if first_seen is None or first_seen[0] != observation:
        first_seen = observations[partition] = (observation, state.now)
    needed_ms = (
        lease.detach_limit_ms(state)
        + lease.lease_ms(state)
        + lease.EXPIRY_MARGIN_MS
    )
    return first_seen[1] + needed_ms - state.now


def _move_transaction(job, rows, task_rows, source, target):
    """Returns the checks and writes that move a whole job."""
    checks, writes = [], []
    for row in rows:
        if row.key == f"jobkey/{job}":
            names = [
                target if name == source else name
                for name in row.value["partitions"]
            ]
            value = {**row.value, "partitions": names}
            checks.append(effects_lib.Check(row.key, row.version))
            writes.append(effects_lib.Write(row.key, value))
        if row.key == f"job/{source}/{job}":
            new_key = f"job/{target}/{job}"
            checks.append(effects_lib.Check(row.key, row.version))
            checks.append(effects_lib.Check(new_key, 0))
            writes.append(effects_lib.Write(row.key, None))
            writes.append(
                effects_lib.Write(new_key, {**row.value, "moved": True})
            )
    for row in task_rows:
        if row.value is None:
            continue
        index = row.key.rpartition("/")[2]
        # Epochs of different partitions are not comparable.
        value = {**row.value, "epoch": 0}
        if value["state"] not in tasks.TERMINAL:
            value |= {"state": tasks.PENDING, "reason": f"from {source}"}
        checks.append(effects_lib.Check(row.key, row.version))
        writes.append(effects_lib.Write(row.key, None))
        writes.append(effects_lib.Write(f"task/{target}/{job}/{index}", value))
    return checks, writes


def move_waiting(state, effects):
    """Moves tasks that have waited long to a partition with capacity."""
    from skylarklug import jobs

    domain = state.domains["placement"]
    for name, job_id in domain.move_checks.due(state.now):
        owned = domain.partitions.get(name)
        if owned is None or job_id not in owned.queue.queued:
            continue
        domain.move_checks.add(state.now + MOVE_AFTER_MS, name, job_id)
        job = jobs.find_job(state, name, job_id)
        since = owned.waiting.get(job_id, state.now)
        if job is None or state.now - since < MOVE_AFTER_MS:
            continue
        target = submission.partition_with_capacity(state, job)
        if target:
            move_unstarted(state, effects, job, target)
