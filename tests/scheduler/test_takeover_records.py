"""What leaders record for their successors, in rare sequences of events."""

import pytest
import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import leadership
from skylarklug.scheduler import leases
from skylarklug.scheduler import records


class TestReleaseWithManyTasks:
    def test_tasks_of_a_silent_worker_run_twice(self, deployment):
        """Guards against second runs of tasks on a silent worker that has more
        tasks than the row of leases names, after a planned stop."""
        sim = deployment(workers=1)
        count = leases.MAX_TASKS + 1
        sim.submit(1, takeovers.lasting(count, cpu=10))
        sim.run(takeovers.OLD_RUN_MS)
        assert len(sim.running(1)) == count
        takeovers.add_worker(sim, "x")
        sim.run(2_000)
        sim.silent_workers.add("w0")
        sim.run(2_200)
        sim.stop(sim.leader())
        sim.run(3_000)
        assert not sim.find_problems()


class TestRosterInFlight:
    def test_task_of_a_worker_outside_the_roster_runs_twice(self, deployment):
        """Guards against a second run of a task that a leader has started on a
        worker while a commit without that worker was in flight."""
        sim = deployment(workers=4)
        sim.submit(1, takeovers.lasting(4))
        takeovers.list_worker(sim, "w3", listed=False)
        sim.run(12_000)
        leader = sim.leader()
        takeovers.list_worker(sim, "w3", listed=True)
        sim.run(2_000)
        assert len(sim.running(1)) == 4
        (key,) = (k for k, w in sim.running(1) if w == "w3")
        # The task loses its worker, whose entry expires for a moment.
        worker = sim.workers["w3"]
        takeovers.list_worker(sim, "w3", listed=False)
        worker.end(key, "stopped")
        count = len(sim.store.commits)
        sim.store.modes[leader.name] = "lose"
        end = sim.now + 3_000
        while sim.now < end:
            sim.run(1)
            found = [
                write.value
                for _, _, effect in sim.store.commits[count:]
                for write in effect.writes
                if write.key == "roster"
            ]
            if found and "w3" not in found[-1]:
                break
        assert found and "w3" not in found[-1]
        takeovers.list_worker(sim, "w3", listed=True)
        sim.run(100)
        takeovers.add_worker(sim, "x")
        sim.silent_workers.add("w3")
        sim.run(20)
        sim.kill(leader.name)
        sim.store.modes.clear()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_worker_with_a_run_is_not_in_the_roster(self, deployment):
        """Guards against the same with a store that answers all commits."""
        sim = deployment(workers=4)
        takeovers.list_worker(sim, "w3", listed=False)
        sim.submit(1, takeovers.lasting(4))
        sim.run(12_000)
        takeovers.list_worker(sim, "w3", listed=True)
        sim.run(2_000)
        leader = sim.leader()
        (key,) = (k for k, w in sim.running(1) if w == "w3")
        takeovers.list_worker(sim, "w3", listed=False)
        sim.workers["w3"].end(key, "stopped")
        count = len(sim.store.commits)
        end = sim.now + 3_000
        relisted = False
        while sim.now < end:
            sim.run(1)
            if leader.state.leader.roster_saving and not relisted:
                relisted = True
                takeovers.list_worker(sim, "w3", listed=True)
            if relisted and len(sim.running(1)) == 4:
                break
        assert relisted
        assert len(sim.running(1)) == 4
        found = [
            write.value
            for _, _, effect in sim.store.commits[count:]
            for write in effect.writes
            if write.key == "roster"
        ]
        assert "w3" in found[-1]


class TestLaterStep:
    @pytest.mark.parametrize("delay_ms", (0, 150))
    def test_later_step_runs_twice_beside_an_unneeded_run(
        self, deployment, delay_ms
    ):
        """Guards against a second run of a task of a later step: a leader has
        started it although an unneeded run of the earlier step still ran."""
        sim = deployment(workers=2)
        # The earlier step's first run, on w0, ends while w0 is cut off.
        for worker in sim.workers.values():
            worker.run_ms = 3_000
        sim.submit(
            1, fakes.step(1, cpu=16_000), fakes.step(1, cpu=16_000, after=(0,))
        )
        sim.run(1_000)
        ((key, name),) = sim.running(1)
        first = sim.workers[name]
        (other,) = (w for w in sim.workers.values() if w is not first)
        other.run_ms = 60_000
        sim.silent_workers.add(first.name)
        while len([r for r in sim.starts if r[1] == key]) < 2:
            assert sim.now < 30_000
            sim.run(1)
        assert sim.starts[-1][3] == other.name
        sim.run(1_000)
        third = takeovers.add_worker(sim, "x")
        third.run_ms = 60_000
        sim.run(2_000)
        # The leader has no store when it learns that the first run had ended.
        other.late_calls["stop"] = [20_000] * 20
        other.late_calls_only_late = True
        leader = sim.leader()
        first.poll_delay_ms = delay_ms
        first.draining = True
        sim.silent_workers.discard(first.name)
        while not leader.state.leader.dirty and not leader.state.leader.saving:
            assert sim.now < 60_000
            sim.run(1)
        sim.store.modes[leader.name] = "refuse"
        later = records.TaskKey(key.job, 0, 1, 0)
        while not [r for r in sim.starts if r[1] == later]:
            assert sim.now < 60_000
            sim.run(1)
        runner = sim.workers[sim.starts[-1][3]]
        sim.silent_workers.add(runner.name)
        sim.run(20)
        sim.kill(leader.name)
        sim.store.modes.clear()
        for number in range(2):
            takeovers.add_worker(sim, f"y{number}")
        sim.run(5_000)
        assert not sim.find_problems()


class TestRecordIsKept:
    @pytest.mark.parametrize("how", ("kill", "power"))
    @pytest.mark.parametrize("gap_ms", (300, 600, 900, 1_200, 2_000))
    def test_short_leaderships_lengthen_the_wait(self, deployment, gap_ms, how):
        """Guards against a record that the first commit of a new leader drops,
        so that the next one waits anew."""
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        worker = sim.workers[name]
        takeovers.remove_worker(sim, worker, listed=True)
        ended = sim.now
        sim.run(2_700)
        row = sim.store.rows["handover", "leases"]
        assert name in row.value["workers"]
        takeovers.play_takeovers(sim, (how, how), gap_ms)
        sim.run(20_000)
        started = takeovers.first_start(sim, tasks[name], ended)
        assert started - ended < takeovers.LOST_MS


class TestUnreadableRow:
    def test_leader_renews_a_lease_whose_end_is_recorded(self, deployment):
        """Guards against a second run of a task, as a leader that cannot read
        the row, here without the store's clock, renews a lease in it."""
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        sim.silent_workers.add(name)
        sim.run(3_500)
        row = sim.store.rows["handover", "leases"]
        assert name in row.value["workers"]
        former = sim.leader()
        clock_ms = sim.store.clock_ms
        sim.store.clock_ms = lambda status: 0
        sim.kill(former.name)
        sim.silent_workers.discard(name)
        takeovers.run_until_leader(sim, former)
        leader = sim.leader()
        while not leadership.is_loaded(leader.state.leader):
            sim.run(1)
        sim.store.modes[leader.name] = "refuse"
        sim.store.clock_ms = clock_ms
        sim.run(1_500)
        sim.silent_workers.add(name)
        sim.kill(leader.name)
        sim.run(8_000)
        assert not sim.find_problems()
