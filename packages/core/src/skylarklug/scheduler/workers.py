"""Tracks workers on their leader: registration, polls, leases and runs."""

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

# Longest time for which a poll waits for a run to end. It limits the age of
# leases and measurements, and is a third of the longest lease.
POLL_WAIT_MS = 1_000
# Added to the wait of a poll to get its timeout.
POLL_TIMEOUT_MARGIN_MS = 600
# Pause between two polls. Runs that end within it are reported in one answer.
POLL_PAUSE_MS = 30
# Wait after a failed poll.
POLL_RETRY_MS = 300
# Pause between polls while the store has not committed all reported ends. Such
# polls return at once.
UNSAVED_POLL_PAUSE_MS = 400
# A run that is missing from this many polls in a row is lost: it has ended
# without a report.
POLLS_UNTIL_LOST = 2
# Wait after a failed commit of the roster.
ROSTER_RETRY_MS = 200


# ------------------------------------------------------------------ entries


def _on_entries(state, event, effects):
    shard = state.shard
    if shard is None:
        return
    present = set()
    for entry in event.entries:
        present.add(entry.worker)
        _update_entry(state, effects, entry)
    if event.whole:
        for worker in list(shard.workers.values()):
            if worker.name not in present:
                _unlist_worker(state, effects, worker)
        shard.loaded.add("workers")
    for name in event.removed:
        if name in shard.workers:
            _unlist_worker(state, effects, shard.workers[name])


def _update_entry(state, effects, entry):
    shard = state.shard
    worker = shard.workers.get(entry.worker)
    if worker is None:
        worker = state_lib.Worker(entry)
        shard.workers[entry.worker] = worker
        _log_worker(state, effects, worker, "listed")
    if entry.draining and not worker.entry.draining:
        _log_worker(state, effects, worker, "draining")
    worker.entry = entry
    worker.listed = True
    shard.place_soon = True
    if entry.born > worker.born:
        _on_restart(state, effects, worker, entry.born)


def _unlist_worker(state, effects, worker):
    if worker.listed:
        worker.listed = False
        _log_worker(state, effects, worker, "unlisted")


def _log_worker(state, effects, worker, change):
    fields = {
        "worker": worker.name,
        "change": change,
        "runs": len(worker.runs),
        "silent_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("info", "worker", fields))


def _on_restart(state, effects, worker, born):
    """Handles a restart of a worker, which ended all its earlier runs.

    A start order in flight may still reach the new incarnation, so the next
    poll decides which runs are lost.
    """
    if worker.born:
        _log_worker(state, effects, worker, "reborn")
        worker.reborn = True
    worker.born = born
    worker.fenced = False
    worker.clock = (0, 0)
    worker.acknowledged = 0
    worker.highest_end = 0
    worker.unsaved.clear()
    worker.look_at = 0


def _mark_run_lost(state, effects, worker, task, reason):
    """Releases a run that is gone without having been reported as ended."""
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": worker.name,
        "reason": reason,
        "checkpoint": bool(task.checkpoint),
    }
    effects.append(fx.Log("warning", "run-lost", fields))
    orders.release(state, effects, task, worker)
    gangs.stop_other_members(state, effects, task, "a member was lost")


# -------------------------------------------------------------------- polls


def _poll(state, effects, worker):
    worker.looking = True
    lease_until = 0
    wait_ms = 0
    if worker.answers(state.now) and not worker.failed_looks:
        # An unresponsive worker gets no new lease, so that its tasks can be
        # restarted elsewhere as early as possible.
        lease_until = worker.clock_now(state.now) + state.cfg.max_lease_ms
        worker.granted_at = state.now
        if not worker.unsaved:
            wait_ms = POLL_WAIT_MS
    effects.append(
        fx.Look(
            worker.name,
            worker.entry.address,
            state.shard.epoch,
            worker.acknowledged,
            lease_until,
            wait_ms,
            wait_ms + POLL_TIMEOUT_MARGIN_MS,
        )
    )


def _on_polled(state, event, effects):
    shard = state.shard
    if shard is None:
        return
    worker = shard.workers.get(event.worker)
    if worker is None:
        return
    worker.looking = False
    if event.born < worker.born:
        worker.look_at = state.now + POLL_RETRY_MS
        return
    if event.born > worker.born:
        _on_restart(state, effects, worker, event.born)
    first_answer = not worker.fenced or worker.failed_looks
    worker.fenced = True
    worker.failed_looks = 0
    worker.clock = (event.clock_ms, state.now)
    worker.answered_at = state.now
    for report in event.ended:
        if report.number <= worker.highest_end:
            continue
        worker.highest_end = report.number
        unsaved = ends.take(state, effects, worker, report)
        if unsaved:
            worker.unsaved[report.number] = unsaved
    update_acknowledged(worker)
    _reconcile(state, effects, worker, event)
    interference.on_poll(state, effects, worker)
    if first_answer:
        _log_worker(state, effects, worker, "reached")
        shard.place_soon = True
        worker.look_at = state.now
    elif worker.unsaved:
        worker.look_at = state.now + UNSAVED_POLL_PAUSE_MS
    else:
        worker.look_at = state.now + POLL_PAUSE_MS


def update_acknowledged(worker):
    """Updates the number up to which the worker may discard reported ends."""
    if worker.unsaved:
        worker.acknowledged = min(worker.unsaved) - 1
    else:
        worker.acknowledged = worker.highest_end


def on_jobs_committed(state, names):
    """Removes the unsaved ends of jobs whose rows have been committed."""
    for worker in state.shard.workers.values():
        if not worker.unsaved:
            continue
        for number, job in list(worker.unsaved.items()):
            if job in names:
                del worker.unsaved[number]
        update_acknowledged(worker)
        if not worker.unsaved and not worker.looking:
            worker.look_at = state.now


def _reconcile(state, effects, worker, event):
    """Reconciles the runs that a worker reports with the leader's state."""
    listed = set()
    for report in event.running:
        task = worker.runs.get(report.key)
        if task is None or task.attempt != report.attempt:
            if _adopt_run(state, effects, worker, report):
                listed.add(report.key)
            continue
        listed.add(report.key)
        _update_run(state, task, report)
    for key, task in list(worker.runs.items()):
        if key in listed:
            task.missing = 0
            continue
        _on_run_not_listed(state, effects, worker, task, event.sent_at)
    worker.reborn = False


def _update_run(state, task, report):
    shard = state.shard
    if task.status == state_lib.STARTING:
        task.status = state_lib.WORKING
        task.confirmed_at = state.now
        shard.unsettled.pop(task.key, None)
        orders.mark_started(shard, task.job)
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    task.percent = report.percent
    task.gauge = report.gauge


def _adopt_run(state, effects, worker, report):
    """Adopts a run that a former leader started, or stops it."""
    shard = state.shard
    job = shard.jobs.get(report.key.job)
    task = None if job is None else job.tasks.get(report.key)
    if task is not None and not task.worker:
        if report.attempt > task.attempt:
            jobs.drop_ready(shard, task)
            task.attempt = report.attempt
            orders.occupy(worker, task)
            task.status = state_lib.WORKING
            task.confirmed_at = state.now
            task.held_until = 0
            task.pace_known = False
            _update_run(state, task, report)
            orders.mark_started(shard, job)
            return True
    if task is not None and task.worker and task.attempt == report.attempt:
        # No gang member or speculative copy shares task and attempt. This is
        # the same order, reported before its worker changed address.
        return False
    orders.stop_unknown(state, effects, worker, report)
    return False


def _on_run_not_listed(state, effects, worker, task, sent_at):
    if task.status == state_lib.STARTING:
        return
    if worker.reborn:
        _mark_run_lost(state, effects, worker, task, "reborn")
        return
    if not task.confirmed_at or sent_at < task.confirmed_at:
        return
    task.missing += 1
    if task.missing >= POLLS_UNTIL_LOST:
        _mark_run_lost(state, effects, worker, task, "not listed")


def _on_poll_failed(state, event, effects):
    if event.op != "look" or state.shard is None:
        return
    worker = state.shard.workers.get(event.worker)
    if worker is None:
        return
    worker.looking = False
    worker.failed_looks += 1
    worker.look_at = state.now + POLL_RETRY_MS
    fields = {
        "worker": worker.name,
        "result": event.result,
        "reason": event.reason,
        "silent_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("warning", "look-failed", fields))
    if event.reason == "fence":
        orders.suspect_take_over(state, effects, worker.name)


# --------------------------------------------------------------------- tick


def _on_tick(state, event, effects):
    shard = state.shard
    if shard is None or not leadership.is_loaded(shard):
        return
    if "workers" not in shard.loaded:
        return
    _add_former_workers(state)
    if not leadership.may_act(state):
        return
    lease_duration_ms = leadership.lease_ms(state.cfg)
    for worker in list(shard.workers.values()):
        if not worker.looking and state.now >= worker.look_at:
            _poll(state, effects, worker)
        # Only a commit sent after the lease expired proves that no other
        # leader has renewed the lease in the meantime.
        lease_ends_at = (
            max(worker.granted_at, worker.answered_at) + lease_duration_ms
        )
        if shard.confirmed_at < lease_ends_at:
            continue
        for task in list(worker.runs.values()):
            _mark_run_lost(state, effects, worker, task, "lease ended")
        if not worker.listed and worker.name not in shard.former:
            del shard.workers[worker.name]
    _save_roster(state, effects)
    if not shard.settled:
        _end_settling(state, effects)


def _add_former_workers(state):
    """Adds workers that former leaders used but that are no longer listed."""
    shard = state.shard
    for name, (address, service, zone) in shard.former.items():
        if name in shard.workers:
            continue
        entry = records.WorkerEntry(
            worker=name,
            service=service,
            address=address,
            zone=zone,
            draining=True,
            remaining_ms=-1,
            room=records.Resources(0, 0, 0),
            labels=(),
            rack="",
            born=0,
        )
        worker = state_lib.Worker(entry)
        worker.listed = False
        shard.workers[name] = worker


def _end_settling(state, effects):
    """Ends the wait for unreported runs of former leaders."""
    shard = state.shard
    unreached = []
    for name in shard.former:
        worker = shard.workers.get(name)
        if worker is not None and not worker.fenced:
            unreached.append(name)
    if unreached and state.now < shard.settled_at:
        return
    shard.settled = True
    shard.former = {}
    for job in shard.jobs.values():
        for task in job.tasks.values():
            task.held_until = 0
    shard.place_soon = True
    fields = {"epoch": shard.epoch, "unreached": unreached}
    effects.append(fx.Log("info", "settled", fields))


def _save_roster(state, effects):
    """Saves the roster, so that a worker is in it before its first order."""
    shard = state.shard
    names = set(shard.workers)
    if names <= shard.roster_saved or shard.roster_saving:
        return
    if state.now < shard.roster_at:
        return
    shard.roster_saving = True
    value = {}
    for worker in shard.workers.values():
        entry = worker.entry
        value[worker.name] = [entry.address, entry.service, entry.zone]

    def done(state, effects, answer):
        if state.shard is not shard:
            return
        shard.roster_saving = False
        if answer.status == "ok":
            leadership.confirm(state, answer)
            shard.roster_version = answer.version
            shard.roster_saved = names
            shard.place_soon = True
            return
        shard.roster_at = state.now + ROSTER_RETRY_MS
        if answer.status != "conflict":
            return
        if not leadership.check_conflict(state, effects, answer):
            return
        for row in answer.rows:
            if row.key == leadership.ROSTER:
                shard.roster_version = row.version

    store.commit(
        state,
        effects,
        [
            leadership.owner_check(shard),
            fx.Check(leadership.TABLE, leadership.ROSTER, shard.roster_version),
        ],
        [fx.Write(leadership.TABLE, leadership.ROSTER, value)],
        done,
    )


HANDLERS = {
    events.WorkersRead: _on_entries,
    events.WorkerLooked: _on_polled,
    events.OrderAnswered: _on_poll_failed,
    events.Tick: _on_tick,
}
