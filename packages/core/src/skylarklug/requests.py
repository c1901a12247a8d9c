"""The life cycle of a request: queue, attempts, answer, outcome.

Exactly one of `RelayAnswer` and `AnswerError` is emitted for a request,
unless its caller leaves first. After `RelayAnswer` the adapter passes on the
answer, or cuts the caller's connection when the upstream fails.
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

# Attempts are not started with less time left than this.
MIN_ATTEMPT_MS = 5
HEDGE_MIN_MS = 50
# Share of a service's workers that must be free for a hedge on suspicion of
# the request alone.
HEDGE_SPARE_FRACTION = 0.8
# The adapter ends every attempt at its timeout; this bounds a lost report.
LOST_REPORT_MS = 5_000
# A gap between ticks beyond this means that this node was paused, so that
# late answers say nothing about workers.
PAUSE_MS = 500
MEASURE_MS = 1_000
# Retries that wait for a worker and are looked at whenever one is free.
RETRIES_PER_PUMP = 4
SPILLS_PER_TICK = 8


class RequestsState:
    """Open requests, their deadlines and hedge times, and held slots."""

    def __init__(self):
        self.open: dict[str, exchange.Request] = {}
        self.deadlines: list[tuple[int, str]] = []
        self.hedges: list[tuple[int, str, int]] = []
        self.held: list[tuple[int, str]] = []
        self.last_tick = 0
        self.next_measure = 0


def new_state() -> RequestsState:
    """Returns the state without requests."""
    return RequestsState()


def _domain(state) -> RequestsState:
    return state.domains["requests"]


def in_flight(state) -> int:
    """Returns the number of requests whose exchange is open."""
    return len(_domain(state).open)


def end_all(state, effects):
    """Answers every open request at the end of a graceful stop."""
    for req in list(_domain(state).open.values()):
        if req.relayed:
            _drop(state, effects, req)
            continue
        req.step, req.reason = "drain", "node stops"
        _fail(state, effects, req, 503)


def _on_arrived(state, event, effects):
    retries.deposit(state)
    cfg = admission.config(state, event.service)
    timeout = event.deadline_ms or cfg.timeout_ms
    req = exchange.Request(event, state.now + timeout)
    if not _is_known(state, event.service):
        listed = workers.known(state)
        req.step = "admission"
        req.reason = "unknown service" if listed else "no VM list yet"
        outcomes.refuse(state, effects, req, 404 if listed else 503, 0)
        return
    domain = _domain(state)
    domain.open[req.req_id] = req
    limits.add_demand(state, req.service, 1)
    heapq.heappush(domain.deadlines, (req.deadline, req.req_id))
    queue = admission.queue(state, req.service)
    if not queue.length and _start(state, effects, req):
        return
    wait = spill.expected_wait(state, req.service)
    if _forward(state, effects, req, wait):
        return
    if not routing.has_workers(state, req.service):
        req.step, req.reason = "admission", "no worker of the service"
        _close(state, effects, req)
        outcomes.refuse(state, effects, req, 503, 0)
        return
    _enqueue(state, effects, req, queue, cfg, wait)


def _is_known(state, service):
    if admission.is_configured(state, service):
        return True
    return bool(workers.of_service(state, service))


def _enqueue(state, effects, req, queue, cfg, wait):
    left = req.deadline - state.now
    if wait + health.typical_latency(state, req.service) > left:
        req.step, req.reason = "admission", "deadline cannot be met"
        _close(state, effects, req)
        outcomes.refuse(state, effects, req, 503, wait)
        return
    if queue.length >= cfg.queue:
        largest = queue.largest()
        if queue.count(req.caller) + 1 >= queue.count(largest):
            req.step, req.reason = "admission", "queue is full"
            _close(state, effects, req)
            status = 429 if queue.count(req.caller) else 503
            outcomes.refuse(state, effects, req, status, wait)
            return
        victim = _domain(state).open[queue.newest(largest)]
        victim.step, victim.reason = "admission", "caller has most in queue"
        _fail(state, effects, victim, 429)
    req.queued = True
    queue.push(req.caller, req.req_id)
    limits.want_more(state, effects)
    _pump(state, effects, req.service)


def _start(state, effects, req) -> bool:
    """Sends an attempt to a worker; false when none is free."""
    if req.deadline - state.now < MIN_ATTEMPT_MS:
        return False
    worker = routing.choose(
        state, effects, req.req_id, req.service, req.avoid, req.why
    )
    if worker is None:
        return False
    _send(state, effects, req, worker)
    return True


def _send(state, effects, req, worker):
    req.count += 1
    req.attempts[req.count] = exchange.Attempt(worker, "", state.now)
    limits.acquire(state, worker)
    routing.refresh(state, worker)
    address = workers.get(state, worker).address
    timeout = req.deadline - state.now
    effects.append(
        fx.SendAttempt(req.req_id, req.count, worker, address, timeout)
    )
    outcomes.measure_attempt(effects, req)
    delay = max(HEDGE_MIN_MS, int(health.p95_latency(state, req.service)))
    entry = (state.now + delay, req.req_id, req.count)
    heapq.heappush(_domain(state).hedges, entry)


def _forward(state, effects, req, wait) -> bool:
    """Sends the request to another data centre when that is faster."""
    if req.hops:
        return False
    local = routing.has_workers(state, req.service)
    found = spill.choose(state, req.service, wait, local, req.avoid)
    if found is None:
        return False
    node, remote_wait = found
    address = spill.address_of(state, node)
    if not address:
        return False
    req.count += 1
    req.attempts[req.count] = exchange.Attempt("", node, state.now)
    spill.sent(state, node, req.service, 1)
    fields = {
        "req": req.req_id,
        "service": req.service,
        "node": node,
        "attempt": req.why,
        "reason": "spill" if local else "no-local-worker",
        "score": round(remote_wait, 1),
        "against": f"local:{wait:.1f}",
    }
    routing.record(state, effects, fields)
    timeout = req.deadline - state.now
    effects.append(
        fx.ForwardAttempt(req.req_id, req.count, node, address, timeout)
    )
    outcomes.measure_attempt(effects, req)
    return True


def _pump(state, effects, service):
    """Starts queued requests while workers are free."""
    queue = admission.queue(state, service)
    if queue.retrying:
        for req_id in list(itertools.islice(queue.retrying, RETRIES_PER_PUMP)):
            if _start(state, effects, _domain(state).open[req_id]):
                del queue.retrying[req_id]
    while queue.length:
        req = _domain(state).open[queue.peek()]
        if req.deadline - state.now < MIN_ATTEMPT_MS:
            req.step, req.reason = "queue", "deadline passed"
            _fail(state, effects, req, 504)
            continue
        if not _start(state, effects, req):
            return
        queue.pop()
        req.queued = False


def _release(state, req, number):
    """Ends an attempt's hold on its slot; returns the attempt."""
    attempt = req.attempts.pop(number)
    if attempt.node:
        spill.sent(state, attempt.node, req.service, -1)
        return attempt
    limits.release(state, attempt.worker)
    routing.refresh(state, attempt.worker)
    return attempt


def _cancel(state, effects, req, number):
    attempt = req.attempts[number]
    if attempt.worker:
        # The worker may go on running what nobody waits for, so the slot
        # stays taken for as long as most requests last.
        del req.attempts[number]
        hold = int(health.p95_latency(state, req.service))
        entry = (min(state.now + hold, req.deadline), attempt.worker)
        heapq.heappush(_domain(state).held, entry)
    else:
        _release(state, req, number)
    effects.append(fx.CancelAttempt(req.req_id, number))


def _drop(state, effects, req):
    """Forgets a request and cancels what is in flight for it."""
    for number in list(req.attempts):
        _cancel(state, effects, req, number)
    _close(state, effects, req)


def _close(state, effects, req):
    if req.queued:
        queue = admission.queue(state, req.service)
        queue.remove(req.caller, req.req_id)
        req.queued = False
    admission.queue(state, req.service).retrying.pop(req.req_id, None)
    if _domain(state).open.pop(req.req_id, None) is not None:
        limits.add_demand(state, req.service, -1)


def _fail(state, effects, req, status):
    """Answers with an error; the outcome follows from all attempts."""
    outcome = retries.NOT_RUN
    if req.unknown or req.attempts:
        # An attempt in flight may have run even before it is reported sent.
        outcome = retries.UNKNOWN
    if outcome == retries.UNKNOWN and status == 503:
        status = 502
    _drop(state, effects, req)
    outcomes.answer(state, effects, req, status, outcome, 0)


def _find(state, event):
    """Returns the request and attempt of an event, or Nones."""
    req = _domain(state).open.get(event.req_id)
    if req is None:
        return None, None
    return req, req.attempts.get(event.attempt)


def _on_sent(state, event, effects):
    _, attempt = _find(state, event)
    if attempt is not None:
        attempt.sent = True


def _on_headers(state, event, effects):
    req, attempt = _find(state, event)
    if attempt is None or req.relayed:
        return
    attempt.sent = True
    if attempt.worker:
        elapsed = state.now - attempt.started
        server_error = event.status >= 500
        health.answered(
            state, effects, attempt.worker, req.service, elapsed, server_error
        )
        if event.leaving:
            workers.mark_leaving(state, effects, attempt.worker, "answer")
    req.relayed = event.attempt
    effects.append(fx.RelayAnswer(req.req_id, event.attempt))
    outcomes.measure(state, effects, req, "answered")
    for number in [n for n in req.attempts if n != event.attempt]:
        loser = req.attempts[number]
        if loser.worker:
            # Without this a slow worker whose attempts lose to hedges would
            # never get a sample.
            elapsed = state.now - loser.started
            health.slower_than(state, loser.worker, req.service, elapsed)
        _cancel(state, effects, req, number)


def _on_done(state, event, effects):
    req, attempt = _find(state, event)
    if attempt is None:
        return
    _release(state, req, event.attempt)
    _pump(state, effects, req.service)


def _on_failed(state, event, effects):
    req, attempt = _find(state, event)
    if attempt is None:
        return
    outcome = retries.classify(event.sent or attempt.sent, event.refused)
    _release(state, req, event.attempt)
    if attempt.worker:
        if event.refused:
            health.refused(state, effects, attempt.worker)
        else:
            health.failed(
                state, effects, attempt.worker, event.step, event.sent
            )
        if event.leaving:
            workers.mark_leaving(state, effects, attempt.worker, "refusal")
        routing.refresh_changed(state)
    req.unknown = req.unknown or outcome == retries.UNKNOWN
    req.avoid = attempt.worker or attempt.node
    req.step, req.reason = event.step, event.reason
    req.peer = attempt.worker or attempt.node
    if req.relayed:
        fields = {
            "req": req.req_id,
            "step": event.step,
            "peer": req.peer,
            "reason": event.reason,
        }
        effects.append(fx.Log("warning", "answer-cut", fields))
    elif not req.attempts:
        _retry(state, effects, req, outcome)
    _pump(state, effects, req.service)


def _retry(state, effects, req, outcome):
    left = req.deadline - state.now
    if left < MIN_ATTEMPT_MS:
        _fail(state, effects, req, 504)
        return
    if not retries.may_repeat(req.idempotent, outcome):
        _fail(state, effects, req, 502)
        return
    if not retries.withdraw(state):
        req.reason = f"{req.reason}; retry budget spent"
        _fail(state, effects, req, 503)
        return
    req.why = "retry"
    if _start(state, effects, req):
        return
    wait = spill.expected_wait(state, req.service)
    if _forward(state, effects, req, wait):
        return
    # A retry that must avoid the only free worker would block the queue.
    admission.queue(state, req.service).retrying[req.req_id] = None
    limits.want_more(state, effects)


def _on_closed(state, event, effects):
    req = _domain(state).open.get(event.req_id)
    if req is None:
        return
    if not req.relayed:
        outcomes.measure(state, effects, req, "caller-left")
    _drop(state, effects, req)


def _on_tick(state, event, effects):
    domain = _domain(state)
    paused = state.now - domain.last_tick > PAUSE_MS
    domain.last_tick = state.now
    _expire(state, effects, domain)
    while domain.held and domain.held[0][0] <= state.now:
        _, worker = heapq.heappop(domain.held)
        limits.release(state, worker)
        routing.refresh(state, worker)
    while domain.hedges and domain.hedges[0][0] <= state.now:
        _, req_id, number = heapq.heappop(domain.hedges)
        req = domain.open.get(req_id)
        if req is not None and not paused:
            _hedge(state, effects, req, number)
    _pump_woken(state, event, effects)
    for service, queue in admission.queues(state).items():
        waiting = queue.waiting()
        if waiting and limits.demand(state, service) == waiting:
            _spill_queue(state, effects, service, queue)
    if state.now >= domain.next_measure:
        domain.next_measure = state.now + MEASURE_MS
        outcomes.measure_queues(state, effects)


def _spill_queue(state, effects, service, queue):
    """Forwards waiting requests while nothing is in flight.

    All local workers are then out, and the estimate of the wait, which
    assumes that the queue is being served, says nothing.
    """
    for req_id in list(itertools.islice(queue.retrying, SPILLS_PER_TICK)):
        req = _domain(state).open[req_id]
        if not _forward(state, effects, req, req.deadline - state.now):
            return
        del queue.retrying[req_id]
    for _ in range(SPILLS_PER_TICK):
        if not queue.length:
            return
        req = _domain(state).open[queue.peek()]
        wait = req.deadline - state.now
        if not _forward(state, effects, req, wait):
            return
        queue.pop()
        req.queued = False


def _expire(state, effects, domain):
    while domain.deadlines and domain.deadlines[0][0] <= state.now:
        due, req_id = heapq.heappop(domain.deadlines)
        req = domain.open.get(req_id)
        if req is None:
            continue
        if not req.relayed:
            if not req.step:
                req.step = "queue" if req.queued else "await answer"
            req.reason = "deadline passed"
            req.peer = " ".join(
                a.worker or a.node for a in req.attempts.values()
            )
            _fail(state, effects, req, 504)
        elif due == req.deadline:
            entry = (due + LOST_REPORT_MS, req_id)
            heapq.heappush(domain.deadlines, entry)
        else:
            _drop(state, effects, req)


def _may_hedge(state, req, attempt):
    # A hedge takes no slot that a waiting request could use. Most requests
    # beyond the 95th percentile are long on any worker, and hedging them on
    # a busy service costs more in queues than it gains.
    if admission.queue(state, req.service).length:
        return False
    free = routing.free_workers(state, req.service)
    total = health.service(state, req.service).workers
    if free >= HEDGE_SPARE_FRACTION * total:
        return True
    return free > 0 and health.is_suspect(state, attempt.worker)


def _hedge(state, effects, req, number):
    attempt = req.attempts.get(number)
    if attempt is None or req.relayed:
        return
    if not attempt.stalled:
        attempt.stalled = True
        health.stalled(state, effects, attempt.worker)
        routing.refresh_changed(state)
    if not req.idempotent or len(req.attempts) > 1:
        return
    if req.deadline - state.now < MIN_ATTEMPT_MS:
        return
    if not _may_hedge(state, req, attempt):
        entry = (state.now + HEDGE_MIN_MS, req.req_id, number)
        heapq.heappush(_domain(state).hedges, entry)
        return
    if not retries.withdraw(state):
        return
    req.avoid, req.why = attempt.worker, "hedge"
    if not _start(state, effects, req):
        retries.refund(state)


def _pump_woken(state, event, effects):
    for service in routing.take_woken(state):
        _pump(state, effects, service)


HANDLERS = {
    events.RequestArrived: _on_arrived,
    events.AttemptSent: _on_sent,
    events.AttemptHeaders: _on_headers,
    events.AttemptDone: _on_done,
    events.AttemptFailed: _on_failed,
    events.RequestClosed: _on_closed,
    events.Tick: _on_tick,
    events.PeerMessage: _pump_woken,
    events.WorkersChanged: _pump_woken,
    events.ConfigApplied: _pump_woken,
}
