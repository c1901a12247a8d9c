"""Watches the process of the leader for its exit.

Load pattern: leaders are killed every few seconds. The host of a process that
has ended refuses connections at once, whereas its heartbeats time out after
seconds.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership


def _process_to_watch(state):
    """Returns the watch address and the epoch of another node that leads."""
    owner = state.owner
    if owner is None or owner.get("released"):
        return "", 0
    if owner.get("node") == state.cfg.node:
        return "", 0
    # Rows of earlier builds have no address.
    address = owner.get("address")
    if not address or not isinstance(address, str):
        return "", 0
    return address, owner["epoch"]


def _on_rows(state, event, effects):
    if event.table != leadership.TABLE:
        return
    watched = _process_to_watch(state)
    if watched != state.watched_leader:
        state.watched_leader = watched
        effects.append(fx.WatchLeader(*watched))


HANDLERS = {events.RowsChanged: _on_rows}
