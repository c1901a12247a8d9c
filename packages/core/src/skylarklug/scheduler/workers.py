"""Workers at their leader: entries, looks, leases, and what runs there."""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import ends
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import store

# A look returns at an end, or after this time; leases and measurements are
# never older. It is a third of the time that a lease may last.
LOOK_WAIT_MS = 1_000
LOOK_TIMEOUT_MS = 600
# Ends of several tasks within this time come back in one answer.
LOOK_PAUSE_MS = 30
LOOK_RETRY_MS = 300
# With ends that the store has not taken yet a look returns at once.
UNSAVED_LOOK_MS = 400
# A run that two looks in a row do not list has ended unseen.
MISSING_LOOKS = 2
ROSTER_RETRY_MS = 200


# ------------------------------------------------------------------ entries


def _on_entries(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    present = set()
    for entry in event.entries:
        present.add(entry.worker)
        _update(state, effects, entry)
    if event.whole:
        for worker in list(leader.workers.values()):
            if worker.name not in present:
                _unlist(state, effects, worker)
        leader.loaded.add("workers")
    for name in event.removed:
        if name in leader.workers:
            _unlist(state, effects, leader.workers[name])


def _update(state, effects, entry):
    leader = state.leader
    worker = leader.workers.get(entry.worker)
    if worker is None:
        worker = state_lib.Worker(entry)
        leader.workers[entry.worker] = worker
        _log_worker(state, effects, worker, "listed")
    if entry.draining and not worker.entry.draining:
        _log_worker(state, effects, worker, "draining")
    worker.entry = entry
    worker.listed = True
    leader.placement_requested = True
    if entry.incarnation > worker.incarnation:
        _on_new_life(state, effects, worker, entry.incarnation)


def _unlist(state, effects, worker):
    if worker.listed:
        worker.listed = False
        _log_worker(state, effects, worker, "unlisted")


def _log_worker(state, effects, worker, what):
    fields = {
        "worker": worker.name,
        "change": what,
        "runs": len(worker.runs),
        "silent_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("info", "worker", fields))


def _on_new_life(state, effects, worker, incarnation):
    """The worker has started again: nothing of before runs there.

    A start that is on its way may still reach the new life, so the next look
    decides which runs are lost.
    """
    if worker.incarnation:
        _log_worker(state, effects, worker, "reborn")
        worker.restarted = True
    worker.incarnation = incarnation
    worker.fenced = False
    worker.clock = (0, 0)
    worker.acknowledged = 0
    worker.last_end_number = 0
    worker.unsaved_ends.clear()
    worker.poll_due_at = 0


def _lose_run(state, effects, worker, task, reason):
    """Notes that a run is gone without having been listed as ended."""
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": worker.name,
        "reason": reason,
        "checkpoint": bool(task.checkpoint),
    }
    effects.append(fx.Log("warning", "run-lost", fields))
    orders.requeue(state, effects, task, worker)
    gangs.break_up(state, effects, task, "a member was lost")


# -------------------------------------------------------------------- looks


def _look(state, effects, worker):
    worker.poll_pending = True
    lease_until = 0
    wait_ms = 0
    if worker.is_responsive(state.now) and not worker.failed_polls:
        # A worker that has become silent gets no new lease, so that its tasks
        # can move on as early as possible.
        lease_until = worker.clock_now(state.now) + state.cfg.max_lease_ms
        worker.lease_granted_at = state.now
        if not worker.unsaved_ends:
            wait_ms = LOOK_WAIT_MS
    effects.append(
        fx.PollWorker(
            worker.name,
            worker.entry.address,
            state.leader.epoch,
            worker.acknowledged,
            lease_until,
            wait_ms,
            wait_ms + LOOK_TIMEOUT_MS,
        )
    )


def _on_looked(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    worker = leader.workers.get(event.worker)
    if worker is None:
        return
    worker.poll_pending = False
    if event.incarnation < worker.incarnation:
        worker.poll_due_at = state.now + LOOK_RETRY_MS
        return
    if event.incarnation > worker.incarnation:
        _on_new_life(state, effects, worker, event.incarnation)
    first = not worker.fenced or worker.failed_polls
    worker.fenced = True
    worker.failed_polls = 0
    worker.clock = (event.clock_ms, state.now)
    worker.answered_at = state.now
    for report in event.ended:
        if report.number <= worker.last_end_number:
            continue
        worker.last_end_number = report.number
        unsaved = ends.handle_end(state, effects, worker, report)
        if unsaved:
            worker.unsaved_ends[report.number] = unsaved
    acknowledge(worker)
    _reconcile(state, effects, worker, event)
    interference.judge(state, effects, worker)
    if first:
        _log_worker(state, effects, worker, "reached")
        leader.placement_requested = True
        worker.poll_due_at = state.now
    elif worker.unsaved_ends:
        worker.poll_due_at = state.now + UNSAVED_LOOK_MS
    else:
        worker.poll_due_at = state.now + LOOK_PAUSE_MS


def acknowledge(worker):
    """Raises what the worker may forget to the newest saved end."""
    if worker.unsaved_ends:
        worker.acknowledged = min(worker.unsaved_ends) - 1
    else:
        worker.acknowledged = worker.last_end_number


def saved(state, names):
    """Notes that the rows of these jobs have been committed."""
    for worker in state.leader.workers.values():
        if not worker.unsaved_ends:
            continue
        for number, job in list(worker.unsaved_ends.items()):
            if job in names:
                del worker.unsaved_ends[number]
        acknowledge(worker)
        if not worker.unsaved_ends and not worker.poll_pending:
            worker.poll_due_at = state.now


def _reconcile(state, effects, worker, event):
    """Compares the runs that a worker lists with the books."""
    listed = set()
    for report in event.running:
        task = worker.runs.get(report.key)
        if task is None or task.attempt != report.attempt:
            if _adopt(state, effects, worker, report):
                listed.add(report.key)
            continue
        listed.add(report.key)
        _update_run(state, task, report)
    for key, task in list(worker.runs.items()):
        if key in listed:
            task.missed_polls = 0
            continue
        _on_unlisted(state, effects, worker, task, event.sent_at)
    worker.restarted = False


def _update_run(state, task, report):
    leader = state.leader
    if task.status == state_lib.STARTING:
        task.status = state_lib.WORKING
        task.confirmed_at = state.now
        leader.unconfirmed.pop(task.key, None)
        orders.mark_started(leader, task.job)
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    task.percent = report.percent
    task.measurement = report.measurement


def _adopt(state, effects, worker, report):
    """Takes a run of a former leader into the books, or stops it."""
    leader = state.leader
    job = leader.jobs.get(report.key.job)
    task = None if job is None else job.tasks.get(report.key)
    if task is not None and not task.worker:
        if report.attempt > task.attempt:
            jobs.dequeue(leader, task)
            task.attempt = report.attempt
            orders.reserve_resources(worker, task)
            task.status = state_lib.WORKING
            task.confirmed_at = state.now
            task.held_until = 0
            task.pace_confirmed = False
            _update_run(state, task, report)
            orders.mark_started(leader, job)
            return True
    if task is not None and task.worker and task.attempt == report.attempt:
        # A gang member or a copy cannot share task and attempt: this is the
        # same order, seen before its worker changed address.
        return False
    orders.stop_unexpected_run(state, effects, worker, report)
    return False


def _on_unlisted(state, effects, worker, task, sent_at):
    if task.status == state_lib.STARTING:
        return
    if worker.restarted:
        _lose_run(state, effects, worker, task, "reborn")
        return
    if not task.confirmed_at or sent_at < task.confirmed_at:
        return
    task.missed_polls += 1
    if task.missed_polls >= MISSING_LOOKS:
        _lose_run(state, effects, worker, task, "not listed")


def _on_look_failed(state, event, effects):
    if event.op != "look" or state.leader is None:
        return
    worker = state.leader.workers.get(event.worker)
    if worker is None:
        return
    worker.poll_pending = False
    worker.failed_polls += 1
    worker.poll_due_at = state.now + LOOK_RETRY_MS
    fields = {
        "worker": worker.name,
        "result": event.result,
        "reason": event.reason,
        "silent_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("warning", "look-failed", fields))
    if event.reason == "fence":
        orders.suspend_orders(state, effects, worker.name)


# --------------------------------------------------------------------- tick


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if "workers" not in leader.loaded:
        return
    _add_former(state)
    if not leadership.may_send_orders(state):
        return
    silence = leadership.lease_ms(state.cfg)
    for worker in list(leader.workers.values()):
        if not worker.poll_pending and state.now >= worker.poll_due_at:
            _look(state, effects, worker)
        # Only a commit after the end of the lease proves that no other
        # leader has renewed it meanwhile.
        ends_at = max(worker.lease_granted_at, worker.answered_at) + silence
        if leader.confirmed_at < ends_at:
            continue
        for task in list(worker.runs.values()):
            _lose_run(state, effects, worker, task, "lease ended")
        if not worker.listed and worker.name not in leader.former_workers:
            del leader.workers[worker.name]
    _save_roster(state, effects)
    if not leader.settled:
        _settle(state, effects)


def _add_former(state):
    """Adds workers that former leaders used and that are not listed now."""
    leader = state.leader
    for name, (address, service, zone) in leader.former_workers.items():
        if name in leader.workers:
            continue
        entry = records.WorkerEntry(
            worker=name,
            service=service,
            address=address,
            zone=zone,
            draining=True,
            remaining_ms=-1,
            capacity=records.Resources(0, 0, 0),
            labels=(),
            rack="",
            incarnation=0,
        )
        worker = state_lib.Worker(entry)
        worker.listed = False
        leader.workers[name] = worker


def _settle(state, effects):
    """Ends the wait for runs that no worker has reported."""
    leader = state.leader
    missing = []
    for name in leader.former_workers:
        worker = leader.workers.get(name)
        if worker is not None and not worker.fenced:
            missing.append(name)
    if missing and state.now < leader.settled_at:
        return
    leader.settled = True
    leader.former_workers = {}
    for job in leader.jobs.values():
        for task in job.tasks.values():
            task.held_until = 0
    leader.placement_requested = True
    fields = {"epoch": leader.epoch, "unreached": missing}
    effects.append(fx.Log("info", "settled", fields))


def _save_roster(state, effects):
    """Writes the workers that orders may go to, before the first order."""
    leader = state.leader
    names = set(leader.workers)
    if names <= leader.roster_saved or leader.roster_saving:
        return
    if state.now < leader.roster_due_at:
        return
    leader.roster_saving = True
    value = {}
    for worker in leader.workers.values():
        entry = worker.entry
        value[worker.name] = [entry.address, entry.service, entry.zone]

    def done(state, effects, answer):
        if state.leader is not leader:
            return
        leader.roster_saving = False
        if answer.status == "ok":
            leadership.record_commit(state, answer)
            leader.roster_version = answer.version
            leader.roster_saved = names
            leader.placement_requested = True
            return
        leader.roster_due_at = state.now + ROSTER_RETRY_MS
        if answer.status != "conflict":
            return
        if not leadership.check_conflict(state, effects, answer):
            return
        for row in answer.rows:
            if row.key == leadership.ROSTER:
                leader.roster_version = row.version

    store.commit(
        state,
        effects,
        [
            leadership.owner_check(leader),
            fx.Check(
                leadership.TABLE, leadership.ROSTER, leader.roster_version
            ),
        ],
        [fx.Write(leadership.TABLE, leadership.ROSTER, value)],
        done,
    )


HANDLERS = {
    events.WorkersChanged: _on_entries,
    events.WorkerPolled: _on_looked,
    events.OrderAnswered: _on_look_failed,
    events.Tick: _on_tick,
}
