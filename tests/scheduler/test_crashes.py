import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import crashes
from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# The platform allows two further starts after three workers have crashed.
MAX_STARTS = 5


def fatal_task(sim, number, index=0):
    """Makes a task of a job crash each worker that starts it."""
    key = fakes.first_key(number, index)
    sim.fatal_tasks.add(key)
    return key


def starts_of(sim, key):
    return [row for row in sim.starts if row[1] == key]


class TestFatalTask:
    @pytest.mark.parametrize("names_return", [False, True])
    def test_task_does_not_crash_one_worker_after_another(
        self, deployment, names_return
    ):
        """Guards against a task that takes down worker after worker."""
        sim = deployment(workers=6)
        sim.names_return = names_return
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step())
        sim.run(60_000)
        assert len(starts_of(sim, key)) == 2
        assert sim.state_of(1) == "failed"
        assert not sim.find_problems()

    @pytest.mark.parametrize("gang", [False, True])
    def test_long_running_task_does_not_crash_workers_for_ever(
        self, deployment, gang
    ):
        """Guards against restarts without limit because a long-running task
        has no limit of failed attempts."""
        sim = deployment(workers=6)
        key = fatal_task(sim, 1, index=2)
        sim.submit(1, fakes.step(4, runs_until_cancelled=True, gang=gang))
        sim.run(60_000)
        assert len(starts_of(sim, key)) == 2
        assert sim.state_of(1) == "failed"
        assert not sim.running(1)

    def test_tasks_beside_it_are_not_given_up(self, deployment):
        """Guards against giving up tasks that only ran on the same worker."""
        sim = deployment(workers=6)
        for worker in sim.workers.values():
            worker.run_ms = 1_500
        for number in range(1, 4):
            fatal_task(sim, number)
        for number in range(1, 13):
            sim.submit(number, fakes.step(2))
        sim.submit(20, fakes.step(6, runs_until_cancelled=True))
        sim.run(60_000)
        for number in range(1, 13):
            expected = "failed" if number < 4 else "done"
            assert sim.state_of(number) == expected, number
        assert len(sim.running(20)) == 6
        assert not sim.find_problems()

    def test_second_crash_takes_few_runs_along(self, deployment):
        """Guards against starting a task that may crash its worker beside
        others while a worker with fewer runs is free."""
        sim = deployment(workers=4)
        key = fatal_task(sim, 2)
        sim.submit(1, fakes.step(9, cpu=5_000, runs_until_cancelled=True))
        sim.run(2_000)
        sim.submit(2, fakes.step())
        sim.run(20_000)
        _, (_, _, attempt, worker) = starts_of(sim, key)
        crashed = [row for row in sim.history if row[4] == "crashed"]
        beside = [row for row in crashed if row[2] == worker]
        assert len(beside) == 1
        assert beside[0][:2] == (key, attempt)

    def test_faulty_worker_is_not_blamed_on_a_task(self, deployment):
        """Guards against giving up a task that was tried again on the worker
        that crashes whatever it starts."""
        sim = deployment(workers=2)
        sim.names_return = True
        sim.workers["w1"].labels = ("a", "r2")
        sim.publish_workers()
        sim.submit(1, fakes.step(rack="r1", runs_until_cancelled=True))
        sim.run(1_000)
        key = fatal_task(sim, 2)
        sim.submit(2, fakes.step(rack="r2"))
        sim.run(1_000)
        assert [row[3] for row in starts_of(sim, key)] == ["w1"]
        sim.fatal_tasks.clear()
        sim.run(30_000)
        ((_, _, _, first), (_, _, _, second)) = starts_of(sim, key)
        assert first != second
        assert sim.state_of(2) == "done"

    def test_nothing_starts_beside_a_trial(self, deployment):
        """Guards against taking a task that has just started for the cause of
        a crash."""
        sim = deployment(workers=2)
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step())
        sim.run(4_000)
        for number in range(2, 30):
            sim.submit(number, fakes.step(cpu=4_000))
            sim.run(200)
        _, (at, _, _, worker) = starts_of(sim, key)
        beside = [row for row in sim.starts if row[3] == worker and row[0] > at]
        assert not beside


class TestTakeover:
    def test_crashes_are_counted_by_the_next_leader(self, deployment):
        """Guards against a count of crashes that ends with its leader."""
        sim = deployment(nodes=5, workers=6)
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step(), node="n4")
        for _ in range(4):
            seen = len(starts_of(sim, key))
            for _ in range(400):
                if len(starts_of(sim, key)) > seen:
                    break
                sim.run(50)
            sim.run(1_500)
            sim.kill(sim.leader().name)
        sim.run(40_000)
        assert len(starts_of(sim, key)) == 2
        assert sim.state_of(1) == "failed"

    def test_leaders_that_end_with_each_crash(self, deployment):
        """Guards against starts without limit when each leader ends before it
        has learned of the crash."""
        sim = deployment(nodes=9, workers=9)
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step(), node="n8")
        for _ in range(3):
            seen = len(starts_of(sim, key))
            for _ in range(800):
                if len(starts_of(sim, key)) > seen:
                    break
                sim.run(25)
            sim.kill(sim.leader().name)
        sim.run(60_000)
        assert len(starts_of(sim, key)) <= MAX_STARTS
        assert sim.state_of(1) == "failed"

    def test_workers_that_have_left_do_not_hide_a_crash(self, deployment):
        """Guards against a crash that is recorded late because workers that
        the former leader used do not answer either."""
        sim = deployment(workers=6)
        sim.lose_node_power(sim.leader().name)
        for name in ("w0", "w1", "w2"):
            del sim.workers[name]
        sim.run(3_500)
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step())
        while not starts_of(sim, key):
            sim.run(5)
        sim.run(1_500)
        row = sim.store.rows["work", fakes.job_id(1)]
        assert "crashed" in row.value

    def test_task_waits_until_its_crash_is_committed(self, deployment):
        """Guards against a start that the next leader does not know of."""
        sim = deployment(workers=3)
        sim.names_return = True
        key = fatal_task(sim, 1)
        sim.submit(1, fakes.step())
        while not starts_of(sim, key):
            sim.run(5)
        for name in sim.nodes:
            sim.store.modes[name] = "refuse"
        sim.run(5_000)
        assert len(starts_of(sim, key)) == 1


class TestSilence:
    def test_silent_worker_has_not_crashed(self, deployment):
        """Guards against giving up a task because its workers were cut off."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        for _ in range(4):
            for _ in range(400):
                if sim.running(1):
                    break
                sim.run(25)
            ((_, worker),) = sim.running(1)
            for node in sim.nodes:
                sim.cut_links.add((node, worker))
            sim.run(9_000)
            sim.cut_links.clear()
            sim.run(1_000)
        sim.run(3_000)
        assert sim.state_of(1) == "running"
        assert len(sim.running(1)) == 1
        assert not sim.find_problems()

    def test_run_that_is_being_stopped_keeps_its_age(self, deployment):
        """Guards against taking a run that has lasted for one that has just
        started because it is being stopped."""
        sim = deployment()
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(3_000)
        state = sim.leader().state
        ((key, name),) = sim.running(1)
        task = state.leader.workers[name].runs[key]
        orders.stop(state, [], task, "test")
        assert task.survived_ms() > 1_000

    def test_drained_worker_has_not_crashed(self, deployment):
        """Guards against counting workers that leave as planned."""
        sim = deployment(workers=3)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        sim.run(200)
        ((_, name),) = sim.running(1)
        worker = sim.workers.pop(name)
        worker.draining = True
        sim.workers[name] = worker
        sim.publish_workers()
        sim.run(30)
        del sim.workers[name]
        worker.crash(worker.incarnation)
        sim.run(12_000)
        assert len(sim.running(1)) == 1
        task = next(iter(sim.leader().state.leader.jobs.values()))
        assert not task.crashes


class TestLimits:
    @pytest.mark.parametrize(
        ("survived", "proven", "exhausted"),
        [
            ([0], True, False),
            ([0, 400], True, True),
            ([0, 600], True, False),
            ([0, 600, 9_000], True, True),
            ([0, 12_000, 30_000], True, False),
            ([12_000, 12_000, 12_000, 12_000, 30_000], True, True),
            # The worker may never have received the start.
            ([-1, 0], True, False),
            ([-1, -1, 0], True, False),
            ([-1, -1, -1, -1, -1, -1], True, False),
            ([-1, -1, 0, 0], True, True),
            # The workers may only be silent.
            ([0, 0, 0], False, False),
            ([0, 0, 0, 0], False, False),
            ([0, 0, 0, 0, 0, 0], False, False),
        ],
    )
    def test_limit_of_crashes(self, survived, proven, exhausted):
        """Guards against giving up a task too early, or not at all."""
        key = fakes.first_key(1)
        task = state_lib.Task(None, key, fakes.step())
        for attempt, survived_ms in enumerate(survived, 1):
            task.crashes[attempt] = records.Crash(
                f"w{attempt}",
                1,
                f"w{attempt}:1",
                survived_ms,
                proven,
                ended_ms=max(0, survived_ms),
            )
        assert crashes.is_exhausted(task) is exhausted


class TestRow:
    def test_row_without_crashes_is_read(self, deployment):
        """Guards against jobs of an earlier build that cannot be loaded."""
        sim = deployment()
        sim.submit(1, fakes.step(2, runs_until_cancelled=True))
        sim.run(1_000)
        row = sim.store.rows["work", fakes.job_id(1)]
        assert "crashed" not in row.value
        sim.kill(sim.leader().name)
        sim.run(6_000)
        assert len(sim.running(1)) == 2
