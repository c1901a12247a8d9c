"""Hands what a leader has learned about images over to its successor.

The coefficients of `pressure` take half a minute of disturbed services to
learn. The leader writes them to the store now and then; the next one begins
with them.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import interference_model
from skylarklug.scheduler import leadership
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


def _value(shard):
    """Returns the coefficients that are known, by serving image."""
    value = {}
    count = 0
    for serving, estimates in shard.estimates.items():
        for name, row in estimates.rows.items():
            variance = estimates.covariance[row][row]
            if name in estimates.loads_at or count == MAX_PAIRS:
                continue
            if variance > KNOWN_SHARE * interference_model.PRIOR_VARIANCE:
                continue
            pair = [round(estimates.mean[row], 2), round(variance, 3)]
            value.setdefault(serving, {})[name] = pair
            count += 1
    return value


def _save(state, effects):
    shard = state.shard
    value = _value(shard)
    shard.handover_at = state.now + SAVE_INTERVAL_MS
    if not value or value == shard.handed_over:
        return

    def done(state, effects, answer):
        if state.shard is not shard:
            return
        if answer.status == "ok":
            leadership.confirm(state, answer)
            shard.handed_over = value
        elif answer.status == "conflict":
            leadership.check_conflict(state, effects, answer)

    store.commit(
        state,
        effects,
        [leadership.owner_check(shard)],
        [fx.Write(TABLE, KEY, value)],
        done,
    )


def _load(state, effects):
    shard = state.shard
    shard.handover_read = True

    def done(state, effects, answer):
        if state.shard is not shard:
            return
        if answer.status != "ok":
            shard.handover_read = False
            return
        for row in answer.rows:
            _restore(state, row.value)
        fields = {"epoch": shard.epoch, "images": len(shard.estimates)}
        effects.append(fx.Log("info", "handover-read", fields))

    store.read(state, effects, TABLE, KEY, done)


def _restore(state, value):
    for serving, pairs in value.items():
        estimates = interference_model.estimates_of(state, serving)
        for filling, (mean, variance) in pairs.items():
            if filling in estimates.rows:
                # Learned meanwhile, from tails that are newer.
                continue
            variance = min(
                interference_model.PRIOR_VARIANCE, VARIANCE_FACTOR * variance
            )
            estimates.add(filling, [mean], [variance])


def _on_tick(state, event, effects):
    shard = state.shard
    if shard is None or not leadership.is_loaded(shard):
        return
    if not shard.handover_read:
        _load(state, effects)
    elif state.now >= shard.handover_at and leadership.may_act(state):
        _save(state, effects)


HANDLERS = {events.Tick: _on_tick}
