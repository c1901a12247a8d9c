"""Replays of outages of the store, as clients of one node see them."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import rejection


def follower(sim):
    return next(n for n in sim.nodes.values() if not n.state.leader)


class TestSubmit:
    @pytest.mark.parametrize("mode", ["refuse", "silent"])
    def test_jobs_are_rejected_at_once_while_the_store_is_lost(
        self, deployment, mode
    ):
        """Guards against clients that wait for a time-out, and then do not know
        whether their job runs, although the node knows that it cannot."""
        sim = deployment()
        node = follower(sim)
        sim.store.modes[node.name] = mode
        sim.run(2_600)
        commits = len(sim.store.commits)
        req = sim.submit(1, fakes.step(), node=node.name)
        answer = sim.answers[req][0]
        assert (answer.status, answer.retry_after_s) == (503, 3)
        sim.store.modes.clear()
        sim.run(3_000)
        written = [
            write.key
            for _, _, effect in sim.store.commits[commits:]
            for write in effect.writes
        ]
        assert fakes.job_id(1) not in written
        assert sim.state_of(1) == "gone"
        assert sim.status(sim.submit(1, fakes.step(), node=node.name)) is None
        sim.run(3_000)
        assert sim.state_of(1) == "done"

    def test_first_refusal_is_passed_on_without_delay(self, deployment):
        """Guards against clients that are held by a node without a store."""
        sim = deployment()
        node = follower(sim)
        sim.store.modes[node.name] = "refuse"
        req = sim.submit(1, fakes.step(), node=node.name)
        sim.run(50)
        assert sim.answers[req][0].status == 503

    def test_unknown_outcome_is_not_called_a_refusal(self, deployment):
        """Guards against "not run" for a job that a lost answer hides."""
        sim = deployment()
        node = follower(sim)
        sim.store.modes[node.name] = "lose"
        req = sim.submit(1, fakes.step(), node=node.name)
        sim.run(3_000)
        assert sim.answers[req][0].status == 504
        sim.store.modes.clear()
        sim.run(3_000)
        assert sim.state_of(1) == "done"


class TestState:
    @pytest.mark.parametrize("mode", ["refuse", "silent"])
    def test_known_states_are_answered_without_the_store(
        self, deployment, mode
    ):
        """Guards against a refusal of what the node has read before."""
        sim = deployment()
        node = follower(sim)
        sim.submit(1, fakes.step(runs_until_cancelled=True), node=node.name)
        sim.submit(2, fakes.step(), node=node.name)
        sim.run(3_000)
        for number in (1, 2):
            sim.request_status(number, node.name)
        sim.run(100)
        sim.store.modes[node.name] = mode
        sim.run(3_000)
        for number, expected in ((1, "running"), (2, "done")):
            req = sim.request_status(number, node.name)
            sim.run(10)
            answer = sim.answers[req][0]
            assert (answer.status, answer.body) == (200, {"state": expected})
        req = sim.request_status(3, node.name)
        sim.run(10)
        assert sim.answers[req][0].status == 503

    def test_final_state_needs_no_store_call(self, deployment):
        """Guards against a read of the store for each repeated question."""
        sim = deployment()
        sim.submit(1, fakes.step(), node="n0")
        sim.run(3_000)
        assert sim.state_of(1) == "done"
        reads = []
        sim.on_ReadRows = lambda node, effect: reads.append(effect)
        assert sim.state_of(1) == "done"
        assert not reads


class TestRetryAfter:
    def test_retries_of_a_client_outlast_an_outage(self):
        """Guards against a client that gives up before the store is back: it
        has four retries, and an outage lasts for up to six seconds."""
        for priority in (0, 2):
            at = 1_200
            for _ in range(4):
                at += 1_000 * rejection.retry_after_s(1, at, priority)
            assert at > 6_000

    def test_urgent_clients_return_first_after_a_long_outage(self):
        """Guards against all clients that return at once, and against few
        retries that are used up before a long outage ends."""
        at = rejection.LONG_OUTAGE_MS + 1_001
        assert rejection.retry_after_s(0, 5_000, 2) == 1
        assert rejection.retry_after_s(1_000, 1_500, 0) == 1
        assert rejection.retry_after_s(1_000, 1_500, 2) == 2
        assert rejection.retry_after_s(1_000, at, 0) == 2
        assert rejection.retry_after_s(1_000, at, 2) == 3
