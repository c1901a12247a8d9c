"""Tests of snapshots and of the loading of a partition."""

import pytest
from tests.core import shared_fakes

from skylarklug import events
from skylarklug import ownership
from skylarklug import snapshot

PARTITION = "yumbo/0"


def start(tasks=20):
    cluster = shared_fakes.Cluster(1, {"yumbo": 2}, partitions=1)
    cluster.start()
    cluster.run(8_000)
    for index in range(tasks):
        put(cluster, f"task/{PARTITION}/acme.a/{index}", {"state": "running"})
    return cluster


def put(cluster, key, value):
    table = cluster.table
    table.version += 1
    table.rows[key] = (table.version, value)


def owner(cluster):
    return next(
        node.name
        for node in cluster.nodes.values()
        if ownership.epoch_of(node.state, PARTITION)
    )


def load(cluster):
    """Loads the partition on its owner and returns the result."""
    results = []

    def done(state, effects, loaded):
        results.append(loaded)

    cluster.call(owner(cluster), snapshot.load, PARTITION, done)
    cluster.run(cluster.now + 4_000)
    assert len(results) == 1
    return results[0]


def table_rows(cluster):
    return {
        key: (version, value)
        for key, (version, value) in cluster.table.rows.items()
        if key.startswith(f"task/{PARTITION}/") and value is not None
    }


def loaded_rows(loaded):
    return {row.key: (row.version, row.value) for row in loaded.rows}


class TestLoad:
    def test_newest_snapshot_and_changed_rows(self):
        """Guards against changes lost between the snapshot and a take-over."""
        cluster = start()
        cluster.run(75_000)
        put(cluster, f"task/{PARTITION}/acme.a/3", {"state": "finished"})
        put(cluster, f"task/{PARTITION}/acme.a/4", None)
        put(cluster, f"task/{PARTITION}/acme.b/0", {"state": "starting"})
        cluster.nodes[owner(cluster)].state.domains["snapshot"].caches.clear()
        loaded = load(cluster)
        assert loaded.source == "snapshot"
        assert loaded_rows(loaded) == table_rows(cluster)

    @pytest.mark.parametrize(
        "damage", ["truncated", "corrupted", "missing", "other partition"]
    )
    def test_falls_back_to_a_full_read(self, damage):
        """Guards against the use of an invalid snapshot."""
        cluster = start()
        cluster.run(140_000)
        assert len(cluster.objects) == 2
        for key, body in list(cluster.objects.items()):
            if damage == "truncated":
                cluster.objects[key] = body[: len(body) // 2]
            elif damage == "corrupted":
                cluster.objects[key] = body[:-3] + b"\x00" + body[-2:]
            elif damage == "other partition":
                rows = snapshot.decode(PARTITION, body)[1].values()
                cluster.objects[key] = snapshot.encode("yumbo/1", 9, rows)
            else:
                del cluster.objects[key]
        loaded = load(cluster)
        assert loaded.source == "table"
        assert loaded_rows(loaded) == table_rows(cluster)

    def test_one_damaged_snapshot_leaves_the_other(self):
        """Guards against an interrupted put that damages both snapshots."""
        cluster = start()
        cluster.run(140_000)
        cluster.objects[snapshot.object_key(PARTITION, 1)] = b"SL"
        assert load(cluster).source == "snapshot"

    def test_old_snapshot_is_not_used(self):
        """Guards against deletions that the table no longer reports."""
        cluster = start()
        cluster.run(75_000)
        cluster.table.version += snapshot.MAX_AGE_VERSIONS + 1
        cluster.run(77_000)
        assert load(cluster).source == "table"

    def test_object_store_outage(self):
        """Guards against a take-over that waits for the object store."""
        cluster = start()
        cluster.store_outage = True
        loaded = load(cluster)
        assert loaded.source == "table"
        assert len(loaded.rows) == 20

    def test_object_store_without_answers(self):
        """Guards against a load that never ends without an answer."""
        cluster = start()
        cluster.effect_handlers = {
            kind: perform
            for kind, perform in cluster.effect_handlers.items()
            if kind.__name__ != "GetObject"
        }
        assert load(cluster).source == "table"


class TestPut:
    def test_failed_put_is_repeated_in_the_same_slot(self):
        """Guards against overwriting the only valid snapshot."""
        cluster = start()
        cluster.run(75_000)
        assert list(cluster.objects) == [snapshot.object_key(PARTITION, 0)]
        cluster.store_outage = True
        cluster.run(135_000)
        cluster.store_outage = False
        cluster.run(200_000)
        assert set(cluster.objects) == {
            snapshot.object_key(PARTITION, 0),
            snapshot.object_key(PARTITION, 1),
        }

    def test_lost_partition_is_not_stored(self):
        """Guards against snapshots by a node that has lost the partition."""
        cluster = start()
        node = cluster.nodes[owner(cluster)]
        lost = events.PartitionLost(0, PARTITION, "fenced")
        cluster.feed(node, node.starts, lost)
        cluster.run(75_000)
        assert cluster.objects == {}
