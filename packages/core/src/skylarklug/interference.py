"""Estimation and control of the interference of tasks with services.

Latency measurements arrive late. Each covers a window of time and is
attributed to the tasks that ran on the worker during that window. For each
pair of job class and service the module estimates the inflation of the
service's p99, which is p99 divided by the undisturbed p99, and shrinks the
estimate towards the mean of the class.
"""

import collections

from skylarklug import events
from skylarklug import tasks

# Time for which ended residencies are kept for measurements that arrive late.
RETENTION_MS = 60_000
# Weight of the class mean in an estimate, as a number of samples.
SHRINKAGE_SAMPLES = 8
# Variance of the noise of a measured inflation.
MEASUREMENT_VARIANCE = 0.2
# Bound of the sample count of a mean, so that it follows changes.
MAX_SAMPLES = 64
# Inflation above which tasks are throttled, moved or evicted, and below which a
# throttle is relaxed. The gap between them keeps the control from oscillating.
ACT_ABOVE_INFLATION = 1.3
RELEASE_BELOW_INFLATION = 1.1
# Inflation from which a task is stopped even if no other worker suits it.
EVICT_ABOVE_INFLATION = 2.6
# Cost of an eviction on the scale of inflation, before its weight.
EVICTION_COST = 0.5
# Weight of the latest window in the smoothed inflation of a worker.
SMOOTHING_FACTOR = 0.5
# Share of its processors that a task may use at each throttle level.
THROTTLE_SHARES = (1.0, 0.6, 0.3)
# Placement cost per expected excess inflation, and the additional cost per
# excess above ACT_ABOVE_INFLATION.
PENALTY_SLOPE = 4.0
PENALTY_BEYOND = 4.0
# Least reduction of expected excess inflation that justifies a move.
MIN_MOVE_GAIN = 0.1
# Expected excess inflation below which a class counts as harmless.
MIN_EXCESS = 0.02
# Weights of the policy's goals; the configuration can override each.
DEFAULT_WEIGHTS = {"latency": 0.5, "throughput": 0.3, "evictions": 0.2}


class RunningMean:
    """A running mean whose sample count is bounded by MAX_SAMPLES."""

    __slots__ = ("count", "value")

    def __init__(self, value):
        self.count = 0
        self.value = value

    def add(self, sample):
        """Adds one sample."""
        self.count = min(self.count + 1, MAX_SAMPLES)
        self.value += (sample - self.value) / self.count


class Residency:
    """The time of one task on a worker; `end` is None while it runs.

    `level` is its throttle level, an index of THROTTLE_SHARES.
    """

    __slots__ = ("task", "job_class", "start", "end", "level")

    def __init__(self, task, start):
        self.task = task
        self.job_class = task.job.job_class
        self.start = start
        self.end = None
        self.level = 0


class WorkerRecord:
    """Residencies and control state of one worker.

    `inflation` holds the smoothed inflation by service.
    """

    __slots__ = ("residencies", "inflation", "last_action_at")

    def __init__(self):
        self.residencies = collections.deque()
        self.inflation: dict[str, float] = {}
        self.last_action_at = 0


class InterferenceState:
    """Baselines of services, estimates by class and service, and workers.

    `cache` holds the excess inflation by class and services until the next
    measurement.
    """

    def __init__(self):
        self.baselines: dict[str, float] = {}
        self.pairs: dict[tuple[str, str], RunningMean] = {}
        self.classes: dict[str, RunningMean] = {}
        self.worker_records: dict[str, WorkerRecord] = {}
        self.cache: dict[tuple[str, tuple], float] = {}
        self.weights = DEFAULT_WEIGHTS


def new_state() -> InterferenceState:
    """Returns a state without measurements."""
    return InterferenceState()


def estimate(state, job_class, service) -> float:
    """Returns the expected inflation of the service's p99 by the class.

    The mean of the pair has weight n / (n + 8) for n samples, and the mean of
    the class has the rest. This is an empirical Bayes estimate in the
    James-Stein form.
    """
    domain = state.domains["interference"]
    prior = domain.classes.get(job_class)
    class_mean = prior.value if prior else 1.0
    pair = domain.pairs.get((job_class, service))
    if pair is None:
        return class_mean
    weight = pair.count / (pair.count + SHRINKAGE_SAMPLES)
    return weight * pair.value + (1 - weight) * class_mean


def penalty(state, job_class, account) -> float:
    """Returns the expected cost of adding a task of the class to a worker.

    The cost rises more steeply above ACT_ABOVE_INFLATION, so that tasks of
    interfering classes are spread over workers.
    """
    domain = state.domains["interference"]
    if not domain.classes or not enabled(state):
        return 0.0
    services = _services(state, account.worker)
    added = _class_excess(state, job_class, services)
    if added < MIN_EXCESS:
        return 0.0
    total = added + expected_excess(state, account, services)
    beyond = max(0.0, total - (ACT_ABOVE_INFLATION - 1))
    cost = PENALTY_SLOPE * total + PENALTY_BEYOND * beyond
    return domain.weights["latency"] * cost


def expected_excess(state, account, services) -> float:
    """Returns the expected excess inflation from all reservations."""
    return sum(
        count * _class_excess(state, job_class, services)
        for job_class, count in account.classes.items()
    )


def enabled(state) -> bool:
    """Returns whether the settings leave interference control enabled."""
    return state.settings.get("interference", True)


def _services(state, worker):
    from skylarklug import workers

    vm = workers.get(state, worker)
    return vm.services if vm is not None else ()


def _class_excess(state, job_class, services):
    cache = state.domains["interference"].cache
    cached = cache.get((job_class, services))
    if cached is None:
        cached = cache[job_class, services] = sum(
            max(0.0, estimate(state, job_class, service) - 1)
            for service in services
        )
    return cached


# ---------------------------------------------------------------- residency


def record_start(state, worker, task):
    """Records that the task runs on the worker from now on."""
    domain = state.domains["interference"]
    record = domain.worker_records.setdefault(worker, WorkerRecord())
    record.residencies.append(Residency(task, state.now))


def record_end(state, worker, task_id):
    """Records that the task no longer runs on the worker."""
    domain = state.domains["interference"]
    record = domain.worker_records.get(worker)
    if record is None:
        return
    for residency in reversed(record.residencies):
        if residency.task.id == task_id and residency.end is None:
            residency.end = state.now
            break
    _prune_residencies(record, state.now)


def _prune_residencies(record, now):
    kept = [
        s
        for s in record.residencies
        if s.end is None or s.end > now - RETENTION_MS
    ]
    record.residencies = collections.deque(kept)


def residents_between(state, worker, start, end) -> dict:
    """Returns by class the share of the window in which its tasks ran.

    The shares of tasks add up, each weighted by its throttle: two unthrottled
    tasks that ran for half of the window make 1.0.
    """
    record = state.domains["interference"].worker_records.get(worker)
    shares = {}
    if record is None:
        return shares
    length = max(1, end - start)
    for residency in record.residencies:
        until = end if residency.end is None else min(end, residency.end)
        overlap = until - max(start, residency.start)
        if overlap > 0:
            share = overlap / length * THROTTLE_SHARES[residency.level]
            shares[residency.job_class] = (
                shares.get(residency.job_class, 0.0) + share
            )
    return shares


# -------------------------------------------------------------- measurement


def record_usage(state, effects, worker, usage):
    """Updates the estimates from a measurement and controls the worker."""
    domain = state.domains["interference"]
    if not usage.latency_ms:
        return
    record = domain.worker_records.setdefault(worker, WorkerRecord())
    _prune_residencies(record, state.now)
    if usage.start < record.last_action_at:
        # The window mixes the states before and after the last action.
        return
    shares = residents_between(state, worker, usage.start, usage.end)
    for service, p99 in usage.latency_ms.items():
        if p99 <= 0:
            continue
        inflation = p99 / _baseline(domain, service, p99, not shares)
        _update_estimates(state, domain, service, shares, inflation)
        old = record.inflation.get(service, inflation)
        record.inflation[service] = old + SMOOTHING_FACTOR * (inflation - old)
    domain.cache.clear()
    if enabled(state):
        _control(state, effects, domain, worker, record)


def _baseline(domain, service, p99, undisturbed):
    """Updates and returns the estimate of the service's undisturbed p99.

    A window without tasks moves the estimate towards its p99. A window with
    tasks lowers the estimate if it was faster; otherwise it raises the
    estimate very slowly, which follows a service that has become slower.
    """
    old = domain.baselines.get(service)
    if old is None:
        new = p99
    elif undisturbed:
        new = old + 0.1 * (p99 - old)
    elif p99 < old:
        new = old + 0.05 * (p99 - old)
    else:
        new = old * 1.0002
    domain.baselines[service] = new
    return new


def _update_estimates(state, domain, service, shares, inflation):
    """Updates the estimates of the classes that ran in the window.

    The error of their sum is distributed by the Kalman gain for a diagonal
    covariance: a class with many samples is corrected little, a new one most.
    """
    pairs = {}
    for job_class in shares:
        pair = domain.pairs.get((job_class, service))
        if pair is None:
            initial = domain.classes.setdefault(
                job_class, RunningMean(1.0)
            ).value
            pair = domain.pairs[job_class, service] = RunningMean(initial)
        pairs[job_class] = pair
    error = inflation - 1
    variance = MEASUREMENT_VARIANCE
    for job_class, share in shares.items():
        pair = pairs[job_class]
        error -= (pair.value - 1) * share
        variance += share * share / (1 + pair.count)
    for job_class, share in shares.items():
        pair = pairs[job_class]
        gain = share / (1 + pair.count) / variance
        pair.value = max(1.0, pair.value + gain * error)
        pair.count = min(pair.count + share * share, MAX_SAMPLES)
        domain.classes[job_class].add(pair.value)


# ------------------------------------------------------------------ control


def _control(state, effects, domain, worker, record):
    if not record.inflation:
        return
    service, inflation = max(
        record.inflation.items(), key=lambda entry: (entry[1], entry[0])
    )
    if inflation > ACT_ABOVE_INFLATION:
        _mitigate(state, effects, domain, worker, record, service, inflation)
    elif inflation < RELEASE_BELOW_INFLATION:
        _relax_throttle(state, effects, worker, record, inflation)


def _running(record):
    return [
        residency
        for residency in record.residencies
        if residency.end is None
        and residency.task.state in (tasks.RUNNING, tasks.CHECKPOINTING)
        and residency.task.job.kind != "service"
    ]


def _mitigate(state, effects, domain, worker, record, service, inflation):
    """Throttles the task with the highest estimate, or stops it.

    A task is moved or evicted once it has reached the last throttle level.
    """
    choices = [
        (
            estimate(state, residency.job_class, service),
            -residency.task.job.priority,
            -residency.task.evictions,
            residency.task.id,
            residency,
        )
        for residency in _running(record)
    ]
    if not choices:
        return
    expected, _, _, _, residency = max(choices, key=lambda c: c[:4])
    if expected - 1 < MIN_EXCESS:
        return
    weights = domain.weights
    gain = weights["latency"] * (inflation - 1)
    level = residency.level + 1
    if level < len(THROTTLE_SHARES):
        lost_share = THROTTLE_SHARES[level - 1] - THROTTLE_SHARES[level]
        if gain > weights["throughput"] * lost_share:
            _throttle(
                state, effects, worker, record, residency, level, inflation
            )
        return
    if gain > weights["evictions"] * EVICTION_COST:
        _move_or_evict(
            state, effects, domain, worker, record, residency.task, inflation
        )


def _throttle(state, effects, worker, record, residency, level, inflation):
    from skylarklug import lease

    residency.level = level
    _discard_measurements(state, record)
    lease.throttle(state, effects, residency.task, THROTTLE_SHARES[level])
    tasks.log(
        effects, "throttle", task=residency.task.id, worker=worker,
        share=THROTTLE_SHARES[level], reason=f"p99 inflation {inflation:.2f}",
    )  # fmt: skip


def _discard_measurements(state, record):
    """Ignores measurements of windows that began before this action."""
    record.last_action_at = state.now
    record.inflation.clear()


def _move_or_evict(state, effects, domain, worker, record, task, inflation):
    """Stops the task with a checkpoint, within the eviction budgets.

    This is a move if another worker has capacity and expects less inflation,
    otherwise an eviction.
    """
    from skylarklug import index
    from skylarklug import lease

    evictions = state.domains["placement"].evictions
    if not evictions.allowed(task, state.now):
        return
    owned = state.domains["placement"].partitions[task.job.partition]
    target, _ = index.choose(state, owned.index, task)
    action = "evict"
    if target is not None and target.worker != worker:
        services = _services(state, target.worker)
        target_excess = expected_excess(state, target, services)
        target_excess += _class_excess(state, task.job.job_class, services)
        account = state.domains["placement"].accounts[worker]
        current_excess = expected_excess(
            state, account, _services(state, worker)
        )
        if target_excess + MIN_MOVE_GAIN < current_excess:
            action = "move"
    if action == "evict" and inflation < EVICT_ABOVE_INFLATION:
        return
    reason = f"{action}: p99 inflation {inflation:.2f}"
    if lease.stop(state, effects, task, reason):
        evictions.record(task, state.now)
        _discard_measurements(state, record)
        tasks.log(effects, action, task=task.id, worker=worker, reason=reason)


def _relax_throttle(state, effects, worker, record, inflation):
    """Relaxes the most throttled task by one level."""
    throttled = [residency for residency in _running(record) if residency.level]
    if throttled:
        residency = max(
            throttled,
            key=lambda residency: (residency.level, residency.task.id),
        )
        level = residency.level - 1
        _throttle(state, effects, worker, record, residency, level, inflation)


# ---------------------------------------------------------------- handlers


def _apply_weights(state, document):
    weights = document.get("weights")
    if weights:
        domain = state.domains["interference"]
        domain.weights = {**DEFAULT_WEIGHTS, **weights}


def _on_config(state, event, effects):
    _apply_weights(state, event.document)


def _on_acquired(state, event, effects):
    from skylarklug import configuration

    _apply_weights(state, configuration.current(state) or {})


def _on_lost(state, event, effects):
    from skylarklug import placement

    records = state.domains["interference"].worker_records
    for worker in placement.workers_of(state, event.partition):
        records.pop(worker, None)


def _on_workers_changed(state, event, effects):
    for worker in event.removed:
        state.domains["interference"].worker_records.pop(worker, None)


HANDLERS = {
    events.ConfigApplied: _on_config,
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.WorkersChanged: _on_workers_changed,
}
