"""Assigns waiting tasks to workers.

Load pattern: many tasks of few kinds wait on hundreds of workers, most of them
full, while some events a millisecond change one worker each. So all tasks of a
step share one search, and a kind of task that fitted nowhere only looks at the
workers that have changed since. Best-effort tasks are of more kinds, and what
they may use changes with each poll of a worker, so a pass only searches for
some of them.
"""

from typing import NamedTuple

from skylarklug.scheduler import advice
from skylarklug.scheduler import capacity
from skylarklug.scheduler import crashes
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import horizon
from skylarklug.scheduler import idle_records
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import order
from skylarklug.scheduler import orders
from skylarklug.scheduler import preemption
from skylarklug.scheduler import records
from skylarklug.scheduler import reservations
from skylarklug.scheduler import restarts
from skylarklug.scheduler import roster
from skylarklug.scheduler import run_locations
from skylarklug.scheduler import scoring
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import waiting

# Minimum time between two passes, so that a burst of events shares one.
PASS_INTERVAL_MS = 20
# Time after which a kind of task that fitted nowhere looks at all workers
# again. Back-offs, quarantines and predicted loads change without an event.
FULL_SEARCH_MS = 250
# Minimum time between two searches for workers for the overdue tasks.
OVERDUE_INTERVAL_MS = 50
# Maximum number of groups of best-effort tasks in a pass that are searched
# without finding a worker; the next pass continues with the others.
MAX_FAILED_GROUPS = 16
# Interval at which waiting tasks are counted by reason.
MEASURE_INTERVAL_MS = 1_000
# A long-running task that has been idle for this long is logged.
IDLE_WARNING_MS = 6_000
# Maximum number of idle tasks logged at once, those that are idle longest.
MAX_IDLE_WARNINGS = 3
# Maximum number of workers named in such a line.
MAX_HOLDERS_LOGGED = 3


def _eligible_workers(state, task):
    """Returns the workers that may run the task, even if they are full.

    The list is shared by the tasks of one pass and must not be changed.
    """
    leader = state.leader
    service = jobs.service_of(state, task.job)
    kind = (service, task.step.label)
    found = leader.eligible_workers.get(kind)
    if found is None:
        found = _find_eligible_workers(state, service, task.step.label)
        leader.eligible_workers[kind] = found
    return found


def _find_eligible_workers(state, service, label):
    leader = state.leader
    enforced = capacity.is_enforced(state, service)
    found = []
    if not horizon.longest_lease_ms(state):
        return found
    for worker in leader.workers.values():
        entry = worker.entry
        if entry.service != service or entry.draining or not worker.listed:
            continue
        if worker.cordoned or worker.name in leader.trial_workers:
            continue
        if worker.failed_polls or leader.confirmed_at < worker.reached_at:
            # It may have restarted and forgotten the epoch of a newer leader. A
            # commit sent after it had learned this epoch shows that there was
            # none.
            continue
        if leader.roster_saved.get(worker.name) != entry.address:
            continue
        if worker.name in leader.expiring:
            continue
        if (
            not worker.is_responsive(state.now)
            or state.now < worker.backoff_until
        ):
            continue
        if label and not _has_label(worker, label):
            continue
        if not enforced and not capacity.is_current(state, worker):
            continue
        found.append(worker)
    return found


def _has_label(worker, label):
    """Returns whether a worker is known to have a label.

    Another incarnation may be of another kind.
    """
    if 0 < worker.entry.incarnation < worker.incarnation:
        return False
    return label in worker.entry.labels


def _permitted_workers(state, effects, task):
    """Returns the eligible workers that the advice service also allows."""
    candidates = _eligible_workers(state, task)
    if not advice.is_needed(state, task.job):
        return candidates
    return advice.filter_workers(state, effects, task, candidates)


def _group_sort_key(state, group):
    task = next(iter(group.values()))
    urgency = jobs.urgency_of(
        state, task.job, not task.step.runs_until_cancelled
    )
    return (*order.sort_key(urgency, state.wall_ms), task.key)


class FailedSearch(NamedTuple):
    """A kind of task that fitted on no worker.

    Attributes:
        need: Resources of the task that did not fit.
        sequence: `LeaderState.change_sequence` at the search.
        full_search_at: When all workers were last searched.
        reason: Why that task waits, one of `waiting.ALL`.
    """

    need: records.Resources
    sequence: int
    full_search_at: int
    reason: str


def place(state, effects):
    """Starts all tasks that fit, ordered by priority and deadline."""
    leader = state.leader
    scoring.update_utilization(state)
    crashes.update_trials(state)
    leader.eligible_workers = {}
    _place_overdue(state, effects)
    groups = _groups_in_order(state)
    failed_groups = 0
    for key, group in groups:
        if not orders.may_start_more(leader):
            break
        task = next(iter(group.values()))
        if task.job.state in records.FINAL_STATES:
            continue
        if not task.job.start_recorded:
            task.wait_reason = waiting.NOT_RECORDED
            continue
        if task.step.gang:
            _place_gang(state, effects, group)
            continue
        if task.step.best_effort and failed_groups == MAX_FAILED_GROUPS:
            if leader.resume_groups_at is None:
                leader.resume_groups_at = key
                leader.placement_requested = True
            continue
        if not _place_group(state, effects, task, group):
            failed_groups += task.step.best_effort
    _forget_old_failures(state)


def _groups_in_order(state):
    """Returns the waiting groups in the order of the pass, after their keys.

    Those of best-effort tasks that the last pass has not come to go before the
    other best-effort ones, but after all others.
    """
    leader = state.leader
    groups = []
    for group in leader.ready.values():
        groups.append((_group_sort_key(state, group), group))
    groups.sort(key=lambda item: item[0])
    resume_at = leader.resume_groups_at
    if resume_at is None:
        return groups
    leader.resume_groups_at = None
    others = []
    remaining = []
    searched = []
    for key, group in groups:
        if not next(iter(group.values())).step.best_effort:
            others.append((key, group))
        elif key >= resume_at:
            remaining.append((key, group))
        else:
            searched.append((key, group))
    return others + remaining + searched


def _place_overdue(state, effects):
    """Starts overdue tasks, or reserves workers for those that fit nowhere."""
    leader = state.leader
    reservations.update(state)
    if state.now < leader.overdue_due_at:
        return
    leader.overdue_due_at = state.now + OVERDUE_INTERVAL_MS
    leader.reviews_left = reservations.MAX_REVIEWS
    reserved_gangs = set()
    for task in reservations.overdue_tasks(state):
        if not orders.may_start_more(leader):
            return
        if not leader.reviews_left and task.key not in leader.reservations:
            # The tasks with a reservation come first.
            break
        if not _may_reserve(state, task):
            continue
        if not task.step.gang:
            _place_overdue_task(state, effects, task)
        elif task.key[:3] not in reserved_gangs:
            reserved_gangs.add(task.key[:3])
            _reserve_for_gang(state, effects, task)
    _forget_failed_reservations(state)
    for task in reservations.tasks_of_silent_workers(state):
        if not leader.reviews_left:
            return
        candidates = _permitted_workers(state, effects, task)
        reservations.reserve(state, task, candidates)


def _may_reserve(state, task):
    """Returns whether an overdue task may start, or only has to be delayed."""
    leader = state.leader
    if not task.job.start_recorded:
        return False
    failed_at = leader.failed_reservations.get(task.key[:3])
    if failed_at is not None and task.key not in leader.reservations:
        if state.now - failed_at < FULL_SEARCH_MS:
            return False
    return _may_start(state, task) or task.wait_reason == waiting.DELAYED


def _place_overdue_task(state, effects, task):
    leader = state.leader
    candidates = _permitted_workers(state, effects, task)
    if _may_start(state, task):
        if reservations.keeps_reservation(state, task):
            # Others are searched when the reservation is reviewed.
            name = leader.reservations[task.key].worker
            if leader.workers[name] in candidates:
                reserved = [leader.workers[name]]
                _start_overdue(state, effects, task, reserved)
            return
        if _start_overdue(state, effects, task, candidates):
            return
    _reserve_workers(state, effects, [task], candidates)


def _reserve_for_gang(state, effects, task):
    """Reserves workers for all members of a gang, which starts as a whole."""
    members = gangs.members(task)
    if len(state.leader.ready[task.key[:3]]) < len(members):
        return
    candidates = _permitted_workers(state, effects, task)
    _reserve_workers(state, effects, members, candidates)


def _reserve_workers(state, effects, tasks, candidates):
    """Reserves workers for an overdue task, or for all members of its gang."""
    first = tasks[0]
    leader = state.leader
    reserved = reservations.reserve_all(state, tasks, candidates)
    if not reserved and not reservations.is_limited(state, tasks):
        if preemption.preempt_newer_for(state, effects, first, candidates):
            # What is being stopped counts as free.
            reserved = reservations.reserve_all(state, tasks, candidates)
    if not reserved:
        leader.failed_reservations[first.key[:3]] = state.now
        return
    for task in tasks:
        task.wait_reason = waiting.RESERVATION
        if restarts.is_last_resort(state, task):
            name = leader.reservations[task.key].worker
            worker = leader.workers[name]
            preemption.suspend_for(state, effects, task, worker)


def _forget_failed_reservations(state):
    failed = state.leader.failed_reservations
    for key, failed_at in list(failed.items()):
        if state.now - failed_at >= FULL_SEARCH_MS:
            del failed[key]


def _start_overdue(state, effects, task, candidates):
    """Starts an overdue task; returns False if it should wait for room."""
    worker = scoring.best_worker(state, task, candidates)
    if worker is None:
        return False
    if (
        scoring.is_unreliable(state, worker, task)
        and not restarts.is_last_resort(state, task)
        and not all(
            scoring.is_unreliable(state, other, task) for other in candidates
        )
    ):
        return False
    if not _is_unrecorded(state, task, worker):
        reservations.hold(state, task, worker)
        task.wait_reason = waiting.RECORDED
        return True
    jobs.dequeue(state.leader, task)
    attempt = orders.next_attempt(state.leader, task)
    _start(state, effects, task, worker, attempt)
    return True


def _is_unrecorded(state, task, worker):
    """Returns whether the store does not rule out a start on a worker."""
    leader = state.leader
    runs_nowhere = not idle_records.may_start(state, task)
    if runs_nowhere:
        # A later leader holds it for that worker only.
        leader.intended_workers[task.key] = worker.name
    is_elsewhere = not run_locations.may_start(leader, task, worker)
    return not runs_nowhere and not is_elsewhere


def _place_group(state, effects, task, group):
    """Starts what fits of a group, unless a smaller task has just failed.

    Returns False if a search for a worker has failed.
    """
    leader = state.leader
    kind = _equivalence_class(state, task)
    need = task.step.resources
    failure = _latest_failure(leader, kind, need)
    since = 0
    if failure is not None:
        since = failure.sequence
        task.wait_reason = failure.reason
        if since == leader.change_sequence:
            return True
    placed = _place_step(state, effects, group, since)
    if placed or kind is None:
        return placed
    searched_at = failure.full_search_at if since else state.now
    failures = leader.failed_searches.setdefault(kind, {})
    if not _may_wait(state, task):
        # So all but the largest of them search all workers in each pass, and
        # find those that become eligible without a change.
        failures.clear()
    failures[need] = FailedSearch(
        need, leader.change_sequence, searched_at, task.wait_reason
    )
    return False


def _latest_failure(leader, kind, need):
    """Returns the latest failed search for a smaller or equal task, or None."""
    latest = None
    for failure in leader.failed_searches.get(kind, {}).values():
        if latest is not None and failure.sequence <= latest.sequence:
            continue
        if _needs_at_least(need, failure.need):
            latest = failure
    return latest


def _forget_old_failures(state):
    for kind, failures in list(state.leader.failed_searches.items()):
        for need, failure in list(failures.items()):
            if state.now - failure.full_search_at >= FULL_SEARCH_MS:
                del failures[need]
        if not failures:
            del state.leader.failed_searches[kind]


def _equivalence_class(state, task):
    """Returns a key shared by tasks that differ only in requested resources.

    Once a task finds no worker, larger tasks of the same class only search
    workers that change afterwards. Returns None for a task whose workers also
    depend on something else, such as where the other tasks of its job run.
    """
    step = task.step
    if step.runs_until_cancelled or step.same_rack:
        return None
    if crashes.is_suspect(task) or advice.is_needed(state, task.job):
        return None
    service = jobs.service_of(state, task.job)
    if not _may_wait(state, task):
        if step.label or step.max_per_worker or task.avoided_workers:
            return None
        return (service,)
    avoided = None
    if task.avoided_workers:
        waited_ms = state.now - task.waiting_since
        avoided = (
            frozenset(task.avoided_workers),
            waited_ms < scoring.AVOID_MS,
        )
    constraints = (
        service,
        step.label,
        task.key[:3] if step.max_per_worker else None,
        avoided,
    )
    if not step.best_effort:
        return constraints
    return (
        *constraints,
        step.image,
        state.now - task.speed_wanted_since >= scoring.SPEED_WAIT_MS,
        scoring.is_starved(state, task),
    )


def _may_wait(state, task):
    """Returns whether little is lost if a task waits for a full search."""
    return task.step.best_effort or scoring.is_expired(state, task)


def _needs_at_least(need, other):
    """Returns whether every resource of a request is at least another's."""
    pairs = zip(need, other, strict=True)
    return all(own >= theirs for own, theirs in pairs)


def _may_start(state, task):
    if task.not_before > state.now:
        task.wait_reason = waiting.DELAYED
        return False
    if task.job.awaits_save and jobs.must_wait_for_save(state.leader, task.job):
        task.wait_reason = waiting.DELAYED
        return False
    if task.held and roster.may_run_unseen(state.leader, task.key):
        task.wait_reason = waiting.NOT_SETTLED
        return False
    if not crashes.may_start(state.leader, task):
        task.wait_reason = waiting.TRIAL
        return False
    return True


def _find_reason(state, task, candidates):
    """Returns why a task that fits on none of the candidates waits."""
    if not candidates:
        if advice.is_needed(state, task.job):
            return waiting.ADVICE
        return waiting.NO_WORKER
    limit = task.step.max_per_worker
    fitting = []
    for worker in candidates:
        if limit and scoring.count_tasks_of_step(worker, task) >= limit:
            continue
        if scoring.fits(worker, task.step, task.key):
            fitting.append(worker)
    if not fitting:
        return waiting.RESOURCES
    for worker in fitting:
        if worker.quarantined_until > state.now:
            continue
        if worker.name not in task.avoided_workers:
            if task.step.best_effort:
                return waiting.INTERFERENCE
            return waiting.RESERVE
    return waiting.QUARANTINE


def _place_step(state, effects, group, since):
    """Starts a step's waiting tasks; returns False if one found no worker.

    Only workers that have changed after the sequence number `since` are
    considered.
    """
    leader = state.leader
    candidates = None
    search = None
    for task in list(group.values()):
        if task.key in leader.reservations:
            if restarts.is_overdue(state, task):
                continue
            if task.key in leader.idle_recorded or leader.location_awaited:
                continue
            # Its room was only kept until its record was removed.
            reservations.release(leader, task.key)
            search = None
        if not _may_start(state, task):
            continue
        if not orders.may_start_more(leader):
            task.wait_reason = waiting.ORDERS
            return True
        if candidates is None:
            candidates = _permitted_workers(state, effects, task)
        if search is None or not search.serves(state, task):
            usable = _filter_by_rack(state, task, candidates)
            if since:
                usable = [w for w in usable if w.change_sequence > since]
            search = scoring.Search(state, task, usable)
        worker = search.best_worker(state, task)
        if worker is None and crashes.is_suspect(task):
            task.wait_reason = waiting.TRIAL
            continue
        if worker is None:
            if not since:
                task.wait_reason = _find_reason(state, task, candidates)
            if scoring.is_short(task.step):
                preemption.preempt_for(state, effects, task, candidates)
            return False
        if not _is_unrecorded(state, task, worker):
            reservations.hold(state, task, worker)
            search = None
            task.wait_reason = waiting.RECORDED
            continue
        jobs.dequeue(leader, task)
        attempt = orders.next_attempt(leader, task)
        _start(state, effects, task, worker, attempt)
        if task.step.same_rack:
            search = None
        if crashes.is_suspect(task):
            # Nothing else may start on that worker now.
            candidates = [other for other in candidates if other is not worker]
            if search is not None:
                search.exclude(worker)
    return True


def _start(state, effects, task, worker, attempt):
    ticket = ""
    if advice.is_needed(state, task.job):
        ticket = advice.ticket_for(state, task, worker)
    orders.start(state, effects, task, worker, attempt, ticket)
    if crashes.is_suspect(task):
        # Nothing else may start on that worker now.
        state.leader.eligible_workers.clear()


def _filter_by_rack(state, task, candidates):
    """Returns the workers on the rack that a `same_rack` step already uses."""
    if not task.step.same_rack or restarts.is_overdue(state, task):
        return candidates
    used_workers = set()
    for other in task.job.tasks.values():
        if other.key[:3] == task.key[:3] and other.worker:
            used_workers.add(other.worker)
    rack = None
    for worker in candidates:
        if worker.name in used_workers:
            rack = worker.entry.rack
            break
    if rack is None:
        return candidates
    return [worker for worker in candidates if worker.entry.rack == rack]


def _place_gang(state, effects, group):
    """Starts all members of a gang in one pass, or none of them."""
    leader = state.leader
    first = next(iter(group.values()))
    members = gangs.members(first)
    first.wait_reason = waiting.GANG
    if len(group) < len(members):
        return
    for task in members:
        if not _may_start(state, task):
            return
    candidates = _permitted_workers(state, effects, first)
    attempt = max(orders.next_attempt(leader, task) for task in members)
    chosen = []
    for task in members:
        worker = scoring.best_worker(
            state, task, _filter_by_rack(state, task, candidates)
        )
        if worker is None:
            break
        orders.reserve_resources(worker, task)
        chosen.append((task, worker))
    for task, worker in chosen:
        orders.free_resources(worker, task)
    if len(chosen) < len(members):
        return
    unrecorded = []
    for task, worker in chosen:
        unrecorded.append(_is_unrecorded(state, task, worker))
    if not all(unrecorded):
        first.wait_reason = waiting.RECORDED
        return
    checkpoint = _common_checkpoint(members)
    for task, worker in chosen:
        jobs.dequeue(leader, task)
        task.checkpoint = checkpoint
        _start(state, effects, task, worker, attempt)


def _common_checkpoint(members):
    """Returns the newest checkpoint of any member; it is valid for all."""
    newest = max(members, key=lambda task: (task.attempt, task.percent))
    if newest.checkpoint:
        return newest.checkpoint
    for task in members:
        if task.checkpoint:
            return task.checkpoint
    return ""


def _drain(state, effects):
    """Stops the tasks on draining workers that can continue elsewhere."""
    for worker in state.leader.workers.values():
        if not worker.entry.draining or not worker.listed:
            continue
        if not worker.is_responsive(state.now):
            continue
        for task in list(worker.runs.values()):
            if task.status != state_lib.WORKING or task.step.gang:
                continue
            if task.step.runs_until_cancelled or task.step.checkpoints:
                orders.stop(state, effects, task, "worker is draining")


def _on_event(state, event, effects):
    leader = state.leader
    if leader is None or not leadership.is_loaded(leader):
        return
    if not leadership.may_send_orders(state):
        return
    if isinstance(event, events.Tick):
        # Also while nothing waits, so that the gauges go back to zero.
        if state.now >= leader.waiting_measured_at + MEASURE_INTERVAL_MS:
            _measure_waiting(state, effects)
        _drain(state, effects)
        if leader.ready:
            leader.placement_requested = True
    if not leader.placement_requested or state.now < leader.placement_due_at:
        return
    leader.placement_requested = False
    leader.placement_due_at = state.now + PASS_INTERVAL_MS
    place(state, effects)


def _measure_waiting(state, effects):
    leader = state.leader
    leader.waiting_measured_at = state.now
    counts = waiting.count_by_reason(leader.ready.values())
    for reason, count in counts.items():
        attributes = {"reason": reason}
        effects.append(
            fx.Measure("skylarklug.tasks.waiting", count, attributes)
        )
    _measure_idle_tasks(state, effects)


def _measure_idle_tasks(state, effects):
    """Records how long long-running tasks have been without a run."""
    idle_tasks = []
    for group in state.leader.ready.values():
        task = next(iter(group.values()))
        if task.step.runs_until_cancelled:
            idle_tasks.extend(group.values())
    idle_tasks.sort(key=lambda task: (task.idle_since, task.key))
    longest_ms = state.now - idle_tasks[0].idle_since if idle_tasks else 0
    held = [task for task in idle_tasks if _is_held(state.leader, task)]
    effects.append(fx.Measure("skylarklug.tasks.held", len(held), {}))
    effects.append(
        fx.Measure("skylarklug.tasks.longest_idle", longest_ms / 1000, {})
    )
    for task in idle_tasks[:MAX_IDLE_WARNINGS]:
        idle_ms = state.now - task.idle_since
        if idle_ms < IDLE_WARNING_MS:
            return
        held_by = []
        if task.held:
            held_by = roster.workers_that_may_run(state.leader, task.key)
        fields = {
            "task": str(task.key),
            "idle_ms": idle_ms,
            "last_end": task.last_end or "none",
            "waits_for": task.wait_reason or "nothing",
            "preemptions": task.preemptions,
            "delayed_ms": max(0, task.not_before - state.now),
            "cpu": task.step.resources.cpu,
            "memory_mb": task.step.resources.memory_mb,
            "fits_on": _count_fitting_workers(state, task),
            "idle_tasks": len(idle_tasks),
            "held_tasks": len(held),
            "held_by": held_by[:MAX_HOLDERS_LOGGED],
            "held_ms": _held_ms(state, held_by),
        }
        effects.append(fx.Log("warning", "long-running-idle", fields))


def _is_held(leader, task):
    return task.held and roster.may_run_unseen(leader, task.key)


def _held_ms(state, names):
    """Returns how long the last lease of any of the workers still lasts."""
    until = state.now
    for name in names:
        expiry = state.leader.former_workers[name].expiry
        until = max(until, expiry.at)
    return until - state.now


def _count_fitting_workers(state, task):
    """Returns how many workers that may run a task have room for it."""
    count = 0
    for worker in _eligible_workers(state, task):
        if scoring.fits(worker, task.step, task.key):
            count += 1
    return count


HANDLERS = {
    events.Tick: _on_event,
    events.StoreAnswered: _on_event,
    events.WorkerPolled: _on_event,
    events.WorkersChanged: _on_event,
    events.OrderAnswered: _on_event,
}
