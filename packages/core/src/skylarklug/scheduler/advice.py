"""Which workers may run a step, where a queue's policy leaves it to advice."""

from typing import NamedTuple

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import jobs

# A call names this many workers; the pages count the cost of thirty.
MAX_WORKERS = 30
# Time beyond what the queue says that a decision takes.
TIMEOUT_MARGIN_MS = 1_500
RETRY_MS = 300
# A ticket is used only while it holds for the order to arrive.
TICKET_MARGIN_MS = 500


class Ticket(NamedTuple):
    """Allows a worker, in this life, to run a step."""

    ticket: str
    incarnation: int
    until: int


class StepAdvice:
    """What is known for one step of one occurrence.

    Attributes:
        tickets: By worker.
        refused: Workers that may not run the step.
        asking: Whether a call is under way.
        retry_at: No call before this time.
    """

    def __init__(self):
        self.tickets: dict[str, Ticket] = {}
        self.refused: set[str] = set()
        self.asking = False
        self.retry_at = 0


def is_needed(state, job) -> bool:
    """Whether the job's queue allows only advised workers."""
    queue = jobs.queue_of(state, job)
    return queue is not None and queue.advice is not None


def _of_step(task) -> StepAdvice:
    step = (task.key.occurrence, task.key.step)
    return task.job.tickets.setdefault(step, StepAdvice())


def ticket_for(state, task, worker) -> str:
    """Returns the ticket for a worker, or "" when there is none."""
    found = _of_step(task).tickets.get(worker.name)
    if found is None or found.incarnation != worker.incarnation:
        return ""
    if state.now + TICKET_MARGIN_MS > found.until:
        return ""
    return found.ticket


def filter_workers(state, effects, task, workers):
    """Returns the workers with a ticket; asks for more when there are few."""
    known = _of_step(task)
    allowed = []
    unknown = []
    for worker in workers:
        if ticket_for(state, task, worker):
            allowed.append(worker)
        elif worker.name not in known.refused:
            unknown.append(worker)
    if len(allowed) < task.step.count and unknown:
        _ask(state, effects, task, known, unknown)
    return allowed


def _ask(state, effects, task, known, workers):
    leader = state.leader
    if known.asking or leader.advice_pending or state.now < known.retry_at:
        return
    known.asking = True
    leader.advice_pending = True
    workers.sort(key=lambda worker: (worker.used[0], worker.name))
    names = tuple(worker.name for worker in workers[:MAX_WORKERS])
    cost = jobs.queue_of(state, task.job).advice
    timeout_ms = cost.decide_ms + cost.per_worker_ms * len(names)
    effects.append(
        fx.RequestAdvice(
            task.key.job,
            task.key.occurrence,
            task.key.step,
            names,
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
    known = job.tickets.get((event.occurrence, event.step))
    if known is None:
        return
    known.asking = False
    fields = {
        "job": event.job,
        "step": event.step,
        "ok": event.ok,
        "asked": len(event.asked),
        "allowed": len(event.tickets),
    }
    effects.append(fx.Log("info", "advice", fields))
    if not event.ok:
        known.retry_at = state.now + RETRY_MS
        return
    for name in event.asked:
        worker = leader.workers.get(name)
        if name not in event.tickets:
            known.refused.add(name)
        elif worker is not None:
            known.tickets[name] = Ticket(
                event.tickets[name],
                worker.incarnation,
                state.now + event.valid_ms,
            )


HANDLERS = {events.AdviceAnswered: _on_advice}
