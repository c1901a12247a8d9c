"""Tests of node leases and partition ownership."""

from tests.core import shared_fakes

from skylarklug import events
from skylarklug import ownership

THREE_NODES = {"yumbo": 3}


def start(seed=1, partitions=3, run_ms=10_000, sizes=THREE_NODES):
    cluster = shared_fakes.Cluster(seed, sizes, partitions=partitions)
    cluster.raised = []
    cluster.start()
    for node in cluster.nodes.values():
        record_events(cluster, node)
    cluster.run(run_ms)
    return cluster


def record_events(cluster, node):
    """Records the internal events that a node raises."""
    state = node.state
    original = state.raise_event

    def record(event):
        cluster.raised.append((cluster.now, node.name, event))
        original(event)

    state.raise_event = record


def raised(cluster, event_type, since=0):
    return [
        (at, name, event)
        for at, name, event in cluster.raised
        if isinstance(event, event_type) and at >= since
    ]


def owners(cluster, count=3):
    """Returns (partition, node, epoch) for each owner in mode "held"."""
    return [
        (f"yumbo/{index}", node.name, epoch)
        for index in range(count)
        for node in cluster.nodes.values()
        if node.state is not None
        and (epoch := ownership.epoch_of(node.state, f"yumbo/{index}"))
        and ownership.mode(node.state) == "held"
    ]


def owner(cluster):
    return owners(cluster, 1)[0][1]


class TestStart:
    def test_each_partition_has_one_owner(self):
        """Guards against partitions without an owner or with two."""
        for seed in range(5):
            cluster = start(seed)
            found = owners(cluster)
            assert [name for name, _, _ in found] == [
                f"yumbo/{index}" for index in range(3)
            ]
            assert len({node for _, node, _ in found}) == 3

    def test_simultaneous_starts_cause_few_conflicts(self):
        """Guards against many conflicts when all nodes start at once."""
        for seed in range(10):
            cluster = start(seed)
            assert cluster.table.stats["conflicts"] <= 2, f"seed {seed}"

    def test_new_partition_was_not_taken_over(self):
        """Guards against the delay of a take-over at the first start."""
        cluster = start()
        found = raised(cluster, events.PartitionAcquired)
        assert [event.taken_over for _, _, event in found] == [False] * 3
        rows = ownership.list_partitions(cluster.nodes["yumbo-1"].state)
        assert [row["epoch"] for row in rows] == [1, 1, 1]


class TestTakeOver:
    def test_crash_is_fenced_after_the_lease(self):
        """Guards against a take-over before the lease ends or after 25 s."""
        cluster = start(partitions=1)
        name = owner(cluster)
        cluster.kill(name)
        killed_at = cluster.now
        cluster.run(killed_at + 25_000)
        at, other, event = raised(cluster, events.PartitionAcquired, killed_at)[
            0
        ]
        assert other != name
        assert (event.epoch, event.taken_over) == (2, True)
        assert 9_000 <= at - killed_at <= 20_000
        assert cluster.table.rows[f"node/{name}"][1]["state"] == "fenced"

    def test_fenced_node_drops_before_any_effect(self):
        """Guards against two owners after a pause beyond the lease."""
        cluster = start(partitions=1)
        name = owner(cluster)
        cluster.pause(name, 30_000)
        cluster.run(cluster.now + 29_000)
        state = cluster.nodes[name].state
        state.now = cluster.now + 1_100
        assert ownership.mode(state) == "suspended"
        cluster.run(cluster.now + 3_000)
        assert ownership.epoch_of(state, "yumbo/0") == 0
        lost = raised(cluster, events.PartitionLost)
        # The node reads its own lease row and the partition row independently,
        # so either may be the reason. PartitionLost is raised exactly once.
        assert [n for _, n, _ in lost] == [name]
        assert lost[0][2].reason in ("fenced", "another owner")
        checked = raised(cluster, events.LeaseChecked)
        assert any(e.held_until == 0 for _, n, e in checked if n == name)
        cluster.run(cluster.now + 10_000)
        assert ownership.mode(state) == "held"

    def test_restarted_node_reclaims_its_partition_soon(self):
        """Guards against a restarted node that waits for its own old lease."""
        cluster = start(partitions=1)
        name = owner(cluster)
        cluster.start(name)
        record_events(cluster, cluster.nodes[name])
        restarted_at = cluster.now
        cluster.run(restarted_at + 6_000)
        at, _, event = raised(cluster, events.PartitionAcquired, restarted_at)[
            0
        ]
        assert event.epoch == 2
        assert event.taken_over

    def test_short_pause_keeps_the_partition(self):
        """Guards against a change of owner after a pause within the lease."""
        cluster = start(partitions=1)
        cluster.pause(owner(cluster), 5_000)
        cluster.run(cluster.now + 20_000)
        assert raised(cluster, events.PartitionLost) == []

    def test_lost_answers_do_not_change_owners(self):
        """Guards against a node that takes its own renewal for fencing."""
        for seed in range(5):
            cluster = start(seed)
            cluster.table.lose_answers = 0.3
            cluster.run(60_000)
            assert raised(cluster, events.PartitionLost) == [], f"seed {seed}"

    def test_claim_with_lost_answer_is_acquired(self):
        """Guards against a claim that was committed but never acquired."""
        for seed in range(10):
            cluster = start(seed, run_ms=2_000)
            cluster.table.lose_answers = 0.6
            cluster.run(20_000)
            cluster.clear_faults()
            cluster.run(40_000)
            assert len(owners(cluster)) == 3, f"seed {seed}"


class TestOutage:
    def test_freezes_ownership(self):
        """Guards against owners that change at the end of an outage."""
        cluster = start()
        before = owners(cluster)
        cluster.table.outage = True
        cluster.run(100_000)
        modes = {ownership.mode(n.state) for n in cluster.nodes.values()}
        assert modes == {"detached"}
        cluster.clear_faults()
        cluster.run(130_000)
        assert owners(cluster) == before

    def test_detach_limit_ends_all_action(self):
        """Guards against an owner that renews tasks without a time limit."""
        cluster = start(run_ms=10_000)
        cluster.table.outage = True
        cluster.run(10_000 + 905_000)
        modes = {ownership.mode(n.state) for n in cluster.nodes.values()}
        assert modes == {"suspended"}

    def test_pause_while_detached_suspends(self):
        """Guards against a resumed owner that acts on an expired lease."""
        cluster = start(partitions=1)
        name = owner(cluster)
        state = cluster.nodes[name].state
        cluster.table.outage = True
        cluster.run(40_000)
        assert ownership.mode(state) == "detached"
        cluster.pause(name, 3_000)
        cluster.run(43_100)
        assert ownership.mode(state) == "suspended"
        cluster.run(60_000)
        assert ownership.mode(state) == "detached"


class TestRelease:
    def test_peer_takes_over_at_once(self):
        """Guards against a graceful stop that waits until the lease expires."""
        for seed in range(5):
            cluster = start(seed, partitions=1)
            name = owner(cluster)
            results = []

            def done(state, effects, result, results=results):
                results.append(result.status)

            released_at = cluster.now
            cluster.call(name, ownership.release_all, done)
            assert ownership.epoch_of(cluster.nodes[name].state, "yumbo/0") == 0
            cluster.run(released_at + 5_000)
            assert results == ["committed"]
            at, other, event = raised(
                cluster, events.PartitionAcquired, released_at
            )[0]
            assert other != name
            assert (event.epoch, event.taken_over) == (2, False)
            assert at - released_at <= 3_500, f"seed {seed}"

    def test_outage_does_not_block_the_stop(self):
        """Guards against a stop that blocks until the table answers again."""
        cluster = start(partitions=1)
        name = owner(cluster)
        results = []
        cluster.table.outage = True

        def done(state, effects, result):
            results.append(result.status)

        cluster.call(name, ownership.release_all, done)
        cluster.run(cluster.now + 20_000)
        assert results == ["unavailable"]


class TestBalance:
    def test_failed_hand_over_is_taken_back(self):
        """Guards against a partition whose live owner has dropped it."""
        cluster = shared_fakes.Cluster(2, THREE_NODES, partitions=3)
        answer = cluster.table.answer

        def drop_releases(at, node, effect):
            writes = getattr(effect, "writes", ())
            released = [w for w in writes if w.value.get("owner") == ""]
            return None if released else answer(at, node, effect)

        cluster.table.answer = drop_releases
        cluster.start("yumbo-1")
        cluster.run(10_000)
        cluster.start("yumbo-2", "yumbo-3")
        cluster.run(30_000)
        cluster.table.answer = answer
        cluster.run(90_000)
        found = owners(cluster)
        assert [name for name, _, _ in found] == [
            "yumbo/0",
            "yumbo/1",
            "yumbo/2",
        ]

    def test_nodes_that_start_later_get_their_share(self):
        """Guards against one node that keeps all partitions."""
        cluster = shared_fakes.Cluster(2, THREE_NODES, partitions=3)
        cluster.start("yumbo-1")
        cluster.run(10_000)
        cluster.start("yumbo-2", "yumbo-3")
        cluster.run(60_000)
        found = owners(cluster)
        assert len({node for _, node, _ in found}) == 3
        epochs = [epoch for _, _, epoch in found]
        assert sorted(epochs) == [1, 2, 2]
