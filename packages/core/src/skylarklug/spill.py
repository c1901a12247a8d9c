"""Forwarding of requests to other data centres when this one is overloaded.

Nodes of linked data centres send each other their load, from which a node
chooses where to forward a request.
"""

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import health
from skylarklug import limits
from skylarklug import routing

# Interval of the load reports of a node.
REPORT_INTERVAL_MS = 500
# No request is forwarded to a node whose last report is older than this.
MAX_REPORT_AGE_MS = 2_000
# Round trip time that is assumed between data centres.
ROUND_TRIP_MS = 7
# Links between data centres are expensive, so forwarding must save this much
# in addition.
LINK_PENALTY_MS = 20


class RemoteNode:
    """The latest load report of a node of another data centre.

    Attributes:
        data_centre: Its data centre.
        received_at: Time of the report.
        services: Free workers and expected wait in milliseconds, by service.
        forwarded: Requests in flight that this node forwarded, by service.
    """

    __slots__ = ("data_centre", "received_at", "services", "forwarded")

    def __init__(self, data_centre):
        self.data_centre = data_centre
        self.received_at = -MAX_REPORT_AGE_MS
        self.services: dict[str, list] = {}
        self.forwarded: dict[str, int] = {}


class SpillState:
    """Linked nodes of other data centres, and the time of the next report."""

    def __init__(self):
        self.remotes: dict[str, RemoteNode] = {}
        self.next_report = 0


def new_state() -> SpillState:
    """Returns the initial state, without linked nodes."""
    return SpillState()


def _domain(state) -> SpillState:
    return state.domains["spill"]


def choose_node(
    state, service: str, wait_ms: float, has_local_workers: bool, excluded: str
):
    """Returns the node to forward to and the total wait there, or None.

    The total wait includes the round trip and the penalty for the link.

    Args:
        state: The node's state.
        service: The service of the request.
        wait_ms: The expected wait in this data centre.
        has_local_workers: Whether this data centre has workers of the service.
        excluded: A node that must not be chosen, or "".
    """
    best = None
    for node, remote in _domain(state).remotes.items():
        if (
            node == excluded
            or state.now - remote.received_at > MAX_REPORT_AGE_MS
        ):
            continue
        report = remote.services.get(service)
        if report is None:
            continue
        free, remote_wait_ms = report
        forwarded = remote.forwarded.get(service, 0)
        if free <= forwarded and has_local_workers:
            continue
        total_ms = remote_wait_ms + ROUND_TRIP_MS + LINK_PENALTY_MS
        if best is None or (total_ms, forwarded) < best[:2]:
            best = (total_ms, forwarded, node)
    if best is None or (has_local_workers and best[0] >= wait_ms):
        return None
    return best[2], best[0]


def count_forwarded(state, node: str, service: str, change: int):
    """Counts the start (1) or the end (-1) of a forwarded request."""
    remote = _domain(state).remotes.get(node)
    if remote is None:
        return
    count = remote.forwarded.get(service, 0) + change
    remote.forwarded[service] = max(0, count)


def address_of(state, node: str) -> str:
    """Returns the address of a node for forwarded requests, or ""."""
    for entry in state.settings.get("nodes", ()):
        if entry["node"] == node:
            return entry.get("forward", "")
    return ""


def _on_connected(state, event, effects):
    if event.data_centre != state.data_centre:
        _domain(state).remotes[event.peer] = RemoteNode(event.data_centre)


def _on_lost(state, event, effects):
    _domain(state).remotes.pop(event.peer, None)


def _on_message(state, event, effects):
    if event.body.get("kind") != "load" or "services" not in event.body:
        return
    remote = _domain(state).remotes.get(event.peer)
    if remote is None:
        return
    remote.services = dict(event.body["services"])
    remote.received_at = state.now


def _on_tick(state, event, effects):
    domain = _domain(state)
    if state.now < domain.next_report or not domain.remotes:
        return
    domain.next_report = state.now + REPORT_INTERVAL_MS
    body = {"kind": "load", "services": _load_by_service(state)}
    for node in domain.remotes:
        effects.append(fx.SendPeer(node, body))


def _load_by_service(state):
    load = {}
    for service in routing.services(state):
        queued = admission.queue(state, service).length
        free = 0 if queued else routing.free_workers(state, service)
        wait_ms = 0 if free else int(expected_wait(state, service))
        load[service] = [free, wait_ms]
    return load


def expected_wait(state, service: str) -> float:
    """Returns the expected wait in milliseconds of a newly queued request.

    While requests are queued, all slots are in use, so the queue is served at
    a rate of the number in flight divided by the mean latency.
    """
    queued = admission.queue(state, service).waiting()
    in_flight = limits.demand(state, service) - queued
    mean_ms = health.mean_latency(state, service)
    return (queued + 1) * mean_ms / max(1, in_flight)


HANDLERS = {
    events.PeerConnected: _on_connected,
    events.PeerLost: _on_lost,
    events.PeerMessage: _on_message,
    events.Tick: _on_tick,
}
