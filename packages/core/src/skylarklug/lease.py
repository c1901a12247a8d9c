"""Worker leases, and the periodic exchange of messages with each worker.

The owner of a partition keeps a `Worker` record for each of its workers. The
record holds the time until which tasks may run on the worker (`lease_end`),
the attempts on the worker, and the commands that wait to be sent.
"""

import heapq

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import jobs
from skylarklug import residents
from skylarklug import tasks

# Defaults of the settings `lease_ms` and `renewal_ms`.
LEASE_MS = 30_000
RENEWAL_MS = 5_000
# Added to the end of a lease before its tasks may start elsewhere.
EXPIRY_MARGIN_MS = residents.EXPIRY_MARGIN_MS
# Default of the setting `detach_limit_ms`.
DETACH_LIMIT_MS = 900_000
# How long the adapter waits for the answer of a worker.
SYNC_TIMEOUT_MS = 2_000
# A message that is not sent within this time is discarded, so that a process
# resumed after a pause does not send outdated commands.
MESSAGE_VALID_MS = 1_000
# Interval while a worker still has to report the result of a start or stop,
# and the delay after a message was discarded as outdated.
FAST_RENEWAL_MS = 250
# Delay after a failed exchange; it doubles up to the renewal interval.
RETRY_MS = 500
# Interval of full reports, which reveal attempts that a worker has lost.
FULL_REPORT_INTERVAL_MS = 60_000
# The expiry margin covers a clock drift of 10% over the lease plus this age.
CLOCK_MAX_AGE_MS = 8_000
# The adapter reports the result of each exchange. This limit applies only if
# such a report is missing.
REPORT_TIMEOUT_MS = 10_000
# Limits the size of a message.
COMMANDS_PER_SYNC = 64


class LeaseState:
    """Workers of the owned partitions, their exchanges and their timers."""

    def __init__(self):
        self.workers: dict[str, residents.Worker] = {}
        self.acquired: dict[str, events.PartitionAcquired] = {}
        self.exchange_times = []
        self.timers = []
        self.last_sequence = 0
        self.last_renewed = 0


def new_state() -> LeaseState:
    """Returns the state of a node that owns no partition."""
    return LeaseState()


def lease_ms(state) -> int:
    """Returns the duration of a lease in milliseconds."""
    return state.settings.get("lease_ms", LEASE_MS)


def renewal_ms(state) -> int:
    """Returns the interval between renewals in milliseconds."""
    return state.settings.get("renewal_ms", RENEWAL_MS)


def detach_limit_ms(state) -> int:
    """Returns how long a detached owner renews leases, in milliseconds."""
    return state.settings.get("detach_limit_ms", DETACH_LIMIT_MS)


def worker_of(state, name):
    """Returns the `Worker` record of a worker, or None."""
    return state.domains["lease"].workers.get(name)


# ---------------------------------------------------------- partition events


def _on_acquired(state, event, effects):
    from skylarklug import workers

    domain = state.domains["lease"]
    _on_lost(state, event, effects)
    domain.acquired[event.partition] = event
    domain.last_renewed = max(domain.last_renewed, event.at)
    for vm in workers.of_partition(state, event.partition):
        if isinstance(vm, str):
            vm = workers.get(state, vm)
        _add_worker(state, event.partition, vm)


def _on_lost(state, event, effects):
    domain = state.domains["lease"]
    domain.acquired.pop(event.partition, None)
    for name, worker in list(domain.workers.items()):
        if worker.partition == event.partition:
            del domain.workers[name]


def _add_worker(state, partition, vm):
    """Creates or updates the record of a worker that the VM list contains."""
    from skylarklug import placement

    domain = state.domains["lease"]
    worker = domain.workers.get(vm.vm)
    if worker is None:
        worker = _open_record(state, partition, vm.vm, vm.control)
    worker.control = vm.control
    worker.removed = False
    worker.absent_until = 0
    placement.add_worker(state, vm, partition)
    placement.clear_exclusion(state, vm.vm, "terminated")
    if vm.state == "leaving":
        placement.exclude(state, vm.vm, "leaving")
    _schedule_exchange(state, worker, state.now)


def _open_record(state, partition, name, control):
    domain = state.domains["lease"]
    acquired = domain.acquired[partition]
    worker = residents.Worker(name, control, partition, acquired.epoch)
    wait_ms = lease_ms(state) + EXPIRY_MARGIN_MS
    if acquired.taken_over:
        wait_ms += detach_limit_ms(state)
    worker.assume_running_until = acquired.at + wait_ms
    domain.workers[name] = worker
    return worker


def _on_workers_changed(state, event, effects):
    from skylarklug import placement
    from skylarklug import workers

    domain = state.domains["lease"]
    for vm in (*event.added, *event.changed):
        partition = workers.partition_of(state, vm.vm)
        record = domain.workers.get(vm.vm)
        if record is not None:
            partition = record.partition
        if partition in domain.acquired:
            _add_worker(state, partition, vm)
    for name in event.removed:
        worker = domain.workers.get(name)
        if worker is None:
            continue
        worker.removed = True
        placement.exclude(state, name, "terminated")
        acquired = domain.acquired[worker.partition]
        earliest = acquired.at + lease_ms(state) + EXPIRY_MARGIN_MS
        worker.assume_running_until = min(worker.assume_running_until, earliest)
        _schedule_exchange(state, worker, state.now)


def expect_attempt(state, effects, task):
    """Records an attempt that a row places on a worker.

    The attempt counts as expected until the worker reports it.
    """
    from skylarklug import placement

    domain = state.domains["lease"]
    worker = domain.workers.get(task.worker)
    if worker is None:
        worker = _open_record(state, task.job.partition, task.worker, "")
        acquired = domain.acquired[worker.partition]
        # The VM list may lag and not contain the worker yet. The lease lasts
        # longer than that lag.
        worker.absent_until = acquired.at + lease_ms(state) + EXPIRY_MARGIN_MS
        _schedule_exchange(state, worker, worker.absent_until)
    if worker.phase == "lost":
        worker.phase = "new"
    resident = residents.Resident(task, task.attempt, residents.EXPECTED)
    worker.residents[task.id, task.attempt] = resident
    placement.reserve(state, worker.name, task, task.attempt)
    worker.revision = 0
    if worker.control:
        _schedule_exchange(state, worker, state.now)


def rows_loaded(state, effects, partition):
    """Requests a full report from each worker once the rows are loaded."""
    for worker in state.domains["lease"].workers.values():
        if worker.partition == partition and worker.control:
            worker.revision = 0
            _schedule_exchange(state, worker, state.now)


# ------------------------------------------------------------------ sending


def _schedule_exchange(state, worker, at):
    """Schedules the next exchange at `at`; it replaces the previous time."""
    worker.next_due = at
    heapq.heappush(state.domains["lease"].exchange_times, (at, worker.name))


def call_later(state, at, action, worker, key):
    """Schedules a call of `residents.on_timer` at the time `at`."""
    domain = state.domains["lease"]
    domain.last_sequence += 1
    entry = (at, domain.last_sequence, action, worker.name, worker.epoch, key)
    heapq.heappush(domain.timers, entry)


def _on_tick(state, event, effects):
    domain = state.domains["lease"]
    if not domain.workers:
        return
    from skylarklug import ownership

    if ownership.mode(state) == "suspended":
        return
    while domain.timers and domain.timers[0][0] <= state.now:
        _, _, action, name, epoch, key = heapq.heappop(domain.timers)
        worker = domain.workers.get(name)
        if worker is not None and worker.epoch == epoch:
            residents.on_timer(state, effects, worker, action, key)
    while domain.exchange_times and domain.exchange_times[0][0] <= state.now:
        at, name = heapq.heappop(domain.exchange_times)
        worker = domain.workers.get(name)
        if worker is None or worker.next_due != at:
            continue
        _check_expiry(state, effects, worker)
        if worker.in_flight:
            if state.now - worker.sent_at > REPORT_TIMEOUT_MS:
                _apply_failure(state, effects, worker, "no report")
            else:
                _schedule_exchange(state, worker, state.now + RETRY_MS)
            continue
        if domain.workers.get(name) is worker:
            _send_message(state, effects, worker)


def flush(state, effects, worker):
    """Sends queued commands at once unless an exchange is in flight."""
    if worker.in_flight or worker.applying_report or worker.failures:
        return
    if worker.phase == "ok":
        _send_message(state, effects, worker)


def _may_renew(state, mode):
    if mode == "held":
        return True
    domain = state.domains["lease"]
    return state.now < domain.last_renewed + detach_limit_ms(state)


def _send_message(state, effects, worker):
    from skylarklug import ownership

    domain = state.domains["lease"]
    mode = ownership.mode(state)
    _schedule_exchange(state, worker, state.now + renewal_ms(state))
    if not worker.control or mode == "suspended":
        return
    if not _may_renew(state, mode):
        return
    lease_until = _grant_lease(state, worker)
    may_start = mode == "held" and lease_until > 0
    worker.sent = {}
    for key, command in worker.outbox.items():
        if len(worker.sent) == COMMANDS_PER_SYNC:
            break
        if _may_send(worker, key, may_start):
            worker.sent[key] = command
    domain.last_sequence += 1
    worker.in_flight = domain.last_sequence
    worker.sent_at = state.now
    worker.sent_lease = lease_until
    residents.record_sent(state, effects, worker, worker.sent)
    effects.append(
        effects_lib.SyncWorker(
            worker.name, worker.control, worker.partition, worker.epoch,
            domain.last_sequence, lease_until, worker.revision,
            tuple(worker.sent.values()), state.now + MESSAGE_VALID_MS,
            SYNC_TIMEOUT_MS,
        )
    )  # fmt: skip


def _may_send(worker, key, may_start):
    if worker.phase == "fenced":
        return False
    return key[0] != "start" or (may_start and worker.phase == "ok")


def _grant_lease(state, worker):
    """Returns `lease_until` in the worker's clock, or 0 for no renewal.

    After a failed exchange no lease is granted until the worker answers. A
    renewal that may or may not have arrived would delay the time at which the
    lease is known to have expired.
    """
    if worker.failures or worker.clock_at is None or worker.phase == "fenced":
        return 0
    if state.now - worker.clock_at > CLOCK_MAX_AGE_MS:
        return 0
    end = state.now + lease_ms(state)
    worker.lease_end = max(worker.lease_end, end)
    return worker.clock + (end - worker.clock_at)


# ------------------------------------------------------------------ answers


def _on_failed(state, event, effects):
    worker = worker_of(state, event.worker)
    if worker is None or worker.in_flight != event.seq:
        return
    if event.step == "deadline":
        worker.in_flight = 0
        _schedule_exchange(state, worker, state.now + FAST_RENEWAL_MS)
        return
    _apply_failure(state, effects, worker, event.reason)


def _apply_failure(state, effects, worker, reason):
    from skylarklug import placement

    worker.in_flight = 0
    worker.failures += 1
    residents.record_lost_answer(state, worker)
    if worker.failures == 1:
        tasks.log(
            effects, "sync-failed", "warning", worker=worker.name,
            partition=worker.partition, reason=reason,
        )  # fmt: skip
        placement.exclude(state, worker.name, "unreachable")
    delay = RETRY_MS << min(worker.failures - 1, 4)
    at = state.now + min(delay, renewal_ms(state))
    if worker.phase != "lost":
        at = min(at, max(state.now, worker.attempts_ended_at()))
    _schedule_exchange(state, worker, at)


def _check_expiry(state, effects, worker):
    """Ends the attempts of a worker whose lease has certainly expired."""
    domain = state.domains["lease"]
    absent = not worker.control
    if absent and worker.absent_until:
        worker.assume_running_until = min(
            worker.assume_running_until, max(worker.absent_until, state.now)
        )
    if worker.phase == "fenced" or not (worker.failures or absent):
        return
    if state.now < worker.attempts_ended_at() or worker.phase == "lost":
        return
    tasks.log(
        effects, "lease-expired", "warning", worker=worker.name,
        partition=worker.partition, epoch=worker.epoch,
        tasks=len(worker.residents),
    )  # fmt: skip
    worker.phase = "lost"
    worker.revision = 0
    residents.end_all(state, effects, worker, "lease expired")
    if worker.removed or absent:
        from skylarklug import placement

        placement.remove_worker(state, worker.name)
        del domain.workers[worker.name]


def _on_synced(state, event, effects):
    from skylarklug import ownership

    worker = worker_of(state, event.worker)
    if worker is None or worker.in_flight != event.seq:
        return
    if ownership.mode(state) == "suspended":
        _apply_failure(state, effects, worker, "ownership is suspended")
        return
    worker.in_flight = 0
    if event.status != "ok":
        _mark_fenced(state, effects, worker, event.epoch)
        return
    worker.clock, worker.clock_at = event.clock, event.at
    worker.failures = 0
    if not worker.contacted:
        # The last lease of the former owner ends within one lease from now.
        worker.contacted = True
        worker.lease_end = max(worker.lease_end, event.at + lease_ms(state))
    worker.applying_report = True
    _apply_report(state, effects, worker, event)
    worker.applying_report = False
    _schedule_next_send(state, effects, worker)


def _apply_report(state, effects, worker, event):
    from skylarklug import interference
    from skylarklug import placement

    residents.remove_delivered(worker)
    if not jobs.loaded(state, worker.partition):
        worker.revision = 0
        return
    restarted = event.revision < worker.revision
    worker.revision = 0 if restarted else event.revision
    if worker.phase != "ok":
        if not event.full:
            worker.revision = 0
            return
        worker.phase = "ok"
        placement.clear_exclusion(state, worker.name, "not synced")
        placement.clear_exclusion(state, worker.name, "fenced")
    placement.clear_exclusion(state, worker.name, "unreachable")
    for item in event.tasks:
        residents.apply_report(state, effects, worker, item)
    if event.full:
        worker.full_due = state.now + FULL_REPORT_INTERVAL_MS
        residents.end_missing(state, effects, worker, event.tasks)
    elif state.now >= worker.full_due:
        worker.revision = 0
    if event.usage is not None:
        placement.observe(state, worker.name, event.usage)
        interference.record_usage(state, effects, worker.name, event.usage)
    if event.leaving:
        _mark_leaving(state, effects, worker)


def _mark_leaving(state, effects, worker):
    from skylarklug import placement
    from skylarklug import workers

    placement.exclude(state, worker.name, "leaving")
    if not workers.is_leaving(state, worker.name):
        state.raise_event(events.WorkerLeaving(state.now, worker.name, "sync"))


def _schedule_next_send(state, effects, worker):
    """Sends at once if a command or a renewal waits, else schedules it."""
    from skylarklug import ownership

    if worker_of(state, worker.name) is not worker:
        return
    may_start = ownership.mode(state) == "held"
    unsent = any(
        key not in worker.sent and _may_send(worker, key, may_start)
        for key in worker.outbox
    )
    if unsent or not worker.sent_lease:
        _send_message(state, effects, worker)
        return
    delay = renewal_ms(state)
    if worker.phase != "ok" and jobs.loaded(state, worker.partition):
        delay = RETRY_MS
    if any(key[0] in ("start", "stop") for key in worker.outbox):
        delay = FAST_RENEWAL_MS
    _schedule_exchange(state, worker, state.now + delay)


def _mark_fenced(state, effects, worker, epoch):
    """Marks a worker as fenced that has accepted a newer owner.

    Another node holds the node lease or the partition row, and the ownership
    domain learns this at its next read. Until then, the attempts are neither
    renewed nor restarted, and messages without commands check whether the
    worker accepts this epoch again.
    """
    from skylarklug import placement

    if worker.phase != "fenced":
        tasks.log(
            effects, "stale-epoch", "warning", worker=worker.name,
            partition=worker.partition, epoch=worker.epoch, newer=epoch,
        )  # fmt: skip
    worker.phase = "fenced"
    worker.revision = 0
    placement.exclude(state, worker.name, "fenced")
    _schedule_exchange(state, worker, state.now + renewal_ms(state))


def _on_lease_checked(state, event, effects):
    if event.held_until > 0:
        state.domains["lease"].last_renewed = event.at


# -------------------------------------------------- calls from other domains


def start(state, effects, worker_name, task):
    """Sends the start of an attempt whose row is committed."""
    residents.start(state, effects, worker_of(state, worker_name), task)


def stop(state, effects, task, reason) -> bool:
    """Stops a task with a checkpoint; returns whether the stop is new."""
    worker = worker_of(state, task.worker)
    if worker is None or worker.partition != task.job.partition:
        return False
    return residents.stop(state, effects, worker, task, reason)


def throttle(state, effects, task, share):
    """Limits a task to a share (0 to 1) of its processors."""
    worker = worker_of(state, task.worker)
    if worker is not None:
        residents.throttle(state, effects, worker, task, share)


HANDLERS = {
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.WorkersChanged: _on_workers_changed,
    events.Tick: _on_tick,
    events.WorkerSynced: _on_synced,
    events.WorkerSyncFailed: _on_failed,
    events.LeaseChecked: _on_lease_checked,
}
