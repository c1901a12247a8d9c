"""Error answers, log lines and metrics for the outcome of requests."""

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import limits
from skylarklug import retries
from skylarklug import routing


def refuse(state, effects, req, status: int, wait_ms: float):
    """Answers with an error a request that was not sent to any upstream."""
    answer(state, effects, req, status, retries.NOT_RUN, wait_ms)


def answer(state, effects, req, status: int, outcome: str, wait_ms: float):
    """Answers a request with an error, and logs and counts it.

    `wait_ms` is the expected wait of a new request, from which Retry-After
    is computed for statuses 429 and 503.
    """
    retry_after = 0
    if status in (429, 503):
        retry_after = 1 + int(wait_ms / 1000)
    effects.append(
        fx.AnswerError(
            req.req_id,
            status,
            outcome,
            req.step,
            req.peer,
            req.reason,
            retry_after,
        )
    )
    fields = {
        "req": req.req_id,
        "service": req.service,
        "status": status,
        "outcome": outcome,
        "step": req.step,
        "peer": req.peer,
        "reason": req.reason,
    }
    routing.record_decision(state, effects, fields, "request-failed")
    measure(state, effects, req, outcome)


def measure(state, effects, req, outcome: str):
    """Counts a request by its outcome, and records its duration in seconds."""
    attributes = {"service": req.service, "outcome": outcome}
    effects.append(fx.Measure("skylarklug.requests", 1, attributes))
    seconds = (state.now - req.arrived_at) / 1000
    effects.append(
        fx.Measure("skylarklug.request.duration", seconds, attributes)
    )


def measure_attempt(effects, req):
    """Counts an attempt by its reason: "first", "retry" or "hedge"."""
    attributes = {"service": req.service, "reason": req.attempt_reason}
    effects.append(fx.Measure("skylarklug.attempts", 1, attributes))


def measure_queues(state, effects):
    """Records the queue length and the slots in use of every service."""
    for service, queue in admission.queues(state).items():
        attributes = {"service": service}
        in_use = limits.demand(state, service) - queue.waiting()
        effects.append(
            fx.Measure("skylarklug.queue.length", queue.length, attributes)
        )
        effects.append(
            fx.Measure("skylarklug.slots.in_use", in_use, attributes)
        )
