"""Checks invariants and counts outcomes of a run from its events and effects.

An `Observer` checks the invariants of docs/design.md section 1 from the point
of view of one node, independently of the code that makes the decisions.
"""

from typing import NamedTuple

from skylarklug import effects as effect_types
from skylarklug import events

# Time after which an upstream that is leaving must get no new requests.
LEAVING_LIMIT_MS = 5000
# States in which an attempt of a task no longer uses its worker.
TERMINAL_STATES = frozenset({"stopped", "finished", "failed", "refused"})


class Violation(NamedTuple):
    """A violated invariant: its id, the time and a description."""

    invariant: str
    at: int
    detail: str


class _Request:
    def __init__(self, event):
        self.idempotent = event.idempotent
        self.answers = 0
        self.sent = set()
        self.refused = set()
        self.attempts = set()


class _Placement(NamedTuple):
    worker: str
    attempt: int
    size: tuple


class Observer:
    """Counts outcomes and records violations.

    Attributes:
        counts: Number of occurrences by outcome.
        violations: All violations in order of detection.
    """

    def __init__(self):
        self.counts = {
            "requests": 0,
            "relayed": 0,
            "errors_not_run": 0,
            "errors_unknown": 0,
            "attempts": 0,
            "tasks_started": 0,
            "tasks_finished": 0,
            "tasks_evicted": 0,
            "config_versions": 0,
        }
        self.violations = []
        self._now = 0
        self._requests = {}
        self._leaving_since = {}
        self._capacity = {}
        self._placements = {}
        self._worker_clocks = {}
        self._lease_ends = {}
        self._commits = {}
        self._finished_attempts = {}
        self._config_version = 0

    def observe(self, event, effects) -> None:
        """Processes one event and the effects that it produced."""
        self._now = event.at
        handler = _EVENT_HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        for effect in effects:
            handler = _EFFECT_HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, effect)

    def _record_violation(self, invariant, detail):
        self.violations.append(Violation(invariant, self._now, detail))

    # ------------------------------------------------------------- requests

    def _request_arrived(self, event):
        self.counts["requests"] += 1
        self._requests[event.req_id] = _Request(event)

    def _attempt_sent(self, event):
        req = self._requests.get(event.req_id)
        if req is not None:
            req.sent.add(event.attempt)

    def _attempt_failed(self, event):
        if event.leaving:
            self._mark_worker_leaving(event)
        req = self._requests.get(event.req_id)
        if req is None:
            return
        if event.refused:
            req.refused.add(event.attempt)
        if event.sent:
            req.sent.add(event.attempt)
        elif not event.refused:
            req.sent.discard(event.attempt)

    def _mark_worker_leaving(self, event):
        req = self._requests.get(event.req_id)
        if req is None:
            return
        for attempt, worker in req.attempts:
            if attempt == event.attempt:
                self._leaving_since.setdefault(worker, event.at)

    def _request_closed(self, event):
        self._requests.pop(event.req_id, None)

    def _send_attempt(self, effect):
        self._check_attempt(effect, effect.worker)
        leaving_since = self._leaving_since.get(effect.worker)
        if (
            leaving_since is not None
            and self._now - leaving_since > LEAVING_LIMIT_MS
        ):
            elapsed_ms = self._now - leaving_since
            self._record_violation(
                "I7",
                f"request {effect.req_id} sent to {effect.worker} "
                f"{elapsed_ms} ms after it began leaving",
            )

    def _forward_attempt(self, effect):
        self._check_attempt(effect, effect.node)

    def _check_attempt(self, effect, peer):
        self.counts["attempts"] += 1
        req = self._requests.get(effect.req_id)
        if req is None:
            return
        may_have_run = req.sent - req.refused
        if not req.idempotent and may_have_run:
            self._record_violation(
                "I6",
                f"request {effect.req_id} sent again "
                f"as attempt {effect.attempt}",
            )
        req.attempts.add((effect.attempt, peer))

    def _relay_answer(self, effect):
        self.counts["relayed"] += 1
        self._count_answer(effect.req_id)

    def _answer_error(self, effect):
        name = effect.outcome.replace(" ", "_")
        self.counts[f"errors_{name}"] += 1
        self._count_answer(effect.req_id)
        req = self._requests.get(effect.req_id)
        if req is None or effect.outcome != "not run":
            return
        if req.sent - req.refused:
            self._record_violation(
                "I5",
                f"request {effect.req_id} answered as not run may have run",
            )

    def _count_answer(self, req_id):
        req = self._requests.get(req_id)
        if req is None:
            return
        req.answers += 1
        if req.answers > 1:
            self._record_violation(
                "I4", f"request {req_id} answered {req.answers} times"
            )

    def _exit(self, effect):
        if effect.status == 0 and self._requests:
            self._record_violation(
                "I8", f"exit with {len(self._requests)} requests in flight"
            )

    # -------------------------------------------------------------- workers

    def _vm_list_read(self, event):
        for vm in event.vms:
            self._capacity[vm.vm] = (vm.cpus, vm.memory_mb, vm.accelerators)
            if vm.state == "leaving":
                self._leaving_since.setdefault(vm.vm, event.at)
            else:
                self._leaving_since.pop(vm.vm, None)

    def _worker_synced(self, event):
        self._worker_clocks[event.worker] = (event.clock, event.at)
        if event.leaving:
            self._leaving_since.setdefault(event.worker, event.at)
        for task in event.tasks:
            placement = self._placements.get(task.task)
            if placement is None or task.attempt != placement.attempt:
                continue
            if task.state in TERMINAL_STATES:
                self._placements.pop(task.task)

    def _sync_worker(self, effect):
        if effect.lease_until and effect.worker in self._worker_clocks:
            clock, read_at = self._worker_clocks[effect.worker]
            end = read_at + effect.lease_until - clock
            previous_end = self._lease_ends.get(effect.worker, 0)
            self._lease_ends[effect.worker] = max(previous_end, end)
        for command in effect.commands:
            if command.op == "start":
                self._start(effect.worker, command)

    def _start(self, worker, command):
        size = command.fields.get("size", {})
        size = (
            size.get("cpus", 0),
            size.get("memory_mb", 0),
            size.get("accelerators", 0),
        )
        placement = self._placements.get(command.task)
        if placement is None or placement.attempt != command.attempt:
            self.counts["tasks_started"] += 1
        if placement is not None and placement.worker != worker:
            if self._now < self._lease_ends.get(placement.worker, 0):
                self._record_violation(
                    "I2",
                    f"task {command.task} started on {worker} during its lease "
                    f"on {placement.worker}",
                )
        if command.task in self._finished_attempts:
            self._record_violation(
                "I3", f"task {command.task} started after it finished"
            )
        self._placements[command.task] = _Placement(
            worker, command.attempt, size
        )
        self._check_capacity(worker)

    def _check_capacity(self, worker):
        capacity = self._capacity.get(worker)
        if capacity is None:
            return
        used = [0, 0, 0]
        for placement in self._placements.values():
            if placement.worker != worker:
                continue
            for index, amount in enumerate(placement.size):
                used[index] += amount
        for name, amount, limit in zip(
            ("cpus", "memory_mb", "accelerators"), used, capacity, strict=True
        ):
            if amount > limit + 1e-6:
                self._record_violation(
                    "I1", f"worker {worker}: {name} {amount} exceeds {limit}"
                )

    # ---------------------------------------------------------------- table

    def _commit_table(self, effect):
        self._commits[effect.op_id] = effect

    def _table_answered(self, event):
        effect = self._commits.pop(event.op_id, None)
        if effect is None or event.status != "committed":
            return
        for write in effect.writes:
            if not write.key.startswith("task/") or write.value is None:
                continue
            self._check_task_row(write)

    def _check_task_row(self, write):
        if write.value.get("state") != "finished":
            return
        task = write.key.split("/", 3)[-1]
        attempt = write.value.get("attempt")
        finished_attempt = self._finished_attempts.get(task)
        if finished_attempt is None:
            self.counts["tasks_finished"] += 1
            self._finished_attempts[task] = attempt
        elif finished_attempt != attempt:
            self._record_violation(
                "I3",
                f"task {task} finished as attempts {finished_attempt} "
                f"and {attempt}",
            )

    # -------------------------------------------------------- configuration

    def _measure(self, effect):
        if effect.name == "skylarklug.tasks.evicted":
            self.counts["tasks_evicted"] += int(effect.value)
        if effect.name != "skylarklug.config.version":
            return
        version = int(effect.value)
        if version < self._config_version:
            self._record_violation(
                "I9", f"version {version} applied after {self._config_version}"
            )
        if version > self._config_version:
            self.counts["config_versions"] += 1
        self._config_version = version


_EVENT_HANDLERS = {
    events.RequestArrived: Observer._request_arrived,
    events.AttemptSent: Observer._attempt_sent,
    events.AttemptFailed: Observer._attempt_failed,
    events.RequestClosed: Observer._request_closed,
    events.VmListRead: Observer._vm_list_read,
    events.WorkerSynced: Observer._worker_synced,
    events.TableAnswered: Observer._table_answered,
}

_EFFECT_HANDLERS = {
    effect_types.SendAttempt: Observer._send_attempt,
    effect_types.ForwardAttempt: Observer._forward_attempt,
    effect_types.RelayAnswer: Observer._relay_answer,
    effect_types.AnswerError: Observer._answer_error,
    effect_types.Exit: Observer._exit,
    effect_types.SyncWorker: Observer._sync_worker,
    effect_types.CommitTable: Observer._commit_table,
    effect_types.Measure: Observer._measure,
}
