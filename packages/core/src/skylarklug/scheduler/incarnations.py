"""Which incarnation of a worker has got a start.

A worker that restarts under its name numbers the ends of its runs anew, and a
poll that acknowledges a number of the former incarnation would let it forget
ends that nobody has read. The poll itself does not name an incarnation. But a
new incarnation has no ends before it gets a start, so ends are acknowledged
only while it is certain that no start has reached a later incarnation than the
one that reported them.

Load pattern: a worker gets a start whenever a run has ended there, just before
the poll that acknowledges that end. If each such poll acknowledged nothing, it
would return at once, and a busy leader would send twice as many polls. So the
worker's clock in the answer to a start, which begins anew with each
incarnation, verifies most starts without a poll.
"""

from skylarklug.scheduler import leases

# Rounding of two readings of a clock.
CLOCK_MARGIN_MS = 5


def acknowledgeable_end(worker) -> int:
    """Returns up to which number a worker may forget its ends now."""
    if worker.failed_polls or worker.unverified_starts:
        return 0
    return worker.acknowledged


def on_start_sent(worker, task):
    """Notes an order to start a task."""
    worker.unverified_starts[task.key, task.attempt] = 0


def on_start_answered(state, event):
    """Notes the answer to a start, or that there is none."""
    worker = state.leader.workers.get(event.worker)
    start_id = (event.key, event.attempt)
    if worker is None or start_id not in worker.unverified_starts:
        return
    if _is_by_polled_incarnation(state, worker, event):
        del worker.unverified_starts[start_id]
    else:
        worker.unverified_starts[start_id] = state.now
    is_in_flight = 0 in worker.unverified_starts.values()
    if worker.awaits_verification and not is_in_flight:
        # The next poll acknowledges ends, or verifies the starts.
        worker.awaits_verification = False
        worker.poll_due_at = min(worker.poll_due_at, state.now)


def verify_starts(worker, asked_at):
    """Removes the starts that preceded a poll which the worker has answered.

    A connection does not outlast a process, so the incarnation that has
    answered the poll, or an earlier one, got them.
    """
    for start_id, answered_at in list(worker.unverified_starts.items()):
        if 0 < answered_at <= asked_at:
            del worker.unverified_starts[start_id]


def _is_by_polled_incarnation(state, worker, event):
    """Returns whether the incarnation polled last has answered a start.

    Its clock has then gone on since the poll. The clock of a later incarnation
    is behind by the age that the polled one had reached.
    """
    if event.clock_ms < 0 or not worker.fenced:
        return False
    clock_ms, polled_at = worker.clock
    shortest_ms = event.sent_at - polled_at
    longest_ms = state.now - worker.asked_at
    error_ms = CLOCK_MARGIN_MS + leases.CLOCK_DRIFT * max(
        abs(shortest_ms), longest_ms
    )
    least_age_ms = worker.asked_at - worker.reached_at
    if least_age_ms <= longest_ms - shortest_ms + error_ms:
        # A later incarnation may have reached the same age.
        return False
    elapsed_ms = event.clock_ms - clock_ms
    return shortest_ms - error_ms <= elapsed_ms <= longest_ms + error_ms
