"""Detects that the process of a leader has exited.

Load pattern: leaders are killed every few seconds. The host of a process that
has ended refuses connections at once, whereas its heartbeats time out after
seconds.

A link that refuses connections looks the same, so that the next leader waits
for leases which the former one may still renew. The next process on the node of
the former one can tell that it does not.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import store


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
    if _has_ended_as_leader(state):
        _tell_end(state, effects)
    leader = state.leader
    for row in event.rows:
        if leader is None or row.key != leadership.ENDED:
            continue
        if (row.value or {}).get("epoch") == leader.epoch:
            _shorten_waits(state)


def _has_ended_as_leader(state):
    """Returns whether the leader has replaced a former process of this node.

    The row names its predecessor only if that had settled.
    """
    if not _is_other_leader(state):
        return False
    if state.owner.get("epoch") == state.told_epoch:
        return False
    node, incarnation = state.owner.get("former") or ("", 0)
    return node == state.cfg.node and incarnation != state.cfg.incarnation


def _tell_end(state, effects):
    epoch = state.owner.get("epoch")
    state.told_epoch = epoch

    def done(state, effects, answer):
        if answer.status in ("refused", "unknown"):
            state.told_epoch = -1

    store.commit(
        state,
        effects,
        [fx.Check(leadership.TABLE, leadership.OWNER, state.owner_version)],
        [fx.Write(leadership.TABLE, leadership.ENDED, {"epoch": epoch})],
        done,
    )


def _shorten_waits(state):
    """Applies that no former leader renews leases any more."""
    leader = state.leader
    ended_at = state.now + leadership.lease_ms(state.cfg)
    leader.settled_at = min(leader.settled_at, ended_at)
    for name, former in leader.former_workers.items():
        if former.expiry.at > ended_at:
            expiry = former.expiry._replace(at=ended_at)
            leader.former_workers[name] = former._replace(expiry=expiry)


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
