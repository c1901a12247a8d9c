"""Which incarnation of a worker has got a start."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events
from skylarklug.scheduler import incarnations

KEY = fakes.first_key(1)


def answer_of(sent_at, at, clock_ms):
    """Returns the answer to a start, as the leader gets it."""
    return events.OrderAnswered(
        at, sent_at, "w0", "start", KEY, 1, "ok", "", clock_ms=clock_ms
    )


@pytest.fixture
def polled(deployment):
    """Returns (state, worker) of a leader that has polled a worker.

    The worker has first answered at 5,000 of the leader's clock. Its answer at
    10,000 says that its own clock is at 70,000.
    """
    sim = deployment(workers=1)
    sim.submit(1, fakes.step())
    state = sim.leader().state
    worker = state.leader.workers["w0"]
    worker.reached_at = 5_000
    worker.asked_at = 9_990
    worker.answered_at = 10_000
    worker.clock = (70_000, 10_000)
    worker.acknowledged = 3
    worker.unverified_starts[KEY, 1] = 0
    return state, worker


def verify(polled, event):
    """Returns up to which number ends may be forgotten after an answer."""
    state, worker = polled
    state.now = event.at
    incarnations.on_start_answered(state, event)
    return incarnations.acknowledgeable_end(worker)


class TestStartInFlight:
    def test_no_end_is_acknowledged(self, polled):
        """Guards against an acknowledgement beside a start that a worker which
        has restarted may execute."""
        _, worker = polled
        assert incarnations.acknowledgeable_end(worker) == 0

    @pytest.mark.parametrize(
        ("asked_at", "acknowledged"), [(10_099, 0), (10_100, 3)]
    )
    def test_later_poll_verifies_it(self, polled, asked_at, acknowledged):
        """Guards against an acknowledgement after a poll that the former
        incarnation has answered before the start was executed."""
        _, worker = polled
        verify(polled, answer_of(10_050, 10_100, -1))
        incarnations.verify_starts(worker, asked_at)
        assert incarnations.acknowledgeable_end(worker) == acknowledged


class TestClockInAnswer:
    @pytest.mark.parametrize("clock_ms", (70_045, 70_050, 70_055, 70_105))
    def test_same_clock_verifies_the_start(self, polled, clock_ms):
        """Guards against a second poll for each end on a busy worker."""
        assert verify(polled, answer_of(10_050, 10_100, clock_ms)) == 3

    @pytest.mark.parametrize("clock_ms", (-1, 0, 40, 69_999, 70_200, 90_000))
    def test_other_clock_does_not(self, polled, clock_ms):
        """Guards against taking a start on a later incarnation for one on the
        incarnation that was polled."""
        assert verify(polled, answer_of(10_050, 10_100, clock_ms)) == 0

    @pytest.mark.parametrize(
        ("reached_at", "acknowledged"), [(9_900, 0), (9_000, 3)]
    )
    def test_young_incarnation_is_polled(
        self, polled, reached_at, acknowledged
    ):
        """Guards against the same for an incarnation so young that the next one
        may be as old at the answer, which has taken 350 ms."""
        _, worker = polled
        worker.reached_at = reached_at
        event = answer_of(10_050, 10_400, 70_050)
        assert verify(polled, event) == acknowledged

    def test_suspended_leader_polls(self, polled):
        """Guards against the same for a leader that was suspended for longer
        than the worker is old between an answer and its event."""
        _, worker = polled
        worker.asked_at = 4_900
        assert verify(polled, answer_of(10_050, 10_100, 70_050)) == 0


class TestBusyWorkers:
    def test_most_polls_acknowledge(self, deployment):
        """Guards against polls that return at once because they acknowledge
        nothing, while each end makes room for the next start."""
        sim = deployment(workers=4)
        for worker in sim.workers.values():
            worker.run_ms = 60
        polls = []
        poll = sim.on_PollWorker

        def on_poll(node, effect):
            polls.append(effect.acknowledged)
            poll(node, effect)

        sim.submit(1, fakes.step(400, cpu=6_000))
        sim.run(1_000)
        sim.on_PollWorker = on_poll
        sim.run(3_000)
        assert sim.state_of(1) == "running"
        assert polls.count(0) < 0.2 * len(polls)
        assert not sim.find_problems()

    def test_unanswered_starts_cause_no_series_of_polls(self, deployment):
        """Guards against a leader that polls a worker without a pause, as each
        poll returns at once, while starts there get no answer."""
        sim = deployment(workers=2)
        for worker in sim.workers.values():
            worker.run_ms = 60
            worker.unanswered_starts = 1_000
        polls = []
        poll = sim.on_PollWorker

        def on_poll(node, effect):
            polls.append((sim.now, effect.worker))
            poll(node, effect)

        sim.submit(1, fakes.step(2_000, cpu=4_000))
        sim.run(1_000)
        sim.on_PollWorker = on_poll
        sim.run(6_000)
        assert sim.state_of(1) == "running"
        assert len(polls) / 6 / len(sim.workers) < 10
        assert not sim.find_problems()
