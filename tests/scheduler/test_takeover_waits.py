"""How long tasks wait for workers that do not answer a new leader.

A new leader may only start a task once no run of it can exist on a worker that
does not answer. The longest wait is known from the leases; several take-overs
in a row must not add to it, nor must workers that cannot run the task.
"""

import pytest
import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import leadership


class TestUnreachedWorker:
    """A listed worker that never answers and never had an order."""

    def prepare(self, deployment):
        """Returns a deployment in which two tasks wait for room."""
        sim = deployment(workers=3)
        takeovers.add_unreached_worker(sim)
        takeovers.run_lasting_job(sim, 3)
        sim.submit(2, takeovers.lasting(2))
        sim.run(2_000)
        assert not sim.running(2)
        return sim

    def check(self, sim, until):
        takeovers.add_worker(sim, "new0")
        takeovers.add_worker(sim, "new1")
        sim.run(20_000)
        for index in range(2):
            takeovers.assert_started(sim, fakes.first_key(2, index), 0, until)
        assert not sim.find_problems()

    def test_delays_a_planned_takeover(self, deployment):
        """Guards against tasks that wait after a planned take-over for a worker
        that cannot have run anything."""
        sim = self.prepare(deployment)
        takeovers.end_leader(sim, "stop")
        self.check(sim, sim.now + takeovers.STARTUP_MS)

    def test_delays_each_of_several_planned_takeovers(self, deployment):
        """Guards against the same after several take-overs in a row."""
        sim = self.prepare(deployment)
        takeovers.play_series(sim, ("stop",), 8_000)
        takeovers.end_leader(sim, "stop")
        self.check(sim, sim.now + takeovers.STARTUP_MS)

    @pytest.mark.parametrize("how", ("kill", "power"))
    def test_delays_a_takeover_after_a_crash(self, deployment, how):
        """Guards against tasks that wait after the crash of a leader for a
        worker that cannot have run anything."""
        sim = self.prepare(deployment)
        takeovers.end_leader(sim, how)
        limit_ms = (
            takeovers.DETECTION_MS
            + takeovers.FORMER_PERMISSION_MS
            + takeovers.STARTUP_MS
        )
        self.check(sim, sim.now + limit_ms)

    @pytest.mark.parametrize("how", ("kill", "power"))
    def test_delays_a_planned_takeover_after_a_crash(self, deployment, how):
        """Guards against the same if the new leader is stopped at once."""
        sim = self.prepare(deployment)
        killed_at = sim.now
        former = takeovers.end_leader(sim, how)
        takeovers.run_until_leader(sim, former)
        sim.run(200)
        takeovers.end_leader(sim, "stop")
        limit_ms = (
            takeovers.DETECTION_MS
            + takeovers.FORMER_PERMISSION_MS
            + 2 * takeovers.STARTUP_MS
        )
        self.check(sim, killed_at + limit_ms)


class TestWorkerThatLeftEarlier:
    """A worker that left 10 s before a planned take-over."""

    def check(self, sim, gone):
        """Asserts that a new task starts at once where there is room."""
        sim.submit(2, takeovers.lasting(1))
        sim.run(1_000)
        assert not sim.running(2)
        takeovers.end_leader(sim, "stop")
        stopped_at = sim.now
        for name in ("new0", "new1"):
            takeovers.add_worker(sim, name)
        sim.run(15_000)
        takeovers.assert_started(
            sim,
            fakes.first_key(2),
            stopped_at,
            stopped_at + takeovers.STARTUP_MS,
        )
        assert not sim.find_problems()
        assert gone not in sim.store.rows["leadership", "roster"].value

    @pytest.mark.parametrize("stops", (0, 1, 3))
    def test_worker_with_a_run_delays_the_takeover(self, deployment, stops):
        """Guards against tasks that wait for a worker whose last lease has long
        ended, also if there were other take-overs since."""
        sim = deployment(workers=3)
        takeovers.run_lasting_job(sim, 3)
        takeovers.remove_worker(sim, sim.workers["w1"], listed=False)
        left_at = sim.now
        for _ in range(stops):
            sim.run(2_500)
            takeovers.end_leader(sim, "stop")
        sim.run(left_at + 9_000 - sim.now)
        self.check(sim, "w1")

    @pytest.mark.parametrize("stops", (0, 1, 3))
    def test_drained_worker_delays_the_takeover(self, deployment, stops):
        """Guards against tasks that wait for a worker that has left as planned
        and whose runs were stopped before."""
        sim = deployment(workers=3)
        sim.submit(1, takeovers.lasting(3))
        sim.run(takeovers.OLD_RUN_MS)
        ((key, name), *_) = sim.running(1)
        worker = sim.workers[name]
        worker.draining = True
        sim.publish_workers()
        takeovers.run_until_stopped(sim, key, 1_000)
        sim.run(1_000)
        takeovers.remove_worker(sim, worker, listed=False)
        left_at = sim.now
        for _ in range(stops):
            sim.run(2_500)
            takeovers.end_leader(sim, "stop")
        sim.run(left_at + 9_000 - sim.now)
        self.check(sim, name)


class TestWorkerThatLeavesDuringTakeovers:
    """A worker with long-running tasks leaves while leaders end in series."""

    def prepare(self, deployment):
        """Returns a deployment, a worker and the task that it runs.

        One other worker has room.
        """
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        return sim, sim.workers[name], tasks[name]

    def check(self, sim, key, since, until):
        sim.run(15_000)
        takeovers.assert_started(sim, key, since, until)
        assert len(sim.running(1)) == 3
        assert not sim.find_problems()

    @takeovers.LISTED
    @pytest.mark.parametrize("before_ms", (0, 1_000, 3_000))
    def test_planned_takeovers_lengthen_the_wait(
        self, deployment, listed, before_ms
    ):
        """Guards against a task that waits anew with each planned take-over
        although the last lease of its worker has ended."""
        sim, worker, key = self.prepare(deployment)
        left_at = sim.now
        granted_at = takeovers.remove_worker(sim, worker, listed)
        sim.run(before_ms)
        takeovers.play_series(sim, ("stop",))
        self.check(
            sim,
            key,
            left_at,
            granted_at + takeovers.LEASE_MS + takeovers.STARTUP_MS,
        )

    @takeovers.LISTED
    def test_planned_takeovers_before_it_leaves_lengthen_the_wait(
        self, deployment, listed
    ):
        """Guards against the same if the worker leaves in the midst of the
        take-overs, just before one of them."""
        sim, worker, key = self.prepare(deployment)
        takeovers.play_series(sim, ("stop",), 8_000)
        left_at = sim.now
        granted_at = takeovers.remove_worker(sim, worker, listed)
        sim.run(20)
        takeovers.play_series(sim, ("stop",))
        self.check(
            sim,
            key,
            left_at,
            granted_at + takeovers.LEASE_MS + takeovers.STARTUP_MS,
        )

    @pytest.mark.parametrize("how", ("kill", "power"))
    @takeovers.LISTED
    def test_crashes_of_leaders_lengthen_the_wait(
        self, deployment, listed, how
    ):
        """Guards against a task that waits anew with each crash of a leader
        although the first of them knew that the worker was silent."""
        sim, worker, key = self.prepare(deployment)
        left_at = sim.now
        granted_at = takeovers.remove_worker(sim, worker, listed)
        sim.run(3_000)
        takeovers.play_series(sim, (how,))
        limit_ms = (
            takeovers.LEASE_MS + takeovers.DETECTION_MS + takeovers.STARTUP_MS
        )
        self.check(sim, key, left_at, granted_at + limit_ms)

    @takeovers.LISTED
    def test_worker_crashes_with_the_leader(self, deployment, listed):
        """Guards against a task that does not run for 9 s of a calm time after
        its worker and the leader have crashed together."""
        sim, worker, key = self.prepare(deployment)
        left_at = sim.now
        takeovers.remove_worker(sim, worker, listed)
        takeovers.end_leader(sim, "kill")
        self.check(sim, key, left_at, left_at + takeovers.LOST_MS)

    @pytest.mark.parametrize("how", ("kill", "power"))
    @takeovers.LISTED
    def test_crashes_after_a_common_crash_lengthen_the_wait(
        self, deployment, listed, how
    ):
        """Guards against a task that waits anew with each crash of a leader.
        The first one crashes with the worker, so that it may have granted
        leases until its permission ended."""
        sim, worker, key = self.prepare(deployment)
        left_at = sim.now
        takeovers.remove_worker(sim, worker, listed)
        takeovers.play_series(sim, (how,))
        permission_ms = takeovers.DETECTION_MS + takeovers.FORMER_PERMISSION_MS
        limit_ms = (
            permission_ms
            + takeovers.LEASE_MS
            + takeovers.DETECTION_MS
            + takeovers.STARTUP_MS
        )
        self.check(sim, key, left_at, left_at + limit_ms)

    @takeovers.LISTED
    @pytest.mark.parametrize(
        "how",
        (
            ("stop", "kill"),
            ("stop", "power"),
            ("stop", "stop", "kill"),
            ("stop", "stop", "power"),
        ),
        ids="-".join,
    )
    def test_mixed_takeovers_lengthen_the_wait(self, deployment, listed, how):
        """Guards against the same if some leaders crash and others stop."""
        sim, worker, key = self.prepare(deployment)
        left_at = sim.now
        granted_at = takeovers.remove_worker(sim, worker, listed)
        takeovers.play_series(sim, how)
        limit_ms = (
            takeovers.LEASE_MS + takeovers.DETECTION_MS + takeovers.STARTUP_MS
        )
        self.check(sim, key, left_at, granted_at + limit_ms)

    @takeovers.LISTED
    @pytest.mark.parametrize(
        "how",
        (("stop",), ("stop", "kill"), ("stop", "power")),
        ids="-".join,
    )
    def test_stopped_task_of_a_drained_worker_waits(
        self, deployment, listed, how
    ):
        """Guards against a task that waits with each take-over for the worker
        that has stopped it and left. There is room only later."""
        sim = deployment(workers=3)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        worker, key = sim.workers[name], tasks[name]
        worker.draining = True
        sim.publish_workers()
        ended_at = takeovers.run_until_stopped(sim, key)
        sim.run(1_000)
        granted_at = takeovers.remove_worker(sim, worker, listed)
        sim.run(300)
        sim.after(1_000, lambda: takeovers.add_worker(sim, "new"))
        takeovers.play_series(sim, how)
        limit_ms = takeovers.LEASE_MS + takeovers.STARTUP_MS
        if how != ("stop",):
            limit_ms += takeovers.DETECTION_MS
        self.check(sim, key, ended_at, granted_at + limit_ms)

    def drain_without_store(self, sim, worker, key, listed, lost_ms):
        """Drains a worker around the time when the leader loses the store.

        The worker leaves before another node leads. Returns when the run of
        its task ended and when it must run elsewhere.
        """
        former = sim.leader()
        drained_at = sim.now + 1_000
        returns_at = drained_at + 4_000

        def lose_store():
            sim.store.modes[former.name] = "silent"

        sim.after(1_000 + lost_ms, lose_store)
        sim.after(5_000, sim.store.modes.clear)
        sim.run(1_000)
        worker.draining = True
        sim.publish_workers()
        sim.run(1_500)
        takeovers.remove_worker(sim, worker, listed)
        (ended_at,) = [row[3] for row in sim.history if row[0] == key]
        assert sim.leader() is former
        return ended_at, max(
            ended_at + takeovers.LOST_MS, returns_at + takeovers.CALM_MS
        )

    @takeovers.LISTED
    @pytest.mark.parametrize("lost_ms", (-500, 0, 300, 1_000))
    def test_worker_is_drained_while_the_leader_has_no_store(
        self, deployment, listed, lost_ms
    ):
        """Guards against a task that waits for a worker that left after the
        leader had lost the store."""
        sim, worker, key = self.prepare(deployment)
        ended_at, until = self.drain_without_store(
            sim, worker, key, listed, lost_ms
        )
        self.check(sim, key, ended_at - 1, until)

    @takeovers.LISTED
    @pytest.mark.parametrize("lost_ms", (-500, 0, 300, 1_000))
    def test_stopped_task_waits_after_the_leader_had_no_store(
        self, deployment, listed, lost_ms
    ):
        """Guards against the same if there is room only for the next leader
        (LOST 5 on inyenyeri-panel, mix with seed 885285285519)."""
        sim = deployment(workers=3)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        sim.after(5_000, lambda: takeovers.add_worker(sim, "new"))
        ended_at, until = self.drain_without_store(
            sim, sim.workers[name], tasks[name], listed, lost_ms
        )
        self.check(sim, tasks[name], ended_at - 1, until)


class TestTasksOfOtherWorkers:
    """A silent worker with runs holds no task that cannot run there."""

    def prepare(self, deployment):
        """Returns a deployment with a silent worker and a job of two steps.

        The first step runs on another worker.
        """
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 2)
        silent = sim.workers[max(tasks)]
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        steps = (fakes.step(cpu=9_000), fakes.step(2, after=(0,)))
        sim.submit(2, *steps)
        sim.run(1_000)
        ((first, name),) = sim.running(2)
        assert name != silent.name
        sim.silent_workers.add(silent.name)
        sim.run(100)
        return sim, sim.workers[name], first

    def check(self, sim, ended_at):
        sim.run(25_000)
        for index in range(2):
            key = fakes.records.TaskKey(fakes.job_id(2), 0, 1, index)
            takeovers.assert_started(
                sim, key, ended_at - 1, ended_at + takeovers.STARTUP_MS
            )
        assert not sim.find_problems()

    @pytest.mark.parametrize("how", ("stop", "kill", "power"))
    def test_second_step_waits_for_a_silent_worker(self, deployment, how):
        """Guards against a step that waits for a silent worker although the
        step before it ended only when that worker could get no orders."""
        sim, worker, first = self.prepare(deployment)
        former = takeovers.end_leader(sim, how)
        takeovers.run_until_leader(sim, former)
        sim.run(700)
        worker.expire()
        worker.end(first, "done")
        self.check(sim, sim.now)

    def test_second_step_waits_in_a_series_of_takeovers(self, deployment):
        """Guards against the same after several planned take-overs."""
        sim, worker, first = self.prepare(deployment)
        takeovers.play_series(sim, ("stop",), 8_000, 1_000)
        worker.expire()
        worker.end(first, "done")
        self.check(sim, sim.now)

    def test_step_that_ended_before_the_takeover_waits(self, deployment):
        """Guards against the same if the first step ended during a planned
        take-over, unknown to the former leader."""
        sim, worker, first = self.prepare(deployment)
        sim.stop(sim.leader())
        worker.expire()
        worker.end(first, "done")
        self.check(sim, sim.now)


def test_constants_are_those_of_the_scheduler():
    """Guards against bounds here that the scheduler does not have."""
    permission_ms = leadership.MAX_UNCONFIRMED_MS
    assert (
        permission_ms == takeovers.DETECTION_MS + takeovers.FORMER_PERMISSION_MS
    )
    assert leadership.TAKEOVER_TIMEOUT_MS == takeovers.DETECTION_MS
