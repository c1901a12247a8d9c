"""Client requests: submit, status, queue length and cancel.

Every node serves them, whether or not it leads.
"""

import functools

from skylarklug.scheduler import codec
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import freshness
from skylarklug.scheduler import records
from skylarklug.scheduler import rejection
from skylarklug.scheduler import store

# Job states that a node remembers, to answer while the store does not. An entry
# takes about 200 bytes.
MAX_KNOWN_STATES = 5_000
# Share of the client's deadline that one store call may take. A slow store
# queues transactions for up to a second, and a client whose call fails needs
# the remaining time for a retry.
STORE_TIMEOUT_SHARE = 0.45
# Minimum time limit of a store call, for clients with a short deadline.
MIN_STORE_TIMEOUT_MS = 100
# Age that the length of a queue may have.
MAX_LENGTH_AGE_MS = 2_000
# A job id is a hexadecimal number with this many digits.
JOB_ID_LENGTH = 16
_HEX = frozenset("0123456789abcdef")
# Suffix of the key in `jobs` that requests the cancellation of a job.
CANCEL_SUFFIX = ".cancel"
# Value of the `work` row of a job that was cancelled before it was stored. The
# row makes a submission fail that the store performs late.
_CANCELLED_BEFORE = {"state": records.CANCELLED, "submitted": False}


def _answer(
    state, effects, req, status, body=None, retry_after_s=0, valid_until=0
):
    received_at = state.open_requests.pop(req, None)
    if received_at is None:
        # The request was aborted before the store answered.
        return
    effects.append(
        fx.Answer(req, status, body or {}, retry_after_s, valid_until)
    )
    effects.append(
        fx.Measure(
            "skylarklug.answer.duration",
            (state.now - received_at) / 1000,
            {"status": str(status)},
        )
    )


def _refuse(
    state, effects, req, status, job, reason, priority=0, valid_until=0
):
    cfg = state.configuration
    fields = {
        "req": req,
        "job": job,
        "status": status,
        "reason": reason,
        "configuration": cfg.version if cfg else 0,
        "configuration_age_ms": freshness.age_ms(state),
    }
    effects.append(fx.Log("warning", "request-failed", fields))
    retry = 0
    if status == 503:
        retry = rejection.retry_after_s(
            state.store_lost_at, state.now, priority
        )
    body = {"reason": reason}
    _answer(state, effects, req, status, body, retry, valid_until)


def abort_all(state, effects, reason):
    """Answers all open requests: their outcome is not known."""
    for req in list(state.open_requests):
        _refuse(state, effects, req, 504, "", reason)


def _timeout_ms(deadline_ms):
    if not deadline_ms:
        return store.COMMIT_TIMEOUT_MS
    return max(MIN_STORE_TIMEOUT_MS, int(deadline_ms * STORE_TIMEOUT_SHARE))


def _is_store_lost(state):
    return rejection.is_store_lost(state.store_lost_at, state.now)


def _resolve(state, event, effects, needs_store=False):
    """Returns (queue, rest of the path) unless the request is not decided.

    Otherwise it has been answered, or waits for a newer configuration, and
    comes back to its handler; then None is returned.

    Args:
        state: State of the node.
        event: The request.
        effects: List to which effects are appended.
        needs_store: Whether the request can only be served by the store.
    """
    state.open_requests.setdefault(event.req, state.now)
    cfg = state.configuration
    if cfg is None:
        _refuse(state, effects, event.req, 503, "", "no configuration yet")
        return None
    is_current = freshness.is_current(state)
    if not is_current and freshness.may_become_current(state):
        if not needs_store or not _is_store_lost(state):
            state.undecided[event.req] = event
            freshness.confirm(state, effects)
            _decide_waiting(state, effects)
            return None
    freshness.measure(state, effects)
    queue = cfg.match(event.host, event.path)
    if queue is None and (not is_current or state.newer_unreadable):
        _refuse_outdated(state, effects, event.req)
        return None
    if queue is None:
        reason = f"no queue in configuration {cfg.version}"
        valid_until = freshness.current_until(state)
        _refuse(
            state,
            effects,
            event.req,
            404,
            "",
            reason,
            valid_until=valid_until,
        )
        return None
    return queue, event.path[len(queue.prefix) :]


def _refuse_outdated(state, effects, req):
    """Rejects a request about a queue that may be new, or removed."""
    reason = f"version {state.configuration.version} may be outdated"
    _refuse(state, effects, req, 503, "", reason)


def _decide_waiting(state, effects):
    """Serves the requests that have waited for a newer configuration."""
    if not freshness.is_current(state) and not freshness.is_round_over(state):
        return
    waiting, state.undecided = state.undecided, {}
    for req, event in waiting.items():
        if req not in state.open_requests:
            continue
        try:
            HANDLERS[type(event)](state, event, effects)
        except Exception:
            _refuse(state, effects, req, 504, "", "unexpected error")
            raise


def _on_news(state, event, effects):
    if state.undecided:
        _decide_waiting(state, effects)


def _is_job_id(text):
    return len(text) == JOB_ID_LENGTH and _HEX.issuperset(text.lower())


def _remember_state(state, job, job_state):
    """Remembers the latest known state of a job."""
    known = state.known_states
    known.pop(job, None)
    known[job] = job_state
    if len(known) > MAX_KNOWN_STATES:
        del known[next(iter(known))]


def _refuse_store_failure(state, effects, req, job, answer, what, priority=0):
    """Answers a request whose store call failed."""
    if answer.status == "refused":
        reason = f"the store did nothing ({what})"
        _refuse(state, effects, req, 503, job, reason, priority)
    else:
        reason = f"no answer from the store ({what})"
        _refuse(state, effects, req, 504, job, reason)


def _is_submitted(row):
    """Returns whether a `work` row is that of a job, and not only cancelled."""
    return row.value.get("submitted", True)


# ------------------------------------------------------------------- submit


def _on_submitted(state, event, effects):
    resolved = _resolve(state, event, effects, needs_store=True)
    if resolved is None:
        return
    queue, job = resolved
    problem = event.problem
    if not _is_job_id(job):
        problem = "a job id has 16 hexadecimal digits"
    if problem:
        _refuse(state, effects, event.req, 400, job, problem)
        return
    if _is_store_lost(state):
        reason = "the store does not serve this node (submit)"
        _refuse(state, effects, event.req, 503, job, reason, queue.priority)
        return
    spec = event.body._replace(
        job=job,
        queue=queue.name,
        service=queue.service,
        accepted_ms=state.wall_ms,
        terms=state.configuration.terms_of(queue),
    )
    work = {"state": records.PENDING, "queue": queue.name}
    store.commit(
        state,
        effects,
        [fx.Check("work", job, 0)],
        [
            fx.Write("jobs", job, codec.encode_job(spec)),
            fx.Write("work", job, work),
        ],
        functools.partial(_on_stored, event.req, job, queue),
        _timeout_ms(event.deadline_ms),
    )


def _on_stored(req, job, queue, state, effects, answer):
    if answer.status not in ("ok", "conflict"):
        _refuse_store_failure(
            state, effects, req, job, answer, "submit", queue.priority
        )
        return
    if answer.status == "ok":
        _remember_state(state, job, records.PENDING)
    elif not all(_is_submitted(row) for row in answer.rows if row.value):
        reason = "the job was cancelled before it was submitted"
        _refuse(state, effects, req, 503, job, reason, queue.priority)
        return
    fields = {
        "job": job,
        "req": req,
        "queue": queue.name,
        "repeated": answer.status == "conflict",
        "version": answer.version,
        "ms": state.now - answer.sent_at,
    }
    effects.append(fx.Log("info", "job-accepted", fields))
    _answer(state, effects, req, 200)


# ------------------------------------------------------------------- status


def _on_status_requested(state, event, effects):
    resolved = _resolve(state, event, effects)
    if resolved is None:
        return
    queue, job = resolved
    if not job:
        if not freshness.is_current(state):
            _refuse_outdated(state, effects, event.req)
            return
        if not _are_lengths_known(state):
            reason = "queue lengths are not known"
            _refuse(state, effects, event.req, 503, "", reason)
            return
        waiting = state.heartbeat.get("waiting", {}).get(queue.name, 0)
        _answer(
            state,
            effects,
            event.req,
            200,
            {"waiting": waiting},
            valid_until=freshness.current_until(state),
        )
        return
    known = state.known_states.get(job)
    if known in records.FINAL_STATES:
        _answer(state, effects, event.req, 200, {"state": known})
        return
    if _is_store_lost(state):
        _answer_known_state(state, effects, event.req, job)
        return
    done = functools.partial(_on_state_read, event.req, job)
    _read_work_row(state, effects, event, job, done)


def _are_lengths_known(state):
    """Returns whether the store has told the latest lengths of queues."""
    if state.leadership_read_at < 0:
        return False
    return state.now - state.leadership_read_at <= MAX_LENGTH_AGE_MS


def _read_work_row(state, effects, event, job, done):
    """Reads a job's `work` row, or answers at once if the id is invalid."""
    if not _is_job_id(job):
        _answer(state, effects, event.req, 410)
        return
    timeout_ms = _timeout_ms(event.deadline_ms)
    store.read(state, effects, "work", job, done, timeout_ms)


def _on_state_read(req, job, state, effects, answer):
    if answer.status != "ok":
        _answer_known_state(state, effects, req, job)
        return
    if not answer.rows or not _is_submitted(answer.rows[0]):
        state.known_states.pop(job, None)
        _answer(state, effects, req, 410)
        return
    job_state = answer.rows[0].value["state"]
    _remember_state(state, job, job_state)
    _answer(state, effects, req, 200, {"state": job_state})


def _answer_known_state(state, effects, req, job):
    """Answers from memory while the store does not answer.

    A state never goes back, so the latest one that was read may be outdated
    but not wrong: a job known as running has been accepted and was running.
    """
    known = state.known_states.get(job)
    if known is None:
        reason = "the store does not serve this node (state)"
        _refuse(state, effects, req, 503, job, reason)
        return
    _answer(state, effects, req, 200, {"state": known})


# ------------------------------------------------------------------- cancel


def _on_cancel_requested(state, event, effects):
    resolved = _resolve(state, event, effects)
    if resolved is None:
        return
    _, job = resolved
    done = functools.partial(_on_cancel_read, event.req, job, event.deadline_ms)
    _read_work_row(state, effects, event, job, done)


def _on_cancel_read(req, job, deadline_ms, state, effects, answer):
    if answer.status != "ok":
        _refuse_store_failure(state, effects, req, job, answer, "cancel")
        return
    if not answer.rows:
        # The store may still perform a submission whose answer was lost.
        store.commit(
            state,
            effects,
            [fx.Check("work", job, 0)],
            [fx.Write("work", job, _CANCELLED_BEFORE)],
            functools.partial(_on_cancelled_before, req, job, deadline_ms),
            _timeout_ms(deadline_ms),
        )
        return
    _cancel_stored(req, job, deadline_ms, state, effects, answer.rows[0])


def _on_cancelled_before(req, job, deadline_ms, state, effects, answer):
    if answer.status == "conflict":
        for row in answer.rows:
            if row.value is not None:
                _cancel_stored(req, job, deadline_ms, state, effects, row)
                return
    if answer.status != "ok":
        _refuse_store_failure(state, effects, req, job, answer, "cancel")
        return
    _answer(state, effects, req, 410)


def _cancel_stored(req, job, deadline_ms, state, effects, row):
    """Cancels a job by its `work` row."""
    if not _is_submitted(row):
        _answer(state, effects, req, 410)
        return
    job_state = row.value["state"]
    if job_state in records.FINAL_STATES:
        _remember_state(state, job, job_state)
        _answer(state, effects, req, 200)
        return
    cancel_row = fx.Write("jobs", job + CANCEL_SUFFIX, {"at": state.wall_ms})
    store.commit(
        state,
        effects,
        [],
        [cancel_row],
        functools.partial(_on_cancel_stored, req, job),
        _timeout_ms(deadline_ms),
    )


def _on_cancel_stored(req, job, state, effects, answer):
    if answer.status != "ok":
        _refuse_store_failure(state, effects, req, job, answer, "cancel")
        return
    fields = {"job": job, "req": req, "version": answer.version}
    effects.append(fx.Log("info", "cancel-accepted", fields))
    _answer(state, effects, req, 200)


HANDLERS = {
    events.FeedFailed: _on_news,
    events.JobSubmitted: _on_submitted,
    events.OperatorRowsRead: _on_news,
    events.OperatorRowsUnread: _on_news,
    events.PeerAnswered: _on_news,
    events.Tick: _on_news,
    events.StatusRequested: _on_status_requested,
    events.CancelRequested: _on_cancel_requested,
}
