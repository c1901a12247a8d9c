"""Logs and metrics of long-running tasks that are without a run."""

import scheduler_fakes as fakes
import takeovers

from skylarklug.scheduler import waiting


class TestIdleTime:
    def start_one(self, deployment):
        sim = deployment(workers=2)
        sim.submit(1, takeovers.lasting(1))
        sim.run(3_000)
        ((_, name),) = sim.running(1)
        return sim, sim.workers[name]

    def last_place(self, sim):
        return sim.log_of("place")[-1][2]

    def test_end_of_the_last_run_is_logged(self, deployment):
        """Guards against waits whose log does not say what they follow."""
        sim, worker = self.start_one(deployment)
        assert self.last_place(sim)["last_end"] == "none"
        worker.end(fakes.first_key(1), "failed")
        sim.run(1_000)
        assert self.last_place(sim)["last_end"] == "failed"
        ((_, name),) = sim.running(1)
        worker = sim.workers[name]
        sim.run(1_000)
        worker.crash(worker.incarnation + 1)
        sim.publish_workers()
        sim.run(1_000)
        assert self.last_place(sim)["last_end"] == "lost: reborn"

    def test_short_runs_do_not_end_it(self, deployment):
        """Guards against a task that looks served because it was started again
        and again."""
        sim, _ = self.start_one(deployment)
        ended_at = None
        for _ in range(6):
            ((key, name),) = sim.running(1)
            sim.workers[name].end(key, "failed")
            ended_at = ended_at or sim.now
            while not sim.running(1):
                sim.run(5)
            sim.run(100)
        idle_ms = self.last_place(sim)["idle_ms"]
        assert idle_ms >= sim.now - ended_at - 500

    def test_waiting_tasks_are_measured(self, deployment):
        """Guards against a long wait that no metric and no warning shows."""
        sim, worker = self.start_one(deployment)
        measured = []

        def record(node, effect):
            if effect.name == "skylarklug.tasks.longest_idle":
                measured.append(effect.value)

        sim.on_Measure = record
        for other in sim.workers.values():
            other.draining = True
        sim.publish_workers()
        sim.run(10_000)
        assert measured[-1] >= 8
        fields = sim.log_of("long-running-idle")[-1][2]
        assert fields["task"] == str(fakes.first_key(1))
        assert fields["idle_ms"] >= 8_000
        assert fields["last_end"] == "stopped"
        assert fields["waits_for"] == waiting.NO_WORKER
