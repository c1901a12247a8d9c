"""Moves of jobs between partitions.

An owner moves tasks that have never been started. A whole job moves only
from a partition that has had no owner for so long that nothing of it runs.
"""

from skylarklug import effects as effects_lib
from skylarklug import lease
from skylarklug import submission
from skylarklug import tasks

MOVE_AFTER_MS = 2_000


def move_unstarted(state, effects, job, target, actor="", done=None):
    """Moves tasks that were never started from an owned partition.

    The transaction changes the job row that each start checks, so a task
    cannot start on both partitions.
    """
    from skylarklug import jobs
    from skylarklug import placement
    from skylarklug import table

    done = done or _ignore
    if job.moving or not job.never_started:
        body = {"message": "no task that has never started can be moved"}
        done(state, effects, "not-met", body)
        return
    job.moving = True
    index_key, target_key = f"jobkey/{job.id}", f"job/{target}/{job.id}"

    def rows_read(state, effects, result):
        found = {row.key: row for row in result.rows}
        index_row = found.get(index_key)
        there = found.get(target_key)
        usable = index_row is not None and index_row.value is not None
        usable = usable and (there is None or there.value is None)
        count = min(job.never_started, _count(state, job, target, actor))
        if not usable or not count or not jobs.is_owned(state, job):
            job.moving = False
            body = {"message": f"{target} holds a part of the job already"}
            done(state, effects, "not-met", body)
            return
        first = job.end - count
        names = [*index_row.value["partitions"], target]
        here = {**job.row, "end": first}
        away = {**job.row, "first": first, "end": job.end}
        writes = (
            effects_lib.Write(
                index_key, {**index_row.value, "partitions": names}
            ),
            effects_lib.Write(job.key, here),
            effects_lib.Write(target_key, away),
            submission.audit_write(
                state, actor or state.node, "move", job.id, to=target
            ),
        )
        checks = (
            effects_lib.Check(index_key, index_row.version),
            effects_lib.Check(job.key, job.version),
            effects_lib.Check(target_key, 0),
        )
        # No start takes these indices while the transaction is in flight.
        job.end = first

        def committed(state, effects, result):
            job.moving = False
            if result.status != "committed":
                job.end = job.row["end"]
                placement.enqueue(state, job)
                body = {"message": "the job changed at the same time"}
                done(state, effects, "conflict", body)
                jobs.notify_owner(state, effects, job.partition)
                return
            job.version, job.row = result.version, here
            tasks.log(
                effects, "offer", job=job.id, partition=job.partition,
                reason=f"{count} tasks to {target}",
            )  # fmt: skip
            jobs.notify_owner(state, effects, target)
            body = {"job": job.id, "partition": target, "tasks": count}
            done(state, effects, "done", body)

        table.commit(state, effects, checks, writes, committed)

    table.read(state, effects, (index_key, target_key), (), rows_read)


def _ignore(state, effects, status, body):
    pass


def _count(state, job, target, actor):
    """Number of tasks to move: what fits there, or all for an operator."""
    from skylarklug import placement

    if actor:
        return job.never_started
    room = placement.advertised(state, target)
    if room is None:
        return 0
    return min(room["free"][i] // job.size[i] for i in range(3) if job.size[i])


def move(state, effects, actor, key, job, partition, if_version, done):
    """Moves what can be moved of a job to another partition.

    From a partition of this node, the tasks that never started; from one
    whose owner's node row has not changed for the detach limit, the lease
    and the margin, the whole job. Other owners must be asked themselves.
    """
    if partition not in submission.partition_names(state):
        body = {"message": f"no partition {partition}"}
        done(state, effects, "bad-input", body)
        return
    submission.with_job_rows(
        state, effects, job, done, _move_rows, actor, partition, if_version
    )


def _move_rows(
    state, effects, job, rows, done, again, actor, target, if_version
):
    from skylarklug import jobs
    from skylarklug import ownership

    parts = [row for row in rows if row.key.startswith("job/")]
    if submission.answer_version_conflict(
        state, effects, parts, if_version, done
    ):
        return
    parts = [r for r in parts if r.key != f"job/{target}/{job}"]
    if not parts:
        done(state, effects, "done", {"job": job, "new": False})
        return
    source = parts[0].key[len("job/") : -len(job) - 1]
    mine = jobs.find_job(state, source, job)
    if mine is not None:
        move_unstarted(state, effects, mine, target, actor, done)
        return
    owner = ownership.owner_of(state, source)
    _move_unowned(
        state, effects, job, rows, source, target, owner, actor, done, again
    )


def _move_unowned(
    state, effects, job, rows, source, target, owner, actor, done, again
):
    from skylarklug import jobs
    from skylarklug import table

    keys = (f"partition/{source}", f"node/{owner}")

    def owner_read(state, effects, result):
        if result.status != "read":
            submission.answer_unavailable(state, effects, done)
            return
        found = {row.key: row for row in result.rows}
        versions = tuple(found[k].version if k in found else 0 for k in keys)
        left = _unowned_wait(state, source, (owner, *versions))
        if left > 0:
            message = (
                f"{source} may still have an owner ({owner or 'unknown'});"
                f" repeat in {left} ms"
            )
            done(state, effects, "not-met", {"message": message})
            return
        prefix = f"task/{source}/{job}/"
        table.read(
            state, effects, (), (prefix,), tasks_read,
            deadline_ms=submission.COMMAND_DEADLINE_MS,
        )  # fmt: skip
        guards.extend(
            effects_lib.Check(k, v) for k, v in zip(keys, versions, strict=True)
        )

    guards = []

    def tasks_read(state, effects, result):
        if result.status != "read":
            submission.answer_unavailable(state, effects, done)
            return
        checks, writes = _moved(job, rows, result.rows, source, target)
        writes.append(
            submission.audit_write(state, actor, "move", job, to=target)
        )
        table.commit(
            state, effects, (*guards, *checks), tuple(writes), committed,
            deadline_ms=submission.COMMAND_DEADLINE_MS,
        )  # fmt: skip

    def committed(state, effects, result):
        if result.status == "conflict":
            again(state, effects)
            return
        if result.status != "committed":
            submission.answer_unavailable(state, effects, done)
            return
        done(state, effects, "done", {"job": job, "partition": target})
        jobs.notify_owner(state, effects, target)

    table.read(
        state,
        effects,
        keys,
        (),
        owner_read,
        deadline_ms=submission.COMMAND_DEADLINE_MS,
    )


def _unowned_wait(state, partition, seen):
    """Milliseconds until an unchanged owner counts as gone."""
    watch = state.domains["jobs"].moves
    before = watch.get(partition)
    if before is None or before[0] != seen:
        before = watch[partition] = (seen, state.now)
    needed = (
        lease.detach_limit_ms(state)
        + lease.lease_ms(state)
        + lease.EXPIRY_MARGIN_MS
    )
    return before[1] + needed - state.now


def _moved(job, rows, task_rows, source, target):
    """Builds the transaction that moves a whole job."""
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
        # Epochs of two partitions do not compare.
        value = {**row.value, "epoch": 0}
        if value["state"] not in tasks.TERMINAL:
            value |= {"state": tasks.PENDING, "reason": f"from {source}"}
        checks.append(effects_lib.Check(row.key, row.version))
        writes.append(effects_lib.Write(row.key, None))
        writes.append(effects_lib.Write(f"task/{target}/{job}/{index}", value))
    return checks, writes


def move_waiting(state, effects):
    """Offers pending tasks that wait to a partition that has room."""
    from skylarklug import jobs

    mine = state.domains["placement"]
    for name, job_id in mine.offers.due(state.now):
        part = mine.parts.get(name)
        if part is None or job_id not in part.queue.queued:
            continue
        mine.offers.add(state.now + MOVE_AFTER_MS, name, job_id)
        job = jobs.find_job(state, name, job_id)
        since = part.waiting.get(job_id, state.now)
        if job is None or state.now - since < MOVE_AFTER_MS:
            continue
        target = submission.partition_with_capacity(state, job)
        if target:
            move_unstarted(state, effects, job, target)
