"""Invariants and counts of a run, derived from its events and effects.

An `Observer` checks the invariants of docs/design.md section 1 as one node
sees them, independently of the code that makes the decisions.
"""

from typing import NamedTuple

from skylarklug import effects as effect_types
from skylarklug import events

# An upstream that is leaving gets no new work after this time.
LEAVING_LIMIT_MS = 5000
TERMINAL_STATES = frozenset({"stopped", "finished", "failed", "refused"})


class Violation(NamedTuple):
    """A broken invariant: its id, the time and what was seen."""

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
        counts: Outcome name to number.
        violations: All violations in the order in which they were seen.
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
        self._at = 0
        self._requests = {}
        self._leaving = {}
        self._capacity = {}
        self._placements = {}
        self._clocks = {}
        self._lease_ends = {}
        self._commits = {}
        self._finished = {}
        self._config_version = 0

    def observe(self, event, produced) -> None:
        """Takes one event and the effects that it produced."""
        self._at = event.at
        handler = _EVENT_HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)
        for effect in produced:
            handler = _EFFECT_HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, effect)

    def _violate(self, invariant, detail):
        self.violations.append(Violation(invariant, self._at, detail))

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
            self._note_leaving_attempt(event)
        req = self._requests.get(event.req_id)
        if req is None:
            return
        if event.refused:
            req.refused.add(event.attempt)
        if event.sent:
            req.sent.add(event.attempt)
        elif not event.refused:
            req.sent.discard(event.attempt)

    def _note_leaving_attempt(self, event):
        req = self._requests.get(event.req_id)
        if req is None:
            return
        for attempt, worker in req.attempts:
            if attempt == event.attempt:
                self._leaving.setdefault(worker, event.at)

    def _request_closed(self, event):
        self._requests.pop(event.req_id, None)

    def _send_attempt(self, effect):
        self._check_attempt(effect, effect.worker)
        left_at = self._leaving.get(effect.worker)
        if left_at is not None and self._at - left_at > LEAVING_LIMIT_MS:
            late = self._at - left_at
            self._violate(
                "I7", f"{effect.req_id} to {effect.worker} {late} ms late"
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
            self._violate(
                "I6", f"{effect.req_id} sent again as {effect.attempt}"
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
            self._violate("I5", f"{effect.req_id} may have run")

    def _count_answer(self, req_id):
        req = self._requests.get(req_id)
        if req is None:
            return
        req.answers += 1
        if req.answers > 1:
            self._violate("I4", f"{req_id} answered {req.answers} times")

    def _exit(self, effect):
        if effect.status == 0 and self._requests:
            self._violate("I8", f"{len(self._requests)} requests in flight")

    # -------------------------------------------------------------- workers

    def _vm_list_read(self, event):
        for vm in event.vms:
            self._capacity[vm.vm] = (vm.cpus, vm.memory_mb, vm.accelerators)
            if vm.state == "leaving":
                self._leaving.setdefault(vm.vm, event.at)
            else:
                self._leaving.pop(vm.vm, None)

    def _worker_synced(self, event):
        self._clocks[event.worker] = (event.clock, event.at)
        if event.leaving:
            self._leaving.setdefault(event.worker, event.at)
        for task in event.tasks:
            placed = self._placements.get(task.task)
            if placed is None or task.attempt != placed.attempt:
                continue
            if task.state in TERMINAL_STATES:
                self._placements.pop(task.task)

    def _sync_worker(self, effect):
        if effect.lease_until and effect.worker in self._clocks:
            clock, read_at = self._clocks[effect.worker]
            end = read_at + effect.lease_until - clock
            last = self._lease_ends.get(effect.worker, 0)
            self._lease_ends[effect.worker] = max(last, end)
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
        placed = self._placements.get(command.task)
        if placed is None or placed.attempt != command.attempt:
            self.counts["tasks_started"] += 1
        if placed is not None and placed.worker != worker:
            if self._at < self._lease_ends.get(placed.worker, 0):
                self._violate(
                    "I2", f"{command.task} on {placed.worker} and {worker}"
                )
        if command.task in self._finished:
            self._violate("I3", f"{command.task} started after its finish")
        self._placements[command.task] = _Placement(
            worker, command.attempt, size
        )
        self._check_capacity(worker)

    def _check_capacity(self, worker):
        capacity = self._capacity.get(worker)
        if capacity is None:
            return
        used = [0, 0, 0]
        for placed in self._placements.values():
            if placed.worker != worker:
                continue
            for index, amount in enumerate(placed.size):
                used[index] += amount
        for name, amount, limit in zip(
            ("cpus", "memory_mb", "accelerators"), used, capacity, strict=True
        ):
            if amount > limit + 1e-6:
                self._violate("I1", f"{worker} {name} {amount} > {limit}")

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
            self._note_task_row(write)

    def _note_task_row(self, write):
        if write.value.get("state") != "finished":
            return
        task = write.key.split("/", 3)[-1]
        attempt = write.value.get("attempt")
        known = self._finished.get(task)
        if known is None:
            self.counts["tasks_finished"] += 1
            self._finished[task] = attempt
        elif known != attempt:
            self._violate("I3", f"{task} finished as {known} and {attempt}")

    # -------------------------------------------------------- configuration

    def _measure(self, effect):
        if effect.name == "skylarklug.tasks.evicted":
            self.counts["tasks_evicted"] += int(effect.value)
        if effect.name != "skylarklug.config.version":
            return
        version = int(effect.value)
        if version < self._config_version:
            self._violate(
                "I9", f"version {self._config_version} then {version}"
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
