"""Where waiting tasks start."""

from skylarklug.scheduler import advice
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# Passes are at least this far apart, so that a burst shares one.
PASS_INTERVAL_MS = 20
# Share of their processor that tasks which claim it use on average; the rest
# is offered to filling tasks.
CLAIMED_USE = 0.55
# Short tasks that claim processor earn several times what lasting ones earn
# for the same processor, and come in groups. While there are such tasks,
# lasting ones leave this share of each worker to them.
SHORT_RESERVE = 0.08
SHORT_MEMORY_MS = 30_000
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
    shard = state.shard
    step = task.step
    service = jobs.service_of(state, task.job)
    found = []
    for worker in shard.workers.values():
        entry = worker.entry
        if entry.service != service or entry.draining or not worker.listed:
            continue
        if worker.closed:
            continue
        if worker.name not in shard.roster_saved:
            continue
        if not worker.answers(state.now) or state.now < worker.rest_until:
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
    need = step.need
    room = worker.entry.room
    used = worker.used
    if used[1] + need.memory_mb > room.memory_mb:
        return False
    if used[2] + need.accelerators > room.accelerators:
        return False
    if step.fills:
        memory = room.memory_mb - used[1] - need.memory_mb
        return memory >= MEMORY_RESERVE * room.memory_mb
    return used[0] + need.cpu <= room.cpu


def _spare_cpu(worker):
    """Returns the processor that filling tasks still find on a worker."""
    spare = worker.entry.room.cpu - CLAIMED_USE * worker.used[0]
    for task in worker.runs.values():
        if task.step.fills:
            spare -= task.full_cpu * task.pace / 100
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
        if other.step.lasting and key.job != task.key.job:
            found.add(key.job)
    return len(found)


def _keeps_reserve(state, task, candidates):
    """Whether a lasting task leaves the reserve of short tasks alone.

    It does not once it has waited and would fit twice: the platform takes
    that for a task that was forgotten.
    """
    if not task.step.lasting or state.now >= state.shard.short_until:
        return False
    if state.now - task.wanted_at < LASTING_WAIT_MS:
        return True
    fits = 0
    for worker in candidates:
        if _has_room(worker, task.step):
            free = worker.entry.room.cpu - worker.used[0]
            fits += max(1, free // max(1, task.step.need.cpu))
    return fits < 2


def _is_starved(state, task):
    """Whether nothing of a job runs, and half of its service is idle."""
    if state.shard.use >= IDLE_USE:
        return False
    if state.now - task.wanted_at < STARVED_MS:
        return False
    return not any(other.worker for other in task.job.tasks.values())


def _measure_use(shard):
    """Returns the share of all processors that tasks claim."""
    asked = 0
    room = 0
    for worker in shard.workers.values():
        if worker.listed:
            asked += worker.used[0]
            room += worker.entry.room.cpu
    return asked / room if room else 1.0


def _score(state, worker, task, reserve):
    """Returns a sort key, smallest best, or None when it does not fit."""
    step = task.step
    if not _has_room(worker, step):
        return None
    if step.max_per_worker:
        if _count_same(worker, task) >= step.max_per_worker:
            return None
    near = 0 if not step.rack or step.rack == worker.entry.rack else 1
    suspect = worker.faulty_until > state.now or worker.name in task.avoid
    if suspect and state.now - task.wanted_at < AVOID_MS:
        return None
    if step.fills:
        return _score_filling(state, worker, task, (suspect, near))
    room = worker.entry.room.cpu
    free = room - worker.used[0] - step.need.cpu
    if step.lasting:
        if reserve and free < SHORT_RESERVE * room:
            return None
        # Filling tasks are limited by the highest load beside them. The tasks
        # of a job have the same load at the same time, so together they leave
        # the most to them; then those of one image, which fewer disturb.
        same = _count_same(worker, task)
        strange = interference.count_other_images(worker, step.image)
        jobs_there = _count_lasting_jobs(worker, task)
        return (suspect, near, strange, jobs_there, -same, -free)
    # Best fit keeps room for the widest tasks.
    return (suspect, near, free)


def _score_filling(state, worker, task, first):
    spare = _spare_cpu(worker)
    speed = min(
        spare / max(1, task.step.need.cpu),
        interference.headroom(state, worker, task),
    )
    needed = MIN_SPEED
    if state.now - task.wanted_at >= WAITED_MS:
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
    late = 0 if task.step.lasting else jobs.lateness(state, job)
    return (priority, late, job.deadline, task.key)


def place(state, effects):
    """Starts what fits, in the order of priority and deadline."""
    shard = state.shard
    shard.use = _measure_use(shard)
    groups = sorted(
        shard.ready.values(), key=lambda group: _group_order(state, group)
    )
    for group in groups:
        task = next(iter(group.values()))
        if not task.job.begun or task.job.state in records.FINAL_STATES:
            continue
        if task.step.gang:
            _place_gang(state, effects, group)
        else:
            _place_group(state, effects, group)


def _may_start(state, task):
    if task.not_before > state.now:
        return False
    return task.held_until <= state.now


def _place_group(state, effects, group):
    shard = state.shard
    candidates = None
    step = next(iter(group.values())).step
    if not step.lasting and not step.fills:
        shard.short_until = state.now + SHORT_MEMORY_MS
    for task in list(group.values()):
        if not _may_start(state, task):
            continue
        if candidates is None:
            candidates = _allowed(state, effects, task)
        candidates = _same_rack(task, candidates)
        worker = _choose(state, task, candidates)
        if worker is None:
            return
        jobs.drop_ready(shard, task)
        attempt = orders.next_attempt(shard, task)
        _start(state, effects, task, worker, attempt)


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
    shard = state.shard
    first = next(iter(group.values()))
    members = gangs.members(first)
    if len(group) < len(members):
        return
    for task in members:
        if not _may_start(state, task):
            return
    candidates = _allowed(state, effects, first)
    attempt = max(orders.next_attempt(shard, task) for task in members)
    chosen = []
    for task in members:
        worker = _choose(state, task, _same_rack(task, candidates))
        if worker is None:
            break
        orders.occupy(worker, task)
        chosen.append((task, worker))
    for task, worker in chosen:
        orders.vacate(worker, task)
    if len(chosen) < len(members):
        return
    checkpoint = _common_checkpoint(members)
    for task, worker in chosen:
        jobs.drop_ready(shard, task)
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
    for worker in state.shard.workers.values():
        if not worker.entry.draining or not worker.listed:
            continue
        if not worker.answers(state.now):
            continue
        for task in list(worker.runs.values()):
            if task.status != state_lib.WORKING or task.step.gang:
                continue
            if task.step.lasting or task.step.checkpoints:
                orders.stop(state, effects, task, "worker is draining")


def _on_any(state, event, effects):
    shard = state.shard
    if shard is None or not leadership.is_loaded(shard):
        return
    if not leadership.may_act(state):
        return
    if isinstance(event, events.Tick):
        _drain(state, effects)
        if shard.ready:
            shard.place_soon = True
    if not shard.place_soon or state.now < shard.place_at:
        return
    shard.place_soon = False
    shard.place_at = state.now + PASS_INTERVAL_MS
    place(state, effects)
    effects.append(
        fx.Measure(
            "skylarklug.tasks.waiting",
            sum(len(group) for group in shard.ready.values()),
            {},
        )
    )


HANDLERS = {
    events.Tick: _on_any,
    events.StoreAnswered: _on_any,
    events.WorkerLooked: _on_any,
    events.WorkersRead: _on_any,
    events.OrderAnswered: _on_any,
}
