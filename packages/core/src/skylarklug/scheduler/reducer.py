"""Reducer of the scheduler: applies an event to the state, returns effects."""

from skylarklug.scheduler import advice
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import exits
from skylarklug.scheduler import freshness
from skylarklug.scheduler import handover
from skylarklug.scheduler import intake
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import lifecycle
from skylarklug.scheduler import maintenance
from skylarklug.scheduler import orders
from skylarklug.scheduler import peers
from skylarklug.scheduler import placement
from skylarklug.scheduler import progress
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store
from skylarklug.scheduler import succession
from skylarklug.scheduler import workers

# Modules handle each event in this order. Store answers and leadership come
# before the modules that depend on them; placement and commits come last.
MODULES = (
    lifecycle,
    store,
    peers,
    freshness,
    leadership,
    succession,
    exits,
    intake,
    jobs,
    orders,
    workers,
    advice,
    maintenance,
    handover,
    placement,
    progress,
)


def _collect_handlers():
    handlers = {}
    for module in MODULES:
        for event_type, handler in module.HANDLERS.items():
            handlers.setdefault(event_type, []).append(handler)
    return handlers


HANDLERS = _collect_handlers()


def new_state(cfg: records.Settings, seed: int) -> state_lib.State:
    """Returns the initial state of a node."""
    return state_lib.State(cfg, seed)


def reduce(state: state_lib.State, event) -> list:
    """Applies one event and returns the effects to perform, in order.

    An unexpected exception of a handler is logged, and the other handlers still
    run: ending the process would not help, because the next leader would fail
    on the same job or message.
    """
    effects = []
    state.now = max(state.now, event.at)
    if state.started_at < 0:
        state.started_at = event.at
    for handler in HANDLERS.get(type(event), ()):
        try:
            handler(state, event, effects)
        except Exception as exc:
            _report_defect(event, handler, exc, effects)
            _answer_request(state, event, effects)
    return effects


def _answer_request(state, event, effects):
    """Answers a client whose request failed here: its outcome is not known."""
    req = getattr(event, "req", None)
    if state.open_requests.pop(req, None) is not None:
        body = {"reason": "unexpected error"}
        effects.append(fx.Answer(req, 504, body, 0))


def _report_defect(event, handler, exc, effects):
    place = exc.__traceback__
    while place.tb_next is not None:
        place = place.tb_next
    fields = {
        "step": f"{handler.__module__}.{type(event).__name__}",
        "reason": repr(exc),
        "line": place.tb_lineno,
    }
    effects.append(fx.Log("error", "defect", fields))
    effects.append(fx.Measure("skylarklug.defects", 1, {}))
