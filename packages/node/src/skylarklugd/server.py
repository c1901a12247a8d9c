"""The caller-facing HTTP server.

It reports callers' requests and upstreams' responses as events and performs the
effects on requests. The reducer decides what is sent to which upstream.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import functools
import os
from typing import Any
import weakref

from tornado import httpserver
from tornado import httputil
from tornado import netutil

from skylarklug import effects
from skylarklugd import attempt as attempt_lib
from skylarklugd import exchange as exchange_lib
from skylarklugd import heads
from skylarklugd import upstream

# `prefetch` and the names in _limit are bytes, those in _ms milliseconds.
DEFAULTS = {
    "host": "127.0.0.1",
    "port": 0,
    "node": "node",
    "header_limit": 16_384,
    "body_limit": 8_388_608,
    "buffer_limit": 1_048_576,
    "prefetch": 262_144,
    "idle_timeout_ms": 60_000,
    "header_timeout_ms": 10_000,
    "progress_timeout_ms": 30_000,
    "connections": 8,
    "forward_connections": 64,
    "connect_timeout_ms": 1_000,
    "head_timeout_ms": 0,
    "upstream_idle_ms": 15_000,
    "backlog": 1_024,
}
# Multiple of `header_limit` up to which a head is read, so that it can be
# answered with 431. A larger head closes the connection.
HEAD_READ_FACTOR = 4
# Bytes of a request body. Tornado answers 400 to a body above its limit;
# `CallerServer` applies its own, lower limit and answers 413.
UNLIMITED_BODY_SIZE = 1 << 40


def _discard_log(level, event, fields):
    pass


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' requests and performs the effects on requests.

    Args:
        cfg: Settings; `DEFAULTS` supplies those that are missing. Sizes are in
            bytes. `header_timeout_ms` limits the wait for the first request of
            a connection, and `idle_timeout_ms` the wait for each later one.
            `progress_timeout_ms` limits how long a caller may neither send
            the rest of the body nor read the response. `connections` limits
            the connections to one worker, and `forward_connections` those to
            another node.
        dispatch: Receives every event.
        clock: Returns monotonic milliseconds.
        log: Receives level, event name and fields of refused requests.

    Attributes:
        readiness: Whether the node is ready, and the reason if it is not.
        draining: Whether connections are closed after their next response.
        port: The port in use, once the listener is open.
    """

    def __init__(
        self,
        cfg: Mapping[str, Any],
        dispatch: Callable[[Any], None],
        clock: Callable[[], int],
        log: Callable[[str, str, Mapping[str, Any]], None] = _discard_log,
    ):
        self.cfg = {**DEFAULTS, **cfg}
        self.dispatch = dispatch
        self.clock = clock
        self.readiness = (False, "starting")
        self.draining = False
        self.port = self.cfg["port"]
        self._log = log
        self._requests: dict[str, exchange_lib.CallerExchange] = {}
        self._attempts: dict[tuple, attempt_lib.Attempt] = {}
        self._last_id = 0
        # Keeps request IDs unique across restarts of the node.
        self._run_id = os.urandom(4).hex()
        self._tasks = set()
        self._known_connections = weakref.WeakSet()
        self._closing_connections = weakref.WeakSet()
        self._http_server = None
        self._pool = None
        self._performers = {
            effects.SendAttempt: self._send_attempt,
            effects.ForwardAttempt: self._forward_attempt,
            effects.CancelAttempt: self._cancel_attempt,
            effects.RelayAnswer: self._relay_answer,
            effects.AnswerError: self._answer_error,
            effects.StopAccepting: self._stop_accepting,
        }

    @property
    def in_flight(self) -> int:
        """The number of requests whose exchange has not ended."""
        return len(self._requests)

    @property
    def effect_types(self) -> tuple[type, ...]:
        """The effect types that `perform` accepts."""
        return tuple(self._performers)

    async def start(self):
        """Opens the listener and sets `port` to the port in use."""
        cfg = self.cfg
        self._pool = upstream.Pool(
            connections=cfg["connections"],
            connect_timeout_ms=cfg["connect_timeout_ms"],
            head_timeout_ms=cfg["head_timeout_ms"],
            header_limit=cfg["header_limit"],
            idle_timeout_ms=cfg["upstream_idle_ms"],
        )
        self._http_server = httpserver.HTTPServer(
            self,
            chunk_size=upstream.CHUNK_SIZE,
            max_header_size=cfg["header_limit"] * HEAD_READ_FACTOR,
            max_body_size=UNLIMITED_BODY_SIZE,
            max_buffer_size=cfg["buffer_limit"],
            idle_connection_timeout=cfg["idle_timeout_ms"] / 1000,
        )
        sockets = netutil.bind_sockets(
            cfg["port"], cfg["host"], backlog=cfg["backlog"]
        )
        self._http_server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def close(self):
        """Closes the listener and every connection."""
        if self._http_server is None:
            return
        self._http_server.stop()
        for exchange in list(self._requests.values()):
            exchange.on_connection_close()
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        await self._http_server.close_all_connections()
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._pool.close()

    def set_ready(self, ready: bool, reason: str = ""):
        """Sets the state that `/ready` reports.

        A server that is no longer ready is about to stop. It closes keep-alive
        connections after their next response, so that fewer of them can carry
        a request at the moment of the exit.
        """
        if self.readiness[0] and not ready:
            self.draining = True
        self.readiness = (ready, reason)

    def perform(self, effect):
        """Performs one effect; its events follow later from the event loop."""
        self._performers[type(effect)](effect)

    # Methods that Tornado calls

    def start_request(self, server_conn, request_conn):
        """Returns the delegate for the next request of a connection."""
        if server_conn in self._closing_connections:
            request_conn.close()
        timer = None
        if server_conn not in self._known_connections:
            # `idle_timeout_ms` applies to later heads of the connection; the
            # first one is expected sooner.
            self._known_connections.add(server_conn)
            timer = asyncio.get_running_loop().call_later(
                self.cfg["header_timeout_ms"] / 1000, request_conn.close
            )

        def on_head():
            if timer is not None:
                timer.cancel()

        mark_closing = functools.partial(
            self._closing_connections.add, server_conn
        )
        return exchange_lib.CallerExchange(
            self, request_conn, on_head, mark_closing
        )

    # Methods for exchanges

    def register(self, exchange):
        """Assigns an ID to a valid request and registers it."""
        self._last_id += 1
        exchange.req_id = f"{self.cfg['node']}-{self._run_id}-{self._last_id}"
        self._requests[exchange.req_id] = exchange

    def unregister(self, exchange):
        """Removes a request whose exchange has ended."""
        self._requests.pop(exchange.req_id, None)

    def log_refusal(self, request_conn, status, step, reason):
        """Logs a request that was refused before it was dispatched."""
        fields = {
            "status": status,
            "step": step,
            "peer": request_conn.context.remote_ip,
            "reason": reason,
        }
        self._log("warning", "request-refused", fields)

    # Effects

    def _send_attempt(self, effect):
        self._start_attempt(effect, False, self.cfg["connections"])

    def _forward_attempt(self, effect):
        self._start_attempt(effect, True, self.cfg["forward_connections"])

    def _start_attempt(self, effect, forward, connections):
        attempt = attempt_lib.Attempt(
            effect.req_id,
            effect.attempt,
            forward,
            self.cfg["buffer_limit"],
            self.dispatch,
            self.clock,
        )
        exchange = self._requests.get(effect.req_id)
        if exchange is None:
            self._spawn(self._fail_later(attempt, "send", "no such request"))
            return
        exchange.attempts[effect.attempt] = attempt
        self._attempts[effect.req_id, effect.attempt] = attempt
        self._spawn(
            self._run_attempt(attempt, exchange, effect, forward, connections)
        )

    async def _fail_later(self, attempt, step, reason):
        # Runs as a task, so that the event follows the effect that caused it.
        attempt.fail(False, step, reason)

    async def _run_attempt(
        self, attempt, exchange, effect, forward, connections
    ):
        try:
            await self._perform_attempt(
                attempt, exchange, effect, forward, connections
            )
        finally:
            self._attempts.pop((effect.req_id, effect.attempt), None)

    async def _perform_attempt(
        self, attempt, exchange, effect, forward, connections
    ):
        head = exchange.head
        remaining_ms = effect.timeout_ms
        if head.deadline_ms:
            elapsed_ms = self.clock() - exchange.arrived_at
            remaining_ms = min(remaining_ms, head.deadline_ms - elapsed_ms)
        headers = heads.to_upstream(head, effect.req_id, remaining_ms, forward)
        content = exchange.body.replayable_bytes()
        if content is None:
            content = exchange.body
            if content.claimed:
                attempt.fail(False, "replay body", "the body was streamed")
                return
        elif content or head.method in heads.CHUNKED_METHODS:
            headers["Content-Length"] = str(len(content))
        req = upstream.Request(head.method, head.target, headers, content)
        await attempt.run(
            self._pool,
            effect.address,
            req,
            timeout_ms=effect.timeout_ms,
            connections=connections,
        )

    def _cancel_attempt(self, effect):
        # Looked up here because the exchange is already unregistered if the
        # caller has disconnected.
        attempt = self._attempts.get((effect.req_id, effect.attempt))
        if attempt is not None:
            attempt.cancel()

    def _relay_answer(self, effect):
        exchange = self._requests.get(effect.req_id)
        if exchange is None:
            return
        attempt = exchange.attempts.get(effect.attempt)
        if attempt is not None:
            exchange.relay(attempt)

    def _answer_error(self, effect):
        exchange = self._requests.get(effect.req_id)
        if exchange is not None:
            exchange.answer_error(effect)

    def _stop_accepting(self, effect):
        self.draining = True
        self._http_server.stop()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
