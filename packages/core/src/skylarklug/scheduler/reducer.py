"""Reducer of the scheduler: applies an event to the state, returns effects."""

from skylarklug.scheduler import advice
from skylarklug.scheduler import handover
from skylarklug.scheduler import intake
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import lifecycle
from skylarklug.scheduler import maintenance
from skylarklug.scheduler import orders
from skylarklug.scheduler import placement
from skylarklug.scheduler import progress
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store
from skylarklug.scheduler import workers

# Modules handle each event in this order. Store answers and leadership come
# before the modules that depend on them; placement and commits come last.
MODULES = (
    lifecycle,
    store,
    leadership,
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
    """Applies one event and returns the effects to perform, in order."""
    effects = []
    state.now = max(state.now, event.at)
    for handler in HANDLERS.get(type(event), ()):
        handler(state, event, effects)
    return effects
