"""Tests of quota grants and fair share."""

import types

import batch_fakes
import pytest

from skylarklug import quota
from skylarklug import tasks

HOUR_MS = 3_600_000
SIZE = tasks.Size(1_000, 0, 0)


def teams(**limits):
    """Returns a configuration with a CPU limit and a weight for each team."""
    return {
        "teams": {
            name: {"cpus": cpus, "memory_mb": 10**9, "weight": weight}
            for name, (cpus, weight) in limits.items()
        }
    }


def running(world, team):
    return sum(
        t["task"].startswith(f"{team}.")
        for worker in world.workers.values()
        for t in worker.running()
    )


class TestLimit:
    def test_team_stays_within_its_quota(self, sim):
        """Guards against a team that uses all workers."""
        world = sim(ready=False)
        world.document = teams(a=(20, 1))
        world.acquire(world.nodes[0])
        world.run(500)
        world.submit(world.nodes[0], "k", tasks=20, run_time_ms=HOUR_MS)
        world.run(20_000)
        assert running(world, "a") == 5
        row = world.row("quota/a").value
        assert row["grants"]["yumbo/0"][0] >= 20_000

    def test_finished_tasks_free_quota(self, sim):
        """Guards against a limit that counts finished tasks."""
        world = sim(ready=False)
        world.document = teams(a=(8, 1))
        world.acquire(world.nodes[0])
        world.run(500)
        world.submit(world.nodes[0], "k", tasks=6, run_time_ms=3_000)
        world.run(60_000)
        assert set(world.states().values()) == {"finished"}


class TestFairShare:
    def test_follows_the_weights(self, sim):
        """Guards against a team with many tasks that starves another."""
        world = sim(ready=False)
        world.document = teams(a=(1_000, 3), b=(1_000, 1))
        world.acquire(world.nodes[0])
        world.run(500)
        for team in "ab":
            world.submit(
                world.nodes[0], "k", team=team, tasks=40, run_time_ms=HOUR_MS
            )
        world.run(20_000)
        assert (running(world, "a"), running(world, "b")) == (18, 6)


class Grants:
    """Owners of several partitions against one table."""

    def __init__(self, count, limit):
        self.sim = batch_fakes.Sim(3, workers=0, nodes=count)
        self.sim.document = teams(a=(limit, 1))
        self.names = [f"yumbo/{i}" for i in range(count)]
        self.sim.submit = None
        for name, node in zip(self.names, self.sim.nodes, strict=True):
            self.sim.partition = name
            self.sim.acquire(node)
            node.epoch = self.sim.epoch
        self.sim.run(500)

    def take(self, i, count):
        """Starts up to `count` one-CPU tasks in a partition."""
        node, effects, started = self.sim.nodes[i], [], 0
        node.state.now = self.sim.now
        for _ in range(count):
            if not quota.admits(node.state, effects, self.names[i], "a", SIZE):
                break
            quota.charge(node.state, self.names[i], "a", SIZE, 1)
            started += 1
        node.perform(effects)
        return started

    def used(self, i):
        state = self.sim.nodes[i].state
        return quota.used(state, self.names[i], "a")[0] // 1000


@pytest.fixture
def grants(monkeypatch):
    batch_fakes.install(monkeypatch)
    fake = types.SimpleNamespace(mode=lambda state: "held")
    monkeypatch.setattr("skylarklug.ownership", fake)
    return Grants


class TestGrants:
    def test_partitions_never_exceed_the_limit_together(self, grants):
        """Guards against a limit that each partition applies separately."""
        world = grants(3, 10)
        for _ in range(40):
            for i in range(3):
                world.take(i, 2)
            world.sim.run(500)
            assert sum(world.used(i) for i in range(3)) <= 10
        assert sum(world.used(i) for i in range(3)) == 10

    def test_partition_keeps_to_its_grant_without_the_table(self, grants):
        """Guards against a limit that is not enforced during a table outage."""
        world = grants(2, 16)
        world.take(0, 1)
        world.sim.run(3_000)
        world.sim.table_down = True
        total = 0
        for _ in range(10):
            total += world.take(0, 20) + world.take(1, 20)
            world.sim.run(1_000)
        assert 0 < total <= 4
        assert world.used(1) == 0

    def test_idle_grant_is_returned(self, grants):
        """Guards against quota that an idle partition keeps."""
        world = grants(2, 8)
        for _ in range(10):
            world.take(0, 8)
            world.sim.run(2_000)
        assert world.used(0) == 8
        state = world.sim.nodes[0].state
        quota.charge(state, world.names[0], "a", tasks.Size(7_000, 0, 0), -1)
        for _ in range(10):
            world.take(1, 8)
            world.sim.run(2_000)
        assert world.used(1) == 7

    def test_waiting_partition_gets_its_share(self, grants):
        """Guards against a busy partition that starves another."""
        world = grants(2, 8)
        for _ in range(10):
            world.take(0, 8)
            world.sim.run(2_000)
        state = world.sim.nodes[0].state
        for _ in range(60):
            world.take(1, 8)
            if world.used(0) and world.sim.rng.random() < 0.5:
                quota.charge(state, world.names[0], "a", SIZE, -1)
            world.take(0, 8)
            world.sim.run(1_000)
        assert world.used(1) >= 3
