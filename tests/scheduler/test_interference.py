import math

import scheduler_fakes as fakes

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import interference
from skylarklug.scheduler import pressure

# From the platform's bounds: a task may be over its target this long on end.
HARM_MS = 4_000


class Tails:
    """Tails and use of processor, by what fills beside a serving task.

    Attributes:
        rises: Rise of the load for a whole worker's processor, by image.
        own: Load of a serving task by job and time in ms.
    """

    IDLE_MS = 25

    def __init__(self, rises, own):
        self.rises = rises
        self.own = own

    def __call__(self, sim, worker, key):
        step = sim.specs[key.job].steps[key.step]
        if not step.target_ms:
            return step.resources.cpu * worker.paces.get(key, 100) / 100
        load = self.own(key.job, sim.now)
        for other in worker.runs:
            filling = sim.specs[other.job].steps[other.step]
            if filling.uses_idle_cpu:
                used = (
                    filling.resources.cpu * worker.paces.get(other, 100) / 100
                )
                load += self.rises[filling.image] * used / worker.cpu
        return round(self.IDLE_MS / (1 - min(0.98, load)))


def steady(job, now):
    del job, now
    return 0.6


class TestDisturbance:
    def serve(self, sim, count, **fields):
        step = fakes.step(
            count,
            runs_until_cancelled=True,
            image="web",
            target_ms=150,
            **fields,
        )
        sim.submit(1, step)
        sim.run(1_000)

    def fill(self, sim, numbers, milliseconds):
        """Submits jobs of two images by turns; returns tails over target.

        The value maps each serving task to the longest time on end, in ms,
        that its tail was over its target.
        """
        since = {}
        longest = {}
        for number in numbers:
            image = "loud" if number % 2 else "calm"
            step = fakes.step(
                2, cpu=2_000, uses_idle_cpu=True, image=image, checkpoints=True
            )
            sim.submit(number, step)
            for _ in range(0, milliseconds, 50):
                sim.run(50)
                for key, name in sim.running(1):
                    tail = sim.tail_latency_of(sim, sim.workers[name], key)
                    if tail <= 150:
                        since.pop(key, None)
                        continue
                    first = since.setdefault(key, sim.now)
                    over = sim.now - first
                    longest[key] = max(longest.get(key, 0), over)
        return longest

    def test_image_that_disturbs_is_slowed_or_kept_away(self, deployment):
        """Guards against batch work that slows the services beside it for
        longer than the platform allows."""
        sim = deployment(workers=6)
        self.serve(sim, 24, cpu=4_000)
        sim.tail_latency_of = Tails({"loud": 3.0, "calm": 0.1}, steady)
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        longest = self.fill(sim, range(2, 40), 700)
        state = sim.leader().state
        assert pressure.coefficient(state, "web", "loud")[0] > 1.5
        assert pressure.coefficient(state, "web", "calm")[0] < 0.5
        assert max(longest.values(), default=0) < HARM_MS
        done = 0
        for number in range(2, 40, 2):
            done += sim.state_of(number) == "done"
        assert done >= 15

    def test_a_new_leader_knows_what_disturbs(self, deployment):
        """Guards against services that are slowed down after each take-over
        until the new leader has learned the same again."""
        sim = deployment(workers=6)
        self.serve(sim, 24, cpu=4_000)
        sim.tail_latency_of = Tails({"loud": 3.0, "calm": 0.1}, steady)
        for worker in sim.workers.values():
            worker.run_ms = 2_000
        self.fill(sim, range(2, 30), 700)
        before = sim.leader()
        sim.kill(before.name)
        sim.run(5_000)
        state = sim.leader().state
        assert state.leader.epoch > before.state.leader.epoch
        assert pressure.coefficient(state, "web", "loud")[0] > 1.5
        assert pressure.coefficient(state, "web", "calm")[0] < 0.5

    def test_loads_that_swing_are_followed(self, deployment):
        """Guards against a filling task that starts while the load is low
        and goes on at full speed when it rises."""
        sim = deployment(workers=1)
        self.serve(sim, 3, cpu=2_000)

        def swinging(job, now):
            del job
            return 0.48 + 0.24 * math.sin(now / 10_000 * 2 * math.pi)

        sim.tail_latency_of = Tails({"loud": 2.0, "calm": 0.1}, swinging)
        sim.workers["w0"].run_ms = 60_000
        longest = self.fill(sim, [3, 5, 7], 8_000)
        assert sim.workers["w0"].paces
        assert max(longest.values(), default=0) < HARM_MS
        slowed = [row[2] for row in sim.log_of("pace") if row[2]["pace"] < 100]
        assert slowed
        for fields in slowed:
            # The log names the service that a slow job waits for.
            assert fields["for"].startswith(fakes.job_id(1))

    def test_pace_without_an_answer_is_ordered_again(self, deployment):
        """Guards against a task that works at full speed after an order to
        slow it down was lost."""
        sim = deployment(workers=1)
        self.serve(sim, 3, cpu=2_000)
        sim.tail_latency_of = Tails({"loud": 4.0, "calm": 0.1}, steady)
        worker = sim.workers["w0"]
        worker.run_ms = 60_000
        lost = []
        pace = worker.pace

        def lose(effect):
            lost.append(effect)
            if len(lost) <= 2:
                return "unknown", "silent"
            return pace(effect)

        worker.pace = lose
        longest = self.fill(sim, [3], 8_000)
        assert len(lost) > 2
        assert worker.paces
        assert max(longest.values(), default=0) < HARM_MS

    def test_tail_around_its_target_is_relieved(self, deployment):
        """Guards against a service that is over its target for long while
        its reported tail, which is rounded, goes above and below it."""
        sim = deployment(workers=1)
        self.serve(sim, 1, cpu=2_000)
        worker = sim.workers["w0"]
        worker.run_ms = 60_000
        worked = []
        paused = []

        def around(sim, worker, key):
            if not sim.runs_until_cancelled(key):
                return 2_000 * worker.paces.get(key, 100) / 100
            paces = [worker.paces.get(k, 100) for k in worker.runs if k != key]
            if not any(paces):
                paused.append(sim.now)
                return 60
            worked.append(sim.now)
            return 149 if len(worked) % 3 else 152

        sim.tail_latency_of = around
        step = fakes.step(1, cpu=2_000, uses_idle_cpu=True, image="calm")
        sim.submit(2, step)
        for _ in range(3):
            begin = sim.now
            sim.run(HARM_MS)
            assert [at for at in paused if at > begin]

    def test_every_service_on_a_worker_counts(self, deployment):
        """Guards against a service that stays over its target because
        another one on the worker is disturbed more."""
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
        sim.submit(
            3, fakes.step(1, cpu=2_000, uses_idle_cpu=True, image="loud")
        )
        sim.workers["w0"].run_ms = 60_000
        sim.run(2_000)
        state = sim.leader().state
        worker = state.leader.workers["w0"]
        for image, rise in (("web", 2.0), ("shop", 0.5)):
            estimates = pressure.estimates_of(state, image)
            row = estimates.coefficient_row("loud")
            estimates.mean[row] = rise
            estimates.covariance[row][row] = 0.0001
        for task in worker.runs.values():
            if task.step.image == "shop":
                task.over_target_since = state.now - HARM_MS
        paces = []
        effects = []
        interference.control(state, effects, worker)
        for effect in effects:
            if isinstance(effect, fx.SetPace):
                paces.append(effect.pace)
        assert paces == [0]

    def test_tasks_of_a_serving_job_share_workers(self, deployment):
        """Guards against loads that peak at different times beside each
        other: they leave less to tasks that fill."""
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

    def test_no_job_stands_still_while_the_service_is_idle(self, deployment):
        """Guards against filling jobs that wait because every worker has a
        task that they would disturb, or because others fill there."""
        sim = deployment(workers=3)
        self.serve(sim, 3, cpu=1_000)
        estimates = pressure.estimates_of(sim.leader().state, "web")
        estimates.add("loud", [4.0], [0.01])
        for worker in sim.workers.values():
            worker.run_ms = 60_000
        for number in range(2, 9):
            step = fakes.step(2, cpu=7_000, uses_idle_cpu=True, image="loud")
            sim.submit(number, step)
        sim.run(3_500)
        for number in range(2, 9):
            assert sim.running(number)
