"""Benchmarks of request routing in virtual time.

Compares latencies with those of other policies, counts errors while workers
fail, and measures the real time per event.
"""

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

# Seeds of the latency and failure benchmarks; each result covers all of them.
SEEDS = (11, 12, 13)
# Size of the simulated data centre.
WORKERS = 24
SLOTS_PER_WORKER = 8
NODES = 3
# Service times without slowdown have a log-normal distribution with this mean
# and this standard deviation of the logarithm.
MEAN_WORK_MS = 100.0
WORK_SIGMA = 1.0
# Number of workers that are slower at any time, the factor of their service
# times, and the period after which other workers are chosen.
NOISY_WORKERS = 3
NOISY_SLOWDOWN = 3.0
NOISE_PERIOD_MS = 10_000
# Workers report latencies once per period; reports reach the owner late.
REPORT_PERIOD_MS = 1_000
REPORT_DELAY_MS = 2_000
# Requests that arrive during the warm-up are not counted in latencies.
WARM_UP_MS = 5_000
# Time until which requests arrive, unless a benchmark sets its own.
RUN_MS = 35_000


def arrivals(seed, load, run_ms=RUN_MS):
    """Returns (arrival time, service time) of every request, in ms.

    `load` is a fraction of the capacity that is left by the noisy workers.
    """
    rng = random.Random(seed)
    capacity = (
        (WORKERS - NOISY_WORKERS + NOISY_WORKERS / NOISY_SLOWDOWN)
        * SLOTS_PER_WORKER
        / MEAN_WORK_MS
    )
    mu = math.log(MEAN_WORK_MS) - WORK_SIGMA**2 / 2
    # A new partition owner lends no slots during its first 2.2 s.
    at = 3_000.0
    stream = []
    while at < run_ms:
        at += rng.expovariate(load * capacity)
        stream.append((at, max(1.0, rng.lognormvariate(mu, WORK_SIGMA))))
    return stream


def noisy_workers_at(seed, at):
    """Returns the indices of the workers that are noisy at time `at`."""
    rng = random.Random(seed * 1000 + int(at) // NOISE_PERIOD_MS)
    return set(rng.sample(range(WORKERS), NOISY_WORKERS))


def simulate_policy(policy, seed, stream):
    """Returns the latencies of a policy with a queue at each worker.

    The policy "ideal" knows all service times and queues.
    """
    rng = random.Random(seed)
    slot_ends = [[0.0] * SLOTS_PER_WORKER for _ in range(WORKERS)]
    outstanding = [[0] * WORKERS for _ in range(NODES)]
    completions = []
    last_workers = [random.Random(i).randrange(WORKERS) for i in range(NODES)]
    latencies = []
    for index, (at, work) in enumerate(stream):
        while completions and completions[0][0] <= at:
            _, node, worker = heapq.heappop(completions)
            outstanding[node][worker] -= 1
        noisy = noisy_workers_at(seed, at)
        slowdowns = [
            NOISY_SLOWDOWN if w in noisy else 1.0 for w in range(WORKERS)
        ]
        node = index % NODES
        if policy == "random":
            worker = rng.randrange(WORKERS)
        elif policy == "round robin":
            worker = last_workers[node] = (last_workers[node] + 1) % WORKERS
        elif policy == "least outstanding":
            fewest = min(outstanding[node])
            candidates = [
                w for w in range(WORKERS) if outstanding[node][w] == fewest
            ]
            worker = rng.choice(candidates)
        else:
            worker = min(
                range(WORKERS),
                key=lambda w: max(at, slot_ends[w][0]) + work * slowdowns[w],
            )
        start = max(at, slot_ends[worker][0])
        end = start + work * slowdowns[worker]
        heapq.heapreplace(slot_ends[worker], end)
        outstanding[node][worker] += 1
        heapq.heappush(completions, (end, node, worker))
        if at >= WARM_UP_MS:
            # 1 ms each for the way to the worker and back.
            latencies.append(end - at + 2)
    return latencies


def new_simulation(seed, **kwargs):
    """Returns a simulation in which every partition has an owner."""
    sim = fakes.Sim(seed, nodes=NODES, count=WORKERS, **kwargs)
    ownership.owner_of = sim.owner_of
    ownership.epoch_of = sim.epoch_of
    ownership.mode = lambda state: "held"
    return sim


def schedule_noise(sim, seed, end):
    """Schedules changes of the noisy workers, and their delayed reports."""
    names = sorted(sim.workers)

    def update_slowdowns():
        noisy = noisy_workers_at(seed, sim.now)
        for index, name in enumerate(names):
            sim.workers[name].slowdown = (
                NOISY_SLOWDOWN if index in noisy else 1.0
            )

    def send_reports(started):
        for name in names:
            slowdown = sim.workers[name].slowdown
            # 2.33 is the 99% quantile of the standard normal distribution.
            p99 = (
                MEAN_WORK_MS
                * math.exp(2.33 * WORK_SIGMA - WORK_SIGMA**2 / 2)
                * slowdown
            )
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
        sim.at(at, update_slowdowns)
    for at in range(0, end, REPORT_PERIOD_MS):
        sim.at(at, send_reports, at)


def schedule_requests(sim, stream, deadline_ms=10_000):
    """Schedules the requests, distributed over the nodes by round robin."""
    nodes = sorted(sim.states)
    for index, (at, work) in enumerate(stream):
        sim.at(
            int(at), sim.request, nodes[index % len(nodes)], f"r{index}",
            work, True, deadline_ms, f"c{index % 7}",
        )  # fmt: skip


def simulate_skylarklug(seed, stream, stats=None):
    """Returns the latencies of the reducer's routing, and counts in `stats`."""
    sim = new_simulation(seed)
    schedule_noise(sim, seed, RUN_MS)
    schedule_requests(sim, stream)
    sim.run(RUN_MS + 15_000)
    if stats is not None:
        stats["attempts"] += sim.attempts
        stats["requests"] += len(stream)
        stats["refused"] += sum(w.refusals for w in sim.workers.values())
        stats["errors"] += sum(
            1 for outcomes in sim.outcomes.values() if outcomes != ["answered"]
        )
    return [
        sim.latency[f"r{i}"]
        for i, (at, _) in enumerate(stream)
        if at >= WARM_UP_MS and f"r{i}" in sim.latency
    ]


def quantile(values, q):
    """Returns the q quantile of unsorted values."""
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def bench_latency():
    """Prints latency quantiles for each load and policy."""
    rows = []
    for load in (0.5, 0.7, 0.9):
        results = collections.defaultdict(list)
        stats = collections.Counter()
        for seed in SEEDS:
            stream = arrivals(seed, load)
            for policy in (
                "ideal", "random", "round robin", "least outstanding",
            ):  # fmt: skip
                results[policy] += simulate_policy(policy, seed, stream)
            results["skylarklug"] += simulate_skylarklug(seed, stream, stats)
        ideal_p99 = quantile(results["ideal"], 0.99)
        round_robin_p99 = quantile(results["round robin"], 0.99)
        for policy, values in results.items():
            p99 = quantile(values, 0.99)
            target = ""
            if policy == "skylarklug" and load == 0.7:
                target = "<= 1.3 x ideal, <= 0.5 x round robin"
            rows.append(
                [
                    f"{load:.0%}", policy, quantile(values, 0.5), p99,
                    quantile(values, 0.999), p99 / ideal_p99,
                    p99 / round_robin_p99, target,
                ]
            )  # fmt: skip
        print(
            f"load {load:.0%}: attempts/requests "
            f"{stats['attempts'] / stats['requests']:.3f}, "
            f"refused by workers {stats['refused']}, errors {stats['errors']}"
        )
    headers = [
        "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "p99/ideal",
        "p99/round robin", "target",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, headers, floatfmt=".2f"))


def bench_failures():
    """Prints errors of idempotent requests while workers fail."""
    rows = []
    for count, target in ((1, 0.001), (8, 0.01)):
        for reset in (True, False):
            errors = requests = attempts = 0
            worst = 0.0
            for seed in SEEDS:
                stream = arrivals(seed, 0.6, 20_000)
                sim = new_simulation(seed)
                schedule_requests(sim, stream)
                for name in sorted(sim.workers)[:count]:
                    sim.at(8_000, sim.kill, name, reset)
                sim.run(35_000)
                failed = [
                    name
                    for name, outcomes in sim.outcomes.items()
                    if outcomes != ["answered"]
                ]
                errors += len(failed)
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
    headers = [
        "failed workers", "failure", "requests", "errors", "fraction", "target",
        "added load", "worst seed", "target",
    ]  # fmt: skip
    print(tabulate.tabulate(rows, headers))


# (local workers, nodes, partitions, workers of other data centres). The first
# row is a data centre of today's size, the second one of the size expected in
# two years; the others show growth within one data centre.
EVENT_CLUSTERS = (
    (8, 3, 1, 16),
    (146, 9, 3, 1_454),
    (24, 3, 1, 0),
    (400, 3, 8, 0),
    (1_600, 3, 33, 0),
)


def add_other_workers(sim, count):
    """Adds `count` workers of another data centre to every node's VM list."""
    template = next(iter(sim.workers.values())).vm
    vms = [worker.vm for worker in sim.workers.values()]
    for index in range(count):
        vms.append(template._replace(vm=f"o-{index}", data_centre="other"))
    for node in sim.states:
        sim.feed(node, events.VmListRead(0, 2, tuple(vms)))


def bench_events():
    """Prints the real time per event by the number of workers."""
    rows = []
    for count, nodes, partitions, other_workers in EVENT_CLUSTERS:
        sim = fakes.Sim(
            7, nodes=nodes, count=count, settings={"partitions": partitions}
        )
        ownership.owner_of = sim.owner_of
        ownership.epoch_of = sim.epoch_of
        ownership.mode = lambda state: "held"
        add_other_workers(sim, other_workers)
        spent_ns = collections.Counter()
        event_counts = collections.Counter()
        reduce = fakes.reducer.reduce

        def timed_reduce(
            state,
            event,
            reduce=reduce,
            spent_ns=spent_ns,
            event_counts=event_counts,
        ):
            kind = type(event).__name__
            if kind == "PeerMessage":
                kind = event.body["kind"]
            started = time.perf_counter_ns()
            effects = reduce(state, event)
            spent_ns[kind] += time.perf_counter_ns() - started
            event_counts[kind] += 1
            return effects

        sim.on_reduce = timed_reduce
        # 70% load of today's 8 workers and 3 nodes, scaled with the nodes.
        stream = arrivals(7, 0.7 / 3 * nodes / 3, 8_000)
        schedule_requests(sim, stream)
        gc.collect()
        sim.run(9_000)
        kinds = (
            "RequestArrived", "AttemptSent", "AttemptHeaders", "AttemptDone",
            "RequestClosed", "Tick", "slots-want", "slots-grant",
        )  # fmt: skip
        mean_ns = sum(spent_ns[k] for k in kinds) / sum(
            event_counts[k] for k in kinds
        )
        rows.append(
            [count, count + other_workers, nodes, partitions]
            + [f"{mean_ns / 1000:.1f}", "<= 50"]
            + [
                f"{spent_ns[k] / max(1, event_counts[k]) / 1000:.0f}"
                for k in kinds
            ]
        )
    headers = [
        "local workers",
        "workers",
        "nodes",
        "partitions",
        "us/event",
        "target",
    ]
    headers += kinds
    print(tabulate.tabulate(rows, headers))


def main():
    """Prints all tables."""
    print(
        f"seeds {SEEDS}; {WORKERS} workers x {SLOTS_PER_WORKER} slots, "
        f"{NODES} nodes"
    )
    bench_latency()
    bench_failures()
    bench_events()


if __name__ == "__main__":
    main()
