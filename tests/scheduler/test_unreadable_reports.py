"""Answers of workers in which runs or ends cannot be read."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events

FIRST = fakes.first_key(1)


def kill_leader(sim):
    sim.kill(sim.leader().name)


def cut_power_of_leader(sim):
    sim.lose_node_power(sim.leader().name)


def stop_leader(sim):
    leader = sim.leader()
    sim.dispatch(leader, events.StopRequested(sim.now))


class TestUnreadableRun:
    def test_is_neither_lost_nor_started_again(self, deployment):
        """Guards against a second run of a task whose run is there, but cannot
        be read, and against leases that end with it."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(2, cpu=6_000, runs_until_cancelled=True))
        sim.run(1_000)
        running = sim.running(1)
        name = dict(running)[FIRST]
        sim.workers[name].unreadable_tasks.add(FIRST)
        sim.run(3 * fakes.MAX_LEASE_MS)
        assert sim.running(1) == running
        sim.submit(2, fakes.step(4, cpu=1_000))
        sim.run(2_000)
        assert sim.state_of(2) == "done"
        # What else runs there is not known.
        assert name not in {worker for _, _, _, worker in sim.starts[2:]}
        sim.workers[name].unreadable_tasks.clear()
        sim.submit(3, fakes.step(20, cpu=1_000))
        sim.run(2_000)
        assert sim.state_of(3) == "done"
        assert name in {worker for _, _, _, worker in sim.starts[6:]}
        assert sim.running(1) == running
        assert sim.log_of("run-lost") == []
        assert not sim.find_problems()

    @pytest.mark.parametrize(
        "end_leadership", [kill_leader, cut_power_of_leader, stop_leader]
    )
    def test_is_not_started_again_by_a_new_leader(
        self, deployment, end_leadership
    ):
        """Guards against a new leader that starts a task which runs on a worker
        that it has reached, because the run cannot be read."""
        sim = deployment(workers=2)
        sim.submit(1, fakes.step(2, cpu=6_000, runs_until_cancelled=True))
        sim.run(1_000)
        name = dict(sim.running(1))[FIRST]
        sim.workers[name].unreadable_tasks.add(FIRST)
        end_leadership(sim)
        sim.run(25_000)
        assert sim.leader().state.leader.epoch == 2
        assert not sim.find_problems()
        assert len(sim.running(1)) == 2


class TestUnreadableEnd:
    def test_is_not_acknowledged_and_hides_no_other(self, deployment):
        """Guards against an end that the worker forgets unread, so that its
        task runs again, and against one that hides all later ends."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        worker.unreadable_tasks.add(FIRST)
        worker.run_ms = 300
        sim.submit(1, fakes.step())
        sim.run(50)
        worker.unreadable_tasks.clear()
        sim.run(100)
        worker.unreadable_tasks.add(FIRST)
        sim.run(2_000)
        sim.submit(2, fakes.step(3))
        sim.run(2_000)
        assert sim.state_of(2) == "done"
        assert [end.key for end in worker.ends][:1] == [FIRST]
        assert sim.state_of(1) == "running"
        assert len(sim.starts) == 4
        worker.unreadable_tasks.clear()
        sim.run(1_000)
        assert sim.state_of(1) == "done"
        assert worker.ends == []
        assert len(sim.starts) == 4
        assert sim.log_of("run-lost") == []
        assert not sim.find_problems()

    def test_does_not_cause_a_poll_at_each_tick(self, deployment):
        """Guards against a leader that asks a worker all the time for an end
        that it does not acknowledge."""
        sim = deployment(workers=1)
        worker = sim.workers["w0"]
        sim.submit(1, fakes.step())
        sim.run(200)
        worker.unreadable_tasks.add(FIRST)
        sim.run(2_000)
        polls = []
        look = worker.look
        worker.look = lambda effect: polls.append(effect) or look(effect)
        sim.run(10_000)
        assert 5 <= len(polls) <= 30

    @pytest.mark.parametrize(
        "end_leadership", [kill_leader, cut_power_of_leader, stop_leader]
    )
    def test_task_runs_once_across_a_takeover(self, deployment, end_leadership):
        """Guards against a second run of a task that has ended, because its new
        leader cannot read the end for a while."""
        sim = deployment(workers=2)
        for worker in sim.workers.values():
            worker.run_ms = 1_500
        sim.submit(1, fakes.step())
        sim.run(1_000)
        (((_, name)),) = sim.running(1)
        end_leadership(sim)
        sim.workers[name].unreadable_tasks.add(FIRST)
        sim.run(4_000)
        sim.workers[name].unreadable_tasks.clear()
        sim.run(10_000)
        assert sim.state_of(1) == "done"
        assert len(sim.starts) == 1
        assert not sim.find_problems()
