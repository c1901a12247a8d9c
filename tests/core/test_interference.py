"""Tests of interference estimates and of the control they drive."""

import pytest

from skylarklug import events
from skylarklug import interference

HOUR_MS = 3_600_000
SERVICE = "certvault"
DELAY_MS = 2_000


def attach(world, effect, base=10.0):
    """Makes workers report the p99 of two seconds ago.

    `effect` maps a team to the inflation its tasks add at full speed.
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
    simulation = sim(workers=2, ready=False)
    simulation.document = {
        "weights": {"latency": 0.7, "throughput": 0.2, "evictions": 0.1}
    }
    simulation.acquire(simulation.nodes[0])
    attach(simulation, {"n": 0.8})
    simulation.run(30_000)
    return simulation


def submit_job(world, team, **fields):
    fields = {"run_time_ms": HOUR_MS, "size": {"cpus": 1, "memory_mb": 1}} | {
        **fields
    }
    world.submit(world.nodes[0], "k", team=team, **fields)


def running_shares(world):
    return {
        t["task"]: t["share"]
        for worker in world.workers.values()
        for t in worker.running()
    }


class TestResidency:
    def test_attribution_to_the_window(self, world):
        """Guards against attribution to tasks that began after the window."""
        submit_job(world, "q")
        world.run(2_000)
        submit_job(world, "n")
        world.run(2_000)
        state = world.nodes[0].state
        name = next(
            n for n, w in world.workers.items() if len(w.running()) == 2
        )
        early_shares = interference.residents_between(
            state, name, world.now - 3_500, world.now - 2_000
        )
        assert set(early_shares) == {"q/batch"}
        late_shares = interference.residents_between(
            state, name, world.now - 1_000, world.now
        )
        assert set(late_shares) == {"q/batch", "n/batch"}

    def test_residencies_are_bounded(self, world):
        """Guards against memory use that grows with every task."""
        submit_job(world, "q", tasks=60, run_time_ms=1_000)
        world.run(200_000)
        records = world.nodes[0].state.domains["interference"].worker_records
        assert sum(len(record.residencies) for record in records.values()) == 0


class TestEstimate:
    def test_pair_is_shrunk_to_its_class(self, world):
        """Guards against control that acts on two outlying samples."""
        state = world.nodes[0].state
        domain = state.domains["interference"]
        pair = domain.pairs["x", SERVICE] = interference.RunningMean(1.0)
        domain.classes["x"] = interference.RunningMean(1.0)
        for _ in range(2):
            pair.add(2.0)
        assert interference.estimate(state, "x", SERVICE) == pytest.approx(1.2)
        for _ in range(54):
            pair.add(2.0)
        weight = 56 / 64
        expected = weight * 2.0 + (1 - weight)
        estimate = interference.estimate(state, "x", SERVICE)
        assert estimate == pytest.approx(expected)

    def test_finds_the_noisy_class(self, world):
        """Guards against attribution to a harmless class on the same worker."""
        world.nodes[0].state.settings["interference"] = False
        submit_job(world, "q", tasks=4)
        world.run(30_000)
        submit_job(world, "n", tasks=1)
        world.run(120_000)
        state = world.nodes[0].state
        noisy = interference.estimate(state, "n/batch", SERVICE)
        quiet = interference.estimate(state, "q/batch", SERVICE)
        assert noisy > 1.3 > quiet


class TestControl:
    def test_throttles_the_noisy_task_first(self, world):
        """Guards against evictions where a throttle suffices."""
        submit_job(world, "q", tasks=2)
        world.run(30_000)
        submit_job(world, "n", tasks=1)
        world.run(120_000)
        shares = running_shares(world)
        assert shares["n.k/0"] < 1.0
        assert shares["q.k/0"] == shares["q.k/1"] == 1.0
        logged = [x.event for x in world.nodes[0].logs]
        assert "throttle" in logged
        assert "move" not in logged

    def test_hysteresis_between_act_and_release(self, world):
        """Guards against a control loop that oscillates."""
        submit_job(world, "n", tasks=1)
        world.run(300_000)
        throttle_shares = [
            x.fields["share"]
            for x in world.nodes[0].logs
            if x.event == "throttle"
        ]
        assert len(throttle_shares) <= 3

    def test_release_when_the_cause_is_gone(self, world):
        """Guards against tasks that stay throttled for ever."""
        submit_job(world, "n", tasks=1)
        world.run(60_000)
        assert running_shares(world)["n.k/0"] < 1.0
        attach(world, {"n": 0.0})
        world.run(120_000)
        assert running_shares(world)["n.k/0"] == 1.0

    def test_moves_when_throttling_does_not_help(self, world):
        """Guards against a service that stays slow beside a demanding task."""
        attach(world, {"n": 4.0})
        submit_job(world, "n", tasks=2, size={"cpus": 1, "memory_mb": 1})
        world.run(200_000)
        logged = [x.event for x in world.nodes[0].logs]
        assert "move" in logged or "evict" in logged
        task_counts = [len(w.running()) for w in world.workers.values()]
        assert task_counts == [1, 1]

    def test_disabled_by_settings(self, world):
        """Guards against control that acts in spite of the setting.

        Runs without control serve as the baseline of comparisons.
        """
        world.nodes[0].state.settings["interference"] = False
        submit_job(world, "n", tasks=2)
        world.run(120_000)
        assert set(running_shares(world).values()) == {1.0}
