"""Calls to the store, and their answers."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events

COMMIT_TIMEOUT_MS = 1_000
READ_TIMEOUT_MS = 1_000


def commit(state, effects, checks, writes, done, timeout_ms=0):
    """Sends a conditional transaction; `done(state, effects, answer)`."""
    op = state.register_callback(done)
    timeout_ms = timeout_ms or COMMIT_TIMEOUT_MS
    effects.append(fx.Commit(op, tuple(checks), tuple(writes), timeout_ms))


def read(state, effects, table, key, done, timeout_ms=0):
    """Reads a row, or a whole table when `key` is empty."""
    op = state.register_callback(done)
    timeout_ms = timeout_ms or READ_TIMEOUT_MS
    effects.append(fx.ReadRows(op, table, key, timeout_ms))


def _on_answer(state, event, effects):
    done = state.callbacks.pop(event.op, None)
    if done is not None:
        done(state, effects, event)


HANDLERS = {events.StoreAnswered: _on_answer}
