"""Graceful stop of this node: not ready, drain, hand over, exit.

Times are milliseconds. `stop.notice_ms` gives the load balancer time to see
that the node is not ready; `stop.drain_ms` bounds the wait for requests.
"""

from skylarklug import effects as fx
from skylarklug import events
from skylarklug import limits
from skylarklug import ownership
from skylarklug import requests

NOTICE_MS = 5_000
DRAIN_MS = 60_000
# The table may be down; the node lease then expires by itself.
HANDOVER_MS = 10_000


class StoppingState:
    """`phase` is "serving", "notice", "drain", "hand-over" or "exited"."""

    def __init__(self):
        self.phase = "serving"
        self.until = 0


def new_state() -> StoppingState:
    """Returns the state of a node that serves."""
    return StoppingState()


def _domain(state) -> StoppingState:
    return state.domains["stopping"]


def is_stopping(state) -> bool:
    """Tells whether the node has been asked to stop."""
    return _domain(state).phase != "serving"


def _setting(state, name, default):
    stop = state.settings.get("stop", {})
    return int(stop.get(name, state.settings.get(f"stop.{name}", default)))


def _on_stop(state, event, effects):
    domain = _domain(state)
    if domain.phase != "serving":
        return
    effects.append(fx.SetReady(False, "stopping"))
    notice = _setting(state, "notice_ms", NOTICE_MS)
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
        _enter(state, effects, "drain", _setting(state, "drain_ms", DRAIN_MS))
    elif domain.phase == "drain":
        if due or not requests.in_flight(state):
            _hand_over(state, effects)
    elif domain.phase == "hand-over" and due:
        _exit(state, effects, "partitions not released in time")


def _hand_over(state, effects):
    left = requests.in_flight(state)
    if left:
        fields = {"step": "drain", "in_flight": left}
        effects.append(fx.Log("warning", "drain-cut", fields))
        requests.end_all(state, effects)
    limits.return_all(state, effects)
    _enter(state, effects, "hand-over", HANDOVER_MS)

    def done(state, effects, result):
        if _domain(state).phase == "hand-over":
            _exit(state, effects, "stopped")

    ownership.release_all(state, effects, done)


def _exit(state, effects, reason):
    _domain(state).phase = "exited"
    effects.append(fx.Exit(0, reason))


HANDLERS = {
    events.StopRequested: _on_stop,
    events.Tick: _on_tick,
}
