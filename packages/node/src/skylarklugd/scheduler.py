"""The scheduler's event loop: reduces events and executes their effects."""

import asyncio
import collections
import functools
import random
from typing import Any
from typing import NamedTuple

from skylarklug import exceptions
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import freshness
from skylarklug.scheduler import peers
from skylarklug.scheduler import records
from skylarklug.scheduler import reducer
from skylarklugd import clocks
from skylarklugd import feeds
from skylarklugd import logs
from skylarklugd import output
from skylarklugd import peer_rows

# Interval between ticks while this node is the leader or is stopping.
LEADER_TICK_MS = 25
# Interval between ticks of any other node.
FOLLOWER_TICK_MS = 150
# Retry-After of a request whose answer might be outdated.
OUTDATED_RETRY_AFTER_S = 1
# Timeout of a wave report to the operator, and the delay before a retry.
WAVE_REPORT_TIMEOUT_MS = 1_000


class Ports(NamedTuple):
    """Adapters that connect the scheduler to external services.

    Attributes:
        store: Has `commit`, `read_row`, `scan`, `changes`, `report_wave` and
            `clock_ms`, the store's clock in its latest answer.
        workers: Has `poll`, `start`, `stop`, `pace`.
        callers: Has `answer`, `set_ready`, `stop_keep_alive`,
            `stop_accepting`, `close_idle`, `close_connections`.
        advice: Has `request`.
        machines: Has `list`, `begin_maintenance`.
        leader: Has `watch`.
        rows: Converts rows of a watched table to events.
        peers: Has `ask`.
        identify: Returns (key, version) of a row of the operator, or None if
            it has none.
    """

    store: Any
    workers: Any
    callers: Any
    advice: Any
    machines: Any
    leader: Any
    rows: Any
    peers: Any = None
    identify: Any = lambda row: None


class Node:
    """One node of the scheduler.

    Args:
        cfg: Settings of the reducer.
        meters: Metrics registry with `record(name, value, attributes)` and
            `render_text()`.
        seed: Seed of the node's random number generators.
    """

    def __init__(self, cfg: records.Settings, meters, seed: int):
        self._state = reducer.new_state(cfg, seed)
        self._rng = random.Random(seed)
        self._output = output.Output()
        self._logger = logs.Logger(cfg.node, clocks.boot_ms, self._write_line)
        self._meters = meters
        self._reported_lost_lines = 0
        self._queue = collections.deque()
        self._dispatching = False
        self._feeds: dict[str, feeds.Feed] = {}
        self._operator_rows = peer_rows.RowCache()
        self._pending_calls = set()
        self._ports: Ports | None = None
        self._exited = None
        self._effect_handlers = {
            fx.Answer: self._answer,
            fx.AskPeer: self._ask_peer,
            fx.RequestAdvice: self._request_advice,
            fx.BeginMaintenance: self._begin_maintenance,
            fx.CloseConnections: self._close_connections,
            fx.CloseIdleConnections: self._close_idle,
            fx.Commit: self._commit,
            fx.Exit: self._exit,
            fx.WatchTable: self._watch_table,
            fx.ListMachines: self._list_machines,
            fx.Log: self._log_effect,
            fx.PollWorker: self._poll_worker,
            fx.Measure: self._measure,
            fx.SetPace: self._set_pace,
            fx.ReadOperatorRows: self._read_operator_rows,
            fx.ReadRows: self._read_rows,
            fx.ReportWave: self._report_wave,
            fx.SetReady: self._set_ready,
            fx.StartRun: self._start_run,
            fx.StopAccepting: self._stop_accepting,
            fx.StopKeepAlive: self._stop_keep_alive,
            fx.StopRun: self._stop_run,
            fx.UnwatchTable: self._unwatch_table,
            fx.WatchLeader: self._watch_leader,
        }

    async def run(self, ports: Ports, tables) -> None:
        """Runs until the reducer requests an exit.

        Args:
            ports: Adapters to external services.
            tables: Names of the tables to watch from the start, beside that of
                the operator.
        """
        self._ports = ports
        self._exited = asyncio.get_running_loop().create_future()
        wait_ms = freshness.watch_wait_ms(self._state.cfg)
        self._watch_table(fx.WatchTable(freshness.TABLE, wait_ms))
        for table in tables:
            self._watch_table(fx.WatchTable(table))
        tick_task = asyncio.get_running_loop().create_task(self._run_ticks())
        try:
            await self._exited
        finally:
            tick_task.cancel()
            for feed in self._feeds.values():
                feed.stop()
            self._output.flush()

    def render_metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lost = self._output.lost_lines - self._reported_lost_lines
        self._reported_lost_lines = self._output.lost_lines
        self._meters.record("skylarklug.log.lost", lost, {})
        return self._meters.render_text()

    def log(self, level: str, event: str, fields) -> None:
        """Writes one log line."""
        self._logger.log(level, event, fields)

    def _write_line(self, level, template, line):
        del level, template
        self._output.write(line)

    async def _run_ticks(self):
        next_tick_ms = clocks.boot_ms()
        while True:
            delay_s = max(0, clocks.boot_ms() - next_tick_ms) / 1000
            self._meters.record("skylarklug.tick.delay", delay_s, {})
            self.dispatch(events.Tick(clocks.boot_ms(), clocks.wall_ms()))
            self._output.flush()
            interval_ms = FOLLOWER_TICK_MS
            if self._state.leader is not None or self._state.stopping_at:
                interval_ms = LEADER_TICK_MS
            next_tick_ms = clocks.boot_ms() + interval_ms
            await asyncio.sleep(interval_ms / 1000)

    def dispatch(self, event) -> None:
        """Reduces an event and executes its effects in order.

        An event dispatched by an effect is queued until all effects of the
        current event have been executed.
        """
        self._queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                for effect in reducer.reduce(
                    self._state, self._queue.popleft()
                ):
                    self._effect_handlers[type(effect)](effect)
        finally:
            self._dispatching = False

    def _spawn(self, coroutine, failure=None):
        """Runs a call to an external service.

        Args:
            coroutine: The call; it dispatches its result.
            failure: Returns the event to dispatch, given the time, if the call
                ends with an unexpected exception; the reducer would otherwise
                wait forever.
        """
        call = asyncio.get_running_loop().create_task(coroutine)
        self._pending_calls.add(call)
        call.add_done_callback(
            functools.partial(self._on_call_done, failure=failure)
        )

    def _on_call_done(self, call, failure):
        self._pending_calls.discard(call)
        if call.cancelled() or call.exception() is None:
            return
        fields = {"step": "call", "reason": repr(call.exception())}
        self.log("error", "defect", fields)
        self._meters.record("skylarklug.defects", 1, {})
        if failure is not None:
            self.dispatch(failure(clocks.boot_ms()))

    # -------------------------------------------------------------- effects

    def _answer(self, effect):
        if 0 < effect.valid_until < clocks.boot_ms():
            fields = {"req": effect.req, "status": effect.status}
            self.log("warning", "answer-outdated", fields)
            reason = "the answer was delayed until it might be outdated"
            effect = fx.Answer(
                effect.req, 503, {"reason": reason}, OUTDATED_RETRY_AFTER_S
            )
        self._ports.callers.answer(effect)

    def _set_ready(self, effect):
        self._ports.callers.set_ready(effect.ready)

    def _stop_keep_alive(self, effect):
        self._ports.callers.stop_keep_alive()

    def _stop_accepting(self, effect):
        self._ports.callers.stop_accepting()

    def _close_idle(self, effect):
        busy = self._ports.callers.close_idle()
        self.dispatch(events.ConnectionsCounted(clocks.boot_ms(), busy))

    def _close_connections(self, effect):
        self._ports.callers.close_connections(effect.retry_after_s)

    def _exit(self, effect):
        if not self._exited.done():
            self._exited.set_result(effect.reason)

    def _log_effect(self, effect):
        self._logger.log(effect.level, effect.event, effect.fields)

    def _measure(self, effect):
        self._meters.record(effect.name, effect.value, effect.attributes)

    def _watch_table(self, effect):
        self._unwatch_table(effect)
        self._feeds[effect.table] = feeds.Feed(
            effect.table,
            self._ports.store,
            self._on_rows,
            self._on_feed_failed,
            self.log,
            self._rng,
            effect.wait_ms,
            self._on_current,
        )

    def _unwatch_table(self, effect):
        feed = self._feeds.pop(effect.table, None)
        if feed is not None:
            feed.stop()

    def _watch_leader(self, effect):
        self._ports.leader.watch(effect.address, effect.epoch)

    def answer_peer(self, version: int, address: str) -> peer_rows.Answer:
        """Returns what another node gets that asks for newer rows.

        Args:
            version: It has the rows up to this version.
            address: Address at which it answers; empty if it does not.
        """
        if address:
            self.dispatch(events.PeerCalled(clocks.boot_ms(), address))
        return peer_rows.Answer(
            freshness.age_ms_at(self._state, clocks.boot_ms()),
            self._operator_rows.newer_than(version),
            tuple(peers.shared_addresses(self._state)),
        )

    def _on_rows(self, table, is_snapshot, rows):
        if table == freshness.TABLE:
            rows = self._operator_rows.add(rows, self._ports.identify)
        for event in self._ports.rows(
            clocks.boot_ms(), table, is_snapshot, rows
        ):
            self.dispatch(event)

    def _on_current(self, table, current_at):
        if table == freshness.TABLE:
            self.dispatch(events.OperatorRowsRead(clocks.boot_ms(), current_at))

    def _read_operator_rows(self, effect):
        self._spawn(
            self._run_operator_read(self._feeds[freshness.TABLE]),
            events.OperatorRowsUnread,
        )

    async def _run_operator_read(self, feed):
        try:
            await feed.read_now()
        except exceptions.SkylarklugError:
            self.dispatch(events.OperatorRowsUnread(clocks.boot_ms()))

    def _ask_peer(self, effect):
        self._spawn(
            self._run_peer_call(effect),
            lambda at: events.PeerAnswered(at, effect.address, False),
        )

    async def _run_peer_call(self, effect):
        sent_at = clocks.boot_ms()
        try:
            answer = await self._ports.peers.ask(
                effect.address, self._operator_rows.version
            )
            decoded = self._decode_peer_rows(effect.address, answer.rows)
        except exceptions.SkylarklugError as exc:
            fields = {"step": exc.step, "peer": exc.peer, "reason": exc.reason}
            self.log("warning", "peer-failed", fields)
            self._count_peer_call("failed")
            now = clocks.boot_ms()
            self.dispatch(events.PeerAnswered(now, effect.address, False))
            return
        self._count_peer_call("answered")
        current_at = -1
        if answer.age_ms >= 0:
            current_at = max(-1, sent_at - answer.age_ms)
        if current_at >= effect.oldest_at:
            self._apply_peer_rows(decoded)
        else:
            current_at = -1
        self.dispatch(
            events.PeerAnswered(
                clocks.boot_ms(),
                effect.address,
                True,
                current_at,
                answer.addresses,
            )
        )

    def _count_peer_call(self, result):
        attributes = {"result": result}
        self._meters.record("skylarklug.peer.calls", 1, attributes)

    def _decode_peer_rows(self, address, rows):
        """Returns the rows of a peer, each with its events.

        Raises:
            ProtocolError: A row is not readable. None of them is used then: the
                others would seem to be all that there are.
        """
        decoded = []
        for row in rows:
            found = self._ports.rows(
                clocks.boot_ms(), freshness.TABLE, False, [row]
            )
            is_readable = self._ports.identify(row) is not None
            for index, event in enumerate(found):
                if isinstance(event, events.ConfigurationUnreadable):
                    is_readable = False
                if isinstance(event, events.ConfigurationRead):
                    found[index] = event._replace(source=address)
            if not is_readable:
                raise exceptions.ProtocolError(
                    "a row is not readable", step="ask peer", peer=address
                )
            decoded.append((row, found))
        return decoded

    def _apply_peer_rows(self, decoded):
        for row, found in decoded:
            if not self._operator_rows.add([row], self._ports.identify):
                continue
            for event in found:
                self.dispatch(event)

    def _on_feed_failed(self, table):
        self.dispatch(events.FeedFailed(clocks.boot_ms(), table))

    def _commit(self, effect):
        self._spawn(
            self._run_commit(effect),
            lambda at: events.StoreAnswered(
                at, at, effect.op, "unknown", 0, ()
            ),
        )

    async def _run_commit(self, effect):
        sent_at = clocks.boot_ms()
        status, version, rows = await self._ports.store.commit(
            effect.checks, effect.writes, effect.timeout_ms
        )
        self._on_store_answer(
            effect.op, "commit", sent_at, status, version, rows
        )

    def _read_rows(self, effect):
        self._spawn(
            self._run_read(effect),
            lambda at: events.StoreAnswered(
                at, at, effect.op, "refused", 0, ()
            ),
        )

    async def _run_read(self, effect):
        sent_at = clocks.boot_ms()
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
        now = clocks.boot_ms()
        attributes = {"kind": kind, "status": status}
        self._meters.record(
            "skylarklug.store.duration", (now - sent_at) / 1000, attributes
        )
        # It may be that of a later answer, but was read after `sent_at` and
        # before `now`.
        store_ms = self._ports.store.clock_ms
        self.dispatch(
            events.StoreAnswered(
                now, sent_at, op, status, version, tuple(rows), store_ms
            )
        )

    def _poll_worker(self, effect):
        self._spawn(
            self._run_worker_poll(effect),
            lambda at: events.OrderAnswered(
                at, at, effect.worker, "look", None, 0, "unknown", "defect"
            ),
        )

    async def _run_worker_poll(self, effect):
        sent_at = clocks.boot_ms()
        result, reason, poll_result = await self._ports.workers.poll(effect)
        if result == "ok":
            self.dispatch(
                events.WorkerPolled(
                    clocks.boot_ms(), sent_at, effect.worker, *poll_result
                )
            )
            return
        self.dispatch(
            events.OrderAnswered(
                clocks.boot_ms(),
                sent_at,
                effect.worker,
                "look",
                None,
                0,
                result,
                reason,
                effect.address,
            )
        )

    def _start_run(self, effect):
        self._send_order("start", effect)

    def _stop_run(self, effect):
        self._send_order("stop", effect)

    def _set_pace(self, effect):
        self._send_order("pace", effect)

    def _send_order(self, op, effect):
        self._spawn(
            self._run_order(op, effect),
            lambda at: events.OrderAnswered(
                at,
                at,
                effect.worker,
                op,
                effect.key,
                effect.attempt,
                "unknown",
                "defect",
            ),
        )

    async def _run_order(self, op, effect):
        sent_at = clocks.boot_ms()
        send = getattr(self._ports.workers, op)
        answer = await send(effect)
        self.dispatch(
            events.OrderAnswered(
                clocks.boot_ms(),
                sent_at,
                effect.worker,
                op,
                effect.key,
                effect.attempt,
                answer.result,
                answer.reason,
                clock_ms=answer.clock_ms,
            )
        )

    def _request_advice(self, effect):
        self._spawn(
            self._run_advice_request(effect),
            lambda at: events.AdviceAnswered(
                at,
                effect.job,
                effect.occurrence,
                effect.step,
                False,
                effect.workers,
                {},
                0,
            ),
        )

    async def _run_advice_request(self, effect):
        ok, tickets, valid_ms = await self._ports.advice.request(effect)
        self.dispatch(
            events.AdviceAnswered(
                clocks.boot_ms(),
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
        self._spawn(
            self._run_list_machines(),
            lambda at: events.MachinesListed(at, False, ()),
        )

    async def _run_list_machines(self):
        ok, machines = await self._ports.machines.list()
        self.dispatch(events.MachinesListed(clocks.boot_ms(), ok, machines))

    def _begin_maintenance(self, effect):
        self._spawn(
            self._run_begin_maintenance(effect),
            lambda at: events.MaintenanceAnswered(
                at, effect.machine, effect.wave, "unknown", "defect"
            ),
        )

    async def _run_begin_maintenance(self, effect):
        result, reason = await self._ports.machines.begin_maintenance(effect)
        self.dispatch(
            events.MaintenanceAnswered(
                clocks.boot_ms(), effect.machine, effect.wave, result, reason
            )
        )

    def _report_wave(self, effect):
        self._spawn(self._run_wave_report(effect))

    async def _run_wave_report(self, effect):
        while True:
            reported = await self._ports.store.report_wave(
                effect, WAVE_REPORT_TIMEOUT_MS
            )
            if reported:
                break
            await asyncio.sleep(WAVE_REPORT_TIMEOUT_MS / 1000)
        self.dispatch(
            events.WaveReported(clocks.boot_ms(), effect.wave, reported)
        )
