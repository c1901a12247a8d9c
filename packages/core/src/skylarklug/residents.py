"""Attempts on each worker, and the commands that are sent for them.

A start whose answer is lost stays in the outbox and is sent again until the
worker reports the attempt. So an attempt never starts elsewhere while a
message that starts it may still arrive.
"""

from skylarklug import attempts
from skylarklug import effects as effects_lib
from skylarklug import jobs
from skylarklug import tasks

EXPECTED = "expected"  # In a row, but not yet reported by the worker.
START = "start"
RUNNING = "running"
HELD = "held"  # Not on the worker, but a delayed start may still arrive.
ENDED = "ended"  # Until its end is committed and acknowledged.
UNWANTED = "unwanted"  # Not the current attempt of its task; stopped.

# Added to the end of a lease to allow for the drift of the worker's clock.
EXPIRY_MARGIN_MS = 4_000
# Time for a checkpoint before a stopped task is terminated.
STOP_GRACE_MS = 2_000
# Time for which a worker that has refused a start is excluded from placement.
REFUSAL_PAUSE_MS = 2_000


class Worker:
    """The owner's record of one worker.

    `phase` is "new" (not synced in this epoch), "ok", "lost" (its lease is
    known to have expired) or "fenced" (it has accepted a higher epoch).
    """

    __slots__ = (
        "name", "control", "partition", "epoch", "phase", "in_flight",
        "sent_at", "sent", "sent_lease", "clock", "clock_at", "revision",
        "lease_end", "assume_running_until", "contacted", "failures",
        "next_due", "full_due", "outbox", "residents", "removed",
        "applying_report", "absent_until",
    )  # fmt: skip

    def __init__(self, name, control, partition, epoch):
        self.name = name
        self.control = control
        self.partition = partition
        self.epoch = epoch
        self.phase = "new"
        self.in_flight = 0
        self.sent_at = 0
        self.sent = {}
        self.sent_lease = 0
        self.clock = 0
        self.clock_at = None
        self.revision = 0
        self.lease_end = 0
        self.assume_running_until = 0
        self.absent_until = 0
        self.contacted = False
        self.failures = 0
        self.next_due = 0
        self.full_due = 0
        self.outbox = {}
        self.residents = {}
        self.removed = False
        self.applying_report = False

    def attempts_ended_at(self) -> int:
        """Returns when all attempts on an unreachable worker have ended."""
        if not self.contacted:
            return self.assume_running_until
        return self.lease_end + EXPIRY_MARGIN_MS


class Resident:
    """One attempt on one worker.

    From the time `sent_until` on, no delayed message can start the attempt.
    """

    __slots__ = (
        "task", "attempt", "phase", "stopping", "sent_until", "stop_sent",
        "reason", "accepted",
    )  # fmt: skip

    def __init__(self, task, attempt, phase):
        self.task = task
        self.attempt = attempt
        self.phase = phase
        self.stopping = False
        self.sent_until = 0
        self.stop_sent = 0
        self.reason = ""
        # False if the committed end is not the one that the worker reported.
        self.accepted = True


def _queue_command(worker, op, key, fields=None):
    command = effects_lib.Command(op, key[0], key[1], fields or {})
    worker.outbox[(op, *key)] = command


def _withdraw_commands(worker, key):
    for op in ("start", "stop", "checkpoint", "throttle"):
        worker.outbox.pop((op, *key), None)


# ----------------------------------------------------------------- commands


def start(state, effects, worker, task):
    """Queues the start of an attempt, or requeues its task."""
    from skylarklug import lease
    from skylarklug import placement

    key = (task.id, task.attempt)
    account = placement.account_of(state, task.worker)
    usable = worker is not None and worker.phase == "ok"
    if usable and account is not None:
        usable = not {"leaving", "drained"} & account.excluded.keys()
    if not usable or task.job.cancelled:
        placement.release(state, effects, task.worker, *key)
        attempts.requeue(state, effects, task, "worker no longer usable")
        return
    spec = task.job.spec
    worker.residents[key] = Resident(task, task.attempt, START)
    fields = {
        "size": spec["size"],
        "kind": spec["kind"],
        "run_time_ms": spec["run_time_ms"],
        "checkpoint": task.checkpoint,
        "payload": spec["payload"],
    }
    _queue_command(worker, "start", key, fields)
    lease.flush(state, effects, worker)


def stop(state, effects, worker, task, reason) -> bool:
    """Stops an attempt; returns False if there is nothing new to stop."""
    from skylarklug import lease

    key = (task.id, task.attempt)
    resident = worker.residents.get(key)
    if resident is None or resident.stopping or task.awaiting_row:
        return False
    if resident.phase in (ENDED, HELD, UNWANTED):
        return False
    resident.stopping = True
    task.stop_reason = reason
    if resident.phase == START:
        sent = resident.sent_until or ("start", *key) in worker.sent
        if not sent:
            _withdraw_commands(worker, key)
            _end_attempt(state, effects, worker, key, reason)
        return True
    if resident.phase == RUNNING:
        attempts.mark_stopping(state, effects, task, reason)
        _send_stop(worker, key, resident)
        lease.flush(state, effects, worker)
    return True


def _send_stop(worker, key, resident):
    resident.stopping = True
    keep_checkpoint = not resident.task.job.cancelled
    fields = {"checkpoint": keep_checkpoint, "grace_ms": STOP_GRACE_MS}
    _queue_command(worker, "stop", key, fields)


def throttle(state, effects, worker, task, share):
    """Queues a limit on the processors of a running attempt."""
    from skylarklug import lease

    key = (task.id, task.attempt)
    resident = worker.residents.get(key)
    if resident is not None and resident.phase == RUNNING:
        _queue_command(worker, "throttle", key, {"share": share})
        lease.flush(state, effects, worker)


def _queue_acknowledgement(state, effects, worker, key):
    """Acknowledges an end once no delayed start can arrive any more.

    A worker refuses a late start as long as it holds the result of the
    attempt. It may discard the result when it has the acknowledgement.
    """
    from skylarklug import lease

    if lease.worker_of(state, worker.name) is not worker:
        return
    resident = worker.residents.get(key)
    if resident is not None and state.now < resident.sent_until:
        lease.call_later(state, resident.sent_until, "ack", worker, key)
        return
    accepted = resident is None or resident.accepted
    _queue_command(
        worker, "ack", key, None if accepted else {"accepted": False}
    )
    lease.flush(state, effects, worker)


def on_timer(state, effects, worker, action, key):
    """Runs an action that `lease.call_later` has scheduled."""
    from skylarklug import lease
    from skylarklug import placement

    if action == "include":
        placement.clear_exclusion(state, worker.name, key)
        return
    resident = worker.residents.get(key)
    if resident is None:
        return
    if action == "ack" and resident.phase == ENDED:
        _queue_acknowledgement(state, effects, worker, key)
    if action == "end" and resident.phase == HELD:
        _end_attempt(state, effects, worker, key, resident.reason)
    if action == "checkpoint" and resident.phase == RUNNING:
        interval_ms = resident.task.job.spec["checkpoint_ms"]
        lease.call_later(
            state, state.now + interval_ms, "checkpoint", worker, key
        )
        if not resident.stopping:
            attempts.mark_checkpointing(state, effects, resident.task)
            _queue_command(worker, "checkpoint", key)
            # The command is sent with the next renewal, unless another
            # checkpoint is due before then.
            if interval_ms < lease.renewal_ms(state):
                lease.flush(state, effects, worker)


# ---------------------------------------------------------------- exchanges


def record_sent(state, effects, worker, keys):
    """Records when stop commands were first sent."""
    for op, *key in keys:
        resident = worker.residents.get(tuple(key))
        if op != "stop" or resident is None:
            continue
        if not resident.stop_sent:
            resident.stop_sent = state.now
        elif state.now - resident.stop_sent > STOP_GRACE_MS:
            # The worker may have lost the attempt: request a full report.
            worker.revision = 0


def record_lost_answer(state, worker):
    """Records that the starts of the last message may arrive late."""
    for op, *key in worker.sent:
        resident = worker.residents.get(tuple(key))
        if op == "start" and resident is not None:
            resident.sent_until = worker.lease_end + EXPIRY_MARGIN_MS


def remove_delivered(worker):
    """Removes the delivered commands, except starts and stops.

    Starts and stops stay queued until the worker reports their result.
    """
    for key, command in worker.sent.items():
        if key[0] in ("start", "stop"):
            continue
        if worker.outbox.get(key) is not command:
            continue
        del worker.outbox[key]
        resident = worker.residents.get(key[1:])
        # The acknowledgement of a refused start leaves the record, since a
        # delayed copy of the start may still arrive.
        if key[0] == "ack" and resident and resident.phase == ENDED:
            del worker.residents[key[1:]]


def apply_report(state, effects, worker, item):
    """Applies a worker's report about one attempt."""
    key = (item.task, item.attempt)
    task = jobs.find_task(state, worker.partition, item.task)
    current = (
        task is not None
        and task.attempt == item.attempt
        and task.worker == worker.name
        and task.state not in tasks.TERMINAL
    )
    if item.state == "running":
        if current and task.state != tasks.PENDING:
            _apply_running(state, effects, worker, key, task, item)
        else:
            _stop_unwanted(state, effects, worker, key, task)
    elif item.state == "refused":
        _apply_refused(state, effects, worker, key, item)
    else:
        _apply_end(state, effects, worker, key, task, item, current)


def _apply_running(state, effects, worker, key, task, item):
    from skylarklug import interference
    from skylarklug import lease
    from skylarklug import placement

    resident = worker.residents.get(key)
    if resident is None:
        resident = Resident(task, task.attempt, EXPECTED)
        worker.residents[key] = resident
        placement.reserve(state, worker.name, task, task.attempt)
    if resident.phase == ENDED:
        return
    worker.outbox.pop(("start", *key), None)
    if resident.phase != RUNNING:
        resident.phase = RUNNING
        interference.record_start(state, worker.name, task)
        interval_ms = task.job.spec["checkpoint_ms"]
        if interval_ms:
            lease.call_later(
                state, state.now + interval_ms, "checkpoint", worker, key
            )
    attempts.confirm_running(state, effects, task, item)
    wanted = not task.job.cancelled and not resident.stopping
    if not wanted and ("stop", *key) not in worker.outbox:
        attempts.mark_stopping(
            state, effects, task, task.stop_reason or "cancelled"
        )
        _send_stop(worker, key, resident)


def _stop_unwanted(state, effects, worker, key, task):
    """Stops an attempt that is not the current attempt of a live task."""
    from skylarklug import placement

    resident = worker.residents.get(key)
    if resident is None and task is not None:
        resident = Resident(task, key[1], UNWANTED)
        worker.residents[key] = resident
        placement.reserve(state, worker.name, task, key[1])
    if resident is not None:
        resident.phase = UNWANTED
    if ("stop", *key) not in worker.outbox:
        tasks.log(
            effects, "unwanted", "warning", task=key[0], attempt=key[1],
            worker=worker.name, reason="not the current attempt",
        )  # fmt: skip
        _queue_command(
            worker, "stop", key, {"checkpoint": False, "grace_ms": 0}
        )


def _apply_refused(state, effects, worker, key, item):
    from skylarklug import lease
    from skylarklug import placement

    resident = worker.residents.get(key)
    if resident is None or resident.phase not in (START, EXPECTED):
        return
    _withdraw_commands(worker, key)
    _queue_command(worker, "ack", key)
    placement.exclude(state, worker.name, "refused a start")
    at = state.now + REFUSAL_PAUSE_MS
    lease.call_later(state, at, "include", worker, "refused a start")
    _end_or_hold(state, effects, worker, key, f"refused: {item.reason}")


def _apply_end(state, effects, worker, key, task, item, current):
    from skylarklug import interference
    from skylarklug import placement

    resident = worker.residents.get(key)
    already_ended = resident is not None and resident.phase == ENDED
    _withdraw_commands(worker, key)
    if not already_ended:
        interference.record_end(state, worker.name, key[0])
        placement.release(state, effects, worker.name, *key)
    if not current:
        if task is not None and item.state == "finished" and not already_ended:
            attempts.log_dropped_finish(state, effects, task, item)
        if resident is None:
            resident = Resident(task, key[1], ENDED)
            worker.residents[key] = resident
        resident.phase = ENDED
        resident.accepted = False
        if ("ack", *key) not in worker.outbox:
            _queue_acknowledgement(state, effects, worker, key)
        return
    if task.awaiting_row:
        return
    if resident is None:
        resident = worker.residents[key] = Resident(task, key[1], ENDED)
    resident.phase = ENDED

    def acknowledge(state, effects, accepted=True):
        resident.accepted = accepted
        _queue_acknowledgement(state, effects, worker, key)

    attempts.commit_end(state, effects, task, item, acknowledge)


def end_missing(state, effects, worker, reported):
    """Ends attempts that are missing from a full report of the worker."""
    present = {(item.task, item.attempt) for item in reported}
    for key, resident in list(worker.residents.items()):
        if key in present or resident.phase in (START, ENDED, HELD):
            continue
        _withdraw_commands(worker, key)
        _end_or_hold(state, effects, worker, key, "unknown to the worker")


def end_all(state, effects, worker, reason):
    """Ends every attempt on a worker whose lease has certainly expired."""
    keys = list(worker.residents)
    ended = worker.residents
    worker.residents = {}
    worker.outbox.clear()
    for key in keys:
        _release(state, effects, worker, key, ended[key], reason)


def _end_or_hold(state, effects, worker, key, reason):
    from skylarklug import lease

    resident = worker.residents[key]
    if state.now < resident.sent_until:
        resident.phase = HELD
        resident.reason = reason
        lease.call_later(state, resident.sent_until, "end", worker, key)
        return
    _end_attempt(state, effects, worker, key, reason)


def _end_attempt(state, effects, worker, key, reason):
    resident = worker.residents.pop(key)
    _release(state, effects, worker, key, resident, reason)


def _release(state, effects, worker, key, resident, reason):
    from skylarklug import interference
    from skylarklug import placement

    interference.record_end(state, worker.name, key[0])
    placement.release(state, effects, worker.name, *key)
    task = resident.task
    if task is None or resident.phase in (UNWANTED, ENDED):
        return
    if task.attempt == resident.attempt and jobs.is_current(state, task):
        attempts.requeue(state, effects, task, reason)
