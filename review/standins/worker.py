"""Stand-in of a worker: runs, leases, fences and its own registration."""

import asyncio
import json
import time

from standins import http

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6_000
STOP_MS = 50
CHECK_INTERVAL_S = 0.01
# Ends that one answer lists.
MAX_ENDS = 500


class Run:
    """A run of a task; `ends_at` and `how` say when and how it will end."""

    def __init__(self, task, attempt, cpu, ends_at, how):
        self.task = task
        self.attempt = attempt
        self.cpu = cpu
        self.started_at = time.monotonic()
        self.ends_at = ends_at
        self.how = how


class Worker(http.Server):
    """A worker that guards its room.

    The `spec` of a job tells it, as JSON, what each step needs: a list of
    objects with `ms` and `cpu`.

    Attributes:
        hangs: Takes requests, does nothing for them and does not answer.
        begun: Number of runs that have begun here.
        end_count: Number of ends of this incarnation.
        last_seen: The ends up to this number have been taken note of.
        has_lapsed: Whether the lease of this incarnation has ever lapsed.
        on_run: Called with (worker, run) when a run has begun, and with
            `on_end(worker, run, how)` when it has ended.
    """

    def __init__(self, name, store, record, zone="z1", cpu=16_000, kind="a"):
        super().__init__()
        self.name = name
        self.zone = zone
        self.cpu = cpu
        self.kind = kind
        self.hangs = False
        self.draining = False
        self.up = False
        self.runs = {}
        self.on_run = None
        self.on_end = None
        self.begun = 0
        self._store = store
        self._record = record
        self._tasks = []
        self._reset()

    def _reset(self):
        """Forgets everything, as a new incarnation does."""
        self.born = time.time_ns() // 1_000_000
        self._clock_zero = time.monotonic()
        self.fence = 0
        self.runs = {}
        self._seq = 0
        self._ends = []
        self.end_count = 0
        self._closed = {}
        self._lease_until = 0
        self.last_seen = 0
        self.has_lapsed = False

    def clock_ms(self):
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self._clock_zero) * 1_000)

    # ------------------------------------------------------------ life cycle

    async def start(self):
        """Starts a new incarnation, at the address that it had before."""
        self._reset()
        await self.open()
        self.up = True
        self._register()
        loop = asyncio.get_running_loop()
        for coroutine in (self._beat(), self._watch()):
            self._tasks.append(loop.create_task(coroutine))
        self._record.line(self.name, f"up born={self.born}")

    async def crash(self):
        """Ends without a word; its runs are gone."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        await self.close()
        for run in list(self.runs.values()):
            self._note_end(run, "gone")
        self.runs.clear()
        self._record.line(self.name, "crashed")

    def drain(self):
        """Reports that it leaves; the store has accepted that at once."""
        self.draining = True
        self._register()
        self._record.line(self.name, "draining")

    def _register(self):
        self._seq += 1
        value = {
            "service": "certvault",
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "room": {"cpu": self.cpu, "mem_mb": 64_000, "gpus": 0},
            "labels": [self.kind, f"{self.zone}-1"],
            "clock_ms": self.clock_ms(),
            "seq": self._seq,
            "born": self.born,
        }
        if self.draining:
            value["remaining_ms"] = 4_000
        self._store.put("servers", "", self.name, value)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._register()

    async def _watch(self):
        """Ends runs when they are done, stopped or without a lease."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            lapsed = self.clock_ms() > self._lease_until
            for run in list(self.runs.values()):
                if lapsed:
                    self.has_lapsed = True
                    self._end(run, "lapsed")
                elif run.ends_at is not None and now >= run.ends_at:
                    self._end(run, run.how)

    def _end(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self._ends.append([self.end_count, run.task, run.attempt, how, ""])
        self._close_attempt(run.task, run.attempt)
        self._note_end(run, how)

    def _close_attempt(self, task, attempt):
        self._closed[task] = max(attempt, self._closed.get(task, 0))

    def _note_end(self, run, how):
        self._record.line(
            self.name, f"end {run.task} attempt={run.attempt} how={how}"
        )
        if self.on_end is not None:
            self.on_end(self, run, how)

    # ----------------------------------------------------------------- calls

    async def handle(self, req):
        """Answers a call."""
        if self.hangs:
            self._record.line(self.name, f"leaves {req.path} unanswered")
            raise http.NoAnswer
        if req.path == "/healthz":
            return 200, {}
        expected = req.headers.get("skylarklug-expect-instance", self.name)
        if expected != self.name:
            return 421, {}
        body = req.body
        if body.get("fence", 0) < self.fence:
            return self._respond(409, reason="fence")
        self.fence = body.get("fence", 0)
        if req.path == "/api/hold":
            return await self._hold(body)
        if req.path == "/api/run-start":
            return self._start(body)
        if req.path == "/api/run-stop":
            return self._stop(body)
        if req.path == "/api/pace":
            return self._respond(200)
        return self._respond(400)

    def _respond(self, status, **fields):
        return status, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            **fields,
        }

    def _renew(self, body):
        until = body.get("deadline_ms", 0)
        limit = self.clock_ms() + MAX_HOLD_MS
        self._lease_until = max(self._lease_until, min(until, limit))

    async def _hold(self, body):
        self._renew(body)
        self.last_seen = max(self.last_seen, body.get("last_seen", 0))
        self._ends = [row for row in self._ends if row[0] > self.last_seen]
        end = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while not self._ends and time.monotonic() < end:
            await asyncio.sleep(CHECK_INTERVAL_S)
        running = []
        for run in self.runs.values():
            running.append([run.task, run.attempt, "", 100, run.cpu])
        return self._respond(
            200, running=running, ended_runs=self._ends[:MAX_ENDS]
        )

    def _start(self, body):
        task = body["task"]
        attempt = body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return self._respond(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self._respond(409, reason="late")
        self._renew(body)
        if run is not None or attempt <= self._closed.get(task, 0):
            return self._respond(409, reason="old")
        step = json.loads(body["spec"])[int(task.split(".")[2])]
        used = sum(other.cpu for other in self.runs.values())
        if used + step["cpu"] > self.cpu:
            return self._respond(409, reason="room")
        ends_at = None
        if step["ms"]:
            ends_at = time.monotonic() + step["ms"] / 1_000
        run = Run(task, attempt, step["cpu"], ends_at, "done")
        self.runs[task] = run
        self.begun += 1
        self._record.line(
            self.name, f"begin {task} attempt={attempt} fence={body['fence']}"
        )
        if self.on_run is not None:
            self.on_run(self, run)
        return self._respond(200)

    def _stop(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.attempt <= body["attempt"]:
            run.ends_at = time.monotonic() + STOP_MS / 1_000
            run.how = "stopped"
        else:
            self._close_attempt(body["task"], body["attempt"])
        return self._respond(200)
