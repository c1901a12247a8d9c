"""The caller-facing HTTP server.

It turns callers' requests and upstreams' responses into events and performs
the effects that concern them. What to send where is decided by the reducer.
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
# Heads up to this multiple of the limit are read, so that they can be
# answered with 431; larger ones end the connection.
HEAD_READ_FACTOR = 4
# Tornado answers 400 to a body above its own limit; `CallerServer` applies
# its limit first and answers 413.
UNLIMITED = 1 << 40


def _ignore(level, event, fields):
    pass


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' requests and performs the request effects.

    Args:
        cfg: Settings; `DEFAULTS` holds the rest. Sizes are in bytes.
            `idle_timeout_ms` bounds the wait for the next request of a
            connection, `header_timeout_ms` for the first one, and
            `progress_timeout_ms` the time in which a caller neither sends
            the body that is due nor reads the response.
            `connections` bounds the connections to one worker,
            `forward_connections` those to another node.
        dispatch: Receives every event.
        clock: Monotonic milliseconds.
        log: Receives level, event name and fields of refused requests.
    """

    def __init__(
        self,
        cfg: Mapping[str, Any],
        dispatch: Callable[[Any], None],
        clock: Callable[[], int],
        log: Callable[[str, str, Mapping[str, Any]], None] = _ignore,
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
        self._ids = 0
        # Distinguishes the requests of different runs of the same node.
        self._run = os.urandom(4).hex()
        self._tasks = set()
        self._seen = weakref.WeakSet()
        self._closing_connections = weakref.WeakSet()
        self._http = None
        self._pool = None
        self._performers = {
            effects.SendAttempt: self._send,
            effects.ForwardAttempt: self._forward,
            effects.CancelAttempt: self._cancel,
            effects.RelayAnswer: self._relay,
            effects.AnswerError: self._answer_error,
            effects.StopAccepting: self._stop_accepting,
        }

    @property
    def in_flight(self) -> int:
        """Requests whose exchange with the caller has not ended."""
        return len(self._requests)

    @property
    def effect_types(self) -> tuple[type, ...]:
        """The effect types that `perform` accepts."""
        return tuple(self._performers)

    async def start(self):
        """Opens the listener; `port` is then the port in use."""
        cfg = self.cfg
        self._pool = upstream.Pool(
            connections=cfg["connections"],
            connect_timeout_ms=cfg["connect_timeout_ms"],
            head_timeout_ms=cfg["head_timeout_ms"],
            header_limit=cfg["header_limit"],
            idle_timeout_ms=cfg["upstream_idle_ms"],
        )
        self._http = httpserver.HTTPServer(
            self,
            chunk_size=upstream.CHUNK_SIZE,
            max_header_size=cfg["header_limit"] * HEAD_READ_FACTOR,
            max_body_size=UNLIMITED,
            max_buffer_size=cfg["buffer_limit"],
            idle_connection_timeout=cfg["idle_timeout_ms"] / 1000,
        )
        sockets = netutil.bind_sockets(
            cfg["port"], cfg["host"], backlog=cfg["backlog"]
        )
        self._http.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def close(self):
        """Closes the listener and every connection."""
        if self._http is None:
            return
        self._http.stop()
        for exchange in list(self._requests.values()):
            exchange.on_connection_close()
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        await self._http.close_all_connections()
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._pool.close()

    def set_ready(self, ready: bool, reason: str = ""):
        """Sets what `/ready` answers.

        A server that is no longer ready is about to stop. It ends kept
        connections with their next response, so that fewer of them can carry
        a request in the instant of the exit.
        """
        if self.readiness[0] and not ready:
            self.draining = True
        self.readiness = (ready, reason)

    def perform(self, effect):
        """Performs one effect; its events come later, from the loop."""
        self._performers[type(effect)](effect)

    # Called by tornado.

    def start_request(self, server_conn, request_conn):
        """Returns the delegate of the next request of a connection."""
        if server_conn in self._closing_connections:
            request_conn.close()
        timer = None
        if server_conn not in self._seen:
            # The idle timeout bounds later heads of the connection; the
            # first one has to come sooner.
            self._seen.add(server_conn)
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

    # Called by exchanges.

    def register(self, exchange):
        """Names a request whose head is valid."""
        self._ids += 1
        exchange.req_id = f"{self.cfg['node']}-{self._run}-{self._ids}"
        self._requests[exchange.req_id] = exchange

    def unregister(self, exchange):
        """Forgets a request."""
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

    # Effects.

    def _send(self, effect):
        self._start(effect, False, self.cfg["connections"])

    def _forward(self, effect):
        self._start(effect, True, self.cfg["forward_connections"])

    def _start(self, effect, forward, connections):
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
        left_ms = effect.timeout_ms
        if head.deadline_ms:
            waited = self.clock() - exchange.arrived_at
            left_ms = min(left_ms, head.deadline_ms - waited)
        headers = heads.to_upstream(head, effect.req_id, left_ms, forward)
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

    def _cancel(self, effect):
        # The caller may have left, so the exchange is not asked.
        attempt = self._attempts.get((effect.req_id, effect.attempt))
        if attempt is not None:
            attempt.cancel()

    def _relay(self, effect):
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
        self._http.stop()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
