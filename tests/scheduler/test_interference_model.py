import math
import random

from skylarklug.scheduler import interference_model


def feed(estimates, seconds, sample, seed=1):
    """Feeds measurements of two a second and task; returns the last time.

    Args:
        estimates: What is taught.
        seconds: For how long.
        sample: Called with (random numbers, time in s); returns the parts as
            (job, shares by image) and the load.
        seed: Of the random numbers.
    """
    rng = random.Random(seed)
    now = 0
    for number in range(int(seconds * 12)):
        now = number * 1_000 // 12
        job, shares, load = sample(rng, now / 1_000)
        level = estimates.predict_base_load((job, 0), now)
        parts = [(level, 1.0)]
        for image, share in shares.items():
            parts.append((estimates.coefficient_row(image), share))
        estimates.update(parts, load, 0.03**2)
    return now


def swing(seconds, phase):
    return 0.48 + 0.24 * math.sin(2 * math.pi * (seconds / 20 + phase))


class TestEstimates:
    def mixed(self, rng, seconds):
        job = rng.choice(("a", "b"))
        shares = {"loud": 0.0, "calm": 0.0}
        shares[rng.choice(("loud", "calm"))] = rng.choice((0.0, 0.1, 0.2))
        load = swing(seconds, 0.0 if job == "a" else 0.3)
        load += 2.5 * shares["loud"] + 0.2 * shares["calm"]
        return job, shares, load + rng.gauss(0, 0.02)

    def test_images_and_own_loads_are_told_apart(self):
        """Guards against a load that is blamed on what fills beside it."""
        estimates = interference_model.Estimates(0)
        now = feed(estimates, 20, self.mixed)
        mean = estimates.mean
        assert 2.0 < mean[estimates.rows["loud"]] < 3.0
        assert mean[estimates.rows["calm"]] < 0.6
        for job, phase in (("a", 0.0), ("b", 0.3)):
            level = estimates.predict_base_load((job, 0), now)
            assert abs(mean[level] - swing(now / 1_000, phase)) < 0.08

    def test_burst_of_one_task_changes_little(self):
        """Guards against an image that is avoided because a task beside it
        was busy by itself for a while."""
        estimates = interference_model.Estimates(0)
        now = feed(estimates, 20, self.mixed)
        before = estimates.mean[estimates.rows["calm"]]
        level = estimates.predict_base_load(("a", 0), now)
        row = estimates.rows["calm"]
        load = swing(now / 1_000, 0.0) + 0.3
        estimates.update([(level, 1.0), (row, 0.1)], load, 0.03**2)
        assert estimates.mean[row] - before < 0.3

    def test_load_of_an_ended_job_is_dropped(self):
        """Guards against estimates that grow with every job, and against
        rows that are mixed up when one goes."""
        estimates = interference_model.Estimates(0)
        feed(estimates, 5, self.mixed)
        loud = estimates.mean[estimates.rows["loud"]]
        estimates.remove_base_load(("a", 0))
        assert set(estimates.rows) == {("b", 0), "loud", "calm"}
        assert estimates.mean[estimates.rows["loud"]] == loud
        size = len(estimates.mean)
        assert size == 4
        assert [len(row) for row in estimates.covariance] == [size] * size
        feed(estimates, 5, self.mixed)

    def test_covariance_stays_symmetric_and_positive(self):
        """Guards against a filter that diverges over a long run."""
        estimates = interference_model.Estimates(0)
        feed(estimates, 120, self.mixed)
        for number, row in enumerate(estimates.covariance):
            assert row[number] > 0
            for other, value in enumerate(row):
                assert math.isclose(
                    value, estimates.covariance[other][number], abs_tol=1e-9
                )

    def test_corrections_are_limited(self):
        """Guards against a leader that spends its time on estimates when
        thousands of tasks serve."""
        estimates = interference_model.Estimates(0)
        allowed = 0
        for number in range(10_000):
            allowed += estimates.may_update(number // 2)
        assert allowed == 5 * interference_model.MAX_UPDATES_PER_S
