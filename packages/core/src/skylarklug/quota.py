"""Team quotas and fair share."""

HANDLERS = {}


def new_state():
    """Returns the state without usage."""
    return {}


def charge(state, partition, team, size, sign):
    """Counts a reservation (sign 1) or its release (sign -1)."""


def share(state, partition, team) -> float:
    """Returns the weighted share of the partition that the team uses."""
    return 0.0


def admits(state, effects, partition, team, size) -> bool:
    """Says whether the team may start a task of this size now."""
    return True
