"""Detects that the process of a leader has exited.

Load pattern: leaders are killed every few seconds. The host of a process that
has ended refuses connections at once, whereas its heartbeats time out after
seconds.

A link that refuses connections looks the same, so that the next leader waits
for leases which the former one may still renew.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership


def _is_other_leader(state):
    """Returns whether another node leads that has not released."""
    owner = state.owner
    if owner is None or owner.get("released"):
        return False
    return owner.get("node") != state.cfg.node


def _process_to_watch(state):
    """Returns the watch address and the epoch of the leader."""
    owner = state.owner
    if not _is_other_leader(state):
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


def _on_leader_exited(state, event, effects):
    if not _is_other_leader(state) or state.owner.get("epoch") != event.epoch:
        return
    state.exited_epoch = event.epoch
    state.claim_due_at = state.now + leadership.claim_delay_ms(state)
    fields = {"epoch": event.epoch, "leader": state.owner["node"]}
    effects.append(fx.Log("info", "leader-exited", fields))


HANDLERS = {
    events.LeaderExited: _on_leader_exited,
    events.RowsChanged: _on_rows,
}
