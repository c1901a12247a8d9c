"""Reducer that maps the state and an event to a list of effects."""

from skylarklug import admission
from skylarklug import commands
from skylarklug import configuration
from skylarklug import events
from skylarklug import gather
from skylarklug import health
from skylarklug import interference
from skylarklug import jobs
from skylarklug import lease
from skylarklug import limits
from skylarklug import membership
from skylarklug import ownership
from skylarklug import placement
from skylarklug import quarantine
from skylarklug import quota
from skylarklug import requests
from skylarklug import retries
from skylarklug import routing
from skylarklug import snapshot
from skylarklug import spill
from skylarklug import state as state_lib
from skylarklug import stopping
from skylarklug import table
from skylarklug import workers

# The handlers of an event run in this order. Table and ownership come before
# the domains that act on their results.
DOMAINS = {
    "table": table,
    "membership": membership,
    "ownership": ownership,
    "configuration": configuration,
    "snapshot": snapshot,
    "workers": workers,
    "limits": limits,
    "admission": admission,
    "retries": retries,
    "health": health,
    "routing": routing,
    "spill": spill,
    "requests": requests,
    "stopping": stopping,
    "quota": quota,
    "quarantine": quarantine,
    "interference": interference,
    "jobs": jobs,
    "lease": lease,
    "placement": placement,
    "gather": gather,
    "commands": commands,
}


def _collect_handlers():
    handlers = {}
    for module in DOMAINS.values():
        for event_type, handler in module.HANDLERS.items():
            handlers.setdefault(event_type, []).append(handler)
    return handlers


HANDLERS = _collect_handlers()


def new_state() -> state_lib.State:
    """Returns the state of a node before its start."""
    state = state_lib.State()
    for name, module in DOMAINS.items():
        state.domains[name] = module.new_state()
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
        event = state.next_internal_event()
    return effects
