"""What leaders tell their successors of long-running tasks without a run."""

import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import idle_records
from skylarklug.scheduler import leases

READING = leases.ClockReading(store_ms=50_000, sent_at=990, answered_at=1_010)
KEY = fakes.first_key(1)


def waiting_task(sim, key):
    """Returns a task at the leader if it waits there, or None."""
    group = sim.leader().state.leader.ready.get(key[:3], {})
    return group.get(key)


def recorded_tasks(sim):
    row = sim.store.rows[leases.TABLE, leases.KEY].value
    return {tuple(fields) for fields, *_ in row["idle"]}


class TestRow:
    def test_times_are_read_back(self):
        """Guards against a wait that loses its beginning, or seems to begin
        later than now, on the way through the store."""
        record = idle_records.IdleRecord(-3_000, -1_000, "failed", True)
        rows = idle_records.encode(READING, {KEY: record})
        later = leases.ClockReading(52_000, 7_000, 7_010)
        found = idle_records.decode(later, rows)[KEY]
        assert found.idle_since == 7_010 - 2_000 - 1_010 - 3_000
        assert found.last_end == "failed"
        future = leases.ClockReading(10_000, 7_000, 7_010)
        assert idle_records.decode(future, rows)[KEY].idle_since == 7_010


class TestWaitingTask:
    """A task that waits for room when leaders end."""

    def prepare(self, deployment):
        """Returns a deployment and a task that has lost its run for a while."""
        sim = deployment(workers=3)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        worker = sim.workers[name]
        worker.draining = True
        sim.publish_workers()
        ended_at = takeovers.run_until_stopped(sim, tasks[name])
        sim.run(2_000)
        assert recorded_tasks(sim) == {tuple(tasks[name])}
        return sim, tasks, name, ended_at

    def test_its_wait_begins_anew(self, deployment):
        """Guards against a new leader that does not know since when a task has
        been without a run, and takes all others for waiting ones too."""
        sim, tasks, name, ended_at = self.prepare(deployment)
        for how in ("kill", "stop", "kill"):
            former = takeovers.end_leader(sim, how)
            takeovers.run_until_leader(sim, former)
            while not waiting_task(sim, tasks[name]):
                sim.run(1)
            for key in tasks.values():
                task = waiting_task(sim, key)
                if key == tasks[name]:
                    assert abs(task.idle_since - ended_at) < 300
                    assert task.last_end == "stopped"
                elif task is not None:
                    assert sim.now - task.idle_since < 4_000
            sim.run(1_500)

    def test_it_waits_for_a_silent_worker(self, deployment):
        """Guards against a task that is held for a worker that does not answer
        a new leader, although the former one knew that it ran nowhere."""
        sim, tasks, name, _ = self.prepare(deployment)
        other = min(tasks)
        sim.silent_workers.add(other)
        former = takeovers.end_leader(sim, "kill")
        takeovers.run_until_leader(sim, former)
        gained_at = sim.now
        takeovers.add_worker(sim, "new")
        sim.run(takeovers.STARTUP_MS)
        takeovers.assert_started(
            sim, tasks[name], gained_at, gained_at + takeovers.STARTUP_MS
        )
        sim.run(20_000)
        assert not sim.find_problems()

    def test_recorded_task_runs_twice(self, deployment):
        """Guards against a second run of a task that a leader starts while the
        store still says that it runs nowhere."""
        sim, tasks, name, _ = self.prepare(deployment)
        former = sim.leader()
        sim.store.modes[former.name] = "silent"
        takeovers.add_worker(sim, "new")
        sim.run(500)
        sim.silent_workers.add("new")
        sim.kill(former.name)
        sim.store.modes.clear()
        sim.add_node("m")
        takeovers.run_until_leader(sim)
        takeovers.add_worker(sim, "newer")
        sim.run(takeovers.LOST_MS)
        assert not sim.find_problems()
        assert tasks[name] in dict(sim.running(1))

    def test_record_ends_with_the_wait(self, deployment):
        """Guards against a record that stays although its task runs again."""
        sim, tasks, name, _ = self.prepare(deployment)
        takeovers.add_worker(sim, "new")
        sim.run(1_500)
        assert tasks[name] in dict(sim.running(1))
        assert not recorded_tasks(sim)


class TestTaskOfSilentWorker:
    def test_its_wait_begins_with_the_next_leader(self, deployment):
        """Guards against a task whose worker was silent for seconds under the
        former leader, and that seems to have had a run until that one ended."""
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        lost_at = sim.now
        takeovers.remove_worker(sim, sim.workers[name], listed=True)
        sim.run(4_000)
        former = takeovers.end_leader(sim, "stop")
        takeovers.run_until_leader(sim, former)
        while not waiting_task(sim, tasks[name]):
            sim.run(1)
        task = waiting_task(sim, tasks[name])
        assert abs(task.idle_since - lost_at) < 1_500

    def test_nothing_is_kept_free_for_it(self, deployment):
        """Guards against a task that is held for a silent worker and only then
        begins to wait for room."""
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        takeovers.remove_worker(sim, sim.workers[name], listed=True)
        sim.run(2_500)
        former = takeovers.end_leader(sim, "stop")
        takeovers.run_until_leader(sim, former)
        sim.run(2_500)
        assert waiting_task(sim, tasks[name]).held
        assert tasks[name] in sim.leader().state.leader.reservations
