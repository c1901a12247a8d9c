"""The reducer: one function from state and event to effects."""

import importlib

from skylarklug import events
from skylarklug import state as state_lib

# The order fixes which domain sees an event first. Table and ownership come
# before the domains that act on their results.
DOMAINS = (
    "table",
    "membership",
    "ownership",
    "configuration",
    "snapshot",
    "workers",
    "limits",
    "routing",
    "quota",
    "quarantine",
    "interference",
    "jobs",
    "lease",
    "placement",
    "query",
)


def _load_domains():
    handlers = {}
    factories = {}
    for name in DOMAINS:
        try:
            module = importlib.import_module(f"skylarklug.{name}")
        except ModuleNotFoundError:
            continue
        factories[name] = module.new_state
        for event_type, handler in module.HANDLERS.items():
            handlers.setdefault(event_type, []).append(handler)
    return handlers, factories


HANDLERS, FACTORIES = _load_domains()


def new_state() -> state_lib.State:
    """Returns the state of a node that has not started."""
    state = state_lib.State()
    for name, factory in FACTORIES.items():
        state.domains[name] = factory()
    return state


def reduce(state: state_lib.State, event) -> list:
    """Applies one event and returns the effects to perform, in order."""
    effects = []
    if isinstance(event, events.NodeStarted):
        state.start(event)
    while event is not None:
        state.now = event.at
        for handler in HANDLERS.get(type(event), ()):
            handler(state, event, effects)
        event = state.next_internal()
    return effects
