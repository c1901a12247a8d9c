"""Estimates how much best-effort tasks add to the load of serving tasks.

A serving task is modelled as a queue: its tail latency is `idle / (1 - load)`,
where `idle` is the tail latency without load. The load is the sum of the job's
base load, which all its tasks share, and of the load added by each best-effort
task on the same worker: a coefficient for the pair of images times the share
of the worker's CPU that the best-effort task uses.

For each serving image, one Kalman filter jointly estimates the base loads of
its jobs (level and slope) and the coefficients of all best-effort images.
"""

from typing import NamedTuple

# Assumed ratio of the target latency to the tail latency without load. It only
# sets the scale of the load. A linear model holds on any such scale, so the
# latency without load need not be known.
TARGET_TO_IDLE_RATIO = 6.0
# Load on that scale at which the tail latency equals its target.
LOAD_LIMIT = 1 - 1 / TARGET_TO_IDLE_RATIO
# Upper limit of a base load. Services are sized so that their base load alone
# stays below LOAD_LIMIT.
MAX_BASE_LOAD = 0.73
# Largest plausible coefficient.
MAX_COEFFICIENT = 6.0
# Prior mean of a coefficient. About half of the pairs are near zero, the others
# between one and four.
PRIOR_MEAN = 1.2
# Prior variance of a coefficient.
PRIOR_VARIANCE = 1.7
# Growth of a coefficient's variance per second, which discounts old
# measurements.
COEFFICIENT_DRIFT = 0.001
# Prior mean of a job's base load, before its first measurement.
PRIOR_BASE_LOAD = 0.5
# Prior variance of a base load.
PRIOR_LOAD_VARIANCE = 0.04
# Prior variance of its slope per second, whose prior mean is 0.
PRIOR_SLOPE_VARIANCE = 0.01
# While the variance of a base load is above this, the prior mean is applied
# again as a measurement, about once in a few seconds.
REVERSION_VARIANCE = 0.0036
# Variance of that measurement.
REVERSION_NOISE_VARIANCE = 0.6
# Process noise of a base load's slope: its change within a second. A load that
# oscillates by half within ten seconds changes its slope by 0.1.
SLOPE_DRIFT = 0.08
# Interval at which the variances of coefficients grow.
INFLATION_INTERVAL_MS = 100
# Share of an estimate's variance that a measurement must explain to change that
# estimate. Most estimates of an image are hardly correlated with one
# measurement, and to update them all takes time that grows with the square of
# their number.
MIN_EXPLAINED_SHARE = 1e-3
# Limit of filter updates per image. An update takes about 0.05 ms of processor
# time with 30 best-effort images (bench/interference.py), so those of one image
# stay under 1 % of a core for any number of tasks.
MAX_UPDATES_PER_S = 100
# Workers report tail latency and CPU usage as averages over this time.
WINDOW_MS = 500
# Standard deviation of a load derived from a tail latency.
LOAD_NOISE = 0.035
# Half width of the rounding of a reported tail latency.
ROUNDING_MS = 0.3
# An innovation of more than this many standard deviations is taken for a burst
# of one task rather than for a change of its job's base load.
OUTLIER_DEVIATIONS = 3.0
# Usual size of such a burst, as a load.
BURST_NOISE = 0.2
# Relative variation of a coefficient within seconds.
COEFFICIENT_VARIATION = 0.45
# Lower limit of a measured load. Lower values come from tail latencies that
# are rounded towards zero.
MIN_LOAD = -2.0
# Above this load a measurement only shows that the load is high.
SATURATED_LOAD = 0.95
# How long a single task stays busier than the other tasks of its job.
BURST_MS = 2_000
# Smallest excess load that counts as such a burst.
MIN_BURST = 0.04
# Uncertain share of the load added by a best-effort task that starts, stops or
# changes its pace within the window.
TRANSIENT_VARIATION = 0.6


class CpuShare(NamedTuple):
    """Share of a worker's CPU that a best-effort image used in a window.

    `transient` is the part of it that was not in use for the whole window.
    """

    image: str
    share: float
    transient: float


class Estimates:
    """State of the Kalman filter of one serving image.

    Attributes:
        rows: Row of each estimate, by best-effort image, or by (job, step)
            for the level of a base load, whose slope is in the next row.
        mean: Estimates by row.
        covariance: Covariances by row and column.
        loads_at: Time in ms to which each base load was predicted, by
            (job, step).
        inflated_at: Time in ms up to which the variances of the coefficients
            have grown.
        updates: Updates since `second_started_at`.
        second_started_at: Start in ms of the second for which updates are
            limited.
    """

    def __init__(self, now: int):
        self.rows: dict = {}
        self.mean: list[float] = []
        self.covariance: list[list[float]] = []
        self.loads_at: dict[tuple[str, int], int] = {}
        self.inflated_at = now
        self.updates = 0
        self.second_started_at = now

    def acquire_update(self, now: int) -> bool:
        """Counts an update; returns whether the limit per second allows it."""
        if now - self.second_started_at >= 1_000:
            self.updates = 0
            self.second_started_at = now
        self.updates += 1
        return self.updates <= MAX_UPDATES_PER_S

    def add(self, name, means, variances):
        """Adds independent estimates in consecutive rows."""
        self.rows[name] = len(self.mean)
        for mean, variance in zip(means, variances, strict=True):
            for row in self.covariance:
                row.append(0.0)
            self.mean.append(mean)
            self.covariance.append([0.0] * len(self.mean))
            self.covariance[-1][-1] = variance

    def remove_base_load(self, name):
        """Removes the base load of a job that has ended."""
        first = self.rows.pop(name)
        del self.loads_at[name]
        for sequence in (self.mean, self.covariance, *self.covariance):
            del sequence[first : first + 2]
        for other, row in self.rows.items():
            if row > first:
                self.rows[other] = row - 2

    def coefficient_row(self, image: str) -> int:
        """Returns the row of a best-effort image; adds it if it is new."""
        if image not in self.rows:
            self.add(image, [PRIOR_MEAN], [PRIOR_VARIANCE])
        return self.rows[image]

    def predict_base_load(self, name, at: int) -> int:
        """Extrapolates a base load to the time `at` and returns its row."""
        if name not in self.rows:
            variances = [PRIOR_LOAD_VARIANCE, PRIOR_SLOPE_VARIANCE]
            self.add(name, [PRIOR_BASE_LOAD, 0.0], variances)
            self.loads_at[name] = at
        level = self.rows[name]
        elapsed_s = (at - self.loads_at[name]) / 1000
        if elapsed_s <= 0:
            return level
        self.loads_at[name] = at
        slope = level + 1
        covariance = self.covariance
        self.mean[level] += elapsed_s * self.mean[slope]
        for row in covariance:
            row[level] += elapsed_s * row[slope]
        slopes = covariance[slope]
        covariance[level] = [
            value + elapsed_s * other
            for value, other in zip(covariance[level], slopes, strict=True)
        ]
        drift = SLOPE_DRIFT * SLOPE_DRIFT * elapsed_s
        covariance[level][level] += drift * elapsed_s * elapsed_s / 3
        covariance[level][slope] += drift * elapsed_s / 2
        covariance[slope][level] += drift * elapsed_s / 2
        covariance[slope][slope] += drift
        return level

    def inflate_variances(self, now: int):
        """Increases the variances of coefficients with the time elapsed."""
        if now - self.inflated_at < INFLATION_INTERVAL_MS:
            return
        growth = COEFFICIENT_DRIFT * (now - self.inflated_at) / 1000
        self.inflated_at = now
        for name, row in self.rows.items():
            if name not in self.loads_at:
                variance = self.covariance[row][row] + growth
                self.covariance[row][row] = min(PRIOR_VARIANCE, variance)

    def update(self, terms, measured: float, noise: float) -> float:
        """Updates the estimates with one measurement of a weighted sum.

        Estimates of which it explains less than MIN_EXPLAINED_SHARE keep their
        value and variance (a Schmidt-Kalman update).

        Args:
            terms: Terms of the sum, as (row, factor).
            measured: The measured value of the sum.
            noise: Variance of the measurement.

        Returns:
            The measured value minus the sum of the updated estimates.
        """
        covariance = self.covariance
        cross_covariances = [0.0] * len(self.mean)
        for term, factor in terms:
            cross_covariances = [
                total + factor * value
                for total, value in zip(
                    cross_covariances, covariance[term], strict=True
                )
            ]
        innovation = measured
        variance = noise
        for row, factor in terms:
            innovation -= self.mean[row] * factor
            variance += cross_covariances[row] * factor
        if (
            innovation * innovation
            > OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * variance
        ):
            variance += BURST_NOISE * BURST_NOISE
        minimum = MIN_EXPLAINED_SHARE * variance
        updated = []
        unchanged = []
        for row, cross in enumerate(cross_covariances):
            if cross * cross > minimum * covariance[row][row]:
                updated.append(row)
            else:
                unchanged.append(row)
        for row in updated:
            gain = cross_covariances[row] / variance
            self.mean[row] += gain * innovation
            covariance[row] = [
                value - gain * other
                for value, other in zip(
                    covariance[row], cross_covariances, strict=True
                )
            ]
        for row in unchanged:
            values = covariance[row]
            for column in updated:
                values[column] = covariance[column][row]
        residual = measured
        for row, factor in terms:
            residual -= self.mean[row] * factor
        return residual


def estimates_of(state, image: str) -> Estimates:
    """Returns the estimates for a serving image; adds them if it is new."""
    estimates = state.leader.estimates.get(image)
    if estimates is None:
        estimates = Estimates(state.now)
        state.leader.estimates[image] = estimates
    return estimates


def measured_load(task) -> float:
    """Returns the load that corresponds to a serving task's tail latency."""
    load = 1 - task.step.target_ms / TARGET_TO_IDLE_RATIO / task.measurement
    return max(MIN_LOAD, load)


def coefficient(state, serving: str, best_effort: str) -> tuple[float, float]:
    """Returns mean and standard deviation of the coefficient of two images."""
    estimates = state.leader.estimates.get(serving)
    row = None if estimates is None else estimates.rows.get(best_effort)
    if row is None:
        return PRIOR_MEAN, PRIOR_VARIANCE**0.5
    mean = min(MAX_COEFFICIENT, max(0.0, estimates.mean[row]))
    return mean, max(0.0, estimates.covariance[row][row]) ** 0.5


def peak_base_load(state, task, ahead_ms: int) -> float:
    """Returns the highest base load of a task within the next `ahead_ms`.

    It includes a burst, because a single task may be busier than the other
    tasks of its job for some seconds.
    """
    name = (task.key.job, task.key.step)
    estimates = state.leader.estimates.get(task.step.image)
    row = None if estimates is None else estimates.rows.get(name)
    if row is None:
        return MAX_BASE_LOAD
    level, slope = estimates.mean[row : row + 2]
    level += slope * (state.now - estimates.loads_at[name]) / 1000
    level = max(level, level + slope * ahead_ms / 1000)
    level = min(MAX_BASE_LOAD, max(0.0, level))
    if state.now - task.estimated_at < BURST_MS:
        level += task.excess_load
    return level


def update_from_latency(state, task, shares: list[CpuShare]) -> None:
    """Updates the estimates with the tail latency of one serving task.

    Args:
        state: The node's state.
        task: A working serving task that has reported a tail latency.
        shares: CPU shares of best-effort tasks on its worker in that window.
    """
    measured = measured_load(task)
    if state.now - task.estimated_at < WINDOW_MS:
        # The window of this tail latency overlaps the previous one.
        return
    estimates = estimates_of(state, task.step.image)
    if not estimates.acquire_update(state.now):
        return
    estimates.inflate_variances(state.now)
    name = (task.key.job, task.key.step)
    level = estimates.predict_base_load(name, state.now - WINDOW_MS // 2)
    if estimates.covariance[level][level] > REVERSION_VARIANCE:
        estimates.update(
            [(level, 1.0)], PRIOR_BASE_LOAD, REVERSION_NOISE_VARIANCE
        )
    rounding = ROUNDING_MS * (1 - measured) / task.measurement
    noise = LOAD_NOISE**2 + rounding**2
    factors = {level: 1.0}
    expected = estimates.mean[level]
    for image, share, transient in shares:
        if not share:
            continue
        row = estimates.coefficient_row(image)
        factors[row] = factors.get(row, 0.0) + share
        added_load = estimates.mean[row] * share
        expected += added_load
        noise += (COEFFICIENT_VARIATION * added_load) ** 2
        noise += (TRANSIENT_VARIATION * estimates.mean[row] * transient) ** 2
    if measured > SATURATED_LOAD and measured < expected:
        return
    task.estimated_at = state.now
    residual = estimates.update(list(factors.items()), measured, noise)
    task.excess_load = residual if residual >= MIN_BURST else 0.0


def remove_job(state, job) -> None:
    """Removes the base loads of a job that has ended."""
    for step_number, step in enumerate(job.spec.steps):
        estimates = state.leader.estimates.get(step.image)
        name = (job.spec.job, step_number)
        if estimates is not None and name in estimates.loads_at:
            estimates.remove_base_load(name)
