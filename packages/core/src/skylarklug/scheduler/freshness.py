"""How old the configuration is by which this node decides.

A node may answer "no such queue", or serve a queue, only by a configuration
that was in force a short time ago. Otherwise it can't know: a later version may
have added or removed the queue.

Load pattern: the store refuses this node for seconds while it serves others and
the operator, an open connection to it goes silent, or the process was
suspended. The node then asks other nodes (`peers`) and the store once more. A
request that needs the answer waits for it, but not while such a round has just
failed.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import peers

TABLE = "operator"
# Stands for the store among those that a round asks.
STORE = "store"
# Age that is reported before the operator's rows have been read.
UNKNOWN_AGE_MS = -1
# Wait of a long poll of the operator's rows, as a share of the age that the
# configuration may have. The rows are known as of the start of the last poll
# that was answered, so that they get older than two waits.
WATCH_WAIT_SHARE = 0.35
# A poll is late if it is not answered this long after its wait.
LATE_ANSWER_MS = 250
# Interval of rounds while the store does not tell of changes.
ROUND_INTERVAL_MS = 250
# Longest time that a request waits for a round.
ROUND_TIMEOUT_MS = 300
# For this time after a failed round a request does not wait for another one.
FAILED_ROUND_MS = 500


def watch_wait_ms(cfg) -> int:
    """Returns the wait of a long poll of the operator's rows."""
    return int(cfg.configuration_age_ms * WATCH_WAIT_SHARE)


def age_ms(state) -> int:
    """Returns for how long changes of the operator's rows may be unknown.

    Returns:
        Time in ms, or `UNKNOWN_AGE_MS` before the rows have been read.
    """
    return age_ms_at(state, state.now)


def age_ms_at(state, at: int) -> int:
    """Returns the same at a time in ms of the clock of events."""
    if state.operator_current_at < 0:
        return UNKNOWN_AGE_MS
    return max(0, at - state.operator_current_at)


def is_current(state) -> bool:
    """Returns whether requests may be decided by the configuration."""
    if state.configuration is None or state.operator_current_at < 0:
        return False
    return state.now <= current_until(state)


def current_until(state) -> int:
    """Returns until when requests may be decided by the configuration."""
    return state.operator_current_at + state.cfg.configuration_age_ms


def may_become_current(state) -> bool:
    """Returns whether it is worth to wait for a round."""
    if state.round_failed_at < 0:
        return True
    return state.now - state.round_failed_at >= FAILED_ROUND_MS


def confirm(state, effects) -> None:
    """Starts a round that asks other nodes and the store for newer rows."""
    if state.round_started_at >= 0:
        return
    state.round_started_at = state.now
    state.round_awaited = set(peers.ask_some(state, effects))
    # A feed that fails is repeated at short intervals anyway.
    if not state.operator_feed_failed:
        effects.append(fx.ReadOperatorRows())
        state.round_awaited.add(STORE)
    if not state.round_awaited:
        _end_round(state)


def is_round_over(state) -> bool:
    """Returns whether no round is in progress."""
    return state.round_started_at < 0


def measure(state, effects) -> None:
    """Records the age of the configuration by which a request is decided."""
    effects.append(
        fx.Measure("skylarklug.configuration.age", age_ms(state) / 1000, {})
    )


def _end_round(state):
    state.round_started_at = -1
    state.round_failed_at = -1 if is_current(state) else state.now


def _is_feed_silent(state):
    """Returns whether the feed does not tell of changes at the moment."""
    if state.operator_feed_failed:
        return True
    since = max(state.operator_answered_at, state.started_at)
    return state.now - since > watch_wait_ms(state.cfg) + LATE_ANSWER_MS


def _record_answer(state, effects, current_at):
    state.operator_current_at = max(state.operator_current_at, current_at)
    _report(state, effects)


def _record_round_answer(state, source):
    if is_round_over(state):
        return
    state.round_awaited.discard(source)
    if is_current(state) or not state.round_awaited:
        _end_round(state)


def _report(state, effects):
    """Logs when the configuration gets too old, and when it is current."""
    current = is_current(state)
    if state.configuration is None or current == state.configuration_current:
        return
    state.configuration_current = current
    fields = {
        "version": state.configuration.version,
        "current": current,
        "age_ms": age_ms(state),
        "peers": len(state.peers),
    }
    effects.append(fx.Log("info", "configuration-age", fields))


def _on_operator_rows(state, event, effects):
    state.operator_answered_at = state.now
    state.operator_feed_failed = False
    _record_answer(state, effects, event.current_at)
    _record_round_answer(state, STORE)


def _on_peer_answered(state, event, effects):
    _record_answer(state, effects, event.current_at)
    _record_round_answer(state, event.address)


def _on_read_failed(state, event, effects):
    _record_round_answer(state, STORE)


def _on_feed_failed(state, event, effects):
    if event.table == TABLE:
        state.operator_feed_failed = True


def _on_tick(state, event, effects):
    _report(state, effects)
    if not is_round_over(state):
        if state.now - state.round_started_at >= ROUND_TIMEOUT_MS:
            _end_round(state)
    if not _is_feed_silent(state) or state.now < state.round_due_at:
        return
    state.round_due_at = state.now + ROUND_INTERVAL_MS
    confirm(state, effects)


HANDLERS = {
    events.FeedFailed: _on_feed_failed,
    events.OperatorRowsRead: _on_operator_rows,
    events.OperatorRowsUnread: _on_read_failed,
    events.PeerAnswered: _on_peer_answered,
    events.Tick: _on_tick,
}
