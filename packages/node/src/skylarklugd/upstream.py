"""Pool of HTTP/1.1 client connections to workers and other nodes.

An exchange uses one connection exclusively. The pool never retries: a failure
is reported together with whether a byte of the request may have been sent. A
connection is reused only after a complete, well-framed response; otherwise it
is closed, so that a late response cannot be taken for that of another request.
"""

import asyncio
from collections.abc import Awaitable
import socket
from typing import NamedTuple
from typing import Protocol

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from skylarklug import exceptions
from skylarklugd import streams

CHUNK_SIZE = streams.CHUNK_SIZE
# Connections per address.
DEFAULT_CONNECTIONS = 8
DEFAULT_CONNECT_TIMEOUT_MS = 1_000
# Bytes of a response head.
DEFAULT_HEADER_LIMIT = 16_384
DEFAULT_IDLE_TIMEOUT_MS = 15_000
# Bytes of a response body. Without a limit of its own, Tornado would limit a
# body to the buffer size of the stream.
UNLIMITED_BODY_SIZE = 1 << 40


class ExchangeFailed(exceptions.Unavailable):
    """The exchange ended without a complete response.

    Attributes:
        sent: Whether a byte of the request may have reached the peer.
        not_listening: Whether the peer's host has answered that no process
            listens at the address.
    """

    def __init__(self, reason, *, sent, step, peer, not_listening=False):
        super().__init__(reason, step=step, peer=peer)
        self.sent = sent
        self.not_listening = not_listening


class BodyFailed(exceptions.SkylarklugError):
    """The request body, or the rest of it, is not available."""


class Body(Protocol):
    """A streamed request body, which can be read only once."""

    def begin(self) -> None:
        """Claims the body for one exchange.

        Raises:
            BodyFailed: The body has been claimed before.
        """

    async def read(self) -> bytes:
        """Returns the next chunk, empty at the end.

        Raises:
            BodyFailed: The rest of the body is not available.
        """


class Request(NamedTuple):
    """A request to send, with headers that state the framing of the body.

    A streamed body without `Content-Length` is sent with chunked encoding,
    which the client supports for POST, PUT and PATCH only.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes | Body


class Sink(Protocol):
    """Receives the progress of an exchange."""

    def sent(self) -> None:
        """Called before the first byte of the request is sent."""

    def head(
        self, status: int, reason: str, headers: httputil.HTTPHeaders
    ) -> None:
        """Called when the head of the final response has arrived."""

    def data(self, chunk: bytes) -> Awaitable[None] | None:
        """Called with each part of the body.

        Reading pauses until the returned awaitable, if any, is done.
        """


class Pool:
    """Connections to upstreams, limited in number per address.

    Args:
        connections: Limit per address, which a call may override.
        connect_timeout_ms: Time for opening a connection.
        head_timeout_ms: Time from the end of the request to the head of the
            response; 0 means that only the timeout of the attempt applies.
        header_limit: Maximum size of a response head in bytes.
        idle_timeout_ms: Time after which an idle connection is closed.
    """

    def __init__(
        self,
        *,
        connections=DEFAULT_CONNECTIONS,
        connect_timeout_ms=DEFAULT_CONNECT_TIMEOUT_MS,
        head_timeout_ms=0,
        header_limit=DEFAULT_HEADER_LIMIT,
        idle_timeout_ms=DEFAULT_IDLE_TIMEOUT_MS,
    ):
        self.connections = connections
        self.connect_timeout_ms = connect_timeout_ms
        self.head_timeout_ms = head_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.params = http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_SIZE,
            max_header_size=header_limit,
            max_body_size=UNLIMITED_BODY_SIZE,
        )
        self._idle: dict[
            str, dict[streams.TrackedStream, asyncio.TimerHandle]
        ] = {}
        self._open: dict[str, int] = {}

    def open_connections(self, address: str) -> int:
        """Returns the number of connections to the address."""
        return self._open.get(address, 0)

    def exchange(
        self,
        address: str,
        req: Request,
        sink: Sink,
        *,
        timeout_ms: int,
        connections: int = 0,
    ) -> "Exchange":
        """Prepares an exchange; `Exchange.run` performs it."""
        limit = connections or self.connections
        return Exchange(self, address, req, sink, timeout_ms, limit)

    def close(self):
        """Closes every idle connection."""
        for address in list(self._idle):
            for stream in list(self._idle.get(address, ())):
                self._remove_idle(address, stream)
                self.discard(address, stream)

    # Methods for `Exchange`

    def take_idle(self, address: str) -> streams.TrackedStream | None:
        """Removes and returns the most recently used idle connection."""
        idle = self._idle.get(address)
        while idle:
            stream = next(reversed(idle))
            self._remove_idle(address, stream)
            if stream.idle_state() == "open":
                return stream
            self.discard(address, stream)
        return None

    def reserve(self, address: str, limit: int) -> bool:
        """Reserves a new connection; returns False if the limit is reached."""
        count = self._open.get(address, 0)
        if count >= limit:
            return False
        self._open[address] = count + 1
        return True

    def release(self, address: str, stream: streams.TrackedStream):
        """Keeps the connection for the next exchange."""
        loop = asyncio.get_running_loop()
        handle = loop.call_later(
            self.idle_timeout_ms / 1000, self._close_idle, address, stream
        )
        self._idle.setdefault(address, {})[stream] = handle
        stream.set_close_callback(lambda: self._close_idle(address, stream))

    def discard(self, address: str, stream: streams.TrackedStream | None):
        """Closes the connection, if any, and releases its reservation."""
        if stream is not None:
            stream.set_close_callback(None)
            stream.close()
        count = self._open[address] - 1
        if count:
            self._open[address] = count
        else:
            del self._open[address]

    def _close_idle(self, address, stream):
        if stream in self._idle.get(address, ()):
            self._remove_idle(address, stream)
            self.discard(address, stream)

    def _remove_idle(self, address, stream):
        idle = self._idle[address]
        idle.pop(stream).cancel()
        if not idle:
            del self._idle[address]
        stream.set_close_callback(None)


class Exchange:
    """One request and its response on one connection.

    Attributes:
        sent: Whether a byte of the request may have reached the peer.
        size: Bytes of the response body received so far.
    """

    def __init__(self, pool, address, req, sink, timeout_ms, limit):
        self.sent = False
        self.size = 0
        self._pool = pool
        self._address = address
        self._req = req
        self._sink = sink
        self._timeout_ms = timeout_ms
        self._limit = limit
        self._stream = None
        self._reserved = False
        self._step = "connect"
        self._abort_cause = None
        self._sink_ready = None
        self._head_received = False
        self._reusable = False
        self._timers = []

    async def run(self) -> int:
        """Performs the exchange and returns the size of the response body.

        Raises:
            ExchangeFailed: No complete, well-framed response was received.
        """
        self._abort_after(
            self._timeout_ms, "attempt timeout", "no whole response"
        )
        writer = None
        try:
            await self._connect()
            conn = self._start_request()
            if not isinstance(self._req.body, bytes):
                writer = asyncio.ensure_future(self._send_body(conn))
            await self._read_response(conn, writer)
            self._release_connection(writer)
            return self.size
        except iostream.StreamClosedError as exc:
            raise self._failure(self._step, _describe_error(exc)) from exc
        except BodyFailed as exc:
            raise self._failure(exc.step, exc.reason) from exc
        finally:
            if writer is not None:
                writer.cancel()
            for timer in self._timers:
                timer.cancel()
            self._discard_connection()

    def abort(self, step: str, reason: str):
        """Closes the connection at once, so that `run` raises ExchangeFailed.

        The first call determines the step and the reason that are reported.
        """
        if self._abort_cause is None:
            self._abort_cause = (step, reason)
        self._discard_connection()
        if self._sink_ready is not None and not self._sink_ready.done():
            self._sink_ready.set_result(None)

    def _discard_connection(self):
        stream, self._stream = self._stream, None
        if self._reserved:
            self._reserved = False
            self._pool.discard(self._address, stream)

    def _failure(self, step, reason):
        step, reason = self._abort_cause or (step, reason)
        return ExchangeFailed(
            reason, sent=self.sent, step=step, peer=self._address
        )

    def _check_abort(self):
        if self._abort_cause is not None:
            raise self._failure(*self._abort_cause)

    def _abort_after(self, delay_ms, step, missing):
        loop = asyncio.get_running_loop()
        reason = f"{missing} in {delay_ms} ms"
        timer = loop.call_later(delay_ms / 1000, self.abort, step, reason)
        self._timers.append(timer)
        return timer

    async def _connect(self):
        self._check_abort()
        stream = self._pool.take_idle(self._address)
        if stream is not None:
            self._stream = stream
            self._reserved = True
            return
        if not self._pool.reserve(self._address, self._limit):
            reason = f"all {self._limit} connections are in use"
            raise self._failure("connection limit", reason)
        self._reserved = True
        timer = self._abort_after(
            self._pool.connect_timeout_ms, "connect", "no connection"
        )
        try:
            host, port = streams.split_address(self._address)
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._stream = streams.TrackedStream(socket.socket(family))
            await self._stream.connect((host, port))
        except (OSError, ValueError) as exc:
            raise self._failure("connect", _describe_error(exc)) from exc
        timer.cancel()
        self._check_abort()

    def _start_request(self):
        req = self._req
        buffered = isinstance(req.body, bytes)
        if not buffered:
            req.body.begin()
        self._step = "send request"
        stream = self._stream
        if stream.closed():
            raise self._failure("send request", "connection closed")
        self.sent = True
        self._sink.sent()
        self._check_abort()
        conn = http1connection.HTTP1Connection(stream, True, self._pool.params)
        start = httputil.RequestStartLine(req.method, req.target, "HTTP/1.1")
        conn.write_headers(start, req.headers, req.body if buffered else None)
        if buffered:
            self._finish_request(conn)
        return conn

    def _finish_request(self, conn):
        conn.finish()
        if self._head_received:
            return
        self._step = "read response head"
        if self._pool.head_timeout_ms:
            self._abort_after(
                self._pool.head_timeout_ms,
                "read response head",
                "no response head",
            )

    async def _send_body(self, conn):
        try:
            while chunk := await self._req.body.read():
                await conn.write(chunk)
            self._finish_request(conn)
        except BodyFailed as exc:
            self.abort(exc.step, exc.reason)
        except (iostream.StreamClosedError, httputil.HTTPOutputError) as exc:
            self.abort("send request body", _describe_error(exc))

    async def _read_response(self, conn, writer):
        reader = _ResponseReader(self, conn, writer)
        await conn.read_response(reader)
        self._check_abort()
        if not reader.finished:
            raise self._failure(
                self._step, reader.framing_error or "malformed response"
            )
        self._reusable = reader.reusable

    def _release_connection(self, writer):
        stream = self._stream
        state = stream.idle_state()
        if state == "overrun":
            raise self._failure(
                "read response body", "bytes after the end of the response"
            )
        if not self._reusable or state == "closed":
            return
        if writer is not None and not writer.done():
            return
        self._stream = None
        self._reserved = False
        self._pool.release(self._address, stream)

    # Methods for `_ResponseReader`

    def on_head(self, start_line, headers):
        """Passes the head of the final response to the sink."""
        self._head_received = True
        self._step = "read response body"
        # The first timer limits the whole attempt and stays active.
        for timer in self._timers[1:]:
            timer.cancel()
        self._sink.head(start_line.code, start_line.reason, headers)

    def on_data(self, chunk):
        """Passes a part of the body to the sink; returns what to await."""
        if self._abort_cause is not None:
            return None
        self.size += len(chunk)
        self._sink_ready = self._sink.data(chunk)
        return self._sink_ready


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Checks the framing of a response and passes it to the exchange."""

    def __init__(self, exchange, conn, writer):
        self.finished = False
        self.reusable = False
        self.framing_error = ""
        self._exchange = exchange
        self._conn = conn
        self._writer = writer
        self._method = exchange._req.method

    def headers_received(self, start_line, headers):
        if 100 <= start_line.code < 200 and start_line.code != 101:
            return
        self.framing_error = find_framing_error(
            self._method, start_line, headers
        )
        if self.framing_error:
            raise httputil.HTTPInputError(self.framing_error)
        options = headers.get("Connection", "").lower()
        self.reusable = (
            start_line.version == "HTTP/1.1" and "close" not in options
        )
        self._exchange.on_head(start_line, headers)

    def data_received(self, chunk):
        return self._exchange.on_data(chunk)

    def finish(self):
        self.finished = True
        if self._writer is not None and not self._writer.done():
            # The peer responded before it received the whole request. Closing
            # stops the upload, which read_response would otherwise wait for.
            self._conn.close()

    def on_connection_close(self):
        pass


def find_framing_error(method, start_line, headers) -> str:
    """Returns the framing error of a response, or "" if there is none.

    A body that is delimited only by the end of the connection is an error,
    because it cannot be distinguished from a truncated one.
    """
    code = start_line.code
    if not 200 <= code <= 599:
        return f"status {code} is not a final status"
    lengths = headers.get_list("Content-Length")
    codings = headers.get_list("Transfer-Encoding")
    if len(lengths) > 1 or "," in "".join(lengths):
        return "repeated Content-Length"
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return "Content-Length is not a number"
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if codings and [c.lower() for c in codings] != ["chunked"]:
        return "unsupported Transfer-Encoding"
    bodiless = method == "HEAD" or code in (204, 304)
    if not lengths and not codings and not bodiless:
        return "neither Content-Length nor Transfer-Encoding"
    return ""


def _describe_error(exc) -> str:
    cause = getattr(exc, "real_error", None) or exc
    if isinstance(cause, iostream.UnsatisfiableReadError):
        return "response head is too large"
    if isinstance(cause, iostream.StreamClosedError):
        return "connection closed by the peer"
    return str(cause) or type(cause).__name__
