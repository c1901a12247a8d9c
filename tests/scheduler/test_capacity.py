"""Tests that no start brings a worker over its capacity.

The workers of these tests start whatever they are told to, and the simulation
records each start above what a worker offers.
"""

import scheduler_fakes as fakes

# The workers may be told to start more than fits.
UNGUARDED = fakes.CONFIGURATION._replace(
    unguarded_services=frozenset({fakes.SERVICE})
)


def lasting(count=1, **fields):
    return fakes.step(count, runs_until_cancelled=True, **fields)


class TestUnwantedRuns:
    def test_run_of_a_cancelled_job_counts_until_it_has_stopped(
        self, deployment
    ):
        """Guards against a start in place of a run that a new leader has only
        just ordered to stop."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        assert len(sim.running(1)) == 1
        sim.kill(sim.leader().name)
        sim.cancel(1)
        sim.submit(2, lasting(cpu=10_000))
        sim.run(6_000)
        assert len(sim.running(2)) == 1
        assert not sim.running(1)
        assert not sim.find_problems()

    def test_run_of_an_unreadable_job_counts(self, deployment):
        """Guards against a start beside a run whose job, and so its resources,
        the leader does not know."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        sim.kill(sim.leader().name)
        row = sim.store.rows["jobs", fakes.job_id(1)]
        sim.store.rows["jobs", fakes.job_id(1)] = row._replace(value={})
        sim.submit(2, lasting(cpu=10_000))
        sim.run(6_000)
        assert len(sim.running(2)) == 1
        assert not sim.find_problems()

    def test_outdated_run_counts_beside_the_current_one(self, deployment):
        """Guards against a start beside an earlier run of a task that has been
        started again elsewhere."""
        sim = deployment(workers=2)
        worker, other = sim.workers["w0"], sim.workers["w1"]
        other.cpu = 4_000
        sim.submit(1, lasting(cpu=10_000, memory_mb=40_000))
        sim.run(1_000)
        ((key, _),) = sim.running(1)
        attempt, *_ = worker.runs[key]
        leader = sim.leader().state.leader
        task = leader.jobs[key.job].tasks[key]
        # A late order of an earlier attempt is carried out on this worker.
        other.cpu = 16_000
        sim.publish_workers()
        sim.run(100)
        other.runs[key] = (attempt - 1, sim.now, "")
        while not sim.log_of("stop"):
            sim.run(5)
        sim.submit(2, lasting(cpu=10_000, memory_mb=100))
        sim.run(1_500)
        assert task.worker == "w0"
        assert len(sim.running(2)) == 1
        assert not sim.find_problems()


class TestOutdatedEntries:
    """A start counts against a smaller capacity 4.5 s after the worker has
    shrunk."""

    def occupy(self, sim):
        """Lets one of two tasks run; the other one starts when it ends."""
        sim.workers["w0"].run_ms = 5_100
        sim.submit(1, fakes.step(2, cpu=9_000))
        while not sim.starts:
            sim.run(5)

    def test_leader_without_store(self, deployment):
        """Guards against a leader that is cut off from the store and starts a
        task by the last capacity that it read."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_feed_of_entries_hangs(self, deployment):
        """Guards against a leader that starts a task by an old capacity while
        only its feed of worker entries gets no answers."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        sim.leader().hung_tables.add("workers")
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_entry_from_before_an_outage(self, deployment):
        """Guards against a start by an entry that the worker has not been able
        to change, because the store was not available until now."""
        sim = deployment(workers=2, configuration=UNGUARDED)
        sim.workers["w1"].cpu = 1_000
        sim.publish_workers()
        sim.run(100)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.store.refuses_workers = True
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(4_700)
        sim.store.modes.clear()
        sim.store.refuses_workers = False
        for _ in range(3):
            sim.run(20)
            sim.workers["w1"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_resumed_leader(self, deployment):
        """Guards against a leader that was suspended and starts a task by what
        it knew before."""
        sim = deployment(nodes=1, workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        sim.run(100)
        sim.workers["w0"].resize(cpu=8_000)
        leader = sim.leader()
        sim.pause(leader)
        sim.workers["w0"].publish()
        sim.run(5_400)
        sim.resume(leader)
        sim.run(4_000)
        assert not sim.find_problems()

    def test_entry_of_an_earlier_incarnation(self, deployment):
        """Guards against a start on a restarted worker by the capacity that it
        had before."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        worker = sim.workers["w0"]
        worker.capacity = worker.capacity._replace(cpu=8_000)
        worker.crash(incarnation=2)
        sim.run(1_000)
        worker.publish()
        sim.run(3_000)
        assert not sim.find_problems()

    def test_repeated_start_order(self, deployment):
        """Guards against a start order that is repeated after the worker has
        shrunk."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        worker = sim.workers["w0"]
        worker.lost_starts = 9
        sim.submit(1, lasting(cpu=9_000))
        sim.run(200)
        worker.resize(cpu=8_000)
        sim.after(fakes.HEARTBEAT_MS, worker.publish)
        sim.run(9_000)
        assert not sim.find_problems()
        worker.lost_starts = 0
        worker.resize(cpu=16_000)
        worker.publish()
        sim.run(3_000)
        assert len(sim.running(1)) == 1

    def test_starts_resume_after_an_outage(self, deployment):
        """Guards against workers that get no tasks after an outage of the
        store."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.run(4_700)
        sim.store.modes.clear()
        sim.run(4_500)
        assert len(sim.starts) == 2


class TestShrunkWorkers:
    def test_best_effort_task_on_a_worker_above_its_cpu(self, deployment):
        """Guards against a start on a worker whose tasks already exceed what is
        left of its CPU."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(5_000)
        sim.submit(2, fakes.step(cpu=500, best_effort=True, image="b"))
        sim.run(3_000)
        assert not sim.find_problems()
        sim.workers["w0"].resize(cpu=12_000)
        sim.workers["w0"].publish()
        sim.run(2_000)
        assert sim.state_of(2) == "done"

    def test_preemption_that_does_not_free_enough_memory(self, deployment):
        """Guards against stopping a long-running task for a short one that
        still does not fit."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(4, cpu=4_000, memory_mb=15_000))
        sim.run(1_000)
        sim.workers["w0"].resize(memory_mb=30_000)
        sim.workers["w0"].publish()
        sim.run(500)
        short = fakes.step(cpu=2_000, memory_mb=10_000, estimate_ms=5_000)
        sim.submit(2, short)
        sim.run(3_000)
        assert len(sim.running(1)) == 4

    def test_preemption_that_frees_enough(self, deployment):
        """Guards against a short task that waits although a long-running one
        could make room for it."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(4, cpu=4_000, memory_mb=15_000))
        sim.run(1_000)
        short = fakes.step(cpu=2_000, memory_mb=10_000, estimate_ms=5_000)
        sim.submit(2, short)
        sim.run(3_000)
        assert sim.state_of(2) == "done"
