"""Tests of failure detection and links."""

from tests.core import shared_fakes

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import membership

THREE_NODES = {"yumbo": 3}
NINE_NODES = {"yumbo": 3, "palmira": 3, "jamundi": 3}


def start(sizes, seed=1, **settings):
    cluster = shared_fakes.Cluster(seed, sizes, **settings)
    changes = []

    def observe(cluster, node, event, effects):
        domain = node.state.domains["membership"]
        views = {m.node: m.effective_state() for m in domain.members.values()}
        changes.append((cluster.now, node.name, views))

    cluster.observers.append(observe)
    cluster.start()
    cluster.run(5_000)
    changes.clear()
    return cluster, changes


def find_down_members(changes):
    """Returns each (observer, member) for which the member was once down."""
    return {
        (name, node)
        for _, name, views in changes
        for node, view in views.items()
        if view == "down"
    }


class TestDetection:
    def test_killed_node_is_down_within_8_s(self):
        """Guards against requests and slots that wait for a failed node."""
        cluster, _ = start(THREE_NODES)
        cluster.kill("yumbo-3")
        cluster.run(cluster.now + 8_000)
        for name in ("yumbo-1", "yumbo-2"):
            state = cluster.nodes[name].state
            assert membership.live_nodes(state, "yumbo") == [
                "yumbo-1",
                "yumbo-2",
            ]
            assert not membership.is_reachable(state, "yumbo-3")

    def test_restarted_node_is_alive_again(self):
        """Guards against a down state that outlasts the old incarnation."""
        cluster, _ = start(THREE_NODES)
        cluster.kill("yumbo-3")
        cluster.run(cluster.now + 10_000)
        cluster.start("yumbo-3")
        cluster.run(cluster.now + 8_000)
        for node in cluster.nodes.values():
            assert len(membership.live_nodes(node.state, "yumbo")) == 3

    def test_message_loss_makes_no_node_down(self):
        """Guards against members that flap at 30% message loss."""
        for seed in range(8):
            cluster, changes = start(NINE_NODES, seed)
            cluster.loss = 0.3
            cluster.run(60_000)
            assert find_down_members(changes) == set(), f"seed {seed}"

    def test_one_way_block_makes_no_node_down(self):
        """Guards against a node declared down because one path is blocked."""
        cluster, changes = start(THREE_NODES)
        cluster.block("yumbo-2", "yumbo-1", both=False)
        cluster.run(40_000)
        assert find_down_members(changes) == set()

    def test_partitioned_data_centres_stay_alive_for_a_third(self):
        """Guards against a network partition that is reported as failures."""
        cluster, changes = start(NINE_NODES)
        for one in range(1, 4):
            for two in range(1, 4):
                cluster.block(f"yumbo-{one}", f"palmira-{two}")
        cluster.run(60_000)
        for observer, member in find_down_members(changes):
            assert not observer.startswith("jamundi")
            assert not member.startswith("jamundi")

    def test_unreachable_data_centre_is_reported_and_returns(self):
        """Guards against spill to a data centre that cannot be reached."""
        cluster, _ = start(NINE_NODES)
        others = [n for n in cluster.nodes if not n.startswith("yumbo")]
        for one in range(1, 4):
            for other in others:
                cluster.block(f"yumbo-{one}", other)
        cluster.run(60_000)
        state = cluster.nodes["yumbo-1"].state
        assert not any(membership.is_reachable(state, node) for node in others)
        assert len(membership.live_nodes(state, "yumbo")) == 3
        cluster.clear_faults()
        cluster.run(90_000)
        assert len(membership.live_nodes(state, "palmira")) == 3
        assert any(membership.is_reachable(state, node) for node in others)


class TestPause:
    def test_resumed_node_suspects_no_other(self):
        """Guards against a node that takes its pause for failures of others."""
        for seed in range(5):
            cluster, changes = start(THREE_NODES, seed)
            cluster.pause("yumbo-1", 20_000)
            cluster.run(cluster.now + 19_900)
            changes.clear()
            cluster.run(cluster.now + 10_000)
            wrong_views = [
                (name, view)
                for _, name, views in changes
                for view in views.values()
                if name == "yumbo-1" and view != "alive"
            ]
            assert wrong_views == [], f"seed {seed}"

    def test_paused_node_refutes(self):
        """Guards against a live node that remains down for the others."""
        cluster, changes = start(THREE_NODES)
        cluster.pause("yumbo-1", 20_000)
        cluster.run(24_000)
        assert ("yumbo-2", "yumbo-1") in find_down_members(changes)
        cluster.run(35_000)
        state = cluster.nodes["yumbo-2"].state
        assert "yumbo-1" in membership.live_nodes(state, "yumbo")


class TestLinks:
    def test_full_mesh_in_data_centre_and_few_links_outside(self):
        """Guards against a number of links quadratic in the number of nodes."""
        sizes = {name: 4 for name in ("a", "b", "c", "d")}
        regions = {"a": "one", "b": "one", "c": "two", "d": "two"}
        cluster = shared_fakes.Cluster(3, sizes, regions=regions)
        opened = []

        def observe(cluster, node, event, effects):
            for effect in effects:
                if isinstance(effect, fx.ConnectPeer):
                    opened.append((node.name, effect.peer))

        cluster.observers.append(observe)
        cluster.start()
        cluster.run(10_000)
        linked_peers = {peer for name, peer in opened if name == "a-1"}
        assert {"a-2", "a-3", "a-4"} <= linked_peers
        assert len([p for p in linked_peers if p.startswith("b")]) == 2
        assert len([p for p in linked_peers if p[0] in "cd"]) == 1

    def test_reconnects_are_spread_over_time(self):
        """Guards against simultaneous reconnects to a returning node."""
        cluster, _ = start(THREE_NODES)
        attempts = []

        def observe(cluster, node, event, effects):
            for effect in effects:
                if isinstance(effect, fx.ConnectPeer):
                    attempts.append(cluster.now)

        cluster.observers.append(observe)
        cluster.kill("yumbo-3")
        cluster.run(cluster.now + 60_000)
        assert 20 <= len(attempts) <= 120

    def test_discovers_nodes_outside_settings(self):
        """Guards against replacement VMs to which no node connects."""
        cluster = shared_fakes.Cluster(1, THREE_NODES)
        listed = cluster.settings["nodes"]
        cluster.settings = {"nodes": listed[:2]}
        cluster.start("yumbo-1", "yumbo-2")
        cluster.settings = {"nodes": listed}
        cluster.start("yumbo-3")
        cluster.run(25_000)
        for node in cluster.nodes.values():
            assert len(membership.live_nodes(node.state, "yumbo")) == 3

    def test_leave_is_immediate(self):
        """Guards against a suspicion of a node that announced its stop."""
        cluster, _ = start(THREE_NODES)
        cluster.call("yumbo-3", membership.announce_leave, ["yumbo/0"])
        cluster.run(cluster.now + 200)
        state = cluster.nodes["yumbo-1"].state
        assert membership.live_nodes(state, "yumbo") == ["yumbo-1", "yumbo-2"]
        rows = {row["node"]: row for row in membership.list_nodes(state)}
        assert rows["yumbo-3"]["state"] == "down"
        assert rows["yumbo-2"]["reachable"]

    def test_member_changed_is_raised(self):
        """Guards against modules that are not notified of a failure."""
        cluster, _ = start(THREE_NODES)
        state = cluster.nodes["yumbo-1"].state
        raised = []
        state.raise_event = raised.append
        cluster.call("yumbo-3", membership.announce_leave, [])
        cluster.run(cluster.now + 200)
        changes = [e for e in raised if isinstance(e, events.MemberChanged)]
        assert (changes[0].node, changes[0].state) == ("yumbo-3", "down")
