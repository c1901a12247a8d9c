"""Worker leases and the exchange with each worker.

An owner keeps one `Worker` record for each worker of its partitions. The
record says until when the tasks of the worker may run (`lease_end`), which
attempts the worker holds, and which commands are to be sent.
"""

import heapq

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import jobs
from skylarklug import residents
from skylarklug import tasks

LEASE_MS = 30_000
RENEWAL_MS = 5_000
EXPIRY_MARGIN_MS = residents.EXPIRY_MARGIN_MS
DETACH_LIMIT_MS = 900_000
SYNC_TIMEOUT_MS = 2_000
GOOD_FOR_MS = 1_000
POLL_MS = 250
RETRY_MS = 500
FULL_EVERY_MS = 60_000
# The margin covers a clock drift of 10% over the lease plus this age.
CLOCK_MAX_AGE_MS = 8_000
# The adapter reports each exchange; this only bounds a missing report.
ANSWER_LIMIT_MS = 10_000
COMMANDS_PER_SYNC = 64


class LeaseState:
    """Workers of the owned partitions, and their timers."""

    def __init__(self):
        self.workers: dict[str, residents.Worker] = {}
        self.acquired: dict[str, events.PartitionAcquired] = {}
        self.due = []
        self.timers = []
        self.count = 0
        self.last_renewed = 0


def new_state() -> LeaseState:
    """Returns the state of a node that owns nothing."""
    return LeaseState()


def lease_ms(state) -> int:
    """Length of a granted lease in milliseconds."""
    return state.settings.get("lease_ms", LEASE_MS)


def renewal_ms(state) -> int:
    """Interval between renewals in milliseconds."""
    return state.settings.get("renewal_ms", RENEWAL_MS)


def detach_limit_ms(state) -> int:
    """How long a detached owner renews, in milliseconds."""
    return state.settings.get("detach_limit_ms", DETACH_LIMIT_MS)


def worker_of(state, name):
    """Returns the `Worker` record, or None."""
    return state.domains["lease"].workers.get(name)


# ---------------------------------------------------------- partition events


def _on_acquired(state, event, effects):
    from skylarklug import workers

    mine = state.domains["lease"]
    _on_lost(state, event, effects)
    mine.acquired[event.partition] = event
    mine.last_renewed = max(mine.last_renewed, event.at)
    for vm in workers.of_partition(state, event.partition):
        if isinstance(vm, str):
            vm = workers.get(state, vm)
        _add(state, event.partition, vm)


def _on_lost(state, event, effects):
    mine = state.domains["lease"]
    mine.acquired.pop(event.partition, None)
    for name, worker in list(mine.workers.items()):
        if worker.partition == event.partition:
            del mine.workers[name]


def _add(state, partition, vm):
    """Opens the record of a worker in the VM list."""
    from skylarklug import placement

    mine = state.domains["lease"]
    worker = mine.workers.get(vm.vm)
    if worker is None:
        worker = _open(state, partition, vm.vm, vm.control)
    worker.control = vm.control
    worker.removed = False
    worker.absent_until = 0
    placement.add_worker(state, vm, partition)
    placement.include(state, vm.vm, "terminated")
    if vm.state == "leaving":
        placement.exclude(state, vm.vm, "leaving")
    _wake(state, worker, state.now)


def _open(state, partition, name, control):
    mine = state.domains["lease"]
    acquired = mine.acquired[partition]
    worker = residents.Worker(name, control, partition, acquired.epoch)
    wait = lease_ms(state) + EXPIRY_MARGIN_MS
    if acquired.taken_over:
        wait += detach_limit_ms(state)
    worker.assume_running_until = acquired.at + wait
    mine.workers[name] = worker
    return worker


def _on_workers_changed(state, event, effects):
    from skylarklug import placement
    from skylarklug import workers

    mine = state.domains["lease"]
    for vm in (*event.added, *event.changed):
        partition = workers.partition_of(state, vm.vm)
        known = mine.workers.get(vm.vm)
        if known is not None:
            partition = known.partition
        if partition in mine.acquired:
            _add(state, partition, vm)
    for name in event.removed:
        worker = mine.workers.get(name)
        if worker is None:
            continue
        worker.removed = True
        placement.exclude(state, name, "terminated")
        acquired = mine.acquired[worker.partition]
        soonest = acquired.at + lease_ms(state) + EXPIRY_MARGIN_MS
        worker.assume_running_until = min(worker.assume_running_until, soonest)
        _wake(state, worker, state.now)


def expect_attempt(state, effects, task):
    """Notes an attempt that a row places on a worker, until a report."""
    from skylarklug import placement

    mine = state.domains["lease"]
    worker = mine.workers.get(task.worker)
    if worker is None:
        worker = _open(state, task.job.partition, task.worker, "")
        acquired = mine.acquired[worker.partition]
        # A worker that this node has not seen in the VM list may only be
        # missing because the list lags; the lease outlasts that lag.
        worker.absent_until = acquired.at + lease_ms(state) + EXPIRY_MARGIN_MS
        _wake(state, worker, worker.absent_until)
    if worker.phase == "lost":
        worker.phase = "new"
    resident = residents.Resident(task, task.attempt, residents.EXPECTED)
    worker.residents[task.id, task.attempt] = resident
    placement.reserve(state, worker.name, task, task.attempt)
    worker.revision = 0
    if worker.control:
        _wake(state, worker, state.now)


def rows_loaded(state, effects, partition):
    """Compares each worker's report with the rows from now on."""
    for worker in state.domains["lease"].workers.values():
        if worker.partition == partition and worker.control:
            worker.revision = 0
            _wake(state, worker, state.now)


# ------------------------------------------------------------------ sending


def _wake(state, worker, at):
    """Makes the worker due at `at`; a later entry for it is ignored."""
    worker.next_due = at
    heapq.heappush(state.domains["lease"].due, (at, worker.name))


def call_later(state, at, action, worker, key):
    """Calls `residents.on_timer` with these arguments at `at`."""
    mine = state.domains["lease"]
    mine.count += 1
    entry = (at, mine.count, action, worker.name, worker.epoch, key)
    heapq.heappush(mine.timers, entry)


def _on_tick(state, event, effects):
    mine = state.domains["lease"]
    if not mine.workers:
        return
    from skylarklug import ownership

    if ownership.mode(state) == "suspended":
        return
    while mine.timers and mine.timers[0][0] <= state.now:
        _, _, action, name, epoch, key = heapq.heappop(mine.timers)
        worker = mine.workers.get(name)
        if worker is not None and worker.epoch == epoch:
            residents.on_timer(state, effects, worker, action, key)
    while mine.due and mine.due[0][0] <= state.now:
        at, name = heapq.heappop(mine.due)
        worker = mine.workers.get(name)
        if worker is None or worker.next_due != at:
            continue
        _check_expiry(state, effects, worker)
        if worker.in_flight:
            if state.now - worker.sent_at > ANSWER_LIMIT_MS:
                _exchange_failed(state, effects, worker, "no report")
            else:
                _wake(state, worker, state.now + RETRY_MS)
            continue
        if mine.workers.get(name) is worker:
            _send(state, effects, worker)


def flush(state, effects, worker):
    """Sends waiting commands at once unless an exchange is in flight."""
    if worker.in_flight or worker.busy or worker.failures:
        return
    if worker.phase == "ok":
        _send(state, effects, worker)


def _may_renew(state, mode):
    if mode == "held":
        return True
    mine = state.domains["lease"]
    return state.now < mine.last_renewed + detach_limit_ms(state)


def _send(state, effects, worker):
    from skylarklug import ownership

    mine = state.domains["lease"]
    mode = ownership.mode(state)
    _wake(state, worker, state.now + renewal_ms(state))
    if not worker.control or mode == "suspended":
        return
    if not _may_renew(state, mode):
        return
    until = _grant(state, worker)
    starts = mode == "held" and until > 0
    worker.sent = {}
    for key, command in worker.outbox.items():
        if len(worker.sent) == COMMANDS_PER_SYNC:
            break
        if _sendable(worker, key, starts):
            worker.sent[key] = command
    mine.count += 1
    worker.in_flight = mine.count
    worker.sent_at = state.now
    worker.sent_lease = until
    residents.record_sent(state, effects, worker, worker.sent)
    effects.append(
        effects_lib.SyncWorker(
            worker.name, worker.control, worker.partition, worker.epoch,
            mine.count, until, worker.revision, tuple(worker.sent.values()),
            state.now + GOOD_FOR_MS, SYNC_TIMEOUT_MS,
        )
    )  # fmt: skip


def _sendable(worker, key, starts):
    if worker.phase == "fenced":
        return False
    return key[0] != "start" or (starts and worker.phase == "ok")


def _grant(state, worker):
    """Returns `lease_until` in the worker's clock, or 0 for no renewal.

    After a failed exchange nothing is granted until the worker answers:
    a renewal whose fate is unknown would put off the proof of expiry.
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
        _wake(state, worker, state.now + POLL_MS)
        return
    _exchange_failed(state, effects, worker, event.reason)


def _exchange_failed(state, effects, worker, reason):
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
    _wake(state, worker, at)


def _check_expiry(state, effects, worker):
    """Ends the attempts of a worker whose lease is proved to be over."""
    mine = state.domains["lease"]
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

        placement.drop_worker(state, worker.name)
        del mine.workers[worker.name]


def _on_synced(state, event, effects):
    from skylarklug import ownership

    worker = worker_of(state, event.worker)
    if worker is None or worker.in_flight != event.seq:
        return
    if ownership.mode(state) == "suspended":
        _exchange_failed(state, effects, worker, "ownership is suspended")
        return
    worker.in_flight = 0
    if event.status != "ok":
        _fenced(state, effects, worker, event.epoch)
        return
    worker.clock, worker.clock_at = event.clock, event.at
    worker.failures = 0
    if not worker.contacted:
        # The former owner's last grant ends within one lease from now.
        worker.contacted = True
        worker.lease_end = max(worker.lease_end, event.at + lease_ms(state))
    worker.busy = True
    _take_report(state, effects, worker, event)
    worker.busy = False
    _next_send(state, effects, worker)


def _take_report(state, effects, worker, event):
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
        placement.include(state, worker.name, "not synced")
        placement.include(state, worker.name, "fenced")
    placement.include(state, worker.name, "unreachable")
    for item in event.tasks:
        residents.apply_report(state, effects, worker, item)
    if event.full:
        worker.full_due = state.now + FULL_EVERY_MS
        residents.end_missing(state, effects, worker, event.tasks)
    elif state.now >= worker.full_due:
        worker.revision = 0
    if event.usage is not None:
        placement.observe(state, worker.name, event.usage)
        interference.record_usage(state, effects, worker.name, event.usage)
    if event.leaving:
        _leaving(state, effects, worker)


def _leaving(state, effects, worker):
    from skylarklug import placement
    from skylarklug import workers

    placement.exclude(state, worker.name, "leaving")
    if not workers.is_leaving(state, worker.name):
        state.raise_event(events.WorkerLeaving(state.now, worker.name, "sync"))


def _next_send(state, effects, worker):
    """Sends new commands and a missed renewal at once, else later."""
    from skylarklug import ownership

    if worker_of(state, worker.name) is not worker:
        return
    starts = ownership.mode(state) == "held"
    unsent = any(
        key not in worker.sent and _sendable(worker, key, starts)
        for key in worker.outbox
    )
    if unsent or not worker.sent_lease:
        _send(state, effects, worker)
        return
    delay = renewal_ms(state)
    if worker.phase != "ok" and jobs.loaded(state, worker.partition):
        delay = RETRY_MS
    if any(key[0] in ("start", "stop") for key in worker.outbox):
        delay = POLL_MS
    _wake(state, worker, state.now + delay)


def _fenced(state, effects, worker, epoch):
    """Gives up authority over a worker that obeys a newer owner.

    The node lease or the partition row has changed hands; ownership finds
    out at its next read. Until then the attempts are neither renewed nor
    restarted, and a message without commands probes for a change.
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
    _wake(state, worker, state.now + renewal_ms(state))


def _on_lease_checked(state, event, effects):
    if event.held_until > 0:
        state.domains["lease"].last_renewed = event.at


# -------------------------------------------------- calls from other domains


def start(state, effects, worker_name, task):
    """Sends the start of an attempt whose row is durable."""
    residents.start(state, effects, worker_of(state, worker_name), task)


def stop(state, effects, task, reason) -> bool:
    """Stops a task with a checkpoint; says whether that was new."""
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
