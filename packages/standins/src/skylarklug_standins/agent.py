"""The worker's control side without I/O: leases, commands, simulated tasks.

The agent is the part of a worker that enforces epochs and deadlines. Time
comes from the worker's own clock, which may run fast or be offset.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import cbor2

from skylarklug_standins import simulation

# An owner grants at most 30 s; more would outlive its proof of expiry. The
# second on top covers clock drift between reading and granting.
LEASE_LIMIT_MS = 31_000
# A stop answers with its result when the checkpoint is written this fast, so
# that an urgent start need not wait for the next renewal.
COMMAND_WAIT_MS = 300
STOP_GRACE_MS = 2_000
LOAD_RETRY_MS = 100
USAGE_WINDOW_MS = 1_000
USAGE_LAG_MS = 2_000
USAGE_WINDOWS_KEPT = 30

RUNNING = "running"
STOPPED = "stopped"
FINISHED = "finished"
FAILED = "failed"
REFUSED = "refused"


class Report:
    """The state of an attempt as the worker reports it until the ack."""

    def __init__(self, task, attempt, state, checkpoint, reason, progress):
        self.task = task
        self.attempt = attempt
        self.state = state
        self.checkpoint = checkpoint
        self.reason = reason
        self.progress = progress
        self.revision = 0

    def body(self) -> dict[str, Any]:
        """Returns the report as it is sent."""
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
        capacity: Offered cpus, memory_mb and accelerators.
        clock: Returns the worker's time in milliseconds.
        ledger: Where executions are recorded.
        store: Object with coroutines `put(key, body)` and `get(key)`, which
            raise `simulation.StoreUnavailable` in an outage; `get` returns
            None when the object is absent.

    Attributes:
        peak_committed: Largest commitment seen, by resource.
        violations: Sentences about broken invariants and owner errors.
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
        self.latest: dict[str, int] = {}
        self.peak_committed = dict.fromkeys(capacity, 0)
        self.violations: list[str] = []
        self._jobs: dict[tuple[str, int], asyncio.Task] = {}
        self._latencies: dict[str, list[float]] = {}
        self._usage: list[dict[str, Any]] = []
        self._window_start = clock()

    # ------------------------------------------------------------- sync

    async def sync(self, message: Mapping[str, Any]) -> dict[str, Any]:
        """Performs one exchange and returns the response."""
        self.advance()
        if message["epoch"] < self.epoch:
            return self._response("stale-epoch", [], None)
        self._take_epoch(message["epoch"], message["node"])
        self._renew(message["lease_until"])
        pending = set()
        for command in message["commands"]:
            pending.update(self._command(command, message["lease_until"]))
        # Stops under way, also those of an expired lease, are reported with
        # their checkpoint rather than as still running.
        pending.update(
            self._jobs[run.task, run.attempt]
            for run in self.runs.values()
            if run.stopping
        )
        if pending:
            await asyncio.wait(pending, timeout=COMMAND_WAIT_MS / 1000)
        self.advance()
        changed = self._changed_since(message["known_revision"])
        return self._response("ok", changed, self._late_usage())

    def _take_epoch(self, epoch, node):
        if epoch > self.epoch:
            self.epoch = epoch
            self.node = node
            return
        if node != self.node:
            self.violations.append(
                f"epoch {epoch} used by both {self.node} and {node}"
            )

    def _renew(self, lease_until):
        if lease_until == 0:
            return
        granted = lease_until - self.clock()
        if granted > LEASE_LIMIT_MS:
            self.violations.append(f"lease of {granted} ms granted")
        # A delayed message must not shorten a lease renewed after it.
        self.lease_until = max(self.lease_until, lease_until)

    def _command(self, command, lease_until):
        op = command["op"]
        task, attempt = command["task"], command["attempt"]
        if op == "start":
            self._start(command, lease_until)
            return []
        if op == "stop":
            return self._stop_command(command)
        if op == "ack":
            self._ack(task, attempt, command.get("accepted", True))
            return []
        run = self.runs.get(task)
        if run is None or run.attempt != attempt or run.stopping:
            return []
        if op == "throttle":
            run.speed_fraction = command["share"]
            return []
        return [self._spawn(run, self._checkpoint(run))]

    def _changed_since(self, known):
        # A revision from the future was given by an earlier process of this
        # worker, whose tasks are gone; everything is reported then.
        if known > self.revision:
            known = 0
        bodies = []
        for run in self.runs.values():
            if run.revision > known:
                bodies.append(self._run_report(run).body())
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

    def _start(self, command, lease_until):
        task, attempt = command["task"], command["attempt"]
        known = self.reports.get((task, attempt))
        if known is not None:
            known.revision = self._next_revision()
            return
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            run.revision = self._next_revision()
            return
        reason = self._refusal(task, attempt, lease_until)
        if reason:
            self._report(task, attempt, REFUSED, None, reason, 0.0)
            return
        run = simulation.Run(command, self.clock())
        run.revision = self._next_revision()
        self.runs[task] = run
        self.latest[task] = attempt
        self.ledger.begin(task, attempt, self.worker)
        self._measure_commitment()
        if run.checkpoint is None:
            self.ledger.plan(task, attempt, 0, run.total_units)
            run.loading = False
            return
        self._spawn(run, self._load(run))

    def _refusal(self, task, attempt, lease_until):
        if self.leaving:
            return "worker is leaving"
        if lease_until <= self.clock():
            return "lease has expired"
        run = self.runs.get(task)
        if run is not None and run.stopping:
            return f"attempt {run.attempt} is stopping"
        if run is not None:
            self.violations.append(
                f"start of {task}/{attempt} while {run.attempt} runs"
            )
            return f"attempt {run.attempt} is running"
        if attempt <= self.latest.get(task, 0):
            return "attempt is not newer than a known one"
        return ""

    def _stop_command(self, command):
        task, attempt = command["task"], command["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            if run.stopping:
                return [self._jobs[task, attempt]]
            save = command.get("checkpoint") is not False
            grace_ms = command.get("grace_ms", STOP_GRACE_MS)
            return [self._stop(run, "command", save, grace_ms)]
        report = self.reports.get((task, attempt))
        if report is not None:
            report.revision = self._next_revision()
            return []
        # The start may still be under way; it is refused when it arrives.
        self.latest[task] = max(self.latest.get(task, 0), attempt)
        self._report(task, attempt, STOPPED, None, "not known", 0.0)
        return []

    def _ack(self, task, attempt, accepted):
        report = self.reports.pop((task, attempt), None)
        if report is None or report.state != FINISHED:
            return
        if accepted:
            self.ledger.accept(task, attempt)
        else:
            self.ledger.discard(task, attempt)

    def _measure_commitment(self):
        for resource, offered in self.capacity.items():
            held = sum(
                run.size.get(resource, 0)
                for run in self.runs.values()
                if not run.stopping
            )
            self.peak_committed[resource] = max(
                self.peak_committed[resource], held
            )
            if held > offered + 1e-9:
                self.violations.append(
                    f"committed {held:g} of {offered:g} {resource}"
                )

    # ------------------------------------------------------------ tasks

    def advance(self):
        """Lets tasks work until now, or until the lease expired."""
        now = self.clock()
        until = min(now, self.lease_until)
        for run in list(self.runs.values()):
            if not run.stopping:
                self._work(run, until)
        if now >= self.lease_until:
            self._expire("lease expired")
        if now - self._window_start >= USAGE_WINDOW_MS:
            self._close_window(now)

    def _work(self, run, until):
        before = int(run.progress() * 10)
        for unit in run.advance_to(until):
            self.ledger.complete_unit(run.task, run.attempt, unit)
        state = run.outcome()
        if state:
            self._conclude(run, state, run.reason)
            return
        if int(run.progress() * 10) > before:
            run.revision = self._next_revision()

    def _expire(self, reason):
        for run in list(self.runs.values()):
            if not run.stopping:
                self._stop(run, reason, True, STOP_GRACE_MS)

    def _stop(self, run, reason, save, grace_ms):
        """Ends the work at once; the report follows the checkpoint."""
        run.stopping = True
        self.ledger.end(run.task, run.attempt, self.worker)
        self.ledger.stop(run.task, run.attempt, reason)
        self._cancel_job(run)
        return self._spawn(
            run, self._save_and_conclude(run, reason, save, grace_ms)
        )

    async def _save_and_conclude(self, run, reason, save, grace_ms):
        if save and not run.loading:
            try:
                async with asyncio.timeout(grace_ms / 1000):
                    await self._checkpoint(run)
            except TimeoutError:
                pass
        self._conclude(run, STOPPED, reason)

    def _conclude(self, run, state, reason):
        del self.runs[run.task]
        if state in (FINISHED, FAILED):
            self.ledger.end(run.task, run.attempt, self.worker)
        if state == FINISHED:
            self.ledger.finish(run.task, run.attempt)
        if state == FAILED:
            self.ledger.fail(run.task, run.attempt)
        self._report(
            run.task,
            run.attempt,
            state,
            run.checkpoint,
            reason,
            run.progress(),
        )

    async def _checkpoint(self, run):
        """Stores the completed units; keeps the old key in an outage."""
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

    async def _load(self, run):
        """Reads the checkpoint to resume from; waits out an outage."""
        while True:
            try:
                body = await self.store.get(run.checkpoint)
                break
            except simulation.StoreUnavailable:
                await asyncio.sleep(LOAD_RETRY_MS / 1000)
        if body is None:
            self._conclude(run, FAILED, f"no object {run.checkpoint}")
            return
        run.resume(cbor2.loads(body)["units"], self.clock())
        self.ledger.plan(
            run.task, run.attempt, run.completed_units, run.total_units
        )

    def _spawn(self, run, coroutine):
        job = asyncio.get_running_loop().create_task(coroutine)
        key = (run.task, run.attempt)
        self._jobs[key] = job
        job.add_done_callback(lambda done: self._forget_job(key, done))
        return job

    def _forget_job(self, key, job):
        if self._jobs.get(key) is job:
            del self._jobs[key]

    def _cancel_job(self, run):
        job = self._jobs.pop((run.task, run.attempt), None)
        if job is not None:
            job.cancel()

    def _run_report(self, run):
        return Report(
            run.task, run.attempt, RUNNING, run.checkpoint, "", run.progress()
        )

    def _report(self, task, attempt, state, checkpoint, reason, progress):
        report = Report(task, attempt, state, checkpoint, reason, progress)
        report.revision = self._next_revision()
        self.reports[task, attempt] = report

    def _next_revision(self):
        self.revision += 1
        return self.revision

    # ---------------------------------------------------- pause and kill

    def pause(self):
        """The process stops executing; its clock and leases run on."""
        self.advance()
        for run in self.runs.values():
            if not run.stopping:
                self.ledger.end(run.task, run.attempt, self.worker)

    def resume(self):
        """Checks the lease before any task executes again."""
        now = self.clock()
        if now >= self.lease_until:
            self._expire("lease expired")
        for run in self.runs.values():
            if run.stopping:
                continue
            run.skip_to(now)
            self.ledger.begin(run.task, run.attempt, self.worker)

    def kill(self):
        """Ends the process: tasks and unacknowledged output are gone."""
        for job in self._jobs.values():
            job.cancel()
        self._jobs.clear()
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
        """Returns how much resident tasks inflate service times."""
        return sum(
            run.interference * run.speed_fraction
            for run in self.runs.values()
            if not run.stopping
        )

    def record_latency(self, service: str, latency_ms: float):
        """Adds a service time to the current usage window."""
        self._latencies.setdefault(service, []).append(latency_ms)

    def _close_window(self, now):
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

    def _late_usage(self):
        """Returns the newest window that is old enough, and drops older."""
        horizon = self.clock() - USAGE_LAG_MS
        late = None
        while self._usage and self._usage[0]["to"] <= horizon:
            late = self._usage.pop(0)
        return late
