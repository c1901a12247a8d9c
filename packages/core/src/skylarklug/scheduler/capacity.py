"""Whether the known capacity of a worker is recent enough to start tasks.

A worker's capacity may shrink at any time; its entry in the platform's list
shows it. Workers of most services reject what does not fit. The workers of the
others start whatever they are told to, so a leader only starts tasks on them by
entries that it has read a short time ago.

Load pattern: the store is away for some seconds, for this node or for everyone.
Meanwhile workers shrink. A leader acts on for some seconds. When the store
returns, the entries are as old as the outage until the workers have written
them again.
"""

from skylarklug.scheduler import leadership

# Workers that reach the store have written their entries this long after its
# return.
ENTRY_REFRESH_MS = 2_000
# Time in which a worker that could not write an entry writes the next one, and
# a leader reads it.
NEXT_ENTRY_MS = 1_800
# Longest time in which an order is answered, and the jitter of entries.
MARGIN_MS = 500


def is_enforced(state, service) -> bool:
    """Returns whether a service's workers reject what does not fit."""
    cfg = state.configuration
    return cfg is None or service not in cfg.unguarded_services


def is_current(state, worker) -> bool:
    """Returns whether tasks may start by the capacity in a worker's entry."""
    if is_enforced(state, worker.entry.service):
        return True
    if 0 < worker.entry.incarnation < worker.incarnation:
        return False
    read_at = state.leader.entries_read_at
    if read_at < state.store_returned_at + ENTRY_REFRESH_MS:
        return False
    return state.now < _entries_valid_until(state)


def is_exceeded(worker) -> bool:
    """Returns whether the runs on a worker need more than it has now."""
    pairs = zip(worker.used, worker.entry.capacity, strict=True)
    return any(used > capacity for used, capacity in pairs)


def starts_valid_until(state, worker) -> int:
    """Returns until when a start that is ordered now may be sent."""
    valid_until = leadership.orders_valid_until(state)
    if is_enforced(state, worker.entry.service):
        return valid_until
    return min(valid_until, _entries_valid_until(state))


def record_entries_read(state) -> None:
    """Records an answer of the feed of worker entries.

    The feed sends each read after the answer to the previous one, so this
    answer is at most as old as that one was received.
    """
    leader = state.leader
    leader.entries_read_at = leader.entries_answered_at
    leader.entries_answered_at = state.now


def record_store_served(state) -> None:
    """Records that the store has served this node.

    After a time without an answer, the store may have been away for workers.
    """
    if state.now - state.store_served_at > (
        state.cfg.entry_notice_ms - NEXT_ENTRY_MS
    ):
        state.store_returned_at = state.now
    state.store_served_at = state.now


def _entries_valid_until(state):
    return state.leader.entries_read_at + state.cfg.entry_notice_ms - MARGIN_MS
