"""Tests that no start brings a worker over its capacity.

The workers of these tests start whatever they are told to, and the simulation
records each start above what a worker offers.
"""

import random

import pytest
import scheduler_fakes as fakes

# The workers may be told to start more than fits.
UNGUARDED = fakes.CONFIGURATION._replace(
    unguarded_services=frozenset({fakes.SERVICE})
)


def lasting(count=1, **fields):
    return fakes.step(count, runs_until_cancelled=True, **fields)


class TestUnwantedRuns:
    def test_run_of_a_cancelled_job_counts_until_it_has_stopped(
        self, deployment
    ):
        """Guards against a start in place of a run that a new leader has only
        just ordered to stop."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        assert len(sim.running(1)) == 1
        sim.kill(sim.leader().name)
        sim.cancel(1)
        sim.submit(2, lasting(cpu=10_000))
        sim.run(6_000)
        assert len(sim.running(2)) == 1
        assert not sim.running(1)
        assert not sim.find_problems()

    def test_run_of_an_unreadable_job_counts(self, deployment):
        """Guards against a start beside a run whose job, and so its resources,
        the leader does not know."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        sim.kill(sim.leader().name)
        row = sim.store.rows["jobs", fakes.job_id(1)]
        sim.store.rows["jobs", fakes.job_id(1)] = row._replace(value={})
        sim.submit(2, lasting(cpu=10_000))
        sim.run(6_000)
        assert len(sim.running(2)) == 1
        assert not sim.find_problems()

    def test_outdated_run_counts_beside_the_current_one(self, deployment):
        """Guards against a start beside an earlier run of a task that has been
        started again elsewhere."""
        sim = deployment(workers=2)
        worker, other = sim.workers["w0"], sim.workers["w1"]
        other.cpu = 4_000
        sim.submit(1, lasting(cpu=10_000, memory_mb=40_000))
        sim.run(1_000)
        ((key, _),) = sim.running(1)
        attempt, *_ = worker.runs[key]
        leader = sim.leader().state.leader
        task = leader.jobs[key.job].tasks[key]
        # A late order of an earlier attempt is carried out on this worker.
        other.cpu = 16_000
        sim.publish_workers()
        sim.run(100)
        other.runs[key] = (attempt - 1, sim.now, "")
        while not sim.log_of("stop"):
            sim.run(5)
        sim.submit(2, lasting(cpu=10_000, memory_mb=100))
        sim.run(1_500)
        assert task.worker == "w0"
        assert len(sim.running(2)) == 1
        assert not sim.find_problems()


class TestOutdatedEntries:
    """A start counts against a smaller capacity 4.5 s after the worker has
    shrunk."""

    def occupy(self, sim):
        """Lets one of two tasks run; the other one starts when it ends."""
        sim.workers["w0"].run_ms = 5_100
        sim.submit(1, fakes.step(2, cpu=9_000))
        while not sim.starts:
            sim.run(5)

    def test_leader_without_store(self, deployment):
        """Guards against a leader that is cut off from the store and starts a
        task by the last capacity that it read."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_feed_of_entries_hangs(self, deployment):
        """Guards against a leader that starts a task by an old capacity while
        only its feed of worker entries gets no answers."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        sim.leader().hung_tables.add("workers")
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_entry_from_before_an_outage(self, deployment):
        """Guards against a start by an entry that the worker has not been able
        to change, because the store was not available until now."""
        sim = deployment(workers=2, configuration=UNGUARDED)
        sim.workers["w1"].cpu = 1_000
        sim.publish_workers()
        sim.run(100)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.store.refuses_workers = True
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(4_700)
        sim.store.modes.clear()
        sim.store.refuses_workers = False
        for _ in range(3):
            sim.run(20)
            sim.workers["w1"].publish()
        sim.run(8_000)
        assert not sim.find_problems()

    def test_resumed_leader(self, deployment):
        """Guards against a leader that was suspended and starts a task by what
        it knew before."""
        sim = deployment(nodes=1, workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        sim.run(100)
        sim.workers["w0"].resize(cpu=8_000)
        leader = sim.leader()
        sim.pause(leader)
        sim.workers["w0"].publish()
        sim.run(5_400)
        sim.resume(leader)
        sim.run(4_000)
        assert not sim.find_problems()

    def test_entry_of_an_earlier_incarnation(self, deployment):
        """Guards against a start on a restarted worker by the capacity that it
        had before."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        worker = sim.workers["w0"]
        worker.capacity = worker.capacity._replace(cpu=8_000)
        worker.crash(incarnation=2)
        sim.run(1_000)
        worker.publish()
        sim.run(3_000)
        assert not sim.find_problems()

    def test_repeated_start_order(self, deployment):
        """Guards against a start order that is repeated after the worker has
        shrunk."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        worker = sim.workers["w0"]
        worker.lost_starts = 9
        sim.submit(1, lasting(cpu=9_000))
        sim.run(200)
        worker.resize(cpu=8_000)
        sim.after(fakes.HEARTBEAT_MS, worker.publish)
        sim.run(9_000)
        assert not sim.find_problems()
        worker.lost_starts = 0
        worker.resize(cpu=16_000)
        worker.publish()
        sim.run(3_000)
        assert len(sim.running(1)) == 1

    def test_starts_resume_after_an_outage(self, deployment):
        """Guards against workers that get no tasks after an outage of the
        store."""
        sim = deployment(workers=1, configuration=UNGUARDED)
        self.occupy(sim)
        for node in sim.nodes:
            sim.store.modes[node] = "refuse"
        sim.run(4_700)
        sim.store.modes.clear()
        sim.run(4_500)
        assert len(sim.starts) == 2


class TestShrunkWorkers:
    def test_best_effort_task_on_a_worker_above_its_cpu(self, deployment):
        """Guards against a start on a worker whose tasks already exceed what is
        left of its CPU."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(cpu=10_000))
        sim.run(1_000)
        sim.workers["w0"].resize(cpu=8_000)
        sim.workers["w0"].publish()
        sim.run(5_000)
        sim.submit(2, fakes.step(cpu=500, best_effort=True, image="b"))
        sim.run(3_000)
        assert not sim.find_problems()
        sim.workers["w0"].resize(cpu=12_000)
        sim.workers["w0"].publish()
        sim.run(2_000)
        assert sim.state_of(2) == "done"

    def test_preemption_that_does_not_free_enough_memory(self, deployment):
        """Guards against stopping a long-running task for a short one that
        still does not fit."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(4, cpu=4_000, memory_mb=15_000))
        sim.run(1_000)
        sim.workers["w0"].resize(memory_mb=30_000)
        sim.workers["w0"].publish()
        sim.run(500)
        short = fakes.step(cpu=2_000, memory_mb=10_000, estimate_ms=5_000)
        sim.submit(2, short)
        sim.run(3_000)
        assert len(sim.running(1)) == 4

    def test_preemption_that_frees_enough(self, deployment):
        """Guards against a short task that waits although a long-running one
        could make room for it."""
        sim = deployment(workers=1)
        sim.submit(1, lasting(4, cpu=4_000, memory_mb=15_000))
        sim.run(1_000)
        short = fakes.step(cpu=2_000, memory_mb=10_000, estimate_ms=5_000)
        sim.submit(2, short)
        sim.run(3_000)
        assert sim.state_of(2) == "done"


class TestRandomCapacities:
    @pytest.mark.parametrize("notices_exits", (False, True))
    @pytest.mark.parametrize("seed", range(30))
    def test_no_start_exceeds_a_capacity(self, seed, notices_exits):
        """Guards against combinations of faults and changes of capacities that
        the other tests miss, and against jobs that wait for ever."""
        rng = random.Random(seed)
        sim = fakes.Sim(nodes=4, workers=4, configuration=UNGUARDED)
        sim.notices_exits = notices_exits
        sim.run(2_000)
        accepted = {}
        for number in range(1, 40):
            resources = {
                "cpu": rng.choice([1_000, 3_000, 6_000]),
                "memory_mb": rng.choice([500, 9_000, 20_000]),
            }
            kind = rng.randrange(4)
            if kind == 0:
                step = lasting(rng.randint(1, 3), **resources)
            elif kind == 1:
                step = fakes.step(best_effort=True, image="b", **resources)
            else:
                step = fakes.step(
                    rng.randint(1, 5), gang=kind == 3, **resources
                )
            node = rng.choice(sorted(sim.nodes))
            accepted[number] = sim.submit(number, step, node=node)
            if rng.random() < 0.3:
                cancelled = rng.randint(1, number)
                sim.cancel(cancelled)
                accepted.pop(cancelled, None)
            self.inject_fault(sim, rng)
            sim.run(rng.randint(100, 1_500))
        self.end_faults(sim)
        for worker in sim.workers.values():
            worker.resize(cpu=64_000, memory_mb=640_000)
            worker.publish()
        sim.run(25_000)
        assert not sim.find_problems()
        for number, req in accepted.items():
            step = sim.specs[fakes.job_id(number)].steps[0]
            if sim.status(req) != 200:
                continue
            if step.runs_until_cancelled:
                assert len(sim.running(number)) == step.count, number
            else:
                assert sim.state_of(number) == "done", number

    def end_faults(self, sim):
        sim.store.modes.clear()
        sim.store.refuses_workers = False
        sim.cut_links.clear()
        for node in sim.nodes.values():
            node.hung_tables.clear()

    def inject_fault(self, sim, rng):
        worker = rng.choice(list(sim.workers.values()))
        name = rng.choice(sorted(sim.nodes))
        fault = rng.randrange(10)
        if fault < 4:
            worker.resize(
                cpu=rng.choice([2_000, 8_000, 16_000]),
                memory_mb=rng.choice([10_000, 30_000, 64_000]),
            )
            sim.after(rng.randrange(fakes.HEARTBEAT_MS), worker.publish)
        elif fault == 4:
            sim.kill(name)
            added = sim.add_node(f"m{next(sim.sequence)}")
            if sim.store.refuses_workers:
                sim.store.modes[added.name] = "refuse"
        elif fault == 5 and not sim.store.refuses_workers:
            sim.store.modes[name] = rng.choice(["silent", "refuse", "lose"])
        elif fault == 6:
            modes = dict.fromkeys(sim.nodes, "refuse")
            sim.store.modes.update(modes)
            sim.store.refuses_workers = True
        elif fault == 7:
            self.end_faults(sim)
        elif fault == 8:
            sim.cut_links.add((name, worker.name))
            worker.unanswered_starts = 2
        else:
            sim.nodes[name].hung_tables.add("workers")
