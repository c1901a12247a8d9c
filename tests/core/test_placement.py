"""Tests of the capacity index and of placement."""

import random

from skylarklug import events
from skylarklug import index
from skylarklug import jobs
from skylarklug import placement
from skylarklug import tasks

HOUR_MS = 3_600_000


def on_workers(world):
    """Counts running tasks by worker."""
    return {
        name: len(worker.running())
        for name, worker in world.workers.items()
        if worker.running()
    }


class TestIndex:
    def build(self, count):
        capacities = index.Index()
        for i in range(count):
            size = tasks.Size(16_000, 60_000, i % 10 == 0)
            account = index.Account(f"w{i:03}", "p", f"r{i // 8}", size)
            account.excluded.clear()
            account.used[0] = (i * 37 % 16) * 1000
            account._update_free()
            capacities.add(account)
        return capacities

    def test_at_most_sixteen_candidates(self):
        """Guards against a placement cost that grows with the fleet."""
        capacities = self.build(400)
        size = tasks.Size(2_000, 1_000, 0)
        names = capacities.candidates(size, random.Random(1))
        assert len(names) == len(set(names)) == 16
        best = min(
            a.free[0] for a in capacities.accounts.values() if a.free[0] >= 2000
        )
        assert capacities.accounts[names[0]].free[0] == best

    def test_searches_the_scarcest_resource(self):
        """Guards against overlooking the few workers with accelerators."""
        capacities = self.build(400)
        size = tasks.Size(100, 100, 1)
        names = capacities.candidates(size, random.Random(1))
        assert all(capacities.accounts[n].capacity[2] for n in names)

    def test_totals_follow_the_lists(self):
        """Guards against advertised capacity that differs from the accounts."""
        capacities = self.build(50)
        for account in list(capacities.accounts.values())[::3]:
            account.claim = "x"
            capacities.update(account)
        kept = [a for a in capacities.accounts.values() if not a.claim]
        assert capacities.free_capacity()["free"][0] == sum(
            a.free[0] for a in kept
        )


class TestPlacement:
    def test_never_beyond_capacity(self, sim):
        """Guards against overcommitment (I1)."""
        world = sim(workers=2)
        world.submit(
            world.nodes[0], "k", tasks=20, run_time_ms=HOUR_MS,
            size={"cpus": 3, "memory_mb": 25_000},
        )  # fmt: skip
        world.run(5_000)
        assert on_workers(world) == {"w00": 2, "w01": 2}
        assert not world.violations

    def test_spreads_over_racks(self, sim):
        """Guards against a job that one rack failure stops."""
        world = sim()
        world.submit(
            world.nodes[0], "k", tasks=3, spread="rack", run_time_ms=HOUR_MS
        )
        world.run(5_000)
        racks = {world.vms[name].rack for name in on_workers(world)}
        assert len(racks) == 3

    def test_spreads_over_workers_of_one_rack(self, sim):
        """Guards against a job that one worker failure stops."""
        world = sim()
        for name, vm in list(world.vms.items()):
            world.vms[name] = vm._replace(rack="r0")
        world.acquire(world.nodes[0])
        world.run(1_000)
        world.submit(
            world.nodes[0], "k", tasks=3, spread="rack", run_time_ms=HOUR_MS
        )
        world.run(5_000)
        assert len(set(on_workers(world))) == 3

    def test_log_names_rejected_candidates(self, sim):
        """Guards against a placement that the log does not explain."""
        world = sim()
        world.submit(world.nodes[0], "k", run_time_ms=HOUR_MS)
        world.run(1_000)
        [line] = [x for x in world.nodes[0].logs if x.event == "place"]
        assert line.fields["reason"] == "best-fit"
        assert line.fields["against"].count("w0") == 5

    def test_unrunnable_blocks_nothing(self, sim):
        """Guards against an unrunnable job that blocks other jobs."""
        world = sim()
        world.submit(
            world.nodes[0], "big", priority=8, run_time_ms=HOUR_MS,
            size={"cpus": 99, "memory_mb": 1},
        )  # fmt: skip
        world.submit(world.nodes[0], "k", run_time_ms=HOUR_MS)
        world.run(2_000)
        state = world.nodes[0].state
        assert sum(on_workers(world).values()) == 1
        why = jobs.explain(state, "job", "a.big")
        assert why["state"] == "unrunnable"
        assert "needs cpus=99" in why["reason"]

    def test_observed_use_raises_the_commitment(self, sim):
        """Guards against declared sizes that are far too small."""
        world = sim(workers=1)
        world.workers["w00"].usage = lambda worker: events.Usage(
            world.now - 1_000, world.now, 14.0, 4_000, 0,
            {t["task"]: (14.0, 4_000) for t in worker.running()}, {},
        )  # fmt: skip
        world.submit(world.nodes[0], "k", tasks=1, run_time_ms=HOUR_MS)
        world.run(12_000)
        world.submit(world.nodes[0], "k2", tasks=2, run_time_ms=HOUR_MS)
        world.run(5_000)
        assert on_workers(world) == {"w00": 1}

    def test_drained_worker_gets_nothing_and_is_emptied(self, sim):
        """Guards against a drain that leaves tasks behind."""
        world = sim()
        world.submit(world.nodes[0], "k", tasks=4, run_time_ms=60_000)
        world.run(5_000)
        [name] = on_workers(world)
        world.document = {"drained": [name]}
        world.nodes[0].feed(events.ConfigApplied(world.now, 2, world.document))
        world.run(8_000)
        assert name not in on_workers(world)
        assert sum(on_workers(world).values()) == 4
        moved = [
            t for w in world.workers.values() for t in w.running() if t["from"]
        ]
        assert len(moved) == 4
        world.nodes[0].feed(events.ConfigApplied(world.now, 3, {}))
        world.submit(world.nodes[0], "k2", tasks=20, run_time_ms=HOUR_MS)
        world.run(3_000)
        assert name in on_workers(world)

    def test_leaving_worker_is_emptied(self, sim):
        """Guards against work on a VM that is about to be terminated."""
        world = sim()
        world.submit(world.nodes[0], "k", tasks=4, run_time_ms=HOUR_MS)
        world.run(5_000)
        [name] = on_workers(world)
        world.nodes[0].feed(events.WorkerLeaving(world.now, name, "test"))
        world.run(8_000)
        assert name not in on_workers(world)
        assert sum(on_workers(world).values()) == 4

    def test_waiting_priority_rises(self, sim):
        """Guards against starvation by a stream of higher priorities."""
        world = sim(workers=1)
        node = world.nodes[0]
        world.submit(node, "full", tasks=4, priority=8, run_time_ms=HOUR_MS)
        world.run(2_000)
        world.submit(node, "low", priority=0)
        world.run(2 * placement.AGING_MS + 5_000)
        why = jobs.explain(node.state, "job", "a.low")
        assert why["waits"]["priority"] == 2
