"""Tests of interference estimates and of the control they drive."""

import pytest

from skylarklug import events
from skylarklug import interference

HOUR_MS = 3_600_000
SERVICE = "certvault"
DELAY_MS = 2_000


def attach(world, effect, base=10.0):
    """Makes workers report p99 by what ran two seconds ago.

    `effect` maps a job class to the inflation it adds at full speed.
    """
    history = {}

    def usage(worker):
        now = world.now
        excess = sum(
            effect.get(t["task"][0], 0.0) * t["share"] for t in worker.running()
        )
        seen = history.setdefault(worker.vm.vm, [])
        seen.append((now, base * (1 + excess)))
        past = [p99 for at, p99 in seen if at <= now - DELAY_MS] or [base]
        start, end = now - DELAY_MS - 1_000, now - DELAY_MS
        return events.Usage(start, end, 0.0, 0, 0, {}, {SERVICE: past[-1]})

    for worker in world.workers.values():
        worker.usage = usage


@pytest.fixture
def world(sim):
    built = sim(workers=2, ready=False)
    built.document = {
        "weights": {"latency": 0.7, "throughput": 0.2, "evictions": 0.1}
    }
    built.acquire(built.nodes[0])
    attach(built, {"n": 0.8})
    built.run(30_000)
    return built


def submit(world, team, **fields):
    fields = {"run_time_ms": HOUR_MS, "size": {"cpus": 1, "memory_mb": 1}} | {
        **fields
    }
    world.submit(world.nodes[0], "k", team=team, **fields)


def shares(world):
    return {
        t["task"]: t["share"]
        for worker in world.workers.values()
        for t in worker.running()
    }


class TestResidency:
    def test_attribution_to_the_window(self, world):
        """Guards against blaming tasks that came after the window."""
        submit(world, "q")
        world.run(2_000)
        submit(world, "n")
        world.run(2_000)
        state = world.nodes[0].state
        name = next(
            n for n, w in world.workers.items() if len(w.running()) == 2
        )
        early = interference.residents_between(
            state, name, world.now - 3_500, world.now - 2_000
        )
        assert set(early) == {"q/batch"}
        late = interference.residents_between(
            state, name, world.now - 1_000, world.now
        )
        assert set(late) == {"q/batch", "n/batch"}

    def test_log_is_bounded(self, world):
        """Guards against memory that grows with every task."""
        submit(world, "q", tasks=60, run_time_ms=1_000)
        world.run(200_000)
        sites = world.nodes[0].state.domains["interference"].worker_records
        assert sum(len(site.residencies) for site in sites.values()) == 0


class TestEstimate:
    def test_pair_is_shrunk_to_its_class(self, world):
        """Guards against acting on two unlucky samples."""
        state = world.nodes[0].state
        mine = state.domains["interference"]
        pair = mine.pairs["x", SERVICE] = interference.RunningMean(1.0)
        mine.classes["x"] = interference.RunningMean(1.0)
        for _ in range(2):
            pair.add(2.0)
        assert interference.estimate(state, "x", SERVICE) == pytest.approx(1.2)
        for _ in range(54):
            pair.add(2.0)
        weight = 56 / 64
        expected = weight * 2.0 + (1 - weight)
        got = interference.estimate(state, "x", SERVICE)
        assert got == pytest.approx(expected)

    def test_finds_the_noisy_class(self, world):
        """Guards against blaming a quiet neighbour."""
        world.nodes[0].state.settings["interference"] = False
        submit(world, "q", tasks=4)
        world.run(30_000)
        submit(world, "n", tasks=1)
        world.run(120_000)
        state = world.nodes[0].state
        noisy = interference.estimate(state, "n/batch", SERVICE)
        quiet = interference.estimate(state, "q/batch", SERVICE)
        assert noisy > 1.3 > quiet


class TestControl:
    def test_throttles_the_noisy_task_first(self, world):
        """Guards against evictions where a throttle suffices."""
        submit(world, "q", tasks=2)
        world.run(30_000)
        submit(world, "n", tasks=1)
        world.run(120_000)
        held = shares(world)
        assert held["n.k/0"] < 1.0
        assert held["q.k/0"] == held["q.k/1"] == 1.0
        lines = [x.event for x in world.nodes[0].logs]
        assert "throttle" in lines
        assert "move" not in lines

    def test_hysteresis_between_act_and_release(self, world):
        """Guards against a control loop that oscillates."""
        submit(world, "n", tasks=1)
        world.run(300_000)
        events_seen = [
            x.fields["share"]
            for x in world.nodes[0].logs
            if x.event == "throttle"
        ]
        assert len(events_seen) <= 3

    def test_release_when_the_cause_is_gone(self, world):
        """Guards against tasks that stay slow for ever."""
        submit(world, "n", tasks=1)
        world.run(60_000)
        assert shares(world)["n.k/0"] < 1.0
        attach(world, {"n": 0.0})
        world.run(120_000)
        assert shares(world)["n.k/0"] == 1.0

    def test_moves_when_throttling_does_not_help(self, world):
        """Guards against a service that stays slow beside a demanding task."""
        attach(world, {"n": 4.0})
        submit(world, "n", tasks=2, size={"cpus": 1, "memory_mb": 1})
        world.run(200_000)
        lines = [x.event for x in world.nodes[0].logs]
        assert "move" in lines or "evict" in lines
        placed = [len(w.running()) for w in world.workers.values()]
        assert placed == [1, 1]

    def test_off_by_settings(self, world):
        """Guards against control that cannot be compared with none."""
        world.nodes[0].state.settings["interference"] = False
        submit(world, "n", tasks=2)
        world.run(120_000)
        assert set(shares(world).values()) == {1.0}
