"""Calls to domains that may be absent, with the defaults that then apply.

A node without a partition owner, such as one in a unit test, routes with base
shares. Tests replace these functions.
"""


def owner_of(state, partition: str) -> str:
    """Returns the node last known as owner, or "" when none is known."""
    if "ownership" not in state.domains:
        return ""
    from skylarklug import ownership

    return ownership.owner_of(state, partition)


def epoch_of(state, partition: str) -> int:
    """Returns the epoch held by this node, 0 when it is not the owner."""
    if "ownership" not in state.domains:
        return 0
    from skylarklug import ownership

    return ownership.epoch_of(state, partition)


def mode(state) -> str:
    """Returns "held", "detached" or "suspended"."""
    if "ownership" not in state.domains:
        return "held"
    from skylarklug import ownership

    return ownership.mode(state)


def release_all(state, effects, done):
    """Releases all partitions and the node lease, then calls `done`."""
    if "ownership" not in state.domains:
        done(state, effects, None)
        return
    from skylarklug import ownership

    ownership.release_all(state, effects, done)
