"""Load balancing: selects the worker for an attempt.

A few workers with a free slot are sampled at random, and the one with the
lowest score is chosen; see Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing" (2001). The cost of a choice does not grow with the
number of workers.
"""

import collections

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import workers

# Maximum number of sampled workers. With four candidates it is unlikely that
# all of them are slow.
MAX_CANDIDATES = 4
# Relative increase of the score of a worker whose slots are all in use.
OCCUPANCY_WEIGHT = 0.5
# Relative increase of the score for each stalled attempt of the worker.
STALL_WEIGHT = 0.5
# Number of requests whose decisions are kept for the command `why request`.
MAX_DECISIONS = 1_024


class FreeSet:
    """Workers with a free slot.

    Adding, removing and picking at random take constant time: `items` has no
    gaps, and `positions` holds the index of each worker in it.
    """

    __slots__ = ("items", "positions")

    def __init__(self):
        self.items: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, worker: str):
        """Adds a worker unless it is present."""
        if worker not in self.positions:
            self.positions[worker] = len(self.items)
            self.items.append(worker)

    def discard(self, worker: str):
        """Removes a worker if it is present."""
        position = self.positions.pop(worker, None)
        if position is None:
            return
        last = self.items.pop()
        if last != worker:
            self.items[position] = last
            self.positions[last] = position


class RoutingState:
    """Free workers and recent decisions.

    Attributes:
        free: Workers with a free slot, by service.
        decisions: Recent routing decisions, by request.
        newly_available: Services that got a free worker since the last call
            of `pop_newly_available`.
        ramping: Workers in a ramp-up, whose usable slots change with time.
    """

    def __init__(self):
        self.free: dict[str, FreeSet] = {}
        self.decisions: collections.OrderedDict = collections.OrderedDict()
        self.newly_available: dict[str, None] = {}
        self.ramping: dict[str, None] = {}


def new_state() -> RoutingState:
    """Returns the initial state, without workers."""
    return RoutingState()


def _domain(state) -> RoutingState:
    return state.domains["routing"]


def pop_newly_available(state) -> list[str]:
    """Returns and clears the services that got a free worker."""
    newly_available = list(_domain(state).newly_available)
    _domain(state).newly_available.clear()
    return newly_available


def services(state) -> list[str]:
    """Returns the services that have workers in this data centre."""
    return list(_domain(state).free)


def has_workers(state, service: str) -> bool:
    """Returns whether this data centre has workers of the service."""
    return health.service_stats(state, service).workers > 0


def free_workers(state, service: str) -> int:
    """Returns the number of workers of the service with a free slot."""
    free = _domain(state).free.get(service)
    return 0 if free is None else len(free.items)


def refresh(state, worker: str):
    """Adds a worker to the free sets of its services, or removes it."""
    vm = workers.get(state, worker)
    if vm is None or limits.get(state, worker) is None:
        return
    domain = _domain(state)
    is_free = _is_free(state, worker)
    for service in vm.services:
        free = domain.free.get(service)
        if free is None:
            free = domain.free[service] = FreeSet()
        if is_free == (worker in free.positions):
            continue
        if not is_free:
            free.discard(worker)
            continue
        free.add(worker)
        domain.newly_available[service] = None


def _is_free(state, worker):
    if workers.is_leaving(state, worker):
        return False
    if admission.is_drained(state, worker):
        return False
    worker_health = health.get(state, worker)
    slots = limits.get(state, worker)
    if worker_health.mode == "out" or state.now < worker_health.backoff_until:
        return False
    if worker_health.mode == "probe" and slots.in_use:
        return False
    usable = slots.usable(state.now)
    if worker_health.ramp_started_at >= 0:
        _domain(state).ramping[worker] = None
        fraction = health.ramp_fraction(state, worker_health)
        usable = min(usable, max(1, int(usable * fraction)))
    return slots.in_use < usable


def choose(
    state,
    effects,
    req_id: str,
    service: str,
    excluded: str,
    attempt_reason: str,
):
    """Returns the worker for an attempt, or None when none is free.

    Args:
        state: The node's state.
        effects: Receives the log line of the decision.
        req_id: The id of the request.
        service: The service of the request.
        excluded: A worker that must not be chosen, or "".
        attempt_reason: "first", "retry" or "hedge".
    """
    free = _domain(state).free.get(service)
    if free is None:
        return None
    candidates = _sample_free(state, free, excluded)
    if not candidates:
        return None
    scored = _score_candidates(state, candidates)
    score, best = min(scored)
    fields = {
        "req": req_id,
        "service": service,
        "worker": best,
        "attempt": attempt_reason,
        "reason": "only-free" if len(scored) == 1 else "random-choices",
        "score": round(score, 2),
        "against": " ".join(
            f"{worker}:{value:.2f}"
            for value, worker in scored
            if worker != best
        ),
    }
    record_decision(state, effects, fields)
    return best


def record_decision(state, effects, fields: dict, event: str = "route"):
    """Logs a decision about a request and keeps it for `why request`."""
    effects.append(fx.Log("info", event, fields))
    decisions = _domain(state).decisions
    decisions.setdefault(fields["req"], []).append((state.now, fields))
    if len(decisions) > MAX_DECISIONS:
        decisions.popitem(last=False)


def _sample_free(state, free, excluded):
    """Returns up to `MAX_CANDIDATES` distinct workers that are free now."""
    sample = []
    items = free.items
    slots_by_worker = limits.by_worker(state)
    now = state.now
    random = state.rng.random
    for _ in range(2 * MAX_CANDIDATES):
        count = len(items)
        if not count:
            break
        worker = items[int(random() * count)]
        if worker == excluded or worker in sample:
            if count <= len(sample) + (excluded in free.positions):
                break
            continue
        slots = slots_by_worker[worker]
        if slots.in_use >= slots.usable(now):
            # The worker's slot grant expired after the last tick.
            refresh(state, worker)
            continue
        sample.append(worker)
        if len(sample) == MAX_CANDIDATES:
            break
    return sample


def _score_candidates(state, candidates):
    """Returns a list of (score, worker); the lowest score is the best.

    The score is the worker's latency relative to its service, increased by
    occupied slots, stalled attempts and an unfinished ramp-up.
    """
    slots_by_worker = limits.by_worker(state)
    health_by_worker = health.by_worker(state)
    now = state.now
    scored = []
    for worker in candidates:
        slots = slots_by_worker[worker]
        worker_health = health_by_worker[worker]
        load = slots.in_use
        if slots.others_in_use:
            load += slots.others_in_use * health.decay(
                now - slots.others_reported_at
            )
        score = health.latency_ratio_of(state, worker_health)
        score *= 1.0 + OCCUPANCY_WEIGHT * load / slots.slots
        if worker_health.stalls:
            score *= 1.0 + STALL_WEIGHT * worker_health.stalls
        if worker_health.ramp_started_at >= 0:
            score *= 2.0 - health.ramp_fraction(state, worker_health)
        scored.append((score, worker))
    return scored


def explain(state, kind: str, name: str) -> list[dict]:
    """Returns the decisions about a request, or a worker's routing state."""
    if kind == "request":
        decisions = _domain(state).decisions.get(name, ())
        return [{"at": at, **fields} for at, fields in decisions]
    slots = limits.get(state, name)
    if kind != "worker" or slots is None:
        return []
    worker_health = health.get(state, name)
    return [
        {
            "worker": name,
            "mode": worker_health.mode,
            "ratio": round(health.latency_ratio(state, name), 2),
            "in_use": slots.in_use,
            "usable": slots.usable(state.now),
            "others": slots.others_in_use,
            "ejections": worker_health.ejections,
            "leaving": workers.is_leaving(state, name),
            "drained": admission.is_drained(state, name),
            "free": _is_free(state, name),
        }
    ]


def list_services(state) -> list[dict]:
    """Returns one row per service for the query language."""
    rows = []
    for name in sorted(_domain(state).free):
        rows.append(
            {
                "service": name,
                "workers": len(workers.of_service(state, name)),
                "free_workers": len(_domain(state).free[name].items),
                "queue": admission.queue(state, name).length,
                "mean_ms": round(health.mean_latency(state, name), 1),
                "p95_ms": round(health.p95_latency(state, name), 1),
            }
        )
    return rows


def _on_workers_changed(state, event, effects):
    domain = _domain(state)
    for worker in event.removed:
        for free in domain.free.values():
            free.discard(worker)
    for vm in event.changed:
        for service, free in domain.free.items():
            if service not in vm.services:
                free.discard(vm.vm)
    for vm in (*event.added, *event.changed):
        refresh(state, vm.vm)


def _on_leaving(state, event, effects):
    refresh(state, event.worker)


def refresh_changed(state):
    """Updates the free sets after changes of slots, health and drains."""
    for worker in limits.pop_changed(state):
        refresh(state, worker)
    for worker in health.pop_changed(state):
        refresh(state, worker)
    for worker in admission.pop_changed(state):
        refresh(state, worker)


def _refresh_changed(state, event, effects):
    refresh_changed(state)
    domain = _domain(state)
    if isinstance(event, events.Tick) and domain.ramping:
        ramping = list(domain.ramping)
        domain.ramping.clear()
        for worker in ramping:
            refresh(state, worker)


HANDLERS = {
    events.WorkersChanged: _on_workers_changed,
    events.WorkerLeaving: _on_leaving,
    events.PeerMessage: _refresh_changed,
    events.ConfigApplied: _refresh_changed,
    events.Tick: _refresh_changed,
}
