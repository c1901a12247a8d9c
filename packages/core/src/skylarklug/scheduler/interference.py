"""Which images disturb which, learned from the tails of serving tasks.

The tasks of one job share their load, so the lower quartile of their tails
tells what each would show undisturbed. Each look at a worker is then a group
test: if a serving task's tail is far above that, one of the images that fill
beside it disturbs its image; if not, none does. The belief in each pair
follows Bayes' rule over a noisy-or of the images that fill, so that a known
culprit clears the others.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import orders
from skylarklug.scheduler import state as state_lib

# Tail over the undisturbed tail, above which a task counts as disturbed and
# below which it does not; tasks of a job differ by a tenth.
DISTURBED = 1.5
UNDISTURBED = 1.25
# Share of a target above which a disturbed task is relieved.
LIMIT = 0.85
# Tails older than this say nothing about the load now.
FRESH_MS = 1_600
# Fewer tasks do not tell the undisturbed tail from a disturbed one.
MIN_TASKS = 3
PRIOR = 0.18
# Chance that a disturbing image shows in one look, and that a tail is high
# for another reason.
DETECTION = 0.8
FALSE_ALARM = 0.02
FLOOR = 0.01
CEILING = 0.99
# The figures cover half a second, so a task shows after that time, and looks
# that are closer together say the same.
WINDOW_MS = 600
# A stopped task works on for up to the time of a stop, and shows for another
# window.
DEPARTED_MS = 1_000
CULPRIT = 0.5
# With no clear culprit the likeliest is stopped after this time; a rule of
# the platform allows `harm_ms` in all.
PATIENCE_MS = 1_500


def belief(shard, serving: str, filling: str) -> float:
    """Returns the probability that one image disturbs another."""
    return shard.pairs.get((serving, filling), PRIOR)


def risk(shard, worker, filling: str) -> float:
    """Returns the probability that an image disturbs anyone on a worker."""
    clear = 1.0
    images = set()
    for task in worker.runs.values():
        if task.step.target_ms:
            images.add(task.step.image)
    for image in sorted(images):
        clear *= 1 - belief(shard, image, filling)
    return 1 - clear


def count_other_images(worker, image: str) -> int:
    """Returns how many other images serve on a worker."""
    images = set()
    for task in worker.runs.values():
        if task.step.target_ms:
            images.add(task.step.image)
    images.discard(image)
    return len(images)


def note_departure(state, worker, task):
    """Remembers a filling task that ended: the figures still show it."""
    if task.step.fills:
        worker.departed[task.step.image] = state.now


def judge(state, effects, worker):
    """Learns from a look at a worker, and stops what disturbs there."""
    if state.now - worker.judged_at < WINDOW_MS:
        return
    present, whole = _images(state, worker)
    if not present:
        return
    worker.judged_at = state.now
    worst = None
    for task in list(worker.runs.values()):
        if not task.step.target_ms or task.status != state_lib.WORKING:
            continue
        base = _undisturbed(state, task.job)
        if not task.gauge or not base:
            continue
        ratio = task.gauge / base
        serving = task.step.image
        if ratio > DISTURBED:
            _learn(state.shard, serving, present, high=True)
        elif ratio < UNDISTURBED and whole:
            _learn(state.shard, serving, whole, high=False)
        if ratio < UNDISTURBED or task.gauge < LIMIT * task.step.target_ms:
            continue
        over = task.gauge / task.step.target_ms
        if worst is None or over > worst[0]:
            worst = (over, ratio, task)
    if worst is None:
        worker.disturbed_since = 0
        return
    worker.disturbed_since = worker.disturbed_since or state.now
    _relieve(state, effects, worker, worst[2], worst[1])


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
        started = task.confirmed_at
        if task.status == state_lib.WORKING:
            if state.now - started >= WINDOW_MS:
                whole.add(task.step.image)
    return sorted(present), sorted(whole)


def _undisturbed(state, job) -> float:
    """Returns the tail that the job's tasks show undisturbed; 0 if unknown."""
    tails = []
    for task in job.tasks.values():
        if not task.gauge or task.status != state_lib.WORKING:
            continue
        if state.now - task.gauge_at <= FRESH_MS:
            tails.append(task.gauge)
    if len(tails) < MIN_TASKS:
        return 0.0
    tails.sort()
    return tails[len(tails) // 4]


def _learn(shard, serving, images, high):
    clear = 1.0
    for image in images:
        clear *= 1 - DETECTION * belief(shard, serving, image)
    quiet = (1 - FALSE_ALARM) * clear
    for image in images:
        before = belief(shard, serving, image)
        # Chance of a low tail if this image disturbs.
        others = quiet / (1 - DETECTION * before)
        quiet_if = others * (1 - DETECTION)
        if high:
            after = before * (1 - quiet_if) / (1 - quiet)
        else:
            after = before * quiet_if / quiet
        shard.pairs[serving, image] = min(CEILING, max(FLOOR, after))


def _relieve(state, effects, worker, disturbed, ratio):
    """Stops the tasks that most likely disturb a task on their worker."""
    shard = state.shard
    serving = disturbed.step.image
    beliefs = {}
    for task in worker.runs.values():
        if not task.step.fills or task.status != state_lib.WORKING:
            continue
        beliefs[task.step.image] = belief(shard, serving, task.step.image)
    if not beliefs:
        return
    limit = CULPRIT
    if state.now - worker.disturbed_since >= PATIENCE_MS:
        limit = min(limit, max(beliefs.values()))
    fields = {
        "worker": worker.name,
        "task": str(disturbed.key),
        "image": serving,
        "tail_ms": disturbed.gauge,
        "target_ms": disturbed.step.target_ms,
        "ratio": ratio,
        "for_ms": state.now - worker.disturbed_since,
        "beliefs": [f"{k}:{v:.2f}" for k, v in sorted(beliefs.items())],
    }
    effects.append(fx.Log("info", "disturbed", fields))
    for task in list(worker.runs.values()):
        if not task.step.fills or task.status != state_lib.WORKING:
            continue
        if beliefs[task.step.image] >= limit:
            orders.stop(state, effects, task, f"disturbs {serving}")
