"""The life cycle of a request, from its arrival to its answer.

A request is sent to a worker, forwarded to another data centre, queued or
refused. Failed attempts are retried and slow ones are hedged.

For each request exactly one of `RelayAnswer` and `AnswerError` is emitted,
unless the caller disconnects first. After `RelayAnswer` the adapter streams
the answer to the caller, or closes the caller's connection if the upstream
fails.
"""

import heapq
import itertools

from skylarklug import admission
from skylarklug import effects as fx
from skylarklug import events
from skylarklug import exchange
from skylarklug import health
from skylarklug import limits
from skylarklug import outcomes
from skylarklug import retries
from skylarklug import routing
from skylarklug import spill
from skylarklug import workers

# No attempt is started when less time than this remains until the deadline.
MIN_ATTEMPT_TIME_MS = 5
# A hedge is considered after the service's 95th percentile, but not before
# this; a hedge that is not allowed yet is considered again after this time.
HEDGE_MIN_DELAY_MS = 50
# Fraction of a service's workers that must be free to hedge a slow request
# whose worker is not suspect.
HEDGE_MIN_FREE_FRACTION = 0.8
# A relayed request is discarded this long after its deadline. The adapter ends
# every attempt at its timeout, so this happens only if its report is lost.
REPORT_GRACE_MS = 5_000
# A longer gap between ticks means that this node was paused. Hedges that came
# due meanwhile are discarded: the delay says nothing about the workers.
PAUSE_THRESHOLD_MS = 500
# Interval between measurements of queue lengths and slots in use.
MEASURE_INTERVAL_MS = 1_000
# Waiting retries that are attempted in one run of `_dispatch_queue`.
MAX_RETRIES_PER_DISPATCH = 4
# Requests of one service that may be forwarded from each of its two waiting
# lists, retries and queue, in one tick.
MAX_SPILLS_PER_TICK = 8


class RequestsState:
    """Open requests, and heaps of times at which they are checked.

    Attributes:
        open: Requests whose exchange with the caller is open, by id.
        deadlines: (time, request id).
        hedge_times: (time, request id, attempt number).
        delayed_releases: (time, worker) of the slots of cancelled attempts,
            which are released at that time.
        last_tick: Time of the last tick.
        next_measurement: Time of the next measurement of queues.
    """

    def __init__(self):
        self.open: dict[str, exchange.Request] = {}
        self.deadlines: list[tuple[int, str]] = []
        self.hedge_times: list[tuple[int, str, int]] = []
        self.delayed_releases: list[tuple[int, str]] = []
        self.last_tick = 0
        self.next_measurement = 0


def new_state() -> RequestsState:
    """Returns the initial state, without requests."""
    return RequestsState()


def _domain(state) -> RequestsState:
    return state.domains["requests"]


def in_flight(state) -> int:
    """Returns the number of requests whose exchange with the caller is open."""
    return len(_domain(state).open)


def end_all(state, effects):
    """Ends every open request at the end of a graceful stop.

    Requests without an answer get an error; those whose answer is being
    relayed are discarded.
    """
    for req in list(_domain(state).open.values()):
        if req.relayed_attempt:
            _discard_request(state, effects, req)
            continue
        req.step, req.reason = "drain", "node stops"
        _answer_error(state, effects, req, 503)


def _on_arrived(state, event, effects):
    retries.deposit(state)
    cfg = admission.config(state, event.service)
    timeout_ms = event.deadline_ms or cfg.timeout_ms
    req = exchange.Request(event, state.now + timeout_ms)
    if not _is_known_service(state, event.service):
        list_known = workers.has_vm_list(state)
        req.step = "admission"
        req.reason = "unknown service" if list_known else "no VM list yet"
        outcomes.refuse(state, effects, req, 404 if list_known else 503, 0)
        return
    domain = _domain(state)
    domain.open[req.req_id] = req
    limits.add_demand(state, req.service, 1)
    heapq.heappush(domain.deadlines, (req.deadline, req.req_id))
    queue = admission.queue(state, req.service)
    if not queue.length and _start_attempt(state, effects, req):
        return
    wait_ms = spill.expected_wait(state, req.service)
    if _forward_attempt(state, effects, req, wait_ms):
        return
    if not routing.has_workers(state, req.service):
        req.step, req.reason = "admission", "no worker of the service"
        _remove_request(state, effects, req)
        outcomes.refuse(state, effects, req, 503, 0)
        return
    _enqueue(state, effects, req, queue, cfg, wait_ms)


def _is_known_service(state, service):
    if admission.is_configured(state, service):
        return True
    return bool(workers.of_service(state, service))


def _enqueue(state, effects, req, queue, cfg, wait_ms):
    remaining_ms = req.deadline - state.now
    if wait_ms + health.typical_latency(state, req.service) > remaining_ms:
        req.step, req.reason = "admission", "deadline cannot be met"
        _remove_request(state, effects, req)
        outcomes.refuse(state, effects, req, 503, wait_ms)
        return
    if queue.length >= cfg.queue_limit:
        largest = queue.largest_caller()
        if queue.count(req.caller) + 1 >= queue.count(largest):
            req.step, req.reason = "admission", "queue is full"
            _remove_request(state, effects, req)
            status = 429 if queue.count(req.caller) else 503
            outcomes.refuse(state, effects, req, status, wait_ms)
            return
        victim = _domain(state).open[queue.newest(largest)]
        victim.step, victim.reason = "admission", "caller has most in queue"
        _answer_error(state, effects, victim, 429)
    req.queued = True
    queue.push(req.caller, req.req_id)
    limits.request_more_slots(state, effects)
    _dispatch_queue(state, effects, req.service)


def _start_attempt(state, effects, req) -> bool:
    """Sends an attempt to a worker.

    Returns False when no worker is free or too little time remains.
    """
    if req.deadline - state.now < MIN_ATTEMPT_TIME_MS:
        return False
    worker = routing.choose(
        state,
        effects,
        req.req_id,
        req.service,
        req.excluded,
        req.attempt_reason,
    )
    if worker is None:
        return False
    _send_attempt(state, effects, req, worker)
    return True


def _send_attempt(state, effects, req, worker):
    req.attempt_count += 1
    req.attempts[req.attempt_count] = exchange.Attempt(worker, "", state.now)
    limits.acquire(state, worker)
    routing.refresh(state, worker)
    address = workers.get(state, worker).address
    timeout_ms = req.deadline - state.now
    effects.append(
        fx.SendAttempt(
            req.req_id, req.attempt_count, worker, address, timeout_ms
        )
    )
    outcomes.measure_attempt(effects, req)
    delay_ms = max(
        HEDGE_MIN_DELAY_MS, int(health.p95_latency(state, req.service))
    )
    entry = (state.now + delay_ms, req.req_id, req.attempt_count)
    heapq.heappush(_domain(state).hedge_times, entry)


def _forward_attempt(state, effects, req, wait_ms) -> bool:
    """Forwards the request to another data centre if that is faster.

    Returns False when it was not forwarded. A request that was forwarded to
    this node is never forwarded again.
    """
    if req.hops:
        return False
    local = routing.has_workers(state, req.service)
    target = spill.choose_node(state, req.service, wait_ms, local, req.excluded)
    if target is None:
        return False
    node, remote_wait_ms = target
    address = spill.address_of(state, node)
    if not address:
        return False
    req.attempt_count += 1
    req.attempts[req.attempt_count] = exchange.Attempt("", node, state.now)
    spill.count_forwarded(state, node, req.service, 1)
    fields = {
        "req": req.req_id,
        "service": req.service,
        "node": node,
        "attempt": req.attempt_reason,
        "reason": "spill" if local else "no-local-worker",
        "score": round(remote_wait_ms, 1),
        "against": f"local:{wait_ms:.1f}",
    }
    routing.record_decision(state, effects, fields)
    timeout_ms = req.deadline - state.now
    effects.append(
        fx.ForwardAttempt(
            req.req_id, req.attempt_count, node, address, timeout_ms
        )
    )
    outcomes.measure_attempt(effects, req)
    return True


def _dispatch_queue(state, effects, service):
    """Starts waiting retries and queued requests while workers are free."""
    queue = admission.queue(state, service)
    if queue.retrying:
        for req_id in list(
            itertools.islice(queue.retrying, MAX_RETRIES_PER_DISPATCH)
        ):
            if _start_attempt(state, effects, _domain(state).open[req_id]):
                del queue.retrying[req_id]
    while queue.length:
        req = _domain(state).open[queue.peek()]
        if req.deadline - state.now < MIN_ATTEMPT_TIME_MS:
            req.step, req.reason = "queue", "deadline passed"
            _answer_error(state, effects, req, 504)
            continue
        if not _start_attempt(state, effects, req):
            return
        queue.pop()
        req.queued = False


def _release_attempt(state, req, number):
    """Removes an attempt, releases its slot and returns the attempt."""
    attempt = req.attempts.pop(number)
    if attempt.node:
        spill.count_forwarded(state, attempt.node, req.service, -1)
        return attempt
    limits.release(state, attempt.worker)
    routing.refresh(state, attempt.worker)
    return attempt


def _cancel_attempt(state, effects, req, number):
    attempt = req.attempts[number]
    if attempt.worker:
        # The worker may continue to run a cancelled request, so its slot
        # stays in use for the service's 95th percentile of the latency.
        del req.attempts[number]
        hold_ms = int(health.p95_latency(state, req.service))
        entry = (min(state.now + hold_ms, req.deadline), attempt.worker)
        heapq.heappush(_domain(state).delayed_releases, entry)
    else:
        _release_attempt(state, req, number)
    effects.append(fx.CancelAttempt(req.req_id, number))


def _discard_request(state, effects, req):
    """Removes a request and cancels its attempts in flight."""
    for number in list(req.attempts):
        _cancel_attempt(state, effects, req, number)
    _remove_request(state, effects, req)


def _remove_request(state, effects, req):
    if req.queued:
        queue = admission.queue(state, req.service)
        queue.remove(req.caller, req.req_id)
        req.queued = False
    admission.queue(state, req.service).retrying.pop(req.req_id, None)
    if _domain(state).open.pop(req.req_id, None) is not None:
        limits.add_demand(state, req.service, -1)


def _answer_error(state, effects, req, status):
    """Answers with an error, with the outcome of all attempts together."""
    outcome = retries.NOT_RUN
    if req.may_have_run or req.attempts:
        # An attempt in flight may have run although the adapter has not yet
        # reported it as sent.
        outcome = retries.UNKNOWN
    if outcome == retries.UNKNOWN and status == 503:
        status = 502
    _discard_request(state, effects, req)
    outcomes.answer(state, effects, req, status, outcome, 0)


def _find_attempt(state, event):
    """Returns the request and the attempt of an event, None if unknown."""
    req = _domain(state).open.get(event.req_id)
    if req is None:
        return None, None
    return req, req.attempts.get(event.attempt)


def _on_sent(state, event, effects):
    _, attempt = _find_attempt(state, event)
    if attempt is not None:
        attempt.sent = True


def _on_headers(state, event, effects):
    req, attempt = _find_attempt(state, event)
    if attempt is None or req.relayed_attempt:
        return
    attempt.sent = True
    if attempt.worker:
        elapsed_ms = state.now - attempt.started_at
        server_error = event.status >= 500
        health.record_answer(
            state,
            effects,
            attempt.worker,
            req.service,
            elapsed_ms,
            server_error,
        )
        if event.leaving:
            workers.mark_leaving(state, effects, attempt.worker, "answer")
    req.relayed_attempt = event.attempt
    effects.append(fx.RelayAnswer(req.req_id, event.attempt))
    outcomes.measure(state, effects, req, "answered")
    for number in [n for n in req.attempts if n != event.attempt]:
        losing_attempt = req.attempts[number]
        if losing_attempt.worker:
            # Otherwise a slow worker whose attempts are always beaten by
            # hedges would never get a latency sample.
            elapsed_ms = state.now - losing_attempt.started_at
            health.record_lower_bound(
                state, losing_attempt.worker, req.service, elapsed_ms
            )
        _cancel_attempt(state, effects, req, number)


def _on_done(state, event, effects):
    req, attempt = _find_attempt(state, event)
    if attempt is None:
        return
    _release_attempt(state, req, event.attempt)
    _dispatch_queue(state, effects, req.service)


def _on_failed(state, event, effects):
    req, attempt = _find_attempt(state, event)
    if attempt is None:
        return
    outcome = retries.classify(event.sent or attempt.sent, event.refused)
    _release_attempt(state, req, event.attempt)
    if attempt.worker:
        if event.refused:
            health.record_refusal(state, effects, attempt.worker)
        else:
            health.record_failure(
                state, effects, attempt.worker, event.step, event.sent
            )
        if event.leaving:
            workers.mark_leaving(state, effects, attempt.worker, "refusal")
        routing.refresh_changed(state)
    req.may_have_run = req.may_have_run or outcome == retries.UNKNOWN
    req.excluded = attempt.worker or attempt.node
    req.step, req.reason = event.step, event.reason
    req.peer = attempt.worker or attempt.node
    if req.relayed_attempt:
        fields = {
            "req": req.req_id,
            "step": event.step,
            "peer": req.peer,
            "reason": event.reason,
        }
        effects.append(fx.Log("warning", "answer-cut", fields))
    elif not req.attempts:
        _retry(state, effects, req, outcome)
    _dispatch_queue(state, effects, req.service)


def _retry(state, effects, req, outcome):
    remaining_ms = req.deadline - state.now
    if remaining_ms < MIN_ATTEMPT_TIME_MS:
        _answer_error(state, effects, req, 504)
        return
    if not retries.may_repeat(req.idempotent, outcome):
        _answer_error(state, effects, req, 502)
        return
    if not retries.withdraw(state):
        req.reason = f"{req.reason}; retry budget spent"
        _answer_error(state, effects, req, 503)
        return
    req.attempt_reason = "retry"
    if _start_attempt(state, effects, req):
        return
    wait_ms = spill.expected_wait(state, req.service)
    if _forward_attempt(state, effects, req, wait_ms):
        return
    # Retries wait outside the queue: at its head, a retry that must not use
    # the only free worker would block the requests behind it.
    admission.queue(state, req.service).retrying[req.req_id] = None
    limits.request_more_slots(state, effects)


def _on_closed(state, event, effects):
    req = _domain(state).open.get(event.req_id)
    if req is None:
        return
    if not req.relayed_attempt:
        outcomes.measure(state, effects, req, "caller-left")
    _discard_request(state, effects, req)


def _on_tick(state, event, effects):
    domain = _domain(state)
    paused = state.now - domain.last_tick > PAUSE_THRESHOLD_MS
    domain.last_tick = state.now
    _expire_requests(state, effects, domain)
    while (
        domain.delayed_releases and domain.delayed_releases[0][0] <= state.now
    ):
        _, worker = heapq.heappop(domain.delayed_releases)
        limits.release(state, worker)
        routing.refresh(state, worker)
    while domain.hedge_times and domain.hedge_times[0][0] <= state.now:
        _, req_id, number = heapq.heappop(domain.hedge_times)
        req = domain.open.get(req_id)
        if req is not None and not paused:
            _hedge(state, effects, req, number)
    _dispatch_available(state, event, effects)
    for service, queue in admission.queues(state).items():
        waiting = queue.waiting()
        if waiting and limits.demand(state, service) == waiting:
            _spill_queue(state, effects, service, queue)
    if state.now >= domain.next_measurement:
        domain.next_measurement = state.now + MEASURE_INTERVAL_MS
        outcomes.measure_queues(state, effects)


def _spill_queue(state, effects, service, queue):
    """Forwards waiting requests of a service with no request in flight.

    All local workers are unavailable then. The usual estimate of the wait
    assumes that the queue is being served, so the time until the deadline is
    taken as the wait instead.
    """
    for req_id in list(itertools.islice(queue.retrying, MAX_SPILLS_PER_TICK)):
        req = _domain(state).open[req_id]
        if not _forward_attempt(state, effects, req, req.deadline - state.now):
            return
        del queue.retrying[req_id]
    for _ in range(MAX_SPILLS_PER_TICK):
        if not queue.length:
            return
        req = _domain(state).open[queue.peek()]
        wait_ms = req.deadline - state.now
        if not _forward_attempt(state, effects, req, wait_ms):
            return
        queue.pop()
        req.queued = False


def _expire_requests(state, effects, domain):
    while domain.deadlines and domain.deadlines[0][0] <= state.now:
        due, req_id = heapq.heappop(domain.deadlines)
        req = domain.open.get(req_id)
        if req is None:
            continue
        if not req.relayed_attempt:
            if not req.step:
                req.step = "queue" if req.queued else "await answer"
            req.reason = "deadline passed"
            req.peer = " ".join(
                a.worker or a.node for a in req.attempts.values()
            )
            _answer_error(state, effects, req, 504)
        elif due == req.deadline:
            entry = (due + REPORT_GRACE_MS, req_id)
            heapq.heappush(domain.deadlines, entry)
        else:
            _discard_request(state, effects, req)


def _may_hedge(state, req, attempt):
    # A hedge must not use a slot that a waiting request could use. Most
    # requests beyond the 95th percentile take long on any worker; on a busy
    # service, hedging them adds more queueing than it saves.
    if admission.queue(state, req.service).length:
        return False
    free = routing.free_workers(state, req.service)
    total = health.service_stats(state, req.service).workers
    if free >= HEDGE_MIN_FREE_FRACTION * total:
        return True
    return free > 0 and health.is_suspect(state, attempt.worker)


def _hedge(state, effects, req, number):
    attempt = req.attempts.get(number)
    if attempt is None or req.relayed_attempt:
        return
    if not attempt.stalled:
        attempt.stalled = True
        health.record_stall(state, effects, attempt.worker)
        routing.refresh_changed(state)
    if not req.idempotent or len(req.attempts) > 1:
        return
    if req.deadline - state.now < MIN_ATTEMPT_TIME_MS:
        return
    if not _may_hedge(state, req, attempt):
        entry = (state.now + HEDGE_MIN_DELAY_MS, req.req_id, number)
        heapq.heappush(_domain(state).hedge_times, entry)
        return
    if not retries.withdraw(state):
        return
    req.excluded, req.attempt_reason = attempt.worker, "hedge"
    if not _start_attempt(state, effects, req):
        retries.refund(state)


def _dispatch_available(state, event, effects):
    for service in routing.pop_newly_available(state):
        _dispatch_queue(state, effects, service)


HANDLERS = {
    events.RequestArrived: _on_arrived,
    events.AttemptSent: _on_sent,
    events.AttemptHeaders: _on_headers,
    events.AttemptDone: _on_done,
    events.AttemptFailed: _on_failed,
    events.RequestClosed: _on_closed,
    events.Tick: _on_tick,
    events.PeerMessage: _dispatch_available,
    events.WorkersChanged: _dispatch_available,
    events.ConfigApplied: _dispatch_available,
}
