"""Until when a leader's leases last at most, as later leaders know it.

A leader renews leases without a word to the store. A later leader that does not
reach a worker cannot tell whether a former one still does: it may have ended,
or only have lost the store. So each leader stores a *horizon*, a time on the
store's clock by which all of its leases end, and moves it with each heartbeat.
Whatever happens to the leader, and however many leaders follow, that time does
not move any more.

Leases must also outlast an outage of the store. A leader whose heartbeats are
overdue goes on renewing them only while it has *witnesses*: most workers of the
stored roster have accepted its epoch a short time ago. A new leader first asks
all workers, and those that have answered it reject the former leader. So once
most of them have answered, the former leader has no witnesses any more.
"""

from typing import Any
from typing import NamedTuple

from skylarklug.scheduler import leases

# Leases that are granted while the heartbeats arrive end within this time after
# the heartbeat before.
LIMIT_MS = 6_700
# A leader needs witnesses from this time after its last heartbeat on.
CONFIRMED_MS = 2_000
# A new leader needs longer to reach the workers of a large fleet, so both times
# are longer by this for each worker beyond a number of them, up to a limit.
EXTRA_PER_WORKER_MS = 30
SMALL_FLEET = 30
MAX_EXTRA_MS = 4_000
# Longest lease that is granted with witnesses, in ms of the worker's clock.
WITNESSED_LEASE_MS = 2_500
# How long before a lease is granted its witnesses may have been asked.
WITNESS_AGE_MS = 1_500
# No lease is granted after this time without a heartbeat.
MAX_RENEWAL_MS = 9_000
# Polls wait this long for an end while heartbeats are overdue, so that there
# are always recent witnesses.
WITNESS_WAIT_MS = 500
# Time without a heartbeat after which it is overdue.
OVERDUE_MS = 1_200
# Margin for estimates of a worker's clock.
MARGIN_MS = 200


class Horizon(NamedTuple):
    """When the leases of a leader end, in ms of the store's clock.

    Attributes:
        until: By then all leases have ended that need no witnesses.
        latest: By then all leases have ended.
        witnessed_ms: Leases granted with witnesses end within this time after
            most workers of the roster have accepted another leader, in ms.
    """

    until: int
    latest: int
    witnessed_ms: int


# The horizon of leaders that have granted no lease.
NO_LEASES = Horizon(0, 0, 0)


def _witnessed_lease_ms():
    """Returns the longest lease with witnesses on another clock."""
    return int(WITNESSED_LEASE_MS * (1 + leases.CLOCK_DRIFT)) + MARGIN_MS


def extra_ms(workers: int) -> int:
    """Returns by how much leases last longer in a fleet of this size, in ms."""
    beyond = max(0, workers - SMALL_FLEET)
    return min(MAX_EXTRA_MS, beyond * EXTRA_PER_WORKER_MS)


def granted_from(latest_at: int) -> int:
    """Returns when a leader began to count its leases, from their end."""
    return latest_at - MAX_RENEWAL_MS - _witnessed_lease_ms()


def of_leader(
    reading: leases.ClockReading, base_at: int, extra: int = 0
) -> Horizon | None:
    """Returns the horizon of a leader whose leases count from `base_at`.

    Args:
        reading: A reading of the store's clock.
        base_at: When the heartbeat is sent that stores the horizon, in ms of
            this node's clock.
        extra: What `extra_ms` returns for the fleet.

    Returns:
        The horizon; None if the store's clock is not known.
    """
    if not reading.store_ms:
        return None
    latest_at = base_at + MAX_RENEWAL_MS + _witnessed_lease_ms()
    return Horizon(
        leases.latest_store_ms(reading, base_at + LIMIT_MS + extra),
        leases.latest_store_ms(reading, latest_at),
        WITNESS_AGE_MS + _witnessed_lease_ms(),
    )


def encode(horizon: Horizon | None) -> list[int] | None:
    """Returns the value of a horizon in a row."""
    return None if horizon is None else list(horizon)


def decode(value: Any) -> Horizon | None:
    """Returns a stored horizon; None if there is none, or it is malformed."""
    if not isinstance(value, list) or len(value) != len(Horizon._fields):
        return None
    for number in value:
        if type(number) is not int or number < 0:
            return None
    return Horizon(*value)


def later(one: Horizon | None, other: Horizon | None) -> Horizon | None:
    """Returns a horizon that covers the leases of both; None if unknown."""
    if one is None or other is None:
        return one or other
    pairs = zip(one, other, strict=True)
    return Horizon(*(max(pair) for pair in pairs))


# ------------------------------------------------------------------- granting


def longest_lease_ms(state) -> int:
    """Returns how long a lease may be that is granted now.

    Returns:
        Milliseconds of the worker's clock; 0 if none may be granted.
    """
    leader = state.leader
    if leader is None or not leader.leases_from:
        return 0
    age_ms = state.now - leader.leases_from
    longest_ms = state.cfg.max_lease_ms
    if age_ms < CONFIRMED_MS + leader.lease_extra_ms:
        left_ms = LIMIT_MS + leader.lease_extra_ms - MARGIN_MS - age_ms
        return min(longest_ms, int(left_ms / (1 + leases.CLOCK_DRIFT)))
    if age_ms >= MAX_RENEWAL_MS or not has_witnesses(state):
        return 0
    return min(longest_ms, WITNESSED_LEASE_MS)


def is_renewing(state) -> bool:
    """Returns whether this leader may still renew leases, with witnesses."""
    leader = state.leader
    if leader is None or not leader.leases_from:
        return False
    return state.now - leader.leases_from < MAX_RENEWAL_MS


def is_overdue(state) -> bool:
    """Returns whether the next heartbeat has been due for a while."""
    leader = state.leader
    return state.now - leader.leases_from >= OVERDUE_MS


def has_witnesses(state) -> bool:
    """Returns whether most workers of the stored roster are witnesses.

    While the outcome of a commit of the roster is unknown, any of several may
    be the stored one, and the witnesses are the majority of each of them.
    """
    leader = state.leader
    names = set().union(*leader.stored_rosters)
    smallest = min((len(names) for names in leader.stored_rosters), default=0)
    missing = 0
    for name in names:
        worker = leader.workers.get(name)
        if worker is None or not _is_witness(state, worker):
            missing += 1
    return 2 * missing < smallest


def _is_witness(state, worker):
    # A worker that has restarted has forgotten the epochs of newer leaders.
    if not worker.fenced or state.leader.confirmed_at < worker.reached_at:
        return False
    return state.now - worker.asked_at <= WITNESS_AGE_MS
