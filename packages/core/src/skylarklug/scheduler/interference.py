"""Limits the interference of best-effort tasks with serving tasks.

Each poll of a worker updates `interference_model` and sets the pace of each
best-effort task there: as fast as the loads of the serving tasks allow until
the next poll. A best-effort task that stays slowed down moves to a worker that
allows it a higher pace.
"""

from skylarklug.scheduler import interference_model
from skylarklug.scheduler import jobs
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Load of a serving task that best-effort tasks may cause at most. The distance
# to the limit covers errors of the estimates.
TARGET_LOAD = interference_model.LOAD_LIMIT - 0.01
# Number of standard deviations added to the mean of a coefficient.
CAUTION_DEVIATIONS = 0.25
# Prediction horizon of a pace, which holds until the next poll.
PACE_HORIZON_MS = 1_200
# Prediction horizon of a placement, which holds for about a task's run time.
PLACEMENT_HORIZON_MS = 2_000
# Smallest change of a pace, in percent points, that is worth an order.
MIN_PACE_CHANGE = 10
# Once a tail latency has been over its target for this time, all best-effort
# tasks that add load to it are paused. The platform tolerates `harm_ms` in
# total.
PAUSE_AFTER_MS = 1_500
# Share of the target from which a tail latency counts as over its target. It
# is below 1 because reported latencies are noisy and rounded.
OVER_TARGET_SHARE = 0.97
# Share of the target below which it no longer does.
UNDER_TARGET_SHARE = 0.92
# A best-effort task below this pace, in percent, counts as slowed down.
SLOW_PACE = 50
# After this time a slowed-down task may move to another worker.
MAX_SLOW_MS = 500
# Share of full speed that the other worker must allow.
MIN_PACE_AFTER_MOVE = 0.95
# Tasks that add at least this share of the most load per CPU are slowed down in
# the order of their jobs' lateness.
COMPARABLE_SHARE = 0.5
# Time at one pace after which the reported CPU usage of a run reflects it.
STEADY_PACE_MS = 700
# Below this pace, in percent, the CPU usage does not predict the usage at full
# speed.
MIN_MEASURED_PACE = 30


def is_serving(task) -> bool:
    """Returns whether a task is working and has a latency objective."""
    return bool(task.step.target_ms) and task.status == state_lib.WORKING


def count_other_images(worker, image: str) -> int:
    """Returns how many other images have serving tasks on a worker."""
    images = {t.step.image for t in worker.runs.values() if t.step.target_ms}
    return len(images - {image})


def record_run_change(state, worker, task):
    """Records the start or end of a run on a worker.

    An ended best-effort run is kept, because the window of the next latency
    measurements still covers a part of it.
    """
    worker.allowed_shares.clear()
    if task.step.best_effort and not task.worker:
        ended_run = (task.step.image, task.measurement, state.now)
        worker.recently_ended.append(ended_run)


def _conservative_coefficient(state, serving, best_effort_image) -> float:
    """Returns a high estimate of the coefficient of two images."""
    mean, deviation = interference_model.coefficient(
        state, serving, best_effort_image
    )
    return (
        mean * (1 + interference_model.COEFFICIENT_VARIATION)
        + CAUTION_DEVIATIONS * deviation
    )


def _cpu_share(worker, task) -> float:
    """Returns the share of a worker's CPU that a task uses at full speed."""
    return task.full_speed_cpu / max(1, worker.entry.capacity.cpu)


# ---------------------------------------------------------------- placement


def is_headroom_known(worker, task) -> bool:
    """Returns whether `headroom` only has to look up what it has computed."""
    return task.step.image in worker.allowed_shares


def headroom(state, worker, task) -> float:
    """Returns the share of full speed that a worker allows a task."""
    image = task.step.image
    allowed = worker.allowed_shares.get(image)
    if allowed is None:
        allowed = _allowed_share(state, worker, image)
        worker.allowed_shares[image] = allowed
    need = task.step.resources.cpu / max(1, worker.entry.capacity.cpu)
    return min(1.0, allowed / max(need, 1e-6))


def _allowed_share(state, worker, image):
    """Returns the share of a worker's CPU that a best-effort image may use."""
    peaks = {}
    for task in worker.runs.values():
        if not task.step.target_ms:
            continue
        serving = task.step.image
        peak = interference_model.peak_base_load(
            state, task, PLACEMENT_HORIZON_MS
        )
        if serving not in peaks or peak > peaks[serving]:
            peaks[serving] = peak
    cpu_shares = []
    if peaks:
        for other in _best_effort_tasks(worker):
            cpu_shares.append((other.step.image, _cpu_share(worker, other)))
    allowed = 1.0
    for serving, peak in peaks.items():
        remaining = TARGET_LOAD - peak
        coefficient = max(
            1e-3, _conservative_coefficient(state, serving, image)
        )
        for other_image, cpu_share in cpu_shares:
            # `_plan` slows tasks with a higher coefficient first, so only the
            # others reduce what this image may use.
            other_coefficient = _conservative_coefficient(
                state, serving, other_image
            )
            if other_coefficient <= coefficient:
                remaining -= other_coefficient * cpu_share
        allowed = min(allowed, max(0.0, remaining) / coefficient)
    return allowed


def _best_effort_tasks(worker):
    """Returns the best-effort tasks of a worker that are not being stopped."""
    tasks = []
    for task in worker.runs.values():
        if task.step.best_effort and task.status != state_lib.STOPPING:
            tasks.append(task)
    return tasks


# -------------------------------------------------------------------- polls


def on_poll(state, effects, worker):
    """Updates the model from a poll of a worker and sets the paces there."""
    worker.allowed_shares.clear()
    shares = _recent_cpu_shares(state, worker)
    for task in worker.runs.values():
        if not is_serving(task) or not task.measurement or task.percent < 100:
            continue
        if state.now - task.confirmed_at < 2 * interference_model.WINDOW_MS:
            continue
        interference_model.update_from_latency(state, task, shares)
        _track_over_target(state, task)
    update_paces(state, effects, worker)


def _track_over_target(state, task):
    """Records since when a tail latency has been over its target."""
    share = task.measurement / task.step.target_ms
    if share < UNDER_TARGET_SHARE:
        task.over_target_since = 0
    elif share > OVER_TARGET_SHARE and not task.over_target_since:
        task.over_target_since = state.now


def _recent_cpu_shares(state, worker):
    """Returns the CPU shares of best-effort tasks in the latency window."""
    capacity = max(1, worker.entry.capacity.cpu)
    window = interference_model.WINDOW_MS
    shares = []
    recently_ended = []
    for image, used, at in worker.recently_ended:
        remaining = 1 - (state.now - at) / window
        if remaining <= 0:
            continue
        recently_ended.append((image, used, at))
        share = used * remaining / capacity
        shares.append(interference_model.CpuShare(image, share, share))
    worker.recently_ended = recently_ended
    for task in worker.runs.values():
        if not task.step.best_effort or task.status == state_lib.STARTING:
            continue
        share = task.measurement / capacity
        since = state.now - max(task.pace_ordered_at, task.confirmed_at)
        is_steady = since >= STEADY_PACE_MS
        shares.append(
            interference_model.CpuShare(
                task.step.image, share, 0.0 if is_steady else share
            )
        )
        if is_steady and task.measurement and task.pace >= MIN_MEASURED_PACE:
            task.full_speed_cpu = task.measurement * 100 / task.pace
    return shares


# -------------------------------------------------------------------- paces


def update_paces(state, effects, worker):
    """Orders the pace of each best-effort task on a worker."""
    best_effort_tasks = _best_effort_tasks(worker)
    if not best_effort_tasks:
        return
    plan, limited_by = _plan(state, worker, best_effort_tasks)
    for task in best_effort_tasks:
        if task.status != state_lib.WORKING:
            continue
        pace = plan[task.key]
        if pace >= SLOW_PACE:
            task.slow_since = 0
        elif not task.slow_since:
            task.slow_since = state.now
        if task.pace_confirmed and not _is_significant_change(task.pace, pace):
            continue
        reason = limited_by.get(task.key)
        orders.set_pace(state, effects, task, worker, pace, reason)
    _move_slowed_task(state, effects, worker, best_effort_tasks)


def _is_significant_change(old_pace, pace):
    if pace in (0, 100):
        return pace != old_pace
    return abs(pace - old_pace) >= MIN_PACE_CHANGE


def _plan(state, worker, best_effort_tasks):
    """Returns the pace in percent of each best-effort task, by key.

    The second value maps each slowed-down task to the serving task that limits
    it and the load that best-effort tasks may add to that serving task.
    """
    paces = {task.key: 1.0 for task in best_effort_tasks}
    limited_by = {}
    constraints = []
    for task in worker.runs.values():
        if not is_serving(task):
            continue
        remaining = TARGET_LOAD - interference_model.peak_base_load(
            state, task, PACE_HORIZON_MS
        )
        if (
            task.over_target_since
            and state.now - task.over_target_since >= PAUSE_AFTER_MS
        ):
            remaining = 0.0
        added_loads = {}
        for other in best_effort_tasks:
            coefficient = _conservative_coefficient(
                state, task.step.image, other.step.image
            )
            added_loads[other.key] = coefficient * _cpu_share(worker, other)
        constraints.append((task.key, remaining, added_loads))
    # Each iteration satisfies one constraint or pauses one task.
    for _ in range(len(best_effort_tasks) + len(constraints)):
        most_violated = _most_violated(constraints, paces)
        if most_violated is None:
            break
        excess, serving, remaining, added_loads = most_violated
        slowed = _choose_slowed(state, best_effort_tasks, paces, added_loads)
        if slowed is None:
            break
        reduction = excess / max(1e-6, added_loads[slowed.key])
        paces[slowed.key] = max(0.0, paces[slowed.key] - reduction)
        limited_by[slowed.key] = (serving, remaining)
    return {key: int(pace * 100) for key, pace in paces.items()}, limited_by


def _choose_slowed(state, best_effort_tasks, paces, added_loads):
    """Returns the task to slow down for a constraint, or None.

    Slowing the task that adds the most load per CPU costs the least throughput;
    of those that add about as much, the one whose job is latest.
    """
    rates = {}
    for task in best_effort_tasks:
        if paces[task.key] > 0:
            load = added_loads[task.key]
            rates[task.key] = load / max(1, task.full_speed_cpu)
    if not rates:
        return None
    limit = COMPARABLE_SHARE * max(rates.values())
    comparable = []
    for task in best_effort_tasks:
        if rates.get(task.key, -1.0) >= limit:
            comparable.append(task)
    return max(
        comparable,
        key=lambda task: (jobs.lateness(state, task.job), rates[task.key]),
    )


def _most_violated(constraints, paces):
    """Returns the most violated constraint after its excess, or None."""
    most_violated = None
    for serving, remaining, added_loads in constraints:
        excess = -remaining
        for key, added_load in added_loads.items():
            excess += added_load * paces[key]
        if excess > 1e-6 and (
            most_violated is None or excess > most_violated[0]
        ):
            most_violated = (excess, serving, remaining, added_loads)
    return most_violated


def _move_slowed_task(state, effects, worker, best_effort_tasks):
    """Stops one slowed-down task that another worker allows a higher pace."""
    for task in best_effort_tasks:
        if task.status != state_lib.WORKING or not task.step.checkpoints:
            continue
        if not task.slow_since or state.now - task.slow_since < MAX_SLOW_MS:
            continue
        for other in state.leader.workers.values():
            if other is worker or not other.is_responsive(state.now):
                continue
            if other.entry.service != worker.entry.service:
                continue
            if other.cordoned or other.entry.draining or not other.listed:
                continue
            if headroom(state, other, task) >= MIN_PACE_AFTER_MOVE:
                orders.stop(state, effects, task, "slowed down here")
                return
