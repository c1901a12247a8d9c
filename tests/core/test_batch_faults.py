"""Seeded fault schedules for batch jobs, in virtual time.

Each schedule submits jobs and injects faults for four minutes. It then ends all
faults and checks that each task that was not cancelled has finished.
"""

import collections
import random

import batch_fakes
import pytest

from skylarklug import events
from skylarklug import lease

SEEDS = range(200)
# Duration of the faults.
FAULTS_MS = 240_000
# Time within which all tasks must end after the faults.
RECOVERY_MS = 420_000
STEPS = [
    "worker",
    "cut",
    "cut",
    "table_outage",
    "lost_answers",
    "loss",
    "pause",
    "node",
    "cut_table",
    "cancel",
    "burst",
    "drain",
    "evict",
    "evict",
    "urgent",
    "job",
    "job",
]
SETTINGS = {"detach_limit_ms": 60_000}


class Schedule:
    """Random faults against one simulation with two nodes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.sim = batch_fakes.Sim(seed, nodes=2, fail=0.02, **SETTINGS)
        self.sim.tick_ms = 200
        self.sim.refuse = 0.05
        self.sim.acquire(self.sim.nodes[0])
        self.jobs, self.cancelled = [], set()
        self.counts = collections.Counter()

    def owner(self):
        sim = self.sim
        for node in sim.nodes:
            if node.epoch == sim.epoch and not node.dead:
                return node
        return None

    def take_over(self):
        """Moves the partition to the other node after the lease has expired."""
        sim = self.sim
        holder = next((n for n in sim.nodes if n.epoch == sim.epoch), None)
        if holder and sim.now - holder.renewed <= batch_fakes.NODE_LEASE_MS:
            if not holder.dead:
                return
        if sim.table_down:
            return
        for node in sim.nodes:
            usable = not (node.dead or node.paused or node.table_unreachable)
            if usable and node is not holder and not node.epoch:
                self.counts["take-over"] += 1
                sim.acquire(node, taken_over=True)
                return

    def step(self):
        """Injects one random fault or change and schedules its end."""
        name = self.rng.choice(STEPS)
        self.counts[name] += 1
        getattr(self, name)()

    def schedule_later(self, low, high, fn):
        self.sim.after(self.rng.randrange(low, high), fn)

    def live_worker(self):
        live = [w for w in self.sim.workers.values() if not w.dead]
        return self.rng.choice(live)

    def worker(self):
        sim, worker = self.sim, self.live_worker()
        worker.advance()
        worker.dead = True
        name = worker.vm.vm

        def listed():
            del sim.vms[name]
            vm = sim.new_worker()
            change = events.WorkersChanged(sim.now, (vm,), (), (name,))
            for node in sim.nodes:
                node.feed(change._replace(at=sim.now))

        self.schedule_later(1_000, 10_000, listed)

    def cut(self):
        worker = self.live_worker()
        names = self.rng.choice((["n0"], ["n1"], ["n0", "n1"]))
        worker.unreachable_from.update(names)
        self.schedule_later(
            2_000,
            60_000,
            lambda: worker.unreachable_from.difference_update(names),
        )

    def table_outage(self):
        self.sim.table_down = True
        self.schedule_later(
            1_000, 40_000, lambda: setattr(self.sim, "table_down", False)
        )

    def lost_answers(self):
        self.sim.lose_answers = 0.4
        self.schedule_later(
            5_000, 30_000, lambda: setattr(self.sim, "lose_answers", 0.0)
        )

    def loss(self):
        self.sim.loss = 0.3
        self.schedule_later(
            5_000, 30_000, lambda: setattr(self.sim, "loss", 0.0)
        )

    def pause(self):
        node = self.rng.choice(self.sim.nodes)
        if node.dead or node.paused:
            return
        node.paused = True
        self.schedule_later(1_000, 45_000, node.resume)

    def node(self):
        node = self.rng.choice(self.sim.nodes)
        if node.dead or node.paused:
            return
        node.dead = True
        node.incarnation = object()
        self.schedule_later(1_000, 30_000, node.boot)

    def cut_table(self):
        node = self.rng.choice(self.sim.nodes)
        node.table_unreachable = True
        incarnation = node.incarnation

        def heal():
            if node.incarnation is incarnation:
                node.table_unreachable = False

        self.schedule_later(5_000, 60_000, heal)

    def cancel(self):
        live = [job for job in self.jobs if job not in self.cancelled]
        node = self.owner()
        if live and node and not node.paused:
            self.cancel_job(node, self.rng.choice(live))

    def burst(self):
        for _ in range(4):
            self.cancel()

    def cancel_job(self, node, job):
        def done(state, effects, status, body):
            if status in ("done", "conflict", "unavailable"):
                self.cancelled.add(job)

        self.cancelled.add(job)
        effects = []
        node.state.now = self.sim.now
        from skylarklug import jobs

        jobs.cancel(node.state, effects, "op", "", job, 0, done)
        node.perform(effects)

    def drain(self):
        name = self.live_worker().vm.vm
        sim = self.sim

        def apply(names):
            sim.document = {"drained": names}
            for node in sim.nodes:
                node.feed(events.ConfigApplied(sim.now, 1, sim.document))

        apply([name])
        self.schedule_later(5_000, 40_000, lambda: apply([]))

    def evict(self):
        node = self.owner()
        if node is None or node.paused or node.mode == "suspended":
            return
        effects = []
        node.state.now = self.sim.now
        for worker in list(node.state.domains["lease"].workers.values())[:3]:
            for resident in list(worker.residents.values())[:2]:
                if resident.task is not None:
                    lease.stop(node.state, effects, resident.task, "test")
        node.perform(effects)

    def urgent(self):
        self.submit(priority=9, tasks=1, run_time_ms=5_000)

    def job(self):
        self.submit(
            tasks=self.rng.randrange(1, 9),
            priority=self.rng.randrange(9),
            run_time_ms=self.rng.randrange(2_000, 30_000),
            checkpoint_ms=self.rng.choice((0, 5_000)),
        )

    def submit(self, **fields):
        node = self.owner() or self.sim.nodes[0]
        if node.dead or node.paused or len(self.jobs) > 40:
            return
        key = f"k{len(self.jobs)}"
        size = {"cpus": self.rng.choice((1, 2, 4, 8)), "memory_mb": 2_000}
        self.jobs.append(f"a.{key}")
        self.sim.submit(node, key, size=size, **fields)

    def end_faults(self):
        sim = self.sim
        sim.table_down, sim.lose_answers, sim.loss = False, 0.0, 0.0
        sim.fail = sim.refuse = 0.0

    def run(self):
        for _ in range(6):
            self.job()
        while self.sim.now < FAULTS_MS:
            self.sim.run(self.rng.randrange(1, 40) * 200)
            self.step()
            self.take_over()
        self.end_faults()
        end = self.sim.now + RECOVERY_MS
        while self.sim.now < end and self.open_tasks():
            self.sim.run(5_000)
            self.take_over()
        return self

    def open_tasks(self):
        """Returns the tasks of committed jobs that have not ended."""
        states = self.sim.states()
        open_ids = []
        for job in self.jobs:
            row = self.sim.row(f"job/yumbo/0/{job}").value
            if row is None:
                continue
            if row["cancelled"]:
                own_states = {
                    t: s for t, s in states.items() if t.startswith(job + "/")
                }
                open_ids += [
                    t for t, s in own_states.items() if s == "starting"
                ]
                continue
            names = [f"{job}/{i}" for i in range(row["end"])]
            open_ids += [t for t in names if states.get(t) != "finished"]
        return open_ids


@pytest.mark.parametrize("seed", SEEDS)
class TestFaultSchedules:
    def test_exactly_once_and_never_overcommitted(self, seed, monkeypatch):
        """Guards against a breach of I1, I2 or I3, and starvation."""
        batch_fakes.install(monkeypatch)
        schedule = Schedule(seed).run()
        details = f"seed={seed} {dict(schedule.counts)}"
        assert not schedule.sim.violations, details
        assert not schedule.open_tasks(), details
