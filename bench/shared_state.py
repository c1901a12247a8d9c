"""Benchmarks of the shared state of nodes, in virtual time with fixed seeds.

Delays, conflicts, bytes and table operations are determined by the seeds. CPU
times depend on the machine; compare them within one run only.
"""

import collections
import json
import random
import statistics
import time

import cbor2
import tabulate
from tests.core import shared_fakes

from skylarklug import configuration
from skylarklug import document as document_lib
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import membership
from skylarklug import ownership
from skylarklug import snapshot
from skylarklug import table

# Number of seeds of each benchmark, counted from 0.
TAKEOVER_SEEDS = 100
STARTUP_SEEDS = 20
PROPAGATION_SEEDS = 3
# Number of configuration changes for each seed.
PROPAGATION_CHANGES = 5
# Time over which the cost per node is measured.
COST_RUN_MS = 120_000
# Number of configuration changes that are expected per day.
CHANGES_PER_DAY = 2_100
# Number of teams in a configuration document of full size.
TEAMS = 130
DAY_MS = 86_400_000


def cluster_layout(nodes):
    """Returns the nodes and the region of each data centre (section 1)."""
    if nodes == 9:
        return {"yumbo": 3, "palmira": 3, "jamundi": 3}, {}
    data_centres = [f"dc{index:02}" for index in range(11)]
    regions = {name: f"region{i % 5}" for i, name in enumerate(data_centres)}
    return dict.fromkeys(data_centres, nodes // 11), regions


def new_cluster(nodes, seed, **settings):
    sizes, regions = cluster_layout(nodes)
    return shared_fakes.Cluster(seed, sizes, regions=regions, **settings)


def large_document():
    """Returns a configuration document of full size."""
    teams = {
        f"team-{index:03}": {
            "cpus": 400.0,
            "memory_mb": 1_600_000,
            "accelerators": 4,
            "weight": 1.0,
        }
        for index in range(TEAMS)
    }
    return {**document_lib.EMPTY, "teams": teams}


def print_table(title, rows, headers):
    print(f"\n{title}\n")
    print(tabulate.tabulate(rows, headers=headers, floatfmt=".2f"))


def summarize(values):
    ordered = sorted(values)
    return [
        statistics.median(ordered),
        ordered[int(len(ordered) * 0.95)],
        ordered[-1],
    ]


def current_owner(cluster, partition):
    for node in cluster.nodes.values():
        if node.state is not None and ownership.epoch_of(node.state, partition):
            return node.name
    return ""


def takeover_gap(seed, cause):
    """Returns the seconds without an owner after the old owner has stopped."""
    rng = random.Random(seed)
    cluster = shared_fakes.Cluster(seed, {"yumbo": 3}, partitions=1)
    cluster.start()
    cluster.run(10_000 + rng.randint(0, 5_000))
    old_owner = current_owner(cluster, "yumbo/0")
    ended_at = cluster.now

    def done(state, effects, result):
        cluster.at(cluster.now, cluster.kill, old_owner)

    if cause == "planned stop, released":
        cluster.call(old_owner, ownership.release_all, done)
    elif cause == "planned stop, lease left to expire":
        cluster.call(old_owner, membership.announce_leave, [])
        cluster.run(cluster.now + 50)
        cluster.kill(old_owner)
    else:
        cluster.kill(old_owner)
    while True:
        cluster.run(cluster.now + 10)
        owner = current_owner(cluster, "yumbo/0")
        if owner not in ("", old_owner):
            return (cluster.now - ended_at) / 1000


def bench_takeover():
    rows = []
    for cause, target in (
        ("crash", 25.0),
        ("planned stop, released", 5.0),
        ("planned stop, lease left to expire", None),
    ):
        gaps = [takeover_gap(seed, cause) for seed in range(TAKEOVER_SEEDS)]
        met = "for comparison" if target is None else max(gaps) < target
        rows.append([cause, *summarize(gaps), target, met])
    headers = ["owner stopped by", "median s", "p95 s", "worst s"]
    print_table(
        f"Take-over gap, 3 nodes, seeds 0 to {TAKEOVER_SEEDS - 1}",
        rows,
        [*headers, "target s", "met"],
    )


def bench_conflicts():
    rows = []
    for nodes in (3, 9, 33):
        rates = []
        for seed in range(STARTUP_SEEDS):
            if nodes == 3:
                cluster = shared_fakes.Cluster(seed, {"yumbo": 3}, partitions=3)
            else:
                cluster = new_cluster(nodes, seed, partitions=3)
            cluster.start()
            cluster.run(10_000)
            stats = cluster.table.stats
            rates.append((stats["conflicts"] / 10, stats["transactions"] / 10))
        rows.append(
            [
                nodes,
                statistics.median(conflict for conflict, _ in rates),
                max(conflict for conflict, _ in rates),
                max(writes for _, writes in rates),
                "120 to 150",
            ]
        )
    print_table(
        "Write conflicts when all nodes start at once, first 10 s, seeds 0 to "
        f"{STARTUP_SEEDS - 1}",
        rows,
        ["nodes", "median/s", "worst/s", "worst writes/s", "published/s"],
    )


def propagation_delays(nodes, seed, loss, cut_off):
    """Returns the seconds until an accepted change is in force on all nodes."""
    cluster = new_cluster(nodes, seed, configuration=large_document())
    cluster.start()
    cluster.run(8_000)
    cluster.loss = loss
    if cut_off:
        # One node of each data centre cannot reach the table.
        cluster.table.cut_off = {
            name for name in cluster.nodes if name.endswith("-3")
        }
        cluster.run(20_000)
    delays = []
    for index in range(PROPAGATION_CHANGES):
        accepted = []

        def edit(document, index=index):
            document["limits"] = {"index": index}
            return document

        def done(state, effects, status, body, accepted=accepted):
            accepted.append((cluster.now, status, body["version"]))

        name = next(iter(cluster.nodes))
        cluster.call(name, configuration.change, "ana", edit, 0, done)
        wait_until = cluster.now + 30_000
        while cluster.now < wait_until:
            cluster.run(cluster.now + 20)
            lowest_version = min(
                configuration.version(node.state)
                for node in cluster.nodes.values()
            )
            if accepted and lowest_version >= accepted[0][2]:
                break
        assert accepted[0][1] == "done", accepted
        delays.append((cluster.now - accepted[0][0]) / 1000)
        cluster.run(cluster.now + 2_000 + index * 137)
    return delays


def bench_propagation():
    rows = []
    for nodes in (9, 33, 99):
        for label, loss, cut_off in (
            ("none", 0.0, False),
            ("30% loss", 0.3, False),
            ("a third without the table", 0.0, True),
            ("both", 0.3, True),
        ):
            delays = []
            for seed in range(PROPAGATION_SEEDS):
                delays += propagation_delays(nodes, seed, loss, cut_off)
            rows.append(
                [nodes, label, *summarize(delays), 5.0, max(delays) <= 5.0]
            )
    print_table(
        "Configuration propagation, acceptance to the last node, seeds 0 to "
        f"{PROPAGATION_SEEDS - 1}, {PROPAGATION_CHANGES} changes each",
        rows,
        ["nodes", "fault", "median s", "p95 s", "worst s", "target s", "met"],
    )


class Meter:
    """Counts the bytes and the processing time of all nodes of a cluster.

    The time that the meter itself needs is subtracted.
    """

    def __init__(self, cluster):
        self.bytes = collections.Counter()
        self.cpu_s = 0.0
        self.slowest_s = 0.0
        self.bytes_by_kind = collections.Counter()
        cluster.observers.append(self.observe)
        original = cluster.feed

        def feed(node, start, event):
            started = time.perf_counter()
            original(node, start, event)
            elapsed = time.perf_counter() - started - self.overhead_s
            self.overhead_s = 0.0
            self.cpu_s += elapsed
            self.slowest_s = max(self.slowest_s, elapsed)

        self.overhead_s = 0.0
        cluster.feed = feed

    def observe(self, cluster, node, event, effects):
        started = time.perf_counter()
        if isinstance(event, events.TableAnswered):
            answer = {
                "status": event.status,
                "version": event.version,
                "rows": [row._asdict() for row in event.rows],
            }
            self.bytes["table"] += len(json.dumps(answer))
        elif isinstance(event, events.PeerMessage):
            self.bytes["peers"] += len(cbor2.dumps(event.body))
        for effect in effects:
            if isinstance(effect, fx.SendPeer):
                size = len(cbor2.dumps(effect.body))
                self.bytes["peers"] += size
                self.bytes_by_kind[effect.body["kind"]] += size
            elif isinstance(effect, fx.CommitTable | fx.ReadTable):
                size = len(json.dumps(effect._asdict(), default=list))
                self.bytes["table"] += size
        self.overhead_s += time.perf_counter() - started


def node_cost(nodes, seed, changes):
    cluster = new_cluster(
        nodes, seed, partitions=3, configuration=large_document()
    )
    cluster.start()
    cluster.run(15_000)
    meter = Meter(cluster)
    stats = cluster.table.stats
    before = dict(stats)
    name = next(iter(cluster.nodes))

    def change(index):
        def edit(document):
            document["limits"] = {"index": index}
            return document

        def done(state, effects, status, body):
            assert status == "done"

        cluster.call(name, configuration.change, "ana", edit, 0, done)

    for index in range(changes):
        at = cluster.now + 1_000 + index * (COST_RUN_MS // max(1, changes))
        cluster.at(at, change, index)
    cluster.run(cluster.now + COST_RUN_MS)
    seconds = COST_RUN_MS / 1000
    per_node = seconds * nodes
    return {
        "peers": meter.bytes["peers"] / per_node / 1000,
        "table": meter.bytes["table"] / per_node / 1000,
        # Only sent messages are counted by kind; each is received once.
        "config": meter.bytes_by_kind["config"] * 2 / per_node / 1000,
        "cpu_ms": meter.cpu_s * 1000 / per_node,
        "slowest_ms": meter.slowest_s * 1000,
        "reads": (stats["reads"] - before["reads"]) / seconds,
        "writes": (stats["rows_written"] - before["rows_written"]) / seconds,
    }


def bench_costs():
    rows = []
    changes = round(CHANGES_PER_DAY * COST_RUN_MS / DAY_MS)
    for nodes in (9, 33, 99):
        for count in (0, changes):
            cost = node_cost(nodes, 1, count)
            total = cost["peers"] + cost["table"]
            rows.append(
                [
                    nodes,
                    count,
                    cost["peers"],
                    cost["config"],
                    cost["table"],
                    total,
                    10.0,
                    total <= 10.0,
                    cost["cpu_ms"],
                    32.0,
                    cost["slowest_ms"],
                    cost["reads"],
                    cost["writes"],
                ]
            )
    print_table(
        f"Cost per node, sent and received, seed 1, {COST_RUN_MS // 1000} s, "
        f"document of {len(json.dumps(large_document()))} bytes",
        rows,
        [
            "nodes",
            "changes",
            "peers KB/s",
            "config KB/s",
            "table KB/s",
            "sum KB/s",
            "target",
            "met",
            "CPU ms/s",
            "target",
            "slowest ms",
            "all reads/s",
            "all writes/s",
        ],
    )


def task_start_load(starts_per_s, seed):
    """Returns the table load of 33 nodes at a given rate of task starts.

    Each start and each finish writes one row in the group of its partition.

    Returns:
        Rows written, transactions and reads per second, median and 99% quantile
        of the commit latency in ms, and the number of failed commits.
    """
    cluster = new_cluster(33, seed, partitions=3)
    cluster.start()
    cluster.run(15_000)
    rng = random.Random(seed)
    stats = cluster.table.stats
    before = dict(stats)
    results = []
    nodes = sorted(cluster.nodes)
    end = cluster.now + 20_000

    def write(key, partition, node, version):
        def done(state, effects, result):
            results.append((cluster.now - sent_at, result.status))
            if version == 0 and result.status == "committed":
                delay_ms = rng.randint(1_000, 3_000)
                at = cluster.now + delay_ms
                cluster.at(at, write, key, partition, node, result.version)

        sent_at = cluster.now
        row = {"state": "starting", "attempt": 1, "worker": "w-07", "epoch": 1}
        cluster.call(
            node,
            table.commit,
            [fx.Check(key, version)],
            [fx.Write(key, row)],
            done,
            group=partition,
        )

    at = cluster.now
    while at < end:
        at += rng.expovariate(starts_per_s / 1000)
        node = rng.choice(nodes)
        partition = f"{node}/0"
        key = f"task/{partition}/{rng.getrandbits(48):x}/0"
        cluster.at(int(at), write, key, partition, node, 0)
    cluster.run(end)
    seconds = 20
    latencies = sorted(latency for latency, _ in results)
    return (
        (stats["rows_written"] - before["rows_written"]) / seconds,
        (stats["transactions"] - before["transactions"]) / seconds,
        (stats["reads"] - before["reads"]) / seconds,
        statistics.median(latencies),
        latencies[int(len(latencies) * 0.99)],
        sum(status != "committed" for _, status in results),
    )


def bench_table_load():
    rows = []
    for rate in (30, 60, 120):
        rows_s, writes, reads, median, p99, failed = task_start_load(rate, 1)
        met = rows_s <= 300 and reads <= 1500
        rows.append(
            [rate, rows_s, writes, 300, reads, 1500, met, median, p99, failed]
        )
    print_table(
        "Table operations of 33 nodes by rate of task starts, seed 1, 20 s",
        rows,
        [
            "starts/s",
            "rows written/s",
            "transactions/s",
            "target",
            "reads/s",
            "target",
            "met",
            "commit median ms",
            "p99 ms",
            "failed",
        ],
    )


def load_partition(tasks, use_snapshot):
    """Loads a partition; returns its CPU ms, virtual ms and table bytes."""
    cluster = shared_fakes.Cluster(1, {"yumbo": 1}, partitions=1)
    cluster.start()
    cluster.run(8_000)
    rows = []
    for index in range(tasks):
        cluster.table.version += 1
        key = f"task/yumbo/0/acme.job-{index // 100}/{index % 100}"
        value = {
            "state": "running",
            "attempt": 1,
            "worker": f"w-{index % 49:02}",
            "epoch": 1,
            "checkpoint": f"checkpoint/acme.job-{index // 100}/{index % 100}/1",
            "op": f"op-yumbo-1-18bcfe56800-{index:x}",
        }
        cluster.table.rows[key] = (cluster.table.version, value)
        rows.append(events.Row(key, cluster.table.version, value))
    if use_snapshot:
        # One row in fifty has changed since the snapshot.
        version = cluster.table.version - tasks // 50
        kept = [row for row in rows if row.version <= version]
        body = snapshot.encode("yumbo/0", version, kept)
        cluster.objects[snapshot.object_key("yumbo/0", 0)] = body
    meter = Meter(cluster)
    finished = []

    def done(state, effects, loaded):
        finished.append((cluster.now, len(loaded.rows)))

    started_at = cluster.now
    cluster.call("yumbo-1", snapshot.load, "yumbo/0", done)
    while not finished:
        cluster.run(cluster.now + 1)
    assert finished[0][1] == tasks
    return meter.cpu_s * 1000, finished[0][0] - started_at, meter.bytes["table"]


def bench_recovery():
    rows = []
    for tasks in (100, 1_000, 10_000):
        for use_snapshot in (False, True):
            runs = [load_partition(tasks, use_snapshot) for _ in range(5)]
            cpu_ms = statistics.median(run[0] for run in runs)
            source = "snapshot" if use_snapshot else "full read"
            virtual_ms = statistics.median(run[1] for run in runs)
            rows.append([tasks, source, cpu_ms, virtual_ms, runs[0][2] / 1000])
    print_table(
        "Loading of a partition by a new owner, seed 1, median of 5 runs",
        rows,
        ["tasks", "source", "CPU ms", "virtual ms", "table KB"],
    )


def main():
    """Prints all tables."""
    bench_takeover()
    bench_conflicts()
    bench_propagation()
    bench_costs()
    bench_table_load()
    bench_recovery()


if __name__ == "__main__":
    main()
