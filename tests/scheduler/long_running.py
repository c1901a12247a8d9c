"""Ends of the runs of long-running tasks beside short tasks in oversupply."""

import collections
import itertools
import random

import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import orders
from skylarklug.scheduler import records

WORKERS = 5
WORKER_CPU = takeovers.WHOLE_WORKER
# Bounds of the run time of short tasks.
SHORT_RUN_MS = (500, 3_000)
SHORT_KINDS = ({"cpu": 2_000}, {"cpu": 4_000}, {"cpu": 8_000})
BEST_EFFORT_KINDS = (
    {"memory_mb": 20_000, "best_effort": True},
    {"memory_mb": 50_000, "best_effort": True},
)
# At least this many tasks of each kind wait at any time.
MIN_WAITING = 2 * WORKERS
FEED_INTERVAL_MS = 100
# The workers are full if more of their CPU is used on average.
FULL_SHARE = 0.9
# Interval at which a lease that has ended is noticed.
LAPSE_INTERVAL_MS = 50
# A run of this age when its worker crashes has passed its trial.
PAST_TRIAL_MS = 2_000
CONFIGURATION = records.Configuration(
    1,
    {
        "urgent": fakes.QUEUE._replace(
            name="urgent", prefix="/urgent/", priority=0
        ),
        "batch": fakes.QUEUE,
    },
)
KEY = fakes.first_key(1)


# ---------------------------------------------------------------------- load


def keep_full(sim, rng, prefix, kinds=SHORT_KINDS):
    """Submits jobs so that tasks of each kind always wait, from now on."""
    numbers = itertools.count(1_000)
    draw_run_times(sim, rng)

    def feed():
        sim.after(FEED_INTERVAL_MS, feed)
        leader = sim.leader()
        names = usable_nodes(sim)
        if leader is None or not names:
            return
        waiting = collections.Counter()
        for group in leader.state.leader.ready.values():
            task = next(iter(group.values()))
            waiting[task.step.resources] += len(group)
        for fields in kinds:
            step = fakes.step(rng.randint(3, 8), **fields)
            while waiting[step.resources] < MIN_WAITING:
                waiting[step.resources] += step.count
                node = rng.choice(names)
                sim.submit(next(numbers), step, node=node, prefix=prefix)

    feed()


def draw_run_times(sim, rng):
    """Gives each short run another duration."""
    original = sim.on_StartRun

    def start(node, effect):
        worker = sim.workers.get(effect.worker)

        def draw():
            worker.run_ms = rng.randint(*SHORT_RUN_MS)

        if worker is not None:
            sim.after(fakes.LINK_DELAY_MS, draw)
        original(node, effect)

    sim.on_StartRun = start


def usable_nodes(sim):
    """Returns the names of the nodes that take requests."""
    found = []
    for name, node in sorted(sim.nodes.items()):
        if node.paused_events is None and not node.state.stopping_at:
            found.append(name)
    return found


def note_lapses(sim):
    """Ends runs as soon as their lease has ended, also on silent workers."""
    for worker in sim.workers.values():
        worker.expire()
    sim.after(LAPSE_INTERVAL_MS, lambda: note_lapses(sim))


def prepare(deployment, prefix, count=1, cpu=WORKER_CPU, **fields):
    """Returns a deployment that runs a long-running job, under load or not.

    Its tasks are not stopped for short ones, unless `fields` allow it.
    """
    fields.setdefault("max_unavailable", 0)
    sim = deployment(workers=WORKERS, configuration=CONFIGURATION)
    note_lapses(sim)
    step = fakes.step(count, cpu=cpu, runs_until_cancelled=True, **fields)
    sim.submit(1, step)
    sim.run(PAST_TRIAL_MS)
    assert len(sim.running(1)) == count
    if prefix:
        keep_full(sim, random.Random(7), prefix)
        shares = []
        for _ in range(SHORT_RUN_MS[1] // FEED_INTERVAL_MS):
            sim.run(FEED_INTERVAL_MS)
            shares.append(used_cpu_share(sim))
        assert sum(shares) / len(shares) > FULL_SHARE
    return sim


def used_cpu_share(sim):
    used = 0
    capacity = 0
    for worker in sim.workers.values():
        capacity += worker.cpu
        for key in worker.runs:
            used += sim.counted_resources(key).cpu
    return used / capacity


# -------------------------------------------------------------- ends of runs


def worker_of(sim, key=KEY):
    """Returns the worker that runs a task, or None."""
    for worker in sim.workers.values():
        if key in worker.runs:
            return worker
    return None


def fail_run(sim, key=KEY):
    worker_of(sim, key).end(key, "failed")


def restart_worker(sim, worker):
    worker.crash(worker.incarnation + 1)
    sim.publish_workers()


def stop_run(sim, key=KEY):
    """Stops a task as for a short one; its run ends a little later."""
    leader = sim.leader()
    task = leader.state.leader.workers[worker_of(sim, key).name].runs[key]
    effects = []
    orders.stop(leader.state, effects, task, "room for a short task")
    for effect in effects:
        sim.perform(leader, effect)


def drain_worker(sim, worker):
    worker.draining = True
    sim.publish_workers()


def end_silence(sim, worker):
    sim.silent_workers.discard(worker.name)
    sim.publish_workers()


def on_starts(sim, key, count, before, after=None):
    """Calls `before` and `after` around the arrival of a task's next starts."""
    original = sim.on_StartRun
    numbers = iter(range(count))

    def intercept(node, effect):
        worker = sim.workers.get(effect.worker)
        if worker is None or effect.key != key:
            original(node, effect)
            return
        if next(numbers, None) is None:
            original(node, effect)
            return
        sim.after(fakes.LINK_DELAY_MS, lambda: before(worker))
        original(node, effect)
        if after is not None:
            sim.after(fakes.LINK_DELAY_MS, lambda: after(worker))

    sim.on_StartRun = intercept


def reject_starts(sim, key, count):
    """Lets workers reject a task for lack of room, as it fits no more."""

    def begin(worker):
        worker.enforces_capacity = True
        worker.has_room = lambda key: False

    def end(worker):
        worker.enforces_capacity = False
        del worker.has_room

    on_starts(sim, key, count, begin, end)


def lose_starts(sim, key, count):
    def lose(worker):
        worker.lost_starts = 1

    on_starts(sim, key, count, lose)


def leave_starts_unanswered(sim, key, count):
    def leave(worker):
        worker.unanswered_starts = 1

    on_starts(sim, key, count, leave)


def suspend_leader(sim):
    """Suspends the leader for 700 of each 1,500 ms."""
    leader = sim.leader()

    def resume():
        if leader.alive:
            sim.resume(leader)

    if leader is not None:
        sim.pause(leader)
        sim.after(700, resume)
    sim.after(1_500, lambda: suspend_leader(sim))


# -------------------------------------------------------------------- checks


def find_waits(sim, key=KEY):
    """Returns (duration, since, how the last run ended) of each wait."""
    found = []
    for other, _, _, ended_at, outcome in sim.history:
        if other != key:
            continue
        started_at = takeovers.first_start(sim, key, ended_at - 1) or sim.now
        found.append((started_at - ended_at, ended_at, outcome))
    return found


def run_until_started(sim, key=KEY, limit_ms=takeovers.LOST_MS):
    """Runs until a task runs again, or the limit has passed."""
    end = sim.now + limit_ms
    while worker_of(sim, key) is None and sim.now <= end:
        sim.run(10)


def check(sim, count=1, limit_ms=takeovers.LOST_MS):
    """Asserts that each task of the job has run again in time."""
    for index in range(count):
        key = fakes.first_key(1, index)
        late = [wait for wait in find_waits(sim, key) if wait[0] > limit_ms]
        assert not late, (key, late)
        assert worker_of(sim, key), key
    assert not sim.find_problems()


def check_last_wait(sim):
    """Asserts that the last wait has not been too long so far."""
    assert find_waits(sim)[-1][0] <= takeovers.LOST_MS, find_waits(sim)


def check_waits_so_far(sim, count):
    """Asserts that no wait was too long; some may not have ended."""
    for index in range(count):
        waits = find_waits(sim, fakes.first_key(1, index))
        late = [wait for wait in waits if wait[0] > takeovers.LOST_MS]
        assert not late, late
    assert not sim.find_problems()
