import math

import scheduler_fakes as fakes

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import interference
from skylarklug.scheduler import interference_model
from skylarklug.scheduler import records
from skylarklug.scheduler import scoring

# Longest time for which the platform lets a task stay over its target without
# interruption.
MAX_OVER_TARGET_MS = 4_000


class LatencyModel:
    """Simulates the tail latency of serving tasks and the CPU usage of others.

    Attributes:
        coefficients: Load added by using all CPU of a worker, by best-effort
            image.
        base_load: Function of job and time in ms that returns the base load.
    """

    IDLE_MS = 25

    def __init__(self, coefficients, base_load):
        self.coefficients = coefficients
        self.base_load = base_load

    def __call__(self, sim, worker, key):
        step = sim.specs[key.job].steps[key.step]
        if not step.target_ms:
            return step.resources.cpu * worker.paces.get(key, 100) / 100
        load = self.base_load(key.job, sim.now)
        for other in worker.runs:
            other_step = sim.specs[other.job].steps[other.step]
            if other_step.best_effort:
                used = (
                    other_step.resources.cpu
                    * worker.paces.get(other, 100)
                    / 100
                )
                load += self.coefficients[other_step.image] * used / worker.cpu
        return round(self.IDLE_MS / (1 - min(0.98, load)))


def constant_load(job, now):
    del job, now
    return 0.6


class TestInterference:
    def submit_serving(self, sim, count, **fields):
        step = fakes.step(
            count,
            runs_until_cancelled=True,
            image="web",
            target_ms=150,
            **fields,
        )
        sim.submit(1, step)
        sim.run(1_000)

    def submit_best_effort(self, sim, numbers, milliseconds):
        """Submits best-effort jobs, alternating between two images.

        Returns the longest uninterrupted time in ms that the tail latency of
        each serving task was over its target.
        """
        first_over = {}
        longest_over = {}
        for number in numbers:
            image = "loud" if number % 2 else "calm"
            step = fakes.step(
                2, cpu=2_000, best_effort=True, image=image, checkpoints=True
            )
            sim.submit(number, step)
            for _ in range(0, milliseconds, 50):
                sim.run(50)
                for key, name in sim.running(1):
                    latency = sim.measurement_of(sim, sim.workers[name], key)
                    if latency <= 150:
                        first_over.pop(key, None)
                        continue
                    first = first_over.setdefault(key, sim.now)
                    over = sim.now - first
                    longest_over[key] = max(longest_over.get(key, 0), over)
        return longest_over

    def test_interfering_image_is_slowed_or_placed_elsewhere(self, deployment):
        """Guards against batch tasks that push serving tasks over their target
        for longer than the platform allows."""
        sim = deployment(workers=6)
        self.submit_serving(sim, 24, cpu=4_000)
        sim.measurement_of = LatencyModel(
            {"loud": 3.0, "calm": 0.1}, constant_load
        )
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        longest_over = self.submit_best_effort(sim, range(2, 40), 700)
        state = sim.leader().state
        assert interference_model.coefficient(state, "web", "loud")[0] > 1.5
        assert interference_model.coefficient(state, "web", "calm")[0] < 0.5
        assert max(longest_over.values(), default=0) < MAX_OVER_TARGET_MS
        done = 0
        for number in range(2, 40, 2):
            done += sim.state_of(number) == "done"
        assert done >= 15

    def test_new_leader_inherits_coefficients(self, deployment):
        """Guards against interference after each takeover until the new leader
        has estimated the coefficients again."""
        sim = deployment(workers=6)
        self.submit_serving(sim, 24, cpu=4_000)
        sim.measurement_of = LatencyModel(
            {"loud": 3.0, "calm": 0.1}, constant_load
        )
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        self.submit_best_effort(sim, range(2, 30), 700)
        before = sim.leader()
        sim.kill(before.name)
        sim.run(5_000)
        state = sim.leader().state
        assert state.leader.epoch > before.state.leader.epoch
        assert interference_model.coefficient(state, "web", "loud")[0] > 1.5
        assert interference_model.coefficient(state, "web", "calm")[0] < 0.5

    def test_paces_follow_an_oscillating_load(self, deployment):
        """Guards against a best-effort task that starts while the load is low
        and keeps its full speed when the load rises."""
        sim = deployment(workers=1)
        self.submit_serving(sim, 3, cpu=2_000)

        def oscillating_load(job, now):
            del job
            return 0.48 + 0.24 * math.sin(now / 10_000 * 2 * math.pi)

        sim.measurement_of = LatencyModel(
            {"loud": 2.0, "calm": 0.1}, oscillating_load
        )
        sim.workers["w0"].run_ms = 60_000
        longest_over = self.submit_best_effort(sim, [3, 5, 7], 8_000)
        assert sim.workers["w0"].paces
        assert max(longest_over.values(), default=0) < MAX_OVER_TARGET_MS
        slowed = [row[2] for row in sim.log_of("pace") if row[2]["pace"] < 100]
        assert slowed
        for fields in slowed:
            # The log names the serving task that limits the pace.
            assert fields["for"].startswith(fakes.job_id(1))

    def test_unanswered_pace_order_is_repeated(self, deployment):
        """Guards against a task that keeps its full speed after the order to
        slow it down was lost."""
        sim = deployment(workers=1)
        self.submit_serving(sim, 3, cpu=2_000)
        sim.measurement_of = LatencyModel(
            {"loud": 4.0, "calm": 0.1}, constant_load
        )
        worker = sim.workers["w0"]
        worker.run_ms = 60_000
        orders = []
        pace = worker.pace

        def lose_first_two(effect):
            orders.append(effect)
            if len(orders) <= 2:
                return "unknown", "silent"
            return pace(effect)

        worker.pace = lose_first_two
        longest_over = self.submit_best_effort(sim, [3], 8_000)
        assert len(orders) > 2
        assert worker.paces
        assert max(longest_over.values(), default=0) < MAX_OVER_TARGET_MS

    def test_latency_fluctuating_around_its_target_pauses_best_effort(
        self, deployment
    ):
        """Guards against a serving task that stays over its target because
        its rounded tail latency fluctuates around the target."""
        sim = deployment(workers=1)
        self.submit_serving(sim, 1, cpu=2_000)
        worker = sim.workers["w0"]
        worker.run_ms = 60_000
        samples_running = []
        samples_paused = []

        def near_target(sim, worker, key):
            if not sim.runs_until_cancelled(key):
                return 2_000 * worker.paces.get(key, 100) / 100
            paces = [worker.paces.get(k, 100) for k in worker.runs if k != key]
            if not any(paces):
                samples_paused.append(sim.now)
                return 60
            samples_running.append(sim.now)
            return 149 if len(samples_running) % 3 else 152

        sim.measurement_of = near_target
        step = fakes.step(1, cpu=2_000, best_effort=True, image="calm")
        sim.submit(2, step)
        for _ in range(3):
            begin = sim.now
            sim.run(MAX_OVER_TARGET_MS)
            assert [at for at in samples_paused if at > begin]

    def test_pace_satisfies_every_serving_task_on_a_worker(self, deployment):
        """Guards against a serving task that stays over its target because
        another one on the worker has a higher coefficient."""
        sim = deployment(workers=1)
        for number, image in ((1, "web"), (2, "shop")):
            step = fakes.step(
                1,
                cpu=2_000,
                runs_until_cancelled=True,
                image=image,
                target_ms=150,
            )
            sim.submit(number, step)
        sim.submit(3, fakes.step(1, cpu=2_000, best_effort=True, image="loud"))
        sim.workers["w0"].run_ms = 60_000
        sim.run(2_000)
        state = sim.leader().state
        worker = state.leader.workers["w0"]
        for image, coefficient in (("web", 2.0), ("shop", 0.5)):
            estimates = interference_model.estimates_of(state, image)
            row = estimates.coefficient_row("loud")
            estimates.mean[row] = coefficient
            estimates.covariance[row][row] = 0.0001
        for task in worker.runs.values():
            if task.step.image == "shop":
                task.over_target_since = state.now - MAX_OVER_TARGET_MS
        paces = []
        effects = []
        interference.update_paces(state, effects, worker)
        for effect in effects:
            if isinstance(effect, fx.SetPace):
                paces.append(effect.pace)
        assert paces == [0]

    def test_late_job_is_slowed_before_a_job_on_time(self, deployment):
        """Guards against a job that earns nothing any more and holds the load
        that a job still on time needs."""
        sim = deployment(workers=1)
        sim.measurement_of = LatencyModel({"crunch": 1.2}, constant_load)
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        self.submit_serving(sim, 1, cpu=4_000)
        sim.run(3_000)
        keys = {}
        for number, estimate_ms in ((2, 60_000), (3, 100)):
            step = fakes.step(
                1,
                cpu=2_500,
                image="crunch",
                best_effort=True,
                checkpoints=True,
                estimate_ms=estimate_ms,
            )
            sim.submit(number, step)
            sim.run(6_000)
            keys[number] = records.TaskKey(fakes.job_id(number), 0, 0, 0)
        paces = {2: [], 3: []}
        for _ in range(40):
            sim.run(250)
            worker = next(iter(sim.workers.values()))
            for number, key in keys.items():
                paces[number].append(worker.paces.get(key, 100))
        assert min(paces[3]) < 50
        assert sum(paces[2]) > 1.5 * sum(paces[3])

    def test_tasks_of_one_serving_job_share_a_worker(self, deployment):
        """Guards against serving jobs that share a worker but peak at
        different times, which leaves less CPU to best-effort tasks."""
        sim = deployment(workers=3)
        for number in range(1, 4):
            image = f"web{number % 2}"
            sim.submit(
                number,
                fakes.step(
                    4,
                    cpu=4_000,
                    runs_until_cancelled=True,
                    image=image,
                    target_ms=150,
                ),
            )
            sim.run(1_000)
        for number in range(1, 4):
            assert len({name for _, name in sim.running(number)}) == 1

    def test_every_best_effort_job_runs_while_cpu_is_idle(self, deployment):
        """Guards against best-effort jobs that starve because they would
        interfere on every worker, or because others already run there."""
        sim = deployment(workers=3)
        self.submit_serving(sim, 3, cpu=1_000)
        estimates = interference_model.estimates_of(sim.leader().state, "web")
        estimates.add("loud", [4.0], [0.01])
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        for number in range(2, 9):
            step = fakes.step(2, cpu=7_000, best_effort=True, image="loud")
            sim.submit(number, step)
        sim.run(3_500)
        for number in range(2, 9):
            assert sim.running(number)


class TestSearch:
    """The search for the worker on which a best-effort task is fastest."""

    def submit_mixed_load(self, sim):
        sim.measurement_of = LatencyModel(
            {"loud": 3.0, "calm": 0.3}, constant_load
        )
        for worker in sim.workers.values():
            worker.run_ms = 3_000
        serving = fakes.step(
            len(sim.workers),
            cpu=8_000,
            runs_until_cancelled=True,
            image="web",
            target_ms=150,
        )
        sim.submit(1, serving)
        sim.run(4_000)
        for number in range(2, 30):
            best_effort = fakes.step(
                6,
                cpu=2_000 + 900 * (number % 4),
                best_effort=True,
                image="loud" if number % 2 else "calm",
                checkpoints=True,
            )
            sim.submit(number, best_effort)
            sim.run(400)

    def test_worker_found_is_the_best_of_all(self, deployment, monkeypatch):
        """Guards against a lower bound of a score that hides a better
        worker."""
        sim = deployment(workers=12)
        found = []

        class CheckedSearch(scoring.Search):
            def best_worker(self, state, task):
                scores = []
                for number, worker in enumerate(self._candidates):
                    score = scoring._score(state, worker, task, self._reserve)
                    if score is not None:
                        scores.append((score, number))
                worker = super().best_worker(state, task)
                best = None
                if scores:
                    best = self._candidates[min(scores)[1]]
                found.append(worker)
                assert worker is best
                return worker

        monkeypatch.setattr(scoring, "Search", CheckedSearch)
        self.submit_mixed_load(sim)
        assert None in found
        assert len(found) - found.count(None) > 80

    def test_search_estimates_interference_on_few_workers(
        self, deployment, monkeypatch
    ):
        """Guards against a leader that spends its processor time on estimates
        for all workers although the first one will do."""
        sim = deployment(workers=40)
        counts = {"headroom": 0, "searches": 0}
        headroom = interference.headroom

        def count_headroom(state, worker, task):
            counts["headroom"] += 1
            return headroom(state, worker, task)

        class CountedSearch(scoring.Search):
            def __init__(self, *args):
                counts["searches"] += 1
                super().__init__(*args)

        monkeypatch.setattr(interference, "headroom", count_headroom)
        monkeypatch.setattr(scoring, "Search", CountedSearch)
        self.submit_mixed_load(sim)
        assert counts["searches"] > 20
        assert counts["headroom"] < 20 * counts["searches"]
