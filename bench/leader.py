"""Benchmark of the leader of the scheduler, in virtual time with fixed seeds.

Run with `python -m bench.leader` from the root of the repository. Serving
tasks run on all workers while short and best-effort jobs arrive; a table shows
the processor time of the reducer by event.
"""

import collections
import math
import pathlib
import random
import sys
import time

import tabulate

from skylarklug.scheduler import reducer

sys.path.append(str(pathlib.Path(__file__).parents[1] / "tests" / "scheduler"))

import scheduler_fakes as fakes

WORKERS = 270
SERVING_IMAGES = 8
BEST_EFFORT_IMAGES = 30
JOBS_PER_S = 20
WARM_UP_MS = 8_000
MEASURED_MS = 6_000
SEEDS = (1, 2)


class Latencies:
    """Simulates tail latencies of serving tasks, and CPU use of the others."""

    IDLE_MS = 25

    def __init__(self, rng):
        self.coefficients = collections.defaultdict(
            lambda: rng.choice((0.1, rng.uniform(1, 3)))
        )

    def __call__(self, sim, worker, key):
        step = sim.specs[key.job].steps[key.step]
        if not step.target_ms:
            return step.resources.cpu * worker.paces.get(key, 100) / 100
        load = 0.45 + 0.2 * math.sin(sim.now / 20_000 * 2 * math.pi)
        for other in worker.runs:
            other_step = sim.specs[other.job].steps[other.step]
            if other_step.best_effort:
                used = other_step.resources.cpu
                used *= worker.paces.get(other, 100) / 100
                pair = (step.image, other_step.image)
                load += self.coefficients[pair] * used / worker.cpu
        return round(self.IDLE_MS / (1 - min(0.95, load)))


def _submit(sim, rng, number):
    """Submits a best-effort job, or each third time a short one."""
    if number % 3:
        step = fakes.step(
            rng.randint(5, 40),
            cpu=rng.randint(500, 2_500),
            best_effort=True,
            checkpoints=True,
            image=f"batch-{rng.randrange(BEST_EFFORT_IMAGES)}",
        )
    else:
        step = fakes.step(rng.randint(2, 20), cpu=rng.randint(500, 2_500))
    sim.submit(number, step)


def _run(seed):
    """Returns processor time in ns and count by event type."""
    rng = random.Random(seed)
    sim = fakes.Sim(nodes=1, workers=WORKERS)
    sim.measurement_of = Latencies(rng)
    for worker in sim.workers.values():
        worker.run_ms = 1_700
    spent_ns = collections.Counter()
    counts = collections.Counter()
    reduce = reducer.reduce

    def measure(state, event):
        started = time.process_time_ns()
        effects = reduce(state, event)
        name = type(event).__name__
        spent_ns[name] += time.process_time_ns() - started
        counts[name] += 1
        return effects

    sim.run(2_000)
    for number in range(1, SERVING_IMAGES + 1):
        step = fakes.step(
            3 * WORKERS // SERVING_IMAGES,
            cpu=4_000,
            runs_until_cancelled=True,
            image=f"serving-{number}",
            target_ms=150,
        )
        sim.submit(number, step)
    number = SERVING_IMAGES
    reducer.reduce = measure
    try:
        for elapsed in range(0, WARM_UP_MS + MEASURED_MS, 1_000 // JOBS_PER_S):
            number += 1
            _submit(sim, rng, number)
            sim.run(1_000 // JOBS_PER_S)
            if elapsed < WARM_UP_MS:
                spent_ns.clear()
                counts.clear()
    finally:
        reducer.reduce = reduce
    return spent_ns, counts, len(sim.starts)


def main():
    """Prints a table for each seed."""
    for seed in SEEDS:
        spent_ns, counts, starts = _run(seed)
        rows = []
        for name, spent in spent_ns.most_common():
            share = spent / MEASURED_MS / 1e6
            rows.append(
                (name, counts[name], spent / counts[name] / 1_000, share)
            )
        total = sum(spent_ns.values()) / MEASURED_MS / 1e6
        rows.append(("all", sum(counts.values()), None, total))
        print(f"\n{WORKERS} workers, seed {seed}, {starts} starts")
        headers = ("event", "count", "us an event", "cores")
        print(tabulate.tabulate(rows, headers=headers, floatfmt=".3g"))


if __name__ == "__main__":
    main()
