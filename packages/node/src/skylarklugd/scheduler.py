"""Runs the scheduler: feeds events to its reducer and performs effects."""

import asyncio
import collections
import random
import time
from typing import Any
from typing import NamedTuple

from skylarklug import exceptions
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import records
from skylarklug.scheduler import reducer
from skylarklugd import feeds
from skylarklugd import logs
from skylarklugd import output

LEADER_TICK_MS = 25
FOLLOWER_TICK_MS = 150
# Time for a report to the operator, and until it is tried again.
REPORT_MS = 1_000


class Ports(NamedTuple):
    """What the scheduler reaches the outside through.

    Attributes:
        store: `commit`, `read_row`, `scan`, `changes`, `report_wave`.
        workers: `poll`, `start`, `stop`, `pace`.
        callers: `answer`, `set_ready`, `close`.
        advice: `request`.
        machines: `list`, `begin_maintenance`.
        rows: Turns rows of a followed table into an event.
    """

    store: Any
    workers: Any
    callers: Any
    advice: Any
    machines: Any
    rows: Any


def boot_ms() -> int:
    """Returns milliseconds of a clock that counts suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    """Returns the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Node:
    """One node of the scheduler.

    Args:
        cfg: Settings that decisions use.
        meters: Records measurements; has `record(name, value, attributes)`
            and `render_text()`.
        seed: Seeds the node's randomness.
    """

    def __init__(self, cfg: records.Settings, meters, seed: int):
        self._state = reducer.new_state(cfg, seed)
        self._rng = random.Random(seed)
        self._output = output.Output()
        self._logger = logs.Logger(cfg.node, boot_ms, self._write_line)
        self._meters = meters
        self._lost_reported = 0
        self._queue = collections.deque()
        self._reducing = False
        self._feeds: dict[str, feeds.Feed] = {}
        self._calls = set()
        self._ports: Ports | None = None
        self._exited = None
        self._performers = {
            fx.Answer: self._answer,
            fx.RequestAdvice: self._ask_advice,
            fx.BeginMaintenance: self._begin_upkeep,
            fx.Commit: self._commit,
            fx.Exit: self._exit,
            fx.WatchTable: self._follow,
            fx.ListMachines: self._list_machines,
            fx.Log: self._log_effect,
            fx.PollWorker: self._look,
            fx.Measure: self._measure,
            fx.SetPace: self._pace_run,
            fx.ReadRows: self._read,
            fx.ReportWave: self._report_wave,
            fx.SetReady: self._set_ready,
            fx.StartRun: self._start_run,
            fx.StopRun: self._stop_run,
            fx.UnwatchTable: self._unfollow,
        }

    async def run(self, ports: Ports, tables) -> None:
        """Serves until the scheduler asks to exit.

        Args:
            ports: What the scheduler reaches the outside through.
            tables: Tables that every node follows.
        """
        self._ports = ports
        self._exited = asyncio.get_running_loop().create_future()
        for table in tables:
            self._follow(fx.WatchTable(table))
        ticker = asyncio.get_running_loop().create_task(self._tick())
        try:
            await self._exited
        finally:
            ticker.cancel()
            for feed in self._feeds.values():
                feed.stop()
            self._output.flush()

    def render_metrics(self) -> bytes:
        """Returns all metrics as text."""
        lost = self._output.lost - self._lost_reported
        self._lost_reported = self._output.lost
        self._meters.record("skylarklug.log.lost", lost, {})
        return self._meters.render_text()

    def log(self, level: str, event: str, fields) -> None:
        """Writes one log line."""
        self._logger.log(level, event, fields)

    def _write_line(self, level, template, line):
        del level, template
        self._output.write(line)

    async def _tick(self):
        due = boot_ms()
        while True:
            late = max(0, boot_ms() - due) / 1000
            self._meters.record("skylarklug.tick.delay", late, {})
            self.dispatch(events.Tick(boot_ms(), wall_ms()))
            self._output.flush()
            delay = FOLLOWER_TICK_MS
            if self._state.leader is not None or self._state.stopping_at:
                delay = LEADER_TICK_MS
            due = boot_ms() + delay
            await asyncio.sleep(delay / 1000)

    def dispatch(self, event) -> None:
        """Hands an event to the reducer and performs the effects in order."""
        self._queue.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._queue:
                for effect in reducer.reduce(
                    self._state, self._queue.popleft()
                ):
                    self._performers[type(effect)](effect)
        finally:
            self._reducing = False

    def _spawn(self, coroutine):
        call = asyncio.get_running_loop().create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._on_call_done)

    def _on_call_done(self, call):
        self._calls.discard(call)
        if call.cancelled() or call.exception() is None:
            return
        # A defect in an adapter: the process ends and is started again
        # rather than waiting for an answer that will never be dispatched.
        exc = call.exception()
        self.log("error", "defect", {"reason": repr(exc)})
        if not self._exited.done():
            self._exited.set_exception(exc)

    # -------------------------------------------------------------- effects

    def _answer(self, effect):
        self._ports.callers.answer(effect)

    def _set_ready(self, effect):
        self._ports.callers.set_ready(effect.ready)

    def _exit(self, effect):
        if not self._exited.done():
            self._exited.set_result(effect.reason)

    def _log_effect(self, effect):
        self._logger.log(effect.level, effect.event, effect.fields)

    def _measure(self, effect):
        self._meters.record(effect.name, effect.value, effect.attributes)

    def _follow(self, effect):
        self._unfollow(effect)
        self._feeds[effect.table] = feeds.Feed(
            effect.table,
            self._ports.store,
            self._on_rows,
            self.log,
            self._rng,
        )

    def _unfollow(self, effect):
        feed = self._feeds.pop(effect.table, None)
        if feed is not None:
            feed.stop()

    def _on_rows(self, table, whole, rows):
        for event in self._ports.rows(boot_ms(), table, whole, rows):
            self.dispatch(event)

    def _commit(self, effect):
        self._spawn(self._run_commit(effect))

    async def _run_commit(self, effect):
        sent_at = boot_ms()
        status, version, rows = await self._ports.store.commit(
            effect.checks, effect.writes, effect.timeout_ms
        )
        self._on_store_answer(
            effect.op, "commit", sent_at, status, version, rows
        )

    def _read(self, effect):
        self._spawn(self._run_read(effect))

    async def _run_read(self, effect):
        sent_at = boot_ms()
        version = 0
        rows = ()
        try:
            if effect.key:
                version, rows = await self._ports.store.read_row(
                    effect.table, effect.key, effect.timeout_ms
                )
            else:
                version, rows = await self._ports.store.scan(effect.table)
            status = "ok"
        except exceptions.Unavailable as exc:
            status = "refused"
            fields = {"step": exc.step, "peer": exc.peer, "reason": exc.reason}
            self.log("warning", "read-failed", fields)
        self._on_store_answer(effect.op, "read", sent_at, status, version, rows)

    def _on_store_answer(self, op, kind, sent_at, status, version, rows):
        now = boot_ms()
        attributes = {"kind": kind, "status": status}
        self._meters.record(
            "skylarklug.store.duration", (now - sent_at) / 1000, attributes
        )
        self.dispatch(
            events.StoreAnswered(now, sent_at, op, status, version, tuple(rows))
        )

    def _look(self, effect):
        self._spawn(self._run_look(effect))

    async def _run_look(self, effect):
        sent_at = boot_ms()
        result, reason, look = await self._ports.workers.poll(effect)
        if result == "ok":
            self.dispatch(
                events.WorkerPolled(boot_ms(), sent_at, effect.worker, *look)
            )
            return
        self.dispatch(
            events.OrderAnswered(
                boot_ms(),
                sent_at,
                effect.worker,
                "look",
                None,
                0,
                result,
                reason,
            )
        )

    def _start_run(self, effect):
        self._spawn(self._run_order("start", effect))

    def _stop_run(self, effect):
        self._spawn(self._run_order("stop", effect))

    def _pace_run(self, effect):
        self._spawn(self._run_order("pace", effect))

    async def _run_order(self, op, effect):
        sent_at = boot_ms()
        send = getattr(self._ports.workers, op)
        result, reason = await send(effect)
        self.dispatch(
            events.OrderAnswered(
                boot_ms(),
                sent_at,
                effect.worker,
                op,
                effect.key,
                effect.attempt,
                result,
                reason,
            )
        )

    def _ask_advice(self, effect):
        self._spawn(self._run_advice(effect))

    async def _run_advice(self, effect):
        ok, tickets, valid_ms = await self._ports.advice.request(effect)
        self.dispatch(
            events.AdviceAnswered(
                boot_ms(),
                effect.job,
                effect.occurrence,
                effect.step,
                ok,
                effect.workers,
                tickets,
                valid_ms,
            )
        )

    def _list_machines(self, effect):
        self._spawn(self._run_list())

    async def _run_list(self):
        ok, machines = await self._ports.machines.list()
        self.dispatch(events.MachinesListed(boot_ms(), ok, machines))

    def _begin_upkeep(self, effect):
        self._spawn(self._run_upkeep(effect))

    async def _run_upkeep(self, effect):
        result, reason = await self._ports.machines.begin_maintenance(effect)
        self.dispatch(
            events.MaintenanceAnswered(
                boot_ms(), effect.machine, result, reason
            )
        )

    def _report_wave(self, effect):
        self._spawn(self._run_report(effect))

    async def _run_report(self, effect):
        while not await self._ports.store.report_wave(effect, REPORT_MS):
            await asyncio.sleep(REPORT_MS / 1000)
