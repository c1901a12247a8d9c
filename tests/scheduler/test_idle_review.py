"""Waits of long-running tasks for which reservations do not suffice.

The bound is that of `test_long_running_waits`: a long-running task runs again
within `takeovers.LOST_MS` after its last run.
"""

import random

import long_running
import pytest
import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import events
from skylarklug.scheduler import jobs
from skylarklug.scheduler import orders
from skylarklug.scheduler import placement
from skylarklug.scheduler import records
from skylarklug.scheduler import reservations
from skylarklug.scheduler import scoring
from skylarklug.scheduler import state as state_lib

FULL_FLEETS = pytest.mark.parametrize(
    "prefix", ("/batch/", "/urgent/"), ids=("full", "urgent")
)
# Time after which a task that has never run is overdue, and some more.
FIRST_RUN_MS = 32_000


def lasting(count=1, **fields):
    return fakes.step(
        count, runs_until_cancelled=True, max_unavailable=0, **fields
    )


class TestTasksWithoutWorker:
    @FULL_FLEETS
    def test_they_keep_reservations_from_others(self, deployment, prefix):
        """Guards against a task that gets no reservation because eight older
        steps fit on no worker at all."""
        sim = long_running.prepare(deployment, "", cpu=12_000)
        for number in range(2, 10):
            sim.submit(number, lasting(cpu=17_000))
        sim.run(FIRST_RUN_MS)
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(long_running.SHORT_RUN_MS[1])
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)

    @FULL_FLEETS
    def test_they_keep_others_from_using_reservations(self, deployment, prefix):
        """Guards against a task that has a reservation and is not started,
        because eight older steps that fit on no worker become overdue."""
        sim = long_running.prepare(deployment, "", cpu=16_000)
        long_running.keep_full(sim, random.Random(7), prefix)
        for number in range(2, 10):
            sim.submit(number, lasting(cpu=17_000))
        sim.run(30_000 - 3_300)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestTasksThatAlwaysFail:
    @FULL_FLEETS
    @pytest.mark.parametrize("count", (1, 2, 4))
    def test_they_keep_reservations_from_others(
        self, deployment, prefix, count
    ):
        """Guards against a task that gets no reservation because those of tasks
        that fail at each start are made anew."""
        sim = long_running.prepare(deployment, prefix, cpu=12_000)
        sim.submit(2, lasting(count, cpu=12_000))
        for index in range(count):
            sim.failing_tasks.add(fakes.first_key(2, index))
        sim.run(FIRST_RUN_MS + 10_000)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)

    def test_they_preempt_sound_ones(self, deployment):
        """Guards against tasks of a newer job that are stopped again and again
        for one that fails at each start."""
        sim = deployment(workers=5)
        sim.failing_tasks.add(long_running.KEY)
        sim.submit(1, lasting(cpu=12_000))
        sim.run(long_running.PAST_TRIAL_MS)
        step = fakes.step(5, cpu=16_000, runs_until_cancelled=True)
        sim.submit(2, step)
        sim.run(60_000)
        late = []
        for index in range(5):
            key = fakes.first_key(2, index)
            for wait in long_running.find_waits(sim, key):
                if wait[0] > takeovers.LOST_MS:
                    late.append((key, wait))
        assert not late


class TestGang:
    @FULL_FLEETS
    def test_gang_waits_for_room(self, deployment, prefix):
        """Guards against a gang that runs until cancelled and gets no
        reservations after its runs have ended."""
        sim = deployment(workers=5, configuration=long_running.CONFIGURATION)
        sim.submit(1, lasting(2, cpu=12_000, gang=True))
        sim.run(long_running.PAST_TRIAL_MS)
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(2 * takeovers.LOST_MS)
        long_running.check_waits_so_far(sim, count=2)


class TestManyTasks:
    @FULL_FLEETS
    @pytest.mark.parametrize("count", (4, 5))
    def test_tasks_wait_for_each_others_reservations(
        self, deployment, prefix, count
    ):
        """Guards against tasks that fail at once and get one reservation after
        another, where all of them fit beside each other."""
        sim = long_running.prepare(
            deployment, prefix, count=count, cpu=12_000, max_per_worker=1
        )
        for index in range(count):
            long_running.fail_run(sim, fakes.first_key(1, index))
        sim.run(takeovers.LOST_MS + 1_000)
        long_running.check(sim, count=count)


class TestLargeTask:
    @FULL_FLEETS
    def test_it_waits_for_small_reservations(self, deployment, prefix):
        """Guards against a task above the limit of reservations that waits
        while others below it hold one after another."""
        sim = long_running.prepare(deployment, "", cpu=16_000)
        sim.submit(2, lasting(6, cpu=8_000))
        sim.run(long_running.PAST_TRIAL_MS)
        long_running.keep_full(
            sim, random.Random(7), prefix, ({"cpu": 4_000}, {"cpu": 8_000})
        )
        sim.run(long_running.SHORT_RUN_MS[1])
        for index in range(6):
            key = fakes.first_key(2, index)
            sim.after(500 * index, lambda key=key: fail_if_running(sim, key))
            sim.after(
                500 * index + 5_000, lambda key=key: fail_if_running(sim, key)
            )
        sim.run(300)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


def fail_if_running(sim, key):
    if long_running.worker_of(sim, key) is not None:
        long_running.fail_run(sim, key)


class TestLongTasks:
    @FULL_FLEETS
    def test_task_waits_for_the_end_of_long_ones(self, deployment, prefix):
        """Guards against a task that waits for batch tasks that take longer
        than the platform allows, as nothing is stopped for it."""
        sim = long_running.prepare(deployment, "", cpu=12_000)
        for worker in sim.workers.values():
            worker.run_ms = 30_000
        for number in range(100, 140):
            step = fakes.step(
                4, cpu=4_000, estimate_ms=30_000, checkpoints=True
            )
            sim.submit(number, step, prefix=prefix)
        sim.run(3_000)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestTasksThatHaveNeverRun:
    def test_they_take_the_place_of_a_failed_one(self, deployment):
        """Guards against a task that fails and loses its place for good to one
        of a newer job that has never run."""
        sim = deployment(workers=5)
        sim.submit(1, lasting(cpu=16_000))
        sim.run(long_running.PAST_TRIAL_MS)
        sim.submit(2, lasting(5, cpu=16_000))
        sim.run(FIRST_RUN_MS)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestMemory:
    @pytest.mark.parametrize(
        "need",
        ({"cpu": 15_000}, {"cpu": 1_000, "memory_mb": 60_000}),
        ids=("cpu", "memory"),
    )
    def test_lack_of_memory_alone_preempts_nothing(self, deployment, need):
        """Guards against a task of the oldest job that never runs again because
        newer ones have the memory, but not the CPU, of all workers."""
        sim = deployment(workers=5)
        step = fakes.step(runs_until_cancelled=True, **need)
        sim.submit(1, step)
        sim.run(long_running.PAST_TRIAL_MS)
        sim.submit(2, step._replace(count=4))
        sim.run(2 * long_running.PAST_TRIAL_MS)
        assert len(sim.running(2)) == 4
        takeovers.remove_worker(sim, long_running.worker_of(sim), listed=False)
        long_running.run_until_started(sim, limit_ms=15_000)
        assert sim.running(1)


class TestSmallTasks:
    def test_none_of_them_alone_makes_room(self, deployment):
        """Guards against a task of the oldest job that never runs again because
        each task of newer jobs on all workers is smaller than it."""
        sim = deployment(workers=5)
        sim.submit(1, fakes.step(cpu=12_000, runs_until_cancelled=True))
        sim.run(long_running.PAST_TRIAL_MS)
        sim.submit(2, fakes.step(16, cpu=4_000, runs_until_cancelled=True))
        sim.run(2 * long_running.PAST_TRIAL_MS)
        takeovers.remove_worker(sim, long_running.worker_of(sim), listed=False)
        long_running.run_until_started(sim, limit_ms=15_000)
        assert sim.running(1)


class TestLostWorkers:
    @FULL_FLEETS
    @pytest.mark.parametrize("lost", (2, 4, 6))
    def test_their_tasks_wait_for_each_other(self, deployment, prefix, lost):
        """Guards against tasks of workers that are gone at once, most of which
        get a reservation only once those of others have been used."""
        sim = deployment(workers=12, configuration=long_running.CONFIGURATION)
        long_running.note_lapses(sim)
        sim.submit(1, lasting(lost, cpu=12_000, max_per_worker=1))
        sim.run(long_running.PAST_TRIAL_MS)
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(long_running.SHORT_RUN_MS[1])
        for index in range(lost):
            key = fakes.first_key(1, index)
            worker = long_running.worker_of(sim, key)
            takeovers.remove_worker(sim, worker, listed=False)
        sim.run(takeovers.LOST_MS + 1_000)
        long_running.check(sim, count=lost)

    @FULL_FLEETS
    def test_their_tasks_wait_for_each_other_on_a_large_fleet(
        self, deployment, prefix
    ):
        """Guards against the same where each task is a small share of all."""
        sim = deployment(workers=40, configuration=long_running.CONFIGURATION)
        long_running.note_lapses(sim)
        sim.submit(1, lasting(12, cpu=12_000, max_per_worker=1))
        sim.run(long_running.PAST_TRIAL_MS)
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(2 * long_running.SHORT_RUN_MS[1])
        for index in range(12):
            key = fakes.first_key(1, index)
            worker = long_running.worker_of(sim, key)
            takeovers.remove_worker(sim, worker, listed=False)
        sim.run(takeovers.LOST_MS + 1_000)
        long_running.check(sim, count=12)


class TestLinks:
    @FULL_FLEETS
    def test_failed_polls_remove_reservations(self, deployment, prefix):
        """Guards against a task that waits because each failed poll of a worker
        gives away what was kept free on it."""
        sim = long_running.prepare(deployment, prefix, cpu=16_000)
        rng = random.Random(3)

        def cut(worker):
            sim.silent_workers.add(worker.name)
            sim.after(100, lambda: sim.silent_workers.discard(worker.name))
            sim.after(rng.randint(600, 1_400), lambda: cut(worker))

        for worker in list(sim.workers.values()):
            cut(worker)
        sim.run(1_000)
        while long_running.worker_of(sim) is None:
            sim.run(10)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestSilentWorker:
    @FULL_FLEETS
    def test_task_that_fits_nowhere_keeps_reservations_from_others(
        self, deployment, prefix
    ):
        """Guards against tasks of a silent worker that get no reservations
        before their runs count as lost, as one beside them fits nowhere."""
        sim = deployment(workers=5, configuration=long_running.CONFIGURATION)
        long_running.note_lapses(sim)
        sim.workers["w0"].labels = ("only", "r1")
        sim.publish_workers()
        sim.run(2_000)
        sim.submit(2, lasting(cpu=1_000, label="only"))
        sim.run(1_000)
        for name, worker in sim.workers.items():
            if name != "w0":
                worker.draining = True
        sim.publish_workers()
        sim.run(1_000)
        sim.submit(1, lasting(cpu=14_000))
        sim.run(1_000)
        for worker in sim.workers.values():
            worker.draining = False
        sim.publish_workers()
        sim.run(2_000)
        assert sim.running(1)[0][1] == sim.running(2)[0][1] == "w0"
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(long_running.SHORT_RUN_MS[1])
        takeovers.remove_worker(sim, sim.workers["w0"], listed=False)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestTakeover:
    @FULL_FLEETS
    @pytest.mark.parametrize("how", ("stop", "kill", "power"))
    def test_lost_task_waits_for_the_new_leader_and_room(
        self, deployment, prefix, how
    ):
        """Guards against a task that may run unseen, gets no reservation until
        that is ruled out, and waits for room only then."""
        sim = long_running.prepare(deployment, prefix, cpu=12_000)
        worker = long_running.worker_of(sim)
        takeovers.remove_worker(sim, worker, listed=False)
        takeovers.end_leader(sim, how)
        limit_ms = takeovers.lost_limit_ms(how)
        long_running.run_until_started(sim, limit_ms=limit_ms)
        long_running.check(sim, limit_ms=limit_ms)


class TestTasksThatCrashWorkers:
    @pytest.mark.parametrize("poll_delay_ms", (0, 700))
    def test_late_report_of_a_failure_clears_the_crashes(
        self, deployment, poll_delay_ms
    ):
        """Guards against a task that crashes worker after worker, because a
        failure in between is taken for a run that has outlasted the crashes."""
        sim = deployment(workers=6)
        for worker in sim.workers.values():
            worker.poll_delay_ms = poll_delay_ms
        key = fakes.first_key(1)
        original = sim.on_StartRun
        count = 0

        def start(node, effect):
            nonlocal count
            worker = sim.workers.get(effect.worker)
            if effect.key == key and worker is not None:
                count += 1

                def spoil(number=count):
                    fatal = number % 2
                    sim.fatal_tasks.discard(key)
                    sim.failing_tasks.discard(key)
                    (sim.fatal_tasks if fatal else sim.failing_tasks).add(key)

                sim.after(fakes.LINK_DELAY_MS, spoil)
            original(node, effect)

        sim.on_StartRun = start
        sim.submit(1, lasting())
        sim.run(60_000)
        crashes = [row for row in sim.history if row[4] == "crashed"]
        assert len(crashes) <= 3, crashes

    @pytest.mark.parametrize("seed", (0, 3, 4))
    def test_failures_in_between_clear_the_crashes(self, deployment, seed):
        """Guards against a task that crashes worker after worker, because of
        its other runs, which fail, some last longer than those that crash."""
        rng = random.Random(seed)
        sim = deployment(workers=6)
        key = fakes.first_key(1)
        original = sim.on_StartRun

        def start(node, effect):
            worker = sim.workers.get(effect.worker)
            ends_in_ms = rng.randint(100, 6_000)

            def arrive():
                run = worker.runs.get(key)

                def end():
                    if run is None or worker.runs.get(key) is not run:
                        return
                    if rng.random() < 0.5:
                        worker.end(key, "failed")
                    else:
                        sim.crash_worker(worker)

                sim.after(ends_in_ms, end)

            if effect.key == key and worker is not None:
                sim.after(fakes.LINK_DELAY_MS + 1, arrive)
            original(node, effect)

        sim.on_StartRun = start
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(120_000)
        crashes = [row for row in sim.history if row[4] == "crashed"]
        # The platform allows two further starts after three crashes.
        assert len(crashes) <= 5, crashes

    @FULL_FLEETS
    @pytest.mark.parametrize("count", (1, 2))
    def test_trials_wait_for_room(self, deployment, prefix, count):
        """Guards against a task whose next run is a trial, and that waits for a
        worker that can be kept free for it."""
        sim = long_running.prepare(
            deployment, prefix, count=count, cpu=8_000, max_per_worker=1
        )
        for index in range(count):
            key = fakes.first_key(1, index)

            def crash(worker, key=key):
                sim.after(10, lambda: sim.crash_worker(worker))

            long_running.on_starts(sim, key, 1, crash)
            long_running.fail_run(sim, key)
        sim.run(2 * takeovers.LOST_MS)
        long_running.check(sim, count=count)


class TestWorkerThatRejects:
    @FULL_FLEETS
    def test_task_returns_to_it_again_and_again(self, deployment, prefix):
        """Guards against a task that waits on a full fleet because it keeps its
        reservation on a worker that rejects each of its starts."""
        sim = long_running.prepare(deployment, prefix, cpu=12_000)

        def reject(worker):
            worker.enforces_capacity = True
            worker.has_room = lambda key: key != long_running.KEY

        long_running.on_starts(sim, long_running.KEY, 1, reject)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestBestEffortTasks:
    def test_reservations_keep_them_from_a_worker(self, deployment):
        """Guards against best-effort tasks, which reserve no CPU, that start on
        no worker where CPU is kept free, however long that takes."""
        sim = deployment(workers=1)
        (worker,) = sim.workers.values()
        sim.submit(1, lasting(cpu=4_000))
        sim.run(long_running.PAST_TRIAL_MS)
        worker.run_ms = 30_000
        sim.submit(2, fakes.step(12, cpu=2_000, estimate_ms=30_000))
        sim.run(1_000)
        long_running.fail_run(sim)
        sim.run(4_000)
        assert not sim.running(1)
        worker.run_ms = 500
        sim.submit(3, fakes.step(cpu=500, best_effort=True))
        sim.run(takeovers.LOST_MS)
        assert sim.state_of(3) == "done"


class TestAdvice:
    @FULL_FLEETS
    @pytest.mark.parametrize("allowed", (("w1",), ("w1", "w3")))
    @pytest.mark.parametrize("delay_ms", (0, 100, 200, 300, 400))
    def test_expired_tickets_remove_reservations(
        self, deployment, prefix, allowed, delay_ms
    ):
        """Guards against a task that waits because what is kept free for it is
        given away while the advice on its workers is renewed."""
        sim = deployment(workers=5)
        advised = fakes.QUEUE._replace(
            name="advised",
            prefix="/advised/",
            advice=records.Advice(10, 2, 2_000),
        )
        queues = {**long_running.CONFIGURATION.queues, "advised": advised}
        cfg = long_running.CONFIGURATION._replace(version=2, queues=queues)
        for node in sim.nodes.values():
            sim.dispatch(node, events.ConfigurationRead(sim.now, cfg))
        sim.offered_tickets = {name: "t" for name in allowed}
        sim.submit(1, lasting(cpu=16_000), prefix="/advised/")
        sim.run(long_running.PAST_TRIAL_MS)
        assert sim.running(1)
        long_running.keep_full(sim, random.Random(7), prefix)
        sim.run(long_running.SHORT_RUN_MS[1] + delay_ms)
        long_running.fail_run(sim)
        long_running.run_until_started(sim)
        long_running.check(sim)


class TestLargeFleet:
    WORKERS = 1_600
    RUNS_PER_WORKER = 8

    def fill(self, leader):
        """Adds runs of short tasks until all workers are full."""
        job = leader.jobs[fakes.job_id(1)]
        step = fakes.step(cpu=2_000, estimate_ms=3_000)
        number = 0
        for worker in leader.workers.values():
            worker.used = [0, 0, 0]
            worker.runs = {}
            for _ in range(self.RUNS_PER_WORKER):
                number += 1
                key = records.TaskKey(fakes.job_id(2), 0, 0, number)
                run = state_lib.Task(job, key, step)
                run.status = state_lib.WORKING
                orders.reserve_resources(worker, run)

    def prepare(self, deployment, count):
        """Returns the state, tasks that are overdue, and their candidates."""
        sim = deployment(workers=self.WORKERS)
        sim.submit(1, lasting(count, cpu=4_000))
        sim.run(1_500)
        state = sim.leader().state
        leader = state.leader
        self.fill(leader)
        waiting = []
        for task in leader.jobs[fakes.job_id(1)].tasks.values():
            task.status = state_lib.WAITING
            task.worker = ""
            task.last_end = "failed"
            task.idle_since = state.now - 4_000
            waiting.append(task)
        leader.eligible_workers = {}
        candidates = placement._eligible_workers(state, waiting[0])
        assert len(candidates) == self.WORKERS
        return state, waiting, candidates

    def count_calls(self, monkeypatch, module, name):
        """Returns a list that grows with each call of a function."""
        calls = []
        original = getattr(module, name)

        def count(*args, **kwargs):
            calls.append(name)
            return original(*args, **kwargs)

        monkeypatch.setattr(module, name, count)
        return calls

    @pytest.mark.parametrize("count", (50, 200))
    def test_pass_reviews_all_reservations(
        self, deployment, monkeypatch, count
    ):
        """Guards against a leader that spends each pass on the reservations of
        tasks that were lost together, and does nothing else."""
        state, waiting, _ = self.prepare(deployment, count)
        for task in waiting:
            jobs.enqueue(state.leader, task)
            task.not_before = 0
        compared = self.count_calls(monkeypatch, reservations, "_ready_in_ms")
        searches = self.count_calls(monkeypatch, scoring, "best_worker")
        passes = 0
        while len(state.leader.reservations) < count:
            compared.clear()
            placement._place_overdue(state, [])
            passes += 1
            assert passes <= count
            assert len(compared) <= (
                reservations.MAX_REVIEWS * reservations.MAX_CANDIDATES
            )
            state.now += placement.OVERDUE_INTERVAL_MS
            for worker in state.leader.workers.values():
                worker.answered_at = state.now
        assert len(searches) >= count
        scored = self.count_calls(monkeypatch, scoring, "_score")
        for reservation in list(state.leader.reservations.values()):
            key = reservation.task.key
            state.leader.reservations[key] = reservation._replace(
                reviewed_at=state.now
            )
        placement._place_overdue(state, [])
        # Only on the reserved worker, with a bound and in full.
        assert len(scored) <= 2 * count
