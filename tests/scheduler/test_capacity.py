"""Tests that no start brings a worker over its capacity.

The workers of these tests start whatever they are told to, and the simulation
records each start above what a worker offers.
"""

import scheduler_fakes as fakes


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
