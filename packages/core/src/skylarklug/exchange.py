"""Records of an open request and of its attempts."""


class Attempt:
    """One attempt; `node` is set instead of `worker` when it is forwarded."""

    __slots__ = ("worker", "node", "started", "sent", "stalled")

    def __init__(self, worker, node, started):
        self.worker = worker
        self.node = node
        self.started = started
        self.sent = False
        self.stalled = False


class Request:
    """A request whose exchange with the caller is open.

    Attributes:
        deadline: Monotonic milliseconds.
        queued: Whether it waits for a slot.
        attempts: Attempts in flight by number.
        attempt_count: Attempts started so far.
        excluded: Worker or node of the last failed attempt.
        may_have_run: Whether an ended attempt may have run.
        attempt_reason: Reason of the next attempt: "first" or "retry".
        relayed_attempt: Number of the attempt whose answer is passed on, or 0.
        step, peer, reason: What failed last.
    """

    __slots__ = (
        "req_id",
        "service",
        "idempotent",
        "caller",
        "hops",
        "arrived",
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
        self.arrived = event.at
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
