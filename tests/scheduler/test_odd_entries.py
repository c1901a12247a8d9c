"""Unreadable entries over those of workers that run tasks."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events

LONG_RUNNING = fakes.step(2, cpu=6_000, runs_until_cancelled=True)
CHECKPOINTED = fakes.step(2, cpu=6_000, checkpoints=True)


def put_odd_entries(sim, *names):
    for name in names:
        sim.workers[name].has_odd_entry = True
        sim.publish_entry(sim.workers[name])


def restore_entries(sim):
    for worker in sim.workers.values():
        worker.has_odd_entry = False
        sim.publish_entry(worker)


def run_tasks(sim, step):
    """Runs a job for long; returns the names of its workers."""
    for worker in sim.workers.values():
        worker.run_ms = 60_000
    sim.submit(1, step)
    sim.run(1_500)
    return sorted({worker for _, worker in sim.running(1)})


def kill_leader(sim):
    sim.kill(sim.leader().name)


def cut_power_of_leader(sim):
    sim.lose_node_power(sim.leader().name)


def stop_leader(sim):
    leader = sim.leader()
    sim.dispatch(leader, events.StopRequested(sim.now))


def check_undisturbed(sim, running):
    """Checks that runs go on, and that nothing was stopped or started."""
    assert sim.running(1) == running
    assert len(sim.starts) == len(running)
    assert sim.history == []
    assert sim.log_of("stop") == []
    assert sim.log_of("run-lost") == []
    assert not sim.find_problems()


class TestOddEntryOverAGoodOne:
    @pytest.mark.parametrize("step", [LONG_RUNNING, CHECKPOINTED])
    def test_runs_go_on_and_nothing_else_starts(self, deployment, step):
        """Guards against a bad write over the entry of a worker that stops what
        runs there, or lets its leases end, or still starts tasks there."""
        sim = deployment(workers=2)
        names = run_tasks(sim, step)
        running = sim.running(1)
        put_odd_entries(sim, *names)
        # Several leases.
        sim.run(4 * fakes.MAX_LEASE_MS)
        check_undisturbed(sim, running)
        for worker in sim.workers.values():
            worker.run_ms = 100
        free = set(sim.workers) - set(names)
        sim.submit(2, fakes.step(cpu=1_000))
        sim.run(3_000)
        assert {name for _, key, _, name in sim.starts[2:]} <= free
        restore_entries(sim)
        sim.submit(3, fakes.step(12, cpu=1_000))
        sim.run(3_000)
        assert sim.state_of(2) == "done"
        assert sim.state_of(3) == "done"
        assert {name for _, _, _, name in sim.starts[3:]} & set(names)
        assert sim.log_of("run-lost") == []
        assert not sim.find_problems()

    @pytest.mark.parametrize(
        "end_leadership", [kill_leader, cut_power_of_leader, stop_leader]
    )
    @pytest.mark.parametrize("step", [LONG_RUNNING, CHECKPOINTED])
    @pytest.mark.parametrize("delay_ms", [0, 50, 400])
    def test_runs_outlast_a_takeover(
        self, deployment, step, end_leadership, delay_ms
    ):
        """Guards against a new leader that starts the tasks of a worker again,
        or stops them, because it cannot read the worker's entry."""
        sim = deployment(workers=2)
        names = run_tasks(sim, step)
        running = sim.running(1)
        end_leadership(sim)
        sim.run(delay_ms)
        put_odd_entries(sim, *names)
        sim.run(4 * fakes.MAX_LEASE_MS)
        assert sim.leader().state.leader.epoch == 2
        check_undisturbed(sim, running)
        restore_entries(sim)
        for worker in sim.workers.values():
            worker.run_ms = 100
        sim.submit(3, fakes.step(8, cpu=1_000))
        sim.run(3_000)
        assert sim.state_of(3) == "done"
        assert {name for _, _, _, name in sim.starts[2:]} & set(names)
        assert sim.running(1) == running

    def test_entry_that_becomes_odd_again_and_again(self, deployment):
        """Guards against runs that end because the worker and another writer
        write the entry in turn."""
        sim = deployment(workers=2)
        names = run_tasks(sim, LONG_RUNNING)
        running = sim.running(1)
        for _ in range(20):
            put_odd_entries(sim, *names)
            sim.run(700)
            restore_entries(sim)
            sim.run(700)
        check_undisturbed(sim, running)

    def test_end_is_processed_while_the_entry_is_odd(self, deployment):
        """Guards against ends that are lost, and tasks that start again, while
        the entry of their worker is odd."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(2, cpu=1_000), fakes.step(after=(0,)))
        for worker in sim.workers.values():
            worker.run_ms = 3_000
        sim.run(500)
        put_odd_entries(sim, *sim.workers)
        sim.run(8_000)
        assert len(sim.starts) == 2
        assert [row[4] for row in sim.history] == ["done", "done"]
        restore_entries(sim)
        sim.run(4_000)
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == 3
        assert not sim.find_problems()


class TestFalseIncarnation:
    """An entry that is sound, but names a start that never took place."""

    def put_false_entry(self, sim, name, incarnation=9_000):
        worker = sim.workers[name]
        published = worker.published
        worker.published = (worker.capacity, incarnation)
        sim.publish_entry(worker)
        worker.published = published

    def test_worker_is_used_again(self, deployment):
        """Guards against a worker whose answers are ignored for ever after
        another writer has put a later start into its entry."""
        sim = deployment(workers=1)
        names = run_tasks(sim, LONG_RUNNING)
        running = sim.running(1)
        # The runs are no longer suspected of having crashed their worker.
        sim.run(10_000)
        self.put_false_entry(sim, *names)
        sim.run(3 * fakes.MAX_LEASE_MS)
        check_undisturbed(sim, running)
        # The good entry, and the false one in turn.
        for _ in range(5):
            sim.publish_entry(sim.workers["w0"])
            sim.run(700)
            self.put_false_entry(sim, "w0")
            sim.run(700)
        check_undisturbed(sim, running)
        sim.workers["w0"].run_ms = 100
        sim.submit(2, fakes.step(2, cpu=1_000))
        sim.run(2_000)
        assert len(sim.starts) == 2
        sim.publish_entry(sim.workers["w0"])
        sim.run(2_000)
        assert sim.state_of(2) == "done"
        assert sim.running(1) == running
        assert not sim.find_problems()

    def test_new_leader_adopts_its_runs(self, deployment):
        """Guards against a new leader that ignores the answers of a worker,
        because its entry names a later start."""
        sim = deployment(workers=1)
        run_tasks(sim, LONG_RUNNING)
        running = sim.running(1)
        worker = sim.workers["w0"]
        worker.published = (worker.capacity, 9_000)
        kill_leader(sim)
        sim.run(3 * fakes.MAX_LEASE_MS)
        assert sim.leader().state.leader.epoch == 2
        check_undisturbed(sim, running)
        worker.published = (worker.capacity, worker.incarnation)
        sim.publish_entry(worker)
        worker.run_ms = 100
        sim.submit(2, fakes.step(2, cpu=1_000))
        sim.run(2_000)
        assert sim.state_of(2) == "done"
        assert not sim.find_problems()

    def test_actual_restart_is_still_noticed(self, deployment):
        """Guards against a worker that is not used after it has restarted,
        because its entry named a later start before."""
        sim = deployment(workers=1)
        run_tasks(sim, LONG_RUNNING)
        self.put_false_entry(sim, "w0")
        sim.run(3_000)
        worker = sim.workers["w0"]
        worker.crash(incarnation=2)
        worker.publish()
        sim.run(10_000)
        assert len(sim.running(1)) == 2
        assert len(sim.starts) == 4
        assert not sim.find_problems()


class TestFalseAddress:
    """An entry that names the address of another worker."""

    def test_runs_go_on(self, deployment):
        """Guards against a second run of a task because another worker answers
        at the address in the entry."""
        sim = deployment(workers=3)
        first, *_ = run_tasks(sim, LONG_RUNNING)
        running = sim.running(1)
        sim.workers[first].false_address = "w2:1"
        sim.publish_entry(sim.workers[first])
        sim.run(20_000)
        check_undisturbed(sim, running)
        sim.workers[first].false_address = ""
        sim.publish_entry(sim.workers[first])
        sim.run(1_000)
        assert sim.leader().state.leader.workers[first].listed

    @pytest.mark.parametrize(
        "end_leader", [kill_leader, cut_power_of_leader, stop_leader]
    )
    def test_task_does_not_run_twice_after_a_takeover(
        self, deployment, end_leader
    ):
        """Guards against the same by a leader that has not been answered by
        the worker: its leases must end first."""
        sim = deployment(workers=3)
        first, *_ = run_tasks(sim, LONG_RUNNING)
        sim.workers[first].false_address = "w2:1"
        sim.publish_entry(sim.workers[first])
        end_leader(sim)
        sim.run(25_000)
        assert not sim.find_problems()
        assert len(sim.running(1)) == 2
