"""How much filling tasks raise the load of the serving tasks beside them.

A serving task behaves like a queue: its tail is `idle / (1 - load)`, where
`idle` is the tail without load. The load that a tail stands for is the job's
own load, which all its tasks share, and a rise for each filling task on the
worker: a coefficient of the two images times the share of the worker's
processor that the filling task uses.

For each serving image, a Kalman filter estimates the own loads of its jobs
(level and slope) and the coefficients of all images that fill, together.
"""

from typing import NamedTuple

# Load is counted on a scale on which a tail at its target stands for this
# load. A linear model holds on any such scale, so that the tail without load
# need not be known.
TARGET_OVER_IDLE = 6.0
LOAD_LIMIT = 1 - 1 / TARGET_OVER_IDLE
# Services are sized so that their own load stays below their target's.
MAX_OWN_LOAD = 0.73
# Coefficients that are possible, and the belief before the first tail: about
# half of the pairs are near zero, the others between one and four.
MAX_COEFFICIENT = 6.0
PRIOR_MEAN = 1.2
PRIOR_VARIANCE = 1.7
# Growth of a coefficient's variance in a second, so that old evidence fades.
COEFFICIENT_DRIFT = 0.001
# What is assumed of a job's load before the first tail.
FIRST_LOAD = 0.5
FIRST_VARIANCE = 0.04
FIRST_SLOPE_VARIANCE = 0.01
# While a job's load is known worse than this, the first belief counts again,
# as a measurement with this variance: about once in a few seconds.
UNSURE_VARIANCE = 0.0036
REVERSION_NOISE = 0.6
# Change of a load's slope in a second. A load that swings by half within ten
# seconds changes it by 0.1.
SLOPE_DRIFT = 0.08
# A correction costs about 0.1 ms of processor time. This keeps those of one
# image under 1 % of a core, however many tasks serve.
MAX_UPDATES_PER_S = 100
# Tails and processor in use are averages over this time.
WINDOW_MS = 500
# Noise of a load read from a tail, and the half width of a tail's rounding.
LOAD_NOISE = 0.035
ROUNDING_MS = 0.3
# A surprise of more than this many standard deviations is a burst of one
# task rather than a change of its job's load; bursts are about this high.
OUTLIER = 3.0
BURST_NOISE = 0.2
# What a filling task does to others changes by this share within seconds.
VARIATION = 0.45
# A load below this comes from a tail that is rounded towards zero.
LOWEST_LOAD = -2.0
# A higher load than this is only known to be high.
SATURATED_LOAD = 0.95
# How long a single task stays busier than the others of its job, and the
# least surprise that counts as such a burst.
BURST_MS = 2_000
MIN_BURST = 0.04
# Share of a filling task's rise that is uncertain while it comes or goes.
TRANSIENT_NOISE = 0.6


class Share(NamedTuple):
    """What one image that fills used of a worker in a tail's window.

    `transient` is the part that was not there during the whole window.
    """

    image: str
    share: float
    transient: float


class Estimates:
    """Means and covariances for one serving image.

    Attributes:
        rows: Row of each estimate, by image that fills, or by (job, step)
            for the level of an own load; its slope is in the next row.
        mean: Estimates by row.
        covariance: Covariances by row and column.
        loads_at: Time of the own loads in ms, by (job, step).
        aged_at: Until when the coefficients' variances have grown.
        updates: Corrections since `counted_from`.
        counted_from: Start of the second in which they are counted, in ms.
    """

    def __init__(self, now: int):
        self.rows: dict = {}
        self.mean: list[float] = []
        self.covariance: list[list[float]] = []
        self.loads_at: dict[tuple[str, int], int] = {}
        self.aged_at = now
        self.updates = 0
        self.counted_from = now

    def may_update(self, now: int) -> bool:
        """Counts a correction; returns whether this second allows it."""
        if now - self.counted_from >= 1_000:
            self.updates = 0
            self.counted_from = now
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

    def remove_load(self, name):
        """Drops the own load of a job that has ended."""
        first = self.rows.pop(name)
        del self.loads_at[name]
        for lines in (self.mean, self.covariance, *self.covariance):
            del lines[first : first + 2]
        for other, row in self.rows.items():
            if row > first:
                self.rows[other] = row - 2

    def coefficient_row(self, image: str) -> int:
        """Returns the row of an image that fills; adds it if it is new."""
        if image not in self.rows:
            self.add(image, [PRIOR_MEAN], [PRIOR_VARIANCE])
        return self.rows[image]

    def move_load(self, name, at: int) -> int:
        """Carries an own load forward to `at` and returns its row."""
        if name not in self.rows:
            variances = [FIRST_VARIANCE, FIRST_SLOPE_VARIANCE]
            self.add(name, [FIRST_LOAD, 0.0], variances)
            self.loads_at[name] = at
        level = self.rows[name]
        passed = (at - self.loads_at[name]) / 1000
        if passed <= 0:
            return level
        self.loads_at[name] = at
        slope = level + 1
        covariance = self.covariance
        self.mean[level] += passed * self.mean[slope]
        for row in covariance:
            row[level] += passed * row[slope]
        slopes = covariance[slope]
        covariance[level] = [
            value + passed * other
            for value, other in zip(covariance[level], slopes, strict=True)
        ]
        drift = SLOPE_DRIFT * SLOPE_DRIFT * passed
        covariance[level][level] += drift * passed * passed / 3
        covariance[level][slope] += drift * passed / 2
        covariance[slope][level] += drift * passed / 2
        covariance[slope][slope] += drift
        return level

    def age(self, now: int):
        """Lets the variances of coefficients grow with time."""
        growth = COEFFICIENT_DRIFT * (now - self.aged_at) / 1000
        self.aged_at = now
        for name, row in self.rows.items():
            if name not in self.loads_at:
                variance = self.covariance[row][row] + growth
                self.covariance[row][row] = min(PRIOR_VARIANCE, variance)

    def update(self, parts, measured: float, noise: float) -> float:
        """Corrects all estimates by one measurement.

        Args:
            parts: The measured sum, as (row, factor).
            measured: Its measured value.
            noise: Variance of the measurement.

        Returns:
            How much higher it is than the corrected estimates tell.
        """
        gains = [
            sum([row[column] * factor for column, factor in parts])
            for row in self.covariance
        ]
        surprise = measured
        variance = noise
        for row, factor in parts:
            surprise -= self.mean[row] * factor
            variance += gains[row] * factor
        if surprise * surprise > OUTLIER * OUTLIER * variance:
            variance += BURST_NOISE * BURST_NOISE
        for row, gain in enumerate(gains):
            weight = gain / variance
            self.mean[row] += weight * surprise
            self.covariance[row] = [
                value - weight * other
                for value, other in zip(
                    self.covariance[row], gains, strict=True
                )
            ]
        left = measured
        for row, factor in parts:
            left -= self.mean[row] * factor
        return left


def estimates_of(state, image: str) -> Estimates:
    """Returns the estimates for a serving image."""
    found = state.leader.estimates.get(image)
    if found is None:
        found = Estimates(state.now)
        state.leader.estimates[image] = found
    return found


def measured_load(task) -> float:
    """Returns the load that a serving task's tail stands for."""
    load = 1 - task.step.target_ms / TARGET_OVER_IDLE / task.measurement
    return max(LOWEST_LOAD, load)


def coefficient(state, serving: str, filling: str) -> tuple[float, float]:
    """Returns mean and standard deviation of a pair's coefficient."""
    found = state.leader.estimates.get(serving)
    row = None if found is None else found.rows.get(filling)
    if row is None:
        return PRIOR_MEAN, PRIOR_VARIANCE**0.5
    mean = min(MAX_COEFFICIENT, max(0.0, found.mean[row]))
    return mean, max(0.0, found.covariance[row][row]) ** 0.5


def own_load(state, task, ahead_ms: int) -> float:
    """Returns the highest own load of a task from now until `ahead_ms`.

    A single task may be busier than the others for some seconds.
    """
    name = (task.key.job, task.key.step)
    found = state.leader.estimates.get(task.step.image)
    row = None if found is None else found.rows.get(name)
    if row is None:
        return MAX_OWN_LOAD
    level, slope = found.mean[row : row + 2]
    level += slope * (state.now - found.loads_at[name]) / 1000
    level = max(level, level + slope * ahead_ms / 1000)
    level = min(MAX_OWN_LOAD, max(0.0, level))
    if state.now - task.estimated_at < BURST_MS:
        level += task.excess_load
    return level


def learn(state, task, shares: list[Share]) -> None:
    """Corrects the estimates by the tail of one serving task.

    Args:
        state: The node's state.
        task: A serving task at work with a tail.
        shares: What filled beside it during the tail's window.
    """
    measured = measured_load(task)
    if state.now - task.estimated_at < WINDOW_MS:
        # The window of this tail overlaps that of the one before.
        return
    found = estimates_of(state, task.step.image)
    if not found.may_update(state.now):
        return
    found.age(state.now)
    name = (task.key.job, task.key.step)
    level = found.move_load(name, state.now - WINDOW_MS // 2)
    if found.covariance[level][level] > UNSURE_VARIANCE:
        found.update([(level, 1.0)], FIRST_LOAD, REVERSION_NOISE)
    rounding = ROUNDING_MS * (1 - measured) / task.measurement
    noise = LOAD_NOISE**2 + rounding**2
    factors = {level: 1.0}
    expected = found.mean[level]
    for image, share, transient in shares:
        if not share:
            continue
        row = found.coefficient_row(image)
        factors[row] = factors.get(row, 0.0) + share
        rise = found.mean[row] * share
        expected += rise
        noise += (VARIATION * rise) ** 2
        noise += (TRANSIENT_NOISE * found.mean[row] * transient) ** 2
    if measured > SATURATED_LOAD and measured < expected:
        return
    task.estimated_at = state.now
    left = found.update(list(factors.items()), measured, noise)
    task.excess_load = left if left >= MIN_BURST else 0.0


def forget(state, job) -> None:
    """Drops the own loads of a job that has ended."""
    for step_number, step in enumerate(job.spec.steps):
        found = state.leader.estimates.get(step.image)
        name = (job.spec.job, step_number)
        if found is not None and name in found.loads_at:
            found.remove_load(name)
