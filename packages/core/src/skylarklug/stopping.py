"""Graceful stop of this node: not ready, drain, hand over, exit.

Times are milliseconds. `stop.notice_ms` gives the load balancer time to see
that the node is not ready; `stop.drain_ms` bounds the wait for requests.
"""

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import limits
from skylarklug import ownership
from skylarklug import requests

DEFAULT_NOTICE_MS = 5_000
DEFAULT_DRAIN_MS = 60_000
# The table may be down; the node lease then expires by itself.
HANDOVER_TIMEOUT_MS = 10_000


class StoppingState:
    """Progress of a graceful stop.

    Attributes:
        phase: "serving", "notice", "drain", "hand-over", "last-requests",
            "cut" or "exited".
        until: When the phase ends at the latest.
        reason: Why the node exits, known after the hand-over.
    """

    def __init__(self):
        self.phase = "serving"
        self.until = 0
        self.reason = ""


def new_state() -> StoppingState:
    """Returns the state of a node that serves."""
    return StoppingState()


def _domain(state) -> StoppingState:
    return state.domains["stopping"]


def _setting(state, name, default):
    stop = state.settings.get("stop", {})
    return int(stop.get(name, state.settings.get(f"stop.{name}", default)))


def _on_stop(state, event, effects):
    domain = _domain(state)
    if domain.phase != "serving":
        return
    effects.append(fx.SetReady(False, "stopping"))
    notice = _setting(state, "notice_ms", DEFAULT_NOTICE_MS)
    _enter(state, effects, "notice", notice)


def _enter(state, effects, phase, duration):
    domain = _domain(state)
    domain.phase = phase
    domain.until = state.now + duration
    fields = {"step": phase, "in_flight": requests.in_flight(state)}
    effects.append(fx.Log("info", "node-stop", fields))


def _on_tick(state, event, effects):
    domain = _domain(state)
    due = state.now >= domain.until
    if domain.phase == "notice" and due:
        effects.append(fx.StopAccepting())
        _enter(
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
            _cut(state, effects)
            # The answers are sent before the next tick exits.
            _enter(state, effects, "cut", 0)
    elif domain.phase == "cut":
        _exit(state, effects, domain.reason)


def _cut(state, effects):
    fields = {"step": "drain", "in_flight": requests.in_flight(state)}
    effects.append(fx.Log("warning", "drain-cut", fields))
    requests.end_all(state, effects)


def _hand_over(state, effects):
    if requests.in_flight(state):
        _cut(state, effects)
    limits.return_all_slots(state, effects)
    _enter(state, effects, "hand-over", HANDOVER_TIMEOUT_MS)

    def done(state, effects, result):
        if _domain(state).phase == "hand-over":
            _finish(state, effects, "stopped")

    ownership.release_all(state, effects, done)


def _finish(state, effects, reason):
    """Exits after the requests that arrived during the hand-over.

    Connections that callers keep open bring requests also after the listener
    has closed. Each brings at most one, because its answer closes it.
    """
    domain = _domain(state)
    domain.reason = reason
    if not requests.in_flight(state):
        _exit(state, effects, reason)
        return
    drain = _setting(state, "drain_ms", DEFAULT_DRAIN_MS)
    _enter(state, effects, "last-requests", drain)


def _exit(state, effects, reason):
    _domain(state).phase = "exited"
    effects.append(fx.Exit(0, reason))


HANDLERS = {
    events.StopRequested: _on_stop,
    events.Tick: _on_tick,
}
