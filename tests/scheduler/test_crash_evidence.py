"""What the loss of workers proves about the tasks that they had."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import crashes
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib

# Racks of the fleets below, and workers in each.
RACKS = 3
RACK_SIZE = 8
# For how long a rack is without power, and how often one loses it.
DARK_MS = 2_000
LOSSES = 20


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


def fleet_of_racks(deployment):
    sim = deployment(workers=RACKS * RACK_SIZE)
    for number, worker in enumerate(sim.workers.values()):
        worker.labels = ("a", f"r{number % RACKS}")
        worker.run_ms = 2_700
    sim.publish_workers()
    sim.run(1_000)
    return sim


def lose_racks(sim, each_interval):
    """Lets racks lose power one after another, and submits work meanwhile."""
    for number in range(LOSSES):
        rack = f"r{number * 7 % RACKS}"
        for worker in list(sim.workers.values()):
            if worker.labels[-1] == rack:
                sim.lose_power(worker, DARK_MS - 100)
        each_interval(number)
        sim.run(DARK_MS)


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
        assert sim.state_of(1) in ("pending", "running")


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


class TestCommonCause:
    def test_racks_that_lose_power_fail_no_job(self, deployment):
        """Guards against jobs shown as failed because a rack without power
        took their runs along, again and again."""
        sim = fleet_of_racks(deployment)
        sim.submit(1, fakes.step(6, runs_until_cancelled=True))

        def submit(number):
            for job in range(10 + 4 * number, 14 + 4 * number):
                sim.submit(job, fakes.step(8, cpu=2_000))

        lose_racks(sim, submit)
        sim.run(30_000)
        ended = [fields for _, _, fields in sim.log_of("job-ended")]
        assert not [row for row in ended if row["state"] == "failed"]
        assert len(ended) == 4 * LOSSES
        assert len(sim.running(1)) == 6
        assert not sim.find_problems()

    def test_tasks_lost_with_a_rack_start_again_at_once(self, deployment):
        """Guards against tasks that wait to be tried one by one, on a fleet
        with room, after the loss of a rack."""
        sim = fleet_of_racks(deployment)

        def submit(number):
            sim.submit(10 + number, fakes.step(12, cpu=1_000))

        lose_racks(sim, submit)
        sim.run(10_000)
        waits = []
        for _, _, fields in sim.log_of("place"):
            if fields["waited_for"] == "trial":
                waits.append(fields["waited_ms"])
        # A lost task has waited since its worker last answered.
        assert not [wait for wait in waits if wait > 6_500 + 1_000]

    @pytest.mark.parametrize("crash_delay_ms", [10, 3_000])
    def test_task_that_crashes_beside_others_is_given_up(
        self, deployment, monkeypatch, crash_delay_ms
    ):
        """Guards against a job whose tasks crash several workers at once and
        thereby seem to have had nothing to do with it."""
        monkeypatch.setattr(fakes, "CRASH_DELAY_MS", crash_delay_ms)
        sim = deployment(workers=12)
        for index in range(4):
            sim.fatal_tasks.add(fakes.first_key(1, index))
        sim.submit(1, fakes.step(4, cpu=12_000, runs_until_cancelled=True))
        sim.run(90_000)
        assert sim.state_of(1) == "failed"
        for index in range(4):
            assert len(starts_of(sim, fakes.first_key(1, index))) <= 5

    def test_jobs_that_crash_workers_together_are_given_up(self, deployment):
        """Guards against tasks of different jobs that clear each other as
        they crash their workers at the same time."""
        sim = deployment(workers=12)
        for number in range(1, 5):
            sim.fatal_tasks.add(fakes.first_key(number))
            sim.submit(number, fakes.step(cpu=12_000))
        sim.run(60_000)
        for number in range(1, 5):
            assert sim.state_of(number) == "failed"
            assert len(starts_of(sim, fakes.first_key(number))) <= 5


class TestOtherCause:
    def test_task_that_crashes_workers_while_others_lose_power(
        self, deployment
    ):
        """Guards against a task that crashes worker after worker because some
        other worker is always losing its power."""
        sim = deployment(workers=24)
        key = fakes.first_key(1)
        sim.fatal_tasks.add(key)

        def lose(number):
            worker = list(sim.workers.values())[number % len(sim.workers)]
            sim.lose_power(worker, 5_000)
            sim.after(300, lambda: lose(number + 7))

        lose(0)
        sim.run(4_000)
        sim.submit(1, fakes.step())
        sim.run(60_000)
        assert sim.state_of(1) == "failed"
        assert len(starts_of(sim, key)) <= 5


class TestKnownTime:
    def test_run_of_unknown_age_has_not_crashed_its_worker(self, deployment):
        """Guards against a run that has lasted, with no poll to show it, and
        counts as one that crashed its worker right after its start."""
        sim = deployment(workers=9)
        sim.submit(1, fakes.step(runs_until_cancelled=True))
        for _ in range(2):
            name = run_until_started(sim, 1)
            sim.mute_workers.add(name)
            sim.run(1_500)
            sim.mute_workers.discard(name)
            sim.crash_worker(sim.workers[name])
        run_until_started(sim, 1)
        assert sim.state_of(1) == "running"
