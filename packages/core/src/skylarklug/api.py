"""The public interface of the decision core."""

from typing import Any
from typing import NamedTuple

from skylarklug import exceptions
from skylarklug import invariants
from skylarklug import reducer
from skylarklug import trace

new_state = reducer.new_state
reduce = reducer.reduce


class Replay(NamedTuple):
    """Result of a replay.

    Attributes:
        events: Number of events read.
        effects: Number of effects produced.
        digest: SHA-256 of all effects. Equal digests mean identical effects.
        counts: Counters of `invariants.Observer`.
        violations: Violations found by `invariants.Observer`.
    """

    events: int
    effects: int
    digest: str
    counts: dict[str, Any]
    violations: list[invariants.Violation]


def _reduce_recorded(state, event, position):
    """Reduces one recorded event.

    Recorded answers contain the operation ids that the recording version
    assigned. Another version may assign such an id to a different operation
    and then fail on the answer.

    Raises:
        TraceError: The reducer failed on the event.
    """
    try:
        return reduce(state, event)
    except Exception as exc:
        raise exceptions.TraceError(
            f"event {position} ({type(event).__name__}) does not fit the"
            f" decisions of this version: {exc!r}; replay the trace with the"
            " version that recorded it",
            step="replay",
        ) from exc


def replay(stream) -> Replay:
    """Replays a recorded trace from an initial state.

    Args:
        stream: Trace as a binary file.

    Raises:
        TraceError: The trace is damaged, its format version is not supported,
            or its events do not fit the decisions of this version.
    """
    state = new_state()
    observer = invariants.Observer()
    digest = b""
    event_count = 0
    effect_count = 0
    for event in trace.read(stream):
        produced = _reduce_recorded(state, event, event_count)
        observer.observe(event, produced)
        digest = trace.digest(produced, digest)
        event_count += 1
        effect_count += len(produced)
    return Replay(
        event_count,
        effect_count,
        digest.hex(),
        observer.counts,
        observer.violations,
    )
