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

    `digest` is the SHA-256 over all effects; equal digests mean identical
    effects. `counts` and `violations` are those of `invariants.Observer`.
    """

    events: int
    effects: int
    digest: str
    counts: dict[str, Any]
    violations: list[invariants.Violation]


def _reduce_recorded(state, event, position):
    """Reduces one recorded event.

    Recorded answers carry the operation ids of the code that asked. Other
    code may give such an id to another question and then fail on the answer.
    """
    try:
        return reduce(state, event)
    except Exception as exc:
        raise exceptions.TraceError(
            f"event {position} ({type(event).__name__}) does not fit these"
            f" decisions: {exc!r}; replay it with the code that recorded it",
            step="replay",
        ) from exc


def replay(stream) -> Replay:
    """Replays a recorded trace through a fresh reducer.

    Args:
        stream: Binary file of a trace.

    Raises:
        TraceError: The trace is damaged, of an unsupported version, or does
            not fit the decisions of this code.
    """
    state = new_state()
    observer = invariants.Observer()
    digest = b""
    seen = 0
    performed = 0
    for event in trace.read(stream):
        produced = _reduce_recorded(state, event, seen)
        observer.observe(event, produced)
        digest = trace.digest(produced, digest)
        seen += 1
        performed += len(produced)
    return Replay(
        seen, performed, digest.hex(), observer.counts, observer.violations
    )
