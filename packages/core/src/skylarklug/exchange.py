"""State of an open request and of its attempts."""


class Attempt:
    """An attempt of a request, sent to a worker or forwarded to a node.

    Attributes:
        worker: The worker; empty for a forwarded attempt.
        node: The node it was forwarded to; empty for a worker's attempt.
        started: Monotonic time in milliseconds.
        sent: Whether the adapter has reported it as sent.
        stalled: Whether it has been counted as stalled.
    """

    __slots__ = ("worker", "node", "started_at", "sent", "stalled")

    def __init__(self, worker, node, started_at):
        self.worker = worker
        self.node = node
        self.started_at = started_at
        self.sent = False
        self.stalled = False


class Request:
    """A request whose exchange with the caller is open.

    Attributes:
        deadline: Monotonic time in milliseconds.
        queued: Whether it waits in the queue of its service.
        attempts: Attempts in flight by number.
        attempt_count: Attempts started so far.
        excluded: Worker or node that the next attempt must not use.
        may_have_run: Whether the upstream may have run a failed attempt.
        attempt_reason: Reason of the latest or next attempt: "first", "retry"
            or "hedge".
        relayed_attempt: Number of the attempt whose answer is relayed, or 0.
        step, peer, reason: Step, peer and reason of the last failure.
    """

    __slots__ = (
        "req_id",
        "service",
        "idempotent",
        "caller",
        "hops",
        "arrived_at",
        "deadline",
        "queued",
        "attempts",
        "attempt_count",
        "excluded",
        "may_have_run",
        "attempt_reason",
        "relayed_attempt",
        "step",
        "peer",
        "reason",
    )

    def __init__(self, event, deadline):
        self.req_id = event.req_id
        self.service = event.service
        self.idempotent = event.idempotent
        self.caller = event.caller
        self.hops = event.hops
        self.arrived_at = event.at
        self.deadline = deadline
        self.queued = False
        self.attempts: dict[int, Attempt] = {}
        self.attempt_count = 0
        self.excluded = ""
        self.may_have_run = False
        self.attempt_reason = "first"
        self.relayed_attempt = 0
        self.step = ""
        self.peer = ""
        self.reason = ""
