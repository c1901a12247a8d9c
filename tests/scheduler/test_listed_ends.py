"""Ends of runs that a leader is told late, in parts or unexpectedly."""

import pytest
import scheduler_fakes as fakes

COUNT = 64
LISTED = 10


def busy_worker(deployment, **fields):
    """Returns a deployment in which one worker has started many tasks."""
    sim = deployment(workers=1, **fields)
    sim.max_listed_ends = LISTED
    sim.workers["w0"].resize(cpu=COUNT * 1_000)
    sim.publish_workers()
    sim.run(500)
    sim.submit(1, fakes.step(COUNT), fakes.step(after=(0,)), node="n2")
    while len(sim.starts) < COUNT:
        sim.run(5)
    return sim


def refuse(sim, refused):
    for node in sim.nodes:
        sim.store.modes[node] = "refuse" if refused else "ok"


class TestListThatIsCut:
    @pytest.mark.parametrize("away_ms", [1_000, 3_000, 5_000])
    def test_task_whose_end_is_not_listed_does_not_run_again(
        self, deployment, away_ms
    ):
        """Guards against a second run of a task that has ended as done while
        the store was away, on a worker with many ends to repeat."""
        sim = busy_worker(deployment)
        refuse(sim, True)
        sim.run(away_ms)
        assert len(sim.workers["w0"].ends) == COUNT
        refuse(sim, False)
        sim.run(20_000)
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == COUNT + 1
        assert not sim.find_problems()

    @pytest.mark.parametrize("stop", [True, False])
    def test_next_leader_waits_for_the_ends_that_are_not_listed(
        self, deployment, stop
    ):
        """Guards against a next leader that takes tasks whose ends it has not
        been told yet for tasks that have not begun."""
        sim = busy_worker(deployment)
        sim.run(450)
        refuse(sim, True)
        sim.run(300)
        assert len(sim.workers["w0"].ends) > 2 * LISTED
        refuse(sim, False)
        if stop:
            sim.stop(sim.leader())
        else:
            sim.kill(sim.leader().name)
        sim.run(20_000)
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == COUNT + 1
        assert not sim.find_problems()

    def test_worker_that_crashes_before_it_has_listed_all(self, deployment):
        """Guards against a next leader that waits for ever for the rest of the
        ends of a worker that has crashed."""
        sim = busy_worker(deployment)
        sim.run(450)
        refuse(sim, True)
        sim.run(300)
        refuse(sim, False)
        sim.kill(sim.leader().name)
        while sim.leader() is None:
            sim.run(5)
        worker = sim.workers["w0"]
        while not worker.last_acknowledged:
            sim.run(1)
        sim.crash_worker(worker)
        sim.run(30_000)
        assert sim.state_of(1) == "done"
        assert not sim.find_problems()


class TestOccurrenceThatIsNotDue:
    @pytest.mark.parametrize("run_ms", [500, 6_000])
    def test_run_of_a_leader_with_a_fast_clock_is_known(
        self, deployment, run_ms
    ):
        """Guards against a second run of a timed task because the next leader,
        whose clock is behind, does not expect that it has begun."""
        sim = deployment(workers=1)
        sim.workers["w0"].run_ms = run_ms
        leader = sim.leader()
        for node in sim.nodes.values():
            if node is not leader:
                node.wall_error_ms = -15_000
        sim.submit(
            1,
            fakes.step(),
            node=leader.name,
            repeats=1,
            first_due_ms=sim.now + fakes.WALL_OFFSET + 1_500,
            interval_ms=1_000,
        )
        while not sim.starts:
            sim.run(5)
        sim.kill(leader.name)
        sim.run(40_000)
        assert len(sim.starts) == 1
        assert sim.state_of(1) == "done"
        assert not sim.find_problems()
