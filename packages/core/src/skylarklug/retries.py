"""Classification of failed attempts, and the budget for retries and hedges."""

from skylarklug import events

NOT_RUN = "not run"
UNKNOWN = "unknown"

# Retries and hedges per arrived request.
BUDGET_FRACTION = 0.1
# Time constant of the decayed count of arrived requests, from which the size of
# the bucket is computed.
BUDGET_WINDOW_MS = 10_000
# Smallest size of the bucket, so that a node with little traffic can retry.
BUDGET_MIN_TOKENS = 3.0


class RetriesState:
    """A token bucket for 10% of the requests of the last 10 s.

    Attributes:
        tokens: Tokens left; each retry or hedge uses one.
        recent_requests: Decayed number of arrived requests.
        updated_at: Time of the last decay.
        spent: Tokens withdrawn and not refunded.
        denied: Retries and hedges denied because no token was left.
    """

    def __init__(self):
        self.tokens = BUDGET_MIN_TOKENS
        self.recent_requests = 0.0
        self.updated_at = 0
        self.spent = 0
        self.denied = 0


def new_state() -> RetriesState:
    """Returns the initial state, a full bucket of the smallest size."""
    return RetriesState()


def classify(sent: bool, refused: bool) -> str:
    """Returns the outcome of one failed attempt.

    The request did not run only if the upstream refused it, or if no byte of
    it can have reached the upstream.
    """
    return UNKNOWN if sent and not refused else NOT_RUN


def may_repeat(idempotent: bool, outcome: str) -> bool:
    """Returns whether the request may be sent again after this outcome."""
    return idempotent or outcome == NOT_RUN


def deposit(state):
    """Adds the tokens of one arrived request."""
    bucket = state.domains["retries"]
    _decay(bucket, state.now)
    bucket.recent_requests += 1
    capacity = max(BUDGET_MIN_TOKENS, bucket.recent_requests * BUDGET_FRACTION)
    bucket.tokens = min(capacity, bucket.tokens + BUDGET_FRACTION)


def withdraw(state) -> bool:
    """Withdraws a token for a retry or hedge; returns False if none is left."""
    bucket = state.domains["retries"]
    if bucket.tokens < 1.0:
        bucket.denied += 1
        return False
    bucket.tokens -= 1.0
    bucket.spent += 1
    return True


def refund(state):
    """Refunds the token of a retry or hedge that was not sent."""
    bucket = state.domains["retries"]
    bucket.tokens += 1.0
    bucket.spent -= 1


def _decay(bucket, now):
    elapsed_ms = now - bucket.updated_at
    if elapsed_ms <= 0:
        return
    bucket.updated_at = now
    bucket.recent_requests *= max(0.0, 1.0 - elapsed_ms / BUDGET_WINDOW_MS)


def _on_started(state, event, effects):
    state.domains["retries"].updated_at = event.at


HANDLERS = {events.NodeStarted: _on_started}
