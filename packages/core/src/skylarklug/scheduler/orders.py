"""Orders to workers (start, stop and pace) and their answers.

Load pattern: a gang has more members than orders may be in flight. A member
that has begun waits for the others for some seconds only. So the starts of a
gang go out before all others, and once a member does not start, the others are
stopped, and the gang starts again as a whole.
"""

from skylarklug.scheduler import capacity
from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import horizon
from skylarklug.scheduler import incarnations
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import records
from skylarklug.scheduler import restarts
from skylarklug.scheduler import state as state_lib

# Workers answer within a few milliseconds, distant ones within ten.
ORDER_TIMEOUT_MS = 400
# Start orders in flight, at most. After an outage, hundreds of tasks fit at
# once; a leader that orders them all in one pass cannot read the answers before
# they time out, and repeats the orders.
MAX_STARTS_IN_FLIGHT = 64
# Delay before an order without an answer is repeated, after its timeout.
ORDER_RETRY_MS = 300
# A start that was ordered this often without an answer is withdrawn.
MAX_START_ORDERS = 4
# The same for a member of a gang. The others wait for it, for three seconds or
# more, and have to be stopped before.
MAX_GANG_START_ORDERS = 3
# Attempt numbers of each epoch are in a range of this size. A leader that has
# not seen the attempts of its predecessor still uses higher numbers.
ATTEMPTS_PER_EPOCH = 1_000
# Delay before a task is placed again after a worker did not take it.
PLACEMENT_RETRY_MS = 100
# A worker that refused a start gets no tasks for this long.
REFUSED_BACKOFF_MS = 1_000
# Delay, for each earlier failure, before a failed long-running task starts
# again. The first restart is immediate.
FAILED_RETRY_MS = 200


def reserve_resources(worker, task):
    """Reserves the task's resources on the worker."""
    worker.runs[task.key] = task
    task.worker = worker.name
    need = task.step.resources
    if not task.step.best_effort:
        worker.used[0] += need.cpu
        if not task.step.runs_until_cancelled:
            worker.short_cpu += need.cpu
    worker.used[1] += need.memory_mb
    worker.used[2] += need.accelerators


def free_resources(worker, task):
    """Frees the resources of a task whose run has ended."""
    if worker.runs.pop(task.key, None) is None:
        return
    task.worker = ""
    need = task.step.resources
    if not task.step.best_effort:
        worker.used[0] -= need.cpu
        if not task.step.runs_until_cancelled:
            worker.short_cpu -= need.cpu
    worker.used[1] -= need.memory_mb
    worker.used[2] -= need.accelerators


def counted_resources(step) -> records.Resources:
    """Returns what a task counts on a worker; best-effort CPU is not."""
    if step.best_effort:
        return step.resources._replace(cpu=0)
    return step.resources


def count_unwanted_runs(leader, worker, keys):
    """Counts runs that no task here has, until they are not listed any more.

    A run uses its resources until it has stopped, whoever started it.
    """
    for need in worker.unwanted_runs:
        for index, amount in enumerate(need):
            worker.used[index] -= amount
    worker.unwanted_runs = []
    worker.has_unknown_run = False
    for key in keys:
        job = leader.jobs.get(key.job)
        if job is None or key.step >= len(job.spec.steps):
            worker.has_unknown_run = True
            continue
        need = counted_resources(job.spec.steps[key.step])
        worker.unwanted_runs.append(need)
        for index, amount in enumerate(need):
            worker.used[index] += amount


def may_start_more(leader) -> bool:
    """Returns whether another task may be started now."""
    return not leader.unsent_starts and _has_free_slot(leader)


def _has_free_slot(leader):
    return leader.starts_in_flight < MAX_STARTS_IN_FLIGHT


def next_attempt(leader, task) -> int:
    """Returns an attempt number above all earlier ones, of any leader."""
    return max(task.attempt, (leader.epoch - 1) * ATTEMPTS_PER_EPOCH) + 1


def start(state, effects, task, worker, attempt, ticket=""):
    """Orders a worker to start a task, as soon as an order may be sent."""
    leader = state.leader
    task.status = state_lib.STARTING
    task.attempt = attempt
    task.confirmed_at = 0
    task.adopted = False
    task.running_since = 0
    task.idle_before_ms = restarts.idle_ms(state, task)
    task.listed_at = 0
    task.order_count = 0
    task.percent = 0
    task.missed_polls = 0
    task.ticket = ticket
    task.measurement = 0.0
    task.pace = 100
    task.pace_confirmed = True
    task.slow_since = 0
    task.over_target_since = 0
    task.excess_load = 0.0
    reserve_resources(worker, task)
    interference.record_run_change(state, worker, task)
    leader.unconfirmed[task.key] = task
    crashes.begin_trial(leader, task)
    if may_start_more(leader):
        _send_start(state, effects, task, worker)
    else:
        leader.unsent_starts[task.key] = task
    fields = {
        "task": str(task.key),
        "attempt": attempt,
        "worker": worker.name,
        "epoch": leader.epoch,
        "waited_ms": state.now - task.waiting_since,
        "waited_for": task.wait_reason or "nothing",
        "idle_ms": task.idle_before_ms,
        "last_end": task.last_end or "none",
        "preemptions": task.preemptions,
        "resumed": bool(task.checkpoint),
        "free_cpu": worker.entry.capacity.cpu - worker.used[0],
        "view_ms": state.now - worker.answered_at,
    }
    effects.append(fx.Log("info", "place", fields))
    waited = (state.now - task.waiting_since) / 1000
    effects.append(fx.Measure("skylarklug.start.wait", waited, {}))
    if task.step.runs_until_cancelled:
        attributes = {"last_end": task.last_end or "none"}
        effects.append(
            fx.Measure(
                "skylarklug.start.idle",
                task.idle_before_ms / 1000,
                attributes,
            )
        )


def _send_start(state, effects, task, worker):
    leader = state.leader
    task.ordered_at = state.now
    task.order_count += 1
    worker.lease_granted_at = state.now
    incarnations.on_start_sent(worker, task)
    leader.starts_in_flight += 1
    effects.append(
        fx.StartRun(
            worker.name,
            worker.entry.address,
            worker.incarnation,
            leader.epoch,
            task.key,
            task.attempt,
            task.job.spec.payload,
            task.checkpoint,
            task.ticket,
            worker.clock_now(state.now) + horizon.longest_lease_ms(state),
            ORDER_TIMEOUT_MS,
            capacity.starts_valid_until(state, worker),
        )
    )


def stop(state, effects, task, reason):
    """Orders a worker to stop a run. Its end frees the resources."""
    leader = state.leader
    if task.status == state_lib.STOPPING:
        return
    if task.key in leader.unsent_starts:
        requeue(state, effects, task, leader.workers[task.worker])
        return
    task.status = state_lib.STOPPING
    task.confirmed_at = 0
    task.order_count = 0
    leader.unconfirmed[task.key] = task
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": task.worker,
        "reason": reason,
        "ran_ms": ran_ms(task, state.now),
    }
    effects.append(fx.Log("info", "stop", fields))
    _send_stop(state, effects, task)


def _send_stop(state, effects, task):
    worker = state.leader.workers[task.worker]
    task.ordered_at = state.now
    task.order_count += 1
    _append_stop(state, effects, worker, task.key, task.attempt)


def _append_stop(state, effects, worker, key, attempt):
    effects.append(
        fx.StopRun(
            worker.name,
            worker.entry.address,
            state.leader.epoch,
            key,
            attempt,
            ORDER_TIMEOUT_MS,
            leadership.orders_valid_until(state),
        )
    )


def set_pace(state, effects, task, worker, pace, limited_by):
    """Orders a worker to limit a run to `pace` percent of full speed.

    `limited_by` is None, or the serving task that requires the limit and the
    load that best-effort tasks may add to it.
    """
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": worker.name,
        "pace": pace,
        "before": task.pace,
        "view_ms": state.now - worker.answered_at,
    }
    if limited_by is not None:
        serving, remaining = limited_by
        fields["for"] = str(serving)
        fields["load_left"] = round(remaining, 2)
    effects.append(fx.Log("info", "pace", fields))
    task.pace = pace
    task.pace_confirmed = True
    task.pace_ordered_at = state.now
    effects.append(
        fx.SetPace(
            worker.name,
            worker.entry.address,
            state.leader.epoch,
            task.key,
            task.attempt,
            pace,
            ORDER_TIMEOUT_MS,
            leadership.orders_valid_until(state),
        )
    )


def stop_unexpected_run(state, effects, worker, report):
    """Stops a run that the leader does not know or that is outdated."""
    fields = {
        "task": str(report.key),
        "attempt": report.attempt,
        "worker": worker.name,
        "reason": "not wanted",
    }
    effects.append(fx.Log("info", "stop", fields))
    _append_stop(state, effects, worker, report.key, report.attempt)


def ran_ms(task, until) -> int:
    """Returns for how long the worker has run the current attempt, in ms."""
    if not task.running_since:
        return 0
    return max(0, until - task.running_since)


def requeue(
    state, effects, task, worker, delay_ms=0, since=None, outcome="not started"
):
    """Frees the resources of a run that is gone and enqueues its task.

    The run ended with `outcome` at `since`, or now. A task that has ended is
    removed instead.
    """
    leader = state.leader
    free_resources(worker, task)
    interference.record_run_change(state, worker, task)
    leader.unconfirmed.pop(task.key, None)
    leader.unsent_starts.pop(task.key, None)
    leader.idle_released.pop(task.key, None)
    leader.placement_requested = True
    worker.record_change(leader)
    job = task.job
    done = job.done.get((task.key.occurrence, task.key.step), ())
    if job.state in records.FINAL_STATES or task.key.index in done:
        jobs.remove_task(job, task)
        jobs.remove_closed(state, job)
        return
    ended_at = state.now if since is None else since
    if task.running_since:
        task.last_run_at = ended_at
    if ran_ms(task, ended_at) >= state_lib.LASTING_RUN_MS:
        task.idle_since = ended_at
    task.status = state_lib.WAITING
    task.last_end = outcome
    task.waiting_since = ended_at
    task.speed_wanted_since = state.now
    task.wait_reason = ""
    earliest_start = restarts.earliest_start(state, task, ended_at, delay_ms)
    task.not_before = max(task.not_before, earliest_start)
    if restarts.is_overdue(state, task):
        # Its room must not be given to others before it is reserved.
        leader.overdue_due_at = state.now
    jobs.enqueue(leader, task)


# ------------------------------------------------------------------ answers


def _on_answer(state, event, effects):
    leader = state.leader
    if leader is None or event.key is None:
        return
    if event.op == "start":
        # Orders of an earlier leadership of this node are answered too.
        leader.starts_in_flight = max(0, leader.starts_in_flight - 1)
        incarnations.on_start_answered(state, event)
    _handle_answer(state, event, effects)
    _send_waiting_starts(state, effects)


def _handle_answer(state, event, effects):
    leader = state.leader
    if event.result == "rejected" and event.reason == "fence":
        suspend_orders(state, effects, event.worker)
        return
    if event.op == "pace":
        _on_pace_answer(leader, event)
        return
    task = leader.unconfirmed.get(event.key)
    if task is None or task.worker != event.worker:
        return
    if task.attempt != event.attempt:
        return
    worker = leader.workers[event.worker]
    if event.op == "start" and task.status == state_lib.STARTING:
        _on_start_answer(state, event, effects, task, worker)
    elif event.op == "stop" and task.status == state_lib.STOPPING:
        if event.result == "ok":
            task.confirmed_at = state.now


def _on_pace_answer(leader, event):
    """Records whether the worker applied a pace.

    If it may not have, the pace is sent again after the next poll.
    """
    worker = leader.workers.get(event.worker)
    task = None if worker is None else worker.runs.get(event.key)
    if task is not None and task.attempt == event.attempt:
        task.pace_confirmed = task.pace_confirmed and event.result == "ok"


def _on_start_answer(state, event, effects, task, worker):
    leader = state.leader
    if event.result == "ok":
        worker.answered_at = max(worker.answered_at, event.sent_at)
        task.status = state_lib.WORKING
        task.confirmed_at = state.now
        task.running_since = state.now
        leader.unconfirmed.pop(task.key, None)
        mark_started(leader, task.job)
        if task.step.best_effort:
            interference.update_paces(state, effects, worker)
        return
    fields = {
        "task": str(task.key),
        "attempt": task.attempt,
        "worker": worker.name,
        "result": event.result,
        "reason": event.reason,
        "orders": task.order_count,
    }
    effects.append(fx.Log("warning", "start-failed", fields))
    effects.append(
        fx.Measure(
            "skylarklug.starts.failed",
            1,
            {"reason": event.reason or event.result},
        )
    )
    if event.result == "unknown":
        return
    if event.result == "reborn":
        # Another instance has this address now, so no order reached the
        # intended one.
        worker.backoff_until = state.now + REFUSED_BACKOFF_MS
        return
    if event.result == "refused":
        # This proves that nothing runs only if it answers the first order: an
        # earlier one without an answer may still be executed.
        if task.order_count == 1:
            worker.backoff_until = state.now + REFUSED_BACKOFF_MS
            requeue(state, effects, task, worker, PLACEMENT_RETRY_MS)
            gangs.stop_other_members(state, effects, task, "start refused")
        return
    if event.result == "rejected":
        _on_rejected(state, event, effects, task, worker)


def _on_rejected(state, event, effects, task, worker):
    if event.reason == "late":
        # The order arrived after its lease expired. The next one has a newer
        # lease.
        return
    if event.reason == "room":
        worker.backoff_until = state.now + REFUSED_BACKOFF_MS
    if event.reason == "ticket":
        task.job.tickets.pop((task.key.occurrence, task.key.step), None)
    if task.order_count > 1 and event.reason == "old":
        # The first order was executed and its run has ended. The next polls
        # report the end, or two of them show that there is none.
        task.status = state_lib.WORKING
        task.confirmed_at = state.now
        state.leader.unconfirmed.pop(task.key, None)
        return
    reason = f"start rejected: {event.reason}"
    if task.order_count > 1:
        # An earlier order of this attempt may still be executed. After a stop
        # the worker rejects the attempt.
        stop(state, effects, task, reason)
    else:
        requeue(state, effects, task, worker, PLACEMENT_RETRY_MS)
    gangs.stop_other_members(state, effects, task, reason)


def mark_started(leader, job):
    """Marks a job as running when its first task has started."""
    job.started = True
    if job.state == records.PENDING:
        job.state = records.RUNNING
        jobs.mark_dirty(leader, job)


def suspend_orders(state, effects, worker):
    """Stops sending orders until a heartbeat confirms that this node leads.

    Called when a worker or the platform rejects this epoch as outdated.
    """
    leader = state.leader
    fields = {"worker": worker, "epoch": leader.epoch}
    effects.append(fx.Log("warning", "fenced", fields))
    leader.heartbeat_at = state.now - leadership.MAX_UNCONFIRMED_MS
    leader.heartbeat_due_at = 0
    if leader.leases_from:
        leader.leases_from = state.now - horizon.MAX_RENEWAL_MS


# --------------------------------------------------------------------- tick


def _on_tick(state, event, effects):
    if not leadership.may_send_orders(state):
        return
    leader = state.leader
    _send_waiting_starts(state, effects)
    for task in list(leader.unconfirmed.values()):
        if not task.worker or task.key in leader.unsent_starts:
            continue
        if state.now - task.ordered_at < ORDER_TIMEOUT_MS + ORDER_RETRY_MS:
            continue
        worker = leader.workers[task.worker]
        if not worker.is_responsive(state.now):
            continue
        if task.status == state_lib.STARTING:
            _repeat_start(state, effects, task, worker)
        elif not task.confirmed_at:
            _send_stop(state, effects, task)


def _send_waiting_starts(state, effects):
    """Sends starts that have waited for others to be answered."""
    leader = state.leader
    if not leader.unsent_starts or not leadership.may_send_orders(state):
        return
    if not horizon.longest_lease_ms(state):
        return
    for task in list(leader.unsent_starts.values()):
        if not _has_free_slot(leader):
            return
        if task.key not in leader.unsent_starts:
            # Its gang has been stopped meanwhile.
            continue
        worker = leader.workers[task.worker]
        is_lost = not worker.fenced or worker.failed_polls
        if is_lost or worker.name in leader.expiring:
            requeue(state, effects, task, worker)
            reason = "the worker of a member may be lost"
            gangs.stop_other_members(state, effects, task, reason)
            continue
        del leader.unsent_starts[task.key]
        _send_start(state, effects, task, worker)


def withdraw_start(state, effects, task, reason):
    """Stops a task that has not been confirmed, and the rest of its gang."""
    stop(state, effects, task, reason)
    gangs.stop_other_members(state, effects, task, reason)


def _repeat_start(state, effects, task, worker):
    if not _has_free_slot(state.leader):
        return
    if worker.name in state.leader.expiring:
        return
    if not horizon.longest_lease_ms(state):
        return
    enforced = capacity.is_enforced(state, worker.entry.service)
    if not enforced and not capacity.is_current(state, worker):
        return
    if not enforced and capacity.is_exceeded(worker):
        # An earlier order may have been executed. After a stop the worker
        # rejects the attempt.
        withdraw_start(state, effects, task, "the worker has shrunk")
        return
    limit = MAX_GANG_START_ORDERS if task.step.gang else MAX_START_ORDERS
    if task.order_count >= limit:
        task.avoided_workers.add(worker.name)
        withdraw_start(state, effects, task, "no answer to its start")
        return
    _send_start(state, effects, task, worker)


HANDLERS = {
    events.OrderAnswered: _on_answer,
    events.Tick: _on_tick,
}
