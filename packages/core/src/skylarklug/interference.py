"""Interference of tasks with services, learned from late measurements.

A measurement covers a window and is attributed to the tasks that ran on the
worker during that window. For each pair of job class and service there is a
running mean of the inflation of the service's p99, shrunk to the mean of the
class.
"""

import collections

from skylarklug import events
from skylarklug import tasks

KEEP_MS = 60_000
SHRINKAGE = 8
NOISE = 0.2
MEMORY = 64
ACT_ABOVE = 1.3
RELEASE_BELOW = 1.1
EVICT_ABOVE = 2.6
EVICTION_COST = 0.5
SMOOTHING = 0.5
SHARES = (1.0, 0.6, 0.3)
PENALTY_SLOPE = 4.0
PENALTY_BEYOND = 4.0
MOVE_GAIN = 0.1
MIN_EXCESS = 0.02
DEFAULT_WEIGHTS = {"latency": 0.5, "throughput": 0.3, "evictions": 0.2}


class RunningMean:
    """A running mean with a bounded memory."""

    __slots__ = ("count", "value")

    def __init__(self, value):
        self.count = 0
        self.value = value

    def add(self, sample):
        """Takes one sample."""
        self.count = min(self.count + 1, MEMORY)
        self.value += (sample - self.value) / self.count


class Residency:
    """One task's time on a worker; `end` is None while it runs."""

    __slots__ = ("task", "klass", "start", "end", "level")

    def __init__(self, task, start):
        self.task = task
        self.klass = task.job.klass
        self.start = start
        self.end = None
        self.level = 0


class WorkerRecord:
    """Residency log and control state of one worker."""

    __slots__ = ("residencies", "inflation", "acted_at")

    def __init__(self):
        self.residencies = collections.deque()
        self.inflation: dict[str, float] = {}
        self.acted_at = 0


class InterferenceState:
    """Baselines of services, pair estimates, and the workers."""

    def __init__(self):
        self.baselines: dict[str, float] = {}
        self.pairs: dict[tuple[str, str], RunningMean] = {}
        self.classes: dict[str, RunningMean] = {}
        self.worker_records: dict[str, WorkerRecord] = {}
        self.cache: dict[tuple[str, tuple], float] = {}
        self.weights = DEFAULT_WEIGHTS


def new_state() -> InterferenceState:
    """Returns the state without measurements."""
    return InterferenceState()


def estimate(state, klass, service) -> float:
    """Returns the expected inflation of the service's p99 by the class.

    The mean of the pair is shrunk to the mean of the class with weight
    n / (n + 8), the James-Stein form of an empirical Bayes estimate.
    """
    mine = state.domains["interference"]
    prior = mine.classes.get(klass)
    base = prior.value if prior else 1.0
    pair = mine.pairs.get((klass, service))
    if pair is None:
        return base
    weight = pair.count / (pair.count + SHRINKAGE)
    return weight * pair.value + (1 - weight) * base


def penalty(state, klass, account) -> float:
    """Returns the expected cost of adding a task of the class.

    The cost rises steeply where the sum of the expected inflations passes
    the threshold of action, so that noisy classes spread.
    """
    mine = state.domains["interference"]
    if not mine.classes or not enabled(state):
        return 0.0
    services = _services(state, account.worker)
    added = _class_excess(state, klass, services)
    if added < MIN_EXCESS:
        return 0.0
    total = added + expected(state, account, services)
    beyond = max(0.0, total - (ACT_ABOVE - 1))
    cost = PENALTY_SLOPE * total + PENALTY_BEYOND * beyond
    return mine.weights["latency"] * cost


def expected(state, account, services) -> float:
    """Sums the expected excess inflation by all reservations."""
    return sum(
        count * _class_excess(state, klass, services)
        for klass, count in account.classes.items()
    )


def enabled(state) -> bool:
    """Says whether the settings leave interference control on."""
    return state.settings.get("interference", True)


def _services(state, worker):
    from skylarklug import workers

    vm = workers.get(state, worker)
    return vm.services if vm is not None else ()


def _class_excess(state, klass, services):
    cache = state.domains["interference"].cache
    found = cache.get((klass, services))
    if found is None:
        found = cache[klass, services] = sum(
            max(0.0, estimate(state, klass, service) - 1)
            for service in services
        )
    return found


# ---------------------------------------------------------------- residency


def record_start(state, worker, task):
    """Notes that the task runs on the worker from now on."""
    mine = state.domains["interference"]
    site = mine.worker_records.setdefault(worker, WorkerRecord())
    site.residencies.append(Residency(task, state.now))


def record_end(state, worker, task_id):
    """Notes that the task no longer runs on the worker."""
    mine = state.domains["interference"]
    site = mine.worker_records.get(worker)
    if site is None:
        return
    for stay in reversed(site.residencies):
        if stay.task.id == task_id and stay.end is None:
            stay.end = state.now
            break
    _forget(site, state.now)


def _forget(site, now):
    kept = [
        s for s in site.residencies if s.end is None or s.end > now - KEEP_MS
    ]
    site.residencies = collections.deque(kept)


def residents_between(state, worker, start, end) -> dict:
    """Returns each class's share of the window that its tasks ran.

    The share is summed over tasks, and counts a throttled task in part: two
    tasks for half of the window make 1.0.
    """
    site = state.domains["interference"].worker_records.get(worker)
    shares = {}
    if site is None:
        return shares
    length = max(1, end - start)
    for stay in site.residencies:
        until = end if stay.end is None else min(end, stay.end)
        overlap = until - max(start, stay.start)
        if overlap > 0:
            share = overlap / length * SHARES[stay.level]
            shares[stay.klass] = shares.get(stay.klass, 0.0) + share
    return shares


# -------------------------------------------------------------- measurement


def record_usage(state, effects, worker, usage):
    """Takes a measurement of a past window and acts on it."""
    mine = state.domains["interference"]
    if not usage.latency_ms:
        return
    site = mine.worker_records.setdefault(worker, WorkerRecord())
    _forget(site, state.now)
    if usage.start < site.acted_at:
        # The window began before the last action and mixes two states.
        return
    shares = residents_between(state, worker, usage.start, usage.end)
    for service, p99 in usage.latency_ms.items():
        if p99 <= 0:
            continue
        inflation = p99 / _baseline(mine, service, p99, not shares)
        _learn(state, mine, service, shares, inflation)
        old = site.inflation.get(service, inflation)
        site.inflation[service] = old + SMOOTHING * (inflation - old)
    mine.cache.clear()
    if enabled(state):
        _control(state, effects, mine, worker, site)


def _baseline(mine, service, p99, alone):
    """Follows the p99 of the service where no task disturbs it.

    Windows with tasks lower the estimate at once when they are faster, and
    raise it very slowly, so that a changed service is followed in the end.
    """
    old = mine.baselines.get(service)
    if old is None:
        new = p99
    elif alone:
        new = old + 0.1 * (p99 - old)
    elif p99 < old:
        new = old + 0.05 * (p99 - old)
    else:
        new = old * 1.0002
    mine.baselines[service] = new
    return new


def _learn(state, mine, service, shares, inflation):
    """Corrects the estimates of the classes that ran in the window.

    The error of their sum is divided by a Kalman gain with a diagonal
    covariance: a class seen often takes little of it, a new one most.
    """
    pairs = {}
    for klass in shares:
        pair = mine.pairs.get((klass, service))
        if pair is None:
            first = mine.classes.setdefault(klass, RunningMean(1.0)).value
            pair = mine.pairs[klass, service] = RunningMean(first)
        pairs[klass] = pair
    error = inflation - 1
    spread = NOISE
    for klass, share in shares.items():
        pair = pairs[klass]
        error -= (pair.value - 1) * share
        spread += share * share / (1 + pair.count)
    for klass, share in shares.items():
        pair = pairs[klass]
        gain = share / (1 + pair.count) / spread
        pair.value = max(1.0, pair.value + gain * error)
        pair.count = min(pair.count + share * share, MEMORY)
        mine.classes[klass].add(pair.value)


# ------------------------------------------------------------------ control


def _control(state, effects, mine, worker, site):
    if not site.inflation:
        return
    service, inflation = max(
        site.inflation.items(), key=lambda entry: (entry[1], entry[0])
    )
    if inflation > ACT_ABOVE:
        _act(state, effects, mine, worker, site, service, inflation)
    elif inflation < RELEASE_BELOW:
        _release(state, effects, worker, site, inflation)


def _running(site):
    return [
        stay
        for stay in site.residencies
        if stay.end is None
        and stay.task.state in (tasks.RUNNING, tasks.CHECKPOINTING)
        and stay.task.job.kind != "service"
    ]


def _act(state, effects, mine, worker, site, service, inflation):
    """Throttles the likeliest cause; moves or evicts it when that fails."""
    choices = [
        (
            estimate(state, stay.klass, service),
            -stay.task.job.priority,
            -stay.task.evictions,
            stay.task.id,
            stay,
        )
        for stay in _running(site)
    ]
    if not choices:
        return
    expected, _, _, _, stay = max(choices, key=lambda c: c[:4])
    if expected - 1 < MIN_EXCESS:
        return
    weights = mine.weights
    gain = weights["latency"] * (inflation - 1)
    level = stay.level + 1
    if level < len(SHARES):
        lost = SHARES[level - 1] - SHARES[level]
        if gain > weights["throughput"] * lost:
            _throttle(state, effects, worker, site, stay, level, inflation)
        return
    if gain > weights["evictions"] * EVICTION_COST:
        _remove(state, effects, mine, worker, site, stay.task, inflation)


def _throttle(state, effects, worker, site, stay, level, inflation):
    from skylarklug import lease

    stay.level = level
    _acted(state, site)
    lease.throttle(state, effects, stay.task, SHARES[level])
    tasks.log(
        effects, "throttle", task=stay.task.id, worker=worker,
        share=SHARES[level], reason=f"p99 inflation {inflation:.2f}",
    )  # fmt: skip


def _acted(state, site):
    """Uses only windows that begin after this action from now on."""
    site.acted_at = state.now
    site.inflation.clear()


def _remove(state, effects, mine, worker, site, task, inflation):
    """Stops the task with a checkpoint, within the eviction budgets.

    It counts as a move when another worker has room and expects less
    inflation, else as an eviction.
    """
    from skylarklug import index
    from skylarklug import lease

    evictions = state.domains["placement"].evictions
    if not evictions.allowed(task, state.now):
        return
    part = state.domains["placement"].parts[task.job.partition]
    target, _ = index.choose(state, part.index, task)
    how = "evict"
    if target is not None and target.worker != worker:
        services = _services(state, target.worker)
        there = expected(state, target, services)
        there += _class_excess(state, task.job.klass, services)
        account = state.domains["placement"].accounts[worker]
        here = expected(state, account, _services(state, worker))
        if there + MOVE_GAIN < here:
            how = "move"
    if how == "evict" and inflation < EVICT_ABOVE:
        return
    reason = f"{how}: p99 inflation {inflation:.2f}"
    if lease.stop(state, effects, task, reason):
        evictions.record(task, state.now)
        _acted(state, site)
        tasks.log(effects, how, task=task.id, worker=worker, reason=reason)


def _release(state, effects, worker, site, inflation):
    """Takes one step of throttling back, the most throttled task first."""
    slow = [stay for stay in _running(site) if stay.level]
    if slow:
        stay = max(slow, key=lambda stay: (stay.level, stay.task.id))
        level = stay.level - 1
        _throttle(state, effects, worker, site, stay, level, inflation)


# ---------------------------------------------------------------- handlers


def _take_weights(state, document):
    given = document.get("weights")
    if given:
        mine = state.domains["interference"]
        mine.weights = {**DEFAULT_WEIGHTS, **given}


def _on_config(state, event, effects):
    _take_weights(state, event.document)


def _on_acquired(state, event, effects):
    from skylarklug import configuration

    _take_weights(state, configuration.current(state) or {})


def _on_lost(state, event, effects):
    from skylarklug import placement

    sites = state.domains["interference"].worker_records
    for worker in placement.workers_of(state, event.partition):
        sites.pop(worker, None)


def _on_changed(state, event, effects):
    for worker in event.removed:
        state.domains["interference"].worker_records.pop(worker, None)


HANDLERS = {
    events.ConfigApplied: _on_config,
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.WorkersChanged: _on_changed,
}
