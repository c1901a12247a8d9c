"""Latency estimates, ejection and slow return of workers.

Estimates are means of the logarithm of the latency with exponential decay:
service times are skewed, and one long request says little about a worker.
"""

import heapq
import math

from skylarklug import effects as fx
from skylarklug import events

HALF_LIFE_MS = 2_000
# Samples that a worker needs before its own mean counts for half.
PRIOR_WEIGHT = 4.0
REPORT_WEIGHT = 8.0
FAILURES_TO_EJECT = 5
SLOW_RATIO = 4.0
SLOW_WEIGHT = 8.0
SUSPECT_RATIO = 1.5
# Answers that a slow worker gives, one at a time, before it is used again.
PROBE_WEIGHT = 2.5
EJECT_MS = 1_000
EJECT_MAX_MS = 30_000
UNREACHABLE_MS = 500
EJECT_FRACTION = 0.3
RAMP_MS = 10_000
RETURN_RAMP_MS = 2_000
# A worker that refused for want of a free slot gets no request for this long.
REST_MS = 100
# A worker that has been good for this long starts again at EJECT_MS.
FORGIVE_MS = 60_000

_QUANTILE_STEP = 0.05
_DEFAULT_LATENCY_MS = 100.0


class Health:
    """What this node knows about one worker.

    `mean` is the decayed mean deviation of its log latency from that of the
    service that answered.

    `mode` is "ok", "out" (no requests until `until`) or "probe" (one request
    at a time). A worker ramps up while `ramp_from` is set. `hard` is true for
    a worker that could not be connected to; it does not count for the cap.
    """

    __slots__ = (
        "service",
        "weight",
        "mean",
        "stamp",
        "failures",
        "stalls",
        "mode",
        "until",
        "hard",
        "ejections",
        "ejected_at",
        "ramp_from",
        "ramp_ms",
        "rest_until",
        "report",
        "report_at",
    )

    def __init__(self, service):
        self.service = service
        self.weight = 0.0
        self.mean = 0.0
        self.stamp = 0
        self.failures = 0
        self.stalls = 0
        self.mode = "ok"
        self.until = 0
        self.hard = False
        self.ejections = 0
        self.ejected_at = 0
        self.ramp_from = -1
        self.ramp_ms = RAMP_MS
        self.rest_until = 0
        self.report = 0.0
        self.report_at = 0


class Service:
    """Latency of one service over all of its workers, in log milliseconds."""

    __slots__ = (
        "weight",
        "mean",
        "linear",
        "stamp",
        "p95",
        "count",
        "soft",
        "workers",
    )

    def __init__(self):
        self.workers = 0
        self.weight = 0.0
        self.mean = math.log(_DEFAULT_LATENCY_MS)
        self.linear = _DEFAULT_LATENCY_MS
        self.stamp = 0
        self.p95 = math.log(_DEFAULT_LATENCY_MS * 3)
        self.count = 0
        self.soft: set[str] = set()


class HealthState:
    """Health by worker and service; `timers` holds the ends of ejections."""

    def __init__(self):
        self.workers: dict[str, Health] = {}
        self.services: dict[str, Service] = {}
        self.timers: list[tuple[int, str]] = []
        self.changed: list[str] = []
        self.listed = False


def new_state() -> HealthState:
    """Returns the state without workers."""
    return HealthState()


def _domain(state) -> HealthState:
    return state.domains["health"]


def get(state, worker: str) -> Health:
    """Returns the health of a listed worker of this data centre."""
    return _domain(state).workers[worker]


def table(state) -> dict[str, Health]:
    """Returns the health of every worker of this data centre, to read."""
    return _domain(state).workers


def service(state, name: str) -> Service:
    """Returns the latency of a service."""
    found = _domain(state).services.get(name)
    if found is None:
        found = _domain(state).services[name] = Service()
    return found


def mean_latency(state, name: str) -> float:
    """Returns the mean latency of a service in milliseconds."""
    return service(state, name).linear


def typical_latency(state, name: str) -> float:
    """Returns the geometric mean latency of a service in milliseconds."""
    return math.exp(service(state, name).mean)


def p95_latency(state, name: str) -> float:
    """Returns the estimated 95th percentile in milliseconds."""
    return math.exp(service(state, name).p95)


def take_changed(state) -> list[str]:
    """Returns the workers whose mode changed since the last call."""
    changed = _domain(state).changed
    _domain(state).changed = []
    return changed


def ratio(state, worker: str) -> float:
    """Returns the worker's latency divided by that of its service.

    Old samples lose weight, so a worker without traffic returns to 1.
    """
    return ratio_of(state, _domain(state).workers[worker])


def ratio_of(state, health: Health) -> float:
    """Returns the same as `ratio`."""
    weight = health.weight * decay(state.now - health.stamp)
    total = weight * health.mean
    if health.report:
        stats = service(state, health.service)
        reported = REPORT_WEIGHT * decay(state.now - health.report_at)
        total += reported * (health.report - stats.p95)
        weight += reported
    return math.exp(total / (weight + PRIOR_WEIGHT))


def ramp(state, health: Health) -> float:
    """Returns the fraction of its slots that a worker may use."""
    if health.ramp_from < 0:
        return 1.0
    elapsed = state.now - health.ramp_from
    if elapsed >= health.ramp_ms:
        health.ramp_from = -1
        return 1.0
    return elapsed / health.ramp_ms


def answered(
    state, effects, worker: str, name: str, latency_ms: float, failed: bool
):
    """Takes the head of an answer of service `name`.

    `failed` tells that the answer is a server error.
    """
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.stalls = 0
    _sample(state, health, name, latency_ms)
    if failed:
        _failure(state, effects, worker, health, "server-errors")
        return
    health.failures = 0
    if health.mode != "probe":
        _check_slow(state, effects, worker, health)
        return
    if not health.hard and health.weight < PROBE_WEIGHT:
        return
    if not health.hard and health.mean > math.log(SLOW_RATIO):
        _eject(state, effects, worker, health, "probe-slow", False)
        return
    health.mode = "ok"
    health.hard = False
    health.ramp_from = state.now
    health.ramp_ms = RETURN_RAMP_MS
    service(state, health.service).soft.discard(worker)
    _domain(state).changed.append(worker)
    fields = {"worker": worker, "reason": "probe-answered"}
    effects.append(fx.Log("info", "worker-readmit", fields))


def failed(state, effects, worker: str, step: str, sent: bool):
    """Takes an attempt that ended without an answer."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    if not sent and step == "connect":
        _eject(state, effects, worker, health, "unreachable", True)
        return
    _failure(state, effects, worker, health, step)


def refused(state, effects, worker: str):
    """Takes a refusal before running: the worker is full or leaving."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.rest_until = state.now + REST_MS
    heapq.heappush(_domain(state).timers, (health.rest_until, worker))
    _domain(state).changed.append(worker)
    _failure(state, effects, worker, health, "refusals")


def is_suspect(state, worker: str) -> bool:
    """Tells whether a worker has shown signs of being slow or dead."""
    health = _domain(state).workers.get(worker)
    if health is None or health.mode != "ok" or health.stalls > 1:
        return True
    return ratio_of(state, health) > SUSPECT_RATIO


def stalled(state, effects, worker: str):
    """Takes an attempt that is slower than the 95th percentile."""
    health = _domain(state).workers.get(worker)
    if health is None:
        return
    health.stalls += 1
    if health.stalls >= FAILURES_TO_EJECT:
        _eject(state, effects, worker, health, "no-answers", False)


def slower_than(state, worker: str, name: str, elapsed_ms: float):
    """Takes a cancelled attempt as a sample of at least its age."""
    health = _domain(state).workers.get(worker)
    if health is not None:
        _deviate(state, health, service(state, name), elapsed_ms)


def decay(elapsed: int) -> float:
    """Returns the weight that an observation of this age still has."""
    return 2.0 ** (-elapsed / HALF_LIFE_MS) if elapsed > 0 else 1.0


def _sample(state, health, name, latency_ms):
    value = math.log(max(1.0, latency_ms))
    stats = service(state, name)
    stats.weight *= decay(state.now - stats.stamp)
    stats.stamp = state.now
    stats.weight += 1.0
    stats.mean += (value - stats.mean) / stats.weight
    stats.linear += (latency_ms - stats.linear) / stats.weight
    stats.count += 1
    step = max(_QUANTILE_STEP, 1.0 / stats.count)
    stats.p95 += step * (0.95 if value > stats.p95 else -0.05)
    _deviate(state, health, stats, latency_ms)


def _deviate(state, health, stats, latency_ms):
    # A worker may serve several services, so its mean is of the deviation
    # from the service that answered.
    value = math.log(max(1.0, latency_ms))
    health.weight *= decay(state.now - health.stamp)
    health.stamp = state.now
    health.weight += 1.0
    health.mean += (value - stats.mean - health.mean) / health.weight


def _failure(state, effects, worker, health, reason):
    health.failures += 1
    if health.mode == "probe" or health.failures >= FAILURES_TO_EJECT:
        _eject(state, effects, worker, health, reason, False)


def _check_slow(state, effects, worker, health):
    if health.weight >= SLOW_WEIGHT and health.mean > math.log(SLOW_RATIO):
        _eject(state, effects, worker, health, "slow", False)


def _eject(state, effects, worker, health, reason, hard):
    if health.mode == "out" and (health.hard or not hard):
        return
    soft = service(state, health.service).soft
    if not hard and worker not in soft:
        total = service(state, health.service).workers
        if len(soft) + 1 > EJECT_FRACTION * total:
            health.failures = 0
            health.stalls = 0
            fields = {"worker": worker, "reason": f"{reason}-over-cap"}
            effects.append(fx.Log("warning", "worker-kept", fields))
            return
    if state.now - health.ejected_at > FORGIVE_MS:
        health.ejections = 0
    first = UNREACHABLE_MS if hard else EJECT_MS
    period = min(EJECT_MAX_MS, first << min(health.ejections, 10))
    health.ejections += 1
    health.ejected_at = state.now
    health.mode = "out"
    health.hard = hard
    health.until = state.now + period
    health.failures = 0
    health.stalls = 0
    if hard:
        soft.discard(worker)
    else:
        soft.add(worker)
    heapq.heappush(_domain(state).timers, (health.until, worker))
    _domain(state).changed.append(worker)
    fields = {"worker": worker, "reason": reason, "ms": period}
    effects.append(fx.Log("warning", "worker-eject", fields))


def _on_tick(state, event, effects):
    timers = _domain(state).timers
    while timers and timers[0][0] <= state.now:
        _, worker = heapq.heappop(timers)
        health = _domain(state).workers.get(worker)
        if health is None:
            continue
        _domain(state).changed.append(worker)
        if health.mode != "out":
            continue
        if health.until > state.now:
            continue
        health.mode = "probe"
        # Samples from before the ejection must not decide the probe.
        health.weight = 0.0


def _on_workers_changed(state, event, effects):
    domain = _domain(state)
    for worker in event.removed:
        health = domain.workers.pop(worker, None)
        if health is not None:
            stats = service(state, health.service)
            stats.soft.discard(worker)
            stats.workers -= 1
    for vm in (*event.added, *event.changed):
        if vm.data_centre != state.data_centre or not vm.services:
            continue
        if vm.vm in domain.workers:
            continue
        health = domain.workers[vm.vm] = Health(vm.services[0])
        service(state, health.service).workers += 1
        # The workers of the first list have been serving already.
        if domain.listed:
            health.ramp_from = state.now
            health.ramp_ms = RAMP_MS
    domain.listed = True


def _on_synced(state, event, effects):
    health = _domain(state).workers.get(event.worker)
    if health is None or event.usage is None:
        return
    latency = event.usage.latency_ms.get(health.service, 0.0)
    if latency > 0:
        health.report = math.log(latency)
        health.report_at = event.usage.end


HANDLERS = {
    events.Tick: _on_tick,
    events.WorkersChanged: _on_workers_changed,
    events.WorkerSynced: _on_synced,
}
