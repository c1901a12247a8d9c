"""Gangs of which some members do not start."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import orders

# From the platform's pages: the shortest time for which a member waits.
GANG_TIMEOUT_MS = 3_000


@pytest.fixture
def gang(deployment, monkeypatch):
    """Returns a deployment in which one worker holds one member of a gang."""
    monkeypatch.setattr(fakes, "GANG_TIMEOUT_MS", GANG_TIMEOUT_MS)
    return deployment(workers=5)


def run_gang(sim, count=3, cpu=9_000, run_ms=12_000, **fields):
    """Runs a gang to its end; returns how its runs have ended."""
    sim.submit(1, fakes.step(count, cpu=cpu, gang=True, **fields))
    sim.run(run_ms)
    return [outcome for _, _, _, _, outcome in sim.history]


class TestMemberThatDoesNotStart:
    @pytest.mark.parametrize("refused", [1, 3])
    def test_others_do_not_wait_for_a_refused_member(self, gang, refused):
        """Guards against members that wait alone because a worker refused the
        start of another one."""
        gang.workers["w0"].refused_starts = refused
        outcomes = run_gang(gang)
        assert "alone" not in outcomes
        assert gang.state_of(1) == "done"

    def test_others_do_not_wait_for_a_member_without_room(self, gang):
        """Guards against members that wait alone because a worker has less
        room than its entry says."""
        worker = gang.workers["w0"]
        worker.enforces_capacity = True
        worker.resize(cpu=4_000)
        outcomes = run_gang(gang)
        assert "alone" not in outcomes
        assert gang.state_of(1) == "done"

    @pytest.mark.parametrize("lost", [1, 2, 3, 8])
    def test_others_do_not_wait_for_a_member_without_answer(self, gang, lost):
        """Guards against members that wait alone while the start of another
        one is ordered again and again."""
        gang.workers["w0"].lost_starts = lost
        outcomes = run_gang(gang, run_ms=20_000)
        assert "alone" not in outcomes
        assert gang.state_of(1) == "done"
        assert not gang.find_problems()

    def test_long_running_gang_starts_again(self, gang):
        """Guards against a long-running gang that is never complete."""
        gang.workers["w0"].refused_starts = 2
        for worker in gang.workers.values():
            worker.run_ms = 60_000
        outcomes = run_gang(gang, runs_until_cancelled=True)
        assert "alone" not in outcomes
        assert len(gang.running(1)) == 3


class TestWideGang:
    @pytest.mark.parametrize("count", [56, 300])
    def test_gang_of_more_members_than_starts_in_flight(self, gang, count):
        """Guards against more orders at once than a leader can answer for."""
        for worker in gang.workers.values():
            worker.resize(cpu=count * 100)
        gang.publish_workers()
        gang.run(500)
        leader = gang.leader().state.leader
        gang.submit(1, fakes.step(count, cpu=250, gang=True))
        most = 0
        for _ in range(600):
            gang.run(1)
            most = max(most, leader.starts_in_flight)
        gang.run(6_000)
        assert most <= orders.MAX_STARTS_IN_FLIGHT
        assert gang.state_of(1) == "done"
        assert len(gang.starts) == count

    def test_order_that_has_not_been_sent_is_dropped_with_its_gang(self, gang):
        """Guards against a member that starts after its gang was stopped."""
        for worker in gang.workers.values():
            worker.resize(cpu=30_000)
        gang.publish_workers()
        gang.run(500)
        gang.workers["w0"].refused_starts = 1
        outcomes = run_gang(gang, count=300, cpu=250)
        assert "alone" not in outcomes
        assert gang.state_of(1) == "done"
        assert not gang.find_problems()

    def test_worker_restarts_before_its_members_are_ordered(self, gang):
        """Guards against members that wait alone for others whose start was
        dropped before it was sent."""
        for worker in gang.workers.values():
            worker.resize(cpu=20_000)
            worker.lost_starts = 64
        gang.publish_workers()
        gang.run(500)
        gang.submit(1, fakes.step(300, cpu=250, gang=True))
        leader = gang.leader().state.leader
        while not leader.unsent_starts:
            gang.run(1)
        # No member on this worker has been ordered yet.
        *_, last = leader.unsent_starts.values()
        worker = gang.workers[last.worker]
        assert not worker.runs
        worker.crash(incarnation=2)
        worker.lost_starts = 0
        gang.publish_workers()
        gang.run(20_000)
        outcomes = [outcome for _, _, _, _, outcome in gang.history]
        assert "alone" not in outcomes
        assert gang.state_of(1) == "done"

    def test_cancelled_while_members_wait_for_their_order(self, gang):
        """Guards against members that start after their job was cancelled."""
        for worker in gang.workers.values():
            worker.resize(cpu=30_000)
        gang.publish_workers()
        gang.run(500)
        gang.submit(1, fakes.step(300, cpu=250, gang=True), node="n2")
        while not gang.starts:
            gang.run(1)
        gang.cancel(1, node="n2")
        gang.run(6_000)
        assert not gang.running(1)
        assert gang.state_of(1) == "canceled"
        assert not gang.leader().state.leader.unconfirmed
