"""Persists interference coefficients for the next leader.

Estimating the coefficients takes half a minute, during which best-effort tasks
slow serving tasks down. The leader periodically writes them to the store, and
a new leader starts with the stored ones.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import interference_model
from skylarklug.scheduler import leadership
from skylarklug.scheduler import store

TABLE = "handover"
KEY = "pressure"
# A new leader lacks at most the measurements of this time. One write of a few
# kilobytes costs as much as four heartbeats.
SAVE_INTERVAL_MS = 3_000
# A row of the store holds 64 KiB; a coefficient takes about 100 bytes for two
# image names and two numbers.
MAX_COEFFICIENTS = 400
# A coefficient is stored once its variance is at most this share of the prior
# variance.
MAX_VARIANCE_SHARE = 0.5
# Factor on the variance of a restored coefficient, because it may be outdated.
RESTORED_VARIANCE_FACTOR = 2.0


def _known_coefficients(leader):
    """Returns [mean, variance] of coefficients, by serving and other image."""
    value = {}
    count = 0
    for serving, estimates in leader.estimates.items():
        for name, row in estimates.rows.items():
            variance = estimates.covariance[row][row]
            if name in estimates.loads_at or count == MAX_COEFFICIENTS:
                continue
            if (
                variance
                > MAX_VARIANCE_SHARE * interference_model.PRIOR_VARIANCE
            ):
                continue
            entry = [round(estimates.mean[row], 2), round(variance, 3)]
            value.setdefault(serving, {})[name] = entry
            count += 1
    return value


def _save(state, effects):
    leader = state.leader
    value = _known_coefficients(leader)
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
    for serving, coefficients in value.items():
        estimates = interference_model.estimates_of(state, serving)
        for best_effort_image, (mean, variance) in coefficients.items():
            if best_effort_image in estimates.rows:
                # Already estimated from newer measurements.
                continue
            variance = min(
                interference_model.PRIOR_VARIANCE,
                RESTORED_VARIANCE_FACTOR * variance,
            )
            estimates.add(best_effort_image, [mean], [variance])


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
