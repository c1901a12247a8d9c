"""Order in which waiting tasks are placed.

Load pattern: for some seconds more batch work arrives than fits, and jobs that
are late already must not hold back those that can still be on time. So jobs go
by deadline; late ones come after all others of their priority, and those that
earn nothing any more come last, but still run. docs/platform.md lists the other
orders that were tried.
"""

from typing import NamedTuple

# A job that takes longer than this many times the time until its deadline earns
# nothing. It still runs, but after all jobs that can earn something.
EXPIRY_FACTOR = 3
# Values of `lateness`.
ON_TIME = 0
LATE = 1
EXPIRED = 2


class Urgency(NamedTuple):
    """What decides when the waiting tasks of a step are placed.

    Times are in Unix milliseconds.

    Attributes:
        priority: Priority of the queue; 0 is the highest.
        accepted_ms: When the job was accepted.
        deadline: Time after which the job is late.
        has_deadline: False for long-running and for timed tasks.
    """

    priority: int
    accepted_ms: int
    deadline: int
    has_deadline: bool


def lateness(urgency: Urgency, now_ms: int) -> int:
    """Returns `ON_TIME`, `LATE` or `EXPIRED`."""
    if not urgency.has_deadline or now_ms <= urgency.deadline:
        return ON_TIME
    allowed_ms = urgency.deadline - urgency.accepted_ms
    if now_ms <= urgency.accepted_ms + EXPIRY_FACTOR * allowed_ms:
        return LATE
    return EXPIRED


def sort_key(urgency: Urgency, now_ms: int) -> tuple:
    """Returns the key by which waiting tasks are placed, lowest first."""
    return (urgency.priority, lateness(urgency, now_ms), urgency.deadline)
