"""Outlier detection: latency estimates, ejection and readmission of workers.

A latency estimate is an exponentially decaying mean of the logarithm of the
latency. Service times are skewed, and the logarithm keeps one long request
from dominating the estimate of a worker.
"""

import heapq
import math

from skylarklug import effects as fx
from skylarklug import events

# Age at which a sample has half of its weight.
SAMPLE_HALF_LIFE_MS = 2_000
# Weight, in samples, of the prior that a worker is as fast as its service.
# With this many samples the worker's own mean counts for half.
PRIOR_WEIGHT = 4.0
# Weight, in samples, of a new usage report of the worker.
REPORT_WEIGHT = 8.0
# Consecutive failures, or stalled attempts, after which a worker is ejected.
FAILURES_TO_EJECT = 5
# A worker is ejected as slow above this ratio to the latency of the service.
SLOW_RATIO = 4.0
# Weight of samples that a worker needs before it can be ejected as slow.
SLOW_MIN_WEIGHT = 8.0
# Requests may be hedged on a busy service if the latency ratio of their worker
# is above this.
SUSPECT_RATIO = 1.5
# Weight, in samples, of the answers that an ejected worker must send, one at
# a time, before it is readmitted.
PROBE_MIN_WEIGHT = 2.5
# Duration of the first ejection; it doubles with each further one.
EJECTION_MS = 1_000
# Longest duration of an ejection.
EJECTION_MAX_MS = 30_000
# Duration of the first ejection of a worker that cannot be connected to.
UNREACHABLE_EJECTION_MS = 500
# Largest fraction of the workers of a service that may be ejected while they
# can be connected to.
MAX_EJECTED_FRACTION = 0.3
# Duration of the ramp-up of a new worker.
NEW_WORKER_RAMP_MS = 10_000
# Duration of the ramp-up of a readmitted worker.
READMITTED_RAMP_MS = 2_000
# A worker that refused a request gets no other one for this long; it is full
# or leaving.
REFUSAL_BACKOFF_MS = 100
# A worker whose last ejection began longer ago than this starts again with
# the duration of a first ejection.
EJECTION_RESET_MS = 60_000

# Smallest step of the estimate of the 95th percentile, in log milliseconds.
_QUANTILE_STEP = 0.05
# Latency that is assumed for a service without samples.
_DEFAULT_LATENCY_MS = 100.0


class WorkerHealth:
    """Health of one worker, as observed by this node.

    Times are monotonic milliseconds, and 0 when not set.

    Attributes:
        service: The worker's first service, which it is compared with.
        weight: Decayed number of latency samples.
        mean_deviation: Decayed mean of the deviation of its log latency from
            that of the service that answered.
        updated_at: Time of the latest sample.
        failures: Consecutive failures.
        stalls: Stalled attempts since the last answer.
        mode: "ok", "out" (ejected until `ejected_until`) or "probe" (one
            request at a time).
        unreachable: Whether it was ejected because it could not be connected
            to; it then does not count towards the cap on ejections.
        ejections: Ejections that lengthen the next one.
        ejected_at: Time of the last ejection.
        ramp_started_at: Start of the ramp-up, or -1 when there is none.
        ramp_ms: Duration of the ramp-up.
        backoff_until: No requests before this time, after a refusal.
        reported_p99_log: Log of the 99th percentile of the latency of
            `service` that the worker reported, or 0.
        reported_at: Time of that report.
    """

    __slots__ = (
        "service",
        "weight",
        "mean_deviation",
        "updated_at",
        "failures",
        "stalls",
        "mode",
        "ejected_until",
        "unreachable",
        "ejections",
        "ejected_at",
        "ramp_started_at",
        "ramp_ms",
        "backoff_until",
        "reported_p99_log",
        "reported_at",
    )

    def __init__(self, service):
        self.service = service
        self.weight = 0.0
        self.mean_deviation = 0.0
        self.updated_at = 0
        self.failures = 0
        self.stalls = 0
        self.mode = "ok"
        self.ejected_until = 0
        self.unreachable = False
        self.ejections = 0
        self.ejected_at = 0
        self.ramp_started_at = -1
        self.ramp_ms = NEW_WORKER_RAMP_MS
        self.backoff_until = 0
        self.reported_p99_log = 0.0
        self.reported_at = 0


class ServiceStats:
    """Latency of one service over all of its workers.

    Attributes:
        weight: Decayed number of samples.
        mean_log: Decayed mean of the log latency.
        mean_ms: Decayed mean of the latency.
        updated_at: Time of the latest sample.
        p95_log: Estimate of the 95th percentile of the log latency.
        count: Number of samples.
        ejected: Ejected workers that count towards the cap on ejections.
        workers: Number of listed workers.
    """

    __slots__ = (
        "weight",
        "mean_log",
        "mean_ms",
        "updated_at",
        "p95_log",
        "count",
        "ejected",
        "workers",
    )

    def __init__(self):
        self.workers = 0
        self.weight = 0.0
        self.mean_log = math.log(_DEFAULT_LATENCY_MS)
        self.mean_ms = _DEFAULT_LATENCY_MS
        self.updated_at = 0
        self.p95_log = math.log(_DEFAULT_LATENCY_MS * 3)
        self.count = 0
        self.ejected: set[str] = set()


class HealthState:
    """Health of workers and latency of services.

    Attributes:
        workers: Health by worker.
        services: Latency by service.
        timers: Heap of (time, worker) of the ends of ejections and backoffs.
        changed_workers: Workers whose mode has changed, or whose backoff began
            or ended.
        has_first_list: Whether the first list of workers has been read.
    """

    def __init__(self):
        self.workers: dict[str, WorkerHealth] = {}
        self.services: dict[str, ServiceStats] = {}
        self.timers: list[tuple[int, str]] = []
        self.changed_workers: list[str] = []
        self.has_first_list = False


def new_state() -> HealthState:
    """Returns the initial state, without workers."""
    return HealthState()


def _domain(state) -> HealthState:
    return state.domains["health"]


def get(state, worker: str) -> WorkerHealth:
    """Returns the health of a listed worker of this data centre."""
    return _domain(state).workers[worker]


def by_worker(state) -> dict[str, WorkerHealth]:
    """Returns the health by worker; callers must not modify it."""
    return _domain(state).workers


def service_stats(state, service: str) -> ServiceStats:
    """Returns the statistics of a service; creates them if needed."""
    stats = _domain(state).services.get(service)
    if stats is None:
        stats = _domain(state).services[service] = ServiceStats()
    return stats


def mean_latency(state, service: str) -> float:
    """Returns the mean latency of a service in milliseconds."""
    return service_stats(state, service).mean_ms


def typical_latency(state, service: str) -> float:
    """Returns the geometric mean latency of a service in milliseconds."""
    return math.exp(service_stats(state, service).mean_log)


def p95_latency(state, service: str) -> float:
    """Returns the estimated 95th percentile in milliseconds."""
    return math.exp(service_stats(state, service).p95_log)


def pop_changed(state) -> list[str]:
    """Returns and clears the workers that may have become usable or not."""
    changed = _domain(state).changed_workers
    _domain(state).changed_workers = []
    return changed


def latency_ratio(state, worker: str) -> float:
    """Returns the ratio of a worker's latency to that of its service.

    Old samples lose weight, so the ratio of a worker without traffic returns
    to 1.
    """
    return latency_ratio_of(state, _domain(state).workers[worker])


def latency_ratio_of(state, health: WorkerHealth) -> float:
    """Returns the latency ratio of the worker with this health."""
    weight = health.weight * decay(state.now - health.updated_at)
    total = weight * health.mean_deviation
    if health.reported_p99_log:
        stats = service_stats(state, health.service)
        report_weight = REPORT_WEIGHT * decay(state.now - health.reported_at)
        total += report_weight * (health.reported_p99_log - stats.p95_log)
        weight += report_weight
    return math.exp(total / (weight + PRIOR_WEIGHT))


def ramp_fraction(state, health: WorkerHealth) -> float:
    """Returns the fraction of its slots that a worker may use.

    Ends the ramp-up when its duration has passed.
    """
    if health.ramp_started_at < 0:
        return 1.0
    elapsed_ms = state.now - health.ramp_started_at
    if elapsed_ms >= health.ramp_ms:
        health.ramp_started_at = -1
        return 1.0
    return elapsed_ms / health.ramp_ms


def record_answer(
    state,
    effects,
    worker: str,
    service: str,
    latency_ms: float,
    server_error: bool,
):
    """Records the headers of an answer, and its latency for the service.

    An answer with `server_error` is a sample too, but counts as a failure.
    """
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.stalls = 0
    _add_sample(state, health, service, latency_ms)
    if server_error:
        _count_failure(state, effects, worker, health, "server-errors")
        return
    health.failures = 0
    if health.mode != "probe":
        _eject_if_slow(state, effects, worker, health)
        return
    if not health.unreachable and health.weight < PROBE_MIN_WEIGHT:
        return
    if not health.unreachable and health.mean_deviation > math.log(SLOW_RATIO):
        _eject(state, effects, worker, health, "probe-slow", False)
        return
    health.mode = "ok"
    health.unreachable = False
    health.ramp_started_at = state.now
    health.ramp_ms = READMITTED_RAMP_MS
    service_stats(state, health.service).ejected.discard(worker)
    _domain(state).changed_workers.append(worker)
    fields = {"worker": worker, "reason": "probe-answered"}
    effects.append(fx.Log("info", "worker-readmit", fields))


def record_failure(state, effects, worker: str, step: str, sent: bool):
    """Records an attempt that ended without an answer."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    if not sent and step == "connect":
        _eject(state, effects, worker, health, "unreachable", True)
        return
    _count_failure(state, effects, worker, health, step)


def record_refusal(state, effects, worker: str):
    """Records a refusal of a request: the worker is full or leaving."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.backoff_until = state.now + REFUSAL_BACKOFF_MS
    heapq.heappush(_domain(state).timers, (health.backoff_until, worker))
    _domain(state).changed_workers.append(worker)
    _count_failure(state, effects, worker, health, "refusals")


def is_suspect(state, worker: str) -> bool:
    """Returns whether a worker shows signs of being slow or dead."""
    health = _domain(state).workers.get(worker)
    if health is None or health.mode != "ok" or health.stalls > 1:
        return True
    return latency_ratio_of(state, health) > SUSPECT_RATIO


def record_stall(state, effects, worker: str):
    """Records an attempt that takes longer than the 95th percentile."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.stalls += 1
    if health.stalls >= FAILURES_TO_EJECT:
        _eject(state, effects, worker, health, "no-answers", False)


def record_lower_bound(state, worker: str, service: str, elapsed_ms: float):
    """Records the age of a cancelled attempt, a lower bound of its latency."""
    health = _domain(state).workers.get(worker)
    if health is not None:
        _add_deviation(state, health, service_stats(state, service), elapsed_ms)


def decay(age_ms: int) -> float:
    """Returns the weight, at most 1, of a sample of this age."""
    return 2.0 ** (-age_ms / SAMPLE_HALF_LIFE_MS) if age_ms > 0 else 1.0


def _add_sample(state, health, service, latency_ms):
    value = math.log(max(1.0, latency_ms))
    stats = service_stats(state, service)
    stats.weight *= decay(state.now - stats.updated_at)
    stats.updated_at = state.now
    stats.weight += 1.0
    stats.mean_log += (value - stats.mean_log) / stats.weight
    stats.mean_ms += (latency_ms - stats.mean_ms) / stats.weight
    stats.count += 1
    step = max(_QUANTILE_STEP, 1.0 / stats.count)
    stats.p95_log += step * (0.95 if value > stats.p95_log else -0.05)
    _add_deviation(state, health, stats, latency_ms)


def _add_deviation(state, health, stats, latency_ms):
    # A worker may serve several services of different speed, so the sample is
    # its deviation from the mean of the service that answered.
    value = math.log(max(1.0, latency_ms))
    health.weight *= decay(state.now - health.updated_at)
    health.updated_at = state.now
    health.weight += 1.0
    health.mean_deviation += (
        value - stats.mean_log - health.mean_deviation
    ) / health.weight


def _count_failure(state, effects, worker, health, reason):
    health.failures += 1
    if health.mode == "probe" or health.failures >= FAILURES_TO_EJECT:
        _eject(state, effects, worker, health, reason, False)


def _eject_if_slow(state, effects, worker, health):
    if health.weight >= SLOW_MIN_WEIGHT and health.mean_deviation > math.log(
        SLOW_RATIO
    ):
        _eject(state, effects, worker, health, "slow", False)


def _eject(state, effects, worker, health, reason, unreachable):
    if health.mode == "out" and (health.unreachable or not unreachable):
        return
    ejected = service_stats(state, health.service).ejected
    if not unreachable and worker not in ejected:
        total = service_stats(state, health.service).workers
        if len(ejected) + 1 > MAX_EJECTED_FRACTION * total:
            health.failures = 0
            health.stalls = 0
            fields = {"worker": worker, "reason": f"{reason}-over-cap"}
            effects.append(fx.Log("warning", "worker-kept", fields))
            return
    if state.now - health.ejected_at > EJECTION_RESET_MS:
        health.ejections = 0
    initial_ms = UNREACHABLE_EJECTION_MS if unreachable else EJECTION_MS
    period_ms = min(EJECTION_MAX_MS, initial_ms << min(health.ejections, 10))
    health.ejections += 1
    health.ejected_at = state.now
    health.mode = "out"
    health.unreachable = unreachable
    health.ejected_until = state.now + period_ms
    health.failures = 0
    health.stalls = 0
    if unreachable:
        ejected.discard(worker)
    else:
        ejected.add(worker)
    heapq.heappush(_domain(state).timers, (health.ejected_until, worker))
    _domain(state).changed_workers.append(worker)
    fields = {"worker": worker, "reason": reason, "ms": period_ms}
    effects.append(fx.Log("warning", "worker-eject", fields))


def _on_tick(state, event, effects):
    timers = _domain(state).timers
    while timers and timers[0][0] <= state.now:
        _, worker = heapq.heappop(timers)
        health = _domain(state).workers.get(worker)
        if health is None:
            continue
        _domain(state).changed_workers.append(worker)
        if health.mode != "out":
            continue
        if health.ejected_until > state.now:
            continue
        health.mode = "probe"
        # The result of the probe must not depend on samples from before the
        # ejection.
        health.weight = 0.0


def _on_workers_changed(state, event, effects):
    domain = _domain(state)
    for worker in event.removed:
        health = domain.workers.pop(worker, None)
        if health is not None:
            stats = service_stats(state, health.service)
            stats.ejected.discard(worker)
            stats.workers -= 1
    for vm in (*event.added, *event.changed):
        if vm.data_centre != state.data_centre or not vm.services:
            continue
        if vm.vm in domain.workers:
            continue
        health = domain.workers[vm.vm] = WorkerHealth(vm.services[0])
        service_stats(state, health.service).workers += 1
        # Workers of the first list were in service before this node started,
        # so they need no ramp-up.
        if domain.has_first_list:
            health.ramp_started_at = state.now
            health.ramp_ms = NEW_WORKER_RAMP_MS
    domain.has_first_list = True


def _on_synced(state, event, effects):
    health = _domain(state).workers.get(event.worker)
    if health is None or event.usage is None:
        return
    latency = event.usage.latency_ms.get(health.service, 0.0)
    if latency > 0:
        health.reported_p99_log = math.log(latency)
        health.reported_at = event.usage.end


HANDLERS = {
    events.Tick: _on_tick,
    events.WorkersChanged: _on_workers_changed,
    events.WorkerSynced: _on_synced,
}
