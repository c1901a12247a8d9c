"""Keeps filling tasks from disturbing the serving tasks beside them.

Each look at a worker teaches `pressure` what disturbs whom, and sets how fast
each filling task there may work: as fast as the serving tasks' loads allow
until the next look. A filling task that is slowed down for long moves to a
worker that lets it work.
"""

from skylarklug.scheduler import orders
from skylarklug.scheduler import pressure
from skylarklug.scheduler import state as state_lib

# Load up to which filling tasks may raise a serving task's. The distance to
# the limit covers errors of the estimates.
TARGET_LOAD = pressure.LOAD_LIMIT - 0.01
# A coefficient counts as this many standard deviations above its mean.
CAUTION = 0.25
# A pace holds until the next look, and a placement for about a task's life.
PACE_AHEAD_MS = 1_200
PLACEMENT_AHEAD_MS = 2_000
# Smaller changes of a pace are not worth an order.
PACE_STEP = 10
# A tail over its target for this time is relieved at any cost. A rule of the
# platform allows `harm_ms` in all.
PATIENCE_MS = 1_500
# Tails are rough and rounded: one counts as over its target from the first
# share of it, until it falls below the second.
OVER_SHARE = 0.97
CLEAR_SHARE = 0.92
# A filling task that has worked below this pace for this time moves, if
# another worker lets it work at the better pace.
SLOW_PACE = 50
SLOW_MS = 500
MOVE_PACE = 0.95
# A run's use of the processor is known after this time at one pace.
STEADY_MS = 700
# Below this pace the use says little about the use at full speed.
MIN_MEASURED_PACE = 30


def is_serving(task) -> bool:
    """Whether a task has a latency objective that others can disturb."""
    return bool(task.step.target_ms) and task.status == state_lib.WORKING


def count_other_images(worker, image: str) -> int:
    """Returns how many other images serve on a worker."""
    images = {t.step.image for t in worker.runs.values() if t.step.target_ms}
    return len(images - {image})


def note_change(state, worker, task):
    """Notes that a run came or went: the newest figures show both."""
    worker.allowed_shares.clear()
    if task.step.uses_idle_cpu and not task.worker:
        departed = (task.step.image, task.measurement, state.now)
        worker.recently_ended.append(departed)


def _rise(state, serving, filling) -> float:
    """Returns a cautious coefficient of two images."""
    mean, deviation = pressure.coefficient(state, serving, filling)
    return mean * (1 + pressure.VARIATION) + CAUTION * deviation


def _share(worker, task) -> float:
    """Returns the share of a worker that a filling task uses at full pace."""
    return task.full_speed_cpu / max(1, worker.entry.capacity.cpu)


# ---------------------------------------------------------------- placement


def headroom(state, worker, task) -> float:
    """Returns the share of full pace that a filling task could work at."""
    image = task.step.image
    allowed = worker.allowed_shares.get(image)
    if allowed is None:
        allowed = _allowed_share(state, worker, image)
        worker.allowed_shares[image] = allowed
    need = task.step.resources.cpu / max(1, worker.entry.capacity.cpu)
    return min(1.0, allowed / max(need, 1e-6))


def _allowed_share(state, worker, image):
    """Returns the share of a worker that an image may use beside the rest."""
    fills = _filling(worker)
    allowed = 1.0
    for task in worker.runs.values():
        if not task.step.target_ms:
            continue
        serving = task.step.image
        left = TARGET_LOAD - pressure.own_load(state, task, PLACEMENT_AHEAD_MS)
        rise = max(1e-3, _rise(state, serving, image))
        for other in fills:
            # What disturbs more gives way, by `_plan`.
            theirs = _rise(state, serving, other.step.image)
            if theirs <= rise:
                left -= theirs * _share(worker, other)
        allowed = min(allowed, max(0.0, left) / rise)
    return allowed


def _filling(worker):
    """Returns the filling tasks on a worker that work or are about to."""
    found = []
    for task in worker.runs.values():
        if task.step.uses_idle_cpu and task.status != state_lib.STOPPING:
            found.append(task)
    return found


# -------------------------------------------------------------------- looks


def judge(state, effects, worker):
    """Learns from a look at a worker, and paces what fills there."""
    worker.allowed_shares.clear()
    shares = _used_shares(state, worker)
    for task in worker.runs.values():
        if not is_serving(task) or not task.measurement or task.percent < 100:
            continue
        if state.now - task.confirmed_at < 2 * pressure.WINDOW_MS:
            continue
        pressure.learn(state, task, shares)
        _note_tail(state, task)
    control(state, effects, worker)


def _note_tail(state, task):
    """Notes since when a tail has been over its target."""
    share = task.measurement / task.step.target_ms
    if share < CLEAR_SHARE:
        task.over_target_since = 0
    elif share > OVER_SHARE and not task.over_target_since:
        task.over_target_since = state.now


def _used_shares(state, worker):
    """Returns what filling tasks used during the window of the tails."""
    room = max(1, worker.entry.capacity.cpu)
    window = pressure.WINDOW_MS
    shares = []
    departed = []
    for image, used, at in worker.recently_ended:
        left = 1 - (state.now - at) / window
        if left <= 0:
            continue
        departed.append((image, used, at))
        share = used * left / room
        shares.append(pressure.Share(image, share, share))
    worker.recently_ended = departed
    for task in worker.runs.values():
        if not task.step.uses_idle_cpu or task.status == state_lib.STARTING:
            continue
        share = task.measurement / room
        since = state.now - max(task.pace_ordered_at, task.confirmed_at)
        steady = since >= STEADY_MS
        shares.append(
            pressure.Share(task.step.image, share, 0.0 if steady else share)
        )
        if steady and task.measurement and task.pace >= MIN_MEASURED_PACE:
            task.full_speed_cpu = task.measurement * 100 / task.pace
    return shares


# ------------------------------------------------------------------ control


def control(state, effects, worker):
    """Orders the pace of each filling task on a worker."""
    fills = _filling(worker)
    if not fills:
        return
    plan, limited_by = _plan(state, worker, fills)
    for task in fills:
        if task.status != state_lib.WORKING:
            continue
        pace = plan[task.key]
        if pace >= SLOW_PACE:
            task.slow_since = 0
        elif not task.slow_since:
            task.slow_since = state.now
        if task.pace_confirmed and not _is_worth_an_order(task.pace, pace):
            continue
        reason = limited_by.get(task.key)
        orders.set_pace(state, effects, task, worker, pace, reason)
    _move(state, effects, worker, fills)


def _is_worth_an_order(before, pace):
    if pace in (0, 100):
        return pace != before
    return abs(pace - before) >= PACE_STEP


def _plan(state, worker, fills):
    """Returns the pace in percent of each filling task, by key.

    The second value maps a task that is slowed down to the serving task that
    asked for it and the load that is left to filling tasks beside that one.
    """
    paces = {task.key: 1.0 for task in fills}
    limited_by = {}
    limits = []
    for task in worker.runs.values():
        if not is_serving(task):
            continue
        left = TARGET_LOAD - pressure.own_load(state, task, PACE_AHEAD_MS)
        if (
            task.over_target_since
            and state.now - task.over_target_since >= PATIENCE_MS
        ):
            left = 0.0
        rises = {}
        for other in fills:
            rise = _rise(state, task.step.image, other.step.image)
            rises[other.key] = rise * _share(worker, other)
        limits.append((task.key, left, rises))
    # Each round meets one limit or pauses one task.
    for _ in range(len(fills) + len(limits)):
        worst = _most_exceeded(limits, paces)
        if worst is None:
            break
        excess, serving, left, rises = worst
        # Slowing what disturbs most by the processor it uses costs least.
        slowed = max(
            (task for task in fills if paces[task.key] > 0),
            key=lambda task: rises[task.key] / max(1, task.full_speed_cpu),
            default=None,
        )
        if slowed is None:
            break
        cut = excess / max(1e-6, rises[slowed.key])
        paces[slowed.key] = max(0.0, paces[slowed.key] - cut)
        limited_by[slowed.key] = (serving, left)
    return {key: int(pace * 100) for key, pace in paces.items()}, limited_by


def _most_exceeded(limits, paces):
    """Returns the limit that is exceeded most, after by how much, or None."""
    worst = None
    for serving, left, rises in limits:
        excess = -left
        for key, rise in rises.items():
            excess += rise * paces[key]
        if excess > 1e-6 and (worst is None or excess > worst[0]):
            worst = (excess, serving, left, rises)
    return worst


def _move(state, effects, worker, fills):
    """Stops one task that is slowed down here and could work elsewhere."""
    for task in fills:
        if task.status != state_lib.WORKING or not task.step.checkpoints:
            continue
        if not task.slow_since or state.now - task.slow_since < SLOW_MS:
            continue
        for other in state.leader.workers.values():
            if other is worker or not other.is_responsive(state.now):
                continue
            if other.entry.service != worker.entry.service:
                continue
            if other.cordoned or other.entry.draining or not other.listed:
                continue
            if headroom(state, other, task) >= MOVE_PACE:
                orders.stop(state, effects, task, "slowed down here")
                return
