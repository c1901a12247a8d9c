"""Reasons why a task waits, for logs, metrics and explanations."""

# The job's start is not committed yet, so no worker may know of it.
NOT_RECORDED = "start-not-recorded"
# A former leader may have started it on a worker that has not answered yet.
NOT_SETTLED = "leader-not-settled"
# The store may still say that it waits, and a later leader would start it.
RECORDED = "recorded-as-waiting"
# It is not due yet, or was just refused or failed.
DELAYED = "delayed"
# Other members of its gang are not ready, or do not fit.
GANG = "gang"
# Too many start orders are unanswered.
ORDERS = "orders-in-flight"
# No worker of its service is up, listed and answers.
NO_WORKER = "no-worker"
# The advice service has not allowed a worker yet.
ADVICE = "advice"
# Each worker lacks CPU, memory or accelerators, or has enough of its tasks.
RESOURCES = "resources"
# It would slow serving tasks down, or be slowed down, on each worker.
INTERFERENCE = "interference"
# What is free is kept for short tasks.
RESERVE = "reserve"
# Room on a worker is kept free for it until it fits.
RESERVATION = "reservation"
# It may have crashed a worker: that is not committed yet, or no other worker
# with room can be kept free for it now.
TRIAL = "trial"
# It failed on the workers on which it fits, or they are in quarantine.
QUARANTINE = "quarantine"

ALL = (
    NOT_RECORDED,
    NOT_SETTLED,
    RECORDED,
    DELAYED,
    GANG,
    ORDERS,
    NO_WORKER,
    ADVICE,
    RESOURCES,
    INTERFERENCE,
    RESERVE,
    RESERVATION,
    TRIAL,
    QUARANTINE,
)


def count_by_reason(ready) -> dict[str, int]:
    """Returns the number of waiting tasks by reason, of all reasons.

    Args:
        ready: Groups of waiting tasks; the first task of a group stands for
            all of it.
    """
    counts = dict.fromkeys(ALL, 0)
    for group in ready:
        task = next(iter(group.values()))
        counts[task.wait_reason or ORDERS] += len(group)
    return counts
