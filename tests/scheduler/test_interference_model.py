import math
import random

from skylarklug.scheduler import interference_model


def feed_measurements(estimates, seconds, sample, seed=1):
    """Feeds 12 measurements a second; returns the time of the last in ms.

    Args:
        estimates: The estimates to update.
        seconds: Duration of the simulated measurements.
        sample: Called with (random generator, time in s); returns the job, the
            CPU shares by best-effort image and the measured load.
        seed: Seed of the random generator.
    """
    rng = random.Random(seed)
    now = 0
    for number in range(int(seconds * 12)):
        now = number * 1_000 // 12
        job, shares, load = sample(rng, now / 1_000)
        level = estimates.predict_base_load((job, 0), now)
        terms = [(level, 1.0)]
        for image, share in shares.items():
            terms.append((estimates.coefficient_row(image), share))
        estimates.update(terms, load, 0.03**2)
    return now


def oscillating_load(seconds, phase):
    return 0.48 + 0.24 * math.sin(2 * math.pi * (seconds / 20 + phase))


class TestEstimates:
    def mixed_sample(self, rng, seconds):
        job = rng.choice(("a", "b"))
        shares = {"loud": 0.0, "calm": 0.0}
        shares[rng.choice(("loud", "calm"))] = rng.choice((0.0, 0.1, 0.2))
        load = oscillating_load(seconds, 0.0 if job == "a" else 0.3)
        load += 2.5 * shares["loud"] + 0.2 * shares["calm"]
        return job, shares, load + rng.gauss(0, 0.02)

    def test_separates_coefficients_from_base_loads(self):
        """Guards against counting base load as load of best-effort tasks."""
        estimates = interference_model.Estimates(0)
        now = feed_measurements(estimates, 20, self.mixed_sample)
        mean = estimates.mean
        assert 2.0 < mean[estimates.rows["loud"]] < 3.0
        assert mean[estimates.rows["calm"]] < 0.6
        for job, phase in (("a", 0.0), ("b", 0.3)):
            level = estimates.predict_base_load((job, 0), now)
            assert (
                abs(mean[level] - oscillating_load(now / 1_000, phase)) < 0.08
            )

    def test_burst_of_one_task_barely_changes_a_coefficient(self):
        """Guards against avoiding an image because a serving task on the same
        worker was temporarily busy for reasons of its own."""
        estimates = interference_model.Estimates(0)
        now = feed_measurements(estimates, 20, self.mixed_sample)
        before = estimates.mean[estimates.rows["calm"]]
        level = estimates.predict_base_load(("a", 0), now)
        row = estimates.rows["calm"]
        load = oscillating_load(now / 1_000, 0.0) + 0.3
        estimates.update([(level, 1.0), (row, 0.1)], load, 0.03**2)
        assert estimates.mean[row] - before < 0.3

    def test_base_load_of_an_ended_job_is_removed(self):
        """Guards against a filter state that grows with every job, and against
        wrong row numbers after a removal."""
        estimates = interference_model.Estimates(0)
        feed_measurements(estimates, 5, self.mixed_sample)
        loud = estimates.mean[estimates.rows["loud"]]
        estimates.remove_base_load(("a", 0))
        assert set(estimates.rows) == {("b", 0), "loud", "calm"}
        assert estimates.mean[estimates.rows["loud"]] == loud
        size = len(estimates.mean)
        assert size == 4
        assert [len(row) for row in estimates.covariance] == [size] * size
        feed_measurements(estimates, 5, self.mixed_sample)

    def test_covariance_stays_symmetric_and_positive(self):
        """Guards against a numerically unstable filter in a long run."""
        estimates = interference_model.Estimates(0)
        feed_measurements(estimates, 120, self.mixed_sample)
        for number, row in enumerate(estimates.covariance):
            assert row[number] > 0
            for other, value in enumerate(row):
                assert math.isclose(
                    value, estimates.covariance[other][number], abs_tol=1e-9
                )

    def test_update_leaves_unrelated_estimates_alone(self):
        """Guards against updates whose time grows with the square of the
        number of images, most of which a measurement tells nothing about."""
        estimates = interference_model.Estimates(0)
        feed_measurements(estimates, 20, self.mixed_sample)
        for number in range(30):
            estimates.coefficient_row(f"elsewhere-{number}")
        level = estimates.predict_base_load(("a", 0), 20_000)
        before = [list(row) for row in estimates.covariance]
        rows = list(estimates.covariance)
        estimates.update([(level, 1.0)], 0.6, 0.03**2)
        kept = 0
        for old, row in zip(rows, estimates.covariance, strict=True):
            kept += row is old
        assert kept >= 30
        assert estimates.covariance[level][level] < before[level][level]
        for number, row in enumerate(estimates.covariance):
            for other, value in enumerate(row):
                assert math.isclose(
                    value, estimates.covariance[other][number], abs_tol=1e-9
                )

    def test_skipped_updates_do_not_change_what_is_learned(self, monkeypatch):
        """Guards against estimates that are worse because the updates that a
        measurement hardly changes are left out."""

        def sample(rng, seconds):
            image = f"image-{rng.randrange(20)}"
            share = rng.uniform(0.02, 0.15)
            number = int(image.removeprefix("image-"))
            load = oscillating_load(seconds, 0.0) + number % 4 * share
            return "a", {image: share}, load + rng.gauss(0, 0.03)

        errors = {}
        for limit in (0.0, interference_model.MIN_EXPLAINED_SHARE):
            monkeypatch.setattr(
                interference_model, "MIN_EXPLAINED_SHARE", limit
            )
            estimates = interference_model.Estimates(0)
            feed_measurements(estimates, 120, sample)
            errors[limit] = 0.0
            for number in range(20):
                row = estimates.rows[f"image-{number}"]
                errors[limit] += abs(estimates.mean[row] - number % 4) / 20
        complete, partial = errors.values()
        assert complete < 0.3
        assert partial < 1.1 * complete

    def test_updates_per_second_are_limited(self):
        """Guards against excessive CPU time for filter updates on a leader
        with thousands of serving tasks."""
        estimates = interference_model.Estimates(0)
        granted = 0
        for number in range(10_000):
            granted += estimates.acquire_update(number // 2)
        assert granted == 5 * interference_model.MAX_UPDATES_PER_S
