"""Keeps tasks that fill from disturbing tasks that serve."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Share of a target above which filling tasks are slowed, and below which
# they may speed up again.
HIGH = 0.9
LOW = 0.7
# A pace needs its time to act, and the figure covers the last half second.
ADJUST_MS = 700
SLOWER = 0.5
FASTER = 15
MIN_PERCENT = 0


def worst_ratio(worker) -> float:
    """Returns the highest tail over its target among tasks that serve."""
    worst = 0.0
    for task in worker.runs.values():
        target = task.step.target_ms
        if target and task.status == state_lib.WORKING:
            worst = max(worst, task.gauge / target)
    return worst


def adjust(state, effects, worker):
    """Slows or speeds up what fills, after a look."""
    fills = []
    for task in worker.runs.values():
        if task.step.fills and task.status == state_lib.WORKING:
            fills.append(task)
    ratio = worst_ratio(worker)
    worker.harm = ratio
    if not fills:
        return
    if state.now - worker.fill_paced_at < ADJUST_MS:
        return
    if ratio > HIGH:
        _change(state, effects, worker, fills, ratio, slower=True)
    elif ratio < LOW:
        _change(state, effects, worker, fills, ratio, slower=False)


def _change(state, effects, worker, fills, ratio, slower):
    changed = 0
    for task in fills:
        pace = task.pace if task.pace >= 0 else 100
        if slower:
            wanted = max(MIN_PERCENT, int(pace * SLOWER) // 5 * 5)
        else:
            wanted = min(100, pace + FASTER)
        if wanted == task.pace:
            continue
        orders.pace(state, effects, task, worker, wanted)
        changed += 1
    if not changed:
        return
    worker.fill_paced_at = state.now
    fields = {
        "worker": worker.name,
        "ratio": ratio,
        "slower": slower,
        "tasks": changed,
    }
    effects.append(fx.Log("info", "pace", fields))
