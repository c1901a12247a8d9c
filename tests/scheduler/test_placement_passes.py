"""The cost of placement passes in searches and scored workers, not in time."""

import pytest
import scheduler_fakes as fakes

from skylarklug.scheduler import placement
from skylarklug.scheduler import scoring


def count_scored(state):
    """Returns the number of workers of each search of one placement pass."""
    scored = []

    class CountedSearch(scoring.Search):
        def __init__(self, state, task, candidates):
            scored.append(len(candidates))
            super().__init__(state, task, candidates)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scoring, "Search", CountedSearch)
        placement.place(state, [])
    return scored


def best_effort_step(memory_mb, image="b", **fields):
    return fakes.step(
        cpu=500, memory_mb=memory_mb, best_effort=True, image=image, **fields
    )


class TestWaitingGroups:
    """A pass only looks at what has changed since the last one."""

    def wait_for_room(self, deployment, steps, wait_ms=2_000):
        sim = deployment(workers=4)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        sim.submit(1, fakes.step(200, cpu=1_000, memory_mb=3_000))
        sim.run(1_000)
        for number, step in enumerate(steps, 2):
            sim.submit(number, step)
        sim.run(wait_ms)
        state = sim.leader().state
        assert len(state.leader.ready) == len(steps) + 1
        state.leader.failed_searches.clear()
        return state

    def assert_second_pass_is_free(self, state):
        assert count_scored(state)
        assert count_scored(state) == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"label": "a"},
            {"max_per_worker": 1},
            {"label": "a", "max_per_worker": 2},
        ],
    )
    def test_constrained_steps(self, deployment, fields):
        """Guards against constrained steps that are searched in each pass."""
        steps = []
        for number in range(12):
            memory_mb = 60_000 - 100 * number
            steps.append(best_effort_step(memory_mb, **fields))
        state = self.wait_for_room(deployment, steps)
        self.assert_second_pass_is_free(state)

    @pytest.mark.parametrize("label", ("", "a"))
    def test_only_changed_workers_are_scored(self, deployment, label):
        """Guards against a failed search that replaces that of a smaller task,
        which would then search all workers again."""
        steps = []
        for number in range(12):
            memory_mb = 60_000 - 100 * number
            image = f"b{number % 3}"
            steps.append(best_effort_step(memory_mb, image=image, label=label))
        state = self.wait_for_room(deployment, steps)
        assert count_scored(state)
        leader = state.leader
        next(iter(leader.workers.values())).record_change(leader)
        assert max(count_scored(state)) == 1

    def test_expired_tasks_only_score_changed_workers(self, deployment):
        """Guards against full searches for short tasks that earn nothing."""
        steps = []
        for number in range(50):
            label = "a" if number % 2 else ""
            memory_mb = 60_000 - 100 * number
            step = fakes.step(memory_mb=memory_mb, estimate_ms=100, label=label)
            steps.append(step)
        state = self.wait_for_room(deployment, steps, wait_ms=20_000)
        leader = state.leader
        for group in leader.ready.values():
            for task in group.values():
                assert scoring.is_expired(state, task)
        assert count_scored(state)
        next(iter(leader.workers.values())).record_change(leader)
        assert max(count_scored(state)) == 1

    def test_smaller_task_starts_beside_larger_ones(self, deployment):
        """Guards against a larger task whose failure holds for a smaller."""
        sim = deployment(workers=4)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        sim.submit(1, fakes.step(4, cpu=1_000, memory_mb=50_000))
        sim.submit(2, best_effort_step(9_000, label="a"))
        sim.submit(3, best_effort_step(8_000, label="a"))
        sim.run(1_000)
        sim.submit(4, best_effort_step(1_000, label="a"))
        sim.run(100)
        assert len(sim.running(4)) == 1
        assert not sim.running(2)
        assert not sim.running(3)


class TestBacklogOfKinds:
    """A pass only searches for some of many kinds of best-effort tasks."""

    COUNT = 50

    def wait_for_speed(self, deployment):
        """Returns a deployment in which many kinds of tasks have no room."""
        sim = deployment(workers=4)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        sim.submit(1, fakes.step(4, cpu=16_000, memory_mb=50_000))
        sim.run(1_000)
        for number in range(2, 2 + self.COUNT):
            sim.submit(number, best_effort_step(9_000, image=f"b{number}"))
        sim.run(2_000)
        leader = sim.leader().state.leader
        assert len(leader.ready) == self.COUNT
        leader.failed_searches.clear()
        leader.resume_groups_at = None
        return sim

    def searched_images(self, state):
        """Returns the images that one placement pass searches workers for."""
        images = []

        class RecordedSearch(scoring.Search):
            def __init__(self, state, task, candidates):
                images.append(task.step.image)
                super().__init__(state, task, candidates)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(scoring, "Search", RecordedSearch)
            placement.place(state, [])
        return images

    def test_passes_take_turns(self, deployment):
        """Guards against passes whose cost grows with the number of kinds, and
        against kinds that are never searched."""
        state = self.wait_for_speed(deployment).leader().state
        leader = state.leader
        searched = []
        while len(searched) < self.COUNT:
            leader.placement_requested = False
            images = self.searched_images(state)
            assert 0 < len(images) <= placement.MAX_FAILED_GROUPS
            searched += images
            if len(searched) < self.COUNT:
                assert leader.placement_requested
        assert len(set(searched)) == self.COUNT

    def test_changes_are_noticed_in_turn(self, deployment):
        """Guards against kinds that wait while those before them are searched
        again after each change."""
        state = self.wait_for_speed(deployment).leader().state
        leader = state.leader
        searched = set()
        for _ in range(-(-self.COUNT // placement.MAX_FAILED_GROUPS)):
            for worker in leader.workers.values():
                worker.record_change(leader)
            searched.update(self.searched_images(state))
        assert len(searched) == self.COUNT

    def test_short_tasks_are_searched_in_each_pass(self, deployment):
        """Guards against short tasks that wait for best-effort ones."""
        sim = self.wait_for_speed(deployment)
        # They come after the best-effort tasks.
        estimate_ms = 60_000
        step = fakes.step(cpu=1_000, image="short", estimate_ms=estimate_ms)
        sim.submit(100, step)
        sim.run(100)
        state = sim.leader().state
        leader = state.leader
        for _ in range(6):
            for worker in leader.workers.values():
                worker.record_change(leader)
            assert "short" in self.searched_images(state)

    def test_all_kinds_start_once_there_is_room(self, deployment):
        """Guards against tasks that are forgotten after a backlog."""
        sim = self.wait_for_speed(deployment)
        for worker in sim.workers.values():
            worker.run_ms = 100
            for key in list(worker.runs):
                worker.end(key, "done")
        sim.run(8_000)
        assert not sim.leader().state.leader.ready
        for number in range(2, 2 + self.COUNT):
            assert sim.state_of(number) == "done"


class TestKnownInterference:
    def test_workers_without_headroom_are_scored_once(self, deployment):
        """Guards against scores of workers that are known to be too busy."""
        sim = deployment(workers=4)
        sim.submit(1, fakes.step(4, cpu=16_000))
        sim.submit(2, best_effort_step(1_000, image="b"))
        sim.run(300)
        state = sim.leader().state
        workers = list(state.leader.workers.values())
        task = state.leader.jobs[fakes.job_id(2)].tasks[fakes.first_key(2)]
        for worker in workers:
            worker.runs.clear()
            worker.used = [0, 0, 0]
            worker.allowed_shares["b"] = 0.0
        scored = []
        score = scoring._score

        def count(state, worker, *args, **kwargs):
            scored.append(worker)
            return score(state, worker, *args, **kwargs)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(scoring, "_score", count)
            assert scoring.best_worker(state, task, workers) is None
            assert len(scored) == len(workers)
            for worker in workers:
                worker.allowed_shares["b"] = 1.0
            assert scoring.best_worker(state, task, workers) is not None
