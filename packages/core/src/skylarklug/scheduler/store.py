"""Store calls and the dispatch of their answers."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leases

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


def clock_reading(answer) -> leases.ClockReading:
    """Returns the reading of the store's clock in an answer."""
    return leases.ClockReading(answer.store_ms, answer.sent_at, answer.at)


def _on_answer(state, event, effects):
    if event.status == "ok" and event.store_ms:
        state.store_clock = clock_reading(event)
    callback = state.callbacks.pop(event.op, None)
    if callback is not None:
        callback(state, effects, event)


HANDLERS = {events.StoreAnswered: _on_answer}
