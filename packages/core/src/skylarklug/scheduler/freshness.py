"""How old the configuration is by which this node decides."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events

# Age that is reported before the operator's rows have been read.
UNKNOWN_AGE_MS = -1


def age_ms(state) -> int:
    """Returns for how long changes of the operator's rows may be unknown.

    Returns:
        Time in ms, or `UNKNOWN_AGE_MS` before the rows have been read.
    """
    if state.operator_current_at < 0:
        return UNKNOWN_AGE_MS
    return max(0, state.now - state.operator_current_at)


def measure(state, effects) -> None:
    """Records the age of the configuration by which a request is decided."""
    effects.append(
        fx.Measure("skylarklug.configuration.age", age_ms(state) / 1000, {})
    )


def _on_operator_rows(state, event, effects):
    state.operator_current_at = max(state.operator_current_at, event.current_at)


HANDLERS = {events.OperatorRowsRead: _on_operator_rows}
