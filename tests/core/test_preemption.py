"""Tests of urgent claims, eviction budgets and claims after a long wait."""

from skylarklug import preemption

HOUR_MS = 3_600_000


def fill(world, **fields):
    """Fills both workers of a small fleet with long tasks."""
    fields = {"tasks": 8, "run_time_ms": HOUR_MS, **fields}
    world.submit(world.nodes[0], "full", **fields)
    world.run(5_000)


def running(world, prefix):
    return sorted(
        t["task"]
        for worker in world.workers.values()
        for t in worker.running()
        if t["task"].startswith(prefix)
    )


def urgent(world, key="urgent", **fields):
    """Submits urgent work and returns the time until it runs."""
    begin = world.now
    fields = {"priority": 9, "run_time_ms": HOUR_MS, **fields}
    world.submit(world.nodes[0], key, **fields)
    while not running(world, f"a.{key}") and world.now < begin + 60_000:
        world.run(50)
    return world.now - begin


class TestUrgent:
    def test_starts_on_a_full_fleet(self, sim):
        """Guards against urgent work behind hours of batch work."""
        world = sim(workers=2)
        fill(world)
        assert urgent(world) <= 5_300
        assert len(running(world, "a.full")) == 7
        assert not world.violations

    def test_second_worker_when_the_first_cannot_stop(self, sim):
        """Guards against a claim on a worker that does not answer."""
        world = sim(workers=2)
        fill(world)
        world.workers["w00"].unreachable_from.add("n0")
        assert urgent(world, "first") <= 5_300
        assert urgent(world, "second") <= 5_300

    def test_never_equal_or_higher_priority(self, sim):
        """Guards against urgent jobs that evict each other."""
        world = sim(workers=2)
        fill(world, priority=9)
        assert urgent(world) >= 60_000
        assert len(running(world, "a.full")) == 8

    def test_victims_lose_the_least_work(self, sim):
        """Guards against stopping the task that has run longest."""
        world = sim(workers=1)
        fill(world, tasks=3)
        world.run(30_000)
        world.submit(world.nodes[0], "young", run_time_ms=HOUR_MS)
        world.run(5_000)
        urgent(world)
        assert len(running(world, "a.full")) == 3
        assert not running(world, "a.young")

    def test_victim_resumes_first(self, sim):
        """Guards against evicted work that waits behind new work."""
        world = sim(workers=1)
        fill(world, tasks=4)
        world.submit(world.nodes[0], "other", tasks=4)
        urgent(world, run_time_ms=5_000)
        world.run(20_000)
        assert len(running(world, "a.full")) == 4
        resumed = [t for t in world.workers["w00"].running() if t["from"]]
        assert len(resumed) == 1


class TestBudgets:
    def test_job_and_partition(self, sim):
        """Guards against evictions that all hit one job."""
        world = sim(workers=2)
        fill(world)
        node = world.nodes[0]
        budget = node.state.domains["placement"].evictions
        job = node.state.domains["jobs"].partitions["yumbo/0"].jobs["a.full"]
        task = job.tasks[0]
        for _ in range(preemption.EVICTIONS_PER_JOB):
            assert budget.allowed(task, world.now)
            budget.record(task, world.now)
        assert not budget.allowed(task, world.now, urgent=True)
        later = world.now + preemption.JOB_WINDOW_MS
        assert budget.allowed(task, later)

    def test_urgent_exceeds_the_partition_only(self):
        """Guards against a budget that delays urgent work."""
        budget = preemption.EvictionBudget()

        class Job:
            id, partition = "j", "p"

        class Task:
            job = Job()

        for i in range(preemption.EVICTIONS_PER_PARTITION):
            Job.id = f"j{i}"
            budget.record(Task, 0)
        Job.id = "fresh"
        assert not budget.allowed(Task, 1)
        assert budget.allowed(Task, 1, urgent=True)
        assert budget.allowed(Task, preemption.PARTITION_WINDOW_MS)


class TestAgedClaim:
    def test_large_task_is_not_starved(self, sim):
        """Guards against a stream of small tasks that hides a large one."""
        world = sim(workers=2)
        size = {"cpus": 1, "memory_mb": 10}
        for i in range(8):
            world.submit(
                world.nodes[0], f"small{i}", tasks=60, size=size,
                run_time_ms=8_000 + 1_000 * i,
            )  # fmt: skip
        world.run(5_000)
        big = {"cpus": 16, "memory_mb": 10}
        world.submit(world.nodes[0], "big", size=big, run_time_ms=1_000)
        world.run(preemption.AGED_AFTER_MS + 40_000)
        assert world.states().get("a.big/0") == "finished"
        left = [s for s in world.states().values() if s == "finished"]
        assert len(left) < 480
        assert not world.violations
