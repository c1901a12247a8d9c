"""Leases, commands and simulated tasks of a worker, without network I/O.

The agent enforces epochs and lease deadlines by the worker's own clock, which
may drift or have an offset.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import cbor2

from skylarklug_standins import simulation

# An owner grants at most 30 s; a longer lease would outlast the time after
# which the owner regards it as expired. The additional second covers the drift
# of the clock between its reading and the grant.
MAX_LEASE_MS = 31_000
# Time for which a sync waits for pending stops and checkpoints. A stop that
# ends within it is reported in the same response, so that an urgent start
# doesn't have to wait for the next renewal.
SYNC_WAIT_MS = 300
# Time for the last checkpoint of a task if the stop command sets none.
STOP_GRACE_MS = 2_000
# Interval of attempts to load a checkpoint while the store is unavailable.
LOAD_RETRY_MS = 100
# Length of the windows over which usage is measured.
USAGE_WINDOW_MS = 1_000
# Delay after which a window is reported, since real measurements arrive late.
USAGE_LAG_MS = 2_000
# Number of windows that are kept while no sync fetches them.
USAGE_WINDOWS_KEPT = 30

RUNNING = "running"
STOPPED = "stopped"
FINISHED = "finished"
FAILED = "failed"
REFUSED = "refused"


class Report:
    """State of an attempt; reported until it is acknowledged."""

    def __init__(self, task, attempt, state, checkpoint, reason, progress):
        self.task = task
        self.attempt = attempt
        self.state = state
        self.checkpoint = checkpoint
        self.reason = reason
        self.progress = progress
        self.revision = 0

    def body(self) -> dict[str, Any]:
        """Returns the report in the form of the protocol."""
        return {
            "task": self.task,
            "attempt": self.attempt,
            "state": self.state,
            "checkpoint": self.checkpoint,
            "reason": self.reason,
            "progress": self.progress,
        }


class Agent:
    """Leases, commands and tasks of one worker process.

    Args:
        worker: Name of the worker.
        capacity: Available cpus, memory_mb and accelerators.
        clock: Returns the worker's time in milliseconds.
        ledger: Ledger that records executions.
        store: Object store with coroutines `put(key, body)` and `get(key)`,
            which raise `simulation.StoreUnavailable` during an outage. `get`
            returns None if the object doesn't exist.

    Attributes:
        peak_committed: Largest amount committed at once, by resource.
        violations: Descriptions of violated invariants and owner errors.
    """

    def __init__(self, worker, capacity, clock, ledger, store):
        self.worker = worker
        self.capacity = dict(capacity)
        self.clock = clock
        self.ledger = ledger
        self.store = store
        self.leaving = False
        self.epoch = 0
        self.node = ""
        self.lease_until = 0
        self.revision = 0
        self.runs: dict[str, simulation.Run] = {}
        self.reports: dict[tuple[str, int], Report] = {}
        self.latest_attempts: dict[str, int] = {}
        self.peak_committed = dict.fromkeys(capacity, 0)
        self.violations: list[str] = []
        self._background_tasks: dict[tuple[str, int], asyncio.Task] = {}
        self._latencies: dict[str, list[float]] = {}
        self._usage: list[dict[str, Any]] = []
        self._window_start = clock()

    # ------------------------------------------------------------- sync

    async def sync(self, message: Mapping[str, Any]) -> dict[str, Any]:
        """Handles a sync message and returns the response."""
        self.advance()
        if message["epoch"] < self.epoch:
            return self._response("stale-epoch", [], None)
        self._adopt_epoch(message["epoch"], message["node"])
        self._renew_lease(message["lease_until"])
        pending = set()
        for command in message["commands"]:
            pending.update(
                self._handle_command(command, message["lease_until"])
            )
        # Waits also for stops begun earlier, such as by an expired lease, so
        # that they are reported with their checkpoint rather than as running.
        pending.update(
            self._background_tasks[run.task, run.attempt]
            for run in self.runs.values()
            if run.stopping
        )
        if pending:
            await asyncio.wait(pending, timeout=SYNC_WAIT_MS / 1000)
        self.advance()
        changed = self._reports_since(message["known_revision"])
        return self._response("ok", changed, self._take_delayed_usage())

    def _adopt_epoch(self, epoch, node):
        if epoch > self.epoch:
            self.epoch = epoch
            self.node = node
            return
        if node != self.node:
            self.violations.append(
                f"epoch {epoch} is used by both {self.node} and {node}"
            )

    def _renew_lease(self, lease_until):
        if lease_until == 0:
            return
        granted = lease_until - self.clock()
        if granted > MAX_LEASE_MS:
            self.violations.append(
                f"lease of {granted} ms exceeds the limit of {MAX_LEASE_MS} ms"
            )
        # A delayed message must not shorten a lease that was renewed since.
        self.lease_until = max(self.lease_until, lease_until)

    def _handle_command(self, command, lease_until):
        op = command["op"]
        task, attempt = command["task"], command["attempt"]
        if op == "start":
            self._handle_start(command, lease_until)
            return []
        if op == "stop":
            return self._handle_stop(command)
        if op == "ack":
            self._handle_ack(task, attempt, command.get("accepted", True))
            return []
        run = self.runs.get(task)
        if run is None or run.attempt != attempt or run.stopping:
            return []
        if op == "throttle":
            run.speed_fraction = command["share"]
            return []
        return [self._start_background(run, self._save_checkpoint(run))]

    def _reports_since(self, known):
        # A revision beyond the current one is from a previous process of this
        # worker, whose tasks are lost. Everything is reported then.
        if known > self.revision:
            known = 0
        bodies = []
        for run in self.runs.values():
            if run.revision > known:
                bodies.append(self._running_report(run).body())
        for report in self.reports.values():
            if report.revision > known:
                bodies.append(report.body())
        return bodies

    def _response(self, status, tasks, usage):
        return {
            "status": status,
            "epoch": self.epoch,
            "clock": self.clock(),
            "revision": self.revision,
            "leaving": self.leaving,
            "tasks": tasks,
            "usage": usage,
        }

    # --------------------------------------------------------- commands

    def _handle_start(self, command, lease_until):
        task, attempt = command["task"], command["attempt"]
        known = self.reports.get((task, attempt))
        if known is not None:
            known.revision = self._next_revision()
            return
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            run.revision = self._next_revision()
            return
        reason = self._refusal_reason(task, attempt, lease_until)
        if reason:
            self._add_report(task, attempt, REFUSED, None, reason, 0.0)
            return
        run = simulation.Run(command, self.clock())
        run.revision = self._next_revision()
        self.runs[task] = run
        self.latest_attempts[task] = attempt
        self.ledger.begin(task, attempt, self.worker)
        self._check_commitment()
        if run.checkpoint is None:
            self.ledger.plan(task, attempt, 0, run.total_units)
            run.loading = False
            return
        self._start_background(run, self._load_checkpoint(run))

    def _refusal_reason(self, task, attempt, lease_until):
        if self.leaving:
            return "worker is leaving"
        if lease_until <= self.clock():
            return "lease has expired"
        run = self.runs.get(task)
        if run is not None and run.stopping:
            return f"attempt {run.attempt} is stopping"
        if run is not None:
            self.violations.append(
                f"start of {task}/{attempt} while attempt {run.attempt} runs"
            )
            return f"attempt {run.attempt} is running"
        if attempt <= self.latest_attempts.get(task, 0):
            return "attempt is not newer than a known one"
        return ""

    def _handle_stop(self, command):
        task, attempt = command["task"], command["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            if run.stopping:
                return [self._background_tasks[task, attempt]]
            with_checkpoint = command.get("checkpoint") is not False
            grace_ms = command.get("grace_ms", STOP_GRACE_MS)
            return [self._begin_stop(run, "command", with_checkpoint, grace_ms)]
        report = self.reports.get((task, attempt))
        if report is not None:
            report.revision = self._next_revision()
            return []
        # The start command may arrive later; it must be refused then.
        self.latest_attempts[task] = max(
            self.latest_attempts.get(task, 0), attempt
        )
        self._add_report(task, attempt, STOPPED, None, "not known", 0.0)
        return []

    def _handle_ack(self, task, attempt, accepted):
        report = self.reports.pop((task, attempt), None)
        if report is None or report.state != FINISHED:
            return
        if accepted:
            self.ledger.accept(task, attempt)
        else:
            self.ledger.discard(task, attempt)

    def _check_commitment(self):
        for resource, available in self.capacity.items():
            committed = sum(
                run.size.get(resource, 0)
                for run in self.runs.values()
                if not run.stopping
            )
            self.peak_committed[resource] = max(
                self.peak_committed[resource], committed
            )
            if committed > available + 1e-9:
                self.violations.append(
                    f"committed {committed:g} of {available:g} {resource}"
                )

    # ------------------------------------------------------------ tasks

    def advance(self):
        """Advances tasks to now or to the expiry of the lease."""
        now = self.clock()
        until = min(now, self.lease_until)
        for run in list(self.runs.values()):
            if not run.stopping:
                self._advance_run(run, until)
        if now >= self.lease_until:
            self._stop_all("lease expired")
        if now - self._window_start >= USAGE_WINDOW_MS:
            self._close_usage_window(now)

    def _advance_run(self, run, until):
        before = int(run.progress() * 10)
        for unit in run.advance_to(until):
            self.ledger.complete_unit(run.task, run.attempt, unit)
        state = run.outcome()
        if state:
            self._end_run(run, state, run.reason)
            return
        if int(run.progress() * 10) > before:
            run.revision = self._next_revision()

    def _stop_all(self, reason):
        for run in list(self.runs.values()):
            if not run.stopping:
                self._begin_stop(run, reason, True, STOP_GRACE_MS)

    def _begin_stop(self, run, reason, with_checkpoint, grace_ms):
        """Ends the work at once; reports the stop after the checkpoint."""
        run.stopping = True
        self.ledger.end(run.task, run.attempt, self.worker)
        self.ledger.stop(run.task, run.attempt, reason)
        self._cancel_background(run)
        return self._start_background(
            run,
            self._checkpoint_and_end(run, reason, with_checkpoint, grace_ms),
        )

    async def _checkpoint_and_end(self, run, reason, with_checkpoint, grace_ms):
        if with_checkpoint and not run.loading:
            try:
                async with asyncio.timeout(grace_ms / 1000):
                    await self._save_checkpoint(run)
            except TimeoutError:
                pass
        self._end_run(run, STOPPED, reason)

    def _end_run(self, run, state, reason):
        del self.runs[run.task]
        if state in (FINISHED, FAILED):
            self.ledger.end(run.task, run.attempt, self.worker)
        if state == FINISHED:
            self.ledger.finish(run.task, run.attempt)
        if state == FAILED:
            self.ledger.fail(run.task, run.attempt)
        self._add_report(
            run.task,
            run.attempt,
            state,
            run.checkpoint,
            reason,
            run.progress(),
        )

    async def _save_checkpoint(self, run):
        """Saves the progress; in an outage, the last checkpoint stays valid."""
        units = run.completed_units
        if units == run.checkpointed_units:
            return
        key = f"checkpoint/{run.task}/{run.attempt}/{units}"
        body = cbor2.dumps({"task": run.task, "units": units})
        try:
            await self.store.put(key, body)
        except simulation.StoreUnavailable:
            return
        run.checkpoint = key
        run.checkpointed_units = units
        run.revision = self._next_revision()

    async def _load_checkpoint(self, run):
        """Resumes from a checkpoint; retries while the store is unavailable."""
        while True:
            try:
                body = await self.store.get(run.checkpoint)
                break
            except simulation.StoreUnavailable:
                await asyncio.sleep(LOAD_RETRY_MS / 1000)
        if body is None:
            self._end_run(run, FAILED, f"no object {run.checkpoint}")
            return
        run.resume(cbor2.loads(body)["units"], self.clock())
        self.ledger.plan(
            run.task, run.attempt, run.completed_units, run.total_units
        )

    def _start_background(self, run, coroutine):
        background_task = asyncio.get_running_loop().create_task(coroutine)
        key = (run.task, run.attempt)
        self._background_tasks[key] = background_task
        background_task.add_done_callback(
            lambda done: self._discard_background(key, done)
        )
        return background_task

    def _discard_background(self, key, background_task):
        if self._background_tasks.get(key) is background_task:
            del self._background_tasks[key]

    def _cancel_background(self, run):
        background_task = self._background_tasks.pop(
            (run.task, run.attempt), None
        )
        if background_task is not None:
            background_task.cancel()

    def _running_report(self, run):
        return Report(
            run.task, run.attempt, RUNNING, run.checkpoint, "", run.progress()
        )

    def _add_report(self, task, attempt, state, checkpoint, reason, progress):
        report = Report(task, attempt, state, checkpoint, reason, progress)
        report.revision = self._next_revision()
        self.reports[task, attempt] = report

    def _next_revision(self):
        self.revision += 1
        return self.revision

    # ---------------------------------------------------- pause and kill

    def pause(self):
        """Suspends execution; the clock and the lease continue to run."""
        self.advance()
        for run in self.runs.values():
            if not run.stopping:
                self.ledger.end(run.task, run.attempt, self.worker)

    def resume(self):
        """Continues execution, after stopping tasks if the lease expired."""
        now = self.clock()
        if now >= self.lease_until:
            self._stop_all("lease expired")
        for run in self.runs.values():
            if run.stopping:
                continue
            run.skip_to(now)
            self.ledger.begin(run.task, run.attempt, self.worker)

    def kill(self):
        """Ends the process; tasks and unacknowledged outputs are lost."""
        for background_task in self._background_tasks.values():
            background_task.cancel()
        self._background_tasks.clear()
        for run in self.runs.values():
            if not run.stopping:
                self.ledger.end(run.task, run.attempt, self.worker)
        for report in self.reports.values():
            if report.state == FINISHED:
                self.ledger.discard(report.task, report.attempt)
        self.runs.clear()
        self.reports.clear()

    # ------------------------------------------------------------ usage

    def interference(self) -> float:
        """Returns the relative increase of service times by running tasks."""
        return sum(
            run.interference * run.speed_fraction
            for run in self.runs.values()
            if not run.stopping
        )

    def record_latency(self, service: str, latency_ms: float):
        """Adds a service time in ms to the current usage window."""
        self._latencies.setdefault(service, []).append(latency_ms)

    def _close_usage_window(self, now):
        tasks = {
            run.task: run.usage()
            for run in self.runs.values()
            if not run.stopping
        }
        self._usage.append(
            {
                "from": self._window_start,
                "to": now,
                "cpus": sum(use["cpus"] for use in tasks.values()),
                "memory_mb": sum(use["memory_mb"] for use in tasks.values()),
                "accelerators": sum(
                    run.size.get("accelerators", 0)
                    for run in self.runs.values()
                ),
                "tasks": tasks,
                "latency_ms": {
                    service: simulation.quantile(values, 0.99)
                    for service, values in self._latencies.items()
                },
            }
        )
        del self._usage[:-USAGE_WINDOWS_KEPT]
        self._latencies = {}
        self._window_start = now

    def _take_delayed_usage(self):
        """Removes the windows past the delay and returns the latest, if any."""
        newest_visible_ms = self.clock() - USAGE_LAG_MS
        newest = None
        while self._usage and self._usage[0]["to"] <= newest_visible_ms:
            newest = self._usage.pop(0)
        return newest
