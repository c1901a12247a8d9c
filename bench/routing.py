"""Routing under load, during failures, and per event, in virtual time."""

import collections
import gc
import heapq
import math
import random
import time

import tabulate
from tests.core import fakes

from skylarklug import events
from skylarklug import ownership

SEEDS = (11, 12, 13)
WORKERS = 24
SLOTS = 8
NODES = 3
MEAN_MS = 100.0
SIGMA = 1.0
NOISY = 3
SLOWDOWN = 3.0
NOISE_PERIOD_MS = 10_000
REPORT_PERIOD_MS = 1_000
REPORT_DELAY_MS = 2_000
WARM_UP_MS = 5_000
RUN_MS = 35_000


def arrivals(seed, load, run_ms=RUN_MS):
    """Returns (time, work) of every request; load counts noisy workers."""
    rng = random.Random(seed)
    capacity = (WORKERS - NOISY + NOISY / SLOWDOWN) * SLOTS / MEAN_MS
    mu = math.log(MEAN_MS) - SIGMA**2 / 2
    # A new lender does not lend for its first 2.2 s.
    at = 3_000.0
    found = []
    while at < run_ms:
        at += rng.expovariate(load * capacity)
        found.append((at, max(1.0, rng.lognormvariate(mu, SIGMA))))
    return found


def noisy_at(seed, at):
    """Returns the indices of the workers that are noisy at a time."""
    rng = random.Random(seed * 1000 + int(at) // NOISE_PERIOD_MS)
    return set(rng.sample(range(WORKERS), NOISY))


def run_policy(policy, seed, stream):
    """Returns latencies of a policy whose workers queue what is sent."""
    rng = random.Random(seed)
    ends = [[0.0] * SLOTS for _ in range(WORKERS)]
    counts = [[0] * WORKERS for _ in range(NODES)]
    finished = []
    turns = [random.Random(i).randrange(WORKERS) for i in range(NODES)]
    latencies = []
    for index, (at, work) in enumerate(stream):
        while finished and finished[0][0] <= at:
            _, node, worker = heapq.heappop(finished)
            counts[node][worker] -= 1
        noisy = noisy_at(seed, at)
        slow = [SLOWDOWN if w in noisy else 1.0 for w in range(WORKERS)]
        node = index % NODES
        if policy == "random":
            worker = rng.randrange(WORKERS)
        elif policy == "round robin":
            worker = turns[node] = (turns[node] + 1) % WORKERS
        elif policy == "least outstanding":
            low = min(counts[node])
            ties = [w for w in range(WORKERS) if counts[node][w] == low]
            worker = rng.choice(ties)
        else:
            worker = min(
                range(WORKERS),
                key=lambda w: max(at, ends[w][0]) + work * slow[w],
            )
        start = max(at, ends[worker][0])
        end = start + work * slow[worker]
        heapq.heapreplace(ends[worker], end)
        counts[node][worker] += 1
        heapq.heappush(finished, (end, node, worker))
        if at >= WARM_UP_MS:
            latencies.append(end - at + 2)
    return latencies


def build(seed, **kwargs):
    """Returns a simulation with partition owners."""
    sim = fakes.Sim(seed, nodes=NODES, count=WORKERS, **kwargs)
    ownership.owner_of = sim.owner_of
    ownership.epoch_of = sim.epoch_of
    ownership.mode = lambda state: "held"
    return sim


def add_noise(sim, seed, end):
    """Schedules noisy workers and late reports."""
    names = sorted(sim.workers)

    def change():
        noisy = noisy_at(seed, sim.now)
        for index, name in enumerate(names):
            sim.workers[name].slowdown = SLOWDOWN if index in noisy else 1.0

    def report(started):
        for name in names:
            slow = sim.workers[name].slowdown
            p99 = MEAN_MS * math.exp(2.33 * SIGMA - SIGMA**2 / 2) * slow
            usage = events.Usage(
                started, started + REPORT_PERIOD_MS, 0, 0, 0, {},
                {fakes.SERVICE: p99},
            )  # fmt: skip
            synced = events.WorkerSynced(
                0, 0, name, 0, "ok", 1, 0, 0, False, False, (), usage
            )
            owner, _ = sim.owners["yumbo/0"]
            delay = REPORT_PERIOD_MS + REPORT_DELAY_MS
            sim.at(sim.now + delay, sim.feed, owner, synced)

    for at in range(0, end, NOISE_PERIOD_MS):
        sim.at(at, change)
    for at in range(0, end, REPORT_PERIOD_MS):
        sim.at(at, report, at)


def offer(sim, stream, deadline=10_000):
    """Schedules the requests over the nodes in turn."""
    nodes = sorted(sim.states)
    for index, (at, work) in enumerate(stream):
        sim.at(
            int(at), sim.request, nodes[index % len(nodes)], f"r{index}",
            work, True, deadline, f"c{index % 7}",
        )  # fmt: skip


def run_skylarklug(seed, stream, stats=None):
    """Returns latencies of this project's policy."""
    sim = build(seed)
    add_noise(sim, seed, RUN_MS)
    offer(sim, stream)
    sim.run(RUN_MS + 15_000)
    if stats is not None:
        stats["attempts"] += sim.attempts
        stats["requests"] += len(stream)
        stats["refused"] += sum(w.refusals for w in sim.workers.values())
        stats["errors"] += sum(
            1 for found in sim.outcomes.values() if found != ["answered"]
        )
    return [
        sim.latency[f"r{i}"]
        for i, (at, _) in enumerate(stream)
        if at >= WARM_UP_MS and f"r{i}" in sim.latency
    ]


def quantile(values, q):
    """Returns the q quantile of unsorted values."""
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def load_table():
    """Prints latency quantiles per load and policy."""
    rows = []
    for load in (0.5, 0.7, 0.9):
        results = collections.defaultdict(list)
        stats = collections.Counter()
        for seed in SEEDS:
            stream = arrivals(seed, load)
            for policy in (
                "ideal", "random", "round robin", "least outstanding",
            ):  # fmt: skip
                results[policy] += run_policy(policy, seed, stream)
            results["skylarklug"] += run_skylarklug(seed, stream, stats)
        ideal = quantile(results["ideal"], 0.99)
        robin = quantile(results["round robin"], 0.99)
        for policy, values in results.items():
            p99 = quantile(values, 0.99)
            target = ""
            if policy == "skylarklug" and load == 0.7:
                target = "<= 1.3 x ideal, <= 0.5 x round robin"
            rows.append(
                [
                    f"{load:.0%}", policy, quantile(values, 0.5), p99,
                    quantile(values, 0.999), p99 / ideal, p99 / robin, target,
                ]
            )  # fmt: skip
        print(
            f"load {load:.0%}: attempts/requests "
            f"{stats['attempts'] / stats['requests']:.3f}, "
            f"guard refusals {stats['refused']}, errors {stats['errors']}"
        )
    heads = [
        "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "p99/ideal",
        "p99/round robin", "target",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, heads, floatfmt=".2f"))


def failure_table():
    """Prints errors of idempotent callers while workers die."""
    rows = []
    for count, target in ((1, 0.001), (8, 0.01)):
        for reset in (True, False):
            errors = requests = attempts = 0
            worst = 0.0
            for seed in SEEDS:
                stream = arrivals(seed, 0.6, 20_000)
                sim = build(seed)
                offer(sim, stream)
                for name in sorted(sim.workers)[:count]:
                    sim.at(8_000, sim.kill, name, reset)
                sim.run(35_000)
                bad = [
                    name
                    for name, found in sim.outcomes.items()
                    if found != ["answered"]
                ]
                errors += len(bad)
                requests += len(stream)
                attempts += sim.attempts
                worst = max(worst, sim.attempts / len(stream) - 1)
            rows.append(
                [
                    count, "reset" if reset else "silent", requests, errors,
                    f"{errors / requests:.3%}", f"< {target:.1%}",
                    f"{attempts / requests - 1:.1%}", f"{worst:.1%}",
                    "<= 10%",
                ]
            )  # fmt: skip
    heads = [
        "dead workers", "death", "requests", "errors", "fraction", "target",
        "added load", "worst seed", "target",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, heads))


# Workers here, nodes, partitions, workers of other data centres. The first
# row is one data centre of today, the second one of the size in two years;
# the others show growth inside one data centre.
EVENT_SHAPES = (
    (8, 3, 1, 16),
    (146, 9, 3, 1_454),
    (24, 3, 1, 0),
    (400, 3, 8, 0),
    (1_600, 3, 33, 0),
)


def add_other_workers(sim, count):
    """Lists workers of other data centres on every node."""
    vm = next(iter(sim.workers.values())).vm
    vms = [worker.vm for worker in sim.workers.values()]
    for index in range(count):
        vms.append(vm._replace(vm=f"o-{index}", data_centre="other"))
    for node in sim.states:
        sim.feed(node, events.VmListRead(0, 2, tuple(vms)))


def event_table():
    """Prints real time per event against the number of workers."""
    rows = []
    for count, nodes, partitions, others in EVENT_SHAPES:
        sim = fakes.Sim(
            7, nodes=nodes, count=count, settings={"partitions": partitions}
        )
        ownership.owner_of = sim.owner_of
        ownership.epoch_of = sim.epoch_of
        ownership.mode = lambda state: "held"
        add_other_workers(sim, others)
        spent = collections.Counter()
        seen = collections.Counter()
        reduce = fakes.reducer.reduce

        def timed(state, event, reduce=reduce, spent=spent, seen=seen):
            kind = type(event).__name__
            if kind == "PeerMessage":
                kind = event.body["kind"]
            started = time.perf_counter_ns()
            effects = reduce(state, event)
            spent[kind] += time.perf_counter_ns() - started
            seen[kind] += 1
            return effects

        sim.on_reduce = timed
        # The rate of today's data centre at 70% load per 8 workers and node.
        stream = arrivals(7, 0.7 / 3 * nodes / 3, 8_000)
        offer(sim, stream)
        gc.collect()
        sim.run(9_000)
        kinds = (
            "RequestArrived", "AttemptSent", "AttemptHeaders", "AttemptDone",
            "RequestClosed", "Tick", "slots-want", "slots-grant",
        )  # fmt: skip
        total = sum(spent[k] for k in kinds) / sum(seen[k] for k in kinds)
        rows.append(
            [count, count + others, nodes, partitions]
            + [f"{total / 1000:.1f}", "<= 50"]
            + [f"{spent[k] / max(1, seen[k]) / 1000:.0f}" for k in kinds]
        )
    heads = ["here", "workers", "nodes", "partitions", "us/event", "target"]
    heads += kinds
    print(tabulate.tabulate(rows, heads))


def main():
    """Prints all tables."""
    print(f"seeds {SEEDS}; {WORKERS} workers x {SLOTS} slots, {NODES} nodes")
    load_table()
    failure_table()
    event_table()


if __name__ == "__main__":
    main()
