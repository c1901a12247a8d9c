"""Load reports between data centres, and the choice of where to spill."""

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import routing

REPORT_MS = 500
FRESH_MS = 2_000
ROUND_TRIP_MS = 7
# Links between data centres are costly, so a spill must save this much more.
LINK_COST_MS = 20


class Remote:
    """The newest load of one node of another data centre."""

    __slots__ = ("data_centre", "at", "services", "forwarded")

    def __init__(self, data_centre):
        self.data_centre = data_centre
        self.at = -FRESH_MS
        self.services: dict[str, list] = {}
        self.forwarded: dict[str, int] = {}


class SpillState:
    """Linked nodes of other data centres, and usable slots by service."""

    def __init__(self):
        self.remotes: dict[str, Remote] = {}
        self.next_report = 0


def new_state() -> SpillState:
    """Returns the state without links."""
    return SpillState()


def _domain(state) -> SpillState:
    return state.domains["spill"]


def choose(state, service: str, wait_ms: float, local: bool, avoid: str):
    """Returns (node, its expected wait) to forward to, or None.

    Args:
        state: The node's state.
        service: The service of the request.
        wait_ms: Expected wait in this data centre.
        local: Whether this data centre has workers of the service.
        avoid: A node that must not be chosen, or "".
    """
    best = None
    for node, remote in _domain(state).remotes.items():
        if node == avoid or state.now - remote.at > FRESH_MS:
            continue
        report = remote.services.get(service)
        if report is None:
            continue
        free, waiting = report
        sent = remote.forwarded.get(service, 0)
        if free <= sent and local:
            continue
        total = waiting + ROUND_TRIP_MS + LINK_COST_MS
        if best is None or (total, sent) < best[:2]:
            best = (total, sent, node)
    if best is None or (local and best[0] >= wait_ms):
        return None
    return best[2], best[0]


def sent(state, node: str, service: str, amount: int):
    """Counts a forwarded request (1) or its end (-1)."""
    remote = _domain(state).remotes.get(node)
    if remote is None:
        return
    count = remote.forwarded.get(service, 0) + amount
    remote.forwarded[service] = max(0, count)


def address_of(state, node: str) -> str:
    """Returns the address for forwarded requests, or ""."""
    for entry in state.settings.get("nodes", ()):
        if entry["node"] == node:
            return entry.get("forward", "")
    return ""


def _on_connected(state, event, effects):
    if event.data_centre != state.data_centre:
        _domain(state).remotes[event.peer] = Remote(event.data_centre)


def _on_lost(state, event, effects):
    _domain(state).remotes.pop(event.peer, None)


def _on_message(state, event, effects):
    if event.body.get("kind") != "load" or "services" not in event.body:
        return
    remote = _domain(state).remotes.get(event.peer)
    if remote is None:
        return
    remote.services = dict(event.body["services"])
    remote.at = state.now


def _on_tick(state, event, effects):
    domain = _domain(state)
    if state.now < domain.next_report or not domain.remotes:
        return
    domain.next_report = state.now + REPORT_MS
    body = {"kind": "load", "services": _load(state)}
    for node in domain.remotes:
        effects.append(fx.SendPeer(node, body))


def _load(state):
    load = {}
    for service in routing.services(state):
        queued = admission.queue(state, service).length
        free = 0 if queued else routing.free_workers(state, service)
        wait = 0 if free else int(expected_wait(state, service))
        load[service] = [free, wait]
    return load


def expected_wait(state, service: str) -> float:
    """Returns the wait in milliseconds of a request that queues now.

    While requests queue, all slots are in use, so the number in flight
    divided by the mean latency is the rate at which the queue is served.
    """
    queued = admission.queue(state, service).waiting()
    in_flight = limits.demand(state, service) - queued
    mean = health.mean_latency(state, service)
    return (queued + 1) * mean / max(1, in_flight)


HANDLERS = {
    events.PeerConnected: _on_connected,
    events.PeerLost: _on_lost,
    events.PeerMessage: _on_message,
    events.Tick: _on_tick,
}
