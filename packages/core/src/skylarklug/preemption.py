"""Capacity for urgent tasks and for tasks that have waited long.

A claim takes a worker out of the index until its task fits. An urgent claim
stops victims at once. The claim of a task that has waited long waits for
tasks that end by themselves, so that a stream of small tasks cannot starve a
large one.
"""

import collections

from skylarklug import attempts
from skylarklug import index
from skylarklug import tasks

EVICTIONS_PER_JOB = 5
JOB_WINDOW_MS = 3_600_000
EVICTIONS_PER_PARTITION = 30
PARTITION_WINDOW_MS = 60_000
# A stop takes at most 2 s and is seen at the next poll of the worker; an
# urgent task must start within 5.3 s, which leaves time for a second worker.
URGENT_CLAIM_MS = 2_600
SILENT_MS = 500
AGED_AFTER_MS = 60_000
AGED_CLAIM_MS = 600_000
NEVER_MS = 1 << 50


class EvictionBudget:
    """Recent evictions, for the budgets of a job and of a partition."""

    def __init__(self):
        self.by_job = {}
        self.by_partition = {}

    def allowed(self, task, now, urgent=False) -> bool:
        """Says whether the budgets allow one more eviction of the task."""
        job = task.job
        times = _recent(self.by_job, job.id, now - JOB_WINDOW_MS)
        if len(times) >= EVICTIONS_PER_JOB:
            return False
        since = now - PARTITION_WINDOW_MS
        times = _recent(self.by_partition, job.partition, since)
        return urgent or len(times) < EVICTIONS_PER_PARTITION

    def record(self, task, now):
        """Counts an eviction."""
        job = task.job
        self.by_job.setdefault(job.id, collections.deque()).append(now)
        times = self.by_partition.setdefault(job.partition, collections.deque())
        times.append(now)


def _recent(times_by_name, name, since):
    times = times_by_name.get(name)
    if times is None:
        return ()
    while times and times[0] <= since:
        times.popleft()
    if not times:
        del times_by_name[name]
    return times


class Claim:
    """A task that waits for capacity on one worker."""

    __slots__ = ("task", "attempt", "urgent", "durable", "until")

    def __init__(self, task, urgent, until):
        self.task = task
        self.attempt = task.attempt + 1
        self.urgent = urgent
        self.durable = False
        self.until = until


def claim(state, effects, name, part, task, level) -> bool:
    """Claims a worker for a task that fits nowhere.

    Returns:
        Whether the attempt has been begun (an urgent claim).
    """
    if task.job.priority == index.URGENT_PRIORITY:
        return _claim_urgent(state, effects, part, task)
    waited = state.now - part.waiting.get(task.job.id, state.now)
    if waited >= AGED_AFTER_MS:
        _claim_aged(state, effects, name, part, task)
    return False


def _candidates(state, part, size):
    reach = part.index.reclaimable
    first = reach.bisect_left((size.mcpus, ""))
    names = index.sample_candidates(reach, first, state.rng)
    return [part.index.accounts[name] for name in names]


# ------------------------------------------------------------------- urgent


def _claim_urgent(state, effects, part, task):
    from skylarklug import lease
    from skylarklug import placement

    best, rejected = None, []
    for account in _candidates(state, part, task.job.size):
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
    until = state.now + URGENT_CLAIM_MS
    waiting = Claim(task, True, until)
    _take(state, account, waiting)
    evictions = state.domains["placement"].evictions
    for victim in victims:
        evictions.record(victim, state.now)
        lease.stop(state, effects, victim, f"preempted by {task.id}")

    def durable(state, effects, committed):
        if account.claim is not waiting:
            return
        if not committed:
            _drop(state, account)
            return
        waiting.durable = True
        serve_claim(state, effects, account)

    rejected = [entry for entry in rejected if entry[0] != account.worker]
    names = ",".join(victim.id for victim in victims)
    placement.commit(
        state, effects, account, task, f"preempts {names}", rejected, durable
    )
    return True


def _victims(state, account, task):
    """Chooses the tasks to stop on a worker, and the cost of that.

    The cost orders by work lost, then priority, then evictions suffered.
    """
    evictions = state.domains["placement"].evictions
    choices = []
    room = list(account.free)
    for resident in account.residents.values():
        other = resident.task
        if other.state == tasks.STOPPING:
            _give(room, resident)
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
        if size.fits(room):
            break
        _give(room, resident)
        chosen.append((cost, resident))
    if not size.fits(room):
        return None, None
    # A cheap victim may be needless once a larger one has been added.
    for entry in list(chosen):
        left = [r - g for r, g in zip(room, _held(entry[1]), strict=True)]
        if size.fits(left):
            room = left
            chosen.remove(entry)
    totals = [sum(cost[i] for cost, _ in chosen) for i in range(3)]
    return [resident.task for _, resident in chosen], tuple(totals)


def _held(resident):
    accelerators = resident.task.job.size.accelerators
    return resident.mcpus, resident.memory_mb, accelerators


def _give(room, resident):
    for i, amount in enumerate(_held(resident)):
        room[i] += amount


def _cost(state, task):
    """Work lost in core milliseconds, priority, evictions suffered."""
    ran = state.now - task.since
    every = task.job.spec["checkpoint_ms"]
    lost = min(ran, every) if every else ran
    cores = max(1, task.job.size.mcpus // 1000)
    return lost * cores, task.job.priority, task.evictions


# ---------------------------------------------------------------------- aged


def _claim_aged(state, effects, name, part, task):
    """Keeps the worker that is free soonest for a task that waits long."""
    claims = state.domains["placement"].claims
    for account in claims.values():
        if account.partition == name and not account.claim.urgent:
            return
    best = None
    for account in _candidates(state, part, task.job.size):
        at = _fits_at(state, account, task.job.size)
        if at < NEVER_MS and (best is None or at < best[0]):
            best = (at, account)
    if best is None:
        return
    until = state.now + AGED_CLAIM_MS
    _take(state, best[1], Claim(task, False, until))
    tasks.log(
        effects, "claim", task=task.id, worker=best[1].worker,
        reason="waited too long", expected_ms=best[0] - state.now,
    )  # fmt: skip


def _fits_at(state, account, size):
    """Time at which enough declared run times will have passed."""
    ends = []
    for key, resident in account.residents.items():
        spec = resident.task.job.spec
        if spec["kind"] == "batch":
            end = resident.task.since + spec["run_time_ms"]
            ends.append((max(state.now, end), key, resident))
    room = list(account.free)
    for end, _, resident in sorted(ends, key=lambda entry: entry[:2]):
        _give(room, resident)
        if size.fits(room):
            return end
    return NEVER_MS


# ------------------------------------------------------------------- claims


def _take(state, account, waiting):
    mine = state.domains["placement"]
    account.claim = waiting
    mine.claims[account.worker] = account
    mine.parts[account.partition].index.update(account)


def _drop(state, account):
    mine = state.domains["placement"]
    account.claim = None
    mine.claims.pop(account.worker, None)
    part = mine.parts.get(account.partition)
    if part is not None and account.worker in part.index.accounts:
        part.index.update(account)
        part.dirty = True
        part.blocked.clear()


def serve_claim(state, effects, account):
    """Gives capacity that was freed to the claim on the worker."""
    from skylarklug import lease
    from skylarklug import placement

    waiting = account.claim
    if waiting is None:
        return
    task = waiting.task
    if not task.job.size.fits(account.free):
        return
    if not waiting.urgent:
        _drop(state, account)
        following = attempts.next_pending(task.job)
        if following is not None and not account.excluded:
            if _may_start(state, effects, following):
                placement.commit(state, effects, account, following, "claim")
        return
    if not waiting.durable:
        return
    placement.reserve(state, account.worker, task, waiting.attempt)
    _drop(state, account)
    lease.start(state, effects, account.worker, task)


def _may_start(state, effects, task) -> bool:
    """Says whether quota and quarantine allow a start of the task."""
    from skylarklug import quarantine
    from skylarklug import quota

    job = task.job
    if job.cancelled or quarantine.blocks(state, job.id):
        return False
    return quota.admits(state, effects, job.partition, job.team, job.size)


def expire(state, effects):
    """Ends claims that took too long or whose worker is not usable."""
    from skylarklug import placement

    mine = state.domains["placement"]
    for account in list(mine.claims.values()):
        waiting = account.claim
        if waiting.urgent and _is_silent(state, account.worker):
            placement.exclude(state, account.worker, "unreachable")
        if state.now < waiting.until and not account.excluded:
            serve_claim(state, effects, account)
            continue
        if waiting.urgent and not waiting.durable:
            continue
        _drop(state, account)
        if waiting.urgent:
            reason = f"claim on {account.worker} ended"
            attempts.requeue(state, effects, waiting.task, reason)


def _is_silent(state, worker):
    """Says whether the worker has not answered the stop of the victims.

    Waiting for the timeout of the exchange would leave too little time for
    a second worker. The next answer makes the worker usable again.
    """
    from skylarklug import lease

    record = lease.worker_of(state, worker)
    if record is None or not record.in_flight:
        return False
    return state.now - record.sent_at > SILENT_MS
