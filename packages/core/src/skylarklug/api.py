"""The public interface of the decision core."""

from typing import Any
from typing import NamedTuple

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


def replay(stream) -> Replay:
    """Replays a recorded trace through a fresh reducer.

    Args:
        stream: Binary file of a trace.

    Raises:
        TraceError: The trace is damaged or of an unsupported version.
    """
    state = new_state()
    observer = invariants.Observer()
    digest = b""
    seen = 0
    performed = 0
    for event in trace.read(stream):
        produced = reduce(state, event)
        observer.observe(event, produced)
        digest = trace.digest(produced, digest)
        seen += 1
        performed += len(produced)
    return Replay(
        seen, performed, digest.hex(), observer.counts, observer.violations
    )
