"""How long long-running tasks are without a run while leaders end in series.

A long-running task must run again within `takeovers.LOST_MS` after its last
run, however that run ended and however many leaders follow one another, and
never twice at a time. Only where leaders end unnoticed, by a power loss, a
suspension or a cut link, a wait may be longer by the last such time without a
leader.

A choice of the cases is played by default. All of them, or other seeds of the
random test, are played by

    LEADER_SERIES=all .venv/bin/python -m pytest -q -n 2 \
        tests/scheduler/test_leader_series.py -k "not Random"
    RANDOM_FAULT_SEEDS=100-400 .venv/bin/python -m pytest -q -n 2 \
        tests/scheduler/test_leader_series.py -k Random
"""

import leader_series
import pytest
import scheduler_fakes as fakes

DEFAULT_SEEDS = (1, 2, 3, 4)
FULL_WAYS = ("restart", "power")
if leader_series.plays_all():
    FULL_WAYS = tuple(leader_series.WAYS)

EACH_WAY = pytest.mark.parametrize("how", leader_series.WAYS)
FULL_FLEETS = pytest.mark.parametrize("how", FULL_WAYS)


class TestFailedRun:
    @EACH_WAY
    def test_failed_task_waits(self, deployment, how):
        """Guards against a failed task that waits anew with each leader."""
        leader_series.check(deployment, how, leader_series.fail)

    @EACH_WAY
    def test_failed_task_waits_for_another_worker(self, deployment, how):
        """Guards against a failed task that waits for the lease of a worker
        that is gone for good and has never run it."""
        leader_series.check(
            deployment, how, leader_series.fail_beside_gone_worker
        )

    @FULL_FLEETS
    def test_failed_task_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(deployment, how, leader_series.fail, full=True)


class TestReturningWorker:
    @EACH_WAY
    def test_task_of_crashed_worker_waits(self, deployment, how):
        """Guards against a task that waits for a run that ended with the former
        process of its worker."""
        leader_series.check(deployment, how, leader_series.crash_and_return)

    @EACH_WAY
    def test_task_of_worker_without_power_waits(self, deployment, how):
        """Guards against the same after the worker was silent meanwhile."""
        leader_series.check(deployment, how, leader_series.lose_worker_power)

    @FULL_FLEETS
    def test_task_of_crashed_worker_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(
            deployment, how, leader_series.crash_and_return, full=True
        )


class TestReplacedWorker:
    @EACH_WAY
    def test_task_of_replaced_worker_waits(self, deployment, how):
        """Guards against a task that waits for a worker at whose address
        another one has come up."""
        leader_series.check(deployment, how, leader_series.crash_and_replace)

    @FULL_FLEETS
    def test_task_of_replaced_worker_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(
            deployment, how, leader_series.crash_and_replace, full=True
        )


class TestGoneWorker:
    @EACH_WAY
    def test_task_of_listed_worker_waits(self, deployment, how):
        """Guards against a task that waits anew with each leader for the lease
        of a worker that is gone for good and still listed."""
        leader_series.check(deployment, how, leader_series.remove)

    @EACH_WAY
    def test_task_of_unlisted_worker_waits(self, deployment, how):
        """Guards against the same if the worker is not listed any more."""
        leader_series.check(deployment, how, leader_series.unlist)

    @FULL_FLEETS
    def test_task_of_gone_worker_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(deployment, how, leader_series.remove, full=True)


class TestSilentWorker:
    @EACH_WAY
    def test_task_whose_lease_has_ended_waits(self, deployment, how):
        """Guards against a task that waits anew with each leader after its
        lease has ended on a silent worker."""
        leader_series.check(deployment, how, leader_series.silence)

    @FULL_FLEETS
    def test_task_whose_lease_has_ended_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(deployment, how, leader_series.silence, full=True)


class TestStoppedRun:
    @EACH_WAY
    def test_stopped_task_waits(self, deployment, how):
        """Guards against a task that was stopped for a short one and whose
        return is lost between leaders."""
        leader_series.check(deployment, how, leader_series.stop_run)

    @FULL_FLEETS
    def test_stopped_task_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(deployment, how, leader_series.stop_run, full=True)


class TestRejectedStart:
    @EACH_WAY
    def test_rejected_task_waits(self, deployment, how):
        """Guards against a task that waits long after several starts, by
        different leaders, were rejected for lack of room."""
        leader_series.check(deployment, how, leader_series.reject_starts)

    @FULL_FLEETS
    def test_rejected_task_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(
            deployment, how, leader_series.reject_starts, full=True
        )


class TestDrainedWorker:
    @EACH_WAY
    def test_task_of_drained_worker_waits(self, deployment, how):
        """Guards against a task that waits for a worker that has drained and
        left under several leaders."""
        leader_series.check(deployment, how, leader_series.drain)

    @FULL_FLEETS
    def test_task_of_drained_worker_waits_for_room(self, deployment, how):
        """Guards against the same while short tasks take all room."""
        leader_series.check(deployment, how, leader_series.drain, full=True)


class TestRandomSeries:
    @pytest.mark.parametrize("seed", fakes.random_seeds(DEFAULT_SEEDS))
    def test_tasks_run_once_and_in_time(self, seed):
        """Guards against a combination of ends of runs and of leaders under
        which a long-running task waits for long, or runs twice."""
        found, ends = leader_series.play_random(seed)
        assert not found, "\n".join(map(str, found + ends))
