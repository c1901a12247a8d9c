"""By how old a configuration nodes decide, and what they may say then."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import events

# The store confirms a version to the operator; from this time on no request may
# be decided by an older one.
APPLY_MS = 2_000
# Time in which a request that can't be decided is rejected.
REJECT_MS = 400
ADDED = fakes.QUEUE._replace(name="added", prefix="/added/")
UNKNOWN_PREFIX = "/unknown/"
FIRST = fakes.CONFIGURATION
WITH_ADDED = FIRST._replace(
    version=4, queues={"batch": fakes.QUEUE, "added": ADDED}
)
WITHOUT_ADDED = FIRST._replace(version=7)


def follower(sim):
    return next(n for n in sim.nodes.values() if not n.state.leader)


def turn_away(sim, nodes, mode):
    for node in nodes:
        sim.store.modes[node.name] = mode


def count(sim, node, prefix):
    """Asks for the length of a queue; returns (status, ms until the answer)."""
    sent_at = sim.now
    req = sim.request_count(node.name, prefix)
    while sim.status(req) is None and sim.now < sent_at + 5_000:
        sim.run(10)
    return sim.status(req), sim.now - sent_at


def counts(sim, node, prefix, duration_ms):
    """Asks for the length of a queue all the time; returns the answers."""
    end = sim.now + duration_ms
    found = []
    while sim.now < end:
        found.append(count(sim, node, prefix))
        sim.run(190)
    return found


class TestAge:
    def test_refusal_tells_by_how_old_a_configuration(self, deployment):
        """Guards against logs that do not tell a node that the store has turned
        away from one that knows the newest configuration."""
        sim = deployment()
        node = follower(sim)
        sim.submit(1, fakes.step(), node=node.name, prefix=UNKNOWN_PREFIX)
        turn_away(sim, sim.nodes.values(), "refuse")
        sim.run(8_000)
        sim.submit(2, fakes.step(), node=node.name, prefix=UNKNOWN_PREFIX)
        sim.run(500)
        lines = [f for _, event, f in node.logs if event == "request-failed"]
        ages = [fields["configuration_age_ms"] for fields in lines]
        assert ages[0] <= fakes.WATCH_POLL_MS + fakes.STORE_DELAY_MS
        assert ages[1] > 7_000
        assert [fields["configuration"] for fields in lines] == [1, 1]


@pytest.mark.parametrize("mode", ["refuse", "silent"])
class TestTurnedAwayNode:
    """The store turns one node away and serves the others and the operator."""

    def test_it_does_not_deny_an_added_queue(self, deployment, mode):
        """Guards against a 404 for a queue that was added while the store had
        turned the node away (CONFIG on casva-sched)."""
        sim = deployment()
        node = follower(sim)
        turn_away(sim, [node], mode)
        sim.run(500)
        sim.change_configuration(WITH_ADDED)
        sim.run(APPLY_MS)
        answers = counts(sim, node, ADDED.prefix, 12_000)
        assert 404 not in [status for status, _ in answers]

    def test_it_does_not_serve_a_removed_queue(self, deployment, mode):
        """Guards against an answer for a queue that was removed while the store
        had turned the node away."""
        sim = deployment(configuration=WITH_ADDED)
        node = follower(sim)
        turn_away(sim, [node], mode)
        sim.run(500)
        sim.change_configuration(WITHOUT_ADDED)
        sim.run(APPLY_MS)
        answers = counts(sim, node, ADDED.prefix, 12_000)
        assert 200 not in [status for status, _ in answers]

    def test_it_learns_each_version_in_time(self, deployment, mode):
        """Guards against a node for which the store is the only way to a newer
        configuration."""
        sim = deployment(nodes=9)
        sim.run(8_000)
        away = list(sim.nodes.values())[::2]
        turn_away(sim, away, mode)
        for version in (5, 11, 12):
            sim.run(3_000)
            sim.change_configuration(WITH_ADDED._replace(version=version))
            sim.run(APPLY_MS)
            for node in away:
                assert node.state.configuration.version == version
                assert count(sim, node, UNKNOWN_PREFIX)[0] == 404

    def test_it_outlives_the_leader(self, deployment, mode):
        """Guards against a second way that leads over the leader only."""
        sim = deployment(nodes=6)
        sim.run(8_000)
        leader = sim.leader()
        away = [n for n in sim.nodes.values() if n is not leader][:3]
        turn_away(sim, away, mode)
        sim.run(1_000)
        sim.lose_node_power(leader.name)
        sim.run(4_000)
        sim.change_configuration(WITH_ADDED)
        sim.run(APPLY_MS)
        for node in away:
            assert node.state.configuration.version == WITH_ADDED.version


class TestNobodyKnows:
    @pytest.mark.parametrize("mode", ["refuse", "silent"])
    def test_nothing_is_claimed(self, deployment, mode):
        """Guards against a claim about queues by nodes none of which the store
        has served for a while, and against a wait for an answer that can't
        come."""
        sim = deployment()
        node = follower(sim)
        sim.run(500)
        turn_away(sim, sim.nodes.values(), mode)
        sim.change_configuration(WITH_ADDED)
        sim.run(APPLY_MS)
        for prefix in (ADDED.prefix, fakes.QUEUE.prefix):
            answers = counts(sim, node, prefix, 4_000)
            assert {status for status, _ in answers} == {503}
            assert max(waited for _, waited in answers) <= REJECT_MS
        sim.store.modes.clear()
        sim.run(APPLY_MS)
        assert count(sim, node, ADDED.prefix)[0] == 200


class TestSilentFeed:
    def test_versions_arrive_in_time(self, deployment):
        """Guards against a node that takes a dead connection for a feed without
        changes."""
        sim = deployment()
        sim.run(8_000)
        node = follower(sim)
        node.hung_tables.add("operator")
        for version in (5, 6):
            sim.run(2_500)
            sim.change_configuration(WITH_ADDED._replace(version=version))
            sim.run(APPLY_MS)
            assert count(sim, node, ADDED.prefix)[0] == 200


class TestSuspendedProcess:
    @pytest.mark.parametrize("answers_first", [True, False])
    def test_it_asks_before_it_denies_a_queue(self, deployment, answers_first):
        """Guards against a 404 of a process that has been suspended, before the
        first answer of the store has reached it."""
        sim = deployment()
        node = follower(sim)
        sim.run(500)
        sim.pause(node)
        sim.run(3_000)
        sim.change_configuration(WITH_ADDED)
        sim.run(APPLY_MS)
        held, node.paused_events = node.paused_events, []
        sim.resume(node)
        if answers_first:
            for make in held:
                sim.dispatch(node, make(node.clock.now()))
        req = sim.submit(1, fakes.step(), node=node.name, prefix=ADDED.prefix)
        sim.run(REJECT_MS)
        assert sim.status(req) == 200


class TestRestart:
    @pytest.mark.parametrize("others", ["ok", "refuse"])
    def test_no_older_version_comes_into_force(self, deployment, others):
        """Guards against a restarted node that takes an older version from a
        node that the store has turned away for longer."""
        sim = deployment(nodes=4)
        sim.run(8_000)
        node = follower(sim)
        stale = [n for n in sim.nodes.values() if n is not node]
        turn_away(sim, stale[1:], "refuse")
        turn_away(sim, stale[:1], others)
        sim.change_configuration(WITH_ADDED)
        sim.run(500)
        assert node.state.configuration.version == WITH_ADDED.version
        sim.store.modes[node.name] = "silent"
        sim.lose_node_power(node.name)
        sim.run(500)
        again = sim.add_node(node.name)
        for other in stale:
            sim.introduce(again, other)
        for _ in range(60):
            sim.run(100)
            cfg = again.state.configuration
            assert cfg is None or cfg.version == WITH_ADDED.version
            assert count(sim, again, ADDED.prefix)[0] != 404


class TestUnreadableVersion:
    def test_no_queue_is_denied(self, deployment):
        """Guards against a 404 by the former version when the newest one can't
        be read."""
        sim = deployment()
        node = follower(sim)
        sim.dispatch(node, events.ConfigurationUnreadable(sim.now))
        for _ in range(20):
            assert count(sim, node, UNKNOWN_PREFIX)[0] == 503
            assert count(sim, node, fakes.QUEUE.prefix)[0] == 200
            sim.run(200)
        sim.change_configuration(WITH_ADDED)
        sim.run(100)
        assert count(sim, node, UNKNOWN_PREFIX)[0] == 404
