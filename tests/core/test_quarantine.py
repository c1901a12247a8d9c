"""Tests of the quarantine of workers and jobs."""

import pytest

from skylarklug import quarantine

PARTITION = "yumbo/0"


@pytest.fixture
def world(sim):
    return sim(workers=10)


def record(world, job, worker, succeeded):
    """Records an outcome and returns its effects."""
    effects = []
    node = world.nodes[0]
    node.state.now = world.now
    quarantine.record_outcome(
        node.state, effects, PARTITION, job, worker, succeeded
    )
    return effects


def make_jobs_fail(world, worker, jobs=3):
    """Makes several jobs fail on a worker and succeed on another."""
    for i in range(jobs):
        record(world, f"j{worker}{i}", worker, False)
        record(world, f"j{worker}{i}", "w09", True)


def account(world, name):
    return world.nodes[0].state.domains["placement"].accounts[name]


class TestWorker:
    def test_three_failing_jobs_that_succeed_elsewhere(self, world):
        """Guards against a worker that fails everything it starts."""
        make_jobs_fail(world, "w00", 2)
        assert "quarantine" not in account(world, "w00").excluded
        make_jobs_fail(world, "w00")
        assert "quarantine" in account(world, "w00").excluded
        reason = quarantine.reason(world.nodes[0].state, "worker", "w00")
        assert "succeed elsewhere" in reason

    def test_jobs_that_fail_everywhere_are_no_evidence(self, world):
        """Guards against a quarantine of workers for the faults of jobs."""
        for i in range(5):
            for worker in ("w00", "w01", "w02", "w03"):
                record(world, f"bad{i}", worker, False)
        assert not world.nodes[0].state.domains["quarantine"].workers

    def test_at_most_a_fifth_of_the_partition(self, world):
        """Guards against a common fault that removes all workers."""
        for worker in ("w00", "w01", "w02", "w03"):
            make_jobs_fail(world, worker)
        quarantined = [
            a.worker
            for a in world.nodes[0].state.domains["placement"].accounts.values()
            if "quarantine" in a.excluded
        ]
        assert quarantined == ["w00", "w01"]

    def test_probe_allows_one_attempt(self, world):
        """Guards against a full load on a worker that is still broken."""
        make_jobs_fail(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        assert "quarantine" not in account(world, "w00").excluded
        state = world.nodes[0].state
        quarantine.record_start(state, "any", "w00")
        assert "quarantine" in account(world, "w00").excluded
        record(world, "any", "w00", False)
        entry = state.domains["quarantine"].workers["w00"]
        assert entry.delay_ms == 2 * quarantine.INITIAL_PROBE_DELAY_MS

    def test_successful_probe_ends_the_quarantine(self, world):
        """Guards against a repaired worker that stays in quarantine."""
        make_jobs_fail(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        quarantine.record_start(world.nodes[0].state, "any", "w00")
        record(world, "any", "w00", True)
        assert "quarantine" not in account(world, "w00").excluded
        record(world, "another", "w00", False)
        assert "quarantine" not in account(world, "w00").excluded

    def test_probe_without_an_outcome_is_repeated(self, world):
        """Guards against a quarantine without end after an evicted probe."""
        make_jobs_fail(world, "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        quarantine.record_start(world.nodes[0].state, "any", "w00")
        world.run(quarantine.INITIAL_PROBE_DELAY_MS + 100)
        assert "quarantine" not in account(world, "w00").excluded


class TestJob:
    def test_failing_where_others_succeed(self, world):
        """Guards against a broken job that keeps all workers busy."""
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

    def test_broken_worker_end_to_end(self, sim):
        """Guards against retries that all go to the broken worker."""
        world = sim(workers=10)
        broken = world.workers["w00"]
        advance_original = broken.advance

        def advance():
            for task in broken.running():
                broken.change(task, state="failed", reason="disk")
            advance_original()

        broken.advance = advance
        for i in range(6):
            world.submit(
                world.nodes[0], f"k{i}", tasks=2, retries=20, run_time_ms=2_000
            )
            world.run(8_000)
        world.run(60_000)
        assert set(world.states().values()) == {"finished"}
        assert "w00" in world.nodes[0].state.domains["quarantine"].workers
