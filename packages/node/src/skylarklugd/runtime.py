"""Event loop of a node: reduces events and executes their effects."""

import asyncio
import collections
import random
import time

from skylarklug import api
from skylarklug import effects
from skylarklug import events
from skylarklug import exceptions
from skylarklug import trace
from skylarklugd import logs
from skylarklugd import metrics
from skylarklugd import operators
from skylarklugd import peers
from skylarklugd import platform
from skylarklugd import server
from skylarklugd import settings

# Interval between ticks of the reducer.
TICK_S = 0.05
# Only every 64th reducer duration is recorded, to limit the overhead.
DURATION_SAMPLE_INTERVAL = 64
# Interval between updates of the control traffic metric, in ticks.
BYTE_COUNT_INTERVAL_TICKS = 100


def monotonic_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


class Node:
    """A node: its reducer, listeners and clients.

    Args:
        cfg: Settings as accepted by `settings.check`.
        clock: Returns monotonic milliseconds.

    Raises:
        ExceptionGroup: The settings are invalid.
    """

    def __init__(self, cfg, clock=monotonic_ms):
        self._cfg = settings.check(cfg, "settings")
        self._clock = clock
        self._state = api.new_state()
        self._queue = collections.deque()
        self._dispatching = False
        self._event_count = 0
        self._tick_count = 0
        self._tick_task = None
        self._exit_status = None
        self._trace = None
        self._closed = False
        self.name = self._cfg["node"]
        self._logger = logs.Logger(self.name, clock)
        self._metrics = metrics.Metrics(self._cfg["metrics"], self.name)
        caller_cfg = {**self._cfg["caller"], "node": self.name}
        self._server = server.CallerServer(caller_cfg, self.dispatch, clock)
        self._operators = operators.OperatorServer(
            self._cfg["operator"],
            self._cfg["tokens"],
            self.dispatch,
            clock,
            self._metrics,
        )
        rng = random.Random(f"{self._cfg['seed']}/{self.name}")
        self._platform = platform.PlatformClient(
            self._cfg["platform"], self.name, self.dispatch, clock, rng
        )
        self._peers = None
        self._last_byte_counts = (0, 0)
        self._effect_handlers = self._build_effect_handlers()

    # ------------------------------------------------------------ lifecycle

    async def start(self) -> None:
        """Opens the listeners and starts the reducer.

        Raises:
            OSError: A listening address is already in use.
        """
        self._exit_status = asyncio.get_running_loop().create_future()
        incarnation = time.time_ns() // 1_000_000
        peer_cfg = {
            **self._cfg["peer"],
            "node": self.name,
            "data_centre": self._cfg["data_centre"],
            "incarnation": incarnation,
        }
        self._peers = peers.PeerLinks(
            peer_cfg, self.dispatch, self._clock, self._logger.log
        )
        if self._cfg["trace"]:
            self._trace = open(self._cfg["trace"], "wb")  # noqa: SIM115
            self._trace.write(trace.encode_header())
        await self._peers.start()
        self._operators.start()
        await self._server.start()
        self._platform.start()
        self.dispatch(
            events.NodeStarted(
                at=self._clock(),
                node=self.name,
                data_centre=self._cfg["data_centre"],
                region=self._cfg["region"],
                incarnation=incarnation,
                seed=self._cfg["seed"],
                settings=settings.for_core(self._cfg),
            )
        )
        self._tick_task = asyncio.get_running_loop().create_task(
            self._run_ticks()
        )

    async def stop(self) -> int:
        """Stops gracefully and returns the exit status."""
        self.dispatch(events.StopRequested(self._clock()))
        return await self.wait()

    async def wait(self) -> int:
        """Waits until the reducer requests an exit; returns the exit status."""
        status = await asyncio.shield(self._exit_status)
        await self._close()
        return status

    async def kill(self) -> None:
        """Stops the node at once, without draining, as a crash would."""
        await self._close()

    async def _close(self):
        if self._closed:
            return
        self._closed = True
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self._server.close()
        await self._operators.close()
        await self._platform.close()
        await self._peers.close()
        if self._trace is not None:
            self._trace.close()
        self._metrics.close()

    @property
    def caller_port(self) -> int:
        """Port of the callers' listener."""
        return self._server.port

    @property
    def operator_port(self) -> int:
        """Port of the operators' listener."""
        return self._operators.port

    @property
    def peer_port(self) -> int:
        """Port of the peers' listener."""
        return self._peers.port

    # -------------------------------------------------------- the main loop

    async def _run_ticks(self):
        while True:
            self.dispatch(events.Tick(self._clock()))
            self._tick_count += 1
            if self._tick_count % BYTE_COUNT_INTERVAL_TICKS == 0:
                self._record_bytes()
            await asyncio.sleep(TICK_S)

    def dispatch(self, event) -> None:
        """Reduces an event and executes its effects in order.

        An event dispatched by an effect is queued until all effects of the
        current event have been executed. Ignored after the node has closed.
        """
        if self._closed:
            return
        self._queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                self._reduce(self._queue.popleft())
        finally:
            self._dispatching = False

    def _reduce(self, event):
        self._event_count += 1
        if self._trace is not None:
            self._write_trace(event)
        started = time.perf_counter()
        produced = api.reduce(self._state, event)
        if self._event_count % DURATION_SAMPLE_INTERVAL == 0:
            self._metrics.record(
                "skylarklug.reducer.duration",
                time.perf_counter() - started,
                {"event": type(event).__name__},
            )
        for effect in produced:
            self._perform(effect)

    def _write_trace(self, event):
        self._trace.write(trace.encode_event(event))

    def _perform(self, effect):
        handler = self._effect_handlers.get(type(effect))
        if handler is None:
            raise exceptions.SkylarklugError(
                f"no handler for effect {type(effect).__name__}",
                step="perform effect",
            )
        handler(effect)

    def _record_bytes(self):
        sent = self._peers.bytes_sent + self._platform.bytes_sent
        received = self._peers.bytes_received + self._platform.bytes_received
        for name, value, last in (
            ("sent", sent, self._last_byte_counts[0]),
            ("received", received, self._last_byte_counts[1]),
        ):
            self._metrics.record(
                "skylarklug.control.bytes", value - last, {"direction": name}
            )
        self._last_byte_counts = (sent, received)

    # -------------------------------------------------------------- effects

    def _build_effect_handlers(self):
        handlers = {
            effects.AnswerCommand: self._operators.answer,
            effects.Exit: self._exit,
            effects.Log: self._log,
            effects.Measure: self._measure,
            effects.SetReady: self._set_ready,
        }
        for effect_type in (
            effects.SendAttempt,
            effects.ForwardAttempt,
            effects.CancelAttempt,
            effects.RelayAnswer,
            effects.AnswerError,
            effects.StopAccepting,
        ):
            handlers[effect_type] = self._server.perform
        for effect_type in platform.EFFECT_HANDLERS:
            handlers[effect_type] = self._platform.perform
        for effect_type in (
            effects.ConnectPeer,
            effects.ClosePeer,
            effects.SendPeer,
        ):
            handlers[effect_type] = self._perform_peer
        return handlers

    def _perform_peer(self, effect):
        self._peers.perform(effect)

    def _exit(self, effect):
        fields = {"status": effect.status, "reason": effect.reason}
        self._logger.log("info", "exit", fields)
        if not self._exit_status.done():
            self._exit_status.set_result(effect.status)

    def _log(self, effect):
        self._logger.log(effect.level, effect.event, effect.fields)

    def _measure(self, effect):
        self._metrics.record(effect.name, effect.value, effect.attributes)

    def _set_ready(self, effect):
        self._operators.ready = (effect.ready, effect.reason)
        self._server.set_ready(effect.ready, effect.reason)
        fields = {"ready": effect.ready, "reason": effect.reason}
        self._logger.log("info", "ready", fields)
