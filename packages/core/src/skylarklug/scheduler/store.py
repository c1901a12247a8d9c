"""Store calls and the dispatch of their answers."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events

# Default time limit of a transaction.
COMMIT_TIMEOUT_MS = 1_000
# Default time limit of a read.
READ_TIMEOUT_MS = 1_000


def commit(state, effects, checks, writes, callback, timeout_ms=0):
    """Sends a conditional transaction.

    `callback(state, effects, answer)` is called with the answer.
    """
    op = state.register_callback(callback)
    timeout_ms = timeout_ms or COMMIT_TIMEOUT_MS
    effects.append(fx.Commit(op, tuple(checks), tuple(writes), timeout_ms))


def read(state, effects, table, key, callback, timeout_ms=0):
    """Reads a row, or a whole table when `key` is empty."""
    op = state.register_callback(callback)
    timeout_ms = timeout_ms or READ_TIMEOUT_MS
    effects.append(fx.ReadRows(op, table, key, timeout_ms))


def _on_answer(state, event, effects):
    callback = state.callbacks.pop(event.op, None)
    if callback is not None:
        callback(state, effects, event)


HANDLERS = {events.StoreAnswered: _on_answer}
