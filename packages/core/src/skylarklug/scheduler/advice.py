"""Asks the advice service which workers may run a step, if a queue needs it."""

from typing import NamedTuple

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import jobs

# Maximum number of workers in one call. The platform states the cost of a call
# for thirty workers.
MAX_WORKERS_PER_CALL = 30
# Added to the duration of a call, as the queue states it, to get the timeout.
TIMEOUT_MARGIN_MS = 1_500
# Delay before the next call after a failed one.
RETRY_MS = 300
# A ticket must stay valid for this long, so that it still is when the order
# arrives.
MIN_TICKET_VALIDITY_MS = 500


class Ticket(NamedTuple):
    """Allows one incarnation of a worker to run a step until a given time."""

    ticket: str
    incarnation: int
    until: int


class StepAdvice:
    """Advice received for one step of one occurrence.

    Attributes:
        tickets: Tickets by worker.
        refused: Workers that may not run the step.
        request_pending: Whether a call is in progress.
        retry_at: Earliest time of the next call.
    """

    def __init__(self):
        self.tickets: dict[str, Ticket] = {}
        self.refused: set[str] = set()
        self.request_pending = False
        self.retry_at = 0


def is_needed(state, job) -> bool:
    """Returns whether the job's queue requires advice on workers."""
    return jobs.terms_of(state, job).advice is not None


def _step_advice(task) -> StepAdvice:
    step = (task.key.occurrence, task.key.step)
    return task.job.tickets.setdefault(step, StepAdvice())


def ticket_for(state, task, worker) -> str:
    """Returns a valid ticket for a worker, or "" if there is none."""
    ticket = _step_advice(task).tickets.get(worker.name)
    if ticket is None or ticket.incarnation != worker.incarnation:
        return ""
    if state.now + MIN_TICKET_VALIDITY_MS > ticket.until:
        return ""
    return ticket.ticket


def filter_workers(state, effects, task, workers):
    """Returns the workers with a ticket; requests more if there are too few."""
    step_advice = _step_advice(task)
    allowed = []
    undecided = []
    for worker in workers:
        if ticket_for(state, task, worker):
            allowed.append(worker)
        elif worker.name not in step_advice.refused:
            undecided.append(worker)
    if len(allowed) < task.step.count and undecided:
        _request_advice(state, effects, task, step_advice, undecided)
    return allowed


def _request_advice(state, effects, task, step_advice, workers):
    leader = state.leader
    if (
        step_advice.request_pending
        or leader.advice_pending
        or state.now < step_advice.retry_at
    ):
        return
    step_advice.request_pending = True
    leader.advice_pending = True
    workers.sort(key=lambda worker: (worker.used[0], worker.name))
    worker_names = tuple(
        worker.name for worker in workers[:MAX_WORKERS_PER_CALL]
    )
    cost = jobs.terms_of(state, task.job).advice
    timeout_ms = cost.decide_ms + cost.per_worker_ms * len(worker_names)
    effects.append(
        fx.RequestAdvice(
            task.key.job,
            task.key.occurrence,
            task.key.step,
            worker_names,
            timeout_ms + TIMEOUT_MARGIN_MS,
        )
    )


def _on_advice(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    leader.advice_pending = False
    leader.placement_requested = True
    job = leader.jobs.get(event.job)
    if job is None:
        return
    step_advice = job.tickets.get((event.occurrence, event.step))
    if step_advice is None:
        return
    step_advice.request_pending = False
    fields = {
        "job": event.job,
        "step": event.step,
        "ok": event.ok,
        "asked": len(event.asked),
        "allowed": len(event.tickets),
    }
    effects.append(fx.Log("info", "advice", fields))
    if not event.ok:
        step_advice.retry_at = state.now + RETRY_MS
        return
    for name in event.asked:
        worker = leader.workers.get(name)
        if name not in event.tickets:
            step_advice.refused.add(name)
        elif worker is not None:
            step_advice.tickets[name] = Ticket(
                event.tickets[name],
                worker.incarnation,
                state.now + event.valid_ms,
            )


HANDLERS = {events.AdviceAnswered: _on_advice}
