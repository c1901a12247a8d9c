"""Series of take-overs in the simulation, for the tests of their waits."""

import pytest
import scheduler_fakes as fakes

# From the platform's pages: the longest lease of a worker, whose clock may be
# 2% slow, and the margin of the scheduler.
LEASE_MS = 6_620
# A node claims once the leader has been silent for this long.
DETECTION_MS = 2_400
# A leader that is silent for others may send orders for this long after that.
FORMER_PERMISSION_MS = 3_600
# Time for a claim, the reads of a new leader, its polls and its starts.
STARTUP_MS = 1_000
# From the rules: a task that lasts must run again this long after its last run
# has ended.
LOST_MS = 9_000
# Time after a disruption of which the rules ask nothing.
CALM_MS = 7_000
# Age from which a run is not suspected of having crashed its worker.
OLD_RUN_MS = 12_000
SERIES_MS = 22_000
GAP_MS = 2_000
WHOLE_WORKER = 16_000

LISTED = pytest.mark.parametrize(
    "listed", (True, False), ids=("listed", "gone")
)


def lost_limit_ms(how):
    """Returns the longest wait over a take-over after a leader ended."""
    if how == "stop":
        return LOST_MS
    # Nobody may start a task between the two leaders.
    return LOST_MS + DETECTION_MS + FORMER_PERMISSION_MS + STARTUP_MS


def lasting(count, cpu=WHOLE_WORKER):
    return fakes.step(count, cpu=cpu, runs_until_cancelled=True)


def add_worker(sim, name):
    """Adds a worker to the list of workers and returns it."""
    worker = fakes.Worker(sim, name)
    sim.workers[name] = worker
    sim.publish_workers()
    return worker


def add_unreached_worker(sim, name="mute"):
    """Adds a listed worker that no node ever reaches."""
    sim.silent_workers.add(name)
    return add_worker(sim, name)


def list_worker(sim, name, listed):
    if listed:
        sim.unlisted_workers.discard(name)
    else:
        sim.unlisted_workers.add(name)
    sim.publish_workers()


def remove_worker(sim, worker, listed):
    """Ends a worker for good; its entry may stay.

    Returns when the latest lease that it had was granted.
    """
    granted_at = worker.lease_until - fakes.MAX_LEASE_MS
    sim.silent_workers.add(worker.name)
    worker.crash(worker.incarnation + 1)
    list_worker(sim, worker.name, listed)
    return granted_at


def end_leader(sim, how):
    """Ends the leader; another node joins.

    It is stopped ("stop"), killed ("kill"), or its host loses power ("power").

    Returns the former leader.
    """
    run_until_leader(sim)
    leader = sim.leader()
    if how == "stop":
        sim.stop(leader)
    elif how == "kill":
        sim.kill(leader.name)
    else:
        sim.lose_node_power(leader.name)
    sim.add_node(f"m{next(sim.sequence)}")
    return leader


def run_until_leader(sim, former=None, limit_ms=20_000):
    """Runs until a node leads that is not `former`."""
    end = sim.now + limit_ms
    while sim.leader() in (None, former):
        assert sim.now < end, "no leader"
        sim.run(1)


def play_series(sim, how, duration_ms=SERIES_MS, gap_ms=GAP_MS):
    """Ends the leader, and each other one `gap_ms` after it took over."""
    end = sim.now + duration_ms
    number = 0
    while sim.now < end:
        former = end_leader(sim, how[number % len(how)])
        run_until_leader(sim, former)
        sim.run(gap_ms)
        number += 1


def run_until_stopped(sim, key, limit_ms=5_000):
    """Runs until no worker runs a task; returns when its run ended."""
    end = sim.now + limit_ms
    while any(key in worker.runs for worker in sim.workers.values()):
        assert sim.now < end, "still runs"
        sim.run(1)
    return sim.now


def first_start(sim, key, since):
    """Returns when a task was first started after `since`, or None."""
    times = [row[0] for row in sim.starts if row[1] == key and row[0] > since]
    return min(times, default=None)


def assert_started(sim, key, since, until):
    """Asserts that a task was started between the two times."""
    started_at = first_start(sim, key, since)
    assert started_at is not None, (key, "never")
    assert started_at <= until, (key, started_at - until, "ms late")


def run_lasting_job(sim, count):
    """Submits a job whose tasks fill a worker each; they run for a while."""
    sim.submit(1, lasting(count))
    sim.run(OLD_RUN_MS)
    assert len(sim.running(1)) == count
    return {worker: key for key, worker in sim.running(1)}


def play_takeovers(sim, how, gap_ms=GAP_MS, on_node=None):
    """Ends a leader in each of the given ways, each after a while.

    `on_node` is called whenever a node has joined.
    """
    for number, kind in enumerate(how):
        if number:
            sim.run(gap_ms)
        former = end_leader(sim, kind)
        if on_node is not None:
            on_node()
        run_until_leader(sim, former)
