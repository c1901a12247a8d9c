"""Which images that fill disturb which images that serve.

A serving task behaves like a queue: its tail is `idle / (1 - load)`, where
`idle` is the tail without load. An image that disturbs it raises the load;
the others leave it alone. The tasks of one job have the same load, so the
lower quartile of their tails tells the load of an undisturbed one. Each look
at a worker is then a group test of the images that fill there. The belief in
each pair follows Bayes' rule over a noisy-or, so that a known culprit clears
the others.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Targets are this many times the tail without load; a lower tail that was
# seen corrects it.
TARGET_OVER_IDLE = 6.0
LOWEST_SEEN_SHARE = 0.85
# Chance that an image disturbs another before anything is known.
PRIOR = 0.15
# Chance that a disturbing image shows in one test, and that a load is high
# for another reason.
DETECTION = 0.75
FALSE_ALARM = 0.04
FLOOR = 0.01
# A belief returns towards the prior, since disturbance changes and an image
# that is kept away gives no new evidence.
HALF_LIFE_MS = 9_000
# An image that may disturb is tried on one worker at a time.
TRY_INTERVAL_MS = 1_200
CEILING = 0.98
# Rise of the load that counts as disturbed, and as not. At a low load
# neither shows above the noise of a tail.
DISTURBED_RISE = 0.2
QUIET_RISE = 0.1
TEST_LOAD = 0.4
# Tails older than this say nothing about the load now.
FRESH_MS = 1_200
# Fewer tasks do not tell the undisturbed load from a disturbed one.
MIN_TASKS = 3
# A tail covers half a second, and a stopped task works on for a while.
DEPARTED_MS = 1_000
# Tests closer together than a tail's window say the same.
TEST_INTERVAL_MS = 600
# Share of its target above which a serving task is relieved, and belief from
# which an image is stopped for it.
RELIEVE_AT = 0.95
CULPRIT = 0.5
# With no clear culprit the likeliest is stopped after this time; a rule of
# the platform allows `harm_ms` in all.
PATIENCE_MS = 1_500
MIN_LOAD = 0.05
MAX_LOAD = 0.97
# Services are sized so that their own load stays below their target's.
MAX_OWN_LOAD = 0.75


def belief(state, serving: str, filling: str) -> float:
    """Returns the probability that one image disturbs another."""
    found = state.shard.pairs.get((serving, filling))
    if found is None:
        return PRIOR
    value, at = found
    kept = 0.5 ** ((state.now - at) / HALF_LIFE_MS)
    return PRIOR + (value - PRIOR) * kept


def risk(state, worker, filling: str) -> tuple[float, float]:
    """Returns how likely an image disturbs on a worker: at worst, in all."""
    found = worker.risks.get(filling)
    if found is not None:
        return found
    clear = 1.0
    highest = 0.0
    for image in sorted(_serving_images(worker)):
        value = belief(state, image, filling)
        highest = max(highest, value)
        clear *= 1 - value
    worker.risks[filling] = (highest, 1 - clear)
    return worker.risks[filling]


def may_try(state, filling: str) -> bool:
    """Whether an image that may disturb can be tried on a worker now."""
    return state.now - state.shard.tried.get(filling, 0) >= TRY_INTERVAL_MS


def count_other_images(worker, image: str) -> int:
    """Returns how many other images serve on a worker."""
    return len(_serving_images(worker) - {image})


def _serving_images(worker) -> set[str]:
    images = set()
    for task in worker.runs.values():
        if task.step.target_ms:
            images.add(task.step.image)
    return images


# -------------------------------------------------------------------- look


def note_change(state, worker, task):
    """Notes that a run came or went: the newest figures show both."""
    worker.risks.clear()
    if task.step.fills and not task.worker:
        worker.departed[task.step.image] = state.now


def judge(state, effects, worker):
    """Learns from a look at a worker, and stops what disturbs there."""
    worker.risks.clear()
    present, whole = _images(state, worker)
    testing = state.now - worker.tested_at >= TEST_INTERVAL_MS
    worst = None
    for task in worker.runs.values():
        target = task.step.target_ms
        if not target or task.status != state_lib.WORKING or not task.gauge:
            continue
        if not present:
            _note_lowest(state.shard, task)
            continue
        own = _own_load(state, task.job)
        if testing:
            worker.tested_at = state.now
            _test(state, task, own, present, whole)
        over = task.gauge / target
        if _load(state.shard, task) - (own or MAX_OWN_LOAD) < QUIET_RISE:
            continue
        if over > RELIEVE_AT and (worst is None or over > worst[0]):
            worst = (over, task)
    if worst is None:
        worker.disturbed_since = 0
        return
    worker.disturbed_since = worker.disturbed_since or state.now
    _relieve(state, effects, worker, worst[1])


def _images(state, worker):
    """Returns the images that filled at any time of the newest figures.

    The second list holds those that filled all the time.
    """
    present = set()
    whole = set()
    for image, at in list(worker.departed.items()):
        if state.now - at < DEPARTED_MS:
            present.add(image)
        else:
            del worker.departed[image]
    for task in worker.runs.values():
        if not task.step.fills or task.status == state_lib.STARTING:
            continue
        present.add(task.step.image)
        if task.status != state_lib.WORKING:
            continue
        if state.now - task.confirmed_at >= TEST_INTERVAL_MS:
            whole.add(task.step.image)
    return sorted(present), sorted(whole)


def _note_lowest(shard, task):
    image = task.step.image
    lowest = shard.lowest_tail.get(image)
    if lowest is None or task.gauge < lowest:
        shard.lowest_tail[image] = task.gauge


def _load(shard, task):
    """Returns the load that a serving task's tail stands for."""
    idle = task.step.target_ms / TARGET_OVER_IDLE
    lowest = shard.lowest_tail.get(task.step.image)
    if lowest is not None:
        idle = min(idle, LOWEST_SEEN_SHARE * lowest)
    return min(MAX_LOAD, max(MIN_LOAD, 1 - idle / task.gauge))


def _own_load(state, job) -> float:
    """Returns the load that the job's tasks have undisturbed; 0 if unknown."""
    loads = []
    for task in job.tasks.values():
        if not task.gauge or task.status != state_lib.WORKING:
            continue
        if state.now - task.gauge_at <= FRESH_MS:
            loads.append(_load(state.shard, task))
    if len(loads) < MIN_TASKS:
        return 0.0
    loads.sort()
    return min(MAX_OWN_LOAD, loads[len(loads) // 4])


def _test(state, task, own, present, whole):
    if own < TEST_LOAD:
        return
    rise = _load(state.shard, task) - own
    if rise >= DISTURBED_RISE:
        _learn(state, task.step.image, present, high=True)
    elif rise <= QUIET_RISE and whole:
        _learn(state, task.step.image, whole, high=False)


def _learn(state, serving, images, high):
    clear = 1.0
    for image in images:
        clear *= 1 - DETECTION * belief(state, serving, image)
    quiet = (1 - FALSE_ALARM) * clear
    learned = {}
    for image in images:
        before = belief(state, serving, image)
        # Chance of a low load if this image disturbs.
        others = quiet / (1 - DETECTION * before)
        quiet_if = others * (1 - DETECTION)
        if high:
            after = before * (1 - quiet_if) / (1 - quiet)
        else:
            after = before * quiet_if / quiet
        after = min(CEILING, max(FLOOR, after))
        learned[serving, image] = (after, state.now)
    state.shard.pairs.update(learned)


def _relieve(state, effects, worker, disturbed):
    """Stops the tasks that most likely disturb a task on their worker."""
    serving = disturbed.step.image
    beliefs = {}
    for task in worker.runs.values():
        if task.step.fills and task.status == state_lib.WORKING:
            beliefs[task.step.image] = belief(state, serving, task.step.image)
    if not beliefs:
        return
    waited = state.now - worker.disturbed_since
    limit = CULPRIT
    if waited >= PATIENCE_MS:
        limit = min(limit, max(beliefs.values()))
    stopped = []
    for task in worker.runs.values():
        if not task.step.fills or task.status != state_lib.WORKING:
            continue
        if beliefs[task.step.image] >= limit:
            stopped.append(task)
    if not stopped:
        return
    fields = {
        "worker": worker.name,
        "task": str(disturbed.key),
        "image": serving,
        "tail_ms": disturbed.gauge,
        "target_ms": disturbed.step.target_ms,
        "own_load": _own_load(state, disturbed.job),
        "for_ms": waited,
        "beliefs": [f"{k}:{v:.2f}" for k, v in sorted(beliefs.items())],
        "stopped": len(stopped),
    }
    effects.append(fx.Log("info", "disturbed", fields))
    for task in stopped:
        orders.stop(state, effects, task, f"disturbs {serving}")
