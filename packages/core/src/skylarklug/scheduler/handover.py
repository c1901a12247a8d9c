"""Hands what a leader has learned about images over to its successor.

The coefficients of `pressure` take half a minute of disturbed services to
learn. The leader writes them to the store now and then; the next one begins
with them.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership
from skylarklug.scheduler import pressure
from skylarklug.scheduler import store

TABLE = "handover"
KEY = "pressure"
# A successor misses at most this much. One write of a few kilobytes costs as
# much as four beats of the leader.
SAVE_INTERVAL_MS = 3_000
# A row of the store holds 64 KiB; two image names and two numbers take about
# 100 bytes.
MAX_PAIRS = 400
# A pair is worth keeping once this share of its first variance is left.
KNOWN_SHARE = 0.5
# What was learned counts for less under a new leader.
VARIANCE_FACTOR = 2.0


def _value(leader):
    """Returns the coefficients that are known, by serving image."""
    value = {}
    count = 0
    for serving, estimates in leader.estimates.items():
        for name, row in estimates.rows.items():
            variance = estimates.covariance[row][row]
            if name in estimates.loads_at or count == MAX_PAIRS:
                continue
            if variance > KNOWN_SHARE * pressure.PRIOR_VARIANCE:
                continue
            pair = [round(estimates.mean[row], 2), round(variance, 3)]
            value.setdefault(serving, {})[name] = pair
            count += 1
    return value


def _save(state, effects):
    leader = state.leader
    value = _value(leader)
    leader.handover_due_at = state.now + SAVE_INTERVAL_MS
    if not value or value == leader.saved_coefficients:
        return

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status == "ok":
            leadership.record_commit(state, answer)
            leader.saved_coefficients = value
        elif answer.status == "conflict":
            leadership.check_conflict(state, effects, answer)

    store.commit(
        state,
        effects,
        [leadership.owner_check(leader)],
        [fx.Write(TABLE, KEY, value)],
        done,
    )


def _load(state, effects):
    leader = state.leader
    leader.handover_read = True

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        if answer.status != "ok":
            leader.handover_read = False
            return
        for row in answer.rows:
            _restore(state, row.value)
        fields = {"epoch": leader.epoch, "images": len(leader.estimates)}
        effects.append(fx.Log("info", "handover-read", fields))

    store.read(state, effects, TABLE, KEY, done)


def _restore(state, value):
    for serving, pairs in value.items():
        estimates = pressure.estimates_of(state, serving)
        for filling, (mean, variance) in pairs.items():
            if filling in estimates.rows:
                # Learned meanwhile, from tails that are newer.
                continue
            variance = min(pressure.PRIOR_VARIANCE, VARIANCE_FACTOR * variance)
            estimates.add(filling, [mean], [variance])


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if not leader.handover_read:
        _load(state, effects)
    elif state.now >= leader.handover_due_at and leadership.may_send_orders(
        state
    ):
        _save(state, effects)


HANDLERS = {events.Tick: _on_tick}
