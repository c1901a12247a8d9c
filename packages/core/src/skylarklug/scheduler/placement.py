"""Where waiting tasks start."""

from skylarklug.scheduler import advice
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import preemption
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# Passes are at least this far apart, so that a burst shares one.
PASS_INTERVAL_MS = 20
# Share of their processor that tasks which claim it use on average; the rest
# is offered to filling tasks.
CLAIMED_USE = 0.55
# Short tasks that claim processor earn several times what lasting ones earn
# for the same processor, and come in groups. Lasting tasks leave this many
# times their usual demand to them on each worker, up to a share of it.
SHORT_RESERVE = 1.3
MAX_SHORT_RESERVE = 0.2
# A smaller reserve has no room for a task.
MIN_SHORT_RESERVE = 0.02
# The usual demand is an average over about this time.
SHORT_MEMORY_MS = 8_000
# A lasting task may be without a run for three seconds while there is room.
LASTING_WAIT_MS = 2_000
# A job of which nothing runs starts a task after this time wherever it
# disturbs least, while less than this share of the processors is claimed.
STARVED_MS = 1_200
IDLE_USE = 0.6
# A task waits this long for another worker than one that it failed on, or
# that fails most of what it starts.
AVOID_MS = 1_500
# Filling tasks leave this share of a worker's memory to those that claim its
# processor.
MEMORY_RESERVE = 0.15
# Share of its full speed that a filling task must find on a worker, at first
# and once it has waited.
MIN_SPEED = 0.95
WAITED_MIN_SPEED = 0.5
WAITED_MS = 1_000


def _candidates(state, task):
    """Returns the workers that may run the task, regardless of room."""
    leader = state.leader
    step = task.step
    service = jobs.service_of(state, task.job)
    found = []
    for worker in leader.workers.values():
        entry = worker.entry
        if entry.service != service or entry.draining or not worker.listed:
            continue
        if worker.cordoned:
            continue
        if worker.name not in leader.roster_saved:
            continue
        if (
            not worker.is_responsive(state.now)
            or state.now < worker.backoff_until
        ):
            continue
        if step.label and step.label not in entry.labels:
            continue
        found.append(worker)
    return found


def _allowed(state, effects, task):
    """Returns the workers that may run the task by label and by advice."""
    candidates = _candidates(state, task)
    if not advice.is_needed(state, task.job):
        return candidates
    return advice.filter_workers(state, effects, task, candidates)


def _has_room(worker, step):
    need = step.resources
    room = worker.entry.capacity
    used = worker.used
    if used[1] + need.memory_mb > room.memory_mb:
        return False
    if used[2] + need.accelerators > room.accelerators:
        return False
    if step.uses_idle_cpu:
        memory = room.memory_mb - used[1] - need.memory_mb
        return memory >= MEMORY_RESERVE * room.memory_mb
    return used[0] + need.cpu <= room.cpu


def _spare_cpu(worker):
    """Returns the processor that filling tasks still find on a worker."""
    spare = worker.entry.capacity.cpu - CLAIMED_USE * worker.used[0]
    for task in worker.runs.values():
        if task.step.uses_idle_cpu:
            spare -= task.full_speed_cpu * task.pace / 100
    return spare


def _count_same(worker, task):
    count = 0
    for key in worker.runs:
        if key[:3] == task.key[:3]:
            count += 1
    return count


def _count_lasting_jobs(worker, task):
    """Returns how many other jobs have lasting tasks on a worker."""
    found = set()
    for key, other in worker.runs.items():
        if other.step.runs_until_cancelled and key.job != task.key.job:
            found.add(key.job)
    return len(found)


def _keeps_reserve(state, task, candidates):
    """Whether a task leaves the reserve of short tasks in time alone.

    Lasting tasks do, until they have waited and would fit twice: the platform
    takes that for a task that was forgotten. So do short tasks of jobs that
    are too late to earn anything.
    """
    if not task.step.runs_until_cancelled:
        return _is_short(task.step) and _is_hopeless(state, task)
    if state.now - task.waiting_since < LASTING_WAIT_MS:
        return True
    fits = 0
    for worker in candidates:
        if _has_room(worker, task.step):
            free = worker.entry.capacity.cpu - worker.used[0]
            fits += max(1, free // max(1, task.step.resources.cpu))
    return fits < 2


def _is_starved(state, task):
    """Whether nothing of a job runs, and half of its service is idle."""
    if state.leader.cpu_demand >= IDLE_USE:
        return False
    if state.now - task.waiting_since < STARVED_MS:
        return False
    return not any(other.worker for other in task.job.tasks.values())


def _is_short(step):
    return not step.runs_until_cancelled and not step.uses_idle_cpu


def _is_hopeless(state, task):
    return jobs.lateness(state, task.job) == jobs.EXPIRED


def _short_reserve(leader):
    """Returns the share of a worker that is kept for short tasks."""
    reserve = SHORT_RESERVE * leader.short_task_demand
    if reserve < MIN_SHORT_RESERVE:
        return 0.0
    return min(MAX_SHORT_RESERVE, reserve)


def _measure_use(state):
    """Notes the share of all processors that tasks claim and ask for."""
    leader = state.leader
    asked = 0
    room = 0
    short = 0
    for worker in leader.workers.values():
        if not worker.listed:
            continue
        asked += worker.used[0]
        room += worker.entry.capacity.cpu
        for task in worker.runs.values():
            if _is_short(task.step):
                short += task.step.resources.cpu
    for group in leader.ready.values():
        task = next(iter(group.values()))
        if _is_short(task.step) and not _is_hopeless(state, task):
            short += len(group) * task.step.resources.cpu
    leader.cpu_demand = asked / room if room else 1.0
    passed = (
        min(SHORT_MEMORY_MS, state.now - leader.demand_updated_at)
        / SHORT_MEMORY_MS
    )
    leader.demand_updated_at = state.now
    if room:
        leader.short_task_demand += passed * (
            short / room - leader.short_task_demand
        )


def _score(state, worker, task, reserve):
    """Returns a sort key, smallest best, or None when it does not fit."""
    step = task.step
    if not _has_room(worker, step):
        return None
    if step.max_per_worker:
        if _count_same(worker, task) >= step.max_per_worker:
            return None
    near = 0 if not step.rack or step.rack == worker.entry.rack else 1
    suspect = (
        worker.quarantined_until > state.now
        or worker.name in task.avoided_workers
    )
    if suspect and state.now - task.waiting_since < AVOID_MS:
        return None
    if step.uses_idle_cpu:
        return _score_filling(state, worker, task, (suspect, near))
    room = worker.entry.capacity.cpu
    free = room - worker.used[0] - step.resources.cpu
    if step.runs_until_cancelled:
        if reserve and free < _short_reserve(state.leader) * room:
            return None
        # Filling tasks are limited by the highest load beside them. The tasks
        # of a job have the same load at the same time, so together they leave
        # the most to them; then those of one image, which fewer disturb.
        same = _count_same(worker, task)
        strange = interference.count_other_images(worker, step.image)
        jobs_there = _count_lasting_jobs(worker, task)
        return (suspect, near, strange, jobs_there, -same, -free)
    if reserve and free < _short_reserve(state.leader) * room:
        return None
    # Best fit keeps room for the widest tasks.
    return (suspect, near, free)


def _score_filling(state, worker, task, first):
    spare = _spare_cpu(worker)
    speed = min(
        spare / max(1, task.step.resources.cpu),
        interference.headroom(state, worker, task),
    )
    needed = MIN_SPEED
    if state.now - task.waiting_since >= WAITED_MS:
        needed = WAITED_MIN_SPEED
    if speed < needed and not _is_starved(state, task):
        return None
    return (*first, -round(speed, 1), -spare)


def _choose(state, task, candidates):
    best = None
    chosen = None
    reserve = _keeps_reserve(state, task, candidates)
    for worker in candidates:
        score = _score(state, worker, task, reserve)
        if score is None:
            continue
        if best is None or score < best:
            best = score
            chosen = worker
    return chosen


def _group_order(state, group):
    task = next(iter(group.values()))
    job = task.job
    priority = jobs.priority_of(state, job)
    late = 0 if task.step.runs_until_cancelled else jobs.lateness(state, job)
    return (priority, late, job.deadline, task.key)


def place(state, effects):
    """Starts what fits, in the order of priority and deadline."""
    leader = state.leader
    _measure_use(state)
    groups = sorted(
        leader.ready.values(), key=lambda group: _group_order(state, group)
    )
    failed: dict[tuple, records.Resources] = {}
    for group in groups:
        task = next(iter(group.values()))
        if (
            not task.job.start_recorded
            or task.job.state in records.FINAL_STATES
        ):
            continue
        if task.step.gang:
            _place_gang(state, effects, group)
            continue
        kind = _kind(state, task)
        known = failed.get(kind)
        if known is not None and _covers(task.step.resources, known):
            continue
        if not _place_group(state, effects, group) and kind is not None:
            failed[kind] = task.step.resources


def _kind(state, task):
    """Names tasks that differ only by what they need; None if it has others.

    When one of a kind finds no worker in a pass, no larger one does.
    """
    step = task.step
    if (
        step.runs_until_cancelled
        or step.label
        or step.max_per_worker
        or step.same_rack
    ):
        return None
    if task.avoided_workers or advice.is_needed(state, task.job):
        return None
    service = jobs.service_of(state, task.job)
    if not step.uses_idle_cpu:
        return (service, _is_hopeless(state, task))
    waited = state.now - task.waiting_since >= WAITED_MS
    return (service, step.image, waited, _is_starved(state, task))


def _covers(need, other):
    """Whether a need is at least as large as another in all respects."""
    pairs = zip(need, other, strict=True)
    return all(mine >= theirs for mine, theirs in pairs)


def _may_start(state, task):
    if task.not_before > state.now:
        return False
    return task.held_until <= state.now


def _place_group(state, effects, group):
    """Starts the tasks of a step; returns whether none lacked a worker."""
    leader = state.leader
    candidates = None
    for task in list(group.values()):
        if not _may_start(state, task):
            continue
        if candidates is None:
            candidates = _allowed(state, effects, task)
        candidates = _same_rack(task, candidates)
        worker = _choose(state, task, candidates)
        if worker is None:
            if _is_short(task.step):
                preemption.make_room(state, effects, task, candidates)
            return False
        jobs.dequeue(leader, task)
        attempt = orders.next_attempt(leader, task)
        _start(state, effects, task, worker, attempt)
    return True


def _start(state, effects, task, worker, attempt):
    ticket = ""
    if advice.is_needed(state, task.job):
        ticket = advice.ticket_for(state, task, worker)
    orders.start(state, effects, task, worker, attempt, ticket)


def _same_rack(task, candidates):
    """Keeps a step that must share a rack on the rack of its first task."""
    if not task.step.same_rack:
        return candidates
    racks = set()
    for other in task.job.tasks.values():
        if other.key[:3] == task.key[:3] and other.worker:
            racks.add(other.worker)
    rack = None
    for worker in candidates:
        if worker.name in racks:
            rack = worker.entry.rack
            break
    if rack is None:
        return candidates
    return [worker for worker in candidates if worker.entry.rack == rack]


def _place_gang(state, effects, group):
    """Starts all members of a gang at once, or none."""
    leader = state.leader
    first = next(iter(group.values()))
    members = gangs.members(first)
    if len(group) < len(members):
        return
    for task in members:
        if not _may_start(state, task):
            return
    candidates = _allowed(state, effects, first)
    attempt = max(orders.next_attempt(leader, task) for task in members)
    chosen = []
    for task in members:
        worker = _choose(state, task, _same_rack(task, candidates))
        if worker is None:
            break
        orders.reserve_resources(worker, task)
        chosen.append((task, worker))
    for task, worker in chosen:
        orders.free_resources(worker, task)
    if len(chosen) < len(members):
        return
    checkpoint = _common_checkpoint(members)
    for task, worker in chosen:
        jobs.dequeue(leader, task)
        task.checkpoint = checkpoint
        _start(state, effects, task, worker, attempt)


def _common_checkpoint(members):
    """The newest saved progress of any member is valid for all."""
    newest = max(members, key=lambda task: (task.attempt, task.percent))
    if newest.checkpoint:
        return newest.checkpoint
    for task in members:
        if task.checkpoint:
            return task.checkpoint
    return ""


def _drain(state, effects):
    """Moves lasting tasks away from workers that are leaving."""
    for worker in state.leader.workers.values():
        if not worker.entry.draining or not worker.listed:
            continue
        if not worker.is_responsive(state.now):
            continue
        for task in list(worker.runs.values()):
            if task.status != state_lib.WORKING or task.step.gang:
                continue
            if task.step.runs_until_cancelled or task.step.checkpoints:
                orders.stop(state, effects, task, "worker is draining")


def _on_any(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if not leadership.may_send_orders(state):
        return
    if isinstance(event, events.Tick):
        _drain(state, effects)
        if leader.ready:
            leader.placement_requested = True
    if not leader.placement_requested or state.now < leader.placement_due_at:
        return
    leader.placement_requested = False
    leader.placement_due_at = state.now + PASS_INTERVAL_MS
    place(state, effects)
    effects.append(
        fx.Measure(
            "skylarklug.tasks.waiting",
            sum(len(group) for group in leader.ready.values()),
            {},
        )
    )


HANDLERS = {
    events.Tick: _on_any,
    events.StoreAnswered: _on_any,
    events.WorkerPolled: _on_any,
    events.WorkersChanged: _on_any,
    events.OrderAnswered: _on_any,
}
