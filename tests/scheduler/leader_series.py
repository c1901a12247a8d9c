"""Runs of long-running tasks that end while one leader follows another."""

import itertools
import os
import random
import typing

import long_running
import scheduler_fakes as fakes
import takeovers

KEY = long_running.KEY
# A task that fits beside short ones on one worker.
TASK_CPU = 12_000
# Interval at which a new leader is looked for.
STEP_MS = 5
# How long the first leader leads on after the preparation of a play.
LEAD_IN_MS = 3_000
# A killed process is replaced after this time, or restarts.
RESTART_MS = 1_000
# A leader is suspended, cut off or without answers for this long.
DISRUPTION_MS = 5_000
# A silent worker returns after its lease has ended.
SILENCE_MS = 8_000
# A drained worker leaves after this time.
DRAIN_MS = 5_000
REJECTED_STARTS = 3
# When a run ends, from the end of a leader; the last one is in the time without
# a leader, unless the leader was stopped as planned.
PHASES_MS = (0, -300, -2_000, 500)
# How long each leader but the first one leads.
LIVES_MS = (1_000, 3_000, 5_000, 7_000)
# How many leaders end.
COUNTS = (2, 8)
# Both, for the default cases.
DEFAULT_LIVES = ((1_000, 8), (3_000, 4), (5_000, 3), (7_000, 2))
# The fleet is kept full of short tasks of these queues.
FULL_PREFIXES = ("/urgent/", "/batch/")
# Time for which a play goes on at least under the last leader, so that a lease
# that is not renewed ends.
LEAD_OUT_MS = 7_000
# Longest time without a leader that lengthens a wait.
MAX_EXCUSED_MS = takeovers.DETECTION_MS + takeovers.STARTUP_MS
# Number of tasks, and duration, of a random play.
RANDOM_TASKS = 3
RANDOM_PLAY_MS = 40_000
# A worker crashes under a task at most this often in a random play, and never
# soon after its start, so that no task seems to be the cause.
MAX_CRASHES = 2


class Case(typing.NamedTuple):
    """When a run ends, and how many leaders end.

    Attributes:
        prefix: Prefix of the queue of the short tasks; empty on a free fleet.
        number: Number of the leader at whose end the run ends, from 0.
        phase_ms: When the run ends, from the end of that leader; but not before
            it leads.
        life_ms: How long each leader but the first one leads.
        count: How many leaders end.
    """

    prefix: str
    number: int
    phase_ms: int
    life_ms: int
    count: int


# ----------------------------------------------------------- ends of leaders


def add_node_later(sim, name=""):
    sim.after(
        RESTART_MS, lambda: sim.add_node(name or f"m{next(sim.sequence)}")
    )


def kill(sim, leader):
    """Kills the process; a node of another name joins."""
    sim.kill(leader.name)
    add_node_later(sim)


def restart(sim, leader):
    """Kills the process, which restarts under its name."""
    sim.kill(leader.name)
    add_node_later(sim, leader.name)


def lose_power(sim, leader):
    """Ends the host without a word; a node of another name joins."""
    sim.lose_node_power(leader.name)
    add_node_later(sim)


def stop(sim, leader):
    """Stops the process as planned; a node of another name joins."""
    sim.stop(leader)
    add_node_later(sim)


def suspend(sim, leader):
    def resume():
        if leader.alive and leader.paused_events is not None:
            sim.resume(leader)

    sim.pause(leader)
    sim.after(DISRUPTION_MS, resume)


def cut_off(sim, leader):
    """Cuts the leader off from the store."""
    disrupt_store(sim, leader, "silent")


def lose_answers(sim, leader):
    """Lets commits of the leader take effect, but loses their answers."""
    disrupt_store(sim, leader, "lose")


def disrupt_store(sim, leader, mode):
    sim.store.modes[leader.name] = mode
    sim.after(DISRUPTION_MS, lambda: sim.store.modes.pop(leader.name, None))


WAYS = {
    "kill": kill,
    "restart": restart,
    "power": lose_power,
    "stop": stop,
    "suspend": suspend,
    "cut": cut_off,
    "lose": lose_answers,
}
# Nobody can tell such an end from a slow link before the leader has been silent
# for some time. A wait may be longer by the last such time without a leader.
UNNOTICED_WAYS = ("power", "suspend", "cut")
# The leader may lead on after these.
PASSING_WAYS = ("suspend", "cut", "lose")


class Series:
    """Ends one leader after another.

    Attributes:
        plan: Iterator of (how long a leader leads, how it ends).
        on_leader: Called with the number of each leader, from 0, and how long
            it leads.
        ends: How leaders have ended, as (when, how).
        gaps: Times without a leader that lengthen waits, as (begin, end).
        finished: Whether the last leader of the plan leads.
    """

    def __init__(self, sim, plan, on_leader=None):
        self.sim = sim
        self.plan = plan
        self.on_leader = on_leader
        self.ends = []
        self.gaps = []
        self.finished = False
        self._former = None
        self._how = ""
        self._ended_at = 0

    def await_leader(self):
        """Waits for the next leader and lets it lead for a while."""
        if not self._has_leader():
            self.sim.after(STEP_MS, self.await_leader)
            return
        if self._how in UNNOTICED_WAYS:
            until = min(self.sim.now, self._ended_at + MAX_EXCUSED_MS)
            self.gaps.append((self._ended_at, until))
        step = next(self.plan, None)
        if step is None:
            self.finished = True
            return
        life_ms, how = step
        if self.on_leader is not None:
            self.on_leader(len(self.ends), life_ms)
        self.sim.after(life_ms, lambda: self._end_leader(how))

    def _has_leader(self):
        leader = self.sim.leader()
        if leader is None or leader is not self._former:
            return leader is not None
        if self._how not in PASSING_WAYS:
            return False
        return self.sim.now > self._ended_at + DISRUPTION_MS

    def _end_leader(self, how):
        leader = self.sim.leader()
        if not self._can_end(leader):
            self.sim.after(STEP_MS, lambda: self._end_leader(how))
            return
        self._former = leader
        self._how = how
        self._ended_at = self.sim.now
        self.ends.append((self.sim.now, how))
        WAYS[how](self.sim, leader)
        self.await_leader()

    def _can_end(self, leader):
        if leader is None or leader.paused_events is not None:
            return False
        return leader.name not in self.sim.store.modes

    def limit_ms(self, since, started_at):
        """Returns the longest wait that is allowed in this time."""
        limit_ms = takeovers.LOST_MS
        for begin, end in reversed(self.gaps):
            if begin < started_at and end > since:
                return limit_ms + min(end, started_at) - max(begin, since)
        return limit_ms


# -------------------------------------------------------------- ends of runs


def sound_workers(sim):
    found = []
    for name, worker in sim.workers.items():
        if name not in sim.silent_workers and not worker.draining:
            found.append(worker)
    return found


def fail(sim, key=KEY):
    long_running.fail_run(sim, key)


def fail_beside_gone_worker(sim, key=KEY):
    """Lets the run fail as another worker ends for good, still listed."""
    worker = long_running.worker_of(sim, key)
    others = [other for other in sound_workers(sim) if other is not worker]
    takeovers.remove_worker(sim, others[0], listed=True)
    fail(sim, key)


def crash_and_return(sim, key=KEY):
    """Crashes the worker, which returns under its name and address."""
    sim.names_return = True
    sim.crash_worker(long_running.worker_of(sim, key))


def lose_worker_power(sim, key=KEY):
    """Ends the worker without a word; it returns under its name."""
    sim.lose_power(long_running.worker_of(sim, key))


def crash_and_replace(sim, key=KEY):
    """Crashes the worker; another one comes up at its address."""
    sim.names_return = False
    sim.crash_worker(long_running.worker_of(sim, key))


def remove(sim, key=KEY, listed=True):
    """Ends the worker for good."""
    takeovers.remove_worker(sim, long_running.worker_of(sim, key), listed)


def unlist(sim, key=KEY):
    """Ends the worker for good; its entry goes with it."""
    remove(sim, key, listed=False)


def silence(sim, key=KEY):
    """Lets the lease of the worker end; it returns later."""
    worker = long_running.worker_of(sim, key)
    sim.silent_workers.add(worker.name)
    sim.after(SILENCE_MS, lambda: long_running.end_silence(sim, worker))


def stop_run(sim, key=KEY):
    """Lets a leader stop the run, as soon as one knows of it."""
    worker = long_running.worker_of(sim, key)
    run = worker.runs[key]

    def order():
        if worker.runs.get(key) is not run:
            return
        leader = sim.leader()
        if leader is not None and leader.paused_events is None:
            known = leader.state.leader.workers.get(worker.name)
            if known is not None and key in known.runs:
                long_running.stop_run(sim, key)
                return
        sim.after(STEP_MS, order)

    order()


def reject_starts(sim, key=KEY):
    long_running.reject_starts(sim, key, REJECTED_STARTS)
    long_running.fail_run(sim, key)


def drain(sim, key=KEY):
    """Drains the worker, which leaves later."""
    worker = long_running.worker_of(sim, key)
    long_running.drain_worker(sim, worker)
    sim.after(
        DRAIN_MS, lambda: takeovers.remove_worker(sim, worker, listed=False)
    )


RUN_ENDS = (
    fail,
    crash_and_return,
    lose_worker_power,
    crash_and_replace,
    remove,
    unlist,
    silence,
    stop_run,
    reject_starts,
    drain,
    fail_beside_gone_worker,
)
# Random plays have such pairs of ends by themselves.
RANDOM_ENDS = RUN_ENDS[:-1]
# After these the worker does not return.
FINAL_ENDS = (remove, unlist, drain)
# The worker of the run crashes.
CRASHES = (
    crash_and_return,
    lose_worker_power,
    crash_and_replace,
    remove,
    unlist,
)


# --------------------------------------------------------------------- plays


def plays_all():
    """Returns whether all cases are to be played, not only a choice."""
    return os.environ.get("LEADER_SERIES") == "all"


def cases(end_run, how, full):
    """Returns the cases to play on a free or a full fleet."""
    if plays_all():
        prefixes = FULL_PREFIXES if full else ("",)
        counts = COUNTS[-1:] if full else COUNTS
        fields = (prefixes, (0, 1), PHASES_MS, LIVES_MS, counts)
        return list(itertools.starmap(Case, itertools.product(*fields)))
    if full:
        return [Case("/urgent/", 0, phase, 1_000, 5) for phase in (0, -300)]
    first = RUN_ENDS.index(end_run) + list(WAYS).index(how)
    found = []
    for number in (0, 1):
        # The shortest lives for the first case, each of the others for some.
        life_ms, count = DEFAULT_LIVES[number * (1 + first % 3)]
        phase_ms = PHASES_MS[(first + 1 + 2 * number) % len(PHASES_MS)]
        found.append(Case("", number, phase_ms, life_ms, count))
    return found


def play(deployment, how, end_run, case):
    """Plays a series of leaders, and returns the simulation and the series."""
    sim = long_running.prepare(deployment, case.prefix, cpu=TASK_CPU)
    plan = [(LEAD_IN_MS, how)] + (case.count - 1) * [(case.life_ms, how)]

    def end_run_later(number, life_ms):
        if number != case.number:
            return
        delay_ms = life_ms + case.phase_ms
        if end_run is stop_run:
            # This leader has to order it.
            delay_ms = min(delay_ms - fakes.STOP_DURATION_MS, life_ms - 10)
        sim.after(max(0, delay_ms), lambda: end_run(sim))

    series = Series(sim, iter(plan), end_run_later)
    series.await_leader()
    finish(sim, series, (KEY,))
    return sim, series


def finish(sim, series, keys):
    """Runs until the last leader leads, and all tasks run or are too late."""
    until = sim.now + 120_000
    while not series.finished:
        assert sim.now < until, "no leader"
        sim.run(100)
    sim.run(LEAD_OUT_MS)
    until = sim.now + takeovers.LOST_MS + MAX_EXCUSED_MS
    while sim.now < until:
        if all(long_running.worker_of(sim, key) for key in keys):
            return
        sim.run(100)


def find_late_starts(sim, series, keys):
    """Returns waits that are too long, and tasks that do not run."""
    found = []
    for key in keys:
        for wait_ms, since, outcome in long_running.find_waits(sim, key):
            limit_ms = series.limit_ms(since, since + wait_ms)
            if wait_ms > limit_ms:
                found.append(
                    f"{key} waits {wait_ms} ms of {limit_ms} from {since}:"
                    f" {outcome}"
                )
    return found


def check(deployment, how, end_run, full=False):
    """Asserts that a task runs again in time, and once, in all cases."""
    found = []
    for case in cases(end_run, how, full):
        sim, series = play(deployment, how, end_run, case)
        late = find_late_starts(sim, series, (KEY,)) + sim.find_problems()
        if late:
            found.append((case, late, series.ends))
        assert long_running.find_waits(sim), (case, "the run did not end")
    assert not found, "\n".join(map(str, found))


# -------------------------------------------------------------- random plays


def random_plan(rng):
    """Yields how long leaders lead, and how they end."""
    while True:
        yield rng.randint(500, 7_500), rng.choice(list(WAYS))


def end_random_run(sim, rng, keys, crashes):
    """Ends a run if enough sound workers are left; returns how, and which."""
    end_run = rng.choice(RANDOM_ENDS)
    key = rng.choice(keys)
    worker = long_running.worker_of(sim, key)
    if worker not in sound_workers(sim):
        return None
    if len(sound_workers(sim)) <= long_running.WORKERS:
        return None
    if end_run in CRASHES:
        lost = [other for other in worker.runs if other in keys]
        if any(crashes[other] == MAX_CRASHES for other in lost):
            return None
        latest = max(worker.runs[other][1] for other in lost)
        if sim.now - latest < long_running.PAST_TRIAL_MS:
            return None
        for other in lost:
            crashes[other] += 1
    end_run(sim, key)
    if end_run in FINAL_ENDS:
        sim.after(
            rng.randint(500, 4_000),
            lambda: takeovers.add_worker(sim, f"new{next(sim.sequence)}"),
        )
    return end_run.__name__, key


def play_random(seed):
    """Plays random ends of runs and leaders; returns what broke a rule."""
    rng = random.Random(seed)
    sim = fakes.Sim(
        nodes=4,
        workers=long_running.WORKERS + 2,
        configuration=long_running.CONFIGURATION,
    )
    long_running.note_lapses(sim)
    sim.run(2_000)
    cpu = rng.choice((4_000, 8_000, 12_000, 16_000))
    sim.submit(1, takeovers.lasting(RANDOM_TASKS, cpu))
    keys = [fakes.first_key(1, index) for index in range(RANDOM_TASKS)]
    sim.run(long_running.PAST_TRIAL_MS)
    prefix = rng.choice(("", "/batch/", "/urgent/"))
    if prefix:
        long_running.keep_full(sim, rng, prefix)
    series = Series(sim, random_plan(rng))
    series.await_leader()
    crashes = dict.fromkeys(keys, 0)
    ends = []
    until = sim.now + RANDOM_PLAY_MS
    while sim.now < until:
        sim.run(rng.randint(300, 4_000))
        end = end_random_run(sim, rng, keys, crashes)
        if end is not None:
            ends.append((sim.now, *end))
    series.plan = iter(())
    finish(sim, series, keys)
    found = find_late_starts(sim, series, keys) + sim.find_problems()
    return found, sorted(ends + series.ends)
