"""Choice of a worker: several random choices among workers with a free slot.

The power of choices is from Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing" (2001); four choices make it unlikely that all of
them are slow workers. Cost does not grow with the number of workers.
"""

import collections

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import workers

CHOICES = 4
# Weight of a worker's occupancy against its latency estimate.
OCCUPANCY_WEIGHT = 0.5
STALL_WEIGHT = 0.5
# Decisions kept for `why request`.
KEPT_DECISIONS = 1_024


class FreeSet:
    """Workers with a free slot; every operation costs constant time."""

    __slots__ = ("items", "index")

    def __init__(self):
        self.items: list[str] = []
        self.index: dict[str, int] = {}

    def add(self, worker: str):
        """Adds a worker unless it is present."""
        if worker not in self.index:
            self.index[worker] = len(self.items)
            self.items.append(worker)

    def discard(self, worker: str):
        """Removes a worker if it is present."""
        place = self.index.pop(worker, None)
        if place is None:
            return
        last = self.items.pop()
        if last != worker:
            self.items[place] = last
            self.index[last] = place


class RoutingState:
    """Free workers by service, and recent decisions by request."""

    def __init__(self):
        self.free: dict[str, FreeSet] = {}
        self.decisions: collections.OrderedDict = collections.OrderedDict()
        self.woken: dict[str, None] = {}
        self.ramping: dict[str, None] = {}


def new_state() -> RoutingState:
    """Returns the state without workers."""
    return RoutingState()


def _domain(state) -> RoutingState:
    return state.domains["routing"]


def take_woken(state) -> list[str]:
    """Returns the services that got a free worker since the last call."""
    woken = list(_domain(state).woken)
    _domain(state).woken.clear()
    return woken


def services(state) -> list[str]:
    """Returns the services that have workers in this data centre."""
    return list(_domain(state).free)


def has_workers(state, service: str) -> bool:
    """Tells whether this data centre has workers of the service."""
    return health.service(state, service).workers > 0


def free_workers(state, service: str) -> int:
    """Returns the number of workers of the service with a free slot."""
    free = _domain(state).free.get(service)
    return 0 if free is None else len(free.items)


def refresh(state, worker: str):
    """Puts a worker into the free sets of its services, or takes it out."""
    vm = workers.get(state, worker)
    if vm is None or limits.get(state, worker) is None:
        return
    domain = _domain(state)
    usable = _is_free(state, worker)
    for service in vm.services:
        free = domain.free.get(service)
        if free is None:
            free = domain.free[service] = FreeSet()
        if usable == (worker in free.index):
            continue
        if not usable:
            free.discard(worker)
            continue
        free.add(worker)
        domain.woken[service] = None


def _is_free(state, worker):
    if workers.is_leaving(state, worker):
        return False
    if admission.is_drained(state, worker):
        return False
    found = health.get(state, worker)
    slots = limits.get(state, worker)
    if found.mode == "out" or state.now < found.rest_until:
        return False
    if found.mode == "probe" and slots.in_use:
        return False
    usable = slots.usable(state.now)
    if found.ramp_from >= 0:
        _domain(state).ramping[worker] = None
        fraction = health.ramp(state, found)
        usable = min(usable, max(1, int(usable * fraction)))
    return slots.in_use < usable


def choose(state, effects, req_id: str, service: str, avoid: str, why: str):
    """Returns the worker for an attempt, or None when none is free.

    Args:
        state: The node's state.
        effects: The decision is logged here.
        req_id: The request.
        service: Its service.
        avoid: A worker that must not be chosen, or "".
        why: "first", "retry" or "hedge".
    """
    free = _domain(state).free.get(service)
    if free is None:
        return None
    candidates = _sample(state, free, avoid)
    if not candidates:
        return None
    scored = _scores(state, candidates)
    score, best = min(scored)
    fields = {
        "req": req_id,
        "service": service,
        "worker": best,
        "attempt": why,
        "reason": "only-free" if len(scored) == 1 else "random-choices",
        "score": round(score, 2),
        "against": " ".join(
            f"{worker}:{value:.2f}"
            for value, worker in scored
            if worker != best
        ),
    }
    record(state, effects, fields)
    return best


def record(state, effects, fields: dict, event: str = "route"):
    """Logs a decision about a request and keeps it for `why request`."""
    effects.append(fx.Log("info", event, fields))
    decisions = _domain(state).decisions
    decisions.setdefault(fields["req"], []).append((state.now, fields))
    if len(decisions) > KEPT_DECISIONS:
        decisions.popitem(last=False)


def _sample(state, free, avoid):
    """Returns up to `CHOICES` distinct workers that are free now."""
    found = []
    items = free.items
    table = limits.table(state)
    now = state.now
    random = state.rng.random
    for _ in range(2 * CHOICES):
        count = len(items)
        if not count:
            break
        worker = items[int(random() * count)]
        if worker == avoid or worker in found:
            if count <= len(found) + (avoid in free.index):
                break
            continue
        slots = table[worker]
        if slots.in_use >= slots.usable(now):
            # Its grant ended since the last tick.
            refresh(state, worker)
            continue
        found.append(worker)
        if len(found) == CHOICES:
            break
    return found


def _scores(state, candidates):
    """Returns (expected latency relative to the service's own, worker)."""
    slots_of = limits.table(state)
    health_of = health.table(state)
    now = state.now
    scored = []
    for worker in candidates:
        slots = slots_of[worker]
        found = health_of[worker]
        load = slots.in_use
        if slots.others:
            load += slots.others * health.decay(now - slots.others_at)
        score = health.ratio_of(state, found)
        score *= 1.0 + OCCUPANCY_WEIGHT * load / slots.slots
        if found.stalls:
            score *= 1.0 + STALL_WEIGHT * found.stalls
        if found.ramp_from >= 0:
            score *= 2.0 - health.ramp(state, found)
        scored.append((score, worker))
    return scored


def explain(state, kind: str, name: str) -> list[dict]:
    """Returns the decisions about a request, or a worker's routing state."""
    if kind == "request":
        kept = _domain(state).decisions.get(name, ())
        return [{"at": at, **fields} for at, fields in kept]
    slots = limits.get(state, name)
    if kind != "worker" or slots is None:
        return []
    found = health.get(state, name)
    return [
        {
            "worker": name,
            "mode": found.mode,
            "ratio": round(health.ratio(state, name), 2),
            "in_use": slots.in_use,
            "usable": slots.usable(state.now),
            "others": slots.others,
            "ejections": found.ejections,
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
    """Takes changes of slots, health and drained workers into account."""
    for worker in limits.take_changed(state):
        refresh(state, worker)
    for worker in health.take_changed(state):
        refresh(state, worker)
    for worker in admission.take_changed(state):
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
