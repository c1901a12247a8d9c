"""When to reject a client's request, and when the client may return.

Load pattern: the store refuses or does not answer this node, for some seconds,
while clients keep coming. Waiting for a time-out would use up the time that a
client has for another node, and would leave it without knowing whether its job
runs. So requests that need the store are rejected at once while it is known not
to serve this node; nothing has run then.

Load pattern: the store is away for everyone for some seconds, and clients use
up their few retries before it returns. So they return later the longer it
lasts, and those of less urgent queues a second after the others, which also
spreads their return over two seconds.
"""

# The store is known not to serve this node after this time without an answer.
# Feeds get answers more often, so a single lost answer does not count.
STORE_LOST_MS = 1_000
# Retry-After of a rejection, while another node may serve the client.
RETRY_AFTER_S = 1
# After this time an outage probably concerns more than this node.
LONG_OUTAGE_MS = 1_500
# Addition to Retry-After during such an outage, so that the few retries of a
# client outlast it.
LONG_OUTAGE_RETRY_S = 1
# Addition to Retry-After of all but the most urgent queues.
LATER_RETURN_S = 1


def is_store_lost(store_lost_at: int, now: int) -> bool:
    """Returns whether requests that need the store cannot be served.

    Args:
        store_lost_at: Since when the store has not served this node, in ms; 0
            if it does.
        now: Time in ms of the same clock.
    """
    return bool(store_lost_at) and now - store_lost_at > STORE_LOST_MS


def retry_after_s(store_lost_at: int, now: int, priority: int) -> int:
    """Returns after how many seconds a rejected client may return.

    Args:
        store_lost_at: As for `is_store_lost`.
        now: Time in ms of the same clock.
        priority: Priority of the client's queue; 0 is the highest.
    """
    delay_s = RETRY_AFTER_S
    if not store_lost_at:
        return delay_s
    if now - store_lost_at > LONG_OUTAGE_MS:
        delay_s += LONG_OUTAGE_RETRY_S
    if priority > 0:
        delay_s += LATER_RETURN_S
    return delay_s
