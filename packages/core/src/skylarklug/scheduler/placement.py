"""Assigns waiting tasks to workers.

Load pattern: many tasks of few kinds wait on hundreds of workers, most of them
full, while some events a millisecond change one worker each. So all tasks of a
step share one search, and a kind of task that fitted nowhere only looks at the
workers that have changed since.
"""

import heapq
from typing import NamedTuple

from skylarklug.scheduler import advice
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import gangs
from skylarklug.scheduler import interference
from skylarklug.scheduler import jobs
from skylarklug.scheduler import leadership
from skylarklug.scheduler import order
from skylarklug.scheduler import orders
from skylarklug.scheduler import preemption
from skylarklug.scheduler import records
from skylarklug.scheduler import state as state_lib
from skylarklug.scheduler import waiting

# Minimum time between two passes, so that a burst of events shares one.
PASS_INTERVAL_MS = 20
# Time after which a kind of task that fitted nowhere looks at all workers
# again. Back-offs, quarantines and predicted loads change without an event.
FULL_SEARCH_MS = 250
# Interval at which waiting tasks are counted by reason.
MEASURE_INTERVAL_MS = 1_000
# Average share of its reserved CPU that a task uses. The rest is offered to
# best-effort tasks, which reserve none.
RESERVED_CPU_UTILIZATION = 0.55
# Short tasks earn several times what long-running ones earn for the same CPU,
# and arrive in bursts. Long-running tasks leave this multiple of the average
# demand of short tasks free on each worker.
SHORT_RESERVE_FACTOR = 1.3
# Upper limit of that reserve, as a share of a worker's CPU.
MAX_SHORT_RESERVE_SHARE = 0.2
# A reserve below this share of a worker is too small for any task and is
# dropped.
MIN_SHORT_RESERVE_SHARE = 0.02
# Time constant of the moving average of the demand of short tasks.
SHORT_DEMAND_WINDOW_MS = 8_000
# A long-running task may use the reserve after waiting this long. The platform
# allows it to be without a run for three seconds while it would fit.
LONG_RUNNING_WAIT_MS = 2_000
# A best-effort job with no running task starts one after this time on the
# worker that allows it the highest speed, however low, while the utilization is
# below LOW_UTILIZATION.
STARVED_MS = 1_200
# Reserved share of the CPU of all workers below which they count as idle.
LOW_UTILIZATION = 0.6
# A task avoids workers on which it failed, and workers in quarantine, until it
# has waited this long.
AVOID_MS = 1_500
# Share of a worker's memory that best-effort tasks leave to tasks that reserve
# CPU.
MEMORY_RESERVE_SHARE = 0.15
# Share of its full speed at which a best-effort task must be able to run on a
# worker.
MIN_INITIAL_SPEED = 0.95
# The same once the task has waited for SPEED_WAIT_MS.
MIN_SPEED_AFTER_WAIT = 0.5
# Wait after which a best-effort task accepts a lower speed.
SPEED_WAIT_MS = 1_000


def _eligible_workers(state, task):
    """Returns the workers that may run the task, even if they are full."""
    leader = state.leader
    step = task.step
    service = jobs.service_of(state, task.job)
    found = []
    for worker in leader.workers.values():
        entry = worker.entry
        if entry.service != service or entry.draining or not worker.listed:
            continue
        if worker.cordoned:
            continue
        if worker.name not in leader.roster_saved:
            continue
        if (
            not worker.is_responsive(state.now)
            or state.now < worker.backoff_until
        ):
            continue
        if step.label and step.label not in entry.labels:
            continue
        found.append(worker)
    return found


def _permitted_workers(state, effects, task):
    """Returns the eligible workers that the advice service also allows."""
    candidates = _eligible_workers(state, task)
    if not advice.is_needed(state, task.job):
        return candidates
    return advice.filter_workers(state, effects, task, candidates)


def _fits(worker, step):
    need = step.resources
    capacity = worker.entry.capacity
    used = worker.used
    if used[1] + need.memory_mb > capacity.memory_mb:
        return False
    if used[2] + need.accelerators > capacity.accelerators:
        return False
    if step.best_effort:
        memory = capacity.memory_mb - used[1] - need.memory_mb
        return memory >= MEMORY_RESERVE_SHARE * capacity.memory_mb
    return used[0] + need.cpu <= capacity.cpu


def _spare_cpu(worker):
    """Returns the CPU of a worker that is available to best-effort tasks."""
    spare = (
        worker.entry.capacity.cpu - RESERVED_CPU_UTILIZATION * worker.used[0]
    )
    for task in worker.runs.values():
        if task.step.best_effort:
            spare -= task.full_speed_cpu * task.pace / 100
    return spare


def _count_tasks_of_step(worker, task):
    count = 0
    for key in worker.runs:
        if key[:3] == task.key[:3]:
            count += 1
    return count


def _count_other_long_running_jobs(worker, task):
    """Returns how many other jobs have long-running tasks on a worker."""
    found = set()
    for key, other in worker.runs.items():
        if other.step.runs_until_cancelled and key.job != task.key.job:
            found.add(key.job)
    return len(found)


def _respects_reserve(state, task, candidates):
    """Returns whether a task must leave the reserve for short tasks free.

    This holds for short tasks of jobs that are too late to earn anything, and
    for long-running tasks. A long-running task may use the reserve once it has
    waited and would fit twice, because the platform then reports it as a task
    that the scheduler has forgotten.
    """
    if not task.step.runs_until_cancelled:
        return _is_short(task.step) and _is_expired(state, task)
    if state.now - task.waiting_since < LONG_RUNNING_WAIT_MS:
        return True
    fits = 0
    for worker in candidates:
        if _fits(worker, task.step):
            free = worker.entry.capacity.cpu - worker.used[0]
            fits += max(1, free // max(1, task.step.resources.cpu))
    return fits < 2


def _is_starved(state, task):
    """Returns whether a job waits with no running task while CPU is idle."""
    if state.leader.reserved_cpu_share >= LOW_UTILIZATION:
        return False
    if state.now - task.speed_wanted_since < STARVED_MS:
        return False
    return not any(other.worker for other in task.job.tasks.values())


def _is_short(step):
    return not step.runs_until_cancelled and not step.best_effort


def _is_expired(state, task):
    return jobs.lateness(state, task.job) == order.EXPIRED


def _short_reserve(leader):
    """Returns the share of a worker's CPU that is reserved for short tasks."""
    reserve = SHORT_RESERVE_FACTOR * leader.short_task_demand
    if reserve < MIN_SHORT_RESERVE_SHARE:
        return 0.0
    return min(MAX_SHORT_RESERVE_SHARE, reserve)


def _update_utilization(state):
    """Updates the reserved share of all CPU and the demand of short tasks."""
    leader = state.leader
    reserved = 0
    capacity = 0
    short_cpu = 0
    for worker in leader.workers.values():
        if not worker.listed:
            continue
        reserved += worker.used[0]
        capacity += worker.entry.capacity.cpu
        for task in worker.runs.values():
            if _is_short(task.step):
                short_cpu += task.step.resources.cpu
    for group in leader.ready.values():
        task = next(iter(group.values()))
        if _is_short(task.step) and not _is_expired(state, task):
            short_cpu += len(group) * task.step.resources.cpu
    leader.reserved_cpu_share = reserved / capacity if capacity else 1.0
    weight = (
        min(SHORT_DEMAND_WINDOW_MS, state.now - leader.demand_updated_at)
        / SHORT_DEMAND_WINDOW_MS
    )
    leader.demand_updated_at = state.now
    if capacity:
        leader.short_task_demand += weight * (
            short_cpu / capacity - leader.short_task_demand
        )


def _score(state, worker, task, reserve):
    """Returns a sort key, lowest best, or None if the task does not fit."""
    step = task.step
    if not _fits(worker, step):
        return None
    if step.max_per_worker:
        if _count_tasks_of_step(worker, task) >= step.max_per_worker:
            return None
    rack_mismatch = 0 if not step.rack or step.rack == worker.entry.rack else 1
    unreliable = (
        worker.quarantined_until > state.now
        or worker.name in task.avoided_workers
    )
    if unreliable and state.now - task.waiting_since < AVOID_MS:
        return None
    if step.best_effort:
        return _score_best_effort(
            state, worker, task, (unreliable, rack_mismatch)
        )
    capacity = worker.entry.capacity.cpu
    free = capacity - worker.used[0] - step.resources.cpu
    if step.runs_until_cancelled:
        if reserve and free < _short_reserve(state.leader) * capacity:
            return None
        # The highest load on a worker limits its best-effort tasks. Tasks of
        # one job peak at the same time, so placing them together leaves the
        # most CPU to best-effort tasks. Tasks of one image are the next best
        # neighbours, because fewer best-effort images interfere with them.
        same_step = _count_tasks_of_step(worker, task)
        other_images = interference.count_other_images(worker, step.image)
        other_jobs = _count_other_long_running_jobs(worker, task)
        return (
            unreliable,
            rack_mismatch,
            other_images,
            other_jobs,
            -same_step,
            -free,
        )
    if reserve and free < _short_reserve(state.leader) * capacity:
        return None
    # Best fit keeps large gaps free for the tasks that request the most CPU.
    return (unreliable, rack_mismatch, free)


def _score_best_effort(state, worker, task, prefix):
    spare = _spare_cpu(worker)
    speed = min(
        spare / max(1, task.step.resources.cpu),
        interference.headroom(state, worker, task),
    )
    needed = MIN_INITIAL_SPEED
    if state.now - task.speed_wanted_since >= SPEED_WAIT_MS:
        needed = MIN_SPEED_AFTER_WAIT
    if speed < needed and not _is_starved(state, task):
        return None
    return (*prefix, -round(speed, 1), -spare)


def _best_worker(state, task, candidates):
    search = _Search(state, task, candidates)
    return search.pop_best(state, task)


class _Search:
    """Candidate workers by their score for the tasks of one step.

    Starting a task only changes the score of its worker, so the others need
    not be scored again for the next task.
    """

    def __init__(self, state, task, candidates):
        self.profile = _search_profile(state, task)
        self.reserve = _respects_reserve(state, task, candidates)
        self._candidates = candidates
        self._heap = []
        for number, worker in enumerate(candidates):
            score = _score(state, worker, task, self.reserve)
            if score is not None:
                self._heap.append((score, number))
        heapq.heapify(self._heap)

    def pop_best(self, state, task):
        """Returns the best worker, which stays a candidate, or None."""
        while self._heap:
            _, number = self._heap[0]
            worker = self._candidates[number]
            score = _score(state, worker, task, self.reserve)
            if score is None:
                heapq.heappop(self._heap)
            elif score == self._heap[0][0]:
                return worker
            else:
                heapq.heapreplace(self._heap, (score, number))
        return None


def _search_profile(state, task):
    """Returns what decides, besides its step, where a task may run."""
    waited_ms = state.now - task.waiting_since
    return (
        frozenset(task.avoided_workers),
        waited_ms >= AVOID_MS,
        state.now - task.speed_wanted_since >= SPEED_WAIT_MS,
        waited_ms >= LONG_RUNNING_WAIT_MS,
        _is_starved(state, task),
    )


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
    """

    need: records.Resources
    sequence: int
    full_search_at: int


def place(state, effects):
    """Starts all tasks that fit, ordered by priority and deadline."""
    leader = state.leader
    _update_utilization(state)
    groups = sorted(
        leader.ready.values(), key=lambda group: _group_sort_key(state, group)
    )
    for group in groups:
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
        _place_group(state, effects, task, group)
    _forget_old_failures(state)


def _place_group(state, effects, task, group):
    """Starts what fits of a group, unless a smaller task has just failed."""
    leader = state.leader
    kind = _equivalence_class(state, task)
    failure = leader.failed_searches.get(kind)
    since = 0
    if failure is not None and _needs_at_least(
        task.step.resources, failure.need
    ):
        since = failure.sequence
        if since == leader.change_sequence:
            return
    placed = _place_step(state, effects, group, since)
    if placed or kind is None:
        return
    started_at = state.now if not since else failure.full_search_at
    leader.failed_searches[kind] = FailedSearch(
        task.step.resources, leader.change_sequence, started_at
    )


def _forget_old_failures(state):
    failed_searches = state.leader.failed_searches
    for kind, failure in list(failed_searches.items()):
        if state.now - failure.full_search_at >= FULL_SEARCH_MS:
            del failed_searches[kind]


def _equivalence_class(state, task):
    """Returns a key shared by tasks that differ only in requested resources.

    Once a task finds no worker, larger tasks of the same class only search
    workers that change afterwards. Returns None for a task with further
    placement constraints.
    """
    step = task.step
    if (
        step.runs_until_cancelled
        or step.label
        or step.max_per_worker
        or step.same_rack
    ):
        return None
    if task.avoided_workers or advice.is_needed(state, task.job):
        return None
    service = jobs.service_of(state, task.job)
    if not step.best_effort:
        return (service, _is_expired(state, task))
    waited = state.now - task.speed_wanted_since >= SPEED_WAIT_MS
    return (service, step.image, waited, _is_starved(state, task))


def _needs_at_least(need, other):
    """Returns whether every resource of a request is at least another's."""
    pairs = zip(need, other, strict=True)
    return all(own >= theirs for own, theirs in pairs)


def _may_start(state, task):
    if task.not_before > state.now:
        task.wait_reason = waiting.DELAYED
        return False
    if task.held_until > state.now:
        task.wait_reason = waiting.NOT_SETTLED
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
        if limit and _count_tasks_of_step(worker, task) >= limit:
            continue
        if _fits(worker, task.step):
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
        if not _may_start(state, task):
            continue
        if not orders.may_start_more(leader):
            task.wait_reason = waiting.ORDERS
            return True
        if candidates is None:
            candidates = _permitted_workers(state, effects, task)
        if search is None or search.profile != _search_profile(state, task):
            usable = _filter_by_rack(task, candidates)
            if since:
                usable = [w for w in usable if w.change_sequence > since]
            search = _Search(state, task, usable)
        worker = search.pop_best(state, task)
        if worker is None:
            if not since:
                task.wait_reason = _find_reason(state, task, candidates)
            if _is_short(task.step):
                preemption.preempt_for(state, effects, task, candidates)
            return False
        jobs.dequeue(leader, task)
        attempt = orders.next_attempt(leader, task)
        _start(state, effects, task, worker, attempt)
        if task.step.same_rack:
            search = None
    return True


def _start(state, effects, task, worker, attempt):
    ticket = ""
    if advice.is_needed(state, task.job):
        ticket = advice.ticket_for(state, task, worker)
    orders.start(state, effects, task, worker, attempt, ticket)


def _filter_by_rack(task, candidates):
    """Returns the workers on the rack that a `same_rack` step already uses."""
    if not task.step.same_rack:
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
        worker = _best_worker(state, task, _filter_by_rack(task, candidates))
        if worker is None:
            break
        orders.reserve_resources(worker, task)
        chosen.append((task, worker))
    for task, worker in chosen:
        orders.free_resources(worker, task)
    if len(chosen) < len(members):
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
        _drain(state, effects)
        if leader.ready:
            leader.placement_requested = True
    if not leader.placement_requested or state.now < leader.placement_due_at:
        return
    leader.placement_requested = False
    leader.placement_due_at = state.now + PASS_INTERVAL_MS
    place(state, effects)
    if state.now >= leader.waiting_measured_at + MEASURE_INTERVAL_MS:
        _measure_waiting(state, effects)


def _measure_waiting(state, effects):
    leader = state.leader
    leader.waiting_measured_at = state.now
    counts = waiting.count_by_reason(leader.ready.values())
    for reason, count in counts.items():
        attributes = {"reason": reason}
        effects.append(
            fx.Measure("skylarklug.tasks.waiting", count, attributes)
        )


HANDLERS = {
    events.Tick: _on_event,
    events.StoreAnswered: _on_event,
    events.WorkerPolled: _on_event,
    events.WorkersChanged: _on_event,
    events.OrderAnswered: _on_event,
}
