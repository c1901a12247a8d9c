"""Benchmarks of batch scheduling, in virtual time with fixed seeds.

Run with `python -m bench.placement` from the root of the repository.
"""

import collections
import math
import random
import time

import cbor2
import pytest
import tabulate
from tests.core import batch_fakes

from skylarklug import events
from skylarklug import index
from skylarklug import submission

# Numbers of workers for which the cost per event is measured.
FLEET_SIZES = (100, 400, 1_600)
TASKS_PER_WORKER = 14
# Task starts per second, and number of partitions, of 1,600 workers.
STARTS_AT_FULL_SIZE = 120
PARTITIONS_AT_FULL_SIZE = 33
# Number of seeds for each size, counted from 1.
REPETITIONS = 3
# Virtual time over which the cost per event is measured.
MEASURED_MS = 20_000
# Limits of one partition owner: CPU ms per second, bytes per second, and time
# per event.
CPU_TARGET_MS = 32.0
BYTES_TARGET = 10_000
HANDLER_TARGET_US = 50.0
# Seeds of the benchmark of urgent tasks, and its limit from submit to start.
URGENT_SEEDS = range(50)
URGENT_TARGET_MS = 5_300
# Seeds and virtual duration of the load of the interference benchmark.
TRACE_SEEDS = (1, 2, 3)
TRACE_MS = 900_000


def print_table(title, headers, rows):
    print(f"\n{title}")
    print(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


# Cost per event


class Fleet(batch_fakes.Sim):
    """Simulates many workers; counts handler CPU time and control bytes."""

    def __init__(self, seed, workers):
        super().__init__(seed, workers=workers)
        self.spent_ns = collections.Counter()
        self.event_counts = collections.Counter()
        self.byte_count = 0
        self.node = self.nodes[0]
        self.node.feed = self.feed
        self.node.call = self.call

    def measure(self, kind, handle):
        started = time.process_time_ns()
        effects = handle()
        self.spent_ns[kind] += time.process_time_ns() - started
        self.event_counts[kind] += 1
        for effect in effects:
            if type(effect).__name__ == "SyncWorker":
                body = effect._replace(
                    commands=[c._asdict() for c in effect.commands]
                )
                self.byte_count += len(cbor2.dumps(body._asdict()))
        self.node.perform(effects)

    def feed(self, event):
        kind = type(event).__name__
        if kind == "WorkerSynced":
            self.byte_count += len(cbor2.dumps(event._asdict()))
        self.measure(kind, lambda: batch_fakes.dispatch(self.node.state, event))

    def call(self, fn):
        fn()

    def run(self, ms):
        """Like the parent method, but workers advance only with messages."""
        end = self.now + ms
        while self.now < end:
            step = self.now + self.tick_ms
            while self.queue and self.queue[0][0] <= step:
                self.now, _, fn = batch_fakes.heapq.heappop(self.queue)
                fn()
            self.now = step
            if step % 5_000 < self.tick_ms:
                self.node.renew()
            self.feed(events.Tick(self.now))

    def check_start(self, worker, command):
        """Skips the check: the tests do it, the benchmark only measures."""

    def fill(self, starts_per_s):
        """Writes enough jobs to keep 14 tasks running on each worker."""
        tasks = len(self.vms) * TASKS_PER_WORKER
        mean_ms = 1_000 * tasks / starts_per_s
        extra = int(starts_per_s * (MEASURED_MS / 1_000 + 150))
        for i in range((tasks + extra) // 20 + 1):
            spec, errors = submission.validate(
                f"k{i}",
                {
                    **batch_fakes.SPEC,
                    "team": f"t{i % 130}",
                    "tasks": 20,
                    "size": {"cpus": 1.1, "memory_mb": 500},
                    "run_time_ms": int(self.rng.uniform(0.05, 1.0) * mean_ms),
                },
            )
            assert not errors
            job = f"{spec['team']}.k{i}"
            row = {
                "job": job, "spec": spec, "first": 0, "end": 20,
                "cancelled": False, "actor": "bench",
            }  # fmt: skip
            self.version += 1
            self.rows[f"job/{self.partition}/{job}"] = (self.version, row)


def measure_fleet(seed, workers, starts_per_s):
    """Returns the running tasks, the rates and the costs of one owner."""
    fleet = Fleet(seed, workers)
    fleet.fill(starts_per_s)
    fleet.acquire(fleet.node)
    target_running = workers * TASKS_PER_WORKER * 0.93
    accounts = fleet.node.state.domains["placement"].accounts
    while True:
        fleet.run(1_000)
        running = sum(len(a.residents) for a in accounts.values())
        if running >= target_running or fleet.now > 300_000:
            break
    fleet.run(10_000)
    fleet.spent_ns.clear()
    fleet.event_counts.clear()
    fleet.byte_count = 0
    before = total_attempts(fleet)
    fleet.run(MEASURED_MS)
    seconds = MEASURED_MS / 1_000
    running = sum(len(a.residents) for a in accounts.values())
    return {
        "running": running,
        "starts": (total_attempts(fleet) - before) / seconds,
        "cpu_ms": sum(fleet.spent_ns.values()) / 1e6 / seconds,
        "events": sum(fleet.event_counts.values()) / seconds,
        "us": sum(fleet.spent_ns.values())
        / 1e3
        / sum(fleet.event_counts.values()),
        "sync_us": fleet.spent_ns["WorkerSynced"]
        / 1e3
        / fleet.event_counts["WorkerSynced"],
        "tick_us": fleet.spent_ns["Tick"] / 1e3 / fleet.event_counts["Tick"],
        "bytes": fleet.byte_count / seconds,
        "event_bytes": fleet.byte_count / fleet.event_counts["WorkerSynced"],
    }


def total_attempts(fleet):
    return sum(
        value["attempt"]
        for key, (_, value) in fleet.rows.items()
        if key.startswith("task/")
    )


def median(samples, key):
    values = sorted(sample[key] for sample in samples)
    return values[len(values) // 2]


def bench_events():
    rows = []
    us_by_workers = {}
    cases = [
        (count, STARTS_AT_FULL_SIZE * count / 1_600, "one owner")
        for count in FLEET_SIZES
    ]
    cases.append(
        (
            math.ceil(1_600 / PARTITIONS_AT_FULL_SIZE),
            STARTS_AT_FULL_SIZE / PARTITIONS_AT_FULL_SIZE,
            "1 of 33 owners",
        )
    )
    for workers, starts, label in cases:
        samples = [
            measure_fleet(seed, workers, starts)
            for seed in range(1, REPETITIONS + 1)
        ]
        us_by_workers[workers] = median(samples, "us")
        target = label == "1 of 33 owners"
        rows.append(
            (
                f"{workers} ({label})",
                median(samples, "running"),
                f"{median(samples, 'starts'):.1f}",
                f"{median(samples, 'events'):.0f}",
                f"{median(samples, 'us'):.0f}",
                f"{median(samples, 'sync_us'):.0f}",
                f"{median(samples, 'tick_us'):.0f}",
                f"{HANDLER_TARGET_US:.0f}",
                f"{median(samples, 'event_bytes'):.0f}",
                f"{median(samples, 'cpu_ms'):.1f}",
                f"{CPU_TARGET_MS:.0f}" if target else "-",
                f"{median(samples, 'bytes'):.0f}",
                BYTES_TARGET if target else "-",
            )
        )
    print_table(
        f"Batch events, seeds 1..{REPETITIONS}, medians; 14 tasks per worker",
        (
            "workers", "tasks", "starts/s", "events/s", "us/event",
            "us/answer", "us/tick", "target us", "bytes/exchange",
            "CPU ms/s", "target", "bytes/s", "target",
        ),
        rows,
    )  # fmt: skip
    ratio = us_by_workers[1_600] / us_by_workers[100]
    print(f"ratio of cost per event, 1,600 to 100 workers: {ratio:.2f} x")


# Urgent tasks


def urgent_delay(seed, loss, cut_off):
    """Returns the ms from the submit of an urgent task to its start.

    All workers are fully occupied when the task is submitted. From then on the
    node cannot reach `cut_off` of them.
    """
    sim = batch_fakes.Sim(seed, workers=24)
    sim.acquire(sim.nodes[0])
    sim.run(500)
    rng = random.Random(seed)
    for i in range(12):
        sim.submit(
            sim.nodes[0], f"full{i}", tasks=16, priority=rng.randrange(9),
            run_time_ms=3_600_000, checkpoint_ms=rng.choice((0, 30_000)),
            size={"cpus": 2, "memory_mb": 4_000},
        )  # fmt: skip
    sim.run(5_000 + rng.randrange(5_000))
    running = sum(len(w.running()) for w in sim.workers.values())
    assert running == 192, running
    sim.loss = loss
    for worker in list(sim.workers.values())[24 - cut_off :]:
        worker.unreachable_from.add("n0")
    submitted_at = sim.now
    size = {"cpus": 8, "memory_mb": 8_000}
    sim.submit(sim.nodes[0], "u", priority=9, size=size, run_time_ms=3_600_000)
    while sim.now < submitted_at + 60_000:
        sim.run(50)
        for worker in sim.workers.values():
            if any(t["task"] == "a.u/0" for t in worker.running()):
                assert not sim.violations
                return sim.now - submitted_at
    return sim.now - submitted_at


def bench_urgent():
    rows = []
    for label, loss, cut_off, target in (
        ("no faults", 0.0, 0, URGENT_TARGET_MS),
        ("6 of 24 workers unreachable since submit", 0.0, 6, "-"),
        ("2% of messages lost", 0.02, 0, "-"),
    ):
        delays = sorted(urgent_delay(s, loss, cut_off) for s in URGENT_SEEDS)
        rows.append((label, delays[25], delays[44], delays[-1], target))
    print_table(
        "Urgent submit to start, 24 full workers, 8 of 16 cpus, seeds 0..49",
        ("case", "p50 ms", "p90 ms", "worst ms", "target worst"),
        rows,
    )


# Interference

# Pressure that a task of each team puts on the service of its worker.
TEAM_PRESSURE = {"n": 1.0, "m": 0.4, "q": 0.02}
# Total pressure beyond which the latency of the service rises steeply.
PRESSURE_KNEE = 1.2
# Age of the latency that workers report.
REPORT_DELAY_MS = 2_000


class SharedWorker(batch_fakes.Worker):
    """A worker whose service gets slower under the pressure of its tasks."""

    def __init__(self, sim, vm, drift=1.0):
        super().__init__(sim, vm, drift)
        self.history = collections.deque()
        self.usage = SharedWorker.report

    def inflation(self):
        pressure = sum(
            TEAM_PRESSURE[t["task"][0]] * t["share"] for t in self.running()
        )
        return 1 + 0.05 * pressure + 0.7 * max(0.0, pressure - PRESSURE_KNEE)

    def progress(self, task):
        """Returns the fraction of work done; throttled tasks advance slower."""
        now = self.sim.now
        last_update = task.setdefault("seen", task["since"])
        task["done"] = task.get("done", task["from"]) + (
            (now - last_update) * task.get("speed", 1.0) / max(1, task["run"])
        )
        task["seen"], task["speed"] = now, task["share"]
        return task["done"]

    def command(self, command, message):
        task = self.tasks.get((command.task, command.attempt))
        if command.op == "throttle" and task is not None:
            self.progress(task)
            task["share"] = task["speed"] = command.fields["share"]
            return None
        return super().command(command, message)

    def report(self):
        now = self.sim.now
        noise = self.sim.rng.lognormvariate(0, 0.05)
        self.history.append((now, 10.0 * self.inflation() * noise))
        while (
            len(self.history) > 1
            and self.history[1][0] <= now - REPORT_DELAY_MS
        ):
            self.history.popleft()
        at, p99 = self.history[0]
        if at > now - REPORT_DELAY_MS:
            return None
        return events.Usage(at - 500, at, 0.0, 0, 0, {}, {"certvault": p99})


def first_fit(state, capacities, task):
    for account in capacities.accounts.values():
        usable = not account.excluded and account.claim is None
        if usable and task.job.size.fits(account.free):
            return account, []
    return None, []


def random_fit(state, capacities, task):
    usable = [
        a
        for a in capacities.accounts.values()
        if not a.excluded and a.claim is None and task.job.size.fits(a.free)
    ]
    return (state.rng.choice(usable) if usable else None), []


def run_trace(seed, control_enabled, choose):
    """Simulates the load of a seed, with or without interference control.

    Returns:
        (finished work in core seconds, p99 of the latency inflation beyond 1,
        number of evictions)
    """
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(batch_fakes, "Worker", SharedWorker)
        if choose is not None:
            monkeypatch.setattr(index, "choose", choose)
        sim = batch_fakes.Sim(seed, workers=24, interference=control_enabled)
        sim.document = {
            "weights": {"latency": 0.7, "throughput": 0.2, "evictions": 0.1}
        }
        sim.tick_ms = 100
        node = sim.nodes[0]
        sim.acquire(node)
        sim.run(20_000)
        rng = random.Random(seed)
        samples, work_ms = [], {}
        end, next_job, count = sim.now + TRACE_MS, sim.now, 0
        measured_from = sim.now + TRACE_MS // 4
        while sim.now < end:
            if sim.now >= next_job:
                next_job = sim.now + rng.randrange(4_000, 12_000)
                team = rng.choice("nmqqqq")
                run_time_ms = rng.randrange(40_000, 160_000)
                count += 1
                work_ms[f"{team}.k{count}"] = run_time_ms
                sim.submit(
                    node, f"k{count}", team=team,
                    tasks=rng.randrange(2, 10), run_time_ms=run_time_ms,
                    checkpoint_ms=20_000,
                    size={"cpus": 1, "memory_mb": 1_000},
                )  # fmt: skip
            sim.run(500)
            if sim.now >= measured_from:
                samples += [w.inflation() for w in sim.workers.values()]
        done = sum(
            work_ms[task.rpartition("/")[0]]
            for task, state in sim.states().items()
            if state == "finished"
        )
        samples.sort()
        evictions = sum(
            value["evictions"]
            for key, (_, value) in sim.rows.items()
            if key.startswith("task/")
        )
        assert not sim.violations, sim.violations[:3]
        return done / 1_000, samples[int(len(samples) * 0.99)] - 1, evictions


def bench_interference():
    variants = (
        ("control on", True, None),
        ("control off", False, None),
        ("first fit", False, first_fit),
        ("random", False, random_fit),
    )
    rows = []
    for seed in TRACE_SEEDS:
        results = {
            name: run_trace(seed, control_enabled, choose)
            for name, control_enabled, choose in variants
        }
        baseline = results["control off"]
        for name, (done, excess, evictions) in results.items():
            is_control = name == "control on"
            rows.append(
                (
                    seed, name, f"{done:.0f}", f"{done / baseline[0]:.3f}",
                    ">= 0.95" if is_control else "-", f"{1 + excess:.2f}",
                    f"{excess / max(baseline[1], 1e-9):.3f}",
                    "< 0.333" if is_control else "-", evictions,
                )
            )  # fmt: skip
    print_table(
        f"Interference, 24 workers, {TRACE_MS // 1_000} s, reports 2 s late",
        (
            "seed", "variant", "core s done", "of off", "target",
            "p99 inflation", "excess of off", "target", "evictions",
        ),
        rows,
    )  # fmt: skip


def main():
    """Prints all tables."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        batch_fakes.install(monkeypatch)
        bench_events()
        bench_urgent()
        bench_interference()


if __name__ == "__main__":
    main()
