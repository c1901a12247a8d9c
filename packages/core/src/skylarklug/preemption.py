"""Preemption for urgent tasks, and claims for tasks that have waited long.

A claim removes a worker from the index until the task of the claim fits on it
or the claim times out.
An urgent claim stops lower-priority tasks (the victims) at once. An aged claim
belongs to a task that has waited long; it waits for running tasks to finish,
so that a stream of small tasks cannot starve a large one.
"""

import collections

from skylarklug import attempts
from skylarklug import index
from skylarklug import tasks

# Evictions of one job within JOB_WINDOW_MS, so that evictions are spread over
# jobs.
EVICTIONS_PER_JOB = 5
JOB_WINDOW_MS = 3_600_000
# Evictions in one partition within PARTITION_WINDOW_MS; urgent tasks may exceed
# it, so that the budget does not delay them.
EVICTIONS_PER_PARTITION = 30
PARTITION_WINDOW_MS = 60_000
# A stop takes at most 2 s and is reported at the next exchange with the worker.
# An urgent task must start within 5.3 s, so there is time for a second worker.
URGENT_CLAIM_TIMEOUT_MS = 2_600
# Time for a worker to answer the stop of the victims before it is excluded.
STOP_ANSWER_TIMEOUT_MS = 500
# Waiting time after which a task may claim a worker.
AGED_AFTER_MS = 60_000
# Time after which an aged claim returns its worker to the index.
AGED_CLAIM_TIMEOUT_MS = 600_000
# Later than any time of the clock; means that the task will not fit.
NEVER_MS = 1 << 50


class EvictionBudget:
    """Sliding-window eviction budgets per job and per partition."""

    def __init__(self):
        self.by_job = {}
        self.by_partition = {}

    def allowed(self, task, now, urgent=False) -> bool:
        """Returns whether the budgets allow one more eviction of the task."""
        job = task.job
        times = _recent_times(self.by_job, job.id, now - JOB_WINDOW_MS)
        if len(times) >= EVICTIONS_PER_JOB:
            return False
        since = now - PARTITION_WINDOW_MS
        times = _recent_times(self.by_partition, job.partition, since)
        return urgent or len(times) < EVICTIONS_PER_PARTITION

    def record(self, task, now):
        """Counts an eviction."""
        job = task.job
        self.by_job.setdefault(job.id, collections.deque()).append(now)
        times = self.by_partition.setdefault(job.partition, collections.deque())
        times.append(now)


def _recent_times(times_by_name, name, since):
    """Removes the times up to `since` and returns the rest."""
    times = times_by_name.get(name)
    if times is None:
        return ()
    while times and times[0] <= since:
        times.popleft()
    if not times:
        del times_by_name[name]
    return times


class Claim:
    """A task that waits for capacity on one worker.

    `durable` is set once the attempt of an urgent claim is in the table.
    """

    __slots__ = ("task", "attempt", "urgent", "durable", "until")

    def __init__(self, task, urgent, until):
        self.task = task
        self.attempt = task.attempt + 1
        self.urgent = urgent
        self.durable = False
        self.until = until


def claim(state, effects, name, owned, task, level) -> bool:
    """Claims a worker for a task that fits on no worker.

    Returns:
        Whether an urgent claim has begun an attempt of the task.
    """
    if task.job.priority == index.URGENT_PRIORITY:
        return _claim_urgent(state, effects, owned, task)
    waited = state.now - owned.waiting.get(task.job.id, state.now)
    if waited >= AGED_AFTER_MS:
        _claim_aged(state, effects, name, owned, task)
    return False


def _candidates(state, owned, size):
    entries = owned.index.reclaimable
    first = entries.bisect_left((size.mcpus, ""))
    names = index.sample_candidates(entries, first, state.rng)
    return [owned.index.accounts[name] for name in names]


# ------------------------------------------------------------ urgent claims


def _claim_urgent(state, effects, owned, task):
    from skylarklug import lease
    from skylarklug import placement

    best, rejected = None, []
    for account in _candidates(state, owned, task.job.size):
        victims, cost = _victims(state, account, task)
        if victims is None:
            rejected.append((account.worker, "too little to preempt"))
            continue
        rejected.append((account.worker, f"lost={cost[0]}"))
        if best is None or cost < best[0]:
            best = (cost, account, victims)
    if best is None:
        return False
    cost, account, victims = best
    until = state.now + URGENT_CLAIM_TIMEOUT_MS
    pending_claim = Claim(task, True, until)
    _set_claim(state, account, pending_claim)
    evictions = state.domains["placement"].evictions
    for victim in victims:
        evictions.record(victim, state.now)
        lease.stop(state, effects, victim, f"preempted by {task.id}")

    def on_claim_committed(state, effects, durable):
        if account.claim is not pending_claim:
            return
        if not durable:
            _clear_claim(state, account)
            return
        pending_claim.durable = True
        serve_claim(state, effects, account)

    rejected = [entry for entry in rejected if entry[0] != account.worker]
    names = ",".join(victim.id for victim in victims)
    placement.commit(
        state,
        effects,
        account,
        task,
        f"preempts {names}",
        rejected,
        on_claim_committed,
    )
    return True


def _victims(state, account, task):
    """Returns the tasks to stop on a worker and the total cost of doing so.

    Costs compare by work lost, then priority, then earlier evictions. Both
    results are None if stopping all candidates would not free enough.
    """
    evictions = state.domains["placement"].evictions
    choices = []
    free = list(account.free)
    for resident in account.residents.values():
        other = resident.task
        if other.state == tasks.STOPPING:
            _add_size(free, resident)
            continue
        if other.job.priority >= task.job.priority:
            continue
        if other.job.kind == "service":
            continue
        if other.state not in (tasks.RUNNING, tasks.CHECKPOINTING):
            continue
        if evictions.allowed(other, state.now, urgent=True):
            choices.append((_cost(state, other), other.id, resident))
    choices.sort(key=lambda choice: choice[:2])
    size = task.job.size
    chosen = []
    for cost, _, resident in choices:
        if size.fits(free):
            break
        _add_size(free, resident)
        chosen.append((cost, resident))
    if not size.fits(free):
        return None, None
    # A cheap victim may be unnecessary after a larger one has been added.
    for entry in list(chosen):
        remaining = [
            r - g for r, g in zip(free, _resident_size(entry[1]), strict=True)
        ]
        if size.fits(remaining):
            free = remaining
            chosen.remove(entry)
    totals = [sum(cost[i] for cost, _ in chosen) for i in range(3)]
    return [resident.task for _, resident in chosen], tuple(totals)


def _resident_size(resident):
    accelerators = resident.task.job.size.accelerators
    return resident.mcpus, resident.memory_mb, accelerators


def _add_size(free, resident):
    for i, amount in enumerate(_resident_size(resident)):
        free[i] += amount


def _cost(state, task):
    """Returns work lost in core milliseconds, priority, earlier evictions."""
    ran_ms = state.now - task.state_since
    interval_ms = task.job.spec["checkpoint_ms"]
    lost_ms = min(ran_ms, interval_ms) if interval_ms else ran_ms
    cores = max(1, task.job.size.mcpus // 1000)
    return lost_ms * cores, task.job.priority, task.evictions


# --------------------------------------------------------------- aged claims


def _claim_aged(state, effects, name, owned, task):
    """Claims the worker where the task will fit soonest.

    A partition has at most one aged claim.
    """
    claims = state.domains["placement"].claims
    for account in claims.values():
        if account.partition == name and not account.claim.urgent:
            return
    best = None
    for account in _candidates(state, owned, task.job.size):
        fit_at = _earliest_fit(state, account, task.job.size)
        if fit_at < NEVER_MS and (best is None or fit_at < best[0]):
            best = (fit_at, account)
    if best is None:
        return
    until = state.now + AGED_CLAIM_TIMEOUT_MS
    _set_claim(state, best[1], Claim(task, False, until))
    tasks.log(
        effects, "claim", task=task.id, worker=best[1].worker,
        reason="waited too long", expected_ms=best[0] - state.now,
    )  # fmt: skip


def _earliest_fit(state, account, size):
    """Returns when the size will fit, by the declared run times of tasks."""
    ends = []
    for key, resident in account.residents.items():
        spec = resident.task.job.spec
        if spec["kind"] == "batch":
            end = resident.task.state_since + spec["run_time_ms"]
            ends.append((max(state.now, end), key, resident))
    free = list(account.free)
    for end, _, resident in sorted(ends, key=lambda entry: entry[:2]):
        _add_size(free, resident)
        if size.fits(free):
            return end
    return NEVER_MS


# ---------------------------------------------------------- claim lifecycle


def _set_claim(state, account, pending_claim):
    domain = state.domains["placement"]
    account.claim = pending_claim
    domain.claims[account.worker] = account
    domain.partitions[account.partition].index.update(account)


def _clear_claim(state, account):
    domain = state.domains["placement"]
    account.claim = None
    domain.claims.pop(account.worker, None)
    owned = domain.partitions.get(account.partition)
    if owned is not None and account.worker in owned.index.accounts:
        owned.index.update(account)
        owned.dirty = True
        owned.blocked.clear()


def serve_claim(state, effects, account):
    """Starts a claim's task if the capacity freed on its worker suffices."""
    from skylarklug import lease
    from skylarklug import placement

    pending_claim = account.claim
    if pending_claim is None:
        return
    task = pending_claim.task
    if not task.job.size.fits(account.free):
        return
    if not pending_claim.urgent:
        _clear_claim(state, account)
        next_task = attempts.next_pending(task.job)
        if next_task is not None and not account.excluded:
            if _may_start(state, effects, next_task):
                placement.commit(state, effects, account, next_task, "claim")
        return
    if not pending_claim.durable:
        return
    placement.reserve(state, account.worker, task, pending_claim.attempt)
    _clear_claim(state, account)
    lease.start(state, effects, account.worker, task)


def _may_start(state, effects, task) -> bool:
    """Returns whether quota and quarantine allow a start of the task."""
    from skylarklug import quarantine
    from skylarklug import quota

    job = task.job
    if job.cancelled or quarantine.blocks(state, job.id):
        return False
    return quota.admits(state, effects, job.partition, job.team, job.size)


def expire(state, effects):
    """Ends claims that timed out or whose worker is excluded."""
    from skylarklug import placement

    domain = state.domains["placement"]
    for account in list(domain.claims.values()):
        pending_claim = account.claim
        if pending_claim.urgent and _is_stop_unanswered(state, account.worker):
            placement.exclude(state, account.worker, "unreachable")
        if state.now < pending_claim.until and not account.excluded:
            serve_claim(state, effects, account)
            continue
        if pending_claim.urgent and not pending_claim.durable:
            continue
        _clear_claim(state, account)
        if pending_claim.urgent:
            reason = f"claim on {account.worker} ended"
            attempts.requeue(state, effects, pending_claim.task, reason)


def _is_stop_unanswered(state, worker):
    """Returns whether the worker is late to answer the stop of the victims.

    Waiting for the timeout of the exchange would leave too little time to
    claim a second worker. The worker's next answer makes it usable again.
    """
    from skylarklug import lease

    record = lease.worker_of(state, worker)
    if record is None or not record.in_flight:
        return False
    return state.now - record.sent_at > STOP_ANSWER_TIMEOUT_MS
