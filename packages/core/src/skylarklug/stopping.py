"""Graceful stop of this node.

The node reports that it is not ready, waits for its requests, hands over its
partitions and exits. The setting `stop.notice_ms` gives the load balancer time
to notice that the node is not ready; `stop.drain_ms` limits the wait for
requests. Times are in milliseconds.
"""

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import limits
from skylarklug import ownership
from skylarklug import requests

DEFAULT_NOTICE_MS = 5_000
DEFAULT_DRAIN_MS = 60_000
# Limits the hand-over, because the table may be unavailable. The node lease
# then expires by itself.
HANDOVER_TIMEOUT_MS = 10_000


class StoppingState:
    """Progress of a graceful stop.

    Attributes:
        phase: "serving", "notice", "drain", "hand-over", "last-requests",
            "cut" or "exited".
        phase_ends_at: Latest time at which the phase ends.
        reason: Why the node exits; set after the hand-over.
    """

    def __init__(self):
        self.phase = "serving"
        self.phase_ends_at = 0
        self.reason = ""


def new_state() -> StoppingState:
    """Returns the initial state, of a node that is serving."""
    return StoppingState()


def _domain(state) -> StoppingState:
    return state.domains["stopping"]


def _setting(state, name, default):
    stop = state.settings.get("stop", {})
    return int(stop.get(name, state.settings.get(f"stop.{name}", default)))


def _on_stop_requested(state, event, effects):
    domain = _domain(state)
    if domain.phase != "serving":
        return
    effects.append(fx.SetReady(False, "stopping"))
    notice = _setting(state, "notice_ms", DEFAULT_NOTICE_MS)
    _enter_phase(state, effects, "notice", notice)


def _enter_phase(state, effects, phase, duration):
    domain = _domain(state)
    domain.phase = phase
    domain.phase_ends_at = state.now + duration
    fields = {"step": phase, "in_flight": requests.in_flight(state)}
    effects.append(fx.Log("info", "node-stop", fields))


def _on_tick(state, event, effects):
    domain = _domain(state)
    due = state.now >= domain.phase_ends_at
    if domain.phase == "notice" and due:
        effects.append(fx.StopAccepting())
        _enter_phase(
            state,
            effects,
            "drain",
            _setting(state, "drain_ms", DEFAULT_DRAIN_MS),
        )
    elif domain.phase == "drain":
        if due or not requests.in_flight(state):
            _hand_over(state, effects)
    elif domain.phase == "hand-over" and due:
        _finish(state, effects, "partitions not released in time")
    elif domain.phase == "last-requests":
        if not requests.in_flight(state):
            _exit(state, effects, domain.reason)
        elif due:
            _abort_requests(state, effects)
            # Leaves time until the next tick to send the error responses.
            _enter_phase(state, effects, "cut", 0)
    elif domain.phase == "cut":
        _exit(state, effects, domain.reason)


def _abort_requests(state, effects):
    fields = {"step": "drain", "in_flight": requests.in_flight(state)}
    effects.append(fx.Log("warning", "drain-cut", fields))
    requests.end_all(state, effects)


def _hand_over(state, effects):
    if requests.in_flight(state):
        _abort_requests(state, effects)
    limits.return_all_slots(state, effects)
    _enter_phase(state, effects, "hand-over", HANDOVER_TIMEOUT_MS)

    def on_released(state, effects, result):
        if _domain(state).phase == "hand-over":
            _finish(state, effects, "stopped")

    ownership.release_all(state, effects, on_released)


def _finish(state, effects, reason):
    """Exits once the requests that arrived during the hand-over have ended.

    Callers may send requests on keep-alive connections after the listener has
    closed. Each connection carries at most one more, because its response
    closes the connection.
    """
    domain = _domain(state)
    domain.reason = reason
    if not requests.in_flight(state):
        _exit(state, effects, reason)
        return
    drain = _setting(state, "drain_ms", DEFAULT_DRAIN_MS)
    _enter_phase(state, effects, "last-requests", drain)


def _exit(state, effects, reason):
    _domain(state).phase = "exited"
    effects.append(fx.Exit(0, reason))


HANDLERS = {
    events.StopRequested: _on_stop_requested,
    events.Tick: _on_tick,
}
