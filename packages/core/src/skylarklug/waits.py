"""Reasons for which jobs wait, for the log and for queries of operators."""

from skylarklug import tasks

# A job's reason to wait is logged at most once in this time.
LOG_INTERVAL_MS = 10_000


def mark_unrunnable(state, effects, partition_name, partition, job):
    """Marks a job whose tasks fit on no worker, and logs it once."""
    if job.unrunnable:
        return
    job.unrunnable = (
        f"needs cpus={job.size.mcpus / 1000:g} memory_mb={job.size.memory_mb}"
        f" accelerators={job.size.accelerators} on one worker;"
        f" largest: {partition.index.describe_largest()}"
    )
    tasks.log(
        effects, "unrunnable", "warning", job=job.id, partition=partition_name,
        reason=job.unrunnable,
    )  # fmt: skip


def record(state, effects, partition, job, reason, rejected):
    """Logs why a job waits, at most once per job in `LOG_INTERVAL_MS`.

    Args:
        state: The node's state.
        effects: Receives the log line.
        partition: The partition whose queue holds the job.
        job: The job.
        reason: Why it waits.
        rejected: Pairs of a worker and the reason why it was rejected.
    """
    last = partition.logged.get(job.id)
    if last is not None and state.now - last[0] < LOG_INTERVAL_MS:
        return
    if len(partition.logged) > 1000:
        partition.logged.clear()
    partition.logged[job.id] = (state.now, reason, tuple(rejected))
    tasks.log(
        effects, "wait", job=job.id, partition=job.partition, reason=reason,
        size=job.size,
        against=" ".join(f"{name}:{why}" for name, why in rejected),
    )  # fmt: skip


def explain(state, job) -> dict:
    """Returns how long and why a job has been waiting; empty if it is not."""
    partition = state.domains["placement"].partitions.get(job.partition)
    if partition is None or job.id not in partition.queue.queued:
        return {}
    _, reason, rejected = partition.logged.get(job.id, (0, "queued", ()))
    since = partition.waiting.get(job.id, state.now)
    return {
        "waiting_ms": state.now - since,
        "priority": partition.queue.queued[job.id],
        "reason": job.unrunnable or reason,
        "against": [f"{name}:{why}" for name, why in rejected],
    }
