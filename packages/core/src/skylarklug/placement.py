"""Placement of pending tasks on the workers of the owned partitions."""

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

STARTS_PER_ROUND = 32
SHAPES_PER_TEAM = 8
AGING_MS = 300_000
LOAD_MAX_AGE_MS = 10_000
LOAD_INTERVAL_MS = 2_000
# Rejected candidates named in the recorded reason; the log names them all.
REASONS_KEPT = 3
MOVES_PER_TICK = 4


class Part:
    """Queue and capacity of one owned partition."""

    def __init__(self):
        self.queue = queues.Queue()
        self.index = index.Index()
        self.dirty = True
        self.blocked = set()
        self.waiting = {}
        self.logged = {}


class PlacementState:
    """Accounts of the workers, queues, and the load others advertise."""

    def __init__(self):
        self.parts: dict[str, Part] = {}
        self.accounts: dict[str, index.Account] = {}
        self.load = {}
        self.aging = queues.Deadlines()
        self.offers = queues.Deadlines()
        self.moving = collections.deque()
        self.claims = {}
        self.evictions = preemption.EvictionBudget()
        self.drained = frozenset()
        self.next_load = 0


def new_state() -> PlacementState:
    """Returns the state of a node that owns nothing."""
    return PlacementState()


# ----------------------------------------------------------------- workers


def add_worker(state, vm, partition):
    """Opens the account of a worker; it gets nothing until available."""
    mine = state.domains["placement"]
    part = mine.parts.get(partition)
    if part is None or vm.vm in mine.accounts:
        return
    account = index.Account(
        vm.vm, partition, vm.rack, tasks.size_of(vm._asdict())
    )
    mine.accounts[vm.vm] = account
    part.index.add(account)
    if vm.vm in mine.drained:
        exclude(state, vm.vm, "drained")
    part.dirty = True
    part.blocked.clear()


def drop_worker(state, worker):
    """Closes the account of a worker that the platform has removed."""
    mine = state.domains["placement"]
    mine.claims.pop(worker, None)
    account = mine.accounts.pop(worker, None)
    if account is not None and account.partition in mine.parts:
        mine.parts[account.partition].index.drop(account)


def exclude(state, worker, reason):
    """Gives the worker no new task while any reason is set."""
    mine = state.domains["placement"]
    account = mine.accounts.get(worker)
    if account is None or reason in account.excluded:
        return
    account.excluded[reason] = state.now
    mine.parts[account.partition].index.update(account)
    if reason in ("drained", "leaving"):
        mine.moving.append((worker, reason))


def include(state, worker, reason):
    """Removes a reason set by `exclude`."""
    mine = state.domains["placement"]
    account = mine.accounts.get(worker)
    if account is None or reason not in account.excluded:
        return
    del account.excluded[reason]
    part = mine.parts[account.partition]
    part.index.update(account)
    _freed(part)


def account_of(state, worker):
    """Returns the `Account` of a worker, or None."""
    return state.domains["placement"].accounts.get(worker)


def reserve(state, worker, task, attempt):
    """Commits capacity to an attempt until `release`."""
    from skylarklug import quota

    mine = state.domains["placement"]
    account = mine.accounts.get(worker)
    if account is None or (task.id, attempt) in account.residents:
        return
    account.reserve(task, attempt)
    mine.parts[account.partition].index.update(account)
    quota.charge(state, account.partition, task.job.team, task.job.size, 1)


def release(state, effects, worker, task_id, attempt):
    """Gives the capacity of an attempt back: its end is proved."""
    from skylarklug import quota

    mine = state.domains["placement"]
    account = mine.accounts.get(worker)
    if account is None:
        return
    resident = account.release(task_id, attempt)
    if resident is None:
        return
    part = mine.parts[account.partition]
    part.index.update(account)
    job = resident.task.job
    quota.charge(state, account.partition, job.team, job.size, -1)
    _freed(part)
    preemption.serve_claim(state, effects, account)


def observe(state, worker, usage):
    """Takes measured use; the commitment is max(declared, observed)."""
    mine = state.domains["placement"]
    account = mine.accounts.get(worker)
    if account is not None and account.observe(usage):
        mine.parts[account.partition].index.update(account)


def _freed(part):
    part.dirty = True
    part.blocked.clear()


def totals(state, partition):
    """Returns the capacity of all workers of an owned partition."""
    part = state.domains["placement"].parts.get(partition)
    return part.index.totals if part else (0, 0, 0)


def workers_of(state, partition) -> list:
    """Returns the names of the workers of an owned partition."""
    part = state.domains["placement"].parts.get(partition)
    return list(part.index.accounts) if part else []


# ------------------------------------------------------------------- queue


def request_round(state, partition):
    """Looks at the queue again at the next tick."""
    part = state.domains["placement"].parts.get(partition)
    if part is not None:
        part.dirty = True


def retry(state, partition, job_id):
    """Queues a job again that was held back."""
    job = jobs.find_job(state, partition, job_id)
    if job is not None:
        enqueue(state, job)


def enqueue(state, job, front=False):
    """Queues a job that has pending tasks."""
    mine = state.domains["placement"]
    part = mine.parts.get(job.partition)
    if part is None or job.cancelled:
        return
    if not job.never_started and not job.requeued:
        return
    part.queue.add(job, job.priority, front)
    part.waiting.setdefault(job.id, state.now)
    mine.offers.add(state.now + moves.MOVE_AFTER_MS, job.partition, job.id)
    if job.priority < queues.PRIORITY_LEVELS - 2:
        mine.aging.add(state.now + AGING_MS, job.partition, job.id)
    part.dirty = True


def _schedule(state, effects, name, part):
    """Places pending tasks, highest priority first, for one round."""
    part.dirty = False
    budget = STARTS_PER_ROUND
    for level in range(queues.PRIORITY_LEVELS - 1, -1, -1):
        if part.queue.levels[level]:
            budget -= _place_level(state, effects, name, part, level, budget)
        if budget <= 0:
            part.dirty = True
            return


def _place_level(state, effects, name, part, level, budget):
    """Assigns capacity between the teams of one priority by fair share."""
    from skylarklug import quota

    teams = part.queue.levels[level]
    if _all_blocked(part, level):
        return 0
    heap = quota.shares(state, name, teams)
    heapq.heapify(heap)
    placed = 0
    while heap and placed < budget:
        _, team = heapq.heappop(heap)
        if _place_team(state, effects, name, part, teams, team, level):
            placed += 1
            if team in teams:
                heapq.heappush(heap, quota.shares(state, name, (team,))[0])
        elif _all_blocked(part, level):
            break
    return placed


def _all_blocked(part, level):
    """Says whether no size of the level fits until capacity is freed."""
    return all(
        (level, size) in part.blocked for size in part.queue.sizes[level]
    )


def _place_team(state, effects, name, part, teams, team, level):
    """Places one task of the team; says whether it could."""
    from skylarklug import quarantine
    from skylarklug import quota

    sizes = teams.get(team, {})
    for size in list(sizes)[:SHAPES_PER_TEAM]:
        if (level, size) in part.blocked:
            continue
        while sizes.get(size):
            job = sizes[size][0]
            task = attempts.next_pending(job)
            if task is None or quarantine.blocks(state, job.id):
                part.queue.remove(job)
                part.waiting.pop(job.id, None)
                continue
            if not quota.admits(state, effects, name, team, size):
                waits.record(state, effects, part, job, "quota", ())
                return False
            if _place_task(state, effects, name, part, task, level):
                return True
            sizes[size].rotate(-1)
            # The sizes take turns at the head, so that more sizes than
            # one round checks cannot hide the last ones for ever.
            sizes[size] = sizes.pop(size)
            part.blocked.add((level, size))
            break
    return False


def _place_task(state, effects, name, part, task, level):
    job = task.job
    if not part.index.could_ever_fit(job.size):
        waits.mark_unrunnable(state, effects, name, part, job)
        return False
    job.unrunnable = ""
    chosen, rejected = None, ()
    if part.index.may_fit(job.size):
        chosen, rejected = index.choose(state, part.index, task)
    if chosen is not None:
        commit(state, effects, chosen, task, "best-fit", rejected)
        return True
    waits.record(state, effects, part, job, "no-room", rejected)
    return preemption.claim(state, effects, name, part, task, level)


def commit(state, effects, account, task, reason, rejected=(), wait=None):
    """Reserves the worker for the task and makes the attempt durable.

    With `wait`, a claim on capacity that is not free yet, the reservation
    is made by the claim once the stops it waits for are proved.
    """
    from skylarklug import lease
    from skylarklug import quarantine

    worker, free = account.worker, account.free
    attempt = task.attempt + 1
    if wait is None:
        reserve(state, worker, task, attempt)
    part = state.domains["placement"].parts[account.partition]
    part.waiting.pop(task.job.id, None)

    def started(state, effects, durable):
        if wait is not None:
            wait(state, effects, durable)
        elif durable:
            lease.start(state, effects, worker, task)
        else:
            release(state, effects, worker, task.id, attempt)

    against = [f"{name}:{why}" for name, why in rejected]
    why = f"placed on {worker}: {reason}"
    if against:
        why += f", against {', '.join(against[:REASONS_KEPT])}"
    attempts.start(state, effects, task, worker, started, why)
    quarantine.record_start(state, task.job.id, worker)
    if attempts.next_pending(task.job) is not None:
        part.waiting[task.job.id] = state.now
    tasks.log(
        effects, "place", task=task.id, attempt=attempt, worker=worker,
        reason=reason, free=free, size=task.job.size,
        against=" ".join(against),
    )  # fmt: skip


# -------------------------------------------------------------------- load


def free_capacity(state) -> dict:
    """Returns the free capacity per owned partition for `load` messages."""
    parts = state.domains["placement"].parts
    return {name: part.index.free_capacity() for name, part in parts.items()}


def _advertise(state, effects):
    """Tells the linked nodes how much room the owned partitions have."""
    from skylarklug import membership

    mine = state.domains["placement"]
    if state.now < mine.next_load:
        return
    mine.next_load = state.now + LOAD_INTERVAL_MS
    fields = {"partitions": free_capacity(state)}
    for node in membership.linked_nodes(state):
        membership.send(state, effects, node, "load", fields)


def advertised(state, partition):
    """Returns the free capacity last advertised for a partition, or None."""
    mine = state.domains["placement"]
    if partition in mine.parts:
        return mine.parts[partition].index.free_capacity()
    at, room = mine.load.get(partition, (0, None))
    if room is None or state.now - at > LOAD_MAX_AGE_MS:
        return None
    return room


def _on_peer_message(state, event, effects):
    if event.body.get("kind") != "load":
        return
    load = state.domains["placement"].load
    for name, room in event.body.get("partitions", {}).items():
        load[name] = (state.now, room)


# ---------------------------------------------------------------- handlers


def open_partition(state, partition):
    """Starts with an empty queue and no workers for the partition."""
    from skylarklug import configuration

    mine = state.domains["placement"]
    close_partition(state, partition)
    mine.parts[partition] = Part()
    document = configuration.current(state) or {}
    mine.drained = frozenset(document.get("drained", ()))


def close_partition(state, partition):
    """Forgets the queue and the accounts of the partition."""
    mine = state.domains["placement"]
    mine.parts.pop(partition, None)
    for worker, account in list(mine.accounts.items()):
        if account.partition == partition:
            del mine.accounts[worker]
            mine.claims.pop(worker, None)


def _on_config(state, event, effects):
    mine = state.domains["placement"]
    drained = frozenset(event.document.get("drained", ()))
    for worker in sorted(drained - mine.drained):
        exclude(state, worker, "drained")
    for worker in sorted(mine.drained - drained):
        include(state, worker, "drained")
    mine.drained = drained


def _on_leaving(state, event, effects):
    exclude(state, event.worker, "leaving")


def _on_tick(state, event, effects):
    mine = state.domains["placement"]
    if not mine.parts:
        return
    from skylarklug import ownership

    if ownership.mode(state) != "held":
        return
    _advertise(state, effects)
    _move_residents(state, effects)
    preemption.expire(state, effects)
    _age(state)
    for name, part in list(mine.parts.items()):
        if part.dirty and jobs.loaded(state, name):
            _schedule(state, effects, name, part)
    moves.move_waiting(state, effects)


def _move_residents(state, effects):
    """Moves tasks off drained and leaving workers, a few on each tick."""
    from skylarklug import lease

    mine = state.domains["placement"]
    budget = MOVES_PER_TICK
    for _ in range(min(len(mine.moving), MOVES_PER_TICK)):
        worker, reason = mine.moving.popleft()
        account = mine.accounts.get(worker)
        if account is None or reason not in account.excluded:
            continue
        for resident in list(account.residents.values()):
            if budget and lease.stop(state, effects, resident.task, reason):
                budget -= 1
        if account.residents:
            mine.moving.append((worker, reason))


def _age(state):
    """Raises the level of jobs that wait, up to the one below urgent."""
    mine = state.domains["placement"]
    for name, job_id in mine.aging.due(state.now):
        part = mine.parts.get(name)
        if part is None or job_id not in part.queue.queued:
            continue
        job = jobs.find_job(state, name, job_id)
        level = part.queue.queued[job_id]
        if job is None or level >= queues.PRIORITY_LEVELS - 2:
            continue
        due = part.waiting.get(job_id, state.now) + AGING_MS
        if due <= state.now:
            part.queue.add(job, level + 1)
            part.dirty = True
            due = state.now + AGING_MS
        mine.aging.add(due, name, job_id)


HANDLERS = {
    events.ConfigApplied: _on_config,
    events.WorkerLeaving: _on_leaving,
    events.Tick: _on_tick,
    events.PeerMessage: _on_peer_message,
}
