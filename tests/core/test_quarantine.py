"""Tests of the quarantine of workers and jobs."""

import pytest

from skylarklug import quarantine

PART = "yumbo/0"


@pytest.fixture
def world(sim):
    return sim(workers=10)


def record(world, job, worker, succeeded):
    """Records an outcome and returns the lines logged."""
    effects = []
    node = world.nodes[0]
    node.state.now = world.now
    quarantine.record_outcome(node.state, effects, PART, job, worker, succeeded)
    return effects


def fail_on(world, worker, jobs=3):
    """Makes several jobs fail on a worker and succeed on another."""
    for i in range(jobs):
        record(world, f"j{worker}{i}", worker, False)
        record(world, f"j{worker}{i}", "w09", True)


def account(world, name):
    return world.nodes[0].state.domains["placement"].accounts[name]


class TestWorker:
    def test_three_jobs_that_succeed_elsewhere(self, world):
        """Guards against a worker that fails everything it starts."""
        fail_on(world, "w00", 2)
        assert "quarantine" not in account(world, "w00").excluded
        fail_on(world, "w00")
        assert "quarantine" in account(world, "w00").excluded
        why = quarantine.reason(world.nodes[0].state, "worker", "w00")
        assert "succeed elsewhere" in why

    def test_jobs_that_fail_everywhere_prove_nothing(self, world):
        """Guards against workers in quarantine because of broken jobs."""
        for i in range(5):
            for worker in ("w00", "w01", "w02", "w03"):
                record(world, f"bad{i}", worker, False)
        assert not world.nodes[0].state.domains["quarantine"].workers

    def test_at_most_a_fifth_of_the_partition(self, world):
        """Guards against a fault elsewhere that empties the fleet."""
        for worker in ("w00", "w01", "w02", "w03"):
            fail_on(world, worker)
        held = [
            a.worker
            for a in world.nodes[0].state.domains["placement"].accounts.values()
            if "quarantine" in a.excluded
        ]
        assert held == ["w00", "w01"]

    def test_probe_lets_one_task_through(self, world):
        """Guards against a full load on a worker that is still broken."""
        fail_on(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        assert "quarantine" not in account(world, "w00").excluded
        state = world.nodes[0].state
        quarantine.record_start(state, "any", "w00")
        assert "quarantine" in account(world, "w00").excluded
        record(world, "any", "w00", False)
        entry = state.domains["quarantine"].workers["w00"]
        assert entry.delay_ms == 2 * quarantine.INITIAL_PROBE_DELAY_MS

    def test_good_probe_ends_it(self, world):
        """Guards against a repaired worker that stays out."""
        fail_on(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        quarantine.record_start(world.nodes[0].state, "any", "w00")
        record(world, "any", "w00", True)
        assert "quarantine" not in account(world, "w00").excluded
        record(world, "another", "w00", False)
        assert "quarantine" not in account(world, "w00").excluded

    def test_probe_without_an_outcome_is_repeated(self, world):
        """Guards against a worker lost when its probe is evicted."""
        fail_on(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        quarantine.record_start(world.nodes[0].state, "any", "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        assert "quarantine" not in account(world, "w00").excluded


class TestJob:
    def test_failing_where_others_succeed(self, world):
        """Guards against a broken job that uses up the fleet."""
        for worker in ("w00", "w01", "w02"):
            record(world, "good", worker, True)
            record(world, "bad", worker, False)
        state = world.nodes[0].state
        assert quarantine.blocks(state, "bad")
        assert not quarantine.blocks(state, "good")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        assert not quarantine.blocks(state, "bad")
        quarantine.record_start(state, "bad", "w05")
        assert quarantine.blocks(state, "bad")

    def test_bad_worker_end_to_end(self, sim):
        """Guards against retries that all go to the broken worker."""
        world = sim(workers=10)
        bad = world.workers["w00"]
        plain = bad.advance

        def advance():
            for task in bad.running():
                bad.change(task, state="failed", reason="disk")
            plain()

        bad.advance = advance
        for i in range(6):
            world.submit(
                world.nodes[0], f"k{i}", tasks=2, retries=20, run_time_ms=2_000
            )
            world.run(8_000)
        world.run(60_000)
        assert set(world.states().values()) == {"finished"}
        assert "w00" in world.nodes[0].state.domains["quarantine"].workers
