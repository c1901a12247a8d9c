"""Hands the leadership over to a much larger VM.

A leader of a large fleet needs most of a large VM, and any node may win a
claim. A node on a much larger VM than the leader's asks for the leadership with
the row `candidate`; the leader releases it once it has settled.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import roster
from skylarklug.scheduler import store

# Delay before a node asks, and the random part of it.
CANDIDATE_DELAY_MS = 1_000
CANDIDATE_JITTER_MS = 2_000


def _is_candidate(state):
    """Returns whether this VM is much larger than that of the leader."""
    owner = state.owner
    if owner is None or owner.get("released") or state.stopping_at:
        return False
    capacity = owner.get("capacity")
    if capacity is None or owner.get("node") == state.cfg.node:
        return False
    return state.cfg.capacity >= leadership.MUCH_LARGER * capacity


def _propose(state, effects):
    """Asks the leader to hand over to this node."""
    if not _is_candidate(state) or state.configuration is None:
        state.candidate_due_at = 0
        return
    if not state.candidate_due_at:
        delay_ms = CANDIDATE_DELAY_MS + state.rng.randrange(CANDIDATE_JITTER_MS)
        state.candidate_due_at = state.now + delay_ms
        return
    epoch = state.owner.get("epoch", 0)
    if state.now < state.candidate_due_at or state.proposed_epoch >= epoch:
        return
    state.candidate_due_at = 0
    value = {
        "node": state.cfg.node,
        "epoch": epoch,
        "capacity": state.cfg.capacity,
    }

    def done(state, effects, answer):
        fields = {"epoch": epoch, "status": answer.status}
        effects.append(fx.Log("info", "leadership-asked", fields))

    store.commit(
        state,
        effects,
        [fx.Check(leadership.TABLE, leadership.OWNER, state.owner_version)],
        [fx.Write(leadership.TABLE, leadership.CANDIDATE, value)],
        done,
    )


def _on_candidate(state, row):
    """Hands over to a larger VM that has asked for the current epoch."""
    value = row.value or {}
    state.proposed_epoch = max(state.proposed_epoch, value.get("epoch", 0))
    leader = state.leader
    if leader is not None and value.get("epoch") == leader.epoch:
        leader.successor = value["node"]
        leader.successor_capacity = value.get("capacity", 0.0)


def _hand_over(state, effects):
    leader = state.leader
    if not leader.settled or not leadership.is_loaded(leader) or leader.saving:
        return
    if state.now - leader.confirmed_at > leadership.HEARTBEAT_INTERVAL_MS:
        return

    def done(state, effects, answer):
        fields = {"status": answer.status, "successor": leader.successor}
        effects.append(fx.Log("info", "leadership-released", fields))

    roster.release(state, effects, done, leader.successor)
    # Until the release is answered, the stored owner is still this node.
    state.claim_due_at = state.now + leadership.SUCCESSOR_HEAD_START_MS


def _on_rows(state, event, effects):
    if event.table != leadership.TABLE:
        return
    for row in event.rows:
        if row.key == leadership.CANDIDATE:
            _on_candidate(state, row)


def _on_tick(state, event, effects):
    if state.leader is None:
        _propose(state, effects)
    elif state.leader.successor:
        _hand_over(state, effects)


HANDLERS = {
    events.RowsChanged: _on_rows,
    events.Tick: _on_tick,
}
