"""Tests of urgent claims, eviction budgets and aged claims."""

from skylarklug import preemption

HOUR_MS = 3_600_000


def fill_workers(world, **fields):
    """Fills the workers with tasks that run for an hour."""
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


def submit_urgent(world, key="urgent", **fields):
    """Submits an urgent job and returns the milliseconds until it runs."""
    started_at = world.now
    fields = {"priority": 9, "run_time_ms": HOUR_MS, **fields}
    world.submit(world.nodes[0], key, **fields)
    while not running(world, f"a.{key}") and world.now < started_at + 60_000:
        world.run(50)
    return world.now - started_at


class TestUrgent:
    def test_starts_when_all_workers_are_full(self, sim):
        """Guards against urgent tasks that wait for long batch tasks to end."""
        world = sim(workers=2)
        fill_workers(world)
        assert submit_urgent(world) <= 5_300
        assert len(running(world, "a.full")) == 7
        assert not world.violations

    def test_second_worker_when_the_first_is_unreachable(self, sim):
        """Guards against a claim that waits for an unreachable worker."""
        world = sim(workers=2)
        fill_workers(world)
        world.workers["w00"].unreachable_from.add("n0")
        assert submit_urgent(world, "first") <= 5_300
        assert submit_urgent(world, "second") <= 5_300

    def test_equal_priority_is_not_preempted(self, sim):
        """Guards against urgent jobs that evict each other."""
        world = sim(workers=2)
        fill_workers(world, priority=9)
        assert submit_urgent(world) >= 60_000
        assert len(running(world, "a.full")) == 8

    def test_victims_lose_the_least_work(self, sim):
        """Guards against stopping the task that has run longest."""
        world = sim(workers=1)
        fill_workers(world, tasks=3)
        world.run(30_000)
        world.submit(world.nodes[0], "young", run_time_ms=HOUR_MS)
        world.run(5_000)
        submit_urgent(world)
        assert len(running(world, "a.full")) == 3
        assert not running(world, "a.young")

    def test_victim_resumes_before_new_work(self, sim):
        """Guards against evicted tasks that wait behind new ones."""
        world = sim(workers=1)
        fill_workers(world, tasks=4)
        world.submit(world.nodes[0], "other", tasks=4)
        submit_urgent(world, run_time_ms=5_000)
        world.run(20_000)
        assert len(running(world, "a.full")) == 4
        resumed = [t for t in world.workers["w00"].running() if t["from"]]
        assert len(resumed) == 1


class TestBudgets:
    def test_job_budget(self, sim):
        """Guards against evictions that all hit one job."""
        world = sim(workers=2)
        fill_workers(world)
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

    def test_urgent_exceeds_only_the_partition_budget(self):
        """Guards against a partition budget that delays urgent tasks."""
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
        """Guards against a large task that never fits between small ones."""
        world = sim(workers=2)
        size = {"cpus": 1, "memory_mb": 10}
        for i in range(8):
            world.submit(
                world.nodes[0], f"small{i}", tasks=60, size=size,
                run_time_ms=8_000 + 1_000 * i,
            )  # fmt: skip
        world.run(5_000)
        large = {"cpus": 16, "memory_mb": 10}
        world.submit(world.nodes[0], "big", size=large, run_time_ms=1_000)
        world.run(preemption.AGED_AFTER_MS + 40_000)
        assert world.states().get("a.big/0") == "finished"
        finished = [s for s in world.states().values() if s == "finished"]
        assert len(finished) < 480
        assert not world.violations
