"""Tracks workers on their leader: registration, polls, leases and runs."""

from skylarklug.scheduler import capacity
from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import ends
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import horizon
from skylarklug.scheduler import incarnations
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import orders
from skylarklug.scheduler import outages
from skylarklug.scheduler import roster
from skylarklug.scheduler import state as state_lib

# Longest time for which a poll waits for a run to end. It limits the age of
# leases and measurements, and is well below the longest lease.
POLL_WAIT_MS = 1_000
# Added to the wait of a poll to get its timeout.
POLL_TIMEOUT_MARGIN_MS = 600
# A poll that is not answered this long after the end of its wait is late.
LATE_ANSWER_MS = 300
# Pause between two polls. Runs that end within it are reported in one answer.
POLL_PAUSE_MS = 30
# Each failed poll adds this much to the timeout of the next one, up to
# MAX_POLL_TIMEOUT_MS. A worker that is only slow must be able to answer, or its
# leases end and its tasks are started again elsewhere.
POLL_TIMEOUT_STEP_MS = 1_000
MAX_POLL_TIMEOUT_MS = 2_600
# Delay before the next poll after a failed one.
POLL_RETRY_MS = 300
# A poll acknowledges ends only if it is sent within this time. A connection
# that is not open by then may be to a later incarnation.
ACKNOWLEDGE_WITHIN_MS = 500
# Pause between polls while the store has not committed all reported ends. Such
# polls return at once.
UNSAVED_POLL_PAUSE_MS = 400
# A run that is missing from this many polls in a row is lost: it has ended
# without a report.
POLLS_UNTIL_LOST = 2


# ------------------------------------------------------------------ entries


def _on_entries(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    capacity.record_entries_read(state)
    present = set()
    for entry in event.entries:
        present.add(entry.worker)
        _update_entry(state, effects, entry)
    if event.whole:
        for worker in list(leader.workers.values()):
            if worker.name not in present:
                _unlist_worker(state, effects, worker)
        leader.loaded.add("workers")
    for name in event.removed:
        if name in leader.workers:
            _unlist_worker(state, effects, leader.workers[name])


def _update_entry(state, effects, entry):
    leader = state.leader
    worker = leader.workers.get(entry.worker)
    if worker is None:
        worker = state_lib.Worker(entry)
        leader.workers[entry.worker] = worker
        _log_worker(state, effects, worker, "listed")
    if 0 < entry.incarnation < worker.incarnation:
        # A late read of the entry of an earlier incarnation.
        return
    if entry.incarnation and entry.incarnation == worker.false_incarnation:
        _unlist_worker(state, effects, worker)
        return
    if (
        worker.answered_address not in ("", entry.address)
        and entry.incarnation == worker.incarnation
    ):
        # An instance keeps its address.
        _unlist_worker(state, effects, worker)
        return
    if entry.draining and not worker.entry.draining:
        _log_worker(state, effects, worker, "draining")
    if entry.incarnation > worker.incarnation:
        # By the former entry, which says whether it has ended as planned.
        _on_restart(state, effects, worker, entry.incarnation)
        worker.announced_at = state.now
    worker.entry = entry
    worker.listed = True
    leader.placement_requested = True
    worker.record_change(leader)


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


def _on_restart(state, effects, worker, incarnation):
    """Handles a restart of a worker, which ended all its earlier runs.

    A start order in flight may still reach the new incarnation, so the next
    poll decides which runs are lost.
    """
    if worker.incarnation:
        _log_worker(state, effects, worker, "reborn")
        worker.restarted = True
        outages.note(state, worker)
        outages.note_end(state, worker)
        _record_crash(state, effects, worker, lost=True, proven=True)
    worker.incarnation = incarnation
    worker.replaced = False
    worker.answered_address = ""
    worker.fenced = False
    worker.clock = (0, 0)
    worker.acknowledged = 0
    worker.last_end_number = 0
    worker.unsaved_ends.clear()
    worker.has_unreadable_end = False
    worker.has_more_ends = False
    worker.later_ends.clear()
    worker.poll_due_at = 0


def _refute_entry(state, effects, worker, incarnation):
    """Handles an answer of the incarnation before the one in the entry.

    The poll was sent after the entry was read, so that start has not taken
    place: another writer has put the number there.
    """
    fields = {"worker": worker.name, "incarnation": worker.incarnation}
    effects.append(fx.Log("warning", "entry-refuted", fields))
    worker.false_incarnation = worker.incarnation
    worker.incarnation = incarnation
    worker.restarted = False
    _unlist_worker(state, effects, worker)


def _record_crash(state, effects, worker, lost, proven):
    """Records that a worker has crashed, or may have."""
    leader = state.leader
    changed = crashes.record_runs(state, worker, lost, proven)
    if proven:
        changed += crashes.prove(leader, worker)
    _save_crashes(state, effects, changed)


def _save_crashes(state, effects, changed):
    """Saves changed crash records, and gives up what they prove."""
    for job in dict.fromkeys(changed):
        jobs.mark_dirty(state.leader, job)
        for key in list(job.crashes):
            task = job.tasks.get(key)
            if task is None or task.worker or not crashes.is_exhausted(task):
                continue
            jobs.fail_job(state, effects, job, crashes.describe(task))


def _mark_run_lost(state, effects, worker, task, reason, since=None):
    """Requeues a task whose run is gone without a report of its end."""
    delay_ms = crashes.restart_delay_ms(task)
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": worker.name,
        "reason": reason,
        "checkpoint": bool(task.checkpoint),
        "confirmed": task.running_since > 0,
        "survived_ms": task.survived_ms(),
        "crashes": len(task.crashes),
        "delay_ms": delay_ms,
        "ended_ms_ago": 0 if since is None else state.now - since,
    }
    effects.append(fx.Log("warning", "run-lost", fields))
    effects.append(fx.Measure("skylarklug.runs.lost", 1, {"reason": reason}))
    outcome = f"lost: {reason}"
    orders.requeue(state, effects, task, worker, delay_ms, since, outcome)
    gangs.stop_other_members(state, effects, task, "a member was lost")
    if crashes.is_exhausted(task):
        jobs.fail_job(state, effects, task.job, crashes.describe(task))


# -------------------------------------------------------------------- polls


def _poll(state, effects, worker):
    worker.poll_pending = True
    lease_until = 0
    wait_ms = 0
    is_answering = worker.is_responsive(state.now) and not worker.failed_polls
    if is_answering and not _awaits_commit(state.leader, worker):
        # An unresponsive worker gets no new lease, so that its tasks can be
        # restarted elsewhere as early as possible.
        lease_ms = horizon.longest_lease_ms(state)
        if lease_ms:
            lease_until = worker.clock_now(state.now) + lease_ms
            worker.lease_granted_at = state.now
        if not ends.must_keep_ends(worker):
            wait_ms = POLL_WAIT_MS
            if horizon.is_overdue(state):
                wait_ms = horizon.WITNESS_WAIT_MS
    worker.answer_due_at = state.now + wait_ms + LATE_ANSWER_MS
    timeout_ms = min(
        MAX_POLL_TIMEOUT_MS,
        wait_ms
        + POLL_TIMEOUT_MARGIN_MS
        + worker.failed_polls * POLL_TIMEOUT_STEP_MS,
    )
    effects.append(
        fx.PollWorker(
            worker.name,
            worker.entry.address,
            state.leader.epoch,
            incarnations.acknowledgeable_end(worker),
            lease_until,
            wait_ms,
            timeout_ms,
            state.now + ACKNOWLEDGE_WITHIN_MS,
        )
    )


def _awaits_commit(leader, worker):
    """Returns whether a worker gets no lease before the next commit."""
    return not leader.leases_from or worker.name in leader.expiring


def _on_polled(state, event, effects):
    leader = state.leader
    if leader is None:
        return
    worker = leader.workers.get(event.worker)
    if worker is None or event.sent_at < leader.since:
        # A poll of an earlier leadership carried another epoch.
        return
    worker.poll_pending = False
    if event.incarnation < worker.incarnation:
        if not worker.announced_at or event.sent_at < worker.announced_at:
            worker.poll_due_at = state.now + POLL_RETRY_MS
            return
        _refute_entry(state, effects, worker, event.incarnation)
    if event.incarnation > worker.incarnation:
        _on_restart(state, effects, worker, event.incarnation)
    worker.announced_at = 0
    worker.awaits_verification = False
    incarnations.verify_starts(worker, event.sent_at)
    if _is_unreadable(event) and not worker.fenced and not leader.settled:
        # Any run of a former leader may be one that could not be read. It gets
        # no lease from this leader, and settling waits for its end.
        _record_failed_poll(
            state, effects, worker, "unknown", "a row could not be read"
        )
        return
    first_answer = not worker.fenced or worker.failed_polls
    if not worker.fenced:
        _save_crashes(state, effects, crashes.prove_at_address(leader, worker))
        worker.reached_at = state.now
        leader.worker_reached_at = state.now
        # Nothing starts there before a commit, which others may share.
        leader.heartbeat_due_at = min(
            leader.heartbeat_due_at, state.now + leadership.REACHED_DELAY_MS
        )
    worker.fenced = True
    worker.failed_polls = 0
    worker.clock = (event.clock_ms, state.now)
    worker.asked_at = event.sent_at
    worker.answered_at = state.now
    if worker.name in leader.former_names:
        leader.reached_names.add(worker.name)
    if worker.name in leader.expiring:
        leader.roster_changed = True
    worker.answered_address = worker.entry.address
    worker.record_change(leader)
    _save_crashes(state, effects, crashes.take_back(leader, worker))
    ends.handle_ends(state, effects, worker, event)
    _reconcile(state, effects, worker, event)
    interference.on_poll(state, effects, worker)
    if first_answer:
        _log_worker(state, effects, worker, "reached")
        leader.placement_requested = True
        leader.roster_changed = True
        worker.poll_due_at = state.now
        if _awaits_commit(leader, worker):
            worker.poll_due_at += roster.UNEXPIRED_POLL_DELAY_MS
    elif _awaits_commit(leader, worker):
        worker.poll_due_at = state.now + roster.UNEXPIRED_POLL_DELAY_MS
    elif ends.must_keep_ends(worker):
        worker.poll_due_at = state.now + UNSAVED_POLL_PAUSE_MS
    elif event.ended and worker.unverified_starts:
        # The next poll would list these ends again, and return at once.
        worker.poll_due_at = state.now + UNSAVED_POLL_PAUSE_MS
        worker.awaits_verification = True
    else:
        worker.poll_due_at = state.now + POLL_PAUSE_MS


def on_jobs_committed(state, names):
    """Removes the unsaved ends of jobs whose rows have been committed."""
    for worker in state.leader.workers.values():
        if not worker.unsaved_ends:
            continue
        for number, job in list(worker.unsaved_ends.items()):
            if job in names:
                del worker.unsaved_ends[number]
        ends.update_acknowledged(worker)
        if not worker.unsaved_ends and not worker.poll_pending:
            worker.poll_due_at = state.now


def _is_unreadable(event):
    """Returns whether the answer has rows that could not be read."""
    return event.has_unreadable_run or event.unreadable_end > 0


def _is_incomplete(event):
    """Returns whether a run that the answer does not list may be known to it.

    It may be in a row that could not be read, and run or have ended, or among
    the ends for which the list had no room.
    """
    return _is_unreadable(event) or event.has_more_ends


def _reconcile(state, effects, worker, event):
    """Reconciles the runs that a worker reports with the leader's state."""
    listed = set()
    unwanted = []
    for report in event.running:
        task = worker.runs.get(report.key)
        if task is None or task.attempt != report.attempt:
            if _adopt_run(state, effects, worker, report):
                listed.add(report.key)
            else:
                unwanted.append(report.key)
            continue
        listed.add(report.key)
        _update_run(state, task, report)
        task.listed_at = event.sent_at
        for job in crashes.forget(task):
            jobs.mark_dirty(state.leader, job)
    orders.count_unwanted_runs(state.leader, worker, unwanted)
    for key, task in list(worker.runs.items()):
        if key in listed:
            task.missed_polls = 0
        elif not _is_incomplete(event):
            _on_run_not_listed(state, effects, worker, task, event.sent_at)
    if event.has_unreadable_run:
        worker.has_unknown_run = True
    if not _is_incomplete(event):
        worker.restarted = False


def _update_run(state, task, report):
    leader = state.leader
    if task.status == state_lib.STARTING:
        task.status = state_lib.WORKING
        task.confirmed_at = state.now
        task.running_since = state.now
        leader.unconfirmed.pop(task.key, None)
        orders.mark_started(leader, task.job)
    if report.checkpoint:
        task.checkpoint = report.checkpoint
    task.percent = report.percent
    task.measurement = report.measurement


def _adopt_run(state, effects, worker, report):
    """Adopts a run that a former leader started, or stops it."""
    leader = state.leader
    task = jobs.find_reported_task(state, report.key)
    if task is not None and not task.worker:
        if report.attempt > task.attempt:
            jobs.dequeue(leader, task)
            task.attempt = report.attempt
            orders.reserve_resources(worker, task)
            task.status = state_lib.WORKING
            task.confirmed_at = state.now
            task.running_since = state.now
            task.adopted = True
            task.idle_before_ms = 0
            task.listed_at = 0
            task.held = False
            if not leader.settled:
                jobs.release_later_steps(task.job, task.key)
            task.pace_confirmed = False
            _update_run(state, task, report)
            orders.mark_started(leader, task.job)
            return True
    if task is not None and task.worker and task.attempt == report.attempt:
        # No gang member or speculative copy shares task and attempt. This is
        # the same order, reported before its worker changed address.
        return False
    orders.stop_unexpected_run(state, effects, worker, report)
    return False


def _on_run_not_listed(state, effects, worker, task, sent_at):
    if task.status == state_lib.STARTING:
        if worker.restarted:
            # An order in flight may still reach the new incarnation, which
            # rejects it after a stop.
            orders.withdraw_start(state, effects, task, "worker restarted")
        return
    if worker.restarted and sent_at >= task.confirmed_at:
        _mark_run_lost(state, effects, worker, task, "reborn")
        return
    if not task.confirmed_at or sent_at < task.confirmed_at:
        return
    task.missed_polls += 1
    if task.missed_polls >= POLLS_UNTIL_LOST:
        _mark_run_lost(state, effects, worker, task, "not listed")


def _record_failed_poll(state, effects, worker, result, reason):
    outages.note(state, worker)
    worker.failed_polls += 1
    worker.poll_due_at = state.now + POLL_RETRY_MS
    fields = {
        "worker": worker.name,
        "result": result,
        "reason": reason,
        "silent_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("warning", "look-failed", fields))


def _on_poll_failed(state, event, effects):
    if event.op != "look" or state.leader is None:
        return
    worker = state.leader.workers.get(event.worker)
    if worker is None or event.sent_at < state.leader.since:
        return
    worker.poll_pending = False
    _record_failed_poll(state, effects, worker, event.result, event.reason)
    if (
        event.reason == events.NOT_LISTENING
        and event.address == worker.answered_address
    ):
        outages.note_end(state, worker, refused=True)
    if event.reason == "fence":
        orders.suspend_orders(state, effects, worker.name)
    if event.result == "reborn" and _is_own_address(state, worker, event):
        _on_address_reused(state, effects, worker)


def _is_own_address(state, worker, event):
    """Returns whether a worker had the address at which another one answers.

    An entry may name the address of another worker by mistake.
    """
    if event.address != worker.entry.address:
        return False
    if event.address == worker.answered_address:
        return True
    former = state.leader.former_workers.get(worker.name)
    return former is not None and former.address == event.address


def _on_address_reused(state, effects, worker):
    """Handles a worker whose address another instance has.

    Its process has ended, and no order to it can be executed any more.
    """
    worker.fenced = False
    worker.replaced = True
    if worker.name in state.leader.former_names:
        # Its process has ended, so it is no witness of a former leader.
        state.leader.reached_names.add(worker.name)
    outages.note_end(state, worker)
    _record_crash(state, effects, worker, lost=True, proven=True)
    for task in list(worker.runs.values()):
        since = worker.answered_at
        _mark_run_lost(state, effects, worker, task, "address reused", since)


# --------------------------------------------------------------------- tick


def _on_tick(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if "workers" not in leader.loaded:
        return
    roster.add_former_workers(state)
    if not leadership.may_send_orders(state) and not horizon.is_renewing(state):
        return
    for worker in crashes.likely_crashed(state):
        _record_crash(state, effects, worker, lost=False, proven=False)
    for worker in list(leader.workers.values()):
        if not worker.poll_pending and state.now >= worker.poll_due_at:
            _poll(state, effects, worker)
        # Only a commit sent after the lease expired proves that no other
        # leader has renewed the lease in the meantime.
        if leader.confirmed_at < roster.lease_ends_at(state, worker):
            continue
        if worker.runs:
            _record_crash(state, effects, worker, lost=True, proven=False)
        for task in list(worker.runs.values()):
            # It has not run for about as long as the worker has been silent.
            since = worker.answered_at
            _mark_run_lost(state, effects, worker, task, "lease ended", since)
        if not worker.listed and worker.name not in leader.former_workers:
            del leader.workers[worker.name]
    if not leader.settled:
        roster.settle(state, effects)
        roster.log_unreached(state, effects)
    roster.save(state, effects)


HANDLERS = {
    events.WorkersChanged: _on_entries,
    events.WorkerPolled: _on_polled,
    events.OrderAnswered: _on_poll_failed,
    events.Tick: _on_tick,
}
