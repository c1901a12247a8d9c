"""Why jobs wait: what is logged, and what operators are told."""

from skylarklug import tasks

LOG_REPEAT_MS = 10_000


def mark_unrunnable(state, effects, name, part, job):
    """Records and logs, once, that no worker could ever hold a task."""
    if job.unrunnable:
        return
    job.unrunnable = (
        f"needs cpus={job.size.mcpus / 1000:g} memory_mb={job.size.memory_mb}"
        f" accelerators={job.size.accelerators} on one worker;"
        f" largest: {part.index.describe_largest()}"
    )
    tasks.log(
        effects, "unrunnable", "warning", job=job.id, partition=name,
        reason=job.unrunnable,
    )  # fmt: skip


def record(state, effects, part, job, reason, rejected):
    """Logs why a job waits, at most once per job in `LOG_REPEAT_MS`."""
    last = part.logged.get(job.id)
    if last is not None and state.now - last[0] < LOG_REPEAT_MS:
        return
    if len(part.logged) > 1000:
        part.logged.clear()
    part.logged[job.id] = (state.now, reason, tuple(rejected))
    tasks.log(
        effects, "wait", job=job.id, partition=job.partition, reason=reason,
        size=job.size,
        against=" ".join(f"{name}:{why}" for name, why in rejected),
    )  # fmt: skip


def explain(state, job) -> dict:
    """Says since when and why a job waits; empty when it does not."""
    part = state.domains["placement"].parts.get(job.partition)
    if part is None or job.id not in part.queue.queued:
        return {}
    _, reason, rejected = part.logged.get(job.id, (0, "queued", ()))
    since = part.waiting.get(job.id, state.now)
    return {
        "waiting_ms": state.now - since,
        "priority": part.queue.queued[job.id],
        "reason": job.unrunnable or reason,
        "against": [f"{name}:{why}" for name, why in rejected],
    }
