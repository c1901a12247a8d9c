"""Places pending tasks on the workers of the owned partitions."""

import collections
import heapq

from skylarklug import attempts
from skylarklug import events
from skylarklug import index
from skylarklug import jobs
from skylarklug import moves
from skylarklug import preemption
from skylarklug import queues
from skylarklug import tasks
from skylarklug import waits

# Limit of the tasks placed per round, which bounds the duration of a tick. The
# next tick places further tasks.
STARTS_PER_ROUND = 32
# Limit of the sizes tried for a team each time, for the same reason.
SIZES_PER_TEAM = 8
# Waiting time after which the priority of a job rises by one level.
AGING_MS = 300_000
# Advertised free capacity is ignored if it is older than this.
LOAD_MAX_AGE_MS = 10_000
# Interval at which nodes advertise their free capacity.
LOAD_INTERVAL_MS = 2_000
# Rejected candidates listed in the reason of a placement; the log lists all.
MAX_REJECTIONS_IN_REASON = 3
# Limit of the workers examined, and of the tasks stopped, per tick while
# workers are drained.
STOPS_PER_TICK = 4


class OwnedPartition:
    """Job queue and worker capacity of one owned partition.

    `blocked` contains the pairs of priority level and size that are not tried
    until capacity becomes free. `waiting` maps jobs to the time since which
    they wait.
    """

    def __init__(self):
        self.queue = queues.Queue()
        self.index = index.Index()
        self.dirty = True
        self.blocked = set()
        self.waiting = {}
        self.logged = {}


class PlacementState:
    """Worker accounts, job queues, and the load that other nodes advertise.

    `aging` holds the times at which the priority of waiting jobs rises, and
    `move_checks` those at which their move to another partition is considered.
    """

    def __init__(self):
        self.partitions: dict[str, OwnedPartition] = {}
        self.accounts: dict[str, index.Account] = {}
        self.load = {}
        self.aging = queues.Deadlines()
        self.move_checks = queues.Deadlines()
        self.draining = collections.deque()
        self.claims = {}
        self.evictions = preemption.EvictionBudget()
        self.drained = frozenset()
        self.next_load_at = 0


def new_state() -> PlacementState:
    """Returns the state of a node that owns no partition."""
    return PlacementState()


# ----------------------------------------------------------------- workers


def add_worker(state, vm, partition):
    """Creates the account of a worker, excluded until it is available."""
    domain = state.domains["placement"]
    owned = domain.partitions.get(partition)
    if owned is None or vm.vm in domain.accounts:
        return
    account = index.Account(
        vm.vm, partition, vm.rack, tasks.size_of(vm._asdict())
    )
    domain.accounts[vm.vm] = account
    owned.index.add(account)
    if vm.vm in domain.drained:
        exclude(state, vm.vm, "drained")
    owned.dirty = True
    owned.blocked.clear()


def remove_worker(state, worker):
    """Deletes the account of a worker that the platform has removed."""
    domain = state.domains["placement"]
    domain.claims.pop(worker, None)
    account = domain.accounts.pop(worker, None)
    if account is not None and account.partition in domain.partitions:
        domain.partitions[account.partition].index.remove(account)


def exclude(state, worker, reason):
    """Excludes a worker from placement while any reason is set."""
    domain = state.domains["placement"]
    account = domain.accounts.get(worker)
    if account is None or reason in account.excluded:
        return
    account.excluded[reason] = state.now
    domain.partitions[account.partition].index.update(account)
    if reason in ("drained", "leaving"):
        domain.draining.append((worker, reason))


def clear_exclusion(state, worker, reason):
    """Removes one reason for the exclusion of a worker."""
    domain = state.domains["placement"]
    account = domain.accounts.get(worker)
    if account is None or reason not in account.excluded:
        return
    del account.excluded[reason]
    owned = domain.partitions[account.partition]
    owned.index.update(account)
    _mark_capacity_freed(owned)


def account_of(state, worker):
    """Returns the `Account` of a worker, or None."""
    return state.domains["placement"].accounts.get(worker)


def reserve(state, worker, task, attempt):
    """Reserves capacity for an attempt until `release` is called."""
    from skylarklug import quota

    domain = state.domains["placement"]
    account = domain.accounts.get(worker)
    if account is None or (task.id, attempt) in account.residents:
        return
    account.reserve(task, attempt)
    domain.partitions[account.partition].index.update(account)
    quota.charge(state, account.partition, task.job.team, task.job.size, 1)


def release(state, effects, worker, task_id, attempt):
    """Releases the capacity of an attempt that has certainly ended."""
    from skylarklug import quota

    domain = state.domains["placement"]
    account = domain.accounts.get(worker)
    if account is None:
        return
    resident = account.release(task_id, attempt)
    if resident is None:
        return
    owned = domain.partitions[account.partition]
    owned.index.update(account)
    job = resident.task.job
    quota.charge(state, account.partition, job.team, job.size, -1)
    _mark_capacity_freed(owned)
    preemption.serve_claim(state, effects, account)


def observe(state, worker, usage):
    """Applies measured use: a reservation is max(declared, observed)."""
    domain = state.domains["placement"]
    account = domain.accounts.get(worker)
    if account is not None and account.observe(usage):
        domain.partitions[account.partition].index.update(account)


def _mark_capacity_freed(owned):
    owned.dirty = True
    owned.blocked.clear()


def totals(state, partition):
    """Returns the capacity of all workers of an owned partition."""
    owned = state.domains["placement"].partitions.get(partition)
    return owned.index.totals if owned else (0, 0, 0)


def workers_of(state, partition) -> list:
    """Returns the names of the workers of an owned partition."""
    owned = state.domains["placement"].partitions.get(partition)
    return list(owned.index.accounts) if owned else []


# ------------------------------------------------------------------- queue


def request_round(state, partition):
    """Schedules a placement round for the next tick."""
    owned = state.domains["placement"].partitions.get(partition)
    if owned is not None:
        owned.dirty = True


def retry(state, partition, job_id):
    """Queues a job again after it was removed from the queue."""
    job = jobs.find_job(state, partition, job_id)
    if job is not None:
        enqueue(state, job)


def enqueue(state, job, front=False):
    """Queues a job that has pending tasks."""
    domain = state.domains["placement"]
    owned = domain.partitions.get(job.partition)
    if owned is None or job.cancelled:
        return
    if not job.never_started and not job.requeued:
        return
    owned.queue.add(job, job.priority, front)
    owned.waiting.setdefault(job.id, state.now)
    domain.move_checks.add(
        state.now + moves.MOVE_AFTER_MS, job.partition, job.id
    )
    if job.priority < queues.PRIORITY_LEVELS - 2:
        domain.aging.add(state.now + AGING_MS, job.partition, job.id)
    owned.dirty = True


def _schedule(state, effects, name, owned):
    """Places pending tasks, highest priority first, for one round."""
    owned.dirty = False
    budget = STARTS_PER_ROUND
    for level in range(queues.PRIORITY_LEVELS - 1, -1, -1):
        if owned.queue.levels[level]:
            budget -= _place_level(state, effects, name, owned, level, budget)
        if budget <= 0:
            owned.dirty = True
            return


def _place_level(state, effects, name, owned, level, budget):
    """Places tasks of one priority level by fair share between teams."""
    from skylarklug import quota

    teams = owned.queue.levels[level]
    if _all_blocked(owned, level):
        return 0
    heap = quota.shares(state, name, teams)
    heapq.heapify(heap)
    placed = 0
    while heap and placed < budget:
        _, team = heapq.heappop(heap)
        if _place_team(state, effects, name, owned, teams, team, level):
            placed += 1
            if team in teams:
                heapq.heappush(heap, quota.shares(state, name, (team,))[0])
        elif _all_blocked(owned, level):
            break
    return placed


def _all_blocked(owned, level):
    """Returns whether every size of the level waits for free capacity."""
    return all(
        (level, size) in owned.blocked for size in owned.queue.sizes[level]
    )


def _place_team(state, effects, name, owned, teams, team, level):
    """Places one task of the team; returns whether one was placed."""
    from skylarklug import quarantine
    from skylarklug import quota

    sizes = teams.get(team, {})
    for size in list(sizes)[:SIZES_PER_TEAM]:
        if (level, size) in owned.blocked:
            continue
        while sizes.get(size):
            job = sizes[size][0]
            task = attempts.next_pending(job)
            if task is None or quarantine.blocks(state, job.id):
                owned.queue.remove(job)
                owned.waiting.pop(job.id, None)
                continue
            if not quota.admits(state, effects, name, team, size):
                waits.record(state, effects, owned, job, "quota", ())
                return False
            if _place_task(state, effects, name, owned, task, level):
                return True
            sizes[size].rotate(-1)
            # Moves the size to the end, so that all sizes are tried in turn
            # even if the team has more than SIZES_PER_TEAM.
            sizes[size] = sizes.pop(size)
            owned.blocked.add((level, size))
            break
    return False


def _place_task(state, effects, name, owned, task, level):
    job = task.job
    if not owned.index.could_ever_fit(job.size):
        waits.mark_unrunnable(state, effects, name, owned, job)
        return False
    job.unrunnable = ""
    chosen, rejected = None, ()
    if owned.index.may_fit(job.size):
        chosen, rejected = index.choose(state, owned.index, task)
    if chosen is not None:
        commit(state, effects, chosen, task, "best-fit", rejected)
        return True
    waits.record(state, effects, owned, job, "no-room", rejected)
    return preemption.claim(state, effects, name, owned, task, level)


def commit(
    state, effects, account, task, reason, rejected=(), on_claim_committed=None
):
    """Reserves capacity for the task and commits the start of its attempt.

    A claim on capacity that is not free yet passes `on_claim_committed`. It
    makes the reservation itself once the preempted attempts have ended.
    """
    from skylarklug import lease
    from skylarklug import quarantine

    worker, free = account.worker, account.free
    attempt = task.attempt + 1
    if on_claim_committed is None:
        reserve(state, worker, task, attempt)
    owned = state.domains["placement"].partitions[account.partition]
    owned.waiting.pop(task.job.id, None)

    def on_committed(state, effects, durable):
        if on_claim_committed is not None:
            on_claim_committed(state, effects, durable)
        elif durable:
            lease.start(state, effects, worker, task)
        else:
            release(state, effects, worker, task.id, attempt)

    rejections = [f"{name}:{why}" for name, why in rejected]
    why = f"placed on {worker}: {reason}"
    if rejections:
        why += f", against {', '.join(rejections[:MAX_REJECTIONS_IN_REASON])}"
    attempts.start(state, effects, task, worker, on_committed, why)
    quarantine.record_start(state, task.job.id, worker)
    if attempts.next_pending(task.job) is not None:
        owned.waiting[task.job.id] = state.now
    tasks.log(
        effects, "place", task=task.id, attempt=attempt, worker=worker,
        reason=reason, free=free, size=task.job.size,
        against=" ".join(rejections),
    )  # fmt: skip


# -------------------------------------------------------------------- load


def free_capacity(state) -> dict:
    """Returns the free capacity of the owned partitions for `load` messages."""
    partitions = state.domains["placement"].partitions
    return {
        name: owned.index.free_capacity() for name, owned in partitions.items()
    }


def _advertise_load(state, effects):
    """Sends the free capacity of the owned partitions to linked nodes."""
    from skylarklug import membership

    domain = state.domains["placement"]
    if state.now < domain.next_load_at:
        return
    domain.next_load_at = state.now + LOAD_INTERVAL_MS
    fields = {"partitions": free_capacity(state)}
    for node in membership.linked_nodes(state):
        membership.send(state, effects, node, "load", fields)


def advertised_capacity(state, partition):
    """Returns the free capacity last advertised for a partition, or None."""
    domain = state.domains["placement"]
    if partition in domain.partitions:
        return domain.partitions[partition].index.free_capacity()
    at, capacity = domain.load.get(partition, (0, None))
    if capacity is None or state.now - at > LOAD_MAX_AGE_MS:
        return None
    return capacity


def _on_peer_message(state, event, effects):
    if event.body.get("kind") != "load":
        return
    load = state.domains["placement"].load
    for name, capacity in event.body.get("partitions", {}).items():
        load[name] = (state.now, capacity)


# ---------------------------------------------------------------- handlers


def open_partition(state, partition):
    """Creates the empty queue of a partition that this node has acquired."""
    from skylarklug import configuration

    domain = state.domains["placement"]
    close_partition(state, partition)
    domain.partitions[partition] = OwnedPartition()
    document = configuration.current(state) or {}
    domain.drained = frozenset(document.get("drained", ()))


def close_partition(state, partition):
    """Deletes the queue and the accounts of a partition."""
    domain = state.domains["placement"]
    domain.partitions.pop(partition, None)
    for worker, account in list(domain.accounts.items()):
        if account.partition == partition:
            del domain.accounts[worker]
            domain.claims.pop(worker, None)


def _on_config(state, event, effects):
    domain = state.domains["placement"]
    drained = frozenset(event.document.get("drained", ()))
    for worker in sorted(drained - domain.drained):
        exclude(state, worker, "drained")
    for worker in sorted(domain.drained - drained):
        clear_exclusion(state, worker, "drained")
    domain.drained = drained


def _on_leaving(state, event, effects):
    exclude(state, event.worker, "leaving")


def _on_tick(state, event, effects):
    domain = state.domains["placement"]
    if not domain.partitions:
        return
    from skylarklug import ownership

    if ownership.mode(state) != "held":
        return
    _advertise_load(state, effects)
    _drain_workers(state, effects)
    preemption.expire(state, effects)
    _raise_aged_priorities(state)
    for name, owned in list(domain.partitions.items()):
        if owned.dirty and jobs.loaded(state, name):
            _schedule(state, effects, name, owned)
    moves.move_waiting(state, effects)


def _drain_workers(state, effects):
    """Stops a few tasks per tick on drained and leaving workers."""
    from skylarklug import lease

    domain = state.domains["placement"]
    budget = STOPS_PER_TICK
    for _ in range(min(len(domain.draining), STOPS_PER_TICK)):
        worker, reason = domain.draining.popleft()
        account = domain.accounts.get(worker)
        if account is None or reason not in account.excluded:
            continue
        for resident in list(account.residents.values()):
            if budget and lease.stop(state, effects, resident.task, reason):
                budget -= 1
        if account.residents:
            domain.draining.append((worker, reason))


def _raise_aged_priorities(state):
    """Raises the priority of jobs that have waited, but never to urgent."""
    domain = state.domains["placement"]
    for name, job_id in domain.aging.due(state.now):
        owned = domain.partitions.get(name)
        if owned is None or job_id not in owned.queue.queued:
            continue
        job = jobs.find_job(state, name, job_id)
        level = owned.queue.queued[job_id]
        if job is None or level >= queues.PRIORITY_LEVELS - 2:
            continue
        due = owned.waiting.get(job_id, state.now) + AGING_MS
        if due <= state.now:
            owned.queue.add(job, level + 1)
            owned.dirty = True
            due = state.now + AGING_MS
        domain.aging.add(due, name, job_id)


HANDLERS = {
    events.ConfigApplied: _on_config,
    events.WorkerLeaving: _on_leaving,
    events.Tick: _on_tick,
    events.PeerMessage: _on_peer_message,
}
