"""Replays of overload through the decisions about waiting work."""

import heapq
import random

import scheduler_fakes as fakes

from skylarklug.scheduler import order
from skylarklug.scheduler import waiting

# A burst: jobs arrive for four seconds at 2.6 times the rate that fits, as
# batch jobs do on the users' large site, and at half of it afterwards.
SLOTS = 20
TASK_MS = 1_700
SEED = 20261204


class Job:
    def __init__(self, number, arrives, width):
        self.number = number
        self.arrives = arrives
        self.width = width
        self.left = width
        self.running = 0
        self.deadline = arrives + 2 * TASK_MS + 1_000
        self.done_at = None

    def urgency(self, has_deadline=True):
        return order.Urgency(2, self.arrives, self.deadline, has_deadline)


def burst():
    rng = random.Random(SEED)
    jobs = []
    at = 0.0
    while at < 20_000:
        load = 2.6 if at < 4_000 else 0.5
        width = rng.randint(2, 12)
        at += width * TASK_MS / SLOTS / load
        jobs.append(Job(len(jobs), int(at), width))
    return jobs


def replay(jobs, key):
    """Runs the jobs on SLOTS slots, in the order of `key(job, now)`."""
    events = [(job.arrives, 0, job.number) for job in jobs]
    heapq.heapify(events)
    free = SLOTS
    present = set()
    while events:
        now, kind, number = heapq.heappop(events)
        job = jobs[number]
        if kind == 0:
            present.add(job)
        else:
            free += 1
            job.running -= 1
            if not job.left and not job.running:
                job.done_at = now
        while free and any(job.left for job in present):
            job = min(
                (job for job in present if job.left),
                key=lambda job: (*key(job, now), job.number),
            )
            job.left -= 1
            job.running += 1
            free -= 1
            heapq.heappush(events, (now + TASK_MS, 1, job.number))
    return sum(job.done_at <= job.deadline for job in jobs)


def most_on_time(jobs):
    """Returns an upper bound of the jobs that any order finishes in time.

    Moore and Hodgson's algorithm, for one machine with the speed of all slots,
    on which a job needs no time beyond its share of the work.
    """
    used = 0.0
    kept = []
    for job in sorted(jobs, key=lambda job: job.deadline):
        work = job.width * TASK_MS / SLOTS
        used += work
        heapq.heappush(kept, -work)
        if used > job.deadline:
            used += heapq.heappop(kept)
    return len(kept)


class TestBurst:
    def test_late_jobs_do_not_hold_back_the_others(self):
        """Guards against a backlog that makes every later job late."""
        jobs = burst()
        on_time = replay(
            jobs, lambda job, now: order.sort_key(job.urgency(), now)
        )
        by_arrival = replay(burst(), lambda job, now: (job.arrives,))
        bound = most_on_time(jobs)
        assert by_arrival < on_time <= bound
        assert all(job.done_at for job in jobs)


class TestSortKey:
    def test_classes(self):
        """Guards against jobs that cannot earn anything before those that
        can, and against long-running tasks that count as late."""
        urgency = order.Urgency(1, 1_000, 2_000, True)
        assert order.lateness(urgency, 2_000) == order.ON_TIME
        assert order.lateness(urgency, 2_001) == order.LATE
        assert order.lateness(urgency, 4_000) == order.LATE
        assert order.lateness(urgency, 4_001) == order.EXPIRED
        timeless = urgency._replace(has_deadline=False)
        assert order.lateness(timeless, 9_000) == order.ON_TIME
        first = urgency._replace(priority=0)
        assert order.sort_key(first, 9_000) < order.sort_key(urgency, 0)


class TestWaiting:
    def placed(self, sim):
        return [fields for _, _, fields in sim.log_of("place")]

    def test_wait_is_counted_from_acceptance_over_a_takeover(self, deployment):
        """Guards against work that looks new to each new leader, so that
        nothing shows how long it has waited."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(2, cpu=16_000, estimate_ms=9_000))
        for worker in sim.workers.values():
            worker.run_ms = 8_000
        sim.run(500)
        sim.submit(2, fakes.step(1, cpu=16_000))
        sim.run(1_000)
        sim.kill(sim.leader().name)
        sim.run(12_000)
        found = self.placed(sim)[-1]
        assert found["task"].startswith(fakes.job_id(2))
        assert found["waited_ms"] > 6_000
        assert found["waited_for"] == waiting.RESOURCES

    def test_second_step_waits_from_the_end_of_the_first(self, deployment):
        """Guards against the run time of a step that is logged as a wait."""
        sim = deployment(workers=2)
        for worker in sim.workers.values():
            worker.run_ms = 3_000
        sim.submit(1, fakes.step(1), fakes.step(1, after=(0,)))
        sim.run(6_000)
        assert self.placed(sim)[-1]["waited_ms"] < 500
        assert self.placed(sim)[-1]["waited_for"] in ("nothing", *waiting.ALL)

    def test_reasons_are_counted(self, deployment):
        """Guards against waiting work without a reason in the metrics."""
        sim = deployment(workers=2)
        measured = {}

        def record(node, effect):
            if effect.name == "skylarklug.tasks.waiting":
                measured[effect.attributes["reason"]] = effect.value

        sim.on_Measure = record
        sim.submit(1, fakes.step(3, cpu=16_000, runs_until_cancelled=True))
        sim.submit(2, fakes.step(2, label="none"))
        sim.run(5_000)
        assert measured[waiting.RESOURCES] == 1
        assert measured[waiting.NO_WORKER] == 2
        assert set(measured) == set(waiting.ALL)
