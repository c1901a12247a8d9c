"""What the loss of workers proves about the tasks that they had."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import crashes
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib


def starts_of(sim, key):
    return [at for at, started, _, _ in sim.starts if started == key]


def run_until_started(sim, number):
    """Runs until a task of the job has a run; returns its worker's name."""
    for _ in range(4_000):
        found = sim.running(number)
        if found:
            return found[0][1]
        sim.run(25)
    raise AssertionError("no start")


class TestStartThatIsNotConfirmed:
    @pytest.mark.parametrize("losses", [3, 5])
    def test_workers_lost_before_they_begin_do_not_fail_a_job(
        self, deployment, losses
    ):
        """Guards against a job shown as failed although no run has begun."""
        sim = deployment(workers=24)
        sim.power_losses = losses
        sim.submit(1, fakes.step())
        sim.run(losses * 11_000)
        assert not sim.power_losses
        assert sim.state_of(1) == "done"
        assert len(starts_of(sim, fakes.first_key(1))) == 1

    def test_crashes_before_the_confirmation_become_rare(self, deployment):
        """Guards against a task that takes down worker after worker at once
        because none of them lives to confirm its start."""
        sim = deployment(workers=24)
        sim.power_losses = 1_000
        sim.submit(1, fakes.step())
        sim.run(60_000)
        lost = 1_000 - sim.power_losses
        sim.run(60_000)
        assert lost <= 8
        assert 1_000 - sim.power_losses - lost <= 3
        assert sim.state_of(1) == "running" or sim.state_of(1) == "pending"


class TestSilence:
    def test_workers_that_stay_silent_do_not_fail_a_job(self, deployment):
        """Guards against a job shown as failed because workers that run on
        were cut off one after another."""
        sim = deployment(workers=9)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        for _ in range(6):
            sim.cut_off(run_until_started(sim, 1))
            sim.run(9_000)
        assert sim.state_of(1) == "running"
        run_until_started(sim, 1)
        assert not sim.find_problems()


class TestFormerWorkerAtAnAddress:
    @pytest.mark.parametrize(
        ("address", "incarnation", "proven"),
        [("h:1", 5, True), ("h:2", 5, False), ("h:1", 2, False)],
    )
    def test_next_worker_at_its_address_proves_the_end(
        self, address, incarnation, proven
    ):
        """Guards against a task that crashes workers without limit because
        each of them returns under another name under another leader."""
        job = state_lib.Job(records.JobSpec("j", "", "", "", (), 0), 0)
        task = state_lib.Task(job, fakes.first_key(1), fakes.step())
        job.tasks[task.key] = task
        task.crashes[1] = records.Crash("w1", 3, "h:1", 0, False)
        leader = state_lib.LeaderState(1, 0, 0)
        crashes.watch(leader, task)
        entry = fakes.Worker(fakes.Sim(0, 0), "w2").entry()
        worker = state_lib.Worker(entry._replace(address=address))
        worker.incarnation = incarnation
        crashes.prove_at_address(leader, worker)
        assert task.crashes[1].proven is proven
