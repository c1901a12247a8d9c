"""Logs and metrics of what a new leader waits for."""

import takeovers


class TestHeldTask:
    def take_over(self, deployment):
        """Returns a deployment whose new leader does not reach a worker."""
        sim = deployment(workers=4)
        tasks = takeovers.run_lasting_job(sim, 3)
        name = max(tasks)
        takeovers.remove_worker(sim, sim.workers[name], listed=True)
        former = takeovers.end_leader(sim, "kill")
        takeovers.run_until_leader(sim, former)
        return sim, name, tasks[name]

    def test_log_tells_which_worker_a_task_waits_for(self, deployment):
        """Guards against a task that is held after a take-over while no log
        says for which worker, and until when."""
        sim, name, key = self.take_over(deployment)
        sim.run(100)
        fields = sim.log_of("takeover-read")[-1][2]
        assert fields["workers"] == 4
        assert fields["latest_expiry_ms"] > 0
        sim.run(1_000)
        fields = sim.log_of("worker-unreached")[-1][2]
        assert fields["worker"] == name
        assert fields["expires_in_ms"] > 0
        sim.run(15_000)
        fields = sim.log_of("settled")[-1][2]
        assert fields["unreached"] == [name]
        assert fields["released_tasks"] == 1
        assert takeovers.first_start(sim, key, 0)

    def test_held_tasks_are_measured(self, deployment):
        """Guards against held tasks that no metric shows."""
        sim, _, _ = self.take_over(deployment)
        measured = []

        def record(node, effect):
            if effect.name == "skylarklug.tasks.held":
                measured.append(effect.value)

        sim.on_Measure = record
        sim.run(3_000)
        assert measured[-1] == 1
        sim.run(15_000)
        assert measured[-1] == 0
