"""Requests and the leadership of a node that has been asked to stop."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events

# Settings of the fakes, and the part of it that is reserved for the exit.
GRACE_MS = 6_000
MARGIN_MS = 700
# Time for the balancer to notice that a node is not ready.
NOTICE_MS = 2_200


def stop(sim):
    """Stops a node that does not lead and returns it."""
    node = next(n for n in sim.nodes.values() if n.state.leader is None)
    sim.dispatch(node, events.StopRequested(sim.now))
    return node


def exited_after(sim, node):
    """Runs until the node has exited; returns how long that took."""
    since = sim.now
    while node.alive:
        sim.run(25)
        assert sim.now - since <= GRACE_MS
    return sim.now - since


class TestStop:
    def test_node_accepts_connections_while_the_balancer_sends_them(
        self, deployment
    ):
        """Guards against connections that are refused although the balancer
        cannot know yet, and against some that are accepted until the exit."""
        sim = deployment()
        node = stop(sim)
        sim.run(NOTICE_MS - 50)
        assert node.accepts_connections
        sim.run(100)
        assert node.alive
        assert not node.accepts_connections
        assert exited_after(sim, node) < 1_000

    def test_request_that_arrives_last_is_answered(self, deployment):
        """Guards against an exit while a request arrives, or is open that
        has arrived after the balancer's notice time."""
        sim = deployment()
        node = stop(sim)
        sim.run(NOTICE_MS)
        node.arriving_requests = 1
        sim.run(1_000)
        assert node.alive
        node.arriving_requests = 0
        sim.store.slow_ms = 500
        req = sim.submit(1, fakes.step(), node=node.name)
        sim.run(450)
        assert node.alive
        assert sim.status(req) is None
        exited_after(sim, node)
        assert sim.status(req) == 200

    def test_open_request_gets_one_answer_at_the_limit(self, deployment):
        """Guards against silence, a wrong refusal or a second answer for a
        request that the store has not answered when the node must exit."""
        sim = deployment()
        node = stop(sim)
        node.arriving_requests = 1
        sim.run(GRACE_MS - MARGIN_MS - 500)
        node.arriving_requests = 0
        sim.store.slow_ms = 600
        req = sim.submit(1, fakes.step(), node=node.name)
        took = exited_after(sim, node)
        assert took <= 550
        assert sim.status(req) == 504
        sim.run(1_000)
        assert len(sim.answers[req]) == 1
        sim.store.slow_ms = 0
        assert sim.state_of(1) in ("pending", "running", "done")

    def test_incomplete_request_is_refused_at_the_limit(self, deployment):
        """Guards against silence towards a client whose request takes longer
        to arrive than the grace period lasts."""
        sim = deployment()
        node = stop(sim)
        node.arriving_requests = 1
        took = exited_after(sim, node)
        assert GRACE_MS - MARGIN_MS <= took < GRACE_MS
        assert sim.refused_requests == 1


class TestLeadership:
    def wait_for_leader(self, sim, former):
        """Returns the log of the next leader and how long it took."""
        since = sim.now
        while sim.leader() in (None, former):
            sim.run(25)
            assert sim.now - since < 20_000
        return sim.leader().logs, sim.now - since

    def gained(self, logs):
        return [f for _, event, f in logs if event == "leadership-gained"][-1]

    @pytest.mark.parametrize("mode", ("refuse", "silent", "lose"))
    def test_release_that_fails_is_repeated(self, deployment, mode):
        """Guards against a release without an answer, after which the next
        leader waits as if the former one had been killed."""
        sim = deployment()
        former = sim.leader()
        sim.store.modes[former.name] = mode
        sim.dispatch(former, events.StopRequested(sim.now))
        sim.after(900, sim.store.modes.clear)
        logs, took = self.wait_for_leader(sim, former)
        assert took < 2_000
        assert self.gained(logs)["planned"]

    def test_claim_that_succeeds_after_the_signal_is_released(self, deployment):
        """Guards against an owner row that names a process which has ended,
        when it was stopped while its claim was under way."""
        sim = deployment()
        sim.kill(sim.leader().name)
        while not any(n.state.claiming for n in sim.nodes.values()):
            sim.run(1)
        node = next(n for n in sim.nodes.values() if n.state.claiming)
        sim.dispatch(node, events.StopRequested(sim.now))
        _, took = self.wait_for_leader(sim, node)
        assert took < 2_000
        sim.run(GRACE_MS)
        assert not node.alive

    def test_node_without_the_store_exits_in_time(self, deployment):
        """Guards against a stop that waits for a release beyond the limit."""
        sim = deployment()
        former = sim.leader()
        sim.store.modes[former.name] = "silent"
        sim.dispatch(former, events.StopRequested(sim.now))
        assert exited_after(sim, former) <= GRACE_MS - MARGIN_MS + 50
