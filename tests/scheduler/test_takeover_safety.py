"""Series of take-overs beside a worker that runs on without the leaders.

No task of it may start elsewhere before its leases have ended, and its runs go
on if it answers in time.
"""

import pytest
import scheduler_fakes as fakes
import takeovers

HOW = pytest.mark.parametrize(
    "how",
    (("stop",), ("kill",), ("power",), ("stop", "kill"), ("stop", "power")),
    ids="-".join,
)
# Short series show what a single leader does, long ones that no later leader
# forgets what it has to wait for.
TAKEOVERS = pytest.mark.parametrize(
    "how",
    (
        ("stop",),
        ("kill",),
        ("stop", "kill"),
        ("kill", "stop"),
        ("stop",) * 10,
        ("kill",) * 6,
        ("kill", "stop", "stop") * 3,
        ("power",),
        ("stop", "power"),
        ("power", "stop"),
        ("power",) * 6,
        ("power", "stop", "stop") * 3,
        ("kill", "power") * 3,
    ),
    ids=lambda how: "-".join(how[:3]) + f"-{len(how)}",
)


class TestWorkerThatRunsOn:
    """A worker that no node reaches, or hears, runs on until its leases end."""

    def prepare(self, deployment):
        """Returns a deployment, a worker with a slow clock and its task."""
        sim = deployment(workers=4, clocks_differ=True)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = min(tasks, key=lambda name: sim.workers[name].clock.rate)
        return sim, sim.workers[name], tasks[name]

    def check(self, sim, worker, key):
        """Asserts that its task runs elsewhere, and only after its leases."""
        sim.run(25_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 3
        lapsed = [
            row
            for row in sim.history
            if row[0] == key and row[2] == worker.name and row[4] == "lapsed"
        ]
        assert len(lapsed) == 1

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("before_ms", (0, 1_900))
    def test_silent_worker(self, deployment, listed, how, before_ms):
        """Guards against a second run of a task whose worker is cut off."""
        sim, worker, key = self.prepare(deployment)
        sim.silent_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        sim.run(before_ms)
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("before_ms", (0, 1_900))
    def test_worker_whose_answers_are_lost(
        self, deployment, listed, how, before_ms
    ):
        """Guards against a second run of a task whose worker gets all orders
        and leases, but whose answers are lost."""
        sim, worker, key = self.prepare(deployment)
        sim.mute_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        sim.run(before_ms)
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("twice", (True, False), ids=("twice", "late"))
    @pytest.mark.parametrize("delay_ms", (500, 5_500))
    def test_calls_that_arrive_late(
        self, deployment, listed, how, delay_ms, twice
    ):
        """Guards against a second run of a task whose worker executes the last
        calls seconds after they were sent."""
        sim, worker, key = self.prepare(deployment)
        worker.late_calls_only_late = not twice
        for kind in ("look", "start"):
            worker.late_calls[kind] = [delay_ms] * 40
        sim.mute_workers.add(worker.name)
        sim.run(400)
        sim.silent_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("pause_ms", (1_500, 5_000))
    def test_leader_is_suspended(self, deployment, listed, how, pause_ms):
        """Guards against a second run of a task by leaders after one that was
        suspended when the worker was cut off, and resumed."""
        sim, worker, key = self.prepare(deployment)
        leader = sim.leader()

        def resume():
            if leader.alive:
                sim.resume(leader)

        sim.pause(leader)
        sim.after(pause_ms, resume)
        sim.run(100)
        sim.silent_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        if pause_ms < takeovers.DETECTION_MS:
            sim.run(pause_ms)
        else:
            takeovers.run_until_leader(sim, leader)
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("mode", ("lose", "late", "silent"))
    def test_store_fails_for_the_first_leader(
        self, deployment, listed, how, mode
    ):
        """Guards against a second run of a task by leaders after one whose
        commits failed, had no answers or took effect late."""
        sim, worker, key = self.prepare(deployment)
        leader = sim.leader()
        sim.store.modes[leader.name] = mode
        sim.run(500)
        sim.silent_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        sim.run(3_000)
        sim.store.modes.clear()
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize(
        "slow_ms, slow_answers_ms", ((900, 0), (0, 900), (450, 450))
    )
    def test_store_is_slow(
        self, deployment, listed, how, slow_ms, slow_answers_ms
    ):
        """Guards against a second run of a task by a leader that takes the
        time of a slow call to the store for a part of a lease."""
        sim, worker, key = self.prepare(deployment)
        sim.store.slow_ms = slow_ms
        sim.store.slow_answers_ms = slow_answers_ms
        sim.run(3_000)
        sim.silent_workers.add(worker.name)
        takeovers.list_worker(sim, worker.name, listed)
        takeovers.play_takeovers(sim, how)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @TAKEOVERS
    @pytest.mark.parametrize("reached_ms", (2_000, 5_900))
    def test_leader_without_store_renews_its_lease(
        self, deployment, listed, how, reached_ms
    ):
        """Guards against a second run of a task whose worker only a leader
        without the store reaches, which renews the lease of the task."""
        sim, worker, key = self.prepare(deployment)
        former = sim.leader()
        sim.store.modes[former.name] = "silent"
        for name in sim.workers:
            if name != worker.name:
                sim.cut_links.add((former.name, name))
        takeovers.list_worker(sim, worker.name, listed)

        def cut_off_others():
            for name in sim.nodes:
                if name != former.name:
                    sim.cut_links.add((name, worker.name))

        cut_off_others()
        sim.after(reached_ms, lambda: sim.silent_workers.add(worker.name))
        takeovers.run_until_leader(sim, former)
        takeovers.play_takeovers(sim, how, 600, cut_off_others)
        self.check(sim, worker, key)

    @takeovers.LISTED
    @HOW
    def test_worker_answers_some_leaders_only(self, deployment, listed, how):
        """Guards against a second run of a task whose worker answers every
        second leader, which renews its lease."""
        sim, worker, key = self.prepare(deployment)
        takeovers.list_worker(sim, worker.name, listed)
        for number in range(8):
            former = takeovers.end_leader(sim, how[number % len(how)])
            if number % 2:
                sim.silent_workers.discard(worker.name)
            else:
                sim.silent_workers.add(worker.name)
            takeovers.run_until_leader(sim, former)
            sim.run(900)
        sim.silent_workers.add(worker.name)
        takeovers.play_series(sim, how, 12_000)
        sim.run(25_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 3
        assert key not in worker.runs


class TestWorkerThatAnswersAgain:
    """A worker that is away for a while, and whose runs must go on."""

    def prepare(self, deployment):
        sim = deployment(workers=4, clocks_differ=True)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        return sim, sim.workers[name], tasks[name]

    def check(self, sim):
        assert len(sim.starts) == 3
        assert len(sim.running(1)) == 3
        assert not sim.find_problems()

    @HOW
    def test_unlisted_worker_loses_its_runs(self, deployment, how):
        """Guards against runs that end because the entry of their worker, which
        answers, had expired when leaders took over."""
        sim, worker, _ = self.prepare(deployment)
        takeovers.list_worker(sim, worker.name, listed=False)
        sim.run(1_000)
        takeovers.play_series(sim, how)
        sim.run(1_000)
        self.check(sim)
        takeovers.list_worker(sim, worker.name, listed=True)
        sim.run(10_000)
        self.check(sim)

    @pytest.mark.parametrize(
        "how, from_ms",
        (("stop", -1_500), ("stop", -300), ("kill", 200), ("power", 200)),
    )
    @takeovers.LISTED
    def test_worker_that_was_silent_for_3_s_loses_its_runs(
        self, deployment, how, from_ms, listed
    ):
        """Guards against runs that end because their worker did not answer a
        new leader at once, although its leases had not ended."""
        sim, worker, _ = self.prepare(deployment)

        def return_worker():
            sim.silent_workers.discard(worker.name)
            takeovers.list_worker(sim, worker.name, listed=True)

        def cut_off():
            sim.silent_workers.add(worker.name)
            takeovers.list_worker(sim, worker.name, listed)

        sim.after(2_000 + from_ms, cut_off)
        sim.after(2_000 + from_ms + 3_000, return_worker)
        sim.run(2_000)
        takeovers.end_leader(sim, how)
        sim.run(15_000)
        self.check(sim)


class TestWorkerWithUnsavedEnds:
    """A silent worker whose ends were read, but not saved or acknowledged."""

    @pytest.mark.parametrize("how", ("stop", "kill", "power"))
    @takeovers.LISTED
    def test_done_task_starts_again(self, deployment, listed, how):
        """Guards against a second run of a task that was done on a worker that
        falls silent before the end is saved, and returns within its lease."""
        sim = deployment(workers=3)
        sim.submit(1, takeovers.lasting(1, cpu=1_000))
        sim.submit(2, fakes.step(cpu=9_000))
        for worker in sim.workers.values():
            worker.run_ms = 5_000
        sim.run(4_900)
        ((key, name),) = sim.running(2)
        former = sim.leader()
        sim.store.modes[former.name] = "refuse"
        while not sim.log_of("end"):
            sim.run(1)
        sim.silent_workers.add(name)
        sim.run(1_300)
        takeovers.list_worker(sim, name, listed)
        sim.store.modes.clear()
        takeovers.end_leader(sim, how)
        takeovers.run_until_leader(sim, former)
        sim.run(1_500)
        sim.silent_workers.discard(name)
        takeovers.list_worker(sim, name, listed=True)
        sim.run(20_000)
        assert not sim.find_problems()
        assert len([row for row in sim.starts if row[1] == key]) == 1
        assert sim.state_of(2) == "done"
